/* mesh.c - connections (links) between instances.
 *
 * An instance dials those that it needs and accepts connections from all others. A link delivers
 * messages in both directions in order until it is closed. Nothing is resent on a new link: its
 * users send the state that matters again when a link comes up. Both ends send at least once in
 * KEEPALIVE_INTERVAL, so a peer that is silent for longer than SILENCE_MAX is taken for lost and
 * dialled again, even without a reset.
 */
#include "mesh.h"
#include "codec.h"

#include <arpa/inet.h>
#include <string.h>
#include <urcu/list.h>

#define TICK                (50 * FT_MS)
#define KEEPALIVE_INTERVAL  (400 * FT_MS)  /* three within SILENCE_MAX, of which two may be late */
#define SILENCE_MAX         (1300 * FT_MS) /* a dead link must be detected within 2 s */
#define REDIAL_DELAY        (250 * FT_MS)
#define STARTUP_TIME        (3 * FT_SECOND) /* other instances may be starting at the same time */
#define STARTUP_TICK        (20 * FT_MS)    /* TICK within STARTUP_TIME */
#define STARTUP_REDIAL      (20 * FT_MS)    /* REDIAL_DELAY within STARTUP_TIME */
#define STARTUP_CONNECT_MAX (50 * FT_MS)    /* at startup; connecting between domains takes 2 ms */
#define CONNECT_MAX         (200 * FT_MS)   /* the kernel retransmits a lost SYN only after 1 s */
#define READ_PAUSE_MAX                                                                             \
  (500 * FT_MS) /* both ends send more often; a longer pause is this process's own */
#define FRAME_MAX         (16u << 20)
#define UNSENT_MAX        (32u << 20) /* bounds the memory for a peer that reads nothing */
#define ADDED_FIELDS_SIZE 12 /* bytes that newer programs have added to one message, at most */
#define LAST_FRAGMENT     0x80000000u /* bit of a record mark (RFC 5531, section 11) */

typedef struct
{
  MeshPeer base;
  struct cds_list_head link;
  bool up;
  int64_t dialled_at;
  unsigned hello_sent; /* hello_number of the hello that it was sent last */
} Peer;

typedef struct
{
  uint32_t ip;
  Peer *peer; /* NULL: not connected */
  int64_t next_try;
  bool once; /* not dialled again when the connection is lost */
} Dial;

#define KIND_COUNT (MESH_LISTED + 1)

typedef struct
{
  uint64_t messages, bytes;
} Traffic;

struct Mesh
{
  Loop *loop;
  SockAddr self;
  SockListener *listener;
  MeshHello hello;
  char *domain;
  const MeshOps *ops;
  void *host;
  GHashTable *dials; /* ip: Dial */
  struct cds_list_head peers;
  LoopTimer tick;
  unsigned hello_number; /* incremented with each change of hello */
  int64_t started;
  Traffic sent[KIND_COUNT], received[KIND_COUNT];
};

/* True within STARTUP_TIME of the start, when dialling is faster. After a power failure all
 * instances start within half a second of each other, and an entry's first connects are lost at
 * machines that are not up yet. Waiting for these attempts cost 0.35 s, in which every caller
 * waited, although the voters were already up. */
static bool
is_starting (const Mesh *mesh)
{
  return loop_now (mesh->loop) - mesh->started < STARTUP_TIME;
}

static int64_t
redial_delay (const Mesh *mesh)
{
  return is_starting (mesh) ? STARTUP_REDIAL : REDIAL_DELAY;
}

/* How long a peer may be silent: until its connection is established, until its hello or later. */
static int64_t
silence_max (const Peer *peer)
{
  if (peer->up)
    return SILENCE_MAX;
  return peer->base.sock->connecting && is_starting (peer->base.mesh) ? STARTUP_CONNECT_MAX
                                                                      : CONNECT_MAX;
}

