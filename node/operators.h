/* operators.h - a voter's answers to operators: catalogues handed in and read back. */
#ifndef OPERATORS_H
#define OPERATORS_H

#include "hsrv.h"
#include "rollouts.h"
#include "adapter.h"
#include "suspects.h"
#include "voter.h"

typedef struct Operators Operators;

/* All must outlive it. */
typedef struct
{
  Loop *loop;
  const AdapterOps *adapter_ops;
  Voter *voter;
  Suspects *suspects;
  Rollouts *rollouts;
  SockAddr address; /* for operators; the same port on all voters */
} OperatorsConf;

/* NULL: the address cannot be bound, errno says why. */
Operators *operators_new (const OperatorsConf *conf);
/* The catalogue in force, borrowed until the next call. */
void operators_set_catalogue (Operators *operators, const RtCat *cat);
void operators_free (Operators *operators);
/* The end of a proposal, as VoterOps.verdict tells it. */
void operators_on_verdict (Operators *operators, uint64_t ticket, FtStatus status);
/* Answers changes that wait for too long. Call every 20 ms or so. */
void operators_tick (Operators *operators);
/* From now on this voter accepts nothing itself. */
void operators_start_leaving (Operators *operators);
/* Changes that wait for their verdict. */
unsigned operators_open_count (const Operators *operators);

#endif
