/* compress.h - compression of documents for storage and for messages between instances. */
#ifndef COMPRESS_H
#define COMPRESS_H

#include "foxtail.h"

/* Returns the compressed text, which the caller unrefs; NULL: out of memory. */
GBytes *compress_pack (const void *text, size_t size);
/* Returns the text, which the caller unrefs; NULL: packed is invalid, or the text is longer than
 * FT_DOCUMENT_MAX. */
GBytes *compress_unpack (const void *packed, size_t size);

#define FT_DOCUMENT_MAX (16u << 20) /* four times the largest body that operators may send */

#endif
