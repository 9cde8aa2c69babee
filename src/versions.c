/* versions.c - which versions of a service's servers get requests, and verdicts on their answers.
 *
 * Where versions are moved by order, one version is in use (elsewhere all are,
 * sched_set_all_versions). Another version gets nothing new, although its servers are listed, until
 * a roll-out orders it and gives it a share. It is then on trial and gets that share of each
 * route's requests. They are concentrated on few servers, but more than one, so that these are as
 * loaded as all servers will be later: a version that fails under load shows it while few callers
 * are affected.
 *
 * What two versions write does not fit together, so a stream goes on only at the version that began
 * it, in use or not (ver_permits). Only a version that was rolled back, or whose servers are about
 * to stop, does not get its streams back.
 *
 * Each answer gets one verdict, by the same rule for both versions. It is bad if it failed or took
 * more than SLOW_FACTOR the time expected of the previous version. That expectation uses the mean
 * speeds of the previous version's servers, and allows for the length of the prompt and the work
 * pending on the server. An overdue answer is bad at once.
 *
 * If the machine becomes busy during a trial, answers of both versions slow down, and a sound
 * version would be rejected by the few answers that are checked first. So an answer that seems slow
 * is also compared with answers of the previous version that were placed after it, of the same
 * route if there are any. The median of their times is used; running requests count with their time
 * so far.
 */
#include "schedint.h"

#include <string.h>

/* Tuning constants. */
#define SLOW_FACTOR 2.5 /* servers of one version may take twice their mean, seldom more */
/* microseconds on top of that, since lost packets delay short answers */
#define SLOW_MARGIN_US 30000.0
#define CREDIT_MAX     1.5 /* upper bound of a route's credit, against bursts after a gap */
#define LONGEST_SPAN   (6 * FT_SECOND) /* the longest answer is kept for one to two spans */

void
ver_init (Versions *versions)
{
  versions->in_use = g_strdup ("");
  versions->other = g_strdup ("");
  versions->ordered = g_strdup ("");
  versions->credit = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  versions->route_answer_us = g_hash_table_new_full (NULL, NULL, NULL, g_free);
}

void
ver_clear (Versions *versions)
{
  g_free (versions->in_use);
  g_free (versions->other);
  g_free (versions->ordered);
  g_hash_table_unref (versions->credit);
  g_hash_table_unref (versions->route_answer_us);
}

/* ---- Versions that get requests ---- */

static bool
is_other (const Versions *versions, const char *version)
{
  return *versions->other && strcmp (versions->other, version) == 0;
}

/* A leaving server is listed until it has gone, but gets nothing new. */
static bool
is_live (const Server *server)
{
  return server->listed && !server->leaving;
}

static bool
has_live_server (const Service *service, const char *version)
{
  const Server *server;

  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (is_live (server) && strcmp (server->version, version) == 0)
      return true;
  }
  return false;
}

/* The version of most live servers, except the other one; NULL: there is none. Of two equally
 * frequent versions the lower name is taken, which is the older one where names count up. Runs in
 * one pass, since a list may hold thousands of servers. */
static const char *
most_live_version (const Service *service)
{
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
  const Server *server, *best = NULL;
  unsigned most = 0;

  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (!is_live (server) || is_other (&service->versions, server->version))
      continue;
    unsigned count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, server->version)) + 1;
    g_hash_table_insert (counts, server->version, GUINT_TO_POINTER (count));
    if (best == NULL || count > most
        || (count == most && strcmp (server->version, best->version) < 0))
      {
        best = server;
        most = count;
      }
  }
  g_hash_table_unref (counts);
  return best ? best->version : NULL;
}

/* The other version if it has a live server; otherwise NULL. */
static const char *
live_other (const Service *service)
{
  const Server *server;

  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (is_live (server) && is_other (&service->versions, server->version))
      return server->version;
  }
  return NULL;
}

static void
change_in_use (const Sched *sched, Service *service, const char *version)
{
  Versions *versions = &service->versions;
  char *copy = g_strdup (version);

  if (sched->ops->version_changed)
    sched->ops->version_changed (sched->host, service->name, versions->in_use, copy);
  g_free (versions->in_use);
  versions->in_use = copy;
}

/* Keeps the version in use as long as it has a live server, or no other has one. The list may show
 * servers of a version that nobody ordered, or whose order has not arrived yet. If these got
 * requests, a bad version could reach hundreds of callers. */
static void
choose_in_use (const Sched *sched, Service *service)
{
  Versions *versions = &service->versions;

  if (*versions->in_use && has_live_server (service, versions->in_use))
    return;
  const char *next = most_live_version (service);
  if (next == NULL && versions->follows)
    next = live_other (service);
  if (next)
    change_in_use (sched, service, next);
}

