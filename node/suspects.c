/* suspects.c - from what entries saw to what all entries know.
 *
 * The voter in charge proposes each end to the log; once it is committed on a majority the entry
 * that saw it is told so, and stops telling it. Contents with two ends or more are told to all
 * entries with each change, and whenever a link comes up, before the catalogue that lets an entry
 * take callers. So an instance that is new, was frozen or cut off knows them before it sends.
 *
 * A content with one end is told to nobody (BLAME_TOLD).
 */
#include "suspects.h"
#include "content.h"
#include "count.h"
#include "jlog.h"
#include "quarantine.h"
#include "bcast.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define TOLD_LEAST   2    /* ends: the next one may be the last that it takes */
#define PENDING_MOST 1024 /* proposals under way; entries tell again what finds no room */
#define VERDICT_MOST (3 * FT_SECOND) /* a proposal that was lost with a charge has no verdict */

/* A proposal under way. */
typedef struct
{
  uint64_t ticket;
  MsgOp op;
  uint64_t asker, number; /* lifetime of the entry whose report it is, and its number there */
  int64_t at;
} Proposal;

struct Suspects
{
  Loop *loop;
  Voter *voter;
  Blame *account; /* as committed */
  Broadcast *tell;
  GPtrArray *proposals;
  GBytes *packed; /* the account's message, but for its index */
};

static void
proposal_free (void *data)
{
  Proposal *proposal = data;

  codec_clear (CODEC (MsgOp), &proposal->op);
  g_free (proposal);
}

static bool
in_charge (const Suspects *suspects)
{
  VoterStatus status;

  voter_status (suspects->voter, &status);
  return status.proved;
}

/* ---- Telling entries ---- */

static void
put_suspect (MeshSuspect *out, const MsgSuspect *from)
{
  out->content = from->content;
  out->ends = from->ends;
  out->servers.servers_len = from->latest.latest_len;
  out->servers.servers_val = g_new (u_int, from->latest.latest_len);
  for (unsigned i = 0; i < from->latest.latest_len; i++)
    out->servers.servers_val[i] = quar_server_digest (from->latest.latest_val[i].server);
}

static GBytes *
pack_account (const Suspects *suspects, uint64_t index)
{
  MeshMsg msg = { .kind = MESH_BLAMED };
  MeshBlamed *blamed = &msg.MeshMsg_u.blamed;
  MsgBlame all;

  blame_capture (suspects->account, BLAME_TOLD, &all);
  blamed->index = index;
  blamed->suspects.suspects_val = g_new0 (MeshSuspect, all.suspects.suspects_len);
  for (unsigned i = 0; i < all.suspects.suspects_len; i++)
    put_suspect (&blamed->suspects.suspects_val[blamed->suspects.suspects_len++],
                 &all.suspects.suspects_val[i]);
  GBytes *packed = mesh_pack (&msg);
  for (unsigned i = 0; i < blamed->suspects.suspects_len; i++)
    g_free (blamed->suspects.suspects_val[i].servers.servers_val);
  g_free (blamed->suspects.suspects_val);
  g_free (all.suspects.suspects_val);
  return packed;
}

/* Packs what entries are told, and notes whether that has changed but for the index. */
static void
note_account (Suspects *suspects)
{
  GBytes *plain = pack_account (suspects, 0), *before = suspects->packed;
  bool changed = before == NULL || !g_bytes_equal (plain, before);

  if (changed)
    {
      bcast_changed (suspects->tell);
      suspects->packed = plain;
      plain = before;
    }
  if (plain)
    g_bytes_unref (plain);
}

static GBytes *
pack_newest (void *host)
{
  const Suspects *suspects = host;

  return pack_account (suspects, blame_index (suspects->account));
}

static void
tell_entries (Suspects *suspects)
{
  if (in_charge (suspects))
    bcast_send_all (suspects->tell);
}

/* ---- What the log says ---- */

static void
log_suspect (const MsgSuspect *now, const MsgSuspect *before)
{
  const MsgServerEnd *last = &now->latest.latest_val[now->latest.latest_len - 1];
  bool held = now->ends >= BLAME_ENDS && (before == NULL || before->ends < BLAME_ENDS);
  char content[CONTENT_ID_SIZE];

  if (now->latest.latest_len == 0 || (before && now->ends <= before->ends))
    return;
  jlog (held ? JLOG_WARN : JLOG_INFO, held ? "quarantined" : "suspect", NULL,
        JL_TEXT ("content", content_format (now->content, content)), JL_INT ("ends", now->ends),
        JL_TEXT ("server", last->server), JL_INT ("since_ms", last->wall_ms - now->first_ms),
        JL_INT ("index", now->index));
}

