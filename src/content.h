/* content.h - the identity of a request's content; private to the library and its shells. */
#ifndef CONTENT_H
#define CONTENT_H

#include "foxtail.h"

#define CONTENT_ID_SIZE 17 /* size of an id as text, with the final NUL */

/* The parts of a request that identify its content. A NULL string is the same as an empty one. */
typedef struct
{
  const char *method;
  const char *target; /* path and query as sent */
  const char *org;    /* the caller's organisation */
  const void *body;   /* without chunked encoding */
  size_t size;
} Content;

/* A hash of the content, the same on every instance; never 0. */
uint64_t content_id (const Content *content);
/* Writes 16 hex digits to buffer, which has CONTENT_ID_SIZE bytes, and returns it. */
const char *content_format (uint64_t id, char *buffer);
/* False: text is not an id. */
bool content_parse (const char *text, uint64_t *id);

#endif
