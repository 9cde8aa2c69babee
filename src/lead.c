/* lead.c - duties of the voter in charge: freshness, leases, verdicts, questions.
 *
 * Instances say hello twice a second; the answer proves that the catalogue they have is in force
 * at the time they asked. A lease is renewed by the same answer. Nothing of this is in the log, so
 * a new leader first waits as long as any proof of its predecessor may last (TAKEOVER, OUT_AFTER)
 * before it moves a lease or calls a change in force without having heard an instance.
 */
#include "node.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

typedef struct
{
  uint32_t id;
  uint64_t incarnation, revision;
  int64_t heard_at;
  bool leaving;
  char *region;
} Instance;

typedef struct
{
  uint32_t from;
  uint64_t number, term;
} Waiting;

struct Lead
{
  FtNode *node;
  GHashTable *instances; /* id -> Instance */
  GHashTable *waiting;   /* &index -> Waiting */
  uint64_t term;         /* that the soft state above belongs to */
  GArray *live;          /* uint32_t, sorted, as of the last look */
  uint64_t live_version; /* unlike any other leader's */
  int64_t live_at;
  uint64_t placing;     /* index of the last lease proposed */
  uint32_t moving_from; /* its holder until then, 0: none */
  int64_t claims_at;
};

static void
instance_free (void *data)
{
  Instance *one = data;

  g_free (one->region);
  g_free (one);
}

Lead *
lead_new (FtNode *node)
{
  Lead *lead = g_new0 (Lead, 1);

  lead->node = node;
  lead->live = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  lead->instances = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, instance_free);
  lead->waiting = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return lead;
}

void
lead_free (Lead *lead)
{
  if (lead == NULL)
    return;
  g_array_unref (lead->live);
  g_hash_table_unref (lead->instances);
  g_hash_table_unref (lead->waiting);
  g_free (lead);
}

/* Forgets what belongs to an earlier time in charge. False when this voter is not in charge. */
static bool
in_charge (Lead *lead)
{
  FtNode *node = lead->node;

  if (!raft_leading (node->raft))
    return false;
  if (lead->term != raft_term (node->raft))
    {
      lead->term = raft_term (node->raft);
      lead->placing = 0;
      lead->live_version = lead->term << 32;
      lead->live_at = 0;
      g_hash_table_remove_all (lead->instances);
      g_hash_table_remove_all (lead->waiting);
    }
  return true;
}

static bool
is_live (const Instance *one, int64_t now)
{
  return now - one->heard_at < TAKEOVER;
}

static void
send_verdict (Lead *lead, uint32_t to, uint64_t number, FtStatus status, uint64_t revision,
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
note_instance (Lead *lead, uint32_t from, const MsgHello *hello, int64_t now)
{
  Instance *one = g_hash_table_lookup (lead->instances, GUINT_TO_POINTER (from));

  if (one == NULL)
    {
      one = g_new0 (Instance, 1);
      one->id = from;
      g_hash_table_insert (lead->instances, GUINT_TO_POINTER (from), one);
    }
  one->incarnation = hello->incarnation;
  one->revision = hello->revision;
  one->heard_at = now;
  one->leaving = hello->leaving;
  g_free (one->region);
  one->region = g_strdup (hello->region);
  return one;
}

static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  uint32_t x = *(const uint32_t *) a, y = *(const uint32_t *) b;

  return (x > y) - (x < y);
}

/* The set of live instances changes a few hundred times a day and is asked for twice a second by
 * each of them, so it is sent only to those that have another version of it. */
