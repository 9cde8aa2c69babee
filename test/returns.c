/* returns.c - times promised to refused callers, on a clock of the test's own: callers that come
 * back as they were told, at once or never, at an organisation's limit and at a shortage of places.
 */
#include "engines.h"
#include "returns.h"

#define RATE     30000.0 /* tokens a second, and at once */
#define COST     1000.0
#define PATIENCE (10 * FT_SECOND)
#define CALLERS  4000
#define PART     0.25

typedef enum
{
  OBEYS,   /* comes as told, or after a third of its time */
  AT_ONCE, /* repeats its request all the time */
  NEVER    /* does not come back */
} Manner;

typedef struct
{
  uint64_t content;
  Manner manner;
  int64_t arrived_at, end_at, next_at, served_at;
  bool told, promised, done, served, in_time;
  unsigned refusals;
  int request; /* -1: none is open */
} Caller;

typedef struct
{
  unsigned callers, served, in_time, refusals;
  unsigned promised_in_time, back,
      back_served;                    /* callers that came as they were told, and of these served */
  unsigned promised, promised_served; /* the same of those that had a promise */
  unsigned by_manner[3], served_by_manner[3]; /* served: while the load lasts */
  double promised_cost;
} Sum;

static Caller callers[CALLERS];
static unsigned caller_count;

static void
forget_callers (void)
{
  caller_count = 0;
}

static Caller *
new_caller (int64_t now, Manner manner)
{
  Caller *caller = &callers[caller_count++];

  g_assert_cmpuint (caller_count, <, CALLERS);
  *caller = (Caller){ .content = caller_count,
                      .manner = manner,
                      .arrived_at = now,
                      .end_at = now + PATIENCE,
                      .next_at = now,
                      .request = -1 };
  return caller;
}

/* What the caller does with a refusal; some milliseconds pass on the way. */
static void
take_refusal (Caller *caller, int64_t now, int64_t advice_us, bool promised, uint64_t number)
{
  int64_t third = (caller->end_at - now) / RET_WAIT_DIVISOR;
  int64_t way = 2 * FT_MS + (int64_t) (number * 2654435761u % 20) * FT_MS;

  caller->refusals++;
  caller->told = true;
  caller->promised = promised;
  caller->next_at = now + (caller->manner == AT_ONCE ? 10 * FT_MS : MIN (advice_us, third) + way);
  caller->done = caller->manner == NEVER || caller->next_at + 50 * FT_MS > caller->end_at;
}

static void
note_back (Sum *sum, const Caller *caller, bool served)
{
  if (!caller->told || caller->manner == AT_ONCE)
    return;
  sum->back++;
  sum->back_served += served;
  sum->promised += caller->promised;
  sum->promised_served += caller->promised && served;
}

static void
add_up (Sum *sum, int64_t load_until)
{
  for (unsigned i = 0; i < caller_count; i++)
    {
      const Caller *caller = &callers[i];
      sum->callers++;
      sum->served += caller->served;
      sum->in_time += caller->in_time;
      sum->refusals += caller->refusals;
      sum->promised_in_time += caller->promised && caller->in_time;
      sum->by_manner[caller->manner]++;
      sum->served_by_manner[caller->manner] += caller->served && caller->served_at <= load_until;
    }
}

static void
report (const char *what, double part, const Sum *sum)
{
  g_test_message (
      "%s, part %.2f: %u of %u callers served (%u on time), %.2f refusals a caller "
      "served; came as told: %u of %u served; at a promised time: %u of %u (%u on time)",
      what, part, sum->served, sum->callers, sum->in_time,
      (double) sum->refusals / MAX (sum->served, 1), sum->back_served, sum->back,
      sum->promised_served, sum->promised, sum->promised_in_time);
}

/* ---- At a limit ---- */

typedef struct
{
  TestClock clock;
  Quota *quota;
  Returns *ret;
} Limit;

static void
limit_begin (Limit *limit, double part)
{
  forget_callers ();
  limit->clock = test_clock ();
  limit->quota = quota_new (&limit->clock.base);
  limit->ret = ret_new (&limit->clock.base, RET_MAX_RESERVATIONS);
  ret_set_share (limit->ret, part);
  quota_set_limit (limit->quota, "o", RATE, RATE);
}

static void
limit_end (Limit *limit)
{
  ret_free (limit->ret);
  quota_free (limit->quota);
}

