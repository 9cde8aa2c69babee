/* upload.c - tests, with real processes on loopback, of servers that answer a
 * long request before they have read it: what of such an answer a caller gets
 * as a whole one. */
#include "fleet.h"
#include "rawsrv.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RAW_PORT   8742
#define CHECK_PORT 8743
#define SERVERS    2
#define READ_SIZE  (16u << 10) /* bytes of a request after which a server answers ... */
#define READ_MAX   (40u << 10) /* ... having read fewer than these */
#define PLAYS      6           /* of each case */

typedef enum
{
  END_RESET,      /* resets the connection some ms after the answer */
  END_RESET_LATE, /* resets it after a longer time */
  END_CLOSE,      /* closes it with the rest of the request unread */
  END_HALF,       /* ends its side in order, and resets the connection at once */
  END_HALF_LATE,  /* the same, and resets it some time later */
  END_HALF_CLOSE, /* the same, and closes it with the rest of the request unread
                   */
  END_IN_ORDER    /* reads the whole request before it answers, and closes in order
                   */
} EndMode;

typedef enum
{
  ANSWER_UNFRAMED, /* a status 200 that only the connection's end ends */
  ANSWER_EVENTS,   /* the same of type text/event-stream */
  ANSWER_FRAMED,   /* a status 413 with its length */
} AnswerKind;

typedef struct
{
  const char *name, *path;
  EndMode end;
  AnswerKind kind;
  bool relayed; /* the entry is cut off and sends through another one */
} Case;

/* The second one fits into the buffers on the way, so that a server's kernel
 * takes all of it. */
static const unsigned sizes[] = { 20u << 10, 60u << 10, 200u << 10, 1000u << 10 };

static const Case *played;
static unsigned runs;

static void
on_end_timer (LoopTimer *timer)
{
  RawConn *conn = (RawConn *) timer;
  bool reset = played->end != END_CLOSE && played->end != END_HALF_CLOSE;

  rawconn_close (conn, reset);
}

static int64_t
end_delay (EndMode end)
{
  switch (end)
    {
    case END_RESET:
      return 3 * FT_MS;
    case END_RESET_LATE:
      return 300 * FT_MS;
    case END_HALF_LATE:
    case END_HALF_CLOSE:
      return 50 * FT_MS;
    default:
      return FT_MS / 2;
    }
}

static void
on_request (RawConn *conn, const char *head)
{
  Loop *loop = rawsrv_loop (conn->srv);
  char *id = rawsrv_field (head, "X-Foxtailgrade-Request-Id");
  bool framed = played->kind == ANSWER_FRAMED;
  char *text
      = g_strdup_printf ("HTTP/1.1 %s\r\nConnection: close\r\nX-Foxtailgrade-Request-Id: "
                         "%s\r\nX-Foxtailgrade-Server-Signature: sig\r\n"
                         "%s\r\n%s",
                         framed ? "413 Content Too Large" : "200 OK", id,
                         framed                          ? "Content-Length: 5\r\n"
                         : played->kind == ANSWER_EVENTS ? "Content-Type: text/event-stream\r\n"
                                                         : "",
                         played->kind == ANSWER_EVENTS ? "id: 1\ndata: 1\n\n" : "whole");

  runs += *id == 'u';
  rawconn_write (conn, text);
  if (played->end == END_IN_ORDER)
    rawconn_close_when_sent (conn);
  else
    {
      if (played->end >= END_HALF)
        shutdown (conn->sock->fd.fd, SHUT_WR);
      conn->timer.fire = on_end_timer;
      loop_timer_set (loop, &conn->timer, loop_now (loop) + end_delay (played->end));
    }
  g_free (text);
  g_free (id);
}

static bool
is_done (void *data)
{
  return ((const Answer *) data)->done;
}

static Fleet *
start_fleet (const Case *play, RawSrv **servers)
{
  static const Case settled = { .end = END_IN_ORDER };
  Fleet *fleet = fleet_new ();

  played = &settled;
  runs = 0;
  fleet->budget_slack = 100000;
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    {
      fleet->servers[i].listed = i < SERVERS;
      fleet->servers[i].addr.port = RAW_PORT;
    }
  if (play->relayed)
    fleet_add_detours (fleet);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      servers[i] = rawsrv_new (fleet->loop, fleet->servers[i].addr,
                               play->end == END_IN_ORDER ? 0 : READ_SIZE, on_request, NULL);
      g_assert_nonnull (servers[i]);
    }
  fleet_start_all (fleet);
  if (play->relayed)
    fleet_relay_all (fleet, &fleet->entries[0]);
  played = play;
  return fleet;
}

