/* fleet.c - runs real foxtailnode processes by fork and exec, and simulates the platform. */
#include "backend.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#define SERVER_PORT       18090
#define LIST_PORT         18099
#define SILENT_PORT       18071 /* where connects hang */
#define CLOSED_PORT       18072 /* where connects are refused */
#define LINK_LISTEN_PORT  18073 /* where a node behind a proxy accepts links */
#define RELAYED           4     /* requests after which an entry that is cut off relays at once */
#define SERVER_PROXY_PORT 18095 /* of the proxies before servers */
#define VERSION_PAUSE     (20 * FT_MS)   /* between two looks at an entry ... */
#define VERSION_LOOKS     1500           /* ... and their number at most */
#define OPERATOR_TIMEOUT  (1500 * FT_MS) /* then operators try another voter */
#define WAIT_TIMEOUT                                                                               \
  (60 * FT_SECOND) /* a test that hangs fails; no test checks durations otherwise */

/* ---- The platform's server list ---- */

static void
on_list (void *owner, HCall *call)
{
  Fleet *fleet = owner;
  GString *body = g_string_new ("{\"Instances\":[");
  char addr[SOCK_ADDR_TEXT_SIZE];
  bool any = false;

  fleet->list_readings++;
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    {
      const FleetServer *server = &fleet->servers[i];
      if (!server->listed)
        continue;
      g_string_append_printf (body,
                              "%s{\"Service\":\"s\",\"Address\":\"%s\",\"Zone\":\"z\",\"Slots\":%u,"
                              "\"Version\":\"%s\",\"ColdRemainingMs\":0,\"State\":\"%s\","
                              "\"Id\":\"%s\"}",
                              any ? "," : "", sock_addr_format (server->addr, addr), fleet->slots,
                              server->version, server->leaving ? "draining" : "ready", server->id);
      any = true;
    }
  g_string_append (body, "],\"Next\":null}");
  hcall_reply (call, 200, NULL, body->str, body->len);
  g_string_free (body, TRUE);
}

static void
on_list_call_gone (void *owner, HCall *call)
{
  (void) owner;
  (void) call;
}

static const HSrvOps list_ops = { on_list, on_list_call_gone, NULL };

/* ---- Processes ---- */

static const char *
ip_text (uint32_t ip, char *text)
{
  sock_addr_format ((SockAddr){ ip, 0 }, text);
  *strrchr (text, ':') = '\0';
  return text;
}

static void
write_settings (const Fleet *fleet, const FleetNode *node, bool first_start)
{
  char ip[SOCK_ADDR_TEXT_SIZE], seed[SOCK_ADDR_TEXT_SIZE], list[SOCK_ADDR_TEXT_SIZE];
  GString *out = g_string_new ("// written by a test\n{");

  ip_text (node->ip, ip);
  sock_addr_format ((SockAddr){ fleet->voters[0].ip - 1, LIST_PORT }, list);
  g_string_append_printf (
      out,
      "\"name\":\"%s\",\"role\":\"%s\",\"ip\":\"%s\",\"domain\":\"z\","
      "\"link_port\":%d,\"link_listen_port\":%d,\"list\":\"%s\",\"log_level\":\"debug\","
      "\"first_start\":%s,\"start_wait_s\":%u,\"grace_s\":%u,\"metrics_port\":%d,"
      "\"budget_slack\":%u,\"all_versions\":%s,\"losses\":%u,",
      node->name, node->voter ? "voter" : "entry", ip, FLEET_LINK_PORT,
      node->proxy ? LINK_LISTEN_PORT : 0, list, first_start ? "true" : "false", fleet->start_wait_s,
      fleet->grace_s, FLEET_METRICS_PORT, fleet->budget_slack,
      fleet->all_versions ? "true" : "false", fleet->losses);
  if (node->voter)
    g_string_append_printf (out, "\"control\":\"%s:%d\",\"data_folder\":\"%s\",", ip,
                            FLEET_CONTROL_PORT, node->folder);
  else
    g_string_append_printf (
        out, "\"callers\":\"%s:%d\",\"ready\":\"%s:%d\",\"source_ip\":\"%s\",\"relay_port\":%d,",
        ip, FLEET_CALLER_PORT, ip, FLEET_READY_PORT, ip, FLEET_RELAY_PORT);
  g_string_append (out, "\"seeds\":[");
  for (unsigned i = 0; i < (node->voter ? fleet->voter_count : fleet->entry_seeds); i++)
    g_string_append_printf (out, "%s\"%s:%d\"", i ? "," : "", ip_text (fleet->voters[i].ip, seed),
                            FLEET_CONTROL_PORT);
  g_string_append (out, "]}\n");
  /* Not synced: on a busy disk that would stop the servers and proxies of the test for seconds. */
  g_assert_true (g_file_set_contents_full (node->settings, out->str, (gssize) out->len,
                                           G_FILE_SET_CONTENTS_NONE, 0600, NULL));
  g_string_free (out, TRUE);
}