static bool
take (Limit *limit, uint64_t content, unsigned rank, int64_t end_at, int64_t *wait, RetAdvice *word)
{
  RetRequest ask = { "o", content, COST, rank, end_at, 0 };

  return ret_take_tokens (limit->ret, limit->quota, &ask, wait, word);
}

/* Guards against tokens set aside for an answer that is late: the time promised at a limit is one
 * of use, or none is. */
static void
late_at_limit (void)
{
  Limit limit;
  int64_t wait = 0;
  RetAdvice word = RET_NO_RESERVATION;

  limit_begin (&limit, 0.25);
  for (uint64_t content = 1; word == RET_NO_RESERVATION; content++)
    take (&limit, content, 0, limit.clock.now + 10 * FT_SECOND, &wait, &word);
  g_assert_cmpint (word, ==, RET_RESERVED);
  RetRequest ask = { "o", 1000, COST, 0, limit.clock.now + 10 * FT_SECOND, limit.clock.now + wait };
  g_assert_false (ret_take_tokens (limit.ret, limit.quota, &ask, &wait, &word));
  g_assert_cmpint (word, ==, RET_TOO_LATE);
  ask = (RetRequest){ "o", 1001, COST, 0, ask.end_at, limit.clock.now + 2 * wait };
  g_assert_false (ret_take_tokens (limit.ret, limit.quota, &ask, &wait, &word));
  g_assert_cmpint (word, ==, RET_RESERVED);
  g_assert_cmpint (limit.clock.now + wait, <=, ask.useful_until);
  limit_end (&limit);
}

static void
come_to_limit (Limit *limit, Caller *caller, uint64_t number, Sum *sum)
{
  int64_t now = limit->clock.now, wait;
  RetAdvice word;
  bool served = take (limit, caller->content, 0, caller->end_at, &wait, &word);

  note_back (sum, caller, served);
  if (served && caller->promised)
    sum->promised_cost += COST;
  caller->served = served;
  caller->served_at = now;
  caller->in_time = served && now - caller->arrived_at <= 500 * FT_MS;
  if (served)
    caller->done = true;
  else
    take_refusal (caller, now, MIN (wait, caller->end_at - now) / FT_MS * FT_MS,
                  word == RET_RESERVED, number);
}

/* per_s callers a second come for seconds, of mixed manners. Those that are refused come back
 * until their time is over. */
static Sum
run_limit (Limit *limit, double per_s, double seconds, const Manner *manners, unsigned kinds)
{
  Sum sum = { 0 };
  int64_t until = limit->clock.now + (int64_t) (seconds * FT_SECOND);
  uint64_t number = 0;
  double due = 0;

  for (unsigned ms = 0; limit->clock.now < until + PATIENCE; ms++)
    {
      limit->clock.now += FT_MS;
      ret_expire (limit->ret);
      if (limit->clock.now <= until)
        due += per_s / 1000;
      while (caller_count < (unsigned) due)
        new_caller (limit->clock.now, manners[(caller_count * 2654435761u >> 16) % kinds]);
      for (unsigned i = 0; i < caller_count; i++)
        {
          Caller *caller = &callers[(i + ms * 7919u) % caller_count];
          if (!caller->done && caller->next_at <= limit->clock.now)
            come_to_limit (limit, caller, ++number, &sum);
        }
    }
  add_up (&sum, until);
  return sum;
}

/* One organisation sends six times its limit for 11 s. All refused callers are told the same time,
 * come back together and are refused again, dozens of times for each that is served. */
static void
limit_keeps_promises (void)
{
  static const Manner obey[] = { OBEYS };
  Sum sums[2];

  for (unsigned i = 0; i < 2; i++)
    {
      Limit limit;
      limit_begin (&limit, i * PART);
      sums[i] = run_limit (&limit, 6 * RATE / COST, 11, obey, 1);
      report ("six times the limit for 11 s", i * PART, &sums[i]);
      g_assert_cmpuint (ret_counts (limit.ret)->promised, ==, sums[i].promised);
      g_assert_cmpuint (ret_counts (limit.ret)->lost, ==, 0);
      limit_end (&limit);
    }
  g_assert_cmpuint (sums[1].promised, >, 80);
  g_assert_cmpuint (sums[1].promised_served, ==, sums[1].promised);
  /* Some promises are kept after the load has ended, when nobody else comes. */
  g_assert_cmpfloat (sums[1].promised_cost, <=, PART * RATE * 21);
  g_assert_cmpuint (sums[1].served * 100, >=, sums[0].served * 93);
  g_assert_cmpuint (sums[1].refusals * 5, <=, sums[0].refusals);
}

