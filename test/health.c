/* health.c - tests of the scheduler's estimates of server health and of connections, under load.
 * Each test reproduces a fault and fails without the mechanism that handles it. */
#include "engines.h"

/* A third of the servers become unreachable at once while the list still contains them. Every
 * request sent to one is lost or late until the server is taken out; a failed connection takes
 * it out at once. */
static void
unreachable_servers_are_taken_out (void)
{
  model_begin (SERVERS, 6, false);
  run_load (4, 40, default_mix);
  for (unsigned i = 0; i < 4; i++)
    model->servers[i].unreachable = true;
  unsigned from = model->job_count;
  run_load (4, 40, default_mix);
  drain_jobs ();
  unsigned failed = 0;
  for (unsigned t = 0; t < 3; t++)
    failed += count_tier (t, from).failed;
  g_assert_cmpuint (failed, <=, 4 * 6); /* a few per server: the first requests, and probes */
  for (unsigned i = 0; i < 4; i++)
    model->servers[i].unreachable = false;
  from = model->job_count;
  run_load (6, 40, default_mix);
  drain_jobs ();
  unsigned on_restored = 0;
  for (unsigned i = from; i < model->job_count; i++)
    on_restored += model->jobs[i].server >= 0 && model->jobs[i].server < 4;
  g_assert_cmpuint (on_restored, >, 0); /* servers are probed and put back in use */
  model_end ();
}

/* One answer takes long on a server that answers other requests meanwhile. The server must not
 * be taken for unreachable, or its capacity is lost during a burst. A server that answers
 * nothing at all is taken out. */
static void
slow_answer_takes_no_server_out (void)
{
  SchedStats stats;

  model_begin (3, 4, false);
  unsigned slow = ask (0, 1000, 100000);
  for (int i = 0; i < 400; i++)
    {
      if (i % 20 == 0)
        ask (0, 500, 10);
      step ();
    }
  sched_silent (model->sched, 1, slow);
  sched_stats (model->sched, &stats);
  g_assert_cmpuint (stats.out, ==, 0);
  unsigned unreachable = ask (0, 1000, 100000);
  sched_silent (model->sched, 1, unreachable);
  sched_stats (model->sched, &stats);
  g_assert_cmpuint (stats.out, ==, 1);
  sched_owner_gone (model->sched, 1);
  model_end ();
}

/* A third of the servers crash under full load, and others start at their addresses at once. The
 * list still contains the crashed ones for seconds, and their places seem to be free, so that
 * requests are turned away there again and again. The first rejection reports that the server is
 * gone; nothing may be sent to it after that. */
static void
gone_servers_get_nothing (void)
{
  unsigned rejected = 0;

  model_begin (SERVERS, 6, false);
  run_load (4, 40, default_mix);
  for (unsigned i = 0; i < 4; i++)
    model->servers[i].replaced = true;
  unsigned from = model->job_count;
  run_load (4, 60, default_mix);
  drain_jobs ();
  for (unsigned i = from; i < model->job_count; i++)
    rejected += model->jobs[i].failed;
  g_assert_cmpuint (rejected, <=, 4 * 6); /* those sent before the first rejection */
  model_end ();
}

/* Every server fails a part of its requests. Taking out all of them would leave none; servers
 * that are no worse than the others stay in use. */
static void
common_failures_take_out_few (void)
{
  SchedStats stats;

  model_begin (SERVERS, 6, false);
  run_load (4, 40, default_mix);
  for (unsigned i = 0; i < SERVERS; i++)
    model->servers[i].failing = true;
  for (int i = 0; i < 2000; i++)
    {
      if (i % 10 == 0)
        ask (0, 1000, 50);
      step ();
      sched_stats (model->sched, &stats);
      g_assert_cmpuint (stats.out * 2, <=, stats.servers);
    }
  drain_jobs ();
  model_end ();
}

/* Half of the servers fail 40 % of their requests, at once, so that their places are free sooner
 * than others'. They would get more requests than if servers took turns, although sound servers
 * have capacity; too many fail for all to be taken out. Failures add to the estimated cost of a
 * server. */
