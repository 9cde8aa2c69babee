/* jlog.c - log lines through a buffer of fixed size.
 *
 * Failure: whoever reads the log is slow, or a fault makes a line for every request. Symptom: the
 * process blocks on its own log, or spends its processor share on it. Lines beyond LINES_PER_S, and
 * lines for which the buffer has no room, are dropped and counted; the count is logged itself.
 */
#include "jlog.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Tuning; each row with its reason. */
#define LINES_PER_S 300          /* four lines a request at 75 requests a second on one instance */
#define BURST       600          /* a start, a failover or a list that changes as a whole */
#define BUFFER_MOST (256u << 10) /* bytes that wait for a slow reader */
#define FLUSH_SIZE  4096         /* fewer system calls than a line each */
#define FLUSH_EVERY (200 * FT_MS)

static char node_name[64];
static JlogLevel most_level = JLOG_INFO;
static FtClock *log_clock;
static GString *buffer;
static double allowance = BURST;
static int64_t allowance_at, flush_at;
static uint64_t written, dropped, dropped_told;

void
jlog_open (const char *node, const char *level, FtClock *clock)
{
  static const char *const names[] = { "error", "warn", "info", "debug" };
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  g_strlcpy (node_name, node, sizeof node_name);
  for (unsigned i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (level, names[i]) == 0)
      most_level = (JlogLevel) i;
  log_clock = clock;
  allowance_at = ft_clock_now (clock);
  if (buffer == NULL)
    buffer = g_string_sized_new (FLUSH_SIZE * 2);
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static void
append_text (GString *out, const char *text)
{
  g_string_append_c (out, '"');
  for (; *text; text++)
    {
      if (*text == '"' || *text == '\\')
        g_string_append_c (out, '\\');
      if ((unsigned char) *text < 0x20)
        g_string_append_printf (out, "\\u%04x", (unsigned) *text);
      else
        g_string_append_c (out, *text);
    }
  g_string_append_c (out, '"');
}

static bool
allowed (JlogLevel level)
{
  int64_t now = ft_clock_now (log_clock);

  allowance = MIN (BURST, allowance + (double) (now - allowance_at) / 1e6 * LINES_PER_S);
  allowance_at = now;
  if (allowance < 1 && level > JLOG_WARN)
    return false;
  allowance = MAX (0, allowance - 1);
  return buffer->len < BUFFER_MOST;
}

static void
append_line (JlogLevel level, const char *event, const char *request, const JlogField *fields)
{
  static const char *const names[] = { "error", "warn", "info", "debug" };
  struct timespec wall;

  clock_gettime (CLOCK_REALTIME, &wall);
  g_string_append_printf (buffer,
                          "{\"at\":%lld.%03ld,\"up_ms\":%lld,\"node\":\"%s\",\"level\":\"%s\","
                          "\"event\":\"%s\"",
                          (long long) wall.tv_sec, wall.tv_nsec / 1000000,
                          (long long) (ft_clock_now (log_clock) / 1000), node_name, names[level],
                          event);
  if (request)
    {
      g_string_append (buffer, ",\"request\":");
      append_text (buffer, request);
    }
  for (; fields->name; fields++)
    {
      g_string_append_printf (buffer, ",\"%s\":", fields->name);
      if (fields->text)
        append_text (buffer, fields->text);
      else
        g_string_append_printf (buffer, "%lld", (long long) fields->number);
    }
  g_string_append (buffer, "}\n");
}

void
jlog_fields (JlogLevel level, const char *event, const char *request, const JlogField *fields)
{
  if (buffer == NULL || level > most_level)
    return;
  if (!allowed (level))
    {
      dropped++;
      return;
    }
  append_line (level, event, request, fields);
  written++;
}

void
jlog_flush (bool all)
{
  if (buffer == NULL)
    return;
  int64_t now = ft_clock_now (log_clock);
  if (!all && buffer->len < FLUSH_SIZE && now < flush_at)
    return;
  flush_at = now + FLUSH_EVERY;
  if (dropped > dropped_told && buffer->len < BUFFER_MOST)
    {
      JlogField fields[] = { JL_INT ("lines", dropped - dropped_told), { NULL, NULL, 0 } };
      append_line (JLOG_WARN, "log-dropped", NULL, fields);
      dropped_told = dropped;
    }
  if (buffer->len == 0)
    return;
  ssize_t done = write (STDOUT_FILENO, buffer->str, buffer->len);
  if (done > 0)
    g_string_erase (buffer, 0, done);
  else if (done < 0 && errno != EAGAIN && errno != EINTR)
    g_string_truncate (buffer, 0); /* nobody reads any more */
}

uint64_t
jlog_written (void)
{
  return written;
}

uint64_t
jlog_dropped (void)
{
  return dropped;
}
