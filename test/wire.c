/* wire.c - the HTTP server and client on loopback, against misbehaving peers. One event loop runs
 * both sides; the peers are raw sockets, and the test writes their bytes. */
#include "hcli.h"
#include "hsrv.h"

#include <malloc.h>
#include <string.h>
#include <unistd.h>

#define TEST_TIMEOUT (20 * FT_SECOND) /* only ends a test that hangs */

static Loop *loop;
static LoopTimer watchdog;
static GPtrArray *open_socks; /* of the raw peers; closed at the end of a test */

static void
on_watchdog (LoopTimer *timer)
{
  (void) timer;
  g_error ("the test timed out");
}

static void
begin (void)
{
  loop = loop_new ();
  g_assert_nonnull (loop);
  open_socks = g_ptr_array_new ();
  watchdog.fire = on_watchdog;
  loop_timer_set (loop, &watchdog, loop_now (loop) + TEST_TIMEOUT);
}

static void
close_raw (Sock *sock, bool reset)
{
  if (g_ptr_array_remove_fast (open_socks, sock))
    sock_close (sock, reset);
}

static void
end (void)
{
  while (open_socks->len > 0)
    close_raw (open_socks->pdata[0], false);
  g_ptr_array_unref (open_socks);
  loop_timer_stop (loop, &watchdog);
  loop_free (loop);
}

/* ---- A raw server that counts requests and sends answers given by the test ---- */

typedef struct
{
  SockListener *listener;
  SockAddr addr;
  const char *answer;        /* sent for each request; NULL: none */
  const char *first_answer;  /* for the first request on each connection; NULL: answer */
  bool reset_second_request; /* reads the second request on a connection and resets it */
  unsigned requests, connections;
  unsigned requests_on_conn;
} RawServer;

static RawServer *raw_server;

static void
raw_on_data (Sock *sock)
{
  size_t size;
  const uint8_t *data = sock_peek (sock, &size);

  if (g_strstr_len ((const char *) data, (gssize) size, "\r\n\r\n") == NULL)
    return;
  sock_consume (sock, size);
  raw_server->requests++;
  raw_server->requests_on_conn++;
  if (raw_server->reset_second_request && raw_server->requests_on_conn == 2)
    {
      close_raw (sock, true);
      return;
    }
  const char *answer = raw_server->requests_on_conn == 1 && raw_server->first_answer
                           ? raw_server->first_answer
                           : raw_server->answer;
  if (answer)
    sock_write (sock, answer, strlen (answer));
}

static void
raw_on_end (Sock *sock, SockEnd how)
{
  (void) how;
  close_raw (sock, false);
}

static const SockOps raw_ops = { NULL, raw_on_data, NULL, raw_on_end };

static void
raw_on_accept (void *owner, int fd, SockAddr peer)
{
  (void) owner;
  raw_server->connections++;
  raw_server->requests_on_conn = 0;
  g_ptr_array_add (open_socks, sock_accepted (loop, fd, peer, &raw_ops, NULL));
}

static void
raw_listen (RawServer *self)
{
  raw_server = self;
  for (uint16_t port = 21000; port < 21400 && raw_server->listener == NULL; port++)
    {
      raw_server->addr = (SockAddr){ 0x7f000001, port };
      raw_server->listener = sock_listen (loop, raw_server->addr, raw_on_accept, NULL);
    }
  g_assert_nonnull (raw_server->listener);
}

/* ---- The client ---- */

typedef struct
{
  HCli *cli;
  unsigned transfers_left; /* to be started */
  unsigned completed, failed, head_count;
  HXferFault fault;
  GString *body;
  const char *expected_id; /* accepted value of X-Id; NULL: any */
} Caller;

static void start_transfer (Caller *caller);

static bool
on_head (void *user, const HMsg *msg)
{
  Caller *caller = user;
  const char *id = hmsg_field (msg, "X-Id");

  if (caller->expected_id && (id == NULL || strcmp (id, caller->expected_id) != 0))
    return false;
  caller->head_count++;
  return true;
}

static void
on_body (void *user, const char *data, size_t size)
{
  g_string_append_len (((Caller *) user)->body, data, (gssize) size);
}

static void
start_next (Caller *caller)
{
  if (caller->transfers_left > 0)
    start_transfer (caller);
  else
    loop_stop (loop);
}

static void
on_end (void *user)
{
  Caller *caller = user;

  caller->completed++;
  start_next (caller);
}

static void
on_failed (void *user, HXferFault fault)
{
  Caller *caller = user;

  caller->failed++;
  caller->fault = fault;
  start_next (caller);
}

