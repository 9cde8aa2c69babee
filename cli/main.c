/* main.c - foxtailgrade: the operators' command line. Everything that changes the system is a
 * change of the catalogue, or lets a content go that was held; the other commands only read. */
#include "body.h"
#include "http.h"
#include "access.h"
#include "members.h"
#include "rollout.h"

#include <argtable2.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define WAIT_POLL (200 * FT_MS)
#define WAIT_MOST (30 * FT_SECOND)

typedef struct
{
  struct arg_str *command, *server, *key_file, *ca_folder, *change_id, *author, *arguments;
  struct arg_int *base;
  struct arg_lit *wait, *help, *version;
  struct arg_end *end;
} Args;

static bool
read_catalogue (const char *file, char **text, FtCat **cat)
{
  FtError error;
  GError *failure = NULL;

  if (!g_file_get_contents (file, text, NULL, &failure))
    {
      fprintf (stderr, "foxtailgrade: %s\n", failure->message);
      g_error_free (failure);
      return false;
    }
  if (ft_cat_new (*text, 0, cat, &error) == FT_OK)
    return true;
  fprintf (stderr, "foxtailgrade: %s:%u: %s: %s\n", file, error.line,
           *error.field ? error.field : "document", error.text);
  g_clear_pointer (text, g_free);
  return false;
}

static bool
current (const Access *access, FtCat **cat, uint64_t *revision)
{
  Reply reply;

  *cat = NULL;
  if (!access_call (access, "GET", "/v1/catalogue", NULL, NULL, &reply))
    return false;
  bool fine = reply.status == 200;
  *revision = reply.revision;
  if (fine && reply.revision > 0)
    fine = ft_cat_new (reply.text, reply.revision, cat, NULL) == FT_OK;
  if (!fine)
    access_print (&reply);
  else
    g_free (reply.text);
  return fine;
}

static int
plan (const Access *access, const char *file)
{
  char *text = NULL;
  FtCat *now = NULL, *next = NULL;
  uint64_t revision = 0;
  int result = 1;

  if (!read_catalogue (file, &text, &next) || !current (access, &now, &revision))
    goto out;
  char *diff = ft_cat_diff (now, next);
  printf ("against revision %" G_GUINT64_FORMAT ":\n%s", revision, *diff ? diff : "no change\n");
  g_free (diff);
  result = 0;
out:
  g_free (text);
  ft_cat_unref (now);
  ft_cat_unref (next);
  return result;
}

/* Until the revision is in force on every instance; names those that lack it. */
static int
wait_in_force (const Access *access, uint64_t revision)
{
  char *path = g_strdup_printf ("/v1/in_force/%" G_GUINT64_FORMAT, revision);
  int64_t until = g_get_monotonic_time () + WAIT_MOST;
  char *last = NULL;
  bool in_force = false;

  while (!in_force && g_get_monotonic_time () < until)
    {
      Reply reply;
      if (access_call (access, "GET", path, NULL, NULL, &reply) && reply.status == 200)
        {
          struct json_object *root = json_tokener_parse (reply.text);
          in_force = json_object_get_boolean (json_object_object_get (root, "in_force"));
          g_free (last);
          last = g_strdup (json_object_to_json_string (json_object_object_get (root, "missing")));
          json_object_put (root);
        }
      g_free (reply.text);
      if (!in_force)
        g_usleep (WAIT_POLL);
    }
  if (in_force)
    printf ("revision %" G_GUINT64_FORMAT " is in force on every instance\n", revision);
  else
    fprintf (stderr, "foxtailgrade: not yet in force on instances %s\n", last ? last : "unknown");
  g_free (last);
  g_free (path);
  return in_force ? 0 : 1;
}

