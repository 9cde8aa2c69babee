/* link.c - numbered, acknowledged messages between instances, over ONC RPC without rpcbind.
 *
 * Each direction between two instances has its own TCP connection and one sending thread. An RPC
 * carries a batch of numbered messages, and its reply has the number that is expected next.
 * Messages stay queued until they are acknowledged. After a timeout the connection is closed, and
 * the queue is sent again on a new one; the receiver drops duplicates. So if a NAT or firewall
 * forgets a connection, this costs CALL_TIMEOUT_MS and no message is lost. An empty batch is a
 * heartbeat. If a peer cannot be reached for RESET_AFTER, the queue is dropped, the link gets a new
 * incarnation, and both nodes are told to resynchronise.
 *
 * Every batch and every reply carries an HMAC with the key that all instances share.
 */
#include "link.h"
#include "core.h"
#include "dlog.h"
#include "msg.h"
#include "stat.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <rpc/rpc_com.h>
#include <string.h>
#include <unistd.h>

#define HEARTBEAT_INTERVAL (500 * FT_MS)
#define CALL_TIMEOUT_MS    1500 /* three heartbeats */
#define CONNECT_TIMEOUT_MS 500
#define RETRY_MIN          (50 * FT_MS)
#define RETRY_MAX          (500 * FT_MS)
#define RESET_AFTER        (4 * FT_SECOND) /* longer than any lease, so the queue is obsolete */
#define BATCH_BYTES        (2u << 20)
#define MAC_SIZE           32
#define RECORD_MAX         (16 << 20)

typedef struct
{
  Link *link;
  uint32_t id;
  struct sockaddr_in address;
  GMutex lock;
  GCond cond;
  GQueue queue;         /* GByteArray: messages not yet acknowledged */
  uint64_t first;       /* number of the queue's head */
  uint64_t incarnation; /* of the link to the peer; a new one after each reset */
  int64_t acked_at;     /* last acknowledgement or reset */
  CLIENT *client;
  int socket;
} Peer;

/* What has been received from one peer. */
typedef struct
{
  uint64_t incarnation, next;
  uint64_t previous; /* last incarnation; delayed batches of it are rejected */
} Received;

struct Link
{
  Core *core;
  uint32_t self;
  uint64_t incarnation;
  guint8 *key;
  gsize key_size;
  GHashTable *peers;    /* id -> Peer */
  GHashTable *received; /* id -> Received, RPC thread only */
};

static Link *rpc_link; /* since libtirpc's dispatch function has no user data */

/* ---- Authentication ---- */

static void
mac_numbers (GHmac *hmac, const uint64_t *numbers, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      uint64_t be = GUINT64_TO_BE (numbers[i]);
      g_hmac_update (hmac, (const guchar *) &be, sizeof be);
    }
}

static void
batch_mac (const Link *link, const LinkBatch *batch, guint8 *mac)
{
  uint64_t numbers[] = { batch->from, batch->to, batch->incarnation, batch->first };
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, link->key, link->key_size);
  gsize size = MAC_SIZE;

  mac_numbers (hmac, numbers, G_N_ELEMENTS (numbers));
  g_hmac_update (hmac, (const guchar *) batch->messages.messages_val, batch->messages.messages_len);
  g_hmac_get_digest (hmac, mac, &size);
  g_hmac_unref (hmac);
}

static void
ack_mac (const Link *link, const LinkAck *ack, uint64_t incarnation, uint64_t first, guint8 *mac)
{
  uint64_t numbers[] = { ack->incarnation, ack->next, ack->accepted, incarnation, first };
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, link->key, link->key_size);
  gsize size = MAC_SIZE;

  mac_numbers (hmac, numbers, G_N_ELEMENTS (numbers));
  g_hmac_get_digest (hmac, mac, &size);
  g_hmac_unref (hmac);
}

