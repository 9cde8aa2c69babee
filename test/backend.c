/* backend.c - simulated backend servers, which answer as their modes say and crash soon after they
 * start to run a crash body. */
#include "backend.h"

#include <string.h>

#define STREAM_EVENTS    8             /* of a whole stream */
#define CRASH_DELAY      (20 * FT_MS)  /* from the start of a crash body to the crash */
#define BIND_RETRY       (20 * FT_MS)  /* until a restarted server tries again to bind its port */
#define BRITTLE_WINDOW   FT_SECOND     /* in which a brittle server counts its rejections */
#define END_ON_THE_WAY   (50 * FT_MS)  /* a crash may discard the end of an answer sent before */
#define SLOW_CRASH_DELAY (600 * FT_MS) /* more than an entry waits for a quarantine verdict */

typedef struct
{
  LoopTimer timer;
  HCall *call;
  FleetServer *server;
  char id[64];     /* of the request */
  char version[8]; /* of the server when it began */
  unsigned next;
} Stream;

static const char *
request_id (HCall *call)
{
  const char *id = hmsg_field (hcall_msg (call), "X-Foxtailgrade-Request-Id");

  return id ? id : "";
}

static void
increment (GHashTable *table, const char *key)
{
  int before = GPOINTER_TO_INT (g_hash_table_lookup (table, key));

  g_hash_table_replace (table, g_strdup (key), GINT_TO_POINTER (before + 1));
}

/* ---- Delayed answers to plain calls ---- */

typedef struct
{
  LoopTimer timer;
  HCall *call;
  FleetServer *server;
  GString *fields;
  char id[64];
} DelayedReply;

static void
delayed_free (void *data)
{
  DelayedReply *delayed = data;

  loop_timer_stop (delayed->server->fleet->loop, &delayed->timer);
  g_string_free (delayed->fields, TRUE);
  g_free (delayed);
}

static void
on_delayed_timer (LoopTimer *timer)
{
  DelayedReply *delayed = (DelayedReply *) timer;

  hcall_set_user (delayed->call, NULL);
  hcall_reply (delayed->call, 200, delayed->fields, delayed->id, strlen (delayed->id));
  g_ptr_array_remove_fast (delayed->server->delayed, delayed);
}

static void
reply_after (FleetServer *server, HCall *call, const char *id, const GString *fields, unsigned ms)
{
  DelayedReply *delayed = g_new0 (DelayedReply, 1);

  delayed->timer.fire = on_delayed_timer;
  delayed->call = call;
  delayed->server = server;
  delayed->fields = g_string_new (fields->str);
  g_strlcpy (delayed->id, id, sizeof delayed->id);
  hcall_set_user (call, NULL);
  g_ptr_array_add (server->delayed, delayed);
  loop_timer_set (server->fleet->loop, &delayed->timer,
                  loop_now (server->fleet->loop) + ms * FT_MS);
}

static void
cancel_delayed (FleetServer *server, const HCall *call)
{
  for (unsigned i = 0; i < server->delayed->len; i++)
    if (((const DelayedReply *) server->delayed->pdata[i])->call == call)
      {
        g_ptr_array_remove_index_fast (server->delayed, i);
        return;
      }
}

/* ---- Answers without end ---- */

typedef struct
{
  LoopTimer timer;
  HCall *call;
  FleetServer *server;
} Flood;

static void
flood_free (void *data)
{
  Flood *flood = data;

  loop_timer_stop (flood->server->fleet->loop, &flood->timer);
  g_free (flood);
}

static void
on_flood_timer (LoopTimer *timer)
{
  Flood *flood = (Flood *) timer;
  Fleet *fleet = flood->server->fleet;
  static const char comment[] = ": none\n";
  char *bytes = g_malloc (fleet->flood_bytes);

  for (unsigned i = 0; i < fleet->flood_bytes; i++)
    bytes[i] = fleet->flood_comments ? comment[i % (sizeof comment - 1)] : 'x';
  hcall_write (flood->call, bytes, fleet->flood_bytes);
  g_free (bytes);
  loop_timer_set (fleet->loop, timer, loop_now (fleet->loop) + fleet->flood_ms * FT_MS);
}

