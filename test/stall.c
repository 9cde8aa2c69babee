/* stall.c - voters whose syncs last longer than an election's timeout, and voters that all start
 * again at once, on a virtual clock.
 *
 * As in a deployment a voter does nothing else while it syncs: what reaches it meanwhile waits, and
 * its clock has moved on when the sync returns.
 */
#include "clock.h"
#include "raft.h"
#include "seeded.h"
#include "wal.h"

#include <string.h>

#define VOTERS      3 /* with slow disks */
#define VOTERS_MOST FT_VOTERS_MAX
#define FILES       3
#define STEP        (5 * FT_MS)
#define SEEDS       20
#define ELECTED     (30 * FT_SECOND) /* a change is accepted by then, from nothing */
#define ACKNOWLEDGE (5 * FT_SECOND)  /* what operators wait at least */
#define WATCHED     (60 * FT_SECOND)
#define EVERY       (8 * FT_SECOND) /* between two changes */
#define REPEAT      FT_SECOND       /* an operator without an answer asks again */
#define STARTS      50              /* seeds of the tests that start voters again */
#define SPREAD      (370 * FT_MS)   /* between the first and the last start of seven voters */
#define RATE_ERROR  15000           /* of a clock, in a million */
#define LED_SOON    (700 * FT_MS)   /* after a majority's start, when all is well */
#define LED_LATE    FT_SECOND       /* when voters must first learn of a newer term */
#define RESTARTED   (50 * FT_MS)    /* after a confirmed round, at most */

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
  Raft *raft; /* NULL: it does not run */
  int64_t proved_until;
  int64_t rate_error; /* of its clock, in a million */
} Voter;

typedef struct
{
  uint32_t from, to;
  int64_t at;
  GByteArray *bytes;
} Mail;

static const char *const names[FILES] = { "ident", "snap", "log" };
static Seeded source;
static Voter voters[VOTERS_MOST];
static unsigned voter_count;
static GArray *mail; /* Mail, in order of sending */
static int64_t world, step_us;
static uint64_t proposed;
static uint32_t cut_off; /* id of a voter that hears nobody and is heard by none; 0: none */

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

/* What the voter's clock shows while it does not sync. */
static int64_t
local_time (const Voter *voter)
{
  return world + (world - test_clock ().now) * voter->rate_error / 1000000;
}

static void
on_send (void *host, uint32_t to, GByteArray *bytes)
{
  Voter *voter = host;
  int64_t synced = voter->clock.now - local_time (voter);
  Mail one = { voter->id, to, world + synced + MIN (FT_MS, step_us), bytes };

  g_array_append_val (mail, one);
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

static void
start (Voter *voter)
{
  uint32_t ids[VOTERS_MOST];
  RaftConf conf = { .self = voter->id,
                    .voters = ids,
                    .count = voter_count,
                    .discover = true,
                    .may_bootstrap = true,
                    .min_voters = voter_count };
  FtError error = { 0 };

  for (unsigned i = 0; i < voter_count; i++)
    ids[i] = i + 1;
  voter->clock.now = local_time (voter);
  voter->state = state_new ();
  g_assert_cmpint (raft_new (&conf, &voter->clock.base, &source.base, &voter->disk.base,
                             voter->state, &raft_ops, voter, &voter->raft, &error),
                   ==, FT_OK);
}

/* Ends the process; its disk keeps what it held, and what was on its way to it is lost. */
static void
stop (Voter *voter)
{
  raft_free (voter->raft);
  state_free (voter->state);
  voter->raft = NULL;
  voter->proved_until = 0;
  for (unsigned i = 0; i < mail->len;)
    if (g_array_index (mail, Mail, i).to == voter->id)
      {
        g_byte_array_unref (g_array_index (mail, Mail, i).bytes);
        g_array_remove_index (mail, i);
      }
    else
      i++;
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
      if (cut_off != one.from && cut_off != one.to)
        raft_receive (voter->raft, one.from, &msg);
      codec_clear (CODEC (Msg), &msg);
      g_byte_array_unref (one.bytes);
    }
}

