/* rlog.h - the log's entries in memory and the voters that they name; private to raft.c. */
#ifndef RLOG_H
#define RLOG_H

#include "codec.h"

typedef struct
{
  GPtrArray *entries; /* MsgEntry *, indexes base + 1 and on */
  uint64_t base, base_term;
  GArray *configs; /* RlogConfig, by index, the first is the base's */
} Rlog;

typedef struct
{
  uint64_t index;
  unsigned count;
  MsgVoter voters[FT_VOTERS_MOST];
} RlogConfig;

void rlog_init (Rlog *log);
void rlog_clear (Rlog *log);
/* Starts anew behind a snapshot. */
void rlog_reset (Rlog *log, uint64_t base, uint64_t base_term, const MsgVoters *voters);
/* Takes entry over. */
void rlog_append (Rlog *log, MsgEntry *entry);
void rlog_truncate (Rlog *log, uint64_t from);
/* Drops entries up to index. */
void rlog_drop_prefix (Rlog *log, uint64_t index);
uint64_t rlog_last (const Rlog *log);
uint64_t rlog_last_term (const Rlog *log);
/* 0 for an index that the log does not hold. */
uint64_t rlog_term (const Rlog *log, uint64_t index);
MsgEntry *rlog_entry (const Rlog *log, uint64_t index);
/* The newest voters named, committed or not; never NULL, count 0: none yet. */
const RlogConfig *rlog_config (const Rlog *log);
bool rlog_config_has (const RlogConfig *config, uint32_t id, uint64_t incarnation);
/* The incarnation that stands for id; 0: none. */
uint64_t rlog_config_incarnation (const RlogConfig *config, uint32_t id);

#endif
