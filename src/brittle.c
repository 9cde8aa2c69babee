/* brittle.c - servers that crash if they reject too many requests in a second.
 *
 * Such a server announces how many rejections a second it bears, summed over all instances. It may
 * run fewer requests than it lists, so the scheduler keeps its own estimate of the server's room.
 * The estimate starts at the listed places, because a server that announces its brittleness still
 * has them at first. At a rejection it drops to what the server was running, so that the server
 * gets no new request before one of those has ended; it grows by one when the server has been full
 * without a rejection for a while. A server whose room is not known, since a scheduler has just
 * taken over or since the server is new in a service with brittle servers, starts with what it
 * runs, and its room grows with each success up to the first rejection.
 *
 * That bounds the rejections only once the first one is known here. So the number of recent grants
 * whose outcome is not known yet, together with that of recent rejections, is at most half of what
 * the server bears; one request at a time may go beyond that half. The rest covers rejections of
 * requests from other schedulers and those reported late.
 *
 * Notices arrive as those of rate limits do (pace.c) and the same rules apply: a lower number
 * counts at once, a higher one or the end only from an answer to a request granted after the last
 * notice was applied.
 */
#include "schedint.h"

/* Tuning constants. */
/* part of the announced number of rejections that may be risked: at once, and one by one */
#define RISK_PART     0.5
#define RISK_PART_MAX 0.75
/* how long a rejection counts: the server's second, and delays */
#define REJECTION_WINDOW (1500 * FT_MS)
#define REJECTION_PAUSE  (100 * FT_MS) /* no new request for so long after a rejection */
/* longest time from a grant to its rejection; older requests are taken for accepted */
#define CONFIRM_TIME (20 * FT_MS)
/* time without a rejection until the room grows; doubled each time that it has grown in vain */
#define CALM_MIN (4 * FT_SECOND)
#define CALM_MAX (32 * FT_SECOND)
/* part of the room left free while other schedulers grant places of the server too */
#define RESERVE_PART 0.25
/* how long after a notice new servers of its service are taken for brittle: a restart and the lag
 * of the list */
#define SERVICE_MEMORY (15 * FT_SECOND)

static void
set_room (Server *server, unsigned room, int64_t now)
{
  server->brittle.room = CLAMP (room, 1, server->slots);
  server->brittle.changed_at = now;
  server->service->summary.until = 0;
}

unsigned
brit_room (const Server *server)
{
  return server->brittle.limit > 0 ? MIN (server->brittle.room, server->slots) : server->slots;
}

double
brit_shared_room (const Server *server)
{
  return brit_room (server) * (server->brittle.limit > 0 ? 1 - RESERVE_PART : 1);
}

/* ---- Rejections ---- */

static unsigned
count_recent_rejections (const Brittle *brittle, int64_t now)
{
  unsigned count = 0;

  for (unsigned i = 0; i < MIN (brittle->rejections, BRIT_REJECTIONS_MAX); i++)
    count += now - brittle->rejected_at[i] < REJECTION_WINDOW;
  return count;
}

static unsigned
count_unconfirmed (const Server *server, int64_t now)
{
  const Job *job;
  unsigned count = 0;

  cds_list_for_each_entry_reverse (job, &server->runs, link)
  {
    if (now - job->granted_at >= CONFIRM_TIME)
      break;
    count += !job->got_first_event;
  }
  return count;
}

bool
brit_is_calm (const Sched *sched, const Server *server, int64_t now)
{
  const Brittle *brittle = &server->brittle;

  if (brittle->rejections > 0 && now - brittle->last_rejected_at < REJECTION_PAUSE)
    return false;
  double limit = MIN (brittle->limit * sched->rate_share, BRIT_REJECTIONS_MAX);
  unsigned rejected = count_recent_rejections (brittle, now);
  unsigned unconfirmed = count_unconfirmed (server, now);
  return rejected + unconfirmed + 1 <= MAX (1, limit * RISK_PART)
         || (unconfirmed == 0 && rejected + 1 <= limit * RISK_PART_MAX);
}

void
brit_note_rejection (const Sched *sched, Server *server, int64_t now)
{
  Brittle *brittle = &server->brittle;

  if (brittle->limit <= 0)
    return;
  brittle->rejected_at[brittle->rejections++ % BRIT_REJECTIONS_MAX] = now;
  brittle->last_rejected_at = now;
  brittle->calm_for = CLAMP (brittle->calm_for * 2, CALM_MIN, CALM_MAX);
  /* with a share of the places, of which the server runs this scheduler's requests only */
  double running = server->running / (sched->share > 0 ? MIN (sched->share, 1) : 1);
  set_room (server, (unsigned) MIN (running, brit_room (server)), now);
  brittle->proven = MIN (brittle->proven, brittle->room);
}

/* ---- Room ---- */

static bool
may_grow (const Server *server, int64_t now)
{
  const Brittle *brittle = &server->brittle;

  return brittle->limit > 0 && brittle->room < server->slots
         && (brittle->rejections == 0 || now - brittle->changed_at >= brittle->calm_for);
}

void
brit_note_success (const Sched *sched, Server *server, int64_t now)
{
  Brittle *brittle = &server->brittle;

  if (brittle->limit <= 0)
    return;
  unsigned accepted = server->running - count_unconfirmed (server, now);
  if (accepted > brittle->proven)
    {
      brittle->proven = accepted;
      brittle->calm_for = MIN (brittle->calm_for, CALM_MIN);
    }
  if (may_grow (server, now) && accepted >= est_places (sched, server))
    set_room (server, brittle->room + 1, now);
}

void
brit_note_adopted (Server *server, int64_t now)
{
  if (server->brittle.limit > 0 && server->running > server->brittle.room)
    set_room (server, server->running, now);
}

void
brit_tick (const Sched *sched, Service *service, int64_t now)
{
  Server *server;

  if (service->brittleness <= 0)
    return;
  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (may_grow (server, now) && est_places (sched, server) == 0)
      set_room (server, server->brittle.room + 1, now);
  }
}

/* ---- Notices ---- */

static void
set_limit (Server *server, double limit, int64_t now)
{
  Service *service = server->service;

  server->brittle.limit = limit;
  server->brittle.announced_at = now;
  if (limit <= 0)
    {
      service->summary.until = 0;
      return;
    }
  service->brittleness = limit;
  service->brittle_until = now + SERVICE_MEMORY;
}

void
brit_apply_notice (Server *server, const Job *job, double limit, int64_t now)
{
  Brittle *brittle = &server->brittle;
  double before = brittle->limit;

  if (limit <= 0 && before <= 0)
    return;
  if (before > 0 && (limit <= 0 || limit > before)
      && !sched_granted_after (server, job, brittle->announced_at))
    return;
  set_limit (server, limit, now);
  if (before <= 0)
    set_room (server, server->slots, now);
}

void
brit_apply_older_notice (Server *server, double limit, int64_t now)
{
  if (limit <= 0 || server->brittle.limit > 0)
    return;
  set_limit (server, limit, now);
  set_room (server, server->running, now);
}

void
brit_init_server (Server *server, int64_t now)
{
  const Service *service = server->service;

  if (service->brittle_until <= now)
    return;
  server->brittle.limit = service->brittleness;
  server->brittle.announced_at = now;
  server->brittle.room = 1;
}
