/* witness.c - what an entry saw of servers' ends, on its way to all others.
 *
 * A report goes to the voter in charge and is told again, there or to its successor, until the log
 * has it. While no voter is in charge, deputies pass reports on to the entries that have dialled
 * them; that is not kept, and the voters hear the reports later all the same.
 */
#include "witness.h"
#include "content.h"
#include "count.h"
#include "jlog.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define TELL_AGAIN   (400 * FT_MS) /* a slow disk's sync, twice, and the way there and back */
#define REPORTS_MOST 256           /* not known to the voters yet, some 200 bytes each */

typedef struct
{
  uint64_t number;
  char *server;
  int64_t ended_at, told_at; /* told_at 0: to nobody yet */
  uint64_t contents[MESH_CONTENTS_MOST];
  unsigned count;
} Report;

struct Witness
{
  Loop *loop;
  Mesh *mesh;
  Quarantine *quar;
  Ends *ends;
  void (*changed) (void *host);
  void *host;
  MeshPeer *voter;    /* in charge; NULL: none can be heard */
  GPtrArray *reports; /* Report, oldest first */
  uint64_t next_number;
};

static void
report_free (void *data)
{
  Report *report = data;

  g_free (report->server);
  g_free (report);
}

/* ---- Telling ---- */

static void
tell_deputy (MeshPeer *peer, void *data)
{
  if (peer->dialled && peer->role == MESH_ENTRY)
    mesh_send (peer, data);
}

static void
tell (Witness *witness, Report *report)
{
  int64_t now = loop_now (witness->loop);
  MeshMsg msg = { .kind = MESH_ENDED };

  msg.MeshMsg_u.ended = (MeshEnded){ .number = report->number,
                                     .server = report->server,
                                     .age_ms = (u_int) ((now - report->ended_at) / FT_MS),
                                     .contents = { report->count, report->contents } };
  if (witness->voter)
    mesh_send (witness->voter, &msg);
  else if (report->told_at == 0)
    mesh_for_each_peer (witness->mesh, tell_deputy, &msg);
  report->told_at = now;
}

static void
on_ended (void *host, const char *server, int64_t at, const EndsRun *runs, unsigned count)
{
  Witness *witness = host;
  Report *report = g_new0 (Report, 1);
  char content[CONTENT_TEXT];

  count_up (COUNT_SERVER_ENDS);
  report->number = ++witness->next_number;
  report->server = g_strdup (server);
  report->ended_at = at;
  for (unsigned i = 0; i < count && report->count < MESH_CONTENTS_MOST; i++)
    {
      quar_ended (witness->quar, runs[i].content, server, true);
      report->contents[report->count++] = runs[i].content;
      jlog (JLOG_INFO, "ran-at-end", runs[i].request, JL_TEXT ("server", server),
            JL_TEXT ("content", content_text (runs[i].content, content)),
            JL_INT ("ends", quar_judge (witness->quar, runs[i].content).ends),
            JL_INT ("report", report->number));
    }
  if (witness->reports->len >= REPORTS_MOST)
    {
      jlog (JLOG_WARN, "report-dropped", NULL,
            JL_INT ("report", ((const Report *) witness->reports->pdata[0])->number));
      g_ptr_array_remove_index (witness->reports, 0);
    }
  g_ptr_array_add (witness->reports, report);
  tell (witness, report);
  witness->changed (witness->host);
}

/* What was answered whole here speaks for contents that others saw servers end under. */
static void
tell_proofs (const Witness *witness)
{
  uint64_t contents[MESH_CONTENTS_MOST];
  MeshMsg msg = { .kind = MESH_ANSWERED };
  unsigned count = quar_proofs (witness->quar, contents, MESH_CONTENTS_MOST);

  if (count == 0 || witness->voter == NULL)
    return;
  msg.MeshMsg_u.answered.contents.contents_len = count;
  msg.MeshMsg_u.answered.contents.contents_val = contents;
  mesh_send (witness->voter, &msg);
}

/* ---- Hearing ---- */

static bool
any_report_of (const Witness *witness, const char *server)
{
  for (unsigned i = 0; i < witness->reports->len; i++)
    if (strcmp (((const Report *) witness->reports->pdata[i])->server, server) == 0)
      return true;
  return false;
}

static void
take_known (Witness *witness, uint64_t number)
{
  for (unsigned i = 0; i < witness->reports->len; i++)
    {
      const Report *report = witness->reports->pdata[i];
      if (report->number != number)
        continue;
      char *server = g_strdup (report->server);
      g_ptr_array_remove_index (witness->reports, i);
      if (!any_report_of (witness, server))
        quar_acknowledged (witness->quar, server);
      g_free (server);
      return;
    }
}

