/* lead.c - tasks of the leading voter: it confirms that instances are up to date, assigns leases,
 * and answers proposals and queries.
 *
 * Each instance sends a hello twice a second. The reply confirms that, as of the time the
 * hello was sent, the instance has the current catalogue and its leases are valid. These
 * confirmations are not in the replicated log, so a new leader does not know which ones still hold.
 * It waits until all of them must have expired: LEASE_TAKEOVER_DELAY before it moves a lease, and
 * INSTANCE_TIMEOUT before it ignores an instance that has sent it no hello when it reports whether
 * a change is in force on all instances.
 */
#include "node.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

typedef struct
{
  uint32_t id;
  uint64_t incarnation;
  uint64_t revision; /* of its catalogue */
  int64_t last_hello_at;
  bool leaving;
  char *region;
} Instance;

typedef struct
{
  uint32_t from;         /* instance that proposed it */
  uint64_t number, term; /* number: chosen by the proposer, returned in the verdict */
} PendingProposal;

struct Leader
{
  FtNode *node;
  GHashTable *instances; /* id -> Instance */
  GHashTable *pending;   /* &log index -> PendingProposal */
  uint64_t term;         /* during which the tables above were filled */
  GArray *live;          /* ids of live instances, uint32_t, sorted, as of live_updated_at */
  uint64_t live_version; /* unique across leaders: starts at the term times 2^32 */
  int64_t live_updated_at;
  uint64_t lease_log_index; /* log index of the lease proposed last */
  uint32_t previous_holder; /* previous holder of the pool of that lease, 0: none */
  int64_t next_claims_check_at;
};

static void
instance_free (void *data)
{
  Instance *instance = data;

  g_free (instance->region);
  g_free (instance);
}

Leader *
lead_new (FtNode *node)
{
  Leader *lead = g_new0 (Leader, 1);

  lead->node = node;
  lead->live = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  lead->instances = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, instance_free);
  lead->pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return lead;
}

void
lead_free (Leader *lead)
{
  if (lead == NULL)
    return;
  g_array_unref (lead->live);
  g_hash_table_unref (lead->instances);
  g_hash_table_unref (lead->pending);
  g_free (lead);
}

/* Returns true if this voter leads. On the first call in a new term, discards what it recorded in
 * earlier terms. */
static bool
check_leading (Leader *lead)
{
  FtNode *node = lead->node;

  if (!raft_leading (node->raft))
    return false;
  if (lead->term != raft_term (node->raft))
    {
      lead->term = raft_term (node->raft);
      lead->lease_log_index = 0;
      lead->live_version = lead->term << 32;
      lead->live_updated_at = 0;
      g_hash_table_remove_all (lead->instances);
      g_hash_table_remove_all (lead->pending);
    }
  return true;
}

static bool
is_live (const Instance *instance, int64_t now)
{
  return now - instance->last_hello_at < LEASE_TAKEOVER_DELAY;
}

static void
send_verdict (Leader *lead, uint32_t to, uint64_t number, FtStatus status, uint64_t revision,
              const char *text)
{
  FtNode *node = lead->node;
  Msg msg = { .kind = MSG_VERDICT };
  MsgVerdict *out = &msg.Msg_u.verdict;

  out->number = number;
  out->status = status;
  out->leader = raft_leader (node->raft);
  out->revision = revision;
  out->text = (char *) text;
  node_send (node, to, &msg);
}

/* ---- Hello ---- */

static Instance *
update_instance (Leader *lead, uint32_t from, const MsgHello *hello, int64_t now)
{
  Instance *instance = g_hash_table_lookup (lead->instances, GUINT_TO_POINTER (from));

  if (instance == NULL)
    {
      instance = g_new0 (Instance, 1);
      instance->id = from;
      g_hash_table_insert (lead->instances, GUINT_TO_POINTER (from), instance);
    }
  instance->incarnation = hello->incarnation;
  instance->revision = hello->revision;
  instance->last_hello_at = now;
  instance->leaving = hello->leaving;
  g_free (instance->region);
  instance->region = g_strdup (hello->region);
  return instance;
}

