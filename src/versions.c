/* versions.c - which version of a service's servers gets requests, and what answers say of it.
 *
 * One version is in use. Another one gets nothing, although its servers are listed, until it is
 * ordered and given a share; then every so many requests of each route go there, so that each route
 * is tried in proportion. They are packed on as few servers as hold them, but more than one, so
 * that these are loaded as all will be later: a version that fails under load shows it while few
 * callers meet it.
 *
 * Each answer is judged once, on both versions alike: it is bad if it is a failure or takes
 * SLOW_FACTOR as long as the version before would, by the mean of its servers, with the prompt's
 * length and the work ahead on the server taken out. An answer that is overdue is bad at once.
 *
 * Failure: the machine becomes busy during a trial, and answers of both versions take longer.
 * Symptom: those that were placed before it are all bad, and a sound version is condemned by the
 * few that are looked at before others tell of the load. So an answer that looks slow is compared
 * with answers of the version before, of the same route if there are any, that were placed since it
 * was: with the median of their times, and for those still under way with the time so far.
 */
#include "schedint.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define SLOW_FACTOR    2.5 /* servers of one version differ by twice their mean, seldom by more */
#define SLOW_MARGIN_US 30000.0 /* microseconds beyond that: short answers vary by lost packets */
#define CREDIT_MAX     1.5     /* requests of a route that are due at once: no burst after a gap */
#define SPAN           (6 * FT_SECOND) /* over which the longest answer is kept, twice at most */

void
ver_init (Versions *versions)
{
  versions->in_use = g_strdup ("");
  versions->other = g_strdup ("");
  versions->ordered = g_strdup ("");
  versions->credit = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  versions->usual = g_hash_table_new_full (NULL, NULL, NULL, g_free);
}

void
ver_clear (Versions *versions)
{
  g_free (versions->in_use);
  g_free (versions->other);
  g_free (versions->ordered);
  g_hash_table_unref (versions->credit);
  g_hash_table_unref (versions->usual);
}

/* ---- Who gets requests ---- */

static bool
is_other (const Versions *versions, const char *version)
{
  return *versions->other && strcmp (versions->other, version) == 0;
}

static bool
is_listed (const Service *service, const char *version)
{
  const Server *server;

  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (server->listed && strcmp (server->version, version) == 0)
      return true;
  }
  return false;
}

/* The version of most listed servers, the other one left out; of two alike the lesser name, which
 * is the older one where names count up. In one pass: a list may hold thousands. */
static const char *
commonest (const Service *service)
{
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
  const Server *server, *best = NULL;
  unsigned most = 0;

  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (!server->listed || is_other (&service->versions, server->version))
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

/* The other version, if a server of it is listed. */
static const char *
listed_other (const Service *service)
{
  const Server *server;

  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (server->listed && is_other (&service->versions, server->version))
      return server->version;
  }
  return NULL;
}

/* Failure: servers of a version that nobody ordered stand in the list, or an order's own before the
 * order has come. Symptom: they get requests, and a bad version meets callers by the hundred. The
 * version that is in use stays so while a server of it is listed. */
static void
choose_in_use (Service *service)
{
  Versions *versions = &service->versions;

  if (*versions->in_use && is_listed (service, versions->in_use))
    return;
  const char *next = commonest (service);
  if (next == NULL && versions->follows)
    next = listed_other (service);
  if (next == NULL)
    return;
  char *copy = g_strdup (next);
  g_free (versions->in_use);
  versions->in_use = copy;
}

void
ver_assign (Service *service)
{
  Versions *versions = &service->versions;
  bool tried = versions->share > 0;
  Server *server;

  choose_in_use (service);
  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (strcmp (server->version, versions->in_use) == 0)
      server->use = USE_ALL;
    else
      server->use = tried && is_other (versions, server->version) ? USE_ON_TRIAL : USE_NONE;
  }
}

/* ---- Requests that are due to the version that is tried ---- */

void
ver_mark_request (Job *job)
{
  Versions *versions = &job->service->versions;
  gpointer route = GUINT_TO_POINTER (job->ask.route);

  if (versions->share <= 0 || versions->left == 0 || job->avoid)
    return;
  double *credit = g_hash_table_lookup (versions->credit, route);
  if (credit == NULL)
    {
      credit = g_new0 (double, 1);
      g_hash_table_insert (versions->credit, route, credit);
    }
  *credit = MIN (*credit + versions->share, CREDIT_MAX);
  job->tried = *credit >= 1;
}

