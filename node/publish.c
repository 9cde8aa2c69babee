/* publish.c - sends state from a voter to the linked instances: changes at once, and little traffic
 * while nothing changes.
 *
 * All instances get views, which name the voter in charge; entries also get catalogues and lists of
 * servers. The entries that share the limits are counted here too, since their number is part of
 * the view.
 */
#include "publish.h"
#include "docver.h"

#include <string.h>

#define VIEW_INTERVAL (200 * FT_MS) /* six within the 1.3 s after which a link counts as lost */
#define FOLLOWER_VIEW_INTERVAL                                                                     \
  (400 * FT_MS) /* from a voter not in charge, which entries use only if all others are silent */
#define WAITING_KEEPALIVE                                                                          \
  (40 * FT_MS) /* a third of the silence after which a waiting entry does without the voter */
#define ENTRIES_CHANGE_DIVISOR                                                                     \
  16 /* the number of entries is updated when it has changed by more than 1/16 */
#define LISTS_PER_TICK                                                                             \
  12 /* whole lists per tick: 300 instances that start together have them within 0.5 s, and a      \
        grant is queued behind at most this many on a voter's network link */
#define DOCUMENT_BYTES_PER_TICK                                                                    \
  (256u << 10) /* bytes of catalogues per tick: they delay grants by 2 ms on a 1 Gbit/s link, and  \
                  a thousand whole catalogues of 20 KB are sent within 2 s */
#define RESEND_INTERVAL                                                                            \
  (1500 * FT_MS) /* a catalogue that the entry has not confirmed is sent again */
#define FOLLOWER_DELAY (600 * FT_MS) /* before a voter that is not in charge sends a catalogue */
#define UNSENT_MAX     16384         /* unsent bytes on a link above which nothing large is added */
#define LOST_ENTRY_TIME                                                                            \
  (12 * FT_SECOND) /* an entry that is cut off still grants its share of the limits; longer than   \
                      the limits' window of 8 s */
#define DEPUTIES                                                                                   \
  3 /* entries that schedule when no voter does: three are unlikely to fail together */

typedef struct
{
  MeshPeer *peer;
  int64_t view_sent_at, document_sent_at, up_to_date_at;
  unsigned view_sent, urgent_sent; /* view_number and view_urgent of the view sent last */
  uint64_t document_sent;          /* number of the document sent last */
  guint list_digest;               /* of the list sent last */
  bool wants_list;
} Contact;

struct Publish
{
  Loop *loop;
  Voter *voter;
  Servers *servers;
  Broker *broker;
  GPtrArray *contacts; /* a Contact for each accepted link */
  GHashTable *lost; /* ip of an entry whose link is down: second until which it counts, as GINT */
  VoterStatus status;
  bool leaving, reading;
  GBytes *view;         /* packed message of the newest view, the same for all */
  unsigned view_number; /* incremented with each change of the view */
  unsigned view_urgent; /* incremented with each change that affects which scheduler entries ask */
  MeshView published;   /* as packed in view; its array pointers must not be used */
  guint published_deputies;
  uint32_t deputies[DEPUTIES];
  unsigned deputy_count;
  DocumentVersions *documents;
  unsigned document_next; /* index of the last contact considered for the newest document */
  unsigned list_next;     /* the same for a whole list */
};

static unsigned
count_linked (const Publish *pub)
{
  unsigned count = 0;

  for (unsigned i = 0; i < pub->contacts->len; i++)
    {
      const Contact *contact = pub->contacts->pdata[i];
      count += contact->peer->role == MESH_ENTRY && !contact->peer->leaving;
    }
  return count;
}

static gboolean
has_expired (gpointer ip, gpointer second, gpointer now)
{
  (void) ip;
  return GPOINTER_TO_INT (second) < GPOINTER_TO_INT (now);
}

/* Entries that share the places and limits: those linked and those lost recently. */
static unsigned
count_entries (const Publish *pub)
{
  return count_linked (pub) + g_hash_table_size (pub->lost);
}

static bool
is_entry (const Publish *pub, uint32_t ip)
{
  for (unsigned i = 0; i < pub->contacts->len; i++)
    {
      const MeshPeer *peer = ((Contact *) pub->contacts->pdata[i])->peer;
      if (peer->ip == ip && peer->role == MESH_ENTRY && !peer->leaving)
        return true;
    }
  return false;
}

