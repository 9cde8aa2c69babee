/* brokerint.h - a broker's records, shared by broker.c and brokerlink.c only. */
#ifndef BROKERINT_H
#define BROKERINT_H

#include "broker.h"
#include "handover.h"
#include "returns.h"

#define BROKER_SELF 0 /* owner of the own instance's requests */

typedef struct
{
  MeshPeer *peer;
  uint64_t owner; /* the peer's lifetime */
  unsigned waiting;
  int64_t asked_at;
  bool away; /* it asks another now */
} Asker;

struct Broker
{
  Loop *loop;
  char *name;
  const BrokerOps *ops;
  void *host;
  Sched *sched;
  Quota *quota;
  Returns *returns;       /* at limits; the scheduler has its own for places */
  RetCounts returned;     /* as counted so far */
  const Servers *servers; /* NULL: no list yet */
  GHashTable *askers;     /* owner: Asker */
  BrokerConf conf;
  SchedFair fair; /* as of the last tick */
  Hand *hand;
  unsigned expected;     /* instances whose reports a handover waits for */
  double places, limits; /* its parts once it is settled */
  uint64_t salt;
  unsigned heard, lost; /* by broker_set_shares_by_heard; heard 0: the parts were set otherwise */
  GArray *verdicts;     /* Verdict on own requests, delivered by soon */
  LoopTimer soon;
  void (*judged) (void *host, const SchedVerdict *judged); /* NULL: nobody watches */
  void *watcher;
};

/* Places, queues, holds or refuses the ask. may_wait: it may be held until a handover has ended. */
void broker_decide (Broker *broker, const SchedAsk *ask, bool may_wait);
/* Sets the parts of places and limits by how much was handed over. */
void broker_apply_shares (Broker *broker);
/* Ends a handover that is over, and decides on the asks that have waited for it. */
void broker_check_handover (Broker *broker);
/* The same parts by how many instances are heard and ask this one (brokerlink.c). */
void broker_apply_heard (Broker *broker);

#endif
