/* raftvote.c - elections of a voter: asking for votes, first without a new term (pre-vote), and
 * giving them.
 *
 * A vote is written down before it is said (raft_record_vote), and given only to a log that is no
 * older than the own one; votes count for a pair of voter and incarnation of its data folder.
 *
 * Votes are asked for before the own one is synced, so that voters sync at the same time, but the
 * own one counts once it lasts: a candidate that loses it has won nothing. Votes of the newest term
 * in which this voter stood count until it enters another, also while it asks for a pre-vote again:
 * disks that take longer than an election timeout would otherwise have no votes arrive in time.
 */
#include "raftint.h"

/* Tuning; each row with its reason. */
#define ELECTION_SPREAD (400 * FT_MS) /* voters rarely stand together */
#define PREVOTE_LEAST   (150 * FT_MS) /* asking again costs messages only, no term */

void
raftvote_restart_timer (Raft *raft, int64_t now)
{
  raft->election_at = now + ELECTION_LEAST + raft_recent_max_get (&raft->own_syncs, now)
                      + (int64_t) (ft_random_next (raft->random) % (uint64_t) ELECTION_SPREAD);
}

static void
ask_votes (Raft *raft, bool pre, bool handed_over)
{
  Msg msg = { .kind = MSG_VOTE };
  MsgVote *out = &msg.Msg_u.vote;

  out->pre = pre;
  out->term = pre ? raft->term + 1 : raft->term;
  out->incarnation = raft->incarnation;
  out->last_index = rlog_last (&raft->log);
  out->last_term = rlog_last_term (&raft->log);
  out->handed_over = handed_over;
  for (unsigned i = 0; i < raft->peer_count; i++)
    {
      raft->peers[i].granted = false;
      raft_queue_before_sync (raft, raft->peers[i].id, &msg);
    }
}

static bool
has_vote_of (const Raft *raft, const MsgVoter *voter, bool pre)
{
  const Peer *peer;

  if (voter->id == raft->conf.self)
    return voter->incarnation == raft->incarnation
           && (pre || (raft->vote_synced && raft->voted_for == raft->conf.self));
  peer = raftset_find_peer (raft, voter->id);
  return peer && peer->incarnation == voter->incarnation
         && (pre ? peer->granted : peer->vote_term == raft->term);
}

static bool
has_majority (const Raft *raft, bool pre)
{
  const RlogConfig *config = rlog_config (&raft->log);
  unsigned granted = 0;

  for (unsigned i = 0; i < config->count; i++)
    granted += has_vote_of (raft, &config->voters[i], pre);
  return granted >= raft_majority (config);
}

static void count_votes (Raft *raft, int64_t now);

void
raftvote_start_election (Raft *raft, bool pre, bool handed_over, int64_t now)
{
  raftvote_restart_timer (raft, now);
  if (pre)
    raft->election_at = now + PREVOTE_LEAST
                        + (int64_t) (ft_random_next (raft->random) % (uint64_t) PREVOTE_SPREAD);
  raft->leader = 0;
  raft->role = pre ? ROLE_PRECANDIDATE : ROLE_CANDIDATE;
  if (!pre)
    {
      raft->fresh = false;
      raft_record_vote (raft, raft->term + 1, raft->conf.self);
      raft->stood_at = now;
    }
  ask_votes (raft, pre, handed_over);
  count_votes (raft, now);
}

static void
count_votes (Raft *raft, int64_t now)
{
  if (raft->role != ROLE_PRECANDIDATE && raft->role != ROLE_CANDIDATE)
    return;
  if (raft->led_term < raft->term && has_majority (raft, false))
    raftlead_become_leader (raft, now);
  else if (raft->role == ROLE_PRECANDIDATE && has_majority (raft, true))
    raftvote_start_election (raft, false, false, now);
}

void
raftvote_on_synced (Raft *raft, int64_t now)
{
  count_votes (raft, now);
}

static bool
log_is_current (const Raft *raft, const MsgVote *vote)
{
  uint64_t last_term = rlog_last_term (&raft->log);

  return vote->last_term > last_term
         || (vote->last_term == last_term && vote->last_index >= rlog_last (&raft->log));
}

void
raftvote_on_request (Raft *raft, uint32_t from, const MsgVote *vote, int64_t now)
{
  Msg msg = { .kind = MSG_VOTED };
  MsgVoted *out = &msg.Msg_u.voted;
  bool granted = false;

  /* Failure: a voter that was cut off returns and stands. Symptom: it would depose a leader that
   * serves everyone else. While the leader is heard nobody votes, which also makes the leader's
   * lease hold; a voter that has just started may have heard one, so it waits as long. */
  bool led = !vote->handed_over
             && (now - raft->leader_heard < ELECTION_LEAST
                 || (raft->role == ROLE_LEADER && raft_leading (raft)));
  if (!led && vote->term > raft->term && !vote->pre)
    raft_become_follower (raft, vote->term, 0, now);
  if (led)
    granted = false;
  else if (vote->pre)
    granted = vote->term > raft->term && log_is_current (raft, vote);
  else if (vote->term == raft->term && raft->role == ROLE_FOLLOWER
           && (raft->voted_for == 0 || raft->voted_for == from) && log_is_current (raft, vote))
    {
      granted = true;
      raft->fresh = false;
      raft_record_vote (raft, raft->term, from);
      raftvote_restart_timer (raft, now);
    }
  out->pre = vote->pre;
  out->term = granted && vote->pre ? vote->term : raft->term;
  out->incarnation = raft->incarnation;
  out->granted = granted;
  raft_queue_after_sync (raft, from, &msg);
}

void
raftvote_on_reply (Raft *raft, Peer *peer, const MsgVoted *voted, int64_t now)
{
  uint64_t wanted = voted->pre ? raft->term + 1 : raft->term;

  peer->incarnation = voted->incarnation;
  if (!voted->granted && voted->term > raft->term)
    {
      raft_become_follower (raft, voted->term, 0, now);
      return;
    }
  if (!voted->granted || voted->term != wanted)
    return;
  if (voted->pre)
    peer->granted = true;
  else
    {
      peer->vote_term = voted->term;
      raft_recent_max_add (&raft->answers, now - raft->stood_at, now);
    }
  count_votes (raft, now);
}
