/* count.c - counters and histograms as plain numbers, since only one thread writes them.
 * Histograms have the same fixed bounds in all instances, doubling from 1 ms, so that they can be
 * summed. */
#include "count.h"

#define BUCKETS 15 /* upper bounds of 1 ms to 16 s; one more bucket is unbounded */

static uint64_t counters[COUNTERS];
static uint64_t buckets[TIMED][BUCKETS + 1];
static int64_t sums[TIMED];

static const char *const counter_names[COUNTERS]
    = { "requests",        "answered",        "refused",
        "unknown",         "broken_off",      "left",
        "sends",           "repeats",         "resumes",
        "unreached",       "silent",          "fall_backs",
        "catalogues",      "lists",           "list_failures",
        "grants",          "server_ends",     "quarantined_requests",
        "server_notices",  "grants_returned", "returns_promised",
        "returns_kept",    "returns_lapsed",  "returns_lost",
        "fair_queued",     "fair_refused",    "greetings",
        "handovers",       "held_asks",       "streams_returned",
        "origins_unknown", "ends_unframed",   "ends_undecided",
        "status_checks",   "events_dropped",  "events_skipped" };
static const char *const timed_names[TIMED] = { "wait", "first", "whole", "turn", "timer_late" };

void
count_inc (Counter counter)
{
  counters[counter]++;
}

void
count_add (Counter counter, uint64_t number)
{
  counters[counter] += number;
}

uint64_t
count_get (Counter counter)
{
  return counters[counter];
}

void
count_observe (Timed timed, int64_t us)
{
  unsigned bucket = 0;

  for (int64_t bound = 1000; bucket < BUCKETS && us > bound; bound *= 2)
    bucket++;
  buckets[timed][bucket]++;
  sums[timed] += us;
}

static void
append_histogram (GString *out, unsigned which)
{
  uint64_t total = 0;
  double bound = 0.001;

  g_string_append_printf (out, "# TYPE foxtail_%s_seconds histogram\n", timed_names[which]);
  for (unsigned i = 0; i < BUCKETS; i++, bound *= 2)
    {
      total += buckets[which][i];
      g_string_append_printf (out, "foxtail_%s_seconds_bucket{le=\"%g\"} %" G_GUINT64_FORMAT "\n",
                              timed_names[which], bound, total);
    }
  total += buckets[which][BUCKETS];
  g_string_append_printf (out,
                          "foxtail_%s_seconds_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
                          "foxtail_%s_seconds_sum %g\nfoxtail_%s_seconds_count %" G_GUINT64_FORMAT
                          "\n",
                          timed_names[which], total, timed_names[which], (double) sums[which] / 1e6,
                          timed_names[which], total);
}

char *
count_format (const char *extra)
{
  GString *out = g_string_new (NULL);

  for (unsigned i = 0; i < COUNTERS; i++)
    g_string_append_printf (
        out, "# TYPE foxtail_%s_total counter\nfoxtail_%s_total %" G_GUINT64_FORMAT "\n",
        counter_names[i], counter_names[i], counters[i]);
  for (unsigned i = 0; i < TIMED; i++)
    append_histogram (out, i);
  if (extra)
    g_string_append (out, extra);
  return g_string_free (out, FALSE);
}
