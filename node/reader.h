/* reader.h - reads the platform's list of backend servers page by page. */
#ifndef READER_H
#define READER_H

#include "hcli.h"
#include "adapter.h"

typedef struct Reader Reader;

/* Called at the end of a pass. servers: AdapterServer, borrowed; NULL: the list could not be read
 * for the reason in why. asked_at: loop time at which the first page was requested; the list
 * shows the state of that time or later. */
typedef void (*ReaderDone) (void *host, const GArray *servers, int64_t asked_at, const char *why);

Reader *reader_new (Loop *loop, HCli *cli, const AdapterOps *adapter_ops, SockAddr list,
                    ReaderDone done, void *host);
void reader_free (Reader *reader);
/* Starts a pass unless one is going on. */
void reader_start (Reader *reader);
bool reader_busy (const Reader *reader);
/* Pages of the last complete pass, one call each; 1 before the first. */
unsigned reader_last_pages (const Reader *reader);
/* Estimate of the calls that a pass takes, from earlier passes and from a list of so many
 * servers. */
unsigned reader_estimate_calls (const Reader *reader, unsigned servers);

/* How a voter reads the list for all instances. */
typedef struct
{
  unsigned calls;   /* of one pass */
  double rate;      /* calls a second that the platform allows for all instances together */
  bool in_charge;   /* false: no voter is, and it reads for the entries that reach it */
  int64_t drain_us; /* a server that the list shows as leaving must get no new requests after this
                       time */
} ReaderSchedule;

/* Time between the starts of two passes, microseconds. */
int64_t reader_pass_interval (const ReaderSchedule *schedule);

/* How an instance reads the list itself when no voter supplies it. */
typedef struct
{
  unsigned calls;   /* of one pass */
  unsigned readers; /* instances that may read the list at the same time */
  double rate;      /* calls a second that the platform allows for all of them together */
  bool for_others;  /* this one also reads for others that cannot reach a voter */
} ReaderFallback;

/* Age of the list from which on the instance reads it, and the time between two passes,
 * microseconds. */
int64_t reader_max_age (const ReaderFallback *fallback);
int64_t reader_fallback_interval (const ReaderFallback *fallback);
/* Delay of the first pass after the list has become too old; draw: a random number. */
int64_t reader_first_delay (const ReaderFallback *fallback, uint64_t draw);

#endif
