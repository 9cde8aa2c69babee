/* attribution.c - which requests are taken for the cause of server crashes, and how the crash table
 * and the quarantine handle parts of prompts. */
#include "attribution.h"
#include "clock.h"
#include "crashes.h"
#include "quarantine.h"

#include <string.h>

#define SUSPECTS_MAX 64

/* Crashes as a test describes them: of which suspect servers 1, 2, ... were running a request. */
typedef struct
{
  AttrSuspect suspects[SUSPECTS_MAX];
  unsigned count;
  uint32_t servers;
  Attribution *attr;
} History;

static uint64_t
part (unsigned number)
{
  return fingerprint_part_key ("s", number);
}

static void
begin (History *history)
{
  memset (history, 0, sizeof *history);
  history->attr = attr_new ();
}

static AttrSuspect *
suspect_of (History *history, uint64_t key)
{
  for (unsigned i = 0; i < history->count; i++)
    if (history->suspects[i].key == key)
      return &history->suspects[i];
  history->suspects[history->count].key = key;
  return &history->suspects[history->count++];
}

/* Another server crashes while it runs requests with these keys; at: when that is known. */
static void
crash (History *history, int64_t at, const uint64_t *keys, unsigned count)
{
  history->servers++;
  for (unsigned i = 0; i < count; i++)
    {
      AttrSuspect *suspect = suspect_of (history, keys[i]);
      suspect->ends++;
      if (suspect->crash_count == ATTR_CRASHES_MAX)
        continue;
      suspect->crashes[suspect->crash_count] = history->servers;
      suspect->seen_at[suspect->crash_count++] = at;
    }
  attr_set (history->attr, history->suspects, history->count);
}

#define CRASH(history, at, ...)                                                                    \
  crash (history, at, (const uint64_t[]){ __VA_ARGS__ },                                           \
         sizeof ((const uint64_t[]){ __VA_ARGS__ }) / sizeof (uint64_t))
#define IS_CAUSE(history, ...)                                                                     \
  is_cause (history, (const uint64_t[]){ __VA_ARGS__ },                                            \
            sizeof ((const uint64_t[]){ __VA_ARGS__ }) / sizeof (uint64_t))

static bool
is_cause (const History *history, const uint64_t *keys, unsigned count)
{
  int64_t since;
  uint64_t key;

  return attr_is_cause (history->attr, keys, count, &since, &key);
}

/* Guards against refusing sound requests for a part that all requests with the cause have too. */
static void
companion_is_no_cause (void)
{
  History history;

  begin (&history);
  for (unsigned i = 0; i < 3; i++)
    CRASH (&history, i, 100 + i, part (1), part (2), part (3));
  g_assert_true (IS_CAUSE (&history, 200, part (1), part (2), part (3), part (4)));
  g_assert_false (IS_CAUSE (&history, 200, part (1), part (3)));
  g_assert_false (IS_CAUSE (&history, 200, part (2)));
  g_assert_false (IS_CAUSE (&history, 200));
  attr_free (history.attr);
}

/* Guards against a cause that crashes a few servers with each new companion. */
static void
changing_companions (void)
{
  History history;
  unsigned crashes = 0;

  begin (&history);
  for (unsigned i = 0; i < 40; i++)
    {
      uint64_t companion = part (100 + i / 2);
      if (IS_CAUSE (&history, 200 + i, part (1), companion))
        continue;
      CRASH (&history, i, 200 + i, part (1), companion);
      crashes++;
    }
  g_assert_cmpuint (crashes, <=, 5);
  g_assert_true (IS_CAUSE (&history, 300, part (1)));
  g_assert_false (IS_CAUSE (&history, 300, part (100)));
  attr_free (history.attr);
}

/* A crash that reveals the cause frees its companion. */
static void
crash_tells_apart (void)
{
  History history;

  begin (&history);
  for (unsigned i = 0; i < 3; i++)
    CRASH (&history, i, part (1), part (2));
  for (unsigned i = 0; i < 3; i++)
    {
      g_assert_false (IS_CAUSE (&history, part (1)));
      CRASH (&history, 3 + i, part (1));
    }
  g_assert_true (IS_CAUSE (&history, part (1)));
  g_assert_false (IS_CAUSE (&history, part (2)));
  attr_free (history.attr);
}

