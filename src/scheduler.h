/* scheduler.h - decides which waiting request runs next, on which backend server, and which one is
 * refused; private to the library and the programs built on it.
 *
 * Backend servers have no priorities and cannot pause a stream, so priority can only be enforced on
 * requests that wait here. A scheduler does no I/O: the sender of a request asks it first and
 * reports the outcome. Two schedulers for the same servers are safe, since each request is sent
 * only by its sender, but together they may overcommit the servers.
 */
#ifndef SCHEDULER_H
#define SCHEDULER_H

#include "notice.h"
#include "returns.h"

typedef struct Sched Sched;

#define SCHED_CONNECTED_MAX 32 /* servers that SchedAsk.kept may list */

typedef enum
{
  SCHED_OK,        /* a complete answer */
  SCHED_FAILED,    /* the answer reports a failure, or is truncated or malformed */
  SCHED_UNREACHED, /* no connection could be made: nothing was sent */
  SCHED_REJECTED,  /* the server says that it did not run the request */
  SCHED_GONE,      /* another server answers at its address: this server is gone */
  SCHED_SILENT,    /* no answer within the expected time */
  SCHED_LEFT       /* the caller left or its deadline passed; tells nothing about the server */
} SchedOutcome;

typedef struct
{
  uint64_t owner;   /* who sends the request */
  uint64_t request; /* the owner's number for it */
  const char *service, *org;
  unsigned tier; /* 0 is the highest */
  bool stream;
  bool repeatable;        /* may be sent to another server if the first one fails */
  unsigned prompt_tokens; /* engines; 0 elsewhere */
  unsigned output_tokens; /* engines: expected output */
  uint64_t shared_part;   /* identifies the shared prefix of the prompt; 0: none */
  /* digest of the content, the same when the caller retries (content.h); 0: unknown */
  uint64_t content;
  unsigned route;   /* digest of its route's name */
  int64_t gap_us;   /* longest acceptable pause between events; 0: no bound */
  int64_t aim_at;   /* on time if its first event comes by then, on the scheduler's clock */
  int64_t limit_at; /* a first event after that is of no use to the caller */
  int64_t end_at;   /* when the caller gives up; bounds the advised wait */
  /* sched_server_digest of the servers to which the owner has open connections */
  const uint32_t *kept;
  unsigned kept_count;
  const char *avoid; /* server that has already failed this request; NULL or "": none */
  /* only servers of this software version may run it, since one of them began its stream; NULL or
   * "": any that are in use */
  const char *version;
  double cost; /* what it was charged against the organisation's limit; see SchedOps.unused */
} SchedAsk;

typedef struct
{
  FtReason reason;
  int64_t retry_after_us;
  char rule[120]; /* the deciding estimate, as text for the operator */
} SchedRefusal;

/* The verdict on one answer, as a sample of its server's version. */
typedef struct
{
  const char *service, *server;
  unsigned route;
  bool ordered; /* its server runs the version that the roll-out ordered */
  bool bad; /* it failed, or was several times slower than the previous version would have been */
} SchedVerdict;

/* Callbacks for decisions. They run inside the functions below and must not call the scheduler. */
typedef struct
{
  /* The request shall be sent to the server. max_idle_us: longest idle time, in microseconds, of a
   * connection that may be reused for a request that must not be sent twice. */
  void (*grant) (void *host, uint64_t owner, uint64_t request, const char *org, const char *server,
                 int64_t max_idle_us);
  void (*refuse) (void *host, uint64_t owner, uint64_t request, const SchedRefusal *refusal);
  /* A request was removed from the queue without a grant, so its cost can be credited back. */
  void (*unused) (void *host, const char *org, double cost);
  /* A server was taken out for for_us (out) or is back in use (not out). */
  void (*server_state) (void *host, const char *server, bool out, const char *why, int64_t for_us);
  /* Called once for each answer of a service whose versions are watched; may be NULL. */
  void (*judged) (void *host, const SchedVerdict *judged);
  /* The server's rate limit has changed; 0: none. May be NULL. */
  void (*rate_changed) (void *host, const char *server, double before, double rate);
  /* Another version of the service is in use; before: "" at first. May be NULL. */
  void (*version_changed) (void *host, const char *service, const char *before,
                           const char *version);
} SchedOps;

