/* scheduler.c - placement, order and refusal for engines without priorities.
 *
 * Where the queue is. An engine runs `slots` requests at once and admits the rest in order of
 * arrival, so what waits inside an engine has lost its tier. Nothing is handed over beyond the
 * places; all waiting happens here, by tier, and within a tier those that can still be on time go
 * before those that cannot.
 *
 * Placing. All figures are one formula in microseconds. For each server with a free place:
 *     first  = prompts ahead of ours there + our own prompt, at the server's speed
 *     finish = first + expected tokens at the server's time per token
 * Speeds are learned from the time of first events and between events, since they differ more than
 * fourfold inside one pool. A prompt is computed in chunks between the tokens of its neighbours;
 * when these chunks would stretch a neighbour's pause beyond its bound, each neighbour counts as
 * HARM. A request that would be late on every free server, while a busy one could still serve it on
 * time, waits for that one as long as it can.
 *
 * Refusing. The queue ahead in slot time, divided by the places left over by higher tiers, says
 * when a request would start. If that is too late it is refused at once, with that time as the
 * advice when to come back. Nothing is refused while a usable place is free.
 *
 * Servers that fail. Connections refused, failures and silence take a server out for a while that
 * doubles; then one request, repeatable if there is such, tries it. Only servers clearly worse than
 * their service's mean are taken out for failing, and no more than half of them.
 */
#include "scheduler.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <urcu/list.h>

/* Tuning; each row with its reason. */
#define TOKEN_US     6000.0   /* time of a token before any was seen: the size of today's engines */
#define PROMPT_RATIO 0.0033   /* time of a prompt's token in times of an output's, likewise */
#define ANSWER_US    40000.0  /* a plain service's answer before any was seen */
#define CHUNK        2048     /* tokens of a prompt that engines compute at once */
#define LEARN        0.25     /* weight of a new sample: four samples replace most of the past */
#define HARM_US      400000.0 /* cost of making one neighbour late, as much as finishing later */
#define LATE_US      1500000.0 /* cost of being late where another server would not be */
#define HOP_US       1500.0    /* sending and the first bytes back, between failure domains */
#define GAP_USED     0.85      /* of a neighbour's bound that a pause may reach by our estimate */
#define OUT_FIRST    (300 * FT_MS)  /* first time out: a restart or a lost packet */
#define OUT_MOST     (2400 * FT_MS) /* tried every few seconds at least */
#define REJECTED_OUT (40 * FT_MS)   /* a full server: until one of its places is free */
#define FAIL_LEARN   0.2            /* weight of a new outcome in the share of failures */
#define FAIL_OUT     0.45           /* share of failures that takes a server out */
#define FAIL_TIMES   1.8            /* and so many times its service's mean */
#define SCAN_MOST    48             /* waiting requests of a tier looked at in one decision */
#define INFLOW_US    2e6            /* span over which the arrivals of a tier are averaged */
#define CAUTION                                                                                    \
  1.15                   /* of an estimate at arrival: at 1.0, 10.5 % of those refused in an       \
                            overload of twice the places had been held over 0.4 s */
#define HOPELESS     1.3 /* a queued request is given up when its estimate is so far off */
#define CONTACTS     16  /* owners remembered a server; more than its places */
#define CONTACT_FOR  (2500 * FT_MS) /* connections are kept a little longer than that */
#define OPEN_US      12000.0 /* worth of a connection: its set-up, and it holds a place meanwhile */
#define SUMMARY_FOR  (10 * FT_MS) /* speeds change more slowly than that */
#define SLOW_TIMES   1.6          /* times the best server's token: waiting for another may pay */
#define ADVICE_LEAST (100 * FT_MS)
#define ADVICE_PART  3 /* callers wait for a third of the time that they have left */

typedef struct Service Service;
typedef struct Server Server;

typedef struct
{
  uint64_t owner, request;
} Key;

/* When an owner last had an answer from a server: it has a connection there that it can use again.
 */
typedef struct
{
  uint64_t owner;
  int64_t at;
} Contact;

typedef struct
{
  struct cds_list_head link; /* of a tier's queue or of a server's runs */
  Key key;
  Service *service;
  Server *server; /* NULL: waits */
  SchedAsk ask;   /* its strings are not used, but these */
  char *avoid, *org;
  int64_t granted_at;
  double prompt_us; /* predicted on its server */
  double work_us;   /* slot time on the service's best server */
  bool first_seen;
} Job;

