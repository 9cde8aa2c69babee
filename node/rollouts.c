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
#include "rollouts.h"
#include "jlog.h"
#include "judge.h"
#include "tell.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define STEP_EVERY    (400 * FT_MS)  /* between two notes in the log: what is lost with a charge */
#define STEP_LOST     (1500 * FT_MS) /* a proposal without a verdict was lost with a charge */
#define RESERVE_LEAST 10  /* requests: a trial goes on between two notes of a service with few */
#define RESERVE_AHEAD 2.0 /* times what the target gets between two notes at the present rate */

/* What this voter has seen of a roll-out's committed steps, in charge or not. */
typedef struct
{
  uint64_t number;
  MsgRolloutPhase phase;
  int64_t elapsed_us, at; /* elapsed_us had passed at that time */
  int64_t phase_at;
} Seen;

/* A roll-out that this voter, being in charge, leads. */
typedef struct
{
  char *service;
  uint64_t number;
  Judge *judge;
  int64_t started_at;                 /* when the order was accepted */
  unsigned placed, granted;           /* before this voter took charge ... */
  unsigned placed_from, granted_from; /* ... and the scheduler's counts then */
  bool is_bad;                        /* it was found here; the log does not say so yet */
  uint64_t ticket;                    /* of the step under way; 0: none */
  int64_t proposed_at;
} Led;

struct Rollouts
{
  Loop *loop;
  Voter *voter;
  Broker *broker;
  RolloutsConf conf;
  RollAccount *account; /* as committed */
  GHashTable *seen;     /* service: Seen */
  GPtrArray *led;       /* Led */
  unsigned unheard;     /* entries lost lately */
  Tell *tell;
  uint64_t told; /* digest of the phases that schedulers and entries have */
};

static const char *const phases[] = { [MSG_ROLLOUT_TRYING] = "trying",
                                      [MSG_ROLLOUT_MOVING] = "moving",
                                      [MSG_ROLLOUT_COMPLETED] = "completed",
                                      [MSG_ROLLOUT_ROLLED_BACK] = "rolled back" };

static void
led_free (void *data)
{
  Led *led = data;

  judge_free (led->judge);
  g_free (led->service);
  g_free (led);
}

static bool
in_charge (const Rollouts *rollouts)
{
  VoterStatus status;

  voter_status (rollouts->voter, &status);
  return status.proved;
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

const MsgRollout *
rollouts_find (const Rollouts *rollouts, const char *service)
{
  return roll_find (rollouts->account, service);
}

/* ---- Which versions get requests ---- */

/* What the scheduler is to do in a phase; the trial's share is added by whoever is in charge. */
static SchedVersions
versions_in (const MsgRollout *rollout, MsgRolloutPhase phase)
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

static void
apply (const Rollouts *rollouts, const MsgRollout *rollout)
{
  SchedVersions versions = versions_in (rollout, rollout->phase);

  broker_versions (rollouts->broker, rollout->service, &versions);
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

static int64_t
elapsed_of (const Rollouts *rollouts, const char *service)
{
  const Seen *seen = g_hash_table_lookup (rollouts->seen, service);

  return seen ? seen->elapsed_us + loop_now (rollouts->loop) - seen->at : 0;
}

static void
each_rollout (Rollouts *rollouts, void (*call) (Rollouts *, const MsgRollout *))
{
  MsgRollouts all;

  roll_capture (rollouts->account, &all);
  for (unsigned i = 0; i < all.rollouts.rollouts_len; i++)
    call (rollouts, &all.rollouts.rollouts_val[i]);
  g_free (all.rollouts.rollouts_val);
}

static void
apply_one (Rollouts *rollouts, const MsgRollout *rollout)
{
  apply (rollouts, rollout);
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
  each_rollout (rollouts, note_seen);
  uint64_t digest = digest_of_phases (rollouts);
  if (digest == rollouts->told)
    return;
  rollouts->told = digest;
  each_rollout (rollouts, apply_one);
  tell_changed (rollouts->tell);
  if (in_charge (rollouts))
    tell_all (rollouts->tell);
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
  SchedVersions versions = versions_in (rollout, MSG_ROLLOUT_ROLLED_BACK);

  versions.watched = true;
  broker_versions (rollouts->broker, rollout->service, &versions);
  if (led->is_bad)
    return;
  led->is_bad = true;
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
  plan_next (&rollouts->conf.limits, &facts, &step);
  if (step.phase == MSG_ROLLOUT_ROLLED_BACK)
    stop_target (rollouts, rollout, led, &step, &judged);
  else if (step.phase == MSG_ROLLOUT_TRYING)
    {
      SchedVersions versions = versions_in (rollout, rollout->phase);
      unsigned reserved = rollout->trial.reserved;
      versions.share = step.share;
      versions.left = MIN (step.left, reserved > facts.granted ? reserved - facts.granted : 0);
      broker_versions (rollouts->broker, rollout->service, &versions);
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

  apply (rollouts, rollout);
  broker_service_stats (rollouts->broker, rollout->service, &stats);
  led->service = g_strdup (rollout->service);
  led->number = rollout->number;
  led->judge = judge_new (loop_clock (rollouts->loop), JUDGE_SEQUENTIAL);
  judge_resume (led->judge, trial->answers, trial->bad, trial->suspicion / 1e3);
  led->started_at = loop_now (rollouts->loop) - elapsed_of (rollouts, rollout->service);
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

static void
on_judged (void *host, const SchedJudged *judged)
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
  if (!in_charge (rollouts))
    {
      /* What was stopped here only is the next one's to find. */
      if (rollouts->led->len > 0)
        each_rollout (rollouts, apply_one);
      g_ptr_array_set_size (rollouts->led, 0);
      return;
    }
  each_rollout (rollouts, lead_one);
  tell_all (rollouts->tell);
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

/* ---- Links ---- */

void
rollouts_up (Rollouts *rollouts, MeshPeer *peer)
{
  tell_up (rollouts->tell, peer, roll_index (rollouts->account) > 0);
}

void
rollouts_down (Rollouts *rollouts, const MeshPeer *peer)
{
  tell_down (rollouts->tell, peer);
}

/* ---- Operators ---- */

RollOrder
rollouts_order (Rollouts *rollouts, const SeamRollout *order, uint64_t *ticket)
{
  const MsgRollout *known = rollouts_find (rollouts, order->service);
  bool lately = elapsed_of (rollouts, order->service) < rollouts->conf.repeat_us;
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
  rollouts->led = g_ptr_array_new_with_free_func (led_free);
  rollouts->tell = tell_new (pack_for_entries, rollouts);
  broker_watch (broker, on_judged, rollouts);
  return rollouts;
}

void
rollouts_free (Rollouts *rollouts)
{
  if (rollouts == NULL)
    return;
  tell_free (rollouts->tell);
  g_ptr_array_unref (rollouts->led);
  g_hash_table_unref (rollouts->seen);
  roll_free (rollouts->account);
  g_free (rollouts);
}
