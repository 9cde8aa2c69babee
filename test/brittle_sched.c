/* brittle_sched.c - tests of servers that crash if they reject too many requests in a second, with
 * a simulated clock. */
#include "engines.h"

static int
server_of (unsigned number)
{
  return model->jobs[number].server;
}

#define SLOTS   8
#define A_WHILE (50 * FT_MS) /* after it a request that was not rejected is taken for accepted */

/* Sends a request and withdraws it if it is not placed at once. */
static unsigned
try_grant (void)
{
  unsigned number = ask (0, 100, 10);
  SchedResult withdrawn = { .outcome = SCHED_LEFT };

  if (server_of (number) >= 0)
    return number;
  sched_done (model->sched, 1, number, &withdrawn);
  return G_MAXUINT;
}

/* How many of so many requests are placed. The last one is *last. */
static unsigned
grant_some (unsigned count, unsigned *last)
{
  unsigned placed = 0;

  for (unsigned i = 0; i < count; i++)
    {
      unsigned number = try_grant ();
      placed += number != G_MAXUINT;
      if (number != G_MAXUINT && last)
        *last = number;
    }
  return placed;
}

/* Places requests for a while, so that all of them are accepted. */
static unsigned
grant_slowly (unsigned count)
{
  unsigned placed = 0;

  for (unsigned i = 0; i < count; i++, model->clock.now += A_WHILE)
    placed += grant_some (1, NULL);
  return placed;
}

static void
end_request (unsigned number, SchedOutcome outcome)
{
  SchedResult result = { .outcome = outcome };

  model->servers[server_of (number)].running--;
  sched_done (model->sched, 1, number, &result);
}

static void
announce (unsigned request, double brittleness)
{
  Notice notice = { .brittleness = brittleness };

  sched_notice (model->sched, 1, request, "s0", &notice);
}

static bool
is_brittle (void)
{
  return sched_is_paced (model->sched, "s0");
}

/* An answer without the notice, to a request sent before the notice arrived, arrives late. */
static void
overtaken_notices (void)
{
  model_begin (1, 6, false);
  unsigned early = try_grant ();
  model->clock.now += 100 * FT_MS;
  unsigned current = try_grant ();
  model->clock.now += 100 * FT_MS;
  announce (current, 4);
  g_assert_true (is_brittle ());
  announce (early, 0);
  g_assert_true (is_brittle ());
  model->clock.now += 100 * FT_MS;
  unsigned later = try_grant ();
  g_assert_cmpuint (later, !=, G_MAXUINT);
  announce (later, 0);
  g_assert_false (is_brittle ());
  model_end ();
}

/* A notice of one incarnation does not bind another one. */
static void
one_incarnation (void)
{
  model_begin (2, 6, false);
  Notice notice = { .brittleness = 4 };
  sched_older_notice (model->sched, 1, "s1", &notice, 0);
  g_assert_true (sched_is_paced (model->sched, "s1"));
  g_assert_false (is_brittle ());
  model_end ();
}

static void
begin_brittle (double brittleness)
{
  model_begin (1, SLOTS, false);
  announce (G_MAXUINT, brittleness);
}

/* Guards against sending more requests at once than the server may reject: two of the four that it
 * bears, until they count as accepted. */
static void
few_at_once (void)
{
  begin_brittle (4);
  g_assert_cmpuint (grant_some (SLOTS, NULL), ==, 2);
  model->clock.now += A_WHILE;
  g_assert_cmpuint (grant_some (SLOTS, NULL), ==, 2);
  model_end ();
}

/* Guards against a new request after a rejection before one of its requests has ended and a pause
 * has passed. */
