/* policies.c - the scheduling policies of foxtailbench: foxtailgrade's own and the baselines.
 *
 * A baseline does what a load balancer that knows nothing about engines does: it keeps one FIFO
 * queue, runs a fixed number of requests at once on each engine, chooses the engine by the rule it
 * is named after, and drops a queued request whose deadline has passed. "tiers" has one queue per
 * tier and chooses the engine with the fewest requests in flight.
 */
#include "world.h"

#include <stdio.h>
#include <string.h>

/* The largest batch of the middle generation within its latency target. */
#define BASELINE_CONCURRENCY_MAX 24

/* ---- foxtail ---- */

static Engine *
find_engine (World *world, const char *name)
{
  unsigned index = (unsigned) atoi (name + 1);

  return index < world->engine_count ? world->engines[index] : NULL;
}

static Job *
find_job (World *world, uint64_t number)
{
  return number >= 1 && number <= world->jobs->len ? world->jobs->pdata[number - 1] : NULL;
}

static bool
entry_is_alive (World *world, const Job *job)
{
  return sim_node (world->sim, job->entry)
         && sim_start_count (world->sim, job->entry) == job->entry_start_count;
}

static void
on_grant (Sim *sim, unsigned instance, uint64_t request, const char *server)
{
  World *world = sim_user (sim);

  (void) instance;
  world_dispatch (world, find_job (world, request), find_engine (world, server));
}

static void
on_refuse (Sim *sim, unsigned instance, const FtRefusal *refusal)
{
  World *world = sim_user (sim);

  (void) instance;
  world_refuse (world, find_job (world, refusal->request),
                ft_reason_info (refusal->reason)->shortage);
}

static void
on_pause (Sim *sim, unsigned instance, uint64_t request)
{
  World *world = sim_user (sim);
  Job *job = find_job (world, request);

  (void) instance;
  if (job->state != JOB_RUNNING)
    return;
  job->state = JOB_PAUSED;
  engine_stop (job->engine, job, false);
}

static void
on_resume (Sim *sim, unsigned instance, uint64_t request)
{
  World *world = sim_user (sim);
  Job *job = find_job (world, request);

  (void) instance;
  if (job->state != JOB_PAUSED)
    return;
  job->state = JOB_RUNNING;
  engine_resume (job->engine, job);
}

/* The callers of an entry that dies lose their connections, so its running jobs are removed from
 * their engines and counted as lost. */
static void
on_killed (Sim *sim, unsigned instance)
{
  World *world = sim_user (sim);

  for (unsigned i = 0; i < world->jobs->len; i++)
    {
      Job *job = world->jobs->pdata[i];
      if (job->entry != instance || job->state >= JOB_COMPLETE)
        continue;
      if (job->state == JOB_RUNNING)
        engine_stop (job->engine, job, true);
      job->state = JOB_LOST;
      world->tiers[job->tier].lost++;
    }
}

const SimOps foxtail_sim_ops = { .grant = on_grant,
                                 .refuse = on_refuse,
                                 .pause = on_pause,
                                 .resume = on_resume,
                                 .killed = on_killed };