/* A voter's turn, but for one that syncs. */
static void
turn (Voter *voter)
{
  if (voter->raft == NULL || voter->clock.now > local_time (voter))
    return;
  voter->clock.now = local_time (voter);
  receive (voter);
  raft_tick (voter->raft);
  raft_flush (voter->raft);
  voter->proved_until = raft_lease_until (voter->raft);
}

static void
step (void)
{
  unsigned proved = 0;

  world += step_us;
  for (unsigned i = 0; i < voter_count; i++)
    turn (&voters[i]);
  for (unsigned i = 0; i < voter_count; i++)
    proved += voters[i].proved_until > local_time (&voters[i]);
  g_assert_cmpuint (proved, <=, 1);
}

/* NULL: nobody is proved to lead. */
static Voter *
leader (void)
{
  for (unsigned i = 0; i < voter_count; i++)
    if (voters[i].proved_until > local_time (&voters[i]))
      return &voters[i];
  return NULL;
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

  for (unsigned i = 0; i < voter_count; i++)
    newest = MAX (newest, held (&voters[i]));
  return newest;
}

static bool
propose (void)
{
  char text[] = "document";
  MsgOp op = { .kind = MSG_OP_DOCUMENT };
  uint64_t index;

  for (unsigned i = 0; i < voter_count; i++)
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

  for (unsigned i = 0; i < voter_count; i++)
    newest = MAX (newest, raft_term (voters[i].raft));
  return newest;
}

static void
begin_many (unsigned seed, unsigned count, int64_t turn_us)
{
  source = seeded (seed);
  mail = g_array_new (FALSE, FALSE, sizeof (Mail));
  world = test_clock ().now;
  step_us = turn_us;
  proposed = cut_off = 0;
  voter_count = count;
  for (unsigned i = 0; i < count; i++)
    {
      voters[i] = (Voter){ .id = i + 1, .clock = test_clock () };
      voters[i].disk = (SlowDisk){ .base.ops = &disk_ops, .clock = &voters[i].clock };
    }
}

static void
begin (unsigned seed, const int64_t (*syncs)[2])
{
  begin_many (seed, VOTERS, STEP);
  for (unsigned i = 0; i < VOTERS; i++)
    {
      voters[i].disk.least = syncs[i][0];
      voters[i].disk.most = syncs[i][1];
      start (&voters[i]);
    }
}

static void
end (void)
{
  for (unsigned i = 0; i < voter_count; i++)
    {
      stop (&voters[i]);
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
      for (unsigned i = 0; i < voter_count; i++)
        if (raft_leading (voters[i].raft))
          voters[i].disk.least = voters[i].disk.most = 20 * FT_SECOND;
      for (unsigned i = 0; i < 3; i++)
        g_assert_cmpint (change (ACKNOWLEDGE), <=, ACKNOWLEDGE);
      end ();
    }
}

static int64_t
draw (int64_t most)
{
  return (int64_t) (ft_random_next (&source.base) % (uint64_t) most);
}

static int64_t
until_led (void)
{
  int64_t began = world;

  while (leader () == NULL && world - began < ELECTED)
    step ();
  return world - began;
}

/* Starts all voters that do not run, spread over that time. Returns how long after the last of a
 * majority's start one is proved to lead. */
static int64_t
start_all (int64_t spread)
{
  int64_t at[VOTERS_MOST] = { 0 }, began = world, majority = 0;
  unsigned running = 0;

  for (unsigned i = 0; i < voter_count; i++)
    at[i] = world + draw (spread);
  while (leader () == NULL)
    {
      for (unsigned i = 0; i < voter_count; i++)
        if (voters[i].raft == NULL && world >= at[i])
          {
            start (&voters[i]);
            if (++running == voter_count / 2 + 1)
              majority = world;
          }
      step ();
      g_assert_cmpint (world - began, <, ELECTED);
    }
  return world - majority;
}

static int
compare_times (const void *a, const void *b)
{
  int64_t x = *(const int64_t *) a, y = *(const int64_t *) b;

  return (x > y) - (x < y);
}

static void
report (const char *what, int64_t *times)
{
  int64_t sum = 0;
  unsigned middle = STARTS / 2;

  qsort (times, STARTS, sizeof *times, compare_times);
  for (unsigned i = 0; i < STARTS; i++)
    sum += times[i];
  g_test_message ("%s: mean %.0f ms, median %.0f, longest %.0f", what,
                  (double) sum / STARTS / FT_MS, (double) times[middle] / FT_MS,
                  (double) times[STARTS - 1] / FT_MS);
}

