/* sock.h - a buffered TCP connection on a loop. */
#ifndef SOCK_H
#define SOCK_H

#include "loop.h"

#include <netinet/in.h>

typedef struct
{
  uint32_t ip;   /* IPv4, host order */
  uint16_t port; /* host order */
} SockAddr;

/* "10.0.0.1:80". False: not of that form. */
bool sock_addr_parse (const char *text, SockAddr *addr);
/* Into buffer of SOCK_ADDR_TEXT bytes; returns buffer. */
#define SOCK_ADDR_TEXT 24
const char *sock_addr_text (SockAddr addr, char *buffer);

typedef enum
{
  SOCK_END_EOF,     /* the other end closed in good order */
  SOCK_END_RESET,   /* reset, or another failure of the connection */
  SOCK_END_SILENT,  /* the kernel gave it up: the other machine has not been heard for too long */
  SOCK_END_REFUSED, /* it was never established: the machine is there, and nobody listens */
  SOCK_END_CONNECT  /* it was never established: no byte has reached the other end's program */
} SockEnd;

typedef struct Sock Sock;

/* Called in the loop's thread. After ended the owner calls sock_close; nothing else is reported. */
typedef struct
{
  void (*connected) (Sock *sock); /* may be NULL */
  /* Bytes have come; takes what it wants with sock_take. */
  void (*data) (Sock *sock);
  /* Everything written has been handed to the kernel; may be NULL. */
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
  size_t in_at, out_at; /* consumed so far */
  size_t *account;      /* unsent bytes of all sockets that share it; NULL: not counted */
  size_t counted;       /* of this one in account */
  bool connecting, ended, paused, held, closing;
  SockAddr peer;
};

/* Fails with NULL and errno when no descriptor can be had or the address is unreachable. */
Sock *sock_connect (Loop *loop, SockAddr addr, const SockOps *ops, void *owner);
/* fd: an accepted descriptor, taken over. */
Sock *sock_accepted (Loop *loop, int fd, SockAddr peer, const SockOps *ops, void *owner);
void sock_write (Sock *sock, const void *data, size_t size);
/* Bytes not yet handed to the kernel. */
size_t sock_unsent (const Sock *sock);
/* What has come and not been consumed. */
const uint8_t *sock_peek (const Sock *sock, size_t *size);
void sock_consume (Sock *sock, size_t size);
/* While paused no bytes are read, so the sender is held up; its close is still noticed. */
void sock_pause (Sock *sock, bool paused);
/* The same, but a close in good order is noticed only when what came before it has been read. */
void sock_hold (Sock *sock, bool held);
/* From now on *account counts this socket's unsent bytes as well, until it is closed. */
void sock_count_unsent (Sock *sock, size_t *account);
/* Closes at once. reset: the other end is told that it was broken off. sock is invalid after. */
void sock_close (Sock *sock, bool reset);
/* Closes in good order once all is sent; the owner hears nothing more. */
void sock_close_when_sent (Sock *sock);

typedef struct SockListener SockListener;
typedef void (*SockAccept) (void *owner, int fd, SockAddr peer);
/* NULL: the address cannot be bound; errno says why. */
SockListener *sock_listen (Loop *loop, SockAddr addr, SockAccept accept, void *owner);
void sock_listener_free (SockListener *listener);

#endif
