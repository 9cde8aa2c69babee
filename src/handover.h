/* handover.h - how much of what it shares out a scheduler may give away while instances that it did
 * not serve before still have to tell it what they hold. No I/O; private to the library and its
 * shells.
 *
 * A handover begins when a scheduler starts to be asked and ends, settled, when all expected owners
 * have reported or a time has passed. Asks that fail only because the scheduler's part is small
 * until then are kept here.
 */
#ifndef HANDOVER_H
#define HANDOVER_H

#include "scheduler.h"

typedef struct Hand Hand;

Hand *hand_new (FtClock *clock);
void hand_free (Hand *hand);
/* Longest time of a handover, microseconds; 0, as at first: there are none. */
void hand_set_max_wait (Hand *hand, int64_t most_us);
/* Everything is handed over anew by so many owners; what was reported before stays reported. Not
 * soon after a handover in which fewer than half of them reported. */
void hand_begin (Hand *hand, unsigned expected);
/* The owner asks for something. One that is new, where less than half of the expected ask here,
 * begins a handover: true. */
bool hand_note_request (Hand *hand, uint64_t owner, unsigned expected);
/* The owner has told what it holds. */
void hand_note_report (Hand *hand, uint64_t owner);
/* The owner's link is down or it asks another scheduler; it is no longer waited for. */
void hand_owner_gone (Hand *hand, uint64_t owner);
/* The part of places and limits that may be given away, 0 to 1. */
double hand_share (const Hand *hand);
bool hand_is_over (const Hand *hand);

typedef struct
{
  unsigned reported, expected;
  int64_t after_us;
  const char *why;
} HandResult;

/* True once for each handover that has ended. */
bool hand_take_result (Hand *hand, HandResult *out);

/* ---- Asks that wait for the end of a handover ---- */

/* Copies the ask. False: it is not to wait, since nothing is being handed over or too many wait. */
bool hand_hold (Hand *hand, const SchedAsk *ask);
/* The oldest ask that is to be decided now, until hand_free_due; NULL: none. */
const SchedAsk *hand_next_due (Hand *hand);
/* Frees what hand_next_due returned. */
void hand_free_due (Hand *hand);
/* An ask was withdrawn; all of an owner's were. */
void hand_cancel (Hand *hand, uint64_t owner, uint64_t request);
void hand_cancel_owner (Hand *hand, uint64_t owner);

#endif
