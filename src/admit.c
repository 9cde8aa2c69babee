/* admit.c - admission control: which requests are refused, when, and with what Retry-After.
 *
 * This handles load above the capacity of the servers, for seconds or permanently. The slot time
 * queued ahead of a request, divided by the places that higher tiers leave over, is its expected
 * wait. If that is too long for its caller, the request is refused at once with the wait as advice
 * when to retry, so that the caller has time left to be served later. Nothing is refused while a
 * usable place is free, and no request that can be on time is refused in favour of late ones.
 */
#include "schedint.h"

#include <stdio.h>

/* Tuning constants. */

/* factor on the estimated wait at arrival if higher tiers take no places */
#define CAUTION_MIN 1.15
/* the same if higher tiers take CAUTION_SHARE of the places, since more may arrive */
#define CAUTION_MAX   2.5
#define CAUTION_SHARE 0.3
/* a queued request is refused when its estimated wait, less this factor - 1 of it as tolerance,
 * ends after limit_at */
#define HOPELESS_FACTOR 1.3
#define RETRY_AFTER_MIN (100 * FT_MS)
/* factor on the best server's time to the first event, since a reservation is for any server */
#define FIRST_EVENT_FACTOR 2.5
/* of the places: most that reservations are assumed to use when the wait of other requests is
 * estimated */
#define RESERVED_SHARE_MAX 0.9

static void
refuse (Sched *sched, Job *job, FtReason reason, double wait, int64_t reserved_at, RetAdvice advice,
        int64_t now)
{
  SchedRefusal refusal = { .reason = reason };
  int64_t left = MAX (0, job->ask.end_at - now);
  SchedKey key = job->key;

  refusal.retry_after_us = MIN ((int64_t) MIN (wait, 1e9), left / RET_WAIT_DIVISOR);
  refusal.retry_after_us = MAX (refusal.retry_after_us, RETRY_AFTER_MIN);
  if (advice == RET_RESERVED)
    refusal.retry_after_us = reserved_at - now;
  if (job->reserved)
    ret_count_outcome (sched->returns, false);
  snprintf (refusal.rule, sizeof refusal.rule,
            "tier %u: %u waiting, start in %.0f ms, useful for %.0f ms", job->ask.tier,
            wait_tier (job->service, job->ask.tier)->count, MIN (wait, 1e9) / 1e3,
            (double) (job->ask.limit_at - now) / 1e3);
  ret_explain (advice, refusal.retry_after_us, refusal.rule, sizeof refusal.rule);
  sched_remove_job (sched, job, now);
  sched->ops->refuse (sched->host, key.owner, key.request, &refusal);
}

void
admit_refuse (Sched *sched, Job *job, FtReason reason, double wait, int64_t now)
{
  refuse (sched, job, reason, wait, 0, RET_NO_RESERVATION, now);
}

/* ---- Reservations ---- */

static uint64_t
resource_of (const Job *job)
{
  return ret_resource_id (job->service->name, job->ask.tier);
}

/* Reserves nothing where higher tiers take all places: the caller would come back in vain. */
static bool
reserve (Sched *sched, const Job *job, RetDemand *demand, int64_t now, int64_t *at)
{
  demand->rate = est_places_left (sched, job->service, job->ask.tier, false, now);
  *at = INT64_MAX;
  return est_share_above (sched, job->service, job->ask.tier, now) < 1
         && ret_reserve (sched->returns, demand, at);
}

/* Refuses a job for lack of places, with a reservation if one can be made. No time is reserved that
 * would lead to a late answer, since its place would be taken from a new request that can be on
 * time.
 */
static void
refuse_for_shortage (Sched *sched, Job *job, double wait, int64_t now)
{
  RetDemand demand
      = { .resource = resource_of (job),
          .content = job->ask.content,
          .cost = job->work_us,
          .not_before = now + RETRY_AFTER_MIN,
          .useful_until
          = job->ask.aim_at
            - (int64_t) (FIRST_EVENT_FACTOR * est_first_us (sched, job->service, &job->ask)),
          .end_at = job->ask.end_at };
  RetAdvice advice = RET_NO_RESERVATION;
  int64_t at = INT64_MAX;

  if (sched->returns && ret_share (sched->returns) > 0 && demand.content)
    {
      advice = reserve (sched, job, &demand, now, &at) ? RET_RESERVED : RET_TOO_LATE;
      if (at < INT64_MAX)
        wait = MAX (wait, (double) (at - now));
    }
  if (advice == RET_TOO_LATE)
    ret_record_wait (sched->returns, &demand, (int64_t) CLAMP (wait, RETRY_AFTER_MIN, 1e9));
  refuse (sched, job, FT_REASON_SHORTAGE, wait, at, advice, now);
}

static RetState
return_state (const Sched *sched, const Job *job, int64_t *at, bool *reserved)
{
  *at = 0;
  *reserved = false;
  return sched->returns ? ret_lookup (sched->returns, resource_of (job), job->ask.content,
                                      job->ask.end_at, at, reserved)
                        : RET_UNKNOWN;
}

void
admit_note_return (Sched *sched, Job *job)
{
  int64_t at;
  bool reserved;

  job->reserved = return_state (sched, job, &at, &reserved) == RET_DUE;
  if (job->reserved)
    ret_consume (sched->returns, resource_of (job), job->ask.content);
}

void
admit_note_grant (Sched *sched, const Job *job)
{
  int64_t at;
  bool reserved;

  if (job->reserved
      || (return_state (sched, job, &at, &reserved) == RET_EARLY
          && ret_consume (sched->returns, resource_of (job), job->ask.content)))
    ret_count_outcome (sched->returns, true);
}

