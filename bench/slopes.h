/* slopes.h - how an instance's state, messages and time grow with what can grow. */
#ifndef SLOPES_H
#define SLOPES_H

#include <stdio.h>

/* Prints CSV: what,unit,x,y and, for each what, a fitted line y = a + b x with its residual. 0. */
int slopes_report (FILE *out);

#endif
