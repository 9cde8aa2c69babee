/* cutaway.c - tests, with real processes on loopback, of streams that come back to an entry which
 * was cut off, or to instances that stood still or started anew, while a new version joined. */
#include "joins.h"

#include <signal.h>

#define BACKLOG_TIME                                                                               \
  (20 * FT_MS)            /* for callers' connections to wait in a stopped entry's backlog */
#define LATE         7800 /* ms after which streams begin at the new version */
#define READING_TIME (100 * FT_MS) /* for a list to arrive everywhere and to be logged */
#define OLD_MESSAGES (900 * FT_MS) /* in which messages arrive at a stopped entry */

/* What a test needs of one play. */
typedef struct
{
  Fleet *fleet;
  FleetNode *entry; /* to which the callers come back */
  Stream streams[STREAMS];
} Play;

typedef struct
{
  const char *name;
  void (*run) (Play *play, unsigned ms);
  unsigned ms; /* from the listing of the new version until the callers come back */
} Case;

/* ---- Cuts ---- */

static void
cut_from_voters (Play *play, ProxyCut how)
{
  for (unsigned i = 0; i < play->fleet->voter_count; i++)
    fleet_cut_link (play->entry, &play->fleet->voters[i], how);
}

/* Also from the deputies and the list. */
static void
cut_from_all (Play *play, ProxyCut how)
{
  cut_from_voters (play, how);
  for (unsigned i = 0; i < play->fleet->entry_count; i++)
    if (&play->fleet->entries[i] != play->entry)
      fleet_cut_link (play->entry, &play->fleet->entries[i], how);
  fleet_cut_from_list (play->fleet, play->entry);
}

static void
heal_all (Play *play)
{
  cut_from_all (play, PROXY_CUT_NONE);
  fleet_heal_list (play->entry);
}

/* ---- The list ---- */

typedef struct
{
  const Fleet *fleet;
  unsigned readings;
} ReadingWait;

static bool
has_been_read (void *data)
{
  const ReadingWait *wait = data;

  return wait->fleet->list_readings != wait->readings;
}

/* Waits until the list is read, and passed on and logged. */
static void
wait_for_reading (Fleet *fleet)
{
  ReadingWait wait = { fleet, fleet->list_readings };

  fleet_run_until (fleet, has_been_read, &wait, "a reading of the list");
  fleet_run_for (fleet, READING_TIME);
}

/* ---- Callers ---- */

static void
begin (Play *play, unsigned ms)
{
  unsigned news = 0;

  fleet_run_for (play->fleet, ms * FT_MS - BEGIN_TIME);
  begin_streams (play->fleet, play->streams);
  for (unsigned i = 0; i < STREAMS; i++)
    news += strcmp (play->streams[i].version, NEW) == 0;
  g_test_message ("%u streams of %s", news, NEW);
  if (ms >= LATE)
    g_assert_cmpuint (news, >, 0);
}

static void
all_come_back (Play *play)
{
  for (unsigned i = 0; i < STREAMS; i++)
    come_back (play->fleet, play->entry, &play->streams[i]);
}

/* The entry and those that stood still with it go on once the callers have come back. */
static void
thaw (Play *play, FleetNode *other)
{
  all_come_back (play);
  fleet_run_for (play->fleet, BACKLOG_TIME);
  if (other)
    fleet_signal (other, SIGCONT);
  fleet_signal (play->entry, SIGCONT);
}

/* Waits for the answers while the instances are out of step, then until all streams go on. */
static void
check (Play *play)
{
  bool done[STREAMS] = { false };
  unsigned left = wait_for_answers (play->fleet, play->streams, done);

  g_test_message ("%u went on at once", STREAMS - left);
  heal_all (play);
  if (left > 0)
    come_back_until_all_go_on (play->fleet, play->entry, play->streams, done);
}

/* ---- Tests ---- */

/* Guards against joining at an entry that reaches deputies, but no voter, from before the version
 * joins. */
static void
cut_off_from_voters (Play *play, unsigned ms)
{
  cut_from_voters (play, PROXY_CUT_SILENT);
  list_new_version (play->fleet);
  begin (play, ms);
  all_come_back (play);
  check (play);
}

/* Guards against joining at an entry that reaches nobody and no list from before the version joins.
 */
static void
cut_off_from_all (Play *play, unsigned ms)
{
  cut_from_all (play, PROXY_CUT_SILENT);
  list_new_version (play->fleet);
  begin (play, ms);
  all_come_back (play);
  check (play);
}

/* Guards against joining at an entry whose messages arrive, while nothing comes back. */
static void
cut_one_way (Play *play, unsigned ms)
{
  cut_from_all (play, PROXY_CUT_ONE_WAY);
  list_new_version (play->fleet);
  begin (play, ms);
  all_come_back (play);
  check (play);
}

/* Guards against joining at an entry that stood still and whose links come up again while neither
 * it nor the voters can read the list. */
