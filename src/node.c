/* node.c - one instance of the cluster: dispatch of messages, proof of freshness, list of servers.
 *
 * An instance proves that its catalogue is in force by asking a voter: each hello carries a number,
 * and the answer repeats it. What the answer proves held when the hello was sent, so an answer that
 * was delayed on the way does not extend the proof.
 */
#include "node.h"

#include <string.h>

#define SNAPSHOT_BYTES (32u << 20) /* of log entries; eight of the largest catalogues */

static void
server_free (void *data)
{
  NodeServer *server = data;

  g_free (server->pool);
  g_free (server->name);
  g_free (server);
}

/* ---- Messages ---- */

static void dispatch (FtNode *node, uint32_t from, const Msg *msg);

void
node_send (FtNode *node, uint32_t to, const Msg *msg)
{
  if (to == node->conf.id)
    {
      dispatch (node, to, msg);
      return;
    }
  GByteArray *bytes = codec_pack (CODEC (Msg), msg);
  if (bytes)
    node->ops->send (node->host, to, bytes);
}

static void
raft_send (void *host, uint32_t to, GByteArray *msg)
{
  FtNode *node = host;

  node->ops->send (node->host, to, msg);
}

static void
raft_applied (void *host, uint64_t index, const MsgOp *op, const StateResult *verdict)
{
  FtNode *node = host;

  (void) op;
  lead_on_applied (node->lead, index, verdict);
}

static const RaftOps raft_ops = { raft_send, raft_applied };

/* ---- Creation and release ---- */

static GArray *
copy_ids (const uint32_t *ids, unsigned count)
{
  GArray *copy = g_array_new (FALSE, FALSE, sizeof (uint32_t));

  g_array_append_vals (copy, ids, count);
  return copy;
}

static bool
is_voter (const FtNode *node)
{
  for (unsigned i = 0; i < node->voters->len; i++)
    if (g_array_index (node->voters, uint32_t, i) == node->conf.id)
      return true;
  return false;
}

static FtStatus
start_voter (FtNode *node, FtDisk *disk, FtError *error)
{
  RaftConf conf = { .self = node->conf.id,
                    .voters = (const uint32_t *) (void *) node->voters->data,
                    .count = node->voters->len,
                    .snapshot_bytes = SNAPSHOT_BYTES };

  if (disk == NULL)
    return ft_error_set (error, FT_INVALID, 0, "data_folder", "a voter needs a data folder");
  node->state = state_new ();
  node->lead = lead_new (node);
  return raft_new (&conf, node->clock, node->random, disk, node->state, &raft_ops, node,
                   &node->raft, error);
}

FtStatus
ft_node_new (const FtNodeConf *conf, FtClock *clock, FtRandom *random, FtDisk *disk,
             const FtNodeOps *ops, void *host, FtNode **out, FtError *error)
{
  FtNode *node = g_new0 (FtNode, 1);
  FtStatus status = FT_OK;

  node->conf = *conf;
  node->conf.region = g_strdup (conf->region ? conf->region : "");
  node->conf.failure_domain = g_strdup (conf->failure_domain ? conf->failure_domain : "");
  node->instances = copy_ids (conf->instances, conf->instance_count);
  node->voters = copy_ids (conf->voters, conf->voter_count);
  node->live = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  node->clock = clock;
  node->random = random;
  node->ops = ops;
  node->host = host;
  node->servers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, server_free);
  node->peer_incarnations = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  node->proposals = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, prop_free);
  node->queries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, find_free);
  node->refusals = g_array_new (FALSE, FALSE, sizeof (MsgRefusalRecord));
  node->assumed_leader = conf->voters[0];
  node->fresh_at = ft_clock_now (clock) - FRESH_PROOF_MAX_AGE;
  node->next_number = 1;
  node->quar = quar_new (clock);
  node->ent = ent_new (node);
  node->hold = hold_new (node);
  if (is_voter (node))
    status = start_voter (node, disk, error);
  *out = node;
  if (status != FT_OK)
    {
      ft_node_free (node);
      *out = NULL;
    }
  return status;
}

