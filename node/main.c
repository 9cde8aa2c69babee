/* main.c - foxtailnode: one instance of a deployment whose members discover each other. */
#include "count.h"
#include "fatal.h"
#include "hsrv.h"
#include "instance.h"
#include "jlog.h"
#include "platform.h"
#include "runs.h"
#include "usage.h"

#include <argtable2.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <sys/signalfd.h>
#include <sys/stat.h>
#include <unistd.h>

#define SETTINGS_VARIABLE       "FOXTAILGRADE_CONFIG"
#define SETTINGS_CHECK_INTERVAL (1 * FT_SECOND) /* for a change without a signal */
#define SETTINGS_TRIES          10              /* at the start: the file may be being written */
#define SETTINGS_PAUSE_US       100000
#define START_RETRY_INTERVAL    (100 * FT_MS) /* while something that it needs is in use */
#define START_LOG_INTERVAL      (5 * FT_SECOND)
#define SLOW_ITERATION          (50 * FT_MS) /* longer ones are logged: grants are awaited for 120 ms */

typedef struct
{
  const char *file;
  Settings *settings;
  Loop *loop;
  Instance *instance; /* NULL: the start waits, or has failed */
  HSrv *metrics;
  LoopFd signals;
  LoopTimer settings_timer, start_timer;
  int64_t start_until, start_logged_at;
  bool start_failed, lacks_metrics;
  FtError error; /* why the last try of the start failed */
  struct timespec modified_at;
} Process;

static void
print_error (const char *file, const FtError *error)
{
  fprintf (stderr, "foxtailnode: %s", file);
  if (error->line)
    fprintf (stderr, ":%u", error->line);
  if (*error->field)
    fprintf (stderr, ": %s", error->field);
  fprintf (stderr, ": %s\n", error->text);
}

static void open_metrics (Process *process);

/* ---- Settings that change ---- */

static struct timespec
modification_time (const char *file)
{
  struct stat found = { 0 };

  if (stat (file, &found) != 0)
    return (struct timespec){ 0 };
  return found.st_mtim;
}

static void
reload (Process *process, const char *why)
{
  FtError error = { 0 };
  Settings *settings = NULL;

  process->modified_at = modification_time (process->file);
  if (settings_read (process->file, &settings, &error) != FT_OK)
    {
      jlog (JLOG_ERROR, "reload-failed", NULL, JL_TEXT ("field", error.field),
            JL_INT ("line", error.line), JL_TEXT ("why", error.text));
      return;
    }
  jlog (JLOG_INFO, "reload", NULL, JL_TEXT ("why", why), JL_INT ("seeds", settings->seeds->len));
  if (process->instance)
    process->instance->ops->settings (process->instance, settings);
  else
    {
      Settings *before = process->settings;
      process->settings = settings;
      settings = before;
    }
  settings_free (settings);
}

static void
on_settings_timer (LoopTimer *timer)
{
  Process *process = (Process *) ((char *) timer - offsetof (Process, settings_timer));
  struct timespec now = modification_time (process->file);

  if (now.tv_sec != process->modified_at.tv_sec || now.tv_nsec != process->modified_at.tv_nsec)
    reload (process, "the file has changed");
  usage_log_growth (process->settings->data_folder);
  if (process->instance && process->metrics == NULL)
    open_metrics (process);
  loop_timer_set (process->loop, timer, loop_now (process->loop) + SETTINGS_CHECK_INTERVAL);
}

static void
on_signal (LoopFd *fd, uint32_t bits)
{
  Process *process = (Process *) ((char *) fd - offsetof (Process, signals));
  struct signalfd_siginfo info;

  (void) bits;
  while (read (fd->fd, &info, sizeof info) == sizeof info)
    {
      if (info.ssi_signo == SIGHUP)
        reload (process, "signal");
      else if (process->instance)
        process->instance->ops->leave (process->instance);
      else
        loop_stop (process->loop);
    }
}

/* ---- Metrics ---- */

