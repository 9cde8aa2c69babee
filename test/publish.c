/* publish.c - what a voter sends to hundreds of entries, and how much of it at once. The log is a
 * real one with a single voter; the test simulates the entries over socket pairs. */
#include "publish.h"
#include "peer.h"
#include "compress.h"
#include "bcast.h"

#include <glib/gstdio.h>

#define ENTRIES     30
#define ENTRIES_MAX 300
#define TICK_BYTES  (256u << 10) /* catalogues sent in one tick, docs/CAPACITY.md */

static Loop *loop;
static Mesh *mesh;
static Voter *voter;
static Servers *servers;
static Broker *broker;
static Publish *publish;
static TestPeer entries[ENTRIES_MAX];
static unsigned entry_count;
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

static uint64_t last_ticket;
static FtStatus last_status;

static void
note_verdict (void *host, uint64_t ticket, FtStatus status)
{
  (void) host;
  last_ticket = ticket;
  last_status = status;
}

static unsigned pack_count, crash_reports;

static void
on_crash_table (void *host)
{
  (void) host;
  crash_reports++;
}

static GThread *loop_thread;
static gint read_count;
static gint gate_closed; /* the log's thread stands still as it reads a document */

static RtCat *
read_document (void *host, GBytes *document, uint64_t number, GBytes **text, FtError *error)
{
  gsize size;
  const void *data = g_bytes_get_data (document, &size);

  (void) host;
  (void) number;
  (void) error;
  g_assert_true (g_thread_self () != loop_thread);
  g_atomic_int_inc (&read_count);
  while (g_atomic_int_get (&gate_closed))
    g_usleep (1000);
  *text = compress_unpack (data, size);
  return NULL;
}

static const VoterOps voter_ops = { read_document, ignore_send,   ignore_commit, on_crash_table,
                                    ignore_commit, ignore_commit, note_verdict };

static void
read_list (void)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (AdapterServer));
  AdapterServer server = { .id = (char *) "i",
                           .name = (char *) "i",
                           .service = (char *) "s",
                           .domain = (char *) "z",
                           .addr = { 1, 1 },
                           .slots = 4 };

  g_array_append_val (list, server);
  g_assert_true (servers_apply_read (servers, list, loop_now (loop)));
  g_array_unref (list);
}

static void
set_up (unsigned count)
{
  uint32_t self = 0x7f000001;
  VoterConf conf = { .self = self, .seeds = &self, .seed_count = 1, .may_bootstrap = true };

  loop_thread = g_thread_self ();
  g_atomic_int_set (&read_count, 0);
  loop = loop_new ();
  folder = g_dir_make_tmp ("publish-XXXXXX", NULL);
  conf.folder = folder;
  mesh = test_mesh_new (loop, MESH_VOTER, 22400);
  g_assert_cmpint (voter_new (&conf, loop, &voter_ops, NULL, &voter, NULL), ==, FT_OK);
  servers = servers_new ();
  broker = broker_new (loop, "voter", NULL, NULL);
  publish = publish_new (loop, voter, servers, broker);
  entry_count = count;
  for (unsigned i = 0; i < entry_count; i++)
    entries[i] = test_peer_new (loop, mesh, i + 1, MESH_ENTRY, false);
}

