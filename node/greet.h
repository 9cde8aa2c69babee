/* greet.h - stores entries' addresses across a voter's restarts and contacts them at its start. */
#ifndef GREET_H
#define GREET_H

#include "mesh.h"

#define GREET_ADDRESSES_MAX 1024 /* addresses stored */

typedef struct Greet Greet;

/* Reads the file `entries` of the folder. It is only a hint: what cannot be read is logged and
 * skipped. self: this instance's address. The mesh must stay valid until greet_free. */
Greet *greet_new (Loop *loop, Mesh *mesh, uint32_t self, const char *folder);
/* Saves the file if it has changed. */
void greet_free (Greet *greet);
/* A link has come up. True: it is a greeting link, which other modules must ignore. */
bool greet_link_up (Greet *greet, MeshPeer *peer);
/* True if a link that is up was opened only to greet an entry. */
bool greet_is_greeting_link (const MeshPeer *peer);
/* voters: addresses of the known voters, which greeted entries are sent. Call about every 20 ms. */
void greet_tick (Greet *greet, const uint32_t *voters, unsigned count);
/* Number of stored addresses. */
unsigned greet_known_count (const Greet *greet);

#endif
