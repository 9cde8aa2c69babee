/* core.h - the loop thread that runs the node, and the node's functions for other threads. */
#ifndef CORE_H
#define CORE_H

#include "call.h"
#include "conf.h"

typedef struct Core Core;

/* Opens the disk of a voter and the link, and starts the loop thread. conf must outlive it. */
FtStatus core_new (const Conf *conf, Core **core, FtError *error);
/* Sets back, which looks up answers kept here for other instances. Call it before requests arrive.
 */
struct Back;
void core_set_back (Core *core, struct Back *back);
const Conf *core_conf (Core *core);
FtClock *core_clock (Core *core);
/* Monotonic time, microseconds. */
int64_t core_now (Core *core);
/* Unix time, milliseconds. */
int64_t core_wall_ms (void);
uint64_t core_random (Core *core);

/* Runs fn (node, data) on the loop thread, in the order of the calls. */
typedef void (*CoreFunc) (FtNode *node, void *data);
void core_post (Core *core, CoreFunc fn, void *data);

/* Returns a new reference to the catalogue in force, or NULL if there is none. Never blocks on the
 * loop thread. */
FtCat *core_catalogue (Core *core);
/* True if the catalogue here is proved to be the one in force, so that requests may be accepted. */
bool core_is_fresh (Core *core);

/* Submits the call to its pool's scheduler; wait with call_wait_decision. */
void core_submit (Core *core, Call *call);
/* Submits a granted call again because its server could not be connected. */
void core_resubmit (Core *core, Call *call);
/* Reports how many tokens have arrived. */
void core_progress (Core *core, Call *call, unsigned tokens);
/* Reports the outcome of a granted call and forgets it. */
void core_end_request (Core *core, Call *call, FtOutcome how, unsigned tokens);
/* Reports that the call's backend server crashed while running it. Before core_end_request. */
void core_report_crash (Core *core, Call *call);
void core_record_refusal (Core *core, const Call *call);

/* These block until the outcome is known. text (1024 bytes) may be NULL. */
FtStatus core_propose_catalogue (Core *core, const char *change_id, const char *author,
                                 uint64_t base, const char *catalogue, uint64_t *revision,
                                 char *text);
/* owner_id (64 bytes): the request that holds the idempotency key. */
FtStatus core_claim (Core *core, const Call *call, const char *digest, char *owner_id);
/* Allows a content that was quarantined for crashes to be dispatched again. */
FtStatus core_release_content (Core *core, uint64_t content);
/* Does not block. */
void core_end_claim (Core *core, const Call *call, FtClaimOutcome end);
/* Blocks; unref *body. */
FtStatus core_query (Core *core, FtQueryKind kind, const char *id, GBytes **body);

void core_status (Core *core, FtNodeStatus *status);
/* Metrics of the pools scheduled here, in Prometheus text format; g_free. */
char *core_pool_metrics (Core *core);
/* Starts to hand over leases; true once no lease is held. Call it repeatedly. */
bool core_leave (Core *core);

#endif
