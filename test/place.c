/* place.c - which scheduler an entry asks for a place, and what it reports to schedulers. The test
 * simulates the schedulers over socket pairs. The event loop is the real one; no check depends on
 * how long anything takes. */
#include "place.h"
#include "count.h"
#include "quota.h"
#include "spent.h"
#include "clock.h"
#include "peer.h"

#include <string.h>

#define GUARD (20 * FT_SECOND)

typedef TestPeer Scheduler;

static Loop *loop;
static Mesh *mesh;
static Place *place;
static Servers *servers;
static LoopTimer guard;
static unsigned grants, refusals;
static SockAddr granted_at; /* the server of the last grant */
static bool granted_leaving;
static char granted_name[32];
static int64_t granted_list_age;
static bool (*stop_condition) (void);

static void
on_guard (LoopTimer *timer)
{
  (void) timer;
  g_error ("the expected event did not occur within 20 s");
}

static void
on_grant (void *host, uint64_t request, const Grant *grant)
{
  const AdapterServer *server = &grant->server;

  (void) host;
  (void) request;
  granted_at = server->addr;
  granted_leaving = server->leaving;
  g_strlcpy (granted_name, server->name, sizeof granted_name);
  granted_list_age = loop_now (loop) - grant->listed_at;
  grants++;
}

static void
on_refuse (void *host, uint64_t request, const SchedRefusal *refusal)
{
  (void) host;
  (void) request;
  g_test_message ("%s", refusal->rule);
  refusals++;
}

static const PlaceOps place_ops = { on_grant, on_refuse };

static void
check_stop_condition (void *data)
{
  (void) data;
  if (stop_condition && stop_condition ())
    {
      stop_condition = NULL;
      loop_stop (loop);
    }
}

static void
run_until (bool (*condition) (void))
{
  stop_condition = condition;
  loop_run (loop);
}

static Scheduler
scheduler (uint32_t ip)
{
  return test_peer_new (loop, mesh, ip, MESH_VOTER, true);
}

static unsigned
count_kind (Scheduler *one, MeshKind kind, uint64_t request)
{
  MeshMsg msg;
  unsigned count = 0;

  while (test_peer_next (one, &msg))
    {
      if (msg.kind == kind && kind == MESH_DONE)
        count += msg.MeshMsg_u.done.request == request;
      else if (msg.kind == kind && kind == MESH_ASK)
        count += msg.MeshMsg_u.ask.request == request;
      codec_clear (CODEC (MeshMsg), &msg);
    }
  return count;
}

static void
set_up (void)
{
  RtLimits limits = { 1, 1, 1, 1 };
  RtCat *cat = rt_cat_new (1, 1, &limits);
  RtService service = { .name = (char *) "s" };
  RtOrg org = { .name = (char *) "o", .rate = 1000, .burst = 1000, .keys = g_ptr_array_new () };
  AdapterServer server = { .id = (char *) "i",
                           .name = (char *) "i",
                           .service = (char *) "s",
                           .domain = (char *) "z",
                           .addr = { 1, 1 },
                           .slots = 4 };
  GArray *list = g_array_new (FALSE, FALSE, sizeof server);

  servers = servers_new ();
  grants = refusals = 0;
  loop = loop_new ();
  guard.fire = on_guard;
  loop_timer_set (loop, &guard, loop_now (loop) + GUARD);
  loop_add_before_wait (loop, check_stop_condition, NULL);
  mesh = test_mesh_new (loop, MESH_ENTRY, 22000);
  place = place_new (loop, mesh, 0x7f000001, &place_ops, NULL);
  rt_cat_add_service (cat, &service, NULL);
  rt_cat_add_org (cat, &org, NULL);
  broker_set_catalogue (place_own_broker (place), cat);
  g_array_append_val (list, server);
  servers_apply_read (servers, list, loop_now (loop));
  broker_set_servers (place_own_broker (place), servers);
  g_array_unref (list);
  g_ptr_array_unref (org.keys);
  rt_cat_unref (cat);
}

static void
tear_down (void)
{
  place_free (place);
  servers_free (servers);
  mesh_free (mesh);
  mesh = NULL;
  loop_timer_stop (loop, &guard);
  loop_free (loop);
}

static void
set_leader (Scheduler *one, uint64_t term)
{
  MeshView view = { .term = term, .leader = one->peer.ip, .proved = true, .entries = 1 };

  one->peer.received_at = loop_now (loop);
  place_apply_view (place, &one->peer, &view);
}

static void
ask (uint64_t number, double cost)
{
  SchedAsk out = { .request = number,
                   .service = "s",
                   .org = "o",
                   .aim_at = loop_now (loop) + FT_SECOND,
                   .limit_at = loop_now (loop) + 10 * FT_SECOND,
                   .end_at = loop_now (loop) + 10 * FT_SECOND };

  place_ask (place, &out, cost);
}

static void
grant (Scheduler *one, uint64_t number)
{
  MeshMsg msg = { .kind = MESH_GRANT };
  char none[] = "";

  msg.MeshMsg_u.grant = (MeshGrant){ .request = number,
                                     .server = (char *) "i",
                                     .name = none,
                                     .ip = 0x0a000001,
                                     .port = 80,
                                     .list_age_ms = 300,
                                     .org_fill = 600 };
  place_message (place, &one->peer, &msg);
}

