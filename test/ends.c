/* ends.c - requests that end the servers that run them, before real processes on loopback. What is
 * checked is what servers ran and what callers were told; nothing hangs on how long it takes. */
#include "fleet.h"

#include <signal.h>
#include <string.h>

#define KILLER    FLEET_MARK " 1"
#define COMINGS   24 /* of the killer, far beyond what it may cost */
#define ENDS_MOST 6  /* three ends until it is known, and three more in its whole life */
#define HELD      "quarantined"

typedef struct
{
  unsigned status; /* 0: the connection was broken off */
  bool held;       /* it was not sent, for what its content did before */
} Outcome;

/* One coming of the body under an id of its own. */
static Outcome
come_with (Fleet *fleet, const FleetNode *entry, const char *path, const char *body)
{
  char id[24];
  Answer answer;

  g_snprintf (id, sizeof id, "c%" G_GUINT64_FORMAT, ++fleet->next_id);
  fleet_call_body (fleet, entry, path, id, body, &answer);
  Outcome outcome = { answer.broken ? 0 : answer.status, strstr (answer.body->str, HELD) != NULL };
  if (outcome.status == 503 && fleet_runs (fleet, id) > 0)
    g_error ("%s was said not to have run, and ran (logs in %s)", id, fleet->base);
  fleet_answer_clear (&answer);
  return outcome;
}

static Outcome
come (Fleet *fleet, unsigned entry, const char *path)
{
  return come_with (fleet, &fleet->entries[entry % FLEET_ENTRIES], path, KILLER);
}

/* The killer comes to the entries in turn, with time between for servers to be back. */
static void
come_often (Fleet *fleet, const char *path)
{
  for (unsigned i = 0; i < COMINGS; i++)
    {
      come (fleet, i, path);
      fleet_run_for (fleet, 150 * FT_MS);
    }
}

typedef struct
{
  Fleet *fleet;
  FleetNode *entry;
  const char *path;
} Coming;

static bool
is_held_now (void *data)
{
  const Coming *coming = data;

  return come_with (coming->fleet, coming->entry, coming->path, KILLER).held;
}

/* Other callers' streams break off again and again, and half of the servers are missing. One
 * request ends each server that begins to run it; its caller is told 502 and sends it again, under
 * another id, to another entry. Each entry saw one end and took it for the server's own fault, so
 * the log of a recorded day has 30 tries of two contents with "came":"broken" and "sends":1, and 26
 * ends of servers. */
static void
comes_again (void)
{
  Fleet *fleet = fleet_new ();

  fleet_begin (fleet);
  come_often (fleet, "/once/a");
  g_assert_cmpuint (fleet_marked (fleet, KILLER), >=, 3);
  g_assert_cmpuint (fleet_marked (fleet, KILLER), <=, ENDS_MOST);
  g_test_message ("%u servers ended", fleet_marked (fleet, KILLER));
  g_assert_true (come (fleet, 0, "/once/a").held);
  fleet_free (fleet);
}

/* The same with a request that may be repeated: each coming may be sent to two servers by the entry
 * itself. It is not sent on once more when a server has ended under it before. */
static void
repeated_inside (void)
{
  Fleet *fleet = fleet_new ();

  fleet_begin (fleet);
  come_often (fleet, "/plain/a");
  g_assert_cmpuint (fleet_marked (fleet, KILLER), <=, ENDS_MOST);
  g_assert_true (come (fleet, 0, "/plain/a").held);
  fleet_free (fleet);
}

/* The same with a stream that may be resumed at another server, before its first event. */
static void
resumed_inside (void)
{
  Fleet *fleet = fleet_new ();

  fleet_begin (fleet);
  come_often (fleet, "/stream/a");
  g_assert_cmpuint (fleet_marked (fleet, KILLER), <=, ENDS_MOST);
  g_assert_true (come (fleet, 0, "/stream/a").held);
  fleet_free (fleet);
}

/* Its caller sends six copies at once, to all entries, and servers end under them. Once three have
 * ended none that comes later reaches a server, however many were under way. */
