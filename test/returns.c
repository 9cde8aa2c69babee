/* returns.c - tests of capacity reserved for refused callers, at an organisation's limit and at
 * the places of a service, with a simulated clock. Callers return when advised, retry at once,
 * or never return. */
#include "engines.h"
#include "returns.h"

#define RATE           30000.0 /* tokens a second, and burst */
#define COST           1000.0
#define CALLER_TIME_US (10 * FT_SECOND)
#define CALLERS_MAX    4000
#define SHARE          0.25

typedef enum
{
  RETURNS_AS_ADVISED, /* returns at the advised time, or after a third of its remaining time if that
                         is earlier */
  RETRIES_AT_ONCE,    /* retries every 10 ms */
  NEVER_RETURNS
} Behaviour;

typedef struct
{
  uint64_t content;
  Behaviour behaviour;
  int64_t arrived_at, end_at, next_at, served_at;
  bool refused, promised, done, served, in_time;
  unsigned refusals;
  int request; /* -1: no request is open */
} Caller;

typedef struct
{
  unsigned callers, served, in_time, refusals;
  unsigned promised_in_time, returned,
      returned_served; /* callers that returned when advised, and how many of them were served */
  unsigned promised, promised_served;               /* the same, for callers with a reservation */
  unsigned by_behaviour[3], served_by_behaviour[3]; /* served while the load lasted */
  double promised_cost;
} Totals;

static Caller callers[CALLERS_MAX];
static unsigned caller_count;

static void
reset_callers (void)
{
  caller_count = 0;
}

static Caller *
new_caller (int64_t now, Behaviour behaviour)
{
  Caller *caller = &callers[caller_count++];

  g_assert_cmpuint (caller_count, <, CALLERS_MAX);
  *caller = (Caller){ .content = caller_count,
                      .behaviour = behaviour,
                      .arrived_at = now,
                      .end_at = now + CALLER_TIME_US,
                      .next_at = now,
                      .request = -1 };
  return caller;
}

/* Decides when a refused caller returns. The answer takes 2 to 21 ms to reach it. */
static void
on_refusal (Caller *caller, int64_t now, int64_t advice_us, bool promised, uint64_t number)
{
  int64_t third = (caller->end_at - now) / RET_WAIT_DIVISOR;
  int64_t delay = 2 * FT_MS + (int64_t) (number * 2654435761u % 20) * FT_MS;

  caller->refusals++;
  caller->refused = true;
  caller->promised = promised;
  caller->next_at
      = now + (caller->behaviour == RETRIES_AT_ONCE ? 10 * FT_MS : MIN (advice_us, third) + delay);
  caller->done
      = caller->behaviour == NEVER_RETURNS || caller->next_at + 50 * FT_MS > caller->end_at;
}

static void
count_return (Totals *total, const Caller *caller, bool served)
{
  if (!caller->refused || caller->behaviour == RETRIES_AT_ONCE)
    return;
  total->returned++;
  total->returned_served += served;
  total->promised += caller->promised;
  total->promised_served += caller->promised && served;
}

static void
count_callers (Totals *total, int64_t load_until)
{
  for (unsigned i = 0; i < caller_count; i++)
    {
      const Caller *caller = &callers[i];
      total->callers++;
      total->served += caller->served;
      total->in_time += caller->in_time;
      total->refusals += caller->refusals;
      total->promised_in_time += caller->promised && caller->in_time;
      total->by_behaviour[caller->behaviour]++;
      total->served_by_behaviour[caller->behaviour]
          += caller->served && caller->served_at <= load_until;
    }
}

static void
report (const char *what, double share, const Totals *total)
{
  g_test_message (
      "%s, share %.2f: %u of %u callers served (%u on time), %.2f refusals a caller "
      "served; returned when advised: %u of %u served; with a reservation: %u of %u (%u on time)",
      what, share, total->served, total->callers, total->in_time,
      (double) total->refusals / MAX (total->served, 1), total->returned_served, total->returned,
      total->promised_served, total->promised, total->promised_in_time);
}

/* ---- Reservations at a limit ---- */

typedef struct
{
  TestClock clock;
  Quota *quota;
  Returns *ret;
} LimitModel;

