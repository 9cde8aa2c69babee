/* stat.c - counters and histograms. All histograms have the same bounds, doubling from 0.5 ms, so
 * that those of several instances can be added up. */
#include "stat.h"

#include <math.h>

#define BUCKETS 18 /* upper bounds from 0.5 ms to 65 s; one more bucket is for the rest */

static uint64_t tier_counters[STAT_TIER_COUNTER_COUNT][FT_TIERS + 1];
static uint64_t counters[STAT_COUNTER_COUNT];
static uint64_t refused[FT_REASON_COUNT][FT_TIERS + 1];
static uint64_t histograms[STAT_HISTOGRAM_COUNT][FT_TIERS + 1][BUCKETS + 1];
static uint64_t sums_us[STAT_HISTOGRAM_COUNT][FT_TIERS + 1];

static const char *const tier_names[]
    = { "offered", "answered", "late", "unknown", "paused", "resumed" };
static const char *const counter_names[] = {
  "dispatches",     "connects_refused", "stream_reconnects", "link_messages_out",
  "link_bytes_out", "link_reconnects",  "link_rejected",     "disk_syncs",
  "claims",         "auth_failed",      "server_ends",
};
static const char *const histogram_names[] = { "first_token", "inter_token", "wait" };

static void
add (uint64_t *counter, uint64_t by)
{
  __atomic_fetch_add (counter, by, __ATOMIC_RELAXED);
}

static uint64_t
get (const uint64_t *counter)
{
  return __atomic_load_n (counter, __ATOMIC_RELAXED);
}

void
stat_inc_tier (StatTierCounter counter, unsigned tier)
{
  add (&tier_counters[counter][MIN (tier, FT_TIERS)], 1);
}

void
stat_add (StatCounter counter, uint64_t by)
{
  add (&counters[counter], by);
}

void
stat_inc_refused (FtReason reason, unsigned tier)
{
  add (&refused[reason][MIN (tier, FT_TIERS)], 1);
}

void
stat_observe (StatHistogram histogram, unsigned tier, int64_t us)
{
  unsigned bucket = 0;

  for (int64_t bound = 500; bucket < BUCKETS && us > bound; bound *= 2)
    bucket++;
  tier = MIN (tier, FT_TIERS);
  add (&histograms[histogram][tier][bucket], 1);
  add (&sums_us[histogram][tier], (uint64_t) MAX (0, us));
}

static void
append_histogram (GString *out, unsigned which, unsigned tier)
{
  const char *name = histogram_names[which];
  uint64_t total = 0;
  double bound = 0.0005;

  for (unsigned i = 0; i <= BUCKETS; i++, bound *= 2)
    {
      total += get (&histograms[which][tier][i]);
      if (i < BUCKETS)
        g_string_append_printf (
            out, "foxtail_%s_seconds_bucket{tier=\"%u\",le=\"%g\"} %" G_GUINT64_FORMAT "\n", name,
            tier, bound, total);
      else
        g_string_append_printf (
            out, "foxtail_%s_seconds_bucket{tier=\"%u\",le=\"+Inf\"} %" G_GUINT64_FORMAT "\n", name,
            tier, total);
    }
  g_string_append_printf (out,
                          "foxtail_%s_seconds_sum{tier=\"%u\"} %g\n"
                          "foxtail_%s_seconds_count{tier=\"%u\"} %" G_GUINT64_FORMAT "\n",
                          name, tier, (double) get (&sums_us[which][tier]) / 1e6, name, tier,
                          total);
}

char *
stat_format (const char *extra)
{
  GString *out = g_string_new (NULL);

  for (unsigned i = 0; i < STAT_TIER_COUNTER_COUNT; i++)
    {
      g_string_append_printf (out, "# TYPE foxtail_requests_%s_total counter\n", tier_names[i]);
      for (unsigned t = 1; t <= FT_TIERS; t++)
        g_string_append_printf (out,
                                "foxtail_requests_%s_total{tier=\"%u\"} %" G_GUINT64_FORMAT "\n",
                                tier_names[i], t, get (&tier_counters[i][t]));
    }
  g_string_append (out, "# TYPE foxtail_requests_refused_total counter\n");
  for (unsigned i = 1; i < FT_REASON_COUNT; i++)
    for (unsigned t = 0; t <= FT_TIERS; t++)
      if (get (&refused[i][t]))
        g_string_append_printf (
            out,
            "foxtail_requests_refused_total{tier=\"%u\",reason=\"%s\"} %" G_GUINT64_FORMAT "\n", t,
            ft_reason_info (i)->code, get (&refused[i][t]));
  for (unsigned i = 0; i < STAT_COUNTER_COUNT; i++)
    g_string_append_printf (
        out, "# TYPE foxtail_%s_total counter\nfoxtail_%s_total %" G_GUINT64_FORMAT "\n",
        counter_names[i], counter_names[i], get (&counters[i]));
  for (unsigned i = 0; i < STAT_HISTOGRAM_COUNT; i++)
    {
      g_string_append_printf (out, "# TYPE foxtail_%s_seconds histogram\n", histogram_names[i]);
      for (unsigned t = 1; t <= FT_TIERS; t++)
        append_histogram (out, i, t);
    }
  if (extra)
    g_string_append (out, extra);
  return g_string_free (out, FALSE);
}
