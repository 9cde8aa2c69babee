/* adapter.c - frees the records of adapter.h. */
#include "adapter.h"

void
adapter_server_clear (void *data)
{
  AdapterServer *server = data;

  g_free (server->id);
  g_free (server->name);
  g_free (server->service);
  g_free (server->domain);
  g_free (server->version);
}

void
adapter_rollout_clear (AdapterRollout *rollout)
{
  g_free (rollout->service);
  g_free (rollout->target);
}
