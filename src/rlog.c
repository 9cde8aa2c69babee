/* rlog.c - the replicated log's entries in memory, and the voter sets that they name. */
#include "rlog.h"
#include "wal.h"

#include <string.h>

void
rlog_init (Rlog *log)
{
  memset (log, 0, sizeof *log);
  log->entries = g_ptr_array_new_with_free_func (wal_entry_free);
  log->configs = g_array_new (FALSE, TRUE, sizeof (RlogConfig));
  g_array_set_size (log->configs, 1);
}

void
rlog_clear (Rlog *log)
{
  g_ptr_array_unref (log->entries);
  g_array_unref (log->configs);
}

static RlogConfig
make_config (uint64_t index, const MsgVoters *voters)
{
  RlogConfig config = { .index = index, .count = voters->voters.voters_len };

  for (unsigned i = 0; i < config.count; i++)
    config.voters[i] = voters->voters.voters_val[i];
  return config;
}

void
rlog_reset (Rlog *log, uint64_t base, uint64_t base_term, const MsgVoters *voters)
{
  RlogConfig config = make_config (base, voters);

  g_ptr_array_set_size (log->entries, 0);
  g_array_set_size (log->configs, 0);
  g_array_append_val (log->configs, config);
  log->base = base;
  log->base_term = base_term;
}

void
rlog_append (Rlog *log, MsgEntry *entry)
{
  MsgOp op = { 0 };
  uint32_t kind = 0;

  g_ptr_array_add (log->entries, entry);
  if (entry->op.op_len < 4)
    return;
  memcpy (&kind, entry->op.op_val, 4); /* a packed union starts with its kind */
  if (GUINT32_FROM_BE (kind) != MSG_OP_VOTERS)
    return;
  if (codec_unpack (CODEC (MsgOp), entry->op.op_val, entry->op.op_len, &op, NULL) == FT_OK)
    {
      RlogConfig config = make_config (entry->index, &op.MsgOp_u.voters);
      g_array_append_val (log->configs, config);
    }
  codec_clear (CODEC (MsgOp), &op);
}

void
rlog_truncate (Rlog *log, uint64_t first)
{
  if (first <= rlog_last (log))
    g_ptr_array_set_size (log->entries, (int) (first - log->base - 1));
  while (log->configs->len > 1 && rlog_config (log)->index >= first)
    g_array_set_size (log->configs, log->configs->len - 1);
}

void
rlog_drop_prefix (Rlog *log, uint64_t index)
{
  log->base_term = rlog_term (log, index);
  g_ptr_array_remove_range (log->entries, 0, (guint) (index - log->base));
  log->base = index;
  while (log->configs->len > 1 && g_array_index (log->configs, RlogConfig, 1).index <= index)
    g_array_remove_index (log->configs, 0);
}

uint64_t
rlog_last (const Rlog *log)
{
  return log->base + log->entries->len;
}

uint64_t
rlog_last_term (const Rlog *log)
{
  return rlog_term (log, rlog_last (log));
}

uint64_t
rlog_term (const Rlog *log, uint64_t index)
{
  if (index == log->base)
    return log->base_term;
  MsgEntry *entry = rlog_entry (log, index);
  return entry ? entry->term : 0;
}

MsgEntry *
rlog_entry (const Rlog *log, uint64_t index)
{
  if (index <= log->base || index > rlog_last (log))
    return NULL;
  return log->entries->pdata[index - log->base - 1];
}

size_t
rlog_bytes (const Rlog *log, uint64_t first, uint64_t last)
{
  size_t bytes = 0;

  for (uint64_t i = MAX (first, log->base + 1); i <= MIN (last, rlog_last (log)); i++)
    bytes += rlog_entry (log, i)->op.op_len;
  return bytes;
}

const RlogConfig *
rlog_config (const Rlog *log)
{
  return &g_array_index (log->configs, RlogConfig, log->configs->len - 1);
}

bool
rlog_config_has (const RlogConfig *config, uint32_t id, uint64_t incarnation)
{
  return incarnation != 0 && rlog_config_incarnation (config, id) == incarnation;
}

uint64_t
rlog_config_incarnation (const RlogConfig *config, uint32_t id)
{
  for (unsigned i = 0; i < config->count; i++)
    if (config->voters[i].id == id)
      return config->voters[i].incarnation;
  return 0;
}
