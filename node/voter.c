/* voter.c - runs raft.c in a thread of its own, because a sync blocks on the disk.
 *
 * A disk can stall for seconds. With the log in the loop's thread, scheduling and operators' calls
 * would stall with it. Here only the log's thread blocks. A blocked leader sends no heartbeats, so
 * the others elect a new one, and voter_status reports this one as no longer proved as soon as its
 * lease has expired.
 */
#include "voter.h"
#include "disk.h"
#include "fatal.h"
#include "jlog.h"
#include "raft.h"

#include <errno.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

#define TICK_US         (20 * 1000)   /* a fifth of the log's heartbeat interval */
#define REOPEN_INTERVAL (500 * FT_MS) /* after a write error: space may have been freed */
#define SNAPSHOT_AFTER  48            /* entries, usually packed documents of 10 to 100 KB each */
#define QUEUED_MAX      (16u << 20) /* bytes of documents that the log's thread has not taken yet */
#define SNAPSHOT_BYTES  (8u << 20)  /* of entries; a sixteenth of the smallest disk */

typedef enum
{
  WORK_NONE,
  WORK_MESSAGE,
  WORK_ADD_PEER,
  WORK_PROPOSE,
  WORK_PROPOSE_OP,
  WORK_TRANSFER
} WorkKind;

typedef struct
{
  WorkKind kind;
  uint32_t from;
  uint64_t ticket, number;
  GByteArray *bytes;
} Work;

typedef enum
{
  REPORT_SEND,
  REPORT_VERDICT,
  REPORT_DOCUMENT,
  REPORT_CRASHES,
  REPORT_ROLLOUTS,
  REPORT_LISTED,
  REPORT_NOT_PACKED
} ReportKind;

typedef struct
{
  Voter *voter;
  ReportKind kind;
  uint32_t to;
  uint64_t ticket;
  FtStatus status;
  GByteArray *bytes;
} Report;

typedef struct
{
  uint64_t ticket, index, term;
} Pending;

/* A copy of one table of the replicated state, for the loop's thread. */
typedef struct
{
  GBytes *packed; /* under lock */
  bool reported;  /* under lock; a report of a change is queued for the loop */
  uint64_t index; /* log index of the content of packed; used by the log's thread only */
} TableCopy;

struct Voter
{
  FtClock clock;
  FtRandom random;
  Loop *loop;
  const VoterOps *ops;
  void *host;
  FtDisk *disk;
  State *state;
  Raft *raft;
  GArray *pending; /* Pending, in order of index */
  RaftConf conf;
  uint32_t seeds[FT_VOTERS_MAX];
  int64_t reopen_at;
  pthread_t thread;
  char fatal_stack[FATAL_STACK_SIZE];
  pthread_mutex_t lock;
  pthread_cond_t wake;
  GQueue queue;        /* Work; under lock */
  size_t queued_bytes; /* of documents in queue; under lock */
  bool stopped;
  VoterStatus status;   /* under lock */
  int64_t proved_until; /* under lock */
  uint64_t number;      /* under lock, as are the next four */
  GBytes *document;     /* packed document of that number */
  GBytes *text;         /* unpacked; NULL: it cannot be unpacked */
  RtCat *cat;           /* parsed; NULL: it is invalid */
  FtError error;        /* why cat is NULL */
  TableCopy crashes, rollouts, listed;
  uint64_t next_ticket; /* used by the loop's thread only */
};

static int64_t
now_us (FtClock *clock)
{
  struct timespec at;

  (void) clock;
  clock_gettime (CLOCK_BOOTTIME, &at);
  return (int64_t) at.tv_sec * FT_SECOND + at.tv_nsec / 1000;
}

static uint64_t
random_next (FtRandom *random)
{
  uint64_t bits = 0;

  (void) random;
  if (getrandom (&bits, sizeof bits, 0) != sizeof bits)
    bits = (uint64_t) now_us (NULL) * 0x9e3779b97f4a7c15u;
  return bits;
}

static const FtClockOps clock_ops = { now_us };
static const FtRandomOps random_ops = { random_next };

/* ---- Reports to the loop ---- */

