/* quota.h - usage limits of organisations; private to the library and its shells.
 *
 * Schedulers share out an organisation's limit: each keeps a token bucket for its share, and they
 * tell one another by reports how full a bucket is.
 */
#ifndef QUOTA_H
#define QUOTA_H

#include "foxtail.h"

typedef struct Quota Quota;

Quota *quota_new (FtClock *clock);
void quota_free (Quota *quota);
/* Sets the share of every limit that is granted here, 0 to 1; initially 1. */
void quota_set_share (Quota *quota, double share);
/* Sets the margin that the limits leave for accounting errors in any window: overage, a fraction of
 * what they allow in it, plus slack. A new bucket without a report starts with a part of the
 * margin. alone: with a share below 1 a part of the margin is used as well, because the schedulers
 * with the other shares may have failed; not for use where there are many of them. */
void quota_set_margin (Quota *quota, double overage, double slack, double window_s, bool alone);
/* Sets a limit of rate per second and burst at once, in the unit of cost; rate 0: no limit. */
void quota_set_limit (Quota *quota, const char *org, double rate, double burst);
/* Takes cost from the organisation's tokens, but leaves a part of the burst to requests of higher
 * ranks; 0 is the highest. False: over the limit; *wait_us is the time until the request would pass
 * if no other request is served. */
bool quota_take (Quota *quota, const char *org, double cost, unsigned rank, int64_t *wait_us);
/* Whether a request would pass with the whole limit, but this scheduler has only a share of it.
 * Call it when quota_take would fail. */
bool quota_limited_by_share (Quota *quota, const char *org, double cost, unsigned rank);
typedef struct
{
  const char *org;
  double cost;
  unsigned rank;
  double leave;  /* tokens that must be left besides those for higher ranks */
  bool reserved; /* tokens are reserved for it, so it leaves none to higher ranks */
} QuotaRequest;

/* As quota_take, with more conditions. */
bool quota_take_request (Quota *quota, const QuotaRequest *request, int64_t *wait_us);

typedef struct
{
  double rate, burst;      /* this scheduler's share of the limit; rate per second */
  double left;             /* tokens; below 0: debt */
  double higher_rank_rate; /* average of tokens per second that higher ranks take */
} QuotaStatus;

/* False: the organisation has no limit. */
bool quota_get_status (Quota *quota, const char *org, unsigned rank, QuotaStatus *status);
/* Applies a report that another scheduler's bucket of the organisation was full to this fraction, 0
 * to 1, at that time of the local clock. */
void quota_apply_report (Quota *quota, const char *org, double full, int64_t at);
/* How full the bucket is, 0 to 1; 1 without a limit. */
double quota_fill_level (Quota *quota, const char *org);
/* Charges tokens that another scheduler has granted from its bucket since the given time, unless a
 * report that was applied here includes them already. */
void quota_charge_remote (Quota *quota, const char *org, double cost, int64_t since);
/* Writes the organisation's limit and its remaining tokens for a refusal's explanation to out,
 * which has size bytes. */
void quota_explain (const Quota *quota, const char *org, double cost, char *out, size_t size);
/* Returns the tokens of a request that did not run. */
void quota_refund (Quota *quota, const char *org, double cost);

#endif
