/* judge.c - a version is bad if more of its answers are bad than of the one before at the same
 * time.
 *
 * Failure: a version fails a part of its requests, answers them several times slower, does so only
 * later, or on one route only. Symptom: whoever moves all requests to it because its servers are up
 * makes every caller meet it. So its answers are compared, over all routes and on each.
 *
 * Two ways. The sequential one adds up, answer by answer, how much likelier each is if the version
 * makes WORSE more of the answers bad than if it makes as many bad as the one before does of late;
 * the sum never goes below nothing, so that a version that turns bad later is seen as soon as one
 * that always was (a CUSUM of likelihood ratios). The other compares both shares over a window of
 * the last seconds. The first needs fewer answers for the same false alarms.
 *
 * What falls on one server is not the version's fault: a server may be slow, fail a part, or stand
 * behind a lossy path, of either version. As long as the version has two live servers, evidence of
 * one counts for no more than ONE_SERVER of what condemns.
 */
#include "judge.h"

#include <math.h>
#include <string.h>

/* Tuning; each row with its reason. */
#define WORSE      0.25  /* more of the answers that the version before answered well */
#define LEAST_BAD  0.02  /* share taken to be bad anyway: single failures are no evidence */
#define MOST_BAD   0.75  /* above it the version before tells little */
#define CONDEMNS   10.0  /* log of the odds, with a thousand answers to look at */
#define ONE_SERVER 0.6   /* part of it that one server can bring about */
#define SPAN_US    2.5e6 /* over which the share of the version before is averaged ... */
#define SPAN_SHORT                                                                                 \
  0.4e6 /* ... or over this one, if it is worse there: a fault of all servers begins */
#define STALE        (1 * FT_SECOND) /* without answers of the version before that share says nothing */
#define PRIOR        8.0 /* answers like those of all routes that a route's own are added to */
#define WINDOW       (4 * FT_SECOND) /* of the other way */
#define WINDOW_LEAST 20              /* answers of the ordered version in it */
#define WINDOW_SIGMA 3.5             /* standard deviations between both shares */
#define ANSWERS_KEPT 4096

/* The share of bad answers of late: each answer's weight decays. */
typedef struct
{
  double answers, bad;
  double lately, bad_lately; /* the same over SPAN_SHORT */
  int64_t at;
} Share;

/* Answers of one route, or of all. */
typedef struct
{
  unsigned route;
  Share before, after;
  double sum;          /* evidence since it was nothing last */
  GHashTable *brought; /* server: double *, its part of sum */
} Group;

typedef struct
{
  JudgeAnswer answer;
  int64_t at;
} Kept;

struct Judge
{
  FtClock *clock;
  JudgeMethod way;
  Group all;
  GPtrArray *routes; /* Group */
  GQueue window;     /* Kept, oldest first; of JUDGE_WINDOW */
  unsigned answers, bad, servers;
};

static void
share_add (Share *share, bool bad, int64_t now)
{
  double kept = exp (-(double) (now - share->at) / SPAN_US);
  double kept_lately = exp (-(double) (now - share->at) / SPAN_SHORT);

  share->lately = share->lately * kept_lately + 1;
  share->bad_lately = share->bad_lately * kept_lately + bad;
  share->answers = share->answers * kept + 1;
  share->bad = share->bad * kept + bad;
  share->at = now;
}

static double
share_of (const Share *share)
{
  return share->answers > 0 ? share->bad / share->answers : 0;
}

/* The share of the version before on the route, filled up with that of all routes where the route
 * has few answers. Once everything has moved it has none, and the share stays what it was. */
static double
expected (const Judge *judge, const Group *group, int64_t now)
{
  const Share *all = &judge->all.before, *own = &group->before;
  double usual = (own->bad + PRIOR * share_of (all)) / (own->answers + PRIOR);
  double all_lately = all->bad_lately / MAX (all->lately, 1);
  double lately = (own->bad_lately + PRIOR * all_lately) / (own->lately + PRIOR);

  if (now - all->at > STALE)
    lately = 0;
  return CLAMP (MAX (usual, lately), LEAST_BAD, MOST_BAD);
}

static void
group_clear (Group *group)
{
  group->sum = 0;
  g_hash_table_remove_all (group->brought);
}

static void
add_evidence (const Judge *judge, Group *group, const JudgeAnswer *answer, int64_t now)
{
  double sound = expected (judge, group, now), worse = sound + WORSE * (1 - sound);
  double step = answer->bad ? log (worse / sound) : log ((1 - worse) / (1 - sound));
  gpointer key = GUINT_TO_POINTER (answer->server);

  group->sum += step;
  if (group->sum <= 0)
    {
      group_clear (group);
      return;
    }
  double *part = g_hash_table_lookup (group->brought, key);
  if (part == NULL)
    {
      part = g_new0 (double, 1);
      g_hash_table_insert (group->brought, key, part);
    }
  *part += step;
}