static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  uint32_t x = *(const uint32_t *) a, y = *(const uint32_t *) b;

  return (x > y) - (x < y);
}

/* Updates the list of live instances and its version. The list changes a few hundred times a day,
 * while each instance says hello twice a second, so a reply includes it only if the version in the
 * hello differs. */
static void
update_live (Leader *lead, int64_t now)
{
  GArray *live = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  GHashTableIter iter;
  void *data;

  if (lead->live_updated_at && now - lead->live_updated_at < LIVE_REFRESH_INTERVAL)
    {
      g_array_unref (live);
      return;
    }
  lead->live_updated_at = now;
  g_hash_table_iter_init (&iter, lead->instances);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    if (is_live (data, now))
      g_array_append_val (live, ((Instance *) data)->id);
  g_array_sort (live, compare_ids);
  if (live->len != lead->live->len
      || memcmp (live->data, lead->live->data, live->len * sizeof (uint32_t)) != 0)
    lead->live_version++;
  g_array_unref (lead->live);
  lead->live = live;
}

void
lead_on_hello (Leader *lead, uint32_t from, const MsgHello *hello)
{
  FtNode *node = lead->node;
  int64_t now = ft_clock_now (node->clock);
  Msg msg = { .kind = MSG_HELLO_REPLY };
  MsgHelloReply *out = &msg.Msg_u.hello_reply;

  if (!check_leading (lead))
    {
      send_verdict (lead, from, 0, FT_NOT_LEADER, 0, "");
      return;
    }
  update_instance (lead, from, hello, now);
  /* A lease holder that was presumed dead may send a hello before the log entry that moves its
   * lease is committed. A reply would extend the old lease by LEASE_PROOF_MAX_AGE, and two
   * instances would schedule the same pool. So the holder gets no reply until the entry is
   * committed; the first reply after that reports the new holder. */
  if (from == lead->previous_holder && raft_commit (node->raft) < lead->lease_log_index)
    return;
  GPtrArray *leases = state_leases (node->state);
  GArray *lease_array = g_array_new (FALSE, FALSE, sizeof (MsgLease));

  out->number = hello->number;
  out->revision = state_revision (node->state);
  out->lease_epoch = state_epoch (node->state);
  out->has_catalogue = hello->revision < out->revision;
  out->catalogue = (char *) (out->has_catalogue ? state_catalogue (node->state) : "");
  out->has_leases = hello->lease_epoch < out->lease_epoch || out->has_catalogue;
  for (unsigned i = 0; out->has_leases && i < leases->len; i++)
    g_array_append_vals (lease_array, leases->pdata[i], 1);
  out->leases.leases_len = lease_array->len;
  out->leases.leases_val = (MsgLease *) (void *) lease_array->data;
  update_live (lead, now);
  out->live_version = lead->live_version;
  /* A new leader has heard from some instances only. If it sent that incomplete list,
   * schedulers would drop the requests of the other instances. So it sends no list until every live
   * instance has had time to send a hello. */
  out->has_live = hello->live_version != lead->live_version
                  && now - raft_leading_since (node->raft) > LEASE_TAKEOVER_DELAY;
  out->live.live_len = out->has_live ? lead->live->len : 0;
  out->live.live_val = (u_int *) (void *) lead->live->data;
  MsgCrashTable blame = { 0 };
  if (hello->blame_index != crashes_index (state_crashes (node->state)))
    {
      crashes_capture (state_crashes (node->state), CRASHES_PUBLISH_MIN, &blame);
      out->blame.blame_len = 1;
      out->blame.blame_val = &blame;
    }
  node_send (node, from, &msg);
  g_free (blame.suspects.suspects_val);
  g_ptr_array_unref (leases);
  g_array_unref (lease_array);
}

/* ---- Proposals ---- */

