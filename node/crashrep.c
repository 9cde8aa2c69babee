/* crashrep.c - reports the server crashes that an entry detects to all other instances.
 *
 * A report is sent to the voter in charge, and resent to it or its successor until it is in the
 * log. While no voter is in charge, deputies forward reports, also those that the last voter has
 * not acknowledged, to the entries that have connected to them. This is not stored, and the voters
 * still receive the reports later.
 */
#include "crashrep.h"
#include "content.h"
#include "count.h"
#include "jlog.h"

#include <string.h>

/* Two syncs of a slow disk, and the round trip. */
#define RESEND_INTERVAL (400 * FT_MS)
/* Unacknowledged reports, about 200 bytes each. */
#define REPORTS_MAX      256
#define LOGGED_PARTS_MAX 12  /* keys of parts in a line of the log */
#define KEYS_MAX         256 /* to which this instance charges one crash */

typedef struct
{
  uint64_t number;
  char *server;
  int64_t crashed_at, sent_at; /* sent_at 0: not sent to a voter yet */
  bool forwarded;              /* sent to the deputies, while no voter was in charge */
  uint64_t contents[MESH_CONTENTS_MAX];
  unsigned count;
} Report;

struct CrashReporter
{
  Loop *loop;
  Mesh *mesh;
  Quarantine *quar;
  CrashDetector *detector;
  void (*changed) (void *host);
  void *host;
  MeshPeer *voter;    /* the voter in charge; NULL: none is reachable */
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

/* ---- Sending ---- */

static void
send_to_deputy (MeshPeer *peer, void *data)
{
  if (peer->dialled && peer->role == MESH_ENTRY)
    mesh_send (peer, data);
}

static void
send_report (CrashReporter *reporter, Report *report)
{
  int64_t now = loop_now (reporter->loop);
  MeshMsg msg = { .kind = MESH_CRASH };

  msg.MeshMsg_u.ended = (MeshCrash){ .number = report->number,
                                     .server = report->server,
                                     .age_ms = (u_int) ((now - report->crashed_at) / FT_MS),
                                     .contents = { report->count, report->contents } };
  if (reporter->voter)
    {
      mesh_send (reporter->voter, &msg);
      report->sent_at = now;
    }
  else
    {
      mesh_for_each_peer (reporter->mesh, send_to_deputy, &msg);
      report->forwarded = true;
    }
}

/* Whether the report is to be sent again to the voter, or still to the deputies. A voter that loses
 * charge may have stalled before, so what it has not acknowledged goes to the deputies too. */
static bool
is_due (const CrashReporter *reporter, const Report *report)
{
  if (reporter->voter == NULL)
    return !report->forwarded;
  return report->sent_at < loop_now (reporter->loop) - RESEND_INTERVAL;
}

static void
log_run (const CrashReporter *reporter, const char *server, const CrashRun *run, uint64_t report)
{
  GString *parts = g_string_new (NULL);
  char content[CONTENT_ID_SIZE];

  fingerprint_append_parts (run->print, LOGGED_PARTS_MAX, parts);
  jlog (JLOG_INFO, "ran-at-end", run->request, JL_TEXT ("server", server),
        JL_TEXT ("content", content_format (run->print->keys[0], content)),
        JL_INT ("ends", quar_check (reporter->quar, run->print->keys[0]).ends),
        JL_INT ("events", run->events), JL_INT ("part_count", run->print->count - 1),
        JL_TEXT ("parts", parts->str), JL_INT ("report", report));
  g_string_free (parts, TRUE);
}

/* ---- Reports ---- */

static void
add_key (GArray *keys, GHashTable *added, uint64_t key)
{
  if (keys->len < KEYS_MAX && g_hash_table_add (added, g_memdup2 (&key, sizeof key)))
    g_array_append_val (keys, key);
}

/* Appends the parts that have crashes already, or those that have none. */
static void
add_parts (const CrashReporter *reporter, const CrashRun *run, bool suspect, GArray *keys,
           GHashTable *added)
{
  for (unsigned i = 1; i < run->print->count; i++)
    if ((quar_check (reporter->quar, run->print->keys[i]).ends > 0) == suspect)
      add_key (keys, added, run->print->keys[i]);
}

/* The keys to which a crash is charged: the contents of all runs, and the parts of those of whose
 * answer nothing had come, since a part that crashes servers does so before. Parts that have
 * crashes already come first, so that one request with very many parts cannot leave them out. */
static GArray *
charged_keys (const CrashReporter *reporter, const CrashRun *runs, unsigned count)
{
  GArray *keys = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTable *added = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);

