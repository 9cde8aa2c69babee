/* exits.c - tests, with real processes on loopback, of processes that end by themselves or do not
 * start. */
#include "fleet.h"
#include "fingerprint.h"
#include "crashes.h"
#include "reporter.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

static bool
has_exited (void *data)
{
  return fleet_has_exited (data);
}

/* The text of the last line of the log with this event; g_free. */
static char *
last_line (const FleetNode *node, const char *event)
{
  char *text = fleet_read_log (node), *mark = g_strdup_printf ("\"event\":\"%s\"", event);
  char **lines = g_strsplit (text, "\n", -1), *found = NULL;

  for (unsigned i = 0; lines[i]; i++)
    if (strstr (lines[i], mark))
      {
        g_free (found);
        found = g_strdup (lines[i]);
      }
  g_strfreev (lines);
  g_free (mark);
  g_free (text);
  return found ? found : g_strdup ("");
}

static void
end_by (Fleet *fleet, FleetNode *node, int number)
{
  fleet_signal (node, number);
  fleet_run_until (fleet, has_exited, node, "the process ends");
}

/* Starts the node again. Returns the line that tells how it ended before; g_free. */
static char *
restart (Fleet *fleet, FleetNode *node)
{
  char *before = last_line (node, "runs"), *line = last_line (node, "runs");

  fleet_start (fleet, node, false);
  while (strcmp (line, before) == 0)
    {
      g_free (line);
      fleet_run_for (fleet, 20 * FT_MS);
      line = last_line (node, "runs");
    }
  g_free (before);
  fleet_await_metrics (fleet, node);
  return line;
}

static void
check_last_end (Fleet *fleet, FleetNode *node, const char *expected)
{
  char *line = restart (fleet, node);

  g_test_message ("%s", line);
  g_assert_nonnull (strstr (line, expected));
  g_free (line);
}

/* Guards against a process that ends without a trace: by a signal of its own, or killed. */
static void
ends_are_told (void)
{
  Fleet *fleet = fleet_new ();
  FleetNode *voter = &fleet->voters[0];

  fleet_start_all (fleet);
  end_by (fleet, voter, SIGABRT);
  g_assert_true (WIFSIGNALED (voter->status) && WTERMSIG (voter->status) == SIGABRT);
  char *line = last_line (voter, "fatal");
  g_assert_nonnull (strstr (line, "\"signal\":6,"));
  g_free (line);
  check_last_end (fleet, voter, "\"starts\":2,\"last_end\":\"signal 06\"");
  fleet_kill (voter);
  check_last_end (fleet, voter, "\"starts\":3,\"last_end\":\"running\"");
  end_by (fleet, voter, SIGTERM);
  g_assert_true (WIFEXITED (voter->status) && WEXITSTATUS (voter->status) == 0);
  check_last_end (fleet, voter, "\"starts\":4,\"last_end\":\"stopped\"");
  g_assert_cmpuint (fleet_counter (fleet, voter, "foxtail_data_bytes"), >, 0);
  g_assert_cmpuint (fleet_counter (fleet, voter, "foxtail_resident_bytes"), >, 0);
  fleet_free (fleet);
}

/* ---- The crash table ---- */

static void
assert_voters_run (Fleet *fleet)
{
  for (unsigned i = 0; i < fleet->voter_count; i++)
    if (fleet_has_exited (&fleet->voters[i]))
      g_error ("%s ended by itself, wait status %d (logs in %s)", fleet->voters[i].name,
               fleet->voters[i].status, fleet->base);
}

static bool
is_linked (void *data)
{
  return ((Reporter *) data)->voter_count == 3;
}

static bool
all_acknowledged (void *data)
{
  const Reporter *reporter = data;

  return reporter->acknowledged >= reporter->sent || reporter->voter_count == 0;
}

static void
await_acknowledged (Fleet *fleet, Reporter *reporter)
{
  fleet_run_until (fleet, all_acknowledged, reporter, "the crashes are in the log");
  if (reporter->voter_count > 0)
    return;
  fleet_run_for (fleet, 200 * FT_MS);
  assert_voters_run (fleet);
  g_error ("the links to the voters are lost (logs in %s)", fleet->base);
}

