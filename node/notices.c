/* notices.c - a table, so that each scheduler that is asked anew can be told. */
#include "notices.h"

#define SERVERS_MOST 4096 /* servers remembered; the one heard longest ago is forgotten first */

typedef struct
{
  Notice notice;
  int64_t heard_at;
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

bool
notices_take (Notices *notices, const char *server, const Notice *notice)
{
  bool known = g_hash_table_contains (notices->by_server, server);

  if (notice_is_empty (notice))
    {
      g_hash_table_remove (notices->by_server, server);
      return known;
    }
  Heard *heard = heard_of (notices, server);
  heard->notice = *notice;
  heard->heard_at = ft_clock_now (notices->clock);
  return true;
}

void
notices_each (const Notices *notices, NoticesEach each, void *data)
{
  int64_t now = ft_clock_now (notices->clock);
  GHashTableIter iter;
  gpointer key, value;

  g_hash_table_iter_init (&iter, notices->by_server);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Heard *heard = value;
      each (data, key, &heard->notice, now - heard->heard_at);
    }
}
