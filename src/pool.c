/* pool.c - the scheduler of one pool: who runs next, where, and who is refused.
 *
 * Tiers. Waiting requests of a higher tier are granted before any of a lower one. A request is
 * refused for shortage only when it could not start in time, and only after everything that a
 * lower tier holds was freed for it: lower running streams are paused one by one (their engines
 * resume them later at the same offset; that is the same dispatch). So at each refusal for shortage
 * of tier t, nothing below t runs on a usable server. Lower requests may go on waiting: they hold
 * nothing that t could use, and are granted only when nothing above them waits; docs/DESIGN.md has
 * the figures of refusing them too. A limited queue gives its places to higher tiers. Requests that
 * were admitted and started are never given up by the scheduler: a paused stream is late, but
 * whole.
 *
 * Within a tier, organisations share by start-time fair queueing (Goyal, Vin, Cheng 1996) over
 * expected work in milliseconds of one stream's place, corrected with the true work at the end.
 *
 * Early truth. At its arrival a request's wait is estimated from the work ahead of it and the
 * places of usable servers; one that cannot start in time is refused at once with the time after
 * which the queue is expected to be short enough.
 */
#include "org.h"
#include "srv.h"

#include <string.h>

#define PREFILL_WEIGHT  4.0           /* a ms of prompt work delays every stream of its server */
#define START_MARGIN    (150 * FT_MS) /* messages, connect and one engine step */
#define RETRY_LEAST_MS  1000          /* sooner would meet the same queue */
#define RETRY_MOST_MS   60000
#define LATE_WORK_SHARE 0.5    /* share of the expected answer that must fit when nothing waits */
#define LONG_PROMPT_MS  1000.0 /* a prompt that fills a server for half the first-token target */
#define SPARE_SHARE     0.2 /* of servers with room; 0.1 helps half as much, 0.33 costs goodput */
#define SPARE_FOR       (5 * FT_SECOND) /* after the last request of a higher tier */
#define SAMPLE_LEAST    (40 * FT_MS)    /* shorter gaps measure batching of messages, not engines */

typedef enum
{
  JOB_WAITING,
  JOB_RUNNING,
  JOB_PAUSED
} JobState;

typedef struct
{
  uint32_t entry;
  uint64_t request;
} JobKey;

typedef struct
{
  JobKey key;
  FtHeapNode expiry;              /* waiting: by latest start */
  struct cds_list_head link;      /* waiting: OrgQueue; paused: Srv.paused */
  struct cds_list_head tier_link; /* running: Pool.running[tier], newest first */
  JobState state;
  unsigned tier;
  Org *org;
  char *class_name;
  unsigned prompt, tokens;
  double expected; /* tokens of the answer */
  double charged;  /* work that its organisation is charged with, ms */
  double prefill, work_ahead;
  int64_t asked_at, first_by, due, granted_at, last_progress, latest_start;
  Srv *srv;
  unsigned block_count;
  uint64_t blocks[];
} Job;

typedef struct
{
  FtHeap active; /* OrgQueue with waiting requests, by finish */
  double virtual_time, work, weight;
  unsigned waiting, running, paused;
  int64_t asked_at;              /* when a request of this tier last came */
  struct cds_list_head run_list; /* Job.tier_link, newest first */
} Tier;

struct FtPool
{
  FtPoolConf conf;
  FtClock *clock;
  const FtPoolOps *ops;
  void *host;
  SrvSet servers;
  GHashTable *jobs; /* JobKey -> Job */
  GHashTable *orgs; /* name -> Org */
  FtHeap expiry;
  Tier tiers[FT_TIERS + 1];
  bool held;
  uint64_t decisions, violations;
};

static guint
job_hash (gconstpointer data)
{
  const JobKey *key = data;

  return (guint) ((key->request * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15)) >> 32) ^ key->entry;
}

static gboolean
job_equal (gconstpointer a, gconstpointer b)
{
  const JobKey *x = a, *y = b;

  return x->entry == y->entry && x->request == y->request;
}

