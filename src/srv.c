/* srv.c - measured speed, concurrency window and choice of backend servers.
 *
 * Engines batch continuously, know no tiers and accept everything they are sent. So each gets no
 * more concurrent streams than its window, and other requests wait in the pool's queue, which
 * respects tiers. The window follows the measured gaps between tokens: above the target it shrinks
 * in proportion, below the target it grows by one if it was in use (additive increase and
 * multiplicative decrease as in congestion control, Chiu and Jain 1989). Load reports are not used
 * for it, since they are seconds old.
 *
 * The server with the lowest expected time to the end of the answer is chosen, in milliseconds:
 *
 *   backlog / rate + prompt not cached / rate + expected answer * gap
 *
 * Servers with room are kept in a heap by this cost for a reference request, so a decision compares
 * the cheapest one with those that cache part of the prompt, instead of all servers.
 *
 * A server that accepts requests but never answers differs from a slow one in that none of its
 * streams produces anything for SILENCE_TIMEOUT_MS. It is then unresponsive and gets no requests
 * until one of its streams produces something, or until a probe: a single request after a delay
 * that doubles each time.
 */
#include "srv.h"

#include <math.h>

/* Tuning constants. */

/* streams; low enough for the slowest hardware to meet its target */
#define WINDOW_INITIAL 8.0
/* a slow server still makes progress */
#define WINDOW_MIN 1.0
/* of a new sample; follows a step in about seven samples */
#define GAP_WEIGHT 0.15
/* of the target; leaves a margin for prefill */
#define GROW_BELOW_SHARE 0.93
/* minimum of samples between two increases */
#define GROW_AFTER_SAMPLES 4
/* minimum time between two decreases, so that the effect of the first is seen */
#define DECREASE_INTERVAL (250 * FT_MS)
/* smallest factor of a decrease, so that one stalled sample does not empty the window */
#define DECREASE_FACTOR_MIN 0.5
/* prompt tokens per ms on the slowest hardware */
#define RATE_INITIAL 2.0
#define RATE_WEIGHT  0.2
/* limit of queued prefill; a third of the 2 s target of the first token */
#define BACKLOG_MAX_MS 700.0
/* the same for a request that cannot wait; still meets the 2 s target */
#define URGENT_BACKLOG_MAX_MS 1500.0
/* a healthy engine stalls for at most about 2 s, during a long prefill */
#define SILENCE_TIMEOUT_MS 2500
#define PROBE_WAIT_INITIAL (2 * FT_SECOND)
#define PROBE_WAIT_MAX     (30 * FT_SECOND)
/* 1,300 replicas in one pool and room for replacements */
#define SERVERS_MAX 2048
/* 256k tokens, as much as an engine caches for prefixes */
#define PREFIX_BLOCKS_MAX 4096
/* tokens of prompt and answer; a median short question */
#define REFERENCE_PROMPT 300.0
#define REFERENCE_OUT    150.0
/* servers caching a prefix that are compared */
#define CANDIDATES_MAX 8

void
srv_set_init (SrvSet *set, const FtPoolConf *conf)
{
  set->all = g_ptr_array_new ();
  set->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  set->room.root = NULL;
  set->prefix = conf->service ? NULL : ft_prefix_new (SERVERS_MAX, PREFIX_BLOCKS_MAX);
  set->slots = set->mean_gap = set->mean_rate = 0;
  set->usable = set->available_count = 0;
  set->target_ms = conf->inter_token_ms;
  set->window_max = conf->window;
  set->service = conf->service;
}

void
srv_set_clear (SrvSet *set)
{
  for (unsigned i = 0; i < set->all->len; i++)
    {
      Srv *srv = set->all->pdata[i];
      g_free (srv->name);
      g_free (srv);
    }
  g_ptr_array_unref (set->all);
  g_hash_table_unref (set->by_name);
  ft_prefix_free (set->prefix);
}

Srv *
srv_find (SrvSet *set, const char *name)
{
  return g_hash_table_lookup (set->by_name, name);
}

bool
srv_is_usable (const Srv *srv)
{
  return srv->state == FT_SERVER_LIVE && !srv->unresponsive;
}

static double
backlog_ms (const Srv *srv)
{
  return srv->backlog / srv->prefill_rate;
}

static bool
has_room (const SrvSet *set, const Srv *srv)
{
  if (!srv_is_usable (srv) || srv->running + 1 > srv->window + 1e-9)
    return false;
  return set->service || srv->running == 0 || backlog_ms (srv) <= BACKLOG_MAX_MS;
}

/* Expected gap with one more stream. On the engines measured, it grows by one part in 24 + n for n
 * running streams. */
