/* versions.c - keeps the published versions on an entry and passes them to its own scheduler.
 *
 * Only the scheduler of the voter in charge sends requests to a version on trial, so that they are
 * counted in one place. An entry's own scheduler, also while it acts as deputy, sends none to it.
 * An entry that has been cut off since the trial finds no server of the previous version in its
 * list once the move is done, and then uses the target version.
 */
#include "versions.h"
#include "codec.h"
#include "jlog.h"

#include <string.h>

struct EntryVersions
{
  Broker *broker;
  uint64_t index;
  GHashTable *services; /* service name -> MeshVersions with its own copies of the strings */
};

static void
record_free (void *data)
{
  codec_clear (CODEC (MeshVersions), data);
  g_free (data);
}

EntryVersions *
versions_new (Broker *broker)
{
  EntryVersions *versions = g_new0 (EntryVersions, 1);

  versions->broker = broker;
  versions->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, record_free);
  return versions;
}

void
versions_free (EntryVersions *versions)
{
  if (versions == NULL)
    return;
  g_hash_table_unref (versions->services);
  g_free (versions);
}

static void
update_scheduler (const EntryVersions *versions, const MeshVersions *from)
{
  bool moved = from->phase == MESH_VERSIONS_MOVED;
  SchedVersions out = { .in_use = moved ? from->target : from->before,
                        .other = moved ? from->before : from->target,
                        .ordered = from->target,
                        .follows = from->phase == MESH_VERSIONS_TRYING };

  if (strcmp (from->before, from->target) == 0)
    out.other = "";
  broker_set_versions (versions->broker, from->service, &out);
}

static void
update_service (EntryVersions *versions, const MeshVersions *from)
{
  MeshVersions *copy = g_new0 (MeshVersions, 1);

  copy->service = strdup (from->service);
  copy->target = strdup (from->target);
  copy->before = strdup (from->before);
  copy->phase = from->phase;
  g_hash_table_replace (versions->services, copy->service, copy);
  update_scheduler (versions, copy);
}

void
versions_update (EntryVersions *versions, const MeshRollouts *from)
{
  if (from->index <= versions->index)
    return;
  versions->index = from->index;
  for (unsigned i = 0; i < from->services.services_len; i++)
    update_service (versions, &from->services.services_val[i]);
  jlog (JLOG_INFO, "versions", NULL, JL_INT ("index", from->index),
        JL_INT ("services", from->services.services_len));
}

bool
versions_is_blocked (const EntryVersions *versions, const char *service, const char *version,
                     bool kept)
{
  const MeshVersions *current = g_hash_table_lookup (versions->services, service);

  if (current == NULL || version == NULL || strcmp (current->before, current->target) == 0)
    return false;
  if (current->phase == MESH_VERSIONS_MOVED)
    return !kept && strcmp (version, current->before) == 0;
  return current->phase == MESH_VERSIONS_ROLLED_BACK && strcmp (version, current->target) == 0;
}
