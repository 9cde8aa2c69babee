/* rollapi.h - operators' calls on roll-outs: the platform's, and those of the product's own. */
#ifndef ROLLAPI_H
#define ROLLAPI_H

#include "hsrv.h"
#include "rollouts.h"

typedef enum
{
  ROLLAPI_NONE,  /* it is no such call */
  ROLLAPI_START, /* orders a roll-out */
  ROLLAPI_STATE,
  ROLLAPI_OWN_START,
  ROLLAPI_OWN_STATE,
  ROLLAPI_OWN_ABORT
} RollApiCall;

RollApiCall rollapi_classify (const Seam *seam, const char *method, const char *target);

/* What an operator is told. status 0: nothing yet; the verdict on ticket follows. */
typedef struct
{
  unsigned status;
  uint64_t ticket;
  char *service, *target; /* of an order that is proposed; g_free */
  const char *field;      /* of an error, and why; "": the whole call */
  char why[200];
  GString *body; /* of an answer that is no error; the caller's; NULL: {} */
} RollApiReply;

/* Of the voter in charge. cat: in force; NULL: none. */
void rollapi_handle (const Seam *seam, Rollouts *rollouts, const RtCat *cat, RollApiCall kind,
                     const HMsg *msg, const GByteArray *body, RollApiReply *reply);
/* The verdict on the order's proposal is FT_OK: does the log name this order's target? */
void rollapi_order_committed (const Rollouts *rollouts, RollApiReply *reply);
void rollapi_reply_clear (RollApiReply *reply);

#endif
