/* events.h - filters a text/event-stream so that only complete events pass, each once; private to
 * the library and the programs that embed it. */
#ifndef EVENTS_H
#define EVENTS_H

#include "foxtail.h"

typedef struct Events Events;

/* last_id: of the last event that the caller has from an earlier attempt; NULL: none. */
Events *events_new (const char *last_id);
void events_free (Events *events);
/* Processes bytes of the stream. Appends the events that are complete now to out, except those
 * whose id is a number not above the last one before. Returns how many were appended; the LF that
 * follows the CR of an event appended before is appended too, and is none. */
unsigned events_feed (Events *events, const char *data, size_t size, GString *out);
/* True if the partial event is longer than any event may be, 1 MiB: the stream is not read on. */
bool events_is_too_long (const Events *events);
/* Drops a partial event, because another server continues the stream. */
void events_drop_partial (Events *events);
/* Id of the last event with an id that was appended, or the id given at the start; NULL: none. */
const char *events_last_id (const Events *events);
/* False: events with data but no id were appended after that one. A server that goes on after it
 * would send them again. */
bool events_can_resume (const Events *events);
/* Events that were not appended since their number was not above the one before, so far. */
unsigned events_dropped (const Events *events);
/* Numbers that were left out between an event and the one before, summed up so far. */
uint64_t events_skipped (const Events *events);
/* Is a partial event buffered? */
bool events_has_partial (const Events *events);

#endif
