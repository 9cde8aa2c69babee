/* http.h - what both HTTP ports share: starting with limits and TLS, and problem answers. */
#ifndef HTTP_H
#define HTTP_H

#include "conf.h"

#define U_DISABLE_JANSSON
#include <ulfius.h>

/* Starts instance, made by ulfius_init_instance, with the settings' limits and TLS. */
FtStatus http_start (struct _u_instance *instance, const Conf *conf, FtError *error);
/* Ends all connections. */
void http_stop (struct _u_instance *instance);
/* Prepares instance on the settings' address and port. */
FtStatus http_init (struct _u_instance *instance, const Conf *conf, int64_t port, FtError *error);

typedef struct
{
  FtReason reason;
  const char *id, *rule;
  unsigned tier;
  uint64_t revision;
  int64_t retry_after_ms;
} Problem;

/* application/problem+json (RFC 9457) with the members id, reason, rule, revision, tier, ran and
 * retry_after_ms. */
void http_set_problem (struct _u_response *response, const Problem *problem);
/* The same object as text; g_free. */
char *http_problem_format (const Problem *problem);
/* The body as a string, "" when there is none; g_free. */
char *http_body (const struct _u_request *request);
/* A variable of the path or query; "" when it is absent. */
const char *http_url_value (const struct _u_request *request, const char *name);
void http_set_json (struct _u_response *response, unsigned status, const char *text);
/* SHA-256 of the bearer key in Authorization as 64 hex digits; false: there is none. */
bool http_key_digest (const struct _u_request *request, char *digest);
/* Same time for equal and different digests. */
bool http_digest_equal (const char *a, const char *b);

#endif
