/* streamcheckunit.c - tests of the checker of streams with handmade streams, each fed whole and
 * byte by byte. */
#include "streamcheck.h"

#include <glib.h>
#include <string.h>

#define LAST         3
#define ATTEMPTS_MAX 4
#define ONE          "id: 1\ndata: event 1 of v1\n\n"
#define TWO          "id: 2\ndata: event 2 of v1\n\n"
#define THREE        "id: 3\ndata: event 3 of v1\n\n"
#define TWO_NEW      "id: 2\ndata: event 2 of v2\n\n"
#define THREE_NEW    "id: 3\ndata: event 3 of v2\n\n"

typedef struct
{
  unsigned asked;
  const char *body; /* NULL: no more attempts */
  bool complete;
} Attempt;

typedef struct
{
  const char *name;
  Attempt attempts[ATTEMPTS_MAX];
  unsigned counts[SC_FAULTS];
} Case;

static const Case cases[] = {
  /* Sound ones. */
  { "whole", { { 0, ONE TWO THREE, true } }, { 0 } },
  { "broken_off", { { 0, ONE TWO, false } }, { 0 } },
  { "nothing_came", { { 0, "", false } }, { 0 } },
  { "taken_up", { { 0, ONE, false }, { 1, TWO THREE, true } }, { 0 } },
  { "taken_up_twice", { { 0, ONE, false }, { 1, TWO, false }, { 2, THREE, true } }, { 0 } },
  { "taken_up_in_vain", { { 0, ONE, false }, { 1, "", false }, { 1, TWO THREE, true } }, { 0 } },
  { "begun_by_the_second", { { 0, "", false }, { 0, ONE TWO THREE, true } }, { 0 } },
  { "partial_event_dropped",
    { { 0, ONE "id: 2\ndata: ev", false }, { 1, TWO THREE, true } },
    { 0 } },
  { "id_without_blank_line",
    { { 0, ONE "id: 2\ndata: event 2 of v1\n", false }, { 1, TWO THREE, true } },
    { 0 } },
  { "asked_for_again", { { 0, ONE TWO, false }, { 1, TWO THREE, true } }, { 0 } },
  { "carriage_returns",
    { { 0, "id: 1\r\ndata: event 1 of v1\r\n\r\n" TWO "id: 3\rdata: event 3 of v1\r\r", true } },
    { 0 } },
  { "comments_and_fields",
    { { 0, ": ping\n\nevent: x\ndata:event 1 of v1\nid:1\nretry: 5\n\n" TWO ":\n" THREE, true } },
    { 0 } },
  /* Numbers. */
  { "twice", { { 0, ONE TWO TWO THREE, true } }, { [SC_REPEATED] = 1 } },
  { "twice_over_attempts",
    { { 0, ONE TWO, false }, { 2, TWO THREE, true } },
    { [SC_REPEATED] = 1 } },
  { "from_the_start_again",
    { { 0, ONE TWO, false }, { 2, ONE TWO THREE, true } },
    { [SC_REPEATED] = 2, [SC_WENT_BACK] = 1 } },
  { "back",
    { { 0, ONE THREE TWO, true } },
    { [SC_WENT_BACK] = 1, [SC_MISSING] = 1, [SC_ENDED_EARLY] = 1 } },
  { "left_out", { { 0, ONE THREE, true } }, { [SC_MISSING] = 2 } },
  { "first_left_out", { { 0, TWO THREE, true } }, { [SC_MISSING] = 2 } },
  { "left_out_over_attempts", { { 0, ONE, false }, { 1, THREE, true } }, { [SC_MISSING] = 2 } },
  { "left_out_by_the_caller", { { 0, ONE, false }, { 2, THREE, true } }, { [SC_MISSING] = 2 } },
  { "left_out_and_broken_off", { { 0, ONE THREE, false } }, { [SC_MISSING] = 1 } },
  { "beyond",
    { { 0, ONE TWO THREE "id: 4\ndata: event 4 of v1\n\n", true } },
    { [SC_BEYOND] = 1 } },
  /* Ends. */
  { "empty", { { 0, "", true } }, { [SC_MISSING] = 1, [SC_ENDED_EARLY] = 1 } },
  { "short", { { 0, ONE TWO, true } }, { [SC_MISSING] = 1, [SC_ENDED_EARLY] = 1 } },
  { "short_after_return",
    { { 0, ONE, false }, { 1, "", true } },
    { [SC_MISSING] = 1, [SC_ENDED_EARLY] = 1 } },
  { "ends_within_event",
    { { 0, ONE TWO "id: 3\ndata: event 3 of v1\n", true } },
    { [SC_PARTIAL] = 1, [SC_MISSING] = 1, [SC_ENDED_EARLY] = 1 } },
  { "ends_within_line", { { 0, ONE TWO THREE "id", true } }, { [SC_PARTIAL] = 1 } },
  /* Versions. */
  { "two_versions", { { 0, ONE TWO_NEW THREE, true } }, { [SC_OTHER_VERSION] = 1 } },
  { "two_versions_over_attempts",
    { { 0, ONE, false }, { 1, TWO_NEW THREE_NEW, true } },
    { [SC_OTHER_VERSION] = 2 } },
  { "forgotten_event_of_another",
    { { 0, ONE TWO_NEW, false }, { 1, TWO THREE, true } },
    { [SC_OTHER_VERSION] = 1 } },
  /* Form. */
  { "no_number", { { 0, ONE TWO "data: event 3 of v1\n\n" THREE, true } }, { [SC_MALFORMED] = 1 } },
  { "no_digits",
    { { 0, ONE TWO "id: x\ndata: event 3 of v1\n\n" THREE, true } },
    { [SC_MALFORMED] = 1 } },
  { "other_data",
    { { 0, ONE TWO "id: 3\ndata: event 2 of v1\n\n" THREE, true } },
    { [SC_MALFORMED] = 1 } },
  { "no_version",
    { { 0, ONE TWO "id: 3\ndata: event 3\n\n" THREE, true } },
    { [SC_MALFORMED] = 1 } },
  { "pieces_of_two_events",
    { { 0, ONE "id: 2\ndata: event id: 2\ndata: event 2 of v1\n\n" THREE, true } },
    { [SC_MALFORMED] = 1, [SC_MISSING] = 2 } },
};

