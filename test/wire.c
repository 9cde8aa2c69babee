/* wire.c - the HTTP server and client on loopback, against peers that misbehave. One loop runs both
 * sides; peers are raw sockets whose bytes the test writes. */
#include "hcli.h"
#include "hsrv.h"

#include <string.h>

#define GIVE_UP (20 * FT_SECOND) /* a test that hangs fails; none depends on how long it takes */

static Loop *loop;
static LoopTimer guard;
static GPtrArray *open_socks; /* of the raw peers, closed at the test's end */

static void
on_guard (LoopTimer *timer)
{
  (void) timer;
  g_error ("nothing happened for too long");
}

static void
begin (void)
{
  loop = loop_new ();
  g_assert_nonnull (loop);
  open_socks = g_ptr_array_new ();
  guard.fire = on_guard;
  loop_timer_set (loop, &guard, loop_now (loop) + GIVE_UP);
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
  loop_timer_stop (loop, &guard);
  loop_free (loop);
}

/* ---- A raw server: counts requests, answers what the test says ---- */

typedef struct
{
  SockListener *listener;
  SockAddr addr;
  const char *answer; /* to each request; NULL: none */
  const char *first;  /* to the first one on each connection; NULL: answer */
  bool reset_second;  /* read a second request on a connection and reset it */
  unsigned requests, connections;
  unsigned on_this;
} Raw;

static Raw *raw;

static void
raw_data (Sock *sock)
{
  size_t size;
  const uint8_t *data = sock_peek (sock, &size);

  if (g_strstr_len ((const char *) data, (gssize) size, "\r\n\r\n") == NULL)
    return;
  sock_consume (sock, size);
  raw->requests++;
  raw->on_this++;
  if (raw->reset_second && raw->on_this == 2)
    {
      close_raw (sock, true);
      return;
    }
  const char *answer = raw->on_this == 1 && raw->first ? raw->first : raw->answer;
  if (answer)
    sock_write (sock, answer, strlen (answer));
}

static void
raw_ended (Sock *sock, SockEnd how)
{
  (void) how;
  close_raw (sock, false);
}

static const SockOps raw_ops = { NULL, raw_data, NULL, raw_ended };

static void
raw_accept (void *owner, int fd, SockAddr peer)
{
  (void) owner;
  raw->connections++;
  raw->on_this = 0;
  g_ptr_array_add (open_socks, sock_accepted (loop, fd, peer, &raw_ops, NULL));
}

static void
raw_listen (Raw *self)
{
  raw = self;
  for (uint16_t port = 21000; port < 21400 && raw->listener == NULL; port++)
    {
      raw->addr = (SockAddr){ 0x7f000001, port };
      raw->listener = sock_listen (loop, raw->addr, raw_accept, NULL);
    }
  g_assert_nonnull (raw->listener);
}

/* ---- The client ---- */

typedef struct
{
  HCli *cli;
  unsigned left; /* transfers still to start */
  unsigned ends, failures, heads;
  HXferFault fault;
  GString *body;
  const char *mine; /* value of X-Id that is ours; NULL: any */
} Caller;

static void start_one (Caller *caller);

static bool
on_head (void *user, const HMsg *msg)
{
  Caller *caller = user;
  const char *id = hmsg_field (msg, "X-Id");

  if (caller->mine && (id == NULL || strcmp (id, caller->mine) != 0))
    return false;
  caller->heads++;
  return true;
}

static void
on_body (void *user, const char *data, size_t size)
{
  g_string_append_len (((Caller *) user)->body, data, (gssize) size);
}

static void
next (Caller *caller)
{
  if (caller->left > 0)
    start_one (caller);
  else
    loop_stop (loop);
}

static void
on_end (void *user)
{
  Caller *caller = user;

  caller->ends++;
  next (caller);
}

static void
on_failed (void *user, HXferFault fault)
{
  Caller *caller = user;

  caller->failures++;
  caller->fault = fault;
  next (caller);
}

static const HXferOps xfer_ops = { on_head, on_body, on_end, on_failed };

static void
start_one (Caller *caller)
{
  HCliTarget target = { raw->addr, "k", FT_SECOND, 10 * FT_SECOND, false };
  GString *request = g_string_new ("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n");

  caller->left--;
  g_assert_nonnull (hcli_send (caller->cli, &target, request, &xfer_ops, caller));
  g_string_free (request, TRUE);
}

