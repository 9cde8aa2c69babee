/* crashes.c - counts server crashes per request content, to find requests that crash servers.
 *
 * A caller may resend a request that crashes every server that starts to run it, under another id
 * and to another instance. Server after server then goes down together with the requests of
 * other callers, and no single instance sees more than one or two of the crashes. Crashes are
 * therefore counted per content in the replicated log: any instance that sees one adds it, all
 * instances know the sum, and it survives the loss of any instance.
 *
 * Every content that was running on a crashed server becomes a suspect, although only one of them
 * caused the crash. Innocent contents are removed again once some server has answered them
 * completely. If a server still answers after a reported crash, only the connection to it had
 * failed, and that crash is subtracted again.
 *
 * The same table counts crashes of parts of prompts (fingerprint.h), which are cleared as soon as
 * an answer to any request with them begins.
 *
 * The table is bounded, for contents and for parts. When it is full, stale entries are evicted
 * first, so that what crashes servers now can be counted beside any number of older suspects. Among
 * stale ones and among the others the entry with the fewest crashes is evicted, the one whose last
 * crash is oldest first among equals, so a flood of keys with one crash each cannot evict those of
 * the same time with more. Nor can those with more keep out new keys, which have a share of the
 * table.
 */
#include "crashes.h"
#include "content.h"
#include "fingerprint.h"

#include <string.h>

struct CrashTable
{
  uint64_t index;
  GHashTable *suspects; /* content -> MsgSuspect */
};

static void
suspect_free (void *data)
{
  codec_clear (CODEC (MsgSuspect), data);
  g_free (data);
}

CrashTable *
crashes_new (void)
{
  CrashTable *table = g_new0 (CrashTable, 1);

  table->suspects = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, suspect_free);
  return table;
}

void
crashes_free (CrashTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->suspects);
  g_free (table);
}

static int64_t
last_crash_ms (const MsgSuspect *suspect)
{
  unsigned count = suspect->latest.latest_len;

  return count ? suspect->latest.latest_val[count - 1].wall_ms : suspect->first_ms;
}

static bool
is_stale (const MsgSuspect *suspect, int64_t wall_ms)
{
  int64_t kept = suspect->ends >= CRASHES_QUARANTINE ? CRASHES_PART_KEPT_MS : CRASHES_STALE_MS;

  return wall_ms - last_crash_ms (suspect) > kept;
}

/* Whether `one` is evicted before `other` when the table is full at wall_ms. */
static bool
evicted_before (const MsgSuspect *one, const MsgSuspect *other, int64_t wall_ms)
{
  bool one_stale = is_stale (one, wall_ms);

  if (one_stale != is_stale (other, wall_ms))
    return one_stale;
  if (one->ends != other->ends)
    return one->ends < other->ends;
  if (one->index != other->index)
    return one->index < other->index;
  return one->content < other->content;
}

/* The entries of one kind that would make room for another key. */
typedef struct
{
  unsigned count, single_count;     /* single: with fewer than CRASHES_PUBLISH_MIN crashes */
  const MsgSuspect *single, *other; /* first to be evicted of these; NULL: there is none */
} Victims;

static Victims
find_victims (const CrashTable *table, bool is_part, int64_t wall_ms)
{
  Victims found = { 0 };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const MsgSuspect *suspect = value;
      bool is_single = suspect->ends < CRASHES_PUBLISH_MIN;
      const MsgSuspect **victim = is_single ? &found.single : &found.other;
      if (fingerprint_is_part (suspect->content) != is_part)
        continue;
      found.count++;
      found.single_count += is_single;
      if (*victim == NULL || evicted_before (suspect, *victim, wall_ms))
        *victim = suspect;
    }
  return found;
}

static const MsgSuspect *
choose_victim (const Victims *found, unsigned max, int64_t wall_ms)
{
  if (found->single == NULL || found->other == NULL)
    return found->single ? found->single : found->other;
  bool enough_singles = found->single_count >= max / CRASHES_SINGLE_PART;
  if (enough_singles || is_stale (found->other, wall_ms) || is_stale (found->single, wall_ms))
    return evicted_before (found->single, found->other, wall_ms) ? found->single : found->other;
  return found->other;
}

/* Makes room for another key of that kind. */
static void
evict_if_full (CrashTable *table, bool is_part, int64_t wall_ms)
{
  unsigned max = is_part ? CRASHES_MAX_PARTS : CRASHES_MAX_CONTENTS;

  if (g_hash_table_size (table->suspects) < max)
    return;
  Victims found = find_victims (table, is_part, wall_ms);
  if (found.count >= max)
    g_hash_table_remove (table->suspects, &choose_victim (&found, max, wall_ms)->content);
}

