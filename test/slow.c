/* slow.c - callers and servers that read or send slowly or not at all, before real processes on
 * loopback. */
#include "fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SLOW        200
#define FAST        20
#define STEADY      10 /* callers that read a part of their answer every STEP */
#define STEP        (10 * FT_MS)
#define PART        16384
#define ANSWER      (1u << 20)
#define HELD_MOST   ((8u << 20) + SLOW * (96u << 10)) /* by all, and by each, docs/CAPACITY.md */
#define BODIES_MOST ((16u << 20) + SLOW * (32u << 10))
#define WINDOW      4096
#define STUCK_FOR   (1500 * FT_MS)

/* A caller that sends a request and reads only when it is told to. */
typedef struct
{
  int fd;
  GString *got;
  bool ended;
} Slow;

static Slow
slow_open (const FleetNode *entry, int window)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (FLEET_CALLERS),
                            .sin_addr.s_addr = htonl (entry->ip) };
  Slow slow = { .fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), .got = g_string_new (NULL) };

  setsockopt (slow.fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  g_assert_cmpint (connect (slow.fd, (struct sockaddr *) &to, sizeof to), ==, 0);
  return slow;
}

static GString *
request_text (const char *path, unsigned number, size_t body, size_t sent)
{
  GString *request = g_string_new (NULL);

  g_string_append_printf (request,
                          "POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token "
                          "key\r\nX-Foxtailgrade-Request-Id: s%u\r\n"
                          "X-Foxtailgrade-Deadline-Ms: 8000\r\nContent-Length: %zu\r\n\r\n",
                          path, number, body);
  for (size_t i = 0; i < sent; i++)
    g_string_append_c (request, 'b');
  return request;
}

static void
slow_send (const Slow *slow, const char *path, unsigned number, size_t body, size_t sent)
{
  GString *request = request_text (path, number, body, sent);

  for (size_t at = 0; at < request->len;)
    {
      ssize_t done = send (slow->fd, request->str + at, request->len - at, MSG_NOSIGNAL);
      if (done <= 0)
        break;
      at += (size_t) done;
    }
  g_string_free (request, TRUE);
  fcntl (slow->fd, F_SETFL, O_NONBLOCK);
}

/* Reads at most one part. */
static void
slow_step (Slow *slow)
{
  char buffer[PART];
  ssize_t got = slow->ended ? 0 : recv (slow->fd, buffer, sizeof buffer, 0);

  slow->ended = got == 0 || (got < 0 && errno != EAGAIN);
  g_string_append_len (slow->got, buffer, MAX (got, 0));
}

static void
slow_read (Slow *slow)
{
  char buffer[65536];
  ssize_t got;

  while (!slow->ended && (got = recv (slow->fd, buffer, sizeof buffer, 0)) != -1)
    {
      slow->ended = got == 0;
      g_string_append_len (slow->got, buffer, got);
    }
  if (!slow->ended && errno != EAGAIN)
    slow->ended = true;
}

static void
slow_close (Slow *slow)
{
  close (slow->fd);
  g_string_free (slow->got, TRUE);
}

static uint64_t
metric (Fleet *fleet, const FleetNode *node, const char *name)
{
  Answer answer;

  fleet_metrics (fleet, node, &answer);
  const char *at = strstr (answer.body->str, name);
  g_assert_nonnull (at);
  uint64_t value = g_ascii_strtoull (at + strlen (name), NULL, 10);
  fleet_answer_clear (&answer);
  return value;
}

static void
tell_peak (const FleetNode *node)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int) node->pid), *text = NULL;

  if (g_file_get_contents (path, &text, NULL, NULL) && strstr (text, "VmHWM:"))
    g_test_message ("the entry's memory at its peak: %.20s", strstr (text, "VmHWM:"));
  g_free (text);
  g_free (path);
}

/* An answer that claims to be whole is. */
static bool
is_whole (const Slow *slow)
{
  const char *body = strstr (slow->got->str, "\r\n\r\n");
  bool chunked = strstr (slow->got->str, "Transfer-Encoding: chunked") != NULL;
  unsigned filler = 0;

  if (body == NULL || strstr (slow->got->str, " 200 ") == NULL)
    return false;
  for (const char *at = body; *at; at++)
    filler += *at == 'x';
  bool ends = chunked ? g_str_has_suffix (slow->got->str, "\r\n0\r\n\r\n") : filler == ANSWER;
  if (ends)
    g_assert_cmpuint (filler, ==, ANSWER);
  return ends;
}

static bool
all_answered (void *data)
{
  const Answer *answers = data;

  for (unsigned i = 0; i < FAST; i++)
    if (!answers[i].done)
      return false;
  return true;
}

