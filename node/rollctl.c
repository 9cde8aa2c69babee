/* rollctl.c - controls active roll-outs on the voter in charge: collects the state, asks the plan
 * for the next step, and commits each step through the log. */
#include "jlog.h"
#include "rollpriv.h"

#include <string.h>

/* Interval of progress steps in the log; up to this much progress is lost when another voter takes
 * charge. */
#define STEP_INTERVAL (400 * FT_MS)
/* A proposal without a result after this time was lost, because the voter stopped being in charge.
 */
#define STEP_TIMEOUT (1500 * FT_MS)
/* Requests; lets the trial of a service with few requests continue between two steps. */
#define RESERVE_MIN 10
/* Multiple of what the target gets between two steps at the present rate. */
#define RESERVE_FACTOR 2.0
/* Keep-alives come every 400 ms; what an entry runs is known while it is heard this recently. */
#define HEARD_WITHIN FT_SECOND
/* Time since the take-over for which entries that are not linked yet are waited for. */
#define MISSING_WAIT (12 * FT_SECOND)

void
rollctl_active_free (void *data)
{
  ActiveRollout *active = data;

  judge_free (active->judge);
  g_free (active->service);
  g_free (active);
}

static ActiveRollout *
find_active (const Rollouts *rollouts, const char *service)
{
  for (unsigned i = 0; i < rollouts->active->len; i++)
    {
      ActiveRollout *active = rollouts->active->pdata[i];
      if (strcmp (active->service, service) == 0)
        return active;
    }
  return NULL;
}

/* ---- Steps ---- */

static void
propose_step (Rollouts *rollouts, ActiveRollout *active, const MsgRolloutStep *step)
{
  MsgOp op = { .kind = MSG_OP_ROLLOUT_STEP };

  op.MsgOp_u.rollout_step = *step;
  active->ticket = voter_propose_op (rollouts->voter, &op);
  active->proposed_at = loop_now (rollouts->loop);
}

static void
fill_trial (const PlanInput *facts, const JudgeResult *judged, unsigned extra, MsgTrial *trial)
{
  *trial = (MsgTrial){ .elapsed_ms = facts->elapsed_us / FT_MS,
                       .requests = facts->placed,
                       .reserved = facts->granted + extra,
                       .answers = judged->answers,
                       .bad = judged->bad,
                       .suspicion = (u_int) MIN (judged->suspicion * 1000, 1e6) };
}

/* Number of requests to reserve beyond those that the target has already had. */
static unsigned
requests_to_reserve (const PlanInput *facts, const PlanStep *step)
{
  double seconds = MAX ((double) facts->elapsed_us / 1e6, 0.1);
  double rate = facts->placed / seconds * step->share;
  double wanted = MAX (RESERVE_MIN, RESERVE_FACTOR * rate * (double) STEP_INTERVAL / 1e6);

  return (unsigned) MIN (wanted, step->left);
}

static void
stop_target (Rollouts *rollouts, const MsgRollout *rollout, ActiveRollout *active,
             const PlanStep *step, const JudgeResult *judged)
{
  SchedVersions versions = rollouts_settings_for_phase (rollout, MSG_ROLLOUT_ROLLED_BACK);

  versions.watched = true;
  broker_set_versions (rollouts->broker, rollout->service, &versions);
  if (active->stopped)
    return;
  active->stopped = step->why;
  jlog (JLOG_WARN, "rollout-stopped", NULL, JL_TEXT ("service", rollout->service),
        JL_TEXT ("target", rollout->target), JL_TEXT ("why", step->why),
        JL_INT ("answers", judged->answers), JL_INT ("bad", judged->bad),
        JL_INT ("suspicion", judged->suspicion * 1000), JL_INT ("route", judged->route),
        JL_INT ("before_permille", judged->before * 1000),
        JL_INT ("after_permille", judged->after * 1000));
}

/* Entries whose running requests this voter may not know, including those not heard lately or since
 * the phase was published: they may use another scheduler. */
static unsigned
count_unreported (const Rollouts *rollouts, const Progress *progress, int64_t now)
{
  int64_t since = MAX (now - HEARD_WITHIN, progress->phase_at + PLAN_PROPAGATION_TIME);
  bool may_link = now - rollouts->charged_at < MISSING_WAIT;

  return broker_unreported_count (rollouts->broker, since)
         + (may_link ? rollouts->peers.missing_entries : 0);
}

static void
collect_state (Rollouts *rollouts, const MsgRollout *rollout, const ActiveRollout *active,
               JudgeResult *judged, PlanInput *facts)
{
  const Progress *progress = g_hash_table_lookup (rollouts->progress, rollout->service);
  int64_t now = loop_now (rollouts->loop);
  SchedServiceStats stats;

  broker_service_stats (rollouts->broker, rollout->service, &stats);
  judge_set_servers (active->judge, stats.ordered.servers);
  judge_get_result (active->judge, judged);
  *facts = (PlanInput){ .phase = rollout->phase,
                        .elapsed_us = now - active->ordered_at,
                        .limit_us = rollout->limit_ms * FT_MS,
                        .phase_us = now - progress->phase_at,
                        .placed = active->placed + stats.placed - active->placed_from,
                        .granted = active->granted + stats.granted - active->granted_from,
                        .servers = stats.ordered.servers,
                        .places = stats.ordered.places,
                        .places_before = stats.used.places,
                        .running_before = stats.running_before,
                        .once_before = stats.once_before,
                        .unheard = g_hash_table_size (rollouts->lost),
                        .unreported = count_unreported (rollouts, progress, now),
                        .charge_us = now - rollouts->charged_at,
                        .listed = rollouts->peers.list_asked_at >= rollouts->charged_at,
                        .longest_us = stats.longest_us,
                        .answers = judged->answers,
                        .in_use = strcmp (rollout->before, rollout->target) == 0,
                        .suspicion = judged->suspicion,
                        .before = judged->before_all,
                        .after = judged->after_all };
}

