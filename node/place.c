/* place.c - chooses the scheduler for this entry and tracks the entry's requests there.
 *
 * The voter in charge of the log schedules for all entries: one ledger of the places, one queue
 * ordered by tier and one account of the limits, at the cost of one round trip a request. It needs
 * no lease, since only an entry sends its own requests: two schedulers active at once overcommit
 * servers a little, but nothing runs twice.
 *
 * If that voter dies, freezes or is cut off, requests must not wait for an election, which takes a
 * second or more and never ends when all voters are gone. So a scheduler that has sent nothing for
 * SILENCE_MAX while a request waits there is skipped and the next one is asked. The order is:
 *
 *   1. the voter in charge;
 *   2. the deputies, entries that the voter in charge has named beforehand, in their order;
 *   3. the entry's own scheduler, with its part of the places and limits.
 *
 * All entries have the same deputies in the same order, so they usually choose the same one, which
 * then has the whole queue and ledger. As soon as a better one is heard again it is asked instead.
 * The own scheduler is always kept informed of what the entry's requests run on and how fast.
 */
#include "placeint.h"
#include "count.h"
#include "jlog.h"

#include <string.h>

#define SILENCE_MAX                                                                                \
  (120 * FT_MS) /* three of the 40 ms intervals at which a scheduler sends keep-alives to entries  \
                   that wait there */
#define HEARD_WITHIN                                                                               \
  (700 * FT_MS) /* where nobody waits a scheduler sends keep-alives every 200 ms; one not heard    \
                   for this long is not asked */
#define BACKOFF_MIN (200 * FT_MS) /* a lost packet is retransmitted within this time */
#define BACKOFF_MAX (2 * FT_SECOND)
#define BACKOFF_RESET                                                                              \
  (4 * FT_SECOND) /* after this time without a silence the backoff restarts at its minimum */
#define TICK (20 * FT_MS)
#define CHARGED_AFTER                                                                              \
  (20 * FT_MS) /* a scheduler that is heard this long after an ask has read it */
#define OVERCOMMIT                                                                                 \
  1.4 /* callers are spread unevenly over entries, so that exact parts would leave places idle */

typedef struct
{
  int64_t heard;   /* when it had last been heard as it was skipped */
  int64_t until;   /* not asked before */
  int64_t at;      /* when it was skipped last */
  int64_t backoff; /* doubles with each silence */
} SkippedPeer;

/* ---- Requests ---- */

static void
place_req_free (void *data)
{
  PlaceReq *req = data;

  g_free (req->service);
  g_free (req->org);
  g_free (req->avoid);
  g_free (req->version);
  g_free (req->server);
  g_free (req->kept);
  g_free (req);
}

static void
mark_running (Place *place, PlaceReq *req, const char *server)
{
  g_free (req->server);
  req->server = g_strdup (server);
  req->running = true;
  place->waiting--;
}

static void
remove_req (Place *place, PlaceReq *req)
{
  if (!req->running)
    place->waiting--;
  g_hash_table_remove (place->reqs, &req->number);
}

/* ---- Asking the current scheduler ---- */

static const SchedResult withdrawn = { .outcome = SCHED_LEFT };

static void
ask_scheduler (Place *place, PlaceReq *req)
{
  req->scheduler = place->current;
  req->asked_at = loop_now (place->loop);
  if (req->scheduler)
    {
      pmsg_ask (place, req->scheduler, req);
      return;
    }
  broker_ask (place->own, &req->ask, req->charged ? 0 : req->cost);
}

static void
withdraw (Place *place, const PlaceReq *req)
{
  if (req->scheduler)
    pmsg_done (req->scheduler, req->number, &withdrawn);
  else
    broker_end (place->own, req->number, &withdrawn);
}

/* Tells a scheduler that this entry asks another one now. An entry behind a lossy path changes
 * schedulers several times a second. If each counted it as its own for a while, each would give
 * away this entry's part of the limits, and organisations would exceed theirs. */
static void
send_turned_away (MeshPeer *peer)
{
  MeshMsg msg = { .kind = MESH_DONE };

  msg.MeshMsg_u.done = (MeshDone){ .request = MESH_SCHEDULER_CHANGED, .outcome = SCHED_LEFT };
  mesh_send (peer, &msg);
}

/* Sets the own scheduler's parts of places and limits: one entry's part, and one more for each
 * other entry that asks it. */
