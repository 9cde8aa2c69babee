/* endless.c - tests of bytes that are no answer and do not end: what ends them, and what callers
 * get. The reader is fed directly; servers that send them are simulated beside real processes. */
#include "fleet.h"

#include <string.h>

#define STREAM_EVENTS 8
#define READ_MAX      (1u << 20) /* bytes that mean nothing after which the reader must have failed */

/* ---- The reader ---- */

static unsigned heads, ends;

static void
on_head (void *user, HMsg *msg)
{
  (void) user;
  (void) msg;
  heads++;
}

static void
on_body (void *user, const char *data, size_t size)
{
  (void) user;
  (void) data;
  (void) size;
}

static void
on_end (void *user)
{
  (void) user;
  ends++;
}

static const HReadOps read_ops = { on_head, on_body, on_end };

typedef struct
{
  const char *path, *first, *repeated;
  unsigned piece; /* bytes fed at a time; 0: all of repeated */
} Endless;

static const Endless endless[] = {
  { "/endless/reader/status_line", "HTTP/1.1 200 ", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", 0 },
  { "/endless/reader/status_line_bytewise", "HTTP/1.1 200 ", "aaaaaaaa", 1 },
  { "/endless/reader/blank_lines", "", "\r\n\r\n\r\n\r\n", 0 },
  { "/endless/reader/fields", "HTTP/1.1 200 OK\r\n", "Name: value\r\n", 0 },
  { "/endless/reader/field_name", "HTTP/1.1 200 OK\r\n", "aaaaaaaaaaaaaaaaaaaaaaaa", 0 },
  { "/endless/reader/field_value", "HTTP/1.1 200 OK\r\nName: ", "aaaaaaaaaaaaaaaaaaaaa", 0 },
  { "/endless/reader/spaces", "HTTP/1.1 200 OK\r\nName:", "                    ", 0 },
  { "/endless/reader/informational", "", "HTTP/1.1 103 Early\r\nLink: a\r\n\r\n", 0 },
  { "/endless/reader/informational_bytewise", "", "HTTP/1.1 100 Continue\r\n\r\n", 1 },
  { "/endless/reader/chunk_extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
    "name=value;", 0 },
  { "/endless/reader/chunk_size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0000",
    0 },
  { "/endless/reader/trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "Name: value\r\n", 0 },
};

/* Guards against a response that goes on for ever without a byte of its body, for which nothing
 * that counts bodies or their silence ends the transfer. */
static void
reader_fails (const void *data)
{
  const Endless *from = data;
  HReader *reader = hread_new (false, &read_ops, NULL);
  GString *bytes = g_string_new (from->first);
  HReadFault fault = 0;
  size_t fed = 0, piece = from->piece ? from->piece : G_MAXUINT;

  ends = 0;
  while (!fault && fed < READ_MAX)
    {
      for (size_t at = 0; at < bytes->len && !fault; at += piece)
        hread_feed (reader, bytes->str + at, MIN (piece, bytes->len - at), &fault);
      fed += bytes->len;
      g_string_assign (bytes, from->repeated);
    }
  g_assert_cmpint (fault, !=, 0);
  g_assert_cmpuint (ends, ==, 0);
  g_string_free (bytes, TRUE);
  hread_free (reader);
}

/* Long bodies, also in the smallest chunks, and as many short responses are no fault. */
static void
reader_goes_on (void)
{
  HReader *reader = hread_new (false, &read_ops, NULL);
  static const char head[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  static const char next[] = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\nName: value\r\n\r\n";
  HReadFault fault;

  hread_feed (reader, head, strlen (head), &fault);
  for (unsigned i = 0; i < READ_MAX; i++)
    {
      hread_feed (reader, "1\r\nx\r\n", 6, &fault);
      g_assert_cmpint (fault, ==, 0);
    }
  hread_feed (reader, "0\r\n\r\n", 5, &fault);
  g_assert_cmpint (fault, ==, 0);
  for (unsigned i = 0; i < READ_MAX / 32; i++)
    {
      hread_feed (reader, next, strlen (next), &fault);
      g_assert_cmpint (fault, ==, 0);
    }
  hread_free (reader);
}

/* ---- Servers ---- */

static bool
is_done (void *data)
{
  return ((const Answer *) data)->done;
}

static bool
is_rid_of_floods (void *data)
{
  const Fleet *fleet = data;
  unsigned count = 0;

  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    count += fleet->servers[i].floods->len;
  return count == 0;
}

static bool
any_flood (void *data)
{
  return !is_rid_of_floods (data);
}

static void
check_stream (const Fleet *fleet, const Answer *stream)
{
  GString *whole = g_string_new (NULL);

  for (unsigned i = 1; i <= STREAM_EVENTS; i++)
    g_string_append_printf (whole, "id: %u\ndata: event %u\n\n", i, i);
  if (stream->broken || strcmp (stream->body->str, whole->str) != 0)
    g_error ("status %u, broken %d, %zu bytes, \"%.200s\" (logs in %s)", stream->status,
             stream->broken, stream->body->len, stream->body->str, fleet->base);
  g_string_free (whole, TRUE);
}

/* All servers flood at first. */
static Fleet *
new_fleet (ServerMode mode, unsigned bytes, unsigned ms)
{
  Fleet *fleet = fleet_new ();

  fleet->flood_bytes = bytes;
  fleet->flood_ms = ms;
  fleet_start_all (fleet);
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    fleet->servers[i].mode = mode;
  return fleet;
}

/* Sends a request to the flooding servers and, once one floods, makes the others healthy. */
static void
send_to_flood (Fleet *fleet, const char *path, Answer *answer)
{
  fleet_send (fleet, &fleet->entries[0], path, "f", answer);
  fleet_run_until (fleet, any_flood, fleet, "a server floods");
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    if (fleet->servers[i].floods->len == 0)
      fleet->servers[i].mode = SERVER_HEALTHY;
}

static void
stream_is_had_elsewhere (unsigned bytes, unsigned ms, unsigned after, bool comments)
{
  Fleet *fleet = new_fleet (SERVER_FLOOD_EVENT, bytes, ms);
  Answer stream;

  fleet->flood_after = after;
  fleet->flood_comments = comments;
  send_to_flood (fleet, "/stream/a", &stream);
  fleet_run_until (fleet, is_done, &stream, "the stream ends");
  check_stream (fleet, &stream);
  fleet_run_until (fleet, is_rid_of_floods, fleet, "the server's connection is closed");
  fleet_answer_clear (&stream);
  fleet_free (fleet);
}

/* Guards against taking bytes of a first event that never ends for a sign of life. */
static void
first_event_trickles (void)
{
  stream_is_had_elsewhere (1, 50, 0, false);
}

/* Guards against the same in the middle of a stream. */
static void
later_event_trickles (void)
{
  stream_is_had_elsewhere (1, 50, 2, false);
}

/* Guards against dropping a part of an event that is too long and taking its rest for an event. */
static void
event_too_long (void)
{
  stream_is_had_elsewhere (65536, 1, 2, false);
}

/* Guards against taking comments that do not end for a sign of life, at the start of a stream and
 * in the middle. */
static void
comments_without_end (gconstpointer after)
{
  stream_is_had_elsewhere (7, 50, GPOINTER_TO_UINT (after), true);
}

/* Guards against keeping comments that come fast. */
static void
many_comments (void)
{
  stream_is_had_elsewhere (65536 / 7 * 7, 1, 2, true);
}

/* Guards against waiting for the end of a refusal, whose head says all: the request can run
 * elsewhere, also one that may run once only. */
static void
refusal (void)
{
  Fleet *fleet = new_fleet (SERVER_FLOOD_REFUSE, 1024, 20);
  Answer answer;

  send_to_flood (fleet, "/once/a", &answer);
  fleet_run_until (fleet, is_done, &answer, "the answer");
  g_assert_cmpuint (answer.status, ==, 200);
  g_assert_cmpuint (fleet_run_count (fleet, "f"), ==, 1);
  fleet_run_until (fleet, is_rid_of_floods, fleet, "the server's connection is closed");
  fleet_answer_clear (&answer);
  fleet_free (fleet);
}

/* Guards against a fast refusal that takes the entry's time until the time limit: all servers
 * refuse, so the request is refused as soon as its tries are used up. */
static void
fast_refusal (void)
{
  Fleet *fleet = new_fleet (SERVER_FLOOD_REFUSE, 65536, 1);
  Answer answer;

  fleet_call (fleet, &fleet->entries[0], "/once/a", "f", &answer);
  g_assert_cmpuint (answer.status, ==, 503);
  g_assert_null (strstr (answer.body->str, "time-limit"));
  fleet_answer_clear (&answer);
  fleet_run_until (fleet, is_rid_of_floods, fleet, "the servers' connections are closed");
  fleet_free (fleet);
}

/* Guards against a server that floods on after the caller has closed its connection. */
static void
plain_until_caller_leaves (void)
{
  Fleet *fleet = new_fleet (SERVER_FLOOD_PLAIN, 65536, 10);
  Answer answer;

  send_to_flood (fleet, "/plain/a", &answer);
  fleet_run_for (fleet, 500 * FT_MS);
  g_assert_false (answer.done);
  hxfer_cancel (answer.xfer);
  fleet_run_until (fleet, is_rid_of_floods, fleet, "the server's connection is closed");
  fleet_answer_clear (&answer);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (endless); i++)
    g_test_add_data_func (endless[i].path, &endless[i], reader_fails);
  g_test_add_func ("/endless/reader/goes_on", reader_goes_on);
  g_test_add_func ("/endless/first_event_trickles", first_event_trickles);
  g_test_add_func ("/endless/later_event_trickles", later_event_trickles);
  g_test_add_func ("/endless/event_too_long", event_too_long);
  g_test_add_data_func ("/endless/comments/first", GUINT_TO_POINTER (0), comments_without_end);
  g_test_add_data_func ("/endless/comments/later", GUINT_TO_POINTER (2), comments_without_end);
  g_test_add_func ("/endless/comments/many", many_comments);
  g_test_add_func ("/endless/refusal", refusal);
  g_test_add_func ("/endless/fast_refusal", fast_refusal);
  g_test_add_func ("/endless/plain_until_caller_leaves", plain_until_caller_leaves);
  return g_test_run ();
}
