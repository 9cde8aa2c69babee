/* dlog.h - structured logs: one JSON object a line on standard error, through log4c. */
#ifndef DLOG_H
#define DLOG_H

#include <stdbool.h>

typedef enum
{
  DLOG_ERROR,
  DLOG_WARN,
  DLOG_INFO,
  DLOG_DEBUG
} DlogLevel;

/* level: "error", "warn", "info" or "debug". instance goes into each line. False: log4c failed. */
bool dlog_init (const char *level, unsigned instance);
void dlog_fini (void);
/* Logs an event; safe in any thread. request: an id or NULL; event: a short constant name; format:
 * the details. */
void dlog (DlogLevel level, const char *request, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

#endif
