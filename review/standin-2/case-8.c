/* case-8.c - streams that their replicas end whole, without a length, are broken off beside planned
 * work, since a status check waits for a slot. */
#include "kit.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define REPLICAS 6
#define STREAMS  6
#define WAIT_S   2.2 /* for a slot, after a stream has left its own */
#define EVENTS   "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

#define STATE                                                                                      \
  "{\"Version\":7,\"Routes\":[{\"Name\":\"review\",\"Host\":\"a.example\",\"PathPrefix\":\"/"      \
  "review/\","                                                                                     \
  "\"RouteType\":\"streaming\",\"TimeoutMs\":10000,\"TargetLatencyMs\":600,\"Priority\":0,"        \
  "\"Service\":\"pool\",\"MaxAttempts\":1,\"Public\":true,\"Sticky\":true,\"Resumable\":false,"    \
  "\"GapAimMs\":300}],\"Services\":[{\"Name\":\"pool\",\"HealthPath\":\"/health\","                \
  "\"MaxConnections\":360,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":5,"              \
  "\"KvCapacityTokens\":563854,\"KvBytes\":327680,\"LinkMbps\":1100000.0,\"Moves\":false,"         \
  "\"Backups\":false,\"Stride\":4,\"Models\":[{\"Name\":\"m\"}]}}],"                               \
  "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"        \
  "\"IdleTimeoutMs\":15000}}"

static gint whole, cut, other;

/* The event stream has no length and ends with its connection. */
static bool
run_request (Replica *replica, int fd, const Msg *request)
{
  char id[64] = "";

  replica_wait_for_slot (replica);
  msg_field (request, "X-Foxtailgrade-Request-Id", id, sizeof id);
  char *text = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                "X-Foxtailgrade-Request-Id: %s\r\n"
                                "X-Foxtailgrade-Server-Signature: s.%s\r\n"
                                "X-Foxtailgrade-Weight-Versions: 1\r\nConnection: close\r\n\r\n",
                                id, id);
  bool sent = write_all (fd, text, strlen (text));
  g_free (text);
  sleep_ms (100);
  sent = sent && write_all (fd, EVENTS, strlen (EVENTS) / 2);
  sleep_ms (100);
  sent = sent && write_all (fd, EVENTS + strlen (EVENTS) / 2, strlen (EVENTS) / 2);
  note ("replica %u has answered %s %s", replica->number, id, sent ? "whole" : "in part");
  if (kit_trouble ())
    replica->busy_until = now_s () + WAIT_S; /* its slot goes to another caller's request */
  return false;
}

static void *
send_stream (void *data)
{
  unsigned number = GPOINTER_TO_UINT (data);
  Msg answer;
  char *fields = g_strdup_printf ("Host: a.example\r\nX-Foxtailgrade-Request-Id: %016x\r\n"
                                  "X-Foxtailgrade-Deadline-Ms: 10000\r\nX-Foxtailgrade-Model: m\r\n"
                                  "X-Foxtailgrade-Token-Usage: 100,40\r\n"
                                  "X-Foxtailgrade-Prefix-Hash: %x:60,%x:40\r\n",
                                  number, 0x77u, 0x1000u + number);

  call (entry_ip (0), KIT_CALLERS, "POST", "/review/n", fields, "prompt", 10000, &answer);
  bool all = answer.body && strcmp (answer.body->str, EVENTS) == 0;
  note ("requester: %016x: %d, %zu of %zu bytes, the channel ends %s", number, answer.status,
        answer.body ? answer.body->len : 0, strlen (EVENTS),
        answer.whole ? "after a complete answer" : "without a complete answer");
  g_atomic_int_inc (answer.status == 200 && answer.whole && all ? &whole
                    : answer.status == 200 && !answer.whole     ? &cut
                                                                : &other);
  msg_clear (&answer);
  g_free (fields);
  return NULL;
}

int
main (int argc, char **argv)
{
  pthread_t threads[STREAMS];

  kit_open (argc > 1 ? argv[1] : ".");
  kit_start ();
  for (unsigned i = 0; i < REPLICAS; i++)
    replica_new ("pool", run_request);
  if (operator_put (STATE, 15000) != 200)
    kit_finish (2, "the desired state was not taken");
  sleep_ms (5000);
  note ("SIGHUP to entry 0");
  kit_hup_entry (0);
  for (unsigned i = 0; i < STREAMS; i++)
    {
      sleep_ms (250); /* all are sent within ConfigApplyMs */
      pthread_create (&threads[i], NULL, send_stream, GUINT_TO_POINTER (i + 1));
    }
  for (unsigned i = 0; i < STREAMS; i++)
    pthread_join (threads[i], NULL);
  note ("%d streams whole, %d cut, %d others", whole, cut, other);
  if (cut > 0)
    kit_finish (1, "a channel ended without a complete answer beside a SIGHUP");
  if (whole == 0)
    kit_finish (2, "no service");
  kit_finish (0, "no answer was cut");
}