static const HXferOps xfer_ops = { on_head, on_body, on_end, on_failed, NULL };

static void
start_transfer (Caller *caller)
{
  HCliTarget target = {
    .addr = raw_server->addr, .key = "k", .connect_us = FT_SECOND, .max_idle_us = 10 * FT_SECOND
  };
  GString *request = g_string_new ("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n");

  caller->transfers_left--;
  g_assert_nonnull (hcli_send (caller->cli, &target, request, &xfer_ops, caller));
  g_string_free (request, TRUE);
}

static Caller
run_transfers (unsigned times)
{
  Caller caller = { .cli = hcli_new (loop), .transfers_left = times, .body = g_string_new (NULL) };

  start_transfer (&caller);
  loop_run (loop);
  return caller;
}

static void
caller_free (Caller *caller)
{
  hcli_free (caller->cli);
  g_string_free (caller->body, TRUE);
  sock_listener_free (raw_server->listener);
}

#define OK "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=9\r\n\r\nok"

/* Guards against a request that runs twice: the server reads the second request on a reused
 * connection and resets it. The client must report that and not send the request again. */
static void
reset_request_is_not_resent (void)
{
  RawServer server = { .answer = OK, .reset_second_request = true };

  begin ();
  raw_listen (&server);
  Caller caller = run_transfers (2);
  g_assert_cmpuint (server.requests, ==, 2);
  g_assert_cmpuint (server.connections, ==, 1);
  g_assert_cmpuint (caller.completed, ==, 1);
  g_assert_cmpuint (caller.failed, ==, 1);
  g_assert_cmpint (caller.fault, ==, HXFER_BROKEN);
  caller_free (&caller);
  end ();
}

/* The server sends two answers to one request. The connection must not be reused, since the next
 * request on it would get the second answer. */
static void
surplus_bytes_close_connection (void)
{
  RawServer server = { .answer = OK OK };

  begin ();
  raw_listen (&server);
  Caller caller = run_transfers (3);
  g_assert_cmpuint (caller.completed, ==, 3);
  g_assert_cmpuint (server.connections, ==, 3);
  g_assert_cmpstr (caller.body->str, ==, "okokok");
  caller_free (&caller);
  end ();
}

/* An answer to another request comes first: it is recognised by its id and skipped. */
static void
foreign_answer_is_skipped (void)
{
  RawServer server = { .answer = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad"
                                 "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\ngood" };

  begin ();
  raw_listen (&server);
  Caller caller = {
    .cli = hcli_new (loop), .transfers_left = 1, .body = g_string_new (NULL), .expected_id = "mine"
  };
  start_transfer (&caller);
  loop_run (loop);
  g_assert_cmpstr (caller.body->str, ==, "good");
  g_assert_cmpuint (caller.completed, ==, 1);
  caller_free (&caller);
  end ();
}

static void
bad_response_is_reported (void)
{
  RawServer server = { .answer = "ho ho ho\r\n\r\n" };

  begin ();
  raw_listen (&server);
  Caller caller = run_transfers (1);
  g_assert_cmpint (caller.fault, ==, HXFER_BAD_RESPONSE);
  caller_free (&caller);
  end ();
}

static void
refused_connect_is_reported (void)
{
  RawServer server = { .answer = OK };

  begin ();
  raw_listen (&server);
  sock_listener_free (server.listener);
  server.listener = NULL;
  Caller caller = run_transfers (1);
  g_assert_cmpint (caller.fault, ==, HXFER_REFUSED);
  hcli_free (caller.cli);
  g_string_free (caller.body, TRUE);
  end ();
}

static void
idle_connection_is_reused (void)
{
  RawServer server = { .answer = OK };

  begin ();
  raw_listen (&server);
  Caller caller = run_transfers (20);
  g_assert_cmpuint (server.connections, ==, 1);
  g_assert_cmpuint (hcli_opened_count (caller.cli), ==, 1);
  g_assert_cmpuint (caller.completed, ==, 20);
  caller_free (&caller);
  end ();
}

static void
stop_later (LoopTimer *timer)
{
  (void) timer;
  loop_stop (loop);
}

/* A scheduler that does not know an entry's connections sends it to other servers, so that almost
 * every request opens a new connection. Therefore the client lists the servers to which it has idle
 * connections, and drops a server that has closed them. */
