/* place.c - who schedules for this entry.
 *
 * The voter in charge of the log schedules for everybody: one ledger of the places, one queue by
 * tier, one account of the limits, at the price of one round trip. It needs no lease, since only an
 * entry sends its own requests: two schedulers at once overcommit a little, nothing runs twice.
 *
 * Failure: that voter dies, freezes or is cut off. Symptom: every request waits for an election, a
 * second or more, and if all voters are gone, for good. So a scheduler that has said nothing for
 * SILENT while a request waits there is passed over, and the next one is asked:
 *     the voter in charge; deputies, entries that the voter in charge has named beforehand, in
 * their order; the entry's own scheduler, with its part of the places and limits. All entries have
 * the same deputies in the same order, so they usually meet at the same one, which then has the
 * whole queue and ledger. As soon as a better one speaks again it is asked instead. The own
 * scheduler follows all along what the entry's requests run on and how fast.
 */
#include "placeint.h"
#include "count.h"
#include "jlog.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define SILENT                                                                                     \
  (120 * FT_MS) /* three of the 40 ms in which a scheduler speaks to who waits there               \
                 */
#define FRESH         (700 * FT_MS) /* a scheduler that nobody waits for speaks every 200 ms */
#define BACKOFF_LEAST (200 * FT_MS) /* a lost packet is sent again within that */
#define BACKOFF_MOST  (2 * FT_SECOND)
#define CALM          (4 * FT_SECOND) /* without a silence, after which the time starts anew */
#define TICK          (20 * FT_MS)
#define COUNTED_AFTER (20 * FT_MS) /* a scheduler that speaks so long after an ask has read it */
#define OVERCOMMIT                                                                                 \
  1.4 /* callers are spread unevenly over entries: a bare part leaves places idle */

typedef struct
{
  int64_t heard; /* when it was last heard, as it was passed over */
  int64_t until, at, backoff;
} PassedOver;

/* ---- Items ---- */

