/* paths.c - which rows of failed and successful connects make the own path count as lost. */
#include "paths.h"
#include "clock.h"

#define ROW_MAX    (3 * FT_SECOND) /* as in src/paths.c */
#define DOUBT_TIME (2 * FT_SECOND)
#define STEP       (100 * FT_MS)

static TestClock clock_now;
static Paths *paths;

static void
set_up (void)
{
  clock_now = test_clock ();
  paths = paths_new (&clock_now.base);
}

static void
tear_down (void)
{
  paths_free (paths);
  paths = NULL;
}

static void
note (const char *server, bool reached)
{
  clock_now.now += STEP;
  paths_note (paths, server, reached);
}

/* The server fails, and another instance reaches it. */
static void
refute (const char *server)
{
  note (server, false);
  paths_note_relayed (paths, server);
}

static void
lose_path (void)
{
  refute ("a");
  note ("b", false);
  g_assert_true (paths_is_lost (paths));
}

/* Guards against a single server that is down and takes the instance off its own path. */
static void
one_server_is_not_the_path (void)
{
  set_up ();
  g_assert_false (paths_is_lost (paths));
  g_assert_cmpint (paths_lost_at (paths), ==, 0);
  for (unsigned i = 0; i < 100; i++)
    {
      refute ("a");
      g_assert_false (paths_is_lost (paths));
      g_assert_cmpuint (paths_failed_count (paths), ==, 1);
    }
  tear_down ();
}

/* Guards against servers that all fail, and that no other instance reaches either, and count as a
 * lost path. */
static void
failing_servers_are_not_the_path (void)
{
  char name[16];

  set_up ();
  for (unsigned i = 0; i < 100; i++)
    {
      g_snprintf (name, sizeof name, "s%u", i % 10);
      note (name, false);
      g_assert_false (paths_is_lost (paths));
      g_assert_cmpint (paths_lost_at (paths), ==, 0);
    }
  g_assert_cmpuint (paths_failed_count (paths), >, 1);
  tear_down ();
}

/* Guards against a server that works for all, or that is reached again, and passes for one that
 * only this instance does not reach. */
static void
other_servers_refute_nothing (void)
{
  set_up ();
  paths_note_relayed (paths, "a"); /* before it failed */
  note ("a", false);
  note ("b", false);
  paths_note_relayed (paths, "c");
  g_assert_false (paths_is_lost (paths));
  note ("c", true);
  refute ("a");
  note ("c", true); /* ends the row */
  note ("b", false);
  note ("d", false);
  paths_note_relayed (paths, "c");
  paths_note_relayed (paths, "a"); /* of the row before */
  g_assert_false (paths_is_lost (paths));
  paths_note_relayed (paths, "d");
  g_assert_true (paths_is_lost (paths));
  tear_down ();
}

/* Guards against a loss that is seen only if the other instance is the last, or the first, to have
 * its result. */
static void
order_does_not_matter (void)
{
  static const char *const reached[] = { "a", "b" };

  for (unsigned i = 0; i < G_N_ELEMENTS (reached); i++)
    {
      set_up ();
      note ("a", false);
      note ("b", false);
      g_assert_false (paths_is_lost (paths));
      clock_now.now += STEP;
      paths_note_relayed (paths, reached[i]);
      g_assert_true (paths_is_lost (paths));
      g_assert_cmpint (paths_lost_at (paths), ==, clock_now.now);
      tear_down ();
    }
  set_up ();
  refute ("a");
  g_assert_false (paths_is_lost (paths));
  note ("b", false);
  g_assert_true (paths_is_lost (paths));
  g_assert_cmpint (paths_lost_at (paths), ==, clock_now.now);
  tear_down ();
}

/* Guards against a loss of the path that shows only after the connects to all servers have failed.
 */
