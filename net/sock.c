/* sock.c - buffered, non-blocking TCP.
 *
 * If a machine loses power or a device on the path drops its state, a connection goes silent
 * without a reset, and the caller, stream or link that uses it would hang. Every socket therefore
 * has TCP keep-alive, and all but those to callers a user time-out, those to servers until a
 * response begins. The kernel ends a connection
 *
 *   with unacknowledged data, or data that the peer leaves no room for: after USER_TIMEOUT_MS;
 *   with neither: when a probe is due and USER_TIMEOUT_MS have passed since the peer was last
 *   heard, so after KEEPALIVE_IDLE_S + 2 * KEEPALIVE_INTERVAL_S; with a user time-out the number of
 *   probes does not count;
 *   without a user time-out: after KEEPALIVE_PROBES unanswered probes if nothing is unacknowledged,
 *   and else not before its own retransmission limit of minutes.
 */
#include "sock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <linux/sockios.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <unistd.h>

#define KEEPALIVE_IDLE_S     1    /* until the first probe: half of the 2 s to detect a loss */
#define KEEPALIVE_INTERVAL_S 1    /* the smallest value that the option takes */
#define KEEPALIVE_PROBES     2    /* tolerates the loss of one probe */
#define USER_TIMEOUT_MS      2500 /* leaves time for two retransmissions on a lossy link */
#define READ_SIZE            16384
#define READ_PER_EVENT_MAX   (2 * READ_SIZE) /* bytes of a connection before others are served */
#define KEPT_BUFFER_MAX      4096            /* an empty buffer that is larger is freed, bytes */
#define BACKLOG              512 /* connections that arrive in a burst within one iteration */

bool
sock_addr_parse (const char *text, SockAddr *addr)
{
  char ip[INET_ADDRSTRLEN];
  const char *colon = text ? strrchr (text, ':') : NULL;
  struct in_addr parsed;
  char *end;

  if (colon == NULL || (size_t) (colon - text) >= sizeof ip)
    return false;
  memcpy (ip, text, (size_t) (colon - text));
  ip[colon - text] = '\0';
  unsigned long port = strtoul (colon + 1, &end, 10);
  if (inet_pton (AF_INET, ip, &parsed) != 1 || *end || end == colon + 1 || port > 65535)
    return false;
  addr->ip = ntohl (parsed.s_addr);
  addr->port = (uint16_t) port;
  return true;
}

const char *
sock_addr_format (SockAddr addr, char *buffer)
{
  snprintf (buffer, SOCK_ADDR_TEXT_SIZE, "%u.%u.%u.%u:%u", addr.ip >> 24, addr.ip >> 16 & 255,
            addr.ip >> 8 & 255, addr.ip & 255, addr.port);
  return buffer;
}

static struct sockaddr_in
to_sockaddr (SockAddr addr)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_addr.s_addr = htonl (addr.ip),
                               .sin_port = htons (addr.port) };
}

