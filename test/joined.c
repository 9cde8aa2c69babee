/* joined.c - tests, with real processes on loopback, that no loss of instances joins streams of two
 * versions, and that streams go on where there was one version all the time. */
#include "streams.h"

typedef enum
{
  LOSS_ENTRIES,    /* all entries */
  LOSS_HOLDERS,    /* also the voters, but for one that is out of reach afterwards */
  LOSS_ROLLING,    /* also the voters, one after the other */
  LOSS_DISKS,      /* the same, each with its disk */
  LOSS_EVERYTHING, /* all entries and voters at once */
  LOSS_LINKS       /* all entries; the others' links are refused as callers come back */
} Loss;

typedef struct
{
  const char *name;
  unsigned voters, losses;
  Loss loss;
} Case;

static const Case cases[] = {
  { "entries/3", 3, 1, LOSS_ENTRIES },       { "entries/9", 9, 2, LOSS_ENTRIES },
  { "holders/3", 3, 1, LOSS_HOLDERS },       { "holders/9", 9, 2, LOSS_HOLDERS },
  { "rolling/3", 3, 1, LOSS_ROLLING },       { "disks/3", 3, 1, LOSS_DISKS },
  { "everything/3", 3, 1, LOSS_EVERYTHING }, { "everything/9", 9, 2, LOSS_EVERYTHING },
  { "links/3", 3, 1, LOSS_LINKS },
};

static FleetNode *
last_voter (Fleet *fleet)
{
  return &fleet->voters[fleet->voter_count - 1];
}

static void
kill_voters (Fleet *fleet, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    fleet_kill (&fleet->voters[i]);
}

static void
start_voters (Fleet *fleet, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    fleet_start (fleet, &fleet->voters[i], false);
}

static void
restart_in_turn (Fleet *fleet, bool wipe)
{
  for (unsigned i = 0; i < fleet->voter_count; i++)
    {
      FleetNode *voter = &fleet->voters[i];
      fleet_kill (voter);
      if (wipe)
        fleet_wipe_data (voter);
      fleet_start (fleet, voter, false);
      fleet_run_for (fleet, 2500 * FT_MS); /* it has caught up and is a voter again */
    }
}

/* The loss, after all entries have been killed. */
static void
lose (Fleet *fleet, Loss loss)
{
  switch (loss)
    {
    case LOSS_ENTRIES:
    case LOSS_LINKS:
      break;
    case LOSS_HOLDERS:
      kill_voters (fleet, fleet->voter_count - 1);
      start_voters (fleet, fleet->voter_count - 1);
      proxy_set_mode (last_voter (fleet)->proxy, PROXY_REFUSE);
      break;
    case LOSS_ROLLING:
    case LOSS_DISKS:
      restart_in_turn (fleet, loss == LOSS_DISKS);
      break;
    case LOSS_EVERYTHING:
      kill_voters (fleet, fleet->voter_count);
      start_voters (fleet, fleet->voter_count);
      break;
    }
}

static void
refuse_links (Fleet *fleet, Loss loss, ProxyMode mode)
{
  for (unsigned i = 0; loss == LOSS_LINKS && i < fleet->voter_count; i++)
    proxy_set_mode (fleet->voters[i].proxy, mode);
}

/* Guards against joining two versions where instances have started since: the last server of the
 * old version leaves during the loss, and the list shows one version afterwards. The stream goes on
 * once there is a server of its version again, if its record was not lost. */
