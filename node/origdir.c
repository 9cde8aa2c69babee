/* origdir.c - records which servers began a stream at the entry and at voters, and finds it again.
 *
 * A caller comes back because its entry is gone or its connection was reset, so what the entry
 * alone knows is of no use. Each record is sent to HOLDERS voters before the first event leaves for
 * the caller. Which ones follows from the stream, so that the load is spread; a caller that comes
 * back is rare, and all voters are asked. A record that was made while a voter was not linked is
 * sent when its link comes up, as are all others, since the voter may have started anew.
 *
 * A record is never replaced by another version, so the first instance that knows the stream is
 * right. That nobody knows it is believed once at least DENIALS instances have said so.
 */
#include "origdir.h"

#include <string.h>

#define HOLDERS 3 /* the entry and two voters may be lost at once */
#define DENIALS 2 /* one instance may have started after the record was made */
#define DENIAL_GRACE                                                                               \
  (100 * FT_MS) /* until links that were lost together are up again, or fewer instances exist */

struct OriginDir
{
  Loop *loop;
  Mesh *mesh;
  Origins *origins;
  struct cds_list_head lookups; /* OriginLookup */
};

OriginDir *
origdir_new (Loop *loop, Mesh *mesh, unsigned max)
{
  OriginDir *dir = g_new0 (OriginDir, 1);

  dir->loop = loop;
  dir->mesh = mesh;
  dir->origins = origins_new (loop_clock (loop), max);
  CDS_INIT_LIST_HEAD (&dir->lookups);
  return dir;
}

void
origdir_free (OriginDir *dir)
{
  OriginLookup *lookup, *next;

  if (dir == NULL)
    return;
  cds_list_for_each_entry_safe (lookup, next, &dir->lookups, link) origdir_cancel (lookup);
  origins_free (dir->origins);
  g_free (dir);
}

void
origdir_note_list (OriginDir *dir, const Servers *servers)
{
  for (unsigned i = 0; i < servers_count (servers); i++)
    {
      const AdapterServer *server = servers_at (servers, i);
      origins_note_listed (dir->origins, server->service, server->version ? server->version : "",
                           0);
    }
  origins_note_list (dir->origins, servers_asked_at (servers));
}

Origins *
origdir_origins (OriginDir *dir)
{
  return dir->origins;
}

static void
apply_listed (OriginDir *dir, const MeshListed *from, int64_t at)
{
  int64_t since = loop_now (dir->loop) - at;

  for (unsigned i = 0; i < from->versions.versions_len; i++)
    {
      const MeshListedVersion *version = &from->versions.versions_val[i];
      origins_note_listed (dir->origins, version->service, version->software,
                           since + version->age_ms * FT_MS);
    }
  origins_set_complete (dir->origins, at);
}

bool
origdir_knows_versions (const OriginDir *dir)
{
  return origins_is_complete (dir->origins);
}

const char *
origdir_only_version (OriginDir *dir, const char *service)
{
  return origins_only_version (dir->origins, service, loop_read_clock (dir->loop));
}

/* ---- Records ---- */

static MeshOrigin
message_of (const OriginDir *dir, const Origin *origin)
{
  int64_t left = MAX (0, origin->until - loop_now (dir->loop));

  return (MeshOrigin){ .stream = origin->stream,
                       .service = (char *) origin->service,
                       .software = (char *) origin->version,
                       .left_ms = (u_int) (left / FT_MS) };
}

static bool
is_holder (const MeshPeer *peer)
{
  return peer->dialled && peer->role == MESH_VOTER && peer->knows_origins;
}

typedef struct
{
  uint64_t stream;
  MeshPeer *peers[HOLDERS];
  uint64_t ranks[HOLDERS];
  unsigned count;
} Holders;

