/* unframed.c - tests, with real processes on loopback, of answers that have neither a length nor
 * chunks and end with their connection: which of them are complete, and what the caller gets. */
#include "fleet.h"
#include "statuscheck.h"

#include <string.h>
#include <sys/socket.h>

#define RAW_PORT  8742
#define EVENTS    4 /* of a whole stream */
#define SERVERS   2
#define PLAIN     "a plain answer"
#define LONG_SIZE (3u << 19) /* bytes of a plain answer, more than an entry holds */
#define EVENT_GAP (20 * FT_MS)

typedef enum
{
  END_COMPLETE,     /* closes after the last event */
  END_INSIDE_EVENT, /* closes in the middle of the third event */
  END_RESET,        /* resets after the second event */
  END_CRASH,        /* the process ends after the second event: all its sockets close in order */
  END_RESET_LATE,   /* resets after the last event */
  END_EARLY,        /* closes after the second event, or before a plain body, and lives on */
  END_NO_EVENTS     /* closes after the head, and lives on */
} EndMode;

/* A backend server that speaks plain TCP. */
typedef struct
{
  Fleet *fleet;
  FleetServer *listed;
  SockListener *listener;
} RawServer;

typedef struct
{
  LoopTimer timer;
  RawServer *server;
  Sock *sock;
  EndMode mode;
  unsigned next;
  bool stream, started;
} RawConn;

static RawServer servers[SERVERS];
static EndMode first_mode;  /* of the first answers ... */
static EndMode second_mode; /* ... and of the second one; all others are complete */
static unsigned first_count, runs;
static bool omits_receipt; /* the first answers have none */

static void
close_raw (RawConn *conn, bool reset)
{
  loop_timer_stop (conn->server->fleet->loop, &conn->timer);
  sock_close (conn->sock, reset);
  loop_free_later (conn->server->fleet->loop, conn);
}

static void
write_text (const RawConn *conn, const char *text)
{
  sock_write (conn->sock, text, strlen (text));
}

/* True: the answer ends here, and conn is closed. */
static bool
end_answer (RawConn *conn)
{
  RawServer *server = conn->server;
  bool midway = conn->next == 3 || !conn->stream;

  if (conn->mode == END_INSIDE_EVENT && midway)
    {
      write_text (conn, conn->stream ? "id: 3\ndata: ev" : "");
      sock_close_when_sent (conn->sock);
      loop_free_later (server->fleet->loop, conn);
      return true;
    }
  if ((conn->mode == END_RESET && midway) || (conn->mode == END_RESET_LATE && conn->next > EVENTS))
    {
      close_raw (conn, true);
      return true;
    }
  if ((conn->mode == END_EARLY && midway) || conn->mode == END_NO_EVENTS)
    {
      sock_close_when_sent (conn->sock);
      loop_free_later (server->fleet->loop, conn);
      return true;
    }
  if (conn->mode == END_CRASH && midway)
    {
      sock_listener_free (server->listener);
      server->listener = NULL;
      close_raw (conn, false);
      return true;
    }
  if (conn->stream && conn->next <= EVENTS)
    return false;
  sock_close_when_sent (conn->sock);
  loop_free_later (server->fleet->loop, conn);
  return true;
}

static void
on_event_timer (LoopTimer *timer)
{
  RawConn *conn = (RawConn *) timer;
  char event[64];

  if (end_answer (conn))
    return;
  g_snprintf (event, sizeof event, "id: %u\ndata: event %u\n\n", conn->next, conn->next);
  write_text (conn, event);
  conn->next++;
  loop_timer_set (conn->server->fleet->loop, timer,
                  loop_now (conn->server->fleet->loop) + EVENT_GAP);
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
start_answer (RawConn *conn, const char *head)
{
  char *id = field_of (head, "X-Foxtailgrade-Request-Id"), *last = field_of (head, "Last-Event-Id");

  conn->started = true;
  bool first = runs++ < first_count;
  conn->mode = first ? first_mode : runs == 2 ? second_mode : END_COMPLETE;
  conn->stream = strncmp (head, "POST /stream", 12) == 0;
  conn->next = (unsigned) atoi (last) + 1;
  char *reply = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Foxtailgrade-Request-Id: %s\r\n"
      "%s: %s\r\nContent-Type: %s\r\n\r\n%s",
      id, first && omits_receipt ? "X-Other" : "X-Foxtailgrade-Server-Signature",
      conn->server->listed->id, conn->stream ? "text/event-stream" : "text/plain",
      conn->stream || conn->mode >= END_EARLY ? "" : PLAIN);
  write_text (conn, reply);
  g_free (reply);
  if (strncmp (head, "POST /once/long", 15) == 0)
    {
      char *bytes = g_strnfill (LONG_SIZE, 'x');
      write_text (conn, bytes);
      g_free (bytes);
    }
  g_free (id);
  g_free (last);
  loop_timer_set (conn->server->fleet->loop, &conn->timer,
                  loop_now (conn->server->fleet->loop) + EVENT_GAP);
}