FtPool *
ft_pool_new (const FtPoolConf *conf, FtClock *clock, const FtPoolOps *ops, void *host)
{
  FtPool *pool = g_new0 (FtPool, 1);

  pool->conf = *conf;
  pool->clock = clock;
  pool->ops = ops;
  pool->host = host;
  srv_set_init (&pool->servers, conf);
  pool->jobs = g_hash_table_new (job_hash, job_equal);
  pool->orgs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, org_free);
  for (unsigned tier = 0; tier <= FT_TIERS; tier++)
    CDS_INIT_LIST_HEAD (&pool->tiers[tier].run_list);
  return pool;
}

static void
job_free (Job *job)
{
  g_free (job->class_name);
  g_free (job);
}

void
ft_pool_free (FtPool *pool)
{
  GHashTableIter iter;
  void *job;

  if (pool == NULL)
    return;
  g_hash_table_iter_init (&iter, pool->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &job))
    job_free (job);
  g_hash_table_unref (pool->jobs);
  g_hash_table_unref (pool->orgs);
  srv_set_clear (&pool->servers);
  g_free (pool);
}

void
ft_pool_configure (FtPool *pool, const FtPoolConf *conf)
{
  pool->conf = *conf;
  pool->servers.target_ms = conf->inter_token_ms;
  pool->servers.window_max = conf->window;
}

/* ---- Queues ---- */

static void
enqueue (FtPool *pool, Job *job)
{
  Tier *tier = &pool->tiers[job->tier];
  OrgQueue *queue = &job->org->queue[job->tier];

  job->state = JOB_WAITING;
  cds_list_add_tail (&job->link, &queue->waiting);
  if (queue->count++ == 0)
    {
      queue->finish = MAX (queue->finish, tier->virtual_time);
      ft_heap_push (&tier->active, &queue->heap, queue->finish);
      tier->weight += job->org->weight;
    }
  queue->work += job->charged;
  tier->work += job->charged;
  tier->waiting++;
  ft_heap_push (&pool->expiry, &job->expiry, (double) job->latest_start);
}

static void
dequeue (FtPool *pool, Job *job)
{
  Tier *tier = &pool->tiers[job->tier];
  OrgQueue *queue = &job->org->queue[job->tier];

  cds_list_del (&job->link);
  queue->work -= job->charged;
  tier->work -= job->charged;
  tier->waiting--;
  if (--queue->count == 0)
    {
      ft_heap_remove (&tier->active, &queue->heap);
      tier->weight -= job->org->weight;
      queue->work = 0;
    }
  if (tier->waiting == 0)
    tier->work = tier->weight = 0;
  ft_heap_remove (&pool->expiry, &job->expiry);
}

static Job *
next_job (const Tier *tier)
{
  OrgQueue *queue = (OrgQueue *) (void *) ft_heap_top (&tier->active);

  return queue ? cds_list_entry (queue->waiting.next, Job, link) : NULL;
}

static void
charge (FtPool *pool, Job *job)
{
  Tier *tier = &pool->tiers[job->tier];
  OrgQueue *queue = &job->org->queue[job->tier];

  tier->virtual_time = MAX (tier->virtual_time, queue->finish);
  queue->finish += job->charged / job->org->weight;
  if (queue->count == 0)
    return;
  ft_heap_remove (&tier->active, &queue->heap);
  ft_heap_push (&tier->active, &queue->heap, queue->finish);
}

static void
forget (FtPool *pool, Job *job)
{
  g_hash_table_remove (pool->jobs, &job->key);
  job->org->active--;
  job_free (job);
}

/* ---- Running ---- */

static void
run (FtPool *pool, Job *job, Srv *srv, double cached, int64_t now)
{
  Tier *tier = &pool->tiers[job->tier];

  job->state = JOB_RUNNING;
  job->srv = srv;
  job->granted_at = job->last_progress = now;
  job->prefill = MAX (0, job->prompt - cached);
  job->work_ahead = srv->backlog + job->prefill;
  srv_stream_started (&pool->servers, srv, job->prefill, now);
  if (pool->servers.prefix && job->block_count)
    ft_prefix_add (pool->servers.prefix, srv->index, job->blocks, job->block_count);
  cds_list_add (&job->tier_link, &tier->run_list);
  tier->running++;
}

