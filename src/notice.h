/* notice.h - what a backend server announces about itself in the header of an answer; private to
 * the library and its shells.
 *
 * A notice applies to one incarnation of a server. It is accepted only in an answer of that server
 * to a request that was sent to it.
 */
#ifndef NOTICE_H
#define NOTICE_H

#include "foxtail.h"

typedef struct
{
  double rate;        /* rate limit, requests per second from all instances; 0: not announced */
  bool leaving;       /* it drains and takes no new requests */
  int64_t backoff_us; /* it wants no requests from this instance for so long; 0: not announced */
  /* it crashes if it rejects more than so many requests in a second for want of room, from all
   * instances; 0: not announced */
  double brittleness;
} Notice;

/* Parses a decimal number of requests per second and clamps it to NOTICE_RATE_MIN and
 * NOTICE_RATE_MAX. False: not a number. */
bool notice_parse_rate (const char *text, double *rate);
/* Parses a decimal number of rejections per second and clamps it to NOTICE_BRITTLENESS_MIN and
 * NOTICE_BRITTLENESS_MAX. False: not a number. */
bool notice_parse_brittleness (const char *text, double *brittleness);
/* Parses an integral or decimal number of seconds into microseconds, at most NOTICE_BACKOFF_MAX. An
 * HTTP date or a malformed value gives NOTICE_BACKOFF_DEFAULT and false: a backoff of unknown
 * length. */
bool notice_parse_backoff (const char *text, int64_t *us);
/* Whether the notice announces nothing. */
bool notice_is_empty (const Notice *notice);

/* Requests per second; one in 20 s is enough to notice the end of a limit. */
#define NOTICE_RATE_MIN 0.05
#define NOTICE_RATE_MAX 1e6
/* Rejections per second. A server that announces none at all is brittle, too. */
#define NOTICE_BRITTLENESS_MIN 0.5
#define NOTICE_BRITTLENESS_MAX 1e6
#define NOTICE_BACKOFF_MAX     (3600 * FT_SECOND)
#define NOTICE_BACKOFF_DEFAULT (1 * FT_SECOND)

#endif
