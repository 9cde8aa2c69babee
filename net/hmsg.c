/* hmsg.c - a thin layer over libhttp-parser, which refuses two lengths and a length together with
 * chunks.
 *
 * Failure: the parser takes a field's name with a space before its colon, and control characters.
 * Symptom: another program on the path sees another end of the body, and runs a request that was
 * hidden in it. So names must be tokens (RFC 9110, 5.6.2) and values must be printable, else the
 * message is refused.
 */
#include "hmsg.h"

#include <http_parser.h>
#include <string.h>

typedef struct
{
  guint name, value; /* offsets into text */
} Field;

struct HMsg
{
  GString *text; /* names and values, each ended by NUL */
  GString *target;
  GArray *fields; /* Field */
  const char *method;
  unsigned status;
  bool keeps, ends_with_connection;
};

struct HRead
{
  http_parser parser;
  const HReadOps *ops;
  void *user;
  HMsg *msg;
  size_t head_most, body_most, head_bytes, body_bytes;
  bool requests, in_value, within, head_done, ended, no_body;
  HReadFault fault;
};

/* ---- Messages ---- */

HMsg *
hmsg_new (void)
{
  HMsg *msg = g_new0 (HMsg, 1);

  msg->text = g_string_sized_new (512);
  msg->target = g_string_new (NULL);
  msg->fields = g_array_new (FALSE, FALSE, sizeof (Field));
  return msg;
}

void
hmsg_free (HMsg *msg)
{
  if (msg == NULL)
    return;
  g_string_free (msg->text, TRUE);
  g_string_free (msg->target, TRUE);
  g_array_unref (msg->fields);
  g_free (msg);
}

const char *
hmsg_method (const HMsg *msg)
{
  return msg->method;
}

const char *
hmsg_target (const HMsg *msg)
{
  return msg->target->str;
}

unsigned
hmsg_status (const HMsg *msg)
{
  return msg->status;
}

unsigned
hmsg_field_count (const HMsg *msg)
{
  return msg->fields->len;
}

const char *
hmsg_field_name (const HMsg *msg, unsigned index)
{
  return msg->text->str + g_array_index (msg->fields, Field, index).name;
}

const char *
hmsg_field_value (const HMsg *msg, unsigned index)
{
  return msg->text->str + g_array_index (msg->fields, Field, index).value;
}

const char *
hmsg_field (const HMsg *msg, const char *name)
{
  for (unsigned i = 0; i < msg->fields->len; i++)
    if (g_ascii_strcasecmp (hmsg_field_name (msg, i), name) == 0)
      return hmsg_field_value (msg, i);
  return NULL;
}

/* Is word one of the comma-separated words of list? */
static bool
list_has (const char *list, const char *word)
{
  size_t length = strlen (word);

  while (*list)
    {
      list += strspn (list, " \t,");
      size_t size = strcspn (list, " \t,");
      if (size == length && g_ascii_strncasecmp (list, word, size) == 0)
        return true;
      list += size;
    }
  return false;
}

bool
hmsg_field_is_local (const HMsg *msg, unsigned index)
{
  static const char *const names[] = { "Connection",
                                       "Keep-Alive",
                                       "Proxy-Connection",
                                       "Proxy-Authenticate",
                                       "Proxy-Authorization",
                                       "TE",
                                       "Trailer",
                                       "Transfer-Encoding",
                                       "Upgrade",
                                       "Content-Length",
                                       "Expect" };
  const char *name = hmsg_field_name (msg, index);

  for (unsigned i = 0; i < G_N_ELEMENTS (names); i++)
    if (g_ascii_strcasecmp (name, names[i]) == 0)
      return true;
  for (unsigned i = 0; i < msg->fields->len; i++)
    if (g_ascii_strcasecmp (hmsg_field_name (msg, i), "Connection") == 0
        && list_has (hmsg_field_value (msg, i), name))
      return true;
  return false;
}

bool
hmsg_keeps_connection (const HMsg *msg)
{
  return msg->keeps;
}

bool
hmsg_ends_with_connection (const HMsg *msg)
{
  return msg->ends_with_connection;
}

