/* raft.c - one voter of the replicated log: Raft (Ongaro and Ousterhout 2014) with pre-votes,
 * leader leases for reads, batched syncs and snapshots. A leader that a majority no longer
 * acknowledges steps down.
 *
 * raftlead.c has the leader, raftvote.c the elections, raftset.c the voter set and how it is first
 * created.
 *
 * Order of disk writes and messages. A message that depends on unsynced data waits until the data
 * is synced. When a write or a sync fails, the waiting messages are discarded and the voter stops
 * taking part. A leader's entries and heartbeats and a candidate's vote requests do not depend on
 * the local disk. They are sent before the sync, so that the voters' disks work in parallel and
 * followers hear a leader while its own disk is busy.
 *
 * Slow disks. A voter receives nothing while it syncs, so that time does not count towards its
 * election timeout. A leader that syncs sends nothing, so the election timeout also grows by the
 * voter's own recent sync time. A leader allows its followers QUORUM_TIMEOUT plus the recent disk
 * times. A leader whose disk alone is slow is still replaced, since the other voters' timeouts
 * depend on their own disks.
 */
#include "raftint.h"

#include <string.h>

/* Tuning. */
#define RECENT_MAX_WINDOW     (20 * FT_SECOND) /* how long the largest disk time counts */
#define MAX_UNCOMMITTED       4096             /* entries; above it raft_propose returns FT_FULL */
#define MAX_UNCOMMITTED_BYTES (16u << 20)      /* of their operations, likewise */
#define SNAPSHOT_RETRY        (5 * FT_SECOND)  /* after one that could not be written */
#define SNAPSHOT_TAIL         256 /* entries kept before a snapshot, for followers that lag a little */
#define START_TIMEOUT_MIN     (520 * FT_MS) /* LEASE_TIME plus 4 % for clock rate errors */
#define START_JITTER          (100 * FT_MS) /* keeps voters from starting elections together */

/* ---- Helpers ---- */

static void
queue_message (GArray *queue, uint32_t to, const Msg *msg)
{
  Outgoing message = { to, codec_pack (CODEC (Msg), msg) };

  if (message.bytes)
    g_array_append_val (queue, message);
}

void
raft_queue_after_sync (Raft *raft, uint32_t to, const Msg *msg)
{
  queue_message (raft->after_sync, to, msg);
}

void
raft_queue_before_sync (Raft *raft, uint32_t to, const Msg *msg)
{
  queue_message (raft->before_sync, to, msg);
}

static void
discard_messages (GArray *queue)
{
  for (unsigned i = 0; i < queue->len; i++)
    g_byte_array_unref (g_array_index (queue, Outgoing, i).bytes);
  g_array_set_size (queue, 0);
}

static void
send_messages (Raft *raft, GArray *queue)
{
  for (unsigned i = 0; i < queue->len; i++)
    {
      Outgoing *message = &g_array_index (queue, Outgoing, i);
      raft->ops->send (raft->host, message->to, message->bytes);
    }
  g_array_set_size (queue, 0);
}

void
raft_recent_max_add (RecentMax *max, int64_t value, int64_t now)
{
  if (value >= raft_recent_max_get (max, now))
    *max = (RecentMax){ value, now };
}

int64_t
raft_recent_max_get (const RecentMax *max, int64_t now)
{
  return now - max->seen_at < RECENT_MAX_WINDOW ? max->value : 0;
}

static void
check_disk (Raft *raft, FtStatus status)
{
  if (status == FT_OK || raft->storage_failed)
    return;
  raft->storage_failed = true;
  raft->role = ROLE_FOLLOWER;
  raft->leader = 0;
  discard_messages (raft->after_sync);
  discard_messages (raft->before_sync);
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
    raft->just_started = false;
  /* A newer term alone does not mean that there is a leader, so a voter that has just started keeps
   * its first election timeout. */
  if (!raft->just_started)
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

  /* A longer operation does not fit into an entry: the log could not store or send it. */
  if (bytes == NULL || bytes->len > FT_TEXT_MAX)
    {
      if (bytes)
        g_byte_array_unref (bytes);
      return FT_INVALID;
    }
  MsgEntry *entry = g_new0 (MsgEntry, 1);
  entry->index = rlog_last (&raft->log) + 1;
  entry->term = term;
  entry->op.op_len = bytes->len;
  entry->op.op_val = malloc (bytes->len);
  memcpy (entry->op.op_val, bytes->data, bytes->len);
  g_byte_array_unref (bytes);
  append_entry (raft, entry);
  raft->send_pending = true;
  return FT_OK;
}

/* ---- Applying and snapshots ---- */

