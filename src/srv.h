/* srv.h - what a pool knows of its backend servers; private to srv.c and pool.c. */
#ifndef SRV_H
#define SRV_H

#include "foxtail.h"

typedef struct
{
  FtHeapNode heap; /* by reference cost, while it has room */
  bool in_heap;
  char *name;
  unsigned index;
  uint64_t incarnation;
  FtServerState state;
  bool suspect; /* accepted work and went silent */
  unsigned running;
  double window;       /* most streams at once, learned */
  double gap_ms;       /* between two tokens of one stream, smoothed; 0: none seen */
  double prefill_rate; /* prompt tokens a millisecond, smoothed */
  double backlog;      /* prompt tokens granted whose first token has not come */
  int64_t last_progress, last_decrease, probe_at, probe_wait;
  unsigned samples_since_change; /* gap samples since the window was last changed */
  uint64_t last_event;           /* number of the last cache event */
  struct cds_list_head paused;   /* of Job.link */
  unsigned paused_count;
} Srv;

/* A pool's servers and the order in which they are tried. */
typedef struct
{
  GPtrArray *all; /* Srv, by index */
  GHashTable *by_name;
  FtHeap room;
  FtPrefix *prefix;
  double slots;                     /* sum of the windows of usable servers */
  double mean_gap, mean_rate;       /* over usable servers, 0: none seen */
  unsigned usable, available_count; /* available_count: servers in the heap */
  int64_t target_ms, window_max;
  bool service;
} SrvSet;

void srv_set_init (SrvSet *set, const FtPoolConf *conf);
void srv_set_clear (SrvSet *set);
Srv *srv_find (SrvSet *set, const char *name);
/* Adds or changes; NULL when the set is full. */
Srv *srv_update (SrvSet *set, const char *name, uint64_t incarnation, FtServerState state,
                 int64_t now);
bool srv_is_usable (const Srv *srv);
/* To be called after any change of a server: keeps heap and sums right. */
void srv_refresh (SrvSet *set, Srv *srv);
/* Expected milliseconds to the end of an answer of out tokens whose prompt misses prefill tokens
 * of cache. */
double srv_cost_ms (const SrvSet *set, const Srv *srv, double prefill, double out);
/* The server with room on which the request is expected to end first; NULL: none has room. *cached
 * receives the expected number of prompt tokens that it holds. */
Srv *srv_choose (SrvSet *set, unsigned prompt, double out, const uint64_t *blocks, unsigned count,
                 double *cached);
/* The cheapest server with a free place, however much prompt work is ahead on it; looks at all. */
Srv *srv_choose_urgent (const SrvSet *set, unsigned prompt, double out);
/* A stream started with prefill tokens to compute; ended or went away before or after its first
 * token. */
void srv_stream_started (SrvSet *set, Srv *srv, double prefill, int64_t now);
void srv_stream_ended (SrvSet *set, Srv *srv, double prefill_left);
/* The first token came ms after the grant, with work prompt tokens ahead of it at that time. */
void srv_first_token (SrvSet *set, Srv *srv, double prefill, double work, double ms, int64_t now);
/* tokens came in ms on one stream. */
void srv_gap_sample (SrvSet *set, Srv *srv, double ms, unsigned tokens, int64_t now);
/* Silent servers become suspect, probes fall due. */
void srv_tick (SrvSet *set, int64_t now);
/* Means over usable servers, for estimates. */
double srv_mean_gap_ms (const SrvSet *set);
double srv_mean_rate (const SrvSet *set);

#endif
