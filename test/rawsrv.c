/* rawsrv.c - a server of raw bytes. */
#include "rawsrv.h"
#include "statuscheck.h"

#include <stdlib.h>
#include <string.h>

struct RawSrv
{
  Loop *loop;
  SockListener *listener;
  GPtrArray *conns;
  size_t read_bytes;
  RawRequest request;
  void *user;
};

char *
rawsrv_field (const char *head, const char *name)
{
  char *line = g_strdup_printf ("\r\n%s: ", name);
  const char *at = strcasestr (head, line);
  size_t skip = strlen (line);

  g_free (line);
  return at ? g_strndup (at + skip, strcspn (at + skip, "\r")) : g_strdup ("");
}

static void
drop (RawConn *conn)
{
  loop_timer_stop (conn->srv->loop, &conn->timer);
  g_ptr_array_remove_fast (conn->srv->conns, conn);
  loop_free_later (conn->srv->loop, conn);
}

void
rawconn_close (RawConn *conn, bool reset)
{
  sock_close (conn->sock, reset);
  drop (conn);
}

void
rawconn_close_when_sent (RawConn *conn)
{
  sock_close_when_sent (conn->sock);
  drop (conn);
}

void
rawconn_write (RawConn *conn, const char *text)
{
  sock_write (conn->sock, text, strlen (text));
}

static bool
answer_check (RawConn *conn, const char *head)
{
  char *answer = statuscheck_answer (head);

  if (answer == NULL)
    return false;
  rawconn_write (conn, answer);
  rawconn_close_when_sent (conn);
  g_free (answer);
  return true;
}

static void
on_data (Sock *sock)
{
  RawConn *conn = sock->owner;
  size_t size, wanted = conn->srv->read_bytes;
  const char *data = (const char *) sock_peek (sock, &size);
  const char *end = memmem (data, size, "\r\n\r\n", 4);

  if (conn->asked || end == NULL)
    return;
  char *head = g_strndup (data, (gsize) (end + 4 - data));
  if (answer_check (conn, head))
    {
      g_free (head);
      return;
    }
  char *length = rawsrv_field (head, "Content-Length");
  size_t whole = (size_t) (end + 4 - data) + strtoul (length, NULL, 10);
  if (size >= whole || (wanted && size >= wanted))
    {
      /* what a small body names belongs to the head's text */
      char *text = g_strndup (data, MIN (size, whole));
      conn->asked = true;
      sock_pause (sock, true);
      sock_consume (sock, size);
      conn->srv->request (conn, text);
      g_free (text);
    }
  g_free (length);
  g_free (head);
}

static void
on_ended (Sock *sock, SockEnd how)
{
  (void) how;
  rawconn_close (sock->owner, false);
}

static const SockOps sock_ops = { NULL, on_data, NULL, on_ended };

static void
on_accept (void *owner, int fd, SockAddr peer)
{
  RawSrv *srv = owner;
  RawConn *conn = g_new0 (RawConn, 1);

  conn->srv = srv;
  conn->sock = sock_accepted (srv->loop, fd, peer, &sock_ops, conn);
  if (conn->sock)
    g_ptr_array_add (srv->conns, conn);
  else
    g_free (conn);
}

RawSrv *
rawsrv_new (Loop *loop, SockAddr addr, size_t read_bytes, RawRequest request, void *user)
{
  RawSrv *srv = g_new0 (RawSrv, 1);

  *srv = (RawSrv){ .loop = loop,
                   .conns = g_ptr_array_new (),
                   .read_bytes = read_bytes,
                   .request = request,
                   .user = user };
  srv->listener = sock_listen (loop, addr, on_accept, srv);
  if (srv->listener == NULL)
    {
      g_ptr_array_unref (srv->conns);
      g_free (srv);
      return NULL;
    }
  return srv;
}

void
rawsrv_free (RawSrv *srv)
{
  if (srv == NULL)
    return;
  sock_listener_free (srv->listener);
  while (srv->conns->len > 0)
    rawconn_close (srv->conns->pdata[0], true);
  g_ptr_array_unref (srv->conns);
  g_free (srv);
}

Loop *
rawsrv_loop (const RawSrv *srv)
{
  return srv->loop;
}

void *
rawsrv_user (const RawSrv *srv)
{
  return srv->user;
}
