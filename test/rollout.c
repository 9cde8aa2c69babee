/* rollout.c - roll-outs of versions: the replicated table of roll-outs, the plan, the judge, and
 * which servers the scheduler uses, each on a fake clock. */
#include "clock.h"
#include "judge.h"
#include "rollplan.h"
#include "scheduler.h"
#include "state.h"

#include <string.h>

/* ---- The table of roll-outs ---- */

static bool
apply_order (RolloutTable *table, uint64_t index, const char *target, uint64_t after)
{
  MsgRolloutStart start = { (char *) "s", (char *) target, (char *) "v1", 12000, after };

  return roll_apply_start (table, index, &start);
}

static bool
apply_step (RolloutTable *table, uint64_t index, uint64_t number, MsgRolloutPhase phase)
{
  MsgRolloutStep step = { .service = (char *) "s",
                          .number = number,
                          .phase = phase,
                          .trial = { .elapsed_ms = (int64_t) index, .reserved = 7 },
                          .why = (char *) "why" };

  return roll_apply_step (table, index, &step);
}

/* The answer to an order is lost, and the operator sends the order again: to another voter, after a
 * change of leader, or after the roll-out has ended. Each time it is acknowledged, and no roll-out
 * starts twice. */
static void
repeated_order_starts_nothing (void)
{
  RolloutTable *table = roll_new ();

  g_assert_cmpint (roll_check (table, "s", "v2", false), ==, ROLL_NEW);
  g_assert_true (apply_order (table, 5, "v2", 0));
  g_assert_cmpint (roll_check (table, "s", "v2", false), ==, ROLL_KNOWN);
  g_assert_cmpint (roll_check (table, "s", "v3", false), ==, ROLL_BUSY);
  g_assert_false (apply_order (table, 6, "v2", 0)); /* proposed by two voters */
  g_assert_false (apply_order (table, 7, "v3", 5)); /* another roll-out is active */
  g_assert_true (apply_step (table, 8, 5, MSG_ROLLOUT_ROLLED_BACK));
  g_assert_false (apply_order (table, 9, "v2", 0)); /* late: its proposer knew of no roll-out */
  g_assert_cmpint (roll_check (table, "s", "v2", true), ==, ROLL_KNOWN);
  g_assert_cmpint (roll_check (table, "s", "v2", false), ==, ROLL_NEW);
  g_assert_true (apply_order (table, 10, "v2", 5)); /* ordered again long after */
  g_assert_true (apply_step (table, 11, 10, MSG_ROLLOUT_MOVING));
  g_assert_true (apply_step (table, 12, 10, MSG_ROLLOUT_COMPLETED));
  g_assert_cmpint (roll_check (table, "s", "v2", false), ==, ROLL_KNOWN);
  g_assert_cmpint (roll_check (table, "s", "v3", false), ==, ROLL_NEW);
  roll_free (table);
}

/* A former leader resumes and proposes an old step. A roll-out that was rolled back or completed
 * stays so, and a step of an earlier order changes nothing. */
static void
ended_rollout_stays_ended (void)
{
  RolloutTable *table = roll_new ();

  apply_order (table, 1, "v2", 0);
  g_assert_true (apply_step (table, 2, 1, MSG_ROLLOUT_MOVING));
  g_assert_false (apply_step (table, 3, 1, MSG_ROLLOUT_TRYING));
  g_assert_true (apply_step (table, 4, 1, MSG_ROLLOUT_ROLLED_BACK));
  g_assert_false (apply_step (table, 5, 1, MSG_ROLLOUT_COMPLETED));
  g_assert_false (apply_step (table, 5, 1, MSG_ROLLOUT_ROLLED_BACK));
  g_assert_true (apply_order (table, 6, "v3", 1));
  g_assert_false (apply_step (table, 7, 1, MSG_ROLLOUT_COMPLETED));
  g_assert_cmpint (roll_find (table, "s")->phase, ==, MSG_ROLLOUT_TRYING);
  roll_free (table);
}

/* All instances lose power during a roll-out, and a voter restores its snapshot. The order, its
 * phase and the requests used by the trial must be in it. */
static void
snapshot_keeps_rollout (void)
{
  State *state = state_new (), *later = state_new ();
  MsgOp start = { .kind = MSG_OP_ROLLOUT_START }, step = { .kind = MSG_OP_ROLLOUT_STEP };
  StateResult verdict;

  start.MsgOp_u.rollout_start
      = (MsgRolloutStart){ (char *) "s", (char *) "v2", (char *) "v1", 12000, 0 };
  step.MsgOp_u.rollout_step = (MsgRolloutStep){ .service = (char *) "s",
                                                .number = 4,
                                                .phase = MSG_ROLLOUT_MOVING,
                                                .trial = { .elapsed_ms = 6000, .reserved = 90 },
                                                .why = (char *) "tried" };
  state_apply (state, 4, &start, &verdict);
  state_apply (state, 5, &step, &verdict);
  GByteArray *bytes = state_capture (state);
  g_assert_cmpint (state_restore (later, bytes->data, bytes->len), ==, FT_OK);
  const MsgRollout *restored = roll_find (state_rollouts (later), "s");
  g_assert_nonnull (restored);
  g_assert_cmpstr (restored->target, ==, "v2");
  g_assert_cmpstr (restored->before, ==, "v1");
  g_assert_cmpint (restored->phase, ==, MSG_ROLLOUT_MOVING);
  g_assert_cmpint (restored->trial.elapsed_ms, ==, 6000);
  g_assert_cmpuint (restored->trial.reserved, ==, 90);
  g_assert_cmpuint (roll_index (state_rollouts (later)), ==, 5);
  g_byte_array_unref (bytes);
  state_free (state);
  state_free (later);
}

/* After an upgrade a voter restores a snapshot of an older program, which has a crash table but no
 * roll-outs. It must accept the snapshot and keep the crashes. */
