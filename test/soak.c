/* soak.c - a randomized soak test of real processes: injects several faults at once, and checks the
 * guarantees by what callers, operators and backend servers see.
 *
 *     test-soak SECONDS SEED...
 *
 * The seed determines the faults and the load, but their timing depends on the machine, too. Run a
 * seed that failed many times; its logs are kept, and their folder is printed. Seeds that ever
 * failed are in test/soak-seeds.txt, each with its cause.
 *
 * Some requests have a crash body, which crashes each server that runs it. Once REPORT_TIME has
 * passed since the third crash that such a body caused, it may run at most LATE_RUNS_MAX times
 * more. A run counts only if no fault touched its entry or a voter for REPORT_TIME before it.
 */
#include "soaknote.h"
#include "soakroll.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define CALLER_COUNT       6
#define FAULTS_MAX         3
#define CRASH_ONE_IN       12 /* one request in so many has a crash body */
#define CRASH_BODIES       2  /* different ones */
#define CRASHES_QUARANTINE 3  /* crashes until a body is quarantined */
#define LATE_RUNS_MAX      3  /* runs of a quarantined body, at most */
#define REPORT_TIME        (3 * FT_SECOND)
#define CALM_TIMEOUT       (25 * FT_SECOND) /* by then all that is open must have ended */
#define NOTICES_TIME       (9 * FT_SECOND) /* a rate must be kept after 3 s, and is checked over 4 s */
#define STREAM_END         "id: 8\ndata: event 8\n\n"

typedef struct
{
  Answer answer;
  char id[24];
  unsigned kind; /* 0 plain, 1 once, 2 stream, 3 once with a crash body */
  bool open;
} Caller;

typedef struct
{
  char id[24];
  unsigned status;
  bool broken;
} OnceOutcome; /* the outcome of a request that may run only once */

typedef enum
{
  FAULT_KILL,
  FAULT_PAUSE,
  FAULT_TERM,
  FAULT_LINK,
  FAULT_SERVER_PATH,
  FAULT_SERVER_MODE,
  FAULT_LEAVING,
  FAULT_SERVER_CRASH,
  FAULT_KINDS
} FaultKind;

typedef struct
{
  bool active;
  FaultKind kind;
  FleetNode *node;
  FleetServer *server;
  int64_t until;
} Fault;

static Fleet *fleet;
static Caller callers[CALLER_COUNT];
static GArray *once; /* OnceOutcome */
static Fault faults[FAULTS_MAX];
static int64_t
    disturbed[3 + FLEET_ENTRIES]; /* when a fault last touched each voter, then each entry */
static unsigned late_runs[CRASH_BODIES];
static unsigned events_checked;      /* of fleet->crash_events */
static GHashTable *entry_of_request; /* request id: index of the entry it was sent to */
static GRand *generator;
static unsigned sent, answered, refused, unknown, broken;

static unsigned
draw (unsigned limit)
{
  return (unsigned) g_rand_int_range (generator, 0, (gint32) limit);
}

static void
fail (const char *what, const char *id)
{
  g_error ("%s: %s (logs in %s)", what, id, fleet->base);
}

/* ---- Callers ---- */

static void
check_answer (const Caller *caller)
{
  const Answer *answer = &caller->answer;

  if (answer->status == 200 && !answer->broken)
    {
      answered++;
      if (!answer->has_signature)
        fail ("a success without a server's signature", caller->id);
      if (caller->kind < 2 && strcmp (answer->body->str, caller->id) != 0)
        fail ("another request's answer", caller->id);
      if (caller->kind == 2 && !g_str_has_suffix (answer->body->str, STREAM_END))
        fail ("an incomplete stream that looks complete", caller->id);
    }
  else if (answer->broken)
    broken++;
  else if (answer->status == 503 || answer->status == 429)
    refused++;
  else
    unknown++;
  if (answer->status == 404 || answer->status == 401)
    fail ("refused although its route and key exist", caller->id);
}

/* The events of a stream, also of one that broke off, are complete, in order and none twice. */
static void
check_stream (const Caller *caller)
{
  unsigned wanted = 1, number;
  const char *at = caller->answer.body->str;

  if (caller->kind != 2 || caller->answer.status != 200)
    return;
  while (sscanf (at, "id: %u", &number) == 1)
    {
      if (number != wanted++)
        fail ("events missing, repeated or out of order", caller->id);
      at = strstr (at, "\n\n");
      if (at == NULL)
        return;
      at += 2;
    }
}

