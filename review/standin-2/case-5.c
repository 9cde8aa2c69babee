/* case-5.c - a desired state with a null among the keys of a tenant ends each voter that reads it.
 */
#include "kit.h"

#include <string.h>

#define STATE_OF(version, keys)                                                                    \
  "{\"Version\":" version ",\"Routes\":[{\"Name\":\"lookup\",\"Host\":\"a.example\","              \
  "\"PathPrefix\":\"/lookup/\",\"RouteType\":\"safe\",\"TimeoutMs\":800,\"TargetLatencyMs\":300,"  \
  "\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":2,\"Public\":false,\"Sticky\":false}],"     \
  "\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/health\",\"MaxConnections\":100,"            \
  "\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,"                      \
  "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"                    \
  "\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[" keys "],\"Priority\":1}]}"

#define STATE         STATE_OF ("7", "\"key-1\"")
#define INVALID_STATE STATE_OF ("9", "\"key-1\",null")
#define VALID_STATE   STATE_OF ("9", "\"key-1\",\"key-2\"")

static bool
run_request (Replica *replica, int fd, const Msg *request)
{
  char id[64] = "";

  (void) replica;
  msg_field (request, "X-Foxtailgrade-Request-Id", id, sizeof id);
  sleep_ms (30);
  char *text = g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Foxtailgrade-Request-Id: %s\r\n"
                                "X-Foxtailgrade-Server-Signature: s.%s\r\n"
                                "X-Foxtailgrade-Instance-Load: 1,0,5\r\nContent-Length: 5\r\n\r\n"
                                "bytes",
                                id, id);
  bool sent = write_all (fd, text, strlen (text));
  g_free (text);
  return sent;
}

/* Ten requests over two seconds; returns how many were served. */
static unsigned
probe (void)
{
  static unsigned next_id;
  unsigned served = 0;

  for (unsigned i = 0; i < 10; i++)
    {
      Msg answer;
      char *fields = g_strdup_printf ("Host: a.example\r\nX-Foxtailgrade-Request-Id: %016x\r\n"
                                      "X-Foxtailgrade-Deadline-Ms: 1500\r\n"
                                      "Authorization: Token key-1\r\n",
                                      ++next_id);
      call (entry_ip (i % KIT_ENTRIES), KIT_CALLERS, "GET", "/lookup/n", fields, NULL, 1500,
            &answer);
      served += answer.status == 200 && answer.whole;
      msg_clear (&answer);
      g_free (fields);
      sleep_ms (200);
    }
  return served;
}

int
main (int argc, char **argv)
{
  kit_open (argc > 1 ? argv[1] : ".");
  kit_start ();
  for (unsigned i = 0; i < 3; i++)
    replica_new ("desk", run_request);
  if (operator_put (STATE, 15000) != 200)
    kit_finish (2, "the first desired state was not taken");
  sleep_ms (3000);
  unsigned before = probe ();
  note ("before: %u of 10 requests served", before);
  if (before < 5)
    kit_finish (2, "no service before the disruption");
  note ("operator sends: %s", kit_trouble () ? INVALID_STATE : VALID_STATE);
  int status = operator_put (kit_trouble () ? INVALID_STATE : VALID_STATE, 30000);
  note ("operator: the change was answered %d", status);
  sleep_ms (3000);
  note ("after: %u of 10 requests served", probe ());
  for (unsigned i = 0; i < KIT_VOTERS; i++)
    note ("voter %u ended by itself %u times", i, kit_own_ends ("voter", i));
  if (kit_own_ends_least ("voter", 3) >= (KIT_VOTERS + 1) / 2)
    kit_finish (1, "half of the voters ended by themselves three times");
  if (status == 200 && kit_trouble ())
    kit_finish (1, "an invalid desired state was acknowledged");
  kit_finish (0, "no process ended by itself three times");
}
