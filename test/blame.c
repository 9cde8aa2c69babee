/* blame.c - the account of contents that end servers, and what an instance makes of it. */
#include "clock.h"
#include "content.h"
#include "quarantine.h"
#include "state.h"

#include <stdio.h>
#include <string.h>

#define KILLER   G_GUINT64_CONSTANT (77)
#define INNOCENT G_GUINT64_CONSTANT (5)

/* ---- The account ---- */

static uint64_t log_index;

static bool
ended_at (CrashTable *blame, const char *server, int64_t wall_ms, uint64_t content)
{
  u_quad_t contents[] = { content };
  MsgCrash ended = { (char *) server, wall_ms, { 1, contents } };

  return crashes_add (blame, ++log_index, &ended);
}

static bool
ended (CrashTable *blame, const char *server, uint64_t content)
{
  return ended_at (blame, server, 0, content);
}

static unsigned
ends_of (const CrashTable *blame, uint64_t content)
{
  const MsgSuspect *suspect = crashes_find (blame, content);

  return suspect ? suspect->ends : 0;
}

static bool
cleared (CrashTable *blame, uint64_t content)
{
  u_quad_t contents[] = { content };
  MsgCleared op = { { 1, contents } };

  return crashes_clear (blame, ++log_index, &op);
}

/* A server ends, and three entries each tell of it, two of them twice. Its content is charged with
 * one end. The server starts again under its name and ends once more: that is another one. */
static void
an_end_counts_once (void)
{
  CrashTable *blame = crashes_new ();

  g_assert_true (ended_at (blame, "s", 1000, KILLER));
  g_assert_false (ended_at (blame, "s", 1000, KILLER));
  g_assert_false (ended_at (blame, "s", 1400, KILLER));
  g_assert_false (ended_at (blame, "s", 700, KILLER));
  g_assert_cmpuint (ends_of (blame, KILLER), ==, 1);
  g_assert_true (ended_at (blame, "s", 5000, KILLER));
  g_assert_true (ended_at (blame, "t", 5000, KILLER));
  g_assert_cmpuint (ends_of (blame, KILLER), ==, 3);
  crashes_free (blame);
}

/* A caller's request was on two servers as their domain lost power, and is then answered: nothing
 * is left against it. */
static void
answered_content_is_cleared (void)
{
  CrashTable *blame = crashes_new ();

  ended (blame, "s", INNOCENT);
  ended (blame, "t", INNOCENT);
  g_assert_true (cleared (blame, INNOCENT));
  g_assert_false (cleared (blame, INNOCENT));
  ended (blame, "u", INNOCENT);
  g_assert_cmpuint (ends_of (blame, INNOCENT), ==, 1);
  crashes_free (blame);
}

/* The path to a server was cut in a way that looks like its end, and it answers others. The end is
 * struck from every content that was charged with it, and from no other. */
static void
survivors_end_is_struck (void)
{
  CrashTable *blame = crashes_new ();
  MsgCrashRetracted survived = { (char *) "s" };

  ended (blame, "s", INNOCENT);
  ended (blame, "s", KILLER);
  ended (blame, "t", KILLER);
  g_assert_true (crashes_retract (blame, ++log_index, &survived));
  g_assert_false (crashes_retract (blame, ++log_index, &survived));
  g_assert_cmpuint (ends_of (blame, INNOCENT), ==, 0);
  g_assert_cmpuint (ends_of (blame, KILLER), ==, 1);
  crashes_free (blame);
}

/* Ten times as many contents as the account holds meet one end each, between and after the ends of
 * one that ends servers. It stays in the account with all of its ends. */
static void
flood_pushes_out_nobody_with_more (void)
{
  CrashTable *blame = crashes_new ();
  unsigned held;
  char server[16];

  ended (blame, "k0", KILLER);
  ended (blame, "k1", KILLER);
  for (unsigned i = 0; i < 10 * CRASHES_MAX_CONTENTS; i++)
    {
      snprintf (server, sizeof server, "s%u", i);
      ended (blame, server, 1000 + i);
    }
  g_assert_cmpuint (crashes_count (blame, &held), ==, CRASHES_MAX_CONTENTS);
  g_assert_cmpuint (held, ==, 0);
  ended (blame, "k2", KILLER);
  g_assert_cmpuint (ends_of (blame, KILLER), ==, 3);
  crashes_count (blame, &held);
  g_assert_cmpuint (held, ==, 1);
  crashes_free (blame);
}

/* A content goes on ending servers for long: the count goes on though only the latest are named. */
static void
many_ends_are_counted (void)
{
  CrashTable *blame = crashes_new ();
  char server[16];

  for (unsigned i = 0; i < 20; i++)
    {
      snprintf (server, sizeof server, "s%u", i);
      ended (blame, server, KILLER);
    }
  const MsgSuspect *suspect = crashes_find (blame, KILLER);
  g_assert_cmpuint (suspect->ends, ==, 20);
  g_assert_cmpuint (suspect->latest.latest_len, ==, FT_SUSPECT_CRASHES_MAX);
  g_assert_cmpstr (suspect->latest.latest_val[FT_SUSPECT_CRASHES_MAX - 1].server, ==, "s19");
  crashes_free (blame);
}

