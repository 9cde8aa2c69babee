/* rolls.c - tests of roll-outs with real processes: operators order a version of the backend
 * servers while callers send requests and voters are killed. They check what servers and operators
 * saw.
 *
 * Servers 1 and 2 have the version in force, 3 and 4 the ordered one; 3 and 4 appear in the list
 * with the order. No test asserts how long something takes beyond the order's own time limit.
 */
#include "fleet.h"

#include <signal.h>
#include <string.h>

#define LIMIT_S          7
#define REQUEST_INTERVAL (8 * FT_MS) /* between two requests */
#define REQUESTS_MAX     4000
#define EXPOSURE_SHARE   0.1 /* rollout_share: of all requests a bad version may get this ... */
#define EXPOSURE_SLACK   20  /* ... plus rollout_slack; both defaults */
#define START_PATH       "/api/Rollouts.Start"
#define STATE_PATH       "/api/Rollouts.Get/s"

typedef struct
{
  LoopTimer timer;
  Fleet *fleet;
  Answer answers[REQUESTS_MAX];
  unsigned sent;
  int64_t interval;      /* between two requests */
  unsigned stream_every; /* one in so many is a stream; 0: one in three */
  bool stopped;
} Load;

static const char *
next_path (const Load *load)
{
  static const char *const paths[] = { "/plain/a", "/once/a", "/stream/a" };

  if (load->stream_every == 0)
    return paths[load->sent / 3 % 3];
  return paths[load->sent % load->stream_every == 0 ? 2 : load->sent / 3 % 2];
}

static void
on_load_timer (LoopTimer *timer)
{
  Load *load = (Load *) timer;
  Fleet *fleet = load->fleet;
  char id[16];

  if (load->stopped || load->sent >= REQUESTS_MAX)
    return;
  g_snprintf (id, sizeof id, "q%u", load->sent);
  fleet_send (fleet, &fleet->entries[load->sent % FLEET_ENTRIES], next_path (load), id,
              &load->answers[load->sent]);
  load->sent++;
  loop_timer_set (fleet->loop, timer, loop_now (fleet->loop) + load->interval);
}

static Load *
start_load (Fleet *fleet)
{
  Load *load = g_new0 (Load, 1);

  load->timer.fire = on_load_timer;
  load->fleet = fleet;
  load->interval = REQUEST_INTERVAL;
  loop_timer_set (fleet->loop, &load->timer, loop_now (fleet->loop));
  return load;
}

static bool
all_done (void *data)
{
  const Load *load = data;

  for (unsigned i = 0; i < load->sent; i++)
    if (!load->answers[i].done)
      return false;
  return true;
}

/* Ends the load; returns how many requests did not get status 200. */
static unsigned
stop_load (Load *load)
{
  unsigned failed = 0;

  load->stopped = true;
  fleet_run_until (load->fleet, all_done, load, "all callers have their answers");
  loop_timer_stop (load->fleet->loop, &load->timer);
  for (unsigned i = 0; i < load->sent; i++)
    {
      failed += load->answers[i].broken || load->answers[i].status != 200;
      fleet_answer_clear (&load->answers[i]);
    }
  g_free (load);
  return failed;
}

/* ---- Server list, orders and state ---- */

static void
prepare_target_servers (Fleet *fleet)
{
  for (unsigned i = 2; i < FLEET_SERVERS; i++)
    {
      g_strlcpy (fleet->servers[i].version, "v2", sizeof fleet->servers[i].version);
      fleet->servers[i].listed = false;
    }
}

static Fleet *
start_fleet (void)
{
  Fleet *fleet = fleet_new ();

  fleet->plain_ms = 20;
  prepare_target_servers (fleet);
  fleet_start_all (fleet);
  return fleet;
}

static void
list_target_servers (Fleet *fleet, ServerMode mode)
{
  for (unsigned i = 2; i < FLEET_SERVERS; i++)
    {
      fleet->servers[i].listed = true;
      fleet->servers[i].mode = mode;
    }
}

static unsigned
requests_received (const Fleet *fleet, unsigned first)
{
  return fleet->servers[first].arrived + fleet->servers[first + 1].arrived;
}

static unsigned
running_on_old (const Fleet *fleet)
{
  unsigned running = 0;

  for (unsigned i = 0; i < 2; i++)
    running += fleet->servers[i].streams->len + fleet->servers[i].delayed->len;
  return running;
}

