/* backend.h - simulated backend servers; used by fleet.c alone. */
#ifndef BACKEND_H
#define BACKEND_H

#include "fleet.h"

/* Initialises fleet->servers[number], which listens at addr from now on. */
void backend_create (Fleet *fleet, unsigned number, SockAddr addr);
void backend_destroy (FleetServer *server);

#endif
