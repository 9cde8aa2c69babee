/* hcli.c - HTTP/1.1 client with a pool of idle connections for each key (server incarnation).
 *
 * The HTTP library's client is not used because it resends a request when a persistent connection
 * closes before the first byte of the response, and this cannot be disabled. A request that must
 * run at most once could run twice. Here only start_sending writes a request, once for each
 * transfer.
 */
#include "hcli.h"
#include "relay.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <urcu/list.h>

/* used if the response has no Keep-Alive field; some servers then close within a second */
#define IDLE_DEFAULT_US (300 * FT_MS)
/* subtracted from the server's timeout, so that a request arrives before it expires */
#define IDLE_MARGIN_US    (400 * FT_MS)
#define IDLE_MAX_S        86400 /* of the server's timeout */
#define SWEEP_INTERVAL_US (1 * FT_SECOND)
/* for each key; more slots than any server has had so far */
#define IDLE_CONNS_MAX 64

typedef struct Conn Conn;

typedef struct
{
  char *key;
  struct cds_list_head idle; /* most recently used first */
  unsigned count;
} ConnPool;

struct HCli
{
  Loop *loop;
  GHashTable *pools; /* key -> ConnPool */
  LoopTimer sweep;
  struct cds_list_head conns;
  uint64_t opened;
  uint32_t source; /* local address of connections; 0: the system chooses it */
  HCliPathFunc path_func;
  void *path_user;
  size_t unsent_total; /* request bytes not yet passed to the kernel, over all connections */
};

struct Conn
{
  struct cds_list_head link, idle_link;
  HCli *cli;
  ConnPool *pool; /* while idle */
  char *key;
  Sock *sock;
  HReader *reader;
  HXfer *xfer;              /* NULL while idle */
  SockAddr server;          /* behind the relay; port 0: the connection is direct */
  bool path_reported;       /* path_func was called, or need not be */
  bool tunnel_requested;    /* the relay has not responded yet */
  unsigned tunnel_status;   /* of its response; 0: none yet */
  HCliProbeFunc probe_func; /* callback of a probe in progress, else NULL */
  void *probe_user;
  LoopTimer timer;
  int64_t idle_since, idle_until, keep_alive_us;
  int64_t reset_wait_us; /* of its transfer; see HCliTarget */
  bool message_complete;
  bool long_request; /* may not fit into the buffers on the way */
  bool skipping;     /* the response belongs to an earlier request */
  bool not_reusable;
  bool feeding; /* hread_feed runs, so the reader must not be freed */
  bool closed;  /* close_conn has run; the memory is freed at the end of the iteration */
};

struct HXfer
{
  Conn *conn;
  const HXferOps *ops;
  void *user;
  GString *request;
  bool sent, no_body;
  int64_t conn_idle_us; /* of the reused connection before this request; 0: a new connection */
};

static void
xfer_free (HXfer *xfer)
{
  if (xfer->request)
    g_string_free (xfer->request, TRUE);
  g_free (xfer);
}

static void
remove_from_pool (Conn *conn)
{
  if (conn->pool == NULL)
    return;
  cds_list_del (&conn->idle_link);
  conn->pool->count--;
  conn->pool = NULL;
}

static void
close_conn (Conn *conn, bool reset)
{
  remove_from_pool (conn);
  loop_timer_stop (conn->cli->loop, &conn->timer);
  sock_close (conn->sock, reset);
  conn->closed = true;
  if (!conn->feeding) /* otherwise on_data frees the reader when hread_feed returns */
    hread_free (conn->reader);
  cds_list_del (&conn->link);
  g_free (conn->key);
  if (conn->xfer)
    xfer_free (conn->xfer);
  conn->xfer = NULL;
  loop_free_later (conn->cli->loop, conn);
}

static void
end_probe (Conn *conn, bool connected, HXferFault fault)
{
  HCliProbeFunc probe_func = conn->probe_func;

  conn->probe_func = NULL;
  if (probe_func)
    probe_func (conn->probe_user, connected, fault);
}

static void
fail_conn (Conn *conn, HXferFault fault)
{
  HXfer *xfer = conn->xfer;

  conn->xfer = NULL;
  close_conn (conn, true);
  end_probe (conn, false, fault); /* conn is still valid: loop_free_later frees it */
  if (xfer == NULL)
    return;
  xfer->ops->failed (xfer->user, fault);
  xfer_free (xfer);
}

/* ---- Reading responses ---- */

