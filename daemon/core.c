/* core.c - the loop thread, the only one that uses the node. Request threads post functions to it
 * and wait for results on condition variables. What they read for every request (the catalogue and
 * whether it is fresh) is published by RCU and atomics, so that they do not wait for the loop.
 */
#include "core.h"
#include "content.h"
#include "back.h"
#include "disk.h"
#include "dlog.h"
#include "link.h"
#include "stat.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>
#include <urcu-bp.h>

#define TICK_INTERVAL (20 * FT_MS)

typedef struct
{
  CoreFunc fn;
  void *data;
} PostedFunc;

/* A request thread that waits for the outcome of a proposal or query. */
typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t cond;
  bool done;
  FtStatus status;
  uint64_t revision;
  char text[1024];
  GBytes *body;
} Waiter;

struct Core
{
  const Conf *conf;
  FtClock clock;
  FtRandom random;
  FtDisk *disk;
  FtNode *node;
  Link *link;
  GThread *thread;
  GAsyncQueue *queue;
  FtCat *cat;           /* RCU */
  int64_t fresh_until;  /* atomic */
  uint64_t next_number; /* atomic */
  GHashTable *calls;    /* &Call.number -> Call, loop thread only */
  GHashTable *waiters;  /* number -> Waiter, loop thread only */
  Back *back;           /* set once, before requests arrive */
};

/* ---- Clock and randomness ---- */

static int64_t
clock_now (FtClock *clock)
{
  (void) clock;
  return g_get_monotonic_time ();
}

static uint64_t
random_next (FtRandom *random)
{
  (void) random;
  return ((uint64_t) g_random_int () << 32) | g_random_int ();
}

static const FtClockOps clock_ops = { clock_now };
static const FtRandomOps random_ops = { random_next };

void
core_set_back (Core *core, Back *back)
{
  core->back = back;
}

const Conf *
core_conf (Core *core)
{
  return core->conf;
}

FtClock *
core_clock (Core *core)
{
  return &core->clock;
}

int64_t
core_now (Core *core)
{
  return ft_clock_now (&core->clock);
}

int64_t
core_wall_ms (void)
{
  return g_get_real_time () / 1000;
}

uint64_t
core_random (Core *core)
{
  return ft_random_next (&core->random);
}

/* ---- Callbacks of the node ---- */

static void
on_send (void *host, uint32_t to, GByteArray *msg)
{
  Core *core = host;

  link_send (core->link, to, msg);
}

static Call *
find_call (Core *core, uint64_t number)
{
  return g_hash_table_lookup (core->calls, &number);
}

static void
on_grant (void *host, uint64_t request, const char *server)
{
  Call *call = find_call (host, request);

  if (call == NULL)
    return;
  pthread_mutex_lock (&call->lock);
  call->decision = CALL_GRANTED;
  call->decided_at = g_get_monotonic_time ();
  g_strlcpy (call->server, server, sizeof call->server);
  ft_req_set_state (call->req, FT_REQ_GRANTED);
  pthread_cond_broadcast (&call->cond);
  pthread_mutex_unlock (&call->lock);
}

static void
on_refuse (void *host, const FtRefusal *refusal)
{
  Core *core = host;
  uint64_t number = refusal->request;
  Call *call = find_call (core, number);

  if (call == NULL)
    return;
  pthread_mutex_lock (&call->lock);
  call->decision = CALL_REFUSED;
  call->decided_at = g_get_monotonic_time ();
  call->refusal = *refusal;
  ft_req_set_state (call->req, FT_REQ_REFUSED);
  pthread_cond_broadcast (&call->cond);
  pthread_mutex_unlock (&call->lock);
  g_hash_table_remove (core->calls, &number);
}

static void
on_pause (void *host, uint64_t request)
{
  Call *call = find_call (host, request);

  if (call)
    back_pause (call->back, call);
}

static void
on_resume (void *host, uint64_t request)
{
  Call *call = find_call (host, request);

  if (call)
    back_resume (call->back, call);
}

