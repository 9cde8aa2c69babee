/* jlog.c - which lines are written when an event is logged more often than its limit allows. */
#include "clock.h"
#include "jlog.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static unsigned
count (const char *text, const char *pattern)
{
  unsigned found = 0;

  for (const char *at = strstr (text, pattern); at; at = strstr (at + 1, pattern))
    found++;
  return found;
}

/* Guards against a frequent event that suppresses the lines of others. All links of an instance go
 * down at once and each logs a line; the line that says who is in charge came last and was dropped
 * with the rest. Each event has its own limit, and the number of dropped lines is logged. */
static void
limit_per_event (void)
{
  TestClock clock = test_clock ();
  int pipe_fds[2], saved_stdout = dup (STDOUT_FILENO);
  char *output = g_malloc0 (1 << 20);
  size_t size = 0;

  g_assert_cmpint (pipe (pipe_fds), ==, 0);
  fcntl (pipe_fds[1], F_SETPIPE_SZ, 1 << 20);
  fcntl (pipe_fds[0], F_SETFL, O_NONBLOCK);
  fflush (stdout);
  dup2 (pipe_fds[1], STDOUT_FILENO);
  jlog_init ("n", "info", &clock.base);
  for (int i = 0; i < 2000; i++)
    jlog (JLOG_WARN, "link-down", NULL, JL_INT ("peer", i));
  jlog (JLOG_INFO, "charge", NULL, JL_INT ("term", 7));
  jlog_flush (true);
  dup2 (saved_stdout, STDOUT_FILENO);
  for (ssize_t n; (n = read (pipe_fds[0], output + size, (1 << 20) - 1 - size)) > 0;)
    size += (size_t) n;
  g_assert_cmpuint (count (output, "\"event\":\"link-down\""), ==, 300);
  g_assert_cmpuint (count (output, "\"event\":\"charge\""), ==, 1);
  g_assert_cmpuint (count (output, "\"event\":\"log-dropped\",\"lines\":1700"), ==, 1);
  g_assert_cmpuint (jlog_dropped (), ==, 1700);
  close (pipe_fds[0]);
  close (pipe_fds[1]);
  close (saved_stdout);
  g_free (output);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/jlog/frequent_event", limit_per_event);
  return g_test_run ();
}
