/* control.c - a voter instance: it runs the replicated log, and while it leads with a valid lease
 * ("in charge") it also answers operators, reads the platform's list for all, and schedules.
 *
 * Only state that needs agreement is in the log: the catalogue, the set of voters, server crashes
 * and roll-outs. Scheduling state is not: a new leader learns from the entries' reports what runs.
 * A voter that knows of no leader reads the list itself, so that during a network partition the
 * entries that it reaches still learn which servers leave.
 */
#include "count.h"
#include "broker.h"
#include "greet.h"
#include "instance.h"
#include "jlog.h"
#include "listing.h"
#include "operators.h"
#include "origdir.h"
#include "publish.h"
#include "reader.h"
#include "relays.h"
#include "rollouts.h"
#include "servers.h"
#include "compress.h"
#include "suspects.h"
#include "voter.h"

#include <errno.h>
#include <string.h>

#define TICK              (20 * FT_MS)
#define NO_LEADER_TIMEOUT (900 * FT_MS) /* without a leader; longer than a usual election */
#define ORIGINS_MAX       262144        /* 4,200 streams a second for a minute; 120 bytes each */
#define LEAVE_MIN         (400 * FT_MS) /* the time in which a successor is elected */
#define LEAVE_MAX         (2 * FT_SECOND)

typedef struct
{
  Instance base;
  const Settings *settings;
  const AdapterOps *adapter_ops;
  Loop *loop;
  Mesh *mesh;
  HCli *cli;
  Operators *operators;
  Voter *voter;
  Servers *servers;
  Reader *reader;
  Broker *broker;
  RtCat *cat;
  Publish *publish;
  Greet *greet;
  Suspects *suspects;
  Rollouts *rollouts;
  Relays *relays;
  OriginDir *origins;
  Listing *listing;
  GHashTable *readers; /* set: ip of the other voters that hold or read the list of servers */
  unsigned leader_entry_count;               /* in the last view of a leader; 0: none has come */
  unsigned entry_links_up, entry_links_down; /* changes since they were logged last */
  int64_t entries_logged_at;
  LoopTimer tick;
  VoterStatus status;
  VoterStatus noted_status; /* as note_leadership saw it last */
  int64_t list_at, leader_seen_at, leaving_since;
} Control;

/* ---- Limits ---- */

/* Entries that are cut off grant their share of each limit themselves. If this voter granted the
 * whole limit too, an organisation could exceed it; so it grants only the share of the entries that
 * are linked to it. */
static void
update_limit_shares (Control *control)
{
  unsigned lost, heard = publish_count_entries (control->publish, &lost);

  broker_set_shares_by_heard (control->broker, heard, lost);
}

/* ---- Links ---- */

/* Logs each link to another voter. Links to entries are only counted, and the counts are logged
 * once a second: entries come and go by the hundred, and each logs its own links. */
static void
log_link (Control *control, const MeshPeer *peer, bool up)
{
  if (peer->role == MESH_ENTRY)
    *(up ? &control->entry_links_up : &control->entry_links_down) += 1;
  else if (up)
    jlog (JLOG_INFO, "link-up", NULL, JL_INT ("peer", peer->ip), JL_INT ("dialled", peer->dialled));
  else
    jlog (JLOG_WARN, "link-down", NULL, JL_INT ("peer", peer->ip),
          JL_INT ("dialled", peer->dialled),
          JL_MS ("silent_ms", loop_now (control->loop) - peer->received_at));
}

static void
log_entry_links (Control *control, int64_t now)
{
  unsigned lost, linked;

  if (now < control->entries_logged_at + FT_SECOND
      || control->entry_links_up + control->entry_links_down == 0)
    return;
  linked = publish_count_entries (control->publish, &lost);
  jlog (JLOG_INFO, "entries", NULL, JL_INT ("up", control->entry_links_up),
        JL_INT ("down", control->entry_links_down), JL_INT ("linked", linked),
        JL_INT ("lost_lately", lost));
  control->entry_links_up = control->entry_links_down = 0;
  control->entries_logged_at = now;
}

static void
on_up (void *host, MeshPeer *peer)
{
  Control *control = host;

  if (greet_link_up (control->greet, peer))
    return;
  log_link (control, peer, true);
  if (peer->role == MESH_VOTER)
    voter_add_peer (control->voter, peer->ip);
  if (!peer->dialled)
    broker_link_up (control->broker, peer);
  /* Before the catalogue, after which an entry forwards requests. */
  suspects_up (control->suspects, peer);
  rollouts_up (control->rollouts, peer);
  listing_up (control->listing, peer);
  publish_link_up (control->publish, peer);
}

