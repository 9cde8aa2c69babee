/* kit.c - starts the deployment and plays the list, the replicas, the operator and requesters. */
#define _GNU_SOURCE
#include "kit.h"

#include <glib/gstdio.h>

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define READY      18081
#define LINK       18083
#define METRICS    18084
#define RELAY      18085
#define LIST       18099
#define TIME_S     112 /* a case that takes longer has not run */
#define RESTART_MS 500 /* after an end the platform starts a process again after a short delay */
#define PROGRAM    "target/foxtailnode"

typedef struct
{
  const char *role;
  unsigned number;
  char ip[16];
  char *settings;
  pid_t pid;
  unsigned own_ends;
} Process;

static Process processes[KIT_VOTERS + KIT_ENTRIES];
static GPtrArray *replicas;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *record;
static char folder[64];
static char net[12]; /* "127.A.B" */
static gint64 started_at;
static bool finishing;

/* ---- Record and time ---- */

double
now_s (void)
{
  return (double) (g_get_monotonic_time () - started_at) / 1e6;
}

void
sleep_ms (unsigned ms)
{
  g_usleep (ms * 1000ul);
}

void
note (const char *format, ...)
{
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  fprintf (record, "%7.2f %s\n", now_s (), text);
  fflush (record);
  g_free (text);
}

bool
kit_trouble (void)
{
  const char *text = getenv ("TROUBLE");

  return text == NULL || strcmp (text, "0") != 0;
}

static void
start_thread (void *(*run) (void *), void *data)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, run, data) != 0)
    kit_finish (2, "no thread can be started");
  pthread_detach (thread);
}

/* ---- Sockets ---- */

static struct sockaddr_in
address_of (const char *ip, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };

  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

static int
listen_on (const char *ip, int port)
{
  struct sockaddr_in address = address_of (ip, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *) &address, sizeof address) == 0 && listen (fd, 128) == 0)
    return fd;
  close (fd);
  return -1;
}