void
ft_node_free (FtNode *node)
{
  if (node == NULL)
    return;
  raft_free (node->raft);
  lead_free (node->lead);
  state_free (node->state);
  hold_free (node->hold);
  ent_free (node->ent);
  for (unsigned i = 0; i < node->refusals->len; i++)
    codec_clear (CODEC (MsgRefusalRecord), &g_array_index (node->refusals, MsgRefusalRecord, i));
  g_array_unref (node->refusals);
  quar_free (node->quar);
  g_hash_table_unref (node->queries);
  g_hash_table_unref (node->proposals);
  g_hash_table_unref (node->peer_incarnations);
  g_hash_table_unref (node->servers);
  g_array_unref (node->live);
  g_array_unref (node->voters);
  g_array_unref (node->instances);
  ft_cat_unref (node->cat);
  g_free ((char *) node->conf.region);
  g_free ((char *) node->conf.failure_domain);
  g_free (node);
}

/* ---- Freshness ---- */

bool
node_lease_valid (FtNode *node, int64_t now)
{
  return now - node->fresh_at < LEASE_PROOF_MAX_AGE;
}

bool
ft_node_is_fresh (FtNode *node)
{
  return node->cat && !node->leaving
         && ft_clock_now (node->clock) - node->fresh_at < FRESH_PROOF_MAX_AGE;
}

int64_t
ft_node_fresh_until (FtNode *node)
{
  return node->cat && !node->leaving ? node->fresh_at + FRESH_PROOF_MAX_AGE : 0;
}

FtCat *
ft_node_catalogue (FtNode *node)
{
  return node->cat;
}

static void
choose_next_voter (FtNode *node)
{
  unsigned at = 0;

  for (unsigned i = 0; i < node->voters->len; i++)
    if (g_array_index (node->voters, uint32_t, i) == node->assumed_leader)
      at = (i + 1) % node->voters->len;
  node->assumed_leader = g_array_index (node->voters, uint32_t, at);
}

static void
send_hello (FtNode *node, int64_t now)
{
  Msg msg = { .kind = MSG_HELLO };
  MsgHello *hello = &msg.Msg_u.hello;

  if (node->raft && raft_leading (node->raft))
    node->assumed_leader = node->conf.id;
  else if (now - node->answered_at > HELLO_TIMEOUT)
    choose_next_voter (node);
  node->next_hello_at = now + HELLO_INTERVAL;
  hello->number = ++node->hello_number;
  node->hello_sent_at[node->hello_number % G_N_ELEMENTS (node->hello_sent_at)] = now;
  hello->revision = node->cat ? ft_cat_revision (node->cat) : 0;
  hello->lease_epoch = node->lease_epoch;
  hello->incarnation = node->conf.incarnation;
  hello->live_version = node->live_version;
  hello->blame_index = node->blame_index;
  hello->leaving = node->leaving;
  hello->region = (char *) node->conf.region;
  hello->failure_domain = (char *) node->conf.failure_domain;
  node_send (node, node->assumed_leader, &msg);
}

void
node_apply_catalogue (FtNode *node, const char *text, uint64_t revision)
{
  FtCat *cat = NULL;

  if (node->cat && ft_cat_revision (node->cat) >= revision)
    return; /* an older revision never replaces a newer one */
  if (ft_cat_new (text, revision, &cat, NULL) != FT_OK)
    return; /* valid for the leader: a newer release is needed here, and until then we are not fresh
             */
  ft_cat_unref (node->cat);
  node->cat = cat;
  node->ops->catalogue (node->host, cat);
  ent_on_catalogue (node->ent);
  hold_on_catalogue (node->hold);
}

void
node_apply_leases (FtNode *node, const MsgLease *leases, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      const MsgLease *lease = &leases[i];
      if (!ent_set_holder (node->ent, lease->pool, lease->holder, lease->epoch))
        continue;
      if (lease->holder == node->conf.id)
        hold_start_pool (node->hold, lease->pool, lease->epoch);
      else
        hold_stop_pool (node->hold, lease->pool);
    }
}

static void
update_live (FtNode *node, const MsgHelloReply *reply)
{
  GArray *live = copy_ids (reply->live.live_val, reply->live.live_len);

  for (unsigned i = 0; i < node->live->len; i++)
    {
      uint32_t id = g_array_index (node->live, uint32_t, i);
      bool found = id == node->conf.id;
      for (unsigned j = 0; j < live->len; j++)
        found |= g_array_index (live, uint32_t, j) == id;
      if (!found)
        hold_remove_entry (node->hold, id);
    }
  for (unsigned i = 0; i < live->len; i++)
    {
      uint32_t id = g_array_index (live, uint32_t, i);
      bool is_new = id != node->conf.id;
      for (unsigned j = 0; j < node->live->len; j++)
        is_new &= g_array_index (node->live, uint32_t, j) != id;
      if (is_new)
        hold_request_report (node->hold, id);
    }
  g_array_unref (node->live);
  node->live = live;
  node->live_version = reply->live_version;
}

