/* standin.h - the three parts that the stand-in can play; it exists to exercise the edges. */
#ifndef STANDIN_H
#define STANDIN_H

#include "http.h"

typedef struct
{
  int port;
  const char *name;
  double step_ms;      /* one engine step with nothing to do */
  double stream_ms;    /* added to a step by each stream */
  double prefill_rate; /* prompt tokens a millisecond */
  int cache_blocks;    /* blocks of FT_BLOCK_BYTES that the prefix cache holds */
  int load_lag_ms;     /* age of load reports and cache events */
  int gap_every;       /* every so many cache events one is lost; 0: none */
  bool fencing;        /* refuse orders with an old fencing number */
  int delay_ms;        /* services: time of one call */
  const char *ends_on; /* engine: a prompt that holds this text ends the process; NULL: none */
  const char *file;    /* platform: the list that is served, read at each request */
} StandinConf;

bool engine_run (const StandinConf *conf, struct _u_instance *http);
bool service_run (const StandinConf *conf, struct _u_instance *http);
bool platform_run (const StandinConf *conf, struct _u_instance *http);

#endif