static int
connect_to (const char *ip, int port)
{
  struct sockaddr_in address = address_of (ip, port);
  struct timeval limit = { .tv_sec = 1 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *) &address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

bool
write_all (int fd, const void *data, size_t size)
{
  const char *at = data;

  while (size > 0)
    {
      ssize_t done = send (fd, at, size, MSG_NOSIGNAL);
      if (done <= 0)
        return false;
      at += done;
      size -= (size_t) done;
    }
  return true;
}

/* A reader with the bytes that it has read ahead. */
typedef struct
{
  int fd;
  gint64 until; /* 0: no limit */
  GString *ahead;
} Reader;

/* Returns 1 for more bytes, 0 at the end, -1 on a failure or when the time is over. */
static int
read_more (Reader *reader)
{
  struct pollfd wait = { .fd = reader->fd, .events = POLLIN };
  char bytes[8192];
  int left = -1;

  if (reader->until)
    {
      left = (int) ((reader->until - g_get_monotonic_time ()) / 1000);
      if (left <= 0)
        return -1;
    }
  if (poll (&wait, 1, left) <= 0)
    return -1;
  ssize_t got = recv (reader->fd, bytes, sizeof bytes, 0);
  if (got <= 0)
    return got == 0 ? 0 : -1;
  g_string_append_len (reader->ahead, bytes, got);
  return 1;
}

/* ---- Messages ---- */

void
msg_clear (Msg *msg)
{
  g_free (msg->start);
  if (msg->head)
    g_string_free (msg->head, TRUE);
  if (msg->body)
    g_string_free (msg->body, TRUE);
  memset (msg, 0, sizeof *msg);
}

bool
msg_field (const Msg *msg, const char *name, char *out, size_t size)
{
  size_t name_size = strlen (name);

  for (const char *line = msg->head ? msg->head->str : NULL; line && *line;)
    {
      const char *end = strstr (line, "\r\n");
      if (g_ascii_strncasecmp (line, name, name_size) == 0 && line[name_size] == ':')
        {
          const char *from = line + name_size + 1;
          while (*from == ' ')
            from++;
          g_snprintf (out, size, "%.*s", (int) (end - from), from);
          return true;
        }
      line = end ? end + 2 : NULL;
    }
  return false;
}

static bool
read_head (Reader *reader, Msg *msg)
{
  char *end;

  while ((end = strstr (reader->ahead->str, "\r\n\r\n")) == NULL)
    if (read_more (reader) <= 0)
      return false;
  char *line_end = strstr (reader->ahead->str, "\r\n");
  msg->start = g_strndup (reader->ahead->str, (gsize) (line_end - reader->ahead->str));
  msg->head
      = g_string_new_len (line_end + 2, end + 2 > line_end + 2 ? end + 2 - (line_end + 2) : 0);
  msg->body = g_string_new (NULL);
  g_string_erase (reader->ahead, 0, end + 4 - reader->ahead->str);
  return true;
}

static bool
take (Reader *reader, GString *out, gsize size)
{
  while (reader->ahead->len < size)
    if (read_more (reader) <= 0)
      return false;
  g_string_append_len (out, reader->ahead->str, (gssize) size);
  g_string_erase (reader->ahead, 0, (gssize) size);
  return true;
}

static bool
read_chunks (Reader *reader, GString *out)
{
  GString *rest = g_string_new (NULL);

  for (;;)
    {
      char *end;
      while ((end = strstr (reader->ahead->str, "\r\n")) == NULL)
        if (read_more (reader) <= 0)
          goto cut;
      gsize size = (gsize) g_ascii_strtoull (reader->ahead->str, NULL, 16);
      g_string_erase (reader->ahead, 0, end + 2 - reader->ahead->str);
      while (reader->ahead->len < MIN (size + 2, 1u << 20))
        if (read_more (reader) <= 0)
          {
            g_string_append_len (out, reader->ahead->str, (gssize) MIN (size, reader->ahead->len));
            goto cut;
          }
      take (reader, out, size);
      take (reader, rest, 2);
      if (size == 0)
        break;
    }
  g_string_free (rest, TRUE);
  return true;
cut:
  g_string_free (rest, TRUE);
  return false;
}

/* Reads one request or answer; false: there was none. An answer without a length ends with its
 * connection. */
static bool
read_msg (Reader *reader, bool is_answer, Msg *msg)
{
  char text[64];

  if (!read_head (reader, msg))
    return false;
  if (is_answer)
    msg->status = (int) g_ascii_strtoll (msg->start + strcspn (msg->start, " "), NULL, 10);
  if (msg_field (msg, "Transfer-Encoding", text, sizeof text))
    msg->whole = read_chunks (reader, msg->body);
  else if (msg_field (msg, "Content-Length", text, sizeof text))
    {
      gsize size = (gsize) g_ascii_strtoull (text, NULL, 10);
      msg->whole = take (reader, msg->body, size);
      if (!msg->whole)
        g_string_append_len (msg->body, reader->ahead->str, (gssize) reader->ahead->len);
    }
  else if (is_answer)
    {
      int more;
      while ((more = read_more (reader)) > 0)
        ;
      g_string_append_len (msg->body, reader->ahead->str, (gssize) reader->ahead->len);
      msg->whole = more == 0;
    }
  else
    msg->whole = true;
  return true;
}

void
call (const char *ip, int port, const char *method, const char *path, const char *fields,
      const char *body, unsigned timeout_ms, Msg *answer)
{
  Reader reader = { .fd = connect_to (ip, port) };

  memset (answer, 0, sizeof *answer);
  if (reader.fd < 0)
    return;
  reader.until = g_get_monotonic_time () + timeout_ms * 1000ll;
  reader.ahead = g_string_new (NULL);
  char *text = g_strdup_printf ("%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\n\r\n%s", method, path,
                                fields, body ? strlen (body) : 0, body ? body : "");
  if (write_all (reader.fd, text, strlen (text)))
    read_msg (&reader, true, answer);
  g_free (text);
  g_string_free (reader.ahead, TRUE);
  close (reader.fd);
}

/* ---- Processes ---- */

const char *
voter_ip (unsigned number)
{
  return processes[number].ip;
}

const char *
entry_ip (unsigned number)
{
  return processes[KIT_VOTERS + number].ip;
}

static char *
seeds_text (void)
{
  return g_strdup_printf ("[\"%s:%d\",\"%s:%d\",\"%s:%d\"]", voter_ip (0), KIT_CONTROL,
                          voter_ip (1), KIT_CONTROL, voter_ip (2), KIT_CONTROL);
}

static void
write_settings (const Process *process, bool first)
{
  char *seeds = seeds_text ();
  bool is_voter = strcmp (process->role, "voter") == 0;
  GString *text = g_string_new (NULL);

  g_string_append_printf (
      text,
      "{\"name\":\"%s-%u\",\"role\":\"%s\",\"ip\":\"%s\",\"domain\":\"hall-%c\","
      "\"region\":\"tt-central\",\"link_port\":%d,\"metrics_port\":%d,"
      "\"seeds\":%s,\"losses\":1,\"grace_s\":8,\"budget_ratio\":\"0.2\","
      "\"budget_slack\":54,\"budget_window_s\":10,\"limit_window_s\":8,"
      "\"limit_overage\":\"0.1\",\"limit_slack\":190000,\"list_rate\":\"42.0\","
      "\"all_versions\":true,\"fair_shares\":true,\"list\":\"%s.10:%d\",",
      process->role, process->number, process->role, process->ip, 'a' + (char) process->number % 3,
      LINK, METRICS, seeds, net, LIST);
  if (is_voter)
    g_string_append_printf (text,
                            "\"control\":\"%s:%d\",\"data_folder\":\"%s/data-%u\","
                            "\"first_start\":%s,\"drain_ms\":3000,\"order_repeat_ms\":4000}",
                            process->ip, KIT_CONTROL, folder, process->number,
                            first ? "true" : "false");
  else
    g_string_append_printf (text,
                            "\"callers\":\"%s:%d\",\"ready\":\"%s:%d\",\"relay_port\":%d,"
                            "\"files\":1000}",
                            process->ip, KIT_CALLERS, process->ip, READY, RELAY);
  if (!g_file_set_contents (process->settings, text->str, (gssize) text->len, NULL))
    exit (2);
  g_string_free (text, TRUE);
  g_free (seeds);
}

/* Caller holds the lock. */
static void
spawn (Process *process)
{
  char *log = g_strdup_printf ("%s/%s-%u.log", folder, process->role, process->number);
  pid_t pid = fork ();

  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL); /* it does not outlive the test */
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2 (fd, 1);
      dup2 (fd, 2);
      setenv ("FOXTAILGRADE_CONFIG", process->settings, 1);
      execl (PROGRAM, PROGRAM, (char *) NULL);
      _exit (127);
    }
  process->pid = pid;
  g_free (log);
}

