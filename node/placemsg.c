/* placemsg.c - the messages of an entry to schedulers: asks, outcomes of requests and notices of
 * servers. */
#include "placeint.h"

static void
add_informed (PlaceReq *req, MeshPeer *peer)
{
  unsigned free_at = INFORMED_MAX;

  for (unsigned i = 0; i < INFORMED_MAX; i++)
    {
      if (req->informed[i] == peer)
        return;
      if (req->informed[i] == NULL && free_at == INFORMED_MAX)
        free_at = i;
    }
  if (free_at < INFORMED_MAX)
    req->informed[free_at] = peer;
}

/* Every scheduler that was told of a request is told of its end. Otherwise a request that was
 * granted by one scheduler and ends while another is asked would hold its place in the first
 * one's ledger for ever, and requests would be refused although servers are idle. */
void
pmsg_tell_all (const PlaceReq *req, const MeshMsg *msg)
{
  for (unsigned i = 0; i < INFORMED_MAX; i++)
    if (req->informed[i])
      mesh_send (req->informed[i], msg);
}

/* What the scheduler is to be told of an organisation's limit: how much other schedulers granted
 * of it, and how full the last of them reported the account. */
static MeshAccount
known_account (Place *place, const MeshPeer *peer, const char *org)
{
  MeshAccount out = { .org = (char *) org, .org_fill_ms = MESH_FILL_UNKNOWN };
  double full;
  int64_t age, given_for;

  out.spent_tokens = (unsigned) spent_take_untold (place->spent, peer, org, &given_for);
  out.spent_ms = (u_int) (given_for / FT_MS);
  if (!spent_latest_report (place->spent, peer, org, &full, &age))
    return out;
  out.org_fill = (u_int) (full * 1e3);
  out.org_fill_ms = (u_int) (age / FT_MS);
  return out;
}

void
pmsg_ask (Place *place, MeshPeer *peer, PlaceReq *req)
{
  int64_t now = loop_now (place->loop);
  MeshMsg msg = { .kind = MESH_ASK };
  const SchedAsk *ask = &req->ask;
  char none[] = "";

  msg.MeshMsg_u.ask = (MeshAsk){ .request = req->number,
                                 .service = req->service,
                                 .org = req->org,
                                 .tier = ask->tier,
                                 .stream = ask->stream,
                                 .repeatable = ask->repeatable,
                                 .prompt_tokens = ask->prompt_tokens,
                                 .output_tokens = ask->output_tokens,
                                 .cost_tokens = req->charged ? 0 : (unsigned) req->cost,
                                 .route = ask->route,
                                 .shared_part = ask->shared_part,
                                 .content = ask->content,
                                 .gap_ms = (unsigned) (ask->gap_us / FT_MS),
                                 .aim_in_us = ask->aim_at - now,
                                 .limit_in_us = ask->limit_at - now,
                                 .end_in_us = ask->end_at - now,
                                 .kept = { req->running ? 0 : ask->kept_count, req->kept },
                                 .avoid = req->avoid ? req->avoid : none,
                                 .running = req->running,
                                 .server = req->server ? req->server : none,
                                 .software = req->version ? req->version : none };
  MeshAccount account = known_account (place, peer, req->org);
  msg.MeshMsg_u.ask.spent_tokens = account.spent_tokens;
  msg.MeshMsg_u.ask.spent_ms = account.spent_ms;
  msg.MeshMsg_u.ask.org_fill = account.org_fill;
  msg.MeshMsg_u.ask.org_fill_ms = account.org_fill_ms;
  mesh_send (peer, &msg);
  add_informed (req, peer);
}

static u_int
count_running (const Place *place)
{
  return g_hash_table_size (place->reqs) - place->waiting;
}

