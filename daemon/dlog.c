/* dlog.c - logs JSON lines through log4c, with an appender and a layout of our own. */
#include "dlog.h"

#include <glib.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static log4c_category_t *category;
static unsigned instance_id;
static GMutex lock; /* log4c's rc state is not thread-safe */

static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  (void) layout;
  return event->evt_msg;
}

static const log4c_layout_type_t line_layout = { "foxtail_json", format_line };

/* Used because log4c's stream appender puts its name before each line. */
static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void) appender;
  return fputs (event->evt_rendered_msg, stderr);
}

static const log4c_appender_type_t line_appender = { "foxtail_stderr", NULL, append_line, NULL };

bool
dlog_init (const char *level, unsigned instance)
{
  instance_id = instance;
  if (log4c_init () != 0)
    return false;
  log4c_layout_type_set (&line_layout);
  category = log4c_category_get ("foxtailgraded");
  log4c_appender_type_set (&line_appender);
  log4c_appender_t *appender = log4c_appender_get ("foxtail_stderr");
  log4c_appender_set_type (appender, &line_appender);
  log4c_layout_t *layout = log4c_layout_get ("foxtail_json");
  log4c_layout_set_type (layout, &line_layout);
  log4c_appender_set_layout (appender, layout);
  log4c_category_set_appender (category, appender);
  log4c_category_set_additivity (category, 0);
  log4c_category_set_priority (category, log4c_priority_to_int (level));
  return true;
}

void
dlog_fini (void)
{
  if (category)
    log4c_fini ();
  category = NULL;
}

static void
append_json (GString *out, const char *text)
{
  for (; *text; text++)
    {
      if (*text == '"' || *text == '\\')
        g_string_append_printf (out, "\\%c", *text);
      else if ((unsigned char) *text < 0x20)
        g_string_append_printf (out, "\\u%04x", (unsigned) *text);
      else
        g_string_append_c (out, *text);
    }
}

void
dlog (DlogLevel level, const char *request, const char *event, const char *format, ...)
{
  static const int priorities[]
      = { LOG4C_PRIORITY_ERROR, LOG4C_PRIORITY_WARN, LOG4C_PRIORITY_INFO, LOG4C_PRIORITY_DEBUG };
  static const char *const names[] = { "error", "warn", "info", "debug" };

  if (category == NULL || !log4c_category_is_priority_enabled (category, priorities[level]))
    return;
  va_list args;
  va_start (args, format);
  char *details = g_strdup_vprintf (format, args);
  va_end (args);
  GDateTime *now = g_date_time_new_now_utc ();
  char *time = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S");
  GString *line = g_string_new (NULL);
  g_string_append_printf (line,
                          "{\"time\":\"%s.%03dZ\",\"level\":\"%s\",\"instance\":%u,"
                          "\"event\":\"%s\"",
                          time, g_date_time_get_microsecond (now) / 1000, names[level], instance_id,
                          event);
  if (request)
    {
      g_string_append (line, ",\"request\":\"");
      append_json (line, request);
      g_string_append_c (line, '"');
    }
  g_string_append (line, ",\"text\":\"");
  append_json (line, details);
  g_string_append (line, "\"}\n");
  g_mutex_lock (&lock);
  log4c_category_log (category, priorities[level], "%s", line->str);
  g_mutex_unlock (&lock);
  g_string_free (line, TRUE);
  g_free (time);
  g_date_time_unref (now);
  g_free (details);
}