static void
end_and_pause_after_rejection (void)
{
  unsigned first, last;

  begin_brittle (100);
  first = try_grant ();
  model->clock.now += A_WHILE;
  g_assert_cmpuint (grant_slowly (2), ==, 2);
  last = try_grant ();
  end_request (last, SCHED_REJECTED);
  model->clock.now += FT_SECOND;
  g_assert_cmpuint (try_grant (), ==, G_MAXUINT); /* none has ended */
  end_request (first, SCHED_OK);
  g_assert_cmpuint (grant_some (2, &last), ==, 1);
  end_request (last, SCHED_REJECTED);
  end_request (1, SCHED_OK);
  model->clock.now += 50 * FT_MS;
  g_assert_cmpuint (try_grant (), ==, G_MAXUINT); /* within the pause */
  model->clock.now += 60 * FT_MS;
  g_assert_cmpuint (try_grant (), !=, G_MAXUINT);
  model_end ();
}

/* Guards against rejections that sum up: of four that the server bears in a second it gets two at
 * once, one more by itself, and nothing until the first are over. */
static void
rejections_sum_up (void)
{
  unsigned a, b;

  begin_brittle (4);
  a = try_grant ();
  b = try_grant ();
  end_request (a, SCHED_REJECTED);
  end_request (b, SCHED_REJECTED);
  model->clock.now += 200 * FT_MS;
  a = try_grant ();
  g_assert_cmpuint (a, !=, G_MAXUINT);
  end_request (a, SCHED_REJECTED);
  model->clock.now += 900 * FT_MS;
  g_assert_cmpuint (try_grant (), ==, G_MAXUINT);
  model->clock.now += 500 * FT_MS;
  g_assert_cmpuint (try_grant (), !=, G_MAXUINT);
  model_end ();
}

/* Guards against schedulers that each risk all rejections that the server bears. */
static void
shares_of_the_risk (void)
{
  begin_brittle (16);
  sched_set_rate_share (model->sched, 0.25);
  g_assert_cmpuint (grant_some (SLOTS, NULL), ==, 2);
  model_end ();
}

/* The server runs so many requests and rejects the next one. Returns how many it runs. */
static unsigned
fill_and_reject (unsigned room)
{
  unsigned running = grant_slowly (room), last = try_grant ();

  end_request (last, SCHED_REJECTED);
  return running;
}

/* Guards against growth of the room soon after a rejection: by one, after a calm time, on a
 * success. If the server rejects that request, too, the next time is longer. */
static void
slow_growth (void)
{
  unsigned last = 0;

  begin_brittle (100);
  g_assert_cmpuint (fill_and_reject (4), ==, 4);
  model->clock.now += 3 * FT_SECOND;
  end_request (0, SCHED_OK);
  g_assert_cmpuint (grant_some (3, NULL), ==, 1); /* not calm for long enough */
  model->clock.now += 2 * FT_SECOND;
  g_assert_cmpuint (try_grant (), ==, G_MAXUINT); /* no success yet */
  end_request (1, SCHED_OK);
  g_assert_cmpuint (grant_some (3, &last), ==, 2);
  end_request (last, SCHED_REJECTED);
  model->clock.now += 5 * FT_SECOND; /* enough the first time */
  end_request (2, SCHED_OK);
  g_assert_cmpuint (grant_some (3, NULL), ==, 1);
  model_end ();
}

/* Guards against a successor that fills the server without knowing its room: it starts with what
 * runs there. */
static void
successor_starts_with_what_runs (void)
{
  Notice notice = { .brittleness = 100 };
  SchedAsk running
      = { .owner = 2, .service = "s", .org = "o", .prompt_tokens = 100, .output_tokens = 10 };

  model_begin (1, SLOTS, false);
  sched_older_notice (model->sched, 1, "s0", &notice, 0);
  for (running.request = 0; running.request < 3; running.request++)
    sched_adopt (model->sched, &running, "s0");
  g_assert_cmpuint (grant_slowly (3), ==, 0);
  SchedResult ok = { .outcome = SCHED_OK };
  sched_done (model->sched, 2, 0, &ok);
  g_assert_cmpuint (grant_slowly (3), ==, 1);
  model_end ();
}

/* Guards against filling a server that has just restarted: a new server of a service with brittle
 * ones gets one request, and more with each success. */
