/* back.h - dispatches calls to backend servers and receives their answers. */
#ifndef BACK_H
#define BACK_H

#include "core.h"
#include "plat.h"

typedef struct Back Back;

Back *back_new (Core *core, Plat *plat);
/* Table of all calls of this instance. */
CallTable *back_calls (Back *back);
/* Sends a granted call to its server, never more than once. FT_NOT_FOUND: nothing was sent, since
 * the connection failed, the server has no address or it has asked this instance to back off. */
FtStatus back_dispatch (Back *back, Call *call);
/* Pause and resume the stream of a call. Called from the loop thread, must not block. back:
 * call->back, NULL if the call has not been dispatched. */
void back_pause (void *back, Call *call);
void back_resume (void *back, Call *call);
/* Finds a finished answer kept here and encodes it by body_pack_answer. FT_NOT_FOUND: not known;
 * FT_CONFLICT: the call still runs; FT_STALE: its outcome is unknown. */
FtStatus back_kept_answer (Back *back, const char *id, GBytes **body);

/* The caller has its whole answer, or has left: a finished call is only kept from now on, and its
 * memory counts as that of kept answers. */
void back_sent (Call *call);

/* Ends all calls that were dispatched and have no complete answer, as the process is about to end.
 */
void back_give_up (Back *back);

#endif
