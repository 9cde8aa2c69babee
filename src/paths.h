/* paths.h - judges by its connections whether this instance can reach the backend servers; private
 * to the library and its shells. */
#ifndef PATHS_H
#define PATHS_H

#include "foxtail.h"

typedef struct Paths Paths;

Paths *paths_new (FtClock *clock);
void paths_free (Paths *paths);
/* A connect to the server succeeded or failed. */
void paths_note (Paths *paths, const char *server, bool established);
/* No server, or hardly any, can be reached from here: connects to several have failed, and none
 * succeeded between them; since then not enough have succeeded in a row. */
bool paths_is_lost (const Paths *paths);
/* How many servers failed since the last connect that succeeded. */
unsigned paths_failed_count (const Paths *paths);
/* When the path was last lost; 0: never. */
int64_t paths_lost_at (const Paths *paths);
/* Whether a connect to the server is likely to fail: the path is lost, or its last one failed
 * recently. */
bool paths_is_doubtful (const Paths *paths, const char *server);

#endif
