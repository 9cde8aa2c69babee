/* retry.h - what to do with a request after a try at a backend server; private to the library and
 * its shells. */
#ifndef RETRY_H
#define RETRY_H

#include "route.h"

typedef enum
{
  RETRY_NOT_CONNECTED, /* no connection: no byte was sent */
  RETRY_REJECTED,      /* the server states that it did not run the request */
  RETRY_BROKEN,        /* sent; the connection broke, or the answer is malformed */
  RETRY_FAILURE,       /* a complete answer with a 5xx status */
  RETRY_ANSWERED,      /* any other complete answer */
  RETRY_STREAM_CUT,    /* a stream broke after its head was sent to the caller */
  RETRY_SILENT,        /* sent; no data for longer than expected */
  RETRY_OTHER_SERVER,  /* another server answered at the address and did not run the request */
  RETRY_UNCONFIRMED,   /* a stream without framing ended in order, so it may lack its last events */
  RETRY_UNDECIDED      /* an answer without framing ended in order, and it is not known yet whether
                          its server's run goes on */
} RetryEvent;

typedef struct
{
  RtKind kind;
  bool resumable;      /* streams of the route can be resumed on another server */
  bool begun;          /* the head of the answer was sent to the caller */
  bool is_stream;      /* the begun answer is a stream of events */
  bool unframed;       /* the caller sees the begun answer end with its connection */
  bool past_last_id;   /* the caller has events of it that no id names: it cannot be resumed */
  bool may_have_run;   /* a try was sent and its server did not state that it did not run it */
  unsigned sends;      /* servers to which the request was sent so far */
  unsigned most_sends; /* the route's limit for sends */
  unsigned unreached;  /* tries without a connection, or where another server answered */
  int64_t left_us;     /* remaining time of the caller */
  bool suspect;        /* servers ended while they ran this content before */
  bool budget;         /* the service's retry budget allows one more send */
} RetryFacts;

typedef enum
{
  RETRY_AGAIN,          /* try another server */
  RETRY_RESUME,         /* try another server, and resume the stream after its last event */
  RETRY_DELIVER,        /* give the caller the server's answer */
  RETRY_ANSWER_NOT_RUN, /* 503: the request has not run and will not */
  RETRY_ANSWER_UNKNOWN, /* 502: the request may have run */
  RETRY_ABORT,          /* the answer has begun: close the caller's connection */
  RETRY_WAIT,           /* keep waiting for the current try */
  RETRY_RESUME_LATER,   /* the same as RETRY_RESUME after a pause, and with the budget for it */
  RETRY_REPLACE         /* keep waiting, and end the try for another server once that has a place */
} RetryStep;

/* Decides the next step. */
RetryStep retry_next (RetryEvent event, const RetryFacts *facts);
/* Whether this step after this event needs the retry budget. Whoever executes the step takes it
 * from the budget; for RETRY_REPLACE, when the other server has a place. */
bool retry_uses_budget (RetryEvent event, RetryStep step);
const char *retry_event_name (RetryEvent event);
const char *retry_step_name (RetryStep step);

#endif
