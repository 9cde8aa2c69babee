/* edgeint.h - internals of the callers' port, for edge.c and answer.c only. */
#ifndef EDGEINT_H
#define EDGEINT_H

#include "edge.h"
#include "http.h"

struct Edge
{
  Core *core;
  Back *back;
  struct _u_instance http;
  uint64_t incarnation; /* random for each process; lets callers detect a restart */
  gint closing;         /* atomic: new requests are refused */
  gint busy;            /* atomic: HTTP requests and streams being answered */
};

/* Answers with the call's stream, from its first piece to its end or failure. */
void answer_stream (Edge *edge, Call *call, struct _u_response *response);
/* Answers with the complete answer of a finished call, or its failure. */
void answer_complete (Call *call, struct _u_response *response);
/* Counts a complete response as busy until the HTTP library has sent it; a stream is counted by
 * answer_stream. Without this, a shutdown would cut off an answer that its caller reads slowly. */
void answer_count_until_sent (Edge *edge, struct _u_response *response);
/* Blocks until the call is finished. */
void answer_wait_end (Call *call);
/* Blocks until the first piece or the end. False: the call failed before its first piece, so its
 * failure can still be sent as an HTTP status. */
bool answer_wait_first_piece (Call *call);
/* Answers with an answer kept here or at another instance. asker: the call that repeats an
 * idempotency key, NULL for GET /v1/requests/ID. */
void answer_by_id (Edge *edge, const char *id, const char *org, Call *asker,
                   struct _u_response *response);

#endif
