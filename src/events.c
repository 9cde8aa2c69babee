/* events.c - filters a text/event-stream so that only complete events pass, each once.
 *
 * When a server stops in the middle of an event, another server continues after the last complete
 * one. The caller must not receive the first half of one event joined to another, or an event
 * twice. So a partial event is buffered until it is complete, and dropped when the stream continues
 * on another server. An event whose number is not above that of the last one is dropped too; the
 * last one may be of an earlier attempt of the caller.
 */
#include "events.h"

#include <string.h>

#define MAX_EVENT_BYTES (1u << 20) /* bounds the memory of a partial event */

struct Events
{
  GString *partial;   /* the incomplete event at the end of the data so far */
  size_t examined;    /* bytes of partial that hold no end of an event */
  bool line_is_empty; /* the line at that place is empty so far */
  char *last_id;
  uint64_t last_number; /* of the last id that is a number */
  bool has_number;      /* there was one */
  unsigned dropped;
  uint64_t skipped;
};

/* Sign, blanks and numbers that do not fit make it no number. */
static bool
parse_number (const char *id, uint64_t *number)
{
  guint64 value;

  if (!g_ascii_string_to_unsigned (id, 10, 0, G_MAXUINT64, &value, NULL))
    return false;
  *number = value;
  return true;
}

Events *
events_new (const char *last_id)
{
  Events *events = g_new0 (Events, 1);

  events->partial = g_string_new (NULL);
  events->last_id = g_strdup (last_id);
  events->has_number = last_id && parse_number (last_id, &events->last_number);
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

/* Where the first event that is complete ends in partial, after the blank line that ends it; 0:
 * none is complete. Goes on after the last byte examined, since an event may come in many small
 * parts. */
static size_t
find_event_end (Events *events)
{
  const GString *text = events->partial;

  while (events->examined < text->len)
    {
      char byte = text->str[events->examined++];
      if (byte == '\n' && events->line_is_empty)
        {
          events->line_is_empty = false;
          return events->examined;
        }
      if (byte == '\n')
        events->line_is_empty = true;
      else if (byte != '\r')
        events->line_is_empty = false;
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
  uint64_t number = 0;

  if (id == NULL)
    return true;
  char *copy = g_strndup (id, length);
  bool is_number = parse_number (copy, &number);
  if (is_number && events->has_number && number <= events->last_number)
    {
      events->dropped++;
      g_free (copy);
      return false;
    }
  if (is_number && events->has_number)
    events->skipped += number - events->last_number - 1;
  if (is_number)
    {
      events->has_number = true;
      events->last_number = number;
    }
  g_free (events->last_id);
  events->last_id = copy;
  return true;
}

unsigned
events_feed (Events *events, const char *data, size_t size, GString *out)
{
  unsigned count = 0;
  size_t at = 0, end;

  g_string_append_len (events->partial, data, (gssize) size);
  while ((end = find_event_end (events)) > 0)
    {
      if (record_event (events, events->partial->str + at, end - at))
        {
          g_string_append_len (out, events->partial->str + at, (gssize) (end - at));
          count++;
        }
      at = end;
    }
  g_string_erase (events->partial, 0, (gssize) at);
  events->examined -= at;
  return count;
}

bool
events_is_too_long (const Events *events)
{
  return events->partial->len > MAX_EVENT_BYTES;
}

void
events_drop_partial (Events *events)
{
  g_string_truncate (events->partial, 0);
  events->examined = 0;
  events->line_is_empty = false;
}

const char *
events_last_id (const Events *events)
{
  return events->last_id;
}

unsigned
events_dropped (const Events *events)
{
  return events->dropped;
}

uint64_t
events_skipped (const Events *events)
{
  return events->skipped;
}

bool
events_has_partial (const Events *events)
{
  return events->partial->len > 0;
}
