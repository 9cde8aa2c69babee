/* world.c - generates requests, records how they end and keeps the counts of a simulated run. */
#include "world.h"

#include <math.h>
#include <string.h>

#define PROGRESS_INTERVAL (250 * FT_MS) /* as in the daemon */

const Profile profiles[] = {
  { "kalkhaus",
    12,
    6,
    5,
    1,
    500,
    { { "visit", 1, 10, 100, 80, 2000, 20000, 0.9, 0.4 },
      { "dealer", 2, 35, 200, 120, 2000, 30000, 0.9, 0.4 },
      { "partner", 3, 25, 800, 200, 2000, 60000, 0.9, 0.4 },
      { "summary", 4, 15, 2000, 250, 30000, 90000, 0.9, 0.4 },
      { "report", 5, 15, 4000, 800, 120000, 240000, 0.7, 0.4 } },
    5 },
  { "commission",
    18,
    7,
    5,
    1,
    1000,
    { { "switching", 1, 20, 400, 200, 2000, 30000, 0.9, 0.4 },
      { "convergence", 2, 35, 300, 150, 2000, 30000, 0.9, 0.4 },
      { "netlist", 3, 20, 6000, 500, 5000, 120000, 0.8, 0.4 },
      { "note", 4, 15, 1000, 200, 30000, 90000, 0.9, 0.4 },
      { "batch", 5, 10, 3000, 700, 120000, 240000, 0.7, 0.4 } },
    5 },
  { "fullsize",
    1300,
    320,
    3700,
    55,
    500,
    { { "urgent", 1, 10, 200, 150, 2000, 30000, 0.9, 0.4 },
      { "question", 2, 40, 300, 180, 2000, 60000, 0.9, 0.4 },
      { "review", 3, 25, 1500, 250, 2000, 90000, 0.9, 0.4 },
      { "summary", 4, 15, 2000, 250, 30000, 90000, 0.9, 0.4 },
      { "report", 5, 10, 4000, 600, 120000, 240000, 0.7, 0.4 } },
    5 },
};
const unsigned profile_count = G_N_ELEMENTS (profiles);

/* ---- Capacity ---- */

double
world_request_cost_ms (const Generation *generation, double prompt_tokens, double output_tokens)
{
  /* The largest batch whose step still takes at most 27 ms; each token costs its share of the
   * step. */
  double batch = floor ((27.0 - generation->step_ms) / generation->stream_ms);
  double step = generation->step_ms + generation->stream_ms * batch;

  return prompt_tokens / generation->prefill_rate + output_tokens * step / batch;
}

static double
mean_cost_ms (const Profile *profile, const Generation *generation)
{
  double sum = 0, total_share = 0;

  for (unsigned i = 0; i < profile->class_count; i++)
    {
      const ClassModel *class = &profile->classes[i];
      /* The mean of a log-normal length is exp(sigma^2 / 2) times its median. The whole shared
       * part of a prompt is taken as cached. */
      double mean_factor = exp (class->spread * class->spread / 2);
      sum += class->share
             * world_request_cost_ms (generation,
                                      class->prompt_tokens * mean_factor * (1 - class->shared),
                                      class->output_tokens * mean_factor);
      total_share += class->share;
    }
  return sum / total_share;
}

static double
compute_capacity (const World *world)
{
  double rate = 0;

  for (unsigned i = 0; i < world->engine_count; i++)
    rate += 1000.0 / mean_cost_ms (world->profile, &generations[world->engines[i]->generation]);
  return rate;
}

/* ---- Jobs ---- */

static double
random_normal (Sim *sim)
{
  return sqrt (-2 * log (1 - sim_uniform (sim))) * cos (2 * G_PI * sim_uniform (sim));
}

static unsigned
random_length (Sim *sim, unsigned median, double spread, unsigned max)
{
  return (unsigned) CLAMP (median * exp (spread * random_normal (sim)), 2, max);
}

