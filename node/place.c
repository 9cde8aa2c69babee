/* place.c - one scheduler for all entries while it answers, one each while it does not.
 *
 * The voter in charge of the log schedules for everybody: one ledger of the places, one queue by
 * tier, one account of the limits, at the price of one round trip. It needs no lease, since only an
 * entry sends its own requests: two schedulers at once overcommit a little, nothing runs twice.
 *
 * Failure: that voter dies, freezes or is cut off. Symptom: every request waits for an election, a
 * second or more. So an entry that has heard nothing for SILENT while a request waits there places by
 * itself, with its part of the places and of the limits, until a voter in charge speaks again. Its
 * own scheduler has followed all along what its requests run on and how fast, so it starts with a
 * ledger of its own traffic and learned speeds.
 */
#include "place.h"
#include "jlog.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define SILENT     (120 * FT_MS) /* three of the 40 ms in which a voter speaks to who waits there */
#define TICK       (20 * FT_MS)
#define OVERCOMMIT 1.4 /* callers are spread unevenly over entries: a bare part leaves places idle */

typedef struct
{
  uint64_t number;
  SchedAsk ask;
  char *service, *org, *avoid, *server;
  double cost;
  bool remote;  /* waits at the voter in charge; else in the own scheduler */
  bool running;
  int64_t asked_at;
} Item;

typedef struct
{
  uint64_t number;
  char *server; /* NULL: refused */
  SchedRefusal refusal;
} Verdict;

struct Place
{
  Loop *loop;
  const PlaceOps *ops;
  void *host;
  GHashTable *items; /* number: Item */
  Sched *own;
  Quota *quota;
  MeshPeer *scheduler; /* NULL: none is trusted */
  uint64_t term;       /* the highest in which a voter proved to be in charge */
  LoopTimer tick, soon;
  GArray *verdicts; /* Verdict of the own scheduler, delivered by soon */
  unsigned entries, waiting;
  uint64_t salt;
};

/* ---- Items ---- */

static void
item_free (void *data)
{
  Item *item = data;

  g_free (item->service);
  g_free (item->org);
  g_free (item->avoid);
  g_free (item->server);
  g_free (item);
}

static Item *
item_of (const Place *place, uint64_t number)
{
  return g_hash_table_lookup (place->items, &number);
}

static void
run (Place *place, Item *item, const char *server)
{
  g_free (item->server);
  item->server = g_strdup (server);
  item->running = true;
  place->waiting--;
}

static void
drop (Place *place, Item *item)
{
  if (!item->running)
    place->waiting--;
  g_hash_table_remove (place->items, &item->number);
}

/* ---- The own scheduler ---- */

static void
later (Place *place, Verdict verdict)
{
  g_array_append_val (place->verdicts, verdict);
  loop_timer_set (place->loop, &place->soon, loop_now (place->loop));
}

static void
on_own_grant (void *host, uint64_t owner, uint64_t request, const char *server)
{
  (void) owner;
  later (host, (Verdict){ .number = request, .server = g_strdup (server) });
}

static void
on_own_refuse (void *host, uint64_t owner, uint64_t request, const SchedRefusal *refusal)
{
  (void) owner;
  later (host, (Verdict){ .number = request, .refusal = *refusal });
}

static void
on_own_believes (void *host, const char *server, bool out, const char *why, int64_t for_us)
{
  (void) host;
  jlog (JLOG_INFO, out ? "server-out" : "server-back", NULL, JL_TEXT ("server", server),
        JL_TEXT ("why", why), JL_MS ("for_ms", for_us), JL_TEXT ("by", "own"));
}

static const SchedOps own_ops = { on_own_grant, on_own_refuse, on_own_believes };

static void
on_soon (LoopTimer *timer)
{
  Place *place = (Place *) ((char *) timer - offsetof (Place, soon));
  GArray *verdicts = place->verdicts;

  place->verdicts = g_array_new (FALSE, FALSE, sizeof (Verdict));
  for (unsigned i = 0; i < verdicts->len; i++)
    {
      Verdict *verdict = &g_array_index (verdicts, Verdict, i);
      Item *item = item_of (place, verdict->number);
      bool wanted = item && !item->running && !item->remote;
      if (wanted && verdict->server)
        {
          run (place, item, verdict->server);
          place->ops->grant (place->host, verdict->number, verdict->server);
        }
      else if (wanted)
        {
          drop (place, item);
          place->ops->refuse (place->host, verdict->number, &verdict->refusal);
        }
      g_free (verdict->server);
    }
  g_array_unref (verdicts);
}

static void
ask_own (Place *place, Item *item)
{
  int64_t wait = 0;

  item->remote = false;
  if (item->cost > 0 && !quota_take (place->quota, item->org, item->cost,
                                      rt_order_rank (item->ask.tier), &wait))
    {
      Verdict verdict = { .number = item->number };
      verdict.refusal.reason = FT_REASON_LIMIT_TOKENS;
      verdict.refusal.retry_after_us = wait;
      quota_explain (place->quota, item->org, item->cost, verdict.refusal.rule,
                     sizeof verdict.refusal.rule);
      later (place, verdict);
      return;
    }
  item->cost = 0;
  sched_ask (place->own, &item->ask);
}

