/* origins.c - a bounded table of the origins of streams, and the versions that were listed lately.
 *
 * A caller that takes a stream up again names the attempt that brought its first event. Streams may
 * go on only at the version that began them, and neither the id nor a server tells which one that
 * was. A record is made when the first event is passed on, so that each stream has exactly one.
 *
 * A stream without a record may go on where one version alone can have begun it. An instance that
 * has just started has seen one list, which proves nothing: it must have watched the lists for as
 * long as a stream may last, or have learned the versions from an instance that has. A version that
 * has joined since the newest list has begun no stream yet (fresh.c).
 *
 * Records are kept until the caller's own time is over. They expire in nearly the order in which
 * they were made, so the list is only examined at its head.
 */
#include "origins.h"

#include <string.h>
#include <urcu/list.h>
#include <xxhash.h>

/* Longest pause between two lists in which no version can have come and gone unseen. */
#define LIST_PAUSE_MAX (5 * FT_SECOND)

typedef struct
{
  struct cds_list_head link; /* in Origins.order */
  Origin base;               /* its strings are interned */
} Record;

typedef struct
{
  char *service, *version;
  int64_t listed_at; /* the last time */
} Listed;

struct Origins
{
  FtClock *clock;
  unsigned max;
  GHashTable *records;        /* Origin.stream: Record */
  struct cds_list_head order; /* oldest first */
  GPtrArray *listed;          /* Listed; a few for each service */
  int64_t watched_from;       /* all versions that were listed since then are known */
  int64_t list_at;            /* when the newest list was asked for; 0: none was noted */
  int64_t told_at;            /* up to then another instance has told them; 0: never */
};

uint64_t
origins_stream_id (const char *org, const char *attempt)
{
  uint64_t seed = XXH3_64bits (org ? org : "", org ? strlen (org) : 0);

  return XXH3_64bits_withSeed (attempt, strlen (attempt), seed);
}

static void
record_free (void *data)
{
  Record *record = data;

  cds_list_del (&record->link);
  g_ref_string_release ((char *) (uintptr_t) record->base.service);
  g_ref_string_release ((char *) (uintptr_t) record->base.version);
  g_free (record);
}

static void
listed_free (void *data)
{
  Listed *listed = data;

  g_free (listed->service);
  g_free (listed->version);
  g_free (listed);
}

Origins *
origins_new (FtClock *clock, unsigned max)
{
  Origins *origins = g_new0 (Origins, 1);

  origins->clock = clock;
  origins->max = max;
  origins->records = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, record_free);
  CDS_INIT_LIST_HEAD (&origins->order);
  origins->listed = g_ptr_array_new_with_free_func (listed_free);
  return origins;
}

void
origins_free (Origins *origins)
{
  if (origins == NULL)
    return;
  g_hash_table_unref (origins->records);
  g_ptr_array_unref (origins->listed);
  g_free (origins);
}

/* ---- Streams ---- */

static void
drop_oldest (Origins *origins)
{
  const Record *oldest = cds_list_entry (origins->order.next, Record, link);

  g_hash_table_remove (origins->records, &oldest->base.stream);
}

static void
drop_expired (Origins *origins, int64_t now)
{
  while (!cds_list_empty (&origins->order)
         && cds_list_entry (origins->order.next, Record, link)->base.until <= now)
    drop_oldest (origins);
}

void
origins_record (Origins *origins, const Origin *from)
{
  int64_t now = ft_clock_now (origins->clock);
  Record *record;

  drop_expired (origins, now);
  if (from->until <= now)
    return;
  g_hash_table_remove (origins->records, &from->stream);
  if (g_hash_table_size (origins->records) >= origins->max)
    drop_oldest (origins);
  record = g_new0 (Record, 1);
  record->base.stream = from->stream;
  record->base.service = g_ref_string_new_intern (from->service);
  record->base.version = g_ref_string_new_intern (from->version);
  record->base.until = MIN (from->until, now + ORIGINS_TIME_MAX);
  cds_list_add_tail (&record->link, &origins->order);
  g_hash_table_insert (origins->records, &record->base.stream, record);
}

const Origin *
origins_find (Origins *origins, uint64_t stream)
{
  const Record *record = g_hash_table_lookup (origins->records, &stream);

  return record && record->base.until > ft_clock_now (origins->clock) ? &record->base : NULL;
}