static bool
is_deputy (const Publish *pub, uint32_t ip)
{
  for (unsigned i = 0; i < pub->deputy_count; i++)
    if (pub->deputies[i] == ip)
      return true;
  return false;
}

/* Keeps the deputies that are still linked, so that entries agree on them, and fills up with the
 * lowest addresses, so that successive leaders make the same choice. */
static void
choose_deputies (Publish *pub)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < pub->deputy_count; i++)
    if (is_entry (pub, pub->deputies[i]))
      pub->deputies[kept++] = pub->deputies[i];
  pub->deputy_count = kept;
  while (pub->deputy_count < DEPUTIES)
    {
      uint32_t lowest = 0;
      for (unsigned i = 0; i < pub->contacts->len; i++)
        {
          const MeshPeer *peer = ((Contact *) pub->contacts->pdata[i])->peer;
          if (peer->role == MESH_ENTRY && !peer->leaving && !is_deputy (pub, peer->ip)
              && (lowest == 0 || peer->ip < lowest))
            lowest = peer->ip;
        }
      if (lowest == 0)
        return;
      pub->deputies[pub->deputy_count++] = lowest;
    }
}

static guint
deputies_digest (const Publish *pub)
{
  guint digest = pub->deputy_count;

  for (unsigned i = 0; i < pub->deputy_count; i++)
    digest = digest * 31 + pub->deputies[i];
  return digest;
}

/* True if the view differs from the last one in a field that affects which scheduler entries ask or
 * which document they need. */
static bool
is_urgent (const Publish *pub, const MeshView *view)
{
  const MeshView *published = &pub->published;

  return view->term != published->term || view->leader != published->leader
         || view->proved != published->proved || view->document != published->document
         || view->reading != published->reading || deputies_digest (pub) != pub->published_deputies;
}

/* The number of entries for the view, which ignores changes of up to a sixteenth. When a hundred
 * entries are restarted in turn, their number changes many times a second, and sending a view to
 * every entry each time would cost as many bytes as all asks together. Entries use the number only
 * to share out limits while no voter schedules, for which this precision is enough. */
static unsigned
entries_for_view (const Publish *pub)
{
  unsigned now = count_entries (pub), published = pub->published.entries;
  unsigned difference = now > published ? now - published : published - now;

  return difference * ENTRIES_CHANGE_DIVISOR <= published ? published : now;
}

/* Packs the current view, and counts it as a new one if it has changed. */
static void
update_view (Publish *pub)
{
  MeshMsg msg = { .kind = MESH_VIEW };
  MeshView *view = &msg.MeshMsg_u.view;
  VoterStatus *status = &pub->status;

  voter_status (pub->voter, status);
  view->term = status->term;
  view->leader = status->leader;
  view->proved = status->proved && !pub->leaving;
  view->document = voter_newest_number (pub->voter);
  view->voters.voters_len = status->count;
  view->voters.voters_val = status->voters;
  view->entries = entries_for_view (pub);
  view->reading = servers_asked_at (pub->servers) > 0 || pub->reading;
  view->deputies.deputies_len = pub->deputy_count;
  view->deputies.deputies_val = pub->deputies;
  GBytes *packed = mesh_pack (&msg);
  if (pub->view && g_bytes_equal (packed, pub->view))
    {
      g_bytes_unref (packed);
      return;
    }
  g_clear_pointer (&pub->view, g_bytes_unref);
  pub->view = packed;
  pub->view_number++;
  pub->view_urgent += is_urgent (pub, view);
  pub->published = *view;
  pub->published_deputies = deputies_digest (pub);
}

static void
send_view (Publish *pub, Contact *contact, int64_t now)
{
  update_view (pub);
  mesh_send_packed (contact->peer, pub->view);
  contact->view_sent = pub->view_number;
  contact->urgent_sent = pub->view_urgent;
  contact->view_sent_at = now;
}

/* Sends an urgent change at once and any other one at most once per interval; otherwise keeps the
 * link alive. */