/* The head of the answer has been sent. */
static void
start_flood (FleetServer *server, HCall *call)
{
  Flood *flood = g_new0 (Flood, 1);

  flood->timer.fire = on_flood_timer;
  flood->call = call;
  flood->server = server;
  hcall_set_user (call, NULL);
  g_ptr_array_add (server->floods, flood);
  loop_timer_set (server->fleet->loop, &flood->timer, loop_now (server->fleet->loop));
}

static void
cancel_flood (FleetServer *server, const HCall *call)
{
  for (unsigned i = 0; i < server->floods->len; i++)
    if (((const Flood *) server->floods->pdata[i])->call == call)
      {
        g_ptr_array_remove_index_fast (server->floods, i);
        return;
      }
}

/* ---- Streams ---- */

static void
remove_stream (Stream *stream)
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

  if (stream->next > STREAM_EVENTS)
    {
      g_strlcpy (stream->server->ended_id, stream->id, sizeof stream->server->ended_id);
      stream->server->ended_at = loop_now (fleet->loop);
      hcall_end (stream->call);
      remove_stream (stream);
      return;
    }
  if (stream->server->mode == SERVER_FLOOD_EVENT && stream->next > fleet->flood_after)
    {
      if (!fleet->flood_comments)
        hcall_write (stream->call, "data: ", 6);
      increment (fleet->lost_counts, stream->id);
      start_flood (stream->server, stream->call);
      remove_stream (stream);
      return;
    }
  g_snprintf (event, sizeof event, "id: %u\ndata: event %u%s%s\n\n", stream->next, stream->next,
              fleet->marks_events ? " of " : "", fleet->marks_events ? stream->version : "");
  if (stream->server->mode == SERVER_CUT_STREAM && stream->next == 3)
    {
      hcall_write (stream->call, event, 9);
      increment (fleet->lost_counts, stream->id);
      hcall_abort (stream->call);
      remove_stream (stream);
      return;
    }
  hcall_write (stream->call, event, strlen (event));
  bool pauses = stream->server->mode == SERVER_PAUSING && stream->next == 2;
  bool ends = stream->server->mode == SERVER_SILENT && stream->next == 2;
  stream->next++;
  if (ends)
    {
      increment (fleet->lost_counts, stream->id);
      return;
    }
  loop_timer_set (fleet->loop, timer,
                  loop_now (fleet->loop) + (pauses ? fleet->pause_ms : fleet->event_ms) * FT_MS);
}

static void
start_stream (FleetServer *server, HCall *call, GString *fields)
{
  Stream *stream = g_new0 (Stream, 1);
  const char *last = hmsg_field (hcall_msg (call), "Last-Event-Id");

  stream->timer.fire = on_stream_timer;
  stream->call = call;
  stream->server = server;
  g_strlcpy (stream->id, request_id (call), sizeof stream->id);
  g_strlcpy (stream->version, server->version, sizeof stream->version);
  stream->next = last ? (unsigned) atoi (last) + 1 : 1;
  g_ptr_array_add (server->streams, stream);
  hcall_set_user (call, stream);
  hwrite_field (fields, "Content-Type", "text/event-stream");
  hcall_begin (call, 200, fields);
  loop_timer_set (server->fleet->loop, &stream->timer, loop_now (server->fleet->loop));
}

static void
add_crash_event (const FleetServer *server, const char *body, const char *request, bool crashed)
{
  FleetCrashEvent event
      = { .server = server, .crashed = crashed, .at = loop_now (server->fleet->loop) };

  g_strlcpy (event.body, body, sizeof event.body);
  g_strlcpy (event.request, request, sizeof event.request);
  g_array_append_val (server->fleet->crash_events, event);
}

