/* cost.h - what one decision costs, against everything that can grow. */
#ifndef COST_H
#define COST_H

#include <stdio.h>

/* Prints a table; 0. */
int cost_report (FILE *out);

#endif
