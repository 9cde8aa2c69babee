/* servers.c - holds the newest list of servers: of two lists the one that was requested from the
 * platform later counts, whichever instance requested it.
 *
 * With thousands of servers and hundreds of instances, sending the whole list at each change would
 * take megabytes a second. So each change of the list is a numbered step, and for the latest steps
 * the changed servers are known. A peer that holds the list of one of these steps is sent what has
 * changed since. Any other peer receives the digest and requests the whole list, which is
 * compressed.
 */
#include "serversint.h"
#include "codec.h"
#include "compress.h"

#include <string.h>

#define REQUEST_TIMEOUT                                                                            \
  (600 * FT_MS) /* a whole list of 3,000 servers, 60 KB, takes 50 ms on 10 Mbit/s; hundreds of     \
                   instances that request it at once are served within half a second */

static void
removed_clear (void *data)
{
  g_free (((Removed *) data)->id);
}

static void
clear_packed (Servers *servers)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (servers->packed); i++)
    g_clear_pointer (&servers->packed[i], g_bytes_unref);
}

Servers *
servers_new (void)
{
  Servers *servers = g_new0 (Servers, 1);

  servers->list = g_array_new (FALSE, TRUE, sizeof (AdapterServer));
  g_array_set_clear_func (servers->list, adapter_server_clear);
  servers->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  servers->messages = g_hash_table_new_full (NULL, NULL, NULL, (GDestroyNotify) g_bytes_unref);
  servers->changed_in = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  servers->removed = g_array_new (FALSE, FALSE, sizeof (Removed));
  g_array_set_clear_func (servers->removed, removed_clear);
  return servers;
}

void
servers_free (Servers *servers)
{
  if (servers == NULL)
    return;
  g_hash_table_unref (servers->by_id);
  g_array_unref (servers->list);
  g_hash_table_unref (servers->messages);
  g_hash_table_unref (servers->changed_in);
  g_array_unref (servers->removed);
  clear_packed (servers);
  g_free (servers);
}

static void
set_asked_at (Servers *servers, int64_t asked_at)
{
  servers->asked_at = asked_at;
  g_hash_table_remove_all (servers->messages); /* the messages contain the age of the list */
}

/* The finalizer of MurmurHash3 (A. Appleby): each bit of the result depends on all bits. */
static guint
mix (guint hash)
{
  hash = (hash ^ hash >> 16) * 0x85ebca6bu;
  hash = (hash ^ hash >> 13) * 0xc2b2ae35u;
  return hash ^ hash >> 16;
}

/* The sum of these does not depend on the order, so that a list that was updated by changes has
 * the digest of the same list sent whole. They are mixed, as opposite changes of two servers would
 * cancel out in a sum of linear digests. */
static guint
server_digest (const AdapterServer *server)
{
  guint hash = g_str_hash (server->id) * 31 + g_str_hash (server->service);

  hash = hash * 31 + g_str_hash (server->version ? server->version : "");
  hash = hash * 31 + server->addr.ip * 7 + server->addr.port;
  return mix ((hash * 2 + server->leaving) * 2654435761u + server->slots);
}

static void
index_list (Servers *servers)
{
  g_hash_table_remove_all (servers->by_id);
  servers->digest = SERVERS_HELD_NONE;
  for (unsigned i = 0; i < servers->list->len; i++)
    {
      const AdapterServer *server = &g_array_index (servers->list, AdapterServer, i);
      g_hash_table_insert (servers->by_id, server->id, GUINT_TO_POINTER (i + 1));
      servers->digest += server_digest (server);
    }
}

static AdapterServer
copy_server (const AdapterServer *from)
{
  AdapterServer out = *from;

  out.id = g_strdup (from->id);
  out.name = g_strdup (from->name);
  out.service = g_strdup (from->service);
  out.domain = g_strdup (from->domain);
  out.version = g_strdup (from->version);
  return out;
}

static void
drop_old_steps (Servers *servers)
{
  unsigned old = 0;

  while (old < servers->removed->len
         && g_array_index (servers->removed, Removed, old).step + STEPS_KEPT <= servers->step)
    old++;
  if (old > 0)
    g_array_remove_range (servers->removed, 0, old);
}

static void
begin_step (Servers *servers)
{
  servers->step++;
  clear_packed (servers);
}

static void
end_step (Servers *servers)
{
  servers->digests[servers->step % STEPS_KEPT] = servers->digest;
  drop_old_steps (servers);
}

static void
record_changed (Servers *servers, const char *id)
{
  g_hash_table_replace (servers->changed_in, g_strdup (id), GUINT_TO_POINTER (servers->step));
}

static void
record_removed (Servers *servers, const char *id)
{
  Removed removed = { g_strdup (id), servers->step };

  g_array_append_val (servers->removed, removed);
  g_hash_table_remove (servers->changed_in, id);
}

