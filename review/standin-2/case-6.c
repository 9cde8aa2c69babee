/* case-6.c - a desired state with a higher version is acknowledged and changes nothing, since
 * versions above 2^53 are compared as floating-point numbers. */
#include "kit.h"

#include <string.h>

/* The version's first figures are a date, the last a counter. */
#define LARGE    "20261207000000"
#define SMALL    "20261207"
#define CHANGES  5
#define APPLY_MS 2000 /* ConfigApplyMs */

static bool
run_request (Replica *replica, int fd, const Msg *request)
{
  char id[64] = "";

  (void) replica;
  msg_field (request, "X-Foxtailgrade-Request-Id", id, sizeof id);
  char *text
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Foxtailgrade-Request-Id: %s\r\n"
                         "X-Foxtailgrade-Server-Signature: s.%s\r\n"
                         "X-Foxtailgrade-Instance-Load: 0,0,5\r\nContent-Length: 4\r\n\r\nbody",
                         id, id);
  bool sent = write_all (fd, text, strlen (text));
  g_free (text);
  return sent;
}

static char *
version_text (unsigned change)
{
  return g_strdup_printf ("%s%03u", kit_trouble () ? LARGE : SMALL, change);
}

/* Each change adds one route: /route-0/ to /route-CHANGE/. */
static char *
state_text (unsigned change)
{
  char *version = version_text (change);
  GString *out = g_string_new (NULL);

  g_string_printf (out, "{\"Version\":%s,\"Routes\":[", version);
  for (unsigned i = 0; i <= change; i++)
    g_string_append_printf (
        out,
        "%s{\"Name\":\"r-%u\",\"Host\":\"a.example\",\"PathPrefix\":\"/route-%u/\","
        "\"RouteType\":\"safe\",\"TimeoutMs\":800,\"TargetLatencyMs\":300,"
        "\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":2,\"Public\":true,"
        "\"Sticky\":false}",
        i ? "," : "", i, i);
  g_string_append (out, "],\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/health\","
                        "\"MaxConnections\":100,\"Protocol\":\"h1\",\"Tls\":false}],"
                        "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                        "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}");
  g_free (version);
  return g_string_free (out, FALSE);
}

static int
ask (unsigned entry, unsigned route)
{
  static unsigned next_id;
  Msg answer;
  char path[32];
  char *fields = g_strdup_printf ("Host: a.example\r\nX-Foxtailgrade-Request-Id: %016x\r\n"
                                  "X-Foxtailgrade-Deadline-Ms: 1500\r\n",
                                  ++next_id);

  g_snprintf (path, sizeof path, "/route-%u/x", route);
  call (entry_ip (entry), KIT_CALLERS, "GET", path, fields, NULL, 1500, &answer);
  int status = answer.status;
  msg_clear (&answer);
  g_free (fields);
  return status;
}

/* Reads the desired state back from each voter; true: one answers with an older version. */
static bool
reads_older (unsigned change)
{
  char *version = version_text (change);
  char *wanted = g_strdup_printf ("\"Version\":%s,", version);
  bool older = false;

  for (unsigned i = 0; i < KIT_VOTERS; i++)
    {
      Msg answer;
      call (voter_ip (i), KIT_CONTROL, "GET", "/api/Config.Get", "Host: control\r\n", NULL, 1000,
            &answer);
      note ("operator: GET /api/Config.Get at voter %u: %d %.40s", i, answer.status,
            answer.body ? answer.body->str : "");
      older |= answer.status == 200 && answer.whole && strstr (answer.body->str, wanted) == NULL;
      msg_clear (&answer);
    }
  g_free (wanted);
  g_free (version);
  return older;
}

int
main (int argc, char **argv)
{
  unsigned older = 0, missing = 0;

  kit_open (argc > 1 ? argv[1] : ".");
  kit_start ();
  for (unsigned i = 0; i < 3; i++)
    replica_new ("desk", run_request);
  for (unsigned change = 0; change <= CHANGES; change++)
    {
      char *state = state_text (change);
      char *version = version_text (change);
      int status = operator_put (state, 15000);
      note ("operator: version %s was answered %d", version, status);
      if (status != 200)
        kit_finish (2, "a desired state was not acknowledged");
      sleep_ms (APPLY_MS + (change == 0 ? 2000 : 500));
      for (unsigned entry = 0; entry < KIT_ENTRIES; entry++)
        {
          int seen = ask (entry, change);
          note ("requester: route-%u at entry %u: %d", change, entry, seen);
          missing += seen == 404;
        }
      older += reads_older (change);
      g_free (version);
      g_free (state);
    }
  note ("%u requests got 404 on routes that were acknowledged, %u of %u versions read back older",
        missing, older, CHANGES + 1);
  if (missing + older > 0)
    kit_finish (1, "an acknowledged version is not in force");
  kit_finish (0, "all acknowledged versions are in force");
}