static int64_t
keep_alive_limit (const HMsg *msg)
{
  const char *value = hmsg_field (msg, "Keep-Alive");
  const char *timeout = value ? strstr (value, "timeout=") : NULL;

  if (timeout == NULL)
    return IDLE_DEFAULT_US;
  int64_t seconds = g_ascii_strtoll (timeout + strlen ("timeout="), NULL, 10);
  return MAX (IDLE_DEFAULT_US, CLAMP (seconds, 0, IDLE_MAX_S) * FT_SECOND - IDLE_MARGIN_US);
}

static void
on_head (void *user, HMsg *msg)
{
  Conn *conn = user;

  conn->keep_alive_us = keep_alive_limit (msg);
  if (conn->long_request) /* the server may answer before it reads the rest of it */
    sock_set_user_timeout (conn->sock, false);
  if (!hmsg_keep_alive (msg))
    conn->not_reusable = true;
  conn->skipping = conn->xfer == NULL || !conn->xfer->ops->head (conn->xfer->user, msg);
  if (conn->skipping)
    conn->not_reusable = true; /* responses and requests are out of step on this connection */
}

static void
on_body (void *user, const char *data, size_t size)
{
  Conn *conn = user;

  if (!conn->skipping && conn->xfer)
    conn->xfer->ops->body (conn->xfer->user, data, size);
}

static void
on_end (void *user)
{
  Conn *conn = user;

  conn->message_complete = true;
}

static const HReadOps read_ops = { on_head, on_body, on_end };

static ConnPool *
get_pool (HCli *cli, const char *key)
{
  ConnPool *pool = g_hash_table_lookup (cli->pools, key);

  if (pool == NULL)
    {
      pool = g_new0 (ConnPool, 1);
      pool->key = g_strdup (key);
      CDS_INIT_LIST_HEAD (&pool->idle);
      g_hash_table_insert (cli->pools, pool->key, pool);
    }
  return pool;
}

static void
add_to_pool (Conn *conn)
{
  int64_t now = loop_now (conn->cli->loop);
  ConnPool *pool = get_pool (conn->cli, conn->key);

  if (pool->count >= IDLE_CONNS_MAX)
    {
      close_conn (conn, false);
      return;
    }
  conn->idle_since = now;
  conn->idle_until = now + conn->keep_alive_us;
  conn->pool = pool;
  cds_list_add (&conn->idle_link, &pool->idle);
  pool->count++;
}

static void
complete_transfer (Conn *conn)
{
  HXfer *xfer = conn->xfer;
  size_t left;

  sock_peek (conn->sock, &left);
  conn->xfer = NULL;
  sock_pause_all (conn->sock, false);
  /* The connection is not reusable if bytes follow the complete response or if part of the
   * request is unsent. */
  if (conn->not_reusable || conn->server.port || left > 0 || sock_unsent (conn->sock) > 0)
    close_conn (conn, left > 0 || sock_unsent (conn->sock) > 0);
  else
    add_to_pool (conn);
  xfer->ops->end (xfer->user);
  xfer_free (xfer);
}

/* ---- Connecting ---- */

static void
report_path (Conn *conn, bool reached)
{
  HCli *cli = conn->cli;
  bool relayed = conn->server.port != 0;

  if (cli->path_func && !conn->path_reported && (reached || !relayed))
    cli->path_func (cli->path_user, conn->key, relayed ? conn->server : conn->sock->peer, relayed,
                    reached);
  conn->path_reported = true;
}

static void
start_sending (Conn *conn)
{
  HXfer *xfer = conn->xfer;

  loop_timer_stop (conn->cli->loop, &conn->timer);
  xfer->sent = true;
  if (conn->long_request)
    sock_set_user_timeout (conn->sock, true);
  conn->long_request = xfer->request->len > SOCK_OUTPUT_LONG;
  hread_set_no_body (conn->reader, xfer->no_body);
  sock_write (conn->sock, xfer->request->str, xfer->request->len);
  g_string_free (xfer->request, TRUE);
  xfer->request = NULL;
}

/* The connection reaches the server. */
static void
use_connection (Conn *conn)
{
  if (conn->probe_func == NULL)
    {
      start_sending (conn);
      return;
    }
  loop_timer_stop (conn->cli->loop, &conn->timer);
  conn->keep_alive_us = IDLE_DEFAULT_US;
  if (conn->server.port)
    close_conn (conn, false);
  else
    add_to_pool (conn);
  end_probe (conn, true, HXFER_NOT_CONNECTED); /* conn is still valid: loop_free_later frees it */
}