static void
end_fleet (Fleet *fleet, RawSrv **servers)
{
  for (unsigned i = 0; i < SERVERS; i++)
    rawsrv_free (servers[i]);
  fleet_free (fleet);
}

static bool
is_right (const Case *play, const Answer *answer)
{
  bool whole = !answer->broken && strcmp (answer->body->str, "whole") == 0;

  if (play->end == END_IN_ORDER)
    return whole && answer->status == 200;
  if (play->kind == ANSWER_FRAMED)
    return whole && answer->status == 413;
  return answer->broken || answer->status == 502 || answer->status == 504;
}

/* Guards against a part of an answer that is told as the whole, since its
 * server had stopped reading the request; and against a whole answer that is
 * not passed on. */
static void
early_answer (gconstpointer data)
{
  const Case *play = data;
  RawSrv *servers[SERVERS];
  Fleet *fleet = start_fleet (play, servers);
  uint64_t relayed = play->relayed ? fleet_relayed_count (fleet, &fleet->entries[0]) : 0;
  unsigned sent = 0;

  for (unsigned i = 0; i < G_N_ELEMENTS (sizes) * PLAYS; i++)
    {
      unsigned size = sizes[i % G_N_ELEMENTS (sizes)];
      char *body = g_strnfill (size, 'a' + (char) (i % 26)), id[16];
      Answer answer;

      if (play->end != END_IN_ORDER && size < READ_MAX)
        {
          g_free (body); /* the whole request would be read */
          continue;
        }
      g_snprintf (id, sizeof id, "u%u", i);
      fleet_send_body (fleet, &fleet->entries[0], play->path, id, body, &answer);
      fleet_run_until (fleet, is_done, &answer, "an answer");
      sent++;
      if (!is_right (play, &answer))
        {
          g_test_message ("%s, %u bytes: status %u, %zu bytes \"%s\"%s", play->name, size,
                          answer.status, answer.body->len, answer.body->str,
                          answer.broken ? ", broken off" : "");
          g_test_fail ();
        }
      fleet_answer_clear (&answer);
      g_free (body);
    }
  g_test_message ("%s: %u requests, %u run", play->name, sent, runs);
  g_assert_cmpuint (runs, >=, sent);
  if (play->relayed)
    g_assert_cmpuint (fleet_relayed_count (fleet, &fleet->entries[0]), >=, relayed + sent);
  end_fleet (fleet, servers);
}

/* ---- A reset that something else sees first ---- */

typedef struct
{
  Loop *loop;
  HCli *cli;
  RawConn *conn; /* the server's side */
  GString *body;
  bool ended, failed, checked;
  LoopTimer timer;
} Client;

static bool
on_client_head (void *user, const HMsg *msg)
{
  (void) user;
  (void) msg;
  return true;
}

/* The server resets the connection, and then somebody asks whether it still
 * stands. */
static void
on_client_timer (LoopTimer *timer)
{
  Client *client = (Client *) ((char *) timer - offsetof (Client, timer));

  if (client->checked)
    {
      loop_stop (client->loop);
      return;
    }
  rawconn_close (client->conn, true);
  g_assert_false (hcli_is_connected (client->cli, "server"));
  client->checked = true;
  loop_timer_set (client->loop, timer, loop_now (client->loop) + SOCK_RESET_WAIT);
}

static void
on_client_body (void *user, const char *data, size_t size)
{
  Client *client = user;

  g_string_append_len (client->body, data, (gssize) size);
  loop_timer_set (client->loop, &client->timer, loop_now (client->loop));
}

static void
on_client_end (void *user)
{
  ((Client *) user)->ended = true;
}

static void
on_client_failed (void *user, HXferFault fault)
{
  g_assert_cmpint (fault, ==, HXFER_BROKEN);
  ((Client *) user)->failed = true;
}

