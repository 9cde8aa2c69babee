/* brokerlink.c - a broker's links to the instances that ask it: their asks, outcomes and reports,
 * and the handover of what they hold. */
#include "brokerint.h"

#define ASKER_TIMEOUT                                                                              \
  (3 * FT_SECOND) /* an instance that asked within this time counts as an asker */

void
broker_link_up (Broker *broker, MeshPeer *peer)
{
  Asker *asker = g_new0 (Asker, 1);

  asker->peer = peer;
  asker->owner = peer->lifetime;
  asker->asked_at = -ASKER_TIMEOUT;
  g_hash_table_replace (broker->askers, &asker->owner, asker);
}

void
broker_link_down (Broker *broker, MeshPeer *peer)
{
  Asker *asker = g_hash_table_lookup (broker->askers, &peer->lifetime);

  if (asker == NULL || asker->peer != peer)
    return;
  hand_cancel_owner (broker->hand, asker->owner);
  if (!asker->away)
    hand_owner_gone (broker->hand, asker->owner);
  sched_owner_gone (broker->sched, asker->owner);
  g_hash_table_remove (broker->askers, &asker->owner);
}

void
broker_apply_heard (Broker *broker)
{
  unsigned heard = broker->heard, away = MIN (broker_away_count (broker), heard);

  broker->places = 1;
  broker->limits = heard ? (double) (heard - away) / (heard + broker->lost) : 1;
  broker->salt = 0;
  broker_apply_shares (broker);
}

/* Notes that an instance asks this scheduler again, and updates its parts at once. After all
 * entries had turned to another scheduler, its part of each limit is 0, and until the next tick
 * it would refuse organisations far below their limits. */
static void
note_returned (Broker *broker, Asker *asker)
{
  bool away = asker->away;

  asker->away = false;
  bool begins = hand_note_request (broker->hand, asker->owner, broker->expected);
  if (away && broker->heard > 0)
    broker_apply_heard (broker);
  else if (begins)
    broker_apply_shares (broker);
}

static void
apply_account (Broker *broker, const MeshAccount *from)
{
  int64_t now = loop_now (broker->loop);

  if (from->org_fill_ms != MESH_FILL_UNKNOWN)
    quota_apply_report (broker->quota, from->org, from->org_fill / 1e3,
                        now - from->org_fill_ms * FT_MS);
  if (from->spent_tokens > 0)
    quota_charge_remote (broker->quota, from->org, from->spent_tokens,
                         now - from->spent_ms * FT_MS);
}

/* A report does not make an entry an asker: askers make a deputy read the server list for them,
 * and this entry may have nothing to ask. */
static void
handle_report (Broker *broker, Asker *asker, const MeshReportEnd *from)
{
  asker->reported = true;
  asker->entry_count = from->entries;
  if (!broker_handover_enabled (broker))
    return;
  note_returned (broker, asker);
  for (unsigned i = 0; i < from->accounts.accounts_len; i++)
    apply_account (broker, &from->accounts.accounts_val[i]);
  hand_note_report (broker->hand, asker->owner);
  broker_apply_shares (broker);
  broker_check_handover (broker);
}

static void
handle_ask (Broker *broker, Asker *asker, const MeshAsk *from)
{
  int64_t now = loop_now (broker->loop);
  SchedAsk ask = { .owner = asker->owner,
                   .request = from->request,
                   .service = from->service,
                   .org = from->org,
                   .tier = from->tier,
                   .stream = from->stream,
                   .repeatable = from->repeatable,
                   .prompt_tokens = from->prompt_tokens,
                   .output_tokens = from->output_tokens,
                   .shared_part = from->shared_part,
                   .content = from->content,
                   .route = from->route,
                   .gap_us = from->gap_ms * FT_MS,
                   .aim_at = now + from->aim_in_us,
                   .limit_at = now + from->limit_in_us,
                   .end_at = now + from->end_in_us,
                   .kept = from->kept.kept_val,
                   .kept_count = from->kept.kept_len,
                   .avoid = from->avoid,
                   .version = from->software,
                   .cost = from->cost_tokens };

  MeshAccount account
      = { from->org, from->spent_tokens, from->spent_ms, from->org_fill, from->org_fill_ms };

  asker->asked_at = now;
  note_returned (broker, asker);
  apply_account (broker, &account);
  if (from->running)
    {
      hand_cancel (broker->hand, ask.owner, ask.request);
      sched_adopt (broker->sched, &ask, from->server);
      return;
    }
  asker->waiting++;
  broker_decide (broker, &ask, true);
}

