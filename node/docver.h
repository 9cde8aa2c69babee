/* docver.h - the newest catalogue as messages, for instances that hold an earlier one or none.
 */
#ifndef DOCVER_H
#define DOCVER_H

#include "mesh.h"

typedef struct DocumentVersions DocumentVersions;

DocumentVersions *docver_new (void);
void docver_free (DocumentVersions *documents);
/* packed: as the log holds it (compress.h); text: unpacked, NULL: it could not be. An older number
 * changes nothing. */
void docver_set_newest (DocumentVersions *documents, uint64_t number, GBytes *packed, GBytes *text);
/* What brings an instance that holds version held to the newest, packed for a link: its changes if
 * these are few bytes, else the whole; held 0: it holds none. Borrowed; NULL: there is none. */
GBytes *docver_message_for (DocumentVersions *documents, uint64_t held);

#endif
