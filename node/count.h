/* count.h - counters and histograms of one instance, as text for metrics. */
#ifndef COUNT_H
#define COUNT_H

#include "foxtail.h"

typedef enum
{
  COUNT_REQUESTS,
  COUNT_ANSWERED,
  COUNT_REFUSED,
  COUNT_UNKNOWN,      /* ended with 502 or 504 */
  COUNT_BROKEN_OFF,   /* an answer that had begun was broken off */
  COUNT_CALLERS_LEFT, /* callers that left before the end */
  COUNT_SENDS,
  COUNT_REPEATS,
  COUNT_RESUMES,
  COUNT_UNREACHED,
  COUNT_SILENT_TRIES,
  COUNT_FALL_BACKS, /* times that the voter in charge was given up as scheduler */
  COUNT_CATALOGUES,
  COUNT_LISTS,
  COUNT_LIST_FAILURES,
  COUNT_GRANTS,
  COUNT_SERVER_ENDS,      /* servers that ended while they ran requests of this instance */
  COUNT_QUARANTINED,      /* requests ended since servers end under their content */
  COUNT_NOTICES,          /* answers in which a server said something of itself */
  COUNT_GRANTS_RETURNED,  /* grants given back, since their server wants nothing from this instance
                           */
  COUNT_RETURNS_PROMISED, /* times promised to refused callers ... */
  COUNT_RETURNS_KEPT,     /* ... at which they were served */
  COUNT_RETURNS_LAPSED,   /* ... at which they did not come */
  COUNT_RETURNS_LOST,     /* ... at which they came and could not be served */
  COUNT_FAIR_QUEUED,      /* requests that wait, since of what waits much goes behind them */
  COUNT_FAIR_REFUSED,     /* requests refused, since others will go before them */
  COUNT_GREETINGS,        /* words of a voter that has started, sent or taken */
  COUNT_HANDOVERS,        /* times that this instance began to schedule for others and settled */
  COUNT_HELD_ASKS,        /* asks that waited for the end of a handover */
  COUNTERS
} Counter;

typedef enum
{
  TIMED_WAIT,  /* from a request's arrival to its place */
  TIMED_FIRST, /* from sending to the first of the answer */
  TIMED_WHOLE, /* from arrival to the end of the answer */
  TIMED_TURN,  /* one turn of the loop */
  TIMED_LATE,  /* from a timer's time to its firing */
  TIMED
} Timed;

void count_inc (Counter counter);
void count_add (Counter counter, uint64_t number);
uint64_t count_get (Counter counter);
void count_observe (Timed timed, int64_t us);
/* All of them in the usual text format, and extra behind; g_free. */
char *count_format (const char *extra);

#endif