static void
copies_at_once (void)
{
  Fleet *fleet = fleet_new ();
  Answer copies[6];
  char id[16];

  fleet_begin (fleet);
  for (unsigned i = 0; i < G_N_ELEMENTS (copies); i++)
    {
      g_snprintf (id, sizeof id, "copy%u", i);
      fleet_send_body (fleet, &fleet->entries[i % FLEET_ENTRIES], "/once/a", id, KILLER,
                       &copies[i]);
    }
  fleet_run_for (fleet, FT_SECOND);
  unsigned before = fleet_marked (fleet, KILLER), still = fleet->ends < 3 ? 3 - fleet->ends : 0;
  come_often (fleet, "/once/a");
  g_assert_cmpuint (fleet_marked (fleet, KILLER), <=, before + still);
  for (unsigned i = 0; i < G_N_ELEMENTS (copies); i++)
    {
      g_assert_true (copies[i].done);
      fleet_answer_clear (&copies[i]);
    }
  fleet_free (fleet);
}

static void
until_held (Fleet *fleet, FleetNode *entry, const char *path)
{
  Coming coming = { fleet, entry, path };

  while (!is_held_now (&coming))
    fleet_run_for (fleet, 150 * FT_MS);
}

/* The voter in charge is killed after two ends, and its successor after the next ones. What it knew
 * was in the log; what it had not been told yet, entries tell again. */
static void
scheduler_lost_between (void)
{
  Fleet *fleet = fleet_new ();

  fleet_begin (fleet);
  come (fleet, 0, "/once/a");
  fleet_run_for (fleet, 200 * FT_MS);
  come (fleet, 1, "/once/a");
  FleetNode *leader = fleet_leader (fleet);
  g_assert_nonnull (leader);
  fleet_kill (leader);
  come_often (fleet, "/once/a");
  g_assert_cmpuint (fleet_marked (fleet, KILLER), <=, ENDS_MOST);
  fleet_start (fleet, leader, false);
  until_held (fleet, &fleet->entries[1], "/once/a");
  fleet_free (fleet);
}

static void
kill_all (Fleet *fleet)
{
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    fleet_kill (&fleet->entries[i]);
}

