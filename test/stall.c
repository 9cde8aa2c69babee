/* stall.c - voters whose syncs last longer than an election's timeout, on a virtual clock.
 *
 * As in a deployment a voter does nothing else while it syncs: what reaches it meanwhile waits, and
 * its clock has moved on when the sync returns.
 */
#include "clock.h"
#include "raft.h"
#include "seeded.h"

#include <string.h>

#define VOTERS      3
#define FILES       3
#define STEP        (5 * FT_MS)
#define SEEDS       20
#define ELECTED     (30 * FT_SECOND) /* a change is accepted by then, from nothing */
#define ACKNOWLEDGE (5 * FT_SECOND)  /* what operators wait at least */
#define WATCHED     (60 * FT_SECOND)
#define EVERY       (8 * FT_SECOND) /* between two changes */
#define REPEAT      FT_SECOND       /* an operator without an answer asks again */

typedef struct
{
  FtDisk base;
  GByteArray *files[FILES];
  TestClock *clock;
  int64_t least, most; /* how long a sync lasts */
} SlowDisk;

typedef struct
{
  uint32_t id;
  TestClock clock; /* runs ahead of the world's while a sync lasts */
  SlowDisk disk;
  State *state;
  Raft *raft;
  int64_t proved_until;
} Voter;

typedef struct
{
  uint32_t from, to;
  int64_t at;
  GByteArray *bytes;
} Mail;

static const char *const names[FILES] = { "ident", "snap", "log" };
static Seeded source;
static Voter voters[VOTERS];
static GArray *mail; /* Mail, in order of sending */
static int64_t world;
static uint64_t proposed;

/* ---- Disks ---- */

static GByteArray **
file_of (FtDisk *base, const char *name)
{
  for (unsigned i = 0; i < FILES; i++)
    if (strcmp (names[i], name) == 0)
      return &((SlowDisk *) base)->files[i];
  g_assert_not_reached ();
}

static FtStatus
disk_read (FtDisk *base, const char *name, GByteArray *out)
{
  GByteArray *file = *file_of (base, name);

  if (file == NULL)
    return FT_NOT_FOUND;
  g_byte_array_append (out, file->data, file->len);
  return FT_OK;
}

static FtStatus
disk_append (FtDisk *base, const char *name, const void *data, size_t size)
{
  GByteArray **file = file_of (base, name);

  if (*file == NULL)
    *file = g_byte_array_new ();
  g_byte_array_append (*file, data, (guint) size);
  return FT_OK;
}

static FtStatus
disk_sync (FtDisk *base, const char *name)
{
  SlowDisk *disk = (SlowDisk *) base;
  uint64_t spread = (uint64_t) (disk->most - disk->least) + 1;

  (void) name;
  disk->clock->now += disk->least + (int64_t) (ft_random_next (&source.base) % spread);
  return FT_OK;
}

static FtStatus
disk_replace (FtDisk *base, const char *name, const void *data, size_t size)
{
  g_clear_pointer (file_of (base, name), g_byte_array_unref);
  disk_append (base, name, data, size);
  return disk_sync (base, name);
}

static FtStatus
disk_truncate (FtDisk *base, const char *name, size_t size)
{
  g_byte_array_set_size (*file_of (base, name), (guint) size);
  return disk_sync (base, name);
}

static const FtDiskOps disk_ops
    = { disk_read, disk_append, disk_sync, disk_replace, disk_truncate };

/* ---- Voters ---- */

static void
on_send (void *host, uint32_t to, GByteArray *bytes)
{
  Voter *voter = host;
  Mail one = { voter->id, to, voter->clock.now + FT_MS, bytes };

  g_array_append_val (mail, one);
}

static void
on_apply (void *host, uint64_t index, const MsgOp *op, const StateVerdict *verdict)
{
  (void) host;
  (void) index;
  (void) op;
  (void) verdict;
}

static const RaftOps raft_ops = { on_send, on_apply };

static void
start (Voter *voter, uint32_t id, int64_t least, int64_t most)
{
  uint32_t ids[VOTERS] = { 1, 2, 3 };
  RaftConf conf = {
    .self = id, .voters = ids, .count = VOTERS, .found = true, .may_form = true, .least = VOTERS
  };
  FtError error = { 0 };

  *voter = (Voter){ .id = id, .clock = test_clock () };
  voter->disk = (SlowDisk){ .base.ops = &disk_ops, .clock = &voter->clock };
  voter->disk.least = least;
  voter->disk.most = most;
  voter->state = state_new ();
  g_assert_cmpint (raft_new (&conf, &voter->clock.base, &source.base, &voter->disk.base,
                             voter->state, &raft_ops, voter, &voter->raft, &error),
                   ==, FT_OK);
}

static void
receive (Voter *voter)
{
  for (unsigned i = 0; i < mail->len;)
    {
      Mail one = g_array_index (mail, Mail, i);
      if (one.to != voter->id || one.at > world)
        {
          i++;
          continue;
        }
      g_array_remove_index (mail, i);
      Msg msg = { 0 };
      g_assert_cmpint (codec_unpack (CODEC (Msg), one.bytes->data, one.bytes->len, &msg, NULL), ==,
                       FT_OK);
      raft_receive (voter->raft, one.from, &msg);
      codec_clear (CODEC (Msg), &msg);
      g_byte_array_unref (one.bytes);
    }
}

/* A voter's turn, but for one that syncs. */
static void
turn (Voter *voter)
{
  if (voter->clock.now > world)
    return;
  voter->clock.now = world;
  receive (voter);
  raft_tick (voter->raft);
  raft_flush (voter->raft);
  voter->proved_until = raft_leads_until (voter->raft);
}

