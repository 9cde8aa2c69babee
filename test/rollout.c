/* rollout.c - orders of versions: the account in the log, the plan, the judge, and which servers
 * the scheduler uses, each on a clock of the test's own. */
#include "clock.h"
#include "judge.h"
#include "rollplan.h"
#include "scheduler.h"
#include "state.h"

#include <string.h>

/* ---- The account ---- */

static bool
order (RolloutTable *account, uint64_t index, const char *target, uint64_t after)
{
  MsgRolloutStart start = { (char *) "s", (char *) target, (char *) "v1", 12000, after };

  return roll_apply_start (account, index, &start);
}

static bool
step_to (RolloutTable *account, uint64_t index, uint64_t number, MsgRolloutPhase phase)
{
  MsgRolloutStep step = { .service = (char *) "s",
                          .number = number,
                          .phase = phase,
                          .trial = { .elapsed_ms = (int64_t) index, .reserved = 7 },
                          .why = (char *) "why" };

  return roll_apply_step (account, index, &step);
}

/* The answer to an order is lost, and its operator sends it again, to another voter, after a change
 * of charge, or after the end. Each time it is acknowledged, and nothing begins twice. */
static void
order_again_begins_nothing (void)
{
  RolloutTable *account = roll_new ();

  g_assert_cmpint (roll_check (account, "s", "v2", false), ==, ROLL_NEW);
  g_assert_true (order (account, 5, "v2", 0));
  g_assert_cmpint (roll_check (account, "s", "v2", false), ==, ROLL_KNOWN);
  g_assert_cmpint (roll_check (account, "s", "v3", false), ==, ROLL_BUSY);
  g_assert_false (order (account, 6, "v2", 0)); /* proposed twice, by two voters */
  g_assert_false (order (account, 7, "v3", 5)); /* another is under way */
  g_assert_true (step_to (account, 8, 5, MSG_ROLLOUT_ROLLED_BACK));
  g_assert_false (order (account, 9, "v2", 0)); /* late: its proposer knew of none */
  g_assert_cmpint (roll_check (account, "s", "v2", true), ==, ROLL_KNOWN);
  g_assert_cmpint (roll_check (account, "s", "v2", false), ==, ROLL_NEW);
  g_assert_true (order (account, 10, "v2", 5)); /* tried anew, long after */
  g_assert_true (step_to (account, 11, 10, MSG_ROLLOUT_MOVING));
  g_assert_true (step_to (account, 12, 10, MSG_ROLLOUT_COMPLETED));
  g_assert_cmpint (roll_check (account, "s", "v2", false), ==, ROLL_KNOWN);
  g_assert_cmpint (roll_check (account, "s", "v3", false), ==, ROLL_NEW);
  roll_free (account);
}

/* A voter that was in charge wakes and proposes an older step. What was rolled back or completed
 * stays so, and a step of an earlier order moves nothing. */
static void
ends_are_for_good (void)
{
  RolloutTable *account = roll_new ();

  order (account, 1, "v2", 0);
  g_assert_true (step_to (account, 2, 1, MSG_ROLLOUT_MOVING));
  g_assert_false (step_to (account, 3, 1, MSG_ROLLOUT_TRYING));
  g_assert_true (step_to (account, 4, 1, MSG_ROLLOUT_ROLLED_BACK));
  g_assert_false (step_to (account, 5, 1, MSG_ROLLOUT_COMPLETED));
  g_assert_false (step_to (account, 5, 1, MSG_ROLLOUT_ROLLED_BACK));
  g_assert_true (order (account, 6, "v3", 1));
  g_assert_false (step_to (account, 7, 1, MSG_ROLLOUT_COMPLETED));
  g_assert_cmpint (roll_find (account, "s")->phase, ==, MSG_ROLLOUT_TRYING);
  roll_free (account);
}

/* Everything loses power in the middle of a roll-out: a voter starts from its snapshot. The order,
 * its phase and what was spent are there. */
static void
snapshot_holds_it (void)
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
  const MsgRollout *held = roll_find (state_rollouts (later), "s");
  g_assert_nonnull (held);
  g_assert_cmpstr (held->target, ==, "v2");
  g_assert_cmpstr (held->before, ==, "v1");
  g_assert_cmpint (held->phase, ==, MSG_ROLLOUT_MOVING);
  g_assert_cmpint (held->trial.elapsed_ms, ==, 6000);
  g_assert_cmpuint (held->trial.reserved, ==, 90);
  g_assert_cmpuint (roll_index (state_rollouts (later)), ==, 5);
  g_byte_array_unref (bytes);
  state_free (state);
  state_free (later);
}

