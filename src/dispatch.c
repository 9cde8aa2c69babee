/* dispatch.c - grants free places to waiting requests, tier by tier. Within a tier requests that
 * can still be on time go first.
 */
#include "schedint.h"

#define SCAN_MAX 48 /* waiting requests of a queue examined in one dispatch */
/* requests of connected owners that may overtake one that is due earlier; this costs it a few ms at
 * the load that makes requests wait */
#define OVERTAKEN_MAX 8

static void
grant (Sched *sched, Job *job, Server *server, int64_t now)
{
  wait_serve (job, now);
  admit_note_grant (sched, job);
  sched_start_job (job, server, now);
  pace_take (sched, server, now);
  if (server->use == USE_ALL && !est_has_place (sched, server, now)
      && job->service->open_servers > 0)
    job->service->open_servers--;
  sched->ops->grant (sched->host, job->key.owner, job->key.request, job->org, server->id,
                     est_max_idle_us (server, now));
}

bool
disp_place (Sched *sched, Job *job, int64_t now)
{
  Server *server = est_choose (sched, job, now);

  if (server)
    grant (sched, job, server, now);
  return server != NULL;
}

bool
disp_place_on_trial (Sched *sched, Job *job, int64_t now)
{
  Server *server = job->for_trial ? ver_choose (sched, job, now) : NULL;

  job->for_trial = false;
  if (server)
    grant (sched, job, server, now);
  return server != NULL;
}

void
disp_count_open (const Sched *sched, Service *service, int64_t now)
{
  const Server *server;

  service->open_servers = 0;
  cds_list_for_each_entry (server, &service->servers, link)
  {
    service->open_servers += est_has_place (sched, server, now);
  }
}

static void
count_overtaken (struct cds_list_head *queue, const Job *by)
{
  Job *job;

  cds_list_for_each_entry (job, queue, link)
  {
    if (job == by)
      return;
    job->overtaken++;
  }
}

/* Grants free places first to waiting requests whose owner has a connection to the server. By due
 * time alone hardly any would have one when places are short, and each new connection occupies its
 * place while it is set up. No request is overtaken by more than OVERTAKEN_MAX of them. The average
 * wait does not grow, since the place is in use either way. */
static void
dispatch_connected (Sched *sched, Service *service, struct cds_list_head *queue, int64_t now)
{
  Job *job, *next;
  unsigned scanned = 0;

  if (queue->next == queue->prev) /* empty or a single request */
    return;
  cds_list_for_each_entry_safe (job, next, queue, link)
  {
    if (scanned++ >= SCAN_MAX || service->open_servers == 0 || job->overtaken >= OVERTAKEN_MAX)
      return;
    if (!est_connected_place (sched, job, now))
      continue;
    Server *server = est_choose (sched, job, now);
    if (server == NULL || server->connected_choice != sched->choices)
      continue;
    count_overtaken (queue, job);
    grant (sched, job, server, now);
  }
}

static void
dispatch_queue (Sched *sched, Service *service, struct cds_list_head *queue, int64_t now)
{
  Job *job, *next;
  unsigned scanned = 0;

  dispatch_connected (sched, service, queue, now);
  cds_list_for_each_entry_safe (job, next, queue, link)
  {
    if (scanned++ >= SCAN_MAX || service->open_servers == 0)
      break;
    disp_place (sched, job, now);
  }
}

/* Requests that can be on time go first, since a late answer is worth less. */
static void
dispatch_tier (Sched *sched, Service *service, Tier *tier, int64_t now)
{
  wait_move_late (sched, service, tier, now);
  dispatch_queue (sched, service, &tier->reserved, now);
  dispatch_queue (sched, service, &tier->timely, now);
  dispatch_queue (sched, service, &tier->late, now);
}

/* Servers of a version that is not in use do not count as open, so the queues are not searched for
 * them. */
static void
dispatch_bound (Sched *sched, Service *service, int64_t now)
{
  Job *job, *next;
  unsigned scanned = 0;

  cds_list_for_each_entry_safe (job, next, &service->bound, bound_link)
  {
    if (scanned++ >= SCAN_MAX)
      return;
    if (ver_waits_apart (job))
      disp_place (sched, job, now);
  }
}

unsigned
disp_count_waiting (const Service *service)
{
  unsigned count = 0;

  for (unsigned i = 0; i < service->tiers->len; i++)
    count += ((Tier *) service->tiers->pdata[i])->count;
  return count;
}

void
disp_queues (Sched *sched, Service *service, int64_t now)
{
  unsigned waiting = disp_count_waiting (service);

  if (waiting == 0)
    return;
  est_summary (sched, service);
  dispatch_bound (sched, service, now);
  if (waiting == 1)
    service->open_servers = 1; /* est_choose itself finds out whether a place is free */
  else
    disp_count_open (sched, service, now);
  for (unsigned i = 0; i < service->tiers->len; i++)
    {
      Tier *tier = service->tiers->pdata[i];
      if (tier->count > 0 && service->open_servers > 0)
        dispatch_tier (sched, service, tier, now);
    }
}