static bool
mac_equal (const void *a, const void *b)
{
  const volatile guint8 *x = a, *y = b;
  guint8 differ = 0;

  for (unsigned i = 0; i < MAC_SIZE; i++)
    differ |= x[i] ^ y[i];
  return differ == 0;
}

/* ---- Receiving ---- */

typedef struct
{
  uint32_t from;
  uint64_t incarnation;
  GByteArray *bytes;
} Delivery;

static void
do_deliver (FtNode *node, void *data)
{
  Delivery *delivery = data;

  ft_node_receive (node, delivery->from, delivery->incarnation, delivery->bytes->data,
                   delivery->bytes->len);
  g_byte_array_unref (delivery->bytes);
  g_free (delivery);
}

static uint32_t
get_be32 (const char *at)
{
  uint32_t be;

  memcpy (&be, at, 4);
  return GUINT32_FROM_BE (be);
}

/* Delivers the new messages of a batch; each is a 32-bit length and its bytes. False: malformed. */
static bool
deliver_messages (Link *link, const LinkBatch *batch, Received *received)
{
  const char *at = batch->messages.messages_val;
  size_t left = batch->messages.messages_len;
  uint64_t number = batch->first;

  while (left > 0)
    {
      uint32_t size = left >= 4 ? get_be32 (at) : 0;
      if (left < 4 || size > left - 4)
        return false;
      if (number == received->next)
        {
          Delivery *delivery = g_new (Delivery, 1);
          delivery->from = batch->from;
          delivery->incarnation = batch->incarnation;
          delivery->bytes = g_byte_array_sized_new (size);
          g_byte_array_append (delivery->bytes, (const guint8 *) at + 4, size);
          core_post (link->core, do_deliver, delivery);
          received->next++;
        }
      number++;
      at += 4 + size;
      left -= 4 + size;
    }
  return true;
}

static bool
accept_batch (Link *link, const LinkBatch *batch, LinkAck *ack)
{
  guint8 mac[MAC_SIZE];

  if (batch->to != link->self || batch->mac.mac_len != MAC_SIZE
      || !g_hash_table_contains (link->peers, GUINT_TO_POINTER (batch->from)))
    return false;
  batch_mac (link, batch, mac);
  if (!mac_equal (mac, batch->mac.mac_val))
    return false;
  Received *received = g_hash_table_lookup (link->received, GUINT_TO_POINTER (batch->from));
  if (received == NULL)
    {
      received = g_new0 (Received, 1);
      g_hash_table_insert (link->received, GUINT_TO_POINTER (batch->from), received);
    }
  if (batch->incarnation == received->previous)
    return false;
  if (received->incarnation != batch->incarnation)
    {
      /* The first batch received of this incarnation. Earlier ones, if any, were received by this
       * instance before it restarted. */
      received->previous = received->incarnation;
      received->incarnation = batch->incarnation;
      received->next = batch->first;
    }
  if (!deliver_messages (link, batch, received))
    return false;
  ack->incarnation = link->incarnation;
  ack->next = received->next;
  ack->accepted = TRUE;
  return true;
}

static void
dispatch (struct svc_req *request, SVCXPRT *transport)
{
  LinkBatch batch;
  LinkAck ack = { 0 };
  guint8 mac[MAC_SIZE];

  if (request->rq_proc == NULLPROC)
    {
      svc_sendreply (transport, (xdrproc_t) (void (*) (void)) xdr_void, NULL);
      return;
    }
  if (request->rq_proc != FT_LINK_DELIVER)
    {
      svcerr_noproc (transport);
      return;
    }
  memset (&batch, 0, sizeof batch);
  if (!svc_getargs (transport, (xdrproc_t) xdr_LinkBatch, (char *) &batch))
    {
      stat_add (STAT_LINK_REJECTED, 1);
      svcerr_decode (transport);
    }
  else
    {
      if (!accept_batch (rpc_link, &batch, &ack))
        stat_add (STAT_LINK_REJECTED, 1);
      ack_mac (rpc_link, &ack, batch.incarnation, batch.first, mac);
      ack.mac.mac_len = ack.accepted ? MAC_SIZE : 0;
      ack.mac.mac_val = (char *) mac;
      svc_sendreply (transport, (xdrproc_t) xdr_LinkAck, (char *) &ack);
    }
  svc_freeargs (transport, (xdrproc_t) xdr_LinkBatch, (char *) &batch);
}

