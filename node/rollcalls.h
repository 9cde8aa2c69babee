/* rollcalls.h - operators' calls on roll-outs: the platform's, and those of the product's own. */
#ifndef ROLLCALLS_H
#define ROLLCALLS_H

#include "hsrv.h"
#include "rollouts.h"

typedef enum
{
  ROLLCALL_NONE,  /* it is no such call */
  ROLLCALL_START, /* orders a roll-out */
  ROLLCALL_STATE,
  ROLLCALL_OWN_START,
  ROLLCALL_OWN_STATE,
  ROLLCALL_OWN_ABORT
} RollCall;

RollCall rollcall_of (const AdapterOps *adapter_ops, const char *method, const char *target);

/* What an operator is told. status 0: nothing yet; the verdict on ticket follows. */
typedef struct
{
  unsigned status;
  uint64_t ticket;
  char *service, *target; /* of an order that is proposed; g_free */
  const char *field;      /* of an error, and why; "": the whole call */
  char why[200];
  GString *body; /* of an answer that is no error; the caller's; NULL: {} */
} RollReply;

/* Of the voter in charge. cat: in force; NULL: none. */
void rollcall_answer (const AdapterOps *adapter_ops, Rollouts *rollouts, const RtCat *cat,
                      RollCall kind, const HMsg *msg, const GByteArray *body, RollReply *reply);
/* The verdict on the order's proposal is FT_OK: does the log name this order's target? */
void rollcall_committed (const Rollouts *rollouts, RollReply *reply);
void rollcall_clear (RollReply *reply);

#endif
