/* found.c - random fault schedules for voters that discover each other while running.
 *
 * Faults: kills, power loss that discards unsynced writes, lost disks, machines replaced by empty
 * ones at other addresses, partitions, late messages. A disk is lost or a machine replaced only
 * while all voters are up and caught up. Voters that keep their disks are killed and partitioned in
 * any number at any time, also during elections. With odd seeds a voter also ends during a sync,
 * after it has sent the messages that need not wait for that sync.
 *
 * Checked at every step: what a leader with a valid lease has acknowledged is never lost and is
 * never older at a later leader; no two voters hold a valid leader lease at the same time. A seed
 * always gives the same result.
 */
#include "clock.h"
#include "raft.h"
#include "seeded.h"

#include <stdio.h>
#include <string.h>

#define VOTERS_MAX            12 /* three form the first set, the others replace lost machines */
#define STEPS                 6000
#define STEP_US               (10 * FT_MS)
#define FILES                 3
#define PHASE_STEPS           400 /* length of the phases, by turns without and with restarts */
#define RESTART_INTERVAL      12  /* mean steps between two restarts: a few in each election */
#define MESSAGES_MAX          4096
#define SNAPSHOT_BYTES        160 /* a few entries */
#define LOG_FILE              2   /* index in names */
#define SYNC_FAILURE_INTERVAL 40  /* mean count of syncs, of all voters, between two that fail */

typedef struct
{
  FtDisk base;
  GByteArray *now[FILES], *synced[FILES];
  bool sync_failed; /* the voter ended during a sync */
} MemDisk;

typedef struct
{
  uint32_t id;
  bool exists, up;
  MemDisk disk;
  State *state;
  Raft *raft;
  int64_t restart_at;
} Voter;

typedef struct
{
  uint32_t from, to;
  int64_t at;
  GByteArray *bytes;
} Message;

static const char *const names[FILES] = { "ident", "snap", "log" };
static TestClock now;
static SeededRandom random_source, sync_random;
static bool syncs_may_fail;
static Voter voters[VOTERS_MAX];
static GArray *messages; /* of Message */
static uint32_t sender;
static uint64_t acknowledged, proposed;
static unsigned cut_off; /* id of the voter without connections; 0: none */
static unsigned replaced, wiped, killed, accepted, failed_syncs;
static int64_t partition_until; /* until then odd and even ids are partitioned */

/* ---- Simulated disks and network ---- */

static unsigned
random_below (unsigned limit)
{
  return (unsigned) (seeded_next (&random_source.base) % limit);
}

static unsigned
file_index (const char *name)
{
  for (unsigned i = 0; i < FILES; i++)
    if (strcmp (names[i], name) == 0)
      return i;
  g_assert_not_reached ();
}

static FtStatus
disk_read (FtDisk *base, const char *name, size_t offset, size_t max, GByteArray *out)
{
  GByteArray *file = ((MemDisk *) base)->now[file_index (name)];

  if (file == NULL)
    return FT_NOT_FOUND;
  if (offset < file->len)
    g_byte_array_append (out, file->data + offset, (guint) MIN (max, file->len - offset));
  return FT_OK;
}

static FtStatus
disk_append (FtDisk *base, const char *name, const void *data, size_t size)
{
  GByteArray **file = &((MemDisk *) base)->now[file_index (name)];

  if (*file == NULL)
    *file = g_byte_array_new ();
  g_byte_array_append (*file, data, (guint) size);
  return FT_OK;
}

static void
copy_file (GByteArray **to, const GByteArray *from)
{
  g_clear_pointer (to, g_byte_array_unref);
  if (from == NULL)
    return;
  *to = g_byte_array_new ();
  g_byte_array_append (*to, from->data, from->len);
}

