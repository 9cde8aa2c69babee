/* hmsg.c - a thin layer over libhttp-parser.
 *
 * The parser rejects two lengths and a length together with chunks, but accepts a space before the
 * colon of a field and control characters. Another program on the path may then see a different end
 * of the body and run a request that is hidden in it (request smuggling). So a message is also
 * rejected unless its field names are tokens (RFC 9110, 5.6.2) and its values are printable.
 *
 * The parser takes one to four digits for a status and any version. A response is rejected unless
 * its status has three digits and is from 100 to 599 (RFC 9110, 15), its version is HTTP/1, and its
 * body in no transfer coding but chunked.
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
  GString *text; /* names and values, NUL-terminated */
  GString *target;
  GArray *fields; /* Field */
  const char *method;
  unsigned status;
  bool keep_alive, body_until_close;
};

struct HReader
{
  http_parser parser;
  const HReadOps *ops;
  void *user;
  HMsg *msg;
  size_t head_max, body_max, head_bytes, body_bytes;
  bool requests, in_value, in_message, head_done, ended, no_body;
  bool interim_ended;     /* an interim response has ended in this call of the parser */
  unsigned line_at;       /* bytes of status_line_form that the response has matched */
  unsigned interim_count; /* interim responses before the final one */
  HReadFault fault;
};

/* Many more than any server has a use for. Each begins anew for the parser, which bounds a single
 * head only. */
#define INTERIM_MAX 64

/* How a status line starts; d: a digit, s: the first digit of a status. The byte after it ends the
 * status. */
static const char status_line_form[] = "HTTP/1.d sdd";

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

/* True if the comma-separated list contains word. */
static bool
list_contains (const char *list, const char *word)
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
hmsg_field_is_hop_by_hop (const HMsg *msg, unsigned index)
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
        && list_contains (hmsg_field_value (msg, i), name))
      return true;
  return false;
}

bool
hmsg_keep_alive (const HMsg *msg)
{
  return msg->keep_alive;
}

bool
hmsg_body_until_close (const HMsg *msg)
{
  return msg->body_until_close;
}

/* ---- Reading ---- */

static int
fail (HReader *reader, HReadFault fault)
{
  reader->fault = fault;
  return -1;
}

static int
count_head (HReader *reader, size_t size)
{
  reader->head_bytes += size;
  if (reader->head_max && reader->head_bytes > reader->head_max)
    return fail (reader, HREAD_HEAD_TOO_LARGE);
  return 0;
}

static int
on_begin (http_parser *parser)
{
  HReader *reader = parser->data;

  hmsg_free (reader->msg);
  reader->msg = hmsg_new ();
  reader->in_value = reader->head_done = reader->ended = false;
  reader->in_message = true;
  reader->head_bytes = reader->body_bytes = 0;
  return 0;
}

static int
on_target (http_parser *parser, const char *at, size_t size)
{
  HReader *reader = parser->data;

  g_string_append_len (reader->msg->target, at, (gssize) size);
  return count_head (reader, size);
}

static int
on_name (http_parser *parser, const char *at, size_t size)
{
  HReader *reader = parser->data;
  HMsg *msg = reader->msg;

  if (reader->head_done)
    return 0; /* trailer fields are ignored */
  if (reader->in_value || msg->fields->len == 0)
    {
      Field field = { (guint) msg->text->len + 1, 0 };
      g_string_append_c (msg->text, '\0');
      g_array_append_val (msg->fields, field);
      reader->in_value = false;
    }
  g_string_append_len (msg->text, at, (gssize) size);
  return count_head (reader, size + 4);
}

