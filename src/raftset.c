/* raftset.c - who votes: the first set, learners, lost disks, replaced voters.
 *
 * Incarnations. Each data folder has a random number. Voter sets name pairs of id and incarnation,
 * and votes and acknowledgements carry the incarnation and count only for the pair. So an instance
 * whose disk was replaced cannot vote as if it remembered: it is another voter. The leader copies
 * the log to it first, then removes the old pair, then adds the new one, one change at a time. A
 * replacement in one step would be unsafe: {A, B1, C} and {A, B2, C} have majorities {B1, C} and
 * {A, B2} without a common member.
 *
 * Forming. Blank voters ask each other. Only the lowest id may form the voter set, and only when
 * every other configured voter says that it is blank too; the others adopt it when it names their
 * incarnation. A voter that lost its disk meets voters that are formed and becomes a learner.
 */
#include "raftint.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define BLANK_EVERY (300 * FT_MS)
#define BLANK_VALID (1000 * FT_MS) /* an answer older than this may be of an older life */
#define GONE                                                                                       \
  (2500 * FT_MS) /* silence after which a replaced voter is dropped: two                           \
                    elections, and before a second loss may follow (4 s) */

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
  if (raft->peer_count < PEERS_MOST)
    peer = &raft->peers[raft->peer_count++];
  for (unsigned i = 0; peer == NULL && i < raft->peer_count; i++)
    if (!raftset_is_voter (raft, raft->peers[i].id) && now - raft->peers[i].heard > GONE)
      peer = &raft->peers[i]; /* one that never came back makes room */
  if (peer)
    *peer = (Peer){ .id = id, .next = rlog_last (&raft->log) + 1, .heard = now };
  return peer;
}

/* Failure: the log names voters that nobody has told this one of, after a restart with other
 * contacts. Symptom: it stands for election and asks nobody. */
void
raftset_add_voters (Raft *raft)
{
  const RlogConfig *config = rlog_config (&raft->log);

  for (unsigned i = 0; raft->conf.found && i < config->count; i++)
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

/* One step towards naming the incarnations that are really there; at most one change is open. */
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
                       && now - peer->acked_sent < ELECTION_LEAST;
      if (peer->incarnation == 0 || named == peer->incarnation || !caught_up)
        continue;
      if (named == 0 && config.count < FT_VOTERS_MOST)
        config.voters[config.count++] = (MsgVoter){ peer->id, peer->incarnation };
      else
        for (unsigned j = 0; j < config.count; j++)
          if (config.voters[j].id == peer->id)
            config.voters[j] = config.voters[--config.count];
      propose_voters (raft, &config);
      return;
    }
}

/* Failure: a voter is gone for good and another has come in its place. Symptom: with one of four
 * dead a second loss stops the log. So the dead one is dropped, once the others that are heard
 * number at least conf.least: no majority needs it then. */
void
raftset_remove_dead (Raft *raft, int64_t now)
{
  RlogConfig config = *rlog_config (&raft->log);
  unsigned heard = 0, gone = config.count;

  if (raft->conf.least == 0 || config.count <= raft->conf.least || config.index > raft->commit
      || raft->commit < raft->term_start)
    return;
  for (unsigned i = 0; i < config.count; i++)
    {
      const Peer *peer = raftset_find_peer (raft, config.voters[i].id);
      if (config.voters[i].id == raft->conf.self
          || (peer && now - peer->acked_sent < ELECTION_LEAST))
        heard++;
      else if (peer == NULL || now - peer->acked_sent > GONE)
        gone = i;
    }
  if (gone == config.count || heard < raft->conf.least)
    return;
  config.voters[gone] = config.voters[--config.count];
  propose_voters (raft, &config);
}

static void
send_blank (Raft *raft, uint32_t to, bool answer)
{
  const RlogConfig *config = rlog_config (&raft->log);
  Msg msg = { .kind = MSG_BLANK };
  MsgBlank *out = &msg.Msg_u.blank;

  out->incarnation = raft->incarnation;
  out->answer = answer;
  out->formed = rlog_last (&raft->log) > 0;
  out->voters.voters_len = config->index == 1 ? config->count : 0; /* as formed, or none */
  out->voters.voters_val = (MsgVoter *) config->voters;
  raft_queue_after_sync (raft, to, &msg);
}

static void
form (Raft *raft, const MsgVoter *voters, unsigned count)
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
try_to_form (Raft *raft, int64_t now)
{
  MsgVoter voters[FT_VOTERS_MOST] = { { raft->conf.self, raft->incarnation } };
  unsigned count = 1;
  bool named = false;

  if (raft->conf.found && !raft->conf.may_bootstrap)
    return;
  for (unsigned i = 0; i < raft->conf.count; i++)
    {
      uint32_t id = raft->conf.voters[i];
      const Peer *peer = raftset_find_peer (raft, id);
      named = named || id == raft->conf.self;
      if (id == raft->conf.self)
        continue;
      if (id < raft->conf.self || peer == NULL || !peer->blank_known
          || now - peer->blank_at > BLANK_VALID)
        return;
      voters[count++] = (MsgVoter){ id, peer->blank_incarnation };
    }
  if (named)
    form (raft, voters, count);
}

void
raftset_on_blank (Raft *raft, Peer *peer, const MsgBlank *blank, int64_t now)
{
  bool self_blank = rlog_last (&raft->log) == 0;

  if (!blank->answer)
    send_blank (raft, peer->id, true);
  peer->blank_known = !blank->formed;
  peer->blank_at = now;
  peer->blank_incarnation = blank->incarnation;
  if (raft->role == ROLE_LEADER && !blank->formed && peer->incarnation != blank->incarnation)
    {
      peer->incarnation = blank->incarnation;
      peer->match = 0;
      peer->next = rlog_last (&raft->log) + 1;
    }
  if (!self_blank || !blank->formed)
    return;
  for (unsigned i = 0; i < blank->voters.voters_len; i++)
    {
      const MsgVoter *voter = &blank->voters.voters_val[i];
      /* Adopting is for the first forming only, when the log is just that one entry. A learner of
       * a log that has grown gets it from the leader and is not named until it has caught up. */
      if (voter->id == raft->conf.self && voter->incarnation == raft->incarnation)
        {
          form (raft, blank->voters.voters_val, blank->voters.voters_len);
          return;
        }
    }
}

void
raftset_tick_blank (Raft *raft, int64_t now)
{
  if (now < raft->blank_at)
    return;
  raft->blank_at = now + BLANK_EVERY;
  for (unsigned i = 0; i < raft->peer_count; i++)
    send_blank (raft, raft->peers[i].id, false);
  try_to_form (raft, now);
}
