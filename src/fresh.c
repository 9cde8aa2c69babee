/* fresh.c - withholds resumable streams from the servers of a version that has just joined.
 *
 * An instance that knows nothing of a stream lets it go on if its list shows a single version. That
 * list may be up to ORIGINS_LIST_AGE_MAX old, so a version that it lacks must have begun no stream
 * yet. Each scheduler ensures that by itself: streams begin at a version only once it has been in
 * the lists for ORIGINS_JOIN_TIME. This needs no message, and so holds for instances that reach no
 * other one. Times are those at which a list had been received, and no time without lists counts.
 *
 * A version is not withheld if no other one has had a ready server for OTHERS_GONE_TIME: where a
 * list still shows another one alone, its servers get nothing new any more. The only version that
 * is known counts as settled. Where versions are moved by order, the order decides alone.
 */
#include "schedint.h"
#include "origins.h"

/* A version that was absent for longer joins anew. Instances remember it for ORIGINS_TIME_MAX after
 * they saw it last, which may be earlier than this scheduler did. */
#define ABSENCE_MAX (ORIGINS_TIME_MAX - 10 * FT_SECOND)
/* ORIGINS_LIST_AGE_MAX, and what the platform's list lags. */
#define OTHERS_GONE_TIME (4 * FT_SECOND)
/* Enough to commit that streams begin at a version. Less than ORIGINS_JOIN_TIME -
 * ORIGINS_LIST_AGE_MAX, so that no list without the version decides any more. */
#define SOON FT_SECOND

typedef struct
{
  int64_t joined_at;
  int64_t listed_at; /* in the newest list that has it */
  int64_t ready_at;  /* when it last had a server that was not leaving; 0: never */
  bool initial;      /* it was in this scheduler's first list, so it may have joined before */
  bool withheld;
} Presence;

GHashTable *
fresh_presences_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static bool
has_settled (const Presence *presence)
{
  return presence->listed_at - presence->joined_at >= ORIGINS_JOIN_TIME;
}

static void
settle (Presence *presence, int64_t at)
{
  presence->joined_at = MIN (presence->joined_at, at - ORIGINS_JOIN_TIME);
}

static bool
joins_anew (const Service *service, const Presence *presence, int64_t at)
{
  bool was_absent = presence->listed_at < service->list_at;

  return (was_absent && !has_settled (presence)) || at - presence->listed_at > ABSENCE_MAX;
}

static void
note_server (Service *service, const Server *server, int64_t at)
{
  Presence *presence = g_hash_table_lookup (service->presences, server->version);

  if (presence == NULL)
    {
      presence = g_new0 (Presence, 1);
      presence->joined_at = at;
      presence->initial = service->list_at == 0;
      if (presence->initial && g_hash_table_contains (service->settled, server->version))
        settle (presence, at);
      g_hash_table_insert (service->presences, g_strdup (server->version), presence);
    }
  else if (presence->listed_at < at && joins_anew (service, presence, at))
    {
      presence->joined_at = at;
      presence->initial = false;
    }
  presence->listed_at = at;
  if (!server->leaving)
    presence->ready_at = at;
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer data)
{
  (void) key;
  return *(const int64_t *) data - ((const Presence *) value)->listed_at > ABSENCE_MAX;
}

static void
decide (Service *service, int64_t at)
{
  GHashTableIter iter;
  gpointer value;
  Presence *ready = NULL; /* a version that was ready lately */
  bool several = false;

  g_hash_table_iter_init (&iter, service->presences);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Presence *presence = value;
      if (presence->ready_at == 0 || at - presence->ready_at >= OTHERS_GONE_TIME)
        continue;
      several = several || ready != NULL;
      ready = presence;
    }
  if (g_hash_table_size (service->presences) == 1 && ready)
    settle (ready, at);
  g_hash_table_iter_init (&iter, service->presences);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Presence *presence = value;
      presence->withheld = !has_settled (presence) && (several || (ready && ready != presence));
    }
}

/* Decides by the newest list. */
static void
apply (Service *service)
{
  Server *server;

  decide (service, service->list_at);
  cds_list_for_each_entry (server, &service->servers, link)
  {
    const Presence *presence = g_hash_table_lookup (service->presences, server->version);
    server->withheld = presence && presence->withheld;
  }
}

void
fresh_note_list (Service *service, int64_t at)
{
  Server *server;

  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (server->listed)
      note_server (service, server, at);
  }
  g_hash_table_foreach_remove (service->presences, is_forgotten, &at);
  service->list_at = at;
  apply (service);
}

void
fresh_settle (Service *service, const char *version)
{
  Presence *presence = g_hash_table_lookup (service->presences, version);

  if (service->list_at == 0)
    g_hash_table_add (service->settled, g_strdup (version));
  if (presence == NULL || !presence->initial)
    return;
  settle (presence, presence->listed_at);
  apply (service);
}

bool
fresh_begins_soon (const Service *service, const char *version, int64_t now)
{
  const Presence *presence = g_hash_table_lookup (service->presences, version);

  if (presence == NULL)
    return false;
  bool listed = presence->listed_at == service->list_at;
  bool soon = now - presence->joined_at >= ORIGINS_JOIN_TIME - SOON;
  return has_settled (presence)
         || (listed && (soon || !presence->withheld || !service->versions.all_in_use));
}

bool
fresh_has_just_joined (const Server *server)
{
  return server->withheld && server->service->versions.all_in_use;
}

bool
fresh_is_withheld (const Job *job, const Server *server)
{
  return fresh_has_just_joined (server) && job->version == NULL && job->ask.stream
         && job->ask.repeatable;
}
