/* rollout.h - the table of roll-outs: orders to move a service to servers of another version;
 * private to the library and its shells. */
#ifndef ROLLOUT_H
#define ROLLOUT_H

#include "codec.h"

typedef struct RolloutTable RolloutTable;

RolloutTable *roll_new (void);
void roll_free (RolloutTable *table);

/* How a new order relates to the roll-outs in the table. */
typedef enum
{
  ROLL_NEW,   /* it starts a roll-out */
  ROLL_KNOWN, /* it repeats a roll-out that is active or ended recently */
  ROLL_BUSY,  /* a roll-out to another target is active */
  ROLL_FULL   /* the table already holds FT_ROLLOUTS_MAX services */
} RollCheck;

/* An order has no id, so a repeated one is recognized by service and target: while the roll-out is
 * active, and while recent is set, that is, for as long as the operator may resend it. A
 * completed roll-out is never started again, because there is nothing left to move. */
RollCheck roll_check (const RolloutTable *table, const char *service, const char *target,
                      bool recent);

/* These apply a committed operation with its log index and are deterministic. They return true if
 * the table has changed. */
bool roll_apply_start (RolloutTable *table, uint64_t index, const MsgRolloutStart *start);
bool roll_apply_step (RolloutTable *table, uint64_t index, const MsgRolloutStep *step);

/* Returns a borrowed record, or NULL if no roll-out was ever ordered for the service. */
const MsgRollout *roll_find (const RolloutTable *table, const char *service);
bool roll_is_active (const MsgRollout *rollout);
/* Log index of the latest change; 0 if there was none. */
uint64_t roll_index (const RolloutTable *table);
/* Copies the table, sorted by service. The caller frees the array rollouts_val with g_free; what
 * its records point to remains owned by the table. */
void roll_capture (const RolloutTable *table, MsgRollouts *out);
/* Replaces the contents of the table by a deep copy of a snapshot. */
void roll_restore (RolloutTable *table, const MsgRollouts *in);

#endif
