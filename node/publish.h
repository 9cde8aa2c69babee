/* publish.h - sends views, catalogues and lists of servers from a voter to the linked instances. */
#ifndef PUBLISH_H
#define PUBLISH_H

#include "broker.h"
#include "voter.h"

typedef struct Publish Publish;

/* All arguments must stay valid until publish_free. */
Publish *publish_new (Loop *loop, Voter *voter, Servers *servers, Broker *broker);
void publish_free (Publish *pub);
/* A link has come up or goes down. This module owns peer->user of accepted links. */
void publish_link_up (Publish *pub, MeshPeer *peer);
void publish_link_down (Publish *pub, MeshPeer *peer);
/* The peer cannot apply changes to its list; it is sent the whole list in one of the next ticks. */
void publish_request_list (MeshPeer *peer);
/* Sets what views say about this voter: whether it is leaving and whether it reads the list. */
void publish_set_state (Publish *pub, bool leaving, bool reading);
/* Send at once: the view to one peer or to all, the newest document or changes of the list to all.
 */
void publish_view (Publish *pub, MeshPeer *peer);
void publish_views (Publish *pub);
void publish_documents (Publish *pub);
void publish_lists (Publish *pub);
/* Sends what has changed and repeats what was not confirmed. Call about every 20 ms. */
void publish_tick (Publish *pub);
/* Number of linked entries; *lost, unless NULL: number of entries whose link was lost recently. */
unsigned publish_count_entries (const Publish *pub, unsigned *lost);

#endif