static Caller
call (unsigned times)
{
  Caller caller = { .cli = hcli_new (loop), .left = times, .body = g_string_new (NULL) };

  start_one (&caller);
  loop_run (loop);
  return caller;
}

static void
call_end (Caller *caller)
{
  hcli_free (caller->cli);
  g_string_free (caller->body, TRUE);
  sock_listener_free (raw->listener);
}

#define OK "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=9\r\n\r\nok"

/* The caller's order is placed twice. The server reads the second request on a kept connection and
 * resets it; a client that sends again by itself reaches it three times. It must be told instead.
 */
static void
reset_after_reading_is_not_sent_again (void)
{
  Raw server = { .answer = OK, .reset_second = true };

  begin ();
  raw_listen (&server);
  Caller caller = call (2);
  g_assert_cmpuint (server.requests, ==, 2);
  g_assert_cmpuint (server.connections, ==, 1);
  g_assert_cmpuint (caller.ends, ==, 1);
  g_assert_cmpuint (caller.failures, ==, 1);
  g_assert_cmpint (caller.fault, ==, HXFER_BROKEN);
  call_end (&caller);
  end ();
}

/* A second answer comes behind the first. The next request on that connection would get it. The
 * connection is not used again. */
static void
bytes_behind_an_answer_spoil_the_connection (void)
{
  Raw server = { .answer = OK OK };

  begin ();
  raw_listen (&server);
  Caller caller = call (3);
  g_assert_cmpuint (caller.ends, ==, 3);
  g_assert_cmpuint (server.connections, ==, 3);
  g_assert_cmpstr (caller.body->str, ==, "okokok");
  call_end (&caller);
  end ();
}

/* An answer to another request comes first. It is skipped by its id, ours is taken. */
static void
foreign_answer_is_skipped (void)
{
  Raw server = { .answer = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad"
                           "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\ngood" };

  begin ();
  raw_listen (&server);
  Caller caller
      = { .cli = hcli_new (loop), .left = 1, .body = g_string_new (NULL), .mine = "mine" };
  start_one (&caller);
  loop_run (loop);
  g_assert_cmpstr (caller.body->str, ==, "good");
  g_assert_cmpuint (caller.ends, ==, 1);
  call_end (&caller);
  end ();
}

static void
garbage_is_a_failure (void)
{
  Raw server = { .answer = "ho ho ho\r\n\r\n" };

  begin ();
  raw_listen (&server);
  Caller caller = call (1);
  g_assert_cmpint (caller.fault, ==, HXFER_BAD_RESPONSE);
  call_end (&caller);
  end ();
}

static void
nobody_listens (void)
{
  Raw server = { .answer = OK };

  begin ();
  raw_listen (&server);
  sock_listener_free (server.listener);
  server.listener = NULL;
  Caller caller = call (1);
  g_assert_cmpint (caller.fault, ==, HXFER_REFUSED);
  hcli_free (caller.cli);
  g_string_free (caller.body, TRUE);
  end ();
}

static void
kept_connections_are_used (void)
{
  Raw server = { .answer = OK };

  begin ();
  raw_listen (&server);
  Caller caller = call (20);
  g_assert_cmpuint (server.connections, ==, 1);
  g_assert_cmpuint (hcli_opened_count (caller.cli), ==, 1);
  g_assert_cmpuint (caller.ends, ==, 20);
  call_end (&caller);
  end ();
}

static void
stop_later (LoopTimer *timer)
{
  (void) timer;
  loop_stop (loop);
}

/* A scheduler that does not know to whom an entry is connected sends it to others, and a new
 * connection is opened for nearly each request. The client names the servers to which it has idle
 * connections, and no longer once the server has closed them. */
static void
idle_connections_are_named (void)
{
  Raw server = { .answer = OK };
  const char *keys[4];

  begin ();
  raw_listen (&server);
  Caller caller = call (2);
  g_assert_cmpuint (hcli_idle_keys (caller.cli, keys, G_N_ELEMENTS (keys)), ==, 1);
  g_assert_cmpstr (keys[0], ==, "k");
  g_assert_cmpuint (hcli_idle_keys (caller.cli, keys, 0), ==, 0);
  while (open_socks->len > 0)
    close_raw (open_socks->pdata[0], false);
  LoopTimer later = { .fire = stop_later };
  loop_timer_set (loop, &later, loop_now (loop) + 20 * FT_MS);
  loop_run (loop);
  g_assert_cmpuint (hcli_idle_keys (caller.cli, keys, G_N_ELEMENTS (keys)), ==, 0);
  call_end (&caller);
  end ();
}

