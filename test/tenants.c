/* tenants.c - tests, with real processes, of catalogues that take all organisations away, have none
 * or name keys and caps that cannot be read: which callers are served. */
#include "fleet.h"

#include <string.h>

#define PUT_PATH "/api/Config.Put"
#define ORGS     "\"Tenants\":[{\"Name\":\"o\",\"ApiKeys\":[\"key\"]}]"
#define OPEN     "\"Name\":\"plain\","

/* The next version, with orgs in place of the list of organisations; without it if orgs is empty.
 * The route /plain/ is open. */
static char *
text_with (const Fleet *fleet, const char *orgs)
{
  char *text = fleet_catalogue_text (fleet, fleet->version + 1);
  GString *out = g_string_new (text);

  g_assert_cmpuint (g_string_replace (out, *orgs ? ORGS : "," ORGS, orgs, 1), ==, 1);
  g_assert_cmpuint (g_string_replace (out, OPEN, OPEN "\"Public\":true,", 1), ==, 1);
  g_free (text);
  return g_string_free (out, FALSE);
}

static unsigned
put (Fleet *fleet, const char *orgs)
{
  char *text = text_with (fleet, orgs);
  Answer answer;

  fleet_operator_call_body (fleet, "POST", PUT_PATH, text, &answer);
  unsigned status = answer.status;
  if (status == 400)
    g_assert_nonnull (strstr (answer.body->str, "error"));
  fleet_answer_clear (&answer);
  g_free (text);
  fleet->version += status == 200;
  return status;
}

static void
await_version (Fleet *fleet)
{
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet_await_version (fleet, &fleet->entries[i], fleet->version);
}

/* Calls each entry with this key, and expects this status of all. */
static void
expect (Fleet *fleet, const char *key, const char *path, unsigned status)
{
  fleet->key = key;
  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      char *id = g_strdup_printf ("t%u-%" G_GUINT64_FORMAT, i, ++fleet->next_id);
      Answer answer;
      fleet_call (fleet, &fleet->entries[i], path, id, &answer);
      g_assert_cmpuint (answer.status, ==, status);
      g_assert_cmpuint (fleet_run_count (fleet, id), ==, status == 200);
      fleet_answer_clear (&answer);
      g_free (id);
    }
}

static void
expect_closed (Fleet *fleet)
{
  static const char *const keys[] = { "key", "never", "\"\"", "", " " };

  for (unsigned i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      expect (fleet, keys[i], "/once/a", 401);
      expect (fleet, keys[i], "/plain/a", 200); /* an open route */
    }
}

/* Guards against running requests with any key, or none, once the last organisation was taken away.
 */
static void
none_left (void)
{
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  expect (fleet, "key", "/once/a", 200);
  expect (fleet, "never", "/once/a", 401);
  g_assert_cmpuint (put (fleet, "\"Tenants\":[]"), ==, 200);
  await_version (fleet);
  expect_closed (fleet);
  g_assert_cmpuint (put (fleet, "\"Tenants\":[{\"Name\":\"o\"},{\"Name\":\"p\",\"ApiKeys\":[]}]"),
                    ==, 200);
  await_version (fleet);
  expect_closed (fleet);
  /* Entries and voters that start again read it from the log. */
  for (unsigned i = 0; i < fleet->entry_count; i++)
    {
      fleet_kill (&fleet->entries[i]);
      fleet_start (fleet, &fleet->entries[i], false);
    }
  await_version (fleet);
  expect_closed (fleet);
  /* An organisation that is added again is served, and so is every caller without the list. */
  g_assert_cmpuint (put (fleet, ORGS), ==, 200);
  await_version (fleet);
  expect (fleet, "key", "/once/a", 200);
  expect (fleet, "", "/once/a", 401);
  g_assert_cmpuint (put (fleet, ""), ==, 200);
  await_version (fleet);
  expect (fleet, "", "/once/a", 200);
  expect (fleet, "never", "/once/a", 200);
  fleet_free (fleet);
}

static bool
is_begun (void *data)
{
  const Answer *answer = data;

  return answer->done || answer->body->len > 0;
}

static bool
is_done (void *data)
{
  return ((const Answer *) data)->done;
}

/* Guards against requests that the change reaches on their way: those that were accepted before
 * keep their organisation, those that come later, to take a stream up again too, have none. */
