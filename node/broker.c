/* broker.c - combines a scheduler with the account of the organisations' limits, for requests of
 * linked instances and of its own.
 *
 * A request keeps its place in the ledger until the instance that sent it reports its end or the
 * link to that instance goes down. On a new link the instance reports again what it runs.
 */
#include "brokerint.h"
#include "count.h"
#include "jlog.h"

#include <string.h>

typedef struct
{
  uint64_t request;
  char *server; /* NULL: refused */
  int64_t max_idle_us;
  SchedRefusal refusal;
} Decision;

/* ---- Decisions ---- */

static void
deliver_soon (Broker *broker, Decision decision)
{
  g_array_append_val (broker->decisions, decision);
  loop_timer_set (broker->loop, &broker->deliver_timer, loop_now (broker->loop));
}

static const AdapterServer *
find_server (const Broker *broker, const char *id)
{
  return broker->servers ? servers_find (broker->servers, id) : NULL;
}

static void
deliver_grant (const Broker *broker, const Decision *decision)
{
  Grant grant = { .server = { .id = decision->server, .name = decision->server, .leaving = true },
                  .listed_at = loop_now (broker->loop),
                  .max_idle_us = decision->max_idle_us };
  const AdapterServer *server = find_server (broker, decision->server);

  if (server)
    grant.server = *server;
  broker->ops->grant (broker->host, decision->request, &grant);
}

static void
on_deliver (LoopTimer *timer)
{
  Broker *broker = (Broker *) ((char *) timer - offsetof (Broker, deliver_timer));
  GArray *decisions = broker->decisions;

  broker->decisions = g_array_new (FALSE, FALSE, sizeof (Decision));
  for (unsigned i = 0; i < decisions->len; i++)
    {
      Decision *decision = &g_array_index (decisions, Decision, i);
      if (decision->server)
        deliver_grant (broker, decision);
      else
        broker->ops->refuse (broker->host, decision->request, &decision->refusal);
      g_free (decision->server);
    }
  g_array_unref (decisions);
}

/* How full the organisation's account is, in thousandths as in messages. */
static u_int
account_fill (const Broker *broker, const char *org)
{
  return (u_int) (1000 * quota_fill_level (broker->quota, org));
}

/* A grant carries the address of its server. After a start of everything, hundreds of entries get
 * the server list seconds later than the scheduler, and could send nothing until then. */
static void
fill_grant (const Broker *broker, uint64_t request, const char *id, MeshGrant *grant)
{
  static char none[] = "";
  const AdapterServer *server = find_server (broker, id);

  *grant = (MeshGrant){ .request = request, .server = (char *) id, .name = none, .software = none };
  if (server == NULL)
    return;
  if (strcmp (server->name, id) != 0)
    grant->name = server->name;
  if (server->version)
    grant->software = server->version;
  grant->ip = server->addr.ip;
  grant->port = server->addr.port;
  grant->list_age_ms
      = (u_int) ((loop_now (broker->loop) - servers_asked_at (broker->servers)) / FT_MS);
}

static void
on_grant (void *host, uint64_t owner, uint64_t request, const char *org, const char *server,
          int64_t max_idle_us)
{
  Broker *broker = host;
  Asker *asker = g_hash_table_lookup (broker->askers, &owner);
  MeshMsg msg = { .kind = MESH_GRANT };

  count_inc (COUNT_GRANTS);
  if (owner == BROKER_OWN)
    deliver_soon (
        broker,
        (Decision){ .request = request, .server = g_strdup (server), .max_idle_us = max_idle_us });
  if (asker == NULL)
    return;
  asker->waiting -= asker->waiting > 0;
  fill_grant (broker, request, server, &msg.MeshMsg_u.grant);
  msg.MeshMsg_u.grant.max_idle_ms = (u_int) (max_idle_us / FT_MS);
  msg.MeshMsg_u.grant.org_fill = account_fill (broker, org);
  msg.MeshMsg_u.grant.paced = sched_is_paced (broker->sched, server);
  mesh_send (asker->peer, &msg);
}

static void
send_refusal (Broker *broker, uint64_t owner, uint64_t request, const SchedRefusal *refusal,
              u_int org_fill)
{
  Asker *asker = g_hash_table_lookup (broker->askers, &owner);
  MeshMsg msg = { .kind = MESH_REFUSE };

  if (owner == BROKER_OWN)
    deliver_soon (broker, (Decision){ .request = request, .refusal = *refusal });
  if (asker == NULL)
    return;
  asker->waiting -= asker->waiting > 0;
  msg.MeshMsg_u.refuse
      = (MeshRefuse){ request, refusal->reason, (u_int) (refusal->retry_after_us / FT_MS),
                      (char *) refusal->rule, org_fill };
  mesh_send (asker->peer, &msg);
}

