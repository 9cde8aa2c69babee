/* relays.c - which entries relay for which.
 *
 * Entries that are cut off send all their requests through others, so these are spread: each entry
 * is given others in turn. Those of other failure domains come first, since whole domains are cut
 * off together. They are named beforehand, so that an entry has them when it is cut off, and
 * replaced when they leave or report that they reach no server themselves.
 */
#include "relays.h"
#include "jlog.h"

#include <string.h>

#define INTERVAL (200 * FT_MS)
#define AWAY     (2 * INTERVAL) /* without a tick: another voter was in charge */

typedef struct
{
  uint32_t ips[MESH_RELAYS_MAX];
  unsigned count;
} Assignment;

struct Relays
{
  Loop *loop;
  Mesh *mesh;
  GHashTable *assigned;       /* MeshPeer -> Assignment */
  GPtrArray *usable;          /* MeshPeer that may relay, during a tick */
  GHashTable *usable_ips;     /* their addresses -> MeshPeer */
  GHashTable *usable_domains; /* failure domain -> number of them */
  unsigned next;              /* index in usable of the next one to be named */
  int64_t due, ticked_at;
};

Relays *
relays_new (Loop *loop, Mesh *mesh)
{
  Relays *relays = g_new0 (Relays, 1);

  relays->loop = loop;
  relays->mesh = mesh;
  relays->assigned = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  relays->usable = g_ptr_array_new ();
  relays->usable_ips = g_hash_table_new (NULL, NULL);
  relays->usable_domains = g_hash_table_new (g_str_hash, g_str_equal);
  return relays;
}

void
relays_free (Relays *relays)
{
  if (relays == NULL)
    return;
  g_hash_table_unref (relays->assigned);
  g_hash_table_unref (relays->usable_ips);
  g_hash_table_unref (relays->usable_domains);
  g_ptr_array_unref (relays->usable);
  g_free (relays);
}

void
relays_link_down (Relays *relays, const MeshPeer *peer)
{
  g_hash_table_remove (relays->assigned, peer);
}

static bool
is_linked_entry (const MeshPeer *peer)
{
  return !peer->dialled && peer->role == MESH_ENTRY;
}

static void
collect (MeshPeer *peer, void *data)
{
  Relays *relays = data;

  if (!is_linked_entry (peer) || peer->leaving || peer->cut_off)
    return;
  g_ptr_array_add (relays->usable, peer);
  g_hash_table_insert (relays->usable_ips, GUINT_TO_POINTER (peer->ip), peer);
  guint before = GPOINTER_TO_UINT (g_hash_table_lookup (relays->usable_domains, peer->domain));
  g_hash_table_insert (relays->usable_domains, peer->domain, GUINT_TO_POINTER (before + 1));
}

static bool
has (const Assignment *assignment, uint32_t ip)
{
  for (unsigned i = 0; i < assignment->count; i++)
    if (assignment->ips[i] == ip)
      return true;
  return false;
}

static bool
drop_unusable (const Relays *relays, Assignment *assignment)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < assignment->count; i++)
    if (g_hash_table_contains (relays->usable_ips, GUINT_TO_POINTER (assignment->ips[i])))
      assignment->ips[kept++] = assignment->ips[i];
  bool changed = kept < assignment->count;
  assignment->count = kept;
  return changed;
}

static bool
is_elsewhere (const Relays *relays, const MeshPeer *peer, uint32_t ip)
{
  const MeshPeer *other = g_hash_table_lookup (relays->usable_ips, GUINT_TO_POINTER (ip));

  return strcmp (other->domain, peer->domain) != 0;
}

/* Makes room for relays in other failure domains, if there are any that are not assigned. */
static void
drop_local (const Relays *relays, const MeshPeer *peer, Assignment *assignment)
{
  unsigned local = GPOINTER_TO_UINT (g_hash_table_lookup (relays->usable_domains, peer->domain));
  unsigned wanted = MIN (relays->usable->len - local, MESH_RELAYS_MAX), have = 0;

  for (unsigned i = 0; i < assignment->count; i++)
    have += is_elsewhere (relays, peer, assignment->ips[i]);
  for (unsigned i = assignment->count;
       i-- > 0 && assignment->count + wanted - have > MESH_RELAYS_MAX;)
    if (!is_elsewhere (relays, peer, assignment->ips[i]))
      {
        assignment->count--;
        memmove (&assignment->ips[i], &assignment->ips[i + 1],
                 (assignment->count - i) * sizeof assignment->ips[0]);
      }
}

/* Adds up to MESH_RELAYS_MAX relays in turn; elsewhere: only from other failure domains. */
static bool
fill (Relays *relays, const MeshPeer *peer, Assignment *assignment, bool elsewhere)
{
  unsigned before = assignment->count, count = relays->usable->len;

  for (unsigned i = 0; i < count && assignment->count < MESH_RELAYS_MAX; i++)
    {
      const MeshPeer *other = relays->usable->pdata[relays->next++ % count];
      if (other->ip != peer->ip && !has (assignment, other->ip)
          && !(elsewhere && strcmp (other->domain, peer->domain) == 0))
        assignment->ips[assignment->count++] = other->ip;
    }
  return assignment->count > before;
}

static void
assign (MeshPeer *peer, void *data)
{
  Relays *relays = data;
  Assignment *assignment = g_hash_table_lookup (relays->assigned, peer);
  MeshMsg msg = { .kind = MESH_RELAYS };

  if (!is_linked_entry (peer))
    return;
  if (assignment == NULL)
    {
      assignment = g_new0 (Assignment, 1);
      g_hash_table_insert (relays->assigned, peer, assignment);
    }
  bool changed = drop_unusable (relays, assignment);
  drop_local (relays, peer, assignment);
  if (assignment->count < MESH_RELAYS_MAX)
    {
      changed |= fill (relays, peer, assignment, true);
      changed |= fill (relays, peer, assignment, false);
    }
  if (!changed)
    return;
  msg.MeshMsg_u.relays.relays.relays_len = assignment->count;
  msg.MeshMsg_u.relays.relays.relays_val = assignment->ips;
  if (!mesh_send (peer, &msg))
    g_hash_table_remove (relays->assigned, peer); /* try again in the next interval */
}

void
relays_tick (Relays *relays)
{
  int64_t now = loop_now (relays->loop);

  /* Another voter may have named other relays meanwhile. */
  if (now - relays->ticked_at > AWAY)
    g_hash_table_remove_all (relays->assigned);
  relays->ticked_at = now;
  if (now < relays->due)
    return;
  relays->due = now + INTERVAL;
  g_ptr_array_set_size (relays->usable, 0);
  g_hash_table_remove_all (relays->usable_ips);
  g_hash_table_remove_all (relays->usable_domains);
  mesh_for_each_peer (relays->mesh, collect, relays);
  mesh_for_each_peer (relays->mesh, assign, relays);
}
