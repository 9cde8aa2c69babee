/* backoff.c - servers that asked one owner of requests to back off.
 *
 * A server that rejects a request may ask its sender alone to back off while it serves others, so a
 * backoff excludes the server for that owner only. When all servers of a service have asked an
 * owner to back off, its request waits for the first backoff to end, or is refused at once with
 * that time if it would come too late.
 */
#include "schedint.h"

typedef struct
{
  uint64_t owner;
  int64_t until;
} Backoff;

static gboolean
is_over (gpointer key, gpointer value, gpointer data)
{
  const int64_t *now = data;

  (void) key;
  return ((const Backoff *) value)->until <= *now;
}

void
boff_note (Server *server, uint64_t owner, int64_t us, int64_t now)
{
  Backoff *backoff;

  if (us <= 0)
    return;
  if (server->backoffs == NULL)
    server->backoffs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_hash_table_foreach_remove (server->backoffs, is_over, &now);
  backoff = g_hash_table_lookup (server->backoffs, &owner);
  if (backoff == NULL)
    {
      backoff = g_new0 (Backoff, 1);
      backoff->owner = owner;
      g_hash_table_insert (server->backoffs, &backoff->owner, backoff);
    }
  backoff->until = MAX (backoff->until, now + us);
  server->service->backoff_until = MAX (server->service->backoff_until, backoff->until);
}

static int64_t
backoff_end (const Server *server, uint64_t owner)
{
  const Backoff *backoff = server->backoffs ? g_hash_table_lookup (server->backoffs, &owner) : NULL;

  return backoff ? backoff->until : 0;
}

bool
boff_has_ended (const Server *server, uint64_t owner, int64_t now)
{
  return backoff_end (server, owner) <= now;
}

void
boff_drop_owner (Sched *sched, uint64_t owner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Server *) value)->backoffs)
      g_hash_table_remove (((Server *) value)->backoffs, &owner);
}

int64_t
boff_earliest_end (const Job *job, int64_t now)
{
  const Service *service = job->service;
  const Server *server;
  int64_t soonest = INT64_MAX;

  if (service->backoff_until <= now)
    return now;
  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (server->listed && !server->leaving && ver_permits (job, server))
      soonest = MIN (soonest, MAX (backoff_end (server, job->key.owner), now));
  }
  return soonest == INT64_MAX ? now : soonest;
}

bool
boff_any_place (const Sched *sched, const Job *job, int64_t now)
{
  const Server *server;

  cds_list_for_each_entry (server, &job->service->servers, link)
  {
    if (est_has_place_for (sched, job, server, now) && boff_permits (server, job->key.owner, now))
      return true;
  }
  return false;
}
