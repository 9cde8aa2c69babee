/* judge.c - decides whether the target version of a roll-out is bad: whether more of its answers
 * are bad than those of the previous version at the same time.
 *
 * A bad version may fail some of its requests or answer them several times more slowly, perhaps
 * only after a while or only on one route. If all requests moved to it because its servers are up,
 * every caller would be affected. The answers of both versions are therefore compared, over all
 * routes and for each route.
 *
 * There are two methods. JUDGE_CUSUM adds up, answer by answer, the log-likelihood ratio of
 * two hypotheses: that the target version makes a part ASSUMED_INCREASE of the otherwise good
 * answers bad, and that it has the recent bad share of the previous version. The sum never falls
 * below 0, so a version that turns bad later is detected as quickly as one that was bad from the
 * start (CUSUM). JUDGE_WINDOW compares the bad shares of both versions over the last seconds. The
 * first method needs fewer answers at the same rate of false alarms.
 *
 * A fault of one server is not a fault of the version: a server of either version may be slow,
 * fail some requests or be behind a lossy path. While the target version has at least two live
 * servers, the evidence from one server counts for at most ONE_SERVER_MAX of the threshold.
 */
#include "judge.h"

#include <math.h>
#include <string.h>

/* Assumed part of the otherwise good answers that a bad version fails. */
#define ASSUMED_INCREASE 0.25
/* Minimum expected share: single failures are no evidence. */
#define BAD_SHARE_MIN 0.02
/* Maximum expected share: above it the previous version's answers say little. */
#define BAD_SHARE_MAX 0.75
/* Log-likelihood ratio at which the version is bad, for a run of about a thousand answers. */
#define THRESHOLD 10.0
/* Part of the threshold that the answers of one server can reach. */
#define ONE_SERVER_MAX 0.6
/* Time constant of the previous version's average. */
#define LONG_SPAN_US 2.5e6
/* A second, shorter time constant; the worse average counts, so that a fault that begins on all
 * servers is detected at once. */
#define SHORT_SPAN_US 0.4e6
/* After this long without answers of the previous version, the short average is ignored. */
#define BASELINE_STALE (1 * FT_SECOND)
/* Weight, in answers, of the average over all routes when estimating that of one route. */
#define PRIOR_ANSWERS 8.0
/* Length of the window of JUDGE_WINDOW. */
#define WINDOW (4 * FT_SECOND)
/* Least answers of the target version in the window. */
#define WINDOW_ANSWERS_MIN 20
/* Standard deviations between both shares at which the version is bad. */
#define WINDOW_SIGMA       3.5
#define WINDOW_ANSWERS_MAX 4096

/* Exponentially decaying average of the share of bad answers. */
typedef struct
{
  double answers, bad;
  double short_answers, short_bad; /* the same over SHORT_SPAN_US */
  int64_t at;
} BadShare;

/* Statistics of one route, or of all routes together. */
typedef struct
{
  unsigned route;
  BadShare before, after;
  double sum;            /* CUSUM of the log-likelihood ratios */
  GHashTable *by_server; /* server digest -> double *, its part of sum */
} RouteStats;

typedef struct
{
  JudgeAnswer answer;
  int64_t at;
} WindowAnswer;

struct Judge
{
  FtClock *clock;
  JudgeMethod method;
  RouteStats all;
  GPtrArray *routes; /* RouteStats */
  GQueue window;     /* WindowAnswer, oldest first; used by JUDGE_WINDOW */
  unsigned answers, bad, servers;
};

static void
share_add (BadShare *share, bool bad, int64_t now)
{
  double decay = exp (-(double) (now - share->at) / LONG_SPAN_US);
  double short_decay = exp (-(double) (now - share->at) / SHORT_SPAN_US);

  share->short_answers = share->short_answers * short_decay + 1;
  share->short_bad = share->short_bad * short_decay + bad;
  share->answers = share->answers * decay + 1;
  share->bad = share->bad * decay + bad;
  share->at = now;
}

