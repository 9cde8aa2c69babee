/* servers.c - of two lists the one that was asked for later counts, whoever read it.
 *
 * With thousands of servers before hundreds of instances the list is megabytes a second if it is
 * sent whole at each change.
 * So each change of the list is a step; of the latest steps it is known which servers they changed,
 * and whoever holds the list of one of them is sent what has changed since. Who holds another one
 * hears the digest and asks for the whole, in compressed form.
 */
#include "serversint.h"
#include "codec.h"
#include "squeeze.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define WANT_AGAIN                                                                                 \
  (600 * FT_MS) /* a whole list of 3,000 servers, 60 KB, takes 50 ms on 10 Mbit/s; hundreds that   \
                   ask at once are served within half a second */

static void
removed_clear (void *data)
{
  g_free (((Removed *) data)->id);
}

static void
forget_packed (Servers *servers)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (servers->packed); i++)
    g_clear_pointer (&servers->packed[i], g_bytes_unref);
}

Servers *
servers_new (void)
{
  Servers *servers = g_new0 (Servers, 1);

  servers->list = g_array_new (FALSE, TRUE, sizeof (SeamServer));
  g_array_set_clear_func (servers->list, seam_server_clear);
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
  forget_packed (servers);
  g_free (servers);
}

static void
set_asked_at (Servers *servers, int64_t asked_at)
{
  servers->asked_at = asked_at;
  g_hash_table_remove_all (servers->messages); /* which say how old the list is */
}

/* The digest does not depend on the order, so that a list made of changes has the one of the whole.
 */
static guint
server_digest (const SeamServer *server)
{
  guint hash = g_str_hash (server->id) * 31 + g_str_hash (server->service);

  hash = hash * 31 + g_str_hash (server->version ? server->version : "");
  hash = hash * 31 + server->addr.ip * 7 + server->addr.port;
  return (hash * 2 + server->leaving) * 2654435761u + server->slots;
}

static void
index_list (Servers *servers)
{
  g_hash_table_remove_all (servers->by_id);
  servers->digest = SERVERS_HELD_NONE;
  for (unsigned i = 0; i < servers->list->len; i++)
    {
      const SeamServer *server = &g_array_index (servers->list, SeamServer, i);
      g_hash_table_insert (servers->by_id, server->id, GUINT_TO_POINTER (i + 1));
      servers->digest += server_digest (server);
    }
}

static SeamServer
copy_of (const SeamServer *from)
{
  SeamServer out = *from;

  out.id = g_strdup (from->id);
  out.name = g_strdup (from->name);
  out.service = g_strdup (from->service);
  out.domain = g_strdup (from->domain);
  out.version = g_strdup (from->version);
  return out;
}

static void
forget_old_steps (Servers *servers)
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
  forget_packed (servers);
}

static void
end_step (Servers *servers)
{
  servers->digests[servers->step % STEPS_KEPT] = servers->digest;
  forget_old_steps (servers);
}

static void
note_changed (Servers *servers, const char *id)
{
  g_hash_table_replace (servers->changed_in, g_strdup (id), GUINT_TO_POINTER (servers->step));
}

static void
note_removed (Servers *servers, const char *id)
{
  Removed removed = { g_strdup (id), servers->step };

  g_array_append_val (servers->removed, removed);
  g_hash_table_remove (servers->changed_in, id);
}

/* Notes what the list held changes against the one before. */
static void
note_step (Servers *servers, const GArray *old, GHashTable *old_by_id)
{
  begin_step (servers);
  for (unsigned i = 0; i < servers->list->len; i++)
    {
      const SeamServer *now = &g_array_index (servers->list, SeamServer, i);
      unsigned at = GPOINTER_TO_UINT (g_hash_table_lookup (old_by_id, now->id));
      if (at == 0
          || server_digest (now) != server_digest (&g_array_index (old, SeamServer, at - 1)))
        note_changed (servers, now->id);
    }
  for (unsigned i = 0; i < old->len; i++)
    {
      const char *id = g_array_index (old, SeamServer, i).id;
      if (servers_find (servers, id) == NULL)
        note_removed (servers, id);
    }
  end_step (servers);
}

/* Puts list, whose servers are taken over, in the place of the one held. */
static void
replace (Servers *servers, GArray *list, int64_t asked_at)
{
  GArray *old = servers->list;
  GHashTable *old_by_id = servers->by_id;
  guint before = servers->digest;

  servers->list = list;
  servers->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  set_asked_at (servers, asked_at);
  index_list (servers);
  if (servers->digest != before)
    note_step (servers, old, old_by_id);
  g_hash_table_unref (old_by_id);
  g_array_unref (old);
}

static GArray *
new_list (void)
{
  GArray *list = g_array_new (FALSE, TRUE, sizeof (SeamServer));

  g_array_set_clear_func (list, seam_server_clear);
  return list;
}

/* Failure: a server starts again under the name that it had, and a list that lags shows its earlier
 * lifetime once more. Symptom: the new one is forgotten, and what was learned of the old one, its
 * connections and its places are taken for the new one's. A lifetime is (name, start): of two the
 * later counts, whichever was heard last, and of two words on one the one that it is leaving. */
static void
note_lifetime (GHashTable *newest, const SeamServer *server)
{
  const SeamServer *known = g_hash_table_lookup (newest, server->name);

  if (known == NULL || server->born_ms > known->born_ms
      || (server->born_ms == known->born_ms && server->leaving && !known->leaving))
    g_hash_table_insert (newest, server->name, (gpointer) server);
}