static void
stop_running (FtPool *pool, Job *job)
{
  srv_stream_ended (&pool->servers, job->srv, job->prefill);
  cds_list_del (&job->tier_link);
  pool->tiers[job->tier].running--;
}

/* Both rules of the tiers, checked on every single decision from counts that the decision itself
 * does not use; an operator's alarm and the bench read the result. */
static void
audit_grant (FtPool *pool, unsigned tier)
{
  for (unsigned t = 1; t < tier; t++)
    if (pool->tiers[t].waiting)
      pool->violations++;
}

static void
audit_shortage (FtPool *pool, unsigned tier)
{
  for (unsigned t = tier + 1; t <= FT_TIERS; t++)
    {
      const Job *job;
      if (pool->conf.service)
        continue; /* a service's calls cannot be paused */
      cds_list_for_each_entry (job, &pool->tiers[t].run_list,
                               tier_link) if (srv_is_usable (job->srv))
      {
        pool->violations++;
        break;
      }
    }
}

static void
grant (FtPool *pool, Job *job, Srv *srv, double cached, int64_t now)
{
  FtGrant out = { job->key.entry, job->key.request, srv->name };

  dequeue (pool, job);
  audit_grant (pool, job->tier);
  charge (pool, job);
  run (pool, job, srv, cached, now);
  pool->decisions++;
  pool->ops->grant (pool->host, &out);
}

static void
pause_job (FtPool *pool, Job *job)
{
  FtGrant out = { job->key.entry, job->key.request, job->srv->name };

  stop_running (pool, job);
  job->state = JOB_PAUSED;
  cds_list_add_tail (&job->link, &job->srv->paused);
  job->srv->paused_count++;
  pool->tiers[job->tier].paused++;
  pool->decisions++;
  pool->ops->pause (pool->host, &out);
}

static void
unlink_paused (FtPool *pool, Job *job)
{
  cds_list_del (&job->link);
  job->srv->paused_count--;
  pool->tiers[job->tier].paused--;
}

static void
resume_job (FtPool *pool, Job *job, int64_t now)
{
  FtGrant out = { job->key.entry, job->key.request, job->srv->name };

  unlink_paused (pool, job);
  /* The engine's prefix cache usually still holds the prompt; what it has lost it computes. */
  run (pool, job, job->srv, job->prompt, now);
  pool->decisions++;
  pool->ops->resume (pool->host, &out);
}

static Job *
paused_on (Srv *srv, unsigned tier)
{
  Job *job;

  cds_list_for_each_entry (job, &srv->paused, link) if (job->tier <= tier) return job;
  return NULL;
}

static bool
resume_one (FtPool *pool, unsigned tier, int64_t now)
{
  if (pool->tiers[tier].paused == 0)
    return false;
  for (unsigned i = 0; i < pool->servers.all->len; i++)
    {
      Srv *srv = pool->servers.all->pdata[i];
      /* A server that leaves or is suspect still ends what it started. */
      bool room = srv->in_heap || (!srv_is_usable (srv) && srv->running < srv->window);
      Job *job = srv->paused_count && room ? paused_on (srv, tier) : NULL;
      if (job)
        {
          resume_job (pool, job, now);
          return true;
        }
    }
  return false;
}

/* Failure: long prompts of lower tiers take every server at once. Symptom: a short request of the
 * first tier waits for seconds behind one of them, or a stream is paused for nothing. A long prompt
 * leaves a fifth of the servers to others; it waits no longer than its own latest start. */
static bool
holds_back (const FtPool *pool, const Job *job, int64_t now)
{
  bool expected = false; /* a request that the spare servers are for */

  for (unsigned t = 1; t < job->tier; t++)
    expected |= pool->tiers[t].asked_at && now - pool->tiers[t].asked_at < SPARE_FOR;
  if (pool->conf.service || !expected)
    return false;
  double ms = job->prompt / srv_mean_rate (&pool->servers);
  return ms > LONG_PROMPT_MS && pool->servers.available_count > 0
         && pool->servers.available_count <= pool->servers.usable * SPARE_SHARE;
}