/* Waits for the process and starts it again when it has ended, as the platform does. */
static void *
watch_process (void *data)
{
  Process *process = data;

  for (;;)
    {
      int status = 0;
      if (waitpid (process->pid, &status, 0) != process->pid)
        return NULL;
      pthread_mutex_lock (&lock);
      process->pid = 0;
      bool stop = finishing;
      if (!stop)
        process->own_ends++;
      pthread_mutex_unlock (&lock);
      if (stop)
        return NULL;
      note ("%s %u ended by itself: %s %d (end %u)", process->role, process->number,
            WIFSIGNALED (status) ? "signal" : "exit",
            WIFSIGNALED (status) ? WTERMSIG (status) : WEXITSTATUS (status), process->own_ends);
      if (WIFEXITED (status) && WEXITSTATUS (status) == 127)
        kit_finish (2, "the program of the deploy file is missing: " PROGRAM);
      sleep_ms (RESTART_MS);
      pthread_mutex_lock (&lock);
      if (!finishing)
        {
          write_settings (process, false);
          spawn (process);
        }
      pthread_mutex_unlock (&lock);
    }
}

void
kit_hup_entry (unsigned number)
{
  pthread_mutex_lock (&lock);
  pid_t pid = processes[KIT_VOTERS + number].pid;
  if (pid > 0)
    kill (pid, SIGHUP);
  pthread_mutex_unlock (&lock);
}

