/* backend.c - answers as its mode says, and ends when it begins to run a marked body. */
#include "backend.h"

#include <string.h>

#define EVENTS    8             /* of a stream */
#define ENDS_IN   (20 * FT_MS)  /* from the beginning of a marked run to the end of its server */
#define TRY_AGAIN (20 * FT_MS)  /* its port is not free yet */
#define SLOW_END  (600 * FT_MS) /* longer than entries wait for news of a content */

typedef struct
{
  LoopTimer timer;
  HCall *call;
  FleetServer *server;
  unsigned next;
} Stream;

static const char *
request_id (HCall *call)
{
  const char *id = hmsg_field (hcall_msg (call), "X-Foxtailgrade-Request-Id");

  return id ? id : "";
}

/* ---- Plain calls that take a while ---- */

typedef struct
{
  LoopTimer timer;
  HCall *call;
  FleetServer *server;
  GString *fields;
  char id[64];
} Later;

static void
later_free (void *data)
{
  Later *later = data;

  loop_timer_stop (later->server->fleet->loop, &later->timer);
  g_string_free (later->fields, TRUE);
  g_free (later);
}

static void
on_later (LoopTimer *timer)
{
  Later *later = (Later *) timer;

  hcall_set_user (later->call, NULL);
  hcall_reply (later->call, 200, later->fields, later->id, strlen (later->id));
  g_ptr_array_remove_fast (later->server->later, later);
}

static void
answer_later (FleetServer *server, HCall *call, const char *id, const GString *fields, unsigned ms)
{
  Later *later = g_new0 (Later, 1);

  later->timer.fire = on_later;
  later->call = call;
  later->server = server;
  later->fields = g_string_new (fields->str);
  g_strlcpy (later->id, id, sizeof later->id);
  hcall_set_user (call, NULL);
  g_ptr_array_add (server->later, later);
  loop_timer_set (server->fleet->loop, &later->timer, loop_now (server->fleet->loop) + ms * FT_MS);
}

static void
forget_later (FleetServer *server, const HCall *call)
{
  for (unsigned i = 0; i < server->later->len; i++)
    if (((const Later *) server->later->pdata[i])->call == call)
      {
        g_ptr_array_remove_index_fast (server->later, i);
        return;
      }
}

/* ---- Streams ---- */

static void
drop_stream (Stream *stream)
{
  loop_timer_stop (stream->server->fleet->loop, &stream->timer);
  g_ptr_array_remove_fast (stream->server->streams, stream);
}

static void
on_stream_timer (LoopTimer *timer)
{
  Stream *stream = (Stream *) timer;
  Fleet *fleet = stream->server->fleet;
  char event[96];

  if (stream->next > EVENTS)
    {
      hcall_end (stream->call);
      drop_stream (stream);
      return;
    }
  g_snprintf (event, sizeof event, "id: %u\ndata: event %u\n\n", stream->next, stream->next);
  if (stream->server->mode == SERVER_CUT && stream->next == 3)
    {
      hcall_write (stream->call, event, 9);
      hcall_abort (stream->call);
      drop_stream (stream);
      return;
    }
  hcall_write (stream->call, event, strlen (event));
  stream->next++;
  loop_timer_set (fleet->loop, timer, loop_now (fleet->loop) + fleet->event_ms * FT_MS);
}

static void
start_stream (FleetServer *server, HCall *call, GString *fields)
{
  Stream *stream = g_new0 (Stream, 1);
  const char *last = hmsg_field (hcall_msg (call), "Last-Event-Id");

  stream->timer.fire = on_stream_timer;
  stream->call = call;
  stream->server = server;
  stream->next = last ? (unsigned) atoi (last) + 1 : 1;
  g_ptr_array_add (server->streams, stream);
  hcall_set_user (call, stream);
  hwrite_field (fields, "Content-Type", "text/event-stream");
  hcall_begin (call, 200, fields);
  loop_timer_set (server->fleet->loop, &stream->timer, loop_now (server->fleet->loop));
}

static void
count_in (GHashTable *table, const char *key)
{
  int before = GPOINTER_TO_INT (g_hash_table_lookup (table, key));

  g_hash_table_replace (table, g_strdup (key), GINT_TO_POINTER (before + 1));
}

static void
note_mark (const FleetServer *server, const char *body, const char *request, bool ended)
{
  FleetMarked mark = { .server = server, .ended = ended, .at = loop_now (server->fleet->loop) };

  g_strlcpy (mark.body, body, sizeof mark.body);
  g_strlcpy (mark.request, request, sizeof mark.request);
  g_array_append_val (server->fleet->marks, mark);
}