static void
limit_begin (LimitModel *limit, double share)
{
  reset_callers ();
  limit->clock = test_clock ();
  limit->quota = quota_new (&limit->clock.base);
  limit->ret = ret_new (&limit->clock.base, RET_MAX_RESERVATIONS);
  ret_set_share (limit->ret, share);
  quota_set_limit (limit->quota, "o", RATE, RATE);
}

static void
limit_end (LimitModel *limit)
{
  ret_free (limit->ret);
  quota_free (limit->quota);
}

static bool
take (LimitModel *limit, uint64_t content, unsigned rank, int64_t end_at, int64_t *wait,
      RetAdvice *advice)
{
  RetRequest ask = { "o", content, COST, rank, end_at, 0 };

  return ret_take_tokens (limit->ret, limit->quota, &ask, wait, advice);
}

/* Tokens must not be reserved for an answer that would be late: either the reserved time is of
 * use to the caller, or nothing is reserved. */
static void
reserved_time_is_useful (void)
{
  LimitModel limit;
  int64_t wait = 0;
  RetAdvice advice = RET_NO_RESERVATION;

  limit_begin (&limit, 0.25);
  for (uint64_t content = 1; advice == RET_NO_RESERVATION; content++)
    take (&limit, content, 0, limit.clock.now + 10 * FT_SECOND, &wait, &advice);
  g_assert_cmpint (advice, ==, RET_RESERVED);
  RetRequest ask = { "o", 1000, COST, 0, limit.clock.now + 10 * FT_SECOND, limit.clock.now + wait };
  g_assert_false (ret_take_tokens (limit.ret, limit.quota, &ask, &wait, &advice));
  g_assert_cmpint (advice, ==, RET_TOO_LATE);
  ask = (RetRequest){ "o", 1001, COST, 0, ask.end_at, limit.clock.now + 2 * wait };
  g_assert_false (ret_take_tokens (limit.ret, limit.quota, &ask, &wait, &advice));
  g_assert_cmpint (advice, ==, RET_RESERVED);
  g_assert_cmpint (limit.clock.now + wait, <=, ask.useful_until);
  limit_end (&limit);
}

static void
submit_at_limit (LimitModel *limit, Caller *caller, uint64_t number, Totals *total)
{
  int64_t now = limit->clock.now, wait;
  RetAdvice advice;
  bool served = take (limit, caller->content, 0, caller->end_at, &wait, &advice);

  count_return (total, caller, served);
  if (served && caller->promised)
    total->promised_cost += COST;
  caller->served = served;
  caller->served_at = now;
  caller->in_time = served && now - caller->arrived_at <= 500 * FT_MS;
  if (served)
    caller->done = true;
  else
    on_refusal (caller, now, MIN (wait, caller->end_at - now) / FT_MS * FT_MS,
                advice == RET_RESERVED, number);
}

/* per_s callers per second arrive for this many seconds, with random behaviours. Refused ones
 * return until their time is over. */
static Totals
run_limit (LimitModel *limit, double per_s, double seconds, const Behaviour *behaviours,
           unsigned behaviour_count)
{
  Totals total = { 0 };
  int64_t until = limit->clock.now + (int64_t) (seconds * FT_SECOND);
  uint64_t number = 0;
  double due = 0;

  for (unsigned ms = 0; limit->clock.now < until + CALLER_TIME_US; ms++)
    {
      limit->clock.now += FT_MS;
      ret_expire (limit->ret);
      if (limit->clock.now <= until)
        due += per_s / 1000;
      while (caller_count < (unsigned) due)
        new_caller (limit->clock.now,
                    behaviours[(caller_count * 2654435761u >> 16) % behaviour_count]);
      for (unsigned i = 0; i < caller_count; i++)
        {
          Caller *caller = &callers[(i + ms * 7919u) % caller_count];
          if (!caller->done && caller->next_at <= limit->clock.now)
            submit_at_limit (limit, caller, ++number, &total);
        }
    }
  count_callers (&total, until);
  return total;
}

/* One organisation sends six times its limit for 11 s. If all refused callers are told the same
 * time, they return together and are refused again, dozens of times for each one that is served. */