unsigned
kit_own_ends (const char *role, unsigned number)
{
  unsigned ends = 0;

  pthread_mutex_lock (&lock);
  for (unsigned i = 0; i < G_N_ELEMENTS (processes); i++)
    if (strcmp (processes[i].role, role) == 0 && processes[i].number == number)
      ends = processes[i].own_ends;
  pthread_mutex_unlock (&lock);
  return ends;
}

unsigned
kit_own_ends_least (const char *role, unsigned at_least)
{
  unsigned count = 0;

  pthread_mutex_lock (&lock);
  for (unsigned i = 0; i < G_N_ELEMENTS (processes); i++)
    count += strcmp (processes[i].role, role) == 0 && processes[i].own_ends >= at_least;
  pthread_mutex_unlock (&lock);
  return count;
}

void
kit_finish (int code, const char *why)
{
  static const char *words[] = { "HELD", "BROKEN", "DID NOT RUN" };
  static GMutex once;

  g_mutex_lock (&once);
  pthread_mutex_lock (&lock);
  finishing = true;
  for (unsigned i = 0; i < G_N_ELEMENTS (processes); i++)
    if (processes[i].pid > 0)
      kill (processes[i].pid, SIGKILL);
  pthread_mutex_unlock (&lock);
  for (unsigned i = 0; i < 200; i++)
    {
      unsigned left = 0;
      pthread_mutex_lock (&lock);
      for (unsigned j = 0; j < G_N_ELEMENTS (processes); j++)
        left += processes[j].pid > 0;
      pthread_mutex_unlock (&lock);
      if (left == 0)
        break;
      sleep_ms (20);
    }
  note ("%s: %s", words[code], why);
  printf ("%s: %s\n", words[code], why);
  fflush (stdout);
  if (getenv ("KEEP") == NULL)
    {
      char *command = g_strdup_printf ("rm -rf '%s'", folder);
      if (system (command) != 0)
        printf ("the temporary folder is left: %s\n", folder);
      g_free (command);
    }
  _exit (code);
}

static void *
limit_time (void *data)
{
  (void) data;
  sleep_ms (TIME_S * 1000);
  kit_finish (2, "the time is over");
}

/* ---- List ---- */

static void
send_json (int fd, int status, const char *body)
{
  char *text = g_strdup_printf ("HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                                "Content-Length: %zu\r\n\r\n%s",
                                status, strlen (body), body);

  write_all (fd, text, strlen (text));
  g_free (text);
}

static char *
list_text (void)
{
  GString *out = g_string_new ("{\"Instances\":[");
  const char *comma = "";

  pthread_mutex_lock (&lock);
  for (unsigned i = 0; i < replicas->len; i++)
    {
      const Replica *replica = replicas->pdata[i];
      if (!replica->listed)
        continue;
      g_string_append_printf (
          out,
          "%s{\"Service\":\"%s\",\"Address\":\"%s:%d\",\"Zone\":\"hall-%c\","
          "\"Version\":\"v1\",\"Slots\":5,\"State\":\"ready\","
          "\"ColdRemainingMs\":0,\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\","
          "\"Version\":1,\"Adapters\":[]}],\"Id\":\"%s\"",
          comma, replica->service, replica->ip, KIT_SERVER, 'a' + (char) (replica->number % 3),
          replica->id);
      if (replica->born)
        g_string_append_printf (out, ",\"born\":%" G_GINT64_FORMAT, replica->born);
      g_string_append_c (out, '}');
      comma = ",";
    }
  pthread_mutex_unlock (&lock);
  g_string_append (out, "],\"Next\":null}");
  return g_string_free (out, FALSE);
}

static void *
serve_list (void *data)
{
  Reader reader = { .fd = GPOINTER_TO_INT (data), .ahead = g_string_new (NULL) };
  Msg request = { 0 };

  while (read_msg (&reader, false, &request))
    {
      char *text = list_text ();
      send_json (reader.fd, 200, text);
      g_free (text);
      msg_clear (&request);
    }
  msg_clear (&request);
  g_string_free (reader.ahead, TRUE);
  close (reader.fd);
  return NULL;
}

