/* sse.c - parses server-sent events (WHATWG HTML, section 9.2); fields id, event and data only. */
#include "sse.h"

#include <string.h>

#define LINE_MAX_SIZE (1u << 20)

void
sse_init (Sse *sse)
{
  sse->line = g_string_new (NULL);
  sse->data = g_string_new (NULL);
  sse->event = NULL;
  sse->id = -1;
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

static bool
parse_line (Sse *sse, SseEventFunc fn, void *user)
{
  const char *line = sse->line->str, *value;

  if (*line == '\0')
    return end_event (sse, fn, user);
  if ((value = field_value (line, "id")) != NULL)
    sse->id = g_ascii_strtoll (value, NULL, 10);
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
      if (bytes[i] == '\r')
        continue;
      if (bytes[i] != '\n')
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