static void
item_free (void *data)
{
  Item *item = data;

  g_free (item->service);
  g_free (item->org);
  g_free (item->avoid);
  g_free (item->server);
  g_free (item->kept);
  g_free (item);
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

/* ---- Asking whoever is current ---- */

static const SchedResult withdrawn = { .outcome = SCHED_LEFT };

static void
ask_current (Place *place, Item *item)
{
  item->at = place->current;
  item->asked_at = loop_now (place->loop);
  if (item->at)
    {
      pmsg_ask (place, item->at, item);
      return;
    }
  broker_ask (place->own, &item->ask, item->counted ? 0 : item->cost);
}

static void
withdraw (Place *place, const Item *item)
{
  if (item->at)
    pmsg_done (item->at, item->number, &withdrawn);
  else
    broker_done (place->own, item->number, &withdrawn);
}

/* Failure: an entry behind a lossy path goes between schedulers several times a second, and each
 * counts it as its own for a while. Symptom: each gives away this entry's part of the limits, and
 * an organisation passes its own. Who is left is told so. */
static void
say_turned_away (MeshPeer *peer)
{
  MeshMsg msg = { .kind = MESH_DONE };

  msg.MeshMsg_u.done = (MeshDone){ .request = MESH_TURNED_AWAY, .outcome = SCHED_LEFT };
  mesh_send (peer, &msg);
}

/* The own scheduler's part: alone its part of all, more when other entries ask it too. */
static void
share (Place *place)
{
  unsigned askers = broker_askers (place->own), all = MAX (place->entries, 1);
  double places = (1.0 + askers) / all;
  double overcommit = askers > 0 && broker_hands_over (place->own) ? 1 : OVERCOMMIT;
  double limits = (double) (askers + (place->current == NULL)) / all;

  broker_expected (place->own, all);
  broker_share (place->own, MIN (1, places * overcommit), MIN (1, limits), place->self);
}

static bool
is_deputy (const Place *place)
{
  for (unsigned i = 0; i < place->deputy_count; i++)
    if (place->deputies[i] == place->self)
      return true;
  return false;
}

/* Failure: a second of requests waits at full load, and the next scheduler counts all of them once
 * more within some milliseconds, against accounts that go on from where the one before had counted
 * them. Symptom: organisations at 0.85 of their limits are refused by the hundred. What was counted
 * stays counted, wherever it waits; not what an entry alone counted against its own part, which
 * nobody is told. */
static void
note_counted (const Place *place, Item *item)
{
  if (broker_hands_over (place->own)
      && (item->at == NULL ? is_deputy (place) : item->at->heard - item->asked_at > COUNTED_AFTER))
    item->counted = true;
}

/* Everything that waits goes to the new one, and it learns what runs. */
static void
change_to (Place *place, MeshPeer *next, const char *why)
{
  MeshPeer *before = place->current;
  GHashTableIter iter;
  gpointer value;

  place->current = next;
  share (place);
  if (next == NULL && is_deputy (place))
    broker_take_over (place->own);
  if (before)
    say_turned_away (before);
  jlog (JLOG_INFO, "scheduler", NULL, JL_TEXT ("by", place_by (place)), JL_TEXT ("why", why),
        JL_INT ("peer", next ? next->ip : 0), JL_INT ("term", place->term),
        JL_INT ("waiting", place->waiting));
  if (next == NULL || next->role == MESH_ENTRY)
    count_up (COUNT_FALL_BACKS);
  pmsg_notices (place);
  g_hash_table_iter_init (&iter, place->items);
  while (next && g_hash_table_iter_next (&iter, NULL, &value))
    if (((Item *) value)->running)
      pmsg_ask (place, next, value);
  if (next && broker_hands_over (place->own))
    pmsg_reported (place, next);
  g_hash_table_iter_init (&iter, place->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Item *item = value;
      if (item->running)
        continue;
      note_counted (place, item);
      withdraw (place, item); /* which gives back what it was counted with */
      ask_current (place, item);
    }
}

/* ---- Who is to be asked ---- */

/* Failure: packets are lost, so a scheduler falls silent again and again for a moment. Symptom:
 * every request that waits goes back and forth. It is asked again only after a time that doubles.
 */
static void
pass_over (Place *place, MeshPeer *peer)
{
  int64_t now = loop_now (place->loop);
  PassedOver *passed = g_hash_table_lookup (place->passed_over, peer);

  if (passed == NULL)
    {
      passed = g_new0 (PassedOver, 1);
      g_hash_table_insert (place->passed_over, peer, passed);
    }
  bool again = passed->at && now - passed->at < CALM;
  passed->backoff = again ? MIN (passed->backoff * 2, BACKOFF_MOST) : BACKOFF_LEAST;
  passed->at = now;
  passed->heard = peer->heard;
  passed->until = now + passed->backoff;
}

static bool
is_passed_over (const Place *place, const MeshPeer *peer)
{
  const PassedOver *passed = g_hash_table_lookup (place->passed_over, peer);

  return passed && (peer->heard <= passed->heard || loop_now (place->loop) < passed->until);
}

static bool
is_usable (Place *place, const MeshPeer *peer)
{
  return !peer->leaving && loop_now (place->loop) - peer->heard < FRESH
         && !is_passed_over (place, peer);
}

typedef struct
{
  Place *place;
  MeshPeer *found;
} Search;

static void
lowest_voter (MeshPeer *peer, void *data)
{
  Search *search = data;

  if (peer->dialled && peer->role == MESH_VOTER && is_usable (search->place, peer)
      && (search->found == NULL || peer->ip < search->found->ip))
    search->found = peer;
}

static MeshPeer *
best (Place *place)
{
  Search search = { place, NULL };

  if (place->voter && is_usable (place, place->voter))
    return place->voter;
  for (unsigned i = 0; i < place->deputy_count; i++)
    {
      if (place->deputies[i] == place->self)
        return NULL;
      MeshPeer *peer = mesh_find_dialled (place->mesh, place->deputies[i]);
      if (peer && is_usable (place, peer))
        return peer;
    }
  mesh_for_each_peer (place->mesh, lowest_voter, &search);
  return search.found;
}

static void
decide (Place *place, const char *why)
{
  MeshPeer *next = best (place);

  if (next != place->current)
    change_to (place, next, why);
}

void
place_view (Place *place, MeshPeer *peer, const MeshView *view)
{
  if (peer->role != MESH_VOTER)
    return;
  if (view->proved && view->term >= place->term)
    {
      place->voter = peer;
      place->term = view->term;
      if (view->entries > 0)
        place->entries = view->entries;
      place->deputy_count = 0;
      for (unsigned i = 0; i < view->deputies.deputies_len && i < DEPUTIES; i++)
        {
          place->deputies[place->deputy_count++] = view->deputies.deputies_val[i];
          mesh_dial (place->mesh, view->deputies.deputies_val[i]);
        }
    }
  else if (place->voter == peer)
    place->voter = NULL;
  if (!view->proved)
    place->entries = MAX (place->entries, view->entries); /* after a start nobody knows better */
  decide (place, "a voter's word");
}

void
place_up (Place *place, MeshPeer *peer)
{
  if (!peer->dialled && peer->role == MESH_ENTRY)
    broker_up (place->own, peer);
}

static void
forget_peer (Item *item, const MeshPeer *peer)
{
  if (item->at == peer)
    item->at = NULL;
  for (unsigned i = 0; i < TOLD_MOST; i++)
    if (item->told[i] == peer)
      item->told[i] = NULL;
}

void
place_down (Place *place, MeshPeer *peer)
{
  GHashTableIter iter;
  gpointer value;

  if (!peer->dialled)
    broker_down (place->own, peer);
  g_hash_table_remove (place->passed_over, peer);
  spent_forget (place->spent, peer);
  if (place->voter == peer)
    place->voter = NULL;
  if (place->current == peer)
    decide (place, "its link is down");
  g_hash_table_iter_init (&iter, place->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    forget_peer (value, peer);
}

static bool
anyone_waits_at (const Place *place, const MeshPeer *peer, int64_t since)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, place->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Item *item = value;
      if (!item->running && item->at == peer && item->asked_at < since)
        return true;
    }
  return false;
}

