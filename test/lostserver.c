/* lostserver.c - see lostserver.h. One thread and poll(): a process without state that survives it.
 */
#include "lostserver.h"
#include "rawsrv.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define EVENT_FORMAT "id: %u\ndata: event %u\n\n"
#define CONNS_MAX    256
#define REQUEST_MAX  4096
#define BIND_PAUSE   500 /* microseconds between two attempts to bind the address */
#define POLL_TIMEOUT 5   /* ms */

typedef struct
{
  int fd; /* 0: unused */
  char request[REQUEST_MAX];
  size_t size;
  unsigned next;   /* event of the stream; 0: none is sent */
  int64_t next_at; /* monotonic microseconds; of a status check: when it is answered; 0: nothing */
  int64_t reset_at;
} Peer;

static volatile sig_atomic_t gives_up, resets_one;

static void
on_signal (int number)
{
  if (number == LOSTSERVER_GIVE_UP)
    gives_up = 1;
  else
    resets_one = 1;
}

static void
close_peer (Peer *peer, bool reset)
{
  struct linger linger = { 1, 0 };

  if (reset)
    setsockopt (peer->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (peer->fd);
  *peer = (Peer){ 0 };
}

static void
write_text (const Peer *peer, const char *text)
{
  size_t size = strlen (text);

  if (send (peer->fd, text, size, MSG_NOSIGNAL) != (ssize_t) size)
    return; /* the next read sees the end of the connection */
}

/* How it treats a status check now. */
static LostServerCheck
check_mode (const LostServerConf *conf)
{
  static int64_t first_at;
  int64_t now = g_get_monotonic_time ();

  first_at = first_at ? first_at : now;
  return conf->check_ms && now >= first_at + conf->check_ms * FT_MS ? CHECK_ANSWERED : conf->check;
}

static void
answer_check (const LostServerConf *conf, Peer *peer)
{
  LostServerCheck mode = check_mode (conf);
  char *reply = NULL;

  if (mode == CHECK_REJECTED)
    reply = g_strdup ("HTTP/1.1 503 Service Unavailable\r\nX-Foxtailgrade-Not-Executed: 1\r\n"
                      "Content-Length: 0\r\n\r\n");
  else
    reply = g_strdup_printf (
        "HTTP/1.1 %s\r\nX-Foxtailgrade-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
        mode == CHECK_FAILING ? "503 Service Unavailable" : "200 OK", conf->id);

  write_text (peer, reply);
  g_free (reply);
  peer->next_at = 0;
}

/* 421 to a request for another lifetime, else a stream or a plain answer. */
static void
start_answer (const LostServerConf *conf, Peer *peer)
{
  char *id = rawsrv_field (peer->request, "X-Foxtailgrade-Request-Id");
  char *wanted = rawsrv_field (peer->request, "X-Foxtailgrade-Expect-Instance");
  char *last = rawsrv_field (peer->request, "Last-Event-Id");
  bool stream
      = strstr (peer->request, "/once/") == NULL && strstr (peer->request, "/plain/") == NULL;
  char *reply;

  if (strcmp (wanted, conf->id) != 0)
    reply = g_strdup_printf ("HTTP/1.1 421 Misdirected Request\r\nX-Foxtailgrade-Request-Id: %s\r\n"
                             "Content-Length: 0\r\n\r\n",
                             id);
  else
    {
      reply = g_strdup_printf ("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                               "X-Foxtailgrade-Request-Id: %s\r\n"
                               "X-Foxtailgrade-Server-Signature: %s\r\n"
                               "Content-Type: %s\r\n\r\n",
                               id, conf->id, stream ? "text/event-stream" : "text/plain");
      peer->next = (unsigned) atoi (last) + 1;
      peer->next_at = g_get_monotonic_time ();
    }
  write_text (peer, reply);
  g_free (reply);
  g_free (id);
  g_free (wanted);
  g_free (last);
}

static void
handle_request (const LostServerConf *conf, Peer *peer)
{
  bool check = g_str_has_prefix (peer->request, "GET " LOSTSERVER_HEALTH " ");

  peer->size = 0;
  if (!check)
    start_answer (conf, peer);
  else if (check_mode (conf) == CHECK_RESET)
    close_peer (peer, true);
  else if (check_mode (conf) != CHECK_SILENT)
    peer->next_at = g_get_monotonic_time () + conf->answer_delay_ms * FT_MS;
}

static void
read_peer (const LostServerConf *conf, Peer *peer)
{
  ssize_t got
      = recv (peer->fd, peer->request + peer->size, REQUEST_MAX - 1 - peer->size, MSG_DONTWAIT);

  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (got <= 0)
    {
      close_peer (peer, false);
      return;
    }
  peer->size += (size_t) got;
  peer->request[peer->size] = '\0';
  if (strstr (peer->request, "\r\n\r\n"))
    handle_request (conf, peer);
}

static void
send_next (const LostServerConf *conf, Peer *peer)
{
  char event[64];

  if (peer->next == 0)
    {
      answer_check (conf, peer);
      return;
    }
  if (peer->next > LOSTSERVER_EVENTS)
    {
      close_peer (peer, false);
      return;
    }
  g_snprintf (event, sizeof event, EVENT_FORMAT, peer->next, peer->next);
  write_text (peer, event);
  peer->next++;
  peer->next_at += LOSTSERVER_GAP_MS * FT_MS;
}

static void
give_up (const LostServerConf *conf, Peer *peer)
{
  if (conf->mode == GIVE_UP_THEN_RESET)
    {
      shutdown (peer->fd, SHUT_WR);
      peer->next = 0;
      peer->next_at = 0;
      peer->reset_at = g_get_monotonic_time () + conf->reset_after_ms * FT_MS;
    }
  else
    close_peer (peer, conf->mode == GIVE_UP_RESET);
}

static void
serve_peer (const LostServerConf *conf, Peer *peer, bool ends, short bits)
{
  int64_t now = g_get_monotonic_time ();

  if (ends && peer->next > 0)
    give_up (conf, peer);
  else if (peer->reset_at && now >= peer->reset_at)
    close_peer (peer, true);
  else if (bits && !peer->reset_at)
    read_peer (conf, peer);
  if (peer->fd && peer->next_at && g_get_monotonic_time () >= peer->next_at)
    send_next (conf, peer);
}

static void
accept_peer (int listener, Peer *peers)
{
  int fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  for (unsigned i = 0; fd >= 0 && i < CONNS_MAX; i++)
    if (peers[i].fd == 0)
      {
        peers[i] = (Peer){ .fd = fd };
        return;
      }
  if (fd >= 0)
    close (fd);
}

static void
reset_one (Peer *peers)
{
  for (unsigned i = 0; i < CONNS_MAX; i++)
    if (peers[i].next > 0)
      {
        close_peer (&peers[i], true);
        return;
      }
}

G_NORETURN static void
serve (const LostServerConf *conf, int listener)
{
  Peer *peers = g_new0 (Peer, CONNS_MAX);
  struct pollfd *fds = g_new0 (struct pollfd, CONNS_MAX + 1);

  signal (LOSTSERVER_GIVE_UP, on_signal);
  signal (LOSTSERVER_RESET_ONE, on_signal);
  for (;;)
    {
      unsigned open = 0;
      for (unsigned i = 0; i < CONNS_MAX; i++)
        open += peers[i].fd > 0;
      bool full = conf->conns_max && open >= conf->conns_max;
      fds[0] = (struct pollfd){ .fd = full ? -1 : listener, .events = POLLIN };
      for (unsigned i = 0; i < CONNS_MAX; i++)
        fds[i + 1] = (struct pollfd){ .fd = peers[i].fd ? peers[i].fd : -1, .events = POLLIN };
      if (poll (fds, CONNS_MAX + 1, POLL_TIMEOUT) < 0)
        continue;
      bool ends = gives_up;
      gives_up = 0;
      if (resets_one)
        reset_one (peers);
      resets_one = 0;
      for (unsigned i = 0; i < CONNS_MAX && !conf->listens_only; i++)
        if (peers[i].fd)
          serve_peer (conf, &peers[i], ends, fds[i + 1].revents);
      if (fds[0].revents)
        accept_peer (listener, peers);
    }
}

/* The address may still be taken by an earlier process. */
int
lostserver_listen (SockAddr addr)
{
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_addr.s_addr = htonl (addr.ip),
                            .sin_port = htons (addr.port) };
  int one = 1, fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  while (bind (fd, (struct sockaddr *) &at, sizeof at) != 0 || listen (fd, CONNS_MAX) != 0)
    usleep (BIND_PAUSE);
  return fd;
}