static void
idle_connections_are_listed (void)
{
  RawServer server = { .answer = OK };
  const char *keys[4];

  begin ();
  raw_listen (&server);
  Caller caller = run_transfers (2);
  g_assert_cmpuint (hcli_idle_keys (caller.cli, keys, G_N_ELEMENTS (keys)), ==, 1);
  g_assert_cmpstr (keys[0], ==, "k");
  g_assert_cmpuint (hcli_idle_keys (caller.cli, keys, 0), ==, 0);
  while (open_socks->len > 0)
    close_raw (open_socks->pdata[0], false);
  LoopTimer later = { .fire = stop_later };
  loop_timer_set (loop, &later, loop_now (loop) + 20 * FT_MS);
  loop_run (loop);
  g_assert_cmpuint (hcli_idle_keys (caller.cli, keys, G_N_ELEMENTS (keys)), ==, 0);
  caller_free (&caller);
  end ();
}

/* ---- The server ---- */

typedef struct
{
  HSrv *srv;
  SockAddr addr;
  unsigned requests, gone;
  bool withhold_answer; /* send no answer */
  bool begin;           /* send a part of the answer, the rest after the server has stopped */
  HCall *open_call;
  GString *received; /* by the raw caller */
  GString *bodies;
  const char *stop_text; /* the loop stops when the raw caller has received this */
  bool ended;
} FrontServer;

static void
front_on_request (void *owner, HCall *call)
{
  FrontServer *front = owner;

  front->requests++;
  g_string_append_len (front->bodies, (const char *) hcall_body (call)->data,
                       hcall_body (call)->len);
  g_string_append_c (front->bodies, '|');
  if (front->begin)
    {
      front->open_call = call;
      hcall_begin (call, 200, NULL);
      hcall_write (call, "part", 4);
    }
  else if (!front->withhold_answer)
    hcall_reply (call, 200, NULL, "fine", 4);
}

static void
front_on_gone (void *owner, HCall *call)
{
  (void) call;
  ((FrontServer *) owner)->gone++;
  loop_stop (loop);
}

static const HSrvOps front_ops = { front_on_request, front_on_gone, NULL };

static void
caller_on_data (Sock *sock)
{
  FrontServer *front = sock->owner;
  size_t size;
  const uint8_t *data = sock_peek (sock, &size);

  g_string_append_len (front->received, (const char *) data, (gssize) size);
  sock_consume (sock, size);
  if (front->stop_text && strstr (front->received->str, front->stop_text))
    loop_stop (loop);
}

static void
caller_on_end (Sock *sock, SockEnd how)
{
  FrontServer *front = sock->owner;

  (void) how;
  front->ended = true;
  close_raw (sock, false);
  loop_stop (loop);
}

static const SockOps caller_ops = { NULL, caller_on_data, NULL, caller_on_end };

static Sock *
connect_and_send (FrontServer *front, const char *bytes)
{
  static const HSrvLimits limits = { 2048, 64, 20 * FT_SECOND, 20 * FT_SECOND, 0, 0 };

  begin ();
  for (uint16_t port = 21400; port < 21800 && front->srv == NULL; port++)
    {
      front->addr = (SockAddr){ 0x7f000001, port };
      front->srv = hsrv_new (loop, front->addr, &front_ops, front);
    }
  g_assert_nonnull (front->srv);
  hsrv_set_limits (front->srv, &limits);
  front->received = g_string_new (NULL);
  front->bodies = g_string_new (NULL);
  Sock *sock = sock_connect (loop, front->addr, &caller_ops, front);
  g_ptr_array_add (open_socks, sock);
  sock_write (sock, bytes, strlen (bytes));
  return sock;
}

static void
front_free (FrontServer *front)
{
  hsrv_free (front->srv);
  g_string_free (front->received, TRUE);
  g_string_free (front->bodies, TRUE);
  end ();
}

/* Request smuggling: with two lengths, or a length and chunks, programs on the path disagree about
 * the end of the body, and the server could run a request hidden in it. Each such message is
 * rejected as a whole. */
static void
smuggled_requests_are_refused (void)
{
  static const char *const bad[] = {
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 40\r\n\r\nabcd",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
    "0\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1x\r\n\r\nabcd",
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      FrontServer front = { .stop_text = "HTTP/1.1 400" };
      connect_and_send (&front, bad[i]);
      loop_run (loop);
      g_assert_nonnull (strstr (front.received->str, "HTTP/1.1 400"));
      g_assert_cmpuint (front.requests, ==, 0);
      front_free (&front);
    }
}

