/* publish.h - views, catalogues and lists of servers from a voter to the instances linked to it. */
#ifndef PUBLISH_H
#define PUBLISH_H

#include "broker.h"
#include "voter.h"

typedef struct Publish Publish;

/* All that it is given must outlive it. */
Publish *publish_new (Loop *loop, Voter *voter, Servers *servers, Broker *broker);
void publish_free (Publish *pub);
/* A link has come up or goes down. peer->user of accepted links belongs to this module. */
void publish_link_up (Publish *pub, MeshPeer *peer);
void publish_link_down (Publish *pub, MeshPeer *peer);
/* The peer cannot apply changes of the list. It is sent the whole with one of the next ticks. */
void publish_request_list (MeshPeer *peer);
/* What the view says of this voter from now on: that it leaves, that it reads the list. */
void publish_set_state (Publish *pub, bool leaving, bool reading);
/* Sends at once: the view to one peer or to all, the newest document or the list's changes to all.
 */
void publish_view (Publish *pub, MeshPeer *peer);
void publish_views (Publish *pub);
void publish_documents (Publish *pub);
void publish_lists (Publish *pub);
/* Sends what has changed, repeats what was not confirmed. Call every 20 ms or so. */
void publish_tick (Publish *pub);
/* Entries that are linked; *lost, unless NULL: those that were until lately. */
unsigned publish_count_entries (const Publish *pub, unsigned *lost);

#endif
