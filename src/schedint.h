/* schedint.h - records and functions shared by the scheduler's files; private to scheduler.c,
 * waiting.c, admit.c, estimate.c, health.c, pace.c, backoff.c, brittle.c, versions.c, fresh.c
 * and schedview.c. */
#ifndef SCHEDINT_H
#define SCHEDINT_H

#include "curve.h"
#include "scheduler.h"
#include "shares.h"

#include <urcu/list.h>

/* Tuning constants used by several files. */
#define ARRIVAL_WINDOW_US 2e6 /* time constant of a tier's average arrival load */
/* network time to send a request and get the first bytes, across failure domains */
#define NETWORK_US 1500.0
/* longest time out, so that a server is probed every few seconds at least */
#define OUT_MAX (2400 * FT_MS)

typedef struct Service Service;
typedef struct Server Server;

typedef struct
{
  uint64_t owner, request;
} SchedKey;

typedef struct
{
  union
  {
    struct cds_list_head link; /* in one of a tier's queues or in Server.runs */
    /* starts with the same link; used while the job waits in Tier.timely with fair shares on */
    ShrItem item;
  };
  SchedKey key;
  Service *service;
  Server *server; /* NULL while the job waits */
  /* avoid, org, version and kept are NULL here and copied to the next fields; service is NULL too
   */
  SchedAsk ask;
  char *avoid, *org, *version;
  /* in Service.bound while it waits for a server of its version */
  struct cds_list_head bound_link;
  uint32_t *connected;
  int64_t granted_at;
  double prompt_us; /* predicted prefill time on its server */
  double work_us;   /* slot time it would take on the service's best server */
  bool sole_prompt; /* no other prompt was pending on its server when it was granted */
  bool got_first_event;
  bool adopted; /* granted by another scheduler; granted_at is when this one learned of it */
  /* number of jobs due later that were granted first because their owner had a connection */
  unsigned overtaken;
  bool late;      /* waits, and can no longer start by its aim_at */
  bool reserved;  /* its caller came back for a reservation: it goes before new requests */
  bool for_trial; /* is to be placed on a server of the version on trial */
  bool judged;    /* ops->judged was called for its answer */
  /* expected time to the first event by the speeds of the previous version, estimated when the job
   * was placed; 0: unknown */
  double expected_us;
  /* the same, raised if concurrent answers of the previous version are slow too; at least
   * expected_us
   */
  double adjusted_us;
} Job;

/* Which requests a server of this version gets. */
typedef enum
{
  USE_ALL,      /* of the version in use */
  USE_ON_TRIAL, /* only requests marked for the version on trial */
  USE_NONE
} VersionUse;

/* Token bucket that enforces a server's rate limit. */
typedef struct
{
  double rate;   /* requests a second; 0: unlimited */
  double tokens; /* requests that may be granted at once, as of filled_at */
  int64_t filled_at;
  int64_t announced_at; /* when the latest notice was applied */
} Pace;

/* A server that crashes if it rejects too many requests (brittle.c). */
#define BRIT_REJECTIONS_MAX                                                                        \
  16 /* remembered; more are not risked, whatever the server announces                             \
      */

typedef struct
{
  double limit;         /* rejections a second that it bears; 0: it is not brittle */
  int64_t announced_at; /* when the latest notice was applied */
  unsigned room;        /* requests that it is believed to run at once; used while limit > 0 */
  unsigned proven;      /* most requests that it ran at once since its room last shrank */
  int64_t changed_at;   /* when room was last set */
  int64_t calm_for;     /* time without a rejection until the room grows */
  unsigned rejections;  /* so far */
  int64_t last_rejected_at;
  int64_t rejected_at[BRIT_REJECTIONS_MAX]; /* ring buffer of the latest */
} Brittle;