static void
order_rollout_within (Fleet *fleet, const char *target, unsigned limit_s)
{
  char *body
      = g_strdup_printf ("{\"Service\":\"s\",\"Target\":\"%s\",\"DurationS\":%u}", target, limit_s);
  Answer answer;

  fleet_operator_call_body (fleet, "POST", START_PATH, body, &answer);
  if (answer.status != 200)
    g_error ("an order was answered with %u, %s (logs in %s)", answer.status, answer.body->str,
             fleet->base);
  fleet_answer_clear (&answer);
  g_free (body);
}

static void
order_rollout (Fleet *fleet, const char *target)
{
  order_rollout_within (fleet, target, LIMIT_S);
}

static unsigned
order_status (Fleet *fleet, const char *body)
{
  Answer answer;

  fleet_operator_call_body (fleet, "POST", START_PATH, body, &answer);
  unsigned status = answer.status;
  fleet_answer_clear (&answer);
  return status;
}

typedef struct
{
  Fleet *fleet;
  const char *path, *wanted;
  unsigned running_on_old_at_end; /* calls that old servers ran when the state was seen */
} StateWait;

/* Whether any voter reports the wanted state, as the platform would read it. */
static bool
has_state (void *data)
{
  StateWait *wait = data;
  Fleet *fleet = wait->fleet;
  Answer answer;
  bool found = false;

  for (unsigned i = 0; i < FLEET_VOTERS && !found; i++)
    {
      if (fleet->voters[i].pid == 0)
        continue;
      fleet_try_operator_call (fleet, &fleet->voters[i], "GET", wait->path, "", &answer);
      found = answer.status == 200 && strstr (answer.body->str, wait->wanted);
      fleet_answer_clear (&answer);
    }
  wait->running_on_old_at_end = running_on_old (fleet);
  return found;
}

static void
assert_rolled_back_for_bad_answers (Fleet *fleet)
{
  Answer answer;

  fleet_operator_call (fleet, "GET", "/v1/rollouts/s", &answer);
  if (strstr (answer.body->str, "more of its answers are bad") == NULL)
    g_error ("rolled back for another reason: %s (logs in %s)", answer.body->str, fleet->base);
  fleet_answer_clear (&answer);
}

static unsigned
wait_text (Fleet *fleet, const char *path, const char *wanted)
{
  StateWait wait = { fleet, path, wanted, 0 };
  int64_t until = loop_now (fleet->loop) + 30 * FT_SECOND;

  while (!has_state (&wait))
    {
      if (loop_now (fleet->loop) > until)
        g_error ("the roll-out does not get %s (logs in %s)", wanted, fleet->base);
      fleet_run_for (fleet, 30 * FT_MS);
    }
  return wait.running_on_old_at_end;
}

static unsigned
wait_state (Fleet *fleet, const char *state)
{
  char *wanted = g_strdup_printf ("\"State\":\"%s\"", state);
  unsigned running = wait_text (fleet, STATE_PATH, wanted);

  g_free (wanted);
  return running;
}

/* ---- Tests ---- */

/* Servers of another version are listed, but nobody has ordered it: no entry may send requests to
 * them. */
static void
unordered_version_gets_nothing (void)
{
  Fleet *fleet = start_fleet ();
  Load *load = start_load (fleet);

  list_target_servers (fleet, SERVER_HEALTHY);
  fleet_run_for (fleet, 2 * FT_SECOND);
  g_assert_cmpuint (stop_load (load), ==, 0);
  g_assert_cmpuint (requests_received (fleet, 2), ==, 0);
  g_assert_cmpuint (requests_received (fleet, 0), >, 0);
  fleet_free (fleet);
}

/* Guards against instances that start while servers of another version stand ready for an order,
 * and are more than those in use: they put the version of most servers in use. */
static void
unordered_version_after_restart (void)
{
  Fleet *fleet = fleet_new ();

  prepare_target_servers (fleet);
  fleet->servers[1].listed = false;
  g_strlcpy (fleet->servers[1].version, "v2", sizeof fleet->servers[1].version);
  fleet_start_all (fleet);
  fleet_run_for (fleet, FT_SECOND); /* the list is read */
  for (unsigned i = 1; i < FLEET_SERVERS; i++)
    fleet->servers[i].listed = true;
  fleet_run_for (fleet, 1500 * FT_MS);
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
  Load *load = start_load (fleet);
  fleet_run_for (fleet, 2 * FT_SECOND);
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  fleet_run_for (fleet, FT_SECOND); /* entries schedule without voters */
  stop_load (load);
  g_assert_cmpuint (requests_received (fleet, 2) + fleet->servers[1].arrived, ==, 0);
  g_assert_cmpuint (fleet->servers[0].arrived, >, 0);
  fleet_free (fleet);
}

