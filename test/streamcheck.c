/* streamcheck.c - joins all attempts of a stream and finds events that are missing, repeated, out
 * of order, or of another version. */
#include "streamcheck.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

struct StreamCheck
{
  unsigned last;   /* of the whole stream */
  GArray *has;     /* bool: the caller has the event with that number */
  unsigned newest; /* number of the event that came last, or that the attempt asked after */
  char first[64], version[32], attempt[64];
  GString *line;
  bool after_cr; /* a LF now belongs to the CR before it */
  /* The event whose lines are being read. */
  bool is_open, has_data;
  unsigned number; /* 0: none, or it is no number */
  GString *data;
  unsigned counts[SC_FAULTS];
  char *report;
};

static const char *const fault_names[SC_FAULTS] = {
  "an event comes twice",
  "events go back",
  "events are missing",
  "events of two versions",
  "ended as complete before the last event",
  "an event beyond the last one",
  "a malformed event",
  "ended as complete within an event",
};

StreamCheck *
sc_new (unsigned last)
{
  StreamCheck *check = g_new0 (StreamCheck, 1);

  check->last = last;
  check->has = g_array_sized_new (FALSE, TRUE, sizeof (bool), last + 1);
  g_array_set_size (check->has, last + 1);
  check->line = g_string_new (NULL);
  check->data = g_string_new (NULL);
  return check;
}

void
sc_free (StreamCheck *check)
{
  if (check == NULL)
    return;
  g_array_unref (check->has);
  g_string_free (check->line, TRUE);
  g_string_free (check->data, TRUE);
  g_free (check->report);
  g_free (check);
}

static void
note (StreamCheck *check, ScFault fault, unsigned number, const char *version)
{
  check->counts[fault]++;
  if (check->report == NULL)
    check->report
        = g_strdup_printf ("%s: attempt %s, event %u%s%s after %u, began as %s at %s",
                           fault_names[fault], check->attempt, number, *version ? " of " : "",
                           version, check->newest, check->first, check->version);
}

static bool *
has_event (const StreamCheck *check, unsigned number)
{
  return &g_array_index (check->has, bool, number);
}

static void
start_event (StreamCheck *check)
{
  check->is_open = check->has_data = false;
  check->number = 0;
  g_string_truncate (check->data, 0);
}

void
sc_begin (StreamCheck *check, const char *id, unsigned asked)
{
  g_strlcpy (check->attempt, id, sizeof check->attempt);
  for (unsigned i = 1; i <= MIN (asked, check->last); i++)
    if (!*has_event (check, i))
      note (check, SC_MISSING, i, "");
  for (unsigned i = asked + 1; i <= check->last; i++)
    *has_event (check, i) = false;
  check->newest = asked;
  g_string_truncate (check->line, 0);
  check->after_cr = false;
  start_event (check);
}

/* Compares the event's number with those that the caller has, and adds it to them. */
static void
add_number (StreamCheck *check, unsigned number, const char *version)
{
  if (number > check->last)
    {
      note (check, SC_BEYOND, number, version);
      return;
    }
  if (*has_event (check, number))
    note (check, SC_REPEATED, number, version);
  if (number < check->newest)
    note (check, SC_WENT_BACK, number, version);
  if (number > check->newest + 1)
    note (check, SC_MISSING, number, version);
  *has_event (check, number) = true;
  check->newest = number;
}

/* The data must be "event N of VERSION" with the number of the event, and nothing else. */
static bool
read_data (const StreamCheck *check, char *version, size_t size)
{
  char *start = g_strdup_printf ("event %u of ", check->number);
  const char *data = check->data->str;
  bool matches = g_str_has_prefix (data, start);

  if (matches)
    g_strlcpy (version, data + strlen (start), size);
  g_free (start);
  return matches && *version && strpbrk (version, " \n") == NULL;
}

static void
add_event (StreamCheck *check)
{
  char version[32] = "";

  if (check->number == 0 || !check->has_data || !read_data (check, version, sizeof version))
    {
      note (check, SC_MALFORMED, check->number, version);
      return;
    }
  if (*check->first == '\0')
    {
      g_strlcpy (check->first, check->attempt, sizeof check->first);
      g_strlcpy (check->version, version, sizeof check->version);
    }
  if (strcmp (version, check->version) != 0)
    note (check, SC_OTHER_VERSION, check->number, version);
  add_number (check, check->number, version);
}

static void
read_number (StreamCheck *check, const char *value)
{
  guint64 number;
  bool is_number = g_ascii_string_to_unsigned (value, 10, 0, G_MAXUINT, &number, NULL);

  check->number = is_number ? (unsigned) number : 0;
}

static void
end_line (StreamCheck *check)
{
  char *line = check->line->str;

  if (*line == '\0')
    {
      if (check->is_open)
        add_event (check);
      start_event (check);
      return;
    }
  if (*line == ':')
    return;
  char *value = strchr (line, ':');
  if (value)
    *value++ = '\0';
  if (value && *value == ' ')
    value++;
  check->is_open = true;
  if (strcmp (line, "id") == 0)
    read_number (check, value ? value : "");
  else if (strcmp (line, "data") == 0)
    {
      if (check->has_data)
        g_string_append_c (check->data, '\n');
      g_string_append (check->data, value ? value : "");
      check->has_data = true;
    }
}

static void
feed_byte (StreamCheck *check, char byte)
{
  bool after_cr = check->after_cr;

  check->after_cr = byte == '\r';
  if (byte == '\n' && after_cr)
    return;
  if (byte != '\n' && byte != '\r')
    {
      g_string_append_c (check->line, byte);
      return;
    }
  end_line (check);
  g_string_truncate (check->line, 0);
}

void
sc_feed (StreamCheck *check, const char *bytes, size_t size)
{
  for (size_t i = 0; i < size; i++)
    feed_byte (check, bytes[i]);
}

void
sc_end (StreamCheck *check, bool complete)
{
  unsigned missing = 0;

  if (!complete)
    return;
  if (check->is_open || check->line->len > 0)
    note (check, SC_PARTIAL, check->number, "");
  if (check->newest < check->last)
    note (check, SC_ENDED_EARLY, check->newest, "");
  for (unsigned i = 1; i <= check->last; i++)
    missing += !*has_event (check, i);
  if (missing > 0)
    note (check, SC_MISSING, check->newest, "");
}

unsigned
sc_last_event (const StreamCheck *check)
{
  return check->newest;
}

const char *
sc_first (const StreamCheck *check)
{
  return check->first;
}

const char *
sc_version (const StreamCheck *check)
{
  return check->version;
}

unsigned
sc_count (const StreamCheck *check, ScFault fault)
{
  return check->counts[fault];
}

const char *
sc_report (const StreamCheck *check)
{
  return check->report;
}
