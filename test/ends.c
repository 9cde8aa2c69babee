/* ends.c - tests, with real processes on loopback, of requests whose body crashes the servers that
 * run them. They check what servers ran and what callers were answered, not how long it took. */
#include "fleet.h"

#include <signal.h>
#include <string.h>

#define CRASH_BODY        FLEET_CRASH_PREFIX " 1"
#define ATTEMPTS          24 /* far more than the crashes that the body may cause */
#define CRASHES_MAX       6  /* three until it is quarantined, and three more ever */
#define REPLACED_MS       0  /* from a crash to the restart of the server */
#define QUARANTINE_REASON "quarantined"

typedef struct
{
  unsigned status;  /* 0: the answer was broken off */
  bool quarantined; /* refused unsent, because of earlier crashes */
} Outcome;

/* Sends the body once, under a new request id. */
static Outcome
send_body (Fleet *fleet, const FleetNode *entry, const char *path, const char *body)
{
  char id[24];
  Answer answer;

  g_snprintf (id, sizeof id, "c%" G_GUINT64_FORMAT, ++fleet->next_id);
  fleet_call_body (fleet, entry, path, id, body, &answer);
  Outcome outcome
      = { answer.broken ? 0 : answer.status, strstr (answer.body->str, QUARANTINE_REASON) != NULL };
  if (outcome.status == 503 && fleet_run_count (fleet, id) > 0)
    g_error ("%s was answered as not run, but ran (logs in %s)", id, fleet->base);
  fleet_answer_clear (&answer);
  return outcome;
}

static Outcome
send_crash_body (Fleet *fleet, unsigned entry, const char *path)
{
  return send_body (fleet, &fleet->entries[entry % FLEET_ENTRIES], path, CRASH_BODY);
}

/* Sends the crash body to the entries in turn, with pauses in which servers restart. */
static void
send_crash_body_repeatedly (Fleet *fleet, const char *path)
{
  for (unsigned i = 0; i < ATTEMPTS; i++)
    {
      send_crash_body (fleet, i, path);
      fleet_run_for (fleet, 150 * FT_MS);
    }
}

typedef struct
{
  Fleet *fleet;
  FleetNode *entry;
  const char *path;
} Attempt;

static bool
is_quarantined (void *data)
{
  const Attempt *attempt = data;

  return send_body (attempt->fleet, attempt->entry, attempt->path, CRASH_BODY).quarantined;
}

/* A request crashes each server that runs it. Its caller gets 502 and sends it again under another
 * id to another entry. Each entry saw one crash and took it for the server's own fault: in one
 * day's log, 30 tries of two contents caused 26 crashes ("came":"broken", "sends":1), which broke
 * off other callers' streams and left half of the servers down. */
static void
crash_body_resent (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  send_crash_body_repeatedly (fleet, "/once/a");
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_BODY), >=, 3);
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_BODY), <=, CRASHES_MAX);
  g_test_message ("%u runs of the crash body", fleet_crash_run_count (fleet, CRASH_BODY));
  g_assert_true (send_crash_body (fleet, 0, "/once/a").quarantined);
  fleet_free (fleet);
}

/* The same with a request that may be repeated: the entry itself may send each one to two servers.
 * It must not do so when a server has already crashed on that body. */
static void
retried_by_entry (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  send_crash_body_repeatedly (fleet, "/plain/a");
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_BODY), <=, CRASHES_MAX);
  g_assert_true (send_crash_body (fleet, 0, "/plain/a").quarantined);
  fleet_free (fleet);
}

/* The same with a resumable stream whose servers crash before its first event. */
static void
resumed_by_entry (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  send_crash_body_repeatedly (fleet, "/stream/a");
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_BODY), <=, CRASHES_MAX);
  g_assert_true (send_crash_body (fleet, 0, "/stream/a").quarantined);
  fleet_free (fleet);
}

/* A caller sends six copies of the crash body at once, to all entries. Once three servers have
 * crashed, no later copy reaches a server, however many were under way. */