static void
close_peer (Peer *peer)
{
  Mesh *mesh = peer->base.mesh;
  Dial *dial = g_hash_table_lookup (mesh->dials, GUINT_TO_POINTER (peer->base.ip));

  if (peer->base.dialled && dial && dial->peer == peer)
    {
      dial->peer = NULL;
      dial->next_try = loop_now (mesh->loop) + redial_delay (mesh);
    }
  cds_list_del (&peer->link);
  sock_close (peer->base.sock, true);
  peer->base.sock = NULL;
  if (peer->up)
    mesh->ops->down (mesh->host, &peer->base);
  loop_free_later (mesh->loop, peer);
}

static void
count_message (Traffic *traffic, MeshKind kind, size_t size)
{
  if ((unsigned) kind >= KIND_COUNT)
    return;
  traffic[kind].messages++;
  traffic[kind].bytes += size;
}

/* The kind of a packed message, which follows the record mark. */
static MeshKind
packed_kind (const void *data)
{
  uint32_t kind;

  memcpy (&kind, (const uint8_t *) data + sizeof kind, sizeof kind);
  return (MeshKind) ntohl (kind);
}

GBytes *
mesh_pack (const MeshMsg *msg)
{
  GByteArray *bytes = codec_pack (CODEC (MeshMsg), msg);

  if (bytes == NULL)
    return NULL;
  uint32_t mark = htonl (LAST_FRAGMENT | bytes->len);
  g_byte_array_prepend (bytes, (const guint8 *) &mark, sizeof mark);
  return g_byte_array_free_to_bytes (bytes);
}

bool
mesh_send_packed (MeshPeer *base, GBytes *packed)
{
  gsize size;

  if (packed == NULL || base->sock == NULL || sock_unsent (base->sock) > UNSENT_MAX)
    return false;
  const void *data = g_bytes_get_data (packed, &size);
  count_message (base->mesh->sent, packed_kind (data), size);
  base->sent_at = loop_now (base->mesh->loop);
  sock_write (base->sock, data, size);
  return true;
}

bool
mesh_send (MeshPeer *base, const MeshMsg *msg)
{
  GBytes *packed = mesh_pack (msg);

  bool sent = mesh_send_packed (base, packed);
  if (packed)
    g_bytes_unref (packed);
  return sent;
}

size_t
mesh_unsent (const MeshPeer *base)
{
  return base->sock ? sock_unsent (base->sock) : 0;
}

/* Sends eight bytes instead of a whole hello. If hundreds of instances sent a hello to each voter
 * every 0.4 s and voters replied with their whole state, most of the traffic between failure
 * domains would repeat unchanged data. */
void
mesh_keep_alive (MeshPeer *peer, int64_t interval)
{
  MeshMsg msg = { .kind = MESH_ALIVE };

  if (loop_now (peer->mesh->loop) - peer->sent_at >= interval)
    mesh_send (peer, &msg);
}

static void
send_hello (Peer *peer)
{
  MeshMsg msg = { .kind = MESH_HELLO, .MeshMsg_u.hello = peer->base.mesh->hello };

  peer->hello_sent = peer->base.mesh->hello_number;
  mesh_send (&peer->base, &msg);
}

/* Closes older connections that the same instance opened. An instance that restarts dials again
 * before its old connection is known to be dead. */
static void
close_older_peers (Peer *new_peer)
{
  Mesh *mesh = new_peer->base.mesh;
  Peer *peer, *next;

  cds_list_for_each_entry_safe (peer, next, &mesh->peers, link)
  {
    if (peer != new_peer && !peer->base.dialled && !new_peer->base.dialled
        && peer->base.ip == new_peer->base.ip)
      close_peer (peer);
  }
}

static void
on_hello (Peer *peer, const MeshHello *hello)
{
  Mesh *mesh = peer->base.mesh;

  if (peer->base.dialled && hello->address != peer->base.ip)
    {
      close_peer (peer);
      return;
    }
  peer->base.ip = hello->address;
  peer->base.lifetime = hello->lifetime;
  peer->base.role = hello->role;
  peer->base.leaving = hello->leaving;
  peer->base.cut_off = hello->cut_off;
  peer->base.knows_origins = hello->origins;
  peer->base.knows_listed = hello->listed;
  peer->base.document = hello->document;
  g_strlcpy (peer->base.domain, hello->domain, sizeof peer->base.domain);
  if (peer->up)
    return;
  if (!peer->base.dialled)
    {
      close_older_peers (peer);
      send_hello (peer);
    }
  peer->up = true;
  mesh->ops->up (mesh->host, &peer->base);
}

