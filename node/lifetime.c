/* lifetime.c - see lifetime.h.
 *
 * An address shows nothing of the run of the server that had it: its successor accepts connections
 * there too, and so does the backlog of a process that is being torn down. Only an answer of that
 * run itself, to a question asked after the event in doubt, proves that it goes on. A status check
 * is such a question: it names the server that is meant, which another one rejects, and the answer
 * names the server that gave it. So is a request that was sent to it later and that it has run.
 *
 * No answer proves nothing, however long it takes: a status check waits for a slot as any request
 * does. Nor does a reset, which a server gives to connections beyond its limit, or a rejection that
 * names nobody, which a successor might give as well. The server is asked again then, after pauses
 * that grow, for as long as somebody waits for the result.
 *
 * An attempt serves all that ask before it is sent. It stays open, since a new one would queue
 * behind the requests that have come meanwhile. Further ones are sent beside it for those that have
 * asked later, and the other way in case its connection has fallen silent. Each takes a slot, so
 * they are few, and the time between them grows.
 *
 * A server without a status check is believed once a list that was read after the event names it
 * and its address accepts a connection.
 */
#include "lifetime.h"
#include "count.h"
#include "jlog.h"

#include <errno.h>
#include <string.h>

#define CONNECT_TIMEOUT (250 * FT_MS)
/* After an attempt without a result; doubled with each. */
#define PAUSE_MIN (100 * FT_MS)
#define PAUSE_MAX (800 * FT_MS)
/* From an attempt that is open to the next, for those that have asked later, or if there are none;
 * doubled with each. */
#define NEXT_AFTER      (500 * FT_MS)
#define OTHER_WAY_AFTER (1500 * FT_MS)
#define ATTEMPTS_OPEN   3
#define SWEEP_INTERVAL  (1 * FT_SECOND) /* at least so often it is looked whether anybody waits */
#define LIST_PAUSE      (50 * FT_MS)    /* between two looks at the list */
/* How long a connection may have been idle that the first attempt uses, or a later one, as new
 * connections may be refused. */
#define IDLE_MAX       (300 * FT_MS)
#define IDLE_MAX_LATER (8 * FT_SECOND)

typedef struct Check Check;

/* A status check that was sent. */
typedef struct
{
  Check *check;
  HXfer *xfer;    /* NULL: it has ended, or was never sent */
  SockAddr relay; /* port 0: none */
  int64_t sent_at;
  uint64_t turn;        /* it serves those that asked in an earlier one */
  const char *evidence; /* in its answer; NULL: none so far */
  LifetimeState state;  /* valid with evidence */
} Attempt;

struct Check
{
  LoopTimer timer;
  Lifetimes *lifetimes;
  char *server, *name, *path;
  SockAddr addr;
  Attempt attempts[ATTEMPTS_OPEN];
  SockAddr relay; /* of the last attempt or probe */
  unsigned sent;
  int64_t started_at, pause, not_before;
  bool refused;               /* the next attempt goes through relay, to confirm it */
  int64_t accepted_at;        /* start of the last probe that connected; 0: none has */
  int64_t probed_at;          /* start of the last probe */
  bool probing, dropped;      /* dropped: freed once the pending probe has ended */
  struct cds_list_head waits; /* LifetimeWait */
};

struct Lifetimes
{
  Loop *loop;
  HCli *cli;
  Egress *egress;
  const AdapterOps *adapter_ops;
  const Servers *servers;
  GHashTable *checks; /* server -> Check */
  uint64_t turn;      /* incremented with each question and each attempt */
};

static void
check_free (Check *check)
{
  g_free (check->server);
  g_free (check->name);
  g_free (check->path);
  g_free (check);
}

static void
cancel_attempt (Attempt *attempt)
{
  if (attempt->xfer)
    hxfer_cancel (attempt->xfer);
  attempt->xfer = NULL;
  attempt->evidence = NULL;
}

static void
drop_check (void *data)
{
  Check *check = data;

  loop_timer_stop (check->lifetimes->loop, &check->timer);
  while (!cds_list_empty (&check->waits))
    cds_list_del_init (check->waits.next);
  for (unsigned i = 0; i < ATTEMPTS_OPEN; i++)
    cancel_attempt (&check->attempts[i]);
  check->dropped = true;
  if (!check->probing)
    check_free (check);
}

static int64_t
check_now (const Check *check)
{
  return loop_now (check->lifetimes->loop);
}

static void
wake_at (Check *check, int64_t at)
{
  loop_timer_set (check->lifetimes->loop, &check->timer, at);
}

/* ---- Results ---- */

/* What a result holds for: those that asked before this turn and this time. */
typedef struct
{
  uint64_t turn;
  int64_t time;
} Scope;

