/* body.c - parses and builds JSON bodies with json-c. */
#include "body.h"

#include <json-c/json.h>
#include <string.h>

#define MAX_DEPTH 32

static struct json_object *
parse (const char *text)
{
  struct json_tokener *tokener = json_tokener_new_ex (MAX_DEPTH);
  struct json_object *root = NULL;

  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT);
  if (strlen (text) < G_MAXINT - 1 && g_utf8_validate (text, -1, NULL))
    root = json_tokener_parse_ex (tokener, text, (int) strlen (text) + 1);
  if (json_tokener_get_error (tokener) != json_tokener_success && root)
    {
      json_object_put (root);
      root = NULL;
    }
  json_tokener_free (tokener);
  return root;
}

static bool
append_content (struct json_object *content, GString *out)
{
  if (json_object_is_type (content, json_type_string))
    {
      g_string_append (out, json_object_get_string (content));
      return true;
    }
  if (!json_object_is_type (content, json_type_array))
    return false;
  for (size_t i = 0; i < json_object_array_length (content); i++)
    {
      struct json_object *text
          = json_object_object_get (json_object_array_get_idx (content, i), "text");
      if (json_object_is_type (text, json_type_string))
        g_string_append (out, json_object_get_string (text));
    }
  return true;
}

static FtStatus
parse_messages (struct json_object *messages, BodyChat *chat, FtError *error)
{
  if (!json_object_is_type (messages, json_type_array) || json_object_array_length (messages) == 0)
    return ft_error_set (error, FT_INVALID, 0, "messages", "must be an array of messages");
  for (size_t i = 0; i < json_object_array_length (messages); i++)
    {
      struct json_object *message = json_object_array_get_idx (messages, i);
      struct json_object *role = NULL, *content = NULL;
      if (!json_object_is_type (message, json_type_object)
          || !json_object_object_get_ex (message, "role", &role)
          || !json_object_is_type (role, json_type_string)
          || !json_object_object_get_ex (message, "content", &content))
        return ft_error_set (error, FT_INVALID, 0, "messages",
                             "message %zu must be an object with role and content", i);
      g_string_append_printf (chat->prompt, "%s:", json_object_get_string (role));
      if (!append_content (content, chat->prompt))
        return ft_error_set (error, FT_INVALID, 0, "messages",
                             "content of message %zu must be text", i);
      g_string_append_c (chat->prompt, '\n');
    }
  return FT_OK;
}

FtStatus
body_parse_chat (const char *text, BodyChat *chat, FtError *error)
{
  FtStatus status = FT_OK;
  struct json_object *value = NULL, *root = parse (text);

  memset (chat, 0, sizeof *chat);
  chat->prompt = g_string_new (NULL);
  if (!json_object_is_type (root, json_type_object))
    {
      status = ft_error_set (error, FT_INVALID, 0, "body", "is not a JSON object");
      goto out;
    }
  if (!json_object_object_get_ex (root, "model", &value)
      || !json_object_is_type (value, json_type_string))
    {
      status = ft_error_set (error, FT_INVALID, 0, "model", "must be the name of a model");
      goto out;
    }
  chat->model = g_strdup (json_object_get_string (value));
  if (json_object_object_get_ex (root, "stream", &value))
    {
      if (!json_object_is_type (value, json_type_boolean))
        {
          status = ft_error_set (error, FT_INVALID, 0, "stream", "must be true or false");
          goto out;
        }
      chat->stream = json_object_get_boolean (value);
    }
  if (json_object_object_get_ex (root, "max_tokens", &value))
    {
      int64_t limit = json_object_get_int64 (value);
      if (!json_object_is_type (value, json_type_int) || limit < 1 || limit > 1000000)
        {
          status = ft_error_set (error, FT_INVALID, 0, "max_tokens",
                                 "must be a whole number from 1 to 1000000");
          goto out;
        }
      chat->most_tokens = (unsigned) limit;
    }
  value = NULL;
  json_object_object_get_ex (root, "messages", &value);
  status = parse_messages (value, chat, error);
out:
  json_object_put (root);
  return status;
}

void
body_clear_chat (BodyChat *chat)
{
  g_free (chat->model);
  if (chat->prompt)
    g_string_free (chat->prompt, TRUE);
}

char *
body_with_stream (const char *text)
{
  struct json_object *root = parse (text);

  json_object_object_add (root, "stream", json_object_new_boolean (1));
  char *out = g_strdup (json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  return out;
}

void
body_append_delta (const char *piece, GString *out)
{
  struct json_object *choices = NULL, *delta, *content = NULL, *root = parse (piece);

  if (json_object_is_type (root, json_type_object)
      && json_object_object_get_ex (root, "choices", &choices)
      && json_object_is_type (choices, json_type_array) && json_object_array_length (choices) > 0)
    {
      delta = json_object_object_get (json_object_array_get_idx (choices, 0), "delta");
      if (json_object_is_type (delta, json_type_object)
          && json_object_object_get_ex (delta, "content", &content)
          && json_object_is_type (content, json_type_string))
        g_string_append (out, json_object_get_string (content));
    }
  json_object_put (root);
}

char *
body_complete_answer (const char *id, const char *model, const char *content, unsigned tokens)
{
  GString *out = g_string_new ("{\"id\":");

  body_append_string (out, id);
  g_string_append (out, ",\"object\":\"chat.completion\",\"model\":");
  body_append_string (out, model);
  g_string_append (out, ",\"choices\":[{\"index\":0,\"finish_reason\":\"stop\",\"message\":"
                        "{\"role\":\"assistant\",\"content\":");
  body_append_string (out, content);
  g_string_append_printf (out, "}}],\"usage\":{\"completion_tokens\":%u}}", tokens);
  return g_string_free (out, FALSE);
}

void
body_append_string (GString *out, const char *text)
{
  struct json_object *value = json_object_new_string (text);

  g_string_append (out, json_object_to_json_string_ext (
                            value, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (value);
}

GBytes *
body_pack_answer (int status, const char *type, const char *org, const char *body, gsize size)
{
  GString *out = g_string_new (NULL);

  g_string_append_printf (out, "%d\n%s\n%s\n", status, type, org);
  g_string_append_len (out, body, (gssize) size);
  return g_string_free_to_bytes (out);
}

bool
body_unpack_answer (GBytes *bytes, int *status, char **type, char **org, char **body, gsize *size)
{
  gsize total;
  const char *at = g_bytes_get_data (bytes, &total), *end = at + total;
  const char *lines[3];

  for (unsigned i = 0; i < 3; i++)
    {
      lines[i] = at;
      at = memchr (at, '\n', (size_t) (end - at));
      if (at == NULL)
        return false;
      at++;
    }
  *status = atoi (lines[0]);
  *type = g_strndup (lines[1], (gsize) (lines[2] - lines[1] - 1));
  *org = g_strndup (lines[2], (gsize) (at - lines[2] - 1));
  *size = (gsize) (end - at);
  *body = g_strndup (at, *size);
  return true;
}
