/* reuse.c - tests of connection reuse: a plain service with hundreds of instances that each have
 * few connections and send few requests. */
#include "clock.h"
#include "scheduler.h"

#include <stdio.h>
#include <string.h>

#define SERVERS          60
#define OWNERS           300
#define JOBS_MAX         12000
#define REQUEST_INTERVAL (FT_SECOND / 240) /* 0.8 requests a second per owner */
#define KEEP_ALIVE       (4 * FT_SECOND)   /* time that an unused connection is kept */
#define SLOTS            6
#define FAILURE_INTERVAL 40 /* one in this many requests fails, whatever its server */

typedef struct
{
  unsigned owner, server, route;
  int64_t end_at;
  bool done;
} Job;

static TestClock clock_;
static uint64_t seed;
static Job jobs[JOBS_MAX];
static unsigned job_count;
static int64_t used_at[OWNERS][SERVERS];
static double speeds[SERVERS];
static const double durations_us[] = { 7e3, 7e3, 7e3, 30e3 }; /* by route */

static double
random_unit (void)
{
  seed = seed * 6364136223846793005u + 1442695040888963407u;
  return (double) (seed >> 11) / 9007199254740992.0;
}

static void
on_grant (void *host, uint64_t owner, uint64_t request, const char *org, const char *id,
          int64_t max_idle_us)
{
  Job *job = &jobs[request];

  (void) host;
  (void) owner;
  (void) org;
  (void) max_idle_us;
  job->server = (unsigned) atoi (id + 1);
  double noise = 0.9 + 0.2 * random_unit ();
  job->end_at
      = clock_.now + (int64_t) (2e3 + durations_us[job->route] * speeds[job->server] * noise);
}

static void
on_refuse (void *host, uint64_t owner, uint64_t request, const SchedRefusal *refusal)
{
  (void) host;
  (void) owner;
  (void) request;
  g_error ("refused: %s", refusal->rule);
}

static void
on_unused (void *host, const char *org, double cost)
{
  (void) host;
  (void) org;
  (void) cost;
}

static void
on_server_state (void *host, const char *server, bool out, const char *why, int64_t for_us)
{
  (void) host;
  (void) server;
  (void) out;
  (void) why;
  (void) for_us;
}

static const SchedOps ops = { on_grant, on_refuse, on_unused, on_server_state, NULL, NULL, NULL };

static Sched *
new_scheduler (void)
{
  Sched *sched;
  SchedServer list[SERVERS];
  char ids[SERVERS][8];

  clock_ = test_clock ();
  seed = 11;
  job_count = 0;
  memset (used_at, 0, sizeof used_at);
  sched = sched_new (&clock_.base, &ops, NULL);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      snprintf (ids[i], sizeof ids[i], "s%u", i);
      speeds[i] = i % 3 == 2 ? 3.0 : 0.68;
      list[i] = (SchedServer){ ids[i], "s", "d", SLOTS, false, 0, NULL };
    }
  sched_set_servers (sched, list, SERVERS);
  return sched;
}

static unsigned
list_connections (unsigned owner, uint32_t *kept)
{
  unsigned count = 0;
  char id[8];

  for (unsigned i = 0; i < SERVERS && count < SCHED_CONNECTED_MAX; i++)
    if (used_at[owner][i] && clock_.now - used_at[owner][i] < KEEP_ALIVE)
      {
        snprintf (id, sizeof id, "s%u", i);
        kept[count++] = sched_server_digest (id);
      }
  return count;
}

static void
finish_due_jobs (Sched *sched)
{
  for (unsigned i = job_count > 500 ? job_count - 500 : 0; i < job_count; i++)
    {
      Job *job = &jobs[i];
      if (job->done || job->end_at > clock_.now)
        continue;
      SchedResult result = { 0 };
      result.outcome = i % FAILURE_INTERVAL == 0 ? SCHED_FAILED : SCHED_OK;
      result.answer_us = (int64_t) (2e3 + durations_us[job->route] * speeds[job->server]);
      job->done = true;
      used_at[job->owner][job->server] = clock_.now;
      sched_done (sched, job->owner, i, &result);
    }
}

/* Submits a request of a random owner. Returns whether it was sent on an open connection.
 * *could: its owner had a connection to a fast server. */
static bool
ask (Sched *sched, bool *could)
{
  uint32_t kept[SCHED_CONNECTED_MAX];
  Job *job = &jobs[job_count];

  *job = (Job){ .owner = 1 + (unsigned) (random_unit () * (OWNERS - 1)),
                .route = (unsigned) (random_unit () * G_N_ELEMENTS (durations_us)) };
  unsigned count = list_connections (job->owner, kept);
  *could = false;
  for (unsigned i = 0; i < SERVERS; i++)
    *could = *could
             || (speeds[i] < 1 && used_at[job->owner][i]
                 && clock_.now - used_at[job->owner][i] < KEEP_ALIVE);
  SchedAsk out = { .owner = job->owner,
                   .request = job_count++,
                   .service = "s",
                   .org = "o",
                   .route = 100 + job->route,
                   .aim_at = clock_.now + 200 * FT_MS,
                   .limit_at = clock_.now + FT_SECOND,
                   .end_at = clock_.now + FT_SECOND,
                   .kept = kept,
                   .kept_count = count };
  sched_ask (sched, &out);
  int64_t used = used_at[job->owner][job->server];
  return used && clock_.now - used < KEEP_ALIVE;
}

/* One request in forty fails, whatever its server. A server must not be avoided for seconds
 * after one failure, or most requests go over new connections to the few servers without a
 * recent failure. */
static void
connections_are_reused (void)
{
  Sched *sched = new_scheduler ();
  unsigned could = 0, reused = 0;

  for (unsigned i = 0; i < JOBS_MAX; i++)
    {
      bool possible;
      clock_.now += REQUEST_INTERVAL;
      finish_due_jobs (sched);
      bool kept = ask (sched, &possible);
      if (i < JOBS_MAX / 4) /* speeds are learned */
        continue;
      could += possible;
      reused += possible && kept;
    }
  g_test_message ("%u of %u used an open connection", reused, could);
  g_assert_cmpuint (could, >, JOBS_MAX / 4);
  g_assert_cmpuint (reused * 10, >=, could * 9);
  sched_free (sched);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/reuse/failures", connections_are_reused);
  return g_test_run ();
}
