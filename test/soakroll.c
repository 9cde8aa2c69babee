/* soakroll.c - checks what operators and servers see of a roll-out during faults.
 *
 * Guarantees: an acknowledged order is never lost; once any voter reports an end state, no voter
 * reports another state; a bad version that is rolled back got no more requests than allowed; at
 * the end the losing version gets none. */
#include "soakroll.h"

#include <stdio.h>
#include <string.h>

#define LIMIT_S        5
#define EXPOSURE_SHARE 0.1 /* defaults of the settings rollout_share and rollout_slack */
#define EXPOSURE_SLACK 20
#define END_TIMEOUT    (40 * FT_SECOND) /* well beyond LIMIT_S: faults may have delayed everything */

static Fleet *fleet;
static GRand *source;
static bool has_rollout, bad, acknowledged;
static char end_state[16]; /* the end state first seen; "": none yet */
static int64_t order_at;
static unsigned arrived_at_order;

static void
fail (const char *what, const char *detail)
{
  g_error ("%s: %s (logs in %s)", what, detail, fleet->base);
}

static unsigned
requests_received (unsigned first)
{
  return fleet->servers[first].arrived + fleet->servers[first + 1].arrived;
}

void
soakroll_begin (Fleet *new_fleet, unsigned seed, bool allowed)
{
  fleet = new_fleet;
  if (source)
    g_rand_free (source);
  source = g_rand_new_with_seed (seed ^ 0x5eedu);
  has_rollout = g_rand_boolean (source) && allowed;
  bad = g_rand_boolean (source);
  acknowledged = false;
  *end_state = '\0';
  order_at = loop_now (fleet->loop) + g_rand_int_range (source, 1000, 4000) * FT_MS;
  for (unsigned i = 2; has_rollout && i < FLEET_SERVERS; i++)
    {
      g_strlcpy (fleet->servers[i].version, "v2", sizeof fleet->servers[i].version);
      fleet->servers[i].listed = false;
    }
}

bool
soakroll_is_planned (void)
{
  return has_rollout;
}

ServerMode
soakroll_usual (const FleetServer *server)
{
  return has_rollout && bad && server->number >= 2 ? SERVER_FAILING : SERVER_HEALTHY;
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
        arrived_at_order = requests_received (0) + requests_received (2);
      }
  fleet_try_operator_call (fleet, voter, "POST", "/api/Rollouts.Start",
                           "{\"Service\":\"s\",\"Target\":\"v2\",\"DurationS\":5}", &answer);
  if (answer.status / 100 == 4)
    fail ("a valid order was refused", answer.body->str);
  acknowledged = answer.status == 200;
  fleet_answer_clear (&answer);
}

static void
check_state (const char *state)
{
  if (*end_state && strcmp (state, end_state) != 0)
    fail ("an ended roll-out has another state", state);
  if (*end_state || strcmp (state, "active") == 0)
    return;
  g_strlcpy (end_state, state, sizeof end_state);
  bool rolled_back = strcmp (state, "rolled_back") == 0;
  unsigned received = requests_received (2),
           all = requests_received (0) + requests_received (2) - arrived_at_order;
  if (rolled_back && bad && received > EXPOSURE_SHARE * all + EXPOSURE_SLACK)
    g_error ("a bad version got %u of %u requests (logs in %s)", received, all, fleet->base);
  unsigned losing = rolled_back ? 2 : 0;
  for (unsigned i = losing; i < losing + 2; i++)
    fleet->servers[i].listed = false;
}

static void
read_state (FleetNode *voter)
{
  char state[16] = "";
  Answer answer;

  fleet_try_operator_call (fleet, voter, "GET", "/api/Rollouts.Get/s", "", &answer);
  if (answer.status == 404)
    fail ("an acknowledged order is lost, asked voter", voter->name);
  const char *at = answer.status == 200 ? strstr (answer.body->str, "\"State\":\"") : NULL;
  if (at && sscanf (at, "\"State\":\"%15[a-z_]", state) == 1)
    check_state (state);
  fleet_answer_clear (&answer);
}

void
soakroll_turn (FleetNode *voter)
{
  if (!has_rollout || voter->pid == 0 || loop_now (fleet->loop) < order_at)
    return;
  if (acknowledged)
    read_state (voter);
  else
    give_order (voter);
}

void
soakroll_end (void)
{
  int64_t until = loop_now (fleet->loop) + END_TIMEOUT;

  while (has_rollout && *end_state == '\0')
    {
      for (unsigned i = 0; i < 3; i++)
        soakroll_turn (&fleet->voters[i]);
      fleet_run_for (fleet, 50 * FT_MS);
      if (loop_now (fleet->loop) > until)
        fail ("the roll-out does not end", bad ? "bad" : "sound");
    }
  if (!has_rollout)
    return;
  unsigned losing = strcmp (end_state, "rolled_back") == 0 ? 2 : 0;
  fleet_run_for (fleet, FT_SECOND);
  unsigned received = requests_received (losing);
  for (unsigned i = 0; i < 30; i++)
    {
      char id[24];
      Answer answer;
      g_snprintf (id, sizeof id, "v%u", i);
      fleet_call (fleet, &fleet->entries[i % fleet->entry_count], "/plain/a", id, &answer);
      fleet_answer_clear (&answer);
    }
  if (requests_received (losing) != received)
    fail ("requests to the losing version", end_state);
  printf ("# roll-out of a %s version: %s\n", bad ? "bad" : "sound", end_state);
}
