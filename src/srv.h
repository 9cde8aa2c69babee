/* srv.h - a pool's records of its backend servers; private to srv.c and pool.c. */
#ifndef SRV_H
#define SRV_H

#include "foxtail.h"

typedef struct
{
  FtHeapNode heap; /* in SrvSet.room by the cost of a reference request, while it has room */
  bool in_heap;
  char *name;
  unsigned index; /* in SrvSet.all and in the prefix index */
  uint64_t incarnation;
  FtServerState state;
  /* silent, or refused a connection: gets no requests until it recovers or is probed */
  bool unresponsive;
  unsigned running;    /* streams */
  double window;       /* learned limit of concurrent streams */
  double gap_ms;       /* moving average between two tokens of a stream; 0: no sample */
  double prefill_rate; /* prompt tokens per millisecond, moving average */
  double backlog;      /* prompt tokens to compute of streams without a first token */
  int64_t last_progress, last_decrease, probe_at, probe_wait;
  unsigned samples_since_change; /* gap samples since the window last changed */
  uint64_t last_event;           /* sequence number of the newest cache event */
  struct cds_list_head paused;   /* of Job.link */
  unsigned paused_count;
} Srv;

/* All servers of a pool. */
typedef struct
{
  GPtrArray *all; /* Srv, by index */
  GHashTable *by_name;
  FtHeap room; /* servers that have room for a request, cheapest first */
  FtPrefix *prefix;
  double slots;                     /* sum of the windows of usable servers */
  double mean_gap, mean_rate;       /* over usable servers; 0: no sample */
  unsigned usable, available_count; /* available_count: servers in room */
  int64_t target_ms, window_max;
  bool service;
} SrvSet;

void srv_set_init (SrvSet *set, const FtPoolConf *conf);
void srv_set_clear (SrvSet *set);
Srv *srv_find (SrvSet *set, const char *name);
/* Adds a server or changes its state; NULL if the set is full. */
Srv *srv_update (SrvSet *set, const char *name, uint64_t incarnation, FtServerState state,
                 int64_t now);
/* True if the server may get new requests. */
bool srv_is_usable (const Srv *srv);
/* Updates the server's position in the heap; call it after each change of a server. */
void srv_refresh (SrvSet *set, Srv *srv);
/* Expected milliseconds until the end of an answer of out tokens, with prefill prompt tokens that
 * are not cached. */
double srv_cost_ms (const SrvSet *set, const Srv *srv, double prefill, double out);
/* The server with room on which the request is expected to end first, or NULL if none has room.
 * *cached receives the expected number of cached prompt tokens. */
Srv *srv_choose (SrvSet *set, unsigned prompt, double out, const uint64_t *blocks, unsigned count,
                 double *cached);
/* For a request that cannot wait: the cheapest server with a free place, with a higher limit on the
 * prompt work queued there. Scans all servers. */
Srv *srv_choose_urgent (const SrvSet *set, unsigned prompt, double out);
/* A stream started with prefill prompt tokens to compute; a stream stopped, prefill_left of them
 * not yet computed. */
void srv_stream_started (SrvSet *set, Srv *srv, double prefill, int64_t now);
void srv_stream_ended (SrvSet *set, Srv *srv, double prefill_left);
/* The first token came ms after the grant; at the grant, work prompt tokens were to be computed
 * before it, its own prefill tokens included. */
void srv_first_token (SrvSet *set, Srv *srv, double prefill, double work, double ms, int64_t now);
/* One stream produced tokens in ms. */
void srv_gap_sample (SrvSet *set, Srv *srv, double ms, unsigned tokens, int64_t now);
/* Detects silent servers and starts due probes. */
void srv_tick (SrvSet *set, int64_t now);
/* Means over usable servers, or defaults without samples; for estimates. */
double srv_mean_gap_ms (const SrvSet *set);
double srv_mean_rate (const SrvSet *set);

#endif
