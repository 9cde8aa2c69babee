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

typedef struct
{
  uint32_t ips[MESH_RELAYS_MAX];
  unsigned count;
} Assignment;

struct Relays
{
  Loop *loop;
  Mesh *mesh;
  GHashTable *assigned; /* MeshPeer -> Assignment */
  GPtrArray *usable;    /* MeshPeer that may relay, during a tick */
  GHashTable *usable_ips;
  unsigned next; /* index in usable of the next one to be named */
  int64_t due;
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
  return relays;
}

void
relays_free (Relays *relays)
{
  if (relays == NULL)
    return;
  g_hash_table_unref (relays->assigned);
  g_hash_table_unref (relays->usable_ips);
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
  g_hash_table_add (relays->usable_ips, GUINT_TO_POINTER (peer->ip));
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
  if (assignment->count < MESH_RELAYS_MAX)
    {
      changed |= fill (relays, peer, assignment, true);
      changed |= fill (relays, peer, assignment, false);
    }
  if (!changed)
    return;
  msg.MeshMsg_u.relays.relays.relays_len = assignment->count;
  msg.MeshMsg_u.relays.relays.relays_val = assignment->ips;
  mesh_send (peer, &msg);
}

void
relays_tick (Relays *relays)
{
  int64_t now = loop_now (relays->loop);

  if (now < relays->due)
    return;
  relays->due = now + INTERVAL;
  g_ptr_array_set_size (relays->usable, 0);
  g_hash_table_remove_all (relays->usable_ips);
  mesh_for_each_peer (relays->mesh, collect, relays);
  mesh_for_each_peer (relays->mesh, assign, relays);
}
