/* route.c - look-up of routes by host; the routes of a host are sorted by falling prefix length. */
#include "route.h"

#include <string.h>

struct RtCat
{
  gint refs;
  uint64_t version, number;
  RtLimits limits;
  bool has_orgs; /* it has a list of them, which may be empty */
  GPtrArray *services, *routes, *orgs;
  GHashTable *by_service; /* name -> RtService */
  GHashTable *by_host;    /* lower-case host -> GPtrArray of RtRoute */
  GHashTable *by_key;     /* key -> RtOrg */
};

static void
service_free (void *data)
{
  RtService *service = data;

  g_free (service->name);
  g_free (service->health_path);
  g_free (service);
}

static void
target_clear (void *data)
{
  g_free (((RtTarget *) data)->service);
}

static void
route_free (void *data)
{
  RtRoute *route = data;

  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_array_unref (route->targets);
  g_free (route);
}

static void
org_free (void *data)
{
  RtOrg *org = data;

  g_free (org->name);
  g_ptr_array_unref (org->keys);
  g_free (org);
}

static void
route_list_free (void *data)
{
  g_ptr_array_unref (data);
}

RtCat *
rt_cat_new (uint64_t version, uint64_t number, const RtLimits *limits)
{
  RtCat *cat = g_new0 (RtCat, 1);

  cat->refs = 1;
  cat->version = version;
  cat->number = number;
  cat->limits = *limits;
  cat->services = g_ptr_array_new_with_free_func (service_free);
  cat->routes = g_ptr_array_new_with_free_func (route_free);
  cat->orgs = g_ptr_array_new_with_free_func (org_free);
  cat->by_service = g_hash_table_new (g_str_hash, g_str_equal);
  cat->by_host = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, route_list_free);
  cat->by_key = g_hash_table_new (g_str_hash, g_str_equal);
  return cat;
}

RtCat *
rt_cat_ref (RtCat *cat)
{
  g_atomic_int_inc (&cat->refs);
  return cat;
}

void
rt_cat_unref (RtCat *cat)
{
  if (cat == NULL || !g_atomic_int_dec_and_test (&cat->refs))
    return;
  g_hash_table_unref (cat->by_service);
  g_hash_table_unref (cat->by_host);
  g_hash_table_unref (cat->by_key);
  g_ptr_array_unref (cat->services);
  g_ptr_array_unref (cat->routes);
  g_ptr_array_unref (cat->orgs);
  g_free (cat);
}

FtStatus
rt_cat_add_service (RtCat *cat, const RtService *service, FtError *error)
{
  if (g_hash_table_contains (cat->by_service, service->name))
    return ft_error_set (error, FT_CONFLICT, 0, "services", "two services are named %s",
                         service->name);
  RtService *copy = g_memdup2 (service, sizeof *service);
  copy->name = g_strdup (service->name);
  copy->health_path = g_strdup (service->health_path);
  g_ptr_array_add (cat->services, copy);
  g_hash_table_insert (cat->by_service, copy->name, copy);
  return FT_OK;
}

FtStatus
rt_cat_add_route (RtCat *cat, const RtRoute *route, FtError *error)
{
  size_t length = strlen (route->prefix);

  if (route->prefix[0] != '/' || route->prefix[length - 1] != '/')
    return ft_error_set (error, FT_INVALID, 0, route->name,
                         "the prefix %s must begin and end with a slash", route->prefix);
  if (route->timeout_us <= 0)
    return ft_error_set (error, FT_INVALID, 0, route->name, "the time-out must be above 0");
  uint64_t weights = 0;
  for (unsigned i = 0; i < route->targets->len; i++)
    weights += g_array_index (route->targets, RtTarget, i).weight;
  if (weights == 0)
    return ft_error_set (error, FT_INVALID, 0, route->name,
                         "the weights of its services add up to 0");
  RtRoute *copy = g_memdup2 (route, sizeof *route);
  copy->name = g_strdup (route->name);
  copy->host = g_ascii_strdown (route->host, -1);
  copy->prefix = g_strdup (route->prefix);
  copy->attempts = MAX (route->attempts, 1);
  copy->targets = g_array_new (FALSE, FALSE, sizeof (RtTarget));
  g_array_set_clear_func (copy->targets, target_clear);
  for (unsigned i = 0; i < route->targets->len; i++)
    {
      const RtTarget *from = &g_array_index (route->targets, RtTarget, i);
      RtTarget target = { g_strdup (from->service), from->weight };
      g_array_append_val (copy->targets, target);
    }
  g_ptr_array_add (cat->routes, copy);
  return FT_OK;
}

FtStatus
rt_cat_add_org (RtCat *cat, const RtOrg *org, FtError *error)
{
  RtOrg *copy = g_memdup2 (org, sizeof *org);

  copy->name = g_strdup (org->name);
  copy->keys = g_ptr_array_new_with_free_func (g_free);
  for (unsigned i = 0; i < org->keys->len; i++)
    g_ptr_array_add (copy->keys, g_strdup (org->keys->pdata[i]));
  g_ptr_array_add (cat->orgs, copy);
  for (unsigned i = 0; i < copy->keys->len; i++)
    {
      RtOrg *other = g_hash_table_lookup (cat->by_key, copy->keys->pdata[i]);
      if (other && other != copy)
        return ft_error_set (error, FT_CONFLICT, 0, "organisations", "%s and %s share a key",
                             other->name, copy->name);
      g_hash_table_insert (cat->by_key, copy->keys->pdata[i], copy);
    }
  return FT_OK;
}

