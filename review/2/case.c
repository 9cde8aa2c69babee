/* case.c - the operator orders a roll-out of a version that fails under load. As the service's
 * requests have just moved to it, the process that leads the core is killed and starts again. */
#include "deployment.h"

#include <stdlib.h>
#include <string.h>

#define REQUESTS_MAX    4096
#define RATE            16 /* requests a second, every second one long */
#define REPLICAS        12 /* of each version */
#define SLOTS           6
#define FAILS_ABOVE     26   /* requests that run on the version: beyond that it fails ... */
#define FAILS_OF_TEN    8    /* ... so many of ten */
#define ORDER_AT_MS     3000 /* from the start of traffic */
#define DURATION_S      60
#define END_MS          88000
#define RESTART_MS      1000 /* after which the killed process is back */
#define CONNECTIVITY_MS 4000 /* ConnectivityWindowMs */
#define ROLLBACK_MS     5000 /* RollbackMs */
#define EXPOSURE_SHARE  0.1
#define EXPOSURE_SLACK  50
#define BAD_ANSWERS     50
#define MOVED_OF_LAST   12 /* so many requests in a row at the new version: the service has moved */
#define DRAIN_AFTER     (3 * FT_SECOND) /* after rolled_back the new replicas drain */
#define TICK            (5 * FT_MS)

typedef struct
{
  bool open;
  unsigned number;
  Reply reply;
} Request;

typedef struct
{
  int64_t at;
  bool target; /* it arrived at the ordered version */
} Arrival;

static struct
{
  Deployment *deployment;
  LoopTimer timer;
  Request requests[REQUESTS_MAX];
  unsigned sent, answered, failed, cut;
  int64_t traffic_from, ordered_at, killed_at, rolled_back_at, bad_limit_at;
  unsigned in_a_row, bad_answers, runs_cut;
  GArray *arrivals; /* Arrival */
  bool trouble;
} test;

static bool
is_target (const Replica *replica)
{
  return strcmp (replica->version, "v2") == 0;
}

/* The core is stable again ConnectivityWindowMs after the start of the killed process; until then
 * no machine is in touch. */
static bool
in_touch (int64_t at)
{
  return test.killed_at == 0 || at < test.killed_at
         || at > test.killed_at + (RESTART_MS + CONNECTIVITY_MS) * FT_MS;
}

static bool
fails (Replica *replica)
{
  Deployment *deployment = test.deployment;
  unsigned running = 0;

  if (!is_target (replica))
    return false;
  for (unsigned i = 0; i < deployment->conf.replicas; i++)
    if (is_target (&deployment->replicas[i]))
      running += replica_running (&deployment->replicas[i]);
  if (running <= FAILS_ABOVE || g_random_int_range (0, 10) >= FAILS_OF_TEN)
    return false;
  /* The count begins anew while the core is not stable. */
  test.bad_answers = in_touch (loop_now (deployment->loop)) ? test.bad_answers + 1 : 0;
  if (test.bad_answers == BAD_ANSWERS)
    {
      test.bad_limit_at = loop_now (deployment->loop) + ROLLBACK_MS * FT_MS;
      deployment_note (deployment, "the version has given %d bad answers since the core is stable",
                       BAD_ANSWERS);
    }
  return true;
}

static void
arrived (Replica *replica, const char *id)
{
  Arrival arrival = { loop_now (test.deployment->loop), is_target (replica) };

  g_array_append_val (test.arrivals, arrival);
  test.in_a_row = arrival.target ? test.in_a_row + 1 : 0;
  deployment_note (test.deployment, "request %s arrives at %s of %s", id, replica->id,
                   replica->version);
}

