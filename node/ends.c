/* ends.c - tells the end of a server from the end of a connection.
 *
 * Connections break for many reasons: the server closes idle ones, a path is cut, an answer is
 * lost. Only where the process is gone is what it ran a suspect. A process that is gone listens no
 * more, while its machine still answers: so once a connection breaks under a request, another one
 * is opened. Refused: the server has ended. Established: it lives, or its listener is just going
 * too, which a second look, SECOND_LOOK later, tells. No answer at all: the path is cut, and
 * nothing is said against anybody.
 *
 * What was given up shortly before, since its caller left or for silence, is a suspect as well: a
 * server may end a moment after it was told to stop.
 */
#include "ends.h"
#include "jlog.h"

#include <errno.h>
#include <string.h>

/* Tuning; each row with its reason. */
#define CONNECT_MOST (250 * FT_MS)   /* as for requests */
#define SECOND_LOOK  (60 * FT_MS)    /* a process that is ending closes all it has within that */
#define LOOKS_MOST   4               /* a second in all, with packets lost on the way */
#define ENDED_KEPT   (2 * FT_SECOND) /* breaks are seen late where packets are lost */
#define LEFT_KEPT    (1 * FT_SECOND) /* from giving a request up to an end that may be its doing */
#define LEFT_MOST    64
#define RUNS_MOST    64 /* of one server; more than the places of any seen so far */

typedef enum
{
  STATE_ASKING,
  STATE_ENDED
} State;

typedef struct
{
  LoopTimer timer; /* the second look, or the end of what is known */
  Ends *ends;
  char *server;
  SockAddr addr;
  State state;
  unsigned looks;
  int64_t ended_at;
  bool probing, dropped; /* dropped: freed once its probe has ended */
  GArray *runs;          /* CrashRun, not told yet */
} Case;

typedef struct
{
  char server[128];
  CrashRun run;
  int64_t at;
} Left;

struct Ends
{
  Loop *loop;
  HCli *cli;
  CrashFunc ended;
  void *host;
  GHashTable *cases; /* server: Case */
  Left left[LEFT_MOST];
  unsigned left_next;
};

static void
case_free (Case *one)
{
  g_array_unref (one->runs);
  g_free (one->server);
  g_free (one);
}

static void
drop_case (void *data)
{
  Case *one = data;

  loop_timer_stop (one->ends->loop, &one->timer);
  one->dropped = true;
  if (!one->probing)
    case_free (one);
}

static void
add_run (GArray *runs, uint64_t content, const char *request)
{
  CrashRun run = { .content = content };

  if (runs->len >= RUNS_MOST)
    return;
  g_strlcpy (run.request, request, sizeof run.request);
  g_array_append_val (runs, run);
}

/* ---- Verdicts ---- */

/* Was it given up at the server lately? */
static bool
left_lately (const Ends *ends, const Left *left, const char *server)
{
  return left->at > loop_now (ends->loop) - LEFT_KEPT && strcmp (left->server, server) == 0;
}

static void
add_left (const Ends *ends, Case *one)
{
  for (unsigned i = 0; i < LEFT_MOST; i++)
    {
      const Left *left = &ends->left[i];
      if (left_lately (ends, left, one->server))
        add_run (one->runs, left->run.content, left->run.request);
    }
}

static void
tell (Case *one)
{
  if (one->runs->len > 0)
    one->ends->ended (one->ends->host, one->server, one->ended_at,
                      (const CrashRun *) (void *) one->runs->data, one->runs->len);
  g_array_set_size (one->runs, 0);
}

static void
log_verdict (const Case *one, const char *event, const char *evidence)
{
  jlog (JLOG_INFO, event, NULL, JL_TEXT ("server", one->server), JL_TEXT ("evidence", evidence),
        JL_INT ("looks", one->looks), JL_INT ("ran", one->runs->len));
}

static void
has_ended (Case *one, const char *evidence)
{
  Loop *loop = one->ends->loop;

  one->state = STATE_ENDED;
  one->ended_at = loop_now (loop);
  add_left (one->ends, one);
  log_verdict (one, "server-ended", evidence);
  loop_timer_set (loop, &one->timer, one->ended_at + ENDED_KEPT);
  tell (one);
}

