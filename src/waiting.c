/* waiting.c - what waits for a place: two queues a tier.
 *
 * Requests that can still be on time go before those that cannot, whichever came first: behind a
 * backlog of late ones every newcomer would become late in its turn, and the backlog would outlive
 * the burst that made it for as long as load stays near what the servers can do. Among those on
 * time the one that is due first goes first; among the late ones that whose caller leaves first,
 * which favours callers that were refused before and came back.
 */
#include "schedint.h"

#include <math.h>

/* Tuning; each row with its reason. */
#define SORT_MOST 64 /* requests looked at in one decision; the rest follow in the next */

static Tier *
tier_new (unsigned number)
{
  Tier *tier = g_new0 (Tier, 1);

  tier->tier = number;
  CDS_INIT_LIST_HEAD (&tier->timely);
  CDS_INIT_LIST_HEAD (&tier->late);
  return tier;
}

void
wait_tier_free (void *tier)
{
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
  Tier *tier = tier_new (number);
  g_ptr_array_insert (service->tiers, (gint) at, tier);
  return tier;
}

void
wait_note_arrival (Tier *tier, double work_us, int64_t now)
{
  double since = (double) (now - tier->inflow_at);

  tier->inflow = tier->inflow * exp (-since / INFLOW_US) + work_us / INFLOW_US;
  tier->inflow_at = now;
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
wait_add (Job *job)
{
  Tier *tier = wait_tier (job->service, job->ask.tier);

  insert_by_due (job->late ? &tier->late : &tier->timely, job);
  tier->count++;
  *(job->late ? &tier->late_us : &tier->timely_us) += job->work_us;
}

void
wait_remove (Job *job)
{
  Tier *tier = wait_tier (job->service, job->ask.tier);
  double *work = job->late ? &tier->late_us : &tier->timely_us;

  cds_list_del (&job->link);
  tier->count--;
  *work = MAX (0, *work - job->work_us);
  if (tier->count == 0)
    tier->timely_us = tier->late_us = 0; /* no sums of rounding errors */
}

void
wait_sort_out (const Sched *sched, Service *service, Tier *tier, int64_t now)
{
  Job *job, *next;
  unsigned seen = 0;

  cds_list_for_each_entry_safe (job, next, &tier->timely, link)
  {
    if (seen++ >= SORT_MOST)
      break;
    if ((double) now + est_first_us (sched, service, &job->ask) <= (double) job->ask.aim_at)
      continue;
    wait_remove (job);
    job->late = true;
    wait_add (job);
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