static void
on_data (Sock *sock)
{
  RawConn *conn = sock->owner;
  size_t size;
  const char *data = (const char *) sock_peek (sock, &size);
  char *text = g_strndup (data, size);

  char *check = statuscheck_answer (text);

  if (check)
    {
      write_text (conn, check);
      sock_close_when_sent (sock);
      loop_free_later (conn->server->fleet->loop, conn);
    }
  else if (!conn->started && strstr (text, "\r\n\r\n"))
    start_answer (conn, text);
  g_free (check);
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
  conn->timer.fire = on_event_timer;
  conn->sock = sock_accepted (server->fleet->loop, fd, peer, &raw_ops, conn);
}

/* The first answer ends so, whichever server begins it. */
static Fleet *
start_fleet (EndMode mode)
{
  Fleet *fleet = fleet_new ();

  first_mode = mode;
  first_count = 1;
  second_mode = END_COMPLETE;
  omits_receipt = false;
  runs = 0;
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    {
      fleet->servers[i].listed = i < SERVERS;
      if (i >= SERVERS)
        continue;
      RawServer *server = &servers[i];
      fleet->servers[i].addr.port = RAW_PORT;
      *server = (RawServer){ .fleet = fleet, .listed = &fleet->servers[i] };
      server->listener = sock_listen (fleet->loop, server->listed->addr, on_accept, server);
      g_assert_nonnull (server->listener);
    }
  fleet_start_all (fleet);
  return fleet;
}

static void
end_fleet (Fleet *fleet)
{
  for (unsigned i = 0; i < SERVERS; i++)
    sock_listener_free (servers[i].listener);
  fleet_free (fleet);
}

static bool
is_done (void *data)
{
  return ((Answer *) data)->done;
}

static void
call (Fleet *fleet, const char *path, Answer *answer)
{
  fleet_send (fleet, &fleet->entries[0], path, "u1", answer);
  fleet_run_until (fleet, is_done, answer, "an answer that ends with its connection");
}

static void
assert_whole_stream (const Answer *answer)
{
  g_assert_false (answer->broken);
  g_assert_cmpuint (answer->status, ==, 200);
  g_assert_cmpstr (answer->body->str, ==,
                   "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\n"
                   "id: 4\ndata: event 4\n\n");
}

/* The caller of a resumable stream gets it whole, however its first server's connection ended. */
static void
stream_is_whole (gconstpointer mode)
{
  Fleet *fleet = start_fleet ((EndMode) GPOINTER_TO_UINT (mode));
  Answer answer;

  call (fleet, "/stream/a", &answer);
  assert_whole_stream (&answer);
  fleet_answer_clear (&answer);
  end_fleet (fleet);
}

/* A plain answer whose server ends or resets its connection midway is not passed on as complete. */
static void
plain_is_not_complete (gconstpointer mode)
{
  Fleet *fleet = start_fleet ((EndMode) GPOINTER_TO_UINT (mode));
  Answer answer;

  call (fleet, "/once/a", &answer);
  g_assert_true (answer.broken || answer.status == 502);
  fleet_answer_clear (&answer);
  end_fleet (fleet);
}

static void
plain_is_complete (void)
{
  Fleet *fleet = start_fleet (END_COMPLETE);
  Answer answer;

  call (fleet, "/once/a", &answer);
  g_assert_false (answer.broken);
  g_assert_cmpuint (answer.status, ==, 200);
  g_assert_cmpstr (answer.body->str, ==, PLAIN);
  g_assert_false (answer.framed);
  fleet_answer_clear (&answer);
  end_fleet (fleet);
}

/* Guards against vouching for a stream whose servers all end it in order before its last event: its
 * caller has to see that nothing but the connection's end says that it is whole. */
static void
all_end_early (void)
{
  Fleet *fleet = start_fleet (END_EARLY);
  Answer answer;

  first_count = G_MAXUINT;
  call (fleet, "/stream/a", &answer);
  g_assert_cmpuint (answer.status, ==, 200);
  g_assert_true (answer.broken || !answer.framed);
  fleet_answer_clear (&answer);
  end_fleet (fleet);
}

