/* instance.c - start-up code that entries and voters share. */
#include "instance.h"

#include <errno.h>
#include <sys/random.h>

uint64_t
instance_random (void)
{
  uint64_t bits = 0;

  if (getrandom (&bits, sizeof bits, 0) != sizeof bits)
    bits = ((uint64_t) g_random_int () << 32) | g_random_int ();
  return bits | 1;
}

FtStatus
instance_check_addresses (const Settings *settings, FtError *error)
{
  const Settings *s = settings;
  int64_t link = s->link_listen_port ? s->link_listen_port : s->link_port;
  bool entry = s->role == ROLE_ENTRY;
  const struct
  {
    const char *field;
    SockAddr addr;
    bool used;
  } all[] = { { "link_port", { s->ip, (uint16_t) link }, true },
              { "relay_port", { s->ip, (uint16_t) s->relay_port }, entry && s->relay_port },
              { "ready", s->ready, entry },
              { "callers", s->callers, entry },
              { "control", s->control, !entry } };
  char text[SOCK_ADDR_TEXT_SIZE];

  for (unsigned i = 0; i < G_N_ELEMENTS (all); i++)
    if (all[i].used && !sock_can_bind (all[i].addr))
      return ft_error_set (error, FT_IO, 0, all[i].field, "%s: %s",
                           sock_addr_format (all[i].addr, text), g_strerror (errno));
  return FT_OK;
}

Mesh *
instance_open_mesh (const Settings *settings, MeshRole role, Loop *loop, const MeshOps *ops,
                    void *host, FtError *error)
{
  int64_t port = settings->link_listen_port ? settings->link_listen_port : settings->link_port;
  SockAddr listen = { settings->ip, (uint16_t) port };
  MeshHello hello = { .address = settings->ip,
                      .lifetime = instance_random (),
                      .role = role,
                      .domain = settings->domain,
                      .origins = true,
                      .listed = true };
  Mesh *mesh = mesh_new (loop, listen, (uint16_t) settings->link_port, &hello, ops, host);

  if (mesh == NULL)
    ft_error_set (error, FT_IO, 0, "link_port", "%s", g_strerror (errno));
  return mesh;
}

void
instance_configure_broker (const Settings *settings, Broker *broker, bool alone)
{
  BrokerConf conf = { settings->handover_wait_ms * FT_MS, settings->return_part,
                      settings->return_place_part, settings->fair_shares, settings->all_versions };

  broker_set_margin (broker, settings->limit_overage, (double) settings->limit_slack,
                     (double) settings->limit_window_s, alone);
  broker_configure (broker, &conf);
}
