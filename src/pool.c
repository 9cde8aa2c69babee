/* pool.c - the scheduler of one pool: which request runs next and where, and which is refused.
 *
 * A grant tells the entry of a request to dispatch it to a given server.
 *
 * Tiers: tier 1 is the highest. Waiting requests of a higher tier are granted before those of a
 * lower one. A request is refused for shortage only if it cannot start in time even with every
 * running stream of the lower tiers paused; streams are paused one at a time, as needed. (The
 * engine resumes a paused stream at the same offset; it is not dispatched again.) So whenever a
 * request of tier t is refused for shortage, no stream of a lower tier runs on a usable server.
 * Requests of lower tiers may keep waiting: they use no capacity, and are granted only when no
 * request of a higher tier waits. docs/DESIGN.md has measurements of the alternative, refusing
 * these as well. If the queue length is limited, higher tiers take precedence in the queue. The
 * scheduler never aborts a request that has started: a paused stream ends later, but complete.
 *
 * Within a tier, organisations share by start-time fair queueing (Goyal, Vin, Cheng 1996). Work
 * is measured in milliseconds of one stream slot. An organisation is charged the expected work of a
 * request at its grant; the charge is corrected to the actual work when the request ends.
 *
 * Early refusal: when a request arrives, its wait is estimated from the work queued ahead of it and
 * the stream slots of usable servers. If it cannot start in time, it is refused at once, and
 * Retry-After gives the time after which the queue should be short enough.
 */
#include "org.h"
#include "srv.h"

#include <string.h>

/* work charged per ms of prefill: above 1, because prefill delays every stream of the server */
#define PREFILL_COST_FACTOR 4.0
/* time allowed for messages, the connect and one engine step */
#define START_MARGIN (150 * FT_MS)
/* an earlier retry would meet the same queue */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 60000
/* a request is refused if its deadline allows less than this fraction of its expected time on an
 * idle server */
#define DEADLINE_FRACTION_MIN 0.5
/* a prompt with a longer prefill is long; half of a typical first-token target */
#define LONG_PROMPT_MS 1000.0
/* fraction of the usable servers that is kept free of long prompts; 0.1 has half the effect, 0.33
 * reduces goodput */
#define SPARE_SERVERS_FRACTION 0.2
/* how long they are kept free after the latest arrival of a request of a higher tier */
#define SPARE_AFTER_ARRIVAL (5 * FT_SECOND)
/* shorter intervals between progress messages measure their batching, not the engine */
#define GAP_SAMPLE_MIN (40 * FT_MS)

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
  FtHeapNode expiry;              /* waiting: in FtPool.expiry by latest_start */
  struct cds_list_head link;      /* waiting: in OrgQueue.waiting; paused: in Srv.paused */
  struct cds_list_head tier_link; /* running: in Tier.run_list */
  JobState state;
  unsigned tier;
  Org *org;
  char *class_name;
  unsigned prompt_tokens;
  unsigned answer_tokens; /* produced so far */
  double expected_tokens; /* expected length of the answer */
  double charged_work;    /* work charged to the organisation, ms */
  double prefill_tokens;  /* prompt tokens to compute; 0 after the first token */
  double queued_prefill;  /* prompt tokens to compute on the server at the grant, with this job's */
  int64_t arrived_at, first_token_due, deadline, granted_at, last_progress, latest_start;
  Srv *srv;
  unsigned block_count;
  uint64_t blocks[];
} Job;

typedef struct
{
  FtHeap active; /* OrgQueues with waiting requests, by virtual start time of the next one */
  double virtual_time;
  double work;   /* of the waiting requests, ms */
  double weight; /* sum over the organisations with waiting requests */
  unsigned waiting, running, paused;
  int64_t last_arrival;          /* arrival of the last request of this tier */
  struct cds_list_head run_list; /* Job.tier_link, most recently started or resumed first */
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
  /* while a new scheduler collects running requests: nothing is granted, paused or expired */
  bool held;
  uint64_t decisions, tier_violations;
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
  queue->work += job->charged_work;
  tier->work += job->charged_work;
  tier->waiting++;
  ft_heap_push (&pool->expiry, &job->expiry, (double) job->latest_start);
}