static void
send_view_if_due (Publish *pub, Contact *contact, int64_t now)
{
  int64_t interval = pub->status.proved ? VIEW_INTERVAL : FOLLOWER_VIEW_INTERVAL;

  if (contact->urgent_sent != pub->view_urgent
      || (contact->view_sent != pub->view_number && now - contact->view_sent_at >= interval))
    send_view (pub, contact, now);
  else if (broker_peer_waits (pub->broker, contact->peer))
    mesh_keep_alive (contact->peer, WAITING_KEEPALIVE);
  else
    mesh_keep_alive (contact->peer, interval);
}

/* The version to send changes against: the newest that the entry has confirmed or was sent on this
 * link. 0, for the whole document, if the newest was already sent but not confirmed in time: its
 * changes may have been against a version that the entry does not hold. */
static uint64_t
base_version (const Contact *contact, uint64_t number)
{
  return contact->document_sent == number ? 0
                                          : MAX (contact->document_sent, contact->peer->document);
}

/* Passes the newest document to docver; false: there is none. */
static bool
load_newest_document (Publish *pub, uint64_t *number)
{
  GBytes *text, *document = voter_document_text (pub->voter, number, &text);

  if (document == NULL)
    return false;
  docver_set_newest (pub->documents, *number, document, text);
  g_bytes_unref (document);
  if (text)
    g_bytes_unref (text);
  return true;
}

/* Sends the newest document unless the link is busy. If versions were queued on a link that is
 * slower than they follow each other, hundreds would take up memory for each entry and the newest
 * would arrive last. Returns the number of bytes sent. */
static size_t
send_document (Publish *pub, Contact *contact, int64_t now)
{
  uint64_t number;
  size_t sent = 0;

  if (!load_newest_document (pub, &number) || mesh_unsent (contact->peer) > UNSENT_MAX
      || (contact->document_sent == number && now - contact->document_sent_at < RESEND_INTERVAL))
    return 0;
  GBytes *message = docver_message_for (pub->documents, base_version (contact, number));
  if (message && mesh_send_packed (contact->peer, message))
    sent = g_bytes_get_size (message);
  contact->document_sent = number;
  contact->document_sent_at = now;
  return sent;
}

static bool
lacks_document (const Publish *pub, const Contact *contact, uint64_t number, int64_t now)
{
  return contact->peer->role == MESH_ENTRY && contact->peer->document < number
         && (pub->status.proved || now - contact->up_to_date_at > FOLLOWER_DELAY);
}

/* Sends the newest document to some of the entries, in rotation. Sending it to a thousand entries
 * in one iteration would delay the grants of that second, both in the loop and on the network link.
 */
static void
send_documents (Publish *pub, int64_t now)
{
  uint64_t number = voter_newest_number (pub->voter);
  unsigned all = pub->contacts->len;
  size_t sent = 0;

  for (unsigned i = 0; i < all && sent < DOCUMENT_BYTES_PER_TICK; i++)
    {
      pub->document_next = (pub->document_next + 1) % all;
      Contact *contact = pub->contacts->pdata[pub->document_next];
      if (lacks_document (pub, contact, number, now))
        sent += send_document (pub, contact, now);
    }
}

static void
send_list (Publish *pub, Contact *contact, int64_t now)
{
  if (servers_asked_at (pub->servers) == 0 || mesh_unsent (contact->peer) > UNSENT_MAX)
    return;
  servers_send (pub->servers, contact->peer, now, contact->list_digest);
  contact->list_digest = servers_digest (pub->servers);
}

static bool
send_whole_list (Publish *pub, Contact *contact, int64_t now)
{
  if (!contact->wants_list || mesh_unsent (contact->peer) > UNSENT_MAX
      || !servers_send_whole (pub->servers, contact->peer, now))
    return false;
  contact->wants_list = false;
  contact->list_digest = servers_digest (pub->servers);
  return true;
}

/* Sends the whole list to some of the entries that want it, in rotation. After a start of the whole
 * deployment hundreds want it at once, and sending all of them would hold up scheduling for
 * seconds. Entries can serve without it, since a grant contains the server's address. */
static void
send_whole_lists (Publish *pub, int64_t now)
{
  unsigned sent = 0, all = pub->contacts->len;

  for (unsigned i = 0; i < all && sent < LISTS_PER_TICK; i++)
    {
      pub->list_next = (pub->list_next + 1) % all;
      sent += send_whole_list (pub, pub->contacts->pdata[pub->list_next], now);
    }
}

