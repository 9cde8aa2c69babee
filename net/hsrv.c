/* hsrv.c - HTTP/1.1 server; handles one request at a time on each connection.
 *
 * A caller that closes its connection is noticed both while its request waits and while it is
 * answered: a paused socket still reports the close.
 */
#include "hsrv.h"

#include <string.h>
#include <sys/socket.h>
#include <urcu/list.h>

#define LINGER_US         (1 * FT_SECOND) /* for the caller to read the last response and close */
#define UNSENT_MAX        (4u << 20)      /* a caller with more unsent bytes is disconnected */
#define FULL_SIZE         (64u << 10)     /* a response with more unsent bytes is full ... */
#define FULL_SIZE_SHORT   (4u << 10)      /* ... and the same while memory is short */
#define MEMORY_SHORT      (8u << 20)      /* memory is short while more bytes are buffered in all */
#define SEND_BUFFER_SIZE  (128 << 10)     /* the kernel's send buffer of a connection, bytes */
#define BODIES_MAX        (16u << 20)     /* bytes of request bodies; each may be stored twice */
#define HEAD_SIZE_INITIAL 512             /* initial allocation for a head, bytes */
#define RETRY_AFTER_S     1               /* sent when a request is refused for lack of memory */

typedef enum
{
  CONN_READING,   /* idle, or receiving a request */
  CONN_WAITING,   /* request delivered, no response yet */
  CONN_ANSWERING, /* head of the response sent */
  CONN_LINGERING  /* last response written; waits until it is sent and the caller closes */
} ConnState;

typedef struct
{
  struct cds_list_head link;
  struct cds_list_head idle_link; /* in HSrv.idle; empty while it is not idle */
  HSrv *srv;
  Sock *sock;
  HReader *read;
  ConnState state;
  LoopTimer timer;
  size_t unsent_at_timer; /* unsent bytes when the timer was set */
  bool unframed;          /* the end of the connection ends the response */
  HCall *call;
} Conn;

struct HCall
{
  Conn *conn;
  HMsg *msg; /* owned by conn->read */
  GByteArray *body;
  int64_t arrived;
  size_t buffered; /* bytes of the response that the owner buffers */
  bool complete, keep_alive, no_body, full;
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
  struct cds_list_head idle; /* connections without a request, longest idle first */
  unsigned conn_count, active_calls;
  HSrvRefused refused;
  size_t unsent;         /* bytes of responses in the sockets' buffers */
  size_t owner_buffered; /* bytes of responses that the owners of calls buffer */
  HSrvMemory memory;     /* all but answers */
  bool no_keep_alive, stopped;
};

static void read_requests (Conn *conn);

/* ---- Connections ---- */

static void
free_call (Conn *conn)
{
  if (conn->call == NULL)
    return;
  hcall_set_buffered (conn->call, 0);
  conn->srv->memory.bodies -= conn->call->body->len;
  g_byte_array_unref (conn->call->body);
  g_free (conn->call);
  conn->call = NULL;
  conn->srv->active_calls--;
}

static void
close_conn (Conn *conn, bool reset)
{
  HSrv *srv = conn->srv;

  free_call (conn);
  cds_list_del_init (&conn->idle_link);
  loop_timer_stop (srv->loop, &conn->timer);
  sock_close (conn->sock, reset);
  hread_free (conn->read);
  cds_list_del (&conn->link);
  srv->conn_count--;
  loop_free_later (srv->loop, conn);
}

/* Closes the sending side and discards what is received. Closing a socket with unread bytes would
 * reset the connection, and the caller could lose the last response from its receive buffer. */
static void
start_linger (Conn *conn)
{
  conn->state = CONN_LINGERING;
  sock_pause (conn->sock, false);
  if (conn->unframed)
    sock_set_reset_on_close (conn->sock, false);
  shutdown (conn->sock->fd.fd, SHUT_WR);
  loop_timer_set (conn->srv->loop, &conn->timer, loop_now (conn->srv->loop) + LINGER_US);
}

