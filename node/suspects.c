/* suspects.c - turns crash reports of entries into log entries, and publishes the crash table to
 * all entries. Its keys are those of contents and of parts of prompts (fingerprint.h).
 *
 * The voter in charge proposes each reported crash to the log. Once it is committed on a majority,
 * the reporting entry is acknowledged and stops resending it. Contents with two or more crashes
 * are published to all entries with each change, and whenever a link comes up, before the
 * catalogue without which an entry accepts no callers. So an instance that is new, was frozen or
 * was cut off knows them before it sends a request.
 *
 * Keys with one crash are not published (CRASHES_PUBLISH_MIN). Of more keys than a message holds,
 * those that the table would evict first are left out. One that is left out although it crashes
 * servers comes back with its next crash.
 */
#include "suspects.h"
#include "content.h"
#include "count.h"
#include "jlog.h"
#include "quarantine.h"
#include "bcast.h"

#include <string.h>

/* Pending proposals; an entry resends a report that was dropped because of this limit. */
#define PENDING_MAX 1024
/* A proposal gets no result if this voter stops being in charge. */
#define RESULT_TIMEOUT  (3 * FT_SECOND)
#define EXPIRY_INTERVAL (5 * FT_SECOND)
#define EXPIRED_MAX     64 /* keys forgotten in each */

/* A pending proposal. */
typedef struct
{
  uint64_t ticket;
  MsgOp op;
  uint64_t reporter, number; /* reporting entry's incarnation, and its number for the report */
  int64_t at;
} Proposal;

struct Suspects
{
  Loop *loop;
  Voter *voter;
  CrashTable *table; /* the committed crash table */
  Broadcast *broadcast;
  GPtrArray *proposals;
  GBytes *packed; /* the published message, with index 0 */
  int64_t expiry_at;
};

static void
proposal_free (void *data)
{
  Proposal *proposal = data;

  codec_clear (CODEC (MsgOp), &proposal->op);
  g_free (proposal);
}

static bool
is_in_charge (const Suspects *suspects)
{
  VoterStatus status;

  voter_status (suspects->voter, &status);
  return status.proved;
}

/* ---- Publishing to entries ---- */

G_STATIC_ASSERT (FT_SUSPECT_CRASHES_MAX <= MESH_CRASHES_MAX);

static void
fill_suspect (MeshSuspect *out, const MsgSuspect *from)
{
  out->content = from->content;
  out->ends = from->ends;
  out->servers.servers_len = from->latest.latest_len;
  out->servers.servers_val = g_new (u_int, from->latest.latest_len);
  for (unsigned i = 0; i < from->latest.latest_len; i++)
    out->servers.servers_val[i] = quar_server_digest (from->latest.latest_val[i].server);
}

static GBytes *
pack_table (const Suspects *suspects, uint64_t index)
{
  MeshMsg msg = { .kind = MESH_CRASH_TABLE };
  MeshCrashTable *blamed = &msg.MeshMsg_u.blamed;
  MsgCrashTable all;

  crashes_capture (suspects->table, CRASHES_PUBLISH_MIN, &all);
  unsigned count = MIN (all.suspects.suspects_len, MESH_SUSPECTS_MAX);
  blamed->index = index;
  blamed->suspects.suspects_val = g_new0 (MeshSuspect, MAX (count, 1));
  for (unsigned i = 0; i < count; i++)
    fill_suspect (&blamed->suspects.suspects_val[blamed->suspects.suspects_len++],
                  &all.suspects.suspects_val[i]);
  GBytes *packed = mesh_pack (&msg);
  for (unsigned i = 0; i < blamed->suspects.suspects_len; i++)
    g_free (blamed->suspects.suspects_val[i].servers.servers_val);
  g_free (blamed->suspects.suspects_val);
  g_free (all.suspects.suspects_val);
  return packed;
}

/* Packs the message for entries and marks it as changed if more than the index differs from the
 * last one. */
static void
update_packed (Suspects *suspects)
{
  GBytes *packed = pack_table (suspects, 0), *before = suspects->packed;
  bool changed = packed && (before == NULL || !g_bytes_equal (packed, before));

  if (changed)
    {
      bcast_changed (suspects->broadcast);
      suspects->packed = packed;
      packed = before;
    }
  if (packed)
    g_bytes_unref (packed);
}