static void
run_for (int64_t least, int64_t spread)
{
  for (int64_t until = world + least + draw (spread); world < until;)
    step ();
}

/* Failure: voters that have just started wait for a usual timeout, which is meant for a silent
 * leader. Symptom: after a loss of all power nobody leads for up to a second. */
static void
test_all_restart (void)
{
  int64_t formed[STARTS], led[STARTS];

  for (unsigned seed = 1; seed <= STARTS; seed++)
    {
      begin_many (seed, VOTERS_MOST, FT_MS);
      for (unsigned i = 0; i < voter_count; i++)
        voters[i].disk.most = 3 * FT_MS;
      formed[seed - 1] = start_all (1);
      run_for (FT_SECOND, FT_SECOND);
      for (unsigned i = 0; i < voter_count; i++)
        stop (&voters[i]);
      led[seed - 1] = start_all (SPREAD);
      g_assert_cmpint (led[seed - 1], <=, LED_SOON);
      end ();
    }
  report ("first set, from the start", formed);
  report ("from the last of a majority's start", led);
}

/* The voter's disk says that it stood in the next term. */
static void
stood (Voter *voter)
{
  FtError error = { 0 };
  WalState from;
  Wal *wal;

  g_assert_cmpint (wal_open (&voter->disk.base, &wal, &from, &error), ==, FT_OK);
  g_assert_cmpint (wal_vote (wal, from.term + 1, voter->id), ==, FT_OK);
  g_assert_cmpint (wal_sync (wal), ==, FT_OK);
  wal_state_clear (&from);
  wal_free (wal);
}

/* Failure: a voter that lacks the last change stood in a newer term as all lost power. It cannot
 * win, and the others learn that term from its refusals. Symptom: each of them waits for a usual
 * timeout although nobody leads. */
static void
test_newer_term (void)
{
  for (unsigned seed = 1; seed <= STARTS; seed++)
    {
      begin_many (seed, VOTERS, FT_MS);
      start_all (1);
      if (leader () != &voters[0])
        {
          run_for (FT_SECOND, FT_SECOND);
          cut_off = voters[0].id;
          g_assert_cmpint (change (ACKNOWLEDGE), <=, ACKNOWLEDGE);
          for (unsigned i = 0; i < voter_count; i++)
            stop (&voters[i]);
          stood (&voters[0]);
          cut_off = 0;
          g_assert_cmpint (start_all (1), <=, LED_LATE);
        }
      end ();
    }
}

/* Failure: two voters confirm a round and start again at once, on clocks that run fast, and elect
 * one of them while the lease of the leader, which is cut off and whose clock runs slowly, still
 * holds. Two schedulers then give the same places away. step () checks it. */
static void
test_lease_holds (void)
{
  for (unsigned seed = 1; seed <= STARTS; seed++)
    {
      begin_many (seed, VOTERS, FT_MS / 5);
      for (unsigned i = 0; i < voter_count; i++)
        start (&voters[i]);
      g_assert_cmpint (until_led (), <, ELECTED);
      Voter *old = leader ();
      for (unsigned i = 0; i < voter_count; i++)
        voters[i].rate_error = &voters[i] == old ? -RATE_ERROR : RATE_ERROR;
      run_for (FT_SECOND, FT_SECOND);
      for (int64_t before = old->proved_until; old->proved_until == before;)
        step ();
      run_for (0, seed % 2 ? RESTARTED : 1);
      cut_off = old->id;
      for (unsigned i = 0; i < voter_count; i++)
        if (&voters[i] != old)
          {
            stop (&voters[i]);
            start (&voters[i]);
          }
      while (leader () == old)
        step ();
      g_assert_cmpint (until_led (), <, ELECTED);
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
  g_test_add_func ("/stall/all_restart", test_all_restart);
  g_test_add_func ("/stall/newer_term", test_newer_term);
  g_test_add_func ("/stall/lease_holds", test_lease_holds);
  return g_test_run ();
}
