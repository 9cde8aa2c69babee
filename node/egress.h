/* egress.h - how an entry's connections reach the backend servers: directly, or, where that fails,
 * through another entry (relay.h). */
#ifndef EGRESS_H
#define EGRESS_H

#include "hcli.h"
#include "mesh.h"
#include "settings.h"

typedef struct Egress Egress;

/* changed: called when this entry has lost its own path to the servers, or regained it. */
Egress *egress_new (Loop *loop, HCli *cli, const Settings *settings, void (*changed) (void *host),
                    void *host);
void egress_free (Egress *egress);
/* Whether this entry has lost its own path to the servers. */
bool egress_is_lost (const Egress *egress);
/* Whether a direct connect to the server is likely to fail. */
bool egress_is_doubtful (const Egress *egress, const char *server);
/* The entries that relay for this one, as the voter in charge names them. */
void egress_set_relays (Egress *egress, const MeshRelays *relays);
/* Chooses a relay. Returns false if there is none, or all have failed lately. */
bool egress_pick_relay (Egress *egress, SockAddr *relay);
/* The relay could not be reached, or took no connection. */
void egress_note_relay_failed (Egress *egress, SockAddr relay);
/* A relay has reached the server. */
void egress_note_relayed (Egress *egress, const char *server, SockAddr addr);
/* Appends the state in the metrics' text format. */
void egress_describe (const Egress *egress, GString *out);

#endif
