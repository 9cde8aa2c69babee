/* cutoff.c - tests, with real processes on loopback, of entries that are cut off from all backend
 * servers, while callers, voters and the other entries still reach them. */
#include "fleet.h"

#include <signal.h>
#include <string.h>

#define STREAM_EVENTS 8
#define SETTLE        (3 * FT_SECOND)  /* after a cut, requests need not be served yet */
#define STEP          (40 * FT_MS)     /* between two requests at one entry */
#define START_TIMEOUT (10 * FT_SECOND) /* to become ready */
#define GRACE         (8 * FT_SECOND)  /* the entries' setting grace_s */

typedef enum
{
  KIND_PLAIN,
  KIND_ONCE, /* must not run twice */
  KIND_STREAM,
  KIND_COUNT
} Kind;

static const char *const paths[KIND_COUNT] = { "/plain/a", "/once/a", "/stream/a" };

typedef struct
{
  Answer answer;
  char id[24];
  unsigned entry;
  Kind kind;
  int64_t sent_at, ended_at;
  bool open, served;
} Request;

/* First tries at a steady rate, whatever becomes of those before. */
typedef struct
{
  Fleet *fleet;
  GPtrArray *requests;
  bool used[FLEET_ENTRIES]; /* which entries get requests */
  unsigned burst[FLEET_ENTRIES];
  unsigned steps, open;
  int64_t next_at, until;
} Load;

static Load *
load_new (Fleet *fleet)
{
  Load *load = g_new0 (Load, 1);

  load->fleet = fleet;
  load->requests = g_ptr_array_new_with_free_func (g_free);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    {
      load->used[i] = true;
      load->burst[i] = 1;
    }
  return load;
}

static void
load_free (Load *load)
{
  for (unsigned i = 0; i < load->requests->len; i++)
    fleet_answer_clear (&((Request *) load->requests->pdata[i])->answer);
  g_ptr_array_unref (load->requests);
  g_free (load);
}

static char *
whole_stream (void)
{
  GString *whole = g_string_new (NULL);

  for (unsigned i = 1; i <= STREAM_EVENTS; i++)
    g_string_append_printf (whole, "id: %u\ndata: event %u\n\n", i, i);
  return g_string_free (whole, FALSE);
}

/* An answer that looks complete must be so, and what may run once is neither run twice nor refused
 * after it ran. */
static void
check_answer (const Fleet *fleet, const Request *request)
{
  const Answer *answer = &request->answer;
  unsigned status = answer->status, ran = fleet_run_count (fleet, request->id);
  bool promised = status == 503 || status == 429 || status == 408 || status == 421;
  char *whole = request->kind == KIND_STREAM ? whole_stream () : g_strdup (request->id);

  if (!answer->broken && status == 200 && strcmp (answer->body->str, whole) != 0)
    g_error ("%s at entry %u looks complete: \"%s\" (logs in %s)", request->id, request->entry + 1,
             answer->body->str, fleet->base);
  if (request->kind == KIND_ONCE && ran > 1)
    g_error ("%s at entry %u ran %u times (logs in %s)", request->id, request->entry + 1, ran,
             fleet->base);
  if (request->kind == KIND_ONCE && ran > 0 && !answer->broken && promised)
    g_error ("%s at entry %u ran and was answered %u (logs in %s)", request->id, request->entry + 1,
             status, fleet->base);
  g_free (whole);
}

static void
take_answer (Load *load, Request *request)
{
  check_answer (load->fleet, request);
  request->served = !request->answer.broken && request->answer.status == 200;
  request->ended_at = loop_now (load->fleet->loop);
  request->open = false;
  load->open--;
}