/* An operator orders a good version. It gets a few requests on trial, then all. The roll-out
 * completes only when the old servers run nothing, because these stop at once then: no caller loses
 * an answer, and they get no more requests. */
static void
good_version_completes (void)
{
  Fleet *fleet = start_fleet ();
  Load *load = start_load (fleet);

  fleet_run_for (fleet, FT_SECOND);
  list_target_servers (fleet, SERVER_HEALTHY);
  order_rollout (fleet, "v2");
  unsigned running = wait_state (fleet, "completed");
  g_assert_cmpuint (running, ==, 0);
  for (unsigned i = 0; i < 2; i++)
    fleet->servers[i].listed = false;
  unsigned before = requests_received (fleet, 0);
  fleet_run_for (fleet, 1500 * FT_MS);
  g_assert_cmpuint (requests_received (fleet, 0), ==, before);
  g_assert_cmpuint (stop_load (load), ==, 0);
  fleet_free (fleet);
}

/* The ordered version fails four in ten requests and is rolled back. It has got no more requests
 * than allowed and gets none afterwards, neither under the voter in charge nor, once all voters are
 * killed, from entries that schedule without voters. */
static void
bad_version_is_rolled_back (void)
{
  Fleet *fleet = start_fleet ();
  Load *load = start_load (fleet);

  fleet_run_for (fleet, FT_SECOND);
  unsigned sent_before = load->sent;
  list_target_servers (fleet, SERVER_FAILING);
  order_rollout (fleet, "v2");
  wait_state (fleet, "rolled_back");
  unsigned got = requests_received (fleet, 2);
  assert_rolled_back_for_bad_answers (fleet);
  g_test_message ("%u of %u requests went to the bad version", got, load->sent - sent_before);
  g_assert_cmpuint (got, >, 0);
  g_assert_cmpfloat (got, <=, EXPOSURE_SHARE * (load->sent - sent_before) + EXPOSURE_SLACK);
  fleet_run_for (fleet, 500 * FT_MS);
  got = requests_received (fleet, 2);
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  fleet_run_for (fleet, 1500 * FT_MS);
  g_assert_cmpuint (requests_received (fleet, 2), ==, got);
  stop_load (load);
  fleet_free (fleet);
}

/* The ordered version answers much more slowly, without failures, and is rolled back. */
static void
slow_version_is_rolled_back (void)
{
  Fleet *fleet = start_fleet ();
  Load *load = start_load (fleet);

  fleet_run_for (fleet, FT_SECOND);
  unsigned sent_before = load->sent;
  list_target_servers (fleet, SERVER_SLOW);
  order_rollout (fleet, "v2");
  wait_state (fleet, "rolled_back");
  assert_rolled_back_for_bad_answers (fleet);
  g_assert_cmpfloat (requests_received (fleet, 2), <=,
                     EXPOSURE_SHARE * (load->sent - sent_before) + EXPOSURE_SLACK);
  g_assert_cmpuint (stop_load (load), ==, 0);
  fleet_free (fleet);
}

/* The voter in charge is killed during the trial, and its successor while traffic moves over. The
 * next one continues: the good version completes, and all requests succeed. */
static void
leader_killed_twice (void)
{
  Fleet *fleet = start_fleet ();
  Load *load = start_load (fleet);

  fleet_run_for (fleet, FT_SECOND);
  list_target_servers (fleet, SERVER_HEALTHY);
  order_rollout (fleet, "v2");
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
  g_assert_cmpuint (stop_load (load), ==, 0);
  fleet_free (fleet);
}

/* All processes are killed after a roll-back, and all voters right after an order. Both are kept:
 * the version that was rolled back gets no requests, and the order runs to its end. */