static unsigned
choose_org (World *world)
{
  unsigned orgs = world->profile->orgs;
  double at = sim_uniform (world->sim);

  if (world->heavy_org && at < 0.7)
    return world->heavy_org;
  /* Two large organisations send two thirds of the load. */
  at = sim_uniform (world->sim);
  if (at < 0.4)
    return 1;
  if (at < 0.67)
    return 2;
  return 1 + (unsigned) (sim_uniform (world->sim) * orgs) % orgs;
}

static const ClassModel *
choose_class (World *world)
{
  double at = sim_uniform (world->sim), sum = 0, total_share = 0;
  const Profile *profile = world->profile;

  for (unsigned i = 0; i < profile->class_count; i++)
    total_share += profile->classes[i].share;
  for (unsigned i = 0; i < profile->class_count; i++)
    {
      sum += profile->classes[i].share / total_share;
      if (at < sum)
        return &profile->classes[i];
    }
  return &profile->classes[profile->class_count - 1];
}

static void
set_blocks (World *world, Job *job, const ClassModel *class)
{
  unsigned total = MIN (job->prompt_tokens / FT_BLOCK_TOKENS, FT_BLOCKS_MAX);
  double shared = world->long_shared_prefix ? 0.85 : class->shared;
  unsigned shared_blocks = (unsigned) (total * shared);
  /* Each class has twenty different prefixes; low numbers are the most used. */
  unsigned prefix = (unsigned) (pow (sim_uniform (world->sim), 2) * 20);

  job->block_count = total;
  for (unsigned i = 0; i < total; i++)
    job->blocks[i]
        = i < shared_blocks
              ? (uint64_t) (job->class_index + 1) << 40 | (uint64_t) (prefix + 1) << 20 | (i + 1)
              : (job->number << 24 | (i + 1)) ^ G_GUINT64_CONSTANT (1) << 63;
}

static void
on_arrival (Sim *sim, void *data)
{
  World *world = data;
  const ClassModel *class = choose_class (world);
  Job *job = g_new0 (Job, 1);
  int64_t now = sim_now (sim);

  g_ptr_array_add (world->jobs, job);
  job->number = world->jobs->len;
  job->tier = class->tier;
  job->class_index = (unsigned) (class - world->profile->classes);
  g_strlcpy (job->class_name, class->name, sizeof job->class_name);
  job->org = choose_org (world);
  job->prompt_tokens = random_length (sim, class->prompt_tokens, class->spread, 30000);
  job->output_tokens = random_length (sim, class->output_tokens, class->spread, 4000);
  job->arrived_at = now;
  job->first_token_deadline = now + class->first_ms * FT_MS;
  job->deadline = now + class->due_ms * FT_MS;
  set_blocks (world, job, class);
  world->tiers[job->tier].offered++;
  world->policy.ops->on_arrival (world, job);
  double rate = world->capacity * world->load * world->load_factor;
  int64_t next = now + (int64_t) (-log (1 - sim_uniform (sim)) / rate * FT_SECOND);
  if (next < world->arrivals_until)
    sim_schedule (sim, next, on_arrival, world);
}

void
world_dispatch (World *world, Job *job, Engine *engine)
{
  int64_t now = sim_now (world->sim);

  if (++job->dispatches > 1)
    world->duplicate_dispatches++;
  if (world->measure_grant_gap)
    world->longest_grant_gap = MAX (world->longest_grant_gap, now - world->last_grant_at);
  world->last_grant_at = now;
  world->decisions++;
  job->state = JOB_RUNNING;
  job->granted_at = now;
  if (engine->dead)
    world_fail_job (world, job);
  else
    engine_start (engine, job);
}

void
world_refuse (World *world, Job *job, bool shortage)
{
  (void) shortage;
  if (job->dispatches > 0)
    world->false_not_run++; /* it was dispatched, so "not run" is false */
  world->decisions++;
  job->state = JOB_REFUSED;
  job->ended_at = sim_now (world->sim);
  world->tiers[job->tier].refused++;
}

