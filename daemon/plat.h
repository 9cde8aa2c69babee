/* plat.h - the platform's list of backend servers, and their load reports. */
#ifndef PLAT_H
#define PLAT_H

#include "core.h"

typedef struct Plat Plat;

/* Starts the thread that polls the list and the servers. */
Plat *plat_new (Core *core);
/* Writes the "IP:port" of a server to out. False: the server is not known. Never blocks. */
bool plat_address (Plat *plat, const char *pool, const char *server, char *out, size_t size);
/* Writes a name of the server's present incarnation to out. False: the server is not known. */
bool plat_incarnation (Plat *plat, const char *pool, const char *server, char *out, size_t size);

#endif