static void
log_changes (const Blame *before, const Blame *now)
{
  MsgBlame all;
  char content[CONTENT_ID_SIZE];

  blame_capture (now, 0, &all);
  for (unsigned i = 0; i < all.suspects.suspects_len; i++)
    log_suspect (&all.suspects.suspects_val[i],
                 blame_find (before, all.suspects.suspects_val[i].content));
  g_free (all.suspects.suspects_val);
  blame_capture (before, 0, &all);
  for (unsigned i = 0; i < all.suspects.suspects_len; i++)
    if (blame_find (now, all.suspects.suspects_val[i].content) == NULL)
      jlog (JLOG_INFO, "suspect-cleared", NULL,
            JL_TEXT ("content", content_format (all.suspects.suspects_val[i].content, content)),
            JL_INT ("ends", all.suspects.suspects_val[i].ends));
  g_free (all.suspects.suspects_val);
}

void
suspects_committed (Suspects *suspects)
{
  GBytes *bytes = voter_crash_table (suspects->voter);
  MsgBlame captured = { 0 };
  Blame *account;
  gsize size;

  if (bytes == NULL)
    return;
  const void *data = g_bytes_get_data (bytes, &size);
  if (codec_unpack (CODEC (MsgBlame), data, size, &captured, NULL) != FT_OK)
    g_error ("the account of ended servers, packed here, cannot be unpacked");
  account = blame_new ();
  blame_restore (account, &captured);
  codec_clear (CODEC (MsgBlame), &captured);
  g_bytes_unref (bytes);
  if (in_charge (suspects))
    log_changes (suspects->account, account);
  blame_free (suspects->account);
  suspects->account = account;
  note_account (suspects);
  tell_entries (suspects);
}

/* ---- Proposals ---- */

/* Takes op over. */
static uint64_t
propose (Suspects *suspects, MsgOp *op, uint64_t asker, uint64_t number)
{
  Proposal *proposal = g_new0 (Proposal, 1);

  *proposal
      = (Proposal){ .op = *op, .asker = asker, .number = number, .at = loop_now (suspects->loop) };
  proposal->ticket = voter_propose_op (suspects->voter, op);
  g_ptr_array_add (suspects->proposals, proposal);
  return proposal->ticket;
}

static void
acknowledge (const Suspects *suspects, uint64_t asker, uint64_t number)
{
  MeshMsg msg = { .kind = MESH_ENDED_KNOWN };

  msg.MeshMsg_u.known.number = number;
  MeshPeer *peer = bcast_find (suspects->tell, asker);
  if (peer)
    mesh_send (peer, &msg);
}

static bool
is_proposed (const Suspects *suspects, uint64_t asker, uint64_t number)
{
  for (unsigned i = 0; i < suspects->proposals->len; i++)
    {
      const Proposal *proposal = suspects->proposals->pdata[i];
      if (proposal->op.kind == MSG_OP_ENDED && proposal->asker == asker
          && proposal->number == number)
        return true;
    }
  return false;
}

static void
take_ended (Suspects *suspects, const MeshPeer *peer, const MeshEnded *from)
{
  MsgOp op = { .kind = MSG_OP_ENDED };
  MsgEnded *ended = &op.MsgOp_u.ended;
  unsigned count = from->contents.contents_len;

  if (is_proposed (suspects, peer->lifetime, from->number))
    return;
  ended->wall_ms = g_get_real_time () / 1000 - from->age_ms;
  ended->contents.contents_len = count;
  ended->contents.contents_val = calloc (MAX (count, 1), sizeof *from->contents.contents_val);
  memcpy (ended->contents.contents_val, from->contents.contents_val,
          count * sizeof *from->contents.contents_val);
  ended->server = strdup (from->server);
  if (blame_knows (suspects->account, ended))
    {
      acknowledge (suspects, peer->lifetime, from->number);
      codec_clear (CODEC (MsgOp), &op);
      return;
    }
  propose (suspects, &op, peer->lifetime, from->number);
}

static bool
is_being_cleared (const Suspects *suspects, uint64_t content)
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
clear (Suspects *suspects, uint64_t content)
{
  MsgOp op = { .kind = MSG_OP_CLEARED };
  MsgCleared *cleared = &op.MsgOp_u.cleared;

  cleared->contents.contents_len = 1;
  cleared->contents.contents_val = malloc (sizeof *cleared->contents.contents_val);
  cleared->contents.contents_val[0] = content;
  return propose (suspects, &op, 0, 0);
}

