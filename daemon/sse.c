/* sse.c - parses server-sent events (WHATWG HTML, section 9.2); fields id, event and data only. */
#include "sse.h"

#include <string.h>

#define LINE_MAX_SIZE   (1u << 20)
#define BYTE_ORDER_MARK "\xef\xbb\xbf"

void
sse_init (Sse *sse)
{
  sse->line = g_string_new (NULL);
  sse->data = g_string_new (NULL);
  sse->event = NULL;
  sse->id = -1;
  sse->after_cr = sse->started = false;
}

void
sse_clear (Sse *sse)
{
  g_string_free (sse->line, TRUE);
  g_string_free (sse->data, TRUE);
  g_free (sse->event);
}

static const char *
field_value (const char *line, const char *field)
{
  size_t length = strlen (field);

  if (strncmp (line, field, length) != 0 || line[length] != ':')
    return NULL;
  line += length + 1;
  return *line == ' ' ? line + 1 : line;
}

static bool
end_event (Sse *sse, SseEventFunc fn, void *user)
{
  bool go_on = true;

  if (sse->data->len > 0)
    go_on = fn (user, sse->id, sse->event, sse->data->str);
  g_string_truncate (sse->data, 0);
  g_clear_pointer (&sse->event, g_free);
  sse->id = -1;
  return go_on;
}

/* -1: no number. */
static gint64
parse_id (const char *text)
{
  guint64 number;

  return g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT64, &number, NULL) ? (gint64) number : -1;
}

static bool
parse_line (Sse *sse, SseEventFunc fn, void *user)
{
  const char *line = sse->line->str, *value;

  if (!sse->started && g_str_has_prefix (line, BYTE_ORDER_MARK))
    line += strlen (BYTE_ORDER_MARK);
  sse->started = true;
  if (*line == '\0')
    return end_event (sse, fn, user);
  if ((value = field_value (line, "id")) != NULL)
    sse->id = parse_id (value);
  else if ((value = field_value (line, "event")) != NULL)
    {
      g_free (sse->event);
      sse->event = g_strdup (value);
    }
  else if ((value = field_value (line, "data")) != NULL)
    {
      if (sse->data->len > 0)
        g_string_append_c (sse->data, '\n');
      g_string_append (sse->data, value);
    }
  return sse->data->len < LINE_MAX_SIZE;
}

bool
sse_feed (Sse *sse, const char *bytes, gsize size, SseEventFunc fn, void *user)
{
  for (gsize i = 0; i < size; i++)
    {
      bool in_line_end = sse->after_cr && bytes[i] == '\n';

      sse->after_cr = bytes[i] == '\r';
      if (in_line_end)
        continue;
      if (bytes[i] != '\n' && bytes[i] != '\r')
        {
          g_string_append_c (sse->line, bytes[i]);
          if (sse->line->len > LINE_MAX_SIZE)
            return false;
          continue;
        }
      bool go_on = parse_line (sse, fn, user);
      g_string_truncate (sse->line, 0);
      if (!go_on)
        return false;
    }
  return true;
}

char *
sse_format (gint64 id, const char *data)
{
  GString *event = g_string_new (NULL);
  char **lines = g_strsplit (data, "\n", -1);

  g_string_append_printf (event, "id: %" G_GINT64_FORMAT "\n", id);
  for (unsigned i = 0; lines[i]; i++)
    g_string_append_printf (event, "data: %s\n", lines[i]);
  g_string_append_c (event, '\n');
  g_strfreev (lines);
  return g_string_free (event, FALSE);
}
