/* pool.c - the pool scheduler alone, on a clock that the test moves. Read it as a tutorial: ask,
 * grant, progress, done. */
#include "foxtail.h"

#include <string.h>

typedef struct
{
  FtClock base;
  int64_t now;
} TestClock;

static int64_t
test_now (FtClock *clock)
{
  return ((TestClock *) clock)->now;
}

static const FtClockOps clock_ops = { test_now };

typedef enum
{
  WAITING,
  RUNNING,
  PAUSED,
  REFUSED,
  DONE
} Kind;

typedef struct
{
  Kind kind;
  unsigned tier, grants;
  FtReason reason;
  int64_t retry_ms;
  char server[32], rule[128];
} Seen;

typedef struct
{
  TestClock clock;
  FtPool *pool;
  Seen seen[20000];
  unsigned asked;
  bool check_tiers; /* at every decision, from the test's own ledger */
} Fixture;

/* The ledger's own reading of both rules. */
static void
check_grant (Fixture *fixture, unsigned tier)
{
  for (unsigned i = 1; fixture->check_tiers && i <= fixture->asked; i++)
    g_assert_false (fixture->seen[i].kind == WAITING && fixture->seen[i].tier < tier);
}

static void
check_shortage (Fixture *fixture, unsigned tier)
{
  for (unsigned i = 1; fixture->check_tiers && i <= fixture->asked; i++)
    g_assert_false (fixture->seen[i].kind == RUNNING && fixture->seen[i].tier > tier);
}

static void
on_grant (void *host, const FtGrant *grant)
{
  Fixture *fixture = host;
  Seen *seen = &fixture->seen[grant->request];

  g_assert_cmpint (seen->kind, ==, WAITING);
  check_grant (fixture, seen->tier);
  seen->kind = RUNNING;
  seen->grants++;
  g_strlcpy (seen->server, grant->server, sizeof seen->server);
}

static void
on_refuse (void *host, const FtRefusal *refusal)
{
  Fixture *fixture = host;
  Seen *seen = &fixture->seen[refusal->request];

  g_assert_cmpint (seen->kind, ==, WAITING);
  if (ft_reason_info (refusal->reason)->shortage)
    check_shortage (fixture, seen->tier);
  seen->kind = REFUSED;
  seen->reason = refusal->reason;
  seen->retry_ms = refusal->retry_after_ms;
  g_strlcpy (seen->rule, refusal->rule, sizeof seen->rule);
}

static void
on_pause (void *host, const FtGrant *stream)
{
  Seen *seen = &((Fixture *) host)->seen[stream->request];

  g_assert_cmpint (seen->kind, ==, RUNNING);
  seen->kind = PAUSED;
}

static void
on_resume (void *host, const FtGrant *stream)
{
  Seen *seen = &((Fixture *) host)->seen[stream->request];

  g_assert_cmpint (seen->kind, ==, PAUSED);
  g_assert_cmpstr (seen->server, ==, stream->server); /* the same dispatch goes on */
  seen->kind = RUNNING;
}

static const FtPoolOps ops = { on_grant, on_refuse, on_pause, on_resume };

static Fixture *
begin (int64_t window, int64_t queue, bool service)
{
  Fixture *fixture = g_new0 (Fixture, 1);
  FtPoolConf conf = { 27, window, queue, service };

  fixture->clock.base.ops = &clock_ops;
  fixture->clock.now = FT_SECOND;
  fixture->pool = ft_pool_new (&conf, &fixture->clock.base, &ops, fixture);
  return fixture;
}

static void
end (Fixture *fixture)
{
  ft_pool_free (fixture->pool);
  g_free (fixture);
}

static unsigned
ask_with (Fixture *fixture, unsigned tier, const char *org, FtLimits limits, int64_t first_ms,
          int64_t due_ms, unsigned prompt)
{
  unsigned number = ++fixture->asked;
  FtPoolRequest ask = { .entry = 1,
                        .request = number,
                        .tier = tier,
                        .org = org,
                        .class_name = "c",
                        .weight = 1,
                        .limits = limits,
                        .prompt_tokens = prompt,
                        .first_token_in_us = first_ms * FT_MS,
                        .deadline_in_us = due_ms * FT_MS };

  fixture->seen[number].tier = tier;
  g_assert_cmpint (ft_pool_submit (fixture->pool, &ask), ==, FT_OK);
  return number;
}

static unsigned
ask (Fixture *fixture, unsigned tier, const char *org)
{
  return ask_with (fixture, tier, org, (FtLimits){ 0 }, 2000, 60000, 100);
}

static void
done (Fixture *fixture, unsigned number)
{
  fixture->seen[number].kind = DONE;
  ft_pool_end_request (fixture->pool, 1, number, FT_OUTCOME_COMPLETE, 100);
}