static void
partly_failing_servers_get_less (void)
{
  model_begin (SERVERS, 6, false);
  run_load (4, 40, default_mix);
  for (unsigned i = 0; i < SERVERS; i += 2)
    model->servers[i].partly_failing = true;
  unsigned from = model->job_count, failed = 0, asked = 0;
  run_load (6, 60, default_mix);
  drain_jobs ();
  for (unsigned t = 0; t < 3; t++)
    {
      TierCounts got = count_tier (t, from);
      failed += got.failed;
      asked += got.asked;
    }
  g_test_message ("%u of %u failed", failed, asked);
  g_assert_cmpuint (failed * 100, <=, asked * 8); /* 20 if servers take turns */
  model_end ();
}

/* One server of a busy pool begins to fail all new requests at once, while the long streams it
 * already runs end well. It is taken out for failing more than the others. The end of one of
 * these streams must not put it back in use, or callers lose a request each time: the result
 * of a request sent before the server was taken out tells nothing about its present state. */
static void
older_answers_put_no_server_back (void)
{
  model_begin (SERVERS, 6, false);
  run_load (6, 130, default_mix);
  model->servers[0].failing = true;
  unsigned from = model->job_count, failed = 0;
  run_load (6, 130, default_mix);
  drain_jobs ();
  for (unsigned t = 0; t < 3; t++)
    failed += count_tier (t, from).failed;
  g_test_message ("%u failed, taken out %u times, back after %d ms", failed, model->taken_out_count,
                  (int) (MIN (model->min_out_us, FT_SECOND * 60) / FT_MS));
  g_assert_cmpuint (model->taken_out_count, >, 0);
  g_assert_cmpint (model->min_out_us, >=, 300 * FT_MS);
  model_end ();
}

/* One server of a busy pool fails 40 % of its requests, and others fail now and then. If it is
 * taken out for three failures in a row, its places are missing under full load, and callers wait
 * that would more likely than not have had an answer from it. It stays in use for requests for
 * which no other server has a place. */
static void
partly_failing_server_stays (void)
{
  unsigned failed = 0;

  model_begin (SERVERS, 6, false);
  run_load (4, 110, default_mix);
  model->servers[0].partly_failing = true;
  unsigned from = model->job_count;
  run_load (20, 110, default_mix);
  drain_jobs ();
  for (unsigned t = 0; t < 3; t++)
    failed += count_tier (t, from).failed;
  g_test_message ("%u failed, taken out %u times", failed, model->taken_out_count);
  g_assert_cmpuint (model->taken_out_count, <=, 2); /* 7 if three failures in a row take it out */
  g_assert_cmpuint (failed, <=, 20);
  model_end ();
}

/* ---- Connections ---- */

#define OWNERS    200
#define REUSE_MAX (9 * FT_SECOND) /* servers close idle connections after 10 s */

/* Digests of the servers to which an owner has connections, as listed in SchedAsk.kept. */
static unsigned
list_connections (int64_t used_at[SERVERS], uint32_t *kept)
{
  unsigned count = 0;

  for (unsigned i = 0; i < SERVERS; i++)
    if (used_at[i] && model->clock.now - used_at[i] < REUSE_MAX)
      kept[count++] = sched_server_digest (model->servers[i].id);
  return count;
}

typedef struct
{
  unsigned asked, opened;
} Connections;

/* Random owners submit per_s short requests per second, each listing the servers to which it has
 * connections. Counts the requests sent and how many needed a new connection. */
static Connections
run_owners (double seconds, double per_s)
{
  static int64_t used_at[OWNERS][SERVERS];
  Connections out = { 0 };
  unsigned from = model->job_count;

  memset (used_at, 0, sizeof used_at);
  for (int i = 0; i < seconds * 500; i++)
    {
      for (double due = per_s / 500; due > 0 && random_unit () < due; due -= 1)
        {
          uint32_t kept[SERVERS];
          unsigned owner = (unsigned) (random_unit () * OWNERS);
          unsigned count = list_connections (used_at[owner], kept);
          unsigned number = ask_with_connections (2, 1100, 60, kept, count);
          model->jobs[number].owner = owner;
        }
      step ();
      for (unsigned j = from; j < model->job_count; j++)
        {
          Job *job = &model->jobs[j];
          if (job->server < 0 || job->counted)
            continue;
          int64_t *at = &used_at[job->owner][job->server];
          job->counted = true;
          out.asked++;
          out.opened += *at == 0 || model->clock.now - *at > REUSE_MAX;
          *at = model->clock.now;
        }
    }
  return out;
}

