/* scheduler.c - placement, order and refusal for engines without priorities.
 *
 * Where the queue is. An engine runs `slots` requests at once and admits the rest in order of
 * arrival, so what waits inside an engine has lost its tier. Nothing is handed over beyond the
 * places; all waiting happens here, by tier, and within a tier those that can still be on time go
 * before those that cannot.
 *
 * Here are the records and what happens to them: a request is asked for, placed, told of and done.
 * In which order requests wait is in waiting.c, which are refused in admit.c, how long one takes
 * where and which server is chosen in estimate.c, which servers are taken out in health.c, and what
 * operators see in schedview.c.
 */
#include "schedint.h"

#include <math.h>
#include <string.h>

/* Tuning; each row with its reason. */
#define SCAN_MAX 48 /* waiting requests of a queue looked at in one decision */
#define OVERTAKEN_MAX                                                                              \
  8 /* connected requests that may go before one that is due earlier: a few ms at the load that    \
       makes requests wait */
#define LEARN_TOKENS_MIN 500 /* tokens: shorter prompts are lost in the noise of sending */
/* ---- Records ---- */

static guint
key_hash (gconstpointer data)
{
  const Key *key = data;

  return (guint) (key->request * 2654435761u ^ key->owner ^ key->owner >> 32);
}

static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  const Key *x = a, *y = b;

  return x->owner == y->owner && x->request == y->request;
}

static void
service_free (void *data)
{
  Service *service = data;

  g_ptr_array_unref (service->tiers);
  ver_clear (&service->versions);
  g_free (service->name);
  g_free (service);
}

static void
server_free (void *data)
{
  Server *server = data;

  cds_list_del (&server->link);
  g_free (server->id);
  g_free (server->domain);
  g_free (server->version);
  if (server->backoffs)
    g_hash_table_unref (server->backoffs);
  g_free (server);
}

static void
job_free (void *data)
{
  Job *job = data;

  g_free (job->avoid);
  g_free (job->org);
  g_free (job->kept);
  g_free (job);
}

Sched *
sched_new (FtClock *clock, const SchedOps *ops, void *host)
{
  Sched *sched = g_new0 (Sched, 1);

  sched->clock = clock;
  sched->ops = ops;
  sched->host = host;
  sched->share = sched->rate_part = 1;
  sched->weights = shr_weights_new ();
  sched->grant_part = SCHED_UNBOUNDED;
  sched->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  sched->servers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, server_free);
  sched->by_digest = g_hash_table_new (NULL, NULL);
  sched->jobs = g_hash_table_new_full (key_hash, key_equal, NULL, job_free);
  return sched;
}

void
sched_free (Sched *sched)
{
  if (sched == NULL)
    return;
  g_hash_table_unref (sched->jobs);
  g_hash_table_unref (sched->by_digest);
  g_hash_table_unref (sched->servers);
  g_hash_table_unref (sched->services);
  ret_free (sched->returns);
  shr_weights_free (sched->weights);
  g_free (sched);
}

static Service *
service_of (Sched *sched, const char *name)
{
  Service *service = g_hash_table_lookup (sched->services, name);

  if (service)
    return service;
  service = g_new0 (Service, 1);
  service->name = g_strdup (name);
  service->weights = sched->fair ? sched->weights : NULL;
  curve_init (&service->curve);
  ver_init (&service->versions);
  service->tiers = g_ptr_array_new_with_free_func (wait_tier_free);
  CDS_INIT_LIST_HEAD (&service->servers);
  g_hash_table_insert (sched->services, service->name, service);
  return service;
}

void
sched_set_service (Sched *sched, const char *name, const SchedServiceConf *conf)
{
  Service *service = service_of (sched, name);

  service->conf = *conf;
  if (service->conf.stride == 0)
    service->conf.stride = 1;
}

static void
set_text (char **field, const char *text)
{
  char *copy = g_strdup (text);

  g_free (*field);
  *field = copy;
}

void
sched_set_versions (Sched *sched, const char *name, const SchedVersions *from)
{
  Service *service = service_of (sched, name);
  Versions *versions = &service->versions;

  if (*from->in_use)
    set_text (&versions->in_use, from->in_use);
  set_text (&versions->other, from->other);
  if (strcmp (versions->ordered, from->ordered) != 0)
    {
      versions->placed = versions->granted = 0;
      g_hash_table_remove_all (versions->usual);
    }
  set_text (&versions->ordered, from->ordered);
  versions->share = from->share;
  versions->left = from->left;
  versions->follows = from->follows;
  versions->watched = from->watched;
  ver_assign (service);
  service->summary.until = 0;
}

