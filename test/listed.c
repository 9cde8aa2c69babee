/* listed.c - tests of the replicated table of the versions of servers that were listed lately. */
#include "state.h"

#include <string.h>

#define SERVICE "s"

static void
apply_document (State *state, uint64_t index, uint64_t number)
{
  char text[] = "{}";
  MsgOp op = { .kind = MSG_OP_DOCUMENT };
  StateResult verdict;

  op.MsgOp_u.document = (MsgDocument){ number, { sizeof text, text } };
  state_apply (state, index, &op, &verdict);
}

static void
apply_versions (State *state, uint64_t index, const char *service, const char *one,
                const char *other)
{
  MsgServerName versions[] = { (char *) one, (char *) other };
  MsgOp op = { .kind = MSG_OP_LISTED };
  StateResult verdict;

  op.MsgOp_u.listed = (MsgListedService){ (char *) service, { other ? 2 : 1, versions } };
  state_apply (state, index, &op, &verdict);
}

/* The versions of the service, separated by spaces; free with g_free. */
static char *
versions_of (const State *state, const char *service)
{
  GString *out = g_string_new (NULL);
  MsgListedTable table;

  listed_capture (state_listed (state), &table);
  for (unsigned i = 0; i < table.services.services_len; i++)
    {
      const MsgListedService *listed = &table.services.services_val[i];
      if (strcmp (listed->service, service) != 0)
        continue;
      for (unsigned j = 0; j < listed->versions.versions_len; j++)
        g_string_append_printf (out, "%s%s", j ? " " : "", listed->versions.versions_val[j]);
    }
  g_free (table.services.services_val);
  return g_string_free (out, FALSE);
}

static void
assert_versions (const State *state, const char *service, const char *wanted)
{
  char *versions = versions_of (state, service);

  g_assert_cmpstr (versions, ==, wanted);
  g_free (versions);
}

/* Guards against a table that counts as complete though an older program served before it began. */
static void
complete_from_the_first_document (void)
{
  State *fresh = state_new (), *older = state_new ();

  g_assert_cmpuint (listed_index (state_listed (fresh)), ==, 0);
  apply_document (fresh, 3, 1);
  g_assert_cmpuint (listed_index (state_listed (fresh)), ==, 3);
  apply_document (fresh, 4, 2);
  g_assert_cmpuint (listed_index (state_listed (fresh)), ==, 3);
  GByteArray *bytes = state_capture (fresh);
  g_byte_array_set_size (bytes, bytes->len - 12); /* the older program did not write this part */
  g_assert_cmpint (state_restore (older, bytes->data, bytes->len), ==, FT_OK);
  g_assert_cmpuint (listed_index (state_listed (older)), ==, 0);
  apply_document (older, 5, 3);
  g_assert_cmpuint (listed_index (state_listed (older)), ==, 0);
  apply_versions (older, 6, SERVICE, "v1", NULL);
  g_assert_cmpuint (listed_index (state_listed (older)), ==, 6);
  g_byte_array_unref (bytes);
  state_free (fresh);
  state_free (older);
}

/* Guards against losing versions with the log before a snapshot, and against mixing up services. */
static void
snapshot_keeps_versions (void)
{
  State *state = state_new (), *later = state_new ();

  apply_versions (state, 1, SERVICE, "v1", NULL);
  apply_versions (state, 2, "other", "v7", NULL);
  apply_versions (state, 3, SERVICE, "v1", "v2");
  GByteArray *bytes = state_capture (state);
  g_assert_cmpint (state_restore (later, bytes->data, bytes->len), ==, FT_OK);
  assert_versions (later, SERVICE, "v1 v2");
  assert_versions (later, "other", "v7");
  g_assert_cmpuint (listed_index (state_listed (later)), ==, 3);
  apply_versions (later, 4, SERVICE, "v2", NULL);
  assert_versions (later, SERVICE, "v2");
  assert_versions (state, SERVICE, "v1 v2");
  g_byte_array_unref (bytes);
  state_free (state);
  state_free (later);
}

/* Guards against a table that grows without bound. */
static void
services_are_bounded (void)
{
  State *state = state_new ();
  char name[16];

  for (unsigned i = 0; i < FT_LISTED_SERVICES_MAX + 5; i++)
    {
      g_snprintf (name, sizeof name, "s%u", i);
      apply_versions (state, i + 1, name, "v1", NULL);
    }
  assert_versions (state, "s0", "v1");
  assert_versions (state, name, "");
  apply_versions (state, 1000, "s0", "v2", NULL);
  assert_versions (state, "s0", "v2");
  state_free (state);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/listed/complete", complete_from_the_first_document);
  g_test_add_func ("/listed/snapshot", snapshot_keeps_versions);
  g_test_add_func ("/listed/bounded", services_are_bounded);
  return g_test_run ();
}