static void
take_account (Witness *witness, const MeshBlamed *blamed)
{
  unsigned count = blamed->suspects.suspects_len;
  QuarRecord *records = g_new0 (QuarRecord, MAX (count, 1));

  for (unsigned i = 0; i < count; i++)
    {
      const MeshSuspect *from = &blamed->suspects.suspects_val[i];
      records[i] = (QuarRecord){ .content = from->content,
                                 .ends = from->ends,
                                 .servers = from->servers.servers_val,
                                 .server_count = from->servers.servers_len };
    }
  bool taken = quar_account (witness->quar, blamed->index, records, count);
  g_free (records);
  if (!taken)
    return;
  jlog (JLOG_INFO, "account", NULL, JL_INT ("index", blamed->index), JL_INT ("suspects", count),
        JL_INT ("quarantined", quar_held (witness->quar)));
  tell_proofs (witness);
  witness->changed (witness->host);
}

typedef struct
{
  const MeshPeer *source;
  const MeshMsg *msg;
} Relay;

static void
pass_on (MeshPeer *peer, void *data)
{
  const Relay *relay = data;

  if (!peer->dialled && peer->role == MESH_ENTRY && peer != relay->source)
    mesh_send (peer, relay->msg);
}

/* Another entry saw an end, while no voter is in charge. A deputy, to which it comes on a link that
 * the other one dialled, passes it on. */
static void
take_heard (Witness *witness, const MeshPeer *peer, const MeshMsg *msg)
{
  const MeshEnded *ended = &msg->MeshMsg_u.ended;
  Relay relay = { peer, msg };

  for (unsigned i = 0; i < ended->contents.contents_len; i++)
    quar_ended (witness->quar, ended->contents.contents_val[i], ended->server, false);
  if (!peer->dialled && witness->voter == NULL)
    mesh_for_each_peer (witness->mesh, pass_on, &relay);
  witness->changed (witness->host);
}

bool
witness_message (Witness *witness, MeshPeer *peer, const MeshMsg *msg)
{
  switch (msg->kind)
    {
    case MESH_ENDED:
      take_heard (witness, peer, msg);
      return true;
    case MESH_ENDED_KNOWN:
      take_known (witness, msg->MeshMsg_u.known.number);
      return true;
    case MESH_BLAMED:
      take_account (witness, &msg->MeshMsg_u.blamed);
      return true;
    default:
      return false;
    }
}

void
witness_voter (Witness *witness, MeshPeer *voter)
{
  if (witness->voter == voter)
    return;
  witness->voter = voter;
  if (voter == NULL)
    return;
  for (unsigned i = 0; i < witness->reports->len; i++)
    tell (witness, witness->reports->pdata[i]);
  tell_proofs (witness);
}

void
witness_down (Witness *witness, const MeshPeer *peer)
{
  if (witness->voter == peer)
    witness->voter = NULL;
}

void
witness_tick (Witness *witness)
{
  int64_t since = loop_now (witness->loop) - TELL_AGAIN;

  quar_tick (witness->quar, witness->voter != NULL);
  for (unsigned i = 0; witness->voter && i < witness->reports->len; i++)
    {
      Report *report = witness->reports->pdata[i];
      if (report->told_at < since)
        tell (witness, report);
    }
}

/* ---- What requests came to ---- */

QuarVerdict
witness_judge (const Witness *witness, uint64_t content)
{
  return quar_judge (witness->quar, content);
}

void
witness_broke (Witness *witness, const char *server, SockAddr addr, uint64_t content,
               const char *request)
{
  ends_broke (witness->ends, server, addr, content, request);
}

void
witness_left (Witness *witness, const char *server, uint64_t content, const char *request)
{
  ends_left (witness->ends, server, content, request);
}

void
witness_refused (Witness *witness, const char *server)
{
  ends_refused (witness->ends, server);
}

void
witness_answered (Witness *witness, const char *server, uint64_t content, int64_t sent_at)
{
  MeshMsg msg = { .kind = MESH_SURVIVED };

  if (quar_answered (witness->quar, content))
    tell_proofs (witness);
  if (witness->voter == NULL || !quar_server_lives (witness->quar, server, sent_at))
    return;
  msg.MeshMsg_u.survived.server = (char *) server;
  mesh_send (witness->voter, &msg);
}

/* ---- The module ---- */

void
witness_describe (const Witness *witness, GString *out)
{
  g_string_append_printf (out, "foxtail_quarantined %u\nfoxtail_reports_untold %u\n",
                          quar_held (witness->quar), witness->reports->len);
}

Witness *
witness_new (Loop *loop, Mesh *mesh, HCli *cli, void (*changed) (void *host), void *host)
{
  Witness *witness = g_new0 (Witness, 1);

  witness->loop = loop;
  witness->mesh = mesh;
  witness->changed = changed;
  witness->host = host;
  witness->quar = quar_new (loop_clock (loop));
  witness->ends = ends_new (loop, cli, on_ended, witness);
  witness->reports = g_ptr_array_new_with_free_func (report_free);
  return witness;
}

void
witness_free (Witness *witness)
{
  if (witness == NULL)
    return;
  ends_free (witness->ends);
  quar_free (witness->quar);
  g_ptr_array_unref (witness->reports);
  g_free (witness);
}
