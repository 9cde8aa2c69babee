/* lostplay.c - see lostplay.h. A plain answer is the text of the events. */
#include "lostplay.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define SERVER_PORT   8743
#define FAULT_AFTER   (300 * FT_MS) /* for a plain answer to begin */
#define CHECK_STARTED (30 * FT_MS)
#define STANDSTILL    (100 * FT_MS)
#define BUDGET_SLACK  8 /* fewer repeats than streams that break at once */

bool
lostplay_all_done (void *data)
{
  const Play *play = data;

  for (unsigned i = 0; i < play->count; i++)
    if (!play->answers[i].done)
      return false;
  return true;
}

/* Waits for the second event of all; a plain answer shows nothing until it is complete. */
static bool
all_begun (void *data)
{
  const Play *play = data;

  for (unsigned i = 0; i < play->count; i++)
    if (!play->answers[i].done && strstr (play->answers[i].body->str, "id: 2\n") == NULL)
      return false;
  return true;
}

static uint64_t
repeated_count (const Play *play)
{
  const FleetNode *entry = &play->fleet->entries[0];

  return fleet_counter (play->fleet, entry, "foxtail_resumes_total")
         + fleet_counter (play->fleet, entry, "foxtail_repeats_total");
}

static unsigned
checks_count (const Play *play)
{
  return (unsigned) fleet_counter (play->fleet, &play->fleet->entries[0],
                                   "foxtail_status_checks_total");
}

void
lostplay_start (Play *play, const Case *on)
{
  Fleet *fleet = fleet_new ();
  FleetServer *server = &fleet->servers[0];

  *play = (Play){ .fleet = fleet, .count = on->streams ? on->streams : LOSTPLAY_STREAMS };
  fleet->slots = on->slots ? on->slots : 2 * play->count;
  fleet->budget_slack = on->budget ? on->budget : BUDGET_SLACK;
  fleet->unchecked = on->unchecked;
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    fleet->servers[i].listed = i == 0;
  if (on->relayed)
    fleet_add_detours (fleet);
  else
    server->addr.port = SERVER_PORT;
  play->conf
      = (LostServerConf){ .addr = server->addr,
                          .id = server->id,
                          .mode = on->mode,
                          .reset_after_ms = on->reset_after_ms,
                          .processes = on->fault == FAULT_SIBLING ? 2 : 1,
                          .conns_max = on->fault == FAULT_SIBLING ? LOSTPLAY_CONNS_SIBLING : 0,
                          .memory = on->memory,
                          .check = on->check,
                          .check_ms = on->check_ms,
                          .answer_delay_ms = on->delay_ms };
  if (on->held)
    play->conf.listener = lostserver_listen (server->addr);
  lostserver_start (&play->conf, play->pids);
  fleet_start_all (fleet);
  if (on->relayed)
    fleet_relay_all (fleet, &fleet->entries[0]);
  play->relayed = fleet_relayed_count (fleet, &fleet->entries[0]);
  play->repeated = repeated_count (play);
}

void
lostplay_end (Play *play)
{
  for (unsigned i = 0; i < play->count; i++)
    fleet_answer_clear (&play->answers[i]);
  lostserver_kill (play->pids[0]);
  lostserver_kill (play->successor[0]);
  if (play->conf.listener)
    close (play->conf.listener);
  fleet_free (play->fleet);
}

void
lostplay_send_all (Play *play, const char *path)
{
  char id[16];

  for (unsigned i = 0; i < play->count; i++)
    {
      g_snprintf (id, sizeof id, "u%u", i);
      fleet_send (play->fleet, &play->fleet->entries[0], path, id, &play->answers[i]);
    }
}

static void
replace_server (Play *play, bool hung)
{
  FleetServer *server = &play->fleet->servers[0];

  lostserver_kill (play->pids[0]);
  play->pids[0] = 0;
  g_snprintf (server->id, sizeof server->id, "successor");
  play->conf.listens_only = hung;
  lostserver_start (&play->conf, play->successor);
}

/* One reset makes the entry check the process. The others come while it stands still, so that the
 * check and reports of resets are due in the same iteration of its loop. */
static void
give_up_at_check (Play *play)
{
  FleetNode *entry = &play->fleet->entries[0];

  kill (play->pids[0], LOSTSERVER_RESET_ONE);
  fleet_run_for (play->fleet, CHECK_STARTED);
  fleet_signal (entry, SIGSTOP);
  kill (play->pids[0], LOSTSERVER_GIVE_UP);
  fleet_run_for (play->fleet, STANDSTILL);
  fleet_signal (entry, SIGCONT);
}

