/* entry.c - an instance that accepts callers' requests.
 *
 * It holds no state that must survive: the catalogue, the server list and the place of each request
 * come from voters. While no voter can be reached it goes on serving with what it holds. It never
 * returns to an older catalogue, and after a start it becomes ready only when the voter in charge
 * has confirmed its catalogue as the newest, or no voter has been heard for CONFIRM_MAX.
 */
#include "callers.h"
#include "count.h"
#include "delta.h"
#include "egress.h"
#include "instance.h"
#include "jlog.h"
#include "reader.h"
#include "relay.h"
#include "requests.h"
#include "compress.h"

#include <errno.h>
#include <string.h>

#define TICK (40 * FT_MS) /* a third of the silence after which entries give a deputy up */
#define KEEPALIVE_INTERVAL                                                                         \
  (200 * FT_MS) /* three times in the 700 ms after which a silent scheduler is not asked */
#define CONFIRM_MAX (4 * FT_SECOND) /* longer than an election: no voter will answer soon */
#define UNSENT_MAX  16384           /* bytes queued on a link above which no server list is added */
#define LEAVE_MIN                                                                                  \
  (2600 * FT_MS) /* the balancer checks every second and removes an entry after two failures */
#define ORIGINS_MAX       16384         /* streams begun here whose callers may still come back */
#define RELAY_TUNNELS_MAX 256           /* two connections of up to 64 KB of buffers each */
#define LEAVE_MARGIN      (700 * FT_MS) /* time left between stopping and the kill */
#define LAST_ANSWERS_TIME (300 * FT_MS) /* for the answers to requests that stopping would cut */

typedef struct
{
  Instance base;
  const Settings *settings;
  const AdapterOps *adapter_ops;
  Loop *loop;
  Mesh *mesh;
  HCli *cli, *list_cli; /* for servers, for the platform's list */
  Egress *egress;
  Relay *relay; /* carries other entries' connections; NULL: no relay_port is set */
  Callers *callers;
  HSrv *ready;
  Place *place;
  RetryBudget *budget;
  Servers *servers;
  EntryVersions *versions;
  OriginDir *origins;
  Reader *reader;
  Requests *requests;
  CrashReporter *crash_reporter;
  Lifetimes *lifetimes;
  RtCat *cat;
  GBytes *text; /* the text of cat, to which deltas are applied */
  LoopTimer tick;
  int64_t started, leaving_since, next_read_at;
  unsigned entries;
  uint64_t newest_number;      /* of the catalogue announced by the voter in charge; 0: none */
  const MeshPeer *newest_from; /* the voter that announced it */
  bool confirmed, was_ready, closed;
} Entry;

static void
update_hello (Entry *entry)
{
  mesh_update_hello (entry->mesh, entry->leaving_since != 0, egress_is_lost (entry->egress),
                     entry->cat ? rt_cat_number (entry->cat) : 0);
}

static void
on_path_changed (void *host)
{
  update_hello (host);
}

/* ---- Catalogue and server list ---- */

/* Marks the catalogue as confirmed once it is as new as the one that the voter in charge
 * announced. */
static void
confirm_catalogue (Entry *entry)
{
  if (entry->confirmed || entry->newest_number == 0 || entry->cat == NULL
      || rt_cat_number (entry->cat) < entry->newest_number)
    return;
  entry->confirmed = true;
  jlog (JLOG_INFO, "confirmed", NULL, JL_UINT ("version", rt_cat_version (entry->cat)),
        JL_UINT ("newest", entry->newest_number));
}

/* Returns the document's catalogue text. NULL: it cannot be decompressed, or is a delta to a
 * version that is not held here; the voter sends the whole text when this entry's version stays
 * the same. */
static GBytes *
document_text (const Entry *entry, const MeshDocument *document)
{
  const char *data = document->text.text_val;
  size_t size = document->text.text_len;

  if (document->base == 0)
    return compress_unpack (data, size);
  if (entry->cat == NULL || rt_cat_number (entry->cat) != document->base)
    return NULL;
  return delta_apply (entry->text, data, size, FT_DOCUMENT_MAX);
}

