/* soakver.h - the soak test's servers of two software versions side by side, and the callers that
 * take up streams that broke off. */
#ifndef SOAKVER_H
#define SOAKVER_H

#include "fleet.h"
#include "streamcheck.h"

/* A stream over all attempts of its caller. */
typedef struct
{
  StreamCheck *check; /* NULL: no attempt had an answer yet */
  unsigned returns;   /* how often the caller has taken it up */
} SoakStream;

/* Has a random generator of its own, so that a seed keeps its sequence of faults. side_by_side: all
 * versions get requests. */
void soakver_begin (Fleet *fleet, unsigned seed, bool side_by_side);
/* From now on servers that crash may come back with another version. */
void soakver_mix (void);
/* Call in each round. */
void soakver_turn (void);
/* Forgets an earlier stream. */
void soakver_reset (SoakStream *stream);
/* Checks the events of an answer, complete or not, which go on where the stream was, and adds them.
 */
void soakver_take (SoakStream *stream, const char *id, const Answer *answer);
/* True if the caller takes the stream up, which broke off. */
bool soakver_returns (const SoakStream *stream);
/* Sends that attempt. */
void soakver_send (SoakStream *stream, const FleetNode *entry, const char *id, const char *body,
                   Answer *answer);
/* Number of the last event that the caller has; 0: none. */
unsigned soakver_last_event (const SoakStream *stream);
/* Version of the first event; "": there is none. */
const char *soakver_version (const SoakStream *stream);
/* True if at some time since then no server of the stream's version could be used. */
bool soakver_was_gone (const SoakStream *stream, int64_t since);
/* Prints how many streams were taken up and what came of it. */
void soakver_end (void);

#endif
