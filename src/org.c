/* org.c - limits and expected answer lengths of an organisation within one pool.
 *
 * Limits a minute are token buckets that hold one minute's allowance, so that a burst up to the
 * limit passes and the mean never exceeds it. The token limit is charged with the expected length
 * at admission and corrected at the end: a request is never stopped mid-answer by a limit.
 */
#include "org.h"

#include <string.h>

#define LENGTH_START  200.0 /* tokens, until the first answer of a class has been seen */
#define LENGTH_WEIGHT 0.1   /* of a new answer; lengths differ a hundredfold within a class */

Org *
org_new (const char *name, int64_t now)
{
  Org *org = g_new0 (Org, 1);

  org->name = g_strdup (name);
  org->weight = 1;
  org->requests.filled_at = org->tokens.filled_at = now;
  org->requests.level = org->tokens.level = G_MAXINT32;
  for (unsigned tier = 0; tier <= FT_TIERS; tier++)
    {
      CDS_INIT_LIST_HEAD (&org->queue[tier].waiting);
      org->queue[tier].org = org;
    }
  org->lengths = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return org;
}

void
org_free (void *data)
{
  Org *org = data;

  g_hash_table_unref (org->lengths);
  g_free (org->name);
  g_free (org);
}

static void
fill (OrgBucket *bucket, int64_t per_minute, int64_t now)
{
  double gained = (double) (now - bucket->filled_at) * (double) per_minute / (60.0 * FT_SECOND);

  bucket->level = MIN ((double) per_minute, bucket->level + gained);
  bucket->filled_at = now;
}

static int64_t
wait_for (double missing, int64_t per_minute)
{
  return (int64_t) (missing * 60000.0 / (double) per_minute) + 1;
}

FtReason
org_admit (Org *org, double tokens, int64_t now, int64_t *wait_ms, char *rule, size_t rule_size)
{
  const FtLimits *limits = &org->limits;

  if (limits->concurrent && org->active >= limits->concurrent)
    {
      *wait_ms = 1000;
      g_snprintf (rule, rule_size, "organisation %s: %" G_GINT64_FORMAT " requests at once",
                  org->name, limits->concurrent);
      return FT_REASON_LIMIT_CONCURRENT;
    }
  if (limits->requests_per_minute)
    fill (&org->requests, limits->requests_per_minute, now);
  if (limits->requests_per_minute && org->requests.level < 1)
    {
      *wait_ms = wait_for (1 - org->requests.level, limits->requests_per_minute);
      g_snprintf (rule, rule_size, "organisation %s: %" G_GINT64_FORMAT " requests a minute",
                  org->name, limits->requests_per_minute);
      return FT_REASON_LIMIT_REQUESTS;
    }
  if (limits->tokens_per_minute)
    fill (&org->tokens, limits->tokens_per_minute, now);
  /* A request larger than a whole minute's allowance passes when the bucket is full; it would
   * never pass otherwise. */
  double needed = MIN (tokens, (double) limits->tokens_per_minute);
  if (limits->tokens_per_minute && org->tokens.level < needed)
    {
      *wait_ms = wait_for (needed - org->tokens.level, limits->tokens_per_minute);
      g_snprintf (rule, rule_size, "organisation %s: %" G_GINT64_FORMAT " tokens a minute",
                  org->name, limits->tokens_per_minute);
      return FT_REASON_LIMIT_TOKENS;
    }
  if (limits->requests_per_minute)
    org->requests.level -= 1;
  if (limits->tokens_per_minute)
    org->tokens.level -= tokens;
  return FT_REASON_NONE;
}

void
org_charge_tokens (Org *org, double tokens)
{
  if (org->limits.tokens_per_minute)
    org->tokens.level -= tokens;
}

double
org_expected_tokens (Org *org, const char *class_name)
{
  const double *length = g_hash_table_lookup (org->lengths, class_name);

  return length ? *length : LENGTH_START;
}

void
org_record_answer (Org *org, const char *class_name, unsigned tokens)
{
  double *length = g_hash_table_lookup (org->lengths, class_name);

  if (length == NULL)
    {
      length = g_new (double, 1);
      *length = tokens;
      g_hash_table_insert (org->lengths, g_strdup (class_name), length);
    }
  *length += (tokens - *length) * LENGTH_WEIGHT;
}
