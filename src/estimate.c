/* estimate.c - how long a request would take on each server, and which server to choose.
 *
 * All figures are one formula in microseconds. For each server with a free place:
 *     first  = latency + prompts ahead of ours there + our own prompt + one token
 *     finish = first + expected tokens at the server's time per token
 * Speeds are learned from the time of first events (curve.c) and between events, since they differ
 * more than fourfold inside one pool. A prompt is computed in chunks between the tokens of its
 * neighbours; when these chunks would stretch a neighbour's pause beyond its bound, each neighbour
 * counts as DELAY_COST_US. A request that would be late on every free server, while a busy one
 * could still serve it on time, waits for that one as long as it can.
 */
#include "schedint.h"

#include <math.h>
#include <string.h>

/* Tuning; each row with its reason. */
#define DEFAULT_TOKEN_US                                                                           \
  6000.0 /* time of a token before any was seen; large models take 2 to 30 ms */
#define DEFAULT_ANSWER_US 40000.0 /* a plain service's answer before any was seen */
#define CHUNK             1024 /* tokens of a prompt that engines compute at once, a usual setting */
#define SAMPLE_WEIGHT     0.25 /* weight of a new sample: four samples replace most of the past */
#define DELAY_COST_US     400000.0 /* cost of making one neighbour late, as much as finishing later */
#define LATE_COST_US      1500000.0 /* cost of being late where another server would not be */
#define GAP_USABLE        0.85 /* of a neighbour's bound that a pause may reach by our estimate */
#define IDLE_UNBOUNDED    (3600 * FT_SECOND) /* as long as the server says that it keeps it */
#define IDLE_AFTER_BREAK  (200.0 * FT_MS) /* shorter than what a server forgets in a burst of load \
                                           */
#define BREAKS_TOGETHER    (2 * FT_SECOND) /* breaks at several servers that have one cause */
#define BROKEN_SERVERS_MAX 4 /* of a large service: fewer may be faults of their own */
#define BROKEN_SERVERS_MIN 2 /* of a small one */
#define NEW_CONN_FAULT_TIME                                                                        \
  (5 * FT_SECOND) /* a fault that breaks new connections may last so long */
#define IDLE_DOUBLING_US                                                                           \
  2.5e6 /* microseconds: a fault of seconds is met once or twice more, and 15 s                    \
           after it connections are kept as before */
#define CONNECT_ENGINE_US                                                                          \
  100e3 /* worth of a connection that is there, to an engine: a tenth of an answer */
#define CONNECT_PLAIN_US                                                                           \
  30e3 /* the same to a plain service: its set-up, and it holds a place meanwhile */
#define OWN_TIER_SHARE                                                                             \
  0.7 /* of the arrivals of a late request's tier that go before it: those on time                 \
       */
#define FAILURE_COST_US 2000000.0 /* cost of a lost answer, as much as finishing later by so much  \
                                   */
#define SINGLE_FAILURE 0.2        /* share that one failure leaves ... */
#define COMMON_FAILURES                                                                            \
  8 /* ... which counts as the request's fault where one in so many of the servers that answered   \
       in FAILURE_DECAY_US has met one, and more than one has */
#define FAILURE_DECAY_US 5e6 /* microseconds over which failures are forgotten: servers restart */
#define SUMMARY_LIFETIME (10 * FT_MS) /* speeds change more slowly than that */
#define LEFT_LEAST       0.05 /* of the places: what is left to a tier however much goes before it */
#define SLOW_FACTOR      1.6  /* times the best server's token: waiting for another may pay */

#define GRANT_MARGIN_SIGMAS                                                                        \
  2.0 /* standard deviations of what a part of the instances runs, kept free while others may yet  \
         report more than their part */

static double
prompt_unit (const Server *server, double token)
{
  return server->prompt_unit > 0 ? server->prompt_unit : token * server->service->curve.each;
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
    if (server->token_us <= 0 || server->use == USE_ON_TRIAL)
      continue;
    total += server->token_us;
    count++;
    if (best == 0 || server->token_us < best)
      best = server->token_us;
  }
  sum->best_token_us = count ? best : DEFAULT_TOKEN_US;
  sum->mean_token_us = count ? total / count : DEFAULT_TOKEN_US;
}

static bool
is_lately (int64_t at, int64_t now)
{
  return at > 0 && (double) (now - at) < FAILURE_DECAY_US;
}

