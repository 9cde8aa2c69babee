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
soakver_begin (Fleet *new_fleet, unsigned seed, bool is_mixed)
{
  fleet = new_fleet;
  fleet->marks_events = true;
  fleet->all_versions = is_mixed;
  if (source)
    g_rand_free (source);
  source = g_rand_new_with_seed (seed ^ 0x76657273u);
  mixed = is_mixed;
  memset (changed, 0, sizeof changed);
  memset (gone_at, 0, sizeof gone_at);
  taken_up = went_on = refused = 0;
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
  *stream = (SoakStream){ 0 };
}

void
soakver_take (SoakStream *stream, const char *id, const Answer *answer)
{
  const char *at = answer->body->str;
  char version[8];
  unsigned number, event, before = stream->last_event;

  if (answer->status != 200)
    {
      refused += stream->returns > 0;
      return;
    }
  while (sscanf (at, "id: %u\ndata: event %u of %7s", &number, &event, version) == 3
         && (at = strstr (at, "\n\n")) != NULL)
    {
      at += 2;
      if (number != stream->last_event + 1 || event != number)
        g_error ("events missing, repeated or out of order: %s (logs in %s)", id, fleet->base);
      if (*stream->first == '\0')
        {
          g_strlcpy (stream->first, id, sizeof stream->first);
          g_strlcpy (stream->version, version, sizeof stream->version);
        }
      if (strcmp (version, stream->version) != 0)
        g_error ("events of two versions: %s, which began as %s (logs in %s)", id, stream->first,
                 fleet->base);
      stream->last_event = number;
    }
  went_on += stream->returns > 0 && stream->last_event > before;
}

bool
soakver_returns (const SoakStream *stream)
{
  return *stream->first && stream->last_event < STREAM_EVENTS && stream->returns < RETURNS_MAX;
}

void
soakver_send (SoakStream *stream, const FleetNode *entry, const char *id, const char *body,
              Answer *answer)
{
  stream->returns++;
  taken_up++;
  fleet_resume (fleet, entry, "/stream/a", id, stream->last_event, stream->first, body, answer);
}

bool
soakver_was_gone (const SoakStream *stream, int64_t since)
{
  return *stream->version && gone_at[number_of (stream->version)] >= since;
}

void
soakver_end (void)
{
  printf ("# streams taken up: %u, of which %u went on and %u were refused\n", taken_up, went_on,
          refused);
}