/* A voter is started with a newer program on a snapshot that knows no roll-outs yet, but contents
 * under which servers ended. It takes part, and keeps these. */
static void
older_snapshot_has_none (void)
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
  g_byte_array_set_size (bytes, bytes->len - 12); /* what the older program did not write */
  g_assert_cmpint (state_restore (later, bytes->data, bytes->len), ==, FT_OK);
  g_assert_nonnull (crashes_find (state_crashes (later), content));
  g_assert_cmpuint (roll_index (state_rollouts (later)), ==, 0);
  g_byte_array_set_size (bytes, bytes->len - 4); /* cut in the middle of what it did write */
  g_assert_cmpint (state_restore (later, bytes->data, bytes->len), ==, FT_CORRUPT);
  g_byte_array_unref (bytes);
  state_free (state);
  state_free (later);
}

/* ---- The plan ---- */

static const PlanLimits limits = { 0.1, 50 };

static PlanInput
facts_at (int64_t elapsed_us)
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
                      .answers = placed / 20 };
}

/* 300 requests a second for a service, a limit of 12 s, answers of up to 3 s. The version is tried
 * with a small part, is moved to in time for the others' answers to end before the limit, and never
 * has had more than it may if it turns out to be bad. */
static void
trial_then_move_in_time (void)
{
  unsigned granted = 0, moved_ms = 0;
  PlanStep step;

  for (int64_t at = 0; moved_ms == 0; at += 20 * FT_MS)
    {
      PlanInput facts = facts_at (at);
      facts.granted = granted;
      facts.answers = granted;
      plan_next (&limits, &facts, &step);
      g_assert_cmpfloat (granted, <=, 0.1 * facts.placed + 50);
      g_assert_cmpint (step.phase, !=, MSG_ROLLOUT_ROLLED_BACK);
      granted += MIN (step.left, (unsigned) (300 * 0.02 * step.share + 0.99));
      if (step.phase == MSG_ROLLOUT_MOVING)
        moved_ms = (unsigned) (at / FT_MS);
      g_assert_cmpint (at, <, 12 * FT_SECOND);
    }
  g_assert_cmpuint (moved_ms, >=, 6000);
  g_assert_cmpuint (moved_ms, <=, 12000 - 3000 - 500);
}

/* Requests still run on servers of other versions as everything has moved. These stop at once when
 * the roll-out is completed, so it is not; at the limit what may run once only is waited for. */
static void
completes_when_nothing_runs (void)
{
  PlanInput facts = facts_at (13 * FT_SECOND);
  PlanStep step;

  facts.phase = MSG_ROLLOUT_MOVING;
  facts.phase_us = 2 * FT_SECOND;
  facts.running_before = facts.once_before = 1;
  plan_next (&limits, &facts, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_MOVING);
  facts.once_before = 0; /* a stream that can go on elsewhere, and the limit is over */
  plan_next (&limits, &facts, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_COMPLETED);
  facts.elapsed_us = 9 * FT_SECOND; /* there is time for it to end */
  plan_next (&limits, &facts, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_MOVING);
  facts.elapsed_us = 13 * FT_SECOND;
  facts.running_before = 0;
  plan_next (&limits, &facts, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_COMPLETED);
  facts.elapsed_us = 9 * FT_SECOND;
  facts.unheard = 1; /* what it runs is not known */
  plan_next (&limits, &facts, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_MOVING);
  facts.unheard = 0;
  facts.elapsed_us = 9 * FT_SECOND;
  facts.suspicion = 0.7; /* there is time to know better */
  plan_next (&limits, &facts, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_MOVING);
  facts.suspicion = 1;
  plan_next (&limits, &facts, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_ROLLED_BACK);
}

/* No server of the version comes, or too few for the load, or it is not shown to be sound. Nothing
 * moves, and at the limit it is rolled back for that reason. */