static void
on_refuse (void *host, uint64_t owner, uint64_t request, const SchedRefusal *refusal)
{
  send_refusal (host, owner, request, refusal, MESH_FILL_UNKNOWN);
}

static void
on_believes (void *host, const char *server, bool out, const char *why, int64_t for_us)
{
  const Broker *broker = host;

  jlog (JLOG_INFO, out ? "server-out" : "server-back", NULL, JL_TEXT ("server", server),
        JL_TEXT ("why", why), JL_MS ("for_ms", for_us), JL_TEXT ("by", broker->name));
}

/* Refunds a request that was charged to a limit and is then refused for another reason or goes to
 * another scheduler. Its organisation would otherwise be refused below its limit. */
static void
on_unused (void *host, const char *org, double cost)
{
  quota_refund (((Broker *) host)->quota, org, cost);
}

static void
on_judged (void *host, const SchedVerdict *judged)
{
  const Broker *broker = host;

  if (broker->judged)
    broker->judged (broker->judged_host, judged);
}

static void
on_paced (void *host, const char *server, double before, double rate)
{
  const Broker *broker = host;

  jlog (JLOG_INFO, "server-rate", NULL, JL_TEXT ("server", server),
        JL_INT ("before_milli", before * 1e3), JL_INT ("rate_milli", rate * 1e3),
        JL_TEXT ("by", broker->name));
}

static void
on_version_changed (void *host, const char *service, const char *before, const char *version)
{
  const Broker *broker = host;

  jlog (JLOG_INFO, "version-in-use", NULL, JL_TEXT ("service", service), JL_TEXT ("before", before),
        JL_TEXT ("version", version), JL_TEXT ("by", broker->name));
}

static const SchedOps sched_ops
    = { on_grant, on_refuse, on_unused, on_believes, on_judged, on_paced, on_version_changed };

/* ---- Asking ---- */

/* The latest retry time worth reserving tokens for: a reservation that leads to a late answer
 * would take tokens from a newcomer that can be on time. Half of the time left until the aim is
 * kept for the way here, a place and the first byte of the answer. */
static int64_t
latest_useful_retry (const Broker *broker, const SchedAsk *ask)
{
  int64_t now = loop_now (broker->loop);

  return now + MAX (0, ask->aim_at - now) / 2;
}

static bool
charge_limit (Broker *broker, const SchedAsk *ask, bool may_hold)
{
  SchedRefusal refusal = { .reason = FT_REASON_LIMIT_TOKENS };
  unsigned rank = rt_priority_route_tier (ask->tier);
  double cost = ask->cost;
  RetRequest request
      = { ask->org, ask->content, cost, rank, ask->end_at, latest_useful_retry (broker, ask) };
  RetAdvice advice;

  if (cost <= 0)
    return true;
  if (may_hold && !hand_is_over (broker->hand)
      && quota_limited_by_share (broker->quota, ask->org, cost, rank))
    {
      if (quota_take (broker->quota, ask->org, cost, rank, &refusal.retry_after_us))
        return true;
      if (hand_hold (broker->hand, ask))
        {
          count_inc (COUNT_HELD_ASKS);
          return false;
        }
    }
  if (ret_take_tokens (broker->returns, broker->quota, &request, &refusal.retry_after_us, &advice))
    return true;
  /* A retry after the caller's own deadline is of no use to it. */
  refusal.retry_after_us
      = MIN (refusal.retry_after_us, MAX (0, ask->end_at - loop_now (broker->loop)));
  quota_explain (broker->quota, ask->org, cost, refusal.rule, sizeof refusal.rule);
  ret_explain (advice, refusal.retry_after_us, refusal.rule, sizeof refusal.rule);
  send_refusal (broker, ask->owner, ask->request, &refusal, account_fill (broker, ask->org));
  return false;
}

void
broker_decide (Broker *broker, const SchedAsk *ask, bool may_hold)
{
  if (charge_limit (broker, ask, may_hold))
    sched_ask (broker->sched, ask);
}

/* During a handover queue lengths are judged by all places, since this scheduler's part is about
 * to grow. */
void
broker_apply_shares (Broker *broker)
{
  double part = hand_share (broker->hand);
  double places = hand_is_over (broker->hand) ? broker->places : 1;
  bool shared = !hand_is_over (broker->hand)
                || (broker_handover_enabled (broker) && broker_asker_count (broker) > 0);

  sched_set_share (broker->sched, places, broker->salt);
  sched_set_grant_share (broker->sched, shared ? MIN (broker->places, part) : SCHED_UNBOUNDED,
                         !hand_is_over (broker->hand));
  sched_set_rate_share (broker->sched, broker->limits);
  quota_set_share (broker->quota, MIN (broker->limits, part));
}