  for (unsigned i = 0; i < count; i++)
    add_key (keys, added, runs[i].print->keys[0]);
  for (unsigned pass = 0; pass < 2; pass++)
    for (unsigned i = 0; i < count; i++)
      if (runs[i].events == 0)
        add_parts (reporter, &runs[i], pass == 0, keys, added);
  g_hash_table_unref (added);
  return keys;
}

static void
queue_report (CrashReporter *reporter, const char *server, int64_t at, const uint64_t *keys,
              unsigned count)
{
  Report *report = g_new0 (Report, 1);

  report->number = ++reporter->next_number;
  report->server = g_strdup (server);
  report->crashed_at = at;
  report->count = count;
  memcpy (report->contents, keys, count * sizeof *keys);
  if (reporter->reports->len >= REPORTS_MAX)
    {
      jlog (JLOG_WARN, "report-dropped", NULL,
            JL_INT ("report", ((const Report *) reporter->reports->pdata[0])->number));
      g_ptr_array_remove_index (reporter->reports, 0);
    }
  g_ptr_array_add (reporter->reports, report);
  send_report (reporter, report);
}

static void
on_crash (void *host, const char *server, int64_t at, const CrashRun *runs, unsigned count)
{
  CrashReporter *reporter = host;
  GArray *keys = charged_keys (reporter, runs, count);

  count_inc (COUNT_SERVER_ENDS);
  for (unsigned i = 0; i < keys->len; i++)
    quar_add_crash (reporter->quar, g_array_index (keys, uint64_t, i), server, true);
  for (unsigned i = 0; i < count; i++)
    log_run (reporter, server, &runs[i], reporter->next_number + 1);
  for (unsigned i = 0; i < keys->len; i += MESH_CONTENTS_MAX)
    queue_report (reporter, server, at, &g_array_index (keys, uint64_t, i),
                  MIN (keys->len - i, MESH_CONTENTS_MAX));
  g_array_unref (keys);
  reporter->changed (reporter->host);
}

/* Tells the voter which keys of the crash table were answered here. */
static void
send_recent_answers (const CrashReporter *reporter)
{
  uint64_t contents[MESH_CONTENTS_MAX];
  MeshMsg msg = { .kind = MESH_ANSWERED };
  unsigned count = quar_recently_answered (reporter->quar, contents, MESH_CONTENTS_MAX);

  if (count == 0 || reporter->voter == NULL)
    return;
  msg.MeshMsg_u.answered.contents.contents_len = count;
  msg.MeshMsg_u.answered.contents.contents_val = contents;
  mesh_send (reporter->voter, &msg);
}

/* ---- Receiving ---- */

static bool
has_report_of (const CrashReporter *reporter, const char *server)
{
  for (unsigned i = 0; i < reporter->reports->len; i++)
    if (strcmp (((const Report *) reporter->reports->pdata[i])->server, server) == 0)
      return true;
  return false;
}

static void
handle_acknowledged (CrashReporter *reporter, uint64_t number)
{
  for (unsigned i = 0; i < reporter->reports->len; i++)
    {
      const Report *report = reporter->reports->pdata[i];
      if (report->number != number)
        continue;
      char *server = g_strdup (report->server);
      g_ptr_array_remove_index (reporter->reports, i);
      if (!has_report_of (reporter, server))
        quar_crash_recorded (reporter->quar, server);
      g_free (server);
      return;
    }
}

static void
handle_crash_table (CrashReporter *reporter, const MeshCrashTable *blamed)
{
  unsigned count = blamed->suspects.suspects_len;
  QuarRecord *records = g_new0 (QuarRecord, MAX (count, 1));

  for (unsigned i = 0; i < count; i++)
    {
      const MeshSuspect *from = &blamed->suspects.suspects_val[i];
      records[i] = (QuarRecord){ .key = from->content,
                                 .ends = from->ends,
                                 .servers = from->servers.servers_val,
                                 .server_count = from->servers.servers_len };
    }
  bool applied = quar_update_table (reporter->quar, blamed->index, records, count);
  g_free (records);
  if (!applied)
    return;
  jlog (JLOG_INFO, "account", NULL, JL_INT ("index", blamed->index), JL_INT ("suspects", count),
        JL_INT ("quarantined", quar_count_blocked (reporter->quar)));
  send_recent_answers (reporter);
  reporter->changed (reporter->host);
}

typedef struct
{
  const MeshPeer *source;
  const MeshMsg *msg;
} Forward;

static void
forward (MeshPeer *peer, void *data)
{
  const Forward *context = data;

  if (!peer->dialled && peer->role == MESH_ENTRY && peer != context->source)
    mesh_send (peer, context->msg);
}

/* Another entry has detected a crash while no voter is in charge. A deputy, which receives the
 * report on a link that the other entry opened, forwards it. */