static void *
receive_thread (void *data)
{
  (void) data;
  svc_run ();
  return NULL;
}

static FtStatus
start_listening (const Conf *conf, FtError *error)
{
  int one = 1, max_record = RECORD_MAX;
  struct sockaddr_in address = { .sin_family = AF_INET };
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, conf->address, &address.sin_addr);
  address.sin_port = htons ((uint16_t) conf->link_port);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (listener, (struct sockaddr *) &address, sizeof address) != 0
      || listen (listener, 128) != 0)
    {
      close (listener);
      return ft_error_set (error, FT_IO, 0, "link_port", "%s:%d: %s", conf->address,
                           (int) conf->link_port, g_strerror (errno));
    }
  /* With a record limit libtirpc reads without blocking, so that a peer that sends half a record
   * does not block the others. */
  rpc_control (RPC_SVC_CONNMAXREC_SET, &max_record);
  SVCXPRT *transport = svc_vc_create (listener, 0, 0);
  if (transport == NULL || !svc_reg (transport, FT_LINK_PROGRAM, FT_LINK_VERSION, dispatch, NULL))
    return ft_error_set (error, FT_IO, 0, "link_port", "the RPC service cannot be registered");
  return FT_OK;
}

/* ---- Sending ---- */

static void
disconnect (Peer *peer)
{
  if (peer->client)
    clnt_destroy (peer->client);
  if (peer->socket >= 0)
    close (peer->socket);
  peer->client = NULL;
  peer->socket = -1;
}

