/* outofstep.c - tests, with real processes on loopback, of streams that come back to an entry which
 * stood still or was cut off while servers of a new version joined. */
#include "joins.h"

#include <signal.h>

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

/* Guards against joining streams of two versions at an entry that did not see the new one join, and
 * against refusing them for long once it is in step. */
static void
goes_on_at_its_version (gconstpointer data)
{
  const Case *one = data;
  Fleet *fleet = start_fleet ();
  FleetNode *entry = &fleet->entries[1];
  Stream streams[STREAMS] = { 0 };
  bool done[STREAMS] = { false };

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
  if (wait_for_answers (fleet, streams, done) > 0 && one->links == LINKS_WHOLE)
    come_back_until_all_go_on (fleet, entry, streams, done);
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
