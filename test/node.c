/* node.c - tests of real processes on loopback: start, failures, shutdown and answers. Each test
 * waits for an event and asserts nothing about how long it takes. */
#include "fleet.h"

#include <signal.h>
#include <string.h>

static void
call_ok (Fleet *fleet, const FleetNode *entry, const char *path, const char *id)
{
  Answer answer;

  fleet_call (fleet, entry, path, id, &answer);
  if (answer.status != 200 || answer.broken || !answer.has_signature)
    g_error ("%s %s: status %u, broken %d, \"%s\" (logs in %s)", path, id, answer.status,
             answer.broken, answer.body->str, fleet->base);
  fleet_answer_clear (&answer);
}

static unsigned
call_status (Fleet *fleet, const char *path, const char *id)
{
  Answer answer;

  fleet_call (fleet, &fleet->entries[0], path, id, &answer);
  unsigned status = answer.broken ? 0 : answer.status;
  fleet_answer_clear (&answer);
  return status;
}

static void
serves (void)
{
  Fleet *fleet = fleet_new ();
  Answer answer;

  fleet_start_all (fleet);
  call_ok (fleet, &fleet->entries[0], "/plain/a", "p1");
  call_ok (fleet, &fleet->entries[1], "/once/a", "o1");
  g_assert_cmpuint (fleet_run_count (fleet, "o1"), ==, 1);
  fleet_call (fleet, &fleet->entries[0], "/stream/a", "s1", &answer);
  g_assert_nonnull (strstr (answer.body->str, "id: 1\ndata: event 1\n\nid: 2\n"));
  g_assert_true (g_str_has_suffix (answer.body->str, "id: 8\ndata: event 8\n\n"));
  fleet_answer_clear (&answer);
  g_assert_cmpuint (call_status (fleet, "/other/", "x"), ==, 404);
  g_assert_cmpuint (fleet_get_version (fleet), ==, fleet->version);
  fleet_free (fleet);
}

/* Guards against a request that runs twice, or is reported as not run although it ran. Servers read
 * the request and reset the connection. A request that may run once runs once and gets 502; one
 * that may be repeated is tried at another server, as often as its route allows. */
static void
reset_after_reading (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    fleet->servers[i].mode = SERVER_RESET;
  g_assert_cmpuint (call_status (fleet, "/once/a", "o1"), ==, 502);
  g_assert_cmpuint (fleet_run_count (fleet, "o1"), ==, 1);
  g_assert_cmpuint (call_status (fleet, "/plain/a", "p1"), ==, 502);
  g_assert_cmpuint (fleet_run_count (fleet, "p1"), ==, 2); /* the route's MaxAttempts */
  fleet_free (fleet);
}

/* All servers are full and say so: the request runs nowhere and gets 503. */
static void
refused_everywhere (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    fleet->servers[i].mode = SERVER_FULL;
  g_assert_cmpuint (call_status (fleet, "/once/a", "o1"), ==, 503);
  g_assert_cmpuint (fleet_run_count (fleet, "o1"), ==, 0);
  fleet_free (fleet);
}

/* All servers but one were replaced: other servers answer at their addresses, and the list still
 * shows the old ones. Guards against refusing requests that may run once because a replaced server
 * was asked, which cannot have run them. The remaining server runs each of them once. */
static void
servers_gone (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  for (unsigned i = 1; i < FLEET_SERVERS; i++)
    fleet->servers[i].mode = SERVER_REPLACED;
  for (unsigned i = 0; i < 6; i++)
    {
      char id[8];
      g_snprintf (id, sizeof id, "g%u", i);
      g_assert_cmpuint (call_status (fleet, "/once/a", id), ==, 200);
      g_assert_cmpuint (fleet_run_count (fleet, id), ==, 1);
    }
  fleet_free (fleet);
}

static void
set_all_modes (Fleet *fleet, ServerMode mode)
{
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    fleet->servers[i].mode = mode;
}

/* A server breaks a stream off in the middle of its third event. Another server resumes it after
 * the second event: the caller gets no partial event and none twice. */
