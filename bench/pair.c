/* pair.c - foxtailpair: measures the latency that an instance adds to a call, and its throughput.
 *
 * The same client alternates calls to the stand-in directly and through an instance, and the
 * difference is taken for each pair, so that both share the load of the machine at that moment.
 * Then several threads call through the instance without a pause. */
#include "http.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct
{
  const char *url, *key;
  unsigned calls, failed;
} ThreadCalls;

/* Returns the duration of the call in microseconds, or -1 if it failed. */
static gint64
timed_call (const char *url, const char *key)
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
  bool succeeded = ulfius_send_http_request (&request, &response) == U_OK && response.status == 200;
  ulfius_clean_request (&request);
  ulfius_clean_response (&response);
  g_free (bearer);
  return succeeded ? g_get_monotonic_time () - started : -1;
}

static int
compare_us (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *) a, y = *(const gint64 *) b;

  return (x > y) - (x < y);
}

static double
quantile_ms (GArray *us, double q)
{
  g_array_sort (us, compare_us);
  return us->len ? (double) g_array_index (us, gint64, (guint) (q * (us->len - 1))) / 1000 : 0;
}

static void *
run_thread_calls (void *data)
{
  ThreadCalls *thread_calls = data;

  for (unsigned i = 0; i < thread_calls->calls; i++)
    thread_calls->failed += timed_call (thread_calls->url, thread_calls->key) < 0;
  return NULL;
}

static void
measure_rate (const char *url, const char *key, unsigned threads, unsigned calls)
{
  ThreadCalls thread_calls[64];
  GThread *handles[64];
  unsigned failed = 0;
  gint64 started = g_get_monotonic_time ();

  threads = MIN (threads, G_N_ELEMENTS (thread_calls));
  for (unsigned i = 0; i < threads; i++)
    {
      thread_calls[i] = (ThreadCalls){ url, key, calls, 0 };
      handles[i] = g_thread_new ("calls", run_thread_calls, &thread_calls[i]);
    }
  for (unsigned i = 0; i < threads; i++)
    {
      g_thread_join (handles[i]);
      failed += thread_calls[i].failed;
    }
  double seconds = (double) (g_get_monotonic_time () - started) / 1e6;
  printf ("%u threads: %.0f requests/s, %u of %u failed\n", threads, threads * calls / seconds,
          failed, threads * calls);
}

int
main (int argc, char **argv)
{
  struct arg_str *direct = arg_str1 (NULL, "direct", "URL", "URL of the stand-in");
  struct arg_str *through = arg_str1 (NULL, "through", "URL", "the same path through the instance");
  struct arg_str *key = arg_str1 ("k", "key", "KEY", "the organisation's key");
  struct arg_int *count = arg_int0 ("n", "count", "N", "number of pairs, default 1000");
  struct arg_int *threads = arg_int0 (
      NULL, "threads", "N", "threads that measure the throughput, default 16, at most 64");
  struct arg_end *end = arg_end (4);
  void *table[] = { direct, through, key, count, threads, end };
  GArray *direct_us = g_array_new (FALSE, FALSE, sizeof (gint64));
  GArray *added_us = g_array_new (FALSE, FALSE, sizeof (gint64));

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
      gint64 a = timed_call (direct->sval[0], key->sval[0]),
             b = timed_call (through->sval[0], key->sval[0]);
      gint64 difference = b - a;
      if (a < 0 || b < 0)
        continue;
      g_array_append_val (direct_us, a);
      g_array_append_val (added_us, difference);
    }
  printf ("%u pairs: direct p50 %.2f ms, p99 %.2f ms; added p50 %.2f ms, p99 %.2f ms\n",
          direct_us->len, quantile_ms (direct_us, 0.5), quantile_ms (direct_us, 0.99),
          quantile_ms (added_us, 0.5), quantile_ms (added_us, 0.99));
  measure_rate (through->sval[0], key->sval[0], (unsigned) threads->ival[0], 500);
  return 0;
}
