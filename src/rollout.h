/* rollout.h - the account of orders to move a service to servers of another version; private to the
 * library and its shells. */
#ifndef ROLLOUT_H
#define ROLLOUT_H

#include "codec.h"

typedef struct RolloutTable RolloutTable;

RolloutTable *roll_new (void);
void roll_free (RolloutTable *account);

/* What an order means beside what is known. */
typedef enum
{
  ROLL_NEW,   /* it begins a roll-out */
  ROLL_KNOWN, /* the one that is under way, or has ended lately */
  ROLL_BUSY,  /* another target's is under way */
  ROLL_FULL   /* FT_ROLLOUTS_MAX services have one */
} RollCheck;

/* An order carries no number, so it is known by service and target: while that roll-out is under
 * way, and lately: for as long as its operator may send it again. One that was completed is never
 * begun again, since nothing is left to move. */
RollCheck roll_check (const RolloutTable *account, const char *service, const char *target,
                      bool lately);

/* Operations at their index in the log; deterministic. True: the account has changed. */
bool roll_apply_start (RolloutTable *account, uint64_t index, const MsgRolloutStart *start);
bool roll_apply_step (RolloutTable *account, uint64_t index, const MsgRolloutStep *step);

/* Borrowed; NULL: none was ever ordered. */
const MsgRollout *roll_find (const RolloutTable *account, const char *service);
bool roll_is_active (const MsgRollout *rollout);
/* Index of the latest change; 0: there was none. */
uint64_t roll_index (const RolloutTable *account);
/* The whole account, in order of services. rollouts_val is an array of the caller's (g_free); what
 * its records point to is borrowed. */
void roll_capture (const RolloutTable *account, MsgRollouts *out);
/* Takes a captured account over in place of this one; in is copied. */
void roll_restore (RolloutTable *account, const MsgRollouts *in);

#endif