static void
update_shares (Place *place)
{
  unsigned askers = broker_asker_count (place->own), entries = MAX (place->entries, 1);
  double places = (1.0 + askers) / entries;
  double overcommit = askers > 0 && broker_handover_enabled (place->own) ? 1 : OVERCOMMIT;
  double limits = (double) (askers + (place->current == NULL)) / entries;

  broker_set_expected (place->own, entries);
  broker_set_shares (place->own, MIN (1, places * overcommit), MIN (1, limits), place->self);
}

static bool
is_deputy (const Place *place)
{
  for (unsigned i = 0; i < place->deputy_count; i++)
    if (place->deputies[i] == place->self)
      return true;
  return false;
}

/* Marks a waiting request as charged to its organisation's limit if the scheduler that it leaves
 * has charged it. At full load a second of requests waits, and the next scheduler would charge
 * all of them again within milliseconds, to accounts that already include them: organisations at
 * 0.85 of their limits would be refused by the hundred. What an entry that is no deputy has
 * charged to its own part does not count, since no other scheduler is told of it. */
static void
mark_charged (const Place *place, PlaceReq *req)
{
  if (broker_handover_enabled (place->own)
      && (req->scheduler == NULL ? is_deputy (place)
                                 : req->scheduler->received_at - req->asked_at > CHARGED_AFTER))
    req->charged = true;
}

/* Makes next the current scheduler: tells it what runs and asks it for everything that waits. */
static void
switch_scheduler (Place *place, MeshPeer *next, const char *why)
{
  MeshPeer *before = place->current;
  GHashTableIter iter;
  gpointer value;

  place->current = next;
  update_shares (place);
  if (next == NULL && is_deputy (place))
    broker_take_over (place->own);
  if (before)
    send_turned_away (before);
  jlog (JLOG_INFO, "scheduler", NULL, JL_TEXT ("by", place_scheduler_name (place)),
        JL_TEXT ("why", why), JL_INT ("peer", next ? next->ip : 0), JL_INT ("term", place->term),
        JL_INT ("waiting", place->waiting));
  if (next == NULL || next->role == MESH_ENTRY)
    count_inc (COUNT_FALL_BACKS);
  pmsg_notices (place);
  g_hash_table_iter_init (&iter, place->reqs);
  while (next && g_hash_table_iter_next (&iter, NULL, &value))
    if (((PlaceReq *) value)->running)
      pmsg_ask (place, next, value);
  if (next)
    pmsg_report_end (place, next);
  g_hash_table_iter_init (&iter, place->reqs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PlaceReq *req = value;
      if (req->running)
        continue;
      mark_charged (place, req);
      withdraw (place, req); /* its scheduler refunds its own charge */
      ask_scheduler (place, req);
    }
}

/* ---- Choosing the scheduler ---- */

/* Skips a silent scheduler for a time that doubles with each silence. On a path that loses
 * packets a scheduler falls silent for a moment again and again, and every waiting request would
 * move back and forth. */
static void
skip_peer (Place *place, MeshPeer *peer)
{
  int64_t now = loop_now (place->loop);
  SkippedPeer *skip = g_hash_table_lookup (place->skipped, peer);

  if (skip == NULL)
    {
      skip = g_new0 (SkippedPeer, 1);
      g_hash_table_insert (place->skipped, peer, skip);
    }
  bool again = skip->at && now - skip->at < BACKOFF_RESET;
  skip->backoff = again ? MIN (skip->backoff * 2, BACKOFF_MAX) : BACKOFF_MIN;
  skip->at = now;
  skip->heard = peer->received_at;
  skip->until = now + skip->backoff;
}

static bool
is_skipped (const Place *place, const MeshPeer *peer)
{
  const SkippedPeer *skip = g_hash_table_lookup (place->skipped, peer);

  return skip && (peer->received_at <= skip->heard || loop_now (place->loop) < skip->until);
}

static bool
is_usable (Place *place, const MeshPeer *peer)
{
  return !peer->leaving && loop_now (place->loop) - peer->received_at < HEARD_WITHIN
         && !is_skipped (place, peer);
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
best_scheduler (Place *place)
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
choose_scheduler (Place *place, const char *why)
{
  MeshPeer *next = best_scheduler (place);

  if (next != place->current)
    switch_scheduler (place, next, why);
}

void
place_apply_view (Place *place, MeshPeer *peer, const MeshView *view)
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
      for (unsigned i = 0; i < view->deputies.deputies_len && i < DEPUTIES_MAX; i++)
        {
          place->deputies[place->deputy_count++] = view->deputies.deputies_val[i];
          mesh_dial (place->mesh, view->deputies.deputies_val[i]);
        }
    }
  else if (place->voter == peer)
    place->voter = NULL;
  if (!view->proved)
    /* After a start the largest number heard is the best estimate. */
    place->entries = MAX (place->entries, view->entries);
  choose_scheduler (place, "view of a voter");
}