/* Clears the flag before the table is read, so that any later change is reported again. */
static void
clear_reported (Voter *voter, TableCopy *table)
{
  pthread_mutex_lock (&voter->lock);
  table->reported = false;
  pthread_mutex_unlock (&voter->lock);
}

static void
deliver_report (void *data)
{
  Report *report = data;
  Voter *voter = report->voter;

  switch (report->kind)
    {
    case REPORT_SEND:
      voter->ops->send (voter->host, report->to, report->bytes);
      break;
    case REPORT_VERDICT:
      voter->ops->verdict (voter->host, report->ticket, report->status);
      break;
    case REPORT_DOCUMENT:
      voter->ops->committed (voter->host);
      break;
    case REPORT_CRASHES:
      clear_reported (voter, &voter->crashes);
      voter->ops->crashes_changed (voter->host);
      break;
    case REPORT_ROLLOUTS:
      clear_reported (voter, &voter->rollouts);
      voter->ops->rollouts_changed (voter->host);
      break;
    case REPORT_LISTED:
      clear_reported (voter, &voter->listed);
      voter->ops->listed_changed (voter->host);
      break;
    case REPORT_NOT_PACKED:
      jlog (JLOG_ERROR, "table-not-packed", NULL, JL_TEXT ("kept", "the one before"));
      break;
    }
  g_free (report);
}

static void
report (Voter *voter, Report from)
{
  from.voter = voter;
  loop_post (voter->loop, deliver_report, g_memdup2 (&from, sizeof from));
}

/* Frees a report of this voter that will not be delivered. */
static bool
discard_report (void *data, const void *owner)
{
  Report *report = data;

  if (report->voter != owner)
    return false;
  if (report->bytes)
    g_byte_array_unref (report->bytes);
  g_free (report);
  return true;
}

static void
on_send (void *host, uint32_t to, GByteArray *bytes)
{
  report (host, (Report){ .to = to, .bytes = bytes });
}

static void
report_verdicts (Voter *voter, uint64_t index)
{
  while (voter->pending->len > 0)
    {
      const Pending *first = &g_array_index (voter->pending, Pending, 0);
      if (first->index > index)
        return;
      /* The log entry at that index is this proposal only if the term has not changed since. */
      bool ours = first->index == index && first->term == raft_term (voter->raft);
      report (voter, (Report){ .kind = REPORT_VERDICT,
                               .ticket = first->ticket,
                               .status = ours ? FT_OK : FT_NOT_LEADER });
      g_array_remove_index (voter->pending, 0);
    }
}

static void
unref_document (GBytes *document, GBytes *text, RtCat *cat)
{
  if (document)
    g_bytes_unref (document);
  if (text)
    g_bytes_unref (text);
  rt_cat_unref (cat);
}

/* Stores the newest document for the loop's thread.
 *
 * It is stored before the proposal's verdict is reported; otherwise an operator who reads a change
 * back right after its acknowledgement could get the older document.
 *
 * It is parsed here, in the log's thread: on a fraction of a core, parsing a catalogue of 1,500
 * routes in the loop delayed grants and views by 50 ms and more. */
static void
store_document (Voter *voter)
{
  const MsgDocument *document = state_document (voter->state);
  FtError error = { 0 };
  GBytes *text = NULL;
  RtCat *cat = NULL;

  if (document == NULL || document->number <= voter->number)
    return;
  GBytes *bytes = g_bytes_new (document->text.text_val, document->text.text_len);
  if (voter->ops->parse)
    cat = voter->ops->parse (voter->host, bytes, document->number, &text, &error);
  pthread_mutex_lock (&voter->lock);
  GBytes *old = voter->document, *old_text = voter->text;
  RtCat *old_cat = voter->cat;
  voter->document = bytes;
  voter->text = text;
  voter->cat = cat;
  voter->error = error;
  voter->number = document->number;
  pthread_mutex_unlock (&voter->lock);
  unref_document (old, old_text, old_cat);
  report (voter, (Report){ .kind = REPORT_DOCUMENT });
}

/* Stores a table for the loop's thread, also before the verdict of the change is reported. Takes
 * ownership of bytes. NULL: it exceeds a bound, and the copy before is kept.
 *
 * At most one report is queued at a time. If many changes are committed while the loop waits for
 * the CPU, it would otherwise read the whole newest table once for each of them. */
