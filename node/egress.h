/* egress.h - how an entry's connections reach the backend servers. */
#ifndef EGRESS_H
#define EGRESS_H

#include "hcli.h"
#include "settings.h"

typedef struct Egress Egress;

Egress *egress_new (Loop *loop, HCli *cli, const Settings *settings);
void egress_free (Egress *egress);
/* Whether this entry has lost its own path to the servers. */
bool egress_is_lost (const Egress *egress);
/* Appends the state in the metrics' text format. */
void egress_describe (const Egress *egress, GString *out);

#endif
