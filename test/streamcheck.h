/* streamcheck.h - checks a stream of events as its caller gets it: joins all attempts by event
 * number and version. Expects events "id: N" with data "event N of VERSION", numbered from 1. */
#ifndef STREAMCHECK_H
#define STREAMCHECK_H

#include <stdbool.h>
#include <stddef.h>

typedef enum
{
  SC_REPEATED,      /* a number that the caller has already */
  SC_WENT_BACK,     /* a number below the one before it */
  SC_MISSING,       /* a number that was left out */
  SC_OTHER_VERSION, /* another version than the first event's */
  SC_ENDED_EARLY,   /* ended as complete before the last event */
  SC_BEYOND,        /* a number above the last event's */
  SC_MALFORMED,     /* no number, or data that doesn't match it */
  SC_PARTIAL,       /* ended as complete within an event */
  SC_FAULTS
} ScFault;

typedef struct StreamCheck StreamCheck;

/* last: number of the stream's last event. */
StreamCheck *sc_new (unsigned last);
void sc_free (StreamCheck *check);
/* An attempt begins. asked: the Last-Event-Id that it names; 0: none. The caller forgets what it
 * has after that number; what it lacks up to it counts as missing. */
void sc_begin (StreamCheck *check, const char *id, unsigned asked);
/* Adds bytes of the attempt's body, split anywhere. */
void sc_feed (StreamCheck *check, const char *bytes, size_t size);
/* complete: the answer ended as complete; else it broke off, and a partial event is dropped. */
void sc_end (StreamCheck *check, bool complete);
/* Number of the last event that the caller has; 0: none. */
unsigned sc_last_event (const StreamCheck *check);
/* Id of the attempt that brought the first event, and the version of that event; "": none. */
const char *sc_first (const StreamCheck *check);
const char *sc_version (const StreamCheck *check);
/* How often a fault was found. */
unsigned sc_count (const StreamCheck *check, ScFault fault);
/* Describes the first fault; NULL: there is none. Valid until the next call that adds to it. */
const char *sc_report (const StreamCheck *check);

#endif