static double
bad_share (const BadShare *share)
{
  return share->answers > 0 ? share->bad / share->answers : 0;
}

/* The expected share of bad answers on the route: that of the previous version, with the average
 * over all routes filling in where the route has few answers. Once all requests have moved, the
 * previous version gets no answers and its last share is kept. */
static double
expected_bad_share (const Judge *judge, const RouteStats *stats, int64_t now)
{
  const BadShare *all = &judge->all.before, *own = &stats->before;
  double long_share = (own->bad + PRIOR_ANSWERS * bad_share (all)) / (own->answers + PRIOR_ANSWERS);
  double all_short_share = all->short_bad / MAX (all->short_answers, 1);
  double short_share
      = (own->short_bad + PRIOR_ANSWERS * all_short_share) / (own->short_answers + PRIOR_ANSWERS);

  if (now - all->at > BASELINE_STALE)
    short_share = 0;
  return CLAMP (MAX (long_share, short_share), BAD_SHARE_MIN, BAD_SHARE_MAX);
}

static void
stats_clear (RouteStats *stats)
{
  stats->sum = 0;
  g_hash_table_remove_all (stats->by_server);
}

static void
add_evidence (const Judge *judge, RouteStats *stats, const JudgeAnswer *answer, int64_t now)
{
  double expected = expected_bad_share (judge, stats, now),
         if_bad = expected + ASSUMED_INCREASE * (1 - expected);
  double log_ratio = answer->bad ? log (if_bad / expected) : log ((1 - if_bad) / (1 - expected));
  gpointer key = GUINT_TO_POINTER (answer->server);

  stats->sum += log_ratio;
  if (stats->sum <= 0)
    {
      stats_clear (stats);
      return;
    }
  double *server_sum = g_hash_table_lookup (stats->by_server, key);
  if (server_sum == NULL)
    {
      server_sum = g_new0 (double, 1);
      g_hash_table_insert (stats->by_server, key, server_sum);
    }
  *server_sum += log_ratio;
}

/* The evidence as a fraction of the threshold, with the part of each server limited. */
static double
suspicion (const Judge *judge, const RouteStats *stats)
{
  double server_max = judge->servers > 1 ? ONE_SERVER_MAX * THRESHOLD : THRESHOLD;
  double sum = stats->sum;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, stats->by_server);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    sum -= MAX (0, *(double *) value - server_max);
  return MAX (0, sum / THRESHOLD);
}

/* ---- Statistics of routes ---- */

static void
stats_init (RouteStats *stats, unsigned route)
{
  stats->route = route;
  stats->by_server = g_hash_table_new_full (NULL, NULL, NULL, g_free);
}

static void
stats_free (void *data)
{
  RouteStats *stats = data;

  g_hash_table_unref (stats->by_server);
  g_free (stats);
}

static RouteStats *
stats_of_route (Judge *judge, unsigned route)
{
  for (unsigned i = 0; i < judge->routes->len; i++)
    {
      RouteStats *stats = judge->routes->pdata[i];
      if (stats->route == route)
        return stats;
    }
  RouteStats *stats = g_new0 (RouteStats, 1);
  stats_init (stats, route);
  g_ptr_array_add (judge->routes, stats);
  return stats;
}

static void
add_to_stats (Judge *judge, RouteStats *stats, const JudgeAnswer *answer, int64_t now)
{
  if (answer->ordered)
    add_evidence (judge, stats, answer, now);
  share_add (answer->ordered ? &stats->after : &stats->before, answer->bad, now);
}

/* ---- JUDGE_WINDOW ---- */

typedef struct
{
  unsigned answers[2], bad[2]; /* [0]: previous version, [1]: target version */
} Tally;

