/* engine.c - simulates a model engine that answers chat completions with server-sent events.
 *
 *   POST /v1/chat/completions           starts the stream that X-Request-Id names
 *   GET  /v1/streams/ID?offset=N        resumes the stream and sends it from token N on
 *   POST /v1/streams/ID/pause           pauses the stream and keeps its state
 *   GET  /load?after=N                  running, waiting, age_ms, cache events after number N
 *   POST /v1/orders?order=O&fencing=N   accepts an order; --fencing refuses old numbers
 *   GET  /stats                         dispatches, doubled, finished, turned_away, held, unknown,
 *                                       noisy (connections that send comments now)
 *   POST /control?FAULT=VALUE           injects a fault
 *
 * A stream that is started again under the same name counts as doubled. The faults are slow=F
 * (steps take F times as long), mute=0|1 (the connections open now send nothing), noise=0|1
 * (instead of nothing they send comments without end), gray=0|1 (no connection sends anything),
 * cut=0|1 (each connection ends after one token), backoff=S (each new request and resumption gets
 * 503 with Retry-After: S; 0 ends it) and hold=N (the next N requests and resumptions are not read;
 * 0 releases them: a request then starts, a resumption fails with 500).
 *
 * Batching is continuous. One thread runs the steps; a step takes step_ms, plus stream_ms for each
 * stream, plus the time of a chunk of prefill, and produces one token for each stream whose prefill
 * is done. Token i of a stream is the text "wI ", so that a reader can check that an answer is
 * complete. The number of tokens is max_tokens of the request.
 */
#include "standin.h"
#include "body.h"

#include <string.h>
#include <unistd.h>

#define CHUNK          64          /* prompt tokens prefilled in one step */
#define NOISE_INTERVAL (20 * 1000) /* microseconds */
#define DEFAULT_TOKENS 32
#define EVENTS_MAX     4096

typedef struct
{
  char *id;
  double prefill_left;
  unsigned produced, total;
  bool paused;
  gint64 started_at; /* prompts are prefilled in this order */
} Stream;

typedef struct
{
  guint64 number, block;
  bool stored;
  gint64 at;
} CacheEvent;

static struct
{
  StandinConf conf;
  GMutex lock;
  GCond cond;
  GHashTable *streams;     /* id -> Stream */
  GQueue cache;            /* guint64 *, most recently used first */
  GHashTable *cache_index; /* block hash -> its link in cache */
  GArray *events;
  guint64 next_event;
  unsigned dispatches, duplicates, finished, running, waiting;
  unsigned retry_after_s; /* refuse every request with 503 and this Retry-After; 0: off */
  unsigned turned_away;
  unsigned hold_next; /* requests and resumptions still to be held */
  unsigned held;      /* held ever */
  unsigned unknown;   /* resumptions of unknown streams */
  bool holding;
  unsigned reported_running, reported_waiting; /* load as of reported_at */
  gint64 reported_at;
  gint64 fencing;         /* highest fencing number seen */
  double slow_factor;     /* on the duration of a step */
  unsigned silent_before; /* connections with a lower number send nothing */
  unsigned connections;   /* number of the latest one */
  bool noise;             /* silent ones send comments */
  unsigned noisy;         /* number of these */
  bool gray;              /* no connection sends anything */
  bool cut;               /* connections end after one token */
} engine;

/* ---- Prefix cache ---- */

static void
add_event (guint64 block, bool stored)
{
  CacheEvent event = { ++engine.next_event, block, stored, g_get_monotonic_time () };

  if (engine.conf.gap_every && event.number % (guint64) engine.conf.gap_every == 0)
    return;
  if (engine.events->len == EVENTS_MAX)
    g_array_remove_index (engine.events, 0);
  g_array_append_val (engine.events, event);
}

