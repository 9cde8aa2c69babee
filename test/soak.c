/* soak.c - a randomized soak test of real processes: injects several faults at once, and checks the
 * guarantees by what callers, operators and backend servers see.
 *
 *     test-soak SECONDS SEED...
 *
 * The seed determines the faults and the load, but their timing depends on the machine, too. Run a
 * seed that failed many times; its logs are kept, and their folder is printed. Seeds that ever
 * failed are in test/soak-seeds.txt, each with its cause.
 *
 * Some requests have a crash body, or a part of a prompt, which crashes each server that runs it.
 * Once REPORT_TIME has passed since the third crash that such a body caused, or the fifth of a
 * part, it may run at most LATE_RUNS_MAX times more. A run counts only if no fault touched its
 * entry or a voter for REPORT_TIME before it.
 *
 * Planned work goes on beside the faults: SIGHUP to one process after another, SIGTERM to one entry
 * after another, new catalogues. By its number a seed has planned work and servers' silences alone
 * (multiples of 3), fewer places than callers (multiples of 2) or FLEET_ENTRIES_MAX entries (5, 13,
 * 21, ..).
 *
 * An answer of which its caller has an event, or the head of a plain answer, is complete unless an
 * unplanned fault touched its entry meanwhile, as many of its tries as its route allows were
 * refused, failed or broken off, its time limit was reached, or no server of the version that began
 * the stream could be used for a moment. That a server is silent and goes on is no reason.
 *
 * Seeds from SOAKJOIN_SEED on have a release of a new version, during which one instance after
 * another is stopped or its links are cut, and callers come back as it goes on (soakjoin.c).
 *
 * Callers take up streams that broke off, at any entry. All events of a stream come from servers of
 * one version: of two, in seeds with a roll-out and in half of the others, where servers that crash
 * come back with either.
 */
#include "soakjoin.h"
#include "soaknote.h"
#include "soakroll.h"
#include "soakver.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define CALLERS            6
#define CALLERS_FULL       16 /* more than there are places at full load */
#define FAULTS_MAX         3
#define CRASH_ONE_IN       12 /* one request in so many has a crash body */
#define CRASH_BODIES       2  /* different ones */
#define PART_CRASHES       5 /* of servers by one part, after which no more requests with it may run */
#define SOUND_PARTS        "f1:9,aa:9" /* of prompts */
#define CRASHES_QUARANTINE 3           /* crashes until a body is quarantined */
#define LATE_RUNS_MAX      3           /* runs of a quarantined body, at most */
#define REPORT_TIME        (3 * FT_SECOND)
#define CALM_TIMEOUT       (25 * FT_SECOND) /* by then all that is open must have ended */
#define NOTICES_TIME       (9 * FT_SECOND) /* a rate must be kept after 3 s, and is checked over 4 s */
#define TIME_LIMIT         (8 * FT_SECOND) /* of each request */
/* Of a refusal's Retry-After at least: so close to the time limit a place is not asked for again.
 */
#define LAST_ASK_TIME    (100 * FT_MS)
#define BUDGET_SLACK     1000 /* the retry budget ends no answer */
#define GRACE_S          12 /* longer than TIME_LIMIT and the time that a leaving entry accepts requests */
#define MAX_ATTEMPTS     2   /* of each route */
#define FULL_EVENT_MS    150 /* between a stream's events at full load */
#define FULL_PLAIN_MS    50  /* that a plain call takes at full load */
#define FULL_RETRY_MS    200 /* from a refusal to the next request at full load */
#define PAUSE_MS_MIN     300
#define PAUSE_MS_MAX     3000
#define HUP_MS_MAX       150 /* between two SIGHUPs */
#define CATALOGUE_MS_MAX 400 /* between two catalogues */
#define TERM_MS_MAX      800 /* from an entry's restart to the next one's SIGTERM */

