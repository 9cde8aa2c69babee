/* scheduler.c - records of requests and servers.
 *
 * An engine runs `slots` requests at once and admits the rest in order of arrival, so a request
 * that waits inside an engine has lost its tier. A server therefore never gets more requests than
 * it has places. All waiting happens here, by tier, and within a tier requests that can still be on
 * time go before those that cannot.
 *
 * This file holds the life of a request, from sched_ask to sched_done. The order of the queues is
 * in waiting.c, dispatch in dispatch.c, refusal in admit.c, estimates and the choice of a server in
 * estimate.c, the health of servers in health.c, and the view for operators in schedview.c.
 */
#include "schedint.h"

#include <math.h>
#include <string.h>

/* Tuning constants. */
/* tokens; the prefill time of shorter prompts is lost in network jitter */
#define LEARN_TOKENS_MIN 500

/* ---- Records ---- */

static guint
key_hash (gconstpointer data)
{
  const SchedKey *key = data;

  return (guint) (key->request * 2654435761u ^ key->owner ^ key->owner >> 32);
}

static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  const SchedKey *x = a, *y = b;

  return x->owner == y->owner && x->request == y->request;
}

static void
service_free (void *data)
{
  Service *service = data;

  g_ptr_array_unref (service->tiers);
  ver_clear (&service->versions);
  g_hash_table_unref (service->presences);
  g_hash_table_unref (service->settled);
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
  g_free (job->version);
  g_free (job->connected);
  g_free (job);
}

