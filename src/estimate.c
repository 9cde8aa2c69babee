/* estimate.c - estimates how long a request takes on each server, and chooses a server.
 *
 * For each server with a free place, in microseconds:
 *     first  = latency + prefill of pending prompts + prefill of this prompt + one token
 *     finish = first + expected tokens at the server's time per token
 * The costs below are added to finish, and the lowest sum wins.
 *
 * Speeds differ more than fourfold within one pool, so they are learned for each server: from the
 * time to the first event (curve.c) and the time between events. An engine computes a prompt in
 * chunks between the output tokens of its other requests. If that would stretch the pause between a
 * running request's events beyond its bound, DELAY_COST_US is added for each such request. A
 * request that would be late on every free server waits if a busy server may still serve it on
 * time.
 */
#include "schedint.h"

#include <math.h>
#include <string.h>

/* Tuning constants. */

/* assumed time of a token before the first sample; large models take 2 to 30 ms */
#define DEFAULT_TOKEN_US 6000.0
/* assumed answer time of a plain service before the first sample */
#define DEFAULT_ANSWER_US 40000.0
#define PREFILL_CHUNK     1024 /* prompt tokens that engines compute in one step; a common setting */
#define SAMPLE_WEIGHT     0.25 /* weight of a new sample; four samples replace most of the history */
#define DELAY_COST_US     400000.0  /* added for making one running request late */
#define LATE_COST_US      1500000.0 /* added for being late */
#define GAP_USABLE        0.85 /* of a running request's gap_us that an estimated pause may reach */
/* no bound here: the server's own keep-alive time applies */
#define IDLE_UNBOUNDED (3600 * FT_SECOND)
/* initial bound after a break; shorter than the idle time after which servers drop connections in a
 * burst of load */
#define IDLE_AFTER_BREAK (200.0 * FT_MS)
/* breaks at several servers within this time have a common cause */
#define BREAKS_TOGETHER (2 * FT_SECOND)
/* servers of a large service on which connections must break; fewer may be independent faults */
#define BROKEN_SERVERS_MAX 4
#define BROKEN_SERVERS_MIN 2 /* the same for a small service */
/* expected duration of a fault that breaks new connections too */
#define NEW_CONN_FAULT_TIME (5 * FT_SECOND)
/* microseconds in which the bound doubles; a fault that lasts seconds breaks one or two more
 * requests, and 15 s after it connections are reused as before */
#define IDLE_DOUBLING_US 2.5e6
/* added for a new connection to an engine: a tenth of an answer */
#define CONNECT_ENGINE_US 100e3
/* the same for a plain service: the place is occupied during connection set-up */
#define CONNECT_PLAIN_US 30e3
/* share of arrivals of a late request's own tier that are on time and go before it */
#define OWN_TIER_SHARE 0.7
/* times the failure share, added for the risk of losing the answer */
#define FAILURE_COST_US 2000000.0
#define SINGLE_FAILURE  0.2 /* failure share after one failure, FAILURE_WEIGHT in health.c */
/* single failures are blamed on the requests if at least two servers, and one in this many of those
 * that answered within FAILURE_DECAY_US, have failed one */
#define COMMON_FAILURES 8
/* time constant, microseconds, with which failures are forgotten, since servers restart */
#define FAILURE_DECAY_US 5e6
#define SUMMARY_LIFETIME (10 * FT_MS) /* lifetime of a Summary; speeds change more slowly */
/* least share of the places assumed for a tier, whatever goes before it */
#define PLACES_LEFT_MIN 0.05
#define SLOW_FACTOR     1.6 /* times the best server's token time; on slower ones waiting may pay */

/* margin in standard deviations, since instances that have not reported yet may run more than their
 * part of the requests */
#define GRANT_MARGIN_SIGMAS 2.0