static void
pass (Fixture *fixture, int64_t ms)
{
  fixture->clock.now += ms * FT_MS;
  ft_pool_tick (fixture->pool);
}

static void
test_first_grant (void)
{
  Fixture *fixture = begin (4, 0, false);
  unsigned early = ask (fixture, 2, "o");

  g_assert_cmpint (fixture->seen[early].kind, ==, WAITING); /* no server yet */
  ft_pool_update_server (fixture->pool, "e1", 1, FT_SERVER_LIVE);
  g_assert_cmpint (fixture->seen[early].kind, ==, RUNNING);
  done (fixture, early);
  end (fixture);
}

/* A caller asks while no server is live. It is told so when its first token would be late, not
 * after its whole deadline, and that nothing ran. */
static void
test_no_server (void)
{
  Fixture *fixture = begin (4, 0, false);
  unsigned one = ask (fixture, 1, "o");

  pass (fixture, 1000);
  g_assert_cmpint (fixture->seen[one].kind, ==, WAITING);
  pass (fixture, 1500);
  g_assert_cmpint (fixture->seen[one].reason, ==, FT_REASON_NO_SERVER);
  g_assert_cmpint (ft_reason_info (FT_REASON_NO_SERVER)->ran, ==, FT_RAN_NO);
  g_assert_cmpint (fixture->seen[one].retry_ms, >, 0);
  end (fixture);
}

/* Every limit says which one it is, and none of them counts as shortage. */
static void
test_limits (void)
{
  Fixture *fixture = begin (64, 0, false);
  FtLimits concurrent = { .concurrent = 1 }, per_minute = { .requests_per_minute = 2 },
           tokens = { .tokens_per_minute = 500 };

  ft_pool_update_server (fixture->pool, "e1", 1, FT_SERVER_LIVE);
  unsigned a = ask_with (fixture, 1, "a", concurrent, 2000, 60000, 100);
  unsigned b = ask_with (fixture, 1, "a", concurrent, 2000, 60000, 100);
  g_assert_cmpint (fixture->seen[a].kind, ==, RUNNING);
  g_assert_cmpint (fixture->seen[b].reason, ==, FT_REASON_LIMIT_CONCURRENT);
  done (fixture, a);
  unsigned c = 0;
  for (unsigned i = 0; i < 3; i++)
    c = ask_with (fixture, 1, "b", per_minute, 2000, 60000, 100);
  g_assert_cmpint (fixture->seen[c].reason, ==, FT_REASON_LIMIT_REQUESTS);
  g_assert_cmpint (fixture->seen[c].retry_ms, <=, 30001);
  ask_with (fixture, 1, "c", tokens, 2000, 60000, 200);
  unsigned d = ask_with (fixture, 1, "c", tokens, 2000, 60000, 200);
  g_assert_cmpint (fixture->seen[d].reason, ==, FT_REASON_LIMIT_TOKENS);
  g_assert_false (ft_reason_info (FT_REASON_LIMIT_TOKENS)->shortage);
  for (unsigned i = 1; i <= fixture->asked; i++)
    if (fixture->seen[i].kind == RUNNING)
      done (fixture, i); /* a minute of silence would make the server suspect */
  pass (fixture, 60000);
  unsigned e = ask_with (fixture, 1, "b", per_minute, 2000, 60000, 100);
  g_assert_cmpint (fixture->seen[e].kind, ==, RUNNING);
  end (fixture);
}

/* The queue holds its limit of low requests when a high one comes: the last low one leaves. */
static void
test_queue_full (void)
{
  Fixture *fixture = begin (1, 2, true);

  ft_pool_update_server (fixture->pool, "s1", 1, FT_SERVER_LIVE);
  ask (fixture, 1, "o");
  unsigned low = ask_with (fixture, 5, "o", (FtLimits){ 0 }, 60000, 90000, 1);
  unsigned last = ask_with (fixture, 5, "o", (FtLimits){ 0 }, 60000, 90000, 1);
  unsigned high = ask (fixture, 2, "o");
  g_assert_cmpint (fixture->seen[last].reason, ==, FT_REASON_SHED_FOR_HIGHER_TIER);
  g_assert_cmpint (fixture->seen[low].kind, ==, WAITING);
  g_assert_cmpint (fixture->seen[high].kind, ==, WAITING);
  unsigned lower = ask_with (fixture, 5, "o", (FtLimits){ 0 }, 60000, 90000, 1);
  g_assert_cmpint (fixture->seen[lower].reason, ==, FT_REASON_QUEUE_FULL);
  end (fixture);
}

/* A hog fills the queue of its tier. Another organisation's first request is granted next, before
 * the hog's hundred that came earlier. */
