/* edge.h - the callers' HTTP port. */
#ifndef EDGE_H
#define EDGE_H

#include "back.h"

typedef struct Edge Edge;

FtStatus edge_new (Core *core, Back *back, Edge **edge, FtError *error);
/* From now on new requests are refused and /readyz answers 503. */
void edge_stop_accepting (Edge *edge);
/* Number of requests that have not ended or whose answer is still being sent. */
unsigned edge_open_count (Edge *edge);
/* Answers all requests that a backend server has not answered yet. */
void edge_give_up (Edge *edge);
/* Closes the port and all its connections. */
void edge_stop (Edge *edge);

#endif