struct Server
{
  struct cds_list_head link;
  Service *service;
  char *id, *domain;
  unsigned slots, running, pending; /* pending: runs without their first event */
  bool leaving, listed;
  struct cds_list_head runs;
  int64_t prompts_until; /* when the prompts handed over so far are computed */
  uint64_t pending_tokens;
  double token_us, prompt_us; /* learned, of one token; 0: nothing seen yet */
  double answer_us;
  double failures; /* share, averaged */
  int64_t out_until, out_for, cold_until;
  bool trial;                 /* was out: one request at a time until one succeeds */
  uint64_t tokens;            /* memory of its runs */
  Contact contacts[CONTACTS]; /* the latest owners */
};

typedef struct
{
  unsigned tier;
  struct cds_list_head waiting;
  unsigned count;
  double work_us; /* of those that wait */
  double inflow;  /* slot time arriving per time, averaged */
  int64_t inflow_at;
} Tier;

/* What a decision needs of all servers, worked out again after SUMMARY_FOR: a queue of hundreds
 * before a hundred servers must not look at all pairs of them. */
typedef struct
{
  int64_t until;
  double best_token, mean_token; /* time of a token: of the best server, and on average */
  double least_prompt;           /* least time of a prompt's token on a usable server */
  double least_answer;           /* of a plain service */
  double places;                 /* of usable servers, in units of the best one's speed */
  bool any_usable;
} Summary;

struct Service
{
  char *name;
  SchedServiceConf conf;
  struct cds_list_head servers;
  GPtrArray *tiers;    /* Tier, highest first */
  double prompt_ratio; /* learned: a prompt token's time in output tokens' times */
  Summary summary;
  unsigned open; /* servers with a free place, as of the last count */
};

struct Sched
{
  FtClock *clock;
  const SchedOps *ops;
  void *host;
  GHashTable *services, *servers; /* by name, by id */
  GHashTable *jobs;               /* Key: Job */
  double share;
  uint64_t salt;
};

/* ---- Records ---- */

static guint
key_hash (gconstpointer data)
{
  const Key *key = data;

  return (guint) (key->request * 2654435761u ^ key->owner ^ key->owner >> 32);
}

static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  const Key *x = a, *y = b;

  return x->owner == y->owner && x->request == y->request;
}

static void
tier_free (void *data)
{
  g_free (data);
}

static void
service_free (void *data)
{
  Service *service = data;

  g_ptr_array_unref (service->tiers);
  g_free (service->name);
  g_free (service);
}

static void
server_free (void *data)
{
  Server *server = data;

  cds_list_del (&server->link);
  g_free (server->id);
  g_free (server->domain);
  g_free (server);
}

static void
job_free (void *data)
{
  Job *job = data;

  g_free (job->avoid);
  g_free (job->org);
  g_free (job);
}

Sched *
sched_new (FtClock *clock, const SchedOps *ops, void *host)
{
  Sched *sched = g_new0 (Sched, 1);

  sched->clock = clock;
  sched->ops = ops;
  sched->host = host;
  sched->share = 1;
  sched->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  sched->servers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, server_free);
  sched->jobs = g_hash_table_new_full (key_hash, key_equal, NULL, job_free);
  return sched;
}

void
sched_free (Sched *sched)
{
  if (sched == NULL)
    return;
  g_hash_table_unref (sched->jobs);
  g_hash_table_unref (sched->servers);
  g_hash_table_unref (sched->services);
  g_free (sched);
}

static Service *
service_of (Sched *sched, const char *name)
{
  Service *service = g_hash_table_lookup (sched->services, name);

  if (service)
    return service;
  service = g_new0 (Service, 1);
  service->name = g_strdup (name);
  service->prompt_ratio = PROMPT_RATIO;
  service->tiers = g_ptr_array_new_with_free_func (tier_free);
  CDS_INIT_LIST_HEAD (&service->servers);
  g_hash_table_insert (sched->services, service->name, service);
  return service;
}

static Tier *
tier_of (Service *service, unsigned number)
{
  unsigned at = 0;

  for (; at < service->tiers->len; at++)
    {
      Tier *tier = service->tiers->pdata[at];
      if (tier->tier == number)
        return tier;
      if (tier->tier > number)
        break;
    }
  Tier *tier = g_new0 (Tier, 1);
  tier->tier = number;
  CDS_INIT_LIST_HEAD (&tier->waiting);
  g_ptr_array_insert (service->tiers, (gint) at, tier);
  return tier;
}

