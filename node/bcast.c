/* bcast.c - tracks which version of the message each entry was sent. */
#include "bcast.h"
#include "jlog.h"

#define UNSENT_SMALL 16384 /* bytes under way to an entry beyond which nothing is added */

typedef struct
{
  MeshPeer *peer;
  unsigned sent; /* number of the version sent last */
} Contact;

struct Broadcast
{
  const char *name;
  GBytes *(*pack) (void *host);
  void *host;
  GPtrArray *contacts; /* Contact of each accepted link to an entry */
  unsigned number;     /* of the newest version */
};

Broadcast *
bcast_new (const char *name, GBytes *(*pack) (void *host), void *host)
{
  Broadcast *bcast = g_new0 (Broadcast, 1);

  bcast->name = name;
  bcast->pack = pack;
  bcast->host = host;
  bcast->contacts = g_ptr_array_new_with_free_func (g_free);
  return bcast;
}

void
bcast_free (Broadcast *bcast)
{
  if (bcast == NULL)
    return;
  g_ptr_array_unref (bcast->contacts);
  g_free (bcast);
}

void
bcast_changed (Broadcast *bcast)
{
  bcast->number++;
}

/* NULL: it does not fit into a message. The entries keep the one before. */
static GBytes *
pack (const Broadcast *bcast)
{
  GBytes *packed = bcast->pack (bcast->host);

  if (packed == NULL)
    jlog (JLOG_ERROR, "message-too-large", NULL, JL_TEXT ("message", bcast->name));
  return packed;
}

static void
send_to (const Broadcast *bcast, Contact *contact, GBytes *packed)
{
  if (packed)
    mesh_send_packed (contact->peer, packed);
  contact->sent = bcast->number;
}

void
bcast_link_up (Broadcast *bcast, MeshPeer *peer, bool at_once)
{
  if (peer->dialled || peer->role != MESH_ENTRY)
    return;
  Contact *contact = g_new0 (Contact, 1);
  contact->peer = peer;
  contact->sent = bcast->number; /* unless at_once the message is still empty */
  g_ptr_array_add (bcast->contacts, contact);
  if (!at_once)
    return;
  GBytes *packed = pack (bcast);
  send_to (bcast, contact, packed);
  if (packed)
    g_bytes_unref (packed);
}

void
bcast_link_down (Broadcast *bcast, const MeshPeer *peer)
{
  for (unsigned i = 0; i < bcast->contacts->len; i++)
    if (((Contact *) bcast->contacts->pdata[i])->peer == peer)
      {
        g_ptr_array_remove_index_fast (bcast->contacts, i);
        return;
      }
}

/* Packs the message at most once. Packing a table of a thousand suspects for each of 128 entries
 * took 30 ms of CPU time in the loop of the voter in charge. */
void
bcast_send_all (Broadcast *bcast)
{
  GBytes *packed = NULL;
  bool tried = false;

  for (unsigned i = 0; i < bcast->contacts->len; i++)
    {
      Contact *contact = bcast->contacts->pdata[i];
      if (contact->sent != bcast->number && mesh_unsent (contact->peer) <= UNSENT_SMALL)
        {
          packed = tried ? packed : pack (bcast);
          tried = true;
          send_to (bcast, contact, packed);
        }
    }
  if (packed)
    g_bytes_unref (packed);
}

MeshPeer *
bcast_find (const Broadcast *bcast, uint64_t lifetime)
{
  for (unsigned i = 0; i < bcast->contacts->len; i++)
    {
      const Contact *contact = bcast->contacts->pdata[i];
      if (contact->peer->lifetime == lifetime)
        return contact->peer;
    }
  return NULL;
}