/* Servers cut an answer off that nobody reads for so long. */
static void
cut_unread (Fleet *fleet, int64_t us)
{
  HSrvLimits limits = { 16384, 1 << 20, 5 * FT_SECOND, us };

  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    hsrv_set_limits (fleet->servers[i].srv, &limits);
}

static void
run_steadily (Fleet *fleet, Slow *steady, int64_t us)
{
  for (int64_t at = 0; at < us; at += STEP)
    {
      for (unsigned i = 0; i < STEADY; i++)
        slow_step (&steady[i]);
      fleet_run_for (fleet, STEP);
    }
}

/* Callers that read slowly get their answers whole; callers that read on after a while, and those
 * that never do, filled the memory of their entry; an answer that its server cuts meanwhile must
 * not look whole. */
static void
test_answers (void)
{
  Fleet *fleet = fleet_new ();
  const FleetNode *entry = &fleet->entries[0];
  static Slow slow[SLOW], steady[STEADY];
  Answer fast[FAST];
  char id[16];

  fleet->slots = SLOW;
  fleet_begin (fleet);
  cut_unread (fleet, FT_SECOND);
  fleet->plain_bytes = ANSWER;
  for (unsigned i = 0; i < STEADY; i++)
    {
      steady[i] = slow_open (entry, 4 * PART);
      slow_send (&steady[i], "/plain/a", SLOW + i, 4, 4);
    }
  for (unsigned i = 0; i < SLOW; i++)
    {
      slow[i] = slow_open (entry, WINDOW);
      slow_send (&slow[i], "/plain/a", i, 4, 4);
      if (i % 10 == 9)
        run_steadily (fleet, steady, STEP);
    }
  run_steadily (fleet, steady, STUCK_FOR);
  fleet->plain_bytes = 0;
  for (unsigned i = 0; i < FAST; i++)
    {
      g_snprintf (id, sizeof id, "f%u", i);
      fleet_send (fleet, entry, "/plain/a", id, &fast[i]);
    }
  for (unsigned i = 0; i < SLOW / 2; i++)
    slow_read (&slow[i]);
  fleet_until (fleet, all_answered, fast, "callers that read are answered");
  for (unsigned i = 0; i < FAST; i++)
    {
      g_assert_cmpuint (fast[i].status, ==, 200);
      fleet_answer_clear (&fast[i]);
    }
  for (unsigned turn = 0; turn < 200; turn++)
    {
      for (unsigned i = 0; i < SLOW / 2; i++)
        slow_read (&slow[i]);
      run_steadily (fleet, steady, STEP);
    }
  for (unsigned i = 0; i < SLOW / 2; i++)
    is_whole (&slow[i]); /* fails if one only looks so */
  for (unsigned i = 0; i < STEADY; i++)
    g_assert_true (is_whole (&steady[i]));
  tell_peak (entry);
  g_assert_cmpuint (metric (fleet, entry, "foxtail_held_bytes_peak{for=\"callers\"} "), <=,
                    HELD_MOST);
  g_assert_cmpuint (metric (fleet, entry, "foxtail_slow_callers_total "), >, 0);
  for (unsigned i = 0; i < SLOW; i++)
    slow_close (&slow[i]);
  for (unsigned i = 0; i < STEADY; i++)
    slow_close (&steady[i]);
  fleet_free (fleet);
}

/* Callers that send large requests and never end them filled the memory of their entry. */
static void
test_bodies (void)
{
  Fleet *fleet = fleet_new ();
  const FleetNode *entry = &fleet->entries[0];
  static Slow slow[SLOW];
  Answer answer;
  unsigned refused = 0;

  fleet_begin (fleet);
  for (unsigned i = 0; i < SLOW; i++)
    {
      slow[i] = slow_open (entry, WINDOW);
      slow_send (&slow[i], "/plain/a", i, 500000, 200000);
      fleet_run_for (fleet, 2 * FT_MS);
    }
  fleet_run_for (fleet, 500 * FT_MS);
  tell_peak (entry);
  g_assert_cmpuint (metric (fleet, entry, "foxtail_held_bytes_peak{for=\"bodies\"} "), <=,
                    BODIES_MOST);
  for (unsigned i = 0; i < SLOW; i++)
    {
      slow_read (&slow[i]);
      refused += strstr (slow[i].got->str, " 503 ") != NULL
                 && strstr (slow[i].got->str, "Retry-After:") != NULL;
      g_assert_cmpuint (fleet_runs (fleet, "s0"), ==, 0);
    }
  g_assert_cmpuint (refused, >, 0);
  for (unsigned i = 0; i < SLOW; i++)
    slow_close (&slow[i]);
  fleet_run_for (fleet, 200 * FT_MS);
  fleet_call (fleet, entry, "/plain/a", "after", &answer);
  g_assert_cmpuint (answer.status, ==, 200);
  fleet_answer_clear (&answer);
  fleet_free (fleet);
}

