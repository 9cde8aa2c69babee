/* heads.h - answers with heads that are not valid HTTP/1.1, and valid ones of a rare form. */
#ifndef HEADS_H
#define HEADS_H

#include <glib.h>
#include <stdbool.h>
#include <string.h>

typedef enum
{
  HEAD_LENGTH,      /* the body's length is stated */
  HEAD_CHUNKED,     /* the body comes in chunks */
  HEAD_CHUNKED_ODD, /* the same, with capitals and blanks in the name of the coding */
  HEAD_CLOSE,       /* the connection's end ends the body */
  HEAD_EMPTY,       /* there is no body, and its length is stated as 0 */
  HEAD_BARE         /* neither body nor framing */
} HeadFraming;

typedef struct
{
  const char *name, *line; /* of the case; the status line */
  const char *fields;      /* complete lines; NULL: none */
  HeadFraming framing;
  unsigned status; /* that a caller gets; 0: the answer is no answer */
  bool interim;    /* line and fields are of an interim response before a valid one */
} Head;

#define HEAD_STATUS(name, line)                                                                    \
  { "status/" name "/length", line, NULL, HEAD_LENGTH, 0, false },                                 \
      { "status/" name "/chunked", line, NULL, HEAD_CHUNKED, 0, false },                           \
      { "status/" name "/close", line, NULL, HEAD_CLOSE, 0, false },                               \
  {                                                                                                \
    "status/" name "/empty", line, NULL, HEAD_EMPTY, 0, false                                      \
  }
#define HEAD_FIELDS(name, fields)                                                                  \
  {                                                                                                \
    "fields/" name, "HTTP/1.1 200 OK", fields, HEAD_LENGTH, 0, false                               \
  }
#define HEAD_CODING(name, fields, framing)                                                         \
  {                                                                                                \
    "coding/" name, "HTTP/1.1 200 OK", fields, framing, 0, false                                   \
  }
#define HEAD_INTERIM(name, line, fields)                                                           \
  {                                                                                                \
    "interim/" name, line, fields, HEAD_LENGTH, 0, true                                            \
  }
#define HEAD_VALID(name, line, fields, framing, status)                                            \
  {                                                                                                \
    "valid/" name, line, fields, framing, status, false                                            \
  }