static void
older_snapshot_has_no_rollouts (void)
{
  State *state = state_new (), *later = state_new ();
  MsgOp op = { .kind = MSG_OP_CRASH };
  uint64_t content = 77;
  StateResult verdict;

  op.MsgOp_u.ended.server = (char *) "i";
  op.MsgOp_u.ended.contents.contents_len = 1;
  op.MsgOp_u.ended.contents.contents_val = &content;
  state_apply (state, 1, &op, &verdict);
  GByteArray *bytes = state_capture (state);
  g_byte_array_set_size (bytes, bytes->len - 24); /* the older program did not write these parts */
  g_assert_cmpint (state_restore (later, bytes->data, bytes->len), ==, FT_OK);
  g_assert_nonnull (crashes_find (state_crashes (later), content));
  g_assert_cmpuint (roll_index (state_rollouts (later)), ==, 0);
  g_byte_array_set_size (bytes, bytes->len - 4); /* truncates the part that it did write */
  g_assert_cmpint (state_restore (later, bytes->data, bytes->len), ==, FT_CORRUPT);
  g_byte_array_unref (bytes);
  state_free (state);
  state_free (later);
}

/* ---- The plan ---- */

static const PlanLimits limits = { 0.1, 50 };

static PlanInput
plan_input_at (int64_t elapsed_us)
{
  unsigned placed = (unsigned) (300 * elapsed_us / FT_SECOND);

  return (PlanInput){ .phase = MSG_ROLLOUT_TRYING,
                      .elapsed_us = elapsed_us,
                      .limit_us = 12 * FT_SECOND,
                      .placed = placed,
                      .granted = placed / 20,
                      .servers = 90,
                      .places = 450,
                      .places_before = 450,
                      .longest_us = 3 * FT_SECOND,
                      .charge_us = elapsed_us,
                      .listed = true,
                      .answers = placed / 20 };
}

/* 300 requests a second, a time limit of 12 s, answers of up to 3 s. The version gets a small share
 * first and never more requests than a bad version may get. The move begins early enough for
 * answers of other versions to end before the time limit. */
static void
trial_then_move_in_time (void)
{
  unsigned granted = 0, moved_ms = 0;
  PlanStep step;

  for (int64_t at = 0; moved_ms == 0; at += 20 * FT_MS)
    {
      PlanInput input = plan_input_at (at);
      input.granted = granted;
      input.answers = granted;
      plan_next (&limits, &input, &step);
      g_assert_cmpfloat (granted, <=, 0.1 * input.placed + 50);
      g_assert_cmpint (step.phase, !=, MSG_ROLLOUT_ROLLED_BACK);
      granted += MIN (step.left, (unsigned) (300 * 0.02 * step.share + 0.99));
      if (step.phase == MSG_ROLLOUT_MOVING)
        moved_ms = (unsigned) (at / FT_MS);
      g_assert_cmpint (at, <, 12 * FT_SECOND);
    }
  g_assert_cmpuint (moved_ms, >=, 6000);
  g_assert_cmpuint (moved_ms, <=, 12000 - 3000 - 500);
}

/* Requests still run on servers of other versions after the move. These servers may stop as soon as
 * the roll-out is completed, so it waits; after the time limit it waits only for requests that must
 * not be sent a second time. */
static void
completes_when_nothing_runs (void)
{
  PlanInput input = plan_input_at (13 * FT_SECOND);
  PlanStep step;

  input.phase = MSG_ROLLOUT_MOVING;
  input.phase_us = 2 * FT_SECOND;
  input.running_before = input.once_before = 1;
  plan_next (&limits, &input, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_MOVING);
  input.once_before = 0; /* only a stream that can continue elsewhere; the time limit is over */
  plan_next (&limits, &input, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_COMPLETED);
  input.elapsed_us = 9 * FT_SECOND; /* before the limit it may still end */
  plan_next (&limits, &input, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_MOVING);
  input.elapsed_us = 13 * FT_SECOND;
  input.running_before = 0;
  plan_next (&limits, &input, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_COMPLETED);
  input.elapsed_us = 9 * FT_SECOND;
  input.unheard = 1; /* an entry whose running requests are unknown */
  plan_next (&limits, &input, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_MOVING);
  input.unheard = 0;
  input.elapsed_us = 9 * FT_SECOND;
  input.suspicion = 0.7; /* before the limit more evidence can come */
  plan_next (&limits, &input, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_MOVING);
  input.suspicion = 1;
  plan_next (&limits, &input, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_ROLLED_BACK);
}

/* No server of the version starts, or too few for the load, or there is not enough evidence that
 * the version is good. The trial goes on, and at the time limit it is rolled back with that reason.
 */
static void
rolls_back_if_it_cannot_move (void)
{
  PlanInput input = plan_input_at (8 * FT_SECOND);
  PlanStep step;

  input.places = 100;
  plan_next (&limits, &input, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_TRYING);
  input.elapsed_us = 12 * FT_SECOND;
  plan_next (&limits, &input, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_ROLLED_BACK);
  g_assert_cmpstr (step.why, ==, "its servers have too little capacity for the load");
  input.servers = 0;
  plan_next (&limits, &input, &step);
  g_assert_cmpstr (step.why, ==, "no server of the version was available in time");
  input = plan_input_at (8 * FT_SECOND);
  input.after = input.before = 0.4; /* no conclusion while both versions fail */
  plan_next (&limits, &input, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_TRYING);
  input = plan_input_at (12 * FT_SECOND);
  input.answers = 3;
  plan_next (&limits, &input, &step);
  g_assert_cmpstr (step.why, ==, "it was not shown to be sound in time");
}

static MsgRolloutPhase
next_phase (const PlanInput *input)
{
  PlanStep step;

  plan_next (&limits, input, &step);
  return step.phase;
}

/* Guards against a voter in charge that takes what it has not heard yet for nothing: after a
 * take-over in the move it neither completes nor rolls back before it knows what runs and which
 * servers there are. */
