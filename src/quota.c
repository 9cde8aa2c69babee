/* quota.c - a token bucket per organisation.
 *
 * If a scheduler dies and its successor does not know what was used, the organisation gets its
 * burst twice in one window or, if the new bucket starts empty, is refused below its limit until
 * the bucket has filled. Each decision therefore reports to the instance that asked how full the
 * bucket is, and an instance that turns to another scheduler passes on its newest report. A
 * scheduler that has not decided for the organisation recently continues from that level. Without a
 * report, as after a restart of all instances, a bucket starts with a part of the margin for
 * accounting errors.
 *
 * A scheduler may hold only a share of each limit; tokens that it grants are charged to its share.
 * If the share grows, the added part is as full as the report says of the bucket elsewhere.
 *
 * Within an organisation's limit, requests of higher rank have priority: requests of lower rank
 * leave a part of the burst to them.
 */
#include "quota.h"

#include <math.h>
#include <stdio.h>

/* Least fill of a new bucket, of the burst: two or three requests, or a fiftieth of what is allowed
 * in a window of 8 s. */
#define START_MIN 0.15
/* Fill of a new bucket, of the margin: all instances may restart twice within a window, and
 * REFILL_TOLERANCE takes a fifth of the margin. */
#define START_MARGIN 0.4
/* Part of the margin that is used with a share below 1; the rest covers errors that the share does
 * not reflect. */
#define MARGIN_USED 0.6
/* Part of the burst that is left to each higher rank: one or two of its requests. */
#define RANK_RESERVE 0.12
#define RANK_MAX     3
/* The bucket is larger and refills faster by this factor, so that nothing within the limit is
 * refused if the caller's clock and the local one differ. */
#define REFILL_TOLERANCE 1.02
/* Debt allowed, of the burst: what may have been granted elsewhere during one or two takeovers. */
#define DEBT_MAX 1.0
/* Time without a decision after which reports of others are more accurate than the local bucket. */
#define IDLE (1 * FT_SECOND)
/* Older reports are ignored, since a bucket fills within one or two seconds. */
#define REPORT_VALID_FOR (2 * FT_SECOND)
#define SHARE_MIN        1e-4 /* one of 10,000 entries; avoids a division by zero */
/* Time constant of QuotaStatus.higher_rank_rate: the time of a burst. */
#define RANK_AVERAGE_US 1e6

typedef struct
{
  double rate, burst;
  double share; /* this scheduler's share of the limit at updated_at */
  double spent; /* tokens used of the share's burst */
  int64_t updated_at;
  double reported;                 /* how full the bucket was elsewhere, 0 to 1, at reported_at */
  int64_t reported_at;             /* 0: no report */
  int64_t decided_at;              /* time of the last decision here */
  int64_t active_since;            /* start of decisions here without a pause longer than IDLE */
  double assumed_spent;            /* tokens that were assumed to be spent at active_since */
  double taken_rate[RANK_MAX + 1]; /* tokens per second taken by each rank, averaged */
  int64_t averages_at;             /* when these averages were updated */
} Bucket;

struct Quota
{
  FtClock *clock;
  double share;
  double overage, slack, window_s; /* margin for accounting errors; window 0: none */
  bool alone;                      /* uses a part of the margin if its share is below 1 */
  GHashTable *buckets;             /* organisation: Bucket */
};

Quota *
quota_new (FtClock *clock)
{
  Quota *quota = g_new0 (Quota, 1);

  quota->clock = clock;
  quota->share = 1;
  quota->buckets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return quota;
}

void
quota_free (Quota *quota)
{
  if (quota == NULL)
    return;
  g_hash_table_unref (quota->buckets);
  g_free (quota);
}

void
quota_set_share (Quota *quota, double share)
{
  quota->share = share;
}

void
quota_set_margin (Quota *quota, double overage, double slack, double window_s, bool alone)
{
  quota->overage = overage;
  quota->slack = slack;
  quota->window_s = window_s;
  quota->alone = alone;
}

static double
margin_of (const Quota *quota, const Bucket *bucket)
{
  return quota->overage * (bucket->rate * quota->window_s + bucket->burst) + quota->slack;
}

/* The shares of entries that are down stay unused, because these may only be cut off from the
 * network. When half of the entries lose power, organisations would be refused far below their
 * limits, so the margin replaces a part of the unused shares. */
