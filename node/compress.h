/* compress.h - documents in a compressed form, as they are stored and sent between instances. */
#ifndef COMPRESS_H
#define COMPRESS_H

#include "foxtail.h"

/* The compressed form; NULL: no memory. The reference is the caller's. */
GBytes *compress_pack (const void *text, size_t size);
/* The text again; NULL: not such a form, or longer than FT_DOCUMENT_MAX. */
GBytes *compress_unpack (const void *packed, size_t size);

#define FT_DOCUMENT_MAX (16u << 20) /* bytes; four times the largest body that operators send */

#endif