static void
insert (CrashTable *table, MsgSuspect *suspect)
{
  g_hash_table_insert (table->suspects, &suspect->content, suspect);
}

static MsgSuspect *
find_or_add (CrashTable *table, uint64_t content, int64_t wall_ms)
{
  MsgSuspect *suspect = g_hash_table_lookup (table->suspects, &content);

  if (suspect)
    return suspect;
  evict_if_full (table, fingerprint_is_part (content), wall_ms);
  suspect = g_new0 (MsgSuspect, 1);
  suspect->content = content;
  suspect->first_ms = wall_ms;
  suspect->latest.latest_val = calloc (FT_SUSPECT_CRASHES_MAX, sizeof (MsgServerCrash));
  insert (table, suspect);
  return suspect;
}

/* Returns the index of the latest recorded crash of the server, or -1 if there is none. */
static int
index_of_crash (const MsgSuspect *suspect, const char *server)
{
  for (unsigned i = suspect->latest.latest_len; i-- > 0;)
    if (strcmp (suspect->latest.latest_val[i].server, server) == 0)
      return (int) i;
  return -1;
}

/* Removes the crash at the index from the list, but does not change the counter. */
static void
remove_crash (MsgSuspect *suspect, unsigned position)
{
  MsgServerCrash *ends = suspect->latest.latest_val;

  free (ends[position].server);
  suspect->latest.latest_len--;
  memmove (ends + position, ends + position + 1,
           (suspect->latest.latest_len - position) * sizeof *ends);
  ends[suspect->latest.latest_len].server = NULL;
}

/* A crash counts once however many instances report it. A server that has restarted under the same
 * name may crash again. */
static bool
is_recorded (const MsgSuspect *suspect, const MsgCrash *ended)
{
  int position = index_of_crash (suspect, ended->server);

  return position >= 0
         && ended->wall_ms - suspect->latest.latest_val[position].wall_ms < CRASHES_SAME_MS;
}

static bool
add_crash (CrashTable *table, uint64_t index, uint64_t content, const MsgCrash *ended)
{
  MsgSuspect *suspect = find_or_add (table, content, ended->wall_ms);

  if (is_recorded (suspect, ended))
    return false;
  if (suspect->latest.latest_len == FT_SUSPECT_CRASHES_MAX)
    remove_crash (suspect, 0);
  suspect->latest.latest_val[suspect->latest.latest_len++]
      = (MsgServerCrash){ strdup (ended->server), ended->wall_ms };
  suspect->ends++;
  suspect->index = index;
  return true;
}

static bool
record_change (CrashTable *table, uint64_t index, bool changed)
{
  if (changed)
    table->index = index;
  return changed;
}

bool
crashes_add (CrashTable *table, uint64_t index, const MsgCrash *ended)
{
  bool changed = false;

  for (unsigned i = 0; i < ended->contents.contents_len; i++)
    if (add_crash (table, index, ended->contents.contents_val[i], ended))
      changed = true;
  return record_change (table, index, changed);
}

/* Subtracts the crash of the server, if it is recorded. Returns true if no crash remains. */
static bool
subtract_crash (MsgSuspect *suspect, const char *server, bool *changed)
{
  int position = index_of_crash (suspect, server);

  if (position < 0)
    return false;
  remove_crash (suspect, (unsigned) position);
  suspect->ends--;
  *changed = true;
  return suspect->ends == 0;
}

bool
crashes_retract (CrashTable *table, uint64_t index, const MsgCrashRetracted *survived)
{
  GHashTableIter iter;
  gpointer value;
  bool changed = false;

  g_hash_table_iter_init (&iter, table->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (subtract_crash (value, survived->server, &changed))
      g_hash_table_iter_remove (&iter);
  return record_change (table, index, changed);
}

bool
crashes_clear (CrashTable *table, uint64_t index, const MsgCleared *cleared)
{
  bool changed = false;

  for (unsigned i = 0; i < cleared->contents.contents_len; i++)
    if (g_hash_table_remove (table->suspects, &cleared->contents.contents_val[i]))
      changed = true;
  return record_change (table, index, changed);
}

unsigned
crashes_expired (const CrashTable *table, int64_t wall_ms, uint64_t *keys, unsigned max)
{
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, table->suspects);
  while (count < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const MsgSuspect *suspect = value;
      if (fingerprint_is_part (suspect->content)
          && wall_ms - last_crash_ms (suspect) > CRASHES_PART_KEPT_MS)
        keys[count++] = suspect->content;
    }
  return count;
}