void
fleet_start (Fleet *fleet, FleetNode *node, bool first_start)
{
  const char *program = g_getenv ("FOXTAILNODE");

  g_assert_cmpint (node->pid, ==, 0);
  write_settings (fleet, node, first_start);
  node->pid = fork ();
  g_assert_cmpint (node->pid, >=, 0);
  if (node->pid > 0)
    return;
  prctl (PR_SET_PDEATHSIG, SIGKILL); /* a failed test leaves no process behind */
  int out = open (node->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2 (out, STDOUT_FILENO);
  dup2 (out, STDERR_FILENO);
  sigset_t none;
  sigemptyset (&none);
  sigprocmask (SIG_SETMASK, &none, NULL);
  for (int fd = 3; fd < 1024; fd++)
    close (fd);
  if (node->files)
    setrlimit (RLIMIT_NOFILE, &(struct rlimit){ node->files, node->files });
  if (node->starts_without)
    {
      char *hidden = g_strconcat (node->settings, FLEET_HIDDEN, NULL);
      rename (node->settings, hidden);
    }
  if (node->file_size)
    setrlimit (RLIMIT_FSIZE, &(struct rlimit){ node->file_size, RLIM_INFINITY });
  setenv ("FOXTAILNODE_DETOUR", node->detour, 1);
  if (fleet->own_sources)
    {
      char text[16];
      g_snprintf (text, sizeof text, "%u", node->ip);
      setenv ("FOXTAILNODE_SOURCE", text, 1);
    }
  if (node->older)
    setenv ("FOXTAILNODE_OLDER", "1", 1);
  execl (program ? program : FOXTAILNODE, "foxtailnode", node->settings, NULL);
  _exit (127);
}

void
fleet_signal (FleetNode *node, int number)
{
  if (node->pid > 0)
    kill (node->pid, number);
}

bool
fleet_handles_signals (const FleetNode *node)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int) node->pid), *text = NULL;
  const char *blocked = NULL;

  if (node->pid > 0 && g_file_get_contents (path, &text, NULL, NULL))
    blocked = strstr (text, "SigBlk:");
  bool handles = blocked
                 && g_ascii_strtoull (blocked + strlen ("SigBlk:"), NULL, 16)
                        & (UINT64_C (1) << (SIGTERM - 1));
  g_free (text);
  g_free (path);
  return handles;
}

void
fleet_kill (FleetNode *node)
{
  if (node->pid == 0)
    return;
  kill (node->pid, SIGKILL);
  waitpid (node->pid, NULL, 0);
  node->pid = 0;
}

bool
fleet_has_exited (FleetNode *node)
{
  if (node->pid == 0)
    return true;
  if (waitpid (node->pid, &node->status, WNOHANG) != node->pid)
    return false;
  node->pid = 0;
  return true;
}

void
fleet_wipe_data (FleetNode *node)
{
  GDir *dir = g_dir_open (node->folder, 0, NULL);
  const char *name;

  while (dir && (name = g_dir_read_name (dir)) != NULL)
    {
      char *path = g_build_filename (node->folder, name, NULL);
      unlink (path);
      g_free (path);
    }
  if (dir)
    g_dir_close (dir);
}

char *
fleet_read_log (const FleetNode *node)
{
  char *text = NULL;

  g_file_get_contents (node->log, &text, NULL, NULL);
  return text ? text : g_strdup ("");
}

static void
init_node (Fleet *fleet, FleetNode *node, const char *name, uint32_t ip, bool voter)
{
  g_strlcpy (node->name, name, sizeof node->name);
  node->ip = ip;
  node->voter = voter;
  g_snprintf (node->folder, sizeof node->folder, "%s/%s", fleet->base, name);
  g_snprintf (node->settings, sizeof node->settings, "%s/%s.json", fleet->base, name);
  g_snprintf (node->log, sizeof node->log, "%s/%s.log", fleet->base, name);
  g_snprintf (node->detour, sizeof node->detour, "%s/%s.detour", fleet->base, name);
}

