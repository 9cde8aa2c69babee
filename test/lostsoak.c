/* lostsoak.c - a seeded soak of answers without framing: servers are processes that are killed,
 * replaced and reset their answers while entries are killed, stopped and restarted. No caller may
 * get an answer that ends as complete before its last event.
 *
 *     test-lostsoak [SECONDS SEED]    without arguments: the cases of CI */
#include "fleet.h"
#include "lostserver.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define SERVER_PORT          8744
#define SERVERS              FLEET_SERVERS
#define CALLS_MAX            4096
#define CALL_GAP             (12 * FT_MS)
#define FAULT_MIN_MS         80 /* between two faults */
#define FAULT_MAX_MS         400
#define DOWN_MAX_MS          600  /* for which a server's address stays shut, or an entry is down */
#define CHECK_TROUBLE_MAX_MS 2000 /* for which status checks of a server are not answered */
#define STOPPED_MS           300
#define CI_SECONDS           6

typedef struct
{
  Fleet *fleet;
  GRand *rand;
  LostServerConf conf[SERVERS];
  char ids[SERVERS][32];
  pid_t pids[SERVERS];
  int64_t server_back[SERVERS], entry_back[FLEET_ENTRIES]; /* 0: not down */
  bool entry_stopped[FLEET_ENTRIES];
  unsigned lifetimes;
  int64_t ends_at, fault_at, call_at;
  unsigned calls;
  Answer answers[CALLS_MAX];
  unsigned kills, swaps, resets, entry_faults;
} Soak;

static void
start_server (Soak *soak, unsigned i)
{
  FleetServer *server = &soak->fleet->servers[i];
  static const unsigned gaps[] = { 0, 1, 20, 45 }, delays[] = { 0, 0, 300, 1600, 2500 };

  g_snprintf (soak->ids[i], sizeof soak->ids[i], "s%u-%u", i, ++soak->lifetimes);
  g_strlcpy (server->id, soak->ids[i], sizeof server->id);
  soak->conf[i] = (LostServerConf){
    .addr = server->addr,
    .id = soak->ids[i],
    .mode = g_rand_boolean (soak->rand) ? GIVE_UP_RESET : GIVE_UP_THEN_RESET,
    .reset_after_ms = gaps[g_rand_int_range (soak->rand, 0, G_N_ELEMENTS (gaps))],
    .processes = 1,
    .check = (LostServerCheck) g_rand_int_range (soak->rand, 0, CHECK_FAILING + 1),
    .check_ms = (unsigned) g_rand_int_range (soak->rand, 1, CHECK_TROUBLE_MAX_MS),
    .answer_delay_ms = delays[g_rand_int_range (soak->rand, 0, G_N_ELEMENTS (delays))],
  };
  lostserver_start (&soak->conf[i], &soak->pids[i]);
  soak->server_back[i] = 0;
}

static void
fail_server (Soak *soak, unsigned i)
{
  unsigned kind = (unsigned) g_rand_int_range (soak->rand, 0, 3);

  if (soak->pids[i] == 0)
    return;
  if (kind == 0)
    {
      kill (soak->pids[i], LOSTSERVER_GIVE_UP);
      soak->resets++;
      return;
    }
  lostserver_kill (soak->pids[i]);
  soak->pids[i] = 0;
  if (kind == 1)
    {
      start_server (soak, i);
      soak->swaps++;
      return;
    }
  soak->server_back[i]
      = loop_now (soak->fleet->loop) + g_rand_int_range (soak->rand, 1, DOWN_MAX_MS) * FT_MS;
  soak->kills++;
}

static void
fail_entry (Soak *soak, unsigned i)
{
  FleetNode *entry = &soak->fleet->entries[i];
  int64_t now = loop_now (soak->fleet->loop);

  if (soak->entry_back[i])
    return;
  soak->entry_faults++;
  soak->entry_stopped[i] = g_rand_boolean (soak->rand);
  if (soak->entry_stopped[i])
    {
      fleet_signal (entry, SIGSTOP);
      soak->entry_back[i] = now + STOPPED_MS * FT_MS;
      return;
    }
  fleet_kill (entry);
  soak->entry_back[i] = now + g_rand_int_range (soak->rand, 1, DOWN_MAX_MS) * FT_MS;
}

static void
make_fault (Soak *soak)
{
  if (g_rand_int_range (soak->rand, 0, 4) == 0)
    fail_entry (soak, (unsigned) g_rand_int_range (soak->rand, 0, FLEET_ENTRIES));
  else
    fail_server (soak, (unsigned) g_rand_int_range (soak->rand, 0, SERVERS));
}

