/* servers.h - the backend servers that an instance knows, from the newest list it has heard. */
#ifndef SERVERS_H
#define SERVERS_H

#include "meshmsg.h"
#include "scheduler.h"
#include "seam.h"

typedef struct Servers Servers;

Servers *servers_new (void);
void servers_free (Servers *servers);
/* Takes a list that was asked for at asked_at over, if that is newer than what is held. True: it
 * was. */
bool servers_take_read (Servers *servers, const GArray *list, int64_t asked_at);
/* The same for a voter's message; also false when it names by its digest a list not held here. */
bool servers_take_message (Servers *servers, const MeshList *list, int64_t now);
/* When the list held was asked for; 0: none yet. */
int64_t servers_asked_at (const Servers *servers);
/* NULL: not on the list. */
const SeamServer *servers_find (const Servers *servers, const char *id);
unsigned servers_count (const Servers *servers);
/* Hands the list to a scheduler. */
void servers_give (const Servers *servers, Sched *sched);
/* The list as a message, whole or by its digest alone; it borrows from servers; free
 * msg->servers.servers_val with g_free. */
void servers_message (const Servers *servers, int64_t now, bool whole, MeshList *msg);
guint servers_digest (const Servers *servers);
/* Does the list differ, in more than its age, from what servers_changed saw last? */
bool servers_changed (Servers *servers);

#endif
