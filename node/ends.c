/* ends.c - distinguishes a crashed server process from a lost connection.
 *
 * Connections are lost for many reasons: the server closes idle ones, a network path fails, or an
 * answer is lost. Only if the process is gone do its requests become suspects. Once a process is
 * gone, its port refuses connections while its machine still answers. So when a connection is lost
 * during a request, another one is opened. If it is refused, the server has crashed. If it is
 * established, the server is alive, or its listening socket is just about to close, which a second
 * probe SECOND_PROBE later detects, or a successor listens there, which the server itself is asked
 * about (lifetime.h). If there is no reply at all, the network path has failed, and no request is
 * suspected. A failed path may refuse connections, too, so a refusal counts only if
 * another entry is refused as well (relay.h), or none can be asked.
 *
 * Requests that were abandoned shortly before, because the caller left or the server was silent,
 * are suspects as well: a server may crash a moment after it was told to stop.
 */
#include "ends.h"
#include "jlog.h"

#include <errno.h>
#include <string.h>

#define PROBE_TIMEOUT (250 * FT_MS) /* the same as for requests */
/* A process that is exiting closes all its sockets within this time. */
#define SECOND_PROBE (60 * FT_MS)
/* One second in total if packets are lost. */
#define PROBES_MAX 4
/* How long a crash is remembered: lost connections are noticed late when packets are lost. */
#define CRASH_KEPT (2 * FT_SECOND)
/* Time after abandoning a request within which a crash may be caused by it. */
#define ABANDONED_KEPT (1 * FT_SECOND)
#define ABANDONED_MAX  64
/* For the server itself to say whether it goes on. */
#define ANSWER_TIMEOUT (1500 * FT_MS)
/* Of one server; more than the request slots of any server seen so far. */
#define RUNS_MAX 64

typedef enum
{
  STATE_PROBING,
  STATE_CRASHED
} CheckState;

typedef struct
{
  LoopTimer timer; /* next probe, or the end of CRASH_KEPT */
  CrashDetector *detector;
  char *server, *name, *check_path;
  SockAddr addr;
  CheckState state;
  LifetimeWait asked; /* the server itself, whether it goes on */
  unsigned probes;
  int64_t crashed_at;
  SockAddr relay; /* through which the last probe went; port 0: none */
  bool relayed;   /* the last probe went through it */
  bool refused;   /* a direct probe was refused */
  unsigned relayed_connects;
  bool probing, dropped; /* dropped: freed once the pending probe has ended */
  GArray *runs;          /* CrashRun, not reported yet */
} ServerCheck;

typedef struct
{
  char server[128];
  CrashRun run; /* print NULL: unused */
  int64_t at;
} Abandoned;

struct CrashDetector
{
  Loop *loop;
  HCli *cli;
  Egress *egress;
  Lifetimes *lifetimes;
  CrashFunc on_crash;
  void *user;
  GHashTable *checks; /* server -> ServerCheck */
  Abandoned abandoned[ABANDONED_MAX];
  unsigned next_abandoned;
};

static CrashRun
run_copy (const CrashRun *from)
{
  return (CrashRun){ fingerprint_ref (from->print), g_strdup (from->request), from->events };
}

static void
run_clear (void *data)
{
  CrashRun *run = data;

  fingerprint_unref (run->print);
  g_free ((char *) run->request);
}

static void
check_free (ServerCheck *check)
{
  g_array_unref (check->runs);
  g_free (check->server);
  g_free (check->name);
  g_free (check->check_path);
  g_free (check);
}

static void
drop_check (void *data)
{
  ServerCheck *check = data;

  loop_timer_stop (check->detector->loop, &check->timer);
  cds_list_del_init (&check->asked.link);
  check->dropped = true;
  if (!check->probing)
    check_free (check);
}

static void
add_run (GArray *runs, const CrashRun *run)
{
  CrashRun copy;

  if (runs->len >= RUNS_MAX)
    return;
  copy = run_copy (run);
  g_array_append_val (runs, copy);
}

/* ---- Results ---- */

/* Whether the request was recently abandoned on this server. */
static bool
abandoned_recently (const CrashDetector *detector, const Abandoned *abandoned, const char *server)
{
  return abandoned->run.print && abandoned->at > loop_now (detector->loop) - ABANDONED_KEPT
         && strcmp (abandoned->server, server) == 0;
}

static void
add_abandoned_runs (const CrashDetector *detector, ServerCheck *check)
{
  for (unsigned i = 0; i < ABANDONED_MAX; i++)
    {
      const Abandoned *abandoned = &detector->abandoned[i];
      if (abandoned_recently (detector, abandoned, check->server))
        add_run (check->runs, &abandoned->run);
    }
}

