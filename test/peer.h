/* peer.h - test double for the remote end of a link, over a socket pair. */
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
  MeshPeer peer; /* end under test */
  int remote_fd;
  GByteArray *received; /* bytes not yet returned by test_peer_next */
} TestPeer;

static inline void
test_peer_on_data (Sock *sock)
{
  (void) sock;
}

static inline void
test_peer_on_end (Sock *sock, SockEnd how)
{
  (void) sock;
  (void) how;
}

static inline void
test_ignore_link (void *host, MeshPeer *peer)
{
  (void) host;
  (void) peer;
}

static inline void
test_ignore_message (void *host, MeshPeer *peer, const MeshMsg *msg)
{
  (void) host;
  (void) peer;
  (void) msg;
}

/* Creates the mesh of an instance on the first free port from the given one on. It ignores all
 * links and messages. */
static inline Mesh *
test_mesh_new (Loop *loop, MeshRole role, uint16_t from)
{
  static const MeshOps ops = { test_ignore_link, test_ignore_message, test_ignore_link };
  uint32_t self = 0x7f000001;
  MeshHello hello = { .address = self, .lifetime = 1, .role = role, .domain = (char *) "z" };
  Mesh *mesh = NULL;

  for (uint16_t port = from; mesh == NULL && port < from + 400; port++)
    mesh = mesh_new (loop, (SockAddr){ self, port }, port, &hello, &ops, NULL);
  return mesh;
}

/* Creates a link to a simulated instance at this address. It is not registered with the mesh. */
static inline TestPeer
test_peer_new (Loop *loop, Mesh *mesh, uint32_t ip, MeshRole role, bool dialled)
{
  static const SockOps ops = { NULL, test_peer_on_data, NULL, test_peer_on_end };
  TestPeer out
      = { .peer = { .mesh = mesh, .ip = ip, .lifetime = ip, .role = role, .dialled = dialled } };
  int pair[2];

  g_assert_cmpint (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair), ==, 0);
  out.remote_fd = pair[1];
  out.received = g_byte_array_new ();
  out.peer.sock = sock_accepted (loop, pair[0], (SockAddr){ 0 }, &ops, NULL);
  out.peer.received_at = loop_now (loop);
  return out;
}

static inline void
test_peer_free (TestPeer *one)
{
  sock_close (one->peer.sock, false);
  close (one->remote_fd);
  g_byte_array_unref (one->received);
}

/* Gets the next message that the remote end received, to be freed with codec_clear. False: no
 * complete message has arrived. */
static inline bool
test_peer_next (TestPeer *one, MeshMsg *msg)
{
  uint8_t buffer[4096];
  ssize_t size;
  uint32_t mark;

  while ((size = read (one->remote_fd, buffer, sizeof buffer)) > 0)
    g_byte_array_append (one->received, buffer, (guint) size);
  memset (msg, 0, sizeof *msg);
  if (one->received->len < sizeof mark)
    return false;
  memcpy (&mark, one->received->data, sizeof mark);
  guint length = ntohl (mark) & 0x7fffffff;
  g_assert_cmpint (
      codec_unpack (CODEC (MeshMsg), one->received->data + sizeof mark, length, msg, NULL), ==,
      FT_OK);
  g_byte_array_remove_range (one->received, 0, sizeof mark + length);
  return true;
}

#endif