/* ---- The voter in charge ---- */

static void
send_ask (Place *place, Item *item)
{
  int64_t now = loop_now (place->loop);
  MeshMsg msg = { .kind = MESH_ASK };
  MeshAsk *out = &msg.MeshMsg_u.ask;
  const SchedAsk *ask = &item->ask;
  char none[] = "";

  *out = (MeshAsk){ .request = item->number,
                    .service = item->service,
                    .org = item->org,
                    .tier = ask->tier,
                    .stream = ask->stream,
                    .repeatable = ask->repeatable,
                    .prompt_tokens = ask->prompt_tokens,
                    .output_tokens = ask->output_tokens,
                    .cost_tokens = (unsigned) item->cost,
                    .shared_part = ask->shared_part,
                    .gap_ms = (unsigned) (ask->gap_us / FT_MS),
                    .aim_in_us = ask->aim_at - now,
                    .limit_in_us = ask->limit_at - now,
                    .end_in_us = ask->end_at - now,
                    .avoid = item->avoid ? item->avoid : none,
                    .running = item->running,
                    .server = item->server ? item->server : none };
  mesh_send (place->scheduler, &msg);
}

static void
ask_remote (Place *place, Item *item)
{
  item->remote = true;
  item->asked_at = loop_now (place->loop);
  send_ask (place, item);
}

static void
send_done (MeshPeer *peer, uint64_t number, const SchedResult *result)
{
  MeshMsg msg = { .kind = MESH_DONE };

  msg.MeshMsg_u.done
      = (MeshDone){ number, result->outcome, result->event_us, result->answer_us };
  mesh_send (peer, &msg);
}

static void
fall_back (Place *place, const char *why)
{
  GHashTableIter iter;
  gpointer value;

  place->scheduler = NULL;
  jlog (JLOG_WARN, "scheduler-lost", NULL, JL_TEXT ("why", why), JL_INT ("term", place->term),
        JL_INT ("waiting", place->waiting));
  g_hash_table_iter_init (&iter, place->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Item *item = value;
      if (item->running || !item->remote)
        continue;
      item->cost = 0; /* it may have been counted there */
      ask_own (place, item);
    }
}

/* The new one learns what runs and what is still undecided here. */
static void
follow (Place *place, MeshPeer *peer, uint64_t term)
{
  GHashTableIter iter;
  gpointer value;

  place->scheduler = peer;
  place->term = term;
  jlog (JLOG_INFO, "scheduler-found", NULL, JL_INT ("term", term),
        JL_TEXT ("domain", peer->domain), JL_INT ("waiting", place->waiting));
  g_hash_table_iter_init (&iter, place->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Item *item = value;
      if (item->running)
        send_ask (place, item);
      else if (item->remote)
        {
          item->cost = 0;
          ask_remote (place, item);
        }
    }
}

void
place_view (Place *place, MeshPeer *peer, const MeshView *view)
{
  if (place->scheduler == peer && !view->proved)
    fall_back (place, "it is no longer in charge");
  if (!view->proved || view->term < place->term || place->scheduler == peer)
    return;
  if (view->term > place->term || place->scheduler == NULL)
    follow (place, peer, view->term);
}

void
place_down (Place *place, const MeshPeer *peer)
{
  if (place->scheduler == peer)
    fall_back (place, "its link is down");
}

static void
on_grant (Place *place, MeshPeer *peer, const MeshGrant *grant)
{
  Item *item = item_of (place, grant->request);
  SchedResult left = { .outcome = SCHED_LEFT };

  if (item == NULL || item->running)
    {
      if (item == NULL || strcmp (item->server, grant->server) != 0)
        send_done (peer, grant->request, &left);
      return;
    }
  if (!item->remote)
    sched_done (place->own, 0, item->number, &left); /* no longer waits in the own queue */
  run (place, item, grant->server);
  if (item->remote && item->cost > 0)
    quota_used (place->quota, item->org, item->cost);
  sched_adopt (place->own, &item->ask, grant->server);
  place->ops->grant (place->host, grant->request, grant->server);
}

static void
on_refuse (Place *place, const MeshRefuse *from)
{
  Item *item = item_of (place, from->request);
  SchedRefusal refusal = { .reason = from->reason < FT_REASONS ? from->reason
                                                               : FT_REASON_SHORTAGE };

  if (item == NULL || item->running || !item->remote)
    return;
  refusal.retry_after_us = from->retry_after_ms * FT_MS;
  g_strlcpy (refusal.rule, from->rule, sizeof refusal.rule);
  drop (place, item);
  place->ops->refuse (place->host, from->request, &refusal);
}

