/* parts.c - tests, with real processes on loopback, of a part of prompts that crashes each server
 * that begins to answer a request with it. No two requests with the part are alike; sound requests
 * share their organisation, their first part and further parts with them. The tests check what
 * servers ran and what callers were answered, not how long it took. */
#include "fleet.h"

#include <signal.h>
#include <string.h>

#define CRASH_PART        FLEET_CRASH_PART "01"
#define FIRST_PART        "f100"
#define POPULAR_PART      "aa00"
#define ATTEMPTS          24 /* far more than the crashes that the part may cause */
#define CRASHES_MAX       6  /* three until it is quarantined, and three more ever */
#define QUARANTINE_REASON "quarantined"

#define SOUND   FIRST_PART ":100," POPULAR_PART ":20"
#define CRASHES FIRST_PART ":100," CRASH_PART ":30," POPULAR_PART ":20"

typedef struct
{
  unsigned status;  /* 0: the answer was broken off */
  bool quarantined; /* refused unsent, because of earlier crashes */
} Outcome;

static bool
is_done (void *data)
{
  return ((Answer *) data)->done;
}

/* Sends a prompt of these shared parts and a part of its own, with a body of its own. */
static Outcome
send_parts (Fleet *fleet, unsigned entry, const char *path, const char *shared)
{
  uint64_t number = ++fleet->next_id;
  char *id = g_strdup_printf ("p%" G_GUINT64_FORMAT, number);
  char *parts = g_strdup_printf ("%s,%" G_GINT64_MODIFIER "x:40", shared, 0xe000000 + number);
  Answer answer;

  fleet_send_parts (fleet, &fleet->entries[entry % FLEET_ENTRIES], path, id, parts, id, &answer);
  fleet_run_until (fleet, is_done, &answer, id);
  Outcome outcome
      = { answer.broken ? 0 : answer.status, strstr (answer.body->str, QUARANTINE_REASON) != NULL };
  if (outcome.status == 503 && fleet_run_count (fleet, id) > 0)
    g_error ("%s was answered as not run, but ran (logs in %s)", id, fleet->base);
  fleet_answer_clear (&answer);
  g_free (parts);
  g_free (id);
  return outcome;
}

/* Sends prompts with the crash part to the entries in turn, and a sound one after each, with pauses
 * in which servers restart. */
static void
send_crash_part_repeatedly (Fleet *fleet, const char *path)
{
  for (unsigned i = 0; i < ATTEMPTS; i++)
    {
      send_parts (fleet, i, path, CRASHES);
      send_parts (fleet, i + 1, path, SOUND);
      fleet_run_for (fleet, 150 * FT_MS);
    }
}

/* Three servers out of four are usable within this time after a crash. */
static void
await_servers (Fleet *fleet)
{
  fleet_run_for (fleet, 3 * FT_SECOND);
}

static void
assert_quarantined_alone (Fleet *fleet, const char *path)
{
  g_test_message ("%u runs of the crash part", fleet_crash_run_count (fleet, CRASH_PART));
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_PART), >=, 3);
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_PART), <=, CRASHES_MAX);
  await_servers (fleet);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    {
      g_assert_true (send_parts (fleet, i, path, CRASHES).quarantined);
      g_assert_cmpuint (send_parts (fleet, i, path, SOUND).status, ==, 200);
    }
}

/* Requests with one part crash a server each, and no two of them have the same content: each crash
 * counted for another content, and server after server went down. */
static void
part_in_unlike_requests (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  send_crash_part_repeatedly (fleet, "/once/a");
  assert_quarantined_alone (fleet, "/once/a");
  fleet_free (fleet);
}

/* The same with a request that an entry may repeat: it must not carry the part to a second server
 * once it recurs in crashes. */
static void
repeated_by_entry (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  send_crash_part_repeatedly (fleet, "/plain/a");
  assert_quarantined_alone (fleet, "/plain/a");
  fleet_free (fleet);
}

/* The same with a resumable stream that ends before its first event. */
static void
resumed_by_entry (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  send_crash_part_repeatedly (fleet, "/stream/a");
  assert_quarantined_alone (fleet, "/stream/a");
  fleet_free (fleet);
}

/* Eight requests with the part are under way at once, as the first crash is reported. Whatever
 * waits or is about to be sent when the part is quarantined reaches no server. */