static void
set_options (int fd)
{
  static const struct
  {
    int level, name, value;
  } options[] = {
    { SOL_SOCKET, SO_KEEPALIVE, 1 },
    { IPPROTO_TCP, TCP_NODELAY, 1 },
    { IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
    { IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S },
    { IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES },
    { IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (options); i++)
    setsockopt (fd, options[i].level, options[i].name, &options[i].value, sizeof (int));
}

static void
update_events (Sock *sock)
{
  uint32_t events = sock->all_paused ? 0 : EPOLLRDHUP;

  if (sock->connecting || sock->out->len > sock->out_at)
    events |= EPOLLOUT;
  if (!sock->paused && !sock->all_paused && !sock->connecting)
    events |= EPOLLIN;
  loop_change (sock->loop, &sock->fd, events);
}

static void
count_unsent (Sock *sock)
{
  size_t unsent = sock->out ? sock->out->len - sock->out_at : 0;

  if (sock->unsent_total)
    *sock->unsent_total += unsent - sock->unsent_counted;
  sock->unsent_counted = unsent;
}

static void
report_end (Sock *sock, SockEnd reason)
{
  if (sock->ended)
    return;
  sock->ended = true;
  loop_remove (sock->loop, &sock->fd);
  if (reason == SOCK_END_EOF && (sock->failed || sock_is_reset (sock)))
    reason = SOCK_END_RESET;
  if (sock->closing)
    sock_close (sock, false);
  else
    sock->ops->ended (sock, reason);
}

/* Resets a buffer that is consumed completely. */
static void
reset_buffer (GByteArray **buffer, size_t *at)
{
  if (*at > KEPT_BUFFER_MAX)
    {
      g_byte_array_unref (*buffer);
      *buffer = g_byte_array_new ();
    }
  g_byte_array_set_size (*buffer, 0);
  *at = 0;
}

/* Drops what is sent of a buffer that is not empty, once it is the larger part. */
static void
drop_sent (Sock *sock)
{
  if (sock->out_at <= KEPT_BUFFER_MAX || sock->out_at < sock->out->len / 2)
    return;
  g_byte_array_remove_range (sock->out, 0, (guint) sock->out_at);
  sock->out_at = 0;
}

/* Sends buffered output. Returns false if the connection has failed. */
static bool
send_buffered (Sock *sock)
{
  while (sock->out->len > sock->out_at)
    {
      ssize_t done = send (sock->fd.fd, sock->out->data + sock->out_at,
                           sock->out->len - sock->out_at, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (done < 0 && errno == EINTR)
        continue;
      if (done < 0 && errno == EAGAIN)
        {
          drop_sent (sock);
          return true;
        }
      if (done < 0)
        return false;
      sock->out_at += (size_t) done;
    }
  reset_buffer (&sock->out, &sock->out_at);
  return true;
}

static bool
flush (Sock *sock)
{
  bool alive = send_buffered (sock);

  count_unsent (sock);
  return alive;
}

/* Returns and clears the socket's pending error; 0: none. */
static int
pending_error (const Sock *sock)
{
  int error = 0;
  socklen_t size = sizeof error;

  getsockopt (sock->fd.fd, SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

static SockEnd
end_reason (int error)
{
  return error == ETIMEDOUT ? SOCK_END_TIMED_OUT : SOCK_END_RESET;
}

static void
complete_connect (Sock *sock)
{
  int error = pending_error (sock);

  if (error)
    {
      report_end (sock, error == ECONNREFUSED ? SOCK_END_REFUSED : SOCK_END_CONNECT_FAILED);
      return;
    }
  sock->connecting = false;
  update_events (sock);
  if (sock->ops->connected)
    sock->ops->connected (sock);
}

/* Reads what the kernel has buffered, up to about max_bytes bytes. Returns 1 if the connection is
 * still open, 0 at end of file, and -1 with errno set on failure. */
static int
read_available (Sock *sock, size_t max_bytes, bool *got)
{
  /* Shared by all connections of the thread, so that idle ones need no read buffer. */
  static __thread uint8_t buffer[READ_SIZE];

  sock->drained = false;
  for (size_t sum = 0; sum < max_bytes; sum += READ_SIZE)
    {
      ssize_t done = recv (sock->fd.fd, buffer, sizeof buffer, MSG_DONTWAIT);
      if (done == 0)
        return 0;
      if (done < 0 && errno == EINTR)
        continue;
      if (done < 0)
        {
          sock->drained = errno == EAGAIN;
          return errno == EAGAIN ? 1 : -1;
        }
      g_byte_array_append (sock->in, buffer, (guint) done);
      *got = true;
      if (done < READ_SIZE)
        {
          sock->drained = true;
          return 1;
        }
    }
  return 1;
}

static void
read_some (Sock *sock, size_t max_bytes)
{
  bool got = false;
  int state = read_available (sock, max_bytes, &got);
  int error = errno;

  if (got)
    {
      /* The owner may close the socket; its memory is freed after this iteration's events. */
      sock->ops->data (sock);
      if (sock->ended)
        return;
    }
  if (state == 0)
    report_end (sock, SOCK_END_EOF);
  else if (state < 0)
    report_end (sock, end_reason (error));
}

static void
close_in_order (Sock *sock)
{
  sock_set_reset_on_close (sock, false);
  sock_close (sock, false);
}

static void
on_ready (LoopFd *fd, uint32_t bits)
{
  Sock *sock = (Sock *) ((char *) fd - offsetof (Sock, fd));

  if (sock->connecting)
    {
      if (bits & (EPOLLERR | EPOLLHUP | EPOLLOUT))
        complete_connect (sock);
      return;
    }
  if (bits & EPOLLOUT)
    {
      bool waited = sock->out->len > sock->out_at;
      if (!flush (sock))
        {
          report_end (sock, SOCK_END_RESET);
          return;
        }
      if (waited && sock->out->len == 0)
        {
          if (sock->closing)
            {
              close_in_order (sock);
              return;
            }
          if (sock->ops->drained)
            sock->ops->drained (sock);
          if (sock->ended)
            return;
        }
      update_events (sock);
    }
  if (bits & EPOLLERR)
    {
      if (!sock->paused && !sock->closing)
        read_some (sock, SIZE_MAX); /* the bytes received before the failure */
      report_end (sock, end_reason (pending_error (sock)));
    }
  else if (bits & EPOLLIN && !sock->closing)
    read_some (sock, READ_PER_EVENT_MAX);
  else if (bits & (EPOLLRDHUP | EPOLLHUP))
    report_end (sock, SOCK_END_EOF);
}

static Sock *
sock_new (Loop *loop, int fd, SockAddr peer, const SockOps *ops, void *owner)
{
  Sock *sock = g_new0 (Sock, 1);

  set_options (fd);
  sock->ops = ops;
  sock->loop = loop;
  sock->owner = owner;
  sock->peer = peer;
  sock->fd = (LoopFd){ .fd = fd, .ready = on_ready };
  sock->in = g_byte_array_new ();
  sock->out = g_byte_array_new ();
  return sock;
}

/* Binds the local address alone: the port is chosen on connect, so that connections to different
 * peers can share one. */
static bool
bind_source (int fd, uint32_t source)
{
  struct sockaddr_in from = to_sockaddr ((SockAddr){ source, 0 });
  int one = 1;

  if (source == 0)
    return true;
  setsockopt (fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof one);
  return bind (fd, (struct sockaddr *) &from, sizeof from) == 0;
}

Sock *
sock_connect (Loop *loop, SockAddr addr, const SockOps *ops, void *owner)
{
  return sock_connect_from (loop, 0, addr, ops, owner);
}

Sock *
sock_connect_from (Loop *loop, uint32_t source, SockAddr addr, const SockOps *ops, void *owner)
{
  struct sockaddr_in to = to_sockaddr (addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return NULL;
  if (!bind_source (fd, source)
      || (connect (fd, (struct sockaddr *) &to, sizeof to) != 0 && errno != EINPROGRESS))
    {
      int error = errno;
      close (fd);
      errno = error;
      return NULL;
    }
  Sock *sock = sock_new (loop, fd, addr, ops, owner);
  sock->connecting = true;
  if (!loop_add (loop, &sock->fd, EPOLLOUT | EPOLLRDHUP))
    {
      sock->ended = true;
      sock_close (sock, false);
      return NULL;
    }
  return sock;
}

Sock *
sock_accepted (Loop *loop, int fd, SockAddr peer, const SockOps *ops, void *owner)
{
  Sock *sock = sock_new (loop, fd, peer, ops, owner);

  if (!loop_add (loop, &sock->fd, EPOLLIN | EPOLLRDHUP))
    {
      sock->ended = true;
      sock_close (sock, false);
      return NULL;
    }
  return sock;
}

void
sock_write (Sock *sock, const void *data, size_t size)
{
  if (sock->ended || size == 0)
    return;
  bool empty = sock->out->len == sock->out_at;
  if (empty && !sock->connecting)
    {
      /* Most writes fit into the kernel's buffer and need neither a copy nor EPOLLOUT. */
      ssize_t done = send (sock->fd.fd, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (done == (ssize_t) size)
        return;
      if (done > 0)
        {
          data = (const char *) data + done;
          size -= (size_t) done;
        }
      else if (done < 0 && errno != EAGAIN && errno != EINTR)
        sock->failed = true;
      /* A failure is reported on the next read or EPOLLOUT, never from within sock_write. */
    }
  g_byte_array_append (sock->out, data, (guint) size);
  count_unsent (sock);
  update_events (sock);
}

size_t
sock_unsent (const Sock *sock)
{
  return sock->out->len - sock->out_at;
}

bool
sock_has_unacknowledged (const Sock *sock)
{
  int queued = 0;

  return sock_unsent (sock) > 0 || (ioctl (sock->fd.fd, SIOCOUTQ, &queued) == 0 && queued > 0);
}

bool
sock_is_reset (const Sock *sock)
{
  struct pollfd poller = { .fd = sock->fd.fd };

  return poll (&poller, 1, 0) == 1 && poller.revents & (POLLERR | POLLHUP);
}

const uint8_t *
sock_peek (const Sock *sock, size_t *size)
{
  *size = sock->in->len - sock->in_at;
  return sock->in->data + sock->in_at;
}

void
sock_consume (Sock *sock, size_t size)
{
  sock->in_at += size;
  if (sock->in_at < sock->in->len)
    return;
  reset_buffer (&sock->in, &sock->in_at);
}

void
sock_set_user_timeout (Sock *sock, bool on)
{
  int ms = on ? USER_TIMEOUT_MS : 0;

  setsockopt (sock->fd.fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

void
sock_pause (Sock *sock, bool paused)
{
  sock->paused = paused;
  if (!sock->ended)
    update_events (sock);
}

void
sock_pause_all (Sock *sock, bool all_paused)
{
  sock->all_paused = all_paused;
  if (!sock->ended)
    update_events (sock);
}

void
sock_set_unsent_total (Sock *sock, size_t *unsent_total)
{
  sock->unsent_total = unsent_total;
  sock->unsent_counted = 0;
  count_unsent (sock);
}

void
sock_set_reset_on_close (Sock *sock, bool reset)
{
  struct linger linger = { reset, 0 };

  setsockopt (sock->fd.fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

void
sock_close (Sock *sock, bool reset)
{
  if (!sock->ended)
    loop_remove (sock->loop, &sock->fd);
  sock->ended = true;
  if (reset)
    sock_set_reset_on_close (sock, true);
  close (sock->fd.fd);
  sock->fd.fd = -1;
  /* A reader that called this may still be within the data of sock_peek. */
  loop_free_later (sock->loop, g_byte_array_free (sock->in, FALSE));
  g_byte_array_unref (sock->out);
  sock->in = sock->out = NULL;
  count_unsent (sock);
  loop_free_later (sock->loop, sock);
}

void
sock_close_when_sent (Sock *sock)
{
  if (sock->ended || sock_unsent (sock) == 0)
    {
      close_in_order (sock);
      return;
    }
  sock->closing = true;
  sock->paused = true;
  update_events (sock);
}

/* ---- Listening ---- */

struct SockListener
{
  LoopFd fd;
  int spare; /* a descriptor that is given up to refuse a connection if there is no other; -1: none
              */
  Loop *loop;
  SockAccept accept;
  void *owner;
};

void
sock_refuse (int fd)
{
  struct linger reset = { 1, 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (fd);
}

/* Refuses the first waiting connection although there is no descriptor for it. It would keep the
 * listener ready otherwise, and the loop busy, until a descriptor is free. Returns false if none
 * waits. */
static bool
refuse_without_descriptor (SockListener *listener)
{
  if (listener->spare >= 0)
    close (listener->spare);
  int fd = accept4 (listener->fd.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd >= 0)
    sock_refuse (fd);
  listener->spare = eventfd (0, EFD_CLOEXEC);
  return fd >= 0;
}

/* Accepts the first waiting connection. Returns false if there is none. */
static bool
accept_one (SockListener *listener)
{
  struct sockaddr_in from = { 0 };
  socklen_t size = sizeof from;
  int fd
      = accept4 (listener->fd.fd, (struct sockaddr *) &from, &size, SOCK_NONBLOCK | SOCK_CLOEXEC);

  if (fd < 0 && (errno == EMFILE || errno == ENFILE))
    return refuse_without_descriptor (listener);
  if (fd < 0)
    return errno == ECONNABORTED || errno == EINTR;
  listener->accept (listener->owner, fd,
                    (SockAddr){ ntohl (from.sin_addr.s_addr), ntohs (from.sin_port) });
  return true;
}

static void
on_accept (LoopFd *base, uint32_t bits)
{
  SockListener *listener = (SockListener *) base;
  unsigned count = 0;

  (void) bits;
  while (count < BACKLOG && accept_one (listener))
    count++;
}

/* Returns -1 with errno set if the address cannot be bound. */
static int
open_bound (SockAddr addr)
{
  struct sockaddr_in at = to_sockaddr (addr);
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *) &at, sizeof at) == 0)
    return fd;
  int error = errno;
  close (fd);
  errno = error;
  return -1;
}

bool
sock_can_bind (SockAddr addr)
{
  int fd = open_bound (addr);

  if (fd >= 0)
    close (fd);
  return fd >= 0;
}

SockListener *
sock_listen (Loop *loop, SockAddr addr, SockAccept accept, void *owner)
{
  int fd = open_bound (addr);

  if (fd < 0)
    return NULL;
  SockListener *listener = g_new0 (SockListener, 1);
  *listener = (SockListener){ .fd = { .fd = fd, .ready = on_accept },
                              .spare = eventfd (0, EFD_CLOEXEC),
                              .loop = loop,
                              .accept = accept,
                              .owner = owner };
  if (listen (fd, BACKLOG) != 0 || !loop_add (loop, &listener->fd, EPOLLIN))
    {
      int error = errno;
      close (fd);
      close (listener->spare);
      g_free (listener);
      errno = error;
      return NULL;
    }
  return listener;
}

void
sock_listener_free (SockListener *listener)
{
  if (listener == NULL)
    return;
  loop_remove (listener->loop, &listener->fd);
  close (listener->fd.fd);
  if (listener->spare >= 0)
    close (listener->spare);
  g_free (listener);
}
