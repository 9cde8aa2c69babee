/* pace.c - rate limits that servers announce.
 *
 * A limit applies to the total rate from all instances, so the scheduler enforces it, with one
 * token bucket per server. Each grant takes a token. A scheduler that shares the servers with
 * others refills its buckets at its share of the rate. A new bucket starts empty, because the
 * server has just received requests without a limit; if the notice is some time old, it starts with
 * the tokens accrued since then.
 *
 * Rate notices arrive through several instances and may be out of order. A lower rate is applied at
 * once. A higher rate, or the end of the limit (an answer that announces no rate), is applied only
 * if the answered request was granted after the last notice was applied; otherwise the answer may
 * be older than that notice.
 */
#include "schedint.h"

#define BURST_SECONDS 0.1 /* bucket capacity: the requests of this time, but at least one */

static double
capacity (const Pace *pace)
{
  return MAX (1, pace->rate * BURST_SECONDS);
}

static double
current_tokens (const Sched *sched, const Pace *pace, int64_t now)
{
  double refilled = (double) (now - pace->filled_at) / 1e6 * pace->rate * sched->rate_share;

  return MIN (capacity (pace), pace->tokens + refilled);
}

static void
refill (const Sched *sched, Pace *pace, int64_t now)
{
  pace->tokens = current_tokens (sched, pace, now);
  pace->filled_at = now;
}

bool
pace_bucket_has_token (const Sched *sched, const Server *server, int64_t now)
{
  return current_tokens (sched, &server->pace, now) >= 1;
}

void
pace_take (const Sched *sched, Server *server, int64_t now)
{
  if (server->pace.rate <= 0)
    return;
  refill (sched, &server->pace, now);
  server->pace.tokens -= 1;
}

double
pace_places (const Sched *sched, const Server *server, double places)
{
  double rate = server->pace.rate * sched->rate_share;

  if (server->pace.rate <= 0 || server->service->mean_us <= 0)
    return places; /* unlimited, or no request has been measured yet */
  return MIN (places, rate * server->service->mean_us / 1e6);
}

static void
set_bucket_rate (const Sched *sched, Pace *pace, double rate, double initial_tokens, int64_t now)
{
  if (pace->rate > 0)
    refill (sched, pace, now);
  else
    pace->tokens = initial_tokens;
  pace->rate = rate;
  pace->filled_at = now;
  pace->tokens = MIN (pace->tokens, capacity (pace));
}

static void
on_rate_changed (const Sched *sched, const Server *server, double before)
{
  if (server->pace.rate != before)
    server->service->summary.until = 0; /* the summary must be computed again */
  if (sched->ops->rate_changed && server->pace.rate != before)
    sched->ops->rate_changed (sched->host, server->id, before, server->pace.rate);
}

static bool
granted_after_last_notice (const Server *server, const Job *job)
{
  return sched_granted_after (server, job, server->pace.announced_at);
}

void
pace_apply_notice (const Sched *sched, Server *server, const Job *job, double rate, int64_t now)
{
  Pace *pace = &server->pace;
  double before = pace->rate;

  if (rate <= 0 && before <= 0)
    return;
  if (before > 0 && (rate <= 0 || rate > before) && !granted_after_last_notice (server, job))
    return;
  if (rate > 0)
    set_bucket_rate (sched, pace, rate, 0, now);
  else
    pace->rate = 0;
  pace->announced_at = now;
  on_rate_changed (sched, server, before);
}

void
pace_apply_older_notice (const Sched *sched, Server *server, double rate, int64_t age, int64_t now)
{
  Pace *pace = &server->pace;
  /* a bucket that was empty when the notice was received holds at most this much now */
  double max_tokens = (double) age / 1e6 * rate;

  if (rate <= 0)
    return;
  if (pace->rate > 0)
    {
      refill (sched, pace, now);
      pace->tokens = MIN (pace->tokens, max_tokens);
      return;
    }
  set_bucket_rate (sched, pace, rate, max_tokens, now);
  pace->announced_at = now;
  on_rate_changed (sched, server, 0);
}

void
sched_set_rate_share (Sched *sched, double share)
{
  GHashTableIter iter;
  gpointer value;
  int64_t now = ft_clock_now (sched->clock);

  if (share == sched->rate_share)
    return;
  g_hash_table_iter_init (&iter, sched->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Server *server = value;
      Pace *pace = &server->pace;
      if (pace->rate <= 0)
        continue;
      server->service->summary.until = 0;
      refill (sched, pace, now);
      if (share <= 0)
        pace->tokens = 0; /* the whole rate belongs to other schedulers from now on */
    }
  sched->rate_share = share;
}
