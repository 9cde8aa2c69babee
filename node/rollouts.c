/* rollouts.c - from an operator's order to the end of a move to another version.
 *
 * What must outlive this instance is in the log: the order, its phase, how long it has lasted and
 * how much of it was spent. What is judged here, by answers that entries tell of, lives as long as
 * this voter is in charge; the next one goes on from the last step that was committed.
 *
 * Order of each change, so that it holds over the loss of any instance between two steps:
 *   trying        committed, then requests go to the target;
 *   moving        committed, then schedulers and entries turn to the target;
 *   completed     nothing runs elsewhere, then it is committed, then operators read it;
 *   rolled back   requests to the target stop here at once, then it is committed and told.
 *
 * Failure: a scheduler dies, and the next one does not know how much the target had. Symptom: a bad
 * version gets its part once more with each. The target gets no more than the log says is reserved
 * for it; whoever takes charge counts what is reserved as spent.
 */
#include "jlog.h"
#include "rollint.h"

#include <string.h>

static const char *const phases[] = { [MSG_ROLLOUT_TRYING] = "trying",
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
  return roll_find (rollouts->account, service);
}

/* ---- Which versions get requests ---- */

/* What the scheduler is to do in a phase; the trial's share is added by whoever is in charge. */
SchedVersions
rollouts_versions_in (const MsgRollout *rollout, MsgRolloutPhase phase)
{
  bool back = phase == MSG_ROLLOUT_TRYING || phase == MSG_ROLLOUT_ROLLED_BACK;
  SchedVersions versions = { .in_use = back ? rollout->before : rollout->target,
                             .other = back ? rollout->target : rollout->before,
                             .ordered = rollout->target };

  if (strcmp (rollout->before, rollout->target) == 0)
    versions.other = "";
  versions.watched = roll_is_active (rollout);
  return versions;
}

void
rollouts_apply (Rollouts *rollouts, const MsgRollout *rollout)
{
  SchedVersions versions = rollouts_versions_in (rollout, rollout->phase);

  broker_set_versions (rollouts->broker, rollout->service, &versions);
}

static MeshVersionsPhase
phase_for_entries (MsgRolloutPhase phase)
{
  switch (phase)
    {
    case MSG_ROLLOUT_TRYING:
      return MESH_VERSIONS_TRYING;
    case MSG_ROLLOUT_ROLLED_BACK:
      return MESH_VERSIONS_BACK;
    default:
      return MESH_VERSIONS_MOVED;
    }
}

static GBytes *
pack_for_entries (void *host)
{
  const Rollouts *rollouts = host;
  MeshMsg msg = { .kind = MESH_ROLLOUTS };
  MeshRollouts *out = &msg.MeshMsg_u.rollouts;
  MsgRollouts all;

  roll_capture (rollouts->account, &all);
  out->index = roll_index (rollouts->account);
  out->services.services_val = g_new0 (MeshVersions, all.rollouts.rollouts_len + 1);
  for (unsigned i = 0; i < all.rollouts.rollouts_len; i++)
    {
      const MsgRollout *from = &all.rollouts.rollouts_val[i];
      out->services.services_val[out->services.services_len++]
          = (MeshVersions){ from->service, from->target, from->before,
                            phase_for_entries (from->phase) };
    }
  GBytes *packed = mesh_pack (&msg);
  g_free (out->services.services_val);
  g_free (all.rollouts.rollouts_val);
  return packed;
}

/* ---- What the log says ---- */

static void
log_phase (const MsgRollout *rollout)
{
  const MsgTrial *trial = &rollout->trial;

  jlog (rollout->phase == MSG_ROLLOUT_ROLLED_BACK ? JLOG_WARN : JLOG_INFO, "rollout", NULL,
        JL_TEXT ("service", rollout->service), JL_TEXT ("target", rollout->target),
        JL_TEXT ("before", rollout->before), JL_TEXT ("phase", phases[rollout->phase]),
        JL_TEXT ("why", rollout->why), JL_INT ("number", rollout->number),
        JL_INT ("limit_ms", rollout->limit_ms), JL_INT ("elapsed_ms", trial->elapsed_ms),
        JL_INT ("requests", trial->requests), JL_INT ("reserved", trial->reserved),
        JL_INT ("answers", trial->answers), JL_INT ("bad", trial->bad),
        JL_INT ("suspicion", trial->suspicion));
}

static void
note_seen (Rollouts *rollouts, const MsgRollout *rollout)
{
  int64_t now = loop_now (rollouts->loop);
  Seen *seen = g_hash_table_lookup (rollouts->seen, rollout->service);
  bool known = seen && seen->number == rollout->number && seen->phase == rollout->phase;

  if (seen == NULL)
    {
      seen = g_new0 (Seen, 1);
      g_hash_table_insert (rollouts->seen, g_strdup (rollout->service), seen);
    }
  if (!known)
    {
      seen->phase_at = now;
      log_phase (rollout);
    }
  /* Of two ways to reckon the one counts by which more time has passed. */
  int64_t elapsed = rollout->trial.elapsed_ms * FT_MS;
  if (seen->number != rollout->number || elapsed > seen->elapsed_us + now - seen->at)
    {
      seen->elapsed_us = elapsed;
      seen->at = now;
    }
  seen->number = rollout->number;
  seen->phase = rollout->phase;
}

