/* notices.c - what servers say of themselves in their answers, before real processes on loopback:
 * a rate that they take, a time in which they want nothing, that they leave. */
#include "fleet.h"

#include <stdio.h>
#include <string.h>

#define CALLERS 12
#define SETTLE  (3 * FT_SECOND) /* a rate binds so long after it was first named */
#define DRAIN   (3 * FT_SECOND) /* and that a server leaves, so long after it said so */

/* Callers that send on and on, each one request at a time, to the entries in turn. */
typedef struct
{
  Fleet *fleet;
  const char *path;
  Answer answers[CALLERS];
  char ids[CALLERS][24];
  bool open[CALLERS];
  unsigned entries; /* how many of them get requests */
  unsigned sent, served, refused;
  int64_t until;
} Load;

static void
take_answer (Load *load, unsigned i)
{
  Answer *answer = &load->answers[i];
  unsigned ran = fleet_runs (load->fleet, load->ids[i]);

  if (!answer->broken && answer->status == 200)
    load->served++;
  else if (!answer->broken && answer->status == 503 && answer->advice && ran == 0)
    load->refused++;
  else
    g_error ("%s: status %u, broken %d, advice %d, ran %u (logs in %s)", load->ids[i],
             answer->status, answer->broken, answer->advice, ran, load->fleet->base);
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

  for (unsigned i = 0; i < CALLERS; i++)
    {
      if (load->open[i] && load->answers[i].done)
        take_answer (load, i);
      if (!load->open[i] && more)
        send_next (load, i);
      open += load->open[i];
    }
  return !more && open == 0;
}

/* Sends for so long, and waits for the answers. */
static Load
load_for (Fleet *fleet, const char *path, unsigned entries, int64_t us)
{
  Load load
      = { .fleet = fleet, .path = path, .entries = entries, .until = loop_now (fleet->loop) + us };

  fleet_until (fleet, is_over, &load, "all requests are answered");
  g_test_message ("%u sent, %u served, %u refused", load.sent, load.served, load.refused);
  return load;
}

static void
check_rate (Fleet *fleet)
{
  Rules rules = { .arrivals = fleet->arrivals, .settle_us = SETTLE };
  unsigned over = rules_over_rate (&rules);

  if (over > 0)
    g_error ("%u requests over a named rate (logs in %s)", over, fleet->base);
}

/* A server that takes one request a second from all instances together gets no more from three. */
static void
rate_of_one (void)
{
  Fleet *fleet = fleet_new ();

  fleet_begin (fleet);
  fleet->plain_ms = 20;
  fleet->servers[0].rate = 1;
  Load load = load_for (fleet, "/plain/a", FLEET_ENTRIES, 9 * FT_SECOND);
  check_rate (fleet);
  g_assert_cmpuint (load.refused, ==, 0);
  g_assert_cmpuint (fleet->servers[0].arrived, >, 0);
  fleet_free (fleet);
}

/* The rate is held while the voter in charge is lost, and when no voter is left. */
static void
rate_without_voters (void)
{
  Fleet *fleet = fleet_new ();

  fleet_begin (fleet);
  fleet->plain_ms = 20;
  fleet->servers[0].rate = 2;
  fleet->servers[1].rate = 0.5;
  load_for (fleet, "/plain/a", FLEET_ENTRIES, 4 * FT_SECOND);
  fleet_kill (fleet_leader (fleet));
  load_for (fleet, "/plain/a", FLEET_ENTRIES, 4 * FT_SECOND);
  for (unsigned i = 0; i < FLEET_VOTERS; i++)
    fleet_kill (&fleet->voters[i]);
  load_for (fleet, "/stream/a", FLEET_ENTRIES, 5 * FT_SECOND);
  check_rate (fleet);
  fleet_free (fleet);
}

/* Requests that may run once, to servers that all take less than is asked for: no refusal of one
 * that ran, and each says when to come back. */
static void
all_servers_limited (void)
{
  Fleet *fleet = fleet_new ();

  fleet_begin (fleet);
  fleet->plain_ms = 20;
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    fleet->servers[i].rate = 2;
  Load load = load_for (fleet, "/once/a", FLEET_ENTRIES, 8 * FT_SECOND);
  check_rate (fleet);
  g_assert_cmpuint (load.served, >=, 30);
  fleet_free (fleet);
}

