/* client.c - sends a request and reads its response on one connection.
 *
 * The response is read while the request is sent: a server may answer before it has read all of it,
 * and then close the connection.
 */
#include "client.h"

#include <errno.h>
#include <fcntl.h>
#include <netdb.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SCHEME      "http://"
#define BUFFER_SIZE 16384

typedef struct
{
  const ClientOps *ops;
  void *user;
  int fd;
  int64_t until;
  GString *out;
  size_t sent;
  HReader *reader;
  unsigned status;
  bool ended, unwanted;
} Exchange;

/* ---- Connecting ---- */

/* Waits for events on fd. Returns those that occurred; 0: the time limit has passed. */
static short
wait_for (int fd, short events, int64_t until)
{
  struct pollfd poller = { fd, events, 0 };
  int64_t left = until - g_get_monotonic_time ();

  while (left > 0)
    {
      int count = poll (&poller, 1, (int) MIN (left / FT_MS + 1, G_MAXINT));
      if (count > 0)
        return poller.revents;
      if (count < 0 && errno != EINTR)
        return 0;
      left = until - g_get_monotonic_time ();
    }
  return 0;
}

/* Returns a connected socket, or -1. */
static int
connect_address (const struct addrinfo *to, int64_t until)
{
  int fd = socket (to->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int error = 0;
  socklen_t size = sizeof error;

  if (fd < 0)
    return -1;
  if (connect (fd, to->ai_addr, to->ai_addrlen) == 0)
    return fd;
  if (errno == EINPROGRESS && wait_for (fd, POLLOUT, until) != 0
      && getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0)
    return fd;
  close (fd);
  return -1;
}

/* host: "NAME:PORT" or "NAME"; an IPv6 address stands in brackets. */
static int
connect_host (const char *host, int64_t until)
{
  struct addrinfo hints = { .ai_socktype = SOCK_STREAM }, *found = NULL;
  const char *bracket = *host == '[' ? strchr (host, ']') : NULL;
  const char *colon = strrchr (bracket ? bracket : host, ':');
  const char *end = bracket ? bracket : colon ? colon : host + strlen (host);
  const char *start = bracket ? host + 1 : host;
  char *name = g_strndup (start, (gsize) (end - start));
  int fd = -1;

  if (getaddrinfo (name, colon ? colon + 1 : "80", &hints, &found) == 0)
    for (const struct addrinfo *to = found; to && fd < 0; to = to->ai_next)
      fd = connect_address (to, until);
  if (found)
    freeaddrinfo (found);
  g_free (name);
  return fd;
}

/* ---- Reading ---- */

static void
on_head (void *user, HMsg *msg)
{
  Exchange *exchange = user;

  exchange->status = hmsg_status (msg);
  exchange->unwanted = !exchange->ops->head (exchange->user, msg);
}

static void
on_body (void *user, const char *data, size_t size)
{
  Exchange *exchange = user;

  if (!exchange->unwanted)
    exchange->unwanted = !exchange->ops->body (exchange->user, data, size);
}

static void
on_end (void *user)
{
  ((Exchange *) user)->ended = true;
}

static const HReadOps read_ops = { on_head, on_body, on_end };

/* False: no more is to be read. */
static bool
receive (Exchange *exchange)
{
  char buffer[BUFFER_SIZE];
  HReadFault fault = 0;
  ssize_t got = recv (exchange->fd, buffer, sizeof buffer, MSG_DONTWAIT);

  if (got < 0)
    return errno == EAGAIN || errno == EINTR;
  if (got == 0)
    {
      hread_finish (exchange->reader);
      return false;
    }
  for (size_t used = 0; used < (size_t) got && !exchange->ended;)
    {
      used += hread_feed (exchange->reader, buffer + used, (size_t) got - used, &fault);
      if (fault || exchange->unwanted)
        return false;
    }
  return !exchange->ended;
}

/* ---- Sending ---- */

/* True if text can stand in a request line. */
static bool
is_visible (const char *text)
{
  for (; *text; text++)
    if ((unsigned char) *text <= ' ' || *text == 0x7f)
      return false;
  return true;
}

/* True if each CR and LF ends a line, as a pair. */
static bool
are_lines (const char *fields)
{
  for (const char *at = fields; *at; at++)
    if (*at == '\n' || (*at == '\r' && *++at != '\n'))
      return false;
  return true;
}

static GString *
format_request (const ClientRequest *request, const char *host, const char *path)
{
  GString *out = g_string_sized_new (512 + request->size);
  bool has_body = request->size > 0 || strcmp (request->method, "POST") == 0
                  || strcmp (request->method, "PUT") == 0 || strcmp (request->method, "PATCH") == 0;

  hwrite_request_line (out, request->method, *path ? path : "/");
  hwrite_field (out, "Host", host);
  hwrite_field (out, "Accept", "*/*");
  if (request->fields)
    g_string_append (out, request->fields);
  if (has_body)
    hwrite_number_field (out, "Content-Length", (int64_t) request->size);
  hwrite_head_end (out);
  g_string_append_len (out, request->body, (gssize) request->size);
  return out;
}

/* A server that does not read the rest may have answered all the same, so a failure ends only the
 * sending. */
static void
send_more (Exchange *exchange)
{
  ssize_t done = send (exchange->fd, exchange->out->str + exchange->sent,
                       exchange->out->len - exchange->sent, MSG_NOSIGNAL | MSG_DONTWAIT);

  if (done > 0)
    exchange->sent += (size_t) done;
  else if (done < 0 && errno != EAGAIN && errno != EINTR)
    exchange->sent = exchange->out->len;
}

static void
run (Exchange *exchange)
{
  for (;;)
    {
      bool sending = exchange->sent < exchange->out->len;
      short events
          = wait_for (exchange->fd, (short) (POLLIN | (sending ? POLLOUT : 0)), exchange->until);
      if (events == 0 || (events & ~POLLOUT && !receive (exchange)))
        return;
      if (sending && events & POLLOUT)
        send_more (exchange);
    }
}

unsigned
client_exchange (const ClientRequest *request, const ClientOps *ops, void *user)
{
  Exchange exchange
      = { .ops = ops, .user = user, .until = g_get_monotonic_time () + request->timeout_us };
  bool has_scheme = g_str_has_prefix (request->url, SCHEME);
  const char *start = request->url + (has_scheme ? strlen (SCHEME) : 0);

  if ((!has_scheme && strstr (request->url, "://")) || !is_visible (request->url)
      || !is_visible (request->method) || (request->fields && !are_lines (request->fields)))
    return 0;
  size_t length = strcspn (start, "/");
  char *host = g_strndup (start, length);
  exchange.fd = connect_host (host, exchange.until);
  if (exchange.fd >= 0)
    {
      exchange.out = format_request (request, host, start + length);
      exchange.reader = hread_new (false, &read_ops, &exchange);
      hread_set_no_body (exchange.reader, strcmp (request->method, "HEAD") == 0);
      run (&exchange);
      close (exchange.fd);
      hread_free (exchange.reader);
      g_string_free (exchange.out, TRUE);
    }
  g_free (host);
  return exchange.ended && !exchange.unwanted ? exchange.status : 0;
}