/* Failure: all of a trial fits one server, and it goes there. Symptom: what that server shows may
 * be its own fault, so a bad version is never told from a bad server. As long as one would hold all
 * that runs, servers take turns. */
static bool
goes_before (const Server *one, const Server *other, bool in_turn)
{
  if (other == NULL)
    return true;
  return in_turn ? one->tried < other->tried : one->running > other->running;
}

static bool
fits_one (const Service *service)
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
  bool in_turn = fits_one (job->service);
  Server *server, *best = NULL;

  cds_list_for_each_entry (server, &job->service->servers, link)
  {
    unsigned most = server->trial ? 1 : est_places (sched, server);
    if (server->use != USE_ON_TRIAL || !server->listed || server->leaving || now < server->out_until
        || server->running >= most || !pace_has_token (sched, server, now)
        || !boff_permits (server, job->key.owner, now)
        || !est_fits_memory (sched, server, &job->ask))
      continue;
    if (goes_before (server, best, in_turn))
      best = server;
  }
  double *credit = g_hash_table_lookup (versions->credit, GUINT_TO_POINTER (job->ask.route));
  if (best == NULL || credit == NULL)
    return NULL;
  *credit -= 1;
  versions->left--;
  best->tried++;
  return best;
}

/* ---- What answers say ---- */

static bool
is_ordered (const Versions *versions, const Server *server)
{
  return *versions->ordered && strcmp (versions->ordered, server->version) == 0;
}

/* Speeds of the version before: of all servers but the ordered ones. When these have the requests
 * alone, what was learned until then stays.
 *
 * Failure: another voter takes charge in the move, and its scheduler has seen no answer of the
 * version before. Symptom: answers are compared with what is assumed of unknown servers, and a
 * sound version whose events come less often is rolled back. Until the version before has answered
 * nothing is slow. */
static void
learn_speeds (const Sched *sched, Service *service)
{
  Versions *versions = &service->versions;
  const Server *server;
  double token = 0, unit = 0, answer = 0;
  unsigned tokens = 0, units = 0, answers = 0;

  if (versions->known && strcmp (versions->in_use, versions->ordered) == 0)
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
  versions->known = tokens > 0;
  versions->token_us = tokens ? token / tokens : est_summary (sched, service)->mean_token_us;
  versions->unit = units ? unit / units : versions->token_us * service->curve.each;
  versions->answer_us = answers ? answer / answers : est_summary (sched, service)->min_answer_us;
}

/* Failure: routes of a plain service take 20 ms and 160 ms, and all are expected to take the mean
 * of the latest answers. Symptom: after some of the short route the long one's look slow on either
 * version, and in the move, when the version before answers nothing, they condemn a sound one. */
static double
expect_plain_us (const Versions *versions, unsigned route)
{
  const double *usual = g_hash_table_lookup (versions->usual, GUINT_TO_POINTER (route));

  return usual ? NETWORK_US + MAX (versions->answer_us, *usual) : 0;
}

static double
expect_engine_us (const Job *job, const Server *server, int64_t now)
{
  const Versions *versions = &job->service->versions;
  const Curve *curve = &job->service->curve;
  double ahead = (double) MAX (0, server->prompts_until - now);
  double own = curve_units (curve, job->ask.prompt_tokens) * versions->unit;

  return versions->known ? NETWORK_US + curve->latency_us + ahead + own + versions->token_us : 0;
}

void
ver_note_grant (Job *job, const Server *server, int64_t now)
{
  Versions *versions = &job->service->versions;

  versions->placed++;
  versions->granted += is_ordered (versions, server);
  job->expected_us = job->adjusted_us = job->service->conf.engine
                                            ? expect_engine_us (job, server, now)
                                            : expect_plain_us (versions, job->ask.route);
}

static void
learn_usual (Job *job, int64_t took_us)
{
  Versions *versions = &job->service->versions;
  gpointer route = GUINT_TO_POINTER (job->ask.route);

  if (!versions->watched || is_ordered (versions, job->server) || took_us <= 0)
    return;
  double *usual = g_hash_table_lookup (versions->usual, route);
  if (usual == NULL)
    {
      usual = g_new0 (double, 1);
      g_hash_table_insert (versions->usual, route, usual);
    }
  est_learn (usual, (double) took_us);
}

static void
judge (const Sched *sched, Job *job, bool bad)
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