static void
send_request (Load *load, unsigned entry, Kind kind)
{
  Fleet *fleet = load->fleet;
  Request *request = g_new0 (Request, 1);

  request->entry = entry;
  request->kind = kind;
  request->sent_at = loop_now (fleet->loop);
  request->open = true;
  g_snprintf (request->id, sizeof request->id, "c%" G_GUINT64_FORMAT, ++fleet->next_id);
  g_ptr_array_add (load->requests, request);
  load->open++;
  fleet_send (fleet, &fleet->entries[entry], paths[kind], request->id, &request->answer);
}

static void
send_step (Load *load)
{
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    for (unsigned j = 0; load->used[i] && j < load->burst[i]; j++)
      send_request (load, i, (load->steps + i + j) % KIND_COUNT);
  load->steps++;
}

static void
take_answers (Load *load)
{
  for (unsigned i = 0; i < load->requests->len; i++)
    {
      Request *request = load->requests->pdata[i];
      if (request->open && request->answer.done)
        take_answer (load, request);
    }
}

static bool
is_over (void *data)
{
  Load *load = data;
  int64_t now = loop_now (load->fleet->loop);

  take_answers (load);
  if (now >= load->until)
    return true;
  if (now >= load->next_at)
    {
      send_step (load);
      load->next_at = now + STEP;
    }
  return false;
}

/* Sends requests for the given time. */
static void
load_run (Load *load, int64_t us)
{
  load->until = loop_now (load->fleet->loop) + us;
  fleet_run_until (load->fleet, is_over, load, "requests are sent");
}

static bool
is_answered (void *data)
{
  Load *load = data;

  take_answers (load);
  return load->open == 0;
}

static void
load_finish (Load *load)
{
  fleet_run_until (load->fleet, is_answered, load, "all requests are answered");
  fleet_run_for (load->fleet, 500 * FT_MS); /* the logs' buffers are flushed */
}

typedef struct
{
  unsigned sent, served;
} Share;

/* The first tries, sent since a time, at the entries that are cut off, and at the others. */
static Share
count_share (const Load *load, bool cut, int64_t since)
{
  Share share = { 0, 0 };

  for (unsigned i = 0; i < load->requests->len; i++)
    {
      const Request *request = load->requests->pdata[i];
      if (request->sent_at < since
          || (load->fleet->entries[request->entry].cut != PROXY_CUT_NONE) != cut)
        continue;
      share.sent++;
      share.served += request->served;
    }
  return share;
}

static void
print_failed (const Load *load, int64_t since)
{
  for (unsigned i = 0; i < load->requests->len; i++)
    {
      const Request *request = load->requests->pdata[i];
      if (!request->served)
        g_test_message ("%s %s at entry %u, sent at %+d ms: status %u, broken %d, ran %u, %d ms",
                        request->id, paths[request->kind], request->entry + 1,
                        (int) ((request->sent_at - since) / FT_MS), request->answer.status,
                        request->answer.broken, fleet_run_count (load->fleet, request->id),
                        (int) ((request->ended_at - request->sent_at) / FT_MS));
    }
}

/* Checks the requests that were sent since a time. Call it before entries are healed. */
static void
check_served (const Load *load, int64_t since)
{
  Share cut = count_share (load, true, since), others = count_share (load, false, since);
  unsigned failed = cut.sent - cut.served + others.sent - others.served;

  g_test_message ("cut off: %u of %u served, others: %u of %u (logs in %s)", cut.served, cut.sent,
                  others.served, others.sent, load->fleet->base);
  print_failed (load, since);
  if (failed > 10 + (cut.sent + others.sent) / 50
      || (uint64_t) cut.served * others.sent * 3 < (uint64_t) others.served * cut.sent * 2)
    g_error ("cut off: %u of %u served, others: %u of %u (logs in %s)", cut.served, cut.sent,
             others.served, others.sent, load->fleet->base);
}

static unsigned
count_lines (const FleetNode *node, const char *event, const char *what)
{
  char *log = fleet_read_log (node);
  char **lines = g_strsplit (log, "\n", -1);
  char *field = g_strdup_printf ("\"event\":\"%s\"", event);
  unsigned count = 0;

  for (unsigned i = 0; lines[i]; i++)
    count += strstr (lines[i], field) && strstr (lines[i], what);
  g_strfreev (lines);
  g_free (field);
  g_free (log);
  return count;
}

