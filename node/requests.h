/* requests.h - callers' requests at an entry, from the complete request to the last byte of its
 * answer. */
#ifndef REQUESTS_H
#define REQUESTS_H

#include "budget.h"
#include "egress.h"
#include "origdir.h"
#include "hcli.h"
#include "hsrv.h"
#include "lifetime.h"
#include "place.h"
#include "servers.h"
#include "versions.h"
#include "crashrep.h"

typedef struct Requests Requests;

typedef struct
{
  Loop *loop;
  const AdapterOps *adapter_ops;
  HCli *cli;
  Place *place;
  RetryBudget *budget;
  const Servers *servers;
  CrashReporter *crash_reporter;
  const EntryVersions *versions;
  Egress *egress;
  OriginDir *origins;
  Lifetimes *lifetimes;
} RequestsConf;

Requests *requests_new (const RequestsConf *conf);
void requests_free (Requests *requests);
/* Handles requests that arrive from now on by cat; open requests keep the catalogue that they
 * arrived under. */
void requests_set_catalogue (Requests *requests, RtCat *cat);
/* Handles a completely received request; it may be answered before this returns. */
void requests_handle (Requests *requests, HCall *call);
/* The caller has closed its connection before the answer ended. */
void requests_caller_left (Requests *requests, HCall *call);
/* A caller that read its answer too slowly has caught up: more can be written. */
void requests_caller_drained (Requests *requests, HCall *call);
/* The scheduler's decisions on the ask with this number. */
void requests_grant (Requests *requests, uint64_t number, const Grant *grant);
void requests_refuse (Requests *requests, uint64_t number, const SchedRefusal *refusal);
/* Quarantine verdicts may have changed: checks again the requests that wait for a place. */
void requests_recheck (Requests *requests);
/* The process is about to end: all requests, also those that arrive from now on, are answered by
 * ends_at, and no try of one that this limits is given up for a run that starts over. */
void requests_leave (Requests *requests, int64_t ends_at);
unsigned requests_open_count (const Requests *requests);

#endif