static void
wake_waiter (Core *core, uint64_t number, FtStatus status, uint64_t revision, const char *text,
             GBytes *body)
{
  Waiter *waiter = g_hash_table_lookup (core->waiters, &number);

  if (waiter == NULL)
    {
      g_clear_pointer (&body, g_bytes_unref);
      return;
    }
  g_hash_table_remove (core->waiters, &number);
  pthread_mutex_lock (&waiter->lock);
  waiter->status = status;
  waiter->revision = revision;
  g_strlcpy (waiter->text, text, sizeof waiter->text);
  waiter->body = body;
  waiter->done = true;
  pthread_cond_signal (&waiter->cond);
  pthread_mutex_unlock (&waiter->lock);
}

static void
on_verdict (void *host, uint64_t number, FtStatus status, uint64_t revision, const char *text)
{
  wake_waiter (host, number, status, revision, text, NULL);
}

static void
on_query_reply (void *host, uint64_t number, FtStatus status, const void *body, size_t size)
{
  wake_waiter (host, number, status, 0, "", g_bytes_new (body, size));
}

static void
on_catalogue (void *host, FtCat *cat)
{
  Core *core = host;
  FtCat *old = core->cat;

  rcu_assign_pointer (core->cat, ft_cat_ref (cat));
  synchronize_rcu ();
  ft_cat_unref (old);
  dlog (DLOG_INFO, NULL, "catalogue", "revision %" G_GUINT64_FORMAT " is in force here",
        ft_cat_revision (cat));
}

static void
on_query (void *host, uint32_t from, uint64_t number, const char *id)
{
  Core *core = host;
  GBytes *body = NULL;
  FtStatus status = back_kept_answer (core->back, id, &body);
  gsize size = 0;
  const void *data = body ? g_bytes_get_data (body, &size) : "";

  ft_node_reply_query (core->node, from, number, status, data, size);
  if (body)
    g_bytes_unref (body);
}

static const FtNodeOps node_ops = { on_send,    on_grant,     on_refuse, on_pause,      on_resume,
                                    on_verdict, on_catalogue, on_query,  on_query_reply };

/* ---- The loop ---- */

static void *
loop_thread (void *data)
{
  Core *core = data;
  int64_t next_tick = 0;

  for (;;)
    {
      int64_t now = core_now (core);
      int64_t wait = MAX (1, next_tick - now);
      PostedFunc *posted = g_async_queue_timeout_pop (core->queue, (guint64) wait);

      for (; posted; posted = g_async_queue_try_pop (core->queue))
        {
          posted->fn (core->node, posted->data);
          g_free (posted);
        }
      now = core_now (core);
      if (now >= next_tick)
        {
          ft_node_tick (core->node);
          next_tick = now + TICK_INTERVAL;
        }
      ft_node_flush (core->node);
      __atomic_store_n (&core->fresh_until, ft_node_fresh_until (core->node), __ATOMIC_RELEASE);
    }
  return NULL;
}

void
core_post (Core *core, CoreFunc fn, void *data)
{
  PostedFunc *posted = g_new (PostedFunc, 1);

  *posted = (PostedFunc){ fn, data };
  g_async_queue_push (core->queue, posted);
}

static FtStatus
make_node (Core *core, FtError *error)
{
  const Conf *conf = core->conf;
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  GArray *voters = g_array_new (FALSE, FALSE, sizeof (uint32_t));

  for (unsigned i = 0; i < conf->instances->len; i++)
    {
      const ConfInstance *instance = conf->instances->pdata[i];
      uint32_t id = (uint32_t) instance->id;
      g_array_append_val (ids, id);
      if (instance->voter)
        g_array_append_val (voters, id);
    }
  FtNodeConf node = { .id = (uint32_t) conf->id,
                      .incarnation = core_random (core) | 1,
                      .region = conf->region,
                      .failure_domain = conf->failure_domain,
                      .instances = (uint32_t *) (void *) ids->data,
                      .instance_count = ids->len,
                      .voters = (uint32_t *) (void *) voters->data,
                      .voter_count = voters->len };
  FtStatus status = ft_node_new (&node, &core->clock, &core->random, core->disk, &node_ops, core,
                                 &core->node, error);
  g_array_unref (ids);
  g_array_unref (voters);
  return status;
}

