/* wal.h - the voter's files: identity, snapshot and log; private to wal.c, raft*.c, rlog.c and
 * their tests. */
#ifndef WAL_H
#define WAL_H

#include "codec.h"

/* What wal_open has read. */
typedef struct
{
  uint64_t term;
  uint32_t voted_for;
  uint64_t snapshot_index, snapshot_term;
  GByteArray *snapshot; /* packed MsgState; NULL: none */
  GPtrArray *entries;   /* MsgEntry *, in order, those after the snapshot */
  uint64_t incarnation; /* of the data folder; 0: the folder has no identity yet */
  uint64_t commit;      /* highest index recorded as committed; 0: none */
  uint64_t batch;       /* number of the last batch read */
  size_t truncated;     /* bytes removed from the end of the log */
} WalState;

typedef struct Wal Wal;

/* Reads all files. If the log ends in an incomplete write, the log is truncated before the first
 * damaged record. FT_CORRUPT: other damage, described in *error; the files are not changed. */
FtStatus wal_open (FtDisk *disk, Wal **wal, WalState *state, FtError *error);
void wal_state_clear (WalState *state);
void wal_free (Wal *wal);
/* Writes the folder's incarnation; durable on return. */
FtStatus wal_write_identity (Wal *wal, uint64_t incarnation);
/* The next four append a record that is durable only once wal_sync has returned FT_OK. After a
 * failed write or sync all further writes are refused. */
FtStatus wal_vote (Wal *wal, uint64_t term, uint32_t voted_for);
FtStatus wal_entry (Wal *wal, const MsgEntry *entry);
FtStatus wal_truncate (Wal *wal, uint64_t from);
/* Records that entries up to index are committed, so that a restarted voter knows it before it
 * hears a leader. */
FtStatus wal_commit (Wal *wal, uint64_t index);
FtStatus wal_sync (Wal *wal);
/* Replaces the snapshot, and the log by one that holds only the vote and the given entries; durable
 * on return. FT_FULL: the snapshot could not be written, and the log is as it was. */
FtStatus wal_snapshot (Wal *wal, uint64_t index, uint64_t term, const GByteArray *state,
                       uint64_t vote_term, uint32_t voted_for, MsgEntry *const *entries,
                       unsigned count);
void wal_entry_free (void *entry);
MsgEntry *wal_entry_copy (const MsgEntry *entry);

#endif