static int
on_value (http_parser *parser, const char *at, size_t size)
{
  HReader *reader = parser->data;
  HMsg *msg = reader->msg;

  if (reader->head_done)
    return 0;
  if (!reader->in_value)
    {
      g_string_append_c (msg->text, '\0');
      g_array_index (msg->fields, Field, msg->fields->len - 1).value = (guint) msg->text->len;
      reader->in_value = true;
    }
  g_string_append_len (msg->text, at, (gssize) size);
  return count_head (reader, size);
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
fields_are_valid (const HMsg *msg)
{
  for (unsigned i = 0; i < msg->fields->len; i++)
    if (!is_token (hmsg_field_name (msg, i)) || !is_printable (hmsg_field_value (msg, i)))
      return false;
  return is_printable (msg->target->str);
}

/* True if value is the coding, with blanks at most behind it. */
static bool
is_coding (const char *value, const char *coding)
{
  size_t length = strlen (coding);

  return g_ascii_strncasecmp (value, coding, length) == 0
         && value[length + strspn (value + length, " \t")] == '\0';
}

/* True if the body is in a transfer coding that is not decoded here. */
static bool
has_other_coding (const http_parser *parser, const HMsg *msg)
{
  const char *decoded = parser->flags & F_CHUNKED ? "chunked" : "identity";
  unsigned count = 0;

  for (unsigned i = 0; i < msg->fields->len; i++)
    if (g_ascii_strcasecmp (hmsg_field_name (msg, i), "Transfer-Encoding") == 0
        && (++count > 1 || !is_coding (hmsg_field_value (msg, i), decoded)))
      return true;
  return false;
}

static int
on_head (http_parser *parser)
{
  HReader *reader = parser->data;
  HMsg *msg = reader->msg;

  if (!fields_are_valid (msg) || (!reader->requests && has_other_coding (parser, msg)))
    return fail (reader, HREAD_BAD_SYNTAX);
  reader->head_done = true;
  msg->status = parser->status_code;
  if (!reader->requests && msg->status == 101)
    return fail (reader, HREAD_BAD_SYNTAX); /* no other protocol was asked for */
  msg->method = reader->requests ? http_method_str ((enum http_method) parser->method) : "";
  msg->keep_alive = http_should_keep_alive (parser);
  bool bodiless
      = reader->no_body || msg->status / 100 == 1 || msg->status == 204 || msg->status == 304;
  msg->body_until_close = !reader->requests && !bodiless && !(parser->flags & F_CHUNKED)
                          && parser->content_length == ULLONG_MAX;
  if (reader->body_max && parser->content_length != ULLONG_MAX
      && parser->content_length > reader->body_max)
    return fail (reader, HREAD_BODY_TOO_LARGE);
  if (!reader->requests && msg->status / 100 == 1)
    /* an interim response; the final one follows */
    return ++reader->interim_count > INTERIM_MAX ? fail (reader, HREAD_HEAD_TOO_LARGE) : 0;
  reader->interim_count = 0;
  reader->ops->head (reader->user, msg);
  return reader->no_body ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t size)
{
  HReader *reader = parser->data;

  reader->body_bytes += size;
  if (reader->body_max && reader->body_bytes > reader->body_max)
    return fail (reader, HREAD_BODY_TOO_LARGE);
  reader->ops->body (reader->user, at, size);
  return 0;
}

static int
on_end (http_parser *parser)
{
  HReader *reader = parser->data;

  reader->in_message = false;
  reader->line_at = 0;
  http_parser_pause (parser, 1);
  if (!reader->requests && reader->msg->status / 100 == 1)
    {
      reader->interim_ended = true;
      return 0;
    }
  reader->ended = true;
  reader->ops->end (reader->user);
  return 0;
}

static const http_parser_settings settings = { .on_message_begin = on_begin,
                                               .on_url = on_target,
                                               .on_header_field = on_name,
                                               .on_header_value = on_value,
                                               .on_headers_complete = on_head,
                                               .on_body = on_body,
                                               .on_message_complete = on_end };

HReader *
hread_new (bool requests, const HReadOps *ops, void *user)
{
  HReader *reader = g_new0 (HReader, 1);

  http_parser_init (&reader->parser, requests ? HTTP_REQUEST : HTTP_RESPONSE);
  reader->parser.data = reader;
  reader->requests = requests;
  reader->ops = ops;
  reader->user = user;
  return reader;
}

void
hread_free (HReader *reader)
{
  if (reader == NULL)
    return;
  hmsg_free (reader->msg);
  g_free (reader);
}

void
hread_set_limits (HReader *reader, size_t head_bytes, size_t body_bytes)
{
  reader->head_max = head_bytes;
  reader->body_max = body_bytes;
}

void
hread_set_no_body (HReader *reader, bool no_body)
{
  reader->no_body = no_body;
}

/* Matches bytes of a response with the form of a status line, as far as they belong to it. */
static bool
match_status_line (HReader *reader, const char *data, size_t size)
{
  for (size_t i = 0; i < size && reader->line_at < sizeof status_line_form; i++)
    {
      char form = status_line_form[reader->line_at];
      bool blank_line = reader->line_at == 0 && (data[i] == '\r' || data[i] == '\n');

      if (blank_line)
        continue;
      if (form == 'd'   ? !g_ascii_isdigit (data[i])
          : form == 's' ? data[i] < '1' || data[i] > '5'
          : form        ? data[i] != form
                        : strchr (" \r\n", data[i]) == NULL || data[i] == '\0')
        return false;
      reader->line_at++;
    }
  return true;
}

/* Feeds bytes of one message to the parser. */
static size_t
parse (HReader *reader, const char *data, size_t size, HReadFault *fault)
{
  reader->interim_ended = false;
  if (!reader->requests && !match_status_line (reader, data, size))
    {
      *fault = HREAD_BAD_SYNTAX;
      return 0;
    }
  if (HTTP_PARSER_ERRNO (&reader->parser) == HPE_PAUSED)
    http_parser_pause (&reader->parser, 0);
  size_t used = http_parser_execute (&reader->parser, &settings, data, size);
  enum http_errno error = HTTP_PARSER_ERRNO (&reader->parser);
  if (error == HPE_PAUSED)
    return used;
  if (error != HPE_OK)
    *fault = reader->fault                  ? reader->fault
             : error == HPE_HEADER_OVERFLOW ? HREAD_HEAD_TOO_LARGE
                                            : HREAD_BAD_SYNTAX;
  else if (reader->parser.upgrade)
    *fault = HREAD_BAD_SYNTAX; /* no other protocol is supported */
  return used;
}

size_t
hread_feed (HReader *reader, const void *data, size_t size, HReadFault *fault)
{
  size_t used = 0;

  *fault = 0;
  do
    used += parse (reader, (const char *) data + used, size - used, fault);
  while (!*fault && reader->interim_ended && used < size);
  return used;
}

bool
hread_finish (HReader *reader)
{
  if (!reader->in_message || HTTP_PARSER_ERRNO (&reader->parser) != HPE_OK)
    return false;
  http_parser_execute (&reader->parser, &settings, NULL, 0);
  return reader->ended;
}

/* ---- Writing ---- */

const char *
hwrite_reason_phrase (unsigned status)
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
  g_string_append_printf (out, "HTTP/1.1 %u %s\r\n", status, hwrite_reason_phrase (status));
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
hwrite_number_field (GString *out, const char *name, int64_t value)
{
  g_string_append_printf (out, "%s: %" G_GINT64_FORMAT "\r\n", name, value);
}

void
hwrite_forwarded_fields (GString *out, const HMsg *msg, bool (*skip) (const char *name))
{
  for (unsigned i = 0; i < msg->fields->len; i++)
    if (!hmsg_field_is_hop_by_hop (msg, i) && !(skip && skip (hmsg_field_name (msg, i))))
      hwrite_field (out, hmsg_field_name (msg, i), hmsg_field_value (msg, i));
}

void
hwrite_head_end (GString *out)
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
