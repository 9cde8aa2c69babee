/* listing.c - keeps the versions of servers that were listed lately in the log, and sends them to
 * the entries.
 *
 * An entry that has just started cannot tell which versions may have begun the streams that callers
 * take up. The voter in charge can: it has the table of its predecessor from the log, and watches
 * the lists since then. Versions are proposed shortly before streams begin at them and when they
 * have not been listed for ORIGINS_TIME_MAX, so the log grows by a few entries with each release.
 * A successor takes a version that the log names for one that joined long ago, so none is proposed
 * while it has just joined.
 */
#include "listing.h"
#include "bcast.h"
#include "codec.h"
#include "jlog.h"

#include <string.h>

#define NOTIFY_INTERVAL (5 * FT_SECOND) /* for entries that missed lists */
/* A proposal without a result after this time was lost. */
#define PROPOSAL_TIMEOUT (1500 * FT_MS)

struct Listing
{
  Loop *loop;
  Mesh *mesh;
  Voter *voter;
  Broker *broker;
  Origins *origins;
  MsgListedTable table; /* the committed one */
  bool taken_over;      /* the committed table was taken into origins since this voter leads */
  bool complete;        /* as of the last tick */
  uint64_t ticket;      /* of the pending proposal; 0: none */
  int64_t proposed_at, notified_at;
  Broadcast *broadcast;
};

/* ---- Messages to entries ---- */

static bool
is_in_use (const Listing *listing, const char *service, const char *version)
{
  return strcmp (broker_get_in_use (listing->broker, service), version) == 0;
}

typedef struct
{
  const Listing *listing;
  GArray *versions; /* MeshListedVersion */
} Packing;

static void
add_version (const char *service, const char *version, int64_t age, void *data)
{
  Packing *packing = data;
  MeshListedVersion one = { .service = (char *) service,
                            .software = (char *) version,
                            .age_ms = (u_int) (age / FT_MS),
                            .in_use = is_in_use (packing->listing, service, version) };

  g_array_append_val (packing->versions, one);
}

static GBytes *
pack_for_entries (void *host)
{
  const Listing *listing = host;
  GArray *versions = g_array_new (FALSE, FALSE, sizeof (MeshListedVersion));
  Packing packing = { listing, versions };
  MeshMsg msg = { .kind = MESH_LISTED };

  origins_for_each_listed (listing->origins, add_version, &packing);
  msg.MeshMsg_u.listed.versions.versions_val = (MeshListedVersion *) (void *) versions->data;
  msg.MeshMsg_u.listed.versions.versions_len = MIN (versions->len, MESH_LISTED_MAX);
  GBytes *packed = mesh_pack (&msg);
  g_array_unref (versions);
  return packed;
}

static void
notify_entries (Listing *listing, int64_t now)
{
  if (now - listing->notified_at >= NOTIFY_INTERVAL)
    {
      bcast_changed (listing->broadcast);
      listing->notified_at = now;
    }
  bcast_send_all (listing->broadcast);
}

/* ---- The log ---- */

/* A scheduler that has just started would put the version of most listed servers in use, which may
 * be one that stands ready for an order. */
static void
use_committed_versions (Listing *listing)
{
  for (unsigned i = 0; i < listing->table.services.services_len; i++)
    {
      const MsgListedService *listed = &listing->table.services.services_val[i];
      if (listed->versions.versions_len > 0)
        broker_set_in_use (listing->broker, listed->service, listed->versions.versions_val[0]);
    }
}

void
listing_committed (Listing *listing)
{
  GBytes *bytes = voter_listed (listing->voter);
  MsgListedTable table = { 0 };
  gsize size;

  if (bytes == NULL)
    return;
  const void *data = g_bytes_get_data (bytes, &size);
  if (codec_unpack (CODEC (MsgListedTable), data, size, &table, NULL) != FT_OK)
    {
      jlog (JLOG_ERROR, "table-not-read", NULL, JL_TEXT ("table", "listed versions"));
      codec_clear (CODEC (MsgListedTable), &table);
      g_bytes_unref (bytes);
      return;
    }
  codec_clear (CODEC (MsgListedTable), &listing->table);
  listing->table = table;
  g_bytes_unref (bytes);
  if (!listing->taken_over)
    use_committed_versions (listing);
}

