/* hold.c - the pools whose lease this instance holds.
 *
 * A new holder grants nothing until every live entry has told what it runs and what waits, or
 * TELL_WAIT is over: granting earlier would fill places that are taken. It also stops when its
 * last proof of the lease is older than HOLD_LIMIT by its own clock; the leader gives the lease to
 * another one only after TAKEOVER, which is longer by more than the clocks' difference in rate.
 */
#include "node.h"

#include <string.h>

typedef struct
{
  Hold *hold;
  char *name;
  uint64_t epoch;
  FtPool *pool;
  GHashTable *untold; /* instances that have not told yet */
  int64_t tell_until;
  bool suspended;
} HoldPool;

struct Hold
{
  FtNode *node;
  GHashTable *pools; /* name -> HoldPool */
};

static void
pool_free (void *data)
{
  HoldPool *held = data;

  ft_pool_free (held->pool);
  g_hash_table_unref (held->untold);
  g_free (held->name);
  g_free (held);
}

Hold *
hold_new (FtNode *node)
{
  Hold *hold = g_new0 (Hold, 1);

  hold->node = node;
  hold->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free);
  return hold;
}

void
hold_free (Hold *hold)
{
  g_hash_table_unref (hold->pools);
  g_free (hold);
}

unsigned
hold_count (const Hold *hold)
{
  return g_hash_table_size (hold->pools);
}

static HoldPool *
find (Hold *hold, const char *name)
{
  return g_hash_table_lookup (hold->pools, name);
}

FtPool *
hold_pool (Hold *hold, const char *name)
{
  HoldPool *held = find (hold, name);

  return held ? held->pool : NULL;
}

/* ---- Decisions on their way to the entries ---- */

static void
send_stream (HoldPool *held, MsgKind kind, const FtGrant *stream)
{
  FtNode *node = held->hold->node;
  Msg msg = { .kind = kind };
  MsgGrant *out = &msg.Msg_u.grant; /* grant, pause and resume have one type */

  out->pool = held->name;
  out->epoch = held->epoch;
  out->request = stream->request;
  out->server = (char *) stream->server;
  if (stream->entry != node->conf.id)
    node_send (node, stream->entry, &msg);
  else if (kind == MSG_GRANT)
    ent_granted (node->ent, stream->entry, out);
  else
    ent_paused (node->ent, stream->entry, out, kind == MSG_PAUSE);
}

static void
on_grant (void *host, const FtGrant *grant)
{
  send_stream (host, MSG_GRANT, grant);
}

static void
on_pause (void *host, const FtGrant *stream)
{
  send_stream (host, MSG_PAUSE, stream);
}

static void
on_resume (void *host, const FtGrant *stream)
{
  send_stream (host, MSG_RESUME, stream);
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
    ent_refused (node->ent, refusal->entry, out);
  else
    node_send (node, refusal->entry, &msg);
}

static const FtPoolOps pool_ops = { on_grant, on_refuse, on_pause, on_resume };

/* ---- Taking and dropping ---- */

static FtPoolConf
pool_conf (const FtPoolEntry *entry)
{
  FtPoolConf conf = { entry->inter_token_ms, entry->window, entry->limits.queue,
                      strcmp (entry->kind, "service") == 0 };

  return conf;
}

static void
ask_entries (HoldPool *held, int64_t now)
{
  FtNode *node = held->hold->node;
  Msg msg = { .kind = MSG_TELL };

  msg.Msg_u.tell.pool = held->name;
  msg.Msg_u.tell.epoch = held->epoch;
  held->tell_until = now + TELL_WAIT;
  /* A process that has just started, or a leader, may not know yet who lives: then all count. */
  const GArray *expected = node->live->len ? node->live : node->instances;
  for (unsigned i = 0; i < expected->len; i++)
    {
      uint32_t id = g_array_index (expected, uint32_t, i);
      g_hash_table_add (held->untold, GUINT_TO_POINTER (id));
    }
  g_hash_table_add (held->untold, GUINT_TO_POINTER (node->conf.id));
  for (unsigned i = 0; i < node->instances->len; i++)
    {
      uint32_t id = g_array_index (node->instances, uint32_t, i);
      if (id != node->conf.id)
        node_send (node, id, &msg); /* to those thought dead too: they may be back */
    }
  if (ent_holder (node->ent, held->name, node->conf.id, held->epoch))
    ent_tell (node->ent, held->name, node->conf.id, held->epoch);
}

