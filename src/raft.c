/* raft.c - one voter of the replicated log: Raft (Ongaro and Ousterhout 2014) with pre-vote, check
 * of the quorum, leases for reads, batched syncs and snapshots.
 *
 * Leading is in raftlead.c, elections are in raftvote.c; who votes, and how the first set forms, in
 * raftset.c.
 *
 * Order of disk and network. Messages wait in an outbox until what they promise is synced. When a
 * write or a sync fails the outbox is dropped and the voter stops taking part. A leader's entries
 * and heartbeats and a candidate's questions promise nothing of the own disk: they leave before the
 * sync, so that disks that are slow work at the same time and a leader is heard while its own
 * waits.
 *
 * Slow disks. While a voter syncs it hears nobody, so that time does not count towards its election
 * timeout, and a leader that syncs is not heard, so the timeout grows by what own syncs have lately
 * taken. A leader gives its followers as long as disks have lately taken beyond QUORUM_LOST. A
 * leader whose disk alone is slow is replaced as before: the others' timeouts follow their own.
 */
#include "raftint.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define WAIT_KEPT        (20 * FT_SECOND) /* how long the longest wait for a disk counts */
#define UNCOMMITTED_MOST 4096             /* beyond, proposers are told to come back */
#define KEEP_TAIL        256              /* entries kept behind a snapshot for those just behind */
#define START_LEAST      (520 * FT_MS)    /* LEASE and 4 % for the rate errors of two clocks */
#define START_SPREAD     (100 * FT_MS)    /* voters that start together rarely stand together */

/* ---- Small helpers ---- */

static void
post (GArray *box, uint32_t to, const Msg *msg)
{
  Outgoing out = { to, codec_pack (CODEC (Msg), msg) };

  if (out.bytes)
    g_array_append_val (box, out);
}

void
raft_queue_after_sync (Raft *raft, uint32_t to, const Msg *msg)
{
  post (raft->outbox, to, msg);
}

void
raft_queue_before_sync (Raft *raft, uint32_t to, const Msg *msg)
{
  post (raft->early, to, msg);
}

static void
drop_box (GArray *box)
{
  for (unsigned i = 0; i < box->len; i++)
    g_byte_array_unref (g_array_index (box, Outgoing, i).bytes);
  g_array_set_size (box, 0);
}

static void
send_box (Raft *raft, GArray *box)
{
  for (unsigned i = 0; i < box->len; i++)
    {
      Outgoing *one = &g_array_index (box, Outgoing, i);
      raft->ops->send (raft->host, one->to, one->bytes);
    }
  g_array_set_size (box, 0);
}

void
raft_recent_max_add (Wait *wait, int64_t waited, int64_t now)
{
  if (waited >= raft_recent_max_get (wait, now))
    *wait = (Wait){ waited, now };
}

int64_t
raft_recent_max_get (const Wait *wait, int64_t now)
{
  return now - wait->ended < WAIT_KEPT ? wait->longest : 0;
}

static void
check_disk (Raft *raft, FtStatus status)
{
  if (status == FT_OK || raft->broken)
    return;
  raft->broken = true;
  raft->role = ROLE_FOLLOWER;
  raft->leader = 0;
  drop_box (raft->outbox);
  drop_box (raft->early);
}

bool
raft_is_voter (const Raft *raft)
{
  return rlog_config_has (rlog_config (&raft->log), raft->conf.self, raft->incarnation);
}

unsigned
raft_majority (const RlogConfig *config)
{
  return config->count / 2 + 1;
}

void
raft_record_vote (Raft *raft, uint64_t term, uint32_t voted_for)
{
  raft->term = term;
  raft->voted_for = voted_for;
  raft->vote_synced = false;
  check_disk (raft, wal_vote (raft->wal, term, voted_for));
}