static void
send_request (Request *request)
{
  Deployment *deployment = test.deployment;
  const Node *node
      = &deployment->nodes[deployment->conf.voters + request->number % deployment->conf.entries];
  GString *out = g_string_new (NULL);
  char body[128], id[32];
  bool is_long = request->number % 2;

  g_snprintf (body, sizeof body, "{\"model\":\"m\",\"stream\":true,\"question\":%u}",
              request->number);
  g_snprintf (id, sizeof id, "%016x", request->number);
  hwrite_request_line (out, "POST", is_long ? "/long/1" : "/chat/1");
  hwrite_field (out, "Host", "caller.example");
  hwrite_field (out, "X-Foxtailgrade-Request-Id", id);
  hwrite_field (out, "X-Foxtailgrade-Model", "m");
  hwrite_field (out, "X-Foxtailgrade-Token-Usage", is_long ? "1110,240" : "1110,16");
  g_string_append_printf (out, "X-Foxtailgrade-Prefix-Hash: 5c1e07a2:60,%x:1050\r\n",
                          0x20000000 + request->number);
  hwrite_field (out, "X-Foxtailgrade-Deadline-Ms", is_long ? "15000" : "10000");
  hwrite_field (out, "Authorization", "Token key-a");
  hwrite_field (out, "Content-Type", "application/json");
  hwrite_number_field (out, "Content-Length", (int64_t) strlen (body));
  hwrite_head_end (out);
  g_string_append (out, body);
  deployment_send (deployment, node->ip, FRONTEND_PORT, out, &request->reply);
  g_string_free (out, TRUE);
}

static void
check_request (Request *request)
{
  const Reply *reply = &request->reply;

  if (!reply->done)
    return;
  test.answered += reply->status == 200;
  test.failed += reply->status != 200 && reply->status != 0;
  test.cut += reply->status == 0;
  deployment_note (test.deployment, "request %016x: %s, status %u", request->number,
                   reply->status == 200 ? "answered"
                   : reply->status      ? "failed"
                                        : "cut off",
                   reply->status);
  reply_clear (&request->reply);
  request->open = false;
}

static void
on_tick (LoopTimer *timer)
{
  int64_t now = loop_now (test.deployment->loop), since = now - test.traffic_from;

  while (since < END_MS * FT_MS && (int64_t) test.sent * FT_SECOND / RATE < since)
    {
      Request *request = &test.requests[test.sent];
      request->number = ++test.sent;
      request->open = true;
      send_request (request);
    }
  for (unsigned i = 0; i < test.sent; i++)
    if (test.requests[i].open)
      check_request (&test.requests[i]);
  loop_timer_set (test.deployment->loop, timer, now + TICK);
}

/* ---- The platform's and the operator's part of a roll-out ---- */

static void
start_target (void)
{
  DeploymentConf *conf = &test.deployment->conf;

  for (unsigned i = conf->replicas - conf->later; i < conf->replicas; i++)
    deployment_start_replica (test.deployment, &test.deployment->replicas[i], "v2");
}

/* At completed the old replicas stop at once; some seconds after rolled_back the new ones drain. */
static void
follow_state (const char *state)
{
  Deployment *deployment = test.deployment;
  int64_t now = loop_now (deployment->loop);

  if (test.rolled_back_at == 0 && strcmp (state, "rolled_back") == 0)
    test.rolled_back_at = now;
  for (unsigned i = 0; i < deployment->conf.replicas; i++)
    {
      Replica *replica = &deployment->replicas[i];
      if (!is_target (replica) && replica->listed && strcmp (state, "completed") == 0)
        {
          test.runs_cut += replica->calls->len;
          deployment_stop_replica (deployment, replica);
        }
      if (is_target (replica) && test.rolled_back_at && now > test.rolled_back_at + DRAIN_AFTER)
        replica->draining = true;
    }
}

static void
poll_state (char *state)
{
  char seen[32] = "";
  Reply reply;

  deployment_operate (test.deployment, "GET", "/api/Rollouts.Get/model", NULL, 0, &reply);
  const char *at = reply.status == 200 ? strstr (reply.body->str, "\"State\":\"") : NULL;
  if (at && sscanf (at, "\"State\":\"%31[a-z_]", seen) == 1 && strcmp (seen, state) != 0)
    {
      deployment_note (test.deployment, "the roll-out is %s", seen);
      g_strlcpy (state, seen, 32);
    }
  reply_clear (&reply);
}

