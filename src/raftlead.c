/* raftlead.c - the leader: replicating entries, advancing the commit index, and stepping down when
 * a majority no longer acknowledges it. */
#include "raftint.h"

#include <string.h>

/* Tuning. */
#define HEARTBEAT_INTERVAL                                                                         \
  (100 * FT_MS) /* six in the shortest election timeout, of which five may be lost */
#define QUORUM_TIMEOUT     (1500 * FT_MS) /* without a majority for so long, a leader steps down */
#define MAX_APPEND_ENTRIES 256            /* bound in msg.x */
#define MAX_APPEND_BYTES   (1u << 20)     /* a larger message would delay heartbeats */
#define MAX_UNANSWERED     (8u << 20)     /* bytes; then only heartbeats follow until a reply */

static void
send_snapshot (Raft *raft, Peer *peer)
{
  Msg msg = { .kind = MSG_SNAPSHOT };
  MsgSnapshot *out = &msg.Msg_u.snapshot;
  GByteArray *state = state_capture (raft->state);

  if (state == NULL)
    return;
  out->term = raft->term;
  out->round = raft->round;
  out->index = raft->applied;
  out->index_term = rlog_term (&raft->log, raft->applied);
  out->state.state_len = state->len;
  out->state.state_val = (char *) state->data;
  raft_queue_before_sync (raft, peer->id, &msg);
  peer->unanswered_bytes += state->len;
  g_byte_array_unref (state);
  peer->next = raft->applied + 1;
}

static void
send_append (Raft *raft, Peer *peer)
{
  Msg msg = { .kind = MSG_APPEND };
  MsgAppend *out = &msg.Msg_u.append;
  MsgEntry entries[MAX_APPEND_ENTRIES];
  unsigned count = 0;
  size_t bytes = 0;
  bool may_send = peer->unanswered_bytes < MAX_UNANSWERED;
  if (may_send && peer->next <= raft->log.base)
    {
      send_snapshot (raft, peer);
      return;
    }
  out->term = raft->term;
  out->round = raft->round;
  out->prev_index = MAX (peer->next - 1, raft->log.base);
  out->prev_term = rlog_term (&raft->log, out->prev_index);
  out->commit = raft->commit;
  for (uint64_t i = peer->next;
       may_send && i <= rlog_last (&raft->log) && count < MAX_APPEND_ENTRIES; i++)
    {
      const MsgEntry *entry = rlog_entry (&raft->log, i);
      if (count > 0 && bytes + entry->op.op_len > MAX_APPEND_BYTES)
        break;
      entries[count++] = *entry;
      bytes += entry->op.op_len;
    }
  out->entries.entries_len = count;
  out->entries.entries_val = entries;
  raft_queue_before_sync (raft, peer->id, &msg);
  peer->unanswered_bytes += bytes;
  peer->next += count; /* reset if the peer replies that it lacks earlier entries */
}

void
raftlead_broadcast (Raft *raft, int64_t now)
{
  raft->round++;
  raft->round_sent[raft->round % ROUND_HISTORY] = now;
  raft->send_pending = false;
  raft->heartbeat_due = now + HEARTBEAT_INTERVAL;
  for (unsigned i = 0; i < raft->peer_count; i++)
    send_append (raft, &raft->peers[i]);
}

static int
compare_u64 (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *) a, y = *(const uint64_t *) b;

  return (x > y) - (x < y);
}

/* The largest value that a majority of the voter set has reached: own_value for this voter,
 * peer_value() for the others. */
static uint64_t
majority_value (Raft *raft, uint64_t own_value, uint64_t (*peer_value) (const Peer *))
{
  const RlogConfig *config = rlog_config (&raft->log);
  uint64_t values[FT_VOTERS_MAX] = { 0 };

  if (config->count == 0)
    return 0;
  for (unsigned i = 0; i < config->count; i++)
    {
      const MsgVoter *voter = &config->voters[i];
      const Peer *peer = raftset_find_peer (raft, voter->id);
      if (voter->id == raft->conf.self)
        values[i] = voter->incarnation == raft->incarnation ? own_value : 0;
      else if (peer && peer->incarnation == voter->incarnation)
        values[i] = peer_value (peer);
    }
  qsort (values, config->count, sizeof values[0], compare_u64);
  return values[config->count - raft_majority (config)];
}

static uint64_t
peer_match (const Peer *peer)
{
  return peer->match;
}

static uint64_t
peer_acked (const Peer *peer)
{
  return (uint64_t) peer->acked_sent_at;
}

