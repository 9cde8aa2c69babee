/* paths.h - judges by its connections whether this instance can reach the backend servers; private
 * to the library and its shells. */
#ifndef PATHS_H
#define PATHS_H

#include "foxtail.h"

typedef struct Paths Paths;

Paths *paths_new (FtClock *clock);
void paths_free (Paths *paths);
/* A new connection to the server has reached it, or failed before it did. */
void paths_note (Paths *paths, const char *server, bool reached);
/* Another instance has connected to the server. */
void paths_note_relayed (Paths *paths, const char *server);
/* No server, or hardly any, can be reached from here, though they can from elsewhere: connections
 * to several have failed, none reached its server between them, and another instance has reached
 * one of these; since then not enough have succeeded in a row. */
bool paths_is_lost (const Paths *paths);
/* How many servers failed since the last connection that reached one. */
unsigned paths_failed_count (const Paths *paths);
/* When the path was last lost; 0: never. */
int64_t paths_lost_at (const Paths *paths);
/* Whether a connection to the server is likely to fail: the path is lost, or its last one failed
 * recently. */
bool paths_is_doubtful (const Paths *paths, const char *server);

#endif
