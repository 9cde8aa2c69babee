/* blame.c - the crash table, which counts server crashes per request content, and the quarantine of
 * contents at an instance. */
#include "clock.h"
#include "content.h"
#include "quarantine.h"
#include "state.h"

#include <stdio.h>
#include <string.h>

#define HARMFUL  G_GUINT64_CONSTANT (77)
#define HARMLESS G_GUINT64_CONSTANT (5)

/* ---- The crash table ---- */

static uint64_t log_index;

static bool
add_crash_at (CrashTable *table, const char *server, int64_t wall_ms, uint64_t content)
{
  u_quad_t contents[] = { content };
  MsgCrash add_crash = { (char *) server, wall_ms, { 1, contents } };

  return crashes_add (table, ++log_index, &add_crash);
}

static bool
add_crash (CrashTable *table, const char *server, uint64_t content)
{
  return add_crash_at (table, server, 0, content);
}

static unsigned
crash_count (const CrashTable *table, uint64_t content)
{
  const MsgSuspect *suspect = crashes_find (table, content);

  return suspect ? suspect->ends : 0;
}

static bool
clear_content (CrashTable *table, uint64_t content)
{
  u_quad_t contents[] = { content };
  MsgCleared op = { { 1, contents } };

  return crashes_clear (table, ++log_index, &op);
}

/* The same crash of a server is reported several times, with times that differ a little: it counts
 * once. When the server has restarted under the same name and crashes again, that counts as another
 * crash. */
static void
crash_counts_once (void)
{
  CrashTable *table = crashes_new ();

  g_assert_true (add_crash_at (table, "s", 1000, HARMFUL));
  g_assert_false (add_crash_at (table, "s", 1000, HARMFUL));
  g_assert_false (add_crash_at (table, "s", 1400, HARMFUL));
  g_assert_false (add_crash_at (table, "s", 700, HARMFUL));
  g_assert_cmpuint (crash_count (table, HARMFUL), ==, 1);
  g_assert_true (add_crash_at (table, "s", 5000, HARMFUL));
  g_assert_true (add_crash_at (table, "t", 5000, HARMFUL));
  g_assert_cmpuint (crash_count (table, HARMFUL), ==, 3);
  crashes_free (table);
}

/* A request was on two servers when their failure domain lost power, and is then answered: its
 * content has no crashes any more. */
static void
answered_content_is_cleared (void)
{
  CrashTable *table = crashes_new ();

  add_crash (table, "s", HARMLESS);
  add_crash (table, "t", HARMLESS);
  g_assert_true (clear_content (table, HARMLESS));
  g_assert_false (clear_content (table, HARMLESS));
  add_crash (table, "u", HARMLESS);
  g_assert_cmpuint (crash_count (table, HARMLESS), ==, 1);
  crashes_free (table);
}

/* A network fault looked like the crash of a server, but the server still answers. The crash is
 * retracted from every content that it was counted for, and crashes of other servers stay. */
static void
disproved_crash_is_retracted (void)
{
  CrashTable *table = crashes_new ();
  MsgCrashRetracted survived = { (char *) "s" };

  add_crash (table, "s", HARMLESS);
  add_crash (table, "s", HARMFUL);
  add_crash (table, "t", HARMFUL);
  g_assert_true (crashes_retract (table, ++log_index, &survived));
  g_assert_false (crashes_retract (table, ++log_index, &survived));
  g_assert_cmpuint (crash_count (table, HARMLESS), ==, 0);
  g_assert_cmpuint (crash_count (table, HARMFUL), ==, 1);
  crashes_free (table);
}

/* Ten times as many contents as the table holds get one crash each. A content with more crashes
 * must stay in the table with all of them. */
static void
flood_evicts_single_crashes_only (void)
{
  CrashTable *table = crashes_new ();
  unsigned quarantined;
  char server[16];

  add_crash (table, "k0", HARMFUL);
  add_crash (table, "k1", HARMFUL);
  for (unsigned i = 0; i < 10 * CRASHES_MAX_CONTENTS; i++)
    {
      snprintf (server, sizeof server, "s%u", i);
      add_crash (table, server, 1000 + i);
    }
  g_assert_cmpuint (crashes_count (table, &quarantined), ==, CRASHES_MAX_CONTENTS);
  g_assert_cmpuint (quarantined, ==, 0);
  add_crash (table, "k2", HARMFUL);
  g_assert_cmpuint (crash_count (table, HARMFUL), ==, 3);
  crashes_count (table, &quarantined);
  g_assert_cmpuint (quarantined, ==, 1);
  crashes_free (table);
}

