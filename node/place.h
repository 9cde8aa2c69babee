/* place.h - obtains places, the slots of backend servers, for an entry's requests. It asks one
 * scheduler that serves all entries, or, while none answers, the entry's own scheduler, which may
 * give away only a part of the places. */
#ifndef PLACE_H
#define PLACE_H

#include "broker.h"
#include "notices.h"

typedef struct Place Place;

/* Decisions of whichever scheduler was asked. Never called from within place_ask. */
typedef struct
{
  void (*grant) (void *host, uint64_t request, const Grant *grant);
  void (*refuse) (void *host, uint64_t request, const SchedRefusal *refusal);
} PlaceOps;

/* self: IPv4 address of this entry. */
Place *place_new (Loop *loop, Mesh *mesh, uint32_t self, const PlaceOps *ops, void *host);
void place_free (Place *place);
/* A voter's view of who schedules: the voter in charge and its deputies. Ignored from other
 * peers. */
void place_apply_view (Place *place, MeshPeer *peer, const MeshView *view);
/* Decisions of schedulers, and asks and reports of entries that ask this one as a deputy; other
 * messages are ignored. */
void place_message (Place *place, MeshPeer *peer, const MeshMsg *msg);
void place_link_up (Place *place, MeshPeer *peer);
void place_link_down (Place *place, MeshPeer *peer);
/* The entry's own scheduler, which other entries ask when this one is a deputy. */
Broker *place_own_broker (Place *place);

/* cost: tokens or requests to charge to the organisation's limit; 0: none, or charged before. */
void place_ask (Place *place, const SchedAsk *ask, double cost);
/* The first byte of the answer came after_us after the request was sent. */
void place_report_first (Place *place, uint64_t request, int64_t after_us);
/* The head of the answer to the request carried this notice of its server; empty: none. */
NoticesChange place_report_notice (Place *place, uint64_t request, const char *server,
                                   const Notice *notice);
/* The server's notice could not be parsed. True: for the first time. */
bool place_report_unreadable (Place *place, const char *server);
/* Why the server does not want requests from this entry, by its own notice: "leaving", or
 * "backoff" and for how long; NULL: it takes them. If it does not, schedulers are told of the
 * notice again. */
const char *place_block_reason (Place *place, const char *server, int64_t *for_us);
/* The server has sent nothing of the answer for longer than it should. */
void place_report_silence (Place *place, uint64_t request);
/* The request has ended at its server, or no longer waits. */
void place_end (Place *place, uint64_t request, const SchedResult *result);
/* Who schedules for this entry: "voter", "deputy" or "own". */
const char *place_scheduler_name (const Place *place);
bool place_uses_voter (const Place *place);
unsigned place_waiting_count (const Place *place);

#endif