/* Every other caller repeats its request each 10 ms. If it is taken for a newcomer each time it has
 * a hundred chances a second where those that wait have one. */
static void
repeating_at_once_gains_nothing (void)
{
  static const Manner half[] = { OBEYS, AT_ONCE };
  Limit limit;

  limit_begin (&limit, PART);
  Sum sum = run_limit (&limit, 6 * RATE / COST, 11, half, 2);
  report ("every other repeats at once", PART, &sum);
  g_test_message ("served while it lasts: %u of %u that obey, %u of %u that repeat",
                  sum.served_by_manner[OBEYS], sum.by_manner[OBEYS], sum.served_by_manner[AT_ONCE],
                  sum.by_manner[AT_ONCE]);
  g_assert_cmpuint (sum.promised_served, ==, sum.promised);
  g_assert_cmpuint (sum.served_by_manner[AT_ONCE] * 100, <=, sum.served_by_manner[OBEYS] * 105);
  limit_end (&limit);
}

/* No refused caller comes back. What was set aside for them must go to newcomers, or a quarter of
 * the limit is lost. */
static void
those_that_never_return_cost_nothing (void)
{
  static const Manner never[] = { NEVER };
  unsigned served[2];

  for (unsigned i = 0; i < 2; i++)
    {
      Limit limit;
      limit_begin (&limit, i * PART);
      Sum sum = run_limit (&limit, 6 * RATE / COST, 11, never, 1);
      report ("nobody comes back", i * PART, &sum);
      served[i] = sum.served;
      g_assert_cmpuint (ret_counts (limit.ret)->lapsed, ==, ret_counts (limit.ret)->promised);
      g_assert_cmpfloat (ret_reserved (limit.ret, ret_resource_id ("o", 0), 9, 0), ==, 0);
      limit_end (&limit);
    }
  g_assert_cmpuint (served[1] * 100, >=, served[0] * 96);
}

static void
empty (Limit *limit)
{
  int64_t wait;

  while (quota_take (limit->quota, "o", COST, 0, &wait))
    ;
}

/* Each promise has an interval of its own: two callers with the same time come together, and one is
 * refused again. A request that repeats gets no second one. */
static void
times_are_spread (void)
{
  Limit limit;
  RetAdvice word;
  int64_t wait, before = 0;

  limit_begin (&limit, PART);
  empty (&limit);
  int64_t end_at = limit.clock.now + PATIENCE;
  for (uint64_t i = 1; i <= 20; i++)
    {
      g_assert_false (take (&limit, i, 0, end_at, &wait, &word));
      g_assert_cmpint (word, ==, RET_RESERVED);
      g_assert_cmpfloat ((double) (wait - before), >=, COST / (PART * RATE) * 1e6);
      before = wait;
    }
  g_assert_false (take (&limit, 7, 0, end_at, &wait, &word));
  g_assert_cmpint (wait, <, before); /* its own time, as before */
  g_assert_cmpuint (ret_counts (limit.ret)->promised, ==, 20);
  /* Another caller asks for the same with more time left: it has no claim to that time. */
  g_assert_false (take (&limit, 7, 0, end_at + FT_SECOND, &wait, &word));
  g_assert_cmpint (word, ==, RET_NO_RESERVATION);
  limit_end (&limit);
}

/* A promise is kept once, not before its window and not after it, and newcomers do not get what is
 * set aside. */
static void
window_is_kept (void)
{
  Limit limit;
  RetAdvice word;
  int64_t wait, other;

  for (int way = 0; way < 3; way++)
    {
      limit_begin (&limit, PART);
      empty (&limit);
      int64_t end_at = limit.clock.now + PATIENCE;
      g_assert_false (take (&limit, 1, 0, end_at, &wait, &word));
      static const int64_t off[]
          = { -RET_EARLY_US - FT_MS, -RET_EARLY_US, RET_GRACE_US + 2 * FT_MS };
      limit.clock.now += wait + off[way];
      empty (&limit); /* which heeds no promise ... */
      quota_refund (limit.quota, "o", COST);
      if (way < 2) /* ... as others do */
        g_assert_false (take (&limit, 2, 0, end_at, &other, &word));
      g_assert_cmpint (take (&limit, 1, 0, end_at, &other, &word), ==, way > 0);
      g_assert_cmpuint (ret_counts (limit.ret)->kept, ==, way == 1);
      g_assert_cmpuint (ret_counts (limit.ret)->lapsed, ==, way == 2);
      empty (&limit);
      g_assert_false (take (&limit, 1, 0, end_at, &other, &word));
      limit_end (&limit);
    }
}

