/* latechecks.c - tests, with real processes on loopback, of answers without framing whose server's
 * status checks wait, are reset or rejected: sound answers arrive whole, and none that is not ends
 * as complete. */
#include "lostplay.h"

#include <string.h>

#define UNDECIDED_AFTER     (600 * FT_MS) /* longer than answers are held for a reset */
#define CHECKS_FOR_ALL      8
#define CHECKS_OF_SUCCESSOR 4 /* more than a refusal takes */
#define REJECTED_MS         2000
#define CHECKS_REJECTED     15 /* pauses that grow from 0.1 to 0.8 s leave room for 5, of 3 at once */
#define LAST_EVENT          "data: event 12\n\n" /* LOSTSERVER_EVENTS */

/* All answers are whole, and it took at most so many status checks. */
static void
expect_checks (const Case *on, unsigned most)
{
  Result result = lostplay_run (on);

  g_assert_cmpuint (result.whole, ==, result.count);
  g_assert_cmpuint (result.checks, >, 0);
  g_assert_cmpuint (result.checks, <=, most);
}

/* Guards against status checks that take the slots of sound requests, one for each end. */
static void
one_check_serves_all (gconstpointer data)
{
  expect_checks (data, CHECKS_FOR_ALL);
}

/* Guards against asking a server without a pause while it rejects status checks. */
static void
pauses_while_rejected (gconstpointer data)
{
  expect_checks (data, CHECKS_REJECTED);
}

/* Guards against a killed server's answers that end as complete because its successor, at an
 * address that never refuses, turns status checks away. */
static void
successor_is_asked (gconstpointer data)
{
  Result result = lostplay_none_early (data);

  g_assert_cmpuint (result.checks, >=, CHECKS_OF_SUCCESSOR);
}

static bool
all_received (void *data)
{
  const Play *play = data;

  for (unsigned i = 0; i < play->count; i++)
    if (!play->answers[i].done && strstr (play->answers[i].body->str, LAST_EVENT) == NULL)
      return false;
  return true;
}

static unsigned
count_done (const Play *play)
{
  unsigned count = 0;

  for (unsigned i = 0; i < play->count; i++)
    count += play->answers[i].done;
  return count;
}

/* Guards against breaking off sound answers of a server that resets its status checks and goes on
 * answering requests. */
static void
later_answer_is_proof (gconstpointer data)
{
  const Case *on = data;
  Play play;
  Answer later;

  lostplay_start (&play, on);
  lostplay_send_all (&play, on->path);
  fleet_run_until (play.fleet, all_received, &play, "all events");
  fleet_run_for (play.fleet, UNDECIDED_AFTER);
  g_assert_cmpuint (count_done (&play), ==, 0);
  fleet_send (play.fleet, &play.fleet->entries[0], on->path, "later", &later);
  fleet_run_until (play.fleet, lostplay_all_done, &play, "ends of all answers");
  Result result = lostplay_results (&play);
  g_assert_cmpuint (result.whole, ==, result.count);
  hxfer_cancel (later.xfer);
  fleet_answer_clear (&later);
  lostplay_end (&play);
}

/* Guards against answers that hold the places of their servers until it is known whether they are
 * whole. Only another answer shows it here, and there is no place for it until they are given back.
 */
static void
undecided_hold_no_place (gconstpointer data)
{
  later_answer_is_proof (data);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  /* Status checks that wait for a slot, are reset or rejected. */
  LOSTPLAY_ADD ("latechecks/check_late_500", 1, lostplay_all_are_whole, .delay_ms = 500);
  LOSTPLAY_ADD ("latechecks/check_late_2000", LOSTPLAY_ROUTES, lostplay_all_are_whole,
                .delay_ms = 2000);
  LOSTPLAY_ADD ("latechecks/check_late_4000", 1, lostplay_all_are_whole, .delay_ms = 4000);
  LOSTPLAY_ADD ("latechecks/check_reset", LOSTPLAY_STREAM_ROUTES, lostplay_all_are_whole,
                .check = CHECK_RESET, .check_ms = 2000);
  LOSTPLAY_ADD ("latechecks/check_rejected", LOSTPLAY_ROUTES, lostplay_all_are_whole,
                .check = CHECK_REJECTED, .check_ms = 2000);
  LOSTPLAY_ADD ("latechecks/check_rejected_pauses", 1, pauses_while_rejected,
                .check = CHECK_REJECTED, .check_ms = REJECTED_MS);
  LOSTPLAY_ADD ("latechecks/check_silent", 1, lostplay_all_are_whole, .check = CHECK_SILENT,
                .check_ms = 1000);
  LOSTPLAY_ADD ("latechecks/check_failing", 1, lostplay_all_are_whole, .check = CHECK_FAILING);
  LOSTPLAY_ADD ("latechecks/relay_check_late_2000", 1, lostplay_all_are_whole, .delay_ms = 2000,
                .relayed = true);
  LOSTPLAY_ADD ("latechecks/relay_check_rejected", 1, lostplay_all_are_whole,
                .check = CHECK_REJECTED, .check_ms = 2000, .relayed = true);
  LOSTPLAY_ADD ("latechecks/check_late_at_term", 1, lostplay_all_are_whole, .fault = FAULT_TERM,
                .delay_ms = 2000);
  LOSTPLAY_ADD ("latechecks/check_late_at_reload", 1, lostplay_all_are_whole, .fault = FAULT_RELOAD,
                .delay_ms = 2000);
  LOSTPLAY_ADD ("latechecks/check_late_many", 1, one_check_serves_all,
                .streams = LOSTPLAY_STREAMS_MANY, .delay_ms = 1000);
  LOSTPLAY_ADD ("latechecks/check_reset_later_answer", 1, later_answer_is_proof,
                .check = CHECK_RESET);
  LOSTPLAY_ADD ("latechecks/check_silent_places", 1, undecided_hold_no_place, .check = CHECK_SILENT,
                .slots = LOSTPLAY_STREAMS);
  LOSTPLAY_ADD ("latechecks/swap_check_late", LOSTPLAY_STREAM_ROUTES, lostplay_none_ends_early,
                .fault = FAULT_SWAP, .delay_ms = 2000);
  LOSTPLAY_ADD ("latechecks/swap_check_reset", 1, successor_is_asked, .fault = FAULT_SWAP,
                .check = CHECK_RESET, .held = true);
  LOSTPLAY_ADD ("latechecks/swap_check_rejected", LOSTPLAY_STREAM_ROUTES, successor_is_asked,
                .fault = FAULT_SWAP, .check = CHECK_REJECTED, .held = true);
  LOSTPLAY_ADD ("latechecks/relay_swap_check_rejected", 1, successor_is_asked, .fault = FAULT_SWAP,
                .check = CHECK_REJECTED, .held = true, .relayed = true);
  return g_test_run ();
}