void
sched_service (Sched *sched, const char *name, const SchedServiceConf *conf)
{
  Service *service = service_of (sched, name);

  service->conf = *conf;
  if (service->conf.stride == 0)
    service->conf.stride = 1;
}

void
sched_share (Sched *sched, double share, uint64_t salt)
{
  sched->share = share;
  sched->salt = salt;
}

/* ---- Speeds ---- */

static bool usable (const Server *server, int64_t now);
static unsigned places (const Sched *sched, const Server *server);

static double
own_prompt_us (const Server *server, double token)
{
  return server->prompt_us > 0 ? server->prompt_us : token * server->service->prompt_ratio;
}

static void
summarize_speeds (Service *service)
{
  Summary *sum = &service->summary;
  const Server *server;
  double total = 0, best = 0;
  unsigned count = 0;

  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (server->token_us <= 0)
      continue;
    total += server->token_us;
    count++;
    if (best == 0 || server->token_us < best)
      best = server->token_us;
  }
  sum->best_token = count ? best : TOKEN_US;
  sum->mean_token = count ? total / count : TOKEN_US;
}

static const Summary *
summary (const Sched *sched, Service *service)
{
  Summary *sum = &service->summary;
  int64_t now = ft_clock_now (sched->clock);
  const Server *server;

  if (now < sum->until)
    return sum;
  sum->until = now + SUMMARY_FOR;
  summarize_speeds (service);
  sum->least_prompt = sum->least_answer = sum->places = 0;
  sum->any_usable = false;
  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (!usable (server, now))
      continue;
    double token = server->token_us > 0 ? server->token_us : sum->mean_token;
    double prompt = own_prompt_us (server, token);
    double answer = server->answer_us > 0 ? server->answer_us : ANSWER_US;
    if (!sum->any_usable || prompt < sum->least_prompt)
      sum->least_prompt = prompt;
    if (!sum->any_usable || answer < sum->least_answer)
      sum->least_answer = answer;
    sum->any_usable = true;
    sum->places += places (sched, server) * (service->conf.engine ? sum->best_token / token : 1);
  }
  return sum;
}

static double
token_us (const Server *server)
{
  return server->token_us > 0 ? server->token_us : server->service->summary.mean_token;
}

static double
prompt_token_us (const Server *server)
{
  return own_prompt_us (server, token_us (server));
}

static double
answer_us (const Server *server)
{
  return server->answer_us > 0 ? server->answer_us : ANSWER_US;
}

static void
learn (double *value, double sample)
{
  *value = *value > 0 ? *value + LEARN * (sample - *value) : sample;
}

static double
job_work_us (const Sched *sched, Service *service, const SchedAsk *ask)
{
  if (!service->conf.engine)
    return summary (sched, service)->least_answer;
  double token = summary (sched, service)->best_token;
  return ask->prompt_tokens * token * service->prompt_ratio + ask->output_tokens * token;
}

/* ---- Places ---- */

/* How many requests this scheduler may run on the server at once. */
static unsigned
places (const Sched *sched, const Server *server)
{
  if (sched->share >= 1)
    return server->slots;
  double exact = server->slots * sched->share;
  uint64_t draw = (g_str_hash (server->id) ^ sched->salt) * 0x9e3779b97f4a7c15u;
  double fraction = (double) (draw >> 11) / 9007199254740992.0;
  return (unsigned) (exact + fraction);
}

static bool
usable (const Server *server, int64_t now)
{
  return server->listed && !server->leaving && now >= server->out_until;
}

static bool
has_place (const Sched *sched, const Server *server, int64_t now)
{
  unsigned most = server->trial ? 1 : places (sched, server);

  return usable (server, now) && server->running < most;
}

/* ---- Estimates ---- */

typedef struct
{
  double first_us, finish_us; /* from now */
  double harm_us;             /* to neighbours */
  bool late;
} Estimate;

static double
harm_us (const Server *server, const SchedAsk *ask)
{
  const Service *service = server->service;
  double chunk = CHUNK * prompt_token_us (server);
  double chunks = ceil ((double) (ask->prompt_tokens + server->pending_tokens) / CHUNK);
  unsigned stride = service->conf.stride;
  double pause = stride * token_us (server) + MIN (chunks, stride) * chunk;
  double harm = 0;
  const Job *job;

  cds_list_for_each_entry (job, &server->runs, link)
  {
    if (job->first_seen && job->ask.gap_us > 0 && pause > GAP_USED * (double) job->ask.gap_us)
      harm += HARM_US;
  }
  return harm;
}

