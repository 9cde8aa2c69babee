/* instance.h - the two kinds of instances: entries take callers, voters keep the log. */
#ifndef INSTANCE_H
#define INSTANCE_H

#include "broker.h"
#include "loop.h"
#include "mesh.h"
#include "seam.h"
#include "settings.h"

/* What both kinds answer to. All in the loop's thread. */
typedef struct Instance Instance;
typedef struct
{
  /* The process was asked to end; the instance calls loop_stop once it may. */
  void (*leave) (Instance *instance);
  /* The settings were read again. */
  void (*settings) (Instance *instance, const Settings *settings);
  /* Lines for metrics beside the counters; g_free. */
  char *(*describe) (Instance *instance);
  void (*destroy) (Instance *instance);
} InstanceOps;

struct Instance
{
  const InstanceOps *ops;
};

/* settings stay the caller's and must outlive the instance. Errors name the field. */
FtStatus entry_new (const Settings *settings, const Seam *seam, Loop *loop, Instance **out,
                    FtError *error);
FtStatus control_new (const Settings *settings, const Seam *seam, Loop *loop, Instance **out,
                      FtError *error);
/* Listens for other instances where the settings say, under a lifetime of its own. NULL: error
 * names the field. */
Mesh *instance_links (const Settings *settings, MeshRole role, Loop *loop, const MeshOps *ops,
                      void *host, FtError *error);
/* Gives a scheduler what the settings say of limits' margins and of load. alone: see
 * quota_set_margin.
 */
void instance_broker (const Settings *settings, Broker *broker, bool alone);
/* A random number that is not 0. */
uint64_t instance_random (void);

#endif
