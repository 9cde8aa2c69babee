/* list.c - the list of servers: how instances read it from the platform and send it to each other.
 */
#include "hsrv.h"
#include "peer.h"
#include "platform.h"
#include "reader.h"
#include "servers.h"

#include <string.h>

static void
read_servers (Servers *servers, unsigned from, unsigned to, int leaving, int64_t at)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (AdapterServer));

  for (unsigned i = from; i < to; i++)
    {
      char *id = g_strdup_printf ("i-%u", i);
      AdapterServer server = { .id = id,
                               .name = id,
                               .service = (char *) "s",
                               .domain = (char *) "z",
                               .addr = { i, 1 },
                               .slots = 4,
                               .leaving = (int) i == leaving };
      g_array_append_val (list, server);
    }
  g_assert_true (servers_apply_read (servers, list, at));
  for (unsigned i = 0; i < list->len; i++)
    g_free (g_array_index (list, AdapterServer, i).id);
  g_array_unref (list);
}

static ServersResult
send_list (const Servers *from, Servers *to, guint held, MeshListKind kind, int64_t now)
{
  MeshList msg;

  servers_build_message (from, now, held, &msg);
  g_assert_cmpint (msg.kind, ==, kind);
  ServersResult taken = servers_apply_message (to, &msg, now);
  servers_clear_message (&msg);
  return taken;
}

/* Sends what changed since the held list, in compressed form. Returns its size in bytes. */
static gsize
send_packed (Servers *from, Servers *to, guint held, int64_t now)
{
  MeshPackedList packed;

  g_assert_true (servers_build_packed (from, now, held, &packed));
  g_assert_cmpint (servers_apply_packed (to, &packed, now), ==, SERVERS_APPLIED);
  g_assert_cmpuint (servers_digest (to), ==, servers_digest (from));
  g_assert_cmpint (servers_asked_at (to), ==, servers_asked_at (from));
  return packed.list.list_len;
}

/* Sends the whole list, as to an instance that requested it. */
static gsize
send_whole (Servers *from, Servers *to, int64_t now)
{
  return send_packed (from, to, SERVERS_HELD_NONE, now);
}

/* Guards against a change that is taken for none, since the digests of two lists are equal: one
 * server is no longer leaving and another one is, or a place has gone from one to another. */
static void
opposite_changes_are_seen (void)
{
  Servers *voter = servers_new (), *entry = servers_new ();
  unsigned seen = 0, plays = 0;

  read_servers (voter, 0, 20, 0, 100);
  send_whole (voter, entry, 200);
  servers_poll_changed (voter);
  servers_poll_changed (entry);
  for (int leaving = 1; leaving < 20; leaving++, plays++)
    {
      guint before = servers_digest (voter);
      int64_t now = 100 + 100 * leaving;
      read_servers (voter, 0, 20, leaving, now);
      bool changed = servers_poll_changed (voter);
      if (!changed)
        continue;
      g_assert_cmpint (send_list (voter, entry, before, MESH_LIST_CHANGES, now + 200), ==,
                       SERVERS_APPLIED);
      seen
          += servers_poll_changed (entry) && servers_find (entry, "i-0")->leaving == (leaving == 0);
    }
  g_test_message ("%u of %u changes seen", seen, plays);
  g_assert_cmpuint (seen, ==, plays);
  servers_free (voter);
  servers_free (entry);
}

/* Of thousands of servers one leaves: only the changes are sent, and the receiver then holds the
 * same list. A receiver that holds another base list reports that, and gets the whole list. */
