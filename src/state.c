/* state.c - the state that every voter derives from the replicated log.
 *
 * Catalogue changes: a change names the revision that it is based on. If that is still the current
 * one and the text passes every check, it becomes the next revision. Otherwise it is rejected, and
 * the result names the change that came first. Results are kept by change id, so that a change that
 * is sent again gets its first result, from any voter and after any restart.
 *
 * Claims: the first claim of a key wins. It ends as released (the request provably did not run; the
 * key is free again), answered, or unknown. Ended claims are kept for ENDED_CLAIM_TTL_MS and
 * running ones for RUNNING_CLAIM_TTL_MS. These ages are computed from the wall times in the
 * operations, so that all voters drop the same claims.
 *
 * Contents that ran on servers that ended, and ordered and listed versions of servers, have their
 * own modules (crashes.c, rollout.c, listed.c).
 */
#include "state.h"

#include <string.h>

#define MAX_HISTORY  20000 /* results; 13 days at 1,500 changes a day */
#define MAX_REFUSALS 20000 /* records of 40 to 400 bytes each */
#define ENDED_CLAIM_TTL_MS                                                                         \
  (G_GINT64_CONSTANT (86400000)) /* a day, longer than any caller retries */
#define RUNNING_CLAIM_TTL_MS (7 * ENDED_CLAIM_TTL_MS)
#define ADDED_SECTIONS       3 /* last sections of a snapshot that older programs do not write */
#define EMPTY_SECTION_BYTES                                                                        \
  12 /* of an empty section in a snapshot: its index and its number of records */

struct State
{
  uint64_t revision, epoch;
  char *catalogue;
  FtCat *cat;
  GPtrArray *history;              /* MsgRevision * */
  GHashTable *revisions_by_change; /* change id -> MsgRevision * */
  GHashTable *leases;              /* pool -> MsgLease * */
  GHashTable *claims;              /* key -> MsgClaimState * */
  GQueue ended_claims;             /* MsgClaimState *, in the order in which they ended */
  GQueue refusals;                 /* MsgRefusalRecord *, oldest first */
  GHashTable *refusals_by_id;      /* refusal id -> MsgRefusalRecord * */
  MsgVoters voters;
  MsgDocument document;
  CrashTable *crashes;
  RolloutTable *rollouts;
  ListedTable *listed;
};

#define FREE_FUNC(type, name)                                                                      \
  static void name (void *data)                                                                    \
  {                                                                                                \
    codec_clear (CODEC (type), data);                                                              \
    g_free (data);                                                                                 \
  }
FREE_FUNC (MsgRevision, revision_free)
FREE_FUNC (MsgLease, lease_free)
FREE_FUNC (MsgClaimState, claim_free)
FREE_FUNC (MsgRefusalRecord, record_free)

static void
clear_state (State *state)
{
  state->revision = state->epoch = 0;
  g_clear_pointer (&state->catalogue, g_free);
  g_clear_pointer (&state->cat, ft_cat_unref);
  g_hash_table_remove_all (state->revisions_by_change);
  g_ptr_array_set_size (state->history, 0);
  g_hash_table_remove_all (state->leases);
  g_queue_clear (&state->ended_claims);
  g_hash_table_remove_all (state->claims);
  g_hash_table_remove_all (state->refusals_by_id);
  g_queue_clear_full (&state->refusals, record_free);
  codec_clear (CODEC (MsgVoters), &state->voters);
  memset (&state->voters, 0, sizeof state->voters);
  codec_clear (CODEC (MsgDocument), &state->document);
  memset (&state->document, 0, sizeof state->document);
  crashes_restore (state->crashes, &(MsgCrashTable){ 0 });
  roll_restore (state->rollouts, &(MsgRollouts){ 0 });
  listed_restore (state->listed, &(MsgListedTable){ 0 });
}

State *
state_new (void)
{
  State *state = g_new0 (State, 1);

  state->history = g_ptr_array_new_with_free_func (revision_free);
  state->revisions_by_change = g_hash_table_new (g_str_hash, g_str_equal);
  state->leases = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, lease_free);
  state->claims = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, claim_free);
  state->refusals_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&state->ended_claims);
  g_queue_init (&state->refusals);
  state->crashes = crashes_new ();
  state->rollouts = roll_new ();
  state->listed = listed_new ();
  return state;
}

