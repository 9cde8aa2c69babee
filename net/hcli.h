/* hcli.h - an HTTP/1.1 client on a loop, with kept connections.
 *
 * A request is sent once: nothing here ever sends one again. Whoever asks learns whether a byte was
 * handed to a connection, and decides.
 */
#ifndef HCLI_H
#define HCLI_H

#include "hmsg.h"
#include "sock.h"

typedef struct HCli HCli;
typedef struct HXfer HXfer; /* one request and its answer; ends with end, failed or a cancel */

typedef enum
{
  HXFER_UNREACHED, /* no connection was established: no byte was sent */
  HXFER_REFUSED,   /* the same, since the machine is there and nobody listens */
  HXFER_BROKEN,    /* the connection ended before the answer did; the request may have run */
  HXFER_LOST,      /* the same, since the other machine was not heard for too long */
  HXFER_GARBLED    /* what came is no HTTP answer; the request may have run */
} HXferFault;

/* For logs. */
const char *hxfer_fault_name (HXferFault fault);

typedef struct
{
  /* False: the answer is somebody else's, late on this connection; the next one is awaited. */
  bool (*head) (void *user, const HMsg *msg);
  void (*body) (void *user, const char *data, size_t size);
  void (*end) (void *user); /* the answer is complete */
  void (*failed) (void *user, HXferFault fault);
} HXferOps;

typedef struct
{
  SockAddr addr;
  const char *key;    /* connections are reused only for the same key: the server's incarnation */
  int64_t connect_us; /* longest wait for a connection */
  int64_t idle_most;  /* an idle connection that is older is not used; microseconds */
  bool no_body;       /* a HEAD request */
} HCliTarget;

HCli *hcli_new (Loop *loop);
void hcli_free (HCli *cli);
/* Sends request, a whole message. NULL: no descriptor or no path; nothing was sent and nothing
 * will be called. */
HXfer *hcli_send (HCli *cli, const HCliTarget *target, const GString *request, const HXferOps *ops,
                  void *user);
/* Opens a connection to target, which is kept idle when it is there. probed: once, unless the
 * client is freed before; fault counts when connected is false. False: no descriptor or no path,
 * errno says which, and it is not called. */
typedef void (*HCliProbed) (void *user, bool connected, HXferFault fault);
bool hcli_probe (HCli *cli, const HCliTarget *target, HCliProbed probed, void *user);
/* Is there a connection for key, idle or not, that the other end has not closed? */
bool hcli_is_connected (HCli *cli, const char *key);
/* While held the rest of the answer stays with the server. */
void hxfer_hold (HXfer *xfer, bool held);
/* How long the connection that the transfer was given had rested; 0: it was opened for it. */
int64_t hxfer_rested (const HXfer *xfer);
/* Keys to which there are idle connections that may still be used, up to most of them. Returns how
 * many; they are borrowed until the next turn of the loop. */
unsigned hcli_idle_keys (HCli *cli, const char **keys, unsigned most);
/* Gives the transfer up and closes its connection; nothing more is called. */
void hxfer_cancel (HXfer *xfer);
/* Bytes of requests that servers have not taken yet. */
size_t hcli_unsent (const HCli *cli);
/* Connections opened and requests sent so far. */
uint64_t hcli_opened (const HCli *cli);

#endif
