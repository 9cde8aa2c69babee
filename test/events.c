/* events.c - tests of which events of a server's stream are passed on, and of where the stream can
 * go on. */
#include "events.h"

#include <string.h>

static void
feed (Events *events, const char *text, unsigned count, const char *passed)
{
  GString *out = g_string_new (NULL);

  g_assert_cmpuint (events_feed (events, text, strlen (text), out), ==, count);
  g_assert_cmpstr (out->str, ==, passed);
  g_string_free (out, TRUE);
}

/* The caller has event 2 of an earlier attempt; its next server begins at event 1. */
static void
repeated_after_return (void)
{
  Events *events = events_new ("2");

  g_assert_cmpstr (events_last_id (events), ==, "2");
  feed (events, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 0, "");
  g_assert_cmpstr (events_last_id (events), ==, "2");
  feed (events, "id: 3\ndata: c\n\n", 1, "id: 3\ndata: c\n\n");
  g_assert_cmpstr (events_last_id (events), ==, "3");
  g_assert_cmpuint (events_dropped (events), ==, 2);
  g_assert_cmpuint (events_skipped (events), ==, 0);
  events_free (events);
}

/* The server begins above the event that follows the caller's last one. */
static void
skipped_after_return (void)
{
  Events *events = events_new ("2");

  feed (events, "id: 5\ndata: e\n\n", 1, "id: 5\ndata: e\n\n");
  g_assert_cmpuint (events_dropped (events), ==, 0);
  g_assert_cmpuint (events_skipped (events), ==, 2);
  events_free (events);
}

/* The caller's id is no number: nothing is known to be repeated. */
static void
return_without_number (void)
{
  static const char *const ids[] = { "x", "-1", "+1", "2x", "99999999999999999999" };

  for (unsigned i = 0; i < G_N_ELEMENTS (ids); i++)
    {
      Events *events = events_new (ids[i]);
      g_assert_cmpstr (events_last_id (events), ==, ids[i]);
      feed (events, "id: 1\ndata: a\n\n", 1, "id: 1\ndata: a\n\n");
      g_assert_cmpuint (events_skipped (events), ==, 0);
      events_free (events);
    }
}