static void
on_tunnel_head (void *user, HMsg *msg)
{
  ((Conn *) user)->tunnel_status = hmsg_status (msg);
}

static void
on_tunnel_body (void *user, const char *data, size_t size)
{
  (void) user;
  (void) data;
  (void) size;
}

static void
on_tunnel_end (void *user)
{
  (void) user;
}

static const HReadOps tunnel_ops = { on_tunnel_head, on_tunnel_body, on_tunnel_end };

static void
request_tunnel (Conn *conn)
{
  GString *out = g_string_new (NULL);

  hread_free (conn->reader);
  conn->reader = hread_new (false, &tunnel_ops, conn);
  hread_set_no_body (conn->reader, true);
  conn->tunnel_requested = true;
  relay_write_request (out, conn->server);
  sock_write (conn->sock, out->str, out->len);
  g_string_free (out, TRUE);
}

/* Nothing has been sent to the server in any of these cases. */
static HXferFault
fault_from_tunnel_status (unsigned status)
{
  switch (status)
    {
    case 502:
      return HXFER_REFUSED;
    case 504:
      return HXFER_NOT_CONNECTED;
    default:
      return HXFER_RELAY_FAILED;
    }
}

static void
read_tunnel_response (Conn *conn)
{
  HReadFault fault;
  size_t size;
  const uint8_t *data = sock_peek (conn->sock, &size);

  sock_consume (conn->sock, hread_feed (conn->reader, data, size, &fault));
  if (fault)
    fail_conn (conn, HXFER_RELAY_FAILED);
  else if (conn->tunnel_status == 200)
    {
      conn->tunnel_requested = false;
      report_path (conn, true);
      hread_free (conn->reader);
      conn->reader = hread_new (false, &read_ops, conn);
      use_connection (conn);
    }
  else if (conn->tunnel_status)
    fail_conn (conn, fault_from_tunnel_status (conn->tunnel_status));
}

static void
on_connected (Sock *sock)
{
  Conn *conn = sock->owner;

  if (conn->server.port)
    request_tunnel (conn);
  else
    use_connection (conn);
}

static void
on_connect_timeout (LoopTimer *timer)
{
  Conn *conn = (Conn *) ((char *) timer - offsetof (Conn, timer));

  report_path (conn, false);
  fail_conn (conn, conn->server.port ? HXFER_RELAY_FAILED : HXFER_NOT_CONNECTED);
}

/* ---- Input ---- */

static void
on_data (Sock *sock)
{
  Conn *conn = sock->owner;
  HReadFault fault;
  size_t size;

  if (conn->tunnel_requested)
    {
      read_tunnel_response (conn);
      return;
    }
  report_path (conn, true);
  if (conn->xfer == NULL)
    {
      close_conn (conn, true); /* unsolicited data */
      return;
    }
  for (;;)
    {
      const uint8_t *data = sock_peek (sock, &size);
      if (size == 0)
        return;
      conn->message_complete = false;
      conn->feeding = true;
      size_t used = hread_feed (conn->reader, data, size, &fault);
      conn->feeding = false;
      if (conn->closed)
        {
          hread_free (conn->reader);
          return;
        }
      sock_consume (sock, used);
      if (fault)
        {
          fail_conn (conn, HXFER_BAD_RESPONSE);
          return;
        }
      if (!conn->message_complete)
        return;
      if (!conn->skipping)
        {
          complete_transfer (conn);
          return;
        }
    }
}

static HXferFault
fault_from_sock_end (SockEnd reason)
{
  switch (reason)
    {
    case SOCK_END_CONNECT_FAILED:
      return HXFER_NOT_CONNECTED;
    case SOCK_END_REFUSED:
      return HXFER_REFUSED;
    case SOCK_END_TIMED_OUT:
      return HXFER_TIMED_OUT;
    default:
      return HXFER_BROKEN;
    }
}

const char *
hxfer_fault_name (HXferFault fault)
{
  /* "lost": the kernel's timeout for the connection expired; "garbled": not valid HTTP */
  static const char *const names[]
      = { "unreached", "refused", "broken", "lost", "garbled", "relay" };

  return names[fault];
}

static void
on_reset_wait_over (LoopTimer *timer)
{
  Conn *conn = (Conn *) ((char *) timer - offsetof (Conn, timer));

  if (sock_is_reset (conn->sock))
    fail_conn (conn, HXFER_BROKEN);
  else
    complete_transfer (conn);
}