static void
cache_block (guint64 block)
{
  GList *link = g_hash_table_lookup (engine.cache_index, &block);

  if (link)
    {
      g_queue_unlink (&engine.cache, link);
      g_queue_push_head_link (&engine.cache, link);
      return;
    }
  guint64 *copy = g_memdup2 (&block, sizeof block);
  g_queue_push_head (&engine.cache, copy);
  g_hash_table_insert (engine.cache_index, copy, engine.cache.head);
  add_event (block, true);
  if (engine.cache.length <= (guint) engine.conf.cache_blocks)
    return;
  guint64 *oldest = g_queue_pop_tail (&engine.cache);
  g_hash_table_remove (engine.cache_index, oldest);
  add_event (*oldest, false);
  g_free (oldest);
}

/* Returns the number of prompt tokens that are not cached, and caches the prompt. */
static double
uncached_tokens (const char *prompt, gsize size)
{
  guint64 blocks[FT_BLOCKS_MAX];
  unsigned cached_blocks = 0;
  unsigned count = ft_prefix_hash (prompt, size, 0, (uint64_t *) blocks, FT_BLOCKS_MAX);

  while (cached_blocks < count
         && g_hash_table_contains (engine.cache_index, &blocks[cached_blocks]))
    cached_blocks++;
  for (unsigned i = count; i > 0; i--)
    cache_block (blocks[i - 1]);
  gsize tokens = size / 4 + 1;
  return (double) tokens - cached_blocks * FT_BLOCK_TOKENS;
}

/* ---- Steps ---- */

static gint64
run_step (void)
{
  double ms = engine.conf.step_ms;
  GHashTableIter iter;
  void *data;
  Stream *first = NULL;

  engine.running = engine.waiting = 0;
  g_hash_table_iter_init (&iter, engine.streams);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      Stream *stream = data;
      if (stream->paused || stream->produced == stream->total)
        continue;
      if (stream->prefill_left > 0)
        {
          engine.waiting++;
          if (first == NULL || stream->started_at < first->started_at)
            first = stream;
          continue;
        }
      engine.running++;
      ms += engine.conf.stream_ms;
      if (++stream->produced == stream->total)
        engine.finished++;
    }
  if (first)
    {
      double chunk = MIN (CHUNK, first->prefill_left);
      first->prefill_left -= chunk;
      ms += chunk / engine.conf.prefill_rate;
    }
  return (gint64) (ms * 1000 * engine.slow_factor);
}

static void *
run_engine (void *data)
{
  (void) data;
  for (;;)
    {
      g_mutex_lock (&engine.lock);
      gint64 us = run_step ();
      gint64 now = g_get_monotonic_time ();
      if (now - engine.reported_at > (gint64) engine.conf.load_lag_ms * 1000)
        {
          engine.reported_running = engine.running;
          engine.reported_waiting = engine.waiting;
          engine.reported_at = now;
        }
      bool idle = engine.running + engine.waiting == 0;
      g_cond_broadcast (&engine.cond);
      g_mutex_unlock (&engine.lock);
      g_usleep (idle ? 1000 : (gulong) us);
    }
  return NULL;
}

/* ---- Responses ---- */

typedef struct
{
  Stream *stream;
  unsigned at, connection; /* at: next token to send */
  GString *buffer;
  gsize sent; /* of the buffer */
  bool ended; /* the buffer holds the last bytes: [DONE], or a token if connections are cut */
  bool noisy; /* counted in engine.noisy */
} StreamReader;

static bool
is_silent (const StreamReader *reader)
{
  return engine.gray || reader->connection < engine.silent_before;
}

/* Under the lock. */
static void
make_noise (StreamReader *reader)
{
  engine.noisy += !reader->noisy;
  reader->noisy = true;
  g_string_append (reader->buffer, ":\n");
  g_mutex_unlock (&engine.lock);
  g_usleep (NOISE_INTERVAL);
  g_mutex_lock (&engine.lock);
}

