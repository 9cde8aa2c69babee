/* relay.c - pairs each accepted connection with one to a backend server.
 *
 * A tunnel carries one request of the instance that opened it, which holds the request's place, its
 * time limit and everything else that decides; here only bytes are moved. So a request is counted,
 * paced and kept from running twice where it is without a relay, and a relay that leaves has to
 * wait for its open tunnels and for nothing else.
 *
 * Each side is read only as fast as the other one takes the bytes. When one side ends, what it sent
 * is passed on, and then the other side is closed. Anything else resets both, even the end of this
 * process: an answer whose end is that of its connection must not look complete. So does a reset
 * that follows the orderly end of a server, which has not read all that was passed on to it, or has
 * given up its answer.
 */
#include "relay.h"
#include "hmsg.h"

#include <errno.h>
#include <string.h>
#include <urcu/list.h>

#define REQUEST_TIMEOUT (1 * FT_SECOND) /* from accepting a connection to its whole request */
#define REQUEST_MAX     1024            /* bytes */
#define UNSENT_MAX      65536           /* of one side, above which the other one is not read */

typedef struct Tunnel Tunnel;

typedef struct
{
  Tunnel *tunnel;
  Sock *sock; /* NULL: closed, or not opened yet */
} Side;

struct Tunnel
{
  struct cds_list_head link;
  Relay *relay;
  Side peer, server;
  HReader *reader; /* of the peer's request; NULL: the request is complete */
  SockAddr addr;   /* of the server */
  LoopTimer timer; /* limit of the request, then of the connection to the server, then of ending */
  Sock *ending;    /* the server's, which has ended in order and may still be reset; NULL: none */
  bool requested;  /* the request is complete */
  bool valid;      /* ... and names an address */
  bool open;       /* bytes are passed on */
};

struct Relay
{
  Loop *loop;
  RelayConf conf;
  SockListener *listener;
  struct cds_list_head tunnels;
  unsigned count;
  uint64_t opened, refused;
  bool stopped;
};

/* ---- Tunnels ---- */

static void
close_tunnel (Tunnel *tunnel, bool reset)
{
  Relay *relay = tunnel->relay;

  loop_timer_stop (relay->loop, &tunnel->timer);
  if (tunnel->peer.sock)
    sock_close (tunnel->peer.sock, reset);
  if (tunnel->server.sock)
    sock_close (tunnel->server.sock, reset);
  if (tunnel->ending)
    sock_close (tunnel->ending, true);
  tunnel->peer.sock = tunnel->server.sock = tunnel->ending = NULL;
  hread_free (tunnel->reader);
  tunnel->reader = NULL;
  cds_list_del (&tunnel->link);
  relay->count--;
  loop_free_later (relay->loop, tunnel);
}

/* Answers a request for a tunnel that is not opened. */
static void
refuse (Tunnel *tunnel, unsigned status)
{
  GString *out = g_string_new (NULL);

  tunnel->relay->refused++;
  hwrite_status_line (out, status);
  hwrite_field (out, "Connection", "close");
  hwrite_number_field (out, "Content-Length", 0);
  hwrite_head_end (out);
  sock_write (tunnel->peer.sock, out->str, out->len);
  g_string_free (out, TRUE);
  sock_close_when_sent (tunnel->peer.sock);
  tunnel->peer.sock = NULL;
  close_tunnel (tunnel, true);
}

static void
forward (Side *from, Side *to)
{
  size_t size;
  const uint8_t *data = sock_peek (from->sock, &size);

  if (size == 0)
    return;
  if (to->sock == NULL) /* it has ended */
    {
      sock_consume (from->sock, size);
      return;
    }
  sock_write (to->sock, data, size);
  sock_consume (from->sock, size);
  if (sock_unsent (to->sock) > UNSENT_MAX)
    sock_pause_all (from->sock, true);
}

static Side *
other_side (Side *side)
{
  Tunnel *tunnel = side->tunnel;

  return side == &tunnel->peer ? &tunnel->server : &tunnel->peer;
}

static void
open_tunnel (Tunnel *tunnel)
{
  static const char established[] = "HTTP/1.1 200 OK\r\n\r\n";
  Relay *relay = tunnel->relay;

  loop_timer_stop (relay->loop, &tunnel->timer);
  relay->opened++;
  tunnel->open = true;
  sock_set_reset_on_close (tunnel->peer.sock, true);
  sock_set_reset_on_close (tunnel->server.sock, true);
  /* The peer reads nothing while its caller reads nothing. */
  sock_set_user_timeout (tunnel->peer.sock, false);
  sock_write (tunnel->peer.sock, established, sizeof established - 1);
  sock_pause (tunnel->peer.sock, false);
  forward (&tunnel->peer, &tunnel->server); /* bytes that followed the request at once */
}