/* ---- A server that reads nothing ---- */

#define DEAF_CALLERS 80
#define DEAF_BODY    400000           /* together twice what an entry holds */
#define DEAF_WAIT    (20 * FT_SECOND) /* the callers' limit is 8 s */

/* In the place of the server's process one that takes connections and reads nothing. Segments as on
 * a real network keep the kernel's own buffers small. */
static int
make_deaf (FleetServer *server)
{
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_port = htons (server->listens.port),
                            .sin_addr.s_addr = htonl (server->listens.ip) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), yes = 1, window = WINDOW,
      segment = 1400;

  hsrv_free (server->srv);
  server->srv = NULL;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  g_assert_cmpint (bind (fd, (struct sockaddr *) &at, sizeof at), ==, 0);
  g_assert_cmpint (listen (fd, SLOW), ==, 0);
  return fd;
}

static bool
has_status (const Slow *slow, const char *status)
{
  return g_str_has_prefix (slow->got->str, "HTTP/1.1 ")
         && g_str_has_prefix (slow->got->str + strlen ("HTTP/1.1 "), status);
}

/* Until each has the head of an answer or has been cut off. */
static void
read_all (Fleet *fleet, Slow *slow, unsigned count, int64_t most)
{
  unsigned open = count;

  for (int64_t at = 0; at < most && open > 0; at += STEP)
    {
      open = 0;
      for (unsigned i = 0; i < count; i++)
        {
          slow_read (&slow[i]);
          open += !slow[i].ended && strstr (slow[i].got->str, "\r\n\r\n") == NULL;
        }
      fleet_run_for (fleet, STEP);
    }
}

/* A server takes connections and reads no request. What is sent there fills the memory of the
 * entry, or its callers wait without an answer, or others with them: a request that may be repeated
 * is answered by another server, one that may not fails, and what is held stays bounded and is
 * given back. */
static void
test_deaf (void)
{
  Fleet *fleet = fleet_new ();
  const FleetNode *entry = &fleet->entries[0];
  static Slow slow[DEAF_CALLERS];
  Answer fast[FAST];
  unsigned answered = 0, failed = 0;
  uint64_t unsent = 0;
  char id[16];

  fleet->slots = fleet->budget_slack = DEAF_CALLERS; /* each may be repeated */
  fleet->plain_ms = 300;                             /* so that requests spread over all servers */
  fleet_begin (fleet);
  int deaf = make_deaf (&fleet->servers[0]);
  for (unsigned i = 0; i < DEAF_CALLERS; i++)
    {
      slow[i] = slow_open (entry, 4 * PART);
      slow_send (&slow[i], i % 2 ? "/once/a" : "/plain/a", i, DEAF_BODY, DEAF_BODY);
      fleet_run_for (fleet, 2 * FT_MS);
      unsent = MAX (unsent, metric (fleet, entry, "foxtail_held_bytes{for=\"servers\"} "));
    }
  g_assert_cmpuint (unsent, >, DEAF_BODY / 2);
  g_assert_cmpuint (unsent, <=, BODIES_MOST);
  for (unsigned i = 0; i < FAST; i++)
    {
      g_snprintf (id, sizeof id, "f%u", i);
      fleet_send (fleet, entry, "/plain/a", id, &fast[i]);
    }
  fleet_until (fleet, all_answered, fast, "callers beside it are answered");
  for (unsigned i = 0; i < FAST; i++)
    {
      g_assert_cmpuint (fast[i].status, ==, 200);
      fleet_answer_clear (&fast[i]);
    }
  read_all (fleet, slow, DEAF_CALLERS, DEAF_WAIT);
  for (unsigned i = 0; i < DEAF_CALLERS; i++)
    {
      bool refused = has_status (&slow[i], "503") && strstr (slow[i].got->str, "Retry-After:");
      answered += has_status (&slow[i], "200");
      failed += !refused && has_status (&slow[i], "5");
      if (!refused && !has_status (&slow[i], i % 2 ? "" : "200"))
        g_error ("caller %u got: %.60s", i, slow[i].got->str);
    }
  g_test_message ("%u answered, %u failed, %u refused; %u bytes unsent", answered, failed,
                  DEAF_CALLERS - answered - failed, (unsigned) unsent);
  g_assert_cmpuint (answered, >, 0);
  g_assert_cmpuint (failed, >, 0);
  g_assert_cmpuint (metric (fleet, entry, "foxtail_held_bytes_peak{for=\"bodies\"} "), <=,
                    BODIES_MOST);
  for (unsigned i = 0; i < DEAF_CALLERS; i++)
    slow_close (&slow[i]);
  fleet_run_for (fleet, 200 * FT_MS);
  g_assert_cmpuint (metric (fleet, entry, "foxtail_held_bytes{for=\"servers\"} "), ==, 0);
  g_assert_cmpuint (metric (fleet, entry, "foxtail_held_bytes{for=\"bodies\"} "), ==, 0);
  close (deaf);
  fleet_free (fleet);
}