typedef struct
{
  Answer answer;
  char id[24];
  unsigned kind; /* 0 plain, 1 once, 2 stream, 3 once with a crash body */
  unsigned entry;
  unsigned path_breaks; /* faults that ended connections to a server while it was open */
  int64_t again_at;     /* when it sends the next request */
  SoakStream stream;    /* of kind 2 */
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
  FAULT_SERVER_PAUSE,  /* silent in the middle of a stream, then goes on */
  FAULT_SERVER_SILENT, /* silent for good */
  FAULT_KINDS
} FaultKind;

typedef struct
{
  bool active;
  FaultKind kind;
  FleetNode *node;
  FleetServer *server;
  int64_t until;
  bool breaks_path; /* the server's open connections are reset, or carry nothing any more */
} Fault;

/* Planned work. */
typedef struct
{
  GRand *source; /* of its own, so that a seed keeps its sequence of faults */
  int64_t hup_at, catalogue_at, term_at;
  unsigned hup_next, term_next;
  FleetNode *leaving; /* the entry that got SIGTERM; NULL: none */
} Plan;

static Fleet *fleet;
static Caller callers[CALLERS_FULL];
static unsigned caller_count, retry_ms;
static bool planned_only; /* no unplanned faults */
static bool has_notices;  /* of servers, which take most of the places */
static Plan plan;
static GArray *once; /* OnceOutcome */
static Fault faults[FAULTS_MAX];
static int64_t
    disturbed[3 + FLEET_ENTRIES_MAX]; /* when a fault last touched each voter, then each entry */
static int64_t struck[FLEET_ENTRIES_MAX]; /* when an unplanned fault last touched each entry */
/* Answers that began; that ended at their time limit; that ended early without a reason. */
static unsigned begun, late, early;
static unsigned late_runs[2 * CRASH_BODIES]; /* of bodies, then of parts */
static unsigned sound_quarantined;           /* requests refused for what others did */
static unsigned events_checked;              /* of fleet->crash_events */
static GHashTable *entry_of_request;         /* request id: index of the entry it was sent to */
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

static bool
has_begun (const Caller *caller)
{
  const Answer *answer = &caller->answer;

  if (answer->status != 200)
    return false;
  return caller->kind != 2 || strstr (answer->body->str, "\n\n") != NULL;
}

static unsigned
lost_tries (const Caller *caller)
{
  return fleet_lost_count (fleet, caller->id) + caller->path_breaks;
}

static bool
reached_time_limit (const Answer *answer)
{
  return answer->done_at - answer->sent_at >= TIME_LIMIT - LAST_ASK_TIME;
}

static bool
may_end_early (const Caller *caller)
{
  return struck[caller->entry] > caller->answer.sent_at || lost_tries (caller) >= MAX_ATTEMPTS
         || reached_time_limit (&caller->answer)
         || (caller->kind == 2 && soakver_was_gone (&caller->stream, caller->answer.sent_at));
}

/* All such answers of a seed are printed before it fails. */
static void
check_whole (const Caller *caller)
{
  const Answer *answer = &caller->answer;

  if (!has_begun (caller))
    return;
  begun++;
  if (!answer->broken)
    return;
  late += reached_time_limit (answer);
  if (may_end_early (caller))
    return;
  early++;
  printf ("# ended early: %s, kind %u, at %s, after %d ms, %u tries ran, %u lost, %zu bytes\n",
          caller->id, caller->kind, fleet->entries[caller->entry].name,
          (int) ((answer->done_at - answer->sent_at) / FT_MS), fleet_run_count (fleet, caller->id),
          lost_tries (caller), answer->body->len);
}

static void
take_answer (Caller *caller)
{
  check_answer (caller);
  if (caller->kind == 2)
    soakver_take (&caller->stream, caller->id, &caller->answer);
  check_whole (caller);
  if (caller->kind != 3 && strstr (caller->answer.body->str, "\"quarantined\""))
    sound_quarantined++;
  if (caller->kind == 1 || caller->kind == 3)
    {
      OnceOutcome outcome = { .status = caller->answer.status, .broken = caller->answer.broken };
      g_strlcpy (outcome.id, caller->id, sizeof outcome.id);
      g_array_append_val (once, outcome);
    }
  if (caller->answer.status != 200 && retry_ms > 0)
    caller->again_at = loop_now (fleet->loop) + retry_ms * FT_MS;
  fleet_answer_clear (&caller->answer);
  caller->open = false;
}

