/* quarantine.c - decides whether a request may be sent to a server.
 *
 * There are two sources: the crash table that the voters replicate (crashes.c), of which they
 * publish all keys with two or more crashes, and local evidence that is not in the table yet.
 * Evidence counts here at once, so an instance without a reachable voter still stops sending such
 * a request. attribution.c decides from both together.
 *
 * When a failure domain loses power while a content or part that half of all callers request is
 * running on each of its servers, this innocent key reaches the limit at once. Unlike one that
 * crashes servers, it was answered elsewhere moments ago. Each instance therefore remembers its
 * recent answers and tells the voters when one contradicts the table. Requests wait RECHECK_DELAY
 * for such a report before they are refused.
 *
 * A content is cleared by a complete answer. A part is cleared by the first event of an answer, as
 * a part that crashes servers does so before that.
 */
#include "quarantine.h"
#include "attribution.h"

#include <string.h>

/* By then the table has reached the instances, and their reports have returned to a voter, passed
 * the log and been published: about 50 ms, plus 200 ms when a packet is lost. */
#define RECHECK_DELAY (300 * FT_MS)
/* How long an answer clears its content: longer than a complete answer takes. A new release of the
 * servers may change how they handle the content. */
#define ANSWER_VALID (10 * FT_SECOND)
/* How long the beginning of an answer clears a part: longer than the crashes of one cause take,
 * such as a failure domain's, and no longer, as a part may begin to crash servers at any time. */
#define BEGINNING_VALID (2 * FT_SECOND)
/* An answer this soon after a reported crash shows that the server is alive; later it may come
 * from a restarted server of the same name. */
#define ALIVE_WINDOW (1 * FT_SECOND)
/* 24 bytes each; the crash of a server adds about ten for the contents it ran, and those of the
 * parts of requests of whose answer nothing had come. */
#define EVIDENCE_MAX 1024
/* Remembered answers, powers of two: 10 s at 100 per second, and 2 s of 20 parts each. */
#define ANSWERED_MAX 1024
#define BEGUN_MAX    4096
/* By then the instance that detected the crash has reported it to the voters. */
#define REMOTE_EVIDENCE_KEPT (2 * FT_SECOND)

/* An entry of the voters' crash table. */
typedef struct
{
  uint64_t key;
  unsigned ends, server_count;
  uint32_t servers[FT_SUSPECT_CRASHES_MAX], crashes[FT_SUSPECT_CRASHES_MAX];
  int64_t received_at[FT_SUSPECT_CRASHES_MAX]; /* when each of them was first received here */
} TableEntry;

typedef struct
{
  uint64_t key;
  uint32_t server;
  bool own;
  int64_t at;
} Evidence;

typedef struct
{
  uint64_t key;
  int64_t at;
} Answered;

struct Quarantine
{
  FtClock *clock;
  uint64_t index;
  GHashTable *table; /* key -> TableEntry */
  GArray *evidence;  /* Evidence, oldest first */
  Answered answered[ANSWERED_MAX], begun[BEGUN_MAX];
  int64_t reachable_since; /* since when a leading voter has been reachable without interruption; 0
                              if none is */
  /* Of table and evidence together, brought up to date before a decision. */
  bool outdated;
  Attribution *attr;
  GHashTable *ends; /* key -> crashes */
};

Quarantine *
quar_new (FtClock *clock)
{
  Quarantine *quar = g_new0 (Quarantine, 1);

  quar->clock = clock;
  quar->table = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  quar->evidence = g_array_new (FALSE, FALSE, sizeof (Evidence));
  quar->attr = attr_new ();
  quar->ends = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return quar;
}