static Estimate
estimate (const Server *server, const SchedAsk *ask, int64_t now)
{
  Estimate out = { 0 };

  if (!server->service->conf.engine)
    {
      double over = server->running >= server->slots ? 1 : 0;
      out.first_us = HOP_US + answer_us (server) * (1 + over);
      out.finish_us = out.first_us + answer_us (server) * server->running / MAX (server->slots, 1);
    }
  else
    {
      double ahead = (double) MAX (0, server->prompts_until - now);
      double own = ask->prompt_tokens * prompt_token_us (server);
      out.first_us = HOP_US + ahead + own + server->service->conf.stride * token_us (server);
      out.finish_us = out.first_us + ask->output_tokens * token_us (server);
      out.harm_us = harm_us (server, ask);
    }
  out.late = (double) now + out.first_us > (double) ask->aim_at;
  return out;
}

static Contact *
contact_of (Server *server, uint64_t owner)
{
  for (unsigned i = 0; i < CONTACTS; i++)
    if (server->contacts[i].owner == owner && server->contacts[i].at)
      return &server->contacts[i];
  return NULL;
}

static void
note_contact (Server *server, uint64_t owner, int64_t now)
{
  Contact *contact = contact_of (server, owner);

  for (unsigned i = 0; contact == NULL && i < CONTACTS; i++)
    if (now - server->contacts[i].at > CONTACT_FOR)
      contact = &server->contacts[i];
  if (contact == NULL)
    contact = &server->contacts[now / 1000 % CONTACTS];
  *contact = (Contact){ owner, now };
}

static double
open_us (Server *server, uint64_t owner, int64_t now)
{
  const Contact *contact = contact_of (server, owner);

  return contact && now - contact->at < CONTACT_FOR ? 0 : OPEN_US;
}

static double
total (const Estimate *estimate)
{
  return estimate->finish_us + estimate->harm_us + (estimate->late ? LATE_US : 0);
}

static bool
fits_memory (const Server *server, const SchedAsk *ask)
{
  uint64_t most = server->service->conf.memory;

  return most == 0 || server->running == 0
         || server->tokens + ask->prompt_tokens + ask->output_tokens < most;
}

/* Would a server that is busy now be on time without harm to others, so that it is worth waiting?
 */
static bool
better_if_free (const Sched *sched, const Job *job, double most, int64_t now)
{
  const Server *server;

  cds_list_for_each_entry (server, &job->service->servers, link)
  {
    if (!usable (server, now) || server->trial || has_place (sched, server, now)
        || (job->avoid && strcmp (job->avoid, server->id) == 0))
      continue;
    Estimate here = estimate (server, &job->ask, now);
    if (!here.late && here.harm_us == 0 && total (&here) < most
        && (double) now + total (&here) < (double) job->ask.aim_at)
      return true;
  }
  return false;
}

/* The best server with a place; NULL: none, or it is worth waiting for a busy one. */
static Server *
choose (const Sched *sched, const Job *job, int64_t now)
{
  Server *server, *best = NULL;
  double best_total = 0;
  Estimate chosen = { 0 };

  cds_list_for_each_entry (server, &job->service->servers, link)
  {
    if (!has_place (sched, server, now) || !fits_memory (server, &job->ask)
        || (job->avoid && strcmp (job->avoid, server->id) == 0))
      continue;
    if (server->trial && job->ask.repeatable)
      return server;
    Estimate here = estimate (server, &job->ask, now);
    double cost = total (&here) + open_us (server, job->key.owner, now);
    if (best == NULL || cost < best_total)
      {
        best = server;
        best_total = cost;
        chosen = here;
      }
  }
  if (best == NULL || (!chosen.late && chosen.harm_us == 0) || now >= job->ask.aim_at)
    return best;
  bool slow = job->service->conf.engine
              && token_us (best) > SLOW_TIMES * job->service->summary.best_token;
  return (slow || chosen.harm_us > 0) && better_if_free (sched, job, best_total, now) ? NULL : best;
}

/* Least time until the first of the answer on any usable server. */
static double
least_first_us (const Sched *sched, Service *service, const SchedAsk *ask)
{
  const Summary *sum = summary (sched, service);

  if (!service->conf.engine)
    return HOP_US + sum->least_answer;
  return HOP_US + ask->prompt_tokens * sum->least_prompt + sum->best_token;
}

static void
note_arrival (Tier *tier, double work, int64_t now)
{
  double since = (double) (now - tier->inflow_at);

  tier->inflow = tier->inflow * exp (-since / INFLOW_US) + work / INFLOW_US;
  tier->inflow_at = now;
}

