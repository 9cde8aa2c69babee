/* sock.h - buffered, non-blocking TCP connections and listeners on an event loop. */
#ifndef SOCK_H
#define SOCK_H

#include "loop.h"

#include <netinet/in.h>

typedef struct
{
  uint32_t ip;   /* IPv4, host order */
  uint16_t port; /* host order */
} SockAddr;

/* Parses "10.0.0.1:80". Returns false if text is not of that form. */
bool sock_addr_parse (const char *text, SockAddr *addr);
/* Writes addr into buffer, which holds SOCK_ADDR_TEXT_SIZE bytes; returns buffer. */
#define SOCK_ADDR_TEXT_SIZE 24
const char *sock_addr_format (SockAddr addr, char *buffer);

typedef enum
{
  SOCK_END_EOF,           /* the peer closed its side */
  SOCK_END_RESET,         /* reset by the peer, or another error of an established connection */
  SOCK_END_TIMED_OUT,     /* the kernel's keep-alive or retransmission time-out expired */
  SOCK_END_REFUSED,       /* connect refused: the machine is up, but nothing listens there */
  SOCK_END_CONNECT_FAILED /* connect failed otherwise; no byte has reached the peer */
} SockEnd;

typedef struct Sock Sock;

/* Callbacks, run in the loop's thread. ended is the last one; the owner then calls sock_close. */
typedef struct
{
  void (*connected) (Sock *sock); /* may be NULL */
  /* Bytes have been received; read them with sock_peek and sock_consume. */
  void (*data) (Sock *sock);
  /* All buffered output has been passed to the kernel; may be NULL. */
  void (*drained) (Sock *sock);
  void (*ended) (Sock *sock, SockEnd how);
} SockOps;

struct Sock
{
  const SockOps *ops;
  LoopFd fd;
  Loop *loop;
  void *owner;
  GByteArray *in, *out;
  size_t in_at, out_at;  /* bytes of the buffer already consumed or sent */
  size_t *unsent_total;  /* sum of the unsent bytes of all sockets that share it; may be NULL */
  size_t unsent_counted; /* unsent bytes of this socket that are included in *unsent_total */
  bool connecting, ended, paused, all_paused, closing;
  bool drained; /* the last read took all that had been received */
  bool failed;  /* a write has failed, and has taken the kernel's report of the reason */
  SockAddr peer;
};

/* Starts to connect. Returns NULL with errno set if that fails at once, for lack of a descriptor or
 * of a route. */
Sock *sock_connect (Loop *loop, SockAddr addr, const SockOps *ops, void *owner);
/* Like sock_connect, with the local address source; 0: the system chooses it. */
Sock *sock_connect_from (Loop *loop, uint32_t source, SockAddr addr, const SockOps *ops,
                         void *owner);
/* Takes over fd, the descriptor of an accepted connection. Returns NULL, with fd closed, if the
 * loop cannot watch it. */
Sock *sock_accepted (Loop *loop, int fd, SockAddr peer, const SockOps *ops, void *owner);
void sock_write (Sock *sock, const void *data, size_t size);
/* Number of bytes written but not yet passed to the kernel. */
size_t sock_unsent (const Sock *sock);
/* True if bytes were written that the peer's kernel has not acknowledged: after the peer's end of
 * the connection, bytes that the peer has not read. */
bool sock_has_unacknowledged (const Sock *sock);
/* True if the connection was reset, also if its orderly end was reported before, or if another call
 * has taken the kernel's report of the reset. */
bool sock_is_reset (const Sock *sock);
/* Received bytes that are not yet consumed. */
const uint8_t *sock_peek (const Sock *sock, size_t *size);
void sock_consume (Sock *sock, size_t size);
/* While paused, nothing is read, so that TCP flow control stops the sender. A close by the peer is
 * still reported at once. */
void sock_pause (Sock *sock, bool paused);
/* Like sock_pause, but an orderly close by the peer is reported only after reading has resumed and
 * all bytes before it have been read. */
void sock_pause_all (Sock *sock, bool all_paused);
/* Whether the kernel ends the connection when the peer leaves data unread or unacknowledged for
 * 2.5 s; at first it does. */
void sock_set_user_timeout (Sock *sock, bool on);
/* Whether a close, also by the end of the process, resets the connection; at first it does not. */
void sock_set_reset_on_close (Sock *sock, bool reset);
/* Adds this socket's unsent bytes to *unsent_total and keeps that sum up to date until the socket
 * is closed. */
void sock_set_unsent_total (Sock *sock, size_t *unsent_total);
/* Closes at once and invalidates sock. reset: sends a TCP reset instead of an orderly close. */
void sock_close (Sock *sock, bool reset);
/* Closes in an orderly way after all output is sent, also if a close resets the connection until
 * then. No callback runs any more. */
void sock_close_when_sent (Sock *sock);

/* A peer that has ended its side in order may still have unread bytes, which the peer's kernel has
 * acknowledged. When such a peer closes the connection, a reset follows. */
#define SOCK_RESET_WAIT (250 * FT_MS) /* for that reset */
#define SOCK_OUTPUT_LONG                                                                           \
  8192 /* bytes; a receiver has more room than this when a connection is new */

typedef struct SockListener SockListener;
typedef void (*SockAccept) (void *owner, int fd, SockAddr peer);
/* Returns NULL with errno set if the address cannot be bound. */
/* Whether sock_listen could bind addr now; false: errno says why not. */
bool sock_can_bind (SockAddr addr);
SockListener *sock_listen (Loop *loop, SockAddr addr, SockAccept accept, void *owner);
/* Resets an accepted connection of which nothing was read. */
void sock_refuse (int fd);
void sock_listener_free (SockListener *listener);

#endif