static void
successor_waits_for_reports (void)
{
  PlanInput known = plan_input_at (9 * FT_SECOND);

  known.phase = MSG_ROLLOUT_MOVING;
  known.phase_us = 2 * FT_SECOND;
  g_assert_cmpint (next_phase (&known), ==, MSG_ROLLOUT_COMPLETED);
  for (unsigned past_limit = 0; past_limit < 2; past_limit++)
    {
      PlanInput input = known;
      input.elapsed_us = past_limit ? 13 * FT_SECOND : known.elapsed_us;
      input.charge_us = 20 * FT_MS;
      g_assert_cmpint (next_phase (&input), ==, MSG_ROLLOUT_MOVING);
      input.charge_us = 3 * FT_SECOND;
      g_assert_cmpint (next_phase (&input), ==, MSG_ROLLOUT_COMPLETED);
      input.unreported = 1;
      g_assert_cmpint (next_phase (&input), ==, MSG_ROLLOUT_MOVING);
      input.charge_us = 13 * FT_SECOND; /* an entry that never reports */
      g_assert_cmpint (next_phase (&input), ==,
                       past_limit ? MSG_ROLLOUT_COMPLETED : MSG_ROLLOUT_MOVING);
      input.once_before = input.running_before = 1;
      g_assert_cmpint (next_phase (&input), ==, MSG_ROLLOUT_MOVING);
    }
  known.servers = 0;
  g_assert_cmpint (next_phase (&known), ==, MSG_ROLLOUT_ROLLED_BACK);
  known.listed = false;
  g_assert_cmpint (next_phase (&known), ==, MSG_ROLLOUT_MOVING);
  known.suspicion = 1; /* evidence needs no list */
  g_assert_cmpint (next_phase (&known), ==, MSG_ROLLOUT_ROLLED_BACK);
}

/* Guards against a successor that rolls back at the limit because it knows no server yet, or has
 * had no time to compare: it took charge just before. */
static void
successor_decides_after_the_limit (void)
{
  PlanInput input = plan_input_at (12 * FT_SECOND);

  input.charge_us = 20 * FT_MS;
  input.servers = input.places = 0;
  input.listed = false;
  g_assert_cmpint (next_phase (&input), ==, MSG_ROLLOUT_TRYING);
  input.charge_us = 13 * FT_SECOND; /* the list cannot be read */
  g_assert_cmpint (next_phase (&input), ==, MSG_ROLLOUT_ROLLED_BACK);
  input = plan_input_at (12 * FT_SECOND);
  input.charge_us = 20 * FT_MS;
  g_assert_cmpint (next_phase (&input), ==, MSG_ROLLOUT_TRYING);
  input.charge_us = 500 * FT_MS;
  g_assert_cmpint (next_phase (&input), ==, MSG_ROLLOUT_MOVING);
  input.answers = 3;
  g_assert_cmpint (next_phase (&input), ==, MSG_ROLLOUT_ROLLED_BACK);
}

/* Guards against a successor that moves all requests without a comparison of its own, or because a
 * service seems idle whose requests it has not heard of. */
static void
successor_does_not_move_at_once (void)
{
  PlanInput input = plan_input_at (8 * FT_SECOND);

  g_assert_cmpint (next_phase (&input), ==, MSG_ROLLOUT_MOVING);
  input.charge_us = 20 * FT_MS;
  g_assert_cmpint (next_phase (&input), ==, MSG_ROLLOUT_TRYING);
  input.charge_us = 3 * FT_SECOND;
  input.listed = false;
  g_assert_cmpint (next_phase (&input), ==, MSG_ROLLOUT_TRYING);
  input.listed = true;
  input.placed = input.granted = input.answers = 0;
  g_assert_cmpint (next_phase (&input), ==, MSG_ROLLOUT_MOVING);
  input.unreported = 1;
  g_assert_cmpint (next_phase (&input), ==, MSG_ROLLOUT_TRYING);
}

/* A service without requests moves without evidence, since a bad version would fail nobody. */
static void
idle_service_moves (void)
{
  PlanInput input = plan_input_at (11 * FT_SECOND);
  PlanStep step;

  input.placed = input.granted = input.answers = 0;
  plan_next (&limits, &input, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_MOVING);
}

/* ---- The judge ---- */

typedef struct
{
  TestClock clock;
  Judge *judge;
  GRand *rand;
} JudgeFixture;

static JudgeFixture *
judge_fixture_new (guint32 seed)
{
  JudgeFixture *fixture = g_new0 (JudgeFixture, 1);

  fixture->clock = test_clock ();
  fixture->judge = judge_new (&fixture->clock.base, JUDGE_CUSUM);
  judge_set_servers (fixture->judge, 4);
  fixture->rand = g_rand_new_with_seed (seed);
  return fixture;
}

static void
judge_fixture_free (JudgeFixture *fixture)
{
  judge_free (fixture->judge);
  g_rand_free (fixture->rand);
  g_free (fixture);
}

typedef struct
{
  double before, after; /* share of bad answers of the previous and of the target version */
  double one_server;    /* at least this share on the target version's first server */
  double one_route;     /* at least this share of the target version on the first route */
} BadShares;

/* 300 requests a second over five routes, every sixteenth to four servers of the target version.
 * Returns after how many of its answers the version was judged bad; 0: it was not. */
static unsigned
run_judge (JudgeFixture *fixture, double seconds, BadShares bad)
{
  unsigned answers = 0;

  for (unsigned i = 0; i < 300 * seconds; i++)
    {
      JudgeResult result;
      JudgeAnswer answer = { .route = 1 + i % 5, .ordered = i % 16 == 0 };
      answer.server = (answer.ordered ? 1 : 100) + (guint32) g_rand_int_range (fixture->rand, 0, 4);
      double share = answer.ordered ? bad.after : bad.before;
      if (answer.ordered && answer.server == 1)
        share = MAX (share, bad.one_server);
      if (answer.ordered && answer.route == 1)
        share = MAX (share, bad.one_route);
      answer.bad = g_rand_double (fixture->rand) < share;
      fixture->clock.now += FT_SECOND / 300;
      judge_add_answer (fixture->judge, &answer);
      answers += answer.ordered;
      judge_get_result (fixture->judge, &result);
      if (result.suspicion >= 1)
        return answers;
    }
  return 0;
}