static void
stream_resumed_elsewhere (void)
{
  Fleet *fleet = fleet_new ();
  GString *whole = g_string_new (NULL);
  Answer answer;

  fleet_start_all (fleet);
  for (unsigned i = 1; i <= 8; i++)
    g_string_append_printf (whole, "id: %u\ndata: event %u\n\n", i, i);
  set_all_modes (fleet, SERVER_CUT_STREAM);
  fleet_call (fleet, &fleet->entries[0], "/stream/a", "s0", &answer);
  g_assert_true (answer.broken); /* cut at both servers: must not look complete */
  fleet_answer_clear (&answer);
  for (unsigned i = 1; i < FLEET_SERVERS; i++)
    fleet->servers[i].mode = SERVER_HEALTHY;
  for (unsigned i = 0; i < 8; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "r%u", i);
      fleet_call (fleet, &fleet->entries[0], "/stream/a", id, &answer);
      g_assert_false (answer.broken);
      g_assert_cmpstr (answer.body->str, ==, whole->str);
      fleet_answer_clear (&answer);
    }
  g_string_free (whole, TRUE);
  fleet_free (fleet);
}

/* The voter in charge is killed. A deputy schedules requests at once, the next voter in charge
 * accepts a catalogue, and the old one reports that version after its restart. */
static void
leader_killed (void)
{
  Fleet *fleet = fleet_new ();
  char id[16];

  fleet_start_all (fleet);
  FleetNode *leader = fleet_leader (fleet);
  g_assert_nonnull (leader);
  fleet_kill (leader);
  for (unsigned i = 0; i < 40; i++)
    {
      g_snprintf (id, sizeof id, "k%u", i);
      call_ok (fleet, &fleet->entries[i % 2], "/once/a", id);
      g_assert_cmpuint (fleet_run_count (fleet, id), ==, 1);
    }
  fleet_put_catalogue (fleet);
  fleet_start (fleet, leader, false);
  g_assert_cmpuint (fleet_get_version (fleet), ==, fleet->version);
  fleet_free (fleet);
}

/* All voters are killed: requests are still served. */
static void
no_voter_left (void)
{
  Fleet *fleet = fleet_new ();
  char id[16];

  fleet_start_all (fleet);
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < 40; i++)
    {
      g_snprintf (id, sizeof id, "n%u", i);
      call_ok (fleet, &fleet->entries[i % 2], "/once/a", id);
    }
  fleet_free (fleet);
}

typedef struct
{
  Fleet *fleet;
  unsigned wanted;
  FleetNode *node;
} VoterCount;

/* Whether the newest number of voters that the node has logged is the wanted one. */
static bool
has_voters (void *data)
{
  VoterCount *count = data;
  char *log = fleet_read_log (count->node), *at = g_strrstr (log, "\"voters\":");
  bool reached = at && (unsigned) atoi (at + strlen ("\"voters\":")) == count->wanted;

  g_free (log);
  return reached;
}

static void
wait_for_voters (Fleet *fleet, unsigned wanted)
{
  VoterCount count = { fleet, wanted, fleet_leader (fleet) };

  while (count.node == NULL)
    {
      fleet_run_for (fleet, 50 * FT_MS);
      count.node = fleet_leader (fleet);
    }
  fleet_run_until (fleet, has_voters, &count, "the number of voters in the log");
}

/* A voter is lost for good and an empty one joins at another address. Then a second voter is lost.
 * The accepted catalogue is kept and another one is accepted, because the new voter has replaced
 * the first. */
static void
voter_replaced (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  fleet_put_catalogue (fleet);
  fleet_kill (&fleet->voters[0]);
  fleet_start (fleet, &fleet->voters[3], false);
  wait_for_voters (fleet, 4); /* the new one is added first ... */
  wait_for_voters (fleet, 3); /* ... then the lost one is removed */
  fleet_kill (&fleet->voters[1]);
  g_assert_cmpuint (fleet_get_version (fleet), ==, fleet->version);
  fleet_put_catalogue (fleet);
  g_assert_cmpuint (fleet_get_version (fleet), ==, fleet->version);
  fleet_free (fleet);
}

/* A voter restarts with an empty disk. It must not vote as if it still had its log: it catches up
 * first and counts as a voter again, so that another voter may be lost then. */
static void
voter_disk_lost (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  fleet_put_catalogue (fleet);
  fleet_kill (&fleet->voters[2]);
  fleet_wipe_data (&fleet->voters[2]);
  fleet_start (fleet, &fleet->voters[2], false);
  wait_for_voters (fleet, 3);
  fleet_run_for (fleet, 1500 * FT_MS);
  wait_for_voters (fleet, 3);
  fleet_kill (&fleet->voters[0]);
  fleet_put_catalogue (fleet);
  g_assert_cmpuint (fleet_get_version (fleet), ==, fleet->version);
  fleet_free (fleet);
}

/* All processes are killed and started again. The accepted catalogue is kept, and requests that
 * arrive at an entry before the catalogue wait for it instead of being refused. */