static void
check_no_server_out (const Fleet *fleet)
{
  for (unsigned i = 0; i < FLEET_VOTERS; i++)
    {
      unsigned count = count_lines (&fleet->voters[i], "server-out", "cannot connect");
      if (count > 0)
        g_error ("%s took a server out %u times (logs in %s)", fleet->voters[i].name, count,
                 fleet->base);
    }
}

static Fleet *
new_fleet (void)
{
  Fleet *fleet = fleet_new ();

  fleet->plain_ms = 20;
  fleet_add_proxies (fleet);
  fleet_start_all (fleet);
  return fleet;
}

/* Cuts the first entries off under load, and checks what callers get. */
static void
run_cut (ProxyCut how, unsigned count)
{
  Fleet *fleet = new_fleet ();
  Load *load = load_new (fleet);

  load_run (load, FT_SECOND);
  int64_t cut_at = loop_now (fleet->loop);
  for (unsigned i = 0; i < count; i++)
    fleet_cut_from_servers (fleet, &fleet->entries[i], how);
  load_run (load, 6 * FT_SECOND);
  load_finish (load);
  check_served (load, cut_at + SETTLE);
  check_no_server_out (fleet);
  load_free (load);
  fleet_free (fleet);
}

/* Guards against an entry that refuses while others reach the servers, and that has these taken out
 * for all: all its packets to the servers are lost. */
static void
silent (void)
{
  run_cut (PROXY_CUT_SILENT, 1);
}

/* The same where its connections are reset, and new ones hang. */
static void
reset (void)
{
  run_cut (PROXY_CUT_RESET, 1);
}

/* The same where new connections are established and then reset. */
static void
reset_accepted (void)
{
  run_cut (PROXY_CUT_RESET_ACCEPT, 1);
}

/* The same where its connects are refused. */
static void
refused (void)
{
  run_cut (PROXY_CUT_REFUSE, 1);
}

/* Guards against entries that find no one to help them: most are cut off, and the voter in charge
 * dies at the same time. */
static void
most_beside_takeover (void)
{
  Fleet *fleet = new_fleet ();
  Load *load = load_new (fleet);

  load_run (load, FT_SECOND);
  FleetNode *leader = fleet_leader (fleet);
  int64_t cut_at = loop_now (fleet->loop);
  fleet_cut_from_servers (fleet, &fleet->entries[0], PROXY_CUT_RESET);
  fleet_cut_from_servers (fleet, &fleet->entries[1], PROXY_CUT_RESET);
  fleet_kill (leader);
  load_run (load, 7 * FT_SECOND);
  load_finish (load);
  check_served (load, cut_at + SETTLE);
  check_no_server_out (fleet);
  load_free (load);
  fleet_free (fleet);
}

/* Guards against taking answers on open connections for a path that is sound: only new connections
 * fail, and more are needed than are open. */
static void
new_only (void)
{
  Fleet *fleet = new_fleet ();
  Load *load = load_new (fleet);

  load_run (load, FT_SECOND);
  int64_t cut_at = loop_now (fleet->loop);
  fleet_cut_from_servers (fleet, &fleet->entries[0], PROXY_CUT_NEW);
  load->burst[0] = 3;
  load_run (load, 6 * FT_SECOND);
  load_finish (load);
  check_served (load, cut_at + SETTLE);
  check_no_server_out (fleet);
  load_free (load);
  fleet_free (fleet);
}

