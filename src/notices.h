/* notices.h - the notices that this instance has received from servers, by their lifetimes; private
 * to the library and its shells. */
#ifndef NOTICES_H
#define NOTICES_H

#include "notice.h"

typedef struct Notices Notices;

Notices *notices_new (FtClock *clock);
void notices_free (Notices *notices);
typedef enum
{
  NOTICES_NONE,   /* nothing was said, and nothing before */
  NOTICES_SAME,   /* what was known; schedulers still hear of it, since it is younger */
  NOTICES_CHANGED /* something else than before */
} NoticesChange;

/* An answer of the server said this; empty: nothing. */
NoticesChange notices_record (Notices *notices, const char *server, const Notice *notice);
/* An answer of the server held a value that cannot be read. True: for the first time. */
bool notices_record_unreadable (Notices *notices, const char *server);
/* Why nothing may be sent to the server: "leaving" or "backoff"; NULL: it may. *out: what holds of
 * what it said, its backoff from now on. */
const char *notices_block_reason (const Notices *notices, const char *server, Notice *out);
/* Calls back for each server that has said something, with what holds of it. age: of the latest
 * answer that said something. */
typedef void (*NoticesFunc) (void *data, const char *server, const Notice *notice, int64_t age);
void notices_each (const Notices *notices, NoticesFunc each, void *data);

#endif