typedef struct
{
  bool engine;
  unsigned stride; /* engines: output tokens per event; 0 means 1 */
  uint64_t memory; /* engines: KV cache capacity of a server in tokens; 0: unknown */
} SchedServiceConf;

Sched *sched_new (FtClock *clock, const SchedOps *ops, void *host);
void sched_free (Sched *sched);
/* Adds the service or changes its configuration. */
void sched_set_service (Sched *sched, const char *service, const SchedServiceConf *conf);
/* Sets the share of each server's places that this scheduler may use. salt, different for each
 * scheduler, decides on which servers the fraction is rounded up. Defaults: 1 and 0. */
void sched_set_share (Sched *sched, double share, uint64_t salt);
#define SCHED_UNBOUNDED 2.0

/* Temporarily limits grants, besides sched_set_share, to a part of each server's places and of each
 * service's. Unlike sched_set_share it does not affect estimates of waiting time. With 1, requests
 * above one server's places keep as many places of other servers free. SCHED_UNBOUNDED, the
 * default, is no limit. guessed: the rest of the places is taken by requests that are not known
 * individually, so a margin for statistical spread is kept. */
void sched_set_grant_share (Sched *sched, double part, bool guessed);

/* Turns fair order by organisation on or off, for waiting requests that can be on time. Default:
 * off. */
void sched_set_fair (Sched *sched, bool on);
/* Sets an organisation's limit per second, 0: none. Its fair share is proportional to it. */
void sched_set_weight (Sched *sched, const char *org, double rate);
/* Clears all weights, before those of a new catalogue are set. */
void sched_clear_weights (Sched *sched);

/* Requests that found no place and for which fair order led to another decision than order by due
 * time would have.
 */
typedef struct
{
  uint64_t queued;  /* queued; behind the whole queue they would have been late */
  uint64_t refused; /* refused; behind the whole queue they would have been on time */
} SchedFair;

void sched_fair_counts (const Sched *sched, SchedFair *counts);

/* Sets the part of the servers' rate limits that this scheduler may use. Default: 1. */
void sched_set_rate_share (Sched *sched, double part);

/* Sets the part of the places that may be reserved for refused callers that come back later.
 * Default: 0, none.
 */
void sched_set_return_share (Sched *sched, double part);
/* Counts of reservations by outcome. */
RetCounts sched_return_counts (const Sched *sched);

typedef struct
{
  const char *id, *service, *domain;
  unsigned slots;      /* requests that it runs concurrently */
  bool leaving;        /* gets no new requests */
  int64_t cold_us;     /* remaining warm-up time, during which it may be slow */
  const char *version; /* of its software; NULL means "" */
} SchedServer;

/* Digest of a server's id, as used in SchedAsk.kept. */
uint32_t sched_server_digest (const char *id);

/* Sets the complete list of servers. A server that is not listed gets no more requests and is
 * dropped once it runs none. Resumable streams begin at a version only once lists have shown it for
 * ORIGINS_JOIN_TIME, unless no other version has servers. */
void sched_set_servers (Sched *sched, const SchedServer *servers, unsigned count);
/* The newest list is the same as the one before. Call one of these two with each list. */
void sched_keep_servers (Sched *sched);
/* When the list that is set or kept next had been received. Without it, or if it is earlier, the
 * clock's time counts, which may be from before a pause of the process. */
void sched_set_list_time (Sched *sched, int64_t received_at);

/* Which versions of a service's servers get requests. By default one version is in use, and servers
 * of other versions get only requests with their SchedAsk.version as long as servers of that one
 * are listed. */
typedef struct
{
  const char *in_use;  /* "": the version of most servers, the other one excluded */
  const char *other;   /* the version on trial, which gets only its share; "": none */
  const char *ordered; /* the version that the roll-out ordered: in_use or other */
  double share;        /* part of each route's requests that goes to servers of the other version */
  unsigned left;       /* at most so many requests go there from now on */
  bool follows;        /* the other version is put in use when no server of another one is listed */
  bool watched;        /* answers are judged and reported to SchedOps.judged */
  bool keeps;          /* streams that servers of the other version began may go on there */
} SchedVersions;

