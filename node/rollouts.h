/* rollouts.h - a voter's part in roll-outs: takes orders into the log, tries, moves and rolls back
 * while it is in charge, and tells schedulers and entries which versions get requests. */
#ifndef ROLLOUTS_H
#define ROLLOUTS_H

#include "broker.h"
#include "rollplan.h"
#include "voter.h"

typedef struct Rollouts Rollouts;

typedef struct
{
  PlanLimits limits;
  int64_t repeat_us; /* an order may be sent again for so long */
} RolloutsConf;

/* All that it is given must outlive it. */
Rollouts *rollouts_new (Loop *loop, Voter *voter, Broker *broker, const RolloutsConf *conf);
void rollouts_free (Rollouts *rollouts);
/* A link has come up or goes down. */
void rollouts_up (Rollouts *rollouts, MeshPeer *peer);
void rollouts_down (Rollouts *rollouts, const MeshPeer *peer);
/* The committed account has changed, or this voter has started. */
void rollouts_committed (Rollouts *rollouts);
/* The end of a proposal, as VoterOps.verdict tells it. */
void rollouts_verdict (Rollouts *rollouts, uint64_t ticket, FtStatus status);
/* Call every 20 ms or so. unheard: entries that were lost lately. */
void rollouts_tick (Rollouts *rollouts, unsigned unheard);

/* ---- Operators; of the voter in charge ---- */

/* ROLL_NEW: the order is proposed, and *ticket is the voter's, with which the verdict follows. */
RollOrder rollouts_order (Rollouts *rollouts, const AdapterRollout *order, uint64_t *ticket);
/* Rolls back what is under way. A ticket as above; 0: nothing is. */
uint64_t rollouts_abort (Rollouts *rollouts, const char *service);
/* Borrowed; NULL: none was ever ordered. */
const MsgRollout *rollouts_find (const Rollouts *rollouts, const char *service);
/* Appends what is known of one as a JSON object. */
void rollouts_show (const MsgRollout *rollout, GString *out);
/* Lines for metrics. */
void rollouts_describe (const Rollouts *rollouts, GString *out);

#endif
