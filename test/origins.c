/* origins.c - tests, with real processes on loopback and servers of two software versions, that a
 * stream goes on only at the version that began it. */
#include "origins.h"
#include "streams.h"

/* ---- Faults ---- */

static void
set_links (Fleet *fleet, ProxyMode mode)
{
  for (unsigned i = 0; i < FLEET_VOTERS; i++)
    proxy_set_mode (fleet->voters[i].proxy, mode);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    proxy_set_mode (fleet->entries[i].proxy, mode);
}

/* Guards against an entry that is alone and resumes a stream at the version of most servers: it
 * started after a release, and all its links are reset as the caller comes back. */
static void
entry_alone (void)
{
  Fleet *fleet = new_fleet (1);
  Answer stream;
  unsigned last_event;

  fleet_kill (&fleet->entries[1]);
  fleet_start (fleet, &fleet->entries[1], false);
  wait_until_ready (fleet, &fleet->entries[1]);
  fleet_run_for (fleet, 300 * FT_MS);
  begin_stream (fleet, "s", &stream);
  set_links (fleet, PROXY_REFUSE);
  lose_first_entry (fleet, &stream, &last_event);
  Answer again;
  fleet_resume (fleet, &fleet->entries[1], "/stream/a", "first", last_event, "s", "body", &again);
  fleet_run_for (fleet, 300 * FT_MS);
  set_links (fleet, PROXY_PASS);
  fleet_run_until (fleet, is_done, &again, "the stream that was taken up");
  g_assert_true (is_of (&again, OLD));
  g_assert_cmpuint (again.status, ==, 200);
  g_assert_cmpuint (last_event + count_events (again.body->str), ==, STREAM_EVENTS);
  fleet_answer_clear (&again);
  fleet_answer_clear (&stream);
  fleet_free (fleet);
}

/* Guards against moving begun streams to another version when no server of their own is listed, and
 * against refusing them once there is one again. */
static void
version_in_use_changes (void)
{
  Fleet *fleet = new_fleet (2);
  Answer stream, again;
  unsigned last_event;

  begin_stream (fleet, "s", &stream);
  lose_first_entry (fleet, &stream, &last_event);
  fleet->servers[0].listed = fleet->servers[1].listed = false;
  fleet_run_for (fleet, 1500 * FT_MS);
  fleet_resume (fleet, &fleet->entries[1], "/stream/a", "gone", last_event, "s", "body", &again);
  fleet_run_until (fleet, is_done, &again, "a refusal");
  g_assert_cmpuint (again.status, ==, 503);
  g_assert_true (again.retry_after);
  fleet_answer_clear (&again);
  fleet->servers[0].listed = fleet->servers[1].listed = true;
  check_goes_on (fleet, "s", last_event);
  fleet_answer_clear (&stream);
  fleet_free (fleet);
}

/* The other voters start after the release, so that the version of most servers is in use there. */
static void
restart_others (Fleet *fleet, const FleetNode *leader)
{
  for (unsigned i = 0; i < 3; i++)
    {
      if (&fleet->voters[i] == leader)
        continue;
      fleet_kill (&fleet->voters[i]);
      fleet_start (fleet, &fleet->voters[i], false);
      fleet_run_for (fleet, 1500 * FT_MS); /* it has caught up and has the list */
    }
}

/* Guards against losing the version of a stream with the entry that passed it on and the voter in
 * charge that granted its place. */
static void
entry_and_leader_lost (void)
{
  Fleet *fleet = new_fleet (1);
  FleetNode *leader = fleet_leader (fleet);
  Answer stream;
  unsigned last_event;

  restart_others (fleet, leader);
  begin_stream (fleet, "s", &stream);
  fleet_kill (leader);
  lose_first_entry (fleet, &stream, &last_event);
  while (fleet_leader (fleet) == NULL)
    fleet_run_for (fleet, 100 * FT_MS);
  fleet_run_for (fleet, 300 * FT_MS); /* entries ask it */
  check_goes_on (fleet, "s", last_event);
  fleet_answer_clear (&stream);
  fleet_free (fleet);
}

/* Guards against joining two versions within one answer: the only server of the old version crashes
 * for good while others are idle. */
static void
one_answer (void)
{
  Fleet *fleet = new_fleet (1);
  Answer stream;

  fleet->restart_ms = 60000;
  begin_stream (fleet, "s", &stream);
  fleet_crash_server (&fleet->servers[0]);
  fleet->servers[0].listed = false;
  fleet_run_until (fleet, is_done, &stream, "the end of the stream");
  g_assert_true (is_of (&stream, OLD));
  g_assert_true (stream.broken);
  fleet_answer_clear (&stream);
  fleet_free (fleet);
}

