/* slow.c - tests, with real processes on loopback, of callers and servers that read or send slowly
 * or not at all. */
#include "fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SLOW_COUNT   200
#define FAST_COUNT   20
#define STEADY_COUNT 10 /* callers that read READ_SIZE of their answer every STEP_US */
#define STEP_US      (10 * FT_MS)
#define READ_SIZE    16384
#define ANSWER_SIZE  (1u << 20)
/* One part for all callers together and one for each, see docs/CAPACITY.md. */
#define CALLERS_MEMORY_MAX ((8u << 20) + SLOW_COUNT * (96u << 10))
#define BODIES_MEMORY_MAX  ((16u << 20) + SLOW_COUNT * (32u << 10))
#define SMALL_WINDOW       4096
#define STALL_US           (1500 * FT_MS)
#define PAUSED_COUNT       3 /* callers that read nothing for PAUSE_US */
#define PAUSE_US           (4500 * FT_MS)

/* A caller that reads only when the test calls slow_step or slow_read. */
typedef struct
{
  int fd;
  GString *got;
  bool ended;
} SlowCaller;

static SlowCaller
slow_open (const FleetNode *entry, int window)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (FLEET_CALLER_PORT),
                            .sin_addr.s_addr = htonl (entry->ip) };
  SlowCaller slow
      = { .fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), .got = g_string_new (NULL) };

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
slow_send (const SlowCaller *slow, const char *path, unsigned number, size_t body, size_t sent)
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

/* Reads at most READ_SIZE bytes. */
static void
slow_step (SlowCaller *slow)
{
  char buffer[READ_SIZE];
  ssize_t got = slow->ended ? 0 : recv (slow->fd, buffer, sizeof buffer, 0);

  slow->ended = got == 0 || (got < 0 && errno != EAGAIN);
  g_string_append_len (slow->got, buffer, MAX (got, 0));
}

static void
slow_read (SlowCaller *slow)
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
slow_close (SlowCaller *slow)
{
  close (slow->fd);
  g_string_free (slow->got, TRUE);
}

static uint64_t
metric (Fleet *fleet, const FleetNode *node, const char *name)
{
  Answer answer;

  fleet_get_metrics (fleet, node, &answer);
  const char *at = strstr (answer.body->str, name);
  g_assert_nonnull (at);
  uint64_t value = g_ascii_strtoull (at + strlen (name), NULL, 10);
  fleet_answer_clear (&answer);
  return value;
}

static void
report_peak (const FleetNode *node)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int) node->pid), *text = NULL;

  if (g_file_get_contents (path, &text, NULL, NULL) && strstr (text, "VmHWM:"))
    g_test_message ("the entry's peak memory: %.20s", strstr (text, "VmHWM:"));
  g_free (text);
  g_free (path);
}

/* Whether the answer ends as a complete one. Fails the test if it does but lacks bytes. */
static bool
is_complete (const SlowCaller *slow)
{
  const char *body = strstr (slow->got->str, "\r\n\r\n");
  bool chunked = strstr (slow->got->str, "Transfer-Encoding: chunked") != NULL;
  unsigned filler = 0;

  if (body == NULL || strstr (slow->got->str, " 200 ") == NULL)
    return false;
  for (const char *at = body; *at; at++)
    filler += *at == 'x';
  bool ends = chunked ? g_str_has_suffix (slow->got->str, "\r\n0\r\n\r\n") : filler == ANSWER_SIZE;
  if (ends)
    g_assert_cmpuint (filler, ==, ANSWER_SIZE);
  return ends;
}

static bool
all_answered (void *data)
{
  const Answer *answers = data;

  for (unsigned i = 0; i < FAST_COUNT; i++)
    if (!answers[i].done)
      return false;
  return true;
}

static void
run_steadily (Fleet *fleet, SlowCaller *steady, int64_t us)
{
  for (int64_t at = 0; at < us; at += STEP_US)
    {
      for (unsigned i = 0; i < STEADY_COUNT; i++)
        slow_step (&steady[i]);
      fleet_run_for (fleet, STEP_US);
    }
}

/* Callers that pause, and callers that never read, must not fill the memory of their entry. Callers
 * that read slowly get complete answers, and an answer that its server aborts meanwhile must not
 * look complete. */