void
raftlead_advance_commit (Raft *raft)
{
  if (raft->role != ROLE_LEADER)
    return;
  uint64_t index = majority_value (raft, raft->synced, peer_match);
  /* Only entries of the current term are committed by counting copies (Raft, figure 8). */
  if (index > raft->commit && rlog_term (&raft->log, index) == raft->term)
    raft->commit = index;
  raft_apply_committed (raft);
}

void
raftlead_become_leader (Raft *raft, int64_t now)
{
  MsgOp noop = { .kind = MSG_OP_NOOP };

  raft->role = ROLE_LEADER;
  raft->leader = raft->conf.self;
  raft->leader_since = now;
  raft->last_led_term = raft->term;
  for (unsigned i = 0; i < raft->peer_count; i++)
    {
      raft->peers[i].next = rlog_last (&raft->log) + 1;
      raft->peers[i].match = 0;
      raft->peers[i].unanswered_bytes = 0;
      raft->peers[i].acked_sent_at = now; /* assumed, since a majority has just voted */
    }
  raft_append_op (raft, raft->term, &noop);
  raft->term_start = rlog_last (&raft->log);
}

void
raftlead_on_append_reply (Raft *raft, Peer *peer, const MsgAppendReply *appended, int64_t now)
{
  if (appended->term > raft->term)
    {
      raft_become_follower (raft, appended->term, 0, now);
      return;
    }
  if (raft->role != ROLE_LEADER || appended->term != raft->term)
    return;
  peer->unanswered_bytes = 0;
  if (peer->incarnation != appended->incarnation)
    {
      peer->incarnation = appended->incarnation;
      peer->match = 0;
    }
  if (appended->round <= raft->round && raft->round - appended->round < ROUND_HISTORY)
    {
      int64_t sent = raft->round_sent[appended->round % ROUND_HISTORY];
      peer->acked_sent_at = MAX (peer->acked_sent_at, sent);
      raft_recent_max_add (&raft->reply_times, now - sent, now);
    }
  if (appended->ok)
    {
      peer->match = MAX (peer->match, appended->match);
      peer->next = MAX (peer->next, peer->match + 1);
      if (peer->next <= rlog_last (&raft->log))
        send_append (raft, peer);
      raftlead_advance_commit (raft);
      return;
    }
  peer->next = CLAMP (appended->match + 1, peer->match + 1, rlog_last (&raft->log) + 1);
  /* Retries with this peer only. A broadcast after every rejection would double the messages with
   * each round trip when two voters reject. */
  send_append (raft, peer);
}

void
raftlead_tick (Raft *raft, int64_t now)
{
  int64_t quorum = (int64_t) majority_value (raft, (uint64_t) now, peer_acked);
  int64_t disk_time = raft_recent_max_get (&raft->sync_times, now)
                      + raft_recent_max_get (&raft->reply_times, now);

  if (now - quorum > QUORUM_TIMEOUT + disk_time || !raft_is_voter (raft))
    {
      raft_become_follower (raft, raft->term, 0, now);
      return;
    }
  raftset_reconcile (raft, now);
  raftset_remove_dead (raft, now);
  if (now >= raft->heartbeat_due)
    raft->send_pending = true;
}

/* ---- Interface ---- */

bool
raft_leading (Raft *raft)
{
  if (raft->role != ROLE_LEADER || raft->storage_failed || raft->commit < raft->term_start)
    return false;
  int64_t now = ft_clock_now (raft->clock);
  int64_t quorum = (int64_t) majority_value (raft, (uint64_t) now, peer_acked);
  return now - quorum < LEASE_TIME;
}

int64_t
raft_lease_until (Raft *raft)
{
  if (!raft_leading (raft))
    return 0;
  int64_t now = ft_clock_now (raft->clock);
  return (int64_t) majority_value (raft, (uint64_t) now, peer_acked) + LEASE_TIME;
}

void
raft_transfer_leadership (Raft *raft)
{
  Msg msg = { .kind = MSG_TIMEOUT_NOW };
  Peer *best = NULL;
  int64_t now = ft_clock_now (raft->clock);

  if (raft->role != ROLE_LEADER)
    return;
  for (unsigned i = 0; i < raft->peer_count; i++)
    {
      Peer *peer = &raft->peers[i];
      bool recently_heard = now - peer->acked_sent_at < ELECTION_TIMEOUT_MIN;
      if (raftset_is_voter (raft, peer->id) && recently_heard
          && (best == NULL || peer->match > best->match))
        best = peer;
    }
  if (best == NULL)
    return;
  /* Steps down before the other voter starts its election, so that two never lead at once. */
  raft_become_follower (raft, raft->term, 0, now);
  raft_queue_after_sync (raft, best->id, &msg);
}