struct Server
{
  struct cds_list_head link;
  Service *service;
  char *id, *domain, *version;
  VersionUse use;
  unsigned slots, running, pending; /* pending: runs that have had no first event yet */
  bool listed, leaving;
  bool withheld; /* see fresh_has_just_joined */
  /* the server itself announced that it leaves; later server lists do not revoke it */
  bool announced_leaving;
  /* by owner, the backoffs that the server asked for; NULL until the first one */
  GHashTable *backoffs;
  struct cds_list_head runs;
  int64_t prompts_until; /* when the prefill of all pending prompts is expected to be done */
  double pending_us;     /* sum of their prefill times */
  uint64_t pending_tokens;
  double token_us; /* learned time of one output token; 0: no sample yet */
  /* learned unit of the service's prefill curve, microseconds; 0: no sample yet */
  double prompt_unit;
  double answer_us;    /* learned answer time of a plain service; 0: no sample yet */
  double failures;     /* moving average of the share of failed requests */
  int64_t failed_at;   /* time of its latest failure */
  int64_t answered_at; /* time of its latest answer or first event */
  int64_t out_at, out_until, out_for, cold_until;
  bool probing; /* it was taken out: it gets one request at a time until one succeeds */
  /* it was taken out for its failure rate, not for being unreachable or silent */
  bool out_for_failures;
  uint64_t tokens;       /* prompt and expected output tokens of its runs: the KV cache they take */
  int64_t idle_broke_at; /* when an idle connection last broke on reuse */
  /* value of Sched.choices at the latest choice whose owner had a connection to the server */
  uint64_t connected_choice;
  Pace pace;
  Brittle brittle;
  unsigned trial_requests; /* requests it got while its version was on trial */
};

typedef struct
{
  unsigned tier;
  /* jobs whose callers came back for a reservation, in order of arrival */
  struct cds_list_head reserved;
  struct cds_list_head timely; /* jobs that can still be on time, by due time or in fair order */
  struct cds_list_head late;   /* jobs that cannot; earliest end_at first */
  unsigned count;              /* of all three queues */
  /* total slot time of the jobs that can be on time, and of the late ones */
  double timely_us, late_us;
  double mean_us; /* average slot time of a request */
  /* average share of requests that could be on time; [0]: small ones, [1]: large ones */
  double timely_share[2];
  double arrival_load; /* average slot time arriving per unit of time, that is, places kept busy */
  int64_t arrival_load_at;
  Shares *shares; /* fair order of the timely queue; NULL: order by due time only */
} Tier;

/* Figures over all servers of a service, cached for SUMMARY_LIFETIME: with hundreds of waiting
 * requests and a hundred servers, decisions cannot afford to visit every pair. */
typedef struct
{
  int64_t until;
  /* time of an output token on the fastest server, and on average */
  double best_token_us, mean_token_us;
  double min_prompt_unit; /* lowest prompt unit of a usable server */
  double min_answer_us;   /* lowest answer time of a usable server; plain services */
  unsigned slots;         /* of usable servers, plus the requests running on the others */
  double weighted_places; /* of usable servers, weighted by their speed relative to the best one */
  bool any_usable;
  /* at least two servers, and one in COMMON_FAILURES of those in use, have failed a request lately
   */
  bool many_failed;
} Summary;

#define BASELINES_MAX 128 /* more than arrive during one answer at 1,000 a second */

/* A recent answer of the previous version, that is, of a server without the ordered one. */
typedef struct
{
  unsigned route;
  int64_t granted_at;
  /* its time to the first event, for a plain service to the end, divided by expected_us */
  double ratio;
} Baseline;

