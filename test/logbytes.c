/* logbytes.c - what the replicated log keeps, writes and sends in bytes, among voters on a virtual
 * clock whose disks are in memory. */
#include "clock.h"
#include "raft.h"
#include "seeded.h"
#include "wal.h"

#include <string.h>

#define VOTERS          3
#define FILES           3
#define STEP_US         (10 * FT_MS)
#define DOCUMENT_SIZE   (3u << 20) /* a desired state may have 4 MB */
#define DOCUMENTS       24
#define SNAPSHOT_BYTES  (8u << 20)
#define LOG_MAX         (SNAPSHOT_BYTES + 2 * DOCUMENT_SIZE)
#define IN_FLIGHT_MAX   (8u << 20) /* to a voter that acknowledges nothing, beside one entry */
#define UNCOMMITTED_MAX (16u << 20)

typedef struct
{
  FtDisk base;
  GByteArray *files[FILES];
  size_t log_peak; /* largest size of the log */
  bool refuses_snapshots;
  unsigned refused;
} MemoryDisk;

typedef struct
{
  uint32_t id;
  MemoryDisk disk;
  State *state;
  Raft *raft;
  bool cut;          /* neither sends nor receives */
  size_t lost_bytes; /* sent to it meanwhile */
} Voter;

typedef struct
{
  uint32_t from, to;
  GByteArray *bytes;
} Message;

static const char *const names[FILES] = { "ident", "snap", "log" };
static Voter voters[VOTERS];
static TestClock now;
static SeededRandom random_source;
static GQueue messages = G_QUEUE_INIT;
static uint64_t proposed;

/* ---- Disks ---- */

static GByteArray *
find_file (FtDisk *base, const char *name)
{
  MemoryDisk *disk = (MemoryDisk *) base;

  for (unsigned i = 0; i < FILES; i++)
    if (strcmp (names[i], name) == 0)
      return disk->files[i];
  g_assert_not_reached ();
}

static FtStatus
disk_read (FtDisk *base, const char *name, size_t offset, size_t max, GByteArray *out)
{
  const GByteArray *file = find_file (base, name);

  if (offset < file->len)
    g_byte_array_append (out, file->data + offset, (guint) MIN (max, file->len - offset));
  return file->len ? FT_OK : FT_NOT_FOUND;
}

static FtStatus
disk_append (FtDisk *base, const char *name, const void *data, size_t size)
{
  MemoryDisk *disk = (MemoryDisk *) base;
  GByteArray *file = find_file (base, name);

  g_byte_array_append (file, data, (guint) size);
  if (strcmp (name, "log") == 0)
    disk->log_peak = MAX (disk->log_peak, file->len);
  return FT_OK;
}

static FtStatus
disk_sync (FtDisk *base, const char *name)
{
  (void) base;
  (void) name;
  return FT_OK;
}

static FtStatus
disk_replace (FtDisk *base, const char *name, const void *data, size_t size)
{
  MemoryDisk *disk = (MemoryDisk *) base;

  if (disk->refuses_snapshots && strcmp (name, "snap") == 0)
    {
      disk->refused++;
      return FT_IO;
    }
  g_byte_array_set_size (find_file (base, name), 0);
  return disk_append (base, name, data, size);
}

static FtStatus
disk_truncate (FtDisk *base, const char *name, size_t size)
{
  g_byte_array_set_size (find_file (base, name), (guint) size);
  return FT_OK;
}

static const FtDiskOps disk_ops
    = { disk_read, disk_append, disk_sync, disk_replace, disk_truncate };

/* ---- Voters ---- */

static void
on_send (void *host, uint32_t to, GByteArray *bytes)
{
  const Voter *voter = host;
  Message message = { voter->id, to, bytes };

  if (!voter->cut && !voters[to - 1].cut)
    {
      g_queue_push_tail (&messages, g_memdup2 (&message, sizeof message));
      return;
    }
  voters[to - 1].lost_bytes += bytes->len;
  g_byte_array_unref (bytes);
}

static void
on_apply (void *host, uint64_t index, const MsgOp *op, const StateResult *result)
{
  (void) host;
  (void) index;
  (void) op;
  (void) result;
}

static const RaftOps raft_ops = { on_send, on_apply };

