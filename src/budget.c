/* budget.c - repeats are paid from a part of an instance's own traffic and its part of the slack.
 *
 * Failure: every instance repeats what a failing service loses. Symptom: the repeats keep the
 * service down. The sum of all instances' budgets stays below the limit without a word between
 * them, since each counts only requests that callers sent to it.
 */
#include "budget.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define SLOTS      16   /* spans of a window that are counted apart: the edge is 1/16 of it wide */
#define RATIO_USED 0.85 /* of the ratio; the rest covers requests at the window's edges */
#define SLACK_USED 0.7  /* of the slack; the rest covers a wrong number of instances */

typedef struct
{
  int64_t span[SLOTS]; /* number of the span that a count is of */
  unsigned asked[SLOTS], repeated[SLOTS];
} Counts;

struct RetryBudget
{
  FtClock *clock;
  BudgetConf conf;
  double share;
  GHashTable *services; /* name: Counts */
};

RetryBudget *
budget_new (FtClock *clock, const BudgetConf *conf)
{
  RetryBudget *budget = g_new0 (RetryBudget, 1);

  budget->clock = clock;
  budget->conf = *conf;
  budget->share = 1;
  budget->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return budget;
}

void
budget_free (RetryBudget *budget)
{
  if (budget == NULL)
    return;
  g_hash_table_unref (budget->services);
  g_free (budget);
}

void
budget_set_share (RetryBudget *budget, double share)
{
  budget->share = share;
}

static Counts *
counts_of (RetryBudget *budget, const char *service, unsigned *slot)
{
  Counts *counts = g_hash_table_lookup (budget->services, service);
  int64_t span = ft_clock_now (budget->clock) / (budget->conf.window_us / SLOTS);

  if (counts == NULL)
    {
      counts = g_new0 (Counts, 1);
      g_hash_table_insert (budget->services, g_strdup (service), counts);
    }
  *slot = (unsigned) (span % SLOTS);
  if (counts->span[*slot] != span)
    {
      counts->span[*slot] = span;
      counts->asked[*slot] = counts->repeated[*slot] = 0;
    }
  return counts;
}

void
budget_count_request (RetryBudget *budget, const char *service)
{
  unsigned slot;
  Counts *counts = counts_of (budget, service, &slot);

  counts->asked[slot]++;
}

bool
budget_take (RetryBudget *budget, const char *service)
{
  unsigned slot, asked = 0, repeated = 0;
  Counts *counts = counts_of (budget, service, &slot);
  int64_t oldest = counts->span[slot] - SLOTS;

  for (unsigned i = 0; i < SLOTS; i++)
    if (counts->span[i] > oldest)
      {
        asked += counts->asked[i];
        repeated += counts->repeated[i];
      }
  double most
      = budget->conf.ratio * RATIO_USED * asked + budget->conf.slack * SLACK_USED * budget->share;
  if (repeated + 1 > most)
    return false;
  counts->repeated[slot]++;
  return true;
}
