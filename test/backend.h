/* backend.h - the stand-in of a backend server; private to fleet.c. */
#ifndef BACKEND_H
#define BACKEND_H

#include "fleet.h"

/* Server number of the fleet, which listens at addr from now on. */
void backend_create (Fleet *fleet, unsigned number, SockAddr addr);
void backend_destroy (FleetServer *server);

#endif