void
place_link_up (Place *place, MeshPeer *peer)
{
  if (!peer->dialled && peer->role == MESH_ENTRY)
    broker_link_up (place->own, peer);
}

static void
forget_peer (PlaceReq *req, const MeshPeer *peer)
{
  if (req->scheduler == peer)
    req->scheduler = NULL;
  for (unsigned i = 0; i < INFORMED_MAX; i++)
    if (req->informed[i] == peer)
      req->informed[i] = NULL;
}

void
place_link_down (Place *place, MeshPeer *peer)
{
  GHashTableIter iter;
  gpointer value;

  if (!peer->dialled)
    broker_link_down (place->own, peer);
  g_hash_table_remove (place->skipped, peer);
  spent_forget_scheduler (place->spent, peer);
  if (place->voter == peer)
    place->voter = NULL;
  if (place->current == peer)
    choose_scheduler (place, "link down");
  g_hash_table_iter_init (&iter, place->reqs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    forget_peer (value, peer);
}

static bool
anyone_waits_at (const Place *place, const MeshPeer *peer, int64_t since)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, place->reqs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PlaceReq *req = value;
      if (!req->running && req->scheduler == peer && req->asked_at < since)
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

  if (current && place->waiting > 0 && now - current->received_at > SILENCE_MAX
      && anyone_waits_at (place, current, now - SILENCE_MAX))
    skip_peer (place, current);
  choose_scheduler (place, "time");
  update_shares (place);
  broker_tick (place->own);
  loop_timer_set (place->loop, timer, now + TICK);
}

/* ---- Decisions of schedulers ---- */

static void
record_report (Place *place, const MeshPeer *peer, const char *org, u_int fill)
{
  if (fill != MESH_FILL_UNKNOWN)
    spent_record_report (place->spent, peer, org, fill / 1e3);
}

static void
on_own_grant (void *host, uint64_t number, const Grant *grant)
{
  Place *place = host;
  PlaceReq *req = place_find (place, number);

  if (req == NULL || req->running || req->scheduler)
    return;
  mark_running (place, req, grant->server.id);
  spent_record_grant (place->spent, NULL, req->org, req->cost);
  place->ops->grant (place->host, number, grant);
}

static void
on_own_refuse (void *host, uint64_t number, const SchedRefusal *refusal)
{
  Place *place = host;
  PlaceReq *req = place_find (place, number);

  if (req == NULL || req->running || req->scheduler)
    return;
  remove_req (place, req);
  place->ops->refuse (place->host, number, refusal);
}

static const BrokerOps own_ops = { on_own_grant, on_own_refuse };

/* True for a grant by a scheduler from which the request has been withdrawn, since another one is
 * asked. The granting scheduler gives the place to its next request as soon as it learns of the
 * withdrawal. If the grant were used, both requests would run there, and the scheduler that takes
 * over would know of neither. */
static bool
is_withdrawn_from (const Place *place, const PlaceReq *req, const MeshPeer *peer)
{
  return req->scheduler != peer && broker_handover_enabled (place->own);
}

static void
on_grant (Place *place, MeshPeer *peer, const MeshGrant *from)
{
  PlaceReq *req = place_find (place, from->request);

  if (req == NULL || req->running)
    {
      if (req == NULL || strcmp (req->server, from->server) != 0)
        pmsg_done (peer, from->request, &withdrawn);
      return;
    }
  if (is_withdrawn_from (place, req, peer))
    return;
  MeshPeer *asked = req->scheduler;
  if (asked != peer)
    withdraw (place, req);
  mark_running (place, req, from->server);
  if (asked && asked != peer)
    pmsg_ask (place, asked, req); /* its ledger must show what runs */
  req->paced = from->paced;
  spent_record_grant (place->spent, peer, req->org, req->cost);
  record_report (place, peer, req->org, from->org_fill);
  broker_adopt (place->own, &req->ask, from->server, req->cost);
  Grant grant = { .server = { .id = from->server,
                              .name = *from->name ? from->name : from->server,
                              .version = from->software,
                              .addr = { from->ip, (uint16_t) from->port },
                              .leaving = from->ip == 0 },
                  .listed_at = mesh_arrived_at (peer) - from->list_age_ms * FT_MS,
                  .max_idle_us = from->max_idle_ms * FT_MS };
  place->ops->grant (place->host, from->request, &grant);
}

