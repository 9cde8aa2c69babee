/* rules.h - checks of what servers saw against what they had said of themselves. */
#ifndef RULES_H
#define RULES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* One request at a server, as the server saw it; times of one clock, microseconds. */
typedef struct
{
  unsigned server;     /* a number for each lifetime */
  unsigned instance;   /* who sent it */
  int64_t at;          /* it arrived */
  int64_t answered_at; /* its answer's head left; 0: not yet */
  double rate;         /* the answer named it, requests a second; 0: none */
  bool leaving;        /* the answer said so */
  int64_t backoff_us;  /* the answer asked the instance for it; 0: it did not */
} Arrival;

/* Was the instance restarted, frozen or cut off in that time? NULL stands for never. */
typedef bool (*RulesExcused) (void *data, unsigned instance, int64_t from, int64_t to);

typedef struct
{
  const GArray *arrivals; /* Arrival, in order of arrival */
  int64_t settle_us;      /* from a server's first naming of a rate until it binds */
  int64_t drain_us;       /* from an instance's hearing that a server leaves until it binds */
  RulesExcused excused;
  void *data;
} Rules;

/* Orders an array of Arrival. */
int rules_by_arrival (const void *a, const void *b);
/* Requests beyond what a named rate allows, in the worst span of some seconds; 0: none. */
unsigned rules_over_rate (const Rules *rules);
/* Requests beyond the two that may pass while a server wants nothing from an instance, in the worst
 * such time; 0: none. */
unsigned rules_in_backoff (const Rules *rules);
/* Requests that reached a server from an instance which it had told that it leaves. */
unsigned rules_after_leaving (const Rules *rules);

#endif
