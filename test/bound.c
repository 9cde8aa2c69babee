/* bound.c - tests of requests that only servers of one software version may run. */
#include "clock.h"
#include "origins.h"
#include "scheduler.h"

#include <string.h>

#define REQUESTS_MAX 256
#define SLOTS        2

typedef struct
{
  char server[8]; /* "": not granted */
  bool refused;
  FtReason reason;
} Outcome;

typedef struct
{
  TestClock clock;
  Sched *sched;
  Outcome outcomes[REQUESTS_MAX];
} Fixture;

static void
on_grant (void *host, uint64_t owner, uint64_t request, const char *org, const char *server,
          int64_t max_idle_us)
{
  Fixture *fixture = host;

  (void) owner;
  (void) org;
  (void) max_idle_us;
  g_strlcpy (fixture->outcomes[request].server, server, sizeof fixture->outcomes[request].server);
}

static void
on_refuse (void *host, uint64_t owner, uint64_t request, const SchedRefusal *refusal)
{
  Fixture *fixture = host;

  (void) owner;
  fixture->outcomes[request].refused = true;
  fixture->outcomes[request].reason = refusal->reason;
}

static void
on_unused (void *host, const char *org, double cost)
{
  (void) host;
  (void) org;
  (void) cost;
}

static void
on_server_state (void *host, const char *server, bool out, const char *why, int64_t for_us)
{
  (void) host;
  (void) server;
  (void) out;
  (void) why;
  (void) for_us;
}

static const SchedOps ops = { on_grant, on_refuse, on_unused, on_server_state, NULL, NULL, NULL };

/* Lists `olds` servers o0, o1.. of v1 and `news` servers n0, n1.. of v2. */
static void
list_servers (Fixture *fixture, unsigned olds, unsigned news)
{
  char ids[16][8];
  SchedServer servers[16];

  for (unsigned i = 0; i < olds + news; i++)
    {
      bool old = i < olds;
      g_snprintf (ids[i], sizeof ids[i], "%c%u", old ? 'o' : 'n', old ? i : i - olds);
      servers[i] = (SchedServer){
        .id = ids[i], .service = "s", .domain = "z", .slots = SLOTS, .version = old ? "v1" : "v2"
      };
    }
  sched_set_servers (fixture->sched, servers, olds + news);
}

static Fixture *
fixture_new (unsigned olds, unsigned news)
{
  Fixture *fixture = g_new0 (Fixture, 1);

  fixture->clock = test_clock ();
  fixture->sched = sched_new (&fixture->clock.base, &ops, fixture);
  sched_set_service (fixture->sched, "s", &(SchedServiceConf){ .engine = true, .stride = 1 });
  list_servers (fixture, olds, news);
  fixture->clock.now += ORIGINS_JOIN_TIME;
  sched_keep_servers (fixture->sched);
  return fixture;
}

static void
fixture_free (Fixture *fixture)
{
  sched_free (fixture->sched);
  g_free (fixture);
}

static const Outcome *
ask_tier (Fixture *fixture, unsigned request, const char *version, unsigned tier)
{
  int64_t now = fixture->clock.now;
  SchedAsk ask = { .owner = 1,
                   .request = request,
                   .service = "s",
                   .org = "o",
                   .tier = tier,
                   .stream = true,
                   .repeatable = true,
                   .prompt_tokens = 100,
                   .output_tokens = 10,
                   .aim_at = now + FT_SECOND,
                   .limit_at = now + 3 * FT_SECOND,
                   .end_at = now + 8 * FT_SECOND,
                   .version = version };

  sched_ask (fixture->sched, &ask);
  return &fixture->outcomes[request];
}

static const Outcome *
ask (Fixture *fixture, unsigned request, const char *version)
{
  return ask_tier (fixture, request, version, 0);
}

static void
pass_time (Fixture *fixture, int64_t us)
{
  for (int64_t until = fixture->clock.now + us; fixture->clock.now < until;)
    {
      fixture->clock.now += 20 * FT_MS;
      sched_tick (fixture->sched);
    }
}

static void
end (Fixture *fixture, unsigned request)
{
  SchedResult result = { .outcome = SCHED_OK, .event_us = 6000, .answer_us = 100 * FT_MS };

  sched_first_event (fixture->sched, 1, request, 20 * FT_MS);
  sched_done (fixture->sched, 1, request, &result);
}

static bool
is_waiting (const Outcome *outcome)
{
  return !outcome->refused && *outcome->server == '\0';
}

/* Guards against resuming a stream at a server of the version in use, and against giving the other
 * version new requests. */
