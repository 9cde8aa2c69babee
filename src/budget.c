/* budget.c - a retry budget from a ratio of the instance's own traffic and its share of the slack.
 *
 * If every instance retried all requests that a failing service loses, the retries would keep the
 * service down. The budgets of all instances together stay within the limit without any
 * communication, since each counts only requests that callers sent to it.
 */
#include "budget.h"

#include <string.h>

#define SLOTS      16   /* a window is counted in 16 slots, so it is exact to 1/16 of its length */
#define RATIO_USED 0.85 /* of the ratio; the rest covers requests at the window's edges */
#define SLACK_USED 0.7  /* of the slack; the rest covers a wrong number of instances */

typedef struct
{
  int64_t time_slot[SLOTS]; /* number of the time slot that the counts belong to */
  unsigned requests[SLOTS], retries[SLOTS];
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
  int64_t time_slot = ft_clock_now (budget->clock) / (budget->conf.window_us / SLOTS);

  if (counts == NULL)
    {
      counts = g_new0 (Counts, 1);
      g_hash_table_insert (budget->services, g_strdup (service), counts);
    }
  *slot = (unsigned) (time_slot % SLOTS);
  if (counts->time_slot[*slot] != time_slot)
    {
      counts->time_slot[*slot] = time_slot;
      counts->requests[*slot] = counts->retries[*slot] = 0;
    }
  return counts;
}

void
budget_count_request (RetryBudget *budget, const char *service)
{
  unsigned slot;
  Counts *counts = counts_of (budget, service, &slot);

  counts->requests[slot]++;
}

bool
budget_take (RetryBudget *budget, const char *service)
{
  unsigned slot, requests = 0, retries = 0;
  Counts *counts = counts_of (budget, service, &slot);
  int64_t oldest = counts->time_slot[slot] - SLOTS;

  for (unsigned i = 0; i < SLOTS; i++)
    if (counts->time_slot[i] > oldest)
      {
        requests += counts->requests[i];
        retries += counts->retries[i];
      }
  double limit = budget->conf.ratio * RATIO_USED * requests
                 + budget->conf.slack * SLACK_USED * budget->share;
  if (retries + 1 > limit)
    return false;
  counts->retries[slot]++;
  return true;
}