static void
store_table (Voter *voter, TableCopy *table, uint64_t index, GByteArray *bytes, ReportKind kind)
{
  table->index = index;
  if (bytes == NULL)
    {
      report (voter, (Report){ .kind = REPORT_NOT_PACKED });
      return;
    }
  pthread_mutex_lock (&voter->lock);
  GBytes *old = table->packed;
  table->packed = g_byte_array_free_to_bytes (bytes);
  bool reported = table->reported;
  table->reported = true;
  pthread_mutex_unlock (&voter->lock);
  if (old)
    g_bytes_unref (old);
  if (!reported)
    report (voter, (Report){ .kind = kind });
}

static void
store_crashes (Voter *voter)
{
  const CrashTable *crashes = state_crashes (voter->state);
  MsgCrashTable captured = { 0 };

  if (crashes_index (crashes) == voter->crashes.index)
    return;
  crashes_capture (crashes, 0, &captured);
  store_table (voter, &voter->crashes, crashes_index (crashes),
               codec_pack (CODEC (MsgCrashTable), &captured), REPORT_CRASHES);
  g_free (captured.suspects.suspects_val);
}

static void
store_rollouts (Voter *voter)
{
  const RolloutTable *table = state_rollouts (voter->state);
  MsgRollouts captured = { 0 };

  if (roll_index (table) == voter->rollouts.index)
    return;
  roll_capture (table, &captured);
  store_table (voter, &voter->rollouts, roll_index (table),
               codec_pack (CODEC (MsgRollouts), &captured), REPORT_ROLLOUTS);
  g_free (captured.rollouts.rollouts_val);
}

static void
store_listed (Voter *voter)
{
  const ListedTable *table = state_listed (voter->state);
  MsgListedTable captured = { 0 };

  if (listed_index (table) == voter->listed.index)
    return;
  listed_capture (table, &captured);
  store_table (voter, &voter->listed, listed_index (table),
               codec_pack (CODEC (MsgListedTable), &captured), REPORT_LISTED);
  g_free (captured.services.services_val);
}

/* Updates all copies that the loop's thread reads. */
static void
store_all (Voter *voter)
{
  store_document (voter);
  store_crashes (voter);
  store_rollouts (voter);
  store_listed (voter);
}

static void
on_apply (void *host, uint64_t index, const MsgOp *op, const StateResult *verdict)
{
  Voter *voter = host;

  (void) verdict;
  (void) op;
  store_all (voter);
  report_verdicts (voter, index);
}

static const RaftOps raft_ops = { on_send, on_apply };

/* ---- The thread ---- */

static void
propose (Voter *voter, uint64_t ticket, const MsgOp *op)
{
  Pending pending = { .ticket = ticket };
  FtStatus status = raft_propose (voter->raft, op, &pending.index);

  if (status != FT_OK)
    {
      report (voter, (Report){ .kind = REPORT_VERDICT, .ticket = ticket, .status = status });
      return;
    }
  pending.term = raft_term (voter->raft);
  g_array_append_val (voter->pending, pending);
}

static void
propose_document (Voter *voter, const Work *work)
{
  MsgOp op = { .kind = MSG_OP_DOCUMENT };

  op.MsgOp_u.document.number = work->number;
  op.MsgOp_u.document.text.text_val = (char *) work->bytes->data;
  op.MsgOp_u.document.text.text_len = work->bytes->len;
  propose (voter, work->ticket, &op);
}

static void
propose_op (Voter *voter, const Work *work)
{
  MsgOp op = { 0 };

  if (work->bytes
      && codec_unpack (CODEC (MsgOp), work->bytes->data, work->bytes->len, &op, NULL) == FT_OK)
    propose (voter, work->ticket, &op);
  else
    report (voter,
            (Report){ .kind = REPORT_VERDICT, .ticket = work->ticket, .status = FT_INVALID });
  codec_clear (CODEC (MsgOp), &op);
}

static void
work_free (void *data)
{
  Work *work = data;

  if (work->bytes)
    g_byte_array_unref (work->bytes);
  g_free (work);
}