void
pmsg_report_end (Place *place, MeshPeer *peer)
{
  MeshMsg msg = { .kind = MESH_REPORT_END };
  MeshReportEnd *out = &msg.MeshMsg_u.reported;
  GPtrArray *orgs = g_ptr_array_new ();

  /* Accounts are not sent where the receiver would ignore them, since they count as told then. */
  if (broker_handover_enabled (place->own))
    spent_orgs (place->spent, peer, orgs);
  MeshAccount *accounts = g_new (MeshAccount, MAX (orgs->len, 1));
  for (unsigned i = 0; i < orgs->len && i < MESH_ORGS_MAX; i++)
    {
      MeshAccount account = known_account (place, peer, orgs->pdata[i]);
      if (account.spent_tokens > 0 || account.org_fill_ms != MESH_FILL_UNKNOWN)
        accounts[out->accounts.accounts_len++] = account;
    }
  out->running = count_running (place);
  out->accounts.accounts_val = accounts;
  out->entries = place->entries;
  mesh_send (peer, &msg);
  g_free (accounts);
  g_ptr_array_unref (orgs);
}

static MeshDone
done_message (uint64_t number, const SchedResult *result)
{
  return (MeshDone){ .request = number,
                     .outcome = result->outcome,
                     .event_us = result->event_us,
                     .answer_us = result->answer_us,
                     .broke = result->broke,
                     .conn_idle_ms = (u_int) ((result->conn_idle_us + FT_MS - 1) / FT_MS) };
}

void
pmsg_done (MeshPeer *peer, uint64_t number, const SchedResult *result)
{
  MeshMsg msg = { .kind = MESH_DONE };

  msg.MeshMsg_u.done = done_message (number, result);
  mesh_send (peer, &msg);
}

void
pmsg_done_all (const PlaceReq *req, const SchedResult *result)
{
  MeshMsg msg = { .kind = MESH_DONE };

  msg.MeshMsg_u.done = done_message (req->number, result);
  pmsg_tell_all (req, &msg);
}

/* ---- Notices of servers ---- */

static void
send_notice (MeshPeer *peer, uint64_t request, const char *server, const Notice *notice,
             int64_t age)
{
  MeshMsg msg = { .kind = MESH_NOTICE };

  msg.MeshMsg_u.notice = (MeshNotice){ .request = request,
                                       .age_ms = (u_int) MIN (age / FT_MS, G_MAXUINT32),
                                       .server = (char *) server,
                                       .rate_milli = (u_int) (notice->rate * 1e3),
                                       .leaving = notice->leaving,
                                       .backoff_ms = (u_int) (notice->backoff_us / FT_MS),
                                       .brittle_milli = (u_int) (notice->brittleness * 1e3) };
  mesh_send (peer, &msg);
}

static void
tell_current (void *data, const char *server, const Notice *notice, int64_t age)
{
  const Place *place = data;

  if (place->current)
    send_notice (place->current, 0, server, notice, age);
  else
    broker_past_notice (place->own, server, notice, age);
}

void
pmsg_notices (Place *place)
{
  notices_each (place->notices, tell_current, place);
}

static bool
is_informed (const PlaceReq *req, const MeshPeer *peer)
{
  for (unsigned i = 0; i < INFORMED_MAX; i++)
    if (req->informed[i] == peer)
      return true;
  return false;
}

NoticesChange
place_report_notice (Place *place, uint64_t request, const char *server, const Notice *notice)
{
  const PlaceReq *req = place_find (place, request);
  NoticesChange change = notices_record (place->notices, server, notice);

  broker_notice (place->own, request, server, notice);
  if (req == NULL || (change == NOTICES_NONE && !req->paced))
    return change;
  for (unsigned i = 0; i < INFORMED_MAX; i++)
    if (req->informed[i])
      send_notice (req->informed[i], request, server, notice, 0);
  if (place->current && !is_informed (req, place->current))
    send_notice (place->current, 0, server, notice, 0);
  return change;
}

bool
place_report_unreadable (Place *place, const char *server)
{
  return notices_record_unreadable (place->notices, server);
}

const char *
place_block_reason (Place *place, const char *server, int64_t *for_us)
{
  Notice notice;
  const char *why = notices_block_reason (place->notices, server, &notice);

  *for_us = notice.backoff_us;
  if (why == NULL)
    return NULL;
  /* The scheduler that granted the server has not received its notice, or has dropped it when a
   * list lacked the server. */
  broker_past_notice (place->own, server, &notice, 0);
  if (place->current)
    send_notice (place->current, 0, server, &notice, 0);
  return why;
}
