/* rollead.c - a roll-out as the voter in charge leads it: what is known becomes facts, the plan
 * says what follows, and each step goes through the log. */
#include "jlog.h"
#include "rollint.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define STEP_EVERY    (400 * FT_MS)  /* between two notes in the log: what is lost with a charge */
#define STEP_LOST     (1500 * FT_MS) /* a proposal without a verdict was lost with a charge */
#define RESERVE_LEAST 10  /* requests: a trial goes on between two notes of a service with few */
#define RESERVE_AHEAD 2.0 /* times what the target gets between two notes at the present rate */

void
rollead_free (void *data)
{
  Led *led = data;

  judge_free (led->judge);
  g_free (led->service);
  g_free (led);
}

static Led *
find_led (const Rollouts *rollouts, const char *service)
{
  for (unsigned i = 0; i < rollouts->led->len; i++)
    {
      Led *led = rollouts->led->pdata[i];
      if (strcmp (led->service, service) == 0)
        return led;
    }
  return NULL;
}

/* ---- Steps ---- */

static void
propose_step (Rollouts *rollouts, Led *led, const MsgRolloutStep *step)
{
  MsgOp op = { .kind = MSG_OP_ROLLOUT_STEP };

  op.MsgOp_u.rollout_step = *step;
  led->ticket = voter_propose_op (rollouts->voter, &op);
  led->proposed_at = loop_now (rollouts->loop);
}

static void
fill_trial (const PlanFacts *facts, const JudgeFacts *judged, unsigned ahead, MsgTrial *trial)
{
  *trial = (MsgTrial){ .elapsed_ms = facts->elapsed_us / FT_MS,
                       .requests = facts->placed,
                       .reserved = facts->granted + ahead,
                       .answers = judged->answers,
                       .bad = judged->bad,
                       .suspicion = (u_int) MIN (judged->suspicion * 1000, 1e6) };
}

/* How much is reserved beyond what the target has had. */
static unsigned
ahead_of (const PlanFacts *facts, const PlanStep *step)
{
  double seconds = MAX ((double) facts->elapsed_us / 1e6, 0.1);
  double rate = facts->placed / seconds * step->share;
  double wanted = MAX (RESERVE_LEAST, RESERVE_AHEAD * rate * (double) STEP_EVERY / 1e6);

  return (unsigned) MIN (wanted, step->left);
}

static void
stop_target (Rollouts *rollouts, const MsgRollout *rollout, Led *led, const PlanStep *step,
             const JudgeFacts *judged)
{
  SchedVersions versions = rollouts_versions_in (rollout, MSG_ROLLOUT_ROLLED_BACK);

  versions.watched = true;
  broker_set_versions (rollouts->broker, rollout->service, &versions);
  if (led->stopped)
    return;
  led->stopped = step->why;
  jlog (JLOG_WARN, "rollout-stopped", NULL, JL_TEXT ("service", rollout->service),
        JL_TEXT ("target", rollout->target), JL_TEXT ("why", step->why),
        JL_INT ("answers", judged->answers), JL_INT ("bad", judged->bad),
        JL_INT ("suspicion", judged->suspicion * 1000), JL_INT ("route", judged->route),
        JL_INT ("before_permille", judged->before * 1000),
        JL_INT ("after_permille", judged->after * 1000));
}

static void
gather (Rollouts *rollouts, const MsgRollout *rollout, const Led *led, JudgeFacts *judged,
        PlanFacts *facts)
{
  const Seen *seen = g_hash_table_lookup (rollouts->seen, rollout->service);
  int64_t now = loop_now (rollouts->loop);
  SchedServiceStats stats;

  broker_service_stats (rollouts->broker, rollout->service, &stats);
  judge_servers (led->judge, stats.ordered.servers);
  judge_facts (led->judge, judged);
  *facts = (PlanFacts){ .phase = rollout->phase,
                        .elapsed_us = now - led->started_at,
                        .limit_us = rollout->limit_ms * FT_MS,
                        .phase_us = now - seen->phase_at,
                        .placed = led->placed + stats.placed - led->placed_from,
                        .granted = led->granted + stats.granted - led->granted_from,
                        .servers = stats.ordered.servers,
                        .places = stats.ordered.places,
                        .places_before = stats.used.places,
                        .running_before = stats.running_before,
                        .once_before = stats.once_before,
                        .unheard = rollouts->unheard,
                        .longest_us = stats.longest_us,
                        .answers = judged->answers,
                        .in_use = strcmp (rollout->before, rollout->target) == 0,
                        .suspicion = judged->suspicion,
                        .before = judged->before_all,
                        .after = judged->after_all };
}