/* A voter starts again from its snapshot, or another one is sent it: the account is as it was, and
 * the same operation changes both alike. */
static void
account_outlives_its_voter (void)
{
  State *state = state_new (), *later = state_new ();
  u_quad_t contents[] = { KILLER, INNOCENT };
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
  g_assert_cmpuint (ends_of (state_crashes (later), INNOCENT), ==, 2);
  g_assert_cmpuint (crashes_index (state_crashes (later)), ==, 2);
  g_byte_array_unref (one);
  g_byte_array_unref (other);
  g_byte_array_unref (bytes);
  state_free (state);
  state_free (later);
}

/* A voter is started with a newer program on the snapshot of an older one, which has no account of
 * ends. It takes part at once, with an empty account, instead of calling its snapshot damaged. */
static void
older_snapshot_has_no_account (void)
{
  State *state = state_new (), *later = state_new ();
  MsgOp op = { .kind = MSG_OP_DOCUMENT };
  StateResult verdict;
  unsigned held;

  op.MsgOp_u.document.number = 3;
  op.MsgOp_u.document.text.text_val = (char *) "text";
  op.MsgOp_u.document.text.text_len = 4;
  state_apply (state, 1, &op, &verdict);
  GByteArray *bytes = state_capture (state);
  g_byte_array_set_size (bytes, bytes->len - 24); /* what the older program did not write */
  g_assert_cmpint (state_restore (later, bytes->data, bytes->len), ==, FT_OK);
  g_assert_cmpuint (state_document (later)->number, ==, 3);
  g_assert_cmpuint (crashes_count (state_crashes (later), &held), ==, 0);
  g_byte_array_set_size (bytes, bytes->len - 8); /* cut in the middle of the document */
  g_assert_cmpint (state_restore (later, bytes->data, bytes->len), ==, FT_CORRUPT);
  g_byte_array_unref (bytes);
  state_free (state);
  state_free (later);
}

/* ---- What an instance makes of it ---- */

static TestClock clock_of_test;
static Quarantine *quar;

static void
begin (void)
{
  clock_of_test = test_clock ();
  quar = quar_new (&clock_of_test.base);
}

static void
pass (int64_t us)
{
  clock_of_test.now += us;
}

static QuarState
state_of (uint64_t content)
{
  return quar_check (quar, content).state;
}

/* The voters' account: one content with so many ends, of servers s0, s1, ... */
static bool
account (uint64_t index, uint64_t content, unsigned ends)
{
  static const char *const servers[] = { "s0", "s1", "s2", "s3", "s4", "s5" };
  uint32_t digests[6];

  for (unsigned i = 0; i < ends; i++)
    digests[i] = quar_server_digest (servers[i]);
  QuarRecord record = { content, ends, digests, ends };
  return quar_update_table (quar, index, &record, ends > 0);
}

/* The account says that three servers ended under a content. Its requests wait for SETTLE, since
 * somebody may have answered it, and are sent to no server after. */
static void
third_end_holds_it (void)
{
  begin ();
  account (1, KILLER, 2);
  g_assert_cmpint (state_of (KILLER), ==, QUAR_SUSPECT);
  account (2, KILLER, 3);
  g_assert_cmpint (state_of (KILLER), ==, QUAR_RECHECK);
  g_assert_cmpint (state_of (INNOCENT), ==, QUAR_NO_CRASHES);
  clock_of_test.now = quar_check (quar, KILLER).recheck_at;
  g_assert_cmpint (state_of (KILLER), ==, QUAR_BLOCKED);
  account (3, KILLER, 4);
  g_assert_cmpint (state_of (KILLER), ==, QUAR_BLOCKED); /* it does not settle anew */
  g_assert_cmpuint (quar_count_blocked (quar), ==, 1);
  quar_free (quar);
}

/* An older account comes late, from a voter that lags: what is held stays held. */
static void
older_account_changes_nothing (void)
{
  begin ();
  g_assert_true (account (7, KILLER, 3));
  pass (FT_SECOND);
  g_assert_false (account (6, KILLER, 2));
  g_assert_cmpint (state_of (KILLER), ==, QUAR_BLOCKED);
  g_assert_true (account (8, KILLER, 0)); /* let go by an operator */
  g_assert_cmpint (state_of (KILLER), ==, QUAR_NO_CRASHES);
  quar_free (quar);
}

/* No voter can be heard. What the entry saw itself and what others tell it add up to three ends,
 * and it stops by itself; what the account has already is not counted twice. */
static void
evidence_counts_without_voters (void)
{
  begin ();
  account (1, KILLER, 2);
  quar_add_crash (quar, KILLER, "s1", true);
  g_assert_cmpuint (quar_check (quar, KILLER).ends, ==, 2);
  quar_add_crash (quar, KILLER, "elsewhere", false);
  g_assert_cmpint (state_of (KILLER), ==, QUAR_RECHECK);
  pass (FT_SECOND);
  g_assert_cmpint (state_of (KILLER), ==, QUAR_BLOCKED);
  quar_free (quar);
}

