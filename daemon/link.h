/* link.h - connections to the other instances: ONC RPC over TCP. */
#ifndef LINK_H
#define LINK_H

#include "foxtail.h"

typedef struct Link Link;
struct Core;

/* Listens, and starts a sending thread for each other instance in the settings. core: a Core. */
FtStatus link_new (void *core, Link **link, FtError *error);
/* Sends msg and takes its ownership. It is delivered once and in order, or the node is told by
 * ft_node_link_reset that the link was reset. */
void link_send (Link *link, uint32_t to, GByteArray *msg);

#endif
