/* hsrv.h - HTTP/1.1 server on an event loop. A request is delivered once it is complete; a response
 * is sent at once, whole or in chunks.
 *
 * Callers may send and read slowly, so the memory used for them is bounded: requests with a body
 * are refused while the bodies in memory are too large in sum, and hcall_is_full tells the owner of
 * a response that its caller reads too slowly, so that it stops the source of the response. */
#ifndef HSRV_H
#define HSRV_H

#include "hmsg.h"
#include "sock.h"

typedef struct HSrv HSrv;
/* One request and its response; freed by hcall_reply, hcall_end and hcall_abort. */
typedef struct HCall HCall;

typedef struct
{
  /* A complete request. The owner may reply at once or later. */
  void (*request) (void *owner, HCall *call);
  /* The caller closed its connection before the response was complete. call is freed when this
   * returns. */
  void (*caller_left) (void *owner, HCall *call);
  /* All output of a call that was full has been passed to the kernel. May be NULL. */
  void (*drained) (void *owner, HCall *call);
} HSrvOps;

typedef struct
{
  size_t head_bytes, body_bytes; /* larger requests get status 431 or 413; 0: no limit */
  int64_t head_us;               /* time to receive a request with its body, else status 408 */
  int64_t idle_us;               /* an idle connection is closed after this time */
  /* With as many connections open, the longest idle one is closed for a new one, and if none is
   * idle, the new one is refused; 0: no limit. */
  unsigned connections;
  double load; /* while loop_load is higher, new connections are refused; 0: no limit */
} HSrvLimits;

/* Returns NULL with errno set if the address cannot be bound. */
HSrv *hsrv_new (Loop *loop, SockAddr addr, const HSrvOps *ops, void *owner);
/* Closes all connections and frees srv. */
void hsrv_free (HSrv *srv);
void hsrv_set_limits (HSrv *srv, const HSrvLimits *limits);
/* From now on every response closes its connection. */
void hsrv_disable_keep_alive (HSrv *srv);
/* Stops listening and closes the idle connections; the others close after their response. */
void hsrv_stop_accepting (HSrv *srv);
unsigned hsrv_active_calls (const HSrv *srv); /* requests being received or answered */
unsigned hsrv_connection_count (const HSrv *srv);
/* Connections refused so far, before anything of a request was read. */
typedef struct
{
  uint64_t full;    /* because all connections were in use */
  uint64_t loaded;  /* because of the load */
  uint64_t evicted; /* idle ones that were closed for new ones; not refused */
} HSrvRefused;
const HSrvRefused *hsrv_refused (const HSrv *srv);
/* Memory used for callers now and at its peak. */
typedef struct
{
  size_t answers; /* bytes of responses that callers have not read or that owners buffer */
  size_t bodies;  /* bytes of request bodies */
  size_t answers_peak, bodies_peak;
  uint64_t full;    /* how often a call became full */
  uint64_t refused; /* requests refused because of the size of all bodies */
} HSrvMemory;
void hsrv_get_memory (const HSrv *srv, HSrvMemory *memory);

const HMsg *hcall_msg (const HCall *call);
const GByteArray *hcall_body (const HCall *call);
int64_t hcall_arrival_time (const HCall *call); /* loop's time of the first byte */
void hcall_set_user (HCall *call, void *user);
void *hcall_user (const HCall *call);

/* Sends a complete response. fields: complete lines, each ended by CR LF, without Content-Length
 * and Connection; may be NULL. */
void hcall_reply (HCall *call, unsigned status, const GString *fields, const void *body,
                  size_t size);
/* Sends the head of a chunked response, whose length is not yet known. */
void hcall_begin (HCall *call, unsigned status, const GString *fields);
/* Sends the head of a response without framing: the end of the connection ends it, in order after
 * hcall_end, and by a reset in any other case. */
void hcall_begin_unframed (HCall *call, unsigned status, const GString *fields);
/* Whether hcall_begin_unframed was called. */
bool hcall_is_unframed (const HCall *call);
void hcall_write (HCall *call, const void *data, size_t size);
/* True if the caller reads more slowly than the response is written: nothing more should be written
 * until the callback drained. */
bool hcall_is_full (HCall *call);
/* True if the responses buffered for all callers are so large that buffers should stay small. */
bool hcall_is_memory_short (const HCall *call);
/* Sets how many bytes of the response the owner buffers itself; they count as buffered for the
 * caller. */
void hcall_set_buffered (HCall *call, size_t size);
/* Completes a response that has begun. */
void hcall_end (HCall *call);
/* Resets the connection, so that the caller does not take the response for complete. */
void hcall_abort (HCall *call);

#endif