static double
gap_with_one_more (const SrvSet *set, const Srv *srv)
{
  double gap = srv->gap_ms > 0 ? srv->gap_ms : (double) set->target_ms * 0.6;

  return gap * (25.0 + srv->running) / (24.0 + srv->running);
}

double
srv_cost_ms (const SrvSet *set, const Srv *srv, double prefill, double out)
{
  if (set->service)
    return srv->running / MAX (1.0, srv->window);
  return backlog_ms (srv) + prefill / srv->prefill_rate + out * gap_with_one_more (set, srv);
}

/* Computes the means over all servers. It runs with each tick and not for each decision: means that
 * are 50 ms old are good enough for estimates, and a scan of 1,300 servers per decision is too
 * slow.
 */
static void
refresh_means (SrvSet *set)
{
  double gaps = 0, weight = 0, rates = 0;

  for (unsigned i = 0; i < set->all->len; i++)
    {
      const Srv *srv = set->all->pdata[i];
      if (!srv_is_usable (srv))
        continue;
      rates += srv->prefill_rate;
      if (srv->gap_ms <= 0)
        continue;
      gaps += srv->gap_ms * srv->window;
      weight += srv->window;
    }
  set->mean_gap = weight > 0 ? gaps / weight : 0;
  set->mean_rate = set->usable ? rates / set->usable : 0;
}

static void
recompute_sums (SrvSet *set)
{
  set->slots = 0;
  set->usable = 0;
  for (unsigned i = 0; i < set->all->len; i++)
    {
      const Srv *srv = set->all->pdata[i];
      if (!srv_is_usable (srv))
        continue;
      set->usable++;
      set->slots += floor (srv->window + 1e-9);
    }
  refresh_means (set);
}

void
srv_refresh (SrvSet *set, Srv *srv)
{
  if (srv->in_heap)
    {
      ft_heap_remove (&set->room, &srv->heap);
      set->available_count--;
    }
  srv->in_heap = has_room (set, srv);
  if (srv->in_heap)
    {
      ft_heap_push (&set->room, &srv->heap,
                    srv_cost_ms (set, srv, REFERENCE_PROMPT, REFERENCE_OUT));
      set->available_count++;
    }
}

static void
set_window (SrvSet *set, Srv *srv, double window)
{
  double before = floor (srv->window + 1e-9);

  srv->window = CLAMP (window, WINDOW_MIN, (double) set->window_max);
  if (srv_is_usable (srv))
    set->slots += floor (srv->window + 1e-9) - before;
}

static void
reset_measurements (SrvSet *set, Srv *srv)
{
  srv->window
      = set->service ? (double) set->window_max : MIN (WINDOW_INITIAL, (double) set->window_max);
  srv->gap_ms = 0;
  srv->prefill_rate = RATE_INITIAL;
  srv->unresponsive = false;
  srv->probe_wait = PROBE_WAIT_INITIAL;
  srv->last_event = 0;
  if (set->prefix)
    ft_prefix_clear (set->prefix, srv->index);
}

Srv *
srv_update (SrvSet *set, const char *name, uint64_t incarnation, FtServerState state, int64_t now)
{
  Srv *srv = srv_find (set, name);

  if (srv == NULL)
    {
      if (set->all->len == SERVERS_MAX)
        return NULL;
      srv = g_new0 (Srv, 1);
      srv->name = g_strdup (name);
      srv->index = set->all->len;
      srv->incarnation = incarnation;
      srv->last_progress = now;
      CDS_INIT_LIST_HEAD (&srv->paused);
      g_ptr_array_add (set->all, srv);
      g_hash_table_insert (set->by_name, srv->name, srv);
      reset_measurements (set, srv);
    }
  else if (srv->incarnation != incarnation)
    {
      srv->incarnation = incarnation;
      reset_measurements (set, srv);
    }
  srv->state = state;
  recompute_sums (set);
  srv_refresh (set, srv);
  return srv;
}

Srv *
srv_choose (SrvSet *set, unsigned prompt, double out, const uint64_t *blocks, unsigned count,
            double *cached)
{
  Srv *best = (Srv *) (void *) ft_heap_top (&set->room);
  unsigned holders[CANDIDATES_MAX];

  *cached = 0;
  if (best == NULL || set->prefix == NULL || count == 0)
    return best;
  *cached = ft_prefix_match (set->prefix, best->index, blocks, count) * FT_BLOCK_TOKENS;
  double best_cost = srv_cost_ms (set, best, prompt - *cached, out);
  unsigned found = ft_prefix_holders (set->prefix, blocks, count, holders, CANDIDATES_MAX);
  for (unsigned i = 0; i < found; i++)
    {
      Srv *srv = set->all->pdata[holders[i]];
      if (!has_room (set, srv))
        continue;
      double held = ft_prefix_match (set->prefix, srv->index, blocks, count) * FT_BLOCK_TOKENS;
      double cost = srv_cost_ms (set, srv, prompt - held, out);
      if (cost >= best_cost)
        continue;
      best = srv;
      best_cost = cost;
      *cached = held;
    }
  return best;
}

