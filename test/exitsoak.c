/* exitsoak.c - a seeded soak of processes that must not end by themselves: they are stopped, killed
 * and started beside what still holds their addresses, folders and settings, while servers crash
 * under thousands of keys, desired states are large and files may not grow.
 *
 *     test-exitsoak [SECONDS SEED]    without arguments: the cases of CI */
#include "fingerprint.h"
#include "reporter.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#define NODES        (3 + FLEET_ENTRIES)
#define LEAVING_MAX  64
#define CALLS_MAX    4096
#define CALL_GAP     (15 * FT_MS)
#define FAULT_MIN_MS 30 /* between two faults */
#define FAULT_MAX_MS 250
#define HELD_MAX_MS  1200 /* for which something is in use, hidden or stopped */
#define KEYS         6000 /* that ran on crashed servers, more than the crash table holds */
#define GRACE_S      3
#define LARGE_MAX    (3900 * 1024)
#define DISK_MAX     (128u << 20) /* of a voter's machine, docs/CAPACITY.md */
#define CI_SECONDS   6

typedef enum
{
  FAULT_BESIDE,  /* SIGTERM, and the next process at once */
  FAULT_ADDRESS, /* killed, and started while one of its addresses is in use */
  FAULT_HIDDEN,  /* killed, and started while its settings are missing */
  FAULT_FILES,   /* its files may not grow */
  FAULT_STOPPED,
  FAULT_RELOAD,
  FAULT_CRASHES, /* servers crash under many keys */
  FAULT_LARGE,   /* a large desired state */
  FAULT_KINDS
} FaultKind;

static const char *const fault_names[FAULT_KINDS]
    = { "beside", "address", "hidden", "files", "stopped", "reload", "crashes", "large" };

/* What is done to a node for a while. */
typedef struct
{
  FleetNode *node;
  int64_t until;
  SockListener *holder; /* of one of its addresses; NULL: none */
  bool stopped, limited;
} Hold;

typedef struct
{
  Fleet *fleet;
  GRand *rand;
  Reporter reporter;
  Hold holds[NODES];
  FleetNode leaving[LEAVING_MAX]; /* processes that got SIGTERM; pid 0: ended */
  unsigned leaving_count;
  int64_t ends_at, fault_at, call_at;
  unsigned calls, faults[FAULT_KINDS];
  Answer answers[CALLS_MAX];
} Soak;

static unsigned
draw (Soak *soak, unsigned limit)
{
  return (unsigned) g_rand_int_range (soak->rand, 0, (gint32) limit);
}

static void
refuse_connection (void *owner, int fd, SockAddr from)
{
  (void) owner;
  (void) from;
  close (fd);
}

static void
check_runs (Soak *soak, FleetNode *node)
{
  if (node->pid && fleet_has_exited (node))
    g_error ("%s ended by itself, wait status %d (logs in %s)", node->name, node->status,
             soak->fleet->base);
}

static void
check_leaving (Soak *soak)
{
  for (unsigned i = 0; i < soak->leaving_count; i++)
    {
      FleetNode *node = &soak->leaving[i];
      if (node->pid && fleet_has_exited (node) && node->status != 0)
        g_error ("%s ended with wait status %d after SIGTERM (logs in %s)", node->name,
                 node->status, soak->fleet->base);
    }
}

/* ---- Faults ---- */

static void
end_hold (Hold *hold)
{
  struct rlimit none = { RLIM_INFINITY, RLIM_INFINITY };

  sock_listener_free (hold->holder);
  hold->holder = NULL;
  if (hold->stopped)
    fleet_signal (hold->node, SIGCONT);
  if (hold->limited)
    prlimit (hold->node->pid, RLIMIT_FSIZE, &none, NULL);
  hold->stopped = hold->limited = false;
  hold->until = 0;
}

static bool
start_beside (Soak *soak, Hold *hold)
{
  FleetNode *node = hold->node;

  if (soak->leaving_count == LEAVING_MAX || !fleet_handles_signals (node))
    return false;
  fleet_signal (node, SIGTERM);
  soak->leaving[soak->leaving_count++] = *node;
  node->pid = 0;
  fleet_start (soak->fleet, node, false);
  return true;
}