/* 200 entries send a request every few seconds each to 12 servers, a third of which are free. If
 * each goes to the server with the earliest expected end, by however little, hardly any goes
 * where its entry has a connection, and nearly every caller waits for a new one. A server to
 * which the entry has a connection is chosen if it is about as good. */
static void
kept_connections_are_preferred (void)
{
  model_begin (SERVERS, 6, true);
  run_load (4, 30, default_mix);
  unsigned from = model->job_count;
  Connections got = run_owners (20, 60);
  drain_jobs ();
  TierCounts counts = count_tier (2, from);
  g_test_message ("%u connections opened for %u requests, %u of %u on time", got.opened, got.asked,
                  counts.in_time, counts.asked);
  g_assert_cmpuint (got.opened * 100, <, got.asked * 40); /* 64 if connections are ignored */
  g_assert_cmpuint (counts.in_time * 100, >=, counts.asked * 99);
  model_end ();
}

/* The same with nearly all places taken: there is no choice among free servers, so nearly every
 * place goes to a request whose entry has no connection there. Among the waiting requests one
 * whose entry is connected goes first, and as many callers are on time. */
static void
connected_requests_go_first (void)
{
  model_begin (SERVERS, 6, true);
  run_load (4, 30, default_mix);
  unsigned from = model->job_count;
  Connections got = run_owners (20, 200);
  drain_jobs ();
  TierCounts counts = count_tier (2, from);
  g_test_message ("%u connections opened for %u requests, %u of %u on time", got.opened, got.asked,
                  counts.in_time, counts.asked);
  g_assert_cmpuint (got.opened * 100, <,
                    got.asked * 30); /* 52 if the request with the earliest due time goes first */
  g_assert_cmpuint (counts.in_time * 100, >=, counts.asked * 99);
  model_end ();
}

/* Servers drop idle connections silently, and each request sent on one is reset; one that must
 * not be sent twice is lost. After the first reset only recently used connections are reused;
 * some time after the last reset all are again. */
static void
idle_connections_are_avoided_after_resets (void)
{
  SchedResult broke = { .outcome = SCHED_FAILED, .broke = true, .conn_idle_us = 3 * FT_SECOND };
  SchedResult new_broke = { .outcome = SCHED_FAILED, .broke = true };

  model_begin (4, 6, false);
  for (unsigned i = 0; i < 4; i++)
    {
      ask (0, 1000, 10);
      g_assert_cmpint (model->max_idle_us, >, 60 * FT_SECOND);
    }
  for (unsigned i = 0; i < 2; i++)
    {
      sched_done (model->sched, 1, i, &broke);
      model->servers[model->jobs[i].server].running--;
      model->jobs[i].done = true;
    }
  for (unsigned i = 0; i < 8; i++)
    {
      ask (0, 1000, 10); /* also on servers where no connection has broken */
      g_assert_cmpint (model->max_idle_us, <, 300 * FT_MS);
    }
  drain_jobs ();
  ask (0, 1000, 10);
  g_assert_cmpint (model->max_idle_us, >, 10 * FT_SECOND);
  drain_jobs ();
  /* If new connections break too, idleness is not the cause. */
  for (unsigned i = 0; i < 3; i++)
    {
      unsigned number = ask (0, 1000, 10);
      sched_done (model->sched, 1, number, i == 0 ? &new_broke : &broke);
      model->servers[model->jobs[number].server].running--;
      model->jobs[number].done = true;
    }
  ask (0, 1000, 10);
  g_assert_cmpint (model->max_idle_us, >, 60 * FT_SECOND);
  drain_jobs ();
  model_end ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/sched/dark", unreachable_servers_are_taken_out);
  g_test_add_func ("/sched/slow_answer", slow_answer_takes_no_server_out);
  g_test_add_func ("/sched/gone", gone_servers_get_nothing);
  g_test_add_func ("/sched/common_failures", common_failures_take_out_few);
  g_test_add_func ("/sched/gray", partly_failing_servers_get_less);
  g_test_add_func ("/sched/stays_out", older_answers_put_no_server_back);
  g_test_add_func ("/sched/partly_failing", partly_failing_server_stays);
  g_test_add_func ("/sched/kept", kept_connections_are_preferred);
  g_test_add_func ("/sched/connected_first", connected_requests_go_first);
  g_test_add_func ("/sched/forgotten", idle_connections_are_avoided_after_resets);
  return g_test_run ();
}
