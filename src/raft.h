/* raft.h - one voter of the replicated log; private to the library. */
#ifndef RAFT_H
#define RAFT_H

#include "state.h"

typedef struct Raft Raft;

typedef struct
{
  /* Sends a packed Msg, which the callee must unref. Called from raft_flush only. */
  void (*send) (void *host, uint32_t to, GByteArray *msg);
  /* Called after a committed operation has been applied to the state. */
  void (*apply) (void *host, uint64_t index, const MsgOp *op, const StateResult *result);
} RaftOps;

typedef struct
{
  uint32_t self;
  const uint32_t *voters;  /* ids of all voters, including self; copied */
  unsigned count;          /* 1 to FT_VOTERS_MAX */
  uint64_t snapshot_after; /* entries applied before a snapshot is taken; 0: RAFT_SNAPSHOT_AFTER */
  size_t snapshot_bytes;   /* of entries applied before a snapshot is taken; 0: their number alone
                              decides */
  bool discover;           /* voters lists only the first voter set; other instances may join the
                              set while it runs */
  bool may_bootstrap;      /* with discover: the whole deployment starts for the first time, so this
                              voter may create the first voter set */
  unsigned min_voters; /* with discover: a voter that is silent for long is removed while the set
                          has more than this many; 0: never */
} RaftConf;

#define RAFT_SNAPSHOT_AFTER 8192

/* Loads the voter's files. Fails with FT_CORRUPT and the place of the damage, or with FT_IO. */
FtStatus raft_new (const RaftConf *conf, FtClock *clock, FtRandom *random, FtDisk *disk,
                   State *state, const RaftOps *ops, void *host, Raft **raft, FtError *error);
void raft_free (Raft *raft);
/* Handles a Raft message of another voter; other kinds of message are ignored. */
void raft_receive (Raft *raft, uint32_t from, const Msg *msg);
/* Runs the timers; call it about every 20 ms. */
void raft_tick (Raft *raft);
/* With discover: adds instance id as a peer, which may become a voter. */
void raft_add_peer (Raft *raft, uint32_t id);
/* If this voter leads, it steps down and asks the most up-to-date voter to start an election. */
void raft_transfer_leadership (Raft *raft);
/* When raft_leading turns false if no more acknowledgements arrive; 0: not leading. */
int64_t raft_lease_until (Raft *raft);
/* Writes the ids of the newest voter set, at most FT_VOTERS_MAX. Returns how many. */
unsigned raft_voters (const Raft *raft, uint32_t *ids);
/* Appends an operation to the log and sets *index to its index. FT_NOT_LEADER; FT_FULL while too
 * many entries are uncommitted. */
FtStatus raft_propose (Raft *raft, const MsgOp *op, uint64_t *index);
/* Syncs pending writes, then sends the messages that depend on them. Call after each batch of
 * events. */
void raft_flush (Raft *raft);
/* Is this voter the leader with a valid lease, so that no other voter can lead now? */
bool raft_leading (Raft *raft);
/* When it became leader, microseconds; meaningful while raft_leading. */
int64_t raft_leading_since (const Raft *raft);
/* The leader as far as this voter knows; 0: unknown. */
uint32_t raft_leader (const Raft *raft);
uint64_t raft_term (const Raft *raft);
uint64_t raft_commit (const Raft *raft);
uint64_t raft_incarnation (const Raft *raft);
/* Storage has failed; the voter takes no part until it is restarted. */
bool raft_storage_failed (const Raft *raft);
/* Does the newest voter set name this id with the incarnation of its data folder? */
bool raft_is_member (const Raft *raft);

#endif
