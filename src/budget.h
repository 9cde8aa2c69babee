/* budget.h - how many requests a service may be sent again; private to the library and its
 * shells. */
#ifndef BUDGET_H
#define BUDGET_H

#include "foxtail.h"

typedef struct RetryBudget RetryBudget;

typedef struct
{
  double ratio;      /* of the requests for a service, over all instances */
  double slack;      /* and so many more, over all instances */
  int64_t window_us; /* in any span of this length */
} BudgetConf;

RetryBudget *budget_new (FtClock *clock, const BudgetConf *conf);
void budget_free (RetryBudget *budget);
/* This instance's part of the slack, 0 to 1. */
void budget_set_share (RetryBudget *budget, double share);
/* A caller's request for the service came here. */
void budget_count_request (RetryBudget *budget, const char *service);
/* May one be sent once more? Counts it if so. */
bool budget_take (RetryBudget *budget, const char *service);

#endif
