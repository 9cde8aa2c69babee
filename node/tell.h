/* tell.h - a message that all entries linked to this voter are to know the newest form of. */
#ifndef TELL_H
#define TELL_H

#include "mesh.h"

typedef struct Tell Tell;

/* pack: the message as it is now; the caller's reference. */
Tell *tell_new (GBytes *(*pack) (void *host), void *host);
void tell_free (Tell *tell);
/* What it says has changed: whoever was sent it before is to get it again, by tell_all. */
void tell_changed (Tell *tell);
/* A link has come up or goes down. at_once: something was ever said, so it goes first on the link.
 */
void tell_up (Tell *tell, MeshPeer *peer, bool at_once);
void tell_down (Tell *tell, const MeshPeer *peer);
/* Sends it to those who have not got its newest form, but over links that are full. */
void tell_all (Tell *tell);
/* The entry of that lifetime; NULL: it is not linked. */
MeshPeer *tell_find (const Tell *tell, uint64_t lifetime);

#endif