void
lead_on_proposal (Leader *lead, uint32_t from, const MsgPropose *propose)
{
  FtNode *node = lead->node;
  MsgOp op = { 0 };
  uint64_t index = 0;

  if (!check_leading (lead))
    {
      send_verdict (lead, from, propose->number, FT_NOT_LEADER, 0, "");
      return;
    }
  FtStatus status = codec_unpack (CODEC (MsgOp), propose->op.op_val, propose->op.op_len, &op, NULL);
  bool is_allowed = op.kind == MSG_OP_CHANGE || op.kind == MSG_OP_CLAIM
                    || op.kind == MSG_OP_CLAIM_END || op.kind == MSG_OP_REFUSALS
                    || op.kind == MSG_OP_CRASH || op.kind == MSG_OP_CLEARED;
  if (status == FT_OK && is_allowed)
    status = raft_propose (node->raft, &op, &index);
  else
    status = FT_INVALID;
  codec_clear (CODEC (MsgOp), &op);
  if (status != FT_OK)
    {
      send_verdict (lead, from, propose->number, status, 0, ft_strerror (status));
      return;
    }
  PendingProposal *pending = g_new (PendingProposal, 1);
  *pending = (PendingProposal){ from, propose->number, lead->term };
  g_hash_table_replace (lead->pending, g_memdup2 (&index, sizeof index), pending);
}

void
lead_on_applied (Leader *lead, uint64_t index, const StateResult *verdict)
{
  PendingProposal *pending = g_hash_table_lookup (lead->pending, &index);

  if (pending == NULL)
    return;
  /* Within one term a leader never replaces entries of its own log, so the index identifies the
   * proposal. */
  if (pending->term == raft_term (lead->node->raft))
    send_verdict (lead, pending->from, pending->number, verdict->status, verdict->revision,
                  verdict->text);
  g_hash_table_remove (lead->pending, &index);
}

/* ---- Leases ---- */

static bool
can_hold_lease (const Instance *instance, const FtPoolEntry *pool, int64_t now)
{
  return is_live (instance, now) && !instance->leaving
         && (*pool->region == '\0' || *instance->region == '\0'
             || strcmp (pool->region, instance->region) == 0);
}

static unsigned
count_leases (Leader *lead, uint32_t id)
{
  GPtrArray *leases = state_leases (lead->node->state);
  unsigned count = 0;

  for (unsigned i = 0; i < leases->len; i++)
    count += ((const MsgLease *) leases->pdata[i])->holder == id;
  g_ptr_array_unref (leases);
  return count;
}

/* Returns the eligible instance with the fewest leases, 0 if none is eligible. Ties are broken by
 * rendezvous hashing (highest hash of pool and instance), so that the choice for a pool changes
 * little when instances come and go. */
static uint32_t
choose_holder (Leader *lead, const FtPoolEntry *pool, int64_t now)
{
  uint32_t best = 0;
  unsigned best_count = G_MAXUINT;
  uint64_t best_hash = 0;
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, lead->instances);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const Instance *instance = data;
      if (!can_hold_lease (instance, pool, now))
        continue;
      unsigned count = count_leases (lead, instance->id);
      uint64_t hash = XXH3_64bits_withSeed (pool->name, strlen (pool->name), instance->id);
      if (count > best_count || (count == best_count && hash < best_hash))
        continue;
      best = instance->id;
      best_count = count;
      best_hash = hash;
    }
  return best;
}

static bool
needs_holder (Leader *lead, const FtPoolEntry *pool, int64_t now)
{
  const MsgLease *lease = state_lease (lead->node->state, pool->name);
  bool grace_over = now - raft_leading_since (lead->node->raft) > LEASE_TAKEOVER_DELAY;

  if (lease == NULL || lease->holder == 0)
    return true;
  const Instance *holder = g_hash_table_lookup (lead->instances, GUINT_TO_POINTER (lease->holder));
  if (holder == NULL)
    return grace_over;
  return holder->leaving || !is_live (holder, now);
}

static void
assign_next_lease (Leader *lead, int64_t now)
{
  FtNode *node = lead->node;
  FtCat *cat = state_parsed_catalogue (node->state);

  if (cat == NULL || raft_commit (node->raft) < lead->lease_log_index)
    return; /* count_leases must include the previous assignment, which is not committed yet */
  for (unsigned i = 0; i < ft_cat_pool_count (cat); i++)
    {
      const FtPoolEntry *pool = ft_cat_pool_at (cat, i);
      MsgOp op = { .kind = MSG_OP_LEASE };
      if (!needs_holder (lead, pool, now))
        continue;
      uint32_t holder = choose_holder (lead, pool, now);
      if (holder == 0)
        continue;
      op.MsgOp_u.lease.pool = pool->name;
      op.MsgOp_u.lease.holder = holder;
      const MsgLease *old = state_lease (node->state, pool->name);
      lead->previous_holder = old ? old->holder : 0;
      raft_propose (node->raft, &op, &lead->lease_log_index);
      return;
    }
}

