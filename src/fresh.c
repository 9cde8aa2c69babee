/* fresh.c - withholds resumable streams from the servers of a version that has just joined.
 *
 * An instance that knows nothing of a stream lets it go on if its list shows a single version. That
 * list may be up to ORIGINS_LIST_AGE_MAX old, so a version that it lacks must have begun no stream
 * yet. Each scheduler ensures that by itself: streams begin at a version only once it has been
 * listed for ORIGINS_JOIN_TIME. This needs no message, and so holds for instances that reach no
 * other one.
 *
 * A version that is listed alone is not withheld: no server of another one is left at which a
 * stream could go on.
 */
#include "schedint.h"
#include "origins.h"

#include <string.h>

/* A version that was absent for longer joins anew. Instances remember it for ORIGINS_TIME_MAX after
 * they saw it last, which may be earlier than this scheduler did. */
#define ABSENCE_MAX (ORIGINS_TIME_MAX / 2)

typedef struct
{
  int64_t joined_at;
  int64_t absent_from; /* valid unless listed */
  bool listed;
  bool initial; /* it was in this scheduler's first list, so it may have joined long before */
} Presence;

GHashTable *
fresh_presences_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static bool
has_settled (const Presence *presence, int64_t now)
{
  return now - presence->joined_at >= ORIGINS_JOIN_TIME;
}

static void
settle (Presence *presence, int64_t now)
{
  presence->joined_at = MIN (presence->joined_at, now - ORIGINS_JOIN_TIME);
}

static Presence *
note_listed (Service *service, const char *version, int64_t now)
{
  Presence *presence = g_hash_table_lookup (service->presences, version);

  if (presence == NULL)
    {
      presence = g_new0 (Presence, 1);
      presence->joined_at = now;
      presence->initial = !service->was_listed;
      g_hash_table_insert (service->presences, g_strdup (version), presence);
    }
  else if (presence->absent_from
           && (!has_settled (presence, presence->absent_from)
               || now - presence->absent_from > ABSENCE_MAX))
    {
      presence->joined_at = now;
      presence->initial = false;
    }
  presence->absent_from = 0;
  presence->listed = true;
  return presence;
}

/* Notes the absence of versions that are not listed any more, and drops old ones. */
static gboolean
note_absent (gpointer key, gpointer value, gpointer data)
{
  Presence *presence = value;
  int64_t now = *(const int64_t *) data;

  (void) key;
  if (presence->listed)
    return FALSE;
  if (presence->absent_from == 0)
    presence->absent_from = now;
  return now - presence->absent_from > ABSENCE_MAX;
}

static void
update_servers (Service *service)
{
  Server *server;

  cds_list_for_each_entry (server, &service->servers, link)
  {
    const Presence *presence = g_hash_table_lookup (service->presences, server->version);
    server->streams_from = presence ? presence->joined_at + ORIGINS_JOIN_TIME : 0;
  }
}

void
fresh_note_list (Service *service, int64_t now)
{
  GHashTableIter iter;
  gpointer value;
  Server *server;
  Presence *first = NULL;
  bool alone = true;

  g_hash_table_iter_init (&iter, service->presences);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Presence *) value)->listed = false;
  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (!server->listed)
      continue;
    Presence *presence = note_listed (service, server->version, now);
    alone = alone && (first == NULL || presence == first);
    first = presence;
  }
  if (first && alone)
    settle (first, now);
  service->was_listed |= first != NULL;
  g_hash_table_foreach_remove (service->presences, note_absent, &now);
  update_servers (service);
}

void
fresh_settle_initial (Service *service, const char *version, int64_t now)
{
  Presence *presence = g_hash_table_lookup (service->presences, version);

  if (presence == NULL || !presence->initial)
    return;
  settle (presence, now);
  update_servers (service);
}

bool
fresh_begins_within (const Service *service, const char *version, int64_t within, int64_t now)
{
  const Presence *presence = g_hash_table_lookup (service->presences, version);

  return presence
         && has_settled (presence, presence->absent_from ? presence->absent_from : now + within);
}

bool
fresh_is_withheld (const Job *job, const Server *server, int64_t now)
{
  return now < server->streams_from && job->version == NULL && job->ask.stream
         && job->ask.repeatable;
}
