/* content.c - a hash that identifies what a request asks for.
 *
 * A caller that repeats a request gives it a new request id, and it may arrive at any instance on
 * any connection, with another time limit, Last-Event-Id or key of the same organisation. What
 * stays the same is what the server is asked to do: method, path with query, organisation and body.
 * Each part is hashed with its length, so that moving bytes from one part to the next changes the
 * hash.
 *
 * The hash has 64 bits: among ten million contents, the probability that two collide is one in
 * 370,000. It does not protect against somebody who searches for a collision.
 */
#include "content.h"
#include "fingerprint.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

static void
add_part (XXH64_state_t *state, const void *part, size_t size)
{
  uint64_t length = GUINT64_TO_LE ((uint64_t) size);

  XXH64_update (state, &length, sizeof length);
  if (size > 0)
    XXH64_update (state, part, size);
}

static void
add_text (XXH64_state_t *state, const char *text)
{
  add_part (state, text, text ? strlen (text) : 0);
}

uint64_t
content_id (const Content *content)
{
  XXH64_state_t state;

  XXH64_reset (&state, 0);
  add_text (&state, content->method);
  add_text (&state, content->target);
  add_text (&state, content->org);
  add_part (&state, content->body, content->size);
  uint64_t id = XXH64_digest (&state);
  if (fingerprint_is_part (id))
    id = ~id;
  return id ? id : 1;
}

const char *
content_format (uint64_t id, char *buffer)
{
  g_snprintf (buffer, CONTENT_ID_SIZE, "%016" G_GINT64_MODIFIER "x", id);
  return buffer;
}

bool
content_parse (const char *text, uint64_t *id)
{
  if (strlen (text) != CONTENT_ID_SIZE - 1)
    return false;
  for (const char *at = text; *at; at++)
    if (!g_ascii_isxdigit (*at))
      return false;
  *id = g_ascii_strtoull (text, NULL, 16);
  return *id != 0;
}
