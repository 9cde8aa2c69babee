/* proxy.c - pairs of connections; what comes from one goes to the other, as the mode says. */
#include "proxy.h"

#include <urcu/list.h>

#define DELAY (15 * FT_MS)

typedef struct Pair Pair;

typedef struct
{
  Pair *pair;
  Sock *sock;
  bool towards_caller; /* what comes in here goes to the caller */
} Side;

struct Pair
{
  struct cds_list_head link;
  Proxy *proxy;
  Side caller, server;
  LoopTimer timer;
  bool dead; /* silent for good */
};

struct Proxy
{
  Loop *loop;
  SockListener *listener;
  SockAddr back;
  ProxyMode mode;
  struct cds_list_head pairs;
};

static void
close_pair (Pair *pair, bool reset)
{
  loop_timer_stop (pair->proxy->loop, &pair->timer);
  cds_list_del (&pair->link);
  if (pair->caller.sock)
    sock_close (pair->caller.sock, reset);
  if (pair->server.sock)
    sock_close (pair->server.sock, reset);
  loop_free_later (pair->proxy->loop, pair);
}

static void
forward (Side *from, Side *to)
{
  size_t size;
  const uint8_t *data = sock_peek (from->sock, &size);

  if (size == 0)
    return;
  sock_write (to->sock, data, size);
  sock_consume (from->sock, size);
}

static void
forward_both (Pair *pair)
{
  forward (&pair->caller, &pair->server);
  if (pair->proxy->mode != PROXY_ONE_WAY)
    forward (&pair->server, &pair->caller);
}

static void
on_timer (LoopTimer *timer)
{
  Pair *pair = (Pair *) ((char *) timer - offsetof (Pair, timer));

  if (!pair->dead)
    forward_both (pair);
}

static void
on_data (Sock *sock)
{
  Side *side = sock->owner;
  Pair *pair = side->pair;
  ProxyMode mode = pair->proxy->mode;

  if (pair->dead || (mode == PROXY_ONE_WAY && side->towards_caller))
    return;
  if (mode != PROXY_DELAY)
    forward_both (pair);
  else if (!pair->timer.armed)
    loop_timer_set (pair->proxy->loop, &pair->timer, loop_now (pair->proxy->loop) + DELAY);
}

static void
on_ended (Sock *sock, SockEnd how)
{
  Side *side = sock->owner;
  Pair *pair = side->pair;

  if (!pair->dead)
    forward_both (pair);
  /* A silent path says nothing of the end either. */
  if (pair->dead)
    {
      side->sock = NULL;
      sock_close (sock, false);
      if (pair->caller.sock == NULL && pair->server.sock == NULL)
        close_pair (pair, false);
      return;
    }
  side->sock = NULL;
  sock_close (sock, false);
  Side *other = side == &pair->caller ? &pair->server : &pair->caller;
  if (other->sock && how == SOCK_END_EOF)
    {
      sock_close_when_sent (other->sock);
      other->sock = NULL;
    }
  close_pair (pair, true);
}

static const SockOps ops = { NULL, on_data, NULL, on_ended };

static void
on_accept (void *owner, int fd, SockAddr peer)
{
  Proxy *proxy = owner;
  Pair *pair = g_new0 (Pair, 1);

  pair->proxy = proxy;
  pair->timer.fire = on_timer;
  pair->caller.pair = pair->server.pair = pair;
  pair->server.towards_caller = true;
  cds_list_add_tail (&pair->link, &proxy->pairs);
  pair->caller.sock = sock_accepted (proxy->loop, fd, peer, &ops, &pair->caller);
  pair->server.sock = sock_connect (proxy->loop, proxy->back, &ops, &pair->server);
  if (pair->caller.sock == NULL || pair->server.sock == NULL || proxy->mode == PROXY_REFUSE)
    close_pair (pair, true);
}

Proxy *
proxy_new (Loop *loop, SockAddr front, SockAddr back)
{
  Proxy *proxy = g_new0 (Proxy, 1);

  proxy->loop = loop;
  proxy->back = back;
  CDS_INIT_LIST_HEAD (&proxy->pairs);
  proxy->listener = sock_listen (loop, front, on_accept, proxy);
  g_assert_nonnull (proxy->listener);
  return proxy;
}

void
proxy_reset (Proxy *proxy)
{
  Pair *pair, *next;

  cds_list_for_each_entry_safe (pair, next, &proxy->pairs, link) close_pair (pair, true);
}

void
proxy_mode (Proxy *proxy, ProxyMode mode)
{
  Pair *pair, *next;

  proxy->mode = mode;
  if (mode == PROXY_REFUSE)
    proxy_reset (proxy);
  cds_list_for_each_entry_safe (pair, next, &proxy->pairs, link)
  {
    if (mode == PROXY_SILENT)
      pair->dead = true;
    if (!pair->dead && pair->caller.sock && pair->server.sock)
      forward_both (pair);
  }
  if (mode == PROXY_SILENT)
    proxy->mode = PROXY_PASS; /* new connections work */
}

void
proxy_free (Proxy *proxy)
{
  proxy_reset (proxy);
  sock_listener_free (proxy->listener);
  g_free (proxy);
}
