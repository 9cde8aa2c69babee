/* rolls.c - roll-outs by real processes: operators order a version of the backend servers, callers
 * ask all the while, and voters are lost in the middle. What servers and operators saw is checked.
 *
 * Servers 1 and 2 have the version that serves, 3 and 4 the one that is ordered; these appear in
 * the list with the order. No test asserts how long something takes beyond the order's own limit.
 */
#include "fleet.h"

#include <signal.h>
#include <string.h>

#define LIMIT_S  7
#define EVERY    (8 * FT_MS) /* between two requests of callers */
#define ASK_MOST 4000
#define SHARE    0.1 /* of all requests that a bad version may get ... */
#define SLACK    20  /* ... and beside; the settings' defaults */
#define START    "/api/Rollouts.Start"
#define STATE    "/api/Rollouts.Get/s"

typedef struct
{
  LoopTimer timer;
  Fleet *fleet;
  Answer answers[ASK_MOST];
  unsigned asked;
  bool stopped;
} Load;

static void
on_load (LoopTimer *timer)
{
  static const char *const paths[] = { "/plain/a", "/once/a", "/stream/a" };
  Load *load = (Load *) timer;
  Fleet *fleet = load->fleet;
  char id[16];

  if (load->stopped || load->asked >= ASK_MOST)
    return;
  g_snprintf (id, sizeof id, "q%u", load->asked);
  fleet_send (fleet, &fleet->entries[load->asked % FLEET_ENTRIES], paths[load->asked / 3 % 3], id,
              &load->answers[load->asked]);
  load->asked++;
  loop_timer_set (fleet->loop, timer, loop_now (fleet->loop) + EVERY);
}

static Load *
load_start (Fleet *fleet)
{
  Load *load = g_new0 (Load, 1);

  load->timer.fire = on_load;
  load->fleet = fleet;
  loop_timer_set (fleet->loop, &load->timer, loop_now (fleet->loop));
  return load;
}

static bool
all_done (void *data)
{
  const Load *load = data;

  for (unsigned i = 0; i < load->asked; i++)
    if (!load->answers[i].done)
      return false;
  return true;
}

/* Ends the load; returns how many requests were not answered with success. */
static unsigned
load_stop (Load *load)
{
  unsigned failed = 0;

  load->stopped = true;
  fleet_until (load->fleet, all_done, load, "all callers have their answers");
  for (unsigned i = 0; i < load->asked; i++)
    {
      failed += load->answers[i].broken || load->answers[i].status != 200;
      fleet_answer_clear (&load->answers[i]);
    }
  g_free (load);
  return failed;
}

/* ---- The platform's part ---- */

static Fleet *
begin (void)
{
  Fleet *fleet = fleet_new ();

  fleet->plain_ms = 20;
  for (unsigned i = 2; i < FLEET_SERVERS; i++)
    {
      g_strlcpy (fleet->servers[i].version, "v2", sizeof fleet->servers[i].version);
      fleet->servers[i].listed = false;
    }
  fleet_begin (fleet);
  return fleet;
}

static void
list_new (Fleet *fleet, ServerMode mode)
{
  for (unsigned i = 2; i < FLEET_SERVERS; i++)
    {
      fleet->servers[i].listed = true;
      fleet->servers[i].mode = mode;
    }
}

static unsigned
arrived (const Fleet *fleet, unsigned first)
{
  return fleet->servers[first].arrived + fleet->servers[first + 1].arrived;
}

static unsigned
running_old (const Fleet *fleet)
{
  unsigned running = 0;

  for (unsigned i = 0; i < 2; i++)
    running += fleet->servers[i].streams->len + fleet->servers[i].later->len;
  return running;
}

static void
order (Fleet *fleet, const char *target)
{
  char *body
      = g_strdup_printf ("{\"Service\":\"s\",\"Target\":\"%s\",\"DurationS\":%d}", target, LIMIT_S);
  Answer answer;

  fleet_operate_with (fleet, "POST", START, body, &answer);
  if (answer.status != 200)
    g_error ("an order was answered %u, %s (logs in %s)", answer.status, answer.body->str,
             fleet->base);
  fleet_answer_clear (&answer);
  g_free (body);
}

