/* soakroll.c - what operators and servers see of a roll-out among faults.
 *
 * Promises: an order that was acknowledged is never gone; a roll-out that has ended stays so,
 * whichever voter is asked; a bad version that is rolled back has had no more than its part; in the
 * end the version that lost gets nothing. */
#include "soakroll.h"

#include <stdio.h>
#include <string.h>

#define LIMIT_S 5
#define SHARE   0.1 /* the settings' defaults */
#define SLACK   20
#define ENDS_BY (40 * FT_SECOND) /* far beyond the limit: faults may have held everything up */

static Fleet *fleet;
static GRand *source;
static bool has_one, bad, acknowledged;
static char ended[16]; /* the state in which it was seen to have ended; "": not yet */
static int64_t order_at;
static unsigned arrived_at_order;

static void
fail (const char *what, const char *more)
{
  g_error ("%s: %s (logs in %s)", what, more, fleet->base);
}

static unsigned
arrived (unsigned first)
{
  return fleet->servers[first].arrived + fleet->servers[first + 1].arrived;
}

void
soakroll_begin (Fleet *of, unsigned seed)
{
  fleet = of;
  if (source)
    g_rand_free (source);
  source = g_rand_new_with_seed (seed ^ 0x5eedu);
  has_one = g_rand_boolean (source);
  bad = g_rand_boolean (source);
  acknowledged = false;
  *ended = '\0';
  order_at = loop_now (fleet->loop) + g_rand_int_range (source, 1000, 4000) * FT_MS;
  for (unsigned i = 2; has_one && i < FLEET_SERVERS; i++)
    {
      g_strlcpy (fleet->servers[i].version, "v2", sizeof fleet->servers[i].version);
      fleet->servers[i].listed = false;
    }
}

ServerMode
soakroll_usual (const FleetServer *server)
{
  return has_one && bad && server->number >= 2 ? SERVER_POOR : SERVER_SOUND;
}

static void
give_order (FleetNode *voter)
{
  Answer answer;

  for (unsigned i = 2; i < FLEET_SERVERS; i++)
    if (!fleet->servers[i].listed)
      {
        fleet->servers[i].listed = true;
        fleet->servers[i].mode = soakroll_usual (&fleet->servers[i]);
        arrived_at_order = arrived (0) + arrived (2);
      }
  fleet_try_operate (fleet, voter, "POST", "/api/Rollouts.Start",
                     "{\"Service\":\"s\",\"Target\":\"v2\",\"DurationS\":5}", &answer);
  if (answer.status / 100 == 4)
    fail ("a proper order was refused", answer.body->str);
  acknowledged = answer.status == 200;
  fleet_answer_clear (&answer);
}

static void
note_state (const char *state)
{
  if (*ended && strcmp (state, ended) != 0)
    fail ("a roll-out that had ended shows another state", state);
  if (*ended || strcmp (state, "active") == 0)
    return;
  g_strlcpy (ended, state, sizeof ended);
  bool back = strcmp (state, "rolled_back") == 0;
  unsigned got = arrived (2), all = arrived (0) + arrived (2) - arrived_at_order;
  if (back && bad && got > SHARE * all + SLACK)
    g_error ("a bad version got %u of %u (logs in %s)", got, all, fleet->base);
  unsigned lost = back ? 2 : 0;
  for (unsigned i = lost; i < lost + 2; i++)
    fleet->servers[i].listed = false;
}

static void
read_state (FleetNode *voter)
{
  char state[16] = "";
  Answer answer;

  fleet_try_operate (fleet, voter, "GET", "/api/Rollouts.Get/s", "", &answer);
  if (answer.status == 404)
    fail ("an acknowledged order is gone", voter->name);
  const char *at = answer.status == 200 ? strstr (answer.body->str, "\"State\":\"") : NULL;
  if (at && sscanf (at, "\"State\":\"%15[a-z_]", state) == 1)
    note_state (state);
  fleet_answer_clear (&answer);
}

void
soakroll_turn (FleetNode *voter)
{
  if (!has_one || voter->pid == 0 || loop_now (fleet->loop) < order_at)
    return;
  if (acknowledged)
    read_state (voter);
  else
    give_order (voter);
}

void
soakroll_end (void)
{
  int64_t until = loop_now (fleet->loop) + ENDS_BY;

  while (has_one && *ended == '\0')
    {
      for (unsigned i = 0; i < 3; i++)
        soakroll_turn (&fleet->voters[i]);
      fleet_run_for (fleet, 50 * FT_MS);
      if (loop_now (fleet->loop) > until)
        fail ("the roll-out does not end", bad ? "bad" : "sound");
    }
  if (!has_one)
    return;
  unsigned lost = strcmp (ended, "rolled_back") == 0 ? 2 : 0;
  fleet_run_for (fleet, FT_SECOND);
  unsigned got = arrived (lost);
  for (unsigned i = 0; i < 30; i++)
    {
      char id[24];
      Answer answer;
      g_snprintf (id, sizeof id, "v%u", i);
      fleet_call (fleet, &fleet->entries[i % FLEET_ENTRIES], "/plain/a", id, &answer);
      fleet_answer_clear (&answer);
    }
  if (arrived (lost) != got)
    fail ("requests to a version that lost", ended);
  printf ("# roll-out of a %s version: %s\n", bad ? "bad" : "sound", ended);
}
