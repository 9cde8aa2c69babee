/* reqint.h - the state of a request; private to requests.c, reqask.c, reqorigin.c,
 * try.c, tryend.c and reqend.c. */
#ifndef REQINT_H
#define REQINT_H

#include "content.h"
#include "events.h"
#include "patience.h"
#include "requests.h"
#include "retry.h"
#include "origdir.h"
#include "crashrep.h"

#define EVENT_TIMEOUT                                                                              \
  (1200 * FT_MS) /* between two events: longer than the prefill of a long prompt stalls the        \
                    other streams of its server */

typedef struct
{
  struct cds_list_head link; /* in Requests.all */
  Requests *requests;
  uint64_t number;      /* of the open ask, a new one for each try; 0: none is open */
  uint64_t next_number; /* of an ask for another place while the current try goes on; 0: none */
  HCall *call;
  RtCat *cat;
  const RtRoute *route;
  const RtOrg *org;
  AdapterRequest facts;
  char id[ADAPTER_ID_MAX];
  Fingerprint *print; /* NULL: no route was found yet */
  const char *service;
  char *version;      /* that began the stream, and at which alone it goes on; NULL: none yet */
  int64_t gone_since; /* when no server of that version was listed first; 0: there was always one */
  int64_t unusable_at;     /* when a place was granted last that could not be used; 0: never */
  OriginLookup lookup;     /* for a stream that the caller takes up again */
  LoopTimer versions_wait; /* until it is known which versions were listed lately */
  int64_t arrived;
  int64_t deadline;         /* deadline of the whole answer */
  int64_t first_deadline;   /* deadline of the first byte of the answer */
  int64_t waited_before;    /* time that the caller spent on an earlier attempt that was refused */
  LoopTimer deadline_timer; /* fires at the deadline */
  LoopTimer silence;        /* fires when the server has sent nothing for too long */
  LoopTimer verdict_wait;   /* armed while the quarantine verdict on its content is awaited */
  LoopTimer ask_pause;      /* armed between a refusal and the next ask of a begun answer */
  LoopTimer confirmation;   /* armed while it is found out whether a stream has ended */
  bool unconfirmed;         /* ... which no server has said */
  bool asked_for_more;      /* a server was sent the request since it ended */
  bool needs_budget;        /* the next ask, after ask_pause, needs the retry budget */
  bool was_granted; /* a place was granted before: the organisation's limit has been charged */
  /* The tries. */
  unsigned sends, unreached;
  bool spared_attempt; /* a try of the begun answer that broke at once was left out of sends */
  bool may_have_run;
  bool may_have_run_before; /* in a try before the current one */
  char *avoid_server;       /* server of the last failed try; the next one goes to another */
  char *server;
  char *software;        /* version of the server's software; NULL: unknown */
  SockAddr addr;         /* of server */
  char *server_name;     /* the server's own name, by which it is addressed */
  int64_t max_idle_us;   /* connections that were idle for longer are not used */
  SockAddr relay;        /* through which the current try goes; port 0: none */
  unsigned relays_tried; /* for the current place */
  bool direct_tried;     /* for the current place */
  HXfer *xfer;
  /* The answer to the current try. */
  int64_t sent_at, first_at, event_at, event_gap_sum;
  int64_t received_at;   /* when the server last sent a part of the answer; 0: nothing yet */
  bool silence_reported; /* nothing has come since the scheduler was told of a silence */
  int64_t silence_limit; /* for which the silence timer was last set */
  int64_t conn_idle;     /* how long the reused connection had been idle; 0: a new one */
  bool broke_on_send;    /* the connection broke right after the request was sent */
  int64_t longest_pause; /* longest between two events */
  unsigned slowness; /* of the server's machine in percent, as the answer's head states it; 0: not
                        stated */
  unsigned events, status;
  HXferFault fault; /* why the connection failed; valid if has_fault */
  bool has_fault;
  bool head_seen, is_stream, rejected;
  size_t rejection_bytes;  /* of the body of the rejection */
  bool wrong_server;       /* rejected by a server other than the addressed one */
  bool close_delimited;    /* the end of the connection ends the answer, so a truncated one looks
                              complete */
  LifetimeWait end_wait;   /* waits, after such an end, for whether the server's run goes on */
  int64_t ended_at;        /* when it ended so; 0: it has not */
  LoopTimer end_undecided; /* armed while only that is waited for */
  bool end_decided;        /* ... and the check of the server has a result: */
  bool run_goes_on;
  bool read_paused;  /* the caller reads too slowly, so reading from the server is paused */
  GString *fields;   /* header fields of the answer */
  GString *buffered; /* body of a plain answer that is not complete yet */
  /* The answer to the caller. */
  Events *stream;
  bool begun;             /* its head has been sent */
  bool begun_stream;      /* and it is a stream of events */
  int64_t delivered_at;   /* when the caller was last sent a part of it */
  const char *last_event; /* name of the event that ended the last try; NULL: no try has ended */
} Req;

