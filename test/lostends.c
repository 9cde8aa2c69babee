/* lostends.c - tests, with real processes on loopback, of answers without framing whose server's
 * process is lost or gives them up: none of them may end as complete before its last event, and
 * sound ones arrive whole. A plain answer is the text of the events. */
#include "lostplay.h"

#define HEAVY_PROCESS (512u << 20) /* bytes */
#define AMPLE_BUDGET  (10 * LOSTPLAY_STREAMS)

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  LOSTPLAY_ADD ("lostends/sound", LOSTPLAY_ROUTES, lostplay_all_are_whole, .fault = FAULT_NONE);
  LOSTPLAY_ADD ("lostends/shut", LOSTPLAY_STREAM_ROUTES, lostplay_none_ends_early,
                .fault = FAULT_SHUT);
  LOSTPLAY_ADD ("lostends/swap", LOSTPLAY_ROUTES, lostplay_none_ends_early, .fault = FAULT_SWAP);
  LOSTPLAY_ADD ("lostends/swap_heavy", LOSTPLAY_ROUTES, lostplay_none_ends_early,
                .fault = FAULT_SWAP, .memory = HEAVY_PROCESS);
  LOSTPLAY_ADD ("lostends/swap_hung", LOSTPLAY_STREAM_ROUTES, lostplay_none_ends_early,
                .fault = FAULT_HUNG);
  LOSTPLAY_ADD ("lostends/sibling", LOSTPLAY_ROUTES, lostplay_none_ends_early,
                .fault = FAULT_SIBLING);
  lostplay_add_case ("lostends/swap_budget", "resumable_two", "/stream/a",
                     &(Case){ .fault = FAULT_SWAP, .budget = AMPLE_BUDGET },
                     lostplay_all_are_whole);
  lostplay_add_case ("lostends/sibling_budget", "resumable_two", "/stream/a",
                     &(Case){ .fault = FAULT_SIBLING, .budget = AMPLE_BUDGET },
                     lostplay_all_are_whole);
  LOSTPLAY_ADD ("lostends/reset", LOSTPLAY_STREAM_ROUTES, lostplay_none_ends_early,
                .fault = FAULT_GIVE_UP, .mode = GIVE_UP_RESET);
  LOSTPLAY_ADD ("lostends/reset_at_check", LOSTPLAY_STREAM_ROUTES, lostplay_none_ends_early,
                .fault = FAULT_AT_CHECK, .mode = GIVE_UP_RESET, .streams = LOSTPLAY_STREAMS_MANY);
  LOSTPLAY_ADD ("lostends/reset_after_0", LOSTPLAY_STREAM_ROUTES, lostplay_none_ends_early,
                .fault = FAULT_GIVE_UP, .mode = GIVE_UP_THEN_RESET);
  LOSTPLAY_ADD ("lostends/reset_after_20", LOSTPLAY_ROUTES, lostplay_none_ends_early,
                .fault = FAULT_GIVE_UP, .mode = GIVE_UP_THEN_RESET, .reset_after_ms = 20);
  LOSTPLAY_ADD ("lostends/reset_after_45", LOSTPLAY_STREAM_ROUTES, lostplay_none_ends_early,
                .fault = FAULT_GIVE_UP, .mode = GIVE_UP_THEN_RESET, .reset_after_ms = 45);
  LOSTPLAY_ADD ("lostends/unchecked_sound", LOSTPLAY_ROUTES, lostplay_all_are_whole,
                .fault = FAULT_NONE, .unchecked = true);
  LOSTPLAY_ADD ("lostends/unchecked_swap", LOSTPLAY_ROUTES, lostplay_none_ends_early,
                .fault = FAULT_SWAP, .unchecked = true);
  LOSTPLAY_ADD ("lostends/relay_sound", LOSTPLAY_ROUTES, lostplay_all_are_whole,
                .fault = FAULT_NONE, .relayed = true);
  LOSTPLAY_ADD ("lostends/relay_swap", LOSTPLAY_STREAM_ROUTES, lostplay_none_ends_early,
                .fault = FAULT_SWAP, .relayed = true);
  LOSTPLAY_ADD ("lostends/relay_reset_after_20", LOSTPLAY_STREAM_ROUTES, lostplay_none_ends_early,
                .fault = FAULT_GIVE_UP, .mode = GIVE_UP_THEN_RESET, .reset_after_ms = 20,
                .relayed = true);
  return g_test_run ();
}