/* A version fails half of its requests, or all on one route. Few answers suffice to detect it. */
static void
bad_version_is_detected (void)
{
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      JudgeFixture *fixture = judge_fixture_new (seed);
      unsigned answers_taken = run_judge (fixture, 6, (BadShares){ .before = 0.01, .after = 0.5 });
      g_assert_cmpuint (answers_taken, >, 0);
      g_assert_cmpuint (answers_taken, <=, 50);
      judge_fixture_free (fixture);
      fixture = judge_fixture_new (seed);
      answers_taken
          = run_judge (fixture, 6, (BadShares){ .before = 0.01, .after = 0.01, .one_route = 1 });
      g_assert_cmpuint (answers_taken, >, 0);
      judge_fixture_free (fixture);
    }
}

/* A version is good for four seconds and then fails half of its requests. The good answers must not
 * delay the detection. */
static void
later_fault_is_detected (void)
{
  JudgeFixture *fixture = judge_fixture_new (1);

  g_assert_cmpuint (run_judge (fixture, 4, (BadShares){ .before = 0.01, .after = 0.01 }), ==, 0);
  unsigned answers_taken = run_judge (fixture, 2, (BadShares){ .before = 0.01, .after = 0.5 });
  g_assert_cmpuint (answers_taken, >, 0);
  g_assert_cmpuint (answers_taken, <=, 50);
  judge_fixture_free (fixture);
}

/* One server of the version fails all its requests, or both versions fail almost half for some
 * seconds, or a tenth all the time. None of these is a fault of the version. */
static void
good_version_is_not_rejected (void)
{
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      JudgeFixture *fixture = judge_fixture_new (seed);
      g_assert_cmpuint (
          run_judge (fixture, 6, (BadShares){ .before = 0.01, .after = 0.01, .one_server = 1 }), ==,
          0);
      judge_fixture_free (fixture);
      fixture = judge_fixture_new (seed);
      g_assert_cmpuint (run_judge (fixture, 2, (BadShares){ .before = 0.01, .after = 0.01 }), ==,
                        0);
      g_assert_cmpuint (run_judge (fixture, 4, (BadShares){ .before = 0.45, .after = 0.45 }), ==,
                        0);
      judge_fixture_free (fixture);
      fixture = judge_fixture_new (seed);
      g_assert_cmpuint (run_judge (fixture, 6, (BadShares){ .before = 0.1, .after = 0.1 }), ==, 0);
      judge_fixture_free (fixture);
    }
}

/* The leader is lost during a trial. The next one continues from the evidence in the log instead of
 * starting with none. */
static void
evidence_is_resumed (void)
{
  JudgeFixture *fixture = judge_fixture_new (1);
  JudgeResult result;

  judge_resume (fixture->judge, 12, 5, 0.8);
  judge_get_result (fixture->judge, &result);
  g_assert_cmpuint (result.answers, ==, 12);
  g_assert_cmpuint (result.bad, ==, 5);
  g_assert_cmpfloat (result.suspicion, >, 0.79);
  judge_fixture_free (fixture);
}

/* ---- Which servers get requests ---- */

typedef struct
{
  TestClock clock;
  Sched *sched;
  char last_server[8]; /* server granted last; "": none since the last request */
  unsigned granted[4];
  unsigned judged, judged_bad;
  unsigned slots, prompt_tokens;
  uint64_t asked;
  Judge *judge; /* gets every judged answer; NULL: none */
} SchedFixture;

static void
on_grant (void *host, uint64_t owner, uint64_t request, const char *org, const char *server,
          int64_t max_idle_us)
{
  SchedFixture *fixture = host;

  (void) owner;
  (void) request;
  (void) org;
  (void) max_idle_us;
  g_strlcpy (fixture->last_server, server, sizeof fixture->last_server);
  fixture->granted[server[1] - '0']++;
}

static void
on_refuse (void *host, uint64_t owner, uint64_t request, const SchedRefusal *refusal)
{
  (void) host;
  (void) owner;
  (void) request;
  (void) refusal;
}

static void
on_unused (void *host, const char *org, double cost)
{
  (void) host;
  (void) org;
  (void) cost;
}

static void
on_server_out (void *host, const char *server, bool out, const char *why, int64_t for_us)
{
  (void) host;
  (void) server;
  (void) out;
  (void) why;
  (void) for_us;
}

static void
on_judged (void *host, const SchedVerdict *judged)
{
  SchedFixture *fixture = host;

  fixture->judged++;
  fixture->judged_bad += judged->bad;
  if (fixture->judge)
    judge_add_answer (fixture->judge,
                      &(JudgeAnswer){ judged->route, sched_server_digest (judged->server),
                                      judged->ordered, judged->bad });
  g_assert_cmpint (judged->ordered, ==, judged->server[1] >= '2');
}

static const SchedOps sched_ops
    = { on_grant, on_refuse, on_unused, on_server_out, on_judged, NULL, NULL };

#define ROUTES 3

/* Lists the servers whose bits are set; s0 and s1 have version v1, s2 and s3 have v2. */
static void
list_servers (SchedFixture *fixture, unsigned listed_mask)
{
  static const char *const ids[] = { "s0", "s1", "s2", "s3" };
  SchedServer list[4];
  unsigned count = 0;

  for (unsigned i = 0; i < 4; i++)
    if (listed_mask >> i & 1)
      list[count++]
          = (SchedServer){ ids[i], "s", "d", fixture->slots, false, 0, i < 2 ? "v1" : "v2" };
  sched_set_servers (fixture->sched, list, count);
}

static SchedFixture *
sched_fixture_new (unsigned listed_mask)
{
  SchedFixture *fixture = g_new0 (SchedFixture, 1);

  fixture->clock = test_clock ();
  fixture->slots = 4;
  fixture->sched = sched_new (&fixture->clock.base, &sched_ops, fixture);
  sched_set_service (fixture->sched, "s", &(SchedServiceConf){ 0 });
  list_servers (fixture, listed_mask);
  return fixture;
}

static void
sched_fixture_free (SchedFixture *fixture)
{
  sched_free (fixture->sched);
  g_free (fixture);
}

static void
submit_one (SchedFixture *fixture, uint64_t number)
{
  int64_t now = fixture->clock.now;
  SchedAsk ask = { .owner = 1,
                   .request = number,
                   .service = "s",
                   .org = "o",
                   .prompt_tokens = fixture->prompt_tokens,
                   .route = 1 + (unsigned) (number % ROUTES),
                   .aim_at = now + FT_SECOND,
                   .limit_at = now + FT_SECOND,
                   .end_at = now + 2 * FT_SECOND };

  *fixture->last_server = '\0';
  sched_ask (fixture->sched, &ask);
}

