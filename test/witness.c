/* witness.c - what entries and voters send each other about crashed servers. The test simulates the
 * other end of each link over a socket pair. The log is a real one with a single voter; no check
 * depends on how long anything takes. */
#include "suspects.h"
#include "crashrep.h"
#include "peer.h"

#include <glib/gstdio.h>

#define GUARD   (20 * FT_SECOND)
#define CONTENT G_GUINT64_CONSTANT (0x4711)

static Loop *loop;
static Mesh *mesh;
static LoopTimer guard, poll_timer;
static bool (*stop_condition) (void);
static void (*tick_function) (void);

static void
on_guard (LoopTimer *timer)
{
  (void) timer;
  g_error ("the expected event did not occur within 20 s");
}

static void
on_poll_timer (LoopTimer *timer)
{
  if (tick_function)
    tick_function ();
  if (stop_condition ())
    loop_stop (loop);
  else
    loop_timer_set (loop, timer, loop_now (loop) + 5 * FT_MS);
}

static void
run_until (bool (*condition) (void))
{
  stop_condition = condition;
  loop_timer_set (loop, &poll_timer, loop_now (loop));
  loop_timer_set (loop, &guard, loop_now (loop) + GUARD);
  loop_run (loop);
  loop_timer_stop (loop, &poll_timer);
  loop_timer_stop (loop, &guard);
}

static void
set_up_loop (MeshRole role)
{
  loop = loop_new ();
  guard.fire = on_guard;
  poll_timer.fire = on_poll_timer;
  mesh = test_mesh_new (loop, role, 23100);
}

/* ---- An entry ---- */

static HCli *cli;
static CrashReporter *reporter;
static TestPeer voter_peer;
static unsigned changes;
static MeshMsg last_msg; /* the last message that received has read */

static void
on_changed (void *host)
{
  (void) host;
  changes++;
}

static void
tick_reporter (void)
{
  crashrep_tick (reporter);
}

static QuarState
state_of (uint64_t content)
{
  Fingerprint *print = fingerprint_new (content, "s", NULL, 0);
  QuarState state = crashrep_check (reporter, print).state;

  fingerprint_unref (print);
  return state;
}

static void
answer_content (const char *server, uint64_t content)
{
  Fingerprint *print = fingerprint_new (content, "s", NULL, 0);

  crashrep_answered (reporter, server, print, loop_now (loop));
  fingerprint_unref (print);
}

static void
set_up_entry (void)
{
  set_up_loop (MESH_ENTRY);
  cli = hcli_new (loop);
  reporter = crashrep_new (loop, mesh, cli, NULL, NULL, on_changed, NULL);
  voter_peer = test_peer_new (loop, mesh, 9, MESH_VOTER, true);
  changes = 0;
  tick_function = tick_reporter;
}

static void
tear_down_entry (void)
{
  tick_function = NULL;
  crashrep_free (reporter);
  hcli_free (cli);
  test_peer_free (&voter_peer);
  mesh_free (mesh);
  loop_free (loop);
}

/* True: the peer got a message of this kind; it is then in last_msg. */
static bool
received (TestPeer *peer, MeshKind kind)
{
  MeshMsg msg;
  bool found = false;

  while (!found && test_peer_next (peer, &msg))
    {
      found = msg.kind == kind;
      codec_clear (CODEC (MeshMsg), &last_msg);
      last_msg = msg;
    }
  return found;
}

static bool
voter_got_crash (void)
{
  return received (&voter_peer, MESH_CRASH);
}

/* An address of this machine where nothing listens. */
static SockAddr
unused_address (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr = { htonl (0x7f000001) } };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  g_assert_cmpint (bind (fd, (struct sockaddr *) &address, size), ==, 0);
  g_assert_cmpint (getsockname (fd, (struct sockaddr *) &address, &size), ==, 0);
  close (fd);
  return (SockAddr){ 0x7f000001, ntohs (address.sin_port) };
}

/* A request of this content, without parts, of whose answer nothing came, loses its connection. */
static void
lose_connection (const char *server, uint64_t content)
{
  CrashRun run = { fingerprint_new (content, "s", NULL, 0), "r1", 0 };

  LifetimeTarget target = { .server = server, .name = server, .addr = unused_address () };
  crashrep_connection_lost (reporter, &target, &run);
  fingerprint_unref (run.print);
}

