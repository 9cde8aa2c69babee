/* backoff.c - tests of servers that ask one owner of requests to back off, or announce that they
 * are leaving, with a simulated clock. */
#include "engines.h"

#define WAIT_MAX_US (4 * FT_SECOND) /* a first event after that is of no use to the caller */

static unsigned
ask_from (uint64_t owner)
{
  unsigned number = model->job_count++;
  int64_t now = model->clock.now;
  SchedAsk ask = { .owner = owner,
                   .request = number,
                   .service = "s",
                   .org = "o",
                   .stream = true,
                   .repeatable = true,
                   .prompt_tokens = 100,
                   .output_tokens = 10,
                   .aim_at = now + FT_SECOND,
                   .limit_at = now + WAIT_MAX_US,
                   .end_at = now + 12 * FT_SECOND };

  model->jobs[number] = (Job){ .arrived_at = now, .server = -1 };
  sched_ask (model->sched, &ask);
  return number;
}

static int
server_of (unsigned number)
{
  return model->jobs[number].server;
}

static void
set_backoff (uint64_t owner, const char *server, int64_t us)
{
  Notice notice = { .backoff_us = us };

  sched_older_notice (model->sched, owner, server, &notice, 0);
}

static void
finish_request (uint64_t owner, unsigned number)
{
  SchedResult result = { .outcome = SCHED_OK };

  model->servers[server_of (number)].running--;
  sched_done (model->sched, owner, number, &result);
}

/* The server serves other owners meanwhile, and the owner again after the backoff. */
static void
one_owner_only (void)
{
  model_begin (2, 6, false);
  set_backoff (1, "s0", 3 * FT_SECOND);
  bool others = false;
  for (unsigned i = 0; i < 6; i++)
    {
      g_assert_cmpint (server_of (ask_from (1)), ==, 1);
      others = others || server_of (ask_from (2)) == 0;
    }
  g_assert_true (others);
  model->clock.now += 3 * FT_SECOND;
  g_assert_cmpint (server_of (ask_from (1)), ==, 0); /* the other server has no free place */
  model_end ();
}

/* All servers ask for a backoff that exceeds the longest useful wait: the request is refused at
 * once. */
static void
refused_at_once (void)
{
  model_begin (2, 6, false);
  set_backoff (1, "s0", 9 * FT_SECOND);
  set_backoff (1, "s1", 30 * FT_SECOND);
  unsigned number = ask_from (1);
  g_assert_true (model->jobs[number].refused);
  g_assert_cmpint (model->jobs[number].refused_after_us, ==, 0);
  g_assert_cmpint (model->jobs[number].advice_us, ==,
                   4 * FT_SECOND); /* a third of its remaining time */
  g_assert_cmpint (server_of (ask_from (2)), >=, 0);
  model_end ();
}

/* With short backoffs the request waits, and goes to the first server whose backoff ends. */
static void
waits_for_first_end (void)
{
  model_begin (2, 6, false);
  set_backoff (1, "s0", 9 * FT_SECOND);
  set_backoff (1, "s1", 500 * FT_MS);
  unsigned number = ask_from (1);
  g_assert_false (model->jobs[number].refused);
  g_assert_cmpint (server_of (number), ==, -1);
  model->clock.now += 510 * FT_MS;
  sched_tick (model->sched);
  g_assert_cmpint (server_of (number), ==, 1);
  model_end ();
}

/* The backoff is extended while a request waits: the request is refused then, not when its
 * caller gives up. */
static void
extended_while_waiting (void)
{
  model_begin (1, 6, false);
  set_backoff (1, "s0", 500 * FT_MS);
  unsigned number = ask_from (1);
  model->clock.now += 100 * FT_MS;
  set_backoff (1, "s0", 20 * FT_SECOND);
  sched_tick (model->sched);
  g_assert_true (model->jobs[number].refused);
  g_assert_cmpint (model->jobs[number].refused_after_us, ==, 100 * FT_MS);
  model_end ();
}

/* The only free place is on a server that asked the owner to back off. */
static void
free_place_in_backoff (void)
{
  model_begin (2, 1, false);
  unsigned first = ask_from (2), second = ask_from (2);
  set_backoff (1, "s0", 9 * FT_SECOND);
  finish_request (2, server_of (first) == 0 ? first : second);
  unsigned number = ask_from (1);
  g_assert_cmpint (server_of (number), ==, -1);
  g_assert_false (model->jobs[number].refused); /* the other server's place will be free in time */
  finish_request (2, server_of (first) == 1 ? first : second);
  g_assert_cmpint (server_of (number), ==, 1);
  model_end ();
}

/* Backoffs of an owner whose link is lost are dropped; the owner reports them again when it
 * reconnects. */
static void
owner_gone (void)
{
  model_begin (1, 6, false);
  set_backoff (1, "s0", 9 * FT_SECOND);
  sched_owner_gone (model->sched, 1);
  g_assert_cmpint (server_of (ask_from (1)), ==, 0);
  model_end ();
}

/* A server announces that it is leaving, while outdated lists still show it as ready. */
static void
stale_list_after_leaving (void)
{
  Notice notice = { .leaving = true };

  model_begin (2, 6, false);
  sched_older_notice (model->sched, 1, "s0", &notice, 0);
  set_server_list ();
  for (unsigned i = 0; i < 6; i++)
    g_assert_cmpint (server_of (ask_from (i % 2 + 1)), ==, 1);
  unsigned number = ask_from (1);
  g_assert_cmpint (server_of (number), ==, -1);
  set_server_list ();
  g_assert_cmpint (server_of (number), ==, -1);
  model_end ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/backoff/one_owner", one_owner_only);
  g_test_add_func ("/backoff/refused_at_once", refused_at_once);
  g_test_add_func ("/backoff/waits", waits_for_first_end);
  g_test_add_func ("/backoff/renewed", extended_while_waiting);
  g_test_add_func ("/backoff/free_place_of_no_use", free_place_in_backoff);
  g_test_add_func ("/backoff/owner_gone", owner_gone);
  g_test_add_func ("/backoff/stale_list_after_leaving", stale_list_after_leaving);
  return g_test_run ();
}
