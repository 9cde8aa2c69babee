/* quota.h - usage limits of organisations; private to the library and its shells. */
#ifndef QUOTA_H
#define QUOTA_H

#include "foxtail.h"

typedef struct Quota Quota;

Quota *quota_new (FtClock *clock);
void quota_free (Quota *quota);
/* The part of every limit that this accountant may give away, 0 to 1; 1 at first. */
void quota_set_share (Quota *quota, double share);
/* What the limits leave free for errors of accounting, in any window: a part of what they allow in
 * it, and slack beside. An accountant without a report of the account starts with a part of it.
 * alone: where the share is below 1 it uses some of it too, since those who may give the rest away
 * may also be gone; not for accountants of which there are many. */
void quota_set_margin (Quota *quota, double overage, double slack, double window_s, bool alone);
/* rate a second, burst at once, in the caller's unit; rate 0: no limit. */
void quota_set_limit (Quota *quota, const char *org, double rate, double burst);
/* Takes cost from what the organisation may use now, leaving a part of its burst to requests of
 * higher rank: 0 is the highest. False: it would pass its limit; *wait_us is the time until it
 * would not, if nothing else is used. */
bool quota_take (Quota *quota, const char *org, double cost, unsigned rank, int64_t *wait_us);
/* Would quota_take fail now, but not with the whole of the limit for a part? */
bool quota_limited_by_share (Quota *quota, const char *org, double cost, unsigned rank);
typedef struct
{
  const char *org;
  double cost;
  unsigned rank;
  double beside;  /* more of the burst that is left untouched */
  bool set_aside; /* the cost has been set aside for it: it leaves nothing to higher ranks */
} QuotaRequest;

/* As quota_take. */
bool quota_take_request (Quota *quota, const QuotaRequest *ask, int64_t *wait_us);

typedef struct
{
  double rate, burst; /* this accountant's part of them; a second */
  double left;        /* below 0: debt */
  double above;       /* what higher ranks take in a second, averaged */
} QuotaStatus;

/* False: the organisation has no limit. */
bool quota_get_status (Quota *quota, const char *org, unsigned rank, QuotaStatus *flow);
/* Another accountant's account of the organisation was full to that part, 0 to 1, at that time of
 * this one's clock. */
void quota_apply_report (Quota *quota, const char *org, double full, int64_t at);
/* How full the account is, 0 to 1; 1 without a limit. */
double quota_fill_level (Quota *quota, const char *org);
/* Another accountant has given cost away since then: it is gone from here too, unless it was before
 * this one began and quota_apply_report has told what was left. */
void quota_charge_remote (Quota *quota, const char *org, double cost, int64_t since);
/* The organisation's limit and what is left of it, for a refusal's explanation; size bytes. */
void quota_explain (const Quota *quota, const char *org, double cost, char *out, size_t size);
/* A request that was counted did not run. */
void quota_refund (Quota *quota, const char *org, double cost);

#endif