/* Ends the claims that an earlier process of an instance left behind, with the outcome unknown.
 * That process can no longer end them, and they would be reported as running forever. Handles the
 * claims of one process a call. */
static void
end_orphaned_claims (Leader *lead, int64_t now)
{
  FtNode *node = lead->node;
  GHashTableIter iter;
  void *data;

  if (now < lead->next_claims_check_at || state_claim_count (node->state) == 0)
    return;
  lead->next_claims_check_at = now + FT_SECOND;
  g_hash_table_iter_init (&iter, lead->instances);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const Instance *instance = data;
      uint64_t other_incarnation, index;
      if (!state_claim_of_other (node->state, instance->id, instance->incarnation,
                                 &other_incarnation))
        continue;
      MsgOp op = { .kind = MSG_OP_CLAIM_END };
      MsgClaimDone *done = &op.MsgOp_u.claim_done;
      done->key = done->request_id = (char *) ""; /* empty key: all claims of this incarnation */
      done->entry = instance->id;
      done->incarnation = other_incarnation;
      done->end = MSG_CLAIM_UNKNOWN;
      raft_propose (node->raft, &op, &index);
      return;
    }
}

void
lead_tick (Leader *lead, int64_t now)
{
  if (!check_leading (lead))
    return;
  assign_next_lease (lead, now);
  end_orphaned_claims (lead, now);
}

/* ---- Queries ---- */

static void
json_string (GString *out, const char *text)
{
  g_string_append_c (out, '"');
  for (; *text; text++)
    {
      if (*text == '"' || *text == '\\')
        g_string_append_printf (out, "\\%c", *text);
      else if (*text == '\n')
        g_string_append (out, "\\n");
      else if ((unsigned char) *text >= 0x20)
        g_string_append_c (out, *text);
    }
  g_string_append_c (out, '"');
}

static FtStatus
answer_in_force (Leader *lead, const char *id, GString *out)
{
  FtNode *node = lead->node;
  int64_t now = ft_clock_now (node->clock);
  uint64_t revision = g_ascii_strtoull (id, NULL, 10);
  bool silent_is_dead = now - raft_leading_since (node->raft) > INSTANCE_TIMEOUT;
  unsigned missing_count = 0;

  g_string_append_printf (out, "{\"revision\":%" G_GUINT64_FORMAT ",\"missing\":[", revision);
  for (unsigned i = 0; i < node->instances->len; i++)
    {
      uint32_t instance_id = g_array_index (node->instances, uint32_t, i);
      const Instance *instance
          = g_hash_table_lookup (lead->instances, GUINT_TO_POINTER (instance_id));
      bool timed_out = instance ? now - instance->last_hello_at > INSTANCE_TIMEOUT : silent_is_dead;
      if (timed_out || (instance && instance->revision >= revision))
        continue;
      g_string_append_printf (out, "%s%u", missing_count++ ? "," : "", instance_id);
    }
  bool revision_exists = state_revision (node->state) >= revision;
  g_string_append_printf (out, "],\"in_force\":%s}",
                          revision_exists && missing_count == 0 ? "true" : "false");
  return FT_OK;
}

