/* schedint.h - what the scheduler's own files share: its records, estimates of servers, and what is
 * believed of them; private to scheduler.c, waiting.c, admit.c, estimate.c, health.c, pace.c,
 * backoff.c, versions.c and schedview.c. */
#ifndef SCHEDINT_H
#define SCHEDINT_H

#include "curve.h"
#include "scheduler.h"
#include "shares.h"

#include <urcu/list.h>

/* Tuning that several files share; each row with its reason. */
#define ARRIVAL_WINDOW_US 2e6    /* span over which the arrivals of a tier are averaged */
#define NETWORK_US        1500.0 /* sending and the first bytes back, between failure domains */
#define OUT_MAX           (2400 * FT_MS) /* tried every few seconds at least */

typedef struct Service Service;
typedef struct Server Server;

typedef struct
{
  uint64_t owner, request;
} Key;

typedef struct
{
  union
  {
    struct cds_list_head link; /* of one of a tier's queues or of a server's runs */
    ShrItem item;              /* begins with it; in use while it waits in Tier.timely */
  };
  Key key;
  Service *service;
  Server *server; /* NULL: waits */
  SchedAsk ask;   /* its strings and kept are not used, but these */
  char *avoid, *org;
  uint32_t *kept;
  int64_t granted_at;
  double prompt_us; /* predicted on its server */
  double work_us;   /* slot time on the service's best server */
  bool alone;       /* nothing else was pending on its server when it was granted */
  bool first_seen;
  bool adopted;       /* placed by another scheduler; granted_at is when this one heard of it */
  unsigned passed;    /* by how many connected ones of its queue that were due later */
  bool late;          /* waits, and can no longer be on time */
  bool promised;      /* its caller came back at its promised time: waits before newcomers */
  bool tried;         /* is to be placed on a server of the version that is tried */
  bool judged;        /* what its answer says of the version has been told */
  double expected_us; /* until the first of the answer, by the version before when it was placed; 0:
                       * unknown */
  double adjusted_us; /* the same, by its answers at the same time; at least expected_us */
} Job;

/* Whether a server's version gets requests. */
typedef enum
{
  USE_ALL,
  USE_ON_TRIAL, /* those requests that are marked for it */
  USE_NONE
} VersionUse;

/* Token bucket of a server's rate limit. */
typedef struct
{
  double rate;   /* requests a second; 0: any */
  double tokens; /* requests that it may get at once, as of ... */
  int64_t filled_at;
  int64_t announced_at; /* when the latest notice was applied */
} Pace;

struct Server
{
  struct cds_list_head link;
  Service *service;
  char *id, *domain, *version;
  VersionUse use;
  unsigned slots, running, pending; /* pending: runs without their first event */
  bool listed, leaving;
  bool says_leaving;    /* it announced that; a list does not revoke it */
  GHashTable *backoffs; /* owners that it asked to back off; NULL: none yet */
  struct cds_list_head runs;
  int64_t prompts_until; /* when the prompts handed over so far are computed ... */
  double pending_us;     /* ... and their time in sum */
  uint64_t pending_tokens;
  double token_us;    /* learned, of an output token; 0: nothing seen yet */
  double prompt_unit; /* learned, of the service's curve, microseconds; 0 likewise */
  double answer_us;
  double failures;     /* share, averaged */
  int64_t failed_at;   /* when it last failed one */
  int64_t answered_at; /* when it last answered anything */
  int64_t out_at, out_until, out_for, cold_until;
  bool trial;            /* was out: one request at a time until one succeeds */
  bool out_for_failures; /* it answered, but failed too much */
  uint64_t tokens;       /* memory of its runs */
  int64_t idle_broke_at; /* when a connection that had rested last broke as it was used */
  uint64_t kept_by;      /* number of the latest choice whose owner has a connection there */
  Pace pace;
  unsigned tried; /* requests that it got as a server of a version that is tried */
};

