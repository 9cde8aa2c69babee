/* found.c - random schedules for voters that are found while running: kills, lost power with
 * unsynced writes gone, lost disks, machines replaced by empty ones at other addresses, cuts, late
 * messages. A disk is lost, or a machine replaced, only when the set is whole again; what keeps its
 * disk is killed and cut off in any number at any moment, also in the middle of elections. With odd
 * seeds a voter also ends while it syncs, when it has sent what does not wait for the sync.
 *
 * Checked all the while: what a proved leader has acknowledged is never lost and never older at a
 * later proved leader; no two voters are proved to lead in one moment. Seeded; the verdict of a
 * seed is always the same.
 */
#include "clock.h"
#include "raft.h"
#include "seeded.h"

#include <stdio.h>
#include <string.h>

#define IDS      12 /* addresses that ever exist; three form, others come in their place */
#define STEPS    6000
#define STEP     (10 * FT_MS)
#define FILES    3
#define CALM     400 /* steps without, and then as many with shaking */
#define SHAKEN   12  /* steps between two shakes, on average: a few in each election */
#define MESSAGES 4096
#define LOG      2  /* of FILES */
#define SYNCS    40 /* syncs of all voters between two that do not return, on average */

typedef struct
{
  FtDisk base;
  GByteArray *now[FILES], *lasting[FILES];
  bool lost; /* a sync did not return */
} MemDisk;

typedef struct
{
  uint32_t id;
  bool exists, up;
  MemDisk disk;
  State *state;
  Raft *raft;
  int64_t back_at;
} Voter;

typedef struct
{
  uint32_t from, to;
  int64_t at;
  GByteArray *bytes;
} Mail;

static const char *const names[FILES] = { "ident", "snap", "log" };
static TestClock now;
static Seeded source, losses;
static bool lose_in_syncs;
static Voter voters[IDS];
static GArray *mail; /* Mail */
static uint32_t sender;
static uint64_t acknowledged, proposed;
static unsigned cut_one; /* id that is cut off; 0: none */
static unsigned replaced, wiped, killed, accepted, cut_short;
static int64_t apart_until; /* voters of odd and even ids do not hear each other; 0: they do */

/* ---- The world ---- */

static unsigned
draw (unsigned most)
{
  return (unsigned) (seeded_next (&source.base) % most);
}

static unsigned
file_of (const char *name)
{
  for (unsigned i = 0; i < FILES; i++)
    if (strcmp (names[i], name) == 0)
      return i;
  g_assert_not_reached ();
}

static FtStatus
disk_read (FtDisk *base, const char *name, GByteArray *out)
{
  GByteArray *file = ((MemDisk *) base)->now[file_of (name)];

  if (file == NULL)
    return FT_NOT_FOUND;
  g_byte_array_append (out, file->data, file->len);
  return FT_OK;
}

static FtStatus
disk_append (FtDisk *base, const char *name, const void *data, size_t size)
{
  GByteArray **file = &((MemDisk *) base)->now[file_of (name)];

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
  unsigned file = file_of (name);

  if (lose_in_syncs && seeded_next (&losses.base) % SYNCS == 0)
    {
      disk->lost = true;
      cut_short++;
      return FT_IO;
    }
  /* A folder is synced as well when a file is first used; contents were, before they were renamed.
   */
  for (unsigned i = 0; i < FILES; i++)
    if (i == file || (file == LOG && !disk->lost))
      copy_file (&disk->lasting[i], disk->now[i]);
  return FT_OK;
}

static FtStatus
disk_replace (FtDisk *base, const char *name, const void *data, size_t size)
{
  MemDisk *disk = (MemDisk *) base;
  unsigned file = file_of (name);

  g_clear_pointer (&disk->now[file], g_byte_array_unref);
  disk_append (base, name, data, size);
  return disk_sync (base, name);
}

static FtStatus
disk_truncate (FtDisk *base, const char *name, size_t size)
{
  g_byte_array_set_size (((MemDisk *) base)->now[file_of (name)], (guint) size);
  return disk_sync (base, name);
}

static const FtDiskOps disk_ops
    = { disk_read, disk_append, disk_sync, disk_replace, disk_truncate };

