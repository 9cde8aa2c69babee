/* raft.h - one control voter: the replicated log; private to the library. */
#ifndef RAFT_H
#define RAFT_H

#include "state.h"

typedef struct Raft Raft;

typedef struct
{
  /* The packed Msg is the receiver's to unref. Called from raft_flush only. */
  void (*send) (void *host, uint32_t to, GByteArray *msg);
  /* An operation was committed and applied to the state. */
  void (*apply) (void *host, uint64_t index, const MsgOp *op, const StateResult *verdict);
} RaftOps;

typedef struct
{
  uint32_t self;
  const uint32_t *voters;  /* ids of all voters, self among them; copied */
  unsigned count;          /* 1 to FT_VOTERS_MOST */
  uint64_t snapshot_after; /* entries applied before a snapshot is taken; 0: RAFT_SNAPSHOT_AFTER */
  bool found;              /* members are found while running: voters names only those that form
                              the first set, and any instance that asks may join */
  bool may_bootstrap;      /* with found: the whole deployment starts for the first time */
  unsigned least; /* with found: a voter that is gone is dropped while more than so many are
                     left; 0: never */
} RaftConf;

#define RAFT_SNAPSHOT_AFTER 8192

/* Reads the voter's files. Fails with FT_CORRUPT and the place of the damage, or FT_IO. */
FtStatus raft_new (const RaftConf *conf, FtClock *clock, FtRandom *random, FtDisk *disk,
                   State *state, const RaftOps *ops, void *host, Raft **raft, FtError *error);
void raft_free (Raft *raft);
/* A message of another voter, of the kinds MSG_VOTE to MSG_BLANK. */
void raft_receive (Raft *raft, uint32_t from, const Msg *msg);
/* Call every 20 ms or so. */
void raft_tick (Raft *raft);
/* With found: id takes part, or wants to. */
void raft_add_peer (Raft *raft, uint32_t id);
/* A leader steps down in favour of the voter that holds most; others do nothing. */
void raft_transfer_leadership (Raft *raft);
/* Until when raft_leading stays true if nothing more is heard; 0: not leading. */
int64_t raft_lease_until (Raft *raft);
/* Ids of the voters that the log names, at most FT_VOTERS_MOST. Returns how many. */
unsigned raft_voters (const Raft *raft, uint32_t *ids);
/* FT_NOT_LEADER, FT_FULL while too much is uncommitted, or FT_OK with the operation's index. */
FtStatus raft_propose (Raft *raft, const MsgOp *op, uint64_t *index);
/* Syncs what was written and only then sends what promises it. Call after each batch of events. */
void raft_flush (Raft *raft);
/* In charge, and proved so lately enough that nobody else can be. */
bool raft_leading (Raft *raft);
/* Since when, microseconds; meaningful while raft_leading. */
int64_t raft_leading_since (const Raft *raft);
/* Whom this voter believes to lead; 0: unknown. */
uint32_t raft_leader (const Raft *raft);
uint64_t raft_term (const Raft *raft);
uint64_t raft_commit (const Raft *raft);
uint64_t raft_incarnation (const Raft *raft);
/* Storage failed: the voter takes no part until it is restarted. */
bool raft_storage_failed (const Raft *raft);
/* A voter whose memory the log vouches for. */
bool raft_is_member (const Raft *raft);

#endif