static void
rolls_back_what_cannot_move (void)
{
  PlanInput facts = facts_at (8 * FT_SECOND);
  PlanStep step;

  facts.places = 100;
  plan_next (&limits, &facts, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_TRYING);
  facts.elapsed_us = 12 * FT_SECOND;
  plan_next (&limits, &facts, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_ROLLED_BACK);
  g_assert_cmpstr (step.why, ==, "its servers have too little capacity for the load");
  facts.servers = 0;
  plan_next (&limits, &facts, &step);
  g_assert_cmpstr (step.why, ==, "no server of the version was available in time");
  facts = facts_at (8 * FT_SECOND);
  facts.after = facts.before = 0.4; /* nothing can be told while both fail */
  plan_next (&limits, &facts, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_TRYING);
  facts = facts_at (12 * FT_SECOND);
  facts.answers = 3;
  plan_next (&limits, &facts, &step);
  g_assert_cmpstr (step.why, ==, "it was not shown to be sound in time");
}

/* Nobody asks for the service: nobody can be hurt, so it moves all the same. */
static void
idle_service_moves (void)
{
  PlanInput facts = facts_at (11 * FT_SECOND);
  PlanStep step;

  facts.placed = facts.granted = facts.answers = 0;
  plan_next (&limits, &facts, &step);
  g_assert_cmpint (step.phase, ==, MSG_ROLLOUT_MOVING);
}

/* ---- The judge ---- */

typedef struct
{
  TestClock clock;
  Judge *judge;
  GRand *rand;
} Court;

static Court *
court_new (guint32 seed)
{
  Court *court = g_new0 (Court, 1);

  court->clock = test_clock ();
  court->judge = judge_new (&court->clock.base, JUDGE_CUSUM);
  judge_set_servers (court->judge, 4);
  court->rand = g_rand_new_with_seed (seed);
  return court;
}

static void
court_free (Court *court)
{
  judge_free (court->judge);
  g_rand_free (court->rand);
  g_free (court);
}

typedef struct
{
  double before, after; /* share of bad answers of both versions */
  double one_server;    /* of the ordered version's first server */
  double one_route;     /* of the ordered version on the first route */
} Badness;

/* 300 requests a second over five routes, every sixteenth to four servers of the version. Returns
 * how many of them it took to condemn it; 0: it was not. */
static unsigned
try_for (Court *court, double seconds, Badness bad)
{
  unsigned answers = 0;

  for (unsigned i = 0; i < 300 * seconds; i++)
    {
      JudgeResult facts;
      JudgeAnswer answer = { .route = 1 + i % 5, .ordered = i % 16 == 0 };
      answer.server = (answer.ordered ? 1 : 100) + (guint32) g_rand_int_range (court->rand, 0, 4);
      double share = answer.ordered ? bad.after : bad.before;
      if (answer.ordered && answer.server == 1)
        share = MAX (share, bad.one_server);
      if (answer.ordered && answer.route == 1)
        share = MAX (share, bad.one_route);
      answer.bad = g_rand_double (court->rand) < share;
      court->clock.now += FT_SECOND / 300;
      judge_add_answer (court->judge, &answer);
      answers += answer.ordered;
      judge_get_result (court->judge, &facts);
      if (facts.suspicion >= 1)
        return answers;
    }
  return 0;
}

/* A version fails half of its requests, or all on one route. It is condemned by few answers. */
static void
bad_versions_are_condemned (void)
{
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      Court *court = court_new (seed);
      unsigned took = try_for (court, 6, (Badness){ .before = 0.01, .after = 0.5 });
      g_assert_cmpuint (took, >, 0);
      g_assert_cmpuint (took, <=, 50);
      court_free (court);
      court = court_new (seed);
      took = try_for (court, 6, (Badness){ .before = 0.01, .after = 0.01, .one_route = 1 });
      g_assert_cmpuint (took, >, 0);
      court_free (court);
    }
}

/* A version is sound for four seconds and fails half of its requests then. What it did before does
 * not save it. */
static void
version_that_turns_bad (void)
{
  Court *court = court_new (1);

  g_assert_cmpuint (try_for (court, 4, (Badness){ .before = 0.01, .after = 0.01 }), ==, 0);
  unsigned took = try_for (court, 2, (Badness){ .before = 0.01, .after = 0.5 });
  g_assert_cmpuint (took, >, 0);
  g_assert_cmpuint (took, <=, 50);
  court_free (court);
}

/* One server of the version fails all it gets, or all servers of both versions fail half for some
 * seconds, or a tenth always. None of that is the version's fault. */
