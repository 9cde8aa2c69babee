/* load.c - foxtailload: a bounded, seeded load on running instances, every answer checked.
 *
 * The stand-in's answers say their own length and order ("w0 w1 ..."), so that an answer that is
 * cut, doubled or mixed up is seen. A request ends as one of
 *
 *   whole     the answer is complete and right
 *   refused   a problem that says "ran": "no"
 *   unknown   a problem or error event that says "unknown"
 *   cut       shown as complete, but is not
 *   lost      no answer, no problem, and no instance knows the request any more
 *
 * A connection that breaks is tried again as a caller would: GET /v1/requests/ID at every instance.
 * When the instance that had it died, perhaps to come back as another process, and nobody knows the
 * request, that is unknown. New requests go to instances whose /readyz says so, as behind a
 * balancer.
 */
#include "body.h"
#include "http.h"
#include "sse.h"

#include <argtable2.h>
#include <json-c/json.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define CLASSES_MOST 16
#define ENTRIES_MOST 64
#define FETCH_TRIES  40
#define MISSED_MOST  8 /* rounds in which a gone instance may still come back */
#define FETCH_WAIT   (250 * 1000)

typedef enum
{
  END_WHOLE,
  END_REFUSED,
  END_UNKNOWN,
  END_CUT,
  END_LOST,
  ENDS
} End;

typedef struct
{
  char name[64];
  unsigned tier, share, prompt, tokens;
  bool service;
} Class;

typedef struct
{
  const Class *class;
  unsigned number, tokens;
  guint32 seed;
  char id[48];
  unsigned entry; /* of load.entries */
  guint life;     /* of that instance when the request was sent */
} Shot;

typedef struct
{
  unsigned offered, ends[ENDS];
  GArray *first_ms; /* double */
  GHashTable *reasons;
} Row;

static struct
{
  const char **entries;
  unsigned entry_count;
  const char *key, *ca_folder, *service_path;
  GMutex lock;
  Row rows[6];
  unsigned done, offered;
  gint ready[ENTRIES_MOST], stopped;
  guint life[ENTRIES_MOST]; /* hash of the instance's incarnation, 0: not known yet */
} load;

typedef struct
{
  GString *bytes, *content;
  gint64 started, first;
  unsigned pieces;
  gint64 total; /* from [DONE], -1: not seen */
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
  answer->total = -1;
  answer->in_order = true;
  answer->started = g_get_monotonic_time ();
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
    answer->total = id;
  else
    {
      if (answer->first == 0)
        answer->first = g_get_monotonic_time ();
      answer->in_order &= id == answer->pieces;
      answer->pieces++;
      body_append_delta (data, answer->content);
    }
  return true;
}

static size_t
on_bytes (void *contents, size_t size, size_t count, void *user)
{
  Answer *answer = user;

  g_string_append_len (answer->bytes, contents, (gssize) (size * count));
  if (answer->stream)
    sse_feed (&answer->sse, contents, size * count, on_event, answer);
  return size * count;
}

/* HTTP status; 0: the exchange broke. */
static long
exchange_within (const char *entry, const char *method, const char *path, const Shot *shot,
                 const char *body, Answer *answer, unsigned long seconds)
{
  struct _u_request request;
  struct _u_response response;
  long status = 0;
  char *bearer = g_strdup_printf ("Bearer %s", load.key);

  ulfius_init_request (&request);
  ulfius_init_response (&response);
  request.http_verb = o_strdup (method);
  request.http_url = msprintf ("%s%s", entry, path);
  request.timeout = seconds;
  if (load.ca_folder)
    request.ca_path = o_strdup (load.ca_folder);
  u_map_put (request.map_header, "Authorization", bearer);
  if (body)
    {
      u_map_put (request.map_header, "Content-Type", "application/json");
      u_map_put (request.map_header, "X-Request-Id", shot->id);
      u_map_put (request.map_header, "X-Class", shot->class->name);
      if (shot->class->service)
        u_map_put (request.map_header, "Idempotency-Key", shot->id);
      ulfius_set_binary_body_request (&request, body, strlen (body));
    }
  if (ulfius_send_http_streaming_request (&request, &response, on_bytes, answer) == U_OK)
    status = response.status;
  ulfius_clean_request (&request);
  ulfius_clean_response (&response);
  g_free (bearer);
  return status;
}

static long
exchange (const char *entry, const char *method, const char *path, const Shot *shot,
          const char *body, Answer *answer)
{
  return exchange_within (entry, method, path, shot, body, answer, 120);
}

