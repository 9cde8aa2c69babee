/* origdir.h - the directory of the origins of streams: entries record there which servers began a
 * stream and ask for it when a caller takes a stream up again; voters hold the records. */
#ifndef ORIGDIR_H
#define ORIGDIR_H

#include "mesh.h"
#include "origins.h"
#include "servers.h"

#include <urcu/list.h>

typedef struct OriginDir OriginDir;

/* max: streams held. */
OriginDir *origdir_new (Loop *loop, Mesh *mesh, unsigned max);
void origdir_free (OriginDir *dir);
/* Call with each list of servers, also an unchanged one. */
void origdir_note_list (OriginDir *dir, const Servers *servers);
/* The table of records and versions; owned by the directory. */
Origins *origdir_origins (OriginDir *dir);
/* See origins_is_complete. */
bool origdir_knows_versions (const OriginDir *dir);
/* See origins_only_version. */
const char *origdir_only_version (OriginDir *dir, const char *service);

/* Records a stream whose first event this entry passes on, here and at voters. */
void origdir_record (OriginDir *dir, const Origin *origin);
/* What is known here; NULL: nothing. */
const Origin *origdir_find (OriginDir *dir, uint64_t stream);

/* ---- Asking others ---- */

#define ORIGDIR_ASKED_MAX 16

typedef struct OriginLookup OriginLookup;

/* Owned by who asks. */
struct OriginLookup
{
  struct cds_list_head link;
  LoopTimer timer;
  OriginDir *dir; /* NULL: not asking */
  uint64_t stream;
  const MeshPeer *asked[ORIGDIR_ASKED_MAX]; /* have not answered yet */
  unsigned asked_count, denied_count;       /* denied: answered that they do not know it */
  unsigned sent_count;                      /* asked so far */
  int64_t until;
  /* Called once, not from within origdir_ask. origin NULL: nobody reached knows it. */
  void (*done) (OriginLookup *lookup, const Origin *origin);
};

/* Asks all voters and deputies that are linked, and those whose links come up until wait_us have
 * passed. Returns how many were asked at once. */
unsigned origdir_ask (OriginDir *dir, OriginLookup *lookup, uint64_t stream, int64_t wait_us,
                      void (*done) (OriginLookup *lookup, const Origin *origin));
/* Stops asking; done is not called. */
void origdir_cancel (OriginLookup *lookup);

/* ---- Other instances ---- */

void origdir_link_up (OriginDir *dir, MeshPeer *peer);
void origdir_link_down (OriginDir *dir, const MeshPeer *peer);
/* False: the message belongs to another module. */
bool origdir_message (OriginDir *dir, MeshPeer *peer, const MeshMsg *msg);
void origdir_describe (const OriginDir *dir, GString *out);

#endif
