/* paths.c - tells the loss of this instance's own path from the failure of servers.
 *
 * A connect that fails says that the server is gone, or that the path is. One server that fails
 * says little; two different ones in a row, with no connect that succeeded between them, say that
 * what they have in common has failed, and that is this end. A success in between refutes it. Once
 * the path is lost it takes a row of successes to have it back: where a few servers can be reached,
 * a single one says no more than a single failure does. Answers on connections that were open
 * before prove nothing: they may live on while new ones fail.
 *
 * A wrong verdict costs a detour of one hop until the next connect succeeds, so little evidence is
 * enough. Whether a server is gone is never decided here.
 */
#include "paths.h"

#define LOST_SERVERS  2               /* different servers in a row that make the path lost */
#define BACK_CONNECTS 2               /* successes in a row after which a lost path is back */
#define ROW_MAX       (3 * FT_SECOND) /* between the first failure of a row and the last one */
#define DOUBT_TIME    (2 * FT_SECOND) /* after a failed connect to a server */

struct Paths
{
  FtClock *clock;
  GHashTable *failed; /* server -> int64_t: its last failure, removed by a success */
  int64_t row_began;  /* the first failure since a success; 0: there was none */
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
  return *(const int64_t *) value < *(const int64_t *) data;
}

static unsigned
count_failed_since (const Paths *paths, int64_t since)
{
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, paths->failed);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += *(const int64_t *) value >= since;
  return count;
}

static void
note_success (Paths *paths, const char *server)
{
  g_hash_table_remove (paths->failed, server);
  if (paths->lost && ++paths->successes < BACK_CONNECTS)
    return;
  if (paths->lost)
    g_hash_table_remove_all (paths->failed); /* the path had failed, not these servers */
  paths->row_began = 0;
  paths->lost = false;
}

void
paths_note (Paths *paths, const char *server, bool established)
{
  int64_t now = ft_clock_now (paths->clock), oldest = now - MAX (ROW_MAX, DOUBT_TIME);

  if (established)
    {
      note_success (paths, server);
      return;
    }
  paths->successes = 0;
  g_hash_table_foreach_remove (paths->failed, is_before, &oldest);
  g_hash_table_replace (paths->failed, g_strdup (server), g_memdup2 (&now, sizeof now));
  if (paths->row_began == 0 || (!paths->lost && paths->row_began < now - ROW_MAX))
    paths->row_began = now;
  if (paths->lost || paths_failed_count (paths) < LOST_SERVERS)
    return;
  paths->lost = true;
  paths->lost_at = now;
}

bool
paths_is_lost (const Paths *paths)
{
  return paths->lost;
}

unsigned
paths_failed_count (const Paths *paths)
{
  return paths->row_began ? count_failed_since (paths, paths->row_began) : 0;
}

int64_t
paths_lost_at (const Paths *paths)
{
  return paths->lost_at;
}

bool
paths_is_doubtful (const Paths *paths, const char *server)
{
  const int64_t *failed_at = g_hash_table_lookup (paths->failed, server);

  return paths->lost || (failed_at && *failed_at + DOUBT_TIME > ft_clock_now (paths->clock));
}
