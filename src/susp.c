/* susp.c - a node's part in the quarantine of contents that crash servers (crashes.c,
 * quarantine.c).
 *
 * Crashes that the shell observed are proposed to the log like any other operation. The voters'
 * table of crashes arrives with the replies that prove freshness, so an instance whose table may
 * be older than FRESH_PROOF_MAX_AGE accepts no requests at all.
 */
#include "node.h"

#include <string.h>

#define CLEARED_MAX 16 /* contents in one proposal; the others follow with the next table */

uint64_t
susp_propose_clear (FtNode *node, const uint64_t *contents, unsigned count, bool silent)
{
  MsgOp op = { .kind = MSG_OP_CLEARED };
  u_quad_t list[CLEARED_MAX];

  for (unsigned i = 0; i < count; i++)
    list[i] = contents[i];
  op.MsgOp_u.cleared.contents.contents_len = count;
  op.MsgOp_u.cleared.contents.contents_val = list;
  return prop_submit (node, &op, silent);
}

static void
propose_recently_answered (FtNode *node)
{
  uint64_t contents[CLEARED_MAX];
  unsigned count = quar_recently_answered (node->quar, contents, CLEARED_MAX);

  if (count > 0)
    susp_propose_clear (node, contents, count, true);
}

void
susp_update_table (FtNode *node, const MsgCrashTable *crashes)
{
  unsigned count = crashes->suspects.suspects_len;
  QuarRecord *records = g_new0 (QuarRecord, MAX (count, 1));
  uint32_t *servers = g_new0 (uint32_t, MAX (count, 1) * FT_SUSPECT_CRASHES_MAX);

  for (unsigned i = 0; i < count; i++)
    {
      const MsgSuspect *from = &crashes->suspects.suspects_val[i];
      uint32_t *digests = servers + (size_t) i * FT_SUSPECT_CRASHES_MAX;
      for (unsigned j = 0; j < from->latest.latest_len; j++)
        digests[j] = quar_server_digest (from->latest.latest_val[j].server);
      records[i] = (QuarRecord){ from->content, from->ends, digests, from->latest.latest_len };
    }
  if (quar_update_table (node->quar, crashes->index, records, count))
    {
      node->blame_index = crashes->index;
      propose_recently_answered (node);
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
    propose_recently_answered (node);
}

uint64_t
ft_node_release_content (FtNode *node, uint64_t content)
{
  return susp_propose_clear (node, &content, 1, false);
}