/* Guards against breaking an answer off although another server of its version has a place. */
static void
one_answer_goes_on (void)
{
  Fleet *fleet = new_fleet (2);
  Answer stream;

  begin_stream (fleet, "s", &stream);
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    if (fleet->servers[i].streams->len > 0)
      fleet->servers[i].mode = SERVER_CUT_STREAM;
  fleet_run_until (fleet, is_done, &stream, "the end of the stream");
  g_assert_true (is_of (&stream, OLD));
  g_assert_false (stream.broken);
  g_assert_cmpuint (count_events (stream.body->str), ==, STREAM_EVENTS);
  fleet_answer_clear (&stream);
  fleet_free (fleet);
}

/* Guards against forgetting a stream when the time of its first attempt is over, while its caller
 * takes it up for the second time: each attempt has eight seconds. */
static void
taken_up_again (void)
{
  Fleet *fleet = new_fleet (2);
  Answer stream, second;
  unsigned last_event;

  begin_stream (fleet, "s", &stream);
  lose_first_entry (fleet, &stream, &last_event);
  fleet_run_for (fleet, 6 * FT_SECOND);
  fleet_resume (fleet, &fleet->entries[1], "/stream/a", "second", last_event, "s", "body", &second);
  wait_for_events (fleet, &second, 1);
  fleet_kill (&fleet->entries[1]);
  fleet_run_until (fleet, is_done, &second, "the end of the second attempt");
  g_assert_true (is_of (&second, OLD));
  last_event += count_events (second.body->str);
  fleet_run_for (fleet, 5 * FT_SECOND);
  fleet_answer_clear (&second);
  fleet_resume (fleet, &fleet->entries[2], "/stream/a", "third", last_event, "s", "body", &second);
  fleet_run_until (fleet, is_done, &second, "the third attempt");
  g_assert_cmpuint (second.status, ==, 200);
  g_assert_true (is_of (&second, OLD));
  g_assert_cmpuint (last_event + count_events (second.body->str), ==, STREAM_EVENTS);
  fleet_answer_clear (&second);
  fleet_answer_clear (&stream);
  fleet_free (fleet);
}