/* Time until a request of the tier that comes last would start. */
static double
wait_us (const Sched *sched, Service *service, unsigned number, double work_ahead, int64_t now)
{
  double all = summary (sched, service)->places, taken = 0;

  for (unsigned i = 0; i < service->tiers->len; i++)
    {
      const Tier *tier = service->tiers->pdata[i];
      if (tier->tier >= number)
        break;
      taken += tier->inflow * exp (-(double) (now - tier->inflow_at) / INFLOW_US);
    }
  double left = MAX (all - taken, all * 0.05);
  return left > 0 ? work_ahead / left : 1e12;
}

static double
work_ahead (const Service *service, unsigned number)
{
  double work = 0;

  for (unsigned i = 0; i < service->tiers->len; i++)
    {
      const Tier *tier = service->tiers->pdata[i];
      if (tier->tier <= number)
        work += tier->work_us;
    }
  return work;
}

/* ---- Moves of a job ---- */

static void
enqueue (Job *job)
{
  Tier *tier = tier_of (job->service, job->ask.tier);

  cds_list_add_tail (&job->link, &tier->waiting);
  tier->count++;
  tier->work_us += job->work_us;
}

static void
dequeue (Job *job)
{
  Tier *tier = tier_of (job->service, job->ask.tier);

  cds_list_del (&job->link);
  tier->count--;
  tier->work_us = tier->count ? MAX (0, tier->work_us - job->work_us) : 0;
}

static void
start (Job *job, Server *server, int64_t now)
{
  job->server = server;
  job->granted_at = now;
  job->prompt_us = job->ask.prompt_tokens * prompt_token_us (server);
  cds_list_add_tail (&job->link, &server->runs);
  server->running++;
  server->pending++;
  server->pending_tokens += job->ask.prompt_tokens;
  server->tokens += job->ask.prompt_tokens + job->ask.output_tokens;
  server->prompts_until = MAX (server->prompts_until, now) + (int64_t) job->prompt_us;
}

static void
first_seen (Job *job, int64_t now)
{
  Server *server = job->server;

  if (job->first_seen)
    return;
  job->first_seen = true;
  server->pending--;
  server->pending_tokens -= MIN (server->pending_tokens, job->ask.prompt_tokens);
  if (server->pending == 0)
    {
      server->prompts_until = now;
      server->pending_tokens = 0;
    }
}

static void
leave_server (Job *job, int64_t now)
{
  Server *server = job->server;

  first_seen (job, now);
  cds_list_del (&job->link);
  server->running--;
  server->tokens -= job->ask.prompt_tokens + job->ask.output_tokens;
  job->server = NULL;
}

static void
forget (Sched *sched, Job *job, int64_t now)
{
  if (job->server)
    leave_server (job, now);
  else
    {
      dequeue (job);
      if (job->ask.cost > 0)
        sched->ops->unused (sched->host, job->org, job->ask.cost);
    }
  g_hash_table_remove (sched->jobs, &job->key);
}

static void
refuse (Sched *sched, Job *job, FtReason reason, double wait, int64_t now)
{
  SchedRefusal refusal = { .reason = reason };
  int64_t left = MAX (0, job->ask.end_at - now);
  Key key = job->key;

  refusal.retry_after_us = MIN ((int64_t) MIN (wait, 1e9), left / ADVICE_PART);
  refusal.retry_after_us = MAX (refusal.retry_after_us, ADVICE_LEAST);
  snprintf (refusal.rule, sizeof refusal.rule,
            "tier %u: %u waiting, start in %.0f ms, of use for %.0f ms", job->ask.tier,
            tier_of (job->service, job->ask.tier)->count, MIN (wait, 1e9) / 1e3,
            (double) (job->ask.limit_at - now) / 1e3);
  forget (sched, job, now);
  sched->ops->refuse (sched->host, key.owner, key.request, &refusal);
}

/* ---- Dispatch ---- */

static bool
place (Sched *sched, Job *job, int64_t now)
{
  Server *server = choose (sched, job, now);

  if (server == NULL)
    return false;
  dequeue (job);
  start (job, server, now);
  if (!has_place (sched, server, now) && job->service->open > 0)
    job->service->open--;
  sched->ops->grant (sched->host, job->key.owner, job->key.request, server->id);
  return true;
}

static void
count_open (const Sched *sched, Service *service, int64_t now)
{
  const Server *server;

  service->open = 0;
  cds_list_for_each_entry (server, &service->servers, link)
  {
    service->open += has_place (sched, server, now);
  }
}