void
state_free (State *state)
{
  if (state == NULL)
    return;
  clear_state (state);
  g_ptr_array_unref (state->history);
  g_hash_table_unref (state->revisions_by_change);
  g_hash_table_unref (state->leases);
  g_hash_table_unref (state->claims);
  g_hash_table_unref (state->refusals_by_id);
  crashes_free (state->crashes);
  roll_free (state->rollouts);
  listed_free (state->listed);
  g_free (state);
}

/* Deep copy through XDR, so that the copy shares no memory with value. */
static void *
copy_of (xdrproc_t proc, const void *value, size_t size)
{
  void *copy = g_malloc0 (size);
  GByteArray *bytes = codec_pack (proc, value);

  if (bytes == NULL || codec_unpack (proc, bytes->data, bytes->len, copy, NULL) != FT_OK)
    g_error ("cannot copy a decoded message: encoding or decoding failed");
  g_byte_array_unref (bytes);
  return copy;
}

/* Digest of what the change says, to tell a repeated change from another one with the same id. */
static char *
change_digest (const MsgChange *change)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);

  g_checksum_update (sum, (const guchar *) &change->base, sizeof change->base);
  g_checksum_update (sum, (const guchar *) change->catalogue, -1);
  char *digest = g_strdup (g_checksum_get_string (sum));
  g_checksum_free (sum);
  return digest;
}

static void set_result (StateResult *result, FtStatus status, uint64_t revision, const char *format,
                        ...) G_GNUC_PRINTF (4, 5);

static void
set_result (StateResult *result, FtStatus status, uint64_t revision, const char *format, ...)
{
  va_list args;

  result->status = status;
  result->revision = revision;
  va_start (args, format);
  g_vsnprintf (result->text, sizeof result->text, format, args);
  va_end (args);
}

/* The accepted change that followed revision base; NULL: no longer in the history. */
static const MsgRevision *
find_successor (const State *state, uint64_t base)
{
  for (unsigned i = 0; i < state->history->len; i++)
    {
      const MsgRevision *revision = state->history->pdata[i];
      if (revision->status == FT_OK && revision->revision == base + 1)
        return revision;
    }
  return NULL;
}

/* The texts are stored in the history. Voters of different versions must produce the same ones. */
static void
apply_new_change (State *state, const MsgChange *change, StateResult *result)
{
  FtError error;
  FtCat *cat = NULL;

  if (change->base != state->revision)
    {
      const MsgRevision *successor = find_successor (state, change->base);
      set_result (result, FT_CONFLICT, state->revision,
                  "made against revision %" G_GUINT64_FORMAT ", but revision %" G_GUINT64_FORMAT
                  " is in its place, by change %s of %s; make the change again against it",
                  (uint64_t) change->base, state->revision,
                  successor ? successor->change_id : "unknown",
                  successor ? successor->author : "unknown");
      return;
    }
  if (ft_cat_new (change->catalogue, state->revision + 1, &cat, &error) != FT_OK)
    {
      set_result (result, FT_INVALID, state->revision, "line %u, %s: %s", error.line,
                  *error.field ? error.field : "document", error.text);
      return;
    }
  char *diff = ft_cat_diff (state->cat, cat);
  ft_cat_unref (state->cat);
  state->cat = cat;
  g_free (state->catalogue);
  state->catalogue = g_strdup (change->catalogue);
  state->revision++;
  set_result (result, FT_OK, state->revision, "%s", diff);
  g_free (diff);
}

static void
apply_change (State *state, const MsgChange *change, StateResult *result)
{
  char *digest = change_digest (change);
  MsgRevision *known = g_hash_table_lookup (state->revisions_by_change, change->change_id);

  if (known)
    {
      if (strcmp (known->digest, digest) == 0)
        set_result (result, known->status, known->revision, "%s", known->text);
      else
        set_result (result, FT_CONFLICT, state->revision,
                    "change id %s was used before, with another text or revision",
                    change->change_id);
      g_free (digest);
      return;
    }
  apply_new_change (state, change, result);
  known = g_new0 (MsgRevision, 1);
  known->revision = result->revision;
  known->change_id = strdup (change->change_id);
  known->author = strdup (change->author);
  known->wall_ms = change->wall_ms;
  known->digest = strdup (digest);
  known->status = result->status;
  known->text = strdup (result->text);
  g_free (digest);
  g_ptr_array_add (state->history, known);
  g_hash_table_insert (state->revisions_by_change, known->change_id, known);
  if (state->history->len > MAX_HISTORY)
    {
      g_hash_table_remove (state->revisions_by_change,
                           ((MsgRevision *) state->history->pdata[0])->change_id);
      g_ptr_array_remove_index (state->history, 0);
    }
}

