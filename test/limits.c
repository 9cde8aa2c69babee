/* limits.c - tests, with real processes on loopback, of the memory and the disk that voters use.
 * Not under sanitizers, which use memory of their own. */
#include "fleet.h"
#include "compress.h"
#include "disk.h"
#include "state.h"
#include "wal.h"

#include <string.h>

/* Of a voter's machine, docs/CAPACITY.md. */
#define MEMORY_MAX     (256u << 20)
#define DISK_MAX       (128u << 20)
#define TEXT_SIZE      (3900u * 1024) /* of a desired state; 4 MB are accepted */
#define CHANGES        80             /* their bytes are over twice the disk */
#define LOGGED_CHANGES 42 /* in a log as earlier programs left it; they nearly fill the disk */

static void
put_large (Fleet *fleet, uint64_t version)
{
  char *text = fleet_large_catalogue (fleet, version, TEXT_SIZE);
  Answer answer;

  fleet_operator_call_body (fleet, "POST", "/api/Config.Put", text, &answer);
  g_assert_cmpuint (answer.status, ==, 200);
  fleet_answer_clear (&answer);
  g_free (text);
  fleet->version = version;
}

static void
check_voter (Fleet *fleet, FleetNode *voter)
{
  g_assert_false (fleet_has_exited (voter));
  uint64_t memory = fleet_counter (fleet, voter, "foxtail_resident_bytes_peak");
  uint64_t data = fleet_counter (fleet, voter, "foxtail_data_bytes");
  g_test_message ("%s: at most %u MB of memory, %u MB of data", voter->name,
                  (unsigned) (memory >> 20), (unsigned) (data >> 20));
  g_assert_cmpuint (memory, <=, MEMORY_MAX);
  g_assert_cmpuint (data, <=, DISK_MAX);
}

/* Guards against voters that outgrow the memory and the disk of their machines with the bytes of
 * desired states. */
static void
large_changes (void)
{
  Fleet *fleet = fleet_new ();

  fleet->entry_count = 1;
  fleet_start_all (fleet);
  for (unsigned i = 0; i < CHANGES; i++)
    {
      put_large (fleet, fleet->version + 1);
      for (unsigned j = 0; i % 10 == 9 && j < fleet->voter_count; j++)
        check_voter (fleet, &fleet->voters[j]);
    }
  fleet_await_version (fleet, &fleet->entries[0], fleet->version);
  for (unsigned i = 0; i < fleet->voter_count; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < fleet->voter_count; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  g_assert_cmpuint (fleet_get_version (fleet), ==, fleet->version);
  for (unsigned i = 0; i < fleet->voter_count; i++)
    check_voter (fleet, &fleet->voters[i]);
  fleet_free (fleet);
}

static void
log_op (Wal *wal, uint64_t index, const MsgOp *op)
{
  GByteArray *bytes = codec_pack (CODEC (MsgOp), op);
  MsgEntry entry = { .index = index, .term = 1, .op = { bytes->len, (char *) bytes->data } };

  g_assert_cmpint (wal_entry (wal, &entry), ==, FT_OK);
  g_assert_cmpint (wal_commit (wal, index), ==, FT_OK);
  g_assert_cmpint (wal_sync (wal), ==, FT_OK);
  g_byte_array_unref (bytes);
}

/* Writes the data folder of a lone voter, with a log that no snapshot has cut. */
static void
write_long_log (const Fleet *fleet, const FleetNode *voter)
{
  MsgVoter self = { voter->ip, 7 };
  MsgOp op = { .kind = MSG_OP_VOTERS, .MsgOp_u.voters = { { 1, &self } } };
  FtDisk *disk;
  WalState state;
  Wal *wal;

  g_assert_cmpint (disk_new (voter->folder, &disk, NULL), ==, FT_OK);
  g_assert_cmpint (wal_open (disk, &wal, &state, NULL), ==, FT_OK);
  g_assert_cmpint (wal_write_identity (wal, self.incarnation), ==, FT_OK);
  g_assert_cmpint (wal_vote (wal, 1, voter->ip), ==, FT_OK);
  log_op (wal, 1, &op);
  for (unsigned i = 1; i <= LOGGED_CHANGES; i++)
    {
      char *text = fleet_large_catalogue (fleet, i, TEXT_SIZE);
      GBytes *packed = compress_pack (text, strlen (text));
      gsize size;
      op = (MsgOp){ .kind = MSG_OP_DOCUMENT };
      op.MsgOp_u.document.number = i;
      op.MsgOp_u.document.text.text_val = (char *) g_bytes_get_data (packed, &size);
      op.MsgOp_u.document.text.text_len = (u_int) size;
      log_op (wal, i + 1, &op);
      g_bytes_unref (packed);
      g_free (text);
    }
  wal_state_clear (&state);
  wal_free (wal);
  disk_free (disk);
}

/* Guards against a voter that needs more memory than its machine has to read the log that an
 * earlier program left, so that it is killed at each start. */
static void
long_log (void)
{
  Fleet *fleet = fleet_new ();
  FleetNode *voter = &fleet->voters[0];

  fleet->voter_count = 1;
  write_long_log (fleet, voter);
  fleet_start (fleet, voter, false);
  g_assert_cmpuint (fleet_get_version (fleet), ==, LOGGED_CHANGES);
  fleet->version = LOGGED_CHANGES;
  check_voter (fleet, voter);
  put_large (fleet, fleet->version + 1);
  fleet_kill (voter);
  fleet_start (fleet, voter, false);
  g_assert_cmpuint (fleet_get_version (fleet), ==, fleet->version);
  check_voter (fleet, voter);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/limits/large_changes", large_changes);
  g_test_add_func ("/limits/long_log", long_log);
  return g_test_run ();
}
