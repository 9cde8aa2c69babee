/* requests.h - the life of callers' requests at an entry, from the whole request to the last byte
 * of its answer. */
#ifndef REQUESTS_H
#define REQUESTS_H

#include "budget.h"
#include "hcli.h"
#include "hsrv.h"
#include "place.h"
#include "servers.h"
#include "versions.h"
#include "crashrep.h"

typedef struct Requests Requests;

typedef struct
{
  Loop *loop;
  const Seam *seam;
  HCli *cli;
  Place *place;
  RetryBudget *budget;
  const Servers *servers;
  CrashReporter *witness;
  const EntryVersions *versions;
} RequestsConf;

Requests *requests_new (const RequestsConf *conf);
void requests_free (Requests *requests);
/* Requests that come from now on are handled by cat; those under way keep theirs. */
void requests_set_catalogue (Requests *requests, RtCat *cat);
/* A whole request of a caller; answered from within or later. */
void requests_handle (Requests *requests, HCall *call);
/* Its caller has left. */
void requests_caller_left (Requests *requests, HCall *call);
/* Its caller, who read its answer too slowly, has read on. */
void requests_caller_drained (Requests *requests, HCall *call);
/* The scheduler's verdicts. */
void requests_grant (Requests *requests, uint64_t number, const Grant *grant);
void requests_refuse (Requests *requests, uint64_t number, const SchedRefusal *refusal);
/* The witness's verdicts may have changed: looks again at requests that wait for a place. */
void requests_recheck (Requests *requests);
unsigned requests_open_count (const Requests *requests);

#endif
