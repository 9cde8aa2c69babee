/* admit.c - which requests are refused, when, and with what advice.
 *
 * The load that this answers is more than the servers can do, for seconds or for good. The queue
 * ahead in slot time, divided by the places left over by higher tiers, says when a request would
 * start. If that is too late for its caller it is refused at once, with that time as the advice
 * when to come back: a caller that learns early has time left to be served later. Nothing is
 * refused while a usable place is free, and nobody who can be on time for the sake of those who
 * cannot.
 */
#include "schedint.h"

#include <stdio.h>

/* Tuning; each row with its reason. */
#define CAUTION_MIN 1.15 /* times an estimate at arrival where no higher tier takes places */
#define CAUTION_MAX                                                                                \
  2.5 /* the same where higher tiers take CAUTION_SHARE of them, and more may come */
#define CAUTION_SHARE   0.3
#define HOPELESS_FACTOR 1.3 /* a queued request is given up when its estimate is so far off */
#define RETRY_AFTER_MIN (100 * FT_MS)
#define FIRST_EVENT_FACTOR                                                                         \
  2.5 /* times the best server's first event: a promised request gets any server */
#define RESERVED_SHARE_MAX                                                                         \
  0.9 /* of the places that promises are taken to use: others wait for the rest */

static void
refuse (Sched *sched, Job *job, FtReason reason, double wait, int64_t promised_at, RetAdvice word,
        int64_t now)
{
  SchedRefusal refusal = { .reason = reason };
  int64_t left = MAX (0, job->ask.end_at - now);
  Key key = job->key;

  refusal.retry_after_us = MIN ((int64_t) MIN (wait, 1e9), left / RET_WAIT_DIVISOR);
  refusal.retry_after_us = MAX (refusal.retry_after_us, RETRY_AFTER_MIN);
  if (word == RET_RESERVED)
    refusal.retry_after_us = promised_at - now;
  if (job->promised)
    ret_count_outcome (sched->returns, false);
  snprintf (refusal.rule, sizeof refusal.rule,
            "tier %u: %u waiting, start in %.0f ms, of use for %.0f ms", job->ask.tier,
            wait_tier (job->service, job->ask.tier)->count, MIN (wait, 1e9) / 1e3,
            (double) (job->ask.limit_at - now) / 1e3);
  ret_explain (word, refusal.retry_after_us, refusal.rule, sizeof refusal.rule);
  sched_remove_job (sched, job, now);
  sched->ops->refuse (sched->host, key.owner, key.request, &refusal);
}

void
admit_refuse (Sched *sched, Job *job, FtReason reason, double wait, int64_t now)
{
  refuse (sched, job, reason, wait, 0, RET_NO_RESERVATION, now);
}

/* ---- Times that are promised ---- */

static uint64_t
line_of (const Job *job)
{
  return ret_resource_id (job->service->name, job->ask.tier);
}

/* Where higher tiers leave no places none are promised: the caller would come and wait in vain. */
static bool
promise (Sched *sched, const Job *job, RetDemand *offer, int64_t now, int64_t *at)
{
  offer->rate = est_places_left (sched, job->service, job->ask.tier, false, now);
  *at = INT64_MAX;
  return est_share_above (sched, job->service, job->ask.tier, now) < 1
         && ret_reserve (sched->returns, offer, at);
}

/* Refuses for want of places, with a time at which it is served if there is one. A time that leads
 * to a late answer is not promised: its place would be taken from a newcomer that can be on time.
 */
static void
refuse_short (Sched *sched, Job *job, double wait, int64_t now)
{
  RetDemand offer = { .line = line_of (job),
                      .content = job->ask.content,
                      .cost = job->work_us,
                      .not_before = now + RETRY_AFTER_MIN,
                      .useful_until = job->ask.aim_at
                                      - (int64_t) (FIRST_EVENT_FACTOR
                                                   * est_first_us (sched, job->service, &job->ask)),
                      .end_at = job->ask.end_at };
  RetAdvice word = RET_NO_RESERVATION;
  int64_t at = INT64_MAX;

  if (sched->returns && ret_share (sched->returns) > 0 && offer.content)
    {
      word = promise (sched, job, &offer, now, &at) ? RET_RESERVED : RET_TOO_LATE;
      if (at < INT64_MAX)
        wait = MAX (wait, (double) (at - now));
    }
  if (word == RET_TOO_LATE)
    ret_record_wait (sched->returns, &offer, (int64_t) CLAMP (wait, RETRY_AFTER_MIN, 1e9));
  refuse (sched, job, FT_REASON_SHORTAGE, wait, at, word, now);
}

static RetState
state_of (const Sched *sched, const Job *job, int64_t *at, bool *promised)
{
  *at = 0;
  *promised = false;
  return sched->returns ? ret_lookup (sched->returns, line_of (job), job->ask.content,
                                      job->ask.end_at, at, promised)
                        : RET_UNKNOWN;
}

void
admit_note_return (Sched *sched, Job *job)
{
  int64_t at;
  bool promised;

  job->promised = state_of (sched, job, &at, &promised) == RET_DUE;
  if (job->promised)
    ret_consume (sched->returns, line_of (job), job->ask.content);
}

