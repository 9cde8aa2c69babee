/* callers.c - bounds the connections of callers at an entry, so that one that gets most new
 * connections of its zone goes on serving those that it has taken.
 *
 * A load balancer may hand an entry many times its share. Every further connection takes a
 * descriptor, which are then missing for servers and other instances, and processor time, so that
 * all requests of this entry become late, while others idle. A refused caller goes on at another
 * entry at once. So idle connections make room for new ones, and new ones are refused when all
 * are in use, or while the loop has hardly any time left.
 */
#include "callers.h"
#include "jlog.h"

#include <sys/resource.h>

/* Part of the descriptors for callers: each request may need one for a server too, and links to
 * other instances, probes and relays need a few hundred. */
#define FILES_DIVISOR 2
#define LOG_INTERVAL  (1 * FT_SECOND)

struct Callers
{
  Loop *loop;
  HSrv *srv;
  unsigned connections_max; /* 0: not limited */
  HSrvRefused logged;
  int64_t log_at;
};

static unsigned
connections_max (unsigned files)
{
  struct rlimit limit;

  if (files == 0 && getrlimit (RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
    files = (unsigned) MIN (limit.rlim_cur, G_MAXUINT);
  return files / FILES_DIVISOR;
}

Callers *
callers_new (Loop *loop, SockAddr addr, const HSrvOps *ops, void *owner, unsigned files)
{
  HSrv *srv = hsrv_new (loop, addr, ops, owner);

  if (srv == NULL)
    return NULL;
  Callers *callers = g_new0 (Callers, 1);
  callers->loop = loop;
  callers->srv = srv;
  callers->connections_max = connections_max (files);
  return callers;
}

void
callers_free (Callers *callers)
{
  if (callers == NULL)
    return;
  hsrv_free (callers->srv);
  g_free (callers);
}

HSrv *
callers_server (const Callers *callers)
{
  return callers->srv;
}

void
callers_apply_limits (Callers *callers, const RtLimits *limits)
{
  HSrvLimits out = { .head_bytes = limits->head_bytes,
                     .body_bytes = limits->body_bytes,
                     .head_us = limits->head_us,
                     .idle_us = limits->idle_us,
                     .connections = callers->connections_max,
                     .load = LOOP_LOAD_HIGH };

  hsrv_set_limits (callers->srv, &out);
}

void
callers_tick (Callers *callers)
{
  const HSrvRefused *refused = hsrv_refused (callers->srv), *logged = &callers->logged;
  int64_t now = loop_now (callers->loop);

  if (now < callers->log_at
      || (refused->full == logged->full && refused->loaded == logged->loaded
          && refused->evicted == logged->evicted))
    return;
  jlog (JLOG_INFO, "connections-refused", NULL, JL_INT ("full", refused->full - logged->full),
        JL_INT ("loaded", refused->loaded - logged->loaded),
        JL_INT ("evicted", refused->evicted - logged->evicted),
        JL_INT ("connections", hsrv_connection_count (callers->srv)),
        JL_INT ("most", callers->connections_max),
        JL_INT ("load_percent", loop_load (callers->loop) * 100));
  callers->logged = *refused;
  callers->log_at = now + LOG_INTERVAL;
}

void
callers_describe (const Callers *callers, GString *out)
{
  const HSrvRefused *refused = hsrv_refused (callers->srv);
  HSrvMemory held;

  hsrv_get_memory (callers->srv, &held);
  g_string_append_printf (out,
                          "foxtail_caller_connections %u\nfoxtail_loop_load %.2f\n"
                          "foxtail_connections_refused_total{why=\"full\"} %" G_GUINT64_FORMAT
                          "\nfoxtail_connections_refused_total{why=\"load\"} %" G_GUINT64_FORMAT
                          "\nfoxtail_connections_evicted_total %" G_GUINT64_FORMAT "\n",
                          hsrv_connection_count (callers->srv), loop_load (callers->loop),
                          refused->full, refused->loaded, refused->evicted);
  g_string_append_printf (
      out,
      "foxtail_held_bytes{for=\"callers\"} %zu\nfoxtail_held_bytes{for=\"bodies\"} %zu\n"
      "foxtail_held_bytes_peak{for=\"callers\"} %zu\nfoxtail_held_bytes_peak{for=\"bodies\"} %zu\n"
      "foxtail_slow_callers_total %" G_GUINT64_FORMAT
      "\nfoxtail_bodies_refused_total %" G_GUINT64_FORMAT "\n",
      held.answers, held.bodies, held.answers_peak, held.bodies_peak, held.full, held.refused);
}