typedef struct
{
  unsigned tier;
  struct cds_list_head promised; /* their callers came at a promised time; in order of arrival */
  struct cds_list_head timely;   /* can still be on time; the first that is due goes first */
  struct cds_list_head late;     /* cannot; the one whose caller leaves first goes first */
  unsigned count;                /* of both */
  double timely_us, late_us;     /* slot time of each */
  double mean_us;                /* slot time of a request, averaged */
  double timely_share[2];        /* part that could be on time, averaged; [1]: of large ones */
  double inflow;                 /* slot time arriving per time, averaged */
  int64_t inflow_at;
  Shares *shares; /* order of timely; NULL: by due time alone */
} Tier;

/* What a decision needs of all servers, worked out again after SUMMARY_LIFETIME: a queue of
 * hundreds before a hundred servers must not look at all pairs of them. */
typedef struct
{
  int64_t until;
  double best_token_us, mean_token_us; /* time of a token: of the best server, and on average */
  double min_prompt_unit;              /* least of prompt_unit on a usable server */
  double min_answer_us;                /* of a plain service */
  unsigned slots;                      /* of usable servers, and what runs on the others */
  double places;                       /* of usable servers, in units of the best one's speed */
  bool any_usable;
  bool many_failed; /* one in COMMON_FAILURES servers in use has failed something lately */
} Summary;

#define BASELINES_MAX 128 /* more than come while one answer is under way, at 1,000 a second */

/* An answer of the version before. */
typedef struct
{
  unsigned route;
  int64_t granted_at;
  double times; /* of expected_us until the first of it, of a plain service until its end */
} Peer;

/* Versions of a service's servers (versions.c). */
typedef struct
{
  char *in_use, *other, *ordered;
  double share;
  unsigned left;
  bool follows, watched;
  GHashTable *credit;       /* route: how much of a request of it is due to the other version */
  unsigned placed, granted; /* requests, and those of them on servers of the ordered version */
  double token_us, unit, answer_us; /* speeds of the version before */
  bool known;                       /* its servers have shown theirs; else token_us is assumed */
  GHashTable *usual;                /* route: how long it took for a plain answer, learned */
  int64_t longest_us[2];            /* longest answer in the span that runs and in the one before */
  int64_t span_at;
  Peer peers[BASELINES_MAX]; /* the latest; while answers are judged */
  unsigned peer_count;       /* of all so far */
} Versions;

struct Service
{
  char *name;
  Versions versions;
  SchedServiceConf conf;
  struct cds_list_head servers;
  GPtrArray *tiers; /* Tier, highest first */
  Curve curve;      /* of a prompt's time */
  Summary summary;
  int64_t idle_broke_at;     /* when such last broke at several servers; 0: never */
  int64_t new_conn_broke_at; /* when a new connection last did; 0 likewise */
  unsigned running;          /* on all its servers */
  unsigned open;             /* servers with a free place, as of the last count */
  int64_t backoff_until;     /* no backoff at its servers lasts longer */
  double mean_us;            /* slot time of a request on the best server, averaged */
  const ShrWeights *weights; /* of fair shares; NULL: off */
};

struct Sched
{
  FtClock *clock;
  const SchedOps *ops;
  void *host;
  GHashTable *services, *servers; /* by name, by id */
  GHashTable *by_digest;          /* sched_server_digest of the id: Server */
  GHashTable *jobs;               /* Key: Job */
  uint64_t choices;
  double share, grant_part, rate_part;
  Returns *returns; /* NULL: no times are promised */
  uint64_t salt;
  bool others_unknown; /* see sched_set_grant_share */
  bool listed;         /* a list of servers has come */
  bool fair;
  ShrWeights *weights; /* of organisations */
  SchedFair counts;
};

/* ---- Estimates (estimate.c) ---- */

