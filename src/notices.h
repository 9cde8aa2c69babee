/* notices.h - the notices that this instance has received, by server incarnation; private to the
 * library and its shells. */
#ifndef NOTICES_H
#define NOTICES_H

#include "notice.h"

typedef struct Notices Notices;

Notices *notices_new (FtClock *clock);
void notices_free (Notices *notices);
typedef enum
{
  NOTICES_NONE,   /* nothing is announced, as before */
  NOTICES_SAME,   /* the same as before; schedulers are still informed, since it is more recent */
  NOTICES_CHANGED /* something else than before */
} NoticesChange;

/* Records the notice of an answer; an empty one withdraws an announced rate limit and
 * brittleness. */
NoticesChange notices_record (Notices *notices, const char *server, const Notice *notice);
/* Records that an answer contained a malformed notice. True: the first one of this server. */
bool notices_record_unreadable (Notices *notices, const char *server);
/* Why nothing may be sent to the server: "leaving" or "backoff"; NULL: requests are allowed. *out:
 * the notice in force, with the remaining backoff. */
const char *notices_block_reason (const Notices *notices, const char *server, Notice *out);
/* Calls func for each server with a notice in force. age: time since the last answer of the server
 * that was recorded. */
typedef void (*NoticesFunc) (void *data, const char *server, const Notice *notice, int64_t age);
void notices_each (const Notices *notices, NoticesFunc func, void *data);

#endif