static unsigned
order_status (Fleet *fleet, const char *body)
{
  Answer answer;

  fleet_operate_with (fleet, "POST", START, body, &answer);
  unsigned status = answer.status;
  fleet_answer_clear (&answer);
  return status;
}

typedef struct
{
  Fleet *fleet;
  const char *wanted;
  unsigned old_at_end; /* what ran on servers of the version before as it was completed */
} Watch;

/* Looks as the platform does, at any voter. */
static bool
shows (void *data)
{
  Watch *watch = data;
  Fleet *fleet = watch->fleet;
  Answer answer;
  bool found = false;

  for (unsigned i = 0; i < FLEET_VOTERS && !found; i++)
    {
      if (fleet->voters[i].pid == 0)
        continue;
      fleet_try_operate (fleet, &fleet->voters[i], "GET", STATE, "", &answer);
      found = answer.status == 200 && strstr (answer.body->str, watch->wanted);
      fleet_answer_clear (&answer);
    }
  watch->old_at_end = running_old (fleet);
  return found;
}

static void
assert_judged_bad (Fleet *fleet)
{
  Answer answer;

  fleet_operate (fleet, "GET", "/v1/rollouts/s", &answer);
  if (strstr (answer.body->str, "more of its answers are bad") == NULL)
    g_error ("rolled back for another reason: %s (logs in %s)", answer.body->str, fleet->base);
  fleet_answer_clear (&answer);
}

static unsigned
wait_state (Fleet *fleet, const char *state)
{
  char *wanted = g_strdup_printf ("\"State\":\"%s\"", state);
  Watch watch = { fleet, wanted, 0 };
  int64_t until = loop_now (fleet->loop) + 30 * FT_SECOND;

  while (!shows (&watch))
    {
      if (loop_now (fleet->loop) > until)
        g_error ("the roll-out is never %s (logs in %s)", state, fleet->base);
      fleet_run_for (fleet, 30 * FT_MS);
    }
  g_free (wanted);
  return watch.old_at_end;
}

/* ---- Tests ---- */

/* Servers of another version stand in the list, and nobody has ordered it. Callers' requests must
 * not meet it, on any entry. */
static void
unordered_gets_nothing (void)
{
  Fleet *fleet = begin ();
  Load *load = load_start (fleet);

  list_new (fleet, SERVER_SOUND);
  fleet_run_for (fleet, 2 * FT_SECOND);
  g_assert_cmpuint (load_stop (load), ==, 0);
  g_assert_cmpuint (arrived (fleet, 2), ==, 0);
  g_assert_cmpuint (arrived (fleet, 0), >, 0);
  fleet_free (fleet);
}

/* An operator orders a sound version. It is tried with a few requests, gets all of them, and the
 * roll-out is completed when nothing runs on the servers before, which stop at once then: no caller
 * loses an answer, and these servers get nothing more. */
static void
sound_version_completes (void)
{
  Fleet *fleet = begin ();
  Load *load = load_start (fleet);

  fleet_run_for (fleet, FT_SECOND);
  list_new (fleet, SERVER_SOUND);
  order (fleet, "v2");
  unsigned running = wait_state (fleet, "completed");
  g_assert_cmpuint (running, ==, 0);
  for (unsigned i = 0; i < 2; i++)
    fleet->servers[i].listed = false;
  unsigned before = arrived (fleet, 0);
  fleet_run_for (fleet, 1500 * FT_MS);
  g_assert_cmpuint (arrived (fleet, 0), ==, before);
  g_assert_cmpuint (load_stop (load), ==, 0);
  fleet_free (fleet);
}

/* The ordered version fails four in ten. It is rolled back, has got no more than it may, and gets
 * nothing after, neither through the voter in charge nor, once all voters are killed, through
 * entries that help themselves. */