static void
copies_at_once (void)
{
  Fleet *fleet = fleet_new ();
  Answer copies[6];
  char id[16];

  fleet_start_all (fleet);
  for (unsigned i = 0; i < G_N_ELEMENTS (copies); i++)
    {
      g_snprintf (id, sizeof id, "copy%u", i);
      fleet_send_body (fleet, &fleet->entries[i % FLEET_ENTRIES], "/once/a", id, CRASH_BODY,
                       &copies[i]);
    }
  fleet_run_for (fleet, FT_SECOND);
  unsigned before = fleet_crash_run_count (fleet, CRASH_BODY),
           remaining = fleet->crash_count < 3 ? 3 - fleet->crash_count : 0;
  send_crash_body_repeatedly (fleet, "/once/a");
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_BODY), <=, before + remaining);
  for (unsigned i = 0; i < G_N_ELEMENTS (copies); i++)
    {
      g_assert_true (copies[i].done);
      fleet_answer_clear (&copies[i]);
    }
  fleet_free (fleet);
}

static void
send_until_quarantined (Fleet *fleet, FleetNode *entry, const char *path)
{
  Attempt attempt = { fleet, entry, path };

  while (!is_quarantined (&attempt))
    fleet_run_for (fleet, 150 * FT_MS);
}

/* The voter in charge is killed after two crashes. What was committed of them is in the voters'
 * log; entries report the rest again to its successor. */
static void
leader_killed (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  send_crash_body (fleet, 0, "/once/a");
  fleet_run_for (fleet, 200 * FT_MS);
  send_crash_body (fleet, 1, "/once/a");
  FleetNode *leader = fleet_leader (fleet);
  g_assert_nonnull (leader);
  fleet_kill (leader);
  send_crash_body_repeatedly (fleet, "/once/a");
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_BODY), <=, CRASHES_MAX);
  fleet_start (fleet, leader, false);
  send_until_quarantined (fleet, &fleet->entries[1], "/once/a");
  fleet_free (fleet);
}

static void
kill_processes (Fleet *fleet)
{
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    fleet_kill (&fleet->entries[i]);
}

static void
start_processes (Fleet *fleet)
{
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    fleet_start (fleet, &fleet->entries[i], false);
  for (unsigned i = 0; i < 3; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    while (!fleet_is_ready (fleet, &fleet->entries[i]))
      fleet_run_for (fleet, 20 * FT_MS);
}

/* All processes are killed and restarted once the content is quarantined. It reaches no server any
 * more: the crash table is on the voters' disks, and entries get it before the catalogue, without
 * which they serve nothing. */
static void
all_restarted (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  send_until_quarantined (fleet, &fleet->entries[0], "/once/a");
  unsigned before = fleet_crash_run_count (fleet, CRASH_BODY);
  kill_processes (fleet);
  start_processes (fleet);
  send_crash_body_repeatedly (fleet, "/once/a");
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_BODY), ==, before);
  g_assert_cmpuint (before, <=, CRASHES_MAX);
  fleet_free (fleet);
}

/* One entry is killed before the first crash and restarted after the last, another one is stopped
 * by SIGSTOP meanwhile. Neither saw a crash, but both refuse the content. */
static void
new_and_frozen_entries (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  fleet_kill (&fleet->entries[1]);
  fleet_signal (&fleet->entries[2], SIGSTOP);
  send_until_quarantined (fleet, &fleet->entries[0], "/once/a");
  fleet_signal (&fleet->entries[2], SIGCONT);
  fleet_start (fleet, &fleet->entries[1], false);
  while (!fleet_is_ready (fleet, &fleet->entries[1]))
    fleet_run_for (fleet, 20 * FT_MS);
  g_assert_true (send_crash_body (fleet, 1, "/once/a").quarantined);
  send_until_quarantined (fleet, &fleet->entries[2], "/once/a");
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_BODY), <=, CRASHES_MAX);
  fleet_free (fleet);
}

static bool
is_in_crash_table (void *data)
{
  Fleet *fleet = data;
  Answer answer;

  fleet_operator_call (fleet, "GET", "/v1/suspects", &answer);
  bool there = strstr (answer.body->str, "\"quarantined\":true") != NULL;
  fleet_answer_clear (&answer);
  return there;
}

/* The crash body is sent while all voters are down. Entries share crash reports through the
 * deputies and quarantine it. Once voters are back it stays quarantined, also over a restart of
 * everything. */