static void
sound_versions_are_not (void)
{
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      Court *court = court_new (seed);
      g_assert_cmpuint (
          try_for (court, 6, (Badness){ .before = 0.01, .after = 0.01, .one_server = 1 }), ==, 0);
      court_free (court);
      court = court_new (seed);
      g_assert_cmpuint (try_for (court, 2, (Badness){ .before = 0.01, .after = 0.01 }), ==, 0);
      g_assert_cmpuint (try_for (court, 4, (Badness){ .before = 0.45, .after = 0.45 }), ==, 0);
      court_free (court);
      court = court_new (seed);
      g_assert_cmpuint (try_for (court, 6, (Badness){ .before = 0.1, .after = 0.1 }), ==, 0);
      court_free (court);
    }
}

/* The voter in charge is lost in the middle. The next one goes on from what the log says, instead
 * of beginning anew. */
static void
evidence_is_taken_over (void)
{
  Court *court = court_new (1);
  JudgeResult facts;

  judge_resume (court->judge, 12, 5, 0.8);
  judge_get_result (court->judge, &facts);
  g_assert_cmpuint (facts.answers, ==, 12);
  g_assert_cmpuint (facts.bad, ==, 5);
  g_assert_cmpfloat (facts.suspicion, >, 0.79);
  court_free (court);
}

/* ---- Which servers get requests ---- */

typedef struct
{
  TestClock clock;
  Sched *sched;
  char last[8]; /* server granted last; "": refused or waiting */
  unsigned granted[4];
  unsigned judged, judged_bad;
  unsigned slots, prompt_tokens;
  uint64_t asked;
  Judge *judge; /* hears of every answer; NULL: none */
} Pool;

static void
on_grant (void *host, uint64_t owner, uint64_t request, const char *org, const char *server,
          int64_t max_idle_us)
{
  Pool *pool = host;

  (void) owner;
  (void) request;
  (void) org;
  (void) max_idle_us;
  g_strlcpy (pool->last, server, sizeof pool->last);
  pool->granted[server[1] - '0']++;
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
on_believes (void *host, const char *server, bool out, const char *why, int64_t for_us)
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
  Pool *pool = host;

  pool->judged++;
  pool->judged_bad += judged->bad;
  if (pool->judge)
    judge_add_answer (pool->judge,
                      &(JudgeAnswer){ judged->route, sched_server_digest (judged->server),
                                      judged->ordered, judged->bad });
  g_assert_cmpint (judged->ordered, ==, judged->server[1] >= '2');
}

static const SchedOps sched_ops = { on_grant, on_refuse, on_unused, on_believes, on_judged, NULL };

#define ROUTES 3

/* s0 and s1 have one version, s2 and s3 another; listed: a bit for each. */
static void
list_servers (Pool *pool, unsigned listed)
{
  static const char *const ids[] = { "s0", "s1", "s2", "s3" };
  SchedServer list[4];
  unsigned count = 0;

  for (unsigned i = 0; i < 4; i++)
    if (listed >> i & 1)
      list[count++] = (SchedServer){ ids[i], "s", "d", pool->slots, false, 0, i < 2 ? "v1" : "v2" };
  sched_set_servers (pool->sched, list, count);
}

static Pool *
pool_new (unsigned listed)
{
  Pool *pool = g_new0 (Pool, 1);

  pool->clock = test_clock ();
  pool->slots = 4;
  pool->sched = sched_new (&pool->clock.base, &sched_ops, pool);
  sched_set_service (pool->sched, "s", &(SchedServiceConf){ 0 });
  list_servers (pool, listed);
  return pool;
}

static void
pool_free (Pool *pool)
{
  sched_free (pool->sched);
  g_free (pool);
}

static void
ask_one (Pool *pool, uint64_t number)
{
  int64_t now = pool->clock.now;
  SchedAsk ask = { .owner = 1,
                   .request = number,
                   .service = "s",
                   .org = "o",
                   .prompt_tokens = pool->prompt_tokens,
                   .route = 1 + (unsigned) (number % ROUTES),
                   .aim_at = now + FT_SECOND,
                   .limit_at = now + FT_SECOND,
                   .end_at = now + 2 * FT_SECOND };

  *pool->last = '\0';
  sched_ask (pool->sched, &ask);
}

static void
run_many (Pool *pool, unsigned count, int64_t took_us)
{
  static uint64_t number;

  memset (pool->granted, 0, sizeof pool->granted);
  for (unsigned i = 0; i < count; i++)
    {
      SchedResult result = { .outcome = SCHED_OK, .answer_us = took_us };
      ask_one (pool, ++number);
      pool->clock.now += took_us;
      sched_first_event (pool->sched, 1, number, took_us);
      sched_done (pool->sched, 1, number, &result);
      sched_tick (pool->sched);
    }
}

