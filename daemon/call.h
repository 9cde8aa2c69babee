/* call.h - one caller's request while this instance handles it, and the table of all of them. */
#ifndef CALL_H
#define CALL_H

#include "foxtail.h"

/* Locks used for requests are POSIX ones, because the thread sanitizer does not know GLib's. */
#include <pthread.h>

/* The scheduler's decision on a call. */
typedef enum
{
  CALL_PENDING,
  CALL_GRANTED,
  CALL_REFUSED
} CallDecision;

typedef struct
{
  gint refs;
  pthread_mutex_t lock; /* protects everything below the line */
  pthread_cond_t cond;
  uint64_t number;
  char *id; /* shown to the caller, sent to the backend server */
  char *pool, *org, *class_name;
  unsigned tier;
  bool service;                       /* for a plain service, not a model */
  bool stream;                        /* the caller wants a streamed answer */
  char *method, *path, *content_type; /* of the HTTP request */
  char *body;
  size_t body_size;
  unsigned prompt_tokens, max_tokens, block_count;
  uint64_t blocks[FT_BLOCKS_MAX];
  int64_t started_at, first_token_deadline, deadline;
  uint64_t revision; /* of the catalogue in force when it was accepted */
  char *claim_key;   /* organisation/Idempotency-Key; NULL: it may run more than once */
  char trace_id[33], span_id[17], parent_id[17];
  /* ---- */
  FtReq *req;
  CallDecision decision;
  char server[64];
  FtRefusal refusal;
  GString *content; /* models: text of all pieces received in order */
  size_t held;      /* bytes of its answer that count in Back.bound */
  bool sent;        /* the caller needs nothing more of it */
  unsigned attempt; /* number of the connection in use; data from older ones is dropped */
  unsigned reconnects;
  unsigned failed_reconnects; /* after broken connections, since the latest piece */
  bool paused, finished;
  bool send_ended;     /* streams: the connection of the first attempt has ended */
  bool send_rejected;  /* streams: it ended with an HTTP error */
  bool crash_reported; /* the crash of its server was reported */
  FtReason failure;    /* finished without a complete answer */
  int answer_status;   /* services: HTTP status of the backend server */
  char *answer_content_type;
  int64_t decided_at, first_token_at, last_token_at;
  int64_t reported_at; /* last progress report or reconnection after silence */
  int64_t finished_at;
  void *core, *back;
} Call;

Call *call_new (const char *id);
Call *call_ref (Call *call);
void call_unref (Call *call);
/* Blocks until the scheduler has granted or refused the call. */
CallDecision call_wait_decision (Call *call);
/* Bytes of memory that the call with its request and answer takes. */
size_t call_memory_size (Call *call);

/* ---- Table of calls by id; finished ones are kept for a limited time and size ---- */

typedef struct CallTable CallTable;
/* keep: microseconds; bytes: memory for all finished calls, the oldest are dropped first. */
CallTable *calls_new (int64_t keep, int64_t bytes);
void calls_free (CallTable *calls);
/* FT_CONFLICT: a call with this id is in the table. */
FtStatus calls_add (CallTable *calls, Call *call);
/* Returns a new reference, or NULL. */
Call *calls_find (CallTable *calls, const char *id);
/* Marks the call finished; from now on the limits on time and bytes apply to it. */
void calls_finish (CallTable *calls, Call *call, int64_t now);
/* Removes a call that did not finish: it was refused. */
void calls_remove (CallTable *calls, Call *call);
/* Number of calls that have not finished. */
unsigned calls_running (CallTable *calls);
/* Returns new references to all unfinished calls. */
GPtrArray *calls_unfinished (CallTable *calls);

#endif