static void
apply_catalogue (Entry *entry, const MeshDocument *document, const MeshPeer *peer)
{
  FtError error = { 0 };
  RtCat *cat = NULL;

  if (entry->cat && document->number <= rt_cat_number (entry->cat))
    return;
  GBytes *text = document_text (entry, document);
  if (text == NULL && document->base != 0)
    {
      jlog (JLOG_INFO, "catalogue-base", NULL, JL_UINT ("number", document->number),
            JL_UINT ("base", document->base),
            JL_UINT ("held", entry->cat ? rt_cat_number (entry->cat) : 0));
      return;
    }
  if (text == NULL
      || entry->adapter_ops->read_catalogue (g_bytes_get_data (text, NULL), g_bytes_get_size (text),
                                             document->number, &cat, &error)
             != FT_OK)
    jlog (JLOG_ERROR, "catalogue-bad", NULL, JL_UINT ("number", document->number),
          JL_TEXT ("field", error.field),
          JL_TEXT ("why", text ? error.text : "cannot be decompressed"));
  if (cat == NULL)
    {
      g_clear_pointer (&text, g_bytes_unref);
      return;
    }
  jlog (JLOG_INFO, "catalogue", NULL, JL_UINT ("version", rt_cat_version (cat)),
        JL_UINT ("number", document->number),
        JL_UINT ("before", entry->cat ? rt_cat_version (entry->cat) : 0),
        JL_INT ("bytes", document->text.text_len), JL_INT ("changes", document->base != 0),
        JL_INT ("routes", rt_cat_route_count (cat)), JL_INT ("from_voter", peer->ip));
  count_inc (COUNT_CATALOGUES);
  rt_cat_unref (entry->cat);
  entry->cat = cat;
  g_clear_pointer (&entry->text, g_bytes_unref);
  entry->text = text;
  callers_apply_limits (entry->callers, rt_cat_limits (cat));
  requests_set_catalogue (entry->requests, cat);
  broker_set_catalogue (place_own_broker (entry->place), cat);
  update_hello (entry);
  confirm_catalogue (entry);
}

/* Sends the peer what changed in the server list, if it asks this deputy and has received the
 * list sent before. Sent whole to everyone at each reading, at 3,000 servers and 299 instances,
 * 260 MB of lists waited for slow links and the deputy passed its memory limit. peer->user holds
 * the digest of the list that the peer was sent last. */
static void
push_list (MeshPeer *peer, void *data)
{
  Entry *entry = data;

  if (peer->dialled || peer->role != MESH_ENTRY || mesh_unsent (peer) > UNSENT_MAX
      || !broker_peer_asked (place_own_broker (entry->place), peer))
    return;
  servers_send (entry->servers, peer, loop_now (entry->loop), GPOINTER_TO_UINT (peer->user));
  peer->user = GUINT_TO_POINTER (servers_digest (entry->servers));
}

/* Uses a new list and, as a deputy, passes it on to the entries that ask it. Entries without a
 * voter may each read the list only rarely, since they share the platform's rate; alone they
 * would send work to leaving servers for seconds. */
static void
use_new_list (Entry *entry, const char *from, bool relay)
{
  count_inc (COUNT_LISTS);
  if (relay && broker_asker_count (place_own_broker (entry->place)) > 0)
    mesh_for_each_peer (entry->mesh, push_list, entry);
  origdir_note_list (entry->origins, entry->servers);
  if (!servers_poll_changed (entry->servers))
    {
      broker_keep_servers (place_own_broker (entry->place));
      return;
    }
  broker_set_servers (place_own_broker (entry->place), entry->servers);
  jlog (JLOG_INFO, "list", NULL, JL_INT ("servers", servers_count (entry->servers)),
        JL_TEXT ("from", from),
        JL_MS ("age_ms", loop_now (entry->loop) - servers_asked_at (entry->servers)));
}

