/* origins.h - which servers began a stream, so that it goes on only at servers of their version;
 * private to the library and the programs that embed it. */
#ifndef ORIGINS_H
#define ORIGINS_H

#include "foxtail.h"

typedef struct Origins Origins;

typedef struct
{
  uint64_t stream;               /* see origins_stream_id */
  const char *service, *version; /* of the server that sent its first event */
  int64_t until;                 /* when the caller gives the stream up, on the clock */
} Origin;

/* Identifies a stream by the organisation of its caller and the id of the attempt that brought its
 * first event. */
uint64_t origins_stream_id (const char *org, const char *attempt);

/* max: streams held; beyond it the oldest records are dropped. */
Origins *origins_new (FtClock *clock, unsigned max);
void origins_free (Origins *origins);
/* Records or replaces the origin of a stream. Does nothing if its time is over. */
void origins_record (Origins *origins, const Origin *origin);
/* NULL: not known. Valid until the next call. */
const Origin *origins_find (Origins *origins, uint64_t stream);
/* Calls fn for each stream whose caller may still take it up. */
void origins_for_each (Origins *origins, void (*fn) (const Origin *origin, void *data), void *data);
unsigned origins_count (const Origins *origins);

/* ---- Versions of the listed servers ---- */

/* Longest time for which a record is kept, and for which a version counts after it was last listed.
 */
#define ORIGINS_TIME_MAX (60 * FT_SECOND)
/* Age of the newest list up to which a single version decides. */
#define ORIGINS_LIST_AGE_MAX (3 * FT_SECOND)
/* How long schedulers see a version listed beside others before streams that may be resumed begin
 * at it. Exceeds ORIGINS_LIST_AGE_MAX by what the platform's list lags, and by what a message
 * between instances may be late before its link counts as lost. */
#define ORIGINS_JOIN_TIME (6 * FT_SECOND)

/* A server of this version was listed age ago, or its crash has not been noticed yet. */
void origins_note_listed (Origins *origins, const char *service, const char *version, int64_t age);
/* A whole list has been noted, which the platform was asked for at this time. Between two lists
 * versions may come and go unseen, so after a pause the watch starts anew. */
void origins_note_list (Origins *origins, int64_t asked_at);
/* All versions of the ORIGINS_TIME_MAX before this time have been noted, as learned from another
 * instance. Ignored if that leaves a gap before what was watched here. */
void origins_set_complete (Origins *origins, int64_t at);
/* True if all versions of the last ORIGINS_TIME_MAX are known. */
bool origins_is_complete (const Origins *origins);
/* Calls fn for each version that was listed within ORIGINS_TIME_MAX. */
void origins_for_each_listed (const Origins *origins,
                              void (*fn) (const char *service, const char *version, int64_t age,
                                          void *data),
                              void *data);
/* The only version that may have begun a stream that is still taken up at now: no other was listed
 * within ORIGINS_TIME_MAX. now is the time itself, since that of the clock passed in may be from
 * before a pause of the process. NULL: there are several, none was ever listed, they are not all
 * known, or the newest list is older than ORIGINS_LIST_AGE_MAX. */
const char *origins_only_version (const Origins *origins, const char *service, int64_t now);

#endif
