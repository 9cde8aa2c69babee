/* engine.c - simulates model engines of three hardware generations with continuous batching.
 *
 * One step produces a token for each decoding stream and computes a chunk of the first waiting
 * prompt. It takes step_ms, plus stream_ms for each stream, plus the time of the chunk. Load
 * reports and cache events arrive 2 s late, and one cache event in twenty is lost. */
#include "world.h"

/* Prefill time in one step; a longer chunk would delay the decoding streams. */
#define CHUNK_MS            8.0
#define CACHE_BLOCKS        3000
#define REPORT_DELAY        (2 * FT_SECOND)
#define LOST_EVENT_INTERVAL 20

const Generation generations[GENERATIONS] = {
  { 7.0, 0.45, 10.0 },
  { 10.0, 0.7, 5.0 },
  { 14.0, 1.0, 2.5 },
};

typedef struct
{
  Engine *engine;
  uint64_t number, block; /* number: of the cache event; 0 for a load report */
  unsigned running;
  bool stored;
} Report;

static void
deliver_report (Sim *sim, void *data)
{
  Report *message = data;
  Engine *engine = message->engine;

  (void) sim;
  if (message->number == 0)
    engine->reported_running = message->running;
  bool is_cache_event = message->number && engine->world->policy.ops == &policy_foxtail;
  for (unsigned i = 1; is_cache_event && i <= engine->world->profile->instances; i++)
    if (sim_node (engine->world->sim, i) && !sim_is_frozen (engine->world->sim, i))
      ft_node_cache_event (sim_node (engine->world->sim, i), engine->pool, engine->name,
                           message->number, message->stored, message->block);
  g_free (message);
}

static void
send_report (Engine *engine, uint64_t number, uint64_t block, bool stored)
{
  Report *message = g_new (Report, 1);

  *message = (Report){ engine, number, block, engine->running, stored };
  sim_schedule (engine->world->sim, sim_now (engine->world->sim) + REPORT_DELAY, deliver_report,
                message);
}

static void
send_cache_event (Engine *engine, uint64_t block, bool stored)
{
  if (++engine->events % LOST_EVENT_INTERVAL != 0)
    send_report (engine, engine->events, block, stored);
}

static void
cache_block (Engine *engine, uint64_t block)
{
  GList *link = g_hash_table_lookup (engine->cache_index, &block);

  if (link)
    {
      g_queue_unlink (&engine->cache, link);
      g_queue_push_head_link (&engine->cache, link);
      return;
    }
  uint64_t *copy = g_memdup2 (&block, sizeof block);
  g_queue_push_head (&engine->cache, copy);
  g_hash_table_insert (engine->cache_index, copy, engine->cache.head);
  send_cache_event (engine, block, true);
  if (engine->cache.length <= CACHE_BLOCKS)
    return;
  uint64_t *oldest = g_queue_pop_tail (&engine->cache);
  g_hash_table_remove (engine->cache_index, oldest);
  send_cache_event (engine, *oldest, false);
  g_free (oldest);
}

static double
uncached_tokens (Engine *engine, const Job *job)
{
  unsigned cached_blocks = 0;

  while (cached_blocks < job->block_count
         && g_hash_table_contains (engine->cache_index, &job->blocks[cached_blocks]))
    cached_blocks++;
  return MAX (1.0, (double) job->prompt_tokens - cached_blocks * (double) FT_BLOCK_TOKENS);
}

static void run_step (Sim *sim, void *data);

static void
schedule_step (Engine *engine)
{
  if (engine->step_scheduled || engine->running == 0 || engine->gray || engine->dead)
    return;
  engine->step_scheduled = true;
  sim_schedule (engine->world->sim, sim_now (engine->world->sim), run_step, engine);
}

static double
prefill_chunk (Engine *engine)
{
  if (cds_list_empty (&engine->prefilling))
    return 0;
  Job *job = cds_list_entry (engine->prefilling.next, Job, link);
  double rate = generations[engine->generation].prefill_rate;
  double chunk = MIN (CHUNK_MS * rate, job->prefill_left);
  job->prefill_left -= chunk;
  job->prefill_done += chunk;
  world_count_prefill (engine->world, job, chunk);
  if (job->prefill_left <= 0)
    {
      for (unsigned i = job->block_count; i > 0; i--)
        cache_block (engine, job->blocks[i - 1]);
      cds_list_del (&job->link);
      cds_list_add_tail (&job->link, &engine->decoding);
    }
  return chunk / rate;
}