static void
refresh_live (Lead *lead, int64_t now)
{
  GArray *live = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  GHashTableIter iter;
  void *data;

  if (lead->live_at && now - lead->live_at < LIVE_EVERY)
    {
      g_array_unref (live);
      return;
    }
  lead->live_at = now;
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
lead_hello (Lead *lead, uint32_t from, const MsgHello *hello)
{
  FtNode *node = lead->node;
  int64_t now = ft_clock_now (node->clock);
  Msg msg = { .kind = MSG_FRESH };
  MsgFresh *out = &msg.Msg_u.fresh;

  if (!in_charge (lead))
    {
      send_verdict (lead, from, 0, FT_NOT_LEADER, 0, "");
      return;
    }
  note_instance (lead, from, hello, now);
  /* Failure: a holder thought dead says hello while the entry that moves its lease is not yet
   * committed. Symptom: the answer proves the old lease for two more seconds and two instances
   * schedule one pool. No answer until the move is committed; the next hello then tells it. */
  if (from == lead->moving_from && raft_commit (node->raft) < lead->placing)
    return;
  GPtrArray *leases = state_leases (node->state);
  GArray *packed = g_array_new (FALSE, FALSE, sizeof (MsgLease));

  out->number = hello->number;
  out->revision = state_revision (node->state);
  out->lease_epoch = state_epoch (node->state);
  out->has_catalogue = hello->revision < out->revision;
  out->catalogue = (char *) (out->has_catalogue ? state_catalogue (node->state) : "");
  out->has_leases = hello->lease_epoch < out->lease_epoch || out->has_catalogue;
  for (unsigned i = 0; out->has_leases && i < leases->len; i++)
    g_array_append_vals (packed, leases->pdata[i], 1);
  out->leases.leases_len = packed->len;
  out->leases.leases_val = (MsgLease *) (void *) packed->data;
  refresh_live (lead, now);
  out->live_version = lead->live_version;
  /* Failure: a new leader has heard only some instances and calls the rest dead. Symptom:
   * schedulers forget what waits and runs at them. Until every live one must have said hello, it
   * calls none. */
  out->has_live = hello->live_version != lead->live_version
                  && now - raft_leading_since (node->raft) > TAKEOVER;
  out->live.live_len = out->has_live ? lead->live->len : 0;
  out->live.live_val = (u_int *) (void *) lead->live->data;
  MsgBlame blame = { 0 };
  if (hello->blame_index != blame_index (state_blame (node->state)))
    {
      crashes_capture (state_blame (node->state), CRASHES_PUBLISH_MIN, &blame);
      out->blame.blame_len = 1;
      out->blame.blame_val = &blame;
    }
  node_send (node, from, &msg);
  g_free (blame.suspects.suspects_val);
  g_ptr_array_unref (leases);
  g_array_unref (packed);
}

/* ---- Proposals ---- */

void
lead_propose (Lead *lead, uint32_t from, const MsgPropose *propose)
{
  FtNode *node = lead->node;
  MsgOp op = { 0 };
  uint64_t index = 0;

  if (!in_charge (lead))
    {
      send_verdict (lead, from, propose->number, FT_NOT_LEADER, 0, "");
      return;
    }
  FtStatus status = codec_unpack (CODEC (MsgOp), propose->op.op_val, propose->op.op_len, &op, NULL);
  bool allowed = op.kind == MSG_OP_CHANGE || op.kind == MSG_OP_CLAIM || op.kind == MSG_OP_CLAIM_END
                 || op.kind == MSG_OP_REFUSALS || op.kind == MSG_OP_ENDED
                 || op.kind == MSG_OP_CLEARED;
  if (status == FT_OK && allowed)
    status = raft_propose (node->raft, &op, &index);
  else
    status = FT_INVALID;
  codec_clear (CODEC (MsgOp), &op);
  if (status != FT_OK)
    {
      send_verdict (lead, from, propose->number, status, 0, ft_strerror (status));
      return;
    }
  Waiting *waiting = g_new (Waiting, 1);
  *waiting = (Waiting){ from, propose->number, lead->term };
  g_hash_table_replace (lead->waiting, g_memdup2 (&index, sizeof index), waiting);
}

void
lead_applied (Lead *lead, uint64_t index, const StateResult *verdict)
{
  Waiting *waiting = g_hash_table_lookup (lead->waiting, &index);

  if (waiting == NULL)
    return;
  /* Entries of a leader's own term are never replaced in its log, so within one term the index
   * names the proposal. */
  if (waiting->term == raft_term (lead->node->raft))
    send_verdict (lead, waiting->from, waiting->number, verdict->status, verdict->revision,
                  verdict->text);
  g_hash_table_remove (lead->waiting, &index);
}

/* ---- Leases ---- */

static bool
may_hold (const Instance *one, const FtPoolEntry *pool, int64_t now)
{
  return is_live (one, now) && !one->leaving
         && (*pool->region == '\0' || *one->region == '\0'
             || strcmp (pool->region, one->region) == 0);
}

static unsigned
leases_of (Lead *lead, uint32_t id)
{
  GPtrArray *leases = state_leases (lead->node->state);
  unsigned count = 0;

  for (unsigned i = 0; i < leases->len; i++)
    count += ((const MsgLease *) leases->pdata[i])->holder == id;
  g_ptr_array_unref (leases);
  return count;
}

/* The instance with the fewest leases; among equals the one whose hash with the pool is highest,
 * so that placements move little when instances come and go. */
static uint32_t
choose_holder (Lead *lead, const FtPoolEntry *pool, int64_t now)
{
  uint32_t best = 0;
  unsigned best_count = G_MAXUINT;
  uint64_t best_hash = 0;
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, lead->instances);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const Instance *one = data;
      if (!may_hold (one, pool, now))
        continue;
      unsigned count = leases_of (lead, one->id);
      uint64_t hash = XXH3_64bits_withSeed (pool->name, strlen (pool->name), one->id);
      if (count > best_count || (count == best_count && hash < best_hash))
        continue;
      best = one->id;
      best_count = count;
      best_hash = hash;
    }
  return best;
}