/* Records as a step how the held list differs from the old one. */
static void
record_step (Servers *servers, const GArray *old, GHashTable *old_by_id)
{
  begin_step (servers);
  for (unsigned i = 0; i < servers->list->len; i++)
    {
      const AdapterServer *server = &g_array_index (servers->list, AdapterServer, i);
      unsigned at = GPOINTER_TO_UINT (g_hash_table_lookup (old_by_id, server->id));
      if (at == 0
          || server_digest (server) != server_digest (&g_array_index (old, AdapterServer, at - 1)))
        record_changed (servers, server->id);
    }
  for (unsigned i = 0; i < old->len; i++)
    {
      const char *id = g_array_index (old, AdapterServer, i).id;
      if (servers_find (servers, id) == NULL)
        record_removed (servers, id);
    }
  end_step (servers);
}

/* Replaces the held list by list, and takes ownership of it. */
static void
replace_list (Servers *servers, GArray *list, int64_t asked_at)
{
  GArray *old = servers->list;
  GHashTable *old_by_id = servers->by_id;
  guint before = servers->digest;

  servers->list = list;
  servers->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  set_asked_at (servers, asked_at);
  index_list (servers);
  if (servers->digest != before)
    record_step (servers, old, old_by_id);
  g_hash_table_unref (old_by_id);
  g_array_unref (old);
}

static GArray *
new_list (void)
{
  GArray *list = g_array_new (FALSE, TRUE, sizeof (AdapterServer));

  g_array_set_clear_func (list, adapter_server_clear);
  return list;
}

/* Notes the newest lifetime of each server name. When a server restarts under its old name, a
 * list that lags shows the earlier lifetime once more; taking that would drop the new server, and
 * apply the old one's connections, places and health to it. A lifetime is (name, start): the
 * later start counts, whichever was heard last, and of two records of one lifetime the one that
 * shows it leaving. */
static void
keep_newest_lifetime (GHashTable *newest, const AdapterServer *server)
{
  const AdapterServer *known = g_hash_table_lookup (newest, server->name);

  if (known == NULL || server->born_ms > known->born_ms
      || (server->born_ms == known->born_ms && server->leaving && !known->leaving))
    g_hash_table_insert (newest, server->name, (gpointer) server);
}

bool
servers_apply_read (Servers *servers, const GArray *from, int64_t asked_at)
{
  GHashTable *newest, *added;

  if (asked_at <= servers->asked_at)
    return false;
  newest = g_hash_table_new (g_str_hash, g_str_equal);
  added = g_hash_table_new (g_str_hash, g_str_equal);
  GArray *list = new_list ();
  for (unsigned i = 0; i < from->len; i++)
    keep_newest_lifetime (newest, &g_array_index (from, AdapterServer, i));
  for (unsigned i = 0; i < servers->list->len; i++)
    {
      const AdapterServer *held = &g_array_index (servers->list, AdapterServer, i);
      const AdapterServer *listed = g_hash_table_lookup (newest, held->name);
      if (listed && listed->born_ms < held->born_ms)
        keep_newest_lifetime (newest, held);
    }
  for (unsigned i = 0; i < from->len; i++)
    {
      const char *name = g_array_index (from, AdapterServer, i).name;
      if (!g_hash_table_add (added, (gpointer) name))
        continue;
      AdapterServer server = copy_server (g_hash_table_lookup (newest, name));
      g_array_append_val (list, server);
    }
  replace_list (servers, list, asked_at);
  g_hash_table_unref (newest);
  g_hash_table_unref (added);
  return true;
}

static AdapterServer
from_message (const MeshServer *from)
{
  return (AdapterServer){ .id = g_strdup (from->id),
                          .name = g_strdup (from->name),
                          .born_ms = from->born_ms,
                          .service = g_strdup (from->service),
                          .domain = g_strdup (from->domain),
                          .version = g_strdup (from->software),
                          .addr = { from->ip, (uint16_t) from->port },
                          .slots = from->slots,
                          .leaving = from->state == MESH_SERVER_LEAVING,
                          .cold_us = from->cold_ms * FT_MS };
}

/* ---- Changes ---- */

static void
put_server (Servers *servers, AdapterServer server)
{
  unsigned at = GPOINTER_TO_UINT (g_hash_table_lookup (servers->by_id, server.id));

  if (at)
    {
      AdapterServer *held = &g_array_index (servers->list, AdapterServer, at - 1);
      servers->digest -= server_digest (held);
      g_hash_table_remove (servers->by_id, held->id); /* its key is held->id */
      adapter_server_clear (held);
      *held = server;
    }
  else
    {
      g_array_append_val (servers->list, server);
      at = servers->list->len;
    }
  g_hash_table_insert (servers->by_id, server.id, GUINT_TO_POINTER (at));
  servers->digest += server_digest (&server);
  record_changed (servers, server.id);
}