static void
on_down (void *host, MeshPeer *peer)
{
  Control *control = host;

  if (greet_is_greeting_link (peer))
    return;
  log_link (control, peer, false);
  if (peer->dialled)
    g_hash_table_remove (control->readers, GUINT_TO_POINTER (peer->ip));
  else
    broker_link_down (control->broker, peer);
  suspects_down (control->suspects, peer);
  rollouts_down (control->rollouts, peer);
  listing_down (control->listing, peer);
  publish_link_down (control->publish, peer);
  relays_link_down (control->relays, peer);
}

/* True: the list has changed. */
static bool
use_list (Control *control)
{
  bool changed = servers_poll_changed (control->servers);

  origdir_note_list (control->origins, control->servers);
  if (changed)
    broker_set_servers (control->broker, control->servers);
  else
    broker_keep_servers (control->broker);
  return changed;
}

static void
on_list_result (Control *control, MeshPeer *peer, ServersResult result)
{
  MeshMsg want = { .kind = MESH_LIST_REQUEST };

  if (result == SERVERS_APPLIED)
    use_list (control);
  else if (result == SERVERS_UNKNOWN_BASE
           && servers_may_request (control->servers, loop_now (control->loop)))
    mesh_send (peer, &want);
}

static void
apply_view (Control *control, const MeshPeer *peer, const MeshView *view)
{
  for (unsigned i = 0; i < view->voters.voters_len; i++)
    mesh_dial (control->mesh, view->voters.voters_val[i]);
  if (view->proved)
    control->leader_entry_count = view->entries;
  if (view->reading)
    g_hash_table_add (control->readers, GUINT_TO_POINTER (peer->ip));
  else
    g_hash_table_remove (control->readers, GUINT_TO_POINTER (peer->ip));
}

static void
on_message (void *host, MeshPeer *peer, const MeshMsg *msg)
{
  Control *control = host;
  const MeshView *view = &msg->MeshMsg_u.view;
  GByteArray *bytes;

  if (greet_is_greeting_link (peer))
    return;
  switch (msg->kind)
    {
    case MESH_RAFT:
      bytes = g_byte_array_new ();
      g_byte_array_append (bytes, (const guint8 *) msg->MeshMsg_u.raft.raft_val,
                           msg->MeshMsg_u.raft.raft_len);
      voter_receive (control->voter, peer->ip, bytes);
      break;
    case MESH_VIEW:
      apply_view (control, peer, view);
      break;
    case MESH_LIST:
      on_list_result (
          control, peer,
          servers_apply_message (control->servers, &msg->MeshMsg_u.list, mesh_arrived_at (peer)));
      break;
    case MESH_LIST_REQUEST:
      publish_request_list (peer);
      break;
    case MESH_PACKED_LIST:
      on_list_result (
          control, peer,
          servers_apply_packed (control->servers, &msg->MeshMsg_u.packed, mesh_arrived_at (peer)));
      break;
    case MESH_ASK:
      if (control->leaving_since)
        {
          /* Its proved flag is now false, so the entry asks another voter. */
          publish_view (control->publish, peer);
          break;
        }
      broker_message (control->broker, peer, msg);
      break;
    default:
      if (!suspects_message (control->suspects, peer, msg)
          && !origdir_message (control->origins, peer, msg))
        broker_message (control->broker, peer, msg);
      break;
    }
}

static const MeshOps mesh_ops = { on_up, on_message, on_down };

/* ---- The log ---- */

static void
on_send (void *host, uint32_t to, GByteArray *bytes)
{
  Control *control = host;
  MeshPeer *peer = mesh_find_dialled (control->mesh, to);
  MeshMsg msg = { .kind = MESH_RAFT };

  if (peer)
    {
      msg.MeshMsg_u.raft.raft_val = (char *) bytes->data;
      msg.MeshMsg_u.raft.raft_len = bytes->len;
      mesh_send (peer, &msg);
    }
  else
    mesh_dial (control->mesh, to);
  g_byte_array_unref (bytes);
}

/* Called in the log's thread. */
static RtCat *
on_parse (void *host, GBytes *document, uint64_t number, GBytes **text, FtError *error)
{
  const Control *control = host;
  RtCat *cat = NULL;
  gsize size;
  const void *packed = g_bytes_get_data (document, &size);

  *text = compress_unpack (packed, size);
  if (*text == NULL)
    ft_error_set (error, FT_INVALID, 0, "", "the document cannot be unpacked");
  else
    control->adapter_ops->read_catalogue (g_bytes_get_data (*text, NULL), g_bytes_get_size (*text),
                                          number, &cat, error);
  return cat;
}

