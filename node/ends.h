/* ends.h - which servers have ended, and what they were running for this instance. */
#ifndef ENDS_H
#define ENDS_H

#include "hcli.h"
#include "seam.h"

typedef struct Ends Ends;

/* A request that was running on a server. */
typedef struct
{
  uint64_t content;
  char request[SEAM_ID_MOST];
} CrashRun;

/* The process of server has ended, as was seen at that time, while it ran these; once for each of
 * them. */
typedef void (*CrashFunc) (void *host, const char *server, int64_t at, const CrashRun *runs,
                           unsigned count);

Ends *crashdet_new (Loop *loop, HCli *cli, CrashFunc ended, void *host);
void crashdet_free (Ends *ends);
/* The connection broke on which the server at addr was running the request. */
void crashdet_connection_lost (Ends *ends, const char *server, SockAddr addr, uint64_t content,
                               const char *request);
/* The request was given up while the server was running it. */
void crashdet_abandoned (Ends *ends, const char *server, uint64_t content, const char *request);
/* Nobody listens at the server's address. */
void crashdet_refused (Ends *ends, const char *server);

#endif