static void
goes_to_its_version (void)
{
  Fixture *fixture = fixture_new (3, 2);

  g_assert_cmpstr (ask (fixture, 1, "v2")->server, ==, "n0");
  for (unsigned i = 2; i < 12; i++)
    ask (fixture, i, i % 2 ? "v1" : NULL);
  pass_time (fixture, 100 * FT_MS);
  for (unsigned i = 2; i < 12; i++)
    g_assert_true (*fixture->outcomes[i].server != 'n');
  fixture_free (fixture);
}

/* Guards against moving a stream because its version has no free place. */
static void
waits_for_its_version (void)
{
  Fixture *fixture = fixture_new (3, 1);

  for (unsigned i = 0; i < SLOTS; i++)
    g_assert_cmpstr (ask (fixture, i, "v2")->server, ==, "n0");
  const Outcome *last = ask (fixture, 9, "v2");
  pass_time (fixture, 500 * FT_MS);
  g_assert_true (is_waiting (last));
  end (fixture, 0);
  g_assert_cmpstr (last->server, ==, "n0");
  fixture_free (fixture);
}

/* The same while the version in use is full and has a queue: nothing in it goes before the stream.
 */
static void
waits_apart (void)
{
  Fixture *fixture = fixture_new (1, 1);

  for (unsigned i = 0; i < SLOTS; i++)
    ask (fixture, i, "v2");
  for (unsigned i = 10; i < 60; i++)
    ask (fixture, i, NULL);
  const Outcome *last = ask (fixture, 9, "v2");
  pass_time (fixture, 500 * FT_MS);
  g_assert_true (is_waiting (last));
  end (fixture, 0);
  g_assert_cmpstr (last->server, ==, "n0");
  fixture_free (fixture);
}

/* Guards against callers that wait in vain for a version that is gone. */
static void
version_gone (void)
{
  Fixture *fixture = fixture_new (3, 1);

  const Outcome *never = ask (fixture, 1, "v0");
  g_assert_true (never->refused);
  g_assert_cmpint (never->reason, ==, FT_REASON_VERSION_GONE);
  for (unsigned i = 2; i < 2 + SLOTS; i++)
    ask (fixture, i, "v2");
  const Outcome *queued = ask (fixture, 9, "v2");
  g_assert_true (is_waiting (queued));
  list_servers (fixture, 3, 0);
  pass_time (fixture, 40 * FT_MS);
  g_assert_true (queued->refused);
  g_assert_cmpint (queued->reason, ==, FT_REASON_VERSION_GONE);
  fixture_free (fixture);
}

/* Guards against streams that follow when another version comes in use. */
static void
version_in_use_changes (void)
{
  Fixture *fixture = fixture_new (2, 2);

  list_servers (fixture, 0, 2);
  g_assert_cmpint (ask (fixture, 1, "v1")->reason, ==, FT_REASON_VERSION_GONE);
  g_assert_cmpstr (ask (fixture, 2, NULL)->server, ==, "n0");
  list_servers (fixture, 2, 2);
  g_assert_cmpint (*ask (fixture, 3, "v1")->server, ==, 'o');
  g_assert_cmpint (*ask (fixture, 4, NULL)->server, ==, 'n');
  fixture_free (fixture);
}

/* Guards against more requests at a version on trial than are reserved for it, and against a return
 * that counts as a request due to the trial. */
static void
on_trial (void)
{
  Fixture *fixture = fixture_new (3, 3);
  SchedServiceStats stats;
  SchedVersions trial = { .in_use = "v1", .other = "v2", .ordered = "v2", .share = 0.1, .left = 2 };

  sched_set_versions (fixture->sched, "s", &trial);
  g_assert_cmpint (*ask (fixture, 1, "v2")->server, ==, 'n');
  g_assert_cmpint (*ask (fixture, 2, "v2")->server, ==, 'n');
  const Outcome *third = ask (fixture, 3, "v2");
  pass_time (fixture, 100 * FT_MS);
  g_assert_cmpstr (third->server, ==, "");
  sched_service_stats (fixture->sched, "s", &stats);
  g_assert_cmpuint (stats.granted, ==, 2);
  trial.left = 100;
  sched_set_versions (fixture->sched, "s", &trial);
  for (unsigned i = 10; i < 19; i++) /* the tenth new request would be due to the trial */
    {
      g_assert_cmpint (*ask (fixture, i, NULL)->server, ==, 'o');
      end (fixture, i);
    }
  for (unsigned i = 20; i < 40; i++)
    {
      g_assert_cmpint (*ask (fixture, i, "v1")->server, ==, 'o');
      end (fixture, i);
    }
  fixture_free (fixture);
}

