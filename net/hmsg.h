/* hmsg.h - HTTP/1.1 messages: a reader on top of libhttp-parser, and functions that write them. */
#ifndef HMSG_H
#define HMSG_H

#include "foxtail.h"

/* The head of a message. It owns the strings that the functions below return. */
typedef struct HMsg HMsg;

HMsg *hmsg_new (void);
void hmsg_free (HMsg *msg);
const char *hmsg_method (const HMsg *msg); /* requests only */
const char *hmsg_target (const HMsg *msg); /* requests only: path and query as sent */
unsigned hmsg_status (const HMsg *msg);    /* responses only */
unsigned hmsg_field_count (const HMsg *msg);
const char *hmsg_field_name (const HMsg *msg, unsigned index);
const char *hmsg_field_value (const HMsg *msg, unsigned index);
/* Value of the first field of that name, compared without case; NULL: there is none. */
const char *hmsg_field (const HMsg *msg, const char *name);
/* True if the field is hop-by-hop (RFC 9110, 7.6.1) or describes how the body is framed. Such
 * fields are never forwarded. */
bool hmsg_field_is_hop_by_hop (const HMsg *msg, unsigned index);
/* True if the connection may be reused after this message. */
bool hmsg_keep_alive (const HMsg *msg);
/* True for a response without length and chunks, whose body ends when the connection closes. */
bool hmsg_body_until_close (const HMsg *msg);

typedef enum
{
  HREAD_BAD_SYNTAX = 1, /* not HTTP, two lengths, a length together with chunks and so on */
  HREAD_HEAD_TOO_LARGE,
  HREAD_BODY_TOO_LARGE
} HReadFault;

/* Callbacks, run by hread_feed and hread_finish. They must not feed or free the reader. */
typedef struct
{
  void (*head) (void *user, HMsg *msg); /* msg is valid until the next message begins */
  void (*body) (void *user, const char *data, size_t size);
  void (*end) (void *user);
} HReadOps;

typedef struct HReader HReader;

/* Parses a sequence of messages: requests if requests is true, otherwise responses. */
HReader *hread_new (bool requests, const HReadOps *ops, void *user);
void hread_free (HReader *reader);
/* Sets the largest sizes of head and body for the messages that follow; 0: no limit. */
void hread_set_limits (HReader *reader, size_t head_bytes, size_t body_bytes);
/* no_body: the next response answers a HEAD request and has no body. */
void hread_set_no_body (HReader *reader, bool no_body);
/* Parses bytes up to the end of the current message at most and returns how many it consumed. Sets
 * *fault to 0 or to the error, after which the reader must not be used any more. */
size_t hread_feed (HReader *reader, const void *data, size_t size, HReadFault *fault);
/* Tells the reader that the connection was closed. Returns true if that completes a message, whose
 * end callback has then run. */
bool hread_finish (HReader *reader);

/* The functions below append to out. */
void hwrite_request_line (GString *out, const char *method, const char *target);
void hwrite_status_line (GString *out, unsigned status);
void hwrite_field (GString *out, const char *name, const char *value);
void hwrite_number_field (GString *out, const char *name, int64_t value);
/* Copies the fields of msg that may be forwarded, except those for which skip, if given, returns
 * true. */
void hwrite_forwarded_fields (GString *out, const HMsg *msg, bool (*skip) (const char *name));
/* Ends the head with an empty line. */
void hwrite_head_end (GString *out);
void hwrite_chunk (GString *out, const void *data, size_t size);
const char *hwrite_reason_phrase (unsigned status);

#endif