void
raft_become_follower (Raft *raft, uint64_t term, uint32_t leader, int64_t now)
{
  if (term > raft->term)
    raft_record_vote (raft, term, 0);
  raft->role = ROLE_FOLLOWER;
  raft->leader = leader;
  if (leader)
    raft->fresh = false;
  /* A newer term alone shows no leader: a voter that has just started stands as soon as it may. */
  if (!raft->fresh)
    raftvote_restart_timer (raft, now);
}

static void
append_entry (Raft *raft, MsgEntry *entry)
{
  check_disk (raft, wal_entry (raft->wal, entry));
  rlog_append (&raft->log, entry);
}

FtStatus
raft_append_op (Raft *raft, uint64_t term, const MsgOp *op)
{
  GByteArray *bytes = codec_pack (CODEC (MsgOp), op);

  if (bytes == NULL)
    return FT_INVALID;
  MsgEntry *entry = g_new0 (MsgEntry, 1);
  entry->index = rlog_last (&raft->log) + 1;
  entry->term = term;
  entry->op.op_len = bytes->len;
  entry->op.op_val = malloc (bytes->len);
  memcpy (entry->op.op_val, bytes->data, bytes->len);
  g_byte_array_unref (bytes);
  append_entry (raft, entry);
  raft->must_send = true;
  return FT_OK;
}

/* ---- Applying and snapshots ---- */

static void
take_snapshot (Raft *raft)
{
  uint64_t most = raft->conf.snapshot_after ? raft->conf.snapshot_after : RAFT_SNAPSHOT_AFTER;

  uint64_t tail = MIN (KEEP_TAIL, most);

  if (raft->applied - raft->log.base < most + tail || raft->broken)
    return;
  GByteArray *state = state_capture (raft->state);
  if (state == NULL)
    return;
  uint64_t term = rlog_term (&raft->log, raft->applied);
  unsigned first = (unsigned) (raft->applied - raft->log.base);
  check_disk (raft,
              wal_snapshot (raft->wal, raft->applied, term, state, raft->term, raft->voted_for,
                            (MsgEntry *const *) raft->log.entries->pdata + first,
                            raft->log.entries->len - first));
  g_byte_array_unref (state);
  raft->synced = rlog_last (&raft->log);
  if (first > tail)
    rlog_drop_prefix (&raft->log, raft->applied - tail);
}

void
raft_apply_committed (Raft *raft)
{
  while (raft->applied < raft->commit)
    {
      MsgEntry *entry = rlog_entry (&raft->log, raft->applied + 1);
      MsgOp op = { 0 };
      StateResult verdict;

      if (entry == NULL)
        return;
      raft->applied++;
      if (codec_unpack (CODEC (MsgOp), entry->op.op_val, entry->op.op_len, &op, NULL) == FT_OK)
        {
          state_apply (raft->state, entry->index, &op, &verdict);
          raft->ops->apply (raft->host, entry->index, &op, &verdict);
        }
      codec_clear (CODEC (MsgOp), &op);
    }
  take_snapshot (raft);
}

/* ---- Following ---- */

static void
answer_append (Raft *raft, uint32_t to, uint64_t round, bool ok, uint64_t match)
{
  Msg msg = { .kind = MSG_APPENDED };
  MsgAppended *out = &msg.Msg_u.appended;

  out->term = raft->term;
  out->round = round;
  out->incarnation = raft->incarnation;
  out->ok = ok;
  out->match = match;
  raft_queue_after_sync (raft, to, &msg);
}

static void
take_entries (Raft *raft, const MsgAppend *append)
{
  for (unsigned i = 0; i < append->entries.entries_len; i++)
    {
      const MsgEntry *entry = &append->entries.entries_val[i];
      uint64_t last = rlog_last (&raft->log);

      if (entry->index <= raft->log.base)
        continue;
      if (entry->index <= last && rlog_term (&raft->log, entry->index) == entry->term)
        continue;
      if (entry->index <= raft->commit || entry->index > last + 1)
        return; /* breaks the protocol: never overwrite what is committed, never leave a hole */
      if (entry->index <= last)
        {
          check_disk (raft, wal_truncate (raft->wal, entry->index));
          rlog_truncate (&raft->log, entry->index);
          raft->synced = MIN (raft->synced, entry->index - 1);
        }
      append_entry (raft, wal_entry_copy (entry));
    }
}