static unsigned
sum_spent_tokens (Scheduler *one)
{
  MeshMsg msg;
  unsigned spent = 0;

  while (test_peer_next (one, &msg))
    {
      if (msg.kind == MESH_ASK)
        spent += msg.MeshMsg_u.ask.spent_tokens;
      codec_clear (CODEC (MeshMsg), &msg);
    }
  return spent;
}

/* Guards against an organisation exceeding its limit while an entry changes schedulers, since each
 * grants it a part of the limit. The new scheduler is told what others granted since it was last
 * told, and nothing else. */
static void
grants_of_others_are_reported (void)
{
  set_up ();
  Scheduler a = scheduler (11), b = scheduler (12);
  set_leader (&a, 1);
  ask (1, 100);
  grant (&a, 1);
  set_leader (&b, 2);
  ask (2, 50);
  g_assert_cmpuint (sum_spent_tokens (&b), ==, 0); /* b is new: it counts grants from now on */
  grant (&b, 2);
  ask (3, 70);
  grant (&b, 3);
  g_assert_cmpuint (sum_spent_tokens (&b), ==, 0); /* a scheduler is not told its own grants */
  set_leader (&a, 3);
  ask (4, 10);
  g_assert_cmpuint (sum_spent_tokens (&a), ==, 120);
  ask (5, 10);
  g_assert_cmpuint (sum_spent_tokens (&a), ==, 0); /* told only once */
  test_peer_free (&a);
  test_peer_free (&b);
  tear_down ();
}

static unsigned
count_scheduler_changes (Scheduler *one)
{
  unsigned turns = 0;
  MeshMsg msg;

  while (test_peer_next (one, &msg))
    {
      turns += msg.kind == MESH_DONE && msg.MeshMsg_u.done.request == 0;
      codec_clear (CODEC (MeshMsg), &msg);
    }
  return turns;
}

/* Guards against two schedulers granting parts of the same limit. When packets are lost, an entry
 * changes between the voter in charge and a deputy several times a second. Each of them counted the
 * entry as its own for seconds and granted its part of the limits, together 1.7 times the limit of
 * an organisation, so that its callers were served beyond the limit. A scheduler is told when an
 * entry leaves it. */
static void
former_scheduler_is_told (void)
{
  set_up ();
  Scheduler a = scheduler (11), b = scheduler (12);
  set_leader (&a, 1);
  ask (1, 100);
  grant (&a, 1);
  g_assert_cmpuint (count_scheduler_changes (&a), ==, 0);
  set_leader (&b, 2);
  g_assert_cmpuint (count_scheduler_changes (&a), ==, 1);
  g_assert_cmpuint (count_scheduler_changes (&b), ==, 0);
  set_leader (&a, 3);
  g_assert_cmpuint (count_scheduler_changes (&b), ==, 1);
  g_assert_cmpuint (count_scheduler_changes (&a), ==, 0);
  test_peer_free (&a);
  test_peer_free (&b);
  tear_down ();
}

/* The scheduler's side of the same failure: an entry that changed to another scheduler no longer
 * counts, neither as one that asks here nor as one whose part is reserved here, until it asks
 * again. */
static void
departed_entry_is_not_counted (void)
{
  MeshMsg asks = { .kind = MESH_ASK }, turns = { .kind = MESH_DONE };
  char none[] = "", service[] = "s";

  set_up ();
  Broker *broker = place_own_broker (place);
  Scheduler entry = scheduler (31);
  asks.MeshMsg_u.ask = (MeshAsk){ .request = 1,
                                  .service = service,
                                  .org = none,
                                  .avoid = none,
                                  .server = none,
                                  .org_fill_ms = MESH_FILL_UNKNOWN,
                                  .end_in_us = FT_SECOND };
  broker_link_up (broker, &entry.peer);
  broker_message (broker, &entry.peer, &asks);
  g_assert_cmpuint (broker_asker_count (broker), ==, 1);
  broker_message (broker, &entry.peer, &turns);
  g_assert_cmpuint (broker_asker_count (broker), ==, 0);
  g_assert_cmpuint (broker_away_count (broker), ==, 1);
  asks.MeshMsg_u.ask.request = 2;
  broker_message (broker, &entry.peer, &asks);
  g_assert_cmpuint (broker_asker_count (broker), ==, 1);
  g_assert_cmpuint (broker_away_count (broker), ==, 0);
  broker_link_down (broker, &entry.peer);
  test_peer_free (&entry);
  tear_down ();
}

/* Guards against refusals with "part 0.00": after all entries had changed to other schedulers, the
 * first to return to a voter was refused until the voter's next tick. */
