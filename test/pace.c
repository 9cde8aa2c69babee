/* pace.c - tests of rate limits that servers announce, with a simulated clock. */
#include "engines.h"
#include "rules.h"

#define SETTLE_US (3 * FT_SECOND)

/* The requests that servers received, as Arrival, from the records of the model. */
static GArray *
list_arrivals (void)
{
  GArray *arrivals = g_array_new (FALSE, FALSE, sizeof (Arrival));

  for (unsigned i = 0; i < model->job_count; i++)
    {
      const Job *job = &model->jobs[i];
      Arrival arrival = { .server = (unsigned) job->server,
                          .instance = 1,
                          .at = job->sent_at,
                          .answered_at = job->first_event_reported ? job->first_event_at : 0,
                          .rate = job->rate };
      if (job->server >= 0)
        g_array_append_val (arrivals, arrival);
    }
  return arrivals;
}

static unsigned
over_rate (void)
{
  GArray *arrivals = list_arrivals ();
  Rules rules = { .arrivals = arrivals, .settle_us = SETTLE_US };
  unsigned over = rules_over_rate (&rules);

  g_array_unref (arrivals);
  return over;
}

static unsigned
sent_to (unsigned server, int64_t from, int64_t to)
{
  unsigned count = 0;

  for (unsigned i = 0; i < model->job_count; i++)
    {
      const Job *job = &model->jobs[i];
      count += job->server == (int) server && job->sent_at >= from && job->sent_at < to;
    }
  return count;
}

/* Two of twelve servers announce rate limits in an overload. */
static void
rate_under_overload (void)
{
  model_begin (SERVERS, 6, true);
  run_load (4, 60, default_mix);
  model->servers[0].rate = 1.6;
  model->servers[1].rate = 3.2;
  run_load (14, 150, default_mix);
  g_assert_cmpuint (over_rate (), ==, 0);
  int64_t now = model->clock.now;
  g_assert_cmpuint (sent_to (0, now - 10 * FT_SECOND, now), <=, 17);
  g_assert_cmpuint (sent_to (0, now - 10 * FT_SECOND, now), >=,
                    14); /* it gets what its limit allows */
  drain_jobs ();
  model_end ();
}

/* Limits below one request in four seconds, and above what a server can run at once. */
static void
lowest_and_highest_rates (void)
{
  model_begin (SERVERS, 6, false);
  run_load (2, 60, default_mix);
  model->servers[0].rate = 0.1;
  model->servers[1].rate = NOTICE_RATE_MIN;
  model->servers[2].rate = 1000;
  run_load (2, 60, default_mix);
  int64_t from = model->clock.now;
  run_load (20, 60, default_mix);
  g_assert_cmpuint (over_rate (), ==, 0);
  g_assert_cmpuint (sent_to (0, from, model->clock.now), <=, 3);
  g_assert_cmpuint (sent_to (1, from, model->clock.now), <=, 2);
  g_assert_cmpuint (sent_to (2, from, model->clock.now) * 2, >=,
                    sent_to (3, from, model->clock.now));
  drain_jobs ();
  model_end ();
}

/* A server that stops announcing a limit gets as much as the others again. */
static void
withdrawn_rate (void)
{
  model_begin (4, 6, false);
  run_load (2, 45, default_mix);
  model->servers[0].rate = 1;
  run_load (6, 45, default_mix);
  model->servers[0].rate = 0;
  run_load (2, 45, default_mix);
  int64_t from = model->clock.now;
  run_load (4, 45, default_mix);
  g_assert_cmpuint (sent_to (0, from, model->clock.now), >, 8);
  g_assert_cmpuint (over_rate (), ==, 0);
  drain_jobs ();
  model_end ();
}

/* All servers of a service have rate limits: the highest tier goes first, no request is held
 * until its caller gives up, and refusals advise a wait. */
static void
all_servers_limited (void)
{
  model_begin (4, 6, false);
  run_load (3, 20, default_mix);
  for (unsigned i = 0; i < 4; i++)
    model->servers[i].rate = 2;
  run_load (2, 20, default_mix);
  unsigned from = model->job_count;
  run_load (10, 20, default_mix);
  drain_jobs ();
  g_assert_cmpuint (over_rate (), ==, 0);
  TierCounts high = count_tier (0, from), low = count_tier (2, from);
  g_assert_cmpuint (high.in_time * 100, >=,
                    high.asked
                        * 75); /* it sends 6.4 of the 8 requests a second that the limits allow */
  g_assert_cmpuint (low.refused * 2, >, low.asked);
  unsigned refused = 0, at_once = 0;
  for (unsigned i = from; i < model->job_count; i++)
    if (model->jobs[i].refused)
      {
        g_assert_cmpint (model->jobs[i].advice_us, >, 0);
        refused++;
        at_once += model->jobs[i].refused_after_us < 100 * FT_MS;
      }
  g_test_message ("%u refused, %u at once", refused, at_once);
  g_assert_cmpuint (at_once * 2, >, refused); /* as soon as it is known */
  g_assert_cmpint (low.max_refusal_us, <=, model->max_wait_us);
  model_end ();
}

/* A server that answers rarely because of its rate limit, or rejects what exceeds the limit, is
 * not taken for failing. */