void
ver_assign (const Sched *sched, Service *service)
{
  Versions *versions = &service->versions;
  bool trial = versions->share > 0;
  Server *server;

  choose_in_use (sched, service);
  versions->all_in_use = sched->all_versions && *versions->ordered == '\0';
  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (versions->all_in_use || strcmp (server->version, versions->in_use) == 0)
      server->use = USE_ALL;
    else
      server->use = trial && is_other (versions, server->version) ? USE_ON_TRIAL : USE_NONE;
  }
}

void
ver_set_in_use (const Sched *sched, Service *service, const char *version)
{
  const Versions *versions = &service->versions;

  if (*versions->ordered || strcmp (versions->in_use, version) == 0
      || (most_live_version (service) && !has_live_server (service, version)))
    return;
  change_in_use (sched, service, version);
  ver_assign (sched, service);
}

/* ---- Streams that go on ---- */

bool
ver_permits (const Job *job, const Server *server)
{
  const Versions *versions = &job->service->versions;

  if (job->version == NULL)
    return server->use == USE_ALL;
  if (strcmp (job->version, server->version) != 0)
    return false;
  if (server->use == USE_ON_TRIAL)
    return versions->left > 0;
  return server->use == USE_ALL || versions->keeps || !is_other (versions, server->version);
}

bool
ver_waits_apart (const Job *job)
{
  const Versions *versions = &job->service->versions;

  return job->version && !versions->all_in_use && strcmp (job->version, versions->in_use) != 0;
}

/* ---- Requests for the version on trial ---- */

void
ver_mark_request (Job *job)
{
  Versions *versions = &job->service->versions;
  gpointer route = GUINT_TO_POINTER (job->ask.route);

  if (versions->share <= 0 || versions->left == 0 || job->avoid || job->version)
    return;
  double *credit = g_hash_table_lookup (versions->credit, route);
  if (credit == NULL)
    {
      credit = g_new0 (double, 1);
      g_hash_table_insert (versions->credit, route, credit);
    }
  *credit = MIN (*credit + versions->share, CREDIT_MAX);
  job->for_trial = *credit >= 1;
}

/* True if a request on trial is placed on one rather than on other. While one server could hold all
 * requests of the trial, the servers take turns (in_turn): with a single server, a bad version
 * could not be told from a bad server. Otherwise the fuller server goes first. */
static bool
is_preferred (const Server *one, const Server *other, bool in_turn)
{
  if (other == NULL)
    return true;
  return in_turn ? one->trial_requests < other->trial_requests : one->running > other->running;
}

static bool
one_server_suffices (const Service *service)
{
  const Server *server;
  unsigned running = 0, least = G_MAXUINT;

  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (server->use != USE_ON_TRIAL)
      continue;
    running += server->running;
    least = MIN (least, server->slots);
  }
  return running < least;
}

Server *
ver_choose (const Sched *sched, const Job *job, int64_t now)
{
  Versions *versions = &job->service->versions;
  bool in_turn = one_server_suffices (job->service);
  Server *server, *best = NULL;

  cds_list_for_each_entry (server, &job->service->servers, link)
  {
    unsigned most = server->probing ? 1 : est_places (sched, server);
    if (server->use != USE_ON_TRIAL || !server->listed || server->leaving || now < server->out_until
        || server->running >= most || !pace_has_token (sched, server, now)
        || !brit_permits (sched, server, now) || !boff_permits (server, job->key.owner, now)
        || !est_fits_memory (sched, server, &job->ask) || fresh_is_withheld (job, server))
      continue;
    if (is_preferred (server, best, in_turn))
      best = server;
  }
  double *credit = g_hash_table_lookup (versions->credit, GUINT_TO_POINTER (job->ask.route));
  if (best == NULL || credit == NULL)
    return NULL;
  *credit -= 1;
  versions->left--;
  best->trial_requests++;
  return best;
}

/* ---- Verdicts on answers ---- */

static bool
is_ordered (const Versions *versions, const Server *server)
{
  return *versions->ordered && strcmp (versions->ordered, server->version) == 0;
}

/* Updates the mean speeds of the previous version: of all servers without the ordered version. Once
 * the ordered version is in use, the learned speeds are kept.
 *
 * If another voter takes over during the roll-out, its scheduler has seen no answer of the previous
 * version. Compared with default speeds, a sound version whose events are less frequent would be
 * rolled back. So no answer counts as slow before the previous version has answered. */
