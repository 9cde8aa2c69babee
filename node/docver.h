/* docver.h - builds messages that bring an instance with an older or no catalogue up to date. */
#ifndef DOCVER_H
#define DOCVER_H

#include "mesh.h"

typedef struct DocumentVersions DocumentVersions;

DocumentVersions *docver_new (void);
void docver_free (DocumentVersions *documents);
/* packed: as stored in the log (compress.h); text: unpacked, NULL: it cannot be unpacked. Ignored
 * unless number is above the newest. */
void docver_set_newest (DocumentVersions *documents, uint64_t number, GBytes *packed, GBytes *text);
/* The packed message that updates an instance from version held (0: none) to the newest: a delta if
 * it is smaller, else the whole document. NULL: there is no document. Valid until the next call of
 * docver_set_newest or docver_free. */
GBytes *docver_message_for (DocumentVersions *documents, uint64_t held);

#endif