static unsigned
granted_new (const Pool *pool)
{
  return pool->granted[2] + pool->granted[3];
}

/* Servers of a version that nobody ordered stand in the list. They get no request, not even when
 * all others are busy; only when no other is listed are they what there is. */
static void
unordered_version_gets_nothing (void)
{
  Pool *pool = pool_new (3);

  list_servers (pool, 15);
  for (unsigned i = 1; i <= 12; i++)
    ask_one (pool, 1000 + i);
  g_assert_cmpuint (granted_new (pool), ==, 0);
  sched_owner_gone (pool->sched, 1);
  list_servers (pool, 12);
  run_many (pool, 10, 20 * FT_MS);
  g_assert_cmpuint (granted_new (pool), ==, 10);
  pool_free (pool);
}

/* A service starts with a list of thousands of servers, a few of them of a version that nobody has
 * ordered, named first. An instance with a part of a processor that compares each with each takes
 * half a second before it serves anybody; one pass finds the version of most. */
static void
version_of_most_is_used (void)
{
  enum
  {
    MANY = 20000,
    ODD = 3
  };
  Pool *pool = pool_new (0);
  SchedServer *list = g_new0 (SchedServer, MANY);
  char (*ids)[16] = g_malloc0 (MANY * sizeof *ids);

  for (unsigned i = 0; i < MANY; i++)
    {
      g_snprintf (ids[i], sizeof ids[i], "%c0-%u", i < ODD ? 's' : 't', i);
      list[i] = (SchedServer){ ids[i], "s", "d", 4, false, 0, i < ODD ? "v0" : "v1" };
    }
  sched_set_servers (pool->sched, list, MANY);
  SchedServiceStats stats;
  sched_service_stats (pool->sched, "s", &stats);
  g_assert_cmpstr (stats.in_use, ==, "v1");
  g_assert_cmpuint (stats.used.servers, ==, MANY - ODD);
  g_free (ids);
  g_free (list);
  pool_free (pool);
}

/* A trial: a tenth of each route's requests goes to the version, and no more than are left. They
 * are so few that one server would hold them all; both get some, so that one that fails by itself
 * can be told from a bad version. */
static void
trial_gets_its_share (void)
{
  Pool *pool = pool_new (15);
  SchedVersions trial = { "v1", "v2", "v2", 0.1, 1000, false, true };

  sched_set_versions (pool->sched, "s", &trial);
  run_many (pool, 400, 20 * FT_MS);
  g_assert_cmpuint (granted_new (pool), >=, 38);
  g_assert_cmpuint (granted_new (pool), <=, 40);
  g_assert_cmpuint (pool->granted[2], >=, 15);
  g_assert_cmpuint (pool->granted[3], >=, 15);
  trial.left = 3;
  sched_set_versions (pool->sched, "s", &trial);
  run_many (pool, 400, 20 * FT_MS);
  g_assert_cmpuint (granted_new (pool), ==, 3);
  g_assert_cmpuint (pool->judged, ==, 800);
  g_assert_cmpuint (pool->judged_bad, ==, 0);
  pool_free (pool);
}

/* What comes after a trial: after the move the servers of the version before get nothing, after a
 * roll-back those of the new one, even if no other is listed. */
static void
after_the_verdict (void)
{
  Pool *pool = pool_new (15);

  sched_set_versions (pool->sched, "s", &(SchedVersions){ "v2", "v1", "v2", 0, 0, false, false });
  run_many (pool, 20, 20 * FT_MS);
  g_assert_cmpuint (granted_new (pool), ==, 20);
  sched_set_versions (pool->sched, "s", &(SchedVersions){ "v1", "v2", "v2", 0, 0, false, false });
  run_many (pool, 20, 20 * FT_MS);
  g_assert_cmpuint (granted_new (pool), ==, 0);
  list_servers (pool, 12);
  ask_one (pool, 5000);
  g_assert_cmpstr (pool->last, ==, "");
  pool_free (pool);
}

/* An entry was cut off while a trial ran, and the move was completed meanwhile: its list shows
 * servers of the new version alone. It goes on with these. */
