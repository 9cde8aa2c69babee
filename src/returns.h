/* returns.h - capacity reserved for refused callers that are told when to return; private to the
 * library and its shells. */
#ifndef RETURNS_H
#define RETURNS_H

#include "quota.h"

/* Reservations of one scheduler, on limits and on places together. */
#define RET_MAX_RESERVATIONS 4096
/* A reservation can be used this long before its return time and this long after it: the inaccuracy
 * of callers' timers, and one packet that is retransmitted after 200 ms. */
#define RET_EARLY_US     (20 * FT_MS)
#define RET_GRACE_US     (250 * FT_MS)
#define RET_WAIT_DIVISOR 3 /* callers wait for at most a third of their remaining time */

typedef struct Returns Returns;

typedef struct
{
  uint64_t promised; /* reservations made */
  uint64_t kept;     /* the caller was served, at its return time or earlier from free capacity */
  uint64_t lapsed;   /* the caller did not return in time, or a newer reservation took the entry */
  uint64_t lost;     /* the caller returned in time and could not be served */
} RetCounts;

typedef enum
{
  RET_UNKNOWN,     /* nothing is recorded, or the return time given without a reservation is over */
  RET_EARLY,       /* the caller was given a return time that has not come */
  RET_DUE,         /* its reservation can be used now */
  RET_OTHER_CALLER /* another caller has a reservation for the same content, not yet due */
} RetState;

/* The capacity that a request needs. Cost and rate are in the unit of the resource: tokens or slot
 * time. */
typedef struct
{
  uint64_t resource; /* from ret_resource_id */
  uint64_t content;  /* SchedAsk.content */
  double cost;
  double rate;          /* capacity that becomes free per microsecond, reservable or not */
  unsigned rank;        /* 0 is the highest */
  int64_t start_at;     /* no capacity becomes free before */
  int64_t not_before;   /* earliest return time */
  int64_t useful_until; /* latest useful return time; 0: bounded by the caller's wait only */
  int64_t end_at;       /* the caller's own time limit */
} RetDemand;

/* max_reservations: bound on reservations, and on recorded waits without one. */
Returns *ret_new (FtClock *clock, unsigned max_reservations);
void ret_free (Returns *ret);
/* Sets the share of the capacity that may be reserved, 0 to 1. With 0, the initial value, no
 * reservations are made and existing ones lapse. */
void ret_set_share (Returns *ret, double share);
double ret_share (const Returns *ret);
/* Identifies a resource that capacity is reserved on: the limit of an organisation, or the places
 * of a service for one tier. */
uint64_t ret_resource_id (const char *name, unsigned tier);
/* Looks up what was recorded for the content on the resource. Callers with the same content are
 * told apart by their time limit, which a caller keeps when it tries again. *at: the return time
 * that was given, if any; *promised: whether capacity is reserved for it. */
RetState ret_lookup (Returns *ret, uint64_t resource, uint64_t content, int64_t end_at, int64_t *at,
                     bool *promised);
/* Reserves capacity at the earliest time at which the reservable share is not taken by others, and
 * sets *at to that time. False, and nothing is reserved: the time is too late for the caller, or
 * the content is unknown or has a reservation already. */
bool ret_reserve (Returns *ret, const RetDemand *demand, int64_t *at);
/* Records that the caller was told to return after wait_us without a reservation. It counts as
 * early until then, or for a third of its remaining time if that is less. */
void ret_record_wait (Returns *ret, const RetDemand *demand, int64_t wait_us);
/* Removes the reservation and what is recorded of the caller. False: there was no reservation. */
bool ret_consume (Returns *ret, uint64_t resource, uint64_t content);
/* Counts the outcome of a reservation that was consumed. */
void ret_count_outcome (Returns *ret, bool kept);
/* Capacity of the resource that is reserved by now for this rank and higher ones, without the
 * content's own reservation. */
double ret_reserved (Returns *ret, uint64_t resource, unsigned rank, uint64_t content);
/* Time until which the reservable share is taken; not after now: it is not taken. */
int64_t ret_reserved_until (const Returns *ret, uint64_t resource);
/* Removes what has expired. Call about every 20 ms. */
void ret_expire (Returns *ret);
const RetCounts *ret_counts (const Returns *ret);

/* ---- Reservations on organisations' limits ---- */

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
  RET_NO_RESERVATION, /* such requests get no reservations */
  RET_RESERVED,       /* capacity is reserved at the end of the wait */
  RET_TOO_LATE        /* no capacity can be reserved within the caller's time */
} RetAdvice;

/* Takes the cost from the organisation's limit: from its reserved part if a reservation is due,
 * otherwise from the rest. False: refused; *wait_us is the time until it can be served and *advice
 * says whether that is reserved. */
bool ret_take_tokens (Returns *ret, Quota *quota, const RetRequest *request, int64_t *wait_us,
                      RetAdvice *advice);
/* Appends to the rule of a refusal what the caller was told. */
void ret_explain (RetAdvice advice, int64_t wait_us, char *rule, size_t size);

#endif