const Summary *
est_summary (const Sched *sched, Service *service)
{
  Summary *sum = &service->summary;
  int64_t now = ft_clock_now (sched->clock);
  const Server *server;
  unsigned used = 0, failed = 0;

  if (now < sum->until)
    return sum;
  sum->until = now + SUMMARY_LIFETIME;
  summarize_speeds (service);
  sum->min_prompt_unit = sum->min_answer_us = sum->places = 0;
  sum->slots = 0;
  sum->any_usable = false;
  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (!est_usable (server, now))
      {
        sum->slots += server->running;
        continue;
      }
    double token = server->token_us > 0 ? server->token_us : sum->mean_token_us;
    double unit = prompt_unit (server, token);
    double answer = server->answer_us > 0 ? server->answer_us : DEFAULT_ANSWER_US;
    if (!sum->any_usable || unit < sum->min_prompt_unit)
      sum->min_prompt_unit = unit;
    if (!sum->any_usable || answer < sum->min_answer_us)
      sum->min_answer_us = answer;
    sum->any_usable = true;
    sum->slots += server->slots;
    bool fails = is_lately (server->failed_at, now);
    used += fails || is_lately (server->answered_at, now);
    failed += fails;
    double places
        = est_places (sched, server) * (service->conf.engine ? sum->best_token_us / token : 1);
    sum->places += pace_places (sched, server, places);
  }
  sum->many_failed = failed > 1 && failed * COMMON_FAILURES >= used;
  return sum;
}

double
est_token_us (const Server *server)
{
  return server->token_us > 0 ? server->token_us : server->service->summary.mean_token_us;
}

double
est_prompt_us (const Server *server, unsigned tokens)
{
  return curve_units (&server->service->curve, tokens)
         * prompt_unit (server, est_token_us (server));
}

static double
answer_us (const Server *server)
{
  return server->answer_us > 0 ? server->answer_us : DEFAULT_ANSWER_US;
}

void
est_learn (double *value, double sample)
{
  *value = *value > 0 ? *value + SAMPLE_WEIGHT * (sample - *value) : sample;
}

double
est_work_us (const Sched *sched, Service *service, const SchedAsk *ask)
{
  if (!service->conf.engine)
    return est_summary (sched, service)->min_answer_us;
  double token = est_summary (sched, service)->best_token_us;
  double prompt = curve_units (&service->curve, ask->prompt_tokens) * service->curve.each;
  return (prompt + ask->output_tokens) * token;
}

/* ---- Places ---- */

static unsigned
places_of (const Sched *sched, const Server *server, double part)
{
  if (part >= 1)
    return server->slots;
  double exact = server->slots * part;
  uint64_t draw = (g_str_hash (server->id) ^ sched->salt) * 0x9e3779b97f4a7c15u;
  double fraction = (double) (draw >> 11) / 9007199254740992.0;
  return (unsigned) (exact + fraction);
}

unsigned
est_places (const Sched *sched, const Server *server)
{
  return places_of (sched, server, sched->share);
}

/* Failure: half of the instances have told what they run, so half of the places are taken; by
 * chance some servers show fewer than that. Symptom: with a bound on each server alone these get
 * more, and a tenth too many places is taken. So the part is also one of the service's places, and
 * the whole of them bounds what runs after that. What runs in less than half of the part is not at
 * full load and is not held up. */
static bool
is_within_part (const Sched *sched, const Server *server)
{
  const Service *service = server->service;
  double part = sched->grant_part, most = part * service->summary.slots;

  if (part > 1)
    return true;
  if (sched->others_unknown)
    most = MAX (most - GRANT_MARGIN_SIGMAS * sqrt (most * (1 - part)), most / 2);
  return service->running + 1 <= most && server->running < places_of (sched, server, part);
}

bool
est_usable (const Server *server, int64_t now)
{
  return server->listed && !server->leaving && server->use == USE_ALL && now >= server->out_until;
}