static void
first_returning_entry_is_served (void)
{
  MeshMsg asks = { .kind = MESH_ASK }, turns = { .kind = MESH_DONE }, msg;
  char none[] = "", service[] = "s", org[] = "o";
  unsigned granted = 0;

  set_up ();
  Broker *broker = place_own_broker (place);
  Scheduler entry = scheduler (31);
  asks.MeshMsg_u.ask = (MeshAsk){ .request = 1,
                                  .service = service,
                                  .org = org,
                                  .cost_tokens = 100,
                                  .avoid = none,
                                  .server = none,
                                  .org_fill_ms = MESH_FILL_UNKNOWN,
                                  .aim_in_us = FT_SECOND,
                                  .limit_in_us = FT_SECOND,
                                  .end_in_us = FT_SECOND };
  broker_link_up (broker, &entry.peer);
  broker_message (broker, &entry.peer, &turns);
  broker_set_shares_by_heard (broker, 1, 0);
  broker_message (broker, &entry.peer, &asks);
  while (test_peer_next (&entry, &msg))
    {
      granted += msg.kind == MESH_GRANT;
      codec_clear (CODEC (MeshMsg), &msg);
    }
  g_assert_cmpuint (granted, ==, 1);
  broker_link_down (broker, &entry.peer);
  test_peer_free (&entry);
  tear_down ();
}

static LoopTimer tick_timer;

static void
on_tick_timer (LoopTimer *timer)
{
  (void) timer;
  loop_stop (loop);
}

/* Runs the loop for longer than one tick of the entry. */
static void
run_for_one_tick (void)
{
  tick_timer.fire = on_tick_timer;
  loop_timer_set (loop, &tick_timer, loop_now (loop) + 50 * FT_MS);
  loop_run (loop);
}

static void
enable_handover (void)
{
  BrokerConf conf = { .handover_us = 200 * FT_MS };

  broker_configure (place_own_broker (place), &conf);
}

/* Guards against a scheduler that counts an entry as reported before it knows all requests that run
 * there, and against one that grants their places meanwhile. */
static void
report_end_follows_running_requests (void)
{
  MeshMsg msg;
  GString *order = g_string_new (NULL);

  set_up ();
  enable_handover ();
  Scheduler a = scheduler (11), b = scheduler (12);
  set_leader (&a, 1);
  for (uint64_t i = 1; i <= 6; i++)
    {
      ask (i, 10);
      if (i % 2)
        grant (&a, i);
    }
  set_leader (&b, 2);
  while (test_peer_next (&b, &msg))
    {
      if (msg.kind == MESH_ASK)
        g_string_append_c (order, msg.MeshMsg_u.ask.running ? 'r' : 'w');
      else if (msg.kind == MESH_REPORT_END)
        g_string_append_printf (order, "%u", msg.MeshMsg_u.reported.running);
      codec_clear (CODEC (MeshMsg), &msg);
    }
  g_assert_cmpstr (order->str, ==, "rrr3www");
  g_string_free (order, TRUE);
  test_peer_free (&a);
  test_peer_free (&b);
  tear_down ();
}

static void
send_report_end (Broker *broker, Scheduler *entry)
{
  MeshMsg msg = { .kind = MESH_REPORT_END };

  broker_message (broker, &entry->peer, &msg);
}

static unsigned
count_messages (Scheduler *entry, MeshKind kind)
{
  MeshMsg msg;
  unsigned count = 0;

  while (test_peer_next (entry, &msg))
    {
      count += msg.kind == kind;
      codec_clear (CODEC (MeshMsg), &msg);
    }
  return count;
}

static MeshMsg
make_ask (uint64_t number, unsigned cost)
{
  static char none[] = "", service[] = "s", org[] = "o";
  MeshMsg msg = { .kind = MESH_ASK };

  msg.MeshMsg_u.ask = (MeshAsk){ .request = number,
                                 .service = service,
                                 .org = org,
                                 .cost_tokens = cost,
                                 .org_fill = 900,
                                 .aim_in_us = 9 * FT_SECOND,
                                 .limit_in_us = 9 * FT_SECOND,
                                 .end_in_us = 9 * FT_SECOND,
                                 .avoid = none,
                                 .server = none };
  return msg;
}

/* Guards against refusals below a limit, and against granting the whole limit, while half of the
 * entries have not reported yet. A request that is withdrawn while it is held is forgotten. */
static void
request_waits_for_reports (void)
{
  MeshMsg first = make_ask (1, 800), second = make_ask (2, 800), gone = { .kind = MESH_DONE };
  uint64_t held = count_get (COUNT_HELD_ASKS);

  set_up ();
  enable_handover ();
  Broker *broker = place_own_broker (place);
  Scheduler a = scheduler (31), b = scheduler (32);
  broker_link_up (broker, &a.peer);
  broker_link_up (broker, &b.peer);
  broker_set_shares_by_heard (broker, 4, 0);
  broker_take_over (broker);
  send_report_end (broker, &a);
  g_assert_cmpuint (broker_asker_count (broker), ==, 0); /* else a deputy would send lists to it */
  broker_message (broker, &a.peer, &second);
  gone.MeshMsg_u.done.request = 2;
  broker_message (broker, &a.peer, &gone);
  broker_message (broker, &a.peer, &first);
  g_assert_false (test_peer_next (&a, &first));
  g_assert_cmpuint (count_get (COUNT_HELD_ASKS), ==, held + 2);
  g_assert_true (broker_peer_waits (broker, &a.peer));
  broker_link_down (broker, &b.peer); /* b is no longer waited for, so three are expected */
  Scheduler c = scheduler (33);
  broker_link_up (broker, &c.peer);
  send_report_end (broker, &c);
  g_assert_cmpuint (count_messages (&a, MESH_GRANT), ==, 1);
  broker_link_down (broker, &a.peer);
  broker_link_down (broker, &c.peer);
  test_peer_free (&a);
  test_peer_free (&b);
  test_peer_free (&c);
  tear_down ();
}

