/* pool.c - the pool scheduler by itself, on a fake clock. It also shows how the interface is used:
 * submit a request, get its grant, report progress, end it. */
#include "foxtail.h"

#include <string.h>

typedef struct
{
  FtClock base;
  int64_t now;
} FakeClock;

static int64_t
fake_now (FtClock *clock)
{
  return ((FakeClock *) clock)->now;
}

static const FtClockOps clock_ops = { fake_now };

typedef enum
{
  WAITING,
  RUNNING,
  PAUSED,
  REFUSED,
  DONE
} RequestState;

typedef struct
{
  RequestState state;
  unsigned tier, grants;
  FtReason reason;
  int64_t retry_ms;
  char server[32], rule[128];
} RequestRecord;

typedef struct
{
  FakeClock clock;
  FtPool *pool;
  RequestRecord records[20000];
  unsigned request_count;
  bool check_tiers; /* check the rules of the tiers at every decision */
} Fixture;

/* No request is granted while one of a higher tier waits. */
static void
check_grant (Fixture *fixture, unsigned tier)
{
  for (unsigned i = 1; fixture->check_tiers && i <= fixture->request_count; i++)
    g_assert_false (fixture->records[i].state == WAITING && fixture->records[i].tier < tier);
}

/* No request is refused for shortage while one of a lower tier runs. */
static void
check_shortage (Fixture *fixture, unsigned tier)
{
  for (unsigned i = 1; fixture->check_tiers && i <= fixture->request_count; i++)
    g_assert_false (fixture->records[i].state == RUNNING && fixture->records[i].tier > tier);
}

static void
on_grant (void *host, const FtGrant *grant)
{
  Fixture *fixture = host;
  RequestRecord *record = &fixture->records[grant->request];

  g_assert_cmpint (record->state, ==, WAITING);
  check_grant (fixture, record->tier);
  record->state = RUNNING;
  record->grants++;
  g_strlcpy (record->server, grant->server, sizeof record->server);
}

static void
on_refuse (void *host, const FtRefusal *refusal)
{
  Fixture *fixture = host;
  RequestRecord *record = &fixture->records[refusal->request];

  g_assert_cmpint (record->state, ==, WAITING);
  if (ft_reason_info (refusal->reason)->shortage)
    check_shortage (fixture, record->tier);
  record->state = REFUSED;
  record->reason = refusal->reason;
  record->retry_ms = refusal->retry_after_ms;
  g_strlcpy (record->rule, refusal->rule, sizeof record->rule);
}

static void
on_pause (void *host, const FtGrant *stream)
{
  RequestRecord *record = &((Fixture *) host)->records[stream->request];

  g_assert_cmpint (record->state, ==, RUNNING);
  record->state = PAUSED;
}

static void
on_resume (void *host, const FtGrant *stream)
{
  RequestRecord *record = &((Fixture *) host)->records[stream->request];

  g_assert_cmpint (record->state, ==, PAUSED);
  g_assert_cmpstr (record->server, ==, stream->server); /* it continues on the same server */
  record->state = RUNNING;
}

static const FtPoolOps ops = { on_grant, on_refuse, on_pause, on_resume };

static Fixture *
fixture_new (int64_t window, int64_t queue, bool service)
{
  Fixture *fixture = g_new0 (Fixture, 1);
  FtPoolConf conf = { 27, window, queue, service };

  fixture->clock.base.ops = &clock_ops;
  fixture->clock.now = FT_SECOND;
  fixture->pool = ft_pool_new (&conf, &fixture->clock.base, &ops, fixture);
  return fixture;
}

static void
fixture_free (Fixture *fixture)
{
  ft_pool_free (fixture->pool);
  g_free (fixture);
}

static unsigned
submit_with (Fixture *fixture, unsigned tier, const char *org, FtLimits limits, int64_t first_ms,
             int64_t due_ms, unsigned prompt)
{
  unsigned number = ++fixture->request_count;
  FtPoolRequest request = { .entry = 1,
                            .request = number,
                            .tier = tier,
                            .org = org,
                            .class_name = "c",
                            .weight = 1,
                            .limits = limits,
                            .prompt_tokens = prompt,
                            .first_token_in_us = first_ms * FT_MS,
                            .deadline_in_us = due_ms * FT_MS };

  fixture->records[number].tier = tier;
  g_assert_cmpint (ft_pool_submit (fixture->pool, &request), ==, FT_OK);
  return number;
}

static unsigned
submit (Fixture *fixture, unsigned tier, const char *org)
{
  return submit_with (fixture, tier, org, (FtLimits){ 0 }, 2000, 60000, 100);
}

static void
finish (Fixture *fixture, unsigned number)
{
  fixture->records[number].state = DONE;
  ft_pool_end_request (fixture->pool, 1, number, FT_OUTCOME_COMPLETE, 100);
}

static void
advance_clock (Fixture *fixture, int64_t ms)
{
  fixture->clock.now += ms * FT_MS;
  ft_pool_tick (fixture->pool);
}