static void
set_up (void)
{
  uint32_t ids[VOTERS] = { 1, 2, 3 };
  RaftConf conf = { .voters = ids,
                    .count = VOTERS,
                    .snapshot_after = 48,
                    .snapshot_bytes = SNAPSHOT_BYTES,
                    .discover = true,
                    .may_bootstrap = true };

  now = test_clock ();
  random_source = seeded_random (1);
  proposed = 0;
  for (unsigned i = 0; i < VOTERS; i++)
    {
      Voter *voter = &voters[i];
      *voter = (Voter){ .id = conf.self = i + 1, .disk = { .base = { &disk_ops } } };
      for (unsigned j = 0; j < FILES; j++)
        voter->disk.files[j] = g_byte_array_new ();
      voter->state = state_new ();
      g_assert_cmpint (raft_new (&conf, &now.base, &random_source.base, &voter->disk.base,
                                 voter->state, &raft_ops, voter, &voter->raft, NULL),
                       ==, FT_OK);
    }
}

static void
message_free (void *data)
{
  Message *message = data;

  g_byte_array_unref (message->bytes);
  g_free (message);
}

static void
tear_down (void)
{
  g_queue_clear_full (&messages, message_free);
  for (unsigned i = 0; i < VOTERS; i++)
    {
      raft_free (voters[i].raft);
      state_free (voters[i].state);
      for (unsigned j = 0; j < FILES; j++)
        g_byte_array_unref (voters[i].disk.files[j]);
    }
}

static void
deliver (Message *message)
{
  Msg msg = { 0 };
  Voter *to = &voters[message->to - 1];

  g_assert_cmpint (
      codec_unpack (CODEC (Msg), message->bytes->data, message->bytes->len, &msg, NULL), ==, FT_OK);
  if (!to->cut)
    raft_receive (to->raft, message->from, &msg);
  codec_clear (CODEC (Msg), &msg);
  message_free (message);
}

static void
step (void)
{
  Message *message;

  now.now += STEP_US;
  for (unsigned count = g_queue_get_length (&messages); count > 0; count--)
    if ((message = g_queue_pop_head (&messages)) != NULL)
      deliver (message);
  for (unsigned i = 0; i < VOTERS; i++)
    {
      raft_tick (voters[i].raft);
      raft_flush (voters[i].raft);
    }
}

static void
run_for (int64_t us)
{
  for (int64_t until = now.now + us; now.now < until;)
    step ();
}

static Voter *
find_leader (void)
{
  for (unsigned i = 0; i < VOTERS; i++)
    if (raft_leading (voters[i].raft))
      return &voters[i];
  return NULL;
}

static Voter *
await_leader (void)
{
  for (unsigned i = 0; i < 3000; i++, step ())
    if (find_leader ())
      return find_leader ();
  g_assert_not_reached ();
}

static FtStatus
propose_size (const Voter *leader, u_int size)
{
  MsgOp op = { .kind = MSG_OP_DOCUMENT };
  char *text = g_malloc0 (size);
  uint64_t index;

  op.MsgOp_u.document.number = proposed + 1;
  op.MsgOp_u.document.text.text_val = text;
  op.MsgOp_u.document.text.text_len = size;
  FtStatus status = raft_propose (leader->raft, &op, &index);
  proposed += status == FT_OK;
  g_free (text);
  return status;
}

static FtStatus
propose (const Voter *leader)
{
  return propose_size (leader, DOCUMENT_SIZE);
}

static uint64_t
document_number (const Voter *voter)
{
  const MsgDocument *document = state_document (voter->state);

  return document ? document->number : 0;
}

static void
propose_all (const Voter *leader)
{
  for (unsigned i = 0; i < DOCUMENTS; i++)
    {
      g_assert_cmpint (propose (leader), ==, FT_OK);
      run_for (200 * FT_MS);
      g_assert_cmpuint (document_number (leader), ==, proposed);
    }
}

static Voter *
any_follower (const Voter *leader)
{
  return &voters[leader->id % VOTERS];
}

/* Guards against a log that grows with the bytes of its entries, in memory and on the disk, until
 * their number calls for a snapshot. */
static void
log_is_cut_by_bytes (void)
{
  set_up ();
  propose_all (await_leader ());
  run_for (500 * FT_MS);
  for (unsigned i = 0; i < VOTERS; i++)
    {
      g_test_message ("voter %u: a log of at most %zu bytes", voters[i].id,
                      voters[i].disk.log_peak);
      g_assert_cmpuint (document_number (&voters[i]), ==, DOCUMENTS);
      g_assert_cmpuint (voters[i].disk.log_peak, <=, LOG_MAX);
    }
  tear_down ();
}

