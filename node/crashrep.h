/* crashrep.h - an entry's part in finding contents and parts of prompts that crash servers: reports
 * the crashes that it detects to the voters, receives the table of all crashes, and decides which
 * requests may still be sent. */
#ifndef CRASHREP_H
#define CRASHREP_H

#include "ends.h"
#include "mesh.h"
#include "quarantine.h"

typedef struct CrashReporter CrashReporter;

/* egress, lifetimes: as for crashdet_new. changed is called when the decision about some content
 * may have changed. */
CrashReporter *crashrep_new (Loop *loop, Mesh *mesh, HCli *cli, Egress *egress,
                             Lifetimes *lifetimes, void (*changed) (void *host), void *host);
void crashrep_free (CrashReporter *reporter);

/* Whether a request with these keys may be sent. */
QuarVerdict crashrep_check (const CrashReporter *reporter, const Fingerprint *print);

/* ---- Results of requests ---- */

/* The connection on which the server was running the request was lost. */
void crashrep_connection_lost (CrashReporter *reporter, const LifetimeTarget *server,
                               const CrashRun *run);
/* The request was abandoned while the server was running it. */
void crashrep_abandoned (CrashReporter *reporter, const char *server, const CrashRun *run);
/* A connection to the server's address was refused. */
void crashrep_refused (CrashReporter *reporter, const char *server);
/* An answer has begun to a request with these parts: the first event of a stream, or the complete
 * answer to a plain call. */
void crashrep_began (CrashReporter *reporter, const Fingerprint *print);
/* The server has completely answered a request of this content, which was sent at sent_at. */
void crashrep_answered (CrashReporter *reporter, const char *server, const Fingerprint *print,
                        int64_t sent_at);

/* ---- Other instances ---- */

/* Sets the voter in charge; NULL: none is reachable. */
void crashrep_set_voter (CrashReporter *reporter, MeshPeer *voter);
/* The link to the peer is about to close. */
void crashrep_peer_down (CrashReporter *reporter, const MeshPeer *peer);
/* Handles a message; returns false if it belongs to another module. */
bool crashrep_message (CrashReporter *reporter, MeshPeer *peer, const MeshMsg *msg);
/* To be called about every 40 ms. */
void crashrep_tick (CrashReporter *reporter);
/* Appends lines of metrics. */
void crashrep_describe (const CrashReporter *reporter, GString *out);

#endif
