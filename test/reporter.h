/* reporter.h - an entry that the test plays: it reports crashes of servers to the voter in charge,
 * and notes the crash table that voters publish. */
#ifndef TEST_REPORTER_H
#define TEST_REPORTER_H

#include "fleet.h"
#include "mesh.h"

typedef struct
{
  Mesh *mesh;
  MeshPeer *voters[FLEET_VOTERS]; /* those that are linked */
  unsigned voter_count;
  uint64_t sent, acknowledged;
  unsigned published, most_published; /* suspects in the newest table, and in the largest */
} Reporter;

/* Links the entry to all voters that run, again whenever a link is lost. */
void reporter_open (Fleet *fleet, Reporter *reporter);
void reporter_close (Reporter *reporter);
/* Reports that the server crashed while it ran these keys, MESH_CONTENTS_MAX at most; the voter in
 * charge acknowledges it. Returns false if there is no link. */
bool reporter_send_crash (Reporter *reporter, const char *server, const uint64_t *keys,
                          unsigned count);

#endif
