/* usage.h - memory and disk space that this process uses. */
#ifndef USAGE_H
#define USAGE_H

#include <glib.h>

/* Appends metrics, all in bytes. folder: the data folder, NULL or "": none. */
void usage_append_metrics (const char *folder, GString *out);
/* Logs both once they have grown by a quarter since they were logged last. Call it about once a
 * second. */
void usage_log_growth (const char *folder);

#endif