static void
on_list_read (void *host, const GArray *list, int64_t asked_at, const char *why)
{
  Entry *entry = host;

  if (list && servers_apply_read (entry->servers, list, asked_at))
    use_new_list (entry, "own reading", true);
  else if (list == NULL)
    {
      count_inc (COUNT_LIST_FAILURES);
      jlog (JLOG_WARN, "list-failed", NULL, JL_TEXT ("why", why));
    }
}

/* Reads the server list from the platform when no voter supplies it, so that leaving servers get
 * no new work. All entries together stay within a part of the platform's rate. */
static void
read_list_if_old (Entry *entry, int64_t now)
{
  ReaderFallback fallback
      = { .calls = reader_estimate_calls (entry->reader, servers_count (entry->servers)),
          .readers = MAX (entry->entries, 4),
          .rate = entry->settings->list_rate,
          .for_others = broker_asker_count (place_own_broker (entry->place)) > 0 };
  int64_t interval = reader_fallback_interval (&fallback);
  int64_t last_read = MAX (servers_asked_at (entry->servers), entry->started);

  /* Without a catalogue nothing can be sent, and the voter that sends it sends the list, too. */
  if (entry->cat == NULL || now - last_read < reader_max_age (&fallback))
    {
      entry->next_read_at = 0;
      return;
    }
  if (entry->next_read_at == 0)
    entry->next_read_at = now + reader_first_delay (&fallback, instance_random ());
  if (now < entry->next_read_at)
    return;
  entry->next_read_at = now + interval / 2 + (int64_t) (instance_random () % (uint64_t) interval);
  reader_start (entry->reader);
}

/* ---- Voters ---- */

/* A voter that has started dials this entry to name the voters (greet.h). Its statements on which
 * voter is in charge, and its scheduling, count only on links that this entry has dialled. */
static void
handle_greeting (Entry *entry, const MeshPeer *peer, const MeshView *view)
{
  for (unsigned i = 0; i < view->voters.voters_len; i++)
    mesh_dial (entry->mesh, view->voters.voters_val[i]);
  count_inc (COUNT_GREETINGS);
  jlog (JLOG_INFO, "greeted", NULL, JL_INT ("peer", peer->ip),
        JL_INT ("voters", view->voters.voters_len));
}

static void
on_view (Entry *entry, MeshPeer *peer, const MeshView *view)
{
  if (!peer->dialled)
    {
      handle_greeting (entry, peer, view);
      return;
    }
  for (unsigned i = 0; i < view->voters.voters_len; i++)
    mesh_dial (entry->mesh, view->voters.voters_val[i]);
  if (view->proved)
    {
      entry->newest_number = view->document;
      entry->newest_from = peer;
      confirm_catalogue (entry);
    }
  else if (entry->newest_from == peer)
    entry->newest_number = 0;
  if (view->proved || entry->newest_number == 0)
    crashrep_set_voter (entry->crash_reporter, view->proved ? peer : NULL);
  if (view->proved && view->entries > 0)
    {
      entry->entries = view->entries;
      budget_set_share (entry->budget, 1.0 / view->entries);
    }
  place_apply_view (entry->place, peer, view);
}

static void
on_up (void *host, MeshPeer *peer)
{
  Entry *entry = host;

  place_link_up (entry->place, peer);
  origdir_link_up (entry->origins, peer);
  jlog (JLOG_INFO, "link-up", NULL, JL_INT ("peer", peer->ip), JL_TEXT ("domain", peer->domain));
}

static void
handle_list_result (Entry *entry, MeshPeer *peer, ServersResult result)
{
  bool from_voter = peer->role == MESH_VOTER;
  MeshMsg want = { .kind = MESH_LIST_REQUEST };

  if (result == SERVERS_APPLIED)
    use_new_list (entry, from_voter ? "voter" : "deputy", from_voter);
  else if (result == SERVERS_UNKNOWN_BASE
           && servers_may_request (entry->servers, loop_now (entry->loop)))
    mesh_send (peer, &want);
}

