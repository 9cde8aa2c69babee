/* hsrv.c - one record a connection, one request at a time.
 *
 * A caller that leaves is noticed while its request waits and while it is answered: the socket
 * reports the close even when nothing is read from it.
 */
#include "hsrv.h"

#include <string.h>
#include <sys/socket.h>
#include <urcu/list.h>

/* Tuning; each row with its reason. */
#define LINGER       (1 * FT_SECOND) /* a caller reads the last answer and closes within that */
#define UNSENT_MOST  (4u << 20)      /* a caller that does not read its answer is given up */
#define FIELDS_GUESS 512             /* bytes of a head, first allocation */

typedef enum
{
  CONN_READING,   /* between requests or within one */
  CONN_WAITING,   /* handed over, not yet answered */
  CONN_ANSWERING, /* head of the answer is out */
  CONN_LINGERING  /* the last answer is out; waits for the caller's close */
} ConnState;

typedef struct
{
  struct cds_list_head link;
  HSrv *srv;
  Sock *sock;
  HRead *read;
  ConnState state;
  LoopTimer timer;
  HCall *call;
} Conn;

struct HCall
{
  Conn *conn;
  HMsg *msg; /* the reader's */
  GByteArray *body;
  int64_t arrived;
  bool whole, keep, no_body;
  void *user;
};

struct HSrv
{
  Loop *loop;
  SockListener *listener;
  const HSrvOps *ops;
  void *owner;
  HSrvLimits limits;
  struct cds_list_head conns;
  unsigned count, busy;
  bool last_answers, closed;
};

static void take_requests (Conn *conn);

/* ---- Connections ---- */

static void
free_call (Conn *conn)
{
  if (conn->call == NULL)
    return;
  g_byte_array_unref (conn->call->body);
  g_free (conn->call);
  conn->call = NULL;
  conn->srv->busy--;
}

static void
close_conn (Conn *conn, bool reset)
{
  HSrv *srv = conn->srv;

  free_call (conn);
  loop_timer_stop (srv->loop, &conn->timer);
  sock_close (conn->sock, reset);
  hread_free (conn->read);
  cds_list_del (&conn->link);
  srv->count--;
  loop_free_later (srv->loop, conn);
}

/* Failure: closing a socket with unread bytes resets it. Symptom: the caller loses the last answer,
 * which lies in its buffer. So the sending side is closed first and what comes is thrown away. */
static void
linger (Conn *conn)
{
  conn->state = CONN_LINGERING;
  sock_pause (conn->sock, false);
  shutdown (conn->sock->fd.fd, SHUT_WR);
  loop_timer_set (conn->srv->loop, &conn->timer, loop_now (conn->srv->loop) + LINGER);
}

static void
finish (Conn *conn)
{
  /* Failure: an answer began before the server was closed, and promised to keep the connection.
   * Symptom: its caller sends another request, which is cut when the process ends. */
  bool keep = conn->call->keep && !conn->srv->closed;

  free_call (conn);
  conn->state = CONN_READING;
  if (!keep)
    {
      if (sock_unsent (conn->sock) == 0)
        linger (conn);
      else
        conn->state = CONN_LINGERING; /* goes on when all is sent */
      return;
    }
  loop_timer_set (conn->srv->loop, &conn->timer,
                  loop_now (conn->srv->loop) + conn->srv->limits.idle_us);
  sock_pause (conn->sock, false);
  take_requests (conn);
}

static void
refuse_syntax (Conn *conn, HReadFault fault)
{
  unsigned status = fault == HREAD_HEAD_TOO_LARGE ? 431 : fault == HREAD_BODY_TOO_LARGE ? 413 : 400;
  GString *out = g_string_sized_new (FIELDS_GUESS);

  hwrite_status_line (out, status);
  hwrite_field (out, "Connection", "close");
  hwrite_number (out, "Content-Length", 0);
  hwrite_end (out);
  sock_write (conn->sock, out->str, out->len);
  g_string_free (out, TRUE);
  free_call (conn);
  conn->state = CONN_LINGERING;
  if (sock_unsent (conn->sock) == 0)
    linger (conn);
}

/* ---- Reading ---- */

