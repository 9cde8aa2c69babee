/* rawsrv.h - a server that reads a request from a plain TCP connection and sends any bytes. */
#ifndef RAWSRV_H
#define RAWSRV_H

#include "loop.h"
#include "sock.h"

typedef struct RawSrv RawSrv;

/* One connection; freed when it closes, in order or by the caller's end of it. */
typedef struct
{
  LoopTimer timer; /* of the owner, stopped when the connection closes */
  RawSrv *srv;
  Sock *sock;
  bool asked;    /* its request was passed on; another one on the same connection is not read */
  unsigned step; /* of the owner */
} RawConn;

/* Called once a connection: the request's head has arrived, and of its body all, or at least
 * read_bytes of head and body together, if that is not 0. Reading is paused then. */
typedef void (*RawRequest) (RawConn *conn, const char *head);

RawSrv *rawsrv_new (Loop *loop, SockAddr addr, size_t read_bytes, RawRequest request, void *user);
/* Closes the listener and resets all connections. */
void rawsrv_free (RawSrv *srv);
Loop *rawsrv_loop (const RawSrv *srv);
void *rawsrv_user (const RawSrv *srv);
void rawconn_write (RawConn *conn, const char *text);
void rawconn_close (RawConn *conn, bool reset);
void rawconn_close_when_sent (RawConn *conn);
/* Value of a field of the head, free with g_free; "": there is none. */
char *rawsrv_field (const char *head, const char *name);

#endif