/* ---- Reading ---- */

static int
stop (HRead *read, HReadFault fault)
{
  read->fault = fault;
  return -1;
}

static int
count_head (HRead *read, size_t size)
{
  read->head_bytes += size;
  if (read->head_most && read->head_bytes > read->head_most)
    return stop (read, HREAD_HEAD_TOO_LARGE);
  return 0;
}

static int
on_begin (http_parser *parser)
{
  HRead *read = parser->data;

  hmsg_free (read->msg);
  read->msg = hmsg_new ();
  read->in_value = read->head_done = read->ended = false;
  read->within = true;
  read->head_bytes = read->body_bytes = 0;
  return 0;
}

static int
on_target (http_parser *parser, const char *at, size_t size)
{
  HRead *read = parser->data;

  g_string_append_len (read->msg->target, at, (gssize) size);
  return count_head (read, size);
}

static int
on_name (http_parser *parser, const char *at, size_t size)
{
  HRead *read = parser->data;
  HMsg *msg = read->msg;

  if (read->head_done)
    return 0; /* a trailer: nothing here uses one */
  if (read->in_value || msg->fields->len == 0)
    {
      Field field = { (guint) msg->text->len + 1, 0 };
      g_string_append_c (msg->text, '\0');
      g_array_append_val (msg->fields, field);
      read->in_value = false;
    }
  g_string_append_len (msg->text, at, (gssize) size);
  return count_head (read, size + 4);
}

static int
on_value (http_parser *parser, const char *at, size_t size)
{
  HRead *read = parser->data;
  HMsg *msg = read->msg;

  if (read->head_done)
    return 0;
  if (!read->in_value)
    {
      g_string_append_c (msg->text, '\0');
      g_array_index (msg->fields, Field, msg->fields->len - 1).value = (guint) msg->text->len;
      read->in_value = true;
    }
  g_string_append_len (msg->text, at, (gssize) size);
  return count_head (read, size);
}

static bool
is_token (const char *name)
{
  if (*name == '\0')
    return false;
  for (; *name; name++)
    if (!g_ascii_isalnum (*name) && strchr ("!#$%&'*+-.^_`|~", *name) == NULL)
      return false;
  return true;
}

static bool
is_printable (const char *text)
{
  for (; *text; text++)
    if (((unsigned char) *text < 0x20 && *text != '\t') || *text == 0x7f)
      return false;
  return true;
}

static bool
fields_are_sound (const HMsg *msg)
{
  for (unsigned i = 0; i < msg->fields->len; i++)
    if (!is_token (hmsg_field_name (msg, i)) || !is_printable (hmsg_field_value (msg, i)))
      return false;
  return is_printable (msg->target->str);
}

static int
on_head (http_parser *parser)
{
  HRead *read = parser->data;
  HMsg *msg = read->msg;

  if (!fields_are_sound (msg))
    return stop (read, HREAD_BAD_SYNTAX);
  read->head_done = true;
  msg->status = parser->status_code;
  msg->method = read->requests ? http_method_str ((enum http_method) parser->method) : "";
  msg->keeps = http_should_keep_alive (parser);
  bool bodiless
      = read->no_body || msg->status / 100 == 1 || msg->status == 204 || msg->status == 304;
  msg->ends_with_connection = !read->requests && !bodiless && !(parser->flags & F_CHUNKED)
                              && parser->content_length == ULLONG_MAX;
  if (read->body_most && parser->content_length != ULLONG_MAX
      && parser->content_length > read->body_most)
    return stop (read, HREAD_BODY_TOO_LARGE);
  if (!read->requests && msg->status / 100 == 1)
    return 0; /* an interim response; the real one follows */
  read->ops->head (read->user, msg);
  return read->no_body ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t size)
{
  HRead *read = parser->data;

  read->body_bytes += size;
  if (read->body_most && read->body_bytes > read->body_most)
    return stop (read, HREAD_BODY_TOO_LARGE);
  read->ops->body (read->user, at, size);
  return 0;
}

