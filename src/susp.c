/* susp.c - a node's part in finding contents that end servers (crashes.c, quarantine.c).
 *
 * What its shell saw is proposed to the log like any operation. What the log says comes with the
 * answers that prove freshness, so an instance that has not heard of an end for FRESH_PROOF_MAX_AGE
 * takes no requests at all.
 */
#include "node.h"

#include <string.h>

#define PROOFS_MOST 16 /* told at once; the others with the next account */

uint64_t
susp_propose_clear (FtNode *node, const uint64_t *contents, unsigned count, bool silent)
{
  MsgOp op = { .kind = MSG_OP_CLEARED };
  u_quad_t list[PROOFS_MOST];

  for (unsigned i = 0; i < count; i++)
    list[i] = contents[i];
  op.MsgOp_u.cleared.contents.contents_len = count;
  op.MsgOp_u.cleared.contents.contents_val = list;
  return prop_submit (node, &op, silent);
}

static void
propose_proofs (FtNode *node)
{
  uint64_t contents[PROOFS_MOST];
  unsigned count = quar_recently_answered (node->quar, contents, PROOFS_MOST);

  if (count > 0)
    susp_propose_clear (node, contents, count, true);
}

void
susp_update_table (FtNode *node, const MsgCrashTable *blame)
{
  unsigned count = blame->suspects.suspects_len;
  QuarRecord *records = g_new0 (QuarRecord, MAX (count, 1));
  uint32_t *servers = g_new0 (uint32_t, MAX (count, 1) * FT_SUSPECT_CRASHES_MAX);

  for (unsigned i = 0; i < count; i++)
    {
      const MsgSuspect *from = &blame->suspects.suspects_val[i];
      uint32_t *of_this = servers + (size_t) i * FT_SUSPECT_CRASHES_MAX;
      for (unsigned j = 0; j < from->latest.latest_len; j++)
        of_this[j] = quar_server_digest (from->latest.latest_val[j].server);
      records[i] = (QuarRecord){ from->content, from->ends, of_this, from->latest.latest_len };
    }
  if (quar_update_table (node->quar, blame->index, records, count))
    {
      node->blame_index = blame->index;
      propose_proofs (node);
    }
  g_free (servers);
  g_free (records);
}

void
susp_propose_crash (FtNode *node, const char *pool, const char *server, uint64_t content,
                    int64_t wall_ms)
{
  MsgOp op = { .kind = MSG_OP_CRASH };
  u_quad_t contents[] = { content };
  char name[2 * FT_NAME_MAX + 1];

  g_snprintf (name, sizeof name, "%s/%s", pool, server);
  op.MsgOp_u.ended = (MsgCrash){ name, wall_ms, { 1, contents } };
  quar_add_crash (node->quar, content, name, true);
  prop_submit (node, &op, true);
}

void
susp_on_answer (FtNode *node, uint64_t content)
{
  if (quar_answered (node->quar, content))
    propose_proofs (node);
}

uint64_t
ft_node_release_content (FtNode *node, uint64_t content)
{
  return susp_propose_clear (node, &content, 1, false);
}