/* Waits for tokens and puts them into the buffer. Returns false when the response ends. */
static bool
fill_buffer (StreamReader *reader)
{
  Stream *stream = reader->stream;

  g_string_truncate (reader->buffer, 0);
  reader->sent = 0;
  g_mutex_lock (&engine.lock);
  while (is_silent (reader)
         || (reader->at >= stream->produced && stream->produced < stream->total && !stream->paused))
    {
      if (engine.noise && is_silent (reader))
        {
          make_noise (reader);
          g_mutex_unlock (&engine.lock);
          return true;
        }
      g_cond_wait (&engine.cond, &engine.lock);
    }
  bool paused = stream->paused;
  while (!paused && reader->at < stream->produced)
    {
      g_string_append_printf (reader->buffer,
                              "id: %u\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":"
                              "\"w%u \"}}]}\n\n",
                              reader->at, reader->at);
      reader->at++;
      if (engine.cut && reader->at < stream->total)
        {
          reader->ended = true;
          break;
        }
    }
  if (!paused && reader->at == stream->total && !reader->ended)
    {
      g_string_append_printf (reader->buffer, "id: %u\ndata: [DONE]\n\n", stream->total);
      reader->ended = true;
    }
  g_mutex_unlock (&engine.lock);
  return reader->buffer->len > 0;
}

static ssize_t
on_read (void *user, uint64_t offset, char *out, size_t max)
{
  StreamReader *reader = user;

  (void) offset;
  if (reader->sent == reader->buffer->len && (reader->ended || !fill_buffer (reader)))
    return U_STREAM_END;
  size_t count = MIN (max, reader->buffer->len - reader->sent);
  memcpy (out, reader->buffer->str + reader->sent, count);
  reader->sent += count;
  return (ssize_t) count;
}

static void
on_read_end (void *user)
{
  StreamReader *reader = user;

  g_mutex_lock (&engine.lock);
  engine.noisy -= reader->noisy;
  g_mutex_unlock (&engine.lock);
  g_string_free (reader->buffer, TRUE);
  g_free (reader);
}

static void
start_response (Stream *stream, unsigned at, struct _u_response *response)
{
  StreamReader *reader = g_new0 (StreamReader, 1);

  reader->stream = stream;
  reader->at = at;
  reader->connection = ++engine.connections;
  reader->buffer = g_string_new (NULL);
  u_map_put (response->map_header, "Content-Type", "text/event-stream");
  ulfius_set_stream_response (response, 200, on_read, on_read_end, U_STREAM_SIZE_UNKNOWN, 4096,
                              reader);
}

/* ---- Endpoints ---- */

/* Under the lock. Returns true after the release if the request was held. */
static bool
hold_request (void)
{
  if (engine.hold_next == 0)
    return false;
  engine.hold_next--;
  engine.held++;
  while (engine.holding)
    g_cond_wait (&engine.cond, &engine.lock);
  return true;
}

/* Under the lock. Returns true if the engine backs off and the request was refused. */
static bool
turn_away (struct _u_response *response)
{
  char seconds[16];

  if (engine.retry_after_s == 0)
    return false;
  g_snprintf (seconds, sizeof seconds, "%u", engine.retry_after_s);
  engine.turned_away++;
  u_map_put (response->map_header, "Retry-After", seconds);
  http_set_json (response, 503, "{\"error\":\"busy\"}");
  return true;
}

