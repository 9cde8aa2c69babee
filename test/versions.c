/* versions.c - tests, with real processes, of catalogues whose versions lie above 2^53: each is
 * held exactly or refused, also where an earlier program, which rounded them, wrote the log or runs
 * beside this one. */
#include "fleet.h"

#include <string.h>

#define PUT_PATH "/api/Config.Put"
/* Of two neighbours of an odd number, an earlier program took the one that is a multiple of 4. */
#define ROUNDED_UP   G_GUINT64_CONSTANT (9007199254740995) /* to ...996 */
#define ROUNDED_DOWN G_GUINT64_CONSTANT (9007199254740993) /* to ...992 */

static unsigned
put (Fleet *fleet, uint64_t version)
{
  char *text = fleet_catalogue_text (fleet, version);
  Answer answer;

  fleet_operator_call_body (fleet, "POST", PUT_PATH, text, &answer);
  unsigned status = answer.status;
  fleet_answer_clear (&answer);
  g_free (text);
  return status;
}

static void
assert_in_force (Fleet *fleet, uint64_t version)
{
  g_assert_cmpuint (fleet_get_version (fleet), ==, version);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    if (!fleet->entries[i].older)
      fleet_await_version (fleet, &fleet->entries[i], version);
}

static void
assert_served (Fleet *fleet)
{
  Answer answer;

  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      char *id = g_strdup_printf ("v%u-%" G_GUINT64_FORMAT, i, ++fleet->next_id);
      fleet_call (fleet, &fleet->entries[i], "/plain/a", id, &answer);
      g_assert_cmpuint (answer.status, ==, 200);
      fleet_answer_clear (&answer);
      g_free (id);
    }
}

static void
set_older (Fleet *fleet, bool voters, bool entries)
{
  for (unsigned i = 0; i < FLEET_VOTERS; i++)
    fleet->voters[i].older = voters;
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet->entries[i].older = entries;
}

/* Ends all processes and starts them again on their data, as this program. */
static void
upgrade_all (Fleet *fleet)
{
  for (unsigned i = 0; i < fleet->voter_count; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet_kill (&fleet->entries[i]);
  set_older (fleet, false, false);
  for (unsigned i = 0; i < fleet->voter_count; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet_start (fleet, &fleet->entries[i], false);
}

/* Guards against a version that is acknowledged and changes nothing, because it is rounded to one
 * before it. */
static void
neighbours (void)
{
  static const uint64_t versions[] = { (G_GUINT64_CONSTANT (1) << 53) - 1,
                                       G_GUINT64_CONSTANT (1) << 53,
                                       (G_GUINT64_CONSTANT (1) << 53) + 1,
                                       (G_GUINT64_CONSTANT (1) << 53) + 2,
                                       G_GUINT64_CONSTANT (20261207000000001),
                                       G_GUINT64_CONSTANT (20261207000000002),
                                       G_MAXINT64,
                                       (uint64_t) G_MAXINT64 + 1,
                                       G_MAXUINT64 - 2,
                                       G_MAXUINT64 - 1 };
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  for (unsigned i = 0; i < G_N_ELEMENTS (versions); i++)
    {
      g_assert_cmpuint (put (fleet, versions[i]), ==, 200);
      assert_in_force (fleet, versions[i]);
      g_assert_cmpuint (put (fleet, versions[i]), ==, 200); /* sent again */
      g_assert_cmpuint (put (fleet, versions[i] - 1), ==, 200);
      assert_in_force (fleet, versions[i]);
    }
  assert_served (fleet);
  upgrade_all (fleet); /* from the same log */
  assert_in_force (fleet, G_MAXUINT64 - 1);
  fleet_free (fleet);
}

/* Guards against acknowledging a version that cannot be held, and against logging it. */
static void
unreadable (void)
{
  static const char *const versions[] = {
    "0",    "-3",    "7.5", "9007199254740993.5", "18446744073709551615", "18446744073709551616",
    "1e30", "\"8\"", "null"
  };
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  char *text = fleet_catalogue_text (fleet, 8);
  g_assert_true (g_str_has_prefix (text, "{\"Version\":8,"));
  for (unsigned i = 0; i < G_N_ELEMENTS (versions); i++)
    {
      char *odd = g_strdup_printf ("{\"Version\":%s%s", versions[i], strchr (text, ','));
      Answer answer;
      fleet_operator_call_body (fleet, "POST", PUT_PATH, odd, &answer);
      g_assert_cmpuint (answer.status, ==, 400);
      g_assert_nonnull (strstr (answer.body->str, "Version"));
      fleet_answer_clear (&answer);
      g_free (odd);
    }
  g_free (text);
  assert_in_force (fleet, fleet->version);
  g_assert_cmpuint (put (fleet, 8), ==, 200);
  assert_in_force (fleet, 8);
  fleet_free (fleet);
}

/* Starts a deployment of the earlier program that has logged this version, and upgrades it. */
static Fleet *
upgraded_from (uint64_t version)
{
  Fleet *fleet = fleet_new ();

  set_older (fleet, true, true);
  fleet_start_all (fleet);
  g_assert_cmpuint (put (fleet, version), ==, 200);
  g_assert_cmpuint (fleet_get_version (fleet), ==, version);
  /* The fault took effect: the next one is taken for the same one. */
  if (version == ROUNDED_UP)
    {
      g_assert_cmpuint (put (fleet, version + 1), ==, 200);
      g_assert_cmpuint (fleet_get_version (fleet), ==, version);
    }
  upgrade_all (fleet);
  return fleet;
}

/* Guards against losing the versions that follow one which an earlier program logged rounded. */
static void
earlier_log (void)
{
  static const uint64_t logged[] = { ROUNDED_UP, ROUNDED_DOWN };

  for (unsigned i = 0; i < G_N_ELEMENTS (logged); i++)
    {
      Fleet *fleet = upgraded_from (logged[i]);
      assert_in_force (fleet, logged[i]);
      for (uint64_t version = logged[i] + 1; version < logged[i] + 5; version++)
        {
          g_assert_cmpuint (put (fleet, version), ==, 200);
          assert_in_force (fleet, version);
          g_assert_cmpuint (put (fleet, version - 1), ==, 200); /* an older one arrives again */
          assert_in_force (fleet, version);
        }
      upgrade_all (fleet);
      assert_in_force (fleet, logged[i] + 4);
      assert_served (fleet);
      fleet_free (fleet);
    }
}

/* Guards against entries that lose catalogues where voters or other entries run an earlier program.
 */
static void
mixed_programs (void)
{
  for (unsigned older_voters = 0; older_voters < 2; older_voters++)
    {
      Fleet *fleet = fleet_new ();
      set_older (fleet, older_voters, !older_voters);
      fleet->entries[0].older = false;
      fleet_start_all (fleet);
      /* Far enough from each other for the earlier program. */
      for (uint64_t version = ROUNDED_UP; version < ROUNDED_UP + 20; version += 6)
        {
          g_assert_cmpuint (put (fleet, version), ==, 200);
          assert_in_force (fleet, version);
          assert_served (fleet);
        }
      fleet_free (fleet);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/versions/neighbours", neighbours);
  g_test_add_func ("/versions/unreadable", unreadable);
  g_test_add_func ("/versions/earlier_log", earlier_log);
  g_test_add_func ("/versions/mixed_programs", mixed_programs);
  return g_test_run ();
}
