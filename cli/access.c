/* access.c - blocking HTTP calls to the operators' interface. */
#include "access.h"
#include "http.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define TIMEOUT_S 15

bool
access_call (const Access *access, const char *method, const char *path, const char *author,
             const char *body, Reply *reply)
{
  struct _u_request request;
  struct _u_response response;
  char *bearer = g_strdup_printf ("Bearer %s", access->key);

  memset (reply, 0, sizeof *reply);
  ulfius_init_request (&request);
  ulfius_init_response (&response);
  request.http_verb = o_strdup (method);
  request.http_url = msprintf ("%s%s", access->server, path);
  request.timeout = TIMEOUT_S;
  request.follow_redirect = 1; /* a voter that is not the leader redirects to the leader */
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
      reply->status = response.status;
      reply->text = g_strndup (response.binary_body, response.binary_body_length);
      reply->revision = revision ? g_ascii_strtoull (revision, NULL, 10) : 0;
    }
  else
    fprintf (stderr, "foxtailgrade: %s cannot be reached\n", access->server);
  ulfius_clean_request (&request);
  ulfius_clean_response (&response);
  g_free (bearer);
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
