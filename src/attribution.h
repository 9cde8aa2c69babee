/* attribution.h - decides which requests are the cause of server crashes; private to the library
 * and its shells. */
#ifndef ATTRIBUTION_H
#define ATTRIBUTION_H

#include "foxtail.h"

#define ATTR_CRASHES_MAX 16 /* of one suspect, the latest */

/* A key (fingerprint.h) of requests that were running on crashed servers. */
typedef struct
{
  uint64_t key;
  unsigned ends; /* crashes of servers that ran it */
  unsigned crash_count;
  uint32_t crashes[ATTR_CRASHES_MAX]; /* identifiers of the latest of them */
  int64_t seen_at[ATTR_CRASHES_MAX];  /* when this instance learned of each */
} AttrSuspect;

typedef struct Attribution Attribution;

Attribution *attr_new (void);
void attr_free (Attribution *attr);
/* Replaces all suspects by these. */
void attr_set (Attribution *attr, const AttrSuspect *suspects, unsigned count);
/* Whether a request with these keys is the cause of CRASHES_QUARANTINE crashes. If so, *since is
 * the time at which this instance knew that many, and *key one of the keys that decided. */
bool attr_is_cause (const Attribution *attr, const uint64_t *keys, unsigned count, int64_t *since,
                    uint64_t *key);

#endif
