/* waiting.c - what waits for a place: two queues a tier.
 *
 * Requests that can still be on time go before those that cannot, whichever came first: behind a
 * backlog of late ones every newcomer would become late in its turn, and the backlog would outlive
 * the burst that made it for as long as load stays near what the servers can do. Among those on
 * time the one that is due first goes first; among the late ones that whose caller leaves first,
 * which favours callers that were refused before and came back.
 *
 * With fair shares those on time wait in the order of shares.c. A newcomer then has before it what
 * that order puts there: not all that waits, but also what others will send until it starts.
 */
#include "schedint.h"

#include <math.h>

/* Tuning; each row with its reason. */
#define LATE_SCAN_MAX 64 /* requests looked at in one decision; the rest follow in the next */

#define MEAN_WEIGHT     0.02 /* weight of a new request in the mean: the latest 50 count */
#define SIZE_FACTOR_MAX 3.0  /* times the mean or a part of it that count */
#define LARGE_SIZE      2.0 /* times the mean: about a tenth of requests whose lengths vary tenfold */
#define LARGE_SHARE_MIN 0.75 /* of the others' part on time that large ones have at least */
#define TIMELY_WEIGHT   0.02 /* weight of a new verdict: the latest 50 of each kind count */

static Tier *
tier_new (const Service *service, unsigned number)
{
  Tier *tier = g_new0 (Tier, 1);

  tier->tier = number;
  tier->timely_share[0] = tier->timely_share[1] = 1;
  CDS_INIT_LIST_HEAD (&tier->promised);
  CDS_INIT_LIST_HEAD (&tier->timely);
  CDS_INIT_LIST_HEAD (&tier->late);
  if (service->weights)
    tier->shares = shr_new (service->weights, &tier->timely);
  return tier;
}

void
wait_tier_free (void *data)
{
  Tier *tier = data;

  shr_free (tier->shares);
  g_free (tier);
}

Tier *
wait_tier (Service *service, unsigned number)
{
  unsigned at = 0;

  for (; at < service->tiers->len; at++)
    {
      Tier *tier = service->tiers->pdata[at];
      if (tier->tier == number)
        return tier;
      if (tier->tier > number)
        break;
    }
  Tier *tier = tier_new (service, number);
  g_ptr_array_insert (service->tiers, (gint) at, tier);
  return tier;
}

void
wait_note_arrival (const Job *job, int64_t now)
{
  Tier *tier = wait_tier (job->service, job->ask.tier);
  double work_us = job->work_us;
  double since = (double) (now - tier->inflow_at);

  tier->mean_us
      = tier->mean_us > 0 ? tier->mean_us + MEAN_WEIGHT * (work_us - tier->mean_us) : work_us;
  job->service->mean_us
      = job->service->mean_us > 0
            ? job->service->mean_us + MEAN_WEIGHT * (work_us - job->service->mean_us)
            : work_us;
  tier->inflow = tier->inflow * exp (-since / ARRIVAL_WINDOW_US) + work_us / ARRIVAL_WINDOW_US;
  tier->inflow_at = now;
  if (tier->shares)
    shr_note_arrival (tier->shares, job->org, work_us, now);
}

static double
size_of (const Job *job, const Tier *tier)
{
  return job->service->conf.engine && tier->mean_us > 0 ? job->work_us / tier->mean_us : 1;
}

/* Failure: places run out, and each request of a tier is refused alike, whatever it costs. Symptom:
 * a tenth of the requests, with answers of ten times the usual length, hold half of the places, and
 * the rest is refused. So a large one is refused at a shorter queue and a small one at a longer
 * one, unless large ones have been served much less often than the others of late: nobody is
 * starved. */
double
wait_size_factor (const Job *job)
{
  const Tier *tier = wait_tier (job->service, job->ask.tier);
  double size = size_of (job, tier);

  if (size >= LARGE_SIZE && tier->timely_share[1] < LARGE_SHARE_MIN * tier->timely_share[0])
    return 1 / SIZE_FACTOR_MAX;
  return CLAMP (size, 1 / SIZE_FACTOR_MAX, SIZE_FACTOR_MAX);
}

void
wait_note_timely (const Job *job, bool timely)
{
  Tier *tier = wait_tier (job->service, job->ask.tier);
  bool large = size_of (job, tier) >= LARGE_SIZE;

  tier->timely_share[large] += TIMELY_WEIGHT * (timely - tier->timely_share[large]);
}

static int64_t
due_at (const Job *job)
{
  return job->late ? job->ask.end_at : job->ask.aim_at;
}

/* Behind those that are due no later; the new one is usually due last. */
static void
insert_by_due (struct cds_list_head *queue, Job *job)
{
  struct cds_list_head *at = queue->prev;

  while (at != queue && due_at (cds_list_entry (at, Job, link)) > due_at (job))
    at = at->prev;
  cds_list_add (&job->link, at);
}

