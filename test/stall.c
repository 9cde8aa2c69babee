/* stall.c - elections among voters whose disk syncs last longer than the election timeout, and
 * among voters that all restart at once, on a virtual clock.
 *
 * As in a deployment, a sync blocks the voter: messages that arrive meanwhile wait, and its clock
 * has advanced by the duration of the sync when that returns.
 */
#include "clock.h"
#include "raft.h"
#include "seeded.h"
#include "wal.h"

#include <string.h>

#define SLOW_VOTERS             3 /* in the tests of slow disks */
#define VOTERS_MAX              FT_VOTERS_MAX
#define FILES                   3
#define STEP_US                 (5 * FT_MS)
#define SEEDS                   20
#define ELECTION_TIME_MAX       (30 * FT_SECOND) /* for the first change after a start */
#define CHANGE_TIMEOUT          (5 * FT_SECOND)  /* the shortest time that operators wait */
#define WATCH_TIME              (60 * FT_SECOND)
#define CHANGE_INTERVAL         (8 * FT_SECOND) /* between two changes of the watch time */
#define RESEND_INTERVAL         FT_SECOND       /* of an operator without an answer */
#define RESTART_SEEDS           50              /* seeds of the tests that restart voters */
#define START_SPREAD            (370 * FT_MS) /* between the first and last start of seven voters */
#define CLOCK_ERROR_PPM         15000         /* of a clock's rate, in parts per million */
#define RESTART_ELECTION_MAX    (700 * FT_MS) /* after a majority has started */
#define NEWER_TERM_ELECTION_MAX FT_SECOND    /* as above, if voters must first learn a newer term */
#define RESTART_DELAY_MAX       (50 * FT_MS) /* after a heartbeat round that a majority confirmed */

typedef struct
{
  FtDisk base;
  GByteArray *files[FILES];
  TestClock *clock;
  int64_t min, max; /* duration of a sync */
} SlowDisk;

typedef struct
{
  uint32_t id;
  TestClock clock; /* ahead of local_time () while a sync lasts */
  SlowDisk disk;
  State *state;
  Raft *raft; /* NULL: not running */
  int64_t lease_until;
  int64_t clock_error_ppm; /* of its clock's rate */
} Voter;

typedef struct
{
  uint32_t from, to;
  int64_t at;
  GByteArray *bytes;
} Message;

static const char *const names[FILES] = { "ident", "snap", "log" };
static SeededRandom random_source;
static Voter voters[VOTERS_MAX];
static unsigned voter_count;
static GArray *messages; /* of Message, in the order of sending */
static int64_t world_now, step_us;
static uint64_t proposed;
static uint32_t cut_off; /* id of the voter without connections; 0: none */

/* ---- Disks ---- */

static GByteArray **
find_file (FtDisk *base, const char *name)
{
  for (unsigned i = 0; i < FILES; i++)
    if (strcmp (names[i], name) == 0)
      return &((SlowDisk *) base)->files[i];
  g_assert_not_reached ();
}

static FtStatus
disk_read (FtDisk *base, const char *name, size_t offset, size_t max, GByteArray *out)
{
  GByteArray *file = *find_file (base, name);

  if (file == NULL)
    return FT_NOT_FOUND;
  if (offset < file->len)
    g_byte_array_append (out, file->data + offset, (guint) MIN (max, file->len - offset));
  return FT_OK;
}

static FtStatus
disk_append (FtDisk *base, const char *name, const void *data, size_t size)
{
  GByteArray **file = find_file (base, name);

  if (*file == NULL)
    *file = g_byte_array_new ();
  g_byte_array_append (*file, data, (guint) size);
  return FT_OK;
}

static FtStatus
disk_sync (FtDisk *base, const char *name)
{
  SlowDisk *disk = (SlowDisk *) base;
  uint64_t spread = (uint64_t) (disk->max - disk->min) + 1;

  (void) name;
  disk->clock->now += disk->min + (int64_t) (ft_random_next (&random_source.base) % spread);
  return FT_OK;
}

static FtStatus
disk_replace (FtDisk *base, const char *name, const void *data, size_t size)
{
  g_clear_pointer (find_file (base, name), g_byte_array_unref);
  disk_append (base, name, data, size);
  return disk_sync (base, name);
}

static FtStatus
disk_truncate (FtDisk *base, const char *name, size_t size)
{
  g_byte_array_set_size (*find_file (base, name), (guint) size);
  return disk_sync (base, name);
}

static const FtDiskOps disk_ops
    = { disk_read, disk_append, disk_sync, disk_replace, disk_truncate };

/* ---- Voters ---- */