/* What is known of all servers, at most 10 ms old. */
const Summary *est_summary (const Sched *sched, Service *service);
/* Expected time of one output token, and how long a prompt keeps the server busy, microseconds. */
double est_token_us (const Server *server);
double est_prompt_us (const Server *server, unsigned tokens);
/* Slot time that the ask takes on the service's best server, microseconds. */
double est_work_us (const Sched *sched, Service *service, const SchedAsk *ask);
/* Least time until the first of the answer on any usable server, microseconds. */
double est_first_us (const Sched *sched, Service *service, const SchedAsk *ask);
/* The part of the places that arrivals of higher tiers take, 0 to 1. */
double est_share_above (const Sched *sched, Service *service, unsigned tier, int64_t now);
/* Time until a request of the tier would start behind work_ahead of slot time, microseconds.
 * behind: it is late, so those of its own tier that come meanwhile go before it. */
double est_wait_us (const Sched *sched, Service *service, unsigned tier, bool behind,
                    double work_ahead, int64_t now);
/* The places that arrivals of higher tiers leave over for it, and if behind those of its own. */
double est_places_left (const Sched *sched, Service *service, unsigned number, bool behind,
                        int64_t now);
/* Moves a learned value towards a sample. */
void est_learn (double *value, double sample);
/* How many requests this scheduler may run on the server at once. */
unsigned est_places (const Sched *sched, const Server *server);
/* Gets requests, as far as it has places. */
bool est_usable (const Server *server, int64_t now);
bool est_has_place (const Sched *sched, const Server *server, int64_t now);
/* Has the server the memory for it, beside what it runs? */
bool est_fits_memory (const Sched *sched, const Server *server, const SchedAsk *ask);
/* Has a server of the service the memory for it when it runs nothing else? */
bool est_can_fit (const Service *service, const SchedAsk *ask);
/* The best server with a place; NULL: none, or it is worth waiting for a busy one. */
Server *est_choose (Sched *sched, const Job *job, int64_t now);
/* Has a server to which the job's owner is connected a free place? */
bool est_connected_place (const Sched *sched, const Job *job, int64_t now);
/* How long a connection to the server may have rested to be used for what may run once only. */
int64_t est_max_idle_us (const Server *server, int64_t now);
/* A connection to the server broke as it was used, a new one or one that had rested. */
void est_note_broken (Server *server, bool rested, int64_t now);

/* ---- What waits (waiting.c) ---- */

/* The service's queues of a tier, made when they are first asked for. */
Tier *wait_tier (Service *service, unsigned number);
void wait_tier_free (void *tier);
/* A request has been asked for. */
void wait_note_arrival (const Job *job, int64_t now);
/* Orders what can be on time by fair shares, NULL: by due time alone, from now on. */
void wait_set_fair (Service *service, const ShrWeights *weights, int64_t now);
/* Puts the job into its tier's queue of those on time, or of the late ones if it is one. */
void wait_add (Job *job, int64_t now);
/* How much longer than it is the queue before the job is taken to be, for its size among those of
 * its tier of late. */
double wait_size_factor (const Job *job);
/* The job is placed or can be on time, or not. */
void wait_note_timely (const Job *job, bool timely);
/* It leaves its queue unserved, or for a place. */
void wait_remove (Job *job);
void wait_serve (Job *job, int64_t now);
/* Moves those that can no longer be on time behind those that can. */
void wait_move_late (const Sched *sched, Service *service, Tier *tier, int64_t now);
/* The same for all that wait, where the order is not that of due times. */
void wait_move_all_late (const Sched *sched, Service *service, int64_t now);
/* Slot time that goes before a request of the tier that comes now, late ones included if it is late
 * itself. */
double wait_ahead_us (const Service *service, unsigned number, bool late);

/* Slot time before a newcomer. */
typedef struct
{
  double timely_us; /* if it can be on time: what goes before it in fair order */
  double all_us;    /* if it cannot: all that waits */
} WaitAhead;

WaitAhead wait_ahead (const Sched *sched, const Job *job, int64_t now);

/* ---- Records (scheduler.c) ---- */

/* The job is gone, from its server or from its queue. */
void sched_remove_job (Sched *sched, Job *job, int64_t now);

