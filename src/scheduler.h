/* scheduler.h - which waiting request runs next, on which backend server, and which is refused;
 * private to the library and its shells.
 *
 * For backend servers that know no priorities and cannot pause a stream: all order lies in what
 * waits here. A scheduler does no I/O; whoever sends a request asks it first and tells it what came
 * of it. Two schedulers for the same servers are safe, since only the sender of a request sends it;
 * they cost overcommitment.
 */
#ifndef SCHEDULER_H
#define SCHEDULER_H

#include "notice.h"
#include "returns.h"

typedef struct Sched Sched;

#define SCHED_CONNECTED_MAX 32 /* servers that an ask names as connected */

typedef enum
{
  SCHED_OK,        /* a whole answer */
  SCHED_FAILED,    /* an answer that says failure, a broken or a garbled one */
  SCHED_UNREACHED, /* no connection: nothing was sent */
  SCHED_REJECTED,  /* the server said that it did not run it */
  SCHED_GONE,      /* another server answers at its address: that lifetime has ended */
  SCHED_SILENT,    /* no answer within the time that it should take */
  SCHED_LEFT       /* the caller left, or its time was over; says nothing of the server */
} SchedOutcome;

typedef struct
{
  uint64_t owner;   /* whose request it is */
  uint64_t request; /* the owner's number for it */
  const char *service, *org;
  unsigned tier; /* 0 is the highest */
  bool stream;
  bool repeatable;        /* may be sent to another server if this one fails it */
  unsigned prompt_tokens; /* engines; 0 elsewhere */
  unsigned output_tokens; /* engines: expected */
  uint64_t shared_part;   /* identity of the prompt's first part; 0: none */
  uint64_t content;       /* the same when its caller comes again (content.h); 0: unknown */
  unsigned route;         /* digest of its route's name */
  int64_t gap_us;         /* longest pause between events that is on time; 0: none */
  int64_t aim_at;         /* on time until then, scheduler's clock */
  int64_t limit_at;       /* the first of the answer is of no use after */
  int64_t end_at;         /* the caller's own limit, bound of what it is told to wait */
  const uint32_t *kept;   /* sched_server_digest of servers to which the owner has connections */
  unsigned kept_count;
  const char *avoid; /* server that has failed this request; NULL or "": none */
  double cost;       /* what it was counted with against a limit; see SchedOps.unused */
} SchedAsk;

typedef struct
{
  FtReason reason;
  int64_t retry_after_us;
  char rule[120]; /* the estimate that decided, with its figures */
} SchedRefusal;

/* What an answer says of its server's version. */
typedef struct
{
  const char *service, *server;
  unsigned route;
  bool ordered; /* its server has the version that was ordered */
  bool bad;     /* a failure, or several times slower than the version before would have been */
} SchedVerdict;

/* Decisions, called from within the functions below; must not call back. */
typedef struct
{
  /* max_idle_us: how long a connection to the server may have rested to be used for a request that
   * may run once only, microseconds. */
  void (*grant) (void *host, uint64_t owner, uint64_t request, const char *org, const char *server,
                 int64_t max_idle_us);
  void (*refuse) (void *host, uint64_t owner, uint64_t request, const SchedRefusal *refusal);
  /* A request that waited here never ran by this scheduler's grant; cost is its ask's. */
  void (*unused) (void *host, const char *org, double cost);
  /* What is believed of a server has changed: out is true while it gets no work. */
  void (*believes) (void *host, const char *server, bool out, const char *why, int64_t for_us);
  /* Once for each answer of a service whose versions are watched; may be NULL. */
  void (*judged) (void *host, const SchedVerdict *judged);
  /* The rate that the server takes has changed; 0: any. May be NULL. */
  void (*paced) (void *host, const char *server, double before, double rate);
} SchedOps;

typedef struct
{
  bool engine;
  unsigned stride; /* engines: tokens in one event; 0: taken as 1 */
  uint64_t memory; /* engines: tokens that a server holds; 0: not stated */
} SchedServiceConf;

Sched *sched_new (FtClock *clock, const SchedOps *ops, void *host);
void sched_free (Sched *sched);
/* Makes the service known or changes what is known of it. */
void sched_set_service (Sched *sched, const char *service, const SchedServiceConf *conf);
/* The part of each server's places that may be used, and a number that spreads the remainder
 * differently over the schedulers that share them. 1 and 0 at first. */
void sched_set_share (Sched *sched, double share, uint64_t salt);
#define SCHED_UNBOUNDED 2.0

/* The part of each service's places and of each server's that may be taken for now, beside that.
 * Unlike sched_set_share it is no measure of how long a queue lasts. With 1 a server that runs too
 * much keeps as many places of others free. SCHED_UNBOUNDED, as at first: no such bound. guessed:
 * the rest is taken by requests that are not known one by one, so chance is allowed for. */
void sched_set_grant_share (Sched *sched, double part, bool guessed);

