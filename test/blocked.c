/* blocked.c - tests, with real processes on loopback, of an entry that schedules for itself and is
 * granted places that it must not use. */
#include "fleet.h"

#include <string.h>

#define ALONE_TIME (2500 * FT_MS)   /* in which an entry finds that no voter is left */
#define LIST_WAIT  (10 * FT_SECOND) /* in which it reads the list by itself, at least twice */
#define CALLS      20

static bool
is_done (void *data)
{
  return ((Answer *) data)->done;
}

/* All servers leave but one. */
static void
set_only_sound (Fleet *fleet, unsigned sound)
{
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    fleet->servers[i].leaving = i != sound;
}

static unsigned
arrived_elsewhere (const Fleet *fleet, unsigned sound)
{
  unsigned count = 0;

  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    count += i == sound ? 0 : fleet->servers[i].arrived;
  return count;
}

/* Guards against an entry that asks its own scheduler without end, and sees nothing else any more:
 * one server begins to leave as another one no longer does, and scheduler and list disagree on
 * which. */
static void
leaving_swapped (void)
{
  Fleet *fleet = fleet_new ();
  FleetNode *entry = &fleet->entries[0];

  fleet->voter_count = 1;
  fleet->entry_count = 1;
  fleet_start_all (fleet);
  fleet_kill (&fleet->voters[0]);
  set_only_sound (fleet, 0);
  fleet_run_for (fleet, ALONE_TIME + LIST_WAIT);
  set_only_sound (fleet, 1);
  fleet_run_for (fleet, LIST_WAIT);
  unsigned before = arrived_elsewhere (fleet, 1), served = 0;
  for (unsigned i = 0; i < CALLS; i++)
    {
      char id[16];
      Answer answer;
      g_snprintf (id, sizeof id, "c%u", i);
      fleet_send (fleet, entry, "/plain/a", id, &answer);
      fleet_run_until (fleet, is_done, &answer, "an answer");
      served += answer.status == 200 && !answer.broken;
      fleet_answer_clear (&answer);
    }
  g_test_message ("%u of %u calls served", served, CALLS);
  g_assert_cmpuint (served, ==, CALLS);
  g_assert_cmpuint (arrived_elsewhere (fleet, 1), ==, before);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/blocked/leaving_swapped", leaving_swapped);
  return g_test_run ();
}
