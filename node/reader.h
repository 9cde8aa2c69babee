/* reader.h - reads the platform's list of backend servers, page by page. */
#ifndef READER_H
#define READER_H

#include "hcli.h"
#include "seam.h"

typedef struct Reader Reader;

/* servers: SeamServer, borrowed; NULL: it could not be read, why says so. asked_at: loop's time
 * of the first page's request: what the list says held then or later. */
typedef void (*ReaderDone) (void *host, const GArray *servers, int64_t asked_at, const char *why);

Reader *reader_new (Loop *loop, HCli *cli, const Seam *seam, SockAddr list, ReaderDone done,
                    void *host);
void reader_free (Reader *reader);
/* Starts to read unless it is being read. */
void reader_start (Reader *reader);
bool reader_busy (const Reader *reader);
/* Calls that the last whole pass took; 1 before the first. */
unsigned reader_last_pages (const Reader *reader);
/* Calls that a pass takes, as far as known from earlier ones and from a list of so many servers. */
unsigned reader_estimate_calls (const Reader *reader, unsigned servers);

/* A voter that reads the list for all. */
typedef struct
{
  unsigned calls;   /* of a pass */
  double rate;      /* calls a second that the platform allows all instances together */
  bool in_charge;   /* else nobody is, and it reads for the entries that reach it */
  int64_t drain_us; /* a server that the list shows as leaving gets nothing new after so long */
} ReaderSchedule;

/* From the start of one pass to the start of the next, microseconds. */
int64_t reader_pass_interval (const ReaderSchedule *plan);

/* An instance that reads the list when those that should do it for all are silent. */
typedef struct
{
  unsigned calls;   /* of a pass */
  unsigned readers; /* instances that may read it at the same time */
  double rate;      /* calls a second that the platform allows all of them together */
  bool for_others;  /* this one reads for others that cannot hear of a better one */
} ReaderFallback;

/* How old the list may become before the instance reads it, and how often it does, microseconds. */
int64_t reader_max_age (const ReaderFallback *need);
int64_t reader_fallback_interval (const ReaderFallback *need);
/* How long after the list has become too old it is first read; draw: a random number. */
int64_t reader_first_delay (const ReaderFallback *need, uint64_t draw);

#endif
