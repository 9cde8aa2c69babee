/* main.c - foxtailstandin: plays an engine, a plain service or the platform's server list, for
 * tests and the demo. */
#include "standin.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

static int
serve (const char *role, const StandinConf *conf)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct _u_instance http;
  sigset_t signals;
  int number;
  bool ready = false;

  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  ulfius_global_init ();
  address.sin_port = htons ((uint16_t) conf->port);
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  if (ulfius_init_instance (&http, (unsigned) conf->port, &address, NULL) != U_OK)
    return 1;
  http.allowed_post_processor = U_POST_PROCESS_NONE;
  if (strcmp (role, "engine") == 0)
    ready = engine_run (conf, &http);
  else if (strcmp (role, "service") == 0)
    ready = service_run (conf, &http);
  else if (strcmp (role, "platform") == 0)
    ready = platform_run (conf, &http);
  if (!ready || ulfius_start_framework (&http) != U_OK)
    {
      fprintf (stderr, "foxtailstandin: %s cannot start on port %d\n", role, conf->port);
      return 1;
    }
  sigwait (&signals, &number);
  return 0; /* open streams are cut off, as when an engine process ends */
}

int
main (int argc, char **argv)
{
  struct arg_str *role = arg_str1 (NULL, NULL, "PART", "engine, service or platform");
  struct arg_int *port = arg_int1 (NULL, "port", "N", "port on 127.0.0.1");
  struct arg_str *name = arg_str0 (NULL, "name", "NAME", "name of the server");
  struct arg_dbl *step = arg_dbl0 (NULL, "step-ms", "MS", "engine: duration of a step, default 8");
  struct arg_dbl *stream
      = arg_dbl0 (NULL, "stream-ms", "MS", "engine: added to a step by each stream, default 0.3");
  struct arg_dbl *prefill
      = arg_dbl0 (NULL, "prefill", "N", "engine: prompt tokens per ms, default 8");
  struct arg_int *cache
      = arg_int0 (NULL, "cache-blocks", "N", "engine: blocks in the prefix cache, default 4096");
  struct arg_int *lag = arg_int0 (NULL, "load-lag-ms", "MS",
                                  "engine: delay of load reports and cache events, default 2000");
  struct arg_int *gap_every
      = arg_int0 (NULL, "gap-every", "N", "engine: lose every Nth cache event");
  struct arg_lit *fencing
      = arg_lit0 (NULL, "fencing", "engine: refuse orders with an old fencing number");
  struct arg_int *delay
      = arg_int0 (NULL, "delay-ms", "MS", "service: duration of a call, default 5");
  struct arg_str *crash_text
      = arg_str0 (NULL, "ends-on", "TEXT", "engine: exit when a prompt contains TEXT");
  struct arg_file *file = arg_file0 (NULL, "file", "FILE", "platform: file with the server list");
  struct arg_end *end = arg_end (8);
  void *table[] = { role, port,      name,    step,  stream,     prefill, cache,
                    lag,  gap_every, fencing, delay, crash_text, file,    end };
  int result = 2;

  step->dval[0] = 8;
  stream->dval[0] = 0.3;
  prefill->dval[0] = 8;
  cache->ival[0] = 4096;
  lag->ival[0] = 2000;
  gap_every->ival[0] = 0;
  delay->ival[0] = 5;
  if (arg_parse (argc, argv, table) != 0)
    {
      arg_print_errors (stderr, end, "foxtailstandin");
      fprintf (stderr, "Usage: foxtailstandin");
      arg_print_syntax (stderr, table, "\n");
      arg_print_glossary (stderr, table, "  %-22s %s\n");
    }
  else
    {
      StandinConf conf = { .port = port->ival[0],
                           .name = name->count ? name->sval[0] : "standin",
                           .step_ms = step->dval[0],
                           .stream_ms = stream->dval[0],
                           .prefill_rate = prefill->dval[0],
                           .cache_blocks = cache->ival[0],
                           .load_lag_ms = lag->ival[0],
                           .gap_every = gap_every->ival[0],
                           .fencing = fencing->count > 0,
                           .delay_ms = delay->ival[0],
                           .crash_text = crash_text->count ? crash_text->sval[0] : NULL,
                           .file = file->count ? file->filename[0] : NULL };
      result = serve (role->sval[0], &conf);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return result;
}
