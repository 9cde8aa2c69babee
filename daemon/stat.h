/* stat.h - counters and histograms of one instance; all functions are thread-safe. */
#ifndef STAT_H
#define STAT_H

#include "foxtail.h"

typedef enum
{
  STAT_OFFERED, /* submitted to the scheduler */
  STAT_ANSWERED,
  STAT_LATE,    /* answered after the deadline */
  STAT_UNKNOWN, /* ended with an unknown outcome */
  STAT_PAUSED,
  STAT_RESUMED,
  STAT_TIER_COUNTER_COUNT
} StatTierCounter;

typedef enum
{
  STAT_DISPATCHES,
  STAT_CONNECT_REFUSED,
  STAT_STREAM_RECONNECTS,
  STAT_LINK_MESSAGES_OUT,
  STAT_LINK_BYTES_OUT,
  STAT_LINK_RECONNECTS,
  STAT_LINK_REJECTED,
  STAT_DISK_SYNCS,
  STAT_CLAIMS,
  STAT_AUTH_FAILED,
  STAT_SERVER_CRASHES,
  STAT_COUNTER_COUNT
} StatCounter;

typedef enum
{
  STAT_FIRST_TOKEN,
  STAT_INTER_TOKEN,
  STAT_WAIT, /* from submission to the scheduler's decision */
  STAT_HISTOGRAM_COUNT
} StatHistogram;

void stat_inc_tier (StatTierCounter counter, unsigned tier);
void stat_add (StatCounter counter, uint64_t add);
void stat_inc_refused (FtReason reason, unsigned tier);
/* Adds a sample of us microseconds to a histogram. */
void stat_observe (StatHistogram histogram, unsigned tier, int64_t us);
/* Returns all metrics in Prometheus text format, with extra appended. Free with g_free. */
char *stat_format (const char *extra);

#endif
