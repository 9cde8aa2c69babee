/* versions.h - which versions of servers an entry may send to, as voters have told it. */
#ifndef VERSIONS_H
#define VERSIONS_H

#include "broker.h"

typedef struct EntryVersions EntryVersions;

EntryVersions *versions_new (Broker *broker);
void versions_free (EntryVersions *versions);
/* A voter's word; an older one than the newest changes nothing. */
void versions_update (EntryVersions *versions, const MeshRollouts *rollouts);
/* Servers of the version get no request, whoever grants it. version NULL: not known. */
bool versions_is_blocked (const EntryVersions *versions, const char *service, const char *version);

#endif
