/* proxy.h - a TCP forwarder on loopback with which a test injects network faults. */
#ifndef PROXY_H
#define PROXY_H

#include "sock.h"

typedef enum
{
  PROXY_PASS,      /* forwards at once */
  PROXY_DELAY,     /* forwards after 15 ms, both ways */
  PROXY_ONE_WAY,   /* holds back bytes to the client */
  PROXY_BLACKHOLE, /* open connections carry nothing any more, both ways; new ones work */
  PROXY_REFUSE,    /* resets open connections and new ones */
  PROXY_MODE_COUNT
} ProxyMode;

typedef struct Proxy Proxy;

/* Listens at front and forwards to back. front must be free. */
Proxy *proxy_new (Loop *loop, SockAddr front, SockAddr back);
void proxy_free (Proxy *proxy);
void proxy_set_mode (Proxy *proxy, ProxyMode mode);
/* Resets all open connections; the mode stays. */
void proxy_reset (Proxy *proxy);

#endif