static void
hold_memory (size_t size)
{
  void *held;

  if (size == 0)
    return;
  held = mmap (NULL, size, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS | MAP_POPULATE, -1,
               0);
  if (held == MAP_FAILED)
    _exit (1);
}

/* In the new process: nothing of the test stays open but its listener, if it has one. */
static void
enter_process (int listener)
{
  sigset_t none;

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  sigemptyset (&none);
  sigprocmask (SIG_SETMASK, &none, NULL);
  for (int fd = 3; fd < 1024; fd++)
    if (fd != listener)
      close (fd);
}

void
lostserver_start (const LostServerConf *conf, pid_t *pids)
{
  int ready[2];
  char byte;

  g_assert_cmpint (pipe (ready), ==, 0);
  for (unsigned i = 0; i < conf->processes; i++)
    pids[i] = 0;
  pids[0] = fork ();
  g_assert_cmpint (pids[0], >=, 0);
  if (pids[0] == 0)
    {
      int report = dup2 (ready[1], 2);
      enter_process (conf->listener);
      int listener = conf->listener ? conf->listener : lostserver_listen (conf->addr);
      hold_memory (conf->memory);
      /* The others serve the same listener; their ids are told to the test. */
      for (unsigned i = 1; i < conf->processes; i++)
        {
          pid_t pid = fork ();
          if (pid == 0)
            {
              prctl (PR_SET_PDEATHSIG, SIGKILL);
              close (report);
              serve (conf, listener);
            }
          if (write (report, &pid, sizeof pid) != sizeof pid)
            _exit (1);
        }
      if (write (report, "r", 1) != 1)
        _exit (1);
      close (report);
      serve (conf, listener);
    }
  close (ready[1]);
  for (unsigned i = 1; i < conf->processes; i++)
    g_assert_cmpint (read (ready[0], &pids[i], sizeof pids[i]), ==, sizeof pids[i]);
  g_assert_cmpint (read (ready[0], &byte, 1), ==, 1);
  close (ready[0]);
}

void
lostserver_kill (pid_t pid)
{
  if (pid <= 0)
    return;
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0); /* of a child of another process nothing is waited for */
}

char *
lostserver_whole_answer (void)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = 1; i <= LOSTSERVER_EVENTS; i++)
    g_string_append_printf (text, EVENT_FORMAT, i, i);
  return g_string_free (text, FALSE);
}