static char *
expected_content (unsigned tokens)
{
  GString *out = g_string_new (NULL);

  for (unsigned i = 0; i < tokens; i++)
    g_string_append_printf (out, "w%u ", i);
  return g_string_free (out, FALSE);
}

/* The text of a whole, not streamed answer. */
static char *
whole_content (const char *text)
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
count_reason (Row *row, const char *reason)
{
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (row->reasons, reason));

  g_hash_table_replace (row->reasons, g_strdup (reason), GUINT_TO_POINTER (count + 1));
}

/* What a problem object says of itself. */
static End
judge_problem (const Shot *shot, const char *text)
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
      count_reason (&load.rows[shot->class->tier], reason);
      g_mutex_unlock (&load.lock);
    }
  json_object_put (root);
  return end;
}

static End
judge (const Shot *shot, long status, const Answer *answer)
{
  if (status != 200)
    return judge_problem (shot, answer->bytes->str);
  if (shot->class->service)
    return strstr (answer->bytes->str, shot->id) ? END_WHOLE : END_CUT;
  if (answer->error_event)
    return END_UNKNOWN;
  char *wanted = expected_content (shot->tokens);
  char *content
      = answer->stream ? g_strdup (answer->content->str) : whole_content (answer->bytes->str);
  bool whole = strcmp (wanted, content) == 0
               && (!answer->stream || (answer->in_order && answer->total == answer->pieces));
  g_free (wanted);
  g_free (content);
  return whole ? END_WHOLE : END_CUT;
}

/* One instance's word on the request; *known: it answered at all. */
static End
fetch_from (const char *entry, const char *path, const Shot *shot, bool *known)
{
  Answer answer;
  End end = END_LOST;

  answer_init (&answer);
  long status = exchange (entry, "GET", path, shot, NULL, &answer);
  *known = status != 0;
  if (status == 200)
    {
      answer.stream = !shot->class->service && g_str_has_prefix (answer.bytes->str, "id:");
      if (answer.stream)
        sse_feed (&answer.sse, answer.bytes->str, answer.bytes->len, on_event, &answer);
      end = judge (shot, status, &answer);
    }
  else if (status != 404 && strstr (answer.bytes->str, "\"ran\":\"unknown\""))
    end = END_UNKNOWN;
  answer_clear (&answer);
  return end;
}

/* The connection broke: asks every instance for the answer, as long as one may still have it. */
static End
fetch_again (const Shot *shot)
{
  char *path = g_strdup_printf ("/v1/requests/%s", shot->id);
  End end = END_LOST;
  unsigned missed = 0;

  for (unsigned tries = 0; tries < FETCH_TRIES && end == END_LOST; tries++)
    {
      bool gone = false;
      for (unsigned i = 0; i < load.entry_count && end == END_LOST; i++)
        {
          bool known;
          end = fetch_from (load.entries[i], path, shot, &known);
          gone |= !known;
        }
      bool died = gone || (guint) g_atomic_int_get (&load.life[shot->entry]) != shot->life;
      if (end == END_LOST && died && ++missed == MISSED_MOST)
        end = END_UNKNOWN;
      if (end == END_LOST)
        g_usleep (FETCH_WAIT);
    }
  g_free (path);
  return end;
}

static void
watch_entry (unsigned i)
{
  Answer answer;

  answer_init (&answer);
  bool ready = exchange_within (load.entries[i], "GET", "/readyz", NULL, NULL, &answer, 1) == 200;
  g_string_truncate (answer.bytes, 0);
  if (exchange_within (load.entries[i], "GET", "/healthz", NULL, NULL, &answer, 1) == 200)
    g_atomic_int_set (&load.life[i], g_str_hash (answer.bytes->str));
  g_atomic_int_set (&load.ready[i], ready);
  answer_clear (&answer);
}

static void *
watch_ready (void *data)
{
  (void) data;
  while (!g_atomic_int_get (&load.stopped))
    {
      for (unsigned i = 0; i < load.entry_count; i++)
        watch_entry (i);
      g_usleep (50000);
    }
  return NULL;
}

static unsigned
pick_entry (unsigned number)
{
  for (unsigned i = 0; i < load.entry_count; i++)
    if (g_atomic_int_get (&load.ready[(number + i) % load.entry_count]))
      return (number + i) % load.entry_count;
  return number % MAX (1, load.entry_count);
}

static void
record (const Shot *shot, End end, const Answer *answer)
{
  Row *row = &load.rows[shot->class->tier];