static void
on_committed (void *host)
{
  Control *control = host;
  FtError error;
  uint64_t number;
  RtCat *cat = voter_catalogue (control->voter, &number, &error);

  if (number == 0 || (control->cat && rt_cat_number (control->cat) >= number))
    {
      rt_cat_unref (cat);
      return;
    }
  if (cat == NULL)
    {
      jlog (JLOG_ERROR, "catalogue-bad", NULL, JL_UINT ("number", number),
            JL_TEXT ("why", error.text));
      return;
    }
  rt_cat_unref (control->cat);
  control->cat = cat;
  count_inc (COUNT_CATALOGUES);
  voter_status (control->voter, &control->status);
  jlog (JLOG_INFO, "catalogue", NULL, JL_UINT ("version", rt_cat_version (cat)),
        JL_UINT ("number", number), JL_INT ("routes", rt_cat_route_count (cat)),
        JL_INT ("proved", control->status.proved), JL_INT ("term", control->status.term));
  broker_set_catalogue (control->broker, cat);
  if (control->operators)
    operators_set_catalogue (control->operators, cat);
  publish_documents (control->publish);
}

static void
on_crashes_changed (void *host)
{
  suspects_committed (((Control *) host)->suspects);
}

static void
on_rollouts_changed (void *host)
{
  rollouts_committed (((Control *) host)->rollouts);
}

static void
on_listed_changed (void *host)
{
  listing_committed (((Control *) host)->listing);
}

static void
on_verdict (void *host, uint64_t ticket, FtStatus status)
{
  Control *control = host;

  rollouts_verdict (control->rollouts, ticket, status);
  listing_verdict (control->listing, ticket);
  operators_on_verdict (control->operators, ticket, status);
  suspects_verdict (control->suspects, ticket, status);
}

static const VoterOps voter_ops
    = { on_parse,          on_send,   on_committed, on_crashes_changed, on_rollouts_changed,
        on_listed_changed, on_verdict };

/* ---- Time ---- */

static void
on_list_read (void *host, const GArray *list, int64_t asked_at, const char *why)
{
  Control *control = host;
  int64_t now = loop_now (control->loop);

  if (list == NULL)
    {
      count_inc (COUNT_LIST_FAILURES);
      jlog (JLOG_WARN, "list-failed", NULL, JL_TEXT ("why", why),
            JL_MS ("held_age_ms", now - servers_asked_at (control->servers)));
      return;
    }
  if (!servers_apply_read (control->servers, list, asked_at))
    return;
  count_inc (COUNT_LISTS);
  if (use_list (control))
    jlog (JLOG_INFO, "list", NULL, JL_INT ("servers", servers_count (control->servers)),
          JL_MS ("took_ms", now - asked_at));
  publish_lists (control->publish);
}

/* True if this voter should read the list before a leader is known, because it has heard of no
 * other voter that holds or reads it: the first voter to start reads for all.
 *
 * If all voters started reading at once, with thousands of servers their page requests together
 * with the entries' would exceed the platform's rate limit, no read would complete, and nothing
 * would be served for 30 s. */
static bool
reads_before_leader (const Control *control)
{
  return servers_asked_at (control->servers) == 0 && g_hash_table_size (control->readers) == 0;
}

static int64_t
list_interval (const Control *control)
{
  ReaderSchedule plan = { .calls = reader_last_pages (control->reader),
                          .rate = control->settings->list_rate,
                          .in_charge = control->status.proved,
                          .drain_us = control->settings->drain_ms * FT_MS };

  return reader_pass_interval (&plan);
}

static void
read_list_if_due (Control *control, int64_t now)
{
  const VoterStatus *status = &control->status;
  int64_t interval = list_interval (control);

  if (status->proved || status->leader != 0)
    control->leader_seen_at = now;
  bool alone = now - control->leader_seen_at > NO_LEADER_TIMEOUT || reads_before_leader (control);
  if (now < control->list_at || (!status->proved && !alone))
    return;
  control->list_at = now + interval;
  reader_start (control->reader);
}

/* Logs a change of leadership and publishes it at once. The status is compared with a copy that
 * only this function updates: control->status is also refreshed by on_committed and describe, and a
 * change seen there first would go unnoticed. */
