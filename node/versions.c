/* versions.c - an entry's knowledge of versions, and what its own scheduler makes of it.
 *
 * A trial is the voter's in charge alone, so that what the new version gets is counted in one
 * place: an entry's own scheduler, also as deputy, gives nothing to a version that is only tried.
 * An entry that has been cut off since the trial finds no server of the version before in its list
 * once the move is done, and goes on with the other then.
 */
#include "versions.h"
#include "codec.h"
#include "jlog.h"

#include <string.h>

struct EntryVersions
{
  Broker *broker;
  uint64_t index;
  GHashTable *services; /* name: MeshVersions, whose texts are its own */
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
give_to_scheduler (const EntryVersions *versions, const MeshVersions *from)
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
take_one (EntryVersions *versions, const MeshVersions *from)
{
  MeshVersions *copy = g_new0 (MeshVersions, 1);

  copy->service = strdup (from->service);
  copy->target = strdup (from->target);
  copy->before = strdup (from->before);
  copy->phase = from->phase;
  g_hash_table_replace (versions->services, copy->service, copy);
  give_to_scheduler (versions, copy);
}

void
versions_update (EntryVersions *versions, const MeshRollouts *from)
{
  if (from->index <= versions->index)
    return;
  versions->index = from->index;
  for (unsigned i = 0; i < from->services.services_len; i++)
    take_one (versions, &from->services.services_val[i]);
  jlog (JLOG_INFO, "versions", NULL, JL_INT ("index", from->index),
        JL_INT ("services", from->services.services_len));
}

bool
versions_is_blocked (const EntryVersions *versions, const char *service, const char *version)
{
  const MeshVersions *known = g_hash_table_lookup (versions->services, service);

  if (known == NULL || version == NULL || strcmp (known->before, known->target) == 0)
    return false;
  if (known->phase == MESH_VERSIONS_MOVED)
    return strcmp (version, known->before) == 0;
  return known->phase == MESH_VERSIONS_ROLLED_BACK && strcmp (version, known->target) == 0;
}