/* Grants until no server has room or nothing waits. */
static void
pump (FtPool *pool, int64_t now)
{
  if (pool->held)
    return;
  for (unsigned t = 1; t <= FT_TIERS; t++)
    for (;;)
      {
        Job *job = next_job (&pool->tiers[t]);
        double cached;

        if (job == NULL)
          {
            if (resume_one (pool, t, now))
              continue;
            break;
          }
        if (holds_back (pool, job, now))
          return;
        Srv *srv = srv_choose (&pool->servers, job->prompt, job->expected, job->blocks,
                               job->block_count, &cached);
        if (srv == NULL)
          return; /* nothing of a lower tier may pass a waiting higher one */
        Job *paused = srv->paused_count ? paused_on (srv, t) : NULL;
        if (paused)
          resume_job (pool, paused, now);
        else
          grant (pool, job, srv, cached, now);
      }
}

/* ---- Refusals ---- */

/* The estimated wait of a waiting request, microseconds; G_MAXINT64 when no server is usable. */
static int64_t
estimate_wait (const FtPool *pool, const Job *job)
{
  const Tier *tier = &pool->tiers[job->tier];
  const OrgQueue *queue = &job->org->queue[job->tier];
  double slots = pool->servers.slots, ahead = 0;

  if (pool->servers.usable == 0 || slots < 1)
    return G_MAXINT64;
  for (unsigned t = 1; t < job->tier; t++)
    ahead += pool->tiers[t].work;
  double fair = queue->work * (tier->weight / job->org->weight);
  ahead += MIN (tier->work, fair) - job->charged;
  return (int64_t) (MAX (0, ahead) / slots * FT_MS);
}

static bool
starts_in_time (const FtPool *pool, const Job *job, int64_t now)
{
  int64_t wait = estimate_wait (pool, job);

  return wait != G_MAXINT64 && now + wait <= job->latest_start;
}

static int64_t
retry_after_ms (const FtPool *pool, const Job *job, int64_t now)
{
  int64_t wait = estimate_wait (pool, job), slack = MAX (0, job->latest_start - now);

  if (wait == G_MAXINT64)
    return 5 * RETRY_LEAST_MS;
  return CLAMP ((wait - slack) / FT_MS, RETRY_LEAST_MS, RETRY_MOST_MS);
}

static void
send_refusal (FtPool *pool, const JobKey *key, unsigned tier, FtReason reason, int64_t retry_ms,
              const char *rule)
{
  FtRefusal out = { key->entry, key->request, reason, tier, retry_ms, "" };

  g_strlcpy (out.rule, rule, sizeof out.rule);
  pool->decisions++;
  pool->ops->refuse (pool->host, &out);
}

static void
refuse_waiting (FtPool *pool, Job *job, FtReason reason, int64_t retry_ms, const char *rule)
{
  /* The analyzer does not see that dequeue takes the job out of the list that callers loop over. */
  JobKey key = job->key; // NOLINT(clang-analyzer-unix.Malloc)
  unsigned tier = job->tier;

  dequeue (pool, job);
  if (ft_reason_info (reason)->shortage)
    audit_shortage (pool, tier);
  if (job->org->limits.tokens_per_minute) /* it used nothing of its allowance */
    org_charge_tokens (job->org, -(job->prompt + job->expected));
  forget (pool, job);
  send_refusal (pool, &key, tier, reason, retry_ms, rule);
}

/* The newest running stream of the lowest tier below tier, on a server whose place can be used. */
static Job *
find_victim (FtPool *pool, unsigned tier)
{
  if (pool->conf.service || pool->held)
    return NULL;
  for (unsigned t = FT_TIERS; t > tier; t--)
    {
      Job *job, *fresh = NULL;
      cds_list_for_each_entry (job, &pool->tiers[t].run_list, tier_link)
      {
        if (!srv_is_usable (job->srv))
          continue;
        if (job->tokens > 0)
          return job;
        if (fresh == NULL)
          fresh = job;
      }
      if (fresh)
        return fresh;
    }
  return NULL;
}

static Job *
best_waiting (FtPool *pool)
{
  for (unsigned t = 1; t <= FT_TIERS; t++)
    if (pool->tiers[t].waiting)
      return next_job (&pool->tiers[t]);
  return NULL;
}