static void
on_metrics (void *owner, HCall *call)
{
  Process *process = owner;
  char *state = process->instance->ops->describe (process->instance);
  GString *extra = g_string_new (state);
  usage_append_metrics (process->settings->data_folder, extra);
  char *text = count_format (extra->str);
  GString *fields = g_string_new (NULL);

  hwrite_field (fields, "Content-Type", "text/plain; version=0.0.4");
  hcall_reply (call, 200, fields, text, strlen (text));
  g_string_free (fields, TRUE);
  g_free (text);
  g_free (state);
  g_string_free (extra, TRUE);
}

static void
metrics_gone (void *owner, HCall *call)
{
  (void) owner;
  (void) call;
}

static const HSrvOps metrics_ops = { on_metrics, metrics_gone, NULL };

/* ---- Start and end ---- */

static void
flush_log (void *data)
{
  (void) data;
  jlog_flush (false);
}

/* Records how long an iteration of the loop took and how late it began, since that delays all who
 * wait for this instance. */
static void
on_iteration (void *data, const LoopIteration *iteration)
{
  (void) data;
  count_observe (TIMED_TURN, iteration->took_us);
  if (iteration->late_us >= 0)
    count_observe (TIMED_LATE, iteration->late_us);
  if (iteration->took_us >= SLOW_ITERATION)
    jlog (JLOG_INFO, "slow-turn", NULL, JL_MS ("took_ms", iteration->took_us),
          JL_MS ("late_ms", iteration->late_us), JL_TEXT ("longest", iteration->longest),
          JL_MS ("longest_ms", iteration->longest_us));
}

/* Blocks the signals that open_signals reads later: until then none of them may end the process. */
static void
block_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
  sigaddset (set, SIGHUP);
  pthread_sigmask (SIG_BLOCK, set, NULL);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGXFSZ, SIG_IGN); /* a file that may not grow is an error of that write */
}

static bool
open_signals (Process *process)
{
  sigset_t set;

  block_signals (&set);
  process->signals
      = (LoopFd){ .fd = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC), .ready = on_signal };
  return process->signals.fd >= 0 && loop_add (process->loop, &process->signals, EPOLLIN);
}

/* Tried again with each look at the settings, as the port may be in use for a while. */
static void
open_metrics (Process *process)
{
  const Settings *s = process->settings;

  if (s->metrics_port == 0)
    return;
  process->metrics = hsrv_new (process->loop, (SockAddr){ s->ip, (uint16_t) s->metrics_port },
                               &metrics_ops, process);
  if (process->metrics == NULL && !process->lacks_metrics)
    jlog (JLOG_WARN, "no-metrics", NULL, JL_INT ("port", s->metrics_port),
          JL_TEXT ("why", g_strerror (errno)));
  process->lacks_metrics = process->metrics == NULL;
}

static FtStatus
open_instance (Process *process)
{
  const Settings *s = process->settings;
  FtStatus status = instance_check_addresses (s, &process->error);

  if (status == FT_OK)
    status = (s->role == ROLE_ENTRY ? entry_new : control_new) (
        s, platform_adapter_ops (), process->loop, &process->instance, &process->error);
  return status;
}

static void
log_start_waits (Process *process, int64_t now)
{
  if (process->start_logged_at && now - process->start_logged_at < START_LOG_INTERVAL)
    return;
  process->start_logged_at = now;
  jlog (JLOG_WARN, "start-waits", NULL, JL_TEXT ("field", process->error.field),
        JL_TEXT ("why", process->error.text), JL_MS ("left_ms", process->start_until - now));
}

/* Starts the instance. An address or a folder may still be in use by a process that ends, and a
 * disk may recover, so such a failure is followed by another try. */
static void
on_start_timer (LoopTimer *timer)
{
  Process *process = (Process *) ((char *) timer - offsetof (Process, start_timer));
  int64_t now = loop_now (process->loop);
  FtStatus status = open_instance (process);

  if (status == FT_OK)
    {
      open_metrics (process);
      if (*process->settings->data_folder)
        runs_begin (process->settings->data_folder);
    }
  else if ((status == FT_IO || status == FT_CONFLICT) && now < process->start_until)
    {
      log_start_waits (process, now);
      loop_timer_set (process->loop, timer, now + START_RETRY_INTERVAL);
    }
  else
    {
      process->start_failed = true;
      loop_stop (process->loop);
    }
}

