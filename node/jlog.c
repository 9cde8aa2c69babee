/* jlog.c - writes log lines through a buffer of bounded size.
 *
 * A slow reader of the log, or a fault that logs a line for every request, must neither block the
 * process nor use up its CPU share. Lines above LINES_PER_S, and lines that do not fit into the
 * buffer, are dropped and counted; the count is logged.
 *
 * The rate limit applies to each event separately. Otherwise hundreds of links that go down at once
 * would crowd out the one line that names the cause, the leader or a server that was taken out.
 */
#include "jlog.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINES_PER_S    100 /* per event: one instance completes 75 requests a second */
#define BURST          300 /* per event at once: a failover, or a list in which all servers change */
#define BUFFER_MAX     (256u << 10) /* bytes kept for a slow reader */
#define FLUSH_SIZE     4096         /* bytes; fewer system calls than one per line */
#define FLUSH_INTERVAL (200 * FT_MS)

static char node_name[64];
static JlogLevel max_level = JLOG_INFO;
static FtClock *log_clock;
static GString *buffer;
static GHashTable *buckets; /* event name: TokenBucket */
static int64_t flush_at;
static uint64_t written, dropped, dropped_logged;

typedef struct
{
  double lines; /* that may be logged at once */
  int64_t at;
} TokenBucket;

void
jlog_init (const char *node, const char *level, FtClock *clock)
{
  static const char *const names[] = { "error", "warn", "info", "debug" };
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  g_strlcpy (node_name, node, sizeof node_name);
  for (unsigned i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (level, names[i]) == 0)
      max_level = (JlogLevel) i;
  log_clock = clock;
  if (buckets == NULL)
    buckets = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  if (buffer == NULL)
    buffer = g_string_sized_new (FLUSH_SIZE * 2);
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static void
append_json_string (GString *out, const char *text)
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
take_token (const char *event)
{
  int64_t now = ft_clock_now (log_clock);
  TokenBucket *bucket = g_hash_table_lookup (buckets, event);

  if (bucket == NULL)
    {
      bucket = g_new0 (TokenBucket, 1);
      *bucket = (TokenBucket){ BURST, now };
      g_hash_table_insert (buckets, (gpointer) event, bucket);
    }
  bucket->lines = MIN (BURST, bucket->lines + (double) (now - bucket->at) / 1e6 * LINES_PER_S);
  bucket->at = now;
  if (bucket->lines < 1 || buffer->len >= BUFFER_MAX)
    return false;
  bucket->lines -= 1;
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
      append_json_string (buffer, request);
    }
  for (; fields->name; fields++)
    {
      g_string_append_printf (buffer, ",\"%s\":", fields->name);
      if (fields->text)
        append_json_string (buffer, fields->text);
      else if (fields->is_unsigned)
        g_string_append_printf (buffer, "%" G_GUINT64_FORMAT, (uint64_t) fields->number);
      else
        g_string_append_printf (buffer, "%lld", (long long) fields->number);
    }
  g_string_append (buffer, "}\n");
}

void
jlog_fields (JlogLevel level, const char *event, const char *request, const JlogField *fields)
{
  if (buffer == NULL || level > max_level)
    return;
  if (!take_token (event))
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
  flush_at = now + FLUSH_INTERVAL;
  if (dropped > dropped_logged && buffer->len < BUFFER_MAX)
    {
      JlogField fields[] = { JL_INT ("lines", dropped - dropped_logged), { NULL, NULL, 0, false } };
      append_line (JLOG_WARN, "log-dropped", NULL, fields);
      dropped_logged = dropped;
    }
  if (buffer->len == 0)
    return;
  ssize_t done = write (STDOUT_FILENO, buffer->str, buffer->len);
  if (done > 0)
    g_string_erase (buffer, 0, done);
  else if (done < 0 && errno != EAGAIN && errno != EINTR)
    g_string_truncate (buffer, 0); /* the reader has closed the pipe */
}

void
jlog_write_pending (void)
{
  if (buffer == NULL || buffer->len == 0)
    return;
  ssize_t done = write (STDOUT_FILENO, buffer->str, buffer->len);
  (void) done; /* the process ends */
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
