/* deployment.c - starts the processes and plays the platform's list, the replicas and the operator.
 */
#include "deployment.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define PROGRAM          "target/foxtailnode"
#define READY_PORT       8224
#define CONTROL_PORT     8229
#define LINK_PORT        7600
#define RELAY_PORT       7615
#define METRICS_PORT     9464
#define LIST_PORT        8225
#define REPLICA_PORT     8080
#define TICK             (20 * FT_MS)
#define RESTART_DELAY    (500 * FT_MS) /* of a process that has ended */
#define OPERATOR_TIMEOUT (1 * FT_SECOND)
#define SEEDS            3
#define FAILURE_MS       50 /* from the start of a run that fails to its answer */

typedef struct
{
  LoopTimer timer;
  Replica *replica;
  HCall *call;
  char id[64];
  bool running, fails;
  unsigned next_event, events;
} Run;

/* ---- Time and record ---- */

void
deployment_note (Deployment *deployment, const char *format, ...)
{
  va_list args;

  fprintf (deployment->record, "%8.3f  ",
           (double) (loop_now (deployment->loop) - deployment->started) / 1e6);
  va_start (args, format);
  vfprintf (deployment->record, format, args);
  va_end (args);
  fputc ('\n', deployment->record);
  fflush (deployment->record);
}

typedef struct
{
  LoopTimer timer;
  Loop *loop;
} Alarm;

static void
on_alarm (LoopTimer *timer)
{
  loop_stop (((Alarm *) timer)->loop);
}

void
deployment_run_for (Deployment *deployment, unsigned ms)
{
  Alarm alarm = { .timer.fire = on_alarm, .loop = deployment->loop };

  loop_timer_set (deployment->loop, &alarm.timer, loop_now (deployment->loop) + ms * FT_MS);
  loop_run (deployment->loop);
}

static void
cannot_run (const char *what)
{
  fprintf (stderr, "the case cannot run: %s: %s\n", what, g_strerror (errno));
  exit (2);
}

static const char *
ip_text (uint32_t ip, char *text)
{
  g_snprintf (text, 16, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 255, ip >> 8 & 255, ip & 255);
  return text;
}

/* ---- Processes ---- */

static const char *
version_settings (const Deployment *deployment, const Node *node)
{
  if (!deployment->conf.moves_versions)
    return "  \"all_versions\": true,\n";
  return node->voter ? "  \"rollout_share\": \"0.1\",\n  \"rollout_slack\": 50,\n"
                       "  \"order_repeat_ms\": 5000,\n"
                     : "";
}

static void
write_settings (const Deployment *deployment, const Node *node)
{
  GString *out = g_string_new ("{\n");
  char list[16];

  g_string_append_printf (out,
                          "  \"name\": \"%s\",\n  \"role\": \"%s\",\n  \"ip\": \"%s\",\n"
                          "  \"domain\": \"%s\",\n  \"region\": \"r\",\n",
                          node->name, node->voter ? "voter" : "entry", node->ip, node->zone);
  if (node->voter)
    g_string_append_printf (out,
                            "  \"control\": \"%s:%d\",\n  \"data_folder\": \"%s\",\n"
                            "  \"first_start\": %s,\n  \"drain_ms\": 3000,\n",
                            node->ip, CONTROL_PORT, node->folder,
                            node->started_before ? "false" : "true");
  else
    g_string_append_printf (out,
                            "  \"callers\": \"%s:%d\",\n  \"ready\": \"%s:%d\",\n"
                            "  \"relay_port\": %d,\n  \"files\": 4100,\n",
                            node->ip, FRONTEND_PORT, node->ip, READY_PORT, RELAY_PORT);
  g_string_append_printf (out,
                          "  \"link_port\": %d,\n  \"metrics_port\": %d,\n  \"losses\": %u,\n"
                          "  \"grace_s\": 8,\n  \"budget_ratio\": \"0.2\",\n"
                          "  \"budget_slack\": 54,\n  \"budget_window_s\": 10,\n"
                          "  \"limit_window_s\": 8,\n  \"limit_overage\": \"0.1\",\n"
                          "  \"limit_slack\": 190000,\n  \"list_rate\": \"40\",\n"
                          "%s  \"fair_shares\": true,\n"
                          "  \"list\": \"%s:%d\",\n  \"seeds\": [",
                          LINK_PORT, METRICS_PORT, MAX (deployment->conf.losses, 1),
                          version_settings (deployment, node), ip_text (deployment->net + 1, list),
                          LIST_PORT);
  for (unsigned i = 0; i < SEEDS; i++)
    g_string_append_printf (out, "%s\"%s:%d\"", i ? ", " : "", deployment->nodes[i].ip,
                            CONTROL_PORT);
  g_string_append (out, "]\n}\n");
  if (!g_file_set_contents (node->settings, out->str, (gssize) out->len, NULL))
    cannot_run (node->settings);
  g_string_free (out, TRUE);
}