/* A place for a request of tier that cannot wait for one with little prompt work ahead: any place
 * that is free, else one that a lower stream is paused for. NULL: there is none. */
static Srv *
find_place (FtPool *pool, unsigned tier, const Job *job)
{
  Srv *srv = pool->held ? NULL : srv_choose_urgent (&pool->servers, job->prompt, job->expected);
  Job *victim = srv ? NULL : find_victim (pool, tier);

  if (victim == NULL)
    return srv;
  srv = victim->srv;
  pause_job (pool, victim);
  return srv;
}

/* A waiting request cannot start in time. Frees what lower tiers hold; refuses only if that is not
 * enough. */
static void
handle_shortage (FtPool *pool, Job *job, FtReason reason, bool expired, int64_t now)
{
  char rule[128];
  unsigned tier = job->tier;

  for (;;)
    {
      Job *head = best_waiting (pool);
      Srv *srv = find_place (pool, tier, head);
      double cached = 0;

      if (srv == NULL)
        break;
      if (pool->servers.prefix)
        cached = ft_prefix_match (pool->servers.prefix, srv->index, head->blocks, head->block_count)
                 * FT_BLOCK_TOKENS;
      grant (pool, head, srv, cached, now);
      if (head == job || (!expired && starts_in_time (pool, job, now)))
        return;
    }
  if (pool->servers.usable == 0)
    g_snprintf (rule, sizeof rule, "no usable backend server among %u", pool->servers.all->len);
  else
    g_snprintf (rule, sizeof rule, "tier %u: %u waiting, %.0f places, wait about %.1f s", tier,
                pool->tiers[tier].waiting, pool->servers.slots,
                (double) estimate_wait (pool, job) / FT_SECOND);
  if (pool->servers.usable == 0)
    reason = FT_REASON_NO_SERVER;
  refuse_waiting (pool, job, reason, retry_after_ms (pool, job, now), rule);
}

static void
expire (FtPool *pool, int64_t now)
{
  FtHeapNode *top;

  if (pool->held)
    return;
  while ((top = ft_heap_top (&pool->expiry)) != NULL && top->key <= (double) now)
    handle_shortage (pool, cds_list_entry (top, Job, expiry), FT_REASON_SHORTAGE, true, now);
}

/* ---- Asking ---- */

static Org *
find_org (FtPool *pool, const FtPoolRequest *ask, int64_t now)
{
  Org *org = g_hash_table_lookup (pool->orgs, ask->org);

  if (org == NULL)
    {
      org = org_new (ask->org, now);
      g_hash_table_insert (pool->orgs, org->name, org);
    }
  org->limits = ask->limits;
  if (org->active == 0)
    org->weight = MAX (1, ask->weight);
  return org;
}

static Job *
make_job (FtPool *pool, const FtPoolRequest *ask, Org *org, int64_t now)
{
  unsigned blocks = MIN (ask->block_count, FT_BLOCKS_MAX);
  Job *job = g_malloc0 (sizeof (Job) + blocks * sizeof (uint64_t));

  job->key = (JobKey){ ask->entry, ask->request };
  job->tier = CLAMP (ask->tier, 1, FT_TIERS);
  job->org = org;
  job->class_name = g_strdup (ask->class_name);
  job->prompt = ask->prompt_tokens;
  job->expected = pool->conf.service ? 1 : org_expected_tokens (org, ask->class_name);
  if (ask->most_tokens)
    job->expected = MIN (job->expected, ask->most_tokens);
  job->asked_at = now;
  job->first_by = now + ask->first_token_in_us;
  job->due = now + ask->deadline_in_us;
  job->block_count = blocks;
  if (blocks)
    memcpy (job->blocks, ask->blocks, blocks * sizeof (uint64_t));
  double prefill_ms = job->prompt / srv_mean_rate (&pool->servers);
  double answer_ms = job->expected * srv_mean_gap_ms (&pool->servers);
  job->charged = pool->conf.service ? 1 : answer_ms + PREFILL_WEIGHT * prefill_ms;
  if (pool->conf.service)
    prefill_ms = answer_ms = 0;
  int64_t to_first = (int64_t) (prefill_ms * FT_MS) + START_MARGIN;
  int64_t to_end = (int64_t) ((prefill_ms + answer_ms) * FT_MS) + START_MARGIN;
  job->latest_start = MIN (job->first_by - to_first, job->due - to_end);
  /* Failure: a long prompt alone exceeds the first-token target. Symptom: refused as shortage on
   * an idle pool. What counts for the caller then is the deadline of the whole answer. */
  if (job->latest_start < now)
    job->latest_start = MIN (now + START_MARGIN, job->due - to_end);
  return job;
}

