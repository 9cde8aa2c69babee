/* publish.c - what a voter tells the instances that are linked to it, so that each hears of a
 * change at once, and in few bytes while nothing changes.
 *
 * Everybody hears in a view who is in charge; entries get catalogues and lists of servers. How many
 * entries share the limits is counted here too, since it goes into the view.
 */
#include "publish.h"
#include "docver.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define VIEW_EVERY    (200 * FT_MS) /* six in the 1.3 s after which a link counts as lost */
#define VIEW_FOLLOWER (400 * FT_MS) /* of a voter that is asked only when all others are silent */
#define VIEW_WAITING  (40 * FT_MS)  /* a third of the silence after which an entry helps itself */
#define ENTRIES_MOVED                                                                              \
  16 /* part by which the number of entries must have moved to be shown again                      \
      */
#define LISTS_A_TICK                                                                               \
  12 /* whole lists sent at once: 300 instances that start together have them within 0.5 s, and a  \
        grant waits for no more than these on a voter's link */
#define PUSHED_A_TICK                                                                              \
  (256u << 10) /* bytes of catalogues sent at once: grants wait 2 ms behind them on a link of 1    \
                  Gbit/s, and a thousand whole ones of 20 KB are out within 2 s */
#define PUSH_AGAIN     (1500 * FT_MS) /* a push that its entry has not confirmed is repeated */
#define FOLLOWER_WAITS (600 * FT_MS)  /* before a voter that is not in charge sends one */
#define UNSENT_SMALL   16384 /* bytes under way to an entry beyond which nothing large is added */
#define LOST_KEPT                                                                                  \
  (12 * FT_SECOND) /* an entry that is cut off gives its part away by itself;                      \
                      above the span of the limits, 8 s */
#define DEPUTIES 3 /* entries that schedule when no voter does: three may not all be lost */

typedef struct
{
  MeshPeer *peer;
  int64_t viewed_at, pushed_at, behind_since;
  unsigned viewed, urgent; /* numbers of the view that it was sent last */
  uint64_t pushed;         /* number of the document that it was sent last */
  guint list_digest;       /* of the list that it was told of last */
  bool wants_list;
} Contact;

struct Publish
{
  Loop *loop;
  Voter *voter;
  Servers *servers;
  Broker *broker;
  GPtrArray *contacts; /* Contact of each accepted link */
  GHashTable *lost;    /* ip of an entry whose link is down: GINT of the second until it counts */
  VoterStatus status;
  bool leaving, reading;
  GBytes *view;         /* the newest view's message, for all */
  unsigned view_number; /* grows with each change of the view ... */
  unsigned view_urgent; /* ... and with each that decides whom entries ask */
  MeshView shown;       /* as packed in view; its lists are not used */
  guint shown_deputies;
  uint32_t deputies[DEPUTIES];
  unsigned deputy_count;
  DocumentVersions *documents;
  unsigned document_next; /* contact that is sent the newest document next, if it lacks it */
  unsigned list_next;     /* the same of a whole list, if it wants one */
};

static unsigned
count_heard (const Publish *pub)
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
is_over (gpointer ip, gpointer second, gpointer now)
{
  (void) ip;
  return GPOINTER_TO_INT (second) < GPOINTER_TO_INT (now);
}

/* Entries that share the places and limits: those heard and those lost lately. */
static unsigned
count_entries (const Publish *pub)
{
  return count_heard (pub) + g_hash_table_size (pub->lost);
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

/* Keeps those that are still there, so that entries agree on them, and fills up with the lowest
 * addresses, so that successive voters in charge choose alike. */
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

static bool
is_urgent (const Publish *pub, const MeshView *view)
{
  const MeshView *shown = &pub->shown;

  return view->term != shown->term || view->leader != shown->leader || view->proved != shown->proved
         || view->document != shown->document || view->reading != shown->reading
         || deputies_digest (pub) != pub->shown_deputies;
}

/* Failure: a hundred entries are restarted in turn, so that their number changes many times a
 * second. Symptom: each change is a view to every entry, as many bytes as all asks together. What
 * they do by it, sharing limits out while no voter schedules, bears a sixteenth. */
static unsigned
steady_entries (const Publish *pub)
{
  unsigned now = count_entries (pub), shown = pub->shown.entries;
  unsigned moved = now > shown ? now - shown : shown - now;

  return moved * ENTRIES_MOVED <= shown ? shown : now;
}

/* Packs what entries are to know of this voter, and notes whether that has changed. */
static void
note_view (Publish *pub)
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
  view->entries = steady_entries (pub);
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
  pub->shown = *view;
  pub->shown_deputies = deputies_digest (pub);
}

static void
send_view (Publish *pub, Contact *contact, int64_t now)
{
  note_view (pub);
  mesh_send_packed (contact->peer, pub->view);
  contact->viewed = pub->view_number;
  contact->urgent = pub->view_urgent;
  contact->viewed_at = now;
}

/* How many entries share the limits changes with each link; who is in charge is said at once. */
static void
show_view (Publish *pub, Contact *contact, int64_t now)
{
  int64_t every = pub->status.proved ? VIEW_EVERY : VIEW_FOLLOWER;

  if (contact->urgent != pub->view_urgent
      || (contact->viewed != pub->view_number && now - contact->viewed_at >= every))
    send_view (pub, contact, now);
  else if (broker_peer_waits (pub->broker, contact->peer))
    mesh_keep_alive (contact->peer, VIEW_WAITING);
  else
    mesh_keep_alive (contact->peer, every);
}

