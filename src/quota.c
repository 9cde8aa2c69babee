/* quota.c - one token bucket an organisation.
 *
 * Failure: an accountant dies and another, which knows nothing of what was used, takes its place.
 * Symptom: the organisation gets its burst twice in one window, or, if the new one starts empty, is
 * refused below its limit until that has filled. Each decision therefore reports to the one who
 * asked how full the account is, and who asks another accountant passes the newest report on. One
 * that has not given anything away of late goes on from there. Where there is no report, after a
 * start of everything, it starts with a part of what the limits leave free for errors of
 * accounting.
 *
 * An accountant may hold a part of each limit only. What is spent is counted against the part; a
 * part that comes from elsewhere is as full as the account was reported to be there.
 *
 * Within one organisation's limit too, requests of a higher rank go first: lower ones leave a part
 * of the burst untouched.
 */
#include "quota.h"

#include <math.h>
#include <stdio.h>

/* Tuning; each row with its reason. */
#define START_LEAST 0.15 /* of a burst: two or three requests; a fiftieth of a window of 8 s */
#define START_MARGIN                                                                               \
  0.4 /* of the margin: everything may start anew twice in one window, and LENIENCE takes a fifth  \
       */
#define MARGIN_USED                                                                                \
  0.6                   /* of the margin; the rest covers errors that the share does not know of   \
                         */
#define RANK_PART  0.12 /* of a burst, kept for each higher rank: one or two of its requests */
#define RANKS_MOST 3
#define LENIENCE                                                                                   \
  1.02           /* own and the caller's clock may differ: nothing within the limit is refused */
#define DEBT 1.0 /* of a burst: what a takeover or two may have given away beside */
#define IDLE (1 * FT_SECOND) /* without a decision, after which others know the account better */
#define REPORT_MOST                                                                                \
  (2 * FT_SECOND)       /* older reports say nothing: bursts fill within a second or two */
#define PART_LEAST 1e-4 /* one of 10,000 entries: no division by nothing */
#define TAKEN_US   1e6  /* span over which what each rank takes is averaged: as long as a burst */

typedef struct
{
  double rate, burst;
  double part;  /* of the limit, as it was at `at` */
  double spent; /* of the part's burst */
  int64_t at;
  double reported;              /* how full the account was elsewhere, 0 to 1 ... */
  int64_t reported_at;          /* ... then; 0: no report */
  int64_t taken_at;             /* when it was last decided on here */
  int64_t began;                /* since when it is decided on here without a pause ... */
  double assumed;               /* ... and how much was taken to be spent then */
  double taken[RANKS_MOST + 1]; /* by each rank in a second, averaged, as of ... */
  int64_t taken_as_of;
} Bucket;

struct Quota
{
  FtClock *clock;
  double share;
  double overage, slack, window_s; /* margin; window 0: none */
  bool alone;                      /* may use the margin where its share is below 1 */
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

/* Failure: half of the entries lose power, and their parts of the limits are held back for those
 * that may be cut off. Symptom: organisations are refused far below their limits. The margin covers
 * a part. */
static double
part_of (const Quota *quota, const Bucket *bucket)
{
  double allowed = bucket->rate * quota->window_s + bucket->burst;
  double part = MAX (quota->share, PART_LEAST);

  if (part >= 1 || !quota->alone || quota->window_s <= 0 || allowed <= 0)
    return part;
  return MIN (1, part + MARGIN_USED * margin_of (quota, bucket) / allowed);
}

static double
capacity (const Bucket *bucket)
{
  return bucket->burst * LENIENCE * bucket->part;
}

/* How full a part is that comes to this accountant, 0 to 1. */
static double
arriving (const Quota *quota, const Bucket *bucket, int64_t now)
{
  double since = (double) (now - bucket->reported_at) / 1e6;

  if (bucket->reported_at && now - bucket->reported_at < REPORT_MOST)
    return MIN (1, bucket->reported + since * bucket->rate / MAX (bucket->burst, 1));
  if (quota->window_s <= 0 || bucket->burst <= 0)
    return START_LEAST;
  return CLAMP (START_MARGIN * margin_of (quota, bucket) / bucket->burst, START_LEAST, 1);
}

static void
fill (const Quota *quota, Bucket *bucket)
{
  int64_t now = ft_clock_now (quota->clock);
  double refilled = (double) (now - bucket->at) / 1e6 * bucket->rate * LENIENCE * bucket->part;
  double part = part_of (quota, bucket);

  bucket->spent = MAX (0, bucket->spent - refilled);
  bucket->at = now;
  if (part < bucket->part)
    bucket->spent *= part / bucket->part;
  else if (part > bucket->part)
    bucket->spent
        += (1 - arriving (quota, bucket, now)) * bucket->burst * LENIENCE * (part - bucket->part);
  bucket->part = part;
}

void
quota_set_limit (Quota *quota, const char *org, double rate, double burst)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);

  if (bucket == NULL)
    {
      bucket = g_new0 (Bucket, 1);
      bucket->at = ft_clock_now (quota->clock);
      bucket->rate = rate;
      bucket->burst = burst;
      g_hash_table_insert (quota->buckets, g_strdup (org), bucket);
    }
  fill (quota, bucket);
  bucket->rate = rate;
  bucket->burst = MAX (burst, rate > 0 ? 1 : 0);
  bucket->spent = MIN (bucket->spent, capacity (bucket));
}

/* Failure: an account is taken over, and the first who asks knows nothing of it, or little: it
 * starts from a guess. Symptom: the organisation is refused within its limit, or gets a burst
 * twice, although the next to ask brings what the one before had told it last. The newest word from
 * before the start replaces what was taken to be spent then; what was given here since stays. */