static void
reservations_at_limit_are_kept (void)
{
  static const Behaviour as_advised[] = { RETURNS_AS_ADVISED };
  Totals totals[2];

  for (unsigned i = 0; i < 2; i++)
    {
      LimitModel limit;
      limit_begin (&limit, i * SHARE);
      totals[i] = run_limit (&limit, 6 * RATE / COST, 11, as_advised, 1);
      report ("six times the limit for 11 s", i * SHARE, &totals[i]);
      g_assert_cmpuint (ret_counts (limit.ret)->promised, ==, totals[i].promised);
      g_assert_cmpuint (ret_counts (limit.ret)->lost, ==, 0);
      limit_end (&limit);
    }
  g_assert_cmpuint (totals[1].promised, >, 80);
  g_assert_cmpuint (totals[1].promised_served, ==, totals[1].promised);
  /* Some reservations are used after the load has ended, when no other callers arrive. */
  g_assert_cmpfloat (totals[1].promised_cost, <=, SHARE * RATE * 21);
  g_assert_cmpuint (totals[1].served * 100, >=, totals[0].served * 93);
  g_assert_cmpuint (totals[1].refusals * 5, <=, totals[0].refusals);
}

/* Every other caller retries each 10 ms. Taken for a new caller each time, it would have a
 * hundred chances per second where a waiting caller has one. */
static void
retrying_at_once_gains_nothing (void)
{
  static const Behaviour half[] = { RETURNS_AS_ADVISED, RETRIES_AT_ONCE };
  LimitModel limit;

  limit_begin (&limit, SHARE);
  Totals total = run_limit (&limit, 6 * RATE / COST, 11, half, 2);
  report ("every other caller retries at once", SHARE, &total);
  g_test_message (
      "served while the load lasts: %u of %u that return as advised, %u of %u that retry at once",
      total.served_by_behaviour[RETURNS_AS_ADVISED], total.by_behaviour[RETURNS_AS_ADVISED],
      total.served_by_behaviour[RETRIES_AT_ONCE], total.by_behaviour[RETRIES_AT_ONCE]);
  g_assert_cmpuint (total.promised_served, ==, total.promised);
  g_assert_cmpuint (total.served_by_behaviour[RETRIES_AT_ONCE] * 100, <=,
                    total.served_by_behaviour[RETURNS_AS_ADVISED] * 105);
  limit_end (&limit);
}

/* No refused caller returns. Capacity reserved for them must go to new callers, or a quarter of
 * the limit is lost. */
static void
unused_reservations_at_limit_cost_nothing (void)
{
  static const Behaviour never[] = { NEVER_RETURNS };
  unsigned served[2];

  for (unsigned i = 0; i < 2; i++)
    {
      LimitModel limit;
      limit_begin (&limit, i * SHARE);
      Totals total = run_limit (&limit, 6 * RATE / COST, 11, never, 1);
      report ("no caller returns", i * SHARE, &total);
      served[i] = total.served;
      g_assert_cmpuint (ret_counts (limit.ret)->lapsed, ==, ret_counts (limit.ret)->promised);
      g_assert_cmpfloat (ret_reserved (limit.ret, ret_resource_id ("o", 0), 9, 0), ==, 0);
      limit_end (&limit);
    }
  g_assert_cmpuint (served[1] * 100, >=, served[0] * 96);
}

static void
take_all (LimitModel *limit)
{
  int64_t wait;

  while (quota_take (limit->quota, "o", COST, 0, &wait))
    ;
}

/* Two callers with the same return time would come together and one would be refused again, so
 * each reservation has an interval of its own. A retry gets no second reservation. */