static void
run_requests (SchedFixture *fixture, unsigned count, int64_t took_us)
{
  static uint64_t number;

  memset (fixture->granted, 0, sizeof fixture->granted);
  for (unsigned i = 0; i < count; i++)
    {
      SchedResult result = { .outcome = SCHED_OK, .answer_us = took_us };
      submit_one (fixture, ++number);
      fixture->clock.now += took_us;
      sched_first_event (fixture->sched, 1, number, took_us);
      sched_done (fixture->sched, 1, number, &result);
      sched_tick (fixture->sched);
    }
}

static unsigned
granted_target (const SchedFixture *fixture)
{
  return fixture->granted[2] + fixture->granted[3];
}

/* The list has servers of a version that was never ordered. They get no request while servers of
 * the version in use are listed, not even if all of these are busy, and are used when there is no
 * other. */
static void
unordered_version_gets_no_request (void)
{
  SchedFixture *fixture = sched_fixture_new (3);

  list_servers (fixture, 15);
  for (unsigned i = 1; i <= 12; i++)
    submit_one (fixture, 1000 + i);
  g_assert_cmpuint (granted_target (fixture), ==, 0);
  sched_owner_gone (fixture->sched, 1);
  list_servers (fixture, 12);
  run_requests (fixture, 10, 20 * FT_MS);
  g_assert_cmpuint (granted_target (fixture), ==, 10);
  sched_fixture_free (fixture);
}

/* A service starts with a list of thousands of servers; the first few have another version than the
 * rest. The version of most servers is used. Comparing each server with each took half a second on
 * a fraction of a processor before the first request was served; one pass suffices. */
static void
most_common_version_is_used (void)
{
  enum
  {
    SERVER_COUNT = 20000,
    OTHER_COUNT = 3
  };
  SchedFixture *fixture = sched_fixture_new (0);
  SchedServer *list = g_new0 (SchedServer, SERVER_COUNT);
  char (*ids)[16] = g_malloc0 (SERVER_COUNT * sizeof *ids);

  for (unsigned i = 0; i < SERVER_COUNT; i++)
    {
      g_snprintf (ids[i], sizeof ids[i], "%c0-%u", i < OTHER_COUNT ? 's' : 't', i);
      list[i] = (SchedServer){ ids[i], "s", "d", 4, false, 0, i < OTHER_COUNT ? "v0" : "v1" };
    }
  sched_set_servers (fixture->sched, list, SERVER_COUNT);
  SchedServiceStats stats;
  sched_service_stats (fixture->sched, "s", &stats);
  g_assert_cmpstr (stats.in_use, ==, "v1");
  g_assert_cmpuint (stats.used.servers, ==, SERVER_COUNT - OTHER_COUNT);
  g_free (ids);
  g_free (list);
  sched_fixture_free (fixture);
}

/* In a trial a tenth of each route's requests goes to the target version, until the count that is
 * left is used up. One server could take them all; both get some, so that a single failing server
 * can be told from a bad version. */
static void
trial_gets_its_share (void)
{
  SchedFixture *fixture = sched_fixture_new (15);
  SchedVersions trial = { "v1", "v2", "v2", 0.1, 1000, false, true, false };

  sched_set_versions (fixture->sched, "s", &trial);
  run_requests (fixture, 400, 20 * FT_MS);
  g_assert_cmpuint (granted_target (fixture), >=, 38);
  g_assert_cmpuint (granted_target (fixture), <=, 40);
  g_assert_cmpuint (fixture->granted[2], >=, 15);
  g_assert_cmpuint (fixture->granted[3], >=, 15);
  trial.left = 3;
  sched_set_versions (fixture->sched, "s", &trial);
  run_requests (fixture, 400, 20 * FT_MS);
  g_assert_cmpuint (granted_target (fixture), ==, 3);
  g_assert_cmpuint (fixture->judged, ==, 800);
  g_assert_cmpuint (fixture->judged_bad, ==, 0);
  sched_fixture_free (fixture);
}

/* After the move the servers of the previous version get no request, after a roll-back those of the
 * target get none, even if no other server is listed. */
static void
versions_after_rollout (void)
{
  SchedFixture *fixture = sched_fixture_new (15);

  sched_set_versions (fixture->sched, "s",
                      &(SchedVersions){ "v2", "v1", "v2", 0, 0, false, false, false });
  run_requests (fixture, 20, 20 * FT_MS);
  g_assert_cmpuint (granted_target (fixture), ==, 20);
  sched_set_versions (fixture->sched, "s",
                      &(SchedVersions){ "v1", "v2", "v2", 0, 0, false, false, false });
  run_requests (fixture, 20, 20 * FT_MS);
  g_assert_cmpuint (granted_target (fixture), ==, 0);
  list_servers (fixture, 12);
  submit_one (fixture, 5000);
  g_assert_cmpstr (fixture->last_server, ==, "");
  sched_fixture_free (fixture);
}

/* An entry was cut off during a trial, and the roll-out was completed meanwhile: its list has only
 * servers of the target version. It uses these. */
static void
reconnected_entry_follows (void)
{
  SchedFixture *fixture = sched_fixture_new (15);

  sched_set_versions (fixture->sched, "s",
                      &(SchedVersions){ "v1", "v2", "v2", 0, 0, true, false, false });
  run_requests (fixture, 20, 20 * FT_MS);
  g_assert_cmpuint (granted_target (fixture), ==, 0);
  list_servers (fixture, 12);
  run_requests (fixture, 20, 20 * FT_MS);
  g_assert_cmpuint (granted_target (fixture), ==, 20);
  sched_fixture_free (fixture);
}

/* The target version answers five times as slowly. Its answers are judged bad, those of the
 * previous version are not. An answer that does not come is judged before the caller's deadline. */
