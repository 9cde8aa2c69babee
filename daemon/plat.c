/* plat.c - polls the platform's list of backend servers, and the load and cache events of servers
 * whose pool is scheduled here.
 *
 * The list is not up to date and may omit a running server. So a server that is no longer listed
 * counts as leaving: it gets no new requests, but those that run on it go on. A list that cannot be
 * fetched changes nothing.
 */
#include "plat.h"
#include "client.h"
#include "dlog.h"

#include <json-c/json.h>
#include <string.h>
#include <urcu-bp.h>

/* json-c and jansson (included by ulfius) define the same names, so a file can use only one. */
#define U_DISABLE_JANSSON
#include <ulfius.h>

/* Short enough that a server gets no new work later than 2 s after it is listed as leaving. */
#define POLL_INTERVAL    (500 * FT_MS)
#define POLLS_PER_REPORT 2 /* polls between two rounds of load reports */
#define FETCH_TIMEOUT_S  1
#define FETCH_MAX        (8u << 20) /* bytes of the list or of a report */

typedef struct
{
  char *pool, *name, *address;
  uint64_t incarnation;
  FtServerState state;
} Server;

struct Plat
{
  Core *core;
  GHashTable *directory; /* "pool/name" -> Server; RCU, replaced as a whole */
  GHashTable *events;    /* "pool/name" -> number of the last cache event; loop thread only */
  GThreadPool *fetchers;
};

static void
server_free (void *data)
{
  Server *server = data;

  g_free (server->pool);
  g_free (server->name);
  g_free (server->address);
  g_free (server);
}

/* ---- Fetching ---- */

static bool
on_fetch_head (void *user, const HMsg *msg)
{
  (void) user;
  return hmsg_status (msg) == 200;
}

static bool
on_fetch_body (void *user, const char *data, size_t size)
{
  GString *text = user;

  if (text->len + size > FETCH_MAX)
    return false;
  g_string_append_len (text, data, (gssize) size);
  return true;
}

static const ClientOps fetch_ops = { on_fetch_head, on_fetch_body };

static size_t
on_secure_bytes (void *contents, size_t size, size_t count, void *user)
{
  return on_fetch_body (user, contents, size * count) ? size * count : 0;
}

/* The client does not speak TLS. */
static bool
fetch_secure (const char *url, GString *text)
{
  struct _u_request request;
  struct _u_response response;

  ulfius_init_request (&request);
  ulfius_init_response (&response);
  request.http_verb = o_strdup ("GET");
  request.http_url = o_strdup (url);
  request.timeout = FETCH_TIMEOUT_S;
  bool fetched
      = ulfius_send_http_streaming_request (&request, &response, on_secure_bytes, text) == U_OK
        && response.status == 200;
  ulfius_clean_request (&request);
  ulfius_clean_response (&response);
  return fetched;
}

/* NULL: there is no complete response with status 200, or its body is too large. */
static char *
http_get (const char *url)
{
  ClientRequest request
      = { .method = "GET", .url = url, .timeout_us = FETCH_TIMEOUT_S * FT_SECOND };
  GString *text = g_string_new (NULL);
  bool fetched = g_str_has_prefix (url, "https://")
                     ? fetch_secure (url, text)
                     : client_exchange (&request, &fetch_ops, text) == 200;

  return g_string_free (text, !fetched);
}

static const char *
string_field (struct json_object *object, const char *key)
{
  struct json_object *value = json_object_object_get (object, key);

  return json_object_is_type (value, json_type_string) ? json_object_get_string (value) : NULL;
}

static Server *
parse_server (struct json_object *item)
{
  const char *pool = string_field (item, "pool"), *name = string_field (item, "name");
  const char *address = string_field (item, "address"), *state = string_field (item, "state");

  if (pool == NULL || name == NULL || address == NULL || state == NULL || strlen (name) > 63)
    return NULL;
  Server *server = g_new0 (Server, 1);
  server->pool = g_strdup (pool);
  server->name = g_strdup (name);
  server->address = g_strdup (address);
  server->incarnation
      = (uint64_t) json_object_get_int64 (json_object_object_get (item, "incarnation"));
  server->state = strcmp (state, "live") == 0 ? FT_SERVER_LIVE : FT_SERVER_LEAVING;
  return server;
}