static void
handle_work (Voter *voter, Work *work)
{
  Msg msg = { 0 };

  if (voter->raft == NULL && (work->kind == WORK_PROPOSE || work->kind == WORK_PROPOSE_OP))
    report (voter, (Report){ .kind = REPORT_VERDICT, .ticket = work->ticket, .status = FT_IO });
  switch (voter->raft ? work->kind : WORK_NONE)
    {
    case WORK_NONE:
      break;
    case WORK_MESSAGE:
      if (codec_unpack (CODEC (Msg), work->bytes->data, work->bytes->len, &msg, NULL) == FT_OK)
        raft_receive (voter->raft, work->from, &msg);
      codec_clear (CODEC (Msg), &msg);
      break;
    case WORK_ADD_PEER:
      raft_add_peer (voter->raft, work->from);
      break;
    case WORK_PROPOSE:
      propose_document (voter, work);
      break;
    case WORK_PROPOSE_OP:
      propose_op (voter, work);
      break;
    case WORK_TRANSFER:
      raft_transfer_leadership (voter->raft);
      break;
    }
  work_free (work);
}

static void
publish_status (Voter *voter)
{
  VoterStatus status = { 0 };

  status.term = raft_term (voter->raft);
  status.leader = raft_leader (voter->raft);
  status.broken = raft_storage_failed (voter->raft);
  status.member = raft_is_member (voter->raft);
  status.count = raft_voters (voter->raft, status.voters);
  int64_t until = raft_lease_until (voter->raft);
  pthread_mutex_lock (&voter->lock);
  voter->status = status;
  voter->proved_until = until;
  pthread_mutex_unlock (&voter->lock);
}

static FtStatus
open_log (Voter *voter, FtError *error)
{
  voter->state = state_new ();
  FtStatus status = raft_new (&voter->conf, &voter->clock, &voter->random, voter->disk,
                              voter->state, &raft_ops, voter, &voter->raft, error);

  if (status == FT_OK)
    return FT_OK;
  state_free (voter->state);
  voter->state = NULL;
  return status;
}

/* A damaged folder counts as a lost one: its files are kept under other names, and the voter takes
 * a new identity, which the other voters add as after the loss of a disk. It forms no voter set by
 * itself, since what is damaged may have been acknowledged. */
static FtStatus
start_over (Voter *voter, FtError *error)
{
  static const char *const names[] = { "log", "snap", "ident" };
  FtStatus status = FT_OK;

  jlog (JLOG_ERROR, "folder-damaged", NULL, JL_TEXT ("file", error->field),
        JL_TEXT ("why", error->text), JL_TEXT ("kept", "as *.damaged"));
  for (unsigned i = 0; i < G_N_ELEMENTS (names) && status == FT_OK; i++)
    status = disk_set_aside (voter->disk, names[i]);
  if (status != FT_OK)
    return ft_error_set (error, status, 0, "data_folder", "the damaged files cannot be renamed");
  voter->conf.may_bootstrap = false;
  return open_log (voter, error);
}

/* Reloads the log after a storage failure, once a sync has succeeded and so shown that the content
 * of the files is durable. Without this a voter whose disk rejected writes for a while would stay
 * out until it is restarted, and the loss of a second voter could stop the log. */
static void
reopen (Voter *voter)
{
  if (voter->raft && !raft_storage_failed (voter->raft))
    return;
  int64_t now = now_us (NULL);
  if (now < voter->reopen_at)
    return;
  voter->reopen_at = now + REOPEN_INTERVAL;
  if (voter->disk->ops->sync (voter->disk, "log") != FT_OK)
    return;
  raft_free (voter->raft);
  state_free (voter->state);
  voter->raft = NULL;
  voter->state = NULL;
  g_array_set_size (voter->pending, 0);
  open_log (voter, NULL);
}

/* The copies are updated in every iteration, because a snapshot from the leader changes the state
 * without on_apply being called. */