static void
many_at_once (void)
{
  Fleet *fleet = fleet_new ();
  Answer answers[8];
  char id[16], parts[96];

  fleet_start_all (fleet);
  for (unsigned i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      g_snprintf (id, sizeof id, "m%u", i);
      g_snprintf (parts, sizeof parts, CRASHES ",%x:9", 0xe00 + i);
      fleet_send_parts (fleet, &fleet->entries[i % FLEET_ENTRIES], "/once/a", id, parts, id,
                        &answers[i]);
    }
  fleet_run_for (fleet, FT_SECOND);
  unsigned before = fleet_crash_run_count (fleet, CRASH_PART),
           remaining = fleet->crash_count < 3 ? 3 - fleet->crash_count : 0;
  send_crash_part_repeatedly (fleet, "/once/a");
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_PART), <=, before + remaining);
  for (unsigned i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      fleet_run_until (fleet, is_done, &answers[i], "an answer that was under way");
      fleet_answer_clear (&answers[i]);
    }
  fleet_free (fleet);
}

/* A part that nobody asks for but together with the crash part has as many crashes as that. A sound
 * request that has it alone must be served, as must those of the first part: both were last
 * answered long ago. */
static void
rare_companion (void)
{
  Fleet *fleet = fleet_new ();
  Outcome outcome = { 0, false };

  fleet_start_all (fleet);
  for (unsigned i = 0; i < ATTEMPTS && !outcome.quarantined; i++)
    {
      outcome = send_parts (fleet, i, "/once/a", "f100:9,bb00:9," CRASH_PART ":9");
      fleet_run_for (fleet, 150 * FT_MS);
    }
  g_assert_true (outcome.quarantined);
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_PART), <=, CRASHES_MAX);
  await_servers (fleet);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    {
      g_assert_cmpuint (send_parts (fleet, i, "/once/a", "f100:9,bb00:9").status, ==, 200);
      g_assert_cmpuint (send_parts (fleet, i, "/once/a", "f100:9").status, ==, 200);
      g_assert_true (
          send_parts (fleet, i, "/once/a", "f100:9,bb00:9," CRASH_PART ":9").quarantined);
    }
  fleet_free (fleet);
}

/* Three of four servers crash at once while they read prompts with a part that many callers use. It
 * must not be quarantined: it was answered a moment before. */
static void
popular_part (void)
{
  Fleet *fleet = fleet_new ();
  Answer answers[12];
  char id[16], parts[96];

  fleet->budget_slack = 60;
  fleet_start_all (fleet);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    g_assert_cmpuint (send_parts (fleet, i, "/plain/a", SOUND).status, ==, 200);
  fleet->plain_ms = 400;
  for (unsigned i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      g_snprintf (id, sizeof id, "q%u", i);
      g_snprintf (parts, sizeof parts, SOUND ",%x:9", 0xe00 + i);
      fleet_send_parts (fleet, &fleet->entries[i % FLEET_ENTRIES], "/plain/a", id, parts, id,
                        &answers[i]);
    }
  fleet_run_for (fleet, 200 * FT_MS);
  for (unsigned i = 0; i < 3; i++)
    fleet_crash_server (&fleet->servers[i]);
  fleet->plain_ms = 0;
  for (unsigned i = 0; i < 24; i++)
    {
      Outcome outcome = send_parts (fleet, i, "/plain/a", SOUND);
      g_assert_false (outcome.quarantined);
      g_assert_cmpuint (outcome.status, ==, 200);
    }
  for (unsigned i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      fleet_run_until (fleet, is_done, &answers[i], "an answer that was under way");
      fleet_answer_clear (&answers[i]);
    }
  fleet_free (fleet);
}

/* Two parts, which come in turn with the same first part, crash servers. */
static void
two_crash_parts (void)
{
  Fleet *fleet = fleet_new ();
  const char *second = FLEET_CRASH_PART "02";

  fleet_start_all (fleet);
  for (unsigned i = 0; i < ATTEMPTS; i++)
    {
      send_parts (fleet, i, "/once/a", i % 2 ? CRASHES : FIRST_PART ":9," FLEET_CRASH_PART "02:9");
      send_parts (fleet, i + 1, "/once/a", SOUND);
      fleet_run_for (fleet, 150 * FT_MS);
    }
  g_assert_cmpuint (fleet_crash_run_count (fleet, second), <=, CRASHES_MAX);
  assert_quarantined_alone (fleet, "/once/a");
  fleet_free (fleet);
}

/* The voter in charge is killed after two crashes. */
static void
leader_killed (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  for (unsigned i = 0; i < 2; i++)
    {
      send_parts (fleet, i, "/once/a", CRASHES);
      send_parts (fleet, i, "/once/a", SOUND);
      fleet_run_for (fleet, 200 * FT_MS);
    }
  FleetNode *leader = fleet_leader (fleet);
  g_assert_nonnull (leader);
  fleet_kill (leader);
  send_crash_part_repeatedly (fleet, "/once/a");
  fleet_start (fleet, leader, false);
  assert_quarantined_alone (fleet, "/once/a");
  fleet_free (fleet);
}

