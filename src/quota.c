/* quota.c - one token bucket an organisation.
 *
 * Failure: an accountant dies and another, which knows nothing of what was used, takes its place.
 * Symptom: the organisation gets its burst twice in one window. A bucket therefore starts with
 * START_LEVEL of its burst, which is less than what the limits leave free for such errors, and
 * fills at the rate, so that an organisation within its rate is not refused.
 *
 * Within one organisation's limit too, requests of a higher rank go first: lower ones leave a part
 * of the burst untouched.
 */
#include "quota.h"

#include <stdio.h>

/* Tuning; each row with its reason. */
#define START_LEVEL 0.15 /* of a burst: two or three requests; a fiftieth of a window of 8 s */
#define MARGIN_USED                                                                                \
  0.6                   /* of the margin; the rest covers errors that the share does not know of   \
                         */
#define RANK_PART  0.12 /* of a burst, kept for each higher rank: one or two of its requests */
#define RANKS_MOST 3
#define LENIENCE                                                                                   \
  1.02 /* own and the caller's clock may differ: nothing within the limit is refused */

typedef struct
{
  double rate, burst, level;
  int64_t at;
} Bucket;

struct Quota
{
  FtClock *clock;
  double share;
  double overage, slack, window_s; /* margin; window 0: none */
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
quota_share (Quota *quota, double share)
{
  quota->share = share;
}

void
quota_margin (Quota *quota, double overage, double slack, double window_s)
{
  quota->overage = overage;
  quota->slack = slack;
  quota->window_s = window_s;
}

/* Failure: half of the entries lose power, and their parts of the limits are held back for those
 * that may be cut off. Symptom: organisations are refused far below their limits. The margin covers
 * a part. */
static double
part_of (const Quota *quota, const Bucket *bucket)
{
  double allowed = bucket->rate * quota->window_s + bucket->burst;

  if (quota->share >= 1 || quota->window_s <= 0 || allowed <= 0)
    return quota->share;
  double margin = quota->overage + quota->slack / allowed;
  return MIN (1, quota->share + MARGIN_USED * margin);
}

static void
fill (const Quota *quota, Bucket *bucket)
{
  int64_t now = ft_clock_now (quota->clock);
  double part = part_of (quota, bucket);
  double most = bucket->burst * LENIENCE * part;

  bucket->level += (double) (now - bucket->at) / 1e6 * bucket->rate * LENIENCE * part;
  bucket->level = MIN (bucket->level, most);
  bucket->at = now;
}

void
quota_limit (Quota *quota, const char *org, double rate, double burst)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);

  if (bucket == NULL)
    {
      bucket = g_new0 (Bucket, 1);
      bucket->at = ft_clock_now (quota->clock);
      bucket->burst = burst;
      bucket->level = burst * START_LEVEL * quota->share;
      g_hash_table_insert (quota->buckets, g_strdup (org), bucket);
    }
  fill (quota, bucket);
  bucket->rate = rate;
  bucket->burst = MAX (burst, rate > 0 ? 1 : 0);
}

bool
quota_take (Quota *quota, const char *org, double cost, unsigned rank, int64_t *wait_us)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);

  *wait_us = 0;
  if (bucket == NULL || bucket->rate <= 0)
    return true;
  fill (quota, bucket);
  double part = part_of (quota, bucket);
  /* A request larger than the burst could never pass; a full bucket is enough for it. */
  double kept = RANK_PART * MIN (rank, RANKS_MOST) * bucket->burst * part;
  double need = MIN (cost + kept, bucket->burst * part);
  if (bucket->level < need)
    {
      *wait_us = (int64_t) ((need - bucket->level) / (bucket->rate * part) * 1e6);
      return false;
    }
  bucket->level -= cost;
  return true;
}

void
quota_used (Quota *quota, const char *org, double cost)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);

  if (bucket == NULL)
    return;
  fill (quota, bucket);
  bucket->level = MAX (0, bucket->level - cost);
}

void
quota_explain (const Quota *quota, const char *org, double cost, char *out, size_t size)
{
  const Bucket *bucket = g_hash_table_lookup (quota->buckets, org);

  snprintf (out, size, "limit of %s: %.0f/s, at once %.0f, part %.2f; asked %.0f, left %.0f", org,
            bucket ? bucket->rate : 0, bucket ? bucket->burst : 0, quota->share, cost,
            bucket ? bucket->level : 0);
}

void
quota_give_back (Quota *quota, const char *org, double cost)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);

  if (bucket)
    bucket->level += cost;
}