/* The end of the connection has ended the response, which is complete only if no reset follows: a
 * server that gives it up, or the request, may end its side before it resets the connection. */
static void
complete_unframed (Conn *conn)
{
  int64_t wait = conn->long_request ? SOCK_RESET_WAIT : conn->reset_wait_us;

  conn->not_reusable = true;
  if (sock_has_unacknowledged (conn->sock))
    {
      fail_conn (conn, HXFER_BROKEN);
      return;
    }
  conn->timer.fire = on_reset_wait_over;
  loop_timer_set (conn->cli->loop, &conn->timer, loop_now (conn->cli->loop) + wait);
  if (conn->xfer->ops->ending)
    conn->xfer->ops->ending (conn->xfer->user);
}

static void
on_ended (Sock *sock, SockEnd reason)
{
  Conn *conn = sock->owner;

  if (conn->xfer == NULL && conn->probe_func == NULL)
    {
      close_conn (conn, false);
      return;
    }
  report_path (conn, false);
  if (conn->server.port
      && (conn->tunnel_requested || reason == SOCK_END_REFUSED
          || reason == SOCK_END_CONNECT_FAILED))
    {
      fail_conn (conn, HXFER_RELAY_FAILED);
      return;
    }
  if (conn->xfer && reason == SOCK_END_EOF && !conn->skipping && hread_finish (conn->reader)
      && conn->message_complete)
    {
      complete_unframed (conn);
      return;
    }
  fail_conn (conn, fault_from_sock_end (reason));
}

/* ---- Sending ---- */

static const SockOps sock_ops = { on_connected, on_data, NULL, on_ended };

typedef enum
{
  CONN_ENDED, /* the server has closed or reset the connection */
  CONN_HAS_DATA,
  CONN_QUIET
} ConnState;

/* Checks for input or a close that the loop has not reported yet. Takes no report of an error from
 * the kernel, since a read that follows would see an orderly end. */
static ConnState
conn_state (const Conn *conn)
{
  struct pollfd poller = { .fd = conn->sock->fd.fd, .events = POLLIN | POLLRDHUP };
  int size = 0;

  if (poll (&poller, 1, 0) <= 0)
    return CONN_QUIET;
  if (ioctl (conn->sock->fd.fd, FIONREAD, &size) == 0 && size > 0)
    return CONN_HAS_DATA;
  return CONN_ENDED;
}

static Conn *
take_idle_conn (HCli *cli, const HCliTarget *target)
{
  ConnPool *pool = g_hash_table_lookup (cli->pools, target->key);
  int64_t now = loop_now (cli->loop);

  while (pool && !cds_list_empty (&pool->idle))
    {
      Conn *conn = cds_list_first_entry (&pool->idle, Conn, idle_link);
      if (now - conn->idle_since > target->max_idle_us)
        return NULL; /* sorted by last use: the others have been idle for longer */
      if (now < conn->idle_until && conn_state (conn) == CONN_QUIET)
        {
          remove_from_pool (conn);
          return conn;
        }
      close_conn (conn, false);
    }
  return NULL;
}

static Conn *
open_conn (HCli *cli, const HCliTarget *target)
{
  Conn *conn = g_new0 (Conn, 1);

  conn->cli = cli;
  conn->sock = sock_connect_from (
      cli->loop, cli->source, target->relay.port ? target->relay : target->addr, &sock_ops, conn);
  if (conn->sock == NULL)
    {
      int error = errno;
      g_free (conn);
      if (cli->path_func && target->relay.port == 0)
        cli->path_func (cli->path_user, target->key, target->addr, false, false);
      errno = error;
      return NULL;
    }
  sock_set_unsent_total (conn->sock, &cli->unsent_total);
  if (target->relay.port)
    conn->server = target->addr;
  conn->key = g_strdup (target->key);
  conn->reader = hread_new (false, &read_ops, conn);
  conn->timer.fire = on_connect_timeout;
  cds_list_add_tail (&conn->link, &cli->conns);
  loop_timer_set (cli->loop, &conn->timer, loop_now (cli->loop) + target->connect_us);
  cli->opened++;
  return conn;
}

bool
hcli_probe (HCli *cli, const HCliTarget *target, HCliProbeFunc probe_func, void *user)
{
  Conn *conn = open_conn (cli, target);

  if (conn == NULL)
    return false;
  conn->probe_func = probe_func;
  conn->probe_user = user;
  return true;
}

