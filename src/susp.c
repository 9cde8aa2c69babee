/* susp.c - a node's part in the quarantine of contents and of beginnings of prompts that crash
 * servers (crashes.c, quarantine.c). The parts of a prompt are its leading blocks (prefix.c), of
 * which each stands for all before it.
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

/* ---- Identifying crashes ---- */

typedef struct
{
  uint32_t server; /* digest */
  int64_t wall_ms; /* of the first report */
} CrashStart;

static int
compare_starts (const void *a, const void *b)
{
  const CrashStart *one = a, *other = b;

  if (one->server != other->server)
    return one->server < other->server ? -1 : 1;
  return (one->wall_ms > other->wall_ms) - (one->wall_ms < other->wall_ms);
}

/* All crashes in the table, by server and time. Servers restart under their names, and instances
 * report one crash of a server at slightly different times. */
static GArray *
list_crashes (const MsgCrashTable *table)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (CrashStart));
  unsigned kept = 0;

  for (unsigned i = 0; i < table->suspects.suspects_len; i++)
    {
      const MsgSuspect *suspect = &table->suspects.suspects_val[i];
      for (unsigned j = 0; j < suspect->latest.latest_len; j++)
        {
          const MsgServerCrash *crash = &suspect->latest.latest_val[j];
          CrashStart start = { quar_server_digest (crash->server), crash->wall_ms };
          g_array_append_val (all, start);
        }
    }
  g_array_sort (all, compare_starts);
  CrashStart *starts = (CrashStart *) (void *) all->data;
  for (unsigned i = 0; i < all->len; i++)
    if (kept == 0 || starts[kept - 1].server != starts[i].server
        || starts[i].wall_ms - starts[kept - 1].wall_ms >= CRASHES_SAME_MS)
      starts[kept++] = starts[i];
  g_array_set_size (all, kept);
  return all;
}

/* The identifier of the crash of the server that was reported at wall_ms. */
static uint32_t
crash_id (const GArray *crashes, uint32_t server, int64_t wall_ms)
{
  uint32_t id = server;

  for (unsigned i = 0; i < crashes->len; i++)
    {
      const CrashStart *start = &g_array_index (crashes, CrashStart, i);
      if (start->server == server && start->wall_ms <= wall_ms)
        id = server ^ (uint32_t) g_int64_hash (&start->wall_ms) * 2654435761u;
    }
  return id;
}

void
susp_update_table (FtNode *node, const MsgCrashTable *crashes)
{
  unsigned count = crashes->suspects.suspects_len;
  QuarRecord *records = g_new0 (QuarRecord, MAX (count, 1));
  uint32_t *servers = g_new0 (uint32_t, MAX (count, 1) * FT_SUSPECT_CRASHES_MAX);
  uint32_t *ids = g_new0 (uint32_t, MAX (count, 1) * FT_SUSPECT_CRASHES_MAX);
  GArray *starts = list_crashes (crashes);

  for (unsigned i = 0; i < count; i++)
    {
      const MsgSuspect *from = &crashes->suspects.suspects_val[i];
      size_t first = (size_t) i * FT_SUSPECT_CRASHES_MAX;
      for (unsigned j = 0; j < from->latest.latest_len; j++)
        {
          const MsgServerCrash *crash = &from->latest.latest_val[j];
          servers[first + j] = quar_server_digest (crash->server);
          ids[first + j] = crash_id (starts, servers[first + j], crash->wall_ms);
        }
      records[i] = (QuarRecord){ .key = from->content,
                                 .ends = from->ends,
                                 .servers = servers + first,
                                 .crashes = ids + first,
                                 .server_count = from->latest.latest_len };
    }
  g_array_unref (starts);
  if (quar_update_table (node->quar, crashes->index, records, count))
    {
      node->blame_index = crashes->index;
      propose_recently_answered (node);
    }
  g_free (ids);
  g_free (servers);
  g_free (records);
}

void
susp_propose_crash (FtNode *node, const char *pool, const char *server, const uint64_t *keys,
                    unsigned count, int64_t wall_ms)
{
  MsgOp op = { .kind = MSG_OP_CRASH };
  char name[2 * FT_NAME_MAX + 1];

  g_snprintf (name, sizeof name, "%s/%s", pool, server);
  for (unsigned i = 0; i < count; i++)
    quar_add_crash (node->quar, keys[i], name, true);
  for (unsigned i = 0; i < count; i += FT_CONTENTS_MAX)
    {
      op.MsgOp_u.ended = (MsgCrash){
        name, wall_ms, { MIN (count - i, FT_CONTENTS_MAX), (u_quad_t *) (void *) (keys + i) }
      };
      prop_submit (node, &op, true);
    }
}

void
susp_on_answer (FtNode *node, const uint64_t *keys, unsigned count)
{
  bool charged = false;

  for (unsigned i = 0; i < count; i++)
    charged |= quar_answered (node->quar, keys[i]);
  if (charged)
    propose_recently_answered (node);
}

uint64_t
ft_node_release_content (FtNode *node, uint64_t content)
{
  return susp_propose_clear (node, &content, 1, false);
}