Fleet *
fleet_new (void)
{
  static unsigned made;
  Fleet *fleet = g_new0 (Fleet, 1);
  uint32_t net = 0;
  char name[16];

  fleet->loop = loop_new ();
  fleet->cli = hcli_new (fleet->loop);
  fleet->event_ms = 20;
  fleet->flood_bytes = 1024;
  fleet->flood_ms = 20;
  fleet->slots = 4;
  fleet->plain_ms = 0;
  fleet->slow_ms = 300;
  fleet->run_counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet->lost_counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet->senders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet->arrivals = g_array_new (FALSE, FALSE, sizeof (Arrival));
  fleet->crash_events = g_array_new (FALSE, FALSE, sizeof (FleetCrashEvent));
  fleet->crash_run_counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet->restart_ms = 300;
  fleet->budget_slack = 20;
  fleet->entry_seeds = 3;
  fleet->start_wait_s = 70;
  fleet->voter_count = 3;
  fleet->losses = 1;
  fleet->grace_s = 8;
  fleet->entry_count = FLEET_ENTRIES;
  /* Picks a loopback /24 that no other test of this machine uses at the same time: the test that
   * binds the list's address owns the range. */
  for (unsigned i = 0; fleet->list == NULL && i < 1000; i++)
    {
      unsigned number = (unsigned) getpid () * 7 + made++ + i * 131;
      net = 0x7f000000u | (number / 250 % 250 + 2) << 16 | (number % 250) << 8;
      fleet->list = hsrv_new (fleet->loop, (SockAddr){ net + 10, LIST_PORT }, &list_ops, fleet);
    }
  g_assert_nonnull (fleet->list);
  g_snprintf (fleet->base, sizeof fleet->base, "%s/fleet-XXXXXX", g_get_tmp_dir ());
  g_assert_nonnull (mkdtemp (fleet->base));
  for (unsigned i = 0; i < FLEET_VOTERS; i++)
    {
      g_snprintf (name, sizeof name, "voter%u", i + 1);
      init_node (fleet, &fleet->voters[i], name, net + 11 + i, true);
    }
  for (unsigned i = 0; i < FLEET_ENTRIES_MAX; i++)
    {
      g_snprintf (name, sizeof name, "entry%u", i + 1);
      init_node (fleet, &fleet->entries[i], name, net + 31 + i, false);
    }
  init_node (fleet, &fleet->spare, "spare", net + 31 + FLEET_ENTRIES_MAX, false);
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    backend_create (fleet, i, (SockAddr){ net + 51 + i, SERVER_PORT });
  return fleet;
}

static void free_proxies (Fleet *fleet);

void
fleet_free (Fleet *fleet)
{
  for (unsigned i = 0; i < FLEET_VOTERS; i++)
    fleet_kill (&fleet->voters[i]);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet_kill (&fleet->entries[i]);
  fleet_kill (&fleet->spare);
  fleet_run_for (fleet, 100 * FT_MS); /* so that the closed connections are noticed */
  free_proxies (fleet);
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    backend_destroy (&fleet->servers[i]);
  hsrv_free (fleet->list);
  hcli_free (fleet->cli);
  loop_free (fleet->loop);
  g_hash_table_unref (fleet->run_counts);
  g_hash_table_unref (fleet->lost_counts);
  g_hash_table_unref (fleet->crash_run_counts);
  g_array_unref (fleet->crash_events);
  g_hash_table_unref (fleet->senders);
  g_array_unref (fleet->arrivals);
  g_free (fleet);
}

static void
add_node_proxy (Fleet *fleet, FleetNode *node)
{
  node->proxy = proxy_new (fleet->loop, (SockAddr){ node->ip, FLEET_LINK_PORT },
                           (SockAddr){ node->ip, LINK_LISTEN_PORT });
}

