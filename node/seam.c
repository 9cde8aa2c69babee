/* seam.c - the seam's own records. */
#include "seam.h"

void
seam_server_clear (void *data)
{
  SeamServer *server = data;

  g_free (server->id);
  g_free (server->name);
  g_free (server->service);
  g_free (server->domain);
  g_free (server->version);
}

void
seam_rollout_clear (SeamRollout *rollout)
{
  g_free (rollout->service);
  g_free (rollout->target);
}