/* Guards against a leader that sends, and a voter that queues, all large entries while that voter
 * acknowledges none. Once it does again it gets what it lacks. */
static void
silent_voter_gets_little (void)
{
  set_up ();
  Voter *leader = await_leader (), *silent = any_follower (leader);
  silent->cut = true;
  propose_all (leader);
  g_test_message ("%zu bytes were sent in vain", silent->lost_bytes);
  g_assert_cmpuint (silent->lost_bytes, >=, DOCUMENT_SIZE);
  g_assert_cmpuint (silent->lost_bytes, <=, IN_FLIGHT_MAX + 2 * DOCUMENT_SIZE);
  silent->cut = false;
  run_for (5 * FT_SECOND);
  g_assert_cmpuint (document_number (silent), ==, DOCUMENTS);
  tear_down ();
}

/* Guards against changes that pile up at a leader whose followers acknowledge none: they are
 * refused beyond a bound, and taken again later. */
static void
uncommitted_changes_are_bounded (void)
{
  unsigned taken = 0, refused = 0;

  set_up ();
  Voter *leader = await_leader ();
  for (unsigned i = 0; i < VOTERS; i++)
    voters[i].cut = &voters[i] != leader;
  for (unsigned i = 0; i < DOCUMENTS; i++)
    {
      FtStatus status = propose (leader);
      taken += status == FT_OK;
      refused += status == FT_FULL;
    }
  g_test_message ("%u changes taken, %u refused", taken, refused);
  g_assert_cmpuint (taken + refused, ==, DOCUMENTS);
  g_assert_cmpuint (taken, >=, UNCOMMITTED_MAX / DOCUMENT_SIZE);
  g_assert_cmpuint (taken, <=, UNCOMMITTED_MAX / DOCUMENT_SIZE + 1);
  for (unsigned i = 0; i < VOTERS; i++)
    voters[i].cut = false;
  run_for (5 * FT_SECOND);
  leader = await_leader ();
  for (unsigned i = 0; i < 3; i++)
    {
      g_assert_cmpint (propose (leader), ==, FT_OK);
      run_for (500 * FT_MS);
    }
  for (unsigned i = 0; i < VOTERS; i++)
    g_assert_cmpuint (document_number (&voters[i]), ==, proposed);
  tear_down ();
}

/* Guards against a voter that takes no part since its disk has no room for a snapshot, whereas the
 * log still takes entries; also one that starts so. The log is cut once there is room. */
static void
snapshot_refused (void)
{
  RaftConf conf = { .self = 1, .count = 1, .snapshot_after = 48, .snapshot_bytes = SNAPSHOT_BYTES };
  uint32_t id = 1;

  set_up ();
  for (unsigned i = 0; i < VOTERS; i++)
    voters[i].disk.refuses_snapshots = true;
  Voter *leader = await_leader ();
  propose_all (leader);
  run_for (500 * FT_MS);
  for (unsigned i = 0; i < VOTERS; i++)
    {
      g_test_message ("voter %u: %u snapshots refused, a log of %u bytes", voters[i].id,
                      voters[i].disk.refused, voters[i].disk.files[2]->len);
      g_assert_cmpuint (voters[i].disk.refused, >, 0);
      g_assert_false (raft_storage_failed (voters[i].raft));
      g_assert_cmpuint (document_number (&voters[i]), ==, DOCUMENTS);
      g_assert_cmpuint (voters[i].disk.files[2]->len, >, LOG_MAX);
    }
  conf.voters = &id;
  raft_free (voters[0].raft);
  state_free (voters[0].state);
  voters[0].state = state_new ();
  g_assert_cmpint (raft_new (&conf, &now.base, &random_source.base, &voters[0].disk.base,
                             voters[0].state, &raft_ops, &voters[0], &voters[0].raft, NULL),
                   ==, FT_OK);
  g_assert_false (raft_storage_failed (voters[0].raft));
  for (unsigned i = 0; i < VOTERS; i++)
    voters[i].disk.refuses_snapshots = false;
  run_for (6 * FT_SECOND);
  leader = await_leader ();
  g_assert_cmpint (propose (leader), ==, FT_OK);
  run_for (500 * FT_MS);
  g_assert_cmpuint (leader->disk.files[2]->len, <=, LOG_MAX);
  tear_down ();
}

