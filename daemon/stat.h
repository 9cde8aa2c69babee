/* stat.h - counters and distributions of one instance, written with atomics from any thread. */
#ifndef STAT_H
#define STAT_H

#include "foxtail.h"

typedef enum
{
  STAT_OFFERED, /* by tier */
  STAT_ANSWERED,
  STAT_LATE, /* answered after the deadline */
  STAT_UNKNOWN,
  STAT_PAUSED,
  STAT_RESUMED,
  STAT_TIER_COUNTERS
} StatTier;

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
  STAT_SERVER_ENDS,
  STAT_PLAIN_COUNTERS
} StatPlain;

typedef enum
{
  STAT_FIRST_TOKEN,
  STAT_INTER_TOKEN,
  STAT_WAIT, /* from asking to the decision */
  STAT_DISTRIBUTIONS
} StatDistribution;

void stat_inc_tier (StatTier counter, unsigned tier);
void stat_add (StatPlain counter, uint64_t add);
void stat_inc_refused (FtReason reason, unsigned tier);
/* us: microseconds. */
void stat_observe (StatDistribution distribution, unsigned tier, int64_t us);
/* All counters in the usual text format for metrics; g_free. extra is appended. */
char *stat_format (const char *extra);

#endif
