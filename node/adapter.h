/* adapter.h - interface between an instance and the platform that it is deployed on.
 *
 * Each platform has its own header names, formats and API calls. An adapter translates them to and
 * from the types below and makes no decisions; all other code is independent of the platform.
 */
#ifndef ADAPTER_H
#define ADAPTER_H

#include "hmsg.h"
#include "notice.h"
#include "route.h"
#include "sock.h"

#define ADAPTER_ID_MAX 64

/* What a caller's request states. Strings point into the head of the message. */
typedef struct
{
  const char *id;           /* set by the caller, different for each of its attempts; NULL: none */
  const char *key;          /* API key, which identifies the organisation; NULL: none */
  int64_t caller_wait_us;   /* how long the caller waits for the whole answer; 0: not stated */
  bool has_tokens;          /* the next two were stated */
  unsigned prompt_tokens;   /* length of the prompt */
  unsigned output_max;      /* the caller's upper bound on the answer's tokens */
  unsigned output_estimate; /* its estimate of them; 0: not stated */
  uint64_t shared_part;     /* hash of the first part of the prompt; 0: none */
  const char *last_event;   /* the stream goes on after this event; NULL: from its start */
  const char *resumes; /* id of the attempt that brought the stream's first event; NULL: none */
} AdapterRequest;

/* What the instance adds to a request that it forwards. */
typedef struct
{
  const char *server;     /* name of the only server that may run it */
  const char *org;        /* the caller's organisation; NULL: none */
  int64_t left_us;        /* time after which the answer is of no use to the caller */
  const char *last_event; /* resume the stream after this event; NULL: from the start */
  const void *body;
  size_t body_size;
} AdapterForward;

/* What a server's answer states besides its status. */
typedef struct
{
  const char *id;     /* of the answered request; NULL: none */
  bool has_receipt;   /* its server's receipt, without which a success does not count */
  bool not_run;       /* the server states that it did not run the request */
  const char *server; /* name of the server that answers; NULL: not stated */
  bool elsewhere;     /* a different server answers at the address of the expected one */
  bool event_stream;
  bool has_load;
  unsigned running, waiting, slots;
  unsigned slowness; /* how long work takes on its machine now, in percent of the usual time; 0: not
                        stated. Servers share their machines with other processes. */
  Notice notice;
  const char *unread; /* value of a notice field that cannot be parsed; NULL: none */
} AdapterAnswer;

/* One server of the platform's list. */
typedef struct
{
  char *id;        /* unique to one run of the server, from start to end */
  char *name;      /* its name, which a later run may use again */
  int64_t born_ms; /* start of this run, Unix time; 0: not stated */
  char *service, *domain;
  char *version; /* of its software */
  SockAddr addr;
  unsigned slots;
  bool leaving;
  int64_t cold_us; /* time for which it will still be slow after its start */
} AdapterServer;

typedef enum
{
  ADAPTER_CALL_UNKNOWN,
  ADAPTER_CALL_READY,         /* readiness check of the load balancer */
  ADAPTER_CALL_PUT,           /* an operator submits a catalogue */
  ADAPTER_CALL_GET,           /* an operator reads the catalogue in force */
  ADAPTER_CALL_ROLLOUT_START, /* an operator starts a roll-out */
  ADAPTER_CALL_ROLLOUT_STATE  /* an operator reads the state of a roll-out */
} AdapterCall;

/* An order to move a service's requests to servers of another version. */
typedef struct
{
  char *service, *target; /* g_free */
  int64_t limit_us;       /* time allowed for the roll-out */
} AdapterRollout;

typedef enum
{
  ADAPTER_ROLLOUT_ACTIVE,
  ADAPTER_ROLLOUT_COMPLETED,
  ADAPTER_ROLLOUT_ROLLED_BACK
} AdapterRolloutState;

typedef struct
{
  /* ---- callers and servers ---- */
  void (*read_request) (const HMsg *msg, AdapterRequest *out);
  /* Stores the hashes of those parts of the prompt that other requests may share, at most max, in
   * the order of the prompt, and returns their number. */
  unsigned (*read_parts) (const HMsg *msg, uint64_t *parts, unsigned max);
  /* Appends the complete message for the server: head and body. */
  void (*write_request) (GString *out, const HMsg *msg, const AdapterForward *forward);
  /* Appends a status check, with this path, of the server with this name. */
  void (*write_check) (GString *out, SockAddr host, const char *path, const char *server);
  /* How long callers wait for the first event of a stream before they give up; target_us: target
   * latency of its route, gap_us: the route's longest pause between events. */
  int64_t (*first_event_timeout) (int64_t target_us, int64_t gap_us);
  void (*read_answer) (const HMsg *msg, AdapterAnswer *out);
  /* Appends the header fields of a server's answer that are forwarded to the caller. */
  void (*write_answer) (GString *out, const HMsg *msg);
  /* Appends the header fields of an answer that this instance generates. retry_us: when to retry,
   * 0: not stated. */
  void (*write_own_answer) (GString *out, const char *id, int64_t retry_us);
  /* ---- operators and the load balancer ---- */
  AdapterCall (*call) (const char *method, const char *target);
  /* Appends the header field that redirects an operator to the same call at another instance. */
  void (*write_redirect) (GString *out, SockAddr to, const char *target);
  /* Parses an order. On FT_OK the caller frees it with adapter_rollout_clear. Errors name the
   * field. */
  FtStatus (*read_rollout) (const char *text, size_t size, AdapterRollout *out, FtError *error);
  /* The service that an ADAPTER_CALL_ROLLOUT_STATE names; g_free. */
  char *(*rollout_service) (const char *target);
  /* Appends the answer to an ADAPTER_CALL_ROLLOUT_STATE. */
  void (*write_rollout) (GString *out, AdapterRolloutState state, const char *target);
  /* ---- documents ---- */
  /* Parses and checks a complete catalogue; the caller owns *out. number: by which the log knows
   * it, 0: it was submitted and is not in the log. Errors name the field. */
  FtStatus (*read_catalogue) (const char *text, size_t size, uint64_t number, RtCat **out,
                              FtError *error);
  /* The request for one page of the list of servers; page NULL: the first. */
  void (*write_list_request) (GString *out, SockAddr host, const char *page);
  /* Appends an AdapterServer to servers for each entry of a page; *next is the token of the next
   * page, g_free, NULL: none. An invalid entry is skipped and counted in *malformed, and error
   * describes the first one; the call fails only if the page itself cannot be parsed. */
  FtStatus (*read_list) (const char *text, size_t size, GArray *servers, char **next,
                         unsigned *malformed, FtError *error);
} AdapterOps;

void adapter_server_clear (void *server);
void adapter_rollout_clear (AdapterRollout *rollout);

#endif