static void
on_hello_reply (FtNode *node, uint32_t from, const MsgHelloReply *reply)
{
  unsigned kept = G_N_ELEMENTS (node->hello_sent_at);

  if (reply->number + kept <= node->hello_number || reply->number > node->hello_number)
    return; /* the time at which that hello was sent is no longer known */
  node->assumed_leader = from;
  node->answered_at = ft_clock_now (node->clock);
  if (reply->blame.blame_len > 0)
    susp_update_table (node, &reply->blame.blame_val[0]);
  if (reply->has_catalogue)
    node_apply_catalogue (node, reply->catalogue, reply->revision);
  if (!node->cat || ft_cat_revision (node->cat) < reply->revision)
    return; /* freshness needs the newest catalogue itself */
  if (reply->has_live)
    update_live (node, reply);
  if (reply->has_leases)
    node_apply_leases (node, reply->leases.leases_val, reply->leases.leases_len);
  node->lease_epoch = MAX (node->lease_epoch, reply->lease_epoch);
  node->fresh_at = MAX (node->fresh_at, node->hello_sent_at[reply->number % kept]);
  if (reply->has_catalogue)
    /* The change is in force only when the leader knows that every instance has it. */
    send_hello (node, node->answered_at);
}

/* ---- Servers ---- */

NodeServer *
node_find_server (FtNode *node, const char *pool, const char *name)
{
  char *key = g_strdup_printf ("%s/%s", pool, name);
  NodeServer *server = g_hash_table_lookup (node->servers, key);

  g_free (key);
  return server;
}

void
ft_node_update_server (FtNode *node, const char *pool, const char *name, uint64_t incarnation,
                       FtServerState state)
{
  NodeServer *server = node_find_server (node, pool, name);

  if (server == NULL)
    {
      server = g_new0 (NodeServer, 1);
      server->pool = g_strdup (pool);
      server->name = g_strdup (name);
      g_hash_table_insert (node->servers, g_strdup_printf ("%s/%s", pool, name), server);
    }
  else if (server->state == state && server->incarnation == incarnation)
    return;
  server->incarnation = incarnation;
  server->state = state;
  hold_update_server (node->hold, server);
}

void
ft_node_report (FtNode *node, const char *pool, const char *name, unsigned running,
                unsigned waiting, int64_t age)
{
  FtPool *held = hold_get_pool (node->hold, pool);

  if (held)
    ft_pool_report (held, name, running, waiting, age);
}

void
ft_node_cache_event (FtNode *node, const char *pool, const char *name, uint64_t number, bool stored,
                     uint64_t block)
{
  FtPool *held = hold_get_pool (node->hold, pool);

  if (held)
    ft_pool_cache_event (held, name, number, stored, block);
}

/* ---- Receiving ---- */

/* Called when messages to or from the peer were lost or its process has restarted. Its requests are
 * dropped from the pools scheduled here, and ours are sent again to the pools scheduled there. */
static void
peer_reset (FtNode *node, uint32_t peer)
{
  hold_remove_entry (node->hold, peer);
  ent_peer_reset (node->ent, peer);
}

void
ft_node_link_reset (FtNode *node, uint32_t peer)
{
  peer_reset (node, peer);
}

static void
check_incarnation (FtNode *node, uint32_t from, uint64_t incarnation)
{
  uint64_t *known = g_hash_table_lookup (node->peer_incarnations, GUINT_TO_POINTER (from));

  if (known && *known == incarnation)
    return;
  if (known)
    peer_reset (node, from);
  g_hash_table_insert (node->peer_incarnations, GUINT_TO_POINTER (from),
                       g_memdup2 (&incarnation, sizeof incarnation));
}

static void
on_report_request (FtNode *node, uint32_t from, const MsgReportRequest *request)
{
  if (!ent_set_holder (node->ent, request->pool, from, request->epoch))
    return;
  if (from != node->conf.id)
    hold_stop_pool (node->hold, request->pool);
  ent_report_requests (node->ent, request->pool, from, request->epoch);
}

