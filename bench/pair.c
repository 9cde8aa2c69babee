/* pair.c - foxtailpair: what an instance adds to a call, measured as pairs in one run.
 *
 * The same client calls the stand-in directly and through an instance, in turn; the difference is
 * taken pair by pair. Then several threads call through the instance as fast as it answers. */
#include "http.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct
{
  const char *url, *key;
  unsigned calls, failed;
} Batch;

static gint64
call (const char *url, const char *key)
{
  struct _u_request request;
  struct _u_response response;
  char *bearer = g_strdup_printf ("Bearer %s", key);
  gint64 started = g_get_monotonic_time ();

  ulfius_init_request (&request);
  ulfius_init_response (&response);
  request.http_verb = o_strdup ("POST");
  request.http_url = o_strdup (url);
  request.timeout = 30;
  u_map_put (request.map_header, "Authorization", bearer);
  ulfius_set_binary_body_request (&request, "x", 1);
  bool done = ulfius_send_http_request (&request, &response) == U_OK && response.status == 200;
  ulfius_clean_request (&request);
  ulfius_clean_response (&response);
  g_free (bearer);
  return done ? g_get_monotonic_time () - started : -1;
}

static int
compare (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *) a, y = *(const gint64 *) b;

  return (x > y) - (x < y);
}

static double
quantile_ms (GArray *us, double q)
{
  g_array_sort (us, compare);
  return us->len ? (double) g_array_index (us, gint64, (guint) (q * (us->len - 1))) / 1000 : 0;
}

static void *
run_batch (void *data)
{
  Batch *batch = data;

  for (unsigned i = 0; i < batch->calls; i++)
    batch->failed += call (batch->url, batch->key) < 0;
  return NULL;
}

static void
measure_rate (const char *url, const char *key, unsigned threads, unsigned calls)
{
  Batch batch[64];
  GThread *running[64];
  unsigned failed = 0;
  gint64 started = g_get_monotonic_time ();

  threads = MIN (threads, G_N_ELEMENTS (batch));
  for (unsigned i = 0; i < threads; i++)
    {
      batch[i] = (Batch){ url, key, calls, 0 };
      running[i] = g_thread_new ("calls", run_batch, &batch[i]);
    }
  for (unsigned i = 0; i < threads; i++)
    {
      g_thread_join (running[i]);
      failed += batch[i].failed;
    }
  double seconds = (double) (g_get_monotonic_time () - started) / 1e6;
  printf ("%u threads: %.0f requests/s, %u of %u failed\n", threads, threads * calls / seconds,
          failed, threads * calls);
}

int
main (int argc, char **argv)
{
  struct arg_str *direct = arg_str1 (NULL, "direct", "URL", "the stand-in's");
  struct arg_str *through = arg_str1 (NULL, "through", "URL", "the instance's");
  struct arg_str *key = arg_str1 ("k", "key", "KEY", "the organisation's key");
  struct arg_int *count = arg_int0 ("n", "count", "N", "pairs, 1000");
  struct arg_int *threads = arg_int0 (NULL, "threads", "N", "for the rate, 16, at most 64");
  struct arg_end *end = arg_end (4);
  void *table[] = { direct, through, key, count, threads, end };
  GArray *plain = g_array_new (FALSE, FALSE, sizeof (gint64));
  GArray *added = g_array_new (FALSE, FALSE, sizeof (gint64));

  count->ival[0] = 1000;
  threads->ival[0] = 16;
  if (arg_parse (argc, argv, table) != 0)
    {
      arg_print_errors (stderr, end, "foxtailpair");
      arg_print_glossary (stderr, table, "  %-20s %s\n");
      return 2;
    }
  ulfius_global_init ();
  for (int i = 0; i < MIN (100000, count->ival[0]); i++)
    {
      gint64 a = call (direct->sval[0], key->sval[0]), b = call (through->sval[0], key->sval[0]);
      gint64 difference = b - a;
      if (a < 0 || b < 0)
        continue;
      g_array_append_val (plain, a);
      g_array_append_val (added, difference);
    }
  printf ("%u pairs: direct p50 %.2f ms, p99 %.2f ms; added p50 %.2f ms, p99 %.2f ms\n", plain->len,
          quantile_ms (plain, 0.5), quantile_ms (plain, 0.99), quantile_ms (added, 0.5),
          quantile_ms (added, 0.99));
  measure_rate (through->sval[0], key->sval[0], (unsigned) threads->ival[0], 500);
  return 0;
}
