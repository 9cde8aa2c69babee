/* events.c - only whole events pass, each once.
 *
 * Failure: a server stops in the middle of an event, and another goes on behind the last whole one.
 * Symptom: the caller would get the first half of one event joined to another, or an event twice.
 * The half is held back until its end comes, and dropped when the stream goes on elsewhere; an
 * event whose number is not above the last one's is dropped too.
 */
#include "events.h"

#include <string.h>

#define EVENT_MOST (1u << 20) /* an event that never ends does not fill the memory, bytes */

struct Events
{
  GString *held; /* from the start of an event that is not whole yet */
  char *last_id;
  uint64_t last_number;
  bool numbered;
};

Events *
events_new (void)
{
  Events *events = g_new0 (Events, 1);

  events->held = g_string_new (NULL);
  return events;
}

void
events_free (Events *events)
{
  if (events == NULL)
    return;
  g_string_free (events->held, TRUE);
  g_free (events->last_id);
  g_free (events);
}

/* Length of the first whole event of text, its blank line included; 0: none is whole. */
static size_t
whole_event (const char *text, size_t size)
{
  bool blank = false; /* the line so far is empty */

  for (size_t i = 0; i < size; i++)
    {
      if (text[i] == '\n' && blank)
        return i + 1;
      if (text[i] == '\n')
        blank = true;
      else if (text[i] != '\r')
        blank = false;
    }
  return 0;
}

/* The id line of an event; *length its value's. NULL: it has none. */
static const char *
find_id (const char *event, size_t size, size_t *length)
{
  const char *end = event + size;

  for (const char *line = event; line < end;)
    {
      const char *stop = memchr (line, '\n', (size_t) (end - line));
      if (stop == NULL)
        stop = end;
      if (stop - line > 3 && memcmp (line, "id:", 3) == 0)
        {
          line += line[3] == ' ' ? 4 : 3;
          while (stop > line && stop[-1] == '\r')
            stop--;
          *length = (size_t) (stop - line);
          return line;
        }
      line = stop + 1;
    }
  return NULL;
}

/* False: the event was passed on before. */
static bool
advance (Events *events, const char *event, size_t size)
{
  size_t length;
  const char *id = find_id (event, size, &length);
  char *end;

  if (id == NULL)
    return true;
  char *copy = g_strndup (id, length);
  uint64_t number = g_ascii_strtoull (copy, &end, 10);
  bool is_number = end != copy && *end == '\0';
  if (is_number && events->numbered && number <= events->last_number)
    {
      g_free (copy);
      return false;
    }
  events->numbered = is_number;
  events->last_number = number;
  g_free (events->last_id);
  events->last_id = copy;
  return true;
}

unsigned
events_feed (Events *events, const char *data, size_t size, GString *out)
{
  unsigned count = 0;
  size_t at = 0, length;

  g_string_append_len (events->held, data, (gssize) size);
  while ((length = whole_event (events->held->str + at, events->held->len - at)) > 0)
    {
      if (advance (events, events->held->str + at, length))
        {
          g_string_append_len (out, events->held->str + at, (gssize) length);
          count++;
        }
      at += length;
    }
  g_string_erase (events->held, 0, (gssize) at);
  if (events->held->len > EVENT_MOST)
    g_string_truncate (events->held, 0);
  return count;
}

void
events_drop_partial (Events *events)
{
  g_string_truncate (events->held, 0);
}

const char *
events_last_id (const Events *events)
{
  return events->last_id;
}

bool
events_has_partial (const Events *events)
{
  return events->held->len > 0;
}