static const Scope everybody = { G_MAXUINT64, G_MAXINT64 };

static bool
is_served (const LifetimeWait *wait, Scope scope)
{
  return wait->turn < scope.turn && wait->asked_at < scope.time;
}

/* Tells the result to those for which it holds. They may ask again. The check ends if nobody is
 * left. */
static void
tell (Check *check, Scope scope, LifetimeState state, const char *evidence, SockAddr relay)
{
  LifetimeWait *wait, *next;
  CDS_LIST_HEAD (told);
  unsigned count = 0, left = 0;

  cds_list_for_each_entry_safe (wait, next, &check->waits, link)
  {
    if (!is_served (wait, scope))
      {
        left++;
        continue;
      }
    cds_list_del (&wait->link);
    cds_list_add_tail (&wait->link, &told);
    count++;
  }
  if (count > 0)
    jlog (JLOG_INFO, "lifetime", NULL, JL_TEXT ("server", check->server), JL_INT ("state", state),
          JL_TEXT ("evidence", evidence), JL_INT ("relay", relay.ip), JL_INT ("told", count),
          JL_INT ("left", left), JL_INT ("checks", check->sent),
          JL_MS ("after_ms", check_now (check) - check->started_at));
  if (left == 0)
    g_hash_table_remove (check->lifetimes->checks, check->server);
  else
    wake_at (check, check_now (check));
  while (!cds_list_empty (&told))
    {
      wait = cds_list_first_entry (&told, LifetimeWait, link);
      cds_list_del_init (&wait->link);
      wait->decided (wait, state, evidence);
    }
}

/* An attempt or a probe has shown nothing. */
static void
pause_after (Check *check, const char *why)
{
  jlog (JLOG_INFO, "lifetime-unanswered", NULL, JL_TEXT ("server", check->server),
        JL_TEXT ("why", why), JL_INT ("relay", check->relay.ip), JL_INT ("checks", check->sent),
        JL_MS ("after_ms", check_now (check) - check->started_at));
  check->not_before = check_now (check) + check->pause;
  check->pause = MIN (2 * check->pause, PAUSE_MAX);
  wake_at (check, check_now (check));
}

/* A failed path may refuse connections, too, so a refusal counts if a relay is refused as well, or
 * none can be asked. */
static void
handle_refusal (Check *check, SockAddr relay)
{
  if (relay.port == 0 && egress_pick_relay (check->lifetimes->egress, 0, &check->relay))
    {
      check->refused = true;
      check->not_before = 0;
      wake_at (check, check_now (check));
    }
  else
    tell (check, everybody, LIFETIME_ENDED, "its address refuses connections", relay);
}

/* ---- Status checks ---- */

/* Sets the evidence of the answer, if there is any. Without an id an answer on a connection that
 * was used before may be a late one to another request; a server that names itself answers a
 * status check, and one that others have cannot name it. */
static void
weigh (Attempt *attempt, const AdapterAnswer *answer)
{
  bool named = answer->server != NULL;
  bool is_new = hxfer_conn_idle_us (attempt->xfer) == 0;

  attempt->state = LIFETIME_GOES_ON;
  if (named && strcmp (answer->server, attempt->check->name) == 0 && !answer->elsewhere)
    attempt->evidence = "it answers a status check";
  else if (named || (answer->elsewhere && is_new))
    {
      attempt->state = LIFETIME_ENDED;
      attempt->evidence = "another run answers at its address";
    }
}

static bool
on_head (void *user, const HMsg *msg)
{
  Attempt *attempt = user;
  AdapterAnswer answer;

  attempt->check->lifetimes->adapter_ops->read_answer (msg, &answer);
  if (answer.id) /* a status check has none */
    return false;
  weigh (attempt, &answer);
  if (attempt->evidence)
    wake_at (attempt->check, check_now (attempt->check)); /* its body may never end */
  return true;
}

static void
on_body (void *user, const char *data, size_t size)
{
  (void) user;
  (void) data;
  (void) size;
}

static void
on_end (void *user)
{
  Attempt *attempt = user;

  attempt->xfer = NULL;
  if (attempt->evidence == NULL)
    pause_after (attempt->check, "the answer names nobody");
}

static void
on_failed (void *user, HXferFault fault)
{
  Attempt *attempt = user;
  Check *check = attempt->check;

  attempt->xfer = NULL;
  if (attempt->evidence)
    return;
  if (fault == HXFER_RELAY_FAILED)
    egress_note_relay_failed (check->lifetimes->egress, attempt->relay);
  if (fault == HXFER_REFUSED)
    handle_refusal (check, attempt->relay);
  else
    pause_after (check, hxfer_fault_name (fault));
}

static const HXferOps ops = { on_head, on_body, on_end, on_failed, NULL };