static void
lead (Rollouts *rollouts, const MsgRollout *rollout, Led *led)
{
  int64_t now = loop_now (rollouts->loop);
  JudgeFacts judged;
  PlanFacts facts;
  PlanStep step;

  gather (rollouts, rollout, led, &judged, &facts);
  /* What is still answered after the stop does not begin it anew. */
  if (led->stopped)
    step = (PlanStep){ .phase = MSG_ROLLOUT_ROLLED_BACK, .why = led->stopped };
  else
    plan_next (&rollouts->conf.limits, &facts, &step);
  if (step.phase == MSG_ROLLOUT_ROLLED_BACK)
    stop_target (rollouts, rollout, led, &step, &judged);
  else if (step.phase == MSG_ROLLOUT_TRYING)
    {
      SchedVersions versions = rollouts_versions_in (rollout, rollout->phase);
      unsigned reserved = rollout->trial.reserved;
      versions.share = step.share;
      versions.left = MIN (step.left, reserved > facts.granted ? reserved - facts.granted : 0);
      broker_set_versions (rollouts->broker, rollout->service, &versions);
    }
  if (led->ticket && now - led->proposed_at < STEP_LOST)
    return;
  if (step.phase == rollout->phase && now - led->proposed_at < STEP_EVERY)
    return;
  MsgRolloutStep next = { .service = rollout->service,
                          .number = rollout->number,
                          .phase = step.phase,
                          .why = (char *) (step.why ? step.why : "") };
  fill_trial (&facts, &judged, ahead_of (&facts, &step), &next.trial);
  propose_step (rollouts, led, &next);
}

/* ---- Being in charge ---- */

static void
begin_to_lead (Rollouts *rollouts, const MsgRollout *rollout)
{
  Led *led = g_new0 (Led, 1);
  const MsgTrial *trial = &rollout->trial;
  SchedServiceStats stats;

  rollouts_apply (rollouts, rollout);
  broker_service_stats (rollouts->broker, rollout->service, &stats);
  led->service = g_strdup (rollout->service);
  led->number = rollout->number;
  led->judge = judge_new (loop_clock (rollouts->loop), JUDGE_SEQUENTIAL);
  judge_resume (led->judge, trial->answers, trial->bad, trial->suspicion / 1e3);
  led->started_at = loop_now (rollouts->loop) - rollouts_elapsed (rollouts, rollout->service);
  led->placed = trial->requests;
  led->granted = trial->reserved;
  led->placed_from = stats.placed;
  led->granted_from = stats.granted;
  g_ptr_array_add (rollouts->led, led);
}

static void
lead_one (Rollouts *rollouts, const MsgRollout *rollout)
{
  Led *led = find_led (rollouts, rollout->service);

  if (led && (led->number != rollout->number || !roll_is_active (rollout)))
    {
      g_ptr_array_remove_fast (rollouts->led, led);
      led = NULL;
    }
  if (!roll_is_active (rollout))
    return;
  if (led == NULL)
    begin_to_lead (rollouts, rollout);
  lead (rollouts, rollout, find_led (rollouts, rollout->service));
}

void
rollead_judged (void *host, const SchedVerdict *judged)
{
  const Rollouts *rollouts = host;
  const Led *led = find_led (rollouts, judged->service);
  JudgeAnswer answer
      = { judged->route, sched_server_digest (judged->server), judged->ordered, judged->bad };

  if (led)
    judge_answer (led->judge, &answer);
}

void
rollouts_tick (Rollouts *rollouts, unsigned unheard)
{
  rollouts->unheard = unheard;
  if (roll_index (rollouts->account) == 0)
    return;
  if (!rollouts_in_charge (rollouts))
    {
      /* What was stopped here only is the next one's to find. */
      if (rollouts->led->len > 0)
        rollouts_each (rollouts, rollouts_apply);
      g_ptr_array_set_size (rollouts->led, 0);
      return;
    }
  rollouts_each (rollouts, lead_one);
  bcast_send_all (rollouts->tell);
}

void
rollouts_verdict (Rollouts *rollouts, uint64_t ticket, FtStatus status)
{
  (void) status; /* what was not committed is proposed again */
  for (unsigned i = 0; i < rollouts->led->len; i++)
    {
      Led *led = rollouts->led->pdata[i];
      if (led->ticket == ticket)
        led->ticket = 0;
    }
}
