/* call.h - one request of a caller on its way through this instance. */
#ifndef CALL_H
#define CALL_H

#include "foxtail.h"

/* Locks on a request's path are those of POSIX: the thread sanitizer knows them, not GLib's. */
#include <pthread.h>

typedef enum
{
  CALL_ASKING,
  CALL_GRANTED,
  CALL_REFUSED
} CallDecision;

typedef struct
{
  gint refs;
  pthread_mutex_t lock; /* of all below the line */
  pthread_cond_t cond;
  uint64_t number;
  char *id; /* shown to the caller, sent to the backend server */
  char *pool, *org, *class_name;
  unsigned tier;
  bool service, stream;
  char *method, *path, *type; /* services */
  char *body;
  size_t body_size;
  unsigned prompt_tokens, most_tokens, block_count;
  uint64_t blocks[FT_BLOCKS_MAX];
  int64_t started, first_by, due;
  uint64_t revision; /* of the catalogue that it was taken under */
  char *claim_key;   /* NULL: idempotent */
  char trace_id[33], span_id[17], parent_id[17];
  /* ---- */
  FtReq *req;
  CallDecision decision;
  char server[64];
  FtRefusal refusal;
  GString *content; /* model answers: the text of all pieces in order */
  unsigned attempt; /* connection in use; bytes of older ones are dropped */
  unsigned reconnects;
  bool paused, finished;
  bool end_told;     /* that its server has ended */
  FtReason failure;  /* finished without a whole answer */
  int answer_status; /* services: HTTP status of the backend server */
  char *answer_type;
  int64_t decided, first_at, last_at, told_at, finished_at;
  void *core, *back;
} Call;

Call *call_new (const char *id);
Call *call_ref (Call *call);
void call_unref (Call *call);
/* Blocks until the scheduler has decided. */
CallDecision call_wait_decision (Call *call);
/* Bytes that the finished answer holds. */
size_t call_size (Call *call);

/* ---- Calls by id, for a stated time and within a stated bound ---- */

typedef struct Book Book;
Book *book_new (int64_t keep, int64_t bytes);
void book_free (Book *book);
/* FT_CONFLICT: an id that is known. */
FtStatus book_add (Book *book, Call *call);
/* A new reference, or NULL. */
Call *book_find (Book *book, const char *id);
/* The call ended: from now on its time and bytes count. */
void book_finished (Book *book, Call *call, int64_t now);
void book_remove (Book *book, Call *call);
/* Calls that have not finished. */
unsigned book_running (Book *book);
/* New references to all unfinished calls. */
GPtrArray *book_unfinished (Book *book);

#endif