static void
changes_are_sent (void)
{
  Servers *voter = servers_new (), *entry = servers_new (), *other = servers_new ();

  read_servers (voter, 0, 3000, -1, 100);
  g_assert_cmpint (send_list (voter, entry, SERVERS_HELD_NONE, MESH_LIST_SAME, 200), ==,
                   SERVERS_UNKNOWN_BASE);
  send_whole (voter, entry, 200);
  g_assert_cmpint (servers_asked_at (entry), ==, 100);
  guint before = servers_digest (voter);
  read_servers (voter, 10, 3005, 50, 300);
  g_assert_cmpint (send_list (voter, entry, before, MESH_LIST_CHANGES, 400), ==, SERVERS_APPLIED);
  g_assert_cmpuint (servers_digest (entry), ==, servers_digest (voter));
  g_assert_cmpuint (servers_count (entry), ==, 2995);
  g_assert_true (servers_find (entry, "i-50")->leaving);
  g_assert_null (servers_find (entry, "i-9"));
  g_assert_nonnull (servers_find (entry, "i-3004"));
  read_servers (other, 0, 7, -1, 150);
  g_assert_cmpint (send_list (voter, other, before, MESH_LIST_CHANGES, 400), ==,
                   SERVERS_UNKNOWN_BASE);
  g_assert_cmpuint (servers_count (other), ==, 7);
  send_whole (voter, other, 400);
  read_servers (voter, 10, 3005, 50, 500);
  g_assert_cmpint (send_list (voter, other, servers_digest (other), MESH_LIST_SAME, 600), ==,
                   SERVERS_APPLIED);
  g_assert_cmpint (servers_asked_at (other), ==, 500);
  g_assert_cmpint (send_list (voter, other, servers_digest (other), MESH_LIST_SAME, 600), ==,
                   SERVERS_STALE);
  servers_free (voter);
  servers_free (entry);
  servers_free (other);
}

static void
read_incarnation (Servers *servers, int64_t born_ms, int64_t other_born_ms, int64_t at)
{
  GArray *list = g_array_new (FALSE, TRUE, sizeof (AdapterServer));

  g_array_set_clear_func (list, adapter_server_clear);
  for (unsigned i = 0; i < 2; i++)
    {
      int64_t born = i ? other_born_ms : born_ms;
      AdapterServer server = { .id = g_strdup_printf ("i-1@%d", (int) born),
                               .name = g_strdup ("i-1"),
                               .born_ms = born,
                               .service = g_strdup ("s"),
                               .domain = g_strdup ("z"),
                               .slots = 4 };
      g_array_append_val (list, server);
      if (other_born_ms == 0)
        break;
    }
  g_assert_true (servers_apply_read (servers, list, at));
  g_array_unref (list);
}

/* A server restarts under the same name. Its new incarnation counts as another server, so that
 * running requests, learned figures and connections of the old one are not used for it. An outdated
 * list that still names the old one changes nothing, and of two entries for one name the later
 * start counts. */
static void
new_incarnation_replaces_old (void)
{
  Servers *voter = servers_new (), *entry = servers_new ();

  read_incarnation (voter, 1000, 0, 100);
  guint before = servers_digest (voter);
  g_assert_nonnull (servers_find (voter, "i-1@1000"));
  read_incarnation (voter, 2000, 0, 200);
  g_assert_null (servers_find (voter, "i-1@1000"));
  g_assert_cmpstr (servers_find (voter, "i-1@2000")->name, ==, "i-1");
  g_assert_cmpuint (servers_digest (voter), !=, before);
  read_incarnation (voter, 1000, 0, 300);
  g_assert_null (servers_find (voter, "i-1@1000"));
  g_assert_nonnull (servers_find (voter, "i-1@2000"));
  read_incarnation (voter, 3000, 2000, 400);
  g_assert_cmpuint (servers_count (voter), ==, 1);
  g_assert_nonnull (servers_find (voter, "i-1@3000"));
  send_whole (voter, entry, 500);
  g_assert_cmpstr (servers_find (entry, "i-1@3000")->name, ==, "i-1");
  g_assert_cmpint (servers_find (entry, "i-1@3000")->born_ms, ==, 3000);
  servers_free (voter);
  servers_free (entry);
}

/* Guards against sending the list of 17 KB to each entry, which fills the link of a deputy for a
 * second. All entries change to one deputy at once, and it does not know which lists they hold.
 * Each gets only the digest; one that holds another list, or none, reports that and gets the whole
 * list. */