static void
on_refuse (Place *place, const MeshPeer *peer, const MeshRefuse *from)
{
  PlaceReq *req = place_find (place, from->request);
  SchedRefusal refusal
      = { .reason = from->reason < FT_REASON_COUNT ? from->reason : FT_REASON_SHORTAGE };

  if (req == NULL || req->running || req->scheduler != peer)
    return;
  refusal.retry_after_us = from->retry_after_ms * FT_MS;
  g_strlcpy (refusal.rule, from->rule, sizeof refusal.rule);
  record_report (place, peer, req->org, from->org_fill);
  remove_req (place, req);
  place->ops->refuse (place->host, from->request, &refusal);
}

/* Handles a message of an entry to this one as its scheduler. The parts of the limits follow at
 * once when an entry begins to ask or turns away, not at the next tick: a deputy that nobody has
 * asked yet holds next to nothing of the limits and would refuse the first entries that turn to
 * it when the voters die; and one from which nearly all have turned away would grant places that
 * the next scheduler grants, too. */
static void
handle_asker_message (Place *place, MeshPeer *peer, const MeshMsg *msg)
{
  if (msg->kind == MESH_ASK && !broker_peer_asked (place->own, peer))
    {
      broker_note_asker (place->own, peer);
      update_shares (place);
    }
  broker_message (place->own, peer, msg);
  if (msg->kind == MESH_DONE && msg->MeshMsg_u.done.request == MESH_SCHEDULER_CHANGED)
    update_shares (place);
}

void
place_message (Place *place, MeshPeer *peer, const MeshMsg *msg)
{
  if (msg->kind == MESH_GRANT)
    on_grant (place, peer, &msg->MeshMsg_u.grant);
  else if (msg->kind == MESH_REFUSE)
    on_refuse (place, peer, &msg->MeshMsg_u.refuse);
  else if (!peer->dialled)
    handle_asker_message (place, peer, msg);
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
  place->reqs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, place_req_free);
  place->skipped = g_hash_table_new_full (NULL, NULL, NULL, g_free);
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
  g_hash_table_unref (place->reqs);
  g_hash_table_unref (place->skipped);
  spent_free (place->spent);
  notices_free (place->notices);
  broker_free (place->own);
  g_free (place);
}

Broker *
place_own_broker (Place *place)
{
  return place->own;
}

void
place_ask (Place *place, const SchedAsk *ask, double cost)
{
  PlaceReq *req = g_new0 (PlaceReq, 1);

  req->number = ask->request;
  req->ask = *ask;
  req->ask.owner = 0;
  req->ask.service = req->service = g_strdup (ask->service);
  req->ask.org = req->org = g_strdup (ask->org ? ask->org : "");
  req->ask.avoid = req->avoid = g_strdup (ask->avoid);
  req->ask.version = req->version = g_strdup (ask->version);
  req->ask.kept_count = MIN (ask->kept_count, MESH_CONNECTED_MAX);
  req->ask.kept = req->kept = g_memdup2 (ask->kept, req->ask.kept_count * sizeof *ask->kept);
  req->cost = cost;
  g_hash_table_insert (place->reqs, &req->number, req);
  place->waiting++;
  ask_scheduler (place, req);
}

void
place_report_first (Place *place, uint64_t request, int64_t after_us)
{
  const PlaceReq *req = place_find (place, request);
  MeshMsg msg = { .kind = MESH_FIRST_EVENT };

  broker_report_first (place->own, request, after_us);
  msg.MeshMsg_u.first = (MeshFirstEvent){ request, after_us };
  if (req)
    pmsg_tell_all (req, &msg);
}

void
place_report_silence (Place *place, uint64_t request)
{
  const PlaceReq *req = place_find (place, request);
  MeshMsg msg = { .kind = MESH_SILENCE };

  broker_report_silence (place->own, request);
  msg.MeshMsg_u.silent.request = request;
  if (req)
    pmsg_tell_all (req, &msg);
}

void
place_end (Place *place, uint64_t request, const SchedResult *result)
{
  PlaceReq *req = place_find (place, request);

  if (req == NULL)
    return;
  pmsg_done_all (req, result);
  remove_req (place, req);
  broker_end (place->own, request, result);
}

bool
place_uses_voter (const Place *place)
{
  return place->current && place->current->role == MESH_VOTER;
}

const char *
place_scheduler_name (const Place *place)
{
  if (place->current == NULL)
    return "own";
  return place_uses_voter (place) ? "voter" : "deputy";
}

unsigned
place_waiting_count (const Place *place)
{
  return place->waiting;
}