static void
report_runs (ServerCheck *check)
{
  if (check->runs->len > 0)
    check->detector->on_crash (check->detector->user, check->server, check->crashed_at,
                               (const CrashRun *) (void *) check->runs->data, check->runs->len);
  g_array_set_size (check->runs, 0);
}

static void
log_result (const ServerCheck *check, const char *event, const char *evidence)
{
  jlog (JLOG_INFO, event, NULL, JL_TEXT ("server", check->server), JL_TEXT ("evidence", evidence),
        JL_INT ("looks", check->probes), JL_INT ("ran", check->runs->len));
}

static void
set_crashed (ServerCheck *check, const char *evidence)
{
  Loop *loop = check->detector->loop;

  cds_list_del_init (&check->asked.link);
  check->state = STATE_CRASHED;
  check->crashed_at = loop_now (loop);
  add_abandoned_runs (check->detector, check);
  log_result (check, "server-ended", evidence);
  loop_timer_set (loop, &check->timer, check->crashed_at + CRASH_KEPT);
  report_runs (check);
}

/* The requests of the server do not become suspects. */
static void
set_alive (ServerCheck *check, const char *evidence)
{
  log_result (check, "server-lives", evidence);
  g_hash_table_remove (check->detector->checks, check->server);
}

/* Nothing is known, so no request is charged with a crash. */
static void
set_undecided (ServerCheck *check, const char *evidence)
{
  log_result (check, "server-undecided", evidence);
  g_hash_table_remove (check->detector->checks, check->server);
}

static void
on_lifetime (LifetimeWait *wait, LifetimeState state, const char *evidence)
{
  ServerCheck *check = (ServerCheck *) ((char *) wait - offsetof (ServerCheck, asked));

  if (state == LIFETIME_ENDED)
    set_crashed (check, evidence);
  else
    set_alive (check, evidence);
}

/* The address accepts connections, which a successor of the server would do as well. */
static void
ask_server (ServerCheck *check, const char *evidence)
{
  LifetimeTarget target = { check->server, check->name, check->addr, check->check_path };

  if (check->detector->lifetimes == NULL || check->check_path == NULL)
    {
      set_alive (check, evidence);
      return;
    }
  lifetimes_ask (check->detector->lifetimes, &target, &check->asked);
  loop_timer_set (check->detector->loop, &check->timer,
                  loop_now (check->detector->loop) + ANSWER_TIMEOUT);
}

/* ---- Probes ---- */

static void on_probed (void *user, bool connected, HXferFault fault);

static bool
start_probe (ServerCheck *check)
{
  HCliTarget target = {
    .addr = check->addr, .key = check->server, .connect_us = PROBE_TIMEOUT, .relay = check->relay
  };

  check->probing = hcli_probe (check->detector->cli, &target, on_probed, check);
  return check->probing;
}

/* Probes through another entry. Returns false if there is none. */
static bool
start_relayed_probe (ServerCheck *check)
{
  Egress *egress = check->detector->egress;

  check->relayed
      = egress && egress_pick_relay (egress, check->relay.ip, &check->relay) && start_probe (check);
  return check->relayed;
}

static void
probe_later (ServerCheck *check)
{
  Loop *loop = check->detector->loop;

  loop_timer_set (loop, &check->timer, loop_now (loop) + SECOND_PROBE);
}

static void
handle_relayed_probe (ServerCheck *check, bool connected, HXferFault fault)
{
  Egress *egress = check->detector->egress;

  if (connected && check->relayed_connects++ > 0)
    ask_server (check, "another entry reaches it");
  else if (connected)
    probe_later (check);
  else if (fault == HXFER_REFUSED)
    set_crashed (check, "its address refuses connections of another entry");
  else if (fault == HXFER_RELAY_FAILED)
    {
      egress_note_relay_failed (egress, check->relay);
      if (!start_relayed_probe (check) && check->refused)
        set_crashed (check, "its address refuses connections");
      else if (!check->relayed)
        probe_later (check);
    }
  else
    probe_later (check);
}

static void
on_probed (void *user, bool connected, HXferFault fault)
{
  ServerCheck *check = user;

  check->probing = false;
  if (check->dropped)
    check_free (check);
  else if (check->state != STATE_PROBING)
    return;
  else if (check->relayed)
    handle_relayed_probe (check, connected, fault);
  else if (!connected && fault == HXFER_REFUSED)
    {
      check->refused = true;
      if (!start_relayed_probe (check))
        set_crashed (check, "its address refuses connections");
    }
  else
    probe_later (check);
}