/* The server ends: each marked body that it has run in this lifetime has ended it. */
static void
note_end (const FleetServer *server)
{
  const GArray *marks = server->fleet->marks;
  GHashTable *bodies = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer body;

  for (unsigned i = marks->len; i-- > 0;)
    {
      const FleetMarked *mark = &g_array_index (marks, FleetMarked, i);
      if (mark->server == server && mark->ended)
        break; /* of the lifetime before */
      if (mark->server == server)
        g_hash_table_add (bodies, g_strdup (mark->body));
    }
  g_hash_table_iter_init (&iter, bodies);
  while (g_hash_table_iter_next (&iter, &body, NULL))
    note_mark (server, body, "", true);
  g_hash_table_unref (bodies);
}

/* True: the body is marked; the server ends soon, and this is never answered. */
static bool
runs_marked (FleetServer *server, HCall *call)
{
  const GByteArray *bytes = hcall_body (call);
  char *body = g_strndup ((const char *) bytes->data, bytes->len);
  bool marked = g_str_has_prefix (body, FLEET_MARK);
  Loop *loop = server->fleet->loop;

  if (marked)
    {
      count_in (server->fleet->marked, body);
      note_mark (server, body, request_id (call), false);
      if (!server->ending.armed)
        loop_timer_set (loop, &server->ending, loop_now (loop) + ENDS_IN);
    }
  g_free (body);
  return marked;
}

/* Four in ten, in an order that meets each kind of call. */
static bool
fails_this (const FleetServer *server)
{
  return server->mode == SERVER_POOR && server->arrived * 7 % 10 < 4;
}

static void
answer_long (const FleetServer *server, HCall *call, const GString *fields)
{
  unsigned size = server->fleet->plain_bytes;
  char *body = g_malloc (size);

  memset (body, 'x', size);
  hcall_reply (call, 200, fields, body, size);
  g_free (body);
}

static void
run (FleetServer *server, HCall *call, const char *id, GString *fields)
{
  count_in (server->fleet->runs, id);
  hwrite_field (fields, "X-Foxtailgrade-Server-Signature", server->id);
  if (runs_marked (server, call))
    {
      hcall_set_user (call, NULL);
      server->marked = call;
    }
  else if (server->mode == SERVER_RESET)
    hcall_abort (call);
  else if (server->mode == SERVER_MUTE)
    hcall_set_user (call, NULL);
  else if (fails_this (server))
    hcall_reply (call, 500, fields, "poor", 4);
  else if (g_str_has_prefix (hmsg_target (hcall_msg (call)), "/stream/"))
    start_stream (server, call, fields);
  else if (server->mode == SERVER_SLOW)
    answer_later (server, call, id, fields, server->fleet->slow_ms);
  else if (server->fleet->plain_ms)
    answer_later (server, call, id, fields, server->fleet->plain_ms);
  else if (server->fleet->plain_bytes)
    answer_long (server, call, fields);
  else
    hcall_reply (call, 200, fields, id, strlen (id));
}

/* Writes what the server says of itself, and records what it said to whom. */
static void
put_notices (FleetServer *server, const char *id, bool turned_away, GString *fields)
{
  Fleet *fleet = server->fleet;
  int64_t now = loop_now (fleet->loop);
  unsigned sender = GPOINTER_TO_UINT (g_hash_table_lookup (fleet->senders, id));
  double backoff_s = turned_away ? server->backoff_s : 0;
  Arrival arrival = { .server = server->number * 1000 + server->lives,
                      .instance = sender,
                      .at = now,
                      .answered_at = now,
                      .rate = server->rate,
                      .leaving = server->says_leaving,
                      .backoff_us = (int64_t) (backoff_s * 1e6) };

  if (server->rate > 0)
    g_string_append_printf (fields, "Server-Limit: %g\r\n", server->rate);
  if (server->says_leaving)
    hwrite_field (fields, "Server-Leaving", "1");
  if (backoff_s > 0)
    g_string_append_printf (fields, "Retry-After: %g\r\n", backoff_s);
  g_array_append_val (fleet->arrivals, arrival);
}