/* Keeps the peers of the highest ranks; the lowest one is last. */
static void
consider_holder (MeshPeer *peer, void *data)
{
  Holders *holders = data;
  uint64_t rank = (holders->stream ^ peer->ip) * 0x9e3779b97f4a7c15u;
  unsigned at = holders->count;

  if (!is_holder (peer))
    return;
  while (at > 0 && holders->ranks[at - 1] < rank)
    at--;
  if (at == HOLDERS)
    return;
  for (unsigned i = MIN (holders->count, HOLDERS - 1); i > at; i--)
    {
      holders->peers[i] = holders->peers[i - 1];
      holders->ranks[i] = holders->ranks[i - 1];
    }
  holders->peers[at] = peer;
  holders->ranks[at] = rank;
  holders->count = MIN (holders->count + 1, HOLDERS);
}

void
origdir_record (OriginDir *dir, const Origin *origin)
{
  Holders holders = { .stream = origin->stream };
  MeshOrigin record = message_of (dir, origin);
  MeshMsg msg = { .kind = MESH_ORIGINS };

  origins_record (dir->origins, origin);
  msg.MeshMsg_u.origins.streams.streams_val = &record;
  msg.MeshMsg_u.origins.streams.streams_len = 1;
  mesh_for_each_peer (dir->mesh, consider_holder, &holders);
  for (unsigned i = 0; i < holders.count; i++)
    mesh_send (holders.peers[i], &msg);
}

const Origin *
origdir_find (OriginDir *dir, uint64_t stream)
{
  return origins_find (dir->origins, stream);
}

static void
apply_record (OriginDir *dir, const MeshOrigin *from)
{
  Origin origin = { .stream = from->stream,
                    .service = from->service,
                    .version = from->software,
                    .until = loop_now (dir->loop) + from->left_ms * FT_MS };

  origins_record (dir->origins, &origin);
}

/* ---- Sending all records on a new link ---- */

typedef struct
{
  const OriginDir *dir;
  MeshPeer *peer;
  MeshOrigin records[MESH_ORIGINS_MAX];
  unsigned count;
} Batch;

static void
flush_batch (Batch *batch)
{
  MeshMsg msg = { .kind = MESH_ORIGINS };

  msg.MeshMsg_u.origins.streams.streams_val = batch->records;
  msg.MeshMsg_u.origins.streams.streams_len = batch->count;
  if (batch->count > 0)
    mesh_send (batch->peer, &msg);
  batch->count = 0;
}

static void
add_to_batch (const Origin *origin, void *data)
{
  Batch *batch = data;

  batch->records[batch->count++] = message_of (batch->dir, origin);
  if (batch->count == MESH_ORIGINS_MAX)
    flush_batch (batch);
}

/* ---- Asking others ---- */

static void
end_lookup (OriginLookup *lookup, const Origin *origin)
{
  origdir_cancel (lookup);
  lookup->done (lookup, origin);
}

static void
on_lookup_timer (LoopTimer *timer)
{
  end_lookup ((OriginLookup *) ((char *) timer - offsetof (OriginLookup, timer)), NULL);
}

/* Everyone who was asked has answered or is gone. */
static void
check_lookup (OriginLookup *lookup)
{
  Loop *loop = lookup->dir->loop;
  int64_t now = loop_now (loop);

  if (lookup->asked_count > 0)
    return;
  if (lookup->denied_count >= DENIALS)
    lookup->until = now;
  else if (lookup->denied_count > 0)
    lookup->until = MIN (lookup->until, now + DENIAL_GRACE);
  loop_timer_set (loop, &lookup->timer, lookup->until);
}

static void
ask_peer (MeshPeer *peer, void *data)
{
  OriginLookup *lookup = data;
  MeshMsg msg = { .kind = MESH_ORIGIN_ASK };

  if (!peer->dialled || !peer->knows_origins || lookup->asked_count == ORIGDIR_ASKED_MAX)
    return;
  msg.MeshMsg_u.origin_ask.stream = lookup->stream;
  if (mesh_send (peer, &msg))
    {
      lookup->asked[lookup->asked_count++] = peer;
      lookup->sent_count++;
    }
}