void
hold_take (Hold *hold, const char *name, uint64_t epoch)
{
  FtNode *node = hold->node;
  const FtPoolEntry *entry = node->cat ? ft_cat_pool (node->cat, name) : NULL;
  HoldPool *held = find (hold, name);

  if (entry == NULL || (held && held->epoch >= epoch))
    return;
  FtPoolConf conf = pool_conf (entry);
  held = g_new0 (HoldPool, 1);
  held->hold = hold;
  held->name = g_strdup (name);
  held->epoch = epoch;
  held->untold = g_hash_table_new (g_direct_hash, g_direct_equal);
  held->pool = ft_pool_new (&conf, node->clock, &pool_ops, held);
  g_hash_table_replace (hold->pools, held->name, held);
  ft_pool_set_held (held->pool, true);
  GHashTableIter iter;
  void *server;
  g_hash_table_iter_init (&iter, node->servers);
  while (g_hash_table_iter_next (&iter, NULL, &server))
    hold_server (hold, server);
  ask_entries (held, ft_clock_now (node->clock));
}

void
hold_drop (Hold *hold, const char *name)
{
  g_hash_table_remove (hold->pools, name);
}

void
hold_catalogue (Hold *hold)
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

/* ---- Messages of entries ---- */

void
hold_ask (Hold *hold, uint32_t from, const MsgAsk *in)
{
  HoldPool *held = find (hold, in->pool);
  FtCat *cat = hold->node->cat;
  const FtOrg *org = held ? ft_cat_org (cat, in->org) : NULL;
  const FtClass *class = held ? ft_cat_class (cat, in->class_name) : NULL;

  if (held == NULL)
    return; /* the entry will be told who holds it */
  if (in->state == MSG_ASK_WAITING && (org == NULL || class == NULL))
    {
      FtRefusal out = { from, in->request, FT_REASON_NO_SUCH_CLASS, 0, 0, "" };
      g_strlcpy (out.rule, "organisation or class left the catalogue", sizeof out.rule);
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
hold_told (Hold *hold, uint32_t from, const MsgTold *told)
{
  HoldPool *held = find (hold, told->pool);

  if (held && held->epoch == told->epoch)
    g_hash_table_remove (held->untold, GUINT_TO_POINTER (from));
}

void
hold_progress (Hold *hold, uint32_t from, const MsgProgress *progress)
{
  HoldPool *held = find (hold, progress->pool);

  if (held)
    ft_pool_progress (held->pool, from, progress->request, progress->tokens);
}

void
hold_done (Hold *hold, uint32_t from, const MsgDone *done)
{
  HoldPool *held = find (hold, done->pool);

  if (held)
    ft_pool_end_request (held->pool, from, done->request, MIN (done->how, FT_OUTCOME_CANCELLED),
                         done->tokens);
}

void
hold_entry_gone (Hold *hold, uint32_t entry)
{
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, hold->pools);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      HoldPool *held = data;
      ft_pool_remove_entry (held->pool, entry);
      g_hash_table_remove (held->untold, GUINT_TO_POINTER (entry));
    }
}

void
hold_entry_back (Hold *hold, uint32_t entry)
{
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, hold->pools);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      HoldPool *held = data;
      Msg msg = { .kind = MSG_TELL };
      msg.Msg_u.tell.pool = held->name;
      msg.Msg_u.tell.epoch = held->epoch;
      node_send (hold->node, entry, &msg);
    }
}

void
hold_server (Hold *hold, const NodeServer *server)
{
  HoldPool *held = find (hold, server->pool);

  if (held)
    ft_pool_update_server (held->pool, server->name, server->incarnation, server->state);
}

void
hold_tick (Hold *hold, int64_t now)
{
  bool valid = node_lease_valid (hold->node, now);
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, hold->pools);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      HoldPool *held = data;
      bool told = g_hash_table_size (held->untold) == 0 || now >= held->tell_until;
      bool suspend = !valid || !told;
      if (suspend != held->suspended || held->tell_until)
        ft_pool_set_held (held->pool, suspend);
      held->suspended = suspend;
      if (told)
        held->tell_until = 0;
      ft_pool_tick (held->pool);
    }
}
