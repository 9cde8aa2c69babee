/* squeeze.h - documents in a compressed form, as they are stored and sent between instances. */
#ifndef SQUEEZE_H
#define SQUEEZE_H

#include "foxtail.h"

/* The compressed form; NULL: no memory. The reference is the caller's. */
GBytes *squeeze_pack (const void *text, size_t size);
/* The text again; NULL: not such a form, or longer than FT_DOCUMENT_MOST. */
GBytes *squeeze_unpack (const void *packed, size_t size);

#define FT_DOCUMENT_MOST (16u << 20) /* bytes; four times the largest body that operators send */

#endif