static bool
needs_holder (Lead *lead, const FtPoolEntry *pool, int64_t now)
{
  const MsgLease *lease = state_lease (lead->node->state, pool->name);
  bool waited = now - raft_leading_since (lead->node->raft) > TAKEOVER;

  if (lease == NULL || lease->holder == 0)
    return true;
  const Instance *holder = g_hash_table_lookup (lead->instances, GUINT_TO_POINTER (lease->holder));
  if (holder == NULL)
    return waited;
  return holder->leaving || !is_live (holder, now);
}

static void
place_leases (Lead *lead, int64_t now)
{
  FtNode *node = lead->node;
  FtCat *cat = state_parsed_catalogue (node->state);

  if (cat == NULL || raft_commit (node->raft) < lead->placing)
    return; /* one batch at a time: counts of leases are then true */
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
      lead->moving_from = old ? old->holder : 0;
      raft_propose (node->raft, &op, &lead->placing);
      return;
    }
}

/* Claims of an incarnation that is dead are of unknown outcome; until then "still running". */
static void
end_dead_claims (Lead *lead, int64_t now)
{
  FtNode *node = lead->node;
  GHashTableIter iter;
  void *data;

  if (now < lead->claims_at || state_claim_count (node->state) == 0)
    return;
  lead->claims_at = now + FT_SECOND;
  g_hash_table_iter_init (&iter, lead->instances);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const Instance *one = data;
      uint64_t older, index;
      if (!state_claim_of_other (node->state, one->id, one->incarnation, &older))
        continue;
      MsgOp op = { .kind = MSG_OP_CLAIM_END };
      MsgClaimDone *done = &op.MsgOp_u.claim_done;
      done->key = done->request_id = (char *) "";
      done->entry = one->id;
      done->incarnation = older;
      done->end = MSG_CLAIM_UNKNOWN;
      raft_propose (node->raft, &op, &index);
      return;
    }
}

void
lead_tick (Lead *lead, int64_t now)
{
  if (!in_charge (lead))
    return;
  place_leases (lead, now);
  end_dead_claims (lead, now);
}