static void
expire_claims (State *state, int64_t wall_ms)
{
  MsgClaimState *claim;

  while ((claim = g_queue_peek_head (&state->ended_claims)) != NULL
         && claim->ended_ms + ENDED_CLAIM_TTL_MS < wall_ms)
    {
      g_queue_pop_head (&state->ended_claims);
      g_hash_table_remove (state->claims, claim->claim.key);
    }
}

static bool
same_owner (const MsgClaim *a, const MsgClaim *b)
{
  return a->entry == b->entry && a->incarnation == b->incarnation
         && strcmp (a->request_id, b->request_id) == 0;
}

static void
apply_claim (State *state, const MsgClaim *claim, StateResult *result)
{
  expire_claims (state, claim->wall_ms);
  MsgClaimState *known = g_hash_table_lookup (state->claims, claim->key);
  if (known && !known->ended && known->claim.wall_ms + RUNNING_CLAIM_TTL_MS < claim->wall_ms)
    {
      g_hash_table_remove (state->claims, claim->key);
      known = NULL;
    }
  if (known == NULL)
    {
      known = g_new0 (MsgClaimState, 1);
      void *copy = copy_of (CODEC (MsgClaim), claim, sizeof *claim);
      memcpy (&known->claim, copy, sizeof known->claim);
      g_free (copy);
      g_hash_table_insert (state->claims, known->claim.key, known);
      set_result (result, FT_OK, state->revision, "%s", claim->request_id);
    }
  else if (strcmp (known->claim.digest, claim->digest) != 0)
    set_result (result, FT_INVALID, state->revision, "%s", known->claim.request_id);
  else if (!known->ended)
    set_result (result, same_owner (&known->claim, claim) ? FT_OK : FT_CONFLICT, state->revision,
                "%s", known->claim.request_id);
  else
    set_result (result, known->end == MSG_CLAIM_ANSWERED ? FT_ALREADY_DONE : FT_STALE,
                state->revision, "%s", known->claim.request_id);
}

static void
end_claim (State *state, MsgClaimState *claim, MsgClaimEnd end, int64_t wall_ms)
{
  if (claim->ended)
    g_queue_remove (&state->ended_claims, claim);
  claim->ended = true;
  claim->end = end;
  claim->ended_ms = wall_ms;
  g_queue_push_tail (&state->ended_claims, claim);
}

/* Ends all running claims of an incarnation that has died as unknown: whether their requests ran
 * cannot be known. */
static void
end_claims_of_incarnation (State *state, const MsgClaimDone *done)
{
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, state->claims);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      MsgClaimState *claim = data;
      if (!claim->ended && claim->claim.entry == done->entry
          && claim->claim.incarnation == done->incarnation)
        end_claim (state, claim, MSG_CLAIM_UNKNOWN, done->wall_ms);
    }
}

static void
apply_claim_done (State *state, const MsgClaimDone *done, StateResult *result)
{
  set_result (result, FT_OK, state->revision, "%s", done->key);
  if (done->key[0] == '\0')
    {
      end_claims_of_incarnation (state, done);
      return;
    }
  MsgClaimState *claim = g_hash_table_lookup (state->claims, done->key);
  if (claim == NULL || claim->claim.entry != done->entry
      || claim->claim.incarnation != done->incarnation
      || strcmp (claim->claim.request_id, done->request_id) != 0)
    {
      set_result (result, FT_NOT_FOUND, state->revision, "%s", done->key);
      return;
    }
  if (done->end != MSG_CLAIM_RELEASED)
    end_claim (state, claim, done->end, done->wall_ms);
  else
    {
      if (claim->ended)
        g_queue_remove (&state->ended_claims, claim);
      g_hash_table_remove (state->claims, done->key);
    }
}