/* ---- The server ---- */

typedef struct
{
  HSrv *srv;
  SockAddr addr;
  unsigned requests, gone;
  bool hold;  /* answer nothing */
  bool begin; /* begin an answer, and end it once the server has been closed */
  HCall *begun;
  GString *got; /* what the raw caller was sent */
  GString *bodies;
  const char *until; /* stop once the raw caller has got this */
  bool ended;
} Front;

static void
front_request (void *owner, HCall *call)
{
  Front *front = owner;

  front->requests++;
  g_string_append_len (front->bodies, (const char *) hcall_body (call)->data,
                       hcall_body (call)->len);
  g_string_append_c (front->bodies, '|');
  if (front->begin)
    {
      front->begun = call;
      hcall_begin (call, 200, NULL);
      hcall_write (call, "part", 4);
    }
  else if (!front->hold)
    hcall_reply (call, 200, NULL, "fine", 4);
}

static void
front_gone (void *owner, HCall *call)
{
  (void) call;
  ((Front *) owner)->gone++;
  loop_stop (loop);
}

static const HSrvOps front_ops = { front_request, front_gone, NULL };

static void
caller_data (Sock *sock)
{
  Front *front = sock->owner;
  size_t size;
  const uint8_t *data = sock_peek (sock, &size);

  g_string_append_len (front->got, (const char *) data, (gssize) size);
  sock_consume (sock, size);
  if (front->until && strstr (front->got->str, front->until))
    loop_stop (loop);
}

static void
caller_ended (Sock *sock, SockEnd how)
{
  Front *front = sock->owner;

  (void) how;
  front->ended = true;
  close_raw (sock, false);
  loop_stop (loop);
}

static const SockOps caller_ops = { NULL, caller_data, NULL, caller_ended };

static Sock *
talk (Front *front, const char *bytes)
{
  static const HSrvLimits limits = { 2048, 64, 20 * FT_SECOND, 20 * FT_SECOND };

  begin ();
  for (uint16_t port = 21400; port < 21800 && front->srv == NULL; port++)
    {
      front->addr = (SockAddr){ 0x7f000001, port };
      front->srv = hsrv_new (loop, front->addr, &front_ops, front);
    }
  g_assert_nonnull (front->srv);
  hsrv_set_limits (front->srv, &limits);
  front->got = g_string_new (NULL);
  front->bodies = g_string_new (NULL);
  Sock *sock = sock_connect (loop, front->addr, &caller_ops, front);
  g_ptr_array_add (open_socks, sock);
  sock_write (sock, bytes, strlen (bytes));
  return sock;
}

static void
talk_end (Front *front)
{
  hsrv_free (front->srv);
  g_string_free (front->got, TRUE);
  g_string_free (front->bodies, TRUE);
  end ();
}

/* A caller hides a request in another's body, by two lengths or a length with chunks. Programs on
 * the path see different ends of the body, and the server runs a request that nobody sent. Each
 * such message is refused whole. */
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
      Front front = { .until = "HTTP/1.1 400" };
      talk (&front, bad[i]);
      loop_run (loop);
      g_assert_nonnull (strstr (front.got->str, "HTTP/1.1 400"));
      g_assert_cmpuint (front.requests, ==, 0);
      talk_end (&front);
    }
}

static void
large_requests_are_refused (void)
{
  GString *head = g_string_new ("GET / HTTP/1.1\r\nX: ");
  Front front = { .until = "HTTP/1.1 431" };
  Front body = { .until = "HTTP/1.1 413" };

  for (int i = 0; i < 3000; i++)
    g_string_append_c (head, 'a');
  talk (&front, head->str);
  loop_run (loop);
  g_assert_cmpuint (front.requests, ==, 0);
  talk_end (&front);
  talk (&body, "POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n");
  loop_run (loop);
  g_assert_cmpuint (body.requests, ==, 0);
  talk_end (&body);
  g_string_free (head, TRUE);
}