static void
list_unreachable (Play *play, unsigned ms)
{
  fleet_signal (play->entry, SIGSTOP);
  list_new_version (play->fleet);
  fleet_run_for (play->fleet, FT_SECOND); /* the voter in charge has read it */
  hsrv_stop_accepting (play->fleet->list);
  begin (play, ms - 1000);
  thaw (play, NULL);
  check (play);
}

/* Guards against taking the messages for new that arrived at an entry while it stood still. */
static void
old_messages (Play *play, unsigned ms)
{
  fleet_signal (play->entry, SIGSTOP);
  fleet_run_for (play->fleet, OLD_MESSAGES);
  cut_from_all (play, PROXY_CUT_SILENT);
  list_new_version (play->fleet);
  begin (play, ms);
  thaw (play, NULL);
  check (play);
}

/* Cuts the entry from all but one instance, which stands still with it during the release. */
static void
frozen_other (Play *play, FleetNode *other, unsigned ms)
{
  cut_from_all (play, PROXY_CUT_SILENT);
  fleet_cut_link (play->entry, other, PROXY_CUT_NONE);
  fleet_signal (play->entry, SIGSTOP);
  fleet_signal (other, SIGSTOP);
  list_new_version (play->fleet);
  begin (play, ms);
  thaw (play, other);
  check (play);
}

/* Guards against believing a leader that stood still while its successor began streams. */
static void
frozen_leader (Play *play, unsigned ms)
{
  FleetNode *leader = fleet_leader (play->fleet);

  g_assert_nonnull (leader);
  frozen_other (play, leader, ms);
}

/* Guards against believing a voter that stood still for the whole release. */
static void
frozen_voter (Play *play, unsigned ms)
{
  FleetNode *leader = fleet_leader (play->fleet), *voter = &play->fleet->voters[0];

  frozen_other (play, voter == leader ? voter + 1 : voter, ms);
}

/* Guards against believing a deputy that stood still for the whole release. */
static void
frozen_deputy (Play *play, unsigned ms)
{
  frozen_other (play, &play->fleet->entries[1], ms);
}

/* Stops the entry as soon as it has a list, and waits until the next one names the new version. */
static void
stop_between_readings (Play *play)
{
  wait_for_reading (play->fleet);
  fleet_signal (play->entry, SIGSTOP);
  list_new_version (play->fleet);
  wait_for_reading (play->fleet);
}

/* Guards against streams that a successor begins before all lists without the new version are too
 * old to decide. */
static void
leader_killed (Play *play, unsigned ms)
{
  FleetNode *leader = fleet_leader (play->fleet);

  g_assert_nonnull (leader);
  stop_between_readings (play);
  fleet_kill (leader);
  begin (play, ms);
  cut_from_all (play, PROXY_CUT_SILENT);
  thaw (play, NULL);
  check (play);
}

/* Guards against the same where all voters start anew and know the version from the log. */
static void
voters_restart (Play *play, unsigned ms)
{
  Fleet *fleet = play->fleet;

  stop_between_readings (play);
  for (unsigned i = 0; i < fleet->voter_count; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < fleet->voter_count; i++)
    fleet_start (fleet, &fleet->voters[i], false);
  begin (play, ms);
  cut_from_all (play, PROXY_CUT_SILENT);
  thaw (play, NULL);
  check (play);
}

/* Guards against streams that begin at once at a version which is listed alone, while servers of
 * the version before run on and an entry still lists them. */
static void
swapped (Play *play, unsigned ms)
{
  Fleet *fleet = play->fleet;

  stop_between_readings (play);
  for (unsigned i = 0; i < FIRST_NEW; i++)
    fleet->servers[i].listed = false;
  begin (play, ms);
  cut_from_all (play, PROXY_CUT_SILENT);
  thaw (play, NULL);
  check (play);
}

static const Case cases[] = {
  { "leader_killed", leader_killed, 1700 },
  { "voters_restart", voters_restart, 1500 },
  { "cut_off_from_voters", cut_off_from_voters, 2900 },
  { "cut_off_from_voters", cut_off_from_voters, LATE },
  { "cut_off_from_all", cut_off_from_all, LATE },
  { "cut_one_way", cut_one_way, LATE },
  { "list_unreachable", list_unreachable, LATE },
  { "old_messages", old_messages, LATE },
  { "frozen_leader", frozen_leader, LATE + 1000 },
  { "frozen_voter", frozen_voter, LATE },
  { "frozen_deputy", frozen_deputy, LATE },
  { "swapped", swapped, 1500 },
};

static void
run_case (gconstpointer data)
{
  const Case *one = data;
  Play play = { .fleet = start_fleet () };

  play.entry = &play.fleet->entries[2];
  one->run (&play, one->ms);
  for (unsigned i = 0; i < STREAMS; i++)
    fleet_answer_clear (&play.streams[i].answer);
  fleet_free (play.fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char path[64];
      g_snprintf (path, sizeof path, "/cutaway/%s/%u", cases[i].name, cases[i].ms);
      g_test_add_data_func (path, &cases[i], run_case);
    }
  return g_test_run ();
}