/* An id that is no number comes between numbers; then the next server repeats them. */
static void
number_after_name (void)
{
  Events *events = events_new (NULL);

  feed (events, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: x\ndata: c\n\n", 3,
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: x\ndata: c\n\n");
  g_assert_cmpstr (events_last_id (events), ==, "x");
  feed (events, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 5\ndata: d\n\n", 1, "id: 5\ndata: d\n\n");
  g_assert_cmpstr (events_last_id (events), ==, "5");
  g_assert_cmpuint (events_dropped (events), ==, 2);
  g_assert_cmpuint (events_skipped (events), ==, 2);
  events_free (events);
}

/* ---- Lines and fields of the format ---- */

typedef struct
{
  const char *name, *text;
  size_t size;
  unsigned count;      /* events that are complete */
  const char *last_id; /* of them */
  size_t passed;       /* bytes of text that are passed on */
  unsigned dropped;
} Case;

#define CASE(name, text, count, last_id, rest, dropped)                                            \
  {                                                                                                \
    name, text rest, sizeof text rest - 1, count, last_id, sizeof text - 1, dropped                \
  }

static const Case cases[] = {
  CASE ("lf", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, "2", "", 0),
  CASE ("crlf", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", 2, "2", "", 0),
  CASE ("cr", "id: 1\rdata: a\r\rid: 2\rdata: b\r\r", 2, "2", "", 0),
  CASE ("mixed", "id: 1\r\ndata: a\n\rid: 2\ndata: b\r\r\nid: 3\rdata: c\n\r\n", 3, "3", "", 0),
  CASE ("part", "id: 1\rdata: a\r\r", 1, "1", "id: 2\rdata: b\r", 0),
  CASE ("cr_before_lf_line", "id: 1\ndata: a\r\n\n", 1, "1", "id: 2\r\n", 0),
  CASE ("mark", "\xef\xbb\xbfid: 1\ndata: a\n\n", 1, "1", "", 0),
  CASE ("mark_alone",
        "\xef\xbb\xbf\n"
        "id: 1\n\n",
        2, "1", "", 0),
  CASE ("mark_later", "id: 1\n\n\xef\xbb\xbfid: 2\n\n", 2, "1", "", 0),
  CASE ("comments", ": a\n\n:id: 7\n\n: b\nid: 1\n: c\n\n", 3, "1", "", 0),
  CASE ("empty_id", "id: 1\n\nid:\ndata: a\n\nid: \ndata: b\n\n", 3, "1", "", 0),
  CASE ("bare_id", "id: 1\n\nid\ndata: a\n\n", 2, "1", "", 0),
  CASE ("last_id", "id: 7\ndata: a\nid: 1\n\nid: 2\n\nid: 9\nid\n\nid: 3\n\n", 4, "3", "", 0),
  CASE ("no_blank", "id:1\ndata:a\n\n", 1, "1", "", 0),
  CASE ("two_blanks", "id:  1\n\n", 1, " 1", "", 0),
  CASE ("other_fields", "id: 1\n\nidx: 7\n\nid : 8\n\n id: 9\n\nID: 9\n\n", 5, "1", "", 0),
  CASE ("nul", "id: 1\n\nid: 2\0x\n\nid: 3\nid: \0\n\n", 3, "3", "", 0),
  CASE ("repeated_blanks", "id:  2\n\n", 1, " 2", "id:   1\n\n", 1),
  CASE ("repeated", "id: 2\r\ndata: a\r\n\r\n", 1, "2", "id: 1\r\n\r\nid: 2\r\n\r\n", 2),
  CASE ("repeated_cr", "id: 2\r\r", 1, "2", "id: 1\r\rid: 2\r\r", 2),
};

static void
check_fed (const Case *expected, const size_t *cuts, unsigned cut_count)
{
  Events *events = events_new (NULL);
  GString *out = g_string_new (NULL);
  unsigned count = 0;
  size_t at = 0;

  for (unsigned i = 0; i <= cut_count; i++)
    {
      size_t end = i < cut_count ? cuts[i] : expected->size;
      count += events_feed (events, expected->text + at, end - at, out);
      at = end;
    }
  if (count != expected->count || g_strcmp0 (events_last_id (events), expected->last_id) != 0
      || events_dropped (events) != expected->dropped || out->len != expected->passed
      || memcmp (out->str, expected->text, out->len) != 0)
    g_error ("%s: %u events, last id \"%s\", %u dropped, %zu bytes", expected->name, count,
             events_last_id (events), events_dropped (events), out->len);
  g_string_free (out, TRUE);
  events_free (events);
}

static void
format (gconstpointer data)
{
  check_fed (data, NULL, 0);
}

/* Parts that end anywhere, down to single bytes, are passed on as the whole is. */
static void
format_in_parts (gconstpointer data)
{
  const Case *expected = data;
  size_t *all = g_new (size_t, expected->size);

  for (size_t i = 0; i < expected->size; i++)
    {
      all[i] = i;
      check_fed (expected, &i, 1);
      for (size_t j = i; j < expected->size; j++)
        check_fed (expected, (size_t[]){ i, j }, 2);
    }
  check_fed (expected, all, (unsigned) expected->size);
  g_free (all);
}

/* An event is passed on at the CR that completes it, whether an LF follows or not, and is not held
 * for the next event. */
static void
event_ends_with_cr (void)
{
  Events *events = events_new (NULL);

  feed (events, "id: 1\r\ndata: a\r\n\r", 1, "id: 1\r\ndata: a\r\n\r");
  g_assert_false (events_has_partial (events));
  feed (events, "\n", 0, "\n");
  g_assert_false (events_has_partial (events));
  feed (events, "id: 1\r\r", 0, "");
  feed (events, "\n", 0, ""); /* of an event that was dropped */
  feed (events, "id: 2\r\r", 1, "id: 2\r\r");
  events_drop_partial (events);
  feed (events, "\nid: 2\r\r", 1, "\n"); /* of another server: an empty line */
  events_free (events);
}

/* Two servers' streams begin with a byte order mark. Within the caller's stream it would hide the
 * name of a field. */
static void
mark_of_next_server (void)
{
  Events *events = events_new (NULL);

  feed (events, "\xef\xbb\xbfid: 1\nda", 0, "");
  events_drop_partial (events);
  feed (events, "\xef\xbb\xbfid: 1\ndata: a\n\nid: 2", 1, "\xef\xbb\xbfid: 1\ndata: a\n\n");
  events_drop_partial (events);
  feed (events, "\xef\xbb", 0, "");
  feed (events, "\xbfid: 2\ndata: b\n\nid: 3\n\n", 2, "id: 2\ndata: b\n\nid: 3\n\n");
  events_drop_partial (events);
  feed (events, "\xef\xbb\xbf\r\nid: 4\n\n", 2, "\r\nid: 4\n\n");
  events_free (events);
}

/* The id of an event of which only a part came is not the next event's. */
static void
partial_id_is_dropped (void)
{
  Events *events = events_new (NULL);

  feed (events, "id: 1\n\nid: 2\ndata: b", 1, "id: 1\n\n");
  events_drop_partial (events);
  feed (events, ": ping\n\n", 1, ": ping\n\n");
  g_assert_cmpstr (events_last_id (events), ==, "1");
  events_free (events);
}

/* Where a stream can go on: only events with data need an id. */
static void
resumes_after_ids (void)
{
  Events *events = events_new (NULL);
  GString *out = g_string_new (NULL);
  static const struct
  {
    const char *text;
    bool can;
  } steps[] = {
    { ": a\n\nevent: e\n\ndatax: a\n\n", true }, /* nothing has data */
    { "data: a\n\n", false },
    { "id:\n\n: b\n\n", false },
    { "id: 1\n\n", true },
    { "id: 2\ndata: b\n\n", true },
    { "data: c\n", true }, /* not passed on yet */
    { "\n", false },
    { "id: 1\ndata: a\n\n", false }, /* dropped */
    { "id: x\ndata: d\n\n", true },
    { "data\n\n", false },
    { "id: 3\ndata: e\n\ndata: f", true },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      events_feed (events, steps[i].text, strlen (steps[i].text), out);
      if (events_can_resume (events) != steps[i].can)
        g_error ("step %u: %d", i, !steps[i].can);
    }
  events_drop_partial (events);
  events_feed (events, ": a\n\n", 5, out);
  g_assert_true (events_can_resume (events));
  g_string_free (out, TRUE);
  events_free (events);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/events/repeated_after_return", repeated_after_return);
  g_test_add_func ("/events/skipped_after_return", skipped_after_return);
  g_test_add_func ("/events/return_without_number", return_without_number);
  g_test_add_func ("/events/number_after_name", number_after_name);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *whole = g_strconcat ("/events/format/", cases[i].name, NULL);
      char *parts = g_strconcat ("/events/parts/", cases[i].name, NULL);
      g_test_add_data_func (whole, &cases[i], format);
      g_test_add_data_func (parts, &cases[i], format_in_parts);
      g_free (whole);
      g_free (parts);
    }
  g_test_add_func ("/events/ends_with_cr", event_ends_with_cr);
  g_test_add_func ("/events/mark_of_next_server", mark_of_next_server);
  g_test_add_func ("/events/partial_id", partial_id_is_dropped);
  g_test_add_func ("/events/resumes_after_ids", resumes_after_ids);
  return g_test_run ();
}