static FtStatus
disk_sync (FtDisk *base, const char *name)
{
  MemDisk *disk = (MemDisk *) base;
  unsigned file = file_index (name);

  if (syncs_may_fail && seeded_next (&sync_random.base) % SYNC_FAILURE_INTERVAL == 0)
    {
      disk->sync_failed = true;
      failed_syncs++;
      return FT_IO;
    }
  /* A log sync also makes the other files durable: the real disk syncs the folder when a file is
   * first used, and syncs the contents of a replaced file before it renames it. */
  for (unsigned i = 0; i < FILES; i++)
    if (i == file || (file == LOG_FILE && !disk->sync_failed))
      copy_file (&disk->synced[i], disk->now[i]);
  return FT_OK;
}

static FtStatus
disk_replace (FtDisk *base, const char *name, const void *data, size_t size)
{
  MemDisk *disk = (MemDisk *) base;
  unsigned file = file_index (name);

  g_clear_pointer (&disk->now[file], g_byte_array_unref);
  disk_append (base, name, data, size);
  return disk_sync (base, name);
}

static FtStatus
disk_truncate (FtDisk *base, const char *name, size_t size)
{
  g_byte_array_set_size (((MemDisk *) base)->now[file_index (name)], (guint) size);
  return disk_sync (base, name);
}

static const FtDiskOps disk_ops
    = { disk_read, disk_append, disk_sync, disk_replace, disk_truncate };

static void
on_send (void *host, uint32_t to, GByteArray *bytes)
{
  Message message = { sender, to, now.now + (1 + random_below (8)) * FT_MS, bytes };

  (void) host;
  if (random_below (50) == 0)
    message.at += random_below (2000) * FT_MS; /* delayed for a long time */
  if (messages->len < MESSAGES_MAX)
    g_array_append_val (messages, message);
  else
    g_byte_array_unref (bytes);
}

static void
on_apply (void *host, uint64_t index, const MsgOp *op, const StateResult *verdict)
{
  (void) host;
  (void) index;
  (void) op;
  (void) verdict;
}

static const RaftOps raft_ops = { on_send, on_apply };

static size_t snapshot_bytes; /* 0: the number of entries alone decides */

static void
start (Voter *voter, bool first)
{
  uint32_t seeds[] = { 1, 2, 3 };
  RaftConf conf = { .self = voter->id,
                    .voters = seeds,
                    .count = 3,
                    .snapshot_after = 8,
                    .snapshot_bytes = snapshot_bytes,
                    .discover = true,
                    .may_bootstrap = first,
                    .min_voters = 3 };
  FtError error = { 0 };

  bool may_fail = syncs_may_fail;
  /* A starting voter has sent nothing yet that a failed sync could contradict. */
  syncs_may_fail = false;
  voter->state = state_new ();
  if (raft_new (&conf, &now.base, &random_source.base, &voter->disk.base, voter->state, &raft_ops,
                NULL, &voter->raft, &error)
      != FT_OK)
    g_error ("voter %u does not start: %s: %s", voter->id, error.field, error.text);
  voter->up = voter->exists = true;
  voter->disk.sync_failed = false;
  syncs_may_fail = may_fail;
  for (unsigned i = 0; i < VOTERS_MAX; i++)
    if (voters[i].exists)
      raft_add_peer (voter->raft, voters[i].id); /* as it would learn from other voters */
}

static void
stop (Voter *voter, bool power_loss)
{
  raft_free (voter->raft);
  state_free (voter->state);
  voter->raft = NULL;
  voter->up = false;
  for (unsigned i = 0; power_loss && i < FILES; i++)
    copy_file (&voter->disk.now[i], voter->disk.synced[i]);
}

static void
wipe (Voter *voter)
{
  for (unsigned i = 0; i < FILES; i++)
    {
      g_clear_pointer (&voter->disk.now[i], g_byte_array_unref);
      g_clear_pointer (&voter->disk.synced[i], g_byte_array_unref);
    }
}

/* ---- Invariants ---- */