  if (end == END_LOST)
    fprintf (stderr, "LOST %s e%u life %u now %u bytes %s\n", shot->id, shot->entry, shot->life,
             load.life[shot->entry], answer->bytes->str);
  g_mutex_lock (&load.lock);
  row->ends[end]++;
  if (end == END_WHOLE && answer->first)
    {
      double ms = (double) (answer->first - answer->started) / 1000;
      g_array_append_val (row->first_ms, ms);
    }
  load.done++;
  g_mutex_unlock (&load.lock);
}

static char *
make_body (const Shot *shot)
{
  GString *prompt = g_string_new (NULL);

  /* Callers of a class share its first part, as system prompts do. */
  while (prompt->len < shot->class->prompt * 2)
    g_string_append_printf (prompt, "class %s rule %zu. ", shot->class->name, prompt->len);
  while (prompt->len < shot->class->prompt * 4)
    g_string_append_printf (prompt, "%u-%zu ", shot->number, prompt->len);
  char *body = g_strdup_printf (
      "{\"model\":\"standin\",\"stream\":%s,\"max_tokens\":%u,\"messages\":[{\"role\":\"user\","
      "\"content\":\"%s\"}]}",
      shot->number % 4 ? "true" : "false", shot->tokens, prompt->str);
  g_string_free (prompt, TRUE);
  return body;
}

static void
run_shot (void *data, void *user)
{
  Shot *shot = data;
  Answer answer;
  char *body = make_body (shot);

  (void) user;
  answer_init (&answer);
  answer.stream = !shot->class->service && shot->number % 4 != 0;
  long status = exchange (load.entries[shot->entry], "POST",
                          shot->class->service ? load.service_path : "/v1/chat/completions", shot,
                          body, &answer);
  record (shot, status ? judge (shot, status, &answer) : fetch_again (shot), &answer);
  answer_clear (&answer);
  g_free (body);
  g_free (shot);
}

/* ---- Arrivals ---- */

static const Class *
pick_class (GRand *random, const Class *classes, unsigned count)
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
offer (GRand *random, GThreadPool *pool, const Class *classes, unsigned count, const char *run)
{
  Shot *shot = g_new0 (Shot, 1);

  shot->class = pick_class (random, classes, count);
  shot->number = ++load.offered;
  shot->seed = g_rand_int (random);
  shot->entry = pick_entry (shot->number);
  shot->life = (guint) g_atomic_int_get (&load.life[shot->entry]);
  /* Lengths spread about tenfold around the class's own. */
  double spread = exp (g_rand_double_range (random, -1.2, 1.2));
  shot->tokens = (unsigned) MAX (1, shot->class->tokens * spread);
  g_snprintf (shot->id, sizeof shot->id, "%s-%u", run, shot->number);
  g_mutex_lock (&load.lock);
  load.rows[shot->class->tier].offered++;
  g_mutex_unlock (&load.lock);
  g_thread_pool_push (pool, shot, NULL);
}

static void
progress (gint64 started, bool last)
{
  if (!isatty (2) && !last)
    return;
  fprintf (stderr, "\r%5.1f s: %u offered, %u ended%s",
           (double) (g_get_monotonic_time () - started) / 1e6, load.offered, load.done,
           last ? "\n" : "");
}

static void
run_load (const Class *classes, unsigned count, double rate, double seconds, guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  GThreadPool *pool = g_thread_pool_new (run_shot, NULL, -1, FALSE, NULL);
  GThread *watcher = g_thread_new ("ready", watch_ready, NULL);
  g_usleep (300000); /* the first word on readiness */
  gint64 started = g_get_monotonic_time (), next = started, shown = started;
  char *run = g_strdup_printf ("s%u-%x", seed, (unsigned) g_random_int ());

  while (next - started < seconds * 1e6)
    {
      gint64 now = g_get_monotonic_time ();
      if (now < next)
        g_usleep ((gulong) (next - now));
      offer (random, pool, classes, count, run);
      next += (gint64) (-log (1 - g_rand_double (random)) / rate * 1e6);
      if (now - shown > 200000)
        {
          progress (started, false);
          shown = now;
        }
    }
  g_thread_pool_free (pool, FALSE, TRUE);
  progress (started, true);
  g_atomic_int_set (&load.stopped, 1);
  g_thread_join (watcher);
  g_rand_free (random);
  g_free (run);
}

/* ---- Table ---- */

static int
compare (gconstpointer a, gconstpointer b)
{
  double x = *(const double *) a, y = *(const double *) b;

  return (x > y) - (x < y);
}