/* Two crashes of servers that ran these contents and parts, in reports as large as they may be. */
static void
report_many (Fleet *fleet, Reporter *reporter, const char *servers[2], uint64_t first,
             unsigned count)
{
  uint64_t keys[MESH_CONTENTS_MAX];

  for (unsigned at = 0; at < count; at += MESH_CONTENTS_MAX / 2)
    {
      for (unsigned i = 0; i < MESH_CONTENTS_MAX / 2; i++)
        {
          keys[2 * i] = first + at + i;
          keys[2 * i + 1] = fingerprint_part_key ("s", first + at + i);
        }
      for (unsigned i = 0; i < 2; i++)
        reporter_send_crash (reporter, servers[i], keys, MESH_CONTENTS_MAX);
    }
  await_acknowledged (fleet, reporter);
}

static bool
has_table (void *data)
{
  return ((Reporter *) data)->published > 0;
}

/* Guards against voters that end, again at each start, once the crash table has more keys than its
 * message to entries holds. */
static void
crash_table_full (void)
{
  static const char *servers[2] = { "a", "b" };
  Fleet *fleet = fleet_new ();
  Reporter reporter;

  fleet_start_all (fleet);
  reporter_open (fleet, &reporter);
  fleet_run_until (fleet, is_linked, &reporter, "links to the voters");
  report_many (fleet, &reporter, servers, 1000, CRASHES_MAX_CONTENTS);
  fleet_run_for (fleet, 200 * FT_MS);
  assert_voters_run (fleet);
  reporter_close (&reporter);
  for (unsigned i = 0; i < fleet->voter_count; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < fleet->voter_count; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  g_assert_cmpuint (fleet_get_version (fleet), ==, fleet->version);
  fleet_put_catalogue (fleet);
  fleet_await_version (fleet, &fleet->entries[0], fleet->version);
  reporter_open (fleet, &reporter);
  fleet_run_until (fleet, has_table, &reporter, "the crash table of the voters' log");
  assert_voters_run (fleet);
  g_assert_cmpuint (reporter.published, ==, MESH_SUSPECTS_MAX);
  reporter_close (&reporter);
  fleet_free (fleet);
}

/* ---- Addresses in use ---- */

#define METRICS_LOOKS 200           /* some seconds; they are tried again once a second */
#define HELD_TIME     (700 * FT_MS) /* some tries of a start */

static void
refuse_connection (void *owner, int fd, SockAddr from)
{
  (void) owner;
  (void) from;
  close (fd);
}

static bool
accepts (SockAddr addr)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (addr.port),
                            .sin_addr = { .s_addr = htonl (addr.ip) } };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool accepted = connect (fd, (struct sockaddr *) &to, sizeof to) == 0;

  close (fd);
  return accepted;
}

static void
await_line (Fleet *fleet, FleetNode *node, const char *event)
{
  for (bool found = false; !found;)
    {
      char *line = last_line (node, event);
      found = *line != '\0';
      g_free (line);
      if (fleet_has_exited (node))
        g_error ("%s ended, wait status %d (logs in %s)", node->name, node->status, fleet->base);
      if (!found)
        fleet_run_for (fleet, 20 * FT_MS);
    }
}

static void
await_start (Fleet *fleet, FleetNode *node)
{
  fleet_run_for (fleet, 50 * FT_MS);
  for (bool ready = false; !ready;)
    {
      if (fleet_has_exited (node))
        g_error ("%s ended, wait status %d (logs in %s)", node->name, node->status, fleet->base);
      ready = node->voter ? fleet_try_get_version (fleet, node) > 0 : fleet_is_ready (fleet, node);
      if (!ready)
        fleet_run_for (fleet, 20 * FT_MS);
    }
}

/* Guards against a process that ends because an address is still held as it starts. */
static void
address_held (gconstpointer data)
{
  unsigned port = GPOINTER_TO_UINT (data);
  Fleet *fleet = fleet_new ();

  fleet->voter_count = 1;
  fleet->entry_count = 1;
  fleet_start_all (fleet);
  FleetNode *node = port == FLEET_CONTROL_PORT ? &fleet->voters[0] : &fleet->entries[0];
  fleet_kill (node);
  SockListener *holder
      = sock_listen (fleet->loop, (SockAddr){ node->ip, (uint16_t) port }, refuse_connection, NULL);
  g_assert_nonnull (holder);
  fleet_start (fleet, node, false);
  await_line (fleet, node, "start-waits");
  /* Callers are not accepted before all else is there. */
  if (!node->voter && port != FLEET_CALLER_PORT)
    g_assert_false (accepts ((SockAddr){ node->ip, FLEET_CALLER_PORT }));
  fleet_run_for (fleet, HELD_TIME);
  sock_listener_free (holder);
  await_start (fleet, node);
  fleet_free (fleet);
}

