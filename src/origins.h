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

/* A server of this version is listed, or its crash has not been noticed yet. */
void origins_note_listed (Origins *origins, const char *service, const char *version);
/* The only version that may have begun a stream that is still taken up: no other was listed within
 * ORIGINS_TIME_MAX. NULL: there are several, or none was ever listed. */
const char *origins_only_version (Origins *origins, const char *service);

/* Longest time for which a record is kept, and for which a version counts after it was last listed.
 */
#define ORIGINS_TIME_MAX (60 * FT_SECOND)

#endif