static void
apply_lease (State *state, uint64_t index, const MsgLease *lease, StateResult *result)
{
  MsgLease *copy = copy_of (CODEC (MsgLease), lease, sizeof *lease);

  copy->epoch = index;
  state->epoch = index;
  g_hash_table_replace (state->leases, copy->pool, copy);
  set_result (result, FT_OK, state->revision, "%s", lease->pool);
}

static void
store_refusal (State *state, const MsgRefusalRecord *record)
{
  if (g_hash_table_contains (state->refusals_by_id, record->id))
    return;
  MsgRefusalRecord *copy = copy_of (CODEC (MsgRefusalRecord), record, sizeof *record);
  g_queue_push_tail (&state->refusals, copy);
  g_hash_table_insert (state->refusals_by_id, copy->id, copy);
  if (g_queue_get_length (&state->refusals) <= MAX_REFUSALS)
    return;
  MsgRefusalRecord *oldest = g_queue_pop_head (&state->refusals);
  g_hash_table_remove (state->refusals_by_id, oldest->id);
  record_free (oldest);
}

/* The document with the highest number wins, in whatever order they arrive. Otherwise an older one
 * that arrives late, because it is sent again or by another operator, would replace a newer one. */
static void
apply_document (State *state, const MsgDocument *document, StateResult *result)
{
  if (document->number > state->document.number)
    {
      MsgDocument *copy = copy_of (CODEC (MsgDocument), document, sizeof *document);
      codec_clear (CODEC (MsgDocument), &state->document);
      state->document = *copy;
      g_free (copy);
    }
  set_result (result, FT_OK, state->document.number, "%s", "");
}

void
state_apply (State *state, uint64_t index, const MsgOp *op, StateResult *result)
{
  set_result (result, FT_OK, state->revision, "%s", "");
  switch (op->kind)
    {
    case MSG_OP_CHANGE:
      apply_change (state, &op->MsgOp_u.change, result);
      break;
    case MSG_OP_LEASE:
      apply_lease (state, index, &op->MsgOp_u.lease, result);
      break;
    case MSG_OP_CLAIM:
      apply_claim (state, &op->MsgOp_u.claim, result);
      break;
    case MSG_OP_CLAIM_END:
      apply_claim_done (state, &op->MsgOp_u.claim_done, result);
      break;
    case MSG_OP_VOTERS:
      {
        void *copy = copy_of (CODEC (MsgVoters), &op->MsgOp_u.voters, sizeof state->voters);
        codec_clear (CODEC (MsgVoters), &state->voters);
        memcpy (&state->voters, copy, sizeof state->voters);
        g_free (copy);
        break;
      }
    case MSG_OP_DOCUMENT:
      if (state->document.number == 0)
        listed_begin (state->listed, index); /* without a document nothing was served */
      apply_document (state, &op->MsgOp_u.document, result);
      break;
    case MSG_OP_REFUSALS:
      for (unsigned i = 0; i < op->MsgOp_u.refusals.records.records_len; i++)
        store_refusal (state, &op->MsgOp_u.refusals.records.records_val[i]);
      break;
    case MSG_OP_CRASH:
      crashes_add (state->crashes, index, &op->MsgOp_u.ended);
      break;
    case MSG_OP_CRASH_RETRACTED:
      crashes_retract (state->crashes, index, &op->MsgOp_u.survived);
      break;
    case MSG_OP_CLEARED:
      crashes_clear (state->crashes, index, &op->MsgOp_u.cleared);
      break;
    case MSG_OP_ROLLOUT_START:
      roll_apply_start (state->rollouts, index, &op->MsgOp_u.rollout_start);
      break;
    case MSG_OP_ROLLOUT_STEP:
      roll_apply_step (state->rollouts, index, &op->MsgOp_u.rollout_step);
      break;
    case MSG_OP_LISTED:
      listed_apply (state->listed, index, &op->MsgOp_u.listed);
      break;
    default:
      break;
    }
}