static void
slow_answers_are_bad (void)
{
  SchedFixture *fixture = sched_fixture_new (15);

  sched_set_versions (fixture->sched, "s",
                      &(SchedVersions){ "v1", "v2", "v2", 0.1, 0, false, true, false });
  run_requests (fixture, 100, 40 * FT_MS);
  g_assert_cmpuint (fixture->judged_bad, ==, 0);
  sched_set_versions (fixture->sched, "s",
                      &(SchedVersions){ "v2", "v1", "v2", 0, 0, false, true, false });
  run_requests (fixture, 10, 200 * FT_MS);
  g_assert_cmpuint (fixture->judged_bad, ==, 10);
  submit_one (fixture, 9000);
  fixture->clock.now += 400 * FT_MS;
  sched_tick (fixture->sched);
  g_assert_cmpuint (fixture->judged_bad, ==, 11);
  sched_fixture_free (fixture);
}

/* Another voter becomes leader during the move, and its scheduler has no answer of the previous
 * version to compare with. A good version may be slower than the default that is assumed for
 * unknown servers; that must not count as evidence. The first stream of the previous version that
 * ends gives the baseline. */
static void
unknown_latency_is_no_evidence (void)
{
  SchedFixture *fixture = sched_fixture_new (15);
  SchedResult usual = { .outcome = SCHED_OK, .event_us = 25 * FT_MS };
  SchedResult slow = { .outcome = SCHED_OK, .event_us = 100 * FT_MS };
  SchedAsk old = { .owner = 1, .request = 50, .service = "s", .org = "o" };

  sched_set_service (fixture->sched, "s", &(SchedServiceConf){ .engine = true, .stride = 1 });
  sched_set_versions (fixture->sched, "s",
                      &(SchedVersions){ "v2", "v1", "v2", 0, 0, false, true, false });
  sched_adopt (fixture->sched, &old, "s0");
  sched_tick (fixture->sched);
  for (uint64_t number = 1; number <= 10; number++)
    {
      submit_one (fixture, number);
      sched_first_event (fixture->sched, 1, number, 300 * FT_MS);
      sched_done (fixture->sched, 1, number, &usual);
    }
  g_assert_cmpuint (fixture->judged, ==, 10);
  g_assert_cmpuint (fixture->judged_bad, ==, 0);
  sched_done (fixture->sched, 1, old.request, &usual);
  sched_tick (fixture->sched);
  submit_one (fixture, 11);
  sched_done (fixture->sched, 1, 11, &slow);
  g_assert_cmpuint (fixture->judged_bad, ==, 1);
  sched_fixture_free (fixture);
}

/* Guards against a scheduler that starts with the version of most servers although another one is
 * in use elsewhere, and against one that follows others into a version without servers or an order.
 */
static void
version_in_use_is_taken_over (void)
{
  SchedFixture *fixture = sched_fixture_new (0);

  g_assert_cmpstr (sched_get_in_use (fixture->sched, "none"), ==, "");
  sched_set_in_use (fixture->sched, "s", "v1");
  list_servers (fixture, 1 | 4 | 8);
  g_assert_cmpstr (sched_get_in_use (fixture->sched, "s"), ==, "v1");
  run_requests (fixture, 20, 20 * FT_MS);
  g_assert_cmpuint (granted_target (fixture), ==, 0);
  sched_set_in_use (fixture->sched, "s", "v3");
  g_assert_cmpstr (sched_get_in_use (fixture->sched, "s"), ==, "v1");
  sched_set_in_use (fixture->sched, "s", "v2");
  g_assert_cmpstr (sched_get_in_use (fixture->sched, "s"), ==, "v2");
  sched_set_versions (fixture->sched, "s",
                      &(SchedVersions){ "v2", "v1", "v2", 0, 0, false, true, false });
  sched_set_in_use (fixture->sched, "s", "v1");
  g_assert_cmpstr (sched_get_in_use (fixture->sched, "s"), ==, "v2");
  sched_fixture_free (fixture);
}

/* Guards against refusing all requests while the servers of the version in use leave: they are
 * listed until they have gone, and those of the next version stand idle. */
static void
leaving_version_is_replaced (void)
{
  SchedServer list[] = { { "s0", "s", "d", 4, false, 0, "v1" },
                         { "s1", "s", "d", 4, false, 0, "v1" },
                         { "s2", "s", "d", 4, false, 0, "v2" } };
  SchedFixture *fixture = sched_fixture_new (3);

  list[0].leaving = true;
  sched_set_servers (fixture->sched, list, 3);
  g_assert_cmpstr (sched_get_in_use (fixture->sched, "s"), ==, "v1");
  list[1].leaving = true;
  sched_set_servers (fixture->sched, list, 2);
  g_assert_cmpstr (sched_get_in_use (fixture->sched, "s"), ==, "v1");
  sched_set_servers (fixture->sched, list, 3);
  g_assert_cmpstr (sched_get_in_use (fixture->sched, "s"), ==, "v2");
  sched_set_in_use (fixture->sched, "s", "v1");
  g_assert_cmpstr (sched_get_in_use (fixture->sched, "s"), ==, "v2");
  run_requests (fixture, 5, 20 * FT_MS);
  g_assert_cmpuint (granted_target (fixture), ==, 5);
  sched_fixture_free (fixture);
}

/* Guards against losing requests that run on servers which the list has not shown yet: entries
 * report them to a voter that has just started. */
static void
unlisted_server_keeps_its_requests (void)
{
  SchedFixture *fixture = sched_fixture_new (0);
  SchedResult usual = { .outcome = SCHED_OK };
  SchedAsk old = { .owner = 1, .request = 50, .service = "s", .org = "o" };
  SchedServiceStats stats;

  sched_set_versions (fixture->sched, "s",
                      &(SchedVersions){ "v2", "v1", "v2", 0, 0, false, true, false });
  sched_adopt (fixture->sched, &old, "s0");
  old.request = 51;
  sched_adopt (fixture->sched, &old, "s2");
  sched_service_stats (fixture->sched, "s", &stats);
  g_assert_cmpuint (stats.running_before, ==, 2);
  g_assert_cmpuint (stats.ordered.servers, ==, 0);
  list_servers (fixture, 15);
  sched_service_stats (fixture->sched, "s", &stats);
  g_assert_cmpuint (stats.running_before, ==, 1);
  g_assert_cmpuint (stats.once_before, ==, 1);
  g_assert_cmpuint (stats.ordered.running, ==, 1);
  g_assert_cmpuint (stats.ordered.places, ==, 8);
  sched_done (fixture->sched, 1, 50, &usual);
  sched_service_stats (fixture->sched, "s", &stats);
  g_assert_cmpuint (stats.running_before, ==, 0);
  sched_fixture_free (fixture);
}