static void
bad_version_is_rolled_back (void)
{
  Fleet *fleet = begin ();
  Load *load = load_start (fleet);

  fleet_run_for (fleet, FT_SECOND);
  unsigned asked = load->asked;
  list_new (fleet, SERVER_POOR);
  order (fleet, "v2");
  wait_state (fleet, "rolled_back");
  unsigned got = arrived (fleet, 2);
  assert_judged_bad (fleet);
  g_test_message ("%u of %u requests met it", got, load->asked - asked);
  g_assert_cmpuint (got, >, 0);
  g_assert_cmpfloat (got, <=, SHARE * (load->asked - asked) + SLACK);
  fleet_run_for (fleet, 500 * FT_MS);
  got = arrived (fleet, 2);
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  fleet_run_for (fleet, 1500 * FT_MS);
  g_assert_cmpuint (arrived (fleet, 2), ==, got);
  load_stop (load);
  fleet_free (fleet);
}

/* The ordered version answers many times more slowly, and fails nothing. */
static void
slow_version_is_rolled_back (void)
{
  Fleet *fleet = begin ();
  Load *load = load_start (fleet);

  fleet_run_for (fleet, FT_SECOND);
  unsigned asked = load->asked;
  list_new (fleet, SERVER_SLOW);
  order (fleet, "v2");
  wait_state (fleet, "rolled_back");
  assert_judged_bad (fleet);
  g_assert_cmpfloat (arrived (fleet, 2), <=, SHARE * (load->asked - asked) + SLACK);
  g_assert_cmpuint (load_stop (load), ==, 0);
  fleet_free (fleet);
}

/* The voter in charge is killed in the middle of a trial, and again as everything moves. The next
 * one goes on: the sound version is completed, and no caller's answer is lost but those that the
 * kill itself holds up. */
static void
leader_lost_twice (void)
{
  Fleet *fleet = begin ();
  Load *load = load_start (fleet);

  fleet_run_for (fleet, FT_SECOND);
  list_new (fleet, SERVER_SOUND);
  order (fleet, "v2");
  fleet_run_for (fleet, 1500 * FT_MS);
  FleetNode *first = fleet_leader (fleet);
  g_assert_nonnull (first);
  fleet_kill (first);
  fleet_run_for (fleet, 2 * FT_SECOND);
  fleet_start (fleet, first, false);
  fleet_run_for (fleet, 1500 * FT_MS);
  FleetNode *second = fleet_leader (fleet);
  if (second)
    {
      fleet_kill (second);
      fleet_run_for (fleet, FT_SECOND);
      fleet_start (fleet, second, false);
    }
  g_assert_cmpuint (wait_state (fleet, "completed"), ==, 0);
  g_assert_cmpuint (load_stop (load), ==, 0);
  fleet_free (fleet);
}

/* Everything is killed right after a roll-back, and right after an order. What was acknowledged is
 * there: the version that was rolled back gets nothing, the order goes on to its end. */