/* Time of the voter's clock, leaving out a sync under way. */
static int64_t
local_time (const Voter *voter)
{
  return world_now + (world_now - test_clock ().now) * voter->clock_error_ppm / 1000000;
}

static void
on_send (void *host, uint32_t to, GByteArray *bytes)
{
  Voter *voter = host;
  int64_t sync_delay = voter->clock.now - local_time (voter);
  Message message = { voter->id, to, world_now + sync_delay + MIN (FT_MS, step_us), bytes };

  g_array_append_val (messages, message);
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
  uint32_t ids[VOTERS_MAX];
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
  g_assert_cmpint (raft_new (&conf, &voter->clock.base, &random_source.base, &voter->disk.base,
                             voter->state, &raft_ops, voter, &voter->raft, &error),
                   ==, FT_OK);
}

/* Ends the process: its files stay, messages on their way to it are lost. */
static void
stop (Voter *voter)
{
  raft_free (voter->raft);
  state_free (voter->state);
  voter->raft = NULL;
  voter->lease_until = 0;
  for (unsigned i = 0; i < messages->len;)
    if (g_array_index (messages, Message, i).to == voter->id)
      {
        g_byte_array_unref (g_array_index (messages, Message, i).bytes);
        g_array_remove_index (messages, i);
      }
    else
      i++;
}

static void
receive (Voter *voter)
{
  for (unsigned i = 0; i < messages->len;)
    {
      Message message = g_array_index (messages, Message, i);
      if (message.to != voter->id || message.at > world_now)
        {
          i++;
          continue;
        }
      g_array_remove_index (messages, i);
      Msg msg = { 0 };
      g_assert_cmpint (
          codec_unpack (CODEC (Msg), message.bytes->data, message.bytes->len, &msg, NULL), ==,
          FT_OK);
      if (cut_off != message.from && cut_off != message.to)
        raft_receive (voter->raft, message.from, &msg);
      codec_clear (CODEC (Msg), &msg);
      g_byte_array_unref (message.bytes);
    }
}

/* Lets the voter handle its messages and timers, unless a sync still blocks it. */
static void
run_voter (Voter *voter)
{
  if (voter->raft == NULL || voter->clock.now > local_time (voter))
    return;
  voter->clock.now = local_time (voter);
  receive (voter);
  raft_tick (voter->raft);
  raft_flush (voter->raft);
  voter->lease_until = raft_lease_until (voter->raft);
}

static void
step (void)
{
  unsigned lease_holders = 0;

  world_now += step_us;
  for (unsigned i = 0; i < voter_count; i++)
    run_voter (&voters[i]);
  for (unsigned i = 0; i < voter_count; i++)
    lease_holders += voters[i].lease_until > local_time (&voters[i]);
  g_assert_cmpuint (lease_holders, <=, 1);
}

/* Returns the voter with a valid leader lease; NULL: there is none. */
static Voter *
find_leader (void)
{
  for (unsigned i = 0; i < voter_count; i++)
    if (voters[i].lease_until > local_time (&voters[i]))
      return &voters[i];
  return NULL;
}

static uint64_t
document_number (const Voter *voter)
{
  const MsgDocument *document = state_document (voter->state);

  return document ? document->number : 0;
}

static uint64_t
newest_document (void)
{
  uint64_t newest = 0;

  for (unsigned i = 0; i < voter_count; i++)
    newest = MAX (newest, document_number (&voters[i]));
  return newest;
}

static bool
propose (void)
{
  char text[] = "document";
  MsgOp op = { .kind = MSG_OP_DOCUMENT };
  uint64_t index;

  for (unsigned i = 0; i < voter_count; i++)
    if (voters[i].clock.now <= world_now && raft_leading (voters[i].raft))
      {
        op.MsgOp_u.document.number = ++proposed;
        op.MsgOp_u.document.text.text_val = text;
        op.MsgOp_u.document.text.text_len = sizeof text;
        return raft_propose (voters[i].raft, &op, &index) == FT_OK;
      }
  return false;
}

/* Sends a change as an operator does, again and again until some voter has applied it or the time
 * is over. Returns how long that took. */
