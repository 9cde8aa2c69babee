/* core.h - the loop thread around the node, and what request threads see of it. */
#ifndef CORE_H
#define CORE_H

#include "call.h"
#include "conf.h"

typedef struct Core Core;

/* Starts the loop thread. platform and links are attached later by core_run. */
FtStatus core_new (const Conf *conf, Core **core, FtError *error);
/* back answers other instances' questions for answers kept here. */
struct Back;
void core_set_back (Core *core, struct Back *back);
const Conf *core_conf (Core *core);
FtClock *core_clock (Core *core);
int64_t core_now (Core *core);
int64_t core_wall_ms (void);
uint64_t core_random (Core *core);

/* Runs fn (node, data) on the loop thread, soon and in order. */
typedef void (*CoreFunc) (FtNode *node, void *data);
void core_post (Core *core, CoreFunc fn, void *data);

/* A counted reference to the catalogue in force, read through RCU; NULL: none. */
FtCat *core_catalogue (Core *core);
/* May new requests be taken? */
bool core_is_fresh (Core *core);

/* Registers the call and asks its pool's scheduler; wait with call_wait_decision. */
void core_submit (Core *core, Call *call);
void core_resubmit (Core *core, Call *call);
void core_progress (Core *core, Call *call, unsigned tokens);
void core_end_request (Core *core, Call *call, FtDone how, unsigned tokens);
/* The process of the call's backend server has ended while it ran the call. Before
 * core_end_request. */
void core_report_crash (Core *core, Call *call);
void core_record_refusal (Core *core, const Call *call);

/* These block until the verdict; text (1024 bytes) may be NULL. */
FtStatus core_propose_catalogue (Core *core, const char *change_id, const char *author,
                                 uint64_t base, const char *catalogue, uint64_t *revision,
                                 char *text);
FtStatus core_claim (Core *core, const Call *call, const char *digest, char *owner_id);
/* Lets a content under which servers ended go. */
FtStatus core_release_content (Core *core, uint64_t content);
/* Does not block. */
void core_end_claim (Core *core, const Call *call, FtClaimEnd end);
/* *body is the caller's to unref. */
FtStatus core_query (Core *core, FtFindKind kind, const char *id, GBytes **body);

void core_status (Core *core, FtNodeStatus *status);
/* Figures of the pools held here, in the text format for metrics; g_free. */
char *core_pool_metrics (Core *core);
/* Begins to leave; true once no lease is held. */
bool core_leave (Core *core);

#endif
