/* main.c - foxtailgrade: the operators' command line. Only apply, release and rollout change the
 * system; all other commands just read. */
#include "body.h"
#include "http.h"
#include "access.h"
#include "members.h"
#include "rollout.h"

#include <argtable2.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define POLL_INTERVAL (200 * FT_MS)
#define WAIT_MAX      (30 * FT_SECOND)

typedef struct
{
  struct arg_str *command, *server, *key_file, *ca_folder, *change_id, *author, *arguments;
  struct arg_int *base;
  struct arg_lit *wait, *help, *version;
  struct arg_end *end;
} Args;

/* Reads and checks a catalogue file; prints an error and returns false if it is not valid. */
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

/* Fetches the catalogue in force; *cat is NULL and *revision 0 if there is none yet. */
static bool
fetch_catalogue (const Access *access, FtCat **cat, uint64_t *revision)
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

  if (!read_catalogue (file, &text, &next) || !fetch_catalogue (access, &now, &revision))
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

/* Waits until the revision is in force on every instance; after WAIT_MAX prints those that lack
 * it. */
static int
wait_in_force (const Access *access, uint64_t revision)
{
  char *path = g_strdup_printf ("/v1/in_force/%" G_GUINT64_FORMAT, revision);
  int64_t until = g_get_monotonic_time () + WAIT_MAX;
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
        g_usleep (POLL_INTERVAL);
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

  if (!read_catalogue (file, &text, &next) || !fetch_catalogue (access, &now, &revision))
    goto out;
  if (args->base->count)
    revision = (uint64_t) args->base->ival[0];
  /* Without --id the id is a hash of the text, so that sending the same text again repeats the same
   * change. */
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
check_file (const char *file)
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

/* Prints the metrics that are not zero, without histogram buckets. */
static int
print_nonzero_metrics (const Access *access)
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

/* A MembersFetch: gets another instance's metrics. */
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
show_by_id (const Access *access, const char *prefix, const char *id)
{
  char *escaped = g_uri_escape_string (id, NULL, FALSE);
  char *path = g_strconcat (prefix, escaped, NULL);
  int result = access_show (access, path);

  g_free (escaped);
  g_free (path);
  return result;
}

static int
release_content (const Access *access, const char *content)
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
    return print_nonzero_metrics (access);
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
    return check_file (argument);
  if (strcmp (command, "plan") == 0)
    return plan (access, argument);
  if (strcmp (command, "apply") == 0)
    return apply (access, args, argument);
  if (strcmp (command, "explain") == 0)
    return show_by_id (access, "/v1/refusals/", argument);
  if (strcmp (command, "release") == 0)
    return release_content (access, argument);
  if (strcmp (command, "members") == 0)
    return members_print (argument, fetch_metrics, access);
  if (strcmp (command, "servers") == 0)
    return members_servers (argument, fetch_metrics, access);
  if (strcmp (command, "digest") == 0)
    return print_digest (argument);
  fprintf (stderr, "foxtailgrade: unknown command %s; try --help\n", command);
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
      "  check FILE    check a catalogue file without sending it\n"
      "  plan FILE     show what applying FILE would change\n"
      "  apply FILE    apply the catalogue; --wait: until it is in force everywhere\n"
      "  history       accepted and rejected changes, newest first\n"
      "  catalogue     the catalogue in force\n"
      "  status        state of the instance\n"
      "  top           metrics of the instance that are not zero\n"
      "  explain ID    why a request was refused\n"
      "  suspects      contents that were running on servers that crashed; also of a\n"
      "                foxtailnode's voter (--server http://IP:CONTROL-PORT)\n"
      "  release C     allow the content C to be dispatched again\n"
      "  rollout start SERVICE VERSION SECONDS | status SERVICE | abort SERVICE\n"
      "                foxtailnode's voter: move the service to servers of another version;\n"
      "                --wait: until the roll-out has ended\n"
      "  members URLS  foxtailnode: the instances at these metrics addresses, separated by commas\n"
      "  servers URL   foxtailnode: what the instance assumes about backend servers\n"
      "  digest KEY    print the SHA-256 of a key in the form that the catalogue uses\n"
      "Options:\n");
  arg_print_glossary (stdout, (void **) args, "  %-22s %s\n");
}

int
main (int argc, char **argv)
{
  Args args
      = { arg_str0 (NULL, NULL, "COMMAND", "what to do"),
          arg_str0 ("s", "server", "URL", "operators' port; default: FOXTAILGRADE_SERVER"),
          arg_str0 ("k", "key-file", "FILE", "operators' key; default: FOXTAILGRADE_KEY_FILE"),
          arg_str0 (NULL, "ca-folder", "FOLDER", "certificates to trust with https"),
          arg_str0 (NULL, "id", "ID", "apply: id of the change"),
          arg_str0 (NULL, "author", "NAME", "apply: author of the change"),
          arg_strn (NULL, NULL, "ARGUMENT", 0, 4, "file, id, key, address or words"),
          arg_int0 (NULL, "base", "N", "apply: revision on which the change is based"),
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