static const Head heads[] = {
  HEAD_STATUS ("000", "HTTP/1.1 000 OK"),
  HEAD_STATUS ("0", "HTTP/1.1 0 OK"),
  HEAD_STATUS ("00", "HTTP/1.1 00 OK"),
  HEAD_STATUS ("20", "HTTP/1.1 20 OK"),
  HEAD_STATUS ("099", "HTTP/1.1 099 OK"),
  HEAD_STATUS ("0200", "HTTP/1.1 0200 OK"),
  HEAD_STATUS ("600", "HTTP/1.1 600 OK"),
  HEAD_STATUS ("999", "HTTP/1.1 999 OK"),
  HEAD_STATUS ("2000", "HTTP/1.1 2000 OK"),
  HEAD_STATUS ("letter", "HTTP/1.1 200x OK"),
  HEAD_STATUS ("negative", "HTTP/1.1 -200 OK"),
  HEAD_STATUS ("missing", "HTTP/1.1  OK"),
  HEAD_STATUS ("version_2", "HTTP/2.0 200 OK"),
  HEAD_STATUS ("version_9", "HTTP/9.9 200 OK"),
  HEAD_STATUS ("version_long", "HTTP/1.10 200 OK"),
  HEAD_STATUS ("protocol", "ICY 200 OK"),
  HEAD_STATUS ("switch", "HTTP/1.1 101 Switching Protocols"),
  HEAD_FIELDS ("blank_in_name", "X Name: value\r\n"),
  HEAD_FIELDS ("tab_in_name", "X\tName: value\r\n"),
  HEAD_FIELDS ("control_in_name", "X\001Name: value\r\n"),
  HEAD_FIELDS ("del_in_name", "X\177Name: value\r\n"),
  HEAD_FIELDS ("cr_in_name", "X\rName: value\r\n"),
  HEAD_FIELDS ("high_byte_in_name", "X\351Name: value\r\n"),
  HEAD_FIELDS ("blank_before_colon", "X-Name : value\r\n"),
  HEAD_FIELDS ("blank_before_name", " X-Name: value\r\n"),
  HEAD_FIELDS ("no_colon", "X-Name\r\n"),
  HEAD_FIELDS ("empty_name", ": value\r\n"),
  HEAD_FIELDS ("control_in_value", "X-Name: va\001lue\r\n"),
  HEAD_FIELDS ("cr_in_value", "X-Name: va\rlue\r\n"),
  HEAD_FIELDS ("second_length", "Content-Length: 5\r\n"),
  HEAD_FIELDS ("length_list", "Content-Length: 5, 5\r\n"),
  HEAD_FIELDS ("chunks_and_length", "Transfer-Encoding: chunked\r\n"),
  HEAD_FIELDS ("blank_before_length_colon", "Content-Length : 5\r\n"),
  HEAD_CODING ("blank_before_colon", "Transfer-Encoding : chunked\r\n", HEAD_LENGTH),
  HEAD_CODING ("blank_before_colon_close", "Transfer-Encoding : chunked\r\n", HEAD_CLOSE),
  HEAD_CODING ("control_in_name", "Transfer-Encoding\001: chunked\r\n", HEAD_LENGTH),
  HEAD_CODING ("gzip", "Transfer-Encoding: gzip\r\n", HEAD_CLOSE),
  HEAD_CODING ("chunked_gzip", "Transfer-Encoding: chunked, gzip\r\n", HEAD_CLOSE),
  HEAD_CODING ("gzip_chunked", "Transfer-Encoding: gzip\r\n", HEAD_CHUNKED),
  HEAD_CODING ("chunked_twice", "Transfer-Encoding: chunked\r\n", HEAD_CHUNKED),
  HEAD_CODING ("unknown", "Transfer-Encoding: x-chunked\r\n", HEAD_CLOSE),
  HEAD_INTERIM ("blank_in_name", "HTTP/1.1 103 Early Hints", "X Name: value\r\n"),
  HEAD_INTERIM ("control_in_name", "HTTP/1.1 103 Early Hints", "X\001Name: value\r\n"),
  HEAD_INTERIM ("status_1", "HTTP/1.1 1 Continue", NULL),
  HEAD_INTERIM ("status_10", "HTTP/1.1 10 Continue", NULL),
  HEAD_INTERIM ("status_0100", "HTTP/1.1 0100 Continue", NULL),
  HEAD_INTERIM ("status_099", "HTTP/1.1 099 Continue", NULL),
  HEAD_INTERIM ("version_2", "HTTP/2.0 100 Continue", NULL),
  HEAD_VALID ("usual", "HTTP/1.1 200 OK", NULL, HEAD_LENGTH, 200),
  HEAD_VALID ("chunked", "HTTP/1.1 200 OK", NULL, HEAD_CHUNKED, 200),
  HEAD_VALID ("chunked_upper_case", "HTTP/1.1 200 OK", NULL, HEAD_CHUNKED_ODD, 200),
  HEAD_VALID ("identity", "HTTP/1.1 200 OK", "Transfer-Encoding: identity\r\n", HEAD_CLOSE, 200),
  HEAD_VALID ("no_reason", "HTTP/1.1 200", NULL, HEAD_LENGTH, 200),
  HEAD_VALID ("empty_reason", "HTTP/1.1 200 ", NULL, HEAD_LENGTH, 200),
  HEAD_VALID ("version_1_0", "HTTP/1.0 200 OK", NULL, HEAD_LENGTH, 200),
  HEAD_VALID ("created", "HTTP/1.1 201 Created", NULL, HEAD_LENGTH, 201),
  HEAD_VALID ("status_299", "HTTP/1.1 299 Odd", NULL, HEAD_LENGTH, 299),
  HEAD_VALID ("no_content", "HTTP/1.1 204 No Content", NULL, HEAD_BARE, 204),
  HEAD_VALID ("not_modified", "HTTP/1.1 304 Not Modified", NULL, HEAD_BARE, 304),
  HEAD_VALID ("not_found", "HTTP/1.1 404 Not Found", NULL, HEAD_CHUNKED, 404),
  HEAD_VALID ("not_found_empty", "HTTP/1.1 404 Not Found", NULL, HEAD_EMPTY, 404),
  HEAD_VALID ("status_499", "HTTP/1.1 499 Odd", NULL, HEAD_LENGTH, 499),
  HEAD_VALID ("lower_case", "HTTP/1.1 200 OK", "x-name:value\r\nx-empty:\r\n", HEAD_LENGTH, 200),
  HEAD_VALID ("high_byte_in_value", "HTTP/1.1 200 OK", "X-Name: caf\351\r\n", HEAD_LENGTH, 200),
  HEAD_VALID ("token_name", "HTTP/1.1 200 OK", "X!#$%&'*+-.^_`|~9: value\r\n", HEAD_LENGTH, 200),
};

/* A complete answer. more: further fields of the final response, complete lines; body: its body. */
static GString *
head_write_answer (const Head *head, const char *more, const char *body)
{
  GString *out = g_string_new (NULL);
  bool bodiless = head->framing == HEAD_EMPTY || head->framing == HEAD_BARE;

  g_string_append_printf (out, "%s\r\n%s", head->line, head->fields ? head->fields : "");
  if (head->interim)
    g_string_append (out, "\r\nHTTP/1.1 200 OK\r\n");
  g_string_append (out, more);
  if (head->framing == HEAD_LENGTH || head->framing == HEAD_EMPTY)
    g_string_append_printf (out, "Content-Length: %zu\r\n", bodiless ? 0 : strlen (body));
  if (head->framing == HEAD_CHUNKED || head->framing == HEAD_CHUNKED_ODD)
    g_string_append_printf (out, "Transfer-Encoding: %s\r\n\r\n%zx\r\n%s\r\n0\r\n\r\n",
                            head->framing == HEAD_CHUNKED ? "chunked" : " CHUNKED ", strlen (body),
                            body);
  else
    g_string_append_printf (out, "\r\n%s", bodiless ? "" : body);
  return out;
}

#endif
