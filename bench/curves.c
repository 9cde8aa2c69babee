/* curves.c - simulates roll-outs on a virtual clock and counts how often the judge rejects a sound
 * version, how often it misses a bad one, and how many answers of a bad version callers get before
 * it is rejected. For the same seed both methods of the judge see the same answers. */
#include "curves.h"
#include "judge.h"

#include <stdio.h>
#include <string.h>

#define ROUTES           5
#define TRIAL_PHASE_S    6.0  /* the target version gets a small share of the requests */
#define FULL_PHASE_S     3.0  /* it gets all of them, and a roll-back is still possible */
#define TRIAL_SHARE      0.06 /* of the requests, in the trial */
#define CHECK_INTERVAL_S 0.05 /* between two readings of the judge's result */
#define OUTAGE_S         4.0  /* duration of a failure that affects all servers */

/* A simulated roll-out. Rates are shares of bad answers. */
typedef struct
{
  const char *name;
  bool is_bad;             /* the target version should be rejected */
  double base_rate;        /* of both versions */
  double added_rate;       /* of the target version, on top of base_rate */
  double bad_from_s;       /* when added_rate starts */
  bool one_route_only;     /* added_rate applies to the first route only */
  bool full_traffic_only;  /* added_rate applies only once the target version gets all requests */
  double one_server_rate;  /* of one server of the target version */
  double outage_rate;      /* of all servers of both versions for OUTAGE_S, from 2 s on */
  double first_route_rate; /* base rate of the first route; 0: base_rate */
} Case;

static const Case cases[] = {
  { .name = "sound", .base_rate = 0.005 },
  { .name = "sound, 5 % usual", .base_rate = 0.05 },
  { .name = "sound, a route at 14 %", .base_rate = 0.005, .first_route_rate = 0.14 },
  { .name = "sound, one server fails 45 %", .base_rate = 0.005, .one_server_rate = 0.45 },
  { .name = "sound, one server fails all", .base_rate = 0.005, .one_server_rate = 1 },
  { .name = "sound, all fail 45 % for 4 s", .base_rate = 0.005, .outage_rate = 0.45 },
  { .name = "bad 15 %", .is_bad = true, .base_rate = 0.005, .added_rate = 0.15 },
  { .name = "bad 30 %", .is_bad = true, .base_rate = 0.005, .added_rate = 0.3 },
  { .name = "bad 30 %, 5 % usual", .is_bad = true, .base_rate = 0.05, .added_rate = 0.3 },
  { .name = "bad 50 %", .is_bad = true, .base_rate = 0.005, .added_rate = 0.5 },
  { .name = "bad wholly", .is_bad = true, .base_rate = 0.005, .added_rate = 1 },
  { .name = "bad 30 % from 4 s on",
    .is_bad = true,
    .base_rate = 0.005,
    .added_rate = 0.3,
    .bad_from_s = 4 },
  { .name = "bad 50 % on one route",
    .is_bad = true,
    .base_rate = 0.005,
    .added_rate = 0.5,
    .one_route_only = true },
  { .name = "bad 30 % when moved",
    .is_bad = true,
    .base_rate = 0.005,
    .added_rate = 0.3,
    .full_traffic_only = true },
  { .name = "bad 30 %, all fail 45 % for 4 s",
    .is_bad = true,
    .base_rate = 0.005,
    .added_rate = 0.3,
    .outage_rate = 0.45 },
};

typedef struct
{
  FtClock base;
  int64_t now;
} CurveClock;

static int64_t
curve_now (FtClock *clock)
{
  return ((CurveClock *) clock)->now;
}

static const FtClockOps clock_ops = { curve_now };

typedef struct
{
  double rate; /* requests per second */
  unsigned servers;
} Size;

typedef struct
{
  bool rejected;
  unsigned exposed; /* answers of the target version until it was rejected */
  double at_s;
} Outcome;