static double
prompt_unit (const Server *server, double token)
{
  return server->prompt_unit > 0 ? server->prompt_unit : token * server->service->curve.unit_ratio;
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
is_recent (int64_t at, int64_t now)
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
  sum->min_prompt_unit = sum->min_answer_us = sum->weighted_places = 0;
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
    sum->slots += brit_room (server);
    bool fails = is_recent (server->failed_at, now);
    used += fails || is_recent (server->answered_at, now);
    failed += fails;
    double places
        = est_places (sched, server) * (service->conf.engine ? sum->best_token_us / token : 1);
    sum->weighted_places += pace_places (sched, server, places);
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
  double prompt = curve_units (&service->curve, ask->prompt_tokens) * service->curve.unit_ratio;
  return (prompt + ask->output_tokens) * token;
}

/* ---- Places ---- */

static unsigned
places_of (const Sched *sched, const Server *server, double part)
{
  if (part >= 1)
    return brit_room (server);
  double exact = brit_shared_room (server) * part;
  uint64_t draw = (g_str_hash (server->id) ^ sched->salt) * 0x9e3779b97f4a7c15u;
  double fraction = (double) (draw >> 11) / 9007199254740992.0;
  return (unsigned) (exact + fraction);
}

unsigned
est_places (const Sched *sched, const Server *server)
{
  return places_of (sched, server, sched->share);
}

/* True if a grant on the server stays within grant_share, see sched_set_grant_share. When half of
 * the instances have reported their requests, half of the places may be used, but by chance some
 * servers show fewer requests than that. With a bound for each server alone, those would get more
 * and a tenth too many places would be taken. So the bound holds for the whole service too. The
 * statistical margin takes at most half of that bound, so that low load is not held up. */
static bool
is_within_grant_share (const Sched *sched, const Server *server)
{
  const Service *service = server->service;
  double part = sched->grant_share, most = part * service->summary.slots;

  if (part > 1)
    return true;
  if (sched->others_unknown)
    most = MAX (most - GRANT_MARGIN_SIGMAS * sqrt (most * (1 - part)), most / 2);
  return service->running + 1 <= most && server->running < places_of (sched, server, part);
}

static bool
is_live (const Server *server, int64_t now)
{
  return server->listed && !server->leaving && now >= server->out_until;
}

bool
est_usable (const Server *server, int64_t now)
{
  /* Most requests of engines are resumable streams. */
  bool withheld = fresh_has_just_joined (server) && server->service->conf.engine;

  return is_live (server, now) && server->use == USE_ALL && !withheld;
}

static bool
has_free_place (const Sched *sched, const Server *server, int64_t now)
{
  unsigned most = server->probing ? 1 : est_places (sched, server);

  return server->running < most && is_within_grant_share (sched, server)
         && pace_has_token (sched, server, now) && brit_permits (sched, server, now);
}

bool
est_has_place (const Sched *sched, const Server *server, int64_t now)
{
  return est_usable (server, now) && has_free_place (sched, server, now);
}

static bool
is_usable_for (const Job *job, const Server *server, int64_t now)
{
  bool permitted = job->version ? ver_permits (job, server)
                                : server->use == USE_ALL && !fresh_is_withheld (job, server);

  return permitted && is_live (server, now);
}

bool
est_has_place_for (const Sched *sched, const Job *job, const Server *server, int64_t now)
{
  return is_usable_for (job, server, now) && has_free_place (sched, server, now);
}

/* ---- Estimates ---- */

typedef struct
{
  double first_us, finish_us; /* from now */
  double delay_cost_us;       /* cost of delaying running requests */
  bool late;
} Estimate;

static double
delay_cost_us (const Server *server, const SchedAsk *ask)
{
  const Service *service = server->service;
  double chunk = PREFILL_CHUNK * curve_marginal_units (&service->curve, ask->prompt_tokens)
                 * prompt_unit (server, est_token_us (server));
  double chunks = ceil ((double) (ask->prompt_tokens + server->pending_tokens) / PREFILL_CHUNK);
  unsigned stride = service->conf.stride;
  double pause = stride * est_token_us (server) + MIN (chunks, stride) * chunk;
  double cost = 0;
  const Job *job;

  cds_list_for_each_entry (job, &server->runs, link)
  {
    if (job->got_first_event && job->ask.gap_us > 0
        && pause > GAP_USABLE * (double) job->ask.gap_us)
      cost += DELAY_COST_US;
  }
  return cost;
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
      out.delay_cost_us = delay_cost_us (server, ask);
    }
  out.late = (double) now + out.first_us > (double) ask->aim_at;
  return out;
}

