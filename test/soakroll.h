/* soakroll.h - the soak's operator of versions: orders a sound or a bad one while faults go on. */
#ifndef SOAKROLL_H
#define SOAKROLL_H

#include "fleet.h"

/* Half of the seeds have a roll-out; the others change nothing. Draws from a source of its own, so
 * that the faults of a seed stay what they are. Before the fleet begins. */
void soakroll_begin (Fleet *fleet, unsigned seed);
/* What a server does when no fault changes it. */
ServerMode soakroll_usual (const FleetServer *server);
/* Orders, and reads, at one of the voters. */
void soakroll_turn (FleetNode *voter);
/* After the faults: the roll-out ends, and the version that lost gets nothing any more. */
void soakroll_end (void);

#endif