static void
cut_off_entry_follows (void)
{
  Pool *pool = pool_new (15);

  sched_set_versions (pool->sched, "s", &(SchedVersions){ "v1", "v2", "v2", 0, 0, true, false });
  run_many (pool, 20, 20 * FT_MS);
  g_assert_cmpuint (granted_new (pool), ==, 0);
  list_servers (pool, 12);
  run_many (pool, 20, 20 * FT_MS);
  g_assert_cmpuint (granted_new (pool), ==, 20);
  pool_free (pool);
}

/* A version answers five times as slowly. Its answers are judged bad, those of the others are not;
 * one that does not come at all is judged before its caller's time is over. */
static void
slow_answers_are_bad (void)
{
  Pool *pool = pool_new (15);

  sched_set_versions (pool->sched, "s", &(SchedVersions){ "v1", "v2", "v2", 0.1, 0, false, true });
  run_many (pool, 100, 40 * FT_MS);
  g_assert_cmpuint (pool->judged_bad, ==, 0);
  sched_set_versions (pool->sched, "s", &(SchedVersions){ "v2", "v1", "v2", 0, 0, false, true });
  run_many (pool, 10, 200 * FT_MS);
  g_assert_cmpuint (pool->judged_bad, ==, 10);
  ask_one (pool, 9000);
  pool->clock.now += 400 * FT_MS;
  sched_tick (pool->sched);
  g_assert_cmpuint (pool->judged_bad, ==, 11);
  pool_free (pool);
}

/* Another voter takes charge in the move, and its scheduler has no answer of the version before to
 * compare with. Events of a sound version come less often than is assumed of unknown servers; that
 * alone is no reason to roll back. A stream of the version before that ends tells what is slow. */
static void
nothing_known_is_no_evidence (void)
{
  Pool *pool = pool_new (15);
  SchedResult usual = { .outcome = SCHED_OK, .event_us = 25 * FT_MS };
  SchedResult slow = { .outcome = SCHED_OK, .event_us = 100 * FT_MS };
  SchedAsk old = { .owner = 1, .request = 50, .service = "s", .org = "o" };

  sched_set_service (pool->sched, "s", &(SchedServiceConf){ .engine = true, .stride = 1 });
  sched_set_versions (pool->sched, "s", &(SchedVersions){ "v2", "v1", "v2", 0, 0, false, true });
  sched_adopt (pool->sched, &old, "s0");
  sched_tick (pool->sched);
  for (uint64_t number = 1; number <= 10; number++)
    {
      ask_one (pool, number);
      sched_first_event (pool->sched, 1, number, 300 * FT_MS);
      sched_done (pool->sched, 1, number, &usual);
    }
  g_assert_cmpuint (pool->judged, ==, 10);
  g_assert_cmpuint (pool->judged_bad, ==, 0);
  sched_done (pool->sched, 1, old.request, &usual);
  sched_tick (pool->sched);
  ask_one (pool, 11);
  sched_done (pool->sched, 1, 11, &slow);
  g_assert_cmpuint (pool->judged_bad, ==, 1);
  pool_free (pool);
}

static void
answer_in (Pool *pool, uint64_t number, int64_t took_us)
{
  SchedResult result = { .outcome = SCHED_OK, .answer_us = took_us };

  ask_one (pool, number);
  pool->clock.now += took_us;
  sched_done (pool->sched, 1, number, &result);
  sched_tick (pool->sched);
}

/* Answers of one route of a plain service take eight times as long as those of the others, of both
 * versions. When everything moves the latest answers were short ones; what is long is judged by its
 * own route, and only what takes longer than there is slow. */
static void
long_route_is_not_slow (void)
{
  Pool *pool = pool_new (13);
  uint64_t number = 0;

  sched_set_versions (pool->sched, "s",
                      &(SchedVersions){ "v1", "v2", "v2", 0.1, 100, false, true });
  while (number < 50 * ROUTES)
    {
      number++;
      answer_in (pool, number, number % ROUTES ? 20 * FT_MS : 160 * FT_MS);
    }
  for (unsigned i = 0; i < 10; i++)
    answer_in (pool, ++number * ROUTES + 1, 20 * FT_MS);
  unsigned bad = pool->judged_bad;
  sched_set_versions (pool->sched, "s", &(SchedVersions){ "v2", "v1", "v2", 0, 0, false, true });
  for (unsigned i = 0; i < 10; i++)
    answer_in (pool, ++number * ROUTES, 160 * FT_MS);
  g_assert_cmpuint (pool->judged_bad, ==, bad);
  for (unsigned i = 0; i < 10; i++)
    answer_in (pool, ++number * ROUTES, 600 * FT_MS);
  g_assert_cmpuint (pool->judged_bad, ==, bad + 10);
  pool_free (pool);
}

