/* curve.c - learns the prefill time of prompts: a fixed latency and a part that grows with length.
 *
 * A model in proportion to length fails at both ends. It estimates short prompts at five times
 * their prefill time, since each first event includes a fixed latency. It estimates long ones at
 * half of it, since each token attends to all tokens before it: long prompts then go to servers
 * where they are late, and requests placed behind them wait.
 *
 * A prompt of n tokens takes
 *     latency + unit x n x (1 + growth x n)
 * with a unit for each server, and latency and growth common to all. Each sample updates the
 * logarithms of the three parameters by normalized least mean squares, in proportion to the
 * relative error and to the parameter's share of the expected time. So short prompts determine the
 * latency, medium ones the unit, long ones the growth, and no parameter becomes negative.
 */
#include "curve.h"

#include <math.h>

/* Tuning constants. */
#define LATENCY_INITIAL_US 10000.0 /* initial value, microseconds */
/* initial value per token; 50,000 tokens take a quarter more than in proportion */
#define GROWTH_INITIAL 5e-6
/* lower bound, since a parameter that reached 0 could not grow again */
#define LATENCY_MIN_US     500.0
#define GROWTH_MIN         2e-7  /* lower bound; 50,000 tokens take a hundredth more */
#define UNIT_RATIO_INITIAL 0.003 /* initial unit, relative to the time of an output token */
#define UNIT_STEP          0.25 /* weight of a sample's error; four samples replace most of the history */
#define COMMON_STEP        0.1 /* the same for parameters common to all servers */
#define ERROR_MAX          1.0 /* bound of the relative error, for samples that include other waiting */

void
curve_init (Curve *curve)
{
  *curve = (Curve){ .latency_us = LATENCY_INITIAL_US,
                    .growth = GROWTH_INITIAL,
                    .unit_ratio = UNIT_RATIO_INITIAL };
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
    *unit_us = curve->unit_ratio * token_us;
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
  *unit_us *= exp (UNIT_STEP * error * of_unit / norm);
  curve->unit_ratio += COMMON_STEP * of_unit * (*unit_us / token_us - curve->unit_ratio);
}
