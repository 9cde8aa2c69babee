/* jlog.c - what reaches the reader of the log when more happens than it may say. */
#include "clock.h"
#include "jlog.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static unsigned
count (const char *text, const char *what)
{
  unsigned found = 0;

  for (const char *at = strstr (text, what); at; at = strstr (at + 1, what))
    found++;
  return found;
}

/* All links of an instance go down at once, and each makes a line. The reader finds hundreds of
 * them and not the one that says who is in charge, which came last and was dropped with the rest.
 * Each event has an allowance of its own; what was dropped is counted and said. */
static void
frequent_event_drops_no_other (void)
{
  TestClock clock = test_clock ();
  int ends[2], real = dup (STDOUT_FILENO);
  char *got = g_malloc0 (1 << 20);
  size_t size = 0;

  g_assert_cmpint (pipe (ends), ==, 0);
  fcntl (ends[1], F_SETPIPE_SZ, 1 << 20);
  fcntl (ends[0], F_SETFL, O_NONBLOCK);
  fflush (stdout);
  dup2 (ends[1], STDOUT_FILENO);
  jlog_init ("n", "info", &clock.base);
  for (int i = 0; i < 2000; i++)
    jlog (JLOG_WARN, "link-down", NULL, JL_INT ("peer", i));
  jlog (JLOG_INFO, "charge", NULL, JL_INT ("term", 7));
  jlog_flush (true);
  dup2 (real, STDOUT_FILENO);
  for (ssize_t n; (n = read (ends[0], got + size, (1 << 20) - 1 - size)) > 0;)
    size += (size_t) n;
  g_assert_cmpuint (count (got, "\"event\":\"link-down\""), ==, 300);
  g_assert_cmpuint (count (got, "\"event\":\"charge\""), ==, 1);
  g_assert_cmpuint (count (got, "\"event\":\"log-dropped\",\"lines\":1700"), ==, 1);
  g_assert_cmpuint (jlog_dropped (), ==, 1700);
  close (ends[0]);
  close (ends[1]);
  close (real);
  g_free (got);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/jlog/frequent_event", frequent_event_drops_no_other);
  return g_test_run ();
}