/* A server that comes back as another lifetime owes nothing of the rate that the one before named.
 */
static void
next_lifetime (void)
{
  Fleet *fleet = fleet_new ();
  FleetServer *server = &fleet->servers[0];

  fleet_begin (fleet);
  fleet->plain_ms = 20;
  server->rate = 0.1;
  fleet->servers[2].listed = fleet->servers[3].listed = false; /* so that both others are needed */
  load_for (fleet, "/plain/a", FLEET_ENTRIES, 2 * FT_SECOND);
  server->rate = 0;
  fleet_end_server (server);
  load_for (fleet, "/plain/a", FLEET_ENTRIES, 2 * FT_SECOND);
  unsigned before = server->arrived;
  load_for (fleet, "/plain/a", FLEET_ENTRIES, 2 * FT_SECOND);
  g_assert_cmpuint (server->arrived, >, before + 20);
  fleet_free (fleet);
}

static void
check_backoff (Fleet *fleet)
{
  Rules rules = { .arrivals = fleet->arrivals };
  unsigned over = rules_in_backoff (&rules);

  if (over > 0)
    g_error ("%u requests over two in a server's backoff (logs in %s)", over, fleet->base);
}

static void
check_leaving (Fleet *fleet)
{
  Rules rules = { .arrivals = fleet->arrivals, .drain_us = DRAIN };
  unsigned late = rules_after_leaving (&rules);

  if (late > 0)
    g_error ("%u requests after a server said that it leaves (logs in %s)", late, fleet->base);
}

/* A server turns entries away and wants nothing of them for a while; the others serve meanwhile. */
static void
backoff (void)
{
  Fleet *fleet = fleet_new ();

  fleet_begin (fleet);
  fleet->plain_ms = 20;
  fleet->servers[0].mode = SERVER_FULL;
  fleet->servers[0].backoff_s = 30;
  fleet->servers[3].listed = false; /* so that places are short */
  Load load = load_for (fleet, "/plain/a", FLEET_ENTRIES, 3 * FT_SECOND);
  check_backoff (fleet);
  g_assert_cmpuint (load.refused, ==, 0);
  fleet_free (fleet);
}

/* A server says in its answers that it leaves, and the list still calls it ready. */
static void
leaving (void)
{
  Fleet *fleet = fleet_new ();

  fleet_begin (fleet);
  fleet->plain_ms = 20;
  load_for (fleet, "/plain/a", FLEET_ENTRIES, 1 * FT_SECOND);
  fleet->servers[0].says_leaving = true;
  load_for (fleet, "/plain/a", FLEET_ENTRIES, 5 * FT_SECOND);
  check_leaving (fleet);
  fleet_free (fleet);
}

static unsigned
notices_of (Fleet *fleet, const FleetNode *entry)
{
  Answer answer;
  unsigned count = G_MAXUINT;

  fleet_metrics (fleet, entry, &answer);
  const char *at = strstr (answer.body->str, "\nfoxtail_server_notices_total ");
  if (at)
    sscanf (at, "\nfoxtail_server_notices_total %u", &count);
  fleet_answer_clear (&answer);
  return count;
}

/* Another server has the address and says that it leaves: nothing is held against the one meant. */
static void
word_of_another_server (void)
{
  Fleet *fleet = fleet_new ();

  fleet_begin (fleet);
  fleet->plain_ms = 20;
  fleet->servers[0].mode = SERVER_GONE;
  fleet->servers[0].says_leaving = true;
  load_for (fleet, "/plain/a", FLEET_ENTRIES, FT_SECOND);
  g_assert_cmpuint (fleet->servers[0].arrived, >, 0);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    g_assert_cmpuint (notices_of (fleet, &fleet->entries[i]), ==, 0);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/notices/rate_of_one", rate_of_one);
  g_test_add_func ("/notices/rate_without_voters", rate_without_voters);
  g_test_add_func ("/notices/all_servers_limited", all_servers_limited);
  g_test_add_func ("/notices/next_lifetime", next_lifetime);
  g_test_add_func ("/notices/backoff", backoff);
  g_test_add_func ("/notices/leaving", leaving);
  g_test_add_func ("/notices/other_server", word_of_another_server);
  return g_test_run ();
}
