/* quarantine.h - decides on one instance whether a request may be sent to a server, from the server
 * crashes known for its keys (fingerprint.h); private to the library and its shells. */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include "crashes.h"
#include "fingerprint.h"

typedef struct Quarantine Quarantine;

typedef enum
{
  QUAR_NO_CRASHES, /* no crash is known */
  QUAR_SUSPECT,    /* it ran on crashed servers, but is not known to be the cause */
  QUAR_RECHECK,    /* it has become the cause of CRASHES_QUARANTINE crashes just now: the request
                      waits, because another instance may still report an answer */
  QUAR_BLOCKED     /* quarantined: it is sent to no server */
} QuarState;

typedef struct
{
  QuarState state;
  uint64_t key;  /* one of those that decided; QUAR_SUSPECT: the one with most crashes */
  unsigned ends; /* crashes of servers that were running it, as far as this instance knows */
  unsigned content_ends;  /* ... of the content */
  unsigned part_ends;     /* ... of the part that has most; 0 below CRASHES_PUBLISH_MIN */
  int64_t recheck_at;     /* QUAR_RECHECK: when to check again */
  int64_t blocked_for_us; /* since it became the cause of so many; 0 below that */
} QuarVerdict;

/* One entry of the crash table that the voters replicate. */
typedef struct
{
  uint64_t key;
  unsigned ends;
  const uint32_t *servers; /* digests of the ids of the servers that crashed last */
  unsigned server_count;
  const uint32_t *crashes; /* identifiers of these crashes, the same for all keys; NULL: a server's
                              id is never used again, so that its digest identifies its crash */
} QuarRecord;

Quarantine *quar_new (FtClock *clock);
void quar_free (Quarantine *quar);
uint32_t quar_server_digest (const char *server);

/* Decides what to do now with a request that has these keys, the content's first. */
QuarVerdict quar_check_keys (Quarantine *quar, const uint64_t *keys, unsigned count);
/* Decides what to do now with a request of this content, of whose parts nothing is known. */
QuarVerdict quar_check (Quarantine *quar, uint64_t content);

/* ---- Local evidence ---- */

/* Records that a server crashed while running a request with this key. own: this instance detected
 * the crash and keeps the evidence until quar_crash_recorded says that the voters have recorded it.
 * Otherwise another instance reported it, and it is kept until the voters have been reachable for a
 * while. */
void quar_add_crash (Quarantine *quar, uint64_t key, const char *server, bool own);
/* The voters have recorded all crashes of the server that this instance reported. */
void quar_crash_recorded (Quarantine *quar, const char *server);
/* The content has just been answered completely at this instance, or an answer has begun to a
 * request with this part. Returns true if crashes are recorded for it, so that the voters must be
 * told. */
bool quar_answered (Quarantine *quar, uint64_t key);
/* The server has answered a request sent at sent_at. Returns true if a crash of it was recorded
 * before that time, which the answer disproves, so that the voters must be told. */
bool quar_crash_disproved (const Quarantine *quar, const char *server, int64_t sent_at);

/* ---- The voters' crash table ---- */

/* Replaces this instance's copy of the table, unless the new one is older; returns false in that
 * case. */
bool quar_update_table (Quarantine *quar, uint64_t index, const QuarRecord *records,
                        unsigned count);
/* Fills keys with up to max keys of the table that were recently answered here, and returns their
 * number. */
unsigned quar_recently_answered (const Quarantine *quar, uint64_t *keys, unsigned max);
/* To be called about every 50 ms. reachable: the leading voter is reachable. */
void quar_tick (Quarantine *quar, bool reachable);
/* Number of keys in the table with CRASHES_QUARANTINE crashes or more. */
unsigned quar_count_blocked (const Quarantine *quar);

#endif