void sched_set_versions (Sched *sched, const char *service, const SchedVersions *versions);
/* Sets the version in use at another scheduler, which has watched the lists for longer. Ignored for
 * a service with an ordered version, and while only other versions have live servers. */
void sched_set_in_use (Sched *sched, const char *service, const char *version);
/* The version in use; "": none yet. Valid until the next call. */
const char *sched_get_in_use (const Sched *sched, const char *service);
/* The version has been listed for long, as others know, if this scheduler's first list has it. */
void sched_settle_version (Sched *sched, const char *service, const char *version);
/* True if resumable streams have begun at servers of the version, or begin within a second. */
bool sched_streams_begin_soon (const Sched *sched, const char *service, const char *version);
/* Takes servers of all versions into use, except of services with an ordered version. Default: off.
 */
void sched_set_all_versions (Sched *sched, bool on);

typedef struct
{
  /* live servers, their places, and requests on all servers of the version */
  unsigned servers, places, running;
} SchedVersionStats;

typedef struct
{
  char in_use[128]; /* "": no server has been listed yet */
  /* requests placed so far, and how many of them on the ordered version */
  unsigned placed, granted;
  SchedVersionStats used, ordered; /* for the version in use and the ordered one */
  unsigned running_before; /* requests running on servers of any version but the ordered one */
  unsigned once_before;    /* those of running_before that must not be sent twice */
  int64_t longest_us;      /* longest answer of at least the last 6 seconds */
} SchedServiceStats;

void sched_service_stats (Sched *sched, const char *service, SchedServiceStats *stats);

/* Places, queues or refuses the request. Returns true if it is queued. A request that is known
 * already is left as it is, and the result is true. */
bool sched_ask (Sched *sched, const SchedAsk *ask);
/* Records a request that runs on the server by another scheduler's grant. A server that is not
 * listed yet is added with an unknown version. */
void sched_adopt (Sched *sched, const SchedAsk *ask, const char *server);
/* Reports the first event of the answer, after_us after the request was sent. */
void sched_first_event (Sched *sched, uint64_t owner, uint64_t request, int64_t after_us);

/* Reports that an answer is overdue and nothing of it has come: unless the server has answered
 * something else since the grant, it is taken out. */
void sched_silent (Sched *sched, uint64_t owner, uint64_t request);

/* Reports what the header of the answer announced about its server; an empty notice: nothing. */
void sched_notice (Sched *sched, uint64_t owner, uint64_t request, const char *server,
                   const Notice *notice);
/* The same for an answer that the owner received age ago, to a request that another scheduler had
 * granted.
 */
void sched_older_notice (Sched *sched, uint64_t owner, const char *server, const Notice *notice,
                         int64_t age);

typedef struct
{
  SchedOutcome outcome;
  int64_t event_us;     /* mean time between events of a stream; 0: unknown */
  int64_t answer_us;    /* from sending the request to the end of the answer; 0: unknown */
  bool broke;           /* its connection broke as the request was sent */
  int64_t conn_idle_us; /* how long that connection had been idle before; 0: it was new */
} SchedResult;

/* Reports that the request has ended on its server, or was given up while it waited. */
void sched_done (Sched *sched, uint64_t owner, uint64_t request, const SchedResult *result);
/* Removes all requests and backoffs of an owner. */
void sched_owner_gone (Sched *sched, uint64_t owner);
/* Places waiting requests and refuses those that can no longer be served in time. Call about every
 * 20 ms. */
void sched_tick (Sched *sched);

typedef struct
{
  unsigned waiting, running, servers, out, slots;
} SchedStats;
void sched_stats (const Sched *sched, SchedStats *stats);
/* True if a rate limit applies to the server, or it is brittle: its answers must be reported also
 * if they announce nothing. */
bool sched_is_paced (const Sched *sched, const char *server);
/* Describes the state in comment lines of the metrics format: one for each server with its state
 * and learned speeds, and one for each queue in fair order with its organisations, their waiting
 * requests and their share of the slot time served lately. Free with g_free. */
char *sched_describe (const Sched *sched);

#endif
