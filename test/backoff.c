/* backoff.c - servers that want nothing from one owner of requests, or leave by their own word,
 * before a scheduler on a clock of the test's own. */
#include "engines.h"

#define PATIENCE (4 * FT_SECOND) /* until the first of an answer is of no use */

static unsigned
ask_by (uint64_t owner)
{
  unsigned number = world->works++;
  int64_t now = world->clock.now;
  SchedAsk ask = { .owner = owner,
                   .request = number,
                   .service = "s",
                   .org = "o",
                   .stream = true,
                   .repeatable = true,
                   .prompt_tokens = 100,
                   .output_tokens = 10,
                   .aim_at = now + FT_SECOND,
                   .limit_at = now + PATIENCE,
                   .end_at = now + 12 * FT_SECOND };

  world->work[number] = (Work){ .arrived = now, .server = -1 };
  sched_ask (world->sched, &ask);
  return number;
}

static int
server_of (unsigned number)
{
  return world->work[number].server;
}

static void
keep_away (uint64_t owner, const char *server, int64_t us)
{
  Notice notice = { .backoff_us = us };

  sched_older_notice (world->sched, owner, server, &notice, 0);
}

static void
end_by (uint64_t owner, unsigned number)
{
  SchedResult result = { .outcome = SCHED_OK };

  world->servers[server_of (number)].running--;
  sched_done (world->sched, owner, number, &result);
}

/* The server serves others meanwhile, and the owner again when its time is over. */
static void
one_owner_only (void)
{
  begin (2, 6, false);
  keep_away (1, "s0", 3 * FT_SECOND);
  bool others = false;
  for (unsigned i = 0; i < 6; i++)
    {
      g_assert_cmpint (server_of (ask_by (1)), ==, 1);
      others = others || server_of (ask_by (2)) == 0;
    }
  g_assert_true (others);
  world->clock.now += 3 * FT_SECOND;
  g_assert_cmpint (server_of (ask_by (1)), ==, 0); /* the other has no place left */
  end ();
}

/* All servers keep the owner away for longer than the answer is of use: it is told so at once. */
static void
refused_at_once (void)
{
  begin (2, 6, false);
  keep_away (1, "s0", 9 * FT_SECOND);
  keep_away (1, "s1", 30 * FT_SECOND);
  unsigned number = ask_by (1);
  g_assert_true (world->work[number].refused);
  g_assert_cmpint (world->work[number].refused_after, ==, 0);
  g_assert_cmpint (world->work[number].advice, ==, 4 * FT_SECOND); /* a third of its time */
  g_assert_cmpint (server_of (ask_by (2)), >=, 0);
  end ();
}

/* They keep it away for a moment: it waits, and goes to the first that takes it again. */
static void
waits_for_the_first (void)
{
  begin (2, 6, false);
  keep_away (1, "s0", 9 * FT_SECOND);
  keep_away (1, "s1", 500 * FT_MS);
  unsigned number = ask_by (1);
  g_assert_false (world->work[number].refused);
  g_assert_cmpint (server_of (number), ==, -1);
  world->clock.now += 510 * FT_MS;
  sched_tick (world->sched);
  g_assert_cmpint (server_of (number), ==, 1);
  end ();
}

/* It waits, and is kept away for longer meanwhile: it is refused then, not at its end. */
static void
renewed_while_it_waits (void)
{
  begin (1, 6, false);
  keep_away (1, "s0", 500 * FT_MS);
  unsigned number = ask_by (1);
  world->clock.now += 100 * FT_MS;
  keep_away (1, "s0", 20 * FT_SECOND);
  sched_tick (world->sched);
  g_assert_true (world->work[number].refused);
  g_assert_cmpint (world->work[number].refused_after, ==, 100 * FT_MS);
  end ();
}

/* The only free places are at a server that keeps the owner away, and the others are full. */
static void
free_place_of_no_use (void)
{
  begin (2, 1, false);
  unsigned first = ask_by (2), second = ask_by (2);
  keep_away (1, "s0", 9 * FT_SECOND);
  end_by (2, server_of (first) == 0 ? first : second);
  unsigned number = ask_by (1);
  g_assert_cmpint (server_of (number), ==, -1);
  g_assert_false (world->work[number].refused); /* the other's place will be free in time */
  end_by (2, server_of (first) == 1 ? first : second);
  g_assert_cmpint (server_of (number), ==, 1);
  end ();
}

/* An owner that is forgotten with its link tells it again; until then nothing keeps it away. */
static void
owner_gone (void)
{
  begin (1, 6, false);
  keep_away (1, "s0", 9 * FT_SECOND);
  sched_owner_gone (world->sched, 1);
  g_assert_cmpint (server_of (ask_by (1)), ==, 0);
  end ();
}

/* A server says itself that it leaves; a list that is older calls it ready again and again. */
static void
stale_list_after_leaving (void)
{
  Notice notice = { .leaving = true };

  begin (2, 6, false);
  sched_older_notice (world->sched, 1, "s0", &notice, 0);
  give_list ();
  for (unsigned i = 0; i < 6; i++)
    g_assert_cmpint (server_of (ask_by (i % 2 + 1)), ==, 1);
  unsigned number = ask_by (1);
  g_assert_cmpint (server_of (number), ==, -1);
  give_list ();
  g_assert_cmpint (server_of (number), ==, -1);
  end ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/backoff/one_owner", one_owner_only);
  g_test_add_func ("/backoff/refused_at_once", refused_at_once);
  g_test_add_func ("/backoff/waits", waits_for_the_first);
  g_test_add_func ("/backoff/renewed", renewed_while_it_waits);
  g_test_add_func ("/backoff/free_place_of_no_use", free_place_of_no_use);
  g_test_add_func ("/backoff/owner_gone", owner_gone);
  g_test_add_func ("/backoff/stale_list_after_leaving", stale_list_after_leaving);
  return g_test_run ();
}
