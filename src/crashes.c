/* crashes.c - which contents were running on servers that ended.
 *
 * Failure: one request ends each server that begins to run it, and its caller sends it again, under
 * another id, to another instance. Symptom: server after server ends, each taking other callers'
 * requests with it; no instance sees more than one or two of the ends. So ends are counted by
 * content, in the replicated log: whoever sees an end adds it, all know the sum, and it outlives
 * every instance.
 *
 * Each content on a server that ended is a suspect; one of them did it. An innocent one is told
 * apart by what it does elsewhere: once it is answered whole it is cleared. A server that answers
 * after it was said to have ended had only been cut off, and its end is struck.
 *
 * The account is bounded. When it is full the suspect with the fewest ends goes, the oldest of
 * these first: a flood of contents that met one end each cannot push out those that met more.
 */
#include "crashes.h"
#include "content.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define AGAIN_MS                                                                                   \
  2000 /* instances see one end within a second of each other; no server starts again and ends in  \
          less */

struct CrashTable
{
  uint64_t index;
  GHashTable *suspects; /* content: MsgSuspect */
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
  CrashTable *blame = g_new0 (CrashTable, 1);

  blame->suspects = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, suspect_free);
  return blame;
}

void
crashes_free (CrashTable *blame)
{
  if (blame == NULL)
    return;
  g_hash_table_unref (blame->suspects);
  g_free (blame);
}

/* Goes before the other when the account is full. */
static bool
weighs_less (const MsgSuspect *one, const MsgSuspect *other)
{
  if (one->ends != other->ends)
    return one->ends < other->ends;
  if (one->index != other->index)
    return one->index < other->index;
  return one->content < other->content;
}

static void
make_room (CrashTable *blame)
{
  GHashTableIter iter;
  gpointer value;
  const MsgSuspect *least = NULL;

  if (g_hash_table_size (blame->suspects) < CRASHES_MAX_CONTENTS)
    return;
  g_hash_table_iter_init (&iter, blame->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (least == NULL || weighs_less (value, least))
      least = value;
  if (least)
    g_hash_table_remove (blame->suspects, &least->content);
}

static void
insert (CrashTable *blame, MsgSuspect *suspect)
{
  g_hash_table_insert (blame->suspects, &suspect->content, suspect);
}

static MsgSuspect *
suspect_of (CrashTable *blame, uint64_t content, int64_t wall_ms)
{
  MsgSuspect *suspect = g_hash_table_lookup (blame->suspects, &content);

  if (suspect)
    return suspect;
  make_room (blame);
  suspect = g_new0 (MsgSuspect, 1);
  suspect->content = content;
  suspect->first_ms = wall_ms;
  suspect->latest.latest_val = calloc (FT_SUSPECT_CRASHES_MAX, sizeof (MsgServerCrash));
  insert (blame, suspect);
  return suspect;
}

/* The place of the latest end of the server on the record; -1: none. */
static int
place_of (const MsgSuspect *suspect, const char *server)
{
  for (unsigned i = suspect->latest.latest_len; i-- > 0;)
    if (strcmp (suspect->latest.latest_val[i].server, server) == 0)
      return (int) i;
  return -1;
}

/* Takes the end at that place off the record. */
static void
drop_end (MsgSuspect *suspect, unsigned place)
{
  MsgServerCrash *ends = suspect->latest.latest_val;

  free (ends[place].server);
  suspect->latest.latest_len--;
  memmove (ends + place, ends + place + 1, (suspect->latest.latest_len - place) * sizeof *ends);
  ends[suspect->latest.latest_len].server = NULL;
}

/* An end is one however many instances tell of it; a server that has started again under its name
 * may end again. */
static bool
is_known (const MsgSuspect *suspect, const MsgCrash *ended)
{
  int place = place_of (suspect, ended->server);

  return place >= 0 && ended->wall_ms - suspect->latest.latest_val[place].wall_ms < AGAIN_MS;
}

static bool
add_end (CrashTable *blame, uint64_t index, uint64_t content, const MsgCrash *ended)
{
  MsgSuspect *suspect = suspect_of (blame, content, ended->wall_ms);

  if (is_known (suspect, ended))
    return false;
  if (suspect->latest.latest_len == FT_SUSPECT_CRASHES_MAX)
    drop_end (suspect, 0);
  suspect->latest.latest_val[suspect->latest.latest_len++]
      = (MsgServerCrash){ strdup (ended->server), ended->wall_ms };
  suspect->ends++;
  suspect->index = index;
  return true;
}

static bool
note_change (CrashTable *blame, uint64_t index, bool changed)
{
  if (changed)
    blame->index = index;
  return changed;
}

bool
crashes_add (CrashTable *blame, uint64_t index, const MsgCrash *ended)
{
  bool changed = false;

  for (unsigned i = 0; i < ended->contents.contents_len; i++)
    if (add_end (blame, index, ended->contents.contents_val[i], ended))
      changed = true;
  return note_change (blame, index, changed);
}

/* True: nothing is left against it. */
static bool
strike_end (MsgSuspect *suspect, const char *server, bool *struck)
{
  int place = place_of (suspect, server);

  if (place < 0)
    return false;
  drop_end (suspect, (unsigned) place);
  suspect->ends--;
  *struck = true;
  return suspect->ends == 0;
}

bool
crashes_retract (CrashTable *blame, uint64_t index, const MsgCrashRetracted *survived)
{
  GHashTableIter iter;
  gpointer value;
  bool struck = false;

  g_hash_table_iter_init (&iter, blame->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (strike_end (value, survived->server, &struck))
      g_hash_table_iter_remove (&iter);
  return note_change (blame, index, struck);
}

bool
crashes_clear (CrashTable *blame, uint64_t index, const MsgCleared *cleared)
{
  bool changed = false;

  for (unsigned i = 0; i < cleared->contents.contents_len; i++)
    if (g_hash_table_remove (blame->suspects, &cleared->contents.contents_val[i]))
      changed = true;
  return note_change (blame, index, changed);
}

const MsgSuspect *
crashes_find (const CrashTable *blame, uint64_t content)
{
  return g_hash_table_lookup (blame->suspects, &content);
}

bool
crashes_is_recorded (const CrashTable *blame, const MsgCrash *ended)
{
  for (unsigned i = 0; i < ended->contents.contents_len; i++)
    {
      const MsgSuspect *suspect = crashes_find (blame, ended->contents.contents_val[i]);
      if (suspect == NULL || !is_known (suspect, ended))
        return false;
    }
  return true;
}

uint64_t
blame_index (const CrashTable *blame)
{
  return blame->index;
}

unsigned
crashes_count (const CrashTable *blame, unsigned *quarantined)
{
  GHashTableIter iter;
  gpointer value;

  *quarantined = 0;
  g_hash_table_iter_init (&iter, blame->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    *quarantined += ((const MsgSuspect *) value)->ends >= CRASHES_QUARANTINE;
  return g_hash_table_size (blame->suspects);
}

static int
by_weight (const void *a, const void *b)
{
  return weighs_less (a, b) ? 1 : -1;
}

void
crashes_capture (const CrashTable *blame, unsigned least, MsgCrashTable *out)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (MsgSuspect));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, blame->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const MsgSuspect *) value)->ends >= least)
      g_array_append_vals (all, value, 1);
  g_array_sort (all, by_weight); /* the same bytes from the same account */
  out->index = blame->index;
  out->suspects.suspects_len = all->len;
  out->suspects.suspects_val = (MsgSuspect *) (void *) g_array_free (all, FALSE);
}