static FtStatus
answer_refusal (Leader *lead, const char *id, GString *out)
{
  const MsgRefusalRecord *record = state_refusal (lead->node->state, id);

  if (record == NULL)
    return FT_NOT_FOUND;
  const FtReasonInfo *info = ft_reason_info ((FtReason) record->reason);
  g_string_append (out, "{\"id\":");
  json_string (out, record->id);
  g_string_append (out, ",\"organisation\":");
  json_string (out, record->org);
  g_string_append_printf (out,
                          ",\"reason\":\"%s\",\"message\":\"%s\",\"ran\":\"%s\",\"tier\":%u,"
                          "\"revision\":%" G_GUINT64_FORMAT ",\"retry_after_ms\":%" G_GINT64_FORMAT
                          ",\"at_unix_ms\":%" G_GINT64_FORMAT ",\"rule\":",
                          info->code, info->message, ft_ran_name (info->ran), record->tier,
                          (uint64_t) record->revision, (int64_t) record->retry_after_ms,
                          (int64_t) record->wall_ms);
  json_string (out, record->rule);
  g_string_append_c (out, '}');
  return FT_OK;
}

static FtStatus
answer_claim (Leader *lead, const char *key, GString *out)
{
  static const char *const ends[] = { "released", "answered", "unknown" };
  const MsgClaimState *claim = state_claim (lead->node->state, key);

  if (claim == NULL)
    return FT_NOT_FOUND;
  g_string_append_printf (out, "{\"state\":\"%s\",\"instance\":%u,\"request\":",
                          claim->ended ? ends[claim->end] : "running", claim->claim.entry);
  json_string (out, claim->claim.request_id);
  g_string_append_c (out, '}');
  return FT_OK;
}

static FtStatus
answer_history (Leader *lead, const char *id, GString *out)
{
  const GPtrArray *history = state_history (lead->node->state);
  uint64_t limit = *id ? g_ascii_strtoull (id, NULL, 10) : 100;

  g_string_append_c (out, '[');
  for (unsigned i = history->len; i > 0 && limit > 0; i--, limit--)
    {
      const MsgRevision *change = history->pdata[i - 1];
      g_string_append_printf (
          out,
          "%s{\"revision\":%" G_GUINT64_FORMAT ",\"accepted\":%s,\"at_unix_ms\":%" G_GINT64_FORMAT
          ",\"digest\":\"%s\",\"change_id\":",
          i == history->len ? "" : ",", (uint64_t) change->revision,
          change->status == FT_OK ? "true" : "false", (int64_t) change->wall_ms, change->digest);
      json_string (out, change->change_id);
      g_string_append (out, ",\"author\":");
      json_string (out, change->author);
      g_string_append (out, ",\"text\":");
      json_string (out, change->text);
      g_string_append_c (out, '}');
    }
  g_string_append_c (out, ']');
  return FT_OK;
}

static FtStatus
answer_catalogue (Leader *lead, GString *out)
{
  g_string_append (out, state_catalogue (lead->node->state));
  return state_revision (lead->node->state) ? FT_OK : FT_NOT_FOUND;
}

static FtStatus
answer_suspects (Leader *lead, const char *id, GString *out)
{
  crashes_append_json (state_crashes (lead->node->state), g_ascii_strtoll (id, NULL, 10), out);
  return FT_OK;
}

void
lead_on_query (Leader *lead, uint32_t from, const MsgQuery *query)
{
  GString *out = g_string_new (NULL);
  FtStatus status = FT_NOT_LEADER;
  Msg msg = { .kind = MSG_QUERY_REPLY };

  if (check_leading (lead))
    switch (query->kind)
      {
      case MSG_QUERY_IN_FORCE:
        status = answer_in_force (lead, query->id, out);
        break;
      case MSG_QUERY_REFUSAL:
        status = answer_refusal (lead, query->id, out);
        break;
      case MSG_QUERY_CLAIM:
        status = answer_claim (lead, query->id, out);
        break;
      case MSG_QUERY_HISTORY:
        status = answer_history (lead, query->id, out);
        break;
      case MSG_QUERY_CATALOGUE:
        status = answer_catalogue (lead, out);
        break;
      case MSG_QUERY_SUSPECTS:
        status = answer_suspects (lead, query->id, out);
        break;
      default:
        status = FT_INVALID;
      }
  msg.Msg_u.query_reply.number = query->number;
  msg.Msg_u.query_reply.status = status;
  msg.Msg_u.query_reply.body.body_len = (u_int) out->len;
  msg.Msg_u.query_reply.body.body_val = out->str;
  node_send (lead->node, from, &msg);
  g_string_free (out, TRUE);
}
