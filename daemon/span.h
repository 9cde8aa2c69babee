/* span.h - trace spans of requests, written as JSON lines. */
#ifndef SPAN_H
#define SPAN_H

#include "call.h"

/* Opens the file to which spans are appended; "": none are written. False: it cannot be opened. */
bool span_open (const char *path, unsigned instance);
/* Continues the trace of a W3C traceparent header; starts a new one if it is NULL or invalid. */
void span_begin (Call *call, const char *traceparent);
/* Writes the traceparent header for the next hop, 56 bytes. */
void span_traceparent (const Call *call, char *out);
/* Writes a finished span. name: "request" for the call's root span, else its children; start, end:
 * monotonic microseconds; detail may be NULL. */
void span_end (const Call *call, const char *name, int64_t start, int64_t end, const char *detail);

#endif
