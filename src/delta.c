/* delta.c - encodes a document as copies from a base document and literal bytes.
 *
 * The blocks of the base at multiples of BLOCK_SIZE are indexed by a rolling hash (Karp and Rabin
 * 1987), which then moves over the text byte by byte. Where a block matches, the match is extended
 * in both directions as far as the two agree, and the scan continues after it. The cost is one pass
 * over the base and one over the parts that changed, and a change of a few fields takes some dozens
 * of bytes wherever they are.
 *
 * Format; numbers are written with seven bits a byte, lowest bits first: length of the text, its
 * digest (8 bytes), then runs. A run starts with twice its length, plus one if it is a copy. A copy
 * is followed by its offset in the base, a literal by its bytes.
 */
#include "delta.h"

#include <string.h>
#include <xxhash.h>

#define BLOCK_SIZE      24 /* bytes; a shorter copy takes nearly as much as it saves */
#define HASH_FACTOR     0x9e3779b97f4a7c15u
#define DIGEST_SEED     0x666f7874u
#define DIGEST_SIZE     8  /* bytes */
#define VARINT_MAX_SIZE 10 /* bytes */

typedef struct
{
  const uint8_t *base, *text;
  size_t base_size, size;
  GHashTable *blocks; /* hash of a block -> its offset in the base + 1 */
  GByteArray *out;
} Encoder;

/* ---- Encoding ---- */

static void
put_number (GByteArray *out, uint64_t number)
{
  uint8_t bytes[VARINT_MAX_SIZE];
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
put_literal (Encoder *encoder, size_t from, size_t to)
{
  if (from == to)
    return;
  put_number (encoder->out, (to - from) * 2);
  g_byte_array_append (encoder->out, encoder->text + from, (guint) (to - from));
}

static void
put_copy (Encoder *encoder, size_t offset, size_t size)
{
  put_number (encoder->out, size * 2 + 1);
  put_number (encoder->out, offset);
}

/* ---- Finding copies ---- */

static uint64_t
hash_block (const uint8_t *at)
{
  uint64_t hash = 0;

  for (unsigned i = 0; i < BLOCK_SIZE; i++)
    hash = hash * HASH_FACTOR + at[i];
  return hash;
}

/* HASH_FACTOR to the power of BLOCK_SIZE: the weight of the byte that leaves the rolling hash. */
static uint64_t
oldest_byte_weight (void)
{
  uint64_t weight = 1;

  for (unsigned i = 0; i < BLOCK_SIZE; i++)
    weight *= HASH_FACTOR;
  return weight;
}

static gpointer
hash_key (uint64_t hash)
{
  return GSIZE_TO_POINTER (hash ^ hash >> 32);
}

static void
index_base (Encoder *encoder)
{
  encoder->blocks = g_hash_table_new (NULL, NULL);
  for (size_t at = 0; at + BLOCK_SIZE <= encoder->base_size; at += BLOCK_SIZE)
    g_hash_table_insert (encoder->blocks, hash_key (hash_block (encoder->base + at)),
                         GSIZE_TO_POINTER (at + 1));
}

/* Finds the copy around the block at text[*at] with this hash. Sets *at to its start, not before
 * text[from], *offset to its place in the base, and *size. False: no block of the base matches. */
static bool
find_copy (const Encoder *encoder, uint64_t hash, size_t from, size_t *at, size_t *offset,
           size_t *size)
{
  size_t found = GPOINTER_TO_SIZE (g_hash_table_lookup (encoder->blocks, hash_key (hash)));

  if (found == 0 || memcmp (encoder->base + found - 1, encoder->text + *at, BLOCK_SIZE) != 0)
    return false;
  *offset = found - 1;
  *size = BLOCK_SIZE;
  while (*at + *size < encoder->size && *offset + *size < encoder->base_size
         && encoder->text[*at + *size] == encoder->base[*offset + *size])
    (*size)++;
  while (*at > from && *offset > 0 && encoder->text[*at - 1] == encoder->base[*offset - 1])
    {
      (*at)--;
      (*offset)--;
      (*size)++;
    }
  return true;
}

static void
encode_runs (Encoder *encoder)
{
  uint64_t weight = oldest_byte_weight (), hash = 0;
  size_t encoded = 0, at = 0;
  bool hash_valid = false;

  while (at + BLOCK_SIZE <= encoder->size)
    {
      size_t start = at, offset, size;
      if (!hash_valid)
        hash = hash_block (encoder->text + at);
      hash_valid = true;
      if (find_copy (encoder, hash, encoded, &start, &offset, &size))
        {
          put_literal (encoder, encoded, start);
          put_copy (encoder, offset, size);
          encoded = at = start + size;
          hash_valid = false;
          continue;
        }
      if (at + BLOCK_SIZE < encoder->size)
        hash = hash * HASH_FACTOR + encoder->text[at + BLOCK_SIZE] - weight * encoder->text[at];
      at++;
    }
  put_literal (encoder, encoded, encoder->size);
}

GBytes *
delta_make (GBytes *base, GBytes *text)
{
  gsize base_size, size;
  Encoder encoder = { .base = g_bytes_get_data (base, &base_size),
                      .text = g_bytes_get_data (text, &size),
                      .out = g_byte_array_new () };
  uint64_t digest = XXH64 (encoder.text, size, DIGEST_SEED);

  encoder.base_size = base_size;
  encoder.size = size;
  put_number (encoder.out, size);
  g_byte_array_append (encoder.out, (const guint8 *) &digest, DIGEST_SIZE);
  index_base (&encoder);
  encode_runs (&encoder);
  g_hash_table_unref (encoder.blocks);
  return g_byte_array_free_to_bytes (encoder.out);
}

/* ---- Decoding ---- */

typedef struct
{
  const uint8_t *at, *end;
} Cursor;

static bool
read_number (Cursor *cursor, uint64_t *number)
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
decode_run (Cursor *cursor, GBytes *base, size_t size, GByteArray *out)
{
  uint64_t header, offset = 0;
  gsize base_size;
  const uint8_t *from = g_bytes_get_data (base, &base_size);

  if (!read_number (cursor, &header))
    return false;
  uint64_t length = header / 2;
  if (length == 0 || length > size - out->len)
    return false;
  if (header % 2 == 0)
    {
      if (length > (uint64_t) (cursor->end - cursor->at))
        return false;
      g_byte_array_append (out, cursor->at, (guint) length);
      cursor->at += length;
      return true;
    }
  if (!read_number (cursor, &offset) || offset > base_size || length > base_size - offset)
    return false;
  g_byte_array_append (out, from + offset, (guint) length);
  return true;
}

GBytes *
delta_apply (GBytes *base, const void *delta, size_t size, size_t max_size)
{
  Cursor cursor = { delta, (const uint8_t *) delta + size };
  uint64_t length, digest;
  bool valid = read_number (&cursor, &length) && length <= max_size
               && cursor.end - cursor.at >= DIGEST_SIZE;

  if (!valid)
    return NULL;
  memcpy (&digest, cursor.at, DIGEST_SIZE);
  cursor.at += DIGEST_SIZE;
  GByteArray *out = g_byte_array_sized_new ((guint) length);
  while (valid && cursor.at < cursor.end)
    valid = decode_run (&cursor, base, length, out);
  valid = valid && out->len == length && XXH64 (out->data, out->len, DIGEST_SEED) == digest;
  if (valid)
    return g_byte_array_free_to_bytes (out);
  g_byte_array_unref (out);
  return NULL;
}
