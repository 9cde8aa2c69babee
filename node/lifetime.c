/* lifetime.c - see lifetime.h.
 *
 * An address shows nothing of the run of the server that had it: its successor accepts connections
 * there too, and so does the backlog of a process that is being torn down. Only an answer of that
 * run itself, to a question asked after the event in doubt, proves that it goes on. A status check
 * is such a question: it names the server that is meant, which another one rejects, and the answer
 * names the server that gave it.
 *
 * A server without a status check is believed once a list that was read after the event names it
 * and its address accepts a connection.
 *
 * One check serves all that ask before it is sent; those that ask later get another one.
 */
#include "lifetime.h"
#include "jlog.h"

#include <errno.h>
#include <string.h>

#define CHECK_TIMEOUT   (1500 * FT_MS) /* callers wait longer than this for the next event */
#define CONNECT_TIMEOUT (250 * FT_MS)
#define CHECK_PAUSE     (100 * FT_MS) /* between two attempts */
#define LIST_PAUSE      (50 * FT_MS)  /* between two looks at the list */
#define IDLE_MAX        (300 * FT_MS) /* of a connection that is used */

typedef struct
{
  LoopTimer timer; /* the next attempt */
  LoopTimer limit; /* of the whole check */
  Lifetimes *lifetimes;
  char *server, *name, *path;
  SockAddr addr, relay; /* relay: of the last attempt; port 0: none */
  HXfer *xfer;
  LifetimeState state;
  const char *evidence; /* of the answer's head; NULL: it shows nothing */
  int64_t asked_at;
  int64_t probed_at;
  unsigned attempts; /* of this check */
  bool confirms;     /* the next attempt goes through relay, since a direct one was refused */
  bool probing, accepts, dropped;    /* dropped: freed once the pending probe has ended */
  struct cds_list_head waits, later; /* LifetimeWait; later: for the next check */
} Check;

