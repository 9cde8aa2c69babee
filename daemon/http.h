/* http.h - shared by both HTTP ports: limits, TLS, keys and error responses. */
#ifndef HTTP_H
#define HTTP_H

#include "conf.h"

#define U_DISABLE_JANSSON
#include <ulfius.h>

/* Starts an instance prepared by http_init, with the limits and TLS of the settings. */
FtStatus http_start (struct _u_instance *instance, const Conf *conf, FtError *error);
/* Closes the port and all connections, and frees what http_init made. */
void http_stop (struct _u_instance *instance);
/* Prepares instance for port on the address of the settings. */
FtStatus http_init (struct _u_instance *instance, const Conf *conf, int64_t port, FtError *error);

/* A refusal or failure as told to a caller. */
typedef struct
{
  FtReason reason;
  const char *id, *rule;
  unsigned tier;
  uint64_t revision;
  int64_t retry_after_ms;
} Problem;

/* Sets the response to application/problem+json (RFC 9457) with the members id, reason, rule,
 * revision, tier, ran and retry_after_ms. */
void http_set_problem (struct _u_response *response, const Problem *problem);
/* Returns the same object as text. Free with g_free. */
char *http_problem_format (const Problem *problem);
/* Returns the body as a string, "" if there is none. Free with g_free. */
char *http_body (const struct _u_request *request);
/* Returns a variable of the path or query, "" if it is absent. */
const char *http_url_value (const struct _u_request *request, const char *name);
void http_set_json (struct _u_response *response, unsigned status, const char *text);
/* SHA-256 of the bearer key in Authorization as 64 hex digits; false: there is none. */
bool http_key_digest (const struct _u_request *request, char *digest);
/* Compares in constant time. */
bool http_digest_equal (const char *a, const char *b);

#endif