/* Guards against granting too many places while the entries are divided between schedulers: a
 * deputy that one of three entries asks may grant at most two thirds of the places. */
static void
deputy_grants_only_its_share (void)
{
  MeshView view = { .term = 1, .proved = true, .entries = 3 };
  MeshMsg msg;

  set_up ();
  enable_handover ();
  Scheduler voter = scheduler (11), entry = scheduler (31);
  place_apply_view (place, &voter.peer, &view);
  entry.peer.role = MESH_ENTRY;
  entry.peer.dialled = false;
  place_link_up (place, &entry.peer);
  send_report_end (place_own_broker (place), &entry);
  for (uint64_t i = 1; i <= 4; i++)
    {
      msg = make_ask (i, 0);
      place_message (place, &entry.peer, &msg);
    }
  for (unsigned i = 0; i < 6; i++) /* longer than a handover may take */
    run_for_one_tick ();
  g_assert_cmpuint (count_messages (&entry, MESH_GRANT), ==, 2);
  place_link_down (place, &entry.peer);
  test_peer_free (&voter);
  test_peer_free (&entry);
  tear_down ();
}

/* Guards against two requests on one place: a grant of the former scheduler crosses the withdrawal
 * of its request, after which that scheduler grants the place to another request. */
static void
crossing_grant_is_ignored (void)
{
  set_up ();
  enable_handover ();
  Scheduler a = scheduler (11), b = scheduler (12);
  set_leader (&a, 1);
  ask (1, 10);
  set_leader (&b, 2);
  grant (&a, 1);
  g_assert_cmpuint (grants, ==, 0);
  grant (&b, 1);
  g_assert_cmpuint (grants, ==, 1);
  test_peer_free (&a);
  test_peer_free (&b);
  tear_down ();
}

/* Guards against a request that the new scheduler does not know of, where handovers are off: the
 * grant of the former one comes after the change and is used. */
static void
late_grant_is_reported (void)
{
  MeshMsg msg;
  GString *order = g_string_new (NULL);

  set_up ();
  Scheduler a = scheduler (11), b = scheduler (12);
  set_leader (&a, 1);
  ask (1, 10);
  set_leader (&b, 2);
  grant (&a, 1);
  g_assert_cmpuint (grants, ==, 1);
  while (test_peer_next (&b, &msg))
    {
      if (msg.kind == MESH_ASK)
        g_string_append_c (order, msg.MeshMsg_u.ask.running ? 'r' : 'w');
      else if (msg.kind == MESH_REPORT_END)
        g_string_append_printf (order, "%u", msg.MeshMsg_u.reported.running);
      else if (msg.kind == MESH_DONE)
        g_string_append_c (order, 'd');
      codec_clear (CODEC (MeshMsg), &msg);
    }
  g_assert_cmpstr (order->str, ==, "0wdr");
  g_string_free (order, TRUE);
  test_peer_free (&a);
  test_peer_free (&b);
  tear_down ();
}

/* Guards against taking an entry's silence for nothing: what it runs is known once it has reported,
 * until it turns to another scheduler or is not heard any more. Handovers are off. */
static void
unreported_entries_are_counted (void)
{
  MeshMsg turns = { .kind = MESH_DONE }, report = { .kind = MESH_REPORT_END };

  set_up ();
  Broker *broker = place_own_broker (place);
  Scheduler a = scheduler (31), b = scheduler (32), voter = scheduler (11);
  a.peer.role = b.peer.role = MESH_ENTRY;
  broker_link_up (broker, &voter.peer);
  g_assert_cmpuint (broker_unreported_count (broker, 0), ==, 0);
  broker_link_up (broker, &a.peer);
  broker_link_up (broker, &b.peer);
  g_assert_cmpuint (broker_unreported_count (broker, 0), ==, 2);
  g_assert_cmpuint (broker_reported_entry_count (broker), ==, 0);
  send_report_end (broker, &a);
  report.MeshMsg_u.reported.entries = 7;
  broker_message (broker, &b.peer, &report);
  g_assert_cmpuint (broker_unreported_count (broker, 0), ==, 0);
  g_assert_cmpuint (broker_reported_entry_count (broker), ==, 7);
  g_assert_cmpuint (broker_unreported_count (broker, loop_now (loop) + 1), ==, 2);
  broker_message (broker, &a.peer, &turns);
  g_assert_cmpuint (broker_unreported_count (broker, 0), ==, 1);
  send_report_end (broker, &a);
  g_assert_cmpuint (broker_unreported_count (broker, 0), ==, 0);
  broker_link_down (broker, &b.peer);
  broker_link_up (broker, &b.peer);
  g_assert_cmpuint (broker_unreported_count (broker, 0), ==, 1);
  g_assert_cmpuint (broker_reported_entry_count (broker), ==, 0);
  broker_link_down (broker, &a.peer);
  broker_link_down (broker, &b.peer);
  broker_link_down (broker, &voter.peer);
  test_peer_free (&a);
  test_peer_free (&b);
  test_peer_free (&voter);
  tear_down ();
}