/* One crash of a server that ran all these. */
static void
crash_with (CrashTable *table, const char *server, int64_t wall_ms, uint64_t killer, uint64_t first)
{
  u_quad_t keys[FT_CONTENTS_MAX] = { killer };
  bool is_part = fingerprint_is_part (killer);
  MsgCrash crash = { (char *) server, wall_ms, { FT_CONTENTS_MAX, keys } };

  for (unsigned i = 1; i < FT_CONTENTS_MAX; i++)
    keys[i] = is_part ? fingerprint_part_key ("s", first + i) : first + i;
  crashes_add (table, ++log_index, &crash);
}

typedef struct
{
  const char *name;
  bool part;
  unsigned crashes; /* of each key that fills the table */
  int64_t since_ms; /* from these to the killer's first */
} FullTable;

/* Guards against a killer that is never quarantined since a table full of other suspects forgets it
 * at each next key. What is quarantined stays. */
static void
full_table_takes_killer (gconstpointer data)
{
  const FullTable *play = data;
  uint64_t killer = play->part ? fingerprint_part_key ("s", 1) : HARMFUL;
  uint64_t known = play->part ? fingerprint_part_key ("s", 2) : HARMLESS;
  CrashTable *table = crashes_new ();
  unsigned quarantined;
  char server[16];

  for (unsigned i = 0; i < 3; i++)
    {
      snprintf (server, sizeof server, "q%u", i);
      add_crash_at (table, server, 0, known);
    }
  for (unsigned i = 0; i < play->crashes * CRASHES_MAX_CONTENTS; i++)
    {
      uint64_t key = 1000 + i / play->crashes;
      snprintf (server, sizeof server, "s%u", i);
      add_crash_at (table, server, 0, play->part ? fingerprint_part_key ("s", key) : key);
    }
  g_assert_cmpuint (crashes_count (table, &quarantined), ==, CRASHES_MAX_CONTENTS);
  for (unsigned i = 0; i < 3; i++)
    {
      snprintf (server, sizeof server, "k%u", i);
      crash_with (table, server, play->since_ms + 3000 * i, killer, 100000 + 1000 * i);
    }
  g_assert_cmpuint (crash_count (table, killer), ==, 3);
  if (play->since_ms < CRASHES_PART_KEPT_MS)
    g_assert_cmpuint (crash_count (table, known), ==, 3);
  crashes_free (table);
}

/* A flood of parts, as one request with very many can bring, evicts no content, and none of them
 * that has two crashes. */
static void
flood_of_parts_evicts_no_content (void)
{
  CrashTable *table = crashes_new ();
  uint64_t part = fingerprint_part_key ("s", 0);
  unsigned quarantined;
  char server[16];

  add_crash (table, "k0", HARMFUL);
  add_crash (table, "k0", part);
  add_crash (table, "k1", part);
  for (unsigned i = 1; i < 10 * CRASHES_MAX_PARTS; i++)
    {
      snprintf (server, sizeof server, "s%u", i);
      add_crash (table, server, fingerprint_part_key ("s", i));
    }
  g_assert_cmpuint (crash_count (table, HARMFUL), ==, 1);
  g_assert_cmpuint (crash_count (table, part), ==, 2);
  g_assert_cmpuint (crashes_count (table, &quarantined), ==, CRASHES_MAX_PARTS + 1);
  crashes_free (table);
}

/* A part that is quarantined can get no answer that clears it. It is forgotten half an hour after
 * its last crash, a content is not. */
static void
old_parts_expire (void)
{
  CrashTable *table = crashes_new ();
  uint64_t part = fingerprint_part_key ("s", 1), keys[4];

  add_crash_at (table, "a", 0, part);
  add_crash_at (table, "a", 0, HARMFUL);
  add_crash_at (table, "b", 1000, part);
  g_assert_cmpuint (crashes_expired (table, CRASHES_PART_KEPT_MS + 500, keys, 4), ==, 0);
  g_assert_cmpuint (crashes_expired (table, CRASHES_PART_KEPT_MS + 2000, keys, 4), ==, 1);
  g_assert_cmpuint (keys[0], ==, part);
  crashes_free (table);
}