static void
requests_follow_on_one_connection (void)
{
  Front front = { .until = "fineHTTP/1.1 200 OK\r\nKeep-Alive: timeout=20\r\nContent-Length: "
                           "4\r\n\r\nfine" };

  talk (&front, "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nabPOST / HTTP/1.1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n2\r\ncd\r\n0\r\n\r\n");
  loop_run (loop);
  g_assert_cmpuint (front.requests, ==, 2);
  g_assert_cmpstr (front.bodies->str, ==, "ab|cd|");
  talk_end (&front);
}

static void
close_when_held (void *data)
{
  Front *front = data;

  if (front->requests == 1 && front->hold)
    {
      front->hold = false;
      close_raw ((Sock *) (uintptr_t) front->until, false);
    }
}

/* The caller leaves while its request waits. Unnoticed, a server works for nobody. The close is
 * reported although nothing is read from the connection meanwhile. */
static void
caller_that_leaves_is_noticed (void)
{
  Front front = { .hold = true };
  Sock *sock = talk (&front, "GET / HTTP/1.1\r\n\r\n");

  front.until = (const char *) (uintptr_t) sock;
  loop_add_before_wait (loop, close_when_held, &front);
  loop_run (loop);
  g_assert_cmpuint (front.gone, ==, 1);
  front.until = NULL;
  talk_end (&front);
}

static void
close_when_begun (void *data)
{
  Front *front = data;
  HCall *call = front->begun;

  if (call == NULL || strstr (front->got->str, "part") == NULL)
    return;
  front->begun = NULL;
  hsrv_stop_accepting (front->srv);
  hcall_end (call);
}

/* A caller's request is cut when an entry ends. The entry was closed while an answer was under way
 * that had promised to keep the connection, and the caller sent another request on it. The
 * connection is closed behind that answer. */
static void
closed_server_keeps_no_connection (void)
{
  Front front = { .begin = true };

  talk (&front, "GET / HTTP/1.1\r\n\r\n");
  loop_add_before_wait (loop, close_when_begun, &front);
  loop_run (loop);
  g_assert_true (front.ended);
  g_assert_true (g_str_has_suffix (front.got->str, "part\r\n0\r\n\r\n"));
  talk_end (&front);
}

/* ---- The loop ---- */

#define POSTED 1000

typedef struct
{
  LoopTimer timer;
  unsigned run, when_fired;
} Posted;

static Posted posted;

static void
on_posted (void *data)
{
  g_assert_cmpuint (GPOINTER_TO_UINT (data), ==, posted.run);
  if (++posted.run == POSTED)
    loop_stop (loop);
}

static void
on_posted_timer (LoopTimer *timer)
{
  (void) timer;
  posted.when_fired = posted.run;
}

/* Another thread has posted a thousand calls at once, and a timer is due. The timer waited for all
 * of them; it fires after some tens, and the calls keep their order. */
static void
posted_calls_leave_room (void)
{
  begin ();
  posted = (Posted){ .timer.fire = on_posted_timer, .when_fired = POSTED };
  for (unsigned i = 0; i < POSTED; i++)
    loop_post (loop, on_posted, GUINT_TO_POINTER (i));
  loop_timer_set (loop, &posted.timer, loop_now (loop));
  loop_run (loop);
  g_assert_cmpuint (posted.run, ==, POSTED);
  g_assert_cmpuint (posted.when_fired, <=, 64);
  end ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/wire/client/once", reset_after_reading_is_not_sent_again);
  g_test_add_func ("/wire/client/behind", bytes_behind_an_answer_spoil_the_connection);
  g_test_add_func ("/wire/client/foreign", foreign_answer_is_skipped);
  g_test_add_func ("/wire/client/garbage", garbage_is_a_failure);
  g_test_add_func ("/wire/client/nobody", nobody_listens);
  g_test_add_func ("/wire/client/kept", kept_connections_are_used);
  g_test_add_func ("/wire/client/idle_keys", idle_connections_are_named);
  g_test_add_func ("/wire/server/smuggled", smuggled_requests_are_refused);
  g_test_add_func ("/wire/server/large", large_requests_are_refused);
  g_test_add_func ("/wire/server/pipelined", requests_follow_on_one_connection);
  g_test_add_func ("/wire/server/leaves", caller_that_leaves_is_noticed);
  g_test_add_func ("/wire/server/closed", closed_server_keeps_no_connection);
  g_test_add_func ("/wire/loop/posted", posted_calls_leave_room);
  return g_test_run ();
}