/* Refuses a caller that comes back before the time it was told. It may take a free place, but may
 * not join a queue. */
static bool
refuse_early (Sched *sched, Job *job, int64_t now)
{
  int64_t at;
  bool reserved;

  if (return_state (sched, job, &at, &reserved) != RET_EARLY || boff_any_place (sched, job, now))
    return false;
  refuse (sched, job, FT_REASON_SHORTAGE, (double) (at - now), at,
          reserved ? RET_RESERVED : RET_TOO_LATE, now);
  return true;
}

/* Estimated wait of the job, including callers that come back for reservations and go before it.
 */
static double
wait_us (const Sched *sched, const Job *job, double ahead_us, int64_t now)
{
  double wait = est_wait_us (sched, job->service, job->ask.tier, false, ahead_us, now);

  if (sched->returns == NULL)
    return wait;
  double share = MIN (ret_share (sched->returns), RESERVED_SHARE_MAX);
  double reserved = (double) (ret_reserved_until (sched->returns, resource_of (job)) - now);
  return wait + share * CLAMP (reserved, 0, wait / (1 - share));
}

/* ---- Decisions ---- */

/* True if a request with ahead_us of slot time before it can be on time. Late requests do not
 * count, since they go after it. */
static bool
can_be_timely (const Sched *sched, const Job *job, double ahead_us, int64_t now)
{
  double wait = wait_us (sched, job, ahead_us, now);
  double first = est_first_us (sched, job->service, &job->ask);
  double above = est_share_above (sched, job->service, job->ask.tier, now) / CAUTION_SHARE;
  double caution = CAUTION_MIN + (CAUTION_MAX - CAUTION_MIN) * MIN (1, above);

  return (double) now + caution * wait_size_factor (job) * wait + first <= (double) job->ask.aim_at;
}

/* Refuses the request if it cannot start before limit_at. Returns true if it stays queued. */
static bool
queue_or_refuse (Sched *sched, Job *job, double ahead_us, int64_t now)
{
  double wait = est_wait_us (sched, job->service, job->ask.tier, true, ahead_us, now);
  double first = est_first_us (sched, job->service, &job->ask);

  if ((double) now + CAUTION_MAX * wait + first <= (double) job->ask.limit_at
      || boff_any_place (sched, job, now))
    return true;
  refuse_for_shortage (sched, job, wait, now);
  return false;
}

/* True if the job would be on time in a queue without fair order, behind all other waiting
 * requests. */
static bool
is_timely_by_due (const Sched *sched, const Job *job, int64_t now)
{
  double waits = wait_ahead_us (job->service, job->ask.tier, false);

  return can_be_timely (sched, job, MAX (0, waits - job->work_us), now);
}

bool
admit_new (Sched *sched, Job *job, const WaitAhead *ahead, int64_t now)
{
  if (job->reserved)
    return true;
  if (refuse_early (sched, job, now))
    return false;
  if (ver_waits_apart (job))
    return true; /* nothing in the queues goes before it */
  bool timely = can_be_timely (sched, job, ahead->timely_us, now);
  bool timely_by_due = sched->fair ? is_timely_by_due (sched, job, now) : timely;

  wait_note_timely (job, timely);
  sched->counts.queued += timely && !timely_by_due;
  if (timely || queue_or_refuse (sched, job, ahead->all_us, now))
    return true;
  sched->counts.refused += timely_by_due;
  return false;
}

bool
admit_in_backoff (Sched *sched, Job *job, int64_t opens_at, int64_t now)
{
  double first = est_first_us (sched, job->service, &job->ask);

  if ((double) opens_at + first <= (double) job->ask.limit_at)
    return true;
  admit_refuse (sched, job, FT_REASON_SHORTAGE, (double) (opens_at - now), now);
  return false;
}

/* Refuses queued requests as soon as it is known that they cannot start in time. Higher tiers or
 * lost servers may lengthen the queue after admission. A request that was held until its deadline
 * would be refused too late to retry elsewhere or later. */
static void
refuse_unservable (Sched *sched, Service *service, const Tier *tier, struct cds_list_head *queue,
                   double *ahead, int64_t now)
{
  Job *job, *next;

  cds_list_for_each_entry_safe (job, next, queue, link)
  {
    double first = est_first_us (sched, service, &job->ask);
    int64_t opens_at = boff_earliest_end (job, now);
    bool apart = ver_waits_apart (job);
    double wait = MAX (apart ? 0 : est_wait_us (sched, service, tier->tier, job->late, *ahead, now),
                       (double) (opens_at - now));
    bool over = (double) opens_at + first > (double) job->ask.limit_at;
    bool too_late = (double) now + wait > (double) job->ask.limit_at + (HOPELESS_FACTOR - 1) * wait;
    if (job->version && sched->listed && !sched_any_usable (job, now, NULL))
      admit_refuse (sched, job, FT_REASON_VERSION_GONE, 1e6, now);
    else if (over)
      admit_refuse (sched, job, FT_REASON_SHORTAGE, wait, now);
    else if (too_late && sched->listed
             && (service->open_servers == 0 || !boff_any_place (sched, job, now)))
      refuse_for_shortage (sched, job, wait, now);
    else if (!apart)
      *ahead += job->work_us;
  }
}

void
admit_review (Sched *sched, Service *service, int64_t now)
{
  double ahead = 0;

  wait_move_all_late (sched, service, now);
  for (unsigned i = 0; i < service->tiers->len; i++)
    {
      Tier *tier = service->tiers->pdata[i];
      refuse_unservable (sched, service, tier, &tier->reserved, &ahead, now);
      refuse_unservable (sched, service, tier, &tier->timely, &ahead, now);
      refuse_unservable (sched, service, tier, &tier->late, &ahead, now);
    }
}
