/* jlog.h - structured logs: one JSON object a line on standard output, bounded and never blocking.
 */
#ifndef JLOG_H
#define JLOG_H

#include "foxtail.h"

typedef enum
{
  JLOG_ERROR,
  JLOG_WARN,
  JLOG_INFO,
  JLOG_DEBUG
} JlogLevel;

typedef struct
{
  const char *name; /* NULL ends a list of fields */
  const char *text; /* NULL: number counts */
  int64_t number;
} JlogField;

#define JL_TEXT(name, value) ((JlogField){ name, (value) ? (value) : "", 0 })
#define JL_INT(name, value)  ((JlogField){ name, NULL, (int64_t) (value) })
/* Microseconds, written as milliseconds; the name should end in _ms. */
#define JL_MS(name, value) ((JlogField){ name, NULL, (int64_t) (value) / 1000 })

/* node: this instance's name, in each line. level: "error", "warn", "info" or "debug". */
void jlog_open (const char *node, const char *level, FtClock *clock);
/* event: a short constant name; request may be NULL. */
void jlog_fields (JlogLevel level, const char *event, const char *request, const JlogField *fields);
#define jlog(level, event, request, ...)                                                           \
  jlog_fields (level, event, request, (const JlogField[]){ __VA_ARGS__, { NULL, NULL, 0 } })
/* Writes what is buffered as far as standard output takes it. Call once a turn; cheap. */
void jlog_flush (bool all);
/* Lines written and lines dropped so far. */
uint64_t jlog_written (void);
uint64_t jlog_dropped (void);

#endif