static void
bring_back (Soak *soak, int64_t now)
{
  for (unsigned i = 0; i < SERVERS; i++)
    if (soak->server_back[i] && now >= soak->server_back[i])
      start_server (soak, i);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    {
      if (soak->entry_back[i] == 0 || now < soak->entry_back[i])
        continue;
      if (soak->entry_stopped[i])
        fleet_signal (&soak->fleet->entries[i], SIGCONT);
      else
        fleet_start (soak->fleet, &soak->fleet->entries[i], false);
      soak->entry_back[i] = 0;
    }
}

static void
send_call (Soak *soak)
{
  static const char *const paths[] = { "/single/", "/again/", "/stream/", "/once/", "/plain/" };
  const char *path = paths[g_rand_int_range (soak->rand, 0, G_N_ELEMENTS (paths))];
  unsigned entry = (unsigned) g_rand_int_range (soak->rand, 0, FLEET_ENTRIES);
  char id[16], *target;

  if (soak->calls == CALLS_MAX)
    return;
  g_snprintf (id, sizeof id, "u%u", soak->calls);
  target = g_strconcat (path, id, NULL);
  fleet_send (soak->fleet, &soak->fleet->entries[entry], target, id, &soak->answers[soak->calls++]);
  g_free (target);
}

/* Drives the soak until it is over, and all is up again and answered. */
static bool
is_over (void *data)
{
  Soak *soak = data;
  int64_t now = loop_now (soak->fleet->loop);

  bring_back (soak, now);
  if (now < soak->ends_at)
    {
      for (; soak->call_at <= now; soak->call_at += CALL_GAP)
        send_call (soak);
      if (now >= soak->fault_at)
        {
          make_fault (soak);
          soak->fault_at = now + g_rand_int_range (soak->rand, FAULT_MIN_MS, FAULT_MAX_MS) * FT_MS;
        }
      return false;
    }
  for (unsigned i = 0; i < soak->calls; i++)
    if (!soak->answers[i].done)
      return false;
  return true;
}

static unsigned
judge (const Soak *soak)
{
  unsigned whole = 0, broken = 0, refused = 0, early = 0;
  char *text = lostserver_whole_answer ();

  for (unsigned i = 0; i < soak->calls; i++)
    {
      const Answer *answer = &soak->answers[i];
      if (answer->broken)
        broken++;
      else if (answer->status != 200)
        refused++;
      else if (strcmp (answer->body->str, text) == 0)
        whole++;
      else
        {
          early++;
          g_test_message ("u%u ended as complete: \"%s\" (logs in %s)", i, answer->body->str,
                          soak->fleet->base);
        }
    }
  g_free (text);
  g_test_message ("%u answers: %u whole, %u broken off, %u refused, %u ended early; servers: %u "
                  "killed, %u replaced at once, %u reset all; %u entries killed or stopped",
                  soak->calls, whole, broken, refused, early, soak->kills, soak->swaps,
                  soak->resets, soak->entry_faults);
  g_assert_cmpuint (whole, >, 0);
  g_assert_cmpuint (broken, >, 0);
  g_assert_cmpuint (soak->kills + soak->swaps + soak->resets, >, 0);
  return early;
}

/* Guards against an answer that ends as complete too soon under overlapping losses. */
static void
play (unsigned seconds, unsigned seed)
{
  Soak *soak = g_new0 (Soak, 1);

  soak->fleet = fleet_new ();
  soak->rand = g_rand_new_with_seed (seed);
  soak->fleet->slots = 16;
  for (unsigned i = 0; i < SERVERS; i++)
    {
      soak->fleet->servers[i].listed = true;
      soak->fleet->servers[i].addr.port = SERVER_PORT;
      start_server (soak, i);
    }
  fleet_start_all (soak->fleet);
  soak->call_at = loop_now (soak->fleet->loop);
  soak->fault_at = soak->call_at + FAULT_MAX_MS * FT_MS;
  soak->ends_at = soak->call_at + seconds * FT_SECOND;
  fleet_run_until (soak->fleet, is_over, soak, "all answers");
  unsigned early = judge (soak);
  for (unsigned i = 0; i < soak->calls; i++)
    fleet_answer_clear (&soak->answers[i]);
  for (unsigned i = 0; i < SERVERS; i++)
    lostserver_kill (soak->pids[i]);
  if (early == 0)
    fleet_free (soak->fleet);
  g_rand_free (soak->rand);
  g_free (soak);
  g_assert_cmpuint (early, ==, 0);
}

static void
ci_case (gconstpointer seed)
{
  play (CI_SECONDS, GPOINTER_TO_UINT (seed));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (argc == 3)
    {
      play ((unsigned) atoi (argv[1]), (unsigned) atoi (argv[2]));
      g_print ("ok 1 seed %s\n", argv[2]);
      return 0;
    }
  for (unsigned seed = 1; seed <= 4; seed++)
    {
      char *path = g_strdup_printf ("/lostsoak/%u", seed);
      g_test_add_data_func (path, GUINT_TO_POINTER (seed), ci_case);
      g_free (path);
    }
  return g_test_run ();
}