struct Requests
{
  RequestsConf conf;
  RtCat *cat;
  Patience *patience;
  GHashTable *by_number;         /* number -> Req */
  GPtrArray *awaiting_catalogue; /* Req, waiting for the first catalogue */
  LoopTimer recheck;             /* armed when quarantine verdicts have changed */
  struct cds_list_head all;      /* Req */
  int64_t ends_at;               /* when the process ends, by which all are answered; 0: it stays */
  uint64_t next_number;
  unsigned open_count;
};

/* ---- Life of a request (requests.c) ---- */

/* Ends or continues the request after this outcome of a try. May free req. */
void req_after_try (Req *req, RetryEvent event);

/* ---- Asking for a place (reqask.c) ---- */

/* Asks for a place. A request whose content has ended servers is delayed until the quarantine
 * verdict is final, or ended. */
void req_ask (Req *req);
/* Asks for a place at another server while the current try goes on. */
void req_ask_replacement (Req *req);
/* Whether the request must not be sent to a server now, because of crashes that it would cause. */
bool req_is_quarantined (const Req *req);
/* Withdraws that ask, if there is one. */
void req_withdraw_replacement (Req *req);
/* Makes that ask the request's own, since its try has ended. */
void req_promote_replacement (Req *req);
/* Asks again after a pause, advice_us if that is not too short or long. False: the caller gives up
 * before. */
bool req_ask_later (Req *req, int64_t advice_us);
/* Timer: that pause is over. */
void req_on_ask_pause_over (LoopTimer *timer);
/* Timer: the request has waited long enough for the quarantine verdict. */
void req_on_verdict_wait_over (LoopTimer *timer);
/* Timer: quarantine verdicts have changed. */
void req_on_recheck (LoopTimer *timer);

/* ---- The version that began a stream (reqorigin.c) ---- */

/* True if the caller takes up a stream of which it has the first events. */
bool req_is_return (const Req *req);
/* Finds out which version began it, and then asks for a place or refuses the request. */
void req_find_origin (Req *req);
/* The first event of a stream is about to be passed on. */
void req_record_origin (Req *req);

/* ---- Ending requests and tries (reqend.c) ---- */

int64_t req_now (const Req *req);
/* The current try, as its server's crash would be charged to it. Borrows from req. */
CrashRun req_crash_run (const Req *req);
/* Closes the open ask: a decision on it that still arrives is ignored. */
void req_clear_number (Req *req);
/* Logs the end of the request with everything that decided it. */
void req_log_end (const Req *req, const char *event, unsigned status, const char *why);
/* Ends the current try, if there is one, and tells the scheduler its outcome. */
void req_end_try (Req *req, SchedOutcome outcome);
/* Gives the place back, if one is held, with the outcome of the try at it. */
void req_give_place_back (Req *req, SchedOutcome outcome);
/* The three ways to end a request; each frees req. Answers with an error of this instance's own,
 * without a server's identifier in it; retry_us: when the caller should retry, 0: not stated. */
void req_answer_error (Req *req, unsigned status, int64_t retry_us, const char *why);
/* Aborts the caller's connection, so that the partial answer cannot be taken for a complete one. A
 * stream without framing that has ended in order, and about which no server could be asked, ends so
 * for the caller, too. */
void req_break_off (Req *req, const char *why);
/* Delivers or ends the server's complete answer. */
void req_finish (Req *req);
void req_free (Req *req);

/* ---- One try at a server (try.c) ---- */

/* Sends the request to the granted server; req_after_try is called with the outcome. */
void try_send (Req *req, const Grant *grant);
/* Sets the timer for the next part of the answer. */
void try_arm_silence_timer (Req *req, int64_t in);
/* The caller has caught up: resumes reading from the server. */
void try_caller_drained (Req *req);
/* Timer: the server has sent nothing for too long. */
void try_on_silence (LoopTimer *timer);
/* Delivers a complete answer, or what it leads to. */
void try_finish_answer (Req *req);

/* ---- The end of an answer without framing (tryend.c) ---- */

/* The answer has ended in order with its connection, which is held for a reset. */
void tryend_begin (Req *req);
/* The connection is gone, or the check of the server has a result: goes on once both are so. */
void tryend_finish (Req *req);
/* The check has a result. */
void tryend_on_decided (LifetimeWait *wait, LifetimeState state, const char *evidence);
/* Waits for the result, or until the request is to be sent to another server. */
void tryend_await_decision (Req *req);
/* Timer: that has lasted for some time. */
void tryend_on_undecided (LoopTimer *timer);
/* Timer: nobody has confirmed in time that the stream has ended. */
void tryend_on_confirmation_over (LoopTimer *timer);
/* True while the result is awaited; the try may have no transfer then. */
bool tryend_is_awaited (const Req *req);
/* The server may have crashed; the crash reporter finds out whether it did and what it ran. */
void tryend_report_break (Req *req);

#endif
