/* servers.h - the list of backend servers that an instance holds, taken from the platform or from
 * other instances. */
#ifndef SERVERS_H
#define SERVERS_H

#include "mesh.h"
#include "scheduler.h"
#include "adapter.h"

typedef struct Servers Servers;

Servers *servers_new (void);
void servers_free (Servers *servers);
/* Replaces the held list by one that was requested from the platform at asked_at. False: the held
 * one is as new. */
bool servers_apply_read (Servers *servers, const GArray *list, int64_t asked_at);

typedef enum
{
  SERVERS_APPLIED,
  SERVERS_STALE,       /* the held list is as new */
  SERVERS_UNKNOWN_BASE /* the changes are relative to a list that is not held here: request the
                          whole list */
} ServersResult;

/* Applies a list, or changes to one, that a peer sent. */
ServersResult servers_apply_message (Servers *servers, const MeshList *list, int64_t now);
/* The same for a compressed list. SERVERS_UNKNOWN_BASE if it cannot be decompressed or decoded. */
ServersResult servers_apply_packed (Servers *servers, const MeshPackedList *packed, int64_t now);
/* True if the whole list may be requested now, that is, no earlier request can still be answered.
 * True also counts as a request. */
bool servers_may_request (Servers *servers, int64_t now);
/* When the held list was requested from the platform; 0: none is held yet. */
int64_t servers_asked_at (const Servers *servers);
/* NULL: not on the list. */
const AdapterServer *servers_find (const Servers *servers, const char *id);
unsigned servers_count (const Servers *servers);
const AdapterServer *servers_at (const Servers *servers, unsigned index);
/* Passes the list to a scheduler. */
void servers_give_to (const Servers *servers, Sched *sched);

/* Values of held for a peer whose list is unknown, and for one that holds none. */
#define SERVERS_HELD_UNKNOWN 0
#define SERVERS_HELD_NONE    1 /* the digest of an empty list */

/* Builds the message for a peer that holds the list with digest held: the changes since then, or
 * only the digest if they are not known. It borrows from servers; free it with
 * servers_clear_message. */
void servers_build_message (const Servers *servers, int64_t now, guint held, MeshList *msg);
void servers_clear_message (MeshList *msg);
/* The same in compressed form, or with held SERVERS_HELD_NONE the whole list; borrowed from
 * servers until the next call. False: it cannot be encoded. */
bool servers_build_packed (Servers *servers, int64_t now, guint held, MeshPackedList *msg);
/* Sends the peer, which holds the list with digest held, the message of servers_build_message,
 * compressed if that is smaller; servers_send_whole sends the whole list. False: it cannot be
 * sent. */
bool servers_send (Servers *servers, MeshPeer *peer, int64_t now, guint held);
bool servers_send_whole (Servers *servers, MeshPeer *peer, int64_t now);
/* Number of messages that servers_send has built so far; each may have been sent to several
 * peers. */
uint64_t servers_messages_built (const Servers *servers);
guint servers_digest (const Servers *servers);
/* True if the list differs, in more than its age, from the one at the last call. */
bool servers_poll_changed (Servers *servers);

#endif
