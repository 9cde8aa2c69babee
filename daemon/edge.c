/* edge.c - the callers' port: makes calls from HTTP requests, schedules them and answers them.
 *
 *   POST /v1/chat/completions   asks a model; the answer is streamed or complete
 *   GET  /v1/requests/ID        fetches an answer again, at any instance
 *   GET  /healthz, /readyz      liveness and readiness
 *   any other path              calls a plain service of the catalogue
 */
#include "edgeint.h"
#include "body.h"
#include "dlog.h"
#include "http.h"
#include "span.h"
#include "stat.h"

#include <string.h>

#define CONNECT_TRIES 4     /* servers tried if connections fail; nothing has run then */
#define ANSWER_WAIT_S 86400 /* connection timeout while answering; no answer takes longer */

/* ---- Refusals ---- */

static void
refuse_call (Edge *edge, Call *call, FtReason reason, const char *rule, int64_t retry_ms,
             struct _u_response *response)
{
  Problem problem = { reason, call->id, rule, call->tier, call->revision, retry_ms };

  call->refusal.reason = reason;
  call->refusal.retry_after_ms = retry_ms;
  if (rule != call->refusal.rule)
    g_strlcpy (call->refusal.rule, rule, sizeof call->refusal.rule);
  stat_inc_refused (reason, call->tier);
  dlog (DLOG_INFO, call->id, "refused", "%s: %s", ft_reason_info (reason)->code, rule);
  span_end (call, "request", call->started_at, core_now (edge->core),
            ft_reason_info (reason)->code);
  core_record_refusal (edge->core, call);
  http_set_problem (response, &problem);
}

/* Checks whether this instance may accept requests now; if not, refuses the call. */
static bool
check_accepting (Edge *edge, Call *call, struct _u_response *response)
{
  if (g_atomic_int_get (&edge->closing))
    {
      refuse_call (edge, call, FT_REASON_SHUTTING_DOWN,
                   "this instance is shutting down; use another", 1000, response);
      return false;
    }
  if (!core_is_fresh (edge->core))
    {
      refuse_call (edge, call, FT_REASON_STALE_CATALOGUE, "no leader has been heard from for 3 s",
                   2000, response);
      return false;
    }
  return true;
}

/* ---- Making a call from an HTTP request ---- */

static bool
id_is_valid (const char *id)
{
  size_t length = strlen (id);

  if (length < 1 || length > 63)
    return false;
  for (; *id; id++)
    if (!g_ascii_isalnum (*id) && !strchr ("._-", *id))
      return false;
  return true;
}

static void
log_transition (void *user, const FtReq *req, FtReqState from, FtReqState to)
{
  (void) user;
  dlog (DLOG_DEBUG, ft_req_id (req), "state", "%s to %s", ft_req_state_name (from),
        ft_req_state_name (to));
}

static Call *
make_call (Edge *edge, const struct _u_request *request)
{
  const char *requested_id = u_map_get_case (request->map_header, "X-Request-Id");
  char id[64];

  if (requested_id && id_is_valid (requested_id))
    g_strlcpy (id, requested_id, sizeof id);
  else
    g_snprintf (id, sizeof id, "r%d-%016" G_GINT64_MODIFIER "x", (int) core_conf (edge->core)->id,
                core_random (edge->core));
  Call *call = call_new (id);
  call->started_at = core_now (edge->core);
  call->req = ft_req_new (id, log_transition, NULL);
  span_begin (call, u_map_get_case (request->map_header, "traceparent"));
  return call;
}

/* Returns the organisation of the request's key, or NULL. */
static const FtOrg *
authenticate (Edge *edge, FtCat *cat, const struct _u_request *request)
{
  char digest[65];
  const FtOrg *org = http_key_digest (request, digest) ? ft_cat_org_by_key (cat, digest) : NULL;

  (void) edge;
  if (org == NULL)
    stat_add (STAT_AUTH_FAILED, 1);
  return org;
}

