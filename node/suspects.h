/* suspects.h - a voter's part in finding contents that end servers: takes what entries saw into the
 * log, tells entries what the log says, and lets operators look and let go. */
#ifndef SUSPECTS_H
#define SUSPECTS_H

#include "mesh.h"
#include "voter.h"

typedef struct Suspects Suspects;

/* All that it is given must outlive it. */
Suspects *suspects_new (Loop *loop, Voter *voter);
void suspects_free (Suspects *suspects);
/* A link has come up or goes down. */
void suspects_up (Suspects *suspects, MeshPeer *peer);
void suspects_down (Suspects *suspects, const MeshPeer *peer);
/* False: the message is not this module's. */
bool suspects_message (Suspects *suspects, MeshPeer *peer, const MeshMsg *msg);
/* The committed account has changed, or this voter has started. */
void suspects_committed (Suspects *suspects);
/* The end of a proposal, as VoterOps.verdict tells it. */
void suspects_verdict (Suspects *suspects, uint64_t ticket, FtStatus status);
/* Call every 20 ms or so. */
void suspects_tick (Suspects *suspects);

/* All contents that are held, and those with fewer ends, as JSON; g_free. */
char *suspects_list (const Suspects *suspects);
/* Lets a content go: servers get it again, and its ends count from 0. A ticket of the voter's, with
 * which the verdict follows; 0: nothing is said against it. */
uint64_t suspects_release (Suspects *suspects, uint64_t content);
/* Lines for metrics. */
void suspects_describe (const Suspects *suspects, GString *out);

#endif
