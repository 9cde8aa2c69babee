/* sse.h - incremental parser of server-sent events. */
#ifndef SSE_H
#define SSE_H

#include <glib.h>
#include <stdbool.h>

typedef struct
{
  GString *line, *data;
  char *event;
  gint64 id;     /* -1: the event had none that is a number */
  bool after_cr; /* the last byte was a CR, so an LF belongs to the same line end */
  bool started;  /* a line has ended */
} Sse;

/* Called for each event that has data; event: its type or NULL. False stops the parser. */
typedef bool (*SseEventFunc) (void *user, gint64 id, const char *event, const char *data);

void sse_init (Sse *sse);
void sse_clear (Sse *sse);
/* Parses the next bytes and calls fn for each event that they complete. False: fn returned false,
 * or a line or an event's data is longer than 1 MiB. */
bool sse_feed (Sse *sse, const char *bytes, gsize size, SseEventFunc fn, void *user);
/* An event of an id and data, which may have several lines. */
char *sse_format (gint64 id, const char *data);

#endif
