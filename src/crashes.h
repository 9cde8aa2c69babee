/* crashes.h - the account of which contents were running on servers that ended; private to the
 * library and its shells. */
#ifndef CRASHES_H
#define CRASHES_H

#include "codec.h"

/* A content under which so many servers have ended is sent to none any more. Two ends can be
 * chance: in a failure domain that loses power every content there is hit, and its caller's next
 * try may meet the next failure. A third one costs a server more and settles it. */
#define CRASHES_QUARANTINE   3
#define CRASHES_MAX_CONTENTS 1024 /* suspects kept, some 150 bytes each */
/* Instances are told of contents with so many ends: the next one may be the last that it takes.
 * Those with fewer are nearly all innocent, and each end of a server makes some. */
#define CRASHES_PUBLISH_MIN 2

typedef struct CrashTable CrashTable;

CrashTable *crashes_new (void);
void crashes_free (CrashTable *blame);
/* Operations at their index in the log. True: the account has changed. Deterministic. */
bool crashes_add (CrashTable *blame, uint64_t index, const MsgCrash *ended);
bool crashes_retract (CrashTable *blame, uint64_t index, const MsgCrashRetracted *survived);
bool crashes_clear (CrashTable *blame, uint64_t index, const MsgCleared *cleared);
/* Would crashes_add change nothing? */
bool crashes_is_recorded (const CrashTable *blame, const MsgCrash *ended);
/* Borrowed; NULL: nothing is said against the content. */
const MsgSuspect *crashes_find (const CrashTable *blame, uint64_t content);
/* Index of the latest change; 0: there was none. */
uint64_t blame_index (const CrashTable *blame);
/* How many are kept, and how many of them are sent to no server. */
unsigned crashes_count (const CrashTable *blame, unsigned *quarantined);
/* The account of contents with at least so many ends. suspects_val is an array of the caller's
 * (g_free); what its records point to is borrowed. */
void crashes_capture (const CrashTable *blame, unsigned least, MsgCrashTable *out);
/* Appends the whole account as a JSON array, the one with most ends first; wall_ms: now, for ages.
 */
void crashes_append_json (const CrashTable *blame, int64_t wall_ms, GString *out);
/* Takes a captured account over in place of this one; in is copied. */
void crashes_restore (CrashTable *blame, const MsgCrashTable *in);

#endif
