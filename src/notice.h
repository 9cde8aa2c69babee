/* notice.h - what a backend server announces of itself in the head of an answer; private to the
 * library and its shells.
 *
 * A notice belongs to one lifetime of a server, and counts only in an answer of that server to a
 * request that was sent to it.
 */
#ifndef NOTICE_H
#define NOTICE_H

#include "foxtail.h"

typedef struct
{
  double rate;        /* rate limit, requests a second over all instances; 0: not announced */
  bool leaving;       /* it is draining: no new requests */
  int64_t backoff_us; /* no requests from the instance it answered for so long; 0: not announced */
} Notice;

/* A decimal number of requests a second, brought within what can be kept. False: it is none. */
bool notice_parse_rate (const char *text, double *rate);
/* Seconds, whole or decimal, as microseconds, brought within what can be kept. An HTTP date, or a
 * value that cannot be read, gives NOTICE_BACKOFF_DEFAULT and false: a backoff of unknown length.
 */
bool notice_parse_backoff (const char *text, int64_t *us);
/* Does the notice say anything? */
bool notice_is_empty (const Notice *notice);

#define NOTICE_RATE_MIN        0.05 /* requests a second: one in 20 s shows when a limit ends */
#define NOTICE_RATE_MAX        1e6
#define NOTICE_BACKOFF_MAX     (3600 * FT_SECOND)
#define NOTICE_BACKOFF_DEFAULT (1 * FT_SECOND)

#endif