static GHashTable *
parse_list (const char *text)
{
  struct json_object *array, *root = json_tokener_parse (text);
  GHashTable *list = NULL;

  if (json_object_is_type (root, json_type_object)
      && json_object_object_get_ex (root, "instances", &array)
      && json_object_is_type (array, json_type_array))
    {
      list = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, server_free);
      for (size_t i = 0; i < json_object_array_length (array); i++)
        {
          Server *server = parse_server (json_object_array_get_idx (array, i));
          if (server)
            g_hash_table_replace (list, g_strdup_printf ("%s/%s", server->pool, server->name),
                                  server);
        }
    }
  json_object_put (root);
  return list;
}

typedef struct
{
  char *pool, *name;
  uint64_t incarnation;
  FtServerState state;
} ServerUpdate;

static void
do_update (FtNode *node, void *data)
{
  ServerUpdate *update = data;

  ft_node_update_server (node, update->pool, update->name, update->incarnation, update->state);
  g_free (update->pool);
  g_free (update->name);
  g_free (update);
}

static void
post_update (Plat *plat, const Server *server, FtServerState state)
{
  ServerUpdate *update = g_new (ServerUpdate, 1);

  *update = (ServerUpdate){ g_strdup (server->pool), g_strdup (server->name), server->incarnation,
                            state };
  core_post (plat->core, do_update, update);
}

/* Copies servers that are no longer listed into the new directory as leaving, because their streams
 * may still need the address. */
static void
keep_unlisted (Plat *plat, GHashTable *directory)
{
  GHashTableIter iter;
  void *key, *data;

  g_hash_table_iter_init (&iter, plat->directory);
  while (g_hash_table_iter_next (&iter, &key, &data))
    {
      const Server *old = data;
      if (g_hash_table_contains (directory, key))
        continue;
      Server *copy = g_new0 (Server, 1);
      copy->pool = g_strdup (old->pool);
      copy->name = g_strdup (old->name);
      copy->address = g_strdup (old->address);
      copy->incarnation = old->incarnation;
      copy->state = FT_SERVER_LEAVING;
      g_hash_table_insert (directory, g_strdup (key), copy);
    }
}

static void
poll_list (Plat *plat)
{
  char *text = http_get (core_conf (plat->core)->platform_address);
  GHashTable *directory = text ? parse_list (text) : NULL;
  GHashTableIter iter;
  void *data;

  g_free (text);
  if (directory == NULL)
    return;
  keep_unlisted (plat, directory);
  GHashTable *old = plat->directory;
  rcu_assign_pointer (plat->directory, directory);
  synchronize_rcu ();
  g_hash_table_unref (old);
  g_hash_table_iter_init (&iter, directory);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    post_update (plat, data, ((Server *) data)->state);
}

bool
plat_address (Plat *plat, const char *pool, const char *name, char *out, size_t size)
{
  char key[160];

  g_snprintf (key, sizeof key, "%s/%s", pool, name);
  rcu_read_lock ();
  const Server *server = g_hash_table_lookup (rcu_dereference (plat->directory), key);
  if (server)
    g_strlcpy (out, server->address, size);
  rcu_read_unlock ();
  return server != NULL;
}

bool
plat_incarnation (Plat *plat, const char *pool, const char *name, char *out, size_t size)
{
  char key[160];

  g_snprintf (key, sizeof key, "%s/%s", pool, name);
  rcu_read_lock ();
  const Server *server = g_hash_table_lookup (rcu_dereference (plat->directory), key);
  if (server)
    g_snprintf (out, size, "%s/%" G_GUINT64_FORMAT, key, server->incarnation);
  rcu_read_unlock ();
  return server != NULL;
}

/* ---- Reports ---- */

/* A load report of one server. */
typedef struct
{
  Plat *plat;
  char *pool, *name, *address;
  uint64_t after; /* number of the last cache event known */
  unsigned running, waiting;
  int64_t age;
  GArray *events; /* Event */
} Report;

typedef struct
{
  uint64_t number, block;
  bool stored;
} Event;

