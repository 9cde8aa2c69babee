/* paths.c - tells the loss of this instance's own path from the failure of servers.
 *
 * A connection that fails says that the server is gone, or that the path is. Two different servers
 * in a row, with no success between them, say that they have something in common: all of them are
 * gone, or this end is cut off. If another instance reaches one of them, it is this end. Once
 * the path is lost it takes a row of successes to have it back: where a few servers can be reached,
 * a single one says no more than a single failure does. Answers on connections that were open
 * before prove nothing: they may live on while new ones fail.
 *
 * A wrong verdict costs a detour of one hop until connections succeed again, so little evidence is
 * enough. Whether a server is gone is never decided here.
 */
#include "paths.h"

#define LOST_SERVERS  2               /* different servers in a row that make the path lost */
#define BACK_CONNECTS 2               /* successes in a row after which a lost path is back */
#define ROW_MAX       (3 * FT_SECOND) /* between the failures of a row */
#define DOUBT_TIME    (2 * FT_SECOND) /* after a failed connect to a server */

typedef struct
{
  int64_t at;
  unsigned row;
} Failure;

struct Paths
{
  FtClock *clock;
  GHashTable *failed; /* server -> Failure: its last one, removed by a success */
  unsigned row;       /* number of the row of failures; a success that counts begins a new one */
  bool refuted;       /* another instance has reached a server of the row */
  int64_t lost_at;
  unsigned successes; /* in a row, while the path is lost */
  bool lost;
};

Paths *
paths_new (FtClock *clock)
{
  Paths *paths = g_new0 (Paths, 1);

  paths->clock = clock;
  paths->failed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return paths;
}

void
paths_free (Paths *paths)
{
  if (paths == NULL)
    return;
  g_hash_table_unref (paths->failed);
  g_free (paths);
}

static gboolean
is_before (gpointer key, gpointer value, gpointer data)
{
  (void) key;
  return ((const Failure *) value)->at < *(const int64_t *) data;
}

static void
note_success (Paths *paths, const char *server)
{
  g_hash_table_remove (paths->failed, server);
  if (paths->lost && ++paths->successes < BACK_CONNECTS)
    return;
  if (paths->lost)
    g_hash_table_remove_all (paths->failed); /* the path had failed, not these servers */
  paths->row++;
  paths->refuted = paths->lost = false;
}

static void
judge (Paths *paths, int64_t now)
{
  if (paths->lost || !paths->refuted || paths_failed_count (paths) < LOST_SERVERS)
    return;
  paths->lost = true;
  paths->lost_at = now;
  paths->successes = 0;
}

static void
note_failure (Paths *paths, const char *server, int64_t now)
{
  int64_t oldest = now - MAX (ROW_MAX, DOUBT_TIME);
  Failure failure = { now, paths->row };

  paths->successes = 0;
  g_hash_table_foreach_remove (paths->failed, is_before, &oldest);
  g_hash_table_replace (paths->failed, g_strdup (server), g_memdup2 (&failure, sizeof failure));
  if (!paths->lost && paths_failed_count (paths) == 1)
    paths->refuted = false;
}

void
paths_note (Paths *paths, const char *server, bool reached)
{
  int64_t now = ft_clock_now (paths->clock);

  if (reached)
    {
      note_success (paths, server);
      return;
    }
  note_failure (paths, server, now);
  judge (paths, now);
}

void
paths_note_relayed (Paths *paths, const char *server)
{
  const Failure *failure = g_hash_table_lookup (paths->failed, server);

  if (failure == NULL || failure->row != paths->row)
    return;
  paths->refuted = true;
  judge (paths, ft_clock_now (paths->clock));
}

bool
paths_is_lost (const Paths *paths)
{
  return paths->lost;
}

unsigned
paths_failed_count (const Paths *paths)
{
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, paths->failed);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const Failure *) value)->row == paths->row;
  return count;
}

int64_t
paths_lost_at (const Paths *paths)
{
  return paths->lost_at;
}

bool
paths_is_doubtful (const Paths *paths, const char *server)
{
  const Failure *failure = g_hash_table_lookup (paths->failed, server);

  return paths->lost || (failure && failure->at + DOUBT_TIME > ft_clock_now (paths->clock));
}
