/* proxy.c - pairs each accepted connection with one to the target, and forwards as the mode says.
 */
#include "proxy.h"

#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu/list.h>

#define DELAY    (15 * FT_MS)
#define CUTS_MAX 8   /* client addresses that are cut off at a time */
#define BACKLOG  512 /* connections that arrive in a burst within one iteration */

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
  SockAddr peer; /* of client */
  LoopTimer timer;
  bool blackholed; /* carries nothing any more, whatever the mode */
  bool held;       /* its client is cut off silently */
  bool broken;     /* the server's side ended while it was held */
};

typedef struct
{
  uint32_t client;
  ProxyCut how;
} Cut;

struct Proxy
{
  LoopFd listener;
  Loop *loop;
  SockAddr back;
  ProxyMode mode;
  Cut cuts[CUTS_MAX];
  unsigned cut_count;
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

static ProxyCut
cut_of (const Proxy *proxy, uint32_t client)
{
  for (unsigned i = 0; i < proxy->cut_count; i++)
    if (proxy->cuts[i].client == client)
      return proxy->cuts[i].how;
  return PROXY_CUT_NONE;
}

/* True if bytes to the client are held back. */
static bool
is_one_way (const Pair *pair)
{
  return pair->proxy->mode == PROXY_ONE_WAY
         || cut_of (pair->proxy, pair->peer.ip) == PROXY_CUT_ONE_WAY;
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
  if (!is_one_way (pair))
    forward (&pair->server, &pair->client);
}

static void
on_timer (LoopTimer *timer)
{
  Pair *pair = (Pair *) ((char *) timer - offsetof (Pair, timer));

  if (!pair->blackholed && !pair->held)
    forward_both (pair);
}

static void
on_data (Sock *sock)
{
  Side *side = sock->owner;
  Pair *pair = side->pair;
  ProxyMode mode = pair->proxy->mode;

  if (pair->blackholed || pair->held || (is_one_way (pair) && side->to_client))
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

  if (pair->held)
    {
      /* Nothing of it reaches the client before the cut heals. */
      side->sock = NULL;
      sock_close (sock, true);
      pair->broken = true;
      return;
    }
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

/* ---- Client addresses that are cut off ---- */

static bool
resets_accepted (ProxyCut how)
{
  return how == PROXY_CUT_RESET_ACCEPT || how == PROXY_CUT_REFUSE;
}

static void
attach_filter (int fd, struct sock_filter *code, unsigned count)
{
  struct sock_fprog program = { (unsigned short) count, code };

  g_assert_cmpint (setsockopt (fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program), ==, 0);
}

static void
detach_filter (int fd)
{
  int none = 0;

  setsockopt (fd, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof none);
}

/* The kernel drops what arrives at the listener from clients whose connects hang. */
static void
filter_listener (const Proxy *proxy)
{
  struct sock_filter code[2 * CUTS_MAX + 2]
      = { BPF_STMT (BPF_LD | BPF_W | BPF_ABS, (uint32_t) SKF_NET_OFF + 12) }; /* source address */
  unsigned count = 1;

  for (unsigned i = 0; i < proxy->cut_count; i++)
    if (!resets_accepted (proxy->cuts[i].how) && proxy->cuts[i].how != PROXY_CUT_ONE_WAY)
      {
        code[count++] = (struct sock_filter) BPF_JUMP (BPF_JMP | BPF_JEQ | BPF_K,
                                                       proxy->cuts[i].client, 0, 1);
        code[count++] = (struct sock_filter) BPF_STMT (BPF_RET | BPF_K, 0);
      }
  code[count++] = (struct sock_filter) BPF_STMT (BPF_RET | BPF_K, UINT32_MAX);
  if (count == 2)
    detach_filter (proxy->listener.fd);
  else
    attach_filter (proxy->listener.fd, code, count);
}

static void
set_int (int fd, int level, int name, int value)
{
  setsockopt (fd, level, name, &value, sizeof value);
}

/* Nothing that arrives is acknowledged, and no probe and no reset is sent. */
static void
hold (Pair *pair)
{
  struct sock_filter drop = BPF_STMT (BPF_RET | BPF_K, 0);
  int fd = pair->client.sock->fd.fd;

  pair->held = true;
  set_int (fd, SOL_SOCKET, SO_KEEPALIVE, 0);
  set_int (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
  attach_filter (fd, &drop, 1);
}

static void
release (Pair *pair)
{
  int fd = pair->client.sock ? pair->client.sock->fd.fd : -1;

  pair->held = false;
  if (pair->broken || fd < 0)
    {
      close_pair (pair, true);
      return;
    }
  detach_filter (fd);
  set_int (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  if (!pair->blackholed)
    forward_both (pair);
}

void
proxy_cut (Proxy *proxy, uint32_t client, ProxyCut how)
{
  Pair *pair, *next;
  unsigned i = 0;

  while (i < proxy->cut_count && proxy->cuts[i].client != client)
    i++;
  g_assert_cmpuint (i, <, CUTS_MAX);
  if (how != PROXY_CUT_NONE)
    proxy->cuts[i] = (Cut){ client, how };
  else if (i < proxy->cut_count)
    proxy->cuts[i] = proxy->cuts[proxy->cut_count - 1];
  else
    return;
  if (how == PROXY_CUT_NONE)
    proxy->cut_count--;
  else if (i == proxy->cut_count)
    proxy->cut_count++;
  filter_listener (proxy);
  cds_list_for_each_entry_safe (pair, next, &proxy->pairs, link)
  {
    if (pair->peer.ip != client)
      continue;
    if (how == PROXY_CUT_RESET || resets_accepted (how))
      close_pair (pair, true);
    else if (how == PROXY_CUT_SILENT && !pair->held && pair->client.sock)
      hold (pair);
    else if (how != PROXY_CUT_SILENT && pair->held)
      release (pair);
    else if (how == PROXY_CUT_NONE && !pair->blackholed && pair->client.sock && pair->server.sock)
      forward_both (pair);
  }
}

/* ---- Listening ---- */

static void
add_pair (Proxy *proxy, int fd, SockAddr peer)
{
  Pair *pair = g_new0 (Pair, 1);
  ProxyCut cut = cut_of (proxy, peer.ip);

  pair->proxy = proxy;
  pair->timer.fire = on_timer;
  pair->client.pair = pair->server.pair = pair;
  pair->server.to_client = true;
  pair->peer = peer;
  cds_list_add_tail (&pair->link, &proxy->pairs);
  pair->client.sock = sock_accepted (proxy->loop, fd, peer, &ops, &pair->client);
  bool reset = proxy->mode == PROXY_REFUSE || cut == PROXY_CUT_RESET || resets_accepted (cut);
  if (!reset)
    pair->server.sock = sock_connect (proxy->loop, proxy->back, &ops, &pair->server);
  if (pair->client.sock == NULL || pair->server.sock == NULL)
    close_pair (pair, true);
  else if (cut == PROXY_CUT_SILENT)
    hold (pair);
}

static void
on_accept (LoopFd *base, uint32_t bits)
{
  Proxy *proxy = (Proxy *) base;
  struct sockaddr_in from = { 0 };
  socklen_t size = sizeof from;
  int fd;

  (void) bits;
  while ((fd = accept4 (base->fd, (struct sockaddr *) &from, &size, SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      add_pair (proxy, fd, (SockAddr){ ntohl (from.sin_addr.s_addr), ntohs (from.sin_port) });
      size = sizeof from;
    }
}

static int
listen_at (SockAddr addr)
{
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_addr.s_addr = htonl (addr.ip),
                            .sin_port = htons (addr.port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  g_assert_cmpint (fd, >=, 0);
  set_int (fd, SOL_SOCKET, SO_REUSEADDR, 1);
  g_assert_cmpint (bind (fd, (struct sockaddr *) &at, sizeof at), ==, 0);
  g_assert_cmpint (listen (fd, BACKLOG), ==, 0);
  return fd;
}

int
proxy_listen_silently (SockAddr addr)
{
  struct sock_filter drop = BPF_STMT (BPF_RET | BPF_K, 0);
  int fd = listen_at (addr);

  attach_filter (fd, &drop, 1);
  return fd;
}

Proxy *
proxy_new (Loop *loop, SockAddr front, SockAddr back)
{
  Proxy *proxy = g_new0 (Proxy, 1);

  proxy->loop = loop;
  proxy->back = back;
  CDS_INIT_LIST_HEAD (&proxy->pairs);
  proxy->listener = (LoopFd){ .fd = listen_at (front), .ready = on_accept };
  g_assert_true (loop_add (loop, &proxy->listener, EPOLLIN));
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
    if (!pair->blackholed && !pair->held && pair->client.sock && pair->server.sock)
      forward_both (pair);
  }
  if (mode == PROXY_BLACKHOLE)
    proxy->mode = PROXY_PASS; /* for new connections */
}

void
proxy_free (Proxy *proxy)
{
  proxy_reset (proxy);
  loop_remove (proxy->loop, &proxy->listener);
  close (proxy->listener.fd);
  g_free (proxy);
}
