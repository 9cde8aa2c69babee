/* begun.c - tests, with real processes on loopback, of what may end an answer that has begun. */
#include "fleet.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define STREAM_EVENTS 8
#define LONG_ANSWER   (3u << 20) /* bytes; more than an entry buffers of a plain answer */
#define UNREAD_ANSWER (1u << 20) /* bytes; more than the kernel buffers for a caller */
#define PART_SIZE     1024
#define PARTS         20
#define PART_US       (200 * FT_MS)

static bool
is_done (void *data)
{
  return ((const Answer *) data)->done;
}

static void
check_stream (const Fleet *fleet, Answer *stream)
{
  GString *whole = g_string_new (NULL);

  for (unsigned i = 1; i <= STREAM_EVENTS; i++)
    g_string_append_printf (whole, "id: %u\ndata: event %u\n\n", i, i);
  if (stream->broken || strcmp (stream->body->str, whole->str) != 0)
    g_error ("status %u, broken %d, \"%s\" (logs in %s)", stream->status, stream->broken,
             stream->body->str, fleet->base);
  fleet_answer_clear (stream);
  g_string_free (whole, TRUE);
}

/* Starts a stream. Returns the server that runs it, which will pause after the second event. */
static FleetServer *
start_pausing_stream (Fleet *fleet, Answer *stream)
{
  FleetServer *runs = NULL;

  fleet->event_ms = 300;
  fleet->pause_ms = 4800;
  fleet_start_all (fleet);
  fleet_send (fleet, &fleet->entries[0], "/stream/a", "s", stream);
  fleet_run_for (fleet, 150 * FT_MS);
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    if (fleet->servers[i].streams->len > 0)
      runs = &fleet->servers[i];
  g_assert_nonnull (runs);
  runs->mode = SERVER_PAUSING;
  return runs;
}

/* Guards against losing an answer whose silent try was ended for another server's place: that
 * server rejects the request, and the route allows no third try. */
static void
replacement_is_rejected (void)
{
  Fleet *fleet = fleet_new ();
  Answer stream;
  const FleetServer *runs = start_pausing_stream (fleet, &stream);

  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    if (&fleet->servers[i] != runs)
      fleet->servers[i].mode = SERVER_FULL;
  fleet_run_until (fleet, is_done, &stream, "the stream ends");
  check_stream (fleet, &stream);
  fleet_free (fleet);
}

/* Starts a stream whose server breaks it off; the next ones, resets of them, reset it as it
 * arrives. */
static void
run_broken_stream (unsigned resets, Answer *stream)
{
  Fleet *fleet = fleet_new ();

  fleet->event_ms = 300;
  fleet_start_all (fleet);
  fleet_send (fleet, &fleet->entries[0], "/stream/a", "s", stream);
  fleet_run_for (fleet, 150 * FT_MS);
  fleet->resets = resets;
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    fleet->servers[i].mode = fleet->servers[i].streams->len > 0 ? SERVER_CUT_STREAM : SERVER_RESET;
  fleet_run_until (fleet, is_done, stream, "the stream ends");
  if (resets == 1)
    check_stream (fleet, stream);
  else
    {
      g_assert_true (stream->broken);
      g_assert_cmpuint (fleet_run_count (fleet, "s"), <=, 3); /* MaxAttempts is 2 */
      fleet_answer_clear (stream);
    }
  fleet_free (fleet);
}

/* Guards against losing an answer whose next server breaks off before a byte of its head: the route
 * allows two tries, and that one has brought nothing. */
static void
next_server_breaks (void)
{
  Answer stream;

  run_broken_stream (1, &stream);
}

/* Guards against trying on and on: only one such try is left out of the count. */
static void
all_servers_break (void)
{
  Answer stream;

  run_broken_stream (0, &stream);
}

/* Guards against ending a silent try for another place at the same server. */
static void
no_other_server (void)
{
  Fleet *fleet = fleet_new ();
  Answer stream;
  const FleetServer *runs = start_pausing_stream (fleet, &stream);

  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    if (&fleet->servers[i] != runs)
      fleet->servers[i].leaving = true;
  fleet_run_until (fleet, is_done, &stream, "the stream ends");
  check_stream (fleet, &stream);
  g_assert_cmpuint (fleet_run_count (fleet, "s"), ==, 1);
  fleet_free (fleet);
}

