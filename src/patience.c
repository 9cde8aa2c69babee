/* patience.c - a caller that was refused and comes back has less time left than others.
 *
 * Failure: at worst load every other request is one that was refused before. Symptom: it takes the
 * place of a newcomer that could be on time, although its caller has waited longer than is on time
 * already. Callers of one kind wait for about as long, so the longest patience seen of late on a
 * route is that of newcomers, and who says clearly less has used up the difference.
 */
#include "patience.h"

/* Tuning; each row with its reason. */
#define SPAN (10 * FT_SECOND) /* the longest is that of one to two spans: some hundred requests */
#define BACK_BELOW                                                                                 \
  0.8 /* of the longest: newcomers say 0.85 to 1 of it, who came back 2/3 and less */

typedef struct
{
  int64_t span;
  int64_t longest[2]; /* in this span and in the one before */
} Seen;

struct Patience
{
  FtClock *clock;
  GHashTable *routes; /* name: Seen */
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

static Seen *
seen_of (Patience *patience, const char *route)
{
  Seen *seen = g_hash_table_lookup (patience->routes, route);
  int64_t span = ft_clock_now (patience->clock) / SPAN;

  if (seen == NULL)
    {
      seen = g_new0 (Seen, 1);
      seen->span = span;
      g_hash_table_insert (patience->routes, g_strdup (route), seen);
    }
  if (seen->span != span)
    {
      seen->longest[1] = seen->span + 1 == span ? seen->longest[0] : 0;
      seen->longest[0] = 0;
      seen->span = span;
    }
  return seen;
}

int64_t
patience_record (Patience *patience, const char *route, int64_t waits_us)
{
  Seen *seen = seen_of (patience, route);

  seen->longest[0] = MAX (seen->longest[0], waits_us);
  int64_t longest = MAX (seen->longest[0], seen->longest[1]);
  return (double) waits_us < BACK_BELOW * (double) longest ? longest - waits_us : 0;
}
