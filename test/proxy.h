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

/* What becomes of the connections that come from one client address. No mode tells the backend
 * server anything but a reset of connections that are open. */
typedef enum
{
  PROXY_CUT_NONE,
  PROXY_CUT_SILENT, /* open connections carry nothing and acknowledge nothing; new ones hang */
  PROXY_CUT_RESET,  /* resets open connections; new ones hang */
  PROXY_CUT_RESET_ACCEPT, /* resets open connections, and new ones once they are accepted */
  PROXY_CUT_REFUSE,       /* the same, where the client's connects are not refused on the way */
  PROXY_CUT_NEW,          /* open connections live on; new ones hang */
  PROXY_CUT_ONE_WAY       /* holds back bytes to the client; new ones work */
} ProxyCut;

typedef struct Proxy Proxy;

/* Listens at front and forwards to back. front must be free. */
Proxy *proxy_new (Loop *loop, SockAddr front, SockAddr back);
void proxy_free (Proxy *proxy);
void proxy_set_mode (Proxy *proxy, ProxyMode mode);
/* Resets all open connections; the mode stays. */
void proxy_reset (Proxy *proxy);
/* Cuts the client address (IPv4, host order) off, or heals that. Beside a cut address the mode is
 * PROXY_PASS for the others. */
void proxy_cut (Proxy *proxy, uint32_t client, ProxyCut how);
/* Returns a listening socket to which connects hang. */
int proxy_listen_silently (SockAddr addr);

#endif
