/* membound.h - bounds the memory of answers that are being received, over all calls.
 *
 * A call may hold as many bytes as all calls together leave free. So the more of them there are,
 * the less each may hold, the largest come to that limit first, and some room is always left for
 * short answers. */
#ifndef MEMBOUND_H
#define MEMBOUND_H

#include "foxtail.h"

typedef struct MemBound MemBound;

/* bytes: of all calls together. */
MemBound *membound_new (size_t bytes);
void membound_free (MemBound *bound);
/* Changes what a call holds from *held to wanted bytes. False: that is more than it may hold, and
 * nothing was changed. Less is always granted. */
bool membound_resize (MemBound *bound, size_t *held, size_t wanted);
size_t membound_used (MemBound *bound);

#endif