static void
step (void)
{
  unsigned proved = 0;

  world += STEP;
  for (unsigned i = 0; i < VOTERS; i++)
    {
      turn (&voters[i]);
      proved += voters[i].proved_until > world;
    }
  g_assert_cmpuint (proved, <=, 1);
}

static uint64_t
held (const Voter *voter)
{
  const MsgDocument *document = state_document (voter->state);

  return document ? document->number : 0;
}

static uint64_t
newest_held (void)
{
  uint64_t newest = 0;

  for (unsigned i = 0; i < VOTERS; i++)
    newest = MAX (newest, held (&voters[i]));
  return newest;
}

static bool
propose (void)
{
  char text[] = "document";
  MsgOp op = { .kind = MSG_OP_DOCUMENT };
  uint64_t index;

  for (unsigned i = 0; i < VOTERS; i++)
    if (voters[i].clock.now <= world && raft_leading (voters[i].raft))
      {
        op.MsgOp_u.document.number = ++proposed;
        op.MsgOp_u.document.text.text_val = text;
        op.MsgOp_u.document.text.text_len = sizeof text;
        return raft_propose (voters[i].raft, &op, &index) == FT_OK;
      }
  return false;
}

/* An operator that sends a change until it is in force somewhere. Returns how long that took. */
static int64_t
change (int64_t most)
{
  int64_t began = world;
  uint64_t before = newest_held ();
  int64_t sent = 0;

  while (newest_held () == before && world - began <= most)
    {
      if (world - sent >= REPEAT && propose ())
        sent = world;
      step ();
    }
  return world - began;
}

static uint64_t
newest_term (void)
{
  uint64_t newest = 0;

  for (unsigned i = 0; i < VOTERS; i++)
    newest = MAX (newest, raft_term (voters[i].raft));
  return newest;
}

static void
begin (unsigned seed, const int64_t (*syncs)[2])
{
  source = seeded (seed);
  mail = g_array_new (FALSE, FALSE, sizeof (Mail));
  world = test_clock ().now;
  proposed = 0;
  for (unsigned i = 0; i < VOTERS; i++)
    start (&voters[i], i + 1, syncs[i][0], syncs[i][1]);
}

static void
end (void)
{
  for (unsigned i = 0; i < VOTERS; i++)
    {
      raft_free (voters[i].raft);
      state_free (voters[i].state);
      for (unsigned file = 0; file < FILES; file++)
        g_clear_pointer (&voters[i].disk.files[file], g_byte_array_unref);
    }
  for (unsigned i = 0; i < mail->len; i++)
    g_byte_array_unref (g_array_index (mail, Mail, i).bytes);
  g_array_unref (mail);
}

/* From nothing a change is accepted; then the leader stays, and further changes are accepted. */
static void
elect_and_stay (const int64_t (*syncs)[2], int64_t most)
{
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      begin (seed, syncs);
      g_assert_cmpint (change (ELECTED), <=, ELECTED);
      uint64_t term = newest_term ();
      for (int64_t until = world + WATCHED; world < until;)
        {
          for (int64_t next = world + EVERY; world < next;)
            step ();
          g_assert_cmpint (change (most), <=, most);
        }
      g_assert_cmpuint (newest_term (), ==, term);
      end ();
    }
}

/* Every disk stalls: voters stood again and again, and no leader stayed. */
static void
test_all_slow (void)
{
  static const int64_t syncs[VOTERS][2] = { { 2 * FT_SECOND, 2 * FT_SECOND },
                                            { 2 * FT_SECOND, 2 * FT_SECOND },
                                            { 2 * FT_SECOND, 2 * FT_SECOND } };

  elect_and_stay (syncs, 2 * ACKNOWLEDGE);
}

/* As above, with syncs of any length: a candidate's votes came when it had stood again. */
static void
test_uneven (void)
{
  static const int64_t syncs[VOTERS][2] = { { 200 * FT_MS, 3 * FT_SECOND },
                                            { 200 * FT_MS, 3 * FT_SECOND },
                                            { 200 * FT_MS, 3 * FT_SECOND } };

  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      begin (seed, syncs);
      g_assert_cmpint (change (ELECTED), <=, ELECTED);
      end ();
    }
}

/* Two of three disks stall: the leader with the good one took its followers for lost. */
static void
test_followers_slow (void)
{
  static const int64_t syncs[VOTERS][2] = { { 5 * FT_MS, 5 * FT_MS },
                                            { 2 * FT_SECOND, 2 * FT_SECOND },
                                            { 2 * FT_SECOND, 2 * FT_SECOND } };

  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      begin (seed, syncs);
      g_assert_cmpint (change (ELECTED), <=, ELECTED);
      end ();
    }
}

/* The leader's disk alone begins to stall: operators wait no longer than they do for a new one. */
static void
test_leader_slow (void)
{
  static const int64_t syncs[VOTERS][2]
      = { { 5 * FT_MS, 5 * FT_MS }, { 5 * FT_MS, 5 * FT_MS }, { 5 * FT_MS, 5 * FT_MS } };

  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      begin (seed, syncs);
      g_assert_cmpint (change (ACKNOWLEDGE), <=, ACKNOWLEDGE);
      for (unsigned i = 0; i < VOTERS; i++)
        if (raft_leading (voters[i].raft))
          voters[i].disk.least = voters[i].disk.most = 20 * FT_SECOND;
      for (unsigned i = 0; i < 3; i++)
        g_assert_cmpint (change (ACKNOWLEDGE), <=, ACKNOWLEDGE);
      end ();
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/stall/all_slow", test_all_slow);
  g_test_add_func ("/stall/uneven", test_uneven);
  g_test_add_func ("/stall/followers_slow", test_followers_slow);
  g_test_add_func ("/stall/leader_slow", test_leader_slow);
  return g_test_run ();
}
