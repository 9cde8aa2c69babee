/* service.c - plays a plain service whose calls must not be repeated, or the platform's server
 * list.
 *
 * The service answers any path with {"call":N,"id":"..."}, or with N bytes if the path contains
 * "size=N". GET /stats returns the number of calls and of duplicates, that is calls with an
 * X-Request-Id that came before.
 */
#include "standin.h"

#include <string.h>

static struct
{
  int delay_ms;
  GMutex lock;
  GHashTable *seen;
  unsigned calls, duplicates;
} service;

static int
on_call (const struct _u_request *request, struct _u_response *response, void *user)
{
  const char *id = u_map_get_case (request->map_header, "X-Request-Id");
  const char *size = strstr (request->http_url, "size=");
  char text[256];

  (void) user;
  g_usleep ((gulong) service.delay_ms * 1000);
  g_mutex_lock (&service.lock);
  unsigned number = ++service.calls;
  if (id && !g_hash_table_add (service.seen, g_strdup (id)))
    service.duplicates++;
  g_mutex_unlock (&service.lock);
  if (size)
    {
      gsize length = g_ascii_strtoull (size + strlen ("size="), NULL, 10);
      char *bytes = g_malloc (length);
      memset (bytes, 'x', length);
      ulfius_set_binary_body_response (response, 200, bytes, length);
      g_free (bytes);
      return U_CALLBACK_COMPLETE;
    }
  g_snprintf (text, sizeof text, "{\"call\":%u,\"id\":\"%s\"}", number, id ? id : "");
  http_set_json (response, 200, text);
  return U_CALLBACK_COMPLETE;
}

static int
on_stats (const struct _u_request *request, struct _u_response *response, void *user)
{
  char text[160];

  (void) request;
  (void) user;
  g_mutex_lock (&service.lock);
  g_snprintf (text, sizeof text, "{\"dispatches\":%u,\"doubled\":%u,\"finished\":%u}",
              service.calls, service.duplicates, service.calls);
  g_mutex_unlock (&service.lock);
  http_set_json (response, 200, text);
  return U_CALLBACK_COMPLETE;
}

bool
service_run (const StandinConf *conf, struct _u_instance *http)
{
  service.delay_ms = conf->delay_ms;
  service.seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  ulfius_add_endpoint_by_val (http, "GET", "/stats", NULL, 0, on_stats, NULL);
  ulfius_set_default_endpoint (http, on_call, NULL);
  return true;
}

static int
on_instances (const struct _u_request *request, struct _u_response *response, void *user)
{
  char *text = NULL;

  (void) request;
  if (g_file_get_contents (user, &text, NULL, NULL))
    http_set_json (response, 200, text);
  else
    http_set_json (response, 500, "{}");
  g_free (text);
  return U_CALLBACK_COMPLETE;
}

bool
platform_run (const StandinConf *conf, struct _u_instance *http)
{
  if (conf->file == NULL)
    return false;
  ulfius_add_endpoint_by_val (http, "GET", "/instances", NULL, 0, on_instances,
                              g_strdup (conf->file));
  return true;
}
