/* span.h - a span for each hop of a request, as JSON lines. */
#ifndef SPAN_H
#define SPAN_H

#include "call.h"

/* Appends to path; "": spans are dropped. False: cannot be opened. */
bool span_open (const char *path, unsigned instance);
/* Takes trace and parent from a W3C traceparent header, or starts a trace. */
void span_begin (Call *call, const char *traceparent);
/* The header for the next hop, 56 bytes. */
void span_traceparent (const Call *call, char *out);
/* start, end: monotonic microseconds. detail may be NULL. name "request" is the root. */
void span_end (const Call *call, const char *name, int64_t start, int64_t end, const char *detail);

#endif
