/* edge.h - the callers' port. */
#ifndef EDGE_H
#define EDGE_H

#include "back.h"

typedef struct Edge Edge;

FtStatus edge_new (Core *core, Back *back, Edge **edge, FtError *error);
/* From now on new requests are refused and readiness says so. */
void edge_stop_accepting (Edge *edge);
/* Requests that have not ended, or whose answer is still being sent. */
unsigned edge_open_count (Edge *edge);
void edge_stop (Edge *edge);

#endif
