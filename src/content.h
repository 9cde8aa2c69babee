/* content.h - the identity of a request's content; private to the library and its shells. */
#ifndef CONTENT_H
#define CONTENT_H

#include "foxtail.h"

#define CONTENT_ID_SIZE 17 /* bytes of an identity as text, its end included */

/* What a request asks of a server. Strings may be NULL, which is as empty. */
typedef struct
{
  const char *method;
  const char *target; /* path and query as sent */
  const char *org;    /* the caller's organisation */
  const void *body;   /* as the caller meant it: without the frames of chunks */
  size_t size;
} Content;

/* The same number on every instance for the same content; never 0. */
uint64_t content_id (const Content *content);
/* 16 hex digits into buffer; returns buffer. */
const char *content_format (uint64_t id, char *buffer);
/* False: text is no identity. */
bool content_parse (const char *text, uint64_t *id);

#endif
