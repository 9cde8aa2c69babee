/* events.c - filters a text/event-stream so that only complete events pass, each once.
 *
 * When a server stops in the middle of an event, another server continues after the last complete
 * one. The caller must not receive the first half of one event joined to another, or an event
 * twice. So a partial event is buffered until it is complete, and dropped when the stream continues
 * on another server. An event whose number is not above that of the last one is dropped too.
 */
#include "events.h"

#include <string.h>

#define MAX_EVENT_BYTES (1u << 20) /* a longer partial event is dropped, to bound the memory */

struct Events
{
  GString *partial; /* the incomplete event at the end of the data so far */
  char *last_id;
  uint64_t last_number;
  bool has_number; /* last_id is a number: last_number */
};

Events *
events_new (void)
{
  Events *events = g_new0 (Events, 1);

  events->partial = g_string_new (NULL);
  return events;
}

void
events_free (Events *events)
{
  if (events == NULL)
    return;
  g_string_free (events->partial, TRUE);
  g_free (events->last_id);
  g_free (events);
}

/* Length of the first event of text, including the blank line that ends it; 0: none is complete. */
static size_t
complete_event_length (const char *text, size_t size)
{
  bool blank = false; /* the current line is empty so far */

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

/* Returns the value of the event's id line and its length; NULL: the event has none. */
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

/* Records the id of an event. False: its number is not above the last one. */
static bool
record_event (Events *events, const char *event, size_t size)
{
  size_t length;
  const char *id = find_id (event, size, &length);
  char *end;

  if (id == NULL)
    return true;
  char *copy = g_strndup (id, length);
  uint64_t number = g_ascii_strtoull (copy, &end, 10);
  bool is_number = end != copy && *end == '\0';
  if (is_number && events->has_number && number <= events->last_number)
    {
      g_free (copy);
      return false;
    }
  events->has_number = is_number;
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

  g_string_append_len (events->partial, data, (gssize) size);
  while ((length = complete_event_length (events->partial->str + at, events->partial->len - at))
         > 0)
    {
      if (record_event (events, events->partial->str + at, length))
        {
          g_string_append_len (out, events->partial->str + at, (gssize) length);
          count++;
        }
      at += length;
    }
  g_string_erase (events->partial, 0, (gssize) at);
  if (events->partial->len > MAX_EVENT_BYTES)
    g_string_truncate (events->partial, 0);
  return count;
}

void
events_drop_partial (Events *events)
{
  g_string_truncate (events->partial, 0);
}

const char *
events_last_id (const Events *events)
{
  return events->last_id;
}

bool
events_has_partial (const Events *events)
{
  return events->partial->len > 0;
}