static void
answer_after (SchedFixture *fixture, uint64_t number, int64_t took_us)
{
  SchedResult result = { .outcome = SCHED_OK, .answer_us = took_us };

  submit_one (fixture, number);
  fixture->clock.now += took_us;
  sched_done (fixture->sched, 1, number, &result);
  sched_tick (fixture->sched);
}

/* On one route of a plain service both versions take eight times as long as on the others. Before
 * the move the latest answers were short ones. Answers are compared with those of their own route,
 * so only an answer that is long for its route is slow. */
static void
long_route_is_not_slow (void)
{
  SchedFixture *fixture = sched_fixture_new (13);
  uint64_t number = 0;

  sched_set_versions (fixture->sched, "s",
                      &(SchedVersions){ "v1", "v2", "v2", 0.1, 100, false, true, false });
  while (number < 50 * ROUTES)
    {
      number++;
      answer_after (fixture, number, number % ROUTES ? 20 * FT_MS : 160 * FT_MS);
    }
  for (unsigned i = 0; i < 10; i++)
    answer_after (fixture, ++number * ROUTES + 1, 20 * FT_MS);
  unsigned bad = fixture->judged_bad;
  sched_set_versions (fixture->sched, "s",
                      &(SchedVersions){ "v2", "v1", "v2", 0, 0, false, true, false });
  for (unsigned i = 0; i < 10; i++)
    answer_after (fixture, ++number * ROUTES, 160 * FT_MS);
  g_assert_cmpuint (fixture->judged_bad, ==, bad);
  for (unsigned i = 0; i < 10; i++)
    answer_after (fixture, ++number * ROUTES, 600 * FT_MS);
  g_assert_cmpuint (fixture->judged_bad, ==, bad + 10);
  sched_fixture_free (fixture);
}

/* ---- Trials with simulated answers of both versions ---- */

#define TRIAL_TIME    (7 * FT_SECOND)
#define ORDER_AT      (1 * FT_SECOND)
#define LOAD_AT       (3 * FT_SECOND) /* when the machine becomes busy */
#define REQUEST_RATE  300             /* requests a second */
#define TAIL_SHARE    0.03
#define TAIL_FACTOR   5
#define STREAM_FACTOR 5   /* an engine's answers take this many times as long */
#define ANSWER_MS     100 /* time of an answer on an idle machine */
#define RUNNING_MAX   2048
#define PROMPT_TOKENS 1 /* small, so that prefills hardly delay each other */
#define ANSWER_TOKENS 10

typedef struct
{
  double share; /* of the requests, for the target version */
  bool engine;  /* answers are streams; the first event comes after a fifth of the time */
  bool uneven;  /* routes differ, and TAIL_SHARE of the answers take TAIL_FACTOR times as long */
  bool busy;    /* from LOAD_AT on, answers of both versions take 2.5 to 3.5 times as long */
  double slow_factor; /* the target version's answers take this many times as long; if busy is set,
                         only from LOAD_AT on */
} TrialCase;

typedef struct
{
  uint64_t number; /* 0: none */
  int64_t sent_at, first_at, due_at;
} SentRequest;

static int64_t
answer_time (const TrialCase *trial_case, GRand *rand, uint64_t number, bool ordered, int64_t at)
{
  double took = ANSWER_MS * (double) FT_MS * g_rand_double_range (rand, 0.8, 1.2);

  if (trial_case->engine)
    took *= STREAM_FACTOR;
  if (trial_case->uneven)
    took *= 0.5 + 0.5 * (double) (number % ROUTES);
  if (trial_case->uneven && g_rand_double (rand) < TAIL_SHARE)
    took *= TAIL_FACTOR;
  if (trial_case->busy && at >= LOAD_AT)
    took *= g_rand_double_range (rand, 2.5, 3.5);
  if (ordered && (!trial_case->busy || at >= LOAD_AT))
    took *= trial_case->slow_factor;
  return (int64_t) took;
}

static void
update_request (SchedFixture *fixture, SentRequest *sent, bool engine)
{
  int64_t now = fixture->clock.now, took = now - sent->sent_at;
  SchedResult result = { .outcome = SCHED_OK, .answer_us = took };

  if (engine)
    result.event_us = (now - sent->first_at) / ANSWER_TOKENS;
  if (sent->first_at == 0
      && now >= (engine ? sent->sent_at + (sent->due_at - sent->sent_at) / 5 : sent->due_at))
    {
      sent->first_at = now;
      sched_first_event (fixture->sched, 1, sent->number, took);
    }
  if (now < sent->due_at)
    return;
  sched_done (fixture->sched, 1, sent->number, &result);
  sent->number = 0;
}

static void
send_request (SchedFixture *fixture, const TrialCase *trial_case, GRand *rand, SentRequest *sent,
              int64_t at)
{
  int64_t now = fixture->clock.now;

  submit_one (fixture, ++fixture->asked);
  g_assert_cmpstr (fixture->last_server, !=, "");
  while (sent->number)
    sent++;
  *sent = (SentRequest){
    fixture->asked, now, 0,
    now + answer_time (trial_case, rand, fixture->asked, fixture->last_server[1] >= '2', at)
  };
}

