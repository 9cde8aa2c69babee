/* load.c - foxtailload: a load generator for running instances that checks every answer.
 *
 * The length of a run is limited, and its seed determines arrivals and lengths. The stand-in
 * numbers the words of an answer ("w0 w1 ..."), so that missing, repeated or reordered parts are
 * detected. A request ends as one of
 *
 *   whole     the answer is complete and correct
 *   refused   a problem document with "ran": "no"
 *   unknown   a problem document or error event with "unknown"
 *   cut       the answer ended as if complete, but is incomplete or wrong
 *   lost      no answer and no problem document, and no instance knows the request
 *
 * After a broken connection the answer is fetched as a caller would fetch it, with
 * GET /v1/requests/ID from every instance. If none knows the request and the instance that accepted
 * it died, even if it has restarted since, the request counts as unknown. New requests go to
 * instances whose /readyz answers 200, as a load balancer does.
 */
#include "body.h"
#include "http.h"
#include "sse.h"

#include <argtable2.h>
#include <json-c/json.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define CLASSES_MAX        16
#define ENTRIES_MAX        64
#define FETCH_ATTEMPTS_MAX 40
#define MISSED_ROUNDS_MAX  8 /* rounds in which a dead instance may still come back */
#define FETCH_INTERVAL_US  (250 * 1000)

typedef enum
{
  END_COMPLETE,
  END_REFUSED,
  END_UNKNOWN,
  END_DAMAGED,
  END_LOST,
  END_COUNT
} End;

typedef struct
{
  char name[64];
  unsigned tier, share, prompt_tokens, tokens; /* tokens: mean length of an answer */
  bool service;
} Class;

typedef struct
{
  const Class *class;
  unsigned number, tokens;
  guint32 seed;
  char id[48];
  unsigned entry;         /* index into load.entries */
  guint incarnation_hash; /* of that instance when the request was sent */
} Request;

typedef struct
{
  unsigned offered, ends[END_COUNT];
  GArray *first_ms; /* double */
  GHashTable *reasons;
} TierStats;

static struct
{
  const char **entries;
  unsigned entry_count;
  const char *key, *ca_folder, *service_path;
  GMutex lock;
  TierStats tiers[6]; /* by tier, from 1 */
  unsigned ended, offered;
  gint ready[ENTRIES_MAX], stopping;
  /* Hash of the answer to /healthz, which names the incarnation; 0: not known yet. */
  guint incarnation_hash[ENTRIES_MAX];
} load;

typedef struct
{
  GString *bytes, *content;
  gint64 started_at, first_piece_at;
  unsigned piece_count;
  gint64 total_pieces; /* id of the [DONE] event; -1: not seen */
  bool in_order, error_event;
  bool stream;
  Sse sse;
} Answer;

static void
answer_init (Answer *answer)
{
  memset (answer, 0, sizeof *answer);
  answer->bytes = g_string_new (NULL);
  answer->content = g_string_new (NULL);
  answer->total_pieces = -1;
  answer->in_order = true;
  answer->started_at = g_get_monotonic_time ();
  sse_init (&answer->sse);
}

static void
answer_clear (Answer *answer)
{
  g_string_free (answer->bytes, TRUE);
  g_string_free (answer->content, TRUE);
  sse_clear (&answer->sse);
}

static bool
on_event (void *user, gint64 id, const char *event, const char *data)
{
  Answer *answer = user;

  if (event && strcmp (event, "error") == 0)
    answer->error_event = true;
  else if (strcmp (data, "[DONE]") == 0)
    answer->total_pieces = id;
  else
    {
      if (answer->first_piece_at == 0)
        answer->first_piece_at = g_get_monotonic_time ();
      answer->in_order &= id == answer->piece_count;
      answer->piece_count++;
      body_append_delta (data, answer->content);
    }
  return true;
}

static size_t
on_body (void *contents, size_t size, size_t count, void *user)
{
  Answer *answer = user;

  g_string_append_len (answer->bytes, contents, (gssize) (size * count));
  if (answer->stream)
    sse_feed (&answer->sse, contents, size * count, on_event, answer);
  return size * count;
}