static void
large_requests_are_refused (void)
{
  GString *head = g_string_new ("GET / HTTP/1.1\r\nX: ");
  FrontServer front = { .stop_text = "HTTP/1.1 431" };
  FrontServer body = { .stop_text = "HTTP/1.1 413" };

  for (int i = 0; i < 3000; i++)
    g_string_append_c (head, 'a');
  connect_and_send (&front, head->str);
  loop_run (loop);
  g_assert_cmpuint (front.requests, ==, 0);
  front_free (&front);
  connect_and_send (&body, "POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n");
  loop_run (loop);
  g_assert_cmpuint (body.requests, ==, 0);
  front_free (&body);
  g_string_free (head, TRUE);
}

static void
requests_follow_on_one_connection (void)
{
  FrontServer front
      = { .stop_text = "fineHTTP/1.1 200 OK\r\nKeep-Alive: timeout=20\r\nContent-Length: "
                       "4\r\n\r\nfine" };

  connect_and_send (&front, "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nabPOST / HTTP/1.1\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n2\r\ncd\r\n0\r\n\r\n");
  loop_run (loop);
  g_assert_cmpuint (front.requests, ==, 2);
  g_assert_cmpstr (front.bodies->str, ==, "ab|cd|");
  front_free (&front);
}

static void
close_while_waiting (void *data)
{
  FrontServer *front = data;

  if (front->requests == 1 && front->withhold_answer)
    {
      front->withhold_answer = false;
      close_raw ((Sock *) (uintptr_t) front->stop_text, false);
    }
}

/* The caller disconnects while its request waits. This must be reported although nothing is read
 * from the connection meanwhile; otherwise a server would work for a caller that is gone. */
static void
caller_disconnect_is_reported (void)
{
  FrontServer front = { .withhold_answer = true };
  Sock *sock = connect_and_send (&front, "GET / HTTP/1.1\r\n\r\n");

  front.stop_text = (const char *) (uintptr_t) sock; /* close_while_waiting () closes it */
  loop_add_before_wait (loop, close_while_waiting, &front);
  loop_run (loop);
  g_assert_cmpuint (front.gone, ==, 1);
  front.stop_text = NULL;
  front_free (&front);
}

static void
stop_after_first_part (void *data)
{
  FrontServer *front = data;
  HCall *call = front->open_call;

  if (call == NULL || strstr (front->received->str, "part") == NULL)
    return;
  front->open_call = NULL;
  hsrv_stop_accepting (front->srv);
  hcall_end (call);
}

/* An entry stops accepting requests during an answer whose head has promised keep-alive. The
 * connection must be closed after that answer: the caller's next request on it would be lost when
 * the entry exits. */
static void
stopped_server_closes_connection (void)
{
  FrontServer front = { .begin = true };

  connect_and_send (&front, "GET / HTTP/1.1\r\n\r\n");
  loop_add_before_wait (loop, stop_after_first_part, &front);
  loop_run (loop);
  g_assert_true (front.ended);
  g_assert_true (g_str_has_suffix (front.received->str, "part\r\n0\r\n\r\n"));
  front_free (&front);
}

/* ---- The loop ---- */

#define POSTED_CALLS 1000

typedef struct
{
  LoopTimer timer;
  unsigned run, run_at_timer;
} PostedState;

static PostedState posted;

static void
on_posted (void *data)
{
  g_assert_cmpuint (GPOINTER_TO_UINT (data), ==, posted.run);
  if (++posted.run == POSTED_CALLS)
    loop_stop (loop);
}

static void
on_posted_timer (LoopTimer *timer)
{
  (void) timer;
  posted.run_at_timer = posted.run;
}

/* A thousand calls were posted at once, and a timer is due. Guards against a timer that waits for
 * all of them: it must fire after some tens, and the calls must keep their order. */
static void
posted_calls_do_not_delay_timers (void)
{
  begin ();
  posted = (PostedState){ .timer.fire = on_posted_timer, .run_at_timer = POSTED_CALLS };
  for (unsigned i = 0; i < POSTED_CALLS; i++)
    loop_post (loop, on_posted, GUINT_TO_POINTER (i));
  loop_timer_set (loop, &posted.timer, loop_now (loop));
  loop_run (loop);
  g_assert_cmpuint (posted.run, ==, POSTED_CALLS);
  g_assert_cmpuint (posted.run_at_timer, <=, 64);
  end ();
}

/* ---- Data of a connection that is closed while it is read ---- */

typedef struct
{
  unsigned read, intact; /* bytes after the close */
} ClosedRead;

/* Closes the connection, as the end of a request does from within a reader's callback, and goes on
 * reading as that reader does. */
