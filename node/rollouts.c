/* rollouts.c - carries out an operator's order to move a service to another version.
 *
 * State that must survive this instance is in the log: the order, its phase, the elapsed time, and
 * how many requests the target has used. The judge's evidence, from answers that entries report,
 * is kept only while this voter is in charge; the next one continues from the last committed step.
 *
 * Each change follows a fixed order, so that the loss of any instance between two steps does no
 * harm:
 *   trying        is committed, then requests go to the target;
 *   moving        is committed, then schedulers and entries switch to the target;
 *   completed     no request runs on other versions, then it is committed, then operators see it;
 *   rolled back   requests to the target stop here at once, then it is committed and published.
 *
 * A scheduler that takes over does not know how many requests the target had, so a bad version
 * would get its full share again from each successor. The target therefore gets no more
 * requests than the log has reserved for it, and a new voter in charge counts the whole
 * reservation as used.
 */
#include "jlog.h"
#include "rollpriv.h"

#include <string.h>

static const char *const phase_names[] = { [MSG_ROLLOUT_TRYING] = "trying",
                                           [MSG_ROLLOUT_MOVING] = "moving",
                                           [MSG_ROLLOUT_COMPLETED] = "completed",
                                           [MSG_ROLLOUT_ROLLED_BACK] = "rolled back" };

bool
rollouts_in_charge (const Rollouts *rollouts)
{
  VoterStatus status;

  voter_status (rollouts->voter, &status);
  return status.proved;
}

const MsgRollout *
rollouts_find (const Rollouts *rollouts, const char *service)
{
  return roll_find (rollouts->table, service);
}

/* ---- Versions that get requests ---- */

/* The scheduler settings for a phase. The voter in charge adds the share of the trial. */
SchedVersions
rollouts_settings_for_phase (const MsgRollout *rollout, MsgRolloutPhase phase)
{
  bool previous_in_use = phase == MSG_ROLLOUT_TRYING || phase == MSG_ROLLOUT_ROLLED_BACK;
  SchedVersions versions = { .in_use = previous_in_use ? rollout->before : rollout->target,
                             .other = previous_in_use ? rollout->target : rollout->before,
                             .ordered = rollout->target };

  if (strcmp (rollout->before, rollout->target) == 0)
    versions.other = "";
  versions.watched = roll_is_active (rollout);
  versions.keeps = roll_is_active (rollout) && phase != MSG_ROLLOUT_ROLLED_BACK;
  return versions;
}

void
rollouts_apply_phase (Rollouts *rollouts, const MsgRollout *rollout)
{
  SchedVersions versions = rollouts_settings_for_phase (rollout, rollout->phase);

  broker_set_versions (rollouts->broker, rollout->service, &versions);
}

static MeshVersionsPhase
mesh_phase (MsgRolloutPhase phase)
{
  switch (phase)
    {
    case MSG_ROLLOUT_TRYING:
      return MESH_VERSIONS_TRYING;
    case MSG_ROLLOUT_ROLLED_BACK:
      return MESH_VERSIONS_ROLLED_BACK;
    default:
      return MESH_VERSIONS_MOVED;
    }
}

G_STATIC_ASSERT (FT_ROLLOUTS_MAX <= MESH_VERSIONS_MAX);

static GBytes *
pack_for_entries (void *host)
{
  const Rollouts *rollouts = host;
  MeshMsg msg = { .kind = MESH_ROLLOUTS };
  MeshRollouts *out = &msg.MeshMsg_u.rollouts;
  MsgRollouts all;

  roll_capture (rollouts->table, &all);
  out->index = roll_index (rollouts->table);
  out->services.services_val = g_new0 (MeshVersions, all.rollouts.rollouts_len + 1);
  for (unsigned i = 0; i < all.rollouts.rollouts_len; i++)
    {
      const MsgRollout *from = &all.rollouts.rollouts_val[i];
      out->services.services_val[out->services.services_len++]
          = (MeshVersions){ from->service, from->target, from->before, mesh_phase (from->phase) };
    }
  GBytes *packed = mesh_pack (&msg);
  g_free (out->services.services_val);
  g_free (all.rollouts.rollouts_val);
  return packed;
}

/* ---- Committed changes ---- */

static void
log_phase (const MsgRollout *rollout)
{
  const MsgTrial *trial = &rollout->trial;

  jlog (rollout->phase == MSG_ROLLOUT_ROLLED_BACK ? JLOG_WARN : JLOG_INFO, "rollout", NULL,
        JL_TEXT ("service", rollout->service), JL_TEXT ("target", rollout->target),
        JL_TEXT ("before", rollout->before), JL_TEXT ("phase", phase_names[rollout->phase]),
        JL_TEXT ("why", rollout->why), JL_INT ("number", rollout->number),
        JL_INT ("limit_ms", rollout->limit_ms), JL_INT ("elapsed_ms", trial->elapsed_ms),
        JL_INT ("requests", trial->requests), JL_INT ("reserved", trial->reserved),
        JL_INT ("answers", trial->answers), JL_INT ("bad", trial->bad),
        JL_INT ("suspicion", trial->suspicion));
}