void
broker_note_asker (Broker *broker, MeshPeer *peer)
{
  Asker *asker = g_hash_table_lookup (broker->askers, &peer->lifetime);

  if (asker == NULL)
    return;
  asker->asked_at = loop_now (broker->loop);
  note_returned (broker, asker);
}

void
broker_set_expected (Broker *broker, unsigned instances)
{
  broker->expected = instances;
}

void
broker_take_over (Broker *broker)
{
  hand_begin (broker->hand, broker->expected);
  broker_apply_shares (broker);
}

bool
broker_handover_enabled (const Broker *broker)
{
  return broker->conf.handover_us > 0;
}

bool
broker_is_taking_over (const Broker *broker)
{
  return !hand_is_over (broker->hand);
}

static void
handle_notice (Broker *broker, const MeshPeer *peer, const MeshNotice *from)
{
  Notice notice = { .rate = from->rate_milli / 1e3,
                    .leaving = from->leaving,
                    .backoff_us = from->backoff_ms * FT_MS,
                    .brittleness = from->brittle_milli / 1e3 };

  if (from->request)
    sched_notice (broker->sched, peer->lifetime, from->request, from->server, &notice);
  else
    sched_older_notice (broker->sched, peer->lifetime, from->server, &notice, from->age_ms * FT_MS);
}

static void
note_turned_away (Broker *broker, Asker *asker)
{
  if (asker == NULL || asker->away)
    return;
  hand_owner_gone (broker->hand, asker->owner);
  asker->away = true;
  asker->reported = false;
  asker->asked_at = -ASKER_TIMEOUT;
}

bool
broker_message (Broker *broker, MeshPeer *peer, const MeshMsg *msg)
{
  Asker *asker = g_hash_table_lookup (broker->askers, &peer->lifetime);
  const MeshDone *done = &msg->MeshMsg_u.done;
  SchedResult result;

  switch (msg->kind)
    {
    case MESH_ASK:
      if (asker)
        handle_ask (broker, asker, &msg->MeshMsg_u.ask);
      return true;
    case MESH_REPORT_END:
      if (asker)
        handle_report (broker, asker, &msg->MeshMsg_u.reported);
      return true;
    case MESH_FIRST_EVENT:
      sched_first_event (broker->sched, peer->lifetime, msg->MeshMsg_u.first.request,
                         msg->MeshMsg_u.first.after_us);
      return true;
    case MESH_NOTICE:
      handle_notice (broker, peer, &msg->MeshMsg_u.notice);
      return true;
    case MESH_SILENCE:
      sched_silent (broker->sched, peer->lifetime, msg->MeshMsg_u.silent.request);
      return true;
    case MESH_DONE:
      if (done->request == MESH_SCHEDULER_CHANGED)
        {
          note_turned_away (broker, asker);
          return true;
        }
      result
          = (SchedResult){ done->outcome <= SCHED_LEFT ? (SchedOutcome) done->outcome : SCHED_LEFT,
                           done->event_us, done->answer_us, done->broke,
                           done->conn_idle_ms * FT_MS };
      hand_cancel (broker->hand, peer->lifetime, done->request);
      sched_done (broker->sched, peer->lifetime, done->request, &result);
      return true;
    default:
      return false;
    }
}

bool
broker_peer_waits (const Broker *broker, const MeshPeer *peer)
{
  const Asker *asker = g_hash_table_lookup (broker->askers, &peer->lifetime);

  return asker && asker->waiting > 0;
}

bool
broker_peer_asked (const Broker *broker, const MeshPeer *peer)
{
  const Asker *asker = g_hash_table_lookup (broker->askers, &peer->lifetime);

  return asker && asker->asked_at > loop_now (broker->loop) - ASKER_TIMEOUT;
}

unsigned
broker_asker_count (const Broker *broker)
{
  int64_t since = loop_now (broker->loop) - ASKER_TIMEOUT;
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, broker->askers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((Asker *) value)->asked_at > since;
  return count;
}

unsigned
broker_unreported_count (const Broker *broker, int64_t since)
{
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, broker->askers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Asker *asker = value;
      count += asker->peer->role == MESH_ENTRY
               && (!asker->reported || asker->peer->received_at < since);
    }
  return count;
}

unsigned
broker_reported_entry_count (const Broker *broker)
{
  GHashTableIter iter;
  gpointer value;
  unsigned most = 0;

  g_hash_table_iter_init (&iter, broker->askers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    most = MAX (most, ((const Asker *) value)->entry_count);
  return most;
}

unsigned
broker_away_count (const Broker *broker)
{
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, broker->askers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((Asker *) value)->away;
  return count;
}
