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
} Load;

#define RETURN_AFTER (100 * FT_MS)

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

/* Sends requests for the given time, then waits for all answers. */
static void
run_load (Fleet *fleet, int64_t us, Load *sum)
{
  Load load = { .fleet = fleet, .until = loop_now (fleet->loop) + us };

  fleet_run_until (fleet, is_over, &load, "all requests are answered");
  g_test_message ("%u sent, %u served, %u refused, %u broken off, %u falls so far", load.sent,
                  load.served, load.refused, load.broken_off, fall_count (fleet));
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    sum->most += fleet->servers[i].capacity * (unsigned) (us / (PLAIN_MS * FT_MS));
  sum->served += load.served;
  sum->broken_off += load.broken_off;
}

/* The servers run all listed slots for a while after their first notice. */
static Fleet *
new_brittle_fleet (void)
{
  Fleet *fleet = fleet_new ();

  fleet->slots = LISTED_SLOTS;
  fleet->plain_ms = PLAIN_MS;
  fleet->restart_ms = RESTART_MS;
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    {
      fleet->servers[i].capacity = LISTED_SLOTS;
      fleet->servers[i].brittleness = BRITTLENESS;
    }
  fleet_start_all (fleet);
  return fleet;
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
  Fleet *fleet = new_brittle_fleet ();
  Load sum = { 0 };

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
  Fleet *fleet = new_brittle_fleet ();
  Load sum = { 0 };

  lower_capacity (fleet);
  run_load (fleet, 10 * FT_SECOND, &sum);
  check (fleet, &sum);
  fleet_free (fleet);
}

/* Guards against a successor that overfills them, since it knows neither their room nor what they
 * run. */
static void
leader_killed (void)
{
  Fleet *fleet = new_brittle_fleet ();
  Load sum = { 0 };

  run_load (fleet, 3 * FT_SECOND, &sum);
  lower_capacity (fleet);
  run_load (fleet, 4 * FT_SECOND, &sum);
  fleet_kill (fleet_leader (fleet));
  run_load (fleet, 8 * FT_SECOND, &sum);
  check (fleet, &sum);
  fleet_free (fleet);
}

/* Guards against entries that each overfill them when no voter is left. */
static void
entries_alone (void)
{
  Fleet *fleet = new_brittle_fleet ();
  Load sum = { 0 };

  run_load (fleet, 3 * FT_SECOND, &sum);
  lower_capacity (fleet);
  run_load (fleet, 3 * FT_SECOND, &sum);
  for (unsigned i = 0; i < FLEET_VOTERS; i++)
    fleet_kill (&fleet->voters[i]);
  run_load (fleet, 8 * FT_SECOND, &sum);
  check (fleet, &sum);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/brittle/full_load", full_load);
  g_test_add_func ("/brittle/small_from_start", small_from_the_start);
  g_test_add_func ("/brittle/leader_killed", leader_killed);
  g_test_add_func ("/brittle/entries_alone", entries_alone);
  return g_test_run ();
}