/* Starts the time-out for the next request, or for reading the rest of the response. */
static void
start_idle_timer (Conn *conn)
{
  conn->unsent_at_timer = sock_unsent (conn->sock);
  loop_timer_set (conn->srv->loop, &conn->timer,
                  loop_now (conn->srv->loop) + conn->srv->limits.idle_us);
}

static void
end_call (Conn *conn)
{
  /* A response that began before hsrv_stop_accepting may have promised to keep the connection
   * alive. If it stayed open, the caller's next request would be cut off when the process ends. */
  bool keep_alive = conn->call->keep_alive && !conn->srv->stopped;

  free_call (conn);
  conn->state = CONN_READING;
  if (!keep_alive && sock_unsent (conn->sock) == 0)
    {
      start_linger (conn);
      return;
    }
  start_idle_timer (conn);
  if (!keep_alive)
    {
      conn->state = CONN_LINGERING; /* on_drained continues when all is sent */
      return;
    }
  cds_list_add_tail (&conn->idle_link, &conn->srv->idle);
  sock_pause (conn->sock, false);
  read_requests (conn);
}

/* Answers a request that is not delivered to the owner, and closes the connection. */
static void
refuse (Conn *conn, unsigned status)
{
  GString *out = g_string_sized_new (HEAD_SIZE_INITIAL);

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
    start_linger (conn);
}

static unsigned
fault_status (HReadFault fault)
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
  conn->call->keep_alive = hmsg_keep_alive (msg);
  conn->call->no_body = strcmp (hmsg_method (msg), "HEAD") == 0;
  if (expect && g_ascii_strcasecmp (expect, "100-continue") == 0)
    sock_write (conn->sock, interim, sizeof interim - 1);
}

static void
on_body (void *user, const char *data, size_t size)
{
  Conn *conn = user;

  HSrvMemory *memory = &conn->srv->memory;

  g_byte_array_append (conn->call->body, (const guint8 *) data, (guint) size);
  memory->bodies += size;
  memory->bodies_peak = MAX (memory->bodies_peak, memory->bodies);
}

/* Bounds the memory of all request bodies. Many large requests that callers send slowly, or that
 * backend servers receive slowly, would otherwise exhaust memory and end the process. */
static bool
bodies_exceed_limit (const Conn *conn)
{
  return conn->srv->memory.bodies > BODIES_MAX && conn->call->body->len > 0;
}

static void
on_end (void *user)
{
  Conn *conn = user;

  conn->call->complete = true;
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
  conn->srv->active_calls++;
  cds_list_del_init (&conn->idle_link);
  loop_timer_set (conn->srv->loop, &conn->timer, call->arrived + conn->srv->limits.head_us);
}

static void
read_requests (Conn *conn)
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
      if (fault || bodies_exceed_limit (conn))
        {
          conn->srv->memory.refused += fault == 0;
          refuse (conn, fault ? fault_status (fault) : 503);
          return;
        }
      if (!conn->call->complete)
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
    read_requests (conn);
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
    start_linger (conn);
  else if (conn->call && conn->call->full)
    {
      conn->call->full = false;
      conn->srv->ops->drained (conn->srv->owner, conn->call);
    }
}

static void
on_ended (Sock *sock, SockEnd how)
{
  Conn *conn = sock->owner;

  (void) how;
  if (conn->state == CONN_WAITING || conn->state == CONN_ANSWERING)
    conn->srv->ops->caller_left (conn->srv->owner, conn->call);
  close_conn (conn, false);
}

static const SockOps sock_ops = { NULL, on_data, on_drained, on_ended };