void
fleet_add_proxies (Fleet *fleet)
{
  for (unsigned i = 0; i < FLEET_VOTERS; i++)
    add_node_proxy (fleet, &fleet->voters[i]);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    add_node_proxy (fleet, &fleet->entries[i]);
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    {
      FleetServer *server = &fleet->servers[i];
      server->addr.port = SERVER_PROXY_PORT;
      server->proxy = proxy_new (fleet->loop, server->addr, server->listen_addr);
    }
  fleet->silent_fd = proxy_listen_silently ((SockAddr){ fleet->voters[0].ip - 1, SILENT_PORT });
}

void
fleet_add_detours (Fleet *fleet)
{
  fleet_add_proxies (fleet);
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    {
      proxy_free (fleet->servers[i].proxy);
      fleet->servers[i].proxy = NULL;
    }
}

/* Also connects to a server that is down do not reach its machine. */
static void
write_detour (const Fleet *fleet, const FleetNode *entry)
{
  SockAddr to
      = { fleet->voters[0].ip - 1, entry->cut == PROXY_CUT_REFUSE ? CLOSED_PORT : SILENT_PORT };
  char text[32] = "";

  if (entry->cut != PROXY_CUT_NONE && entry->cut != PROXY_CUT_RESET_ACCEPT)
    g_snprintf (text, sizeof text, "%d %u %u\n", SERVER_PROXY_PORT, to.ip, to.port);
  g_assert_true (g_file_set_contents (entry->detour, text, -1, NULL));
}

void
fleet_cut_from_servers (Fleet *fleet, FleetNode *entry, ProxyCut how)
{
  entry->cut = how;
  write_detour (fleet, entry);
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    if (fleet->servers[i].proxy)
      proxy_cut (fleet->servers[i].proxy, entry->ip, how);
}

void
fleet_heal (Fleet *fleet, FleetNode *entry)
{
  fleet_cut_from_servers (fleet, entry, PROXY_CUT_NONE);
}

void
fleet_cut_link (const FleetNode *node, FleetNode *to, ProxyCut how)
{
  proxy_cut (to->proxy, node->ip, how);
}

void
fleet_cut_from_list (const Fleet *fleet, const FleetNode *node)
{
  char text[32];

  g_snprintf (text, sizeof text, "%d %u %u\n", LIST_PORT, fleet->voters[0].ip - 1, SILENT_PORT);
  g_assert_true (g_file_set_contents (node->detour, text, -1, NULL));
}

void
fleet_heal_list (const FleetNode *node)
{
  g_assert_true (g_file_set_contents (node->detour, "", -1, NULL));
}

static void
free_proxies (Fleet *fleet)
{
  for (unsigned i = 0; i < FLEET_VOTERS; i++)
    if (fleet->voters[i].proxy)
      proxy_free (fleet->voters[i].proxy);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    if (fleet->entries[i].proxy)
      proxy_free (fleet->entries[i].proxy);
  if (fleet->silent_fd)
    close (fleet->silent_fd);
}

/* ---- Waiting ---- */

typedef struct
{
  LoopTimer timer;
  Fleet *fleet;
  bool (*done) (void *data);
  void *data;
  const char *what;
  int64_t until;
} Wait;

static void
on_wait (LoopTimer *timer)
{
  Wait *wait = (Wait *) timer;
  Loop *loop = wait->fleet->loop;

  if (wait->done (wait->data))
    loop_stop (loop);
  else if (loop_now (loop) > wait->until)
    g_error ("timed out waiting: %s (logs in %s)", wait->what, wait->fleet->base);
  else
    loop_timer_set (loop, timer, loop_now (loop) + 10 * FT_MS);
}

void
fleet_run_until (Fleet *fleet, bool (*done) (void *data), void *data, const char *what)
{
  Wait wait
      = { { .fire = on_wait }, fleet, done, data, what, loop_now (fleet->loop) + WAIT_TIMEOUT };

  loop_timer_set (fleet->loop, &wait.timer, loop_now (fleet->loop));
  loop_run (fleet->loop);
}

static bool
is_past (void *data)
{
  Wait *wait = data;

  return loop_now (wait->fleet->loop) >= wait->until;
}

void
fleet_run_for (Fleet *fleet, int64_t us)
{
  Wait wait = { .fleet = fleet, .until = loop_now (fleet->loop) + us };

  fleet_run_until (fleet, is_past, &wait, "time passes");
}

/* ---- Callers and operators ---- */