static void
send_to_all (Publish *pub, void (*send) (Publish *, Contact *, int64_t))
{
  for (unsigned i = 0; i < pub->contacts->len; i++)
    send (pub, pub->contacts->pdata[i], loop_now (pub->loop));
}

static void
update_contacts (Publish *pub, int64_t now)
{
  uint64_t number = voter_newest_number (pub->voter);

  update_view (pub);
  for (unsigned i = 0; i < pub->contacts->len; i++)
    {
      Contact *contact = pub->contacts->pdata[i];
      send_view_if_due (pub, contact, now);
      if (contact->peer->document >= number)
        contact->up_to_date_at = now;
    }
}

/* ---- Interface ---- */

Publish *
publish_new (Loop *loop, Voter *voter, Servers *servers, Broker *broker)
{
  Publish *pub = g_new0 (Publish, 1);

  pub->loop = loop;
  pub->voter = voter;
  pub->servers = servers;
  pub->broker = broker;
  pub->documents = docver_new ();
  pub->contacts = g_ptr_array_new_with_free_func (g_free);
  pub->lost = g_hash_table_new (NULL, NULL);
  return pub;
}

void
publish_free (Publish *pub)
{
  if (pub == NULL)
    return;
  docver_free (pub->documents);
  if (pub->view)
    g_bytes_unref (pub->view);
  g_hash_table_unref (pub->lost);
  g_ptr_array_unref (pub->contacts);
  g_free (pub);
}

void
publish_link_up (Publish *pub, MeshPeer *peer)
{
  int64_t now = loop_now (pub->loop);

  g_hash_table_remove (pub->lost, GUINT_TO_POINTER (peer->ip));
  if (peer->dialled)
    return;
  Contact *contact = g_new0 (Contact, 1);
  contact->peer = peer;
  peer->user = contact;
  g_ptr_array_add (pub->contacts, contact);
  send_view (pub, contact, now);
  send_list (pub, contact, now);
  if (peer->role == MESH_ENTRY && peer->document < voter_newest_number (pub->voter))
    send_document (pub, contact, now);
}

void
publish_link_down (Publish *pub, MeshPeer *peer)
{
  int64_t expires_at = loop_now (pub->loop) + LOST_ENTRY_TIME;

  if (peer->user == NULL)
    return;
  if (peer->role == MESH_ENTRY && !peer->leaving)
    g_hash_table_insert (pub->lost, GUINT_TO_POINTER (peer->ip),
                         GINT_TO_POINTER ((int) (expires_at / FT_SECOND)));
  g_ptr_array_remove_fast (pub->contacts, peer->user);
  peer->user = NULL;
}

void
publish_request_list (MeshPeer *peer)
{
  Contact *contact = peer->user;

  if (contact)
    contact->wants_list = true;
}

void
publish_view (Publish *pub, MeshPeer *peer)
{
  if (peer->user)
    send_view (pub, peer->user, loop_now (pub->loop));
}

void
publish_set_state (Publish *pub, bool leaving, bool reading)
{
  pub->leaving = leaving;
  pub->reading = reading;
}

void
publish_views (Publish *pub)
{
  send_to_all (pub, send_view);
}

void
publish_documents (Publish *pub)
{
  uint64_t number;

  if (!load_newest_document (pub, &number))
    return;
  voter_status (pub->voter, &pub->status);
  send_documents (pub, loop_now (pub->loop));
}

void
publish_lists (Publish *pub)
{
  send_to_all (pub, send_list);
}

void
publish_tick (Publish *pub)
{
  int64_t now = loop_now (pub->loop);

  g_hash_table_foreach_remove (pub->lost, has_expired, GINT_TO_POINTER ((int) (now / FT_SECOND)));
  choose_deputies (pub);
  update_contacts (pub, now);
  send_documents (pub, now);
  send_whole_lists (pub, now);
}

unsigned
publish_count_entries (const Publish *pub, unsigned *lost)
{
  if (lost)
    *lost = g_hash_table_size (pub->lost);
  return count_linked (pub);
}
