/* soak.c - a randomized soak of real processes: faults from outside, several at once, and the
 * promises checked from what callers, operators and backend servers see.
 *
 *     test-soak SECONDS SEED...
 *
 * The seed draws the faults and the load; what happens when depends on the machine too, so a seed
 * that failed once is run again many times, and its logs are kept (their folder is printed). Seeds
 * that ever failed stand in test/soak-seeds.txt with a line on the cause.
 *
 * Some requests are marked: a server that begins to run one ends. By what servers saw, a marked
 * body reaches servers no more than FURTHER_MOST times later than IN_TOUCH after the third end
 * under it, as far as the entry that sent it and all voters were undisturbed for that long.
 */
#include "soaknote.h"
#include "soakroll.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define CALLERS       6
#define FAULTS_MOST   3
#define MARKED_ONE_IN 12 /* requests */
#define KILLERS       2  /* marked bodies */
#define ENDS_KNOWN    3  /* servers that a marked body may end until it is known */
#define FURTHER_MOST  3  /* and how often it may reach one in its life after that */
#define IN_TOUCH      (3 * FT_SECOND)
#define CALM          (25 * FT_SECOND) /* all promises that need calm hold by then */
#define NOTICES       (9 * FT_SECOND)  /* a rate binds after 3 s, and is judged over 4 s */
#define STREAM_END    "id: 8\ndata: event 8\n\n"

typedef struct
{
  Answer answer;
  char id[24];
  unsigned kind; /* 0 plain, 1 once, 2 stream, 3 once and marked */
  bool open;
} Caller;

typedef struct
{
  char id[24];
  unsigned status;
  bool broken;
} Once; /* the outcome of a request that may run once */

typedef enum
{
  FAULT_KILL,
  FAULT_PAUSE,
  FAULT_TERM,
  FAULT_LINK,
  FAULT_SERVER_PATH,
  FAULT_SERVER_MODE,
  FAULT_LEAVING,
  FAULT_SERVER_END,
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
static Caller callers[CALLERS];
static GArray *once; /* Once */
static Fault faults[FAULTS_MOST];
static int64_t
    disturbed[3 + FLEET_ENTRIES]; /* voters, then entries: when a fault last touched it */
static unsigned further[KILLERS];
static unsigned checked;    /* marks looked at */
static GHashTable *sent_by; /* request id: number of its entry */
static GRand *rand_source;
static unsigned sent, answered, refused, unknown, broken;

static unsigned
draw (unsigned most)
{
  return (unsigned) g_rand_int_range (rand_source, 0, (gint32) most);
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
      if (!answer->signature)
        fail ("a success that no server signed", caller->id);
      if (caller->kind < 2 && strcmp (answer->body->str, caller->id) != 0)
        fail ("another request's answer", caller->id);
      if (caller->kind == 2 && !g_str_has_suffix (answer->body->str, STREAM_END))
        fail ("a stream that looks complete and is not", caller->id);
    }
  else if (answer->broken)
    broken++;
  else if (answer->status == 503 || answer->status == 429)
    refused++;
  else
    unknown++;
  if (answer->status == 404 || answer->status == 401)
    fail ("refused though its route and key are there", caller->id);
}

/* Whatever part of a stream came: its events are whole, in order and none twice. */
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
        fail ("events missing, doubled or out of order", caller->id);
      at = strstr (at, "\n\n");
      if (at == NULL)
        return;
      at += 2;
    }
}

static void
finish (Caller *caller)
{
  check_answer (caller);
  check_stream (caller);
  if (caller->kind == 1 || caller->kind == 3)
    {
      Once outcome = { .status = caller->answer.status, .broken = caller->answer.broken };
      g_strlcpy (outcome.id, caller->id, sizeof outcome.id);
      g_array_append_val (once, outcome);
    }
  fleet_answer_clear (&caller->answer);
  caller->open = false;
}

static void
start (Caller *caller)
{
  static const char *const paths[] = { "/plain/a", "/once/a", "/stream/a", "/once/a" };
  unsigned number = draw (FLEET_ENTRIES);
  FleetNode *entry = &fleet->entries[number];
  char body[32];

  if (entry->pid == 0)
    return;
  caller->kind = draw (MARKED_ONE_IN) == 0 ? 3 : draw (3);
  g_snprintf (caller->id, sizeof caller->id, "r%u", ++sent);
  g_snprintf (body, sizeof body, caller->kind == 3 ? FLEET_MARK " %u" : "body", draw (KILLERS));
  g_hash_table_insert (sent_by, g_strdup (caller->id), GUINT_TO_POINTER (number));
  fleet_send_body (fleet, entry, paths[caller->kind], caller->id, body, &caller->answer);
  caller->open = true;
}

