/* srv.c - speed, window and choice of backend servers.
 *
 * Engines batch continuously, know no tiers and admit all they get, so each gets no more streams
 * at once than its window, and the rest waits with us where tiers count. The window follows
 * measured gaps between tokens: above the target it shrinks in proportion, below it grows by one
 * when it was in use (the additive increase and multiplicative decrease of congestion control,
 * Chiu and Jain 1989). Load reports lag by seconds and are not part of it.
 *
 * The choice is by expected finish in milliseconds:
 *
 *   backlog / rate + prompt not cached / rate + expected answer * gap
 *
 * Servers with room are kept in a heap by this cost for a reference request, so one decision looks
 * at the cheapest few and at those that hold part of the prompt, not at all of them.
 *
 * A server that accepts and never answers is told from a slow one by silence: nothing at all came
 * from any of its streams for SILENCE_MS. It gets no more work until something comes, or one probe
 * request at a time after a wait that doubles.
 */
#include "srv.h"

#include <math.h>

/* Tuning; each row with its reason. */
#define WINDOW_START     8.0           /* streams; low enough for the slowest generation's target */
#define WINDOW_LEAST     1.0           /* a slow server still ends what it has */
#define GAP_WEIGHT       0.15          /* of a new sample; about seven samples to follow a step */
#define GROW_BELOW       0.93          /* of the target; keeps room for prompt work */
#define GROW_AFTER       4             /* samples between two increases */
#define DECREASE_EVERY   (250 * FT_MS) /* one decrease must show before the next is decided */
#define DECREASE_MOST    0.5           /* a stall of one sample must not empty a window at once */
#define RATE_START       2.0           /* prompt tokens a ms of the slowest generation */
#define RATE_WEIGHT      0.2
#define BACKLOG_MS       700.0  /* prompt work ahead; a third of the 2 s first-token target */
#define URGENT_MS        1500.0 /* for a request that cannot wait: what two seconds still bear */
#define SILENCE_MS       2500   /* longest stall of a healthy engine is a prompt of about 2 s */
#define PROBE_FIRST      (2 * FT_SECOND)
#define PROBE_MOST       (30 * FT_SECOND)
#define SERVERS_MOST     2048  /* 1,300 replicas in one pool, with room to replace each once */
#define PREFIX_BLOCKS    4096  /* 256k tokens of cache, what an engine keeps for prefixes */
#define REFERENCE_PROMPT 300.0 /* tokens; the median short question */
#define REFERENCE_OUT    150.0
#define CANDIDATES       8 /* holders of a prefix that are compared */

void
srv_set_init (SrvSet *set, const FtPoolConf *conf)
{
  set->all = g_ptr_array_new ();
  set->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  set->room.root = NULL;
  set->prefix = conf->service ? NULL : ft_prefix_new (SERVERS_MOST, PREFIX_BLOCKS);
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
  return srv->state == FT_SERVER_LIVE && !srv->suspect;
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
  return set->service || srv->running == 0 || backlog_ms (srv) <= BACKLOG_MS;
}

/* One more stream slows all of them a little: about one part in 24 + n on the engines measured. */
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

/* Means for estimates, over all servers, taken with each tick: an estimate bears means that are
 * 50 ms old, a decision does not bear looking at 1,300 servers. */
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
recount (SrvSet *set)
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

  srv->window = CLAMP (window, WINDOW_LEAST, (double) set->window_max);
  if (srv_is_usable (srv))
    set->slots += floor (srv->window + 1e-9) - before;
}

