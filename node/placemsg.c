/* placemsg.c - what an entry tells schedulers: what it asks for, what came of it, and what servers
 * have said of themselves. */
#include "placeint.h"

static void
note_told (Item *item, MeshPeer *peer)
{
  unsigned free_at = TOLD_MOST;

  for (unsigned i = 0; i < TOLD_MOST; i++)
    {
      if (item->told[i] == peer)
        return;
      if (item->told[i] == NULL && free_at == TOLD_MOST)
        free_at = i;
    }
  if (free_at < TOLD_MOST)
    item->told[free_at] = peer;
}

/* Failure: a request is granted by one scheduler and ends while another is asked. Symptom: the
 * first one's ledger holds its place for ever, and requests are refused before idle servers. So
 * whoever was told of it is told of its end. */
void
pmsg_tell_all (const Item *item, const MeshMsg *msg)
{
  for (unsigned i = 0; i < TOLD_MOST; i++)
    if (item->told[i])
      mesh_send (item->told[i], msg);
}

/* Tells the scheduler what others gave of the limit, and how full the last of them reported it. */
static MeshAccount
account (Place *place, const MeshPeer *peer, const char *org)
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
pmsg_ask (Place *place, MeshPeer *peer, Item *item)
{
  int64_t now = loop_now (place->loop);
  MeshMsg msg = { .kind = MESH_ASK };
  const SchedAsk *ask = &item->ask;
  char none[] = "";

  msg.MeshMsg_u.ask = (MeshAsk){ .request = item->number,
                                 .service = item->service,
                                 .org = item->org,
                                 .tier = ask->tier,
                                 .stream = ask->stream,
                                 .repeatable = ask->repeatable,
                                 .prompt_tokens = ask->prompt_tokens,
                                 .output_tokens = ask->output_tokens,
                                 .cost_tokens = item->counted ? 0 : (unsigned) item->cost,
                                 .route = ask->route,
                                 .shared_part = ask->shared_part,
                                 .content = ask->content,
                                 .gap_ms = (unsigned) (ask->gap_us / FT_MS),
                                 .aim_in_us = ask->aim_at - now,
                                 .limit_in_us = ask->limit_at - now,
                                 .end_in_us = ask->end_at - now,
                                 .kept = { item->running ? 0 : ask->kept_count, item->kept },
                                 .avoid = item->avoid ? item->avoid : none,
                                 .running = item->running,
                                 .server = item->server ? item->server : none };
  MeshAccount known = account (place, peer, item->org);
  msg.MeshMsg_u.ask.spent_tokens = known.spent_tokens;
  msg.MeshMsg_u.ask.spent_ms = known.spent_ms;
  msg.MeshMsg_u.ask.org_fill = known.org_fill;
  msg.MeshMsg_u.ask.org_fill_ms = known.org_fill_ms;
  mesh_send (peer, &msg);
  note_told (item, peer);
}

static u_int
count_running (const Place *place)
{
  return g_hash_table_size (place->items) - place->waiting;
}

void
pmsg_report_end (Place *place, MeshPeer *peer)
{
  MeshMsg msg = { .kind = MESH_REPORT_END };
  MeshReportEnd *out = &msg.MeshMsg_u.reported;
  GPtrArray *orgs = g_ptr_array_new ();

  spent_orgs (place->spent, peer, orgs);
  MeshAccount *accounts = g_new (MeshAccount, MAX (orgs->len, 1));
  for (unsigned i = 0; i < orgs->len && i < MESH_ORGS_MAX; i++)
    {
      MeshAccount known = account (place, peer, orgs->pdata[i]);
      if (known.spent_tokens > 0 || known.org_fill_ms != MESH_FILL_UNKNOWN)
        accounts[out->accounts.accounts_len++] = known;
    }
  out->running = count_running (place);
  out->accounts.accounts_val = accounts;
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
pmsg_done_all (const Item *item, const SchedResult *result)
{
  MeshMsg msg = { .kind = MESH_DONE };

  msg.MeshMsg_u.done = done_message (item->number, result);
  pmsg_tell_all (item, &msg);
}

/* ---- What servers say of themselves ---- */

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
                                       .backoff_ms = (u_int) (notice->backoff_us / FT_MS) };
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
was_told (const Item *item, const MeshPeer *peer)
{
  for (unsigned i = 0; i < TOLD_MOST; i++)
    if (item->told[i] == peer)
      return true;
  return false;
}

NoticesChange
place_report_notice (Place *place, uint64_t request, const char *server, const Notice *notice)
{
  const Item *item = place_find (place, request);
  NoticesChange taken = notices_record (place->notices, server, notice);

  broker_notice (place->own, request, server, notice);
  if (item == NULL || (taken == NOTICES_NONE && !item->paced))
    return taken;
  for (unsigned i = 0; i < TOLD_MOST; i++)
    if (item->told[i])
      send_notice (item->told[i], request, server, notice, 0);
  if (place->current && !was_told (item, place->current))
    send_notice (place->current, 0, server, notice, 0);
  return taken;
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
  /* Whoever granted it has not heard, or has lost it with a list that lacked the server. */
  broker_past_notice (place->own, server, &notice, 0);
  if (place->current)
    send_notice (place->current, 0, server, &notice, 0);
  return why;
}