/* All voters are down: entries share what they saw through the deputies. */
static void
without_voters (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  send_crash_part_repeatedly (fleet, "/once/a");
  assert_quarantined_alone (fleet, "/once/a");
  fleet_free (fleet);
}

/* All voters stop answering, as on disks that stall, and three crashes are reported to them before
 * entries notice. The reports must reach the other entries by the deputies then. */
static void
voters_frozen (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  for (unsigned i = 0; i < 3; i++)
    fleet_signal (&fleet->voters[i], SIGSTOP);
  for (unsigned i = 0; i < 3; i++)
    send_parts (fleet, i, "/once/a", CRASHES);
  fleet_run_for (fleet, 4 * FT_SECOND);
  unsigned before = fleet_crash_run_count (fleet, CRASH_PART);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    g_assert_true (send_parts (fleet, i, "/once/a", CRASHES).quarantined);
  g_assert_cmpuint (before, ==, 3);
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_PART), ==, 3);
  fleet_free (fleet);
}

/* All processes are killed and restarted once the part is quarantined. */
static void
all_restarted (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  send_crash_part_repeatedly (fleet, "/once/a");
  unsigned before = fleet_crash_run_count (fleet, CRASH_PART);
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    fleet_kill (&fleet->entries[i]);
  for (unsigned i = 0; i < 3; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    fleet_start (fleet, &fleet->entries[i], false);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    while (!fleet_is_ready (fleet, &fleet->entries[i]))
      fleet_run_for (fleet, 20 * FT_MS);
  assert_quarantined_alone (fleet, "/once/a");
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_PART), ==, before);
  fleet_free (fleet);
}

/* The part is named in upper case, with leading zeros or twice, with another number of tokens or
 * beside a spoilt entry: it is the same part. */
static void
other_spellings (void)
{
  static const char *const spellings[]
      = { "f100:9,DEAD01:9", "F100:1,dead01:7,dead01:7", "00f100:9,,dead01:1", "x:y,dead01:9" };
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  send_crash_part_repeatedly (fleet, "/once/a");
  for (unsigned i = 0; i < G_N_ELEMENTS (spellings); i++)
    g_assert_true (send_parts (fleet, i, "/once/a", spellings[i]).quarantined);
  g_assert_true (send_parts (fleet, 0, "/once/a", "f100:9,00DEAD01:9").quarantined);
  fleet_free (fleet);
}

/* An operator sees the part in the list of suspects and releases it. */
static void
released_by_operator (void)
{
  Fleet *fleet = fleet_new ();
  Answer answer;
  char path[64];

  fleet_start_all (fleet);
  send_crash_part_repeatedly (fleet, "/once/a");
  fleet_operator_call (fleet, "GET", "/v1/suspects", &answer);
  const char *at = strstr (answer.body->str, "\"kind\":\"part\"");
  g_assert_nonnull (at);
  g_assert_nonnull (strstr (answer.body->str, "\"quarantined\":true"));
  at = strstr (answer.body->str, "{\"content\":\"");
  g_assert_nonnull (at);
  g_snprintf (path, sizeof path, "/v1/suspects/%.16s", at + strlen ("{\"content\":\""));
  fleet_answer_clear (&answer);
  fleet_operator_call (fleet, "DELETE", path, &answer);
  g_assert_cmpuint (answer.status, ==, 200);
  fleet_answer_clear (&answer);
  unsigned before = fleet_crash_run_count (fleet, CRASH_PART);
  while (fleet_crash_run_count (fleet, CRASH_PART) == before)
    {
      send_parts (fleet, 0, "/once/a", CRASHES);
      fleet_run_for (fleet, 50 * FT_MS);
    }
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/parts/unlike_requests", part_in_unlike_requests);
  g_test_add_func ("/parts/repeated_inside", repeated_by_entry);
  g_test_add_func ("/parts/resumed_inside", resumed_by_entry);
  g_test_add_func ("/parts/at_once", many_at_once);
  g_test_add_func ("/parts/rare_companion", rare_companion);
  g_test_add_func ("/parts/popular", popular_part);
  g_test_add_func ("/parts/two", two_crash_parts);
  g_test_add_func ("/parts/leader_killed", leader_killed);
  g_test_add_func ("/parts/without_voters", without_voters);
  g_test_add_func ("/parts/voters_frozen", voters_frozen);
  g_test_add_func ("/parts/restarted", all_restarted);
  g_test_add_func ("/parts/spellings", other_spellings);
  g_test_add_func ("/parts/released", released_by_operator);
  return g_test_run ();
}