static uint64_t
document_number (const Voter *voter)
{
  const MsgDocument *document = state_document (voter->state);

  return document ? document->number : 0;
}

static Voter *
check_leaders (void)
{
  Voter *leader = NULL;

  for (unsigned i = 0; i < VOTERS_MAX; i++)
    {
      Voter *voter = &voters[i];
      if (!voter->up || !raft_leading (voter->raft))
        continue;
      if (leader)
        g_error ("voters %u and %u both hold the leader lease", leader->id, voter->id);
      if (document_number (voter) < acknowledged)
        g_error ("leader %u holds %lu, %lu was acknowledged", voter->id,
                 (unsigned long) document_number (voter), (unsigned long) acknowledged);
      leader = voter;
    }
  return leader;
}

static void
propose (Voter *leader)
{
  char text[] = "document";
  MsgOp op = { .kind = MSG_OP_DOCUMENT };
  uint64_t index;

  op.MsgOp_u.document.number = ++proposed;
  op.MsgOp_u.document.text.text_val = text;
  op.MsgOp_u.document.text.text_len = sizeof text;
  sender = leader->id;
  raft_propose (leader->raft, &op, &index);
  raft_flush (leader->raft);
}

/* ---- Faults ---- */

/* All voters of the leader's set are up, are members and have almost all of the log. */

static bool
all_caught_up (const Voter *leader)
{
  uint32_t ids[FT_VOTERS_MAX];
  unsigned count, up = 0, caught_up = 0;

  if (leader == NULL)
    return false;
  count = raft_voters (leader->raft, ids);
  for (unsigned i = 0; i < VOTERS_MAX; i++)
    {
      caught_up += voters[i].up && raft_is_member (voters[i].raft)
                   && raft_commit (voters[i].raft) + 2 >= raft_commit (leader->raft);
      up += voters[i].up;
    }
  return count >= 3 && caught_up == count && up == count;
}

/* A fault that may cost a disk: the next one must wait until all_caught_up () is true again. */
static void
inject_single_fault (void)
{
  Voter *voter = &voters[random_below (VOTERS_MAX)];
  unsigned kind = random_below (5);

  if (!voter->up)
    return;
  if (kind == 4)
    {
      cut_off = voter->id;
      voter->restart_at = now.now + (500 + random_below (4000)) * FT_MS;
      return;
    }
  stop (voter, random_below (2));
  voter->restart_at = now.now + (100 + random_below (4000)) * FT_MS;
  killed++;
  if (kind == 0)
    {
      wipe (voter);
      wiped++;
    }
  if (kind != 1)
    return;
  for (unsigned i = 0; i < VOTERS_MAX; i++)
    if (!voters[i].exists)
      {
        voter->restart_at = INT64_MAX; /* never restarted */
        wipe (voter);
        start (&voters[i], false);
        replaced++;
        return;
      }
}

/* A fault that costs no disk; several may overlap. */
static void
inject_restart (void)
{
  Voter *voter = &voters[random_below (VOTERS_MAX)];
  unsigned kind = random_below (10);

  if (kind == 0)
    partition_until = now.now + (200 + random_below (1500)) * FT_MS;
  if (kind < 2 || !voter->up)
    return;
  stop (voter, kind < 8);
  voter->restart_at = now.now + (10 + random_below (300)) * FT_MS;
  killed++;
}

static bool
is_partitioned (uint32_t a, uint32_t b)
{
  return now.now < partition_until && a % 2 != b % 2;
}

static void
end_faults (void)
{
  for (unsigned i = 0; i < VOTERS_MAX; i++)
    {
      Voter *voter = &voters[i];
      if (voter->up && voter->disk.sync_failed)
        {
          stop (voter, random_below (2)); /* either power loss or only the end of the process */
          voter->restart_at = now.now + (10 + random_below (300)) * FT_MS;
        }
      if (voter->exists && !voter->up && now.now >= voter->restart_at)
        start (voter, false);
      if (cut_off == voter->id && voter->up && now.now >= voter->restart_at)
        cut_off = 0;
    }
}