/* ---- The server's side ---- */

static void
report_connect (const Tunnel *tunnel, bool established)
{
  const RelayConf *conf = &tunnel->relay->conf;

  if (conf->connected)
    conf->connected (conf->user, tunnel->addr, established);
}

static void
on_server_connected (Sock *sock)
{
  Tunnel *tunnel = ((Side *) sock->owner)->tunnel;

  report_connect (tunnel, true);
  open_tunnel (tunnel);
}

static void
on_open_data (Sock *sock)
{
  Side *side = sock->owner;

  if (side->tunnel->open)
    forward (side, other_side (side));
}

/* Closes the side that is left in order, once it has all that the other one sent. */
static void
close_if_sent (Side *last)
{
  if (sock_unsent (last->sock) > 0 || last->tunnel->ending)
    return;
  sock_close_when_sent (last->sock);
  last->sock = NULL;
  close_tunnel (last->tunnel, true);
}

static void
on_drained (Sock *sock)
{
  Side *side = sock->owner, *other = other_side (side);

  if (!side->tunnel->open)
    return;
  if (other->sock)
    sock_pause_all (other->sock, false);
  else
    close_if_sent (side);
}

static void
on_reset_wait_over (LoopTimer *timer)
{
  Tunnel *tunnel = (Tunnel *) ((char *) timer - offsetof (Tunnel, timer));

  if (sock_is_reset (tunnel->ending) || sock_has_unacknowledged (tunnel->ending))
    {
      close_tunnel (tunnel, true);
      return;
    }
  sock_close (tunnel->ending, true);
  tunnel->ending = NULL;
  close_if_sent (&tunnel->peer);
}

/* Keeps the server's connection, which has ended in order, until a reset would have come. The peer
 * has got the server's bytes by then, and if they are a whole answer, has closed the tunnel. */
static void
await_reset (Side *side)
{
  Tunnel *tunnel = side->tunnel;
  Loop *loop = tunnel->relay->loop;

  tunnel->ending = side->sock;
  tunnel->timer.fire = on_reset_wait_over;
  loop_timer_set (loop, &tunnel->timer, loop_now (loop) + SOCK_RESET_WAIT);
}

static void
end_open_tunnel (Side *side, SockEnd how)
{
  Side *other = other_side (side);

  if (how != SOCK_END_EOF || other->sock == NULL)
    {
      close_tunnel (side->tunnel, true);
      return;
    }
  forward (side, other);
  if (side == &side->tunnel->server)
    await_reset (side);
  else
    sock_close (side->sock, true);
  side->sock = NULL;
  sock_pause (other->sock, true);
  close_if_sent (other);
}

static void
on_server_ended (Sock *sock, SockEnd how)
{
  Side *side = sock->owner;
  Tunnel *tunnel = side->tunnel;

  if (tunnel->open)
    {
      end_open_tunnel (side, how);
      return;
    }
  report_connect (tunnel, false);
  refuse (tunnel, how == SOCK_END_REFUSED ? 502 : 504);
}

static const SockOps server_ops
    = { on_server_connected, on_open_data, on_drained, on_server_ended };

static void
connect_server (Tunnel *tunnel)
{
  Relay *relay = tunnel->relay;

  if (!tunnel->valid)
    refuse (tunnel, 400);
  else if (relay->stopped || relay->count > relay->conf.tunnels_max
           || !relay->conf.is_usable (relay->conf.user))
    refuse (tunnel, 503);
  else
    {
      tunnel->server.sock = sock_connect_from (relay->loop, relay->conf.source, tunnel->addr,
                                               &server_ops, &tunnel->server);
      if (tunnel->server.sock == NULL)
        {
          int error = errno;
          report_connect (tunnel, false);
          refuse (tunnel, error == ECONNREFUSED ? 502 : 503);
        }
      else
        loop_timer_set (relay->loop, &tunnel->timer,
                        loop_now (relay->loop) + RELAY_CONNECT_TIMEOUT);
    }
}

/* ---- The peer's side ---- */