static void
dequeue (FtPool *pool, Job *job)
{
  Tier *tier = &pool->tiers[job->tier];
  OrgQueue *queue = &job->org->queue[job->tier];

  cds_list_del (&job->link);
  queue->work -= job->charged_work;
  tier->work -= job->charged_work;
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
charge_org (FtPool *pool, Job *job)
{
  Tier *tier = &pool->tiers[job->tier];
  OrgQueue *queue = &job->org->queue[job->tier];

  tier->virtual_time = MAX (tier->virtual_time, queue->finish);
  queue->finish += job->charged_work / job->org->weight;
  if (queue->count == 0)
    return;
  ft_heap_remove (&tier->active, &queue->heap);
  ft_heap_push (&tier->active, &queue->heap, queue->finish);
}

static void
remove_job (FtPool *pool, Job *job)
{
  g_hash_table_remove (pool->jobs, &job->key);
  job->org->active--;
  job_free (job);
}

/* ---- Running ---- */

static void
start_running (FtPool *pool, Job *job, Srv *srv, double cached, int64_t now)
{
  Tier *tier = &pool->tiers[job->tier];

  job->state = JOB_RUNNING;
  job->srv = srv;
  job->granted_at = job->last_progress = now;
  job->prefill_tokens = MAX (0, job->prompt_tokens - cached);
  job->queued_prefill = srv->backlog + job->prefill_tokens;
  srv_stream_started (&pool->servers, srv, job->prefill_tokens, now);
  if (pool->servers.prefix && job->block_count)
    ft_prefix_add (pool->servers.prefix, srv->index, job->blocks, job->block_count);
  cds_list_add (&job->tier_link, &tier->run_list);
  tier->running++;
}

static void
stop_running (FtPool *pool, Job *job)
{
  srv_stream_ended (&pool->servers, job->srv, job->prefill_tokens);
  cds_list_del (&job->tier_link);
  pool->tiers[job->tier].running--;
}

/* Checks the two tier rules at the top of this file on every grant and every refusal for shortage.
 * Violations are counted for the benchmark and for an operator alarm. */
static void
audit_grant (FtPool *pool, unsigned tier)
{
  for (unsigned t = 1; t < tier; t++)
    if (pool->tiers[t].waiting)
      pool->tier_violations++;
}

static void
audit_shortage (FtPool *pool, unsigned tier)
{
  for (unsigned t = tier + 1; t <= FT_TIERS; t++)
    {
      const Job *job;
      if (pool->conf.service)
        continue; /* calls of a service cannot be paused */
      cds_list_for_each_entry (job, &pool->tiers[t].run_list,
                               tier_link) if (srv_is_usable (job->srv))
      {
        pool->tier_violations++;
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
  charge_org (pool, job);
  start_running (pool, job, srv, cached, now);
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
  /* The engine's prefix cache usually still has the prompt, so no prefill is counted. */
  start_running (pool, job, job->srv, job->prompt_tokens, now);
  pool->decisions++;
  pool->ops->resume (pool->host, &out);
}

static Job *
first_paused_at_or_above (Srv *srv, unsigned tier)
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
      /* A leaving or unresponsive server may still finish its paused streams. */
      bool room = srv->in_heap || (!srv_is_usable (srv) && srv->running < srv->window);
      Job *job = srv->paused_count && room ? first_paused_at_or_above (srv, tier) : NULL;
      if (job)
        {
          resume_job (pool, job, now);
          return true;
        }
    }
  return false;
}

/* If long prompts of lower tiers occupied all servers, a short request of a higher tier would wait
 * seconds for a prefill to end, or a stream would have to be paused. So a long prompt waits while
 * at most SPARE_SERVERS_FRACTION of the usable servers have room, until its latest start at most.
 */
static bool
must_defer_long_prompt (const FtPool *pool, const Job *job, int64_t now)
{
  bool higher_tier_active = false; /* a request of a higher tier arrived recently */

  for (unsigned t = 1; t < job->tier; t++)
    higher_tier_active
        |= pool->tiers[t].last_arrival && now - pool->tiers[t].last_arrival < SPARE_AFTER_ARRIVAL;
  if (pool->conf.service || !higher_tier_active)
    return false;
  double ms = job->prompt_tokens / srv_mean_rate (&pool->servers);
  return ms > LONG_PROMPT_MS && pool->servers.available_count > 0
         && pool->servers.available_count <= pool->servers.usable * SPARE_SERVERS_FRACTION;
}

/* Grants waiting requests and resumes paused streams, highest tier first, until no server has room,
 * nothing is left, or the next request must wait. */
static void
grant_waiting (FtPool *pool, int64_t now)
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
        if (must_defer_long_prompt (pool, job, now))
          return;
        Srv *srv = srv_choose (&pool->servers, job->prompt_tokens, job->expected_tokens,
                               job->blocks, job->block_count, &cached);
        if (srv == NULL)
          return; /* a lower tier must not overtake a waiting higher one */
        Job *paused = srv->paused_count ? first_paused_at_or_above (srv, t) : NULL;
        if (paused)
          resume_job (pool, paused, now);
        else
          grant (pool, job, srv, cached, now);
      }
}

