/* budget.h - limits the retries per service; private to the library and its shells. */
#ifndef BUDGET_H
#define BUDGET_H

#include "foxtail.h"

typedef struct RetryBudget RetryBudget;

typedef struct
{
  double ratio;      /* retries per request for a service, over all instances */
  double slack;      /* retries allowed in addition, over all instances */
  int64_t window_us; /* both hold in any window of this length */
} BudgetConf;

RetryBudget *budget_new (FtClock *clock, const BudgetConf *conf);
void budget_free (RetryBudget *budget);
/* Sets this instance's share of the slack, 0 to 1; initially 1. */
void budget_set_share (RetryBudget *budget, double share);
/* Counts a request for the service that a caller sent to this instance. */
void budget_count_request (RetryBudget *budget, const char *service);
/* Takes one retry from the budget. False: the budget is used up. */
bool budget_take (RetryBudget *budget, const char *service);

#endif