static void
start_node (Deployment *deployment, Node *node)
{
  write_settings (deployment, node);
  node->started_before = true;
  node->restart_at = 0;
  node->pid = fork ();
  if (node->pid < 0)
    cannot_run ("fork");
  if (node->pid > 0)
    return;
  prctl (PR_SET_PDEATHSIG, SIGKILL); /* nothing is left behind if the test is ended */
  int out = open (node->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2 (out, STDOUT_FILENO);
  dup2 (out, STDERR_FILENO);
  for (int fd = 3; fd < 4096; fd++)
    close (fd);
  clearenv ();
  setenv ("FOXTAILGRADE_CONFIG", node->settings, 1);
  execl (PROGRAM, PROGRAM, NULL);
  _exit (127);
}

static void
reap (Deployment *deployment, Node *node)
{
  int status;

  if (node->pid == 0 || waitpid (node->pid, &status, WNOHANG) != node->pid)
    return;
  node->pid = 0;
  node->own_ends++;
  node->restart_at = loop_now (deployment->loop) + RESTART_DELAY;
  if (WIFSIGNALED (status))
    deployment_note (deployment, "process %s ended by itself: signal %d (%s)", node->name,
                     WTERMSIG (status), strsignal (WTERMSIG (status)));
  else
    deployment_note (deployment, "process %s ended by itself: exit code %d", node->name,
                     WEXITSTATUS (status));
}

void
deployment_kill (Deployment *deployment, Node *node, unsigned down_ms)
{
  deployment_note (deployment, "process %s gets SIGKILL", node->name);
  if (node->pid)
    {
      kill (node->pid, SIGKILL);
      waitpid (node->pid, NULL, 0);
    }
  node->pid = 0;
  node->restart_at = loop_now (deployment->loop) + down_ms * FT_MS;
}

/* ---- Replicas ---- */

unsigned
replica_running (const Replica *replica)
{
  unsigned count = 0;

  for (unsigned i = 0; i < replica->calls->len; i++)
    count += ((const Run *) replica->calls->pdata[i])->running;
  return count;
}

static GString *
answer_fields (const Replica *replica, const char *id, bool event_stream)
{
  GString *fields = g_string_new (NULL);
  unsigned running = replica_running (replica);

  hwrite_field (fields, "X-Foxtailgrade-Request-Id", id);
  g_string_append_printf (fields, "X-Foxtailgrade-Instance-Load: %u,%u,%u\r\n", running,
                          replica->calls->len - running, replica->deployment->conf.slots);
  if (event_stream)
    {
      g_string_append_printf (fields, "X-Foxtailgrade-Server-Signature: %s.%s\r\n", replica->id,
                              id);
      hwrite_field (fields, "X-Foxtailgrade-Weight-Versions", "1");
      hwrite_field (fields, "Content-Type", "text/event-stream");
    }
  return fields;
}

static void
run_free (Run *run)
{
  loop_timer_stop (run->replica->deployment->loop, &run->timer);
  g_ptr_array_remove (run->replica->calls, run);
  g_free (run);
}

static void
start_runs (Replica *replica)
{
  Deployment *deployment = replica->deployment;
  unsigned running = replica_running (replica);

  for (unsigned i = 0; i < replica->calls->len && running < deployment->conf.slots; i++)
    {
      Run *run = replica->calls->pdata[i];
      if (run->running)
        continue;
      run->running = true;
      running++;
      int before = GPOINTER_TO_INT (g_hash_table_lookup (deployment->runs, run->id));
      g_hash_table_replace (deployment->runs, g_strdup (run->id), GINT_TO_POINTER (before + 1));
      run->fails = deployment->conf.fails && deployment->conf.fails (replica);
      loop_timer_set (deployment->loop, &run->timer,
                      loop_now (deployment->loop)
                          + (run->fails ? FAILURE_MS : deployment->conf.prefill_ms) * FT_MS);
    }
}

static void
on_run_timer (LoopTimer *timer)
{
  Run *run = (Run *) timer;
  Replica *replica = run->replica;
  Deployment *deployment = replica->deployment;
  char event[64];

  if (run->fails)
    {
      HCall *call = run->call;
      GString *fields = answer_fields (replica, run->id, true);
      run_free (run);
      hcall_reply (call, 500, fields, "failed", 6);
      g_string_free (fields, TRUE);
      start_runs (replica);
      return;
    }
  if (run->next_event == 0)
    {
      GString *fields = answer_fields (replica, run->id, true);
      hcall_begin (run->call, 200, fields);
      g_string_free (fields, TRUE);
    }
  if (run->next_event < run->events)
    {
      run->next_event++;
      g_snprintf (event, sizeof event, "id: %u\ndata: token-%u\n\n", run->next_event,
                  run->next_event);
      hcall_write (run->call, event, strlen (event));
      loop_timer_set (deployment->loop, timer,
                      loop_now (deployment->loop) + deployment->conf.event_ms * FT_MS);
      return;
    }
  HCall *call = run->call;
  run_free (run);
  hcall_end (call);
  start_runs (replica);
}

static void
reject (Replica *replica, HCall *call, unsigned status, const char *id)
{
  GString *fields = answer_fields (replica, id, false);

  hwrite_field (fields, "X-Foxtailgrade-Not-Executed", "1");
  hcall_reply (call, status, fields, "", 0);
  g_string_free (fields, TRUE);
}

static void
on_request (void *owner, HCall *call)
{
  Replica *replica = owner;
  const HMsg *msg = hcall_msg (call);
  const char *id = hmsg_field (msg, "X-Foxtailgrade-Request-Id");
  const char *expected = hmsg_field (msg, "X-Foxtailgrade-Expect-Instance");
  const char *last = hmsg_field (msg, "Last-Event-Id");

  if (strcmp (hmsg_target (msg), "/health") == 0)
    {
      GString *fields = g_string_new (NULL);
      hwrite_field (fields, "X-Foxtailgrade-Instance-Id", replica->id);
      hcall_reply (call, 200, fields, "", 0);
      g_string_free (fields, TRUE);
    }
  else if (id == NULL)
    reject (replica, call, 400, "");
  else if (expected && strcmp (expected, replica->id) != 0)
    reject (replica, call, 421, id);
  else if (replica->calls->len >= 2 * replica->deployment->conf.slots)
    reject (replica, call, 503, id);
  else
    {
      Run *run = g_new0 (Run, 1);
      run->timer.fire = on_run_timer;
      run->replica = replica;
      run->call = call;
      run->next_event = last ? (unsigned) atoi (last) : 0;
      run->events = g_str_has_prefix (hmsg_target (msg), "/long/")
                        ? replica->deployment->conf.long_events
                        : replica->deployment->conf.events;
      g_strlcpy (run->id, id, sizeof run->id);
      hcall_set_user (call, run);
      g_ptr_array_add (replica->calls, run);
      if (replica->deployment->conf.arrived)
        replica->deployment->conf.arrived (replica, id);
      start_runs (replica);
    }
}

static void
on_left (void *owner, HCall *call)
{
  Run *run = hcall_user (call);

  if (run)
    run_free (run);
  start_runs (owner);
}

static const HSrvOps replica_ops = { on_request, on_left, NULL };

static void
start_replica (Replica *replica)
{
  Deployment *deployment = replica->deployment;

  replica->srv = hsrv_new (deployment->loop, replica->addr, &replica_ops, replica);
  if (replica->srv == NULL)
    return; /* the port is in use for a moment longer; the tick tries again */
  replica->up_at = 0;
  g_snprintf (replica->id, sizeof replica->id, "i-%u-%u",
              (unsigned) (replica - deployment->replicas), replica->lifetimes++);
}

void
deployment_crash (Deployment *deployment, Replica *replica, unsigned down_ms)
{
  if (replica->srv == NULL)
    return;
  deployment_note (deployment, "replica %s crashes with %u requests", replica->id,
                   replica->calls->len);
  while (replica->calls->len > 0)
    {
      HCall *call = ((Run *) replica->calls->pdata[0])->call;
      run_free (replica->calls->pdata[0]);
      hcall_set_user (call, NULL);
      hcall_abort (call);
    }
  hsrv_free (replica->srv);
  replica->srv = NULL;
  replica->up_at = loop_now (deployment->loop) + down_ms * FT_MS;
}

void
deployment_start_replica (Deployment *deployment, Replica *replica, const char *version)
{
  g_strlcpy (replica->version, version, sizeof replica->version);
  start_replica (replica);
  if (replica->srv == NULL)
    cannot_run ("no free address for a replica");
  replica->listed = true;
  deployment_note (deployment, "replica %s of version %s starts", replica->id, version);
}

void
deployment_stop_replica (Deployment *deployment, Replica *replica)
{
  deployment_crash (deployment, replica, 0);
  replica->up_at = 0;
  replica->listed = false;
}

/* ---- The platform's list ---- */

static void
on_list (void *owner, HCall *call)
{
  const Deployment *deployment = owner;
  GString *body = g_string_new ("{\"Instances\":[");
  char addr[SOCK_ADDR_TEXT_SIZE];
  bool any = false;

  for (unsigned i = 0; i < deployment->conf.replicas; i++)
    {
      const Replica *replica = &deployment->replicas[i];
      if (!replica->listed)
        continue;
      g_string_append_printf (
          body,
          "%s{\"Service\":\"model\",\"Address\":\"%s\",\"Zone\":\"%s\",\"Version\":\"%s\","
          "\"Slots\":%u,\"State\":\"%s\",\"ColdRemainingMs\":0,\"Stage\":\"both\","
          "\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],\"Id\":\"%s\"}",
          any ? "," : "", sock_addr_format (replica->addr, addr), replica->zone, replica->version,
          deployment->conf.slots, replica->draining ? "draining" : "ready", replica->id);
      any = true;
    }
  g_string_append (body, "],\"Next\":null}");
  GString *fields = g_string_new (NULL);
  hwrite_field (fields, "Content-Type", "application/json");
  hcall_reply (call, 200, fields, body->str, body->len);
  g_string_free (fields, TRUE);
  g_string_free (body, TRUE);
}

static void
on_list_left (void *owner, HCall *call)
{
  (void) owner;
  (void) call;
}

static const HSrvOps list_ops = { on_list, on_list_left, NULL };

/* ---- Requests of the test ---- */

static bool
on_head (void *user, const HMsg *msg)
{
  Reply *reply = user;
  const char *location = hmsg_field (msg, "Location");

  reply->status = hmsg_status (msg);
  reply->signed_by_replica = hmsg_field (msg, "X-Foxtailgrade-Server-Signature") != NULL;
  g_strlcpy (reply->location, location ? location : "", sizeof reply->location);
  return true;
}

static void
on_body (void *user, const char *data, size_t size)
{
  g_string_append_len (((Reply *) user)->body, data, (gssize) size);
}

static void
on_end (void *user)
{
  Reply *reply = user;

  reply->done = true;
  reply->xfer = NULL;
}

static void
on_failed (void *user, HXferFault fault)
{
  Reply *reply = user;

  (void) fault;
  reply->done = true;
  reply->status = 0;
  reply->xfer = NULL;
}

static const HXferOps reply_ops = { on_head, on_body, on_end, on_failed };

void
deployment_send (Deployment *deployment, const char *ip, unsigned port, const GString *request,
                 Reply *reply)
{
  static uint64_t connections;
  char text[32], key[32];
  HCliTarget target = { .key = key, .connect_us = FT_SECOND };

  g_snprintf (text, sizeof text, "%s:%u", ip, port);
  g_snprintf (key, sizeof key, "%" G_GUINT64_FORMAT, ++connections);
  sock_addr_parse (text, &target.addr);
  *reply = (Reply){ .body = g_string_new (NULL) };
  reply->xfer = hcli_send (deployment->cli, &target, request, &reply_ops, reply);
  reply->done = reply->xfer == NULL;
}

void
reply_clear (Reply *reply)
{
  if (reply->xfer)
    hxfer_cancel (reply->xfer);
  if (reply->body)
    g_string_free (reply->body, TRUE);
  *reply = (Reply){ 0 };
}

static void
await_reply (Deployment *deployment, Reply *reply, int64_t timeout)
{
  int64_t until = loop_now (deployment->loop) + timeout;

  while (!reply->done && loop_now (deployment->loop) < until)
    deployment_run_for (deployment, 5);
  if (!reply->done)
    {
      hxfer_cancel (reply->xfer);
      reply->xfer = NULL;
      reply->status = 0;
    }
}

void
deployment_metrics (Deployment *deployment, const Node *node, Reply *reply)
{
  GString *request = g_string_new (NULL);

  hwrite_request_line (request, "GET", "/metrics");
  hwrite_field (request, "Host", node->ip);
  hwrite_head_end (request);
  deployment_send (deployment, node->ip, METRICS_PORT, request, reply);
  await_reply (deployment, reply, FT_SECOND);
  g_string_free (request, TRUE);
}

Node *
deployment_leader (Deployment *deployment)
{
  Node *leader = NULL;

  for (unsigned i = 0; i < deployment->conf.voters; i++)
    {
      Reply reply;
      deployment_metrics (deployment, &deployment->nodes[i], &reply);
      if (reply.status == 200 && strstr (reply.body->str, "foxtail_in_charge 1"))
        leader = &deployment->nodes[i];
      reply_clear (&reply);
    }
  return leader;
}

/* ---- The operator ---- */

/* One call at one node, following 307 twice. */
static void
operator_call (Deployment *deployment, const Node *node, const char *method, const char *path,
               const GString *body, Reply *reply)
{
  char ip[32];

  g_strlcpy (ip, node->ip, sizeof ip);
  for (unsigned redirects = 0;; redirects++)
    {
      GString *request = g_string_new (NULL);
      hwrite_request_line (request, method, path);
      hwrite_field (request, "Host", ip);
      hwrite_field (request, "Content-Type", "application/json");
      hwrite_number_field (request, "Content-Length", body ? (int64_t) body->len : 0);
      hwrite_head_end (request);
      if (body)
        g_string_append_len (request, body->str, (gssize) body->len);
      deployment_send (deployment, ip, CONTROL_PORT, request, reply);
      g_string_free (request, TRUE);
      await_reply (deployment, reply, OPERATOR_TIMEOUT);
      if (reply->status != 307 || redirects == 2
          || sscanf (reply->location, "http://%31[0-9.]:", ip) != 1)
        return;
      reply_clear (reply);
    }
}

static GString *
desired_state (unsigned version)
{
  GString *out = g_string_new (NULL);

  g_string_append_printf (
      out,
      "{\"Version\":%u,\"Routes\":[{\"Name\":\"r-chat\",\"Host\":\"caller.example\","
      "\"PathPrefix\":\"/chat/\",\"RouteType\":\"streaming\",\"TimeoutMs\":10000,"
      "\"TargetLatencyMs\":1000,\"Priority\":0,\"Service\":\"model\",\"MaxAttempts\":2,"
      "\"Public\":false,\"Sticky\":true,\"Resumable\":true,\"GapAimMs\":300},"
      "{\"Name\":\"r-long\",\"Host\":\"caller.example\",\"PathPrefix\":\"/long/\","
      "\"RouteType\":\"streaming\",\"TimeoutMs\":15000,\"TargetLatencyMs\":1000,"
      "\"Priority\":1,\"Service\":\"model\",\"MaxAttempts\":1,\"Public\":false,"
      "\"Sticky\":true,\"Resumable\":false,\"GapAimMs\":300}],"
      "\"Services\":[{\"Name\":\"model\",\"HealthPath\":\"/health\",\"MaxConnections\":360,"
      "\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":5,\"KvCapacityTokens\":563854,"
      "\"KvBytes\":327680,\"LinkMbps\":1100000.0,\"Moves\":true,\"Backups\":true,\"Stride\":4,"
      "\"most\":12,\"PinMs\":4000.0,\"HoldMs\":2000.0,\"HandleS\":5.0,"
      "\"Models\":[{\"Name\":\"m\"}]}}],"
      "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
      "\"IdleTimeoutMs\":15000},"
      "\"Tenants\":[{\"Name\":\"tenant-a\",\"ApiKeys\":[\"key-a\"],\"Priority\":1,"
      "\"Unit\":\"tokens\",\"PlainTokens\":200,\"RatePerS\":0,\"Burst\":0}]}",
      version);
  return out;
}

static const Node *
next_control_node (const Deployment *deployment)
{
  static unsigned next;

  return &deployment->nodes[next++ % deployment->conf.voters];
}

bool
deployment_put (Deployment *deployment, unsigned version, unsigned limit_ms)
{
  int64_t until = loop_now (deployment->loop) + limit_ms * FT_MS;
  GString *body = desired_state (version);
  unsigned status = 0;

  deployment_note (deployment, "operator sends desired state %u", version);
  while (status != 200 && loop_now (deployment->loop) < until)
    {
      const Node *node = next_control_node (deployment);
      Reply reply;
      operator_call (deployment, node, "POST", "/api/Config.Put", body, &reply);
      status = reply.status;
      deployment_note (deployment, "operator got %u for desired state %u, asked %s", status,
                       version, node->name);
      reply_clear (&reply);
      if (status != 200)
        deployment_run_for (deployment, 200);
    }
  g_string_free (body, TRUE);
  return status == 200;
}

void
deployment_operate (Deployment *deployment, const char *method, const char *path, const char *body,
                    unsigned limit_ms, Reply *reply)
{
  int64_t until = loop_now (deployment->loop) + limit_ms * FT_MS;
  GString *text = body ? g_string_new (body) : NULL;

  for (;;)
    {
      operator_call (deployment, next_control_node (deployment), method, path, text, reply);
      if (reply->status == 200 || loop_now (deployment->loop) >= until)
        break;
      reply_clear (reply);
      deployment_run_for (deployment, 100);
    }
  if (text)
    g_string_free (text, TRUE);
}

unsigned
deployment_read_back (Deployment *deployment, unsigned limit_ms)
{
  int64_t until = loop_now (deployment->loop) + limit_ms * FT_MS;
  unsigned version = 0;

  while (version == 0 && loop_now (deployment->loop) < until)
    {
      const Node *node = next_control_node (deployment);
      Reply reply;
      operator_call (deployment, node, "GET", "/api/Config.Get", NULL, &reply);
      if (reply.status == 200 && sscanf (reply.body->str, "{\"Version\":%u", &version) != 1)
        version = 0;
      deployment_note (deployment, "operator reads back from %s: status %u, version %u", node->name,
                       reply.status, version);
      reply_clear (&reply);
      if (version == 0)
        deployment_run_for (deployment, 200);
    }
  return version;
}

/* ---- Set-up ---- */

static void
on_tick (LoopTimer *timer)
{
  Deployment *deployment = (Deployment *) ((char *) timer - offsetof (Deployment, tick));
  int64_t now = loop_now (deployment->loop);

  for (unsigned i = 0; i < deployment->node_count; i++)
    {
      Node *node = &deployment->nodes[i];
      reap (deployment, node);
      if (node->restart_at && now >= node->restart_at)
        {
          deployment_note (deployment, "the platform starts %s again", node->name);
          start_node (deployment, node);
        }
    }
  for (unsigned i = 0; i < deployment->conf.replicas; i++)
    if (deployment->replicas[i].up_at && now >= deployment->replicas[i].up_at)
      start_replica (&deployment->replicas[i]);
  loop_timer_set (deployment->loop, timer, now + TICK);
}

static void
add_node (Deployment *deployment, bool voter, unsigned number, uint32_t ip)
{
  Node *node = &deployment->nodes[deployment->node_count++];

  node->voter = voter;
  g_snprintf (node->name, sizeof node->name, "%s-%u", voter ? "voter" : "entry", number + 1);
  g_snprintf (node->zone, sizeof node->zone, "zone-%c", 'a' + number % ZONES);
  ip_text (ip, node->ip);
  g_snprintf (node->settings, sizeof node->settings, "%s/%s.settings", deployment->base,
              node->name);
  g_snprintf (node->folder, sizeof node->folder, "%s/%s.data", deployment->base, node->name);
  g_snprintf (node->log, sizeof node->log, "%s/%s.log", deployment->base, node->name);
}

/* Finds addresses on which the list and the replicas can listen. */
static bool
try_net (Deployment *deployment)
{
  deployment->net
      = 0x7f000000 + (g_random_int_range (1, 255) << 16) + (g_random_int_range (1, 255) << 8);
  deployment->list = hsrv_new (deployment->loop, (SockAddr){ deployment->net + 1, LIST_PORT },
                               &list_ops, deployment);
  if (deployment->list == NULL)
    return false;
  for (unsigned i = 0; i < deployment->conf.replicas; i++)
    {
      Replica *replica = &deployment->replicas[i];
      replica->deployment = deployment;
      replica->calls = g_ptr_array_new ();
      replica->addr = (SockAddr){ deployment->net + 100 + i, REPLICA_PORT };
      g_snprintf (replica->zone, sizeof replica->zone, "zone-%c", 'a' + i % ZONES);
      if (i >= deployment->conf.replicas - deployment->conf.later)
        continue;
      g_strlcpy (replica->version, "v1", sizeof replica->version);
      start_replica (replica);
      if (replica->srv == NULL)
        return false;
      replica->listed = true;
    }
  return true;
}

Deployment *
deployment_new (const DeploymentConf *conf, const char *record)
{
  Deployment *deployment = g_new0 (Deployment, 1);
  char *base = g_dir_make_tmp ("foxtailreview-XXXXXX", NULL);

  if (base == NULL || access (PROGRAM, X_OK) != 0)
    cannot_run (PROGRAM);
  signal (SIGPIPE, SIG_IGN);
  g_strlcpy (deployment->base, base, sizeof deployment->base);
  g_free (base);
  deployment->conf = *conf;
  deployment->loop = loop_new ();
  deployment->cli = hcli_new (deployment->loop);
  deployment->started = loop_now (deployment->loop);
  deployment->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  deployment->record = fopen (record, "w");
  if (deployment->record == NULL)
    cannot_run (record);
  if (!try_net (deployment))
    cannot_run ("no free addresses");
  for (unsigned i = 0; i < conf->voters; i++)
    add_node (deployment, true, i, deployment->net + 11 + i);
  for (unsigned i = 0; i < conf->entries; i++)
    add_node (deployment, false, i, deployment->net + 31 + i);
  deployment->tick.fire = on_tick;
  loop_timer_set (deployment->loop, &deployment->tick, deployment->started + TICK);
  return deployment;
}

static bool
is_ready (Deployment *deployment, const Node *node)
{
  GString *request = g_string_new (NULL);
  Reply reply;

  hwrite_request_line (request, "GET", "/api/readyz");
  hwrite_field (request, "Host", node->ip);
  hwrite_head_end (request);
  deployment_send (deployment, node->ip, READY_PORT, request, &reply);
  await_reply (deployment, &reply, FT_SECOND);
  bool ready = reply.status == 200;
  reply_clear (&reply);
  g_string_free (request, TRUE);
  return ready;
}

void
deployment_start (Deployment *deployment)
{
  int64_t until = loop_now (deployment->loop) + 15 * FT_SECOND;
  unsigned ready = 0;

  for (unsigned i = 0; i < deployment->node_count; i++)
    start_node (deployment, &deployment->nodes[i]);
  if (!deployment_put (deployment, 1, 15000))
    cannot_run ("the first desired state was not acknowledged");
  while (ready < deployment->conf.entries)
    {
      ready = 0;
      for (unsigned i = deployment->conf.voters; i < deployment->node_count; i++)
        ready += is_ready (deployment, &deployment->nodes[i]);
      if (loop_now (deployment->loop) > until)
        cannot_run ("not all entries are ready");
      deployment_run_for (deployment, 100);
    }
  deployment_note (deployment, "%u entries are ready", ready);
}

static void
remove_folder (const char *folder)
{
  GDir *dir = g_dir_open (folder, 0, NULL);
  const char *name;

  while (dir && (name = g_dir_read_name (dir)) != NULL)
    {
      char *path = g_build_filename (folder, name, NULL);
      if (g_file_test (path, G_FILE_TEST_IS_DIR))
        remove_folder (path);
      else
        unlink (path);
      g_free (path);
    }
  if (dir)
    g_dir_close (dir);
  rmdir (folder);
}

void
deployment_free (Deployment *deployment)
{
  deployment->ending = true;
  for (unsigned i = 0; i < deployment->node_count; i++)
    if (deployment->nodes[i].pid)
      {
        kill (deployment->nodes[i].pid, SIGKILL);
        waitpid (deployment->nodes[i].pid, NULL, 0);
      }
  if (g_getenv ("KEEP"))
    printf ("logs in %s\n", deployment->base);
  else
    remove_folder (deployment->base);
  fclose (deployment->record);
}