static void
turn_callers (bool more)
{
  for (unsigned i = 0; i < CALLERS; i++)
    {
      Caller *caller = &callers[i];
      if (caller->open && caller->answer.done)
        finish (caller);
      if (!caller->open && more)
        start (caller);
    }
}

/* "Not run" is true also for what ran later; nothing that may run once ran twice. */
static void
check_once (void)
{
  for (unsigned i = 0; i < once->len; i++)
    {
      const Once *outcome = &g_array_index (once, Once, i);
      unsigned runs = fleet_runs (fleet, outcome->id);
      bool said_not = !outcome->broken && (outcome->status == 503 || outcome->status == 429);
      if (runs > 1)
        fail ("ran twice", outcome->id);
      if (said_not && runs > 0)
        fail ("said not to have run, and ran", outcome->id);
    }
}

/* ---- What ends servers ---- */

static bool
in_touch (unsigned entry, int64_t at)
{
  for (unsigned i = 0; i < 3; i++)
    if (at - disturbed[i] < IN_TOUCH)
      return false;
  return at - disturbed[3 + entry] >= IN_TOUCH;
}

/* When the third server ended under the body; 0: not yet. */
static int64_t
third_end (const char *body)
{
  unsigned count = 0;

  for (unsigned i = 0; i < fleet->marks->len; i++)
    {
      const FleetMarked *mark = &g_array_index (fleet->marks, FleetMarked, i);
      if (mark->ended && strcmp (mark->body, body) == 0 && ++count == ENDS_KNOWN)
        return mark->at;
    }
  return 0;
}