/* Even alone on a server it would miss its deadline by far: the caller's deadline is at fault. */
static bool
is_hopeless (const FtPool *pool, const Job *job, int64_t now)
{
  if (pool->conf.service)
    return false;
  double prefill_ms = job->prompt / srv_mean_rate (&pool->servers);
  double answer_ms = job->expected * srv_mean_gap_ms (&pool->servers) * LATE_WORK_SHARE;

  return now + (int64_t) ((prefill_ms * LATE_WORK_SHARE + answer_ms) * FT_MS) > job->due;
}

static void
refuse_new (FtPool *pool, Job *job, FtReason reason, int64_t retry_ms, const char *rule)
{
  JobKey key = job->key;
  unsigned tier = job->tier;

  job_free (job);
  send_refusal (pool, &key, tier, reason, retry_ms, rule);
}

static unsigned
waiting_in_all (const FtPool *pool)
{
  unsigned sum = 0;

  for (unsigned t = 1; t <= FT_TIERS; t++)
    sum += pool->tiers[t].waiting;
  return sum;
}

/* More wait than the queue's limit allows: a lower running stream is paused for the first that
 * waits, or the last of the lowest tier leaves. */
static void
shrink_queue (FtPool *pool, const JobKey *newest, int64_t now)
{
  while (waiting_in_all (pool) > pool->conf.queue)
    {
      unsigned t = FT_TIERS;
      while (pool->tiers[t].waiting == 0)
        t--;
      Job *victim = find_victim (pool, t), *last = next_job (&pool->tiers[t]);
      if (victim)
        {
          Srv *srv = victim->srv;
          pause_job (pool, victim);
          grant (pool, best_waiting (pool), srv, 0, now);
          continue;
        }
      last = cds_list_entry (last->org->queue[t].waiting.prev, Job, link);
      bool own = job_equal (&last->key, newest);
      refuse_waiting (pool, last, own ? FT_REASON_QUEUE_FULL : FT_REASON_SHED_FOR_HIGHER_TIER,
                      retry_after_ms (pool, last, now), "the queue's limit of the catalogue");
    }
}

FtStatus
ft_pool_submit (FtPool *pool, const FtPoolRequest *ask)
{
  int64_t now = ft_clock_now (pool->clock), wait_ms = 0;
  JobKey key = { ask->entry, ask->request };
  char rule[128] = "";

  if (g_hash_table_contains (pool->jobs, &key))
    return FT_CONFLICT; /* asked again after a lost message: the first ask stands */
  Org *org = find_org (pool, ask, now);
  Job *job = make_job (pool, ask, org, now);
  if (is_hopeless (pool, job, now))
    {
      g_snprintf (rule, sizeof rule, "%u prompt tokens and about %.0f of answer by the deadline",
                  job->prompt, job->expected);
      refuse_new (pool, job, FT_REASON_DEADLINE_TOO_SHORT, 0, rule);
      return FT_OK;
    }
  FtReason reason = org_admit (org, job->prompt + job->expected, now, &wait_ms, rule, sizeof rule);
  if (reason != FT_REASON_NONE)
    {
      refuse_new (pool, job, reason, wait_ms, rule);
      return FT_OK;
    }
  g_hash_table_insert (pool->jobs, &job->key, job);
  org->active++;
  pool->tiers[job->tier].asked_at = now;
  enqueue (pool, job);
  pump (pool, now);
  if (!g_hash_table_contains (pool->jobs, &key) || job->state != JOB_WAITING || pool->held)
    return FT_OK;
  if (pool->conf.queue)
    {
      shrink_queue (pool, &key, now);
      if (g_hash_table_lookup (pool->jobs, &key) != job || job->state != JOB_WAITING)
        return FT_OK;
    }
  if (!starts_in_time (pool, job, now) && pool->servers.usable > 0)
    handle_shortage (pool, job, FT_REASON_SHORTAGE, false, now);
  return FT_OK;
}