/* Guards against a process without metrics for ever since their port was in use as it started. */
static void
metrics_held (void)
{
  Fleet *fleet = fleet_new ();
  FleetNode *node = &fleet->entries[0];
  bool answered = false;

  fleet->voter_count = 1;
  fleet->entry_count = 1;
  fleet_start_all (fleet);
  fleet_kill (node);
  SockListener *holder = sock_listen (fleet->loop, (SockAddr){ node->ip, FLEET_METRICS_PORT },
                                      refuse_connection, NULL);
  g_assert_nonnull (holder);
  fleet_start (fleet, node, false);
  await_start (fleet, node);
  sock_listener_free (holder);
  for (unsigned i = 0; i < METRICS_LOOKS && !answered; i++)
    {
      Answer answer;
      fleet_run_for (fleet, 50 * FT_MS);
      fleet_get_metrics (fleet, node, &answer);
      answered = answer.status == 200 && !answer.broken;
      fleet_answer_clear (&answer);
    }
  g_assert_true (answered);
  fleet_free (fleet);
}

/* Guards against a voter that ends because another process still has its data folder. */
static void
folder_held (void)
{
  Fleet *fleet = fleet_new ();
  FleetNode *voter = &fleet->voters[0];

  fleet->voter_count = 1;
  fleet->entry_count = 0;
  fleet_start_all (fleet);
  fleet_kill (voter);
  char *path = g_build_filename (voter->folder, "lock", NULL);
  int lock = open (path, O_RDWR | O_CLOEXEC);
  g_assert_cmpint (flock (lock, LOCK_EX | LOCK_NB), ==, 0);
  fleet_start (fleet, voter, false);
  await_line (fleet, voter, "start-waits");
  fleet_run_for (fleet, HELD_TIME);
  close (lock);
  await_start (fleet, voter);
  g_free (path);
  fleet_free (fleet);
}

/* Damages the file: empties it, or spoils a byte of its first record. */
static void
damage (const FleetNode *voter, const char *name, bool emptied)
{
  char *path = g_build_filename (voter->folder, name, NULL), *text = NULL;
  gsize size = 0;

  if (!emptied)
    {
      g_assert_true (g_file_get_contents (path, &text, &size, NULL));
      g_assert_cmpuint (size, >, 64);
      text[40] ^= 1;
    }
  g_assert_true (g_file_set_contents (path, text ? text : "", (gssize) size, NULL));
  g_free (text);
  g_free (path);
}

/* Guards against a voter that ends at each start since a file of its folder is damaged. It becomes
 * a voter again, so that another one may be lost then. */
static void
file_damaged (gconstpointer data)
{
  const char *name = data;
  Fleet *fleet = fleet_new ();
  FleetNode *voter = &fleet->voters[2];

  fleet_start_all (fleet);
  for (unsigned i = 0; i < 3; i++)
    fleet_put_catalogue (fleet);
  fleet_kill (voter);
  damage (voter, name, strcmp (name, "log") != 0);
  fleet_start (fleet, voter, false);
  await_line (fleet, voter, "folder-damaged");
  while (fleet_counter (fleet, voter, "foxtail_catalogue_version") != fleet->version
         || fleet_counter (fleet, voter, "foxtail_voters") != 3)
    fleet_run_for (fleet, 50 * FT_MS);
  fleet_run_for (fleet, 1500 * FT_MS);
  fleet_kill (&fleet->voters[0]);
  fleet_put_catalogue (fleet);
  g_assert_cmpuint (fleet_get_version (fleet), ==, fleet->version);
  g_assert_false (fleet_has_exited (voter));
  fleet_free (fleet);
}

/* Guards against a voter alone that forms a new voter set, and takes what was acknowledged for
 * nothing, since its folder is damaged as the whole deployment is started anew. */
static void
damaged_alone (void)
{
  Fleet *fleet = fleet_new ();
  FleetNode *voter = &fleet->voters[0];

  fleet->voter_count = 1;
  fleet->entry_count = 0;
  fleet_start_all (fleet);
  fleet_kill (voter);
  damage (voter, "ident", true);
  fleet_start (fleet, voter, true);
  await_line (fleet, voter, "folder-damaged");
  fleet_run_for (fleet, 2 * FT_SECOND);
  g_assert_false (fleet_has_exited (voter));
  g_assert_cmpuint (fleet_try_get_version (fleet, voter), ==, 0);
  g_assert_false (fleet_try_put_catalogue (fleet, voter));
  fleet_free (fleet);
}