static void
update_progress (Rollouts *rollouts, const MsgRollout *rollout)
{
  int64_t now = loop_now (rollouts->loop);
  Progress *progress = g_hash_table_lookup (rollouts->progress, rollout->service);
  bool unchanged
      = progress && progress->number == rollout->number && progress->phase == rollout->phase;

  if (progress == NULL)
    {
      progress = g_new0 (Progress, 1);
      g_hash_table_insert (rollouts->progress, g_strdup (rollout->service), progress);
    }
  if (!unchanged)
    {
      progress->phase_at = now;
      log_phase (rollout);
    }
  /* Elapsed time is known from the log and from the local clock; the larger value counts. */
  int64_t elapsed = rollout->trial.elapsed_ms * FT_MS;
  if (progress->number != rollout->number || elapsed > progress->elapsed_us + now - progress->at)
    {
      progress->elapsed_us = elapsed;
      progress->at = now;
    }
  progress->number = rollout->number;
  progress->phase = rollout->phase;
}

int64_t
rollouts_elapsed (const Rollouts *rollouts, const char *service)
{
  const Progress *progress = g_hash_table_lookup (rollouts->progress, service);

  return progress ? progress->elapsed_us + loop_now (rollouts->loop) - progress->at : 0;
}

void
rollouts_for_each (Rollouts *rollouts, void (*call) (Rollouts *, const MsgRollout *))
{
  MsgRollouts all;

  roll_capture (rollouts->table, &all);
  for (unsigned i = 0; i < all.rollouts.rollouts_len; i++)
    call (rollouts, &all.rollouts.rollouts_val[i]);
  g_free (all.rollouts.rollouts_val);
}

/* Digest of the phases only: the trial's counters do not concern schedulers and entries. */
static uint64_t
phases_digest (const Rollouts *rollouts)
{
  MsgRollouts all;
  uint64_t digest = 1;

  roll_capture (rollouts->table, &all);
  for (unsigned i = 0; i < all.rollouts.rollouts_len; i++)
    digest = digest * 31 + all.rollouts.rollouts_val[i].number * 4
             + all.rollouts.rollouts_val[i].phase;
  g_free (all.rollouts.rollouts_val);
  return digest;
}

void
rollouts_committed (Rollouts *rollouts)
{
  GBytes *bytes = voter_rollouts (rollouts->voter);
  MsgRollouts captured = { 0 };
  gsize size;

  if (bytes == NULL)
    return;
  const void *data = g_bytes_get_data (bytes, &size);
  if (codec_unpack (CODEC (MsgRollouts), data, size, &captured, NULL) != FT_OK)
    {
      jlog (JLOG_ERROR, "table-not-read", NULL, JL_TEXT ("table", "roll-outs"));
      codec_clear (CODEC (MsgRollouts), &captured);
      g_bytes_unref (bytes);
      return;
    }
  roll_restore (rollouts->table, &captured);
  codec_clear (CODEC (MsgRollouts), &captured);
  g_bytes_unref (bytes);
  rollouts_for_each (rollouts, update_progress);
  uint64_t digest = phases_digest (rollouts);
  if (digest == rollouts->published_digest)
    return;
  rollouts->published_digest = digest;
  rollouts_for_each (rollouts, rollouts_apply_phase);
  bcast_changed (rollouts->broadcast);
  if (rollouts_in_charge (rollouts))
    bcast_send_all (rollouts->broadcast);
}

/* ---- Links ---- */

void
rollouts_up (Rollouts *rollouts, MeshPeer *peer)
{
  g_hash_table_remove (rollouts->lost, GUINT_TO_POINTER (peer->ip));
  bcast_link_up (rollouts->broadcast, peer, roll_index (rollouts->table) > 0);
}

void
rollouts_down (Rollouts *rollouts, const MeshPeer *peer)
{
  if (!peer->dialled && peer->role == MESH_ENTRY && !peer->leaving)
    g_hash_table_add (rollouts->lost, GUINT_TO_POINTER (peer->ip));
  bcast_link_down (rollouts->broadcast, peer);
}

/* ---- Operators ---- */

