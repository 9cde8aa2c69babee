/* ent.c - requests that this instance owns as their entry, and messages about them to the pools'
 * schedulers.
 *
 * Only the entry that owns a request dispatches it, so a failed scheduler cannot cause a second
 * dispatch. A scheduler's state is a copy of what the entries know: when a pool's lease moves, the
 * new holder sends MSG_REPORT_REQUEST and each entry sends all its requests in the pool again.
 * Decisions of an older epoch are ignored.
 */
#include "node.h"

#include <string.h>

typedef struct
{
  char *name;
  uint32_t holder; /* 0: unknown */
  uint64_t epoch;
  struct cds_list_head requests;
} EntPool;

typedef struct
{
  struct cds_list_head link;
  uint64_t request;
  EntPool *pool;
  char *org, *class_name, *server;
  unsigned prompt_tokens, most_tokens, tokens;
  int64_t first_token_due, answer_due; /* monotonic time */
  MsgAskState state;
  Fingerprint *print; /* NULL: the content is not known */
  bool withheld;      /* not sent to the scheduler until it is found safe or quarantined */
  unsigned block_count;
  uint64_t blocks[];
} EntReq;

struct EntTable
{
  FtNode *node;
  GHashTable *pools;    /* name -> EntPool */
  GHashTable *requests; /* &EntReq.request -> EntReq */
};

static void
pool_free (void *data)
{
  EntPool *pool = data;

  g_free (pool->name);
  g_free (pool);
}

static void
request_free (EntReq *req)
{
  g_free (req->org);
  g_free (req->class_name);
  g_free (req->server);
  fingerprint_unref (req->print);
  g_free (req);
}

EntTable *
ent_new (FtNode *node)
{
  EntTable *ent = g_new0 (EntTable, 1);

  ent->node = node;
  ent->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free);
  ent->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  return ent;
}

void
ent_free (EntTable *ent)
{
  GHashTableIter iter;
  void *req;

  g_hash_table_iter_init (&iter, ent->requests);
  while (g_hash_table_iter_next (&iter, NULL, &req))
    request_free (req);
  g_hash_table_unref (ent->requests);
  g_hash_table_unref (ent->pools);
  g_free (ent);
}

unsigned
ent_count (const EntTable *ent)
{
  return g_hash_table_size (ent->requests);
}

static EntPool *
find_pool (EntTable *ent, const char *name)
{
  EntPool *pool = g_hash_table_lookup (ent->pools, name);

  if (pool == NULL)
    {
      pool = g_new0 (EntPool, 1);
      pool->name = g_strdup (name);
      CDS_INIT_LIST_HEAD (&pool->requests);
      g_hash_table_insert (ent->pools, pool->name, pool);
    }
  return pool;
}

static EntReq *
find_request (EntTable *ent, uint64_t request)
{
  return g_hash_table_lookup (ent->requests, &request);
}

static void
send_request (EntTable *ent, EntReq *req, uint32_t to)
{
  int64_t now = ft_clock_now (ent->node->clock);
  Msg msg = { .kind = MSG_ASK };
  MsgAsk *ask = &msg.Msg_u.ask;

  ask->pool = req->pool->name;
  ask->request = req->request;
  ask->org = req->org;
  ask->class_name = req->class_name;
  ask->prompt_tokens = req->prompt_tokens;
  ask->most_tokens = req->most_tokens;
  ask->first_in_us = req->first_token_due - now;
  ask->due_in_us = req->answer_due - now;
  ask->blocks.blocks_len = req->block_count;
  ask->blocks.blocks_val = (void *) req->blocks;
  ask->state = req->state;
  ask->server = req->server ? req->server : (char *) "";
  ask->tokens = req->tokens;
  if (to == ent->node->conf.id)
    hold_on_ask (ent->node->hold, to, ask);
  else
    node_send (ent->node, to, &msg);
}

static bool
must_withhold (const EntTable *ent, const EntReq *req)
{
  return req->print
         && quar_check_keys (ent->node->quar, req->print->keys, req->print->count).state
                >= QUAR_RECHECK;
}

/* Sends a request to the scheduler unless too many servers have crashed while running its content.
 * A request that crashes its server is sent again by its caller and would crash one server after
 * another, with the streams of others on them. ent_tick decides what happens to a withheld request.
 */