void
sched_set_share (Sched *sched, double share, uint64_t salt)
{
  sched->share = share;
  sched->salt = salt;
}

void
sched_set_return_share (Sched *sched, double part)
{
  if (sched->returns == NULL && part > 0)
    sched->returns = ret_new (sched->clock, RET_MAX_RESERVATIONS / 2);
  if (sched->returns)
    ret_set_share (sched->returns, part);
}

RetCounts
sched_return_counts (const Sched *sched)
{
  return sched->returns ? *ret_counts (sched->returns) : (RetCounts){ 0 };
}

void
sched_set_fair (Sched *sched, bool on)
{
  GHashTableIter iter;
  gpointer value;
  int64_t now = ft_clock_now (sched->clock);

  if (sched->fair == on)
    return;
  sched->fair = on;
  g_hash_table_iter_init (&iter, sched->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    wait_set_fair (value, on ? sched->weights : NULL, now);
}

void
sched_set_weight (Sched *sched, const char *org, double rate)
{
  shr_weights_set (sched->weights, org, rate);
}

void
sched_clear_weights (Sched *sched)
{
  shr_weights_clear (sched->weights);
}

void
sched_set_grant_share (Sched *sched, double part, bool guessed)
{
  sched->grant_part = part;
  sched->others_unknown = guessed;
}

/* ---- Moves of a job ---- */

static void
start (Job *job, Server *server, int64_t now)
{
  ver_note_grant (job, server, now);
  job->server = server;
  job->granted_at = now;
  job->prompt_us = est_prompt_us (server, job->ask.prompt_tokens);
  job->alone = server->pending == 0;
  cds_list_add_tail (&job->link, &server->runs);
  server->running++;
  server->service->running++;
  server->pending++;
  server->pending_us += job->prompt_us;
  server->pending_tokens += job->ask.prompt_tokens;
  server->tokens += job->ask.prompt_tokens + job->ask.output_tokens;
  server->prompts_until = MAX (server->prompts_until, now) + (int64_t) job->prompt_us;
}

static void
first_seen (Job *job, int64_t now)
{
  Server *server = job->server;

  if (job->first_seen)
    return;
  job->first_seen = true;
  server->pending--;
  server->pending_tokens -= MIN (server->pending_tokens, job->ask.prompt_tokens);
  server->pending_us = server->pending > 0 ? MAX (0, server->pending_us - job->prompt_us) : 0;
  server->prompts_until = now + (int64_t) server->pending_us;
  if (server->pending == 0)
    server->pending_tokens = 0;
}

static void
leave_server (Job *job, int64_t now)
{
  Server *server = job->server;

  first_seen (job, now);
  cds_list_del (&job->link);
  server->running--;
  server->service->running--;
  server->tokens -= job->ask.prompt_tokens + job->ask.output_tokens;
  job->server = NULL;
}

void
sched_remove_job (Sched *sched, Job *job, int64_t now)
{
  if (job->server)
    leave_server (job, now);
  else
    {
      wait_remove (job);
      if (job->ask.cost > 0)
        sched->ops->unused (sched->host, job->org, job->ask.cost);
    }
  g_hash_table_remove (sched->jobs, &job->key);
}

/* ---- Dispatch ---- */

static void
grant (Sched *sched, Job *job, Server *server, int64_t now)
{
  wait_serve (job, now);
  admit_note_grant (sched, job);
  start (job, server, now);
  pace_take (sched, server, now);
  if (!est_has_place (sched, server, now) && job->service->open > 0)
    job->service->open--;
  sched->ops->grant (sched->host, job->key.owner, job->key.request, job->org, server->id,
                     est_max_idle_us (server, now));
}

static bool
place (Sched *sched, Job *job, int64_t now)
{
  Server *server = est_choose (sched, job, now);

  if (server)
    grant (sched, job, server, now);
  return server != NULL;
}

/* A request that is due to a version that is tried goes there at once or, like any other, to the
 * version in use: it waits for no place of the first, and goes before nobody at the other. */
static bool
place_tried (Sched *sched, Job *job, int64_t now)
{
  Server *server = job->tried ? ver_choose (sched, job, now) : NULL;

  job->tried = false;
  if (server)
    grant (sched, job, server, now);
  return server != NULL;
}

static void
count_open (const Sched *sched, Service *service, int64_t now)
{
  const Server *server;

  service->open = 0;
  cds_list_for_each_entry (server, &service->servers, link)
  {
    service->open += est_has_place (sched, server, now);
  }
}

static void
note_passed (struct cds_list_head *queue, const Job *by)
{
  Job *job;

  cds_list_for_each_entry (job, queue, link)
  {
    if (job == by)
      return;
    job->passed++;
  }
}

/* Failure: places are short, and each that becomes free goes to whoever is due first, hardly ever
 * to one whose owner is connected there. Symptom: most requests wait for a new connection, which
 * holds the place meanwhile. Among those that wait one that is connected goes first; nobody is
 * passed by more than OVERTAKEN_MAX of them, and on the whole nobody waits longer, since the place
 * is taken. */
static void
dispatch_connected (Sched *sched, Service *service, struct cds_list_head *queue, int64_t now)
{
  Job *job, *next;
  unsigned scanned = 0;

  if (queue->next == queue->prev) /* nobody to go before */
    return;
  cds_list_for_each_entry_safe (job, next, queue, link)
  {
    if (scanned++ >= SCAN_MAX || service->open == 0 || job->passed >= OVERTAKEN_MAX)
      return;
    if (!est_connected_place (sched, job, now))
      continue;
    Server *server = est_choose (sched, job, now);
    if (server == NULL || server->kept_by != sched->choices)
      continue;
    note_passed (queue, job);
    grant (sched, job, server, now);
  }
}

static void
dispatch_queue (Sched *sched, Service *service, struct cds_list_head *queue, int64_t now)
{
  Job *job, *next;
  unsigned scanned = 0;

  dispatch_connected (sched, service, queue, now);
  cds_list_for_each_entry_safe (job, next, queue, link)
  {
    if (scanned++ >= SCAN_MAX || service->open == 0)
      break;
    place (sched, job, now);
  }
}

/* On time first, then the others: a late answer is worth a part of one on time. */
static void
dispatch_tier (Sched *sched, Service *service, Tier *tier, int64_t now)
{
  wait_move_late (sched, service, tier, now);
  dispatch_queue (sched, service, &tier->promised, now);
  dispatch_queue (sched, service, &tier->timely, now);
  dispatch_queue (sched, service, &tier->late, now);
}

static unsigned
count_waiting (const Service *service)
{
  unsigned count = 0;

  for (unsigned i = 0; i < service->tiers->len; i++)
    count += ((Tier *) service->tiers->pdata[i])->count;
  return count;
}

static void
dispatch (Sched *sched, Service *service, int64_t now)
{
  unsigned waiting = count_waiting (service);

  if (waiting == 0)
    return;
  est_summary (sched, service);
  if (waiting == 1)
    service->open = 1; /* the choice itself shows whether there is one */
  else
    count_open (sched, service, now);
  for (unsigned i = 0; i < service->tiers->len; i++)
    {
      Tier *tier = service->tiers->pdata[i];
      if (tier->count > 0 && service->open > 0)
        dispatch_tier (sched, service, tier, now);
    }
}

/* ---- Asking ---- */

static Job *
job_new (Sched *sched, const SchedAsk *ask)
{
  Job *job = g_new0 (Job, 1);

  job->key = (Key){ ask->owner, ask->request };
  job->service = service_of (sched, ask->service);
  job->ask = *ask;
  job->ask.service = job->ask.org = job->ask.avoid = NULL;
  job->ask.kept = NULL;
  job->ask.kept_count = MIN (ask->kept_count, SCHED_CONNECTED_MAX);
  job->kept = g_memdup2 (ask->kept, job->ask.kept_count * sizeof *ask->kept);
  job->org = g_strdup (ask->org ? ask->org : "");
  job->avoid = ask->avoid && *ask->avoid ? g_strdup (ask->avoid) : NULL;
  job->work_us = est_work_us (sched, job->service, ask);
  g_hash_table_insert (sched->jobs, &job->key, job);
  return job;
}

static bool
any_usable (const Service *service, int64_t now, const char *avoid)
{
  const Server *server;

  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (server->listed && !server->leaving && server->use == USE_ALL
        && now + OUT_MAX > server->out_until && (avoid == NULL || strcmp (avoid, server->id) != 0))
      return true;
  }
  return false;
}

