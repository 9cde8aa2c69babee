/* soaknote.h - makes the soak test's servers announce rates, back-offs and that they leave while
 * faults go on, and checks which requests reached them. */
#ifndef SOAKNOTE_H
#define SOAKNOTE_H

#include "fleet.h"

/* Has a random generator of its own, so that a seed keeps its sequence of faults. */
void soaknote_begin (Fleet *fleet, unsigned seed);
/* Changes servers' notices when they are due; call it in each round. */
void soaknote_turn (void);
/* After the faults: sets a rate, a back-off and a notice of leaving, each at another server. */
void soaknote_last (void);
/* Records that a fault affects an entry, 1 for the first, or the path to servers: 0, all entries.
 */
void soaknote_disturbed (unsigned entry);
/* Checks all recorded requests, then ends all notices. */
void soaknote_end (void);

#endif