static void
iterate (Voter *voter, GQueue *work)
{
  Work *one;

  reopen (voter);
  while ((one = g_queue_pop_head (work)) != NULL)
    handle_work (voter, one);
  if (voter->raft == NULL)
    return;
  raft_tick (voter->raft);
  raft_flush (voter->raft);
  store_all (voter);
  publish_status (voter);
}

static void *
run (void *data)
{
  Voter *voter = data;

  fatal_init_thread (voter->fatal_stack);
  pthread_mutex_lock (&voter->lock);
  while (!voter->stopped)
    {
      struct timespec until;
      clock_gettime (CLOCK_MONOTONIC, &until);
      until.tv_nsec += TICK_US * 1000;
      until.tv_sec += until.tv_nsec / 1000000000;
      until.tv_nsec %= 1000000000;
      while (!voter->stopped && g_queue_is_empty (&voter->queue)
             && pthread_cond_timedwait (&voter->wake, &voter->lock, &until) != ETIMEDOUT)
        ;
      GQueue work = voter->queue;
      g_queue_init (&voter->queue);
      voter->queued_bytes = 0;
      pthread_mutex_unlock (&voter->lock);
      iterate (voter, &work);
      pthread_mutex_lock (&voter->lock);
    }
  pthread_mutex_unlock (&voter->lock);
  return NULL;
}

static void
queue_work (Voter *voter, Work from)
{
  Work *work = g_memdup2 (&from, sizeof from);

  pthread_mutex_lock (&voter->lock);
  g_queue_push_tail (&voter->queue, work);
  pthread_cond_signal (&voter->wake);
  pthread_mutex_unlock (&voter->lock);
}

/* ---- Interface ---- */

/* The thread has ended, or was not started. */
static void
destroy (Voter *voter)
{
  g_queue_clear_full (&voter->queue, work_free);
  loop_withdraw (voter->loop, deliver_report, discard_report, voter);
  raft_free (voter->raft);
  state_free (voter->state);
  if (voter->disk)
    disk_free (voter->disk);
  g_array_unref (voter->pending);
  unref_document (voter->document, voter->text, voter->cat);
  if (voter->crashes.packed)
    g_bytes_unref (voter->crashes.packed);
  if (voter->rollouts.packed)
    g_bytes_unref (voter->rollouts.packed);
  if (voter->listed.packed)
    g_bytes_unref (voter->listed.packed);
  pthread_mutex_destroy (&voter->lock);
  pthread_cond_destroy (&voter->wake);
  g_free (voter);
}

FtStatus
voter_new (const VoterConf *conf, Loop *loop, const VoterOps *ops, void *host, Voter **out,
           FtError *error)
{
  Voter *voter = g_new0 (Voter, 1);
  pthread_condattr_t attributes;

  voter->clock.ops = &clock_ops;
  voter->random.ops = &random_ops;
  voter->loop = loop;
  voter->ops = ops;
  voter->host = host;
  voter->pending = g_array_new (FALSE, FALSE, sizeof (Pending));
  g_queue_init (&voter->queue);
  pthread_mutex_init (&voter->lock, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&voter->wake, &attributes);
  memcpy (voter->seeds, conf->seeds, conf->seed_count * sizeof *conf->seeds);
  voter->conf = (RaftConf){ .self = conf->self,
                            .voters = voter->seeds,
                            .count = conf->seed_count,
                            .snapshot_after = SNAPSHOT_AFTER,
                            .snapshot_bytes = SNAPSHOT_BYTES,
                            .discover = true,
                            .may_bootstrap = conf->may_bootstrap,
                            .min_voters = 2 * conf->losses + 1 };
  FtStatus status = disk_new (conf->folder, &voter->disk, error);
  if (status == FT_OK)
    status = open_log (voter, error);
  if (status == FT_CORRUPT)
    status = start_over (voter, error);
  if (status == FT_OK)
    {
      store_all (voter);
      publish_status (voter);
      if (pthread_create (&voter->thread, NULL, run, voter) == 0)
        {
          *out = voter;
          return FT_OK;
        }
      status = ft_error_set (error, FT_IO, 0, "", "cannot start a thread");
    }
  destroy (voter);
  *out = NULL;
  return status;
}