bool
sched_ask (Sched *sched, const SchedAsk *ask)
{
  Key key = { ask->owner, ask->request };
  int64_t now = ft_clock_now (sched->clock);

  if (g_hash_table_contains (sched->jobs, &key))
    return true;
  Job *job = job_new (sched, ask);
  Service *service = job->service;
  WaitAhead ahead = wait_ahead (sched, job, now);
  wait_note_arrival (job, now);
  admit_note_return (sched, job);
  wait_add (job, now);
  if (!est_can_fit (service, ask))
    {
      admit_refuse (sched, job, FT_REASON_TOO_LARGE, INFINITY, now);
      return false;
    }
  ver_mark_request (job);
  if (!place_tried (sched, job, now))
    dispatch (sched, service, now);
  if (job->server)
    {
      wait_note_timely (job, true);
      return false;
    }
  if (job->avoid && !any_usable (service, now, job->avoid))
    {
      /* Better the server that failed it once than none. */
      g_clear_pointer (&job->avoid, g_free);
      if (place (sched, job, now))
        return false;
    }
  /* Failure: after a start of everything requests come before the list of servers does. Symptom:
   * they are refused for want of a server a moment before the servers are known. */
  if (!sched->listed)
    return true;
  int64_t opens_at = boff_earliest_end (service, job->key.owner, now);
  if (opens_at > now)
    return admit_in_backoff (sched, job, opens_at, now);
  if (!any_usable (service, now, NULL))
    {
      admit_refuse (sched, job, FT_REASON_NO_SERVER, 1e6, now);
      return false;
    }
  return admit_new (sched, job, &ahead, now);
}