/* Guards against a scheduler that does not count the trial and gives it a stream. */
static void
trial_of_another_scheduler (void)
{
  Fixture *fixture = fixture_new (3, 3);
  SchedVersions trial = { .in_use = "v1", .other = "v2", .ordered = "v2", .follows = true };

  sched_set_versions (fixture->sched, "s", &trial);
  g_assert_cmpint (ask (fixture, 1, "v2")->reason, ==, FT_REASON_VERSION_GONE);
  g_assert_cmpint (*ask (fixture, 2, "v1")->server, ==, 'o');
  fixture_free (fixture);
}

/* Guards against refusing the streams of the previous version while its servers still run, and
 * against granting them when these are about to stop. */
static void
after_the_move (void)
{
  Fixture *fixture = fixture_new (3, 3);
  SchedVersions moved
      = { .in_use = "v2", .other = "v1", .ordered = "v2", .watched = true, .keeps = true };

  sched_set_versions (fixture->sched, "s", &moved);
  g_assert_cmpint (*ask (fixture, 1, "v1")->server, ==, 'o');
  g_assert_cmpint (*ask (fixture, 2, NULL)->server, ==, 'n');
  moved.keeps = false;
  sched_set_versions (fixture->sched, "s", &moved);
  g_assert_cmpint (ask (fixture, 3, "v1")->reason, ==, FT_REASON_VERSION_GONE);
  fixture_free (fixture);
}

/* Guards against idle servers where versions serve side by side with no order, and against streams
 * that change between them. */
static void
all_versions (void)
{
  Fixture *fixture = fixture_new (2, 2);
  unsigned olds = 0, news = 0;

  sched_set_all_versions (fixture->sched, true);
  for (unsigned i = 0; i < 4 * SLOTS; i++)
    {
      char server = *ask (fixture, i, NULL)->server;
      olds += server == 'o';
      news += server == 'n';
    }
  g_assert_cmpuint (olds, ==, 2 * SLOTS);
  g_assert_cmpuint (news, ==, 2 * SLOTS);
  const Outcome *old = ask (fixture, 20, "v1"), *new = ask (fixture, 21, "v2");
  for (unsigned i = 0; i < 4 * SLOTS; i++)
    end (fixture, i);
  g_assert_cmpint (*old->server, ==, 'o');
  g_assert_cmpint (*new->server, ==, 'n');
  list_servers (fixture, 0, 2);
  g_assert_cmpint (ask (fixture, 22, "v1")->reason, ==, FT_REASON_VERSION_GONE);
  fixture_free (fixture);
}

/* Guards against giving a version that an order names what nobody has reserved for it. */
static void
all_versions_but_ordered_ones (void)
{
  Fixture *fixture = fixture_new (2, 2);
  SchedVersions trial
      = { .in_use = "v1", .other = "v2", .ordered = "v2", .share = 0.01, .left = 10 };

  sched_set_all_versions (fixture->sched, true);
  sched_set_versions (fixture->sched, "s", &trial);
  for (unsigned i = 0; i < 3 * SLOTS; i++) /* more than the old ones have places */
    g_assert_true (*ask (fixture, i, NULL)->server != 'n');
  fixture_free (fixture);
}

static void
keep_listing (Fixture *fixture, int64_t us)
{
  fixture->clock.now += us;
  sched_keep_servers (fixture->sched);
  sched_tick (fixture->sched);
}

/* Asks for more than the old servers have places for. False: none of it was placed on a new one. */
static bool
begins_at_new (Fixture *fixture, unsigned first)
{
  bool begins = false;

  for (unsigned i = first; i < first + 4 * SLOTS; i++)
    begins |= *ask (fixture, i, NULL)->server == 'n';
  for (unsigned i = first; i < first + 4 * SLOTS; i++)
    end (fixture, i);
  return begins;
}

/* Guards against streams that begin at a version before every instance has a list with it: an
 * instance that lacks it lets streams go on at the one that it knows. */
static void
has_just_joined (void)
{
  Fixture *fixture = fixture_new (1, 0);

  sched_set_all_versions (fixture->sched, true);
  list_servers (fixture, 1, 1);
  g_assert_false (begins_at_new (fixture, 0));
  g_assert_cmpstr (ask (fixture, 10, "v2")->server, ==, "n0"); /* it began there already */
  keep_listing (fixture, ORIGINS_JOIN_TIME - 1);
  g_assert_false (begins_at_new (fixture, 20));
  keep_listing (fixture, 1);
  g_assert_true (begins_at_new (fixture, 40));
  fixture_free (fixture);
}