/* State of a service's versions (versions.c); see SchedVersions. */
typedef struct
{
  char *in_use, *other, *ordered;
  double share;
  unsigned left;
  bool follows, watched, keeps;
  bool all_in_use; /* no version was ordered, and all get requests */
  /* by route: fraction of a request that is due to the other version; it accumulates */
  GHashTable *credit;
  /* requests placed so far, and how many of them on servers of the ordered version */
  unsigned placed, granted;
  double token_us, unit, answer_us; /* mean speeds of the previous version */
  bool measured; /* token_us was measured on its servers; otherwise it is a default */
  /* by route: learned time of a plain answer of the previous version */
  GHashTable *route_answer_us;
  int64_t longest_us[2]; /* longest answer in the current span of time and in the one before */
  int64_t span_at;       /* when the current span started */
  Baseline baselines[BASELINES_MAX]; /* ring buffer of the latest; filled while watched */
  unsigned baseline_count;           /* answers recorded so far */
} Versions;

struct Service
{
  char *name;
  Versions versions;
  GHashTable *presences; /* of the listed versions (fresh.c) */
  GHashTable *settled;   /* versions that settle with the first list (fresh.c) */
  int64_t list_at;       /* when the newest list had been received; 0: none has come */
  SchedServiceConf conf;
  struct cds_list_head servers;
  GPtrArray *tiers; /* Tier, highest first */
  /* waiting jobs that only one version may run, by tier and due time; each is in a queue of its
   * tier, too */
  struct cds_list_head bound;
  Curve curve; /* prefill time by prompt length */
  Summary summary;
  int64_t idle_broke_at;     /* when idle connections last broke at several servers; 0: never */
  int64_t new_conn_broke_at; /* when a new connection last broke; 0: never */
  unsigned running;          /* on all its servers */
  unsigned open_servers;     /* servers with a free place, as of the last count */
  int64_t backoff_until;     /* end of the latest backoff that any of its servers asked for */
  double mean_us;            /* average slot time of a request on the best server */
  double brittleness;        /* as the latest notice of any of its servers announced; 0: none */
  int64_t brittle_until;     /* until then its new servers are taken for brittle */
  const ShrWeights *weights; /* weights of the fair shares; NULL: fair order is off */
};

struct Sched
{
  FtClock *clock;
  const SchedOps *ops;
  void *host;
  GHashTable *services, *servers; /* by name, by id */
  GHashTable *by_digest;          /* Server by sched_server_digest of its id */
  GHashTable *jobs;               /* Job by its SchedKey */
  uint64_t choices;               /* calls of est_choose so far */
  double share, grant_share, rate_share;
  Returns *returns; /* NULL: no reservations are made for refused callers */
  uint64_t salt;
  bool others_unknown; /* see sched_set_grant_share */
  bool listed;         /* a list of servers has come */
  int64_t received_at; /* see sched_set_list_time */
  bool all_versions;   /* see sched_set_all_versions */
  bool fair;
  ShrWeights *weights; /* of the organisations, for fair shares */
  SchedFair counts;
};

/* ---- Estimates (estimate.c) ---- */

/* The cached figures over all servers, at most 10 ms old. */
const Summary *est_summary (const Sched *sched, Service *service);
/* Expected time of one output token, and expected prefill time of a prompt, in microseconds. */
double est_token_us (const Server *server);
double est_prompt_us (const Server *server, unsigned tokens);
/* Slot time that the request would take on the service's best server, microseconds. */
double est_work_us (const Sched *sched, Service *service, const SchedAsk *ask);
/* Lowest expected time to the first event on any usable server, microseconds. */
double est_first_us (const Sched *sched, Service *service, const SchedAsk *ask);
/* The share of the places that arrivals of higher tiers keep busy, 0 to 1. */
double est_share_above (const Sched *sched, Service *service, unsigned tier, int64_t now);
/* Time until a request of the tier would start when work_ahead of slot time goes first,
 * microseconds. behind: the request is late, so that new on-time requests of its own tier go before
 * it as well. */
double est_wait_us (const Sched *sched, Service *service, unsigned tier, bool behind,
                    double work_ahead, int64_t now);
/* The places left over by arrivals of higher tiers and, with behind, by on-time arrivals of its own
 * tier. */
double est_places_left (const Sched *sched, Service *service, unsigned number, bool behind,
                        int64_t now);
