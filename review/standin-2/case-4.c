/* case-4.c - requests that crash their servers fill the crash table, and the voters end. */
#include "kit.h"

#include <stdio.h>
#include <string.h>

#define REPLICAS   6
#define PROMPTS    5
#define LONG_PARTS 256 /* of all prompts but the last */
#define DOWN_MS    2000
#define WATCH_S    15

#define STATE_OF(version)                                                                          \
  "{\"Version\":" version                                                                          \
  ",\"Routes\":[{\"Name\":\"review\",\"Host\":\"a.example\",\"PathPrefix\":\"/review/\","          \
  "\"RouteType\":\"streaming\",\"TimeoutMs\":10000,\"TargetLatencyMs\":600,\"Priority\":0,"        \
  "\"Service\":\"pool\",\"MaxAttempts\":1,\"Public\":true,\"Sticky\":true,\"Resumable\":true,"     \
  "\"GapAimMs\":300}],\"Services\":[{\"Name\":\"pool\",\"HealthPath\":\"/health\","                \
  "\"MaxConnections\":360,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":5,"              \
  "\"KvCapacityTokens\":563854,\"KvBytes\":327680,\"LinkMbps\":1100000.0,\"Moves\":false,"         \
  "\"Backups\":false,\"Stride\":4,\"Models\":[{\"Name\":\"m\"}]}}],"                               \
  "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"        \
  "\"IdleTimeoutMs\":15000}}"
#define STATE      STATE_OF ("7")
#define NEXT_STATE STATE_OF ("9")

static gint crashes, runs;

static bool
run_request (Replica *replica, int fd, const Msg *request)
{
  char id[64] = "";
  GString *out = g_string_new (NULL);

  msg_field (request, "X-Foxtailgrade-Request-Id", id, sizeof id);
  if (kit_trouble () && strstr (request->body->str, "deadly"))
    {
      note ("replica %u (%s) runs %s and crashes", replica->number, replica->id, id);
      g_atomic_int_inc (&crashes);
      sleep_ms (100);
      replica_crash_for (replica, DOWN_MS);
      g_string_free (out, TRUE);
      return false;
    }
  g_atomic_int_inc (&runs);
  sleep_ms (30);
  g_string_printf (out,
                   "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                   "X-Foxtailgrade-Request-Id: %s\r\nX-Foxtailgrade-Server-Signature: s.%s\r\n"
                   "X-Foxtailgrade-Weight-Versions: 1\r\nContent-Length: 33\r\n\r\n"
                   "id: 1\ndata: a\n\nid: 2\ndata: bbbb\n\n",
                   id, id);
  bool sent = write_all (fd, out->str, out->len);
  g_string_free (out, TRUE);
  return sent;
}

static int
send_prompt (unsigned entry, unsigned prompt, unsigned parts, const char *body)
{
  static gint next_id;
  GString *fields = g_string_new (NULL);
  unsigned id = (unsigned) g_atomic_int_add (&next_id, 1);
  Msg answer;

  g_string_printf (fields,
                   "Host: a.example\r\nX-Foxtailgrade-Request-Id: %08x%08x\r\n"
                   "X-Foxtailgrade-Deadline-Ms: 10000\r\nX-Foxtailgrade-Model: m\r\n"
                   "X-Foxtailgrade-Token-Usage: %u,40\r\nX-Foxtailgrade-Prefix-Hash: ",
                   0x5eed0000u, id, parts * 16);
  for (unsigned i = 0; i < parts; i++)
    g_string_append_printf (fields, "%s%06x:16", i ? "," : "", (prompt + 1) << 12 | i);
  g_string_append (fields, "\r\n");
  call (entry_ip (entry), KIT_CALLERS, "POST", "/review/n", fields->str, body, 4000, &answer);
  int status = answer.status;
  if (strstr (body, "deadly"))
    note ("requester: prompt %u (%u parts), id %08x%08x, to entry %u: %d%s", prompt, parts,
          0x5eed0000u, id, entry, status, answer.whole ? "" : " (no whole answer)");
  msg_clear (&answer);
  g_string_free (fields, TRUE);
  return status;
}

/* Small requests of others, ten over two seconds; returns how many were served. */
static unsigned
probe (void)
{
  unsigned served = 0;

  for (unsigned i = 0; i < 10; i++)
    {
      served += send_prompt (i % KIT_ENTRIES, 100 + g_random_int () % 1000, 2, "small") == 200;
      sleep_ms (200);
    }
  return served;
}

int
main (int argc, char **argv)
{
  kit_open (argc > 1 ? argv[1] : ".");
  kit_start ();
  for (unsigned i = 0; i < REPLICAS; i++)
    replica_new ("pool", run_request);
  if (operator_put (STATE, 15000) != 200)
    kit_finish (2, "the desired state was not taken");
  sleep_ms (3000);
  unsigned before = probe ();
  note ("before: %u of 10 small requests served", before);
  if (before < 5)
    kit_finish (2, "no service before the disruption");
  for (unsigned prompt = 0; prompt < PROMPTS; prompt++)
    for (unsigned attempt = 0; attempt < 2; attempt++) /* the requester repeats it once */
      {
        char body[32];
        g_snprintf (body, sizeof body, "deadly %u", prompt);
        send_prompt ((prompt + attempt) % KIT_ENTRIES, prompt,
                     prompt + 1 < PROMPTS ? LONG_PARTS : 3, body);
        sleep_ms (DOWN_MS + 800);
      }
  sleep_ms (WATCH_S * 1000);
  unsigned after = probe ();
  note ("after: %u of 10 small requests served; %d crashes of replicas, %d runs", after,
        g_atomic_int_get (&crashes), g_atomic_int_get (&runs));
  int status = operator_put (NEXT_STATE, 10000);
  note ("operator: a further desired state was answered %d", status);
  for (unsigned i = 0; i < KIT_VOTERS; i++)
    note ("voter %u ended by itself %u times", i, kit_own_ends ("voter", i));
  unsigned least = kit_own_ends_least ("voter", 3);
  if (least >= (KIT_VOTERS + 1) / 2)
    kit_finish (1, "half of the voters ended by themselves three times");
  kit_finish (0, "no process ended by itself three times");
}