static int
on_chat (const struct _u_request *request, struct _u_response *response, void *user)
{
  const char *id = u_map_get_case (request->map_header, "X-Request-Id");
  char *text = http_body (request);
  BodyChat chat;
  FtError error;

  (void) user;
  if (id == NULL || body_parse_chat (text, &chat, &error) != FT_OK)
    {
      g_free (text);
      http_set_json (response, 400, "{\"error\":\"bad request\"}");
      return U_CALLBACK_COMPLETE;
    }
  g_mutex_lock (&engine.lock);
  engine.dispatches++;
  hold_request ();
  if (turn_away (response))
    {
      g_mutex_unlock (&engine.lock);
      body_clear_chat (&chat);
      g_free (text);
      return U_CALLBACK_COMPLETE;
    }
  if (g_hash_table_contains (engine.streams, id))
    engine.duplicates++;
  Stream *stream = g_new0 (Stream, 1); /* never freed: the stand-in is short-lived */
  stream->id = g_strdup (id);
  if (engine.conf.crash_text && strstr (chat.prompt->str, engine.conf.crash_text))
    _exit (1);
  stream->prefill_left = uncached_tokens (chat.prompt->str, chat.prompt->len);
  stream->total = chat.most_tokens ? chat.most_tokens : DEFAULT_TOKENS;
  stream->started_at = g_get_monotonic_time ();
  g_hash_table_replace (engine.streams, stream->id, stream);
  start_response (stream, 0, response);
  g_mutex_unlock (&engine.lock);
  body_clear_chat (&chat);
  g_free (text);
  return U_CALLBACK_COMPLETE;
}

static int
on_resume (const struct _u_request *request, struct _u_response *response, void *user)
{
  const char *offset = u_map_get (request->map_url, "offset");

  (void) user;
  g_mutex_lock (&engine.lock);
  bool was_held = hold_request ();
  Stream *stream = g_hash_table_lookup (engine.streams, http_url_value (request, "id"));
  if (was_held)
    http_set_json (response, 500, "{\"error\":\"held\"}");
  else if (turn_away (response))
    ;
  else if (stream)
    {
      stream->paused = false;
      start_response (stream, offset ? (unsigned) atoi (offset) : 0, response);
    }
  else
    {
      engine.unknown++;
      http_set_json (response, 404, "{\"error\":\"no such stream\"}");
    }
  g_mutex_unlock (&engine.lock);
  return U_CALLBACK_COMPLETE;
}

static int
on_pause (const struct _u_request *request, struct _u_response *response, void *user)
{
  (void) user;
  g_mutex_lock (&engine.lock);
  Stream *stream = g_hash_table_lookup (engine.streams, http_url_value (request, "id"));
  if (stream && stream->produced < stream->total)
    stream->paused = true;
  g_cond_broadcast (&engine.cond);
  g_mutex_unlock (&engine.lock);
  http_set_json (response, stream ? 200 : 404, "{}");
  return U_CALLBACK_COMPLETE;
}

static int
on_load (const struct _u_request *request, struct _u_response *response, void *user)
{
  const char *after = u_map_get (request->map_url, "after");
  guint64 from = after ? g_ascii_strtoull (after, NULL, 10) : 0;
  gint64 now = g_get_monotonic_time ();
  GString *out = g_string_new (NULL);
  bool first = true;

  (void) user;
  g_mutex_lock (&engine.lock);
  g_string_append_printf (out, "{\"running\":%u,\"waiting\":%u,\"age_ms\":%d,\"events\":[",
                          engine.reported_running, engine.reported_waiting,
                          (int) ((now - engine.reported_at) / 1000));
  for (guint i = 0; i < engine.events->len; i++)
    {
      const CacheEvent *event = &g_array_index (engine.events, CacheEvent, i);
      if (event->number <= from || now - event->at < (gint64) engine.conf.load_lag_ms * 1000)
        continue;
      g_string_append_printf (out,
                              "%s{\"number\":%" G_GUINT64_FORMAT ",\"block\":\"%" G_GINT64_MODIFIER
                              "x\",\"stored\":%s}",
                              first ? "" : ",", event->number, event->block,
                              event->stored ? "true" : "false");
      first = false;
    }
  g_mutex_unlock (&engine.lock);
  g_string_append (out, "]}");
  http_set_json (response, 200, out->str);
  g_string_free (out, TRUE);
  return U_CALLBACK_COMPLETE;
}

