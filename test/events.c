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

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/events/repeated_after_return", repeated_after_return);
  g_test_add_func ("/events/skipped_after_return", skipped_after_return);
  g_test_add_func ("/events/return_without_number", return_without_number);
  g_test_add_func ("/events/number_after_name", number_after_name);
  return g_test_run ();
}
