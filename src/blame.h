/* blame.h - the account of which contents were running on servers that ended; private to the
 * library and its shells. */
#ifndef BLAME_H
#define BLAME_H

#include "codec.h"

/* A content under which so many servers have ended is sent to none any more. Two ends can be
 * chance: in a failure domain that loses power every content there is hit, and its caller's next
 * try may meet the next failure. A third one costs a server more and settles it. */
#define BLAME_ENDS 3
#define BLAME_MOST 1024 /* suspects kept, some 150 bytes each */
/* Instances are told of contents with so many ends: the next one may be the last that it takes.
 * Those with fewer are nearly all innocent, and each end of a server makes some. */
#define BLAME_TOLD 2

typedef struct Blame Blame;

Blame *blame_new (void);
void blame_free (Blame *blame);
/* Operations at their index in the log. True: the account has changed. Deterministic. */
bool blame_ended (Blame *blame, uint64_t index, const MsgCrash *ended);
bool blame_survived (Blame *blame, uint64_t index, const MsgCrashRetracted *survived);
bool blame_cleared (Blame *blame, uint64_t index, const MsgCleared *cleared);
/* Would blame_ended change nothing? */
bool blame_knows (const Blame *blame, const MsgCrash *ended);
/* Borrowed; NULL: nothing is said against the content. */
const MsgSuspect *blame_find (const Blame *blame, uint64_t content);
/* Index of the latest change; 0: there was none. */
uint64_t blame_index (const Blame *blame);
/* How many are kept, and how many of them are sent to no server. */
unsigned blame_count (const Blame *blame, unsigned *quarantined);
/* The account of contents with at least so many ends. suspects_val is an array of the caller's
 * (g_free); what its records point to is borrowed. */
void blame_capture (const Blame *blame, unsigned least, MsgCrashTable *out);
/* Appends the whole account as a JSON array, the one with most ends first; wall_ms: now, for ages.
 */
void blame_list (const Blame *blame, int64_t wall_ms, GString *out);
/* Takes a captured account over in place of this one; in is copied. */
void blame_restore (Blame *blame, const MsgCrashTable *in);

#endif