void
voter_free (Voter *voter)
{
  if (voter == NULL)
    return;
  pthread_mutex_lock (&voter->lock);
  voter->stopped = true;
  pthread_cond_signal (&voter->wake);
  pthread_mutex_unlock (&voter->lock);
  pthread_join (voter->thread, NULL);
  destroy (voter);
}

void
voter_receive (Voter *voter, uint32_t from, GByteArray *bytes)
{
  queue_work (voter, (Work){ .kind = WORK_MESSAGE, .from = from, .bytes = bytes });
}

void
voter_add_peer (Voter *voter, uint32_t id)
{
  queue_work (voter, (Work){ .kind = WORK_ADD_PEER, .from = id });
}

uint64_t
voter_propose (Voter *voter, uint64_t number, GBytes *document)
{
  gsize size = g_bytes_get_size (document);
  GByteArray *bytes;

  pthread_mutex_lock (&voter->lock);
  bool fits = voter->queued_bytes == 0 || voter->queued_bytes + size <= QUEUED_MAX;
  voter->queued_bytes += fits ? size : 0;
  pthread_mutex_unlock (&voter->lock);
  if (!fits)
    return 0;
  bytes = g_byte_array_sized_new ((guint) size);
  g_byte_array_append (bytes, g_bytes_get_data (document, NULL), (guint) size);
  uint64_t ticket = ++voter->next_ticket;
  queue_work (voter,
              (Work){ .kind = WORK_PROPOSE, .ticket = ticket, .number = number, .bytes = bytes });
  return ticket;
}

uint64_t
voter_propose_op (Voter *voter, const MsgOp *op)
{
  GByteArray *bytes = codec_pack (CODEC (MsgOp), op);
  uint64_t ticket = ++voter->next_ticket;

  if (bytes == NULL)
    jlog (JLOG_ERROR, "op-not-packed", NULL, JL_INT ("kind", op->kind));
  queue_work (voter, (Work){ .kind = WORK_PROPOSE_OP, .ticket = ticket, .bytes = bytes });
  return ticket;
}

void
voter_transfer_leadership (Voter *voter)
{
  queue_work (voter, (Work){ .kind = WORK_TRANSFER });
}

void
voter_status (Voter *voter, VoterStatus *status)
{
  pthread_mutex_lock (&voter->lock);
  *status = voter->status;
  status->proved = now_us (NULL) < voter->proved_until;
  pthread_mutex_unlock (&voter->lock);
}

GBytes *
voter_document_text (Voter *voter, uint64_t *number, GBytes **text)
{
  pthread_mutex_lock (&voter->lock);
  GBytes *document = voter->document ? g_bytes_ref (voter->document) : NULL;
  *text = voter->text ? g_bytes_ref (voter->text) : NULL;
  *number = voter->number;
  pthread_mutex_unlock (&voter->lock);
  return document;
}

GBytes *
voter_document (Voter *voter, uint64_t *number)
{
  GBytes *text, *document = voter_document_text (voter, number, &text);

  if (text)
    g_bytes_unref (text);
  return document;
}

RtCat *
voter_catalogue (Voter *voter, uint64_t *number, FtError *error)
{
  pthread_mutex_lock (&voter->lock);
  RtCat *cat = voter->cat ? rt_cat_ref (voter->cat) : NULL;
  *number = voter->number;
  *error = voter->error;
  pthread_mutex_unlock (&voter->lock);
  return cat;
}

static GBytes *
ref_table (Voter *voter, const TableCopy *table)
{
  pthread_mutex_lock (&voter->lock);
  GBytes *packed = table->packed ? g_bytes_ref (table->packed) : NULL;
  pthread_mutex_unlock (&voter->lock);
  return packed;
}

GBytes *
voter_crash_table (Voter *voter)
{
  return ref_table (voter, &voter->crashes);
}

GBytes *
voter_rollouts (Voter *voter)
{
  return ref_table (voter, &voter->rollouts);
}

GBytes *
voter_listed (Voter *voter)
{
  return ref_table (voter, &voter->listed);
}

uint64_t
voter_newest_number (Voter *voter)
{
  pthread_mutex_lock (&voter->lock);
  uint64_t number = voter->number;
  pthread_mutex_unlock (&voter->lock);
  return number;
}
