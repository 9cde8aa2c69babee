/* rollpriv.h - shared by rollouts.c, which keeps the table of roll-outs and publishes it, and
 * rollctl.c, which controls active roll-outs; private to both. */
#ifndef ROLLPRIV_H
#define ROLLPRIV_H

#include "judge.h"
#include "rollouts.h"
#include "bcast.h"

/* Latest committed step of a roll-out that this voter has seen, whether it is in charge or not. */
typedef struct
{
  uint64_t number;
  MsgRolloutPhase phase;
  int64_t elapsed_us, at; /* time since the order, and the local time at which it had that value */
  int64_t phase_at;
} Progress;

/* An active roll-out that this voter controls while it is in charge. */
typedef struct
{
  char *service;
  uint64_t number;
  Judge *judge;
  int64_t ordered_at; /* when the order was accepted */
  /* Requests, and those to the target, before this voter took charge. */
  unsigned placed, granted;
  unsigned placed_from, granted_from; /* the scheduler's counters when it took charge */
  const char *stopped; /* reason of a stop that is not committed yet; NULL: not stopped */
  uint64_t ticket;     /* ticket of the pending step; 0: none */
  int64_t proposed_at;
} ActiveRollout;

struct Rollouts
{
  Loop *loop;
  Voter *voter;
  Broker *broker;
  RolloutsConf conf;
  RolloutTable *table;  /* the committed table */
  GHashTable *progress; /* service name -> Progress */
  GPtrArray *active;    /* ActiveRollout */
  RolloutsPeers peers;
  GHashTable *lost;   /* set: ip of entries whose links broke during an active roll-out */
  bool in_charge;     /* as of the last tick */
  int64_t charged_at; /* when this voter took charge; valid if in_charge */
  Broadcast *broadcast;
  uint64_t published_digest; /* digest of the phases that schedulers and entries were last told */
};

/* ---- Table of roll-outs (rollouts.c) ---- */

bool rollouts_in_charge (const Rollouts *rollouts);
/* The scheduler settings for a phase. The voter in charge adds the share of the trial. */
SchedVersions rollouts_settings_for_phase (const MsgRollout *rollout, MsgRolloutPhase phase);
/* Applies the settings for the committed phase to the local scheduler. */
void rollouts_apply_phase (Rollouts *rollouts, const MsgRollout *rollout);
/* Time since the service's latest order, as far as this voter knows. */
int64_t rollouts_elapsed (const Rollouts *rollouts, const char *service);
void rollouts_for_each (Rollouts *rollouts, void (*call) (Rollouts *, const MsgRollout *));

/* ---- Control (rollctl.c) ---- */

void rollctl_active_free (void *data);
/* Callback for broker_set_judged_callback; user is the Rollouts. */
void rollctl_on_answer (void *user, const SchedVerdict *judged);

#endif