/* A voter of an older program cannot apply the operation, and proposes none while it leads. */
static bool
all_voters_know (const Listing *listing, const VoterStatus *status)
{
  for (unsigned i = 0; i < status->count; i++)
    {
      const MeshPeer *peer = mesh_find_dialled (listing->mesh, status->voters[i]);
      if (peer && !peer->knows_listed)
        return false;
    }
  return true;
}

static bool
contains (const MsgListedService *listed, const char *version)
{
  for (unsigned i = 0; i < listed->versions.versions_len; i++)
    if (strcmp (listed->versions.versions_val[i], version) == 0)
      return true;
  return false;
}

static const MsgListedService *
find_committed (const Listing *listing, const char *service)
{
  for (unsigned i = 0; i < listing->table.services.services_len; i++)
    {
      const MsgListedService *known = &listing->table.services.services_val[i];
      if (strcmp (known->service, service) == 0)
        return known;
    }
  return NULL;
}

/* False: the version has just joined, and has begun no stream. */
static bool
is_to_be_logged (const Listing *listing, const char *service, const char *version)
{
  const MsgListedService *known = find_committed (listing, service);

  return (known && contains (known, version))
         || broker_streams_begin_soon (listing->broker, service, version);
}

typedef struct
{
  const char *service;
  MsgListedService listed; /* its strings are borrowed */
  MsgServerName versions[FT_LISTED_VERSIONS_MAX];
} Wanted;

typedef struct
{
  const Listing *listing;
  GHashTable *services; /* name -> Wanted */
} Collection;

static void
collect_version (const char *service, const char *version, int64_t age, void *data)
{
  const Collection *collection = data;
  GHashTable *services = collection->services;
  Wanted *wanted = g_hash_table_lookup (services, service);

  (void) age;
  if (!is_to_be_logged (collection->listing, service, version))
    return;
  if (wanted == NULL)
    {
      wanted = g_new0 (Wanted, 1);
      wanted->service = service;
      g_hash_table_insert (services, (char *) service, wanted);
    }
  /* More versions than fit are several all the same. */
  u_int *count = &wanted->listed.versions.versions_len;
  if (*count == FT_LISTED_VERSIONS_MAX)
    return;
  wanted->versions[(*count)++] = (char *) version;
  if (is_in_use (collection->listing, service, version))
    {
      wanted->versions[*count - 1] = wanted->versions[0];
      wanted->versions[0] = (char *) version;
    }
}

static bool
is_committed (const Listing *listing, const MsgListedService *wanted)
{
  const MsgListedService *known = find_committed (listing, wanted->service);

  if (known == NULL)
    return false;
  for (unsigned i = 0; i < wanted->versions.versions_len; i++)
    if (!contains (known, wanted->versions.versions_val[i]))
      return false;
  return known->versions.versions_len == wanted->versions.versions_len
         && strcmp (known->versions.versions_val[0], wanted->versions.versions_val[0]) == 0;
}

static void
propose (Listing *listing, const MsgListedService *listed, int64_t now)
{
  MsgOp op = { .kind = MSG_OP_LISTED };
  GString *names = g_string_new (NULL);

  for (unsigned i = 0; i < listed->versions.versions_len; i++)
    g_string_append_printf (names, "%s%s", i ? " " : "", listed->versions.versions_val[i]);
  jlog (JLOG_INFO, "versions-listed", NULL, JL_TEXT ("service", listed->service),
        JL_TEXT ("versions", names->str));
  g_string_free (names, TRUE);
  op.MsgOp_u.listed = *listed;
  listing->ticket = voter_propose_op (listing->voter, &op);
  listing->proposed_at = now;
}

