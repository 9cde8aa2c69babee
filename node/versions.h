/* versions.h - which versions of servers an entry may send to, as voters have told it. */
#ifndef VERSIONS_H
#define VERSIONS_H

#include "broker.h"

typedef struct RouteVersions RouteVersions;

RouteVersions *versions_new (Broker *broker);
void versions_free (RouteVersions *versions);
/* A voter's word; an older one than the newest changes nothing. */
void versions_take (RouteVersions *versions, const MeshRollouts *rollouts);
/* Servers of the version get no request, whoever grants it. version NULL: not known. */
bool versions_bar (const RouteVersions *versions, const char *service, const char *version);

#endif