/* ---- Refusals ---- */

/* Estimated wait of a waiting request; G_MAXINT64 if no server is usable. */
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
  /* the work that the tier does under fair queueing until the queue of this organisation is empty
   */
  double fair = queue->work * (tier->weight / job->org->weight);
  ahead += MIN (tier->work, fair) - job->charged_work;
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
    return 5 * RETRY_MIN_MS; /* no server is usable, so there is no estimate */
  return CLAMP ((wait - slack) / FT_MS, RETRY_MIN_MS, RETRY_MAX_MS);
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
  /* A false positive: the analyzer does not see that dequeue removes the job from the list that
   * the caller iterates. */
  JobKey key = job->key; // NOLINT(clang-analyzer-unix.Malloc)
  unsigned tier = job->tier;

  dequeue (pool, job);
  if (ft_reason_info (reason)->shortage)
    audit_shortage (pool, tier);
  if (job->org->limits.tokens_per_minute) /* it did not run: refund the charge */
    org_charge_tokens (job->org, -(job->prompt_tokens + job->expected_tokens));
  remove_job (pool, job);
  send_refusal (pool, &key, tier, reason, retry_ms, rule);
}

/* Chooses the running stream to pause for a request of this tier. Only streams of lower tiers on
 * usable servers qualify. Takes the lowest such tier, and in it the most recently started stream
 * that has produced a token, else the most recently started one. */
static Job *
find_victim (FtPool *pool, unsigned tier)
{
  if (pool->conf.service || pool->held)
    return NULL;
  for (unsigned t = FT_TIERS; t > tier; t--)
    {
      Job *job, *newest_without_token = NULL;
      cds_list_for_each_entry (job, &pool->tiers[t].run_list, tier_link)
      {
        if (!srv_is_usable (job->srv))
          continue;
        if (job->answer_tokens > 0)
          return job;
        if (newest_without_token == NULL)
          newest_without_token = job;
      }
      if (newest_without_token)
        return newest_without_token;
    }
  return NULL;
}

static Job *
first_waiting (FtPool *pool)
{
  for (unsigned t = 1; t <= FT_TIERS; t++)
    if (pool->tiers[t].waiting)
      return next_job (&pool->tiers[t]);
  return NULL;
}

/* Finds a free slot for a request that must start now, even on a server with much queued prefill.
 * If there is none, pauses a stream of a tier lower than tier. NULL if neither is possible. */
static Srv *
find_slot (FtPool *pool, unsigned tier, const Job *job)
{
  Srv *srv = pool->held
                 ? NULL
                 : srv_choose_urgent (&pool->servers, job->prompt_tokens, job->expected_tokens);
  Job *victim = srv ? NULL : find_victim (pool, tier);

  if (victim == NULL)
    return srv;
  srv = victim->srv;
  pause_job (pool, victim);
  return srv;
}

/* Handles a waiting request that cannot start in time: pauses streams of lower tiers and
 * grants waiting requests, those of the highest tier first, until this one is granted or would
 * start in time. Refuses it if that is not enough. */
