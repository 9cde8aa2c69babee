/* events.h - the events of a text/event-stream as they pass through; private to the library and its
 * shells. */
#ifndef EVENTS_H
#define EVENTS_H

#include "foxtail.h"

typedef struct Events Events;

Events *events_new (void);
void events_free (Events *events);
/* Takes bytes of the stream. Appends the whole events among them to out, without those at or before
 * the last one that was passed on before. Returns how many whole events were appended. */
unsigned events_feed (Events *events, const char *data, size_t size, GString *out);
/* The rest of the stream comes from another server: the half event held is dropped. */
void events_drop_partial (Events *events);
/* Id of the last event passed on; NULL: none had one. */
const char *events_last_id (const Events *events);
/* Is part of an event held? */
bool events_has_partial (const Events *events);

#endif
