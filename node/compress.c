/* compress.c - the compressed form is the length of the text (32 bits, little-endian) and a zlib
 * stream.
 *
 * A catalogue of several hundred routes is 100 to 200 KB of JSON that repeats the same names, and
 * compresses to a tenth. Each change is sent to every entry, and the log keeps many versions.
 */
#include "compress.h"

#include <string.h>
#include <zlib.h>

#define ZLIB_LEVEL 3 /* a third of the default level's CPU time for a few per cent more bytes */

GBytes *
compress_pack (const void *text, size_t size)
{
  uLongf bound = compressBound ((uLong) size);
  guint8 *out = g_malloc (sizeof (uint32_t) + bound);
  uint32_t length = GUINT32_TO_LE ((uint32_t) size);

  memcpy (out, &length, sizeof length);
  if (compress2 (out + sizeof length, &bound, text, (uLong) size, ZLIB_LEVEL) != Z_OK)
    {
      g_free (out);
      return NULL;
    }
  return g_bytes_new_take (g_realloc (out, sizeof length + bound), sizeof length + bound);
}

GBytes *
compress_unpack (const void *packed, size_t size)
{
  uint32_t length;

  if (size < sizeof length)
    return NULL;
  memcpy (&length, packed, sizeof length);
  length = GUINT32_FROM_LE (length);
  if (length > FT_DOCUMENT_MAX)
    return NULL;
  guint8 *out = g_malloc (length + 1);
  uLongf got = length;
  int result = uncompress (out, &got, (const Bytef *) packed + sizeof length,
                           (uLong) (size - sizeof length));
  if (result != Z_OK || got != length)
    {
      g_free (out);
      return NULL;
    }
  return g_bytes_new_take (out, length);
}