/* Guards against a begun answer that waits for a place behind all requests that can still be on
 * time, so that it gets none while there is a queue. */
static void
resumed_beside_a_queue (void)
{
  Fleet *fleet = fleet_new ();
  Answer stream, plain[120];
  char id[16];

  fleet->slots = 1;
  fleet->event_ms = 400;
  fleet->plain_ms = 750; /* longer than the route's GapAimMs */
  fleet_start_all (fleet);
  fleet_send (fleet, &fleet->entries[0], "/stream/a", "s", &stream);
  fleet_run_for (fleet, 200 * FT_MS);
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    if (fleet->servers[i].streams->len > 0)
      fleet->servers[i].mode = SERVER_CUT_STREAM;
  for (unsigned i = 0; i < G_N_ELEMENTS (plain); i++)
    {
      g_snprintf (id, sizeof id, "p%u", i);
      fleet_send_body (fleet, &fleet->entries[1], "/plain/a", id, id, &plain[i]);
      fleet_run_for (fleet, 50 * FT_MS);
    }
  fleet_run_until (fleet, is_done, &stream, "the stream ends");
  for (unsigned i = 0; i < G_N_ELEMENTS (plain); i++)
    {
      fleet_run_until (fleet, is_done, &plain[i], "all plain calls end");
      fleet_answer_clear (&plain[i]);
    }
  check_stream (fleet, &stream);
  fleet_free (fleet);
}

/* ---- A complete answer that its caller has not read yet ---- */

/* Guards against closing a connection whose answer is complete but not sent, when an entry that
 * got SIGTERM closes idle connections. */
static void
unread_answer_at_sigterm (void)
{
  static const char request[]
      = "POST /plain/a HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key\r\n"
        "X-Foxtailgrade-Request-Id: u\r\nX-Foxtailgrade-Deadline-Ms: 8000\r\n"
        "Content-Length: 4\r\n\r\nbody";
  Fleet *fleet = fleet_new ();
  FleetNode *entry = &fleet->entries[0];
  GString *got = g_string_new (NULL);
  int window = 4096;
  char buffer[65536];
  bool ended = false;

  fleet->plain_bytes = UNREAD_ANSWER;
  fleet_start_all (fleet);
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (FLEET_CALLER_PORT),
                            .sin_addr.s_addr = htonl (entry->ip) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  g_assert_cmpint (connect (fd, (struct sockaddr *) &to, sizeof to), ==, 0);
  g_assert_cmpint (send (fd, request, sizeof request - 1, 0), ==, sizeof request - 1);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  fleet_run_for (fleet, 500 * FT_MS);
  fleet_signal (entry, SIGTERM);
  fleet_run_for (fleet, 3 * FT_SECOND);
  for (unsigned turn = 0; turn < 100 && !ended; turn++)
    {
      ssize_t size;
      while ((size = recv (fd, buffer, sizeof buffer, 0)) > 0)
        g_string_append_len (got, buffer, size);
      ended = size == 0 || errno != EAGAIN;
      fleet_run_for (fleet, 10 * FT_MS);
    }
  g_assert_cmpuint (got->len, >, UNREAD_ANSWER);
  close (fd);
  g_string_free (got, TRUE);
  fleet_free (fleet);
}

/* ---- Servers that answer in another way ---- */

typedef struct
{
  LoopTimer timer;
  Fleet *fleet;
  HCall *call;
  unsigned parts;
  bool aborts;
} Odd;

static unsigned odd_runs;
static GPtrArray *odds; /* Odd */

static void
on_odd_timer (LoopTimer *timer)
{
  Odd *odd = (Odd *) timer;
  char part[PART_SIZE];

  if (odd->aborts)
    {
      hcall_abort (odd->call);
      return;
    }
  if (odd->parts++ == PARTS)
    {
      hcall_end (odd->call);
      return;
    }
  memset (part, 'x', sizeof part);
  hcall_write (odd->call, part, sizeof part);
  loop_timer_set (odd->fleet->loop, timer, loop_now (odd->fleet->loop) + PART_US);
}