void
admit_note_grant (Sched *sched, const Job *job)
{
  int64_t at;
  bool promised;

  if (job->promised
      || (state_of (sched, job, &at, &promised) == RET_EARLY
          && ret_consume (sched->returns, line_of (job), job->ask.content)))
    ret_count_outcome (sched->returns, true);
}

/* A caller that comes before the time that it was told gets a free place, as anybody does, but
 * joins no queue. */
static bool
refuse_early (Sched *sched, Job *job, int64_t now)
{
  int64_t at;
  bool promised;

  if (state_of (sched, job, &at, &promised) != RET_EARLY || boff_any_place (sched, job, now))
    return false;
  refuse (sched, job, FT_REASON_SHORTAGE, (double) (at - now), at,
          promised ? RET_RESERVED : RET_TOO_LATE, now);
  return true;
}

/* Those that come back at their promised times meanwhile go before the job. */
static double
wait_us (const Sched *sched, const Job *job, double ahead_us, int64_t now)
{
  double wait = est_wait_us (sched, job->service, job->ask.tier, false, ahead_us, now);

  if (sched->returns == NULL)
    return wait;
  double part = MIN (ret_share (sched->returns), RESERVED_SHARE_MAX);
  double promised = (double) (ret_reserved_until (sched->returns, line_of (job)) - now);
  return wait + part * CLAMP (promised, 0, wait / (1 - part));
}

/* ---- Decisions ---- */

/* Can a request that finds ahead_us of slot time before it be on time? A backlog of late ones does
 * not stand before it. */
static bool
can_be_timely (const Sched *sched, const Job *job, double ahead_us, int64_t now)
{
  double wait = wait_us (sched, job, ahead_us, now);
  double first = est_first_us (sched, job->service, &job->ask);
  double above = est_share_above (sched, job->service, job->ask.tier, now) / CAUTION_SHARE;
  double caution = CAUTION_MIN + (CAUTION_MAX - CAUTION_MIN) * MIN (1, above);

  return (double) now + caution * wait_size_factor (job) * wait + first <= (double) job->ask.aim_at;
}

/* Refuses the request if it cannot be served while it is of use. Returns true when it is queued. */
static bool
queue_or_refuse (Sched *sched, Job *job, double ahead_us, int64_t now)
{
  double wait = est_wait_us (sched, job->service, job->ask.tier, true, ahead_us, now);
  double first = est_first_us (sched, job->service, &job->ask);

  if ((double) now + CAUTION_MAX * wait + first <= (double) job->ask.limit_at
      || boff_any_place (sched, job, now))
    return true;
  refuse_short (sched, job, wait, now);
  return false;
}

/* Would it be on time in a queue by due time, behind all that waits beside it? */
static bool
timely_unfair (const Sched *sched, const Job *job, int64_t now)
{
  double waits = wait_ahead_us (job->service, job->ask.tier, false);

  return can_be_timely (sched, job, MAX (0, waits - job->work_us), now);
}

bool
admit_new (Sched *sched, Job *job, const WaitAhead *ahead, int64_t now)
{
  if (job->promised)
    return true;
  if (refuse_early (sched, job, now))
    return false;
  bool timely = can_be_timely (sched, job, ahead->timely_us, now);
  bool unfair = sched->fair ? timely_unfair (sched, job, now) : timely;

  wait_note_timely (job, timely);
  sched->counts.queued += timely && !unfair;
  if (timely || queue_or_refuse (sched, job, ahead->all_us, now))
    return true;
  sched->counts.refused += unfair;
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

/* Failure: the queue grows while a request waits, by higher tiers or lost servers. Symptom: it is
 * held until its time is over and then refused, too late to come back. So what cannot start in time
 * any more is refused as soon as that is known. */
static void
refuse_hopeless (Sched *sched, Service *service, const Tier *tier, struct cds_list_head *queue,
                 double *ahead, int64_t now)
{
  Job *job, *next;

  cds_list_for_each_entry_safe (job, next, queue, link)
  {
    double first = est_first_us (sched, service, &job->ask);
    int64_t opens_at = boff_earliest_end (service, job->key.owner, now);
    double wait = MAX (est_wait_us (sched, service, tier->tier, job->late, *ahead, now),
                       (double) (opens_at - now));
    bool over = (double) opens_at + first > (double) job->ask.limit_at;
    bool hopeless = (double) now + wait > (double) job->ask.limit_at + (HOPELESS_FACTOR - 1) * wait;
    if (over)
      admit_refuse (sched, job, FT_REASON_SHORTAGE, wait, now);
    else if (hopeless && sched->listed && (service->open == 0 || !boff_any_place (sched, job, now)))
      refuse_short (sched, job, wait, now);
    else
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
      refuse_hopeless (sched, service, tier, &tier->promised, &ahead, now);
      refuse_hopeless (sched, service, tier, &tier->timely, &ahead, now);
      refuse_hopeless (sched, service, tier, &tier->late, &ahead, now);
    }
}
