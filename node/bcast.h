/* bcast.h - a message that all entries linked to this voter are to know the newest form of. */
#ifndef BCAST_H
#define BCAST_H

#include "mesh.h"

typedef struct Broadcast Broadcast;

/* pack: the message as it is now; the caller's reference. */
Broadcast *bcast_new (GBytes *(*pack) (void *host), void *host);
void bcast_free (Broadcast *tell);
/* What it says has changed: whoever was sent it before is to get it again, by bcast_send_all. */
void bcast_changed (Broadcast *tell);
/* A link has come up or goes down. at_once: something was ever said, so it goes first on the link.
 */
void bcast_link_up (Broadcast *tell, MeshPeer *peer, bool at_once);
void bcast_link_down (Broadcast *tell, const MeshPeer *peer);
/* Sends it to those who have not got its newest form, but over links that are full. */
void bcast_send_all (Broadcast *tell);
/* The entry of that lifetime; NULL: it is not linked. */
MeshPeer *bcast_find (const Broadcast *tell, uint64_t lifetime);

#endif
