/* seam.h - what an instance needs to know of whatever it is deployed on, in types of its own.
 *
 * A platform has its own names, formats and calls; an adapter translates them into these types and
 * back and decides nothing. Everything behind this header is the same on every platform.
 */
#ifndef SEAM_H
#define SEAM_H

#include "hmsg.h"
#include "notice.h"
#include "route.h"
#include "sock.h"

#define SEAM_ID_MOST 64

/* What a caller's request says. Strings are borrowed from its head. */
typedef struct
{
  const char *id;         /* the caller's own, another one for each of its attempts; NULL: none */
  const char *key;        /* names the organisation; NULL: none */
  int64_t patience_us;    /* how long the caller waits for the whole answer; 0: not said */
  bool has_tokens;        /* the next two were said */
  unsigned prompt_tokens; /* length of the prompt */
  unsigned output_most;   /* the caller's bound on the answer's tokens */
  unsigned output_guess;  /* its estimate of them; 0: not said */
  uint64_t shared_part;   /* identity of the prompt's first part; 0: none */
} SeamRequest;

/* What the instance adds to a request that it passes on. */
typedef struct
{
  const char *server;     /* name of the server that alone may run it */
  const char *org;        /* the caller's organisation; NULL: none */
  int64_t left_us;        /* the server need not work for longer */
  const char *last_event; /* go on behind this event; NULL: from the start */
  const void *body;
  size_t body_size;
} SeamForward;

/* What a server's answer says beside its status. */
typedef struct
{
  const char *id; /* of the request that it answers; NULL: none */
  bool not_run;   /* the server states that it did not run the request */
  bool elsewhere; /* another server than the expected one answers at its address */
  bool event_stream;
  bool has_load;
  unsigned running, waiting, slots;
  unsigned slowness; /* how long work takes on its machine at the moment, percent of what it takes
                        as a rule; 0: not said. Servers share their machines with others. */
  Notice notice;
  const char *unread; /* the value of a notice's field that cannot be read; NULL: none */
} SeamAnswer;

typedef struct
{
  char *id;        /* of one lifetime, from its start to its end */
  char *name;      /* what it calls itself; another lifetime may have the same */
  int64_t born_ms; /* when the lifetime began, Unix time; 0: not said */
  char *service, *domain;
  char *version; /* of its software */
  SockAddr addr;
  unsigned slots;
  bool leaving;
  int64_t cold_us; /* stays slow for this long after its start */
} SeamServer;

typedef enum
{
  SEAM_CALL_UNKNOWN,
  SEAM_CALL_READY,         /* the balancer asks whether this instance takes callers */
  SEAM_CALL_PUT,           /* an operator hands in a catalogue */
  SEAM_CALL_GET,           /* an operator reads the catalogue in force */
  SEAM_CALL_ROLLOUT_START, /* an operator orders a version of a service's servers */
  SEAM_CALL_ROLLOUT_STATE  /* an operator asks how far that is */
} SeamCall;

/* An order to move a service's requests to servers of another version. */
typedef struct
{
  char *service, *target; /* g_free */
  int64_t limit_us;       /* within which it is to end */
} SeamRollout;

typedef enum
{
  SEAM_ROLLOUT_ACTIVE,
  SEAM_ROLLOUT_COMPLETED,
  SEAM_ROLLOUT_ROLLED_BACK
} SeamRolloutState;

typedef struct
{
  /* ---- callers and servers ---- */
  void (*read_request) (const HMsg *msg, SeamRequest *out);
  /* Appends the whole message as it goes to the server: head and body. */
  void (*write_request) (GString *out, const HMsg *msg, const SeamForward *forward);
  /* How long callers wait for the first event of a stream with this aim and this bound on pauses,
   * before they give it up. */
  int64_t (*first_patience) (int64_t target_us, int64_t gap_us);
  void (*read_answer) (const HMsg *msg, SeamAnswer *out);
  /* Appends the fields of a server's answer that go on to the caller. */
  void (*write_answer) (GString *out, const HMsg *msg);
  /* Appends the fields of an answer of this instance's own. retry_us 0: no advice. */
  void (*write_own) (GString *out, const char *id, int64_t retry_us);
  /* ---- operators and the balancer ---- */
  SeamCall (*call) (const char *method, const char *target);
  /* Appends the field that sends an operator on to the same call at another instance. */
  void (*write_redirect) (GString *out, SockAddr to, const char *target);
  /* Reads an order; its texts are the caller's on FT_OK only. Errors name the field. */
  FtStatus (*read_rollout) (const char *text, size_t size, SeamRollout *out, FtError *error);
  /* The service that a SEAM_CALL_ROLLOUT_STATE asks for; g_free. */
  char *(*rollout_service) (const char *target);
  /* Appends the answer to one. */
  void (*write_rollout) (GString *out, SeamRolloutState state, const char *target);
  /* ---- documents ---- */
  /* Parses and checks a catalogue as a whole; *out is the caller's. Errors name the field. */
  FtStatus (*read_catalogue) (const char *text, size_t size, RtCat **out, FtError *error);
  /* The request for one page of the list of servers; page NULL: the first. */
  void (*write_list_request) (GString *out, SockAddr host, const char *page);
  /* Appends SeamServer to servers; *next is the following page, g_free, NULL: none. An entry that
   * names no server is left out and counted in *spoilt, and error tells of the first one; what
   * fails is a page that cannot be read at all. */
  FtStatus (*read_list) (const char *text, size_t size, GArray *servers, char **next,
                         unsigned *spoilt, FtError *error);
} Seam;

void seam_server_clear (void *server);
void seam_rollout_clear (SeamRollout *rollout);

#endif