GByteArray *
state_capture (const State *state)
{
  MsgState out = { 0 };
  GArray *history = g_array_new (FALSE, FALSE, sizeof (MsgRevision));
  GArray *leases = g_array_new (FALSE, FALSE, sizeof (MsgLease));
  GArray *claims = g_array_new (FALSE, FALSE, sizeof (MsgClaimState));
  GArray *refusals = g_array_new (FALSE, FALSE, sizeof (MsgRefusalRecord));
  GHashTableIter iter;
  void *data;

  for (unsigned i = 0; i < state->history->len; i++)
    g_array_append_vals (history, state->history->pdata[i], 1);
  g_hash_table_iter_init (&iter, state->leases);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    g_array_append_vals (leases, data, 1);
  g_hash_table_iter_init (&iter, state->claims);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    if (!((MsgClaimState *) data)->ended)
      g_array_append_vals (claims, data, 1);
  for (GList *item = state->ended_claims.head; item; item = item->next)
    g_array_append_vals (claims, item->data, 1); /* in the order in which they ended */
  for (GList *item = state->refusals.head; item; item = item->next)
    g_array_append_vals (refusals, item->data, 1);
  out.revision = state->revision;
  out.epoch = state->epoch;
  out.catalogue = state->catalogue ? state->catalogue : (char *) "";
  out.history.history_len = history->len;
  out.history.history_val = (MsgRevision *) (void *) history->data;
  out.leases.leases_len = leases->len;
  out.leases.leases_val = (MsgLease *) (void *) leases->data;
  out.claims.claims_len = claims->len;
  out.claims.claims_val = (MsgClaimState *) (void *) claims->data;
  out.refusals.refusals_len = refusals->len;
  out.refusals.refusals_val = (MsgRefusalRecord *) (void *) refusals->data;
  out.voters.voters_len = state->voters.voters.voters_len;
  out.voters.voters_val = state->voters.voters.voters_val;
  out.document = state->document;
  crashes_capture (state->crashes, 0, &out.blame);
  roll_capture (state->rollouts, &out.rollouts);
  listed_capture (state->listed, &out.listed);
  GByteArray *bytes = codec_pack (CODEC (MsgState), &out);
  g_free (out.blame.suspects.suspects_val);
  g_free (out.rollouts.rollouts.rollouts_val);
  g_free (out.listed.services.services_val);
  g_array_unref (history);
  g_array_unref (leases);
  g_array_unref (claims);
  g_array_unref (refusals);
  return bytes;
}

#define MOVE(type, source)                                                                         \
  g_memdup2 (source, sizeof (type)) /* shallow copy that takes over the pointers */

static void
move_sections (State *state, MsgState *in)
{
  for (unsigned i = 0; i < in->history.history_len; i++)
    {
      MsgRevision *revision = MOVE (MsgRevision, &in->history.history_val[i]);
      g_ptr_array_add (state->history, revision);
      g_hash_table_insert (state->revisions_by_change, revision->change_id, revision);
    }
  for (unsigned i = 0; i < in->leases.leases_len; i++)
    {
      MsgLease *lease = MOVE (MsgLease, &in->leases.leases_val[i]);
      g_hash_table_replace (state->leases, lease->pool, lease);
    }
  for (unsigned i = 0; i < in->claims.claims_len; i++)
    {
      MsgClaimState *claim = MOVE (MsgClaimState, &in->claims.claims_val[i]);
      g_hash_table_replace (state->claims, claim->claim.key, claim);
      if (claim->ended)
        g_queue_push_tail (&state->ended_claims, claim);
    }
  for (unsigned i = 0; i < in->refusals.refusals_len; i++)
    {
      MsgRefusalRecord *record = MOVE (MsgRefusalRecord, &in->refusals.refusals_val[i]);
      g_queue_push_tail (&state->refusals, record);
      g_hash_table_insert (state->refusals_by_id, record->id, record);
    }
  state->voters.voters.voters_len = in->voters.voters_len;
  state->voters.voters.voters_val = in->voters.voters_val;
  state->document = in->document;
  crashes_restore (state->crashes, &in->blame);
  roll_restore (state->rollouts, &in->rollouts);
  listed_restore (state->listed, &in->listed);
}

/* Unpacks a snapshot of an older version, which lacks the last sections: zeros appended in their
 * place decode as empty sections. */