static void
take_answered (Suspects *suspects, const MeshPeer *peer, const MeshAnswered *from)
{
  char text[CONTENT_ID_SIZE];

  for (unsigned i = 0; i < from->contents.contents_len; i++)
    {
      uint64_t content = from->contents.contents_val[i];
      if (blame_find (suspects->account, content) == NULL || is_being_cleared (suspects, content))
        continue;
      jlog (JLOG_INFO, "answered-whole", NULL, JL_TEXT ("content", content_format (content, text)),
            JL_INT ("peer", peer->ip));
      clear (suspects, content);
    }
}

static bool
is_being_struck (const Suspects *suspects, const char *server)
{
  for (unsigned i = 0; i < suspects->proposals->len; i++)
    {
      const Proposal *proposal = suspects->proposals->pdata[i];
      if (proposal->op.kind == MSG_OP_SURVIVED
          && strcmp (proposal->op.MsgOp_u.survived.server, server) == 0)
        return true;
    }
  return false;
}

static void
take_survived (Suspects *suspects, const MeshPeer *peer, const MeshSurvived *from)
{
  MsgOp op = { .kind = MSG_OP_SURVIVED };

  if (is_being_struck (suspects, from->server))
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
      if (status == FT_OK && proposal->op.kind == MSG_OP_ENDED)
        acknowledge (suspects, proposal->asker, proposal->number);
      g_ptr_array_remove_index (suspects->proposals, i);
      return;
    }
}

bool
suspects_message (Suspects *suspects, MeshPeer *peer, const MeshMsg *msg)
{
  bool ours = msg->kind == MESH_ENDED || msg->kind == MESH_ANSWERED || msg->kind == MESH_SURVIVED;

  if (!ours || !in_charge (suspects) || suspects->proposals->len >= PENDING_MOST)
    return ours;
  if (msg->kind == MESH_ENDED)
    take_ended (suspects, peer, &msg->MeshMsg_u.ended);
  else if (msg->kind == MESH_ANSWERED)
    take_answered (suspects, peer, &msg->MeshMsg_u.answered);
  else
    take_survived (suspects, peer, &msg->MeshMsg_u.survived);
  return true;
}

/* ---- Links ---- */

void
suspects_up (Suspects *suspects, MeshPeer *peer)
{
  bcast_link_up (suspects->tell, peer, blame_index (suspects->account) > 0);
}

void
suspects_down (Suspects *suspects, const MeshPeer *peer)
{
  bcast_link_down (suspects->tell, peer);
}

void
suspects_tick (Suspects *suspects)
{
  int64_t since = loop_now (suspects->loop) - VERDICT_MOST;

  while (suspects->proposals->len > 0
         && ((const Proposal *) suspects->proposals->pdata[0])->at < since)
    g_ptr_array_remove_index (suspects->proposals, 0);
  tell_entries (suspects);
}

/* ---- Operators ---- */

uint64_t
suspects_release (Suspects *suspects, uint64_t content)
{
  char text[CONTENT_ID_SIZE];

  if (blame_find (suspects->account, content) == NULL)
    return 0;
  jlog (JLOG_WARN, "released", NULL, JL_TEXT ("content", content_format (content, text)));
  return clear (suspects, content);
}

char *
suspects_list (const Suspects *suspects)
{
  GString *out = g_string_new ("{\"suspects\":");

  blame_list (suspects->account, g_get_real_time () / 1000, out);
  g_string_append (out, "}\n");
  return g_string_free (out, FALSE);
}

void
suspects_describe (const Suspects *suspects, GString *out)
{
  unsigned held, all = blame_count (suspects->account, &held);

  g_string_append_printf (out, "foxtail_suspects %u\nfoxtail_quarantined %u\n", all, held);
}

/* ---- The module ---- */

Suspects *
suspects_new (Loop *loop, Voter *voter)
{
  Suspects *suspects = g_new0 (Suspects, 1);

  suspects->loop = loop;
  suspects->voter = voter;
  suspects->account = blame_new ();
  suspects->tell = bcast_new (pack_newest, suspects);
  suspects->proposals = g_ptr_array_new_with_free_func (proposal_free);
  note_account (suspects);
  return suspects;
}

void
suspects_free (Suspects *suspects)
{
  if (suspects == NULL)
    return;
  bcast_free (suspects->tell);
  g_ptr_array_unref (suspects->proposals);
  g_bytes_unref (suspects->packed);
  blame_free (suspects->account);
  g_free (suspects);
}