/* Returns the HTTP status, or 0 if the exchange failed. */
static long
send_http_timeout (const char *entry, const char *method, const char *path, const Request *request,
                   const char *body, Answer *answer, unsigned long seconds)
{
  struct _u_request http_request;
  struct _u_response http_response;
  long status = 0;
  char *bearer = g_strdup_printf ("Bearer %s", load.key);

  ulfius_init_request (&http_request);
  ulfius_init_response (&http_response);
  http_request.http_verb = o_strdup (method);
  http_request.http_url = msprintf ("%s%s", entry, path);
  http_request.timeout = seconds;
  if (load.ca_folder)
    http_request.ca_path = o_strdup (load.ca_folder);
  u_map_put (http_request.map_header, "Authorization", bearer);
  if (body)
    {
      u_map_put (http_request.map_header, "Content-Type", "application/json");
      u_map_put (http_request.map_header, "X-Request-Id", request->id);
      u_map_put (http_request.map_header, "X-Class", request->class->name);
      if (request->class->service)
        u_map_put (http_request.map_header, "Idempotency-Key", request->id);
      ulfius_set_binary_body_request (&http_request, body, strlen (body));
    }
  if (ulfius_send_http_streaming_request (&http_request, &http_response, on_body, answer) == U_OK)
    status = http_response.status;
  ulfius_clean_request (&http_request);
  ulfius_clean_response (&http_response);
  g_free (bearer);
  return status;
}

static long
send_http (const char *entry, const char *method, const char *path, const Request *request,
           const char *body, Answer *answer)
{
  return send_http_timeout (entry, method, path, request, body, answer, 120);
}

static char *
expected_content (unsigned tokens)
{
  GString *out = g_string_new (NULL);

  for (unsigned i = 0; i < tokens; i++)
    g_string_append_printf (out, "w%u ", i);
  return g_string_free (out, FALSE);
}

/* The text of an answer that was not streamed. */
static char *
parse_content (const char *text)
{
  struct json_object *choices = NULL, *root = json_tokener_parse (text);
  const char *content = NULL;

  if (json_object_is_type (root, json_type_object)
      && json_object_object_get_ex (root, "choices", &choices))
    content = json_object_get_string (json_object_object_get (
        json_object_object_get (json_object_array_get_idx (choices, 0), "message"), "content"));
  char *copy = g_strdup (content ? content : "");
  json_object_put (root);
  return copy;
}

static void
count_reason (TierStats *stats, const char *reason)
{
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (stats->reasons, reason));

  g_hash_table_replace (stats->reasons, g_strdup (reason), GUINT_TO_POINTER (count + 1));
}

/* Classifies an answer by its problem document. */
static End
classify_problem (const Request *request, const char *text)
{
  struct json_object *root = json_tokener_parse (text);
  const char *ran = NULL, *reason = NULL;
  End end = END_LOST;

  if (json_object_is_type (root, json_type_object))
    {
      ran = json_object_get_string (json_object_object_get (root, "ran"));
      reason = json_object_get_string (json_object_object_get (root, "reason"));
    }
  if (ran && reason)
    {
      end = strcmp (ran, "no") == 0 ? END_REFUSED : END_UNKNOWN;
      g_mutex_lock (&load.lock);
      count_reason (&load.tiers[request->class->tier], reason);
      g_mutex_unlock (&load.lock);
    }
  json_object_put (root);
  return end;
}

static End
classify_answer (const Request *request, long status, const Answer *answer)
{
  if (status != 200)
    return classify_problem (request, answer->bytes->str);
  if (request->class->service)
    return strstr (answer->bytes->str, request->id) ? END_COMPLETE : END_DAMAGED;
  if (answer->error_event)
    return END_UNKNOWN;
  char *expected = expected_content (request->tokens);
  char *content
      = answer->stream ? g_strdup (answer->content->str) : parse_content (answer->bytes->str);
  bool complete
      = strcmp (expected, content) == 0
        && (!answer->stream || (answer->in_order && answer->total_pieces == answer->piece_count));
  g_free (expected);
  g_free (content);
  return complete ? END_COMPLETE : END_DAMAGED;
}

/* Asks one instance for the answer. Sets *answered to whether the instance responded at all. */
static End
fetch_from (const char *entry, const char *path, const Request *request, bool *answered)
{
  Answer answer;
  End end = END_LOST;

  answer_init (&answer);
  long status = send_http (entry, "GET", path, request, NULL, &answer);
  *answered = status != 0;
  if (status == 200)
    {
      answer.stream = !request->class->service && g_str_has_prefix (answer.bytes->str, "id:");
      if (answer.stream)
        sse_feed (&answer.sse, answer.bytes->str, answer.bytes->len, on_event, &answer);
      end = classify_answer (request, status, &answer);
    }
  else if (status != 404 && strstr (answer.bytes->str, "\"ran\":\"unknown\""))
    end = END_UNKNOWN;
  answer_clear (&answer);
  return end;
}

