/* listed.h - the replicated table of the versions of servers that were listed lately; private to
 * the library and its shells. */
#ifndef LISTED_H
#define LISTED_H

#include "codec.h"

typedef struct ListedTable ListedTable;

ListedTable *listed_new (void);
void listed_free (ListedTable *table);

/* These apply a committed operation with its log index and are deterministic. */
/* From here on the table is complete: no server was used before. */
void listed_begin (ListedTable *table, uint64_t index);
/* Sets the versions of one service; from here on the table is complete. Ignored if it is full. */
void listed_apply (ListedTable *table, uint64_t index, const MsgListedService *service);

/* Log index of the latest change; 0: the table is not complete. */
uint64_t listed_index (const ListedTable *table);
/* Copies the table. The caller frees the array services_val with g_free; what its records point to
 * remains owned by the table. */
void listed_capture (const ListedTable *table, MsgListedTable *out);
/* Replaces the contents of the table by a deep copy of a snapshot. */
void listed_restore (ListedTable *table, const MsgListedTable *in);

#endif