/* ---- Refusal (admit.c) ---- */

/* Refuses the job, which waits; wait_us: until it would start, for the advice. */
void admit_refuse (Sched *sched, Job *job, FtReason reason, double wait_us, int64_t now);
/* Decides on a job that found no place. Returns true when it is queued; else it is refused and
 * gone.
 */
bool admit_new (Sched *sched, Job *job, const WaitAhead *ahead, int64_t now);
/* Decides on a job whose owner is in backoff at all servers until then. Returns true when it is
 * queued; else it is refused and gone. */
bool admit_in_backoff (Sched *sched, Job *job, int64_t opens_at, int64_t now);
/* Marks the job if its caller comes back at its promised time; before it is queued. */
void admit_note_return (Sched *sched, Job *job);
/* The job is placed: a promise that it had is kept. */
void admit_note_grant (Sched *sched, const Job *job);
/* Refuses what can no longer be served in time. */
void admit_review (Sched *sched, Service *service, int64_t now);

/* ---- Rate limits of servers (pace.c) ---- */

bool pace_bucket_has_token (const Sched *sched, const Server *server, int64_t now);
static inline bool
pace_has_token (const Sched *sched, const Server *server, int64_t now)
{
  return server->pace.rate <= 0 || pace_bucket_has_token (sched, server, now);
}
/* A request is placed on the server. */
void pace_take (const Sched *sched, Server *server, int64_t now);
/* How many of its places the rate keeps busy. */
double pace_places (const Sched *sched, const Server *server, double places);
/* The answer to the job, NULL: it is no longer known, names the rate; 0: none. */
void pace_apply_notice (const Sched *sched, Server *server, const Job *job, double rate,
                        int64_t now);
/* An instance heard of the rate age ago, when it asked another scheduler. */
void pace_apply_older_notice (const Sched *sched, Server *server, double rate, int64_t age,
                              int64_t now);

/* ---- Backoffs (backoff.c) ---- */

/* The server asked the owner to back off for so long from now on. */
void boff_note (Server *server, uint64_t owner, int64_t us, int64_t now);
/* May the server get a request of the owner's? */
bool boff_has_ended (const Server *server, uint64_t owner, int64_t now);
static inline bool
boff_permits (const Server *server, uint64_t owner, int64_t now)
{
  return server->backoffs == NULL || boff_has_ended (server, owner, now);
}
void boff_drop_owner (Sched *sched, uint64_t owner);
/* When the first server accepts the owner's requests again; now: one does. */
int64_t boff_earliest_end (const Service *service, uint64_t owner, int64_t now);
/* Is a place free that the job's owner may have? */
bool boff_any_place (const Sched *sched, const Job *job, int64_t now);

/* ---- Versions of servers (versions.c) ---- */

void ver_init (Versions *versions);
void ver_clear (Versions *versions);
/* The list or what is known of the versions has changed: which servers get requests? */
void ver_assign (Service *service);
/* A request was asked for; marks it if it is due to the version that is tried. */
void ver_mark_request (Job *job);
/* A server of that version for a marked job; NULL: none has a place. */
Server *ver_choose (const Sched *sched, const Job *job, int64_t now);
/* The job is placed on the server, and not counted there yet. */
void ver_note_grant (Job *job, const Server *server, int64_t now);
/* The first of its answer came; its answer ended; time passes. */
void ver_note_first (const Sched *sched, Job *job, int64_t after_us);
void ver_note_end (const Sched *sched, Job *job, const SchedResult *result, int64_t now);
void ver_check_overdue (const Sched *sched, Service *service, int64_t now);

/* ---- What is believed of servers (health.c) ---- */

/* Learns from the end of a request on the server. */
void health_update (Sched *sched, Server *server, const SchedResult *result, int64_t granted_at,
                    int64_t now);
/* A request that was granted at granted_at has no answer for longer than it should take. */
void health_note_silence (Sched *sched, Server *server, int64_t granted_at, int64_t now);

#endif