static double
share_of (const Quota *quota, const Bucket *bucket)
{
  double allowed = bucket->rate * quota->window_s + bucket->burst;
  double share = MAX (quota->share, SHARE_MIN);

  if (share >= 1 || !quota->alone || quota->window_s <= 0 || allowed <= 0)
    return share;
  return MIN (1, share + MARGIN_USED * margin_of (quota, bucket) / allowed);
}

static double
capacity (const Bucket *bucket)
{
  return bucket->burst * REFILL_TOLERANCE * bucket->share;
}

/* How full a newly added share of the limit is, 0 to 1. */
static double
added_fill (const Quota *quota, const Bucket *bucket, int64_t now)
{
  double since = (double) (now - bucket->reported_at) / 1e6;

  if (bucket->reported_at && now - bucket->reported_at < REPORT_VALID_FOR)
    return MIN (1, bucket->reported + since * bucket->rate / MAX (bucket->burst, 1));
  if (quota->window_s <= 0 || bucket->burst <= 0)
    return START_MIN;
  return CLAMP (START_MARGIN * margin_of (quota, bucket) / bucket->burst, START_MIN, 1);
}

static void
refill (const Quota *quota, Bucket *bucket)
{
  int64_t now = ft_clock_now (quota->clock);
  double refilled
      = (double) (now - bucket->updated_at) / 1e6 * bucket->rate * REFILL_TOLERANCE * bucket->share;
  double share = share_of (quota, bucket);

  bucket->spent = MAX (0, bucket->spent - refilled);
  bucket->updated_at = now;
  if (share < bucket->share)
    bucket->spent *= share / bucket->share;
  else if (share > bucket->share)
    bucket->spent += (1 - added_fill (quota, bucket, now)) * bucket->burst * REFILL_TOLERANCE
                     * (share - bucket->share);
  bucket->share = share;
}

void
quota_set_limit (Quota *quota, const char *org, double rate, double burst)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);

  if (bucket == NULL)
    {
      bucket = g_new0 (Bucket, 1);
      bucket->updated_at = ft_clock_now (quota->clock);
      bucket->rate = rate;
      bucket->burst = burst;
      g_hash_table_insert (quota->buckets, g_strdup (org), bucket);
    }
  refill (quota, bucket);
  bucket->rate = rate;
  bucket->burst = MAX (burst, rate > 0 ? 1 : 0);
  bucket->spent = MIN (bucket->spent, capacity (bucket));
}

/* If the first instance that asks after a takeover has no report of the bucket or an old one, the
 * bucket starts from a guess, and the organisation may be refused within its limit or get its burst
 * twice. A newer report from before the start therefore replaces the guess; what was granted here
 * since stays charged. */
static void
apply_late_report (const Quota *quota, Bucket *bucket)
{
  double spent = (1 - added_fill (quota, bucket, bucket->active_since)) * capacity (bucket);

  bucket->spent = CLAMP (bucket->spent + spent - bucket->assumed_spent, 0,
                         (1 + DEBT_MAX) * capacity (bucket));
  bucket->assumed_spent = spent;
}

void
quota_apply_report (Quota *quota, const char *org, double full, int64_t at)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);
  bool idle = bucket && at - bucket->decided_at > IDLE;

  if (bucket == NULL || at <= bucket->reported_at)
    return;
  refill (quota, bucket);
  bucket->reported = CLAMP (full, 0, 1);
  bucket->reported_at = at;
  if (idle)
    bucket->spent = (1 - added_fill (quota, bucket, bucket->updated_at)) * capacity (bucket);
  else if (at < bucket->active_since)
    apply_late_report (quota, bucket);
}

double
quota_fill_level (Quota *quota, const char *org)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);

  if (bucket == NULL || bucket->rate <= 0)
    return 1;
  refill (quota, bucket);
  return CLAMP (1 - bucket->spent / MAX (capacity (bucket), 1e-9), 0, 1);
}

bool
quota_limited_by_share (Quota *quota, const char *org, double cost, unsigned rank)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);

  if (bucket == NULL || bucket->rate <= 0)
    return false;
  refill (quota, bucket);
  double elsewhere = bucket->burst * REFILL_TOLERANCE * (1 - bucket->share);
  double left = capacity (bucket) - bucket->spent
                + elsewhere * added_fill (quota, bucket, bucket->updated_at);
  double need = MIN (cost + RANK_RESERVE * MIN (rank, RANK_MAX) * bucket->burst, bucket->burst);
  return bucket->share < 1 && left >= need;
}

