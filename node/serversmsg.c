/* serversmsg.c - the list of servers as messages: what has changed since the list that the other
 * end holds, all of it in compressed form, or its digest alone.
 */
#include "serversint.h"
#include "codec.h"
#include "squeeze.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define CHANGES_PLAIN                                                                              \
  16 /* changes that are sent as they are; more are a fifth of the bytes packed */

static MeshServer
to_message (const SeamServer *from)
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
step_of (const Servers *servers, guint digest)
{
  unsigned least = servers->step > STEPS_KEPT ? servers->step - STEPS_KEPT + 1 : 1;

  for (unsigned step = servers->step; step >= least; step--)
    if (servers->digests[step % STEPS_KEPT] == digest)
      return step;
  return 0;
}

static void
put_changes (const Servers *servers, unsigned since, guint held, MeshList *msg)
{
  unsigned count = 0;

  msg->kind = MESH_LIST_CHANGES;
  msg->base = held;
  msg->servers.servers_val = g_new0 (MeshServer, servers->list->len + 1);
  for (unsigned i = 0; i < servers->list->len; i++)
    {
      const SeamServer *server = &g_array_index (servers->list, SeamServer, i);
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
  unsigned since = held > SERVERS_HELD_NONE ? step_of (servers, held) : 0;

  memset (msg, 0, sizeof *msg);
  msg->age_us = now - servers->asked_at;
  msg->digest = servers->digest;
  msg->kind = MESH_LIST_SAME;
  /* Failure: a scheduler dies and all entries turn to one deputy, which does not know what list
   * they hold. Symptom: it sends 17 KB to each of 64 entries over a link of 10 Mbit/s, says nothing
   * else for a second, and is passed over in its turn. Nearly all hold the same list already; one
   * that does not says so and gets it whole. */
  if (since > 0 && since < servers->step)
    put_changes (servers, since, held, msg);
}

static void
put_whole (const Servers *servers, MeshList *msg)
{
  *msg = (MeshList){ .digest = servers->digest, .kind = MESH_LIST_WHOLE };
  msg->servers.servers_len = MIN (servers->list->len, MESH_SERVERS_MAX);
  msg->servers.servers_val = g_new0 (MeshServer, servers->list->len + 1);
  for (unsigned i = 0; i < msg->servers.servers_len; i++)
    msg->servers.servers_val[i] = to_message (&g_array_index (servers->list, SeamServer, i));
}

static GBytes *
pack (const MeshList *list)
{
  GByteArray *plain = codec_pack (CODEC (MeshList), list);

  if (plain == NULL)
    return NULL;
  GBytes *out = squeeze_pack (plain->data, plain->len);
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
        put_whole (servers, &list);
      else
        servers_build_message (servers, now, held, &list);
      *packed = pack (&list);
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
packed_message (Servers *servers, int64_t now, guint held)
{
  MeshMsg msg = { .kind = MESH_PACKED_LIST };

  return servers_build_packed (servers, now, held, &msg.MeshMsg_u.packed) ? mesh_pack (&msg) : NULL;
}

static GBytes *
make_message (Servers *servers, int64_t now, guint held)
{
  MeshMsg msg = { .kind = MESH_LIST };
  MeshList *list = &msg.MeshMsg_u.list;

  servers->made++;
  servers_build_message (servers, now, held, list);
  bool many = list->servers.servers_len + list->removed.removed_len > CHANGES_PLAIN;
  GBytes *out = many ? packed_message (servers, now, held) : mesh_pack (&msg);
  servers_clear_message (list);
  return out;
}

/* Failure: what has changed is worked out anew for each link, by a look at all servers. Symptom:
 * with 1,000 entries and 3,000 servers the voter in charge does nothing else for half a second at
 * each change of the list, and is taken for lost. Links whose ends hold the same list share it. */
bool
servers_send (Servers *servers, MeshPeer *peer, int64_t now, guint held)
{
  if (servers->messages_at != now)
    g_hash_table_remove_all (servers->messages);
  servers->messages_at = now;
  GBytes *message = g_hash_table_lookup (servers->messages, GUINT_TO_POINTER (held));
  if (message == NULL)
    {
      message = make_message (servers, now, held);
      if (message == NULL)
        return false;
      g_hash_table_insert (servers->messages, GUINT_TO_POINTER (held), message);
    }
  return mesh_send_packed (peer, message);
}

bool
servers_send_whole (Servers *servers, MeshPeer *peer, int64_t now)
{
  GBytes *message = packed_message (servers, now, SERVERS_HELD_NONE);
  bool sent = message && mesh_send_packed (peer, message);

  if (message)
    g_bytes_unref (message);
  return sent;
}

uint64_t
servers_messages_built (const Servers *servers)
{
  return servers->made;
}

void
servers_clear_message (MeshList *msg)
{
  g_free (msg->servers.servers_val);
  g_free (msg->removed.removed_val);
}
