/* peer.h - the far end of a link, played by a test over a socket pair. */
#ifndef TEST_PEER_H
#define TEST_PEER_H

#include "codec.h"
#include "mesh.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct
{
  MeshPeer peer; /* the near end */
  int far;
  GByteArray *got; /* not taken by test_peer_next yet */
} TestPeer;

static inline void
test_peer_data (Sock *sock)
{
  (void) sock;
}

static inline void
test_peer_ended (Sock *sock, SockEnd how)
{
  (void) sock;
  (void) how;
}

static inline void
test_no_link (void *host, MeshPeer *peer)
{
  (void) host;
  (void) peer;
}

static inline void
test_no_message (void *host, MeshPeer *peer, const MeshMsg *msg)
{
  (void) host;
  (void) peer;
  (void) msg;
}

/* The links of an instance to which nobody comes, on the first free port from that one on. */
static inline Mesh *
test_mesh (Loop *loop, MeshRole role, uint16_t from)
{
  static const MeshOps ops = { test_no_link, test_no_message, test_no_link };
  uint32_t self = 0x7f000001;
  MeshHello hello = { .address = self, .lifetime = 1, .role = role, .domain = (char *) "z" };
  Mesh *mesh = NULL;

  for (uint16_t port = from; mesh == NULL && port < from + 400; port++)
    mesh = mesh_new (loop, (SockAddr){ self, port }, port, &hello, &ops, NULL);
  return mesh;
}

static inline TestPeer
test_peer (Loop *loop, Mesh *mesh, uint32_t ip, MeshRole role, bool dialled)
{
  static const SockOps ops = { NULL, test_peer_data, NULL, test_peer_ended };
  TestPeer out
      = { .peer = { .mesh = mesh, .ip = ip, .lifetime = ip, .role = role, .dialled = dialled } };
  int pair[2];

  g_assert_cmpint (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair), ==, 0);
  out.far = pair[1];
  out.got = g_byte_array_new ();
  out.peer.sock = sock_accepted (loop, pair[0], (SockAddr){ 0 }, &ops, NULL);
  out.peer.received_at = loop_now (loop);
  return out;
}

static inline void
test_peer_end (TestPeer *one)
{
  sock_close (one->peer.sock, false);
  close (one->far);
  g_byte_array_unref (one->got);
}

/* The next message that the far end got, to be cleared by codec_clear; false: none. */
static inline bool
test_peer_next (TestPeer *one, MeshMsg *msg)
{
  uint8_t buffer[4096];
  ssize_t size;
  uint32_t mark;

  while ((size = read (one->far, buffer, sizeof buffer)) > 0)
    g_byte_array_append (one->got, buffer, (guint) size);
  memset (msg, 0, sizeof *msg);
  if (one->got->len < sizeof mark)
    return false;
  memcpy (&mark, one->got->data, sizeof mark);
  guint length = ntohl (mark) & 0x7fffffff;
  g_assert_cmpint (codec_unpack (CODEC (MeshMsg), one->got->data + sizeof mark, length, msg, NULL),
                   ==, FT_OK);
  g_byte_array_remove_range (one->got, 0, sizeof mark + length);
  return true;
}

#endif
