/* hold.c - schedulers of the pools whose lease this instance holds.
 *
 * A new holder grants nothing until every live entry has reported its running and waiting requests,
 * or REPORT_TIMEOUT has passed; otherwise it would grant slots that are already taken. A holder
 * also stops when its last proof of the lease is older than LEASE_PROOF_MAX_AGE by its own clock.
 * The leader moves the lease only after LEASE_TAKEOVER_DELAY, which is longer by more than the
 * clocks can differ in rate, so two instances never schedule one pool.
 */
#include "node.h"

#include <string.h>

typedef struct
{
  HoldTable *hold;
  char *name;
  uint64_t epoch;
  FtPool *pool;
  GHashTable *unreported;  /* ids of instances that have not yet reported all their requests */
  int64_t report_deadline; /* 0: reports are complete or no longer awaited */
  bool suspended;
} HoldPool;

struct HoldTable
{
  FtNode *node;
  GHashTable *pools; /* name -> HoldPool */
};

static void
pool_free (void *data)
{
  HoldPool *held = data;

  ft_pool_free (held->pool);
  g_hash_table_unref (held->unreported);
  g_free (held->name);
  g_free (held);
}

HoldTable *
hold_new (FtNode *node)
{
  HoldTable *hold = g_new0 (HoldTable, 1);

  hold->node = node;
  hold->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free);
  return hold;
}

void
hold_free (HoldTable *hold)
{
  g_hash_table_unref (hold->pools);
  g_free (hold);
}

unsigned
hold_count (const HoldTable *hold)
{
  return g_hash_table_size (hold->pools);
}

static HoldPool *
find_pool (HoldTable *hold, const char *name)
{
  return g_hash_table_lookup (hold->pools, name);
}

FtPool *
hold_get_pool (HoldTable *hold, const char *name)
{
  HoldPool *held = find_pool (hold, name);

  return held ? held->pool : NULL;
}

/* ---- Decisions sent to the entries ---- */

static void
send_decision (HoldPool *held, MsgKind kind, const FtGrant *stream)
{
  FtNode *node = held->hold->node;
  Msg msg = { .kind = kind };
  MsgGrant *out = &msg.Msg_u.grant; /* grant, pause and resume have the same type */

  out->pool = held->name;
  out->epoch = held->epoch;
  out->request = stream->request;
  out->server = (char *) stream->server;
  if (stream->entry != node->conf.id)
    node_send (node, stream->entry, &msg);
  else if (kind == MSG_GRANT)
    ent_on_grant (node->ent, stream->entry, out);
  else
    ent_on_pause (node->ent, stream->entry, out, kind == MSG_PAUSE);
}

static void
on_grant (void *host, const FtGrant *grant)
{
  send_decision (host, MSG_GRANT, grant);
}

static void
on_pause (void *host, const FtGrant *stream)
{
  send_decision (host, MSG_PAUSE, stream);
}

static void
on_resume (void *host, const FtGrant *stream)
{
  send_decision (host, MSG_RESUME, stream);
}

static void
on_refuse (void *host, const FtRefusal *refusal)
{
  HoldPool *held = host;
  FtNode *node = held->hold->node;
  Msg msg = { .kind = MSG_REFUSE };
  MsgRefuse *out = &msg.Msg_u.refuse;

  out->pool = held->name;
  out->epoch = held->epoch;
  out->request = refusal->request;
  out->reason = refusal->reason;
  out->tier = refusal->tier;
  out->retry_after_ms = refusal->retry_after_ms;
  out->rule = (char *) refusal->rule;
  if (refusal->entry == node->conf.id)
    ent_on_refusal (node->ent, refusal->entry, out);
  else
    node_send (node, refusal->entry, &msg);
}

static const FtPoolOps pool_ops = { on_grant, on_refuse, on_pause, on_resume };

/* ---- Start and stop of schedulers ---- */

static FtPoolConf
pool_conf (const FtPoolEntry *entry)
{
  FtPoolConf conf = { entry->inter_token_ms, entry->window, entry->limits.queue,
                      strcmp (entry->kind, "service") == 0 };

  return conf;
}

static void
request_reports (HoldPool *held, int64_t now)
{
  FtNode *node = held->hold->node;
  Msg msg = { .kind = MSG_REPORT_REQUEST };

  msg.Msg_u.report_request.pool = held->name;
  msg.Msg_u.report_request.epoch = held->epoch;
  held->report_deadline = now + REPORT_TIMEOUT;
  /* Just after its own start or the leader's, an instance may have no list of live ones yet: then
   * it awaits the reports of all. */
  const GArray *expected = node->live->len ? node->live : node->instances;
  for (unsigned i = 0; i < expected->len; i++)
    {
      uint32_t id = g_array_index (expected, uint32_t, i);
      g_hash_table_add (held->unreported, GUINT_TO_POINTER (id));
    }
  g_hash_table_add (held->unreported, GUINT_TO_POINTER (node->conf.id));
  for (unsigned i = 0; i < node->instances->len; i++)
    {
      uint32_t id = g_array_index (node->instances, uint32_t, i);
      /* Also to those not in the list of live instances: the list may be out of date. */
      if (id != node->conf.id)
        node_send (node, id, &msg);
    }
  if (ent_set_holder (node->ent, held->name, node->conf.id, held->epoch))
    ent_report_requests (node->ent, held->name, node->conf.id, held->epoch);
}