static void
on_timer (LoopTimer *timer)
{
  Conn *conn = (Conn *) ((char *) timer - offsetof (Conn, timer));
  static const char timed_out[]
      = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

  if (conn->state == CONN_READING && conn->call)
    {
      sock_write (conn->sock, timed_out, sizeof timed_out - 1);
      free_call (conn);
      start_linger (conn);
      return;
    }
  /* A slow caller may read the rest of a complete response as long as it makes progress. */
  if (sock_unsent (conn->sock) > 0 && sock_unsent (conn->sock) < conn->unsent_at_timer)
    {
      start_idle_timer (conn);
      return;
    }
  close_conn (conn, false);
}

/* ---- The server ---- */

/* Closes the longest idle connection of which all output is sent. Returns false if there is none.
 */
static bool
evict_idle (HSrv *srv)
{
  Conn *conn;

  cds_list_for_each_entry (conn, &srv->idle, idle_link)
  {
    if (sock_unsent (conn->sock) > 0)
      continue;
    close_conn (conn, false);
    srv->refused.evicted++;
    return true;
  }
  return false;
}

/* Whether a new connection must be refused. Its caller goes on at another instance at once, while
 * it would wait here for its turn, and others with it. */
static bool
must_refuse (HSrv *srv)
{
  if (srv->limits.load > 0 && loop_load (srv->loop) > srv->limits.load)
    {
      srv->refused.loaded++;
      return true;
    }
  if (srv->limits.connections == 0 || srv->conn_count < srv->limits.connections || evict_idle (srv))
    return false;
  srv->refused.full++;
  return true;
}

static void
on_accept (void *owner, int fd, SockAddr peer)
{
  HSrv *srv = owner;
  int buffer = SEND_BUFFER_SIZE;

  if (must_refuse (srv))
    {
      sock_refuse (fd);
      return;
    }
  Conn *conn = g_new0 (Conn, 1);
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &buffer, sizeof buffer);
  conn->srv = srv;
  conn->sock = sock_accepted (srv->loop, fd, peer, &sock_ops, conn);
  if (conn->sock == NULL)
    {
      g_free (conn);
      return;
    }
  /* A caller may stop reading for as long as its request lasts. Time limits on requests and on
   * unread answers end the connection of one that is lost. */
  sock_set_user_timeout (conn->sock, false);
  sock_set_unsent_total (conn->sock, &srv->unsent);
  conn->read = hread_new (true, &read_ops, conn);
  conn->timer.fire = on_timer;
  cds_list_add_tail (&conn->link, &srv->conns);
  cds_list_add_tail (&conn->idle_link, &srv->idle);
  srv->conn_count++;
  loop_timer_set (srv->loop, &conn->timer, loop_now (srv->loop) + srv->limits.idle_us);
}