static int
apply (const Access *access, const Args *args, const char *file)
{
  char *text = NULL, *path = NULL, *id = NULL;
  FtCat *now = NULL, *next = NULL;
  uint64_t revision = 0;
  int result = 1;
  Reply reply;

  if (!read_catalogue (file, &text, &next) || !current (access, &now, &revision))
    goto out;
  if (args->base->count)
    revision = (uint64_t) args->base->ival[0];
  /* Without --id the text itself names the change, so that sending it again is the same one. */
  id = args->change_id->count ? g_strdup (args->change_id->sval[0])
                              : g_compute_checksum_for_string (G_CHECKSUM_SHA1, text, -1);
  path = g_strdup_printf ("/v1/changes/%s?base=%" G_GUINT64_FORMAT, id, revision);
  if (!access_call (access, "POST", path,
                    args->author->count ? args->author->sval[0] : g_get_user_name (), text, &reply))
    {
      fprintf (stderr,
               "foxtailgrade: the outcome of change %s is unknown; apply it again with "
               "--id %s --base %" G_GUINT64_FORMAT "\n",
               id, id, revision);
      goto out;
    }
  struct json_object *root = json_tokener_parse (reply.text);
  uint64_t accepted = (uint64_t) json_object_get_int64 (json_object_object_get (root, "revision"));
  const char *verdict = json_object_get_string (json_object_object_get (root, "text"));
  if (reply.status == 200)
    printf ("change %s is revision %" G_GUINT64_FORMAT "\n%s", id, accepted, verdict);
  else
    fprintf (stderr, "foxtailgrade: change %s was not accepted: %s\n", id, verdict);
  result = reply.status == 200 ? 0 : 1;
  json_object_put (root);
  g_free (reply.text);
  if (result == 0 && args->wait->count)
    result = wait_in_force (access, accepted);
out:
  g_free (text);
  g_free (path);
  g_free (id);
  ft_cat_unref (now);
  ft_cat_unref (next);
  return result;
}

static int
check (const char *file)
{
  char *text = NULL;
  FtCat *cat = NULL;

  if (!read_catalogue (file, &text, &cat))
    return 1;
  printf ("%s: the catalogue is valid\n", file);
  g_free (text);
  ft_cat_unref (cat);
  return 0;
}

static int
print_digest (const char *key)
{
  char *sum = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);

  printf ("%s\n", sum);
  g_free (sum);
  return 0;
}

/* The figures that an operator on call looks at first, out of /metrics. */
static int
top (const Access *access)
{
  Reply reply;

  if (!access_call (access, "GET", "/metrics", NULL, NULL, &reply))
    return 1;
  char **lines = g_strsplit (reply.text, "\n", -1);
  for (char **line = lines; *line; line++)
    if (**line != '#' && strstr (*line, "_bucket") == NULL && !g_str_has_suffix (*line, " 0")
        && **line)
      printf ("%s\n", *line);
  g_strfreev (lines);
  g_free (reply.text);
  return reply.status == 200 ? 0 : 1;
}

/* For members.c: another instance's metrics, without a key. */
static char *
fetch_metrics (const void *data, const char *url)
{
  Access access = *(const Access *) data;
  Reply reply;

  access.server = url;
  if (!access_call (&access, "GET", "/metrics", NULL, NULL, &reply))
    return NULL;
  if (reply.status == 200)
    return reply.text;
  g_free (reply.text);
  return NULL;
}

static int
show_one (const Access *access, const char *prefix, const char *id)
{
  char *escaped = g_uri_escape_string (id, NULL, FALSE);
  char *path = g_strconcat (prefix, escaped, NULL);
  int result = access_show (access, path);

  g_free (escaped);
  g_free (path);
  return result;
}

static int
release (const Access *access, const char *content)
{
  char *path = g_strconcat ("/v1/suspects/", content, NULL);
  Reply reply;
  int result = access_call (access, "DELETE", path, NULL, NULL, &reply) ? access_print (&reply) : 1;

  g_free (path);
  return result;
}

static int
run (const Args *args, const Access *access)
{
  const char *command = args->command->sval[0];
  const char *argument = args->arguments->count ? args->arguments->sval[0] : NULL;

  if (strcmp (command, "status") == 0)
    return access_show (access, "/v1/status");
  if (strcmp (command, "history") == 0)
    return access_show (access, "/v1/history");
  if (strcmp (command, "catalogue") == 0)
    return access_show (access, "/v1/catalogue");
  if (strcmp (command, "top") == 0)
    return top (access);
  if (strcmp (command, "suspects") == 0)
    return access_show (access, "/v1/suspects");
  if (argument == NULL)
    {
      fprintf (stderr, "foxtailgrade: %s needs an argument; try --help\n", command);
      return 2;
    }
  if (strcmp (command, "rollout") == 0)
    return rollout_command (access, args->arguments->sval, args->arguments->count,
                            args->wait->count > 0);
  if (strcmp (command, "check") == 0)
    return check (argument);
  if (strcmp (command, "plan") == 0)
    return plan (access, argument);
  if (strcmp (command, "apply") == 0)
    return apply (access, args, argument);
  if (strcmp (command, "explain") == 0)
    return show_one (access, "/v1/refusals/", argument);
  if (strcmp (command, "release") == 0)
    return release (access, argument);
  if (strcmp (command, "members") == 0)
    return members_print (argument, fetch_metrics, access);
  if (strcmp (command, "servers") == 0)
    return members_servers (argument, fetch_metrics, access);
  if (strcmp (command, "digest") == 0)
    return print_digest (argument);
  fprintf (stderr, "foxtailgrade: no command %s; try --help\n", command);
  return 2;
}