/* A message of an older program lacks the fields that were added at its end since then; they are
 * taken as zero. */
static bool
unpack (const void *data, size_t size, MeshMsg *msg)
{
  if (codec_unpack (CODEC (MeshMsg), data, size, msg, NULL) == FT_OK)
    return true;
  codec_clear (CODEC (MeshMsg), msg);
  memset (msg, 0, sizeof *msg);
  uint8_t *padded = g_malloc0 (size + ADDED_FIELDS_SIZE);
  memcpy (padded, data, size);
  bool valid = codec_unpack (CODEC (MeshMsg), padded, size + ADDED_FIELDS_SIZE, msg, NULL) == FT_OK;
  g_free (padded);
  return valid;
}

static void
handle_message (Peer *peer, const void *data, size_t size)
{
  MeshMsg msg = { 0 };

  bool valid = unpack (data, size, &msg);
  if (valid)
    count_message (peer->base.mesh->received, msg.kind, size + sizeof (uint32_t));
  if (!valid)
    close_peer (peer);
  else if (msg.kind == MESH_HELLO)
    on_hello (peer, &msg.MeshMsg_u.hello);
  else if (peer->up && msg.kind != MESH_ALIVE)
    peer->base.mesh->ops->message (peer->base.mesh->host, &peer->base, &msg);
  codec_clear (CODEC (MeshMsg), &msg);
}

int64_t
mesh_arrived_at (const MeshPeer *peer)
{
  int64_t now = loop_now (peer->mesh->loop);

  return now - peer->drained_at > READ_PAUSE_MAX ? peer->drained_at : now;
}

static void
read_messages (Peer *peer, Sock *sock)
{
  size_t size;

  while (!sock->ended)
    {
      const uint8_t *data = sock_peek (sock, &size);
      uint32_t mark;
      if (size < sizeof mark)
        return;
      memcpy (&mark, data, sizeof mark);
      mark = ntohl (mark);
      uint32_t length = mark & ~LAST_FRAGMENT;
      if (!(mark & LAST_FRAGMENT) || length > FRAME_MAX)
        {
          close_peer (peer);
          return;
        }
      if (size < sizeof mark + length)
        return;
      handle_message (peer, data + sizeof mark, length);
      if (!sock->ended)
        sock_consume (sock, sizeof mark + length);
    }
}

static void
on_data (Sock *sock)
{
  Peer *peer = sock->owner;

  peer->base.received_at = loop_now (peer->base.mesh->loop);
  read_messages (peer, sock);
  if (sock->drained)
    peer->base.drained_at = loop_now (peer->base.mesh->loop);
}

static void
on_connected (Sock *sock)
{
  Peer *peer = sock->owner;

  peer->base.received_at = peer->base.drained_at = loop_now (peer->base.mesh->loop);
  send_hello (peer);
}

static void
on_ended (Sock *sock, SockEnd how)
{
  (void) how;
  close_peer (sock->owner);
}

static const SockOps sock_ops = { on_connected, on_data, NULL, on_ended };

static Peer *
peer_new (Mesh *mesh, bool dialled)
{
  Peer *peer = g_new0 (Peer, 1);

  peer->base.mesh = mesh;
  peer->base.dialled = dialled;
  peer->base.received_at = peer->base.drained_at = peer->dialled_at = loop_now (mesh->loop);
  return peer;
}

static void
on_accept (void *owner, int fd, SockAddr from)
{
  Mesh *mesh = owner;
  Peer *peer = peer_new (mesh, false);

  peer->base.sock = sock_accepted (mesh->loop, fd, from, &sock_ops, peer);
  if (peer->base.sock == NULL)
    {
      g_free (peer);
      return;
    }
  cds_list_add_tail (&peer->link, &mesh->peers);
}