static void
two_servers_in_a_row_are_the_path (void)
{
  set_up ();
  refute ("a");
  g_assert_false (paths_is_lost (paths));
  note ("b", false);
  g_assert_true (paths_is_lost (paths));
  g_assert_cmpint (paths_lost_at (paths), ==, clock_now.now);
  g_assert_cmpuint (paths_failed_count (paths), ==, 2);
  int64_t lost_at = paths_lost_at (paths);
  note ("c", false);
  g_assert_cmpuint (paths_failed_count (paths), ==, 3);
  g_assert_cmpint (paths_lost_at (paths), ==, lost_at);
  tear_down ();
}

/* Guards against two servers that are down, among many that are up, and count as a lost path. */
static void
success_between_refutes (void)
{
  set_up ();
  for (unsigned i = 0; i < 20; i++)
    {
      refute ("a");
      note ("c", true);
      g_assert_cmpuint (paths_failed_count (paths), ==, 0);
      refute ("b");
      g_assert_false (paths_is_lost (paths));
      note ("c", true);
    }
  tear_down ();
}

/* Guards against a success that does not refute because all outcomes were read in one iteration of
 * the loop and so have the same time. */
static void
success_at_the_same_time_refutes (void)
{
  set_up ();
  paths_note (paths, "a", false);
  paths_note_relayed (paths, "a");
  paths_note (paths, "c", true);
  paths_note (paths, "b", false);
  paths_note_relayed (paths, "b");
  g_assert_false (paths_is_lost (paths));
  g_assert_cmpuint (paths_failed_count (paths), ==, 1);
  tear_down ();
}

/* Guards against rare failures of single servers that add up to a lost path. */
static void
failures_far_apart_do_not_add_up (void)
{
  char name[16];

  set_up ();
  for (unsigned i = 0; i < 20; i++)
    {
      g_snprintf (name, sizeof name, "s%u", i);
      clock_now.now += ROW_MAX;
      refute (name);
      g_assert_false (paths_is_lost (paths));
      g_assert_cmpuint (paths_failed_count (paths), ==, 1);
    }
  tear_down ();
}

/* Guards against a loss that is not seen because one server had been failing for longer than a row
 * may take: the last failures of both are close together all the same. */
static void
old_failure_does_not_hide_a_loss (void)
{
  set_up ();
  note ("a", false);
  for (int64_t end = clock_now.now + ROW_MAX - STEP; clock_now.now < end;)
    note ("a", false);
  refute ("a");
  note ("b", false);
  g_assert_true (paths_is_lost (paths));
  tear_down ();
}

/* Guards against a path that is taken back after the one connect that gets through a cut. */
static void
one_success_does_not_bring_the_path_back (void)
{
  set_up ();
  lose_path ();
  note ("c", true);
  g_assert_true (paths_is_lost (paths));
  note ("c", true);
  g_assert_false (paths_is_lost (paths));
  g_assert_cmpuint (paths_failed_count (paths), ==, 0);
  refute ("a");
  g_assert_false (paths_is_lost (paths));
  tear_down ();
}

/* Guards against single successes between failures that add up while the path is lost. */
static void
failure_between_starts_the_way_back_anew (void)
{
  set_up ();
  lose_path ();
  for (unsigned i = 0; i < 20; i++)
    {
      note ("c", true);
      note ("a", false);
      g_assert_true (paths_is_lost (paths));
    }
  note ("c", true);
  g_assert_true (paths_is_lost (paths));
  note ("a", true);
  g_assert_false (paths_is_lost (paths));
  tear_down ();
}

/* Guards against a lost path that counts as regained because nothing was tried for some time. */
static void
time_alone_does_not_bring_the_path_back (void)
{
  set_up ();
  lose_path ();
  clock_now.now += 100 * ROW_MAX;
  g_assert_true (paths_is_lost (paths));
  note ("a", false);
  g_assert_true (paths_is_lost (paths));
  tear_down ();
}