/* ---- Answers of both versions at the same time ---- */

#define PLAYED    (7 * FT_SECOND)
#define ORDER_AT  (1 * FT_SECOND)
#define BUSY_AT   (3 * FT_SECOND) /* the machine is busy from then on */
#define ASKS      300             /* a second */
#define TAIL_PART 0.03
#define TAIL      5
#define STREAMED  5   /* times as long an engine's answer takes */
#define MILLIS    100 /* an answer's time on an idle machine */
#define UNDER_WAY 2048
#define PROMPT    1 /* so that prompts of one server hardly wait for each other */
#define TOKENS    10

typedef struct
{
  double share;  /* of the requests, on the ordered version */
  bool engine;   /* answers are streams of TOKENS, the first of them after a fifth of the time */
  bool uneven;   /* routes differ, and a few answers of either version take TAIL times as long */
  bool busy;     /* answers of both versions take 2.5 to 3.5 times as long from BUSY_AT on */
  double slower; /* the ordered version's answers take so many times as long, and if it is busy
                    from BUSY_AT on */
} Play;

typedef struct
{
  uint64_t number; /* 0: none */
  int64_t sent_at, first_at, due_at;
} Sent;

static int64_t
time_of (const Play *play, GRand *rand, uint64_t number, bool ordered, int64_t at)
{
  double took = MILLIS * (double) FT_MS * g_rand_double_range (rand, 0.8, 1.2);

  if (play->engine)
    took *= STREAMED;
  if (play->uneven)
    took *= 0.5 + 0.5 * (double) (number % ROUTES);
  if (play->uneven && g_rand_double (rand) < TAIL_PART)
    took *= TAIL;
  if (play->busy && at >= BUSY_AT)
    took *= g_rand_double_range (rand, 2.5, 3.5);
  if (ordered && (!play->busy || at >= BUSY_AT))
    took *= play->slower;
  return (int64_t) took;
}

static void
go_on (Pool *pool, Sent *sent, bool engine)
{
  int64_t now = pool->clock.now, took = now - sent->sent_at;
  SchedResult result = { .outcome = SCHED_OK, .answer_us = took };

  if (engine)
    result.event_us = (now - sent->first_at) / TOKENS;
  if (sent->first_at == 0
      && now >= (engine ? sent->sent_at + (sent->due_at - sent->sent_at) / 5 : sent->due_at))
    {
      sent->first_at = now;
      sched_first_event (pool->sched, 1, sent->number, took);
    }
  if (now < sent->due_at)
    return;
  sched_done (pool->sched, 1, sent->number, &result);
  sent->number = 0;
}

static void
send_one (Pool *pool, const Play *play, GRand *rand, Sent *sent, int64_t at)
{
  int64_t now = pool->clock.now;

  ask_one (pool, ++pool->asked);
  g_assert_cmpstr (pool->last, !=, "");
  while (sent->number)
    sent++;
  *sent = (Sent){ pool->asked, now, 0,
                  now + time_of (play, rand, pool->asked, pool->last[1] >= '2', at) };
}

/* Returns how many answers of the ordered version condemned it; 0: it was not. */
static unsigned
play_trial (const Play *play, guint32 seed)
{
  Pool *pool = pool_new (0);
  Sent sent[UNDER_WAY] = { { 0 } };
  GRand *rand = g_rand_new_with_seed (seed);
  JudgeResult facts = { 0 };

  pool->slots = UNDER_WAY / 4;
  pool->prompt_tokens = play->engine ? PROMPT : 0;
  sched_set_service (pool->sched, "s", &(SchedServiceConf){ .engine = play->engine, .stride = 1 });
  list_servers (pool, 15);
  SchedVersions trial = { "v1", "v2", "v2", 0, 10000, false, true };
  sched_set_versions (pool->sched, "s", &trial);
  pool->judge = judge_new (&pool->clock.base, JUDGE_CUSUM);
  judge_set_servers (pool->judge, 2);
  for (int64_t at = 0, asked = 0; at < PLAYED && facts.suspicion < 1; at += FT_MS)
    {
      pool->clock.now += FT_MS;
      if (at == ORDER_AT)
        {
          trial.share = play->share;
          sched_set_versions (pool->sched, "s", &trial);
        }
      for (unsigned i = 0; i < UNDER_WAY; i++)
        if (sent[i].number)
          go_on (pool, &sent[i], play->engine);
      for (; asked * FT_SECOND < at * ASKS; asked++)
        send_one (pool, play, rand, sent, at);
      if (at % (20 * FT_MS) == 0)
        sched_tick (pool->sched);
      judge_get_result (pool->judge, &facts);
    }
  unsigned took = facts.suspicion >= 1 ? facts.answers : 0;
  judge_free (pool->judge);
  g_rand_free (rand);
  pool_free (pool);
  return took;
}