/* The server crashes: records one crash for each crash body that it ran in this incarnation. */
static void
record_crash (const FleetServer *server)
{
  const GArray *events = server->fleet->crash_events;
  GHashTable *bodies = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer body;

  for (unsigned i = events->len; i-- > 0;)
    {
      const FleetCrashEvent *event = &g_array_index (events, FleetCrashEvent, i);
      if (event->server == server && event->crashed)
        break; /* of an earlier incarnation */
      if (event->server == server)
        g_hash_table_add (bodies, g_strdup (event->body));
    }
  g_hash_table_iter_init (&iter, bodies);
  while (g_hash_table_iter_next (&iter, &body, NULL))
    add_crash_event (server, body, "", true);
  g_hash_table_unref (bodies);
}

/* The id of the first crash part of the prompt; NULL: it has none. */
static char *
find_crash_part (HCall *call)
{
  const char *value = hmsg_field (hcall_msg (call), "X-Foxtailgrade-Prefix-Hash");
  char **parts = g_strsplit (value ? value : "", ",", -1), *found = NULL;

  for (unsigned i = 0; found == NULL && parts[i] && parts[i + 1]; i++)
    if (g_str_has_prefix (parts[i], FLEET_CRASH_PART))
      found = g_strndup (parts[i], strcspn (parts[i], ":"));
  g_strfreev (parts);
  return found;
}

/* What makes the server crash on this request: its body or a part of its prompt; NULL: nothing. */
static char *
find_crash_cause (HCall *call)
{
  const GByteArray *bytes = hcall_body (call);
  char *body = g_strndup ((const char *) bytes->data, bytes->len);

  if (body && g_str_has_prefix (body, FLEET_CRASH_PREFIX))
    return body;
  g_free (body);
  return find_crash_part (call);
}

/* True: the server crashes soon, as it begins to answer the request. */
static bool
start_crash_run (FleetServer *server, HCall *call)
{
  char *cause = find_crash_cause (call);
  Loop *loop = server->fleet->loop;

  if (cause == NULL)
    return false;
  increment (server->fleet->crash_run_counts, cause);
  add_crash_event (server, cause, request_id (call), false);
  if (!server->crash_timer.armed)
    loop_timer_set (loop, &server->crash_timer, loop_now (loop) + CRASH_DELAY);
  g_free (cause);
  return true;
}

/* Four in ten, spread so that each kind of call is hit. */
static bool
should_fail (const FleetServer *server)
{
  return server->mode == SERVER_FAILING && server->arrived * 7 % 10 < 4;
}

/* Ends the answer only once it is read. */
static void
write_unread (const FleetServer *server, HCall *call, const GString *fields, const char *body,
              size_t size)
{
  hcall_set_user (call, NULL);
  hcall_begin (call, 200, fields);
  hcall_write (call, body, size);
  if (hcall_is_full (call))
    g_ptr_array_add (server->unread, call);
  else
    hcall_end (call);
}

static void
on_call_drained (void *owner, HCall *call)
{
  FleetServer *server = owner;

  if (g_ptr_array_remove_fast (server->unread, call))
    hcall_end (call);
}

unsigned
fleet_abort_unread (Fleet *fleet, unsigned below)
{
  unsigned count = 0;

  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    for (unsigned j = fleet->servers[i].unread->len; j-- > 0;)
      {
        HCall *call = fleet->servers[i].unread->pdata[j];
        if ((unsigned) atoi (request_id (call) + 1) >= below)
          continue;
        g_ptr_array_remove_index_fast (fleet->servers[i].unread, j);
        hcall_abort (call);
        count++;
      }
  return count;
}

static void
reply_filler (const FleetServer *server, HCall *call, const GString *fields)
{
  unsigned size = server->fleet->plain_bytes;
  char *body = g_malloc (size);

  memset (body, 'x', size);
  if (!server->fleet->keeps_unread)
    hcall_reply (call, 200, fields, body, size);
  else
    write_unread (server, call, fields, body, size);
  g_free (body);
}