/* Sets the call's organisation, pool, class, tier and deadlines. False: it was refused. */
static bool
classify (Edge *edge, Call *call, FtCat *cat, const FtOrg *org, const FtPoolEntry *pool,
          const struct _u_request *request, struct _u_response *response)
{
  const char *requested_class = u_map_get_case (request->map_header, "X-Class");
  const char *deadline = u_map_get_case (request->map_header, "X-Deadline-Ms");
  const char *name = requested_class    ? requested_class
                     : call->service    ? pool->class_name
                     : *org->class_name ? org->class_name
                                        : pool->class_name;
  const FtClass *class = ft_cat_class (cat, name);
  int64_t limit_ms;

  if (class == NULL)
    {
      refuse_call (edge, call, FT_REASON_NO_SUCH_CLASS, "X-Class", 0, response);
      return false;
    }
  limit_ms = class->deadline_ms;
  if (deadline)
    {
      char *end;
      int64_t requested_ms = g_ascii_strtoll (deadline, &end, 10);
      if (*end || requested_ms < 1)
        {
          refuse_call (edge, call, FT_REASON_BAD_REQUEST,
                       "X-Deadline-Ms must be a whole number of milliseconds", 0, response);
          return false;
        }
      limit_ms = MIN (limit_ms, requested_ms);
    }
  call->org = g_strdup (org->name);
  call->pool = g_strdup (pool->name);
  call->class_name = g_strdup (class->name);
  call->tier = (unsigned) class->tier;
  call->first_token_deadline = call->started_at + class->first_token_ms * FT_MS;
  call->deadline = call->started_at + limit_ms * FT_MS;
  return true;
}

/* ---- Idempotency ---- */

static char *
request_digest (const Call *call)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);

  g_checksum_update (sum, (const guchar *) call->method, -1);
  g_checksum_update (sum, (const guchar *) " ", 1);
  g_checksum_update (sum, (const guchar *) call->path, -1);
  g_checksum_update (sum, (const guchar *) "\n", 1);
  if (call->body_size)
    g_checksum_update (sum, (const guchar *) call->body, (gssize) call->body_size);
  char *digest = g_strdup (g_checksum_get_string (sum));
  g_checksum_free (sum);
  return digest;
}

/* Claims the idempotency key for the call. False: another call has or had it, or the voters did not
 * answer; the response is set. */
static bool
acquire_claim (Edge *edge, Call *call, struct _u_response *response)
{
  char owner[64], rule[128];
  char *digest = request_digest (call);
  FtStatus status = core_claim (edge->core, call, digest, owner);

  g_free (digest);
  switch (status)
    {
    case FT_OK:
      return true;
    case FT_ALREADY_DONE:
      answer_by_id (edge, owner, call->org, call, response);
      return false;
    case FT_CONFLICT:
      g_snprintf (rule, sizeof rule, "request %s with this Idempotency-Key is running", owner);
      refuse_call (edge, call, FT_REASON_CLAIM_RUNNING, rule, 1000, response);
      return false;
    case FT_INVALID:
      g_snprintf (rule, sizeof rule, "request %s had this Idempotency-Key with other content",
                  owner);
      refuse_call (edge, call, FT_REASON_CLAIM_MISMATCH, rule, 0, response);
      return false;
    case FT_STALE:
      g_snprintf (rule, sizeof rule, "request %s with this Idempotency-Key was dispatched", owner);
      refuse_call (edge, call, FT_REASON_OUTCOME_UNKNOWN, rule, 0, response);
      return false;
    default:
      /* The claim may have been committed all the same. This call has not run, so release it. */
      core_end_claim (edge->core, call, FT_CLAIM_RELEASED);
      refuse_call (edge, call, FT_REASON_CLAIM_UNAVAILABLE, "no majority of voters answered", 2000,
                   response);
      return false;
    }
}

