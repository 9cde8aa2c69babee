/* curves.h - detection and false alarm rates of the roll-out judge. */
#ifndef CURVES_H
#define CURVES_H

/* Prints a table; each row is the result of that number of simulated roll-outs. Returns 0. */
int curves_report (unsigned seeds);

#endif