static gint
compare_prefix_length (gconstpointer a, gconstpointer b)
{
  const RtRoute *x = *(const RtRoute *const *) a, *y = *(const RtRoute *const *) b;
  size_t m = strlen (x->prefix), n = strlen (y->prefix);

  return m < n ? 1 : m > n ? -1 : strcmp (x->prefix, y->prefix);
}

static FtStatus
check_targets (const RtCat *cat, const RtRoute *route, FtError *error)
{
  for (unsigned i = 0; i < route->targets->len; i++)
    {
      const char *name = g_array_index (route->targets, RtTarget, i).service;
      if (!g_hash_table_contains (cat->by_service, name))
        return ft_error_set (error, FT_INVALID, 0, route->name, "there is no service %s", name);
    }
  return FT_OK;
}

FtStatus
rt_cat_seal (RtCat *cat, FtError *error)
{
  GHashTableIter iter;
  gpointer value;

  for (unsigned i = 0; i < cat->routes->len; i++)
    {
      RtRoute *route = cat->routes->pdata[i];
      GPtrArray *list = g_hash_table_lookup (cat->by_host, route->host);
      if (check_targets (cat, route, error) != FT_OK)
        return FT_INVALID;
      if (list == NULL)
        {
          list = g_ptr_array_new ();
          g_hash_table_insert (cat->by_host, g_strdup (route->host), list);
        }
      g_ptr_array_add (list, route);
    }
  g_hash_table_iter_init (&iter, cat->by_host);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GPtrArray *list = value;
      g_ptr_array_sort (list, compare_prefix_length);
      for (unsigned i = 1; i < list->len; i++)
        {
          const RtRoute *a = list->pdata[i - 1], *b = list->pdata[i];
          if (strcmp (a->prefix, b->prefix) == 0)
            return ft_error_set (error, FT_CONFLICT, 0, b->name, "%s has the same host and prefix",
                                 a->name);
        }
    }
  return FT_OK;
}

uint64_t
rt_cat_version (const RtCat *cat)
{
  return cat->version;
}

uint64_t
rt_cat_number (const RtCat *cat)
{
  return cat->number;
}

/* Earlier programs rounded versions above 2^53 to the number under which they logged them. One that
 * was rounded up is above the versions that follow; these keep its distance. So numbers are in the
 * order of their versions, whichever instance proposes them. */
uint64_t
rt_number_after (uint64_t newest_version, uint64_t newest_number, uint64_t version)
{
  uint64_t distance = newest_number > newest_version ? newest_number - newest_version : 0;

  if (version <= newest_version)
    return 0;
  return version < G_MAXUINT64 - distance ? version + distance : G_MAXUINT64;
}

const RtLimits *
rt_cat_limits (const RtCat *cat)
{
  return &cat->limits;
}

const RtRoute *
rt_cat_route (const RtCat *cat, const char *host, const char *path)
{
  char name[256];
  size_t length = strcspn (host, ":");
  size_t path_length = strcspn (path, "?#");

  if (length >= sizeof name)
    return NULL;
  for (size_t i = 0; i < length; i++)
    name[i] = g_ascii_tolower (host[i]);
  name[length] = '\0';
  const GPtrArray *list = g_hash_table_lookup (cat->by_host, name);
  for (unsigned i = 0; list && i < list->len; i++)
    {
      const RtRoute *route = list->pdata[i];
      size_t prefix = strlen (route->prefix);
      if (prefix <= path_length && memcmp (path, route->prefix, prefix) == 0)
        return route;
    }
  return NULL;
}

const RtService *
rt_cat_service (const RtCat *cat, const char *name)
{
  return g_hash_table_lookup (cat->by_service, name);
}

unsigned
rt_cat_service_count (const RtCat *cat)
{
  return cat->services->len;
}

const RtService *
rt_cat_service_at (const RtCat *cat, unsigned index)
{
  return cat->services->pdata[index];
}

unsigned
rt_cat_route_count (const RtCat *cat)
{
  return cat->routes->len;
}

void
rt_cat_declare_orgs (RtCat *cat)
{
  cat->has_orgs = true;
}

bool
rt_cat_has_orgs (const RtCat *cat)
{
  return cat->has_orgs;
}

unsigned
rt_cat_org_count (const RtCat *cat)
{
  return cat->orgs->len;
}

const RtOrg *
rt_cat_org_at (const RtCat *cat, unsigned index)
{
  return cat->orgs->pdata[index];
}

const RtOrg *
rt_cat_org_by_key (const RtCat *cat, const char *key)
{
  return key && *key ? g_hash_table_lookup (cat->by_key, key) : NULL;
}

const char *
rt_route_target (const RtRoute *route, uint64_t draw)
{
  uint64_t sum = 0;

  for (unsigned i = 0; i < route->targets->len; i++)
    sum += g_array_index (route->targets, RtTarget, i).weight;
  if (sum == 0)
    return NULL; /* rt_cat_add_route rejects such routes */
  draw %= sum;
  for (unsigned i = 0;; i++)
    {
      const RtTarget *target = &g_array_index (route->targets, RtTarget, i);
      if (draw < target->weight)
        return target->service;
      draw -= target->weight;
    }
}

#define ROUTE_TIERS 16 /* tiers of routes that are told apart; larger numbers count as the last */

unsigned
rt_priority (const RtRoute *route, const RtOrg *org)
{
  unsigned first = org && org->has_tier ? org->tier : 0;

  return first * ROUTE_TIERS + MIN (route->tier, ROUTE_TIERS - 1);
}

unsigned
rt_priority_route_tier (unsigned priority)
{
  return priority % ROUTE_TIERS;
}

bool
rt_route_is_repeatable (const RtRoute *route)
{
  return route->kind == RT_IDEMPOTENT || (route->kind == RT_STREAM && route->resumable);
}