bool
servers_apply_read (Servers *servers, const GArray *from, int64_t asked_at)
{
  GHashTable *newest, *put;

  if (asked_at <= servers->asked_at)
    return false;
  newest = g_hash_table_new (g_str_hash, g_str_equal);
  put = g_hash_table_new (g_str_hash, g_str_equal);
  GArray *list = new_list ();
  for (unsigned i = 0; i < from->len; i++)
    note_lifetime (newest, &g_array_index (from, SeamServer, i));
  for (unsigned i = 0; i < servers->list->len; i++)
    {
      const SeamServer *held = &g_array_index (servers->list, SeamServer, i);
      const SeamServer *listed = g_hash_table_lookup (newest, held->name);
      if (listed && listed->born_ms < held->born_ms)
        note_lifetime (newest, held);
    }
  for (unsigned i = 0; i < from->len; i++)
    {
      const char *name = g_array_index (from, SeamServer, i).name;
      if (!g_hash_table_add (put, (gpointer) name))
        continue;
      SeamServer server = copy_of (g_hash_table_lookup (newest, name));
      g_array_append_val (list, server);
    }
  replace (servers, list, asked_at);
  g_hash_table_unref (newest);
  g_hash_table_unref (put);
  return true;
}

static SeamServer
from_message (const MeshServer *from)
{
  return (SeamServer){ .id = g_strdup (from->id),
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
put_server (Servers *servers, SeamServer server)
{
  unsigned at = GPOINTER_TO_UINT (g_hash_table_lookup (servers->by_id, server.id));

  if (at)
    {
      SeamServer *held = &g_array_index (servers->list, SeamServer, at - 1);
      servers->digest -= server_digest (held);
      g_hash_table_remove (servers->by_id, held->id); /* whose key it is */
      seam_server_clear (held);
      *held = server;
    }
  else
    {
      g_array_append_val (servers->list, server);
      at = servers->list->len;
    }
  g_hash_table_insert (servers->by_id, server.id, GUINT_TO_POINTER (at));
  servers->digest += server_digest (&server);
  note_changed (servers, server.id);
}

static void
drop_server (Servers *servers, const char *id)
{
  unsigned at = GPOINTER_TO_UINT (g_hash_table_lookup (servers->by_id, id));

  if (at == 0)
    return;
  servers->digest -= server_digest (&g_array_index (servers->list, SeamServer, at - 1));
  g_hash_table_remove (servers->by_id, id);
  note_removed (servers, id);
  g_array_remove_index_fast (servers->list, at - 1);
  if (at > servers->list->len)
    return;
  const SeamServer *moved = &g_array_index (servers->list, SeamServer, at - 1);
  g_hash_table_replace (servers->by_id, moved->id, GUINT_TO_POINTER (at));
}

/* Failure: an entry copies 3,000 servers to change one. Symptom: with an eighth of a core its
 * callers wait 25 ms at each change of the list. */
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
take_whole (Servers *servers, const MeshList *from, int64_t asked_at)
{
  GArray *list = new_list ();

  for (unsigned i = 0; i < from->servers.servers_len; i++)
    {
      SeamServer server = from_message (&from->servers.servers_val[i]);
      g_array_append_val (list, server);
    }
  replace (servers, list, asked_at);
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
      take_whole (servers, from, asked_at);
      return SERVERS_APPLIED;
    }
  apply_changes (servers, from);
  set_asked_at (servers, asked_at);
  return servers->digest == from->digest ? SERVERS_APPLIED : SERVERS_UNKNOWN_BASE;
}

ServersResult
servers_apply_packed (Servers *servers, const MeshPackedList *packed, int64_t now)
{
  GBytes *bytes = squeeze_unpack (packed->list.list_val, packed->list.list_len);
  ServersResult taken = SERVERS_UNKNOWN_BASE;
  MeshList list = { 0 };
  gsize size = 0;

  servers->wanted_at = 0;
  if (bytes == NULL)
    return SERVERS_UNKNOWN_BASE;
  const void *data = g_bytes_get_data (bytes, &size);
  if (codec_unpack (CODEC (MeshList), data, size, &list, NULL) == FT_OK)
    {
      list.age_us = packed->age_us;
      taken = servers_apply_message (servers, &list, now);
    }
  codec_clear (CODEC (MeshList), &list);
  g_bytes_unref (bytes);
  return taken;
}

/* Failure: hundreds of instances start at once and hear of a list from each voter. Symptom: each is
 * sent it by all of them, and grants wait behind these megabytes on every link. One is asked; the
 * others only when it has not answered in time. */
bool
servers_may_request (Servers *servers, int64_t now)
{
  if (servers->wanted_at && now - servers->wanted_at < WANT_AGAIN)
    return false;
  servers->wanted_at = now;
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
servers_give_to (const Servers *servers, Sched *sched)
{
  SchedServer *list = g_new0 (SchedServer, servers->list->len + 1);

  for (unsigned i = 0; i < servers->list->len; i++)
    {
      const SeamServer *from = &g_array_index (servers->list, SeamServer, i);
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
  bool changed = servers->digest != servers->digest_seen;

  servers->digest_seen = servers->digest;
  return changed;
}