/* Sets the claim key if the request has or needs an Idempotency-Key. False: refused. */
static bool
set_claim_key (Edge *edge, Call *call, const FtPoolEntry *pool, const struct _u_request *request,
               struct _u_response *response)
{
  const char *key = u_map_get_case (request->map_header, "Idempotency-Key");
  const char *idempotent = u_map_get_case (request->map_header, "X-Idempotent");
  bool required = (!pool->idempotent && strcmp (call->method, "GET") != 0)
                  || (idempotent && strcmp (idempotent, "false") == 0);

  if (key == NULL && required)
    {
      refuse_call (edge, call, FT_REASON_BAD_REQUEST,
                   "calls that may not run twice need an Idempotency-Key", 0, response);
      return false;
    }
  if (key && !id_is_valid (key))
    {
      refuse_call (edge, call, FT_REASON_BAD_REQUEST,
                   "Idempotency-Key must be 1 to 63 letters, digits, '.', '_' or '-'", 0, response);
      return false;
    }
  if (key)
    call->claim_key = g_strdup_printf ("%s/%s", call->org, key);
  return true;
}

/* ---- Grant and dispatch ---- */

/* Blocks until the call is dispatched. False: it was refused and the response is set. */
static bool
schedule (Edge *edge, Call *call, struct _u_response *response)
{
  int64_t submitted_at = core_now (edge->core);

  ft_req_set_state (call->req, FT_REQ_SUBMITTED);
  stat_inc_tier (STAT_OFFERED, call->tier);
  core_submit (edge->core, call);
  for (unsigned attempts = 1;; attempts++)
    {
      CallDecision decision = call_wait_decision (call);
      stat_observe (STAT_WAIT, call->tier, call->decided_at - submitted_at);
      span_end (call, "schedule", submitted_at, call->decided_at, call->server);
      if (decision == CALL_REFUSED)
        {
          core_end_claim (edge->core, call, FT_CLAIM_RELEASED);
          refuse_call (edge, call, call->refusal.reason, call->refusal.rule,
                       call->refusal.retry_after_ms, response);
          return false;
        }
      if (back_dispatch (edge->back, call) == FT_OK)
        return true;
      if (attempts == CONNECT_TRIES || core_now (edge->core) > call->deadline)
        break;
      core_resubmit (edge->core, call);
    }
  core_end_request (edge->core, call, FT_OUTCOME_NOT_CONNECTED, 0);
  core_end_claim (edge->core, call, FT_CLAIM_RELEASED);
  pthread_mutex_lock (&call->lock);
  ft_req_set_state (call->req, FT_REQ_REFUSED);
  pthread_mutex_unlock (&call->lock);
  refuse_call (edge, call, FT_REASON_NO_SERVER, "no connection to a backend server could be made",
               1000, response);
  return false;
}

/* ---- Endpoints ---- */

/* Claims the key of a prepared call, schedules it and answers it. */
static void
serve (Edge *edge, Call *call, struct _u_response *response)
{
  if (calls_add (back_calls (edge->back), call) != FT_OK)
    {
      refuse_call (edge, call, FT_REASON_DUPLICATE_ID, "fetch its answer by GET /v1/requests/ID", 0,
                   response);
      return;
    }
  if ((call->claim_key && !acquire_claim (edge, call, response))
      || !schedule (edge, call, response))
    {
      calls_remove (back_calls (edge->back), call);
      return;
    }
  if (call->stream && !call->service && answer_wait_first_piece (call))
    {
      answer_stream (edge, call, response);
      return;
    }
  answer_wait_end (call);
  answer_complete (call, response);
  back_sent (call);
}

static bool
body_fits (Edge *edge, Call *call, const struct _u_request *request, struct _u_response *response)
{
  if ((int64_t) request->binary_body_length <= core_conf (edge->core)->body_bytes)
    return true;
  refuse_call (edge, call, FT_REASON_TOO_LARGE, "body_bytes of the settings", 0, response);
  return false;
}

