/* crashrep.h - an entry's part in finding contents that end servers: tells voters what it saw,
 * hears what all saw, and says what may still be sent. */
#ifndef CRASHREP_H
#define CRASHREP_H

#include "ends.h"
#include "mesh.h"
#include "quarantine.h"

typedef struct CrashReporter CrashReporter;

/* changed: other verdicts than before may be given from now on. */
CrashReporter *crashrep_new (Loop *loop, Mesh *mesh, HCli *cli, void (*changed) (void *host),
                             void *host);
void crashrep_free (CrashReporter *witness);

/* May a request of this content be sent? */
QuarVerdict crashrep_check (const CrashReporter *witness, uint64_t content);

/* ---- What requests came to ---- */

/* The connection broke on which the server at addr was running the request. */
void crashrep_connection_lost (CrashReporter *witness, const char *server, SockAddr addr,
                               uint64_t content, const char *request);
/* The request was given up while the server was running it. */
void crashrep_abandoned (CrashReporter *witness, const char *server, uint64_t content,
                         const char *request);
/* Nobody listens at the server's address. */
void crashrep_refused (CrashReporter *witness, const char *server);
/* The server has answered the content, sent at sent_at, whole. */
void crashrep_answered (CrashReporter *witness, const char *server, uint64_t content,
                        int64_t sent_at);

/* ---- Other instances ---- */

/* The voter in charge; NULL: none can be heard. */
void crashrep_set_voter (CrashReporter *witness, MeshPeer *voter);
/* The peer's link goes down. */
void crashrep_peer_down (CrashReporter *witness, const MeshPeer *peer);
/* False: the message is not this module's. */
bool crashrep_message (CrashReporter *witness, MeshPeer *peer, const MeshMsg *msg);
/* Call every 40 ms or so. */
void crashrep_tick (CrashReporter *witness);
/* Lines for metrics. */
void crashrep_describe (const CrashReporter *witness, GString *out);

#endif