/* ---- Questions ---- */

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
tell_in_force (Lead *lead, const char *id, GString *out)
{
  FtNode *node = lead->node;
  int64_t now = ft_clock_now (node->clock);
  uint64_t revision = g_ascii_strtoull (id, NULL, 10);
  bool waited = now - raft_leading_since (node->raft) > OUT_AFTER;
  unsigned missing = 0;

  g_string_append_printf (out, "{\"revision\":%" G_GUINT64_FORMAT ",\"missing\":[", revision);
  for (unsigned i = 0; i < node->instances->len; i++)
    {
      uint32_t at = g_array_index (node->instances, uint32_t, i);
      const Instance *one = g_hash_table_lookup (lead->instances, GUINT_TO_POINTER (at));
      bool out_of_service = one ? now - one->heard_at > OUT_AFTER : waited;
      if (out_of_service || (one && one->revision >= revision))
        continue;
      g_string_append_printf (out, "%s%u", missing++ ? "," : "", at);
    }
  bool known = state_revision (node->state) >= revision;
  g_string_append_printf (out, "],\"in_force\":%s}", known && missing == 0 ? "true" : "false");
  return FT_OK;
}

static FtStatus
tell_refusal (Lead *lead, const char *id, GString *out)
{
  const MsgRecord *record = state_refusal (lead->node->state, id);

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
tell_claim (Lead *lead, const char *key, GString *out)
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
tell_history (Lead *lead, const char *id, GString *out)
{
  const GPtrArray *history = state_history (lead->node->state);
  uint64_t most = *id ? g_ascii_strtoull (id, NULL, 10) : 100;

  g_string_append_c (out, '[');
  for (unsigned i = history->len; i > 0 && most > 0; i--, most--)
    {
      const MsgRevision *one = history->pdata[i - 1];
      g_string_append_printf (
          out,
          "%s{\"revision\":%" G_GUINT64_FORMAT ",\"accepted\":%s,\"at_unix_ms\":%" G_GINT64_FORMAT
          ",\"digest\":\"%s\",\"change_id\":",
          i == history->len ? "" : ",", (uint64_t) one->revision,
          one->status == FT_OK ? "true" : "false", (int64_t) one->wall_ms, one->digest);
      json_string (out, one->change_id);
      g_string_append (out, ",\"author\":");
      json_string (out, one->author);
      g_string_append (out, ",\"text\":");
      json_string (out, one->text);
      g_string_append_c (out, '}');
    }
  g_string_append_c (out, ']');
  return FT_OK;
}

static FtStatus
tell_catalogue (Lead *lead, GString *out)
{
  g_string_append (out, state_catalogue (lead->node->state));
  return state_revision (lead->node->state) ? FT_OK : FT_NOT_FOUND;
}

static FtStatus
tell_suspects (Lead *lead, const char *id, GString *out)
{
  crashes_append_json (state_blame (lead->node->state), g_ascii_strtoll (id, NULL, 10), out);
  return FT_OK;
}

void
lead_find (Lead *lead, uint32_t from, const MsgFind *find)
{
  GString *out = g_string_new (NULL);
  FtStatus status = FT_NOT_LEADER;
  Msg msg = { .kind = MSG_FOUND };

  if (in_charge (lead))
    switch (find->kind)
      {
      case MSG_FIND_IN_FORCE:
        status = tell_in_force (lead, find->id, out);
        break;
      case MSG_FIND_REFUSAL:
        status = tell_refusal (lead, find->id, out);
        break;
      case MSG_FIND_CLAIM:
        status = tell_claim (lead, find->id, out);
        break;
      case MSG_FIND_HISTORY:
        status = tell_history (lead, find->id, out);
        break;
      case MSG_FIND_CATALOGUE:
        status = tell_catalogue (lead, out);
        break;
      case MSG_FIND_SUSPECTS:
        status = tell_suspects (lead, find->id, out);
        break;
      default:
        status = FT_INVALID;
      }
  msg.Msg_u.found.number = find->number;
  msg.Msg_u.found.status = status;
  msg.Msg_u.found.body.body_len = (u_int) out->len;
  msg.Msg_u.found.body.body_val = out->str;
  node_send (lead->node, from, &msg);
  g_string_free (out, TRUE);
}