unsigned
origdir_ask (OriginDir *dir, OriginLookup *lookup, uint64_t stream, int64_t wait_us,
             void (*done) (OriginLookup *lookup, const Origin *origin))
{
  lookup->dir = dir;
  lookup->stream = stream;
  lookup->asked_count = lookup->denied_count = lookup->sent_count = 0;
  lookup->done = done;
  lookup->until = loop_now (dir->loop) + wait_us;
  lookup->timer.fire = on_lookup_timer;
  cds_list_add_tail (&lookup->link, &dir->lookups);
  loop_timer_set (dir->loop, &lookup->timer, lookup->until);
  mesh_for_each_peer (dir->mesh, ask_peer, lookup);
  return lookup->asked_count;
}

void
origdir_cancel (OriginLookup *lookup)
{
  if (lookup->dir == NULL)
    return;
  loop_timer_stop (lookup->dir->loop, &lookup->timer);
  cds_list_del (&lookup->link);
  lookup->dir = NULL;
}

/* True if the peer had been asked and had not answered. */
static bool
forget_asked (OriginLookup *lookup, const MeshPeer *peer)
{
  for (unsigned i = 0; i < lookup->asked_count; i++)
    if (lookup->asked[i] == peer)
      {
        lookup->asked[i] = lookup->asked[--lookup->asked_count];
        return true;
      }
  return false;
}

static void
handle_reply (OriginDir *dir, const MeshPeer *peer, const MeshOrigin *from)
{
  OriginLookup *lookup, *next;
  Origin origin = { .stream = from->stream,
                    .service = from->service,
                    .version = from->software,
                    .until = loop_now (dir->loop) + from->left_ms * FT_MS };

  cds_list_for_each_entry_safe (lookup, next, &dir->lookups, link)
  {
    if (lookup->stream != from->stream)
      continue;
    if (*from->service)
      end_lookup (lookup, &origin);
    else if (forget_asked (lookup, peer))
      {
        lookup->denied_count++;
        check_lookup (lookup);
      }
  }
}

static void
handle_ask (OriginDir *dir, MeshPeer *peer, uint64_t stream)
{
  static char none[] = "";
  const Origin *origin = origins_find (dir->origins, stream);
  MeshMsg msg = { .kind = MESH_ORIGIN_REPLY };

  msg.MeshMsg_u.origin_reply.origin
      = origin ? message_of (dir, origin)
               : (MeshOrigin){ .stream = stream, .service = none, .software = none };
  mesh_send (peer, &msg);
}

/* ---- Other instances ---- */

void
origdir_link_up (OriginDir *dir, MeshPeer *peer)
{
  OriginLookup *lookup, *next;
  Batch batch = { .dir = dir, .peer = peer };

  if (is_holder (peer))
    {
      origins_for_each (dir->origins, add_to_batch, &batch);
      flush_batch (&batch);
    }
  cds_list_for_each_entry_safe (lookup, next, &dir->lookups, link) ask_peer (peer, lookup);
}

void
origdir_link_down (OriginDir *dir, const MeshPeer *peer)
{
  OriginLookup *lookup, *next;

  cds_list_for_each_entry_safe (lookup, next, &dir->lookups, link)
  {
    if (forget_asked (lookup, peer))
      check_lookup (lookup);
  }
}

bool
origdir_message (OriginDir *dir, MeshPeer *peer, const MeshMsg *msg)
{
  const MeshOrigins *records = &msg->MeshMsg_u.origins;

  switch (msg->kind)
    {
    case MESH_ORIGINS:
      for (unsigned i = 0; i < records->streams.streams_len; i++)
        apply_record (dir, &records->streams.streams_val[i]);
      return true;
    case MESH_ORIGIN_ASK:
      handle_ask (dir, peer, msg->MeshMsg_u.origin_ask.stream);
      return true;
    case MESH_LISTED:
      if (peer->dialled && peer->role == MESH_VOTER)
        apply_listed (dir, &msg->MeshMsg_u.listed, mesh_arrived_at (peer));
      return true;
    case MESH_ORIGIN_REPLY:
      handle_reply (dir, peer, &msg->MeshMsg_u.origin_reply.origin);
      return true;
    default:
      return false;
    }
}

void
origdir_describe (const OriginDir *dir, GString *out)
{
  g_string_append_printf (out, "foxtail_stream_origins %u\nfoxtail_versions_known %d\n",
                          origins_count (dir->origins), origins_is_complete (dir->origins));
}
