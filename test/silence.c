/* silence.c - tests, with real processes on loopback, of answers that have begun: the server falls
 * silent or breaks off, and what callers get while all places are taken. */
#include "fleet.h"

#include <signal.h>
#include <string.h>

#define STREAM_EVENTS 8

static void
start_streams (Fleet *fleet, Answer *streams, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "s%u", i);
      fleet_send (fleet, &fleet->entries[0], "/stream/a", id, &streams[i]);
    }
}

typedef struct
{
  const Answer *streams;
  unsigned count;
} Streams;

static bool
all_done (void *data)
{
  const Streams *streams = data;

  for (unsigned i = 0; i < streams->count; i++)
    if (!streams->streams[i].done)
      return false;
  return true;
}

/* Waits for all streams and checks that each is complete, with each event once. */
static void
check_streams (Fleet *fleet, Answer *streams, unsigned count)
{
  GString *whole = g_string_new (NULL);
  Streams all = { streams, count };

  for (unsigned i = 1; i <= STREAM_EVENTS; i++)
    g_string_append_printf (whole, "id: %u\ndata: event %u\n\n", i, i);
  fleet_run_until (fleet, all_done, &all, "all streams end");
  for (unsigned i = 0; i < count; i++)
    {
      if (streams[i].broken || strcmp (streams[i].body->str, whole->str) != 0)
        g_error ("stream s%u: status %u, broken %d, \"%s\" (logs in %s)", i, streams[i].status,
                 streams[i].broken, streams[i].body->str, fleet->base);
      fleet_answer_clear (&streams[i]);
    }
  g_string_free (whole, TRUE);
}

/* One stream on each server fills all places. */
static Fleet *
new_fleet_of_one_place_each (unsigned event_ms)
{
  Fleet *fleet = fleet_new ();

  fleet->slots = 1;
  fleet->event_ms = event_ms;
  return fleet;
}

static bool
is_logged (const FleetNode *node, const char *what)
{
  char *log = fleet_read_log (node);
  bool found = strstr (log, what) != NULL;

  g_free (log);
  return found;
}

/* Guards against ending the only copy of an answer that has begun to look for a place elsewhere:
 * all places are taken, and the server goes on after longer than the silence limit. */
static void
goes_on_at_full_load (void)
{
  Fleet *fleet = new_fleet_of_one_place_each (700);
  Answer streams[FLEET_SERVERS];

  fleet->pause_ms = 3000;
  fleet->servers[0].mode = SERVER_PAUSING;
  fleet_start_all (fleet);
  start_streams (fleet, streams, FLEET_SERVERS);
  check_streams (fleet, streams, FLEET_SERVERS);
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "s%u", i);
      g_assert_cmpuint (fleet_run_count (fleet, id), ==, 1);
    }
  fleet_free (fleet);
}

/* Guards against ending a try that goes on for a place that was asked for while it was silent. */
static void
goes_on_while_a_place_is_asked_for (void)
{
  Fleet *fleet = new_fleet_of_one_place_each (200);
  Answer stream, others[FLEET_SERVERS - 1];

  fleet->pause_ms = 4600; /* more than twice the silence limit */
  fleet->plain_ms = 5500;
  fleet_start_all (fleet);
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    fleet->servers[i].mode = SERVER_PAUSING;
  start_streams (fleet, &stream, 1);
  for (unsigned i = 0; i < G_N_ELEMENTS (others); i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "o%u", i);
      fleet_send (fleet, &fleet->entries[0], "/once/a", id, &others[i]);
    }
  check_streams (fleet, &stream, 1);
  g_assert_cmpuint (fleet_run_count (fleet, "s0"), ==, 1);
  for (unsigned i = 0; i < G_N_ELEMENTS (others); i++)
    fleet_answer_clear (&others[i]);
  fleet_free (fleet);
}

/* A stream goes on while the entry reloads its settings again and again, another entry gets SIGTERM
 * and the catalogue changes. */
static void
goes_on_under_planned_work (void)
{
  Fleet *fleet = new_fleet_of_one_place_each (700);
  Answer streams[FLEET_SERVERS];

  fleet->pause_ms = 3000;
  fleet->servers[0].mode = SERVER_PAUSING;
  fleet_start_all (fleet);
  start_streams (fleet, streams, FLEET_SERVERS);
  for (unsigned i = 0; i < 12; i++)
    {
      fleet_run_for (fleet, 250 * FT_MS);
      fleet_signal (&fleet->entries[0], SIGHUP);
      if (i == 4)
        fleet_signal (&fleet->entries[1], SIGTERM);
      if (i % 4 == 2)
        fleet_put_catalogue (fleet);
    }
  check_streams (fleet, streams, FLEET_SERVERS);
  fleet_free (fleet);
}

/* Guards against breaking an answer off because no place is free at the moment when its server
 * breaks off: places become free within the time that its caller still waits. */
static void
resumed_when_a_place_is_free (void)
{
  Fleet *fleet = new_fleet_of_one_place_each (400);
  Answer streams[FLEET_SERVERS];

  fleet->servers[0].mode = SERVER_CUT_STREAM;
  fleet_start_all (fleet);
  start_streams (fleet, streams, FLEET_SERVERS);
  check_streams (fleet, streams, FLEET_SERVERS);
  fleet_free (fleet);
}

/* A server that is silent for good is found although its silence alone ends nothing: its stream is
 * resumed when a place is free. */
static void
silent_for_good (void)
{
  Fleet *fleet = new_fleet_of_one_place_each (400);
  Answer streams[FLEET_SERVERS];

  fleet->pause_ms = 60000;
  fleet->servers[0].mode = SERVER_PAUSING;
  fleet_start_all (fleet);
  start_streams (fleet, streams, FLEET_SERVERS);
  check_streams (fleet, streams, FLEET_SERVERS);
  fleet_run_for (fleet, 500 * FT_MS); /* the log's buffer is flushed */
  g_assert_true (is_logged (&fleet->entries[0], "\"came\":\"silent\""));
  fleet_free (fleet);
}

/* A server that is silent for a second and goes on keeps its stream and is not taken out. */
static void
short_silence (void)
{
  Fleet *fleet = fleet_new ();
  Answer streams[FLEET_SERVERS];

  fleet->pause_ms = 1000;
  fleet->servers[0].mode = fleet->servers[1].mode = SERVER_PAUSING;
  fleet_start_all (fleet);
  start_streams (fleet, streams, FLEET_SERVERS);
  check_streams (fleet, streams, FLEET_SERVERS);
  fleet_run_for (fleet, 500 * FT_MS); /* the logs' buffers are flushed */
  g_assert_false (is_logged (&fleet->entries[0], "\"event\":\"try\""));
  for (unsigned i = 0; i < 3; i++)
    g_assert_false (is_logged (&fleet->voters[i], "\"event\":\"server-out\""));
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/silence/goes_on_at_full_load", goes_on_at_full_load);
  g_test_add_func ("/silence/goes_on_while_asked", goes_on_while_a_place_is_asked_for);
  g_test_add_func ("/silence/goes_on_under_planned_work", goes_on_under_planned_work);
  g_test_add_func ("/silence/resumed_when_a_place_is_free", resumed_when_a_place_is_free);
  g_test_add_func ("/silence/silent_for_good", silent_for_good);
  g_test_add_func ("/silence/short_silence", short_silence);
  return g_test_run ();
}
