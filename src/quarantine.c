/* quarantine.c - decides whether a request content may be sent to a server.
 *
 * There are two sources: the crash table that the voters replicate (crashes.c), of which they
 * publish all contents with two or more crashes, and local evidence that is not in the table yet.
 * Evidence counts here at once, so an instance without a reachable voter still stops sending such
 * a content.
 *
 * When a failure domain loses power while a content that half of all callers request is running on
 * each of its servers, this innocent content reaches the limit at once. Unlike a
 * content that crashes servers, it was answered completely elsewhere moments ago. Each instance
 * therefore remembers its recent complete answers and tells the voters when one contradicts the
 * table. Requests of the content wait RECHECK_DELAY for such a report before they are refused.
 */
#include "quarantine.h"

#include <string.h>

/* By then the table has reached the instances, and their reports have returned to a voter, passed
 * the log and been published: about 50 ms, plus 200 ms when a packet is lost. */
#define RECHECK_DELAY (300 * FT_MS)
/* How long an answer clears its content: longer than a complete answer takes. A new release of the
 * servers may change how they handle the content. */
#define ANSWER_VALID (10 * FT_SECOND)
/* An answer this soon after a reported crash shows that the server is alive; later it may come
 * from a restarted server of the same name. */
#define ALIVE_WINDOW (1 * FT_SECOND)
/* 24 bytes each; the crash of a server adds about ten, one for each content it ran. */
#define EVIDENCE_MAX 1024
/* Remembered answers, a power of two: 10 s at 100 per second. */
#define ANSWERED_MAX 1024
/* By then the instance that detected the crash has reported it to the voters. */
#define REMOTE_EVIDENCE_KEPT (2 * FT_SECOND)

/* An entry of the voters' crash table. */
typedef struct
{
  uint64_t content;
  unsigned ends, server_count;
  uint32_t servers[FT_SUSPECT_CRASHES_MAX];
  int64_t received_at[FT_SUSPECT_CRASHES_MAX]; /* when each of them was first received here */
  int64_t limit_reached_at; /* when CRASHES_QUARANTINE was reached; 0 if it was not */
} TableEntry;

typedef struct
{
  uint64_t content;
  uint32_t server;
  bool own;
  int64_t at;
} Evidence;

typedef struct
{
  uint64_t content;
  int64_t at;
} Answered;

struct Quarantine
{
  FtClock *clock;
  uint64_t index;
  GHashTable *table; /* content -> TableEntry */
  GArray *evidence;  /* Evidence, oldest first */
  Answered answered[ANSWERED_MAX];
  int64_t reachable_since; /* since when a leading voter has been reachable without interruption; 0
                              if none is */
};

Quarantine *
quar_new (FtClock *clock)
{
  Quarantine *quar = g_new0 (Quarantine, 1);

  quar->clock = clock;
  quar->table = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  quar->evidence = g_array_new (FALSE, FALSE, sizeof (Evidence));
  return quar;
}

void
quar_free (Quarantine *quar)
{
  if (quar == NULL)
    return;
  g_hash_table_unref (quar->table);
  g_array_unref (quar->evidence);
  g_free (quar);
}

uint32_t
quar_server_digest (const char *server)
{
  return g_str_hash (server);
}

/* ---- Decision ---- */

static bool
contains_server (const uint32_t *servers, unsigned count, uint32_t server)
{
  for (unsigned i = 0; i < count; i++)
    if (servers[i] == server)
      return true;
  return false;
}

/* Counts the crashed servers in the evidence that the table entry does not list; *last is set to
 * the time of the latest of them. */
static unsigned
count_evidence (const Quarantine *quar, uint64_t content, const TableEntry *entry, int64_t *last)
{
  uint32_t servers[FT_SUSPECT_CRASHES_MAX];
  unsigned count = 0;

  for (unsigned i = 0; i < quar->evidence->len && count < FT_SUSPECT_CRASHES_MAX; i++)
    {
      const Evidence *evidence = &g_array_index (quar->evidence, Evidence, i);
      if (evidence->content != content || contains_server (servers, count, evidence->server)
          || (entry && contains_server (entry->servers, entry->server_count, evidence->server)))
        continue;
      servers[count++] = evidence->server;
      *last = evidence->at;
    }
  return count;
}

QuarVerdict
quar_check (const Quarantine *quar, uint64_t content)
{
  const TableEntry *entry = g_hash_table_lookup (quar->table, &content);
  QuarVerdict verdict = { QUAR_NO_CRASHES };
  int64_t now = ft_clock_now (quar->clock), last = 0;

  verdict.ends = entry ? entry->ends : 0;
  if (quar->evidence->len > 0)
    verdict.ends += count_evidence (quar, content, entry, &last);
  if (verdict.ends == 0)
    return verdict;
  verdict.state = QUAR_SUSPECT;
  if (verdict.ends < CRASHES_QUARANTINE)
    return verdict;
  int64_t limit_reached_at = entry && entry->limit_reached_at ? entry->limit_reached_at : last;
  verdict.blocked_for_us = now - limit_reached_at;
  verdict.recheck_at = limit_reached_at + RECHECK_DELAY;
  verdict.state = now < verdict.recheck_at ? QUAR_RECHECK : QUAR_BLOCKED;
  return verdict;
}

/* ---- Local evidence ---- */

static void
remove_evidence (Quarantine *quar, bool (*matches) (const Evidence *evidence, uint64_t key),
                 uint64_t key)
{
  for (unsigned i = quar->evidence->len; i-- > 0;)
    if (matches (&g_array_index (quar->evidence, Evidence, i), key))
      g_array_remove_index (quar->evidence, i);
}