static bool
is_changed (void)
{
  return changes > 0;
}

static void
acknowledge (uint64_t number)
{
  MeshMsg msg = { .kind = MESH_CRASH_ACK };

  msg.MeshMsg_u.known.number = number;
  g_assert_true (crashrep_message (reporter, &voter_peer.peer, &msg));
}

/* Guards against lost reports of a crash: the voter in charge crashes, or its disk refuses writes.
 * The entry repeats the report until it is acknowledged, and counts the crash itself meanwhile. */
static void
report_is_repeated_until_acknowledged (void)
{
  set_up_entry ();
  crashrep_set_voter (reporter, &voter_peer.peer);
  lose_connection ("s1", CONTENT);
  run_until (voter_got_crash);
  uint64_t number = last_msg.MeshMsg_u.ended.number;
  g_assert_cmpstr (last_msg.MeshMsg_u.ended.server, ==, "s1");
  g_assert_cmpuint (last_msg.MeshMsg_u.ended.contents.contents_len, ==, 1);
  g_assert_cmphex (last_msg.MeshMsg_u.ended.contents.contents_val[0], ==, CONTENT);
  g_assert_cmpint (state_of (CONTENT), ==, QUAR_SUSPECT);
  run_until (voter_got_crash);
  g_assert_cmpuint (last_msg.MeshMsg_u.ended.number, ==, number);
  acknowledge (number);
  g_assert_cmpint (state_of (CONTENT), ==, QUAR_NO_CRASHES); /* now counted by voters */
  GString *metrics = g_string_new (NULL);
  crashrep_describe (reporter, metrics);
  g_assert_nonnull (strstr (metrics->str, "foxtail_reports_untold 0"));
  g_string_free (metrics, TRUE);
  tear_down_entry ();
}

/* A server crashes while it runs two requests. Both contents are charged, but only the parts of the
 * one of whose answer nothing had come: a part that crashes servers does so before the first event.
 */
static void
begun_answer_charges_no_parts (void)
{
  static const uint64_t parts[] = { 1, 2 };
  SockAddr address = unused_address ();

  set_up_entry ();
  crashrep_set_voter (reporter, &voter_peer.peer);
  for (unsigned i = 0; i < 2; i++)
    {
      CrashRun run = { fingerprint_new (CONTENT + i, "s", &parts[i], 1), "r", i };
      LifetimeTarget target = { .server = "s1", .name = "s1", .addr = address };
      crashrep_connection_lost (reporter, &target, &run);
      fingerprint_unref (run.print);
    }
  run_until (voter_got_crash);
  const MeshCrash *ended = &last_msg.MeshMsg_u.ended;
  if (ended->contents.contents_len < 3) /* the second connection was lost after the report */
    run_until (voter_got_crash);
  for (unsigned i = 0; i < ended->contents.contents_len; i++)
    g_assert_cmphex (ended->contents.contents_val[i], !=, fingerprint_part_key ("s", parts[1]));
  g_assert_cmpint (state_of (CONTENT), ==, QUAR_SUSPECT);
  g_assert_cmpint (state_of (CONTENT + 1), ==, QUAR_SUSPECT);
  tear_down_entry ();
}

/* No voter is in charge when the server crashes; the next one gets the report at once. */
static void
report_waits_for_voter (void)
{
  set_up_entry ();
  lose_connection ("s1", CONTENT);
  run_until (is_changed);
  g_assert_false (voter_got_crash ());
  crashrep_set_voter (reporter, &voter_peer.peer);
  g_assert_true (voter_got_crash ());
  tear_down_entry ();
}

static void
receive_crash_table (unsigned crashes)
{
  MeshMsg msg = { .kind = MESH_CRASH_TABLE };
  u_int servers[] = { quar_server_digest ("s1"), quar_server_digest ("s2") };
  MeshSuspect suspect = { CONTENT, crashes, { 2, servers } };

  msg.MeshMsg_u.blamed.index = crashes;
  msg.MeshMsg_u.blamed.suspects.suspects_len = 1;
  msg.MeshMsg_u.blamed.suspects.suspects_val = &suspect;
  g_assert_true (crashrep_message (reporter, &voter_peer.peer, &msg));
}