static GBytes *
pack_for_entries (void *host)
{
  const Suspects *suspects = host;

  return pack_table (suspects, crashes_index (suspects->table));
}

static void
publish (Suspects *suspects)
{
  if (is_in_charge (suspects))
    bcast_send_all (suspects->broadcast);
}

/* ---- Committed changes ---- */

static void
log_suspect (const MsgSuspect *now, const MsgSuspect *before)
{
  const MsgServerCrash *last = &now->latest.latest_val[now->latest.latest_len - 1];
  bool quarantined
      = now->ends >= CRASHES_QUARANTINE && (before == NULL || before->ends < CRASHES_QUARANTINE);
  char content[CONTENT_ID_SIZE];

  if (now->latest.latest_len == 0 || (before && now->ends <= before->ends)
      || (fingerprint_is_part (now->content) && now->ends < CRASHES_PUBLISH_MIN))
    return;
  jlog (quarantined ? JLOG_WARN : JLOG_INFO, quarantined ? "quarantined" : "suspect", NULL,
        JL_TEXT ("content", content_format (now->content, content)), JL_INT ("ends", now->ends),
        JL_TEXT ("server", last->server), JL_INT ("since_ms", last->wall_ms - now->first_ms),
        JL_INT ("index", now->index));
}

static void
log_changes (const CrashTable *before, const CrashTable *now)
{
  MsgCrashTable all;
  char content[CONTENT_ID_SIZE];

  crashes_capture (now, 0, &all);
  for (unsigned i = 0; i < all.suspects.suspects_len; i++)
    log_suspect (&all.suspects.suspects_val[i],
                 crashes_find (before, all.suspects.suspects_val[i].content));
  g_free (all.suspects.suspects_val);
  crashes_capture (before, 0, &all);
  for (unsigned i = 0; i < all.suspects.suspects_len; i++)
    if (crashes_find (now, all.suspects.suspects_val[i].content) == NULL)
      jlog (JLOG_INFO, "suspect-cleared", NULL,
            JL_TEXT ("content", content_format (all.suspects.suspects_val[i].content, content)),
            JL_INT ("ends", all.suspects.suspects_val[i].ends));
  g_free (all.suspects.suspects_val);
}

void
suspects_committed (Suspects *suspects)
{
  GBytes *bytes = voter_crash_table (suspects->voter);
  MsgCrashTable captured = { 0 };
  CrashTable *table;
  gsize size;

  if (bytes == NULL)
    return;
  const void *data = g_bytes_get_data (bytes, &size);
  if (codec_unpack (CODEC (MsgCrashTable), data, size, &captured, NULL) != FT_OK)
    {
      jlog (JLOG_ERROR, "table-not-read", NULL, JL_TEXT ("table", "crash table"));
      codec_clear (CODEC (MsgCrashTable), &captured);
      g_bytes_unref (bytes);
      return;
    }
  table = crashes_new ();
  crashes_restore (table, &captured);
  codec_clear (CODEC (MsgCrashTable), &captured);
  g_bytes_unref (bytes);
  if (is_in_charge (suspects))
    log_changes (suspects->table, table);
  crashes_free (suspects->table);
  suspects->table = table;
  update_packed (suspects);
  publish (suspects);
}

/* ---- Proposals ---- */

/* Takes ownership of op. */
static uint64_t
propose (Suspects *suspects, MsgOp *op, uint64_t reporter, uint64_t number)
{
  Proposal *proposal = g_new0 (Proposal, 1);

  *proposal = (Proposal){
    .op = *op, .reporter = reporter, .number = number, .at = loop_now (suspects->loop)
  };
  proposal->ticket = voter_propose_op (suspects->voter, op);
  g_ptr_array_add (suspects->proposals, proposal);
  return proposal->ticket;
}

static void
acknowledge (const Suspects *suspects, uint64_t reporter, uint64_t number)
{
  MeshMsg msg = { .kind = MESH_CRASH_ACK };

  msg.MeshMsg_u.known.number = number;
  MeshPeer *peer = bcast_find (suspects->broadcast, reporter);
  if (peer)
    mesh_send (peer, &msg);
}

