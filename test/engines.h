/* engines.h - simulation of a scheduler and a pool of inference servers on a simulated clock.
 * Servers fail or become unreachable as the test sets it. */
#ifndef TEST_ENGINES_H
#define TEST_ENGINES_H

#include "clock.h"
#include "scheduler.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* ---- Simulated servers: places, prefill of one prompt at a time, constant output speed ---- */

#define SERVERS  12
#define JOBS_MAX 20000

typedef struct
{
  char id[16];
  double speed;        /* factor on all durations */
  bool unreachable;    /* accepts no connection */
  bool replaced;       /* another server answers at its address and runs no request for it */
  bool failing;        /* answers every request with a failure */
  bool partly_failing; /* answers 40 % of its requests with a failure */
  double rate;         /* rate limit that its answers announce, requests per second; 0: none */
  unsigned running;
  int64_t prefill_until;
} Server;

typedef struct
{
  int64_t arrived_at, sent_at, first_event_at, end_at; /* 0: not yet */
  unsigned tier, prompt, output;
  int server; /* -1: waiting or refused */
  bool first_event_reported, refused, done, failed;
  unsigned owner; /* set by run_owners in health.c */
  bool counted;
  int64_t refused_after_us, advice_us;
  bool promised; /* the rule of the refusal states that capacity is reserved for the advised time */
  double rate;   /* rate limit that its answer announced */
} Job;

typedef struct
{
  TestClock clock;
  Sched *sched;
  int64_t max_idle_us;      /* as passed to the last grant */
  int64_t taken_out_at;     /* when server 0 was last taken out of use */
  unsigned taken_out_count; /* how often server 0 was taken out of use */
  int64_t min_out_us;       /* shortest time for which server 0 was out of use */
  Server servers[SERVERS];
  unsigned server_count, slots;
  Job *jobs;
  unsigned job_count;
  int64_t aim_us, max_wait_us;
  const char *org; /* organisation of the next requests; NULL: "o" */
  /* prefill of n tokens takes latency_us + n x prompt_token_us x (1 + n x growth) */
  double prompt_token_us, growth, latency_us;
  uint64_t seed;
} Model;

static Model *model;

static inline double
random_unit (void)
{
  model->seed = model->seed * 6364136223846793005u + 1442695040888963407u;
  return (double) (model->seed >> 11) / 9007199254740992.0;
}

static inline void
on_grant (void *host, uint64_t owner, uint64_t request, const char *org, const char *id,
          int64_t max_idle_us)
{
  Job *job = &model->jobs[request];

  (void) host;
  (void) owner;
  (void) org;
  model->max_idle_us = max_idle_us;
  job->server = atoi (id + 1);
  job->sent_at = model->clock.now;
  Server *server = &model->servers[job->server];
  server->running++;
  g_assert_cmpuint (server->running, <=, model->slots); /* no more requests than places */
  if (server->unreachable || server->replaced)
    {
      job->end_at = model->clock.now + 1 * FT_MS;
      job->failed = true;
      return;
    }
  int64_t start = MAX (model->clock.now, server->prefill_until);
  double prompt = job->prompt * model->prompt_token_us * (1 + job->prompt * model->growth);
  server->prefill_until = start + (int64_t) (prompt * server->speed);
  job->first_event_at
      = server->prefill_until + (int64_t) (model->latency_us + 18000 * server->speed);
  job->end_at = job->first_event_at + (int64_t) (job->output * 6000 * server->speed);
  if (server->failing || (server->partly_failing && random_unit () < 0.4))
    {
      job->end_at = model->clock.now + 20 * FT_MS;
      job->failed = true;
    }
}

static inline void
on_refuse (void *host, uint64_t owner, uint64_t request, const SchedRefusal *refusal)
{
  Job *job = &model->jobs[request];

  (void) host;
  (void) owner;
  job->refused = job->done = true;
  job->refused_after_us = model->clock.now - job->arrived_at;
  job->advice_us = refusal->retry_after_us;
  job->promised = strstr (refusal->rule, "; promised in ") != NULL;
  g_assert_true (*refusal->rule);
}

static inline void
on_unused (void *host, const char *org, double cost)
{
  (void) host;
  (void) org;
  (void) cost;
}

static inline void
on_server_state (void *host, const char *server, bool out, const char *why, int64_t for_us)
{
  (void) host;
  (void) why;
  (void) for_us;
  if (strcmp (server, "s0") != 0)
    return;
  if (!out)
    {
      model->min_out_us = MIN (model->min_out_us, model->clock.now - model->taken_out_at);
      return;
    }
  model->taken_out_at = model->clock.now;
  model->taken_out_count++;
}

static const SchedOps ops = { on_grant, on_refuse, on_unused, on_server_state, NULL, NULL, NULL };

static inline void
set_server_list (void)
{
  SchedServer list[SERVERS];

  for (unsigned i = 0; i < model->server_count; i++)
    list[i] = (SchedServer){ model->servers[i].id, "s", "d", model->slots, false, 0, NULL };
  sched_set_servers (model->sched, list, model->server_count);
}

/* mixed_speeds: every third server is more than four times slower, as in a pool of several
 * hardware generations. */