static void
learn_speeds (const Sched *sched, Service *service)
{
  Versions *versions = &service->versions;
  const Server *server;
  double token = 0, unit = 0, answer = 0;
  unsigned tokens = 0, units = 0, answers = 0;

  if (versions->measured && strcmp (versions->in_use, versions->ordered) == 0)
    return;
  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (is_ordered (versions, server))
      continue;
    token += server->token_us;
    tokens += server->token_us > 0;
    unit += server->prompt_unit;
    units += server->prompt_unit > 0;
    answer += server->answer_us;
    answers += server->answer_us > 0;
  }
  versions->measured = tokens > 0;
  versions->token_us = tokens ? token / tokens : est_summary (sched, service)->mean_token_us;
  versions->unit = units ? unit / units : versions->token_us * service->curve.unit_ratio;
  versions->answer_us = answers ? answer / answers : est_summary (sched, service)->min_answer_us;
}

/* Expected time of a plain answer, learned for each route. If routes took 20 ms and 160 ms and all
 * were expected to take their common mean, answers of the long route would seem slow on either
 * version. Once the previous version gets no requests, they would make a sound version be rejected.
 */
static double
expect_plain_us (const Versions *versions, unsigned route)
{
  const double *route_us
      = g_hash_table_lookup (versions->route_answer_us, GUINT_TO_POINTER (route));

  return route_us ? NETWORK_US + MAX (versions->answer_us, *route_us) : 0;
}

static double
expect_engine_us (const Job *job, const Server *server, int64_t now)
{
  const Versions *versions = &job->service->versions;
  const Curve *curve = &job->service->curve;
  double ahead = (double) MAX (0, server->prompts_until - now);
  double own = curve_units (curve, job->ask.prompt_tokens) * versions->unit;

  return versions->measured ? NETWORK_US + curve->latency_us + ahead + own + versions->token_us : 0;
}

void
ver_note_grant (Job *job, const Server *server, int64_t now)
{
  Versions *versions = &job->service->versions;

  versions->placed++;
  versions->granted += is_ordered (versions, server);
  if (job->version && server->use == USE_ON_TRIAL && versions->left > 0)
    versions->left--;
  job->expected_us = job->adjusted_us = job->service->conf.engine
                                            ? expect_engine_us (job, server, now)
                                            : expect_plain_us (versions, job->ask.route);
}

static void
learn_route_time (Job *job, int64_t took_us)
{
  Versions *versions = &job->service->versions;
  gpointer route = GUINT_TO_POINTER (job->ask.route);

  if (!versions->watched || is_ordered (versions, job->server) || took_us <= 0)
    return;
  double *route_us = g_hash_table_lookup (versions->route_answer_us, route);
  if (route_us == NULL)
    {
      route_us = g_new0 (double, 1);
      g_hash_table_insert (versions->route_answer_us, route, route_us);
    }
  est_learn (route_us, (double) took_us);
}

static void
report_verdict (const Sched *sched, Job *job, bool bad)
{
  const Versions *versions = &job->service->versions;
  SchedVerdict judged = { .service = job->service->name,
                          .server = job->server->id,
                          .route = job->ask.route,
                          .ordered = is_ordered (versions, job->server),
                          .bad = bad };

  if (job->judged || !versions->watched || sched->ops->judged == NULL)
    return;
  job->judged = true;
  sched->ops->judged (sched->host, &judged);
}

/* ---- Concurrent answers of the previous version ---- */

static void
record_baseline (const Job *job, int64_t after_us)
{
  Versions *versions = &job->service->versions;
  Baseline *baseline = &versions->baselines[versions->baseline_count % BASELINES_MAX];

  if (!versions->watched || is_ordered (versions, job->server) || job->expected_us <= 0)
    return;
  *baseline = (Baseline){ job->ask.route, job->granted_at, (double) after_us / job->expected_us };
  versions->baseline_count++;
}

static int
compare_doubles (const void *one, const void *other)
{
  double a = *(const double *) one, b = *(const double *) other;

  return (a > b) - (a < b);
}

/* 0 if there are no values. */
static double
median (GArray *values)
{
  if (values->len == 0)
    return 0;
  g_array_sort (values, compare_doubles);
  return g_array_index (values, double, values->len / 2);
}

static void
add_answered (const Job *job, bool same_route, GArray *values)
{
  const Versions *versions = &job->service->versions;

  for (unsigned i = 0; i < MIN (versions->baseline_count, BASELINES_MAX); i++)
    {
      const Baseline *baseline = &versions->baselines[i];
      if (baseline->granted_at >= job->granted_at
          && (!same_route || baseline->route == job->ask.route))
        g_array_append_val (values, baseline->ratio);
    }
}

/* Adds running requests that already take longer than expected. */
static void
add_overdue (const Job *job, bool same_route, int64_t now, GArray *values)
{
  const Service *service = job->service;
  const Server *server;
  const Job *other;

  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (is_ordered (&service->versions, server))
      continue;
    cds_list_for_each_entry (other, &server->runs, link)
    {
      double so_far = (double) (now - other->granted_at);
      bool waits = !other->got_first_event || !service->conf.engine;
      if (other == job || !waits || other->expected_us <= 0 || other->granted_at < job->granted_at
          || so_far <= other->expected_us || (same_route && other->ask.route != job->ask.route))
        continue;
      double ratio = so_far / other->expected_us;
      g_array_append_val (values, ratio);
    }
  }
}

