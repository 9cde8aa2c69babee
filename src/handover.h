/* handover.h - limits what a scheduler grants while instances that it has not served before still
 * have to report what they hold. No I/O; private to the library and its shells.
 *
 * A handover begins when instances turn to a scheduler that did not serve them. It ends when all
 * expected owners have reported or its time is over. Requests that fail only because the
 * scheduler's share is small until then are queued here.
 */
#ifndef HANDOVER_H
#define HANDOVER_H

#include "scheduler.h"

typedef struct Hand Hand;

Hand *hand_new (FtClock *clock);
void hand_free (Hand *hand);
/* Sets the longest duration of a handover in microseconds; 0, the initial value: no handovers. */
void hand_set_max_wait (Hand *hand, int64_t max_us);
/* Begins a handover with this number of owners. Earlier reports stay valid. */
void hand_begin (Hand *hand, unsigned expected);
/* The owner sends a request. Begins a handover and returns true if the owner is new and less than
 * half of the expected owners send their requests here, but not soon after a handover in which less
 * than half of them reported. */
bool hand_note_request (Hand *hand, uint64_t owner, unsigned expected);
/* The owner has reported what it holds. */
void hand_note_report (Hand *hand, uint64_t owner);
/* The owner's link is down or it turned to another scheduler; its report is no longer awaited. */
void hand_owner_gone (Hand *hand, uint64_t owner);
/* The share of places and limits that may be granted, 0 to 1. */
double hand_share (const Hand *hand);
/* True: no handover is in progress. */
bool hand_is_over (const Hand *hand);

typedef struct
{
  unsigned reported, expected;
  int64_t after_us; /* duration */
  const char *why;  /* why it ended */
} HandResult;

/* True once for each handover that has ended. */
bool hand_take_result (Hand *hand, HandResult *out);

/* ---- Requests that wait for the end of a handover ---- */

/* Queues a copy of the request. False: it must be decided now, since no handover is in progress or
 * too many requests are queued. */
bool hand_hold (Hand *hand, const SchedAsk *ask);
/* The oldest request that is due to be decided, valid until hand_free_due; NULL: none. */
const SchedAsk *hand_next_due (Hand *hand);
/* Removes the request that hand_next_due returned. */
void hand_free_due (Hand *hand);
/* Removes a withdrawn request, or all requests of an owner. */
void hand_cancel (Hand *hand, uint64_t owner, uint64_t request);
void hand_cancel_owner (Hand *hand, uint64_t owner);

#endif