void
wait_add (Job *job, int64_t now)
{
  Tier *tier = wait_tier (job->service, job->ask.tier);

  if (job->promised)
    cds_list_add_tail (&job->link, &tier->promised);
  else if (tier->shares && !job->late)
    shr_add (tier->shares, &job->item, job->org, job->work_us, due_at (job), now);
  else
    insert_by_due (job->late ? &tier->late : &tier->timely, job);
  tier->count++;
  *(job->late ? &tier->late_us : &tier->timely_us) += job->work_us;
}

static void
count_out (Tier *tier, const Job *job)
{
  double *work = job->late ? &tier->late_us : &tier->timely_us;

  tier->count--;
  *work = MAX (0, *work - job->work_us);
  if (tier->count == 0)
    tier->timely_us = tier->late_us = 0; /* no sums of rounding errors */
}

void
wait_remove (Job *job)
{
  Tier *tier = wait_tier (job->service, job->ask.tier);

  if (job->item.org)
    shr_remove (tier->shares, &job->item);
  else
    cds_list_del (&job->link);
  count_out (tier, job);
}

void
wait_serve (Job *job, int64_t now)
{
  Tier *tier = wait_tier (job->service, job->ask.tier);
  bool queued = job->item.org != NULL;

  if (!queued)
    cds_list_del (&job->link);
  if (tier->shares)
    shr_serve (tier->shares, queued ? &job->item : NULL, job->org, job->work_us, now);
  count_out (tier, job);
}

static void
requeue (GPtrArray *jobs, int64_t now)
{
  for (unsigned i = 0; i < jobs->len; i++)
    wait_add (jobs->pdata[i], now);
}

void
wait_set_fair (Service *service, const ShrWeights *weights, int64_t now)
{
  Job *job, *next;

  service->weights = weights;
  for (unsigned i = 0; i < service->tiers->len; i++)
    {
      Tier *tier = service->tiers->pdata[i];
      GPtrArray *jobs = g_ptr_array_new ();
      cds_list_for_each_entry_safe (job, next, &tier->timely, link)
      {
        wait_remove (job);
        g_ptr_array_add (jobs, job);
      }
      shr_free (tier->shares);
      tier->shares = weights ? shr_new (weights, &tier->timely) : NULL;
      requeue (jobs, now);
      g_ptr_array_unref (jobs);
    }
}

static void
sort_out (const Sched *sched, Service *service, Tier *tier, unsigned most, int64_t now)
{
  Job *job, *next;
  unsigned seen = 0;

  if (tier->shares)
    shr_reorder (tier->shares);
  cds_list_for_each_entry_safe (job, next, &tier->timely, link)
  {
    if (seen++ >= most)
      break;
    if ((double) now + est_first_us (sched, service, &job->ask) <= (double) job->ask.aim_at)
      continue;
    wait_remove (job);
    job->late = true;
    wait_add (job, now);
  }
  if (tier->shares)
    shr_reorder (tier->shares);
}

void
wait_move_late (const Sched *sched, Service *service, Tier *tier, int64_t now)
{
  sort_out (sched, service, tier, LATE_SCAN_MAX, now);
}

/* Failure: in fair order those of an organisation above its share wait at the end of the queue,
 * also those that are due first. Symptom: beyond LATE_SCAN_MAX nobody sees that they have become
 * late, and newcomers are refused for the sake of work that is counted as on time. */
void
wait_move_all_late (const Sched *sched, Service *service, int64_t now)
{
  for (unsigned i = 0; i < service->tiers->len; i++)
    {
      Tier *tier = service->tiers->pdata[i];
      if (tier->shares && shr_waiting_orgs (tier->shares) > 1)
        sort_out (sched, service, tier, UINT_MAX, now);
    }
}

double
wait_ahead_us (const Service *service, unsigned number, bool late)
{
  double work = 0;

  for (unsigned i = 0; i < service->tiers->len; i++)
    {
      const Tier *tier = service->tiers->pdata[i];
      if (tier->tier < number || (tier->tier == number && late))
        work += tier->timely_us + tier->late_us;
      else if (tier->tier == number)
        work += tier->timely_us;
    }
  return work;
}

WaitAhead
wait_ahead (const Sched *sched, const Job *job, int64_t now)
{
  Service *service = job->service;
  unsigned number = job->ask.tier;
  const Tier *tier = wait_tier (service, number);
  WaitAhead ahead
      = { wait_ahead_us (service, number, false), wait_ahead_us (service, number, true) };
  ShrOvertaking turn;

  if (tier->shares == NULL)
    return ahead;
  shr_overtaking (tier->shares, job->org, job->work_us, ahead.timely_us,
                  est_places_left (sched, service, number, false, now), now, &turn);
  ahead.timely_us += turn.overtaken_by_us - turn.overtakes_us;
  return ahead;
}