bool
hcli_is_connected (HCli *cli, const char *key)
{
  const Conn *conn;

  cds_list_for_each_entry (conn, &cli->conns, link)
  {
    if (!conn->sock->connecting && !conn->tunnel_requested && strcmp (conn->key, key) == 0
        && conn_state (conn) != CONN_ENDED)
      return true;
  }
  return false;
}

HXfer *
hcli_send (HCli *cli, const HCliTarget *target, const GString *request, const HXferOps *ops,
           void *user)
{
  Conn *conn = target->relay.port ? NULL : take_idle_conn (cli, target);
  bool reused = conn != NULL;

  if (conn == NULL)
    conn = open_conn (cli, target);
  if (conn == NULL)
    return NULL;
  HXfer *xfer = g_new0 (HXfer, 1);
  *xfer = (HXfer){ .conn = conn,
                   .ops = ops,
                   .user = user,
                   .request = g_string_new_len (request->str, (gssize) request->len),
                   .no_body = target->no_body,
                   .conn_idle_us = reused ? MAX (1, loop_now (cli->loop) - conn->idle_since) : 0 };
  conn->xfer = xfer;
  conn->reset_wait_us = target->reset_wait_us;
  conn->skipping = conn->not_reusable = conn->message_complete = false;
  if (reused)
    start_sending (conn);
  return xfer;
}

void
hxfer_pause (HXfer *xfer, bool paused)
{
  sock_pause_all (xfer->conn->sock, paused);
}

int64_t
hxfer_conn_idle_us (const HXfer *xfer)
{
  return xfer->conn_idle_us;
}

unsigned
hcli_idle_keys (HCli *cli, const char **keys, unsigned max)
{
  int64_t now = loop_now (cli->loop);
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, cli->pools);
  while (count < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      ConnPool *pool = value;
      if (!cds_list_empty (&pool->idle)
          && now < cds_list_first_entry (&pool->idle, Conn, idle_link)->idle_until)
        keys[count++] = pool->key;
    }
  return count;
}

void
hxfer_cancel (HXfer *xfer)
{
  close_conn (xfer->conn, true);
}

/* ---- The client ---- */

static void
close_idle_conns (ConnPool *pool)
{
  Conn *conn, *next;

  cds_list_for_each_entry_safe (conn, next, &pool->idle, idle_link) close_conn (conn, false);
}

static void
pool_free (void *data)
{
  ConnPool *pool = data;

  close_idle_conns (pool);
  g_free (pool->key);
  g_free (pool);
}

static gboolean
drop_expired_conns (gpointer key, gpointer value, gpointer data)
{
  int64_t now = loop_now (data);
  ConnPool *pool = value;
  Conn *conn, *next;

  (void) key;
  cds_list_for_each_entry_safe (conn, next, &pool->idle, idle_link)
  {
    if (now >= conn->idle_until)
      close_conn (conn, false);
  }
  return pool->count == 0;
}

static void
on_sweep (LoopTimer *timer)
{
  HCli *cli = (HCli *) ((char *) timer - offsetof (HCli, sweep));

  g_hash_table_foreach_remove (cli->pools, drop_expired_conns, cli->loop);
  loop_timer_set (cli->loop, timer, loop_now (cli->loop) + SWEEP_INTERVAL_US);
}

HCli *
hcli_new (Loop *loop)
{
  HCli *cli = g_new0 (HCli, 1);

  cli->loop = loop;
  cli->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free);
  cli->sweep.fire = on_sweep;
  CDS_INIT_LIST_HEAD (&cli->conns);
  loop_timer_set (loop, &cli->sweep, loop_now (loop) + SWEEP_INTERVAL_US);
  return cli;
}

void
hcli_free (HCli *cli)
{
  Conn *conn, *next;

  if (cli == NULL)
    return;
  cds_list_for_each_entry_safe (conn, next, &cli->conns, link)
  {
    end_probe (conn, false, HXFER_NOT_CONNECTED);
    close_conn (conn, true);
  }
  g_hash_table_unref (cli->pools);
  loop_timer_stop (cli->loop, &cli->sweep);
  g_free (cli);
}

void
hcli_set_source (HCli *cli, uint32_t source)
{
  cli->source = source;
}

void
hcli_set_path_func (HCli *cli, HCliPathFunc func, void *user)
{
  cli->path_func = func;
  cli->path_user = user;
}

size_t
hcli_unsent (const HCli *cli)
{
  return cli->unsent_total;
}

uint64_t
hcli_opened_count (const HCli *cli)
{
  return cli->opened;
}