/* Every second cause is a part of the prompt, in requests that are never alike and share their
 * other parts with sound ones. */
static void
set_crash_cause (unsigned number, char *body, size_t body_size, char *parts, size_t parts_size)
{
  if (sent % 2)
    {
      g_snprintf (body, body_size, "unlike %u", sent);
      g_snprintf (parts, parts_size, "f1:9," FLEET_CRASH_PART "%u:9,aa:9,%x:9", number,
                  0xe000000 + sent);
      return;
    }
  g_snprintf (body, body_size, FLEET_CRASH_PREFIX " %u", number);
  g_snprintf (parts, parts_size, SOUND_PARTS ",%x:9", 0xe000000 + sent);
}

static void
send_request (Caller *caller)
{
  static const char *const paths[] = { "/plain/a", "/once/a", "/stream/a", "/once/a" };
  unsigned number = draw (fleet->entry_count);
  FleetNode *entry = &fleet->entries[number];
  char body[32], parts[64];

  if (entry->pid == 0)
    return;
  bool returns = caller->kind == 2 && soakver_returns (&caller->stream);
  unsigned kind = draw (CRASH_ONE_IN) == 0 ? 3 : draw (3);
  if (!returns)
    {
      caller->kind = kind;
      soakver_reset (&caller->stream);
    }
  g_snprintf (caller->id, sizeof caller->id, "r%u", ++sent);
  if (caller->kind == 3 && planned_only)
    caller->kind = 1;
  caller->entry = number;
  caller->path_breaks = 0;
  for (unsigned i = 0; i < FAULTS_MAX; i++)
    caller->path_breaks += faults[i].active && faults[i].breaks_path;
  g_snprintf (parts, sizeof parts, SOUND_PARTS ",%x:9", 0xe000000 + sent);
  if (caller->kind == 3)
    set_crash_cause (draw (CRASH_BODIES), body, sizeof body, parts, sizeof parts);
  else if (caller->kind == 2) /* with the same body it would be suspected after any crash */
    g_snprintf (body, sizeof body, "body of %s", caller->id);
  else
    g_strlcpy (body, "body", sizeof body);
  g_hash_table_insert (entry_of_request, g_strdup (caller->id), GUINT_TO_POINTER (number));
  if (returns)
    soakver_send (&caller->stream, entry, caller->id, body, &caller->answer);
  else
    fleet_send_parts (fleet, entry, paths[caller->kind], caller->id, parts, body, &caller->answer);
  caller->open = true;
}