static bool
on_head (void *user, const HMsg *msg)
{
  Answer *answer = user;
  const char *location = hmsg_field (msg, "Location");
  const char *connection = hmsg_field (msg, "Connection");

  answer->status = hmsg_status (msg);
  answer->framed = !hmsg_body_until_close (msg);
  answer->has_signature = hmsg_field (msg, "X-Foxtailgrade-Server-Signature") != NULL;
  answer->retry_after = hmsg_field (msg, "Retry-After") != NULL;
  g_strlcpy (answer->location, location ? location : "", sizeof answer->location);
  g_strlcpy (answer->connection, connection ? connection : "", sizeof answer->connection);
  return true;
}

static void
on_body (void *user, const char *data, size_t size)
{
  g_string_append_len (((Answer *) user)->body, data, (gssize) size);
}

static void
set_done (Answer *answer, bool broken)
{
  answer->done = true;
  answer->broken = broken;
  answer->done_at = loop_now (answer->fleet->loop);
}

static void
on_end (void *user)
{
  set_done (user, false);
}

static void
on_failed (void *user, HXferFault fault)
{
  (void) fault;
  set_done (user, true);
}

static const HXferOps xfer_ops = { on_head, on_body, on_end, on_failed, NULL };

static void
send_to (Fleet *fleet, SockAddr addr, const GString *request, Answer *answer)
{
  char key[SOCK_ADDR_TEXT_SIZE];
  HCliTarget target = { .addr = addr,
                        .key = sock_addr_format (addr, key),
                        .connect_us = FT_SECOND,
                        .max_idle_us = 5 * FT_SECOND };

  memset (answer, 0, sizeof *answer);
  answer->fleet = fleet;
  answer->sent_at = loop_now (fleet->loop);
  answer->body = g_string_new (NULL);
  answer->xfer = hcli_send (fleet->cli, &target, request, &xfer_ops, answer);
  if (answer->xfer == NULL)
    set_done (answer, true);
}

void
fleet_answer_clear (Answer *answer)
{
  if (answer->body)
    g_string_free (answer->body, TRUE);
  answer->body = NULL;
}

/* fields: further header fields, each with its line end. */
static void
send_with_fields (Fleet *fleet, const FleetNode *entry, const char *path, const char *id,
                  const char *fields, const char *body, Answer *answer)
{
  GString *request = g_string_new (NULL);
  const char *key = fleet->key ? fleet->key : "key";

  g_string_append_printf (request, "POST %s HTTP/1.1\r\nHost: h.example\r\n", path);
  if (*key)
    g_string_append_printf (request, "Authorization: Token %s\r\n", key);
  g_string_append_printf (request,
                          "X-Foxtailgrade-Request-Id: %s\r\nX-Foxtailgrade-Deadline-Ms: 8000\r\n"
                          "X-Foxtailgrade-Token-Usage: 100,30\r\n%sContent-Length: %zu\r\n\r\n%s",
                          id, fields, strlen (body), body);
  g_hash_table_replace (fleet->senders, g_strdup (id),
                        GUINT_TO_POINTER (entry->ip - fleet->entries[0].ip + 1));
  send_to (fleet, (SockAddr){ entry->ip, FLEET_CALLER_PORT }, request, answer);
  g_string_free (request, TRUE);
}

void
fleet_send_body (Fleet *fleet, const FleetNode *entry, const char *path, const char *id,
                 const char *body, Answer *answer)
{
  send_with_fields (fleet, entry, path, id, "", body, answer);
}

void
fleet_send_parts (Fleet *fleet, const FleetNode *entry, const char *path, const char *id,
                  const char *parts, const char *body, Answer *answer)
{
  char *fields = g_strdup_printf ("X-Foxtailgrade-Prefix-Hash: %s\r\n", parts);

  send_with_fields (fleet, entry, path, id, fields, body, answer);
  g_free (fields);
}

void
fleet_resume (Fleet *fleet, const FleetNode *entry, const char *path, const char *id,
              unsigned last_event, const char *resumes, const char *body, Answer *answer)
{
  char *fields
      = g_strdup_printf ("Last-Event-Id: %u\r\n%s%s%s", last_event, resumes ? "Resumes: " : "",
                         resumes ? resumes : "", resumes ? "\r\n" : "");

  send_with_fields (fleet, entry, path, id, fields, body, answer);
  g_free (fields);
}