static Odd *
odd_begin (Fleet *fleet, HCall *call, bool aborts)
{
  Odd *odd = g_new0 (Odd, 1);
  GString *fields = g_string_new (NULL);

  g_ptr_array_add (odds, odd);
  odd_runs++;
  *odd = (Odd){ .timer.fire = on_odd_timer, .fleet = fleet, .call = call, .aborts = aborts };
  hcall_set_user (call, odd);
  hwrite_field (fields, "X-Foxtailgrade-Request-Id",
                hmsg_field (hcall_msg (call), "X-Foxtailgrade-Request-Id"));
  hwrite_field (fields, "X-Foxtailgrade-Server-Signature",
                hmsg_field (hcall_msg (call), "X-Foxtailgrade-Expect-Instance"));
  hwrite_field (fields, "Content-Type", "application/json");
  hcall_begin (call, 200, fields);
  g_string_free (fields, TRUE);
  loop_timer_set (fleet->loop, &odd->timer, loop_now (fleet->loop) + PART_US);
  return odd;
}

static void
on_part_request (void *owner, HCall *call)
{
  if (!fleet_answer_check (call))
    odd_begin (owner, call, false);
}

static void
on_long_request (void *owner, HCall *call)
{
  if (fleet_answer_check (call))
    return;
  char *body = g_malloc (LONG_ANSWER);
  odd_begin (owner, call, true);
  memset (body, 'x', LONG_ANSWER);
  hcall_write (call, body, LONG_ANSWER);
  g_free (body);
}

static void
on_odd_gone (void *owner, HCall *call)
{
  Odd *odd = hcall_user (call);

  if (odd)
    loop_timer_stop (((Fleet *) owner)->loop, &odd->timer);
}

static const HSrvOps part_ops = { on_part_request, on_odd_gone, NULL };
static const HSrvOps long_ops = { on_long_request, on_odd_gone, NULL };

static void
replace_servers (Fleet *fleet, const HSrvOps *ops)
{
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    {
      FleetServer *server = &fleet->servers[i];
      hsrv_free (server->srv);
      server->srv = hsrv_new (fleet->loop, server->listen_addr, ops, fleet);
      g_assert_nonnull (server->srv);
    }
}

/* Guards against taking a plain answer for silent while its parts arrive. */
static void
plain_answer_in_parts (void)
{
  Fleet *fleet = fleet_new ();
  Answer answer;

  odd_runs = 0;
  fleet_start_all (fleet);
  replace_servers (fleet, &part_ops);
  fleet_call (fleet, &fleet->entries[0], "/plain/a", "p", &answer);
  g_assert_cmpuint (answer.status, ==, 200);
  g_assert_cmpuint (answer.body->len, ==, PARTS * PART_SIZE);
  g_assert_cmpuint (odd_runs, ==, 1);
  fleet_answer_clear (&answer);
  fleet_free (fleet);
}

/* Guards against resuming an answer that is no event stream, though its route has streams: an entry
 * must survive when the server breaks it off. */
static void
no_event_stream (void)
{
  Fleet *fleet = fleet_new ();
  Answer answer;

  fleet_start_all (fleet);
  replace_servers (fleet, &long_ops);
  fleet_call (fleet, &fleet->entries[0], "/stream/a", "l", &answer);
  g_assert_true (answer.broken);
  fleet_answer_clear (&answer);
  fleet_run_for (fleet, 500 * FT_MS);
  g_assert_false (fleet_has_exited (&fleet->entries[0]));
  fleet_free (fleet);
}

/* ---- Servers that read the rest of a body later ---- */

#define LATE_BODY (900u << 10) /* more than fits into the buffers on the way */

typedef struct
{
  int fd;
  gint *runs;
} LateReader;

static char *
field_of (const char *head, const char *name)
{
  const char *at = strcasestr (head, name);

  if (at == NULL)
    return g_strdup ("");
  at = strchr (at, ':') + 1;
  return g_strstrip (g_strndup (at, strcspn (at, "\r\n")));
}