static void
return_times_are_spread (void)
{
  LimitModel limit;
  RetAdvice advice;
  int64_t wait, before = 0;

  limit_begin (&limit, SHARE);
  take_all (&limit);
  int64_t end_at = limit.clock.now + CALLER_TIME_US;
  for (uint64_t i = 1; i <= 20; i++)
    {
      g_assert_false (take (&limit, i, 0, end_at, &wait, &advice));
      g_assert_cmpint (advice, ==, RET_RESERVED);
      g_assert_cmpfloat ((double) (wait - before), >=, COST / (SHARE * RATE) * 1e6);
      before = wait;
    }
  g_assert_false (take (&limit, 7, 0, end_at, &wait, &advice));
  g_assert_cmpint (wait, <, before); /* its own return time, as before */
  g_assert_cmpuint (ret_counts (limit.ret)->promised, ==, 20);
  /* A caller with the same content but a later time limit is another one, and has no claim to
   * that reservation. */
  g_assert_false (take (&limit, 7, 0, end_at + FT_SECOND, &wait, &advice));
  g_assert_cmpint (advice, ==, RET_NO_RESERVATION);
  limit_end (&limit);
}

/* A reservation can be used once, neither before its window nor after it, and new callers do not
 * get the reserved tokens. */
static void
reservation_holds_in_its_window (void)
{
  LimitModel limit;
  RetAdvice advice;
  int64_t wait, other;

  for (int i = 0; i < 3; i++)
    {
      limit_begin (&limit, SHARE);
      take_all (&limit);
      int64_t end_at = limit.clock.now + CALLER_TIME_US;
      g_assert_false (take (&limit, 1, 0, end_at, &wait, &advice));
      static const int64_t offsets[]
          = { -RET_EARLY_US - FT_MS, -RET_EARLY_US, RET_GRACE_US + 2 * FT_MS };
      limit.clock.now += wait + offsets[i];
      take_all (&limit); /* ignores reservations ... */
      quota_refund (limit.quota, "o", COST);
      if (i < 2) /* ... which take () respects */
        g_assert_false (take (&limit, 2, 0, end_at, &other, &advice));
      g_assert_cmpint (take (&limit, 1, 0, end_at, &other, &advice), ==, i > 0);
      g_assert_cmpuint (ret_counts (limit.ret)->kept, ==, i == 1);
      g_assert_cmpuint (ret_counts (limit.ret)->lapsed, ==, i == 2);
      take_all (&limit);
      g_assert_false (take (&limit, 1, 0, end_at, &other, &advice));
      limit_end (&limit);
    }
}

/* A return time beyond a third of the caller's remaining time is of no use to it, and tokens
 * reserved for it would be missing elsewhere. */
static void
late_times_are_not_reserved (void)
{
  LimitModel limit;
  RetAdvice advice;
  int64_t wait;
  char rule[120] = "limit";

  limit_begin (&limit, SHARE);
  take_all (&limit);
  g_assert_false (take (&limit, 1, 0, limit.clock.now + 400 * FT_MS, &wait, &advice));
  g_assert_cmpint (advice, ==, RET_TOO_LATE);
  g_assert_cmpint (wait, >, 400 * FT_MS / RET_WAIT_DIVISOR);
  g_assert_cmpuint (ret_counts (limit.ret)->promised, ==, 0);
  limit.clock.now += FT_SECOND;
  g_assert_cmpfloat (ret_reserved (limit.ret, ret_resource_id ("o", 0), 0, 0), ==, 0);
  ret_explain (advice, wait, rule, sizeof rule);
  g_assert_nonnull (strstr (rule, "limit; no capacity within the caller's time"));
  ret_explain (RET_RESERVED, 340 * FT_MS, rule, sizeof rule);
  g_assert_nonnull (strstr (rule, "promised in 340 ms"));
  limit_end (&limit);
}

/* Callers without a known content cannot be told apart, so that anyone could use such a
 * reservation. They get none. */
static void
unknown_contents_get_no_reservation (void)
{
  LimitModel limit;
  RetAdvice advice;
  int64_t wait;

  limit_begin (&limit, SHARE);
  take_all (&limit);
  g_assert_false (take (&limit, 0, 0, limit.clock.now + CALLER_TIME_US, &wait, &advice));
  g_assert_cmpint (advice, ==, RET_NO_RESERVATION);
  g_assert_cmpuint (ret_counts (limit.ret)->promised, ==, 0);
  limit_end (&limit);
}

/* Requests of the highest rank use the whole limit. Lower ranks get no reservation then, because
 * higher ones may take the reserved tokens. */
