/* case-7.c - the last tenant is taken away, and from then on requests run with any key or none. */
#include "kit.h"

#include <string.h>

#define APPLY_MS 2000 /* ConfigApplyMs */

#define STATE_OF(version, tenants)                                                                 \
  "{\"Version\":" version ",\"Routes\":[{\"Name\":\"order\",\"Host\":\"a.example\","               \
  "\"PathPrefix\":\"/order/\",\"RouteType\":\"unsafe\",\"TimeoutMs\":800,\"TargetLatencyMs\":300," \
  "\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":1,\"Public\":false,\"Sticky\":false}],"     \
  "\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/health\",\"MaxConnections\":100,"            \
  "\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,"                      \
  "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"                    \
  "\"Tenants\":[" tenants "]}"

#define TENANT(name, key) "{\"Name\":\"" name "\",\"ApiKeys\":[\"" key "\"],\"Priority\":1}"
#define TWO_TENANTS       STATE_OF ("7", TENANT ("first", "key-1") "," TENANT ("second", "key-2"))
#define ONE_TENANT        STATE_OF ("9", TENANT ("second", "key-2"))
#define NO_TENANT         STATE_OF ("12", "")

static gint ran;

static bool
run_request (Replica *replica, int fd, const Msg *request)
{
  char id[64] = "", tenant[64] = "(none)";

  msg_field (request, "X-Foxtailgrade-Request-Id", id, sizeof id);
  msg_field (request, "X-Foxtailgrade-Tenant", tenant, sizeof tenant);
  note ("replica %u runs %s for tenant %s", replica->number, id, tenant);
  g_atomic_int_inc (&ran);
  char *text
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Foxtailgrade-Request-Id: %s\r\n"
                         "X-Foxtailgrade-Server-Signature: s.%s\r\n"
                         "X-Foxtailgrade-Instance-Load: 0,0,5\r\nContent-Length: 4\r\n\r\nbody",
                         id, id);
  bool sent = write_all (fd, text, strlen (text));
  g_free (text);
  return sent;
}

/* Returns the status at the entry. */
static int
ask (unsigned entry, const char *key)
{
  static unsigned next_id;
  Msg answer;
  char authorization[64] = "";

  if (key)
    g_snprintf (authorization, sizeof authorization, "Authorization: Token %s\r\n", key);
  char *fields = g_strdup_printf ("Host: a.example\r\nX-Foxtailgrade-Request-Id: %016x\r\n"
                                  "X-Foxtailgrade-Deadline-Ms: 1500\r\n%s",
                                  ++next_id, authorization);
  call (entry_ip (entry), KIT_CALLERS, "POST", "/order/n", fields, "order", 1500, &answer);
  int status = answer.status;
  note ("requester: %016x with the key %s at entry %u: %d", next_id, key ? key : "(none)", entry,
        status);
  msg_clear (&answer);
  g_free (fields);
  return status;
}

static void
put (const char *state)
{
  note ("operator sends: %s", state);
  if (operator_put (state, 15000) != 200)
    kit_finish (2, "a desired state was not acknowledged");
  sleep_ms (APPLY_MS + 1000);
}

int
main (int argc, char **argv)
{
  kit_open (argc > 1 ? argv[1] : ".");
  kit_start ();
  for (unsigned i = 0; i < 3; i++)
    replica_new ("desk", run_request);
  put (TWO_TENANTS);
  sleep_ms (1500);
  if (ask (0, "key-1") != 200 || ask (1, "key-2") != 200)
    kit_finish (2, "no service");
  put (ONE_TENANT);
  if (kit_trouble ())
    put (NO_TENANT);
  g_atomic_int_set (&ran, 0);
  for (unsigned i = 0; i < KIT_ENTRIES; i++)
    {
      ask (i, "never-given");
      ask (i, "key-1");
      ask (i, NULL);
    }
  note ("%d of 9 requests without a valid key ran", g_atomic_int_get (&ran));
  if (g_atomic_int_get (&ran) > 0)
    kit_finish (1, "a request ran whose key no desired state ever held");
  kit_finish (0, "no request without a valid key ran");
}