static void
all_restarted (void)
{
  Fleet *fleet = start_fleet ();
  Load *load = start_load (fleet);

  fleet_run_for (fleet, FT_SECOND);
  list_target_servers (fleet, SERVER_FAILING);
  order_rollout (fleet, "v2");
  wait_state (fleet, "rolled_back");
  stop_load (load);
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    fleet_kill (&fleet->entries[i]);
  unsigned got = requests_received (fleet, 2);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    fleet_start (fleet, &fleet->entries[i], false);
  for (unsigned i = 0; i < 3; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  wait_state (fleet, "rolled_back");
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    while (!fleet_is_ready (fleet, &fleet->entries[i]))
      fleet_run_for (fleet, 20 * FT_MS);
  load = start_load (fleet);
  fleet_run_for (fleet, FT_SECOND);
  g_assert_cmpuint (requests_received (fleet, 2), ==, got);
  for (unsigned i = 2; i < FLEET_SERVERS; i++)
    g_strlcpy (fleet->servers[i].version, "v3", sizeof fleet->servers[i].version);
  list_target_servers (fleet, SERVER_HEALTHY);
  order_rollout (fleet, "v3");
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < 3; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  g_assert_cmpuint (wait_state (fleet, "completed"), ==, 0);
  stop_load (load);
  fleet_free (fleet);
}

/* The voter that acknowledged an order loses its disk right after and restarts empty. The order is
 * on the other voters' disks, so operators must not be answered that there is none. */
static void
disk_lost_after_order (void)
{
  Fleet *fleet = start_fleet ();
  FleetNode *leader;

  list_target_servers (fleet, SERVER_HEALTHY);
  order_rollout (fleet, "v2");
  leader = fleet_leader (fleet);
  g_assert_nonnull (leader);
  fleet_kill (leader);
  fleet_wipe_data (leader);
  fleet_start (fleet, leader, false);
  wait_state (fleet, "active");
  fleet_free (fleet);
}

/* Invalid orders are refused with 400 and change nothing. The same order again is acknowledged;
 * another version during a roll-out is refused with 409. */
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
  Fleet *fleet = start_fleet ();
  Answer answer;

  for (unsigned i = 0; i < G_N_ELEMENTS (invalid); i++)
    if (order_status (fleet, invalid[i]) != 400)
      g_error ("%s was not refused (logs in %s)", invalid[i], fleet->base);
  fleet_operator_call (fleet, "GET", STATE_PATH, &answer);
  g_assert_cmpuint (answer.status, ==, 404);
  fleet_answer_clear (&answer);
  for (unsigned i = 0; i < 3; i++)
    g_assert_cmpuint (order_status (fleet, proper), ==, 200);
  g_assert_cmpuint (order_status (fleet, "{\"Service\":\"s\",\"Target\":\"v3\",\"DurationS\":5}"),
                    ==, 409);
  fleet_operator_call (fleet, "GET", STATE_PATH, &answer);
  g_assert_cmpstr (answer.body->str, ==, "{\"State\":\"active\",\"Target\":\"v2\"}");
  fleet_answer_clear (&answer);
  /* The /v1/ interface shows the same roll-out and can abort it. */
  fleet_operator_call (fleet, "GET", "/v1/rollouts/s", &answer);
  g_assert_nonnull (strstr (answer.body->str, "\"phase\":\"trying\""));
  fleet_answer_clear (&answer);
  fleet_operator_call (fleet, "DELETE", "/v1/rollouts/s", &answer);
  g_assert_cmpuint (answer.status, ==, 200);
  fleet_answer_clear (&answer);
  wait_state (fleet, "rolled_back");
  g_assert_cmpuint (order_status (fleet, proper), ==, 200); /* a repeated order: starts nothing */
  wait_state (fleet, "rolled_back");
  fleet_free (fleet);
}

/* ---- Loss of voters during the move ---- */

#define LONG_LIMIT_S 14
#define LONG_EVENT   500 /* ms between events: streams of 4 s */

/* Starts a roll-out to a good version and returns when all requests have just moved to it, while
 * streams run on the old version that end well before the limit. */
static Fleet *
start_move (Load **load)
{
  Fleet *fleet = start_fleet ();

  fleet->event_ms = LONG_EVENT;
  *load = start_load (fleet);
  (*load)->interval = 2 * REQUEST_INTERVAL;
  (*load)->stream_every = 48;
  fleet_run_for (fleet, FT_SECOND);
  list_target_servers (fleet, SERVER_HEALTHY);
  order_rollout_within (fleet, "v2", LONG_LIMIT_S);
  wait_text (fleet, "/v1/rollouts/s", "\"phase\":\"moving\"");
  g_assert_cmpuint (running_on_old (fleet), >, 0);
  return fleet;
}

/* Guards against a successor that ends a roll-out before entries have told it what still runs on
 * the previous version: the voter in charge is killed soon after the move. */
static void
successor_hears_entries (void)
{
  Load *load;
  Fleet *fleet = start_move (&load);

  fleet_run_for (fleet, 700 * FT_MS); /* the other voters know of the move */
  FleetNode *leader = fleet_leader (fleet);
  g_assert_nonnull (leader);
  fleet_kill (leader);
  g_assert_cmpuint (wait_state (fleet, "completed"), ==, 0);
  g_assert_cmpuint (stop_load (load), ==, 0);
  fleet_free (fleet);
}

