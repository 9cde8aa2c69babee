/* docver.c - what changed since one of the latest versions, worked out once for all who hold it.
 */
#include "docver.h"
#include "delta.h"

#include <string.h>

#define KEPT 8 /* versions: those of a burst of changes that a slow link has not taken yet */

typedef struct
{
  uint64_t number; /* 0: unused */
  GBytes *text;    /* NULL: it cannot be read */
  GBytes *message; /* from this version to the newest; NULL: not asked for yet */
} Version;

struct DocumentVersions
{
  Version versions[KEPT]; /* by number modulo KEPT */
  uint64_t newest;
  GBytes *packed;  /* the newest */
  GBytes *message; /* the whole; NULL likewise */
};

static void
clear_messages (DocumentVersions *documents)
{
  g_clear_pointer (&documents->message, g_bytes_unref);
  for (unsigned i = 0; i < KEPT; i++)
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
  for (unsigned i = 0; i < KEPT; i++)
    g_clear_pointer (&documents->versions[i].text, g_bytes_unref);
  g_clear_pointer (&documents->packed, g_bytes_unref);
  g_free (documents);
}

void
docver_set_newest (DocumentVersions *documents, uint64_t number, GBytes *packed, GBytes *text)
{
  Version *version = &documents->versions[number % KEPT];

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
pack (uint64_t number, uint64_t base, GBytes *text)
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
whole (DocumentVersions *documents)
{
  if (documents->message == NULL && documents->packed)
    documents->message = pack (documents->newest, 0, documents->packed);
  return documents->message;
}

GBytes *
docver_message_for (DocumentVersions *documents, uint64_t held)
{
  Version *base = &documents->versions[held % KEPT];
  const Version *newest = &documents->versions[documents->newest % KEPT];

  if (held == 0 || held >= documents->newest || base->number != held || base->text == NULL
      || newest->text == NULL)
    return whole (documents);
  if (base->message == NULL)
    {
      GBytes *changes = delta_make (base->text, newest->text);
      if (g_bytes_get_size (changes) < g_bytes_get_size (documents->packed))
        base->message = pack (documents->newest, held, changes);
      else
        base->message = g_bytes_ref (whole (documents));
      g_bytes_unref (changes);
    }
  return base->message;
}
