/* rawback.c - test-rawback PORT: a backend server of raw bytes for test/stops.sh. It stops behind
 * any byte of an answer.
 *
 * A request names how in its target (a service) or body (an engine), as KIND/HOW/AT; KIND: length,
 * interim (the same after interim responses), chunked or unframed; HOW: close or reset, or whole to
 * send all; AT: the bytes sent before. An engine's stream that is resumed is sent whole. Each
 * answer that is not sent whole is printed as stopped plain/KIND/HOW/AT or stopped
 * stream/KIND/HOW/AT.
 *
 * Or it names one of the heads of heads.h as head/NUMBER/TYPE, TYPE being that of an engine's
 * answer: event, other or none. The answer is whole, and its text differs from that of all others.
 * Or it names bytes that do not end as flood/KIND; KIND: see floods below.
 *
 * test-rawback heads prints for each head its number, name, status, and whether it is framed.
 */
#include "heads.h"
#include "hmsg.h"
#include "sock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PIECES     3
#define INTERIM    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
#define STOP_DELAY (5 * FT_MS) /* so that a reset does not overtake the bytes */

#define FLOOD_SIZE (16u << 10) /* bytes of one part of what does not end */

/* What does not end, and what comes before it; without append nothing comes. */
typedef struct
{
  const char *kind, *start;
  void (*append) (GString *out, unsigned number);
} Flood;

typedef struct
{
  LoopTimer timer;
  Sock *sock;
  const Flood *flood; /* NULL: the answer ends */
  unsigned flooded;   /* parts of it that were written */
} RawConn;

static Loop *loop;

static void
append_flood_event (GString *out, unsigned number)
{
  char *text = g_strnfill (FLOOD_SIZE, 'x');

  g_string_append_printf (out, "id: %u\ndata: {\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\n",
                          number, text);
  g_free (text);
}

/* The first pieces never come. */
static void
append_flood_early (GString *out, unsigned number)
{
  append_flood_event (out, number + 100);
}

static void
append_flood_chunk (GString *out, unsigned number)
{
  char *text = g_strnfill (FLOOD_SIZE, 'x');

  (void) number;
  hwrite_chunk (out, text, FLOOD_SIZE);
  g_free (text);
}

static void
append_flood_trailer (GString *out, unsigned number)
{
  (void) number;
  g_string_append (out, "Name: value\r\n");
}

static void
append_flood_comment (GString *out, unsigned number)
{
  (void) number;
  g_string_append (out, ": nothing\n");
}

#define EVENTS_HEAD "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
#define CHUNKS_HEAD                                                                                \
  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"

static const Flood floods[] = { { "events", EVENTS_HEAD, append_flood_event },
                                { "early", EVENTS_HEAD, append_flood_early },
                                { "comments", EVENTS_HEAD, append_flood_comment },
                                { "body", CHUNKS_HEAD, append_flood_chunk },
                                { "silence", "", NULL },
                                { "trailers", CHUNKS_HEAD "0\r\n", append_flood_trailer } };

static void
close_raw (RawConn *conn, bool reset)
{
  loop_timer_stop (loop, &conn->timer);
  sock_close (conn->sock, reset);
  loop_free_later (loop, conn);
}

static void
on_reset_timer (LoopTimer *timer)
{
  close_raw ((RawConn *) timer, true);
}

/* Writes until the kernel takes no more. */
static void
write_flood (RawConn *conn)
{
  GString *out = g_string_new (NULL);

  while (sock_unsent (conn->sock) == 0 && !conn->sock->failed)
    {
      g_string_truncate (out, 0);
      while (out->len < FLOOD_SIZE)
        conn->flood->append (out, conn->flooded++);
      sock_write (conn->sock, out->str, out->len);
    }
  g_string_free (out, TRUE);
}

/* True: the request names a flood, which has begun. */
static bool
start_flood (RawConn *conn, const char *text)
{
  const char *kind = strstr (text, "flood/");

  if (kind == NULL || strstr (text, "?offset="))
    return false;
  for (unsigned i = 0; i < G_N_ELEMENTS (floods); i++)
    if (g_str_has_prefix (kind + strlen ("flood/"), floods[i].kind))
      conn->flood = &floods[i];
  if (conn->flood == NULL)
    return false;
  printf ("%s\n", conn->flood->kind);
  fflush (stdout);
  sock_write (conn->sock, conn->flood->start, strlen (conn->flood->start));
  if (conn->flood->append)
    write_flood (conn);
  return true;
}

static void
append_piece (GString *out, bool chunked, const char *piece)
{
  if (chunked)
    hwrite_chunk (out, piece, strlen (piece));
  else
    g_string_append (out, piece);
}

/* letter: of the pieces' text. */
static void
append_stream (GString *out, bool chunked, unsigned first, char letter)
{
  char piece[128];

  for (unsigned i = first; i < PIECES; i++)
    {
      g_snprintf (piece, sizeof piece,
                  "id: %u\ndata: {\"choices\":[{\"delta\":{\"content\":\"%c%u \"}}]}\n\n", i,
                  letter, i);
      append_piece (out, chunked, piece);
    }
  g_snprintf (piece, sizeof piece, "id: %d\ndata: [DONE]\n\n", PIECES);
  append_piece (out, chunked, piece);
}