static void
on_read_and_close (Sock *sock)
{
  ClosedRead *closed = sock->owner;
  size_t size;
  const uint8_t *data = sock_peek (sock, &size);

  sock_close (sock, false);
  for (size_t i = 0; i < size; i++)
    {
      closed->read++;
      closed->intact += data[i] == 'd';
    }
  loop_stop (loop);
}

static void
on_closed_read_end (Sock *sock, SockEnd how)
{
  (void) sock;
  (void) how;
  g_assert_not_reached ();
}

static void
accept_closed_read (void *owner, int fd, SockAddr peer)
{
  static const SockOps ops = { NULL, on_read_and_close, NULL, on_closed_read_end };

  g_assert_nonnull (sock_accepted (loop, fd, peer, &ops, owner));
}

static void
ignore_sock (Sock *sock)
{
  (void) sock;
}

static void
ignore_end (Sock *sock, SockEnd how)
{
  (void) sock;
  (void) how;
}

/* Guards against reading memory that was freed when the connection was closed from within the
 * reader: freed bytes are overwritten here. */
static void
data_outlives_close (void)
{
  static const SockOps ops = { ignore_sock, ignore_sock, NULL, ignore_end };
  ClosedRead closed = { 0 };
  SockListener *listener = NULL;
  SockAddr addr = { 0x7f000001, 23900 };
  char data[4000];

  begin ();
  mallopt (M_PERTURB, 0x5a);
  for (; listener == NULL && addr.port < 24300; addr.port++)
    listener = sock_listen (loop, addr, accept_closed_read, &closed);
  g_assert_nonnull (listener);
  addr.port--;
  Sock *sender = sock_connect (loop, addr, &ops, NULL);
  g_assert_nonnull (sender);
  memset (data, 'd', sizeof data);
  sock_write (sender, data, sizeof data);
  loop_run (loop);
  g_assert_cmpuint (closed.read, >, 0);
  g_assert_cmpuint (closed.intact, ==, closed.read);
  mallopt (M_PERTURB, 0);
  sock_close (sender, false);
  sock_listener_free (listener);
  end ();
}

/* ---- Timers that are always due ---- */

#define ALARM_S 20 /* ends a loop that does not return from its timers */

static unsigned fire_count;

static void
fire_again (LoopTimer *timer)
{
  fire_count++;
  loop_timer_set (loop, timer, loop_now (loop));
}

static void
stop_loop (void *data)
{
  *(unsigned *) data = fire_count;
  loop_stop (loop);
}

/* Guards against a loop that sees neither descriptors nor calls any more since timers arm each
 * other for the present. */
static void
timers_always_due (void)
{
  LoopTimer timers[2] = { { .fire = fire_again }, { .fire = fire_again } };
  unsigned fired = 0;

  begin ();
  alarm (ALARM_S);
  for (unsigned i = 0; i < 2; i++)
    loop_timer_set (loop, &timers[i], loop_now (loop));
  loop_post (loop, stop_loop, &fired);
  loop_run (loop);
  loop_post (loop, stop_loop, &fired);
  loop_run (loop);
  alarm (0);
  g_assert_cmpuint (fired, >=, 2);
  for (unsigned i = 0; i < 2; i++)
    loop_timer_stop (loop, &timers[i]);
  end ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/wire/client/once", reset_request_is_not_resent);
  g_test_add_func ("/wire/client/behind", surplus_bytes_close_connection);
  g_test_add_func ("/wire/client/foreign", foreign_answer_is_skipped);
  g_test_add_func ("/wire/client/garbage", bad_response_is_reported);
  g_test_add_func ("/wire/client/nobody", refused_connect_is_reported);
  g_test_add_func ("/wire/client/kept", idle_connection_is_reused);
  g_test_add_func ("/wire/client/idle_keys", idle_connections_are_listed);
  g_test_add_func ("/wire/server/smuggled", smuggled_requests_are_refused);
  g_test_add_func ("/wire/server/large", large_requests_are_refused);
  g_test_add_func ("/wire/server/pipelined", requests_follow_on_one_connection);
  g_test_add_func ("/wire/server/leaves", caller_disconnect_is_reported);
  g_test_add_func ("/wire/server/closed", stopped_server_closes_connection);
  g_test_add_func ("/wire/loop/posted", posted_calls_do_not_delay_timers);
  g_test_add_func ("/wire/data_outlives_close", data_outlives_close);
  g_test_add_func ("/wire/timers_always_due", timers_always_due);
  return g_test_run ();
}