/* Guards against an entry that stays with its helpers, or refuses, when its path is back. */
static void
heals (void)
{
  Fleet *fleet = new_fleet ();
  Load *load = load_new (fleet);

  load_run (load, FT_SECOND);
  int64_t cut_at = loop_now (fleet->loop);
  fleet_cut_from_servers (fleet, &fleet->entries[0], PROXY_CUT_SILENT);
  load_run (load, 5 * FT_SECOND);
  fleet_heal (fleet, &fleet->entries[0]);
  load_run (load, 3 * FT_SECOND);
  load_finish (load);
  print_failed (load, cut_at);
  for (unsigned i = 0; i < load->requests->len; i++)
    {
      const Request *request = load->requests->pdata[i];
      if (request->sent_at >= cut_at + SETTLE && !request->served)
        g_error ("%s at entry %u: status %u, broken %d (logs in %s)", request->id,
                 request->entry + 1, request->answer.status, request->answer.broken, fleet->base);
    }
  g_assert_cmpuint (count_lines (&fleet->entries[0], "path-lost", ""), ==, 1);
  g_assert_cmpuint (count_lines (&fleet->entries[0], "path-back", ""), ==, 1);
  check_no_server_out (fleet);
  load_free (load);
  fleet_free (fleet);
}

typedef struct
{
  Fleet *fleet;
  FleetNode *node;
  int64_t until;
  bool exited;
} ExitWait;

static bool
has_exited_or_late (void *data)
{
  ExitWait *wait = data;

  wait->exited = fleet_has_exited (wait->node);
  return wait->exited || loop_now (wait->fleet->loop) > wait->until;
}

/* An entry that is cut off has streams and other requests open, and all that may carry them but one
 * end. */
static void
run_helper_ends (int number)
{
  Fleet *fleet = new_fleet ();
  Load *load = load_new (fleet);
  FleetNode *helper = &fleet->entries[1];

  fleet->event_ms = 300;
  fleet->plain_ms = 600;
  fleet->slots = 8;
  fleet_cut_from_servers (fleet, &fleet->entries[0], PROXY_CUT_RESET);
  load->used[1] = load->used[2] = false;
  load_run (load, SETTLE);
  load_finish (load);
  int64_t since = loop_now (fleet->loop);
  for (unsigned i = 0; i < 18; i++)
    {
      send_request (load, 0, i % KIND_COUNT);
      fleet_run_for (fleet, 30 * FT_MS);
    }
  if (number == SIGKILL)
    fleet_kill (helper);
  else
    fleet_signal (helper, number);
  ExitWait wait = { fleet, helper, loop_now (fleet->loop) + GRACE + FT_SECOND, false };
  for (unsigned i = 0; i < 18; i++)
    {
      send_request (load, 0, i % KIND_COUNT);
      fleet_run_for (fleet, 30 * FT_MS);
    }
  load_finish (load);
  print_failed (load, since);
  for (unsigned i = 0; i < load->requests->len; i++)
    {
      /* Only a request that may run once can fail, and only if its helper is killed. */
      const Request *request = load->requests->pdata[i];
      if (request->sent_at >= since && !request->served
          && (request->kind != KIND_ONCE || number != SIGKILL || request->answer.status != 502))
        g_error ("%s %s: status %u, broken %d, \"%s\" (logs in %s)", request->id,
                 paths[request->kind], request->answer.status, request->answer.broken,
                 request->answer.body->str, fleet->base);
    }
  fleet_run_until (fleet, has_exited_or_late, &wait, "the helper exits");
  g_assert_true (wait.exited);
  load_free (load);
  fleet_free (fleet);
}

/* Guards against answers that are lost because the entry that relays them leaves. */
static void
helper_leaves (void)
{
  run_helper_ends (SIGTERM);
}

/* Guards against truncated answers that look complete, and a false "not run", because the entry
 * that relays them dies. */
static void
helper_dies (void)
{
  run_helper_ends (SIGKILL);
}

