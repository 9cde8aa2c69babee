/* quarantine.h - what an instance that sends requests knows of contents under which servers ended;
 * private to the library and its shells. */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include "crashes.h"

typedef struct Quarantine Quarantine;

typedef enum
{
  QUAR_NO_CRASHES, /* nothing is known against it */
  QUAR_SUSPECT,    /* servers have ended under it, fewer than CRASHES_QUARANTINE */
  QUAR_RECHECK,    /* enough of them, just now: whoever has answered it whole may still say so */
  QUAR_BLOCKED     /* it is sent to no server */
} QuarState;

typedef struct
{
  QuarState state;
  unsigned ends;          /* servers that ended under it, as far as is known here */
  int64_t recheck_at;     /* QUAR_RECHECK: when it is to be looked at again */
  int64_t blocked_for_us; /* since when enough of them are known; 0 below CRASHES_QUARANTINE */
} QuarVerdict;

/* One record of the account that voters keep. */
typedef struct
{
  uint64_t content;
  unsigned ends;
  const uint32_t *servers; /* digests of the latest of them */
  unsigned server_count;
} QuarRecord;

Quarantine *quar_new (FtClock *clock);
void quar_free (Quarantine *quar);
uint32_t quar_server_digest (const char *server);

/* What is to become of a request of this content now. */
QuarVerdict quar_check (const Quarantine *quar, uint64_t content);

/* ---- Evidence ---- */

/* A server ended under the content. own: this instance saw it, and will be told by
 * quar_crash_recorded that the voters' account has it; else another one told, which is believed
 * until the voters' account is known again. */
void quar_add_crash (Quarantine *quar, uint64_t content, const char *server, bool own);
/* The voters' account has all that this instance told of the server. */
void quar_crash_recorded (Quarantine *quar, const char *server);
/* The content has been answered whole, here and now. True: voters must be told, since something is
 * said against it. */
bool quar_answered (Quarantine *quar, uint64_t content);
/* The server has answered a request that was sent at sent_at. True: voters must be told, since it
 * is said to have ended before. */
bool quar_crash_disproved (const Quarantine *quar, const char *server, int64_t sent_at);

/* ---- The voters' account ---- */

/* Takes it over if it is not older than the one held. False: it is. */
bool quar_update_table (Quarantine *quar, uint64_t index, const QuarRecord *records,
                        unsigned count);
/* Those of its contents that were answered whole here shortly before it came; returns how many. */
unsigned quar_recently_answered (const Quarantine *quar, uint64_t *contents, unsigned most);
/* Call every 50 ms or so. heard: a voter in charge can be heard. */
void quar_tick (Quarantine *quar, bool heard);
/* Contents that are sent to no server. */
unsigned quar_count_blocked (const Quarantine *quar);

#endif
