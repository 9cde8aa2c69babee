/* rlog.h - the log's entries in memory and the voter sets that they name; private to raft*.c. */
#ifndef RLOG_H
#define RLOG_H

#include "codec.h"

typedef struct
{
  GPtrArray *entries;       /* MsgEntry *, from index base + 1 on */
  uint64_t base, base_term; /* index and term of the last entry before them */
  GArray *configs;          /* RlogConfig, by index; the first is the voter set at base */
} Rlog;

/* A voter set (Raft calls it a configuration). */
typedef struct
{
  uint64_t index; /* of the entry that names it */
  unsigned count;
  MsgVoter voters[FT_VOTERS_MAX];
} RlogConfig;

void rlog_init (Rlog *log);
void rlog_clear (Rlog *log);
/* Discards all entries and continues after a snapshot at index base. */
void rlog_reset (Rlog *log, uint64_t base, uint64_t base_term, const MsgVoters *voters);
/* Takes ownership of entry. */
void rlog_append (Rlog *log, MsgEntry *entry);
/* Removes the entries at index from and after it. */
void rlog_truncate (Rlog *log, uint64_t from);
/* Removes the entries up to index. */
void rlog_drop_prefix (Rlog *log, uint64_t index);
/* Index of the last entry. */
uint64_t rlog_last (const Rlog *log);
uint64_t rlog_last_term (const Rlog *log);
/* Term of the entry at index; 0: the log does not hold it. */
uint64_t rlog_term (const Rlog *log, uint64_t index);
/* NULL: the log does not hold it. */
MsgEntry *rlog_entry (const Rlog *log, uint64_t index);
/* The newest voter set, committed or not. Never NULL; count 0: none yet. */
const RlogConfig *rlog_config (const Rlog *log);
/* Does config name id with this incarnation? */
bool rlog_config_has (const RlogConfig *config, uint32_t id, uint64_t incarnation);
/* The incarnation that config names for id; 0: none. */
uint64_t rlog_config_incarnation (const RlogConfig *config, uint32_t id);

#endif
