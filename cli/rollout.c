/* rollout.c - starts a roll-out at a voter and waits for its outcome. */
#include "rollout.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define POLL_INTERVAL (500 * FT_MS)
#define PATH          "/v1/rollouts"

static char *
service_path (const char *service)
{
  char *name = g_uri_escape_string (service, NULL, FALSE);
  char *path = g_strconcat (PATH "/", name, NULL);

  g_free (name);
  return path;
}

/* True if the roll-out in text is in a final phase. *completed: it was not rolled back. */
static bool
has_ended (const char *text, bool *completed)
{
  struct json_object *root = text ? json_tokener_parse (text) : NULL, *phase = NULL;

  json_object_object_get_ex (root, "phase", &phase);
  const char *name = phase ? json_object_get_string (phase) : "";
  *completed = strcmp (name, "completed") == 0;
  bool ended = *completed || strcmp (name, "rolled back") == 0;
  json_object_put (root);
  return ended;
}

/* Polls until the roll-out has ended. Errors are retried without limit, since the voter may fail
 * over in the meantime. */
static int
wait_for_end (const Access *access, const char *path)
{
  bool completed = false;

  while (true)
    {
      Reply reply;
      bool reached = access_call (access, "GET", path, NULL, NULL, &reply);
      if (reached && reply.status == 200 && has_ended (reply.text, &completed))
        {
          access_print (&reply);
          return completed ? 0 : 1;
        }
      if (reached)
        g_free (reply.text);
      g_usleep (POLL_INTERVAL);
    }
}

static int
start_rollout (const Access *access, const char *const *words, bool wait)
{
  struct json_object *order = json_object_new_object ();
  char *path = service_path (words[1]);
  int result = 1;
  Reply reply;

  json_object_object_add (order, "service", json_object_new_string (words[1]));
  json_object_object_add (order, "target", json_object_new_string (words[2]));
  json_object_object_add (order, "limit_s",
                          json_object_new_int64 (g_ascii_strtoll (words[3], NULL, 10)));
  if (access_call (access, "POST", PATH, NULL, json_object_to_json_string (order), &reply))
    {
      bool accepted = reply.status == 200;
      result = access_print (&reply);
      if (accepted && wait)
        result = wait_for_end (access, path);
    }
  json_object_put (order);
  g_free (path);
  return result;
}

static int
abort_rollout (const Access *access, const char *path)
{
  Reply reply;

  return access_call (access, "DELETE", path, NULL, NULL, &reply) ? access_print (&reply) : 1;
}

int
rollout_command (const Access *access, const char *const *words, int count, bool wait)
{
  bool is_start = count == 4 && strcmp (words[0], "start") == 0;
  bool is_status = count == 2 && strcmp (words[0], "status") == 0;
  bool is_abort = count == 2 && strcmp (words[0], "abort") == 0;

  if (is_start)
    return start_rollout (access, words, wait);
  if (!is_status && !is_abort)
    {
      fprintf (stderr, "foxtailgrade: rollout wants start SERVICE VERSION SECONDS, status SERVICE "
                       "or abort SERVICE\n");
      return 2;
    }
  char *path = service_path (words[1]);
  int result = is_status ? access_show (access, path) : abort_rollout (access, path);
  g_free (path);
  return result;
}
