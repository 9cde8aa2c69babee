/* ends.c - requests that end the servers that run them, before real processes on loopback. What is
 * checked is what servers ran and what callers were told; nothing hangs on how long it takes. */
#include "fleet.h"

#include <string.h>

#define KILLER    FLEET_MARK " 1"
#define COMINGS   24 /* of the killer, far beyond what it may cost */
#define ENDS_MOST 6  /* three ends until it is known, and three more in its whole life */

/* One coming of the killer, at one of the entries in turn. Returns the caller's status; 0: the
 * connection was broken off. */
static unsigned
come (Fleet *fleet, unsigned number, const char *path)
{
  char id[16];
  Answer answer;

  g_snprintf (id, sizeof id, "k%u", number);
  fleet_call_body (fleet, &fleet->entries[number % FLEET_ENTRIES], path, id, KILLER, &answer);
  unsigned status = answer.broken ? 0 : answer.status;
  if (status == 503 && fleet_runs (fleet, id) > 0)
    g_error ("%s was said not to have run, and ran (logs in %s)", id, fleet->base);
  fleet_answer_clear (&answer);
  return status;
}

static void
come_often (Fleet *fleet, const char *path)
{
  for (unsigned i = 0; i < COMINGS; i++)
    {
      come (fleet, i, path);
      fleet_run_for (fleet, 150 * FT_MS);
    }
}

/* Other callers' streams break off again and again, and half of the servers are missing. One
 * request ends each server that begins to run it; its caller is told 502 and sends it again, under
 * another id, to another entry. Each entry saw one end and took it for the server's own fault, so
 * the log of a recorded day has 30 tries of two contents with "came":"broken" and "sends":1, and 26
 * ends of servers. */
static void
comes_again (void)
{
  Fleet *fleet = fleet_new ();

  fleet_begin (fleet);
  come_often (fleet, "/once/a");
  g_assert_cmpuint (fleet_marked (fleet, KILLER), >=, 3);
  g_assert_cmpuint (fleet_marked (fleet, KILLER), <=, ENDS_MOST);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ends/comes_again", comes_again);
  return g_test_run ();
}