static void
heal_resetting (Fleet *fleet)
{
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    if (fleet->servers[i].mode == SERVER_RESET)
      fleet->servers[i].mode = SERVER_HEALTHY;
}

static void
run_request (FleetServer *server, HCall *call, const char *id, GString *fields)
{
  increment (server->fleet->run_counts, id);
  hwrite_field (fields, "X-Foxtailgrade-Server-Signature", server->id);
  if (start_crash_run (server, call))
    {
      hcall_set_user (call, NULL);
      server->crash_call = call;
    }
  else if (server->mode == SERVER_RESET)
    {
      increment (server->fleet->lost_counts, id);
      if (server->fleet->resets > 0 && --server->fleet->resets == 0)
        heal_resetting (server->fleet);
      hcall_abort (call);
    }
  else if (server->mode == SERVER_FLOOD_PLAIN
           && !g_str_has_prefix (hmsg_target (hcall_msg (call)), "/stream/"))
    {
      increment (server->fleet->lost_counts, id);
      hcall_begin (call, 200, fields);
      start_flood (server, call);
    }
  else if (server->mode == SERVER_NO_ANSWER)
    {
      increment (server->fleet->lost_counts, id);
      hcall_set_user (call, NULL);
    }
  else if (should_fail (server))
    {
      increment (server->fleet->lost_counts, id);
      hcall_reply (call, 500, fields, "poor", 4);
    }
  else if (g_str_has_prefix (hmsg_target (hcall_msg (call)), "/stream/"))
    start_stream (server, call, fields);
  else if (server->mode == SERVER_SLOW)
    reply_after (server, call, id, fields, server->fleet->slow_ms);
  else if (server->fleet->plain_ms)
    reply_after (server, call, id, fields, server->fleet->plain_ms);
  else if (server->fleet->plain_bytes)
    reply_filler (server, call, fields);
  else
    hcall_reply (call, 200, fields, id, strlen (id));
}

/* Adds the server's notices (rate limit, leaving, back-off) to an answer, and records them with the
 * entry that they are sent to. */
static void
add_notices (FleetServer *server, const char *id, bool turned_away, GString *fields)
{
  Fleet *fleet = server->fleet;
  int64_t now = loop_now (fleet->loop);
  unsigned sender = GPOINTER_TO_UINT (g_hash_table_lookup (fleet->senders, id));
  double backoff_s = turned_away ? server->backoff_s : 0;
  Arrival arrival = { .server = server->number * 1000 + server->restarts,
                      .instance = sender,
                      .at = now,
                      .answered_at = now,
                      .rate = server->rate,
                      .leaving = server->announces_leaving,
                      .backoff_us = (int64_t) (backoff_s * 1e6) };

  if (server->rate > 0)
    g_string_append_printf (fields, "Server-Limit: %g\r\n", server->rate);
  if (server->brittleness > 0)
    g_string_append_printf (fields, "Server-Brittle: %u\r\n", server->brittleness);
  if (server->announces_leaving)
    hwrite_field (fields, "Server-Leaving", "1");
  if (backoff_s > 0)
    g_string_append_printf (fields, "Retry-After: %g\r\n", backoff_s);
  g_array_append_val (fleet->arrivals, arrival);
}

static bool
has_room (const FleetServer *server)
{
  return server->capacity == 0 || server->streams->len + server->delayed->len < server->capacity;
}

/* Counts a rejection for want of room. A brittle server crashes if it has made too many. */
static void
count_rejection (FleetServer *server)
{
  int64_t now = loop_now (server->fleet->loop);
  unsigned recent = 0;

  g_array_append_val (server->rejected_at, now);
  for (unsigned i = server->rejected_at->len; i-- > 0; recent++)
    if (now - g_array_index (server->rejected_at, int64_t, i) >= BRITTLE_WINDOW)
      break;
  if (server->brittleness == 0 || recent <= server->brittleness || server->fall_timer.armed)
    return;
  server->falls++;
  loop_timer_set (server->fleet->loop, &server->fall_timer, now); /* not within a call's handler */
}

