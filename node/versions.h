/* versions.h - the server versions to which an entry may send requests, as published by the
 * voters. */
#ifndef VERSIONS_H
#define VERSIONS_H

#include "broker.h"

typedef struct EntryVersions EntryVersions;

EntryVersions *versions_new (Broker *broker);
void versions_free (EntryVersions *versions);
/* Applies a voter's message, unless it is older than the newest one applied. */
void versions_update (EntryVersions *versions, const MeshRollouts *rollouts);
/* Whether servers of the version must get no request, whichever scheduler grants it. version NULL:
 * unknown. kept: the voter in charge grants it for a stream that the version began; it knows
 * whether the servers are about to stop. */
bool versions_is_blocked (const EntryVersions *versions, const char *service, const char *version,
                          bool kept);

#endif