/* After a broken connection, asks every instance for the answer until one has it, or until the
 * request must be given up as unknown or lost. */
static End
fetch_from_all (const Request *request)
{
  char *path = g_strdup_printf ("/v1/requests/%s", request->id);
  End end = END_LOST;
  unsigned missed_rounds = 0;

  for (unsigned attempt = 0; attempt < FETCH_ATTEMPTS_MAX && end == END_LOST; attempt++)
    {
      bool unreachable = false;
      for (unsigned i = 0; i < load.entry_count && end == END_LOST; i++)
        {
          bool answered;
          end = fetch_from (load.entries[i], path, request, &answered);
          unreachable |= !answered;
        }
      bool may_have_died = unreachable
                           || (guint) g_atomic_int_get (&load.incarnation_hash[request->entry])
                                  != request->incarnation_hash;
      if (end == END_LOST && may_have_died && ++missed_rounds == MISSED_ROUNDS_MAX)
        end = END_UNKNOWN;
      if (end == END_LOST)
        g_usleep (FETCH_INTERVAL_US);
    }
  g_free (path);
  return end;
}

static void
poll_entry (unsigned i)
{
  Answer answer;

  answer_init (&answer);
  bool ready = send_http_timeout (load.entries[i], "GET", "/readyz", NULL, NULL, &answer, 1) == 200;
  g_string_truncate (answer.bytes, 0);
  if (send_http_timeout (load.entries[i], "GET", "/healthz", NULL, NULL, &answer, 1) == 200)
    g_atomic_int_set (&load.incarnation_hash[i], g_str_hash (answer.bytes->str));
  g_atomic_int_set (&load.ready[i], ready);
  answer_clear (&answer);
}

static void *
poll_entries (void *data)
{
  (void) data;
  while (!g_atomic_int_get (&load.stopping))
    {
      for (unsigned i = 0; i < load.entry_count; i++)
        poll_entry (i);
      g_usleep (50000);
    }
  return NULL;
}

static unsigned
choose_entry (unsigned number)
{
  for (unsigned i = 0; i < load.entry_count; i++)
    if (g_atomic_int_get (&load.ready[(number + i) % load.entry_count]))
      return (number + i) % load.entry_count;
  return number % MAX (1, load.entry_count);
}

static void
record_end (const Request *request, End end, const Answer *answer)
{
  TierStats *stats = &load.tiers[request->class->tier];

  if (end == END_LOST)
    fprintf (stderr, "LOST %s entry %u incarnation hash %u, now %u, received: %s\n", request->id,
             request->entry, request->incarnation_hash, load.incarnation_hash[request->entry],
             answer->bytes->str);
  g_mutex_lock (&load.lock);
  stats->ends[end]++;
  if (end == END_COMPLETE && answer->first_piece_at)
    {
      double ms = (double) (answer->first_piece_at - answer->started_at) / 1000;
      g_array_append_val (stats->first_ms, ms);
    }
  load.ended++;
  g_mutex_unlock (&load.lock);
}

static char *
make_body (const Request *request)
{
  GString *prompt = g_string_new (NULL);

  /* The first half is the same for all requests of a class, like a system prompt. */
  while (prompt->len < request->class->prompt_tokens * 2)
    g_string_append_printf (prompt, "class %s rule %zu. ", request->class->name, prompt->len);
  while (prompt->len < request->class->prompt_tokens * 4)
    g_string_append_printf (prompt, "%u-%zu ", request->number, prompt->len);
  char *body = g_strdup_printf (
      "{\"model\":\"standin\",\"stream\":%s,\"max_tokens\":%u,\"messages\":[{\"role\":\"user\","
      "\"content\":\"%s\"}]}",
      request->number % 4 ? "true" : "false", request->tokens, prompt->str);
  g_string_free (prompt, TRUE);
  return body;
}

static void
run_request (void *data, void *user)
{
  Request *request = data;
  Answer answer;
  char *body = make_body (request);

  (void) user;
  answer_init (&answer);
  answer.stream = !request->class->service && request->number % 4 != 0;
  long status = send_http (load.entries[request->entry], "POST",
                           request->class->service ? load.service_path : "/v1/chat/completions",
                           request, body, &answer);
  record_end (request,
              status ? classify_answer (request, status, &answer) : fetch_from_all (request),
              &answer);
  answer_clear (&answer);
  g_free (body);
  g_free (request);
}

