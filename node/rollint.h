/* rollint.h - shared by rollouts.c, which keeps the account of roll-outs and tells others, and
 * rollead.c, which leads them; private to both. */
#ifndef ROLLINT_H
#define ROLLINT_H

#include "judge.h"
#include "rollouts.h"
#include "bcast.h"

/* What this voter has seen of a roll-out's committed steps, in charge or not. */
typedef struct
{
  uint64_t number;
  MsgRolloutPhase phase;
  int64_t elapsed_us, at; /* elapsed_us had passed at that time */
  int64_t phase_at;
} Seen;

/* A roll-out that this voter, being in charge, leads. */
typedef struct
{
  char *service;
  uint64_t number;
  Judge *judge;
  int64_t started_at;                 /* when the order was accepted */
  unsigned placed, granted;           /* before this voter took charge ... */
  unsigned placed_from, granted_from; /* ... and the scheduler's counts then */
  const char *stopped; /* why it is rolled back; the log does not say so yet; NULL: it is not */
  uint64_t ticket;     /* of the step under way; 0: none */
  int64_t proposed_at;
} Led;

struct Rollouts
{
  Loop *loop;
  Voter *voter;
  Broker *broker;
  RolloutsConf conf;
  RollAccount *account; /* as committed */
  GHashTable *seen;     /* service: Seen */
  GPtrArray *led;       /* Led */
  unsigned unheard;     /* entries lost lately */
  Broadcast *tell;
  uint64_t told; /* digest of the phases that schedulers and entries have */
};

/* ---- The account (rollouts.c) ---- */

bool rollouts_in_charge (const Rollouts *rollouts);
/* What the scheduler is to do in a phase; the trial's share is added by whoever is in charge. */
SchedVersions rollouts_versions_in (const MsgRollout *rollout, MsgRolloutPhase phase);
/* Does so in the phase that the log says. */
void rollouts_apply (Rollouts *rollouts, const MsgRollout *rollout);
/* Time since the service's newest order, as far as this voter knows. */
int64_t rollouts_elapsed (const Rollouts *rollouts, const char *service);
void rollouts_each (Rollouts *rollouts, void (*call) (Rollouts *, const MsgRollout *));

/* ---- Leading (rollead.c) ---- */

void rollead_free (void *led);
/* For broker_set_judged_callback; host: the Rollouts. */
void rollead_judged (void *host, const SchedVerdict *judged);

#endif