static void
test_first_grant (void)
{
  Fixture *fixture = fixture_new (4, 0, false);
  unsigned early = submit (fixture, 2, "o");

  g_assert_cmpint (fixture->records[early].state, ==, WAITING); /* no server yet */
  ft_pool_update_server (fixture->pool, "e1", 1, FT_SERVER_LIVE);
  g_assert_cmpint (fixture->records[early].state, ==, RUNNING);
  finish (fixture, early);
  fixture_free (fixture);
}

/* A request comes while no server is live. It is refused as soon as its first token would be late,
 * not after its whole deadline, with the reason that no server is there and that nothing ran. */
static void
test_no_server (void)
{
  Fixture *fixture = fixture_new (4, 0, false);
  unsigned one = submit (fixture, 1, "o");

  advance_clock (fixture, 1000);
  g_assert_cmpint (fixture->records[one].state, ==, WAITING);
  advance_clock (fixture, 1500);
  g_assert_cmpint (fixture->records[one].reason, ==, FT_REASON_NO_SERVER);
  g_assert_cmpint (ft_reason_info (FT_REASON_NO_SERVER)->ran, ==, FT_RAN_NO);
  g_assert_cmpint (fixture->records[one].retry_ms, >, 0);
  fixture_free (fixture);
}

/* A refusal names the limit that was reached, and no limit counts as shortage. */
static void
test_limits (void)
{
  Fixture *fixture = fixture_new (64, 0, false);
  FtLimits concurrent = { .concurrent = 1 }, per_minute = { .requests_per_minute = 2 },
           tokens = { .tokens_per_minute = 500 };

  ft_pool_update_server (fixture->pool, "e1", 1, FT_SERVER_LIVE);
  unsigned a = submit_with (fixture, 1, "a", concurrent, 2000, 60000, 100);
  unsigned b = submit_with (fixture, 1, "a", concurrent, 2000, 60000, 100);
  g_assert_cmpint (fixture->records[a].state, ==, RUNNING);
  g_assert_cmpint (fixture->records[b].reason, ==, FT_REASON_LIMIT_CONCURRENT);
  finish (fixture, a);
  unsigned c = 0;
  for (unsigned i = 0; i < 3; i++)
    c = submit_with (fixture, 1, "b", per_minute, 2000, 60000, 100);
  g_assert_cmpint (fixture->records[c].reason, ==, FT_REASON_LIMIT_REQUESTS);
  g_assert_cmpint (fixture->records[c].retry_ms, <=, 30001);
  submit_with (fixture, 1, "c", tokens, 2000, 60000, 200);
  unsigned d = submit_with (fixture, 1, "c", tokens, 2000, 60000, 200);
  g_assert_cmpint (fixture->records[d].reason, ==, FT_REASON_LIMIT_TOKENS);
  g_assert_false (ft_reason_info (FT_REASON_LIMIT_TOKENS)->shortage);
  for (unsigned i = 1; i <= fixture->request_count; i++)
    if (fixture->records[i].state == RUNNING)
      finish (fixture, i); /* a minute of silence would put the server out of use */
  advance_clock (fixture, 60000);
  unsigned e = submit_with (fixture, 1, "b", per_minute, 2000, 60000, 100);
  g_assert_cmpint (fixture->records[e].state, ==, RUNNING);
  fixture_free (fixture);
}

/* The queue is full of low-tier requests when a higher tier's request comes: the newest low one is
 * refused. */
static void
test_queue_full (void)
{
  Fixture *fixture = fixture_new (1, 2, true);

  ft_pool_update_server (fixture->pool, "s1", 1, FT_SERVER_LIVE);
  submit (fixture, 1, "o");
  unsigned low = submit_with (fixture, 5, "o", (FtLimits){ 0 }, 60000, 90000, 1);
  unsigned last = submit_with (fixture, 5, "o", (FtLimits){ 0 }, 60000, 90000, 1);
  unsigned high = submit (fixture, 2, "o");
  g_assert_cmpint (fixture->records[last].reason, ==, FT_REASON_SHED_FOR_HIGHER_TIER);
  g_assert_cmpint (fixture->records[low].state, ==, WAITING);
  g_assert_cmpint (fixture->records[high].state, ==, WAITING);
  unsigned lower = submit_with (fixture, 5, "o", (FtLimits){ 0 }, 60000, 90000, 1);
  g_assert_cmpint (fixture->records[lower].reason, ==, FT_REASON_QUEUE_FULL);
  fixture_free (fixture);
}

/* One organisation fills the queue of its tier. The first request of another organisation is
 * granted next, before the hundred that came earlier. */
static void
test_fair (void)
{
  Fixture *fixture = fixture_new (1, 0, false);
  unsigned first, hog = 0;

  ft_pool_update_server (fixture->pool, "e1", 1, FT_SERVER_LIVE);
  first = submit (fixture, 3, "hog");
  for (unsigned i = 0; i < 100; i++)
    hog = submit_with (fixture, 3, "hog", (FtLimits){ 0 }, 600000, 900000, 100);
  unsigned small = submit_with (fixture, 3, "small", (FtLimits){ 0 }, 600000, 900000, 100);
  finish (fixture, first);
  g_assert_cmpint (fixture->records[small].state, ==, RUNNING);
  g_assert_cmpint (fixture->records[hog].state, ==, WAITING);
  fixture_free (fixture);
}