static uint64_t
snapshot_threshold (const Raft *raft)
{
  return raft->conf.snapshot_after ? raft->conf.snapshot_after : RAFT_SNAPSHOT_AFTER;
}

static bool
snapshot_is_due (const Raft *raft)
{
  uint64_t threshold = snapshot_threshold (raft);
  bool many = raft->applied - raft->log.base >= threshold + MIN (SNAPSHOT_TAIL, threshold);
  bool large = raft->conf.snapshot_bytes && raft->applied_bytes > raft->conf.snapshot_bytes;

  return (many || large) && !raft->storage_failed
         && ft_clock_now (raft->clock) >= raft->snapshot_at;
}

/* Index of the first entry that is kept beside a snapshot of all that is applied. */
static uint64_t
first_kept (const Raft *raft)
{
  uint64_t tail = MIN (SNAPSHOT_TAIL, snapshot_threshold (raft)), first = raft->applied + 1;
  size_t bytes = 0;

  while (first > raft->log.base + 1 && raft->applied + 1 - first < tail)
    {
      bytes += rlog_entry (&raft->log, first - 1)->op.op_len;
      if (raft->conf.snapshot_bytes && bytes > raft->conf.snapshot_bytes / 2)
        break;
      first--;
    }
  return first;
}

static void
take_snapshot (Raft *raft)
{
  if (!snapshot_is_due (raft))
    return;
  GByteArray *state = state_capture (raft->state);
  if (state == NULL)
    return;
  uint64_t term = rlog_term (&raft->log, raft->applied);
  unsigned applied_count = (unsigned) (raft->applied - raft->log.base);
  FtStatus status
      = wal_snapshot (raft->wal, raft->applied, term, state, raft->term, raft->voted_for,
                      (MsgEntry *const *) raft->log.entries->pdata + applied_count,
                      raft->log.entries->len - applied_count);
  g_byte_array_unref (state);
  /* A disk too full for a snapshot may still take entries, which keep this voter useful. */
  if (status == FT_FULL)
    {
      raft->snapshot_at = ft_clock_now (raft->clock) + SNAPSHOT_RETRY;
      return;
    }
  check_disk (raft, status);
  raft->synced = rlog_last (&raft->log);
  raft->applied_bytes = 0;
  uint64_t first = first_kept (raft);
  if (first > raft->log.base + 1)
    rlog_drop_prefix (&raft->log, first - 1);
}

void
raft_apply_committed (Raft *raft)
{
  while (raft->applied < raft->commit)
    {
      MsgEntry *entry = rlog_entry (&raft->log, raft->applied + 1);
      MsgOp op = { 0 };
      StateResult result;

      if (entry == NULL)
        return;
      raft->applied++;
      raft->applied_bytes += entry->op.op_len;
      if (codec_unpack (CODEC (MsgOp), entry->op.op_val, entry->op.op_len, &op, NULL) == FT_OK)
        {
          state_apply (raft->state, entry->index, &op, &result);
          raft->ops->apply (raft->host, entry->index, &op, &result);
        }
      codec_clear (CODEC (MsgOp), &op);
    }
  take_snapshot (raft);
}

/* ---- Following ---- */

static void
reply_to_append (Raft *raft, uint32_t to, uint64_t round, bool ok, uint64_t match)
{
  Msg msg = { .kind = MSG_APPEND_REPLY };
  MsgAppendReply *out = &msg.Msg_u.appended;

  out->term = raft->term;
  out->round = round;
  out->incarnation = raft->incarnation;
  out->ok = ok;
  out->match = match;
  raft_queue_after_sync (raft, to, &msg);
}

static void
store_entries (Raft *raft, const MsgAppend *append)
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
        return; /* protocol violation: would overwrite a committed entry or leave a gap */
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
      reply_to_append (raft, from, append->round, false, 0);
      return;
    }
  raft_become_follower (raft, append->term, from, now);
  raft->leader_heard_at = now;
  uint64_t prev = append->prev_index;
  bool matches
      = prev <= raft->log.base
        || (prev <= rlog_last (&raft->log) && rlog_term (&raft->log, prev) == append->prev_term);
  if (!matches)
    {
      uint64_t hint = MIN (prev - 1, rlog_last (&raft->log));
      reply_to_append (raft, from, append->round, false, MAX (hint, raft->commit));
      return;
    }
  store_entries (raft, append);
  uint64_t match = MIN (prev + append->entries.entries_len, rlog_last (&raft->log));
  uint64_t commit = MIN (append->commit, match);
  if (commit > raft->commit)
    raft->commit = commit;
  reply_to_append (raft, from, append->round, true, match);
  raft_apply_committed (raft);
}

