/* attribution.c - finds out which requests crash servers, although each of these ran several.
 *
 * A crash is charged to all keys that were running on the server, and only one of them is its
 * cause. A part that always appears together with the cause has as many crashes as that, but
 * requests that have the one and lack the other are harmless. So a request is taken for the cause
 * of a crash only if it has every suspect that ran on that server. A request that lacks one of them
 * is sent: if it is answered, its parts are cleared, and if it crashes its server, that crash tells
 * the suspects apart.
 *
 * A cause whose companions change would go on crashing servers, a few with each new one. Therefore
 * a part is also a cause by itself once no other suspect ran on CRASHES_QUARANTINE of its servers.
 * A content is one unless a part explains all its crashes and more: no request shares it that is
 * not the same.
 */
#include "attribution.h"
#include "crashes.h"
#include "fingerprint.h"

#include <string.h>

typedef struct
{
  int64_t seen_at;
  GArray *suspects; /* unsigned, indices of those that ran on the server */
} Crash;

typedef struct
{
  uint64_t key;
  unsigned ends;
  bool alone; /* a cause by itself */
  int64_t alone_since;
} Suspect;

struct Attribution
{
  GArray *suspects;    /* Suspect, of at least CRASHES_PUBLISH_MIN crashes */
  GHashTable *by_key;  /* key -> index of a suspect + 1 */
  GHashTable *crashes; /* identifier -> Crash */
};

static void
crash_free (void *data)
{
  Crash *crash = data;

  g_array_unref (crash->suspects);
  g_free (crash);
}

Attribution *
attr_new (void)
{
  Attribution *attr = g_new0 (Attribution, 1);

  attr->suspects = g_array_new (FALSE, FALSE, sizeof (Suspect));
  attr->by_key = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  attr->crashes = g_hash_table_new_full (NULL, NULL, NULL, crash_free);
  return attr;
}

void
attr_free (Attribution *attr)
{
  if (attr == NULL)
    return;
  g_array_unref (attr->suspects);
  g_hash_table_unref (attr->by_key);
  g_hash_table_unref (attr->crashes);
  g_free (attr);
}

/* Index of the suspect with this key, or -1. */
static int
index_of (const Attribution *attr, uint64_t key)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (attr->by_key, &key)) - 1;
}

/* ---- Causes by themselves ---- */

static int
compare_times (const void *a, const void *b)
{
  int64_t one = *(const int64_t *) a, other = *(const int64_t *) b;

  return (one > other) - (one < other);
}

/* The time at which enough of these crashes were known. */
static int64_t
time_of_limit (int64_t *times, unsigned count)
{
  qsort (times, count, sizeof *times, compare_times);
  return times[MIN (count, CRASHES_QUARANTINE) - 1];
}

/* For each suspect, in how many of these crashes it was running; the caller frees the array. */
static unsigned *
count_shared (const Attribution *attr, const AttrSuspect *from)
{
  unsigned *counts = g_new0 (unsigned, attr->suspects->len);

  for (unsigned i = 0; i < from->crash_count; i++)
    {
      const Crash *crash = g_hash_table_lookup (attr->crashes, GUINT_TO_POINTER (from->crashes[i]));
      for (unsigned j = 0; j < crash->suspects->len; j++)
        counts[g_array_index (crash->suspects, unsigned, j)]++;
    }
  return counts;
}

/* Index of the other suspect that was running in most of these crashes, or -1 if none was; *shared
 * is their number. */
static int
best_companion (const Attribution *attr, unsigned index, const AttrSuspect *from, unsigned *shared)
{
  unsigned *counts = count_shared (attr, from);
  int best = -1;

  *shared = 0;
  for (unsigned i = 0; i < attr->suspects->len; i++)
    if (i != index && counts[i] > *shared)
      {
        *shared = counts[i];
        best = (int) i;
      }
  g_free (counts);
  return best;
}

/* Whether a part was running in all these crashes and in more. */
static bool
part_explains (const Attribution *attr, const AttrSuspect *from)
{
  unsigned *counts = count_shared (attr, from);
  bool explains = false;

  for (unsigned i = 0; i < attr->suspects->len && !explains; i++)
    {
      const Suspect *other = &g_array_index (attr->suspects, Suspect, i);
      explains = fingerprint_is_part (other->key) && other->ends > from->ends
                 && counts[i] == from->crash_count;
    }
  g_free (counts);
  return explains;
}

static bool
ran_in (const Attribution *attr, int index, uint32_t id)
{
  const Crash *crash = g_hash_table_lookup (attr->crashes, GUINT_TO_POINTER (id));

  for (unsigned i = 0; i < crash->suspects->len; i++)
    if ((int) g_array_index (crash->suspects, unsigned, i) == index)
      return true;
  return false;
}

static void
decide_alone (const Attribution *attr, unsigned index, const AttrSuspect *from)
{
  Suspect *suspect = &g_array_index (attr->suspects, Suspect, index);
  int64_t times[ATTR_CRASHES_MAX];
  unsigned shared = 0, count = 0;
  int companion
      = fingerprint_is_part (from->key) ? best_companion (attr, index, from, &shared) : -1;

  suspect->alone = from->ends >= shared + CRASHES_QUARANTINE;
  for (unsigned i = 0; suspect->alone && i < from->crash_count; i++)
    if (companion < 0 || !ran_in (attr, companion, from->crashes[i]))
      times[count++] = from->seen_at[i];
  if (count > 0)
    suspect->alone_since = time_of_limit (times, count);
}