static void
list_one (const MsgSuspect *suspect, int64_t wall_ms, GString *out)
{
  const MsgServerCrash *ends = suspect->latest.latest_val;
  unsigned count = suspect->latest.latest_len;
  int64_t last_ms = count ? ends[count - 1].wall_ms : suspect->first_ms;
  char content[CONTENT_ID_SIZE];

  g_string_append_printf (out,
                          "{\"content\":\"%s\",\"quarantined\":%s,\"ends\":%u,"
                          "\"first_s_ago\":%.1f,\"last_s_ago\":%.1f,\"servers\":[",
                          content_format (suspect->content, content),
                          suspect->ends >= CRASHES_QUARANTINE ? "true" : "false", suspect->ends,
                          (double) (wall_ms - suspect->first_ms) / 1e3,
                          (double) (wall_ms - last_ms) / 1e3);
  for (unsigned i = 0; i < count; i++)
    {
      char *server = g_strescape (ends[i].server, NULL);
      g_string_append_printf (out, "%s\"%s\"", i ? "," : "", server);
      g_free (server);
    }
  g_string_append (out, "]}");
}

void
crashes_append_json (const CrashTable *blame, int64_t wall_ms, GString *out)
{
  MsgCrashTable all;

  crashes_capture (blame, 0, &all);
  g_string_append_c (out, '[');
  for (unsigned i = 0; i < all.suspects.suspects_len; i++)
    {
      g_string_append (out, i ? ",\n" : "\n");
      list_one (&all.suspects.suspects_val[i], wall_ms, out);
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
crashes_restore (CrashTable *blame, const MsgCrashTable *in)
{
  g_hash_table_remove_all (blame->suspects);
  blame->index = in->index;
  for (unsigned i = 0; i < in->suspects.suspects_len; i++)
    insert (blame, copy_suspect (&in->suspects.suspects_val[i]));
}