static double
quantile (GArray *values, double q)
{
  if (values->len == 0)
    return 0;
  g_array_sort (values, compare);
  return g_array_index (values, double, MIN (values->len - 1, (guint) (q * values->len)));
}

static void
print_table (void)
{
  printf ("tier  offered  answered whole  refused  unknown  first token p50 ms  p95 ms  reasons\n");
  for (unsigned tier = 1; tier <= 5; tier++)
    {
      Row *row = &load.rows[tier];
      GHashTableIter iter;
      void *reason, *count;
      printf ("%4u  %7u  %14u  %7u  %7u  %18.0f  %6.0f ", tier, row->offered, row->ends[END_WHOLE],
              row->ends[END_REFUSED], row->ends[END_UNKNOWN], quantile (row->first_ms, 0.5),
              quantile (row->first_ms, 0.95));
      g_hash_table_iter_init (&iter, row->reasons);
      while (g_hash_table_iter_next (&iter, &reason, &count))
        printf (" %s:%u", (char *) reason, GPOINTER_TO_UINT (count));
      printf ("\n");
    }
}

static unsigned
sum_of (End end)
{
  unsigned sum = 0;

  for (unsigned tier = 1; tier <= 5; tier++)
    sum += load.rows[tier].ends[end];
  return sum;
}

/* Dispatches that came twice, from the stand-ins' own counts. */
static unsigned
count_doubled (struct arg_str *standins)
{
  unsigned doubled = 0;

  for (int i = 0; i < standins->count; i++)
    {
      Answer answer;
      answer_init (&answer);
      if (exchange (standins->sval[i], "GET", "/stats", NULL, NULL, &answer) == 200)
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
                 &class->prompt, &class->tokens, kind)
             >= 5
         && class->tier >= 1 && class->tier <= 5
         && ((class->service = strcmp (kind, "service") == 0) || strcmp (kind, "model") == 0);
}

int
main (int argc, char **argv)
{
  struct arg_str *entries = arg_strn ("e", "entry", "URL", 1, 64, "callers' port of an instance");
  struct arg_str *key = arg_str1 ("k", "key", "KEY", "the organisation's key");
  struct arg_str *ca
      = arg_str0 (NULL, "ca-folder", "FOLDER", "with certificates to trust with https");
  struct arg_str *class = arg_strn ("c", "class", "NAME:TIER:SHARE:PROMPT:TOKENS[:service]", 1,
                                    CLASSES_MOST,
                                    "a class of the catalogue, its share and mean lengths");
  struct arg_str *standins = arg_strn (NULL, "standin", "URL", 0, 64, "counts doubled dispatches");
  struct arg_str *path = arg_str0 (NULL, "service-path", "PATH", "path of service calls");
  struct arg_str *name = arg_str0 (NULL, "name", "NAME", "name in the closing line, load");
  struct arg_dbl *rate = arg_dbl0 ("r", "rate", "N", "requests a second, 20");
  struct arg_dbl *seconds = arg_dbl0 ("t", "seconds", "S", "how long, 10, at most 3600");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "seed of arrivals and lengths, 1");
  struct arg_end *end = arg_end (8);
  void *table[] = { entries, key, ca, class, standins, path, name, rate, seconds, seed, end };
  Class classes[CLASSES_MOST];

  rate->dval[0] = 20;
  seconds->dval[0] = 10;
  seed->ival[0] = 1;
  int errors = arg_parse (argc, argv, table);
  for (int i = 0; i < class->count && errors == 0; i++)
    if (!parse_class (class->sval[i], &classes[i]))
      {
        fprintf (stderr, "foxtailload: class %s: want NAME:TIER:SHARE:PROMPT:TOKENS[:service]\n",
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
      load.rows[i].first_ms = g_array_new (FALSE, FALSE, sizeof (double));
      load.rows[i].reasons = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
  run_load (classes, (unsigned) class->count, rate->dval[0], seconds->dval[0],
            (guint32) seed->ival[0]);
  print_table ();
  unsigned lost = sum_of (END_LOST), cut = sum_of (END_CUT), doubled = count_doubled (standins);
  unsigned unknown = sum_of (END_UNKNOWN);
  printf ("%s: %u offered, %u answered whole, %u refused, ", name->count ? name->sval[0] : "load",
          load.offered, sum_of (END_WHOLE), sum_of (END_REFUSED));
  if (unknown)
    printf ("%u unknown, ", unknown);
  printf ("%u lost, %u doubled, %u cut\n", lost, doubled, cut);
  return lost + doubled + cut > 0 ? 1 : 0;
}
