/* oper.c - the operators' port. Operators can change the catalogue and release quarantined
 * contents.
 *
 *   GET  /v1/catalogue            catalogue in force; its revision is in X-Revision
 *   POST /v1/changes/ID?base=N    changes the catalogue; the operator chooses ID, and a repeated
 *                                 ID gets the same verdict; author from X-Author
 *   GET  /v1/in_force/REVISION    instances that lack the revision
 *   GET  /v1/history?most=N, /v1/refusals/ID, /v1/status, /metrics
 *   GET  /v1/suspects             contents that were running on servers that crashed
 *   DELETE /v1/suspects/CONTENT   allows a content to be dispatched again
 */
#include "oper.h"
#include "body.h"
#include "content.h"
#include "dlog.h"
#include "http.h"
#include "stat.h"

#include <string.h>

struct Oper
{
  Core *core;
  struct _u_instance http;
};

typedef void (*Handler) (Oper *, const struct _u_request *, struct _u_response *);

static int
check_key (Oper *oper, const struct _u_request *request, struct _u_response *response,
           Handler handler)
{
  char digest[65];
  Problem problem = { FT_REASON_NO_KEY, NULL, "Authorization: Bearer OPERATOR-KEY", 0, 0, 0 };

  if (http_key_digest (request, digest)
      && http_digest_equal (digest, core_conf (oper->core)->operator_key_sha256))
    handler (oper, request, response);
  else
    {
      stat_add (STAT_AUTH_FAILED, 1);
      http_set_problem (response, &problem);
    }
  return U_CALLBACK_COMPLETE;
}

static void
answer_status (struct _u_response *response, unsigned http_status, FtStatus status,
               uint64_t revision, const char *text)
{
  GString *out = g_string_new (NULL);

  g_string_append_printf (out, "{\"status\":\"%s\",\"revision\":%" G_GUINT64_FORMAT ",\"text\":",
                          ft_strerror (status), revision);
  body_append_string (out, text);
  g_string_append_c (out, '}');
  http_set_json (response, http_status, out->str);
  g_string_free (out, TRUE);
}

static void
post_change (Oper *oper, const struct _u_request *request, struct _u_response *response)
{
  const char *id = u_map_get (request->map_url, "id"), *base = u_map_get (request->map_url, "base");
  const char *author = u_map_get_case (request->map_header, "X-Author");
  char text[1024] = "", *end = NULL;
  uint64_t revision = 0, number = base ? g_ascii_strtoull (base, &end, 10) : 0;
  FtError error;
  FtCat *cat = NULL;

  if (id == NULL || strlen (id) > 63 || base == NULL || *base == '\0' || *end != '\0'
      || strlen (author ? author : "") > 63)
    {
      answer_status (response, 400, FT_INVALID, 0,
                     "the change needs an id of at most 63 bytes, ?base=REVISION and at most 63 "
                     "bytes of X-Author");
      return;
    }
  if ((int64_t) request->binary_body_length > core_conf (oper->core)->body_bytes)
    {
      answer_status (response, 413, FT_INVALID, 0, "larger than the setting body_bytes");
      return;
    }
  char *body = http_body (request);
  /* Checked here to keep invalid catalogues out of the replicated log; the voters check again. */
  FtStatus status = ft_cat_new (body, 1, &cat, &error);
  ft_cat_unref (cat);
  if (status != FT_OK)
    {
      g_snprintf (text, sizeof text, "line %u, %s: %s", error.line,
                  *error.field ? error.field : "document", error.text);
      answer_status (response, 422, status, 0, text);
      g_free (body);
      return;
    }
  status = core_propose_catalogue (oper->core, id, author ? author : "unnamed", number, body,
                                   &revision, text);
  g_free (body);
  dlog (DLOG_INFO, NULL, "change", "%s by %s: %s", id, author ? author : "unnamed",
        ft_strerror (status));
  answer_status (response,
                 status == FT_OK           ? 200
                 : status == FT_NOT_LEADER ? 503
                 : status == FT_CONFLICT   ? 409
                                           : 422,
                 status, revision, text);
}

static void
answer_query (Oper *oper, struct _u_response *response, FtQueryKind kind, const char *id)
{
  GBytes *body = NULL;
  FtStatus status = core_query (oper->core, kind, id, &body);
  gsize size = 0;
  const char *data = body ? g_bytes_get_data (body, &size) : NULL;

  if (status == FT_OK)
    {
      char *text = g_strndup (data, size);
      http_set_json (response, 200, text);
      g_free (text);
    }
  else
    answer_status (response, 404, status, 0, "not known, or the leader did not answer");
  if (body)
    g_bytes_unref (body);
}

static void
history (Oper *oper, const struct _u_request *request, struct _u_response *response)
{
  const char *limit = u_map_get (request->map_url, "most");

  answer_query (oper, response, FT_QUERY_HISTORY, limit ? limit : "");
}

static void
refusal (Oper *oper, const struct _u_request *request, struct _u_response *response)
{
  answer_query (oper, response, FT_QUERY_REFUSAL, http_url_value (request, "id"));
}