/* The evidence, as a part of what condemns, with no server's beyond its bound. */
static double
suspicion (const Judge *judge, const Group *group)
{
  double most = judge->servers > 1 ? ONE_SERVER * CONDEMNS : CONDEMNS;
  double sum = group->sum;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, group->brought);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    sum -= MAX (0, *(double *) value - most);
  return MAX (0, sum / CONDEMNS);
}

/* ---- Groups ---- */

static void
group_init (Group *group, unsigned route)
{
  group->route = route;
  group->brought = g_hash_table_new_full (NULL, NULL, NULL, g_free);
}

static void
group_free (void *data)
{
  Group *group = data;

  g_hash_table_unref (group->brought);
  g_free (group);
}

static Group *
group_of (Judge *judge, unsigned route)
{
  for (unsigned i = 0; i < judge->routes->len; i++)
    {
      Group *group = judge->routes->pdata[i];
      if (group->route == route)
        return group;
    }
  Group *group = g_new0 (Group, 1);
  group_init (group, route);
  g_ptr_array_add (judge->routes, group);
  return group;
}

static void
take (Judge *judge, Group *group, const JudgeAnswer *answer, int64_t now)
{
  if (answer->ordered)
    add_evidence (judge, group, answer, now);
  share_add (answer->ordered ? &group->after : &group->before, answer->bad, now);
}

/* ---- The way by windows ---- */

typedef struct
{
  unsigned answers[2], bad[2]; /* [1]: of the ordered version */
} Tally;

static double
window_suspicion (const Tally *tally)
{
  double n0 = tally->answers[0], n1 = tally->answers[1];

  if (n1 < WINDOW_LEAST || n0 < 1)
    return 0;
  double p0 = tally->bad[0] / n0, p1 = tally->bad[1] / n1;
  double p = MAX ((tally->bad[0] + tally->bad[1]) / (n0 + n1), LEAST_BAD);
  double sigma = sqrt (p * (1 - p) * (1 / n0 + 1 / n1));
  return MAX (0, (p1 - p0) / (WINDOW_SIGMA * sigma));
}

static void
window_facts (const Judge *judge, unsigned route, JudgeResult *facts)
{
  Tally tally = { 0 };

  for (const GList *item = judge->window.head; item; item = item->next)
    {
      const Kept *kept = item->data;
      if (route && kept->answer.route != route)
        continue;
      tally.answers[kept->answer.ordered]++;
      tally.bad[kept->answer.ordered] += kept->answer.bad;
    }
  double found = window_suspicion (&tally);
  if (found <= facts->suspicion)
    return;
  facts->suspicion = found;
  facts->route = route;
}

static void
keep (Judge *judge, const JudgeAnswer *answer, int64_t now)
{
  Kept kept = { *answer, now };

  g_queue_push_tail (&judge->window, g_memdup2 (&kept, sizeof kept));
  while (judge->window.length > ANSWERS_KEPT
         || ((const Kept *) judge->window.head->data)->at < now - WINDOW)
    g_free (g_queue_pop_head (&judge->window));
}

/* ---- Interface ---- */

Judge *
judge_new (FtClock *clock, JudgeMethod way)
{
  Judge *judge = g_new0 (Judge, 1);

  judge->clock = clock;
  judge->way = way;
  group_init (&judge->all, 0);
  judge->routes = g_ptr_array_new_with_free_func (group_free);
  g_queue_init (&judge->window);
  return judge;
}

void
judge_free (Judge *judge)
{
  if (judge == NULL)
    return;
  g_hash_table_unref (judge->all.brought);
  g_ptr_array_unref (judge->routes);
  g_queue_clear_full (&judge->window, g_free);
  g_free (judge);
}

void
judge_resume (Judge *judge, unsigned answers, unsigned bad, double suspected)
{
  judge->answers = answers;
  judge->bad = bad;
  judge->all.sum = suspected * CONDEMNS;
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
  if (judge->way == JUDGE_WINDOW)
    keep (judge, answer, now);
  take (judge, &judge->all, answer, now);
  take (judge, group_of (judge, answer->route), answer, now);
}

static void
note_group (const Judge *judge, const Group *group, JudgeResult *facts)
{
  double found = suspicion (judge, group);

  if (found <= facts->suspicion && group != &judge->all)
    return;
  facts->suspicion = found;
  facts->route = group->route;
  facts->before = share_of (&group->before);
  facts->after = share_of (&group->after);
}

void
judge_get_result (Judge *judge, JudgeResult *facts)
{
  *facts = (JudgeResult){ .answers = judge->answers,
                          .bad = judge->bad,
                          .before_all = share_of (&judge->all.before),
                          .after_all = share_of (&judge->all.after) };
  if (judge->way == JUDGE_CUSUM)
    note_group (judge, &judge->all, facts);
  else
    window_facts (judge, 0, facts);
  for (unsigned i = 0; i < judge->routes->len; i++)
    {
      const Group *group = judge->routes->pdata[i];
      if (judge->way == JUDGE_CUSUM)
        note_group (judge, group, facts);
      else
        window_facts (judge, group->route, facts);
    }
}
