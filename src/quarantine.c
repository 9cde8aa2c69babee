/* quarantine.c - whether a request of some content may be sent to a server.
 *
 * What is known comes from two sources: the account of all ends that voters keep (crashes.c), of
 * which they tell whatever has two or more, and evidence that is not in it yet. Evidence counts
 * here at once, so that an instance that hears no voter still stops by itself.
 *
 * Failure: a failure domain loses power, and a content that half of all callers ask for was running
 * on each of its servers. Symptom: it looks as guilty as can be. But it was answered whole
 * elsewhere moments ago, which the one that ends its servers never is. So each instance remembers
 * what it answered lately, tells voters when something is said against that, and for SETTLE
 * requests of this content wait for such news instead of being refused.
 */
#include "quarantine.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define SETTLE                                                                                     \
  (300 * FT_MS) /* to the instances, back to a voter, through the log and out again: some 50 ms,   \
                   200 ms more when a packet is lost */
#define PROOF                                                                                      \
  (10 * FT_SECOND) /* an answer so long before still speaks for a content: longer than */
                   /* a whole one takes; a new release of the servers may change that */
#define LIVES_MOST                                                                                 \
  (1 * FT_SECOND) /* an answer so soon after its end shows that a server lives; later it may be    \
                     its next lifetime under the same name */
#define EVIDENCE_MOST 1024 /* of 24 bytes; a server's end adds what ran on it, some ten */
#define ANSWERED_MOST 1024 /* answers remembered, a power of two: 10 s at 100 a second */
#define HEARD_KEPT    (2 * FT_SECOND) /* who saw it has told the voters by then */

/* A record of the voters' account. */
typedef struct
{
  uint64_t content;
  unsigned ends, server_count;
  uint32_t servers[FT_SUSPECT_CRASHES_MAX];
  int64_t seen[FT_SUSPECT_CRASHES_MAX]; /* when each was first told */
  int64_t enough_at;                    /* when it had CRASHES_QUARANTINE; 0: not yet */
} Known;

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
  GHashTable *known; /* content: Known */
  GArray *evidence;  /* Evidence, oldest first */
  Answered answered[ANSWERED_MOST];
  int64_t heard_since; /* a voter in charge, without a pause; 0: none */
};

Quarantine *
quar_new (FtClock *clock)
{
  Quarantine *quar = g_new0 (Quarantine, 1);

  quar->clock = clock;
  quar->known = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  quar->evidence = g_array_new (FALSE, FALSE, sizeof (Evidence));
  return quar;
}

void
quar_free (Quarantine *quar)
{
  if (quar == NULL)
    return;
  g_hash_table_unref (quar->known);
  g_array_unref (quar->evidence);
  g_free (quar);
}

uint32_t
quar_server_digest (const char *server)
{
  return g_str_hash (server);
}

/* ---- Judging ---- */

static bool
names (const uint32_t *servers, unsigned count, uint32_t server)
{
  for (unsigned i = 0; i < count; i++)
    if (servers[i] == server)
      return true;
  return false;
}

/* Servers that evidence adds to those of the account; *last: when the latest of it came. */
static unsigned
count_evidence (const Quarantine *quar, uint64_t content, const Known *known, int64_t *last)
{
  uint32_t counted[FT_SUSPECT_CRASHES_MAX];
  unsigned count = 0;

  for (unsigned i = 0; i < quar->evidence->len && count < FT_SUSPECT_CRASHES_MAX; i++)
    {
      const Evidence *one = &g_array_index (quar->evidence, Evidence, i);
      if (one->content != content || names (counted, count, one->server)
          || (known && names (known->servers, known->server_count, one->server)))
        continue;
      counted[count++] = one->server;
      *last = one->at;
    }
  return count;
}

QuarVerdict
quar_check (const Quarantine *quar, uint64_t content)
{
  const Known *known = g_hash_table_lookup (quar->known, &content);
  QuarVerdict verdict = { QUAR_NO_CRASHES };
  int64_t now = ft_clock_now (quar->clock), last = 0;

  verdict.ends = known ? known->ends : 0;
  if (quar->evidence->len > 0)
    verdict.ends += count_evidence (quar, content, known, &last);
  if (verdict.ends == 0)
    return verdict;
  verdict.state = QUAR_SUSPECT;
  if (verdict.ends < CRASHES_QUARANTINE)
    return verdict;
  int64_t enough_at = known && known->enough_at ? known->enough_at : last;
  verdict.blocked_for_us = now - enough_at;
  verdict.recheck_at = enough_at + SETTLE;
  verdict.state = now < verdict.recheck_at ? QUAR_RECHECK : QUAR_BLOCKED;
  return verdict;
}

/* ---- Evidence ---- */

static void
forget_evidence (Quarantine *quar, bool (*is_it) (const Evidence *one, uint64_t key), uint64_t key)
{
  for (unsigned i = quar->evidence->len; i-- > 0;)
    if (is_it (&g_array_index (quar->evidence, Evidence, i), key))
      g_array_remove_index (quar->evidence, i);
}

