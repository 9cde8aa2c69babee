/* ends.h - which servers have ended, and what they were running for this instance. */
#ifndef ENDS_H
#define ENDS_H

#include "hcli.h"
#include "adapter.h"

typedef struct Ends Ends;

/* A request that was running on a server. */
typedef struct
{
  uint64_t content;
  char request[ADAPTER_ID_MAX];
} EndsRun;

/* The process of server has ended, as was seen at that time, while it ran these; once for each of
 * them. */
typedef void (*EndsEnded) (void *host, const char *server, int64_t at, const EndsRun *runs,
                           unsigned count);

Ends *ends_new (Loop *loop, HCli *cli, EndsEnded ended, void *host);
void ends_free (Ends *ends);
/* The connection broke on which the server at addr was running the request. */
void ends_broke (Ends *ends, const char *server, SockAddr addr, uint64_t content,
                 const char *request);
/* The request was given up while the server was running it. */
void ends_left (Ends *ends, const char *server, uint64_t content, const char *request);
/* Nobody listens at the server's address. */
void ends_refused (Ends *ends, const char *server);

#endif
