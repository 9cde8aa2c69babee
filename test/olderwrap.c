/* olderwrap.c - linked into the foxtailnode of the tests with --wrap=broker_message. A process with
 * FOXTAILNODE_OLDER in its environment schedules as an older program, which ignores the
 * field software of an ask. */
#include "broker.h"

#include <stdlib.h>

bool __real_broker_message (Broker *broker, MeshPeer *peer, const MeshMsg *msg);
bool __wrap_broker_message (Broker *broker, MeshPeer *peer, const MeshMsg *msg);

bool
__wrap_broker_message (Broker *broker, MeshPeer *peer, const MeshMsg *msg)
{
  static char none[] = "";
  MeshMsg older = *msg;

  if (msg->kind == MESH_ASK && getenv ("FOXTAILNODE_OLDER"))
    older.MeshMsg_u.ask.software = none;
  return __real_broker_message (broker, peer, &older);
}