static void
on_append (Raft *raft, uint32_t from, const MsgAppend *append, int64_t now)
{
  if (append->term < raft->term)
    {
      answer_append (raft, from, append->round, false, 0);
      return;
    }
  raft_become_follower (raft, append->term, from, now);
  raft->leader_heard = now;
  uint64_t prev = append->prev_index;
  bool fits
      = prev <= raft->log.base
        || (prev <= rlog_last (&raft->log) && rlog_term (&raft->log, prev) == append->prev_term);
  if (!fits)
    {
      uint64_t hint = MIN (prev - 1, rlog_last (&raft->log));
      answer_append (raft, from, append->round, false, MAX (hint, raft->commit));
      return;
    }
  take_entries (raft, append);
  uint64_t match = MIN (prev + append->entries.entries_len, rlog_last (&raft->log));
  uint64_t known = MIN (append->commit, match);
  if (known > raft->commit)
    raft->commit = known;
  answer_append (raft, from, append->round, true, match);
  raft_apply_committed (raft);
}

static void
on_snapshot (Raft *raft, uint32_t from, const MsgSnapshot *snapshot, int64_t now)
{
  GByteArray bytes = { (guint8 *) snapshot->state.state_val, snapshot->state.state_len };

  if (snapshot->term < raft->term)
    {
      answer_append (raft, from, snapshot->round, false, 0);
      return;
    }
  raft_become_follower (raft, snapshot->term, from, now);
  raft->leader_heard = now;
  /* Failure: a late snapshot replaces a log that holds more. Symptom: entries that this voter has
   * acknowledged are gone and a majority no longer holds them. A log that has the snapshot's last
   * entry holds all of it, so it is kept. */
  bool held = rlog_term (&raft->log, snapshot->index) == snapshot->index_term;
  if (held && snapshot->index > raft->commit)
    {
      raft->commit = snapshot->index;
      raft_apply_committed (raft);
    }
  else if (snapshot->index > raft->commit)
    {
      if (state_restore (raft->state, bytes.data, bytes.len) != FT_OK)
        return;
      rlog_reset (&raft->log, snapshot->index, snapshot->index_term, state_voters (raft->state));
      raft->commit = raft->applied = raft->synced = snapshot->index;
      check_disk (raft, wal_snapshot (raft->wal, snapshot->index, snapshot->index_term, &bytes,
                                      raft->term, raft->voted_for, NULL, 0));
    }
  answer_append (raft, from, snapshot->round, true, snapshot->index);
}

/* ---- Interface ---- */

static void
load (Raft *raft, WalState *from, FtError *error, FtStatus *status)
{
  raft->term = from->term;
  raft->voted_for = from->voted_for;
  raft->incarnation = from->incarnation;
  if (from->snapshot)
    {
      *status = state_restore (raft->state, from->snapshot->data, from->snapshot->len);
      if (*status != FT_OK)
        {
          ft_error_set (error, *status, 0, "snap", "does not hold a valid state");
          return;
        }
      rlog_reset (&raft->log, from->snapshot_index, from->snapshot_term,
                  state_voters (raft->state));
      raft->commit = raft->applied = from->snapshot_index;
    }
  for (unsigned i = 0; i < from->entries->len; i++)
    rlog_append (&raft->log, wal_entry_copy (from->entries->pdata[i]));
  raft->synced = rlog_last (&raft->log);
  raft->commit = raft->noted = MAX (raft->commit, MIN (from->commit, rlog_last (&raft->log)));
  raft_apply_committed (raft);
}

