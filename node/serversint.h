/* serversint.h - the list of servers as its own files hold it; private to servers.c (what is held)
 * and serversmsg.c (what others are told). */
#ifndef SERVERSINT_H
#define SERVERSINT_H

#include "servers.h"

#define STEPS_KEPT 32 /* 20 s of a list that changes with each reading, longer than a start */

typedef struct
{
  char *id;
  unsigned step; /* in which it left the list */
} Removed;

struct Servers
{
  GArray *list;      /* SeamServer */
  GHashTable *by_id; /* id: index + 1 */
  int64_t asked_at, wanted_at;
  guint digest, digest_seen;
  unsigned step;             /* of the list held; 0: none yet */
  guint digests[STEPS_KEPT]; /* of the lists of the latest steps, by step modulo their number */
  GHashTable *changed_in;    /* id of a server of the list: step in which it came or changed last */
  GArray *removed;           /* Removed, in the latest steps */
  GBytes *packed[2];         /* changes and the whole; NULL: not since the list changed */
  guint packed_for;          /* digest of the list that the changes are against */
  GHashTable *messages;      /* digest of a list held: GBytes for links, as of ... */
  int64_t messages_at;
  uint64_t made; /* messages worked out so far */
};

#endif