static void
on_tick (LoopTimer *timer)
{
  Place *place = (Place *) ((char *) timer - offsetof (Place, tick));
  int64_t now = loop_now (place->loop);
  MeshPeer *current = place->current;

  if (current && place->waiting > 0 && now - current->heard > SILENT
      && anyone_waits_at (place, current, now - SILENT))
    pass_over (place, current);
  decide (place, "time");
  share (place);
  broker_tick (place->own);
  loop_timer_set (place->loop, timer, now + TICK);
}

/* ---- Verdicts ---- */

static void
note_report (Place *place, const MeshPeer *peer, const char *org, u_int fill)
{
  if (fill != MESH_FILL_UNKNOWN)
    spent_report (place->spent, peer, org, fill / 1e3);
}

static void
on_own_grant (void *host, uint64_t number, const Grant *grant)
{
  Place *place = host;
  Item *item = place_item (place, number);

  if (item == NULL || item->running || item->at)
    return;
  run (place, item, grant->server.id);
  spent_granted (place->spent, NULL, item->org, item->cost);
  place->ops->grant (place->host, number, grant);
}

static void
on_own_refuse (void *host, uint64_t number, const SchedRefusal *refusal)
{
  Place *place = host;
  Item *item = place_item (place, number);

  if (item == NULL || item->running || item->at)
    return;
  drop (place, item);
  place->ops->refuse (place->host, number, refusal);
}

static const BrokerOps own_ops = { on_own_grant, on_own_refuse };

/* Failure: a grant is under way while its request is withdrawn, since another scheduler is asked.
 * Symptom: who granted it gives the place to the next, and both run; the scheduler that takes over
 * has been told of neither. */
static bool
is_withdrawn_from (const Place *place, const Item *item, const MeshPeer *peer)
{
  return item->at != peer && broker_hands_over (place->own);
}

static void
on_grant (Place *place, MeshPeer *peer, const MeshGrant *from)
{
  Item *item = place_item (place, from->request);

  if (item == NULL || item->running)
    {
      if (item == NULL || strcmp (item->server, from->server) != 0)
        pmsg_done (peer, from->request, &withdrawn);
      return;
    }
  if (is_withdrawn_from (place, item, peer))
    return;
  if (item->at != peer)
    withdraw (place, item);
  run (place, item, from->server);
  item->paced = from->paced;
  spent_granted (place->spent, peer, item->org, item->cost);
  note_report (place, peer, item->org, from->org_fill);
  broker_adopt (place->own, &item->ask, from->server, item->cost);
  Grant grant = { .server = { .id = from->server,
                              .name = *from->name ? from->name : from->server,
                              .addr = { from->ip, (uint16_t) from->port },
                              .leaving = from->ip == 0 },
                  .listed_at = loop_now (place->loop) - from->list_age_ms * FT_MS,
                  .rest_most = from->rest_most_ms * FT_MS };
  place->ops->grant (place->host, from->request, &grant);
}