const MsgSuspect *
crashes_find (const CrashTable *table, uint64_t content)
{
  return g_hash_table_lookup (table->suspects, &content);
}

bool
crashes_is_recorded (const CrashTable *table, const MsgCrash *ended)
{
  for (unsigned i = 0; i < ended->contents.contents_len; i++)
    {
      const MsgSuspect *suspect = crashes_find (table, ended->contents.contents_val[i]);
      if (suspect == NULL || !is_recorded (suspect, ended))
        return false;
    }
  return true;
}

uint64_t
crashes_index (const CrashTable *table)
{
  return table->index;
}

unsigned
crashes_count (const CrashTable *table, unsigned *quarantined)
{
  GHashTableIter iter;
  gpointer value;

  *quarantined = 0;
  g_hash_table_iter_init (&iter, table->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    *quarantined += ((const MsgSuspect *) value)->ends >= CRASHES_QUARANTINE;
  return g_hash_table_size (table->suspects);
}

static int
compare_eviction (const void *a, const void *b, void *wall_ms)
{
  return evicted_before (a, b, *(const int64_t *) wall_ms) ? 1 : -1;
}

void
crashes_capture (const CrashTable *table, unsigned min_crashes, MsgCrashTable *out)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (MsgSuspect));
  GHashTableIter iter;
  gpointer value;
  int64_t wall_ms = G_MININT64; /* of the latest crash */

  g_hash_table_iter_init (&iter, table->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      wall_ms = MAX (wall_ms, last_crash_ms (value));
      if (((const MsgSuspect *) value)->ends >= min_crashes)
        g_array_append_vals (all, value, 1);
    }
  /* Equal tables must give identical bytes. */
  g_array_sort_with_data (all, compare_eviction, &wall_ms);
  out->index = table->index;
  out->suspects.suspects_len = all->len;
  out->suspects.suspects_val = (MsgSuspect *) (void *) g_array_free (all, FALSE);
}

static void
append_suspect_json (const MsgSuspect *suspect, int64_t wall_ms, GString *out)
{
  const MsgServerCrash *ends = suspect->latest.latest_val;
  unsigned count = suspect->latest.latest_len;
  char content[CONTENT_ID_SIZE];

  g_string_append_printf (out,
                          "{\"content\":\"%s\",\"quarantined\":%s,\"ends\":%u,\"kind\":\"%s\","
                          "\"first_s_ago\":%.1f,\"last_s_ago\":%.1f,\"servers\":[",
                          content_format (suspect->content, content),
                          suspect->ends >= CRASHES_QUARANTINE ? "true" : "false", suspect->ends,
                          fingerprint_is_part (suspect->content) ? "part" : "content",
                          (double) (wall_ms - suspect->first_ms) / 1e3,
                          (double) (wall_ms - last_crash_ms (suspect)) / 1e3);
  for (unsigned i = 0; i < count; i++)
    {
      char *server = g_strescape (ends[i].server, NULL);
      g_string_append_printf (out, "%s\"%s\"", i ? "," : "", server);
      g_free (server);
    }
  g_string_append (out, "]}");
}

void
crashes_append_json (const CrashTable *table, int64_t wall_ms, GString *out)
{
  MsgCrashTable all;

  crashes_capture (table, 0, &all);
  g_string_append_c (out, '[');
  for (unsigned i = 0; i < all.suspects.suspects_len; i++)
    {
      g_string_append (out, i ? ",\n" : "\n");
      append_suspect_json (&all.suspects.suspects_val[i], wall_ms, out);
    }
  g_string_append_c (out, ']');
  g_free (all.suspects.suspects_val);
}

static MsgSuspect *
copy_suspect (const MsgSuspect *from)
{
  MsgSuspect *copy = g_memdup2 (from, sizeof *from);

  copy->latest.latest_val = calloc (FT_SUSPECT_CRASHES_MAX, sizeof (MsgServerCrash));
  for (unsigned i = 0; i < from->latest.latest_len; i++)
    copy->latest.latest_val[i] = (MsgServerCrash){ strdup (from->latest.latest_val[i].server),
                                                   from->latest.latest_val[i].wall_ms };
  return copy;
}

void
crashes_restore (CrashTable *table, const MsgCrashTable *in)
{
  g_hash_table_remove_all (table->suspects);
  table->index = in->index;
  for (unsigned i = 0; i < in->suspects.suspects_len; i++)
    insert (table, copy_suspect (&in->suspects.suspects_val[i]));
}
