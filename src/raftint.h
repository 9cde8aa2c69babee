/* raftint.h - the internal state of a voter; included only by raft.c (log and interface),
 * raftlead.c (leader), raftvote.c (elections) and raftset.c (voter set). */
#ifndef RAFTINT_H
#define RAFTINT_H

#include "raft.h"
#include "rlog.h"
#include "wal.h"

/* Tuning shared by these files. */
#define ELECTION_TIMEOUT_MIN                                                                       \
  (600 * FT_MS) /* elects a new leader within about 1.5 s; a change may take 6 s */
#define PREVOTE_JITTER (150 * FT_MS) /* keeps voters from asking at the same time */
#define LEASE_TIME     (500 * FT_MS) /* ELECTION_TIMEOUT_MIN less the clock rate error and one tick */
#define ROUND_HISTORY  128           /* heartbeats whose sending time is kept: 12 s */
#define MAX_PEERS      16            /* the voters, and as many that replace them */

typedef enum
{
  ROLE_FOLLOWER,
  ROLE_PRECANDIDATE,
  ROLE_CANDIDATE,
  ROLE_LEADER
} Role;

typedef struct
{
  uint32_t id;
  uint64_t incarnation;       /* from its last reply; 0: unknown */
  uint64_t next, match;       /* Raft's nextIndex and matchIndex */
  size_t unanswered_bytes;    /* of entries and snapshots sent since its last reply */
  int64_t heard_at;           /* when its last message arrived */
  int64_t acked_sent_at;      /* when the newest round that it acknowledged was sent */
  bool prevote_granted;       /* in the current pre-vote */
  uint64_t granted_term;      /* newest term in which it voted for this voter */
  bool is_blank;              /* its last MSG_BOOTSTRAP said that its log is empty */
  int64_t blank_at;           /* when that message arrived */
  uint64_t blank_incarnation; /* the incarnation that it named */
} Peer;

typedef struct
{
  uint32_t to;
  GByteArray *bytes;
} Outgoing;

/* The largest of the recent durations of a kind. */
typedef struct
{
  int64_t value, seen_at;
} RecentMax;

struct Raft
{
  RaftConf conf;
  uint32_t voters[FT_VOTERS_MAX];
  FtClock *clock;
  FtRandom *random;
  State *state;
  const RaftOps *ops;
  void *host;
  Wal *wal;
  Rlog log;
  uint64_t incarnation;
  bool storage_failed;
  Role role;
  uint64_t term;
  uint32_t voted_for, leader;
  bool vote_synced;  /* term and voted_for are on disk */
  bool just_started; /* has followed no leader and cast no vote since it started */
  uint64_t commit, applied, synced;
  int64_t snapshot_at;    /* no snapshot is taken before, as the last could not be written */
  size_t applied_bytes;   /* of entries applied since the last snapshot */
  uint64_t commit_logged; /* commit index last written to the log file */
  uint64_t term_start;    /* index of the first entry of the term that this voter leads */
  uint64_t round;         /* number of the last heartbeat or broadcast */
  int64_t round_sent[ROUND_HISTORY];
  int64_t election_due, leader_heard_at, heartbeat_due, blank_due, leader_since;
  int64_t votes_requested_at;
  RecentMax sync_times;   /* of this voter's disk */
  RecentMax reply_times;  /* of other voters, which sync before they reply */
  uint64_t last_led_term; /* newest term in which this voter was leader */
  bool send_pending;      /* a broadcast is due at the next flush */
  Peer peers[MAX_PEERS];
  unsigned peer_count;
  GArray *after_sync;  /* Outgoing; sent after the next sync */
  GArray *before_sync; /* Outgoing; sent before it */
};

/* ---- raft.c ---- */

/* Queues a message that depends on what the next sync makes durable. */
void raft_queue_after_sync (Raft *raft, uint32_t to, const Msg *msg);
/* Queues a message that does not depend on unsynced data; it is sent before the next sync. */
void raft_queue_before_sync (Raft *raft, uint32_t to, const Msg *msg);
void raft_recent_max_add (RecentMax *max, int64_t value, int64_t now);
/* 0: none recently. */
int64_t raft_recent_max_get (const RecentMax *max, int64_t now);
FtStatus raft_append_op (Raft *raft, uint64_t term, const MsgOp *op);
/* Sets the term and the vote, and writes both to the log file. */
void raft_record_vote (Raft *raft, uint64_t term, uint32_t voted_for);
/* leader 0: unknown. */
void raft_become_follower (Raft *raft, uint64_t term, uint32_t leader, int64_t now);
unsigned raft_majority (const RlogConfig *config);
/* Does the newest voter set name this voter with its incarnation? */
bool raft_is_voter (const Raft *raft);
/* Applies committed entries, then takes a snapshot if enough were applied. */
void raft_apply_committed (Raft *raft);

/* ---- Leader (raftlead.c) ---- */

/* Called when the election is won. */
void raftlead_become_leader (Raft *raft, int64_t now);
/* Queues new entries, or an empty heartbeat, for every peer. */
void raftlead_broadcast (Raft *raft, int64_t now);
/* Commits the entries that a majority has synced. */
void raftlead_advance_commit (Raft *raft);
void raftlead_on_append_reply (Raft *raft, Peer *peer, const MsgAppendReply *appended, int64_t now);
void raftlead_tick (Raft *raft, int64_t now);

/* ---- Elections (raftvote.c) ---- */

void raftvote_restart_timer (Raft *raft, int64_t now);
/* pre: a pre-vote, which asks whether it would win and starts no new term. handed_over: the leader
 * asked this voter to start the election. */
void raftvote_start_election (Raft *raft, bool pre, bool handed_over, int64_t now);
void raftvote_on_request (Raft *raft, uint32_t from, const MsgVote *vote, int64_t now);
void raftvote_on_reply (Raft *raft, Peer *peer, const MsgVoteReply *voted, int64_t now);
/* Called after a sync: this voter's vote for itself is durable now and may win the election. */
void raftvote_on_synced (Raft *raft, int64_t now);

/* ---- Voter set (raftset.c) ---- */

/* NULL: unknown. */
Peer *raftset_find_peer (const Raft *raft, uint32_t id);
/* Does the newest voter set name id? */
bool raftset_is_voter (const Raft *raft, uint32_t id);
/* Returns the peer of that id, added if there is room; NULL: this voter itself, or no room. */
Peer *raftset_add_peer (Raft *raft, uint32_t id);
/* Adds a peer for every voter that the log names. */
void raftset_add_voters (Raft *raft);
/* On the leader: proposes one change of the voter set, if none is open, so that it names the
 * current incarnations of the peers that have caught up. */
void raftset_reconcile (Raft *raft, int64_t now);
/* On the leader: removes a voter that has been silent for long if enough others are heard. */
void raftset_remove_dead (Raft *raft, int64_t now);
void raftset_on_blank (Raft *raft, Peer *peer, const MsgBootstrap *blank, int64_t now);
/* Sends MSG_BOOTSTRAP to all peers, and creates the first voter set if this voter may. */
void raftset_tick_blank (Raft *raft, int64_t now);

#endif
