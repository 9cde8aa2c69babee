/* standin.h - the stand-in for tests and the demo: an engine, a plain service or the platform's
 * server list. It exists to exercise the external interfaces of an instance. */
#ifndef STANDIN_H
#define STANDIN_H

#include "http.h"

typedef struct
{
  int port;
  const char *name;
  double step_ms;         /* engine: duration of a step without streams */
  double stream_ms;       /* engine: added to a step by each stream */
  double prefill_rate;    /* engine: prompt tokens per millisecond */
  int cache_blocks;       /* engine: size of the prefix cache, in blocks of FT_BLOCK_BYTES */
  int load_lag_ms;        /* engine: delay of load reports and cache events */
  int gap_every;          /* engine: every gap_every-th cache event is lost; 0: none */
  bool fencing;           /* engine: refuse orders with an old fencing number */
  int delay_ms;           /* service: duration of a call */
  const char *crash_text; /* engine: a prompt with this text makes the process exit; NULL: none */
  const char *file;       /* platform: file with the server list, read again for each request */
} StandinConf;

bool engine_run (const StandinConf *conf, struct _u_instance *http);
bool service_run (const StandinConf *conf, struct _u_instance *http);
bool platform_run (const StandinConf *conf, struct _u_instance *http);

#endif
