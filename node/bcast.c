/* bcast.c - who was sent which form of a message. */
#include "bcast.h"

/* Tuning; each row with its reason. */
#define UNSENT_SMALL 16384 /* bytes under way to an entry beyond which nothing is added */

typedef struct
{
  MeshPeer *peer;
  unsigned told; /* number of the form that it was sent last */
} Contact;

struct Broadcast
{
  GBytes *(*pack) (void *host);
  void *host;
  GPtrArray *contacts; /* Contact of each accepted link to an entry */
  unsigned number;     /* of the newest form */
};

Broadcast *
bcast_new (GBytes *(*pack) (void *host), void *host)
{
  Broadcast *tell = g_new0 (Broadcast, 1);

  tell->pack = pack;
  tell->host = host;
  tell->contacts = g_ptr_array_new_with_free_func (g_free);
  return tell;
}

void
bcast_free (Broadcast *tell)
{
  if (tell == NULL)
    return;
  g_ptr_array_unref (tell->contacts);
  g_free (tell);
}

void
bcast_changed (Broadcast *tell)
{
  tell->number++;
}

static void
send_to (const Broadcast *tell, Contact *contact, GBytes *packed)
{
  mesh_send_packed (contact->peer, packed);
  contact->told = tell->number;
}

void
bcast_link_up (Broadcast *tell, MeshPeer *peer, bool at_once)
{
  if (peer->dialled || peer->role != MESH_ENTRY)
    return;
  Contact *contact = g_new0 (Contact, 1);
  contact->peer = peer;
  contact->told = tell->number; /* nothing was ever said, unless at_once */
  g_ptr_array_add (tell->contacts, contact);
  if (!at_once)
    return;
  GBytes *packed = tell->pack (tell->host);
  send_to (tell, contact, packed);
  g_bytes_unref (packed);
}

void
bcast_link_down (Broadcast *tell, const MeshPeer *peer)
{
  for (unsigned i = 0; i < tell->contacts->len; i++)
    if (((Contact *) tell->contacts->pdata[i])->peer == peer)
      {
        g_ptr_array_remove_index_fast (tell->contacts, i);
        return;
      }
}

/* Failure: an account of a thousand suspects is packed anew for each of 128 entries. Symptom: the
 * loop of the voter in charge does nothing else for 30 ms of processor time. It is packed once for
 * all. */
void
bcast_send_all (Broadcast *tell)
{
  GBytes *packed = NULL;

  for (unsigned i = 0; i < tell->contacts->len; i++)
    {
      Contact *contact = tell->contacts->pdata[i];
      if (contact->told != tell->number && mesh_unsent (contact->peer) <= UNSENT_SMALL)
        {
          packed = packed ? packed : tell->pack (tell->host);
          send_to (tell, contact, packed);
        }
    }
  if (packed)
    g_bytes_unref (packed);
}

MeshPeer *
bcast_find (const Broadcast *tell, uint64_t lifetime)
{
  for (unsigned i = 0; i < tell->contacts->len; i++)
    {
      const Contact *contact = tell->contacts->pdata[i];
      if (contact->peer->lifetime == lifetime)
        return contact->peer;
    }
  return NULL;
}
