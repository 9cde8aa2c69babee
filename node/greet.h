/* greet.h - the entries that a voter remembers over its restarts, and how it greets them. */
#ifndef GREET_H
#define GREET_H

#include "mesh.h"

#define GREET_ADDRESSES_MAX 1024 /* addresses kept */

typedef struct Greet Greet;

/* Reads the file `entries` of the folder: a hint, so that what cannot be read is logged and left
 * out. self: this instance's address. The mesh must outlive it. */
Greet *greet_new (Loop *loop, Mesh *mesh, uint32_t self, const char *folder);
/* Writes what has changed. */
void greet_free (Greet *greet);
/* A link has come up. True: it was made only to greet, and is nobody else's business. */
bool greet_link_up (Greet *greet, MeshPeer *peer);
/* Was the link made only to greet? Of links that are up. */
bool greet_is_greeting_link (const MeshPeer *peer);
/* voters: addresses of those that this instance knows, which entries are told. Call every 20 ms or
 * so. */
void greet_tick (Greet *greet, const uint32_t *voters, unsigned count);
/* Addresses held. */
unsigned greet_known_count (const Greet *greet);

#endif
