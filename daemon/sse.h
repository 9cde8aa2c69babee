/* sse.h - server-sent events, read from pieces of any size. */
#ifndef SSE_H
#define SSE_H

#include <glib.h>
#include <stdbool.h>

typedef struct
{
  GString *line, *data;
  char *event;
  gint64 id; /* -1: the event had none */
} Sse;

typedef bool (*SseEventFunc) (void *user, gint64 id, const char *event, const char *data);

void sse_init (Sse *sse);
void sse_clear (Sse *sse);
/* Calls fn for each event that bytes complete; false: fn returned false, or a line is longer than
 * a mebibyte. */
bool sse_feed (Sse *sse, const char *bytes, gsize size, SseEventFunc fn, void *user);

#endif