static void
probe (ServerCheck *check)
{
  const Egress *egress = check->detector->egress;
  bool doubtful = egress && (check->relayed || egress_is_doubtful (egress, check->server));

  check->probes++;
  if (doubtful && start_relayed_probe (check))
    return;
  check->relay = (SockAddr){ 0 };
  check->relayed = false;
  if (start_probe (check))
    return;
  check->refused = errno == ECONNREFUSED; /* on the same machine the refusal is immediate */
  if (check->refused && start_relayed_probe (check))
    return;
  if (check->refused)
    set_crashed (check, "its address refuses connections");
  else
    set_undecided (check, "no connection can be opened from here");
}

static void
on_timer (LoopTimer *timer)
{
  ServerCheck *check = (ServerCheck *) timer;
  CrashDetector *detector = check->detector;

  if (check->state == STATE_CRASHED)
    g_hash_table_remove (detector->checks, check->server);
  else if (!cds_list_empty (&check->asked.link))
    set_undecided (check, "it does not answer whether it goes on");
  else if (!check->relayed && hcli_is_connected (detector->cli, check->server))
    ask_server (check, "it accepts connections");
  else if (check->probes < PROBES_MAX)
    probe (check);
  else
    set_undecided (check, "no reply, and no refusal");
}

static ServerCheck *
find_or_add_check (CrashDetector *detector, const LifetimeTarget *server)
{
  ServerCheck *check = g_hash_table_lookup (detector->checks, server->server);

  if (check)
    return check;
  check = g_new0 (ServerCheck, 1);
  check->timer.fire = on_timer;
  check->detector = detector;
  check->server = g_strdup (server->server);
  check->name = g_strdup (server->name);
  check->check_path = g_strdup (server->check_path);
  check->addr = server->addr;
  check->asked.decided = on_lifetime;
  CDS_INIT_LIST_HEAD (&check->asked.link);
  check->runs = g_array_new (FALSE, FALSE, sizeof (CrashRun));
  g_array_set_clear_func (check->runs, run_clear);
  g_hash_table_insert (detector->checks, check->server, check);
  return check;
}

/* ---- Interface ---- */

CrashDetector *
crashdet_new (Loop *loop, HCli *cli, Egress *egress, Lifetimes *lifetimes, CrashFunc on_crash,
              void *user)
{
  CrashDetector *detector = g_new0 (CrashDetector, 1);

  detector->loop = loop;
  detector->cli = cli;
  detector->egress = egress;
  detector->lifetimes = lifetimes;
  detector->on_crash = on_crash;
  detector->user = user;
  detector->checks = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, drop_check);
  return detector;
}

void
crashdet_free (CrashDetector *detector)
{
  if (detector == NULL)
    return;
  g_hash_table_unref (detector->checks);
  for (unsigned i = 0; i < ABANDONED_MAX; i++)
    run_clear (&detector->abandoned[i].run);
  g_free (detector);
}

void
crashdet_connection_lost (CrashDetector *detector, const LifetimeTarget *server,
                          const CrashRun *run)
{
  bool known = g_hash_table_contains (detector->checks, server->server);
  ServerCheck *check = find_or_add_check (detector, server);

  add_run (check->runs, run);
  if (check->state == STATE_CRASHED)
    report_runs (check);
  else if (!known)
    probe (check);
}

void
crashdet_abandoned (CrashDetector *detector, const char *server, const CrashRun *run)
{
  Abandoned *abandoned = &detector->abandoned[detector->next_abandoned++ % ABANDONED_MAX];

  g_strlcpy (abandoned->server, server, sizeof abandoned->server);
  run_clear (&abandoned->run);
  abandoned->run = run_copy (run);
  abandoned->at = loop_now (detector->loop);
}

static bool
has_abandoned (const CrashDetector *detector, const char *server)
{
  for (unsigned i = 0; i < ABANDONED_MAX; i++)
    if (abandoned_recently (detector, &detector->abandoned[i], server))
      return true;
  return false;
}

void
crashdet_refused (CrashDetector *detector, const char *server)
{
  ServerCheck *check = g_hash_table_lookup (detector->checks, server);

  if (check == NULL && has_abandoned (detector, server))
    check = find_or_add_check (detector, &(LifetimeTarget){ .server = server });
  if (check && check->state == STATE_PROBING)
    set_crashed (check, "it refused a connection of a request");
}