/* Guards against guessing a version after everything has lost what it knew. */
static void
everything_killed (void)
{
  Fleet *fleet = new_fleet (1);
  Answer stream, again;

  begin_stream (fleet, "s", &stream);
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet_kill (&fleet->entries[i]);
  fleet_run_until (fleet, is_done, &stream, "the end of the stream");
  for (unsigned i = 0; i < 3; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet_start (fleet, &fleet->entries[i], false);
  wait_until_ready (fleet, &fleet->entries[1]);
  fleet_resume (fleet, &fleet->entries[1], "/stream/a", "again", 2, "s", "body", &again);
  fleet_run_until (fleet, is_done, &again, "a refusal");
  g_assert_cmpuint (again.status, ==, 503);
  g_assert_true (again.retry_after);
  fleet_answer_clear (&again);
  fleet_resume (fleet, &fleet->entries[1], "/stream/a", "nameless", 2, NULL, "body", &again);
  fleet_run_until (fleet, is_done, &again, "a refusal");
  g_assert_cmpuint (again.status, ==, 503);
  fleet_answer_clear (&again);
  fleet_answer_clear (&stream);
  fleet_free (fleet);
}

/* Guards against refusing or delaying streams where all servers have one version: an entry without
 * any link resumes a stream that nobody knows. */
static void
one_version (void)
{
  Fleet *fleet = new_fleet (FLEET_SERVERS);
  Answer stream;
  unsigned last_event;

  begin_stream (fleet, "s", &stream);
  lose_first_entry (fleet, &stream, &last_event);
  set_links (fleet, PROXY_REFUSE);
  check_goes_on (fleet, "never-seen", last_event);
  fleet_answer_clear (&stream);
  fleet_free (fleet);
}

/* Guards against deciding by a list that may lack a version which has come since: no voter is up,
 * and the platform's list cannot be read. */
static void
old_list (void)
{
  Fleet *fleet = new_fleet (FLEET_SERVERS);
  Answer stream, again;
  unsigned last_event;

  begin_stream (fleet, "s", &stream);
  lose_first_entry (fleet, &stream, &last_event);
  hsrv_stop_accepting (fleet->list);
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  fleet_run_for (fleet, 4 * FT_SECOND);
  fleet_resume (fleet, &fleet->entries[1], "/stream/a", "again", last_event, "never-seen", "body",
                &again);
  fleet_run_until (fleet, is_done, &again, "a refusal");
  g_assert_cmpuint (again.status, ==, 503);
  fleet_answer_clear (&again);
  fleet_answer_clear (&stream);
  fleet_free (fleet);
}

/* Guards against streams that change their version, get lost or leave servers idle where two
 * versions serve side by side: streams of all versions break off with their entry, and each goes
 * on. */
static void
side_by_side (void)
{
  enum
  {
    STREAMS = 8
  };
  Fleet *fleet = fleet_new ();
  Answer streams[STREAMS], again;
  unsigned news = 0;
  char id[16], back[16];

  fleet->marks_events = fleet->all_versions = true;
  fleet->event_ms = 150;
  for (unsigned i = 2; i < FLEET_SERVERS; i++)
    g_strlcpy (fleet->servers[i].version, NEW, sizeof fleet->servers[i].version);
  fleet_start_all (fleet);
  fleet_run_for (fleet, ORIGINS_JOIN_TIME + FT_SECOND); /* no version has just joined */
  for (unsigned i = 0; i < STREAMS; i++)
    {
      g_snprintf (id, sizeof id, "s%u", i);
      fleet_send (fleet, &fleet->entries[0], "/stream/a", id, &streams[i]);
    }
  for (unsigned i = 0; i < STREAMS; i++)
    wait_for_events (fleet, &streams[i], 2);
  fleet_kill (&fleet->entries[0]);
  for (unsigned i = 0; i < STREAMS; i++)
    {
      fleet_run_until (fleet, is_done, &streams[i], "the end of a stream");
      bool new = is_of (&streams[i], NEW);
      unsigned last_event = count_events (streams[i].body->str);
      g_assert_true (new || is_of (&streams[i], OLD));
      news += new;
      g_snprintf (id, sizeof id, "s%u", i);
      g_snprintf (back, sizeof back, "b%u", i);
      fleet_resume (fleet, &fleet->entries[1 + i % 2], "/stream/a", back, last_event, id, "body",
                    &again);
      fleet_run_until (fleet, is_done, &again, "a stream that was taken up");
      g_assert_cmpuint (again.status, ==, 200);
      g_assert_true (is_of (&again, new ? NEW : OLD));
      g_assert_cmpuint (last_event + count_events (again.body->str), ==, STREAM_EVENTS);
      fleet_answer_clear (&again);
      fleet_answer_clear (&streams[i]);
    }
  g_assert_cmpuint (news, >, 0);
  g_assert_cmpuint (news, <, STREAMS);
  fleet_free (fleet);
}

/* Guards against an older voter in charge, which ignores that a stream may go on at one version
 * only: the entry does not use its grants. */
static void
older_scheduler (void)
{
  Fleet *fleet = fleet_new ();
  Answer stream, again;
  unsigned last_event;

  fleet->marks_events = true;
  fleet->event_ms = 150;
  for (unsigned i = 0; i < 3; i++)
    fleet->voters[i].older = true;
  fleet_add_proxies (fleet);
  fleet_start_all (fleet);
  for (unsigned i = 1; i < FLEET_SERVERS; i++)
    replace_server (fleet, i);
  fleet_run_for (fleet, 1500 * FT_MS); /* the list is read */
  begin_stream (fleet, "s", &stream);
  lose_first_entry (fleet, &stream, &last_event);
  fleet->servers[0].listed = false;
  fleet_run_for (fleet, 1500 * FT_MS); /* the new version comes in use */
  fleet->servers[0].listed = true;
  fleet_run_for (fleet, 1500 * FT_MS);
  fleet_resume (fleet, &fleet->entries[1], "/stream/a", "again", last_event, "s", "body", &again);
  fleet_run_until (fleet, is_done, &again, "a refusal");
  g_assert_true (is_of (&again, OLD));
  g_assert_cmpuint (again.status, ==, 503);
  g_assert_cmpuint (fleet_run_count (fleet, "again"), ==, 0);
  fleet_answer_clear (&again);
  fleet_answer_clear (&stream);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/origins/entry_alone", entry_alone);
  g_test_add_func ("/origins/version_in_use_changes", version_in_use_changes);
  g_test_add_func ("/origins/entry_and_leader_lost", entry_and_leader_lost);
  g_test_add_func ("/origins/one_answer", one_answer);
  g_test_add_func ("/origins/one_answer_goes_on", one_answer_goes_on);
  g_test_add_func ("/origins/taken_up_again", taken_up_again);
  g_test_add_func ("/origins/everything_killed", everything_killed);
  g_test_add_func ("/origins/one_version", one_version);
  g_test_add_func ("/origins/old_list", old_list);
  g_test_add_func ("/origins/side_by_side", side_by_side);
  g_test_add_func ("/origins/older_scheduler", older_scheduler);
  return g_test_run ();
}
