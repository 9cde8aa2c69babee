/* soaknote.c - each server takes turns of saying nothing, naming a rate, and asking for rest when
 * it is full; now and then one says that it leaves, and ends some seconds later. */
#include "soaknote.h"

#include <string.h>

#define SETTLE     (3 * FT_SECOND)
#define DRAIN      (3 * FT_SECOND)
#define TURN_MOST  1500 /* ms that a server says the same */
#define RATE_MS    9000 /* and that it names one rate */
#define LEAVES_IN  8    /* one in so many changes is that it leaves */
#define ENDS_IN_MS 5000 /* after it has said so */
#define RATE_MOST  6
#define BACKOFF_S  2.0

typedef struct
{
  unsigned entry;
  int64_t at;
} Disturbed;

static Fleet *fleet;
static GRand *source;
static GArray *disturbed; /* Disturbed */
static int64_t changes_at[FLEET_SERVERS];
static unsigned leaving_life[FLEET_SERVERS]; /* lifetime that says so */

void
soaknote_begin (Fleet *of, unsigned seed)
{
  fleet = of;
  source = g_rand_new_with_seed (seed ^ 0x6e6f7465);
  disturbed = g_array_new (FALSE, FALSE, sizeof (Disturbed));
  memset (changes_at, 0, sizeof changes_at);
}

static unsigned
draw (unsigned most)
{
  return (unsigned) g_rand_int_range (source, 0, (gint32) most);
}

void
soaknote_disturbed (unsigned entry)
{
  Disturbed one = { entry, loop_now (fleet->loop) };

  g_array_append_val (disturbed, one);
}

static void
say_nothing (FleetServer *server)
{
  server->rate = 0;
  server->backoff_s = 0;
  server->says_leaving = server->sheds = false;
}

static int64_t
change (unsigned number)
{
  FleetServer *server = &fleet->servers[number];

  say_nothing (server);
  if (draw (LEAVES_IN) == 0)
    {
      server->says_leaving = true;
      leaving_life[number] = server->lives;
      return ENDS_IN_MS * FT_MS;
    }
  server->backoff_s = draw (2) ? BACKOFF_S : 0;
  server->sheds = draw (4) == 0;
  if (draw (2))
    return draw (TURN_MOST) * FT_MS;
  server->rate = 0.5 + draw (RATE_MOST * 2) / 2.0;
  return RATE_MS * FT_MS;
}

void
soaknote_turn (void)
{
  int64_t now = loop_now (fleet->loop);

  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    {
      FleetServer *server = &fleet->servers[i];
      if (server->says_leaving && server->lives != leaving_life[i])
        changes_at[i] = 0; /* another lifetime, which does not leave */
      if (now < changes_at[i])
        continue;
      if (server->says_leaving && server->lives == leaving_life[i])
        fleet_end_server (server);
      changes_at[i] = now + change (i);
    }
}

/* Servers that leave end; the others say nothing more. */
static void
end_words (void)
{
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    {
      if (fleet->servers[i].says_leaving)
        fleet_end_server (&fleet->servers[i]);
      say_nothing (&fleet->servers[i]);
    }
}

void
soaknote_last (void)
{
  end_words ();
  fleet->servers[0].rate = 1;
  fleet->servers[1].sheds = true;
  fleet->servers[1].backoff_s = 4 * BACKOFF_S;
  fleet->servers[2].says_leaving = true;
}

static bool
excused (void *data, unsigned instance, int64_t from, int64_t to)
{
  (void) data;
  for (unsigned i = 0; i < disturbed->len; i++)
    {
      const Disturbed *one = &g_array_index (disturbed, Disturbed, i);
      if ((one->entry == 0 || one->entry == instance) && one->at >= from && one->at <= to)
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
  Rules rules = { fleet->arrivals, SETTLE, DRAIN, excused, NULL };

  check ("over a named rate", rules_over_rate (&rules));
  check ("over two in a server's backoff", rules_in_backoff (&rules));
  check ("after a server said that it leaves", rules_after_leaving (&rules));
  end_words ();
  g_array_unref (disturbed);
  g_rand_free (source);
}