static void
drop_server (Servers *servers, const char *id)
{
  unsigned at = GPOINTER_TO_UINT (g_hash_table_lookup (servers->by_id, id));

  if (at == 0)
    return;
  servers->digest -= server_digest (&g_array_index (servers->list, AdapterServer, at - 1));
  g_hash_table_remove (servers->by_id, id);
  record_removed (servers, id);
  g_array_remove_index_fast (servers->list, at - 1);
  if (at > servers->list->len)
    return;
  const AdapterServer *moved = &g_array_index (servers->list, AdapterServer, at - 1);
  g_hash_table_replace (servers->by_id, moved->id, GUINT_TO_POINTER (at));
}

/* Changes the list in place. Copying 3,000 servers to change one delayed callers by 25 ms at each
 * change, on an eighth of a core. */
static void
apply_changes (Servers *servers, const MeshList *from)
{
  begin_step (servers);
  for (unsigned i = 0; i < from->servers.servers_len; i++)
    put_server (servers, from_message (&from->servers.servers_val[i]));
  for (unsigned i = 0; i < from->removed.removed_len; i++)
    drop_server (servers, from->removed.removed_val[i]);
  end_step (servers);
}

static void
apply_whole (Servers *servers, const MeshList *from, int64_t asked_at)
{
  GArray *list = new_list ();

  for (unsigned i = 0; i < from->servers.servers_len; i++)
    {
      AdapterServer server = from_message (&from->servers.servers_val[i]);
      g_array_append_val (list, server);
    }
  replace_list (servers, list, asked_at);
}

ServersResult
servers_apply_message (Servers *servers, const MeshList *from, int64_t now)
{
  int64_t asked_at = now - from->age_us;

  if (asked_at <= servers->asked_at)
    return SERVERS_STALE;
  if (from->digest == servers->digest)
    {
      set_asked_at (servers, asked_at);
      return SERVERS_APPLIED;
    }
  if (from->kind == MESH_LIST_SAME
      || (from->kind == MESH_LIST_CHANGES && from->base != servers->digest))
    return SERVERS_UNKNOWN_BASE;
  if (from->kind == MESH_LIST_WHOLE)
    {
      apply_whole (servers, from, asked_at);
      return SERVERS_APPLIED;
    }
  apply_changes (servers, from);
  set_asked_at (servers, asked_at);
  return servers->digest == from->digest ? SERVERS_APPLIED : SERVERS_UNKNOWN_BASE;
}

ServersResult
servers_apply_packed (Servers *servers, const MeshPackedList *packed, int64_t now)
{
  GBytes *bytes = compress_unpack (packed->list.list_val, packed->list.list_len);
  ServersResult result = SERVERS_UNKNOWN_BASE;
  MeshList list = { 0 };
  gsize size = 0;

  servers->requested_at = 0;
  if (bytes == NULL)
    return SERVERS_UNKNOWN_BASE;
  const void *data = g_bytes_get_data (bytes, &size);
  if (codec_unpack (CODEC (MeshList), data, size, &list, NULL) == FT_OK)
    {
      list.age_us = packed->age_us;
      result = servers_apply_message (servers, &list, now);
    }
  codec_clear (CODEC (MeshList), &list);
  g_bytes_unref (bytes);
  return result;
}

/* Only one peer is asked for the whole list, others only when it has not answered in time. When
 * hundreds of instances start at once and hear of a list from each voter, each would be sent it
 * by all of them, and grants would wait behind these megabytes on every link. */
bool
servers_may_request (Servers *servers, int64_t now)
{
  if (servers->requested_at && now - servers->requested_at < REQUEST_TIMEOUT)
    return false;
  servers->requested_at = now;
  return true;
}

int64_t
servers_asked_at (const Servers *servers)
{
  return servers->asked_at;
}

const AdapterServer *
servers_find (const Servers *servers, const char *id)
{
  unsigned at = GPOINTER_TO_UINT (g_hash_table_lookup (servers->by_id, id));

  return at ? &g_array_index (servers->list, AdapterServer, at - 1) : NULL;
}

const AdapterServer *
servers_at (const Servers *servers, unsigned index)
{
  return &g_array_index (servers->list, AdapterServer, index);
}

unsigned
servers_count (const Servers *servers)
{
  return servers->list->len;
}

void
servers_give_to (const Servers *servers, Sched *sched)
{
  SchedServer *list = g_new0 (SchedServer, servers->list->len + 1);

  for (unsigned i = 0; i < servers->list->len; i++)
    {
      const AdapterServer *from = &g_array_index (servers->list, AdapterServer, i);
      list[i] = (SchedServer){ from->id,      from->service, from->domain, from->slots,
                               from->leaving, from->cold_us, from->version };
    }
  sched_set_servers (sched, list, servers->list->len);
  g_free (list);
}

guint
servers_digest (const Servers *servers)
{
  return servers->digest;
}

bool
servers_poll_changed (Servers *servers)
{
  bool changed = servers->digest != servers->polled_digest;

  servers->polled_digest = servers->digest;
  return changed;
}