static double
window_suspicion (const Tally *tally)
{
  double n0 = tally->answers[0], n1 = tally->answers[1];

  if (n1 < WINDOW_ANSWERS_MIN || n0 < 1)
    return 0;
  double p0 = tally->bad[0] / n0, p1 = tally->bad[1] / n1;
  double p = MAX ((tally->bad[0] + tally->bad[1]) / (n0 + n1), BAD_SHARE_MIN);
  double sigma = sqrt (p * (1 - p) * (1 / n0 + 1 / n1));
  return MAX (0, (p1 - p0) / (WINDOW_SIGMA * sigma));
}

static void
update_window_result (const Judge *judge, unsigned route, JudgeResult *result)
{
  Tally tally = { 0 };

  for (const GList *item = judge->window.head; item; item = item->next)
    {
      const WindowAnswer *kept = item->data;
      if (route && kept->answer.route != route)
        continue;
      tally.answers[kept->answer.ordered]++;
      tally.bad[kept->answer.ordered] += kept->answer.bad;
    }
  double found_suspicion = window_suspicion (&tally);
  if (found_suspicion <= result->suspicion)
    return;
  result->suspicion = found_suspicion;
  result->route = route;
}

static void
window_add (Judge *judge, const JudgeAnswer *answer, int64_t now)
{
  WindowAnswer kept = { *answer, now };

  g_queue_push_tail (&judge->window, g_memdup2 (&kept, sizeof kept));
  while (judge->window.length > WINDOW_ANSWERS_MAX
         || ((const WindowAnswer *) judge->window.head->data)->at < now - WINDOW)
    g_free (g_queue_pop_head (&judge->window));
}

/* ---- Interface ---- */

Judge *
judge_new (FtClock *clock, JudgeMethod method)
{
  Judge *judge = g_new0 (Judge, 1);

  judge->clock = clock;
  judge->method = method;
  stats_init (&judge->all, 0);
  judge->routes = g_ptr_array_new_with_free_func (stats_free);
  g_queue_init (&judge->window);
  return judge;
}

void
judge_free (Judge *judge)
{
  if (judge == NULL)
    return;
  g_hash_table_unref (judge->all.by_server);
  g_ptr_array_unref (judge->routes);
  g_queue_clear_full (&judge->window, g_free);
  g_free (judge);
}

void
judge_resume (Judge *judge, unsigned answers, unsigned bad, double suspected)
{
  judge->answers = answers;
  judge->bad = bad;
  judge->all.sum = suspected * THRESHOLD;
}

void
judge_set_servers (Judge *judge, unsigned count)
{
  judge->servers = count;
}

void
judge_add_answer (Judge *judge, const JudgeAnswer *answer)
{
  int64_t now = ft_clock_now (judge->clock);

  judge->answers += answer->ordered;
  judge->bad += answer->ordered && answer->bad;
  if (judge->method == JUDGE_WINDOW)
    window_add (judge, answer, now);
  add_to_stats (judge, &judge->all, answer, now);
  add_to_stats (judge, stats_of_route (judge, answer->route), answer, now);
}

static void
update_result (const Judge *judge, const RouteStats *stats, JudgeResult *result)
{
  double found_suspicion = suspicion (judge, stats);

  if (found_suspicion <= result->suspicion && stats != &judge->all)
    return;
  result->suspicion = found_suspicion;
  result->route = stats->route;
  result->before = bad_share (&stats->before);
  result->after = bad_share (&stats->after);
}

void
judge_get_result (Judge *judge, JudgeResult *result)
{
  *result = (JudgeResult){ .answers = judge->answers,
                           .bad = judge->bad,
                           .before_all = bad_share (&judge->all.before),
                           .after_all = bad_share (&judge->all.after) };
  if (judge->method == JUDGE_CUSUM)
    update_result (judge, &judge->all, result);
  else
    update_window_result (judge, 0, result);
  for (unsigned i = 0; i < judge->routes->len; i++)
    {
      const RouteStats *stats = judge->routes->pdata[i];
      if (judge->method == JUDGE_CUSUM)
        update_result (judge, stats, result);
      else
        update_window_result (judge, stats->route, result);
    }
}