/* A content crashes many servers: all are counted, but only the latest are listed. */
static void
many_crashes_are_counted (void)
{
  CrashTable *table = crashes_new ();
  char server[16];

  for (unsigned i = 0; i < 20; i++)
    {
      snprintf (server, sizeof server, "s%u", i);
      add_crash (table, server, HARMFUL);
    }
  const MsgSuspect *suspect = crashes_find (table, HARMFUL);
  g_assert_cmpuint (suspect->ends, ==, 20);
  g_assert_cmpuint (suspect->latest.latest_len, ==, FT_SUSPECT_CRASHES_MAX);
  g_assert_cmpstr (suspect->latest.latest_val[FT_SUSPECT_CRASHES_MAX - 1].server, ==, "s19");
  crashes_free (table);
}

/* A voter restores a snapshot: its crash table is the same, and the next operation changes it in
 * the same way as the original. */
static void
table_survives_snapshot (void)
{
  State *state = state_new (), *later = state_new ();
  u_quad_t contents[] = { HARMFUL, HARMLESS };
  MsgOp op = { .kind = MSG_OP_CRASH };
  StateResult verdict;

  op.MsgOp_u.ended = (MsgCrash){ (char *) "s", 10, { 2, contents } };
  state_apply (state, 1, &op, &verdict);
  GByteArray *bytes = state_capture (state);
  g_assert_cmpint (state_restore (later, bytes->data, bytes->len), ==, FT_OK);
  op.MsgOp_u.ended.server = (char *) "t";
  state_apply (state, 2, &op, &verdict);
  state_apply (later, 2, &op, &verdict);
  GByteArray *one = state_capture (state), *other = state_capture (later);
  g_assert_cmpmem (one->data, one->len, other->data, other->len);
  g_assert_cmpuint (crash_count (state_crashes (later), HARMLESS), ==, 2);
  g_assert_cmpuint (crashes_index (state_crashes (later)), ==, 2);
  g_byte_array_unref (one);
  g_byte_array_unref (other);
  g_byte_array_unref (bytes);
  state_free (state);
  state_free (later);
}

/* After an upgrade a voter restores a snapshot of an older program, which has no crash table. The
 * table is empty then, and the snapshot must not be taken for a corrupt one. */
static void
older_snapshot_has_no_table (void)
{
  State *state = state_new (), *later = state_new ();
  MsgOp op = { .kind = MSG_OP_DOCUMENT };
  StateResult verdict;
  unsigned quarantined;

  op.MsgOp_u.document.number = 3;
  op.MsgOp_u.document.text.text_val = (char *) "text";
  op.MsgOp_u.document.text.text_len = 4;
  state_apply (state, 1, &op, &verdict);
  GByteArray *bytes = state_capture (state);
  g_byte_array_set_size (bytes, bytes->len - 24); /* the older program did not write this part */
  g_assert_cmpint (state_restore (later, bytes->data, bytes->len), ==, FT_OK);
  g_assert_cmpuint (state_document (later)->number, ==, 3);
  g_assert_cmpuint (crashes_count (state_crashes (later), &quarantined), ==, 0);
  g_byte_array_set_size (bytes, bytes->len - 8); /* cut in the middle of the document */
  g_assert_cmpint (state_restore (later, bytes->data, bytes->len), ==, FT_CORRUPT);
  g_byte_array_unref (bytes);
  state_free (state);
  state_free (later);
}

/* ---- The quarantine of one instance ---- */

static TestClock fake_clock;
static Quarantine *quar;

static void
begin (void)
{
  fake_clock = test_clock ();
  quar = quar_new (&fake_clock.base);
}

static void
advance_clock (int64_t us)
{
  fake_clock.now += us;
}

static QuarState
state_of (uint64_t content)
{
  return quar_check (quar, content).state;
}

/* Replaces the table by one with this content only, with crashes of servers s0, s1, ... */
static bool
update_table (uint64_t index, uint64_t content, unsigned ends)
{
  static const char *const servers[] = { "s0", "s1", "s2", "s3", "s4", "s5" };
  uint32_t digests[6];

  for (unsigned i = 0; i < ends; i++)
    digests[i] = quar_server_digest (servers[i]);
  QuarRecord record = { content, ends, digests, ends, NULL };
  return quar_update_table (quar, index, &record, ends > 0);
}

