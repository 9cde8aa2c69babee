/* older.c - links to instances that run an older program: their messages lack the fields that were
 * added at the end since then. The older instance is a raw socket. */
#include "codec.h"
#include "mesh.h"

#include <string.h>

#define TEST_TIMEOUT (20 * FT_SECOND) /* only ends a test that hangs */
#define PORT_FIRST   23700

static Loop *loop;
static Sock *older; /* NULL: closed */
static unsigned ups, downs, asks;
static bool knew_origins, knew_listed;
static char software[32], server[32];

static void
on_up (void *host, MeshPeer *peer)
{
  (void) host;
  ups++;
  knew_origins = peer->knows_origins;
  knew_listed = peer->knows_listed;
}

static void
on_message (void *host, MeshPeer *peer, const MeshMsg *msg)
{
  (void) host;
  (void) peer;
  if (msg->kind != MESH_ASK)
    return;
  asks++;
  g_strlcpy (software, msg->MeshMsg_u.ask.software, sizeof software);
  g_strlcpy (server, msg->MeshMsg_u.ask.server, sizeof server);
  loop_stop (loop);
}

static void
on_down (void *host, MeshPeer *peer)
{
  (void) host;
  (void) peer;
  downs++;
  loop_stop (loop);
}

static const MeshOps mesh_ops = { on_up, on_message, on_down };

static void
ignore_data (Sock *sock)
{
  size_t size;

  sock_peek (sock, &size);
  sock_consume (sock, size);
}

static void
ignore_end (Sock *sock, SockEnd how)
{
  (void) how;
  sock_close (sock, false);
  older = NULL;
}

static const SockOps sock_ops = { NULL, ignore_data, NULL, ignore_end };

static void
on_watchdog (LoopTimer *timer)
{
  (void) timer;
  g_error ("the test timed out");
}

/* Sends the message without its last bytes, as one record. */
static void
send_without (const MeshMsg *msg, unsigned lacks)
{
  GByteArray *bytes = codec_pack (CODEC (MeshMsg), msg);

  g_byte_array_set_size (bytes, bytes->len - lacks);
  uint32_t mark = GUINT32_TO_BE (0x80000000u | bytes->len);
  sock_write (older, &mark, sizeof mark);
  sock_write (older, bytes->data, bytes->len);
  g_byte_array_unref (bytes);
}

/* Runs a link on which an older instance says hello and then asks, each without its last bytes. */
static void
run_link (unsigned hello_lacks, unsigned ask_lacks)
{
  char domain[] = "z", none[] = "", name[] = "i-1";
  MeshHello own = { .address = 0x7f000001, .lifetime = 1, .role = MESH_VOTER, .domain = domain };
  MeshMsg hello = { .kind = MESH_HELLO }, ask = { .kind = MESH_ASK };
  LoopTimer watchdog = { .fire = on_watchdog };
  Mesh *mesh = NULL;
  uint16_t port;

  ups = downs = asks = 0;
  loop = loop_new ();
  loop_timer_set (loop, &watchdog, loop_now (loop) + TEST_TIMEOUT);
  for (port = PORT_FIRST; mesh == NULL; port++)
    mesh = mesh_new (loop, (SockAddr){ 0x7f000001, port }, port, &own, &mesh_ops, NULL);
  older = sock_connect (loop, (SockAddr){ 0x7f000001, port - 1 }, &sock_ops, NULL);
  hello.MeshMsg_u.hello
      = (MeshHello){ .address = 0x7f000002, .lifetime = 2, .role = MESH_ENTRY, .domain = domain };
  ask.MeshMsg_u.ask = (MeshAsk){
    .request = 1, .service = domain, .org = none, .avoid = none, .server = name, .software = none
  };
  send_without (&hello, hello_lacks);
  send_without (&ask, ask_lacks);
  loop_run (loop);
  if (older)
    sock_close (older, false);
  mesh_free (mesh);
  loop_timer_stop (loop, &watchdog);
  loop_free (loop);
}

/* Guards against closing the links to older instances, so that a deployment cannot be upgraded one
 * instance at a time. */
static void
fields_are_missing (void)
{
  run_link (sizeof (uint32_t), sizeof (uint32_t));
  g_assert_cmpuint (ups, ==, 1);
  g_assert_false (knew_listed);
  run_link (3 * sizeof (uint32_t), sizeof (uint32_t));
  g_assert_cmpuint (ups, ==, 1);
  g_assert_cmpuint (asks, ==, 1);
  g_assert_false (knew_origins);
  g_assert_false (knew_listed);
  g_assert_cmpstr (software, ==, "");
  g_assert_cmpstr (server, ==, "i-1");
}

/* Guards against taking a message that was cut off for one of an older program. */
static void
more_is_missing (void)
{
  run_link (sizeof (uint32_t), 6 * sizeof (uint32_t));
  g_assert_cmpuint (ups, ==, 1);
  g_assert_cmpuint (asks, ==, 0);
  g_assert_cmpuint (downs, ==, 1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/older/fields_are_missing", fields_are_missing);
  g_test_add_func ("/older/more_is_missing", more_is_missing);
  return g_test_run ();
}