static void
control (Rollouts *rollouts, const MsgRollout *rollout, ActiveRollout *active)
{
  int64_t now = loop_now (rollouts->loop);
  JudgeResult judged;
  PlanInput facts;
  PlanStep step;

  collect_state (rollouts, rollout, active, &judged, &facts);
  /* Answers that arrive after the stop do not resume the roll-out. */
  if (active->stopped)
    step = (PlanStep){ .phase = MSG_ROLLOUT_ROLLED_BACK, .why = active->stopped };
  else
    plan_next (&rollouts->conf.limits, &facts, &step);
  if (step.phase == MSG_ROLLOUT_ROLLED_BACK)
    stop_target (rollouts, rollout, active, &step, &judged);
  else if (step.phase == MSG_ROLLOUT_TRYING)
    {
      SchedVersions versions = rollouts_settings_for_phase (rollout, rollout->phase);
      unsigned reserved = rollout->trial.reserved;
      versions.share = step.share;
      versions.left = MIN (step.left, reserved > facts.granted ? reserved - facts.granted : 0);
      broker_set_versions (rollouts->broker, rollout->service, &versions);
    }
  if (active->ticket && now - active->proposed_at < STEP_TIMEOUT)
    return;
  if (step.phase == rollout->phase && now - active->proposed_at < STEP_INTERVAL)
    return;
  MsgRolloutStep next = { .service = rollout->service,
                          .number = rollout->number,
                          .phase = step.phase,
                          .why = (char *) (step.why ? step.why : "") };
  fill_trial (&facts, &judged, requests_to_reserve (&facts, &step), &next.trial);
  propose_step (rollouts, active, &next);
}

/* ---- Start and end of control ---- */

static void
start_control (Rollouts *rollouts, const MsgRollout *rollout)
{
  ActiveRollout *active = g_new0 (ActiveRollout, 1);
  const MsgTrial *trial = &rollout->trial;
  SchedServiceStats stats;

  rollouts_apply_phase (rollouts, rollout);
  broker_service_stats (rollouts->broker, rollout->service, &stats);
  active->service = g_strdup (rollout->service);
  active->number = rollout->number;
  active->judge = judge_new (loop_clock (rollouts->loop), JUDGE_CUSUM);
  judge_resume (active->judge, trial->answers, trial->bad, trial->suspicion / 1e3);
  active->ordered_at = loop_now (rollouts->loop) - rollouts_elapsed (rollouts, rollout->service);
  active->placed = trial->requests;
  active->granted = trial->reserved;
  active->placed_from = stats.placed;
  active->granted_from = stats.granted;
  g_ptr_array_add (rollouts->active, active);
}

/* An entry that is cut off may send requests to the previous version until it hears of the move, so
 * it is kept for the whole roll-out. */
static void
forget_lost_entries (Rollouts *rollouts)
{
  MsgRollouts all;
  bool active = false;

  roll_capture (rollouts->table, &all);
  for (unsigned i = 0; i < all.rollouts.rollouts_len && !active; i++)
    active = roll_is_active (&all.rollouts.rollouts_val[i]);
  g_free (all.rollouts.rollouts_val);
  if (!active)
    g_hash_table_remove_all (rollouts->lost);
}

static void
control_or_drop (Rollouts *rollouts, const MsgRollout *rollout)
{
  ActiveRollout *active = find_active (rollouts, rollout->service);

  if (active && (active->number != rollout->number || !roll_is_active (rollout)))
    {
      g_ptr_array_remove_fast (rollouts->active, active);
      active = NULL;
    }
  if (!roll_is_active (rollout))
    return;
  if (active == NULL)
    start_control (rollouts, rollout);
  control (rollouts, rollout, find_active (rollouts, rollout->service));
}

void
rollctl_on_answer (void *user, const SchedVerdict *judged)
{
  const Rollouts *rollouts = user;
  const ActiveRollout *active = find_active (rollouts, judged->service);
  JudgeAnswer answer
      = { judged->route, sched_server_digest (judged->server), judged->ordered, judged->bad };

  if (active)
    judge_add_answer (active->judge, &answer);
}

static void
note_charge (Rollouts *rollouts)
{
  bool in_charge = rollouts_in_charge (rollouts);

  if (in_charge && !rollouts->in_charge)
    rollouts->charged_at = loop_now (rollouts->loop);
  rollouts->in_charge = in_charge;
}

void
rollouts_tick (Rollouts *rollouts, const RolloutsPeers *peers)
{
  rollouts->peers = *peers;
  note_charge (rollouts);
  forget_lost_entries (rollouts);
  if (roll_index (rollouts->table) == 0)
    return;
  if (!rollouts->in_charge)
    {
      /* A stop that was not committed is dropped; the next voter in charge decides anew. */
      if (rollouts->active->len > 0)
        rollouts_for_each (rollouts, rollouts_apply_phase);
      g_ptr_array_set_size (rollouts->active, 0);
      return;
    }
  rollouts_for_each (rollouts, control_or_drop);
  bcast_send_all (rollouts->broadcast);
}

void
rollouts_verdict (Rollouts *rollouts, uint64_t ticket, FtStatus status)
{
  (void) status; /* a step that was not committed is proposed again */
  for (unsigned i = 0; i < rollouts->active->len; i++)
    {
      ActiveRollout *active = rollouts->active->pdata[i];
      if (active->ticket == ticket)
        active->ticket = 0;
    }
}
