/* hmsg.h - reading and writing HTTP/1.1 messages, by the parser of libhttp-parser. */
#ifndef HMSG_H
#define HMSG_H

#include "foxtail.h"

/* A message's head. Strings belong to the message. */
typedef struct HMsg HMsg;

HMsg *hmsg_new (void);
void hmsg_free (HMsg *msg);
const char *hmsg_method (const HMsg *msg); /* of a request */
const char *hmsg_target (const HMsg *msg); /* of a request: path and query as sent */
unsigned hmsg_status (const HMsg *msg);    /* of a response */
unsigned hmsg_field_count (const HMsg *msg);
const char *hmsg_field_name (const HMsg *msg, unsigned index);
const char *hmsg_field_value (const HMsg *msg, unsigned index);
/* The first field of that name, without regard to case; NULL: none. */
const char *hmsg_field (const HMsg *msg, const char *name);
/* Does the field concern one connection only (RFC 9110, 7.6.1), or frame the body? Such fields are
 * never passed on. */
bool hmsg_field_is_local (const HMsg *msg, unsigned index);
/* May the connection be used again after this message? */
bool hmsg_keeps_connection (const HMsg *msg);
/* The response has neither a length nor chunks: its body ends with the connection. */
bool hmsg_ends_with_connection (const HMsg *msg);

typedef enum
{
  HREAD_BAD_SYNTAX = 1, /* not HTTP, two lengths, a length with chunks, and the like */
  HREAD_HEAD_TOO_LARGE,
  HREAD_BODY_TOO_LARGE
} HReadFault;

/* Called from within hread_feed; must not feed or free the reader. */
typedef struct
{
  void (*head) (void *user, HMsg *msg); /* borrowed until the message's end */
  void (*body) (void *user, const char *data, size_t size);
  void (*end) (void *user);
} HReadOps;

typedef struct HRead HRead;

/* Reads messages one after another. requests: requests, else responses. */
HRead *hread_new (bool requests, const HReadOps *ops, void *user);
void hread_free (HRead *read);
/* Bounds for the messages that follow; 0: none. */
void hread_limits (HRead *read, size_t head_bytes, size_t body_bytes);
/* The response that comes next answers a HEAD request: it has no body. */
void hread_expect_no_body (HRead *read, bool none);
/* Consumes bytes up to the end of one message at most and returns how many; *fault is 0 or what is
 * wrong, after which the reader is of no more use. */
size_t hread_feed (HRead *read, const void *data, size_t size, HReadFault *fault);
/* The connection has ended. True: a message that ends so is complete; its end was reported. */
bool hread_eof (HRead *read);

/* Writing: appends to out. */
void hwrite_request_line (GString *out, const char *method, const char *target);
void hwrite_status_line (GString *out, unsigned status);
void hwrite_field (GString *out, const char *name, const char *value);
void hwrite_number (GString *out, const char *name, int64_t value);
/* Copies the fields of msg that may be passed on and that skip, when given, does not hold back. */
void hwrite_fields_of (GString *out, const HMsg *msg, bool (*skip) (const char *name));
void hwrite_end (GString *out);
void hwrite_chunk (GString *out, const void *data, size_t size);
const char *hwrite_reason (unsigned status);

#endif
