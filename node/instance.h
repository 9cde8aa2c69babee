/* instance.h - the two kinds of instance: an entry serves callers, a voter keeps the log. */
#ifndef INSTANCE_H
#define INSTANCE_H

#include "broker.h"
#include "loop.h"
#include "mesh.h"
#include "adapter.h"
#include "settings.h"

/* Operations of both kinds. All are called in the loop's thread. */
typedef struct Instance Instance;
typedef struct
{
  /* The process was asked to stop; the instance calls loop_stop when it is ready to. */
  void (*leave) (Instance *instance);
  /* The settings file was reloaded. */
  void (*settings) (Instance *instance, const Settings *settings);
  /* Metrics lines in addition to the counters; g_free. */
  char *(*describe) (Instance *instance);
  void (*destroy) (Instance *instance);
} InstanceOps;

struct Instance
{
  const InstanceOps *ops;
};

/* The caller keeps settings, which must outlive the instance. Errors name the field. */
FtStatus entry_new (const Settings *settings, const AdapterOps *adapter_ops, Loop *loop,
                    Instance **out, FtError *error);
FtStatus control_new (const Settings *settings, const AdapterOps *adapter_ops, Loop *loop,
                      Instance **out, FtError *error);
/* Checks that the addresses of this instance can be bound now, without listening there. FT_IO:
 * error names the field. */
FtStatus instance_check_addresses (const Settings *settings, FtError *error);
/* Opens the mesh on the configured port, with a new random incarnation. NULL: error names the
 * field. */
Mesh *instance_open_mesh (const Settings *settings, MeshRole role, Loop *loop, const MeshOps *ops,
                          void *host, FtError *error);
/* Applies the settings on limit margins, handover and shares to a scheduler. alone: see
 * quota_set_margin. */
void instance_configure_broker (const Settings *settings, Broker *broker, bool alone);
/* A random number other than 0. */
uint64_t instance_random (void);

#endif
