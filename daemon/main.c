/* main.c - foxtailgraded: the daemon, one instance of foxtailgrade. */
#include "back.h"
#include "dlog.h"
#include "edge.h"
#include "http.h"
#include "oper.h"
#include "span.h"

#include <argtable2.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define MAP_BYTES         (128 << 10)
#define READY_NOTICE_TIME (500 * FT_MS) /* for load balancers to see that /readyz fails */
#define POLL_INTERVAL     (50 * FT_MS)
#define LAST_ANSWERS_TIME                                                                          \
  (1 * FT_SECOND / 2)                    /* for callers to get answers before the port closes */
#define HANDOVER_TIMEOUT (4 * FT_SECOND) /* leases that were not taken over expire after 3 s */

typedef struct
{
  struct arg_lit *help, *check, *help_settings, *version;
  struct arg_file *settings;
  struct arg_end *end;
} Args;

static void
print_error (const char *file, const FtError *error)
{
  fprintf (stderr, "foxtailgraded: %s", file);
  if (error->line)
    fprintf (stderr, ":%u", error->line);
  if (*error->field)
    fprintf (stderr, ": %s", error->field);
  fprintf (stderr, ": %s\n", error->text);
}

static void
wait_for_signal (const sigset_t *signals)
{
  int number;

  sigwait (signals, &number);
  dlog (DLOG_INFO, NULL, "shutdown", "signal %d", number);
}

/* Makes readiness fail, hands over the leases and waits for running requests, for shutdown_s at
 * most. Those that have no answer shortly before are answered that their outcome is unknown. */
static void
shut_down (Core *core, Edge *edge)
{
  int64_t until = core_now (core) + core_conf (core)->shutdown_s * FT_SECOND;

  edge_stop_accepting (edge);
  g_usleep (READY_NOTICE_TIME);
  bool left = core_leave (core);
  int64_t handover_end = core_now (core) + HANDOVER_TIMEOUT;
  while ((edge_open_count (edge) > 0 || (!left && core_now (core) < handover_end))
         && core_now (core) < until)
    {
      g_usleep (POLL_INTERVAL);
      left = core_leave (core);
      if (core_now (core) > until - LAST_ANSWERS_TIME)
        edge_give_up (edge);
    }
  if (edge_open_count (edge) > 0)
    dlog (DLOG_ERROR, NULL, "shutdown", "%u requests were cut off after shutdown_s",
          edge_open_count (edge));
}

static int
run (const Conf *conf, const char *file, const sigset_t *signals)
{
  FtError error = { 0 };
  Core *core = NULL;
  Edge *edge = NULL;
  Oper *oper = NULL;
  int result = 1;

  /* Large answers are mapped apart, so that their memory is returned once they are freed. A
   * constant keeps the library from raising it to the largest block that was freed. */
  mallopt (M_MMAP_THRESHOLD, MAP_BYTES);
  ulfius_global_init ();
  if (!dlog_init (conf->log_level, (unsigned) conf->id))
    {
      fprintf (stderr, "foxtailgraded: log4c cannot be initialised\n");
      return 1;
    }
  if (!span_open (conf->span_file, (unsigned) conf->id))
    {
      ft_error_set (&error, FT_IO, 0, "span_file", "%s cannot be opened", conf->span_file);
      goto out;
    }
  if (core_new (conf, &core, &error) != FT_OK)
    goto out;
  Plat *plat = plat_new (core);
  Back *back = back_new (core, plat);
  if (edge_new (core, back, &edge, &error) != FT_OK || oper_new (core, &oper, &error) != FT_OK)
    goto out;
  dlog (DLOG_INFO, NULL, "start", "version %s, callers on %s:%d", ft_version (), conf->address,
        (int) conf->caller_port);
  wait_for_signal (signals);
  shut_down (core, edge);
  edge_stop (edge);
  oper_stop (oper);
  dlog (DLOG_INFO, NULL, "stop", "all requests ended");
  result = 0;
out:
  if (result != 0)
    print_error (file, &error);
  dlog_fini ();
  return result;
}

static int
start (const char *file, bool check_only)
{
  FtError error = { 0 };
  Conf *conf = NULL;
  sigset_t signals;

  if (conf_read (file, &conf, &error) != FT_OK)
    {
      print_error (file, &error);
      return 1;
    }
  if (check_only)
    {
      printf ("%s: the settings are valid\n", file);
      conf_free (conf);
      return 0;
    }
  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL); /* in all threads; main waits for them */
  int result = run (conf, file, &signals);
  /* conf is not freed, because other threads may still read it. */
  return result;
}

int
main (int argc, char **argv)
{
  Args args = { arg_lit0 ("h", "help", "print this help"),
                arg_lit0 (NULL, "check", "check the settings and exit"),
                arg_lit0 (NULL, "help-settings", "list all settings"),
                arg_lit0 (NULL, "version", "print the version"),
                arg_file0 (NULL, NULL, "SETTINGS", "settings file (JSON with comments)"),
                arg_end (8) };
  int result = 2;

  if (strcmp (ft_version (), FT_VERSION) != 0)
    {
      fprintf (stderr, "foxtailgraded: version of the library %s differs from the program's %s\n",
               ft_version (), FT_VERSION);
      return 2;
    }
  int errors = arg_parse (argc, argv, (void **) &args);
  if (args.help->count)
    {
      printf ("Usage: foxtailgraded");
      arg_print_syntax (stdout, (void **) &args, "\n");
      arg_print_glossary (stdout, (void **) &args, "  %-20s %s\n");
      result = 0;
    }
  else if (args.version->count)
    {
      printf ("foxtailgraded %s\n", ft_version ());
      result = 0;
    }
  else if (args.help_settings->count)
    {
      conf_print_help ();
      result = 0;
    }
  else if (errors || args.settings->count == 0)
    arg_print_errors (stderr, args.end, "foxtailgraded");
  else
    result = start (args.settings->filename[0], args.check->count > 0);
  if (result == 2)
    fprintf (stderr, "foxtailgraded: try --help\n");
  arg_freetable ((void **) &args, sizeof args / sizeof (void *));
  return result;
}