void
sched_adopt (Sched *sched, const SchedAsk *ask, const char *id)
{
  Key key = { ask->owner, ask->request };
  int64_t now = ft_clock_now (sched->clock);
  Server *server = g_hash_table_lookup (sched->servers, id);
  Job *job = g_hash_table_lookup (sched->jobs, &key);

  if (server == NULL || (job && job->server))
    return;
  if (job)
    wait_serve (job, now);
  else
    job = job_new (sched, ask);
  start (job, server, now);
  job->adopted = true;
  first_seen (job, now);
}

/* ---- What came of it ---- */

void
sched_first_event (Sched *sched, uint64_t owner, uint64_t request, int64_t after_us)
{
  Key key = { owner, request };
  int64_t now = ft_clock_now (sched->clock);
  Job *job = g_hash_table_lookup (sched->jobs, &key);

  if (job == NULL || job->server == NULL || job->first_seen)
    return;
  Server *server = job->server;
  server->answered_at = now;
  ver_note_first (sched, job, after_us);
  first_seen (job, now);
  if (!job->service->conf.engine || !job->alone || job->ask.prompt_tokens < LEARN_TOKENS_MIN)
    return;
  double token = est_token_us (server);
  double own = MAX ((double) after_us - NETWORK_US - token, 0.2 * (double) after_us);
  curve_learn (&job->service->curve, &server->prompt_unit, job->ask.prompt_tokens, token, own);
}

/* What holds whichever request's answer said it. */
static void
take_notice (Sched *sched, uint64_t owner, Server *server, const Notice *notice, int64_t now)
{
  boff_note (server, owner, notice->backoff_us, now);
  if (!notice->leaving || server->says_leaving)
    return;
  server->leaving = server->says_leaving = true;
  server->service->summary.until = 0;
  sched->ops->believes (sched->host, server->id, true, "says that it leaves", 0);
}

void
sched_notice (Sched *sched, uint64_t owner, uint64_t request, const char *id, const Notice *notice)
{
  Key key = { owner, request };
  int64_t now = ft_clock_now (sched->clock);
  Server *server = g_hash_table_lookup (sched->servers, id);
  const Job *job = g_hash_table_lookup (sched->jobs, &key);

  if (server == NULL)
    return;
  take_notice (sched, owner, server, notice, now);
  pace_apply_notice (sched, server, job, notice->rate, now);
}

void
sched_older_notice (Sched *sched, uint64_t owner, const char *id, const Notice *notice, int64_t age)
{
  int64_t now = ft_clock_now (sched->clock);
  Server *server = g_hash_table_lookup (sched->servers, id);

  if (server == NULL)
    return;
  take_notice (sched, owner, server, notice, now);
  pace_apply_older_notice (sched, server, notice->rate, age, now);
}

