/* outofstep.c - tests, with real processes on loopback, of streams that come back to an entry which
 * stood still or was cut off while servers of a new version joined. */
#include "streams.h"

#include <signal.h>

#define STREAMS    8
#define FIRST_NEW  2               /* the servers from this one on have the new version */
#define BEGIN_TIME (600 * FT_MS)   /* in which the streams have their first events */
#define GOES_ON_IN (5 * FT_SECOND) /* a stream that was taken up, once its entry is in step */

typedef enum
{
  LINKS_WHOLE,
  LINKS_REFUSED, /* as the entry goes on; the list is out of reach, too */
  LINKS_SILENT   /* the same; they are closed only after a silence */
} Links;

typedef struct
{
  const char *name;
  unsigned ms; /* for which the entry stands still */
  Links links;
  bool one_version; /* no new version joins */
} Case;

static const Case cases[] = {
  { "stopped/1300", 1300, LINKS_WHOLE, false },    { "stopped/2200", 2200, LINKS_WHOLE, false },
  { "stopped/2900", 2900, LINKS_WHOLE, false },    { "stopped/3200", 3200, LINKS_WHOLE, false },
  { "stopped/4800", 4800, LINKS_WHOLE, false },    { "stopped/5300", 5300, LINKS_WHOLE, false },
  { "stopped/7500", 7500, LINKS_WHOLE, false },    { "refused/1300", 1300, LINKS_REFUSED, false },
  { "refused/2900", 2900, LINKS_REFUSED, false },  { "refused/7500", 7500, LINKS_REFUSED, false },
  { "silent/1300", 1300, LINKS_SILENT, false },    { "silent/2900", 2900, LINKS_SILENT, false },
  { "silent/7500", 7500, LINKS_SILENT, false },    { "one_version/1300", 1300, LINKS_WHOLE, true },
  { "one_version/4000", 4000, LINKS_WHOLE, true },
};

typedef struct
{
  char id[16];
  Answer answer, again;
  const char *version; /* that began it */
  unsigned last_event, attempts;
} Stream;

static Fleet *
start_fleet (void)
{
  Fleet *fleet = fleet_new ();

  fleet->marks_events = fleet->all_versions = true;
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

static void
list_new_version (Fleet *fleet)
{
  for (unsigned i = FIRST_NEW; i < FLEET_SERVERS; i++)
    fleet->servers[i].listed = true;
}

static void
cut_links (Fleet *fleet, Links links)
{
  if (links == LINKS_WHOLE)
    return;
  hsrv_stop_accepting (fleet->list);
  for (unsigned i = 0; i < fleet->voter_count; i++)
    proxy_set_mode (fleet->voters[i].proxy,
                    links == LINKS_REFUSED ? PROXY_REFUSE : PROXY_BLACKHOLE);
}

/* Begins the streams at the first entry, which is then killed. */
static void
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
static void
come_back (Fleet *fleet, const FleetNode *entry, Stream *stream)
{
  char id[32];

  g_snprintf (id, sizeof id, "%s-%u", stream->id, stream->attempts++);
  fleet_resume (fleet, entry, "/stream/a", id, stream->last_event, stream->id, "body",
                &stream->again);
}

/* Waits for its answer. False: it was refused. Fails if events of two versions are joined. */
static bool
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

static void
come_back_until_it_goes_on (Fleet *fleet, const FleetNode *entry, Stream *stream)
{
  int64_t end = loop_now (fleet->loop) + GOES_ON_IN;

  do
    {
      if (loop_now (fleet->loop) > end)
        g_error ("stream %s does not go on (logs in %s)", stream->id, fleet->base);
      fleet_run_for (fleet, 100 * FT_MS);
      come_back (fleet, entry, stream);
    }
  while (!went_on (fleet, stream));
}

/* Guards against joining streams of two versions at an entry that did not see the new one join, and
 * against refusing them for long once it is in step. */
static void
goes_on_at_its_version (gconstpointer data)
{
  const Case *one = data;
  Fleet *fleet = start_fleet ();
  FleetNode *entry = &fleet->entries[1];
  Stream streams[STREAMS] = { 0 };

  fleet_signal (entry, SIGSTOP);
  if (!one->one_version)
    list_new_version (fleet);
  fleet_run_for (fleet, one->ms * FT_MS - BEGIN_TIME);
  begin_streams (fleet, streams);
  cut_links (fleet, one->links);
  for (unsigned i = 0; i < STREAMS; i++)
    come_back (fleet, entry, &streams[i]);
  fleet_run_for (fleet, 20 * FT_MS); /* their connections wait in its backlog */
  fleet_signal (entry, SIGCONT);
  for (unsigned i = 0; i < STREAMS; i++)
    if (!went_on (fleet, &streams[i]) && one->links == LINKS_WHOLE)
      come_back_until_it_goes_on (fleet, entry, &streams[i]);
  for (unsigned i = 0; i < STREAMS; i++)
    fleet_answer_clear (&streams[i].answer);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char path[64];
      g_snprintf (path, sizeof path, "/outofstep/%s", cases[i].name);
      g_test_add_data_func (path, &cases[i], goes_on_at_its_version);
    }
  return g_test_run ();
}
