/* bcast.h - keeps all linked entries up to date with the newest version of one message. */
#ifndef BCAST_H
#define BCAST_H

#include "mesh.h"

typedef struct Broadcast Broadcast;

/* name: of the message, for the log; a string literal. pack returns the current message, which the
 * caller unrefs; NULL: it does not fit, and entries keep the one before. */
Broadcast *bcast_new (const char *name, GBytes *(*pack) (void *host), void *host);
void bcast_free (Broadcast *bcast);
/* The message has changed; bcast_send_all will send it to all entries again. */
void bcast_changed (Broadcast *bcast);
/* A link has come up or goes down. at_once: the message is not empty, so it is sent immediately. */
void bcast_link_up (Broadcast *bcast, MeshPeer *peer, bool at_once);
void bcast_link_down (Broadcast *bcast, const MeshPeer *peer);
/* Sends the message to all entries that lack its newest version, except over congested links. */
void bcast_send_all (Broadcast *bcast);
/* The linked entry with this incarnation number; NULL: it is not linked. */
MeshPeer *bcast_find (const Broadcast *bcast, uint64_t lifetime);

#endif