void
quar_free (Quarantine *quar)
{
  if (quar == NULL)
    return;
  g_hash_table_unref (quar->table);
  g_array_unref (quar->evidence);
  attr_free (quar->attr);
  g_hash_table_unref (quar->ends);
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

static void
add_crash (AttrSuspect *suspect, uint32_t id, int64_t seen_at)
{
  for (unsigned i = 0; i < suspect->crash_count; i++)
    if (suspect->crashes[i] == id)
      return;
  if (suspect->crash_count == ATTR_CRASHES_MAX)
    return;
  suspect->crashes[suspect->crash_count] = id;
  suspect->seen_at[suspect->crash_count++] = seen_at;
  suspect->ends++;
}

static AttrSuspect *
suspect_from_table (const TableEntry *entry)
{
  AttrSuspect *suspect = g_new0 (AttrSuspect, 1);

  suspect->key = entry->key;
  for (unsigned i = 0; i < entry->server_count; i++)
    add_crash (suspect, entry->crashes[i], entry->received_at[i]);
  suspect->ends = entry->ends; /* the table lists only the latest servers */
  return suspect;
}

/* The suspects of table and evidence: key -> AttrSuspect. */
static GHashTable *
merge_sources (const Quarantine *quar)
{
  GHashTable *merged = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quar->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      AttrSuspect *suspect = suspect_from_table (value);
      g_hash_table_insert (merged, &suspect->key, suspect);
    }
  for (unsigned i = 0; i < quar->evidence->len; i++)
    {
      const Evidence *evidence = &g_array_index (quar->evidence, Evidence, i);
      const TableEntry *entry = g_hash_table_lookup (quar->table, &evidence->key);
      AttrSuspect *suspect = g_hash_table_lookup (merged, &evidence->key);
      if (entry && contains_server (entry->servers, entry->server_count, evidence->server))
        continue;
      if (suspect == NULL)
        {
          suspect = g_new0 (AttrSuspect, 1);
          suspect->key = evidence->key;
          g_hash_table_insert (merged, &suspect->key, suspect);
        }
      add_crash (suspect, evidence->server, evidence->at);
    }
  return merged;
}

static void
update_attribution (Quarantine *quar)
{
  GHashTable *merged = merge_sources (quar);
  GArray *suspects = g_array_new (FALSE, FALSE, sizeof (AttrSuspect));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_remove_all (quar->ends);
  g_hash_table_iter_init (&iter, merged);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const AttrSuspect *suspect = value;
      g_array_append_vals (suspects, suspect, 1);
      g_hash_table_insert (quar->ends, g_memdup2 (&suspect->key, sizeof suspect->key),
                           GUINT_TO_POINTER (suspect->ends));
    }
  attr_set (quar->attr, (const AttrSuspect *) (void *) suspects->data, suspects->len);
  g_array_unref (suspects);
  g_hash_table_unref (merged);
  quar->outdated = false;
}

static unsigned
ends_of (const Quarantine *quar, uint64_t key)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (quar->ends, &key));
}

/* Fills in the numbers of crashes. */
static void
count_ends (const Quarantine *quar, const uint64_t *keys, unsigned count, QuarVerdict *verdict)
{
  for (unsigned i = 0; i < count; i++)
    {
      unsigned ends = ends_of (quar, keys[i]);
      if (ends > verdict->ends)
        {
          verdict->ends = ends;
          verdict->key = keys[i];
        }
      if (i == 0)
        verdict->content_ends = ends;
      else if (ends >= CRASHES_PUBLISH_MIN)
        verdict->part_ends = MAX (verdict->part_ends, ends);
    }
}

QuarVerdict
quar_check_keys (Quarantine *quar, const uint64_t *keys, unsigned count)
{
  QuarVerdict verdict = { QUAR_NO_CRASHES };
  int64_t now = ft_clock_now (quar->clock), since;
  uint64_t key;

  if (quar->outdated)
    update_attribution (quar);
  if (g_hash_table_size (quar->ends) == 0)
    return verdict;
  count_ends (quar, keys, count, &verdict);
  if (verdict.ends == 0)
    return verdict;
  verdict.state = QUAR_SUSPECT;
  if (!attr_is_cause (quar->attr, keys, count, &since, &key))
    return verdict;
  verdict.key = key;
  verdict.ends = ends_of (quar, key);
  verdict.blocked_for_us = now - since;
  verdict.recheck_at = since + RECHECK_DELAY;
  verdict.state = now < verdict.recheck_at ? QUAR_RECHECK : QUAR_BLOCKED;
  return verdict;
}

QuarVerdict
quar_check (Quarantine *quar, uint64_t content)
{
  return quar_check_keys (quar, &content, 1);
}

/* ---- Local evidence ---- */

static void
remove_evidence (Quarantine *quar, bool (*matches) (const Evidence *evidence, uint64_t key),
                 uint64_t key)
{
  for (unsigned i = quar->evidence->len; i-- > 0;)
    if (matches (&g_array_index (quar->evidence, Evidence, i), key))
      {
        g_array_remove_index (quar->evidence, i);
        quar->outdated = true;
      }
}