static void *
accept_list (void *data)
{
  int listener = GPOINTER_TO_INT (data);

  for (;;)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd >= 0)
        start_thread (serve_list, GINT_TO_POINTER (fd));
    }
  return NULL;
}

/* ---- Replicas ---- */

typedef struct
{
  Replica *replica;
  int fd;
} Connection;

static void
leave (Replica *replica, int fd)
{
  pthread_mutex_lock (&lock);
  replica->open = g_list_remove (replica->open, GINT_TO_POINTER (fd));
  pthread_mutex_unlock (&lock);
}

static void
reset_fd (int fd)
{
  struct linger now = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close (fd);
}

void
replica_wait_for_slot (const Replica *replica)
{
  while (now_s () < replica->busy_until)
    sleep_ms (10);
}

static bool
answer_health (Replica *replica, int fd)
{
  char id[24];

  replica_wait_for_slot (replica);

  pthread_mutex_lock (&lock);
  g_strlcpy (id, replica->id, sizeof id);
  pthread_mutex_unlock (&lock);
  char *text = g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Foxtailgrade-Instance-Id: %s\r\n"
                                "X-Foxtailgrade-Instance-Load: 0,0,5\r\nContent-Length: 0\r\n\r\n",
                                id);
  bool sent = write_all (fd, text, strlen (text));
  g_free (text);
  return sent;
}

static bool
answer_report (const Replica *replica, int fd)
{
  GString *out = g_string_new (
      "{\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],"
      "\"Busy\":false,\"Seq\":0,\"Queued\":0,\"Running\":0,\"KvUsed\":0,"
      "\"KvTotal\":563854,\"Handles\":0,\"Pinned\":0,\"held\":0,\"Runs\":[]");

  if (replica->born)
    g_string_append_printf (out, ",\"born\":%" G_GINT64_FORMAT, replica->born);
  g_string_append_c (out, '}');
  send_json (fd, 200, out->str);
  g_string_free (out, TRUE);
  return true;
}

static bool
answer_other (int fd, const char *start)
{
  if (strstr (start, " /api/kv-events"))
    send_json (fd, 200, "{\"epoch\":1,\"Next\":0,\"lost\":false,\"events\":[]}");
  else if (strstr (start, " /api/kv-list"))
    send_json (fd, 200, "{\"epoch\":1,\"Next\":0,\"held\":[]}");
  else
    send_json (fd, 404, "{}");
  return true;
}

static void *
serve_replica (void *data)
{
  Connection *connection = data;
  Replica *replica = connection->replica;
  Reader reader = { .fd = connection->fd, .ahead = g_string_new (NULL) };
  Msg request = { 0 };
  bool go_on = true;

  while (go_on && read_msg (&reader, false, &request))
    {
      if (strstr (request.start, " /health"))
        go_on = answer_health (replica, reader.fd);
      else if (strstr (request.start, " /api/report"))
        go_on = answer_report (replica, reader.fd);
      else if (strstr (request.start, " /api/"))
        go_on = answer_other (reader.fd, request.start);
      else
        go_on = replica->handler (replica, reader.fd, &request);
      msg_clear (&request);
    }
  msg_clear (&request);
  g_string_free (reader.ahead, TRUE);
  leave (replica, reader.fd);
  if (replica->closing)
    replica->closing (reader.fd);
  close (reader.fd);
  g_free (connection);
  return NULL;
}

typedef struct
{
  Replica *replica;
  int listener;
} Accepting;

static bool
is_stopped (const Replica *replica)
{
  pthread_mutex_lock (&lock);
  bool stopped = replica->stopped;
  pthread_mutex_unlock (&lock);
  return stopped;
}