/* Guards against an entry that needs a path of its own to start with: it starts while cut off. */
static void
starts_cut_off (void)
{
  Fleet *fleet = new_fleet ();
  Load *load = load_new (fleet);
  FleetNode *entry = &fleet->entries[0];

  fleet_kill (entry);
  load->used[0] = false;
  load_run (load, FT_SECOND);
  fleet_cut_from_servers (fleet, entry, PROXY_CUT_SILENT);
  fleet_start (fleet, entry, false);
  int64_t until = loop_now (fleet->loop) + START_TIMEOUT;
  while (!fleet_is_ready (fleet, entry))
    {
      if (loop_now (fleet->loop) > until)
        g_error ("%s is not ready (logs in %s)", entry->name, fleet->base);
      load_run (load, 50 * FT_MS);
    }
  int64_t ready_at = loop_now (fleet->loop);
  load->used[0] = true;
  load_run (load, 6 * FT_SECOND);
  load_finish (load);
  check_served (load, ready_at + SETTLE);
  check_no_server_out (fleet);
  load_free (load);
  fleet_free (fleet);
}

/* Guards against taking the loss of an entry's own path for the end of servers, and the content of
 * what ran there for the reason. */
static void
run_no_crash_report (ProxyCut how)
{
  Fleet *fleet = new_fleet ();
  Load *load = load_new (fleet);

  fleet->plain_ms = 150;
  load_run (load, FT_SECOND);
  fleet_cut_from_servers (fleet, &fleet->entries[0], how);
  load_run (load, 3 * FT_SECOND);
  fleet_heal (fleet, &fleet->entries[0]);
  load_run (load, FT_SECOND);
  load_finish (load);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    {
      unsigned count = count_lines (&fleet->entries[i], "server-ended", "");
      if (count > 0)
        g_error ("%s reported %u servers that live (logs in %s)", fleet->entries[i].name, count,
                 fleet->base);
    }
  g_assert_cmpuint (fleet->crash_count, ==, 0);
  load_free (load);
  fleet_free (fleet);
}

static void
no_crash_report_hang (void)
{
  run_no_crash_report (PROXY_CUT_RESET);
}

/* The same where new connections are reset at once. */
static void
no_crash_report_reset (void)
{
  run_no_crash_report (PROXY_CUT_RESET_ACCEPT);
}

/* The same where its connects are refused, as those to a server that ended are. */
static void
no_crash_report_refused (void)
{
  run_no_crash_report (PROXY_CUT_REFUSE);
}

#define CRASH_BODY  FLEET_CRASH_PREFIX " 1"
#define ATTEMPTS    24 /* far more than the crashes that the body may cause */
#define CRASHES_MAX 6  /* three until it is quarantined, and three more ever */

/* Servers that the entry has not found to have ended. */
static unsigned
count_not_ended (const FleetNode *entry)
{
  return count_lines (entry, "server-lives", "") + count_lines (entry, "server-undecided", "");
}

/* Guards against a content that ends servers without a limit, since the entry that it comes to
 * cannot see that they ended: it is cut off. */
static void
run_crash_body (ProxyCut how)
{
  Fleet *fleet = new_fleet ();
  Load *load = load_new (fleet);
  Answer answer;

  fleet_cut_from_servers (fleet, &fleet->entries[0], how);
  load_run (load, SETTLE);
  load_finish (load);
  unsigned lives = count_not_ended (&fleet->entries[0]);
  for (unsigned i = 0; i < ATTEMPTS; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "crash%u", i);
      fleet_call_body (fleet, &fleet->entries[0], "/once/a", id, CRASH_BODY, &answer);
      g_test_message ("%s: status %u, broken %d, %s", id, answer.status, answer.broken,
                      answer.body->str);
      fleet_answer_clear (&answer);
      fleet_run_for (fleet, 150 * FT_MS);
    }
  fleet_run_for (fleet, 500 * FT_MS);
  g_test_message ("%u runs of the crash body (logs in %s)",
                  fleet_crash_run_count (fleet, CRASH_BODY), fleet->base);
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_BODY), >=, 1);
  g_assert_cmpuint (fleet_crash_run_count (fleet, CRASH_BODY), <=, CRASHES_MAX);
  /* All servers that are checked from here on have ended. */
  g_assert_cmpuint (count_not_ended (&fleet->entries[0]), ==, lives);
  load_free (load);
  fleet_free (fleet);
}