static void
on_fall_timer (LoopTimer *timer)
{
  fleet_crash_server ((FleetServer *) ((char *) timer - offsetof (FleetServer, fall_timer)));
}

/* Answers a status check as the server with this id, whatever it runs. */
static bool
answer_check (HCall *call, const char *id)
{
  const char *wanted = hmsg_field (hcall_msg (call), "X-Foxtailgrade-Expect-Instance");

  if (strcmp (hmsg_target (hcall_msg (call)), "/health") != 0)
    return false;
  GString *fields = g_string_new (NULL);
  hwrite_field (fields, "X-Foxtailgrade-Instance-Id", id);
  hcall_reply (call, wanted && strcmp (wanted, id) != 0 ? 421 : 200, fields, "", 0);
  g_string_free (fields, TRUE);
  return true;
}

bool
fleet_answer_check (HCall *call)
{
  const char *wanted = hmsg_field (hcall_msg (call), "X-Foxtailgrade-Expect-Instance");

  return answer_check (call, wanted ? wanted : "");
}

static void
on_server_request (void *owner, HCall *call)
{
  FleetServer *server = owner;

  if (answer_check (call, server->id))
    return;
  const char *wanted = hmsg_field (hcall_msg (call), "X-Foxtailgrade-Expect-Instance");
  char *id = g_strdup (request_id (call));
  GString *fields = g_string_new (NULL);

  server->arrived++;
  hwrite_field (fields, "X-Foxtailgrade-Request-Id", id);
  bool addressed = wanted && strcmp (wanted, server->id) == 0 && server->mode != SERVER_REPLACED;
  bool full = server->mode == SERVER_FULL || server->refuses_all || !has_room (server);
  if (addressed)
    add_notices (server, id, full, fields);
  else if (server->announces_leaving)
    hwrite_field (fields, "Server-Leaving",
                  "1"); /* the notice of a server other than the one addressed */
  if (!addressed)
    hcall_reply (call, 421, fields, "", 0);
  else if (server->mode == SERVER_FLOOD_REFUSE)
    {
      increment (server->fleet->lost_counts, id);
      hwrite_field (fields, "X-Foxtailgrade-Not-Executed", "1");
      hcall_begin (call, 503, fields);
      start_flood (server, call);
    }
  else if (full)
    {
      increment (server->fleet->lost_counts, id);
      hwrite_field (fields, "X-Foxtailgrade-Not-Executed", "1");
      hcall_reply (call, 503, fields, "", 0);
      count_rejection (server);
    }
  else
    run_request (server, call, id, fields);
  g_string_free (fields, TRUE);
  g_free (id);
}

static void
on_call_gone (void *owner, HCall *call)
{
  FleetServer *server = owner;
  Stream *stream = hcall_user (call);

  if (server->crash_call == call)
    server->crash_call = NULL;
  cancel_delayed (server, call);
  cancel_flood (server, call);
  g_ptr_array_remove_fast (server->unread, call);
  if (stream)
    remove_stream (stream);
}

static const HSrvOps server_ops = { on_server_request, on_call_gone, on_call_drained };

/* ---- Crashes and restarts ---- */

static void
stop_server (FleetServer *server)
{
  for (unsigned i = 0; i < server->streams->len; i++)
    {
      Stream *stream = server->streams->pdata[i];
      loop_timer_stop (server->fleet->loop, &stream->timer);
      increment (server->fleet->lost_counts, stream->id);
    }
  if (server->ended_at + END_ON_THE_WAY > loop_now (server->fleet->loop))
    increment (server->fleet->lost_counts, server->ended_id);
  g_ptr_array_set_size (server->streams, 0);
  g_ptr_array_set_size (server->delayed, 0);
  g_ptr_array_set_size (server->unread, 0);
  g_ptr_array_set_size (server->floods, 0);
  g_array_set_size (server->rejected_at, 0);
  loop_timer_stop (server->fleet->loop, &server->fall_timer);
  hsrv_free (server->srv);
  server->srv = NULL;
  server->crash_call = NULL;
  if (server->proxy)
    proxy_free (server->proxy);
  server->proxy = NULL;
}