/* Requests that can be on time wait in fair order by organisation. Off at first. */
void sched_set_fair (Sched *sched, bool on);
/* An organisation's limit per second, 0: none. Its share is in proportion. */
void sched_set_weight (Sched *sched, const char *org, double rate);
/* Forgets all of these, before those of another catalogue. */
void sched_clear_weights (Sched *sched);

/* Requests so far that found no place, and of which order by due time would have decided otherwise.
 */
typedef struct
{
  uint64_t queued;  /* although the whole queue would make them late */
  uint64_t refused; /* although the whole queue would not */
} SchedFair;

void sched_fair_counts (const Sched *sched, SchedFair *counts);

/* The part of the rates that servers name which this scheduler may give away. 1 at first. */
void sched_set_rate_share (Sched *sched, double part);

/* The part of the places that may be promised to callers that were refused; 0, as at first: none.
 */
void sched_set_return_share (Sched *sched, double part);
/* What came of promises so far. */
RetCounts sched_return_counts (const Sched *sched);

typedef struct
{
  const char *id, *service, *domain;
  unsigned slots;      /* requests that it runs at once */
  bool leaving;        /* gets nothing new */
  int64_t cold_us;     /* stays slow for this long */
  const char *version; /* of its software; NULL: as "" */
} SchedServer;

/* Stands for a server's id in SchedAsk.kept. */
uint32_t sched_server_digest (const char *id);

/* The whole list of servers: those that it lacks are gone. */
void sched_set_servers (Sched *sched, const SchedServer *servers, unsigned count);

/* Which versions of a service's servers get requests. Without it one version is in use, and others
 * that the list shows get nothing, as long as servers of that one are listed. */
typedef struct
{
  const char *in_use;  /* "": the one that most servers have, but not the other */
  const char *other;   /* gets nothing but its share; "": none */
  const char *ordered; /* one of both */
  double share;        /* part of each route's requests that is placed on the other's servers ... */
  unsigned left;       /* ... but no more than so many from now on */
  bool follows;        /* the other's servers serve when none of the version in use is listed */
  bool watched;        /* answers are judged; see SchedOps */
} SchedVersions;

void sched_set_versions (Sched *sched, const char *service, const SchedVersions *versions);

typedef struct
{
  unsigned servers, places, running; /* live servers, their places, and what runs on all of them */
} SchedVersionStats;

typedef struct
{
  char in_use[128];                /* "": no server was ever listed */
  unsigned placed, granted;        /* requests so far, and of them on the ordered version */
  SchedVersionStats used, ordered; /* of the version in use, and of the ordered one */
  unsigned running_before;         /* on servers of any version but the ordered one ... */
  unsigned once_before;            /* ... and of these, what may run once only */
  int64_t longest_us;              /* the longest answer of the last seconds */
} SchedServiceStats;

void sched_service_stats (Sched *sched, const char *service, SchedServiceStats *stats);

/* Places, queues or refuses the request. An ask that is known already changes nothing. Returns true
 * when it is queued. */
bool sched_ask (Sched *sched, const SchedAsk *ask);
/* The request runs on server by another scheduler's grant. */
void sched_adopt (Sched *sched, const SchedAsk *ask, const char *server);
/* The first of the answer came, after_us after the request was sent. */
void sched_first_event (Sched *sched, uint64_t owner, uint64_t request, int64_t after_us);

/* Nothing of the answer has come for longer than it should take: the server gets nothing new until
 * it answers something. */
void sched_silent (Sched *sched, uint64_t owner, uint64_t request);

/* The answer to the request, as far as its head, says this of its server; empty: nothing. */
void sched_notice (Sched *sched, uint64_t owner, uint64_t request, const char *server,
                   const Notice *notice);
/* The owner was told this by the server age ago, by an answer to a request of another scheduler's.
 */
void sched_older_notice (Sched *sched, uint64_t owner, const char *server, const Notice *notice,
                         int64_t age);

typedef struct
{
  SchedOutcome outcome;
  int64_t event_us;     /* mean time between events; 0: unknown */
  int64_t answer_us;    /* from sending to the end; 0: unknown */
  bool broke;           /* its connection broke as the request was sent ... */
  int64_t conn_idle_us; /* ... after it had rested for so long; 0: it was a new one */
} SchedResult;

/* The request has ended on its server, or is given up while it waits. */
void sched_done (Sched *sched, uint64_t owner, uint64_t request, const SchedResult *result);
/* Everything of an owner is forgotten. */
void sched_owner_gone (Sched *sched, uint64_t owner);
/* Refuses what can no longer be served in time, places what can. Call every 20 ms or so. */
void sched_tick (Sched *sched);

typedef struct
{
  unsigned waiting, running, servers, out, slots;
} SchedStats;
void sched_stats (const Sched *sched, SchedStats *stats);
/* Is the server held to a rate? */
bool sched_is_paced (const Sched *sched, const char *server);
/* A line for each server, a comment of the metrics' format: what is believed and why; and one for
 * each queue in fair order: organisations with their requests there and their part of the slot time
 * served lately. g_free. */
char *sched_describe (const Sched *sched);

#endif
