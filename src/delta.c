/* delta.c - a document as runs of the one before and of new bytes.
 *
 * Blocks of the base, at multiples of BLOCK, are known by a hash that rolls over the text byte by
 * byte (Karp and Rabin 1987). Where it meets one the run is extended both ways as far as the two
 * agree, and the scan goes on behind it. So the cost is one look at the base and one at what
 * changed, and a change of a few fields is told in some dozens of bytes wherever they stand.
 *
 * Form, numbers with seven bits a byte, the lowest first: length of the text, its digest (8 bytes),
 * then runs: twice the length, plus one for a run of the base, which is followed by its offset
 * there; the bytes of a new run follow it.
 */
#include "delta.h"

#include <string.h>
#include <xxhash.h>

#define BLOCK  24 /* bytes: shorter runs cost nearly as much as they save */
#define FACTOR 0x9e3779b97f4a7c15u
#define SEED   0x666f7874u
#define DIGEST 8  /* bytes */
#define VARINT 10 /* bytes at most */

typedef struct
{
  const uint8_t *base, *text;
  size_t base_size, size;
  GHashTable *blocks; /* hash of a block: its offset in the base + 1 */
  GByteArray *out;
} Maker;

/* ---- Writing ---- */

static void
put_number (GByteArray *out, uint64_t number)
{
  uint8_t bytes[VARINT];
  unsigned count = 0;

  do
    {
      bytes[count] = number & 127;
      number >>= 7;
      bytes[count++] |= number ? 128 : 0;
    }
  while (number);
  g_byte_array_append (out, bytes, count);
}

static void
put_new (Maker *maker, size_t from, size_t to)
{
  if (from == to)
    return;
  put_number (maker->out, (to - from) * 2);
  g_byte_array_append (maker->out, maker->text + from, (guint) (to - from));
}

static void
put_copy (Maker *maker, size_t offset, size_t size)
{
  put_number (maker->out, size * 2 + 1);
  put_number (maker->out, offset);
}

/* ---- Finding runs ---- */

static uint64_t
hash_block (const uint8_t *at)
{
  uint64_t hash = 0;

  for (unsigned i = 0; i < BLOCK; i++)
    hash = hash * FACTOR + at[i];
  return hash;
}

/* FACTOR to the power of BLOCK: weight of the byte that leaves. */
static uint64_t
leaving_weight (void)
{
  uint64_t weight = 1;

  for (unsigned i = 0; i < BLOCK; i++)
    weight *= FACTOR;
  return weight;
}

static gpointer
key_of (uint64_t hash)
{
  return GSIZE_TO_POINTER (hash ^ hash >> 32);
}

static void
index_base (Maker *maker)
{
  maker->blocks = g_hash_table_new (NULL, NULL);
  for (size_t at = 0; at + BLOCK <= maker->base_size; at += BLOCK)
    g_hash_table_insert (maker->blocks, key_of (hash_block (maker->base + at)),
                         GSIZE_TO_POINTER (at + 1));
}

/* The run that the block at text[at] belongs to, not before text[from]. False: there is none. */
static bool
find_run (const Maker *maker, uint64_t hash, size_t from, size_t *at, size_t *offset, size_t *size)
{
  size_t found = GPOINTER_TO_SIZE (g_hash_table_lookup (maker->blocks, key_of (hash)));

  if (found == 0 || memcmp (maker->base + found - 1, maker->text + *at, BLOCK) != 0)
    return false;
  *offset = found - 1;
  *size = BLOCK;
  while (*at + *size < maker->size && *offset + *size < maker->base_size
         && maker->text[*at + *size] == maker->base[*offset + *size])
    (*size)++;
  while (*at > from && *offset > 0 && maker->text[*at - 1] == maker->base[*offset - 1])
    {
      (*at)--;
      (*offset)--;
      (*size)++;
    }
  return true;
}

static void
put_runs (Maker *maker)
{
  uint64_t weight = leaving_weight (), hash = 0;
  size_t done = 0, at = 0;
  bool hashed = false;

  while (at + BLOCK <= maker->size)
    {
      size_t start = at, offset, size;
      if (!hashed)
        hash = hash_block (maker->text + at);
      hashed = true;
      if (find_run (maker, hash, done, &start, &offset, &size))
        {
          put_new (maker, done, start);
          put_copy (maker, offset, size);
          done = at = start + size;
          hashed = false;
          continue;
        }
      if (at + BLOCK < maker->size)
        hash = hash * FACTOR + maker->text[at + BLOCK] - weight * maker->text[at];
      at++;
    }
  put_new (maker, done, maker->size);
}

GBytes *
delta_make (GBytes *base, GBytes *text)
{
  gsize base_size, size;
  Maker maker = { .base = g_bytes_get_data (base, &base_size),
                  .text = g_bytes_get_data (text, &size),
                  .out = g_byte_array_new () };
  uint64_t digest = XXH64 (maker.text, size, SEED);

  maker.base_size = base_size;
  maker.size = size;
  put_number (maker.out, size);
  g_byte_array_append (maker.out, (const guint8 *) &digest, DIGEST);
  index_base (&maker);
  put_runs (&maker);
  g_hash_table_unref (maker.blocks);
  return g_byte_array_free_to_bytes (maker.out);
}

/* ---- Reading ---- */

typedef struct
{
  const uint8_t *at, *end;
} Cursor;

static bool
take_number (Cursor *cursor, uint64_t *number)
{
  *number = 0;
  for (unsigned shift = 0; shift < 63 && cursor->at < cursor->end; shift += 7)
    {
      uint8_t byte = *cursor->at++;
      *number |= (uint64_t) (byte & 127) << shift;
      if (byte < 128)
        return true;
    }
  return false;
}

static bool
take_run (Cursor *cursor, GBytes *base, size_t size, GByteArray *out)
{
  uint64_t head, offset = 0;
  gsize base_size;
  const uint8_t *from = g_bytes_get_data (base, &base_size);

  if (!take_number (cursor, &head))
    return false;
  uint64_t length = head / 2;
  if (length == 0 || length > size - out->len)
    return false;
  if (head % 2 == 0)
    {
      if (length > (uint64_t) (cursor->end - cursor->at))
        return false;
      g_byte_array_append (out, cursor->at, (guint) length);
      cursor->at += length;
      return true;
    }
  if (!take_number (cursor, &offset) || offset > base_size || length > base_size - offset)
    return false;
  g_byte_array_append (out, from + offset, (guint) length);
  return true;
}

GBytes *
delta_apply (GBytes *base, const void *delta, size_t size, size_t most)
{
  Cursor cursor = { delta, (const uint8_t *) delta + size };
  uint64_t length, digest;
  bool sound = take_number (&cursor, &length) && length <= most && cursor.end - cursor.at >= DIGEST;

  if (!sound)
    return NULL;
  memcpy (&digest, cursor.at, DIGEST);
  cursor.at += DIGEST;
  GByteArray *out = g_byte_array_sized_new ((guint) length);
  while (sound && cursor.at < cursor.end)
    sound = take_run (&cursor, base, length, out);
  sound = sound && out->len == length && XXH64 (out->data, out->len, SEED) == digest;
  if (sound)
    return g_byte_array_free_to_bytes (out);
  g_byte_array_unref (out);
  return NULL;
}
