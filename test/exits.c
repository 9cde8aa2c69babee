/* exits.c - tests, with real processes on loopback, of processes that end by themselves or do not
 * start. */
#include "fleet.h"

#include <signal.h>
#include <string.h>
#include <sys/wait.h>

static bool
has_exited (void *data)
{
  return fleet_has_exited (data);
}

/* The text of the last line of the log with this event; g_free. */
static char *
last_line (const FleetNode *node, const char *event)
{
  char *text = fleet_read_log (node), *mark = g_strdup_printf ("\"event\":\"%s\"", event);
  char **lines = g_strsplit (text, "\n", -1), *found = NULL;

  for (unsigned i = 0; lines[i]; i++)
    if (strstr (lines[i], mark))
      {
        g_free (found);
        found = g_strdup (lines[i]);
      }
  g_strfreev (lines);
  g_free (mark);
  g_free (text);
  return found ? found : g_strdup ("");
}

static void
end_by (Fleet *fleet, FleetNode *node, int number)
{
  fleet_signal (node, number);
  fleet_run_until (fleet, has_exited, node, "the process ends");
}

static bool
handles_signals (void *data)
{
  return fleet_handles_signals (data);
}

/* Starts the node again. Returns the line that tells how it ended before; g_free. */
static char *
restart (Fleet *fleet, FleetNode *node)
{
  fleet_start (fleet, node, false);
  fleet_run_until (fleet, handles_signals, node, "the process handles signals");
  fleet_await_metrics (fleet, node);
  return last_line (node, "runs");
}

static void
check_last_end (Fleet *fleet, FleetNode *node, const char *expected)
{
  char *line = restart (fleet, node);

  g_test_message ("%s", line);
  g_assert_nonnull (strstr (line, expected));
  g_free (line);
}

/* Guards against a process that ends without a trace: by a signal of its own, or killed. */
static void
ends_are_told (void)
{
  Fleet *fleet = fleet_new ();
  FleetNode *voter = &fleet->voters[0];

  fleet_start_all (fleet);
  end_by (fleet, voter, SIGABRT);
  g_assert_true (WIFSIGNALED (voter->status) && WTERMSIG (voter->status) == SIGABRT);
  char *line = last_line (voter, "fatal");
  g_assert_nonnull (strstr (line, "\"signal\":6,"));
  g_free (line);
  check_last_end (fleet, voter, "\"starts\":2,\"last_end\":\"signal 06\"");
  fleet_kill (voter);
  check_last_end (fleet, voter, "\"starts\":3,\"last_end\":\"running\"");
  end_by (fleet, voter, SIGTERM);
  g_assert_true (WIFEXITED (voter->status) && WEXITSTATUS (voter->status) == 0);
  check_last_end (fleet, voter, "\"starts\":4,\"last_end\":\"stopped\"");
  g_assert_cmpuint (fleet_counter (fleet, voter, "foxtail_data_bytes"), >, 0);
  g_assert_cmpuint (fleet_counter (fleet, voter, "foxtail_resident_bytes"), >, 0);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/exits/told", ends_are_told);
  return g_test_run ();
}
