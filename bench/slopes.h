/* slopes.h - growth of an instance's memory, messages and time with the size of the system. */
#ifndef SLOPES_H
#define SLOPES_H

#include <stdio.h>

/* Prints CSV with the columns what,unit,x,y. Each series ends with a fitted line y = a + b x and
 * its largest residual. Returns 0. */
int slopes_report (FILE *out);

#endif
