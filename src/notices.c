/* notices.c - a bounded table. It binds the instance itself, and is sent to each scheduler that the
 * instance turns to. */
#include "notices.h"

#define SERVERS_MOST 4096 /* servers remembered; the one heard longest ago is forgotten first */

typedef struct
{
  double rate;
  bool leaving; /* until the lifetime's end */
  bool unread;  /* it has said something that cannot be read */
  int64_t backoff_until, heard_at;
} Heard;

struct Notices
{
  FtClock *clock;
  GHashTable *by_server; /* id: Heard */
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
  int64_t least = INT64_MAX;

  g_hash_table_iter_init (&iter, notices->by_server);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (((const Heard *) value)->heard_at < least)
      {
        least = ((const Heard *) value)->heard_at;
        oldest = key;
      }
  if (oldest)
    g_hash_table_remove (notices->by_server, oldest);
}

static Heard *
heard_of (Notices *notices, const char *server)
{
  Heard *heard = g_hash_table_lookup (notices->by_server, server);

  if (heard)
    return heard;
  if (g_hash_table_size (notices->by_server) >= SERVERS_MOST)
    forget_oldest (notices);
  heard = g_new0 (Heard, 1);
  g_hash_table_insert (notices->by_server, g_strdup (server), heard);
  return heard;
}

NoticesChange
notices_record (Notices *notices, const char *server, const Notice *notice)
{
  int64_t now = ft_clock_now (notices->clock);
  Heard *heard = g_hash_table_lookup (notices->by_server, server);

  bool said = heard && (heard->rate > 0 || heard->leaving || heard->backoff_until > now);
  if (!said && notice_is_empty (notice))
    return NOTICES_NONE;
  if (heard == NULL)
    heard = heard_of (notices, server);
  bool same = heard->rate == notice->rate && heard->leaving >= notice->leaving
              && (notice->backoff_us == 0 || heard->backoff_until > now);
  heard->rate = notice->rate;
  heard->leaving = heard->leaving || notice->leaving;
  if (notice->backoff_us > 0)
    heard->backoff_until = MAX (heard->backoff_until, now + notice->backoff_us);
  heard->heard_at = now;
  if (heard->rate <= 0 && !heard->leaving && !heard->unread && heard->backoff_until <= now)
    g_hash_table_remove (notices->by_server, server);
  return same ? NOTICES_SAME : NOTICES_CHANGED;
}

bool
notices_record_unreadable (Notices *notices, const char *server)
{
  Heard *heard = heard_of (notices, server);
  bool first = !heard->unread;

  heard->unread = true;
  heard->heard_at = ft_clock_now (notices->clock);
  return first;
}

static Notice
holds_of (const Notices *notices, const Heard *heard)
{
  int64_t left = heard->backoff_until - ft_clock_now (notices->clock);

  return (Notice){ .rate = heard->rate, .leaving = heard->leaving, .backoff_us = MAX (0, left) };
}

const char *
notices_block_reason (const Notices *notices, const char *server, Notice *out)
{
  const Heard *heard = g_hash_table_lookup (notices->by_server, server);

  *out = heard ? holds_of (notices, heard) : (Notice){ 0 };
  if (out->leaving)
    return "leaving";
  return out->backoff_us > 0 ? "backoff" : NULL;
}

void
notices_each (const Notices *notices, NoticesFunc each, void *data)
{
  int64_t now = ft_clock_now (notices->clock);
  GHashTableIter iter;
  gpointer key, value;

  g_hash_table_iter_init (&iter, notices->by_server);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Heard *heard = value;
      Notice notice = holds_of (notices, heard);
      if (!notice_is_empty (&notice))
        each (data, key, &notice, now - heard->heard_at);
    }
}