static FtStatus
open_loop (Process *process)
{
  const Settings *s = process->settings;

  process->loop = loop_new ();
  if (process->loop == NULL || !open_signals (process))
    return ft_error_set (&process->error, FT_IO, 0, "", "%s", g_strerror (errno));
  jlog_init (s->name, s->log_level, loop_clock (process->loop));
  fatal_init (s->name);
  jlog (JLOG_INFO, "start", NULL, JL_TEXT ("version", ft_version ()),
        JL_TEXT ("role", s->role_text), JL_TEXT ("ip", s->ip_text), JL_TEXT ("domain", s->domain),
        JL_INT ("first_start", s->first_start), JL_INT ("seeds", s->seeds->len),
        JL_INT ("pid", getpid ()));
  process->start_until = loop_now (process->loop) + s->start_wait_s * FT_SECOND;
  process->start_timer.fire = on_start_timer;
  loop_timer_set (process->loop, &process->start_timer, loop_now (process->loop));
  process->modified_at = modification_time (process->file);
  process->settings_timer.fire = on_settings_timer;
  loop_timer_set (process->loop, &process->settings_timer,
                  loop_now (process->loop) + SETTINGS_CHECK_INTERVAL);
  loop_add_before_wait (process->loop, flush_log, NULL);
  loop_set_iteration_callback (process->loop, on_iteration, NULL);
  return FT_OK;
}

static FtStatus
read_settings (const char *file, bool once, Settings **out, FtError *error)
{
  FtStatus status = settings_read (file, out, error);

  for (unsigned i = 1; status != FT_OK && !once && i < SETTINGS_TRIES; i++)
    {
      g_usleep (SETTINGS_PAUSE_US);
      status = settings_read (file, out, error);
    }
  return status;
}

static int
run (const char *file, bool check_only)
{
  Process process = { .file = file };
  int result = 1;

  if (read_settings (file, check_only, &process.settings, &process.error) != FT_OK)
    goto out;
  if (check_only)
    {
      printf ("%s: the settings are valid\n", file);
      result = 0;
      goto out;
    }
  if (open_loop (&process) != FT_OK)
    goto out;
  loop_run (process.loop);
  if (process.start_failed)
    goto out;
  jlog (JLOG_INFO, "stopped", NULL, JL_INT ("lines", jlog_written ()),
        JL_INT ("lines_dropped", jlog_dropped ()));
  runs_end ();
  result = 0;
out:
  if (result != 0)
    {
      jlog (JLOG_ERROR, "start-failed", NULL, JL_TEXT ("field", process.error.field),
            JL_TEXT ("why", process.error.text));
      print_error (file, &process.error);
    }
  jlog_flush (true);
  if (process.metrics)
    hsrv_free (process.metrics);
  if (process.instance)
    process.instance->ops->destroy (process.instance);
  settings_free (process.settings);
  loop_free (process.loop);
  return result;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_lit *check = arg_lit0 (NULL, "check", "check the settings and exit");
  struct arg_lit *list = arg_lit0 (NULL, "help-settings", "list all settings");
  struct arg_file *settings
      = arg_file0 (NULL, NULL, "SETTINGS", "settings file; default: $" SETTINGS_VARIABLE);
  struct arg_end *end = arg_end (8);
  void *table[] = { help, check, list, settings, end };
  int errors = arg_parse (argc, argv, table);
  const char *file = settings->count ? settings->filename[0] : g_getenv (SETTINGS_VARIABLE);
  int result = 2;
  sigset_t set;

  block_signals (&set);
  if (help->count || list->count)
    {
      printf ("Usage: foxtailnode");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      if (list->count)
        settings_help ();
      result = 0;
    }
  else if (errors)
    arg_print_errors (stderr, end, "foxtailnode");
  else if (file == NULL)
    fprintf (stderr, "foxtailnode: no settings file; try --help\n");
  else
    result = run (file, check->count > 0);
  arg_freetable (table, G_N_ELEMENTS (table));
  return result;
}