/* Answers before it has read the body, and reads on only after the last event. */
static void
answer_before_reading (int fd)
{
  GString *head = g_string_new (NULL), *out = g_string_new (NULL);
  char byte, rest[65536];

  while (strstr (head->str, "\r\n\r\n") == NULL && recv (fd, &byte, 1, 0) == 1)
    g_string_append_c (head, byte);
  char *id = field_of (head->str, "X-Foxtailgrade-Request-Id");
  char *self = field_of (head->str, "X-Foxtailgrade-Expect-Instance");
  char *last = field_of (head->str, "Last-Event-Id");
  g_string_printf (out,
                   "HTTP/1.1 200 OK\r\nX-Foxtailgrade-Request-Id: %s\r\n"
                   "X-Foxtailgrade-Server-Signature: %s\r\nContent-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n",
                   id, self);
  send (fd, out->str, out->len, MSG_NOSIGNAL);
  for (unsigned i = (unsigned) atoi (last) + 1; i <= STREAM_EVENTS; i++)
    {
      char *event = g_strdup_printf ("id: %u\ndata: event %u\n\n", i, i);
      g_string_printf (out, "%zx\r\n%s\r\n", strlen (event), event);
      send (fd, out->str, out->len, MSG_NOSIGNAL);
      g_free (event);
      g_usleep (600 * FT_MS);
    }
  send (fd, "0\r\n\r\n", 5, MSG_NOSIGNAL);
  while (recv (fd, rest, sizeof rest, 0) > 0)
    ;
  close (fd);
  g_free (id);
  g_free (self);
  g_free (last);
  g_string_free (head, TRUE);
  g_string_free (out, TRUE);
}

static void *
late_reader (void *data)
{
  const LateReader *reader = data;
  int fd;

  while ((fd = accept (reader->fd, NULL, NULL)) >= 0)
    {
      g_atomic_int_inc (reader->runs);
      answer_before_reading (fd);
    }
  return NULL;
}

/* Guards against the kernel ending the connection to a server that answers before it has read a
 * long body, with the rest of the answer. */
static void
body_is_read_later (void)
{
  static LateReader readers[FLEET_SERVERS];
  static gint runs;
  Fleet *fleet = fleet_new ();
  Answer stream;
  char *body = g_strnfill (LATE_BODY, 'b');
  int window = 4096, one = 1;

  fleet_start_all (fleet);
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    {
      FleetServer *server = &fleet->servers[i];
      struct sockaddr_in at = { .sin_family = AF_INET,
                                .sin_port = htons (server->listen_addr.port),
                                .sin_addr.s_addr = htonl (server->listen_addr.ip) };
      g_clear_pointer (&server->srv, hsrv_free);
      readers[i] = (LateReader){ socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), &runs };
      setsockopt (readers[i].fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
      setsockopt (readers[i].fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
      g_assert_cmpint (bind (readers[i].fd, (struct sockaddr *) &at, sizeof at), ==, 0);
      g_assert_cmpint (listen (readers[i].fd, 8), ==, 0);
      g_thread_unref (g_thread_new ("reader", late_reader, &readers[i]));
    }
  fleet_send_body (fleet, &fleet->entries[0], "/stream/a", "b", body, &stream);
  fleet_run_until (fleet, is_done, &stream, "the stream ends");
  check_stream (fleet, &stream);
  g_assert_cmpint (g_atomic_int_get (&runs), ==, 1);
  g_free (body);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/begun/replacement_is_rejected", replacement_is_rejected);
  g_test_add_func ("/begun/next_server_breaks", next_server_breaks);
  g_test_add_func ("/begun/all_servers_break", all_servers_break);
  g_test_add_func ("/begun/no_other_server", no_other_server);
  g_test_add_func ("/begun/resumed_beside_a_queue", resumed_beside_a_queue);
  g_test_add_func ("/begun/unread_answer_at_sigterm", unread_answer_at_sigterm);
  g_test_add_func ("/begun/plain_answer_in_parts", plain_answer_in_parts);
  g_test_add_func ("/begun/no_event_stream", no_event_stream);
  g_test_add_func ("/begun/body_is_read_later", body_is_read_later);
  odds = g_ptr_array_new_with_free_func (g_free);
  int status = g_test_run ();
  g_ptr_array_unref (odds);
  return status;
}