static void
digest_for_unknown_holder (void)
{
  Servers *deputy = servers_new (), *same = servers_new (), *none = servers_new ();

  read_servers (deputy, 0, 200, -1, 100);
  read_servers (same, 0, 200, -1, 90);
  g_assert_cmpint (send_list (deputy, same, SERVERS_HELD_UNKNOWN, MESH_LIST_SAME, 200), ==,
                   SERVERS_APPLIED);
  g_assert_cmpint (servers_asked_at (same), ==, 100);
  g_assert_cmpint (send_list (deputy, none, SERVERS_HELD_UNKNOWN, MESH_LIST_SAME, 200), ==,
                   SERVERS_UNKNOWN_BASE);
  send_whole (deputy, none, 200);
  g_assert_cmpuint (servers_count (none), ==, 200);
  servers_free (deputy);
  servers_free (same);
  servers_free (none);
}

/* Guards against an entry that never catches up. Servers change with each reading, and the entry
 * misses some changes while its link is full; while it is sent the whole list of 3,000 servers it
 * misses the next changes. It is sent only what changed since the list that it holds, however many
 * versions ago that was. */
static void
changes_since_any_version (void)
{
  Servers *voter = servers_new (), *entry = servers_new ();
  MeshList msg;

  read_servers (voter, 0, 3000, -1, 100);
  send_whole (voter, entry, 150);
  for (int i = 1; i <= 20; i++)
    read_servers (voter, (unsigned) i, (unsigned) (3000 + i), 100 + i, 100 + 100 * i);
  servers_build_message (voter, 2200, servers_digest (entry), &msg);
  g_assert_cmpint (msg.kind, ==, MESH_LIST_CHANGES);
  g_assert_cmpuint (msg.servers.servers_len + msg.removed.removed_len, <, 70);
  g_assert_cmpint (servers_apply_message (entry, &msg, 2200), ==, SERVERS_APPLIED);
  servers_clear_message (&msg);
  g_assert_cmpuint (servers_digest (entry), ==, servers_digest (voter));
  g_assert_cmpuint (servers_count (entry), ==, 3000);
  g_assert_false (servers_find (entry, "i-119")->leaving);
  g_assert_true (servers_find (entry, "i-120")->leaving);
  servers_free (voter);
  servers_free (entry);
}

/* Guards against fetching the list from every voter. Hundreds of instances start at once, each
 * linked to five voters that all hold the list of 3,000 servers; sent by each of them it is 1.7 MB
 * on a link of 10 Mbit/s, and delays grants by more than a second. The list is requested from one
 * voter, from another only if that one does not answer, and is compressed to a quarter of its size.
 */
static void
whole_list_is_requested_once (void)
{
  Servers *voter = servers_new (), *entry = servers_new ();
  MeshList msg;
  unsigned asked = 0;
  int64_t now = 1 * FT_SECOND;

  read_servers (voter, 0, 3000, -1, 100);
  for (unsigned i = 0; i < 5; i++)
    {
      servers_build_message (voter, now, SERVERS_HELD_UNKNOWN, &msg);
      g_assert_cmpint (servers_apply_message (entry, &msg, now), ==, SERVERS_UNKNOWN_BASE);
      asked += servers_may_request (entry, now);
      servers_clear_message (&msg);
    }
  g_assert_cmpuint (asked, ==, 1);
  g_assert_true (servers_may_request (entry, now + FT_SECOND));
  g_assert_cmpuint (send_whole (voter, entry, now), <, 3000 * 25);
  servers_free (voter);
  servers_free (entry);
}

/* Hundreds of servers are added while the deployment starts. Sent one by one they take 100 bytes
 * each, more than the whole compressed list, for each of hundreds of entries. Many changes are
 * compressed together, once for all receivers that hold the same list. */
static void
many_changes_are_packed (void)
{
  Servers *voter = servers_new (), *entry = servers_new (), *other = servers_new ();

  read_servers (voter, 0, 1000, -1, 100);
  send_whole (voter, entry, 150);
  send_whole (voter, other, 150);
  guint before = servers_digest (entry);
  read_servers (voter, 0, 1900, -1, 300);
  g_assert_cmpuint (send_packed (voter, entry, before, 400), <, 900 * 25);
  g_assert_cmpuint (send_packed (voter, other, before, 410), <, 900 * 25);
  g_assert_cmpuint (servers_count (other), ==, 1900);
  before = servers_digest (entry);
  read_servers (voter, 0, 2000, -1, 500);
  g_assert_cmpuint (send_packed (voter, entry, before, 600), <, 100 * 30);
  g_assert_cmpuint (servers_count (entry), ==, 2000);
  servers_free (voter);
  servers_free (entry);
  servers_free (other);
}

