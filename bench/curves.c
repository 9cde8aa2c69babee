/* curves.c - operating curves of the judges of versions: how often a sound version is condemned, a
 * bad one missed, and what callers meet until then. Answers are drawn from seeds on a virtual
 * clock; both ways see the same ones. */
#include "curves.h"
#include "judge.h"

#include <stdio.h>
#include <string.h>

#define ROUTES    5
#define TRIAL_S   6.0 /* with a small share */
#define MOVED_S   3.0 /* with everything, as long as the others could still take it back */
#define SHARE     0.06
#define LOOKS_S   0.05 /* between two looks at the judge */
#define PROBLEM_S 4.0  /* how long a disturbance of all servers lasts */

/* What happens, and whether the version is to blame. */
typedef struct
{
  const char *name;
  bool to_blame;
  double usual;      /* share of bad answers of the version before */
  double worse;      /* of the ordered version beside it */
  double from_s;     /* since when */
  bool one_route;    /* on the first route only */
  bool when_moved;   /* only with everything */
  double one_server; /* share of bad answers of one server of the ordered version */
  double all_for;    /* all servers of both fail so much for PROBLEM_S, from 2 s on */
  double one_usual;  /* the first route's share of bad answers always, of both */
} Case;

static const Case cases[] = {
  { .name = "sound", .usual = 0.005 },
  { .name = "sound, 5 % usual", .usual = 0.05 },
  { .name = "sound, a route at 14 %", .usual = 0.005, .one_usual = 0.14 },
  { .name = "sound, one server fails 45 %", .usual = 0.005, .one_server = 0.45 },
  { .name = "sound, one server fails all", .usual = 0.005, .one_server = 1 },
  { .name = "sound, all fail 45 % for 4 s", .usual = 0.005, .all_for = 0.45 },
  { .name = "bad 15 %", .to_blame = true, .usual = 0.005, .worse = 0.15 },
  { .name = "bad 30 %", .to_blame = true, .usual = 0.005, .worse = 0.3 },
  { .name = "bad 30 %, 5 % usual", .to_blame = true, .usual = 0.05, .worse = 0.3 },
  { .name = "bad 50 %", .to_blame = true, .usual = 0.005, .worse = 0.5 },
  { .name = "bad wholly", .to_blame = true, .usual = 0.005, .worse = 1 },
  { .name = "bad 30 % from 4 s on", .to_blame = true, .usual = 0.005, .worse = 0.3, .from_s = 4 },
  { .name = "bad 50 % on one route",
    .to_blame = true,
    .usual = 0.005,
    .worse = 0.5,
    .one_route = true },
  { .name = "bad 30 % when moved",
    .to_blame = true,
    .usual = 0.005,
    .worse = 0.3,
    .when_moved = true },
  { .name = "bad 30 %, all fail 45 % for 4 s",
    .to_blame = true,
    .usual = 0.005,
    .worse = 0.3,
    .all_for = 0.45 },
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
  double rate; /* requests a second */
  unsigned servers;
} Size;

typedef struct
{
  bool condemned;
  unsigned exposed; /* answers of the ordered version until then */
  double at_s;
} Outcome;

static double
bad_share (const Case *one, bool ordered, unsigned route, unsigned server, double at, bool moved)
{
  bool problem = one->all_for > 0 && at >= 2 && at < 2 + PROBLEM_S;
  double share = one->one_usual > 0 && route == 1 ? one->one_usual : one->usual;

  if (ordered && one->worse > 0 && at >= one->from_s && (!one->one_route || route == 1)
      && (!one->when_moved || moved))
    share = 1 - (1 - share) * (1 - one->worse);
  if (ordered && one->one_server > 0 && server == 1)
    share = 1 - (1 - share) * (1 - one->one_server);
  if (problem)
    share = 1 - (1 - share) * (1 - one->all_for);
  return share;
}

static Outcome
play (const Case *one, const Size *size, JudgeMethod way, guint32 seed)
{
  CurveClock clock = { { &clock_ops }, 0 };
  GRand *rand = g_rand_new_with_seed (seed);
  Judge *judge = judge_new (&clock.base, way);
  Outcome out = { 0 };
  double at = 0, looked_at = 0, moved_at = TRIAL_S, end = TRIAL_S + MOVED_S;

  judge_set_servers (judge, size->servers);
  while (at < end && !out.condemned)
    {
      JudgeResult facts;
      at += 1 / size->rate;
      bool moved = at >= moved_at;
      bool ordered = moved || g_rand_double (rand) < SHARE;
      unsigned route = 1 + (unsigned) g_rand_int_range (rand, 0, ROUTES);
      unsigned used = moved ? size->servers : MIN (size->servers, 4);
      unsigned server = 1 + (unsigned) g_rand_int_range (rand, 0, (gint32) used);
      bool bad = g_rand_double (rand) < bad_share (one, ordered, route, server, at, moved);
      JudgeAnswer answer = { route, ordered ? server : 1000 + server, ordered, bad };
      clock.now = (int64_t) (at * 1e6);
      judge_add_answer (judge, &answer);
      out.exposed += ordered;
      if (at - looked_at < LOOKS_S)
        continue;
      looked_at = at;
      judge_get_result (judge, &facts);
      out.condemned = facts.suspicion >= 1;
    }
  out.at_s = at;
  judge_free (judge);
  g_rand_free (rand);
  return out;
}

static void
report_case (const Case *one, const Size *size, unsigned seeds)
{
  static const char *const ways[] = { "sequential", "windows" };

  for (JudgeMethod way = JUDGE_CUSUM; way <= JUDGE_WINDOW; way++)
    {
      unsigned condemned = 0, in_trial = 0;
      double exposed = 0, at = 0;
      for (unsigned seed = 1; seed <= seeds; seed++)
        {
          Outcome out = play (one, size, way, seed);
          condemned += out.condemned;
          in_trial += out.condemned && out.at_s < TRIAL_S;
          if (out.condemned)
            {
              exposed += out.exposed;
              at += out.at_s;
            }
        }
      printf ("| %s | %.0f/s, %u | %s | %.1f %% | %.1f %% | %.0f | %.1f s |\n", one->name,
              size->rate, size->servers, ways[way], 100.0 * condemned / seeds,
              100.0 * in_trial / seeds, condemned ? exposed / condemned : 0,
              condemned ? at / condemned : 0);
    }
}

int
curves_report (unsigned seeds)
{
  static const Size sizes[] = { { 300, 90 }, { 60, 3 }, { 20, 2 } };

  printf (
      "Judges of versions, %u seeds each: %g s of trial with %g of the requests, then %g s with\n"
      "all of them. Condemned is false for a sound version, and wanted for a bad one.\n\n"
      "| version | requests, servers | way | condemned | in the trial | answers until then | after "
      "|\n"
      "| --- | --- | --- | --- | --- | --- | --- |\n",
      seeds, TRIAL_S, SHARE, MOVED_S);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    for (unsigned j = 0; j < G_N_ELEMENTS (sizes); j++)
      report_case (&cases[i], &sizes[j], seeds);
  return 0;
}
