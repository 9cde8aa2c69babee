/* raftint.h - one voter's record, shared by raft.c (the log), raftlead.c (leading), raftvote.c
 * (elections) and raftset.c (who votes) only. */
#ifndef RAFTINT_H
#define RAFTINT_H

#include "raft.h"
#include "rlog.h"
#include "wal.h"

/* Tuning that these files share; each row with its reason. */
#define ELECTION_LEAST (600 * FT_MS) /* a new leader within about 1.5 s, of 6 s for a change */
#define PREVOTE_SPREAD (150 * FT_MS) /* voters ask at different times */
#define LEASE          (500 * FT_MS) /* ELECTION_LEAST less clock-rate error and a tick */
#define ROUNDS         128           /* heartbeats whose sending time is remembered: 12 s */
#define PEERS_MOST     16            /* voters, and as many that come in their place */

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
  uint64_t incarnation; /* as it last said; 0: unknown */
  uint64_t next, match;
  int64_t heard;      /* when its last message came */
  int64_t acked_sent; /* when the newest round that it acknowledged was sent */
  bool granted;       /* would vote, of the pre-vote that is open */
  uint64_t vote_term; /* newest term in which it voted for this voter */
  bool blank_known;   /* said that it is blank */
  int64_t blank_at;
  uint64_t blank_incarnation;
} Peer;

typedef struct
{
  uint32_t to;
  GByteArray *bytes;
} Outgoing;

/* The longest wait of a kind lately. */
typedef struct
{
  int64_t longest, ended;
} Wait;

struct Raft
{
  RaftConf conf;
  uint32_t voters[FT_VOTERS_MOST];
  FtClock *clock;
  FtRandom *random;
  State *state;
  const RaftOps *ops;
  void *host;
  Wal *wal;
  Rlog log;
  uint64_t incarnation;
  bool broken;
  Role role;
  uint64_t term;
  uint32_t voted_for, leader;
  bool vote_synced; /* term and voted_for last */
  bool fresh;       /* has heard no leader and given no vote since its start */
  uint64_t commit, applied, synced;
  uint64_t noted;      /* commit index in the log's file */
  uint64_t term_start; /* index of the leader's first entry */
  uint64_t round;
  int64_t round_sent[ROUNDS];
  int64_t election_at, leader_heard, heartbeat_at, blank_at, led_since;
  int64_t stood_at;        /* when votes were last asked for */
  Wait own_syncs, answers; /* of others' answers, which wait for their disks */
  uint64_t led_term;       /* newest term that this voter has led */
  bool must_send;          /* new entries wait to be sent */
  Peer peers[PEERS_MOST];
  unsigned peer_count;
  GArray *outbox; /* Outgoing; behind the next sync */
  GArray *early;  /* Outgoing; before it */
};

/* ---- raft.c ---- */

/* Puts a message behind what the next sync makes lasting. */
void raft_queue_after_sync (Raft *raft, uint32_t to, const Msg *msg);
/* Puts a message that promises nothing of what is not synced yet before the next sync. */
void raft_queue_before_sync (Raft *raft, uint32_t to, const Msg *msg);
void raft_recent_max_add (Wait *wait, int64_t waited, int64_t now);
/* 0: none lately. */
int64_t raft_recent_max_get (const Wait *wait, int64_t now);
FtStatus raft_append_op (Raft *raft, uint64_t term, const MsgOp *op);
/* Writes the term and the vote down. */
void raft_record_vote (Raft *raft, uint64_t term, uint32_t voted_for);
/* leader 0: unknown. */
void raft_become_follower (Raft *raft, uint64_t term, uint32_t leader, int64_t now);
unsigned raft_majority (const RlogConfig *config);
/* Is this voter, with the memory that it has, named in the newest set? */
bool raft_is_voter (const Raft *raft);
/* Applies what is committed, and takes a snapshot when it is time. */
void raft_apply_committed (Raft *raft);

/* ---- Leading (raftlead.c) ---- */

/* The election is won. */
void raftlead_become_leader (Raft *raft, int64_t now);
/* Entries and heartbeats to all. */
void raftlead_broadcast (Raft *raft, int64_t now);
/* Commits what a majority has synced. */
void raftlead_advance_commit (Raft *raft);
void raftlead_on_append_reply (Raft *raft, Peer *peer, const MsgAppended *appended, int64_t now);
void raftlead_tick (Raft *raft, int64_t now);

/* ---- Elections (raftvote.c) ---- */

void raftvote_restart_timer (Raft *raft, int64_t now);
/* pre: asks whether it would win, without a new term. handed_over: the leader asked it to stand. */
void raftvote_start_election (Raft *raft, bool pre, bool handed_over, int64_t now);
void raftvote_on_request (Raft *raft, uint32_t from, const MsgVote *vote, int64_t now);
void raftvote_on_reply (Raft *raft, Peer *peer, const MsgVoted *voted, int64_t now);
/* The own vote lasts: it may decide. */
void raftvote_on_synced (Raft *raft, int64_t now);

/* ---- Who votes (raftset.c) ---- */

/* NULL: unknown. */
Peer *raftset_find_peer (const Raft *raft, uint32_t id);
/* Does the newest set of voters name id? */
bool raftset_is_voter (const Raft *raft, uint32_t id);
/* The peer of that id, made if there is room; NULL: this voter itself, or no room. */
Peer *raftset_add_peer (Raft *raft, uint32_t id);
/* Meets all voters that the log names. */
void raftset_add_voters (Raft *raft);
/* A leader's steps, at most one open at a time: the incarnations that are there are named, ... */
void raftset_reconcile (Raft *raft, int64_t now);
/* ... and one that is gone is dropped when enough others are heard. */
void raftset_remove_dead (Raft *raft, int64_t now);
void raftset_on_blank (Raft *raft, Peer *peer, const MsgBlank *blank, int64_t now);
/* A voter without a log makes itself known, and forms the first set when it may. */
void raftset_tick_blank (Raft *raft, int64_t now);

#endif
