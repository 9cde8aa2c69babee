/* stops.c - tests, with real processes on loopback, of servers that stop at each byte of an answer:
 * no caller is told that a part of an answer is the whole. */
#include "fleet.h"
#include "statuscheck.h"

#include <string.h>

#define RAW_PORT   8742
#define SERVERS    3
#define EVENTS     3   /* of a whole stream */
#define SLOTS      512 /* of a server: the requests of one batch run at the same time */
#define POSITIONS  512 /* more bytes than any answer has */
#define ID_SIZE    8
#define RELAY_STEP 3 /* bytes between the places of a stop behind a relay */
#define SETTLED    3 /* requests that went through relays: the entry knows that it is cut off */
#define STOP_DELAY (10 * FT_MS)  /* from the last byte to the stop, which so arrives apart */
#define GONE_TIME  (400 * FT_MS) /* until a server that is gone starts again */

typedef enum
{
  PLAIN_LENGTH,
  PLAIN_CHUNKED,
  PLAIN_UNFRAMED,
  STREAM_CHUNKED,
  STREAM_UNFRAMED
} Kind;

typedef enum
{
  STOP_CLOSE,       /* closes in order with the last byte, and lives on */
  STOP_CLOSE_LATER, /* the same, some ms after the last byte */
  STOP_RESET,
  STOP_GONE,  /* all its connections close in order, and so does its listener */
  STOP_RELAYS /* the server stands still, and the entries that relay its answers are killed */
} Stop;

static const char *const kind_names[]
    = { "plain_length", "plain_chunked", "plain_unframed", "stream_chunked", "stream_unframed" };
static const char *const stop_names[]
    = { "close", "close_later", "reset", "gone", "relays_killed" };

typedef struct
{
  Kind kind;
  Stop stop;
  bool interim;    /* interim responses come first */
  bool no_receipt; /* the answer does not name its server */
} Play;

/* A backend server that speaks plain TCP. */
typedef struct
{
  Fleet *fleet;
  FleetServer *listed;
  SockListener *listener;
  GPtrArray *conns;
  unsigned restarts;
} RawServer;

typedef struct
{
  LoopTimer timer;
  RawServer *server;
  Sock *sock;
} RawConn;

static RawServer servers[SERVERS];
static Play play;
static GHashTable *runs; /* request id: how often a server ran it */
static unsigned first_runs;
static const char *left_behind; /* bytes behind the first answer; NULL: none */
static int64_t left_after;      /* from that answer to them */
static bool left_at_next;       /* they come with the next request instead */

/* ---- Answers ---- */

static bool
is_stream (Kind kind)
{
  return kind == STREAM_CHUNKED || kind == STREAM_UNFRAMED;
}

static bool
is_unframed (Kind kind)
{
  return kind == PLAIN_UNFRAMED || kind == STREAM_UNFRAMED;
}

static bool
is_chunked (Kind kind)
{
  return kind == PLAIN_CHUNKED || kind == STREAM_CHUNKED;
}

static void
append_piece (GString *out, Kind kind, const char *piece)
{
  if (is_chunked (kind))
    hwrite_chunk (out, piece, strlen (piece));
  else
    g_string_append (out, piece);
}

/* Appends the body of the request's answer after an event, as kind frames it. */
static void
append_body (GString *out, Kind kind, const char *id, unsigned last_event)
{
  char piece[64];

  if (!is_stream (kind))
    {
      append_piece (out, kind, "answer of ");
      append_piece (out, kind, id);
    }
  for (unsigned i = last_event + 1; is_stream (kind) && i <= EVENTS; i++)
    {
      g_snprintf (piece, sizeof piece, "id: %u\ndata: %s\n\n", i, id);
      append_piece (out, kind, piece);
    }
  if (is_chunked (kind))
    g_string_append (out, "0\r\n\r\n");
}

/* What the caller has to get. */
static GString *
whole_body (const char *id)
{
  GString *body = g_string_new (NULL);

  append_body (body, is_stream (play.kind) ? STREAM_UNFRAMED : PLAIN_UNFRAMED, id, 0);
  return body;
}

