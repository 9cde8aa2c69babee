/* operators.h - a voter's HTTP API for operators: catalogues, suspects and roll-outs. */
#ifndef OPERATORS_H
#define OPERATORS_H

#include "hsrv.h"
#include "rollouts.h"
#include "adapter.h"
#include "suspects.h"
#include "voter.h"

typedef struct Operators Operators;

/* All pointers must stay valid until operators_free. */
typedef struct
{
  Loop *loop;
  const AdapterOps *adapter_ops;
  Voter *voter;
  Suspects *suspects;
  Rollouts *rollouts;
  SockAddr address; /* to listen on; the same port on all voters */
} OperatorsConf;

/* NULL: the address cannot be bound, errno says why. */
Operators *operators_new (const OperatorsConf *conf);
/* Sets the catalogue in force; cat must stay valid until the next call. */
void operators_set_catalogue (Operators *operators, const RtCat *cat);
void operators_free (Operators *operators);
/* The outcome of a proposal, see VoterOps.verdict. Tickets of other modules are ignored. */
void operators_on_verdict (Operators *operators, uint64_t ticket, FtStatus status);
/* Answers changes whose verdict is overdue. Call about every 20 ms. */
void operators_tick (Operators *operators);
/* The instance is stopping: from now on operators are redirected to another voter. */
void operators_start_leaving (Operators *operators);
/* Number of changes that wait for their verdict. */
unsigned operators_open_count (const Operators *operators);

#endif