/* ---- The rule ---- */

static unsigned
count_exposure (unsigned *all, unsigned *too_late)
{
  int64_t until = test.ordered_at + DURATION_S * FT_SECOND;
  unsigned target = 0;

  *all = *too_late = 0;
  for (unsigned i = 0; i < test.arrivals->len; i++)
    {
      const Arrival *arrival = &g_array_index (test.arrivals, Arrival, i);
      if (arrival->at >= test.ordered_at && arrival->at <= until)
        {
          *all += 1;
          target += arrival->target && in_touch (arrival->at);
        }
      /* Its sending was at most a second before. */
      *too_late += arrival->target && test.bad_limit_at && in_touch (arrival->at)
                   && arrival->at > test.bad_limit_at + FT_SECOND;
    }
  return target;
}

int
main (int count, char **values)
{
  DeploymentConf conf = { .entries = 3,
                          .voters = 3,
                          .replicas = 2 * REPLICAS,
                          .later = REPLICAS,
                          .slots = SLOTS,
                          .prefill_ms = 300,
                          .events = 4,
                          .long_events = 60,
                          .event_ms = 100,
                          .moves_versions = true,
                          .fails = fails,
                          .arrived = arrived };
  const char *trouble = g_getenv ("TROUBLE");
  char state[32] = "";
  Node *leader = NULL;
  Reply reply;

  test.trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  test.arrivals = g_array_new (FALSE, FALSE, sizeof (Arrival));
  test.deployment = deployment_new (&conf, count > 1 ? values[1] : "record.txt");
  deployment_start (test.deployment);
  test.timer.fire = on_tick;
  test.traffic_from = loop_now (test.deployment->loop);
  on_tick (&test.timer);
  deployment_run_for (test.deployment, ORDER_AT_MS);
  test.ordered_at = loop_now (test.deployment->loop);
  deployment_operate (test.deployment, "POST", "/api/Rollouts.Start",
                      "{\"Service\":\"model\",\"Target\":\"v2\",\"DurationS\":60}", 4000, &reply);
  deployment_note (test.deployment, "the order of v2 within 60 s gets %u", reply.status);
  if (reply.status != 200)
    return 2;
  reply_clear (&reply);
  start_target ();
  int64_t next_poll = 0;
  while (loop_now (test.deployment->loop) < test.traffic_from + END_MS * FT_MS)
    {
      deployment_run_for (test.deployment, 20);
      if (test.trouble && test.killed_at == 0 && leader && test.in_a_row >= MOVED_OF_LAST)
        {
          test.killed_at = loop_now (test.deployment->loop);
          deployment_kill (test.deployment, leader, RESTART_MS);
        }
      if (loop_now (test.deployment->loop) < next_poll)
        continue;
      next_poll = loop_now (test.deployment->loop) + 400 * FT_MS;
      poll_state (state);
      follow_state (state);
      if (test.killed_at == 0)
        leader = deployment_leader (test.deployment);
    }
  unsigned all, too_late, target = count_exposure (&all, &too_late);
  double allowed = EXPOSURE_SHARE * all + EXPOSURE_SLACK;
  bool broken = target > allowed || too_late > 0;
  deployment_note (test.deployment,
                   "%u requests: %u answered, %u failed, %u cut off; %u runs cut as the old "
                   "replicas stopped; roll-out %s; the bad version got %u of %u requests from "
                   "machines in touch until the time limit, %.0f allowed, and %u later than "
                   "RollbackMs after its 50th bad answer",
                   test.sent, test.answered, test.failed, test.cut, test.runs_cut, state, target,
                   all, allowed, too_late);
  printf ("%s: roll-out %s; bad version got %u of %u (%.0f allowed), %u too late; %u failed, %u "
          "cut off\n",
          broken ? "BROKEN" : "held", state, target, all, allowed, too_late, test.failed, test.cut);
  deployment_free (test.deployment);
  return broken ? 1 : 0;
}
