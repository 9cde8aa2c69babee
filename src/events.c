/* events.c - filters a text/event-stream so that only complete events pass, each once.
 *
 * When a server stops in the middle of an event, another server continues after the last complete
 * one. The caller must not receive the first half of one event joined to another, or an event
 * twice. So a partial event is buffered until it is complete, and dropped when the stream continues
 * on another server. An event whose number is not above that of the last one is dropped too; the
 * last one may be of an earlier attempt of the caller.
 *
 * Lines and fields are those of the format (WHATWG HTML, section 9.2): a line ends with CR LF, LF
 * or CR, and the last id of an event counts. An empty id, with which a stream cannot be taken up,
 * is none.
 */
#include "events.h"

#include <string.h>

#define BYTE_ORDER_MARK "\xef\xbb\xbf"
#define MAX_EVENT_BYTES (1u << 20) /* bounds the memory of a partial event */

struct Events
{
  GString *partial;  /* the incomplete event at the end of the data so far */
  size_t examined;   /* bytes of partial */
  size_t line;       /* where the current line begins in it */
  size_t event;      /* where the current event begins in it */
  bool has_data;     /* of the current event */
  char *id;          /* of the current event; NULL: none so far */
  bool after_cr;     /* the last byte was a CR, so an LF belongs to the same line end */
  bool at_start;     /* no line of this server's answer has ended */
  bool appends;      /* the last event was appended */
  bool has_appended; /* one was, of any server */
  char *last_id;
  bool is_past_id;      /* data without an id was appended after it */
  uint64_t last_number; /* of the last id that is a number */
  bool has_number;      /* there was one */
  unsigned dropped;
  uint64_t skipped;
};

/* A sign, or more than fits, makes it no number. */
static bool
parse_number (const char *id, uint64_t *number)
{
  guint64 value;

  while (*id == ' ')
    id++;
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
  events->at_start = true;
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
  g_free (events->id);
  g_free (events->last_id);
  g_free (events);
}

/* Takes the id, and whether there is data, from a line of the event. An id with a NUL in it is
 * ignored. */
static void
read_field (Events *events, const char *line, size_t size)
{
  const char *colon = memchr (line, ':', size);
  size_t name = colon ? (size_t) (colon - line) : size;
  size_t value = MIN (size, name + 1);

  if (name == 4 && memcmp (line, "data", 4) == 0)
    events->has_data = true;
  if (name != 2 || memcmp (line, "id", 2) != 0)
    return;
  if (value < size && line[value] == ' ')
    value++;
  if (memchr (line + value, '\0', size - value))
    return;
  g_free (events->id);
  events->id = size > value ? g_strndup (line + value, size - value) : NULL;
}

/* Whether the event that is complete is to be appended: false if its number is not above the last
 * one. Records its id. */
static bool
record_event (Events *events)
{
  char *id = g_steal_pointer (&events->id);
  bool has_data = events->has_data;
  uint64_t number = 0;

  events->has_data = false;
  if (id == NULL)
    {
      events->is_past_id |= has_data;
      return true;
    }
  bool is_number = parse_number (id, &number);
  if (is_number && events->has_number && number <= events->last_number)
    {
      events->dropped++;
      g_free (id);
      return false;
    }
  if (is_number && events->has_number)
    events->skipped += number - events->last_number - 1;
  if (is_number)
    {
      events->has_number = true;
      events->last_number = number;
    }
  events->is_past_id = false;
  g_free (events->last_id);
  events->last_id = id;
  return true;
}

/* The first line of an answer may begin with a byte order mark, which is no part of it. Behind
 * events that were appended before it would be one for the caller, so it is left out there. */
static void
skip_mark (Events *events, size_t line_end)
{
  size_t size = strlen (BYTE_ORDER_MARK);

  events->at_start = false;
  if (line_end < size || memcmp (events->partial->str, BYTE_ORDER_MARK, size) != 0)
    return;
  events->line = size;
  if (events->has_appended)
    events->event = size;
}

/* Processes the line that ends before the byte at line_end. True: the event is complete. */
static bool
end_line (Events *events, size_t line_end)
{
  if (events->at_start)
    skip_mark (events, line_end);
  size_t line = events->line;
  events->line = events->examined;
  if (line == line_end)
    return true;
  read_field (events, events->partial->str + line, line_end - line);
  return false;
}

/* Appends the bytes of the event that is complete, unless it is dropped. */
static unsigned
end_event (Events *events, GString *out)
{
  size_t begin = events->event;

  events->event = events->examined;
  events->appends = record_event (events);
  if (!events->appends)
    return 0;
  events->has_appended = true;
  g_string_append_len (out, events->partial->str + begin, (gssize) (events->examined - begin));
  return 1;
}

/* The LF of a CR LF. If the CR completed an event, that was not kept waiting for it. */
static void
end_line_feed (Events *events, GString *out)
{
  events->line = events->examined;
  if (events->event != events->examined - 1)
    return;
  events->event = events->examined;
  if (events->appends)
    g_string_append_c (out, '\n');
}

static void
forget_before (Events *events, size_t at)
{
  g_string_erase (events->partial, 0, (gssize) at);
  events->examined -= at;
  events->line -= at;
  events->event -= at;
}

unsigned
events_feed (Events *events, const char *data, size_t size, GString *out)
{
  unsigned count = 0;

  g_string_append_len (events->partial, data, (gssize) size);
  while (events->examined < events->partial->len)
    {
      char byte = events->partial->str[events->examined++];
      bool in_line_end = events->after_cr && byte == '\n';

      events->after_cr = byte == '\r';
      if (in_line_end)
        end_line_feed (events, out);
      else if ((byte == '\r' || byte == '\n') && end_line (events, events->examined - 1))
        count += end_event (events, out);
    }
  forget_before (events, events->event);
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
  events->examined = events->line = events->event = 0;
  g_clear_pointer (&events->id, g_free);
  events->has_data = events->after_cr = events->appends = false;
  events->at_start = true;
}

const char *
events_last_id (const Events *events)
{
  return events->last_id;
}

bool
events_can_resume (const Events *events)
{
  return !events->is_past_id;
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