static void *
accept_replica (void *data)
{
  Accepting accepting = *(Accepting *) data;

  g_free (data);
  for (;;)
    {
      int fd = accept4 (accepting.listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        break;
      Connection *connection = g_new0 (Connection, 1);
      connection->replica = accepting.replica;
      connection->fd = fd;
      while (is_stopped (accepting.replica))
        sleep_ms (5);
      pthread_mutex_lock (&lock);
      bool alive = accepting.replica->listener == accepting.listener;
      if (alive)
        accepting.replica->open = g_list_prepend (accepting.replica->open, GINT_TO_POINTER (fd));
      pthread_mutex_unlock (&lock);
      if (!alive)
        {
          reset_fd (fd);
          g_free (connection);
          break;
        }
      start_thread (serve_replica, connection);
    }
  close (accepting.listener);
  return NULL;
}

void
replica_restart (Replica *replica, bool same_id)
{
  Accepting *accepting = g_new0 (Accepting, 1);
  int listener = listen_on (replica->ip, KIT_SERVER);

  for (unsigned i = 0; listener < 0 && i < 100; i++)
    {
      sleep_ms (10);
      listener = listen_on (replica->ip, KIT_SERVER);
    }
  if (listener < 0)
    kit_finish (2, "a replica's port is taken");
  pthread_mutex_lock (&lock);
  replica->life++;
  if (!same_id)
    g_snprintf (replica->id, sizeof replica->id, "i-%02u%06x", replica->number,
                g_random_int () & 0xffffff);
  replica->listed = true;
  replica->listener = listener;
  accepting->replica = replica;
  accepting->listener = listener;
  pthread_mutex_unlock (&lock);
  start_thread (accept_replica, accepting);
}

void
replica_crash (Replica *replica)
{
  pthread_mutex_lock (&lock);
  int listener = replica->listener;
  replica->listener = -1;
  if (listener >= 0)
    shutdown (listener, SHUT_RDWR); /* ends the accepting thread, which closes it */
  for (GList *link = replica->open; link; link = link->next)
    {
      /* Another thread still reads from it and closes it, so the connection is reset in place. */
      struct sockaddr none = { .sa_family = AF_UNSPEC };
      connect (GPOINTER_TO_INT (link->data), &none, sizeof none);
    }
  g_list_free (replica->open);
  replica->open = NULL;
  pthread_mutex_unlock (&lock);
}

typedef struct
{
  Replica *replica;
  unsigned ms;
} Return;

static void *
start_again (void *data)
{
  Return *back = data;

  sleep_ms (back->ms);
  pthread_mutex_lock (&lock);
  back->replica->life++;
  if (back->replica->born)
    back->replica->born = g_get_real_time () / 1000;
  back->replica->stopped = false;
  pthread_mutex_unlock (&lock);
  g_free (back);
  return NULL;
}

void
replica_kill_and_restart (Replica *replica, unsigned ms)
{
  Return *back = g_new0 (Return, 1);

  back->replica = replica;
  back->ms = ms;
  pthread_mutex_lock (&lock);
  replica->stopped = true;
  for (GList *link = replica->open; link; link = link->next)
    shutdown (GPOINTER_TO_INT (link->data), SHUT_RDWR);
  g_list_free (replica->open);
  replica->open = NULL;
  pthread_mutex_unlock (&lock);
  start_thread (start_again, back);
}

static void *
bring_back (void *data)
{
  Return *back = data;

  sleep_ms (back->ms);
  replica_restart (back->replica, false);
  g_free (back);
  return NULL;
}

void
replica_crash_for (Replica *replica, unsigned ms)
{
  Return *back = g_new0 (Return, 1);

  back->replica = replica;
  back->ms = ms;
  replica_crash (replica);
  start_thread (bring_back, back);
}

Replica *
replica_new (const char *service, ReplicaHandler handler)
{
  Replica *replica = g_new0 (Replica, 1);

  replica->service = service;
  replica->handler = handler;
  replica->listener = -1;
  replica->number = replicas->len;
  g_snprintf (replica->ip, sizeof replica->ip, "%s.%u", net, 101 + replica->number);
  replica_restart (replica, false);
  pthread_mutex_lock (&lock);
  g_ptr_array_add (replicas, replica);
  pthread_mutex_unlock (&lock);
  return replica;
}

/* ---- Operator ---- */

/* Follows two redirects. */
static int
put_once (const char *ip, const char *state, unsigned timeout_ms)
{
  char target[128], host[64], fields[160];
  const char *path = "/api/Config.Put";
  char at[16];
  int port = KIT_CONTROL, status = 0;

  g_strlcpy (at, ip, sizeof at);
  for (unsigned hop = 0; hop < 3; hop++)
    {
      Msg answer;
      g_snprintf (fields, sizeof fields, "Host: %s:%d\r\nContent-Type: application/json\r\n", at,
                  port);
      call (at, port, "POST", path, fields, state, timeout_ms, &answer);
      status = answer.whole ? answer.status : 0;
      bool more = status == 307 && msg_field (&answer, "Location", target, sizeof target)
                  && sscanf (target, "http://%15[0-9.]:%d", host, &port) == 2;
      note ("operator: POST %s to %s: %d%s%.60s", path, at, status, answer.body ? " " : "",
            answer.body ? answer.body->str : "");
      msg_clear (&answer);
      if (!more)
        return status;
      g_strlcpy (at, host, sizeof at);
    }
  return status;
}

static bool
ends_call (int status, unsigned attempt)
{
  if (status == 200 || status == 400 || status == 409 || status == 412 || status == 413
      || status == 422)
    return true;
  return status >= 400 && status < 500 && status != 408 && status != 429 && attempt >= 2;
}

int
operator_put (const char *state, unsigned max_ms)
{
  gint64 until = g_get_monotonic_time () + max_ms * 1000ll;
  unsigned wait = 250;

  for (unsigned attempt = 0; g_get_monotonic_time () < until; attempt++)
    {
      int status = put_once (voter_ip (attempt % KIT_VOTERS), state, 1000);
      if (ends_call (status, attempt))
        return status;
      sleep_ms (wait);
      wait = MIN (wait * 3 / 2, 2000);
    }
  return 0;
}

/* ---- Start ---- */

/* An address range on which the fixed ports are free. */
static void
choose_net (void)
{
  for (unsigned i = 0; i < 50; i++)
    {
      char ip[16];
      g_snprintf (net, sizeof net, "127.%u.%u", 20 + g_random_int () % 200, g_random_int () % 250);
      g_snprintf (ip, sizeof ip, "%s.10", net);
      int fd = listen_on (ip, LIST);
      if (fd < 0)
        continue;
      start_thread (accept_list, GINT_TO_POINTER (fd));
      return;
    }
  exit (2);
}

void
kit_open (const char *record_folder)
{
  char *path = g_strdup_printf ("%s/record.txt", record_folder);

  started_at = g_get_monotonic_time ();
  record = fopen (path, "we");
  g_free (path);
  g_strlcpy (folder, "/tmp/foxtail-case-XXXXXX", sizeof folder);
  if (record == NULL || mkdtemp (folder) == NULL)
    exit (2);
  replicas = g_ptr_array_new ();
  start_thread (limit_time, NULL);
  choose_net ();
  note ("TROUBLE=%d, addresses %s.x", kit_trouble (), net);
}

static void
start_process (unsigned i, const char *role, unsigned number, unsigned last)
{
  Process *process = &processes[i];

  process->role = role;
  process->number = number;
  g_snprintf (process->ip, sizeof process->ip, "%s.%u", net, last + number);
  process->settings = g_strdup_printf ("%s/%s-%u.settings", folder, role, number);
  char *data = g_strdup_printf ("%s/data-%u", folder, number);
  if (strcmp (role, "voter") == 0)
    g_mkdir (data, 0700);
  g_free (data);
}

void
kit_start (void)
{
  for (unsigned i = 0; i < KIT_VOTERS; i++)
    start_process (i, "voter", i, 11);
  for (unsigned i = 0; i < KIT_ENTRIES; i++)
    start_process (KIT_VOTERS + i, "entry", i, 31);
  for (unsigned i = 0; i < G_N_ELEMENTS (processes); i++)
    {
      write_settings (&processes[i], true);
      pthread_mutex_lock (&lock);
      spawn (&processes[i]);
      pthread_mutex_unlock (&lock);
      start_thread (watch_process, &processes[i]);
    }
  note ("%d voters and %d entries started", KIT_VOTERS, KIT_ENTRIES);
}