void
fleet_send (Fleet *fleet, const FleetNode *entry, const char *path, const char *id, Answer *answer)
{
  fleet_send_body (fleet, entry, path, id, "body", answer);
}

static bool
is_done (void *data)
{
  return ((Answer *) data)->done;
}

void
fleet_call (Fleet *fleet, const FleetNode *entry, const char *path, const char *id, Answer *answer)
{
  fleet_call_body (fleet, entry, path, id, "body", answer);
}

void
fleet_call_body (Fleet *fleet, const FleetNode *entry, const char *path, const char *id,
                 const char *body, Answer *answer)
{
  fleet_send_body (fleet, entry, path, id, body, answer);
  fleet_run_until (fleet, is_done, answer, path);
}

typedef struct
{
  Fleet *fleet;
  Answer *answer;
  int64_t until;
} AnswerWait;

static bool
is_done_or_late (void *data)
{
  const AnswerWait *wait = data;

  return wait->answer->done || loop_now (wait->fleet->loop) > wait->until;
}

/* Asks one voter and gives up after OPERATOR_TIMEOUT, as operators do; the status is 0 then. */
static void
ask_voter (Fleet *fleet, const FleetNode *voter, const char *method, const char *path,
           const char *body, Answer *answer)
{
  GString *request = g_string_new (NULL);
  AnswerWait wait = { fleet, answer, loop_now (fleet->loop) + OPERATOR_TIMEOUT };

  g_string_append_printf (request, "%s %s HTTP/1.1\r\nHost: v\r\nContent-Length: %zu\r\n\r\n%s",
                          method, path, strlen (body), body);
  send_to (fleet, (SockAddr){ voter->ip, FLEET_CONTROL_PORT }, request, answer);
  g_string_free (request, TRUE);
  fleet_run_until (fleet, is_done_or_late, &wait, path);
  if (answer->done)
    return;
  hxfer_cancel (answer->xfer);
  set_done (answer, true);
  answer->status = 0;
}

char *
fleet_catalogue_text (const Fleet *fleet, uint64_t version)
{
  char limits[64] = "";

  if (fleet->header_timeout_ms)
    g_snprintf (limits, sizeof limits, ",\"Limits\":{\"HeaderTimeoutMs\":%u}",
                fleet->header_timeout_ms);
  return g_strdup_printf (
      "{\"Version\":%" G_GUINT64_FORMAT
      "%s,\"Routes\":[{\"Name\":\"plain\",\"Host\":\"h.example\",\"PathPrefix\":\"/plain/\","
      "\"RouteType\":\"safe\",\"TimeoutMs\":8000,\"TargetLatencyMs\":1000,\"Service\":\"s\","
      "\"MaxAttempts\":2},"
      "{\"Name\":\"once\",\"Host\":\"h.example\",\"PathPrefix\":\"/once/\",\"RouteType\":"
      "\"unsafe\",\"TimeoutMs\":8000,\"TargetLatencyMs\":1000,\"Service\":\"s\",\"MaxAttempts\":2},"
      "{\"Name\":\"stream\",\"Host\":\"h.example\",\"PathPrefix\":\"/stream/\",\"RouteType\":"
      "\"streaming\",\"TimeoutMs\":8000,\"TargetLatencyMs\":2000,\"Service\":\"s\","
      "\"MaxAttempts\":2,\"Resumable\":true,\"GapAimMs\":500},"
      "{\"Name\":\"single\",\"Host\":\"h.example\",\"PathPrefix\":\"/single/\",\"RouteType\":"
      "\"streaming\",\"TimeoutMs\":8000,\"TargetLatencyMs\":2000,\"Service\":\"s\","
      "\"MaxAttempts\":1,\"Resumable\":false,\"GapAimMs\":500},"
      "{\"Name\":\"again\",\"Host\":\"h.example\",\"PathPrefix\":\"/again/\",\"RouteType\":"
      "\"streaming\",\"TimeoutMs\":8000,\"TargetLatencyMs\":2000,\"Service\":\"s\","
      "\"MaxAttempts\":1,\"Resumable\":true,\"GapAimMs\":500}],"
      "\"Services\":[{\"Name\":\"s\"%s}],\"Tenants\":[{\"Name\":\"o\",\"ApiKeys\":[\"key\"]}]}",
      version, limits, fleet->unchecked ? "" : ",\"HealthPath\":\"/health\"");
}

