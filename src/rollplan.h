/* rollplan.h - what a roll-out does next, from what is known of it; private to the library and its
 * shells. */
#ifndef ROLLPLAN_H
#define ROLLPLAN_H

#include "rollout.h"

typedef struct
{
  double share;   /* of a service's requests that a bad version may get ... */
  unsigned slack; /* ... beside so many */
} PlanLimits;

typedef struct
{
  MsgRolloutPhase phase;
  int64_t elapsed_us, limit_us; /* since the order was accepted, and within which it is to end */
  int64_t phase_us;             /* in this phase */
  unsigned placed, granted;     /* requests since the order, and of them on the target's servers */
  unsigned servers, places;     /* of the target, live */
  unsigned places_before;       /* of the version before, live */
  unsigned running_before;      /* requests on servers of any other version ... */
  unsigned once_before;         /* ... of these, what may run once only ... */
  unsigned unheard;             /* ... as far as is known: entries that were lost lately */
  int64_t longest_us;           /* the longest answer of late */
  unsigned answers;             /* of the target's that were judged */
  double suspicion;             /* from 1 on the target is bad */
  double before, after; /* share of bad answers of late: of the version before, the target's */
  bool in_use;          /* the target was the version in use as it was ordered */
} PlanInput;

typedef struct
{
  MsgRolloutPhase phase; /* to be in */
  double share;          /* trying: the part of each route's requests for the target ... */
  unsigned left;         /* ... and how many more it may get by now */
  const char *why;       /* of another phase than the one before; NULL: it stays */
} PlanStep;

void plan_next (const PlanLimits *limits, const PlanInput *facts, PlanStep *step);

#endif
