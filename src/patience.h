/* patience.h - recognises callers that return after a refusal by their remaining time; private to
 * the library and its shells. */
#ifndef PATIENCE_H
#define PATIENCE_H

#include "foxtail.h"

typedef struct Patience Patience;

Patience *patience_new (FtClock *clock);
void patience_free (Patience *patience);
/* Records a request for the route whose caller will wait for max_wait_us. Returns the microseconds
 * that the caller has waited already if it seems to have been refused before, otherwise 0. */
int64_t patience_record (Patience *patience, const char *route, int64_t max_wait_us);

#endif