static int64_t
run_change (int64_t max)
{
  int64_t began = world_now;
  uint64_t before = newest_document ();
  int64_t sent = 0;

  while (newest_document () == before && world_now - began <= max)
    {
      if (world_now - sent >= RESEND_INTERVAL && propose ())
        sent = world_now;
      step ();
    }
  return world_now - began;
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
begin_voters (unsigned seed, unsigned count, int64_t new_step_us)
{
  random_source = seeded_random (seed);
  messages = g_array_new (FALSE, FALSE, sizeof (Message));
  world_now = test_clock ().now;
  step_us = new_step_us;
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
  begin_voters (seed, SLOW_VOTERS, STEP_US);
  for (unsigned i = 0; i < SLOW_VOTERS; i++)
    {
      voters[i].disk.min = syncs[i][0];
      voters[i].disk.max = syncs[i][1];
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
  for (unsigned i = 0; i < messages->len; i++)
    g_byte_array_unref (g_array_index (messages, Message, i).bytes);
  g_array_unref (messages);
}

/* Checks that new voters accept a change, and that later changes are accepted in the same term. */
static void
check_leader_stays (const int64_t (*syncs)[2], int64_t max)
{
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      begin (seed, syncs);
      g_assert_cmpint (run_change (ELECTION_TIME_MAX), <=, ELECTION_TIME_MAX);
      uint64_t term = newest_term ();
      for (int64_t until = world_now + WATCH_TIME; world_now < until;)
        {
          for (int64_t next = world_now + CHANGE_INTERVAL; world_now < next;)
            step ();
          g_assert_cmpint (run_change (max), <=, max);
        }
      g_assert_cmpuint (newest_term (), ==, term);
      end ();
    }
}

/* All disks are slow. Guards against voters that start elections again and again, so that no leader
 * stays. */
static void
test_all_slow (void)
{
  static const int64_t syncs[SLOW_VOTERS][2] = { { 2 * FT_SECOND, 2 * FT_SECOND },
                                                 { 2 * FT_SECOND, 2 * FT_SECOND },
                                                 { 2 * FT_SECOND, 2 * FT_SECOND } };

  check_leader_stays (syncs, 2 * CHANGE_TIMEOUT);
}

/* As above, with syncs of random length. Guards against votes that arrive only after the candidate
 * has started its next election. */
static void
test_uneven (void)
{
  static const int64_t syncs[SLOW_VOTERS][2] = { { 200 * FT_MS, 3 * FT_SECOND },
                                                 { 200 * FT_MS, 3 * FT_SECOND },
                                                 { 200 * FT_MS, 3 * FT_SECOND } };

  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      begin (seed, syncs);
      g_assert_cmpint (run_change (ELECTION_TIME_MAX), <=, ELECTION_TIME_MAX);
      end ();
    }
}

/* Two of three disks are slow. Guards against a leader with a fast disk that takes its followers
 * for dead. */
static void
test_followers_slow (void)
{
  static const int64_t syncs[SLOW_VOTERS][2] = { { 5 * FT_MS, 5 * FT_MS },
                                                 { 2 * FT_SECOND, 2 * FT_SECOND },
                                                 { 2 * FT_SECOND, 2 * FT_SECOND } };

  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      begin (seed, syncs);
      g_assert_cmpint (run_change (ELECTION_TIME_MAX), <=, ELECTION_TIME_MAX);
      end ();
    }
}

/* Only the leader's disk becomes slow. Changes must be accepted as soon as after the election of
 * another leader. */
static void
test_leader_slow (void)
{
  static const int64_t syncs[SLOW_VOTERS][2]
      = { { 5 * FT_MS, 5 * FT_MS }, { 5 * FT_MS, 5 * FT_MS }, { 5 * FT_MS, 5 * FT_MS } };

  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      begin (seed, syncs);
      g_assert_cmpint (run_change (CHANGE_TIMEOUT), <=, CHANGE_TIMEOUT);
      for (unsigned i = 0; i < voter_count; i++)
        if (raft_leading (voters[i].raft))
          voters[i].disk.min = voters[i].disk.max = 20 * FT_SECOND;
      for (unsigned i = 0; i < 3; i++)
        g_assert_cmpint (run_change (CHANGE_TIMEOUT), <=, CHANGE_TIMEOUT);
      end ();
    }
}

static int64_t
random_below (int64_t max)
{
  return (int64_t) (ft_random_next (&random_source.base) % (uint64_t) max);
}

static int64_t
run_until_led (void)
{
  int64_t began = world_now;

  while (find_leader () == NULL && world_now - began < ELECTION_TIME_MAX)
    step ();
  return world_now - began;
}

/* Starts all voters at random times within spread. Returns the time from the start that completed a
 * majority until a leader holds a valid lease. */
static int64_t
start_all (int64_t spread)
{
  int64_t at[VOTERS_MAX] = { 0 }, began = world_now, majority = 0;
  unsigned running = 0;

  for (unsigned i = 0; i < voter_count; i++)
    at[i] = world_now + random_below (spread);
  while (find_leader () == NULL)
    {
      for (unsigned i = 0; i < voter_count; i++)
        if (voters[i].raft == NULL && world_now >= at[i])
          {
            start (&voters[i]);
            if (++running == voter_count / 2 + 1)
              majority = world_now;
          }
      step ();
      g_assert_cmpint (world_now - began, <, ELECTION_TIME_MAX);
    }
  return world_now - majority;
}

