/* proxy.c - pairs each accepted connection with one to the target, and forwards as the mode says.
 */
#include "proxy.h"

#include <urcu/list.h>

#define DELAY (15 * FT_MS)

typedef struct Pair Pair;

typedef struct
{
  Pair *pair;
  Sock *sock;
  bool to_client; /* bytes read here are forwarded to the client */
} Side;

struct Pair
{
  struct cds_list_head link;
  Proxy *proxy;
  Side client, server;
  LoopTimer timer;
  bool blackholed; /* carries nothing any more, whatever the mode */
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
  if (pair->client.sock)
    sock_close (pair->client.sock, reset);
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
  forward (&pair->client, &pair->server);
  if (pair->proxy->mode != PROXY_ONE_WAY)
    forward (&pair->server, &pair->client);
}

static void
on_timer (LoopTimer *timer)
{
  Pair *pair = (Pair *) ((char *) timer - offsetof (Pair, timer));

  if (!pair->blackholed)
    forward_both (pair);
}

static void
on_data (Sock *sock)
{
  Side *side = sock->owner;
  Pair *pair = side->pair;
  ProxyMode mode = pair->proxy->mode;

  if (pair->blackholed || (mode == PROXY_ONE_WAY && side->to_client))
    return;
  if (mode != PROXY_DELAY)
    forward_both (pair);
  else if (!pair->timer.armed)
    loop_timer_set (pair->proxy->loop, &pair->timer, loop_now (pair->proxy->loop) + DELAY);
}

static void
on_end (Sock *sock, SockEnd how)
{
  Side *side = sock->owner;
  Pair *pair = side->pair;

  if (!pair->blackholed)
    forward_both (pair);
  /* The end of one side is not passed on either. */
  if (pair->blackholed)
    {
      side->sock = NULL;
      sock_close (sock, false);
      if (pair->client.sock == NULL && pair->server.sock == NULL)
        close_pair (pair, false);
      return;
    }
  side->sock = NULL;
  sock_close (sock, false);
  Side *other = side == &pair->client ? &pair->server : &pair->client;
  if (other->sock && how == SOCK_END_EOF)
    {
      sock_close_when_sent (other->sock);
      other->sock = NULL;
    }
  close_pair (pair, true);
}

static const SockOps ops = { NULL, on_data, NULL, on_end };

static void
on_accept (void *owner, int fd, SockAddr peer)
{
  Proxy *proxy = owner;
  Pair *pair = g_new0 (Pair, 1);

  pair->proxy = proxy;
  pair->timer.fire = on_timer;
  pair->client.pair = pair->server.pair = pair;
  pair->server.to_client = true;
  cds_list_add_tail (&pair->link, &proxy->pairs);
  pair->client.sock = sock_accepted (proxy->loop, fd, peer, &ops, &pair->client);
  pair->server.sock = sock_connect (proxy->loop, proxy->back, &ops, &pair->server);
  if (pair->client.sock == NULL || pair->server.sock == NULL || proxy->mode == PROXY_REFUSE)
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
proxy_set_mode (Proxy *proxy, ProxyMode mode)
{
  Pair *pair, *next;

  proxy->mode = mode;
  if (mode == PROXY_REFUSE)
    proxy_reset (proxy);
  cds_list_for_each_entry_safe (pair, next, &proxy->pairs, link)
  {
    if (mode == PROXY_BLACKHOLE)
      pair->blackholed = true;
    if (!pair->blackholed && pair->client.sock && pair->server.sock)
      forward_both (pair);
  }
  if (mode == PROXY_BLACKHOLE)
    proxy->mode = PROXY_PASS; /* for new connections */
}

void
proxy_free (Proxy *proxy)
{
  proxy_reset (proxy);
  sock_listener_free (proxy->listener);
  g_free (proxy);
}