/* A content reaches three crashes. Its requests wait until recheck_at, since another instance may
 * have answered it, and are sent to no server after that. */
static void
third_crash_quarantines (void)
{
  begin ();
  update_table (1, HARMFUL, 2);
  g_assert_cmpint (state_of (HARMFUL), ==, QUAR_SUSPECT);
  update_table (2, HARMFUL, 3);
  g_assert_cmpint (state_of (HARMFUL), ==, QUAR_RECHECK);
  g_assert_cmpint (state_of (HARMLESS), ==, QUAR_NO_CRASHES);
  fake_clock.now = quar_check (quar, HARMFUL).recheck_at;
  g_assert_cmpint (state_of (HARMFUL), ==, QUAR_BLOCKED);
  update_table (3, HARMFUL, 4);
  g_assert_cmpint (state_of (HARMFUL), ==, QUAR_BLOCKED); /* the wait does not start again */
  g_assert_cmpuint (quar_count_blocked (quar), ==, 1);
  quar_free (quar);
}

/* An older table arrives late, from a lagging voter: what is quarantined stays so. */
static void
older_table_is_ignored (void)
{
  begin ();
  g_assert_true (update_table (7, HARMFUL, 3));
  advance_clock (FT_SECOND);
  g_assert_false (update_table (6, HARMFUL, 2));
  g_assert_cmpint (state_of (HARMFUL), ==, QUAR_BLOCKED);
  g_assert_true (update_table (8, HARMFUL, 0)); /* released by an operator */
  g_assert_cmpint (state_of (HARMFUL), ==, QUAR_NO_CRASHES);
  quar_free (quar);
}

/* No voter is reachable. The crashes in the table, those seen here and those reported by other
 * instances add up to three, which quarantines the content. A crash that is in the table already is
 * not counted twice. */
static void
evidence_counts_without_voters (void)
{
  begin ();
  update_table (1, HARMFUL, 2);
  quar_add_crash (quar, HARMFUL, "s1", true);
  g_assert_cmpuint (quar_check (quar, HARMFUL).ends, ==, 2);
  quar_add_crash (quar, HARMFUL, "elsewhere", false);
  g_assert_cmpint (state_of (HARMFUL), ==, QUAR_RECHECK);
  advance_clock (FT_SECOND);
  g_assert_cmpint (state_of (HARMFUL), ==, QUAR_BLOCKED);
  quar_free (quar);
}

/* Once the voters have recorded a crash, only their table counts for it, so that what they clear is
 * cleared here too. Reports of other instances are dropped once the voters have been reachable for
 * a while. */
static void
table_replaces_evidence (void)
{
  begin ();
  quar_add_crash (quar, HARMFUL, "a", true);
  quar_add_crash (quar, HARMFUL, "b", false);
  g_assert_cmpuint (quar_check (quar, HARMFUL).ends, ==, 2);
  quar_crash_recorded (quar, "a");
  g_assert_cmpuint (quar_check (quar, HARMFUL).ends, ==, 1);
  for (unsigned i = 0; i < 100; i++)
    {
      advance_clock (50 * FT_MS);
      quar_tick (quar, i % 10 != 0); /* never reachable for longer than half a second */
    }
  g_assert_cmpuint (quar_check (quar, HARMFUL).ends, ==, 1);
  for (unsigned i = 0; i < 100; i++)
    {
      advance_clock (50 * FT_MS);
      quar_tick (quar, true);
    }
  g_assert_cmpint (state_of (HARMFUL), ==, QUAR_NO_CRASHES);
  quar_free (quar);
}

/* A failure domain loses power while six of its servers run the same popular content. Its requests
 * wait a little and are not refused, since an instance that has just answered this content tells
 * the voters. */
static void
recently_answered_is_reported (void)
{
  uint64_t answered[4];

  begin ();
  g_assert_false (quar_answered (quar, HARMLESS)); /* no crash is recorded yet */
  advance_clock (FT_SECOND);
  update_table (1, HARMLESS, 6);
  g_assert_cmpint (state_of (HARMLESS), ==, QUAR_RECHECK);
  g_assert_cmpuint (quar_recently_answered (quar, answered, 4), ==, 1);
  g_assert_cmpuint (answered[0], ==, HARMLESS);
  update_table (2, HARMLESS, 0);
  g_assert_cmpint (state_of (HARMLESS), ==, QUAR_NO_CRASHES);
  quar_free (quar);
}

