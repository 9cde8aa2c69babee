/* runs.h - how often a process was started on a data folder, and how it ended the last time. */
#ifndef RUNS_H
#define RUNS_H

#include <stdbool.h>

/* Counts a start in the folder, logs it with the last end, and notes an end by a signal that
 * fatal.h handles. Errors are logged and change nothing else. */
void runs_begin (const char *folder);
/* Notes that the process stops in order. */
void runs_end (void);

#endif