static void
all_restarted (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  for (unsigned i = 0; i < 3; i++)
    fleet_put_catalogue (fleet);
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    fleet_kill (&fleet->entries[i]);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    fleet_start (fleet, &fleet->entries[i], false);
  for (unsigned i = 0; i < 3; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  g_assert_cmpuint (fleet_get_version (fleet), ==, fleet->version);
  call_ok (fleet, &fleet->entries[0], "/plain/a", "a1");
  fleet_free (fleet);
}

/* Whether each voter has saved the address of each entry. */
static bool
have_saved_entries (void *data)
{
  Fleet *fleet = data;
  unsigned found = 0;

  for (unsigned i = 0; i < 3; i++)
    {
      char *path = g_build_filename (fleet->voters[i].folder, "entries", NULL), *text = NULL;
      g_file_get_contents (path, &text, NULL, NULL);
      for (const char *at = text; at && (at = strchr (at, '\n')) != NULL; at++)
        found++;
      g_free (text);
      g_free (path);
    }
  return found == 3 * FLEET_ENTRIES;
}

/* All processes are killed, and the only voter that entries have as a seed starts last. Guards
 * against entries that wait for it although the other voters have a leader: voters connect to the
 * entries that they saved, so an entry serves before that seed starts. */
static void
seed_starts_last (void)
{
  Fleet *fleet = fleet_new ();

  fleet->entry_seeds = 1;
  fleet_start_all (fleet);
  fleet_run_until (fleet, have_saved_entries, fleet, "voters save the entries' addresses");
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    fleet_kill (&fleet->entries[i]);
  for (unsigned i = 1; i < 3; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    fleet_start (fleet, &fleet->entries[i], false);
  for (unsigned i = 0; i < 600 && !fleet_is_ready (fleet, &fleet->entries[0]); i++)
    fleet_run_for (fleet, 20 * FT_MS);
  g_assert_true (fleet_is_ready (fleet, &fleet->entries[0]));
  call_ok (fleet, &fleet->entries[0], "/plain/a", "a1");
  fleet_start (fleet, &fleet->voters[0], false);
  fleet_put_catalogue (fleet);
  g_assert_cmpuint (fleet_get_version (fleet), ==, fleet->version);
  fleet_free (fleet);
}

static bool
has_exited (void *data)
{
  return fleet_has_exited (data);
}

/* An entry gets SIGTERM while streams run and callers keep connections open. It reports not ready
 * at once, its streams complete, a late request is answered with "Connection: close", and the
 * process exits. */
static void
graceful_shutdown (void)
{
  Fleet *fleet = fleet_new ();
  Answer streams[4], late;

  fleet_start_all (fleet);
  fleet->event_ms = 150;
  for (unsigned i = 0; i < 4; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "g%u", i);
      fleet_send (fleet, &fleet->entries[0], "/stream/a", id, &streams[i]);
    }
  fleet_run_for (fleet, 300 * FT_MS);
  fleet_signal (&fleet->entries[0], SIGTERM);
  fleet_run_for (fleet, 200 * FT_MS);
  g_assert_false (fleet_is_ready (fleet, &fleet->entries[0]));
  fleet_call (fleet, &fleet->entries[0], "/plain/a", "late", &late);
  g_assert_cmpuint (late.status, ==, 200);
  g_assert_cmpstr (late.connection, ==, "close");
  fleet_answer_clear (&late);
  fleet_run_until (fleet, has_exited, &fleet->entries[0], "the entry exits");
  for (unsigned i = 0; i < 4; i++)
    {
      g_assert_true (streams[i].done && !streams[i].broken);
      g_assert_true (g_str_has_suffix (streams[i].body->str, "id: 8\ndata: event 8\n\n"));
      fleet_answer_clear (&streams[i]);
    }
  call_ok (fleet, &fleet->entries[1], "/plain/a", "after");
  fleet_free (fleet);
}

/* Guards against a voter with links to entries that crashes during shutdown on SIGTERM. */
static void
clean_exit (void)
{
  Fleet *fleet = fleet_new ();
  FleetNode *const nodes[]
      = { &fleet->voters[0], &fleet->voters[1], &fleet->voters[2], &fleet->entries[0] };

  fleet_start_all (fleet);
  call_ok (fleet, &fleet->entries[0], "/plain/a", "served");
  for (unsigned i = 0; i < G_N_ELEMENTS (nodes); i++)
    {
      fleet_signal (nodes[i], SIGTERM);
      fleet_run_until (fleet, has_exited, nodes[i], "the process exits");
      if (nodes[i]->status != 0)
        g_error ("%s exits with wait status %d (logs in %s)", nodes[i]->name, nodes[i]->status,
                 fleet->base);
    }
  fleet_free (fleet);
}

/* An entry starts and reaches no voter. Without a catalogue it must not answer that a route or key
 * is unknown: callers get 503 with Retry-After, and the log has the reason. It is not ready. */
static void
entry_without_voters (void)
{
  Fleet *fleet = fleet_new ();
  Answer answer;

  fleet_start (fleet, &fleet->entries[0], false);
  do
    {
      fleet_run_for (fleet, 20 * FT_MS);
      fleet_call (fleet, &fleet->entries[0], "/plain/a", "a1", &answer);
      if (answer.broken)
        fleet_answer_clear (&answer);
    }
  while (answer.broken);
  g_assert_cmpuint (answer.status, ==, 503);
  g_assert_true (answer.retry_after);
  fleet_answer_clear (&answer);
  g_assert_false (fleet_is_ready (fleet, &fleet->entries[0]));
  fleet_run_for (fleet, 500 * FT_MS); /* the log's buffer is flushed */
  char *log = fleet_read_log (&fleet->entries[0]);
  g_assert_nonnull (strstr (log, "\"why\":\"no-catalogue\""));
  g_free (log);
  fleet_free (fleet);
}

/* An operator misses the answer to a catalogue and sends it again, to other voters too, and after
 * the voter that accepted it was killed. It is acknowledged again or redirected, never refused, and
 * its version is the one in force. */
static void
catalogue_resent (void)
{
  Fleet *fleet = fleet_new ();
  unsigned acknowledged = 0;

  fleet_start_all (fleet);
  fleet_put_catalogue (fleet);
  for (unsigned i = 0; i < 3; i++)
    {
      unsigned status = fleet_resend_catalogue (fleet, &fleet->voters[i]);
      g_assert_true (status == 200 || status == 307 || status == 503);
    }
  FleetNode *leader = fleet_leader (fleet);
  g_assert_nonnull (leader);
  fleet_kill (leader);
  for (unsigned i = 0; i < 600 && acknowledged == 0; i++)
    {
      FleetNode *voter = &fleet->voters[i % 3];
      unsigned status = voter->pid ? fleet_resend_catalogue (fleet, voter) : 0;
      g_assert_true (status / 100 != 4);
      acknowledged += status == 200;
      fleet_run_for (fleet, 50 * FT_MS);
    }
  g_assert_cmpuint (acknowledged, ==, 1);
  g_assert_cmpuint (fleet_get_version (fleet), ==, fleet->version);
  fleet_free (fleet);
}

/* The list shows a server as draining: soon it gets no new request. */
static void
leaving_server (void)
{
  Fleet *fleet = fleet_new ();
  char id[16];

  fleet_start_all (fleet);
  fleet->servers[0].leaving = true;
  fleet_run_for (fleet, 3 * FT_SECOND); /* the time that the platform allows for it */
  unsigned before = fleet->servers[0].arrived;
  for (unsigned i = 0; i < 40; i++)
    {
      g_snprintf (id, sizeof id, "l%u", i);
      call_ok (fleet, &fleet->entries[i % 2], "/plain/a", id);
    }
  g_assert_cmpuint (fleet->servers[0].arrived, ==, before);
  fleet_free (fleet);
}

/* A server drains while all voters are down. The deputy reads the list and sends it only to the
 * entries that ask: sent to all, it exceeds the deputy's memory limit where there are many
 * instances and servers. */
static void
leaving_server_without_voters (void)
{
  Fleet *fleet = fleet_new ();
  char id[16];

  fleet_start_all (fleet);
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < 20; i++)
    {
      g_snprintf (id, sizeof id, "v%u", i);
      call_ok (fleet, &fleet->entries[i % 2], "/plain/a", id);
    }
  fleet->servers[0].leaving = true;
  fleet_run_for (fleet, 6 * FT_SECOND); /* entries first notice that the voters send no list */
  unsigned before = fleet->servers[0].arrived;
  for (unsigned i = 0; i < 40; i++)
    {
      g_snprintf (id, sizeof id, "w%u", i);
      call_ok (fleet, &fleet->entries[i % 2], "/plain/a", id);
    }
  g_assert_cmpuint (fleet->servers[0].arrived, ==, before);
  fleet_run_for (fleet, 500 * FT_MS); /* the logs' buffers are flushed */
  char *log = fleet_read_log (&fleet->entries[2]);
  g_assert_null (strstr (log, "\"from\":\"deputy\""));
  g_free (log);
  fleet_free (fleet);
}

