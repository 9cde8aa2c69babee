/* ends.h - detects that the process of a server has crashed, and which requests of this
 * instance it was running. */
#ifndef ENDS_H
#define ENDS_H

#include "fingerprint.h"
#include "lifetime.h"

typedef struct CrashDetector CrashDetector;

/* A request that was running on a crashed server. */
typedef struct
{
  Fingerprint *print;
  const char *request; /* its id */
  unsigned events;     /* of its answer that the server had sent */
} CrashRun;

/* Called when the server process has crashed. at: the time of detection; runs: the requests that
 * it was running, each reported once. */
typedef void (*CrashFunc) (void *user, const char *server, int64_t at, const CrashRun *runs,
                           unsigned count);

/* egress: finds another entry that checks a refusal; NULL: a refusal here is enough. lifetimes:
 * asks servers that accept connections; NULL: to accept one is enough. */
CrashDetector *crashdet_new (Loop *loop, HCli *cli, Egress *egress, Lifetimes *lifetimes,
                             CrashFunc on_crash, void *user);
void crashdet_free (CrashDetector *detector);
/* The connection on which the server was running the request was lost. */
void crashdet_connection_lost (CrashDetector *detector, const LifetimeTarget *server,
                               const CrashRun *run);
/* The request was abandoned while the server was running it. */
void crashdet_abandoned (CrashDetector *detector, const char *server, const CrashRun *run);
/* A connection to the server's address was refused. */
void crashdet_refused (CrashDetector *detector, const char *server);

#endif