static void
submit_request (EntTable *ent, EntReq *req, uint32_t to)
{
  if (req->state == MSG_ASK_WAITING && must_withhold (ent, req))
    req->withheld = true;
  if (!req->withheld)
    send_request (ent, req, to);
}

bool
ent_set_holder (EntTable *ent, const char *name, uint32_t holder, uint64_t epoch)
{
  EntPool *pool = find_pool (ent, name);

  if (epoch < pool->epoch)
    return false;
  pool->holder = holder;
  pool->epoch = epoch;
  return true;
}

void
ent_report_requests (EntTable *ent, const char *name, uint32_t to, uint64_t epoch)
{
  EntPool *pool = find_pool (ent, name);
  Msg msg = { .kind = MSG_REPORT_END };
  MsgReportEnd *end = &msg.Msg_u.report_end;
  GPtrArray *all = g_ptr_array_new ();
  EntReq *req;

  cds_list_for_each_entry (req, &pool->requests, link) g_ptr_array_add (all, req);
  for (unsigned i = 0; i < all->len; i++) /* a decision may come at once and change the list */
    submit_request (ent, all->pdata[i], to);
  g_ptr_array_unref (all);
  end->pool = pool->name;
  end->epoch = epoch;
  if (to == ent->node->conf.id)
    hold_on_report_end (ent->node->hold, to, end);
  else
    node_send (ent->node, to, &msg);
}

FtStatus
ft_node_submit (FtNode *node, const FtNodeRequest *ask)
{
  EntTable *ent = node->ent;
  int64_t now = ft_clock_now (node->clock);
  unsigned blocks = MIN (ask->block_count, FT_BLOCKS_MAX);

  if (find_request (ent, ask->request))
    return FT_CONFLICT;
  EntReq *req = g_malloc0 (sizeof (EntReq) + blocks * sizeof (uint64_t));
  req->request = ask->request;
  req->pool = find_pool (ent, ask->pool);
  req->org = g_strdup (ask->org);
  req->class_name = g_strdup (ask->class_name);
  req->prompt_tokens = ask->prompt_tokens;
  req->most_tokens = ask->most_tokens;
  if (ask->content)
    req->print = fingerprint_new (ask->content, ask->pool, ask->blocks, blocks);
  req->first_token_due = now + ask->first_token_in_us;
  req->answer_due = now + ask->deadline_in_us;
  req->block_count = blocks;
  if (blocks)
    memcpy (req->blocks, ask->blocks, blocks * sizeof (uint64_t));
  g_hash_table_insert (ent->requests, &req->request, req);
  cds_list_add_tail (&req->link, &req->pool->requests);
  if (req->pool->holder)
    submit_request (ent, req, req->pool->holder);
  return FT_OK;
}

static void
remove_request (EntTable *ent, EntReq *req)
{
  g_hash_table_remove (ent->requests, &req->request);
  cds_list_del (&req->link);
  request_free (req);
}

void
ft_node_progress (FtNode *node, uint64_t request, unsigned tokens)
{
  EntReq *req = find_request (node->ent, request);
  Msg msg = { .kind = MSG_PROGRESS };
  MsgProgress *out = &msg.Msg_u.progress;

  if (req == NULL)
    return;
  if (req->print && req->tokens == 0 && tokens > 0)
    susp_on_answer (node, req->print->keys + 1, req->print->count - 1);
  req->tokens = tokens;
  out->pool = req->pool->name;
  out->request = request;
  out->tokens = tokens;
  if (req->pool->holder == node->conf.id)
    hold_on_progress (node->hold, node->conf.id, out);
  else if (req->pool->holder)
    node_send (node, req->pool->holder, &msg);
}

static void
send_done (FtNode *node, const EntReq *req, FtOutcome how, unsigned tokens)
{
  Msg msg = { .kind = MSG_DONE };
  MsgDone *out = &msg.Msg_u.done;

  out->pool = req->pool->name;
  out->request = req->request;
  out->how = how;
  out->tokens = tokens;
  if (req->pool->holder == node->conf.id)
    hold_on_done (node->hold, node->conf.id, out);
  else if (req->pool->holder)
    node_send (node, req->pool->holder, &msg);
}