static void
try_dial (Mesh *mesh, Dial *dial)
{
  SockAddr addr = { dial->ip, mesh->self.port };
  Peer *peer = peer_new (mesh, true);

  dial->next_try = loop_now (mesh->loop) + redial_delay (mesh);
  peer->base.ip = dial->ip;
  peer->base.sock = sock_connect (mesh->loop, addr, &sock_ops, peer);
  if (peer->base.sock == NULL)
    {
      g_free (peer);
      return;
    }
  dial->peer = peer;
  cds_list_add_tail (&peer->link, &mesh->peers);
}

static void
tick_dials (Mesh *mesh, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, mesh->dials);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Dial *dial = value;
      if (dial->peer == NULL && dial->once)
        g_hash_table_iter_remove (&iter);
      else if (dial->peer == NULL && now >= dial->next_try)
        try_dial (mesh, dial);
    }
}

static void
send_hello_or_alive (Peer *peer)
{
  if (peer->hello_sent != peer->base.mesh->hello_number)
    send_hello (peer);
  else
    mesh_keep_alive (&peer->base, KEEPALIVE_INTERVAL);
}

static void
on_tick (LoopTimer *timer)
{
  Mesh *mesh = (Mesh *) ((char *) timer - offsetof (Mesh, tick));
  int64_t now = loop_now (mesh->loop);
  Peer *peer, *next;

  cds_list_for_each_entry_safe (peer, next, &mesh->peers, link)
  {
    if (now - peer->base.received_at > silence_max (peer))
      close_peer (peer);
    else if (peer->up && peer->base.dialled)
      send_hello_or_alive (peer);
  }
  tick_dials (mesh, now);
  loop_timer_set (mesh->loop, timer, now + (is_starting (mesh) ? STARTUP_TICK : TICK));
}

Mesh *
mesh_new (Loop *loop, SockAddr listen, uint16_t port, const MeshHello *hello, const MeshOps *ops,
          void *host)
{
  Mesh *mesh = g_new0 (Mesh, 1);

  mesh->loop = loop;
  mesh->self = (SockAddr){ listen.ip, port };
  mesh->hello = *hello;
  mesh->domain = g_strdup (hello->domain);
  mesh->hello.domain = mesh->domain;
  mesh->ops = ops;
  mesh->host = host;
  mesh->dials = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  CDS_INIT_LIST_HEAD (&mesh->peers);
  mesh->listener = sock_listen (loop, listen, on_accept, mesh);
  if (mesh->listener == NULL)
    {
      mesh_free (mesh);
      return NULL;
    }
  mesh->started = loop_now (loop);
  mesh->tick.fire = on_tick;
  loop_timer_set (loop, &mesh->tick, loop_now (loop) + TICK);
  return mesh;
}

void
mesh_free (Mesh *mesh)
{
  Peer *peer, *next;

  if (mesh == NULL)
    return;
  sock_listener_free (mesh->listener);
  cds_list_for_each_entry_safe (peer, next, &mesh->peers, link) close_peer (peer);
  loop_timer_stop (mesh->loop, &mesh->tick);
  g_hash_table_unref (mesh->dials);
  g_free (mesh->domain);
  g_free (mesh);
}

void
mesh_update_hello (Mesh *mesh, bool leaving, bool cut_off, uint64_t document)
{
  bool changed = mesh->hello.leaving != leaving || mesh->hello.cut_off != cut_off
                 || mesh->hello.document != document;

  mesh->hello.leaving = leaving;
  mesh->hello.cut_off = cut_off;
  mesh->hello.document = document;
  if (changed)
    mesh->hello_number++; /* sent on the next tick */
}

/* Returns NULL if ip is already dialled, is this instance's own or is 0. */
static Dial *
new_dial (Mesh *mesh, uint32_t ip)
{
  if (ip == 0 || ip == mesh->self.ip || g_hash_table_contains (mesh->dials, GUINT_TO_POINTER (ip)))
    return NULL;
  Dial *dial = g_new0 (Dial, 1);
  dial->ip = ip;
  g_hash_table_insert (mesh->dials, GUINT_TO_POINTER (ip), dial);
  return dial;
}

