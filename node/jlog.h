/* jlog.h - structured log: one JSON object per line on standard output, rate-limited, non-blocking.
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
  const char *text; /* NULL: use number */
  int64_t number;
  bool is_unsigned; /* number holds a uint64_t */
} JlogField;

#define JL_TEXT(name, value) ((JlogField){ name, (value) ? (value) : "", 0, false })
#define JL_INT(name, value)  ((JlogField){ name, NULL, (int64_t) (value), false })
#define JL_UINT(name, value) ((JlogField){ name, NULL, (int64_t) (value), true })
/* Microseconds, written as milliseconds; the name should end in _ms. */
#define JL_MS(name, value) ((JlogField){ name, NULL, (int64_t) (value) / 1000, false })

/* node: this instance's name, written in each line. level: "error", "warn", "info" or "debug". */
void jlog_init (const char *node, const char *level, FtClock *clock);
/* event: a short constant name; request may be NULL. */
void jlog_fields (JlogLevel level, const char *event, const char *request, const JlogField *fields);
#define jlog(level, event, request, ...)                                                           \
  jlog_fields (level, event, request, (const JlogField[]){ __VA_ARGS__, { NULL, NULL, 0, false } })
/* Writes as much of the buffer as standard output accepts. Unless all is set, only when enough has
 * collected or some time has passed. Cheap; call in each iteration of the loop. */
void jlog_flush (bool all);
/* Writes the buffer without changing it; async-signal-safe. */
void jlog_write_pending (void);
/* Lines written and lines dropped so far. */
uint64_t jlog_written (void);
uint64_t jlog_dropped (void);

#endif
