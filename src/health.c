/* health.c - which servers are taken out, for how long, and how they come back.
 *
 * Failed connections, failed requests and missing answers take a server out for a time that doubles
 * on each repetition. Then single requests probe it, preferably repeatable ones, until one
 * succeeds. For failed requests, only servers clearly worse than the mean of their service are
 * taken out, and at most half of them: a common fault is not cured by sending all requests to the
 * remaining servers.
 */
#include "schedint.h"

/* Tuning constants. */
#define OUT_MIN (300 * FT_MS) /* first time out; covers a restart or a lost packet */
/* time out after a rejection, until the full server has a free place */
#define OUT_REJECTED (40 * FT_MS)
/* time out of a replaced server; lists show it for some seconds more */
#define OUT_GONE       (10 * FT_SECOND)
#define FAILURE_WEIGHT 0.2 /* weight of a new outcome in the failure share */
/* failure share above which a server is taken out, reached by six failures in a row; a server that
 * fails four in ten is still of use when the others are full */
#define FAILURE_SHARE_MAX   0.7
#define FAILURE_MEAN_FACTOR 1.8 /* and only if above this multiple of its service's mean */

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
    out += server->probing; /* out, or probed by one request at a time */
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
  server->probing = true;
  sched->ops->server_state (sched->host, server->id, true, why, server->out_for);
}

/* True if a result must not change the state of a server that was taken out for failing, because
 * the request was sent before. Otherwise the next success among its running requests would bring it
 * back within milliseconds. A server that was unreachable or silent comes back with any answer. */
static bool
is_outdated (const Server *server, int64_t granted_at)
{
  return server->probing && server->out_for_failures && granted_at <= server->out_at;
}

static void
update_on_failure (Sched *sched, Server *server, int64_t granted_at, int64_t now)
{
  unsigned all, out = count_out (server->service, &all);

  server->failures += FAILURE_WEIGHT * (1 - server->failures);
  server->failed_at = now;
  if (is_outdated (server, granted_at))
    return;
  if (server->probing)
    take_out (sched, server, "failed a probe request", now);
  else if (server->failures > FAILURE_SHARE_MAX
           && server->failures > FAILURE_MEAN_FACTOR * mean_failures (server->service)
           && (out + 1) * 2 <= all)
    {
      server->out_for_failures = true;
      take_out (sched, server, "failure rate is above the service's mean", now);
    }
}

static void
update_on_success (Sched *sched, Server *server, int64_t granted_at, int64_t now)
{
  server->failures -= FAILURE_WEIGHT * server->failures;
  server->answered_at = now;
  if (is_outdated (server, granted_at))
    return;
  server->out_until = 0;
  if (!server->probing)
    {
      if (server->failures < FAILURE_SHARE_MAX / 4)
        server->out_for = 0;
      return;
    }
  server->probing = server->out_for_failures = false;
  sched->ops->server_state (sched->host, server->id, false, "answered", 0);
}

/* Takes the server out only if it has answered nothing since the grant. If a single slow request
 * were enough, a third of a service's places could be lost at the highest load. */
void
health_note_silence (Sched *sched, Server *server, int64_t granted_at, int64_t now)
{
  server->failures += FAILURE_WEIGHT * (1 - server->failures);
  if (server->answered_at <= granted_at)
    take_out (sched, server, "no answer in time", now);
}

void
health_update (Sched *sched, Server *server, const SchedResult *result, int64_t granted_at,
               int64_t now)
{
  switch (result->outcome)
    {
    case SCHED_OK:
      update_on_success (sched, server, granted_at, now);
      break;
    case SCHED_FAILED:
      update_on_failure (sched, server, granted_at, now);
      break;
    case SCHED_UNREACHED:
      take_out (sched, server, "cannot connect", now);
      break;
    case SCHED_SILENT:
      health_note_silence (sched, server, granted_at, now);
      break;
    /* A server crashed and another one started at its address, but the list still shows the first.
     * Its places seem free while each request sent there is rejected, so it is out for a time in
     * which the list is usually updated. */
    case SCHED_GONE:
      server->out_until = now + OUT_GONE;
      server->probing = true;
      sched->ops->server_state (sched->host, server->id, true,
                                "another server answers at its address", OUT_GONE);
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