char *
fleet_large_catalogue (const Fleet *fleet, uint64_t version, size_t size)
{
  static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  GRand *random = g_rand_new_with_seed ((guint32) version);
  char *text = fleet_catalogue_text (fleet, version);
  GString *out = g_string_new ("{\"Padding\":\"");
  size_t rest = strlen (text);

  while (out->len + rest < size)
    g_string_append_c (out, letters[g_rand_int (random) % 64]);
  g_string_append (out, "\",");
  g_string_append (out, strchr (text, '{') + 1);
  g_rand_free (random);
  g_free (text);
  return g_string_free (out, FALSE);
}

bool
fleet_try_put_catalogue (Fleet *fleet, const FleetNode *voter)
{
  char *text = fleet_catalogue_text (fleet, fleet->version + 1);
  Answer answer;

  ask_voter (fleet, voter, "POST", "/api/Config.Put", text, &answer);
  bool accepted = answer.status == 200;
  if (answer.status / 100 == 4)
    g_error ("a valid catalogue was refused with %u (logs in %s)", answer.status, fleet->base);
  fleet_answer_clear (&answer);
  g_free (text);
  if (accepted)
    fleet->version++;
  return accepted;
}

unsigned
fleet_resend_catalogue (Fleet *fleet, const FleetNode *voter)
{
  char *text = fleet_catalogue_text (fleet, fleet->version);
  Answer answer;

  ask_voter (fleet, voter, "POST", "/api/Config.Put", text, &answer);
  fleet_answer_clear (&answer);
  g_free (text);
  return answer.status;
}

void
fleet_put_catalogue (Fleet *fleet)
{
  for (unsigned i = 0; i < 1000; i++)
    {
      const FleetNode *voter = &fleet->voters[i % FLEET_VOTERS];
      if (voter->pid == 0)
        continue;
      if (fleet_try_put_catalogue (fleet, voter))
        return;
      fleet_run_for (fleet, 50 * FT_MS);
    }
  g_error ("no voter accepts a catalogue (logs in %s)", fleet->base);
}

uint64_t
fleet_try_get_version (Fleet *fleet, const FleetNode *voter)
{
  Answer answer;
  uint64_t version = 0;

  ask_voter (fleet, voter, "GET", "/api/Config.Get", "", &answer);
  const char *at = answer.status == 200 ? strstr (answer.body->str, "\"Version\":") : NULL;
  if (at)
    version = g_ascii_strtoull (at + strlen ("\"Version\":"), NULL, 10);
  fleet_answer_clear (&answer);
  return version;
}

FleetNode *
fleet_leader (Fleet *fleet)
{
  FleetNode *leader = NULL;

  for (unsigned i = 0; i < FLEET_VOTERS && leader == NULL; i++)
    {
      Answer answer;
      if (fleet->voters[i].pid == 0)
        continue;
      ask_voter (fleet, &fleet->voters[i], "GET", "/api/Config.Get", "", &answer);
      if (answer.status == 200)
        leader = &fleet->voters[i];
      fleet_answer_clear (&answer);
    }
  return leader;
}

uint64_t
fleet_get_version (Fleet *fleet)
{
  for (unsigned i = 0; i < 1000; i++)
    {
      const FleetNode *voter = &fleet->voters[i % FLEET_VOTERS];
      uint64_t version = voter->pid ? fleet_try_get_version (fleet, voter) : 0;
      if (version)
        return version;
      if (voter->pid)
        fleet_run_for (fleet, 50 * FT_MS);
    }
  g_error ("no voter reports a catalogue version (logs in %s)", fleet->base);
}

void
fleet_await_version (Fleet *fleet, const FleetNode *entry, uint64_t version)
{
  for (unsigned i = 0; i < VERSION_LOOKS; i++)
    {
      if (fleet_is_ready (fleet, entry)
          && fleet_counter (fleet, entry, "foxtail_catalogue_version") == version)
        return;
      fleet_run_for (fleet, VERSION_PAUSE);
    }
  g_error ("%s does not use version %" G_GUINT64_FORMAT " (logs in %s)", entry->name, version,
           fleet->base);
}

void
fleet_try_operator_call (Fleet *fleet, const FleetNode *voter, const char *method, const char *path,
                         const char *body, Answer *answer)
{
  ask_voter (fleet, voter, method, path, body, answer);
}