static bool
connect_peer (Peer *peer)
{
  int one = 1, failed = 0;
  socklen_t size = sizeof failed;
  struct pollfd poller = { 0 };
  struct netbuf address = { sizeof peer->address, sizeof peer->address, &peer->address };

  peer->socket = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (peer->socket < 0)
    return false;
  if (connect (peer->socket, (struct sockaddr *) &peer->address, sizeof peer->address) != 0
      && errno != EINPROGRESS)
    goto fail;
  poller.fd = peer->socket;
  poller.events = POLLOUT;
  if (poll (&poller, 1, CONNECT_TIMEOUT_MS) != 1
      || getsockopt (peer->socket, SOL_SOCKET, SO_ERROR, &failed, &size) != 0 || failed)
    goto fail;
  fcntl (peer->socket, F_SETFL, fcntl (peer->socket, F_GETFL) & ~O_NONBLOCK);
  setsockopt (peer->socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  struct timeval limit = { CALL_TIMEOUT_MS / 1000, (CALL_TIMEOUT_MS % 1000) * 1000 };
  setsockopt (peer->socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  peer->client = clnt_vc_create (peer->socket, &address, FT_LINK_PROGRAM, FT_LINK_VERSION, 0, 0);
  if (peer->client)
    return true;
fail:
  disconnect (peer);
  return false;
}

/* Fills one batch from the front of the queue. If that is empty, so is the batch: a heartbeat. */
static void
fill_batch (Peer *peer, LinkBatch *batch, GByteArray *bytes, unsigned *count)
{
  Link *link = peer->link;

  *count = 0;
  g_mutex_lock (&peer->lock);
  for (GList *item = peer->queue.head; item && bytes->len < BATCH_BYTES; item = item->next)
    {
      const GByteArray *msg = item->data;
      uint32_t be = GUINT32_TO_BE (msg->len);
      if (*count > 0 && bytes->len + msg->len > BATCH_BYTES)
        break;
      g_byte_array_append (bytes, (const guint8 *) &be, 4);
      g_byte_array_append (bytes, msg->data, msg->len);
      (*count)++;
    }
  batch->from = link->self;
  batch->to = peer->id;
  batch->incarnation = peer->incarnation;
  batch->first = peer->first;
  g_mutex_unlock (&peer->lock);
  batch->messages.messages_len = bytes->len;
  batch->messages.messages_val = (char *) bytes->data;
}

static bool
valid_ack (const Link *link, const LinkAck *ack, const LinkBatch *batch)
{
  guint8 mac[MAC_SIZE];

  if (!ack->accepted || ack->mac.mac_len != MAC_SIZE)
    return false;
  ack_mac (link, ack, batch->incarnation, batch->first, mac);
  return mac_equal (mac, ack->mac.mac_val);
}

static void
apply_ack (Peer *peer, uint64_t incarnation, uint64_t next)
{
  g_mutex_lock (&peer->lock);
  if (peer->incarnation == incarnation)
    while (peer->first < next && peer->queue.length > 0)
      {
        g_byte_array_unref (g_queue_pop_head (&peer->queue));
        peer->first++;
      }
  peer->acked_at = core_now (peer->link->core);
  g_mutex_unlock (&peer->lock);
}

static bool
send_batch (Peer *peer)
{
  Link *link = peer->link;
  LinkBatch batch;
  LinkAck ack;
  guint8 mac[MAC_SIZE];
  unsigned count;
  struct timeval limit = { CALL_TIMEOUT_MS / 1000, (CALL_TIMEOUT_MS % 1000) * 1000 };
  GByteArray *bytes = g_byte_array_new ();

  memset (&batch, 0, sizeof batch);
  memset (&ack, 0, sizeof ack);
  fill_batch (peer, &batch, bytes, &count);
  batch_mac (link, &batch, mac);
  batch.mac.mac_len = MAC_SIZE;
  batch.mac.mac_val = (char *) mac;
  bool done = clnt_call (peer->client, FT_LINK_DELIVER, (xdrproc_t) xdr_LinkBatch, (caddr_t) &batch,
                         (xdrproc_t) xdr_LinkAck, (caddr_t) &ack, limit)
              == RPC_SUCCESS;
  done = done && valid_ack (link, &ack, &batch);
  if (done)
    {
      apply_ack (peer, batch.incarnation, ack.next);
      stat_add (STAT_LINK_MESSAGES_OUT, count);
      stat_add (STAT_LINK_BYTES_OUT, bytes->len + 120);
    }
  xdr_free ((xdrproc_t) xdr_LinkAck, (char *) &ack);
  g_byte_array_unref (bytes);
  return done;
}

static void
do_reset (FtNode *node, void *data)
{
  ft_node_link_reset (node, GPOINTER_TO_UINT (data));
}

/* Resets the link if messages have waited for RESET_AFTER without an acknowledgement. */
static void
reset_if_lost (Peer *peer)
{
  Link *link = peer->link;

  g_mutex_lock (&peer->lock);
  bool lost = peer->queue.length > 0 && core_now (link->core) - peer->acked_at > RESET_AFTER;
  if (lost)
    {
      GByteArray *msg;
      while ((msg = g_queue_pop_head (&peer->queue)) != NULL)
        {
          g_byte_array_unref (msg);
          peer->first++;
        }
      peer->incarnation = core_random (link->core) | 1;
      peer->acked_at = core_now (link->core);
    }
  g_mutex_unlock (&peer->lock);
  if (lost)
    core_post (link->core, do_reset, GUINT_TO_POINTER (peer->id));
}

static void
wait_for_work (Peer *peer, int64_t timeout)
{
  int64_t until = g_get_monotonic_time () + timeout;

  g_mutex_lock (&peer->lock);
  while (peer->queue.length == 0 && g_cond_wait_until (&peer->cond, &peer->lock, until))
    ;
  g_mutex_unlock (&peer->lock);
}

static void *
send_thread (void *data)
{
  Peer *peer = data;
  int64_t retry = RETRY_MIN;
  bool is_down = false;

  for (;;)
    {
      if (peer->client == NULL && !connect_peer (peer))
        {
          if (!is_down)
            dlog (DLOG_WARN, NULL, "link", "instance %u cannot be reached", peer->id);
          is_down = true;
          reset_if_lost (peer);
          g_usleep ((gulong) retry);
          retry = MIN (retry * 2, RETRY_MAX);
          continue;
        }
      if (!send_batch (peer))
        {
          stat_add (STAT_LINK_RECONNECTS, 1);
          disconnect (peer);
          reset_if_lost (peer);
          g_usleep ((gulong) RETRY_MIN);
          continue;
        }
      if (is_down)
        dlog (DLOG_INFO, NULL, "link", "instance %u can be reached again", peer->id);
      is_down = false;
      retry = RETRY_MIN;
      wait_for_work (peer, HEARTBEAT_INTERVAL);
    }
  return NULL;
}

void
link_send (Link *link, uint32_t to, GByteArray *msg)
{
  Peer *peer = g_hash_table_lookup (link->peers, GUINT_TO_POINTER (to));

  if (peer == NULL)
    {
      g_byte_array_unref (msg);
      return;
    }
  g_mutex_lock (&peer->lock);
  g_queue_push_tail (&peer->queue, msg);
  g_cond_signal (&peer->cond);
  g_mutex_unlock (&peer->lock);
}

static FtStatus
read_key (Link *link, const char *path, FtError *error)
{
  char *text = NULL;
  GError *failure = NULL;

  if (!g_file_get_contents (path, &text, &link->key_size, &failure))
    {
      ft_error_set (error, FT_IO, 0, "link_key_file", "%s", failure->message);
      g_error_free (failure);
      return FT_IO;
    }
  link->key = (guint8 *) text;
  if (link->key_size < 16)
    return ft_error_set (error, FT_INVALID, 0, "link_key_file", "%s is shorter than 16 bytes",
                         path);
  return FT_OK;
}

static void
add_peer (Link *link, const ConfInstance *instance)
{
  Peer *peer = g_new0 (Peer, 1);

  peer->link = link;
  peer->id = (uint32_t) instance->id;
  peer->address.sin_family = AF_INET;
  peer->address.sin_port = htons ((uint16_t) instance->link_port);
  inet_pton (AF_INET, instance->address, &peer->address.sin_addr);
  g_mutex_init (&peer->lock);
  g_cond_init (&peer->cond);
  g_queue_init (&peer->queue);
  peer->first = 1;
  peer->socket = -1;
  peer->incarnation = core_random (link->core) | 1;
  peer->acked_at = core_now (link->core);
  g_hash_table_insert (link->peers, GUINT_TO_POINTER (peer->id), peer);
}

FtStatus
link_new (void *core, Link **out, FtError *error)
{
  Link *link = g_new0 (Link, 1);
  const Conf *conf = core_conf (core);
  GHashTableIter iter;
  void *peer;

  link->core = core;
  link->self = (uint32_t) conf->id;
  link->incarnation = core_random (core) | 1;
  link->peers = g_hash_table_new (g_direct_hash, g_direct_equal);
  link->received = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  rpc_link = *out = link;
  FtStatus status = read_key (link, conf->link_key_file, error);
  if (status == FT_OK)
    status = start_listening (conf, error);
  if (status != FT_OK)
    return status;
  for (unsigned i = 0; i < conf->instances->len; i++)
    if (((ConfInstance *) conf->instances->pdata[i])->id != conf->id)
      add_peer (link, conf->instances->pdata[i]);
  g_thread_unref (g_thread_new ("links-in", receive_thread, NULL));
  g_hash_table_iter_init (&iter, link->peers);
  while (g_hash_table_iter_next (&iter, NULL, &peer))
    g_thread_unref (g_thread_new ("link-out", send_thread, peer));
  return FT_OK;
}
