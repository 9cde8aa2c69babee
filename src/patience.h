/* patience.h - which callers have been here before; private to the library and its shells. */
#ifndef PATIENCE_H
#define PATIENCE_H

#include "foxtail.h"

typedef struct Patience Patience;

Patience *patience_new (FtClock *clock);
void patience_free (Patience *patience);
/* A request for the route has come whose caller waits that long. Returns how long the caller has
 * waited before, if it is one that was refused and came back; else 0. Microseconds. */
int64_t patience_record (Patience *patience, const char *route, int64_t waits_us);

#endif