static bool
start_with_address_held (Soak *soak, Hold *hold)
{
  static const unsigned voter_ports[] = { FLEET_LINK_PORT, FLEET_CONTROL_PORT };
  static const unsigned entry_ports[]
      = { FLEET_LINK_PORT, FLEET_CALLER_PORT, FLEET_READY_PORT, FLEET_RELAY_PORT };
  FleetNode *node = hold->node;
  unsigned port = node->voter ? voter_ports[draw (soak, G_N_ELEMENTS (voter_ports))]
                              : entry_ports[draw (soak, G_N_ELEMENTS (entry_ports))];

  fleet_kill (node);
  /* NULL: a process that got SIGTERM before holds it. */
  hold->holder = sock_listen (soak->fleet->loop, (SockAddr){ node->ip, (uint16_t) port },
                              refuse_connection, NULL);
  fleet_start (soak->fleet, node, false);
  return true;
}

/* The file is back within the second in which a start looks for it. */
static bool
start_with_settings_hidden (Soak *soak, Hold *hold)
{
  char *hidden = g_strconcat (hold->node->settings, FLEET_HIDDEN, NULL);

  fleet_kill (hold->node);
  hold->node->starts_without = true;
  fleet_start (soak->fleet, hold->node, false);
  hold->node->starts_without = false;
  while (!g_file_test (hidden, G_FILE_TEST_EXISTS))
    g_usleep (1000);
  fleet_run_for (soak->fleet, draw (soak, 300) * FT_MS);
  g_assert_cmpint (rename (hidden, hold->node->settings), ==, 0);
  g_free (hidden);
  return true;
}

static void
crash_servers (Soak *soak)
{
  uint64_t keys[MESH_CONTENTS_MAX];
  char server[16];

  for (unsigned i = 0; i < 24; i++)
    {
      g_snprintf (server, sizeof server, "c%u", draw (soak, 100000));
      for (unsigned j = 0; j < MESH_CONTENTS_MAX; j++)
        {
          uint64_t key = 1000 + draw (soak, KEYS / 2);
          keys[j] = j % 2 ? fingerprint_part_key ("s", key) : key;
        }
      soak->faults[FAULT_CRASHES]
          += reporter_send_crash (&soak->reporter, server, keys, MESH_CONTENTS_MAX);
    }
}

static void
put_large (Soak *soak)
{
  Fleet *fleet = soak->fleet;
  size_t size = draw (soak, 2) ? 2000 + draw (soak, 100000) : LARGE_MAX;
  char *text = fleet_large_catalogue (fleet, fleet->version + 1, size);
  unsigned first = draw (soak, 3);
  Answer answer = { 0 };

  for (unsigned i = 0; i < 3 && answer.status != 200; i++)
    {
      const FleetNode *voter = &fleet->voters[(first + i) % 3];
      if (voter->pid == 0)
        continue;
      fleet_try_operator_call (fleet, voter, "POST", "/api/Config.Put", text, &answer);
      g_assert_cmpuint (answer.status / 100, !=, 4);
      fleet_answer_clear (&answer);
    }
  fleet->version += answer.status == 200;
  soak->faults[FAULT_LARGE] += answer.status == 200;
  g_free (text);
}

static void
make_node_fault (Soak *soak, FaultKind kind)
{
  Hold *hold = &soak->holds[draw (soak, NODES)];
  FleetNode *node = hold->node;
  struct rlimit small = { 16384, RLIM_INFINITY };
  bool done = true;

  if (hold->until)
    return;
  hold->until = loop_now (soak->fleet->loop) + draw (soak, HELD_MAX_MS) * FT_MS;
  if (kind == FAULT_BESIDE)
    done = start_beside (soak, hold);
  else if (kind == FAULT_ADDRESS)
    done = start_with_address_held (soak, hold);
  else if (kind == FAULT_HIDDEN)
    done = start_with_settings_hidden (soak, hold);
  else if (kind == FAULT_FILES && node->voter)
    hold->limited = prlimit (node->pid, RLIMIT_FSIZE, &small, NULL) == 0;
  else if (kind == FAULT_STOPPED)
    {
      hold->stopped = true;
      fleet_signal (node, SIGSTOP);
    }
  else if (kind == FAULT_RELOAD && fleet_handles_signals (node))
    fleet_signal (node, SIGHUP);
  else
    done = false;
  soak->faults[kind] += done;
}

static void
make_fault (Soak *soak)
{
  FaultKind kind = (FaultKind) draw (soak, FAULT_KINDS);

  if (kind == FAULT_CRASHES)
    crash_servers (soak);
  else if (kind == FAULT_LARGE)
    put_large (soak);
  else
    make_node_fault (soak, kind);
}

/* ---- Callers ---- */