static void
higher_ranks_go_first_at_limit (void)
{
  LimitModel limit;
  RetAdvice advice;
  int64_t wait;

  limit_begin (&limit, SHARE);
  take_all (&limit);
  limit.clock.now += 5 * FT_SECOND; /* so that the average of what was taken decays */
  while (take (&limit, 0, 2, limit.clock.now + CALLER_TIME_US, &wait, &advice))
    ;
  g_assert_false (take (&limit, 1, 2, limit.clock.now + CALLER_TIME_US, &wait, &advice));
  g_assert_cmpint (advice, ==, RET_RESERVED);
  limit.clock.now += wait;
  g_assert_cmpfloat (ret_reserved (limit.ret, ret_resource_id ("o", 0), 1, 0), ==, 0);
  unsigned taken = 0;
  while (take (&limit, 0, 0, limit.clock.now + CALLER_TIME_US, &wait, &advice))
    taken++;
  g_assert_cmpuint (taken, >, 5);
  g_assert_false (take (&limit, 1, 2, limit.clock.now + CALLER_TIME_US, &wait, &advice));
  g_assert_cmpuint (ret_counts (limit.ret)->lost, ==, 1);
  for (int ms = 0; ms < 2000; ms++)
    {
      limit.clock.now += FT_MS;
      take (&limit, 0, 0, limit.clock.now + CALLER_TIME_US, &wait, &advice);
    }
  g_assert_false (take (&limit, 3, 2, limit.clock.now + CALLER_TIME_US, &wait, &advice));
  g_assert_cmpint (advice, ==, RET_TOO_LATE);
  limit_end (&limit);
}

/* Callers with thousands of contents are refused at almost the same time. Memory stays bounded:
 * a new reservation replaces the oldest. */
static void
reservations_are_bounded (void)
{
  TestClock clock = test_clock ();
  Returns *ret = ret_new (&clock.base, RET_MAX_RESERVATIONS);
  int64_t at;
  bool promised;
  RetDemand demand = { .resource = 5, .cost = 1, .rate = 1, .end_at = clock.now + CALLER_TIME_US };

  ret_set_share (ret, SHARE);
  for (demand.content = 1; demand.content <= RET_MAX_RESERVATIONS + 100; demand.content++)
    g_assert_true (ret_reserve (ret, &demand, &at));
  g_assert_cmpuint (ret_counts (ret)->promised, ==, RET_MAX_RESERVATIONS + 100);
  g_assert_cmpuint (ret_counts (ret)->lapsed, ==, 100);
  g_assert_cmpint (ret_lookup (ret, 5, 100, demand.end_at, &at, &promised), ==, RET_UNKNOWN);
  g_assert_cmpint (ret_lookup (ret, 5, 101, demand.end_at, &at, &promised), ==, RET_EARLY);
  for (demand.content = 1; demand.content <= 3 * RET_MAX_RESERVATIONS; demand.content++)
    ret_record_wait (ret, &demand, FT_SECOND);
  g_assert_cmpint (ret_lookup (ret, 5, 2 * RET_MAX_RESERVATIONS, demand.end_at, &at, &promised), ==,
                   RET_UNKNOWN);
  ret_set_share (ret, 0);
  g_assert_cmpuint (ret_counts (ret)->lapsed, ==, RET_MAX_RESERVATIONS + 100);
  g_assert_false (ret_reserve (ret, &demand, &at));
  ret_free (ret);
}

/* ---- Reservations at places ---- */

static void
submit_for_place (Caller *caller, unsigned tier)
{
  unsigned number = model->job_count++;
  g_assert_cmpuint (number, <, JOBS_MAX);
  int64_t now = model->clock.now;
  uint64_t mixed = caller->content * 2654435761u >> 8;
  unsigned prompt = 500 + (unsigned) (mixed % 1000);
  unsigned output = 70 + (unsigned) (mixed / 1000 % 200);

  model->jobs[number]
      = (Job){ .arrived_at = now, .tier = tier, .prompt = prompt, .output = output, .server = -1 };
  SchedAsk ask = { .owner = 1,
                   .request = number,
                   .service = "s",
                   .org = "o",
                   .tier = tier,
                   .stream = true,
                   .repeatable = true,
                   .prompt_tokens = prompt,
                   .output_tokens = output,
                   .content = caller->content,
                   .gap_us = 300 * FT_MS,
                   .aim_at = caller->arrived_at + model->aim_us,
                   .limit_at = MIN (now + model->max_wait_us, caller->end_at),
                   .end_at = caller->end_at };
  caller->request = (int) number;
  sched_ask (model->sched, &ask);
}

