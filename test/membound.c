/* membound.c - tests of the bound on the memory of all answers that are being received. */
#include "membound.h"

#define TOTAL 1000u
#define CALLS 9

/* Guards against a bound of one call that is none of all: together they never pass the total, and
 * some of it is left for another call. */
static void
all_calls_together (void)
{
  MemBound *bound = membound_new (TOTAL);
  size_t held[CALLS] = { 0 }, other = 0;

  for (unsigned round = 0; round < TOTAL; round++)
    for (unsigned i = 0; i < CALLS; i++)
      {
        membound_resize (bound, &held[i], held[i] + 1);
        g_assert_cmpuint (membound_used (bound), <=, TOTAL);
      }
  g_assert_cmpuint (membound_used (bound), ==, TOTAL / (CALLS + 1) * CALLS);
  g_assert_true (membound_resize (bound, &other, TOTAL / (CALLS + 1) / 2));
  membound_free (bound);
}

/* Guards against a call that takes what others need: alone it gets half of the total, beside one
 * that has a quarter it gets less, and the small one can still grow. */
static void
large_call_is_refused_first (void)
{
  MemBound *bound = membound_new (TOTAL);
  size_t large = 0, small = 0;

  g_assert_false (membound_resize (bound, &large, TOTAL / 2 + 1));
  g_assert_true (membound_resize (bound, &large, TOTAL / 2));
  g_assert_true (membound_resize (bound, &small, TOTAL / 4));
  g_assert_false (membound_resize (bound, &large, TOTAL / 2 + 1));
  g_assert_cmpuint (large, ==, TOTAL / 2);
  g_assert_false (membound_resize (bound, &small, TOTAL / 4 + 1));
  g_assert_true (membound_resize (bound, &large, TOTAL / 4));
  g_assert_true (membound_resize (bound, &small, TOTAL / 4 + TOTAL / 8));
  membound_free (bound);
}

/* Guards against memory that is never given back, and against sizes that overflow. */
static void
less_is_always_granted (void)
{
  MemBound *bound = membound_new (TOTAL);
  size_t held = 0, other = 0;

  g_assert_true (membound_resize (bound, &held, TOTAL / 2));
  g_assert_true (membound_resize (bound, &other, TOTAL / 4));
  g_assert_true (membound_resize (bound, &held, TOTAL / 2 - 1));
  g_assert_false (membound_resize (bound, &held, SIZE_MAX));
  g_assert_false (membound_resize (bound, &held, TOTAL * 2));
  g_assert_true (membound_resize (bound, &held, 0));
  g_assert_true (membound_resize (bound, &other, 0));
  g_assert_cmpuint (membound_used (bound), ==, 0);
  g_assert_true (membound_resize (bound, &held, TOTAL / 2));
  membound_free (bound);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/membound/all_calls_together", all_calls_together);
  g_test_add_func ("/membound/large_call_is_refused_first", large_call_is_refused_first);
  g_test_add_func ("/membound/less_is_always_granted", less_is_always_granted);
  return g_test_run ();
}