/* Entries that are cut off stay so. */
static void
restore_proxy (FleetServer *server)
{
  Fleet *fleet = server->fleet;

  server->proxy = proxy_new (fleet->loop, server->addr, server->listen_addr);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    if (fleet->entries[i].cut != PROXY_CUT_NONE)
      proxy_cut (server->proxy, fleet->entries[i].ip, fleet->entries[i].cut);
}

static void
on_restart_timer (LoopTimer *timer)
{
  FleetServer *server = (FleetServer *) ((char *) timer - offsetof (FleetServer, restart_timer));
  Loop *loop = server->fleet->loop;

  server->srv = hsrv_new (loop, server->listen_addr, &server_ops, server);
  if (server->srv == NULL)
    {
      loop_timer_set (loop, timer, loop_now (loop) + BIND_RETRY);
      return;
    }
  if (server->addr.port != server->listen_addr.port)
    restore_proxy (server);
  server->restarts++;
  g_snprintf (server->id, sizeof server->id, "i-%u.%u", server->number + 1, server->restarts);
}

static void
on_crash_timer (LoopTimer *timer)
{
  FleetServer *server = (FleetServer *) ((char *) timer - offsetof (FleetServer, crash_timer));
  Fleet *fleet = server->fleet;

  if (server->mode == SERVER_SLOW_CRASH && server->crash_call)
    {
      hsrv_stop_accepting (server->srv);
      hcall_abort (server->crash_call);
      server->crash_call = NULL;
      loop_timer_set (fleet->loop, timer, loop_now (fleet->loop) + SLOW_CRASH_DELAY);
      return;
    }
  fleet->crash_count++;
  record_crash (server);
  stop_server (server);
  loop_timer_set (fleet->loop, &server->restart_timer,
                  loop_now (fleet->loop) + fleet->restart_ms * FT_MS);
}

void
fleet_crash_server (FleetServer *server)
{
  loop_timer_stop (server->fleet->loop, &server->crash_timer);
  if (server->srv)
    on_crash_timer (&server->crash_timer);
}

void
backend_create (Fleet *fleet, unsigned number, SockAddr addr)
{
  FleetServer *server = &fleet->servers[number];

  server->fleet = fleet;
  server->number = number;
  g_snprintf (server->id, sizeof server->id, "i-%u", number + 1);
  server->addr = server->listen_addr = addr;
  server->listed = true;
  server->streams = g_ptr_array_new_with_free_func (g_free);
  server->delayed = g_ptr_array_new_with_free_func (delayed_free);
  server->unread = g_ptr_array_new ();
  server->floods = g_ptr_array_new_with_free_func (flood_free);
  g_strlcpy (server->version, "v1", sizeof server->version);
  server->rejected_at = g_array_new (FALSE, FALSE, sizeof (int64_t));
  server->fall_timer.fire = on_fall_timer;
  server->crash_timer.fire = on_crash_timer;
  server->restart_timer.fire = on_restart_timer;
  server->srv = hsrv_new (fleet->loop, addr, &server_ops, server);
  g_assert_nonnull (server->srv);
}

void
backend_destroy (FleetServer *server)
{
  loop_timer_stop (server->fleet->loop, &server->crash_timer);
  loop_timer_stop (server->fleet->loop, &server->restart_timer);
  stop_server (server);
  g_ptr_array_unref (server->streams);
  g_ptr_array_unref (server->delayed);
  g_ptr_array_unref (server->unread);
  g_ptr_array_unref (server->floods);
  g_array_unref (server->rejected_at);
}
