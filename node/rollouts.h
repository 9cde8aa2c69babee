/* rollouts.h - a voter's part in roll-outs: writes orders to the log, runs the trial, the move and
 * the rollback while it is in charge, and tells schedulers and entries which versions get
 * requests. */
#ifndef ROLLOUTS_H
#define ROLLOUTS_H

#include "broker.h"
#include "rollplan.h"
#include "voter.h"

typedef struct Rollouts Rollouts;

typedef struct
{
  PlanLimits limits;
  int64_t repeat_us; /* time during which a repeated order refers to the same roll-out */
} RolloutsConf;

/* The arguments must outlive the object. */
Rollouts *rollouts_new (Loop *loop, Voter *voter, Broker *broker, const RolloutsConf *conf);
void rollouts_free (Rollouts *rollouts);
/* The link to a peer has been established or is about to close. */
void rollouts_up (Rollouts *rollouts, MeshPeer *peer);
void rollouts_down (Rollouts *rollouts, const MeshPeer *peer);
/* To be called when the committed table has changed, and when this voter has started. */
void rollouts_committed (Rollouts *rollouts);
/* Result of a proposal, as reported by VoterOps.verdict. */
void rollouts_verdict (Rollouts *rollouts, uint64_t ticket, FtStatus status);
/* What this voter knows of the deployment. */
typedef struct
{
  unsigned missing_entries; /* entries that others know of but that are neither linked nor lost */
  int64_t list_asked_at;    /* when the newest list of servers was requested */
} RolloutsPeers;

/* To be called about every 20 ms. */
void rollouts_tick (Rollouts *rollouts, const RolloutsPeers *peers);

/* ---- Operators, at the voter in charge only ---- */

/* Checks an order. If the result is ROLL_NEW, it has been proposed, and *ticket identifies the
 * proposal whose result is reported later. */
RollCheck rollouts_order (Rollouts *rollouts, const AdapterRollout *order, uint64_t *ticket);
/* Rolls back the active roll-out of the service. Returns the ticket of the proposal, or 0 if no
 * roll-out is active. */
uint64_t rollouts_abort (Rollouts *rollouts, const char *service);
/* Returns a borrowed record, or NULL if no roll-out was ever ordered for the service. */
const MsgRollout *rollouts_find (const Rollouts *rollouts, const char *service);
/* Appends a roll-out as a JSON object. */
void rollouts_append_json (const MsgRollout *rollout, GString *out);
/* Appends lines of metrics. */
void rollouts_describe (const Rollouts *rollouts, GString *out);

#endif
