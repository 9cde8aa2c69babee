/* reuse.c - a plain service before hundreds of instances that each keep a few connections and ask
 * rarely. */
#include "clock.h"
#include "scheduler.h"

#include <stdio.h>
#include <string.h>

#define SERVERS 60
#define OWNERS  300
#define JOBS    12000
#define EVERY   (FT_SECOND / 240) /* between two requests: four fifths of a second for each owner */
#define KEPT    (4 * FT_SECOND)   /* a connection is kept so long after its last use */
#define SLOTS   6
#define FAILS   40 /* one in so many requests fails on whatever server */

typedef struct
{
  unsigned owner, server, route;
  int64_t end_at;
  bool done;
} Work;

static TestClock clock_;
static uint64_t state;
static Work works[JOBS];
static unsigned asked;
static int64_t used_at[OWNERS][SERVERS];
static double speeds[SERVERS];
static const double lengths[] = { 7e3, 7e3, 7e3, 30e3 }; /* of kinds of requests, microseconds */

static double
draw (void)
{
  state = state * 6364136223846793005u + 1442695040888963407u;
  return (double) (state >> 11) / 9007199254740992.0;
}

static void
on_grant (void *host, uint64_t owner, uint64_t request, const char *org, const char *id,
          int64_t max_idle_us)
{
  Work *work = &works[request];

  (void) host;
  (void) owner;
  (void) org;
  (void) max_idle_us;
  work->server = (unsigned) atoi (id + 1);
  double noise = 0.9 + 0.2 * draw ();
  work->end_at = clock_.now + (int64_t) (2e3 + lengths[work->route] * speeds[work->server] * noise);
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
on_believes (void *host, const char *server, bool out, const char *why, int64_t for_us)
{
  (void) host;
  (void) server;
  (void) out;
  (void) why;
  (void) for_us;
}

static const SchedOps ops = { on_grant, on_refuse, on_unused, on_believes, NULL, NULL };

static Sched *
begin (void)
{
  Sched *sched;
  SchedServer list[SERVERS];
  char ids[SERVERS][8];

  clock_ = test_clock ();
  state = 11;
  asked = 0;
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
kept_by (unsigned owner, uint32_t *kept)
{
  unsigned count = 0;
  char id[8];

  for (unsigned i = 0; i < SERVERS && count < SCHED_CONNECTED_MAX; i++)
    if (used_at[owner][i] && clock_.now - used_at[owner][i] < KEPT)
      {
        snprintf (id, sizeof id, "s%u", i);
        kept[count++] = sched_server_digest (id);
      }
  return count;
}

static void
end_due (Sched *sched)
{
  for (unsigned i = asked > 500 ? asked - 500 : 0; i < asked; i++)
    {
      Work *work = &works[i];
      if (work->done || work->end_at > clock_.now)
        continue;
      SchedResult result = { 0 };
      result.outcome = i % FAILS == 0 ? SCHED_FAILED : SCHED_OK;
      result.answer_us = (int64_t) (2e3 + lengths[work->route] * speeds[work->server]);
      work->done = true;
      used_at[work->owner][work->server] = clock_.now;
      sched_done (sched, work->owner, i, &result);
    }
}

/* Asks for one request of a random owner. Returns whether it met a kept connection; *could: its
 * owner had one to a fast server. */
static bool
ask (Sched *sched, bool *could)
{
  uint32_t kept[SCHED_CONNECTED_MAX];
  Work *work = &works[asked];

  *work = (Work){ .owner = 1 + (unsigned) (draw () * (OWNERS - 1)),
                  .route = (unsigned) (draw () * G_N_ELEMENTS (lengths)) };
  unsigned count = kept_by (work->owner, kept);
  *could = false;
  for (unsigned i = 0; i < SERVERS; i++)
    *could = *could
             || (speeds[i] < 1 && used_at[work->owner][i]
                 && clock_.now - used_at[work->owner][i] < KEPT);
  SchedAsk out = { .owner = work->owner,
                   .request = asked++,
                   .service = "s",
                   .org = "o",
                   .route = 100 + work->route,
                   .aim_at = clock_.now + 200 * FT_MS,
                   .limit_at = clock_.now + FT_SECOND,
                   .end_at = clock_.now + FT_SECOND,
                   .kept = kept,
                   .kept_count = count };
  sched_ask (sched, &out);
  int64_t used = used_at[work->owner][work->server];
  return used && clock_.now - used < KEPT;
}

/* A server that had failed one request was avoided for seconds, and one request in forty fails on
 * whatever server: most went to one of the few that had not failed lately, over a new connection.
 */
static void
connections_are_used_again (void)
{
  Sched *sched = begin ();
  unsigned could = 0, met = 0;

  for (unsigned i = 0; i < JOBS; i++)
    {
      bool possible;
      clock_.now += EVERY;
      end_due (sched);
      bool kept = ask (sched, &possible);
      if (i < JOBS / 4) /* speeds are learned */
        continue;
      could += possible;
      met += possible && kept;
    }
  g_test_message ("%u of %u met a connection", met, could);
  g_assert_cmpuint (could, >, JOBS / 4);
  g_assert_cmpuint (met * 10, >=, could * 9);
  sched_free (sched);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/reuse/failures", connections_are_used_again);
  return g_test_run ();
}
