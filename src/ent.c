/* ent.c - the requests that an instance owns, as their pools' schedulers need to know them.
 *
 * The entry alone dispatches a request, so no failure of a scheduler can dispatch it twice. The
 * scheduler's memory is only a copy of what the entries have: when the lease moves, the new holder
 * asks (MSG_TELL) and each entry sends all again. Decisions of an older epoch are dropped.
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
  int64_t first_by, due;
  MsgAskState state;
  uint64_t content; /* 0: not known */
  bool stopped;     /* not asked for while it is not known whether its content may be sent */
  unsigned block_count;
  uint64_t blocks[];
} EntReq;

struct Ent
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
  g_free (req);
}

Ent *
ent_new (FtNode *node)
{
  Ent *ent = g_new0 (Ent, 1);

  ent->node = node;
  ent->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free);
  ent->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  return ent;
}

void
ent_free (Ent *ent)
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
ent_count (const Ent *ent)
{
  return g_hash_table_size (ent->requests);
}

static EntPool *
find_pool (Ent *ent, const char *name)
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
find_request (Ent *ent, uint64_t request)
{
  return g_hash_table_lookup (ent->requests, &request);
}

static void
tell_ask (Ent *ent, EntReq *req, uint32_t to)
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
  ask->first_in_us = req->first_by - now;
  ask->due_in_us = req->due - now;
  ask->blocks.blocks_len = req->block_count;
  ask->blocks.blocks_val = (void *) req->blocks;
  ask->state = req->state;
  ask->server = req->server ? req->server : (char *) "";
  ask->tokens = req->tokens;
  if (to == ent->node->conf.id)
    hold_ask (ent->node->hold, to, ask);
  else
    node_send (ent->node, to, &msg);
}

static bool
is_stopped (const Ent *ent, const EntReq *req)
{
  return req->content && quar_check (ent->node->quar, req->content).state >= QUAR_RECHECK;
}

/* Failure: a request ends each server that runs it, and its caller sends it again. Symptom: server
 * after server ends, with the streams of others. A content under which enough have ended is not
 * asked for; ent_tick decides what becomes of it. */
static void
send_ask (Ent *ent, EntReq *req, uint32_t to)
{
  if (req->state == MSG_ASK_WAITING && is_stopped (ent, req))
    req->stopped = true;
  if (!req->stopped)
    tell_ask (ent, req, to);
}

bool
ent_holder (Ent *ent, const char *name, uint32_t holder, uint64_t epoch)
{
  EntPool *pool = find_pool (ent, name);

  if (epoch < pool->epoch)
    return false;
  pool->holder = holder;
  pool->epoch = epoch;
  return true;
}

void
ent_tell (Ent *ent, const char *name, uint32_t to, uint64_t epoch)
{
  EntPool *pool = find_pool (ent, name);
  Msg msg = { .kind = MSG_TOLD };
  MsgTold *told = &msg.Msg_u.told;
  GPtrArray *all = g_ptr_array_new ();
  EntReq *req;

  cds_list_for_each_entry (req, &pool->requests, link) g_ptr_array_add (all, req);
  for (unsigned i = 0; i < all->len; i++) /* an ask may be decided at once and change the list */
    send_ask (ent, all->pdata[i], to);
  g_ptr_array_unref (all);
  told->pool = pool->name;
  told->epoch = epoch;
  if (to == ent->node->conf.id)
    hold_told (ent->node->hold, to, told);
  else
    node_send (ent->node, to, &msg);
}

FtStatus
ft_node_submit (FtNode *node, const FtNodeRequest *ask)
{
  Ent *ent = node->ent;
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
  req->content = ask->content;
  req->first_by = now + ask->first_token_in_us;
  req->due = now + ask->deadline_in_us;
  req->block_count = blocks;
  if (blocks)
    memcpy (req->blocks, ask->blocks, blocks * sizeof (uint64_t));
  g_hash_table_insert (ent->requests, &req->request, req);
  cds_list_add_tail (&req->link, &req->pool->requests);
  if (req->pool->holder)
    send_ask (ent, req, req->pool->holder);
  return FT_OK;
}