static void
suspects (Oper *oper, const struct _u_request *request, struct _u_response *response)
{
  char now[32];

  (void) request;
  g_snprintf (now, sizeof now, "%" G_GINT64_FORMAT, core_wall_ms ());
  answer_query (oper, response, FT_QUERY_SUSPECTS, now);
}

static void
release (Oper *oper, const struct _u_request *request, struct _u_response *response)
{
  const char *text = http_url_value (request, "content");
  uint64_t content;

  if (!content_parse (text, &content))
    {
      answer_status (response, 400, FT_INVALID, 0, "content must be 16 hexadecimal digits");
      return;
    }
  FtStatus status = core_release_content (oper->core, content);
  dlog (DLOG_INFO, NULL, "released", "content %s: %s", text, ft_strerror (status));
  answer_status (response, status == FT_OK ? 200 : 503, status, 0, text);
}

static void
in_force (Oper *oper, const struct _u_request *request, struct _u_response *response)
{
  answer_query (oper, response, FT_QUERY_IN_FORCE, http_url_value (request, "revision"));
}

static void
catalogue (Oper *oper, const struct _u_request *request, struct _u_response *response)
{
  FtCat *cat = core_catalogue (oper->core);
  char revision[32];

  (void) request;
  g_snprintf (revision, sizeof revision, "%" G_GUINT64_FORMAT, cat ? ft_cat_revision (cat) : 0);
  u_map_put (response->map_header, "X-Revision", revision);
  http_set_json (response, 200, cat ? ft_cat_text (cat) : "");
  ft_cat_unref (cat);
}

static void
status (Oper *oper, const struct _u_request *request, struct _u_response *response)
{
  FtNodeStatus now;
  char text[512];

  (void) request;
  core_status (oper->core, &now);
  g_snprintf (text, sizeof text,
              "{\"instance\":%d,\"version\":\"%s\",\"fresh\":%s,\"revision\":%" G_GUINT64_FORMAT
              ",\"leader\":%u,\"voter\":%s,\"member\":%s,\"broken\":%s,\"term\":%" G_GUINT64_FORMAT
              ",\"commit\":%" G_GUINT64_FORMAT ",\"pools_held\":%u,\"requests\":%u,\"live\":%u}",
              (int) core_conf (oper->core)->id, ft_version (), now.fresh ? "true" : "false",
              now.revision, now.leader, now.voter ? "true" : "false", now.member ? "true" : "false",
              now.broken ? "true" : "false", now.term, now.commit, now.pools_held, now.requests,
              now.live);
  http_set_json (response, 200, text);
}

static void
metrics (Oper *oper, const struct _u_request *request, struct _u_response *response)
{
  char *pools = core_pool_metrics (oper->core);
  char *text = stat_format (pools);

  (void) request;
  ulfius_set_string_body_response (response, 200, text);
  u_map_put (response->map_header, "Content-Type", "text/plain; version=0.0.4");
  g_free (text);
  g_free (pools);
}

#define ENDPOINT(name)                                                                             \
  static int on_##name (const struct _u_request *request, struct _u_response *response,            \
                        void *user)                                                                \
  {                                                                                                \
    return check_key (user, request, response, name);                                              \
  }
ENDPOINT (post_change)
ENDPOINT (history)
ENDPOINT (refusal)
ENDPOINT (in_force)
ENDPOINT (suspects)
ENDPOINT (release)
ENDPOINT (catalogue)
ENDPOINT (status)
ENDPOINT (metrics)

FtStatus
oper_new (Core *core, Oper **out, FtError *error)
{
  Oper *oper = g_new0 (Oper, 1);
  const Conf *conf = core_conf (core);
  struct _u_instance *http = &oper->http;

  oper->core = core;
  *out = oper;
  FtStatus made = http_init (http, conf, conf->operator_port, error);
  if (made != FT_OK)
    return made;
  ulfius_add_endpoint_by_val (http, "GET", "/v1/catalogue", NULL, 0, on_catalogue, oper);
  ulfius_add_endpoint_by_val (http, "POST", "/v1/changes", "/:id", 0, on_post_change, oper);
  ulfius_add_endpoint_by_val (http, "GET", "/v1/in_force", "/:revision", 0, on_in_force, oper);
  ulfius_add_endpoint_by_val (http, "GET", "/v1/history", NULL, 0, on_history, oper);
  ulfius_add_endpoint_by_val (http, "GET", "/v1/refusals", "/:id", 0, on_refusal, oper);
  ulfius_add_endpoint_by_val (http, "GET", "/v1/suspects", NULL, 0, on_suspects, oper);
  ulfius_add_endpoint_by_val (http, "DELETE", "/v1/suspects", "/:content", 0, on_release, oper);
  ulfius_add_endpoint_by_val (http, "GET", "/v1/status", NULL, 0, on_status, oper);
  ulfius_add_endpoint_by_val (http, "GET", "/metrics", NULL, 0, on_metrics, oper);
  return http_start (http, conf, error);
}

void
oper_stop (Oper *oper)
{
  http_stop (&oper->http);
}
