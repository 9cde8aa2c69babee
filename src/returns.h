/* returns.h - times that are promised to refused callers, and what is set aside for them; private
 * to the library and its shells. */
#ifndef RETURNS_H
#define RETURNS_H

#include "quota.h"

/* Promises of one scheduler, at limits and for places together. */
#define RET_MAX_RESERVATIONS 4096
/* How long before its time and after it a promise is honoured: timers of callers, and one packet
 * that is sent again after 200 ms. */
#define RET_EARLY_US     (20 * FT_MS)
#define RET_GRACE_US     (250 * FT_MS)
#define RET_WAIT_DIVISOR 3 /* callers wait for a third of the time that they have left */

typedef struct Returns Returns;

typedef struct
{
  uint64_t promised;
  uint64_t kept;   /* served at its time, or before as a newcomer */
  uint64_t lapsed; /* its caller did not come in time, or a newer one needed the room */
  uint64_t lost;   /* its caller came in time, and could not be served */
} RetCounts;

typedef enum
{
  RET_UNKNOWN,     /* nothing is known of it */
  RET_EARLY,       /* it was refused and told a time that has not come */
  RET_DUE,         /* its promise is due */
  RET_OTHER_CALLER /* another caller has a promise for the same content, which is not due */
} RetState;

/* What is asked for. Cost and rate have the unit of what becomes free at the line. */
typedef struct
{
  uint64_t line;
  uint64_t content; /* SchedAsk.content */
  double cost;
  double rate;          /* becomes free in a microsecond, all of it */
  unsigned rank;        /* 0 is the highest */
  int64_t start_at;     /* nothing becomes free before */
  int64_t not_before;   /* the caller is told no earlier time */
  int64_t useful_until; /* a later time is of no use; 0: as long as the caller heeds */
  int64_t end_at;       /* the caller's own limit */
} RetDemand;

/* most: promises at once. */
Returns *ret_new (FtClock *clock, unsigned most);
void ret_free (Returns *ret);
/* The part of what becomes free that may be promised, 0 to 1; 0, as at first: none is made, and
 * those that were made lapse. */
void ret_set_share (Returns *ret, double part);
double ret_share (const Returns *ret);
/* Number of what is promised from one supply: the limit of an organisation, or the places of a
 * service for one tier. */
uint64_t ret_resource_id (const char *name, unsigned tier);
/* What is known of the content at the line. A caller that comes again keeps its own limit; by that
 * it is told from others with the same content. *at: the time that it was told, if it
 * was; promised: and it is a promise. */
RetState ret_lookup (Returns *ret, uint64_t line, uint64_t content, int64_t end_at, int64_t *at,
                     bool *promised);
/* Promises the earliest time at which the part has not been promised to others. *at is that time.
 * False: it cannot be used within the caller's time, or the content is unknown or has a promise;
 * nothing is set aside. */
bool ret_reserve (Returns *ret, const RetDemand *offer, int64_t *at);
/* The caller has been told to come after wait_us and was promised nothing: until then, or a third
 * of its time if that is less, it is early. */
void ret_record_wait (Returns *ret, const RetDemand *offer, int64_t wait_us);
/* The promise is used up, and what the caller was told forgotten. False: there was no promise. */
bool ret_consume (Returns *ret, uint64_t line, uint64_t content);
/* What came of a promise that was used up. */
void ret_count_outcome (Returns *ret, bool kept);
/* What is set aside at the line by now, for promises of that rank and higher ones but the
 * content's. */
double ret_reserved (Returns *ret, uint64_t line, unsigned rank, uint64_t content);
/* Until when the part is promised; now or before: no longer. */
int64_t ret_reserved_until (const Returns *ret, uint64_t line);
/* Frees what lapsed. Call every 20 ms or so. */
void ret_expire (Returns *ret);
const RetCounts *ret_counts (const Returns *ret);

/* ---- At limits ---- */

typedef struct
{
  const char *org;
  uint64_t content;
  double cost;
  unsigned rank;
  int64_t end_at;
  int64_t useful_until; /* as in RetDemand */
} RetRequest;

typedef enum
{
  RET_NO_RESERVATION, /* no promises are made to such a request */
  RET_RESERVED,       /* the wait ends at the promised time */
  RET_TOO_LATE        /* no time can be had within the caller's */
} RetAdvice;

/* Takes the cost from what the organisation may use: from what is set aside if a promise is due,
 * else from what is not. False: refused; *wait_us is the time until it can be served, and word what
 * the caller may be told of it. */
bool ret_take_tokens (Returns *ret, Quota *quota, const RetRequest *ask, int64_t *wait_us,
                      RetAdvice *word);
/* Adds to a refusal's rule what the caller was promised. */
void ret_explain (RetAdvice word, int64_t wait_us, char *rule, size_t size);

#endif
