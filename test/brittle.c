/* brittle.c - tests, with real processes on loopback, of servers that crash when they have rejected
 * too many requests in a second. */
#include "fleet.h"

#include <string.h>

#define CALLER_COUNT 36
#define BRITTLENESS  4 /* rejections a second that a server bears */
#define LISTED_SLOTS 6
#define CAPACITY     4   /* what a server really runs at once */
#define PLAIN_MS     100 /* how long a request takes */
#define RESTART_MS   2000

/* Callers that each send one request after another, to the entries in turn. */
typedef struct
{
  Fleet *fleet;
  Answer answers[CALLER_COUNT];
  char ids[CALLER_COUNT][24];
  bool open[CALLER_COUNT];
  int64_t send_at[CALLER_COUNT]; /* a refused caller comes back a little later */
  unsigned sent, served, refused, broken_off;
  unsigned most; /* requests that the servers could have run */
  int64_t until;
  /* a fault under load, at strike_at; NULL: none, or it has happened */
  void (*strike) (Fleet *fleet, FleetNode *leader);
  int64_t strike_at;
  FleetNode *leader; /* the voter in charge until then */
} Load;

#define RETURN_AFTER (100 * FT_MS)
#define STRIKE_AFTER (3 * FT_SECOND)

static unsigned
fall_count (const Fleet *fleet)
{
  unsigned count = 0;

  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    count += fleet->servers[i].falls;
  return count;
}

/* An answer is complete, or a refusal that is true. The requests that were sent to a server when it
 * crashed fail, since they may have run. */
static void
take_answer (Load *load, unsigned i)
{
  Answer *answer = &load->answers[i];
  unsigned ran = fleet_run_count (load->fleet, load->ids[i]);

  if (!answer->broken && answer->status == 200)
    load->served++;
  else if (!answer->broken && answer->status == 503 && answer->retry_after && ran == 0)
    {
      load->refused++;
      load->send_at[i] = loop_now (load->fleet->loop) + RETURN_AFTER;
    }
  else if (!answer->broken && (answer->status == 502 || answer->status == 504))
    load->broken_off++;
  else
    g_error ("%s: status %u, broken %d, advice %d, ran %u (logs in %s)", load->ids[i],
             answer->status, answer->broken, answer->retry_after, ran, load->fleet->base);
  fleet_answer_clear (answer);
  load->open[i] = false;
}

static void
send_next (Load *load, unsigned i)
{
  Fleet *fleet = load->fleet;

  g_snprintf (load->ids[i], sizeof load->ids[i], "b%" G_GUINT64_FORMAT, ++fleet->next_id);
  fleet_send (fleet, &fleet->entries[load->sent++ % FLEET_ENTRIES], "/once/a", load->ids[i],
              &load->answers[i]);
  load->open[i] = true;
}

static bool
is_over (void *data)
{
  Load *load = data;
  int64_t now = loop_now (load->fleet->loop);
  unsigned open = 0;

  if (load->strike && now >= load->strike_at)
    {
      load->strike (load->fleet, load->leader);
      load->strike = NULL;
    }
  for (unsigned i = 0; i < CALLER_COUNT; i++)
    {
      if (load->open[i] && load->answers[i].done)
        take_answer (load, i);
      if (!load->open[i] && now < load->until && now >= load->send_at[i])
        send_next (load, i);
      open += load->open[i];
    }
  return now >= load->until && open == 0;
}

/* Sends requests for the given time, then waits for all answers. strike: a fault after
 * STRIKE_AFTER; NULL: none. */
static void
run_load_with (Fleet *fleet, int64_t us, void (*strike) (Fleet *fleet, FleetNode *leader),
               Load *sum)
{
  FleetNode *leader = strike ? fleet_leader (fleet) : NULL;
  int64_t now = loop_now (fleet->loop);
  Load load = { .fleet = fleet,
                .until = now + us,
                .strike = strike,
                .strike_at = now + STRIKE_AFTER,
                .leader = leader };

  fleet_run_until (fleet, is_over, &load, "all requests are answered");
  g_test_message ("%u sent, %u served, %u refused, %u broken off, %u falls so far", load.sent,
                  load.served, load.refused, load.broken_off, fall_count (fleet));
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    sum->most += fleet->servers[i].capacity * (unsigned) (us / (PLAIN_MS * FT_MS));
  sum->served += load.served;
  sum->broken_off += load.broken_off;
}

static void
run_load (Fleet *fleet, int64_t us, Load *sum)
{
  run_load_with (fleet, us, NULL, sum);
}

/* The servers run all listed slots for a while after their first notice. */
static void
start_brittle_fleet (Fleet *fleet, unsigned brittleness)
{
  fleet->slots = LISTED_SLOTS;
  fleet->plain_ms = PLAIN_MS;
  fleet->restart_ms = RESTART_MS;
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    {
      fleet->servers[i].capacity = LISTED_SLOTS;
      fleet->servers[i].brittleness = brittleness;
    }
  fleet_start_all (fleet);
}

static void
lower_capacity (Fleet *fleet)
{
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    fleet->servers[i].capacity = CAPACITY;
}