/* Nothing is said against what it ran. */
static void
lives_on (Case *one, const char *evidence)
{
  log_verdict (one, "server-lives", evidence);
  g_hash_table_remove (one->ends->cases, one->server);
}

/* ---- Looking ---- */

static void
on_probed (void *user, bool connected, HXferFault fault)
{
  Case *one = user;

  one->probing = false;
  if (one->dropped)
    case_free (one);
  else if (one->state != STATE_ASKING)
    return;
  else if (!connected && fault == HXFER_REFUSED)
    has_ended (one, "nobody listens at its address");
  else
    loop_timer_set (one->ends->loop, &one->timer, loop_now (one->ends->loop) + SECOND_LOOK);
}

static void
look (Case *one)
{
  HCliTarget target = { one->addr, one->server, CONNECT_MOST, 0, false };

  one->looks++;
  one->probing = hcli_probe (one->ends->cli, &target, on_probed, one);
  if (one->probing)
    return;
  if (errno == ECONNREFUSED) /* on one machine it is known at once */
    has_ended (one, "nobody listens at its address");
  else
    lives_on (one, "no connection can be opened here");
}

static void
on_timer (LoopTimer *timer)
{
  Case *one = (Case *) timer;
  Ends *ends = one->ends;

  if (one->state == STATE_ENDED)
    g_hash_table_remove (ends->cases, one->server);
  else if (hcli_is_connected (ends->cli, one->server))
    lives_on (one, "it takes connections");
  else if (one->looks < LOOKS_MOST)
    look (one);
  else
    lives_on (one, "it cannot be reached, and does not refuse");
}

static Case *
case_of (Ends *ends, const char *server, SockAddr addr)
{
  Case *one = g_hash_table_lookup (ends->cases, server);

  if (one)
    return one;
  one = g_new0 (Case, 1);
  one->timer.fire = on_timer;
  one->ends = ends;
  one->server = g_strdup (server);
  one->addr = addr;
  one->runs = g_array_new (FALSE, FALSE, sizeof (CrashRun));
  g_hash_table_insert (ends->cases, one->server, one);
  return one;
}

/* ---- Interface ---- */

Ends *
crashdet_new (Loop *loop, HCli *cli, CrashFunc ended, void *host)
{
  Ends *ends = g_new0 (Ends, 1);

  ends->loop = loop;
  ends->cli = cli;
  ends->ended = ended;
  ends->host = host;
  ends->cases = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, drop_case);
  return ends;
}

void
crashdet_free (Ends *ends)
{
  if (ends == NULL)
    return;
  g_hash_table_unref (ends->cases);
  g_free (ends);
}

void
crashdet_connection_lost (Ends *ends, const char *server, SockAddr addr, uint64_t content,
                          const char *request)
{
  bool known = g_hash_table_contains (ends->cases, server);
  Case *one = case_of (ends, server, addr);

  add_run (one->runs, content, request);
  if (one->state == STATE_ENDED)
    tell (one);
  else if (!known)
    look (one);
}

void
crashdet_abandoned (Ends *ends, const char *server, uint64_t content, const char *request)
{
  Left *left = &ends->left[ends->left_next++ % LEFT_MOST];

  g_strlcpy (left->server, server, sizeof left->server);
  left->run.content = content;
  g_strlcpy (left->run.request, request, sizeof left->run.request);
  left->at = loop_now (ends->loop);
}

static bool
any_left (const Ends *ends, const char *server)
{
  for (unsigned i = 0; i < LEFT_MOST; i++)
    if (left_lately (ends, &ends->left[i], server))
      return true;
  return false;
}

void
crashdet_refused (Ends *ends, const char *server)
{
  Case *one = g_hash_table_lookup (ends->cases, server);

  if (one == NULL && any_left (ends, server))
    one = case_of (ends, server, (SockAddr){ 0, 0 });
  if (one && one->state == STATE_ASKING)
    has_ended (one, "it refuses a connection");
}