static void
check_request (Caller *caller, Totals *total)
{
  const Job *job = &model->jobs[caller->request];

  if (!job->done)
    return;
  caller->request = -1;
  count_return (total, caller, !job->refused);
  caller->served = caller->done = !job->refused;
  caller->served_at = job->first_event_at;
  caller->in_time = caller->served && job->first_event_at - caller->arrived_at <= model->aim_us;
  if (!caller->served)
    on_refusal (caller, model->clock.now, job->advice_us / FT_MS * FT_MS, job->promised,
                caller->content);
}

static void
places_begin (double share)
{
  reset_callers ();
  model_begin (SERVERS, 6, true);
  sched_set_return_share (model->sched, share);
  run_load (4, 30, default_mix); /* the scheduler learns the servers' speeds */
}

static Totals
run_places (double per_s, double seconds, const Behaviour *behaviours, unsigned behaviour_count)
{
  Totals total = { 0 };
  int64_t until = model->clock.now + (int64_t) (seconds * FT_SECOND);
  double due = 0;

  while (model->clock.now < until + 2 * CALLER_TIME_US)
    {
      if (model->clock.now < until)
        due += per_s / 500;
      while (caller_count < (unsigned) due)
        new_caller (model->clock.now,
                    behaviours[(caller_count * 2654435761u >> 16) % behaviour_count]);
      for (unsigned j = 0; j < caller_count; j++)
        {
          Caller *caller = &callers[j];
          if (caller->request >= 0)
            check_request (caller, &total);
          if (!caller->done && caller->request < 0 && caller->next_at <= model->clock.now)
            submit_for_place (caller, 2);
        }
      step ();
    }
  count_callers (&total, until);
  return total;
}

/* Load is twice the capacity for 5 s. Refused callers told only the length of the queue would
 * find it as long when they return. Reservations must not cost new callers more answers on time
 * than the returning callers gain. */
static void
reservations_at_places_are_kept (void)
{
  static const Behaviour as_advised[] = { RETURNS_AS_ADVISED };
  Totals totals[2];

  for (unsigned i = 0; i < 2; i++)
    {
      places_begin (i * SHARE);
      totals[i] = run_places (150, 5, as_advised, 1);
      report ("twice the capacity for 5 s", i * SHARE, &totals[i]);
      RetCounts counts = sched_return_counts (model->sched);
      g_assert_cmpuint (counts.promised, ==, counts.kept + counts.lapsed + counts.lost);
      g_assert_cmpuint (counts.kept, ==, totals[i].promised_served);
      model_end ();
    }
  g_assert_cmpuint (totals[1].promised, >, 50);
  g_assert_cmpuint (totals[1].promised_served * 100, >=, totals[1].promised * 97);
  g_assert_cmpuint (totals[1].promised_in_time * 100, >=, totals[1].promised * 85);
  g_assert_cmpuint (totals[1].in_time * 100, >=, totals[0].in_time * 95);
  g_assert_cmpuint (totals[1].served * 100, >=, totals[0].served * 98);
}

static unsigned
submit_and_get_number (Caller *caller, unsigned tier)
{
  submit_for_place (caller, tier);
  return (unsigned) caller->request;
}

/* Takes all places and fills the queue until a caller is refused with a reservation. *due: its
 * return time. */
static Caller *
caller_with_reservation (int64_t *due)
{
  reset_callers ();
  model_begin (2, 2, false);
  sched_set_return_share (model->sched, SHARE);
  for (int i = 0; i < 100; i++)
    {
      Caller *caller = new_caller (model->clock.now, RETURNS_AS_ADVISED);
      const Job *job = &model->jobs[submit_and_get_number (caller, 2)];
      *due = model->clock.now + job->advice_us;
      if (job->refused && job->promised)
        return caller;
    }
  g_assert_not_reached ();
}