/* ---- Suspects ---- */

static void
add_to_crash (Attribution *attr, unsigned index, uint32_t id, int64_t seen_at)
{
  Crash *crash = g_hash_table_lookup (attr->crashes, GUINT_TO_POINTER (id));

  if (crash == NULL)
    {
      crash = g_new0 (Crash, 1);
      crash->seen_at = seen_at;
      crash->suspects = g_array_new (FALSE, FALSE, sizeof (unsigned));
      g_hash_table_insert (attr->crashes, GUINT_TO_POINTER (id), crash);
    }
  crash->seen_at = MIN (crash->seen_at, seen_at);
  g_array_append_val (crash->suspects, index);
}

/* Removes from its crashes a content that a part explains. */
static void
drop_if_explained (Attribution *attr, unsigned index, const AttrSuspect *from)
{
  if (fingerprint_is_part (from->key) || !part_explains (attr, from))
    return;
  for (unsigned i = 0; i < from->crash_count; i++)
    {
      Crash *crash = g_hash_table_lookup (attr->crashes, GUINT_TO_POINTER (from->crashes[i]));
      for (unsigned j = crash->suspects->len; j-- > 0;)
        if (g_array_index (crash->suspects, unsigned, j) == index)
          g_array_remove_index (crash->suspects, j);
    }
  g_hash_table_remove (attr->by_key, &from->key);
}

static void
add_suspect (Attribution *attr, const AttrSuspect *from)
{
  Suspect suspect = { .key = from->key, .ends = from->ends };
  unsigned index = attr->suspects->len;

  g_array_append_val (attr->suspects, suspect);
  g_hash_table_insert (attr->by_key, g_memdup2 (&from->key, sizeof from->key),
                       GINT_TO_POINTER ((int) index + 1));
  for (unsigned i = 0; i < from->crash_count; i++)
    add_to_crash (attr, index, from->crashes[i], from->seen_at[i]);
}

void
attr_set (Attribution *attr, const AttrSuspect *suspects, unsigned count)
{
  g_array_set_size (attr->suspects, 0);
  g_hash_table_remove_all (attr->by_key);
  g_hash_table_remove_all (attr->crashes);
  for (unsigned i = 0; i < count; i++)
    if (suspects[i].ends >= CRASHES_PUBLISH_MIN)
      add_suspect (attr, &suspects[i]);
  for (unsigned i = 0; i < count; i++)
    {
      int index = index_of (attr, suspects[i].key);
      if (index >= 0)
        drop_if_explained (attr, (unsigned) index, &suspects[i]);
    }
  for (unsigned i = 0; i < count; i++)
    {
      int index = index_of (attr, suspects[i].key);
      if (index >= 0 && suspects[i].ends >= CRASHES_QUARANTINE)
        decide_alone (attr, (unsigned) index, &suspects[i]);
    }
}

/* ---- Decision ---- */

/* Marks the suspects among the keys, and returns whether there are any. */
static bool
mark_suspects (const Attribution *attr, const uint64_t *keys, unsigned count, bool *marked)
{
  bool any = false;

  for (unsigned i = 0; i < count; i++)
    {
      int index = index_of (attr, keys[i]);
      if (index < 0)
        continue;
      marked[index] = true;
      any = true;
    }
  return any;
}

static bool
has_all (const Crash *crash, const bool *marked)
{
  for (unsigned i = 0; i < crash->suspects->len; i++)
    if (!marked[g_array_index (crash->suspects, unsigned, i)])
      return false;
  return crash->suspects->len > 0;
}

/* Whether the marked suspects together are the cause of enough crashes. */
static bool
are_cause (const Attribution *attr, const bool *marked, int64_t *since, uint64_t *key)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (int64_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, attr->crashes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Crash *crash = value;
      if (!has_all (crash, marked))
        continue;
      g_array_append_val (times, crash->seen_at);
      *key = g_array_index (attr->suspects, Suspect, g_array_index (crash->suspects, unsigned, 0))
                 .key;
    }
  bool enough = times->len >= CRASHES_QUARANTINE;
  if (enough)
    *since = time_of_limit ((int64_t *) (void *) times->data, times->len);
  g_array_unref (times);
  return enough;
}

bool
attr_is_cause (const Attribution *attr, const uint64_t *keys, unsigned count, int64_t *since,
               uint64_t *key)
{
  if (attr->suspects->len == 0)
    return false;
  bool *marked = g_new0 (bool, attr->suspects->len);
  bool cause = mark_suspects (attr, keys, count, marked) && are_cause (attr, marked, since, key);
  for (unsigned i = 0; i < attr->suspects->len; i++)
    {
      const Suspect *suspect = &g_array_index (attr->suspects, Suspect, i);
      if (!marked[i] || !suspect->alone || (cause && *since <= suspect->alone_since))
        continue;
      cause = true;
      *since = suspect->alone_since;
      *key = suspect->key;
    }
  g_free (marked);
  return cause;
}
