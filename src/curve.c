/* curve.c - how long a prompt takes, learned: a part that is the same for each, and one that grows.
 *
 * Failure: the time of a prompt is taken to be in proportion to its length. Symptom: short prompts
 * seem to keep a server busy five times as long as they do, since each first event has a latency of
 * its own, and long ones half as long, since each of their tokens attends to all before it. Long
 * prompts then go to servers where they are late by their own length, and whoever is sent there
 * meanwhile waits behind them.
 *
 * A prompt of n tokens takes
 *     latency + unit x n x (1 + growth x n)
 * with a unit for each server and the rest in common. Each sample moves the three by normalized
 * least mean squares on their logarithms: all by its relative error, each as far as it has a part
 * in the time. So short prompts teach the latency, middling ones the unit, long ones the growth,
 * and nothing becomes negative.
 */
#include "curve.h"

#include <math.h>

/* Tuning; each row with its reason. */
#define LATENCY_INITIAL_US 10000.0 /* microseconds, before anything was seen */
#define GROWTH_INITIAL     5e-6 /* a token: 50,000 of them take a quarter more than in proportion */
#define LATENCY_MIN_US     500.0 /* both move by a part of themselves, and do not come back from 0 */
#define GROWTH_MIN         2e-7  /* likewise: 50,000 tokens take a hundredth more */
#define UNIT_RATIO_INITIAL 0.003 /* of an output token's time */
#define STEP               0.25  /* of a sample's error: four samples replace most of the past */
#define COMMON_STEP        0.1   /* the same for what all servers teach */
#define ERROR_MAX          1.0 /* a sample that waited for something else is no more wrong than that */

void
curve_init (Curve *curve)
{
  *curve = (Curve){ .latency_us = LATENCY_INITIAL_US,
                    .growth = GROWTH_INITIAL,
                    .each = UNIT_RATIO_INITIAL };
}

double
curve_units (const Curve *curve, unsigned tokens)
{
  return tokens * (1 + curve->growth * tokens);
}

double
curve_marginal_units (const Curve *curve, unsigned tokens)
{
  return 1 + 2 * curve->growth * tokens;
}

void
curve_learn (Curve *curve, double *unit_us, unsigned tokens, double token_us, double took_us)
{
  if (tokens == 0 || !(token_us > 0) || !(took_us > 0) || !isfinite (took_us))
    return;
  if (!(*unit_us > 0))
    *unit_us = curve->each * token_us;
  double flat = *unit_us * tokens, grown = flat * curve->growth * tokens;
  double expected = curve->latency_us + flat + grown;
  double error = CLAMP (took_us / expected - 1, -ERROR_MAX, ERROR_MAX);
  double of_latency = curve->latency_us / expected;
  double of_unit = (flat + grown) / expected;
  double of_growth = grown / expected;
  double norm = of_latency * of_latency + of_unit * of_unit + of_growth * of_growth;

  curve->latency_us
      = MAX (LATENCY_MIN_US, curve->latency_us * exp (COMMON_STEP * error * of_latency / norm));
  curve->growth = MAX (GROWTH_MIN, curve->growth * exp (COMMON_STEP * error * of_growth / norm));
  *unit_us *= exp (STEP * error * of_unit / norm);
  curve->each += COMMON_STEP * of_unit * (*unit_us / token_us - curve->each);
}