/* ---- Requests that come slowly ---- */

#define PIECES      25
#define PIECE_EVERY (100 * FT_MS)
#define HEAD_SHORT  600   /* ms: before the last piece */
#define HEAD_LONG   30000 /* ms: long after it */

enum
{
  SLOW_HEAD,   /* the head comes in pieces */
  SLOW_BODY,   /* the body does */
  STOPPED,     /* half of the head, and nothing more */
  SLOW_CALLERS /* how many */
};

static void
send_piece (const Slow *slow, const GString *request, size_t from, size_t to)
{
  for (size_t at = from; at < MIN (to, request->len);)
    {
      ssize_t done = send (slow->fd, request->str + at, MIN (to, request->len) - at, MSG_NOSIGNAL);
      if (done <= 0)
        return;
      at += (size_t) done;
    }
}

static void
send_slowly (Fleet *fleet, const FleetNode *entry, Slow *slow)
{
  GString *requests[SLOW_CALLERS];
  size_t begins[SLOW_CALLERS] = { 0 };

  for (unsigned i = 0; i < SLOW_CALLERS; i++)
    {
      slow[i] = slow_open (entry, 4 * PART);
      fcntl (slow[i].fd, F_SETFL, O_NONBLOCK);
      requests[i] = request_text ("/plain/a", i, 100, 100);
    }
  begins[SLOW_BODY] = requests[SLOW_BODY]->len - 100;
  send_piece (&slow[SLOW_BODY], requests[SLOW_BODY], 0, begins[SLOW_BODY]);
  send_piece (&slow[STOPPED], requests[STOPPED], 0, 40);
  for (unsigned piece = 0; piece < PIECES; piece++)
    {
      for (unsigned i = SLOW_HEAD; i <= SLOW_BODY; i++)
        {
          size_t size = (requests[i]->len - begins[i]) / PIECES + 1;
          size_t from = begins[i] + piece * size;
          send_piece (&slow[i], requests[i], from, from + size);
        }
      fleet_run_for (fleet, PIECE_EVERY);
      for (unsigned i = 0; i < SLOW_CALLERS; i++)
        slow_read (&slow[i]);
    }
  for (unsigned i = 0; i < SLOW_CALLERS; i++)
    g_string_free (requests[i], TRUE);
}

/* A caller sends the head or the body of its request so slowly that it holds a connection and its
 * memory for as long as it likes. The catalogue says within which time a request must have come:
 * then it is answered 408, goes nowhere, and the connection ends; a time that is long enough lets
 * the same callers pass. Others are served meanwhile. */
static void
test_slow_requests (void)
{
  Fleet *fleet = fleet_new ();
  const FleetNode *entry = &fleet->entries[0];
  Slow slow[SLOW_CALLERS];
  Answer answer;

  fleet->head_ms = HEAD_SHORT;
  fleet_begin (fleet);
  send_slowly (fleet, entry, slow);
  for (unsigned i = 0; i < SLOW_CALLERS; i++)
    {
      g_assert_true (has_status (&slow[i], "408"));
      g_assert_nonnull (strstr (slow[i].got->str, "Connection: close"));
      g_assert_true (slow[i].ended);
      slow_close (&slow[i]);
    }
  for (unsigned i = 0; i < FLEET_SERVERS; i++)
    g_assert_cmpuint (fleet->servers[i].arrived, ==, 0);
  fleet_call (fleet, entry, "/plain/a", "after", &answer);
  g_assert_cmpuint (answer.status, ==, 200);
  fleet_answer_clear (&answer);
  fleet_free (fleet);

  fleet = fleet_new ();
  entry = &fleet->entries[0];
  fleet->head_ms = HEAD_LONG;
  fleet_begin (fleet);
  send_slowly (fleet, entry, slow);
  read_all (fleet, slow, STOPPED, DEAF_WAIT);
  g_assert_true (has_status (&slow[SLOW_HEAD], "200"));
  g_assert_true (has_status (&slow[SLOW_BODY], "200"));
  g_assert_cmpuint (slow[STOPPED].got->len, ==, 0);
  for (unsigned i = 0; i < SLOW_CALLERS; i++)
    slow_close (&slow[i]);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/slow/answers", test_answers);
  g_test_add_func ("/slow/bodies", test_bodies);
  g_test_add_func ("/slow/deaf_server", test_deaf);
  g_test_add_func ("/slow/requests", test_slow_requests);
  return g_test_run ();
}
