/* curve.h - how long engines take for a prompt of some length; private to the library. */
#ifndef CURVE_H
#define CURVE_H

#include "foxtail.h"

/* A prompt of n tokens takes latency_us + unit x n x (1 + growth x n), unit being one server's. */
typedef struct
{
  double latency_us, growth;
  double each; /* a unit in times of an output token, for servers that have shown none yet */
} Curve;

void curve_init (Curve *curve);
/* The part that grows, and that of one token at its end; both in units. */
double curve_units (const Curve *curve, unsigned tokens);
double curve_marginal_units (const Curve *curve, unsigned tokens);
/* A prompt of so many tokens took took_us on the server whose unit is *unit_us, 0 before its first
 * sample, and whose output token takes token_us. What is no such time teaches nothing. */
void curve_learn (Curve *curve, double *unit_us, unsigned tokens, double token_us, double took_us);

#endif
