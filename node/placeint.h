/* placeint.h - an entry's requests that wait for or have a place; private to place.c and
 * placemsg.c. */
#ifndef PLACEINT_H
#define PLACEINT_H

#include "place.h"
#include "spent.h"

#define DEPUTIES_MAX 4
#define INFORMED_MAX                                                                               \
  (DEPUTIES_MAX + 2) /* all deputies, and the voters in charge before and after an election */

typedef struct
{
  uint64_t number;
  SchedAsk ask;
  char *service, *org, *avoid, *version, *server;
  uint32_t *kept;
  double cost;
  MeshPeer *scheduler;              /* asked for a place; NULL: the own scheduler */
  MeshPeer *informed[INFORMED_MAX]; /* schedulers whose ledgers hold the request */
  bool running;
  bool charged; /* charged to its organisation's limit by a scheduler that was asked before */
  bool paced;   /* the granting scheduler limits the rate of its server or takes it for brittle */
  int64_t asked_at;
} PlaceReq;

struct Place
{
  Loop *loop;
  Mesh *mesh;
  uint32_t self;
  const PlaceOps *ops;
  void *host;
  GHashTable *reqs; /* number -> PlaceReq */
  Broker *own;
  MeshPeer *voter; /* the voter in charge; NULL: none is known */
  uint64_t term;   /* the highest term in which a voter was in charge */
  uint32_t deputies[DEPUTIES_MAX];
  unsigned deputy_count;
  MeshPeer *current;   /* the scheduler asked now; NULL: the own one */
  GHashTable *skipped; /* MeshPeer -> SkippedPeer */
  Spent *spent;
  Notices *notices;
  LoopTimer tick;
  unsigned entries, waiting;
};

static inline PlaceReq *
place_find (const Place *place, uint64_t number)
{
  return g_hash_table_lookup (place->reqs, &number);
}

/* ---- Messages to schedulers (placemsg.c) ---- */

/* Asks the scheduler for a place, or tells it on which server the request runs. */
void pmsg_ask (Place *place, MeshPeer *peer, PlaceReq *req);
/* Ends the report to a scheduler of what runs, and adds what is known of the limits. */
void pmsg_report_end (Place *place, MeshPeer *peer);
/* Tells the scheduler that the request has ended at its server or no longer waits. */
void pmsg_done (MeshPeer *peer, uint64_t number, const SchedResult *result);
/* Tells the same to all schedulers whose ledgers hold the request. */
void pmsg_done_all (const PlaceReq *req, const SchedResult *result);
/* Sends a message to all schedulers whose ledgers hold the request. */
void pmsg_tell_all (const PlaceReq *req, const MeshMsg *msg);
/* Sends the notices of all servers to the scheduler that is asked from now on. */
void pmsg_notices (Place *place);

#endif
