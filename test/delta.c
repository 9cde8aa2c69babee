/* delta.c - documents told as changes of the one before. */
#include "delta.h"

#include <string.h>

#define MOST (1u << 20)

static uint64_t state;

static uint64_t
draw (uint64_t most)
{
  state = state * 6364136223846793005u + 1442695040888963407u;
  return (state >> 33) % most;
}

/* Routes and organisations as large deployments have them, with names that do not compress. */
static GString *
document (unsigned version, unsigned parts)
{
  GString *out = g_string_new (NULL);

  state = 5;
  g_string_append_printf (out, "{\"Version\":%u,\"Routes\":[", version);
  for (unsigned i = 0; i < parts; i++)
    g_string_append_printf (
        out, "{\"Name\":\"r-%08x\",\"Host\":\"h%06x.example\",\"TimeoutMs\":%u},",
        (unsigned) draw (1u << 31), (unsigned) draw (1u << 24), (unsigned) draw (9000));
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
  GBytes *again = delta_apply (base, data, size, MOST);

  g_assert_nonnull (again);
  g_assert_true (g_bytes_equal (again, text));
  g_bytes_unref (again);
  g_bytes_unref (delta);
  g_bytes_unref (text);
  g_bytes_unref (base);
  return size;
}

/* A change of one organisation was as many bytes for each entry as the whole document. */
static void
small_changes (void)
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
  unsigned count = 1 + (unsigned) draw (6);

  for (unsigned i = 0; i < count; i++)
    {
      gsize at = draw (text->len + 1), most = draw (200);
      if (draw (2))
        g_string_insert_len (text, (gssize) at, "some other bytes of any length",
                             (gssize) draw (30));
      else
        g_string_erase (text, (gssize) at, (gssize) MIN (most, text->len - at));
    }
}

/* Any two documents, empty ones among them. */
static void
any_documents (void)
{
  for (unsigned seed = 0; seed < 300; seed++)
    {
      GString *before = document (seed, seed % 40), *after = g_string_new (NULL);
      g_string_append_len (after, before->str, (gssize) before->len);
      state = seed * 7919 + 1;
      mutate (after);
      if (seed % 10 == 0)
        g_string_truncate (seed % 20 ? before : after, 0);
      round_trip (before, after);
      g_string_free (before, TRUE);
      g_string_free (after, TRUE);
    }
}

/* Spoilt bytes, or a delta against another base, made a document that nobody wrote. */
static void
spoilt (void)
{
  GString *before = document (1, 50), *after = document (2, 50), *other = document (3, 50);

  g_string_erase (other, 500, 10);
  GBytes *base = bytes_of (before), *text = bytes_of (after), *foreign = bytes_of (other);
  GBytes *delta = delta_make (base, text);
  gsize size;
  const uint8_t *data = g_bytes_get_data (delta, &size);

  g_assert_null (delta_apply (foreign, data, size, MOST));
  g_assert_null (delta_apply (base, data, size, 100));
  for (gsize at = 0; at < size; at++)
    {
      uint8_t *copy = g_memdup2 (data, size);
      copy[at] ^= (uint8_t) (1 + draw (255));
      GBytes *got = delta_apply (base, copy, size, MOST);
      g_assert_true (got == NULL || g_bytes_equal (got, text));
      g_clear_pointer (&got, g_bytes_unref);
      g_assert_null (delta_apply (base, data, at, MOST));
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
  g_test_add_func ("/delta/small_changes", small_changes);
  g_test_add_func ("/delta/any", any_documents);
  g_test_add_func ("/delta/spoilt", spoilt);
  return g_test_run ();
}
