/* mesh.h - connections between the instances of a deployment, with typed messages over TCP. */
#ifndef MESH_H
#define MESH_H

#include "meshmsg.h"
#include "sock.h"

typedef struct Mesh Mesh;

/* A connection to another instance. Owned by the mesh; valid until the callback down returns. */
typedef struct
{
  Mesh *mesh;
  Sock *sock;
  uint32_t ip;       /* the instance's address, which identifies it */
  uint64_t lifetime; /* random number of its process; 0: no hello received yet */
  MeshRole role;
  char domain[64];
  bool leaving;        /* the peer shuts down */
  bool cut_off;        /* the peer reaches no backend server */
  bool knows_origins;  /* the peer knows the messages about the origins of streams */
  bool knows_listed;   /* the peer knows the messages about the versions that were listed lately */
  bool dialled;        /* this instance opened the connection */
  uint64_t document;   /* version of the catalogue in force at the peer */
  int64_t received_at; /* when data was last received */
  int64_t drained_at;  /* all that was received before then has been read */
  int64_t sent_at;     /* when a message was last sent */
  void *user;
} MeshPeer;

typedef struct
{
  void (*up) (void *host, MeshPeer *peer); /* the first hello was received */
  /* A message other than hello and alive. msg is freed after the call. */
  void (*message) (void *host, MeshPeer *peer, const MeshMsg *msg);
  void (*down) (void *host, MeshPeer *peer); /* only after up */
} MeshOps;

/* listen: address of this instance; port: the port on which other instances are dialled. The hello
 * is copied and sent to each peer. Returns NULL with errno set if the address cannot be bound. */
Mesh *mesh_new (Loop *loop, SockAddr listen, uint16_t port, const MeshHello *hello,
                const MeshOps *ops, void *host);
void mesh_free (Mesh *mesh);
/* Changes what this instance announces in its hello, and sends that to the dialled peers on the
 * next tick. */
void mesh_update_hello (Mesh *mesh, bool leaving, bool cut_off, uint64_t document);
/* Opens a connection to the instance and dials again whenever it is lost. */
void mesh_dial (Mesh *mesh, uint32_t ip);
void mesh_undial (Mesh *mesh, uint32_t ip);
/* Opens a connection that is not dialled again when it is lost, unless mesh_dial is called for it
 * later. Returns false if that instance is being dialled or connected already. */
bool mesh_dial_once (Mesh *mesh, uint32_t ip);
/* Closes a connection opened by mesh_dial_once, unless mesh_dial was called for it since. */
void mesh_undial_once (Mesh *mesh, uint32_t ip);
/* Sends msg, or buffers it until the connection accepts it. Returns false if a field of msg exceeds
 * its limit, if the peer has too many unsent bytes or if the connection is closed. */
bool mesh_send (MeshPeer *peer, const MeshMsg *msg);
/* Sends an alive message, the smallest one, unless another message was sent within the last
 * interval microseconds. */
void mesh_keep_alive (MeshPeer *peer, int64_t interval);
/* Packs a message to send to several peers. Returns NULL if a field exceeds its limit. */
GBytes *mesh_pack (const MeshMsg *msg);
/* packed NULL: sends nothing and returns false. */
bool mesh_send_packed (MeshPeer *peer, GBytes *packed);
/* The earliest time at which the message that is handled now may have been received: the loop's
 * time, but after a pause in which this process read nothing, as while it was suspended, that of
 * its beginning. */
int64_t mesh_arrived_at (const MeshPeer *peer);
/* Bytes not yet passed to the kernel, because the peer reads slowly. */
size_t mesh_unsent (const MeshPeer *peer);
/* Calls fn for each peer whose hello was received. */
void mesh_for_each_peer (Mesh *mesh, void (*fn) (MeshPeer *peer, void *data), void *data);
/* Appends the number of messages and of bytes, record marks included, by kind and direction since
 * the start, in the metrics' text format. */
void mesh_append_metrics (const Mesh *mesh, GString *out);
/* Returns the dialled connection to ip if it is up, else NULL. */
MeshPeer *mesh_find_dialled (Mesh *mesh, uint32_t ip);

#endif
