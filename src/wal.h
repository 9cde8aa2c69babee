/* wal.h - the voter's files: identity, snapshot and log; private to wal.c, raft.c and their tests.
 */
#ifndef WAL_H
#define WAL_H

#include "codec.h"

/* What has been read at the start. */
typedef struct
{
  uint64_t term;
  uint32_t voted_for;
  uint64_t snapshot_index, snapshot_term;
  GByteArray *snapshot; /* MsgState, NULL: none */
  GPtrArray *entries;   /* MsgEntry *, in order, after the snapshot */
  uint64_t incarnation; /* of the data folder; 0: the folder is empty */
  uint64_t commit;      /* highest index known to be committed; 0: none was noted */
  uint64_t batch;       /* number of the last batch read */
  size_t cut;           /* bytes of a torn tail that were cut off */
} WalState;

typedef struct Wal Wal;

/* Reads all files. FT_CORRUPT: damage in the middle, named in *error; the files are not changed. */
FtStatus wal_open (FtDisk *disk, Wal **wal, WalState *state, FtError *error);
void wal_state_clear (WalState *state);
void wal_free (Wal *wal);
/* Makes the folder's identity durable at once. */
FtStatus wal_write_identity (Wal *wal, uint64_t incarnation);
/* These last only once wal_sync returned FT_OK. After a failure the wal refuses all writes. */
FtStatus wal_vote (Wal *wal, uint64_t term, uint32_t voted_for);
FtStatus wal_entry (Wal *wal, const MsgEntry *entry);
FtStatus wal_truncate (Wal *wal, uint64_t from);
/* Entries up to index are committed: after a restart they need no leader to be known as such. */
FtStatus wal_commit (Wal *wal, uint64_t index);
FtStatus wal_sync (Wal *wal);
/* Durable when it returns: the snapshot, and a log that holds only the vote and entries. */
FtStatus wal_snapshot (Wal *wal, uint64_t index, uint64_t term, const GByteArray *state,
                       uint64_t vote_term, uint32_t voted_for, MsgEntry *const *entries,
                       unsigned count);
void wal_entry_free (void *entry);
MsgEntry *wal_entry_copy (const MsgEntry *entry);

#endif
