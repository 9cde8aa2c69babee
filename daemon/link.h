/* link.h - connections to the other instances: ONC RPC over TCP. */
#ifndef LINK_H
#define LINK_H

#include "foxtail.h"

typedef struct Link Link;
struct Core;

/* Listens, and starts a thread for each other instance of the settings. */
FtStatus link_new (void *core, Link **link, FtError *error);
/* Takes msg over. Delivered once and in order, or the node is told that the link was reset. */
void link_send (Link *link, uint32_t to, GByteArray *msg);

#endif
