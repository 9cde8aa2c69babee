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
clear_messages (DocumentVersions *docver)
{
  g_clear_pointer (&docver->message, g_bytes_unref);
  for (unsigned i = 0; i < VERSIONS_KEPT; i++)
    g_clear_pointer (&docver->versions[i].message, g_bytes_unref);
}

DocumentVersions *
docver_new (void)
{
  return g_new0 (DocumentVersions, 1);
}

void
docver_free (DocumentVersions *docver)
{
  if (docver == NULL)
    return;
  clear_messages (docver);
  for (unsigned i = 0; i < VERSIONS_KEPT; i++)
    g_clear_pointer (&docver->versions[i].text, g_bytes_unref);
  g_clear_pointer (&docver->packed, g_bytes_unref);
  g_free (docver);
}

void
docver_set_newest (DocumentVersions *docver, uint64_t number, GBytes *packed, GBytes *text)
{
  Version *version = &docver->versions[number % VERSIONS_KEPT];

  if (number <= docver->newest)
    return;
  clear_messages (docver);
  g_clear_pointer (&docver->packed, g_bytes_unref);
  g_clear_pointer (&version->text, g_bytes_unref);
  *version = (Version){ .number = number, .text = text ? g_bytes_ref (text) : NULL };
  docver->newest = number;
  docver->packed = g_bytes_ref (packed);
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
whole_message (DocumentVersions *docver)
{
  if (docver->message == NULL && docver->packed)
    docver->message = pack_message (docver->newest, 0, docver->packed);
  return docver->message;
}

GBytes *
docver_message_for (DocumentVersions *docver, uint64_t held)
{
  Version *base = &docver->versions[held % VERSIONS_KEPT];
  const Version *newest = &docver->versions[docver->newest % VERSIONS_KEPT];

  if (held == 0 || held >= docver->newest || base->number != held || base->text == NULL
      || newest->text == NULL)
    return whole_message (docver);
  if (base->message == NULL)
    {
      GBytes *changes = delta_make (base->text, newest->text);
      if (g_bytes_get_size (changes) < g_bytes_get_size (docver->packed))
        base->message = pack_message (docver->newest, held, changes);
      else
        base->message = g_bytes_ref (whole_message (docver));
      g_bytes_unref (changes);
    }
  return base->message;
}
