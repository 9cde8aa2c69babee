/* curves.h - operating curves of the judges of versions. */
#ifndef CURVES_H
#define CURVES_H

/* Prints them as a table, over so many seeds. */
int curves_report (unsigned seeds);

#endif
