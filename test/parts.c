/* parts.c - tests, with real processes on loopback, of a part of prompts that crashes each server
 * that begins to answer a request with it. No two requests with the part are alike; sound requests
 * share their organisation, their first part and further parts with them. The tests check what
 * servers ran and what callers were answered, not how long it took. */
#include "fleet.h"

#include <signal.h>
#include <string.h>

#define CRASH_PART        FLEET_CRASH_PART "01"
#define FIRST_PART        "f100"
#define POPULAR_PART      "aa00"
#define ATTEMPTS          24 /* far more than the crashes that the part may cause */
#define CRASHES_MAX       6  /* three until it is quarantined, and three more ever */
#define QUARANTINE_REASON "quarantined"

typedef struct
{
  unsigned status;  /* 0: the answer was broken off */
  bool quarantined; /* refused unsent, because of earlier crashes */
} Outcome;

static bool
is_done (void *data)
{
  return ((Answer *) data)->done;
}

/* Sends a prompt of these shared parts and a part of its own, with a body of its own. */
static Outcome
send_parts (Fleet *fleet, unsigned entry, const char *path, const char *shared)
{
  uint64_t number = ++fleet->next_id;
  char *id = g_strdup_printf ("p%" G_GUINT64_FORMAT, number);
  char *parts = g_strdup_printf ("%s,%" G_GINT64_MODIFIER "x:40", shared, 0xe000000 + number);
  Answer answer;

  fleet_send_parts (fleet, &fleet->entries[entry % FLEET_ENTRIES], path, id, parts, id, &answer);
  fleet_run_until (fleet, is_done, &answer, id);
  Outcome outcome
      = { answer.broken ? 0 : answer.status, strstr (answer.body->str, QUARANTINE_REASON) != NULL };
  if (outcome.status == 503 && fleet_run_count (fleet, id) > 0)
    g_error ("%s was answered as not run, but ran (logs in %s)", id, fleet->base);
  fleet_answer_clear (&answer);
  g_free (parts);
  g_free (id);
  return outcome;
}

#define SOUND   FIRST_PART ":100," POPULAR_PART ":20"
#define CRASHES FIRST_PART ":100," CRASH_PART ":30," POPULAR_PART ":20"

/* Sends prompts with the crash part to the entries in turn, and a sound one after each, with pauses
 * in which servers restart. */
static void
send_crash_part_repeatedly (Fleet *fleet, const char *path)
{
  for (unsigned i = 0; i < ATTEMPTS; i++)
    {
      send_parts (fleet, i, path, CRASHES);
      send_parts (fleet, i + 1, path, SOUND);
      fleet_run_for (fleet, 150 * FT_MS);
    }
}

/* Three servers out of four are usable within this time after a crash. */
static void
await_servers (Fleet *fleet)
{
  fleet_run_for (fleet, 3 * FT_SECOND);
}

static void
assert_quarantined_alone (Fleet *fleet, const char *path)
{
  g_test_message ("%u runs of the crash part", fleet_crash_run_count (fleet, CRASH_PART));
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_PART), >=, 3);
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_PART), <=, CRASHES_MAX);
  await_servers (fleet);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    {
      g_assert_true (send_parts (fleet, i, path, CRASHES).quarantined);
      g_assert_cmpuint (send_parts (fleet, i, path, SOUND).status, ==, 200);
    }
}

/* Requests with one part crash a server each, and no two of them have the same content: each crash
 * counted for another content, and server after server went down. */
static void
part_in_unlike_requests (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  send_crash_part_repeatedly (fleet, "/once/a");
  assert_quarantined_alone (fleet, "/once/a");
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/parts/unlike_requests", part_in_unlike_requests);
  return g_test_run ();
}