/* Guards against the loss of the accounts of limits when a scheduler crashes. Entries pass on what
 * the former scheduler last reported; a scheduler is not told its own reports. */
static void
account_report_is_passed_on (void)
{
  MeshMsg msg;

  set_up ();
  Scheduler a = scheduler (11), b = scheduler (12);
  set_leader (&a, 1);
  ask (1, 100);
  grant (&a, 1);
  ask (2, 100);
  while (test_peer_next (&a, &msg))
    {
      if (msg.kind == MESH_ASK)
        g_assert_cmpuint (msg.MeshMsg_u.ask.org_fill_ms, ==, MESH_FILL_UNKNOWN);
      codec_clear (CODEC (MeshMsg), &msg);
    }
  set_leader (&b, 2);
  ask (3, 50);
  unsigned reported = 0;
  while (test_peer_next (&b, &msg))
    {
      reported += msg.kind == MESH_ASK && msg.MeshMsg_u.ask.org_fill == 600
                  && msg.MeshMsg_u.ask.org_fill_ms < 1000;
      codec_clear (CODEC (MeshMsg), &msg);
    }
  g_assert_cmpuint (reported, >=, 1);
  test_peer_free (&a);
  test_peer_free (&b);
  tear_down ();
}

/* Guards against refusals by a deputy that no entry has asked before. All voters crash and an entry
 * changes to the deputy, whose share of each limit is 0 until its next tick: it refused an
 * organisation that had used a tenth of its limit. The deputy's share grows with the request, and
 * the report that comes with it says how full the account is. */
static void
first_asker_of_a_deputy_is_served (void)
{
  char none[] = "", service[] = "s", org[] = "o";
  MeshMsg msg = { .kind = MESH_ASK };
  unsigned granted = 0;

  set_up ();
  Scheduler a = scheduler (11), entry = scheduler (13);
  set_leader (&a, 1);
  entry.peer.role = MESH_ENTRY;
  entry.peer.dialled = false;
  place_link_up (place, &entry.peer);
  msg.MeshMsg_u.ask = (MeshAsk){ .request = 1,
                                 .service = service,
                                 .org = org,
                                 .cost_tokens = 100,
                                 .org_fill = 900,
                                 .aim_in_us = FT_SECOND,
                                 .limit_in_us = FT_SECOND,
                                 .end_in_us = FT_SECOND,
                                 .avoid = none,
                                 .server = none };
  place_message (place, &entry.peer, &msg);
  while (test_peer_next (&entry, &msg))
    {
      granted += msg.kind == MESH_GRANT;
      codec_clear (CODEC (MeshMsg), &msg);
    }
  g_assert_cmpuint (granted, ==, 1);
  place_link_down (place, &entry.peer);
  test_peer_free (&a);
  test_peer_free (&entry);
  tear_down ();
}

/* ---- An account that passes between schedulers, on a manual clock ---- */

#define ENTRIES      56
#define ORGS         3 /* at 0.5, 6 and 0.25 times its limit */
#define STEP_MS      2
#define LIMIT        300000.0 /* tokens per second, and of a burst */
#define WINDOW_STEPS (8000 / STEP_MS)
#define STEPS        (24000 / STEP_MS)
#define COST         3000.0

typedef struct
{
  TestClock clock;
  Quota *schedulers[3];
  Spent *entries[ENTRIES];
  char names[ORGS][8];
  double granted[ORGS][STEPS];
  unsigned refused[ORGS];
  uint64_t seed;
} HandoverRun;

static double
handover_draw (HandoverRun *run)
{
  run->seed = run->seed * 6364136223846793005u + 1442695040888963407u;
  return (double) (run->seed >> 11) / 9007199254740992.0;
}

/* Makes one request as place.c and broker.c do, with the reports that go each way. */
static void
handover_ask (HandoverRun *run, unsigned entry, unsigned at, unsigned org, unsigned step)
{
  Quota *quota = run->schedulers[at];
  Spent *spent = run->entries[entry];
  const char *name = run->names[org];
  int64_t now = run->clock.now, age, period, wait;
  double full, elsewhere = spent_take_untold (spent, quota, name, &period);

  if (spent_latest_report (spent, quota, name, &full, &age))
    quota_apply_report (quota, name, full, now - age);
  if (elsewhere > 0)
    quota_charge_remote (quota, name, elsewhere, now - period);
  bool granted = quota_take (quota, name, COST, 0, &wait);
  if (granted)
    {
      spent_record_grant (spent, quota, name, COST);
      run->granted[org][step] += COST;
    }
  else
    run->refused[org]++;
  spent_record_report (spent, quota, name, quota_fill_level (quota, name));
}

