/* case-4.c - a replica's process is killed midway in an answer without a length and starts again
 * under its Id; the requester gets the half as a whole answer. */
#include "kit.h"

#include <string.h>

#define SOUND      4
#define CUT        2
#define REPLICAS   6
#define RESTART_MS 300
#define WHOLE      "first half, second half"
#define HALF       "first half"

#define STATE                                                                                      \
  "{\"Version\":7,\"Routes\":[{\"Name\":\"order\",\"Host\":\"a.example\",\"PathPrefix\":\"/order/" \
  "\","                                                                                            \
  "\"RouteType\":\"unsafe\",\"TimeoutMs\":4000,\"TargetLatencyMs\":300,\"Priority\":2,"            \
  "\"Service\":\"desk\",\"MaxAttempts\":1,\"Public\":true,\"Sticky\":false}],"                     \
  "\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/health\",\"MaxConnections\":100,"            \
  "\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,"                      \
  "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}"

/* An answer without a length: it ends with its connection. */
static bool
run_request (Replica *replica, int fd, const Msg *request)
{
  char id[64] = "";
  bool trouble = kit_trouble () && strcmp (request->body->str, "cut") == 0;

  msg_field (request, "X-Foxtailgrade-Request-Id", id, sizeof id);
  note ("replica %u (%s, life %u) runs %s", replica->number, replica->id, replica->life, id);
  sleep_ms (30);
  char *text = g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Foxtailgrade-Request-Id: %s\r\n"
                                "X-Foxtailgrade-Server-Signature: s.%s\r\nConnection: close\r\n\r\n"
                                "%s",
                                id, id, HALF);
  write_all (fd, text, strlen (text));
  g_free (text);
  sleep_ms (50);
  if (trouble)
    {
      note ("replica %u is killed midway in its answer and starts again as %s", replica->number,
            replica->id);
      replica_kill_and_restart (replica, RESTART_MS);
    }
  else
    write_all (fd, WHOLE + strlen (HALF), strlen (WHOLE) - strlen (HALF));
  return false;
}

int
main (int argc, char **argv)
{
  unsigned halves = 0, wholes = 0;

  kit_open (argc > 1 ? argv[1] : ".");
  kit_start ();
  for (unsigned i = 0; i < REPLICAS; i++)
    replica_new ("desk", run_request)->born = g_get_real_time () / 1000;
  if (operator_put (STATE, 15000) != 200)
    kit_finish (2, "the desired state was not taken");
  sleep_ms (4000);
  for (unsigned i = 0; i < SOUND + CUT; i++)
    {
      Msg answer;
      char *fields = g_strdup_printf ("Host: a.example\r\nX-Foxtailgrade-Request-Id: %016x\r\n"
                                      "X-Foxtailgrade-Deadline-Ms: 4000\r\n",
                                      i + 1);
      call (entry_ip (i % KIT_ENTRIES), KIT_CALLERS, "POST", "/order/n", fields,
            i < SOUND ? "sound" : "cut", 5000, &answer);
      bool is_whole = answer.whole && answer.body && strcmp (answer.body->str, WHOLE) == 0;
      note ("requester: %016x: %d, body \"%s\", %s", i + 1, answer.status,
            answer.body ? answer.body->str : "", answer.whole ? "complete" : "not complete");
      wholes += answer.status == 200 && is_whole;
      halves += answer.status == 200 && answer.whole && !is_whole;
      msg_clear (&answer);
      g_free (fields);
      sleep_ms (2500);
    }
  note ("%u whole answers, %u halves that look whole", wholes, halves);
  if (wholes == 0)
    kit_finish (2, "no service");
  if (halves > 0)
    kit_finish (1, "a body that isn't the replica's whole body came as a complete success");
  kit_finish (0, "no answer was mixed");
}
