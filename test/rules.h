/* rules.h - checks that requests kept to the rate limits, backoffs and shutdowns that servers
 * announced. */
#ifndef RULES_H
#define RULES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* One request as its server recorded it. Times are in microseconds of one clock. */
typedef struct
{
  unsigned server;     /* differs for each incarnation of a server */
  unsigned instance;   /* instance that sent it */
  int64_t at;          /* arrival time */
  int64_t answered_at; /* when the head of its answer was sent; 0: not yet */
  double rate;         /* rate limit that the answer announced, requests per second; 0: none */
  bool leaving;        /* the answer announced that the server is leaving */
  int64_t backoff_us;  /* backoff that the answer asked of the instance; 0: none */
} Arrival;

/* Whether the instance was restarted, frozen or disconnected between these times, so that it
 * need not know what servers announced. NULL: never. */
typedef bool (*RulesExcusedFunc) (void *data, unsigned instance, int64_t from, int64_t to);

typedef struct
{
  const GArray *arrivals; /* elements are Arrival, in order of arrival */
  int64_t settle_us;      /* a rate limit is checked so long after it was first announced */
  int64_t drain_us;       /* time in which a leaving server may still get requests */
  RulesExcusedFunc excused;
  void *data;
} Rules;

/* Compares two Arrival by time, for sorting. */
int rules_compare_arrivals (const void *a, const void *b);
/* Number of requests beyond the announced rate limit in the worst window of 4 seconds; 0: none. */
unsigned rules_over_rate (const Rules *rules);
/* Number of requests beyond the two allowed that an instance sent to a server during a backoff,
 * for the worst backoff; 0: none. */
unsigned rules_in_backoff (const Rules *rules);
/* Number of requests that reached a server from an instance to which it had announced that it is
 * leaving. */
unsigned rules_after_leaving (const Rules *rules);

#endif