void
world_fail_job (World *world, Job *job)
{
  job->state = JOB_LOST;
  job->ended_at = sim_now (world->sim);
  world->tiers[job->tier].lost++;
  world->policy.ops->on_end (world, job);
}

void
world_count_prefill (World *world, Job *job, double tokens)
{
  world->tiers[job->tier].prefill += tokens;
}

static void
complete_job (World *world, Job *job)
{
  TierStats *tally = &world->tiers[job->tier];

  job->state = JOB_COMPLETE;
  job->ended_at = sim_now (world->sim);
  if (job->ended_at <= job->deadline)
    tally->completed++;
  else
    tally->late++;
  world->policy.ops->on_end (world, job);
}

void
world_on_token (World *world, Job *job)
{
  TierStats *tally = &world->tiers[job->tier];
  int64_t now = sim_now (world->sim);

  if (job->first_token_at == 0)
    {
      float ms = (float) (now - job->arrived_at) / FT_MS;
      job->first_token_at = now;
      g_array_append_val (tally->first_ms, ms);
    }
  else if (job->number % 8 == 0) /* every eighth request is a large enough sample for quantiles */
    {
      float ms = (float) (now - job->last_token_at) / FT_MS;
      g_array_append_val (tally->gap_ms, ms);
    }
  job->last_token_at = now;
  if (job->produced == job->output_tokens)
    complete_job (world, job);
  else if (job->produced == 1 || now - job->progress_sent_at >= PROGRESS_INTERVAL)
    {
      job->progress_sent_at = now;
      world->policy.ops->on_progress (world, job);
    }
}

/* ---- Run ---- */

extern const SimOps foxtail_sim_ops;

World *
world_new (const Profile *profile, const PolicyOps *ops, uint64_t seed, double load)
{
  World *world = g_new0 (World, 1);
  SimConf conf = { .instances = profile->instances,
                   .voters = 3,
                   .seed = seed,
                   .delay = profile->delay,
                   .jitter = profile->delay / 4,
                   .clock_error = 0.0001 };

  world->profile = profile;
  world->policy.ops = ops;
  world->seed = seed;
  world->load = load;
  world->load_factor = 1;
  world->jobs = g_ptr_array_new_with_free_func (g_free);
  if (ops != &policy_foxtail)
    conf.instances = conf.voters = 1; /* baselines use only the clock */
  world->sim = sim_new (&conf, &foxtail_sim_ops, world);
  world->engine_count = profile->engines;
  for (unsigned i = 0; i < world->engine_count; i++)
    {
      char pool[32];
      g_snprintf (pool, sizeof pool, "p%u", i % profile->pools);
      world->engines[i] = engine_new (world, i, (i / profile->pools) % GENERATIONS, pool);
    }
  for (unsigned t = 0; t <= FT_TIERS; t++)
    {
      world->tiers[t].first_ms = g_array_new (FALSE, FALSE, sizeof (float));
      world->tiers[t].gap_ms = g_array_new (FALSE, FALSE, sizeof (float));
    }
  world->capacity = compute_capacity (world);
  ops->start (world);
  return world;
}

void
world_run (World *world, int64_t until)
{
  sim_run (world->sim, until);
}

void
world_free (World *world)
{
  sim_free (world->sim);
  for (unsigned i = 0; i < world->engine_count; i++)
    engine_free (world->engines[i]);
  for (unsigned t = 0; t <= FT_TIERS; t++)
    {
      g_array_unref (world->tiers[t].first_ms);
      g_array_unref (world->tiers[t].gap_ms);
    }
  g_ptr_array_unref (world->jobs);
  g_free (world->policy_data);
  g_free (world);
}

void
world_start_arrivals (World *world, int64_t at, int64_t until)
{
  world->arrivals_until = until;
  sim_schedule (world->sim, at, on_arrival, world);
}
