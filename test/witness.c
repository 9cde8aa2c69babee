/* witness.c - what entries and voters tell each other of servers that ended. The other end of each
 * link is played over a socket pair; the log is a real one without other voters; nothing hangs on
 * how long anything takes. */
#include "suspects.h"
#include "crashrep.h"
#include "peer.h"

#include <glib/gstdio.h>

#define GUARD   (20 * FT_SECOND)
#define CONTENT G_GUINT64_CONSTANT (0x4711)

static Loop *loop;
static Mesh *mesh;
static LoopTimer guard, turn;
static bool (*wanted) (void);
static void (*each_turn) (void);

static void
on_guard (LoopTimer *timer)
{
  (void) timer;
  g_error ("nothing happened for too long");
}

static void
on_turn (LoopTimer *timer)
{
  if (each_turn)
    each_turn ();
  if (wanted ())
    loop_stop (loop);
  else
    loop_timer_set (loop, timer, loop_now (loop) + 5 * FT_MS);
}

static void
run_until (bool (*condition) (void))
{
  wanted = condition;
  loop_timer_set (loop, &turn, loop_now (loop));
  loop_timer_set (loop, &guard, loop_now (loop) + GUARD);
  loop_run (loop);
  loop_timer_stop (loop, &turn);
  loop_timer_stop (loop, &guard);
}

static void
begin_loop (MeshRole role)
{
  loop = loop_new ();
  guard.fire = on_guard;
  turn.fire = on_turn;
  mesh = test_mesh (loop, role, 23100);
}

/* ---- An entry ---- */

static HCli *cli;
static CrashReporter *witness;
static TestPeer voter_peer;
static unsigned changes;
static MeshMsg last; /* of a kind that is looked for */

static void
on_changed (void *host)
{
  (void) host;
  changes++;
}

static void
tick_witness (void)
{
  crashrep_tick (witness);
}

static void
begin_entry (void)
{
  begin_loop (MESH_ENTRY);
  cli = hcli_new (loop);
  witness = crashrep_new (loop, mesh, cli, on_changed, NULL);
  voter_peer = test_peer (loop, mesh, 9, MESH_VOTER, true);
  changes = 0;
  each_turn = tick_witness;
}

static void
end_entry (void)
{
  each_turn = NULL;
  crashrep_free (witness);
  hcli_free (cli);
  test_peer_end (&voter_peer);
  mesh_free (mesh);
  loop_free (loop);
}

/* Has the peer got a message of that kind? It is kept in last. */
static bool
got (TestPeer *peer, MeshKind kind)
{
  MeshMsg msg;
  bool found = false;

  while (!found && test_peer_next (peer, &msg))
    {
      found = msg.kind == kind;
      codec_clear (CODEC (MeshMsg), &last);
      last = msg;
    }
  return found;
}

static bool
voter_got_end (void)
{
  return got (&voter_peer, MESH_CRASH);
}

/* An address of this machine at which nobody listens. */
static SockAddr
nobody (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr = { htonl (0x7f000001) } };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  g_assert_cmpint (bind (fd, (struct sockaddr *) &address, size), ==, 0);
  g_assert_cmpint (getsockname (fd, (struct sockaddr *) &address, &size), ==, 0);
  close (fd);
  return (SockAddr){ 0x7f000001, ntohs (address.sin_port) };
}

static bool
was_changed (void)
{
  return changes > 0;
}

static void
known (uint64_t number)
{
  MeshMsg msg = { .kind = MESH_CRASH_ACK };

  msg.MeshMsg_u.known.number = number;
  g_assert_true (crashrep_message (witness, &voter_peer.peer, &msg));
}

/* The voter in charge loses what it was told, with its charge or to a disk that refuses writes.
 * The entry tells it again until it is known, and counts the end itself meanwhile. */