static void
check_marks (void)
{
  for (; checked < fleet->marks->len; checked++)
    {
      const FleetMarked *mark = &g_array_index (fleet->marks, FleetMarked, checked);
      unsigned killer = (unsigned) atoi (mark->body + strlen (FLEET_MARK));
      unsigned entry = GPOINTER_TO_UINT (g_hash_table_lookup (sent_by, mark->request));
      int64_t third = third_end (mark->body);
      if (mark->ended || third == 0 || mark->at - third < IN_TOUCH || !in_touch (entry, mark->at))
        continue;
      if (++further[killer] > FURTHER_MOST)
        fail ("sent on although servers ended under it", mark->request);
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
turn_operators (void)
{
  FleetNode *voter = any_voter ();
  uint64_t acknowledged = fleet->version;

  if (voter == NULL)
    return;
  if (draw (2))
    {
      fleet_try_put (fleet, voter);
      return;
    }
  uint64_t shown = fleet_try_get (fleet, voter);
  if (shown && shown < acknowledged)
    fail ("an older catalogue was shown than the one acknowledged", voter->name);
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
is_hit (const FleetNode *node)
{
  for (unsigned i = 0; i < FAULTS_MOST; i++)
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
  if (fault->kind <= FAULT_LINK && (is_hit (node) || node->pid == 0))
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
    proxy_mode (node->proxy, 1 + draw (PROXY_MODES - 1));
  else if (fault->kind == FAULT_SERVER_PATH && fault->server->proxy)
    proxy_mode (fault->server->proxy, 1 + draw (PROXY_MODES - 1));
  else if (fault->kind == FAULT_SERVER_END)
    fleet_end_server (fault->server);
  else if (fault->kind == FAULT_SERVER_MODE)
    fault->server->mode = 1 + draw (SERVER_MUTE);
  else if (fault->kind == FAULT_LEAVING)
    fault->server->leaving = true;
}

/* A process that was asked to end is waited for and started again; false: it still runs. */
static bool
back_after_term (FleetNode *node)
{
  if (!fleet_ended (node))
    return false;
  if (node->status != 0)
    fail ("it was asked to end, and crashed", node->name);
  fleet_start (fleet, node, false);
  return true;
}

static void
end_fault (Fault *fault)
{
  if (fault->kind == FAULT_TERM && !back_after_term (fault->node))
    return;
  fault->active = false;
  if (fault->kind == FAULT_KILL)
    fleet_start (fleet, fault->node, false);
  else if (fault->kind == FAULT_PAUSE)
    fleet_signal (fault->node, SIGCONT);
  else if (fault->kind == FAULT_LINK)
    proxy_mode (fault->node->proxy, PROXY_PASS);
  else if (fault->kind == FAULT_SERVER_PATH && fault->server->proxy)
    proxy_mode (fault->server->proxy, PROXY_PASS);
  else if (fault->kind == FAULT_SERVER_MODE)
    fault->server->mode = soakroll_usual (fault->server);
  else if (fault->kind == FAULT_LEAVING)
    fault->server->leaving = false;
}

static void
turn_faults (bool more)
{
  for (unsigned i = 0; i < FAULTS_MOST; i++)
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
      if (!is_hit (node) && node->pid && fleet_ended (node))
        fail ("a process ended by itself", node->name);
    }
}

static bool
any_left (void)
{
  for (unsigned i = 0; i < FAULTS_MOST; i++)
    if (faults[i].active)
      return true;
  for (unsigned i = 0; i < CALLERS; i++)
    if (callers[i].open)
      return true;
  return false;
}

/* ---- One seed ---- */

static void
calm_down (void)
{
  int64_t until = loop_now (fleet->loop) + CALM;

  while (any_left ())
    {
      turn_faults (false);
      turn_callers (false);
      fleet_run_for (fleet, 20 * FT_MS);
      if (loop_now (fleet->loop) > until)
        fail ("no end to what was open", "faults or requests");
    }
}

/* What servers say holds to the full where nothing else happens. */
static void
last_notices (void)
{
  int64_t until = loop_now (fleet->loop) + NOTICES;

  soaknote_last ();
  while (loop_now (fleet->loop) < until)
    {
      turn_callers (true);
      fleet_run_for (fleet, 15 * FT_MS);
    }
  calm_down ();
  soaknote_end ();
}

/* The marked bodies come on while nothing else happens. */
static void
come_after_calm (void)
{
  fleet_run_for (fleet, IN_TOUCH);
  for (unsigned i = 0; i < 8 * KILLERS; i++)
    {
      char id[24], body[32];
      Answer answer;
      g_snprintf (id, sizeof id, "m%u", i);
      g_snprintf (body, sizeof body, FLEET_MARK " %u", i % KILLERS);
      g_hash_table_insert (sent_by, g_strdup (id), GUINT_TO_POINTER (i % FLEET_ENTRIES));
      fleet_call_body (fleet, &fleet->entries[i % FLEET_ENTRIES], "/once/a", id, body, &answer);
      fleet_answer_clear (&answer);
      fleet_run_for (fleet, 100 * FT_MS);
      check_marks ();
    }
}

/* After the faults everything serves again and shows what was acknowledged. */
static void
check_recovery (void)
{
  if (fleet_get (fleet) < fleet->version)
    fail ("what was acknowledged is gone", "catalogue");
  fleet_put (fleet);
  come_after_calm ();
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
        fail ("does not serve again", fleet->entries[i].name);
    }
}

static void
soak (unsigned seconds, unsigned seed)
{
  rand_source = g_rand_new_with_seed (seed);
  once = g_array_new (FALSE, FALSE, sizeof (Once));
  memset (callers, 0, sizeof callers);
  memset (faults, 0, sizeof faults);
  memset (disturbed, 0, sizeof disturbed);
  memset (further, 0, sizeof further);
  checked = 0;
  sent_by = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sent = answered = refused = unknown = broken = 0;
  fleet = fleet_new ();
  fleet_proxies (fleet);
  soakroll_begin (fleet, seed);
  soaknote_begin (fleet, seed);
  fleet_begin (fleet);
  int64_t until = loop_now (fleet->loop) + seconds * FT_SECOND;
  unsigned turn = 0;
  while (loop_now (fleet->loop) < until)
    {
      turn_faults (true);
      turn_callers (true);
      check_marks ();
      if (draw (10) == 0)
        turn_operators ();
      soaknote_turn ();
      soakroll_turn (&fleet->voters[turn++ % 3]);
      fleet_run_for (fleet, 15 * FT_MS);
    }
  calm_down ();
  last_notices ();
  check_once ();
  soakroll_end ();
  check_recovery ();
  printf ("# seed %u: %u sent, %u answered, %u refused, %u unknown, %u broken, catalogue %u, "
          "%u servers ended, marked bodies sent on %u and %u times\n",
          seed, sent, answered, refused, unknown, broken, (unsigned) fleet->version, fleet->ends,
          further[0], further[1]);
  fleet_free (fleet);
  g_hash_table_unref (sent_by);
  g_array_unref (once);
  g_rand_free (rand_source);
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
      soak (seconds, seed);
      printf ("ok %d - seed %u keeps the promises\n", i - 1, seed);
    }
  return 0;
}