static void
run_step (Sim *sim, void *data)
{
  Engine *engine = data;
  const Generation *generation = &generations[engine->generation];
  double ms = generation->step_ms;
  Job *job, *next;

  engine->step_scheduled = engine->running > 0 && !engine->gray && !engine->dead;
  if (!engine->step_scheduled)
    return;
  cds_list_for_each_entry_safe (job, next, &engine->decoding, link)
  {
    ms += generation->stream_ms;
    job->produced++;
    if (job->produced == job->output_tokens)
      {
        cds_list_del (&job->link);
        engine->running--;
      }
    world_on_token (engine->world, job);
  }
  ms += prefill_chunk (engine);
  sim_schedule (sim, sim_now (sim) + (int64_t) (ms * engine->slow_factor * FT_MS), run_step,
                engine);
}

static void
send_load_report (Sim *sim, void *data)
{
  Engine *engine = data;

  send_report (engine, 0, 0, false);
  sim_schedule (sim, sim_now (sim) + FT_SECOND, send_load_report, engine);
}

Engine *
engine_new (World *world, unsigned index, unsigned generation, const char *pool)
{
  Engine *engine = g_new0 (Engine, 1);

  engine->world = world;
  engine->index = index;
  engine->generation = generation;
  g_snprintf (engine->name, sizeof engine->name, "e%u", index);
  g_strlcpy (engine->pool, pool, sizeof engine->pool);
  engine->slow_factor = 1;
  CDS_INIT_LIST_HEAD (&engine->prefilling);
  CDS_INIT_LIST_HEAD (&engine->decoding);
  engine->cache_index = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&engine->cache);
  sim_schedule (world->sim, (int64_t) (sim_random (world->sim) % (uint64_t) FT_SECOND),
                send_load_report, engine);
  return engine;
}

void
engine_free (Engine *engine)
{
  g_hash_table_unref (engine->cache_index);
  g_queue_clear_full (&engine->cache, g_free);
  g_free (engine);
}

void
engine_start (Engine *engine, Job *job)
{
  job->engine = engine;
  job->prefill_left = uncached_tokens (engine, job);
  cds_list_add_tail (&job->link, &engine->prefilling);
  engine->running++;
  schedule_step (engine);
}

void
engine_stop (Engine *engine, Job *job, bool wasted)
{
  cds_list_del (&job->link);
  engine->running--;
  if (wasted)
    engine->world->tiers[job->tier].wasted += job->prefill_done;
}

void
engine_resume (Engine *engine, Job *job)
{
  /* The tokens produced so far are prefilled as well. */
  double recomputed = uncached_tokens (engine, job) + job->produced;

  /* Prefill that is computed a second time is wasted: for an unfinished prompt all that was done,
   * for a finished one the part that has left the prefix cache. */
  engine->world->tiers[job->tier].wasted += job->produced > 0 ? recomputed : job->prefill_done;
  if (job->produced == 0)
    job->prefill_done = 0;
  job->prefill_left = recomputed;
  cds_list_add_tail (&job->link, &engine->prefilling);
  engine->running++;
  schedule_step (engine);
}

void
engine_set_slow (Engine *engine, double factor)
{
  engine->slow_factor = factor;
}

void
engine_set_gray (Engine *engine, bool gray)
{
  engine->gray = gray;
  schedule_step (engine);
}

static void
fail_jobs (Engine *engine, struct cds_list_head *list)
{
  while (!cds_list_empty (list))
    {
      Job *job = cds_list_entry (list->next, Job, link);
      engine_stop (engine, job, true);
      world_fail_job (engine->world, job);
    }
}

void
engine_die (Engine *engine)
{
  engine->dead = true;
  fail_jobs (engine, &engine->prefilling);
  fail_jobs (engine, &engine->decoding);
}