static bool
is_of_key (const Evidence *evidence, uint64_t key)
{
  return evidence->key == key;
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
is_only_of_key (const Quarantine *quar, unsigned position)
{
  uint64_t key = g_array_index (quar->evidence, Evidence, position).key;
  unsigned count = 0;

  for (unsigned i = 0; i < quar->evidence->len; i++)
    count += g_array_index (quar->evidence, Evidence, i).key == key;
  return count == 1;
}

/* Evicts the oldest evidence that is the only one of its key, so that many keys with one crash each
 * cannot evict one that has more. */
static void
evict_evidence_if_full (Quarantine *quar)
{
  unsigned position = 0;

  if (quar->evidence->len < EVIDENCE_MAX)
    return;
  while (position + 1 < quar->evidence->len && !is_only_of_key (quar, position))
    position++;
  g_array_remove_index (quar->evidence, position);
}

void
quar_add_crash (Quarantine *quar, uint64_t key, const char *server, bool own)
{
  Evidence evidence = { key, quar_server_digest (server), own, ft_clock_now (quar->clock) };

  for (unsigned i = 0; i < quar->evidence->len; i++)
    {
      Evidence *before = &g_array_index (quar->evidence, Evidence, i);
      if (before->key != key || before->server != evidence.server)
        continue;
      before->own = before->own || own;
      return;
    }
  evict_evidence_if_full (quar);
  g_array_append_val (quar->evidence, evidence);
  quar->outdated = true;
}

void
quar_crash_recorded (Quarantine *quar, const char *server)
{
  remove_evidence (quar, is_own_of_server, quar_server_digest (server));
}

/* Where the latest answer for the key is remembered. */
static const Answered *
answered_slot (const Quarantine *quar, uint64_t key)
{
  return fingerprint_is_part (key) ? &quar->begun[key & (BEGUN_MAX - 1)]
                                   : &quar->answered[key & (ANSWERED_MAX - 1)];
}

static bool
was_answered_recently (const Quarantine *quar, uint64_t key)
{
  const Answered *slot = answered_slot (quar, key);
  int64_t valid = fingerprint_is_part (key) ? BEGINNING_VALID : ANSWER_VALID;

  return slot->key == key && ft_clock_now (quar->clock) - slot->at < valid;
}

bool
quar_answered (Quarantine *quar, uint64_t key)
{
  Answered *slot = (Answered *) answered_slot (quar, key);

  *slot = (Answered){ key, ft_clock_now (quar->clock) };
  if (quar->evidence->len > 0)
    remove_evidence (quar, is_of_key, key);
  return g_hash_table_contains (quar->table, &key);
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
first_received_at (const TableEntry *before, uint32_t crash, int64_t now)
{
  for (unsigned i = 0; before && i < before->server_count; i++)
    if (before->crashes[i] == crash)
      return before->received_at[i];
  return now;
}

static TableEntry *
table_entry_new (const QuarRecord *record, const TableEntry *before, int64_t now)
{
  TableEntry *entry = g_new0 (TableEntry, 1);

  entry->key = record->key;
  entry->ends = record->ends;
  entry->server_count = MIN (record->server_count, FT_SUSPECT_CRASHES_MAX);
  for (unsigned i = 0; i < entry->server_count; i++)
    {
      entry->servers[i] = record->servers[i];
      entry->crashes[i] = record->crashes ? record->crashes[i] : record->servers[i];
      entry->received_at[i] = first_received_at (before, entry->crashes[i], now);
    }
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
      const TableEntry *before = g_hash_table_lookup (quar->table, &records[i].key);
      TableEntry *entry = table_entry_new (&records[i], before, now);
      g_hash_table_replace (table, &entry->key, entry);
    }
  g_hash_table_unref (quar->table);
  quar->table = table;
  quar->index = index;
  quar->outdated = true;
  return true;
}

unsigned
quar_recently_answered (const Quarantine *quar, uint64_t *keys, unsigned max)
{
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, quar->table);
  while (count < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      uint64_t key = ((const TableEntry *) value)->key;
      if (was_answered_recently (quar, key))
        keys[count++] = key;
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
    count += ((const TableEntry *) value)->ends >= CRASHES_QUARANTINE;
  return count;
}
