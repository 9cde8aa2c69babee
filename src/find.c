/* find.c - queries to other instances, on behalf of operators, auditors and callers.
 *
 * A query for a stored answer goes to every instance, any other to the leader.
 */
#include "node.h"

#include <string.h>

typedef struct
{
  uint64_t number;
  FtQueryKind kind;
  char *id;
  int64_t send_at, deadline;
  unsigned pending; /* FT_QUERY_ANSWER: instances that have not replied */
} Query;

void
find_free (void *data)
{
  Query *query = data;

  g_free (query->id);
  g_free (query);
}

static void
send_query (FtNode *node, Query *query, int64_t now)
{
  Msg msg = { .kind = MSG_QUERY };

  msg.Msg_u.query.number = query->number;
  msg.Msg_u.query.kind = (MsgQueryKind) query->kind;
  msg.Msg_u.query.id = query->id;
  if (query->kind != FT_QUERY_ANSWER)
    {
      query->send_at = now + NODE_RESEND_INTERVAL;
      node_send (node, node->assumed_leader, &msg);
      return;
    }
  query->send_at = query->deadline;
  for (unsigned i = 0; i < node->instances->len; i++)
    {
      uint32_t id = g_array_index (node->instances, uint32_t, i);
      if (id == node->conf.id)
        continue;
      query->pending++;
      node_send (node, id, &msg);
    }
}

uint64_t
ft_node_query (FtNode *node, FtQueryKind kind, const char *id)
{
  Query *query = g_new0 (Query, 1);

  query->number = node->next_number++;
  query->kind = kind;
  query->id = g_strdup (id);
  query->deadline = ft_clock_now (node->clock) + QUERY_TIMEOUT;
  uint64_t number = query->number;
  g_hash_table_insert (node->queries, &query->number, query);
  return number;
}

void
ft_node_reply_query (FtNode *node, uint32_t to, uint64_t number, FtStatus status, const void *body,
                     size_t size)
{
  Msg msg = { .kind = MSG_QUERY_REPLY };

  msg.Msg_u.query_reply.number = number;
  msg.Msg_u.query_reply.status = status;
  msg.Msg_u.query_reply.body.body_len = (u_int) size;
  msg.Msg_u.query_reply.body.body_val = (char *) (uintptr_t) body;
  node_send (node, to, &msg);
}

void
find_on_query (FtNode *node, uint32_t from, const MsgQuery *query)
{
  if (query->kind == MSG_QUERY_ANSWER)
    node->ops->question (node->host, from, query->number, query->id);
  else if (node->lead)
    lead_on_query (node->lead, from, query);
}

static void
end_query (FtNode *node, Query *query, FtStatus status, const void *body, size_t size)
{
  uint64_t number = query->number;

  g_hash_table_remove (node->queries, &number);
  node->ops->found (node->host, number, status, body, size);
}

void
find_on_reply (FtNode *node, const MsgQueryReply *reply)
{
  uint64_t number = reply->number;
  Query *query = g_hash_table_lookup (node->queries, &number);

  if (query == NULL || reply->status == FT_NOT_LEADER)
    return;
  if (query->kind == FT_QUERY_ANSWER && reply->status != FT_OK && --query->pending > 0)
    return;
  end_query (node, query, reply->status, reply->body.body_val, reply->body.body_len);
}

void
find_tick (FtNode *node, int64_t now)
{
  GHashTableIter iter;
  void *data;
  GPtrArray *due = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, node->queries);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    if (now >= ((Query *) data)->send_at)
      g_ptr_array_add (due, data);
  for (unsigned i = 0; i < due->len; i++)
    {
      Query *query = due->pdata[i];
      if (now >= query->deadline)
        end_query (node, query, FT_NOT_FOUND, "", 0);
      else
        send_query (node, query, now);
    }
  g_ptr_array_unref (due);
}
