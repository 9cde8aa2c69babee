/* suspects.h - a voter's part in finding contents that crash servers: writes the crashes that
 * entries report to the log, publishes the resulting table to entries, and lets operators list and
 * release contents. */
#ifndef SUSPECTS_H
#define SUSPECTS_H

#include "mesh.h"
#include "voter.h"

typedef struct Suspects Suspects;

/* The arguments must outlive the object. */
Suspects *suspects_new (Loop *loop, Voter *voter);
void suspects_free (Suspects *suspects);
/* The link to a peer has been established or is about to close. */
void suspects_up (Suspects *suspects, MeshPeer *peer);
void suspects_down (Suspects *suspects, const MeshPeer *peer);
/* Handles a message; returns false if it belongs to another module. */
bool suspects_message (Suspects *suspects, MeshPeer *peer, const MeshMsg *msg);
/* To be called when the committed crash table has changed, and when this voter has started. */
void suspects_committed (Suspects *suspects);
/* Result of a proposal, as reported by VoterOps.verdict. */
void suspects_verdict (Suspects *suspects, uint64_t ticket, FtStatus status);
/* To be called about every 20 ms. */
void suspects_tick (Suspects *suspects);

/* Returns all suspected and quarantined contents as JSON; free with g_free. */
char *suspects_list (const Suspects *suspects);
/* Releases a content: its crash count is reset and servers get it again. Returns the ticket of the
 * proposal, whose result suspects_verdict receives, or 0 if no crash is recorded for the content.
 */
uint64_t suspects_release (Suspects *suspects, uint64_t content);
/* Appends lines of metrics. */
void suspects_describe (const Suspects *suspects, GString *out);

#endif
