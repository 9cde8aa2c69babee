/* notices.c - tests, with real processes on loopback, of the notices in servers' answers: a rate
 * limit, a back-off, and that the server leaves. */
#include "fleet.h"

#include <stdio.h>
#include <string.h>

#define CALLER_COUNT 12
#define RATE_GRACE   (3 * FT_SECOND) /* after its first notice a rate need not be kept yet */
#define DRAIN_GRACE  (3 * FT_SECOND) /* after its notice a leaving server may get requests */

/* Callers that each send one request after another, to the entries in turn. */
typedef struct
{
  Fleet *fleet;
  const char *path;
  Answer answers[CALLER_COUNT];
  char ids[CALLER_COUNT][24];
  bool open[CALLER_COUNT];
  unsigned entries; /* how many of the first entries get requests */
  unsigned sent, served, refused;
  int64_t until;
} Load;

static void
take_answer (Load *load, unsigned i)
{
  Answer *answer = &load->answers[i];
  unsigned ran = fleet_run_count (load->fleet, load->ids[i]);

  if (!answer->broken && answer->status == 200)
    load->served++;
  else if (!answer->broken && answer->status == 503 && answer->retry_after && ran == 0)
    load->refused++;
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

  g_snprintf (load->ids[i], sizeof load->ids[i], "n%" G_GUINT64_FORMAT, ++fleet->next_id);
  fleet_send (fleet, &fleet->entries[load->sent++ % load->entries], load->path, load->ids[i],
              &load->answers[i]);
  load->open[i] = true;
}

static bool
is_over (void *data)
{
  Load *load = data;
  bool more = loop_now (load->fleet->loop) < load->until;
  unsigned open = 0;

  for (unsigned i = 0; i < CALLER_COUNT; i++)
    {
      if (load->open[i] && load->answers[i].done)
        take_answer (load, i);
      if (!load->open[i] && more)
        send_next (load, i);
      open += load->open[i];
    }
  return !more && open == 0;
}

/* Sends requests for the given time, then waits for all answers. */
static Load
run_load (Fleet *fleet, const char *path, unsigned entries, int64_t us)
{
  Load load
      = { .fleet = fleet, .path = path, .entries = entries, .until = loop_now (fleet->loop) + us };

  fleet_run_until (fleet, is_over, &load, "all requests are answered");
  g_test_message ("%u sent, %u served, %u refused", load.sent, load.served, load.refused);
  return load;
}

static void
check_rate (Fleet *fleet)
{
  Rules rules = { .arrivals = fleet->arrivals, .settle_us = RATE_GRACE };
  unsigned over = rules_over_rate (&rules);

  if (over > 0)
    g_error ("%u requests over an announced rate (logs in %s)", over, fleet->base);
}

/* A server that announces one request per second gets no more from three entries together. */
static void
rate_of_one (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  fleet->plain_ms = 20;
  fleet->servers[0].rate = 1;
  Load load = run_load (fleet, "/plain/a", FLEET_ENTRIES, 9 * FT_SECOND);
  check_rate (fleet);
  g_assert_cmpuint (load.refused, ==, 0);
  g_assert_cmpuint (fleet->servers[0].arrived, >, 0);
  fleet_free (fleet);
}

/* The rates are kept when the voter in charge is killed, and when no voter is left. */
static void
rate_without_voters (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  fleet->plain_ms = 20;
  fleet->servers[0].rate = 2;
  fleet->servers[1].rate = 0.5;
  run_load (fleet, "/plain/a", FLEET_ENTRIES, 4 * FT_SECOND);
  fleet_kill (fleet_leader (fleet));
  run_load (fleet, "/plain/a", FLEET_ENTRIES, 4 * FT_SECOND);
  for (unsigned i = 0; i < FLEET_VOTERS; i++)
    fleet_kill (&fleet->voters[i]);
  run_load (fleet, "/stream/a", FLEET_ENTRIES, 5 * FT_SECOND);
  check_rate (fleet);
  fleet_free (fleet);
}

/* All servers announce less than callers send, requests that may run once. No request that ran is
 * refused, and each refusal has a Retry-After. */
