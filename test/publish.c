/* publish.c - what a voter tells hundreds of entries, and how much of it at once. The log is a real
 * one without other voters; entries are played over socket pairs. */
#include "publish.h"
#include "peer.h"
#include "compress.h"
#include "bcast.h"

#include <glib/gstdio.h>

#define ENTRIES      30
#define ENTRIES_MOST 300
#define A_TICK       (256u << 10) /* bytes of catalogues, docs/CAPACITY.md */

static Loop *loop;
static Mesh *mesh;
static Voter *voter;
static Servers *servers;
static Broker *broker;
static Publish *publish;
static TestPeer entries[ENTRIES_MOST];
static unsigned entry_count;
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
no_verdict (void *host, uint64_t ticket, FtStatus status)
{
  (void) host;
  (void) ticket;
  (void) status;
}

static unsigned packs, blamed;

static void
on_blamed (void *host)
{
  (void) host;
  blamed++;
}

static GThread *loops; /* the loop's thread */
static gint reads;

static RtCat *
read_document (void *host, GBytes *document, GBytes **text, FtError *error)
{
  gsize size;
  const void *data = g_bytes_get_data (document, &size);

  (void) host;
  (void) error;
  g_assert_true (g_thread_self () != loops);
  g_atomic_int_inc (&reads);
  *text = compress_unpack (data, size);
  return NULL;
}

static const VoterOps voter_ops
    = { read_document, no_send, no_commit, on_blamed, no_commit, no_verdict };

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
begin (unsigned count)
{
  uint32_t self = 0x7f000001;
  VoterConf conf = { .self = self, .seeds = &self, .seed_count = 1, .may_bootstrap = true };

  loops = g_thread_self ();
  g_atomic_int_set (&reads, 0);
  loop = loop_new ();
  folder = g_dir_make_tmp ("publish-XXXXXX", NULL);
  conf.folder = folder;
  mesh = test_mesh (loop, MESH_VOTER, 22400);
  g_assert_cmpint (voter_new (&conf, loop, &voter_ops, NULL, &voter, NULL), ==, FT_OK);
  servers = servers_new ();
  broker = broker_new (loop, "voter", NULL, NULL);
  publish = publish_new (loop, voter, servers, broker);
  entry_count = count;
  for (unsigned i = 0; i < entry_count; i++)
    entries[i] = test_peer (loop, mesh, i + 1, MESH_ENTRY, false);
}