FtStatus
ft_pool_adopt (FtPool *pool, const FtPoolRequest *ask, const char *server, unsigned tokens,
               bool paused)
{
  int64_t now = ft_clock_now (pool->clock);
  JobKey key = { ask->entry, ask->request };
  Srv *srv = srv_find (&pool->servers, server);

  if (g_hash_table_contains (pool->jobs, &key))
    return FT_CONFLICT;
  if (srv == NULL)
    srv = srv_update (&pool->servers, server, 0, FT_SERVER_GONE, now);
  if (srv == NULL)
    return FT_FULL;
  Org *org = find_org (pool, ask, now);
  Job *job = make_job (pool, ask, org, now);
  g_hash_table_insert (pool->jobs, &job->key, job);
  org->active++;
  run (pool, job, srv, tokens ? job->prompt : 0, now);
  job->tokens = tokens;
  if (paused)
    {
      stop_running (pool, job);
      job->state = JOB_PAUSED;
      cds_list_add_tail (&job->link, &srv->paused);
      srv->paused_count++;
      pool->tiers[job->tier].paused++;
    }
  return FT_OK;
}

/* ---- Events of running requests ---- */

void
ft_pool_progress (FtPool *pool, uint32_t entry, uint64_t request, unsigned tokens)
{
  int64_t now = ft_clock_now (pool->clock);
  JobKey key = { entry, request };
  Job *job = g_hash_table_lookup (pool->jobs, &key);

  if (job == NULL || job->state != JOB_RUNNING || tokens <= job->tokens)
    return;
  if (job->tokens == 0)
    {
      srv_first_token (&pool->servers, job->srv, job->prefill, job->work_ahead,
                       (double) (now - job->granted_at) / FT_MS, now);
      job->prefill = 0;
      job->tokens = tokens;
      job->last_progress = now;
    }
  else if (now - job->last_progress >= SAMPLE_LEAST)
    {
      srv_gap_sample (&pool->servers, job->srv, (double) (now - job->last_progress) / FT_MS,
                      tokens - job->tokens, now);
      job->tokens = tokens;
      job->last_progress = now;
    }
  pump (pool, now);
}

static void
settle (FtPool *pool, Job *job, FtOutcome how, unsigned tokens)
{
  OrgQueue *queue = &job->org->queue[job->tier];

  org_charge_tokens (job->org, (double) tokens - job->expected);
  if (pool->conf.service)
    return;
  double true_work = job->charged + (tokens - job->expected) * srv_mean_gap_ms (&pool->servers);
  queue->finish += (MAX (0, true_work) - job->charged) / job->org->weight;
  if (queue->count)
    {
      Tier *tier = &pool->tiers[job->tier];
      ft_heap_remove (&tier->active, &queue->heap);
      ft_heap_push (&tier->active, &queue->heap, queue->finish);
    }
  if (how == FT_OUTCOME_COMPLETE)
    org_record_answer (job->org, job->class_name, tokens);
}

void
ft_pool_end_request (FtPool *pool, uint32_t entry, uint64_t request, FtOutcome how, unsigned tokens)
{
  int64_t now = ft_clock_now (pool->clock);
  JobKey key = { entry, request };
  Job *job = g_hash_table_lookup (pool->jobs, &key);

  if (job == NULL)
    return;
  if (job->state == JOB_WAITING)
    dequeue (pool, job);
  else if (job->state == JOB_PAUSED)
    unlink_paused (pool, job);
  else
    {
      stop_running (pool, job);
      settle (pool, job, how, tokens);
      if (how == FT_OUTCOME_NOT_CONNECTED)
        {
          job->srv->suspect = true;
          job->srv->probe_at = now + job->srv->probe_wait;
          srv_update (&pool->servers, job->srv->name, job->srv->incarnation, job->srv->state, now);
        }
    }
  forget (pool, job);
  pump (pool, now);
}