/* A caller retries continuously before its return time, while the queue gets shorter and new
 * callers are queued. It is told the same return time again and is not queued. */
static void
early_retry_is_not_queued (void)
{
  unsigned queued = 0;
  int64_t due;
  Caller *caller = caller_with_reservation (&due);

  for (; model->clock.now < due - RET_EARLY_US; step ())
    {
      const Job *job = &model->jobs[submit_and_get_number (caller, 2)];
      g_assert_true (job->refused);
      g_assert_true (job->promised);
      g_assert_cmpint (model->clock.now + job->advice_us, ==, due);
      Caller *newcomer = new_caller (model->clock.now, NEVER_RETURNS);
      queued += !model->jobs[submit_and_get_number (newcomer, 2)].refused;
    }
  g_assert_cmpuint (queued, >, 0);
  g_assert_cmpuint (sched_return_counts (model->sched).kept, ==, 0);
  submit_and_get_number (caller, 2);
  drain_jobs ();
  g_assert_cmpuint (sched_return_counts (model->sched).kept, ==, 1);
  model_end ();
}

/* No refused caller returns. No place is kept idle for them, so new callers get all of the
 * capacity. */
static void
unused_reservations_at_places_cost_nothing (void)
{
  static const Behaviour never[] = { NEVER_RETURNS };
  unsigned in_time[2];

  for (unsigned i = 0; i < 2; i++)
    {
      places_begin (i * SHARE);
      Totals total = run_places (150, 5, never, 1);
      report ("twice the capacity, no caller returns", i * SHARE, &total);
      in_time[i] = total.in_time;
      RetCounts counts = sched_return_counts (model->sched);
      g_assert_cmpuint (counts.lapsed, ==, counts.promised);
      g_assert_cmpuint (counts.promised > 0, ==, i > 0);
      model_end ();
    }
  g_assert_cmpuint (in_time[1] * 100, >=, in_time[0] * 93);
}

/* All places are taken when a caller returns at its reserved time, and new callers wait. A
 * request of a higher tier that arrives later goes first, then the returning caller, then the
 * new ones. */
static void
tiers_stay_strict (void)
{
  unsigned waiting[3];
  int64_t due;
  Caller *caller = caller_with_reservation (&due);

  while (model->clock.now < due)
    step ();
  waiting[2] = ask (2, 1000, 50);
  g_assert_cmpint (model->jobs[waiting[2]].server, ==, -1);
  waiting[1] = submit_and_get_number (caller, 2);
  waiting[0] = ask (1, 1000, 50);
  g_assert_cmpint (model->jobs[waiting[1]].server, ==, -1);
  g_assert_cmpint (model->jobs[waiting[0]].server, ==, -1);
  drain_jobs ();
  for (unsigned i = 0; i < 2; i++)
    g_assert_cmpint (model->jobs[waiting[i]].sent_at, <, model->jobs[waiting[i + 1]].sent_at);
  g_assert_cmpuint (sched_return_counts (model->sched).kept, ==, 1);
  model_end ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/returns/limit", reservations_at_limit_are_kept);
  g_test_add_func ("/returns/at_once", retrying_at_once_gains_nothing);
  g_test_add_func ("/returns/never", unused_reservations_at_limit_cost_nothing);
  g_test_add_func ("/returns/spread", return_times_are_spread);
  g_test_add_func ("/returns/window", reservation_holds_in_its_window);
  g_test_add_func ("/returns/useless", late_times_are_not_reserved);
  g_test_add_func ("/returns/late_at_limit", reserved_time_is_useful);
  g_test_add_func ("/returns/unknown", unknown_contents_get_no_reservation);
  g_test_add_func ("/returns/ranks", higher_ranks_go_first_at_limit);
  g_test_add_func ("/returns/bounded", reservations_are_bounded);
  g_test_add_func ("/returns/burst", reservations_at_places_are_kept);
  g_test_add_func ("/returns/early", early_retry_is_not_queued);
  g_test_add_func ("/returns/places_never", unused_reservations_at_places_cost_nothing);
  g_test_add_func ("/returns/tiers", tiers_stay_strict);
  return g_test_run ();
}
