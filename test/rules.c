/* rules.c - checks the records of stand-in servers against the platform's rules. */
#include "rules.h"

#include <math.h>

#define SECOND        G_USEC_PER_SEC
#define RATE_WINDOW   (4 * SECOND)
#define RATE_FACTOR   1.5
#define RATE_SLACK    5
#define BACKOFF_SLACK 2
/* time until an instance knows what an answer announced */
#define KNOWN_AFTER (SECOND / 2)

static const Arrival *
get_arrival (const Rules *rules, unsigned i)
{
  return &g_array_index (rules->arrivals, Arrival, i);
}

int
rules_compare_arrivals (const void *a, const void *b)
{
  int64_t x = ((const Arrival *) a)->at, y = ((const Arrival *) b)->at;

  return (x > y) - (x < y);
}

static bool
is_excused (const Rules *rules, unsigned instance, int64_t from, int64_t to)
{
  return rules->excused && rules->excused (rules->data, instance, from, to);
}

/* When the server first announced a rate limit to any instance; 0: never. */
static int64_t
first_limit_at (const Rules *rules, unsigned server)
{
  int64_t first = 0;

  for (unsigned i = 0; i < rules->arrivals->len; i++)
    {
      const Arrival *a = get_arrival (rules, i);
      if (a->server == server && a->rate > 0 && (first == 0 || a->answered_at < first))
        first = a->answered_at;
    }
  return first;
}

/* Number of requests that the answers sent between these times allow for one window; infinite if
 * one of the answers announces no limit. */
static double
max_allowed (const Rules *rules, unsigned server, int64_t from, int64_t to)
{
  double rate = 0;

  for (unsigned i = 0; i < rules->arrivals->len; i++)
    {
      const Arrival *a = get_arrival (rules, i);
      if (a->server != server || a->answered_at < from || a->answered_at > to)
        continue;
      if (a->rate <= 0)
        return INFINITY;
      rate = MAX (rate, a->rate);
    }
  return rate > 0 ? RATE_FACTOR * rate * RATE_WINDOW / SECOND + RATE_SLACK : INFINITY;
}

/* Whether the instance that sent the request had been told a rate limit by the server before,
 * and has not been excused since then. */
static bool
knew_limit (const Rules *rules, const Arrival *request)
{
  for (unsigned i = 0; i < rules->arrivals->len; i++)
    {
      const Arrival *earlier = get_arrival (rules, i);
      if (earlier->at > request->at)
        return false;
      if (earlier->server == request->server && earlier->instance == request->instance
          && earlier->rate > 0 && earlier->answered_at > 0
          && request->at >= earlier->answered_at + KNOWN_AFTER
          && !is_excused (rules, request->instance, earlier->answered_at, request->at))
        return true;
    }
  return false;
}

unsigned
rules_over_rate (const Rules *rules)
{
  unsigned worst = 0;

  for (unsigned i = 0; i < rules->arrivals->len; i++)
    {
      const Arrival *last = get_arrival (rules, i);
      int64_t from = last->at - RATE_WINDOW;
      int64_t first = first_limit_at (rules, last->server);
      unsigned count = 0;
      if (first == 0 || from < first + rules->settle_us)
        continue;
      for (unsigned j = 0; j <= i; j++)
        {
          const Arrival *a = get_arrival (rules, j);
          count += a->server == last->server && a->at > from && knew_limit (rules, a);
        }
      double over = count - max_allowed (rules, last->server, from, last->at);
      if (over > worst)
        worst = (unsigned) ceil (over);
    }
  return worst;
}

unsigned
rules_in_backoff (const Rules *rules)
{
  unsigned worst = 0;

  for (unsigned i = 0; i < rules->arrivals->len; i++)
    {
      const Arrival *earlier = get_arrival (rules, i);
      int64_t from = earlier->answered_at + KNOWN_AFTER,
              to = earlier->answered_at + earlier->backoff_us;
      unsigned count = 0;
      if (earlier->backoff_us == 0
          || is_excused (rules, earlier->instance, earlier->answered_at, to))
        continue;
      for (unsigned j = 0; j < rules->arrivals->len; j++)
        {
          const Arrival *a = get_arrival (rules, j);
          count += a->server == earlier->server && a->instance == earlier->instance && a->at > from
                   && a->at < to;
        }
      worst = MAX (worst, count > BACKOFF_SLACK ? count - BACKOFF_SLACK : 0);
    }
  return worst;
}

unsigned
rules_after_leaving (const Rules *rules)
{
  unsigned count = 0;

  for (unsigned i = 0; i < rules->arrivals->len; i++)
    {
      const Arrival *request = get_arrival (rules, i);
      for (unsigned j = 0; j < i; j++)
        {
          const Arrival *earlier = get_arrival (rules, j);
          if (earlier->server != request->server || earlier->instance != request->instance
              || !earlier->leaving || earlier->answered_at == 0
              || request->at <= earlier->answered_at + rules->drain_us
              || is_excused (rules, request->instance, earlier->answered_at, request->at))
            continue;
          count++;
          break;
        }
    }
  return count;
}
