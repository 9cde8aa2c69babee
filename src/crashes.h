/* crashes.h - counts server crashes per request content and per part of prompts; private to the
 * library and its shells. */
#ifndef CRASHES_H
#define CRASHES_H

#include "codec.h"

/* A content that was running on this many servers as they crashed is no longer sent to any server.
 * Two crashes can be a coincidence: when a failure domain loses power, every content running there
 * gets one, and its caller may retry into the next failure. Waiting for a third costs one more
 * server and makes a coincidence unlikely. */
#define CRASHES_QUARANTINE   3
#define CRASHES_MAX_CONTENTS 1024 /* entries in the table, about 150 bytes each */
#define CRASHES_MAX_PARTS    1024 /* further entries, for parts */
/* A part whose latest crash is older than this is forgotten, since one that is quarantined can get
 * no answer that clears it: if it is still requested, it crashes servers again, at most
 * CRASHES_QUARANTINE in this time. */
#define CRASHES_PART_KEPT_MS (30 * 60 * 1000)
/* When the table is full, suspects that are not quarantined and whose latest crash is older than
 * this make room first, quarantined ones after CRASHES_PART_KEPT_MS. */
#define CRASHES_STALE_MS (60 * 1000)
/* Keys with fewer than CRASHES_PUBLISH_MIN crashes have this part of the table, 1 / N, also while
 * all others are recent. */
#define CRASHES_SINGLE_PART 4
/* Contents with at least this many crashes are published to all instances, because one more crash
 * quarantines them. Contents with fewer are nearly all innocent, and every crash adds several. */
#define CRASHES_PUBLISH_MIN 2

/* Reports of the same server within this time are one crash: instances detect it within 1 s of
 * each other, and no server restarts and crashes again faster. */
#define CRASHES_SAME_MS 2000

typedef struct CrashTable CrashTable;

CrashTable *crashes_new (void);
void crashes_free (CrashTable *table);
/* These apply a committed operation with its log index and are deterministic. They return true if
 * the table has changed. */
bool crashes_add (CrashTable *table, uint64_t index, const MsgCrash *ended);
bool crashes_retract (CrashTable *table, uint64_t index, const MsgCrashRetracted *survived);
bool crashes_clear (CrashTable *table, uint64_t index, const MsgCleared *cleared);
/* Whether crashes_add would change nothing. */
bool crashes_is_recorded (const CrashTable *table, const MsgCrash *ended);
/* Stores up to max keys of parts that are to be forgotten at wall_ms, and returns their number. */
unsigned crashes_expired (const CrashTable *table, int64_t wall_ms, uint64_t *keys, unsigned max);
/* Returns a borrowed entry, or NULL if no crash is recorded for the content. */
const MsgSuspect *crashes_find (const CrashTable *table, uint64_t content);
/* Log index of the latest change; 0 if there was none. */
uint64_t crashes_index (const CrashTable *table);
/* Returns the number of entries; *quarantined gets how many of them are quarantined. */
unsigned crashes_count (const CrashTable *table, unsigned *quarantined);
/* Copies the entries with at least min_crashes crashes, those that are evicted last first. The
 * caller frees the array suspects_val with g_free; what its records point to remains owned by the
 * table. */
void crashes_capture (const CrashTable *table, unsigned min_crashes, MsgCrashTable *out);
/* Appends all entries as a JSON array, most crashes first. wall_ms is the current time, from which
 * ages are computed. */
void crashes_append_json (const CrashTable *table, int64_t wall_ms, GString *out);
/* Replaces the contents of the table by a deep copy of a snapshot. */
void crashes_restore (CrashTable *table, const MsgCrashTable *in);

#endif