struct Lifetimes
{
  Loop *loop;
  HCli *cli;
  Egress *egress;
  const AdapterOps *adapter_ops;
  const Servers *servers;
  GHashTable *checks; /* server -> Check */
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
unlink_waits (struct cds_list_head *waits)
{
  while (!cds_list_empty (waits))
    cds_list_del_init (waits->next);
}

static void
drop_check (void *data)
{
  Check *check = data;
  Loop *loop = check->lifetimes->loop;

  loop_timer_stop (loop, &check->timer);
  loop_timer_stop (loop, &check->limit);
  unlink_waits (&check->waits);
  unlink_waits (&check->later);
  if (check->xfer)
    hxfer_cancel (check->xfer);
  check->xfer = NULL;
  check->dropped = true;
  if (!check->probing)
    check_free (check);
}

/* ---- Results ---- */

static void
start_check (Check *check)
{
  Loop *loop = check->lifetimes->loop;

  check->asked_at = loop_now (loop);
  check->accepts = check->confirms = false;
  check->attempts = 0;
  check->evidence = NULL;
  loop_timer_set (loop, &check->timer, check->asked_at); /* serves all that ask in this iteration */
  loop_timer_set (loop, &check->limit, check->asked_at + CHECK_TIMEOUT);
}

/* Ends the check, and starts the next one for those that have asked since. They may ask again. */
static void
finish_check (Check *check, LifetimeState state, const char *evidence)
{
  Lifetimes *lifetimes = check->lifetimes;
  CDS_LIST_HEAD (told);

  jlog (JLOG_INFO, "lifetime", NULL, JL_TEXT ("server", check->server), JL_INT ("state", state),
        JL_TEXT ("evidence", evidence), JL_INT ("relay", check->relay.ip),
        JL_MS ("after_ms", loop_now (lifetimes->loop) - check->asked_at));
  if (check->xfer)
    hxfer_cancel (check->xfer);
  check->xfer = NULL;
  cds_list_splice (&check->waits, &told);
  CDS_INIT_LIST_HEAD (&check->waits);
  if (state == LIFETIME_ENDED) /* whenever they have asked */
    cds_list_splice (&check->later, &told);
  else
    cds_list_splice (&check->later, &check->waits);
  CDS_INIT_LIST_HEAD (&check->later);
  if (!cds_list_empty (&check->waits))
    start_check (check);
  else
    g_hash_table_remove (lifetimes->checks, check->server);
  while (!cds_list_empty (&told))
    {
      LifetimeWait *wait = cds_list_first_entry (&told, LifetimeWait, link);
      cds_list_del_init (&wait->link);
      wait->decided (wait, state, evidence);
    }
}

static void
retry_later (Check *check)
{
  Loop *loop = check->lifetimes->loop;

  loop_timer_set (loop, &check->timer, loop_now (loop) + CHECK_PAUSE);
}

static void
on_limit (LoopTimer *timer)
{
  Check *check = (Check *) ((char *) timer - offsetof (Check, limit));

  loop_timer_stop (check->lifetimes->loop, &check->timer);
  finish_check (check, LIFETIME_UNKNOWN,
                check->path ? "no answer to a status check" : "no list that is new enough");
}

/* A failed path may refuse connections, too, so a refusal counts if a relay is refused as well, or
 * none can be asked. */
static void
handle_refusal (Check *check)
{
  Loop *loop = check->lifetimes->loop;

  if (check->relay.port == 0 && egress_pick_relay (check->lifetimes->egress, 0, &check->relay))
    {
      check->confirms = true;
      loop_timer_set (loop, &check->timer, loop_now (loop));
    }
  else
    finish_check (check, LIFETIME_ENDED, "its address refuses connections");
}

/* ---- Status checks ---- */

static bool
on_head (void *user, const HMsg *msg)
{
  Check *check = user;
  AdapterAnswer answer;

  check->lifetimes->adapter_ops->read_answer (msg, &answer);
  check->state = LIFETIME_GOES_ON;
  if (answer.elsewhere || (answer.server && strcmp (answer.server, check->name) != 0))
    {
      check->state = LIFETIME_ENDED;
      check->evidence = "another run answers at its address";
    }
  else if (answer.server)
    check->evidence = "it answers a status check";
  else if (answer.not_run && (hmsg_status (msg) == 503 || hmsg_status (msg) == 429))
    check->evidence = "it rejects a status check";
  else
    check->evidence = NULL;
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
  Check *check = user;

  check->xfer = NULL;
  if (check->evidence)
    finish_check (check, check->state, check->evidence);
  else
    retry_later (check);
}

static void
on_failed (void *user, HXferFault fault)
{
  Check *check = user;

  check->xfer = NULL;
  if (fault == HXFER_RELAY_FAILED)
    egress_note_relay_failed (check->lifetimes->egress, check->relay);
  if (fault == HXFER_REFUSED)
    handle_refusal (check);
  else
    retry_later (check);
}

static const HXferOps ops = { on_head, on_body, on_end, on_failed, NULL };

/* The first attempt goes the way on which requests are sent now; a later one the other way. */
static void
choose_way (Check *check)
{
  Egress *egress = check->lifetimes->egress;
  bool first = check->attempts++ == 0;
  bool relayed = first ? egress_is_doubtful (egress, check->server) : check->relay.port == 0;

  if (check->confirms)
    {
      check->confirms = false;
      return;
    }
  if (!relayed || !egress_pick_relay (egress, 0, &check->relay))
    check->relay = (SockAddr){ 0 };
}

static void
send_check (Check *check)
{
  Lifetimes *lifetimes = check->lifetimes;
  GString *request = g_string_new (NULL);
  HCliTarget target = { .addr = check->addr,
                        .key = check->server,
                        .connect_us = CONNECT_TIMEOUT,
                        .max_idle_us = IDLE_MAX,
                        .relay = check->relay };

  lifetimes->adapter_ops->write_check (request, check->addr, check->path, check->name);
  check->xfer = hcli_send (lifetimes->cli, &target, request, &ops, check);
  bool refused = check->xfer == NULL && errno == ECONNREFUSED && check->relay.port == 0;
  g_string_free (request, TRUE);
  if (refused) /* on the same machine the refusal is immediate */
    handle_refusal (check);
  else if (check->xfer == NULL)
    retry_later (check);
}

/* ---- Servers without a status check ---- */

static void
on_probed (void *user, bool connected, HXferFault fault)
{
  Check *check = user;

  check->probing = false;
  if (check->dropped)
    check_free (check);
  else if (!connected && fault == HXFER_REFUSED)
    handle_refusal (check);
  else
    {
      if (!connected && fault == HXFER_RELAY_FAILED)
        egress_note_relay_failed (check->lifetimes->egress, check->relay);
      check->accepts = connected && check->probed_at >= check->asked_at;
      retry_later (check);
    }
}

static void
look_at_list (Check *check)
{
  Lifetimes *lifetimes = check->lifetimes;
  bool read = servers_asked_at (lifetimes->servers) > check->asked_at;
  HCliTarget target = {
    .addr = check->addr, .key = check->server, .connect_us = CONNECT_TIMEOUT, .relay = check->relay
  };

  if (read && servers_find (lifetimes->servers, check->server) == NULL)
    finish_check (check, LIFETIME_ENDED, "the list names it no more");
  else if (read && check->accepts)
    finish_check (check, LIFETIME_GOES_ON, "the list names it, and it accepts connections");
  else if (!check->accepts && hcli_probe (lifetimes->cli, &target, on_probed, check))
    {
      check->probing = true;
      check->probed_at = loop_now (lifetimes->loop);
    }
  else
    loop_timer_set (lifetimes->loop, &check->timer, loop_now (lifetimes->loop) + LIST_PAUSE);
}

static void
on_timer (LoopTimer *timer)
{
  Check *check = (Check *) timer;

  if (check->probing)
    return; /* a probe of the check before is pending; on_probed sets the timer again */
  choose_way (check);
  if (check->path)
    send_check (check);
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

  *lifetimes = (Lifetimes){ loop, cli, egress, adapter_ops, servers, NULL };
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

  if (check)
    {
      bool sent = check->asked_at < loop_now (lifetimes->loop) || check->xfer || check->probing;
      cds_list_add_tail (&wait->link, sent ? &check->later : &check->waits);
      return;
    }
  check = g_new0 (Check, 1);
  check->timer.fire = on_timer;
  check->limit.fire = on_limit;
  check->lifetimes = lifetimes;
  check->server = g_strdup (target->server);
  check->name = g_strdup (target->name);
  check->path = is_usable_path (target->check_path) ? g_strdup (target->check_path) : NULL;
  check->addr = target->addr;
  CDS_INIT_LIST_HEAD (&check->waits);
  CDS_INIT_LIST_HEAD (&check->later);
  g_hash_table_insert (lifetimes->checks, check->server, check);
  cds_list_add_tail (&wait->link, &check->waits);
  start_check (check);
}
