/* relays.h - names to each entry the entries that relay its connections to servers. */
#ifndef RELAYS_H
#define RELAYS_H

#include "mesh.h"

typedef struct Relays Relays;

Relays *relays_new (Loop *loop, Mesh *mesh);
void relays_free (Relays *relays);
void relays_link_down (Relays *relays, const MeshPeer *peer);
/* Sends to each linked entry the relays that it has not been told. Call while this voter is in
 * charge. */
void relays_tick (Relays *relays);

#endif