/* Two servers lose power while they run a content that this entry has just got a whole answer for.
 * The entry tells the voters, even if it does not know the voter in charge yet when the crash table
 * arrives. */
static void
answered_content_is_reported (void)
{
  set_up_entry ();
  answer_content ("s9", CONTENT);
  receive_crash_table (2);
  g_assert_false (received (&voter_peer, MESH_ANSWERED));
  crashrep_set_voter (reporter, &voter_peer.peer);
  g_assert_true (received (&voter_peer, MESH_ANSWERED));
  g_assert_cmphex (last_msg.MeshMsg_u.answered.contents.contents_val[0], ==, CONTENT);
  tear_down_entry ();
}

/* A server that was reported as crashed answers this entry; only the network path from others to it
 * was cut. The entry retracts the crash. */
static void
crash_is_retracted (void)
{
  set_up_entry ();
  crashrep_set_voter (reporter, &voter_peer.peer);
  receive_crash_table (2);
  answer_content ("s2", 1);
  g_assert_true (received (&voter_peer, MESH_CRASH_RETRACTED));
  g_assert_cmpstr (last_msg.MeshMsg_u.survived.server, ==, "s2");
  tear_down_entry ();
}

/* ---- A voter ---- */

static Voter *voter;
static Suspects *suspects;
static TestPeer entry_peer, other_peer;
static char *folder;

static void
ignore_send (void *host, uint32_t to, GByteArray *bytes)
{
  (void) host;
  (void) to;
  g_byte_array_unref (bytes);
}

static void
ignore_commit (void *host)
{
  (void) host;
}

static void
on_crash_table (void *host)
{
  (void) host;
  suspects_committed (suspects);
}

static void
on_verdict (void *host, uint64_t ticket, FtStatus status)
{
  (void) host;
  suspects_verdict (suspects, ticket, status);
}

static const VoterOps voter_ops = { NULL,          ignore_send,   ignore_commit, on_crash_table,
                                    ignore_commit, ignore_commit, on_verdict };

static bool
in_charge (void)
{
  VoterStatus status;

  voter_status (voter, &status);
  return status.proved;
}

static void
tick_suspects (void)
{
  suspects_tick (suspects);
}

static void
set_up_voter (void)
{
  uint32_t self = 0x7f000001;
  VoterConf conf = { .self = self, .seeds = &self, .seed_count = 1, .may_bootstrap = true };

  set_up_loop (MESH_VOTER);
  folder = g_dir_make_tmp ("suspects-XXXXXX", NULL);
  conf.folder = folder;
  g_assert_cmpint (voter_new (&conf, loop, &voter_ops, NULL, &voter, NULL), ==, FT_OK);
  suspects = suspects_new (loop, voter);
  entry_peer = test_peer_new (loop, mesh, 1, MESH_ENTRY, false);
  other_peer = test_peer_new (loop, mesh, 2, MESH_ENTRY, false);
  tick_function = tick_suspects;
  suspects_up (suspects, &entry_peer.peer);
  run_until (in_charge);
}

static void
tear_down_voter (void)
{
  tick_function = NULL;
  voter_free (voter);
  suspects_free (suspects);
  test_peer_free (&entry_peer);
  test_peer_free (&other_peer);
  mesh_free (mesh);
  loop_free (loop);
  GDir *dir = g_dir_open (folder, 0, NULL);
  for (const char *name; (name = g_dir_read_name (dir)) != NULL;)
    {
      char *path = g_build_filename (folder, name, NULL);
      g_remove (path);
      g_free (path);
    }
  g_dir_close (dir);
  g_rmdir (folder);
  g_free (folder);
}

static void
report_crash_of (uint64_t number, const char *server, uint64_t key, unsigned age_ms)
{
  MeshMsg msg = { .kind = MESH_CRASH };
  u_quad_t contents[] = { key };

  msg.MeshMsg_u.ended = (MeshCrash){ number, (char *) server, age_ms, { 1, contents } };
  g_assert_true (suspects_message (suspects, &entry_peer.peer, &msg));
}

static void
report_crash (uint64_t number, const char *server)
{
  report_crash_of (number, server, CONTENT, 0);
}

static bool
entry_got_ack (void)
{
  return received (&entry_peer, MESH_CRASH_ACK);
}

