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
#define LINGER        (1 * FT_SECOND) /* a caller reads the last answer and closes within that */
#define UNSENT_MOST   (4u << 20)      /* a caller that does not read its answer is given up */
#define FULL          (64u << 10)     /* unsent bytes of an answer from which on it is full ... */
#define FULL_PRESSED  (4u << 10)      /* ... and while the server is pressed */
#define PRESSED       (8u << 20)      /* bytes held for all callers */
#define SEND_BUFFER   (128 << 10)     /* of the kernel, for each connection, bytes */
#define BODIES_MOST   (16u << 20)     /* bytes of requests held; each may be held twice */
#define FIELDS_GUESS  512             /* bytes of a head, first allocation */
#define RETRY_AFTER_S 1               /* advice with a refusal for want of memory */

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
  HReader *read;
  ConnState state;
  LoopTimer timer;
  size_t unsent_before; /* when the timer was set */
  HCall *call;
} Conn;

struct HCall
{
  Conn *conn;
  HMsg *msg; /* the reader's */
  GByteArray *body;
  int64_t arrived;
  size_t held; /* by the owner, of the answer */
  bool whole, keep, no_body, full;
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
  size_t unsent; /* of all connections' answers */
  size_t owners; /* held by owners of calls */
  HSrvHeld held; /* bodies, peaks and counts */
  bool last_answers, closed;
};

static void take_requests (Conn *conn);

/* ---- Connections ---- */

static void
free_call (Conn *conn)
{
  if (conn->call == NULL)
    return;
  hcall_note_held (conn->call, 0);
  conn->srv->held.bodies -= conn->call->body->len;
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

/* Until the caller asks again, or has read the rest of its answer. */
static void
wait_idle (Conn *conn)
{
  conn->unsent_before = sock_unsent (conn->sock);
  loop_timer_set (conn->srv->loop, &conn->timer,
                  loop_now (conn->srv->loop) + conn->srv->limits.idle_us);
}

static void
finish (Conn *conn)
{
  /* Failure: an answer began before the server was closed, and promised to keep the connection.
   * Symptom: its caller sends another request, which is cut when the process ends. */
  bool keep = conn->call->keep && !conn->srv->closed;

  free_call (conn);
  conn->state = CONN_READING;
  if (!keep && sock_unsent (conn->sock) == 0)
    {
      linger (conn);
      return;
    }
  wait_idle (conn);
  if (!keep)
    {
      conn->state = CONN_LINGERING; /* goes on when all is sent */
      return;
    }
  sock_pause (conn->sock, false);
  take_requests (conn);
}

/* A request that is not handed over. */
static void
refuse (Conn *conn, unsigned status)
{
  GString *out = g_string_sized_new (FIELDS_GUESS);

  hwrite_status_line (out, status);
  hwrite_field (out, "Connection", "close");
  if (status == 503)
    hwrite_number_field (out, "Retry-After", RETRY_AFTER_S);
  hwrite_number_field (out, "Content-Length", 0);
  hwrite_head_end (out);
  sock_write (conn->sock, out->str, out->len);
  g_string_free (out, TRUE);
  free_call (conn);
  conn->state = CONN_LINGERING;
  if (sock_unsent (conn->sock) == 0)
    linger (conn);
}

static unsigned
status_of (HReadFault fault)
{
  switch (fault)
    {
    case HREAD_HEAD_TOO_LARGE:
      return 431;
    case HREAD_BODY_TOO_LARGE:
      return 413;
    default:
      return 400;
    }
}

/* ---- Reading ---- */

static void
on_head (void *user, HMsg *msg)
{
  Conn *conn = user;
  const char *expect = hmsg_field (msg, "Expect");
  static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";

  conn->call->msg = msg;
  conn->call->keep = hmsg_keep_alive (msg);
  conn->call->no_body = strcmp (hmsg_method (msg), "HEAD") == 0;
  if (expect && g_ascii_strcasecmp (expect, "100-continue") == 0)
    sock_write (conn->sock, interim, sizeof interim - 1);
}

static void
on_body (void *user, const char *data, size_t size)
{
  Conn *conn = user;

  HSrvHeld *held = &conn->srv->held;

  g_byte_array_append (conn->call->body, (const guint8 *) data, (guint) size);
  held->bodies += size;
  held->bodies_peak = MAX (held->bodies_peak, held->bodies);
}

/* Failure: many callers send large requests slowly, or servers take them slowly. Symptom: their
 * bodies fill the memory, and the process ends with all that it holds. */
static bool
bodies_are_full (const Conn *conn)
{
  return conn->srv->held.bodies > BODIES_MOST && conn->call->body->len > 0;
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
          hread_set_limits (conn->read, conn->srv->limits.head_bytes, conn->srv->limits.body_bytes);
          start_call (conn);
        }
      size_t used = hread_feed (conn->read, data, size, &fault);
      sock_consume (conn->sock, used);
      if (fault || bodies_are_full (conn))
        {
          conn->srv->held.refused += fault == 0;
          refuse (conn, fault ? status_of (fault) : 503);
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
  else if (conn->call && conn->call->full)
    {
      conn->call->full = false;
      conn->srv->ops->room (conn->srv->owner, conn->call);
    }
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
  /* A caller that reads slowly gets all of an answer that is ready, as long as it reads on. */
  if (sock_unsent (conn->sock) > 0 && sock_unsent (conn->sock) < conn->unsent_before)
    {
      wait_idle (conn);
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
  int buffer = SEND_BUFFER;

  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &buffer, sizeof buffer);
  conn->srv = srv;
  conn->sock = sock_accepted (srv->loop, fd, peer, &sock_ops, conn);
  if (conn->sock == NULL)
    {
      g_free (conn);
      return;
    }
  sock_set_unsent_total (conn->sock, &srv->unsent);
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

static size_t
answers_held (const HSrv *srv)
{
  return srv->unsent + srv->owners;
}

void
hsrv_held (const HSrv *srv, HSrvHeld *held)
{
  *held = srv->held;
  held->answers = answers_held (srv);
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

static void
note_peak (HSrv *srv)
{
  srv->held.answers_peak = MAX (srv->held.answers_peak, answers_held (srv));
}

void
hcall_note_held (HCall *call, size_t size)
{
  HSrv *srv = call->conn->srv;

  srv->owners += size - call->held;
  call->held = size;
  note_peak (srv);
}

bool
hcall_is_pressed (const HCall *call)
{
  return answers_held (call->conn->srv) > PRESSED;
}

bool
hcall_is_full (HCall *call)
{
  HSrv *srv = call->conn->srv;
  size_t most = hcall_is_pressed (call) ? FULL_PRESSED : FULL;

  if (srv->ops->room == NULL || call->full || sock_unsent (call->conn->sock) <= most)
    return call->full;
  srv->held.full++;
  call->full = true;
  return true;
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
    hwrite_number_field (out, "Content-Length", (int64_t) size);
  hwrite_head_end (out);
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
  hwrite_head_end (out);
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
  note_peak (conn->srv);
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