static void
handle_shortage (FtPool *pool, Job *job, FtReason reason, bool start_overdue, int64_t now)
{
  char rule[128];
  unsigned tier = job->tier;

  for (;;)
    {
      Job *head = first_waiting (pool);
      Srv *srv = find_slot (pool, tier, head);
      double cached = 0;

      if (srv == NULL)
        break;
      if (pool->servers.prefix)
        cached = ft_prefix_match (pool->servers.prefix, srv->index, head->blocks, head->block_count)
                 * FT_BLOCK_TOKENS;
      grant (pool, head, srv, cached, now);
      if (head == job || (!start_overdue && starts_in_time (pool, job, now)))
        return;
    }
  if (pool->servers.usable == 0)
    g_snprintf (rule, sizeof rule, "none of %u backend servers is usable", pool->servers.all->len);
  else
    g_snprintf (rule, sizeof rule, "tier %u: %u waiting, %.0f stream slots, estimated wait %.1f s",
                tier, pool->tiers[tier].waiting, pool->servers.slots,
                (double) estimate_wait (pool, job) / FT_SECOND);
  if (pool->servers.usable == 0)
    reason = FT_REASON_NO_SERVER;
  refuse_waiting (pool, job, reason, retry_after_ms (pool, job, now), rule);
}

static void
expire_waiting (FtPool *pool, int64_t now)
{
  FtHeapNode *top;

  if (pool->held)
    return;
  while ((top = ft_heap_top (&pool->expiry)) != NULL && top->key <= (double) now)
    handle_shortage (pool, cds_list_entry (top, Job, expiry), FT_REASON_SHORTAGE, true, now);
}

/* ---- Arrival ---- */

static Org *
find_org (FtPool *pool, const FtPoolRequest *req, int64_t now)
{
  Org *org = g_hash_table_lookup (pool->orgs, req->org);

  if (org == NULL)
    {
      org = org_new (req->org, now);
      g_hash_table_insert (pool->orgs, org->name, org);
    }
  org->limits = req->limits;
  if (org->active == 0)
    org->weight = MAX (1, req->weight);
  return org;
}

static Job *
make_job (FtPool *pool, const FtPoolRequest *req, Org *org, int64_t now)
{
  unsigned blocks = MIN (req->block_count, FT_BLOCKS_MAX);
  Job *job = g_malloc0 (sizeof (Job) + blocks * sizeof (uint64_t));

  job->key = (JobKey){ req->entry, req->request };
  job->tier = CLAMP (req->tier, 1, FT_TIERS);
  job->org = org;
  job->class_name = g_strdup (req->class_name);
  job->prompt_tokens = req->prompt_tokens;
  job->expected_tokens = pool->conf.service ? 1 : org_expected_tokens (org, req->class_name);
  if (req->most_tokens)
    job->expected_tokens = MIN (job->expected_tokens, req->most_tokens);
  job->arrived_at = now;
  job->first_token_due = now + req->first_token_in_us;
  job->deadline = now + req->deadline_in_us;
  job->block_count = blocks;
  if (blocks)
    memcpy (job->blocks, req->blocks, blocks * sizeof (uint64_t));
  double prefill_ms = job->prompt_tokens / srv_mean_rate (&pool->servers);
  double answer_ms = job->expected_tokens * srv_mean_gap_ms (&pool->servers);
  job->charged_work = pool->conf.service ? 1 : answer_ms + PREFILL_COST_FACTOR * prefill_ms;
  if (pool->conf.service)
    prefill_ms = answer_ms = 0;
  int64_t time_to_first_token = (int64_t) (prefill_ms * FT_MS) + START_MARGIN;
  int64_t time_to_end = (int64_t) ((prefill_ms + answer_ms) * FT_MS) + START_MARGIN;
  job->latest_start = MIN (job->first_token_due - time_to_first_token, job->deadline - time_to_end);
  /* The prefill of a long prompt alone may take longer than the first-token target allows. Such a
   * request would be refused even by an idle pool, so the target is ignored: it must start within
   * START_MARGIN and meet the deadline of the complete answer. */
  if (job->latest_start < now)
    job->latest_start = MIN (now + START_MARGIN, job->deadline - time_to_end);
  return job;
}

