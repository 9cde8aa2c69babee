/* pace.c - servers that name the rate that they take, before a scheduler on a clock of the test's
 * own. */
#include "engines.h"
#include "rules.h"

#define SETTLE (3 * FT_SECOND)

/* What the servers saw, by the records of the world. */
static GArray *
seen (void)
{
  GArray *arrivals = g_array_new (FALSE, FALSE, sizeof (Arrival));

  for (unsigned i = 0; i < world->works; i++)
    {
      const Work *work = &world->work[i];
      Arrival arrival = { .server = (unsigned) work->server,
                          .instance = 1,
                          .at = work->sent_at,
                          .answered_at = work->first_told ? work->first_at : 0,
                          .rate = work->rate };
      if (work->server >= 0)
        g_array_append_val (arrivals, arrival);
    }
  return arrivals;
}

static unsigned
over_rate (void)
{
  GArray *arrivals = seen ();
  Rules rules = { .arrivals = arrivals, .settle_us = SETTLE };
  unsigned over = rules_over_rate (&rules);

  g_array_unref (arrivals);
  return over;
}

static unsigned
sent_to (unsigned server, int64_t from, int64_t to)
{
  unsigned count = 0;

  for (unsigned i = 0; i < world->works; i++)
    {
      const Work *work = &world->work[i];
      count += work->server == (int) server && work->sent_at >= from && work->sent_at < to;
    }
  return count;
}

/* Two of twelve servers name rates while more is asked for than all can take. */
static void
rate_under_overload (void)
{
  begin (SERVERS, 6, true);
  load (4, 60, usual);
  world->servers[0].rate = 1.6;
  world->servers[1].rate = 3.2;
  load (14, 150, usual);
  g_assert_cmpuint (over_rate (), ==, 0);
  int64_t now = world->clock.now;
  g_assert_cmpuint (sent_to (0, now - 10 * FT_SECOND, now), <=, 17);
  g_assert_cmpuint (sent_to (0, now - 10 * FT_SECOND, now), >=, 14); /* what it takes it gets */
  settle ();
  end ();
}

/* Rates below one request in four seconds, and beyond what a server runs at once. */
static void
lowest_and_highest_rates (void)
{
  begin (SERVERS, 6, false);
  load (2, 60, usual);
  world->servers[0].rate = 0.1;
  world->servers[1].rate = NOTICE_RATE_MIN;
  world->servers[2].rate = 1000;
  load (2, 60, usual);
  int64_t from = world->clock.now;
  load (20, 60, usual);
  g_assert_cmpuint (over_rate (), ==, 0);
  g_assert_cmpuint (sent_to (0, from, world->clock.now), <=, 3);
  g_assert_cmpuint (sent_to (1, from, world->clock.now), <=, 2);
  g_assert_cmpuint (sent_to (2, from, world->clock.now) * 2, >=,
                    sent_to (3, from, world->clock.now));
  settle ();
  end ();
}

/* A server that names a rate no more gets as much as the others again. */
static void
rate_that_ends (void)
{
  begin (4, 6, false);
  load (2, 45, usual);
  world->servers[0].rate = 1;
  load (6, 45, usual);
  world->servers[0].rate = 0;
  load (2, 45, usual);
  int64_t from = world->clock.now;
  load (4, 45, usual);
  g_assert_cmpuint (sent_to (0, from, world->clock.now), >, 8);
  g_assert_cmpuint (over_rate (), ==, 0);
  settle ();
  end ();
}

/* All servers of a service name rates: the highest tier goes first, nothing is held to its end, and
 * refusals say when to come back. */
static void
all_servers_limited (void)
{
  begin (4, 6, false);
  load (3, 20, usual);
  for (unsigned i = 0; i < 4; i++)
    world->servers[i].rate = 2;
  load (2, 20, usual);
  unsigned from = world->works;
  load (10, 20, usual);
  settle ();
  g_assert_cmpuint (over_rate (), ==, 0);
  Tally high = tally (0, from), low = tally (2, from);
  g_assert_cmpuint (high.in_time * 100, >=, high.asked * 75); /* 6.4 of the 8 a second */
  g_assert_cmpuint (low.refused * 2, >, low.asked);
  unsigned refused = 0, at_once = 0;
  for (unsigned i = from; i < world->works; i++)
    if (world->work[i].refused)
      {
        g_assert_cmpint (world->work[i].advice, >, 0);
        refused++;
        at_once += world->work[i].refused_after < 100 * FT_MS;
      }
  g_test_message ("%u refused, %u at once", refused, at_once);
  g_assert_cmpuint (at_once * 2, >, refused); /* as early as it is known */
  g_assert_cmpint (low.late_refusal, <=, world->patience);
  end ();
}

/* A server that answers slower than its rate, or turns away beyond it, is not taken for failing. */
static void
limited_is_not_failing (void)
{
  begin (4, 6, false);
  load (2, 20, usual);
  world->servers[0].rate = 0.5;
  load (20, 20, usual);
  g_assert_cmpuint (world->outs, ==, 0);
  settle ();
  end ();
}