/* Marks the servers to which the job's owner has connections, by the number of this choice. */
static void
mark_connected (Sched *sched, const Job *job)
{
  sched->choices++;
  for (unsigned i = 0; i < job->ask.kept_count; i++)
    {
      Server *server = g_hash_table_lookup (sched->by_digest, GUINT_TO_POINTER (job->connected[i]));
      if (server)
        server->connected_choice = sched->choices;
    }
}

bool
est_connected_place (const Sched *sched, const Job *job, int64_t now)
{
  for (unsigned i = 0; i < job->ask.kept_count; i++)
    {
      const Server *server
          = g_hash_table_lookup (sched->by_digest, GUINT_TO_POINTER (job->connected[i]));
      if (server && server->service == job->service && est_has_place_for (sched, job, server, now)
          && boff_permits (server, job->key.owner, now))
        return true;
    }
  return false;
}

static double
connect_cost_us (const Sched *sched, const Server *server)
{
  if (server->connected_choice == sched->choices)
    return 0;
  return server->service->conf.engine ? CONNECT_ENGINE_US : CONNECT_PLAIN_US;
}

/* Servers or middleboxes may silently drop connections after a short idle time. A request sent on
 * one is reset, and lost to its caller if it must not be sent twice. After the first such break
 * only connections that were idle for at most IDLE_AFTER_BREAK carry such requests to that server,
 * and after breaks at several servers this holds for the whole service. The bound doubles every
 * IDLE_DOUBLING_US while nothing breaks. */
int64_t
est_max_idle_us (const Server *server, int64_t now)
{
  int64_t broke_at = MAX (server->idle_broke_at, server->service->idle_broke_at);

  if (broke_at == 0)
    return IDLE_UNBOUNDED;
  double times = exp2 ((double) (now - broke_at) / IDLE_DOUBLING_US);
  return (int64_t) MIN ((double) IDLE_UNBOUNDED, IDLE_AFTER_BREAK * times);
}

/* If new connections break as well, idle time is not the cause, and new connections do not help. */
static void
clear_idle_breaks (Service *service, int64_t now)
{
  Server *server;

  service->new_conn_broke_at = now;
  service->idle_broke_at = 0;
  cds_list_for_each_entry (server, &service->servers, link) server->idle_broke_at = 0;
}

void
est_note_broken (Server *server, bool reused, int64_t now)
{
  Service *service = server->service;
  unsigned all = 0, recent = 0;

  if (!reused)
    {
      clear_idle_breaks (service, now);
      return;
    }
  if (service->new_conn_broke_at && now - service->new_conn_broke_at < NEW_CONN_FAULT_TIME)
    return;
  server->idle_broke_at = now;
  cds_list_for_each_entry (server, &service->servers, link)
  {
    all++;
    recent += server->idle_broke_at > 0 && now - server->idle_broke_at < BREAKS_TOGETHER;
  }
  if (recent >= CLAMP (all / 4, BROKEN_SERVERS_MIN, BROKEN_SERVERS_MAX))
    service->idle_broke_at = now;
}

/* Cost of the server's recent failures. Servers that fail a part of their requests quickly have
 * free places sooner. Without this cost they would attract more than their share, and callers would
 * lose answers that other servers could have given. A single failure does not count where many
 * servers have had one: some requests fail wherever they run, and if each counted, the few servers
 * without a recent failure would get nearly all requests, over new connections. */
static double
failure_cost_us (const Server *server, int64_t now)
{
  double share = server->failures;

  if (server->service->summary.many_failed)
    share -= SINGLE_FAILURE;
  if (server->failed_at == 0 || share <= 0)
    return 0;
  return FAILURE_COST_US * share * exp ((double) (server->failed_at - now) / FAILURE_DECAY_US);
}

static double
total_cost_us (const Estimate *estimate)
{
  return estimate->finish_us + estimate->delay_cost_us + (estimate->late ? LATE_COST_US : 0);
}

