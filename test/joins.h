/* joins.h - helpers of tests in which servers of a new version join, while one instance or more are
 * out of step, and callers take streams up again. */
#ifndef TEST_JOINS_H
#define TEST_JOINS_H

#include "streams.h"

#define STREAMS    8
#define FIRST_NEW  2               /* the servers from this one on have the new version */
#define BEGIN_TIME (600 * FT_MS)   /* in which the streams have their first events */
#define GOES_ON_IN (5 * FT_SECOND) /* a stream that was taken up, once its entry is in step */

typedef struct
{
  char id[16];
  Answer answer, again;
  const char *version; /* that began it */
  unsigned last_event, attempts;
} Stream;

static inline Fleet *
start_fleet (void)
{
  Fleet *fleet = fleet_new ();

  fleet->marks_events = fleet->all_versions = fleet->own_sources = true;
  fleet->event_ms = 150;
  for (unsigned i = FIRST_NEW; i < FLEET_SERVERS; i++)
    {
      g_strlcpy (fleet->servers[i].version, NEW, sizeof fleet->servers[i].version);
      fleet->servers[i].listed = false;
    }
  fleet_add_proxies (fleet);
  fleet_start_all (fleet);
  fleet_run_for (fleet, 2 * FT_SECOND); /* all instances know that one version is listed */
  return fleet;
}

static inline void
list_new_version (Fleet *fleet)
{
  for (unsigned i = FIRST_NEW; i < FLEET_SERVERS; i++)
    fleet->servers[i].listed = true;
}

/* Begins the streams at the first entry, which is then killed. */
static inline void
begin_streams (Fleet *fleet, Stream *streams)
{
  for (unsigned i = 0; i < STREAMS; i++)
    {
      g_snprintf (streams[i].id, sizeof streams[i].id, "s%u", i);
      fleet_send (fleet, &fleet->entries[0], "/stream/a", streams[i].id, &streams[i].answer);
    }
  fleet_run_for (fleet, BEGIN_TIME);
  fleet_kill (&fleet->entries[0]);
  for (unsigned i = 0; i < STREAMS; i++)
    {
      Stream *stream = &streams[i];
      fleet_run_until (fleet, is_done, &stream->answer, "the end of a stream");
      stream->last_event = count_events (stream->answer.body->str);
      stream->version = is_of (&stream->answer, OLD) ? OLD : NEW;
    }
}

/* Sends the caller of the stream to the entry. */
static inline void
come_back (Fleet *fleet, const FleetNode *entry, Stream *stream)
{
  char id[32];

  g_snprintf (id, sizeof id, "%s-%u", stream->id, stream->attempts++);
  fleet_resume (fleet, entry, "/stream/a", id, stream->last_event, stream->id, "body",
                &stream->again);
}

/* Waits for its answer. False: it was refused. Fails if events of two versions are joined. */
static inline bool
went_on (Fleet *fleet, Stream *stream)
{
  fleet_run_until (fleet, is_done, &stream->again, "a stream that was taken up");
  if (!is_of (&stream->again, stream->version))
    g_error ("stream %s of %s goes on at another version (logs in %s)", stream->id, stream->version,
             fleet->base);
  bool done = stream->again.status == 200;
  if (done)
    g_assert_cmpuint (stream->last_event + count_events (stream->again.body->str), ==,
                      STREAM_EVENTS);
  else
    g_assert_cmpuint (stream->again.status, ==, 503);
  fleet_answer_clear (&stream->again);
  return done;
}

/* Waits for the answers to all callers. Returns how many streams do not go on; done says which ones
 * do. */
static inline unsigned
wait_for_answers (Fleet *fleet, Stream *streams, bool *done)
{
  unsigned left = 0;

  for (unsigned i = 0; i < STREAMS; i++)
    {
      if (!done[i])
        done[i] = went_on (fleet, &streams[i]);
      left += !done[i];
    }
  return left;
}

/* The callers of all streams that do not go on yet come back until they do. */
static inline void
come_back_until_all_go_on (Fleet *fleet, const FleetNode *entry, Stream *streams, bool *done)
{
  int64_t end = loop_now (fleet->loop) + GOES_ON_IN;
  unsigned left = STREAMS;

  do
    {
      fleet_run_for (fleet, 100 * FT_MS);
      if (loop_now (fleet->loop) > end)
        g_error ("%u streams do not go on (logs in %s)", left, fleet->base);
      for (unsigned i = 0; i < STREAMS; i++)
        if (!done[i])
          come_back (fleet, entry, &streams[i]);
      left = wait_for_answers (fleet, streams, done);
    }
  while (left > 0);
}

#endif