static void
crash_body_silent (void)
{
  run_crash_body (PROXY_CUT_SILENT);
}

/* The same where the connects of the entry are refused. */
static void
crash_body_refused (void)
{
  run_crash_body (PROXY_CUT_REFUSE);
}

typedef struct
{
  const Fleet *fleet;
  int64_t until;
} WorkWait;

static bool
no_stream_runs_or_late (void *data)
{
  const WorkWait *wait = data;
  unsigned count = 0;

  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    count += wait->fleet->servers[i].streams->len;
  return count == 0 || loop_now (wait->fleet->loop) > wait->until;
}

/* Guards against servers that go on with streams whose callers have left: the entry that serves
 * these is cut off. */
static void
callers_leave (void)
{
  Fleet *fleet = new_fleet ();
  Load *load = load_new (fleet);
  Answer answers[8];
  unsigned running = 0, begun = 0;

  fleet_cut_from_servers (fleet, &fleet->entries[0], PROXY_CUT_SILENT);
  load_run (load, SETTLE);
  load_finish (load);
  fleet->event_ms = 1000; /* far longer than the wait below */
  for (unsigned i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "leave%u", i);
      fleet_send (fleet, &fleet->entries[0], "/stream/a", id, &answers[i]);
    }
  fleet_run_for (fleet, FT_SECOND);
  for (unsigned i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      begun += answers[i].status == 200;
      if (!answers[i].done)
        hxfer_cancel (answers[i].xfer);
      fleet_answer_clear (&answers[i]);
    }
  WorkWait wait = { fleet, loop_now (fleet->loop) + 2 * FT_SECOND };
  fleet_run_until (fleet, no_stream_runs_or_late, &wait, "streams end");
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    running += fleet->servers[i].streams->len;
  if (begun < G_N_ELEMENTS (answers) || running > 0)
    g_error ("%u streams began, %u still run (logs in %s)", begun, running, fleet->base);
  load_free (load);
  fleet_free (fleet);
}

/* Guards against an entry that takes its path for sound again and again since it reaches one of
 * the servers: it is cut off from all the others. */
static void
one_server_left (void)
{
  Fleet *fleet = new_fleet ();
  Load *load = load_new (fleet);

  load_run (load, FT_SECOND);
  int64_t cut_at = loop_now (fleet->loop);
  for (unsigned i = 1; i < FLEET_SERVERS; i++)
    proxy_cut (fleet->servers[i].proxy, fleet->entries[0].ip, PROXY_CUT_RESET);
  fleet->entries[0].cut = PROXY_CUT_RESET; /* counts as cut off */
  load_run (load, 6 * FT_SECOND);
  load_finish (load);
  check_served (load, cut_at + SETTLE);
  check_no_server_out (fleet);
  load_free (load);
  fleet_free (fleet);
}

/* Guards against an entry that depends on one helper: those that help it are cut off in turn. */
static void
one_after_another (void)
{
  Fleet *fleet = new_fleet ();
  Load *load = load_new (fleet);

  load_run (load, FT_SECOND);
  fleet_cut_from_servers (fleet, &fleet->entries[0], PROXY_CUT_SILENT);
  load_run (load, 3 * FT_SECOND);
  int64_t cut_at = loop_now (fleet->loop);
  fleet_cut_from_servers (fleet, &fleet->entries[1], PROXY_CUT_SILENT);
  load_run (load, 6 * FT_SECOND);
  load_finish (load);
  check_served (load, cut_at + SETTLE);
  check_no_server_out (fleet);
  load_free (load);
  fleet_free (fleet);
}