/* The first attempt goes the way on which requests are sent now; a later one the other way. */
static void
choose_way (Check *check)
{
  Egress *egress = check->lifetimes->egress;
  bool relayed
      = check->sent == 0 ? egress_is_doubtful (egress, check->server) : check->relay.port == 0;

  if (check->refused)
    {
      check->refused = false;
      return;
    }
  if (!relayed || !egress_pick_relay (egress, 0, &check->relay))
    check->relay = (SockAddr){ 0 };
}

static void
send_check (Check *check, Attempt *attempt)
{
  Lifetimes *lifetimes = check->lifetimes;
  GString *request = g_string_new (NULL);

  choose_way (check);
  HCliTarget target = { .addr = check->addr,
                        .key = check->server,
                        .connect_us = CONNECT_TIMEOUT,
                        .max_idle_us = check->sent == 0 ? IDLE_MAX : IDLE_MAX_LATER,
                        .relay = check->relay };
  *attempt = (Attempt){
    .check = check, .relay = check->relay, .sent_at = check_now (check), .turn = ++lifetimes->turn
  };
  check->sent++;
  count_inc (COUNT_STATUS_CHECKS);
  lifetimes->adapter_ops->write_check (request, check->addr, check->path, check->name);
  attempt->xfer = hcli_send (lifetimes->cli, &target, request, &ops, attempt);
  bool refused = attempt->xfer == NULL && errno == ECONNREFUSED && check->relay.port == 0;
  g_string_free (request, TRUE);
  if (refused) /* on the same machine the refusal is immediate */
    handle_refusal (check, (SockAddr){ 0 });
  else if (attempt->xfer == NULL)
    pause_after (check, "no connection can be opened");
}

/* The open attempt that was sent last; NULL: none is open. */
static Attempt *
newest_attempt (Check *check, unsigned *open)
{
  Attempt *newest = NULL;

  *open = 0;
  for (unsigned i = 0; i < ATTEMPTS_OPEN; i++)
    if (check->attempts[i].xfer)
      {
        (*open)++;
        if (newest == NULL || newest->turn < check->attempts[i].turn)
          newest = &check->attempts[i];
      }
  return newest;
}

static bool
serves_all (const Check *check, const Attempt *attempt)
{
  LifetimeWait *wait;

  cds_list_for_each_entry (wait, &check->waits, link)
  {
    if (wait->turn >= attempt->turn)
      return false;
  }
  return true;
}

static int64_t
next_attempt_at (Check *check)
{
  unsigned open;
  const Attempt *newest = newest_attempt (check, &open);

  if (newest == NULL)
    return check->not_before;
  if (open == ATTEMPTS_OPEN)
    return G_MAXINT64; /* until one of them ends */
  int64_t after = serves_all (check, newest) ? OTHER_WAY_AFTER : NEXT_AFTER;
  return MAX (check->not_before, newest->sent_at + (after << (open - 1)));
}

static void
ask_server (Check *check)
{
  int64_t now = check_now (check), at = next_attempt_at (check);

  wake_at (check, now < at ? MIN (at, now + SWEEP_INTERVAL) : now + SWEEP_INTERVAL);
  for (unsigned i = 0; i < ATTEMPTS_OPEN && now >= at; i++)
    if (check->attempts[i].xfer == NULL)
      {
        send_check (check, &check->attempts[i]);
        return;
      }
}

/* ---- Servers without a status check ---- */

static void
on_probed (void *user, bool connected, HXferFault fault)
{
  Check *check = user;

  check->probing = false;
  if (check->dropped)
    {
      check_free (check);
      return;
    }
  if (connected)
    check->accepted_at = check->probed_at;
  else if (fault == HXFER_RELAY_FAILED)
    egress_note_relay_failed (check->lifetimes->egress, check->relay);
  if (!connected && fault == HXFER_REFUSED)
    handle_refusal (check, check->relay);
  else
    wake_at (check, check_now (check) + PAUSE_MIN);
}

static bool
start_probe (Check *check)
{
  choose_way (check);
  HCliTarget target = {
    .addr = check->addr, .key = check->server, .connect_us = CONNECT_TIMEOUT, .relay = check->relay
  };

  check->sent++;
  check->probed_at = check_now (check);
  check->probing = hcli_probe (check->lifetimes->cli, &target, on_probed, check);
  return check->probing;
}

