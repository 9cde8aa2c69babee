/* case-5.c - a late second copy of a rejection without an id is taken for the answer to the next
 * request on its connection, which runs and is said not to have run. */
#include "kit.h"

#include <stdlib.h>
#include <string.h>

#define REPLICAS     4
#define GARBLING     2    /* of them */
#define COPIES_SHARE 0.03 /* of a garbling replica's answers while it garbles */
#define GARBLE_S     5.0  /* how long the replicas garble */
#define REQUESTS     240
#define NO_ID_EVERY  8
#define FDS          4096

#define STATE                                                                                      \
  "{\"Version\":7,\"Routes\":[{\"Name\":\"order\",\"Host\":\"a.example\",\"PathPrefix\":\"/order/" \
  "\","                                                                                            \
  "\"RouteType\":\"unsafe\",\"TimeoutMs\":800,\"TargetLatencyMs\":300,\"Priority\":2,"             \
  "\"Service\":\"desk\",\"MaxAttempts\":1,\"Public\":true,\"Sticky\":false}],"                     \
  "\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/health\",\"MaxConnections\":100,"            \
  "\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,"                      \
  "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}"

#define REJECTION                                                                                  \
  "HTTP/1.1 400 Bad Request\r\nX-Foxtailgrade-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

static bool late[FDS]; /* a copy of the rejection is still to be sent, by descriptor */
static unsigned runs[REQUESTS + 1];
static gint answers[REPLICAS], copies[REPLICAS]; /* while it garbles */
static double garble_from = 1e9;                 /* see now_s */

/* A copy goes to the connection of its rejection, or to none. */
static void
forget_copy (int fd)
{
  late[fd] = false;
}

static bool
is_garbling (unsigned replica)
{
  return kit_trouble () && replica < GARBLING && now_s () >= garble_from
         && now_s () < garble_from + GARBLE_S;
}

static bool
may_copy (unsigned replica)
{
  return is_garbling (replica) && copies[replica] + 1 <= COPIES_SHARE * answers[replica];
}

/* Rejects a request without an id. */
static bool
reject (const Replica *replica, int fd)
{
  late[fd] = may_copy (replica->number);
  copies[replica->number] += late[fd];
  note ("replica %u: a request without an id gets 400, not executed%s", replica->number,
        late[fd] ? "; a copy comes late on that connection" : "");
  return write_all (fd, REJECTION, strlen (REJECTION));
}

static bool
run_request (Replica *replica, int fd, const Msg *request)
{
  char id[64] = "";

  msg_field (request, "X-Foxtailgrade-Request-Id", id, sizeof id);
  unsigned number = (unsigned) strtoul (id, NULL, 16);
  answers[replica->number] += !kit_trouble () || is_garbling (replica->number);
  if (late[fd] && is_garbling (replica->number))
    {
      note ("replica %u: the late copy is sent as %s arrives", replica->number, id);
      write_all (fd, REJECTION, strlen (REJECTION));
      late[fd] = false;
    }
  if (*id == 0)
    return reject (replica, fd);
  runs[MIN (number, REQUESTS)]++;
  sleep_ms (20);
  char *text
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Foxtailgrade-Request-Id: %s\r\n"
                         "X-Foxtailgrade-Server-Signature: s.%s\r\n"
                         "X-Foxtailgrade-Instance-Load: 0,0,5\r\nContent-Length: 4\r\n\r\nbody",
                         id, id);
  bool sent = write_all (fd, text, strlen (text));
  g_free (text);
  return sent;
}

static int
send_order (unsigned number)
{
  Msg answer;
  char id[64] = "";

  if (number)
    g_snprintf (id, sizeof id, "X-Foxtailgrade-Request-Id: %016x\r\n", number);
  char *fields = g_strdup_printf ("Host: a.example\r\n%sX-Foxtailgrade-Deadline-Ms: 1500\r\n", id);
  call (entry_ip (0), KIT_CALLERS, "POST", "/order/n", fields, "order", 2000, &answer);
  int status = answer.status;
  msg_clear (&answer);
  g_free (fields);
  return status;
}

int
main (int argc, char **argv)
{
  unsigned served = 0, refused = 0;

  kit_open (argc > 1 ? argv[1] : ".");
  kit_start ();
  for (unsigned i = 0; i < REPLICAS; i++)
    replica_new ("desk", run_request)->closing = forget_copy;
  if (operator_put (STATE, 15000) != 200)
    kit_finish (2, "the desired state was not taken");
  sleep_ms (4000);
  garble_from = now_s ();
  note ("two replicas garble for %.1f s", GARBLE_S);
  for (unsigned i = 1; i <= REQUESTS; i++)
    {
      if (i % NO_ID_EVERY == 0)
        note ("requester: without an id: %d", send_order (0));
      int status = send_order (i);
      served += status == 200;
      if (status == 200 && runs[i] == 1)
        continue;
      note ("requester: %016x: %d, ran %u times", i, status, runs[i]);
      refused += runs[i] > 0 && (status == 503 || status == 429 || status == 408 || status == 421);
    }
  for (unsigned i = 0; i < REPLICAS; i++)
    note ("replica %u: %d answers, %d late copies", i, answers[i], copies[i]);
  note ("%u of %u orders served, %u refused though they ran", served, REQUESTS, refused);
  if (served < REQUESTS / 2)
    kit_finish (2, "no service");
  if (refused > 0)
    kit_finish (1, "a request that isn't idempotent was refused and ran");
  kit_finish (0, "no request was refused that ran");
}
