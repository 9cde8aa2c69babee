/* reqint.h - the record of a request, shared by requests.c, reqask.c, try.c and reqend.c only. */
#ifndef REQINT_H
#define REQINT_H

#include "content.h"
#include "events.h"
#include "patience.h"
#include "requests.h"
#include "retry.h"
#include "crashrep.h"

#define SILENT_EVENT                                                                               \
  (1200 * FT_MS) /* between events: above a long prompt's stall of neighbours                      \
                  */

typedef struct
{
  Requests *all;
  uint64_t number; /* of the ask that is open; another one for each try */
  HCall *call;
  RtCat *cat;
  const RtRoute *route;
  const RtOrg *org;
  SeamRequest facts;
  char id[SEAM_ID_MOST];
  uint64_t content; /* its identity; 0: the organisation is not known yet */
  const char *service;
  int64_t arrived, end_at, first_by;
  int64_t waited_before; /* by its caller, before it came back */
  LoopTimer limit, silence;
  LoopTimer settle; /* armed: it waits for what others say of its content */
  bool placed;      /* a place was granted once: it is counted against its limit */
  /* The tries. */
  unsigned sends, unreached;
  bool may_have_run, may_have_run_before; /* before: by an earlier try */
  char *avoid, *server;
  SockAddr addr; /* of server */
  HXfer *xfer;
  /* The answer of the try. */
  int64_t sent_at, first_at, event_at, event_sum;
  int64_t rested;     /* how long the connection had; 0: a new one */
  bool broke;         /* it did so as the request was sent */
  int64_t pause_most; /* longest between two events */
  unsigned slowness;  /* that the answer's head told of its server's machine, percent; 0: nothing */
  unsigned events, status;
  HXferFault fault; /* what ended its connection, if one did */
  bool faulty;      /* one did */
  bool head_seen, is_stream, rejected;
  bool elsewhere; /* rejected, by another server than the one that was meant */
  bool unframed;  /* the answer ends with its connection, so a broken one looks whole */
  bool slowed;    /* its caller reads too slowly, so the answer's rest stays with the server */
  GString *fields, *held;
  /* The answer to the caller. */
  Events *stream;
  bool begun;
} Req;

struct Requests
{
  RequestsConf conf;
  RtCat *cat;
  Patience *patience;
  GHashTable *by_number; /* number: Req */
  GPtrArray *parked;     /* Req that wait for the first catalogue */
  LoopTimer review;      /* armed: verdicts on contents have changed */
  uint64_t next_number;
  unsigned open;
};

/* ---- Life of a request (requests.c) ---- */

/* The try has come to this; what follows is decided and done. req may be gone after. */
void req_after_try (Req *req, RetryEvent event);

/* ---- Its way to a place (reqask.c) ---- */

/* Asks for a place, unless servers have ended under the content: then it is held back for a moment
 * or ended. */
void req_ask (Req *req);
/* When it has been held back for long enough. */
void req_on_verdict_wait_over (LoopTimer *timer);
/* When verdicts on contents have changed. */
void req_on_recheck (LoopTimer *timer);

/* ---- Ends (reqend.c) ---- */

int64_t req_now (const Req *req);
/* Verdicts on the ask that was open are no longer for this request. */
void req_clear_number (Req *req);
/* The line of the request's end, with all that decided it. */
void req_log_end (const Req *req, const char *event, unsigned status, const char *why);
/* Ends the try that is open, if one is, and tells the scheduler what came of it. */
void req_end_try (Req *req, SchedOutcome outcome);
/* The three ends of a request; req is gone after. An answer of this instance's own, which no server
 * has signed; retry_us: advice when to come back, 0: none. */
void req_answer_error (Req *req, unsigned status, int64_t retry_us, const char *why);
/* The caller's connection is broken off, so that what it has cannot be taken for whole. */
void req_break_off (Req *req, const char *why);
/* The server's answer is whole. */
void req_finish (Req *req);
void req_free (Req *req);

/* ---- One try at a server (try.c) ---- */

/* Sends the request; req_after_try follows. */
void try_send (Req *req, const Grant *grant);
/* The caller has read on. */
void try_caller_drained (Req *req);
/* When the server of a try has been silent for too long. */
void try_on_silence (LoopTimer *timer);

#endif
