/* notice.h - what a backend server says of itself in an answer, beside the answer; private to the
 * library and its shells.
 *
 * A notice belongs to one lifetime of a server and comes from the answer to a request that was
 * meant for it.
 */
#ifndef NOTICE_H
#define NOTICE_H

#include "foxtail.h"

typedef struct
{
  double rate;        /* requests a second that it takes from all instances together; 0: not said */
  bool leaving;       /* it stops, and wants nothing new */
  int64_t backoff_us; /* it wants nothing from the instance it answered for so long; 0: not said */
} Notice;

/* A decimal number of requests a second, brought within what can be kept. False: it is none. */
bool notice_read_rate (const char *text, double *rate);
/* Seconds, whole or decimal, as microseconds, brought within what can be kept. An HTTP date, or
 * what cannot be read, gives NOTICE_BACKOFF_UNREAD and false: the server wants to be left alone,
 * for a time that is not known. */
bool notice_read_backoff (const char *text, int64_t *us);
/* Does the notice say anything? */
bool notice_is_empty (const Notice *notice);

#define NOTICE_RATE_LEAST     0.05 /* requests a second: one in 20 s shows when a limit ends */
#define NOTICE_RATE_MOST      1e6
#define NOTICE_BACKOFF_MOST   (3600 * FT_SECOND)
#define NOTICE_BACKOFF_UNREAD (1 * FT_SECOND)

#endif