/* The newest version that the entry has or will have, by what was sent on this link. A push that it
 * has not confirmed for long may have been against a version that it does not hold. */
static uint64_t
held_by (const Contact *contact, uint64_t number)
{
  return contact->pushed == number ? 0 : MAX (contact->pushed, contact->peer->document);
}

/* Notes the newest; false: there is none. */
static bool
take_document (Publish *pub, uint64_t *number)
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

/* Failure: versions follow each other faster than a slow link takes them. Symptom: hundreds of them
 * wait in memory for each entry, and the newest comes last. One at a time is under way to an entry,
 * and what follows is the newest by then. Returns how many bytes were sent. */
static size_t
send_document (Publish *pub, Contact *contact, int64_t now)
{
  uint64_t number;
  size_t sent = 0;

  if (!take_document (pub, &number) || mesh_unsent (contact->peer) > UNSENT_SMALL
      || (contact->pushed == number && now - contact->pushed_at < PUSH_AGAIN))
    return 0;
  GBytes *message = docver_message_for (pub->documents, held_by (contact, number));
  if (message && mesh_send_packed (contact->peer, message))
    sent = g_bytes_get_size (message);
  contact->pushed = number;
  contact->pushed_at = now;
  return sent;
}

static bool
lacks_document (const Publish *pub, const Contact *contact, uint64_t number, int64_t now)
{
  return contact->peer->role == MESH_ENTRY && contact->peer->document < number
         && (pub->status.proved || now - contact->behind_since > FOLLOWER_WAITS);
}

/* Failure: a change goes to a thousand entries in one turn. Symptom: the grants of that second wait
 * behind it, on the voter's link and in its loop. Some are sent it in each tick, by turns. */
static void
send_documents (Publish *pub, int64_t now)
{
  uint64_t number = voter_newest_number (pub->voter);
  unsigned all = pub->contacts->len;
  size_t sent = 0;

  for (unsigned i = 0; i < all && sent < PUSHED_A_TICK; i++)
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
  if (servers_asked_at (pub->servers) == 0 || mesh_unsent (contact->peer) > UNSENT_SMALL)
    return;
  servers_send (pub->servers, contact->peer, now, contact->list_digest);
  contact->list_digest = servers_digest (pub->servers);
}

static bool
send_whole_list (Publish *pub, Contact *contact, int64_t now)
{
  if (!contact->wants_list || mesh_unsent (contact->peer) > UNSENT_SMALL
      || !servers_send_whole (pub->servers, contact->peer, now))
    return false;
  contact->wants_list = false;
  contact->list_digest = servers_digest (pub->servers);
  return true;
}

/* Failure: after a start of everything hundreds of entries want the whole list at once. Symptom:
 * a voter sends nothing but lists for seconds, and nobody is scheduled. Some are sent in each tick,
 * by turns; entries can serve before, since a grant says where its server is. */
static void
send_whole_lists (Publish *pub, int64_t now)
{
  unsigned sent = 0, all = pub->contacts->len;

  for (unsigned i = 0; i < all && sent < LISTS_A_TICK; i++)
    {
      pub->list_next = (pub->list_next + 1) % all;
      sent += send_whole_list (pub, pub->contacts->pdata[pub->list_next], now);
    }
}

static void
push_all (Publish *pub, void (*send) (Publish *, Contact *, int64_t))
{
  for (unsigned i = 0; i < pub->contacts->len; i++)
    send (pub, pub->contacts->pdata[i], loop_now (pub->loop));
}

static void
tick_contacts (Publish *pub, int64_t now)
{
  uint64_t number = voter_newest_number (pub->voter);

  note_view (pub);
  for (unsigned i = 0; i < pub->contacts->len; i++)
    {
      Contact *contact = pub->contacts->pdata[i];
      show_view (pub, contact, now);
      if (contact->peer->document >= number)
        contact->behind_since = now;
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
  int64_t until = loop_now (pub->loop) + LOST_KEPT;

  if (peer->user == NULL)
    return;
  if (peer->role == MESH_ENTRY && !peer->leaving)
    g_hash_table_insert (pub->lost, GUINT_TO_POINTER (peer->ip),
                         GINT_TO_POINTER ((int) (until / FT_SECOND)));
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
  push_all (pub, send_view);
}

void
publish_documents (Publish *pub)
{
  uint64_t number;

  if (!take_document (pub, &number))
    return;
  voter_status (pub->voter, &pub->status);
  send_documents (pub, loop_now (pub->loop));
}

void
publish_lists (Publish *pub)
{
  push_all (pub, send_list);
}

void
publish_tick (Publish *pub)
{
  int64_t now = loop_now (pub->loop);

  g_hash_table_foreach_remove (pub->lost, is_over, GINT_TO_POINTER ((int) (now / FT_SECOND)));
  choose_deputies (pub);
  tick_contacts (pub, now);
  send_documents (pub, now);
  send_whole_lists (pub, now);
}

unsigned
publish_count_entries (const Publish *pub, unsigned *lost)
{
  if (lost)
    *lost = g_hash_table_size (pub->lost);
  return count_heard (pub);
}