/* A time that is beyond a third of what the caller has left is of no use to it, and tokens set
 * aside for it would be missing elsewhere. */
static void
useless_times_are_not_promised (void)
{
  Limit limit;
  RetAdvice word;
  int64_t wait;
  char rule[120] = "limit";

  limit_begin (&limit, PART);
  empty (&limit);
  g_assert_false (take (&limit, 1, 0, limit.clock.now + 400 * FT_MS, &wait, &word));
  g_assert_cmpint (word, ==, RET_TOO_LATE);
  g_assert_cmpint (wait, >, 400 * FT_MS / RET_WAIT_DIVISOR);
  g_assert_cmpuint (ret_counts (limit.ret)->promised, ==, 0);
  limit.clock.now += FT_SECOND;
  g_assert_cmpfloat (ret_reserved (limit.ret, ret_resource_id ("o", 0), 0, 0), ==, 0);
  ret_explain (word, wait, rule, sizeof rule);
  g_assert_nonnull (strstr (rule, "limit; no capacity within the caller's time"));
  ret_explain (RET_RESERVED, 340 * FT_MS, rule, sizeof rule);
  g_assert_nonnull (strstr (rule, "promised in 340 ms"));
  limit_end (&limit);
}

/* A caller whose content is unknown cannot be told from others: a promise to it would be anybody's.
 */
static void
unknown_contents_get_none (void)
{
  Limit limit;
  RetAdvice word;
  int64_t wait;

  limit_begin (&limit, PART);
  empty (&limit);
  g_assert_false (take (&limit, 0, 0, limit.clock.now + PATIENCE, &wait, &word));
  g_assert_cmpint (word, ==, RET_NO_RESERVATION);
  g_assert_cmpuint (ret_counts (limit.ret)->promised, ==, 0);
  limit_end (&limit);
}

/* Requests of the highest rank use the whole limit. Those of a lower one are promised nothing,
 * since higher ones may take what was set aside for them. */
static void
higher_ranks_go_first_at_limits (void)
{
  Limit limit;
  RetAdvice word;
  int64_t wait;

  limit_begin (&limit, PART);
  empty (&limit);
  limit.clock.now += 5 * FT_SECOND; /* what was taken then is forgotten */
  while (take (&limit, 0, 2, limit.clock.now + PATIENCE, &wait, &word))
    ;
  g_assert_false (take (&limit, 1, 2, limit.clock.now + PATIENCE, &wait, &word));
  g_assert_cmpint (word, ==, RET_RESERVED);
  limit.clock.now += wait;
  g_assert_cmpfloat (ret_reserved (limit.ret, ret_resource_id ("o", 0), 1, 0), ==, 0);
  unsigned taken = 0;
  while (take (&limit, 0, 0, limit.clock.now + PATIENCE, &wait, &word))
    taken++;
  g_assert_cmpuint (taken, >, 5);
  g_assert_false (take (&limit, 1, 2, limit.clock.now + PATIENCE, &wait, &word));
  g_assert_cmpuint (ret_counts (limit.ret)->lost, ==, 1);
  for (int ms = 0; ms < 2000; ms++)
    {
      limit.clock.now += FT_MS;
      take (&limit, 0, 0, limit.clock.now + PATIENCE, &wait, &word);
    }
  g_assert_false (take (&limit, 3, 2, limit.clock.now + PATIENCE, &wait, &word));
  g_assert_cmpint (word, ==, RET_TOO_LATE);
  limit_end (&limit);
}

/* Callers of thousands of contents are refused within a moment. Memory stays bounded: the oldest
 * promise makes room for the newest. */