static void
report_is_told_until_known (void)
{
  begin_entry ();
  crashrep_set_voter (witness, &voter_peer.peer);
  crashrep_connection_lost (witness, "s1", nobody (), CONTENT, "r1");
  run_until (voter_got_end);
  uint64_t number = last.MeshMsg_u.ended.number;
  g_assert_cmpstr (last.MeshMsg_u.ended.server, ==, "s1");
  g_assert_cmpuint (last.MeshMsg_u.ended.contents.contents_len, ==, 1);
  g_assert_cmphex (last.MeshMsg_u.ended.contents.contents_val[0], ==, CONTENT);
  g_assert_cmpint (crashrep_check (witness, CONTENT).state, ==, QUAR_SUSPECT);
  run_until (voter_got_end);
  g_assert_cmpuint (last.MeshMsg_u.ended.number, ==, number);
  known (number);
  g_assert_cmpint (crashrep_check (witness, CONTENT).state, ==,
                   QUAR_NO_CRASHES); /* others know more */
  GString *metrics = g_string_new (NULL);
  crashrep_describe (witness, metrics);
  g_assert_nonnull (strstr (metrics->str, "foxtail_reports_untold 0"));
  g_string_free (metrics, TRUE);
  end_entry ();
}

/* No voter is in charge as the server ends. Whoever is in charge later is told at once. */
static void
report_waits_for_a_voter (void)
{
  begin_entry ();
  crashrep_connection_lost (witness, "s1", nobody (), CONTENT, "r1");
  run_until (was_changed);
  g_assert_false (voter_got_end ());
  crashrep_set_voter (witness, &voter_peer.peer);
  g_assert_true (voter_got_end ());
  end_entry ();
}

static void
take_account (unsigned ends)
{
  MeshMsg msg = { .kind = MESH_CRASH_TABLE };
  u_int servers[] = { quar_server_digest ("s1"), quar_server_digest ("s2") };
  MeshSuspect suspect = { CONTENT, ends, { 2, servers } };

  msg.MeshMsg_u.blamed.index = ends;
  msg.MeshMsg_u.blamed.suspects.suspects_len = 1;
  msg.MeshMsg_u.blamed.suspects.suspects_val = &suspect;
  g_assert_true (crashrep_message (witness, &voter_peer.peer, &msg));
}

/* Two servers lose power under a content that this entry has just answered whole. The voters are
 * told, also if the voter in charge is not known yet as the account comes. */
static void
answered_content_is_told (void)
{
  begin_entry ();
  crashrep_answered (witness, "s9", CONTENT, loop_now (loop));
  take_account (2);
  g_assert_false (got (&voter_peer, MESH_ANSWERED));
  crashrep_set_voter (witness, &voter_peer.peer);
  g_assert_true (got (&voter_peer, MESH_ANSWERED));
  g_assert_cmphex (last.MeshMsg_u.answered.contents.contents_val[0], ==, CONTENT);
  end_entry ();
}

/* A server that is said to have ended answers this entry: the path to it was cut for others. */
static void
living_server_is_told (void)
{
  begin_entry ();
  crashrep_set_voter (witness, &voter_peer.peer);
  take_account (2);
  crashrep_answered (witness, "s2", 1, loop_now (loop));
  g_assert_true (got (&voter_peer, MESH_CRASH_RETRACTED));
  g_assert_cmpstr (last.MeshMsg_u.survived.server, ==, "s2");
  end_entry ();
}

/* ---- A voter ---- */

static Voter *voter;
static Suspects *suspects;
static TestPeer entry_peer, other_peer;
static char *folder;

static void
no_send (void *host, uint32_t to, GByteArray *bytes)
{
  (void) host;
  (void) to;
  g_byte_array_unref (bytes);
}

static void
no_commit (void *host)
{
  (void) host;
}

static void
on_blamed (void *host)
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