static void
dispatch_control (FtNode *node, uint32_t from, const Msg *msg)
{
  switch (msg->kind)
    {
    case MSG_HELLO:
      if (node->lead)
        lead_on_hello (node->lead, from, &msg->Msg_u.hello);
      break;
    case MSG_HELLO_REPLY:
      on_hello_reply (node, from, &msg->Msg_u.hello_reply);
      break;
    case MSG_PROPOSE:
      if (node->lead)
        lead_on_proposal (node->lead, from, &msg->Msg_u.propose);
      break;
    case MSG_VERDICT:
      prop_on_verdict (node, from, &msg->Msg_u.verdict);
      break;
    case MSG_QUERY:
      find_on_query (node, from, &msg->Msg_u.query);
      break;
    case MSG_QUERY_REPLY:
      find_on_reply (node, &msg->Msg_u.query_reply);
      break;
    default:
      if (node->raft)
        raft_receive (node->raft, from, msg);
    }
}

static void
dispatch (FtNode *node, uint32_t from, const Msg *msg)
{
  switch (msg->kind)
    {
    case MSG_ASK:
      hold_on_ask (node->hold, from, &msg->Msg_u.ask);
      break;
    case MSG_GRANT:
      ent_on_grant (node->ent, from, &msg->Msg_u.grant);
      break;
    case MSG_REFUSE:
      ent_on_refusal (node->ent, from, &msg->Msg_u.refuse);
      break;
    case MSG_PROGRESS:
      hold_on_progress (node->hold, from, &msg->Msg_u.progress);
      break;
    case MSG_DONE:
      hold_on_done (node->hold, from, &msg->Msg_u.done);
      break;
    case MSG_PAUSE:
      ent_on_pause (node->ent, from, &msg->Msg_u.pause, true);
      break;
    case MSG_RESUME:
      ent_on_pause (node->ent, from, &msg->Msg_u.resume, false);
      break;
    case MSG_REPORT_REQUEST:
      on_report_request (node, from, &msg->Msg_u.report_request);
      break;
    case MSG_REPORT_END:
      hold_on_report_end (node->hold, from, &msg->Msg_u.report_end);
      break;
    default:
      dispatch_control (node, from, msg);
    }
}

FtStatus
ft_node_receive (FtNode *node, uint32_t from, uint64_t incarnation, const void *data, size_t size)
{
  Msg msg;

  memset (&msg, 0, sizeof msg);
  FtStatus status = codec_unpack (CODEC (Msg), data, size, &msg, NULL);
  if (status == FT_OK)
    {
      check_incarnation (node, from, incarnation);
      dispatch (node, from, &msg);
    }
  codec_clear (CODEC (Msg), &msg);
  return status;
}

/* ---- Time ---- */

void
ft_node_tick (FtNode *node)
{
  int64_t now = ft_clock_now (node->clock);

  if (node->raft)
    raft_tick (node->raft);
  if (node->lead)
    lead_tick (node->lead, now);
  if (now >= node->next_hello_at)
    send_hello (node, now);
  prop_submit_refusals (node, now);
  hold_tick (node->hold, now);
  quar_tick (node->quar, node->fresh_at + FRESH_PROOF_MAX_AGE > now);
  ent_tick (node->ent, now);
}

void
ft_node_flush (FtNode *node)
{
  int64_t now = ft_clock_now (node->clock);

  prop_tick (node, now);
  find_tick (node, now);
  if (node->raft)
    raft_flush (node->raft);
}

bool
ft_node_leave (FtNode *node)
{
  if (!node->leaving)
    {
      node->leaving = true;
      send_hello (node, ft_clock_now (node->clock));
    }
  return hold_count (node->hold) == 0;
}

void
ft_node_status (FtNode *node, FtNodeStatus *status)
{
  memset (status, 0, sizeof *status);
  status->voter = node->raft != NULL;
  status->leader = node->assumed_leader;
  status->revision = node->cat ? ft_cat_revision (node->cat) : 0;
  status->fresh = ft_node_is_fresh (node);
  status->pools_held = hold_count (node->hold);
  status->requests = ent_count (node->ent);
  status->live = node->live->len;
  if (node->raft == NULL)
    return;
  status->leader = raft_leader (node->raft);
  status->term = raft_term (node->raft);
  status->commit = raft_commit (node->raft);
  status->member = raft_is_member (node->raft);
  status->broken = raft_storage_failed (node->raft);
}

bool
ft_node_holds_lease (FtNode *node, const char *pool)
{
  return hold_get_pool (node->hold, pool) && node_lease_valid (node, ft_clock_now (node->clock));
}

FtPool *
ft_node_pool (FtNode *node, const char *pool)
{
  return hold_get_pool (node->hold, pool);
}