static void
make_fault (Play *play, Fault fault)
{
  switch (fault)
    {
    case FAULT_SHUT:
      lostserver_kill (play->pids[0]);
      play->pids[0] = 0;
      break;
    case FAULT_SWAP:
    case FAULT_HUNG:
      replace_server (play, fault == FAULT_HUNG);
      break;
    case FAULT_SIBLING:
      kill (play->pids[1], SIGKILL); /* a child of the other one */
      break;
    case FAULT_GIVE_UP:
      kill (play->pids[0], LOSTSERVER_GIVE_UP);
      break;
    case FAULT_TERM:
      fleet_signal (&play->fleet->entries[0], SIGTERM);
      break;
    case FAULT_RELOAD:
      fleet_signal (&play->fleet->entries[0], SIGHUP);
      break;
    case FAULT_AT_CHECK:
      give_up_at_check (play);
      break;
    default:
      break;
    }
}

Result
lostplay_results (const Play *play)
{
  Result result = { .count = play->count };
  char *whole = lostserver_whole_answer ();

  for (unsigned i = 0; i < play->count; i++)
    {
      const Answer *answer = &play->answers[i];
      bool part = answer->status == 200 && answer->body->len > 0;
      result.parts += part;
      result.refused += answer->status != 200;
      result.broken += answer->broken;
      result.whole += !answer->broken && strcmp (answer->body->str, whole) == 0;
      result.early += part && !answer->broken && strcmp (answer->body->str, whole) != 0;
    }
  g_free (whole);
  return result;
}

static bool
is_plain (const Case *on)
{
  return strncmp (on->path, "/once", 5) == 0 || strncmp (on->path, "/plain", 6) == 0;
}

Result
lostplay_run (const Case *on)
{
  Play play;
  Result result;

  lostplay_start (&play, on);
  lostplay_send_all (&play, on->path);
  if (is_plain (on))
    fleet_run_for (play.fleet, FAULT_AFTER);
  else
    fleet_run_until (play.fleet, all_begun, &play, "events of all streams");
  make_fault (&play, on->fault);
  fleet_run_until (play.fleet, lostplay_all_done, &play, "ends of all answers");
  if (on->relayed)
    g_assert_cmpuint (fleet_relayed_count (play.fleet, &play.fleet->entries[0]), >=,
                      play.relayed + play.count);
  result = lostplay_results (&play);
  if (on->fault != FAULT_TERM)
    {
      result.repeated = (unsigned) (repeated_count (&play) - play.repeated);
      result.checks = checks_count (&play);
    }
  g_test_message ("%u answers: %u begun, %u whole, %u broken off, %u ended early, %u refused; "
                  "%u resumed or sent again, %u status checks",
                  result.count, result.parts, result.whole, result.broken, result.early,
                  result.refused, result.repeated, result.checks);
  lostplay_end (&play);
  return result;
}

/* Guards against an answer that ends as complete although its server's process was lost, or reset
 * it. */
Result
lostplay_none_early (const Case *on)
{
  Result result = lostplay_run (on);

  if (!is_plain (on))
    g_assert_cmpuint (result.parts, ==, result.count);
  g_assert_cmpuint (result.early, ==, 0);
  g_assert_cmpuint (result.whole + result.broken + result.refused, ==, result.count);
  /* What the fault took effect on: all answers, or those of one of two processes. */
  g_assert_cmpuint (result.broken + result.refused + result.repeated, >=,
                    on->fault == FAULT_SIBLING ? result.count - LOSTPLAY_CONNS_SIBLING
                                               : result.count);
  return result;
}

void
lostplay_none_ends_early (gconstpointer data)
{
  lostplay_none_early (data);
}

/* Guards against breaking off answers that are sound and all end at once, more than the retry
 * budget allows to ask for again, or that another process could complete. */
void
lostplay_all_are_whole (gconstpointer data)
{
  Result result = lostplay_run (data);

  g_assert_cmpuint (result.parts, ==, result.count);
  g_assert_cmpuint (result.whole, ==, result.count);
}

#define CASES_MAX 160

static Case cases[CASES_MAX];
static unsigned case_count;

void
lostplay_add_case (const char *name, const char *route, const char *target, const Case *on,
                   GTestDataFunc run)
{
  char *path = g_strdup_printf ("/%s/%s", name, route);

  g_assert_cmpuint (case_count, <, CASES_MAX);
  cases[case_count] = *on;
  cases[case_count].path = target;
  g_test_add_data_func (path, &cases[case_count++], run);
  g_free (path);
}

/* name: of the fault; routes: how many of the routes it is played on. */
void
lostplay_add_cases (const char *name, const Case *on, unsigned routes, GTestDataFunc run)
{
  static const char *const known[LOSTPLAY_ROUTES][2]
      = { { "single", "/single/a" }, /* a stream that cannot be resumed */
          { "resumable_one", "/again/a" },
          { "resumable_two", "/stream/a" }, /* with two attempts */
          { "once", "/once/a" },
          { "plain", "/plain/a" } };

  for (unsigned i = 0; i < routes; i++)
    lostplay_add_case (name, known[i][0], known[i][1], on, run);
}