static bool
is_of_content (const Evidence *evidence, uint64_t content)
{
  return evidence->content == content;
}

static bool
is_own_of_server (const Evidence *evidence, uint64_t server)
{
  return evidence->own && evidence->server == (uint32_t) server;
}

static bool
is_remote (const Evidence *evidence, uint64_t unused)
{
  (void) unused;
  return !evidence->own;
}

static bool
is_only_of_content (const Quarantine *quar, unsigned position)
{
  uint64_t content = g_array_index (quar->evidence, Evidence, position).content;
  unsigned count = 0;

  for (unsigned i = 0; i < quar->evidence->len; i++)
    count += g_array_index (quar->evidence, Evidence, i).content == content;
  return count == 1;
}

/* Evicts the oldest evidence that is the only one of its content, so that many contents with one
 * crash each cannot evict one that has more. */
static void
evict_evidence_if_full (Quarantine *quar)
{
  unsigned position = 0;

  if (quar->evidence->len < EVIDENCE_MAX)
    return;
  while (position + 1 < quar->evidence->len && !is_only_of_content (quar, position))
    position++;
  g_array_remove_index (quar->evidence, position);
}

void
quar_add_crash (Quarantine *quar, uint64_t content, const char *server, bool own)
{
  Evidence evidence = { content, quar_server_digest (server), own, ft_clock_now (quar->clock) };

  for (unsigned i = 0; i < quar->evidence->len; i++)
    {
      Evidence *before = &g_array_index (quar->evidence, Evidence, i);
      if (before->content != content || before->server != evidence.server)
        continue;
      before->own = before->own || own;
      return;
    }
  evict_evidence_if_full (quar);
  g_array_append_val (quar->evidence, evidence);
}

void
quar_crash_recorded (Quarantine *quar, const char *server)
{
  remove_evidence (quar, is_own_of_server, quar_server_digest (server));
}

bool
quar_answered (Quarantine *quar, uint64_t content)
{
  Answered *slot = &quar->answered[content & (ANSWERED_MAX - 1)];

  *slot = (Answered){ content, ft_clock_now (quar->clock) };
  if (quar->evidence->len > 0)
    remove_evidence (quar, is_of_content, content);
  return g_hash_table_contains (quar->table, &content);
}

bool
quar_crash_disproved (const Quarantine *quar, const char *server, int64_t sent_at)
{
  uint32_t digest = quar_server_digest (server);
  int64_t now = ft_clock_now (quar->clock);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quar->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const TableEntry *entry = value;
      for (unsigned i = 0; i < entry->server_count; i++)
        if (entry->servers[i] == digest && sent_at >= entry->received_at[i]
            && now < entry->received_at[i] + ALIVE_WINDOW)
          return true;
    }
  return false;
}

/* ---- The voters' crash table ---- */

static int64_t
first_received_at (const TableEntry *before, uint32_t server, int64_t now)
{
  for (unsigned i = 0; before && i < before->server_count; i++)
    if (before->servers[i] == server)
      return before->received_at[i];
  return now;
}

static TableEntry *
table_entry_new (const QuarRecord *record, const TableEntry *before, int64_t now)
{
  TableEntry *entry = g_new0 (TableEntry, 1);

  entry->content = record->content;
  entry->ends = record->ends;
  entry->server_count = MIN (record->server_count, FT_SUSPECT_CRASHES_MAX);
  for (unsigned i = 0; i < entry->server_count; i++)
    {
      entry->servers[i] = record->servers[i];
      entry->received_at[i] = first_received_at (before, record->servers[i], now);
    }
  if (entry->ends >= CRASHES_QUARANTINE)
    entry->limit_reached_at = before && before->limit_reached_at ? before->limit_reached_at : now;
  return entry;
}

bool
quar_update_table (Quarantine *quar, uint64_t index, const QuarRecord *records, unsigned count)
{
  int64_t now = ft_clock_now (quar->clock);

  if (index < quar->index)
    return false;
  GHashTable *table = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  for (unsigned i = 0; i < count; i++)
    {
      const TableEntry *before = g_hash_table_lookup (quar->table, &records[i].content);
      TableEntry *entry = table_entry_new (&records[i], before, now);
      g_hash_table_replace (table, &entry->content, entry);
    }
  g_hash_table_unref (quar->table);
  quar->table = table;
  quar->index = index;
  return true;
}

unsigned
quar_recently_answered (const Quarantine *quar, uint64_t *contents, unsigned max)
{
  int64_t now = ft_clock_now (quar->clock);
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, quar->table);
  while (count < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      uint64_t content = ((const TableEntry *) value)->content;
      const Answered *slot = &quar->answered[content & (ANSWERED_MAX - 1)];
      if (slot->content == content && now - slot->at < ANSWER_VALID)
        contents[count++] = content;
    }
  return count;
}

void
quar_tick (Quarantine *quar, bool reachable)
{
  int64_t now = ft_clock_now (quar->clock);

  if (!reachable)
    quar->reachable_since = 0;
  else if (quar->reachable_since == 0)
    quar->reachable_since = now;
  else if (now - quar->reachable_since > REMOTE_EVIDENCE_KEPT && quar->evidence->len > 0)
    remove_evidence (quar, is_remote, 0);
}

unsigned
quar_count_blocked (const Quarantine *quar)
{
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, quar->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const TableEntry *) value)->limit_reached_at != 0;
  return count;
}