/* Guards against withholding streams from a version while no other one has servers, and against
 * taking one list that lacks the others for their end. */
static void
joined_alone (void)
{
  Fixture *fixture = fixture_new (1, 0);

  sched_set_all_versions (fixture->sched, true);
  list_servers (fixture, 1, 1);
  fixture->clock.now += FT_SECOND / 2;
  list_servers (fixture, 0, 1);
  g_assert_false (begins_at_new (fixture, 0));
  fixture->clock.now += FT_SECOND / 2;
  list_servers (fixture, 1, 1);
  g_assert_false (begins_at_new (fixture, 20));
  list_servers (fixture, 0, 1);
  keep_listing (fixture, 3 * FT_SECOND);
  g_assert_false (begins_at_new (fixture, 40));
  keep_listing (fixture, FT_SECOND);
  g_assert_true (begins_at_new (fixture, 60));
  fixture_free (fixture);
}

/* Guards against streams that begin at once at a version that is listed again, after it had been
 * listed too shortly for others to see it. */
static void
joins_again (void)
{
  Fixture *fixture = fixture_new (1, 0);

  sched_set_all_versions (fixture->sched, true);
  list_servers (fixture, 1, 1);
  keep_listing (fixture, ORIGINS_JOIN_TIME - 1);
  list_servers (fixture, 1, 0);
  keep_listing (fixture, FT_SECOND);
  list_servers (fixture, 1, 1);
  g_assert_false (begins_at_new (fixture, 0));
  fixture_free (fixture);
}

/* Guards against counting the time in which a scheduler got no list, and that of a pause before the
 * list was read. */
static void
joined_unseen (void)
{
  Fixture *fixture = fixture_new (1, 0);

  sched_set_all_versions (fixture->sched, true);
  sched_set_list_time (fixture->sched, fixture->clock.now + ORIGINS_JOIN_TIME);
  list_servers (fixture, 1, 1);
  fixture->clock.now += ORIGINS_JOIN_TIME + FT_SECOND; /* a second after that list */
  g_assert_false (begins_at_new (fixture, 0));
  sched_keep_servers (fixture->sched);
  g_assert_false (begins_at_new (fixture, 20));
  keep_listing (fixture, ORIGINS_JOIN_TIME);
  g_assert_true (begins_at_new (fixture, 40));
  fixture_free (fixture);
}

/* Guards against queueing streams for places that they do not get. */
static void
withheld_places_do_not_count (void)
{
  Fixture *fixture = fixture_new (1, 0);

  sched_set_all_versions (fixture->sched, true);
  list_servers (fixture, 0, 1);
  g_assert_cmpint (ask (fixture, 0, NULL)->reason, ==, FT_REASON_NO_SERVER);
  fixture_free (fixture);
}

/* Guards against a log that names a version before no list without it decides any more, and against
 * one that does not when streams begin. */
static void
begins_soon (void)
{
  Fixture *fixture = fixture_new (1, 0);
  Sched *sched = fixture->sched;

  sched_set_all_versions (sched, true);
  g_assert_true (sched_streams_begin_soon (sched, "s", "v1"));
  list_servers (fixture, 1, 1);
  g_assert_false (sched_streams_begin_soon (sched, "s", "v2"));
  g_assert_false (sched_streams_begin_soon (sched, "s", "v3"));
  keep_listing (fixture, ORIGINS_JOIN_TIME - FT_SECOND - 1);
  g_assert_false (sched_streams_begin_soon (sched, "s", "v2"));
  keep_listing (fixture, 1);
  g_assert_true (sched_streams_begin_soon (sched, "s", "v2"));
  fixture->clock.now++;
  list_servers (fixture, 1, 0); /* it leaves before any began */
  g_assert_false (sched_streams_begin_soon (sched, "s", "v2"));
  keep_listing (fixture, ORIGINS_JOIN_TIME);
  g_assert_false (sched_streams_begin_soon (sched, "s", "v2"));
  g_assert_true (sched_streams_begin_soon (sched, "s", "v1"));
  fixture_free (fixture);
}

/* Guards against refusing streams for a while after a start, where the log tells that the versions
 * joined long ago, also if it does so before the first list. */