/* A server leaves: requests running there continue, and no new one is granted to it. */
static void
test_leaving (void)
{
  Fixture *fixture = fixture_new (8, 0, false);

  ft_pool_update_server (fixture->pool, "e1", 1, FT_SERVER_LIVE);
  unsigned one = submit (fixture, 3, "o");
  ft_pool_update_server (fixture->pool, "e1", 1, FT_SERVER_LEAVING);
  unsigned two = submit (fixture, 3, "o");
  g_assert_cmpint (fixture->records[one].state, ==, RUNNING);
  g_assert_cmpint (fixture->records[two].state, ==, WAITING);
  ft_pool_update_server (fixture->pool, "e2", 1, FT_SERVER_LIVE);
  g_assert_cmpstr (fixture->records[two].server, ==, "e2");
  fixture_free (fixture);
}

/* A prompt whose KV cache is on a server is sent there again while that server has a free slot, and
 * to the second server afterwards. */
static void
test_prefix (void)
{
  Fixture *fixture = fixture_new (2, 0, false);
  uint64_t blocks[32];
  char where[3][32];

  for (unsigned i = 0; i < 32; i++)
    blocks[i] = i + 1;
  ft_pool_update_server (fixture->pool, "e1", 1, FT_SERVER_LIVE);
  ft_pool_update_server (fixture->pool, "e2", 1, FT_SERVER_LIVE);
  for (unsigned i = 0; i < 3; i++)
    {
      unsigned number = ++fixture->request_count;
      FtPoolRequest request = { .entry = 1,
                                .request = number,
                                .tier = 1,
                                .org = "o",
                                .class_name = "c",
                                .weight = 1,
                                .prompt_tokens = 32 * FT_BLOCK_TOKENS,
                                .first_token_in_us = 60 * FT_SECOND,
                                .deadline_in_us = 90 * FT_SECOND,
                                .blocks = blocks,
                                .block_count = 32 };
      fixture->records[number].tier = 1;
      ft_pool_submit (fixture->pool, &request);
      if (i == 0)
        ft_pool_progress (fixture->pool, 1, number, 1);
      g_strlcpy (where[i], fixture->records[number].server, 32);
    }
  g_assert_cmpstr (where[1], ==, where[0]);
  g_assert_cmpstr (where[2], !=, where[0]);
  fixture_free (fixture);
}

/* Thousands of random events. Both rules of the tiers are checked at every decision against the
 * test's own records, and no request is granted twice. */
static void
test_random_tiers (void)
{
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      Fixture *fixture = fixture_new (3, seed % 2 ? 0 : 12, false);
      GRand *random = g_rand_new_with_seed (seed);
      unsigned refused = 0, paused = 0;

      fixture->check_tiers = true;
      for (unsigned i = 0; i < 3; i++)
        ft_pool_update_server (fixture->pool, (const char *[]){ "a", "b", "c" }[i], 1,
                               FT_SERVER_LIVE);
      for (unsigned step = 0; step < 4000; step++)
        {
          unsigned number
              = 1 + (unsigned) g_rand_int_range (random, 0, (gint32) fixture->request_count + 1);
          if (g_rand_int_range (random, 0, 3) == 0)
            submit_with (fixture, (unsigned) g_rand_int_range (random, 1, 6),
                         g_rand_int_range (random, 0, 2) ? "x" : "y", (FtLimits){ 0 },
                         g_rand_int_range (random, 100, 5000), 60000,
                         (unsigned) g_rand_int_range (random, 1, 3000));
          else if (number <= fixture->request_count && fixture->records[number].state == RUNNING)
            finish (fixture, number);
          advance_clock (fixture, g_rand_int_range (random, 0, 40));
          for (unsigned i = 1; i <= fixture->request_count; i++) /* engines make progress */
            if (fixture->records[i].state == RUNNING)
              ft_pool_progress (fixture->pool, 1, i, step + 2);
        }
      for (unsigned i = 1; i <= fixture->request_count; i++)
        {
          g_assert_cmpuint (fixture->records[i].grants, <=, 1);
          refused += fixture->records[i].state == REFUSED;
          paused += fixture->records[i].state == PAUSED;
        }
      g_assert_cmpuint (refused, >, 10); /* the rules were exercised */
      FtPoolStats stats;
      ft_pool_stats (fixture->pool, &stats);
      g_assert_cmpuint (stats.tier_violations, ==, 0);
      (void) paused;
      g_rand_free (random);
      fixture_free (fixture);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pool/first-grant", test_first_grant);
  g_test_add_func ("/pool/no-server", test_no_server);
  g_test_add_func ("/pool/limits", test_limits);
  g_test_add_func ("/pool/queue-full", test_queue_full);
  g_test_add_func ("/pool/fair", test_fair);
  g_test_add_func ("/pool/leaving", test_leaving);
  g_test_add_func ("/pool/prefix", test_prefix);
  g_test_add_func ("/pool/random-tiers", test_random_tiers);
  return g_test_run ();
}