static void
on_head (void *user, HMsg *msg)
{
  Conn *conn = user;
  const char *expect = hmsg_field (msg, "Expect");
  static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";

  conn->call->msg = msg;
  conn->call->keep = hmsg_keeps_connection (msg);
  conn->call->no_body = strcmp (hmsg_method (msg), "HEAD") == 0;
  if (expect && g_ascii_strcasecmp (expect, "100-continue") == 0)
    sock_write (conn->sock, interim, sizeof interim - 1);
}

static void
on_body (void *user, const char *data, size_t size)
{
  Conn *conn = user;

  g_byte_array_append (conn->call->body, (const guint8 *) data, (guint) size);
}

static void
on_end (void *user)
{
  Conn *conn = user;

  conn->call->whole = true;
}

static const HReadOps read_ops = { on_head, on_body, on_end };

static void
start_call (Conn *conn)
{
  HCall *call = g_new0 (HCall, 1);

  call->conn = conn;
  call->body = g_byte_array_new ();
  call->arrived = loop_now (conn->srv->loop);
  conn->call = call;
  conn->srv->busy++;
  loop_timer_set (conn->srv->loop, &conn->timer, call->arrived + conn->srv->limits.head_us);
}

static void
take_requests (Conn *conn)
{
  size_t size;
  HReadFault fault;

  while (conn->state == CONN_READING)
    {
      const uint8_t *data = sock_peek (conn->sock, &size);
      if (size == 0)
        return;
      if (conn->call == NULL)
        {
          hread_limits (conn->read, conn->srv->limits.head_bytes, conn->srv->limits.body_bytes);
          start_call (conn);
        }
      size_t used = hread_feed (conn->read, data, size, &fault);
      sock_consume (conn->sock, used);
      if (fault)
        {
          refuse_syntax (conn, fault);
          return;
        }
      if (!conn->call->whole)
        return;
      conn->state = CONN_WAITING;
      loop_timer_stop (conn->srv->loop, &conn->timer);
      sock_pause (conn->sock, true);
      conn->srv->ops->request (conn->srv->owner, conn->call);
    }
}

static void
on_data (Sock *sock)
{
  Conn *conn = sock->owner;
  size_t size;

  if (conn->state == CONN_READING)
    take_requests (conn);
  else if (conn->state == CONN_LINGERING)
    {
      sock_peek (sock, &size);
      sock_consume (sock, size);
    }
}

static void
on_drained (Sock *sock)
{
  Conn *conn = sock->owner;

  if (conn->state == CONN_LINGERING)
    linger (conn);
}

static void
on_ended (Sock *sock, SockEnd how)
{
  Conn *conn = sock->owner;

  (void) how;
  if (conn->state == CONN_WAITING || conn->state == CONN_ANSWERING)
    conn->srv->ops->gone (conn->srv->owner, conn->call);
  close_conn (conn, false);
}

static const SockOps sock_ops = { NULL, on_data, on_drained, on_ended };

static void
on_timer (LoopTimer *timer)
{
  Conn *conn = (Conn *) ((char *) timer - offsetof (Conn, timer));
  static const char late[]
      = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

  if (conn->state == CONN_READING && conn->call)
    {
      sock_write (conn->sock, late, sizeof late - 1);
      free_call (conn);
      linger (conn);
      return;
    }
  close_conn (conn, false);
}

/* ---- The server ---- */

static void
on_accept (void *owner, int fd, SockAddr peer)
{
  HSrv *srv = owner;
  Conn *conn = g_new0 (Conn, 1);

  conn->srv = srv;
  conn->sock = sock_accepted (srv->loop, fd, peer, &sock_ops, conn);
  if (conn->sock == NULL)
    {
      g_free (conn);
      return;
    }
  conn->read = hread_new (true, &read_ops, conn);
  conn->timer.fire = on_timer;
  cds_list_add_tail (&conn->link, &srv->conns);
  srv->count++;
  loop_timer_set (srv->loop, &conn->timer, loop_now (srv->loop) + srv->limits.idle_us);
}

HSrv *
hsrv_new (Loop *loop, SockAddr addr, const HSrvOps *ops, void *owner)
{
  HSrv *srv = g_new0 (HSrv, 1);

  srv->loop = loop;
  srv->ops = ops;
  srv->owner = owner;
  srv->limits = (HSrvLimits){ 16384, 1 << 20, 5 * FT_SECOND, 30 * FT_SECOND };
  CDS_INIT_LIST_HEAD (&srv->conns);
  srv->listener = sock_listen (loop, addr, on_accept, srv);
  if (srv->listener == NULL)
    {
      g_free (srv);
      return NULL;
    }
  return srv;
}