static void
begin_anew_from (const Quota *quota, Bucket *bucket)
{
  double spent = (1 - arriving (quota, bucket, bucket->began)) * capacity (bucket);

  bucket->spent
      = CLAMP (bucket->spent + spent - bucket->assumed, 0, (1 + DEBT) * capacity (bucket));
  bucket->assumed = spent;
}

void
quota_apply_report (Quota *quota, const char *org, double full, int64_t at)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);
  bool idle = bucket && at - bucket->taken_at > IDLE;

  if (bucket == NULL || at <= bucket->reported_at)
    return;
  fill (quota, bucket);
  bucket->reported = CLAMP (full, 0, 1);
  bucket->reported_at = at;
  if (idle)
    bucket->spent = (1 - arriving (quota, bucket, bucket->at)) * capacity (bucket);
  else if (at < bucket->began)
    begin_anew_from (quota, bucket);
}

double
quota_fill_level (Quota *quota, const char *org)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);

  if (bucket == NULL || bucket->rate <= 0)
    return 1;
  fill (quota, bucket);
  return CLAMP (1 - bucket->spent / MAX (capacity (bucket), 1e-9), 0, 1);
}

bool
quota_limited_by_share (Quota *quota, const char *org, double cost, unsigned rank)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);

  if (bucket == NULL || bucket->rate <= 0)
    return false;
  fill (quota, bucket);
  double elsewhere = bucket->burst * LENIENCE * (1 - bucket->part);
  double left
      = capacity (bucket) - bucket->spent + elsewhere * arriving (quota, bucket, bucket->at);
  double need = MIN (cost + RANK_PART * MIN (rank, RANKS_MOST) * bucket->burst, bucket->burst);
  return bucket->part < 1 && left >= need;
}

static void
note_taken (Bucket *bucket, unsigned rank, double cost)
{
  double kept = exp (-(double) (bucket->at - bucket->taken_as_of) / TAKEN_US);

  for (unsigned i = 0; i <= RANKS_MOST; i++)
    bucket->taken[i] *= kept;
  bucket->taken[MIN (rank, RANKS_MOST)] += cost * 1e6 / TAKEN_US;
  bucket->taken_as_of = bucket->at;
}

bool
quota_take_request (Quota *quota, const QuotaRequest *ask, int64_t *wait_us)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, ask->org);

  *wait_us = 0;
  if (bucket == NULL || bucket->rate <= 0)
    return true;
  fill (quota, bucket);
  if (bucket->at - bucket->taken_at > IDLE)
    {
      bucket->began = bucket->at;
      bucket->assumed = bucket->spent;
    }
  bucket->taken_at = bucket->at;
  /* A request larger than the burst could never pass; a full bucket is enough for it. */
  double burst = bucket->burst * bucket->part;
  double above = ask->set_aside ? 0 : RANK_PART * MIN (ask->rank, RANKS_MOST) * burst;
  double need = MIN (ask->cost + above, burst) + ask->beside;
  double left = capacity (bucket) - bucket->spent;
  if (left < need)
    {
      *wait_us = (int64_t) ((need - left) / (bucket->rate * bucket->part) * 1e6);
      return false;
    }
  bucket->spent += ask->cost;
  note_taken (bucket, ask->rank, ask->cost);
  return true;
}

bool
quota_take (Quota *quota, const char *org, double cost, unsigned rank, int64_t *wait_us)
{
  QuotaRequest ask = { .org = org, .cost = cost, .rank = rank };

  return quota_take_request (quota, &ask, wait_us);
}

bool
quota_get_status (Quota *quota, const char *org, unsigned rank, QuotaStatus *flow)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);

  if (bucket == NULL || bucket->rate <= 0)
    return false;
  fill (quota, bucket);
  *flow = (QuotaStatus){ .rate = bucket->rate * bucket->part,
                         .burst = bucket->burst * bucket->part,
                         .left = capacity (bucket) - bucket->spent };
  for (unsigned i = 0; i < MIN (rank, RANKS_MOST); i++)
    flow->above += bucket->taken[i];
  flow->above *= exp (-(double) (bucket->at - bucket->taken_as_of) / TAKEN_US);
  return true;
}

void
quota_charge_remote (Quota *quota, const char *org, double cost, int64_t since)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);
  int64_t now = ft_clock_now (quota->clock);

  if (bucket == NULL)
    return;
  bool idle = now - bucket->taken_at > IDLE;
  /* The report from which the account goes on here includes that. */
  if (now - bucket->reported_at < REPORT_MOST && (idle || since < bucket->began))
    return;
  fill (quota, bucket);
  /* Failure: an organisation sends many times its limit, and entries on a lossy path go between two
   * schedulers. Symptom: what one gave is charged to an account that is empty already, and is lost;
   * the organisation passes its limit. The account goes into debt, no deeper than it refills in the
   * time of a burst. */
  bucket->spent = MIN (bucket->spent + cost, MAX (bucket->spent, (1 + DEBT) * capacity (bucket)));
}

void
quota_explain (const Quota *quota, const char *org, double cost, char *out, size_t size)
{
  const Bucket *bucket = g_hash_table_lookup (quota->buckets, org);

  snprintf (out, size, "limit of %s: %.0f/s, at once %.0f, part %.2f; asked %.0f, left %.0f", org,
            bucket ? bucket->rate : 0, bucket ? bucket->burst : 0, quota->share, cost,
            bucket ? capacity (bucket) - bucket->spent : 0);
}

void
quota_refund (Quota *quota, const char *org, double cost)
{
  Bucket *bucket = g_hash_table_lookup (quota->buckets, org);

  if (bucket)
    bucket->spent = MAX (0, bucket->spent - cost);
}