/* The log of an entry shows each step of a request under its id, up to the outcome. */
static void
request_traced_in_logs (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  set_all_modes (fleet, SERVER_RESET);
  g_assert_cmpuint (call_status (fleet, "/once/a", "trace-me"), ==, 502);
  fleet_run_for (fleet, 500 * FT_MS); /* the log's buffer is flushed */
  char *log = fleet_read_log (&fleet->entries[0]);
  for (const char **line = (const char *[]){ "\"event\":\"send\",\"request\":\"trace-me\"",
                                             "\"event\":\"try\",\"request\":\"trace-me\"",
                                             "\"came\":\"broken\",\"next\":\"unknown\"",
                                             "\"event\":\"fail\",\"request\":\"trace-me\"", NULL };
       *line; line++)
    if (strstr (log, *line) == NULL)
      g_error ("%s is not in the log", *line);
  g_free (log);
  fleet_free (fleet);
}

static bool
is_up_to_date (const char *page)
{
  return strstr (page, "\nfoxtail_catalogue_version 1\n") && strstr (page, "\n# i-1 service=s ");
}

/* The metrics page shows which voter is in charge, the catalogue version and the servers' state. */
static void
metrics_page (void)
{
  Fleet *fleet = fleet_new ();
  Answer answer;
  unsigned in_charge = 0;

  fleet_start_all (fleet);
  call_ok (fleet, &fleet->entries[0], "/plain/a", "p1");
  for (unsigned i = 0; i < 3; i++)
    {
      /* A voter that is not in charge learns the commit and the list a moment later. */
      fleet_get_metrics (fleet, &fleet->voters[i], &answer);
      for (unsigned j = 0; j < 600 && !is_up_to_date (answer.body->str); j++)
        {
          fleet_answer_clear (&answer);
          fleet_run_for (fleet, 100 * FT_MS);
          fleet_get_metrics (fleet, &fleet->voters[i], &answer);
        }
      g_assert_true (is_up_to_date (answer.body->str));
      in_charge += strstr (answer.body->str, "\nfoxtail_in_charge 1\n") != NULL;
      fleet_answer_clear (&answer);
    }
  g_assert_cmpuint (in_charge, ==, 1);
  fleet_get_metrics (fleet, &fleet->entries[0], &answer);
  g_assert_nonnull (strstr (answer.body->str, "\nfoxtail_ready 1\n"));
  g_assert_nonnull (strstr (answer.body->str, "\nfoxtail_answered_total 1\n"));
  g_assert_nonnull (strstr (answer.body->str, "\nfoxtail_scheduler{by=\"voter\"} 1\n"));
  g_assert_nonnull (strstr (answer.body->str, "\nfoxtail_whole_seconds_count 1\n"));
  /* Every kind of message between instances is named. */
  g_assert_nonnull (
      strstr (answer.body->str, "\nfoxtail_link_messages_total{kind=\"ask\",way=\"sent\"} 1\n"));
  g_assert_nonnull (
      strstr (answer.body->str, "\nfoxtail_link_bytes_total{kind=\"alive\",way=\"sent\"} "));
  g_assert_null (strstr (answer.body->str, "null"));
  fleet_answer_clear (&answer);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/node/serves", serves);
  g_test_add_func ("/node/reset_after_reading", reset_after_reading);
  g_test_add_func ("/node/refused_everywhere", refused_everywhere);
  g_test_add_func ("/node/servers_gone", servers_gone);
  g_test_add_func ("/node/stream_goes_on", stream_resumed_elsewhere);
  g_test_add_func ("/node/leader_killed", leader_killed);
  g_test_add_func ("/node/no_voter_left", no_voter_left);
  g_test_add_func ("/node/voter_replaced", voter_replaced);
  g_test_add_func ("/node/disk_lost", voter_disk_lost);
  g_test_add_func ("/node/all_killed", all_restarted);
  g_test_add_func ("/node/seed_starts_last", seed_starts_last);
  g_test_add_func ("/node/entry_alone", entry_without_voters);
  g_test_add_func ("/node/change_sent_again", catalogue_resent);
  g_test_add_func ("/node/graceful_end", graceful_shutdown);
  g_test_add_func ("/node/clean_exit", clean_exit);
  g_test_add_func ("/node/leaving_server", leaving_server);
  g_test_add_func ("/node/leaving_server_without_voters", leaving_server_without_voters);
  g_test_add_func ("/node/trace", request_traced_in_logs);
  g_test_add_func ("/node/metrics", metrics_page);
  return g_test_run ();
}
