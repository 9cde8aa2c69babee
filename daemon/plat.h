/* plat.h - the platform's list of backend servers, and what these report of themselves. */
#ifndef PLAT_H
#define PLAT_H

#include "core.h"

typedef struct Plat Plat;

/* Starts the thread that polls the list. */
Plat *plat_new (Core *core);
/* "IP:port" of a server, read through RCU; false: not in the list. */
bool plat_address (Plat *plat, const char *pool, const char *server, char *out, size_t size);
/* A name of the server's lifetime; false: not in the list. */
bool plat_lifetime (Plat *plat, const char *pool, const char *server, char *out, size_t size);

#endif
