/* rlog.h - Raft log entries in memory and the voter sets that they contain; private to raft*.c. */
#ifndef RLOG_H
#define RLOG_H

#include "codec.h"

typedef struct
{
  GPtrArray *entries;       /* MsgEntry *, from index base + 1 on */
  uint64_t base, base_term; /* index and term of the last entry covered by the snapshot */
  GArray *configs; /* RlogConfig, in order of log index; the first is the voter set as of base */
} Rlog;

/* A voter set (Raft calls it a configuration). */
typedef struct
{
  uint64_t index; /* log index of the entry that contains this voter set */
  unsigned count;
  MsgVoter voters[FT_VOTERS_MAX];
} RlogConfig;

void rlog_init (Rlog *log);
void rlog_clear (Rlog *log);
/* Discards all entries and continues after a snapshot at index base. */
void rlog_reset (Rlog *log, uint64_t base, uint64_t base_term, const MsgVoters *voters);
/* Takes ownership of entry. */
void rlog_append (Rlog *log, MsgEntry *entry);
/* Removes the entry at index first and all later ones. */
void rlog_truncate (Rlog *log, uint64_t first);
/* Removes the entries up to and including index, which a snapshot now covers. */
void rlog_drop_prefix (Rlog *log, uint64_t index);
/* Index of the last entry. */
uint64_t rlog_last (const Rlog *log);
uint64_t rlog_last_term (const Rlog *log);
/* Term of the entry at index; 0: the log does not hold it. */
uint64_t rlog_term (const Rlog *log, uint64_t index);
/* NULL: the log does not hold it. */
MsgEntry *rlog_entry (const Rlog *log, uint64_t index);
/* Bytes of the operations of the entries from first to last, as far as the log holds them. */
size_t rlog_bytes (const Rlog *log, uint64_t first, uint64_t last);
/* The newest voter set, committed or not. Never NULL; its count is 0 before the first
 * voter set is known. */
const RlogConfig *rlog_config (const Rlog *log);
/* True if config contains voter id with this incarnation. */
bool rlog_config_has (const RlogConfig *config, uint32_t id, uint64_t incarnation);
/* The incarnation of voter id in config; 0 if config does not contain it. */
uint64_t rlog_config_incarnation (const RlogConfig *config, uint32_t id);

#endif