static void
settled_at_start (gconstpointer data)
{
  bool list_first = GPOINTER_TO_INT (data);
  Fixture *fixture = g_new0 (Fixture, 1);

  fixture->clock = test_clock ();
  fixture->sched = sched_new (&fixture->clock.base, &ops, fixture);
  sched_set_service (fixture->sched, "s", &(SchedServiceConf){ .engine = true, .stride = 1 });
  sched_set_all_versions (fixture->sched, true);
  if (list_first)
    list_servers (fixture, 1, 1);
  sched_settle_version (fixture->sched, "s", "v1");
  sched_settle_version (fixture->sched, "s", "v2");
  if (!list_first)
    list_servers (fixture, 1, 1);
  g_assert_true (begins_at_new (fixture, 0));
  list_servers (fixture, 1, 0);
  keep_listing (fixture, ORIGINS_TIME_MAX);
  list_servers (fixture, 1, 1);
  sched_settle_version (fixture->sched, "s", "v2"); /* it has joined anew */
  g_assert_false (begins_at_new (fixture, 20));
  fixture_free (fixture);
}

/* Guards against taking a version that the log names for an old one where it has joined anew since
 * this scheduler started. */
static void
rejoined_after_start (void)
{
  Fixture *fixture = fixture_new (0, 0);

  sched_free (fixture->sched);
  fixture->sched = sched_new (&fixture->clock.base, &ops, fixture);
  sched_set_service (fixture->sched, "s", &(SchedServiceConf){ .engine = true, .stride = 1 });
  sched_set_all_versions (fixture->sched, true);
  list_servers (fixture, 1, 1);
  fixture->clock.now += FT_SECOND;
  list_servers (fixture, 1, 0);
  fixture->clock.now += FT_SECOND;
  list_servers (fixture, 1, 1);
  sched_settle_version (fixture->sched, "s", "v2");
  g_assert_false (begins_at_new (fixture, 0));
  fixture_free (fixture);
}

/* Guards against a roll-out whose trial gets no streams, and whose move leaves all of them without
 * a server, as the version that is ordered has just joined. */
static void
ordered_is_not_withheld (void)
{
  Fixture *fixture = fixture_new (1, 0);
  SchedVersions trial = { .in_use = "v1", .other = "v2", .ordered = "v2", .share = 1, .left = 10 };
  SchedVersions moved = { .in_use = "v2", .other = "v1", .ordered = "v2" };

  list_servers (fixture, 1, 1);
  sched_set_versions (fixture->sched, "s", &trial);
  g_assert_true (begins_at_new (fixture, 0));
  sched_set_versions (fixture->sched, "s", &moved);
  g_assert_true (begins_at_new (fixture, 20));
  fixture_free (fixture);
}

/* Guards against a lower tier that gets a place of such a version before a higher one. */
static void
higher_tier_first (void)
{
  Fixture *fixture = fixture_new (3, 1);

  for (unsigned i = 0; i < SLOTS; i++)
    ask (fixture, i, "v2");
  const Outcome *low = ask_tier (fixture, 8, "v2", 2);
  const Outcome *high = ask_tier (fixture, 9, "v2", 1);
  end (fixture, 0);
  g_assert_true (is_waiting (low));
  g_assert_cmpstr (high->server, ==, "n0");
  fixture_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/bound/goes_to_its_version", goes_to_its_version);
  g_test_add_func ("/bound/waits_for_its_version", waits_for_its_version);
  g_test_add_func ("/bound/waits_apart", waits_apart);
  g_test_add_func ("/bound/version_gone", version_gone);
  g_test_add_func ("/bound/version_in_use_changes", version_in_use_changes);
  g_test_add_func ("/bound/on_trial", on_trial);
  g_test_add_func ("/bound/trial_of_another_scheduler", trial_of_another_scheduler);
  g_test_add_func ("/bound/after_the_move", after_the_move);
  g_test_add_func ("/bound/all_versions", all_versions);
  g_test_add_func ("/bound/all_versions_but_ordered_ones", all_versions_but_ordered_ones);
  g_test_add_func ("/bound/has_just_joined", has_just_joined);
  g_test_add_func ("/bound/joined_alone", joined_alone);
  g_test_add_func ("/bound/joins_again", joins_again);
  g_test_add_func ("/bound/joined_unseen", joined_unseen);
  g_test_add_func ("/bound/withheld_places_do_not_count", withheld_places_do_not_count);
  g_test_add_data_func ("/bound/settled_at_start/list_first", GINT_TO_POINTER (true),
                        settled_at_start);
  g_test_add_data_func ("/bound/settled_at_start/log_first", GINT_TO_POINTER (false),
                        settled_at_start);
  g_test_add_func ("/bound/begins_soon", begins_soon);
  g_test_add_func ("/bound/rejoined_after_start", rejoined_after_start);
  g_test_add_func ("/bound/ordered_is_not_withheld", ordered_is_not_withheld);
  g_test_add_func ("/bound/higher_tier_first", higher_tier_first);
  return g_test_run ();
}