/* Guards against computing the same changes for each of a thousand links with a pass over all
 * servers, which kept the voter in charge busy for half a second. */
static void
changes_are_computed_once (void)
{
  static const unsigned counts[] = { 30, 300 };

  for (unsigned c = 0; c < G_N_ELEMENTS (counts); c++)
    {
      Loop *links = loop_new ();
      Mesh *mesh = test_mesh_new (links, MESH_VOTER, 22800);
      Servers *voter = servers_new ();
      TestPeer *peers = g_new0 (TestPeer, counts[c]);
      read_servers (voter, 0, 3000, -1, 100);
      guint before = servers_digest (voter);
      read_servers (voter, 0, 3000, 7, 300);
      for (unsigned i = 0; i < counts[c]; i++)
        {
          MeshMsg msg;
          peers[i] = test_peer_new (links, mesh, i + 1, MESH_ENTRY, false);
          g_assert_true (servers_send (voter, &peers[i].peer, 400, before));
          g_assert_true (test_peer_next (&peers[i], &msg));
          g_assert_cmpint (msg.MeshMsg_u.list.kind, ==, MESH_LIST_CHANGES);
          g_assert_cmpuint (msg.MeshMsg_u.list.servers.servers_len, ==, 1);
          codec_clear (CODEC (MeshMsg), &msg);
          test_peer_free (&peers[i]);
        }
      g_assert_cmpuint (servers_messages_built (voter), ==, 1);
      g_free (peers);
      servers_free (voter);
      mesh_free (mesh);
      loop_free (links);
    }
}

static void
truncated_list_is_rejected (void)
{
  Servers *voter = servers_new (), *entry = servers_new ();
  MeshPackedList whole;

  read_servers (voter, 0, 50, -1, 100);
  g_assert_true (servers_build_packed (voter, 200, SERVERS_HELD_NONE, &whole));
  for (u_int cut = 0; cut < whole.list.list_len; cut++)
    {
      MeshPackedList part = { whole.age_us, { cut, whole.list.list_val } };
      g_assert_cmpint (servers_apply_packed (entry, &part, 200), ==, SERVERS_UNKNOWN_BASE);
    }
  g_assert_cmpuint (servers_count (entry), ==, 0);
  servers_free (voter);
  servers_free (entry);
}

/* ---- Reading the list from the platform ---- */

#define PORT  18199
#define PAGES 8
#define GUARD (20 * FT_SECOND)

static Loop *loop;
static unsigned calls, refusals, read_count;
static bool failed;

/* Serves the platform's list and refuses every third call as over the rate limit. */
static void
on_call (void *owner, HCall *call)
{
  const char *target = hmsg_target (hcall_msg (call));
  const char *token = strstr (target, "PageToken=p");
  unsigned page = token ? (unsigned) atoi (token + strlen ("PageToken=p")) : 0;

  (void) owner;
  if (++calls % 3 == 0)
    {
      refusals++;
      hcall_reply (call, 429, NULL, "", 0);
      return;
    }
  char *next = page + 1 < PAGES ? g_strdup_printf ("\"p%u\"", page + 1) : g_strdup ("null");
  char *body = g_strdup_printf (
      "{\"Instances\":[{\"Service\":\"s\",\"Address\":\"10.0.0.%u:80\",\"Zone\":\"z\",\"Version\":"
      "\"v\","
      "\"Slots\":4,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Id\":\"i-%u\"}],\"Next\":%s}",
      page + 1, page, next);
  hcall_reply (call, 200, NULL, body, strlen (body));
  g_free (body);
  g_free (next);
}

static void
on_gone (void *owner, HCall *call)
{
  (void) owner;
  (void) call;
}