static bool
any_place (const Sched *sched, Service *service, int64_t now)
{
  count_open (sched, service, now);
  return service->open > 0;
}

/* On time first, then the others: a late answer is worth a part of one on time. */
static void
dispatch_tier (Sched *sched, Service *service, Tier *tier, int64_t now)
{
  for (int pass = 0; pass < 2; pass++)
    {
      Job *job, *next;
      unsigned scanned = 0;
      cds_list_for_each_entry_safe (job, next, &tier->waiting, link)
      {
        if (scanned++ >= SCAN_MOST || service->open == 0)
          break;
        bool in_time
            = (double) now + least_first_us (sched, service, &job->ask) <= (double) job->ask.aim_at;
        if (in_time != (pass == 0))
          continue;
        place (sched, job, now);
      }
    }
}

static void
dispatch (Sched *sched, Service *service, int64_t now)
{
  bool anyone = false;

  for (unsigned i = 0; i < service->tiers->len; i++)
    anyone = anyone || ((Tier *) service->tiers->pdata[i])->count > 0;
  if (!anyone)
    return;
  summary (sched, service);
  count_open (sched, service, now);
  for (unsigned i = 0; i < service->tiers->len; i++)
    {
      Tier *tier = service->tiers->pdata[i];
      if (tier->count > 0 && service->open > 0)
        dispatch_tier (sched, service, tier, now);
    }
}

/* ---- Asking ---- */

static Job *
job_new (Sched *sched, const SchedAsk *ask)
{
  Job *job = g_new0 (Job, 1);

  job->key = (Key){ ask->owner, ask->request };
  job->service = service_of (sched, ask->service);
  job->ask = *ask;
  job->ask.service = job->ask.org = job->ask.avoid = NULL;
  job->org = g_strdup (ask->org);
  job->avoid = ask->avoid && *ask->avoid ? g_strdup (ask->avoid) : NULL;
  job->work_us = job_work_us (sched, job->service, ask);
  g_hash_table_insert (sched->jobs, &job->key, job);
  return job;
}

static bool
any_usable (const Service *service, int64_t now, const char *avoid)
{
  const Server *server;

  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (server->listed && !server->leaving && now + OUT_MOST > server->out_until
        && (avoid == NULL || strcmp (avoid, server->id) != 0))
      return true;
  }
  return false;
}

bool
sched_ask (Sched *sched, const SchedAsk *ask)
{
  Key key = { ask->owner, ask->request };
  int64_t now = ft_clock_now (sched->clock);

  if (g_hash_table_contains (sched->jobs, &key))
    return true;
  Job *job = job_new (sched, ask);
  Service *service = job->service;
  double ahead = work_ahead (service, ask->tier);
  note_arrival (tier_of (service, ask->tier), job->work_us, now);
  enqueue (job);
  dispatch (sched, service, now);
  job = g_hash_table_lookup (sched->jobs, &key);
  if (job == NULL || job->server)
    return false;
  if (job->avoid && !any_usable (service, now, job->avoid))
    {
      /* Better the server that failed it once than none. */
      g_clear_pointer (&job->avoid, g_free);
      if (place (sched, job, now))
        return false;
    }
  if (!any_usable (service, now, NULL))
    {
      refuse (sched, job, FT_REASON_NO_SERVER, 1e6, now);
      return false;
    }
  double wait = wait_us (sched, service, ask->tier, ahead, now);
  double first = least_first_us (sched, service, ask);
  if ((double) now + CAUTION * wait + first > (double) ask->limit_at
      && !any_place (sched, service, now))
    {
      refuse (sched, job, FT_REASON_SHORTAGE, wait, now);
      return false;
    }
  return true;
}

void
sched_adopt (Sched *sched, const SchedAsk *ask, const char *id)
{
  Key key = { ask->owner, ask->request };
  int64_t now = ft_clock_now (sched->clock);
  Server *server = g_hash_table_lookup (sched->servers, id);
  Job *job = g_hash_table_lookup (sched->jobs, &key);

  if (server == NULL || (job && job->server))
    return;
  if (job)
    dequeue (job);
  else
    job = job_new (sched, ask);
  start (job, server, now);
  first_seen (job, now);
}

/* ---- What came of it ---- */

