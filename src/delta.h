/* delta.h - the difference between two documents as a few bytes; private to the library and the
 * programs that embed it. */
#ifndef DELTA_H
#define DELTA_H

#include "foxtail.h"

/* Encodes text as a delta against base. Never NULL; may be longer than text if the two share
 * little. */
GBytes *delta_make (GBytes *base, GBytes *text);
/* Returns the text; NULL: delta is malformed, belongs to another base, or its text is longer than
 * max_size bytes. */
GBytes *delta_apply (GBytes *base, const void *delta, size_t size, size_t max_size);

#endif