/* ---- Arrivals ---- */

static const Class *
choose_class (GRand *random, const Class *classes, unsigned count)
{
  unsigned sum = 0, at;

  for (unsigned i = 0; i < count; i++)
    sum += classes[i].share;
  at = (unsigned) g_rand_int_range (random, 0, (gint32) sum);
  for (unsigned i = 0; i < count; i++)
    {
      if (at < classes[i].share)
        return &classes[i];
      at -= classes[i].share;
    }
  return classes;
}

static void
start_request (GRand *random, GThreadPool *pool, const Class *classes, unsigned count,
               const char *run)
{
  Request *request = g_new0 (Request, 1);

  request->class = choose_class (random, classes, count);
  request->number = ++load.offered;
  request->seed = g_rand_int (random);
  request->entry = choose_entry (request->number);
  request->incarnation_hash = (guint) g_atomic_int_get (&load.incarnation_hash[request->entry]);
  /* A random factor from 0.3 to 3.3 spreads the lengths about tenfold. */
  double spread = exp (g_rand_double_range (random, -1.2, 1.2));
  request->tokens = (unsigned) MAX (1, request->class->tokens * spread);
  g_snprintf (request->id, sizeof request->id, "%s-%u", run, request->number);
  g_mutex_lock (&load.lock);
  load.tiers[request->class->tier].offered++;
  g_mutex_unlock (&load.lock);
  g_thread_pool_push (pool, request, NULL);
}

static void
print_progress (gint64 started, bool last)
{
  if (!isatty (2) && !last)
    return;
  fprintf (stderr, "\r%5.1f s: %u offered, %u ended%s",
           (double) (g_get_monotonic_time () - started) / 1e6, load.offered, load.ended,
           last ? "\n" : "");
}

static void
run_load (const Class *classes, unsigned count, double rate, double seconds, guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  GThreadPool *pool = g_thread_pool_new (run_request, NULL, -1, FALSE, NULL);
  GThread *poller = g_thread_new ("ready", poll_entries, NULL);
  g_usleep (300000); /* time for the first readiness poll */
  gint64 started = g_get_monotonic_time (), next = started, printed_at = started;
  char *run = g_strdup_printf ("s%u-%x", seed, (unsigned) g_random_int ());

  while (next - started < seconds * 1e6)
    {
      gint64 now = g_get_monotonic_time ();
      if (now < next)
        g_usleep ((gulong) (next - now));
      start_request (random, pool, classes, count, run);
      next += (gint64) (-log (1 - g_rand_double (random)) / rate * 1e6);
      if (now - printed_at > 200000)
        {
          print_progress (started, false);
          printed_at = now;
        }
    }
  g_thread_pool_free (pool, FALSE, TRUE);
  print_progress (started, true);
  g_atomic_int_set (&load.stopping, 1);
  g_thread_join (poller);
  g_rand_free (random);
  g_free (run);
}

/* ---- Table ---- */

static int
compare_double (gconstpointer a, gconstpointer b)
{
  double x = *(const double *) a, y = *(const double *) b;

  return (x > y) - (x < y);
}

static double
quantile (GArray *values, double q)
{
  if (values->len == 0)
    return 0;
  g_array_sort (values, compare_double);
  return g_array_index (values, double, MIN (values->len - 1, (guint) (q * values->len)));
}

static void
print_table (void)
{
  printf ("tier  offered  answered whole  refused  unknown  first token p50 ms  p95 ms  reasons\n");
  for (unsigned tier = 1; tier <= 5; tier++)
    {
      TierStats *stats = &load.tiers[tier];
      GHashTableIter iter;
      void *reason, *count;
      printf ("%4u  %7u  %14u  %7u  %7u  %18.0f  %6.0f ", tier, stats->offered,
              stats->ends[END_COMPLETE], stats->ends[END_REFUSED], stats->ends[END_UNKNOWN],
              quantile (stats->first_ms, 0.5), quantile (stats->first_ms, 0.95));
      g_hash_table_iter_init (&iter, stats->reasons);
      while (g_hash_table_iter_next (&iter, &reason, &count))
        printf (" %s:%u", (char *) reason, GPOINTER_TO_UINT (count));
      printf ("\n");
    }
}

static unsigned
sum_ends (End end)
{
  unsigned sum = 0;

  for (unsigned tier = 1; tier <= 5; tier++)
    sum += load.tiers[tier].ends[end];
  return sum;
}