void
origins_for_each (Origins *origins, void (*fn) (const Origin *origin, void *data), void *data)
{
  const Record *record;
  int64_t now = ft_clock_now (origins->clock);

  cds_list_for_each_entry (record, &origins->order, link)
  {
    if (record->base.until > now)
      fn (&record->base, data);
  }
}

unsigned
origins_count (const Origins *origins)
{
  return g_hash_table_size (origins->records);
}

/* ---- Versions of the listed servers ---- */

/* Drops versions of the service that do not count any more. */
static void
drop_old_versions (Origins *origins, const char *service, int64_t now)
{
  for (unsigned i = origins->listed->len; i-- > 0;)
    {
      const Listed *listed = origins->listed->pdata[i];
      if (strcmp (listed->service, service) == 0 && now - listed->listed_at > ORIGINS_TIME_MAX)
        g_ptr_array_remove_index_fast (origins->listed, i);
    }
}

void
origins_note_listed (Origins *origins, const char *service, const char *version, int64_t age)
{
  int64_t now = ft_clock_now (origins->clock);

  for (unsigned i = 0; i < origins->listed->len; i++)
    {
      Listed *listed = origins->listed->pdata[i];
      if (strcmp (listed->service, service) != 0 || strcmp (listed->version, version) != 0)
        continue;
      listed->listed_at = MAX (listed->listed_at, now - age);
      return;
    }
  drop_old_versions (origins, service, now);
  Listed *listed = g_new0 (Listed, 1);
  listed->service = g_strdup (service);
  listed->version = g_strdup (version);
  listed->listed_at = now - age;
  g_ptr_array_add (origins->listed, listed);
}

/* All versions listed between watched_from and then are known. */
static int64_t
watched_until (const Origins *origins)
{
  return MAX (origins->list_at, origins->told_at);
}

void
origins_note_list (Origins *origins, int64_t asked_at)
{
  if (asked_at - watched_until (origins) > LIST_PAUSE_MAX || watched_until (origins) == 0)
    origins->watched_from = asked_at;
  origins->list_at = MAX (origins->list_at, asked_at);
}

void
origins_set_complete (Origins *origins, int64_t at)
{
  if (watched_until (origins) > 0 && origins->watched_from - at > LIST_PAUSE_MAX)
    return;
  origins->watched_from = MIN (origins->watched_from, at - ORIGINS_TIME_MAX);
  origins->told_at = MAX (origins->told_at, at);
}

static bool
is_complete_at (const Origins *origins, int64_t now)
{
  int64_t until = watched_until (origins);

  return until > 0 && now - until <= LIST_PAUSE_MAX
         && now - origins->watched_from >= ORIGINS_TIME_MAX;
}

bool
origins_is_complete (const Origins *origins)
{
  return is_complete_at (origins, ft_clock_now (origins->clock));
}

void
origins_for_each_listed (const Origins *origins,
                         void (*fn) (const char *service, const char *version, int64_t age,
                                     void *data),
                         void *data)
{
  int64_t now = ft_clock_now (origins->clock);

  for (unsigned i = 0; i < origins->listed->len; i++)
    {
      const Listed *listed = origins->listed->pdata[i];
      if (now - listed->listed_at <= ORIGINS_TIME_MAX)
        fn (listed->service, listed->version, now - listed->listed_at, data);
    }
}

const char *
origins_only_version (const Origins *origins, const char *service, int64_t now)
{
  const Listed *newest = NULL;

  if (!is_complete_at (origins, now) || now - origins->list_at > ORIGINS_LIST_AGE_MAX)
    return NULL;
  for (unsigned i = 0; i < origins->listed->len; i++)
    {
      const Listed *listed = origins->listed->pdata[i];
      if (strcmp (listed->service, service) == 0
          && (newest == NULL || listed->listed_at > newest->listed_at))
        newest = listed;
    }
  /* Counted from the newest, since the list itself may be old. */
  for (unsigned i = 0; newest && i < origins->listed->len; i++)
    {
      const Listed *listed = origins->listed->pdata[i];
      if (listed != newest && strcmp (listed->service, service) == 0
          && newest->listed_at - listed->listed_at < ORIGINS_TIME_MAX)
        return NULL;
    }
  return newest ? newest->version : NULL;
}