/* Updates an exponential moving average with a sample; the first sample sets it. */
void est_learn (double *value, double sample);
/* How many requests this scheduler may run on the server at once. */
unsigned est_places (const Sched *sched, const Server *server);
/* True if the server may get requests of any caller, free places or not. */
bool est_usable (const Server *server, int64_t now);
bool est_has_place (const Sched *sched, const Server *server, int64_t now);
/* The same for one job, which its version may bind to other servers. */
bool est_has_place_for (const Sched *sched, const Job *job, const Server *server, int64_t now);
/* True if the server has KV cache left for the request besides what it runs. */
bool est_fits_memory (const Sched *sched, const Server *server, const SchedAsk *ask);
/* True if the request fits into the KV cache of an idle server of the service. */
bool est_can_fit (const Service *service, const SchedAsk *ask);
/* The best server with a free place; NULL: there is none, or waiting for a busy server is better.
 */
Server *est_choose (Sched *sched, const Job *job, int64_t now);
/* True if a server to which the job's owner has a connection has a free place. */
bool est_connected_place (const Sched *sched, const Job *job, int64_t now);
/* How long a connection to the server may have been idle to be used for a request that must not be
 * sent twice, microseconds. */
int64_t est_max_idle_us (const Server *server, int64_t now);
/* Records that a connection to the server broke as a request was sent; reused: it was an idle
 * connection, not a new one. */
void est_note_broken (Server *server, bool reused, int64_t now);

/* ---- Queues (waiting.c) ---- */

/* The service's queues for a tier, created on first use. */
Tier *wait_tier (Service *service, unsigned number);
void wait_tier_free (void *tier);
/* Counts an arriving request in the averages of its tier. */
void wait_note_arrival (const Job *job, int64_t now);
/* Orders the timely queues by fair shares from now on; weights NULL: by due time only. */
void wait_set_fair (Service *service, const ShrWeights *weights, int64_t now);
/* Puts the job into the queue of its tier that it belongs to: reserved, timely or late. */
void wait_add (Job *job, int64_t now);
/* Factor by which the estimated wait of the job is multiplied, depending on its size relative to
 * the tier's recent mean. */
double wait_size_factor (const Job *job);
/* Records whether the job is on time (placed or expected to be) or not. */
void wait_note_timely (const Job *job, bool timely);
/* Takes the job out of its queue: unserved, or because it got a place. */
void wait_remove (Job *job);
void wait_serve (Job *job, int64_t now);
/* Moves jobs of the tier that can no longer be on time to the late queue. */
void wait_move_late (const Sched *sched, Service *service, Tier *tier, int64_t now);
/* The same for all jobs of all tiers whose queue is in fair order, not by due time. */
void wait_move_all_late (const Sched *sched, Service *service, int64_t now);
/* Slot time that goes before a new request of the tier; late: that request is late, so the late
 * ones of its tier go before it too. */
double wait_ahead_us (const Service *service, unsigned number, bool late);

/* Slot time that goes before a new request. */
typedef struct
{
  double timely_us; /* if it can be on time: on-time requests, in fair order where that is on */
  double all_us;    /* if it cannot: late requests too */
} WaitAhead;

WaitAhead wait_ahead (const Sched *sched, const Job *job, int64_t now);

/* ---- Records (scheduler.c) ---- */

/* Removes the job from its server or its queue, and frees it. */
void sched_remove_job (Sched *sched, Job *job, int64_t now);
/* Notes that the job runs on the server from now on. */
void sched_start_job (Job *job, Server *server, int64_t now);

/* True if a server that may run the job is live or may soon be back. avoid: not this one; NULL:
 * any. */
bool sched_any_usable (const Job *job, int64_t now, const char *avoid);

/* True if the job runs on the server and was granted, by this scheduler, after the given time. */
bool sched_granted_after (const Server *server, const Job *job, int64_t at);

/* ---- Refusal (admit.c) ---- */

