/* codec.h - encodes generated types as XDR and decodes them; private to the library's modules and
 * the programs that embed it. */
#ifndef CODEC_H
#define CODEC_H

#include "foxtail.h"
#include "msg.h"

/* Encodes value, whose generated XDR function is proc, into a new array. NULL: value exceeds a
 * bound of msg.x. */
GByteArray *codec_pack (xdrproc_t proc, const void *value);
/* Decodes into value, which must be zeroed, and adds the length read to *used unless used is NULL.
 * Free value with codec_clear, also after FT_INVALID. */
FtStatus codec_unpack (xdrproc_t proc, const void *data, size_t size, void *value, size_t *used);
/* Frees what value points to, not value itself. */
void codec_clear (xdrproc_t proc, void *value);

/* The XDR function of a generated type. */
#define CODEC(type) ((xdrproc_t) xdr_##type)

#endif
