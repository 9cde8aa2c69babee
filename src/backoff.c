/* backoff.c - servers that want nothing from one owner of requests for a while.
 *
 * A server that turns a request away may ask its sender alone to stay away, and serve others: it is
 * kept out of that owner's choices, and of nobody else's. An owner whom all servers keep away waits
 * for the first that ends it if that is in time, and is refused with that time otherwise.
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
until (const Server *server, uint64_t owner)
{
  const Backoff *backoff = server->backoffs ? g_hash_table_lookup (server->backoffs, &owner) : NULL;

  return backoff ? backoff->until : 0;
}

bool
boff_is_over (const Server *server, uint64_t owner, int64_t now)
{
  return until (server, owner) <= now;
}

void
boff_forget (Sched *sched, uint64_t owner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Server *) value)->backoffs)
      g_hash_table_remove (((Server *) value)->backoffs, &owner);
}

int64_t
boff_opens_at (const Service *service, uint64_t owner, int64_t now)
{
  const Server *server;
  int64_t soonest = INT64_MAX;

  if (service->backoff_until <= now)
    return now;
  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (server->listed && !server->leaving && server->use == USE_YES)
      soonest = MIN (soonest, MAX (until (server, owner), now));
  }
  return soonest == INT64_MAX ? now : soonest;
}

bool
boff_any_place (const Sched *sched, const Job *job, int64_t now)
{
  const Server *server;

  cds_list_for_each_entry (server, &job->service->servers, link)
  {
    if (est_has_place (sched, server, now) && boff_may (server, job->key.owner, now))
      return true;
  }
  return false;
}
