/* client.h - blocking HTTP/1.1 client for backend servers and the platform's list.
 *
 * Each exchange has a connection of its own, and its response is read by the reader of hmsg.h. The
 * HTTP library's client is not used, because it takes responses whose heads are not valid. */
#ifndef CLIENT_H
#define CLIENT_H

#include "hmsg.h"

typedef struct
{
  const char *method, *url; /* http://HOST:PORT/PATH; http:// may be missing */
  const char *fields;       /* complete lines, each ended by CR LF; may be NULL */
  const void *body;
  size_t size;
  int64_t timeout_us; /* for the whole exchange */
} ClientRequest;

typedef struct
{
  /* Both return false if the rest of the response is not wanted; the exchange ends then. */
  bool (*head) (void *user, const HMsg *msg);
  bool (*body) (void *user, const char *data, size_t size);
} ClientOps;

/* Sends a request and reads its response. Returns the status of a complete response; 0: there was
 * none within the time limit, it was not valid or broke off, or its rest was not wanted. */
unsigned client_exchange (const ClientRequest *request, const ClientOps *ops, void *user);

#endif