static void
send_whole_list (Entry *entry, MeshPeer *peer)
{
  if (mesh_unsent (peer) <= UNSENT_MAX)
    servers_send_whole (entry->servers, peer, loop_now (entry->loop));
  peer->user = GUINT_TO_POINTER (servers_digest (entry->servers));
}

/* While this entry schedules itself, it uses the same versions as the last leader. */
static void
use_leader_versions (Entry *entry, const MeshListed *from)
{
  for (unsigned i = 0; i < from->versions.versions_len; i++)
    {
      const MeshListedVersion *version = &from->versions.versions_val[i];
      if (version->in_use)
        broker_set_in_use (place_own_broker (entry->place), version->service, version->software);
    }
}

static void
on_message (void *host, MeshPeer *peer, const MeshMsg *msg)
{
  Entry *entry = host;

  switch (msg->kind)
    {
    case MESH_VIEW:
      on_view (entry, peer, &msg->MeshMsg_u.view);
      break;
    case MESH_DOCUMENT:
      apply_catalogue (entry, &msg->MeshMsg_u.document, peer);
      break;
    case MESH_LIST_REQUEST:
      if (!peer->dialled)
        send_whole_list (entry, peer);
      break;
    case MESH_PACKED_LIST:
      handle_list_result (
          entry, peer,
          servers_apply_packed (entry->servers, &msg->MeshMsg_u.packed, mesh_arrived_at (peer)));
      break;
    case MESH_LIST:
      handle_list_result (
          entry, peer,
          servers_apply_message (entry->servers, &msg->MeshMsg_u.list, mesh_arrived_at (peer)));
      break;
    case MESH_RELAYS:
      if (peer->dialled)
        egress_set_relays (entry->egress, &msg->MeshMsg_u.relays);
      break;
    case MESH_LISTED:
      origdir_message (entry->origins, peer, msg);
      if (peer->dialled && peer->role == MESH_VOTER)
        use_leader_versions (entry, &msg->MeshMsg_u.listed);
      break;
    case MESH_ROLLOUTS:
      versions_update (entry->versions, &msg->MeshMsg_u.rollouts);
      break;
    default:
      if (!crashrep_message (entry->crash_reporter, peer, msg)
          && !origdir_message (entry->origins, peer, msg))
        place_message (entry->place, peer, msg);
      break;
    }
}

static void
on_down (void *host, MeshPeer *peer)
{
  Entry *entry = host;

  jlog (JLOG_WARN, "link-down", NULL, JL_INT ("peer", peer->ip), JL_TEXT ("domain", peer->domain),
        JL_MS ("silent_ms", loop_now (entry->loop) - peer->received_at));
  if (entry->newest_from == peer)
    entry->newest_number = 0;
  crashrep_peer_down (entry->crash_reporter, peer);
  origdir_link_down (entry->origins, peer);
  place_link_down (entry->place, peer);
}

static const MeshOps mesh_ops = { on_up, on_message, on_down };

/* ---- Callers and the balancer ---- */

static void
on_grant (void *host, uint64_t request, const Grant *grant)
{
  requests_grant (((Entry *) host)->requests, request, grant);
}

static void
on_refuse (void *host, uint64_t request, const SchedRefusal *refusal)
{
  requests_refuse (((Entry *) host)->requests, request, refusal);
}

static const PlaceOps place_ops = { on_grant, on_refuse };

static void
on_verdicts_changed (void *host)
{
  requests_recheck (((Entry *) host)->requests);
}

static void
on_request (void *owner, HCall *call)
{
  requests_handle (((Entry *) owner)->requests, call);
}

static void
on_caller_left (void *owner, HCall *call)
{
  requests_caller_left (((Entry *) owner)->requests, call);
}

static void
on_caller_drained (void *owner, HCall *call)
{
  requests_caller_drained (((Entry *) owner)->requests, call);
}

static const HSrvOps callers_ops = { on_request, on_caller_left, on_caller_drained };

static bool
is_ready (const Entry *entry)
{
  bool timed_out = loop_now (entry->loop) - entry->started > CONFIRM_MAX;

  bool can_schedule = servers_asked_at (entry->servers) > 0 || place_uses_voter (entry->place);

  return entry->leaving_since == 0 && entry->cat && can_schedule && (entry->confirmed || timed_out);
}