static const VoterOps voter_ops = { NULL, no_send, no_commit, on_blamed, no_commit, on_verdict };

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
begin_voter (void)
{
  uint32_t self = 0x7f000001;
  VoterConf conf = { .self = self, .seeds = &self, .seed_count = 1, .may_bootstrap = true };

  begin_loop (MESH_VOTER);
  folder = g_dir_make_tmp ("suspects-XXXXXX", NULL);
  conf.folder = folder;
  g_assert_cmpint (voter_new (&conf, loop, &voter_ops, NULL, &voter, NULL), ==, FT_OK);
  suspects = suspects_new (loop, voter);
  entry_peer = test_peer (loop, mesh, 1, MESH_ENTRY, false);
  other_peer = test_peer (loop, mesh, 2, MESH_ENTRY, false);
  each_turn = tick_suspects;
  suspects_up (suspects, &entry_peer.peer);
  run_until (in_charge);
}

static void
end_voter (void)
{
  each_turn = NULL;
  voter_free (voter);
  suspects_free (suspects);
  test_peer_end (&entry_peer);
  test_peer_end (&other_peer);
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
tell_end (uint64_t number, const char *server)
{
  MeshMsg msg = { .kind = MESH_CRASH };
  u_quad_t contents[] = { CONTENT };

  msg.MeshMsg_u.ended = (MeshCrash){ number, (char *) server, 0, { 1, contents } };
  g_assert_true (suspects_message (suspects, &entry_peer.peer, &msg));
}

static bool
entry_got_known (void)
{
  return got (&entry_peer, MESH_CRASH_ACK);
}

static bool
other_got_account (void)
{
  return got (&other_peer, MESH_CRASH_TABLE);
}

/* An entry tells of ends. Each is acknowledged once it is in the log. With the second one all
 * entries hear of the content, and one that comes later hears of it before anything else. */
static void
account_is_told (void)
{
  begin_voter ();
  tell_end (1, "s1");
  run_until (entry_got_known);
  tell_end (2, "s2");
  run_until (entry_got_known);
  suspects_up (suspects, &other_peer.peer);
  g_assert_true (other_got_account ());
  g_assert_cmpuint (last.MeshMsg_u.blamed.suspects.suspects_len, ==, 1);
  g_assert_cmpuint (last.MeshMsg_u.blamed.suspects.suspects_val[0].ends, ==, 2);
  tell_end (3, "s3");
  run_until (other_got_account);
  g_assert_cmpuint (last.MeshMsg_u.blamed.suspects.suspects_val[0].ends, ==, 3);
  tell_end (4, "s3"); /* again: it is known, and acknowledged without another write */
  g_assert_true (entry_got_known ());
  char *list = suspects_list (suspects);
  g_assert_nonnull (strstr (list, "\"quarantined\":true,\"ends\":3"));
  g_free (list);
  end_voter ();
}

static bool
account_is_empty (void)
{
  return got (&other_peer, MESH_CRASH_TABLE) && last.MeshMsg_u.blamed.suspects.suspects_len == 0;
}

/* Another entry has answered the content whole: all hear that nothing is said against it. */
static void
answer_clears (void)
{
  MeshMsg msg = { .kind = MESH_ANSWERED };
  u_quad_t contents[] = { CONTENT };

  begin_voter ();
  suspects_up (suspects, &other_peer.peer);
  tell_end (1, "s1");
  tell_end (2, "s2");
  run_until (other_got_account);
  g_assert_cmpuint (last.MeshMsg_u.blamed.suspects.suspects_val[0].ends, ==, 2);
  msg.MeshMsg_u.answered.contents.contents_len = 1;
  msg.MeshMsg_u.answered.contents.contents_val = contents;
  g_assert_true (suspects_message (suspects, &other_peer.peer, &msg));
  run_until (account_is_empty);
  end_voter ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/witness/until_known", report_is_told_until_known);
  g_test_add_func ("/witness/waits", report_waits_for_a_voter);
  g_test_add_func ("/witness/answered", answered_content_is_told);
  g_test_add_func ("/witness/lives", living_server_is_told);
  g_test_add_func ("/suspects/told", account_is_told);
  g_test_add_func ("/suspects/cleared", answer_clears);
  return g_test_run ();
}