void
sched_silent (Sched *sched, uint64_t owner, uint64_t request)
{
  Key key = { owner, request };
  Job *job = g_hash_table_lookup (sched->jobs, &key);

  if (job && job->server)
    health_note_silence (sched, job->server, job->granted_at, ft_clock_now (sched->clock));
}

void
sched_done (Sched *sched, uint64_t owner, uint64_t request, const SchedResult *result)
{
  Key key = { owner, request };
  int64_t now = ft_clock_now (sched->clock);
  Job *job = g_hash_table_lookup (sched->jobs, &key);

  if (job == NULL)
    return;
  Service *service = job->service;
  Server *server = job->server;
  int64_t granted_at = job->granted_at;
  if (server)
    ver_note_end (sched, job, result, now);
  sched_remove_job (sched, job, now);
  if (server && result->broke)
    est_note_broken (server, result->conn_idle_us > 0, now);
  if (server)
    health_update (sched, server, result, granted_at, now);
  dispatch (sched, service, now);
}

void
sched_owner_gone (Sched *sched, uint64_t owner)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *gone = g_ptr_array_new ();
  int64_t now = ft_clock_now (sched->clock);

  g_hash_table_iter_init (&iter, sched->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Job *) value)->key.owner == owner)
      g_ptr_array_add (gone, value);
  for (unsigned i = 0; i < gone->len; i++)
    sched_remove_job (sched, gone->pdata[i], now);
  g_ptr_array_unref (gone);
  boff_drop_owner (sched, owner);
}

/* ---- The list of servers ---- */

uint32_t
sched_server_digest (const char *id)
{
  return g_str_hash (id);
}

static Server *
server_new (Sched *sched, const SchedServer *from)
{
  Server *server = g_new0 (Server, 1);

  server->id = g_strdup (from->id);
  server->domain = g_strdup (from->domain);
  server->version = g_strdup (from->version ? from->version : "");
  server->service = service_of (sched, from->service);
  CDS_INIT_LIST_HEAD (&server->runs);
  cds_list_add_tail (&server->link, &server->service->servers);
  g_hash_table_insert (sched->servers, server->id, server);
  g_hash_table_replace (sched->by_digest, GUINT_TO_POINTER (sched_server_digest (server->id)),
                        server);
  return server;
}

static gboolean
drop_unlisted (gpointer key, gpointer value, gpointer data)
{
  Sched *sched = data;
  const Server *server = value;
  gpointer digest = GUINT_TO_POINTER (sched_server_digest (server->id));

  (void) key;
  if (server->listed || server->running > 0)
    return FALSE;
  if (g_hash_table_lookup (sched->by_digest, digest) == server)
    g_hash_table_remove (sched->by_digest, digest);
  return TRUE;
}

static void
forget_summaries (Sched *sched)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Service *) value)->summary.until = 0;
}

void
sched_set_servers (Sched *sched, const SchedServer *servers, unsigned count)
{
  GHashTableIter iter;
  gpointer value;
  int64_t now = ft_clock_now (sched->clock);

  g_hash_table_iter_init (&iter, sched->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Server *) value)->listed = false;
  for (unsigned i = 0; i < count; i++)
    {
      Server *server = g_hash_table_lookup (sched->servers, servers[i].id);
      if (server == NULL)
        server = server_new (sched, &servers[i]);
      server->listed = true;
      server->leaving = servers[i].leaving || server->says_leaving;
      server->slots = MAX (servers[i].slots, 1);
      server->cold_until = now + servers[i].cold_us;
    }
  g_hash_table_foreach_remove (sched->servers, drop_unlisted, sched);
  g_hash_table_iter_init (&iter, sched->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ver_assign (value);
  forget_summaries (sched);
  sched->listed = true;
  sched_tick (sched);
}

/* ---- Time ---- */

void
sched_tick (Sched *sched)
{
  GHashTableIter iter;
  gpointer value;
  int64_t now = ft_clock_now (sched->clock);

  g_hash_table_iter_init (&iter, sched->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Service *service = value;
      ver_check_overdue (sched, service, now);
      if (count_waiting (service) == 0) /* else each tick looks at all servers */
        continue;
      dispatch (sched, service, now);
      count_open (sched, service, now);
      admit_review (sched, service, now);
    }
  if (sched->returns)
    ret_expire (sched->returns);
}