/* The machine becomes busy in the middle of a trial, and answers of both versions take longer. A
 * judge that compares them with what the version before took until then, or looks at one version
 * first, condemns a sound one. */
static void
busy_machine_condemns_nothing (void)
{
  static const Play plays[] = {
    { .share = 0.06, .busy = true, .slower = 1 },
    { .share = 0.5, .busy = true, .slower = 1 },
    { .share = 0.06, .engine = true, .uneven = true, .busy = true, .slower = 1 },
    { .share = 0.5, .engine = true, .uneven = true, .busy = true, .slower = 1 },
  };

  for (guint32 seed = 1; seed <= 20; seed++)
    for (unsigned i = 0; i < G_N_ELEMENTS (plays); i++)
      g_assert_cmpuint (play_trial (&plays[i], seed), ==, 0);
}

/* A version is slower by itself, always or since the machine became busy. Compared with the version
 * before at the same time it is still condemned by the first few slow answers. */
static void
slower_version_is_condemned (void)
{
  enum
  {
    FEW = 10,
    SOUND = (int) ((BUSY_AT - ORDER_AT) / FT_SECOND * ASKS * 6 / 100)
  };
  static const Play always[] = {
    { .share = 0.06, .slower = 4 },
    { .share = 0.5, .slower = 4 },
    { .share = 0.06, .engine = true, .uneven = true, .slower = 4 },
    { .share = 0.5, .engine = true, .uneven = true, .slower = 4 },
  };
  static const Play later[] = {
    { .share = 0.06, .busy = true, .slower = 4 },
    { .share = 0.06, .engine = true, .uneven = true, .busy = true, .slower = 4 },
  };

  for (guint32 seed = 1; seed <= 20; seed++)
    {
      for (unsigned i = 0; i < G_N_ELEMENTS (always); i++)
        {
          unsigned took = play_trial (&always[i], seed);
          g_assert_cmpuint (took, >, 0);
          g_assert_cmpuint (took, <=, FEW);
        }
      for (unsigned i = 0; i < G_N_ELEMENTS (later); i++)
        {
          unsigned took = play_trial (&later[i], seed);
          g_assert_cmpuint (took, >, 0);
          g_assert_cmpuint (took, <=, SOUND + FEW);
        }
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rollout/again", order_again_begins_nothing);
  g_test_add_func ("/rollout/for_good", ends_are_for_good);
  g_test_add_func ("/rollout/snapshot", snapshot_holds_it);
  g_test_add_func ("/rollout/older_snapshot", older_snapshot_has_none);
  g_test_add_func ("/rollout/in_time", trial_then_move_in_time);
  g_test_add_func ("/rollout/completes", completes_when_nothing_runs);
  g_test_add_func ("/rollout/cannot_move", rolls_back_what_cannot_move);
  g_test_add_func ("/rollout/idle", idle_service_moves);
  g_test_add_func ("/judge/bad", bad_versions_are_condemned);
  g_test_add_func ("/judge/turns_bad", version_that_turns_bad);
  g_test_add_func ("/judge/sound", sound_versions_are_not);
  g_test_add_func ("/judge/taken_over", evidence_is_taken_over);
  g_test_add_func ("/versions/unordered", unordered_version_gets_nothing);
  g_test_add_func ("/versions/most", version_of_most_is_used);
  g_test_add_func ("/versions/trial", trial_gets_its_share);
  g_test_add_func ("/versions/after", after_the_verdict);
  g_test_add_func ("/versions/cut_off", cut_off_entry_follows);
  g_test_add_func ("/versions/slow", slow_answers_are_bad);
  g_test_add_func ("/versions/unknown", nothing_known_is_no_evidence);
  g_test_add_func ("/versions/long_route", long_route_is_not_slow);
  g_test_add_func ("/versions/busy", busy_machine_condemns_nothing);
  g_test_add_func ("/versions/slower", slower_version_is_condemned);
  return g_test_run ();
}
