/* health.c - which servers are taken out, for how long, and what brings them back.
 *
 * Connections refused, failures and silence take a server out for a while that doubles; then one
 * request, repeatable if there is such, tries it. Only servers clearly worse than their service's
 * mean are taken out for failing, and no more than half of them: a fault that all share is not
 * cured by sending everything to the rest.
 */
#include "schedint.h"

/* Tuning; each row with its reason. */
#define OUT_MIN        (300 * FT_MS)    /* first time out: a restart or a lost packet */
#define OUT_REJECTED   (40 * FT_MS)     /* a full server: until one of its places is free */
#define OUT_GONE       (10 * FT_SECOND) /* lists show a lost server for some seconds */
#define FAILURE_WEIGHT 0.2              /* weight of a new outcome in the share of failures */
#define FAILURE_SHARE_MAX                                                                          \
  0.7 /* share of failures that takes a server out: six in a row; one that fails four in ten is of \
         use when the others are full */
#define FAILURE_MEAN_FACTOR 1.8 /* and so many times its service's mean */

static double
mean_failures (const Service *service)
{
  const Server *server;
  double sum = 0;
  unsigned count = 0;

  cds_list_for_each_entry (server, &service->servers, link)
  {
    sum += server->failures;
    count++;
  }
  return count ? sum / count : 0;
}

static unsigned
count_out (const Service *service, unsigned *all)
{
  const Server *server;
  unsigned out = 0;

  *all = 0;
  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (!server->listed || server->leaving)
      continue;
    (*all)++;
    out += server->trial; /* out, or tried by one request at a time */
  }
  return out;
}

static void
take_out (Sched *sched, Server *server, const char *why, int64_t now)
{
  if (now < server->out_until)
    return;
  server->out_for = CLAMP (server->out_for * 2, OUT_MIN, OUT_MAX);
  server->out_at = now;
  server->out_until = now + server->out_for;
  server->trial = true;
  sched->ops->believes (sched->host, server->id, true, why, server->out_for);
}

/* Failure: a server is taken out because it fails too much, while it still runs what it was given
 * before. Symptom: the next of these answers brings it back within milliseconds, and it fails on.
 * Of one that failed only what was sent after that counts, either way; one that was unreachable or
 * silent is back with whatever it answers. */
static bool
says_nothing_new (const Server *server, int64_t granted_at)
{
  return server->trial && server->out_for_failures && granted_at <= server->out_at;
}

static void
judge_failure (Sched *sched, Server *server, int64_t granted_at, int64_t now)
{
  unsigned all, out = count_out (server->service, &all);

  server->failures += FAILURE_WEIGHT * (1 - server->failures);
  server->failed_at = now;
  if (says_nothing_new (server, granted_at))
    return;
  if (server->trial)
    take_out (sched, server, "failed its trial", now);
  else if (server->failures > FAILURE_SHARE_MAX
           && server->failures > FAILURE_MEAN_FACTOR * mean_failures (server->service)
           && (out + 1) * 2 <= all)
    {
      server->out_for_failures = true;
      take_out (sched, server, "fails more than the others", now);
    }
}

static void
judge_success (Sched *sched, Server *server, int64_t granted_at, int64_t now)
{
  server->failures -= FAILURE_WEIGHT * server->failures;
  server->answered_at = now;
  if (says_nothing_new (server, granted_at))
    return;
  server->out_until = 0;
  if (!server->trial)
    {
      if (server->failures < FAILURE_SHARE_MAX / 4)
        server->out_for = 0;
      return;
    }
  server->trial = server->out_for_failures = false;
  sched->ops->believes (sched->host, server->id, false, "answered", 0);
}

/* Failure: one request takes long at a server that answers others. Symptom: the server is taken out
 * as if it were dark, and a third of a service's places are lost at worst load. Only a server that
 * has answered nothing since is taken out. */
void
health_note_silence (Sched *sched, Server *server, int64_t granted_at, int64_t now)
{
  server->failures += FAILURE_WEIGHT * (1 - server->failures);
  if (server->answered_at <= granted_at)
    take_out (sched, server, "does not answer", now);
}

void
health_update (Sched *sched, Server *server, const SchedResult *result, int64_t granted_at,
               int64_t now)
{
  switch (result->outcome)
    {
    case SCHED_OK:
      judge_success (sched, server, granted_at, now);
      break;
    case SCHED_FAILED:
      judge_failure (sched, server, granted_at, now);
      break;
    case SCHED_UNREACHED:
      take_out (sched, server, "takes no connection", now);
      break;
    case SCHED_SILENT:
      health_note_silence (sched, server, granted_at, now);
      break;
    /* Failure: a server crashes and another starts at its address, while the list still shows the
     * first. Symptom: its places seem free, and one request after the other is turned away there.
     * The lifetime has ended; the list will say so. */
    case SCHED_GONE:
      server->out_until = now + OUT_GONE;
      server->trial = true;
      sched->ops->believes (sched->host, server->id, true, "another server has its address",
                            OUT_GONE);
      break;
    case SCHED_REJECTED:
      server->out_until = MAX (server->out_until, now + OUT_REJECTED);
      break;
    case SCHED_LEFT:
      break;
    }
  if (result->event_us > 0)
    est_learn (&server->token_us, (double) result->event_us / server->service->conf.stride);
  if (result->answer_us > 0 && result->outcome == SCHED_OK && !server->service->conf.engine)
    est_learn (&server->answer_us, (double) result->answer_us);
}
