/* delta.h - what changes one document into another, as a few bytes; private to the library and its
 * shells. */
#ifndef DELTA_H
#define DELTA_H

#include "foxtail.h"

/* What makes text of base. Never NULL; may be longer than text if they have little in common. */
GBytes *delta_make (GBytes *base, GBytes *text);
/* The text again; NULL: delta is none, is against another base, or makes more than most bytes. */
GBytes *delta_apply (GBytes *base, const void *delta, size_t size, size_t most);

#endif
