/* jlog.c - log lines through a buffer of fixed size.
 *
 * Failure: whoever reads the log is slow, or a fault makes a line for every request. Symptom: the
 * process blocks on its own log, or spends its processor share on it. Lines beyond LINES_PER_S, and
 * lines for which the buffer has no room, are dropped and counted; the count is logged itself.
 *
 * Failure: hundreds of links go down at once, and each makes a line. Symptom: the one line that
 * says why, who is in charge or that a server was taken out, is dropped for them. Each event has
 * its own allowance, so that a frequent one drops no other.
 */
#include "jlog.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Tuning; each row with its reason. */
#define LINES_PER_S 100 /* of one event: requests end at 75 a second on one instance */
#define BURST       300 /* the same at once: a failover, or a list that changes as a whole */
#define BUFFER_MOST (256u << 10) /* bytes that wait for a slow reader */
#define FLUSH_SIZE  4096         /* fewer system calls than a line each */
#define FLUSH_EVERY (200 * FT_MS)

static char node_name[64];
static JlogLevel most_level = JLOG_INFO;
static FtClock *log_clock;
static GString *buffer;
static GHashTable *allowances; /* event: Allowance */
static int64_t flush_at;
static uint64_t written, dropped, dropped_told;

typedef struct
{
  double lines; /* that may follow at once */
  int64_t at;
} Allowance;

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
  if (allowances == NULL)
    allowances = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
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
allowed (const char *event)
{
  int64_t now = ft_clock_now (log_clock);
  Allowance *allowance = g_hash_table_lookup (allowances, event);

  if (allowance == NULL)
    {
      allowance = g_new0 (Allowance, 1);
      *allowance = (Allowance){ BURST, now };
      g_hash_table_insert (allowances, (gpointer) event, allowance);
    }
  allowance->lines
      = MIN (BURST, allowance->lines + (double) (now - allowance->at) / 1e6 * LINES_PER_S);
  allowance->at = now;
  if (allowance->lines < 1 || buffer->len >= BUFFER_MOST)
    return false;
  allowance->lines -= 1;
  return true;
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
  if (!allowed (event))
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