/* One scheduler that grants by hand, to see words on a rate one by one. */

static unsigned
granted_at_server (void)
{
  unsigned number = ask (0, 100, 10);

  return world->work[number].server >= 0 ? number : G_MAXUINT;
}

static void
say (unsigned request, double rate)
{
  Notice notice = { .rate = rate };

  sched_notice (world->sched, 1, request, "s0", &notice);
}

static bool
is_paced (void)
{
  return sched_is_paced (world->sched, "s0");
}

/* An answer that names none, to a request from before the rate was named, comes late. */
static void
overtaken_words (void)
{
  begin (1, 6, false);
  unsigned early = granted_at_server ();
  world->clock.now += 100 * FT_MS;
  unsigned told = granted_at_server ();
  world->clock.now += 100 * FT_MS;
  say (told, 2);
  g_assert_true (is_paced ());
  say (early, 0); /* says how it was before */
  g_assert_true (is_paced ());
  say (early, 50);
  world->clock.now += 500 * FT_MS;
  unsigned later = granted_at_server (); /* one in half a second */
  g_assert_cmpuint (later, !=, G_MAXUINT);
  g_assert_cmpuint (granted_at_server (), ==, G_MAXUINT);
  say (early, 1); /* a lower one counts at once */
  world->clock.now += 600 * FT_MS;
  g_assert_cmpuint (granted_at_server (), ==, G_MAXUINT);
  say (later, 0);
  g_assert_true (is_paced ()); /* since the lower one was heard after that was granted */
  world->clock.now += 500 * FT_MS;
  sched_tick (world->sched);
  unsigned last = world->works - 1;
  for (unsigned i = 0; i < world->works; i++)
    if (world->work[i].server >= 0)
      last = i;
  say (last, 0);
  g_assert_false (is_paced ());
  end ();
}

/* It got what it got until it named the rate: nothing more goes there at once. */
static void
bucket_opens_empty (void)
{
  begin (1, 6, false);
  unsigned told = granted_at_server ();
  world->clock.now += 10 * FT_MS;
  say (told, 2);
  g_assert_cmpuint (granted_at_server (), ==, G_MAXUINT);
  end ();
}

/* A successor learns a rate from those who heard it, and gives no more at once than they waited. */
static void
successor_of_a_scheduler (void)
{
  Notice two = { .rate = 2 };

  begin (1, 6, false);
  sched_older_notice (world->sched, 1, "s0", &two, 0);
  g_assert_cmpuint (granted_at_server (), ==, G_MAXUINT);
  end ();
  begin (1, 6, false);
  sched_older_notice (world->sched, 1, "s0", &two, 60 * FT_SECOND);
  g_assert_cmpuint (granted_at_server (), !=, G_MAXUINT);
  g_assert_cmpuint (granted_at_server (), ==, G_MAXUINT);
  end ();
}

/* Seven schedulers that have a seventh of each rate pass no more than all of it together. */
static void
parts_of_a_rate (void)
{
  GArray *arrivals = g_array_new (FALSE, FALSE, sizeof (Arrival));
  Rules rules = { .arrivals = arrivals, .settle_us = SETTLE };
  Notice notice = { .rate = 7 };
  World *worlds[7];

  for (unsigned i = 0; i < 7; i++)
    {
      begin (2, 6, false);
      worlds[i] = world;
      sched_set_rate_share (world->sched, 1.0 / 7);
      sched_older_notice (world->sched, 1, "s0", &notice, 0);
    }
  for (unsigned t = 0; t < 7500; t++) /* 15 s */
    for (unsigned i = 0; i < 7; i++)
      {
        world = worlds[i];
        world->servers[0].rate = 7;
        if (t % 5 == i % 5)
          ask (2, 100, 10);
        step ();
      }
  for (unsigned i = 0; i < 7; i++)
    {
      world = worlds[i];
      GArray *part = seen ();
      g_array_append_vals (arrivals, part->data, part->len);
      g_array_unref (part);
    }
  for (unsigned i = 0; i < arrivals->len; i++) /* servers of other numbers have no rate */
    g_assert_true (g_array_index (arrivals, Arrival, i).server < 2);
  g_array_sort (arrivals, rules_by_arrival);
  g_assert_cmpuint (rules_over_rate (&rules), ==, 0);
  for (unsigned i = 0; i < 7; i++)
    {
      world = worlds[i];
      end ();
    }
  g_array_unref (arrivals);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pace/overload", rate_under_overload);
  g_test_add_func ("/pace/lowest_and_highest", lowest_and_highest_rates);
  g_test_add_func ("/pace/ends", rate_that_ends);
  g_test_add_func ("/pace/all_limited", all_servers_limited);
  g_test_add_func ("/pace/not_failing", limited_is_not_failing);
  g_test_add_func ("/pace/overtaken", overtaken_words);
  g_test_add_func ("/pace/opens_empty", bucket_opens_empty);
  g_test_add_func ("/pace/successor", successor_of_a_scheduler);
  g_test_add_func ("/pace/parts", parts_of_a_rate);
  return g_test_run ();
}