static void
promises_are_bounded (void)
{
  TestClock clock = test_clock ();
  Returns *ret = ret_new (&clock.base, RET_MAX_RESERVATIONS);
  int64_t at;
  bool promised;
  RetDemand offer = { .resource = 5, .cost = 1, .rate = 1, .end_at = clock.now + PATIENCE };

  ret_set_share (ret, PART);
  for (offer.content = 1; offer.content <= RET_MAX_RESERVATIONS + 100; offer.content++)
    g_assert_true (ret_reserve (ret, &offer, &at));
  g_assert_cmpuint (ret_counts (ret)->promised, ==, RET_MAX_RESERVATIONS + 100);
  g_assert_cmpuint (ret_counts (ret)->lapsed, ==, 100);
  g_assert_cmpint (ret_lookup (ret, 5, 100, offer.end_at, &at, &promised), ==, RET_UNKNOWN);
  g_assert_cmpint (ret_lookup (ret, 5, 101, offer.end_at, &at, &promised), ==, RET_EARLY);
  for (offer.content = 1; offer.content <= 3 * RET_MAX_RESERVATIONS; offer.content++)
    ret_record_wait (ret, &offer, FT_SECOND);
  g_assert_cmpint (ret_lookup (ret, 5, 2 * RET_MAX_RESERVATIONS, offer.end_at, &at, &promised), ==,
                   RET_UNKNOWN);
  ret_set_share (ret, 0);
  g_assert_cmpuint (ret_counts (ret)->lapsed, ==, RET_MAX_RESERVATIONS + 100);
  g_assert_false (ret_reserve (ret, &offer, &at));
  ret_free (ret);
}

/* ---- At places ---- */

static void
come_to_places (Caller *caller, unsigned tier)
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
look_at (Caller *caller, Sum *sum)
{
  const Job *job = &model->jobs[caller->request];

  if (!job->done)
    return;
  caller->request = -1;
  note_back (sum, caller, !job->refused);
  caller->served = caller->done = !job->refused;
  caller->served_at = job->first_event_at;
  caller->in_time = caller->served && job->first_event_at - caller->arrived_at <= model->aim_us;
  if (!caller->served)
    take_refusal (caller, model->clock.now, job->advice_us / FT_MS * FT_MS, job->promised,
                  caller->content);
}

static void
places_begin (double part)
{
  forget_callers ();
  model_begin (SERVERS, 6, true);
  sched_set_return_share (model->sched, part);
  run_load (4, 30, default_mix); /* speeds are learned */
}

static Sum
run_places (double per_s, double seconds, const Manner *manners, unsigned kinds)
{
  Sum sum = { 0 };
  int64_t until = model->clock.now + (int64_t) (seconds * FT_SECOND);
  double due = 0;

  while (model->clock.now < until + 2 * PATIENCE)
    {
      if (model->clock.now < until)
        due += per_s / 500;
      while (caller_count < (unsigned) due)
        new_caller (model->clock.now, manners[(caller_count * 2654435761u >> 16) % kinds]);
      for (unsigned j = 0; j < caller_count; j++)
        {
          Caller *caller = &callers[j];
          if (caller->request >= 0)
            look_at (caller, &sum);
          if (!caller->done && caller->request < 0 && caller->next_at <= model->clock.now)
            come_to_places (caller, 2);
        }
      step ();
    }
  add_up (&sum, until);
  return sum;
}

/* Twice as many requests as the places can take come for 5 s. Refused callers are told how long the
 * queue is, and find it as long when they come back. Promises must not cost newcomers more answers
 * on time than the callers that they were made to get. */
static void
burst_keeps_promises (void)
{
  static const Manner obey[] = { OBEYS };
  Sum sums[2];

  for (unsigned i = 0; i < 2; i++)
    {
      places_begin (i * PART);
      sums[i] = run_places (150, 5, obey, 1);
      report ("twice the places for 5 s", i * PART, &sums[i]);
      RetCounts counts = sched_return_counts (model->sched);
      g_assert_cmpuint (counts.promised, ==, counts.kept + counts.lapsed + counts.lost);
      g_assert_cmpuint (counts.kept, ==, sums[i].promised_served);
      model_end ();
    }
  g_assert_cmpuint (sums[1].promised, >, 50);
  g_assert_cmpuint (sums[1].promised_served * 100, >=, sums[1].promised * 97);
  g_assert_cmpuint (sums[1].promised_in_time * 100, >=, sums[1].promised * 85);
  g_assert_cmpuint (sums[1].in_time * 100, >=, sums[0].in_time * 95);
  g_assert_cmpuint (sums[1].served * 100, >=, sums[0].served * 98);
}