static bool
other_got_crash_table (void)
{
  return received (&other_peer, MESH_CRASH_TABLE);
}

/* An entry reports crashes, and each is acknowledged once it is in the log. After the second one
 * all entries get the crash table, and an entry that connects later gets it before anything else.
 */
static void
crash_table_is_sent (void)
{
  set_up_voter ();
  report_crash (1, "s1");
  run_until (entry_got_ack);
  report_crash (2, "s2");
  run_until (entry_got_ack);
  suspects_up (suspects, &other_peer.peer);
  g_assert_true (other_got_crash_table ());
  g_assert_cmpuint (last_msg.MeshMsg_u.blamed.suspects.suspects_len, ==, 1);
  g_assert_cmpuint (last_msg.MeshMsg_u.blamed.suspects.suspects_val[0].ends, ==, 2);
  report_crash (3, "s3");
  run_until (other_got_crash_table);
  g_assert_cmpuint (last_msg.MeshMsg_u.blamed.suspects.suspects_val[0].ends, ==, 3);
  report_crash (4, "s3"); /* repeated: acknowledged without another write to the log */
  g_assert_true (entry_got_ack ());
  char *list = suspects_list (suspects);
  g_assert_nonnull (strstr (list, "\"quarantined\":true,\"ends\":3"));
  g_free (list);
  tear_down_voter ();
}

static bool
crash_table_is_empty (void)
{
  return received (&other_peer, MESH_CRASH_TABLE)
         && last_msg.MeshMsg_u.blamed.suspects.suspects_len == 0;
}

/* Another entry got a whole answer to the content: all entries get an empty crash table. */
static void
answer_clears_suspicion (void)
{
  MeshMsg msg = { .kind = MESH_ANSWERED };
  u_quad_t contents[] = { CONTENT };

  set_up_voter ();
  suspects_up (suspects, &other_peer.peer);
  report_crash (1, "s1");
  report_crash (2, "s2");
  run_until (other_got_crash_table);
  g_assert_cmpuint (last_msg.MeshMsg_u.blamed.suspects.suspects_val[0].ends, ==, 2);
  msg.MeshMsg_u.answered.contents.contents_len = 1;
  msg.MeshMsg_u.answered.contents.contents_val = contents;
  g_assert_true (suspects_message (suspects, &other_peer.peer, &msg));
  run_until (crash_table_is_empty);
  tear_down_voter ();
}

/* The last crash of a part was long ago: all entries are told that it is forgotten. */
static void
old_part_is_forgotten (void)
{
  uint64_t part = fingerprint_part_key ("s", 1);

  set_up_voter ();
  suspects_up (suspects, &other_peer.peer);
  for (unsigned i = 1; i <= 3; i++)
    {
      char server[] = { 's', (char) ('0' + i), 0 };
      report_crash_of (i, server, part, CRASHES_PART_KEPT_MS + 1000);
    }
  run_until (other_got_crash_table);
  run_until (crash_table_is_empty);
  tear_down_voter ();
}

/* Guards against a leak of what the log's thread has reported and the loop not yet handled when the
 * voter ends; a leak checker finds it. */
static void
voter_ends_with_pending_reports (void)
{
  GBytes *before, *table;

  set_up_voter ();
  before = voter_crash_table (voter);
  report_crash (1, "s1");
  do
    {
      g_usleep (1000);
      table = voter_crash_table (voter);
      if (table)
        g_bytes_unref (table);
    }
  while (table == before);
  if (before)
    g_bytes_unref (before);
  tear_down_voter ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/witness/until_known", report_is_repeated_until_acknowledged);
  g_test_add_func ("/witness/begun", begun_answer_charges_no_parts);
  g_test_add_func ("/witness/waits", report_waits_for_voter);
  g_test_add_func ("/witness/answered", answered_content_is_reported);
  g_test_add_func ("/witness/lives", crash_is_retracted);
  g_test_add_func ("/suspects/told", crash_table_is_sent);
  g_test_add_func ("/suspects/cleared", answer_clears_suspicion);
  g_test_add_func ("/suspects/forgotten", old_part_is_forgotten);
  g_test_add_func ("/suspects/pending_reports", voter_ends_with_pending_reports);
  return g_test_run ();
}