/* Returns after how many of its answers the target version was judged bad; 0: it was not. */
static unsigned
run_trial (const TrialCase *trial_case, guint32 seed)
{
  SchedFixture *fixture = sched_fixture_new (0);
  SentRequest sent[RUNNING_MAX] = { { 0 } };
  GRand *rand = g_rand_new_with_seed (seed);
  JudgeResult result = { 0 };

  fixture->slots = RUNNING_MAX / 4;
  fixture->prompt_tokens = trial_case->engine ? PROMPT_TOKENS : 0;
  sched_set_service (fixture->sched, "s",
                     &(SchedServiceConf){ .engine = trial_case->engine, .stride = 1 });
  list_servers (fixture, 15);
  SchedVersions trial = { "v1", "v2", "v2", 0, 10000, false, true, false };
  sched_set_versions (fixture->sched, "s", &trial);
  fixture->judge = judge_new (&fixture->clock.base, JUDGE_CUSUM);
  judge_set_servers (fixture->judge, 2);
  for (int64_t at = 0, asked = 0; at < TRIAL_TIME && result.suspicion < 1; at += FT_MS)
    {
      fixture->clock.now += FT_MS;
      if (at == ORDER_AT)
        {
          trial.share = trial_case->share;
          sched_set_versions (fixture->sched, "s", &trial);
        }
      for (unsigned i = 0; i < RUNNING_MAX; i++)
        if (sent[i].number)
          update_request (fixture, &sent[i], trial_case->engine);
      for (; asked * FT_SECOND < at * REQUEST_RATE; asked++)
        send_request (fixture, trial_case, rand, sent, at);
      if (at % (20 * FT_MS) == 0)
        sched_tick (fixture->sched);
      judge_get_result (fixture->judge, &result);
    }
  unsigned answers_taken = result.suspicion >= 1 ? result.answers : 0;
  judge_free (fixture->judge);
  g_rand_free (rand);
  sched_fixture_free (fixture);
  return answers_taken;
}

/* The machine becomes busy during a trial, and answers of both versions take longer. Guards against
 * a judge that rejects a good version because it compares its answers with earlier ones of the
 * previous version, or sees the slower answers of one version first. */
static void
busy_machine_is_not_blamed (void)
{
  static const TrialCase trial_cases[] = {
    { .share = 0.06, .busy = true, .slow_factor = 1 },
    { .share = 0.5, .busy = true, .slow_factor = 1 },
    { .share = 0.06, .engine = true, .uneven = true, .busy = true, .slow_factor = 1 },
    { .share = 0.5, .engine = true, .uneven = true, .busy = true, .slow_factor = 1 },
  };

  for (guint32 seed = 1; seed <= 20; seed++)
    for (unsigned i = 0; i < G_N_ELEMENTS (trial_cases); i++)
      g_assert_cmpuint (run_trial (&trial_cases[i], seed), ==, 0);
}

/* A version is slower than the previous one at the same time, always or only on a busy machine. The
 * first few slow answers suffice to detect it. */
static void
slow_version_is_detected (void)
{
  enum
  {
    ANSWERS_MAX = 10,
    ANSWERS_BEFORE_LOAD = (int) ((LOAD_AT - ORDER_AT) / FT_SECOND * REQUEST_RATE * 6 / 100)
  };
  static const TrialCase always[] = {
    { .share = 0.06, .slow_factor = 4 },
    { .share = 0.5, .slow_factor = 4 },
    { .share = 0.06, .engine = true, .uneven = true, .slow_factor = 4 },
    { .share = 0.5, .engine = true, .uneven = true, .slow_factor = 4 },
  };
  static const TrialCase later[] = {
    { .share = 0.06, .busy = true, .slow_factor = 4 },
    { .share = 0.06, .engine = true, .uneven = true, .busy = true, .slow_factor = 4 },
  };

  for (guint32 seed = 1; seed <= 20; seed++)
    {
      for (unsigned i = 0; i < G_N_ELEMENTS (always); i++)
        {
          unsigned answers_taken = run_trial (&always[i], seed);
          g_assert_cmpuint (answers_taken, >, 0);
          g_assert_cmpuint (answers_taken, <=, ANSWERS_MAX);
        }
      for (unsigned i = 0; i < G_N_ELEMENTS (later); i++)
        {
          unsigned answers_taken = run_trial (&later[i], seed);
          g_assert_cmpuint (answers_taken, >, 0);
          g_assert_cmpuint (answers_taken, <=, ANSWERS_BEFORE_LOAD + ANSWERS_MAX);
        }
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rollout/again", repeated_order_starts_nothing);
  g_test_add_func ("/rollout/for_good", ended_rollout_stays_ended);
  g_test_add_func ("/rollout/snapshot", snapshot_keeps_rollout);
  g_test_add_func ("/rollout/older_snapshot", older_snapshot_has_no_rollouts);
  g_test_add_func ("/rollout/in_time", trial_then_move_in_time);
  g_test_add_func ("/rollout/completes", completes_when_nothing_runs);
  g_test_add_func ("/rollout/cannot_move", rolls_back_if_it_cannot_move);
  g_test_add_func ("/rollout/idle", idle_service_moves);
  g_test_add_func ("/rollout/successor_waits", successor_waits_for_reports);
  g_test_add_func ("/rollout/successor_moves", successor_does_not_move_at_once);
  g_test_add_func ("/rollout/successor_at_the_limit", successor_decides_after_the_limit);
  g_test_add_func ("/judge/bad", bad_version_is_detected);
  g_test_add_func ("/judge/turns_bad", later_fault_is_detected);
  g_test_add_func ("/judge/sound", good_version_is_not_rejected);
  g_test_add_func ("/judge/taken_over", evidence_is_resumed);
  g_test_add_func ("/versions/unordered", unordered_version_gets_no_request);
  g_test_add_func ("/versions/most", most_common_version_is_used);
  g_test_add_func ("/versions/trial", trial_gets_its_share);
  g_test_add_func ("/versions/after", versions_after_rollout);
  g_test_add_func ("/versions/cut_off", reconnected_entry_follows);
  g_test_add_func ("/versions/slow", slow_answers_are_bad);
  g_test_add_func ("/versions/unknown", unknown_latency_is_no_evidence);
  g_test_add_func ("/versions/taken_over", version_in_use_is_taken_over);
  g_test_add_func ("/versions/leaving", leaving_version_is_replaced);
  g_test_add_func ("/versions/unlisted", unlisted_server_keeps_its_requests);
  g_test_add_func ("/versions/long_route", long_route_is_not_slow);
  g_test_add_func ("/versions/busy", busy_machine_is_not_blamed);
  g_test_add_func ("/versions/slower", slow_version_is_detected);
  return g_test_run ();
}