/* Failure: a voter confirms a leader's round, starts again and votes for another at once. Symptom:
 * the leader's lease, which counts from the sending of that round, still holds, and two lead. A
 * voter with a new data folder has confirmed nothing. */
static void
begin_timers (Raft *raft, bool new_folder, int64_t now)
{
  int64_t least = new_folder ? LEASE : START_LEAST;
  int64_t spread = new_folder ? PREVOTE_SPREAD : START_SPREAD;

  raft->fresh = true;
  raft->leader_heard = now - (ELECTION_LEAST - least); /* votes are given from least on */
  raft->election_at = now + least + (int64_t) (ft_random_next (raft->random) % (uint64_t) spread);
}

FtStatus
raft_new (const RaftConf *conf, FtClock *clock, FtRandom *random, FtDisk *disk, State *state,
          const RaftOps *ops, void *host, Raft **out, FtError *error)
{
  Raft *raft = g_new0 (Raft, 1);
  WalState from;
  int64_t now = ft_clock_now (clock);

  raft->conf = *conf;
  memcpy (raft->voters, conf->voters, conf->count * sizeof conf->voters[0]);
  raft->conf.voters = raft->voters;
  raft->clock = clock;
  raft->random = random;
  raft->state = state;
  raft->ops = ops;
  raft->host = host;
  raft->outbox = g_array_new (FALSE, FALSE, sizeof (Outgoing));
  raft->early = g_array_new (FALSE, FALSE, sizeof (Outgoing));
  raft->vote_synced = true;
  rlog_init (&raft->log);
  for (unsigned i = 0; i < conf->count; i++)
    raftset_add_peer (raft, conf->voters[i]);
  FtStatus status = wal_open (disk, &raft->wal, &from, error);
  if (status == FT_OK)
    load (raft, &from, error, &status);
  wal_state_clear (&from);
  bool new_folder = raft->incarnation == 0;
  if (status == FT_OK && new_folder)
    {
      raft->incarnation = ft_random_next (random) | 1;
      status = wal_write_identity (raft->wal, raft->incarnation);
      if (status != FT_OK)
        ft_error_set (error, status, 0, "ident", "cannot be written");
    }
  raftset_add_voters (raft);
  begin_timers (raft, new_folder, now);
  *out = raft;
  if (status != FT_OK)
    {
      raft_free (raft);
      *out = NULL;
    }
  return status;
}

void
raft_free (Raft *raft)
{
  if (raft == NULL)
    return;
  drop_box (raft->outbox);
  drop_box (raft->early);
  g_array_unref (raft->outbox);
  g_array_unref (raft->early);
  rlog_clear (&raft->log);
  wal_free (raft->wal);
  g_free (raft);
}

void
raft_receive (Raft *raft, uint32_t from, const Msg *msg)
{
  int64_t now = ft_clock_now (raft->clock);
  Peer *peer = raft->conf.found ? raftset_add_peer (raft, from) : raftset_find_peer (raft, from);

  if (peer == NULL || raft->broken)
    return;
  peer->heard = now;
  switch (msg->kind)
    {
    case MSG_VOTE:
      raftvote_on_request (raft, from, &msg->Msg_u.vote, now);
      break;
    case MSG_VOTED:
      raftvote_on_reply (raft, peer, &msg->Msg_u.voted, now);
      break;
    case MSG_APPEND:
      on_append (raft, from, &msg->Msg_u.append, now);
      break;
    case MSG_APPENDED:
      raftlead_on_append_reply (raft, peer, &msg->Msg_u.appended, now);
      break;
    case MSG_SNAPSHOT:
      on_snapshot (raft, from, &msg->Msg_u.snapshot, now);
      break;
    case MSG_BLANK:
      raftset_on_blank (raft, peer, &msg->Msg_u.blank, now);
      break;
    case MSG_STAND:
      if (raft_is_voter (raft) && raft->role == ROLE_FOLLOWER && from == raft->leader)
        raftvote_start_election (raft, false, true, now);
      break;
    default:
      break;
    }
}