void
hold_start_pool (HoldTable *hold, const char *name, uint64_t epoch)
{
  FtNode *node = hold->node;
  const FtPoolEntry *entry = node->cat ? ft_cat_pool (node->cat, name) : NULL;
  HoldPool *held = find_pool (hold, name);

  if (entry == NULL || (held && held->epoch >= epoch))
    return;
  FtPoolConf conf = pool_conf (entry);
  held = g_new0 (HoldPool, 1);
  held->hold = hold;
  held->name = g_strdup (name);
  held->epoch = epoch;
  held->unreported = g_hash_table_new (g_direct_hash, g_direct_equal);
  held->pool = ft_pool_new (&conf, node->clock, &pool_ops, held);
  g_hash_table_replace (hold->pools, held->name, held);
  ft_pool_set_held (held->pool, true);
  GHashTableIter iter;
  void *server;
  g_hash_table_iter_init (&iter, node->servers);
  while (g_hash_table_iter_next (&iter, NULL, &server))
    hold_update_server (hold, server);
  request_reports (held, ft_clock_now (node->clock));
}

void
hold_stop_pool (HoldTable *hold, const char *name)
{
  g_hash_table_remove (hold->pools, name);
}

void
hold_on_catalogue (HoldTable *hold)
{
  FtCat *cat = hold->node->cat;
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, hold->pools);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      HoldPool *held = data;
      const FtPoolEntry *entry = ft_cat_pool (cat, held->name);
      if (entry == NULL)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      FtPoolConf conf = pool_conf (entry);
      ft_pool_configure (held->pool, &conf);
      for (unsigned i = 0; i < ft_cat_org_count (cat); i++)
        {
          const FtOrg *org = ft_cat_org_at (cat, i);
          ft_pool_update_org (held->pool, org->name, (unsigned) org->weight, &org->limits);
        }
    }
}

/* ---- Messages from entries ---- */

void
hold_on_ask (HoldTable *hold, uint32_t from, const MsgAsk *in)
{
  HoldPool *held = find_pool (hold, in->pool);
  FtCat *cat = hold->node->cat;
  const FtOrg *org = held ? ft_cat_org (cat, in->org) : NULL;
  const FtClass *class = held ? ft_cat_class (cat, in->class_name) : NULL;

  if (held == NULL)
    return; /* the entry will learn the new holder and send it again */
  if (in->state == MSG_ASK_WAITING && (org == NULL || class == NULL))
    {
      FtRefusal out = { from, in->request, FT_REASON_NO_SUCH_CLASS, 0, 0, "" };
      g_strlcpy (out.rule, "organisation or class was removed from the catalogue", sizeof out.rule);
      on_refuse (held, &out);
      return;
    }
  FtPoolRequest ask = { .entry = from,
                        .request = in->request,
                        .tier = class ? (unsigned) class->tier : FT_TIERS,
                        .org = in->org,
                        .class_name = in->class_name,
                        .weight = org ? (unsigned) org->weight : 1,
                        .prompt_tokens = in->prompt_tokens,
                        .most_tokens = in->most_tokens,
                        .first_token_in_us = in->first_in_us,
                        .deadline_in_us = in->due_in_us,
                        .blocks = (const uint64_t *) in->blocks.blocks_val,
                        .block_count = in->blocks.blocks_len };
  if (org)
    ask.limits = org->limits;
  if (in->state == MSG_ASK_WAITING)
    ft_pool_submit (held->pool, &ask);
  else
    ft_pool_adopt (held->pool, &ask, in->server, in->tokens, in->state == MSG_ASK_PAUSED);
}

void
hold_on_report_end (HoldTable *hold, uint32_t from, const MsgReportEnd *end)
{
  HoldPool *held = find_pool (hold, end->pool);

  if (held && held->epoch == end->epoch)
    g_hash_table_remove (held->unreported, GUINT_TO_POINTER (from));
}

void
hold_on_progress (HoldTable *hold, uint32_t from, const MsgProgress *progress)
{
  HoldPool *held = find_pool (hold, progress->pool);

  if (held)
    ft_pool_progress (held->pool, from, progress->request, progress->tokens);
}

void
hold_on_done (HoldTable *hold, uint32_t from, const MsgDone *done)
{
  HoldPool *held = find_pool (hold, done->pool);

  if (held)
    ft_pool_end_request (held->pool, from, done->request, MIN (done->how, FT_OUTCOME_CANCELLED),
                         done->tokens);
}

void
hold_remove_entry (HoldTable *hold, uint32_t entry)
{
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, hold->pools);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      HoldPool *held = data;
      ft_pool_remove_entry (held->pool, entry);
      g_hash_table_remove (held->unreported, GUINT_TO_POINTER (entry));
    }
}

void
hold_request_report (HoldTable *hold, uint32_t entry)
{
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, hold->pools);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      HoldPool *held = data;
      Msg msg = { .kind = MSG_REPORT_REQUEST };
      msg.Msg_u.report_request.pool = held->name;
      msg.Msg_u.report_request.epoch = held->epoch;
      node_send (hold->node, entry, &msg);
    }
}

void
hold_update_server (HoldTable *hold, const NodeServer *server)
{
  HoldPool *held = find_pool (hold, server->pool);

  if (held)
    ft_pool_update_server (held->pool, server->name, server->incarnation, server->state);
}

void
hold_tick (HoldTable *hold, int64_t now)
{
  bool valid = node_lease_valid (hold->node, now);
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, hold->pools);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      HoldPool *held = data;
      bool reported = g_hash_table_size (held->unreported) == 0 || now >= held->report_deadline;
      bool suspend = !valid || !reported;
      if (suspend != held->suspended || held->report_deadline)
        ft_pool_set_held (held->pool, suspend);
      held->suspended = suspend;
      if (reported)
        held->report_deadline = 0;
      ft_pool_tick (held->pool);
    }
}