static void
start_all (Fleet *fleet)
{
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    fleet_start (fleet, &fleet->entries[i], false);
  for (unsigned i = 0; i < 3; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    while (!fleet_ready (fleet, &fleet->entries[i]))
      fleet_run_for (fleet, 20 * FT_MS);
}

/* Everything is killed once the content is held, and starts again. It reaches no server more: the
 * account is on the voters' disks, and entries hear it before the catalogue by which they serve. */
static void
everything_restarted (void)
{
  Fleet *fleet = fleet_new ();

  fleet_begin (fleet);
  until_held (fleet, &fleet->entries[0], "/once/a");
  unsigned before = fleet_marked (fleet, KILLER);
  kill_all (fleet);
  start_all (fleet);
  come_often (fleet, "/once/a");
  g_assert_cmpuint (fleet_marked (fleet, KILLER), ==, before);
  g_assert_cmpuint (before, <=, ENDS_MOST);
  fleet_free (fleet);
}

/* An entry is killed before the first end and starts again after the last; another one was frozen
 * meanwhile. Neither has seen anything, and both know. */
static void
new_and_frozen_entries (void)
{
  Fleet *fleet = fleet_new ();

  fleet_begin (fleet);
  fleet_kill (&fleet->entries[1]);
  fleet_signal (&fleet->entries[2], SIGSTOP);
  until_held (fleet, &fleet->entries[0], "/once/a");
  fleet_signal (&fleet->entries[2], SIGCONT);
  fleet_start (fleet, &fleet->entries[1], false);
  while (!fleet_ready (fleet, &fleet->entries[1]))
    fleet_run_for (fleet, 20 * FT_MS);
  g_assert_true (come (fleet, 1, "/once/a").held);
  until_held (fleet, &fleet->entries[2], "/once/a");
  g_assert_cmpuint (fleet_marked (fleet, KILLER), <=, ENDS_MOST);
  fleet_free (fleet);
}

static bool
is_in_account (void *data)
{
  Fleet *fleet = data;
  Answer answer;

  fleet_operate (fleet, "GET", "/v1/suspects", &answer);
  bool there = strstr (answer.body->str, "\"quarantined\":true") != NULL;
  fleet_answer_clear (&answer);
  return there;
}

/* All voters are gone while the killer comes. Entries tell each other by the deputies, and stop; as
 * voters are back the account lasts, also over a start of all entries. */
static void
without_voters (void)
{
  Fleet *fleet = fleet_new ();

  fleet_begin (fleet);
  fleet_start (fleet, &fleet->spare, false);
  while (!fleet_ready (fleet, &fleet->spare))
    fleet_run_for (fleet, 20 * FT_MS);
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  come_often (fleet, "/once/a");
  unsigned before = fleet_marked (fleet, KILLER);
  g_assert_cmpuint (before, <=, ENDS_MOST);
  /* An entry that is no deputy has seen no end, and needs none; one may be on its way. */
  until_held (fleet, &fleet->spare, "/once/a");
  g_assert_cmpuint (fleet_marked (fleet, KILLER), <=, before + 1);
  before = fleet_marked (fleet, KILLER);
  for (unsigned i = 0; i < 3; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  while (!is_in_account (fleet))
    fleet_run_for (fleet, 50 * FT_MS);
  kill_all (fleet);
  start_all (fleet);
  come_often (fleet, "/once/a");
  g_assert_cmpuint (fleet_marked (fleet, KILLER), ==, before);
  fleet_free (fleet);
}

/* A caller sends two copies to one entry, which sends both to one server. As that ends, the
 * connection of one copy breaks a moment after the other's: the end is known by then, and is the
 * third. The second copy was looked at as if it waited for a place, in the middle of its own break:
 * the entry used it after it was freed. Both callers hear that the outcome is unknown. */
static void
break_after_the_end_is_known (void)
{
  Fleet *fleet = fleet_new ();
  Answer copies[2];

  fleet_begin (fleet);
  for (unsigned i = 1; i < FLEET_SERVERS; i++)
    fleet->servers[i].listed = false;
  while (fleet->ends < 2)
    {
      come (fleet, 0, "/once/a");
      fleet_run_for (fleet, 300 * FT_MS);
    }
  fleet->servers[0].mode = SERVER_SLOW_END;
  while (fleet->ends < 3)
    {
      for (unsigned i = 0; i < G_N_ELEMENTS (copies); i++)
        {
          char id[24];
          g_snprintf (id, sizeof id, "b%" G_GUINT64_FORMAT, ++fleet->next_id);
          fleet_send_body (fleet, &fleet->entries[0], "/once/a", id, KILLER, &copies[i]);
        }
      fleet_run_for (fleet, FT_SECOND);
      for (unsigned i = 0; i < G_N_ELEMENTS (copies); i++)
        {
          g_assert_true (copies[i].done && !copies[i].broken);
          g_assert_true (copies[i].status == 502 || copies[i].status == 503);
          fleet_answer_clear (&copies[i]);
        }
    }
  g_assert_false (fleet_ended (&fleet->entries[0]));
  until_held (fleet, &fleet->entries[0], "/once/a");
  fleet_free (fleet);
}

/* Three of four servers lose power at once, all running a content that many callers ask for. No
 * caller is refused for that: it was answered whole a moment before. */
static void
popular_content_under_a_power_cut (void)
{
  Fleet *fleet = fleet_new ();
  Answer streams[12];
  char id[16];

  fleet->budget_slack = 60; /* twelve streams are resumed at once, and each may meet lost servers */
  fleet_begin (fleet);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    g_assert_cmpuint (come_with (fleet, &fleet->entries[i], "/stream/a", "body").status, ==, 200);
  fleet->event_ms = 100;
  for (unsigned i = 0; i < G_N_ELEMENTS (streams); i++)
    {
      g_snprintf (id, sizeof id, "p%u", i);
      fleet_send (fleet, &fleet->entries[i % FLEET_ENTRIES], "/stream/a", id, &streams[i]);
    }
  fleet_run_for (fleet, 250 * FT_MS);
  for (unsigned i = 0; i < 3; i++)
    fleet_end_server (&fleet->servers[i]);
  for (unsigned i = 0; i < 24; i++)
    {
      Outcome outcome = come_with (fleet, &fleet->entries[i % FLEET_ENTRIES], "/stream/a", "body");
      if (outcome.held || outcome.status != 200)
        {
          fleet_run_for (fleet, FT_SECOND); /* until the logs are written */
          g_error ("c%" G_GUINT64_FORMAT ": status %u, held %d (logs in %s)", fleet->next_id,
                   outcome.status, outcome.held, fleet->base);
        }
    }
  for (unsigned i = 0; i < G_N_ELEMENTS (streams); i++)
    {
      g_assert_true (streams[i].done);
      g_assert_null (strstr (streams[i].body->str, HELD));
      fleet_answer_clear (&streams[i]);
    }
  fleet_free (fleet);
}

/* Servers reset the connection under a request again and again and go on listening. These are no
 * ends: once they answer again, so is the request answered. */
static void
resets_are_no_ends (void)
{
  Fleet *fleet = fleet_new ();

  fleet_begin (fleet);
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    fleet->servers[i].mode = SERVER_RESET;
  for (unsigned i = 0; i < 12; i++)
    {
      Outcome outcome = come_with (fleet, &fleet->entries[i % FLEET_ENTRIES], "/once/a", "body");
      g_assert_cmpuint (outcome.status, ==, 502);
      g_assert_false (outcome.held);
      fleet_run_for (fleet, 50 * FT_MS);
    }
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    fleet->servers[i].mode = SERVER_SOUND;
  fleet_run_for (fleet, 3 * FT_SECOND); /* the servers are tried again */
  g_assert_cmpuint (come_with (fleet, &fleet->entries[0], "/once/a", "body").status, ==, 200);
  fleet_free (fleet);
}

/* An operator reads why a caller's request is refused, and lets it go once the servers' fault is
 * mended: the next coming is sent. */
static void
released_by_hand (void)
{
  Fleet *fleet = fleet_new ();
  Answer answer;
  char path[64];

  fleet_begin (fleet);
  until_held (fleet, &fleet->entries[0], "/once/a");
  fleet_operate (fleet, "GET", "/v1/suspects", &answer);
  const char *at = strstr (answer.body->str, "\"content\":\"");
  g_assert_nonnull (at);
  g_assert_nonnull (strstr (answer.body->str, "\"quarantined\":true,\"ends\":3"));
  g_snprintf (path, sizeof path, "/v1/suspects/%.16s", at + strlen ("\"content\":\""));
  fleet_answer_clear (&answer);
  fleet_operate (fleet, "DELETE", "/v1/suspects/x", &answer);
  g_assert_cmpuint (answer.status, ==, 400);
  fleet_answer_clear (&answer);
  fleet_operate (fleet, "DELETE", "/v1/suspects/0123456789abcdef", &answer);
  g_assert_cmpuint (answer.status, ==, 404);
  fleet_answer_clear (&answer);
  fleet_operate (fleet, "DELETE", path, &answer);
  g_assert_cmpuint (answer.status, ==, 200);
  fleet_answer_clear (&answer);
  unsigned before = fleet_marked (fleet, KILLER);
  while (fleet_marked (fleet, KILLER) == before)
    {
      come (fleet, 0, "/once/a");
      fleet_run_for (fleet, 50 * FT_MS);
    }
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ends/comes_again", comes_again);
  g_test_add_func ("/ends/repeated_inside", repeated_inside);
  g_test_add_func ("/ends/resumed_inside", resumed_inside);
  g_test_add_func ("/ends/copies", copies_at_once);
  g_test_add_func ("/ends/scheduler_lost", scheduler_lost_between);
  g_test_add_func ("/ends/restarted", everything_restarted);
  g_test_add_func ("/ends/new_and_frozen", new_and_frozen_entries);
  g_test_add_func ("/ends/without_voters", without_voters);
  g_test_add_func ("/ends/late_break", break_after_the_end_is_known);
  g_test_add_func ("/ends/popular", popular_content_under_a_power_cut);
  g_test_add_func ("/ends/resets", resets_are_no_ends);
  g_test_add_func ("/ends/released", released_by_hand);
  return g_test_run ();
}