static FtStatus
unpack_with_empty_sections (const void *data, size_t size, unsigned missing, MsgState *in)
{
  static const guint8 zeros[ADDED_SECTIONS * EMPTY_SECTION_BYTES];
  GByteArray *bytes = g_byte_array_sized_new ((guint) (size + sizeof zeros));

  g_byte_array_append (bytes, data, (guint) size);
  g_byte_array_append (bytes, zeros, missing * EMPTY_SECTION_BYTES);
  size_t padded_size = size + missing * EMPTY_SECTION_BYTES, used = 0;
  FtStatus status = codec_unpack (CODEC (MsgState), bytes->data, padded_size, in, &used);
  g_byte_array_unref (bytes);
  return status == FT_OK && used != padded_size ? FT_CORRUPT : status;
}

static FtStatus
unpack (const void *data, size_t size, MsgState *in)
{
  FtStatus status = codec_unpack (CODEC (MsgState), data, size, in, NULL);

  for (unsigned missing = 1; status != FT_OK && missing <= ADDED_SECTIONS; missing++)
    {
      codec_clear (CODEC (MsgState), in);
      memset (in, 0, sizeof *in);
      status = unpack_with_empty_sections (data, size, missing, in);
    }
  return status;
}

FtStatus
state_restore (State *state, const void *data, size_t size)
{
  MsgState in = { 0 };
  FtCat *cat = NULL;
  FtStatus status = unpack (data, size, &in);

  if (status == FT_OK && in.revision > 0)
    status = ft_cat_new (in.catalogue, in.revision, &cat, NULL);
  if (status != FT_OK)
    {
      codec_clear (CODEC (MsgState), &in);
      return FT_CORRUPT;
    }
  clear_state (state);
  state->revision = in.revision;
  state->epoch = in.epoch;
  state->catalogue = g_strdup (in.catalogue);
  state->cat = cat;
  move_sections (state, &in);
  free (in.catalogue);
  free (in.history.history_val);
  free (in.leases.leases_val);
  free (in.claims.claims_val);
  free (in.refusals.refusals_val);
  codec_clear (CODEC (MsgCrashTable), &in.blame);
  codec_clear (CODEC (MsgRollouts), &in.rollouts);
  codec_clear (CODEC (MsgListedTable), &in.listed);
  return FT_OK;
}

uint64_t
state_revision (const State *state)
{
  return state->revision;
}

const char *
state_catalogue (const State *state)
{
  return state->catalogue ? state->catalogue : "";
}

FtCat *
state_parsed_catalogue (const State *state)
{
  return state->cat;
}

uint64_t
state_epoch (const State *state)
{
  return state->epoch;
}

const MsgLease *
state_lease (const State *state, const char *pool)
{
  return g_hash_table_lookup (state->leases, pool);
}

GPtrArray *
state_leases (const State *state)
{
  GPtrArray *all = g_ptr_array_new ();
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, state->leases);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    g_ptr_array_add (all, data);
  return all;
}

const MsgDocument *
state_document (const State *state)
{
  return state->document.number ? &state->document : NULL;
}

const CrashTable *
state_crashes (const State *state)
{
  return state->crashes;
}

const RolloutTable *
state_rollouts (const State *state)
{
  return state->rollouts;
}

const ListedTable *
state_listed (const State *state)
{
  return state->listed;
}

const MsgVoters *
state_voters (const State *state)
{
  return &state->voters;
}

const MsgClaimState *
state_claim (const State *state, const char *key)
{
  return g_hash_table_lookup (state->claims, key);
}

unsigned
state_claim_count (const State *state)
{
  return g_hash_table_size (state->claims);
}

bool
state_claim_of_other (const State *state, uint32_t entry, uint64_t incarnation, uint64_t *other)
{
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, state->claims);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const MsgClaimState *claim = data;
      if (claim->ended || claim->claim.entry != entry || claim->claim.incarnation == incarnation)
        continue;
      *other = claim->claim.incarnation;
      return true;
    }
  return false;
}

const MsgRefusalRecord *
state_refusal (const State *state, const char *id)
{
  return g_hash_table_lookup (state->refusals_by_id, id);
}

const GPtrArray *
state_history (const State *state)
{
  return state->history;
}