static bool
is_of_content (const Evidence *one, uint64_t content)
{
  return one->content == content;
}

static bool
is_own_of_server (const Evidence *one, uint64_t server)
{
  return one->own && one->server == (uint32_t) server;
}

static bool
is_heard (const Evidence *one, uint64_t unused)
{
  (void) unused;
  return !one->own;
}

static bool
is_single (const Quarantine *quar, unsigned place)
{
  uint64_t content = g_array_index (quar->evidence, Evidence, place).content;
  unsigned count = 0;

  for (unsigned i = 0; i < quar->evidence->len; i++)
    count += g_array_index (quar->evidence, Evidence, i).content == content;
  return count == 1;
}

/* The oldest that stands alone goes first: many contents with one end each push out none that has
 * more. */
static void
make_room (Quarantine *quar)
{
  unsigned place = 0;

  if (quar->evidence->len < EVIDENCE_MOST)
    return;
  while (place + 1 < quar->evidence->len && !is_single (quar, place))
    place++;
  g_array_remove_index (quar->evidence, place);
}

void
quar_add_crash (Quarantine *quar, uint64_t content, const char *server, bool own)
{
  Evidence one = { content, quar_server_digest (server), own, ft_clock_now (quar->clock) };

  for (unsigned i = 0; i < quar->evidence->len; i++)
    {
      Evidence *before = &g_array_index (quar->evidence, Evidence, i);
      if (before->content != content || before->server != one.server)
        continue;
      before->own = before->own || own;
      return;
    }
  make_room (quar);
  g_array_append_val (quar->evidence, one);
}

void
quar_crash_recorded (Quarantine *quar, const char *server)
{
  forget_evidence (quar, is_own_of_server, quar_server_digest (server));
}

bool
quar_answered (Quarantine *quar, uint64_t content)
{
  Answered *slot = &quar->answered[content & (ANSWERED_MOST - 1)];

  *slot = (Answered){ content, ft_clock_now (quar->clock) };
  if (quar->evidence->len > 0)
    forget_evidence (quar, is_of_content, content);
  return g_hash_table_contains (quar->known, &content);
}

bool
quar_crash_disproved (const Quarantine *quar, const char *server, int64_t sent_at)
{
  uint32_t digest = quar_server_digest (server);
  int64_t now = ft_clock_now (quar->clock);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quar->known);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Known *known = value;
      for (unsigned i = 0; i < known->server_count; i++)
        if (known->servers[i] == digest && sent_at >= known->seen[i]
            && now < known->seen[i] + LIVES_MOST)
          return true;
    }
  return false;
}

/* ---- The voters' account ---- */

static int64_t
seen_before (const Known *before, uint32_t server, int64_t now)
{
  for (unsigned i = 0; before && i < before->server_count; i++)
    if (before->servers[i] == server)
      return before->seen[i];
  return now;
}

static Known *
known_new (const QuarRecord *record, const Known *before, int64_t now)
{
  Known *known = g_new0 (Known, 1);

  known->content = record->content;
  known->ends = record->ends;
  known->server_count = MIN (record->server_count, FT_SUSPECT_CRASHES_MAX);
  for (unsigned i = 0; i < known->server_count; i++)
    {
      known->servers[i] = record->servers[i];
      known->seen[i] = seen_before (before, record->servers[i], now);
    }
  if (known->ends >= CRASHES_QUARANTINE)
    known->enough_at = before && before->enough_at ? before->enough_at : now;
  return known;
}

bool
quar_update_table (Quarantine *quar, uint64_t index, const QuarRecord *records, unsigned count)
{
  int64_t now = ft_clock_now (quar->clock);

  if (index < quar->index)
    return false;
  GHashTable *known = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  for (unsigned i = 0; i < count; i++)
    {
      const Known *before = g_hash_table_lookup (quar->known, &records[i].content);
      Known *one = known_new (&records[i], before, now);
      g_hash_table_replace (known, &one->content, one);
    }
  g_hash_table_unref (quar->known);
  quar->known = known;
  quar->index = index;
  return true;
}

unsigned
quar_recently_answered (const Quarantine *quar, uint64_t *contents, unsigned most)
{
  int64_t now = ft_clock_now (quar->clock);
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, quar->known);
  while (count < most && g_hash_table_iter_next (&iter, NULL, &value))
    {
      uint64_t content = ((const Known *) value)->content;
      const Answered *slot = &quar->answered[content & (ANSWERED_MOST - 1)];
      if (slot->content == content && now - slot->at < PROOF)
        contents[count++] = content;
    }
  return count;
}

void
quar_tick (Quarantine *quar, bool heard)
{
  int64_t now = ft_clock_now (quar->clock);

  if (!heard)
    quar->heard_since = 0;
  else if (quar->heard_since == 0)
    quar->heard_since = now;
  else if (now - quar->heard_since > HEARD_KEPT && quar->evidence->len > 0)
    forget_evidence (quar, is_heard, 0);
}

unsigned
quar_count_blocked (const Quarantine *quar)
{
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, quar->known);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const Known *) value)->enough_at != 0;
  return count;
}