void
mesh_dial (Mesh *mesh, uint32_t ip)
{
  Dial *created = new_dial (mesh, ip);
  Dial *dial = g_hash_table_lookup (mesh->dials, GUINT_TO_POINTER (ip));

  if (created)
    try_dial (mesh, created);
  else if (dial)
    dial->once = false;
}

bool
mesh_dial_once (Mesh *mesh, uint32_t ip)
{
  Dial *dial = new_dial (mesh, ip);

  if (dial == NULL)
    return false;
  dial->once = true;
  try_dial (mesh, dial);
  return true;
}

void
mesh_undial_once (Mesh *mesh, uint32_t ip)
{
  const Dial *dial = g_hash_table_lookup (mesh->dials, GUINT_TO_POINTER (ip));

  if (dial && dial->once)
    mesh_undial (mesh, ip);
}

void
mesh_undial (Mesh *mesh, uint32_t ip)
{
  Dial *dial = g_hash_table_lookup (mesh->dials, GUINT_TO_POINTER (ip));

  if (dial == NULL)
    return;
  Peer *peer = dial->peer;
  g_hash_table_remove (mesh->dials, GUINT_TO_POINTER (ip));
  if (peer)
    close_peer (peer);
}

static void
append_direction (const Traffic *traffic, const char *direction, GString *out)
{
  static const char *const names[KIND_COUNT] = { [MESH_HELLO] = "hello",
                                                 [MESH_VIEW] = "view",
                                                 [MESH_DOCUMENT] = "document",
                                                 [MESH_LIST] = "list",
                                                 [MESH_ASK] = "ask",
                                                 [MESH_GRANT] = "grant",
                                                 [MESH_REFUSE] = "refuse",
                                                 [MESH_FIRST_EVENT] = "first",
                                                 [MESH_SILENCE] = "silent",
                                                 [MESH_DONE] = "done",
                                                 [MESH_RAFT] = "log",
                                                 [MESH_LIST_REQUEST] = "want-list",
                                                 [MESH_PACKED_LIST] = "packed-list",
                                                 [MESH_ALIVE] = "alive",
                                                 [MESH_CRASH] = "ended",
                                                 [MESH_CRASH_ACK] = "ended-known",
                                                 [MESH_ANSWERED] = "answered",
                                                 [MESH_CRASH_RETRACTED] = "survived",
                                                 [MESH_CRASH_TABLE] = "blamed",
                                                 [MESH_ROLLOUTS] = "rollouts",
                                                 [MESH_NOTICE] = "notice",
                                                 [MESH_REPORT_END] = "report_end",
                                                 [MESH_RELAYS] = "relays",
                                                 [MESH_ORIGINS] = "origins",
                                                 [MESH_ORIGIN_ASK] = "origin-ask",
                                                 [MESH_ORIGIN_REPLY] = "origin-reply",
                                                 [MESH_LISTED] = "listed" };

  for (unsigned i = MESH_HELLO; i < KIND_COUNT; i++)
    g_string_append_printf (
        out,
        "foxtail_link_messages_total{kind=\"%s\",way=\"%s\"} %" G_GUINT64_FORMAT
        "\nfoxtail_link_bytes_total{kind=\"%s\",way=\"%s\"} %" G_GUINT64_FORMAT "\n",
        names[i], direction, traffic[i].messages, names[i], direction, traffic[i].bytes);
}

void
mesh_append_metrics (const Mesh *mesh, GString *out)
{
  append_direction (mesh->sent, "sent", out);
  append_direction (mesh->received, "received", out);
}

void
mesh_for_each_peer (Mesh *mesh, void (*fn) (MeshPeer *peer, void *data), void *data)
{
  Peer *peer, *next;

  cds_list_for_each_entry_safe (peer, next, &mesh->peers, link)
  {
    if (peer->up)
      fn (&peer->base, data);
  }
}

MeshPeer *
mesh_find_dialled (Mesh *mesh, uint32_t ip)
{
  Dial *dial = g_hash_table_lookup (mesh->dials, GUINT_TO_POINTER (ip));

  return dial && dial->peer && dial->peer->up ? &dial->peer->base : NULL;
}