static void
limited_server_is_not_failing (void)
{
  model_begin (4, 6, false);
  run_load (2, 20, default_mix);
  model->servers[0].rate = 0.5;
  run_load (20, 20, default_mix);
  g_assert_cmpuint (model->taken_out_count, ==, 0);
  drain_jobs ();
  model_end ();
}

/* ---- Single notices, with requests granted one by one ---- */

static unsigned
try_grant (void)
{
  unsigned number = ask (0, 100, 10);

  return model->jobs[number].server >= 0 ? number : G_MAXUINT;
}

static void
announce (unsigned request, double rate)
{
  Notice notice = { .rate = rate };

  sched_notice (model->sched, 1, request, "s0", &notice);
}

static bool
is_paced (void)
{
  return sched_is_paced (model->sched, "s0");
}

/* An answer without a limit, to a request sent before the limit was announced, arrives late. */
static void
overtaken_notices (void)
{
  model_begin (1, 6, false);
  unsigned early = try_grant ();
  model->clock.now += 100 * FT_MS;
  unsigned current = try_grant ();
  model->clock.now += 100 * FT_MS;
  announce (current, 2);
  g_assert_true (is_paced ());
  announce (early, 0); /* older than the announcement */
  g_assert_true (is_paced ());
  announce (early, 50);
  model->clock.now += 500 * FT_MS;
  unsigned later = try_grant (); /* one in half a second */
  g_assert_cmpuint (later, !=, G_MAXUINT);
  g_assert_cmpuint (try_grant (), ==, G_MAXUINT);
  announce (early, 1); /* a lower limit applies at once, even from an older answer */
  model->clock.now += 600 * FT_MS;
  g_assert_cmpuint (try_grant (), ==, G_MAXUINT);
  announce (later, 0);
  g_assert_true (is_paced ()); /* the lower limit was announced after this request was granted */
  model->clock.now += 500 * FT_MS;
  sched_tick (model->sched);
  unsigned last = model->job_count - 1;
  for (unsigned i = 0; i < model->job_count; i++)
    if (model->jobs[i].server >= 0)
      last = i;
  announce (last, 0);
  g_assert_false (is_paced ());
  model_end ();
}

/* Until the announcement the server got requests at an unlimited rate, so the token bucket
 * starts empty and nothing more is sent at once. */
static void
bucket_starts_empty (void)
{
  model_begin (1, 6, false);
  unsigned current = try_grant ();
  model->clock.now += 10 * FT_MS;
  announce (current, 2);
  g_assert_cmpuint (try_grant (), ==, G_MAXUINT);
  model_end ();
}

/* A new scheduler learns a rate limit from nodes that received it, and grants no more at once
 * than the time since the announcement allows. */
static void
successor_of_a_scheduler (void)
{
  Notice two = { .rate = 2 };

  model_begin (1, 6, false);
  sched_older_notice (model->sched, 1, "s0", &two, 0);
  g_assert_cmpuint (try_grant (), ==, G_MAXUINT);
  model_end ();
  model_begin (1, 6, false);
  sched_older_notice (model->sched, 1, "s0", &two, 60 * FT_SECOND);
  g_assert_cmpuint (try_grant (), !=, G_MAXUINT);
  g_assert_cmpuint (try_grant (), ==, G_MAXUINT);
  model_end ();
}

/* Seven schedulers with a seventh of each rate limit stay within the limit together. */
static void
shares_of_a_rate (void)
{
  GArray *arrivals = g_array_new (FALSE, FALSE, sizeof (Arrival));
  Rules rules = { .arrivals = arrivals, .settle_us = SETTLE_US };
  Notice notice = { .rate = 7 };
  Model *models[7];

  for (unsigned i = 0; i < 7; i++)
    {
      model_begin (2, 6, false);
      models[i] = model;
      sched_set_rate_share (model->sched, 1.0 / 7);
      sched_older_notice (model->sched, 1, "s0", &notice, 0);
    }
  for (unsigned t = 0; t < 7500; t++) /* 15 s */
    for (unsigned i = 0; i < 7; i++)
      {
        model = models[i];
        model->servers[0].rate = 7;
        if (t % 5 == i % 5)
          ask (2, 100, 10);
        step ();
      }
  for (unsigned i = 0; i < 7; i++)
    {
      model = models[i];
      GArray *one = list_arrivals ();
      g_array_append_vals (arrivals, one->data, one->len);
      g_array_unref (one);
    }
  for (unsigned i = 0; i < arrivals->len; i++) /* other servers have no limit */
    g_assert_true (g_array_index (arrivals, Arrival, i).server < 2);
  g_array_sort (arrivals, rules_compare_arrivals);
  g_assert_cmpuint (rules_over_rate (&rules), ==, 0);
  for (unsigned i = 0; i < 7; i++)
    {
      model = models[i];
      model_end ();
    }
  g_array_unref (arrivals);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pace/overload", rate_under_overload);
  g_test_add_func ("/pace/lowest_and_highest", lowest_and_highest_rates);
  g_test_add_func ("/pace/ends", withdrawn_rate);
  g_test_add_func ("/pace/all_limited", all_servers_limited);
  g_test_add_func ("/pace/not_failing", limited_server_is_not_failing);
  g_test_add_func ("/pace/overtaken", overtaken_notices);
  g_test_add_func ("/pace/opens_empty", bucket_starts_empty);
  g_test_add_func ("/pace/successor", successor_of_a_scheduler);
  g_test_add_func ("/pace/parts", shares_of_a_rate);
  return g_test_run ();
}