/* Refuses a waiting job; wait_us: estimated time until it would start, from which Retry-After
 * follows. */
void admit_refuse (Sched *sched, Job *job, FtReason reason, double wait_us, int64_t now);
/* Decides on a job that found no place. Returns true if it stays queued; otherwise it was refused
 * and freed.
 */
bool admit_new (Sched *sched, Job *job, const WaitAhead *ahead, int64_t now);
/* Decides on a job whose owner must back off from all servers until opens_at. Returns true if it
 * stays queued; otherwise it was refused and freed. */
bool admit_in_backoff (Sched *sched, Job *job, int64_t opens_at, int64_t now);
/* Marks the job if its caller came back for a reservation that is due. Call before the job is
 * queued. */
void admit_note_return (Sched *sched, Job *job);
/* Counts the job's reservation, if any, as kept when the job is placed. */
void admit_note_grant (Sched *sched, const Job *job);
/* Refuses waiting jobs that can no longer be served in time. */
void admit_review (Sched *sched, Service *service, int64_t now);

/* ---- Rate limits of servers (pace.c) ---- */

/* True if the bucket of a rate-limited server holds a token. */
bool pace_bucket_has_token (const Sched *sched, const Server *server, int64_t now);
/* True if the rate limit, if any, allows a request now. */
static inline bool
pace_has_token (const Sched *sched, const Server *server, int64_t now)
{
  return server->pace.rate <= 0 || pace_bucket_has_token (sched, server, now);
}
/* Takes a token for a request that is placed on the server. */
void pace_take (const Sched *sched, Server *server, int64_t now);
/* How many of the server's places its rate limit can keep busy, at most places. */
double pace_places (const Sched *sched, const Server *server, double places);
/* An answer announced the server's rate limit; 0: none. job: the request that was answered, NULL if
 * it is no longer known. */
void pace_apply_notice (const Sched *sched, Server *server, const Job *job, double rate,
                        int64_t now);
/* An instance received the rate age ago, for a request that another scheduler had granted. */
void pace_apply_older_notice (const Sched *sched, Server *server, double rate, int64_t age,
                              int64_t now);

/* ---- Backoffs (backoff.c) ---- */

/* The server asked the owner to back off for us microseconds. */
void boff_note (Server *server, uint64_t owner, int64_t us, int64_t now);
/* True if the owner is not asked to back off from the server, or no longer. */
bool boff_has_ended (const Server *server, uint64_t owner, int64_t now);
static inline bool
boff_permits (const Server *server, uint64_t owner, int64_t now)
{
  return server->backoffs == NULL || boff_has_ended (server, owner, now);
}
/* Drops all backoffs of an owner that is gone. */
void boff_drop_owner (Sched *sched, uint64_t owner);
/* When the first backoff of the job's owner at a server that may run it ends; now if some server
 * accepts its requests already. */
int64_t boff_earliest_end (const Job *job, int64_t now);
/* True if a place is free at a server from which the job's owner need not back off. */
bool boff_any_place (const Sched *sched, const Job *job, int64_t now);

/* ---- Dispatch (dispatch.c) ---- */

/* Grants the job a place at the best server. Returns false if none has one. */
bool disp_place (Sched *sched, Job *job, int64_t now);
/* The same for a job that is due to the version on trial, at that version. Returns false if it has
 * no free place: the job is then treated like any other one, and gets no precedence. */
bool disp_place_on_trial (Sched *sched, Job *job, int64_t now);
/* Grants free places of the service to its waiting requests. */
void disp_queues (Sched *sched, Service *service, int64_t now);
/* Number of requests of the service that wait. */
unsigned disp_count_waiting (const Service *service);
/* Counts the servers that have a free place, in service->open_servers. */
void disp_count_open (const Sched *sched, Service *service, int64_t now);

/* ---- Brittle servers (brittle.c) ---- */

