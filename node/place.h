/* place.h - an entry's way to a place for its requests: a scheduler for all entries while one
 * answers, and its own with a part of the places while none does. */
#ifndef PLACE_H
#define PLACE_H

#include "broker.h"
#include "notices.h"

typedef struct Place Place;

/* Never called from within place_ask. */
typedef struct
{
  void (*grant) (void *host, uint64_t request, const Grant *grant);
  void (*refuse) (void *host, uint64_t request, const SchedRefusal *refusal);
} PlaceOps;

/* self: IPv4 of this entry. */
Place *place_new (Loop *loop, Mesh *mesh, uint32_t self, const PlaceOps *ops, void *host);
void place_free (Place *place);
/* A voter's or a deputy's word on who schedules. */
void place_apply_view (Place *place, MeshPeer *peer, const MeshView *view);
/* Verdicts from schedulers; other messages are ignored. */
void place_message (Place *place, MeshPeer *peer, const MeshMsg *msg);
void place_link_up (Place *place, MeshPeer *peer);
void place_link_down (Place *place, MeshPeer *peer);
/* What the entry's own scheduler works with, and other entries may ask. */
Broker *place_own_broker (Place *place);

/* cost: tokens or requests counted against the organisation's limit; 0: none, or counted before. */
void place_ask (Place *place, const SchedAsk *ask, double cost);
void place_report_first (Place *place, uint64_t request, int64_t after_us);
/* The head of the answer to the request said this of its server; empty: nothing. */
NoticesChange place_report_notice (Place *place, uint64_t request, const char *server,
                                   const Notice *notice);
/* The server said something that cannot be read. True: for the first time. */
bool place_report_unreadable (Place *place, const char *server);
/* Why the entry sends nothing to the server, by the server's own word: "leaving", or "backoff" and
 * for how long; NULL: it may. Schedulers are told again. */
const char *place_block_reason (Place *place, const char *server, int64_t *for_us);
void place_report_silence (Place *place, uint64_t request);
void place_end (Place *place, uint64_t request, const SchedResult *result);
/* Who schedules for this entry: "voter", "deputy" or "own". */
const char *place_scheduler_name (const Place *place);
bool place_uses_voter (const Place *place);
unsigned place_waiting_count (const Place *place);

#endif
