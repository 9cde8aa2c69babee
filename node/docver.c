/* docver.c - deltas from each of the latest versions to the newest, computed once and shared by all
 * receivers.
 */
#include "docver.h"
#include "delta.h"

#include <string.h>

#define VERSIONS_KEPT 8 /* enough for a burst of changes that a slow link has not delivered yet */

typedef struct
{
  uint64_t number; /* 0: unused */
  GBytes *text;    /* NULL: it cannot be unpacked */
  GBytes *message; /* update from this version to the newest; NULL: not built yet */
} Version;

struct DocumentVersions
{
  Version versions[VERSIONS_KEPT]; /* indexed by number modulo VERSIONS_KEPT */
  uint64_t newest;
  GBytes *packed;  /* the newest */
  GBytes *message; /* with the whole document; NULL: not built yet */
};

static void
clear_messages (DocumentVersions *documents)
{
  g_clear_pointer (&documents->message, g_bytes_unref);
  for (unsigned i = 0; i < VERSIONS_KEPT; i++)
    g_clear_pointer (&documents->versions[i].message, g_bytes_unref);
}

DocumentVersions *
docver_new (void)
{
  return g_new0 (DocumentVersions, 1);
}

void
docver_free (DocumentVersions *documents)
{
  if (documents == NULL)
    return;
  clear_messages (documents);
  for (unsigned i = 0; i < VERSIONS_KEPT; i++)
    g_clear_pointer (&documents->versions[i].text, g_bytes_unref);
  g_clear_pointer (&documents->packed, g_bytes_unref);
  g_free (documents);
}

void
docver_set_newest (DocumentVersions *documents, uint64_t number, GBytes *packed, GBytes *text)
{
  Version *version = &documents->versions[number % VERSIONS_KEPT];

  if (number <= documents->newest)
    return;
  clear_messages (documents);
  g_clear_pointer (&documents->packed, g_bytes_unref);
  g_clear_pointer (&version->text, g_bytes_unref);
  *version = (Version){ .number = number, .text = text ? g_bytes_ref (text) : NULL };
  documents->newest = number;
  documents->packed = g_bytes_ref (packed);
}

static GBytes *
pack_message (uint64_t number, uint64_t base, GBytes *text)
{
  MeshMsg msg = { .kind = MESH_DOCUMENT };
  gsize size;

  msg.MeshMsg_u.document.number = number;
  msg.MeshMsg_u.document.base = base;
  msg.MeshMsg_u.document.text.text_val = (char *) g_bytes_get_data (text, &size);
  msg.MeshMsg_u.document.text.text_len = (u_int) size;
  return mesh_pack (&msg);
}

static GBytes *
whole_message (DocumentVersions *documents)
{
  if (documents->message == NULL && documents->packed)
    documents->message = pack_message (documents->newest, 0, documents->packed);
  return documents->message;
}

GBytes *
docver_message_for (DocumentVersions *documents, uint64_t held)
{
  Version *base = &documents->versions[held % VERSIONS_KEPT];
  const Version *newest = &documents->versions[documents->newest % VERSIONS_KEPT];

  if (held == 0 || held >= documents->newest || base->number != held || base->text == NULL
      || newest->text == NULL)
    return whole_message (documents);
  if (base->message == NULL)
    {
      GBytes *changes = delta_make (base->text, newest->text);
      if (g_bytes_get_size (changes) < g_bytes_get_size (documents->packed))
        base->message = pack_message (documents->newest, held, changes);
      else
        {
          GBytes *whole = whole_message (documents);
          base->message = whole ? g_bytes_ref (whole) : NULL;
        }
      g_bytes_unref (changes);
    }
  return base->message;
}
