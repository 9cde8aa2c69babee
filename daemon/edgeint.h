/* edgeint.h - the callers' port, shared by edge.c and answer.c only. */
#ifndef EDGEINT_H
#define EDGEINT_H

#include "edge.h"
#include "http.h"

struct Edge
{
  Core *core;
  Back *back;
  struct _u_instance http;
  uint64_t incarnation; /* tells callers a restarted process from its predecessor */
  gint closing;
  gint busy;
};

/* Answers with the call's stream from its first piece on; its end or failure closes it. */
void answer_stream (Edge *edge, Call *call, struct _u_response *response);
/* The whole answer of a finished call. */
void answer_complete (Call *call, struct _u_response *response);
/* Blocks until the call is finished. */
void answer_wait_end (Call *call);
/* Blocks until the first piece or the end, so that a failure before it can have its own HTTP
 * status. False: it failed before. */
bool answer_wait_first_piece (Call *call);
/* An answer kept here or at another instance. asker: the call that repeats a key, or NULL. */
void answer_by_id (Edge *edge, const char *id, const char *org, Call *asker,
                   struct _u_response *response);

#endif