static double
failure_rate (const Case *test_case, bool to_target, unsigned route, unsigned server, double at,
              bool full_traffic)
{
  bool outage = test_case->outage_rate > 0 && at >= 2 && at < 2 + OUTAGE_S;
  double share = test_case->first_route_rate > 0 && route == 1 ? test_case->first_route_rate
                                                               : test_case->base_rate;

  if (to_target && test_case->added_rate > 0 && at >= test_case->bad_from_s
      && (!test_case->one_route_only || route == 1)
      && (!test_case->full_traffic_only || full_traffic))
    share = 1 - (1 - share) * (1 - test_case->added_rate);
  if (to_target && test_case->one_server_rate > 0 && server == 1)
    share = 1 - (1 - share) * (1 - test_case->one_server_rate);
  if (outage)
    share = 1 - (1 - share) * (1 - test_case->outage_rate);
  return share;
}

static Outcome
simulate (const Case *test_case, const Size *size, JudgeMethod method, guint32 seed)
{
  CurveClock clock = { { &clock_ops }, 0 };
  GRand *random = g_rand_new_with_seed (seed);
  Judge *judge = judge_new (&clock.base, method);
  Outcome out = { 0 };
  double at = 0, checked_at = 0, full_at = TRIAL_PHASE_S, end = TRIAL_PHASE_S + FULL_PHASE_S;

  judge_set_servers (judge, size->servers);
  while (at < end && !out.rejected)
    {
      JudgeResult result;
      at += 1 / size->rate;
      bool full_traffic = at >= full_at;
      bool to_target = full_traffic || g_rand_double (random) < TRIAL_SHARE;
      unsigned route = 1 + (unsigned) g_rand_int_range (random, 0, ROUTES);
      unsigned server_count = full_traffic ? size->servers : MIN (size->servers, 4);
      unsigned server = 1 + (unsigned) g_rand_int_range (random, 0, (gint32) server_count);
      bool bad = g_rand_double (random)
                 < failure_rate (test_case, to_target, route, server, at, full_traffic);
      JudgeAnswer answer = { route, to_target ? server : 1000 + server, to_target, bad };
      clock.now = (int64_t) (at * 1e6);
      judge_add_answer (judge, &answer);
      out.exposed += to_target;
      if (at - checked_at < CHECK_INTERVAL_S)
        continue;
      checked_at = at;
      judge_get_result (judge, &result);
      out.rejected = result.suspicion >= 1;
    }
  out.at_s = at;
  judge_free (judge);
  g_rand_free (random);
  return out;
}

static void
report_case (const Case *test_case, const Size *size, unsigned seeds)
{
  static const char *const methods[] = { "sequential", "windows" };

  for (JudgeMethod method = JUDGE_CUSUM; method <= JUDGE_WINDOW; method++)
    {
      unsigned rejected = 0, in_trial = 0;
      double exposed = 0, at = 0;
      for (unsigned seed = 1; seed <= seeds; seed++)
        {
          Outcome out = simulate (test_case, size, method, seed);
          rejected += out.rejected;
          in_trial += out.rejected && out.at_s < TRIAL_PHASE_S;
          if (out.rejected)
            {
              exposed += out.exposed;
              at += out.at_s;
            }
        }
      printf ("| %s | %.0f/s, %u | %s | %.1f %% | %.1f %% | %.0f | %.1f s |\n", test_case->name,
              size->rate, size->servers, methods[method], 100.0 * rejected / seeds,
              100.0 * in_trial / seeds, rejected ? exposed / rejected : 0,
              rejected ? at / rejected : 0);
    }
}

int
curves_report (unsigned seeds)
{
  static const Size sizes[] = { { 300, 90 }, { 60, 3 }, { 20, 2 } };

  printf (
      "Roll-out judge, %u seeds each: %g s of trial with %g of the requests, then %g s with\n"
      "all of them. Rejecting a sound version is a false alarm; a bad one should be rejected.\n\n"
      "| version | requests, servers | method | rejected | in the trial | answers until then | "
      "after |\n"
      "| --- | --- | --- | --- | --- | --- | --- |\n",
      seeds, TRIAL_PHASE_S, TRIAL_SHARE, FULL_PHASE_S);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    for (unsigned j = 0; j < G_N_ELEMENTS (sizes); j++)
      report_case (&cases[i], &sizes[j], seeds);
  return 0;
}