/* Two causes, at first on the same server, are both found, and what each ran beside is not. */
static void
two_causes (void)
{
  History history;

  begin (&history);
  CRASH (&history, 0, part (1), part (2), part (9));
  for (unsigned i = 0; i < 4; i++)
    {
      if (!IS_CAUSE (&history, part (1)))
        CRASH (&history, i, 100 + i, part (1));
      if (!IS_CAUSE (&history, part (2)))
        CRASH (&history, i, 200 + i, part (2));
    }
  g_assert_true (IS_CAUSE (&history, part (1)));
  g_assert_true (IS_CAUSE (&history, part (2)));
  g_assert_false (IS_CAUSE (&history, part (9)));
  g_assert_cmpuint (history.servers, <=, 1 + 2 * 4);
  attr_free (history.attr);
}

/* A content that is resent is a cause after three crashes, whatever ran beside it; one that a part
 * explains is none, however often it ran beside that. */
static void
contents (void)
{
  History history;

  begin (&history);
  CRASH (&history, 0, 7, part (5));
  CRASH (&history, 1, 7, part (5));
  CRASH (&history, 2, 7);
  g_assert_true (IS_CAUSE (&history, 7));
  g_assert_false (IS_CAUSE (&history, 8, part (5)));
  attr_free (history.attr);
  begin (&history);
  CRASH (&history, 0, 100, part (1));
  for (unsigned i = 0; i < 3; i++)
    CRASH (&history, 1 + i, 7, 101 + i, part (1));
  g_assert_true (IS_CAUSE (&history, 300, part (1)));
  g_assert_false (IS_CAUSE (&history, 7));
  attr_free (history.attr);
}

/* The wait before a refusal starts with the third crash and not again with later ones. */
static void
time_of_third_crash (void)
{
  History history;
  uint64_t key, keys[] = { 9, part (1) };
  int64_t since;

  begin (&history);
  for (unsigned i = 0; i < 6; i++)
    {
      CRASH (&history, 10 * i, 100 + i, part (1));
      bool cause = attr_is_cause (history.attr, keys, 2, &since, &key);
      g_assert_cmpint (cause, ==, i >= 2);
      if (cause)
        g_assert_cmpint (since, ==, 20);
      if (cause)
        g_assert_cmpuint (key, ==, part (1));
    }
  attr_free (history.attr);
}

/* One id is another key at another service, and no key of a part is taken for a content's. */
static void
keys_of_parts (void)
{
  static const uint64_t parts[] = { 5, 6, 5, 7 };
  Fingerprint *print = fingerprint_new (99, "s", parts, G_N_ELEMENTS (parts));

  g_assert_cmpuint (print->count, ==, 4);
  g_assert_cmpuint (print->keys[0], ==, 99);
  g_assert_cmpuint (print->keys[1], ==, fingerprint_part_key ("s", 5));
  g_assert_cmpuint (print->keys[3], ==, fingerprint_part_key ("s", 7));
  g_assert_cmpuint (fingerprint_part_key ("s", 5), !=, fingerprint_part_key ("t", 5));
  g_assert_true (fingerprint_is_part (print->keys[1]));
  fingerprint_unref (print);
}

/* A part answered at this instance just before or after its crashes is reported to the voters; one
 * answered long before is not, since it may have begun to crash servers meanwhile. */
static void
recent_beginning_clears (void)
{
  TestClock clock = test_clock ();
  Quarantine *quar = quar_new (&clock.base);
  uint32_t servers[] = { 1, 2, 3 };
  QuarRecord records[] = { { part (1), 3, servers, 3, NULL }, { part (2), 3, servers, 3, NULL } };
  uint64_t keys[4];

  quar_answered (quar, part (2));
  clock.now += 5 * FT_SECOND;
  quar_answered (quar, part (1));
  clock.now += FT_SECOND;
  quar_update_table (quar, 1, records, 2);
  g_assert_cmpuint (quar_recently_answered (quar, keys, 4), ==, 1);
  g_assert_cmpuint (keys[0], ==, part (1));
  g_assert_true (quar_answered (quar, part (2)));
  g_assert_cmpuint (quar_recently_answered (quar, keys, 4), ==, 2);
  quar_free (quar);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/attribution/companion", companion_is_no_cause);
  g_test_add_func ("/attribution/changing_companions", changing_companions);
  g_test_add_func ("/attribution/told_apart", crash_tells_apart);
  g_test_add_func ("/attribution/two_causes", two_causes);
  g_test_add_func ("/attribution/contents", contents);
  g_test_add_func ("/attribution/time", time_of_third_crash);
  g_test_add_func ("/attribution/keys", keys_of_parts);
  g_test_add_func ("/attribution/recent_beginning", recent_beginning_clears);
  return g_test_run ();
}