static void
on_head (void *user, HMsg *msg)
{
  Tunnel *tunnel = user;

  tunnel->valid = strcmp (hmsg_method (msg), "CONNECT") == 0
                  && sock_addr_parse (hmsg_target (msg), &tunnel->addr);
}

static void
on_body (void *user, const char *data, size_t size)
{
  (void) user;
  (void) data;
  (void) size;
}

static void
on_request_end (void *user)
{
  ((Tunnel *) user)->requested = true;
}

static const HReadOps read_ops = { on_head, on_body, on_request_end };

static void
read_request (Tunnel *tunnel)
{
  size_t size;
  HReadFault fault;
  const uint8_t *data = sock_peek (tunnel->peer.sock, &size);

  if (size == 0)
    return;
  sock_consume (tunnel->peer.sock, hread_feed (tunnel->reader, data, size, &fault));
  if (fault)
    {
      refuse (tunnel, 400);
      return;
    }
  if (!tunnel->requested)
    return;
  hread_free (tunnel->reader);
  tunnel->reader = NULL;
  sock_pause (tunnel->peer.sock, true);
  connect_server (tunnel);
}

static void
on_peer_data (Sock *sock)
{
  Tunnel *tunnel = ((Side *) sock->owner)->tunnel;

  if (tunnel->open)
    forward (&tunnel->peer, &tunnel->server);
  else if (!tunnel->requested)
    read_request (tunnel);
}

static void
on_peer_ended (Sock *sock, SockEnd how)
{
  Side *side = sock->owner;

  if (side->tunnel->open)
    end_open_tunnel (side, how);
  else
    close_tunnel (side->tunnel, true);
}

static const SockOps peer_ops = { NULL, on_peer_data, on_drained, on_peer_ended };

static void
on_timer (LoopTimer *timer)
{
  Tunnel *tunnel = (Tunnel *) ((char *) timer - offsetof (Tunnel, timer));

  if (!tunnel->requested)
    {
      close_tunnel (tunnel, true);
      return;
    }
  report_connect (tunnel, false);
  refuse (tunnel, 504);
}

static void
on_accept (void *owner, int fd, SockAddr from)
{
  Relay *relay = owner;
  Tunnel *tunnel = g_new0 (Tunnel, 1);

  tunnel->relay = relay;
  tunnel->peer.tunnel = tunnel->server.tunnel = tunnel;
  tunnel->timer.fire = on_timer;
  tunnel->peer.sock = sock_accepted (relay->loop, fd, from, &peer_ops, &tunnel->peer);
  if (tunnel->peer.sock == NULL)
    {
      g_free (tunnel);
      return;
    }
  tunnel->reader = hread_new (true, &read_ops, tunnel);
  hread_set_limits (tunnel->reader, REQUEST_MAX, REQUEST_MAX);
  cds_list_add_tail (&tunnel->link, &relay->tunnels);
  relay->count++;
  loop_timer_set (relay->loop, &tunnel->timer, loop_now (relay->loop) + REQUEST_TIMEOUT);
}

/* ---- The relay ---- */

Relay *
relay_new (Loop *loop, const RelayConf *conf)
{
  Relay *relay = g_new0 (Relay, 1);

  relay->loop = loop;
  relay->conf = *conf;
  CDS_INIT_LIST_HEAD (&relay->tunnels);
  relay->listener = sock_listen (loop, conf->listen, on_accept, relay);
  if (relay->listener == NULL)
    {
      g_free (relay);
      return NULL;
    }
  return relay;
}

void
relay_free (Relay *relay)
{
  Tunnel *tunnel, *next;

  if (relay == NULL)
    return;
  cds_list_for_each_entry_safe (tunnel, next, &relay->tunnels, link) close_tunnel (tunnel, true);
  sock_listener_free (relay->listener);
  g_free (relay);
}

void
relay_stop (Relay *relay)
{
  relay->stopped = true;
}

unsigned
relay_tunnel_count (const Relay *relay)
{
  return relay->count;
}

uint64_t
relay_opened_count (const Relay *relay)
{
  return relay->opened;
}

uint64_t
relay_refused_count (const Relay *relay)
{
  return relay->refused;
}

void
relay_write_request (GString *out, SockAddr server)
{
  char addr[SOCK_ADDR_TEXT_SIZE];

  hwrite_request_line (out, "CONNECT", sock_addr_format (server, addr));
  hwrite_field (out, "Host", addr);
  hwrite_head_end (out);
}