static void
tear_down (void)
{
  for (unsigned i = 0; i < entry_count; i++)
    {
      publish_link_down (publish, &entries[i].peer);
      test_peer_free (&entries[i]);
    }
  publish_free (publish);
  mesh_free (mesh);
  mesh = NULL;
  voter_free (voter);
  broker_free (broker);
  servers_free (servers);
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

/* Number of messages of this kind that the entry got since the last call. */
static unsigned
count_received (TestPeer *entry, MeshKind kind)
{
  unsigned count = 0;
  MeshMsg msg;

  while (test_peer_next (entry, &msg))
    {
      count += msg.kind == kind;
      codec_clear (CODEC (MeshMsg), &msg);
    }
  return count;
}

/* Guards against whole lists that fill the voter's link for seconds, with grants delayed behind
 * them, when hundreds of entries start together. Only some entries are sent the list in each tick,
 * and each entry once. */
static void
whole_lists_are_spread_over_ticks (void)
{
  unsigned sent[ENTRIES] = { 0 }, ticks = 0, total = 0;

  set_up (ENTRIES);
  read_list ();
  for (unsigned i = 0; i < ENTRIES; i++)
    {
      publish_link_up (publish, &entries[i].peer);
      publish_request_list (&entries[i].peer);
      g_assert_cmpuint (count_received (&entries[i], MESH_PACKED_LIST), ==, 0);
    }
  for (; total < ENTRIES && ticks < 10; ticks++)
    {
      unsigned before = total;
      publish_tick (publish);
      for (unsigned i = 0; i < ENTRIES; i++)
        {
          sent[i] += count_received (&entries[i], MESH_PACKED_LIST);
          g_assert_cmpuint (sent[i], <=, 1);
        }
      total = 0;
      for (unsigned i = 0; i < ENTRIES; i++)
        total += sent[i];
      g_assert_cmpuint (total - before, <=, 12);
    }
  g_assert_cmpuint (total, ==, ENTRIES);
  g_assert_cmpuint (ticks, ==, 3);
  tear_down ();
}

/* The number of entries in the last view that the entry got; 0: it got none. */
static unsigned
last_view_entries (TestPeer *entry)
{
  unsigned shown = 0;
  MeshMsg msg;

  while (test_peer_next (entry, &msg))
    {
      if (msg.kind == MESH_VIEW)
        shown = msg.MeshMsg_u.view.entries;
      codec_clear (CODEC (MeshMsg), &msg);
    }
  return shown;
}

/* Guards against views that take as many bytes as all requests together: while entries are
 * restarted in turn, their number changes many times a second. A view is sent again only after the
 * number has changed by more than a sixteenth. */
static void
entry_count_is_damped (void)
{
  set_up (ENTRIES);
  for (unsigned i = 0; i < ENTRIES; i++)
    publish_link_up (publish, &entries[i].peer);
  publish_tick (publish); /* this tick chooses the deputies */
  publish_views (publish);
  g_assert_cmpuint (last_view_entries (&entries[0]), ==, ENTRIES);
  for (unsigned turn = 0; turn < 6; turn++)
    {
      entries[ENTRIES - 1].peer.leaving = turn % 2 == 0;
      publish_views (publish);
      g_assert_cmpuint (last_view_entries (&entries[0]), ==, ENTRIES);
    }
  for (unsigned i = ENTRIES - 3; i < ENTRIES; i++)
    entries[i].peer.leaving = true;
  publish_views (publish);
  g_assert_cmpuint (last_view_entries (&entries[0]), ==, ENTRIES - 3);
  tear_down ();
}

/* ---- Catalogues ---- */

static void
on_stop (LoopTimer *timer)
{
  (void) timer;
  loop_stop (loop);
}

static void
run_for (int64_t us)
{
  LoopTimer timer = { .fire = on_stop };

  loop_timer_set (loop, &timer, loop_now (loop) + us);
  loop_run (loop);
}

/* A packed catalogue with 1,000 names that do not compress. changed: value of one of them. */
static GBytes *
catalogue (uint64_t number, unsigned changed)
{
  GString *text = g_string_new (NULL);
  uint64_t state = 5;

  g_string_append_printf (text, "{\"Version\":%" G_GUINT64_FORMAT ",", number);
  for (unsigned i = 0; i < 1000; i++)
    {
      state = state * 6364136223846793005u + 1442695040888963407u;
      g_string_append_printf (text, "{\"Name\":\"%016" G_GINT64_MODIFIER "x\",\"Value\":%u},",
                              state, i == 500 ? changed : 1);
    }
  GBytes *packed = compress_pack (text->str, text->len);
  g_string_free (text, TRUE);
  return packed;
}

static void
commit (uint64_t number)
{
  GBytes *document = catalogue (number, (unsigned) number);

  for (unsigned turn = 0; voter_newest_number (voter) < number && turn < 1000; turn++)
    {
      if (turn % 50 == 0)
        voter_propose (voter, number, document);
      run_for (20 * FT_MS);
    }
  g_assert_cmpuint (voter_newest_number (voter), ==, number);
  g_bytes_unref (document);
}

/* Bytes of catalogues that all entries got since the last call, at most one catalogue each.
 * confirms: each entry then reports that it has this version. */
static size_t
received_document_bytes (uint64_t number, bool confirms)
{
  size_t bytes = 0;

  for (unsigned i = 0; i < entry_count; i++)
    {
      unsigned count = 0;
      MeshMsg msg;
      while (test_peer_next (&entries[i], &msg))
        {
          if (msg.kind == MESH_DOCUMENT)
            {
              count++;
              bytes += msg.MeshMsg_u.document.text.text_len;
              g_assert_cmpuint (msg.MeshMsg_u.document.number, ==, number);
            }
          codec_clear (CODEC (MeshMsg), &msg);
        }
      g_assert_cmpuint (count, <=, 1);
      if (count && confirms)
        entries[i].peer.document = number;
    }
  return bytes;
}

static unsigned
count_outdated (uint64_t number)
{
  unsigned count = 0;

  for (unsigned i = 0; i < entry_count; i++)
    count += entries[i].peer.document < number;
  return count;
}

static void
bring_links_up (uint64_t number)
{
  for (unsigned i = 0; i < entry_count; i++)
    {
      publish_link_up (publish, &entries[i].peer);
      received_document_bytes (number, true);
    }
}

/* Guards against sending the whole catalogue to each entry for a change of one field, which delayed
 * grants on the link. */
static void
changes_are_sent_as_deltas (void)
{
  static const unsigned counts[] = { 30, 300 };

  for (unsigned c = 0; c < G_N_ELEMENTS (counts); c++)
    {
      set_up (counts[c]);
      commit (1);
      publish_documents (publish);
      bring_links_up (1);
      g_assert_cmpuint (count_outdated (1), ==, 0);
      commit (2);
      publish_documents (publish);
      g_assert_cmpuint (received_document_bytes (2, true), <=, 200 * counts[c]);
      g_assert_cmpuint (count_outdated (2), ==, 0);
      tear_down ();
    }
}

/* Guards against filling the link with whole catalogues for all entries in one iteration of the
 * loop. */
static void
whole_catalogues_are_spread_over_ticks (void)
{
  GBytes *document = catalogue (10, 10);
  size_t most = TICK_BYTES + g_bytes_get_size (document);
  unsigned ticks = 0;

  g_bytes_unref (document);
  set_up (300);
  commit (1);
  publish_documents (publish);
  bring_links_up (1);
  for (uint64_t number = 2; number <= 10; number++) /* more versions than the voter keeps */
    {
      commit (number);
      publish_documents (publish);
      for (unsigned i = 0; i < entry_count; i++)
        entries[i].peer.document = 1;
      if (number < 10)
        received_document_bytes (number, false);
    }
  for (unsigned i = 0; i < entry_count; i++)
    publish_link_down (publish, &entries[i].peer);
  received_document_bytes (10, false);
  for (unsigned i = 0; i < entry_count; i++)
    entries[i].peer.document = 10;
  bring_links_up (10);
  for (unsigned i = 0; i < entry_count; i++)
    entries[i].peer.document = 1;
  for (; count_outdated (10) > 0 && ticks < 100; ticks++)
    {
      publish_tick (publish);
      g_assert_cmpuint (received_document_bytes (10, true), <=, most);
    }
  g_assert_cmpuint (count_outdated (10), ==, 0);
  g_assert_cmpuint (ticks, >, 1);
  tear_down ();
}

/* Guards against delayed grants and views: a catalogue of 1,500 routes was unpacked twice and
 * parsed in the event loop of the voter in charge. Each version is parsed once, in the thread of
 * the log, however many entries it is sent to. */
static void
documents_are_parsed_once (void)
{
  FtError error;
  uint64_t number;

  set_up (ENTRIES);
  for (uint64_t version = 1; version <= 3; version++)
    {
      commit (version);
      g_assert_null (voter_catalogue (voter, &number, &error));
      g_assert_cmpuint (number, ==, version);
      publish_documents (publish);
    }
  bring_links_up (3);
  g_assert_cmpuint (count_outdated (3), ==, 0);
  g_assert_cmpint (g_atomic_int_get (&read_count), ==, 3);
  tear_down ();
}

/* Guards against changes that pile up in memory while the disk stands still. */
static void
queued_changes_are_bounded (void)
{
  char *text = g_malloc0 (3u << 20);
  GBytes *large = g_bytes_new_take (text, 3u << 20);
  unsigned taken = 0;

  set_up (0);
  commit (1);
  g_atomic_int_set (&gate_closed, 1);
  voter_propose (voter, 2, large);
  while (g_atomic_int_get (&read_count) < 2)
    run_for (20 * FT_MS);
  for (unsigned i = 0; i < 20; i++)
    taken += voter_propose (voter, 3, large) != 0;
  g_assert_cmpuint (taken, ==, 5); /* 16 MB */
  g_atomic_int_set (&gate_closed, 0);
  while (voter_newest_number (voter) < 3)
    run_for (20 * FT_MS);
  g_assert_cmpuint (voter_propose (voter, 4, large), >, 0);
  while (voter_newest_number (voter) < 4)
    run_for (20 * FT_MS);
  g_bytes_unref (large);
  tear_down ();
}

static void *
open_gate (void *data)
{
  g_usleep (200000);
  g_atomic_int_set (&gate_closed, 0);
  return data;
}

/* Guards against work that is queued as the voter ends and never freed, for which the leak checker
 * fails a process that was asked to stop. */
static void
stopped_with_work (void)
{
  MsgOp op = { .kind = MSG_OP_CRASH_RETRACTED, .MsgOp_u.survived = { (char *) "s" } };
  GBytes *document = catalogue (2, 2);

  set_up (0);
  commit (1);
  g_atomic_int_set (&gate_closed, 1);
  voter_propose (voter, 2, document);
  while (g_atomic_int_get (&read_count) < 2)
    run_for (20 * FT_MS);
  voter_propose_op (voter, &op);
  GThread *opener = g_thread_new ("gate", open_gate, NULL);
  tear_down (); /* joins the log's thread, which takes no more work */
  g_thread_join (opener);
  g_bytes_unref (document);
}

/* Guards against a voter that ends since an operation exceeds a bound of the log's messages. */
static void
unpackable_operation (void)
{
  char name[200] = "";
  MsgOp op = { .kind = MSG_OP_CRASH_RETRACTED, .MsgOp_u.survived = { name } };

  memset (name, 'n', sizeof name - 1);
  set_up (0);
  commit (1);
  uint64_t ticket = voter_propose_op (voter, &op);
  while (last_ticket != ticket)
    run_for (20 * FT_MS);
  g_assert_cmpint (last_status, ==, FT_INVALID);
  commit (2);
  tear_down ();
}

static GBytes *
pack_message (void *host)
{
  MeshMsg msg = { .kind = MESH_ROLLOUTS };

  (void) host;
  pack_count++;
  return mesh_pack (&msg);
}

/* Guards against packing a broadcast message once per entry. It is packed once for all. */
static void
messages_are_packed_once (void)
{
  Broadcast *tell = bcast_new ("test", pack_message, NULL);

  set_up (ENTRIES);
  for (unsigned i = 0; i < ENTRIES; i++)
    bcast_link_up (tell, &entries[i].peer, false);
  pack_count = 0;
  bcast_send_all (tell);
  g_assert_cmpuint (pack_count, ==, 0);
  bcast_changed (tell);
  bcast_send_all (tell);
  g_assert_cmpuint (pack_count, ==, 1);
  for (unsigned i = 0; i < ENTRIES; i++)
    g_assert_cmpuint (count_received (&entries[i], MESH_ROLLOUTS), ==, 1);
  bcast_free (tell);
  tear_down ();
}

/* More voters than a view can name. */
static GBytes *
pack_too_large (void *host)
{
  uint32_t voters[MESH_VOTERS_MAX + 1] = { 0 };
  MeshMsg msg = { .kind = MESH_VIEW };

  (void) host;
  pack_count++;
  msg.MeshMsg_u.view.voters.voters_len = G_N_ELEMENTS (voters);
  msg.MeshMsg_u.view.voters.voters_val = voters;
  return mesh_pack (&msg);
}

/* Guards against a voter that ends since a message exceeds a bound of its type: nothing is sent,
 * and it is not packed again until it has changed. */
static void
message_too_large (void)
{
  Broadcast *tell = bcast_new ("test", pack_too_large, NULL);

  set_up (ENTRIES);
  pack_count = 0;
  for (unsigned i = 0; i < ENTRIES; i++)
    bcast_link_up (tell, &entries[i].peer, i == 0);
  g_assert_cmpuint (pack_count, ==, 1);
  for (unsigned i = 0; i < 3; i++)
    {
      bcast_changed (tell);
      bcast_send_all (tell);
      bcast_send_all (tell);
    }
  g_assert_cmpuint (pack_count, ==, 4);
  for (unsigned i = 0; i < ENTRIES; i++)
    g_assert_cmpuint (count_received (&entries[i], MESH_VIEW), ==, 0);
  bcast_free (tell);
  tear_down ();
}

static unsigned
count_suspects (void)
{
  GBytes *bytes = voter_crash_table (voter);
  MsgCrashTable account = { 0 };
  gsize size;

  if (bytes == NULL)
    return 0;
  const void *data = g_bytes_get_data (bytes, &size);
  g_assert_cmpint (codec_unpack (CODEC (MsgCrashTable), data, size, &account, NULL), ==, FT_OK);
  unsigned count = account.suspects.suspects_len;
  codec_clear (CODEC (MsgCrashTable), &account);
  g_bytes_unref (bytes);
  return count;
}

/* Guards against reading the whole crash table once per crash. While the event loop of the voter in
 * charge waited for a processor, the thread of the log committed a hundred crashes, and the loop
 * then read the same table for each of them. One report covers all crashes committed so far; later
 * ones are reported again. */
static void
one_report_covers_all_crashes (void)
{
  enum
  {
    ENDS = 100
  };
  MsgOp op = { .kind = MSG_OP_CRASH };
  MsgCrash *ended = &op.MsgOp_u.ended;
  uint64_t content = 0;

  set_up (0);
  commit (1); /* the voter leads from here on */
  crash_reports = 0;
  ended->server = (char *) "i";
  ended->contents.contents_len = 1;
  ended->contents.contents_val = &content;
  while (content < ENDS)
    {
      content++;
      ended->wall_ms = (int64_t) content * 1000 * 1000;
      voter_propose_op (voter, &op);
    }
  for (unsigned turn = 0; count_suspects () < ENDS && turn < 20000; turn++)
    g_usleep (1000);
  g_assert_cmpuint (count_suspects (), ==, ENDS);
  run_for (20 * FT_MS);
  g_assert_cmpuint (crash_reports, ==, 1);
  content++;
  ended->wall_ms = (int64_t) content * 1000 * 1000;
  voter_propose_op (voter, &op);
  for (unsigned turn = 0; crash_reports < 2 && turn < 1000; turn++)
    run_for (20 * FT_MS);
  g_assert_cmpuint (crash_reports, ==, 2);
  tear_down ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/publish/whole_lists", whole_lists_are_spread_over_ticks);
  g_test_add_func ("/publish/entries", entry_count_is_damped);
  g_test_add_func ("/publish/changes", changes_are_sent_as_deltas);
  g_test_add_func ("/publish/paced", whole_catalogues_are_spread_over_ticks);
  g_test_add_func ("/publish/read_once", documents_are_parsed_once);
  g_test_add_func ("/publish/packed_once", messages_are_packed_once);
  g_test_add_func ("/publish/too_large", message_too_large);
  g_test_add_func ("/publish/stopped_with_work", stopped_with_work);
  g_test_add_func ("/publish/unpackable", unpackable_operation);
  g_test_add_func ("/publish/queued_changes", queued_changes_are_bounded);
  g_test_add_func ("/publish/reports", one_report_covers_all_crashes);
  return g_test_run ();
}