void
fleet_operator_call (Fleet *fleet, const char *method, const char *path, Answer *answer)
{
  fleet_operator_call_body (fleet, method, path, "", answer);
}

void
fleet_operator_call_body (Fleet *fleet, const char *method, const char *path, const char *body,
                          Answer *answer)
{
  for (unsigned i = 0; i < 1000; i++)
    {
      const FleetNode *leader = fleet_leader (fleet);
      if (leader)
        ask_voter (fleet, leader, method, path, body, answer);
      if (leader && answer->status != 0 && answer->status != 307 && answer->status != 503)
        return;
      if (leader)
        fleet_answer_clear (answer);
      fleet_run_for (fleet, 50 * FT_MS);
    }
  g_error ("no voter in charge answers (logs in %s)", fleet->base);
}

void
fleet_get_metrics (Fleet *fleet, const FleetNode *node, Answer *answer)
{
  GString *request = g_string_new ("GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n");

  send_to (fleet, (SockAddr){ node->ip, FLEET_METRICS_PORT }, request, answer);
  fleet_run_until (fleet, is_done, answer, "metrics");
  g_string_free (request, TRUE);
}

void
fleet_await_metrics (Fleet *fleet, const FleetNode *node)
{
  for (bool answered = false; !answered;)
    {
      Answer answer;
      fleet_get_metrics (fleet, node, &answer);
      answered = answer.status == 200 && !answer.broken;
      fleet_answer_clear (&answer);
      if (!answered)
        fleet_run_for (fleet, 20 * FT_MS);
    }
}

bool
fleet_is_ready (Fleet *fleet, const FleetNode *entry)
{
  GString *request = g_string_new ("GET /api/readyz HTTP/1.1\r\nHost: e\r\n\r\n");
  Answer answer;

  send_to (fleet, (SockAddr){ entry->ip, FLEET_READY_PORT }, request, &answer);
  fleet_run_until (fleet, is_done, &answer, "an answer on readiness");
  bool ready = !answer.broken && answer.status == 200;
  fleet_answer_clear (&answer);
  g_string_free (request, TRUE);
  return ready;
}

unsigned
fleet_crash_run_count (const Fleet *fleet, const char *body)
{
  return (unsigned) GPOINTER_TO_INT (g_hash_table_lookup (fleet->crash_run_counts, body));
}

unsigned
fleet_lost_count (const Fleet *fleet, const char *id)
{
  return (unsigned) GPOINTER_TO_INT (g_hash_table_lookup (fleet->lost_counts, id));
}

unsigned
fleet_run_count (const Fleet *fleet, const char *id)
{
  return (unsigned) GPOINTER_TO_INT (g_hash_table_lookup (fleet->run_counts, id));
}

void
fleet_start_all (Fleet *fleet)
{
  for (unsigned i = 0; i < fleet->voter_count; i++)
    fleet_start (fleet, &fleet->voters[i], true);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    fleet_start (fleet, &fleet->entries[i], false);
  fleet_put_catalogue (fleet);
  for (unsigned i = 0; i < fleet->entry_count; i++)
    while (!fleet_is_ready (fleet, &fleet->entries[i]))
      fleet_run_for (fleet, 20 * FT_MS);
}

uint64_t
fleet_counter (Fleet *fleet, const FleetNode *node, const char *name)
{
  char *line = g_strdup_printf ("\n%s ", name);
  Answer metrics;

  fleet_get_metrics (fleet, node, &metrics);
  const char *at = strstr (metrics.body->str, line);
  g_assert_nonnull (at);
  uint64_t count = g_ascii_strtoull (at + strlen (line), NULL, 10);
  fleet_answer_clear (&metrics);
  g_free (line);
  return count;
}

uint64_t
fleet_relayed_count (Fleet *fleet, const FleetNode *entry)
{
  return fleet_counter (fleet, entry, "foxtail_relayed_requests_total");
}

void
fleet_relay_all (Fleet *fleet, FleetNode *entry)
{
  char id[16];

  fleet_cut_from_servers (fleet, entry, PROXY_CUT_SILENT);
  for (unsigned i = 0; fleet_relayed_count (fleet, entry) < RELAYED; i++)
    {
      Answer answer;
      g_snprintf (id, sizeof id, "w%u", i);
      fleet_call (fleet, entry, "/plain/a", id, &answer);
      fleet_answer_clear (&answer);
    }
}