/* Scheduler of the entry at this time. The first voter leads for 3 s, the second until it crashes
 * at 15 s. Within 0.2 s the entries change to a deputy, and 0.6 s later back to the first voter. */
static unsigned
handover_scheduler (unsigned entry, unsigned ms)
{
  unsigned turn = entry * 200 / ENTRIES;

  if (ms < 3000)
    return 0;
  if (ms < 15000 + turn)
    return 1;
  return ms < 15600 + turn ? 2 : 0;
}

static double
handover_max_in_window (const HandoverRun *run, unsigned org)
{
  double sum = 0, most = 0;

  for (unsigned i = 0; i < STEPS; i++)
    {
      sum += run->granted[org][i] - (i >= WINDOW_STEPS ? run->granted[org][i - WINDOW_STEPS] : 0);
      most = MAX (most, sum);
    }
  return most;
}

/* Guards against refusals within the limit after a crash of the scheduler, when a deputy and then a
 * voter that led before take over. The voter is told what others granted since it led, which has
 * long been refilled; it took this for recent grants of every organisation but the first one that
 * an entry asks for. Organisations within their limits were refused for seconds. Each grant counts
 * once: organisations within their limits are not refused, and one that sends six times its limit
 * gets no more than the limit. */
static void
account_survives_handovers (void)
{
  static const double rates[ORGS] = { 0.5, 6, 0.25 };
  HandoverRun *run = g_new0 (HandoverRun, 1);

  run->clock = test_clock ();
  run->seed = 11;
  for (unsigned i = 0; i < ENTRIES; i++)
    run->entries[i] = spent_new (&run->clock.base);
  for (unsigned i = 0; i < 3; i++)
    {
      run->schedulers[i] = quota_new (&run->clock.base);
      quota_set_margin (run->schedulers[i], 0.1, 140000, 8, true);
    }
  for (unsigned org = 0; org < ORGS; org++)
    {
      g_snprintf (run->names[org], sizeof run->names[org], "o%u", org);
      for (unsigned i = 0; i < 3; i++)
        quota_set_limit (run->schedulers[i], run->names[org], LIMIT, LIMIT);
    }
  run->clock.now += 60 * FT_SECOND;
  for (unsigned step = 0; step < STEPS; step++)
    {
      run->clock.now += STEP_MS * FT_MS;
      for (unsigned org = 0; org < ORGS; org++)
        {
          double due = rates[org] * LIMIT * STEP_MS / 1e3 / COST;
          unsigned asks = (unsigned) due + (handover_draw (run) < due - (unsigned) due);
          for (unsigned i = 0; i < asks; i++)
            {
              unsigned entry = (unsigned) (handover_draw (run) * ENTRIES);
              handover_ask (run, entry, handover_scheduler (entry, step * STEP_MS), org, step);
            }
        }
    }
  for (unsigned org = 0; org < ORGS; org++)
    g_test_message ("%s: refused %u, most in a window %.0f of %.0f", run->names[org],
                    run->refused[org], handover_max_in_window (run, org), 9 * LIMIT);
  g_assert_cmpuint (run->refused[0], ==, 0);
  g_assert_cmpuint (run->refused[2], ==, 0);
  g_assert_cmpfloat (handover_max_in_window (run, 1), <, 9 * LIMIT * 1.1);
  for (unsigned i = 0; i < ENTRIES; i++)
    spent_free (run->entries[i]);
  for (unsigned i = 0; i < 3; i++)
    quota_free (run->schedulers[i]);
  g_free (run);
}

/* Guards against a place that is never freed: a request granted by one scheduler ended after the
 * entry had changed to another, and the first one kept its place as taken, so that requests were
 * refused although servers were idle. Both schedulers are told of the end. */
static void
all_schedulers_are_told_of_end (void)
{
  SchedResult ok = { .outcome = SCHED_OK };

  set_up ();
  Scheduler a = scheduler (11), b = scheduler (12);
  set_leader (&a, 1);
  ask (1, 0);
  grant (&a, 1);
  set_leader (&b, 2);
  place_end (place, 1, &ok);
  g_assert_cmpuint (count_kind (&a, MESH_DONE, 1), ==, 1);
  g_assert_cmpuint (count_kind (&b, MESH_DONE, 1), ==, 1);
  test_peer_free (&a);
  test_peer_free (&b);
  tear_down ();
}

/* Guards against delays after a start of the whole deployment, when hundreds of entries have no
 * list of servers yet and their callers would wait for it. The grant itself contains the address of
 * the server and the age of the list that names it. A grant whose server is no longer on the
 * scheduler's list marks the server as leaving. */
static void
grant_contains_address (void)
{
  MeshMsg lost = { .kind = MESH_GRANT };
  char none[] = "", id[] = "gone";

  set_up ();
  Scheduler a = scheduler (11);
  set_leader (&a, 1);
  ask (1, 0);
  grant (&a, 1);
  g_assert_cmpuint (granted_at.ip, ==, 0x0a000001);
  g_assert_cmpuint (granted_at.port, ==, 80);
  g_assert_cmpstr (granted_name, ==, "i");
  g_assert_cmpint (granted_list_age, >=, 300 * FT_MS);
  g_assert_false (granted_leaving);
  ask (2, 0);
  lost.MeshMsg_u.grant = (MeshGrant){ .request = 2, .server = id, .name = none };
  place_message (place, &a.peer, &lost);
  g_assert_cmpuint (grants, ==, 2);
  g_assert_true (granted_leaving);
  test_peer_free (&a);
  tear_down ();
}