static void
end (void)
{
  for (unsigned i = 0; i < entry_count; i++)
    {
      publish_link_down (publish, &entries[i].peer);
      test_peer_end (&entries[i]);
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

/* Messages of a kind that the entry has got since it was asked last. */
static unsigned
got (TestPeer *entry, MeshKind kind)
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

/* Hundreds of entries that start together all want the whole list. Sent to all at once it fills a
 * voter's link for seconds, and grants wait behind it. Some are sent it with each tick, each entry
 * once. */
static void
whole_lists_are_paced (void)
{
  unsigned sent[ENTRIES] = { 0 }, ticks = 0, total = 0;

  begin (ENTRIES);
  read_list ();
  for (unsigned i = 0; i < ENTRIES; i++)
    {
      publish_link_up (publish, &entries[i].peer);
      publish_request_list (&entries[i].peer);
      g_assert_cmpuint (got (&entries[i], MESH_PACKED_LIST), ==, 0);
    }
  for (; total < ENTRIES && ticks < 10; ticks++)
    {
      unsigned before = total;
      publish_tick (publish);
      for (unsigned i = 0; i < ENTRIES; i++)
        {
          sent[i] += got (&entries[i], MESH_PACKED_LIST);
          g_assert_cmpuint (sent[i], <=, 1);
        }
      total = 0;
      for (unsigned i = 0; i < ENTRIES; i++)
        total += sent[i];
      g_assert_cmpuint (total - before, <=, 12);
    }
  g_assert_cmpuint (total, ==, ENTRIES);
  g_assert_cmpuint (ticks, ==, 3);
  end ();
}

/* How many entries the view that the entry got last speaks of; 0: it got none. */
static unsigned
shown_entries (TestPeer *entry)
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

/* Entries are restarted in turn, so that their number changes many times a second. Shown each time
 * it is as many bytes as all asks together. The view stays the same, and is not sent again, until
 * the number has moved by more than a sixteenth. */
static void
number_of_entries_is_steady (void)
{
  begin (ENTRIES);
  for (unsigned i = 0; i < ENTRIES; i++)
    publish_link_up (publish, &entries[i].peer);
  publish_tick (publish); /* chooses deputies */
  publish_views (publish);
  g_assert_cmpuint (shown_entries (&entries[0]), ==, ENTRIES);
  for (unsigned turn = 0; turn < 6; turn++)
    {
      entries[ENTRIES - 1].peer.leaving = turn % 2 == 0;
      publish_views (publish);
      g_assert_cmpuint (shown_entries (&entries[0]), ==, ENTRIES);
    }
  for (unsigned i = ENTRIES - 3; i < ENTRIES; i++)
    entries[i].peer.leaving = true;
  publish_views (publish);
  g_assert_cmpuint (shown_entries (&entries[0]), ==, ENTRIES - 3);
  end ();
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

/* A catalogue of 1,000 parts with names that do not compress; changed: value of one of them. */
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

/* Bytes of catalogues that all entries have got since they were asked last; each got at most one,
 * which it then says that it has if confirms. */
static size_t
got_documents (uint64_t number, bool confirms)
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
lacking (uint64_t number)
{
  unsigned count = 0;

  for (unsigned i = 0; i < entry_count; i++)
    count += entries[i].peer.document < number;
  return count;
}

static void
all_up (uint64_t number)
{
  for (unsigned i = 0; i < entry_count; i++)
    {
      publish_link_up (publish, &entries[i].peer);
      got_documents (number, true);
    }
}

/* A change of one field went whole to each entry, and grants waited behind it on the link. */
static void
changes_are_told_as_such (void)
{
  static const unsigned counts[] = { 30, 300 };

  for (unsigned c = 0; c < G_N_ELEMENTS (counts); c++)
    {
      begin (counts[c]);
      commit (1);
      publish_documents (publish);
      all_up (1);
      g_assert_cmpuint (lacking (1), ==, 0);
      commit (2);
      publish_documents (publish);
      g_assert_cmpuint (got_documents (2, true), <=, 200 * counts[c]);
      g_assert_cmpuint (lacking (2), ==, 0);
      end ();
    }
}

/* A catalogue that must go whole to all filled the link in one turn. */
static void
whole_catalogues_are_paced (void)
{
  GBytes *document = catalogue (10, 10);
  size_t most = A_TICK + g_bytes_get_size (document);
  unsigned ticks = 0;

  g_bytes_unref (document);
  begin (300);
  commit (1);
  publish_documents (publish);
  all_up (1);
  for (uint64_t number = 2; number <= 10; number++) /* more versions than are kept */
    {
      commit (number);
      publish_documents (publish);
      for (unsigned i = 0; i < entry_count; i++)
        entries[i].peer.document = 1;
      if (number < 10)
        got_documents (number, false);
    }
  for (unsigned i = 0; i < entry_count; i++)
    publish_link_down (publish, &entries[i].peer);
  got_documents (10, false);
  for (unsigned i = 0; i < entry_count; i++)
    entries[i].peer.document = 10;
  all_up (10);
  for (unsigned i = 0; i < entry_count; i++)
    entries[i].peer.document = 1;
  for (; lacking (10) > 0 && ticks < 100; ticks++)
    {
      publish_tick (publish);
      g_assert_cmpuint (got_documents (10, true), <=, most);
    }
  g_assert_cmpuint (lacking (10), ==, 0);
  g_assert_cmpuint (ticks, >, 1);
  end ();
}

/* A catalogue of 1,500 routes was unpacked twice and read in the loop of the voter in charge, whose
 * grants and views waited for it. Each version is read once, in the log's thread, however many
 * entries it is told to. */
static void
documents_are_read_once (void)
{
  FtError error;
  uint64_t number;

  begin (ENTRIES);
  for (uint64_t version = 1; version <= 3; version++)
    {
      commit (version);
      g_assert_null (voter_catalogue (voter, &number, &error));
      g_assert_cmpuint (number, ==, version);
      publish_documents (publish);
    }
  all_up (3);
  g_assert_cmpuint (lacking (3), ==, 0);
  g_assert_cmpint (g_atomic_int_get (&reads), ==, 3);
  end ();
}

static GBytes *
pack_some (void *host)
{
  MeshMsg msg = { .kind = MESH_ROLLOUTS };

  (void) host;
  packs++;
  return mesh_pack (&msg);
}

/* What all entries are told was packed anew for each of them. It is packed once for all. */
static void
messages_are_packed_once (void)
{
  Broadcast *tell = bcast_new (pack_some, NULL);

  begin (ENTRIES);
  for (unsigned i = 0; i < ENTRIES; i++)
    bcast_link_up (tell, &entries[i].peer, false);
  packs = 0;
  bcast_send_all (tell);
  g_assert_cmpuint (packs, ==, 0);
  bcast_changed (tell);
  bcast_send_all (tell);
  g_assert_cmpuint (packs, ==, 1);
  for (unsigned i = 0; i < ENTRIES; i++)
    g_assert_cmpuint (got (&entries[i], MESH_ROLLOUTS), ==, 1);
  bcast_free (tell);
  end ();
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

/* The loop of the voter in charge waits for its processor while the log's thread commits a hundred
 * ends of servers. It read the whole account for each, the same one each time; one report tells of
 * all, and what is committed after it is reported again. */
static void
reports_tell_of_all (void)
{
  enum
  {
    ENDS = 100
  };
  MsgOp op = { .kind = MSG_OP_CRASH };
  MsgCrash *ended = &op.MsgOp_u.ended;
  uint64_t content = 0;

  begin (0);
  commit (1); /* it leads */
  blamed = 0;
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
  g_assert_cmpuint (blamed, ==, 1);
  content++;
  ended->wall_ms = (int64_t) content * 1000 * 1000;
  voter_propose_op (voter, &op);
  for (unsigned turn = 0; blamed < 2 && turn < 1000; turn++)
    run_for (20 * FT_MS);
  g_assert_cmpuint (blamed, ==, 2);
  end ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/publish/whole_lists", whole_lists_are_paced);
  g_test_add_func ("/publish/entries", number_of_entries_is_steady);
  g_test_add_func ("/publish/changes", changes_are_told_as_such);
  g_test_add_func ("/publish/paced", whole_catalogues_are_paced);
  g_test_add_func ("/publish/read_once", documents_are_read_once);
  g_test_add_func ("/publish/packed_once", messages_are_packed_once);
  g_test_add_func ("/publish/reports", reports_tell_of_all);
  return g_test_run ();
}