static int
on_end (http_parser *parser)
{
  HRead *read = parser->data;

  read->within = false;
  if (!read->requests && read->msg->status / 100 == 1)
    return 0;
  read->ended = true;
  http_parser_pause (parser, 1);
  read->ops->end (read->user);
  return 0;
}

static const http_parser_settings settings = { .on_message_begin = on_begin,
                                               .on_url = on_target,
                                               .on_header_field = on_name,
                                               .on_header_value = on_value,
                                               .on_headers_complete = on_head,
                                               .on_body = on_body,
                                               .on_message_complete = on_end };

HRead *
hread_new (bool requests, const HReadOps *ops, void *user)
{
  HRead *read = g_new0 (HRead, 1);

  http_parser_init (&read->parser, requests ? HTTP_REQUEST : HTTP_RESPONSE);
  read->parser.data = read;
  read->requests = requests;
  read->ops = ops;
  read->user = user;
  return read;
}

void
hread_free (HRead *read)
{
  if (read == NULL)
    return;
  hmsg_free (read->msg);
  g_free (read);
}

void
hread_limits (HRead *read, size_t head_bytes, size_t body_bytes)
{
  read->head_most = head_bytes;
  read->body_most = body_bytes;
}

void
hread_expect_no_body (HRead *read, bool none)
{
  read->no_body = none;
}

size_t
hread_feed (HRead *read, const void *data, size_t size, HReadFault *fault)
{
  *fault = 0;
  if (HTTP_PARSER_ERRNO (&read->parser) == HPE_PAUSED)
    http_parser_pause (&read->parser, 0);
  size_t used = http_parser_execute (&read->parser, &settings, data, size);
  enum http_errno error = HTTP_PARSER_ERRNO (&read->parser);
  if (error == HPE_PAUSED)
    return used;
  if (error != HPE_OK)
    *fault = read->fault                    ? read->fault
             : error == HPE_HEADER_OVERFLOW ? HREAD_HEAD_TOO_LARGE
                                            : HREAD_BAD_SYNTAX;
  else if (read->parser.upgrade)
    *fault = HREAD_BAD_SYNTAX; /* no other protocol is spoken here */
  return used;
}

bool
hread_eof (HRead *read)
{
  if (!read->within || HTTP_PARSER_ERRNO (&read->parser) != HPE_OK)
    return false;
  http_parser_execute (&read->parser, &settings, NULL, 0);
  return read->ended;
}

/* ---- Writing ---- */

const char *
hwrite_reason (unsigned status)
{
  switch (status)
    {
#define XX(number, name, text)                                                                     \
  case number:                                                                                     \
    return #text;
      HTTP_STATUS_MAP (XX)
#undef XX
    default:
      return "Unknown";
    }
}

void
hwrite_request_line (GString *out, const char *method, const char *target)
{
  g_string_append (out, method);
  g_string_append_c (out, ' ');
  g_string_append (out, target);
  g_string_append (out, " HTTP/1.1\r\n");
}

void
hwrite_status_line (GString *out, unsigned status)
{
  g_string_append_printf (out, "HTTP/1.1 %u %s\r\n", status, hwrite_reason (status));
}

void
hwrite_field (GString *out, const char *name, const char *value)
{
  g_string_append (out, name);
  g_string_append (out, ": ");
  g_string_append (out, value);
  g_string_append (out, "\r\n");
}

void
hwrite_number (GString *out, const char *name, int64_t value)
{
  g_string_append_printf (out, "%s: %" G_GINT64_FORMAT "\r\n", name, value);
}

void
hwrite_fields_of (GString *out, const HMsg *msg, bool (*skip) (const char *name))
{
  for (unsigned i = 0; i < msg->fields->len; i++)
    if (!hmsg_field_is_local (msg, i) && !(skip && skip (hmsg_field_name (msg, i))))
      hwrite_field (out, hmsg_field_name (msg, i), hmsg_field_value (msg, i));
}

void
hwrite_end (GString *out)
{
  g_string_append (out, "\r\n");
}

void
hwrite_chunk (GString *out, const void *data, size_t size)
{
  g_string_append_printf (out, "%zx\r\n", size);
  g_string_append_len (out, data, (gssize) size);
  g_string_append (out, "\r\n");
}