static void
all_killed (void)
{
  Fleet *fleet = begin ();
  Load *load = load_start (fleet);

  fleet_run_for (fleet, FT_SECOND);
  list_new (fleet, SERVER_POOR);
  order (fleet, "v2");
  wait_state (fleet, "rolled_back");
  load_stop (load);
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    fleet_kill (&fleet->entries[i]);
  unsigned got = arrived (fleet, 2);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    fleet_start (fleet, &fleet->entries[i], false);
  for (unsigned i = 0; i < 3; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  wait_state (fleet, "rolled_back");
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    while (!fleet_ready (fleet, &fleet->entries[i]))
      fleet_run_for (fleet, 20 * FT_MS);
  load = load_start (fleet);
  fleet_run_for (fleet, FT_SECOND);
  g_assert_cmpuint (arrived (fleet, 2), ==, got);
  for (unsigned i = 2; i < FLEET_SERVERS; i++)
    g_strlcpy (fleet->servers[i].version, "v3", sizeof fleet->servers[i].version);
  list_new (fleet, SERVER_SOUND);
  order (fleet, "v3");
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < 3; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  g_assert_cmpuint (wait_state (fleet, "completed"), ==, 0);
  load_stop (load);
  fleet_free (fleet);
}

/* The voter that acknowledged an order loses its disk right after, and comes back empty. Its
 * operator asks for the order's state and is told that there is none. It is on the other voters'
 * disks, so it is still there. */
static void
disk_lost_after_order (void)
{
  Fleet *fleet = begin ();
  FleetNode *leader;

  list_new (fleet, SERVER_SOUND);
  order (fleet, "v2");
  leader = fleet_leader (fleet);
  g_assert_nonnull (leader);
  fleet_kill (leader);
  fleet_wipe (leader);
  fleet_start (fleet, leader, false);
  wait_state (fleet, "active");
  fleet_free (fleet);
}

/* Orders that cannot be meant: each is refused with a reason, and changes nothing. The same order
 * again is acknowledged; another version while one is under way is not. */
static void
orders_are_checked (void)
{
  static const char *const invalid[] = {
    "{",
    "[]",
    "{\"Target\":\"v2\",\"DurationS\":5}",
    "{\"Service\":\"\",\"Target\":\"v2\",\"DurationS\":5}",
    "{\"Service\":\"s\",\"DurationS\":5}",
    "{\"Service\":\"s\",\"Target\":7,\"DurationS\":5}",
    "{\"Service\":\"s\",\"Target\":\"v2\"}",
    "{\"Service\":\"s\",\"Target\":\"v2\",\"DurationS\":0}",
    "{\"Service\":\"s\",\"Target\":\"v2\",\"DurationS\":-3}",
    "{\"Service\":\"s\",\"Target\":\"v2\",\"DurationS\":\"5\"}",
    "{\"Service\":\"other\",\"Target\":\"v2\",\"DurationS\":5}",
  };
  static const char proper[] = "{\"Service\":\"s\",\"Target\":\"v2\",\"DurationS\":60}";
  Fleet *fleet = begin ();
  Answer answer;

  for (unsigned i = 0; i < G_N_ELEMENTS (invalid); i++)
    if (order_status (fleet, invalid[i]) != 400)
      g_error ("%s was not refused (logs in %s)", invalid[i], fleet->base);
  fleet_operate (fleet, "GET", STATE, &answer);
  g_assert_cmpuint (answer.status, ==, 404);
  fleet_answer_clear (&answer);
  for (unsigned i = 0; i < 3; i++)
    g_assert_cmpuint (order_status (fleet, proper), ==, 200);
  g_assert_cmpuint (order_status (fleet, "{\"Service\":\"s\",\"Target\":\"v3\",\"DurationS\":5}"),
                    ==, 409);
  fleet_operate (fleet, "GET", STATE, &answer);
  g_assert_cmpstr (answer.body->str, ==, "{\"State\":\"active\",\"Target\":\"v2\"}");
  fleet_answer_clear (&answer);
  /* The product's own calls see the same one, and may end it. */
  fleet_operate (fleet, "GET", "/v1/rollouts/s", &answer);
  g_assert_nonnull (strstr (answer.body->str, "\"phase\":\"trying\""));
  fleet_answer_clear (&answer);
  fleet_operate (fleet, "DELETE", "/v1/rollouts/s", &answer);
  g_assert_cmpuint (answer.status, ==, 200);
  fleet_answer_clear (&answer);
  wait_state (fleet, "rolled_back");
  g_assert_cmpuint (order_status (fleet, proper), ==, 200); /* sent again: begins nothing */
  wait_state (fleet, "rolled_back");
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rolls/unordered", unordered_gets_nothing);
  g_test_add_func ("/rolls/sound", sound_version_completes);
  g_test_add_func ("/rolls/bad", bad_version_is_rolled_back);
  g_test_add_func ("/rolls/slow", slow_version_is_rolled_back);
  g_test_add_func ("/rolls/leader_lost", leader_lost_twice);
  g_test_add_func ("/rolls/all_killed", all_killed);
  g_test_add_func ("/rolls/disk_lost", disk_lost_after_order);
  g_test_add_func ("/rolls/orders", orders_are_checked);
  return g_test_run ();
}
