/* hcli.h - HTTP/1.1 client on an event loop, with a pool of persistent connections.
 *
 * The client never resends a request. It reports whether any byte of a failed request may have been
 * sent, and its user decides on a retry.
 */
#ifndef HCLI_H
#define HCLI_H

#include "hmsg.h"
#include "sock.h"

typedef struct HCli HCli;
/* One request and its response; freed after end or failed, and by hxfer_cancel. */
typedef struct HXfer HXfer;

typedef enum
{
  HXFER_NOT_CONNECTED, /* no connection was established, so no byte was sent */
  HXFER_REFUSED,       /* the same: the machine is up, but nothing listens on the port */
  HXFER_BROKEN,    /* the connection closed before the response ended; the request may have run */
  HXFER_TIMED_OUT, /* the same: the kernel's time-out for the connection expired */
  HXFER_BAD_RESPONSE, /* the response is not valid HTTP; the request may have run */
  HXFER_RELAY_FAILED  /* the relay takes no connection, so no byte was sent to the server */
} HXferFault;

/* The name of fault for logs. */
const char *hxfer_fault_name (HXferFault fault);

typedef struct
{
  /* Returns false if the response belongs to an earlier request on this connection: it is skipped,
   * and the next response is read. */
  bool (*head) (void *user, const HMsg *msg);
  void (*body) (void *user, const char *data, size_t size);
  void (*end) (void *user); /* the response is complete */
  void (*failed) (void *user, HXferFault fault);
  /* The response has ended in order with its connection, which is held for a reset now: end or
   * failed follows. NULL: nothing is to be done then. */
  void (*ending) (void *user);
} HXferOps;

typedef struct
{
  SockAddr addr;
  const char *key;     /* incarnation of the server; connections are reused only for the same key */
  int64_t connect_us;  /* time limit of a connect */
  int64_t max_idle_us; /* connections that were idle for longer are not reused */
  bool no_body;        /* a HEAD request */
  int64_t reset_wait_us; /* how long a response that ends with its connection is held for a reset
                            that makes it incomplete; 0: it is not held, but SOCK_RESET_WAIT after
                            a long request */
  SockAddr relay;        /* opens a new connection through this relay (relay.h); port 0: directly */
} HCliTarget;

/* What a new connection shows of the path to the server at addr, whose target has this key.
 * reached: the server has sent something on it, or a relay has connected to it; else the connect
 * failed, or the connection ended before anything came. */
typedef void (*HCliPathFunc) (void *user, const char *key, SockAddr addr, bool relayed,
                              bool reached);

HCli *hcli_new (Loop *loop);
void hcli_free (HCli *cli);
/* Sets the local address of connections; 0: the system chooses it. */
void hcli_set_source (HCli *cli, uint32_t source);
/* Calls func once for each new connection that shows something of its path, and not for what a
 * relay failed to do. A probe that connects shows nothing. */
void hcli_set_path_func (HCli *cli, HCliPathFunc func, void *user);
/* Sends request, a complete message. Returns NULL if a connection cannot be started for lack of a
 * descriptor or a route; nothing was sent then, and no callback runs. */
HXfer *hcli_send (HCli *cli, const HCliTarget *target, const GString *request, const HXferOps *ops,
                  void *user);
/* Connects to target and, if that succeeds, keeps the connection idle for reuse. Calls probe_func
 * once; fault is valid if connected is false. Returns false with errno set, and does not call it,
 * if there is no descriptor or no route. */
typedef void (*HCliProbeFunc) (void *user, bool connected, HXferFault fault);
bool hcli_probe (HCli *cli, const HCliTarget *target, HCliProbeFunc probe_func, void *user);
/* True if a connection for key, idle or in use, has not been closed by the server. */
bool hcli_is_connected (HCli *cli, const char *key);
/* While paused, nothing more of the response is read. */
void hxfer_pause (HXfer *xfer, bool paused);
/* How long the reused connection had been idle, in microseconds; 0: it was newly opened. */
int64_t hxfer_conn_idle_us (const HXfer *xfer);
/* Stores up to max keys that have usable idle connections, and returns their number. The strings
 * are valid until the next iteration of the loop. */
unsigned hcli_idle_keys (HCli *cli, const char **keys, unsigned max);
/* Aborts the transfer and closes its connection. No callback runs any more. */
void hxfer_cancel (HXfer *xfer);
/* Bytes of requests not yet passed to the kernel, because servers read slowly. */
size_t hcli_unsent (const HCli *cli);
/* Number of connections opened so far. */
uint64_t hcli_opened_count (const HCli *cli);

#endif
