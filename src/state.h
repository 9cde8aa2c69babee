/* state.h - the replicated state: catalogue, leases, claims, refusals, contents that were running
 * on servers that ended, roll-outs; private to the library. */
#ifndef STATE_H
#define STATE_H

#include "crashes.h"
#include "listed.h"
#include "rollout.h"

typedef struct State State;

/* Result of an operation, for its proposer. */
typedef struct
{
  FtStatus status;
  uint64_t revision;
  char text[1024]; /* a message or an id, depending on the operation */
} StateResult;

State *state_new (void);
void state_free (State *state);
/* Applies the operation at index of the log. Deterministic: the same operations in the same order
 * give the same state and results. */
void state_apply (State *state, uint64_t index, const MsgOp *op, StateResult *result);
/* The packed MsgState for a snapshot; NULL: it exceeds a bound of msg.x. */
GByteArray *state_capture (const State *state);
/* Replaces the state by a captured one. FT_CORRUPT: data is invalid; the state is unchanged. */
FtStatus state_restore (State *state, const void *data, size_t size);

uint64_t state_revision (const State *state);
/* Text of the current catalogue, borrowed; empty before the first change. */
const char *state_catalogue (const State *state);
/* The current catalogue, parsed and borrowed; NULL before the first change. */
FtCat *state_parsed_catalogue (const State *state);
/* Epoch of the newest lease of all pools. */
uint64_t state_epoch (const State *state);
/* The last lease of a pool, borrowed; NULL: there was none. */
const MsgLease *state_lease (const State *state, const char *pool);
/* A new array of borrowed const MsgLease *. */
GPtrArray *state_leases (const State *state);
/* The document with the highest number, borrowed; NULL: none yet. */
const MsgDocument *state_document (const State *state);
/* The contents that were running on servers that ended; borrowed. */
const CrashTable *state_crashes (const State *state);
/* The ordered versions of servers; borrowed. */
const RolloutTable *state_rollouts (const State *state);
const ListedTable *state_listed (const State *state);
const MsgVoters *state_voters (const State *state);
/* Borrowed; NULL: there is no claim of that key. */
const MsgClaimState *state_claim (const State *state, const char *key);
unsigned state_claim_count (const State *state);
/* Is there a running claim of this entry with another incarnation than the given one? Sets *other
 * to that incarnation. */
bool state_claim_of_other (const State *state, uint32_t entry, uint64_t incarnation,
                           uint64_t *other);
/* Borrowed; NULL: no refusal with that id is kept. */
const MsgRefusalRecord *state_refusal (const State *state, const char *id);
/* The kept changes with their results, MsgRevision *, oldest first; borrowed. */
const GPtrArray *state_history (const State *state);

#endif
