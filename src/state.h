/* state.h - the replicated state: catalogue, leases, claims, refusals, blame; private to the
 * library. */
#ifndef STATE_H
#define STATE_H

#include "crashes.h"
#include "rollout.h"

typedef struct State State;

/* What applying an operation says to whoever proposed it. */
typedef struct
{
  FtStatus status;
  uint64_t revision;
  char text[1024];
} StateResult;

State *state_new (void);
void state_free (State *state);
/* Deterministic: the same operations in the same order give the same state and verdicts. */
void state_apply (State *state, uint64_t index, const MsgOp *op, StateResult *verdict);
GByteArray *state_capture (const State *state);
FtStatus state_restore (State *state, const void *data, size_t size);

uint64_t state_revision (const State *state);
const char *state_catalogue (const State *state);
/* The catalogue in force, parsed; borrowed, NULL before the first change. */
FtCat *state_parsed_catalogue (const State *state);
/* Epoch of the newest lease of any pool. */
uint64_t state_epoch (const State *state);
/* Borrowed; NULL: nobody has held it. */
const MsgLease *state_lease (const State *state, const char *pool);
GPtrArray *state_leases (const State *state); /* new array of borrowed const MsgLease * */
/* The newest document, borrowed; NULL: none yet. */
const MsgDocument *state_document (const State *state);
/* Which contents ran on servers that ended; borrowed. */
const CrashTable *state_blame (const State *state);
/* Which versions of servers were ordered; borrowed. */
const RolloutTable *state_rollouts (const State *state);
const MsgVoters *state_voters (const State *state);
const MsgClaimState *state_claim (const State *state, const char *key);
unsigned state_claim_count (const State *state);
/* Is there a running claim of this entry whose incarnation differs from current? */
bool state_claim_of_other (const State *state, uint32_t entry, uint64_t incarnation,
                           uint64_t *older);
const MsgRecord *state_refusal (const State *state, const char *id);
const GPtrArray *state_history (const State *state); /* MsgRevision *, oldest first */

#endif