/* True if even on an idle server the request would need far longer than its deadline allows. */
static bool
cannot_meet_deadline (const FtPool *pool, const Job *job, int64_t now)
{
  if (pool->conf.service)
    return false;
  double prefill_ms = job->prompt_tokens / srv_mean_rate (&pool->servers);
  double answer_ms
      = job->expected_tokens * srv_mean_gap_ms (&pool->servers) * DEADLINE_FRACTION_MIN;

  return now + (int64_t) ((prefill_ms * DEADLINE_FRACTION_MIN + answer_ms) * FT_MS) > job->deadline;
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
total_waiting (const FtPool *pool)
{
  unsigned sum = 0;

  for (unsigned t = 1; t <= FT_TIERS; t++)
    sum += pool->tiers[t].waiting;
  return sum;
}

/* While the queue is too long, pauses a running stream of a tier lower than all waiting ones and
 * grants the first waiting request. Without such a stream, refuses the last request of the lowest
 * waiting tier. */
static void
enforce_queue_limit (FtPool *pool, const JobKey *newest, int64_t now)
{
  while (total_waiting (pool) > pool->conf.queue)
    {
      unsigned t = FT_TIERS;
      while (pool->tiers[t].waiting == 0)
        t--;
      Job *victim = find_victim (pool, t), *last = next_job (&pool->tiers[t]);
      if (victim)
        {
          Srv *srv = victim->srv;
          pause_job (pool, victim);
          grant (pool, first_waiting (pool), srv, 0, now);
          continue;
        }
      last = cds_list_entry (last->org->queue[t].waiting.prev, Job, link);
      bool is_newest = job_equal (&last->key, newest);
      refuse_waiting (pool, last, is_newest ? FT_REASON_QUEUE_FULL : FT_REASON_SHED_FOR_HIGHER_TIER,
                      retry_after_ms (pool, last, now), "the pool's limit of waiting requests");
    }
}

FtStatus
ft_pool_submit (FtPool *pool, const FtPoolRequest *req)
{
  int64_t now = ft_clock_now (pool->clock), wait_ms = 0;
  JobKey key = { req->entry, req->request };
  char rule[128] = "";

  if (g_hash_table_contains (pool->jobs, &key))
    return FT_CONFLICT; /* sent again after a lost message: the first submission is kept */
  Org *org = find_org (pool, req, now);
  Job *job = make_job (pool, req, org, now);
  if (cannot_meet_deadline (pool, job, now))
    {
      g_snprintf (
          rule, sizeof rule,
          "%u prompt tokens and about %.0f answer tokens cannot be processed before the deadline",
          job->prompt_tokens, job->expected_tokens);
      refuse_new (pool, job, FT_REASON_DEADLINE_TOO_SHORT, 0, rule);
      return FT_OK;
    }
  FtReason reason = org_admit (org, job->prompt_tokens + job->expected_tokens, now, &wait_ms, rule,
                               sizeof rule);
  if (reason != FT_REASON_NONE)
    {
      refuse_new (pool, job, reason, wait_ms, rule);
      return FT_OK;
    }
  g_hash_table_insert (pool->jobs, &job->key, job);
  org->active++;
  pool->tiers[job->tier].last_arrival = now;
  enqueue (pool, job);
  grant_waiting (pool, now);
  if (!g_hash_table_contains (pool->jobs, &key) || job->state != JOB_WAITING || pool->held)
    return FT_OK;
  if (pool->conf.queue)
    {
      enforce_queue_limit (pool, &key, now);
      if (g_hash_table_lookup (pool->jobs, &key) != job || job->state != JOB_WAITING)
        return FT_OK;
    }
  if (!starts_in_time (pool, job, now) && pool->servers.usable > 0)
    handle_shortage (pool, job, FT_REASON_SHORTAGE, false, now);
  return FT_OK;
}

FtStatus
ft_pool_adopt (FtPool *pool, const FtPoolRequest *req, const char *server, unsigned tokens,
               bool paused)
{
  int64_t now = ft_clock_now (pool->clock);
  JobKey key = { req->entry, req->request };
  Srv *srv = srv_find (&pool->servers, server);

  if (g_hash_table_contains (pool->jobs, &key))
    return FT_CONFLICT;
  if (srv == NULL)
    srv = srv_update (&pool->servers, server, 0, FT_SERVER_GONE, now);
  if (srv == NULL)
    return FT_FULL;
  Org *org = find_org (pool, req, now);
  Job *job = make_job (pool, req, org, now);
  g_hash_table_insert (pool->jobs, &job->key, job);
  org->active++;
  start_running (pool, job, srv, tokens ? job->prompt_tokens : 0, now);
  job->answer_tokens = tokens;
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

  if (job == NULL || job->state != JOB_RUNNING || tokens <= job->answer_tokens)
    return;
  if (job->answer_tokens == 0)
    {
      srv_first_token (&pool->servers, job->srv, job->prefill_tokens, job->queued_prefill,
                       (double) (now - job->granted_at) / FT_MS, now);
      job->prefill_tokens = 0;
      job->answer_tokens = tokens;
      job->last_progress = now;
    }
  else if (now - job->last_progress >= GAP_SAMPLE_MIN)
    {
      srv_gap_sample (&pool->servers, job->srv, (double) (now - job->last_progress) / FT_MS,
                      tokens - job->answer_tokens, now);
      job->answer_tokens = tokens;
      job->last_progress = now;
    }
  grant_waiting (pool, now);
}

static void
correct_charge (FtPool *pool, Job *job, FtOutcome outcome, unsigned tokens)
{
  OrgQueue *queue = &job->org->queue[job->tier];

  org_charge_tokens (job->org, (double) tokens - job->expected_tokens);
  if (pool->conf.service)
    return;
  double true_work
      = job->charged_work + (tokens - job->expected_tokens) * srv_mean_gap_ms (&pool->servers);
  queue->finish += (MAX (0, true_work) - job->charged_work) / job->org->weight;
  if (queue->count)
    {
      Tier *tier = &pool->tiers[job->tier];
      ft_heap_remove (&tier->active, &queue->heap);
      ft_heap_push (&tier->active, &queue->heap, queue->finish);
    }
  if (outcome == FT_OUTCOME_COMPLETE)
    org_record_answer (job->org, job->class_name, tokens);
}

void
ft_pool_end_request (FtPool *pool, uint32_t entry, uint64_t request, FtOutcome outcome,
                     unsigned tokens)
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
      correct_charge (pool, job, outcome, tokens);
      if (outcome == FT_OUTCOME_NOT_CONNECTED)
        {
          job->srv->unresponsive = true;
          job->srv->probe_at = now + job->srv->probe_wait;
          srv_update (&pool->servers, job->srv->name, job->srv->incarnation, job->srv->state, now);
        }
    }
  remove_job (pool, job);
  grant_waiting (pool, now);
}