Sched *
sched_new (FtClock *clock, const SchedOps *ops, void *host)
{
  Sched *sched = g_new0 (Sched, 1);

  sched->clock = clock;
  sched->ops = ops;
  sched->host = host;
  sched->share = sched->rate_share = 1;
  sched->weights = shr_weights_new ();
  sched->grant_share = SCHED_UNBOUNDED;
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
get_service (Sched *sched, const char *name)
{
  Service *service = g_hash_table_lookup (sched->services, name);

  if (service)
    return service;
  service = g_new0 (Service, 1);
  service->name = g_strdup (name);
  service->conf.stride = 1; /* until sched_set_service */
  service->weights = sched->fair ? sched->weights : NULL;
  curve_init (&service->curve);
  ver_init (&service->versions);
  service->presences = fresh_presences_new ();
  service->settled = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  service->tiers = g_ptr_array_new_with_free_func (wait_tier_free);
  CDS_INIT_LIST_HEAD (&service->servers);
  CDS_INIT_LIST_HEAD (&service->bound);
  g_hash_table_insert (sched->services, service->name, service);
  return service;
}

void
sched_set_service (Sched *sched, const char *name, const SchedServiceConf *conf)
{
  Service *service = get_service (sched, name);

  service->conf = *conf;
  if (service->conf.stride == 0)
    service->conf.stride = 1;
}

static void
replace_string (char **field, const char *text)
{
  char *copy = g_strdup (text);

  g_free (*field);
  *field = copy;
}

void
sched_set_versions (Sched *sched, const char *name, const SchedVersions *from)
{
  Service *service = get_service (sched, name);
  Versions *versions = &service->versions;

  if (*from->in_use)
    replace_string (&versions->in_use, from->in_use);
  replace_string (&versions->other, from->other);
  if (strcmp (versions->ordered, from->ordered) != 0)
    {
      versions->placed = versions->granted = 0;
      g_hash_table_remove_all (versions->route_answer_us);
    }
  replace_string (&versions->ordered, from->ordered);
  versions->share = from->share;
  versions->left = from->left;
  versions->follows = from->follows;
  versions->watched = from->watched;
  versions->keeps = from->keeps;
  ver_assign (sched, service);
  service->summary.until = 0;
}

void
sched_set_in_use (Sched *sched, const char *name, const char *version)
{
  ver_set_in_use (sched, get_service (sched, name), version);
}

const char *
sched_get_in_use (const Sched *sched, const char *name)
{
  const Service *service = g_hash_table_lookup (sched->services, name);

  return service ? service->versions.in_use : "";
}

void
sched_settle_version (Sched *sched, const char *name, const char *version)
{
  fresh_settle (get_service (sched, name), version);
}

bool
sched_streams_begin_soon (const Sched *sched, const char *name, const char *version)
{
  const Service *service = g_hash_table_lookup (sched->services, name);

  return service && fresh_begins_soon (service, version, ft_clock_now (sched->clock));
}

void
sched_set_all_versions (Sched *sched, bool on)
{
  GHashTableIter iter;
  gpointer value;

  sched->all_versions = on;
  g_hash_table_iter_init (&iter, sched->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ver_assign (sched, value);
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
  sched->grant_share = part;
  sched->others_unknown = guessed;
}

/* ---- Servers ---- */

uint32_t
sched_server_digest (const char *id)
{
  return g_str_hash (id);
}

static Server *
server_new (Sched *sched, const SchedServer *from, int64_t now)
{
  Server *server = g_new0 (Server, 1);

  server->id = g_strdup (from->id);
  server->domain = g_strdup (from->domain);
  server->version = g_strdup (from->version ? from->version : "");
  server->slots = MAX (from->slots, 1);
  server->service = get_service (sched, from->service);
  CDS_INIT_LIST_HEAD (&server->runs);
  cds_list_add_tail (&server->link, &server->service->servers);
  g_hash_table_insert (sched->servers, server->id, server);
  g_hash_table_replace (sched->by_digest, GUINT_TO_POINTER (sched_server_digest (server->id)),
                        server);
  brit_init_server (server, now);
  return server;
}

/* ---- State changes of a job ---- */

void
sched_start_job (Job *job, Server *server, int64_t now)
{
  ver_note_grant (job, server, now);
  cds_list_del_init (&job->bound_link);
  job->server = server;
  job->granted_at = now;
  job->prompt_us = est_prompt_us (server, job->ask.prompt_tokens);
  job->sole_prompt = server->pending == 0;
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
note_first_event (Job *job, int64_t now)
{
  Server *server = job->server;

  if (job->got_first_event)
    return;
  job->got_first_event = true;
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

  note_first_event (job, now);
  cds_list_del (&job->link);
  server->running--;
  server->service->running--;
  server->tokens -= job->ask.prompt_tokens + job->ask.output_tokens;
  job->server = NULL;
}

void
sched_remove_job (Sched *sched, Job *job, int64_t now)
{
  cds_list_del_init (&job->bound_link);
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

/* ---- New requests ---- */

static Job *
job_new (Sched *sched, const SchedAsk *ask)
{
  Job *job = g_new0 (Job, 1);

  job->key = (SchedKey){ ask->owner, ask->request };
  job->service = get_service (sched, ask->service);
  job->ask = *ask;
  job->ask.service = job->ask.org = job->ask.avoid = job->ask.version = NULL;
  job->ask.kept = NULL;
  job->ask.kept_count = MIN (ask->kept_count, SCHED_CONNECTED_MAX);
  job->connected = g_memdup2 (ask->kept, job->ask.kept_count * sizeof *ask->kept);
  job->org = g_strdup (ask->org ? ask->org : "");
  job->avoid = ask->avoid && *ask->avoid ? g_strdup (ask->avoid) : NULL;
  job->version = ask->version && *ask->version ? g_strdup (ask->version) : NULL;
  CDS_INIT_LIST_HEAD (&job->bound_link);
  job->work_us = est_work_us (sched, job->service, ask);
  g_hash_table_insert (sched->jobs, &job->key, job);
  return job;
}

/* Inserts the job in order of tier and due time, if only one version may run it. */
static void
add_bound (Job *job)
{
  struct cds_list_head *head = &job->service->bound, *at = head->prev;

  if (job->version == NULL)
    return;
  for (; at != head; at = at->prev)
    {
      const Job *before = cds_list_entry (at, Job, bound_link);
      if (before->ask.tier < job->ask.tier
          || (before->ask.tier == job->ask.tier && before->ask.aim_at <= job->ask.aim_at))
        break;
    }
  cds_list_add (&job->bound_link, at);
}

bool
sched_any_usable (const Job *job, int64_t now, const char *avoid)
{
  const Server *server;

  cds_list_for_each_entry (server, &job->service->servers, link)
  {
    if (server->listed && !server->leaving && ver_permits (job, server)
        && !fresh_is_withheld (job, server) && now + OUT_MAX > server->out_until
        && (avoid == NULL || strcmp (avoid, server->id) != 0))
      return true;
  }
  return false;
}

bool
sched_ask (Sched *sched, const SchedAsk *ask)
{
  SchedKey key = { ask->owner, ask->request };
  int64_t now = ft_clock_now (sched->clock);

  if (g_hash_table_contains (sched->jobs, &key))
    return true;
  Job *job = job_new (sched, ask);
  Service *service = job->service;
  WaitAhead ahead = wait_ahead (sched, job, now);
  wait_note_arrival (job, now);
  admit_note_return (sched, job);
  wait_add (job, now);
  add_bound (job);
  if (!est_can_fit (service, ask))
    {
      admit_refuse (sched, job, FT_REASON_TOO_LARGE, INFINITY, now);
      return false;
    }
  ver_mark_request (job);
  if (!disp_place_on_trial (sched, job, now))
    disp_queues (sched, service, now);
  if (job->server)
    {
      wait_note_timely (job, true);
      return false;
    }
  if (job->avoid && !sched_any_usable (job, now, job->avoid))
    {
      /* A server that has failed the request once is better than none. */
      g_clear_pointer (&job->avoid, g_free);
      if (disp_place (sched, job, now))
        return false;
    }
  /* After a start of the whole system, requests arrive before the first list of servers. They wait
   * instead of being refused for lack of a server. */
  if (!sched->listed)
    return true;
  int64_t opens_at = boff_earliest_end (job, now);
  if (opens_at > now)
    return admit_in_backoff (sched, job, opens_at, now);
  if (!sched_any_usable (job, now, NULL))
    {
      admit_refuse (sched, job, job->version ? FT_REASON_VERSION_GONE : FT_REASON_NO_SERVER, 1e6,
                    now);
      return false;
    }
  return admit_new (sched, job, &ahead, now);
}

void
sched_adopt (Sched *sched, const SchedAsk *ask, const char *id)
{
  SchedKey key = { ask->owner, ask->request };
  int64_t now = ft_clock_now (sched->clock);
  Server *server = g_hash_table_lookup (sched->servers, id);
  Job *job = g_hash_table_lookup (sched->jobs, &key);

  if (job && job->server)
    return;
  if (server == NULL)
    server = server_new (sched, &(SchedServer){ .id = id, .service = ask->service, .domain = "" },
                         now);
  if (job)
    wait_serve (job, now);
  else
    job = job_new (sched, ask);
  sched_start_job (job, server, now);
  job->adopted = true;
  note_first_event (job, now);
  brit_note_adopted (server, now);
}

/* ---- Progress and end of requests ---- */

void
sched_first_event (Sched *sched, uint64_t owner, uint64_t request, int64_t after_us)
{
  SchedKey key = { owner, request };
  int64_t now = ft_clock_now (sched->clock);
  Job *job = g_hash_table_lookup (sched->jobs, &key);

  if (job == NULL || job->server == NULL || job->got_first_event)
    return;
  Server *server = job->server;
  server->answered_at = now;
  ver_note_first (sched, job, after_us);
  note_first_event (job, now);
  brit_note_success (sched, server, now);
  if (!job->service->conf.engine || !job->sole_prompt || job->ask.prompt_tokens < LEARN_TOKENS_MIN)
    return;
  double token = est_token_us (server);
  double prefill = MAX ((double) after_us - NETWORK_US - token, 0.2 * (double) after_us);
  curve_learn (&job->service->curve, &server->prompt_unit, job->ask.prompt_tokens, token, prefill);
}

bool
sched_granted_after (const Server *server, const Job *job, int64_t at)
{
  return job && job->server == server && !job->adopted && job->granted_at > at;
}

/* Applies the parts of a notice that do not depend on which request was answered. */
static void
apply_notice (Sched *sched, uint64_t owner, Server *server, const Notice *notice, int64_t now)
{
  boff_note (server, owner, notice->backoff_us, now);
  if (!notice->leaving || server->announced_leaving)
    return;
  server->leaving = server->announced_leaving = true;
  server->service->summary.until = 0;
  sched->ops->server_state (sched->host, server->id, true, "announced that it is leaving", 0);
}

void
sched_notice (Sched *sched, uint64_t owner, uint64_t request, const char *id, const Notice *notice)
{
  SchedKey key = { owner, request };
  int64_t now = ft_clock_now (sched->clock);
  Server *server = g_hash_table_lookup (sched->servers, id);
  const Job *job = g_hash_table_lookup (sched->jobs, &key);

  if (server == NULL)
    return;
  apply_notice (sched, owner, server, notice, now);
  pace_apply_notice (sched, server, job, notice->rate, now);
  brit_apply_notice (server, job, notice->brittleness, now);
}

void
sched_older_notice (Sched *sched, uint64_t owner, const char *id, const Notice *notice, int64_t age)
{
  int64_t now = ft_clock_now (sched->clock);
  Server *server = g_hash_table_lookup (sched->servers, id);

  if (server == NULL)
    return;
  apply_notice (sched, owner, server, notice, now);
  pace_apply_older_notice (sched, server, notice->rate, age, now);
  brit_apply_older_notice (server, notice->brittleness, now);
}

void
sched_silent (Sched *sched, uint64_t owner, uint64_t request)
{
  SchedKey key = { owner, request };
  Job *job = g_hash_table_lookup (sched->jobs, &key);

  if (job && job->server)
    health_note_silence (sched, job->server, job->granted_at, ft_clock_now (sched->clock));
}

void
sched_done (Sched *sched, uint64_t owner, uint64_t request, const SchedResult *result)
{
  SchedKey key = { owner, request };
  int64_t now = ft_clock_now (sched->clock);
  Job *job = g_hash_table_lookup (sched->jobs, &key);

  if (job == NULL)
    return;
  Service *service = job->service;
  Server *server = job->server;
  int64_t granted_at = job->granted_at;
  if (server)
    ver_note_end (sched, job, result, now);
  if (server && result->outcome == SCHED_OK && !job->got_first_event)
    {
      note_first_event (job, now);
      brit_note_success (sched, server, now);
    }
  sched_remove_job (sched, job, now);
  if (server && result->broke)
    est_note_broken (server, result->conn_idle_us > 0, now);
  if (server)
    health_update (sched, server, result, granted_at, now);
  if (server && result->outcome == SCHED_REJECTED)
    brit_note_rejection (sched, server, now);
  disp_queues (sched, service, now);
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

/* ---- Server list ---- */

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
invalidate_summaries (Sched *sched)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Service *) value)->summary.until = 0;
}

void
sched_set_list_time (Sched *sched, int64_t received_at)
{
  sched->received_at = received_at;
}

void
sched_keep_servers (Sched *sched)
{
  GHashTableIter iter;
  gpointer value;
  int64_t at = MAX (sched->received_at, ft_clock_now (sched->clock));

  g_hash_table_iter_init (&iter, sched->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    fresh_note_list (value, at);
  invalidate_summaries (sched);
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
        server = server_new (sched, &servers[i], now);
      else if (*server->version == '\0' && servers[i].version)
        replace_string (&server->version, servers[i].version);
      server->listed = true;
      server->leaving = servers[i].leaving || server->announced_leaving;
      server->slots = MAX (servers[i].slots, 1);
      server->cold_until = now + servers[i].cold_us;
    }
  g_hash_table_foreach_remove (sched->servers, drop_unlisted, sched);
  g_hash_table_iter_init (&iter, sched->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ver_assign (sched, value);
  sched_keep_servers (sched);
  sched->listed = true;
  sched_tick (sched);
}

/* ---- Timer ---- */

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
      brit_tick (sched, service, now);
      if (disp_count_waiting (service) == 0) /* spares idle services the count over all servers */
        continue;
      disp_queues (sched, service, now);
      disp_count_open (sched, service, now);
      admit_review (sched, service, now);
    }
  if (sched->returns)
    ret_expire (sched->returns);
}