/* Guards against a leader that takes its storage for failed since an operation is larger than an
 * entry of the log may be. */
static void
too_large_is_refused (void)
{
  set_up ();
  const Voter *leader = await_leader ();
  g_assert_cmpint (propose_size (leader, FT_TEXT_MAX), ==, FT_INVALID);
  g_assert_cmpint (propose_size (leader, FT_TEXT_MAX - 64), ==, FT_OK);
  run_for (500 * FT_MS);
  for (unsigned i = 0; i < VOTERS; i++)
    {
      g_assert_false (raft_storage_failed (voters[i].raft));
      g_assert_cmpuint (document_number (&voters[i]), ==, 1);
    }
  tear_down ();
}

/* ---- Reading the log ---- */

#define ENTRY_SIZE 700000 /* several in one piece that is read, and across its ends */
#define ENTRIES    12

static void
write_entries (MemoryDisk *disk)
{
  char *bytes = g_malloc0 (ENTRY_SIZE);
  WalState state;
  Wal *wal;

  *disk = (MemoryDisk){ .base = { &disk_ops } };
  for (unsigned i = 0; i < FILES; i++)
    disk->files[i] = g_byte_array_new ();
  g_assert_cmpint (wal_open (&disk->base, &wal, &state, NULL), ==, FT_OK);
  for (unsigned i = 1; i <= ENTRIES; i++)
    {
      MsgEntry entry = { .index = i, .term = 1, .op = { ENTRY_SIZE, bytes } };
      g_assert_cmpint (wal_entry (wal, &entry), ==, FT_OK);
      g_assert_cmpint (wal_sync (wal), ==, FT_OK);
    }
  wal_state_clear (&state);
  wal_free (wal);
  g_free (bytes);
}

/* Opens the log. Returns the number of entries; *truncated gets the number of bytes cut off. */
static unsigned
count_entries (MemoryDisk *disk, FtStatus expected, size_t *truncated)
{
  FtError error = { 0 };
  WalState state;
  Wal *wal;

  g_assert_cmpint (wal_open (&disk->base, &wal, &state, &error), ==, expected);
  unsigned count = state.entries->len;
  *truncated = state.truncated;
  wal_state_clear (&state);
  wal_free (wal);
  return count;
}

static void
free_files (MemoryDisk *disk)
{
  for (unsigned i = 0; i < FILES; i++)
    g_byte_array_unref (disk->files[i]);
}

/* Guards against entries lost, or damage not seen, where records lie across the pieces in which the
 * log is read. */
static void
log_in_pieces (void)
{
  static const size_t cuts[] = { 1, 19, 20, 21, ENTRY_SIZE / 2, ENTRY_SIZE, ENTRY_SIZE + 200 };
  MemoryDisk disk;
  size_t truncated;

  for (unsigned i = 0; i < G_N_ELEMENTS (cuts); i++)
    {
      write_entries (&disk);
      GByteArray *log = find_file (&disk.base, "log");
      size_t whole = log->len, kept = whole - cuts[i];
      g_byte_array_set_size (log, (guint) kept);
      unsigned lost = cuts[i] > ENTRY_SIZE + 80 ? 2 : 1;
      g_assert_cmpuint (count_entries (&disk, FT_OK, &truncated), ==, ENTRIES - lost);
      g_assert_cmpuint (log->len + truncated, ==, kept);
      g_assert_cmpuint (count_entries (&disk, FT_OK, &truncated), ==, ENTRIES - lost);
      g_assert_cmpuint (truncated, ==, 0);
      free_files (&disk);
    }
  for (unsigned i = 0; i < ENTRIES - 1; i++)
    {
      write_entries (&disk);
      GByteArray *log = find_file (&disk.base, "log");
      log->data[log->len / ENTRIES * i + ENTRY_SIZE / 2] ^= 1;
      count_entries (&disk, FT_CORRUPT, &truncated);
      free_files (&disk);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/logbytes/cut", log_is_cut_by_bytes);
  g_test_add_func ("/logbytes/silent_voter", silent_voter_gets_little);
  g_test_add_func ("/logbytes/uncommitted", uncommitted_changes_are_bounded);
  g_test_add_func ("/logbytes/snapshot_refused", snapshot_refused);
  g_test_add_func ("/logbytes/too_large", too_large_is_refused);
  g_test_add_func ("/logbytes/pieces", log_in_pieces);
  return g_test_run ();
}
