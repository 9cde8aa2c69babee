/* soaknote.h - the soak's servers that name rates, ask for rest and say that they leave while
 * faults go on, and the checks of what reached them. */
#ifndef SOAKNOTE_H
#define SOAKNOTE_H

#include "fleet.h"

/* Draws from a source of its own, so that the faults of a seed stay what they are. */
void soaknote_begin (Fleet *fleet, unsigned seed);
/* Changes what servers say now and then. */
void soaknote_turn (void);
/* After the faults: a rate, a rest and a leaving that last, each at a server of its own. */
void soaknote_last (void);
/* A fault touches the entry, 1 for the first, or 0: the path to servers, which concerns all. */
void soaknote_disturbed (unsigned entry);
/* Checks all that was seen; servers say nothing of themselves from now on. */
void soaknote_end (void);

#endif