static double
median_ratio (const Job *job, bool same_route, int64_t now)
{
  GArray *values = g_array_new (FALSE, FALSE, sizeof (double));

  add_answered (job, same_route, values);
  add_overdue (job, same_route, now, values);
  double ratio = median (values);
  g_array_unref (values);
  return ratio;
}

/* Median time of answers of the previous version that were placed after the job, relative to their
 * expected time; 0: there are none.
 */
static double
baseline_ratio (const Job *job, int64_t now)
{
  double ratio = median_ratio (job, true, now);

  return ratio > 0 ? ratio : median_ratio (job, false, now);
}

static bool
exceeds (double after_us, double allowed_us)
{
  return after_us > SLOW_FACTOR * allowed_us + SLOW_MARGIN_US;
}

/* adjusted_us grows with the times of concurrent answers, so the comparison runs only a few times
 * for each job. Servers that announced a warm-up time are exempt during it. */
static bool
is_slow (Job *job, int64_t after_us, int64_t now)
{
  const Versions *versions = &job->service->versions;
  double after = (double) after_us;

  if (job->judged || job->expected_us <= 0 || job->granted_at < job->server->cold_until
      || !exceeds (after, job->adjusted_us))
    return false;
  if (versions->watched)
    job->adjusted_us = MAX (job->adjusted_us, baseline_ratio (job, now) * job->expected_us);
  return exceeds (after, job->adjusted_us);
}

/* ---- Progress of a request ---- */

void
ver_note_first (const Sched *sched, Job *job, int64_t after_us)
{
  if (is_slow (job, after_us, ft_clock_now (sched->clock)))
    report_verdict (sched, job, true);
  if (job->service->conf.engine)
    record_baseline (job, after_us);
}

static void
note_longest (Versions *versions, int64_t took_us, int64_t now)
{
  if (now - versions->span_at > LONGEST_SPAN)
    {
      versions->longest_us[1] = versions->longest_us[0];
      versions->longest_us[0] = 0;
      versions->span_at = now;
    }
  versions->longest_us[0] = MAX (versions->longest_us[0], took_us);
}

void
ver_note_end (const Sched *sched, Job *job, const SchedResult *result, int64_t now)
{
  const Service *service = job->service;
  double event = service->versions.measured ? service->versions.token_us * service->conf.stride : 0;

  if (result->outcome == SCHED_FAILED)
    report_verdict (sched, job, true);
  if (result->outcome != SCHED_OK)
    return;
  note_longest (&job->service->versions, now - job->granted_at, now);
  report_verdict (sched, job,
                  service->conf.engine
                      ? event > 0 && (double) result->event_us > SLOW_FACTOR * event
                      : is_slow (job, result->answer_us, now));
  if (service->conf.engine)
    return;
  record_baseline (job, result->answer_us);
  learn_route_time (job, result->answer_us);
}

void
ver_check_overdue (const Sched *sched, Service *service, int64_t now)
{
  Server *server;
  Job *job;

  if (!service->versions.watched)
    return;
  learn_speeds (sched, service);
  cds_list_for_each_entry (server, &service->servers, link)
  {
    cds_list_for_each_entry (job, &server->runs, link)
    {
      if (!job->got_first_event && is_slow (job, now - job->granted_at, now))
        report_verdict (sched, job, true);
    }
  }
}

/* ---- Statistics for roll-outs ---- */

static void
count_server (const Server *server, SchedVersionStats *stats)
{
  stats->running += server->running;
  if (!server->listed || server->leaving)
    return;
  stats->servers++;
  stats->places += server->slots;
}

static void
count_previous (const Server *server, SchedServiceStats *stats)
{
  const Job *job;

  stats->running_before += server->running;
  cds_list_for_each_entry (job, &server->runs, link) { stats->once_before += !job->ask.repeatable; }
}

void
sched_service_stats (Sched *sched, const char *name, SchedServiceStats *stats)
{
  const Service *service = g_hash_table_lookup (sched->services, name);
  const Server *server;

  memset (stats, 0, sizeof *stats);
  if (service == NULL)
    return;
  const Versions *versions = &service->versions;
  g_strlcpy (stats->in_use, versions->in_use, sizeof stats->in_use);
  stats->placed = versions->placed;
  stats->granted = versions->granted;
  stats->longest_us = MAX (versions->longest_us[0], versions->longest_us[1]);
  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (server->use == USE_ALL)
      count_server (server, &stats->used);
    if (is_ordered (versions, server))
      count_server (server, &stats->ordered);
    else
      count_previous (server, stats);
  }
}
