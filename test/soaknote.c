/* soaknote.c - each server changes its notices at random: none, a rate, a back-off while it refuses
 * everything, or that it leaves, after which it crashes some seconds later. */
#include "soaknote.h"

#include <string.h>

#define RATE_GRACE    (3 * FT_SECOND)
#define DRAIN_GRACE   (3 * FT_SECOND)
#define NOTICE_MS_MAX 1500 /* longest time with the same notices, in ms */
#define RATE_MS       9000 /* time with the same rate */
#define LEAVE_ONE_IN  8    /* one change in so many is that it leaves */
#define LEAVE_MS      5000 /* from the notice that it leaves to its crash */
#define RATE_MAX      6
#define BACKOFF_S     2.0

typedef struct
{
  unsigned entry;
  int64_t at;
} Disturbance;

static Fleet *fleet;
static GRand *source;
static GArray *disturbances; /* Disturbance */
static int64_t changes_at[FLEET_SERVERS];
static unsigned
    leaving_restarts[FLEET_SERVERS]; /* FleetServer.restarts when it announced that it leaves */

void
soaknote_begin (Fleet *new_fleet, unsigned seed)
{
  fleet = new_fleet;
  source = g_rand_new_with_seed (seed ^ 0x6e6f7465);
  disturbances = g_array_new (FALSE, FALSE, sizeof (Disturbance));
  memset (changes_at, 0, sizeof changes_at);
}

static unsigned
draw (unsigned limit)
{
  return (unsigned) g_rand_int_range (source, 0, (gint32) limit);
}

void
soaknote_disturbed (unsigned entry)
{
  Disturbance disturbance = { entry, loop_now (fleet->loop) };

  g_array_append_val (disturbances, disturbance);
}

static void
clear_notices (FleetServer *server)
{
  server->rate = 0;
  server->backoff_s = 0;
  server->announces_leaving = server->refuses_all = false;
}

static int64_t
draw_notices (unsigned number)
{
  FleetServer *server = &fleet->servers[number];

  clear_notices (server);
  if (draw (LEAVE_ONE_IN) == 0)
    {
      server->announces_leaving = true;
      leaving_restarts[number] = server->restarts;
      return LEAVE_MS * FT_MS;
    }
  server->backoff_s = draw (2) ? BACKOFF_S : 0;
  server->refuses_all = draw (4) == 0;
  if (draw (2))
    return draw (NOTICE_MS_MAX) * FT_MS;
  server->rate = 0.5 + draw (RATE_MAX * 2) / 2.0;
  return RATE_MS * FT_MS;
}

void
soaknote_turn (void)
{
  int64_t now = loop_now (fleet->loop);

  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    {
      FleetServer *server = &fleet->servers[i];
      if (server->announces_leaving && server->restarts != leaving_restarts[i])
        changes_at[i] = 0; /* it has restarted, and does not leave any more */
      if (now < changes_at[i])
        continue;
      if (server->announces_leaving && server->restarts == leaving_restarts[i])
        fleet_crash_server (server);
      changes_at[i] = now + draw_notices (i);
    }
}

/* Crashes the servers that leave, and ends the notices of the others. */
static void
clear_all_notices (void)
{
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    {
      if (fleet->servers[i].announces_leaving)
        fleet_crash_server (&fleet->servers[i]);
      clear_notices (&fleet->servers[i]);
    }
}

void
soaknote_last (void)
{
  clear_all_notices ();
  fleet->servers[0].rate = 1;
  fleet->servers[1].refuses_all = true;
  fleet->servers[1].backoff_s = 4 * BACKOFF_S;
  fleet->servers[2].announces_leaving = true;
}

static bool
was_disturbed (void *data, unsigned instance, int64_t from, int64_t to)
{
  (void) data;
  for (unsigned i = 0; i < disturbances->len; i++)
    {
      const Disturbance *disturbance = &g_array_index (disturbances, Disturbance, i);
      if ((disturbance->entry == 0 || disturbance->entry == instance) && disturbance->at >= from
          && disturbance->at <= to)
        return true;
    }
  return false;
}

static void
check (const char *rule, unsigned over)
{
  if (over > 0)
    g_error ("%u requests %s (logs in %s)", over, rule, fleet->base);
}

void
soaknote_end (void)
{
  Rules rules = { fleet->arrivals, RATE_GRACE, DRAIN_GRACE, was_disturbed, NULL };

  check ("over an announced rate", rules_over_rate (&rules));
  check ("more than two in a server's back-off", rules_in_backoff (&rules));
  check ("too late after a server's notice that it leaves", rules_after_leaving (&rules));
  clear_all_notices ();
  g_array_unref (disturbances);
  g_rand_free (source);
}