static void
test_answers (void)
{
  Fleet *fleet = fleet_new ();
  const FleetNode *entry = &fleet->entries[0];
  static SlowCaller slow[SLOW_COUNT], steady[STEADY_COUNT];
  Answer fast[FAST_COUNT];
  char id[16];

  fleet->slots = SLOW_COUNT;
  fleet_start_all (fleet);
  fleet->keeps_unread = true;
  fleet->plain_bytes = ANSWER_SIZE;
  for (unsigned i = 0; i < STEADY_COUNT; i++)
    {
      steady[i] = slow_open (entry, 4 * READ_SIZE);
      slow_send (&steady[i], "/plain/a", SLOW_COUNT + i, 4, 4);
    }
  for (unsigned i = 0; i < SLOW_COUNT; i++)
    {
      slow[i] = slow_open (entry, SMALL_WINDOW);
      slow_send (&slow[i], "/plain/a", i, 4, 4);
      if (i % 10 == 9)
        run_steadily (fleet, steady, STEP_US);
    }
  run_steadily (fleet, steady, STALL_US);
  g_assert_cmpuint (fleet_abort_unread (fleet, SLOW_COUNT), >, 0);
  fleet->plain_bytes = 0;
  for (unsigned i = 0; i < FAST_COUNT; i++)
    {
      g_snprintf (id, sizeof id, "f%u", i);
      fleet_send (fleet, entry, "/plain/a", id, &fast[i]);
    }
  for (unsigned i = 0; i < SLOW_COUNT / 2; i++)
    slow_read (&slow[i]);
  fleet_run_until (fleet, all_answered, fast, "callers that read at once are answered");
  for (unsigned i = 0; i < FAST_COUNT; i++)
    {
      g_assert_cmpuint (fast[i].status, ==, 200);
      fleet_answer_clear (&fast[i]);
    }
  for (unsigned turn = 0; turn < 200; turn++)
    {
      for (unsigned i = 0; i < SLOW_COUNT / 2; i++)
        slow_read (&slow[i]);
      run_steadily (fleet, steady, STEP_US);
    }
  for (unsigned i = 0; i < SLOW_COUNT / 2; i++)
    is_complete (&slow[i]); /* fails if one ends as complete but is not */
  for (unsigned i = 0; i < STEADY_COUNT; i++)
    g_assert_true (is_complete (&steady[i]));
  report_peak (entry);
  g_assert_cmpuint (metric (fleet, entry, "foxtail_held_bytes_peak{for=\"callers\"} "), <=,
                    CALLERS_MEMORY_MAX);
  g_assert_cmpuint (metric (fleet, entry, "foxtail_slow_callers_total "), >, 0);
  for (unsigned i = 0; i < SLOW_COUNT; i++)
    slow_close (&slow[i]);
  for (unsigned i = 0; i < STEADY_COUNT; i++)
    slow_close (&steady[i]);
  fleet_free (fleet);
}

/* Guards against the kernel ending the connection of a caller that reads nothing for longer than a
 * time-out that is meant for lost machines, with the rest of a begun answer. */
static void
test_paused_callers (void)
{
  Fleet *fleet = fleet_new ();
  const FleetNode *entry = &fleet->entries[0];
  SlowCaller paused[PAUSED_COUNT];
  unsigned complete = 0;

  fleet_start_all (fleet);
  fleet->plain_bytes = ANSWER_SIZE;
  for (unsigned i = 0; i < PAUSED_COUNT; i++)
    {
      paused[i] = slow_open (entry, SMALL_WINDOW);
      slow_send (&paused[i], "/plain/a", i, 4, 4);
    }
  fleet_run_for (fleet, PAUSE_US);
  for (unsigned turn = 0; turn < 300 && complete < PAUSED_COUNT; turn++)
    {
      complete = 0;
      for (unsigned i = 0; i < PAUSED_COUNT; i++)
        {
          slow_read (&paused[i]);
          complete += is_complete (&paused[i]);
        }
      fleet_run_for (fleet, STEP_US);
    }
  g_assert_cmpuint (complete, ==, PAUSED_COUNT);
  for (unsigned i = 0; i < PAUSED_COUNT; i++)
    slow_close (&paused[i]);
  fleet_free (fleet);
}

/* Callers that start large requests and never finish them must not fill the memory of their entry:
 * some are refused with 503 and Retry-After. */
static void
test_bodies (void)
{
  Fleet *fleet = fleet_new ();
  const FleetNode *entry = &fleet->entries[0];
  static SlowCaller slow[SLOW_COUNT];
  Answer answer;
  unsigned refused = 0;

  fleet_start_all (fleet);
  for (unsigned i = 0; i < SLOW_COUNT; i++)
    {
      slow[i] = slow_open (entry, SMALL_WINDOW);
      slow_send (&slow[i], "/plain/a", i, 500000, 200000);
      fleet_run_for (fleet, 2 * FT_MS);
    }
  fleet_run_for (fleet, 500 * FT_MS);
  report_peak (entry);
  g_assert_cmpuint (metric (fleet, entry, "foxtail_held_bytes_peak{for=\"bodies\"} "), <=,
                    BODIES_MEMORY_MAX);
  for (unsigned i = 0; i < SLOW_COUNT; i++)
    {
      slow_read (&slow[i]);
      refused += strstr (slow[i].got->str, " 503 ") != NULL
                 && strstr (slow[i].got->str, "Retry-After:") != NULL;
      g_assert_cmpuint (fleet_run_count (fleet, "s0"), ==, 0);
    }
  g_assert_cmpuint (refused, >, 0);
  for (unsigned i = 0; i < SLOW_COUNT; i++)
    slow_close (&slow[i]);
  fleet_run_for (fleet, 200 * FT_MS);
  fleet_call (fleet, entry, "/plain/a", "after", &answer);
  g_assert_cmpuint (answer.status, ==, 200);
  fleet_answer_clear (&answer);
  fleet_free (fleet);
}