void
ft_pool_remove_entry (FtPool *pool, uint32_t entry)
{
  GHashTableIter iter;
  void *data;
  GArray *gone = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  g_hash_table_iter_init (&iter, pool->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    if (((Job *) data)->key.entry == entry)
      g_array_append_val (gone, ((Job *) data)->key.request);
  for (unsigned i = 0; i < gone->len; i++)
    ft_pool_end_request (pool, entry, g_array_index (gone, uint64_t, i), FT_OUTCOME_CANCELLED, 0);
  g_array_unref (gone);
}

/* ---- Servers and time ---- */

FtStatus
ft_pool_update_server (FtPool *pool, const char *name, uint64_t incarnation, FtServerState state)
{
  int64_t now = ft_clock_now (pool->clock);

  if (srv_update (&pool->servers, name, incarnation, state, now) == NULL)
    return FT_FULL;
  pump (pool, now);
  return FT_OK;
}

void
ft_pool_report (FtPool *pool, const char *name, unsigned running, unsigned waiting, int64_t age)
{
  Srv *srv = srv_find (&pool->servers, name);

  /* Reports lag, so they never add room. One use is left: a suspect server that reports an empty
   * queue and nothing running has lost our streams and may be probed at once. */
  if (srv && srv->suspect && running == 0 && waiting == 0 && age < 3 * FT_SECOND)
    srv->probe_at = MIN (srv->probe_at, ft_clock_now (pool->clock) + age);
}

void
ft_pool_cache_event (FtPool *pool, const char *name, uint64_t number, bool stored, uint64_t block)
{
  Srv *srv = srv_find (&pool->servers, name);

  if (srv == NULL || pool->servers.prefix == NULL)
    return;
  if (srv->last_event && number > srv->last_event + 1)
    ft_prefix_note_gap (pool->servers.prefix, srv->index);
  srv->last_event = MAX (srv->last_event, number);
  if (stored)
    ft_prefix_add (pool->servers.prefix, srv->index, &block, 1);
  else
    ft_prefix_remove (pool->servers.prefix, srv->index, block);
}

void
ft_pool_update_org (FtPool *pool, const char *name, unsigned weight, const FtLimits *limits)
{
  Org *org = g_hash_table_lookup (pool->orgs, name);

  if (org == NULL)
    return;
  org->limits = *limits;
  if (org->active == 0)
    org->weight = MAX (1, weight);
  if (limits->concurrent == 0)
    return;
  for (unsigned t = FT_TIERS; t >= 1; t--)
    while (org->queue[t].count && org->active > limits->concurrent)
      {
        Job *newest = cds_list_entry (org->queue[t].waiting.prev, Job, link);
        refuse_waiting (pool, newest, FT_REASON_LIMIT_CONCURRENT, RETRY_LEAST_MS,
                        "the catalogue's limit of requests at once was lowered");
      }
}

void
ft_pool_tick (FtPool *pool)
{
  int64_t now = ft_clock_now (pool->clock);

  srv_tick (&pool->servers, now);
  pump (pool, now);
  expire (pool, now);
}

void
ft_pool_set_held (FtPool *pool, bool held)
{
  pool->held = held;
  if (!held)
    ft_pool_tick (pool);
}

void
ft_pool_stats (const FtPool *pool, FtPoolStats *stats)
{
  memset (stats, 0, sizeof *stats);
  for (unsigned t = 1; t <= FT_TIERS; t++)
    {
      stats->waiting[t] = pool->tiers[t].waiting;
      stats->running[t] = pool->tiers[t].running;
      stats->paused[t] = pool->tiers[t].paused;
    }
  stats->servers = pool->servers.all->len;
  stats->usable = pool->servers.usable;
  stats->window = pool->servers.slots;
  stats->decisions = pool->decisions;
  stats->tier_violations = pool->violations;
  stats->bytes = sizeof *pool + g_hash_table_size (pool->jobs) * (sizeof (Job) + 48)
                 + g_hash_table_size (pool->orgs) * (sizeof (Org) + 160)
                 + pool->servers.all->len * (sizeof (Srv) + 64);
}