static int
compare_times (const void *a, const void *b)
{
  int64_t x = *(const int64_t *) a, y = *(const int64_t *) b;

  return (x > y) - (x < y);
}

static void
report_times (const char *what, int64_t *times)
{
  int64_t sum = 0;
  unsigned middle = RESTART_SEEDS / 2;

  qsort (times, RESTART_SEEDS, sizeof *times, compare_times);
  for (unsigned i = 0; i < RESTART_SEEDS; i++)
    sum += times[i];
  g_test_message ("%s: mean %.0f ms, median %.0f, longest %.0f", what,
                  (double) sum / RESTART_SEEDS / FT_MS, (double) times[middle] / FT_MS,
                  (double) times[RESTART_SEEDS - 1] / FT_MS);
}

static void
run_for (int64_t min, int64_t spread)
{
  for (int64_t until = world_now + min + random_below (spread); world_now < until;)
    step ();
}

/* Guards against voters that wait for the usual election timeout, which is meant for a silent
 * leader, after they have just started: after a total power loss there was no leader for up to a
 * second. */
static void
test_all_restart (void)
{
  int64_t first_led_after[RESTART_SEEDS], led_after[RESTART_SEEDS];

  for (unsigned seed = 1; seed <= RESTART_SEEDS; seed++)
    {
      begin_voters (seed, VOTERS_MAX, FT_MS);
      for (unsigned i = 0; i < voter_count; i++)
        voters[i].disk.max = 3 * FT_MS;
      first_led_after[seed - 1] = start_all (1);
      run_for (FT_SECOND, FT_SECOND);
      for (unsigned i = 0; i < voter_count; i++)
        stop (&voters[i]);
      led_after[seed - 1] = start_all (START_SPREAD);
      g_assert_cmpint (led_after[seed - 1], <=, RESTART_ELECTION_MAX);
      end ();
    }
  report_times ("first election, from the start of a majority", first_led_after);
  report_times ("election after a restart of all voters, from the start of a majority", led_after);
}

/* Writes to the voter's disk that it was a candidate in the next term. */
static void
record_candidacy (Voter *voter)
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

/* A voter that lacks the last change was a candidate in a newer term when all voters lost power. It
 * cannot win, and the others learn that term from its refusals. Guards against each of them waiting
 * for the usual election timeout then, although there is no leader. */
static void
test_newer_term (void)
{
  for (unsigned seed = 1; seed <= RESTART_SEEDS; seed++)
    {
      begin_voters (seed, SLOW_VOTERS, FT_MS);
      start_all (1);
      if (find_leader () != &voters[0])
        {
          run_for (FT_SECOND, FT_SECOND);
          cut_off = voters[0].id;
          g_assert_cmpint (run_change (CHANGE_TIMEOUT), <=, CHANGE_TIMEOUT);
          for (unsigned i = 0; i < voter_count; i++)
            stop (&voters[i]);
          record_candidacy (&voters[0]);
          cut_off = 0;
          g_assert_cmpint (start_all (1), <=, NEWER_TERM_ELECTION_MAX);
        }
      end ();
    }
}

/* Two voters with fast clocks confirm a heartbeat round and restart at once, while the leader,
 * whose clock is slow, is cut off. Guards against their electing one of them while the leader's
 * lease is still valid, so that two schedulers grant the same slots. step () checks this. */
static void
test_lease_holds (void)
{
  for (unsigned seed = 1; seed <= RESTART_SEEDS; seed++)
    {
      begin_voters (seed, SLOW_VOTERS, FT_MS / 5);
      for (unsigned i = 0; i < voter_count; i++)
        start (&voters[i]);
      g_assert_cmpint (run_until_led (), <, ELECTION_TIME_MAX);
      Voter *old = find_leader ();
      for (unsigned i = 0; i < voter_count; i++)
        voters[i].clock_error_ppm = &voters[i] == old ? -CLOCK_ERROR_PPM : CLOCK_ERROR_PPM;
      run_for (FT_SECOND, FT_SECOND);
      for (int64_t before = old->lease_until; old->lease_until == before;)
        step ();
      run_for (0, seed % 2 ? RESTART_DELAY_MAX : 1);
      cut_off = old->id;
      for (unsigned i = 0; i < voter_count; i++)
        if (&voters[i] != old)
          {
            stop (&voters[i]);
            start (&voters[i]);
          }
      while (find_leader () == old)
        step ();
      g_assert_cmpint (run_until_led (), <, ELECTION_TIME_MAX);
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
