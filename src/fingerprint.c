/* fingerprint.c - the keys of a request's content and of the parts of its prompt.
 *
 * Both kinds share one space of 64-bit keys, so that they share the crash table, its messages and
 * its place in the log. The upper 16 bits of a part's key are PART_TAG, which content_id avoids.
 * The other 48 are a hash of service and part: with ten keys quarantined and a million parts in
 * use, the probability that one of these collides with a quarantined one is one in 28 million.
 */
#include "fingerprint.h"
#include "content.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define PART_TAG  G_GUINT64_CONSTANT (0x5041)
#define TAG_SHIFT 48
#define HASH_MASK ((G_GUINT64_CONSTANT (1) << TAG_SHIFT) - 1)

uint64_t
fingerprint_part_key (const char *service, uint64_t part)
{
  XXH64_state_t state;
  uint64_t bytes = GUINT64_TO_LE (part);

  XXH64_reset (&state, 0);
  XXH64_update (&state, &bytes, sizeof bytes);
  XXH64_update (&state, service, strlen (service));
  return PART_TAG << TAG_SHIFT | (XXH64_digest (&state) & HASH_MASK);
}

bool
fingerprint_is_part (uint64_t key)
{
  return key >> TAG_SHIFT == PART_TAG;
}

static bool
contains_key (const Fingerprint *print, uint64_t key)
{
  for (unsigned i = 0; i < print->count; i++)
    if (print->keys[i] == key)
      return true;
  return false;
}

Fingerprint *
fingerprint_new (uint64_t content, const char *service, const uint64_t *parts, unsigned part_count)
{
  unsigned most = MIN (part_count, FINGERPRINT_PARTS_MAX);
  Fingerprint *print = g_malloc (sizeof *print + (most + 1) * sizeof *print->keys);

  g_atomic_ref_count_init (&print->refs);
  print->keys[0] = content;
  print->count = 1;
  for (unsigned i = 0; i < most; i++)
    {
      uint64_t key = fingerprint_part_key (service, parts[i]);
      if (!contains_key (print, key))
        print->keys[print->count++] = key;
    }
  return print;
}

Fingerprint *
fingerprint_ref (Fingerprint *print)
{
  g_atomic_ref_count_inc (&print->refs);
  return print;
}

void
fingerprint_unref (Fingerprint *print)
{
  if (print && g_atomic_ref_count_dec (&print->refs))
    g_free (print);
}

void
fingerprint_append_parts (const Fingerprint *print, unsigned max, GString *out)
{
  char text[CONTENT_ID_SIZE];

  for (unsigned i = 1; i < print->count && i <= max; i++)
    g_string_append_printf (out, "%s%s", i > 1 ? "," : "", content_format (print->keys[i], text));
}
