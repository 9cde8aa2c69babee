/* prop.c - operations that this instance proposes to the replicated log.
 *
 * A proposal is sent to the voter that is assumed to lead, and again every NODE_RESEND_INTERVAL
 * until there is a verdict or PROPOSAL_TIMEOUT has passed. A proposal that reaches the log twice
 * has no further effect: changes are identified by their id, claims by key and request, refusals by
 * request, crashes by server and time.
 */
#include "node.h"

#include <string.h>

typedef struct
{
  uint64_t number;
  GByteArray *op;
  int64_t send_at, deadline;
  bool silent;          /* proposed by the node itself: ops->verdict is not called */
  char *crashed_server; /* the server whose crash it reports; NULL: another operation */
} Proposal;

void
prop_free (void *data)
{
  Proposal *proposal = data;

  g_byte_array_unref (proposal->op);
  g_free (proposal->crashed_server);
  g_free (proposal);
}

static void
send_proposal (FtNode *node, Proposal *proposal, int64_t now)
{
  Msg msg = { .kind = MSG_PROPOSE };

  proposal->send_at = now + NODE_RESEND_INTERVAL;
  msg.Msg_u.propose.number = proposal->number;
  msg.Msg_u.propose.op.op_len = proposal->op->len;
  msg.Msg_u.propose.op.op_val = (char *) proposal->op->data;
  node_send (node, node->assumed_leader, &msg);
}

uint64_t
prop_submit (FtNode *node, const MsgOp *op, bool silent)
{
  int64_t now = ft_clock_now (node->clock);
  Proposal *proposal = g_new0 (Proposal, 1);
  GByteArray *bytes = codec_pack (CODEC (MsgOp), op);

  proposal->number = node->next_number++;
  /* An operation too long to encode is sent empty, and the leader answers FT_INVALID. */
  proposal->op = bytes ? bytes : g_byte_array_new ();
  proposal->deadline = now + PROPOSAL_TIMEOUT;
  proposal->silent = silent;
  if (op->kind == MSG_OP_CRASH)
    proposal->crashed_server = g_strdup (op->MsgOp_u.ended.server);
  uint64_t number = proposal->number;
  g_hash_table_insert (node->proposals, &proposal->number, proposal);
  /* Sent by the next flush, so that the caller has the number before the verdict can come. */
  proposal->send_at = 0;
  return number;
}

static void
end_proposal (FtNode *node, Proposal *proposal, FtStatus status, uint64_t revision,
              const char *text)
{
  bool silent = proposal->silent;
  uint64_t number = proposal->number;

  /* Also after a timeout: evidence that only this instance has would block the content for ever. */
  if (proposal->crashed_server)
    quar_crash_recorded (node->quar, proposal->crashed_server);
  g_hash_table_remove (node->proposals, &number);
  if (!silent)
    node->ops->verdict (node->host, number, status, revision, text);
}

void
prop_on_verdict (FtNode *node, uint32_t from, const MsgVerdict *verdict)
{
  uint64_t number = verdict->number;
  Proposal *proposal = g_hash_table_lookup (node->proposals, &number);

  if (verdict->status == FT_NOT_LEADER)
    {
      /* Ask the named leader next, and count the hint as an answer. Otherwise the next hello, still
       * without an answer, would move on to another voter, and with three voters the leader might
       * never be asked. */
      if (verdict->leader && from == node->assumed_leader && verdict->leader != from)
        {
          node->assumed_leader = verdict->leader;
          node->answered_at = ft_clock_now (node->clock);
          node->next_hello_at = 0;
        }
      return; /* prop_tick sends the proposal again */
    }
  node->assumed_leader = from;
  if (proposal == NULL || verdict->status == FT_FULL || verdict->status == FT_IO)
    return; /* may be temporary: prop_tick sends the proposal again */
  end_proposal (node, proposal, verdict->status, verdict->revision, verdict->text);
}

void
prop_tick (FtNode *node, int64_t now)
{
  GHashTableIter iter;
  void *data;
  GPtrArray *due = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, node->proposals);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    if (now >= ((Proposal *) data)->send_at)
      g_ptr_array_add (due, data);
  for (unsigned i = 0; i < due->len; i++)
    {
      Proposal *proposal = due->pdata[i];
      if (now >= proposal->deadline)
        end_proposal (
            node, proposal, FT_NOT_LEADER, 0,
            "no majority of voters answered; the outcome is unknown, send the same again");
      else
        send_proposal (node, proposal, now);
    }
  g_ptr_array_unref (due);
}

uint64_t
ft_node_propose_catalogue (FtNode *node, const char *change_id, const char *author, uint64_t base,
                           const char *text, int64_t wall_ms)
{
  MsgOp op = { .kind = MSG_OP_CHANGE };
  MsgChange *change = &op.MsgOp_u.change;

  change->change_id = (char *) change_id;
  change->author = (char *) author;
  change->base = base;
  change->wall_ms = wall_ms;
  change->catalogue = (char *) text;
  return prop_submit (node, &op, false);
}

uint64_t
ft_node_claim (FtNode *node, const char *key, const char *digest, const char *request_id,
               int64_t wall_ms)
{
  MsgOp op = { .kind = MSG_OP_CLAIM };
  MsgClaim *claim = &op.MsgOp_u.claim;

  claim->key = (char *) key;
  claim->digest = (char *) digest;
  claim->entry = node->conf.id;
  claim->incarnation = node->conf.incarnation;
  claim->request_id = (char *) request_id;
  claim->wall_ms = wall_ms;
  return prop_submit (node, &op, false);
}

uint64_t
ft_node_end_claim (FtNode *node, const char *key, const char *request_id, FtClaimOutcome end,
                   int64_t wall_ms)
{
  MsgOp op = { .kind = MSG_OP_CLAIM_END };
  MsgClaimDone *done = &op.MsgOp_u.claim_done;

  done->key = (char *) key;
  done->entry = node->conf.id;
  done->incarnation = node->conf.incarnation;
  done->request_id = (char *) request_id;
  done->end = (MsgClaimEnd) end;
  done->wall_ms = wall_ms;
  return prop_submit (node, &op, false);
}

void
ft_node_record_refusal (FtNode *node, const char *id, const char *org, FtReason reason,
                        unsigned tier, int64_t retry_after_ms, const char *rule, int64_t wall_ms)
{
  MsgRefusalRecord record = { 0 };

  record.id = strdup (id);
  record.org = strdup (org);
  record.reason = reason;
  record.tier = tier;
  record.revision = node->cat ? ft_cat_revision (node->cat) : 0;
  record.retry_after_ms = retry_after_ms;
  record.wall_ms = wall_ms;
  record.rule = strdup (rule);
  g_array_append_val (node->refusals, record);
}

void
prop_submit_refusals (FtNode *node, int64_t now)
{
  MsgOp op = { .kind = MSG_OP_REFUSALS };
  unsigned count = MIN (node->refusals->len, REFUSALS_BATCH_MAX);

  if (count == 0 || (now < node->refusals_due_at && count < REFUSALS_BATCH_MAX))
    return;
  node->refusals_due_at = now + REFUSALS_INTERVAL;
  op.MsgOp_u.refusals.records.records_len = count;
  op.MsgOp_u.refusals.records.records_val = (MsgRefusalRecord *) (void *) node->refusals->data;
  prop_submit (node, &op, true);
  for (unsigned i = 0; i < count; i++)
    codec_clear (CODEC (MsgRefusalRecord), &g_array_index (node->refusals, MsgRefusalRecord, i));
  g_array_remove_range (node->refusals, 0, count);
}