static void
report_free (Report *report)
{
  g_free (report->pool);
  g_free (report->name);
  g_free (report->address);
  g_array_unref (report->events);
  g_free (report);
}

static void
do_report (FtNode *node, void *data)
{
  Report *report = data;
  Plat *plat = report->plat;
  char *key = g_strdup_printf ("%s/%s", report->pool, report->name);

  ft_node_report (node, report->pool, report->name, report->running, report->waiting, report->age);
  for (unsigned i = 0; i < report->events->len; i++)
    {
      const Event *event = &g_array_index (report->events, Event, i);
      uint64_t *last = g_hash_table_lookup (plat->events, key);
      if (last && event->number <= *last)
        continue;
      ft_node_cache_event (node, report->pool, report->name, event->number, event->stored,
                           event->block);
      g_hash_table_replace (plat->events, g_strdup (key),
                            g_memdup2 (&event->number, sizeof event->number));
    }
  g_free (key);
  report_free (report);
}

static void
parse_events (struct json_object *array, GArray *events)
{
  if (!json_object_is_type (array, json_type_array))
    return;
  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      struct json_object *item = json_object_array_get_idx (array, i);
      const char *block = string_field (item, "block");
      Event event = { 0 };
      if (block == NULL)
        continue;
      event.number = (uint64_t) json_object_get_int64 (json_object_object_get (item, "number"));
      event.block = g_ascii_strtoull (block, NULL, 16);
      event.stored = json_object_get_boolean (json_object_object_get (item, "stored"));
      g_array_append_val (events, event);
    }
}

static void
fetch_report (void *data, void *user)
{
  Report *report = data;
  Plat *plat = user;
  char *url
      = g_strdup_printf ("http://%s/load?after=%" G_GUINT64_FORMAT, report->address, report->after);
  char *text = http_get (url);
  struct json_object *root = text ? json_tokener_parse (text) : NULL;

  g_free (url);
  g_free (text);
  if (json_object_is_type (root, json_type_object))
    {
      report->running = (unsigned) json_object_get_int (json_object_object_get (root, "running"));
      report->waiting = (unsigned) json_object_get_int (json_object_object_get (root, "waiting"));
      report->age = json_object_get_int64 (json_object_object_get (root, "age_ms")) * FT_MS;
      parse_events (json_object_object_get (root, "events"), report->events);
      core_post (plat->core, do_report, report);
    }
  else
    report_free (report);
  json_object_put (root);
}

/* On the loop thread: queues a fetch of the report of each live server whose pool is scheduled
 * here. */
static void
queue_reports (FtNode *node, void *data)
{
  Plat *plat = data;
  GHashTableIter iter;
  void *key, *value;

  rcu_read_lock ();
  g_hash_table_iter_init (&iter, rcu_dereference (plat->directory));
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Server *server = value;
      const uint64_t *last = g_hash_table_lookup (plat->events, key);
      if (server->state != FT_SERVER_LIVE || ft_node_pool (node, server->pool) == NULL)
        continue;
      Report *report = g_new0 (Report, 1);
      report->plat = plat;
      report->pool = g_strdup (server->pool);
      report->name = g_strdup (server->name);
      report->address = g_strdup (server->address);
      report->after = last ? *last : 0;
      report->events = g_array_new (FALSE, FALSE, sizeof (Event));
      g_thread_pool_push (plat->fetchers, report, NULL);
    }
  rcu_read_unlock ();
}

static void *
poll_thread (void *data)
{
  Plat *plat = data;

  for (unsigned round = 0;; round++)
    {
      poll_list (plat);
      if (round % POLLS_PER_REPORT == 0 && g_thread_pool_unprocessed (plat->fetchers) == 0)
        core_post (plat->core, queue_reports, plat);
      g_usleep (POLL_INTERVAL);
    }
  return NULL;
}

Plat *
plat_new (Core *core)
{
  Plat *plat = g_new0 (Plat, 1);

  plat->core = core;
  plat->directory = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, server_free);
  plat->events = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  plat->fetchers = g_thread_pool_new (fetch_report, plat, 4, FALSE, NULL);
  g_thread_unref (g_thread_new ("platform", poll_thread, plat));
  return plat;
}
