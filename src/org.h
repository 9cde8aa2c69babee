/* org.h - organisations within a pool: fair queueing, limits, expected lengths; private to org.c
 * and pool.c. */
#ifndef ORG_H
#define ORG_H

#include "foxtail.h"

typedef struct Org Org;

/* One organisation's waiting requests of one tier. */
typedef struct
{
  FtHeapNode heap; /* by virtual start time, while it has waiting requests */
  struct cds_list_head waiting;
  unsigned count;
  double finish; /* virtual time up to which it has been served */
  double work;   /* of its waiting requests, ms */
  Org *org;
} OrgQueue;

typedef struct
{
  double level; /* units left */
  int64_t filled_at;
} OrgBucket;

struct Org
{
  char *name;
  double weight;
  FtLimits limits;
  unsigned active; /* waiting and running */
  OrgBucket requests, tokens;
  OrgQueue queue[FT_TIERS + 1];
  GHashTable *lengths; /* class -> double *: smoothed answer length in tokens */
};

Org *org_new (const char *name, int64_t now);
void org_free (void *org);
/* FT_REASON_NONE when the limits let one more request of tokens pass; then it is charged.
 * *wait_ms: when to come back. */
FtReason org_admit (Org *org, double tokens, int64_t now, int64_t *wait_ms, char *rule,
                    size_t rule_size);
/* Corrects the charge once the true number of tokens is known. */
void org_charge_tokens (Org *org, double tokens);
/* Expected answer length in tokens; learned from what the organisation's class did. */
double org_expected_tokens (Org *org, const char *class_name);
void org_record_answer (Org *org, const char *class_name, unsigned tokens);

#endif