/* Guards against a second loss that is not seen, or seen too soon, after the path was regained. */
static void
path_is_lost_again (void)
{
  set_up ();
  lose_path ();
  int64_t first = paths_lost_at (paths);
  note ("a", true);
  note ("b", true);
  refute ("a");
  g_assert_false (paths_is_lost (paths));
  note ("c", false);
  g_assert_true (paths_is_lost (paths));
  g_assert_cmpint (paths_lost_at (paths), >, first);
  note ("a", true);
  g_assert_true (paths_is_lost (paths));
  tear_down ();
}

/* Guards against a server that is avoided for good after one failed connect. */
static void
doubt_ends (void)
{
  set_up ();
  g_assert_false (paths_is_doubtful (paths, "a"));
  note ("a", false);
  g_assert_true (paths_is_doubtful (paths, "a"));
  g_assert_false (paths_is_doubtful (paths, "b"));
  clock_now.now += DOUBT_TIME - 1;
  g_assert_true (paths_is_doubtful (paths, "a"));
  clock_now.now += 1;
  g_assert_false (paths_is_doubtful (paths, "a"));
  note ("a", false);
  note ("b", true);
  g_assert_true (paths_is_doubtful (paths, "a"));
  note ("a", true);
  g_assert_false (paths_is_doubtful (paths, "a"));
  tear_down ();
}

/* Guards against servers that are avoided after the path is back, though it alone had failed. */
static void
lost_path_makes_all_servers_doubtful (void)
{
  set_up ();
  lose_path ();
  clock_now.now += 2 * DOUBT_TIME;
  g_assert_true (paths_is_doubtful (paths, "never tried"));
  note ("c", false);
  note ("a", true);
  note ("b", true);
  g_assert_false (paths_is_doubtful (paths, "c"));
  g_assert_false (paths_is_doubtful (paths, "never tried"));
  tear_down ();
}

/* Guards against memory that grows with the number of servers that ever failed: a cut lasts, and
 * servers get new names. */
static void
old_failures_are_dropped (void)
{
  char name[16];

  set_up ();
  for (unsigned i = 0; i < 20000; i++)
    {
      g_snprintf (name, sizeof name, "s%u", i);
      clock_now.now += FT_MS;
      paths_note (paths, name, false);
      paths_note_relayed (paths, name);
    }
  /* The path is lost, so each failure that is kept counts. */
  g_assert_true (paths_is_lost (paths));
  g_assert_cmpuint (paths_failed_count (paths), <=, MAX (ROW_MAX, DOUBT_TIME) / FT_MS + 1);
  tear_down ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/paths/one_server", one_server_is_not_the_path);
  g_test_add_func ("/paths/no_other", failing_servers_are_not_the_path);
  g_test_add_func ("/paths/other_server", other_servers_refute_nothing);
  g_test_add_func ("/paths/order", order_does_not_matter);
  g_test_add_func ("/paths/two_servers", two_servers_in_a_row_are_the_path);
  g_test_add_func ("/paths/refuted", success_between_refutes);
  g_test_add_func ("/paths/refuted_at_once", success_at_the_same_time_refutes);
  g_test_add_func ("/paths/far_apart", failures_far_apart_do_not_add_up);
  g_test_add_func ("/paths/old_failure", old_failure_does_not_hide_a_loss);
  g_test_add_func ("/paths/back/one_success", one_success_does_not_bring_the_path_back);
  g_test_add_func ("/paths/back/failure_between", failure_between_starts_the_way_back_anew);
  g_test_add_func ("/paths/back/time", time_alone_does_not_bring_the_path_back);
  g_test_add_func ("/paths/back/lost_again", path_is_lost_again);
  g_test_add_func ("/paths/doubt/ends", doubt_ends);
  g_test_add_func ("/paths/doubt/all", lost_path_makes_all_servers_doubtful);
  g_test_add_func ("/paths/memory", old_failures_are_dropped);
  return g_test_run ();
}