bool
est_has_place (const Sched *sched, const Server *server, int64_t now)
{
  unsigned most = server->trial ? 1 : est_places (sched, server);

  return est_usable (server, now) && server->running < most && is_within_part (sched, server)
         && pace_has_token (sched, server, now);
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
  double chunk = CHUNK * curve_marginal_units (&service->curve, ask->prompt_tokens)
                 * prompt_unit (server, est_token_us (server));
  double chunks = ceil ((double) (ask->prompt_tokens + server->pending_tokens) / CHUNK);
  unsigned stride = service->conf.stride;
  double pause = stride * est_token_us (server) + MIN (chunks, stride) * chunk;
  double harm = 0;
  const Job *job;

  cds_list_for_each_entry (job, &server->runs, link)
  {
    if (job->first_seen && job->ask.gap_us > 0 && pause > GAP_USABLE * (double) job->ask.gap_us)
      harm += DELAY_COST_US;
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
      out.first_us = NETWORK_US + answer_us (server) * (1 + over);
      out.finish_us = out.first_us + answer_us (server) * server->running / MAX (server->slots, 1);
    }
  else
    {
      double ahead = (double) MAX (0, server->prompts_until - now);
      double own = est_prompt_us (server, ask->prompt_tokens);
      out.first_us
          = NETWORK_US + server->service->curve.latency_us + ahead + own + est_token_us (server);
      out.finish_us = out.first_us + ask->output_tokens * est_token_us (server);
      out.harm_us = harm_us (server, ask);
    }
  out.late = (double) now + out.first_us > (double) ask->aim_at;
  return out;
}

/* Marks the servers to which the job's owner has connections. */
static void
mark_kept (Sched *sched, const Job *job)
{
  sched->choices++;
  for (unsigned i = 0; i < job->ask.kept_count; i++)
    {
      Server *server = g_hash_table_lookup (sched->by_digest, GUINT_TO_POINTER (job->kept[i]));
      if (server)
        server->kept_by = sched->choices;
    }
}

bool
est_connected_place (const Sched *sched, const Job *job, int64_t now)
{
  for (unsigned i = 0; i < job->ask.kept_count; i++)
    {
      const Server *server
          = g_hash_table_lookup (sched->by_digest, GUINT_TO_POINTER (job->kept[i]));
      if (server && server->service == job->service && est_has_place (sched, server, now)
          && boff_permits (server, job->key.owner, now))
        return true;
    }
  return false;
}

static double
open_us (const Sched *sched, const Server *server)
{
  if (server->kept_by == sched->choices)
    return 0;
  return server->service->conf.engine ? CONNECT_ENGINE_US : CONNECT_PLAIN_US;
}

/* Failure: servers, or what is between, forget connections that rest for a moment, without a word.
 * Symptom: what is sent there is reset, and what may run once only is lost to its caller. From the
 * first one on only connections that have hardly rested are used for such at that server, and once
 * some servers do it at all of the service; that bound doubles while nothing breaks. */
int64_t
est_max_idle_us (const Server *server, int64_t now)
{
  int64_t broke_at = MAX (server->idle_broke_at, server->service->idle_broke_at);

  if (broke_at == 0)
    return IDLE_UNBOUNDED;
  double times = exp2 ((double) (now - broke_at) / IDLE_DOUBLING_US);
  return (int64_t) MIN ((double) IDLE_UNBOUNDED, IDLE_AFTER_BREAK * times);
}

/* Where new connections break as well the rest is not the cause, and new ones are no cure. */
static void
forget_rests (Service *service, int64_t now)
{
  Server *server;

  service->new_conn_broke_at = now;
  service->idle_broke_at = 0;
  cds_list_for_each_entry (server, &service->servers, link) server->idle_broke_at = 0;
}

void
est_note_broken (Server *server, bool rested, int64_t now)
{
  Service *service = server->service;
  unsigned all = 0, lately = 0;

  if (!rested)
    {
      forget_rests (service, now);
      return;
    }
  if (service->new_conn_broke_at && now - service->new_conn_broke_at < NEW_CONN_FAULT_TIME)
    return;
  server->idle_broke_at = now;
  cds_list_for_each_entry (server, &service->servers, link)
  {
    all++;
    lately += server->idle_broke_at > 0 && now - server->idle_broke_at < BREAKS_TOGETHER;
  }
  if (lately >= CLAMP (all / 4, BROKEN_SERVERS_MIN, BROKEN_SERVERS_MAX))
    service->idle_broke_at = now;
}

/* Failure: many servers fail a part of what they get, and fail it fast, so their places are free
 * first. Symptom: they get more than their part, and callers lose answers that others would have
 * given. What a server fails makes it dearer, for a while; but not a single failure where many have
 * met one. Some requests fail wherever they run, and if each counts the few servers that have not
 * met one lately get nearly all, over new connections. */
static double
failing_us (const Server *server, int64_t now)
{
  double share = server->failures;

  if (server->service->summary.many_failed)
    share -= SINGLE_FAILURE;
  if (server->failed_at == 0 || share <= 0)
    return 0;
  return FAILURE_COST_US * share * exp ((double) (server->failed_at - now) / FAILURE_DECAY_US);
}

