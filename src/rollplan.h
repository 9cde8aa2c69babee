/* rollplan.h - decides the next step of a roll-out from its current state; private to the library
 * and its shells. */
#ifndef ROLLPLAN_H
#define ROLLPLAN_H

#include "rollout.h"

typedef struct
{
  double share;   /* largest part of a service's requests that a bad version may get ... */
  unsigned slack; /* ... plus this number of requests */
} PlanLimits;

typedef struct
{
  MsgRolloutPhase phase;
  int64_t elapsed_us, limit_us; /* time since the order, and the time limit */
  int64_t phase_us;             /* time in this phase */
  unsigned placed,
      granted; /* requests since the order, and those of them on the target's servers */
  unsigned servers, places; /* live servers of the target, and their request slots */
  unsigned places_before;   /* request slots of the live servers of the previous version */
  unsigned running_before;  /* requests running on servers of any other version */
  unsigned once_before;     /* those of them that must not be sent a second time */
  unsigned unheard;         /* entries lost since the order, which may run requests on them */
  unsigned unreported;      /* entries whose running requests this voter does not know yet */
  int64_t charge_us;        /* time since this voter took charge */
  bool listed;              /* the list of servers was read since then */
  int64_t longest_us;       /* longest recent duration of an answer */
  unsigned answers;         /* judged answers of the target */
  double suspicion;         /* evidence against the target; from 1 on it is bad */
  double before, after; /* recent share of bad answers of the previous version and of the target */
  bool in_use;          /* the target was already in use when it was ordered */
} PlanInput;

typedef struct
{
  MsgRolloutPhase phase; /* phase to be in */
  double share;    /* in the trial: part of each route's requests that goes to the target ... */
  unsigned left;   /* ... and how many more it may get now */
  const char *why; /* reason for a change of phase; NULL: the phase stays */
} PlanStep;

/* Time for entries to learn of a phase and for the requests that they had already sent to be known.
 */
#define PLAN_PROPAGATION_TIME (400 * FT_MS)

void plan_next (const PlanLimits *limits, const PlanInput *input, PlanStep *step);

#endif
