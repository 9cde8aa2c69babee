/* servers.h - the backend servers that an instance knows, from the newest list it has heard. */
#ifndef SERVERS_H
#define SERVERS_H

#include "mesh.h"
#include "scheduler.h"
#include "seam.h"

typedef struct Servers Servers;

Servers *servers_new (void);
void servers_free (Servers *servers);
/* Takes a list that was asked for at asked_at over, if that is newer than what is held. True: it
 * was. */
bool servers_apply_read (Servers *servers, const GArray *list, int64_t asked_at);

typedef enum
{
  SERVERS_APPLIED,
  SERVERS_STALE,       /* what is held is as new */
  SERVERS_UNKNOWN_BASE /* it tells changes against a list that is not held: ask for it whole */
} ServersResult;

ServersResult servers_apply_message (Servers *servers, const MeshList *list, int64_t now);
/* The same for a packed list. One that cannot be read is SERVERS_UNKNOWN_BASE. */
ServersResult servers_apply_packed (Servers *servers, const MeshPackedList *packed, int64_t now);
/* May the list be asked for whole at now? Not while an earlier question may still be answered. */
bool servers_may_request (Servers *servers, int64_t now);
/* When the list held was asked for; 0: none yet. */
int64_t servers_asked_at (const Servers *servers);
/* NULL: not on the list. */
const SeamServer *servers_find (const Servers *servers, const char *id);
unsigned servers_count (const Servers *servers);
/* Hands the list to a scheduler. */
void servers_give_to (const Servers *servers, Sched *sched);

/* Digests of lists that somebody may hold, beside those of real lists. */
#define SERVERS_HELD_UNKNOWN 0
#define SERVERS_HELD_NONE    1 /* that of a list without servers */

/* The list as a message to somebody who holds the one with digest held: its changes since then, or
 * only its digest. It borrows from servers; free it with servers_clear_message. */
void servers_build_message (const Servers *servers, int64_t now, guint held, MeshList *msg);
void servers_clear_message (MeshList *msg);
/* The same in compressed form, or with held SERVERS_HELD_NONE all of it; borrowed from servers
 * until the next call. False: it cannot be packed. */
bool servers_build_packed (Servers *servers, int64_t now, guint held, MeshPackedList *msg);
/* Sends the peer, which holds the list with digest held, what servers_build_message says, in the
 * form that takes fewer bytes; or all of it. False: it cannot be sent. */
bool servers_send (Servers *servers, MeshPeer *peer, int64_t now, guint held);
bool servers_send_whole (Servers *servers, MeshPeer *peer, int64_t now);
/* Messages that servers_send has worked out so far; fewer than it has sent. */
uint64_t servers_messages_built (const Servers *servers);
guint servers_digest (const Servers *servers);
/* Does the list differ, in more than its age, from what servers_poll_changed saw last? */
bool servers_poll_changed (Servers *servers);

#endif
