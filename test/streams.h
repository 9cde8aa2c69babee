/* streams.h - helpers of tests in which servers of two software versions serve streams that callers
 * take up again. */
#ifndef TEST_STREAMS_H
#define TEST_STREAMS_H

#include "fleet.h"

#include <stdlib.h>
#include <string.h>

#define STREAM_EVENTS 8
#define OLD           "v1"
#define NEW           "v2"

static inline bool
is_done (void *data)
{
  return ((const Answer *) data)->done;
}

static inline bool
has_restarted (void *data)
{
  const FleetServer *server = data;

  return server->srv != NULL;
}

/* Replaces the server by one of this version, which starts under another id. */
static inline void
replace_server_by (Fleet *fleet, unsigned number, const char *version)
{
  FleetServer *server = &fleet->servers[number];

  fleet_crash_server (server);
  g_strlcpy (server->version, version, sizeof server->version);
  fleet_run_until (fleet, has_restarted, server, "the server restarts");
}

static inline void
replace_server (Fleet *fleet, unsigned number)
{
  replace_server_by (fleet, number, NEW);
}

static inline void
wait_until_ready (Fleet *fleet, const FleetNode *entry)
{
  while (!fleet_is_ready (fleet, entry))
    fleet_run_for (fleet, 20 * FT_MS);
}

/* Starts everything, with this number of voters, while all servers have the old version, which is
 * then in use, and replaces all but the first olds of them. */
static inline Fleet *
new_fleet_of (unsigned voters, unsigned losses, unsigned olds)
{
  Fleet *fleet = fleet_new ();

  fleet->voter_count = voters;
  fleet->losses = losses;
  fleet->marks_events = true;
  fleet->event_ms = 150;
  fleet_add_proxies (fleet);
  fleet_start_all (fleet);
  for (unsigned i = olds; i < FLEET_SERVERS; i++)
    replace_server (fleet, i);
  fleet_run_for (fleet, 1500 * FT_MS); /* the list is read */
  return fleet;
}

static inline Fleet *
new_fleet (unsigned olds)
{
  return new_fleet_of (3, 1, olds);
}

/* ---- What callers have ---- */

typedef struct
{
  const Answer *answer;
  unsigned wanted;
} EventWait;

static inline unsigned
count_events (const char *body)
{
  unsigned count = 0;

  while ((body = strstr (body, "\n\n")) != NULL)
    {
      count++;
      body += 2;
    }
  return count;
}

static inline bool
has_events (void *data)
{
  const EventWait *wait = data;

  return wait->answer->done || count_events (wait->answer->body->str) >= wait->wanted;
}

static inline void
wait_for_events (Fleet *fleet, const Answer *answer, unsigned wanted)
{
  EventWait wait = { answer, wanted };

  fleet_run_until (fleet, has_events, &wait, "events of a stream");
  g_assert_false (answer->done);
}

static inline bool
is_of (const Answer *answer, const char *version)
{
  char *other = g_strdup_printf (" of %s\n", strcmp (version, OLD) == 0 ? NEW : OLD);
  bool same = strstr (answer->body->str, other) == NULL;

  g_free (other);
  return same;
}

/* Starts a stream at the first entry and waits until the caller has two events, which must be of
 * the old version. */
static inline void
begin_stream (Fleet *fleet, const char *id, Answer *stream)
{
  fleet_send (fleet, &fleet->entries[0], "/stream/a", id, stream);
  wait_for_events (fleet, stream, 2);
  g_assert_true (is_of (stream, OLD));
}

/* The caller takes the stream up again at an entry until it is not refused, at most a few times.
 * True: it got events. */
static inline bool
take_up (Fleet *fleet, const FleetNode *entry, const char *resumes, unsigned last_event,
         Answer *answer)
{
  static unsigned tries;
  char id[16];

  for (unsigned i = 0; i < 20; i++)
    {
      g_snprintf (id, sizeof id, "again%u", ++tries);
      fleet_resume (fleet, entry, "/stream/a", id, last_event, resumes, "body", answer);
      fleet_run_until (fleet, is_done, answer, "a stream that was taken up");
      g_assert_true (is_of (answer, OLD));
      if (answer->status == 200 && answer->body->len > 0)
        return true;
      fleet_answer_clear (answer);
      fleet_run_for (fleet, 100 * FT_MS);
    }
  return false;
}

/* The first entry dies. last_event: the last one that its caller has. */
static inline void
lose_first_entry (Fleet *fleet, Answer *stream, unsigned *last_event)
{
  fleet_kill (&fleet->entries[0]);
  fleet_run_until (fleet, is_done, stream, "the end of the stream");
  *last_event = count_events (stream->body->str);
  g_assert_cmpuint (*last_event, <, STREAM_EVENTS);
}

static inline void
check_goes_on (Fleet *fleet, const char *resumes, unsigned last_event)
{
  Answer again;

  if (!take_up (fleet, &fleet->entries[1], resumes, last_event, &again))
    g_error ("the stream does not go on (logs in %s)", fleet->base);
  g_assert_false (again.broken);
  g_assert_cmpuint (last_event + count_events (again.body->str), ==, STREAM_EVENTS);
  fleet_answer_clear (&again);
}

static inline void
kill_entries (Fleet *fleet, Answer *stream, unsigned *last_event)
{
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet_kill (&fleet->entries[i]);
  fleet_run_until (fleet, is_done, stream, "the end of the stream");
  *last_event = count_events (stream->body->str);
  g_assert_cmpuint (*last_event, <, STREAM_EVENTS);
}

static inline void
start_entries (Fleet *fleet)
{
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet_start (fleet, &fleet->entries[i], false);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    wait_until_ready (fleet, &fleet->entries[i]);
}

#endif
