/* reporter.c - an entry that the test plays. */
#include "reporter.h"

static void
on_link_up (void *host, MeshPeer *peer)
{
  Reporter *reporter = host;

  if (reporter->voter_count < FLEET_VOTERS)
    reporter->voters[reporter->voter_count++] = peer;
}

static void
on_link_down (void *host, MeshPeer *peer)
{
  Reporter *reporter = host;

  for (unsigned i = 0; i < reporter->voter_count; i++)
    if (reporter->voters[i] == peer)
      {
        reporter->voters[i] = reporter->voters[--reporter->voter_count];
        return;
      }
}

static void
on_link_message (void *host, MeshPeer *peer, const MeshMsg *msg)
{
  Reporter *reporter = host;

  (void) peer;
  if (msg->kind == MESH_CRASH_ACK)
    reporter->acknowledged++;
  if (msg->kind != MESH_CRASH_TABLE)
    return;
  reporter->published = msg->MeshMsg_u.blamed.suspects.suspects_len;
  reporter->most_published = MAX (reporter->most_published, reporter->published);
}

static const MeshOps reporter_ops = { on_link_up, on_link_message, on_link_down };

void
reporter_open (Fleet *fleet, Reporter *reporter)
{
  uint32_t ip = fleet->voters[0].ip + 70; /* of no other instance or server of the fleet */
  MeshHello hello = {
    .address = ip, .lifetime = 1, .role = MESH_ENTRY, .domain = (char *) "z", .listed = true
  };

  *reporter = (Reporter){ 0 };
  reporter->mesh = mesh_new (fleet->loop, (SockAddr){ ip, FLEET_LINK_PORT }, FLEET_LINK_PORT,
                             &hello, &reporter_ops, reporter);
  g_assert_nonnull (reporter->mesh);
  for (unsigned i = 0; i < FLEET_VOTERS; i++)
    if (fleet->voters[i].pid)
      mesh_dial (reporter->mesh, fleet->voters[i].ip);
}

void
reporter_close (Reporter *reporter)
{
  mesh_free (reporter->mesh);
}

bool
reporter_send_crash (Reporter *reporter, const char *server, const uint64_t *keys, unsigned count)
{
  MeshMsg msg = { .kind = MESH_CRASH };

  if (reporter->voter_count == 0)
    return false;
  msg.MeshMsg_u.ended = (MeshCrash){ .number = ++reporter->sent,
                                     .server = (char *) server,
                                     .contents = { count, (u_quad_t *) keys } };
  for (unsigned i = 0; i < reporter->voter_count; i++)
    mesh_send (reporter->voters[i], &msg);
  return true;
}