RollCheck
rollouts_order (Rollouts *rollouts, const AdapterRollout *order, uint64_t *ticket)
{
  const MsgRollout *known = rollouts_find (rollouts, order->service);
  bool recent = rollouts_elapsed (rollouts, order->service) < rollouts->conf.repeat_us;
  RollCheck verdict = roll_check (rollouts->table, order->service, order->target, recent);
  MsgOp op = { .kind = MSG_OP_ROLLOUT_START };
  SchedServiceStats stats;

  jlog (JLOG_INFO, "rollout-order", NULL, JL_TEXT ("service", order->service),
        JL_TEXT ("target", order->target), JL_MS ("limit_ms", order->limit_us),
        JL_INT ("known", verdict == ROLL_KNOWN), JL_INT ("lately", recent),
        JL_INT ("after", known ? known->number : 0));
  if (verdict != ROLL_NEW)
    return verdict;
  broker_service_stats (rollouts->broker, order->service, &stats);
  op.MsgOp_u.rollout_start = (MsgRolloutStart){ .service = order->service,
                                                .target = order->target,
                                                .before = stats.in_use,
                                                .limit_ms = MAX (order->limit_us / FT_MS, 1),
                                                .after = known ? known->number : 0 };
  *ticket = voter_propose_op (rollouts->voter, &op);
  return ROLL_NEW;
}

uint64_t
rollouts_abort (Rollouts *rollouts, const char *service)
{
  const MsgRollout *known = rollouts_find (rollouts, service);
  char why[] = "an operator has aborted it";
  MsgOp op = { .kind = MSG_OP_ROLLOUT_STEP };

  if (known == NULL || !roll_is_active (known))
    return 0;
  op.MsgOp_u.rollout_step = (MsgRolloutStep){ .service = known->service,
                                              .number = known->number,
                                              .phase = MSG_ROLLOUT_ROLLED_BACK,
                                              .trial = known->trial,
                                              .why = why };
  return voter_propose_op (rollouts->voter, &op);
}

void
rollouts_append_json (const MsgRollout *rollout, GString *out)
{
  char *service = g_strescape (rollout->service, NULL), *why = g_strescape (rollout->why, NULL);
  char *target = g_strescape (rollout->target, NULL), *before = g_strescape (rollout->before, NULL);
  const MsgTrial *trial = &rollout->trial;

  g_string_append_printf (
      out,
      "{\"service\":\"%s\",\"target\":\"%s\",\"before\":\"%s\",\"phase\":\"%s\",\"why\":\"%s\","
      "\"limit_ms\":%" G_GINT64_FORMAT ",\"elapsed_ms\":%" G_GINT64_FORMAT
      ",\"requests\":%u,\"reserved\":%u,\"answers\":%u,\"bad\":%u,\"suspicion\":%g}\n",
      service, target, before, phase_names[rollout->phase], why, (gint64) rollout->limit_ms,
      (gint64) trial->elapsed_ms, trial->requests, trial->reserved, trial->answers, trial->bad,
      trial->suspicion / 1e3);
  g_free (service);
  g_free (target);
  g_free (before);
  g_free (why);
}

void
rollouts_describe (const Rollouts *rollouts, GString *out)
{
  MsgRollouts all;

  roll_capture (rollouts->table, &all);
  for (unsigned i = 0; i < all.rollouts.rollouts_len; i++)
    {
      const MsgRollout *rollout = &all.rollouts.rollouts_val[i];
      g_string_append_printf (out,
                              "foxtail_rollout_phase{service=\"%s\",target=\"%s\"} %d\n"
                              "foxtail_rollout_answers{service=\"%s\",target=\"%s\"} %u\n"
                              "foxtail_rollout_bad{service=\"%s\",target=\"%s\"} %u\n",
                              rollout->service, rollout->target, rollout->phase, rollout->service,
                              rollout->target, rollout->trial.answers, rollout->service,
                              rollout->target, rollout->trial.bad);
    }
  g_free (all.rollouts.rollouts_val);
}

/* ---- Construction ---- */

Rollouts *
rollouts_new (Loop *loop, Voter *voter, Broker *broker, const RolloutsConf *conf)
{
  Rollouts *rollouts = g_new0 (Rollouts, 1);

  rollouts->loop = loop;
  rollouts->voter = voter;
  rollouts->broker = broker;
  rollouts->conf = *conf;
  rollouts->table = roll_new ();
  rollouts->progress = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  rollouts->lost = g_hash_table_new (NULL, NULL);
  rollouts->active = g_ptr_array_new_with_free_func (rollctl_active_free);
  rollouts->broadcast = bcast_new ("roll-outs", pack_for_entries, rollouts);
  broker_set_judged_callback (broker, rollctl_on_answer, rollouts);
  return rollouts;
}

void
rollouts_free (Rollouts *rollouts)
{
  if (rollouts == NULL)
    return;
  bcast_free (rollouts->broadcast);
  g_ptr_array_unref (rollouts->active);
  g_hash_table_unref (rollouts->progress);
  g_hash_table_unref (rollouts->lost);
  roll_free (rollouts->table);
  g_free (rollouts);
}