static void
on_snapshot (Raft *raft, uint32_t from, const MsgSnapshot *snapshot, int64_t now)
{
  GByteArray bytes = { (guint8 *) snapshot->state.state_val, snapshot->state.state_len };

  if (snapshot->term < raft->term)
    {
      reply_to_append (raft, from, snapshot->round, false, 0);
      return;
    }
  raft_become_follower (raft, snapshot->term, from, now);
  raft->leader_heard_at = now;
  /* If the log has the snapshot's last entry it holds everything in the snapshot, and is kept. A
   * late snapshot could otherwise remove newer entries that this voter has acknowledged, and a
   * majority would no longer hold them. */
  bool have_entry = rlog_term (&raft->log, snapshot->index) == snapshot->index_term;
  if (have_entry && snapshot->index > raft->commit)
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
      raft->applied_bytes = 0;
      check_disk (raft, wal_snapshot (raft->wal, snapshot->index, snapshot->index_term, &bytes,
                                      raft->term, raft->voted_for, NULL, 0));
    }
  reply_to_append (raft, from, snapshot->round, true, snapshot->index);
}

/* ---- Interface ---- */

static void
load_saved (Raft *raft, WalState *saved, FtError *error, FtStatus *status)
{
  raft->term = saved->term;
  raft->voted_for = saved->voted_for;
  raft->incarnation = saved->incarnation;
  if (saved->snapshot)
    {
      *status = state_restore (raft->state, saved->snapshot->data, saved->snapshot->len);
      if (*status != FT_OK)
        {
          ft_error_set (error, *status, 0, "snap", "snapshot does not contain a valid state");
          return;
        }
      rlog_reset (&raft->log, saved->snapshot_index, saved->snapshot_term,
                  state_voters (raft->state));
      raft->commit = raft->applied = saved->snapshot_index;
    }
  gsize count;
  gpointer *entries = g_ptr_array_steal (saved->entries, &count);
  for (gsize i = 0; i < count; i++)
    rlog_append (&raft->log, entries[i]);
  g_free (entries);
  raft->synced = rlog_last (&raft->log);
  raft->commit = raft->commit_logged
      = MAX (raft->commit, MIN (saved->commit, rlog_last (&raft->log)));
  raft_apply_committed (raft);
}

/* A voter that restarts may have acknowledged a leader's round just before. If it voted at once, a
 * second leader could be elected while that leader's lease, which counts from the sending of the
 * round, is still valid. So it waits START_TIMEOUT_MIN first. A voter with an empty data folder has
 * acknowledged nothing and waits only LEASE_TIME. */
static void
start_timers (Raft *raft, bool empty_folder, int64_t now)
{
  int64_t timeout = empty_folder ? LEASE_TIME : START_TIMEOUT_MIN;
  int64_t jitter = empty_folder ? PREVOTE_JITTER : START_JITTER;

  raft->just_started = true;
  /* Lets this voter grant votes once timeout has passed. */
  raft->leader_heard_at = now - (ELECTION_TIMEOUT_MIN - timeout);
  raft->election_due
      = now + timeout + (int64_t) (ft_random_next (raft->random) % (uint64_t) jitter);
}

FtStatus
raft_new (const RaftConf *conf, FtClock *clock, FtRandom *random, FtDisk *disk, State *state,
          const RaftOps *ops, void *host, Raft **out, FtError *error)
{
  Raft *raft = g_new0 (Raft, 1);
  WalState saved;
  int64_t now = ft_clock_now (clock);

  raft->conf = *conf;
  memcpy (raft->voters, conf->voters, conf->count * sizeof conf->voters[0]);
  raft->conf.voters = raft->voters;
  raft->clock = clock;
  raft->random = random;
  raft->state = state;
  raft->ops = ops;
  raft->host = host;
  raft->after_sync = g_array_new (FALSE, FALSE, sizeof (Outgoing));
  raft->before_sync = g_array_new (FALSE, FALSE, sizeof (Outgoing));
  raft->vote_synced = true;
  rlog_init (&raft->log);
  for (unsigned i = 0; i < conf->count; i++)
    raftset_add_peer (raft, conf->voters[i]);
  FtStatus status = wal_open (disk, &raft->wal, &saved, error);
  if (status == FT_OK)
    load_saved (raft, &saved, error, &status);
  wal_state_clear (&saved);
  bool empty_folder = raft->incarnation == 0;
  if (status == FT_OK && empty_folder)
    {
      raft->incarnation = ft_random_next (random) | 1;
      status = wal_write_identity (raft->wal, raft->incarnation);
      if (status != FT_OK)
        ft_error_set (error, status, 0, "ident", "cannot write the identity file");
    }
  raftset_add_voters (raft);
  start_timers (raft, empty_folder, now);
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
  discard_messages (raft->after_sync);
  discard_messages (raft->before_sync);
  g_array_unref (raft->after_sync);
  g_array_unref (raft->before_sync);
  rlog_clear (&raft->log);
  wal_free (raft->wal);
  g_free (raft);
}

