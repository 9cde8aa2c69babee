/* pace.c - rate limits that servers announce.
 *
 * A limit covers all instances together, so it is enforced where requests are placed: one token
 * bucket a server, and each grant takes a token. A scheduler that shares the servers with others
 * fills its bucket with its part of the rate only. A new bucket is empty, since the server has just
 * received requests without a limit.
 *
 * Notices of a rate arrive from several instances and may be reordered. A lower rate is applied at
 * once. A higher rate, or an answer without one, is applied only if its request was granted after
 * the latest notice: only then is it known to be newer.
 */
#include "schedint.h"

#define BURST_S 0.1 /* seconds of the rate that may be used at once */

static double
capacity (const Pace *pace)
{
  return MAX (1, pace->rate * BURST_S);
}

static double
tokens (const Sched *sched, const Pace *pace, int64_t now)
{
  double refilled = (double) (now - pace->filled_at) / 1e6 * pace->rate * sched->rate_part;

  return MIN (capacity (pace), pace->tokens + refilled);
}

static void
fill (const Sched *sched, Pace *pace, int64_t now)
{
  pace->tokens = tokens (sched, pace, now);
  pace->filled_at = now;
}

bool
pace_bucket_has_token (const Sched *sched, const Server *server, int64_t now)
{
  return tokens (sched, &server->pace, now) >= 1;
}

void
pace_take (const Sched *sched, Server *server, int64_t now)
{
  if (server->pace.rate <= 0)
    return;
  fill (sched, &server->pace, now);
  server->pace.tokens -= 1;
}

double
pace_places (const Sched *sched, const Server *server, double places)
{
  double rate = server->pace.rate * sched->rate_part;

  if (server->pace.rate <= 0 || server->service->mean_us <= 0)
    return places; /* before the first request nothing is known of its time */
  return MIN (places, rate * server->service->mean_us / 1e6);
}

static void
open_bucket (const Sched *sched, Pace *pace, double rate, double first, int64_t now)
{
  if (pace->rate > 0)
    fill (sched, pace, now);
  else
    pace->tokens = first;
  pace->rate = rate;
  pace->filled_at = now;
  pace->tokens = MIN (pace->tokens, capacity (pace));
}

static void
tell (const Sched *sched, const Server *server, double before)
{
  if (server->pace.rate != before)
    server->service->summary.until = 0;
  if (sched->ops->paced && server->pace.rate != before)
    sched->ops->paced (sched->host, server->id, before, server->pace.rate);
}

static bool
is_later (const Server *server, const Job *job)
{
  return job && job->server == server && !job->adopted
         && job->granted_at > server->pace.announced_at;
}

void
pace_apply_notice (const Sched *sched, Server *server, const Job *job, double rate, int64_t now)
{
  Pace *pace = &server->pace;
  double before = pace->rate;

  if (rate <= 0 && before <= 0)
    return;
  if (before > 0 && (rate <= 0 || rate > before) && !is_later (server, job))
    return;
  if (rate > 0)
    open_bucket (sched, pace, rate, 0, now);
  else
    pace->rate = 0;
  pace->announced_at = now;
  tell (sched, server, before);
}

void
pace_apply_older_notice (const Sched *sched, Server *server, double rate, int64_t age, int64_t now)
{
  Pace *pace = &server->pace;
  double most = (double) age / 1e6 * rate;

  if (rate <= 0)
    return;
  if (pace->rate > 0)
    {
      fill (sched, pace, now);
      pace->tokens = MIN (pace->tokens, most);
      return;
    }
  open_bucket (sched, pace, rate, most, now);
  pace->announced_at = now;
  tell (sched, server, 0);
}

void
sched_set_rate_share (Sched *sched, double part)
{
  GHashTableIter iter;
  gpointer value;
  int64_t now = ft_clock_now (sched->clock);

  if (part == sched->rate_part)
    return;
  g_hash_table_iter_init (&iter, sched->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Server *server = value;
      Pace *pace = &server->pace;
      if (pace->rate <= 0)
        continue;
      server->service->summary.until = 0;
      fill (sched, pace, now);
      if (part <= 0)
        pace->tokens = 0; /* others give the rate away from now on */
    }
  sched->rate_part = part;
}
