/* serversint.h - state of the list of servers; private to servers.c (the held list) and
 * serversmsg.c (messages to peers). */
#ifndef SERVERSINT_H
#define SERVERSINT_H

#include "servers.h"

#define STEPS_KEPT                                                                                 \
  32 /* 20 s of a list that changes at each reading, which is longer than a start takes */

typedef struct
{
  char *id;
  unsigned step; /* the step that removed it */
} Removed;

struct Servers
{
  GArray *list;      /* AdapterServer */
  GHashTable *by_id; /* id -> index + 1 */
  int64_t asked_at, requested_at;
  guint digest, polled_digest;
  unsigned step;             /* number of the latest change of the list; 0: none yet */
  guint digests[STEPS_KEPT]; /* of the lists after the latest steps, by step modulo STEPS_KEPT */
  GHashTable *changed_in; /* id of a listed server -> step in which it was added or changed last */
  GArray *removed;        /* Removed, of the latest steps */
  GBytes *packed[2]; /* the changes and the whole list, compressed; NULL: not built since the list
                        changed */
  guint packed_for;  /* digest of the list to which packed[0] gives the changes */
  GHashTable *messages; /* digest of a peer's list -> GBytes of the message, built at messages_at */
  int64_t messages_at;
  uint64_t messages_built; /* number of messages built so far */
};

#endif
