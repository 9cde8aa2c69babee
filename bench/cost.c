/* cost.c - measures processor time and memory per decision of the two schedulers, without network
 * or engines. Each request is submitted, granted, reports progress and ends: one decision. */
#include "cost.h"
#include "foxtail.h"
#include "scheduler.h"

#include <time.h>

#define REQUESTS 200000

typedef struct
{
  FtClock base;
  int64_t now;
} ManualClock;

static int64_t
manual_now (FtClock *clock)
{
  return ((ManualClock *) clock)->now;
}

static const FtClockOps manual_ops = { manual_now };

static uint64_t granted[1 << 20];
static unsigned granted_head, granted_tail;

static void
on_grant (void *host, const FtGrant *grant)
{
  (void) host;
  granted[granted_head++ & (G_N_ELEMENTS (granted) - 1)] = grant->request;
}

static void
on_refuse (void *host, const FtRefusal *refusal)
{
  (void) host;
  (void) refusal;
}

static void
on_stream (void *host, const FtGrant *stream)
{
  (void) host;
  (void) stream;
}

static const FtPoolOps pool_ops = { on_grant, on_refuse, on_stream, on_stream };

static double
thread_cpu_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (double) now.tv_sec * 1e9 + (double) now.tv_nsec;
}

static void
submit_request (FtPool *pool, uint64_t number, unsigned orgs)
{
  char org[16];
  uint64_t blocks[8];

  g_snprintf (org, sizeof org, "o%u", (unsigned) (number % orgs));
  for (unsigned i = 0; i < 8; i++)
    blocks[i] = i < 4 ? (number % 50) << 8 | i : number << 16 | i | 1u << 15;
  FtPoolRequest request = { .entry = 1,
                            .request = number,
                            .tier = 1 + (unsigned) (number % FT_TIERS),
                            .org = org,
                            .class_name = "c",
                            .weight = 1,
                            .prompt_tokens = 600,
                            .first_token_in_us = 3600 * FT_SECOND,
                            .deadline_in_us = 7200 * FT_SECOND,
                            .blocks = blocks,
                            .block_count = 8 };
  ft_pool_submit (pool, &request);
}

static void
measure_pool (FILE *out, unsigned servers, unsigned queued, unsigned orgs)
{
  ManualClock clock = { { &manual_ops }, FT_SECOND };
  FtPoolConf conf = { 27, 64, 0, false };
  FtPool *pool = ft_pool_new (&conf, &clock.base, &pool_ops, NULL);
  FtPoolStats stats;
  uint64_t number = 1;
  char name[16];

  granted_head = granted_tail = 0;
  for (unsigned i = 0; i < servers; i++)
    {
      g_snprintf (name, sizeof name, "s%u", i);
      ft_pool_update_server (pool, name, 1, FT_SERVER_LIVE);
    }
  while (number < servers * 8 + queued)
    submit_request (pool, number++, orgs);
  ft_pool_stats (pool, &stats);
  size_t bytes = stats.bytes;
  uint64_t before = stats.decisions;
  double started = thread_cpu_ns ();
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      clock.now += 20;
      submit_request (pool, number++, orgs);
      if (granted_tail == granted_head)
        continue;
      uint64_t finished = granted[granted_tail++ & (G_N_ELEMENTS (granted) - 1)];
      ft_pool_progress (pool, 1, finished, 1);
      clock.now += 50 * FT_MS;
      ft_pool_progress (pool, 1, finished, 4);
      ft_pool_end_request (pool, 1, finished, FT_OUTCOME_COMPLETE, 5);
    }
  double ns = thread_cpu_ns () - started;
  ft_pool_stats (pool, &stats);
  uint64_t decisions = stats.decisions - before;
  fprintf (out, "%9u %9u %9u %12.0f %12.0f %14.0f\n", servers, queued, orgs,
           ns / (double) decisions, 1e9 * (double) decisions / ns,
           (double) bytes / MAX (1, servers * 8 + queued));
  ft_pool_free (pool);
}

/* ---- The scheduler for engines without priorities ---- */

static void
on_sched_grant (void *host, uint64_t owner, uint64_t request, const char *org, const char *server,
                int64_t max_idle_us)
{
  (void) max_idle_us;
  (void) host;
  (void) owner;
  (void) org;
  (void) server;
  granted[granted_head++ & (G_N_ELEMENTS (granted) - 1)] = request;
}