/* Guards against an entry that ends because a connection that somebody made from the port of its
 * callers still exists. */
static void
address_of_connection (void)
{
  Fleet *fleet = fleet_new ();
  FleetNode *node = &fleet->entries[0];
  struct linger reset = { 1, 0 };
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_port = htons (FLEET_CALLER_PORT) },
                     to = { .sin_family = AF_INET, .sin_port = htons (FLEET_CONTROL_PORT) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  fleet->entry_count = 1;
  fleet_start_all (fleet);
  fleet_kill (node);
  at.sin_addr.s_addr = htonl (node->ip);
  to.sin_addr.s_addr = htonl (fleet->voters[0].ip);
  g_assert_cmpint (bind (fd, (struct sockaddr *) &at, sizeof at), ==, 0);
  g_assert_cmpint (connect (fd, (struct sockaddr *) &to, sizeof to), ==, 0);
  fleet_start (fleet, node, false);
  await_line (fleet, node, "start-waits");
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (fd);
  await_start (fleet, node);
  fleet_free (fleet);
}

/* Guards against processes that end because the one before them has not left yet, as where a
 * supervisor does not wait for it. */
static void
started_beside_leaving (void)
{
  Fleet *fleet = fleet_new ();
  FleetNode *entry = &fleet->entries[0], *voter = &fleet->voters[0], leaving;
  Answer answer;

  fleet->event_ms = 200;
  fleet_start_all (fleet);
  fleet_send (fleet, entry, "/stream/a", "s1", &answer);
  fleet_run_for (fleet, 300 * FT_MS);
  leaving = *entry;
  fleet_signal (entry, SIGTERM);
  entry->pid = 0;
  fleet_start (fleet, entry, false);
  await_start (fleet, entry);
  g_assert_true (answer.done && !answer.broken);
  g_assert_true (g_str_has_suffix (answer.body->str, "id: 8\ndata: event 8\n\n"));
  fleet_answer_clear (&answer);
  fleet_run_until (fleet, has_exited, &leaving, "the entry before has left");
  leaving = *voter;
  fleet_signal (voter, SIGTERM);
  voter->pid = 0;
  fleet_start (fleet, voter, false);
  fleet_run_until (fleet, has_exited, &leaving, "the voter before has left");
  fleet_await_metrics (fleet, voter);
  g_assert_false (fleet_has_exited (voter));
  g_assert_cmpuint (fleet_get_version (fleet), ==, fleet->version);
  fleet_free (fleet);
}

/* Guards against a start that waits for ever for an address, or ignores the signal to stop. */
static void
waiting_start_ends (void)
{
  Fleet *fleet = fleet_new ();
  FleetNode *node = &fleet->entries[0];

  fleet->start_wait_s = 1;
  SockListener *holder = sock_listen (fleet->loop, (SockAddr){ node->ip, FLEET_READY_PORT },
                                      refuse_connection, NULL);
  fleet_start (fleet, node, false);
  fleet_run_until (fleet, has_exited, node, "the start gives up");
  g_assert_true (WIFEXITED (node->status) && WEXITSTATUS (node->status) == 1);
  char *line = last_line (node, "start-failed");
  g_assert_nonnull (strstr (line, "\"field\":\"ready\""));
  g_free (line);
  unlink (node->log);
  fleet->start_wait_s = 70;
  fleet_start (fleet, node, false);
  await_line (fleet, node, "start-waits");
  end_by (fleet, node, SIGTERM);
  g_assert_true (WIFEXITED (node->status) && WEXITSTATUS (node->status) == 0);
  sock_listener_free (holder);
  fleet_free (fleet);
}

/* Guards against SIGHUP that ends a process before it handles signals, and one while it waits. */
static void
reloaded_while_starting (void)
{
  Fleet *fleet = fleet_new ();
  FleetNode *node = &fleet->entries[0];

  fleet->entry_count = 1;
  fleet_start_all (fleet);
  fleet_kill (node);
  SockListener *holder = sock_listen (fleet->loop, (SockAddr){ node->ip, FLEET_READY_PORT },
                                      refuse_connection, NULL);
  fleet_start (fleet, node, false);
  await_line (fleet, node, "start-waits");
  fleet_signal (node, SIGHUP);
  fleet_run_for (fleet, HELD_TIME);
  sock_listener_free (holder);
  await_start (fleet, node);
  fleet_free (fleet);
}

