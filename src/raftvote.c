/* raftvote.c - elections: requesting votes, first in a pre-vote that starts no new term, and
 * granting them.
 *
 * A vote is synced before it is sent (raft_record_vote, raft_queue_after_sync), and is granted only
 * to a candidate whose log is at least as up to date as the voter's. A vote counts for a voter id
 * together with the incarnation of its data folder.
 *
 * Votes are requested before the candidate's own vote is synced, so that the voters' disks work in
 * parallel. The candidate counts its own vote only once it is synced. Votes for the current term
 * still count while the candidate runs another pre-vote; otherwise a disk that takes longer than an
 * election timeout would make every vote arrive too late.
 */
#include "raftint.h"

/* Tuning. */
#define ELECTION_JITTER     (400 * FT_MS) /* keeps voters from starting elections together */
#define PREVOTE_TIMEOUT_MIN (150 * FT_MS) /* short: another pre-vote costs only messages */

void
raftvote_restart_timer (Raft *raft, int64_t now)
{
  raft->election_due = now + ELECTION_TIMEOUT_MIN + raft_recent_max_get (&raft->sync_times, now)
                       + (int64_t) (ft_random_next (raft->random) % (uint64_t) ELECTION_JITTER);
}

static void
request_votes (Raft *raft, bool pre, bool handed_over)
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
      raft->peers[i].prevote_granted = false;
      raft_queue_before_sync (raft, raft->peers[i].id, &msg);
    }
}

static bool
has_vote_from (const Raft *raft, const MsgVoter *voter, bool pre)
{
  const Peer *peer;

  if (voter->id == raft->conf.self)
    return voter->incarnation == raft->incarnation
           && (pre || (raft->vote_synced && raft->voted_for == raft->conf.self));
  peer = raftset_find_peer (raft, voter->id);
  return peer && peer->incarnation == voter->incarnation
         && (pre ? peer->prevote_granted : peer->granted_term == raft->term);
}

static bool
has_majority (const Raft *raft, bool pre)
{
  const RlogConfig *config = rlog_config (&raft->log);
  unsigned granted = 0;

  for (unsigned i = 0; i < config->count; i++)
    granted += has_vote_from (raft, &config->voters[i], pre);
  return granted >= raft_majority (config);
}

static void count_votes (Raft *raft, int64_t now);

void
raftvote_start_election (Raft *raft, bool pre, bool handed_over, int64_t now)
{
  raftvote_restart_timer (raft, now);
  if (pre)
    raft->election_due = now + PREVOTE_TIMEOUT_MIN
                         + (int64_t) (ft_random_next (raft->random) % (uint64_t) PREVOTE_JITTER);
  raft->leader = 0;
  raft->role = pre ? ROLE_PRECANDIDATE : ROLE_CANDIDATE;
  if (!pre)
    {
      raft->just_started = false;
      raft_record_vote (raft, raft->term + 1, raft->conf.self);
      raft->votes_requested_at = now;
    }
  request_votes (raft, pre, handed_over);
  count_votes (raft, now);
}

static void
count_votes (Raft *raft, int64_t now)
{
  if (raft->role != ROLE_PRECANDIDATE && raft->role != ROLE_CANDIDATE)
    return;
  if (raft->last_led_term < raft->term && has_majority (raft, false))
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
log_is_up_to_date (const Raft *raft, const MsgVote *vote)
{
  uint64_t last_term = rlog_last_term (&raft->log);

  return vote->last_term > last_term
         || (vote->last_term == last_term && vote->last_index >= rlog_last (&raft->log));
}

void
raftvote_on_request (Raft *raft, uint32_t from, const MsgVote *vote, int64_t now)
{
  Msg msg = { .kind = MSG_VOTE_REPLY };
  MsgVoteReply *out = &msg.Msg_u.voted;
  bool granted = false;

  /* A voter that was disconnected and starts an election on its return must not replace a working
   * leader. So nobody votes while the leader is heard, which also guarantees the leader's lease. A
   * voter that has just started may have heard a leader before, so it waits too (start_timers). */
  bool leader_alive = !vote->handed_over
                      && (now - raft->leader_heard_at < ELECTION_TIMEOUT_MIN
                          || (raft->role == ROLE_LEADER && raft_leading (raft)));
  if (!leader_alive && vote->term > raft->term && !vote->pre)
    raft_become_follower (raft, vote->term, 0, now);
  if (leader_alive)
    granted = false;
  else if (vote->pre)
    granted = vote->term > raft->term && log_is_up_to_date (raft, vote);
  else if (vote->term == raft->term && raft->role == ROLE_FOLLOWER
           && (raft->voted_for == 0 || raft->voted_for == from) && log_is_up_to_date (raft, vote))
    {
      granted = true;
      raft->just_started = false;
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
raftvote_on_reply (Raft *raft, Peer *peer, const MsgVoteReply *voted, int64_t now)
{
  uint64_t expected_term = voted->pre ? raft->term + 1 : raft->term;

  peer->incarnation = voted->incarnation;
  if (!voted->granted && voted->term > raft->term)
    {
      raft_become_follower (raft, voted->term, 0, now);
      return;
    }
  if (!voted->granted || voted->term != expected_term)
    return;
  if (voted->pre)
    peer->prevote_granted = true;
  else
    {
      peer->granted_term = voted->term;
      raft_recent_max_add (&raft->reply_times, now - raft->votes_requested_at, now);
    }
  count_votes (raft, now);
}
