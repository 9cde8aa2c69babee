/* threads.c - for the thread sanitizer: what several threads share while they handle requests,
 * which is catalogue references, the call table and the counters. */
#include "call.h"
#include "stat.h"

#include <string.h>

#define THREADS 4
#define ROUNDS  2000

static const char text[]
    = "{\"organisations\":[{\"name\":\"o\",\"owner\":\"w\",\"class\":\"c\",\"key_sha256\":"
      "\"0000000000000000000000000000000000000000000000000000000000000001\",\"limits\":{}}],"
      "\"classes\":[{\"name\":\"c\",\"owner\":\"w\",\"tier\":1,\"limits\":{}}],\"pools\":[]}";

static CallTable *calls;
static FtCat *cat;
static gint found_count;

static void *
run_calls (void *data)
{
  for (unsigned i = 0; i < ROUNDS; i++)
    {
      char id[32];
      FtCat *mine = ft_cat_ref (cat);
      g_snprintf (id, sizeof id, "%u-%u", GPOINTER_TO_UINT (data), i);
      Call *call = call_new (id);
      call->req = ft_req_new (id, NULL, NULL);
      g_assert_nonnull (ft_cat_org (mine, "o"));
      g_assert_cmpint (calls_add (calls, call), ==, FT_OK);
      Call *again = calls_find (calls, id);
      if (again)
        g_atomic_int_inc (&found_count);
      call_unref (again);
      stat_inc_tier (STAT_OFFERED, 1);
      stat_observe (STAT_WAIT, 1, i);
      calls_finish (calls, call, FT_SECOND + i);
      call_unref (call);
      ft_cat_unref (mine);
    }
  return NULL;
}

/* Four threads add, find and finish calls at the same time: no call or reference is lost, and
 * no reference is dropped twice. */
static void
test_shared (void)
{
  GThread *threads[THREADS];

  calls = calls_new (600 * FT_SECOND, 100000);
  g_assert_cmpint (ft_cat_new (text, 1, &cat, NULL), ==, FT_OK);
  for (unsigned i = 0; i < THREADS; i++)
    threads[i] = g_thread_new ("work", run_calls, GUINT_TO_POINTER (i));
  for (unsigned i = 0; i < THREADS; i++)
    g_thread_join (threads[i]);
  g_assert_cmpint (found_count, ==, THREADS * ROUNDS);
  g_assert_cmpuint (calls_running (calls), ==, 0);
  char *metrics = stat_format (NULL);
  g_assert_nonnull (strstr (metrics, "foxtail_requests_offered_total{tier=\"1\"} 8000\n"));
  g_free (metrics);
  calls_free (calls);
  ft_cat_unref (cat);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/threads/shared", test_shared);
  return g_test_run ();
}