static void
on_refuse (Place *place, const MeshPeer *peer, const MeshRefuse *from)
{
  Item *item = place_item (place, from->request);
  SchedRefusal refusal
      = { .reason = from->reason < FT_REASONS ? from->reason : FT_REASON_SHORTAGE };

  if (item == NULL || item->running || item->at != peer)
    return;
  refusal.retry_after_us = from->retry_after_ms * FT_MS;
  g_strlcpy (refusal.rule, from->rule, sizeof refusal.rule);
  note_report (place, peer, item->org, from->org_fill);
  drop (place, item);
  place->ops->refuse (place->host, from->request, &refusal);
}

/* Failure: a deputy that nobody has asked yet holds next to nothing of the limits until its next
 * tick. Symptom: the first that turn to it when the voters die are refused below their limits. Its
 * part grows with the ask.
 *
 * Failure: nearly all have turned away. Symptom: until the next tick the rest is granted each place
 * that becomes free, which the next scheduler grants as well. Its part falls with them. */
static void
take_message (Place *place, MeshPeer *peer, const MeshMsg *msg)
{
  if (msg->kind == MESH_ASK && !broker_asked (place->own, peer))
    {
      broker_expect (place->own, peer);
      share (place);
    }
  broker_message (place->own, peer, msg);
  if (msg->kind == MESH_DONE && msg->MeshMsg_u.done.request == MESH_TURNED_AWAY)
    share (place);
}

void
place_message (Place *place, MeshPeer *peer, const MeshMsg *msg)
{
  if (msg->kind == MESH_GRANT)
    on_grant (place, peer, &msg->MeshMsg_u.grant);
  else if (msg->kind == MESH_REFUSE)
    on_refuse (place, peer, &msg->MeshMsg_u.refuse);
  else if (!peer->dialled)
    take_message (place, peer, msg);
}

/* ---- Interface ---- */

Place *
place_new (Loop *loop, Mesh *mesh, uint32_t self, const PlaceOps *ops, void *host)
{
  Place *place = g_new0 (Place, 1);

  place->loop = loop;
  place->mesh = mesh;
  place->self = self;
  place->ops = ops;
  place->host = host;
  place->entries = 1;
  place->items = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, item_free);
  place->passed_over = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  place->spent = spent_new (loop_clock (loop));
  place->notices = notices_new (loop_clock (loop));
  place->own = broker_new (loop, "entry", &own_ops, place);
  place->tick.fire = on_tick;
  loop_timer_set (loop, &place->tick, loop_now (loop) + TICK);
  return place;
}

void
place_free (Place *place)
{
  if (place == NULL)
    return;
  loop_timer_stop (place->loop, &place->tick);
  g_hash_table_unref (place->items);
  g_hash_table_unref (place->passed_over);
  spent_free (place->spent);
  notices_free (place->notices);
  broker_free (place->own);
  g_free (place);
}

Broker *
place_broker (Place *place)
{
  return place->own;
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
  item->ask.kept_count = MIN (ask->kept_count, MESH_KEPT_MOST);
  item->ask.kept = item->kept = g_memdup2 (ask->kept, item->ask.kept_count * sizeof *ask->kept);
  item->cost = cost;
  g_hash_table_insert (place->items, &item->number, item);
  place->waiting++;
  ask_current (place, item);
}

void
place_first (Place *place, uint64_t request, int64_t after_us)
{
  const Item *item = place_item (place, request);
  MeshMsg msg = { .kind = MESH_FIRST };

  broker_first (place->own, request, after_us);
  msg.MeshMsg_u.first = (MeshFirst){ request, after_us };
  if (item)
    pmsg_tell_all (item, &msg);
}

void
place_silent (Place *place, uint64_t request)
{
  const Item *item = place_item (place, request);
  MeshMsg msg = { .kind = MESH_SILENT };

  broker_silent (place->own, request);
  msg.MeshMsg_u.silent.request = request;
  if (item)
    pmsg_tell_all (item, &msg);
}

void
place_done (Place *place, uint64_t request, const SchedResult *result)
{
  Item *item = place_item (place, request);

  if (item == NULL)
    return;
  pmsg_done_all (item, result);
  drop (place, item);
  broker_done (place->own, request, result);
}

bool
place_by_voter (const Place *place)
{
  return place->current && place->current->role == MESH_VOTER;
}

const char *
place_by (const Place *place)
{
  if (place->current == NULL)
    return "own";
  return place_by_voter (place) ? "voter" : "deputy";
}

unsigned
place_waiting (const Place *place)
{
  return place->waiting;
}