HSrv *
hsrv_new (Loop *loop, SockAddr addr, const HSrvOps *ops, void *owner)
{
  HSrv *srv = g_new0 (HSrv, 1);

  srv->loop = loop;
  srv->ops = ops;
  srv->owner = owner;
  srv->limits = (HSrvLimits){ 16384, 1 << 20, 5 * FT_SECOND, 30 * FT_SECOND, 0, 0 };
  CDS_INIT_LIST_HEAD (&srv->conns);
  CDS_INIT_LIST_HEAD (&srv->idle);
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
hsrv_set_limits (HSrv *srv, const HSrvLimits *limits)
{
  srv->limits = *limits;
}

void
hsrv_disable_keep_alive (HSrv *srv)
{
  srv->no_keep_alive = true;
}

void
hsrv_stop_accepting (HSrv *srv)
{
  Conn *conn, *next;

  srv->no_keep_alive = srv->stopped = true;
  sock_listener_free (srv->listener);
  srv->listener = NULL;
  cds_list_for_each_entry_safe (conn, next, &srv->conns, link)
  {
    if (conn->state != CONN_READING || conn->call)
      continue;
    if (sock_unsent (conn->sock) == 0)
      close_conn (conn, false);
    else
      conn->state = CONN_LINGERING; /* on_drained continues when the last response is sent */
  }
}

unsigned
hsrv_active_calls (const HSrv *srv)
{
  return srv->active_calls;
}

const HSrvRefused *
hsrv_refused (const HSrv *srv)
{
  return &srv->refused;
}

unsigned
hsrv_connection_count (const HSrv *srv)
{
  return srv->conn_count;
}

static size_t
buffered_total (const HSrv *srv)
{
  return srv->unsent + srv->owner_buffered;
}

void
hsrv_get_memory (const HSrv *srv, HSrvMemory *memory)
{
  *memory = srv->memory;
  memory->answers = buffered_total (srv);
}

/* ---- Responses ---- */

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
hcall_arrival_time (const HCall *call)
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
update_peak (HSrv *srv)
{
  srv->memory.answers_peak = MAX (srv->memory.answers_peak, buffered_total (srv));
}

void
hcall_set_buffered (HCall *call, size_t size)
{
  HSrv *srv = call->conn->srv;

  srv->owner_buffered += size - call->buffered;
  call->buffered = size;
  update_peak (srv);
}

bool
hcall_is_memory_short (const HCall *call)
{
  return buffered_total (call->conn->srv) > MEMORY_SHORT;
}

bool
hcall_is_full (HCall *call)
{
  HSrv *srv = call->conn->srv;
  size_t limit = hcall_is_memory_short (call) ? FULL_SIZE_SHORT : FULL_SIZE;

  if (srv->ops->drained == NULL || call->full || sock_unsent (call->conn->sock) <= limit)
    return call->full;
  srv->memory.full++;
  call->full = true;
  return true;
}

static GString *
start_head (HCall *call, unsigned status, const GString *fields)
{
  Conn *conn = call->conn;
  GString *out = g_string_sized_new (HEAD_SIZE_INITIAL);

  if (conn->srv->no_keep_alive)
    call->keep_alive = false;
  hwrite_status_line (out, status);
  if (fields)
    g_string_append_len (out, fields->str, (gssize) fields->len);
  if (!call->keep_alive)
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
  end_call (conn);
}

static void
send_head (Conn *conn, GString *head)
{
  hwrite_head_end (head);
  conn->state = CONN_ANSWERING;
  sock_write (conn->sock, head->str, head->len);
  g_string_free (head, TRUE);
}

void
hcall_begin (HCall *call, unsigned status, const GString *fields)
{
  GString *out = start_head (call, status, fields);

  hwrite_field (out, "Transfer-Encoding", "chunked");
  send_head (call->conn, out);
}

void
hcall_begin_unframed (HCall *call, unsigned status, const GString *fields)
{
  Conn *conn = call->conn;

  conn->unframed = true;
  call->keep_alive = false;
  /* Otherwise the end of this process would look like that of the response. */
  sock_set_reset_on_close (conn->sock, true);
  send_head (conn, start_head (call, status, fields));
}

bool
hcall_is_unframed (const HCall *call)
{
  return call->conn->unframed;
}

void
hcall_write (HCall *call, const void *data, size_t size)
{
  Conn *conn = call->conn;
  GString *out;

  if (size == 0 || call->no_body)
    return;
  if (sock_unsent (conn->sock) > UNSENT_MAX)
    {
      /* on_ended then reports that the caller left. The end must not look like that of the
       * response. */
      shutdown (conn->sock->fd.fd, conn->unframed ? SHUT_RD : SHUT_RDWR);
      return;
    }
  if (conn->unframed)
    {
      sock_write (conn->sock, data, size);
      update_peak (conn->srv);
      return;
    }
  out = g_string_sized_new (size + 16);
  hwrite_chunk (out, data, size);
  sock_write (conn->sock, out->str, out->len);
  g_string_free (out, TRUE);
  update_peak (conn->srv);
}

void
hcall_end (HCall *call)
{
  Conn *conn = call->conn;
  static const char last[] = "0\r\n\r\n";

  if (!call->no_body && !conn->unframed)
    sock_write (conn->sock, last, sizeof last - 1);
  end_call (conn);
}

void
hcall_abort (HCall *call)
{
  close_conn (call->conn, true);
}
