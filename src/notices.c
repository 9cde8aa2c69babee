/* notices.c - a bounded table of notices. The instance obeys them itself, and sends them to each
 * scheduler that it turns to. */
#include "notices.h"

/* Servers in the table; the least recently updated one is removed first. */
#define SERVERS_MAX 4096

typedef struct
{
  double rate, brittleness;
  bool leaving;   /* until this incarnation ends */
  bool malformed; /* it has sent a malformed notice */
  int64_t backoff_until, updated_at;
} Record;

struct Notices
{
  FtClock *clock;
  GHashTable *by_server; /* server incarnation: Record */
};

Notices *
notices_new (FtClock *clock)
{
  Notices *notices = g_new0 (Notices, 1);

  notices->clock = clock;
  notices->by_server = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return notices;
}

void
notices_free (Notices *notices)
{
  if (notices == NULL)
    return;
  g_hash_table_unref (notices->by_server);
  g_free (notices);
}

static void
forget_oldest (Notices *notices)
{
  GHashTableIter iter;
  gpointer key, value, oldest = NULL;
  int64_t oldest_at = INT64_MAX;

  g_hash_table_iter_init (&iter, notices->by_server);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (((const Record *) value)->updated_at < oldest_at)
      {
        oldest_at = ((const Record *) value)->updated_at;
        oldest = key;
      }
  if (oldest)
    g_hash_table_remove (notices->by_server, oldest);
}

static Record *
record_of (Notices *notices, const char *server)
{
  Record *record = g_hash_table_lookup (notices->by_server, server);

  if (record)
    return record;
  if (g_hash_table_size (notices->by_server) >= SERVERS_MAX)
    forget_oldest (notices);
  record = g_new0 (Record, 1);
  g_hash_table_insert (notices->by_server, g_strdup (server), record);
  return record;
}

NoticesChange
notices_record (Notices *notices, const char *server, const Notice *notice)
{
  int64_t now = ft_clock_now (notices->clock);
  Record *record = g_hash_table_lookup (notices->by_server, server);

  bool announced = record
                   && (record->rate > 0 || record->brittleness > 0 || record->leaving
                       || record->backoff_until > now);
  if (!announced && notice_is_empty (notice))
    return NOTICES_NONE;
  if (record == NULL)
    record = record_of (notices, server);
  bool same = record->rate == notice->rate && record->brittleness == notice->brittleness
              && record->leaving >= notice->leaving
              && (notice->backoff_us == 0 || record->backoff_until > now);
  record->rate = notice->rate;
  record->brittleness = notice->brittleness;
  record->leaving = record->leaving || notice->leaving;
  if (notice->backoff_us > 0)
    record->backoff_until = MAX (record->backoff_until, now + notice->backoff_us);
  record->updated_at = now;
  if (record->rate <= 0 && record->brittleness <= 0 && !record->leaving && !record->malformed
      && record->backoff_until <= now)
    g_hash_table_remove (notices->by_server, server);
  return same ? NOTICES_SAME : NOTICES_CHANGED;
}

bool
notices_record_unreadable (Notices *notices, const char *server)
{
  Record *record = record_of (notices, server);
  bool first = !record->malformed;

  record->malformed = true;
  record->updated_at = ft_clock_now (notices->clock);
  return first;
}

static Notice
notice_in_force (const Notices *notices, const Record *record)
{
  int64_t left = record->backoff_until - ft_clock_now (notices->clock);

  return (Notice){ .rate = record->rate,
                   .leaving = record->leaving,
                   .backoff_us = MAX (0, left),
                   .brittleness = record->brittleness };
}

const char *
notices_block_reason (const Notices *notices, const char *server, Notice *out)
{
  const Record *record = g_hash_table_lookup (notices->by_server, server);

  *out = record ? notice_in_force (notices, record) : (Notice){ 0 };
  if (out->leaving)
    return "leaving";
  return out->backoff_us > 0 ? "backoff" : NULL;
}

void
notices_each (const Notices *notices, NoticesFunc func, void *data)
{
  int64_t now = ft_clock_now (notices->clock);
  GHashTableIter iter;
  gpointer key, value;

  g_hash_table_iter_init (&iter, notices->by_server);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Record *record = value;
      Notice notice = notice_in_force (notices, record);
      if (!notice_is_empty (&notice))
        func (data, key, &notice, now - record->updated_at);
    }
}