static void
test_fair (void)
{
  Fixture *fixture = begin (1, 0, false);
  unsigned first, hog = 0;

  ft_pool_update_server (fixture->pool, "e1", 1, FT_SERVER_LIVE);
  first = ask (fixture, 3, "hog");
  for (unsigned i = 0; i < 100; i++)
    hog = ask_with (fixture, 3, "hog", (FtLimits){ 0 }, 600000, 900000, 100);
  unsigned small = ask_with (fixture, 3, "small", (FtLimits){ 0 }, 600000, 900000, 100);
  done (fixture, first);
  g_assert_cmpint (fixture->seen[small].kind, ==, RUNNING);
  g_assert_cmpint (fixture->seen[hog].kind, ==, WAITING);
  end (fixture);
}

/* A server leaves: what runs there goes on, nothing new is granted to it. */
static void
test_leaving (void)
{
  Fixture *fixture = begin (8, 0, false);

  ft_pool_update_server (fixture->pool, "e1", 1, FT_SERVER_LIVE);
  unsigned one = ask (fixture, 3, "o");
  ft_pool_update_server (fixture->pool, "e1", 1, FT_SERVER_LEAVING);
  unsigned two = ask (fixture, 3, "o");
  g_assert_cmpint (fixture->seen[one].kind, ==, RUNNING);
  g_assert_cmpint (fixture->seen[two].kind, ==, WAITING);
  ft_pool_update_server (fixture->pool, "e2", 1, FT_SERVER_LIVE);
  g_assert_cmpstr (fixture->seen[two].server, ==, "e2");
  end (fixture);
}

/* A prompt that a server holds goes there again while it has room; the second server gets its own
 * share once the first has none. */
static void
test_prefix (void)
{
  Fixture *fixture = begin (2, 0, false);
  uint64_t blocks[32];
  char where[3][32];

  for (unsigned i = 0; i < 32; i++)
    blocks[i] = i + 1;
  ft_pool_update_server (fixture->pool, "e1", 1, FT_SERVER_LIVE);
  ft_pool_update_server (fixture->pool, "e2", 1, FT_SERVER_LIVE);
  for (unsigned i = 0; i < 3; i++)
    {
      unsigned number = ++fixture->asked;
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
      fixture->seen[number].tier = 1;
      ft_pool_submit (fixture->pool, &request);
      if (i == 0)
        ft_pool_progress (fixture->pool, 1, number, 1);
      g_strlcpy (where[i], fixture->seen[number].server, 32);
    }
  g_assert_cmpstr (where[1], ==, where[0]);
  g_assert_cmpstr (where[2], !=, where[0]);
  end (fixture);
}

/* Thousands of random events; both rules of the tiers are checked at every decision from the
 * test's own ledger, and no request is granted twice. */
static void
test_random_tiers (void)
{
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      Fixture *fixture = begin (3, seed % 2 ? 0 : 12, false);
      GRand *random = g_rand_new_with_seed (seed);
      unsigned refused = 0, paused = 0;

      fixture->check_tiers = true;
      for (unsigned i = 0; i < 3; i++)
        ft_pool_update_server (fixture->pool, (const char *[]){ "a", "b", "c" }[i], 1,
                               FT_SERVER_LIVE);
      for (unsigned step = 0; step < 4000; step++)
        {
          unsigned number
              = 1 + (unsigned) g_rand_int_range (random, 0, (gint32) fixture->asked + 1);
          if (g_rand_int_range (random, 0, 3) == 0)
            ask_with (fixture, (unsigned) g_rand_int_range (random, 1, 6),
                      g_rand_int_range (random, 0, 2) ? "x" : "y", (FtLimits){ 0 },
                      g_rand_int_range (random, 100, 5000), 60000,
                      (unsigned) g_rand_int_range (random, 1, 3000));
          else if (number <= fixture->asked && fixture->seen[number].kind == RUNNING)
            done (fixture, number);
          pass (fixture, g_rand_int_range (random, 0, 40));
          for (unsigned i = 1; i <= fixture->asked; i++) /* engines make progress */
            if (fixture->seen[i].kind == RUNNING)
              ft_pool_progress (fixture->pool, 1, i, step + 2);
        }
      for (unsigned i = 1; i <= fixture->asked; i++)
        {
          g_assert_cmpuint (fixture->seen[i].grants, <=, 1);
          refused += fixture->seen[i].kind == REFUSED;
          paused += fixture->seen[i].kind == PAUSED;
        }
      g_assert_cmpuint (refused, >, 10); /* the rules were put to the test */
      FtPoolStats stats;
      ft_pool_stats (fixture->pool, &stats);
      g_assert_cmpuint (stats.tier_violations, ==, 0);
      (void) paused;
      g_rand_free (random);
      end (fixture);
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
