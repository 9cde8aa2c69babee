/* olderwrap.c - linked into the foxtailnode of the tests with --wrap=broker_message and
 * --wrap=platform_read_catalogue. A process with FOXTAILNODE_OLDER in its environment works as an
 * older program: it ignores the field software of an ask, and reads versions of catalogues as
 * doubles. */
#include "broker.h"
#include "platform.h"

#include <stdlib.h>
#include <string.h>

bool __real_broker_message (Broker *broker, MeshPeer *peer, const MeshMsg *msg);
bool __wrap_broker_message (Broker *broker, MeshPeer *peer, const MeshMsg *msg);
FtStatus __real_platform_read_catalogue (const char *text, size_t size, uint64_t number,
                                         RtCat **out, FtError *error);
FtStatus __wrap_platform_read_catalogue (const char *text, size_t size, uint64_t number,
                                         RtCat **out, FtError *error);

bool
__wrap_broker_message (Broker *broker, MeshPeer *peer, const MeshMsg *msg)
{
  static char none[] = "";
  MeshMsg older = *msg;

  if (msg->kind == MESH_ASK && getenv ("FOXTAILNODE_OLDER"))
    older.MeshMsg_u.ask.software = none;
  return __real_broker_message (broker, peer, &older);
}

/* Reads the text with its version rounded, under that number. */
FtStatus
__wrap_platform_read_catalogue (const char *text, size_t size, uint64_t number, RtCat **out,
                                FtError *error)
{
  static const char name[] = "\"Version\":";
  char *copy = g_strndup (text, size), *at = strstr (copy, name);

  if (getenv ("FOXTAILNODE_OLDER") == NULL || at == NULL)
    {
      g_free (copy);
      return __real_platform_read_catalogue (text, size, number, out, error);
    }
  char *digits = at + strlen (name), *end;
  uint64_t rounded = (uint64_t) g_ascii_strtod (digits, &end);
  *digits = '\0';
  char *older = g_strdup_printf ("%s%" G_GUINT64_FORMAT "%s", copy, rounded, end);
  FtStatus status = __real_platform_read_catalogue (older, strlen (older), rounded, out, error);
  g_free (older);
  g_free (copy);
  return status;
}