static void
send_call (Soak *soak)
{
  static const char *const paths[] = { "/plain/a", "/once/a", "/stream/a" };
  FleetNode *entry = &soak->fleet->entries[draw (soak, FLEET_ENTRIES)];
  char id[16];

  g_snprintf (id, sizeof id, "e%u", soak->calls);
  fleet_send (soak->fleet, entry, paths[draw (soak, G_N_ELEMENTS (paths))], id,
              &soak->answers[soak->calls++]);
}

static unsigned
finish_calls (Soak *soak)
{
  unsigned whole = 0;

  for (unsigned i = 0; i < soak->calls; i++)
    {
      Answer *answer = &soak->answers[i];
      while (!answer->done)
        fleet_run_for (soak->fleet, 20 * FT_MS);
      whole += answer->status == 200 && !answer->broken;
      fleet_answer_clear (answer);
    }
  return whole;
}

/* ---- Plays ---- */

static bool
step (void *data)
{
  Soak *soak = data;
  int64_t now = loop_now (soak->fleet->loop);

  for (unsigned i = 0; i < NODES; i++)
    {
      check_runs (soak, soak->holds[i].node);
      if (soak->holds[i].until && now >= soak->holds[i].until)
        end_hold (&soak->holds[i]);
    }
  check_leaving (soak);
  if (soak->calls < CALLS_MAX && now >= soak->call_at)
    {
      send_call (soak);
      soak->call_at = now + CALL_GAP;
    }
  return now >= soak->fault_at || now >= soak->ends_at;
}

/* All is given back: each process must start or go on, with what was acknowledged, and serve. */
static void
check_end (Soak *soak)
{
  Fleet *fleet = soak->fleet;

  for (unsigned i = 0; i < NODES; i++)
    end_hold (&soak->holds[i]);
  for (unsigned i = 0; i < soak->leaving_count; i++)
    while (soak->leaving[i].pid)
      {
        fleet_run_for (fleet, 20 * FT_MS);
        check_leaving (soak);
      }
  g_assert_cmpuint (fleet_get_version (fleet), >=, fleet->version);
  fleet->version = MAX (fleet->version, fleet_get_version (fleet));
  fleet_put_catalogue (fleet);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    fleet_await_version (fleet, &fleet->entries[i], fleet->version);
  for (unsigned i = 0; i < NODES; i++)
    {
      FleetNode *node = soak->holds[i].node;
      fleet_await_metrics (fleet, node);
      if (node->voter)
        g_assert_cmpuint (fleet_counter (fleet, node, "foxtail_data_bytes"), <=, DISK_MAX);
      check_runs (soak, node);
    }
}

static void
play (unsigned seconds, unsigned seed)
{
  Soak *soak = g_new0 (Soak, 1);
  Fleet *fleet = soak->fleet = fleet_new ();

  soak->rand = g_rand_new_with_seed (seed);
  fleet->grace_s = GRACE_S;
  fleet_start_all (fleet);
  reporter_open (fleet, &soak->reporter);
  for (unsigned i = 0; i < NODES; i++)
    soak->holds[i].node = i < 3 ? &fleet->voters[i] : &fleet->entries[i - 3];
  soak->ends_at = loop_now (fleet->loop) + seconds * FT_SECOND;
  while (loop_now (fleet->loop) < soak->ends_at)
    {
      fleet_run_until (fleet, step, soak, "the next fault is due");
      make_fault (soak);
      soak->fault_at = loop_now (fleet->loop)
                       + g_rand_int_range (soak->rand, FAULT_MIN_MS, FAULT_MAX_MS) * FT_MS;
    }
  check_end (soak);
  unsigned calls = soak->calls, whole = finish_calls (soak);
  GString *plays = g_string_new (NULL);
  for (unsigned i = 0; i < FAULT_KINDS; i++)
    g_string_append_printf (plays, " %s %u", fault_names[i], soak->faults[i]);
  g_test_message ("seed %u:%s; %u of %u calls whole; %u suspects published", seed, plays->str,
                  whole, calls, soak->reporter.most_published);
  g_assert_cmpuint (whole, >, 0);
  g_string_free (plays, TRUE);
  reporter_close (&soak->reporter);
  fleet_free (fleet);
  g_rand_free (soak->rand);
  g_free (soak);
}

static void
play_case (gconstpointer seed)
{
  play (CI_SECONDS, GPOINTER_TO_UINT (seed));
}

int
main (int argc, char **argv)
{
  if (argc == 3)
    {
      play ((unsigned) atoi (argv[1]), (unsigned) atoi (argv[2]));
      return 0;
    }
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/exitsoak/1", GUINT_TO_POINTER (1), play_case);
  g_test_add_data_func ("/exitsoak/2", GUINT_TO_POINTER (2), play_case);
  return g_test_run ();
}