static void
on_send (void *host, uint32_t to, GByteArray *bytes)
{
  Mail one = { sender, to, now.now + (1 + draw (8)) * FT_MS, bytes };

  (void) host;
  if (draw (50) == 0)
    one.at += draw (2000) * FT_MS; /* very late */
  if (mail->len < MESSAGES)
    g_array_append_val (mail, one);
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

static void
start (Voter *voter, bool first)
{
  uint32_t seeds[] = { 1, 2, 3 };
  RaftConf conf = { .self = voter->id,
                    .voters = seeds,
                    .count = 3,
                    .snapshot_after = 8,
                    .discover = true,
                    .may_bootstrap = first,
                    .min_voters = 3 };
  FtError error = { 0 };

  bool lose = lose_in_syncs;
  lose_in_syncs = false; /* a voter that starts has said nothing yet */
  voter->state = state_new ();
  if (raft_new (&conf, &now.base, &source.base, &voter->disk.base, voter->state, &raft_ops, NULL,
                &voter->raft, &error)
      != FT_OK)
    g_error ("voter %u does not start: %s: %s", voter->id, error.field, error.text);
  voter->up = voter->exists = true;
  voter->disk.lost = false;
  lose_in_syncs = lose;
  for (unsigned i = 0; i < IDS; i++)
    if (voters[i].exists)
      raft_add_peer (voter->raft, voters[i].id); /* as views of other voters tell */
}

static void
stop (Voter *voter, bool power)
{
  raft_free (voter->raft);
  state_free (voter->state);
  voter->raft = NULL;
  voter->up = false;
  for (unsigned i = 0; power && i < FILES; i++)
    copy_file (&voter->disk.now[i], voter->disk.lasting[i]);
}

static void
wipe (Voter *voter)
{
  for (unsigned i = 0; i < FILES; i++)
    {
      g_clear_pointer (&voter->disk.now[i], g_byte_array_unref);
      g_clear_pointer (&voter->disk.lasting[i], g_byte_array_unref);
    }
}

/* ---- Promises ---- */

static uint64_t
held (const Voter *voter)
{
  const MsgDocument *document = state_document (voter->state);

  return document ? document->number : 0;
}

static Voter *
check_leaders (void)
{
  Voter *leader = NULL;

  for (unsigned i = 0; i < IDS; i++)
    {
      Voter *voter = &voters[i];
      if (!voter->up || !raft_leading (voter->raft))
        continue;
      if (leader)
        g_error ("%u and %u are both proved to lead", leader->id, voter->id);
      if (held (voter) < acknowledged)
        g_error ("leader %u holds %lu, %lu was acknowledged", voter->id,
                 (unsigned long) held (voter), (unsigned long) acknowledged);
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

/* ---- Faults: one voter at a time, and the next when the set is whole again ---- */

static bool
whole (const Voter *leader)
{
  uint32_t ids[FT_VOTERS_MAX];
  unsigned count, up = 0, there = 0;

  if (leader == NULL)
    return false;
  count = raft_voters (leader->raft, ids);
  for (unsigned i = 0; i < IDS; i++)
    {
      there += voters[i].up && raft_is_member (voters[i].raft)
               && raft_commit (voters[i].raft) + 2 >= raft_commit (leader->raft);
      up += voters[i].up;
    }
  return count >= 3 && there == count && up == count;
}

static void
hit (void)
{
  Voter *voter = &voters[draw (IDS)];
  unsigned how = draw (5);

  if (!voter->up)
    return;
  if (how == 4)
    {
      cut_one = voter->id;
      voter->back_at = now.now + (500 + draw (4000)) * FT_MS;
      return;
    }
  stop (voter, draw (2));
  voter->back_at = now.now + (100 + draw (4000)) * FT_MS;
  killed++;
  if (how == 0)
    {
      wipe (voter);
      wiped++;
    }
  if (how != 1)
    return;
  for (unsigned i = 0; i < IDS; i++)
    if (!voters[i].exists)
      {
        voter->back_at = INT64_MAX; /* gone for good */
        wipe (voter);
        start (&voters[i], false);
        replaced++;
        return;
      }
}

/* Faults that take no disk: several at once, and again before the last one is over. */
static void
shake (void)
{
  Voter *voter = &voters[draw (IDS)];
  unsigned how = draw (10);

  if (how == 0)
    apart_until = now.now + (200 + draw (1500)) * FT_MS;
  if (how < 2 || !voter->up)
    return;
  stop (voter, how < 8);
  voter->back_at = now.now + (10 + draw (300)) * FT_MS;
  killed++;
}

static bool
is_apart (uint32_t a, uint32_t b)
{
  return now.now < apart_until && a % 2 != b % 2;
}

static void
bring_back (void)
{
  for (unsigned i = 0; i < IDS; i++)
    {
      Voter *voter = &voters[i];
      if (voter->up && voter->disk.lost)
        {
          stop (voter, draw (2)); /* or only the process has ended */
          voter->back_at = now.now + (10 + draw (300)) * FT_MS;
        }
      if (voter->exists && !voter->up && now.now >= voter->back_at)
        start (voter, false);
      if (cut_one == voter->id && voter->up && now.now >= voter->back_at)
        cut_one = 0;
    }
}

/* ---- Running ---- */

static Voter *
by_id (uint32_t id)
{
  return id >= 1 && id <= IDS ? &voters[id - 1] : NULL;
}

static void
deliver (void)
{
  for (unsigned i = 0; i < mail->len;)
    {
      Mail one = g_array_index (mail, Mail, i);
      if (one.at > now.now)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (mail, i);
      Voter *to = by_id (one.to);
      Msg msg = { 0 };
      bool cut
          = (cut_one && (one.from == cut_one || one.to == cut_one)) || is_apart (one.from, one.to);
      if (to && to->up && !cut
          && codec_unpack (CODEC (Msg), one.bytes->data, one.bytes->len, &msg, NULL) == FT_OK)
        {
          sender = to->id;
          raft_receive (to->raft, one.from, &msg);
          raft_flush (to->raft);
        }
      codec_clear (CODEC (Msg), &msg);
      g_byte_array_unref (one.bytes);
    }
}

static void
schedule (unsigned seed)
{
  now = test_clock ();
  source = losses = seeded (seed);
  mail = g_array_new (FALSE, FALSE, sizeof (Mail));
  acknowledged = proposed = cut_one = 0;
  apart_until = 0;
  for (unsigned i = 0; i < IDS; i++)
    voters[i] = (Voter){ .id = i + 1, .disk.base.ops = &disk_ops };
  for (unsigned i = 0; i < 3; i++)
    start (&voters[i], true);
  for (unsigned step = 0; step < STEPS; step++)
    {
      now.now += STEP;
      deliver ();
      for (unsigned i = 0; i < IDS; i++)
        if (voters[i].up && step % 2 == 0)
          {
            sender = voters[i].id;
            raft_tick (voters[i].raft);
            raft_flush (voters[i].raft);
          }
      lose_in_syncs = seed % 2 == 1 && step / CALM % 2 == 1;
      Voter *leader = check_leaders ();
      if (leader && held (leader) > acknowledged)
        {
          acknowledged = held (leader);
          accepted++;
        }
      if (leader && draw (30) == 0)
        propose (leader);
      if (cut_one == 0 && whole (leader) && draw (60) == 0)
        hit ();
      if (step / CALM % 2 == 1 && draw (SHAKEN) == 0)
        shake ();
      bring_back ();
    }
  if (acknowledged == 0)
    g_error ("nothing was ever accepted");
  for (unsigned i = 0; i < IDS; i++)
    {
      if (voters[i].up)
        stop (&voters[i], false);
      wipe (&voters[i]);
    }
  for (unsigned i = 0; i < mail->len; i++)
    g_byte_array_unref (g_array_index (mail, Mail, i).bytes);
  g_array_unref (mail);
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
      schedule (seed);
    }
  printf (
      "# %u schedules from seed %u: %u changes accepted, %u kills, %u syncs cut short, %u disks "
      "lost, %u machines replaced\n",
      count, first, accepted, killed, cut_short, wiped, replaced);
  printf ("ok 1 - what was acknowledged is kept by voters that come and go\n");
  return 0;
}