static void
all_servers_limited (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  fleet->plain_ms = 20;
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    fleet->servers[i].rate = 2;
  Load load = run_load (fleet, "/once/a", FLEET_ENTRIES, 8 * FT_SECOND);
  check_rate (fleet);
  g_assert_cmpuint (load.served, >=, 30);
  fleet_free (fleet);
}

/* The rate that a server announced does not bind its next incarnation after a restart. */
static void
restarted_server (void)
{
  Fleet *fleet = fleet_new ();
  FleetServer *server = &fleet->servers[0];

  fleet_start_all (fleet);
  fleet->plain_ms = 20;
  server->rate = 0.1;
  fleet->servers[2].listed = fleet->servers[3].listed
      = false; /* so that servers 0 and 1 are both needed */
  run_load (fleet, "/plain/a", FLEET_ENTRIES, 2 * FT_SECOND);
  server->rate = 0;
  fleet_crash_server (server);
  run_load (fleet, "/plain/a", FLEET_ENTRIES, 2 * FT_SECOND);
  unsigned before = server->arrived;
  run_load (fleet, "/plain/a", FLEET_ENTRIES, 2 * FT_SECOND);
  g_assert_cmpuint (server->arrived, >, before + 20);
  fleet_free (fleet);
}

static void
check_backoff (Fleet *fleet)
{
  Rules rules = { .arrivals = fleet->arrivals };
  unsigned over = rules_in_backoff (&rules);

  if (over > 0)
    g_error ("%u requests more than two in a server's back-off (logs in %s)", over, fleet->base);
}

static void
check_leaving (Fleet *fleet)
{
  Rules rules = { .arrivals = fleet->arrivals, .drain_us = DRAIN_GRACE };
  unsigned late = rules_after_leaving (&rules);

  if (late > 0)
    g_error ("%u requests too late after a server's notice that it leaves (logs in %s)", late,
             fleet->base);
}

/* A server refuses requests with a Retry-After. It gets none in that time; the others serve. */
static void
backoff_respected (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  fleet->plain_ms = 20;
  fleet->servers[0].mode = SERVER_FULL;
  fleet->servers[0].backoff_s = 30;
  fleet->servers[3].listed = false; /* so that places are scarce */
  Load load = run_load (fleet, "/plain/a", FLEET_ENTRIES, 3 * FT_SECOND);
  check_backoff (fleet);
  g_assert_cmpuint (load.refused, ==, 0);
  fleet_free (fleet);
}

/* A server's answers say that it leaves, although the list still shows it as ready. */
static void
leaving_respected (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  fleet->plain_ms = 20;
  run_load (fleet, "/plain/a", FLEET_ENTRIES, 1 * FT_SECOND);
  fleet->servers[0].announces_leaving = true;
  run_load (fleet, "/plain/a", FLEET_ENTRIES, 5 * FT_SECOND);
  check_leaving (fleet);
  fleet_free (fleet);
}

static unsigned
notice_count (Fleet *fleet, const FleetNode *entry)
{
  Answer answer;
  unsigned count = G_MAXUINT;

  fleet_get_metrics (fleet, entry, &answer);
  const char *at = strstr (answer.body->str, "\nfoxtail_server_notices_total ");
  if (at)
    sscanf (at, "\nfoxtail_server_notices_total %u", &count);
  fleet_answer_clear (&answer);
  return count;
}

/* Another server answers at the address and says that it leaves. The notice must not count for the
 * server that the request was addressed to. */
static void
notice_of_another_server (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  fleet->plain_ms = 20;
  fleet->servers[0].mode = SERVER_REPLACED;
  fleet->servers[0].announces_leaving = true;
  run_load (fleet, "/plain/a", FLEET_ENTRIES, FT_SECOND);
  g_assert_cmpuint (fleet->servers[0].arrived, >, 0);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    g_assert_cmpuint (notice_count (fleet, &fleet->entries[i]), ==, 0);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/notices/rate_of_one", rate_of_one);
  g_test_add_func ("/notices/rate_without_voters", rate_without_voters);
  g_test_add_func ("/notices/all_servers_limited", all_servers_limited);
  g_test_add_func ("/notices/next_lifetime", restarted_server);
  g_test_add_func ("/notices/backoff", backoff_respected);
  g_test_add_func ("/notices/leaving", leaving_respected);
  g_test_add_func ("/notices/other_server", notice_of_another_server);
  return g_test_run ();
}
