/* retry.h - what becomes of a request after a try at a backend server; private to the library and
 * its shells. */
#ifndef RETRY_H
#define RETRY_H

#include "route.h"

typedef enum
{
  RETRY_NOT_CONNECTED, /* no connection: no byte was sent */
  RETRY_REJECTED,      /* the server states that it did not run the request */
  RETRY_BROKEN,        /* sent; the connection broke, or what came is no answer */
  RETRY_FAILURE,       /* a whole answer that says failure (5xx) */
  RETRY_ANSWERED,      /* a whole answer that does not */
  RETRY_STREAM_CUT,    /* a stream broke after its head went to the caller */
  RETRY_SILENT,        /* sent; nothing came for longer than it should take */
  RETRY_OTHER_SERVER   /* another server answered at its address, and did not run the request */
} RetryEvent;

typedef struct
{
  RtKind kind;
  bool resumable;      /* a stream of the route may go on elsewhere */
  bool begun;          /* the head of the answer has gone to the caller */
  bool may_have_run;   /* some try was sent and not denied by its server */
  unsigned sends;      /* servers to which the request was sent so far */
  unsigned most_sends; /* the route's bound on them */
  unsigned unreached;  /* tries that found no connection, or not the server that was meant */
  int64_t left_us;     /* of the caller's time */
  bool suspect;        /* servers have ended under its content before */
  bool budget;         /* one more send fits the service's budget of repeats */
} RetryFacts;

typedef enum
{
  RETRY_AGAIN,          /* ask for another server */
  RETRY_RESUME,         /* the same, and go on behind the last event */
  RETRY_DELIVER,        /* give the caller the server's answer */
  RETRY_ANSWER_NOT_RUN, /* 503: it has not run and never will */
  RETRY_ANSWER_UNKNOWN, /* 502: nothing is promised */
  RETRY_ABORT,          /* the answer has begun: break the caller's connection */
  RETRY_WAIT            /* go on waiting for the try */
} RetryStep;

RetryStep retry_next (RetryEvent event, const RetryFacts *facts);
/* Does this step after this event draw on the budget of repeats? Whoever acts on the step takes
 * it then. */
bool retry_uses_budget (RetryEvent event, RetryStep step);
const char *retry_event_name (RetryEvent event);
const char *retry_step_name (RetryStep step);

#endif
