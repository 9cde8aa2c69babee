/* back.h - dispatches to backend servers and the streams that come back. */
#ifndef BACK_H
#define BACK_H

#include "core.h"
#include "plat.h"

typedef struct Back Back;

Back *back_new (Core *core, Plat *plat);
Book *back_book (Back *back);
/* Sends a granted call to its server: once, whatever happens. FT_NOT_FOUND: the connection was
 * refused, the server has no address or wants nothing from this instance now; no byte was sent. */
FtStatus back_dispatch (Back *back, Call *call);
/* From the loop thread; do not block. back is call->back. */
void back_pause (void *back, Call *call);
void back_resume (void *back, Call *call);
/* A finished answer kept here as it goes between instances: organisation, status, type, body. */
FtStatus back_kept_answer (Back *back, const char *id, GBytes **body);

#endif