static const HXferOps client_ops
    = { on_client_head, on_client_body, on_client_end, on_client_failed, NULL };

static void
on_client_request (RawConn *conn, const char *head)
{
  (void) head;
  ((Client *) rawsrv_user (conn->srv))->conn = conn;
  rawconn_write (conn, "HTTP/1.1 200 OK\r\n\r\npart");
}

/* Guards against a check of a connection that takes the kernel's report of its
 * reset, after which the end of an answer reads as an orderly one. */
static void
check_takes_reset (void)
{
  SockAddr addr = { INADDR_LOOPBACK + ((uint32_t) getpid () & 0xffff), CHECK_PORT };
  Client client
      = { .loop = loop_new (), .body = g_string_new (NULL), .timer.fire = on_client_timer };
  RawSrv *server = rawsrv_new (client.loop, addr, 0, on_client_request, &client);
  HCliTarget target = { .addr = addr, .key = "server", .connect_us = FT_SECOND };
  GString *request = g_string_new ("GET / HTTP/1.1\r\nHost: a\r\n\r\n");

  client.cli = hcli_new (client.loop);
  g_assert_nonnull (server);
  g_assert_nonnull (hcli_send (client.cli, &target, request, &client_ops, &client));
  loop_run (client.loop);
  g_assert_cmpstr (client.body->str, ==, "part");
  g_assert_true (client.failed && !client.ended);
  rawsrv_free (server);
  hcli_free (client.cli);
  loop_free (client.loop);
  g_string_free (client.body, TRUE);
  g_string_free (request, TRUE);
}

static const Case cases[] = {
  { "plain/reset", "/plain/a", END_RESET, ANSWER_UNFRAMED, false },
  { "plain/reset_late", "/plain/a", END_RESET_LATE, ANSWER_UNFRAMED, false },
  { "plain/close", "/plain/a", END_CLOSE, ANSWER_UNFRAMED, false },
  { "plain/half", "/plain/a", END_HALF, ANSWER_UNFRAMED, false },
  { "plain/half_late", "/plain/a", END_HALF_LATE, ANSWER_UNFRAMED, false },
  { "plain/half_close", "/plain/a", END_HALF_CLOSE, ANSWER_UNFRAMED, false },
  { "once/half", "/once/a", END_HALF, ANSWER_UNFRAMED, false },
  { "once/half_late", "/once/a", END_HALF_LATE, ANSWER_UNFRAMED, false },
  { "once/half_close", "/once/a", END_HALF_CLOSE, ANSWER_UNFRAMED, false },
  { "stream/half", "/stream/a", END_HALF, ANSWER_EVENTS, false },
  { "stream/half_late", "/stream/a", END_HALF_LATE, ANSWER_EVENTS, false },
  { "relay/half", "/once/a", END_HALF, ANSWER_UNFRAMED, true },
  { "relay/half_late", "/once/a", END_HALF_LATE, ANSWER_UNFRAMED, true },
  { "relay/close", "/once/a", END_CLOSE, ANSWER_UNFRAMED, true },
  { "refusal/half_late", "/once/a", END_HALF_LATE, ANSWER_FRAMED, false },
  { "refusal/reset_late", "/once/a", END_RESET_LATE, ANSWER_FRAMED, false },
  { "refusal/close", "/once/a", END_CLOSE, ANSWER_FRAMED, false },
  { "refusal/half", "/once/a", END_HALF, ANSWER_FRAMED, false },
  { "refusal/reset", "/once/a", END_RESET, ANSWER_FRAMED, false },
  { "refusal/relay", "/once/a", END_HALF_LATE, ANSWER_FRAMED, true },
  { "whole/once", "/once/a", END_IN_ORDER, ANSWER_UNFRAMED, false },
  { "whole/plain", "/plain/a", END_IN_ORDER, ANSWER_UNFRAMED, false },
  { "whole/relay", "/once/a", END_IN_ORDER, ANSWER_UNFRAMED, true },
};

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/upload/%s", cases[i].name);
      g_test_add_data_func (path, &cases[i], early_answer);
      g_free (path);
    }
  g_test_add_func ("/upload/check_takes_reset", check_takes_reset);
  return g_test_run ();
}