static StreamCheck *
play (const Case *one, size_t piece)
{
  StreamCheck *check = sc_new (LAST);

  for (unsigned i = 0; i < ATTEMPTS_MAX && one->attempts[i].body; i++)
    {
      const Attempt *attempt = &one->attempts[i];
      size_t size = strlen (attempt->body);
      char id[8];
      g_snprintf (id, sizeof id, "a%u", i);
      sc_begin (check, id, attempt->asked);
      for (size_t at = 0; at < size; at += piece)
        sc_feed (check, attempt->body + at, MIN (piece, size - at));
      sc_end (check, attempt->complete);
    }
  return check;
}

static void
finds_just_the_faults (gconstpointer data)
{
  const Case *one = data;
  const size_t pieces[] = { 1, 2, 7, 4096 };

  for (unsigned i = 0; i < G_N_ELEMENTS (pieces); i++)
    {
      StreamCheck *check = play (one, pieces[i]);
      bool any = false;
      for (unsigned fault = 0; fault < SC_FAULTS; fault++)
        {
          g_assert_cmpuint (sc_count (check, fault), ==, one->counts[fault]);
          any = any || one->counts[fault] > 0;
        }
      g_assert_true ((sc_report (check) != NULL) == any);
      sc_free (check);
    }
}

static void
reports_the_first_fault (void)
{
  static const Case one
      = { "", { { 0, ONE, false }, { 1, TWO_NEW, false }, { 2, THREE, true } }, { 0 } };
  StreamCheck *check = play (&one, 1);

  g_assert_cmpstr (sc_report (check), ==,
                   "events of two versions: attempt a1, event 2 of v2 after 1, began as a0 at v1");
  g_assert_cmpstr (sc_first (check), ==, "a0");
  g_assert_cmpstr (sc_version (check), ==, "v1");
  g_assert_cmpuint (sc_last_event (check), ==, LAST);
  sc_free (check);
}

static void
tells_which_attempt_was_the_first (void)
{
  static const Case one = { "", { { 0, "id: 1", false }, { 0, ONE, false } }, { 0 } };
  StreamCheck *check = play (&one, 4096);

  g_assert_cmpstr (sc_first (check), ==, "a1");
  g_assert_cmpuint (sc_last_event (check), ==, 1);
  sc_free (check);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char path[64];
      g_snprintf (path, sizeof path, "/streamcheck/%s", cases[i].name);
      g_test_add_data_func (path, &cases[i], finds_just_the_faults);
    }
  g_test_add_func ("/streamcheck/first_fault", reports_the_first_fault);
  g_test_add_func ("/streamcheck/first_attempt", tells_which_attempt_was_the_first);
  return g_test_run ();
}