static int
on_order (const struct _u_request *request, struct _u_response *response, void *user)
{
  const char *number = u_map_get (request->map_url, "fencing");
  gint64 fencing = number ? g_ascii_strtoll (number, NULL, 10) : 0;

  (void) user;
  g_mutex_lock (&engine.lock);
  bool is_stale = engine.conf.fencing && fencing < engine.fencing;
  engine.fencing = MAX (engine.fencing, fencing);
  g_mutex_unlock (&engine.lock);
  http_set_json (response, is_stale ? 409 : 200,
                 is_stale ? "{\"error\":\"old fencing number\"}" : "{}");
  return U_CALLBACK_COMPLETE;
}

static int
on_stats (const struct _u_request *request, struct _u_response *response, void *user)
{
  char text[256];

  (void) request;
  (void) user;
  g_mutex_lock (&engine.lock);
  g_snprintf (text, sizeof text,
              "{\"dispatches\":%u,\"doubled\":%u,\"finished\":%u,"
              "\"turned_away\":%u,\"held\":%u,\"unknown\":%u,\"noisy\":%u}",
              engine.dispatches, engine.duplicates, engine.finished, engine.turned_away,
              engine.held, engine.unknown, engine.noisy);
  g_mutex_unlock (&engine.lock);
  http_set_json (response, 200, text);
  return U_CALLBACK_COMPLETE;
}

static int
on_control (const struct _u_request *request, struct _u_response *response, void *user)
{
  const char *slow = u_map_get (request->map_url, "slow");
  const char *mute = u_map_get (request->map_url, "mute");
  const char *noise = u_map_get (request->map_url, "noise");
  const char *gray = u_map_get (request->map_url, "gray");
  const char *backoff = u_map_get (request->map_url, "backoff"); /* seconds; 0: off */
  const char *cut = u_map_get (request->map_url, "cut");
  const char *hold = u_map_get (request->map_url, "hold"); /* requests; 0: release */

  (void) user;
  g_mutex_lock (&engine.lock);
  if (slow)
    engine.slow_factor = MAX (0.1, g_ascii_strtod (slow, NULL));
  if (mute)
    engine.silent_before = *mute == '1' ? engine.connections + 1 : 0;
  if (noise)
    engine.noise = *noise == '1';
  if (gray)
    engine.gray = *gray == '1';
  if (cut)
    engine.cut = *cut == '1';
  if (backoff)
    engine.retry_after_s = (unsigned) atoi (backoff);
  if (hold)
    {
      engine.hold_next = (unsigned) atoi (hold);
      engine.holding = engine.hold_next > 0;
    }
  g_cond_broadcast (&engine.cond);
  g_mutex_unlock (&engine.lock);
  http_set_json (response, 200, "{}");
  return U_CALLBACK_COMPLETE;
}

bool
engine_run (const StandinConf *conf, struct _u_instance *http)
{
  engine.conf = *conf;
  engine.slow_factor = 1;
  engine.streams = g_hash_table_new (g_str_hash, g_str_equal);
  engine.cache_index = g_hash_table_new (g_int64_hash, g_int64_equal);
  engine.events = g_array_new (FALSE, FALSE, sizeof (CacheEvent));
  g_queue_init (&engine.cache);
  ulfius_add_endpoint_by_val (http, "POST", "/v1/chat/completions", NULL, 0, on_chat, NULL);
  ulfius_add_endpoint_by_val (http, "GET", "/v1/streams", "/:id", 0, on_resume, NULL);
  ulfius_add_endpoint_by_val (http, "POST", "/v1/streams", "/:id/pause", 0, on_pause, NULL);
  ulfius_add_endpoint_by_val (http, "GET", "/load", NULL, 0, on_load, NULL);
  ulfius_add_endpoint_by_val (http, "POST", "/v1/orders", NULL, 0, on_order, NULL);
  ulfius_add_endpoint_by_val (http, "GET", "/stats", NULL, 0, on_stats, NULL);
  ulfius_add_endpoint_by_val (http, "POST", "/control", NULL, 0, on_control, NULL);
  g_thread_unref (g_thread_new ("engine", run_engine, NULL));
  return true;
}
