/* delta.c - encoding of a document as a delta against the previous one. */
#include "delta.h"

#include <string.h>

#define DOCUMENT_SIZE_MAX (1u << 20)

static uint64_t random_state;

static uint64_t
random_below (uint64_t limit)
{
  random_state = random_state * 6364136223846793005u + 1442695040888963407u;
  return (random_state >> 33) % limit;
}

/* A document as large deployments have it, with random names that do not compress. */
static GString *
document (unsigned version, unsigned parts)
{
  GString *out = g_string_new (NULL);

  random_state = 5;
  g_string_append_printf (out, "{\"Version\":%u,\"Routes\":[", version);
  for (unsigned i = 0; i < parts; i++)
    g_string_append_printf (out,
                            "{\"Name\":\"r-%08x\",\"Host\":\"h%06x.example\",\"TimeoutMs\":%u},",
                            (unsigned) random_below (1u << 31), (unsigned) random_below (1u << 24),
                            (unsigned) random_below (9000));
  return out;
}

static GBytes *
bytes_of (const GString *text)
{
  return g_bytes_new (text->str, text->len);
}

static size_t
round_trip (const GString *from, const GString *to)
{
  GBytes *base = bytes_of (from), *text = bytes_of (to);
  GBytes *delta = delta_make (base, text);
  gsize size;
  const void *data = g_bytes_get_data (delta, &size);
  GBytes *again = delta_apply (base, data, size, DOCUMENT_SIZE_MAX);

  g_assert_nonnull (again);
  g_assert_true (g_bytes_equal (again, text));
  g_bytes_unref (again);
  g_bytes_unref (delta);
  g_bytes_unref (text);
  g_bytes_unref (base);
  return size;
}

/* Guards against a small change that costs as many bytes for each entry as the whole document. */
static void
test_small_changes (void)
{
  GString *before = document (99, 1000), *after = document (100, 1000);

  g_assert_cmpuint (round_trip (before, after), <, 200); /* the number alone */
  g_string_insert (after, 30000, "{\"Name\":\"new\"},");
  g_string_erase (after, 50000, 80);
  g_string_overwrite (after, 9000, "4321");
  g_string_append (after, "]}");
  g_assert_cmpuint (round_trip (before, after), <, 400);
  g_string_free (before, TRUE);
  g_string_free (after, TRUE);
}

static void
mutate (GString *text)
{
  unsigned count = 1 + (unsigned) random_below (6);

  for (unsigned i = 0; i < count; i++)
    {
      gsize at = random_below (text->len + 1), size = random_below (200);
      if (random_below (2))
        g_string_insert_len (text, (gssize) at, "some other bytes of any length",
                             (gssize) random_below (30));
      else
        g_string_erase (text, (gssize) at, (gssize) MIN (size, text->len - at));
    }
}

/* Random pairs of documents, also empty ones. */
static void
test_any_documents (void)
{
  for (unsigned seed = 0; seed < 300; seed++)
    {
      GString *before = document (seed, seed % 40), *after = g_string_new (NULL);
      g_string_append_len (after, before->str, (gssize) before->len);
      random_state = seed * 7919 + 1;
      mutate (after);
      if (seed % 10 == 0)
        g_string_truncate (seed % 20 ? before : after, 0);
      round_trip (before, after);
      g_string_free (before, TRUE);
      g_string_free (after, TRUE);
    }
}

/* Guards against a corrupt delta, or one against another base, that yields a wrong document instead
 * of an error. */
static void
test_corrupt (void)
{
  GString *before = document (1, 50), *after = document (2, 50), *other = document (3, 50);

  g_string_erase (other, 500, 10);
  GBytes *base = bytes_of (before), *text = bytes_of (after), *foreign = bytes_of (other);
  GBytes *delta = delta_make (base, text);
  gsize size;
  const uint8_t *data = g_bytes_get_data (delta, &size);

  g_assert_null (delta_apply (foreign, data, size, DOCUMENT_SIZE_MAX));
  g_assert_null (delta_apply (base, data, size, 100));
  for (gsize at = 0; at < size; at++)
    {
      uint8_t *copy = g_memdup2 (data, size);
      copy[at] ^= (uint8_t) (1 + random_below (255));
      GBytes *got = delta_apply (base, copy, size, DOCUMENT_SIZE_MAX);
      g_assert_true (got == NULL || g_bytes_equal (got, text));
      g_clear_pointer (&got, g_bytes_unref);
      g_assert_null (delta_apply (base, data, at, DOCUMENT_SIZE_MAX));
      g_free (copy);
    }
  g_bytes_unref (delta);
  g_bytes_unref (base);
  g_bytes_unref (text);
  g_bytes_unref (foreign);
  g_string_free (before, TRUE);
  g_string_free (after, TRUE);
  g_string_free (other, TRUE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/delta/small_changes", test_small_changes);
  g_test_add_func ("/delta/any", test_any_documents);
  g_test_add_func ("/delta/spoilt", test_corrupt);
  return g_test_run ();
}
