/* serversmsg.c - messages that tell peers the list of servers: the changes since the list that
 * the peer holds, the whole list compressed, or only its digest. */
#include "serversint.h"
#include "codec.h"
#include "compress.h"

#include <string.h>

#define UNCOMPRESSED_CHANGES_MAX                                                                   \
  16 /* most changes that are sent uncompressed; more of them compress to a fifth */

static MeshServer
to_message (const AdapterServer *from)
{
  static char none[] = "";

  return (MeshServer){ .id = from->id,
                       .name = from->name,
                       .born_ms = from->born_ms,
                       .service = from->service,
                       .domain = from->domain,
                       .software = from->version ? from->version : none,
                       .ip = from->addr.ip,
                       .port = from->addr.port,
                       .slots = from->slots,
                       .state = from->leaving ? MESH_SERVER_LEAVING : MESH_SERVER_LIVE,
                       .cold_ms = (unsigned) (from->cold_us / FT_MS) };
}

static unsigned
find_step (const Servers *servers, guint digest)
{
  unsigned oldest = servers->step > STEPS_KEPT ? servers->step - STEPS_KEPT + 1 : 1;

  for (unsigned step = servers->step; step >= oldest; step--)
    if (servers->digests[step % STEPS_KEPT] == digest)
      return step;
  return 0;
}

static void
fill_changes (const Servers *servers, unsigned since, guint held, MeshList *msg)
{
  unsigned count = 0;

  msg->kind = MESH_LIST_CHANGES;
  msg->base = held;
  msg->servers.servers_val = g_new0 (MeshServer, servers->list->len + 1);
  for (unsigned i = 0; i < servers->list->len; i++)
    {
      const AdapterServer *server = &g_array_index (servers->list, AdapterServer, i);
      gpointer changed_in = g_hash_table_lookup (servers->changed_in, server->id);
      if (GPOINTER_TO_UINT (changed_in) > since)
        msg->servers.servers_val[count++] = to_message (server);
    }
  msg->servers.servers_len = count;
  msg->removed.removed_val = g_new0 (MeshName, servers->removed->len + 1);
  for (unsigned i = 0; i < servers->removed->len; i++)
    {
      const Removed *removed = &g_array_index (servers->removed, Removed, i);
      if (removed->step > since)
        msg->removed.removed_val[msg->removed.removed_len++] = removed->id;
    }
}

void
servers_build_message (const Servers *servers, int64_t now, guint held, MeshList *msg)
{
  unsigned since = held > SERVERS_HELD_NONE ? find_step (servers, held) : 0;

  memset (msg, 0, sizeof *msg);
  msg->age_us = now - servers->asked_at;
  msg->digest = servers->digest;
  msg->kind = MESH_LIST_SAME;
  /* Without a known base only the digest is sent. When a scheduler dies and all entries turn to
   * one deputy, it does not know what lists they hold. Sending 17 KB to each of 64 entries over a
   * link of 10 Mbit/s would delay its other messages for a second, and it would be skipped in
   * turn. Nearly all hold the same list already; one that does not requests it whole. */
  if (since > 0 && since < servers->step)
    fill_changes (servers, since, held, msg);
}

static void
fill_whole (const Servers *servers, MeshList *msg)
{
  *msg = (MeshList){ .digest = servers->digest, .kind = MESH_LIST_WHOLE };
  msg->servers.servers_len = MIN (servers->list->len, MESH_SERVERS_MAX);
  msg->servers.servers_val = g_new0 (MeshServer, servers->list->len + 1);
  for (unsigned i = 0; i < msg->servers.servers_len; i++)
    msg->servers.servers_val[i] = to_message (&g_array_index (servers->list, AdapterServer, i));
}

static GBytes *
compress_list (const MeshList *list)
{
  GByteArray *plain = codec_pack (CODEC (MeshList), list);

  if (plain == NULL)
    return NULL;
  GBytes *out = compress_pack (plain->data, plain->len);
  g_byte_array_unref (plain);
  return out;
}

bool
servers_build_packed (Servers *servers, int64_t now, guint held, MeshPackedList *msg)
{
  GBytes **packed = &servers->packed[held == SERVERS_HELD_NONE];
  MeshList list;
  gsize size;

  if (held != SERVERS_HELD_NONE && held != servers->packed_for)
    {
      g_clear_pointer (packed, g_bytes_unref);
      servers->packed_for = held;
    }
  if (*packed == NULL)
    {
      if (held == SERVERS_HELD_NONE)
        fill_whole (servers, &list);
      else
        servers_build_message (servers, now, held, &list);
      *packed = compress_list (&list);
      servers_clear_message (&list);
    }
  if (*packed == NULL)
    return false;
  msg->age_us = now - servers->asked_at;
  msg->list.list_val = (char *) g_bytes_get_data (*packed, &size);
  msg->list.list_len = (u_int) size;
  return true;
}

static GBytes *
build_packed_message (Servers *servers, int64_t now, guint held)
{
  MeshMsg msg = { .kind = MESH_PACKED_LIST };

  return servers_build_packed (servers, now, held, &msg.MeshMsg_u.packed) ? mesh_pack (&msg) : NULL;
}

static GBytes *
build_link_message (Servers *servers, int64_t now, guint held)
{
  MeshMsg msg = { .kind = MESH_LIST };
  MeshList *list = &msg.MeshMsg_u.list;

  servers->messages_built++;
  servers_build_message (servers, now, held, list);
  bool compress = list->servers.servers_len + list->removed.removed_len > UNCOMPRESSED_CHANGES_MAX;
  GBytes *out = compress ? build_packed_message (servers, now, held) : mesh_pack (&msg);
  servers_clear_message (list);
  return out;
}

/* The message is built once for all peers that hold the same list. With 1,000 entries and 3,000
 * servers, building it for each link kept the voter in charge busy for half a second at each
 * change of the list, and it was taken for lost. */
bool
servers_send (Servers *servers, MeshPeer *peer, int64_t now, guint held)
{
  if (servers->messages_at != now)
    g_hash_table_remove_all (servers->messages);
  servers->messages_at = now;
  GBytes *message = g_hash_table_lookup (servers->messages, GUINT_TO_POINTER (held));
  if (message == NULL)
    {
      message = build_link_message (servers, now, held);
      if (message == NULL)
        return false;
      g_hash_table_insert (servers->messages, GUINT_TO_POINTER (held), message);
    }
  return mesh_send_packed (peer, message);
}

bool
servers_send_whole (Servers *servers, MeshPeer *peer, int64_t now)
{
  GBytes *message = build_packed_message (servers, now, SERVERS_HELD_NONE);
  bool sent = message && mesh_send_packed (peer, message);

  if (message)
    g_bytes_unref (message);
  return sent;
}

uint64_t
servers_messages_built (const Servers *servers)
{
  return servers->messages_built;
}

void
servers_clear_message (MeshList *msg)
{
  g_free (msg->servers.servers_val);
  g_free (msg->removed.removed_val);
}