static void
forget (Ent *ent, EntReq *req)
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
  req->tokens = tokens;
  out->pool = req->pool->name;
  out->request = request;
  out->tokens = tokens;
  if (req->pool->holder == node->conf.id)
    hold_progress (node->hold, node->conf.id, out);
  else if (req->pool->holder)
    node_send (node, req->pool->holder, &msg);
}

static void
tell_done (FtNode *node, const EntReq *req, FtOutcome how, unsigned tokens)
{
  Msg msg = { .kind = MSG_DONE };
  MsgDone *out = &msg.Msg_u.done;

  out->pool = req->pool->name;
  out->request = req->request;
  out->how = how;
  out->tokens = tokens;
  if (req->pool->holder == node->conf.id)
    hold_done (node->hold, node->conf.id, out);
  else if (req->pool->holder)
    node_send (node, req->pool->holder, &msg);
}

void
ft_node_end_request (FtNode *node, uint64_t request, FtOutcome how, unsigned tokens)
{
  EntReq *req = find_request (node->ent, request);

  if (req == NULL)
    return;
  /* Out of the list first: telling may bring other requests' decisions at once. */
  g_hash_table_remove (node->ent->requests, &req->request);
  cds_list_del (&req->link);
  if (how == FT_OUTCOME_COMPLETE && req->content)
    susp_on_answer (node, req->content);
  tell_done (node, req, how, tokens);
  request_free (req);
}

void
ft_node_report_crash (FtNode *node, uint64_t request, int64_t wall_ms)
{
  const EntReq *req = find_request (node->ent, request);

  if (req && req->server && req->content)
    susp_propose_crash (node, req->pool->name, req->server, req->content, wall_ms);
}

static void
ask_once_more (FtNode *node, EntReq *req, FtOutcome how)
{
  tell_done (node, req, how, 0);
  g_clear_pointer (&req->server, g_free);
  req->state = MSG_ASK_WAITING;
  if (req->pool->holder)
    send_ask (node->ent, req, req->pool->holder);
}

void
ft_node_resubmit (FtNode *node, uint64_t request)
{
  EntReq *req = find_request (node->ent, request);

  if (req && req->state == MSG_ASK_RUNNING && req->tokens == 0)
    ask_once_more (node, req, FT_OUTCOME_NOT_CONNECTED);
}

/* The request that a decision is about; NULL when the decision comes from an ended epoch. */
static EntReq *
decided (Ent *ent, uint32_t from, uint64_t request, uint64_t epoch)
{
  EntReq *req = find_request (ent, request);

  if (req == NULL || req->pool->epoch != epoch || req->pool->holder != from)
    return NULL;
  return req;
}

void
ent_granted (Ent *ent, uint32_t from, const MsgGrant *grant)
{
  FtNode *node = ent->node;
  EntReq *req = decided (ent, from, grant->request, grant->epoch);

  if (req == NULL || req->state != MSG_ASK_WAITING)
    return;
  req->state = MSG_ASK_RUNNING;
  req->server = g_strdup (grant->server);
  const NodeServer *server = node_server (node, grant->pool, grant->server);
  /* Failure: the scheduler's copy of the platform's list is older than ours. Symptom: new work
   * goes to a server that is leaving. The entry has the last look before the dispatch. */
  if ((server && server->state != FT_SERVER_LIVE) || is_stopped (ent, req))
    ask_once_more (node, req, FT_OUTCOME_CANCELLED);
  else
    node->ops->grant (node->host, req->request, req->server);
}

static void
refuse (Ent *ent, EntReq *req, FtReason reason, unsigned tier, int64_t retry_ms, const char *rule)
{
  FtRefusal out = { ent->node->conf.id, req->request, reason, tier, retry_ms, "" };

  g_strlcpy (out.rule, rule, sizeof out.rule);
  forget (ent, req);
  ent->node->ops->refuse (ent->node->host, &out);
}

