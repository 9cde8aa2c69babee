/* world.c - arrivals, what becomes of them, and the counts that a run is judged by. */
#include "world.h"

#include <math.h>
#include <string.h>

#define TELL_EVERY (250 * FT_MS) /* as the daemon does */

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
world_cost_ms (const Generation *generation, double prompt, double out)
{
  /* The largest batch whose step keeps 27 ms; a token then costs a share of the step. */
  double batch = floor ((27.0 - generation->step_ms) / generation->stream_ms);
  double step = generation->step_ms + generation->stream_ms * batch;

  return prompt / generation->prefill_rate + out * step / batch;
}

static double
mean_cost (const Profile *profile, const Generation *generation)
{
  double sum = 0, shares = 0;

  for (unsigned i = 0; i < profile->class_count; i++)
    {
      const ClassModel *class = &profile->classes[i];
      /* The mean of a log-normal length is above its median, and half the shared part is cached. */
      double lift = exp (class->spread * class->spread / 2);
      sum += class->share
             * world_cost_ms (generation, class->prompt * lift * (1 - class->shared),
                              class->out * lift);
      shares += class->share;
    }
  return sum / shares;
}

static double
capacity_of (const World *world)
{
  double rate = 0;

  for (unsigned i = 0; i < world->engine_count; i++)
    rate += 1000.0 / mean_cost (world->profile, &generations[world->engines[i]->generation]);
  return rate;
}

/* ---- Jobs ---- */

static double
normal (Sim *sim)
{
  return sqrt (-2 * log (1 - sim_uniform (sim))) * cos (2 * G_PI * sim_uniform (sim));
}

static unsigned
length (Sim *sim, unsigned median, double spread, unsigned most)
{
  return (unsigned) CLAMP (median * exp (spread * normal (sim)), 2, most);
}

static unsigned
pick_org (World *world)
{
  unsigned orgs = world->profile->orgs;
  double at = sim_uniform (world->sim);

  if (world->hog && at < 0.7)
    return world->hog;
  /* A few large ones: two have two thirds of the load. */
  at = sim_uniform (world->sim);
  if (at < 0.4)
    return 1;
  if (at < 0.67)
    return 2;
  return 1 + (unsigned) (sim_uniform (world->sim) * orgs) % orgs;
}

static const ClassModel *
pick_class (World *world)
{
  double at = sim_uniform (world->sim), sum = 0, shares = 0;
  const Profile *profile = world->profile;

  for (unsigned i = 0; i < profile->class_count; i++)
    shares += profile->classes[i].share;
  for (unsigned i = 0; i < profile->class_count; i++)
    {
      sum += profile->classes[i].share / shares;
      if (at < sum)
        return &profile->classes[i];
    }
  return &profile->classes[profile->class_count - 1];
}

static void
set_blocks (World *world, Job *job, const ClassModel *class)
{
  unsigned total = MIN (job->prompt / FT_BLOCK_TOKENS, FT_BLOCKS_MAX);
  double shared = world->only_shared ? 0.85 : class->shared;
  unsigned common = (unsigned) (total * shared);
  /* Twenty different beginnings a class, the first of them the most used. */
  unsigned beginning = (unsigned) (pow (sim_uniform (world->sim), 2) * 20);

  job->block_count = total;
  for (unsigned i = 0; i < total; i++)
    job->blocks[i] = i < common ? (uint64_t) (job->class_index + 1) << 40
                                      | (uint64_t) (beginning + 1) << 20 | (i + 1)
                                : (job->number << 24 | (i + 1)) ^ G_GUINT64_CONSTANT (1) << 63;
}

static void
arrive (Sim *sim, void *data)
{
  World *world = data;
  const ClassModel *class = pick_class (world);
  Job *job = g_new0 (Job, 1);
  int64_t now = sim_now (sim);

  g_ptr_array_add (world->jobs, job);
  job->number = world->jobs->len;
  job->tier = class->tier;
  job->class_index = (unsigned) (class - world->profile->classes);
  g_strlcpy (job->class_name, class->name, sizeof job->class_name);
  job->org = pick_org (world);
  job->prompt = length (sim, class->prompt, class->spread, 30000);
  job->out = length (sim, class->out, class->spread, 4000);
  job->arrived = now;
  job->first_by = now + class->first_ms * FT_MS;
  job->due = now + class->due_ms * FT_MS;
  set_blocks (world, job, class);
  world->tiers[job->tier].offered++;
  world->policy.ops->arrive (world, job);
  double rate = world->capacity * world->load * world->burst;
  int64_t next = now + (int64_t) (-log (1 - sim_uniform (sim)) / rate * FT_SECOND);
  if (next < world->arrivals_until)
    sim_at (sim, next, arrive, world);
}

void
world_dispatch (World *world, Job *job, Engine *engine)
{
  int64_t now = sim_now (world->sim);

  if (++job->dispatches > 1)
    world->doubled++;
  if (world->gap_watch)
    world->grant_gap = MAX (world->grant_gap, now - world->last_grant);
  world->last_grant = now;
  world->decisions++;
  job->state = JOB_RUNNING;
  job->granted_at = now;
  if (engine->dead)
    world_lost (world, job);
  else
    engine_start (engine, job);
}

void
world_refuse (World *world, Job *job, bool shortage)
{
  (void) shortage;
  if (job->dispatches > 0)
    world->untrue++; /* "not run" of one that was sent */
  world->decisions++;
  job->state = JOB_REFUSED;
  job->ended_at = sim_now (world->sim);
  world->tiers[job->tier].refused++;
}

void
world_lost (World *world, Job *job)
{
  job->state = JOB_LOST;
  job->ended_at = sim_now (world->sim);
  world->tiers[job->tier].lost++;
  world->policy.ops->ended (world, job);
}

void
world_prefilled (World *world, Job *job, double tokens)
{
  world->tiers[job->tier].prefill += tokens;
}

static void
complete (World *world, Job *job)
{
  Tally *tally = &world->tiers[job->tier];

  job->state = JOB_WHOLE;
  job->ended_at = sim_now (world->sim);
  if (job->ended_at <= job->due)
    tally->completed++;
  else
    tally->late++;
  world->policy.ops->ended (world, job);
}

void
world_token (World *world, Job *job)
{
  Tally *tally = &world->tiers[job->tier];
  int64_t now = sim_now (world->sim);

  if (job->first_at == 0)
    {
      float ms = (float) (now - job->arrived) / FT_MS;
      job->first_at = now;
      g_array_append_val (tally->first_ms, ms);
    }
  else if (job->number % 8 == 0) /* a sample of requests is enough for a quantile of gaps */
    {
      float ms = (float) (now - job->last_at) / FT_MS;
      g_array_append_val (tally->gap_ms, ms);
    }
  job->last_at = now;
  if (job->produced == job->out)
    complete (world, job);
  else if (job->produced == 1 || now - job->told_at >= TELL_EVERY)
    {
      job->told_at = now;
      world->policy.ops->progress (world, job);
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
  world->burst = 1;
  world->jobs = g_ptr_array_new_with_free_func (g_free);
  if (ops != &policy_foxtail)
    conf.instances = conf.voters = 1; /* baselines need no nodes but the clock */
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
  world->capacity = capacity_of (world);
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

void world_begin (World *world, int64_t at, int64_t until);
void
world_begin (World *world, int64_t at, int64_t until)
{
  world->arrivals_until = until;
  sim_at (world->sim, at, arrive, world);
}
