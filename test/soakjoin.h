/* soakjoin.h - the soak test's release: servers of a new version join while an entry or a voter is
 * stopped or its links are cut, and callers come back as it goes on. */
#ifndef SOAKJOIN_H
#define SOAKJOIN_H

#include "fleet.h"

#define SOAKJOIN_SEED 10000 /* seeds from this one on have such a release */

/* In seeds without such a release this part does nothing. It has random generators of its own.
 * may_touch: whether no other fault affects the node. Call it after soakroll_begin: in seeds with a
 * roll-out the new version joins with the order. */
void soakjoin_begin (Fleet *fleet, unsigned seed, bool (*may_touch) (const FleetNode *node));
/* True if the seed has such a release. */
bool soakjoin_is_planned (void);
/* How long a seed's faults go on that would take this many seconds. */
unsigned soakjoin_seconds (unsigned seconds);
/* Call in each round. more: false once all is to end. */
void soakjoin_turn (bool more);
/* True if the node is stopped, or its links are cut, or those of other nodes that it has. */
bool soakjoin_touches (const FleetNode *node);
/* True until the last fault and the last request have ended. */
bool soakjoin_is_open (void);
/* Prints how many streams came back and what came of it. */
void soakjoin_end (void);

#endif