/* The voters have taken a report over: from then on their account alone counts, so that what they
 * clear is cleared here too. What others told goes once voters have been heard for a while. */
static void
account_takes_evidence_over (void)
{
  begin ();
  quar_add_crash (quar, KILLER, "a", true);
  quar_add_crash (quar, KILLER, "b", false);
  g_assert_cmpuint (quar_check (quar, KILLER).ends, ==, 2);
  quar_crash_recorded (quar, "a");
  g_assert_cmpuint (quar_check (quar, KILLER).ends, ==, 1);
  for (unsigned i = 0; i < 100; i++)
    {
      pass (50 * FT_MS);
      quar_tick (quar, i % 10 != 0); /* voters are heard for half a second at a time */
    }
  g_assert_cmpuint (quar_check (quar, KILLER).ends, ==, 1);
  for (unsigned i = 0; i < 100; i++)
    {
      pass (50 * FT_MS);
      quar_tick (quar, true);
    }
  g_assert_cmpint (state_of (KILLER), ==, QUAR_NO_CRASHES);
  quar_free (quar);
}

/* A failure domain loses power under a content that half of all callers ask for: six servers end
 * under it within a moment. Its callers wait a little and are not refused, since an instance that
 * has just answered it tells the voters. */
static void
popular_content_is_proved (void)
{
  uint64_t proofs[4];

  begin ();
  g_assert_false (quar_answered (quar, INNOCENT)); /* nothing is said against it yet */
  pass (FT_SECOND);
  account (1, INNOCENT, 6);
  g_assert_cmpint (state_of (INNOCENT), ==, QUAR_RECHECK);
  g_assert_cmpuint (quar_recently_answered (quar, proofs, 4), ==, 1);
  g_assert_cmpuint (proofs[0], ==, INNOCENT);
  account (2, INNOCENT, 0);
  g_assert_cmpint (state_of (INNOCENT), ==, QUAR_NO_CRASHES);
  quar_free (quar);
}

/* A content was answered long ago and ends servers now, since they run another release. The old
 * answer speaks for it no more; one that was still under way when it was held does. */
static void
old_answer_proves_nothing (void)
{
  uint64_t proofs[4];

  begin ();
  quar_answered (quar, KILLER);
  pass (60 * FT_SECOND);
  account (1, KILLER, 3);
  g_assert_cmpuint (quar_recently_answered (quar, proofs, 4), ==, 0);
  g_assert_true (quar_answered (quar, KILLER));
  g_assert_cmpuint (quar_recently_answered (quar, proofs, 4), ==, 1);
  quar_free (quar);
}

/* A path is cut so that it looks like a server's end, and the server answers this instance a moment
 * after. It lives. What it answers seconds later says nothing: it may have started again. */
static void
server_that_answers_lives (void)
{
  begin ();
  int64_t before = clock_of_test.now;
  pass (10 * FT_MS);
  account (1, INNOCENT, 2);
  pass (10 * FT_MS);
  g_assert_false (quar_crash_disproved (quar, "s0", before)); /* it was sent before the end */
  g_assert_true (quar_crash_disproved (quar, "s0", clock_of_test.now));
  g_assert_false (quar_crash_disproved (quar, "s9", clock_of_test.now));
  pass (5 * FT_SECOND);
  account (2, INNOCENT, 2);
  g_assert_false (quar_crash_disproved (quar, "s0", clock_of_test.now));
  quar_free (quar);
}

/* Thousands of contents meet one end each at this instance, with no voter to tell. The one that had
 * two keeps them. */
static void
evidence_is_bounded (void)
{
  char server[16];

  begin ();
  quar_add_crash (quar, KILLER, "a", true);
  quar_add_crash (quar, KILLER, "b", true);
  for (unsigned i = 0; i < 5000; i++)
    {
      snprintf (server, sizeof server, "s%u", i);
      quar_add_crash (quar, 1000 + i, server, true);
    }
  g_assert_cmpuint (quar_check (quar, KILLER).ends, ==, 2);
  quar_free (quar);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/blame/once", an_end_counts_once);
  g_test_add_func ("/blame/cleared", answered_content_is_cleared);
  g_test_add_func ("/blame/survived", survivors_end_is_struck);
  g_test_add_func ("/blame/flood", flood_pushes_out_nobody_with_more);
  g_test_add_func ("/blame/many", many_ends_are_counted);
  g_test_add_func ("/blame/snapshot", account_outlives_its_voter);
  g_test_add_func ("/blame/older_snapshot", older_snapshot_has_no_account);
  g_test_add_func ("/quarantine/third", third_end_holds_it);
  g_test_add_func ("/quarantine/older", older_account_changes_nothing);
  g_test_add_func ("/quarantine/alone", evidence_counts_without_voters);
  g_test_add_func ("/quarantine/taken_over", account_takes_evidence_over);
  g_test_add_func ("/quarantine/popular", popular_content_is_proved);
  g_test_add_func ("/quarantine/old_answer", old_answer_proves_nothing);
  g_test_add_func ("/quarantine/lives", server_that_answers_lives);
  g_test_add_func ("/quarantine/bounded", evidence_is_bounded);
  return g_test_run ();
}