static void
count_taken (Bucket *bucket, unsigned rank, double cost)
{
  double decay = exp (-(double) (bucket->updated_at - bucket->averages_at) / RANK_AVERAGE_US);

  for (unsigned i = 0; i <= RANK_MAX; i++)
    bucket->taken_rate[i] *= decay;
  bucket->taken_rate[MIN (rank, RANK_MAX)] += cost * 1e6 / RANK_AVERAGE_US;
  bucket->averages_at = bucket->updated_at;
}

bool
quota_take_request (Quota *quota, const QuotaRequest *request, int64_t *wait_us)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, request->org);

  *wait_us = 0;
  if (bucket == NULL || bucket->rate <= 0)
    return true;
  refill (quota, bucket);
  if (bucket->updated_at - bucket->decided_at > IDLE)
    {
      bucket->active_since = bucket->updated_at;
      bucket->assumed_spent = bucket->spent;
    }
  bucket->decided_at = bucket->updated_at;
  /* A request larger than the burst could never pass, so a full bucket is enough for it. */
  double burst = bucket->burst * bucket->share;
  double above = request->reserved ? 0 : RANK_RESERVE * MIN (request->rank, RANK_MAX) * burst;
  double need = MIN (request->cost + above, burst) + request->leave;
  double left = capacity (bucket) - bucket->spent;
  if (left < need)
    {
      *wait_us = (int64_t) ((need - left) / (bucket->rate * bucket->share) * 1e6);
      return false;
    }
  bucket->spent += request->cost;
  count_taken (bucket, request->rank, request->cost);
  return true;
}

bool
quota_take (Quota *quota, const char *org, double cost, unsigned rank, int64_t *wait_us)
{
  QuotaRequest request = { .org = org, .cost = cost, .rank = rank };

  return quota_take_request (quota, &request, wait_us);
}

bool
quota_get_status (Quota *quota, const char *org, unsigned rank, QuotaStatus *status)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);

  if (bucket == NULL || bucket->rate <= 0)
    return false;
  refill (quota, bucket);
  *status = (QuotaStatus){ .rate = bucket->rate * bucket->share,
                           .burst = bucket->burst * bucket->share,
                           .left = capacity (bucket) - bucket->spent };
  for (unsigned i = 0; i < MIN (rank, RANK_MAX); i++)
    status->higher_rank_rate += bucket->taken_rate[i];
  status->higher_rank_rate
      *= exp (-(double) (bucket->updated_at - bucket->averages_at) / RANK_AVERAGE_US);
  return true;
}

void
quota_charge_remote (Quota *quota, const char *org, double cost, int64_t since)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);
  int64_t now = ft_clock_now (quota->clock);

  if (bucket == NULL)
    return;
  bool idle = now - bucket->decided_at > IDLE;
  /* The report that the bucket here continues from includes these tokens. */
  if (now - bucket->reported_at < REPORT_VALID_FOR && (idle || since < bucket->active_since))
    return;
  refill (quota, bucket);
  /* When entries on a lossy path alternate between two schedulers and an organisation sends many
   * times its limit, tokens that one granted are charged to a bucket of the other that is already
   * empty. The bucket goes into debt, by no more than it refills in the time of a burst: otherwise
   * these tokens would not be counted and the organisation would exceed its limit. */
  bucket->spent
      = MIN (bucket->spent + cost, MAX (bucket->spent, (1 + DEBT_MAX) * capacity (bucket)));
}

void
quota_explain (const Quota *quota, const char *org, double cost, char *out, size_t size)
{
  const Bucket *bucket = g_hash_table_lookup (quota->buckets, org);

  snprintf (out, size, "limit of %s: %.0f/s, burst %.0f, share %.2f; requested %.0f, left %.0f",
            org, bucket ? bucket->rate : 0, bucket ? bucket->burst : 0, quota->share, cost,
            bucket ? capacity (bucket) - bucket->spent : 0);
}

void
quota_refund (Quota *quota, const char *org, double cost)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);

  if (bucket)
    bucket->spent = MAX (0, bucket->spent - cost);
}