static char *
make_catalogue (const World *world)
{
  GString *text = g_string_new ("{\"organisations\":[");

  for (unsigned i = 1; i <= world->profile->orgs; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"o%u\",\"owner\":\"bench\",\"class\":\"%s\","
                            "\"key_sha256\":\"%064x\",\"limits\":{}}",
                            i > 1 ? "," : "", i, world->profile->classes[0].name, i);
  g_string_append (text, "],\"classes\":[");
  for (unsigned i = 0; i < world->profile->class_count; i++)
    {
      const ClassModel *class = &world->profile->classes[i];
      g_string_append_printf (text,
                              "%s{\"name\":\"%s\",\"owner\":\"bench\",\"tier\":%u,"
                              "\"first_token_ms\":%d,\"deadline_ms\":%d,\"limits\":{}}",
                              i ? "," : "", class->name, class->tier, (int) class->first_ms,
                              (int) class->due_ms);
    }
  g_string_append (text, "],\"pools\":[");
  for (unsigned i = 0; i < world->profile->pools; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"p%u\",\"owner\":\"bench\",\"class\":\"%s\",\"kind\":"
                            "\"model\",\"model\":\"m%u\",\"limits\":{}}",
                            i ? "," : "", i, world->profile->classes[0].name, i);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static void
foxtail_on_server_state (World *world, Engine *engine)
{
  FtServerState state = engine->leaving || engine->dead ? FT_SERVER_LEAVING : FT_SERVER_LIVE;

  for (unsigned i = 1; i <= world->profile->instances; i++)
    if (sim_node (world->sim, i))
      ft_node_update_server (sim_node (world->sim, i), engine->pool, engine->name, 1, state);
}

static void
foxtail_start (World *world)
{
  char *text = make_catalogue (world);

  sim_run (world->sim, 3 * FT_SECOND);
  ft_node_propose_catalogue (sim_node (world->sim, 1), "first", "bench", 0, text, 1);
  sim_flush (world->sim, 1);
  g_free (text);
  for (unsigned i = 0; i < world->engine_count; i++)
    foxtail_on_server_state (world, world->engines[i]);
  sim_run (world->sim, 10 * FT_SECOND + world->profile->pools * 100 * FT_MS);
}

/* Chooses a ready instance in turn, as a load balancer in front of the instances does. */
static unsigned
choose_entry (World *world, uint64_t number)
{
  unsigned count = world->profile->instances;

  for (unsigned i = 0; i < count; i++)
    {
      unsigned at = 1 + (unsigned) ((number + i) % count);
      FtNode *node = sim_node (world->sim, at);
      if (node && !sim_is_frozen (world->sim, at) && ft_node_is_fresh (node))
        return at;
    }
  return 0;
}

static void
foxtail_on_arrival (World *world, Job *job)
{
  char org[16], pool[32];

  job->entry = choose_entry (world, job->number);
  if (job->entry == 0)
    {
      world_refuse (world, job, false);
      return;
    }
  job->entry_start_count = sim_start_count (world->sim, job->entry);
  g_snprintf (org, sizeof org, "o%u", job->org);
  g_snprintf (pool, sizeof pool, "p%u", (unsigned) (job->number % world->profile->pools));
  FtNodeRequest request = { .request = job->number,
                            .pool = pool,
                            .org = org,
                            .class_name = job->class_name,
                            .prompt_tokens = job->prompt_tokens,
                            .first_token_in_us = job->first_token_deadline - job->arrived_at,
                            .deadline_in_us = job->deadline - job->arrived_at,
                            .blocks = job->blocks,
                            .block_count = job->block_count };
  int64_t started = sim_cpu_begin ();
  ft_node_submit (sim_node (world->sim, job->entry), &request);
  sim_flush (world->sim, job->entry);
  sim_cpu_end (world->sim, started);
}

static void
foxtail_on_progress (World *world, Job *job)
{
  if (!entry_is_alive (world, job) || sim_is_frozen (world->sim, job->entry))
    return;
  int64_t started = sim_cpu_begin ();
  ft_node_progress (sim_node (world->sim, job->entry), job->number, job->produced);
  sim_cpu_end (world->sim, started);
}

static void
foxtail_on_end (World *world, Job *job)
{
  if (!entry_is_alive (world, job))
    return;
  int64_t started = sim_cpu_begin ();
  ft_node_end_request (sim_node (world->sim, job->entry), job->number,
                       job->state == JOB_COMPLETE ? FT_OUTCOME_COMPLETE : FT_OUTCOME_FAILED,
                       job->produced);
  sim_cpu_end (world->sim, started);
}

const PolicyOps policy_foxtail = { "foxtail",           foxtail_start,  foxtail_on_arrival,
                                   foxtail_on_progress, foxtail_on_end, foxtail_on_server_state };

/* ---- Baselines ---- */

typedef Engine *(*ChooseFunc) (World *world);

typedef struct
{
  struct cds_list_head queue[FT_TIERS + 1]; /* of Job.link; only [0] is used without tiers */
  unsigned next_engine;                     /* round-robin */
} Fifo;

static bool
has_capacity (const Engine *engine)
{
  return !engine->dead && !engine->leaving && engine->running < BASELINE_CONCURRENCY_MAX;
}

static Engine *
round_robin (World *world)
{
  Fifo *fifo = world->policy_data;

  for (unsigned i = 0; i < world->engine_count; i++)
    {
      Engine *engine = world->engines[fifo->next_engine++ % world->engine_count];
      if (has_capacity (engine))
        return engine;
    }
  return NULL;
}

static Engine *
random_choice (World *world)
{
  unsigned start = (unsigned) (sim_random (world->sim) % world->engine_count);

  for (unsigned i = 0; i < world->engine_count; i++)
    if (has_capacity (world->engines[(start + i) % world->engine_count]))
      return world->engines[(start + i) % world->engine_count];
  return NULL;
}

static Engine *
two_choices (World *world)
{
  Engine *a = random_choice (world), *b = random_choice (world);

  return a && b && b->running < a->running ? b : a;
}

static Engine *
least_loaded (World *world, bool reported)
{
  Engine *best = NULL;
  unsigned least = G_MAXUINT;

  for (unsigned i = 0; i < world->engine_count; i++)
    {
      Engine *engine = world->engines[i];
      unsigned load = reported ? engine->reported_running : engine->running;
      if (!has_capacity (engine) || load >= least)
        continue;
      best = engine;
      least = load;
    }
  return best;
}

static Engine *
least_in_flight (World *world)
{
  return least_loaded (world, false);
}

static Engine *
least_reported (World *world)
{
  return least_loaded (world, true);
}

static ChooseFunc
baseline_choice (const World *world)
{
  static const struct
  {
    const char *name;
    ChooseFunc choose;
  } table[] = { { "round-robin", round_robin },       { "random", random_choice },
                { "two-choices", two_choices },       { "least-in-flight", least_in_flight },
                { "least-reported", least_reported }, { "tiers", least_in_flight } };

  for (unsigned i = 0; i < G_N_ELEMENTS (table); i++)
    if (strcmp (table[i].name, world->policy.ops->name) == 0)
      return table[i].choose;
  return round_robin;
}

static bool
lower_tier_is_running (World *world, unsigned tier)
{
  for (unsigned i = 0; i < world->engine_count; i++)
    {
      Job *job;
      cds_list_for_each_entry (job, &world->engines[i]->decoding,
                               link) if (job->tier > tier) return true;
    }
  return false;
}

static void
dispatch_queued (World *world)
{
  Fifo *fifo = world->policy_data;
  ChooseFunc choose = baseline_choice (world);

  for (unsigned t = 0; t <= FT_TIERS; t++)
    while (!cds_list_empty (&fifo->queue[t]))
      {
        Job *job = cds_list_entry (fifo->queue[t].next, Job, link);
        if (sim_now (world->sim) > job->deadline)
          {
            cds_list_del (&job->link);
            world->violations += lower_tier_is_running (world, job->tier);
            world_refuse (world, job, true);
            continue;
          }
        Engine *engine = choose (world);
        if (engine == NULL)
          return;
        cds_list_del (&job->link);
        world_dispatch (world, job, engine);
      }
}

static void
fifo_start (World *world)
{
  Fifo *fifo = g_new0 (Fifo, 1);

  for (unsigned t = 0; t <= FT_TIERS; t++)
    CDS_INIT_LIST_HEAD (&fifo->queue[t]);
  world->policy_data = fifo;
  sim_run (world->sim, 10 * FT_SECOND + world->profile->pools * 100 * FT_MS);
}

static void
fifo_on_arrival (World *world, Job *job)
{
  Fifo *fifo = world->policy_data;
  bool tiers = strcmp (world->policy.ops->name, "tiers") == 0;

  cds_list_add_tail (&job->link, &fifo->queue[tiers ? job->tier : 0]);
  dispatch_queued (world);
}

static void
fifo_on_progress (World *world, Job *job)
{
  (void) world;
  (void) job;
}

static void
fifo_on_end (World *world, Job *job)
{
  (void) job;
  dispatch_queued (world);
}

static void
fifo_on_server_state (World *world, Engine *engine)
{
  (void) engine;
  dispatch_queued (world);
}

#define BASELINE(name)                                                                             \
  {                                                                                                \
    name, fifo_start, fifo_on_arrival, fifo_on_progress, fifo_on_end, fifo_on_server_state         \
  }
const PolicyOps policy_baselines[]
    = { BASELINE ("round-robin"),     BASELINE ("random"),         BASELINE ("two-choices"),
        BASELINE ("least-in-flight"), BASELINE ("least-reported"), BASELINE ("tiers") };
const unsigned policy_baseline_count = G_N_ELEMENTS (policy_baselines);