Srv *
srv_choose_urgent (const SrvSet *set, unsigned prompt, double out)
{
  Srv *best = NULL;
  double best_cost = 0;

  for (unsigned i = 0; i < set->all->len; i++)
    {
      Srv *srv = set->all->pdata[i];
      double cost = srv_cost_ms (set, srv, prompt, out);
      if (!srv_is_usable (srv) || srv->running + 1 > srv->window + 1e-9
          || (best && cost >= best_cost)
          || (!set->service && backlog_ms (srv) > URGENT_BACKLOG_MAX_MS))
        continue;
      best = srv;
      best_cost = cost;
    }
  return best;
}

void
srv_stream_started (SrvSet *set, Srv *srv, double prefill, int64_t now)
{
  if (srv->running++ == 0)
    srv->last_progress = now;
  srv->backlog += prefill;
  srv_refresh (set, srv);
}

void
srv_stream_ended (SrvSet *set, Srv *srv, double prefill_left)
{
  srv->running--;
  srv->backlog = srv->running ? MAX (0, srv->backlog - prefill_left) : 0;
  srv_refresh (set, srv);
}

static void
note_progress (SrvSet *set, Srv *srv, int64_t now)
{
  srv->last_progress = now;
  if (!srv->unresponsive)
    return;
  srv->unresponsive = false;
  srv->probe_wait = PROBE_WAIT_INITIAL;
  srv->window = WINDOW_MIN;
  recompute_sums (set);
}

void
srv_first_token (SrvSet *set, Srv *srv, double prefill, double work, double ms, int64_t now)
{
  note_progress (set, srv, now);
  srv->backlog = MAX (0, srv->backlog - prefill);
  if (!set->service && work > FT_BLOCK_TOKENS && ms > 1)
    srv->prefill_rate += (CLAMP (work / ms, 0.05, 100.0) - srv->prefill_rate) * RATE_WEIGHT;
  srv_refresh (set, srv);
}

void
srv_gap_sample (SrvSet *set, Srv *srv, double ms, unsigned tokens, int64_t now)
{
  double target = (double) set->target_ms, gap = ms / tokens;

  note_progress (set, srv, now);
  if (set->service)
    return;
  srv->gap_ms = srv->gap_ms > 0 ? srv->gap_ms + (gap - srv->gap_ms) * GAP_WEIGHT : gap;
  srv->samples_since_change++;
  if (srv->gap_ms > target && now - srv->last_decrease >= DECREASE_INTERVAL)
    {
      double used = MIN (srv->window, srv->running + 1.0);
      set_window (set, srv,
                  used * MAX (DECREASE_FACTOR_MIN, target * GROW_BELOW_SHARE / srv->gap_ms));
      srv->last_decrease = now;
      srv->samples_since_change = 0;
    }
  else if (srv->gap_ms < target * GROW_BELOW_SHARE && srv->running + 1 >= srv->window
           && srv->samples_since_change >= GROW_AFTER_SAMPLES)
    {
      set_window (set, srv, srv->window + 1);
      srv->samples_since_change = 0;
    }
  srv_refresh (set, srv);
}

void
srv_tick (SrvSet *set, int64_t now)
{
  refresh_means (set);
  for (unsigned i = 0; i < set->all->len; i++)
    {
      Srv *srv = set->all->pdata[i];
      if (srv->state != FT_SERVER_LIVE || set->service)
        continue;
      /* A server that accepts requests but never answers lets them miss their deadlines, and as it
       * looks idle it attracts more. One silent stream may be due to its caller; if all streams
       * are silent, the server is at fault. */
      if (!srv->unresponsive && srv->running > 0
          && now - srv->last_progress > SILENCE_TIMEOUT_MS * FT_MS)
        {
          srv->unresponsive = true;
          srv->probe_at = now + srv->probe_wait;
          recompute_sums (set);
          srv_refresh (set, srv);
        }
      else if (srv->unresponsive && srv->running == 0 && now >= srv->probe_at)
        {
          srv->unresponsive = false;
          srv->probe_wait = MIN (srv->probe_wait * 2, PROBE_WAIT_MAX);
          srv->window = WINDOW_MIN;
          recompute_sums (set);
          srv_refresh (set, srv);
        }
    }
}

double
srv_mean_gap_ms (const SrvSet *set)
{
  return set->mean_gap > 0 ? set->mean_gap : (double) set->target_ms * 0.6;
}

double
srv_mean_rate (const SrvSet *set)
{
  return set->mean_rate > 0 ? set->mean_rate : RATE_INITIAL;
}