/* The users' rule: at most 2 falls and one for each ten servers. At least half of the servers'
 * places are used, so that falls are not avoided by sending nothing. */
static void
check (const Fleet *fleet, const Load *sum)
{
  unsigned falls = fall_count (fleet);

  if (falls > 2 + FLEET_SERVERS / 10)
    g_error ("%u falls (logs in %s)", falls, fleet->base);
  g_assert_cmpuint (sum->served * 2, >=, sum->most);
}

/* Guards against overfilling brittle servers that run fewer requests than listed. */
static void
full_load (void)
{
  Fleet *fleet = fleet_new ();
  Load sum = { 0 };

  start_brittle_fleet (fleet, BRITTLENESS);
  run_load (fleet, 3 * FT_SECOND, &sum);
  lower_capacity (fleet);
  run_load (fleet, 10 * FT_SECOND, &sum);
  check (fleet, &sum);
  fleet_free (fleet);
}

/* Guards against overfilling them from the start, before any answer has announced it. */
static void
small_from_the_start (void)
{
  Fleet *fleet = fleet_new ();
  Load sum = { 0 };

  start_brittle_fleet (fleet, BRITTLENESS);
  lower_capacity (fleet);
  run_load (fleet, 10 * FT_SECOND, &sum);
  check (fleet, &sum);
  fleet_free (fleet);
}

/* Full load on servers whose room gets smaller, and a fault in the middle. */
static void
run_with_strike (Fleet *fleet, unsigned brittleness,
                 void (*strike) (Fleet *fleet, FleetNode *leader))
{
  Load sum = { 0 };

  start_brittle_fleet (fleet, brittleness);
  run_load (fleet, 3 * FT_SECOND, &sum);
  lower_capacity (fleet);
  run_load_with (fleet, 11 * FT_SECOND, strike, &sum);
  check (fleet, &sum);
  fleet_free (fleet);
}

static void
kill_leader (Fleet *fleet, FleetNode *leader)
{
  (void) fleet;
  g_assert_nonnull (leader);
  fleet_kill (leader);
}

/* Guards against a successor that overfills them, since it knows neither their room nor what they
 * run. */
static void
leader_killed (void)
{
  run_with_strike (fleet_new (), BRITTLENESS, kill_leader);
}

static void
kill_voters (Fleet *fleet, FleetNode *leader)
{
  (void) leader;
  for (unsigned i = 0; i < FLEET_VOTERS; i++)
    fleet_kill (&fleet->voters[i]);
}

/* Guards against a deputy that overfills them when no voter is left. */
static void
no_voter_left (void)
{
  run_with_strike (fleet_new (), BRITTLENESS, kill_voters);
}

static void
cut_links (Fleet *fleet, FleetNode *leader)
{
  (void) leader;
  for (unsigned i = 0; i < FLEET_VOTERS; i++)
    proxy_set_mode (fleet->voters[i].proxy, PROXY_REFUSE);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    proxy_set_mode (fleet->entries[i].proxy, PROXY_REFUSE);
}

/* Guards against entries that overfill them together when each schedules alone. */
static void
entries_alone (void)
{
  Fleet *fleet = fleet_new ();

  fleet_add_proxies (fleet);
  run_with_strike (fleet, BRITTLENESS, cut_links);
}

/* Guards against more grants before the first rejection is known, over links that take 15 ms each
 * way. */
static void
late_reports (void)
{
  Fleet *fleet = fleet_new ();
  Load sum = { 0 };

  fleet_add_proxies (fleet);
  start_brittle_fleet (fleet, BRITTLENESS);
  for (unsigned i = 0; i < FLEET_VOTERS; i++)
    proxy_set_mode (fleet->voters[i].proxy, PROXY_DELAY);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    proxy_set_mode (fleet->entries[i].proxy, PROXY_DELAY);
  run_load (fleet, 3 * FT_SECOND, &sum);
  lower_capacity (fleet);
  run_load (fleet, 10 * FT_SECOND, &sum);
  check (fleet, &sum);
  fleet_free (fleet);
}

static void
crash_two (Fleet *fleet, FleetNode *leader)
{
  (void) leader;
  fleet_crash_server (&fleet->servers[0]);
  fleet_crash_server (&fleet->servers[1]);
}

/* Guards against sending too much to a server that has just restarted, or to its neighbours while
 * it is gone. */
static void
crashed_servers (void)
{
  run_with_strike (fleet_new (), BRITTLENESS, crash_two);
}

/* Guards against a second rejection within a second by servers that bear only one. */
static void
one_rejection_a_second (void)
{
  run_with_strike (fleet_new (), 1, NULL);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/brittle/full_load", full_load);
  g_test_add_func ("/brittle/small_from_start", small_from_the_start);
  g_test_add_func ("/brittle/leader_killed", leader_killed);
  g_test_add_func ("/brittle/no_voter_left", no_voter_left);
  g_test_add_func ("/brittle/entries_alone", entries_alone);
  g_test_add_func ("/brittle/late_reports", late_reports);
  g_test_add_func ("/brittle/crashed_servers", crashed_servers);
  g_test_add_func ("/brittle/one_rejection", one_rejection_a_second);
  return g_test_run ();
}