void
ft_pool_remove_entry (FtPool *pool, uint32_t entry)
{
  GHashTableIter iter;
  void *data;
  GArray *requests = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  g_hash_table_iter_init (&iter, pool->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    if (((Job *) data)->key.entry == entry)
      g_array_append_val (requests, ((Job *) data)->key.request);
  for (unsigned i = 0; i < requests->len; i++)
    ft_pool_end_request (pool, entry, g_array_index (requests, uint64_t, i), FT_OUTCOME_CANCELLED,
                         0);
  g_array_unref (requests);
}

/* ---- Servers and time ---- */

FtStatus
ft_pool_update_server (FtPool *pool, const char *name, uint64_t incarnation, FtServerState state)
{
  int64_t now = ft_clock_now (pool->clock);

  if (srv_update (&pool->servers, name, incarnation, state, now) == NULL)
    return FT_FULL;
  grant_waiting (pool, now);
  return FT_OK;
}

void
ft_pool_report (FtPool *pool, const char *name, unsigned running, unsigned waiting, int64_t age)
{
  Srv *srv = srv_find (&pool->servers, name);

  /* Load reports arrive too late to decide whether a server has room. They are used only for an
   * unresponsive server: if it reports nothing running or waiting, it no longer runs our streams,
   * and its next probe is moved forward. */
  if (srv && srv->unresponsive && running == 0 && waiting == 0 && age < 3 * FT_SECOND)
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
        refuse_waiting (pool, newest, FT_REASON_LIMIT_CONCURRENT, RETRY_MIN_MS,
                        "the organisation's limit of concurrent requests was lowered");
      }
}

void
ft_pool_tick (FtPool *pool)
{
  int64_t now = ft_clock_now (pool->clock);

  srv_tick (&pool->servers, now);
  grant_waiting (pool, now);
  expire_waiting (pool, now);
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
  stats->tier_violations = pool->tier_violations;
  stats->bytes = sizeof *pool + g_hash_table_size (pool->jobs) * (sizeof (Job) + 48)
                 + g_hash_table_size (pool->orgs) * (sizeof (Org) + 160)
                 + pool->servers.all->len * (sizeof (Srv) + 64);
}