static void
handle_remote_crash (CrashReporter *reporter, const MeshPeer *peer, const MeshMsg *msg)
{
  const MeshCrash *ended = &msg->MeshMsg_u.ended;
  Forward context = { peer, msg };

  for (unsigned i = 0; i < ended->contents.contents_len; i++)
    quar_add_crash (reporter->quar, ended->contents.contents_val[i], ended->server, false);
  if (!peer->dialled && reporter->voter == NULL)
    mesh_for_each_peer (reporter->mesh, forward, &context);
  reporter->changed (reporter->host);
}

bool
crashrep_message (CrashReporter *reporter, MeshPeer *peer, const MeshMsg *msg)
{
  switch (msg->kind)
    {
    case MESH_CRASH:
      handle_remote_crash (reporter, peer, msg);
      return true;
    case MESH_CRASH_ACK:
      handle_acknowledged (reporter, msg->MeshMsg_u.known.number);
      return true;
    case MESH_CRASH_TABLE:
      handle_crash_table (reporter, &msg->MeshMsg_u.blamed);
      return true;
    default:
      return false;
    }
}

void
crashrep_set_voter (CrashReporter *reporter, MeshPeer *voter)
{
  if (reporter->voter == voter)
    return;
  reporter->voter = voter;
  if (voter == NULL)
    return;
  for (unsigned i = 0; i < reporter->reports->len; i++)
    send_report (reporter, reporter->reports->pdata[i]);
  send_recent_answers (reporter);
}

void
crashrep_peer_down (CrashReporter *reporter, const MeshPeer *peer)
{
  if (reporter->voter == peer)
    reporter->voter = NULL;
}

void
crashrep_tick (CrashReporter *reporter)
{
  quar_tick (reporter->quar, reporter->voter != NULL);
  for (unsigned i = 0; i < reporter->reports->len; i++)
    if (is_due (reporter, reporter->reports->pdata[i]))
      send_report (reporter, reporter->reports->pdata[i]);
}

/* ---- Results of requests ---- */

QuarVerdict
crashrep_check (const CrashReporter *reporter, const Fingerprint *print)
{
  return quar_check_keys (reporter->quar, print->keys, print->count);
}

void
crashrep_connection_lost (CrashReporter *reporter, const LifetimeTarget *server,
                          const CrashRun *run)
{
  crashdet_connection_lost (reporter->detector, server, run);
}

void
crashrep_abandoned (CrashReporter *reporter, const char *server, const CrashRun *run)
{
  crashdet_abandoned (reporter->detector, server, run);
}

void
crashrep_refused (CrashReporter *reporter, const char *server)
{
  crashdet_refused (reporter->detector, server);
}

/* The server has sent something after sent_at, which disproves a crash that was reported before. */
static void
retract_crash (const CrashReporter *reporter, const char *server, int64_t sent_at)
{
  MeshMsg msg = { .kind = MESH_CRASH_RETRACTED };

  if (reporter->voter == NULL || !quar_crash_disproved (reporter->quar, server, sent_at))
    return;
  msg.MeshMsg_u.survived.server = (char *) server;
  mesh_send (reporter->voter, &msg);
}

void
crashrep_began (CrashReporter *reporter, const Fingerprint *print)
{
  bool charged = false;

  for (unsigned i = 1; i < print->count; i++)
    charged |= quar_answered (reporter->quar, print->keys[i]);
  if (charged)
    send_recent_answers (reporter);
}

void
crashrep_answered (CrashReporter *reporter, const char *server, const Fingerprint *print,
                   int64_t sent_at)
{
  if (quar_answered (reporter->quar, print->keys[0]))
    send_recent_answers (reporter);
  retract_crash (reporter, server, sent_at);
}

/* ---- Construction ---- */

void
crashrep_describe (const CrashReporter *reporter, GString *out)
{
  g_string_append_printf (out, "foxtail_quarantined %u\nfoxtail_reports_untold %u\n",
                          quar_count_blocked (reporter->quar), reporter->reports->len);
}

CrashReporter *
crashrep_new (Loop *loop, Mesh *mesh, HCli *cli, Egress *egress, Lifetimes *lifetimes,
              void (*changed) (void *host), void *host)
{
  CrashReporter *reporter = g_new0 (CrashReporter, 1);

  reporter->loop = loop;
  reporter->mesh = mesh;
  reporter->changed = changed;
  reporter->host = host;
  reporter->quar = quar_new (loop_clock (loop));
  reporter->detector = crashdet_new (loop, cli, egress, lifetimes, on_crash, reporter);
  reporter->reports = g_ptr_array_new_with_free_func (report_free);
  return reporter;
}

void
crashrep_free (CrashReporter *reporter)
{
  if (reporter == NULL)
    return;
  crashdet_free (reporter->detector);
  quar_free (reporter->quar);
  g_ptr_array_unref (reporter->reports);
  g_free (reporter);
}