static void
take_answer (Caller *caller)
{
  check_answer (caller);
  check_stream (caller);
  if (caller->kind == 1 || caller->kind == 3)
    {
      OnceOutcome outcome = { .status = caller->answer.status, .broken = caller->answer.broken };
      g_strlcpy (outcome.id, caller->id, sizeof outcome.id);
      g_array_append_val (once, outcome);
    }
  fleet_answer_clear (&caller->answer);
  caller->open = false;
}

static void
send_request (Caller *caller)
{
  static const char *const paths[] = { "/plain/a", "/once/a", "/stream/a", "/once/a" };
  unsigned number = draw (FLEET_ENTRIES);
  FleetNode *entry = &fleet->entries[number];
  char body[32];

  if (entry->pid == 0)
    return;
  caller->kind = draw (CRASH_ONE_IN) == 0 ? 3 : draw (3);
  g_snprintf (caller->id, sizeof caller->id, "r%u", ++sent);
  g_snprintf (body, sizeof body, caller->kind == 3 ? FLEET_CRASH_PREFIX " %u" : "body",
              draw (CRASH_BODIES));
  g_hash_table_insert (entry_of_request, g_strdup (caller->id), GUINT_TO_POINTER (number));
  fleet_send_body (fleet, entry, paths[caller->kind], caller->id, body, &caller->answer);
  caller->open = true;
}

static void
step_callers (bool more)
{
  for (unsigned i = 0; i < CALLER_COUNT; i++)
    {
      Caller *caller = &callers[i];
      if (caller->open && caller->answer.done)
        take_answer (caller);
      if (!caller->open && more)
        send_request (caller);
    }
}

/* A request that was answered as not run must not have run at any time, and one that may run once
 * must not have run twice. */
static void
check_once (void)
{
  for (unsigned i = 0; i < once->len; i++)
    {
      const OnceOutcome *outcome = &g_array_index (once, OnceOutcome, i);
      unsigned runs = fleet_run_count (fleet, outcome->id);
      bool said_not_run = !outcome->broken && (outcome->status == 503 || outcome->status == 429);
      if (runs > 1)
        fail ("ran twice", outcome->id);
      if (said_not_run && runs > 0)
        fail ("answered as not run, but ran", outcome->id);
    }
}

/* ---- Crash bodies ---- */

static bool
was_undisturbed (unsigned entry, int64_t at)
{
  for (unsigned i = 0; i < 3; i++)
    if (at - disturbed[i] < REPORT_TIME)
      return false;
  return at - disturbed[3 + entry] >= REPORT_TIME;
}

/* When the body caused its third crash; 0: not yet. */
static int64_t
third_crash (const char *body)
{
  unsigned count = 0;

  for (unsigned i = 0; i < fleet->crash_events->len; i++)
    {
      const FleetCrashEvent *event = &g_array_index (fleet->crash_events, FleetCrashEvent, i);
      if (event->crashed && strcmp (event->body, body) == 0 && ++count == CRASHES_QUARANTINE)
        return event->at;
    }
  return 0;
}

static void
check_crash_events (void)
{
  for (; events_checked < fleet->crash_events->len; events_checked++)
    {
      const FleetCrashEvent *event
          = &g_array_index (fleet->crash_events, FleetCrashEvent, events_checked);
      unsigned crash_body = (unsigned) atoi (event->body + strlen (FLEET_CRASH_PREFIX));
      unsigned entry = GPOINTER_TO_UINT (g_hash_table_lookup (entry_of_request, event->request));
      int64_t third_at = third_crash (event->body);
      if (event->crashed || third_at == 0 || event->at - third_at < REPORT_TIME
          || !was_undisturbed (entry, event->at))
        continue;
      if (++late_runs[crash_body] > LATE_RUNS_MAX)
        fail ("runs although its body crashed servers before", event->request);
    }
}

/* ---- Operators ---- */

static FleetNode *
any_voter (void)
{
  FleetNode *voter = &fleet->voters[draw (3)];

  return voter->pid ? voter : NULL;
}

static void
step_operators (void)
{
  FleetNode *voter = any_voter ();
  uint64_t acknowledged = fleet->version;

  if (voter == NULL)
    return;
  if (draw (2))
    {
      fleet_try_put_catalogue (fleet, voter);
      return;
    }
  uint64_t shown = fleet_try_get_version (fleet, voter);
  if (shown && shown < acknowledged)
    fail ("reports an older catalogue than the acknowledged one", voter->name);
}

/* ---- Faults ---- */

static FleetNode *
any_node (void)
{
  unsigned number = draw (3 + FLEET_ENTRIES);

  return number < 3 ? &fleet->voters[number] : &fleet->entries[number - 3];
}