static void
without_voters (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  fleet_start (fleet, &fleet->spare, false);
  while (!fleet_is_ready (fleet, &fleet->spare))
    fleet_run_for (fleet, 20 * FT_MS);
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  send_crash_body_repeatedly (fleet, "/once/a");
  unsigned before = fleet_crash_run_count (fleet, CRASH_BODY);
  g_assert_cmpuint (before, <=, CRASHES_MAX);
  /* The spare entry is no deputy and refuses the content without having seen a crash. One run is
   * allowed, because the report may still be on its way. */
  send_until_quarantined (fleet, &fleet->spare, "/once/a");
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_BODY), <=, before + 1);
  before = fleet_crash_run_count (fleet, CRASH_BODY);
  for (unsigned i = 0; i < 3; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  while (!is_in_crash_table (fleet))
    fleet_run_for (fleet, 50 * FT_MS);
  kill_processes (fleet);
  start_processes (fleet);
  send_crash_body_repeatedly (fleet, "/once/a");
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_BODY), ==, before);
  fleet_free (fleet);
}

/* An entry sends two copies of the crash body to one server, whose crash is the third. It closes
 * the connection of one copy a moment after the other's, when the crash is already reported. Guards
 * against a use after free: the entry handled the second copy as one that waits for a place while
 * its connection loss was being handled. Each caller gets 502 (outcome unknown) or 503. */
static void
connection_lost_after_report (void)
{
  Fleet *fleet = fleet_new ();
  Answer copies[2];

  fleet_start_all (fleet);
  for (unsigned i = 1; i < FLEET_SERVERS; i++)
    fleet->servers[i].listed = false;
  while (fleet->crash_count < 2)
    {
      send_crash_body (fleet, 0, "/once/a");
      fleet_run_for (fleet, 300 * FT_MS);
    }
  fleet->servers[0].mode = SERVER_SLOW_CRASH;
  while (fleet->crash_count < 3)
    {
      for (unsigned i = 0; i < G_N_ELEMENTS (copies); i++)
        {
          char id[24];
          g_snprintf (id, sizeof id, "b%" G_GUINT64_FORMAT, ++fleet->next_id);
          fleet_send_body (fleet, &fleet->entries[0], "/once/a", id, CRASH_BODY, &copies[i]);
        }
      fleet_run_for (fleet, FT_SECOND);
      for (unsigned i = 0; i < G_N_ELEMENTS (copies); i++)
        {
          g_assert_true (copies[i].done && !copies[i].broken);
          g_assert_true (copies[i].status == 502 || copies[i].status == 503);
          fleet_answer_clear (&copies[i]);
        }
    }
  g_assert_false (fleet_has_exited (&fleet->entries[0]));
  send_until_quarantined (fleet, &fleet->entries[0], "/once/a");
  fleet_free (fleet);
}

/* Three of four servers crash at once while they all run a content that many callers send. It must
 * not be quarantined, because servers answered it completely a moment before. */
static void
popular_content (void)
{
  Fleet *fleet = fleet_new ();
  Answer streams[12];
  char id[16];

  fleet->budget_slack = 60; /* twelve streams resume at once, and each may try a crashed server */
  fleet_start_all (fleet);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    g_assert_cmpuint (send_body (fleet, &fleet->entries[i], "/stream/a", "body").status, ==, 200);
  fleet->event_ms = 100;
  for (unsigned i = 0; i < G_N_ELEMENTS (streams); i++)
    {
      g_snprintf (id, sizeof id, "p%u", i);
      fleet_send (fleet, &fleet->entries[i % FLEET_ENTRIES], "/stream/a", id, &streams[i]);
    }
  fleet_run_for (fleet, 250 * FT_MS);
  for (unsigned i = 0; i < 3; i++)
    fleet_crash_server (&fleet->servers[i]);
  for (unsigned i = 0; i < 24; i++)
    {
      Outcome outcome = send_body (fleet, &fleet->entries[i % FLEET_ENTRIES], "/stream/a", "body");
      if (outcome.quarantined || outcome.status != 200)
        {
          fleet_run_for (fleet, FT_SECOND); /* until the logs are flushed */
          g_error ("c%" G_GUINT64_FORMAT ": status %u, quarantined %d (logs in %s)", fleet->next_id,
                   outcome.status, outcome.quarantined, fleet->base);
        }
    }
  for (unsigned i = 0; i < G_N_ELEMENTS (streams); i++)
    {
      g_assert_true (streams[i].done);
      g_assert_null (strstr (streams[i].body->str, QUARANTINE_REASON));
      fleet_answer_clear (&streams[i]);
    }
  fleet_free (fleet);
}