/* A content was answered long ago and crashes servers now, since they run another release. The old
 * answer proves nothing; an answer that completes after the quarantine began does. */
static void
old_answer_proves_nothing (void)
{
  uint64_t answered[4];

  begin ();
  quar_answered (quar, HARMFUL);
  advance_clock (60 * FT_SECOND);
  update_table (1, HARMFUL, 3);
  g_assert_cmpuint (quar_recently_answered (quar, answered, 4), ==, 0);
  g_assert_true (quar_answered (quar, HARMFUL));
  g_assert_cmpuint (quar_recently_answered (quar, answered, 4), ==, 1);
  quar_free (quar);
}

/* A network fault looked like the crash of a server, which answers this instance a moment later:
 * that disproves the crash. An answer seconds later does not, since the server may have restarted.
 */
static void
answer_disproves_crash (void)
{
  begin ();
  int64_t before = fake_clock.now;
  advance_clock (10 * FT_MS);
  update_table (1, HARMLESS, 2);
  advance_clock (10 * FT_MS);
  g_assert_false (quar_crash_disproved (quar, "s0", before)); /* sent before the crash */
  g_assert_true (quar_crash_disproved (quar, "s0", fake_clock.now));
  g_assert_false (quar_crash_disproved (quar, "s9", fake_clock.now));
  advance_clock (5 * FT_SECOND);
  update_table (2, HARMLESS, 2);
  g_assert_false (quar_crash_disproved (quar, "s0", fake_clock.now));
  quar_free (quar);
}

/* Thousands of contents get one crash each at this instance while no voter is reachable. The one
 * with two crashes keeps them. */
static void
evidence_is_bounded (void)
{
  char server[16];

  begin ();
  quar_add_crash (quar, HARMFUL, "a", true);
  quar_add_crash (quar, HARMFUL, "b", true);
  for (unsigned i = 0; i < 5000; i++)
    {
      snprintf (server, sizeof server, "s%u", i);
      quar_add_crash (quar, 1000 + i, server, true);
    }
  g_assert_cmpuint (quar_check (quar, HARMFUL).ends, ==, 2);
  quar_free (quar);
}

int
main (int argc, char **argv)
{
  static const FullTable full_tables[]
      = { { "/blame/full/content_recent", false, 2, 1000 },
          { "/blame/full/part_recent", true, 2, 1000 },
          { "/blame/full/content_old", false, 2, 120000 },
          { "/blame/full/part_old", true, 2, 120000 },
          { "/blame/full/content_held", false, 3, CRASHES_PART_KEPT_MS + 1000 },
          { "/blame/full/part_held", true, 3, CRASHES_PART_KEPT_MS + 1000 } };

  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/blame/once", crash_counts_once);
  g_test_add_func ("/blame/cleared", answered_content_is_cleared);
  g_test_add_func ("/blame/survived", disproved_crash_is_retracted);
  g_test_add_func ("/blame/flood", flood_evicts_single_crashes_only);
  g_test_add_func ("/blame/flood_of_parts", flood_of_parts_evicts_no_content);
  g_test_add_func ("/blame/expiry", old_parts_expire);
  for (unsigned i = 0; i < G_N_ELEMENTS (full_tables); i++)
    g_test_add_data_func (full_tables[i].name, &full_tables[i], full_table_takes_killer);
  g_test_add_func ("/blame/many", many_crashes_are_counted);
  g_test_add_func ("/blame/snapshot", table_survives_snapshot);
  g_test_add_func ("/blame/older_snapshot", older_snapshot_has_no_table);
  g_test_add_func ("/quarantine/third", third_crash_quarantines);
  g_test_add_func ("/quarantine/older", older_table_is_ignored);
  g_test_add_func ("/quarantine/alone", evidence_counts_without_voters);
  g_test_add_func ("/quarantine/taken_over", table_replaces_evidence);
  g_test_add_func ("/quarantine/popular", recently_answered_is_reported);
  g_test_add_func ("/quarantine/old_answer", old_answer_proves_nothing);
  g_test_add_func ("/quarantine/lives", answer_disproves_crash);
  g_test_add_func ("/quarantine/bounded", evidence_is_bounded);
  return g_test_run ();
}