void
sched_first (Sched *sched, uint64_t owner, uint64_t request, int64_t after_us)
{
  Key key = { owner, request };
  int64_t now = ft_clock_now (sched->clock);
  Job *job = g_hash_table_lookup (sched->jobs, &key);

  if (job == NULL || job->server == NULL || job->first_seen)
    return;
  Server *server = job->server;
  bool alone = server->pending == 1;
  first_seen (job, now);
  if (!job->service->conf.engine || !alone || job->ask.prompt_tokens < 500)
    return;
  double own = (double) after_us - HOP_US - job->service->conf.stride * token_us (server);
  double each = MAX (own, 0.2 * (double) after_us) / job->ask.prompt_tokens;
  learn (&server->prompt_us, each);
  if (server->token_us > 0)
    learn (&job->service->prompt_ratio, server->prompt_us / server->token_us);
}

static double
mean_failures (const Service *service)
{
  const Server *server;
  double sum = 0;
  unsigned count = 0;

  cds_list_for_each_entry (server, &service->servers, link)
  {
    sum += server->failures;
    count++;
  }
  return count ? sum / count : 0;
}

static unsigned
count_out (const Service *service, unsigned *all)
{
  const Server *server;
  unsigned out = 0;

  *all = 0;
  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (!server->listed || server->leaving)
      continue;
    (*all)++;
    out += server->trial; /* out, or tried by one request at a time */
  }
  return out;
}

static void
take_out (Sched *sched, Server *server, const char *why, int64_t now)
{
  if (now < server->out_until)
    return;
  server->out_for = CLAMP (server->out_for * 2, OUT_FIRST, OUT_MOST);
  server->out_until = now + server->out_for;
  server->trial = true;
  sched->ops->believes (sched->host, server->id, true, why, server->out_for);
}

static void
judge_failure (Sched *sched, Server *server, int64_t now)
{
  unsigned all, out = count_out (server->service, &all);

  server->failures += FAIL_LEARN * (1 - server->failures);
  if (server->trial)
    take_out (sched, server, "failed its trial", now);
  else if (server->failures > FAIL_OUT
           && server->failures > FAIL_TIMES * mean_failures (server->service)
           && (out + 1) * 2 <= all)
    take_out (sched, server, "fails more than the others", now);
}

static void
judge_success (Sched *sched, Server *server)
{
  server->failures -= FAIL_LEARN * server->failures;
  server->out_until = 0;
  if (!server->trial)
    {
      if (server->failures < FAIL_OUT / 4)
        server->out_for = 0;
      return;
    }
  server->trial = false;
  sched->ops->believes (sched->host, server->id, false, "answered", 0);
}

static void
judge (Sched *sched, Server *server, const SchedResult *result, int64_t now)
{
  switch (result->outcome)
    {
    case SCHED_OK:
      judge_success (sched, server);
      break;
    case SCHED_FAILED:
      judge_failure (sched, server, now);
      break;
    case SCHED_UNREACHED:
      take_out (sched, server, "takes no connection", now);
      break;
    case SCHED_SILENT:
      server->failures += FAIL_LEARN * (1 - server->failures);
      take_out (sched, server, "does not answer", now);
      break;
    case SCHED_REJECTED:
      server->out_until = MAX (server->out_until, now + REJECTED_OUT);
      break;
    case SCHED_LEFT:
      break;
    }
  if (result->event_us > 0)
    learn (&server->token_us, (double) result->event_us / server->service->conf.stride);
  if (result->answer_us > 0 && result->outcome == SCHED_OK && !server->service->conf.engine)
    learn (&server->answer_us, (double) result->answer_us);
}

void
sched_silent (Sched *sched, uint64_t owner, uint64_t request)
{
  Key key = { owner, request };
  Job *job = g_hash_table_lookup (sched->jobs, &key);

  if (job && job->server)
    take_out (sched, job->server, "does not answer", ft_clock_now (sched->clock));
}

void
sched_done (Sched *sched, uint64_t owner, uint64_t request, const SchedResult *result)
{
  Key key = { owner, request };
  int64_t now = ft_clock_now (sched->clock);
  Job *job = g_hash_table_lookup (sched->jobs, &key);

  if (job == NULL)
    return;
  Service *service = job->service;
  Server *server = job->server;
  forget (sched, job, now);
  if (server && result->outcome == SCHED_OK)
    note_contact (server, owner, now);
  if (server)
    judge (sched, server, result, now);
  dispatch (sched, service, now);
}

void
sched_owner_gone (Sched *sched, uint64_t owner)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *gone = g_ptr_array_new ();
  int64_t now = ft_clock_now (sched->clock);

  g_hash_table_iter_init (&iter, sched->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Job *) value)->key.owner == owner)
      g_ptr_array_add (gone, value);
  for (unsigned i = 0; i < gone->len; i++)
    forget (sched, gone->pdata[i], now);
  g_ptr_array_unref (gone);
}