static const HSrvOps list_ops = { on_call, on_gone, NULL };

static void
on_read (void *host, const GArray *list, int64_t asked_at, const char *why)
{
  (void) host;
  (void) asked_at;
  (void) why;
  failed = list == NULL;
  read_count = list ? list->len : 0;
  loop_stop (loop);
}

static void
on_guard (LoopTimer *timer)
{
  (void) timer;
  g_error ("the list was not read within 20 s");
}

/* Guards against a pass over the list that never ends. Others read the list too, so that now and
 * then a call is over the platform's rate limit; if one refused call discards a pass of many calls,
 * no server is ever known. Only the refused call is repeated. */
static void
refused_call_is_repeated (void)
{
  LoopTimer guard = { .fire = on_guard };

  loop = loop_new ();
  HCli *cli = hcli_new (loop);
  /* Each process uses another loopback address. */
  SockAddr addr = { 0x7f000001u + ((unsigned) getpid () % 60000 << 8), PORT };
  HSrv *list = hsrv_new (loop, addr, &list_ops, NULL);
  g_assert_nonnull (list);
  Reader *reader = reader_new (loop, cli, platform_adapter_ops (), addr, on_read, NULL);
  loop_timer_set (loop, &guard, loop_now (loop) + GUARD);
  reader_start (reader);
  g_assert_true (reader_busy (reader));
  loop_run (loop);
  g_assert_false (failed);
  g_assert_cmpuint (refusals, >, 0);
  g_assert_cmpuint (read_count, ==, PAGES);
  g_assert_cmpuint (reader_last_pages (reader), ==, PAGES);
  g_assert_false (reader_busy (reader));
  loop_timer_stop (loop, &guard);
  reader_free (reader);
  hsrv_free (list);
  hcli_free (cli);
  loop_free (loop);
}

/* ---- A page without end ---- */

#define ENDLESS_PIECE (64u << 10) /* bytes written at once */

static size_t endless_written;

static void
write_endless (HCall *call)
{
  char *piece = g_strnfill (ENDLESS_PIECE, ' ');

  while (!hcall_is_full (call))
    {
      hcall_write (call, piece, ENDLESS_PIECE);
      endless_written += ENDLESS_PIECE;
    }
  g_free (piece);
}

static void
on_endless_call (void *owner, HCall *call)
{
  (void) owner;
  hcall_begin (call, 200, NULL);
  write_endless (call);
}

static void
on_endless_drained (void *owner, HCall *call)
{
  (void) owner;
  write_endless (call);
}

static const HSrvOps endless_ops = { on_endless_call, on_gone, on_endless_drained };

/* Guards against a page of the list that never ends and fills the memory of its reader. */
static void
page_without_end (void)
{
  LoopTimer guard = { .fire = on_guard };

  loop = loop_new ();
  HCli *cli = hcli_new (loop);
  SockAddr addr = { 0x7f000001u + ((unsigned) getpid () % 60000 << 8), PORT };
  HSrv *list = hsrv_new (loop, addr, &endless_ops, NULL);
  g_assert_nonnull (list);
  Reader *reader = reader_new (loop, cli, platform_adapter_ops (), addr, on_read, NULL);
  loop_timer_set (loop, &guard, loop_now (loop) + GUARD);
  for (unsigned i = 0; i < 2; i++)
    {
      endless_written = 0;
      reader_start (reader);
      loop_run (loop);
      g_assert_true (failed);
      g_assert_cmpuint (endless_written, >, 4u << 20);
      g_assert_cmpuint (endless_written, <, 32u << 20);
      g_assert_false (reader_busy (reader));
    }
  loop_timer_stop (loop, &guard);
  reader_free (reader);
  hsrv_free (list);
  hcli_free (cli);
  loop_free (loop);
}

/* Guards against entries exceeding the platform's rate limit. The voter's pass over a list of 60
 * pages takes a second, so hundreds of entries found their list too old and read it themselves;
 * their calls and the voter's were then over the rate, and no change was seen any more. Together
 * the entries stay within a part of the rate, and accept a list as old as two slow passes make it.
 * A few entries with a short list read it soon enough that a leaving server gets no new requests
 * for long. */