void
ent_refused (Ent *ent, uint32_t from, const MsgRefuse *refusal)
{
  EntReq *req = decided (ent, from, refusal->request, refusal->epoch);

  if (req && req->state == MSG_ASK_WAITING)
    refuse (ent, req, refusal->reason, refusal->tier, refusal->retry_after_ms, refusal->rule);
}

void
ent_paused (Ent *ent, uint32_t from, const MsgGrant *stream, bool paused)
{
  EntReq *req = decided (ent, from, stream->request, stream->epoch);

  if (req == NULL || req->state != (paused ? MSG_ASK_RUNNING : MSG_ASK_PAUSED))
    return;
  req->state = paused ? MSG_ASK_PAUSED : MSG_ASK_RUNNING;
  if (paused)
    ent->node->ops->pause (ent->node->host, req->request);
  else
    ent->node->ops->resume (ent->node->host, req->request);
}

void
ent_peer_reset (Ent *ent, uint32_t peer)
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
      cds_list_for_each_entry (req, &pool->requests, link) send_ask (ent, req, peer);
    }
}

/* Requests that no scheduler decided in time: the caller gets its answer at once. */
static void
refuse_overdue (Ent *ent, EntReq *req, int64_t now)
{
  if (now <= MIN (req->first_by, req->due) + FT_SECOND)
    return;
  tell_done (ent->node, req, FT_OUTCOME_CANCELLED, 0);
  refuse (ent, req, FT_REASON_NO_SCHEDULER, 0, 2000,
          "no decision came before the first token was due");
}

/* A stopped request is asked for once its content is cleared, and refused once it is held. One that
 * waits already is withdrawn when its content is held. */
static void
review (Ent *ent, EntReq *req)
{
  QuarVerdict verdict = quar_check (ent->node->quar, req->content);
  char rule[128];

  if (verdict.state == QUAR_BLOCKED)
    {
      g_snprintf (rule, sizeof rule, "%u servers ended under content %016" G_GINT64_MODIFIER "x",
                  verdict.ends, req->content);
      if (!req->stopped)
        tell_done (ent->node, req, FT_OUTCOME_CANCELLED, 0);
      refuse (ent, req, FT_REASON_QUARANTINED, 0, 0, rule);
    }
  else if (req->stopped && verdict.state != QUAR_RECHECK)
    {
      req->stopped = false;
      if (req->pool->holder)
        send_ask (ent, req, req->pool->holder);
    }
}

/* Failure: telling of one request's end brings others' decisions at once, here too if the scheduler
 * is this instance. Symptom: the next one in the list is gone. So each is looked up by its number
 * when its turn comes. */
static GArray *
numbers_waiting (const EntPool *pool)
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
find_waiting (Ent *ent, uint64_t number)
{
  EntReq *req = find_request (ent, number);

  return req && req->state == MSG_ASK_WAITING ? req : NULL;
}

static void
tick_pool (Ent *ent, EntPool *pool, int64_t now)
{
  GArray *numbers = numbers_waiting (pool);

  for (unsigned i = 0; i < numbers->len; i++)
    {
      uint64_t number = g_array_index (numbers, uint64_t, i);
      EntReq *req = find_waiting (ent, number);
      if (req && req->content)
        review (ent, req);
      req = find_waiting (ent, number);
      if (req)
        refuse_overdue (ent, req, now);
    }
  g_array_unref (numbers);
}

void
ent_tick (Ent *ent, int64_t now)
{
  GHashTableIter iter;
  void *pool;

  g_hash_table_iter_init (&iter, ent->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    tick_pool (ent, pool, now);
}

void
ent_catalogue (Ent *ent)
{
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, ent->pools);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      EntPool *pool = data;
      EntReq *req, *next;
      if (ft_cat_pool (ent->node->cat, pool->name))
        continue;
      cds_list_for_each_entry_safe (req, next, &pool->requests,
                                    link) if (req->state == MSG_ASK_WAITING)
          refuse (ent, req, FT_REASON_NO_SUCH_POOL, 0, 0, "the pool left the catalogue");
    }
}
