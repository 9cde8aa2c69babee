/* fatal.c - the last line of a process, where the lines of the log that are still held cannot be
 * written: the test has a jlog_write_pending of its own. */
#include "fatal.h"
#include "jlog.h"

#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

static int fault_within; /* signal that meets the handler; 0: none */

void
jlog_write_pending (void)
{
  if (fault_within)
    raise (fault_within);
}

static void
on_fatal (int number)
{
  ssize_t done = write (STDOUT_FILENO, "hook\n", 5);

  (void) done;
  (void) number;
}

/* Guards against an end without a line where the handler meets another fault, of the same kind or
 * of another one. */
static void
fault_in_handler (gconstpointer data)
{
  char text[2048];
  size_t length = 0;
  ssize_t got;
  int ends[2], status;

  g_assert_cmpint (pipe (ends), ==, 0);
  pid_t pid = fork ();
  if (pid == 0)
    {
      dup2 (ends[1], STDOUT_FILENO);
      fault_within = GPOINTER_TO_INT (data);
      fatal_init ("n");
      fatal_set_hook (on_fatal);
      raise (SIGABRT);
      _exit (0);
    }
  close (ends[1]);
  while ((got = read (ends[0], text + length, sizeof text - 1 - length)) > 0)
    length += (size_t) got;
  text[length] = '\0';
  close (ends[0]);
  g_assert_cmpint (waitpid (pid, &status, 0), ==, pid);
  g_test_message ("%s", text);
  g_assert_true (WIFSIGNALED (status));
  g_assert_nonnull (strstr (text, "\"event\":\"fatal\",\"signal\":6,"));
  g_assert_nonnull (strstr (text, "hook\n"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/fatal/alone", GINT_TO_POINTER (0), fault_in_handler);
  g_test_add_data_func ("/fatal/same", GINT_TO_POINTER (SIGABRT), fault_in_handler);
  g_test_add_data_func ("/fatal/other", GINT_TO_POINTER (SIGTRAP), fault_in_handler);
  return g_test_run ();
}