static void
note_leadership (Control *control)
{
  VoterStatus before = control->noted_status;

  voter_status (control->voter, &control->status);
  control->noted_status = control->status;
  if (control->status.proved == before.proved && control->status.leader == before.leader
      && control->status.count == before.count && control->status.broken == before.broken)
    return;
  jlog (JLOG_INFO, "charge", NULL, JL_INT ("term", control->status.term),
        JL_INT ("leader", control->status.leader), JL_INT ("proved", control->status.proved),
        JL_INT ("voters", control->status.count), JL_INT ("broken", control->status.broken));
  if (control->status.proved != before.proved)
    {
      if (control->status.proved)
        {
          control->list_at = 0;
          update_limit_shares (control);
          broker_take_over (control->broker);
        }
      publish_views (control->publish);
    }
}

/* Entries that the last leader or the linked entries counted and that have not been linked to this
 * voter, which may have just started. One, if their number is unknown. */
static unsigned
count_missing_entries (const Control *control, unsigned seen)
{
  unsigned known = MAX (control->leader_entry_count, broker_reported_entry_count (control->broker));

  if (known == 0)
    return 1;
  return known > seen ? known - seen : 0;
}

static void
control_rollouts (Control *control)
{
  unsigned lost, linked = publish_count_entries (control->publish, &lost);
  RolloutsPeers peers = { .missing_entries = count_missing_entries (control, linked + lost),
                          .list_asked_at = servers_asked_at (control->servers) };

  rollouts_tick (control->rollouts, &peers);
}

static void
on_tick (LoopTimer *timer)
{
  Control *control = (Control *) ((char *) timer - offsetof (Control, tick));
  int64_t now = loop_now (control->loop);

  note_leadership (control);
  update_limit_shares (control);
  publish_set_state (control->publish, control->leaving_since != 0, reader_busy (control->reader));
  publish_tick (control->publish);
  if (control->status.proved)
    relays_tick (control->relays);
  suspects_tick (control->suspects);
  control_rollouts (control);
  listing_tick (control->listing);
  read_list_if_due (control, now);
  log_entry_links (control, now);
  greet_tick (control->greet, control->status.voters, control->status.count);
  operators_tick (control->operators);
  broker_tick (control->broker);
  if (control->leaving_since
      && ((now - control->leaving_since > LEAVE_MIN
           && operators_open_count (control->operators) == 0 && !control->status.proved)
          || now - control->leaving_since > LEAVE_MAX))
    {
      jlog (JLOG_INFO, "stop", NULL, JL_MS ("after_ms", now - control->leaving_since));
      loop_stop (control->loop);
    }
  loop_timer_set (control->loop, timer, now + TICK);
}

/* ---- The instance ---- */

static void
leave (Instance *base)
{
  Control *control = (Control *) base;

  if (control->leaving_since)
    return;
  control->leaving_since = loop_now (control->loop);
  jlog (JLOG_INFO, "leave", NULL, JL_INT ("proved", control->status.proved),
        JL_INT ("changes", operators_open_count (control->operators)));
  operators_start_leaving (control->operators);
  voter_transfer_leadership (control->voter);
  publish_set_state (control->publish, true, reader_busy (control->reader));
  publish_views (control->publish);
}

static void
new_settings (Instance *base, const Settings *settings)
{
  Control *control = (Control *) base;

  for (unsigned i = 0; i < settings->seeds->len; i++)
    mesh_dial (control->mesh, g_array_index (settings->seeds, SockAddr, i).ip);
}

static char *
describe (Instance *base)
{
  Control *control = (Control *) base;
  SchedStats stats;
  char *servers = broker_describe (control->broker);
  GString *out = g_string_new (NULL);
  unsigned lost, linked = publish_count_entries (control->publish, &lost);

  broker_stats (control->broker, &stats);
  voter_status (control->voter, &control->status);
  g_string_append_printf (
      out,
      "foxtail_term %" G_GUINT64_FORMAT "\nfoxtail_in_charge %d\nfoxtail_voters %u\n"
      "foxtail_catalogue_version %" G_GUINT64_FORMAT
      "\nfoxtail_entries %u\nfoxtail_waiting %u\nfoxtail_running %u\nfoxtail_servers %u\n"
      "foxtail_servers_out %u\nfoxtail_places %u\nfoxtail_list_age_seconds %g\n",
      control->status.term, control->status.proved, control->status.count,
      control->cat ? rt_cat_version (control->cat) : 0, linked + lost, stats.waiting, stats.running,
      stats.servers, stats.out, stats.slots,
      (double) (loop_now (control->loop) - servers_asked_at (control->servers)) / 1e6);
  suspects_describe (control->suspects, out);
  rollouts_describe (control->rollouts, out);
  origdir_describe (control->origins, out);
  mesh_append_metrics (control->mesh, out);
  g_string_append (out, "# servers as this voter sees them\n");
  g_string_append (out, servers);
  g_free (servers);
  return g_string_free (out, FALSE);
}