static bool
has_pending_report (const Suspects *suspects, uint64_t reporter, uint64_t number)
{
  for (unsigned i = 0; i < suspects->proposals->len; i++)
    {
      const Proposal *proposal = suspects->proposals->pdata[i];
      if (proposal->op.kind == MSG_OP_CRASH && proposal->reporter == reporter
          && proposal->number == number)
        return true;
    }
  return false;
}

static void
handle_crash (Suspects *suspects, const MeshPeer *peer, const MeshCrash *from)
{
  MsgOp op = { .kind = MSG_OP_CRASH };
  MsgCrash *ended = &op.MsgOp_u.ended;
  unsigned count = from->contents.contents_len;

  if (has_pending_report (suspects, peer->lifetime, from->number))
    return;
  ended->wall_ms = g_get_real_time () / 1000 - from->age_ms;
  ended->contents.contents_len = count;
  ended->contents.contents_val = calloc (MAX (count, 1), sizeof *from->contents.contents_val);
  memcpy (ended->contents.contents_val, from->contents.contents_val,
          count * sizeof *from->contents.contents_val);
  ended->server = strdup (from->server);
  if (crashes_is_recorded (suspects->table, ended))
    {
      acknowledge (suspects, peer->lifetime, from->number);
      codec_clear (CODEC (MsgOp), &op);
      return;
    }
  propose (suspects, &op, peer->lifetime, from->number);
}

static bool
has_pending_clear (const Suspects *suspects, uint64_t content)
{
  for (unsigned i = 0; i < suspects->proposals->len; i++)
    {
      const Proposal *proposal = suspects->proposals->pdata[i];
      const MsgCleared *cleared = &proposal->op.MsgOp_u.cleared;
      for (unsigned j = 0;
           proposal->op.kind == MSG_OP_CLEARED && j < cleared->contents.contents_len; j++)
        if (cleared->contents.contents_val[j] == content)
          return true;
    }
  return false;
}

static uint64_t
propose_clear (Suspects *suspects, uint64_t content)
{
  MsgOp op = { .kind = MSG_OP_CLEARED };
  MsgCleared *cleared = &op.MsgOp_u.cleared;

  cleared->contents.contents_len = 1;
  cleared->contents.contents_val = malloc (sizeof *cleared->contents.contents_val);
  cleared->contents.contents_val[0] = content;
  return propose (suspects, &op, 0, 0);
}

static void
handle_answered (Suspects *suspects, const MeshPeer *peer, const MeshAnswered *from)
{
  char text[CONTENT_ID_SIZE];

  for (unsigned i = 0; i < from->contents.contents_len; i++)
    {
      uint64_t content = from->contents.contents_val[i];
      if (crashes_find (suspects->table, content) == NULL || has_pending_clear (suspects, content))
        continue;
      jlog (JLOG_INFO, "answered-whole", NULL, JL_TEXT ("content", content_format (content, text)),
            JL_INT ("peer", peer->ip));
      propose_clear (suspects, content);
    }
}

static bool
has_pending_survival (const Suspects *suspects, const char *server)
{
  for (unsigned i = 0; i < suspects->proposals->len; i++)
    {
      const Proposal *proposal = suspects->proposals->pdata[i];
      if (proposal->op.kind == MSG_OP_CRASH_RETRACTED
          && strcmp (proposal->op.MsgOp_u.survived.server, server) == 0)
        return true;
    }
  return false;
}

static void
handle_survived (Suspects *suspects, const MeshPeer *peer, const MeshCrashRetracted *from)
{
  MsgOp op = { .kind = MSG_OP_CRASH_RETRACTED };

  if (has_pending_survival (suspects, from->server))
    return;
  jlog (JLOG_INFO, "server-survived", NULL, JL_TEXT ("server", from->server),
        JL_INT ("peer", peer->ip));
  op.MsgOp_u.survived.server = strdup (from->server);
  propose (suspects, &op, 0, 0);
}

void
suspects_verdict (Suspects *suspects, uint64_t ticket, FtStatus status)
{
  for (unsigned i = 0; i < suspects->proposals->len; i++)
    {
      const Proposal *proposal = suspects->proposals->pdata[i];
      if (proposal->ticket != ticket)
        continue;
      if (status == FT_OK && proposal->op.kind == MSG_OP_CRASH)
        acknowledge (suspects, proposal->reporter, proposal->number);
      g_ptr_array_remove_index (suspects->proposals, i);
      return;
    }
}