/* ---- Running ---- */

static Voter *
find_voter (uint32_t id)
{
  return id >= 1 && id <= VOTERS_MAX ? &voters[id - 1] : NULL;
}

static void
deliver (void)
{
  for (unsigned i = 0; i < messages->len;)
    {
      Message message = g_array_index (messages, Message, i);
      if (message.at > now.now)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (messages, i);
      Voter *to = find_voter (message.to);
      Msg msg = { 0 };
      bool cut = (cut_off && (message.from == cut_off || message.to == cut_off))
                 || is_partitioned (message.from, message.to);
      if (to && to->up && !cut
          && codec_unpack (CODEC (Msg), message.bytes->data, message.bytes->len, &msg, NULL)
                 == FT_OK)
        {
          sender = to->id;
          raft_receive (to->raft, message.from, &msg);
          raft_flush (to->raft);
        }
      codec_clear (CODEC (Msg), &msg);
      g_byte_array_unref (message.bytes);
    }
}

static void
run_schedule (unsigned seed)
{
  now = test_clock ();
  random_source = sync_random = seeded_random (seed);
  snapshot_bytes = seed / 2 % 2 ? SNAPSHOT_BYTES : 0;
  messages = g_array_new (FALSE, FALSE, sizeof (Message));
  acknowledged = proposed = cut_off = 0;
  partition_until = 0;
  for (unsigned i = 0; i < VOTERS_MAX; i++)
    voters[i] = (Voter){ .id = i + 1, .disk.base.ops = &disk_ops };
  for (unsigned i = 0; i < 3; i++)
    start (&voters[i], true);
  for (unsigned step = 0; step < STEPS; step++)
    {
      now.now += STEP_US;
      deliver ();
      for (unsigned i = 0; i < VOTERS_MAX; i++)
        if (voters[i].up && step % 2 == 0)
          {
            sender = voters[i].id;
            raft_tick (voters[i].raft);
            raft_flush (voters[i].raft);
          }
      syncs_may_fail = seed % 2 == 1 && step / PHASE_STEPS % 2 == 1;
      Voter *leader = check_leaders ();
      if (leader && document_number (leader) > acknowledged)
        {
          acknowledged = document_number (leader);
          accepted++;
        }
      if (leader && random_below (30) == 0)
        propose (leader);
      if (cut_off == 0 && all_caught_up (leader) && random_below (60) == 0)
        inject_single_fault ();
      if (step / PHASE_STEPS % 2 == 1 && random_below (RESTART_INTERVAL) == 0)
        inject_restart ();
      end_faults ();
    }
  if (acknowledged == 0)
    g_error ("nothing was ever accepted");
  for (unsigned i = 0; i < VOTERS_MAX; i++)
    {
      if (voters[i].up)
        stop (&voters[i], false);
      wipe (&voters[i]);
    }
  for (unsigned i = 0; i < messages->len; i++)
    g_byte_array_unref (g_array_index (messages, Message, i).bytes);
  g_array_unref (messages);
}

int
main (int argc, char **argv)
{
  unsigned count = argc > 1 ? (unsigned) atoi (argv[1]) : 1200;
  unsigned first = argc > 2 ? (unsigned) atoi (argv[2]) : 1;

  printf ("1..1\n");
  for (unsigned seed = first; seed < first + count; seed++)
    {
      fprintf (stderr, argc > 1 ? "# seed %u\n" : "", seed);
      run_schedule (seed);
    }
  printf (
      "# %u schedules from seed %u: %u changes accepted, %u kills, %u syncs cut short, %u disks "
      "lost, %u machines replaced\n",
      count, first, accepted, killed, failed_syncs, wiped, replaced);
  printf ("ok 1 - what was acknowledged is kept by voters that come and go\n");
  return 0;
}