static void
prepare_chat (Edge *edge, Call *call, FtCat *cat, const FtOrg *org,
              const struct _u_request *request, struct _u_response *response)
{
  BodyChat chat = { 0 };
  FtError error;
  char rule[128];
  char *text = http_body (request);
  const FtPoolEntry *pool = NULL;

  if (strlen (text) != request->binary_body_length
      || body_parse_chat (text, &chat, &error) != FT_OK)
    {
      g_snprintf (rule, sizeof rule, "%s %s", error.field, error.text);
      refuse_call (edge, call, FT_REASON_BAD_REQUEST,
                   strlen (text) != request->binary_body_length ? "body holds a zero byte" : rule,
                   0, response);
      goto out;
    }
  pool = ft_cat_pool_for_model (cat, chat.model);
  if (pool == NULL || strcmp (pool->kind, "model") != 0)
    {
      refuse_call (edge, call, FT_REASON_NO_SUCH_POOL, "model", 0, response);
      goto out;
    }
  call->method = g_strdup ("POST");
  call->path = g_strdup ("/v1/chat/completions");
  call->content_type = g_strdup ("application/json");
  call->stream = chat.stream;
  call->max_tokens = chat.most_tokens;
  call->prompt_tokens = (unsigned) (chat.prompt->len / 4 + 1);
  call->block_count
      = ft_prefix_hash (chat.prompt->str, chat.prompt->len, 0, call->blocks, FT_BLOCKS_MAX);
  call->body = g_steal_pointer (&text);
  call->body_size = request->binary_body_length;
  if (classify (edge, call, cat, org, pool, request, response)
      && set_claim_key (edge, call, pool, request, response))
    serve (edge, call, response);
out:
  body_clear_chat (&chat);
  g_free (text);
}

static void
prepare_service (Edge *edge, Call *call, FtCat *cat, const FtOrg *org,
                 const struct _u_request *request, struct _u_response *response)
{
  const char *type = u_map_get_case (request->map_header, "Content-Type");
  const FtPoolEntry *pool = ft_cat_pool_for_path (cat, request->http_url);

  if (pool == NULL)
    {
      refuse_call (edge, call, FT_REASON_NO_SUCH_POOL, "path", 0, response);
      return;
    }
  call->service = true;
  call->method = g_strdup (request->http_verb);
  call->path = g_strdup (request->http_url);
  call->content_type = g_strdup (type ? type : "application/octet-stream");
  call->body = g_memdup2 (request->binary_body, request->binary_body_length);
  call->body_size = request->binary_body_length;
  if (classify (edge, call, cat, org, pool, request, response)
      && set_claim_key (edge, call, pool, request, response))
    serve (edge, call, response);
}

typedef void (*PrepareFunc) (Edge *, Call *, FtCat *, const FtOrg *, const struct _u_request *,
                             struct _u_response *);

static int
handle_request (Edge *edge, const struct _u_request *request, struct _u_response *response,
                PrepareFunc prepare)
{
  Call *call = make_call (edge, request);
  FtCat *cat = core_catalogue (edge->core);

  /* The idle timeout is against slow senders; from here on the caller just waits. */
  response->timeout = ANSWER_WAIT_S;

  g_atomic_int_inc (&edge->busy);
  if (cat)
    call->revision = ft_cat_revision (cat);
  if (check_accepting (edge, call, response) && body_fits (edge, call, request, response))
    {
      const FtOrg *org = authenticate (edge, cat, request);
      if (org)
        prepare (edge, call, cat, org, request, response);
      else
        refuse_call (edge, call, FT_REASON_NO_KEY, "Authorization: Bearer KEY", 0, response);
    }
  ft_cat_unref (cat);
  call_unref (call);
  answer_count_until_sent (edge, response);
  g_atomic_int_add (&edge->busy, -1);
  return U_CALLBACK_COMPLETE;
}

static int
on_chat (const struct _u_request *request, struct _u_response *response, void *user)
{
  return handle_request (user, request, response, prepare_chat);
}