/* Proposes the versions of one service that differ from the committed ones. */
static void
propose_change (Listing *listing, int64_t now)
{
  GHashTable *services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  Collection collection = { listing, services };
  GHashTableIter iter;
  gpointer value;

  origins_for_each_listed (listing->origins, collect_version, &collection);
  g_hash_table_iter_init (&iter, services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Wanted *wanted = value;
      wanted->listed.service = (char *) wanted->service;
      wanted->listed.versions.versions_val = wanted->versions;
      if (is_committed (listing, &wanted->listed))
        continue;
      propose (listing, &wanted->listed, now);
      break;
    }
  g_hash_table_unref (services);
}

void
listing_verdict (Listing *listing, uint64_t ticket)
{
  if (listing->ticket == ticket)
    listing->ticket = 0;
}

/* ---- The voter in charge ---- */

/* Takes over what the predecessor knew. The log has no ages, so all versions count as listed now.
 */
static void
take_over (Listing *listing)
{
  listing_committed (listing); /* a report of the newest change may still be queued */
  /* A full table may lack a service. */
  if (listing->table.index == 0 || listing->table.services.services_len >= FT_LISTED_SERVICES_MAX)
    return;
  for (unsigned i = 0; i < listing->table.services.services_len; i++)
    {
      const MsgListedService *listed = &listing->table.services.services_val[i];
      for (unsigned j = 0; j < listed->versions.versions_len; j++)
        {
          const char *version = listed->versions.versions_val[j];
          origins_note_listed (listing->origins, listed->service, version, 0);
          broker_settle_version (listing->broker, listed->service, version);
        }
    }
  origins_set_complete (listing->origins, loop_now (listing->loop));
  listing->taken_over = true;
}

static void
count_version (const char *service, const char *version, int64_t age, void *data)
{
  (void) service;
  (void) version;
  (void) age;
  ++*(unsigned *) data;
}

/* False: entries would be told a part of the versions. */
static bool
fits_message (const Listing *listing)
{
  unsigned count = 0;

  origins_for_each_listed (listing->origins, count_version, &count);
  return count <= MESH_LISTED_MAX;
}

void
listing_tick (Listing *listing)
{
  int64_t now = loop_now (listing->loop);
  VoterStatus status;

  voter_status (listing->voter, &status);
  if (!status.proved)
    {
      listing->taken_over = listing->complete = false;
      listing->ticket = 0;
      return;
    }
  bool all_know = all_voters_know (listing, &status);
  if (!listing->taken_over && all_know)
    take_over (listing);
  bool before = listing->complete;
  listing->complete = origins_is_complete (listing->origins) && fits_message (listing);
  if (!listing->complete)
    return;
  if (!before)
    listing->notified_at = -NOTIFY_INTERVAL;
  bool pending = listing->ticket && now - listing->proposed_at < PROPOSAL_TIMEOUT;
  if (!pending && all_know)
    propose_change (listing, now);
  notify_entries (listing, now);
}

/* ---- Interface ---- */

Listing *
listing_new (Loop *loop, Mesh *mesh, Voter *voter, Broker *broker, Origins *origins)
{
  Listing *listing = g_new0 (Listing, 1);

  listing->loop = loop;
  listing->mesh = mesh;
  listing->voter = voter;
  listing->broker = broker;
  listing->origins = origins;
  listing->broadcast = bcast_new ("listed versions", pack_for_entries, listing);
  return listing;
}

void
listing_free (Listing *listing)
{
  if (listing == NULL)
    return;
  bcast_free (listing->broadcast);
  codec_clear (CODEC (MsgListedTable), &listing->table);
  g_free (listing);
}

void
listing_up (Listing *listing, MeshPeer *peer)
{
  if (peer->knows_listed)
    bcast_link_up (listing->broadcast, peer, listing->complete);
}

void
listing_down (Listing *listing, const MeshPeer *peer)
{
  bcast_link_down (listing->broadcast, peer);
}