FtStatus
core_new (const Conf *conf, Core **out, FtError *error)
{
  Core *core = g_new0 (Core, 1);
  FtStatus status = FT_OK;

  core->conf = conf;
  core->clock.ops = &clock_ops;
  core->random.ops = &random_ops;
  core->queue = g_async_queue_new ();
  core->calls
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, (GDestroyNotify) call_unref);
  core->waiters = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  core->next_number = 1;
  *out = core;
  if (conf_find_instance (conf, (uint32_t) conf->id)->voter)
    status = disk_new (conf->data_folder, &core->disk, error);
  if (status == FT_OK)
    status = make_node (core, error);
  if (status == FT_OK)
    status = link_new (core, &core->link, error);
  if (status == FT_OK)
    core->thread = g_thread_new ("loop", loop_thread, core);
  return status;
}

/* ---- State read by request threads ---- */

FtCat *
core_catalogue (Core *core)
{
  rcu_read_lock ();
  FtCat *cat = rcu_dereference (core->cat);
  if (cat)
    ft_cat_ref (cat);
  rcu_read_unlock ();
  return cat;
}

bool
core_is_fresh (Core *core)
{
  return core_now (core) < __atomic_load_n (&core->fresh_until, __ATOMIC_ACQUIRE);
}

/* ---- Requests ---- */

/* Arguments of a function on a call posted to the loop thread. */
typedef struct
{
  Core *core;
  Call *call;
  FtOutcome outcome;
  unsigned tokens;
} CallEvent;

static void
post_call (Core *core, CoreFunc fn, Call *call, FtOutcome outcome, unsigned tokens)
{
  CallEvent *event = g_new (CallEvent, 1);

  *event = (CallEvent){ core, call_ref (call), outcome, tokens };
  core_post (core, fn, event);
}

static void
free_event (CallEvent *event)
{
  call_unref (event->call);
  g_free (event);
}

static uint64_t
content_of (const Call *call)
{
  Content content = { .method = call->method,
                      .target = call->path,
                      .org = call->org,
                      .body = call->body,
                      .size = call->body ? call->body_size : 0 };

  return content_id (&content);
}

static void
do_submit (FtNode *node, void *data)
{
  CallEvent *event = data;
  Call *call = event->call;
  int64_t now = core_now (event->core);
  FtNodeRequest ask = { .request = call->number,
                        .pool = call->pool,
                        .org = call->org,
                        .class_name = call->class_name,
                        .prompt_tokens = call->prompt_tokens,
                        .most_tokens = call->max_tokens,
                        .first_token_in_us = call->first_token_deadline - now,
                        .deadline_in_us = call->deadline - now,
                        .blocks = call->blocks,
                        .block_count = call->block_count,
                        .content = content_of (call) };

  g_hash_table_insert (event->core->calls, &call->number, call_ref (call));
  ft_node_submit (node, &ask);
  free_event (event);
}

void
core_submit (Core *core, Call *call)
{
  call->number = __atomic_fetch_add (&core->next_number, 1, __ATOMIC_RELAXED);
  call->core = core;
  post_call (core, do_submit, call, 0, 0);
}

static void
do_resubmit (FtNode *node, void *data)
{
  CallEvent *event = data;

  ft_node_resubmit (node, event->call->number);
  free_event (event);
}

void
core_resubmit (Core *core, Call *call)
{
  pthread_mutex_lock (&call->lock);
  call->decision = CALL_PENDING;
  ft_req_undo_grant (call->req);
  pthread_mutex_unlock (&call->lock);
  post_call (core, do_resubmit, call, 0, 0);
}

static void
do_progress (FtNode *node, void *data)
{
  CallEvent *event = data;

  ft_node_progress (node, event->call->number, event->tokens);
  free_event (event);
}

void
core_progress (Core *core, Call *call, unsigned tokens)
{
  post_call (core, do_progress, call, 0, tokens);
}

static void
do_end_request (FtNode *node, void *data)
{
  CallEvent *event = data;
  uint64_t number = event->call->number;

  ft_node_end_request (node, number, event->outcome, event->tokens);
  g_hash_table_remove (event->core->calls, &number);
  free_event (event);
}

void
core_end_request (Core *core, Call *call, FtOutcome outcome, unsigned tokens)
{
  post_call (core, do_end_request, call, outcome, tokens);
}

static void
do_report_crash (FtNode *node, void *data)
{
  CallEvent *event = data;

  ft_node_report_crash (node, event->call->number, core_wall_ms ());
  free_event (event);
}