bool
est_can_fit (const Service *service, const SchedAsk *ask)
{
  uint64_t tokens = (uint64_t) ask->prompt_tokens + ask->output_tokens;

  return service->conf.memory == 0 || tokens <= service->conf.memory;
}

/* A scheduler that may use a part of the places may use the same part of the KV cache. */
bool
est_fits_memory (const Sched *sched, const Server *server, const SchedAsk *ask)
{
  double most = (double) server->service->conf.memory * MIN (1, sched->share);

  return most <= 0 || server->running == 0
         || (double) (server->tokens + ask->prompt_tokens + ask->output_tokens) < most;
}

/* True if a busy server would be on time without delaying others, at a total cost below most, so
 * that waiting for it pays. */
static bool
worth_waiting (const Sched *sched, const Job *job, double most, int64_t now)
{
  const Server *server;

  cds_list_for_each_entry (server, &job->service->servers, link)
  {
    if (!is_usable_for (job, server, now) || server->probing || server->pace.rate > 0
        || !brit_permits (sched, server, now) || !boff_permits (server, job->key.owner, now)
        || est_has_place_for (sched, job, server, now)
        || (job->avoid && strcmp (job->avoid, server->id) == 0))
      continue;
    Estimate here = estimate (server, &job->ask, now);
    if (!here.late && here.delay_cost_us == 0 && total_cost_us (&here) < most)
      return true;
  }
  return false;
}

Server *
est_choose (Sched *sched, const Job *job, int64_t now)
{
  Server *server, *best = NULL;
  double best_total = 0;
  Estimate chosen = { 0 };

  mark_connected (sched, job);
  cds_list_for_each_entry (server, &job->service->servers, link)
  {
    if (!est_has_place_for (sched, job, server, now) || !est_fits_memory (sched, server, &job->ask)
        || !boff_permits (server, job->key.owner, now)
        || (job->avoid && strcmp (job->avoid, server->id) == 0))
      continue;
    if (server->probing && job->ask.repeatable)
      return server;
    Estimate here = estimate (server, &job->ask, now);
    double cost
        = total_cost_us (&here) + connect_cost_us (sched, server) + failure_cost_us (server, now);
    if (best == NULL || cost < best_total)
      {
        best = server;
        best_total = cost;
        chosen = here;
      }
  }
  if (best == NULL || (!chosen.late && chosen.delay_cost_us == 0) || now >= job->ask.aim_at)
    return best;
  bool slow = job->service->conf.engine
              && est_token_us (best) > SLOW_FACTOR * job->service->summary.best_token_us;
  return (slow || chosen.delay_cost_us > 0) && worth_waiting (sched, job, best_total, now) ? NULL
                                                                                           : best;
}

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

/* Places kept busy by the arrivals of one tier; places_used_above: by those of all higher tiers. */
static double
places_used_by (const Tier *tier, int64_t now)
{
  return tier->arrival_load * exp (-(double) (now - tier->arrival_load_at) / ARRIVAL_WINDOW_US);
}

static double
places_used_above (const Service *service, unsigned number, int64_t now)
{
  double taken = 0;

  for (unsigned i = 0; i < service->tiers->len; i++)
    {
      const Tier *tier = service->tiers->pdata[i];
      if (tier->tier >= number)
        break;
      taken += places_used_by (tier, now);
    }
  return taken;
}

double
est_share_above (const Sched *sched, Service *service, unsigned number, int64_t now)
{
  double all = est_summary (sched, service)->weighted_places;

  return all > 0 ? MIN (1, places_used_above (service, number, now) / all) : 1;
}

double
est_places_left (const Sched *sched, Service *service, unsigned number, bool behind, int64_t now)
{
  double all = est_summary (sched, service)->weighted_places;
  double taken = places_used_above (service, number, now);

  if (behind)
    taken += OWN_TIER_SHARE * places_used_by (wait_tier (service, number), now);
  return MAX (all - taken, all * PLACES_LEFT_MIN);
}

double
est_wait_us (const Sched *sched, Service *service, unsigned number, bool behind, double work_ahead,
             int64_t now)
{
  double left = est_places_left (sched, service, number, behind, now);

  return left > 0 ? work_ahead / left : 1e12;
}