static void
on_ready_call (void *owner, HCall *call)
{
  Entry *entry = owner;
  const HMsg *msg = hcall_msg (call);
  unsigned status = 404;

  if (entry->adapter_ops->call (hmsg_method (msg), hmsg_target (msg)) == ADAPTER_CALL_READY)
    status = is_ready (entry) ? 200 : 503;
  hcall_reply (call, status, NULL, "", 0);
}

static void
on_ready_gone (void *owner, HCall *call)
{
  (void) owner;
  (void) call;
}

static const HSrvOps ready_ops = { on_ready_call, on_ready_gone, NULL };

/* ---- Timer and shutdown ---- */

/* Closes idle connections once the balancer has noticed that this entry leaves. Callers would go
 * on sending on their kept-alive connections, and a long answer that began late would be cut when
 * the process is killed. */
static void
close_idle_when_leaving (Entry *entry, int64_t now)
{
  if (entry->leaving_since == 0 || entry->closed || now - entry->leaving_since < LEAVE_MIN)
    return;
  entry->closed = true;
  jlog (JLOG_INFO, "close", NULL, JL_INT ("open", requests_open_count (entry->requests)),
        JL_INT ("connections", hsrv_connection_count (callers_server (entry->callers))));
  hsrv_stop_accepting (callers_server (entry->callers));
}

/* Time from SIGTERM until the process stops, whatever is open. */
static int64_t
leave_limit (const Entry *entry)
{
  return entry->settings->grace_s * FT_SECOND - LEAVE_MARGIN;
}

/* True if the balancer has noticed and all requests have ended, or the process is about to be
 * killed. */
static bool
may_stop (const Entry *entry, int64_t now)
{
  int64_t since = now - entry->leaving_since;
  HSrvMemory held;

  hsrv_get_memory (callers_server (entry->callers), &held);
  return since > leave_limit (entry)
         || (since > LEAVE_MIN && requests_open_count (entry->requests) == 0
             && hsrv_active_calls (callers_server (entry->callers)) == 0 && held.answers == 0
             && (entry->relay == NULL || relay_tunnel_count (entry->relay) == 0));
}

/* Sends keep-alives to the entries that have dialled this one, more often to those that wait for
 * a decision. During a takeover all entries get them often: their reports can fill the deputy's
 * link for 200 ms, so that it has not read yet which of them wait, and they would give it up for
 * the next deputy. */
static void
send_keep_alive (MeshPeer *peer, void *data)
{
  Entry *entry = data;
  const Broker *broker = place_own_broker (entry->place);
  bool urgent = broker_peer_waits (broker, peer) || broker_is_taking_over (broker);

  if (!peer->dialled)
    mesh_keep_alive (peer, urgent ? TICK : KEEPALIVE_INTERVAL);
}

static void
on_tick (LoopTimer *timer)
{
  Entry *entry = (Entry *) ((char *) timer - offsetof (Entry, tick));
  int64_t now = loop_now (entry->loop);
  bool ready = is_ready (entry);

  if (ready != entry->was_ready)
    jlog (JLOG_INFO, ready ? "ready" : "not-ready", NULL,
          JL_UINT ("version", entry->cat ? rt_cat_version (entry->cat) : 0),
          JL_INT ("confirmed", entry->confirmed),
          JL_MS ("list_age_ms", now - servers_asked_at (entry->servers)));
  entry->was_ready = ready;
  read_list_if_old (entry, now);
  crashrep_tick (entry->crash_reporter);
  callers_tick (entry->callers);
  mesh_for_each_peer (entry->mesh, send_keep_alive, entry);
  close_idle_when_leaving (entry, now);
  if (entry->leaving_since && may_stop (entry, now))
    {
      jlog (JLOG_INFO, "stop", NULL, JL_INT ("open", requests_open_count (entry->requests)),
            JL_MS ("after_ms", now - entry->leaving_since));
      loop_stop (entry->loop);
    }
  loop_timer_set (entry->loop, timer, now + TICK);
}

