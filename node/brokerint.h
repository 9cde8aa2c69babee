/* brokerint.h - state of a broker; private to broker.c and brokerlink.c. */
#ifndef BROKERINT_H
#define BROKERINT_H

#include "broker.h"
#include "handover.h"
#include "returns.h"

#define BROKER_OWN 0 /* owner of the own instance's requests */

typedef struct
{
  MeshPeer *peer;
  uint64_t owner; /* lifetime of the peer's process, which identifies it */
  unsigned waiting;
  int64_t asked_at;
  bool away;            /* it has told that it asks another scheduler now */
  bool reported;        /* it has reported what it runs, and has used this scheduler since then */
  unsigned entry_count; /* number of entries in its report; 0: unknown */
} Asker;

struct Broker
{
  Loop *loop;
  char *name;
  const BrokerOps *ops;
  void *host;
  Sched *sched;
  Quota *quota;
  Returns *returns;       /* reservations of the limits; the scheduler keeps those of places */
  RetCounts returned;     /* as added to the counters so far */
  const Servers *servers; /* NULL: no list yet */
  GHashTable *askers;     /* owner -> Asker */
  BrokerConf conf;
  SchedFair fair; /* as added to the counters so far */
  Hand *hand;
  unsigned expected;     /* number of instances whose reports a handover waits for */
  double places, limits; /* the parts that it may give away when no handover is going on */
  uint64_t salt;
  unsigned heard, lost; /* of broker_set_shares_by_heard; heard 0: broker_set_shares came later */
  GArray *decisions;    /* Decision on the own instance's requests, delivered by deliver_timer */
  LoopTimer deliver_timer;
  void (*judged) (void *host, const SchedVerdict *judged); /* may be NULL */
  void *judged_host;
};

/* Grants, queues, holds or refuses the ask. may_hold: it may be held until a handover has ended. */
void broker_decide (Broker *broker, const SchedAsk *ask, bool may_hold);
/* Applies the parts of places and limits, reduced by what has not been handed over yet. */
void broker_apply_shares (Broker *broker);
/* Ends the handover if it is over, and then decides the asks that were held for it. */
void broker_check_handover (Broker *broker);
/* Recomputes the parts from how many instances are heard and ask this one (brokerlink.c). */
void broker_apply_heard (Broker *broker);

#endif