static void
note_disturbed (const FleetNode *node)
{
  unsigned number = (unsigned) (node->voter ? node - fleet->voters : 3 + (node - fleet->entries));

  disturbed[number] = loop_now (fleet->loop);
  if (number >= 3)
    soaknote_disturbed (number - 3 + 1);
}

static bool
has_fault (const FleetNode *node)
{
  for (unsigned i = 0; i < FAULTS_MAX; i++)
    if (faults[i].active && faults[i].node == node)
      return true;
  return false;
}

static void
begin_fault (Fault *fault)
{
  fault->kind = (FaultKind) draw (FAULT_KINDS);
  fault->node = NULL;
  fault->server = &fleet->servers[draw (FLEET_SERVERS)];
  FleetNode *node = any_node ();
  if (fault->kind <= FAULT_LINK && (has_fault (node) || node->pid == 0))
    return;
  fault->active = true;
  fault->until = loop_now (fleet->loop) + (300 + draw (2500)) * FT_MS;
  if (fault->kind <= FAULT_LINK)
    fault->node = node;
  if (fault->kind == FAULT_KILL)
    fleet_kill (node);
  else if (fault->kind == FAULT_PAUSE)
    fleet_signal (node, SIGSTOP);
  else if (fault->kind == FAULT_TERM)
    fleet_signal (node, SIGTERM);
  else if (fault->kind == FAULT_LINK)
    proxy_set_mode (node->proxy, 1 + draw (PROXY_MODE_COUNT - 1));
  else if (fault->kind == FAULT_SERVER_PATH && fault->server->proxy)
    proxy_set_mode (fault->server->proxy, 1 + draw (PROXY_MODE_COUNT - 1));
  else if (fault->kind == FAULT_SERVER_CRASH)
    fleet_crash_server (fault->server);
  else if (fault->kind == FAULT_SERVER_MODE)
    fault->server->mode = 1 + draw (SERVER_NO_ANSWER);
  else if (fault->kind == FAULT_LEAVING)
    fault->server->leaving = true;
}

/* Restarts a node after SIGTERM once its process has exited; false: it still runs. */
static bool
restart_after_term (FleetNode *node)
{
  if (!fleet_has_exited (node))
    return false;
  if (node->status != 0)
    fail ("failed on SIGTERM", node->name);
  fleet_start (fleet, node, false);
  return true;
}

static void
end_fault (Fault *fault)
{
  if (fault->kind == FAULT_TERM && !restart_after_term (fault->node))
    return;
  fault->active = false;
  if (fault->kind == FAULT_KILL)
    fleet_start (fleet, fault->node, false);
  else if (fault->kind == FAULT_PAUSE)
    fleet_signal (fault->node, SIGCONT);
  else if (fault->kind == FAULT_LINK)
    proxy_set_mode (fault->node->proxy, PROXY_PASS);
  else if (fault->kind == FAULT_SERVER_PATH && fault->server->proxy)
    proxy_set_mode (fault->server->proxy, PROXY_PASS);
  else if (fault->kind == FAULT_SERVER_MODE)
    fault->server->mode = soakroll_usual (fault->server);
  else if (fault->kind == FAULT_LEAVING)
    fault->server->leaving = false;
}

static void
step_faults (bool more)
{
  for (unsigned i = 0; i < FAULTS_MAX; i++)
    {
      if (faults[i].active && faults[i].node)
        note_disturbed (faults[i].node);
      if (faults[i].active && faults[i].kind == FAULT_SERVER_PATH)
        soaknote_disturbed (0);
      if (faults[i].active && loop_now (fleet->loop) >= faults[i].until)
        end_fault (&faults[i]);
      else if (!faults[i].active && more && draw (40) == 0)
        begin_fault (&faults[i]);
    }
  for (unsigned i = 0; i < 3 + FLEET_ENTRIES; i++)
    {
      FleetNode *node = i < 3 ? &fleet->voters[i] : &fleet->entries[i - 3];
      if (!has_fault (node) && node->pid && fleet_has_exited (node))
        fail ("a process exited unasked", node->name);
    }
}

static bool
any_open (void)
{
  for (unsigned i = 0; i < FAULTS_MAX; i++)
    if (faults[i].active)
      return true;
  for (unsigned i = 0; i < CALLER_COUNT; i++)
    if (callers[i].open)
      return true;
  return false;
}

/* ---- One seed ---- */

static void
calm_down (void)
{
  int64_t until = loop_now (fleet->loop) + CALM_TIMEOUT;

  while (any_open ())
    {
      step_faults (false);
      step_callers (false);
      fleet_run_for (fleet, 20 * FT_MS);
      if (loop_now (fleet->loop) > until)
        fail ("still open after the faults", "faults or requests");
    }
}