static void
on_sched_refuse (void *host, uint64_t owner, uint64_t request, const SchedRefusal *refusal)
{
  (void) host;
  (void) owner;
  (void) request;
  (void) refusal;
}

static void
on_sched_unused (void *host, const char *org, double cost)
{
  (void) host;
  (void) org;
  (void) cost;
}

static void
on_sched_server_state (void *host, const char *server, bool out, const char *why, int64_t for_us)
{
  (void) host;
  (void) server;
  (void) out;
  (void) why;
  (void) for_us;
}

static const SchedOps sched_ops
    = { on_sched_grant, on_sched_refuse, on_sched_unused, on_sched_server_state, NULL, NULL, NULL };

static void
submit_sched (Sched *sched, const ManualClock *clock, uint64_t number)
{
  SchedAsk request = { .owner = 1 + number % 64,
                       .request = number,
                       .service = "s",
                       .org = "o",
                       .tier = (unsigned) (number % 3),
                       .stream = true,
                       .prompt_tokens = 2000,
                       .output_tokens = 100,
                       .gap_us = 300 * FT_MS,
                       .aim_at = clock->now + 3600 * FT_SECOND,
                       .limit_at = clock->now + 3600 * FT_SECOND,
                       .end_at = clock->now + 7200 * FT_SECOND };
  sched_ask (sched, &request);
}

/* Every server is full and the given number of requests waits; whenever a request ends, a waiting
 * one is granted. */
static void
measure_sched (FILE *out, unsigned servers, unsigned waiting)
{
  ManualClock clock = { { &manual_ops }, FT_SECOND };
  SchedServiceConf conf = { true, 4, 0 };
  SchedServer *list = g_new0 (SchedServer, servers);
  Sched *sched = sched_new (&clock.base, &sched_ops, NULL);
  uint64_t number = 1, finished = 0;
  unsigned rounds = REQUESTS / 10;

  granted_head = granted_tail = 0;
  sched_set_service (sched, "s", &conf);
  for (unsigned i = 0; i < servers; i++)
    list[i] = (SchedServer){ g_strdup_printf ("s%u", i), "s", "d", 4, false, 0, NULL };
  sched_set_servers (sched, list, servers);
  while (number <= servers * 4 + waiting)
    submit_sched (sched, &clock, number++);
  double started = thread_cpu_ns ();
  for (unsigned i = 0; i < rounds && granted_tail != granted_head; i++)
    {
      SchedResult result
          = { .outcome = SCHED_OK, .event_us = 24 * FT_MS, .answer_us = 600 * FT_MS };
      uint64_t request = granted[granted_tail++ & (G_N_ELEMENTS (granted) - 1)];
      clock.now += FT_SECOND / 760;
      sched_first_event (sched, 1 + request % 64, request, 100 * FT_MS);
      sched_done (sched, 1 + request % 64, request, &result);
      submit_sched (sched, &clock, number++);
      if (i % 15 == 0)
        sched_tick (sched);
      finished++;
    }
  fprintf (out, "%9u %9u %12.0f\n", servers, waiting,
           (thread_cpu_ns () - started) / (double) MAX (finished, 1));
  sched_free (sched);
  for (unsigned i = 0; i < servers; i++)
    g_free ((char *) list[i].id);
  g_free (list);
}

static void
sched_report (FILE *out)
{
  static const unsigned servers[] = { 12, 140, 1300 }, waiting[] = { 0, 100, 1000 };

  fprintf (out, "\nscheduler for engines without priorities, all places taken, 760 requests/s\n"
                "  servers   waiting  ns/decision\n");
  for (unsigned i = 0; i < G_N_ELEMENTS (servers); i++)
    for (unsigned j = 0; j < G_N_ELEMENTS (waiting); j++)
      measure_sched (out, servers[i], waiting[j]);
}

int
cost_report (FILE *out)
{
  static const unsigned servers[] = { 12, 130, 1300 }, queued[] = { 10, 1000, 100000 },
                        orgs[] = { 5, 3700 };

  fprintf (out, "cost of a decision\n  servers    queued      orgs  ns/decision  decisions/s  "
                "bytes/request\n");
  for (unsigned i = 0; i < G_N_ELEMENTS (servers); i++)
    for (unsigned j = 0; j < G_N_ELEMENTS (queued); j++)
      for (unsigned k = 0; k < G_N_ELEMENTS (orgs); k++)
        measure_pool (out, servers[i], queued[j], orgs[k]);
  sched_report (out);
  return 0;
}
