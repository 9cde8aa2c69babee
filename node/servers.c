/* servers.c - of two lists the one that was asked for later counts, whoever read it. */
#include "servers.h"

#include <string.h>

struct Servers
{
  GArray *list;      /* SeamServer */
  GHashTable *by_id; /* id: index + 1 */
  int64_t asked_at;
  guint digest, digest_seen;
};

Servers *
servers_new (void)
{
  Servers *servers = g_new0 (Servers, 1);

  servers->list = g_array_new (FALSE, TRUE, sizeof (SeamServer));
  g_array_set_clear_func (servers->list, seam_server_clear);
  servers->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  return servers;
}

void
servers_free (Servers *servers)
{
  if (servers == NULL)
    return;
  g_hash_table_unref (servers->by_id);
  g_array_unref (servers->list);
  g_free (servers);
}

static void
index_list (Servers *servers)
{
  servers->digest = 1;
  for (unsigned i = 0; i < servers->list->len; i++)
    {
      const SeamServer *server = &g_array_index (servers->list, SeamServer, i);
      g_hash_table_insert (servers->by_id, server->id, GUINT_TO_POINTER (i + 1));
      servers->digest = servers->digest * 31 + g_str_hash (server->id) * 2 + server->leaving
                        + (guint) (server->cold_us / FT_SECOND) * 8;
    }
}

static void
empty (Servers *servers, int64_t asked_at)
{
  g_hash_table_remove_all (servers->by_id);
  g_array_set_size (servers->list, 0);
  servers->asked_at = asked_at;
}

bool
servers_take_read (Servers *servers, const GArray *list, int64_t asked_at)
{
  if (asked_at <= servers->asked_at)
    return false;
  empty (servers, asked_at);
  for (unsigned i = 0; i < list->len; i++)
    {
      SeamServer server = g_array_index (list, SeamServer, i);
      server.id = g_strdup (server.id);
      server.service = g_strdup (server.service);
      server.domain = g_strdup (server.domain);
      g_array_append_val (servers->list, server);
    }
  index_list (servers);
  return true;
}

bool
servers_take_message (Servers *servers, const MeshList *list, int64_t now)
{
  int64_t asked_at = now - list->age_us;

  if (asked_at <= servers->asked_at || (!list->whole && list->digest != servers->digest))
    return false;
  if (list->digest == servers->digest)
    {
      servers->asked_at = asked_at;
      return true;
    }
  empty (servers, asked_at);
  for (unsigned i = 0; i < list->servers.servers_len; i++)
    {
      const MeshServer *from = &list->servers.servers_val[i];
      SeamServer server = { .id = g_strdup (from->id),
                            .service = g_strdup (from->service),
                            .domain = g_strdup (from->domain),
                            .addr = { from->ip, (uint16_t) from->port },
                            .slots = from->slots,
                            .leaving = from->state == MESH_SERVER_LEAVING,
                            .cold_us = from->cold_ms * FT_MS };
      g_array_append_val (servers->list, server);
    }
  index_list (servers);
  return true;
}

int64_t
servers_asked_at (const Servers *servers)
{
  return servers->asked_at;
}

const SeamServer *
servers_find (const Servers *servers, const char *id)
{
  unsigned at = GPOINTER_TO_UINT (g_hash_table_lookup (servers->by_id, id));

  return at ? &g_array_index (servers->list, SeamServer, at - 1) : NULL;
}

unsigned
servers_count (const Servers *servers)
{
  return servers->list->len;
}

void
servers_give (const Servers *servers, Sched *sched)
{
  SchedServer *list = g_new0 (SchedServer, servers->list->len + 1);

  for (unsigned i = 0; i < servers->list->len; i++)
    {
      const SeamServer *from = &g_array_index (servers->list, SeamServer, i);
      list[i] = (SchedServer){ from->id,    from->service, from->domain,
                               from->slots, from->leaving, from->cold_us };
    }
  sched_list (sched, list, servers->list->len);
  g_free (list);
}

void
servers_message (const Servers *servers, int64_t now, bool whole, MeshList *msg)
{
  unsigned count = whole ? MIN (servers->list->len, MESH_SERVERS_MOST) : 0;

  msg->whole = whole;
  msg->digest = servers->digest;
  msg->age_us = now - servers->asked_at;
  msg->servers.servers_len = count;
  msg->servers.servers_val = g_new0 (MeshServer, count + 1);
  for (unsigned i = 0; i < count; i++)
    {
      const SeamServer *from = &g_array_index (servers->list, SeamServer, i);
      msg->servers.servers_val[i]
          = (MeshServer){ .id = from->id,
                          .service = from->service,
                          .domain = from->domain,
                          .ip = from->addr.ip,
                          .port = from->addr.port,
                          .slots = from->slots,
                          .state = from->leaving ? MESH_SERVER_LEAVING : MESH_SERVER_LIVE,
                          .cold_ms = (unsigned) (from->cold_us / FT_MS) };
    }
}

guint
servers_digest (const Servers *servers)
{
  return servers->digest;
}

bool
servers_changed (Servers *servers)
{
  bool changed = servers->digest != servers->digest_seen;

  servers->digest_seen = servers->digest;
  return changed;
}
