/* find.c - questions of auditors, operators and callers that another instance can answer.
 *
 * Kept answers are asked of every instance, all else of the voter in charge.
 */
#include "node.h"

#include <string.h>

typedef struct
{
  uint64_t number;
  FtQueryKind kind;
  char *id;
  int64_t send_at, until;
  unsigned unanswered; /* FT_QUERY_ANSWER: instances that have not replied */
} Find;

void
find_free (void *data)
{
  Find *find = data;

  g_free (find->id);
  g_free (find);
}

static void
send_find (FtNode *node, Find *find, int64_t now)
{
  Msg msg = { .kind = MSG_FIND };

  msg.Msg_u.find.number = find->number;
  msg.Msg_u.find.kind = (MsgFindKind) find->kind;
  msg.Msg_u.find.id = find->id;
  if (find->kind != FT_QUERY_ANSWER)
    {
      find->send_at = now + PROPOSE_EVERY;
      node_send (node, node->guess, &msg);
      return;
    }
  find->send_at = find->until;
  for (unsigned i = 0; i < node->instances->len; i++)
    {
      uint32_t id = g_array_index (node->instances, uint32_t, i);
      if (id == node->conf.id)
        continue;
      find->unanswered++;
      node_send (node, id, &msg);
    }
}

uint64_t
ft_node_query (FtNode *node, FtQueryKind kind, const char *id)
{
  Find *find = g_new0 (Find, 1);

  find->number = node->next_number++;
  find->kind = kind;
  find->id = g_strdup (id);
  find->until = ft_clock_now (node->clock) + FIND_MOST;
  uint64_t number = find->number;
  g_hash_table_insert (node->finds, &find->number, find);
  return number;
}

void
ft_node_reply_query (FtNode *node, uint32_t to, uint64_t number, FtStatus status, const void *body,
                     size_t size)
{
  Msg msg = { .kind = MSG_FOUND };

  msg.Msg_u.found.number = number;
  msg.Msg_u.found.status = status;
  msg.Msg_u.found.body.body_len = (u_int) size;
  msg.Msg_u.found.body.body_val = (char *) (uintptr_t) body;
  node_send (node, to, &msg);
}

void
find_asked (FtNode *node, uint32_t from, const MsgFind *find)
{
  if (find->kind == MSG_FIND_ANSWER)
    node->ops->question (node->host, from, find->number, find->id);
  else if (node->lead)
    lead_find (node->lead, from, find);
}

static void
end_find (FtNode *node, Find *find, FtStatus status, const void *body, size_t size)
{
  uint64_t number = find->number;

  g_hash_table_remove (node->finds, &number);
  node->ops->found (node->host, number, status, body, size);
}

void
find_found (FtNode *node, const MsgFound *found)
{
  uint64_t number = found->number;
  Find *find = g_hash_table_lookup (node->finds, &number);

  if (find == NULL || found->status == FT_NOT_LEADER)
    return;
  if (find->kind == FT_QUERY_ANSWER && found->status != FT_OK && --find->unanswered > 0)
    return;
  end_find (node, find, found->status, found->body.body_val, found->body.body_len);
}

void
find_tick (FtNode *node, int64_t now)
{
  GHashTableIter iter;
  void *data;
  GPtrArray *due = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, node->finds);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    if (now >= ((Find *) data)->send_at)
      g_ptr_array_add (due, data);
  for (unsigned i = 0; i < due->len; i++)
    {
      Find *find = due->pdata[i];
      if (now >= find->until)
        end_find (node, find, FT_NOT_FOUND, "", 0);
      else
        send_find (node, find, now);
    }
  g_ptr_array_unref (due);
}