static bool
is_one_granted (void)
{
  return grants == 1;
}

/* A scheduler stops answering while a request waits there: the entry places the request without it.
 * A late grant is answered with a withdrawal, so that it does not keep the place taken. */
static void
silent_scheduler_is_bypassed (void)
{
  set_up ();
  Scheduler a = scheduler (11);
  set_leader (&a, 1);
  g_assert_cmpstr (place_scheduler_name (place), ==, "voter");
  ask (1, 0);
  run_until (is_one_granted);
  g_assert_cmpstr (place_scheduler_name (place), ==, "own");
  count_kind (&a, MESH_DONE, 1);
  grant (&a, 1);
  g_assert_cmpuint (grants, ==, 1);
  g_assert_cmpuint (refusals, ==, 0);
  test_peer_free (&a);
  tear_down ();
}

static bool
is_any_granted (void)
{
  return grants >= 1;
}

static bool
is_second_decided (void)
{
  return grants >= 2 || refusals > 0;
}

/* Reads messages to the scheduler up to the first notice. False: there is none. *asks: number of
 * requests before it. */
static bool
next_notice (Scheduler *one, MeshNotice *out, unsigned *asks)
{
  MeshMsg msg;
  bool found = false;

  *asks = 0;
  while (!found && test_peer_next (one, &msg))
    {
      *asks += msg.kind == MESH_ASK;
      found = msg.kind == MESH_NOTICE;
      if (found)
        *out = msg.MeshMsg_u.notice;
      if (found)
        g_assert_cmpstr (out->server, ==, "i");
      codec_clear (CODEC (MeshMsg), &msg);
    }
  return found;
}

/* A scheduler that takes over gets the notices of servers before the first request. */
static void
notices_before_requests (void)
{
  Notice notice = { .rate = 2, .backoff_us = 9 * FT_SECOND, .brittleness = 4 };
  MeshNotice reported;
  unsigned asks;

  set_up ();
  Scheduler a = scheduler (11), b = scheduler (12);
  set_leader (&a, 1);
  ask (1, 0);
  grant (&a, 1);
  ask (2, 0);
  place_report_notice (place, 1, "i", &notice);
  g_assert_true (next_notice (&a, &reported, &asks));
  g_assert_cmpuint (reported.request, ==, 1);
  g_assert_cmpuint (reported.rate_milli, ==, 2000);
  g_assert_cmpuint (reported.brittle_milli, ==, 4000);
  set_leader (&b, 2);
  g_assert_true (next_notice (&b, &reported, &asks));
  g_assert_cmpuint (asks, ==, 0);
  g_assert_cmpuint (reported.request, ==, 0);
  g_assert_cmpuint (reported.rate_milli, ==, 2000);
  g_assert_cmpuint (reported.brittle_milli, ==, 4000);
  g_assert_cmpuint (reported.backoff_ms, >, 8000);
  test_peer_free (&a);
  test_peer_free (&b);
  tear_down ();
}

/* An answer without a rate is reported only to a scheduler that applies a rate to the server. */
static void
end_of_rate_is_reported (void)
{
  Notice nothing = { 0 };
  MeshMsg paced = { .kind = MESH_GRANT };
  char none[] = "";
  MeshNotice reported;
  unsigned asks;

  set_up ();
  Scheduler a = scheduler (11);
  set_leader (&a, 1);
  ask (1, 0);
  grant (&a, 1);
  place_report_notice (place, 1, "i", &nothing);
  g_assert_false (next_notice (&a, &reported, &asks));
  ask (2, 0);
  paced.MeshMsg_u.grant
      = (MeshGrant){ .request = 2, .server = (char *) "i", .name = none, .ip = 1, .paced = true };
  place_message (place, &a.peer, &paced);
  place_report_notice (place, 2, "i", &nothing);
  g_assert_true (next_notice (&a, &reported, &asks));
  g_assert_cmpuint (reported.rate_milli, ==, 0);
  test_peer_free (&a);
  tear_down ();
}

/* A scheduler that grants a server that the entry must not use gets the reason before it is asked
 * again. */
static void
unusable_server_is_reported (void)
{
  Notice notice = { .leaving = true };
  int64_t left;
  MeshNotice reported;
  unsigned asks;

  set_up ();
  Scheduler a = scheduler (11);
  set_leader (&a, 1);
  g_assert_null (place_block_reason (place, "i", &left));
  ask (1, 0);
  grant (&a, 1);
  place_report_notice (place, 1, "i", &notice);
  while (next_notice (&a, &reported, &asks))
    ;
  g_assert_cmpstr (place_block_reason (place, "i", &left), ==, "leaving");
  g_assert_true (next_notice (&a, &reported, &asks));
  g_assert_true (reported.leaving);
  test_peer_free (&a);
  tear_down ();
}