/* Servers reset the connection of a request again and again but go on listening. These are no
 * crashes: the request is not quarantined, and it is answered once servers work again. */
static void
resets_are_no_crashes (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    fleet->servers[i].mode = SERVER_RESET;
  for (unsigned i = 0; i < 12; i++)
    {
      Outcome outcome = send_body (fleet, &fleet->entries[i % FLEET_ENTRIES], "/once/a", "body");
      g_assert_cmpuint (outcome.status, ==, 502);
      g_assert_false (outcome.quarantined);
      fleet_run_for (fleet, 50 * FT_MS);
    }
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    fleet->servers[i].mode = SERVER_HEALTHY;
  fleet_run_for (fleet, 3 * FT_SECOND); /* until servers are used again */
  g_assert_cmpuint (send_body (fleet, &fleet->entries[0], "/once/a", "body").status, ==, 200);
  fleet_free (fleet);
}

/* An operator reads the list of suspects and releases a quarantined content: the next request with
 * it is sent to a server. */
static void
released_by_operator (void)
{
  Fleet *fleet = fleet_new ();
  Answer answer;
  char path[64];

  fleet_start_all (fleet);
  send_until_quarantined (fleet, &fleet->entries[0], "/once/a");
  fleet_operator_call (fleet, "GET", "/v1/suspects", &answer);
  const char *at = strstr (answer.body->str, "\"content\":\"");
  g_assert_nonnull (at);
  g_assert_nonnull (strstr (answer.body->str, "\"quarantined\":true,\"ends\":3"));
  g_snprintf (path, sizeof path, "/v1/suspects/%.16s", at + strlen ("\"content\":\""));
  fleet_answer_clear (&answer);
  fleet_operator_call (fleet, "DELETE", "/v1/suspects/x", &answer);
  g_assert_cmpuint (answer.status, ==, 400);
  fleet_answer_clear (&answer);
  fleet_operator_call (fleet, "DELETE", "/v1/suspects/0123456789abcdef", &answer);
  g_assert_cmpuint (answer.status, ==, 404);
  fleet_answer_clear (&answer);
  fleet_operator_call (fleet, "DELETE", path, &answer);
  g_assert_cmpuint (answer.status, ==, 200);
  fleet_answer_clear (&answer);
  unsigned before = fleet_crash_run_count (fleet, CRASH_BODY);
  while (fleet_crash_run_count (fleet, CRASH_BODY) == before)
    {
      send_crash_body (fleet, 0, "/once/a");
      fleet_run_for (fleet, 50 * FT_MS);
    }
  fleet_free (fleet);
}

/* Guards against a crash that nobody is charged with, since a successor of the server listens at
 * its address at once. */
static void
replaced_at_once (void)
{
  Fleet *fleet = fleet_new ();

  fleet->restart_ms = REPLACED_MS;
  fleet_start_all (fleet);
  send_crash_body_repeatedly (fleet, "/once/a");
  g_test_message ("the body ran %u times", fleet_crash_run_count (fleet, CRASH_BODY));
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_BODY), >=, 3);
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_BODY), <=, CRASHES_MAX);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ends/comes_again", crash_body_resent);
  g_test_add_func ("/ends/replaced_at_once", replaced_at_once);
  g_test_add_func ("/ends/repeated_inside", retried_by_entry);
  g_test_add_func ("/ends/resumed_inside", resumed_by_entry);
  g_test_add_func ("/ends/copies", copies_at_once);
  g_test_add_func ("/ends/scheduler_lost", leader_killed);
  g_test_add_func ("/ends/restarted", all_restarted);
  g_test_add_func ("/ends/new_and_frozen", new_and_frozen_entries);
  g_test_add_func ("/ends/without_voters", without_voters);
  g_test_add_func ("/ends/late_break", connection_lost_after_report);
  g_test_add_func ("/ends/popular", popular_content);
  g_test_add_func ("/ends/resets", resets_are_no_crashes);
  g_test_add_func ("/ends/released", released_by_operator);
  return g_test_run ();
}
