/* rules.c - counts as the platform's rules say, over whatever the stand-ins recorded. */
#include "rules.h"

#include <math.h>

#define SECOND        G_USEC_PER_SEC
#define RATE_SPAN     (4 * SECOND)
#define RATE_TIMES    1.5
#define RATE_SLACK    5
#define HEARD_FOR     (SECOND / 2) /* an answer is known where it went to so long after it left */
#define BACKOFF_SLACK 2

static const Arrival *
arrival (const Rules *rules, unsigned i)
{
  return &g_array_index (rules->arrivals, Arrival, i);
}

int
rules_by_arrival (const void *a, const void *b)
{
  int64_t x = ((const Arrival *) a)->at, y = ((const Arrival *) b)->at;

  return (x > y) - (x < y);
}

static bool
is_excused (const Rules *rules, unsigned instance, int64_t from, int64_t to)
{
  return rules->excused && rules->excused (rules->data, instance, from, to);
}

/* When the server first named a rate to anyone; 0: never. */
static int64_t
first_named (const Rules *rules, unsigned server)
{
  int64_t first = 0;

  for (unsigned i = 0; i < rules->arrivals->len; i++)
    {
      const Arrival *a = arrival (rules, i);
      if (a->server == server && a->rate > 0 && (first == 0 || a->answered_at < first))
        first = a->answered_at;
    }
  return first;
}

/* What the span's answers allow; infinite where one of them names no rate. */
static double
allowed_in (const Rules *rules, unsigned server, int64_t from, int64_t to)
{
  double rate = 0;

  for (unsigned i = 0; i < rules->arrivals->len; i++)
    {
      const Arrival *a = arrival (rules, i);
      if (a->server != server || a->answered_at < from || a->answered_at > to)
        continue;
      if (a->rate <= 0)
        return INFINITY;
      rate = MAX (rate, a->rate);
    }
  return rate > 0 ? RATE_TIMES * rate * RATE_SPAN / SECOND + RATE_SLACK : INFINITY;
}

/* Had its instance been told a rate by then, undisturbed since? */
static bool
counts_for_rate (const Rules *rules, const Arrival *late)
{
  for (unsigned i = 0; i < rules->arrivals->len; i++)
    {
      const Arrival *told = arrival (rules, i);
      if (told->at > late->at)
        return false;
      if (told->server == late->server && told->instance == late->instance && told->rate > 0
          && told->answered_at > 0 && late->at >= told->answered_at + HEARD_FOR
          && !is_excused (rules, late->instance, told->answered_at, late->at))
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
      const Arrival *last = arrival (rules, i);
      int64_t from = last->at - RATE_SPAN;
      int64_t first = first_named (rules, last->server);
      unsigned count = 0;
      if (first == 0 || from < first + rules->settle_us)
        continue;
      for (unsigned j = 0; j <= i; j++)
        {
          const Arrival *a = arrival (rules, j);
          count += a->server == last->server && a->at > from && counts_for_rate (rules, a);
        }
      double over = count - allowed_in (rules, last->server, from, last->at);
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
      const Arrival *told = arrival (rules, i);
      int64_t from = told->answered_at + HEARD_FOR, to = told->answered_at + told->backoff_us;
      unsigned count = 0;
      if (told->backoff_us == 0 || is_excused (rules, told->instance, told->answered_at, to))
        continue;
      for (unsigned j = 0; j < rules->arrivals->len; j++)
        {
          const Arrival *a = arrival (rules, j);
          count += a->server == told->server && a->instance == told->instance && a->at > from
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
      const Arrival *late = arrival (rules, i);
      for (unsigned j = 0; j < i; j++)
        {
          const Arrival *told = arrival (rules, j);
          if (told->server != late->server || told->instance != late->instance || !told->leaving
              || told->answered_at == 0 || late->at <= told->answered_at + rules->drain_us
              || is_excused (rules, late->instance, told->answered_at, late->at))
            continue;
          count++;
          break;
        }
    }
  return count;
}
