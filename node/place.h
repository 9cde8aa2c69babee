/* place.h - an entry's way to a place for its requests: the pool's scheduler at the voter in charge,
 * or, while that is silent, a scheduler of its own with a part of the places. */
#ifndef PLACE_H
#define PLACE_H

#include "mesh.h"
#include "quota.h"
#include "scheduler.h"
#include "servers.h"

typedef struct Place Place;

/* Never called from within place_ask. */
typedef struct
{
  void (*grant) (void *host, uint64_t request, const char *server);
  void (*refuse) (void *host, uint64_t request, const SchedRefusal *refusal);
} PlaceOps;

/* salt: differs between entries, so that the parts that they round up differ. */
Place *place_new (Loop *loop, uint64_t salt, const PlaceOps *ops, void *host);
void place_free (Place *place);
/* Messages from voters that concern placing; others are ignored. */
void place_view (Place *place, MeshPeer *peer, const MeshView *view);
void place_message (Place *place, MeshPeer *peer, const MeshMsg *msg);
void place_down (Place *place, const MeshPeer *peer);
/* What the entry's own scheduler works with. */
void place_services (Place *place, const RtCat *cat);
void place_servers (Place *place, const Servers *servers);
/* Entries that share the places while nobody schedules for all. */
void place_entries (Place *place, unsigned entries);

/* ask->owner is set here. cost: tokens or requests counted against the organisation's limit; 0:
 * none, or counted before. */
void place_ask (Place *place, const SchedAsk *ask, double cost);
void place_first (Place *place, uint64_t request, int64_t after_us);
void place_silent (Place *place, uint64_t request);
void place_done (Place *place, uint64_t request, const SchedResult *result);
/* Is placing done by the voter in charge at the moment? */
bool place_is_central (const Place *place);
unsigned place_waiting (const Place *place);
/* What the entry's own scheduler believes; g_free. */
char *place_describe (const Place *place);

#endif
