/* raftset.c - the voter set: its creation, learners, lost disks and replaced voters.
 *
 * Incarnations. Each data folder has a random number, its incarnation. A voter set names pairs of
 * id and incarnation; votes and acknowledgements carry the incarnation and count only for that
 * pair. So an instance whose disk was replaced, and which has forgotten its votes and entries,
 * counts as a different voter. The leader first copies the log to it, then removes the old pair,
 * then adds the new one, one change at a time. Replacing the pair in one step would be unsafe:
 * {A, B1, C} and {A, B2, C} have the majorities {B1, C} and {A, B2}, which share no member.
 *
 * Creation. A voter whose log is empty is blank, and tells the others so with MSG_BOOTSTRAP. Only
 * the lowest configured id may create the voter set, and only if every other configured voter has
 * recently said that it is blank too. A blank voter adopts the set when the set names its
 * incarnation. A voter that lost its disk finds that the set exists and becomes a learner: it
 * receives the log but has no vote.
 */
#include "raftint.h"

#include <string.h>

/* Tuning. */
#define BLANK_INTERVAL  (300 * FT_MS)
#define BLANK_VALID_FOR (1000 * FT_MS) /* an older reply may precede a restart */
#define DEAD_AFTER                                                                                 \
  (2500 * FT_MS) /* silence after which a voter is removed: two elections long, and                \
                    shorter than the 4 s after which a second loss may follow */

Peer *
raftset_find_peer (const Raft *raft, uint32_t id)
{
  for (unsigned i = 0; i < raft->peer_count; i++)
    if (raft->peers[i].id == id)
      return (Peer *) &raft->peers[i];
  return NULL;
}

bool
raftset_is_voter (const Raft *raft, uint32_t id)
{
  return rlog_config_incarnation (rlog_config (&raft->log), id) != 0;
}

Peer *
raftset_add_peer (Raft *raft, uint32_t id)
{
  Peer *peer = raftset_find_peer (raft, id);
  int64_t now = ft_clock_now (raft->clock);

  if (peer || id == raft->conf.self || id == 0)
    return peer;
  if (raft->peer_count < MAX_PEERS)
    peer = &raft->peers[raft->peer_count++];
  for (unsigned i = 0; peer == NULL && i < raft->peer_count; i++)
    if (!raftset_is_voter (raft, raft->peers[i].id) && now - raft->peers[i].heard_at > DEAD_AFTER)
      peer = &raft->peers[i]; /* replaces one that does not vote and is silent */
  if (peer)
    *peer = (Peer){ .id = id, .next = rlog_last (&raft->log) + 1, .heard_at = now };
  return peer;
}

/* After a restart with other contact addresses the log may name voters that are not peers yet.
 * Without this, the voter would start an election and send its request to nobody. */
void
raftset_add_voters (Raft *raft)
{
  const RlogConfig *config = rlog_config (&raft->log);

  for (unsigned i = 0; raft->conf.discover && i < config->count; i++)
    raftset_add_peer (raft, config->voters[i].id);
}

static void
propose_voters (Raft *raft, const RlogConfig *config)
{
  MsgOp op = { .kind = MSG_OP_VOTERS };

  op.MsgOp_u.voters.voters.voters_len = config->count;
  op.MsgOp_u.voters.voters.voters_val = (MsgVoter *) config->voters;
  raft_append_op (raft, raft->term, &op);
}

void
raftset_reconcile (Raft *raft, int64_t now)
{
  RlogConfig config = *rlog_config (&raft->log);

  if (config.index > raft->commit || raft->commit < raft->term_start)
    return;
  for (unsigned i = 0; i < raft->peer_count; i++)
    {
      const Peer *peer = &raft->peers[i];
      uint64_t named = rlog_config_incarnation (&config, peer->id);
      bool caught_up = peer->match > 0 && peer->match >= raft->commit
                       && now - peer->acked_sent_at < ELECTION_TIMEOUT_MIN;
      if (peer->incarnation == 0 || named == peer->incarnation || !caught_up)
        continue;
      if (named == 0 && config.count < FT_VOTERS_MAX)
        config.voters[config.count++] = (MsgVoter){ peer->id, peer->incarnation };
      else
        for (unsigned j = 0; j < config.count; j++)
          if (config.voters[j].id == peer->id)
            config.voters[j] = config.voters[--config.count];
      propose_voters (raft, &config);
      return;
    }
}

/* When a voter has died and another has joined in its place, the set of four has one dead member,
 * and a second loss would stop the log. So the dead one is removed once at least conf.min_voters
 * others are heard. */