static void
on_server_request (void *owner, HCall *call)
{
  FleetServer *server = owner;
  const char *wanted = hmsg_field (hcall_msg (call), "X-Foxtailgrade-Expect-Instance");
  char *id = g_strdup (request_id (call));
  GString *fields = g_string_new (NULL);

  server->arrived++;
  hwrite_field (fields, "X-Foxtailgrade-Request-Id", id);
  bool meant = wanted && strcmp (wanted, server->id) == 0 && server->mode != SERVER_GONE;
  bool full = server->mode == SERVER_FULL || server->sheds;
  if (meant)
    put_notices (server, id, full, fields);
  else if (server->says_leaving)
    hwrite_field (fields, "Server-Leaving",
                  "1"); /* whoever it is, it is not the one that was meant */
  if (!meant)
    hcall_reply (call, 421, fields, "", 0);
  else if (full)
    {
      hwrite_field (fields, "X-Foxtailgrade-Not-Executed", "1");
      hcall_reply (call, 503, fields, "", 0);
    }
  else
    run (server, call, id, fields);
  g_string_free (fields, TRUE);
  g_free (id);
}

static void
on_server_gone (void *owner, HCall *call)
{
  FleetServer *server = owner;
  Stream *stream = hcall_user (call);

  if (server->marked == call)
    server->marked = NULL;
  forget_later (server, call);
  if (stream)
    drop_stream (stream);
}

static const HSrvOps server_ops = { on_server_request, on_server_gone, NULL };

/* ---- Lifetimes ---- */

static void
close_all (FleetServer *server)
{
  for (unsigned i = 0; i < server->streams->len; i++)
    loop_timer_stop (server->fleet->loop, &((Stream *) server->streams->pdata[i])->timer);
  g_ptr_array_set_size (server->streams, 0);
  g_ptr_array_set_size (server->later, 0);
  hsrv_free (server->srv);
  server->srv = NULL;
  server->marked = NULL;
  if (server->proxy)
    proxy_free (server->proxy);
  server->proxy = NULL;
}

static void
on_coming (LoopTimer *timer)
{
  FleetServer *server = (FleetServer *) ((char *) timer - offsetof (FleetServer, coming));
  Loop *loop = server->fleet->loop;

  server->srv = hsrv_new (loop, server->listens, &server_ops, server);
  if (server->srv == NULL)
    {
      loop_timer_set (loop, timer, loop_now (loop) + TRY_AGAIN);
      return;
    }
  if (server->addr.port != server->listens.port)
    server->proxy = proxy_new (loop, server->addr, server->listens);
  server->lives++;
  g_snprintf (server->id, sizeof server->id, "i-%u.%u", server->number + 1, server->lives);
}

static void
on_ending (LoopTimer *timer)
{
  FleetServer *server = (FleetServer *) ((char *) timer - offsetof (FleetServer, ending));
  Fleet *fleet = server->fleet;

  if (server->mode == SERVER_SLOW_END && server->marked)
    {
      hsrv_stop_accepting (server->srv);
      hcall_abort (server->marked);
      server->marked = NULL;
      loop_timer_set (fleet->loop, timer, loop_now (fleet->loop) + SLOW_END);
      return;
    }
  fleet->ends++;
  note_end (server);
  close_all (server);
  loop_timer_set (fleet->loop, &server->coming, loop_now (fleet->loop) + fleet->back_ms * FT_MS);
}

void
fleet_end_server (FleetServer *server)
{
  loop_timer_stop (server->fleet->loop, &server->ending);
  if (server->srv)
    on_ending (&server->ending);
}

void
backend_create (Fleet *fleet, unsigned number, SockAddr addr)
{
  FleetServer *server = &fleet->servers[number];

  server->fleet = fleet;
  server->number = number;
  g_snprintf (server->id, sizeof server->id, "i-%u", number + 1);
  server->addr = server->listens = addr;
  server->listed = true;
  server->streams = g_ptr_array_new_with_free_func (g_free);
  server->later = g_ptr_array_new_with_free_func (later_free);
  g_strlcpy (server->version, "v1", sizeof server->version);
  server->ending.fire = on_ending;
  server->coming.fire = on_coming;
  server->srv = hsrv_new (fleet->loop, addr, &server_ops, server);
  g_assert_nonnull (server->srv);
}

void
backend_destroy (FleetServer *server)
{
  loop_timer_stop (server->fleet->loop, &server->ending);
  loop_timer_stop (server->fleet->loop, &server->coming);
  close_all (server);
  g_ptr_array_unref (server->streams);
  g_ptr_array_unref (server->later);
}
