/* quota.h - usage limits of organisations; private to the library and its shells. */
#ifndef QUOTA_H
#define QUOTA_H

#include "foxtail.h"

typedef struct Quota Quota;

Quota *quota_new (FtClock *clock);
void quota_free (Quota *quota);
/* The part of every limit that this accountant may give away, 0 to 1; 1 at first. */
void quota_share (Quota *quota, double share);
/* rate a second, burst at once, in the caller's unit; rate 0: no limit. */
void quota_limit (Quota *quota, const char *org, double rate, double burst);
/* Takes cost from what the organisation may use now. False: it would pass its limit; *wait_us is
 * the time until it would not, if nothing else is used. */
bool quota_take (Quota *quota, const char *org, double cost, int64_t *wait_us);
/* A request that was counted did not run. */
void quota_give_back (Quota *quota, const char *org, double cost);

#endif
