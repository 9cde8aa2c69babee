/* witness.h - an entry's part in finding contents that end servers: tells voters what it saw, hears
 * what all saw, and says what may still be sent. */
#ifndef WITNESS_H
#define WITNESS_H

#include "ends.h"
#include "mesh.h"
#include "quarantine.h"

typedef struct Witness Witness;

/* changed: other verdicts than before may be given from now on. */
Witness *witness_new (Loop *loop, Mesh *mesh, HCli *cli, void (*changed) (void *host), void *host);
void witness_free (Witness *witness);

/* May a request of this content be sent? */
QuarVerdict witness_judge (const Witness *witness, uint64_t content);

/* ---- What requests came to ---- */

/* The connection broke on which the server at addr was running the request. */
void witness_broke (Witness *witness, const char *server, SockAddr addr, uint64_t content,
                    const char *request);
/* The request was given up while the server was running it. */
void witness_left (Witness *witness, const char *server, uint64_t content, const char *request);
/* Nobody listens at the server's address. */
void witness_refused (Witness *witness, const char *server);
/* The server has answered the content, sent at sent_at, whole. */
void witness_answered (Witness *witness, const char *server, uint64_t content, int64_t sent_at);

/* ---- Other instances ---- */

/* The voter in charge; NULL: none can be heard. */
void witness_voter (Witness *witness, MeshPeer *voter);
/* The peer's link goes down. */
void witness_down (Witness *witness, const MeshPeer *peer);
/* False: the message is not this module's. */
bool witness_message (Witness *witness, MeshPeer *peer, const MeshMsg *msg);
/* Call every 40 ms or so. */
void witness_tick (Witness *witness);
/* Lines for metrics. */
void witness_describe (const Witness *witness, GString *out);

#endif