/* Guards against a voter that ends by SIGXFSZ when a file may not grow: it takes no change until
 * files may grow again. */
static void
file_size_limited (void)
{
  Fleet *fleet = fleet_new ();
  FleetNode *voter = &fleet->voters[0];
  struct rlimit none = { RLIM_INFINITY, RLIM_INFINITY };
  unsigned refused = 0;

  fleet->voter_count = 1;
  fleet->entry_count = 0;
  voter->file_size = 16384;
  fleet_start_all (fleet);
  for (unsigned i = 0; i < 100 && refused == 0; i++)
    refused += !fleet_try_put_catalogue (fleet, voter);
  g_assert_cmpuint (refused, ==, 1);
  fleet_run_for (fleet, 500 * FT_MS);
  if (fleet_has_exited (voter))
    g_error ("%s ended, wait status %d (logs in %s)", voter->name, voter->status, fleet->base);
  g_assert_cmpint (prlimit (voter->pid, RLIMIT_FSIZE, &none, NULL), ==, 0);
  fleet_put_catalogue (fleet);
  g_assert_cmpuint (fleet_get_version (fleet), ==, fleet->version);
  fleet_free (fleet);
}

static bool
is_hidden (void *data)
{
  return g_file_test (data, G_FILE_TEST_EXISTS);
}

/* Guards against a process that ends since its settings file is being replaced as it starts. One
 * that does not come is told. */
static void
settings_come_late (void)
{
  Fleet *fleet = fleet_new ();
  FleetNode *node = &fleet->entries[0];
  char *hidden = g_strconcat (node->settings, FLEET_HIDDEN, NULL);

  fleet->entry_count = 1;
  fleet_start_all (fleet);
  fleet_kill (node);
  node->starts_without = true;
  fleet_start (fleet, node, false);
  fleet_run_until (fleet, is_hidden, hidden, "the settings file is gone");
  fleet_run_for (fleet, 200 * FT_MS);
  g_assert_cmpint (rename (hidden, node->settings), ==, 0);
  await_start (fleet, node);
  fleet_kill (node);
  fleet_start (fleet, node, false);
  fleet_run_until (fleet, has_exited, node, "the start gives up");
  g_assert_true (WIFEXITED (node->status) && WEXITSTATUS (node->status) == 1);
  char *log = fleet_read_log (node);
  g_assert_nonnull (strstr (log, node->settings));
  g_free (log);
  g_free (hidden);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/exits/told", ends_are_told);
  g_test_add_func ("/exits/crash_table_full", crash_table_full);
  g_test_add_data_func ("/exits/address_held/link", GUINT_TO_POINTER (FLEET_LINK_PORT),
                        address_held);
  g_test_add_data_func ("/exits/address_held/callers", GUINT_TO_POINTER (FLEET_CALLER_PORT),
                        address_held);
  g_test_add_data_func ("/exits/address_held/ready", GUINT_TO_POINTER (FLEET_READY_PORT),
                        address_held);
  g_test_add_data_func ("/exits/address_held/relay", GUINT_TO_POINTER (FLEET_RELAY_PORT),
                        address_held);
  g_test_add_data_func ("/exits/address_held/control", GUINT_TO_POINTER (FLEET_CONTROL_PORT),
                        address_held);
  g_test_add_func ("/exits/metrics_held", metrics_held);
  g_test_add_func ("/exits/folder_held", folder_held);
  g_test_add_data_func ("/exits/damaged/ident", "ident", file_damaged);
  g_test_add_data_func ("/exits/damaged/snap", "snap", file_damaged);
  g_test_add_data_func ("/exits/damaged/log", "log", file_damaged);
  g_test_add_func ("/exits/damaged/alone", damaged_alone);
  g_test_add_func ("/exits/address_of_connection", address_of_connection);
  g_test_add_func ("/exits/beside_leaving", started_beside_leaving);
  g_test_add_func ("/exits/waiting_ends", waiting_start_ends);
  g_test_add_func ("/exits/reloaded", reloaded_while_starting);
  g_test_add_func ("/exits/file_size", file_size_limited);
  g_test_add_func ("/exits/settings_late", settings_come_late);
  return g_test_run ();
}