void
place_message (Place *place, MeshPeer *peer, const MeshMsg *msg)
{
  if (msg->kind == MESH_GRANT)
    on_grant (place, peer, &msg->MeshMsg_u.grant);
  else if (msg->kind == MESH_REFUSE)
    on_refuse (place, &msg->MeshMsg_u.refuse);
}

static bool
anyone_waits_there (const Place *place, int64_t since)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, place->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Item *item = value;
      if (!item->running && item->remote && item->asked_at < since)
        return true;
    }
  return false;
}

static void
on_tick (LoopTimer *timer)
{
  Place *place = (Place *) ((char *) timer - offsetof (Place, tick));
  int64_t now = loop_now (place->loop);

  if (place->scheduler && place->waiting > 0 && now - place->scheduler->heard > SILENT
      && anyone_waits_there (place, now - SILENT))
    fall_back (place, "it is silent");
  sched_tick (place->own);
  loop_timer_set (place->loop, timer, now + TICK);
}

/* ---- Interface ---- */

Place *
place_new (Loop *loop, uint64_t salt, const PlaceOps *ops, void *host)
{
  Place *place = g_new0 (Place, 1);

  place->loop = loop;
  place->salt = salt;
  place->ops = ops;
  place->host = host;
  place->items = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, item_free);
  place->own = sched_new (loop_clock (loop), &own_ops, place);
  place->quota = quota_new (loop_clock (loop));
  place->verdicts = g_array_new (FALSE, FALSE, sizeof (Verdict));
  place->tick.fire = on_tick;
  place->soon.fire = on_soon;
  place_entries (place, 1);
  loop_timer_set (loop, &place->tick, loop_now (loop) + TICK);
  return place;
}

void
place_free (Place *place)
{
  if (place == NULL)
    return;
  loop_timer_stop (place->loop, &place->tick);
  loop_timer_stop (place->loop, &place->soon);
  for (unsigned i = 0; i < place->verdicts->len; i++)
    g_free (g_array_index (place->verdicts, Verdict, i).server);
  g_array_unref (place->verdicts);
  g_hash_table_unref (place->items);
  sched_free (place->own);
  quota_free (place->quota);
  g_free (place);
}

void
place_services (Place *place, const RtCat *cat)
{
  for (unsigned i = 0; i < rt_cat_service_count (cat); i++)
    {
      const RtService *service = rt_cat_service_at (cat, i);
      SchedServiceConf conf = { service->engine, service->stride, service->memory };
      sched_service (place->own, service->name, &conf);
    }
  for (unsigned i = 0; i < rt_cat_org_count (cat); i++)
    {
      const RtOrg *org = rt_cat_org_at (cat, i);
      quota_limit (place->quota, org->name, org->rate, org->burst);
    }
}

void
place_servers (Place *place, const Servers *servers)
{
  servers_give (servers, place->own);
}

void
place_entries (Place *place, unsigned entries)
{
  double share = MIN (1, OVERCOMMIT / MAX (entries, 1));

  if (place->entries == entries)
    return;
  place->entries = entries;
  sched_share (place->own, share, place->salt);
  quota_share (place->quota, 1.0 / MAX (entries, 1)); /* a limit is not overcommitted */
}

void
place_ask (Place *place, const SchedAsk *ask, double cost)
{
  Item *item = g_new0 (Item, 1);

  item->number = ask->request;
  item->ask = *ask;
  item->ask.owner = 0;
  item->ask.service = item->service = g_strdup (ask->service);
  item->ask.org = item->org = g_strdup (ask->org ? ask->org : "");
  item->ask.avoid = item->avoid = g_strdup (ask->avoid);
  item->cost = cost;
  g_hash_table_insert (place->items, &item->number, item);
  place->waiting++;
  if (place->scheduler)
    ask_remote (place, item);
  else
    ask_own (place, item);
}

void
place_first (Place *place, uint64_t request, int64_t after_us)
{
  MeshMsg msg = { .kind = MESH_FIRST };

  sched_first (place->own, 0, request, after_us);
  if (place->scheduler == NULL)
    return;
  msg.MeshMsg_u.first = (MeshFirst){ request, after_us };
  mesh_send (place->scheduler, &msg);
}

void
place_silent (Place *place, uint64_t request)
{
  MeshMsg msg = { .kind = MESH_SILENT };

  sched_silent (place->own, 0, request);
  if (place->scheduler == NULL)
    return;
  msg.MeshMsg_u.silent.request = request;
  mesh_send (place->scheduler, &msg);
}

void
place_done (Place *place, uint64_t request, const SchedResult *result)
{
  Item *item = item_of (place, request);

  if (item == NULL)
    return;
  drop (place, item);
  sched_done (place->own, 0, request, result);
  if (place->scheduler)
    send_done (place->scheduler, request, result);
}

bool
place_is_central (const Place *place)
{
  return place->scheduler != NULL;
}

unsigned
place_waiting (const Place *place)
{
  return place->waiting;
}

char *
place_describe (const Place *place)
{
  return sched_describe (place->own);
}
