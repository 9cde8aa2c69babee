/* members.c - reads the metrics of instances; see docs/OPERATIONS.md for their meaning. */
#include "members.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  char *version, *charge, *term, *ready, *open, *by;
} Member;

/* The value of a line "name value"; "-" when the page has none. g_free. */
static char *
value_of (const char *page, const char *name)
{
  char *start = g_strdup_printf ("\n%s ", name);
  const char *at = strstr (page, start);
  char *value = at ? g_strndup (at + strlen (start), strcspn (at + strlen (start), "\n")) : NULL;

  g_free (start);
  return value ? value : g_strdup ("-");
}

/* The label of foxtail_scheduler{by="..."}. */
static char *
scheduler_of (const char *page)
{
  static const char start[] = "foxtail_scheduler{by=\"";
  const char *at = strstr (page, start);

  return at ? g_strndup (at + sizeof start - 1, strcspn (at + sizeof start - 1, "\""))
            : g_strdup ("-");
}

static void
print_member (const char *url, const char *page, char **newest, int *result)
{
  Member member = { value_of (page, "foxtail_catalogue_version"),
                    value_of (page, "foxtail_in_charge"),
                    value_of (page, "foxtail_term"),
                    value_of (page, "foxtail_ready"),
                    value_of (page, "foxtail_requests_open"),
                    scheduler_of (page) };

  printf ("%-32s %-6s %9s %6s %6s %5s %6s %s\n", url,
          strcmp (member.term, "-") == 0 ? "entry" : "voter", member.version, member.term,
          member.charge, member.ready, member.open, member.by);
  if (*newest == NULL)
    *newest = g_strdup (member.version);
  else if (strcmp (*newest, member.version) != 0)
    *result = 1;
  g_free (member.version);
  g_free (member.charge);
  g_free (member.term);
  g_free (member.ready);
  g_free (member.open);
  g_free (member.by);
}

int
members_print (const char *urls, MembersFetch fetch, const void *access)
{
  char **list = g_strsplit (urls, ",", -1), *newest = NULL;
  int result = 0;

  printf ("%-32s %-6s %9s %6s %6s %5s %6s %s\n", "instance", "role", "catalogue", "term", "charge",
          "ready", "open", "scheduled by");
  for (char **url = list; *url; url++)
    {
      char *page = fetch (access, *url);
      if (page)
        print_member (*url, page, &newest, &result);
      else
        {
          printf ("%-32s does not answer\n", *url);
          result = 1;
        }
      g_free (page);
    }
  g_free (newest);
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
