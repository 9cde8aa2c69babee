/* brittle_sched.c - tests of servers that crash if they reject too many requests in a second, with
 * a simulated clock. */
#include "engines.h"

static int
server_of (unsigned number)
{
  return model->jobs[number].server;
}

static unsigned
try_grant (void)
{
  unsigned number = ask (0, 100, 10);

  return server_of (number) >= 0 ? number : G_MAXUINT;
}

static void
announce (unsigned request, double brittleness)
{
  Notice notice = { .brittleness = brittleness };

  sched_notice (model->sched, 1, request, "s0", &notice);
}

static bool
is_brittle (void)
{
  return sched_is_paced (model->sched, "s0");
}

/* An answer without the notice, to a request sent before the notice arrived, arrives late. */
static void
overtaken_notices (void)
{
  model_begin (1, 6, false);
  unsigned early = try_grant ();
  model->clock.now += 100 * FT_MS;
  unsigned current = try_grant ();
  model->clock.now += 100 * FT_MS;
  announce (current, 4);
  g_assert_true (is_brittle ());
  announce (early, 0);
  g_assert_true (is_brittle ());
  model->clock.now += 100 * FT_MS;
  unsigned later = try_grant ();
  g_assert_cmpuint (later, !=, G_MAXUINT);
  announce (later, 0);
  g_assert_false (is_brittle ());
  model_end ();
}

/* A notice of one incarnation does not bind another one. */
static void
one_incarnation (void)
{
  model_begin (2, 6, false);
  Notice notice = { .brittleness = 4 };
  sched_older_notice (model->sched, 1, "s1", &notice, 0);
  g_assert_true (sched_is_paced (model->sched, "s1"));
  g_assert_false (is_brittle ());
  model_end ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/brittle_sched/overtaken", overtaken_notices);
  g_test_add_func ("/brittle_sched/one_incarnation", one_incarnation);
  return g_test_run ();
}
