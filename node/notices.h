/* notices.h - what servers have told this instance of themselves, by their lifetimes. */
#ifndef NOTICES_H
#define NOTICES_H

#include "notice.h"

typedef struct Notices Notices;

Notices *notices_new (FtClock *clock);
void notices_free (Notices *notices);
/* An answer of the server said this; empty: nothing. True: schedulers should hear of it, since it
 * says something or an earlier one did. */
bool notices_take (Notices *notices, const char *server, const Notice *notice);
/* Calls back for each server that has said something. age: of the latest answer that did. */
typedef void (*NoticesEach) (void *data, const char *server, const Notice *notice, int64_t age);
void notices_each (const Notices *notices, NoticesEach each, void *data);

#endif