/* Guards against an entry that is late each time: its path is lost and back again and again. */
static void
flaps (void)
{
  Fleet *fleet = new_fleet ();
  Load *load = load_new (fleet);

  load_run (load, FT_SECOND);
  int64_t cut_at = loop_now (fleet->loop);
  for (unsigned i = 0; i < 8; i++)
    {
      fleet_cut_from_servers (fleet, &fleet->entries[0], PROXY_CUT_RESET);
      load_run (load, 700 * FT_MS);
      fleet_heal (fleet, &fleet->entries[0]);
      load_run (load, 700 * FT_MS);
    }
  fleet->entries[0].cut = PROXY_CUT_RESET; /* counts as cut off */
  load_finish (load);
  check_served (load, cut_at + SETTLE);
  check_no_server_out (fleet);
  load_free (load);
  fleet_free (fleet);
}

/* Guards against entries that do not recover: all were cut off at the same time. */
static void
all_cut_off (void)
{
  Fleet *fleet = new_fleet ();
  Load *load = load_new (fleet);

  load_run (load, FT_SECOND);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    fleet_cut_from_servers (fleet, &fleet->entries[i], PROXY_CUT_SILENT);
  load_run (load, 4 * FT_SECOND);
  for (unsigned i = 0; i < FLEET_ENTRIES; i++)
    fleet_heal (fleet, &fleet->entries[i]);
  int64_t healed_at = loop_now (fleet->loop);
  load_run (load, 5 * FT_SECOND);
  load_finish (load);
  check_served (load, healed_at + SETTLE);
  load_free (load);
  fleet_free (fleet);
}

/* Guards against taking the loss of most servers for the loss of an entry's path, at all entries:
 * three of four servers lose power. They have to be taken out. */
static void
most_servers_lost (void)
{
  Fleet *fleet = fleet_new ();

  fleet->slots = 16;
  fleet->plain_ms = 20;
  fleet_add_proxies (fleet);
  fleet_start_all (fleet);
  Load *load = load_new (fleet);
  load_run (load, FT_SECOND);
  int64_t lost_at = loop_now (fleet->loop);
  for (unsigned i = 1; i < FLEET_SERVERS; i++)
    for (unsigned j = 0; j < FLEET_ENTRIES; j++)
      proxy_cut (fleet->servers[i].proxy, fleet->entries[j].ip, PROXY_CUT_SILENT);
  load_run (load, 7 * FT_SECOND);
  load_finish (load);
  check_served (load, lost_at + SETTLE);
  load_free (load);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cutoff/silent", silent);
  g_test_add_func ("/cutoff/reset", reset);
  g_test_add_func ("/cutoff/reset_accepted", reset_accepted);
  g_test_add_func ("/cutoff/refused", refused);
  g_test_add_func ("/cutoff/most_beside_takeover", most_beside_takeover);
  g_test_add_func ("/cutoff/new_only", new_only);
  g_test_add_func ("/cutoff/heals", heals);
  g_test_add_func ("/cutoff/helper_leaves", helper_leaves);
  g_test_add_func ("/cutoff/helper_dies", helper_dies);
  g_test_add_func ("/cutoff/starts_cut_off", starts_cut_off);
  g_test_add_func ("/cutoff/no_crash_report_hang", no_crash_report_hang);
  g_test_add_func ("/cutoff/no_crash_report_reset", no_crash_report_reset);
  g_test_add_func ("/cutoff/no_crash_report_refused", no_crash_report_refused);
  g_test_add_func ("/cutoff/crash_body_silent", crash_body_silent);
  g_test_add_func ("/cutoff/crash_body_refused", crash_body_refused);
  g_test_add_func ("/cutoff/callers_leave", callers_leave);
  g_test_add_func ("/cutoff/one_server_left", one_server_left);
  g_test_add_func ("/cutoff/one_after_another", one_after_another);
  g_test_add_func ("/cutoff/flaps", flaps);
  g_test_add_func ("/cutoff/all_cut_off", all_cut_off);
  g_test_add_func ("/cutoff/most_servers_lost", most_servers_lost);
  return g_test_run ();
}