static inline void
model_begin (unsigned servers, unsigned slots, bool mixed_speeds)
{
  SchedServiceConf conf = { true, 3, 0 };

  model = g_new0 (Model, 1);
  model->clock = test_clock ();
  model->seed = 7;
  model->min_out_us = INT64_MAX;
  model->server_count = servers;
  model->slots = slots;
  model->aim_us = 800 * FT_MS;
  model->max_wait_us = 3200 * FT_MS;
  model->prompt_token_us = 20;
  model->jobs = g_new0 (Job, JOBS_MAX);
  model->sched = sched_new (&model->clock.base, &ops, NULL);
  for (unsigned i = 0; i < servers; i++)
    {
      snprintf (model->servers[i].id, sizeof model->servers[i].id, "s%u", i);
      model->servers[i].speed = mixed_speeds && i % 3 == 2 ? 3.0 : 0.68;
    }
  sched_set_service (model->sched, "s", &conf);
  set_server_list ();
}

static inline void
model_end (void)
{
  sched_free (model->sched);
  g_free (model->jobs);
  g_free (model);
}

static inline unsigned
ask_with_connections (unsigned tier, unsigned prompt, unsigned output, const uint32_t *kept,
                      unsigned count)
{
  unsigned number = model->job_count++;
  Job *job = &model->jobs[number];
  int64_t now = model->clock.now;

  *job = (Job){ .arrived_at = now, .tier = tier, .prompt = prompt, .output = output, .server = -1 };
  SchedAsk ask = { .owner = 1,
                   .request = number,
                   .service = "s",
                   .org = model->org ? model->org : "o",
                   .tier = tier,
                   .stream = true,
                   .repeatable = true,
                   .prompt_tokens = prompt,
                   .output_tokens = output,
                   .gap_us = 300 * FT_MS,
                   .aim_at = now + model->aim_us,
                   .limit_at = now + model->max_wait_us,
                   .end_at = now + 12 * FT_SECOND,
                   .kept = kept,
                   .kept_count = count };
  sched_ask (model->sched, &ask);
  return number;
}

static inline unsigned
ask (unsigned tier, unsigned prompt, unsigned output)
{
  return ask_with_connections (tier, prompt, output, NULL, 0);
}

static inline void
finish_job (unsigned number, Job *job)
{
  SchedResult result = { .outcome = SCHED_OK };
  Server *server = &model->servers[job->server];

  job->done = true;
  server->running--;
  if (job->failed)
    result.outcome = server->unreachable ? SCHED_UNREACHED
                     : server->replaced  ? SCHED_GONE
                                         : SCHED_FAILED;
  else
    result.event_us = (int64_t) (18000 * server->speed);
  sched_done (model->sched, 1, number, &result);
}

/* Reports the head of an answer, which may announce a rate limit. */
static inline void
report_notice (unsigned number)
{
  Job *job = &model->jobs[number];
  Notice notice = { .rate = model->servers[job->server].rate };

  job->rate = notice.rate;
  sched_notice (model->sched, 1, number, model->servers[job->server].id, &notice);
}

static inline void
step (void)
{
  model->clock.now += 2 * FT_MS;
  for (unsigned i = 0; i < model->job_count; i++)
    {
      Job *job = &model->jobs[i];
      if (job->server < 0 || job->done)
        continue;
      if (!job->first_event_reported && job->first_event_at
          && job->first_event_at <= model->clock.now)
        {
          job->first_event_reported = true;
          report_notice (i);
          sched_first_event (model->sched, 1, i, job->first_event_at - job->sent_at);
        }
      if (job->end_at <= model->clock.now)
        finish_job (i, job);
    }
  if (model->clock.now % (20 * FT_MS) == 0)
    sched_tick (model->sched);
}

/* Submits per_s requests per second for this many simulated seconds. mix: the shares of the
 * three tiers. */
static inline void
run_load (double seconds, double per_s, const double *mix)
{
  double due = 0;

  for (int i = 0; i < seconds * 500; i++)
    {
      due += per_s / 500;
      while (due >= 1)
        {
          due -= 1;
          double which = random_unit (), size = 0.4 + 1.2 * random_unit ();
          if (which < mix[0])
            ask (0, (unsigned) (3700 * size), (unsigned) (120 * size));
          else if (which < mix[0] + mix[1])
            ask (1, (unsigned) (2900 * size), (unsigned) (50 * size));
          else
            ask (2, (unsigned) (1100 * size), (unsigned) (170 * size));
        }
      step ();
    }
}

/* Runs for 20 s without new requests, so that all jobs end. */
static inline void
drain_jobs (void)
{
  for (int i = 0; i < 10000; i++)
    step ();
}

typedef struct
{
  unsigned asked, in_time, refused, failed;
  int64_t max_refusal_us; /* longest wait of a request that was refused */
} TierCounts;

static inline TierCounts
count_tier (unsigned tier, unsigned from)
{
  TierCounts out = { 0 };

  for (unsigned i = from; i < model->job_count; i++)
    {
      const Job *job = &model->jobs[i];
      if (job->tier != tier)
        continue;
      g_assert_true (job->done); /* each request is refused or comes to its end */
      out.asked++;
      out.refused += job->refused;
      out.failed += job->failed;
      out.in_time += !job->refused && !job->failed
                     && job->first_event_at - job->arrived_at <= model->aim_us;
      out.max_refusal_us = MAX (out.max_refusal_us, job->refused ? job->refused_after_us : 0);
    }
  return out;
}

static const double default_mix[] = { 0.32, 0.24, 0.44 }, lowest_tier_only[] = { 0, 0, 1 };

#endif