void
ft_node_end_request (FtNode *node, uint64_t request, FtOutcome how, unsigned tokens)
{
  EntReq *req = find_request (node->ent, request);

  if (req == NULL)
    return;
  /* Removed first: sending the message may bring decisions on other requests at once. */
  g_hash_table_remove (node->ent->requests, &req->request);
  cds_list_del (&req->link);
  if (how == FT_OUTCOME_COMPLETE && req->print)
    susp_on_answer (node, req->print->keys, req->print->count);
  send_done (node, req, how, tokens);
  request_free (req);
}

void
ft_node_report_crash (FtNode *node, uint64_t request, int64_t wall_ms)
{
  const EntReq *req = find_request (node->ent, request);

  /* A part that crashes servers does so before the first token. */
  if (req && req->server && req->print)
    susp_propose_crash (node, req->pool->name, req->server, req->print->keys,
                        req->tokens == 0 ? req->print->count : 1, wall_ms);
}

static void
resubmit (FtNode *node, EntReq *req, FtOutcome how)
{
  send_done (node, req, how, 0);
  g_clear_pointer (&req->server, g_free);
  req->state = MSG_ASK_WAITING;
  if (req->pool->holder)
    submit_request (node->ent, req, req->pool->holder);
}

void
ft_node_resubmit (FtNode *node, uint64_t request)
{
  EntReq *req = find_request (node->ent, request);

  if (req && req->state == MSG_ASK_RUNNING && req->tokens == 0)
    resubmit (node, req, FT_OUTCOME_NOT_CONNECTED);
}

/* The request that a decision is about; NULL if the decision is not of the pool's current holder
 * and epoch. */
static EntReq *
find_decided (EntTable *ent, uint32_t from, uint64_t request, uint64_t epoch)
{
  EntReq *req = find_request (ent, request);

  if (req == NULL || req->pool->epoch != epoch || req->pool->holder != from)
    return NULL;
  return req;
}

void
ent_on_grant (EntTable *ent, uint32_t from, const MsgGrant *grant)
{
  FtNode *node = ent->node;
  EntReq *req = find_decided (ent, from, grant->request, grant->epoch);

  if (req == NULL || req->state != MSG_ASK_WAITING)
    return;
  req->state = MSG_ASK_RUNNING;
  req->server = g_strdup (grant->server);
  const NodeServer *server = node_find_server (node, grant->pool, grant->server);
  /* The scheduler's list of servers may be older than ours and grant a server that is leaving, so
   * the entry checks the server's state once more before the dispatch. */
  if ((server && server->state != FT_SERVER_LIVE) || must_withhold (ent, req))
    resubmit (node, req, FT_OUTCOME_CANCELLED);
  else
    node->ops->grant (node->host, req->request, req->server);
}

static void
refuse (EntTable *ent, EntReq *req, FtReason reason, unsigned tier, int64_t retry_ms,
        const char *rule)
{
  FtRefusal out = { ent->node->conf.id, req->request, reason, tier, retry_ms, "" };

  g_strlcpy (out.rule, rule, sizeof out.rule);
  remove_request (ent, req);
  ent->node->ops->refuse (ent->node->host, &out);
}

void
ent_on_refusal (EntTable *ent, uint32_t from, const MsgRefuse *refusal)
{
  EntReq *req = find_decided (ent, from, refusal->request, refusal->epoch);

  if (req && req->state == MSG_ASK_WAITING)
    refuse (ent, req, refusal->reason, refusal->tier, refusal->retry_after_ms, refusal->rule);
}

static bool
pool_in_catalogue (const EntTable *ent, const EntPool *pool)
{
  return ent->node->cat && ft_cat_pool (ent->node->cat, pool->name);
}

static void
resume (EntTable *ent, EntReq *req)
{
  req->state = MSG_ASK_RUNNING;
  ent->node->ops->resume (ent->node->host, req->request);
}

void
ent_on_pause (EntTable *ent, uint32_t from, const MsgGrant *stream, bool paused)
{
  EntReq *req = find_decided (ent, from, stream->request, stream->epoch);

  if (req == NULL || req->state != (paused ? MSG_ASK_RUNNING : MSG_ASK_PAUSED))
    return;
  /* The scheduler of a removed pool ends as soon as it learns of it and would not resume it. */
  if (paused && !pool_in_catalogue (ent, req->pool))
    return;
  if (paused)
    {
      req->state = MSG_ASK_PAUSED;
      ent->node->ops->pause (ent->node->host, req->request);
    }
  else
    resume (ent, req);
}