void
raftset_remove_dead (Raft *raft, int64_t now)
{
  RlogConfig config = *rlog_config (&raft->log);
  unsigned heard = 0, dead = config.count;

  if (raft->conf.min_voters == 0 || config.count <= raft->conf.min_voters
      || config.index > raft->commit || raft->commit < raft->term_start)
    return;
  for (unsigned i = 0; i < config.count; i++)
    {
      const Peer *peer = raftset_find_peer (raft, config.voters[i].id);
      if (config.voters[i].id == raft->conf.self
          || (peer && now - peer->acked_sent_at < ELECTION_TIMEOUT_MIN))
        heard++;
      else if (peer == NULL || now - peer->acked_sent_at > DEAD_AFTER)
        dead = i;
    }
  if (dead == config.count || heard < raft->conf.min_voters)
    return;
  config.voters[dead] = config.voters[--config.count];
  propose_voters (raft, &config);
}

static void
send_blank (Raft *raft, uint32_t to, bool answer)
{
  const RlogConfig *config = rlog_config (&raft->log);
  Msg msg = { .kind = MSG_BOOTSTRAP };
  MsgBootstrap *out = &msg.Msg_u.blank;

  out->incarnation = raft->incarnation;
  out->answer = answer;
  out->formed = rlog_last (&raft->log) > 0;
  /* Only the set as it was created is passed on. */
  out->voters.voters_len = config->index == 1 ? config->count : 0;
  out->voters.voters_val = (MsgVoter *) config->voters;
  raft_queue_after_sync (raft, to, &msg);
}

/* Makes the first voter set the first entry of the empty log. */
static void
start_log (Raft *raft, const MsgVoter *voters, unsigned count)
{
  RlogConfig config = { .count = count };

  memcpy (config.voters, voters, count * sizeof *voters);
  raft_record_vote (raft, MAX (raft->term, 1), raft->voted_for);
  MsgOp op = { .kind = MSG_OP_VOTERS };
  op.MsgOp_u.voters.voters.voters_len = config.count;
  op.MsgOp_u.voters.voters.voters_val = config.voters;
  raft_append_op (raft, 1, &op);
}

static void
try_to_bootstrap (Raft *raft, int64_t now)
{
  MsgVoter voters[FT_VOTERS_MAX] = { { raft->conf.self, raft->incarnation } };
  unsigned count = 1;
  bool self_listed = false;

  if (raft->conf.discover && !raft->conf.may_bootstrap)
    return;
  for (unsigned i = 0; i < raft->conf.count; i++)
    {
      uint32_t id = raft->conf.voters[i];
      const Peer *peer = raftset_find_peer (raft, id);
      self_listed = self_listed || id == raft->conf.self;
      if (id == raft->conf.self)
        continue;
      if (id < raft->conf.self || peer == NULL || !peer->is_blank
          || now - peer->blank_at > BLANK_VALID_FOR)
        return;
      voters[count++] = (MsgVoter){ id, peer->blank_incarnation };
    }
  if (self_listed)
    start_log (raft, voters, count);
}

void
raftset_on_blank (Raft *raft, Peer *peer, const MsgBootstrap *blank, int64_t now)
{
  bool log_empty = rlog_last (&raft->log) == 0;

  if (!blank->answer)
    send_blank (raft, peer->id, true);
  peer->is_blank = !blank->formed;
  peer->blank_at = now;
  peer->blank_incarnation = blank->incarnation;
  if (raft->role == ROLE_LEADER && !blank->formed && peer->incarnation != blank->incarnation)
    {
      peer->incarnation = blank->incarnation;
      peer->match = 0;
      peer->unanswered_bytes = 0;
      peer->next = rlog_last (&raft->log) + 1;
    }
  if (!log_empty || !blank->formed)
    return;
  for (unsigned i = 0; i < blank->voters.voters_len; i++)
    {
      const MsgVoter *voter = &blank->voters.voters_val[i];
      /* Only the newly created set, the first entry of the log, is adopted. Later learners get the
       * log from the leader and are not in the set until they have caught up. */
      if (voter->id == raft->conf.self && voter->incarnation == raft->incarnation)
        {
          start_log (raft, blank->voters.voters_val, blank->voters.voters_len);
          return;
        }
    }
}

void
raftset_tick_blank (Raft *raft, int64_t now)
{
  if (now < raft->blank_due)
    return;
  raft->blank_due = now + BLANK_INTERVAL;
  for (unsigned i = 0; i < raft->peer_count; i++)
    send_blank (raft, raft->peers[i].id, false);
  try_to_bootstrap (raft, now);
}