/* ---- Answers of the version before at the same time ---- */

static void
note_peer (const Job *job, int64_t after_us)
{
  Versions *versions = &job->service->versions;
  Peer *peer = &versions->peers[versions->peer_count % BASELINES_MAX];

  if (!versions->watched || is_ordered (versions, job->server) || job->expected_us <= 0)
    return;
  *peer = (Peer){ job->ask.route, job->granted_at, (double) after_us / job->expected_us };
  versions->peer_count++;
}

static int
compare_doubles (const void *one, const void *other)
{
  double a = *(const double *) one, b = *(const double *) other;

  return (a > b) - (a < b);
}

/* 0 without values. */
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

  for (unsigned i = 0; i < MIN (versions->peer_count, BASELINES_MAX); i++)
    {
      const Peer *peer = &versions->peers[i];
      if (peer->granted_at >= job->granted_at && (!same_route || peer->route == job->ask.route))
        g_array_append_val (values, peer->times);
    }
}

/* Those under way that take longer than expected. */
static void
add_overdue (const Job *job, bool same_route, int64_t now, GArray *values)
{
  const Service *service = job->service;
  const Server *server;
  const Job *peer;

  cds_list_for_each_entry (server, &service->servers, link)
  {
    if (is_ordered (&service->versions, server))
      continue;
    cds_list_for_each_entry (peer, &server->runs, link)
    {
      double so_far = (double) (now - peer->granted_at);
      bool waits = !peer->first_seen || !service->conf.engine;
      if (peer == job || !waits || peer->expected_us <= 0 || peer->granted_at < job->granted_at
          || so_far <= peer->expected_us || (same_route && peer->ask.route != job->ask.route))
        continue;
      double times = so_far / peer->expected_us;
      g_array_append_val (values, times);
    }
  }
}

static double
median_times (const Job *job, bool same_route, int64_t now)
{
  GArray *values = g_array_new (FALSE, FALSE, sizeof (double));

  add_answered (job, same_route, values);
  add_overdue (job, same_route, now, values);
  double times = median (values);
  g_array_unref (values);
  return times;
}

/* How many times as long as expected answers of the version before take; 0: none was placed since.
 */
static double
peer_times (const Job *job, int64_t now)
{
  double times = median_times (job, true, now);

  return times > 0 ? times : median_times (job, false, now);
}

static bool
is_beyond (double after_us, double allowed_us)
{
  return after_us > SLOW_FACTOR * allowed_us + SLOW_MARGIN_US;
}

/* What is allowed grows with the time that others take, so one job is compared a few times only. A
 * server that has just started may be slow for a while, and says so. */
static bool
is_slow (Job *job, int64_t after_us, int64_t now)
{
  const Versions *versions = &job->service->versions;
  double after = (double) after_us;

  if (job->judged || job->expected_us <= 0 || job->granted_at < job->server->cold_until
      || !is_beyond (after, job->adjusted_us))
    return false;
  if (versions->watched)
    job->adjusted_us = MAX (job->adjusted_us, peer_times (job, now) * job->expected_us);
  return is_beyond (after, job->adjusted_us);
}

/* ---- What becomes of a request ---- */

void
ver_note_first (const Sched *sched, Job *job, int64_t after_us)
{
  if (is_slow (job, after_us, ft_clock_now (sched->clock)))
    judge (sched, job, true);
  if (job->service->conf.engine)
    note_peer (job, after_us);
}

static void
note_longest (Versions *versions, int64_t took_us, int64_t now)
{
  if (now - versions->span_at > SPAN)
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
  double event = service->versions.known ? service->versions.token_us * service->conf.stride : 0;

  if (result->outcome == SCHED_FAILED)
    judge (sched, job, true);
  if (result->outcome != SCHED_OK)
    return;
  note_longest (&job->service->versions, now - job->granted_at, now);
  judge (sched, job,
         service->conf.engine ? event > 0 && (double) result->event_us > SLOW_FACTOR * event
                              : is_slow (job, result->answer_us, now));
  if (service->conf.engine)
    return;
  note_peer (job, result->answer_us);
  learn_usual (job, result->answer_us);
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
      if (!job->first_seen && is_slow (job, now - job->granted_at, now))
        judge (sched, job, true);
    }
  }
}

/* ---- What others ask ---- */

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
count_before (const Server *server, SchedServiceStats *stats)
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
      count_before (server, stats);
  }
}
