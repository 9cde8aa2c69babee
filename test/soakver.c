/* soakver.c - checks that all events of a stream come from servers of one software version, within
 * one answer and over all attempts of its caller. */
#include "soakver.h"

#include <stdio.h>
#include <string.h>

#define STREAM_EVENTS 8
#define RETURNS_MAX   3 /* attempts of a caller after the first */
#define VERSIONS      2

static Fleet *fleet;
static GRand *source;
static bool mixed;
static bool changed[FLEET_SERVERS]; /* the version was drawn for the crash that goes on */
static int64_t gone_at[VERSIONS];   /* when no server of v1, v2 could be used last */
static unsigned taken_up, went_on, refused;

void
soakver_begin (Fleet *new_fleet, unsigned seed, bool side_by_side)
{
  fleet = new_fleet;
  fleet->marks_events = true;
  fleet->all_versions = side_by_side;
  if (source)
    g_rand_free (source);
  source = g_rand_new_with_seed (seed ^ 0x76657273u);
  mixed = false;
  memset (changed, 0, sizeof changed);
  memset (gone_at, 0, sizeof gone_at);
  taken_up = went_on = refused = 0;
}

void
soakver_mix (void)
{
  mixed = true;
}

static unsigned
number_of (const char *version)
{
  return version[1] == '2';
}

/* A server that crashed starts again with a version that is drawn once. */
static void
draw_version (FleetServer *server)
{
  bool down = server->srv == NULL;

  if (mixed && down && !changed[server->number])
    g_snprintf (server->version, sizeof server->version, "v%d", g_rand_boolean (source) ? 1 : 2);
  changed[server->number] = down;
}

void
soakver_turn (void)
{
  unsigned usable[VERSIONS] = { 0 };

  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    {
      FleetServer *server = &fleet->servers[i];
      draw_version (server);
      if (server->srv && server->listed && !server->leaving && !server->announces_leaving
          && server->mode == SERVER_HEALTHY)
        usable[number_of (server->version)]++;
    }
  for (unsigned i = 0; i < VERSIONS; i++)
    if (usable[i] == 0)
      gone_at[i] = loop_now (fleet->loop);
}

void
soakver_reset (SoakStream *stream)
{
  sc_free (stream->check);
  *stream = (SoakStream){ 0 };
}

unsigned
soakver_last_event (const SoakStream *stream)
{
  return stream->check ? sc_last_event (stream->check) : 0;
}

const char *
soakver_version (const SoakStream *stream)
{
  return stream->check ? sc_version (stream->check) : "";
}

void
soakver_take (SoakStream *stream, const char *id, const Answer *answer)
{
  unsigned before = soakver_last_event (stream);

  if (answer->status != 200)
    {
      refused += stream->returns > 0;
      return;
    }
  if (stream->check == NULL)
    stream->check = sc_new (STREAM_EVENTS);
  sc_begin (stream->check, id, before);
  sc_feed (stream->check, answer->body->str, answer->body->len);
  sc_end (stream->check, !answer->broken);
  if (sc_report (stream->check))
    g_error ("%s (logs in %s)", sc_report (stream->check), fleet->base);
  went_on += stream->returns > 0 && soakver_last_event (stream) > before;
}

bool
soakver_returns (const SoakStream *stream)
{
  return soakver_last_event (stream) > 0 && soakver_last_event (stream) < STREAM_EVENTS
         && stream->returns < RETURNS_MAX;
}

void
soakver_send (SoakStream *stream, const FleetNode *entry, const char *id, const char *body,
              Answer *answer)
{
  stream->returns++;
  taken_up++;
  fleet_resume (fleet, entry, "/stream/a", id, soakver_last_event (stream),
                sc_first (stream->check), body, answer);
}

bool
soakver_was_gone (const SoakStream *stream, int64_t since)
{
  const char *version = soakver_version (stream);

  return *version && gone_at[number_of (version)] >= since;
}

void
soakver_end (void)
{
  printf ("# streams taken up: %u, of which %u went on and %u were refused\n", taken_up, went_on,
          refused);
}
