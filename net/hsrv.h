/* hsrv.h - an HTTP/1.1 server on a loop. Requests are handed over whole; answers go out at once,
 * whole or piece by piece.
 *
 * Callers may send and read slowly. What is held for them is bounded: a new request is refused
 * while the bodies held are too many bytes, and an answer that comes faster than its caller reads
 * it is full (hcall_is_full), upon which its owner holds up whoever it comes from. */
#ifndef HSRV_H
#define HSRV_H

#include "hmsg.h"
#include "sock.h"

typedef struct HSrv HSrv;
typedef struct HCall HCall; /* one request and its answer; ends with hcall_reply, _end or _abort */

typedef struct
{
  /* A whole request. It is answered from within or later. */
  void (*request) (void *owner, HCall *call);
  /* The caller has closed its connection before the answer's end. The call ends when this
   * returns. */
  void (*gone) (void *owner, HCall *call);
  /* The caller of a call that was full has read on. May be NULL. */
  void (*room) (void *owner, HCall *call);
} HSrvOps;

typedef struct
{
  size_t head_bytes, body_bytes; /* larger requests get 431 and 413; 0: no bound */
  int64_t head_us;               /* a request's head and body must come within; else 408 */
  int64_t idle_us;               /* an unused connection is closed after */
} HSrvLimits;

/* NULL: the address cannot be bound; errno says why. */
HSrv *hsrv_new (Loop *loop, SockAddr addr, const HSrvOps *ops, void *owner);
/* Connections that are open are closed. */
void hsrv_free (HSrv *srv);
void hsrv_limits (HSrv *srv, const HSrvLimits *limits);
/* From now on each answer is the last on its connection. */
void hsrv_last_answers (HSrv *srv);
/* Takes no more connections and closes those without a request; the others end with their answer.
 */
void hsrv_close_idle (HSrv *srv);
unsigned hsrv_busy (const HSrv *srv); /* requests being read or answered */
unsigned hsrv_connections (const HSrv *srv);
/* Bytes held now: of answers that callers have not read or that their owners hold for them, and of
 * requests' bodies; the most so far of both; and how often a call was full and a body refused. */
typedef struct
{
  size_t answers, bodies, answers_peak, bodies_peak;
  uint64_t full, refused;
} HSrvHeld;
void hsrv_held (const HSrv *srv, HSrvHeld *held);

const HMsg *hcall_msg (const HCall *call);
const GByteArray *hcall_body (const HCall *call);
int64_t hcall_arrived (const HCall *call); /* loop's time of the first byte */
void hcall_set_user (HCall *call, void *user);
void *hcall_user (const HCall *call);

/* fields: complete lines, each ended by CR LF, without length or connection; may be NULL. */
void hcall_reply (HCall *call, unsigned status, const GString *fields, const void *body,
                  size_t size);
void hcall_begin (HCall *call, unsigned status, const GString *fields); /* length unknown yet */
void hcall_data (HCall *call, const void *data, size_t size);
/* The caller reads more slowly than the answer comes: nothing more should be written before room.
 */
bool hcall_is_full (HCall *call);
/* Is so much held for all callers that no more than needed should be? */
bool hcall_is_pressed (const HCall *call);
/* The owner holds so many bytes of the answer, which count as held for the caller. */
void hcall_note_held (HCall *call, size_t size);
void hcall_end (HCall *call);
/* Breaks the connection off, so that the caller cannot take the answer for complete. */
void hcall_abort (HCall *call);

#endif