static unsigned
place_asked (Caller *caller, unsigned tier)
{
  come_to_places (caller, tier);
  return (unsigned) caller->request;
}

/* Takes all places and fills the queue until a caller is refused and promised a time. */
static Caller *
promised_caller (int64_t *due)
{
  forget_callers ();
  model_begin (2, 2, false);
  sched_set_return_share (model->sched, PART);
  for (int i = 0; i < 100; i++)
    {
      Caller *caller = new_caller (model->clock.now, OBEYS);
      const Job *job = &model->jobs[place_asked (caller, 2)];
      *due = model->clock.now + job->advice_us;
      if (job->refused && job->promised)
        return caller;
    }
  g_assert_not_reached ();
}

/* A caller repeats its request all the time until its own comes. The queue gets shorter meanwhile,
 * and a newcomer is queued; the caller is told its own time again. */
static void
repeating_joins_no_queue (void)
{
  unsigned queued = 0;
  int64_t due;
  Caller *caller = promised_caller (&due);

  for (; model->clock.now < due - RET_EARLY_US; step ())
    {
      const Job *job = &model->jobs[place_asked (caller, 2)];
      g_assert_true (job->refused);
      g_assert_true (job->promised);
      g_assert_cmpint (model->clock.now + job->advice_us, ==, due);
      Caller *newcomer = new_caller (model->clock.now, NEVER);
      queued += !model->jobs[place_asked (newcomer, 2)].refused;
    }
  g_assert_cmpuint (queued, >, 0);
  g_assert_cmpuint (sched_return_counts (model->sched).kept, ==, 0);
  place_asked (caller, 2);
  drain_jobs ();
  g_assert_cmpuint (sched_return_counts (model->sched).kept, ==, 1);
  model_end ();
}

/* No refused caller comes back. No place is kept free for them, so newcomers get all of it. */
static void
places_of_those_that_never_return_are_used (void)
{
  static const Manner never[] = { NEVER };
  unsigned in_time[2];

  for (unsigned i = 0; i < 2; i++)
    {
      places_begin (i * PART);
      Sum sum = run_places (150, 5, never, 1);
      report ("twice the places, nobody comes back", i * PART, &sum);
      in_time[i] = sum.in_time;
      RetCounts counts = sched_return_counts (model->sched);
      g_assert_cmpuint (counts.lapsed, ==, counts.promised);
      g_assert_cmpuint (counts.promised > 0, ==, i > 0);
      model_end ();
    }
  g_assert_cmpuint (in_time[1] * 100, >=, in_time[0] * 93);
}

/* All places are taken when a caller comes at its promised time, and newcomers wait. A request of a
 * higher tier that comes after it goes first, then the promised one, then the newcomers. */
static void
strict_tiers_hold (void)
{
  unsigned waiting[3];
  int64_t due;
  Caller *caller = promised_caller (&due);

  while (model->clock.now < due)
    step ();
  waiting[2] = ask (2, 1000, 50);
  g_assert_cmpint (model->jobs[waiting[2]].server, ==, -1);
  waiting[1] = place_asked (caller, 2);
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
  g_test_add_func ("/returns/limit", limit_keeps_promises);
  g_test_add_func ("/returns/at_once", repeating_at_once_gains_nothing);
  g_test_add_func ("/returns/never", those_that_never_return_cost_nothing);
  g_test_add_func ("/returns/spread", times_are_spread);
  g_test_add_func ("/returns/window", window_is_kept);
  g_test_add_func ("/returns/useless", useless_times_are_not_promised);
  g_test_add_func ("/returns/late_at_limit", late_at_limit);
  g_test_add_func ("/returns/unknown", unknown_contents_get_none);
  g_test_add_func ("/returns/ranks", higher_ranks_go_first_at_limits);
  g_test_add_func ("/returns/bounded", promises_are_bounded);
  g_test_add_func ("/returns/burst", burst_keeps_promises);
  g_test_add_func ("/returns/early", repeating_joins_no_queue);
  g_test_add_func ("/returns/places_never", places_of_those_that_never_return_are_used);
  g_test_add_func ("/returns/tiers", strict_tiers_hold);
  return g_test_run ();
}