static void
step_callers (bool more)
{
  for (unsigned i = 0; i < caller_count; i++)
    {
      Caller *caller = &callers[i];
      if (caller->open && caller->answer.done)
        take_answer (caller);
      if (!caller->open && more && loop_now (fleet->loop) >= caller->again_at)
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

static bool
is_part (const char *cause)
{
  return g_str_has_prefix (cause, FLEET_CRASH_PART);
}

static unsigned
cause_number (const char *cause)
{
  if (is_part (cause))
    return CRASH_BODIES + (unsigned) atoi (cause + strlen (FLEET_CRASH_PART));
  return (unsigned) atoi (cause + strlen (FLEET_CRASH_PREFIX));
}

/* When the cause had so many crashes that no more requests with it may reach servers: three of a
 * body, five of a part, which other parts of the same requests hide at first; 0: not yet. */
static int64_t
last_allowed_crash (const char *cause)
{
  unsigned count = 0, most = is_part (cause) ? PART_CRASHES : CRASHES_QUARANTINE;

  for (unsigned i = 0; i < fleet->crash_events->len; i++)
    {
      const FleetCrashEvent *event = &g_array_index (fleet->crash_events, FleetCrashEvent, i);
      if (event->crashed && strcmp (event->body, cause) == 0 && ++count == most)
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
      unsigned cause = cause_number (event->body);
      unsigned entry = GPOINTER_TO_UINT (g_hash_table_lookup (entry_of_request, event->request));
      int64_t last_at = last_allowed_crash (event->body);
      if (event->crashed || last_at == 0 || event->at - last_at < REPORT_TIME
          || !was_undisturbed (entry, event->at))
        continue;
      if (++late_runs[cause] > LATE_RUNS_MAX)
        fail ("runs although it is known to crash servers", event->request);
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
  unsigned number = draw (3 + fleet->entry_count);

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
  return plan.leaving == node || soakjoin_touches (node);
}

static bool
is_untouched (const FleetNode *node)
{
  return !has_fault (node);
}

static FaultKind
draw_kind (void)
{
  static const FaultKind planned[]
      = { FAULT_SERVER_PAUSE, FAULT_SERVER_PAUSE, FAULT_SERVER_PAUSE, FAULT_LEAVING, FAULT_TERM };

  return planned_only ? planned[draw (G_N_ELEMENTS (planned))] : (FaultKind) draw (FAULT_KINDS);
}

static void
begin_path_fault (Fault *fault)
{
  ProxyMode mode = 1 + draw (PROXY_MODE_COUNT - 1);

  proxy_set_mode (fault->server->proxy, mode);
  fault->breaks_path = mode == PROXY_REFUSE || mode == PROXY_BLACKHOLE;
  for (unsigned i = 0; i < caller_count; i++)
    callers[i].path_breaks += fault->breaks_path;
}

static void
begin_fault (Fault *fault)
{
  fault->kind = draw_kind ();
  fault->breaks_path = false;
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
    begin_path_fault (fault);
  else if (fault->kind == FAULT_SERVER_CRASH)
    fleet_crash_server (fault->server);
  else if (fault->kind == FAULT_SERVER_MODE)
    fault->server->mode = 1 + draw (SERVER_NO_ANSWER);
  else if (fault->kind == FAULT_SERVER_PAUSE)
    {
      fleet->pause_ms = PAUSE_MS_MIN + draw (PAUSE_MS_MAX - PAUSE_MS_MIN + 1);
      fault->server->mode = SERVER_PAUSING;
    }
  else if (fault->kind == FAULT_SERVER_SILENT)
    fault->server->mode = SERVER_SILENT;
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
  else if (fault->kind == FAULT_SERVER_MODE || fault->kind == FAULT_SERVER_PAUSE
           || fault->kind == FAULT_SERVER_SILENT)
    fault->server->mode = soakroll_usual (fault->server);
  else if (fault->kind == FAULT_LEAVING)
    fault->server->leaving = false;
}

static void
note_strike (const Fault *fault)
{
  if (!fault->active || fault->node == NULL)
    return;
  note_disturbed (fault->node);
  if (!fault->node->voter && fault->kind != FAULT_TERM)
    struck[fault->node - fleet->entries] = loop_now (fleet->loop);
}

static void
note_release_strikes (void)
{
  for (unsigned i = 0; i < 3 + fleet->entry_count; i++)
    {
      const FleetNode *node = i < 3 ? &fleet->voters[i] : &fleet->entries[i - 3];
      if (!soakjoin_touches (node))
        continue;
      note_disturbed (node);
      if (!node->voter)
        struck[node - fleet->entries] = loop_now (fleet->loop);
    }
}

static void
step_faults (bool more)
{
  note_release_strikes ();
  for (unsigned i = 0; i < FAULTS_MAX; i++)
    {
      note_strike (&faults[i]);
      if (faults[i].active && faults[i].kind == FAULT_SERVER_PATH)
        soaknote_disturbed (0);
      if (faults[i].active && loop_now (fleet->loop) >= faults[i].until)
        end_fault (&faults[i]);
      else if (!faults[i].active && more && draw (40) == 0)
        {
          begin_fault (&faults[i]);
          note_strike (&faults[i]); /* callers may notice before the next round */
        }
    }
  for (unsigned i = 0; i < 3 + fleet->entry_count; i++)
    {
      FleetNode *node = i < 3 ? &fleet->voters[i] : &fleet->entries[i - 3];
      if (!has_fault (node) && node->pid && fleet_has_exited (node))
        fail ("a process exited unasked", node->name);
    }
}

/* ---- Planned work ---- */

static int64_t
draw_time (unsigned ms_max)
{
  return loop_now (fleet->loop) + g_rand_int_range (plan.source, 0, (gint32) ms_max) * FT_MS;
}

static void
signal_next (void)
{
  unsigned number = plan.hup_next++ % (3 + fleet->entry_count);
  FleetNode *node = number < 3 ? &fleet->voters[number] : &fleet->entries[number - 3];

  if (fleet_handles_signals (node))
    fleet_signal (node, SIGHUP);
  plan.hup_at = draw_time (HUP_MS_MAX);
}

static void
put_catalogue (void)
{
  const FleetNode *voter = &fleet->voters[g_rand_int_range (plan.source, 0, 3)];

  if (voter->pid && !has_fault (voter))
    fleet_try_put_catalogue (fleet, voter);
  plan.catalogue_at = draw_time (CATALOGUE_MS_MAX);
}

static void
stop_next_entry (void)
{
  FleetNode *entry = &fleet->entries[plan.term_next++ % fleet->entry_count];

  if (has_fault (entry) || !fleet_handles_signals (entry))
    return;
  fleet_signal (entry, SIGTERM);
  plan.leaving = entry;
}

static void
step_planned (bool more)
{
  int64_t now = loop_now (fleet->loop);

  if (plan.leaving)
    note_disturbed (plan.leaving);
  if (plan.leaving && restart_after_term (plan.leaving))
    {
      plan.leaving = NULL;
      plan.term_at = draw_time (TERM_MS_MAX);
    }
  if (more && plan.leaving == NULL && now >= plan.term_at)
    stop_next_entry ();
  if (more && now >= plan.hup_at)
    signal_next ();
  if (more && now >= plan.catalogue_at)
    put_catalogue ();
}

static bool
any_open (void)
{
  if (plan.leaving)
    return true;
  for (unsigned i = 0; i < FAULTS_MAX; i++)
    if (faults[i].active)
      return true;
  for (unsigned i = 0; i < caller_count; i++)
    if (callers[i].open)
      return true;
  return soakjoin_is_open ();
}

/* ---- One seed ---- */

static void
calm_down (void)
{
  int64_t until = loop_now (fleet->loop) + CALM_TIMEOUT;

  while (any_open ())
    {
      step_faults (false);
      step_planned (false);
      soakjoin_turn (false);
      soakver_turn ();
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
      soakver_turn ();
      step_callers (true);
      fleet_run_for (fleet, 15 * FT_MS);
    }
  calm_down ();
  soaknote_end ();
}

static bool
is_answered (void *data)
{
  return ((Answer *) data)->done;
}

/* Sends the causes of crashes again while there are no faults. */
static void
send_crash_causes (void)
{
  fleet_run_for (fleet, REPORT_TIME);
  for (unsigned i = 0; i < 16 * CRASH_BODIES; i++)
    {
      char id[24], body[32], parts[64];
      Answer answer;
      g_snprintf (id, sizeof id, "m%u", i);
      sent++;
      set_crash_cause (i / 2 % CRASH_BODIES, body, sizeof body, parts, sizeof parts);
      g_hash_table_insert (entry_of_request, g_strdup (id),
                           GUINT_TO_POINTER (i % fleet->entry_count));
      fleet_send_parts (fleet, &fleet->entries[i % fleet->entry_count], "/once/a", id, parts, body,
                        &answer);
      fleet_run_until (fleet, is_answered, &answer, id);
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
  send_crash_causes ();
  for (unsigned i = 0; i < fleet->entry_count; i++)
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

/* Sets what a seed's number decides. */
static void
configure (unsigned seed)
{
  /* Before the first catalogue: also where doubles round, or that are no signed numbers. */
  static const uint64_t versions[]
      = { 0, (G_GUINT64_CONSTANT (1) << 53) - 4, 20261207000000000u, G_MAXINT64 - 4 };

  bool full_load = seed % 2 == 0;

  fleet->grace_s = GRACE_S;
  fleet->budget_slack = BUDGET_SLACK;
  planned_only = seed % 3 == 0;
  has_notices = !planned_only && (seed < SOAKJOIN_SEED ? seed % 4 != 2 : seed % 4 == 1);
  retry_ms = full_load ? FULL_RETRY_MS : 0;
  caller_count = full_load ? CALLERS_FULL : CALLERS;
  if (full_load)
    {
      fleet->slots = 1 + seed / 2 % 2;
      fleet->event_ms = FULL_EVENT_MS;
      fleet->plain_ms = FULL_PLAIN_MS;
    }
  if (seed % 8 == 5)
    fleet->entry_count = FLEET_ENTRIES_MAX;
  fleet->version = versions[seed / 8 % G_N_ELEMENTS (versions)];
}

static void
run_seed (unsigned seconds, unsigned seed)
{
  generator = g_rand_new_with_seed (seed);
  once = g_array_new (FALSE, FALSE, sizeof (OnceOutcome));
  memset (callers, 0, sizeof callers);
  memset (faults, 0, sizeof faults);
  memset (disturbed, 0, sizeof disturbed);
  memset (struck, 0, sizeof struck);
  plan = (Plan){ .source = g_rand_new_with_seed (seed ^ 0x706c616e) };
  memset (late_runs, 0, sizeof late_runs);
  sound_quarantined = 0;
  events_checked = 0;
  entry_of_request = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sent = answered = refused = unknown = broken = begun = late = early = 0;
  fleet = fleet_new ();
  configure (seed);
  fleet_add_proxies (fleet);
  soakroll_begin (fleet, seed, seed < SOAKJOIN_SEED || seed % 4 == 3);
  soaknote_begin (fleet, seed);
  soakjoin_begin (fleet, seed, is_untouched);
  bool mixed = !soakroll_is_planned () && !soakjoin_is_planned () && seed % 2 == 1;
  soakver_begin (fleet, seed, mixed || (soakjoin_is_planned () && !soakroll_is_planned ()));
  if (mixed)
    soakver_mix ();
  fleet_start_all (fleet);
  int64_t until = loop_now (fleet->loop) + soakjoin_seconds (seconds) * FT_SECOND;
  unsigned round = 0;
  while (loop_now (fleet->loop) < until)
    {
      step_faults (true);
      step_planned (true);
      soakjoin_turn (true);
      note_release_strikes (); /* callers may notice before the next round */
      soakver_turn ();
      step_callers (true);
      check_crash_events ();
      if (draw (10) == 0)
        step_operators ();
      if (has_notices)
        soaknote_turn ();
      soakroll_turn (&fleet->voters[round++ % 3]);
      fleet_run_for (fleet, 15 * FT_MS);
    }
  calm_down ();
  check_notices ();
  check_once ();
  if (early > 0)
    fail ("begun answers ended early", "see above");
  soakroll_end ();
  check_recovery ();
  soakver_end ();
  soakjoin_end ();
  for (unsigned i = 0; i < caller_count; i++)
    soakver_reset (&callers[i].stream);
  printf ("# seed %u: %u sent, %u answered, %u refused, %u unknown, %u broken, %u begun, "
          "%u over time, catalogue %" G_GUINT64_FORMAT ", "
          "%u server crashes, late runs of crash bodies: %u and %u, of crash parts: %u and %u, "
          "sound ones quarantined: %u\n",
          seed, sent, answered, refused, unknown, broken, begun, late, fleet->version,
          fleet->crash_count, late_runs[0], late_runs[1], late_runs[2], late_runs[3],
          sound_quarantined);
  fleet_free (fleet);
  g_hash_table_unref (entry_of_request);
  g_array_unref (once);
  g_rand_free (generator);
  g_rand_free (plan.source);
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