static void
release_during_loss (gconstpointer data)
{
  const Case *one = data;
  Fleet *fleet = new_fleet_of (one->voters, one->losses, 1);
  Answer stream, again;
  unsigned last_event;

  begin_stream (fleet, "s", &stream);
  kill_entries (fleet, &stream, &last_event);
  replace_server (fleet, 0);
  lose (fleet, one->loss);
  start_entries (fleet);
  refuse_links (fleet, one->loss, PROXY_REFUSE);
  if (take_up (fleet, &fleet->entries[1], "s", last_event, &again))
    g_error ("a stream of no listed version goes on (logs in %s)", fleet->base);
  refuse_links (fleet, one->loss, PROXY_PASS);
  /* Of nine voters three hold the record, so that the one that was out of reach may have none. */
  if ((one->loss == LOSS_HOLDERS && one->voters == 3) || one->loss == LOSS_LINKS
      || one->loss == LOSS_ENTRIES)
    {
      proxy_set_mode (last_voter (fleet)->proxy, PROXY_PASS);
      replace_server_by (fleet, 0, OLD);
      check_goes_on (fleet, "s", last_event);
    }
  fleet_answer_clear (&stream);
  fleet_free (fleet);
}

/* Guards against refusing streams after the same losses where there was one version all the time.
 */
static void
one_version (gconstpointer data)
{
  const Case *one = data;
  Fleet *fleet = new_fleet_of (one->voters, one->losses, FLEET_SERVERS);
  Answer stream;
  unsigned last_event;

  begin_stream (fleet, "s", &stream);
  kill_entries (fleet, &stream, &last_event);
  lose (fleet, one->loss);
  start_entries (fleet);
  fleet_run_for (fleet, 300 * FT_MS); /* the voter in charge has told them of the versions */
  refuse_links (fleet, one->loss, PROXY_REFUSE);
  check_goes_on (fleet, "s", last_event);
  fleet_answer_clear (&stream);
  fleet_free (fleet);
}

/* Guards against entries that lose all voters and forget a version with its last server: the entry
 * that serves the caller has no record, and no voter comes back. */
static void
voters_gone (void)
{
  Fleet *fleet = new_fleet (1);
  Answer stream, again;
  unsigned last_event;

  begin_stream (fleet, "s", &stream);
  kill_voters (fleet, 3);
  lose_first_entry (fleet, &stream, &last_event);
  replace_server (fleet, 0);
  fleet_run_for (fleet, 3 * FT_SECOND); /* a deputy has read the list */
  if (take_up (fleet, &fleet->entries[1], "s", last_event, &again))
    g_error ("a stream of no listed version goes on (logs in %s)", fleet->base);
  fleet_answer_clear (&stream);
  fleet_free (fleet);
}

/* Guards against refusing streams that come back after a loss of everything before there is a voter
 * in charge again, which tells that there was one version all the time. */
static void
back_before_the_election (void)
{
  Fleet *fleet = new_fleet (FLEET_SERVERS);
  Answer stream, again;
  unsigned last_event;

  begin_stream (fleet, "s", &stream);
  kill_entries (fleet, &stream, &last_event);
  for (unsigned i = 0; i < 3; i++)
    fleet_kill (&fleet->voters[i]);
  fleet_start (fleet, &fleet->voters[0], false);
  start_entries (fleet);
  fleet_resume (fleet, &fleet->entries[1], "/stream/a", "again", last_event, "s", "body", &again);
  fleet_run_for (fleet, 300 * FT_MS);
  for (unsigned i = 1; i < 3; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  fleet_run_until (fleet, is_done, &again, "the stream that was taken up");
  g_assert_cmpuint (again.status, ==, 200);
  g_assert_cmpuint (last_event + count_events (again.body->str), ==, STREAM_EVENTS);
  fleet_answer_clear (&again);
  fleet_answer_clear (&stream);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char path[64];
      g_snprintf (path, sizeof path, "/joined/release/%s", cases[i].name);
      g_test_add_data_func (path, &cases[i], release_during_loss);
      g_snprintf (path, sizeof path, "/joined/one_version/%s", cases[i].name);
      g_test_add_data_func (path, &cases[i], one_version);
    }
  g_test_add_func ("/joined/voters_gone", voters_gone);
  g_test_add_func ("/joined/back_before_the_election", back_before_the_election);
  return g_test_run ();
}
