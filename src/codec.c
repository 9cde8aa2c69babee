/* codec.c - encodes and decodes generated types with the memory streams of libtirpc. */
#include "codec.h"

#include <string.h>

GByteArray *
codec_pack (xdrproc_t proc, const void *value)
{
  u_long size = xdr_sizeof (proc, (void *) value);
  GByteArray *bytes = g_byte_array_sized_new ((guint) size);
  XDR xdr;

  g_byte_array_set_size (bytes, (guint) size);
  xdrmem_create (&xdr, (char *) bytes->data, (u_int) size, XDR_ENCODE);
  bool done = proc (&xdr, (void *) value);
  xdr_destroy (&xdr);
  if (done)
    return bytes;
  g_byte_array_unref (bytes);
  return NULL;
}

FtStatus
codec_unpack (xdrproc_t proc, const void *data, size_t size, void *value, size_t *used)
{
  XDR xdr;

  xdrmem_create (&xdr, (char *) (uintptr_t) data, (u_int) size, XDR_DECODE);
  bool done = proc (&xdr, value);
  if (used)
    *used += xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return done ? FT_OK : FT_INVALID;
}

void
codec_clear (xdrproc_t proc, void *value)
{
  xdr_free (proc, value);
}