static GString *
whole_answer (const char *id, unsigned last_event)
{
  GString *out = g_string_new (NULL), *body = g_string_new (NULL);

  append_body (body, play.kind, id, last_event);
  if (play.interim)
    g_string_append (out, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n");
  g_string_append_printf (out, "HTTP/1.1 200 OK\r\nX-Foxtailgrade-Request-Id: %s\r\n", id);
  if (!play.no_receipt)
    g_string_append (out, "X-Foxtailgrade-Server-Signature: sig\r\n");
  if (is_stream (play.kind))
    g_string_append (out, "Content-Type: text/event-stream\r\n");
  if (left_behind == NULL) /* no other request comes upon the stop */
    g_string_append (out, "Connection: close\r\n");
  if (play.kind == PLAIN_LENGTH)
    g_string_append_printf (out, "Content-Length: %zu\r\n", body->len);
  if (is_chunked (play.kind))
    g_string_append (out, "Transfer-Encoding: chunked\r\n");
  g_string_append_printf (out, "\r\n%s", body->str);
  g_string_free (body, TRUE);
  return out;
}

/* ---- Servers ---- */

static void
close_raw (RawConn *conn, bool reset)
{
  loop_timer_stop (conn->server->fleet->loop, &conn->timer);
  g_ptr_array_remove_fast (conn->server->conns, conn);
  sock_close (conn->sock, reset);
  loop_free_later (conn->server->fleet->loop, conn);
}

static void
close_when_sent (RawConn *conn)
{
  g_ptr_array_remove_fast (conn->server->conns, conn);
  sock_close_when_sent (conn->sock);
  loop_free_later (conn->server->fleet->loop, conn);
}

static void
on_stop_timer (LoopTimer *timer)
{
  RawConn *conn = (RawConn *) timer;

  if (left_behind && !left_at_next)
    sock_write (conn->sock, left_behind, strlen (left_behind));
  else
    close_raw (conn, play.stop == STOP_RESET);
}

static void
stop_later (RawConn *conn, int64_t delay)
{
  loop_timer_set (conn->server->fleet->loop, &conn->timer,
                  loop_now (conn->server->fleet->loop) + delay);
}

static char *
field_of (const char *head, const char *name)
{
  const char *at = strcasestr (head, name);

  if (at == NULL)
    return g_strdup ("");
  at += strlen (name) + 2;
  return g_strndup (at, strcspn (at, "\r"));
}

static void
write_left_behind (RawConn *conn, const char *id, unsigned run)
{
  if (left_behind == NULL || left_at_next || run > 0 || *id != 'a')
    return;
  if (left_after == 0)
    sock_write (conn->sock, left_behind, strlen (left_behind));
  else
    stop_later (conn, left_after);
}

/* The first run of a request stops behind as many bytes as the end of its id says. */
static void
answer (RawConn *conn, const char *head)
{
  char *id = field_of (head, "X-Foxtailgrade-Request-Id"), *last = field_of (head, "Last-Event-Id");
  unsigned run = GPOINTER_TO_UINT (g_hash_table_lookup (runs, id));
  GString *text = whole_answer (id, (unsigned) atoi (last));
  size_t stop_at = (size_t) atoi (id + 1);
  bool stops = left_behind == NULL && run == 0 && stop_at <= text->len;

  g_hash_table_replace (runs, g_strdup (id), GUINT_TO_POINTER (run + 1));
  if (left_behind && left_at_next && *id != 'a')
    {
      sock_write (conn->sock, left_behind, strlen (left_behind));
      stop_later (conn, STOP_DELAY);
    }
  sock_write (conn->sock, text->str, stops ? stop_at : text->len);
  first_runs += run == 0;
  if (stops && play.stop == STOP_CLOSE)
    close_when_sent (conn);
  else if (stops && (play.stop == STOP_CLOSE_LATER || play.stop == STOP_RESET))
    stop_later (conn, STOP_DELAY);
  else if (!stops && is_unframed (play.kind))
    close_when_sent (conn);
  else if (!stops)
    write_left_behind (conn, id, run);
  g_string_free (text, TRUE);
  g_free (id);
  g_free (last);
}

static void
on_data (Sock *sock)
{
  RawConn *conn = sock->owner;
  size_t size;
  const char *data = (const char *) sock_peek (sock, &size);
  char *text = g_strndup (data, size);
  const char *end = strstr (text, "\r\n\r\n");
  char *length = field_of (text, "Content-Length"), *check = statuscheck_answer (text);

  if (end && check)
    {
      sock_consume (sock, size);
      sock_write (sock, check, strlen (check));
    }
  else if (end && size >= (size_t) (end + 4 - text) + (size_t) atoi (length))
    {
      sock_consume (sock, size);
      answer (conn, text);
    }
  g_free (check);
  g_free (length);
  g_free (text);
}

static void
on_ended (Sock *sock, SockEnd how)
{
  (void) how;
  close_raw (sock->owner, false);
}

static const SockOps raw_ops = { NULL, on_data, NULL, on_ended };

static void
on_accept (void *owner, int fd, SockAddr peer)
{
  RawServer *server = owner;
  RawConn *conn = g_new0 (RawConn, 1);

  conn->server = server;
  conn->timer.fire = on_stop_timer;
  conn->sock = sock_accepted (server->fleet->loop, fd, peer, &raw_ops, conn);
  g_assert_nonnull (conn->sock);
  g_ptr_array_add (server->conns, conn);
}

static void
listen_raw (RawServer *server)
{
  server->listener = sock_listen (server->fleet->loop, server->listed->addr, on_accept, server);
  g_assert_nonnull (server->listener);
}

/* All servers end, as processes do, and start again later. */
static void
crash_all (Fleet *fleet)
{
  for (unsigned i = 0; i < SERVERS; i++)
    {
      RawServer *server = &servers[i];
      sock_listener_free (server->listener);
      while (server->conns->len > 0)
        close_raw (server->conns->pdata[0], false);
      g_snprintf (server->listed->id, sizeof server->listed->id, "i-%u-%u", i, ++server->restarts);
    }
  fleet_run_for (fleet, GONE_TIME);
  for (unsigned i = 0; i < SERVERS; i++)
    listen_raw (&servers[i]);
}

/* ---- Batches of requests ---- */

static Fleet *
new_fleet (Play how, unsigned server_count)
{
  Fleet *fleet = fleet_new ();

  play = how;
  left_behind = NULL;
  left_at_next = false;
  left_after = 0;
  first_runs = 0;
  runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet->slots = SLOTS;
  fleet->budget_slack = 100000;
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    {
      fleet->servers[i].listed = i < server_count;
      fleet->servers[i].addr.port = RAW_PORT;
    }
  return fleet;
}

static void
start_fleet (Fleet *fleet)
{
  for (unsigned i = 0; i < SERVERS; i++)
    {
      servers[i] = (RawServer){ .fleet = fleet, .listed = &fleet->servers[i] };
      servers[i].conns = g_ptr_array_new ();
      listen_raw (&servers[i]);
    }
  fleet_start_all (fleet);
}

static void
end_fleet (Fleet *fleet)
{
  for (unsigned i = 0; i < SERVERS; i++)
    {
      sock_listener_free (servers[i].listener);
      while (servers[i].conns->len > 0)
        close_raw (servers[i].conns->pdata[0], true);
      g_ptr_array_unref (servers[i].conns);
    }
  fleet_free (fleet);
  g_hash_table_unref (runs);
}

typedef struct
{
  Answer answers[2 * POSITIONS];
  char ids[2 * POSITIONS][ID_SIZE];
  unsigned count;
  unsigned whole, unframed, broken, refused; /* how the answers ended */
  unsigned faults;
} Batch;

static bool
all_are_done (void *data)
{
  const Batch *batch = data;

  for (unsigned i = 0; i < batch->count; i++)
    if (!batch->answers[i].done)
      return false;
  return true;
}

static bool
all_run_or_done (void *data)
{
  const Batch *batch = data;

  return first_runs >= batch->count || all_are_done (data);
}

static void
send_one (Fleet *fleet, FleetNode *entry, const char *path, const char *id, Batch *batch)
{
  g_strlcpy (batch->ids[batch->count], id, ID_SIZE);
  fleet_send_body (fleet, entry, path, id, id, &batch->answers[batch->count]);
  batch->count++;
}

static void
add_fault (Batch *batch, unsigned index, const char *what)
{
  const Answer *got = &batch->answers[index];

  batch->faults++;
  g_test_message ("%s %s, request %s: %s (status %u, %s%s, %zu bytes: \"%s\")",
                  kind_names[play.kind], stop_names[play.stop], batch->ids[index], what,
                  got->status, got->framed ? "framed" : "unframed",
                  got->broken ? ", broken off" : "", got->body->len, got->body->str);
}

/* Whether another server gives what the first one did not, within the attempts of the route. */
static bool
must_arrive (void)
{
  return play.stop < STOP_GONE && play.kind != PLAIN_UNFRAMED && !play.no_receipt && !left_at_next
         && left_after == 0;
}

/* Checks what the caller of one request got, and how often it ran. */
static void
check_one (Batch *batch, unsigned index)
{
  const Answer *got = &batch->answers[index];
  const char *id = batch->ids[index];
  unsigned run_count = GPOINTER_TO_UINT (g_hash_table_lookup (runs, id));
  GString *body = whole_body (id);

  if (id[0] == 'u' && run_count > 1)
    add_fault (batch, index, "an unsafe request ran twice");
  if ((got->status == 503 || got->status == 429) && id[0] == 'u' && run_count > 0)
    add_fault (batch, index, "a request that ran is answered as not run");
  bool told = is_unframed (play.kind) || (!got->broken && got->framed);
  bool whole = got->status / 100 == 2 && got->body->len == body->len && told;
  if (!whole && id[0] == 's' && must_arrive ())
    add_fault (batch, index, "a request that may be repeated has no whole answer");
  if (got->status / 100 != 2)
    {
      batch->refused++;
      g_string_free (body, TRUE);
      return;
    }
  if (!got->has_signature)
    add_fault (batch, index, "a success without a receipt");
  if (!g_str_has_prefix (body->str, got->body->str))
    add_fault (batch, index, "not a part of its own answer");
  else if (!got->broken && got->framed && got->body->len < body->len)
    add_fault (batch, index, "a part of an answer is told as the whole");
  else if (!got->broken && got->body->len < body->len && play.stop >= STOP_RESET)
    add_fault (batch, index, "a reset or the end of a process arrives as an orderly end");
  batch->whole += !got->broken && got->framed;
  batch->unframed += !got->broken && !got->framed;
  batch->broken += got->broken;
  g_string_free (body, TRUE);
}

static void
finish_batch (Fleet *fleet, Batch *batch)
{
  fleet_run_until (fleet, all_are_done, batch, "the answers of a batch");
  for (unsigned i = 0; i < batch->count; i++)
    {
      check_one (batch, i);
      fleet_answer_clear (&batch->answers[i]);
    }
  g_test_message ("%s %s: %u requests: %u whole, %u unframed, %u broken off, %u refused; %u faults",
                  kind_names[play.kind], stop_names[play.stop], batch->count, batch->whole,
                  batch->unframed, batch->broken, batch->refused, batch->faults);
  if (batch->faults > 0)
    g_test_fail ();
}

/* Ends all that relay for an entry that is cut off from the servers, and its cut. */
static void
kill_relays (Fleet *fleet)
{
  for (unsigned i = 1; i < FLEET_ENTRIES; i++)
    fleet_kill (&fleet->entries[i]);
  fleet_heal (fleet, &fleet->entries[0]);
}

/* One request for each place of a stop and each kind of route; step: between the places. */
static void
run_positions (Fleet *fleet, unsigned entries, unsigned step, Batch *batch)
{
  GString *text = whole_answer ("s0000", 0);
  char id[ID_SIZE];

  for (unsigned at = 0; at <= text->len; at += step)
    {
      FleetNode *entry = &fleet->entries[at / step % entries];
      g_snprintf (id, sizeof id, "s%04u", at);
      send_one (fleet, entry, is_stream (play.kind) ? "/stream/a" : "/plain/a", id, batch);
      g_snprintf (id, sizeof id, "u%04u", at);
      if (!is_stream (play.kind))
        send_one (fleet, entry, "/once/a", id, batch);
    }
  g_string_free (text, TRUE);
  if (play.stop >= STOP_GONE)
    {
      fleet_run_until (fleet, all_run_or_done, batch, "all requests run");
      fleet_run_for (fleet, STOP_DELAY);
    }
  if (play.stop == STOP_GONE)
    crash_all (fleet);
  if (play.stop == STOP_RELAYS)
    kill_relays (fleet);
  finish_batch (fleet, batch);
}

/* Guards against a part of an answer, or none of it, that is told as the whole because its server
 * stopped behind some byte. */
static void
part_is_told_as_whole (gconstpointer data)
{
  Fleet *fleet = new_fleet (*(const Play *) data, SERVERS);
  Batch *batch = g_new0 (Batch, 1);

  start_fleet (fleet);
  run_positions (fleet, FLEET_ENTRIES, 1, batch);
  end_fleet (fleet);
  g_free (batch);
}

/* ---- Behind a relay ---- */

/* Cuts the first entry off from the servers and waits until it sends through relays. */
static void
cut_off (Fleet *fleet)
{
  FleetNode *entry = &fleet->entries[0];
  char id[ID_SIZE];

  fleet_cut_from_servers (fleet, entry, PROXY_CUT_SILENT);
  for (unsigned i = 0; fleet_relayed_count (fleet, entry) < SETTLED; i++)
    {
      Batch *batch = g_new0 (Batch, 1);

      g_snprintf (id, sizeof id, "w9%03u", i);
      send_one (fleet, entry, "/plain/a", id, batch);
      fleet_run_until (fleet, all_are_done, batch, "the way through a relay");
      fleet_answer_clear (&batch->answers[0]);
      g_free (batch);
    }
}

/* Guards against a reset or an end behind a relay, or of the relay, that arrives as an orderly end
 * of a whole answer. */
static void
relay_hides_a_stop (gconstpointer data)
{
  Fleet *fleet = new_fleet (*(const Play *) data, SERVERS);
  Batch *batch = g_new0 (Batch, 1);

  fleet_add_detours (fleet);
  start_fleet (fleet);
  cut_off (fleet);
  first_runs = 0;
  uint64_t before = fleet_relayed_count (fleet, &fleet->entries[0]);
  run_positions (fleet, 1, RELAY_STEP, batch);
  g_assert_cmpuint (fleet_relayed_count (fleet, &fleet->entries[0]), >=, before + batch->count);
  end_fleet (fleet);
  g_free (batch);
}

/* ---- Connections that are out of step ---- */

/* What follows the first answer on its connection; %s: the id of its request. */
static const char *const leftovers[]
    = { "HTTP/1.1 200 OK\r\nX-Foxtailgrade-Server-Signature: sig\r\nContent-Length: 5\r\n\r\nother",
        ("HTTP/1.1 200 OK\r\nX-Foxtailgrade-Request-Id: %s\r\n"
         "X-Foxtailgrade-Server-Signature: sig\r\nContent-Length: 5\r\n\r\nother"),
        "HTTP/1.1 200 OK\r\nX-Foxtailgrade-Request-Id: %s\r\nContent-Length: 500\r\n\r\nother",
        "HTTP/1.1 200 OK\r\nX-Foxtailgrade-Request-Id: %s\r\n\r\nother",
        "HTTP/1.1 200 OK\r\nX-Foxtail",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "other bytes\r\n\r\n",
        "\r\n" };

/* A first answer, the bytes behind it, and the next request. */
static void
leave_behind (Fleet *fleet, unsigned number, const char *path, char letter, Batch *batch)
{
  char first[ID_SIZE], next[ID_SIZE];
  GString *bytes = g_string_new (leftovers[number / 2 % G_N_ELEMENTS (leftovers)]);

  g_snprintf (first, sizeof first, "a%04u", number);
  g_snprintf (next, sizeof next, "%c%04u", letter, number);
  g_string_replace (bytes, "%s", first, 0);
  left_behind = bytes->str;
  send_one (fleet, &fleet->entries[0], "/plain/a", first, batch);
  fleet_run_until (fleet, all_are_done, batch, "the first answer");
  fleet_run_for (fleet, 15 * FT_MS);
  send_one (fleet, &fleet->entries[0], path, next, batch);
  fleet_run_until (fleet, all_are_done, batch, "the next answer");
  fleet_run_for (fleet, left_after); /* no timer writes them any more */
  g_string_free (bytes, TRUE);
}

/* Guards against bytes behind an answer that become the answer to the next request on its
 * connection. */
static void
leftover_answers_next_request (gconstpointer data)
{
  Fleet *fleet = new_fleet ((Play){ .kind = PLAIN_LENGTH }, 1);
  Batch *batch = g_new0 (Batch, 1);
  unsigned number = 0;

  start_fleet (fleet);
  left_at_next = GPOINTER_TO_INT (data);
  for (left_after = 0; left_after <= (left_at_next ? 0 : 30 * FT_MS); left_after += 10 * FT_MS)
    {
      for (unsigned j = 0; j < 2 * G_N_ELEMENTS (leftovers); j++)
        {
          bool once = number % 2 == 1;
          leave_behind (fleet, number++, once ? "/once/a" : "/plain/a", once ? 'u' : 's', batch);
        }
    }
  finish_batch (fleet, batch);
  end_fleet (fleet);
  g_free (batch);
}

/* Guards against a success without a receipt, which does not count, that is told as one. */
static void
success_without_receipt (gconstpointer data)
{
  Play how = { .kind = (Kind) GPOINTER_TO_UINT (data), .no_receipt = true };
  Fleet *fleet = new_fleet (how, SERVERS);
  Batch *batch = g_new0 (Batch, 1);

  start_fleet (fleet);
  send_one (fleet, &fleet->entries[0], is_stream (how.kind) ? "/stream/a" : "/plain/a", "s9999",
            batch);
  if (!is_stream (how.kind))
    send_one (fleet, &fleet->entries[0], "/once/a", "u9999", batch);
  finish_batch (fleet, batch);
  end_fleet (fleet);
  g_free (batch);
}

static void
add (const char *group, const char *name, const char *detail, GTestDataFunc func, const void *data)
{
  char *path = g_strdup_printf ("/stops/%s/%s%s%s", group, name, *detail ? "/" : "", detail);

  g_test_add_data_func (path, data, func);
  g_free (path);
}

int
main (int argc, char **argv)
{
  static Play plays[40];
  unsigned count = 0;

  g_test_init (&argc, &argv, NULL);
  for (Kind kind = PLAIN_LENGTH; kind <= STREAM_UNFRAMED; kind++)
    {
      for (Stop stop = STOP_CLOSE; stop <= STOP_GONE; stop++)
        {
          plays[count] = (Play){ .kind = kind, .stop = stop };
          add ("part", kind_names[kind], stop_names[stop], part_is_told_as_whole, &plays[count++]);
        }
      add ("receipt", kind_names[kind], "", success_without_receipt, GUINT_TO_POINTER (kind));
    }
  for (Kind kind = PLAIN_LENGTH; kind <= STREAM_UNFRAMED; kind += 2)
    {
      plays[count] = (Play){ .kind = kind, .stop = STOP_CLOSE, .interim = true };
      add ("interim", kind_names[kind], "", part_is_told_as_whole, &plays[count++]);
    }
  for (Kind kind = PLAIN_LENGTH; kind <= STREAM_UNFRAMED; kind += 2)
    for (Stop stop = STOP_RESET; stop <= STOP_RELAYS; stop++)
      {
        plays[count] = (Play){ .kind = kind, .stop = stop };
        add ("relay", kind_names[kind], stop_names[stop], relay_hides_a_stop, &plays[count++]);
      }
  add ("leftover", "behind_answer", "", leftover_answers_next_request, GINT_TO_POINTER (false));
  add ("leftover", "at_next_request", "", leftover_answers_next_request, GINT_TO_POINTER (true));
  return g_test_run ();
}