/* Sums the duplicate dispatches that the stand-ins counted. */
static unsigned
count_duplicates (struct arg_str *standins)
{
  unsigned doubled = 0;

  for (int i = 0; i < standins->count; i++)
    {
      Answer answer;
      answer_init (&answer);
      if (send_http (standins->sval[i], "GET", "/stats", NULL, NULL, &answer) == 200)
        {
          struct json_object *root = json_tokener_parse (answer.bytes->str);
          doubled += (unsigned) json_object_get_int (json_object_object_get (root, "doubled"));
          json_object_put (root);
        }
      answer_clear (&answer);
    }
  return doubled;
}

static bool
parse_class (const char *text, Class *class)
{
  char kind[16] = "model";

  return sscanf (text, "%63[^:]:%u:%u:%u:%u:%15s", class->name, &class->tier, &class->share,
                 &class->prompt_tokens, &class->tokens, kind)
             >= 5
         && class->tier >= 1 && class->tier <= 5
         && ((class->service = strcmp (kind, "service") == 0) || strcmp (kind, "model") == 0);
}

int
main (int argc, char **argv)
{
  struct arg_str *entries = arg_strn ("e", "entry", "URL", 1, 64, "caller port of an instance");
  struct arg_str *key = arg_str1 ("k", "key", "KEY", "the organisation's key");
  struct arg_str *ca = arg_str0 (NULL, "ca-folder", "FOLDER", "CA certificates to trust for https");
  struct arg_str *class = arg_strn (
      "c", "class", "NAME:TIER:SHARE:PROMPT:TOKENS[:service]", 1, CLASSES_MAX,
      "a class of the catalogue, its share of the requests and its mean lengths in tokens");
  struct arg_str *standins
      = arg_strn (NULL, "standin", "URL", 0, 64, "stand-in to ask for duplicate dispatches");
  struct arg_str *path
      = arg_str0 (NULL, "service-path", "PATH", "path of service calls, default /");
  struct arg_str *name
      = arg_str0 (NULL, "name", "NAME", "name in the last line of output, default load");
  struct arg_dbl *rate = arg_dbl0 ("r", "rate", "N", "requests per second, default 20");
  struct arg_dbl *seconds
      = arg_dbl0 ("t", "seconds", "S", "duration in seconds, default 10, at most 3600");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "seed of arrivals and lengths, default 1");
  struct arg_end *end = arg_end (8);
  void *table[] = { entries, key, ca, class, standins, path, name, rate, seconds, seed, end };
  Class classes[CLASSES_MAX];

  rate->dval[0] = 20;
  seconds->dval[0] = 10;
  seed->ival[0] = 1;
  int errors = arg_parse (argc, argv, table);
  for (int i = 0; i < class->count && errors == 0; i++)
    if (!parse_class (class->sval[i], &classes[i]))
      {
        fprintf (
            stderr,
            "foxtailload: invalid class %s; expected NAME:TIER:SHARE:PROMPT:TOKENS[:service]\n",
            class->sval[i]);
        return 2;
      }
  if (errors || seconds->dval[0] > 3600)
    {
      arg_print_errors (stderr, end, "foxtailload");
      arg_print_glossary (stderr, table, "  %-30s %s\n");
      return 2;
    }
  ulfius_global_init ();
  load.entries = entries->sval;
  load.entry_count = (unsigned) entries->count;
  load.key = key->sval[0];
  load.ca_folder = ca->count ? ca->sval[0] : NULL;
  load.service_path = path->count ? path->sval[0] : "/";
  for (unsigned i = 0; i < 6; i++)
    {
      load.tiers[i].first_ms = g_array_new (FALSE, FALSE, sizeof (double));
      load.tiers[i].reasons = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
  run_load (classes, (unsigned) class->count, rate->dval[0], seconds->dval[0],
            (guint32) seed->ival[0]);
  print_table ();
  unsigned lost = sum_ends (END_LOST), cut = sum_ends (END_DAMAGED),
           doubled = count_duplicates (standins);
  unsigned unknown = sum_ends (END_UNKNOWN);
  printf ("%s: %u offered, %u answered whole, %u refused, ", name->count ? name->sval[0] : "load",
          load.offered, sum_ends (END_COMPLETE), sum_ends (END_REFUSED));
  if (unknown)
    printf ("%u unknown, ", unknown);
  printf ("%u lost, %u doubled, %u cut\n", lost, doubled, cut);
  return lost + doubled + cut > 0 ? 1 : 0;
}