/* ---- A server that stops reading ---- */

#define STALLED_CALLERS 80
#define STALLED_BODY    400000           /* together twice the limit on bodies in an entry */
#define STALLED_WAIT    (20 * FT_SECOND) /* the requests' deadline is 8 s */

/* Replaces the server by a socket that accepts connections and is never read. Segments of the size
 * of a real network keep the kernel's own buffers small. */
static int
stop_reading (FleetServer *server)
{
  struct sockaddr_in at = { .sin_family = AF_INET,
                            .sin_port = htons (server->listen_addr.port),
                            .sin_addr.s_addr = htonl (server->listen_addr.ip) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), yes = 1, window = SMALL_WINDOW,
      segment = 1400;

  hsrv_free (server->srv);
  server->srv = NULL;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  g_assert_cmpint (bind (fd, (struct sockaddr *) &at, sizeof at), ==, 0);
  g_assert_cmpint (listen (fd, SLOW_COUNT), ==, 0);
  return fd;
}

static bool
has_status (const SlowCaller *slow, const char *status)
{
  return g_str_has_prefix (slow->got->str, "HTTP/1.1 ")
         && g_str_has_prefix (slow->got->str + strlen ("HTTP/1.1 "), status);
}

/* Reads until each caller has the head of an answer or its connection has ended. */
static void
read_all (Fleet *fleet, SlowCaller *slow, unsigned count, int64_t max_us)
{
  unsigned open = count;

  for (int64_t at = 0; at < max_us && open > 0; at += STEP_US)
    {
      open = 0;
      for (unsigned i = 0; i < count; i++)
        {
          slow_read (&slow[i]);
          open += !slow[i].ended && strstr (slow[i].got->str, "\r\n\r\n") == NULL;
        }
      fleet_run_for (fleet, STEP_US);
    }
}

/* A server accepts connections and reads nothing. Requests sent to it must not fill the entry's
 * memory, nor leave their callers or others without an answer: a request that may be repeated is
 * answered by another server, one that may not fails, and its memory is released. */
static void
test_stalled_server (void)
{
  Fleet *fleet = fleet_new ();
  const FleetNode *entry = &fleet->entries[0];
  static SlowCaller slow[STALLED_CALLERS];
  Answer fast[FAST_COUNT];
  unsigned answered = 0, failed = 0;
  uint64_t unsent = 0;
  char id[16];

  fleet->slots = fleet->budget_slack = STALLED_CALLERS; /* the budget lets each be repeated */
  fleet->plain_ms = 300;                                /* so that requests go to all servers */
  fleet_start_all (fleet);
  int stalled = stop_reading (&fleet->servers[0]);
  for (unsigned i = 0; i < STALLED_CALLERS; i++)
    {
      slow[i] = slow_open (entry, 4 * READ_SIZE);
      slow_send (&slow[i], i % 2 ? "/once/a" : "/plain/a", i, STALLED_BODY, STALLED_BODY);
      fleet_run_for (fleet, 2 * FT_MS);
      unsent = MAX (unsent, metric (fleet, entry, "foxtail_held_bytes{for=\"servers\"} "));
    }
  g_assert_cmpuint (unsent, >, STALLED_BODY / 2);
  g_assert_cmpuint (unsent, <=, BODIES_MEMORY_MAX);
  for (unsigned i = 0; i < FAST_COUNT; i++)
    {
      g_snprintf (id, sizeof id, "f%u", i);
      fleet_send (fleet, entry, "/plain/a", id, &fast[i]);
    }
  fleet_run_until (fleet, all_answered, fast, "other callers are answered");
  for (unsigned i = 0; i < FAST_COUNT; i++)
    {
      g_assert_cmpuint (fast[i].status, ==, 200);
      fleet_answer_clear (&fast[i]);
    }
  read_all (fleet, slow, STALLED_CALLERS, STALLED_WAIT);
  for (unsigned i = 0; i < STALLED_CALLERS; i++)
    {
      bool refused = has_status (&slow[i], "503") && strstr (slow[i].got->str, "Retry-After:");
      answered += has_status (&slow[i], "200");
      failed += !refused && has_status (&slow[i], "5");
      if (!refused && !has_status (&slow[i], i % 2 ? "" : "200"))
        g_error ("caller %u got: %.60s", i, slow[i].got->str);
    }
  g_test_message ("%u answered, %u failed, %u refused; %u bytes unsent", answered, failed,
                  STALLED_CALLERS - answered - failed, (unsigned) unsent);
  g_assert_cmpuint (answered, >, 0);
  g_assert_cmpuint (failed, >, 0);
  g_assert_cmpuint (metric (fleet, entry, "foxtail_held_bytes_peak{for=\"bodies\"} "), <=,
                    BODIES_MEMORY_MAX);
  for (unsigned i = 0; i < STALLED_CALLERS; i++)
    slow_close (&slow[i]);
  fleet_run_for (fleet, 200 * FT_MS);
  g_assert_cmpuint (metric (fleet, entry, "foxtail_held_bytes{for=\"servers\"} "), ==, 0);
  g_assert_cmpuint (metric (fleet, entry, "foxtail_held_bytes{for=\"bodies\"} "), ==, 0);
  close (stalled);
  fleet_free (fleet);
}