static void
leave (Instance *base)
{
  Entry *entry = (Entry *) base;

  if (entry->leaving_since)
    return;
  entry->leaving_since = loop_now (entry->loop);
  hsrv_disable_keep_alive (callers_server (entry->callers));
  if (entry->relay)
    relay_stop (entry->relay);
  requests_leave (entry->requests, entry->leaving_since + leave_limit (entry) - LAST_ANSWERS_TIME);
  update_hello (entry);
  jlog (JLOG_INFO, "leave", NULL, JL_INT ("open", requests_open_count (entry->requests)),
        JL_INT ("connections", hsrv_connection_count (callers_server (entry->callers))));
}

static void
dial_seeds (Entry *entry, const Settings *settings)
{
  for (unsigned i = 0; i < settings->seeds->len; i++)
    mesh_dial (entry->mesh, g_array_index (settings->seeds, SockAddr, i).ip);
}

static void
new_settings (Instance *base, const Settings *settings)
{
  dial_seeds ((Entry *) base, settings);
}

static char *
describe (Instance *base)
{
  Entry *entry = (Entry *) base;
  char *servers = broker_describe (place_own_broker (entry->place));
  GString *out = g_string_new (NULL);

  g_string_append_printf (out,
                          "foxtail_ready %d\nfoxtail_catalogue_version %" G_GUINT64_FORMAT
                          "\nfoxtail_requests_open %u\nfoxtail_requests_waiting %u\n"
                          "foxtail_server_connections_opened_total %" G_GUINT64_FORMAT
                          "\nfoxtail_scheduler{by=\"%s\"} 1\nfoxtail_list_age_seconds %g\n",
                          is_ready (entry), entry->cat ? rt_cat_version (entry->cat) : 0,
                          requests_open_count (entry->requests), place_waiting_count (entry->place),
                          hcli_opened_count (entry->cli), place_scheduler_name (entry->place),
                          (double) (loop_now (entry->loop) - servers_asked_at (entry->servers))
                              / 1e6);
  g_string_append_printf (out, "foxtail_held_bytes{for=\"servers\"} %zu\n",
                          hcli_unsent (entry->cli));
  callers_describe (entry->callers, out);
  egress_describe (entry->egress, out);
  if (entry->relay)
    g_string_append_printf (out,
                            "foxtail_relay_tunnels %u\n"
                            "foxtail_relay_tunnels_opened_total %" G_GUINT64_FORMAT "\n"
                            "foxtail_relay_tunnels_refused_total %" G_GUINT64_FORMAT "\n",
                            relay_tunnel_count (entry->relay), relay_opened_count (entry->relay),
                            relay_refused_count (entry->relay));
  crashrep_describe (entry->crash_reporter, out);
  origdir_describe (entry->origins, out);
  mesh_append_metrics (entry->mesh, out);
  g_string_append (out, "# servers as this entry sees them\n");
  g_string_append (out, servers);
  g_free (servers);
  return g_string_free (out, FALSE);
}

static void
destroy (Instance *base)
{
  Entry *entry = (Entry *) base;

  loop_timer_stop (entry->loop, &entry->tick);
  callers_free (entry->callers);
  hsrv_free (entry->ready);
  relay_free (entry->relay);
  mesh_free (entry->mesh);
  reader_free (entry->reader);
  requests_free (entry->requests);
  crashrep_free (entry->crash_reporter);
  lifetimes_free (entry->lifetimes);
  origdir_free (entry->origins);
  versions_free (entry->versions);
  place_free (entry->place);
  egress_free (entry->egress);
  hcli_free (entry->cli);
  hcli_free (entry->list_cli);
  budget_free (entry->budget);
  servers_free (entry->servers);
  rt_cat_unref (entry->cat);
  g_clear_pointer (&entry->text, g_bytes_unref);
  g_free (entry);
}

static const InstanceOps ops = { leave, new_settings, describe, destroy };

