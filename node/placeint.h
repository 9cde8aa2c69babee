/* placeint.h - an entry's requests that wait for or have a place, shared by place.c and placemsg.c
 * only. */
#ifndef PLACEINT_H
#define PLACEINT_H

#include "place.h"
#include "spent.h"

#define DEPUTIES  4
#define TOLD_MOST (DEPUTIES + 2) /* and the voters in charge before and after an election */

typedef struct
{
  uint64_t number;
  SchedAsk ask;
  char *service, *org, *avoid, *server;
  uint32_t *kept;
  double cost;
  MeshPeer *at;              /* waits at that scheduler; NULL: at the own one */
  MeshPeer *told[TOLD_MOST]; /* schedulers that have it in their ledgers */
  bool running;
  bool counted; /* against its organisation's limit, by a scheduler that was asked before */
  bool paced;   /* who granted it holds its server to a rate */
  int64_t asked_at;
} Item;

struct Place
{
  Loop *loop;
  Mesh *mesh;
  uint32_t self;
  const PlaceOps *ops;
  void *host;
  GHashTable *items; /* number: Item */
  Broker *own;
  MeshPeer *voter; /* proved to be in charge; NULL: none */
  uint64_t term;   /* the highest in which a voter proved that */
  uint32_t deputies[DEPUTIES];
  unsigned deputy_count;
  MeshPeer *current;       /* who is asked now; NULL: the own scheduler */
  GHashTable *passed_over; /* MeshPeer: PassedOver */
  Spent *spent;
  Notices *notices;
  LoopTimer tick;
  unsigned entries, waiting;
};

static inline Item *
place_find (const Place *place, uint64_t number)
{
  return g_hash_table_lookup (place->items, &number);
}

/* ---- Messages to schedulers (placemsg.c) ---- */

/* Asks the scheduler for a place, or tells it where the request runs. */
void pmsg_ask (Place *place, MeshPeer *peer, Item *item);
/* Says that the scheduler has been told all that runs, and what is known of the limits. */
void pmsg_report_end (Place *place, MeshPeer *peer);
/* The request has ended at its server, or waits here no more. */
void pmsg_done (MeshPeer *peer, uint64_t number, const SchedResult *result);
/* The same to all that have it in their ledgers. */
void pmsg_done_all (const Item *item, const SchedResult *result);
/* Any message to all of them. */
void pmsg_tell_all (const Item *item, const MeshMsg *msg);
/* What all servers have said of themselves, to whoever schedules from now on. */
void pmsg_notices (Place *place);

#endif
