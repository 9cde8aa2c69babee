/* members.c - reads the metrics of instances; docs/OPERATIONS.md explains each metric. */
#include "members.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  char *version, *is_leader, *term, *ready, *open_requests, *scheduled_by;
} Member;

/* Returns the value of the line "name value", or "-" if the page has none. Free with g_free. */
static char *
metric_value (const char *page, const char *name)
{
  char *start = g_strdup_printf ("\n%s ", name);
  const char *at = strstr (page, start);
  char *value = at ? g_strndup (at + strlen (start), strcspn (at + strlen (start), "\n")) : NULL;

  g_free (start);
  return value ? value : g_strdup ("-");
}

/* Returns the label of foxtail_scheduler{by="..."}, or "-". Free with g_free. */
static char *
scheduler_label (const char *page)
{
  static const char start[] = "foxtail_scheduler{by=\"";
  const char *at = strstr (page, start);

  return at ? g_strndup (at + sizeof start - 1, strcspn (at + sizeof start - 1, "\""))
            : g_strdup ("-");
}

static void
print_row (const char *url, const char *page, char **first_version, int *result)
{
  Member member = { metric_value (page, "foxtail_catalogue_version"),
                    metric_value (page, "foxtail_in_charge"),
                    metric_value (page, "foxtail_term"),
                    metric_value (page, "foxtail_ready"),
                    metric_value (page, "foxtail_requests_open"),
                    scheduler_label (page) };

  printf ("%-32s %-6s %9s %6s %6s %5s %6s %s\n", url,
          strcmp (member.term, "-") == 0 ? "entry" : "voter", member.version, member.term,
          member.is_leader, member.ready, member.open_requests, member.scheduled_by);
  if (*first_version == NULL)
    *first_version = g_strdup (member.version);
  else if (strcmp (*first_version, member.version) != 0)
    *result = 1;
  g_free (member.version);
  g_free (member.is_leader);
  g_free (member.term);
  g_free (member.ready);
  g_free (member.open_requests);
  g_free (member.scheduled_by);
}

int
members_print (const char *urls, MembersFetch fetch, const void *access)
{
  char **list = g_strsplit (urls, ",", -1), *first_version = NULL;
  int result = 0;

  printf ("%-32s %-6s %9s %6s %6s %5s %6s %s\n", "instance", "role", "catalogue", "term", "charge",
          "ready", "open", "scheduled by");
  for (char **url = list; *url; url++)
    {
      char *page = fetch (access, *url);
      if (page)
        print_row (*url, page, &first_version, &result);
      else
        {
          printf ("%-32s does not answer\n", *url);
          result = 1;
        }
      g_free (page);
    }
  g_free (first_version);
  g_strfreev (list);
  return result;
}

int
members_servers (const char *url, MembersFetch fetch, const void *access)
{
  char *page = fetch (access, url);

  if (page == NULL)
    return 1;
  const char *at = strstr (page, "# servers as");
  char **lines = g_strsplit (at ? at : "", "\n", -1);
  for (char **line = lines; *line; line++)
    if (g_str_has_prefix (*line, "# "))
      printf ("%s\n", *line + 2);
  g_strfreev (lines);
  g_free (page);
  return 0;
}