static void
destroy (Instance *base)
{
  Control *control = (Control *) base;

  loop_timer_stop (control->loop, &control->tick);
  voter_free (control->voter);
  operators_free (control->operators);
  mesh_free (control->mesh); /* calls on_down for each link, which uses the modules below */
  greet_free (control->greet);
  relays_free (control->relays);
  listing_free (control->listing);
  origdir_free (control->origins);
  suspects_free (control->suspects);
  rollouts_free (control->rollouts);
  publish_free (control->publish);
  reader_free (control->reader);
  hcli_free (control->cli);
  servers_free (control->servers);
  broker_free (control->broker);
  rt_cat_unref (control->cat);
  g_hash_table_unref (control->readers);
  g_free (control);
}

static const InstanceOps ops = { leave, new_settings, describe, destroy };

static FtStatus
open_voter (Control *control, FtError *error)
{
  const Settings *s = control->settings;
  uint32_t seeds[FT_VOTERS_MAX];
  VoterConf conf = { .self = s->ip,
                     .seeds = seeds,
                     .may_bootstrap = s->first_start,
                     .losses = (unsigned) s->losses,
                     .folder = s->data_folder };

  for (; conf.seed_count < s->seeds->len && conf.seed_count < FT_VOTERS_MAX; conf.seed_count++)
    seeds[conf.seed_count] = g_array_index (s->seeds, SockAddr, conf.seed_count).ip;
  return voter_new (&conf, control->loop, &voter_ops, control, &control->voter, error);
}

static FtStatus
open_addresses (Control *control, FtError *error)
{
  const Settings *s = control->settings;

  control->mesh = instance_open_mesh (s, MESH_VOTER, control->loop, &mesh_ops, control, error);
  if (control->mesh == NULL)
    return FT_IO;
  control->relays = relays_new (control->loop, control->mesh);
  control->origins = origdir_new (control->loop, control->mesh, ORIGINS_MAX);
  control->listing = listing_new (control->loop, control->mesh, control->voter, control->broker,
                                  origdir_origins (control->origins));
  control->greet = greet_new (control->loop, control->mesh, s->ip, s->data_folder);
  OperatorsConf conf = { control->loop,     control->adapter_ops, control->voter,
                         control->suspects, control->rollouts,    s->control };
  control->operators = operators_new (&conf);
  if (control->operators == NULL)
    return ft_error_set (error, FT_IO, 0, "control", "%s: %s", s->control_text, g_strerror (errno));
  return FT_OK;
}

FtStatus
control_new (const Settings *settings, const AdapterOps *adapter_ops, Loop *loop, Instance **out,
             FtError *error)
{
  Control *control = g_new0 (Control, 1);

  control->base.ops = &ops;
  control->settings = settings;
  control->adapter_ops = adapter_ops;
  control->loop = loop;
  control->cli = hcli_new (loop);
  control->servers = servers_new ();
  control->broker = broker_new (loop, "voter", NULL, NULL);
  instance_configure_broker (settings, control->broker, true);
  control->reader
      = reader_new (loop, control->cli, adapter_ops, settings->list, on_list_read, control);
  control->readers = g_hash_table_new (NULL, NULL);
  control->tick.fire = on_tick;
  control->leader_seen_at = loop_now (loop);
  FtStatus status = open_voter (control, error);
  if (status == FT_OK)
    {
      RolloutsConf rollouts = { { settings->rollout_share, (unsigned) settings->rollout_slack },
                                settings->order_repeat_ms * FT_MS };
      control->suspects = suspects_new (loop, control->voter);
      control->rollouts = rollouts_new (loop, control->voter, control->broker, &rollouts);
      control->publish = publish_new (loop, control->voter, control->servers, control->broker);
      status = open_addresses (control, error);
    }
  if (status != FT_OK)
    {
      destroy (&control->base);
      return status;
    }
  on_committed (control); /* the document loaded from disk */
  suspects_committed (control->suspects);
  rollouts_committed (control->rollouts);
  listing_committed (control->listing);
  new_settings (&control->base, settings);
  loop_timer_set (loop, &control->tick, loop_now (loop) + TICK);
  *out = &control->base;
  return FT_OK;
}