static bool
can_relay (void *host)
{
  return !egress_is_lost (((Entry *) host)->egress);
}

static void
on_relay_connect (void *host, SockAddr server, bool established)
{
  char key[SOCK_ADDR_TEXT_SIZE];

  egress_note_path (((Entry *) host)->egress, sock_addr_format (server, key), established);
}

static bool
open_relay (Entry *entry)
{
  const Settings *s = entry->settings;
  RelayConf conf = { .listen = { s->ip, (uint16_t) s->relay_port },
                     .source = s->source,
                     .tunnels_max = RELAY_TUNNELS_MAX,
                     .is_usable = can_relay,
                     .connected = on_relay_connect,
                     .user = entry };

  if (s->relay_port == 0)
    return true;
  entry->relay = relay_new (entry->loop, &conf);
  return entry->relay != NULL;
}

static FtStatus
open_addresses (Entry *entry, FtError *error)
{
  const Settings *s = entry->settings;

  entry->mesh = instance_open_mesh (s, MESH_ENTRY, entry->loop, &mesh_ops, entry, error);
  if (entry->mesh == NULL)
    return FT_IO;
  entry->place = place_new (entry->loop, entry->mesh, s->ip, &place_ops, entry);
  instance_configure_broker (s, place_own_broker (entry->place), false);
  entry->lifetimes
      = lifetimes_new (entry->loop, entry->cli, entry->egress, entry->adapter_ops, entry->servers);
  entry->crash_reporter = crashrep_new (entry->loop, entry->mesh, entry->cli, entry->egress,
                                        entry->lifetimes, on_verdicts_changed, entry);
  entry->versions = versions_new (place_own_broker (entry->place));
  entry->origins = origdir_new (entry->loop, entry->mesh, ORIGINS_MAX);
  RequestsConf conf
      = { entry->loop,     entry->adapter_ops,    entry->cli,      entry->place,  entry->budget,
          entry->servers,  entry->crash_reporter, entry->versions, entry->egress, entry->origins,
          entry->lifetimes };
  entry->requests = requests_new (&conf);
  if (!open_relay (entry))
    return ft_error_set (error, FT_IO, 0, "relay_port", "%s", g_strerror (errno));
  entry->ready = hsrv_new (entry->loop, s->ready, &ready_ops, entry);
  if (entry->ready == NULL)
    return ft_error_set (error, FT_IO, 0, "ready", "%s: %s", s->ready_text, g_strerror (errno));
  /* Last, so that callers are not accepted before all else is there. */
  entry->callers = callers_new (entry->loop, s->callers, &callers_ops, entry, (unsigned) s->files);
  if (entry->callers == NULL)
    return ft_error_set (error, FT_IO, 0, "callers", "%s: %s", s->callers_text, g_strerror (errno));
  return FT_OK;
}

FtStatus
entry_new (const Settings *settings, const AdapterOps *adapter_ops, Loop *loop, Instance **out,
           FtError *error)
{
  Entry *entry = g_new0 (Entry, 1);
  BudgetConf budget = { settings->budget_ratio, (double) settings->budget_slack,
                        settings->budget_window_s * FT_SECOND };

  entry->base.ops = &ops;
  entry->settings = settings;
  entry->adapter_ops = adapter_ops;
  entry->loop = loop;
  entry->started = loop_now (loop);
  entry->cli = hcli_new (loop);
  entry->servers = servers_new ();
  entry->budget = budget_new (loop_clock (loop), &budget);
  entry->list_cli = hcli_new (loop);
  entry->egress = egress_new (loop, entry->cli, settings, on_path_changed, entry);
  entry->reader
      = reader_new (loop, entry->list_cli, adapter_ops, settings->list, on_list_read, entry);
  entry->tick.fire = on_tick;
  FtStatus status = open_addresses (entry, error);
  if (status != FT_OK)
    {
      destroy (&entry->base);
      return status;
    }
  loop_timer_set (loop, &entry->tick, entry->started + TICK);
  dial_seeds (entry, settings);
  *out = &entry->base;
  return FT_OK;
}
