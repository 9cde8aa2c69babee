/* curve.h - model of an engine's prefill time by prompt length; private to the library. */
#ifndef CURVE_H
#define CURVE_H

#include "foxtail.h"

/* The prefill of n tokens takes latency_us + unit x n x (1 + growth x n). Each server has its own
 * unit; the rest is common to a service. */
typedef struct
{
  double latency_us, growth;
  /* mean unit relative to the output token time, used for servers without a sample */
  double unit_ratio;
} Curve;

void curve_init (Curve *curve);
/* The prefill time of a prompt without the latency, and that of one more token at its end, in
 * units. */
double curve_units (const Curve *curve, unsigned tokens);
double curve_marginal_units (const Curve *curve, unsigned tokens);
/* Learns from a prompt that took took_us to its first token. unit_us: the server's unit, 0 before
 * its first sample; token_us: its time for an output token. Invalid samples are ignored. */
void curve_learn (Curve *curve, double *unit_us, unsigned tokens, double token_us, double took_us);

#endif
