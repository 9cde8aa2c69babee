/* patience.c - a caller that returns after a refusal has less time left than others.
 *
 * At the highest load every other request was refused before. Such a request would take the place
 * of a new one that could be answered on time, although its caller has waited for longer than the
 * target already. Callers of the same kind wait for about the same time. So the
 * longest wait that was recently seen on a route is that of new requests, and a caller with a
 * clearly shorter one has used up the difference.
 */
#include "patience.h"

/* The longest wait is taken over one to two spans, which are some hundred requests. */
#define SPAN (10 * FT_SECOND)
/* Of the longest wait: new requests have 0.85 to 1 of it, returning callers 2/3 or less. */
#define RETURNING_BELOW 0.8

typedef struct
{
  int64_t span;
  int64_t longest[2]; /* longest wait in this span and in the previous one */
} RouteWaits;

struct Patience
{
  FtClock *clock;
  GHashTable *routes; /* name: RouteWaits */
};

Patience *
patience_new (FtClock *clock)
{
  Patience *patience = g_new0 (Patience, 1);

  patience->clock = clock;
  patience->routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return patience;
}

void
patience_free (Patience *patience)
{
  if (patience == NULL)
    return;
  g_hash_table_unref (patience->routes);
  g_free (patience);
}

static RouteWaits *
waits_of (Patience *patience, const char *route)
{
  RouteWaits *waits = g_hash_table_lookup (patience->routes, route);
  int64_t span = ft_clock_now (patience->clock) / SPAN;

  if (waits == NULL)
    {
      waits = g_new0 (RouteWaits, 1);
      waits->span = span;
      g_hash_table_insert (patience->routes, g_strdup (route), waits);
    }
  if (waits->span != span)
    {
      waits->longest[1] = waits->span + 1 == span ? waits->longest[0] : 0;
      waits->longest[0] = 0;
      waits->span = span;
    }
  return waits;
}

int64_t
patience_record (Patience *patience, const char *route, int64_t max_wait_us)
{
  RouteWaits *waits = waits_of (patience, route);

  waits->longest[0] = MAX (waits->longest[0], max_wait_us);
  int64_t longest = MAX (waits->longest[0], waits->longest[1]);
  return (double) max_wait_us < RETURNING_BELOW * (double) longest ? longest - max_wait_us : 0;
}