static int
on_service (const struct _u_request *request, struct _u_response *response, void *user)
{
  return handle_request (user, request, response, prepare_service);
}

static int
on_fetch_answer (const struct _u_request *request, struct _u_response *response, void *user)
{
  Edge *edge = user;
  const char *id = http_url_value (request, "id");
  FtCat *cat = core_catalogue (edge->core);

  response->timeout = ANSWER_WAIT_S;
  const FtOrg *org = cat ? authenticate (edge, cat, request) : NULL;
  Problem no_key = { FT_REASON_NO_KEY, id, "Authorization: Bearer KEY", 0, 0, 0 };
  Call *call = org ? calls_find (back_calls (edge->back), id) : NULL;

  g_atomic_int_inc (&edge->busy);
  if (org == NULL)
    http_set_problem (response, &no_key);
  else if (call && strcmp (call->org, org->name) == 0 && call->stream && !call->service)
    answer_stream (edge, call, response); /* from the first piece on, even while the call runs */
  else if (call && strcmp (call->org, org->name) == 0)
    {
      answer_wait_end (call);
      answer_complete (call, response);
    }
  else
    answer_by_id (edge, id, org->name, NULL, response);
  call_unref (call);
  ft_cat_unref (cat);
  answer_count_until_sent (edge, response);
  g_atomic_int_add (&edge->busy, -1);
  return U_CALLBACK_COMPLETE;
}

static int
on_health (const struct _u_request *request, struct _u_response *response, void *user)
{
  Edge *edge = user;
  char text[96];

  (void) request;
  g_snprintf (text, sizeof text,
              "{\"status\":\"alive\",\"incarnation\":\"%016" G_GINT64_MODIFIER "x\"}",
              edge->incarnation);
  http_set_json (response, 200, text);
  return U_CALLBACK_COMPLETE;
}

static int
on_ready (const struct _u_request *request, struct _u_response *response, void *user)
{
  Edge *edge = user;

  (void) request;
  if (g_atomic_int_get (&edge->closing))
    http_set_json (response, 503, "{\"status\":\"shutting down\"}");
  else if (!core_is_fresh (edge->core))
    http_set_json (response, 503, "{\"status\":\"catalogue not proved to be in force\"}");
  else
    http_set_json (response, 200, "{\"status\":\"ready\"}");
  return U_CALLBACK_COMPLETE;
}

FtStatus
edge_new (Core *core, Back *back, Edge **out, FtError *error)
{
  Edge *edge = g_new0 (Edge, 1);
  const Conf *conf = core_conf (core);

  edge->core = core;
  edge->back = back;
  edge->incarnation = core_random (core);
  *out = edge;
  FtStatus status = http_init (&edge->http, conf, conf->caller_port, error);
  if (status != FT_OK)
    return status;
  ulfius_add_endpoint_by_val (&edge->http, "POST", "/v1/chat/completions", NULL, 0, on_chat, edge);
  ulfius_add_endpoint_by_val (&edge->http, "GET", "/v1/requests", "/:id", 0, on_fetch_answer, edge);
  ulfius_add_endpoint_by_val (&edge->http, "GET", "/healthz", NULL, 0, on_health, edge);
  ulfius_add_endpoint_by_val (&edge->http, "GET", "/readyz", NULL, 0, on_ready, edge);
  ulfius_set_default_endpoint (&edge->http, on_service, edge);
  return http_start (&edge->http, conf, error);
}

void
edge_stop_accepting (Edge *edge)
{
  g_atomic_int_set (&edge->closing, 1);
}

unsigned
edge_open_count (Edge *edge)
{
  return (unsigned) g_atomic_int_get (&edge->busy) + calls_running (back_calls (edge->back));
}

void
edge_give_up (Edge *edge)
{
  back_give_up (edge->back);
}

void
edge_stop (Edge *edge)
{
  http_stop (&edge->http);
}