static void
fallback_reads_stay_within_rate (void)
{
  ReaderFallback large = { .calls = 60, .readers = 291, .rate = 40 };
  ReaderFallback small = { .calls = 1, .readers = 7, .rate = 40 };
  ReaderFallback deputy = { .calls = 1, .readers = 7, .rate = 40, .for_others = true };
  double calls_per_s = 291 * 60 / ((double) reader_fallback_interval (&large) / 1e6);

  g_assert_cmpfloat (calls_per_s, <=, 40 * 0.31);
  g_assert_cmpint (reader_max_age (&large), >=, 3500 * FT_MS);
  g_assert_cmpint (reader_max_age (&small), <=, 2600 * FT_MS);
  g_assert_cmpint (reader_fallback_interval (&small), <=, 1500 * FT_MS);
  g_assert_cmpint (reader_fallback_interval (&deputy), <=, 1 * FT_SECOND);
  g_assert_cmpint (reader_max_age (&deputy), <=, 1100 * FT_MS);
}

/* Guards against reading a list of 15 pages as often as one of 2, which took more calls than
 * everything else together. Changes are still seen within the time that servers drain. */
static void
long_list_is_read_less_often (void)
{
  static const int64_t drains[] = { 3 * FT_SECOND, 4 * FT_SECOND, 5 * FT_SECOND };

  for (unsigned i = 0; i < G_N_ELEMENTS (drains); i++)
    for (unsigned pages = 1; pages <= 60; pages++)
      {
        ReaderSchedule plan = { pages, 190, true, drains[i] };
        int64_t every = reader_pass_interval (&plan),
                pass_time = (int64_t) (pages / 60.0 * FT_SECOND);
        g_assert_cmpint (every + pass_time + 400 * FT_MS, <=, drains[i]);
        if (pages <= 6)
          g_assert_cmpint (every, ==, 700 * FT_MS);
      }
  ReaderSchedule fleet = { 15, 190, true, 5 * FT_SECOND };
  g_assert_cmpint (15 * FT_SECOND / reader_pass_interval (&fleet), <=, 10); /* calls per second */
}

/* Guards against a thousand entries that lose the schedulers at the same moment and read the list
 * at once. */
static void
first_reads_are_spread (void)
{
  static const unsigned counts[] = { 12, 100, 1000 };

  for (unsigned i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      ReaderFallback need = { .calls = 15, .readers = counts[i], .rate = 190 };
      uint64_t state = 3;
      double made = 0;
      for (unsigned j = 0; j < counts[i]; j++)
        {
          state = state * 6364136223846793005u + 1442695040888963407u;
          made += 15 * (reader_first_delay (&need, state >> 20) < 5 * FT_SECOND);
        }
      g_assert_cmpfloat (made, <=, 5 * 190); /* calls in the first 5 s */
    }
  ReaderFallback small = { .calls = 1, .readers = 12, .rate = 40 };
  g_assert_cmpint (reader_first_delay (&small, 12345), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/list/changes", changes_are_sent);
  g_test_add_func ("/list/opposite_changes", opposite_changes_are_seen);
  g_test_add_func ("/list/unknown_holder", digest_for_unknown_holder);
  g_test_add_func ("/list/lifetimes", new_incarnation_replaces_old);
  g_test_add_func ("/list/steps", changes_since_any_version);
  g_test_add_func ("/list/fetched_once", whole_list_is_requested_once);
  g_test_add_func ("/list/many_changes", many_changes_are_packed);
  g_test_add_func ("/list/many_links", changes_are_computed_once);
  g_test_add_func ("/list/spoilt", truncated_list_is_rejected);
  g_test_add_func ("/list/read_rarely", fallback_reads_stay_within_rate);
  g_test_add_func ("/list/left_alone", first_reads_are_spread);
  g_test_add_func ("/list/fewer_calls", long_list_is_read_less_often);
  g_test_add_func ("/list/over_the_rate", refused_call_is_repeated);
  g_test_add_func ("/list/page_without_end", page_without_end);
  return g_test_run ();
}
