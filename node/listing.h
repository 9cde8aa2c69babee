/* listing.h - a voter's part in knowing which versions of servers were listed lately: the voter in
 * charge keeps them in the log and sends them to the entries. */
#ifndef LISTING_H
#define LISTING_H

#include "broker.h"
#include "origdir.h"
#include "voter.h"

typedef struct Listing Listing;

/* The arguments must outlive the object. */
Listing *listing_new (Loop *loop, Mesh *mesh, Voter *voter, Broker *broker, Origins *origins);
void listing_free (Listing *listing);
/* The link to a peer has been established or is about to close. */
void listing_up (Listing *listing, MeshPeer *peer);
void listing_down (Listing *listing, const MeshPeer *peer);
/* To be called when the committed table has changed, and when this voter has started. */
void listing_committed (Listing *listing);
/* Result of a proposal, as reported by VoterOps.verdict. */
void listing_verdict (Listing *listing, uint64_t ticket);
/* To be called about every 20 ms. */
void listing_tick (Listing *listing);

#endif