static char *
read_key (const Args *args)
{
  const char *file
      = args->key_file->count ? args->key_file->sval[0] : g_getenv ("FOXTAILGRADE_KEY_FILE");
  char *key = NULL;

  if (file && g_file_get_contents (file, &key, NULL, NULL))
    g_strchomp (key);
  return key ? key : g_strdup ("");
}

static void
print_help (Args *args)
{
  printf ("Usage: foxtailgrade");
  arg_print_syntax (stdout, (void **) args, "\n");
  printf (
      "Commands:\n"
      "  check FILE    check a catalogue without sending it\n"
      "  plan FILE     what a change to FILE would change\n"
      "  apply FILE    make the change; --wait: until it is in force everywhere\n"
      "  history       verdicts on changes, newest first\n"
      "  catalogue     the catalogue in force\n"
      "  status        the instance that was asked\n"
      "  top           its counters that are not zero\n"
      "  explain ID    why a request was refused\n"
      "  suspects      contents that ran on servers as these ended; also of a foxtailnode's\n"
      "                voter (--server http://IP:CONTROL-PORT)\n"
      "  release C     lets the content C go: it is sent again\n"
      "  rollout start SERVICE VERSION SECONDS | status SERVICE | abort SERVICE\n"
      "                a foxtailnode's voter: moves the service to servers of another version;\n"
      "                --wait: until it has ended\n"
      "  members URLS  foxtailnode: the instances at these metrics addresses, by commas\n"
      "  servers URL   foxtailnode: what the instance believes of backend servers\n"
      "  digest KEY    the SHA-256 of a key as the catalogue wants it\n"
      "Options:\n");
  arg_print_glossary (stdout, (void **) args, "  %-22s %s\n");
}

int
main (int argc, char **argv)
{
  Args args
      = { arg_str0 (NULL, NULL, "COMMAND", "what to do"),
          arg_str0 ("s", "server", "URL", "operators' port, else FOXTAILGRADE_SERVER"),
          arg_str0 ("k", "key-file", "FILE", "operators' key, else FOXTAILGRADE_KEY_FILE"),
          arg_str0 (NULL, "ca-folder", "FOLDER", "with certificates to trust with https"),
          arg_str0 (NULL, "id", "ID", "apply: the change's id"),
          arg_str0 (NULL, "author", "NAME", "apply: who makes the change"),
          arg_strn (NULL, NULL, "ARGUMENT", 0, 4, "file, id, key, address or words"),
          arg_int0 (NULL, "base", "N", "apply: the revision it was made against"),
          arg_lit0 (NULL, "wait",
                    "apply: return when in force everywhere; rollout start: when it has ended"),
          arg_lit0 ("h", "help", "print this help"),
          arg_lit0 (NULL, "version", "print the version"),
          arg_end (8) };
  int result = 2;
  int errors = arg_parse (argc, argv, (void **) &args);

  if (args.help->count)
    {
      print_help (&args);
      result = 0;
    }
  else if (args.version->count)
    {
      printf ("foxtailgrade %s\n", ft_version ());
      result = 0;
    }
  else if (errors || args.command->count == 0)
    {
      arg_print_errors (stderr, args.end, "foxtailgrade");
      fprintf (stderr, "foxtailgrade: try --help\n");
    }
  else
    {
      const char *server
          = args.server->count ? args.server->sval[0] : g_getenv ("FOXTAILGRADE_SERVER");
      char *key = read_key (&args);
      Access access = { server ? server : "http://127.0.0.1:8090", key,
                        args.ca_folder->count ? args.ca_folder->sval[0] : NULL };
      ulfius_global_init ();
      result = run (&args, &access);
      g_free (key);
    }
  arg_freetable ((void **) &args, sizeof args / sizeof (void *));
  return result;
}