static void
new_server_starts_small (void)
{
  begin_brittle (100);
  g_assert_cmpuint (grant_some (SLOTS, NULL), ==, SLOTS);
  model->server_count = 2;
  snprintf (model->servers[1].id, sizeof model->servers[1].id, "s1");
  model->servers[1].speed = 1;
  set_server_list ();
  unsigned first = try_grant ();
  g_assert_cmpuint (first, !=, G_MAXUINT);
  model->clock.now += A_WHILE;
  g_assert_cmpuint (try_grant (), ==, G_MAXUINT);
  end_request (first, SCHED_OK);
  g_assert_cmpuint (grant_some (SLOTS, NULL), ==, 2);
  model_end ();
}

/* Guards against schedulers that use up all places between them: each with half of the places keeps
 * a quarter of its own free. */
static void
reserve_beside_others (void)
{
  begin_brittle (100);
  sched_set_share (model->sched, 0.5, 0);
  g_assert_cmpuint (grant_slowly (SLOTS), ==, 3);
  model_end ();
}

/* Guards against a room so small that this scheduler's share of it is no place and never grows,
 * since it learns nothing. */
static void
share_that_is_no_place (void)
{
  uint64_t salt = 0;
  unsigned number;

  begin_brittle (100);
  end_request (try_grant (), SCHED_REJECTED); /* it has room for one */
  model->clock.now += FT_SECOND;
  for (;; salt++)
    {
      sched_set_share (model->sched, 0.25, salt);
      number = try_grant ();
      if (number == G_MAXUINT)
        break;
      end_request (number, SCHED_LEFT);
    }
  for (unsigned i = 0; i < 30; i++, model->clock.now += FT_SECOND)
    {
      ask (0, 100, 10);
      sched_tick (model->sched);
    }
  g_assert_cmpuint (model->servers[0].running, >, 0);
  model_end ();
}

/* Guards against taking a brittle server that rejects for a failing one. */
static void
rejections_are_no_failures (void)
{
  begin_brittle (100);
  for (unsigned i = 0; i < 10; i++, model->clock.now += FT_SECOND)
    end_request (try_grant (), SCHED_REJECTED);
  g_assert_cmpuint (model->taken_out_count, ==, 0);
  char *text = sched_describe (model->sched);
  g_assert_nonnull (strstr (text, "failures=0.00"));
  g_free (text);
  model_end ();
}

/* How many requests of the lowest tier wait, and are not refused, when the server has this room. */
static unsigned
count_admitted (unsigned room)
{
  unsigned admitted = 0;

  begin_brittle (100);
  g_assert_cmpuint (fill_and_reject (room), ==, room);
  model->clock.now += FT_SECOND;
  for (unsigned i = 0; i < 200; i++)
    admitted += !model->jobs[ask (2, 400, 40)].refused;
  model_end ();
  return admitted;
}

/* Guards against admitting requests by listed places that a brittle server does not have: they
 * would be held in vain. */
static void
lost_room_sheds_load (void)
{
  unsigned two = count_admitted (2), six = count_admitted (6);

  g_test_message ("admitted with room for 2: %u, for 6: %u", two, six);
  g_assert_cmpuint (two * 2, <, six);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/brittle_sched/overtaken", overtaken_notices);
  g_test_add_func ("/brittle_sched/one_incarnation", one_incarnation);
  g_test_add_func ("/brittle_sched/few_at_once", few_at_once);
  g_test_add_func ("/brittle_sched/end_and_pause", end_and_pause_after_rejection);
  g_test_add_func ("/brittle_sched/rejections_sum_up", rejections_sum_up);
  g_test_add_func ("/brittle_sched/shares", shares_of_the_risk);
  g_test_add_func ("/brittle_sched/growth", slow_growth);
  g_test_add_func ("/brittle_sched/successor", successor_starts_with_what_runs);
  g_test_add_func ("/brittle_sched/new_server", new_server_starts_small);
  g_test_add_func ("/brittle_sched/reserve", reserve_beside_others);
  g_test_add_func ("/brittle_sched/no_failures", rejections_are_no_failures);
  g_test_add_func ("/brittle_sched/sheds_load", lost_room_sheds_load);
  g_test_add_func ("/brittle_sched/no_place", share_that_is_no_place);
  return g_test_run ();
}