/* ---- The list of servers ---- */

static Server *
server_new (Sched *sched, const SchedServer *from)
{
  Server *server = g_new0 (Server, 1);

  server->id = g_strdup (from->id);
  server->domain = g_strdup (from->domain);
  server->service = service_of (sched, from->service);
  CDS_INIT_LIST_HEAD (&server->runs);
  cds_list_add_tail (&server->link, &server->service->servers);
  g_hash_table_insert (sched->servers, server->id, server);
  return server;
}

static gboolean
drop_unlisted (gpointer key, gpointer value, gpointer data)
{
  const Server *server = value;

  (void) key;
  (void) data;
  return !server->listed && server->running == 0;
}

void
sched_list (Sched *sched, const SchedServer *servers, unsigned count)
{
  GHashTableIter iter;
  gpointer value;
  int64_t now = ft_clock_now (sched->clock);

  g_hash_table_iter_init (&iter, sched->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Server *) value)->listed = false;
  for (unsigned i = 0; i < count; i++)
    {
      Server *server = g_hash_table_lookup (sched->servers, servers[i].id);
      if (server == NULL)
        server = server_new (sched, &servers[i]);
      server->listed = true;
      server->leaving = servers[i].leaving;
      server->slots = MAX (servers[i].slots, 1);
      server->cold_until = now + servers[i].cold_us;
    }
  g_hash_table_foreach_remove (sched->servers, drop_unlisted, NULL);
  sched_tick (sched);
}

/* ---- Time ---- */

/* Failure: the queue grows while a request waits, by higher tiers or lost servers. Symptom: it is
 * held until its time is over and then refused, too late to come back. So what cannot start in time
 * any more is refused as soon as that is known. */
static void
refuse_hopeless (Sched *sched, Service *service, Tier *tier, double *ahead, int64_t now)
{
  Job *job, *next;

  cds_list_for_each_entry_safe (job, next, &tier->waiting, link)
  {
    double first = least_first_us (sched, service, &job->ask);
    double wait = wait_us (sched, service, tier->tier, *ahead, now);
    bool over = (double) now + first > (double) job->ask.limit_at;
    bool hopeless = (double) now + wait > (double) job->ask.limit_at + (HOPELESS - 1) * wait;
    if (over || (hopeless && service->open == 0))
      refuse (sched, job, FT_REASON_SHORTAGE, wait, now);
    else
      *ahead += job->work_us;
  }
}

void
sched_tick (Sched *sched)
{
  GHashTableIter iter;
  gpointer value;
  int64_t now = ft_clock_now (sched->clock);

  g_hash_table_iter_init (&iter, sched->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Service *service = value;
      double ahead = 0;
      dispatch (sched, service, now);
      count_open (sched, service, now);
      for (unsigned i = 0; i < service->tiers->len; i++)
        refuse_hopeless (sched, service, service->tiers->pdata[i], &ahead, now);
    }
}

/* ---- For operators ---- */

void
sched_stats (const Sched *sched, SchedStats *stats)
{
  GHashTableIter iter;
  gpointer value;
  int64_t now = ft_clock_now (sched->clock);

  memset (stats, 0, sizeof *stats);
  g_hash_table_iter_init (&iter, sched->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Server *server = value;
      stats->servers++;
      stats->running += server->running;
      stats->out += now < server->out_until;
      stats->slots += server->slots;
    }
  stats->waiting = g_hash_table_size (sched->jobs) - stats->running;
}

char *
sched_describe (const Sched *sched)
{
  GString *out = g_string_new (NULL);
  GHashTableIter iter;
  gpointer value;
  int64_t now = ft_clock_now (sched->clock);

  g_hash_table_iter_init (&iter, sched->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Server *server = value;
      g_string_append_printf (
          out,
          "%s service=%s domain=%s running=%u/%u %s%s%s token_ms=%.2f prompt_us=%.1f "
          "answer_ms=%.1f failures=%.2f\n",
          server->id, server->service->name, server->domain, server->running, server->slots,
          server->leaving  ? "leaving"
          : server->listed ? "live"
                           : "gone",
          now < server->out_until ? " out" : "", server->trial ? " trial" : "",
          server->token_us / 1e3, server->prompt_us, server->answer_us / 1e3, server->failures);
    }
  return g_string_free (out, FALSE);
}