static void
look_at_list (Check *check)
{
  const Servers *servers = check->lifetimes->servers;
  Scope read = { G_MAXUINT64, servers_asked_at (servers) };
  Scope accepted = { G_MAXUINT64, MIN (read.time, check->accepted_at + 1) };
  bool has_unprobed = false, has_read = false, has_accepted = false;
  LifetimeWait *wait;

  cds_list_for_each_entry (wait, &check->waits, link)
  {
    has_read |= is_served (wait, read);
    has_accepted |= is_served (wait, accepted);
    has_unprobed |= wait->asked_at > check->accepted_at;
  }
  if (has_read && servers_find (servers, check->server) == NULL)
    tell (check, everybody, LIFETIME_ENDED, "the list names it no more", (SockAddr){ 0 });
  else if (has_accepted)
    tell (check, accepted, LIFETIME_GOES_ON, "the list names it, and it accepts connections",
          check->relay);
  else if (!has_unprobed)
    wake_at (check, check_now (check) + LIST_PAUSE);
  else if (!start_probe (check) && errno == ECONNREFUSED)
    handle_refusal (check, check->relay);
  else if (!check->probing)
    wake_at (check, check_now (check) + LIST_PAUSE);
}

/* ---- Next steps ---- */

/* Uses the evidence of an attempt that holds for most. Returns false if there is none. */
static bool
use_evidence (Check *check)
{
  Attempt *best = NULL;

  for (unsigned i = 0; i < ATTEMPTS_OPEN; i++)
    {
      Attempt *attempt = &check->attempts[i];
      if (attempt->evidence == NULL)
        continue;
      if (best == NULL || attempt->state == LIFETIME_ENDED
          || (best->state == LIFETIME_GOES_ON && attempt->turn > best->turn))
        best = attempt;
    }
  if (best == NULL)
    return false;
  bool ended = best->state == LIFETIME_ENDED;
  const char *evidence = best->evidence;
  Scope scope = ended ? everybody : (Scope){ best->turn, G_MAXINT64 };
  for (unsigned i = 0; i < ATTEMPTS_OPEN; i++)
    if (check->attempts[i].turn <= best->turn)
      cancel_attempt (&check->attempts[i]); /* it would show less */
  tell (check, scope, ended ? LIFETIME_ENDED : LIFETIME_GOES_ON, evidence, best->relay);
  return true;
}

static void
on_timer (LoopTimer *timer)
{
  Check *check = (Check *) timer;

  if (use_evidence (check))
    return;
  if (cds_list_empty (&check->waits))
    g_hash_table_remove (check->lifetimes->checks, check->server);
  else if (check->probing)
    return; /* on_probed sets the timer again */
  else if (check->path)
    ask_server (check);
  else
    look_at_list (check);
}

/* ---- Interface ---- */

/* A path that fits into a request line. */
static bool
is_usable_path (const char *path)
{
  if (path == NULL || *path != '/')
    return false;
  for (; *path; path++)
    if (!g_ascii_isgraph (*path))
      return false;
  return true;
}

Lifetimes *
lifetimes_new (Loop *loop, HCli *cli, Egress *egress, const AdapterOps *adapter_ops,
               const Servers *servers)
{
  Lifetimes *lifetimes = g_new0 (Lifetimes, 1);

  *lifetimes = (Lifetimes){ loop, cli, egress, adapter_ops, servers, NULL, 0 };
  lifetimes->checks = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, drop_check);
  return lifetimes;
}

void
lifetimes_free (Lifetimes *lifetimes)
{
  if (lifetimes == NULL)
    return;
  g_hash_table_unref (lifetimes->checks);
  g_free (lifetimes);
}

void
lifetimes_ask (Lifetimes *lifetimes, const LifetimeTarget *target, LifetimeWait *wait)
{
  Check *check = g_hash_table_lookup (lifetimes->checks, target->server);

  wait->turn = ++lifetimes->turn;
  wait->asked_at = loop_now (lifetimes->loop);
  if (check == NULL)
    {
      check = g_new0 (Check, 1);
      check->timer.fire = on_timer;
      check->lifetimes = lifetimes;
      check->server = g_strdup (target->server);
      check->name = g_strdup (target->name);
      check->path = is_usable_path (target->check_path) ? g_strdup (target->check_path) : NULL;
      check->addr = target->addr;
      check->started_at = wait->asked_at;
      check->pause = PAUSE_MIN;
      CDS_INIT_LIST_HEAD (&check->waits);
      g_hash_table_insert (lifetimes->checks, check->server, check);
    }
  cds_list_add_tail (&wait->link, &check->waits);
  wake_at (check, wait->asked_at); /* serves all that ask in this iteration */
}

void
lifetimes_note_answer (Lifetimes *lifetimes, const char *server, int64_t sent_at)
{
  Check *check = g_hash_table_lookup (lifetimes->checks, server);

  if (check)
    tell (check, (Scope){ G_MAXUINT64, sent_at }, LIFETIME_GOES_ON,
          "it has run a request that was sent later", (SockAddr){ 0 });
}