static double
total (const Estimate *estimate)
{
  return estimate->finish_us + estimate->harm_us + (estimate->late ? LATE_COST_US : 0);
}

bool
est_can_fit (const Service *service, const SchedAsk *ask)
{
  uint64_t tokens = (uint64_t) ask->prompt_tokens + ask->output_tokens;

  return service->conf.memory == 0 || tokens <= service->conf.memory;
}

/* Of a part of the places this scheduler has the same part of the memory. */
bool
est_fits_memory (const Sched *sched, const Server *server, const SchedAsk *ask)
{
  double most = (double) server->service->conf.memory * MIN (1, sched->share);

  return most <= 0 || server->running == 0
         || (double) (server->tokens + ask->prompt_tokens + ask->output_tokens) < most;
}

/* Would a server that is busy now be on time without harm to others, so that it is worth waiting?
 */
static bool
better_if_free (const Sched *sched, const Job *job, double most, int64_t now)
{
  const Server *server;

  cds_list_for_each_entry (server, &job->service->servers, link)
  {
    if (!est_usable (server, now) || server->trial || server->pace.rate > 0
        || !boff_permits (server, job->key.owner, now) || est_has_place (sched, server, now)
        || (job->avoid && strcmp (job->avoid, server->id) == 0))
      continue;
    Estimate here = estimate (server, &job->ask, now);
    if (!here.late && here.harm_us == 0 && total (&here) < most)
      return true;
  }
  return false;
}

/* The best server with a place; NULL: none, or it is worth waiting for a busy one. */
Server *
est_choose (Sched *sched, const Job *job, int64_t now)
{
  Server *server, *best = NULL;
  double best_total = 0;
  Estimate chosen = { 0 };

  mark_kept (sched, job);
  cds_list_for_each_entry (server, &job->service->servers, link)
  {
    if (!est_has_place (sched, server, now) || !est_fits_memory (sched, server, &job->ask)
        || !boff_permits (server, job->key.owner, now)
        || (job->avoid && strcmp (job->avoid, server->id) == 0))
      continue;
    if (server->trial && job->ask.repeatable)
      return server;
    Estimate here = estimate (server, &job->ask, now);
    double cost = total (&here) + open_us (sched, server) + failing_us (server, now);
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
              && est_token_us (best) > SLOW_FACTOR * job->service->summary.best_token_us;
  return (slow || chosen.harm_us > 0) && better_if_free (sched, job, best_total, now) ? NULL : best;
}

/* Least time until the first of the answer on any usable server. */
double
est_first_us (const Sched *sched, Service *service, const SchedAsk *ask)
{
  const Summary *sum = est_summary (sched, service);

  if (!service->conf.engine)
    return NETWORK_US + sum->min_answer_us;
  return NETWORK_US + service->curve.latency_us
         + curve_units (&service->curve, ask->prompt_tokens) * sum->min_prompt_unit
         + sum->best_token_us;
}

/* Places that the arrivals of one tier take, and of all tiers above it. */
static double
taken_by (const Tier *tier, int64_t now)
{
  return tier->inflow * exp (-(double) (now - tier->inflow_at) / ARRIVAL_WINDOW_US);
}

static double
taken_above (const Service *service, unsigned number, int64_t now)
{
  double taken = 0;

  for (unsigned i = 0; i < service->tiers->len; i++)
    {
      const Tier *tier = service->tiers->pdata[i];
      if (tier->tier >= number)
        break;
      taken += taken_by (tier, now);
    }
  return taken;
}

double
est_share_above (const Sched *sched, Service *service, unsigned number, int64_t now)
{
  double all = est_summary (sched, service)->places;

  return all > 0 ? MIN (1, taken_above (service, number, now) / all) : 1;
}

double
est_places_left (const Sched *sched, Service *service, unsigned number, bool behind, int64_t now)
{
  double all = est_summary (sched, service)->places;
  double taken = taken_above (service, number, now);

  if (behind)
    taken += OWN_TIER_SHARE * taken_by (wait_tier (service, number), now);
  return MAX (all - taken, all * LEFT_LEAST);
}

double
est_wait_us (const Sched *sched, Service *service, unsigned number, bool behind, double work_ahead,
             int64_t now)
{
  double left = est_places_left (sched, service, number, behind, now);

  return left > 0 ? work_ahead / left : 1e12;
}