void
raft_tick (Raft *raft)
{
  int64_t now = ft_clock_now (raft->clock);

  if (raft->broken)
    return;
  raftset_add_voters (raft);
  if (rlog_last (&raft->log) == 0)
    raftset_tick_blank (raft, now);
  else if (raft->role == ROLE_LEADER)
    raftlead_tick (raft, now);
  else if (now >= raft->election_at && raft_is_voter (raft))
    raftvote_start_election (raft, true, false, now);
  else if (now >= raft->election_at)
    raftset_tick_blank (raft, now); /* a learner that nobody feeds makes itself known */
}

FtStatus
raft_propose (Raft *raft, const MsgOp *op, uint64_t *index)
{
  if (!raft_leading (raft))
    return FT_NOT_LEADER;
  if (rlog_last (&raft->log) - raft->commit > UNCOMMITTED_MOST)
    return FT_FULL;
  FtStatus status = raft_append_op (raft, raft->term, op);
  *index = rlog_last (&raft->log);
  return raft->broken ? FT_IO : status;
}

/* Syncs what was written; the time that this takes is none in which a leader could be heard. */
static void
sync_log (Raft *raft)
{
  int64_t began = ft_clock_now (raft->clock);

  check_disk (raft, wal_sync (raft->wal));
  int64_t now = ft_clock_now (raft->clock);
  raft->election_at += now - began;
  raft_recent_max_add (&raft->own_syncs, now - began, now);
}

static void
flush_once (Raft *raft)
{
  if (raft->role == ROLE_LEADER && raft->must_send)
    raftlead_broadcast (raft, ft_clock_now (raft->clock));
  /* Failure: all voters start anew. Symptom: what is committed is known only after an election, a
   * second later. The index of it, synced with whatever comes next, tells it at once. */
  if (raft->conf.found && raft->commit > raft->noted)
    {
      raft->noted = raft->commit;
      check_disk (raft, wal_commit (raft->wal, raft->commit));
    }
  send_box (raft, raft->early);
  sync_log (raft);
  if (raft->broken)
    return;
  raft->vote_synced = true;
  raft->synced = rlog_last (&raft->log);
  raftvote_on_synced (raft, ft_clock_now (raft->clock));
  raftlead_advance_commit (raft); /* counts the own copy, alone enough when there is one voter */
  if (raft->broken)
    return;
  send_box (raft, raft->outbox);
}

void
raft_flush (Raft *raft)
{
  if (raft->broken)
    return;
  flush_once (raft);
  /* An own vote that lasts may have won the election: the others are told at once. */
  if (!raft->broken && raft->role == ROLE_LEADER && raft->must_send)
    flush_once (raft);
}

void
raft_add_peer (Raft *raft, uint32_t id)
{
  if (raft->conf.found)
    raftset_add_peer (raft, id);
}

unsigned
raft_voters (const Raft *raft, uint32_t *ids)
{
  const RlogConfig *config = rlog_config (&raft->log);

  for (unsigned i = 0; i < config->count; i++)
    ids[i] = config->voters[i].id;
  return config->count;
}

int64_t
raft_leading_since (const Raft *raft)
{
  return raft->led_since;
}

uint32_t
raft_leader (const Raft *raft)
{
  return raft->leader;
}

uint64_t
raft_term (const Raft *raft)
{
  return raft->term;
}

uint64_t
raft_commit (const Raft *raft)
{
  return raft->commit;
}

uint64_t
raft_incarnation (const Raft *raft)
{
  return raft->incarnation;
}

bool
raft_storage_failed (const Raft *raft)
{
  return raft->broken;
}

bool
raft_is_member (const Raft *raft)
{
  return raft_is_voter (raft);
}