void
broker_check_handover (Broker *broker)
{
  HandResult how;
  bool ended = hand_take_result (broker->hand, &how);
  const SchedAsk *ask;

  if (ended)
    {
      count_inc (COUNT_HANDOVERS);
      jlog (JLOG_INFO, "settled", NULL, JL_INT ("reported", how.reported),
            JL_INT ("expected", how.expected), JL_MS ("after_ms", how.after_us),
            JL_TEXT ("why", how.why), JL_TEXT ("by", broker->name));
      broker_apply_shares (broker);
    }
  while ((ask = hand_next_due (broker->hand)))
    {
      broker_decide (broker, ask, false);
      hand_free_due (broker->hand);
    }
  if (ended)
    sched_tick (broker->sched);
}

void
broker_ask (Broker *broker, const SchedAsk *from, double cost)
{
  SchedAsk ask = *from;

  ask.owner = BROKER_OWN;
  ask.cost = cost;
  broker_decide (broker, &ask, true);
}

void
broker_adopt (Broker *broker, const SchedAsk *from, const char *server, double cost)
{
  SchedAsk ask = *from;

  ask.owner = BROKER_OWN;
  if (cost > 0)
    quota_charge_remote (broker->quota, ask.org, cost, loop_now (broker->loop));
  sched_adopt (broker->sched, &ask, server);
}

void
broker_report_first (Broker *broker, uint64_t request, int64_t after_us)
{
  sched_first_event (broker->sched, BROKER_OWN, request, after_us);
}

void
broker_report_silence (Broker *broker, uint64_t request)
{
  sched_silent (broker->sched, BROKER_OWN, request);
}

void
broker_notice (Broker *broker, uint64_t request, const char *server, const Notice *notice)
{
  sched_notice (broker->sched, BROKER_OWN, request, server, notice);
}

void
broker_past_notice (Broker *broker, const char *server, const Notice *notice, int64_t age)
{
  sched_older_notice (broker->sched, BROKER_OWN, server, notice, age);
}

void
broker_end (Broker *broker, uint64_t request, const SchedResult *result)
{
  hand_cancel (broker->hand, BROKER_OWN, request);
  sched_done (broker->sched, BROKER_OWN, request, result);
}

/* ---- Configuration ---- */

/* The mean limit of the organisations whose limits are in the same unit. */
static double
mean_rate (const RtCat *cat, bool by_tokens)
{
  double sum = 0;
  unsigned count = 0;

  for (unsigned i = 0; i < rt_cat_org_count (cat); i++)
    {
      const RtOrg *org = rt_cat_org_at (cat, i);
      if (org->rate <= 0 || org->by_tokens != by_tokens)
        continue;
      sum += org->rate;
      count++;
    }
  return count > 0 ? sum / count : 1;
}

/* Tokens and requests a second are not comparable, so an organisation's weight is its limit
 * divided by the mean limit in that unit. */
static void
set_weights (Broker *broker, const RtCat *cat)
{
  double means[2] = { mean_rate (cat, false), mean_rate (cat, true) };

  sched_clear_weights (broker->sched);
  for (unsigned i = 0; i < rt_cat_org_count (cat); i++)
    {
      const RtOrg *org = rt_cat_org_at (cat, i);
      sched_set_weight (broker->sched, org->name, org->rate / means[org->by_tokens]);
    }
}

void
broker_set_catalogue (Broker *broker, const RtCat *cat)
{
  for (unsigned i = 0; i < rt_cat_service_count (cat); i++)
    {
      const RtService *service = rt_cat_service_at (cat, i);
      SchedServiceConf conf = { service->engine, service->stride, service->memory };
      sched_set_service (broker->sched, service->name, &conf);
    }
  set_weights (broker, cat);
  for (unsigned i = 0; i < rt_cat_org_count (cat); i++)
    {
      const RtOrg *org = rt_cat_org_at (cat, i);
      quota_set_limit (broker->quota, org->name, org->rate, org->burst);
    }
}

void
broker_set_servers (Broker *broker, const Servers *servers)
{
  broker->servers = servers;
  sched_set_list_time (broker->sched, loop_read_clock (broker->loop));
  servers_give_to (servers, broker->sched);
}

void
broker_keep_servers (Broker *broker)
{
  sched_set_list_time (broker->sched, loop_read_clock (broker->loop));
  sched_keep_servers (broker->sched);
}

void
broker_set_shares (Broker *broker, double places, double limits, uint64_t salt)
{
  broker->places = places;
  broker->limits = limits;
  broker->salt = salt;
  broker->heard = 0;
  broker_apply_shares (broker);
}