static void
forget_speed (SrvSet *set, Srv *srv)
{
  srv->window
      = set->service ? (double) set->window_max : MIN (WINDOW_START, (double) set->window_max);
  srv->gap_ms = 0;
  srv->prefill_rate = RATE_START;
  srv->suspect = false;
  srv->probe_wait = PROBE_FIRST;
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
      if (set->all->len == SERVERS_MOST)
        return NULL;
      srv = g_new0 (Srv, 1);
      srv->name = g_strdup (name);
      srv->index = set->all->len;
      srv->incarnation = incarnation;
      srv->last_progress = now;
      CDS_INIT_LIST_HEAD (&srv->paused);
      g_ptr_array_add (set->all, srv);
      g_hash_table_insert (set->by_name, srv->name, srv);
      forget_speed (set, srv);
    }
  else if (srv->incarnation != incarnation)
    {
      srv->incarnation = incarnation;
      forget_speed (set, srv);
    }
  srv->state = state;
  recount (set);
  srv_refresh (set, srv);
  return srv;
}

Srv *
srv_choose (SrvSet *set, unsigned prompt, double out, const uint64_t *blocks, unsigned count,
            double *cached)
{
  Srv *best = (Srv *) (void *) ft_heap_top (&set->room);
  unsigned holders[CANDIDATES];

  *cached = 0;
  if (best == NULL || set->prefix == NULL || count == 0)
    return best;
  *cached = ft_prefix_match (set->prefix, best->index, blocks, count) * FT_BLOCK_TOKENS;
  double best_cost = srv_cost_ms (set, best, prompt - *cached, out);
  unsigned found = ft_prefix_holders (set->prefix, blocks, count, holders, CANDIDATES);
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
          || (best && cost >= best_cost) || (!set->service && backlog_ms (srv) > URGENT_MS))
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
seen_alive (SrvSet *set, Srv *srv, int64_t now)
{
  srv->last_progress = now;
  if (!srv->suspect)
    return;
  srv->suspect = false;
  srv->probe_wait = PROBE_FIRST;
  srv->window = WINDOW_LEAST;
  recount (set);
}

void
srv_first_token (SrvSet *set, Srv *srv, double prefill, double work, double ms, int64_t now)
{
  seen_alive (set, srv, now);
  srv->backlog = MAX (0, srv->backlog - prefill);
  if (!set->service && work > FT_BLOCK_TOKENS && ms > 1)
    srv->prefill_rate += (CLAMP (work / ms, 0.05, 100.0) - srv->prefill_rate) * RATE_WEIGHT;
  srv_refresh (set, srv);
}

void
srv_gap_sample (SrvSet *set, Srv *srv, double ms, unsigned tokens, int64_t now)
{
  double target = (double) set->target_ms, gap = ms / tokens;

  seen_alive (set, srv, now);
  if (set->service)
    return;
  srv->gap_ms = srv->gap_ms > 0 ? srv->gap_ms + (gap - srv->gap_ms) * GAP_WEIGHT : gap;
  srv->samples_since_change++;
  if (srv->gap_ms > target && now - srv->last_decrease >= DECREASE_EVERY)
    {
      double used = MIN (srv->window, srv->running + 1.0);
      set_window (set, srv, used * MAX (DECREASE_MOST, target * GROW_BELOW / srv->gap_ms));
      srv->last_decrease = now;
      srv->samples_since_change = 0;
    }
  else if (srv->gap_ms < target * GROW_BELOW && srv->running + 1 >= srv->window
           && srv->samples_since_change >= GROW_AFTER)
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
      /* Failure: a server accepts and never answers. Symptom: requests granted to it die at their
       * deadlines, and it looks idle, so it attracts more. One silent stream may be a caller's
       * doing; silence of all of them is the server's. */
      if (!srv->suspect && srv->running > 0 && now - srv->last_progress > SILENCE_MS * FT_MS)
        {
          srv->suspect = true;
          srv->probe_at = now + srv->probe_wait;
          recount (set);
          srv_refresh (set, srv);
        }
      else if (srv->suspect && srv->running == 0 && now >= srv->probe_at)
        {
          srv->suspect = false;
          srv->probe_wait = MIN (srv->probe_wait * 2, PROBE_MOST);
          srv->window = WINDOW_LEAST;
          recount (set);
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
  return set->mean_rate > 0 ? set->mean_rate : RATE_START;
}
