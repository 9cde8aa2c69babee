/* org.h - per-pool state of an organisation: queues, rate limits and answer lengths; private to
 * org.c and pool.c. */
#ifndef ORG_H
#define ORG_H

#include "foxtail.h"

typedef struct Org Org;

/* Waiting requests of one organisation and tier. */
typedef struct
{
  FtHeapNode heap; /* in Tier.active by finish, while requests wait */
  struct cds_list_head waiting;
  unsigned count;
  double finish; /* virtual finish time of the last granted request */
  double work;   /* sum over the waiting requests, ms */
  Org *org;
} OrgQueue;

typedef struct
{
  double level; /* available units; negative after a charge above the level */
  int64_t filled_at;
} OrgBucket;

struct Org
{
  char *name;
  double weight;
  FtLimits limits;
  unsigned active; /* waiting, running and paused requests */
  OrgBucket requests, tokens;
  OrgQueue queue[FT_TIERS + 1];
  GHashTable *lengths; /* class -> double *: moving average of the answer length in tokens */
};

Org *org_new (const char *name, int64_t now);
void org_free (void *org);
/* Checks the limits for a request of this many tokens. If they permit it, charges it and returns
 * FT_REASON_NONE; otherwise sets *wait_ms, when to retry, and rule, the limit as text. */
FtReason org_admit (Org *org, double tokens, int64_t now, int64_t *wait_ms, char *rule,
                    size_t rule_size);
/* Charges tokens in addition; negative: refunds them. */
void org_charge_tokens (Org *org, double tokens);
/* Expected answer length in tokens, from earlier answers of the organisation in the class. */
double org_expected_tokens (Org *org, const char *class_name);
/* Updates the expected length with a complete answer of tokens. */
void org_record_answer (Org *org, const char *class_name, unsigned tokens);

#endif