/* An answer announced how many rejections a second the server bears; 0: it is not brittle. job: the
 * request that was answered, NULL if it is no longer known. */
void brit_apply_notice (Server *server, const Job *job, double limit, int64_t now);
/* An instance received the notice for a request that another scheduler had granted. */
void brit_apply_older_notice (Server *server, double limit, int64_t now);
/* A server that was not listed before. */
void brit_init_server (Server *server, int64_t now);
/* How many requests the server is believed to run at once, at most its listed places. */
unsigned brit_room (const Server *server);
/* The same, less a reserve for the errors of other schedulers that grant its places too. */
double brit_shared_room (const Server *server);
/* True if a brittle server bears it if the next request is rejected. */
bool brit_is_calm (const Sched *sched, const Server *server, int64_t now);
static inline bool
brit_permits (const Sched *sched, const Server *server, int64_t now)
{
  return server->brittle.limit <= 0 || brit_is_calm (sched, server, now);
}
/* The server rejected a request, which server->running does not include any more. */
void brit_note_rejection (const Sched *sched, Server *server, int64_t now);
/* The server has begun to answer a request, which server->running includes. */
void brit_note_success (const Sched *sched, Server *server, int64_t now);
/* A request that another scheduler granted runs there. */
void brit_note_adopted (Server *server, int64_t now);
/* Lets the room grow where this scheduler's share of it is no place, so that nothing is learned. */
void brit_tick (const Sched *sched, Service *service, int64_t now);

/* ---- Versions of servers (versions.c) ---- */

void ver_init (Versions *versions);
void ver_clear (Versions *versions);
/* Recomputes which servers get requests, after a change of the server list or of the versions. */
void ver_assign (const Sched *sched, Service *service);
/* Puts the version in use, see sched_set_in_use. */
void ver_set_in_use (const Sched *sched, Service *service, const char *version);
/* True if servers of this version may run the job. */
bool ver_permits (const Job *job, const Server *server);
/* True if the job is bound to a version that is not in use, whose servers get nothing else. */
bool ver_waits_apart (const Job *job);
/* Marks a new request if it is due to the version on trial. */
void ver_mark_request (Job *job);
/* Chooses a server of the version on trial for a marked job; NULL: none has a place. */
Server *ver_choose (const Sched *sched, const Job *job, int64_t now);
/* Notes that the job is placed on the server. Call before the server's counts include it. */
void ver_note_grant (Job *job, const Server *server, int64_t now);
/* Judge the job at its first event and at its end. ver_check_overdue, called on each tick, finds
 * answers that are overdue. */
void ver_note_first (const Sched *sched, Job *job, int64_t after_us);
void ver_note_end (const Sched *sched, Job *job, const SchedResult *result, int64_t now);
void ver_check_overdue (const Sched *sched, Service *service, int64_t now);

/* ---- Versions that have joined lately (fresh.c) ---- */

GHashTable *fresh_presences_new (void);
/* Notes which versions of the service are in the list that had been received at this time. Call
 * with each list. */
void fresh_note_list (Service *service, int64_t at);
/* The version joined long ago if it is in this scheduler's first list, also if that is yet to come;
 * see sched_settle_version. */
void fresh_settle (Service *service, const char *version);
/* See sched_streams_begin_soon. */
bool fresh_begins_soon (const Service *service, const char *version, int64_t now);
/* True if the server's version has just joined, where all versions are used. */
bool fresh_has_just_joined (const Server *server);
/* True if the job is a resumable stream, and the server's version has just joined. */
bool fresh_is_withheld (const Job *job, const Server *server);

/* ---- Health of servers (health.c) ---- */

/* Updates the health and the speeds of a server with the result of a request. */
void health_update (Sched *sched, Server *server, const SchedResult *result, int64_t granted_at,
                    int64_t now);
/* A request granted at granted_at is overdue and has had no answer. */
void health_note_silence (Sched *sched, Server *server, int64_t granted_at, int64_t now);

#endif