/* Servers' notices must be respected while there are no faults. */
static void
check_notices (void)
{
  int64_t until = loop_now (fleet->loop) + NOTICES_TIME;

  soaknote_last ();
  while (loop_now (fleet->loop) < until)
    {
      step_callers (true);
      fleet_run_for (fleet, 15 * FT_MS);
    }
  calm_down ();
  soaknote_end ();
}

/* Sends the crash bodies again while there are no faults. */
static void
send_crash_bodies (void)
{
  fleet_run_for (fleet, REPORT_TIME);
  for (unsigned i = 0; i < 8 * CRASH_BODIES; i++)
    {
      char id[24], body[32];
      Answer answer;
      g_snprintf (id, sizeof id, "m%u", i);
      g_snprintf (body, sizeof body, FLEET_CRASH_PREFIX " %u", i % CRASH_BODIES);
      g_hash_table_insert (entry_of_request, g_strdup (id), GUINT_TO_POINTER (i % FLEET_ENTRIES));
      fleet_call_body (fleet, &fleet->entries[i % FLEET_ENTRIES], "/once/a", id, body, &answer);
      fleet_answer_clear (&answer);
      fleet_run_for (fleet, 100 * FT_MS);
      check_crash_events ();
    }
}

/* After the faults every entry serves again, and the acknowledged catalogue is still there. */
static void
check_recovery (void)
{
  if (fleet_get_version (fleet) < fleet->version)
    fail ("what was acknowledged is lost", "catalogue");
  fleet_put_catalogue (fleet);
  send_crash_bodies ();
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    {
      unsigned served = 0;
      for (unsigned j = 0; j < 200 && served < 10; j++)
        {
          Answer answer;
          char id[24];
          g_snprintf (id, sizeof id, "c%u-%u", i, j);
          fleet_call (fleet, &fleet->entries[i], "/plain/a", id, &answer);
          served += answer.status == 200;
          fleet_answer_clear (&answer);
          fleet_run_for (fleet, 20 * FT_MS);
        }
      if (served < 10)
        fail ("does not serve after the faults", fleet->entries[i].name);
    }
}

static void
run_seed (unsigned seconds, unsigned seed)
{
  generator = g_rand_new_with_seed (seed);
  once = g_array_new (FALSE, FALSE, sizeof (OnceOutcome));
  memset (callers, 0, sizeof callers);
  memset (faults, 0, sizeof faults);
  memset (disturbed, 0, sizeof disturbed);
  memset (late_runs, 0, sizeof late_runs);
  events_checked = 0;
  entry_of_request = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sent = answered = refused = unknown = broken = 0;
  fleet = fleet_new ();
  fleet_add_proxies (fleet);
  soakroll_begin (fleet, seed);
  soaknote_begin (fleet, seed);
  fleet_start_all (fleet);
  int64_t until = loop_now (fleet->loop) + seconds * FT_SECOND;
  unsigned round = 0;
  while (loop_now (fleet->loop) < until)
    {
      step_faults (true);
      step_callers (true);
      check_crash_events ();
      if (draw (10) == 0)
        step_operators ();
      soaknote_turn ();
      soakroll_turn (&fleet->voters[round++ % 3]);
      fleet_run_for (fleet, 15 * FT_MS);
    }
  calm_down ();
  check_notices ();
  check_once ();
  soakroll_end ();
  check_recovery ();
  printf ("# seed %u: %u sent, %u answered, %u refused, %u unknown, %u broken, catalogue %u, "
          "%u server crashes, late runs of crash bodies: %u and %u\n",
          seed, sent, answered, refused, unknown, broken, (unsigned) fleet->version,
          fleet->crash_count, late_runs[0], late_runs[1]);
  fleet_free (fleet);
  g_hash_table_unref (entry_of_request);
  g_array_unref (once);
  g_rand_free (generator);
}

int
main (int argc, char **argv)
{
  unsigned seconds = argc > 1 ? (unsigned) atoi (argv[1]) : 6;

  setvbuf (stdout, NULL, _IOLBF, 0);
  printf ("1..%d\n", MAX (argc - 2, 1));
  for (int i = 2; i < MAX (argc, 3); i++)
    {
      unsigned seed = i < argc ? (unsigned) strtoul (argv[i], NULL, 10) : 1;
      run_seed (seconds, seed);
      printf ("ok %d - seed %u keeps the promises\n", i - 1, seed);
    }
  return 0;
}
