/* soakroll.h - the soak test's operator, who orders a roll-out of a good or a bad version while
 * faults go on. */
#ifndef SOAKROLL_H
#define SOAKROLL_H

#include "fleet.h"

/* Half of the seeds have a roll-out, if it is allowed; in the others this part does nothing. It has
 * a random generator of its own, so that a seed keeps its sequence of faults. Call it before
 * fleet_start_all. */
void soakroll_begin (Fleet *fleet, unsigned seed, bool allowed);
/* True if the seed has a roll-out. */
bool soakroll_is_planned (void);
/* The mode of a server that no fault affects. */
ServerMode soakroll_usual (const FleetServer *server);
/* Orders the roll-out at the voter or, once it is acknowledged, reads its state there. */
void soakroll_turn (FleetNode *voter);
/* After the faults: waits until the roll-out ends, and checks that the losing version gets no more
 * requests. */
void soakroll_end (void);

#endif
