/* skew.c - tests, with real processes on loopback, of an entry that gets most new connections of
 * its zone, while callers open them more often. A caller whose connection is refused or closed
 * before its request was read goes on at another entry. */
#include "fleet.h"

#include <signal.h>
#include <string.h>
#include <sys/resource.h>

#define IDLE_CONNECTIONS 120
#define ENTRY_FILES      96 /* descriptors of the entry that gets so many connections */
#define PATIENCE         (8 * FT_SECOND) /* after which a caller gives up */

/* ---- Callers ---- */

typedef struct
{
  Fleet *fleet;
  unsigned entry, tries;
  bool head, done, served;
  LoopTimer patience;
  char id[24];
  HXfer *xfer;
} Caller;

typedef struct
{
  Fleet *fleet;
  unsigned answered, served, lost; /* lost: not answered 200 although an entry had read it */
  unsigned turned_away;            /* connections refused or closed unread */
} Count;

static Count count;

static void send_once (Caller *caller);

static bool
on_head (void *user, const HMsg *msg)
{
  Caller *caller = user;

  caller->head = true;
  caller->served = hmsg_status (msg) == 200;
  return true;
}

static void
on_body (void *user, const char *data, size_t size)
{
  (void) user;
  (void) data;
  (void) size;
}

static void
end_caller (Caller *caller)
{
  loop_timer_stop (caller->fleet->loop, &caller->patience);
  caller->done = true;
  count.answered++;
  count.served += caller->served;
  count.lost += !caller->served;
}

static void
on_end (void *user)
{
  end_caller (user);
}

static void
on_failed (void *user, HXferFault fault)
{
  Caller *caller = user;
  bool unread = !caller->head && fleet_run_count (caller->fleet, caller->id) == 0;

  (void) fault;
  count.turned_away += unread;
  if (!unread || caller->tries >= 3)
    {
      caller->served = false;
      end_caller (caller);
      return;
    }
  caller->entry = (caller->entry + 1) % caller->fleet->entry_count;
  send_once (caller);
}

static const HXferOps xfer_ops = { on_head, on_body, on_end, on_failed, NULL };

/* Sends the request on a connection of its own. */
static void
send_once (Caller *caller)
{
  static uint64_t connections;
  char key[32];
  const FleetNode *entry = &caller->fleet->entries[caller->entry];
  HCliTarget target
      = { .addr = { entry->ip, FLEET_CALLER_PORT }, .key = key, .connect_us = FT_SECOND };
  GString *request = g_string_new (NULL);

  g_snprintf (key, sizeof key, "n%" G_GUINT64_FORMAT, ++connections);
  g_string_append_printf (
      request,
      "GET /plain/%s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key\r\n"
      "Connection: close\r\nX-Foxtailgrade-Request-Id: %s\r\n"
      "X-Foxtailgrade-Deadline-Ms: 8000\r\n\r\n",
      caller->id, caller->id);
  caller->tries++;
  caller->head = false;
  caller->xfer = hcli_send (caller->fleet->cli, &target, request, &xfer_ops, caller);
  g_string_free (request, TRUE);
  if (caller->xfer == NULL)
    on_failed (caller, HXFER_NOT_CONNECTED);
}

static void
on_patience_over (LoopTimer *timer)
{
  Caller *caller = (Caller *) ((char *) timer - offsetof (Caller, patience));

  hxfer_cancel (caller->xfer);
  caller->served = false;
  end_caller (caller);
}

static void
start_caller (Caller *caller, Fleet *fleet, unsigned entry)
{
  memset (caller, 0, sizeof *caller);
  caller->fleet = fleet;
  caller->entry = entry;
  caller->patience.fire = on_patience_over;
  loop_timer_set (fleet->loop, &caller->patience, loop_now (fleet->loop) + PATIENCE);
  g_snprintf (caller->id, sizeof caller->id, "s%" G_GUINT64_FORMAT, ++fleet->next_id);
  send_once (caller);
}

static bool
is_done (void *data)
{
  return ((Caller *) data)->done;
}

/* ---- Descriptors ---- */

static int
open_connection (const FleetNode *entry)
{
  struct sockaddr_in addr = { .sin_family = AF_INET,
                              .sin_port = htons (FLEET_CALLER_PORT),
                              .sin_addr = { htonl (entry->ip) } };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  g_assert_cmpint (fd, >=, 0);
  if (connect (fd, (struct sockaddr *) &addr, sizeof addr) != 0)
    g_test_message ("the entry is full");
  return fd;
}

