/* proxy.h - a forwarder on loopback whose connections a test can spoil. */
#ifndef PROXY_H
#define PROXY_H

#include "sock.h"

typedef enum
{
  PROXY_PASS,
  PROXY_DELAY,   /* bytes wait for some 10 ms, both ways */
  PROXY_ONE_WAY, /* bytes towards the caller are held */
  PROXY_SILENT,  /* open connections are silent for good, both ways; new ones work */
  PROXY_REFUSE,  /* open connections are reset, new ones too */
  PROXY_MODES
} ProxyMode;

typedef struct Proxy Proxy;

/* Listens at front and forwards to back. NULL: front cannot be bound. */
Proxy *proxy_new (Loop *loop, SockAddr front, SockAddr back);
void proxy_free (Proxy *proxy);
void proxy_mode (Proxy *proxy, ProxyMode mode);
/* Resets all open connections once. */
void proxy_reset (Proxy *proxy);

#endif