static GString *
whole_answer (const char *kind, bool stream, unsigned first)
{
  bool chunked = strcmp (kind, "chunked") == 0;
  bool interim = strcmp (kind, "interim") == 0;
  GString *out = g_string_new (interim ? INTERIM : ""), *body = g_string_new (NULL);

  hwrite_status_line (out, 200);
  if (stream)
    append_stream (body, chunked, first, 'w');
  else
    append_piece (body, chunked, "the whole answer");
  if (chunked)
    g_string_append (body, "0\r\n\r\n");
  hwrite_field (out, "Content-Type", stream ? "text/event-stream" : "text/plain");
  if (chunked)
    hwrite_field (out, "Transfer-Encoding", "chunked");
  else if (interim || strcmp (kind, "length") == 0)
    hwrite_number_field (out, "Content-Length", (int64_t) body->len);
  hwrite_head_end (out);
  g_string_append_len (out, body->str, (gssize) body->len);
  g_string_free (body, TRUE);
  return out;
}

static GString *
odd_answer (const char *how, bool stream)
{
  unsigned number = MIN ((unsigned) atoi (how), (unsigned) G_N_ELEMENTS (heads) - 1);
  const char *type = how + strspn (how, "0123456789/");
  GString *body = g_string_new (NULL);

  if (stream)
    append_stream (body, false, 0, 'x');
  else
    g_string_append (body, "the odd answer");
  GString *out = head_write_answer (&heads[number],
                                    g_str_has_prefix (type, "none") ? ""
                                    : g_str_has_prefix (type, "event")
                                        ? "Content-Type: text/event-stream\r\n"
                                        : "Content-Type: text/plain\r\n",
                                    body->str);
  g_string_free (body, TRUE);
  return out;
}

/* text: the request, whose body may have come with escaped slashes. */
static void
answer (RawConn *conn, const char *text)
{
  const char *resumed = strstr (text, "?offset="), *stop = strstr (text, "stop/");
  const char *odd = strstr (text, "/head/") ? strstr (text, "/head/") : strstr (text, "\"head/");
  bool stream = resumed || strncmp (text, "POST /v1/", 9) == 0;
  char kind[16] = "length", how[16] = "whole";
  unsigned at = 0;

  if (stop)
    sscanf (stop, "stop/%15[^/]/%15[^/]/%u", kind, how, &at);
  GString *out = odd ? odd_answer (odd + strlen ("/head/"), stream)
                     : whole_answer (kind, stream, resumed ? (unsigned) atoi (resumed + 8) : 0);
  size_t size = strcmp (how, "whole") == 0 ? out->len : MIN (at, out->len);
  sock_write (conn->sock, out->str, size);
  if (odd)
    {
      printf ("head %d\n", atoi (odd + strlen ("/head/")));
      fflush (stdout);
    }
  if (size < out->len)
    {
      printf ("stopped %s/%s/%s/%u\n", stream ? "stream" : "plain", kind, how, at);
      fflush (stdout);
    }
  g_string_free (out, TRUE);
  if (strcmp (how, "reset") == 0)
    {
      loop_timer_set (loop, &conn->timer, loop_now (loop) + STOP_DELAY);
      return;
    }
  sock_close_when_sent (conn->sock);
  loop_free_later (loop, conn);
}

static void
on_data (Sock *sock)
{
  size_t size;
  const char *data = (const char *) sock_peek (sock, &size);
  char *text = g_strndup (data, size);
  const char *end = strstr (text, "\r\n\r\n"), *length = strcasestr (text, "Content-Length: ");

  if (end && size >= (size_t) (end + 4 - text) + (length ? (size_t) atoi (length + 16) : 0))
    {
      GString *request = g_string_new (text);
      sock_consume (sock, size);
      g_string_replace (request, "\\/", "/", 0);
      if (!start_flood (sock->owner, request->str))
        answer (sock->owner, request->str);
      g_string_free (request, TRUE);
    }
  g_free (text);
}

static void
on_ended (Sock *sock, SockEnd how)
{
  (void) how;
  close_raw (sock->owner, false);
}

static void
on_drained (Sock *sock)
{
  RawConn *conn = sock->owner;

  if (conn->flood && conn->flood->append)
    write_flood (conn);
}

static const SockOps raw_ops = { NULL, on_data, on_drained, on_ended };

static void
on_accept (void *owner, int fd, SockAddr peer)
{
  RawConn *conn = g_new0 (RawConn, 1);

  (void) owner;
  conn->timer.fire = on_reset_timer;
  conn->sock = sock_accepted (loop, fd, peer, &raw_ops, conn);
  if (conn->sock == NULL)
    g_free (conn);
}

static void
print_heads (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (heads); i++)
    printf ("%u %s %u %s\n", i, heads[i].name, heads[i].status,
            heads[i].framing == HEAD_CLOSE  ? "unframed"
            : heads[i].framing > HEAD_CLOSE ? "empty"
                                            : "framed");
}

int
main (int argc, char **argv)
{
  SockAddr addr = { INADDR_LOOPBACK, argc == 2 ? (uint16_t) atoi (argv[1]) : 0 };

  if (argc == 2 && strcmp (argv[1], "heads") == 0)
    {
      print_heads ();
      return 0;
    }
  loop = loop_new ();
  if (addr.port == 0 || loop == NULL || sock_listen (loop, addr, on_accept, NULL) == NULL)
    {
      fprintf (stderr, "usage: test-rawback PORT (of the loopback interface, not in use)\n");
      return 1;
    }
  loop_run (loop);
  return 0;
}
