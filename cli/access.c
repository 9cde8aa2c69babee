/* access.c - blocking HTTP calls to the operators' interface. */
#include "access.h"
#include "client.h"
#include "http.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define TIMEOUT_S     15
#define REPLY_MAX     (64u << 20) /* bytes */
#define REDIRECTS_MAX 4

/* What a reply brings. */
typedef struct
{
  GString *text;
  uint64_t revision;
  char *location; /* of a redirect; NULL: none */
} Received;

static bool
on_head (void *user, const HMsg *msg)
{
  Received *received = user;
  const char *revision = hmsg_field (msg, "X-Revision");

  received->revision = revision ? g_ascii_strtoull (revision, NULL, 10) : 0;
  if (hmsg_status (msg) == 307 || hmsg_status (msg) == 308)
    received->location = g_strdup (hmsg_field (msg, "Location"));
  return true;
}

static bool
on_body (void *user, const char *data, size_t size)
{
  Received *received = user;

  if (received->text->len + size > REPLY_MAX)
    return false;
  g_string_append_len (received->text, data, (gssize) size);
  return true;
}

static const ClientOps ops = { on_head, on_body };

/* Returns the status; 0: there is no complete and valid reply. */
static long
call_once (const char *url, const char *fields, const char *method, const char *body,
           Received *received)
{
  ClientRequest request = { .method = method,
                            .url = url,
                            .fields = fields,
                            .body = body,
                            .size = body ? strlen (body) : 0,
                            .timeout_us = TIMEOUT_S * FT_SECOND };

  g_string_truncate (received->text, 0);
  g_clear_pointer (&received->location, g_free);
  return client_exchange (&request, &ops, received);
}

/* A voter that is not the leader redirects to the leader. */
static long
call_plain (const char *url, const char *fields, const char *method, const char *body,
            Received *received)
{
  char *at = g_strdup (url);
  long status = 0;

  for (unsigned i = 0; i <= REDIRECTS_MAX && at; i++)
    {
      status = call_once (at, fields, method, body, received);
      g_free (at);
      at = g_steal_pointer (&received->location);
    }
  g_free (at);
  return status;
}

/* The client does not speak TLS. */
static long
call_secure (const Access *access, const char *url, const char *bearer, const char *method,
             const char *author, const char *body, Received *received)
{
  struct _u_request request;
  struct _u_response response;
  long status = 0;

  ulfius_init_request (&request);
  ulfius_init_response (&response);
  request.http_verb = o_strdup (method);
  request.http_url = o_strdup (url);
  request.timeout = TIMEOUT_S;
  request.follow_redirect = 1;
  if (access->ca_folder)
    request.ca_path = o_strdup (access->ca_folder);
  u_map_put (request.map_header, "Authorization", bearer);
  if (author)
    u_map_put (request.map_header, "X-Author", author);
  if (body)
    ulfius_set_binary_body_request (&request, body, strlen (body));
  if (ulfius_send_http_request (&request, &response) == U_OK)
    {
      const char *revision = u_map_get_case (response.map_header, "X-Revision");
      status = response.status;
      g_string_append_len (received->text, response.binary_body,
                           (gssize) response.binary_body_length);
      received->revision = revision ? g_ascii_strtoull (revision, NULL, 10) : 0;
    }
  ulfius_clean_request (&request);
  ulfius_clean_response (&response);
  return status;
}

bool
access_call (const Access *access, const char *method, const char *path, const char *author,
             const char *body, Reply *reply)
{
  Received received = { .text = g_string_new (NULL) };
  GString *fields = g_string_new (NULL);
  char *url = g_strconcat (access->server, path, NULL);
  char *bearer = g_strdup_printf ("Bearer %s", access->key);

  memset (reply, 0, sizeof *reply);
  hwrite_field (fields, "Authorization", bearer);
  if (author)
    hwrite_field (fields, "X-Author", author);
  reply->status = g_str_has_prefix (url, "https://")
                      ? call_secure (access, url, bearer, method, author, body, &received)
                      : call_plain (url, fields->str, method, body, &received);
  reply->revision = received.revision;
  if (reply->status == 0)
    fprintf (stderr, "foxtailgrade: %s cannot be reached or sends no valid answer\n",
             access->server);
  else
    reply->text = g_strdup (received.text->str);
  g_string_free (received.text, TRUE);
  g_string_free (fields, TRUE);
  g_free (bearer);
  g_free (url);
  return reply->status != 0;
}

int
access_print (Reply *reply)
{
  struct json_object *root = reply->text ? json_tokener_parse (reply->text) : NULL;

  if (root)
    printf ("%s\n",
            json_object_to_json_string_ext (root, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED
                                                      | JSON_C_TO_STRING_NOSLASHESCAPE));
  else if (reply->text)
    printf ("%s", reply->text);
  json_object_put (root);
  g_free (reply->text);
  return reply->status == 200 ? 0 : 1;
}

int
access_show (const Access *access, const char *path)
{
  Reply reply;

  return access_call (access, "GET", path, NULL, NULL, &reply) ? access_print (&reply) : 1;
}