void
raft_receive (Raft *raft, uint32_t from, const Msg *msg)
{
  int64_t now = ft_clock_now (raft->clock);
  Peer *peer = raft->conf.discover ? raftset_add_peer (raft, from) : raftset_find_peer (raft, from);

  if (peer == NULL || raft->storage_failed)
    return;
  peer->heard_at = now;
  switch (msg->kind)
    {
    case MSG_VOTE:
      raftvote_on_request (raft, from, &msg->Msg_u.vote, now);
      break;
    case MSG_VOTE_REPLY:
      raftvote_on_reply (raft, peer, &msg->Msg_u.voted, now);
      break;
    case MSG_APPEND:
      on_append (raft, from, &msg->Msg_u.append, now);
      break;
    case MSG_APPEND_REPLY:
      raftlead_on_append_reply (raft, peer, &msg->Msg_u.appended, now);
      break;
    case MSG_SNAPSHOT:
      on_snapshot (raft, from, &msg->Msg_u.snapshot, now);
      break;
    case MSG_BOOTSTRAP:
      raftset_on_blank (raft, peer, &msg->Msg_u.blank, now);
      break;
    case MSG_TIMEOUT_NOW:
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

  if (raft->storage_failed)
    return;
  raftset_add_voters (raft);
  if (rlog_last (&raft->log) == 0)
    raftset_tick_blank (raft, now);
  else if (raft->role == ROLE_LEADER)
    raftlead_tick (raft, now);
  else if (now >= raft->election_due && raft_is_voter (raft))
    raftvote_start_election (raft, true, false, now);
  else if (now >= raft->election_due)
    raftset_tick_blank (raft, now); /* not a voter and no leader heard */
}

FtStatus
raft_propose (Raft *raft, const MsgOp *op, uint64_t *index)
{
  if (!raft_leading (raft))
    return FT_NOT_LEADER;
  if (rlog_last (&raft->log) - raft->commit > MAX_UNCOMMITTED
      || rlog_bytes (&raft->log, raft->commit + 1, rlog_last (&raft->log)) >= MAX_UNCOMMITTED_BYTES)
    return FT_FULL;
  FtStatus status = raft_append_op (raft, raft->term, op);
  *index = rlog_last (&raft->log);
  return raft->storage_failed ? FT_IO : status;
}

/* Syncs the log file. No leader could be heard meanwhile, so the election timeout is extended by
 * the time taken. */
static void
sync_log (Raft *raft)
{
  int64_t started = ft_clock_now (raft->clock);

  check_disk (raft, wal_sync (raft->wal));
  int64_t now = ft_clock_now (raft->clock);
  raft->election_due += now - started;
  raft_recent_max_add (&raft->sync_times, now - started, now);
}

static void
flush_once (Raft *raft)
{
  if (raft->role == ROLE_LEADER && raft->send_pending)
    raftlead_broadcast (raft, ft_clock_now (raft->clock));
  /* When all voters restart, the commit index is otherwise known only after an election, about a
   * second later. Writing it with the next sync makes it known at once. */
  if (raft->conf.discover && raft->commit > raft->commit_logged)
    {
      raft->commit_logged = raft->commit;
      check_disk (raft, wal_commit (raft->wal, raft->commit));
    }
  send_messages (raft, raft->before_sync);
  sync_log (raft);
  if (raft->storage_failed)
    return;
  raft->vote_synced = true;
  raft->synced = rlog_last (&raft->log);
  raftvote_on_synced (raft, ft_clock_now (raft->clock));
  /* This voter's own copy counts too, and is a majority if it is the only voter. */
  raftlead_advance_commit (raft);
  if (raft->storage_failed)
    return;
  send_messages (raft, raft->after_sync);
}

void
raft_flush (Raft *raft)
{
  if (raft->storage_failed)
    return;
  flush_once (raft);
  /* The sync may have won an election (raftvote_on_synced): the first entry is sent at once. */
  if (!raft->storage_failed && raft->role == ROLE_LEADER && raft->send_pending)
    flush_once (raft);
}

void
raft_add_peer (Raft *raft, uint32_t id)
{
  if (raft->conf.discover)
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
  return raft->leader_since;
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
  return raft->storage_failed;
}

bool
raft_is_member (const Raft *raft)
{
  return raft_is_voter (raft);
}