int64_t
rollouts_elapsed (const Rollouts *rollouts, const char *service)
{
  const Seen *seen = g_hash_table_lookup (rollouts->seen, service);

  return seen ? seen->elapsed_us + loop_now (rollouts->loop) - seen->at : 0;
}

void
rollouts_each (Rollouts *rollouts, void (*call) (Rollouts *, const MsgRollout *))
{
  MsgRollouts all;

  roll_capture (rollouts->account, &all);
  for (unsigned i = 0; i < all.rollouts.rollouts_len; i++)
    call (rollouts, &all.rollouts.rollouts_val[i]);
  g_free (all.rollouts.rollouts_val);
}

/* The trial's own notes change nothing for schedulers and entries. */
static uint64_t
digest_of_phases (const Rollouts *rollouts)
{
  MsgRollouts all;
  uint64_t digest = 1;

  roll_capture (rollouts->account, &all);
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
    g_error ("the account of roll-outs, packed here, cannot be unpacked");
  roll_restore (rollouts->account, &captured);
  codec_clear (CODEC (MsgRollouts), &captured);
  g_bytes_unref (bytes);
  rollouts_each (rollouts, note_seen);
  uint64_t digest = digest_of_phases (rollouts);
  if (digest == rollouts->told)
    return;
  rollouts->told = digest;
  rollouts_each (rollouts, rollouts_apply);
  bcast_changed (rollouts->tell);
  if (rollouts_in_charge (rollouts))
    bcast_send_all (rollouts->tell);
}

/* ---- Links ---- */

void
rollouts_up (Rollouts *rollouts, MeshPeer *peer)
{
  bcast_link_up (rollouts->tell, peer, roll_index (rollouts->account) > 0);
}

void
rollouts_down (Rollouts *rollouts, const MeshPeer *peer)
{
  bcast_link_down (rollouts->tell, peer);
}

/* ---- Operators ---- */

RollOrder
rollouts_order (Rollouts *rollouts, const AdapterRollout *order, uint64_t *ticket)
{
  const MsgRollout *known = rollouts_find (rollouts, order->service);
  bool lately = rollouts_elapsed (rollouts, order->service) < rollouts->conf.repeat_us;
  RollOrder verdict = roll_check (rollouts->account, order->service, order->target, lately);
  MsgOp op = { .kind = MSG_OP_ROLLOUT_START };
  SchedServiceStats stats;

  jlog (JLOG_INFO, "rollout-order", NULL, JL_TEXT ("service", order->service),
        JL_TEXT ("target", order->target), JL_MS ("limit_ms", order->limit_us),
        JL_INT ("known", verdict == ROLL_KNOWN), JL_INT ("lately", lately),
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
rollouts_show (const MsgRollout *rollout, GString *out)
{
  char *service = g_strescape (rollout->service, NULL), *why = g_strescape (rollout->why, NULL);
  char *target = g_strescape (rollout->target, NULL), *before = g_strescape (rollout->before, NULL);
  const MsgTrial *trial = &rollout->trial;

  g_string_append_printf (
      out,
      "{\"service\":\"%s\",\"target\":\"%s\",\"before\":\"%s\",\"phase\":\"%s\",\"why\":\"%s\","
      "\"limit_ms\":%" G_GINT64_FORMAT ",\"elapsed_ms\":%" G_GINT64_FORMAT
      ",\"requests\":%u,\"reserved\":%u,\"answers\":%u,\"bad\":%u,\"suspicion\":%g}\n",
      service, target, before, phases[rollout->phase], why, (gint64) rollout->limit_ms,
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

  roll_capture (rollouts->account, &all);
  for (unsigned i = 0; i < all.rollouts.rollouts_len; i++)
    {
      const MsgRollout *one = &all.rollouts.rollouts_val[i];
      g_string_append_printf (out,
                              "foxtail_rollout_phase{service=\"%s\",target=\"%s\"} %d\n"
                              "foxtail_rollout_answers{service=\"%s\",target=\"%s\"} %u\n"
                              "foxtail_rollout_bad{service=\"%s\",target=\"%s\"} %u\n",
                              one->service, one->target, one->phase, one->service, one->target,
                              one->trial.answers, one->service, one->target, one->trial.bad);
    }
  g_free (all.rollouts.rollouts_val);
}

/* ---- The module ---- */

Rollouts *
rollouts_new (Loop *loop, Voter *voter, Broker *broker, const RolloutsConf *conf)
{
  Rollouts *rollouts = g_new0 (Rollouts, 1);

  rollouts->loop = loop;
  rollouts->voter = voter;
  rollouts->broker = broker;
  rollouts->conf = *conf;
  rollouts->account = roll_new ();
  rollouts->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  rollouts->led = g_ptr_array_new_with_free_func (rollead_free);
  rollouts->tell = bcast_new (pack_for_entries, rollouts);
  broker_set_judged_callback (broker, rollead_judged, rollouts);
  return rollouts;
}

void
rollouts_free (Rollouts *rollouts)
{
  if (rollouts == NULL)
    return;
  bcast_free (rollouts->tell);
  g_ptr_array_unref (rollouts->led);
  g_hash_table_unref (rollouts->seen);
  roll_free (rollouts->account);
  g_free (rollouts);
}