void
core_report_crash (Core *core, Call *call)
{
  post_call (core, do_report_crash, call, 0, 0);
}

static void
do_record_refusal (FtNode *node, void *data)
{
  CallEvent *event = data;
  const Call *call = event->call;

  ft_node_record_refusal (node, call->id, call->org ? call->org : "", call->refusal.reason,
                          call->tier, call->refusal.retry_after_ms, call->refusal.rule,
                          core_wall_ms ());
  free_event (event);
}

void
core_record_refusal (Core *core, const Call *call)
{
  post_call (core, do_record_refusal, (Call *) call, 0, 0);
}

/* ---- Proposals and queries ---- */

/* Arguments of a proposal or query posted to the loop thread. */
typedef struct
{
  Core *core;
  Waiter *waiter; /* NULL: no thread waits */
  char *a, *b, *c;
  uint64_t base;
  int kind;
} PostedRequest;

static void
free_request (PostedRequest *request)
{
  g_free (request->a);
  g_free (request->b);
  g_free (request->c);
  g_free (request);
}

static void
register_waiter (PostedRequest *request, uint64_t number)
{
  if (request->waiter)
    g_hash_table_insert (request->core->waiters, g_memdup2 (&number, sizeof number),
                         request->waiter);
  free_request (request);
}

static void
post_and_wait (Core *core, CoreFunc fn, PostedRequest *request, Waiter *waiter)
{
  memset (waiter, 0, sizeof *waiter);
  pthread_mutex_init (&waiter->lock, NULL);
  pthread_cond_init (&waiter->cond, NULL);
  request->core = core;
  request->waiter = waiter;
  core_post (core, fn, request);
  pthread_mutex_lock (&waiter->lock);
  while (!waiter->done) /* the node ends every proposal and query by its timeout */
    pthread_cond_wait (&waiter->cond, &waiter->lock);
  pthread_mutex_unlock (&waiter->lock);
  pthread_mutex_destroy (&waiter->lock);
  pthread_cond_destroy (&waiter->cond);
}

static void
do_propose_catalogue (FtNode *node, void *data)
{
  PostedRequest *request = data;

  register_waiter (request, ft_node_propose_catalogue (node, request->a, request->b, request->base,
                                                       request->c, core_wall_ms ()));
}

FtStatus
core_propose_catalogue (Core *core, const char *change_id, const char *author, uint64_t base,
                        const char *catalogue, uint64_t *revision, char *text)
{
  PostedRequest *request = g_new0 (PostedRequest, 1);
  Waiter waiter;

  request->a = g_strdup (change_id);
  request->b = g_strdup (author);
  request->c = g_strdup (catalogue);
  request->base = base;
  post_and_wait (core, do_propose_catalogue, request, &waiter);
  *revision = waiter.revision;
  if (text)
    memcpy (text, waiter.text, sizeof waiter.text);
  return waiter.status;
}

static void
do_release (FtNode *node, void *data)
{
  PostedRequest *request = data;

  register_waiter (request, ft_node_release_content (node, request->base));
}

FtStatus
core_release_content (Core *core, uint64_t content)
{
  PostedRequest *request = g_new0 (PostedRequest, 1);
  Waiter waiter;

  request->base = content;
  post_and_wait (core, do_release, request, &waiter);
  return waiter.status;
}

static void
do_claim (FtNode *node, void *data)
{
  PostedRequest *request = data;

  register_waiter (request,
                   ft_node_claim (node, request->a, request->b, request->c, core_wall_ms ()));
}

FtStatus
core_claim (Core *core, const Call *call, const char *digest, char *owner_id)
{
  PostedRequest *request = g_new0 (PostedRequest, 1);
  Waiter waiter;

  request->a = g_strdup (call->claim_key);
  request->b = g_strdup (digest);
  request->c = g_strdup (call->id);
  post_and_wait (core, do_claim, request, &waiter);
  stat_add (STAT_CLAIMS, 1);
  g_strlcpy (owner_id, waiter.text, 64);
  return waiter.status;
}

static void
do_end_claim (FtNode *node, void *data)
{
  PostedRequest *request = data;

  ft_node_end_claim (node, request->a, request->b, request->kind, core_wall_ms ());
  free_request (request);
}