/* Guards against ending a stream in order, framed or not, whose servers all end it inside an event.
 */
static void
all_end_inside_event (void)
{
  Fleet *fleet = start_fleet (END_INSIDE_EVENT);
  Answer answer;

  first_count = G_MAXUINT;
  call (fleet, "/stream/a", &answer);
  g_assert_true (answer.broken);
  fleet_answer_clear (&answer);
  end_fleet (fleet);
}

/* Guards against ending a stream in order of which the server that was asked for more has begun to
 * send it, or has said nothing. */
static void
more_is_broken_off (gconstpointer mode)
{
  Fleet *fleet = start_fleet (END_EARLY);
  Answer answer;

  second_mode = (EndMode) GPOINTER_TO_UINT (mode);
  call (fleet, "/stream/a", &answer);
  g_assert_cmpuint (runs, ==, 2);
  g_assert_true (answer.broken);
  fleet_answer_clear (&answer);
  end_fleet (fleet);
}

/* Guards against an answer 200 without a body: all that came of it was its head. */
static void
plain_is_repeated (void)
{
  Fleet *fleet = start_fleet (END_EARLY);
  Answer answer;

  call (fleet, "/plain/a", &answer);
  g_assert_false (answer.broken);
  g_assert_cmpuint (answer.status, ==, 200);
  g_assert_cmpstr (answer.body->str, ==, PLAIN);
  g_assert_cmpuint (runs, ==, 2);
  fleet_answer_clear (&answer);
  end_fleet (fleet);
}

/* Guards against a success without its server's receipt. */
static void
no_receipt (gconstpointer path)
{
  Fleet *fleet = start_fleet (END_COMPLETE);
  Answer answer;

  omits_receipt = true;
  call (fleet, path, &answer);
  if (answer.status == 200)
    g_assert_true (answer.has_signature);
  else
    g_assert_cmpuint (answer.status, ==, 502);
  fleet_answer_clear (&answer);
  end_fleet (fleet);
}

/* Guards against a long answer, passed on as it comes, that is told as whole at an end which does
 * not show whether all of it came. */
static void
long_plain_is_told_as_whole (void)
{
  Fleet *fleet = start_fleet (END_COMPLETE);
  Answer answer;

  call (fleet, "/once/long", &answer);
  g_assert_true (answer.status != 200 || answer.broken || !answer.framed);
  fleet_answer_clear (&answer);
  end_fleet (fleet);
}

#define ADD_STREAM(name, mode)                                                                     \
  g_test_add_data_func ("/unframed/stream/" name, GUINT_TO_POINTER (mode), stream_is_whole)
#define ADD_PLAIN(name, mode)                                                                      \
  g_test_add_data_func ("/unframed/plain/" name, GUINT_TO_POINTER (mode), plain_is_not_complete)

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  ADD_STREAM ("complete", END_COMPLETE);
  ADD_STREAM ("inside_event", END_INSIDE_EVENT);
  ADD_STREAM ("reset", END_RESET);
  ADD_STREAM ("crash", END_CRASH);
  ADD_STREAM ("reset_late", END_RESET_LATE);
  ADD_PLAIN ("reset", END_RESET);
  ADD_PLAIN ("crash", END_CRASH);
  ADD_PLAIN ("early", END_EARLY);
  ADD_STREAM ("early", END_EARLY);
  ADD_STREAM ("no_events", END_NO_EVENTS);
  g_test_add_func ("/unframed/stream/all_end_early", all_end_early);
  g_test_add_func ("/unframed/stream/all_end_inside_event", all_end_inside_event);
  g_test_add_data_func ("/unframed/stream/more_inside_event", GUINT_TO_POINTER (END_INSIDE_EVENT),
                        more_is_broken_off);
  g_test_add_data_func ("/unframed/stream/more_reset", GUINT_TO_POINTER (END_RESET),
                        more_is_broken_off);
  g_test_add_func ("/unframed/plain/repeated", plain_is_repeated);
  g_test_add_data_func ("/unframed/no_receipt/plain", "/plain/a", no_receipt);
  g_test_add_data_func ("/unframed/no_receipt/once", "/once/a", no_receipt);
  g_test_add_data_func ("/unframed/no_receipt/stream", "/stream/a", no_receipt);
  g_test_add_func ("/unframed/plain/complete", plain_is_complete);
  g_test_add_func ("/unframed/plain/long", long_plain_is_told_as_whole);
  return g_test_run ();
}
