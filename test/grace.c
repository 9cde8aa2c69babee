/* grace.c - tests, with real processes on loopback, of requests that an entry takes after SIGTERM:
 * each gets an answer before the process ends, and none that could end in time is refused. */
#include "fleet.h"

#include <signal.h>
#include <string.h>

#define GRACE_S     6
#define IN_TIME     (4600 * FT_MS) /* from SIGTERM: runs that end before have to be answered */
#define LATE_TIME   (5700 * FT_MS) /* ... and runs that end after cannot be */
#define INTERVAL    (120 * FT_MS)  /* between two requests */
#define REQUEST_MAX 30
#define EARLY       4 /* requests sent before SIGTERM */

typedef struct
{
  const char *name;
  unsigned run_ms;
  bool hangs; /* servers never answer */
} Case;

typedef struct
{
  Answer answers[REQUEST_MAX];
  char ids[REQUEST_MAX][16];
  unsigned count;
} Load;

static bool
all_are_done (void *data)
{
  const Load *load = data;

  for (unsigned i = 0; i < load->count; i++)
    if (!load->answers[i].done)
      return false;
  return true;
}

static bool
has_exited (void *data)
{
  return fleet_has_exited (data);
}

static void
add_fault (const Load *load, unsigned index, unsigned runs, int64_t left_at, const char *what)
{
  const Answer *answer = &load->answers[index];

  g_test_message ("%s, sent %d ms after SIGTERM: %s (status %u%s, run %u times, after %d ms)",
                  load->ids[index], (int) ((answer->sent_at - left_at) / FT_MS), what,
                  answer->status, answer->broken ? ", broken" : "", runs,
                  (int) ((answer->done_at - answer->sent_at) / FT_MS));
  g_test_fail ();
}

/* How many requests ended so; refused: by the entry, without a run. */
typedef struct
{
  unsigned whole, unknown, refused, unreached;
} Ends;

static void
check_one (const Load *load, unsigned index, const Case *play, const Fleet *fleet, int64_t left_at,
           Ends *ends)
{
  const Answer *answer = &load->answers[index];
  unsigned runs = fleet_run_count (fleet, load->ids[index]);
  int64_t end = answer->sent_at - left_at + play->run_ms * FT_MS;

  if (runs > 0 && (answer->broken || answer->status == 0))
    add_fault (load, index, runs, left_at, "it ran and has no answer");
  if (load->ids[index][0] == 'o' && runs > 1)
    add_fault (load, index, runs, left_at, "it may run once and ran again");
  if (runs > 0 && (answer->status == 503 || answer->status == 429))
    add_fault (load, index, runs, left_at, "it ran and is refused as not run");
  if (!play->hangs && !answer->broken && answer->status != 200 && end < IN_TIME)
    add_fault (load, index, runs, left_at, "it could have ended in time");
  ends->unreached += answer->broken;
  ends->whole += !answer->broken && answer->status == 200;
  ends->unknown += answer->status == 504 || answer->status == 502;
  ends->refused += answer->status == 503 || answer->status == 429;
}

/* Guards against requests that are cut without an answer when the process ends, and against tries
 * that start over although they would have been answered. */
static void
late_requests (gconstpointer data)
{
  const Case *play = data;
  Fleet *fleet = fleet_new ();
  FleetNode *entry = &fleet->entries[0];
  Load *load = g_new0 (Load, 1);
  Ends ends = { 0 };
  int64_t left_at = 0;

  fleet->grace_s = GRACE_S;
  fleet->plain_ms = play->run_ms;
  fleet->slots = 64;
  fleet->budget_slack = 100000;
  fleet_start_all (fleet);
  for (unsigned i = 0; i < FLEET_SERVERS && play->hangs; i++)
    fleet->servers[i].mode = SERVER_NO_ANSWER;
  while (load->count < REQUEST_MAX)
    {
      unsigned index = load->count;
      bool once = index % 2 == 1;
      if (index == EARLY)
        {
          fleet_signal (entry, SIGTERM);
          left_at = loop_now (fleet->loop);
        }
      g_snprintf (load->ids[index], sizeof load->ids[index], "%c%u", once ? 'o' : 'p', index);
      fleet_send (fleet, entry, once ? "/once/a" : "/plain/a", load->ids[index],
                  &load->answers[index]);
      load->count++;
      fleet_run_for (fleet, INTERVAL);
    }
  fleet_run_until (fleet, all_are_done, load, "the requests end");
  fleet_run_until (fleet, has_exited, entry, "the entry ends");
  for (unsigned i = 0; i < load->count; i++)
    {
      check_one (load, i, play, fleet, left_at, &ends);
      fleet_answer_clear (&load->answers[i]);
    }
  g_test_message ("%s: %u answered whole, %u with an unknown outcome, %u refused, %u not connected",
                  play->name, ends.whole, ends.unknown, ends.refused, ends.unreached);
  g_assert_cmpint (entry->status, ==, 0);
  if (!play->hangs)
    g_assert_cmpuint (ends.whole, >, EARLY);
  if (play->hangs || play->run_ms * FT_MS + 2 * FT_SECOND > LATE_TIME)
    g_assert_cmpuint (ends.unknown, >, 0);
  fleet_free (fleet);
  g_free (load);
}

static const Case cases[] = { { "short", 500, false },
                              { "longer_than_silence", 3000, false },
                              { "longer_than_rest", 4500, false },
                              { "hanging", 0, true } };

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/grace/%s", cases[i].name);
      g_test_add_data_func (path, &cases[i], late_requests);
      g_free (path);
    }
  return g_test_run ();
}