void
core_end_claim (Core *core, const Call *call, FtClaimOutcome end)
{
  if (call->claim_key == NULL)
    return;
  PostedRequest *request = g_new0 (PostedRequest, 1);
  request->core = core;
  request->a = g_strdup (call->claim_key);
  request->b = g_strdup (call->id);
  request->kind = end;
  core_post (core, do_end_claim, request);
}

static void
do_query (FtNode *node, void *data)
{
  PostedRequest *request = data;

  register_waiter (request, ft_node_query (node, request->kind, request->a));
}

FtStatus
core_query (Core *core, FtQueryKind kind, const char *id, GBytes **body)
{
  PostedRequest *request = g_new0 (PostedRequest, 1);
  Waiter waiter;

  request->a = g_strdup (id);
  request->kind = kind;
  post_and_wait (core, do_query, request, &waiter);
  *body = waiter.body;
  return waiter.status;
}

/* ---- Calls into the node that block until done ---- */

/* A function that another thread waits for. */
typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t cond;
  bool done;
  void (*fn) (FtNode *node, void *out);
  void *out;
} SyncCall;

static void
do_sync_call (FtNode *node, void *data)
{
  SyncCall *sync = data;

  sync->fn (node, sync->out);
  pthread_mutex_lock (&sync->lock);
  sync->done = true;
  pthread_cond_signal (&sync->cond);
  pthread_mutex_unlock (&sync->lock);
}

static void
call_node (Core *core, void (*fn) (FtNode *node, void *out), void *out)
{
  SyncCall sync = { .fn = fn, .out = out };

  pthread_mutex_init (&sync.lock, NULL);
  pthread_cond_init (&sync.cond, NULL);
  core_post (core, do_sync_call, &sync);
  pthread_mutex_lock (&sync.lock);
  while (!sync.done)
    pthread_cond_wait (&sync.cond, &sync.lock);
  pthread_mutex_unlock (&sync.lock);
  pthread_mutex_destroy (&sync.lock);
  pthread_cond_destroy (&sync.cond);
}

static void
read_status (FtNode *node, void *out)
{
  ft_node_status (node, out);
}

void
core_status (Core *core, FtNodeStatus *status)
{
  call_node (core, read_status, status);
}

static void
read_pools (FtNode *node, void *out)
{
  FtCat *cat = ft_node_catalogue (node);

  for (unsigned i = 0; cat && i < ft_cat_pool_count (cat); i++)
    {
      const char *name = ft_cat_pool_at (cat, i)->name;
      const FtPool *pool = ft_node_pool (node, name);
      FtPoolStats stats;
      if (pool == NULL)
        continue;
      ft_pool_stats (pool, &stats);
      g_string_append_printf (out,
                              "foxtail_pool_servers{pool=\"%s\"} %u\n"
                              "foxtail_pool_servers_usable{pool=\"%s\"} %u\n"
                              "foxtail_pool_window{pool=\"%s\"} %.0f\n"
                              "foxtail_pool_state_bytes{pool=\"%s\"} %zu\n"
                              "foxtail_pool_decisions_total{pool=\"%s\"} %" G_GUINT64_FORMAT "\n"
                              "foxtail_pool_tier_violations_total{pool=\"%s\"} %" G_GUINT64_FORMAT
                              "\n",
                              name, stats.servers, name, stats.usable, name, stats.window, name,
                              stats.bytes, name, stats.decisions, name, stats.tier_violations);
      for (unsigned t = 1; t <= FT_TIERS; t++)
        g_string_append_printf (out,
                                "foxtail_pool_waiting{pool=\"%s\",tier=\"%u\"} %u\n"
                                "foxtail_pool_running{pool=\"%s\",tier=\"%u\"} %u\n"
                                "foxtail_pool_paused{pool=\"%s\",tier=\"%u\"} %u\n",
                                name, t, stats.waiting[t], name, t, stats.running[t], name, t,
                                stats.paused[t]);
    }
}

char *
core_pool_metrics (Core *core)
{
  GString *out = g_string_new (NULL);

  call_node (core, read_pools, out);
  return g_string_free (out, FALSE);
}

static void
do_leave (FtNode *node, void *out)
{
  *(bool *) out = ft_node_leave (node);
}

bool
core_leave (Core *core)
{
  bool left = false;

  call_node (core, do_leave, &left);
  return left;
}