static void
open_requests (void)
{
  Fleet *fleet = fleet_new ();
  Answer begun, later;

  fleet->event_ms = 100;
  fleet_start_all (fleet);
  fleet_send (fleet, &fleet->entries[0], "/stream/a", "begun", &begun);
  fleet_run_until (fleet, is_begun, &begun, "the first event");
  g_assert_cmpuint (put (fleet, "\"Tenants\":[]"), ==, 200);
  await_version (fleet);
  g_assert_false (begun.done);
  fleet_resume (fleet, &fleet->entries[1], "/stream/a", "return", 1, "begun", "body", &later);
  fleet_run_until (fleet, is_done, &later, "an answer to a return");
  g_assert_cmpuint (later.status, ==, 401);
  g_assert_cmpuint (fleet_run_count (fleet, "return"), ==, 0);
  fleet_answer_clear (&later);
  fleet_run_until (fleet, is_done, &begun, "the end of the stream");
  g_assert_cmpuint (begun.status, ==, 200);
  g_assert_false (begun.broken);
  fleet_answer_clear (&begun);
  fleet_free (fleet);
}

/* Guards against an entry that sends through another one and asks for no key. */
static void
second_hop (void)
{
  Fleet *fleet = fleet_new ();

  fleet_add_proxies (fleet);
  fleet_start_all (fleet);
  fleet_relay_all (fleet, &fleet->entries[0]);
  g_assert_cmpuint (put (fleet, "\"Tenants\":[]"), ==, 200);
  await_version (fleet);
  uint64_t relayed = fleet_relayed_count (fleet, &fleet->entries[0]);
  expect_closed (fleet);
  g_assert_cmpuint (fleet_relayed_count (fleet, &fleet->entries[0]), >, relayed);
  fleet_free (fleet);
}

/* Guards against taking lists of organisations, keys or caps that cannot be read for none, and
 * against voters that end on them. */
static void
unreadable (void)
{
#define ORG(members) "\"Tenants\":[{\"Name\":\"o\"," members "}]"
  static const char *const orgs[] = {
    "\"Tenants\":null",
    "\"Tenants\":{}",
    "\"Tenants\":\"o\"",
    "\"Tenants\":[null]",
    "\"Tenants\":[{\"ApiKeys\":[\"key\"]}]",
    ORG ("\"ApiKeys\":null"),
    ORG ("\"ApiKeys\":\"key\""),
    ORG ("\"ApiKeys\":[\"key\",null]"),
    ORG ("\"ApiKeys\":[\"key\",5]"),
    ORG ("\"ApiKeys\":[\"key\",[]]"),
    ORG ("\"ApiKeys\":[\"key\",\"\"]"),
    ORG ("\"ApiKeys\":[\"key\"],\"RatePerS\":null"),
    ORG ("\"ApiKeys\":[\"key\"],\"RatePerS\":\"1\""),
    ORG ("\"ApiKeys\":[\"key\"],\"RatePerS\":1,\"Burst\":-1"),
    "\"Tenants\":[{\"Name\":\"o\",\"ApiKeys\":[\"key\"]},{\"Name\":\"p\",\"ApiKeys\":[\"key\"]}]"
  };
  Fleet *fleet = fleet_new ();

  fleet_start_all (fleet);
  for (unsigned i = 0; i < G_N_ELEMENTS (orgs); i++)
    g_assert_cmpuint (put (fleet, orgs[i]), ==, 400);
  for (unsigned i = 0; i < fleet->voter_count; i++)
    g_assert_false (fleet_has_exited (&fleet->voters[i]));
  g_assert_cmpuint (fleet_get_version (fleet), ==, fleet->version);
  expect (fleet, "key", "/once/a", 200);
  expect (fleet, "", "/once/a", 401);
  g_assert_cmpuint (put (fleet, ORG ("\"ApiKeys\":[\"key\"],\"RatePerS\":0")), ==, 200);
  fleet_free (fleet);
#undef ORG
}

/* Guards against a log of an earlier program whose list of organisations is null. */
static void
earlier_log (void)
{
  Fleet *fleet = fleet_new ();

  for (unsigned i = 0; i < FLEET_VOTERS; i++)
    fleet->voters[i].older = true;
  fleet_start_all (fleet);
  g_assert_cmpuint (put (fleet, "\"Tenants\":null"), ==, 200);
  for (unsigned i = 0; i < fleet->voter_count; i++)
    {
      fleet_kill (&fleet->voters[i]);
      fleet->voters[i].older = false;
      fleet_start (fleet, &fleet->voters[i], false);
    }
  g_assert_cmpuint (fleet_get_version (fleet), ==, fleet->version);
  await_version (fleet);
  expect_closed (fleet);
  g_assert_cmpuint (put (fleet, ORGS), ==, 200);
  await_version (fleet);
  expect (fleet, "key", "/once/a", 200);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/tenants/none_left", none_left);
  g_test_add_func ("/tenants/open_requests", open_requests);
  g_test_add_func ("/tenants/second_hop", second_hop);
  g_test_add_func ("/tenants/unreadable", unreadable);
  g_test_add_func ("/tenants/earlier_log", earlier_log);
  return g_test_run ();
}