/* All servers have announced rates and the voters crash. Waiting requests are not refused while the
 * entry's own scheduler has no share of the rates yet, whether or not it knows how long requests
 * take. */
static void
rates_without_voters (gconstpointer asked_before)
{
  Notice notice = { .rate = 2 };
  SchedResult result = { .outcome = SCHED_OK, .answer_us = 40 * FT_MS };

  set_up ();
  if (asked_before)
    {
      ask (9, 0);
      run_until (is_any_granted);
      place_end (place, 9, &result);
      grants = 0;
    }
  Scheduler a = scheduler (11);
  set_leader (&a, 1);
  run_for_one_tick ();
  ask (1, 0);
  grant (&a, 1);
  place_report_notice (place, 1, "i", &notice);
  run_for_one_tick ();
  ask (2, 0);
  place_link_down (place, &a.peer);
  g_assert_cmpstr (place_scheduler_name (place), ==, "own");
  run_until (is_second_decided);
  g_assert_cmpuint (refusals, ==, 0);
  test_peer_free (&a);
  tear_down ();
}

/* A caller is refused at its organisation's limit and repeats the request at once. Each refusal
 * gives the same promised time in the retry field and in the rule text, else the caller cannot know
 * which one holds. */
static void
repeated_refusal_keeps_promise (void)
{
  BrokerConf conf = { .return_part = 0.25 };
  char none[] = "", service[] = "s", org[] = "o";
  MeshMsg asks = { .kind = MESH_ASK }, refused[2];
  uint64_t promised = count_get (COUNT_RETURNS_PROMISED);

  set_up ();
  Broker *broker = place_own_broker (place);
  Scheduler entry = scheduler (31);
  broker_configure (broker, &conf);
  broker_set_shares (broker, 1, 1, 0);
  broker_link_up (broker, &entry.peer);
  for (uint64_t i = 0; i < 2; i++)
    {
      asks.MeshMsg_u.ask = (MeshAsk){ .request = i + 1,
                                      .service = service,
                                      .org = org,
                                      .avoid = none,
                                      .server = none,
                                      .content = 77,
                                      .cost_tokens = 1000,
                                      .org_fill_ms = MESH_FILL_UNKNOWN,
                                      .aim_in_us = 60 * FT_SECOND,
                                      .end_in_us = 60 * FT_SECOND };
      broker_message (broker, &entry.peer, &asks);
      g_assert_true (test_peer_next (&entry, &refused[i]));
      g_assert_cmpint (refused[i].kind, ==, MESH_REFUSE);
    }
  const MeshRefuse *first = &refused[0].MeshMsg_u.refuse, *again = &refused[1].MeshMsg_u.refuse;
  g_test_message ("%s", first->rule);
  char *reported = g_strdup_printf ("; promised in %u ms", first->retry_after_ms);
  g_assert_true (g_str_has_suffix (first->rule, reported));
  g_assert_cmpuint (first->retry_after_ms, >=, 4000); /* 1,000 tokens at 250 a second */
  g_assert_cmpuint (again->retry_after_ms, <=, first->retry_after_ms);
  g_assert_nonnull (strstr (again->rule, "; promised in "));
  broker_tick (broker);
  g_assert_cmpuint (count_get (COUNT_RETURNS_PROMISED), ==, promised + 1);
  g_free (reported);
  for (unsigned i = 0; i < 2; i++)
    codec_clear (CODEC (MeshMsg), &refused[i]);
  broker_link_down (broker, &entry.peer);
  test_peer_free (&entry);
  tear_down ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/place/use_elsewhere", grants_of_others_are_reported);
  g_test_add_func ("/place/left", former_scheduler_is_told);
  g_test_add_func ("/place/turned_away", departed_entry_is_not_counted);
  g_test_add_func ("/place/back", first_returning_entry_is_served);
  g_test_add_func ("/place/reported", report_end_follows_running_requests);
  g_test_add_func ("/place/waits", request_waits_for_reports);
  g_test_add_func ("/place/part", deputy_grants_only_its_share);
  g_test_add_func ("/place/crossed", crossing_grant_is_ignored);
  g_test_add_func ("/place/late_grant", late_grant_is_reported);
  g_test_add_func ("/place/unreported", unreported_entries_are_counted);
  g_test_add_func ("/place/handover", account_survives_handovers);
  g_test_add_func ("/place/report", account_report_is_passed_on);
  g_test_add_func ("/place/first_asker", first_asker_of_a_deputy_is_served);
  g_test_add_func ("/place/grant", grant_contains_address);
  g_test_add_func ("/place/promised", repeated_refusal_keeps_promise);
  g_test_add_func ("/place/end", all_schedulers_are_told_of_end);
  g_test_add_func ("/place/silent", silent_scheduler_is_bypassed);
  g_test_add_func ("/place/notices_first", notices_before_requests);
  g_test_add_func ("/place/rate_ends", end_of_rate_is_reported);
  g_test_add_func ("/place/withheld", unusable_server_is_reported);
  g_test_add_data_func ("/place/rate_alone", NULL, rates_without_voters);
  g_test_add_data_func ("/place/rate_alone_again", "", rates_without_voters);
  return g_test_run ();
}