/* Guards against the same at a leader that freezes, is replaced, resumes, and takes over once more
 * while streams still run on the previous version. */
static void
frozen_leader_hears_entries (void)
{
  Load *load;
  Fleet *fleet = start_move (&load);

  fleet_run_for (fleet, 700 * FT_MS);
  FleetNode *frozen = fleet_leader (fleet);
  g_assert_nonnull (frozen);
  fleet_signal (frozen, SIGSTOP);
  fleet_run_for (fleet, 1300 * FT_MS);
  fleet_signal (frozen, SIGCONT);
  for (unsigned i = 0; i < 3; i++)
    if (&fleet->voters[i] != frozen && fleet_leader (fleet) == &fleet->voters[i])
      fleet_kill (&fleet->voters[i]);
  g_assert_cmpuint (wait_state (fleet, "completed"), ==, 0);
  g_assert_cmpuint (stop_load (load), ==, 0);
  fleet_free (fleet);
}

/* Guards against the same after a loss of all voters: the new ones have never been linked to any
 * entry. */
static void
restarted_voters_hear_entries (void)
{
  Load *load;
  Fleet *fleet = start_move (&load);

  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < 3; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  g_assert_cmpuint (wait_state (fleet, "completed"), ==, 0);
  g_assert_cmpuint (stop_load (load), ==, 0);
  fleet_free (fleet);
}

/* Guards against a roll-back because voters that have not read the list of servers take the
 * version's servers for gone. */
static void
servers_not_listed_yet (void)
{
  Load *load;
  Fleet *fleet = start_move (&load);

  hsrv_stop_accepting (fleet->list);
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < 3; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  while (fleet_leader (fleet) == NULL)
    fleet_run_for (fleet, 50 * FT_MS);
  fleet_run_for (fleet, 3 * FT_SECOND);
  wait_state (fleet, "active");
  stop_load (load);
  fleet_free (fleet);
}

static unsigned
committed_elapsed_ms (Fleet *fleet)
{
  static const char field[] = "\"elapsed_ms\":";
  Answer answer;

  fleet_operator_call (fleet, "GET", "/v1/rollouts/s", &answer);
  const char *elapsed = strstr (answer.body->str, field);
  g_assert_nonnull (elapsed);
  unsigned ms = (unsigned) g_ascii_strtoull (elapsed + strlen (field), NULL, 10);
  fleet_answer_clear (&answer);
  return ms;
}

/* Guards against ending a roll-out early while an entry that was lost before the move may still
 * send to the previous version: it counts until the limit, however long it has been lost. */
static void
lost_entry_counts_until_the_limit (void)
{
  const unsigned limit_s = 16, margin_ms = 600; /* margin: for the last step to be read */
  Fleet *fleet = start_fleet ();
  Load *load = start_load (fleet);

  fleet_run_for (fleet, FT_SECOND);
  list_target_servers (fleet, SERVER_HEALTHY);
  order_rollout_within (fleet, "v2", limit_s);
  fleet_signal (&fleet->entries[0], SIGSTOP);
  wait_state (fleet, "completed");
  g_assert_cmpuint (committed_elapsed_ms (fleet), >=, limit_s * 1000 - margin_ms);
  fleet_signal (&fleet->entries[0], SIGCONT);
  stop_load (load);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rolls/unordered", unordered_version_gets_nothing);
  g_test_add_func ("/rolls/unordered_after_restart", unordered_version_after_restart);
  g_test_add_func ("/rolls/sound", good_version_completes);
  g_test_add_func ("/rolls/bad", bad_version_is_rolled_back);
  g_test_add_func ("/rolls/slow", slow_version_is_rolled_back);
  g_test_add_func ("/rolls/leader_lost", leader_killed_twice);
  g_test_add_func ("/rolls/all_killed", all_restarted);
  g_test_add_func ("/rolls/disk_lost", disk_lost_after_order);
  g_test_add_func ("/rolls/orders", orders_are_checked);
  g_test_add_func ("/rolls/successor_hears_entries", successor_hears_entries);
  g_test_add_func ("/rolls/frozen_leader_hears_entries", frozen_leader_hears_entries);
  g_test_add_func ("/rolls/restarted_voters_hear_entries", restarted_voters_hear_entries);
  g_test_add_func ("/rolls/servers_not_listed_yet", servers_not_listed_yet);
  g_test_add_func ("/rolls/lost_entry_counts_until_the_limit", lost_entry_counts_until_the_limit);
  return g_test_run ();
}