void
hsrv_free (HSrv *srv)
{
  Conn *conn, *next;

  if (srv == NULL)
    return;
  sock_listener_free (srv->listener);
  cds_list_for_each_entry_safe (conn, next, &srv->conns, link) close_conn (conn, false);
  loop_free_later (srv->loop, srv);
}

void
hsrv_limits (HSrv *srv, const HSrvLimits *limits)
{
  srv->limits = *limits;
}

void
hsrv_last_answers (HSrv *srv)
{
  srv->last_answers = true;
}

void
hsrv_close_idle (HSrv *srv)
{
  Conn *conn, *next;

  srv->last_answers = srv->closed = true;
  sock_listener_free (srv->listener);
  srv->listener = NULL;
  cds_list_for_each_entry_safe (conn, next, &srv->conns, link)
  {
    if (conn->state == CONN_READING && conn->call == NULL)
      close_conn (conn, false);
  }
}

unsigned
hsrv_busy (const HSrv *srv)
{
  return srv->busy;
}

unsigned
hsrv_connections (const HSrv *srv)
{
  return srv->count;
}

/* ---- Answers ---- */

const HMsg *
hcall_msg (const HCall *call)
{
  return call->msg;
}

const GByteArray *
hcall_body (const HCall *call)
{
  return call->body;
}

int64_t
hcall_arrived (const HCall *call)
{
  return call->arrived;
}

void
hcall_set_user (HCall *call, void *user)
{
  call->user = user;
}

void *
hcall_user (const HCall *call)
{
  return call->user;
}

static GString *
start_head (HCall *call, unsigned status, const GString *fields)
{
  Conn *conn = call->conn;
  GString *out = g_string_sized_new (FIELDS_GUESS);

  if (conn->srv->last_answers)
    call->keep = false;
  hwrite_status_line (out, status);
  if (fields)
    g_string_append_len (out, fields->str, (gssize) fields->len);
  if (!call->keep)
    hwrite_field (out, "Connection", "close");
  else if (conn->srv->limits.idle_us >= FT_SECOND)
    g_string_append_printf (out, "Keep-Alive: timeout=%d\r\n",
                            (int) (conn->srv->limits.idle_us / FT_SECOND));
  return out;
}

void
hcall_reply (HCall *call, unsigned status, const GString *fields, const void *body, size_t size)
{
  Conn *conn = call->conn;
  GString *out = start_head (call, status, fields);

  if (status != 204 && status != 304)
    hwrite_number (out, "Content-Length", (int64_t) size);
  hwrite_end (out);
  if (!call->no_body)
    g_string_append_len (out, body, (gssize) size);
  sock_write (conn->sock, out->str, out->len);
  g_string_free (out, TRUE);
  finish (conn);
}

void
hcall_begin (HCall *call, unsigned status, const GString *fields)
{
  Conn *conn = call->conn;
  GString *out = start_head (call, status, fields);

  hwrite_field (out, "Transfer-Encoding", "chunked");
  hwrite_end (out);
  conn->state = CONN_ANSWERING;
  sock_write (conn->sock, out->str, out->len);
  g_string_free (out, TRUE);
}

void
hcall_data (HCall *call, const void *data, size_t size)
{
  Conn *conn = call->conn;
  GString *out;

  if (size == 0 || call->no_body)
    return;
  if (sock_unsent (conn->sock) > UNSENT_MOST)
    {
      shutdown (conn->sock->fd.fd, SHUT_RDWR); /* reported as the caller's leaving */
      return;
    }
  out = g_string_sized_new (size + 16);
  hwrite_chunk (out, data, size);
  sock_write (conn->sock, out->str, out->len);
  g_string_free (out, TRUE);
}

void
hcall_end (HCall *call)
{
  Conn *conn = call->conn;
  static const char last[] = "0\r\n\r\n";

  if (!call->no_body)
    sock_write (conn->sock, last, sizeof last - 1);
  finish (conn);
}

void
hcall_abort (HCall *call)
{
  close_conn (call->conn, true);
}