bool
suspects_message (Suspects *suspects, MeshPeer *peer, const MeshMsg *msg)
{
  bool handled
      = msg->kind == MESH_CRASH || msg->kind == MESH_ANSWERED || msg->kind == MESH_CRASH_RETRACTED;

  if (!handled || !is_in_charge (suspects) || suspects->proposals->len >= PENDING_MAX)
    return handled;
  if (msg->kind == MESH_CRASH)
    handle_crash (suspects, peer, &msg->MeshMsg_u.ended);
  else if (msg->kind == MESH_ANSWERED)
    handle_answered (suspects, peer, &msg->MeshMsg_u.answered);
  else
    handle_survived (suspects, peer, &msg->MeshMsg_u.survived);
  return true;
}

/* ---- Links ---- */

void
suspects_up (Suspects *suspects, MeshPeer *peer)
{
  bcast_link_up (suspects->broadcast, peer, crashes_index (suspects->table) > 0);
}

void
suspects_down (Suspects *suspects, const MeshPeer *peer)
{
  bcast_link_down (suspects->broadcast, peer);
}

/* Forgets parts whose latest crash was long ago. */
static void
expire_parts (Suspects *suspects)
{
  uint64_t keys[EXPIRED_MAX];
  char text[CONTENT_ID_SIZE];
  unsigned count;

  suspects->expiry_at = loop_now (suspects->loop) + EXPIRY_INTERVAL;
  count = crashes_expired (suspects->table, g_get_real_time () / 1000, keys, EXPIRED_MAX);
  for (unsigned i = 0; i < count && suspects->proposals->len < PENDING_MAX; i++)
    {
      if (has_pending_clear (suspects, keys[i]))
        continue;
      jlog (JLOG_INFO, "suspect-expired", NULL,
            JL_TEXT ("content", content_format (keys[i], text)));
      propose_clear (suspects, keys[i]);
    }
}

void
suspects_tick (Suspects *suspects)
{
  int64_t since = loop_now (suspects->loop) - RESULT_TIMEOUT;

  if (loop_now (suspects->loop) >= suspects->expiry_at && is_in_charge (suspects))
    expire_parts (suspects);

  while (suspects->proposals->len > 0
         && ((const Proposal *) suspects->proposals->pdata[0])->at < since)
    g_ptr_array_remove_index (suspects->proposals, 0);
  publish (suspects);
}

/* ---- Operators ---- */

uint64_t
suspects_release (Suspects *suspects, uint64_t content)
{
  char text[CONTENT_ID_SIZE];

  if (crashes_find (suspects->table, content) == NULL)
    return 0;
  jlog (JLOG_WARN, "released", NULL, JL_TEXT ("content", content_format (content, text)));
  return propose_clear (suspects, content);
}

char *
suspects_list (const Suspects *suspects)
{
  GString *out = g_string_new ("{\"suspects\":");

  crashes_append_json (suspects->table, g_get_real_time () / 1000, out);
  g_string_append (out, "}\n");
  return g_string_free (out, FALSE);
}

void
suspects_describe (const Suspects *suspects, GString *out)
{
  unsigned quarantined, all = crashes_count (suspects->table, &quarantined);

  g_string_append_printf (out, "foxtail_suspects %u\nfoxtail_quarantined %u\n", all, quarantined);
}

/* ---- Construction ---- */

Suspects *
suspects_new (Loop *loop, Voter *voter)
{
  Suspects *suspects = g_new0 (Suspects, 1);

  suspects->loop = loop;
  suspects->voter = voter;
  suspects->table = crashes_new ();
  suspects->broadcast = bcast_new ("crash table", pack_for_entries, suspects);
  suspects->proposals = g_ptr_array_new_with_free_func (proposal_free);
  update_packed (suspects);
  return suspects;
}

void
suspects_free (Suspects *suspects)
{
  if (suspects == NULL)
    return;
  bcast_free (suspects->broadcast);
  g_ptr_array_unref (suspects->proposals);
  if (suspects->packed)
    g_bytes_unref (suspects->packed);
  crashes_free (suspects->table);
  g_free (suspects);
}