void
ent_peer_reset (EntTable *ent, uint32_t peer)
{
  GHashTableIter iter;
  void *data;

  if (peer == ent->node->conf.id)
    return;
  g_hash_table_iter_init (&iter, ent->pools);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      EntPool *pool = data;
      EntReq *req;
      if (pool->holder != peer)
        continue;
      cds_list_for_each_entry (req, &pool->requests, link) submit_request (ent, req, peer);
    }
}

/* Refuses a request that is past its deadline without a decision of any scheduler. */
static void
refuse_overdue (EntTable *ent, EntReq *req, int64_t now)
{
  if (now <= MIN (req->first_token_due, req->answer_due) + FT_SECOND)
    return;
  send_done (ent->node, req, FT_OUTCOME_CANCELLED, 0);
  refuse (ent, req, FT_REASON_NO_SCHEDULER, 0, 2000,
          "no decision came before the first token was due");
}

/* Submits a withheld request once it is cleared, and refuses any waiting request that is
 * quarantined; if the scheduler already has it, it is cancelled there. */
static void
check_quarantine (EntTable *ent, EntReq *req)
{
  QuarVerdict verdict = quar_check_keys (ent->node->quar, req->print->keys, req->print->count);
  char rule[128];

  if (verdict.state == QUAR_BLOCKED)
    {
      g_snprintf (rule, sizeof rule,
                  "%u servers crashed while running %s %016" G_GINT64_MODIFIER "x", verdict.ends,
                  fingerprint_is_part (verdict.key) ? "part" : "content", verdict.key);
      if (!req->withheld)
        send_done (ent->node, req, FT_OUTCOME_CANCELLED, 0);
      refuse (ent, req, FT_REASON_QUARANTINED, 0, 0, rule);
    }
  else if (req->withheld && verdict.state != QUAR_RECHECK)
    {
      req->withheld = false;
      if (req->pool->holder)
        submit_request (ent, req, req->pool->holder);
    }
}

/* Numbers of the pool's waiting requests. The list itself must not be walked while messages are
 * sent: if the scheduler is on this instance, ending one request may bring decisions that remove
 * others. */
static GArray *
list_waiting (const EntPool *pool)
{
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  const EntReq *req;

  cds_list_for_each_entry (req, &pool->requests, link)
  {
    if (req->state == MSG_ASK_WAITING)
      g_array_append_val (numbers, req->request);
  }
  return numbers;
}

static EntReq *
find_waiting (EntTable *ent, uint64_t number)
{
  EntReq *req = find_request (ent, number);

  return req && req->state == MSG_ASK_WAITING ? req : NULL;
}

static void
tick_pool (EntTable *ent, EntPool *pool, int64_t now)
{
  GArray *numbers = list_waiting (pool);

  for (unsigned i = 0; i < numbers->len; i++)
    {
      uint64_t number = g_array_index (numbers, uint64_t, i);
      EntReq *req = find_waiting (ent, number);
      if (req && req->print)
        check_quarantine (ent, req);
      req = find_waiting (ent, number);
      if (req)
        refuse_overdue (ent, req, now);
    }
  g_array_unref (numbers);
}

void
ent_tick (EntTable *ent, int64_t now)
{
  GHashTableIter iter;
  void *pool;

  g_hash_table_iter_init (&iter, ent->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    tick_pool (ent, pool, now);
}

/* Refuses what waits for a removed pool and resumes its paused streams. */
static void
leave_pool (EntTable *ent, EntPool *pool)
{
  EntReq *req, *next;

  cds_list_for_each_entry_safe (req, next, &pool->requests, link)
  {
    if (req->state == MSG_ASK_WAITING)
      refuse (ent, req, FT_REASON_NO_SUCH_POOL, 0, 0, "the pool was removed from the catalogue");
    else if (req->state == MSG_ASK_PAUSED)
      resume (ent, req);
  }
}

void
ent_on_catalogue (EntTable *ent)
{
  GHashTableIter iter;
  void *pool;

  g_hash_table_iter_init (&iter, ent->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    if (!pool_in_catalogue (ent, pool))
      leave_pool (ent, pool);
}
