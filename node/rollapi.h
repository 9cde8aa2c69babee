/* rollapi.h - HTTP calls of operators for roll-outs: those of the platform, and the ones that
 * this program defines itself. */
#ifndef ROLLAPI_H
#define ROLLAPI_H

#include "hsrv.h"
#include "rollouts.h"

typedef enum
{
  ROLLAPI_NONE,  /* not a call for roll-outs */
  ROLLAPI_START, /* starts a roll-out */
  ROLLAPI_STATE,
  ROLLAPI_OWN_START,
  ROLLAPI_OWN_STATE,
  ROLLAPI_OWN_ABORT
} RollApiCall;

RollApiCall rollapi_classify (const AdapterOps *adapter_ops, const char *method,
                              const char *target);

/* The reply to an operator. status 0: not known yet; it depends on the result of the proposal
 * ticket. */
typedef struct
{
  unsigned status;
  uint64_t ticket;
  char *service, *target; /* of a proposed order; g_free */
  const char *field;      /* the wrong field of the call, and the error; "": the whole call */
  char why[200];
  GString *body; /* body of a successful reply, owned by the caller; NULL: {} */
} RollApiReply;

/* Handles a call at the voter in charge. cat: the catalogue in force; NULL: none. */
void rollapi_handle (const AdapterOps *adapter_ops, Rollouts *rollouts, const RtCat *cat,
                     RollApiCall kind, const HMsg *msg, const GByteArray *body,
                     RollApiReply *reply);
/* To be called when an order's proposal has been committed: sets the reply, depending on whether
 * the committed roll-out has this order's target. */
void rollapi_order_committed (const Rollouts *rollouts, RollApiReply *reply);
void rollapi_reply_clear (RollApiReply *reply);

#endif
