/* http.c - starts ulfius with limits and TLS; error responses and bearer keys. */
#include "http.h"
#include "body.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

FtStatus
http_init (struct _u_instance *instance, const Conf *conf, int64_t port, FtError *error)
{
  struct sockaddr_in *address = g_new0 (struct sockaddr_in, 1); /* ulfius keeps the pointer */

  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t) port);
  inet_pton (AF_INET, conf->address, &address->sin_addr);
  if (ulfius_init_instance (instance, (unsigned) port, address, NULL) != U_OK)
    return ft_error_set (error, FT_IO, 0, "", "the HTTP server cannot be initialised");
  /* Reads one byte more than allowed, so that a body that is too long can be detected. */
  instance->max_post_body_size = (size_t) conf->body_bytes + 1;
  instance->allowed_post_processor = U_POST_PROCESS_NONE;
  instance->timeout = (unsigned) conf->idle_s;
  return FT_OK;
}

void
http_stop (struct _u_instance *instance)
{
  struct sockaddr_in *address = instance->bind_address;

  ulfius_stop_framework (instance);
  ulfius_clean_instance (instance);
  g_free (address);
}

FtStatus
http_start (struct _u_instance *instance, const Conf *conf, FtError *error)
{
  char *key = NULL, *certificate = NULL;
  FtStatus status = FT_OK;
  unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
  bool tls = *conf->tls_certificate_file != '\0';

  if (tls
      && (!g_file_get_contents (conf->tls_key_file, &key, NULL, NULL)
          || !g_file_get_contents (conf->tls_certificate_file, &certificate, NULL, NULL)))
    {
      status = ft_error_set (error, FT_IO, 0, "tls_key_file",
                             "cannot read tls_key_file or tls_certificate_file");
      goto out;
    }
  if (tls)
    flags |= MHD_USE_TLS;
  struct MHD_OptionItem options[] = {
    { MHD_OPTION_NOTIFY_COMPLETED, (intptr_t) mhd_request_completed, NULL },
    { MHD_OPTION_URI_LOG_CALLBACK, (intptr_t) ulfius_uri_logger, NULL },
    { MHD_OPTION_SOCK_ADDR, 0, instance->bind_address },
    { MHD_OPTION_CONNECTION_TIMEOUT, (intptr_t) conf->idle_s, NULL },
    { MHD_OPTION_PER_IP_CONNECTION_LIMIT, (intptr_t) conf->connections_per_address, NULL },
    { MHD_OPTION_CONNECTION_MEMORY_LIMIT, (intptr_t) conf->header_bytes, NULL },
    { tls ? MHD_OPTION_HTTPS_MEM_KEY : MHD_OPTION_END, 0, key },
    { MHD_OPTION_HTTPS_MEM_CERT, 0, certificate },
    { MHD_OPTION_END, 0, NULL },
  };
  if (ulfius_start_framework_with_mhd_options (instance, flags, options) != U_OK)
    status = ft_error_set (error, FT_IO, 0, "",
                           "%s:%u: cannot listen, or the TLS key does not match the certificate",
                           conf->address, instance->port);
out:
  g_free (key);
  g_free (certificate);
  return status;
}

char *
http_problem_format (const Problem *problem)
{
  const FtReasonInfo *info = ft_reason_info (problem->reason);
  GString *out = g_string_new (NULL);

  g_string_append_printf (
      out,
      "{\"type\":\"urn:foxtailgrade:reason:%s\",\"title\":\"%s\","
      "\"status\":%d,\"reason\":\"%s\",\"ran\":\"%s\",\"tier\":%u,"
      "\"revision\":%" G_GUINT64_FORMAT ",\"retry_after_ms\":%" G_GINT64_FORMAT ",\"id\":",
      info->code, info->message, info->http_status, info->code, ft_ran_name (info->ran),
      problem->tier, problem->revision, problem->retry_after_ms);
  body_append_string (out, problem->id ? problem->id : "");
  g_string_append (out, ",\"rule\":");
  body_append_string (out, problem->rule ? problem->rule : "");
  g_string_append_c (out, '}');
  return g_string_free (out, FALSE);
}

void
http_set_problem (struct _u_response *response, const Problem *problem)
{
  const FtReasonInfo *info = ft_reason_info (problem->reason);
  char *text = http_problem_format (problem), seconds[32];
  /* 499 (the caller left) is not a standard status, so 408 is sent instead. */
  unsigned status = info->http_status == 499 ? 408 : (unsigned) info->http_status;

  ulfius_set_string_body_response (response, status, text);
  u_map_put (response->map_header, "Content-Type", "application/problem+json");
  if (problem->id)
    u_map_put (response->map_header, "X-Request-Id", problem->id);
  if (problem->retry_after_ms > 0)
    {
      g_snprintf (seconds, sizeof seconds, "%" G_GINT64_FORMAT,
                  (problem->retry_after_ms + 999) / 1000);
      u_map_put (response->map_header, "Retry-After", seconds);
    }
  g_free (text);
}

char *
http_body (const struct _u_request *request)
{
  /* binary_body is NULL for a POST without a body; using it unchecked crashed the process. */
  if (request->binary_body == NULL)
    return g_strdup ("");
  return g_strndup (request->binary_body, request->binary_body_length);
}

const char *
http_url_value (const struct _u_request *request, const char *name)
{
  const char *value = u_map_get (request->map_url, name);

  return value ? value : "";
}

void
http_set_json (struct _u_response *response, unsigned status, const char *text)
{
  ulfius_set_string_body_response (response, status, text);
  u_map_put (response->map_header, "Content-Type", "application/json");
}

bool
http_key_digest (const struct _u_request *request, char *digest)
{
  const char *header = u_map_get_case (request->map_header, "Authorization");

  if (header == NULL || g_ascii_strncasecmp (header, "Bearer ", 7) != 0 || strlen (header) > 1024)
    return false;
  char *sum = g_compute_checksum_for_string (G_CHECKSUM_SHA256, header + 7, -1);
  g_strlcpy (digest, sum, 65);
  g_free (sum);
  return true;
}

bool
http_digest_equal (const char *a, const char *b)
{
  volatile unsigned char differ = 0;

  for (unsigned i = 0; i < 64; i++)
    differ |= (unsigned char) (a[i] ^ b[i]);
  return differ == 0;
}
