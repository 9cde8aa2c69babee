/* cost.h - processor time and memory per scheduling decision, by number of servers, queued
 * requests and organisations. */
#ifndef COST_H
#define COST_H

#include <stdio.h>

/* Prints a table. Returns 0. */
int cost_report (FILE *out);

#endif
