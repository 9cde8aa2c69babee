/* callers.h - an entry's server for callers: how many connections it takes, and when it refuses new
 * ones. */
#ifndef CALLERS_H
#define CALLERS_H

#include "hsrv.h"
#include "route.h"

typedef struct Callers Callers;

/* files: descriptors that the process may have open; 0: as the system's limit says. Returns NULL
 * with errno set if the address cannot be bound. */
Callers *callers_new (Loop *loop, SockAddr addr, const HSrvOps *ops, void *owner, unsigned files);
void callers_free (Callers *callers);
/* The server that it limits; freed with it. */
HSrv *callers_server (const Callers *callers);
void callers_apply_limits (Callers *callers, const RtLimits *limits);
/* To be called about every 40 ms: logs what was refused. */
void callers_tick (Callers *callers);
/* Appends lines of metrics. */
void callers_describe (const Callers *callers, GString *out);

#endif