/* ---- Callers that send slowly ---- */

#define PIECES         25
#define PIECE_INTERVAL (100 * FT_MS)
#define TIMEOUT_SHORT  600   /* ms: ends before the last piece is sent */
#define TIMEOUT_LONG   30000 /* ms: ends long after it */

enum
{
  SLOW_HEAD,        /* sends the head in pieces */
  SLOW_BODY,        /* sends the body in pieces */
  HALF_HEAD,        /* sends half of the head and nothing more */
  SLOW_CALLER_COUNT /* the number of these callers */
};

static void
send_piece (const SlowCaller *slow, const GString *request, size_t from, size_t to)
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
send_slowly (Fleet *fleet, const FleetNode *entry, SlowCaller *slow)
{
  GString *requests[SLOW_CALLER_COUNT];
  size_t starts[SLOW_CALLER_COUNT] = { 0 };

  for (unsigned i = 0; i < SLOW_CALLER_COUNT; i++)
    {
      slow[i] = slow_open (entry, 4 * READ_SIZE);
      fcntl (slow[i].fd, F_SETFL, O_NONBLOCK);
      requests[i] = request_text ("/plain/a", i, 100, 100);
    }
  starts[SLOW_BODY] = requests[SLOW_BODY]->len - 100;
  send_piece (&slow[SLOW_BODY], requests[SLOW_BODY], 0, starts[SLOW_BODY]);
  send_piece (&slow[HALF_HEAD], requests[HALF_HEAD], 0, 40);
  for (unsigned piece = 0; piece < PIECES; piece++)
    {
      for (unsigned i = SLOW_HEAD; i <= SLOW_BODY; i++)
        {
          size_t size = (requests[i]->len - starts[i]) / PIECES + 1;
          size_t from = starts[i] + piece * size;
          send_piece (&slow[i], requests[i], from, from + size);
        }
      fleet_run_for (fleet, PIECE_INTERVAL);
      for (unsigned i = 0; i < SLOW_CALLER_COUNT; i++)
        slow_read (&slow[i]);
    }
  for (unsigned i = 0; i < SLOW_CALLER_COUNT; i++)
    g_string_free (requests[i], TRUE);
}

/* A caller must not hold a connection and its memory at will by sending its head or body slowly.
 * The catalogue limits the time for a whole request: after that it gets 408, reaches no server, and
 * the connection is closed. Others are still served. With a longer limit the same callers are
 * answered.
 */
static void
test_slow_requests (void)
{
  Fleet *fleet = fleet_new ();
  const FleetNode *entry = &fleet->entries[0];
  SlowCaller slow[SLOW_CALLER_COUNT];
  Answer answer;

  fleet->header_timeout_ms = TIMEOUT_SHORT;
  fleet_start_all (fleet);
  send_slowly (fleet, entry, slow);
  for (unsigned i = 0; i < SLOW_CALLER_COUNT; i++)
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
  fleet->header_timeout_ms = TIMEOUT_LONG;
  fleet_start_all (fleet);
  send_slowly (fleet, entry, slow);
  read_all (fleet, slow, HALF_HEAD, STALLED_WAIT);
  g_assert_true (has_status (&slow[SLOW_HEAD], "200"));
  g_assert_true (has_status (&slow[SLOW_BODY], "200"));
  g_assert_cmpuint (slow[HALF_HEAD].got->len, ==, 0);
  for (unsigned i = 0; i < SLOW_CALLER_COUNT; i++)
    slow_close (&slow[i]);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/slow/answers", test_answers);
  g_test_add_func ("/slow/paused_callers", test_paused_callers);
  g_test_add_func ("/slow/bodies", test_bodies);
  g_test_add_func ("/slow/deaf_server", test_stalled_server);
  g_test_add_func ("/slow/requests", test_slow_requests);
  return g_test_run ();
}
