/* relay.h - carries connections of other instances to backend servers that they cannot reach.
 *
 * An instance asks for a tunnel with the method CONNECT of HTTP/1.1 (RFC 9110, section 9.3.6) and
 * the server's address. After a response 200 all bytes are passed on, both ways. Any other status
 * means that nothing was sent to the server:
 *
 *   502  the server refused the connection    503  this instance takes no tunnels now
 *   504  the server did not accept it in time 400  the request is not valid
 */
#ifndef RELAY_H
#define RELAY_H

#include "sock.h"

#define RELAY_CONNECT_TIMEOUT (100 * FT_MS) /* of a connection to a server */

typedef struct Relay Relay;

typedef struct
{
  SockAddr listen;
  uint32_t source; /* local address of connections to servers; 0: the system chooses it */
  unsigned tunnels_max;
  /* Whether this instance itself reaches servers; asked before each tunnel. */
  bool (*is_usable) (void *user);
  /* A connection to a server was established, or failed. */
  void (*connected) (void *user, SockAddr server, bool established);
  void *user;
} RelayConf;

/* Returns NULL with errno set if the address cannot be bound. */
Relay *relay_new (Loop *loop, const RelayConf *conf);
void relay_free (Relay *relay); /* resets all tunnels */
/* Takes no more tunnels; those that are open go on. */
void relay_stop (Relay *relay);
unsigned relay_tunnel_count (const Relay *relay);
/* Tunnels opened and refused so far. */
uint64_t relay_opened_count (const Relay *relay);
uint64_t relay_refused_count (const Relay *relay);

/* Appends the request for a tunnel to the server. */
void relay_write_request (GString *out, SockAddr server);

#endif