/* Callers keep more idle connections open at one entry than it has descriptors. It could accept no
 * further connection, of callers or of other instances, nor open one to a server, and used all of
 * its processor time for trying. */
static void
idle_connections_fill_descriptors (void)
{
  Fleet *fleet = fleet_new ();
  int idle[IDLE_CONNECTIONS];
  Caller callers[12];

  count = (Count){ 0 };
  fleet->entries[0].files = ENTRY_FILES;
  fleet_start_all (fleet);
  for (unsigned i = 0; i < IDLE_CONNECTIONS; i++)
    idle[i] = open_connection (&fleet->entries[0]);
  fleet_run_for (fleet, 300 * FT_MS);
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    {
      start_caller (&callers[i], fleet, 0);
      fleet_run_until (fleet, is_done, &callers[i], "an answer beside idle connections");
    }
  g_test_message ("%u of %u served, %u connections turned away", count.served, count.answered,
                  count.turned_away);
  g_assert_cmpuint (count.served, ==, G_N_ELEMENTS (callers));
  g_assert_cmpuint (count.turned_away, ==, 0);
  for (unsigned i = 0; i < IDLE_CONNECTIONS; i++)
    close (idle[i]);
  fleet_free (fleet);
}

/* ---- Processor time ---- */

#define CALLERS_MAX 6000
#define RUN_MS      8 /* of each PERIOD_MS, in which the slow entry runs */
#define PERIOD_MS   100

/* Lets an entry run for a part of the time only, as a machine with a fraction of a core does, and
 * sends new callers to it all the while. */
typedef struct
{
  Fleet *fleet;
  LoopTimer slow, arrival;
  bool running;
  unsigned entry, started, per_ms, most;
  Caller *callers;
} Skew;

static void
on_slow (LoopTimer *timer)
{
  Skew *skew = (Skew *) ((char *) timer - offsetof (Skew, slow));

  skew->running = !skew->running;
  fleet_signal (&skew->fleet->entries[skew->entry], skew->running ? SIGCONT : SIGSTOP);
  loop_timer_set (skew->fleet->loop, timer,
                  loop_now (skew->fleet->loop)
                      + (skew->running ? RUN_MS : PERIOD_MS - RUN_MS) * FT_MS);
}

static void
on_arrival (LoopTimer *timer)
{
  Skew *skew = (Skew *) ((char *) timer - offsetof (Skew, arrival));

  for (unsigned i = 0; i < skew->per_ms && skew->started < skew->most; i++)
    start_caller (&skew->callers[skew->started++], skew->fleet, skew->entry);
  if (skew->started < skew->most)
    loop_timer_set (skew->fleet->loop, timer, loop_now (skew->fleet->loop) + FT_MS);
}

static bool
all_answered (void *data)
{
  return count.answered == ((const Skew *) data)->most;
}

/* Most new connections go to an entry that has a fraction of a core. It read all requests, and was
 * late with all of them. */
static void
new_connections_exceed_processor (gconstpointer entries)
{
  Fleet *fleet = fleet_new ();
  Skew skew = { .fleet = fleet, .running = true, .per_ms = 3, .most = CALLERS_MAX };

  count = (Count){ 0 };
  skew.callers = g_new0 (Caller, CALLERS_MAX);
  fleet->slots = 500;
  fleet->entry_count = GPOINTER_TO_UINT (entries);
  skew.slow.fire = on_slow;
  skew.arrival.fire = on_arrival;
  fleet_start_all (fleet);
  loop_timer_set (fleet->loop, &skew.slow, loop_now (fleet->loop));
  loop_timer_set (fleet->loop, &skew.arrival, loop_now (fleet->loop));
  fleet_run_until (fleet, all_answered, &skew, "all callers");
  loop_timer_stop (fleet->loop, &skew.slow);
  fleet_signal (&fleet->entries[0], SIGCONT);
  g_test_message ("%u of %u served, %u connections turned away", count.served, count.answered,
                  count.turned_away);
  g_assert_cmpuint (count.lost * 4, <=, count.answered);
  fleet_free (fleet);
  g_free (skew.callers);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/skew/descriptors", idle_connections_fill_descriptors);
  g_test_add_data_func ("/skew/processor/2", GUINT_TO_POINTER (2),
                        new_connections_exceed_processor);
  g_test_add_data_func ("/skew/processor/7", GUINT_TO_POINTER (7),
                        new_connections_exceed_processor);
  return g_test_run ();
}
