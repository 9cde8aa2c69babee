/* count.h - counters and histograms of one instance, and their text for the metrics page. */
#ifndef COUNT_H
#define COUNT_H

#include "foxtail.h"

typedef enum
{
  COUNT_REQUESTS,
  COUNT_ANSWERED,
  COUNT_REFUSED,
  COUNT_UNKNOWN,      /* ended with 502 or 504 */
  COUNT_BROKEN_OFF,   /* answers that were cut after they had begun */
  COUNT_CALLERS_LEFT, /* callers that left before their answer ended */
  COUNT_SENDS,
  COUNT_REPEATS,
  COUNT_RESUMES,
  COUNT_UNREACHED,
  COUNT_SILENT_TRIES,
  COUNT_FALL_BACKS, /* switches of the scheduler to a deputy or to the entry's own */
  COUNT_CATALOGUES,
  COUNT_LISTS,
  COUNT_LIST_FAILURES,
  COUNT_GRANTS,
  COUNT_SERVER_ENDS,      /* servers that ended while running requests of this instance */
  COUNT_QUARANTINED,      /* requests ended because their content is quarantined */
  COUNT_NOTICES,          /* answers with a notice of their server */
  COUNT_GRANTS_RETURNED,  /* grants returned because their server does not want requests of this
                             instance */
  COUNT_RETURNS_PROMISED, /* reservations made for refused callers ... */
  COUNT_RETURNS_KEPT,     /* ... that were used */
  COUNT_RETURNS_LAPSED,   /* ... whose callers did not return in time */
  COUNT_RETURNS_LOST,     /* ... whose callers returned and could not be served */
  COUNT_FAIR_QUEUED,      /* queued by fair order; by due time they would have been refused */
  COUNT_FAIR_REFUSED,     /* refused by fair order; by due time they would have been queued */
  COUNT_GREETINGS,        /* greetings of voters that have started, sent or received */
  COUNT_HANDOVERS,        /* handovers to this instance as a scheduler that have ended */
  COUNT_HELD_ASKS,        /* asks held until the end of a handover */
  COUNT_STREAMS_RETURNED, /* streams that their callers took up again */
  COUNT_ORIGINS_UNKNOWN,  /* ... and that were refused, since their version is not known */
  COUNT_ENDS_UNFRAMED,  /* tries whose answer ended in order with its connection, without framing */
  COUNT_ENDS_UNDECIDED, /* ... and about which nothing was known when its connection was given up */
  COUNT_STATUS_CHECKS,  /* sent to find out whether a server's run goes on */
  COUNT_EVENTS_DROPPED, /* events of streams whose number was not above the one before */
  COUNT_EVENTS_SKIPPED, /* numbers that no event had, between two events of a stream */
  COUNTERS
} Counter;

typedef enum
{
  TIMED_WAIT,  /* from a request's arrival to its grant */
  TIMED_FIRST, /* from sending to the first byte of the answer */
  TIMED_WHOLE, /* from arrival to the end of the answer */
  TIMED_TURN,  /* one iteration of the event loop */
  TIMED_LATE,  /* from a timer's due time to its firing */
  TIMED
} Timed;

void count_inc (Counter counter);
void count_add (Counter counter, uint64_t number);
uint64_t count_get (Counter counter);
void count_observe (Timed timed, int64_t us);
/* All counters and histograms in the Prometheus text format, followed by extra; free it with
 * g_free. */
char *count_format (const char *extra);

#endif