void
broker_set_shares_by_heard (Broker *broker, unsigned heard, unsigned lost)
{
  broker_set_expected (broker, heard);
  broker->heard = heard;
  broker->lost = lost;
  broker_apply_heard (broker);
}

void
broker_set_margin (Broker *broker, double overage, double slack, double window_s, bool alone)
{
  quota_set_margin (broker->quota, overage, slack, window_s, alone);
}

void
broker_configure (Broker *broker, const BrokerConf *conf)
{
  broker->conf = *conf;
  hand_set_max_wait (broker->hand, conf->handover_us);
  ret_set_share (broker->returns, conf->return_part);
  sched_set_return_share (broker->sched, conf->return_place_part);
  sched_set_fair (broker->sched, conf->fair_shares);
  sched_set_all_versions (broker->sched, conf->all_versions);
}

static void
count_fair_decisions (Broker *broker)
{
  SchedFair counts;

  sched_fair_counts (broker->sched, &counts);
  count_add (COUNT_FAIR_QUEUED, counts.queued - broker->fair.queued);
  count_add (COUNT_FAIR_REFUSED, counts.refused - broker->fair.refused);
  broker->fair = counts;
}

static void
count_returns (Broker *broker)
{
  const RetCounts *limits = ret_counts (broker->returns);
  RetCounts places = sched_return_counts (broker->sched);
  RetCounts all = { limits->promised + places.promised, limits->kept + places.kept,
                    limits->lapsed + places.lapsed, limits->lost + places.lost };

  count_add (COUNT_RETURNS_PROMISED, all.promised - broker->returned.promised);
  count_add (COUNT_RETURNS_KEPT, all.kept - broker->returned.kept);
  count_add (COUNT_RETURNS_LAPSED, all.lapsed - broker->returned.lapsed);
  count_add (COUNT_RETURNS_LOST, all.lost - broker->returned.lost);
  broker->returned = all;
}

void
broker_tick (Broker *broker)
{
  broker_check_handover (broker);
  sched_tick (broker->sched);
  ret_expire (broker->returns);
  count_returns (broker);
  count_fair_decisions (broker);
}

void
broker_set_versions (Broker *broker, const char *service, const SchedVersions *versions)
{
  sched_set_versions (broker->sched, service, versions);
}

void
broker_set_in_use (Broker *broker, const char *service, const char *version)
{
  sched_set_in_use (broker->sched, service, version);
}

void
broker_settle_version (Broker *broker, const char *service, const char *version)
{
  sched_settle_version (broker->sched, service, version);
}

bool
broker_streams_begin_soon (const Broker *broker, const char *service, const char *version)
{
  return sched_streams_begin_soon (broker->sched, service, version);
}

const char *
broker_get_in_use (const Broker *broker, const char *service)
{
  return sched_get_in_use (broker->sched, service);
}

void
broker_set_judged_callback (Broker *broker, void (*judged) (void *host, const SchedVerdict *judged),
                            void *host)
{
  broker->judged = judged;
  broker->judged_host = host;
}

void
broker_service_stats (const Broker *broker, const char *service, SchedServiceStats *stats)
{
  sched_service_stats (broker->sched, service, stats);
}

void
broker_stats (const Broker *broker, SchedStats *stats)
{
  sched_stats (broker->sched, stats);
}

char *
broker_describe (const Broker *broker)
{
  return sched_describe (broker->sched);
}

Broker *
broker_new (Loop *loop, const char *name, const BrokerOps *ops, void *host)
{
  Broker *broker = g_new0 (Broker, 1);

  broker->loop = loop;
  broker->name = g_strdup (name);
  broker->ops = ops;
  broker->host = host;
  broker->sched = sched_new (loop_clock (loop), &sched_ops, broker);
  broker->quota = quota_new (loop_clock (loop));
  broker->returns = ret_new (loop_clock (loop), RET_MAX_RESERVATIONS / 2);
  broker->hand = hand_new (loop_clock (loop));
  broker->places = broker->limits = 1;
  if (ops)
    hand_note_report (broker->hand,
                      BROKER_OWN); /* what the own instance runs is always known here */
  broker->askers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  broker->decisions = g_array_new (FALSE, FALSE, sizeof (Decision));
  broker->deliver_timer.fire = on_deliver;
  return broker;
}

void
broker_free (Broker *broker)
{
  if (broker == NULL)
    return;
  loop_timer_stop (broker->loop, &broker->deliver_timer);
  for (unsigned i = 0; i < broker->decisions->len; i++)
    g_free (g_array_index (broker->decisions, Decision, i).server);
  g_array_unref (broker->decisions);
  sched_free (broker->sched);
  quota_free (broker->quota);
  ret_free (broker->returns);
  hand_free (broker->hand);
  g_hash_table_unref (broker->askers);
  g_free (broker->name);
  g_free (broker);
}
