/* threads.c - what several threads share on a request's path, for the thread sanitizer: catalogue
 * references, the book of answers, counters. */
#include "call.h"
#include "stat.h"

#include <string.h>

#define THREADS 4
#define ROUNDS  2000

static const char text[]
    = "{\"organisations\":[{\"name\":\"o\",\"owner\":\"w\",\"class\":\"c\",\"key_sha256\":"
      "\"0000000000000000000000000000000000000000000000000000000000000001\",\"limits\":{}}],"
      "\"classes\":[{\"name\":\"c\",\"owner\":\"w\",\"tier\":1,\"limits\":{}}],\"pools\":[]}";

static CallTable *book;
static FtCat *cat;
static gint found;

static void *
work (void *data)
{
  for (unsigned i = 0; i < ROUNDS; i++)
    {
      char id[32];
      FtCat *mine = ft_cat_ref (cat);
      g_snprintf (id, sizeof id, "%u-%u", GPOINTER_TO_UINT (data), i);
      Call *call = call_new (id);
      call->req = ft_req_new (id, NULL, NULL);
      g_assert_nonnull (ft_cat_org (mine, "o"));
      g_assert_cmpint (calls_add (book, call), ==, FT_OK);
      Call *again = calls_find (book, id);
      if (again)
        g_atomic_int_inc (&found);
      call_unref (again);
      stat_inc_tier (STAT_OFFERED, 1);
      stat_observe (STAT_WAIT, 1, i);
      calls_finish (book, call, FT_SECOND + i);
      call_unref (call);
      ft_cat_unref (mine);
    }
  return NULL;
}

/* Four threads take, keep and drop at the same time: no reference is lost or freed twice. */
static void
test_shared (void)
{
  GThread *threads[THREADS];

  book = calls_new (600 * FT_SECOND, 100000);
  g_assert_cmpint (ft_cat_new (text, 1, &cat, NULL), ==, FT_OK);
  for (unsigned i = 0; i < THREADS; i++)
    threads[i] = g_thread_new ("work", work, GUINT_TO_POINTER (i));
  for (unsigned i = 0; i < THREADS; i++)
    g_thread_join (threads[i]);
  g_assert_cmpint (found, ==, THREADS * ROUNDS);
  g_assert_cmpuint (calls_running (book), ==, 0);
  char *metrics = stat_format (NULL);
  g_assert_nonnull (strstr (metrics, "foxtail_requests_offered_total{tier=\"1\"} 8000\n"));
  g_free (metrics);
  calls_free (book);
  ft_cat_unref (cat);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/threads/shared", test_shared);
  return g_test_run ();
}
