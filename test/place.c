/* place.c - whom an entry asks for a place, and what it tells whom. Schedulers are played by the
 * test at the other end of a socket pair; the loop is real, nothing depends on how long it takes.
 */
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
static SockAddr granted_at; /* what the last grant said of its server */
static bool granted_leaving;
static char granted_name[32];
static int64_t granted_list_age;
static bool (*wanted) (void);

static void
on_guard (LoopTimer *timer)
{
  (void) timer;
  g_error ("nothing happened for too long");
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
check_wanted (void *data)
{
  (void) data;
  if (wanted && wanted ())
    {
      wanted = NULL;
      loop_stop (loop);
    }
}

static void
run_until (bool (*condition) (void))
{
  wanted = condition;
  loop_run (loop);
}

static Scheduler
scheduler (uint32_t ip)
{
  return test_peer (loop, mesh, ip, MESH_VOTER, true);
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
begin (void)
{
  RtLimits limits = { 1, 1, 1, 1 };
  RtCat *cat = rt_cat_new (1, &limits);
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
  loop_add_before_wait (loop, check_wanted, NULL);
  mesh = test_mesh (loop, MESH_ENTRY, 22000);
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
end (void)
{
  place_free (place);
  servers_free (servers);
  mesh_free (mesh);
  mesh = NULL;
  loop_timer_stop (loop, &guard);
  loop_free (loop);
}

static void
in_charge (Scheduler *one, uint64_t term)
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

/* An organisation passes its limit while an entry goes from one scheduler to another: each gives it
 * a part. The second one is told what the first one gave since, and only that. */
static unsigned
spent_told (Scheduler *one)
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

static void
use_elsewhere_is_told (void)
{
  begin ();
  Scheduler a = scheduler (11), b = scheduler (12);
  in_charge (&a, 1);
  ask (1, 100);
  grant (&a, 1);
  in_charge (&b, 2);
  ask (2, 50);
  g_assert_cmpuint (spent_told (&b), ==, 0); /* b is new: it counts from now */
  grant (&b, 2);
  ask (3, 70);
  grant (&b, 3);
  g_assert_cmpuint (spent_told (&b), ==, 0); /* its own grants it knows */
  in_charge (&a, 3);
  ask (4, 10);
  g_assert_cmpuint (spent_told (&a), ==, 120);
  ask (5, 10);
  g_assert_cmpuint (spent_told (&a), ==, 0); /* said once */
  test_peer_end (&a);
  test_peer_end (&b);
  end ();
}

/* Packets are lost, and an entry goes from the voter in charge to a deputy and back, several times
 * a second. Each takes it for its own for seconds and gives away its part of the limits: together
 * they gave 1.7 times an organisation's limit, and callers beyond it were served. Who is left is
 * told. */
static unsigned
turns_told (Scheduler *one)
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

static void
left_scheduler_is_told (void)
{
  begin ();
  Scheduler a = scheduler (11), b = scheduler (12);
  in_charge (&a, 1);
  ask (1, 100);
  grant (&a, 1);
  g_assert_cmpuint (turns_told (&a), ==, 0);
  in_charge (&b, 2);
  g_assert_cmpuint (turns_told (&a), ==, 1);
  g_assert_cmpuint (turns_told (&b), ==, 0);
  in_charge (&a, 3);
  g_assert_cmpuint (turns_told (&b), ==, 1);
  g_assert_cmpuint (turns_told (&a), ==, 0);
  test_peer_end (&a);
  test_peer_end (&b);
  end ();
}

/* The same from the other side: an entry that has turned away is no longer counted, neither as one
 * that asks here nor as one for which this scheduler keeps a part, until it asks again. */
static void
turned_away_is_not_counted (void)
{
  MeshMsg asks = { .kind = MESH_ASK }, turns = { .kind = MESH_DONE };
  char none[] = "", service[] = "s";

  begin ();
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
  test_peer_end (&entry);
  end ();
}

/* Guards against refusals with "part 0.00": all entries had turned away from a voter, and the first
 * that comes back is refused until the voter's next tick. */
static void
first_to_come_back_is_served (void)
{
  MeshMsg asks = { .kind = MESH_ASK }, turns = { .kind = MESH_DONE }, msg;
  char none[] = "", service[] = "s", org[] = "o";
  unsigned granted = 0;

  begin ();
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
  test_peer_end (&entry);
  end ();
}

static LoopTimer ticked;

static void
on_ticked (LoopTimer *timer)
{
  (void) timer;
  loop_stop (loop);
}

/* Longer than a tick of the entry's. */
static void
run_until_ticked (void)
{
  ticked.fire = on_ticked;
  loop_timer_set (loop, &ticked, loop_now (loop) + 50 * FT_MS);
  loop_run (loop);
}

static void
hand_over (void)
{
  BrokerConf conf = { .handover_us = 200 * FT_MS };

  broker_configure (place_own_broker (place), &conf);
}

/* Guards against a scheduler that takes an entry for settled before it knows what runs there, and
 * against one that gives places away in between. */
static void
report_follows_what_runs (void)
{
  MeshMsg msg;
  GString *order = g_string_new (NULL);

  begin ();
  hand_over ();
  Scheduler a = scheduler (11), b = scheduler (12);
  in_charge (&a, 1);
  for (uint64_t i = 1; i <= 6; i++)
    {
      ask (i, 10);
      if (i % 2)
        grant (&a, i);
    }
  in_charge (&b, 2);
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
  test_peer_end (&a);
  test_peer_end (&b);
  end ();
}

static void
say_reported (Broker *broker, Scheduler *entry)
{
  MeshMsg msg = { .kind = MESH_REPORT_END };

  broker_message (broker, &entry->peer, &msg);
}

static unsigned
verdicts (Scheduler *entry, MeshKind kind)
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
ask_of (uint64_t number, unsigned cost)
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

/* Guards against refusals below a limit while half of the entries have not reported yet, and
 * against the whole limit being given away then. Withdrawn meanwhile, an ask is forgotten. */
static void
ask_waits_for_reports (void)
{
  MeshMsg first = ask_of (1, 800), second = ask_of (2, 800), gone = { .kind = MESH_DONE };
  uint64_t held = count_get (COUNT_HELD_ASKS);

  begin ();
  hand_over ();
  Broker *broker = place_own_broker (place);
  Scheduler a = scheduler (31), b = scheduler (32);
  broker_link_up (broker, &a.peer);
  broker_link_up (broker, &b.peer);
  broker_set_shares_by_heard (broker, 4, 0);
  broker_take_over (broker);
  say_reported (broker, &a);
  g_assert_cmpuint (broker_asker_count (broker), ==, 0); /* else a deputy sends it lists */
  broker_message (broker, &a.peer, &second);
  gone.MeshMsg_u.done.request = 2;
  broker_message (broker, &a.peer, &gone);
  broker_message (broker, &a.peer, &first);
  g_assert_false (test_peer_next (&a, &first));
  g_assert_cmpuint (count_get (COUNT_HELD_ASKS), ==, held + 2);
  g_assert_true (broker_peer_waits (broker, &a.peer));
  broker_link_down (broker, &b.peer); /* two of three: b is no longer waited for */
  Scheduler c = scheduler (33);
  broker_link_up (broker, &c.peer);
  say_reported (broker, &c);
  g_assert_cmpuint (verdicts (&a, MESH_GRANT), ==, 1);
  broker_link_down (broker, &a.peer);
  broker_link_down (broker, &c.peer);
  test_peer_end (&a);
  test_peer_end (&b);
  test_peer_end (&c);
  end ();
}

/* Guards against too many places being taken where entries are divided: a deputy that one of three
 * entries asks has two thirds of the places, not more. */
static void
deputy_keeps_to_its_part (void)
{
  MeshView view = { .term = 1, .proved = true, .entries = 3 };
  MeshMsg msg;

  begin ();
  hand_over ();
  Scheduler voter = scheduler (11), entry = scheduler (31);
  place_apply_view (place, &voter.peer, &view);
  entry.peer.role = MESH_ENTRY;
  entry.peer.dialled = false;
  place_link_up (place, &entry.peer);
  say_reported (place_own_broker (place), &entry);
  for (uint64_t i = 1; i <= 4; i++)
    {
      msg = ask_of (i, 0);
      place_message (place, &entry.peer, &msg);
    }
  for (unsigned i = 0; i < 6; i++) /* longer than the handover */
    run_until_ticked ();
  g_assert_cmpuint (verdicts (&entry, MESH_GRANT), ==, 2);
  place_link_down (place, &entry.peer);
  test_peer_end (&voter);
  test_peer_end (&entry);
  end ();
}

/* Guards against one place that runs two requests: a grant crosses the withdrawal by which its
 * scheduler gives the place to another. */
static void
crossed_grant_is_not_used (void)
{
  begin ();
  hand_over ();
  Scheduler a = scheduler (11), b = scheduler (12);
  in_charge (&a, 1);
  ask (1, 10);
  in_charge (&b, 2);
  grant (&a, 1);
  g_assert_cmpuint (grants, ==, 0);
  grant (&b, 1);
  g_assert_cmpuint (grants, ==, 1);
  test_peer_end (&a);
  test_peer_end (&b);
  end ();
}

/* The scheduler dies, and the next one knows nothing of the limits' accounts. Whoever asks it
 * passes on what the one before reported last; a scheduler is not told its own reports. */
static void
report_of_account_is_passed_on (void)
{
  MeshMsg msg;

  begin ();
  Scheduler a = scheduler (11), b = scheduler (12);
  in_charge (&a, 1);
  ask (1, 100);
  grant (&a, 1);
  ask (2, 100);
  while (test_peer_next (&a, &msg))
    {
      g_assert_cmpuint (msg.MeshMsg_u.ask.org_fill_ms, ==, MESH_FILL_UNKNOWN);
      codec_clear (CODEC (MeshMsg), &msg);
    }
  in_charge (&b, 2);
  ask (3, 50);
  unsigned told = 0;
  while (test_peer_next (&b, &msg))
    {
      told += msg.MeshMsg_u.ask.org_fill == 600 && msg.MeshMsg_u.ask.org_fill_ms < 1000;
      codec_clear (CODEC (MeshMsg), &msg);
    }
  g_assert_cmpuint (told, >=, 1);
  test_peer_end (&a);
  test_peer_end (&b);
  end ();
}

/* All voters die, and an entry turns to a deputy that nobody has asked yet: with a part of nothing
 * of each limit until its next tick, it refuses an organisation that has used a tenth of its. The
 * deputy's part grows with the ask, and the report that comes with it says how full the account is.
 */
static void
first_asker_of_a_deputy_is_served (void)
{
  char none[] = "", service[] = "s", org[] = "o";
  MeshMsg msg = { .kind = MESH_ASK };
  unsigned granted = 0;

  begin ();
  Scheduler a = scheduler (11), entry = scheduler (13);
  in_charge (&a, 1);
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
  test_peer_end (&a);
  test_peer_end (&entry);
  end ();
}

/* ---- An account that goes from scheduler to scheduler, on a clock of the test's own ---- */

#define ENTRIES 56
#define ORGS    3 /* at half of its limit, at six times, at a quarter */
#define STEP_MS 2
#define LIMIT   300000.0 /* tokens a second, and at once */
#define WINDOW  (8000 / STEP_MS)
#define TOTAL   (24000 / STEP_MS)
#define COST    3000.0

typedef struct
{
  TestClock clock;
  Quota *schedulers[3];
  Spent *entries[ENTRIES];
  char names[ORGS][8];
  double given[ORGS][TOTAL];
  unsigned refused[ORGS];
  uint64_t seed;
} Handover;

static double
handover_draw (Handover *all)
{
  all->seed = all->seed * 6364136223846793005u + 1442695040888963407u;
  return (double) (all->seed >> 11) / 9007199254740992.0;
}

/* What an ask carries and what comes back, as place.c and broker.c do it. */
static void
handover_ask (Handover *all, unsigned entry, unsigned at, unsigned org, unsigned step)
{
  Quota *quota = all->schedulers[at];
  Spent *spent = all->entries[entry];
  const char *name = all->names[org];
  int64_t now = all->clock.now, age, given_for, wait;
  double full, elsewhere = spent_take_untold (spent, quota, name, &given_for);

  if (spent_latest_report (spent, quota, name, &full, &age))
    quota_apply_report (quota, name, full, now - age);
  if (elsewhere > 0)
    quota_charge_remote (quota, name, elsewhere, now - given_for);
  bool granted = quota_take (quota, name, COST, 0, &wait);
  if (granted)
    {
      spent_record_grant (spent, quota, name, COST);
      all->given[org][step] += COST;
    }
  else
    all->refused[org]++;
  spent_record_report (spent, quota, name, quota_fill_level (quota, name));
}

/* The first voter leads for three seconds, the second until it dies after fifteen; within 0.2 s the
 * entries turn to a deputy, and half a second later to the first voter again. */
static unsigned
handover_leader (unsigned entry, unsigned ms)
{
  unsigned turn = entry * 200 / ENTRIES;

  if (ms < 3000)
    return 0;
  if (ms < 15000 + turn)
    return 1;
  return ms < 15600 + turn ? 2 : 0;
}

static double
handover_most (const Handover *all, unsigned org)
{
  double sum = 0, most = 0;

  for (unsigned i = 0; i < TOTAL; i++)
    {
      sum += all->given[org][i] - (i >= WINDOW ? all->given[org][i - WINDOW] : 0);
      most = MAX (most, sum);
    }
  return most;
}

/* The scheduler dies, a deputy takes over, then a voter that led before. Organisations within their
 * limits are refused for seconds: the voter is told what others gave since it led, which has long
 * been refilled, and of all but the first organisation an entry asks for it takes that for news.
 * What was given is counted once: nobody within its limit is refused, and who sends six times its
 * limit gets no more than it. */
static void
account_is_handed_over (void)
{
  static const double rates[ORGS] = { 0.5, 6, 0.25 };
  Handover *all = g_new0 (Handover, 1);

  all->clock = test_clock ();
  all->seed = 11;
  for (unsigned i = 0; i < ENTRIES; i++)
    all->entries[i] = spent_new (&all->clock.base);
  for (unsigned i = 0; i < 3; i++)
    {
      all->schedulers[i] = quota_new (&all->clock.base);
      quota_set_margin (all->schedulers[i], 0.1, 140000, 8, true);
    }
  for (unsigned org = 0; org < ORGS; org++)
    {
      g_snprintf (all->names[org], sizeof all->names[org], "o%u", org);
      for (unsigned i = 0; i < 3; i++)
        quota_set_limit (all->schedulers[i], all->names[org], LIMIT, LIMIT);
    }
  all->clock.now += 60 * FT_SECOND;
  for (unsigned step = 0; step < TOTAL; step++)
    {
      all->clock.now += STEP_MS * FT_MS;
      for (unsigned org = 0; org < ORGS; org++)
        {
          double due = rates[org] * LIMIT * STEP_MS / 1e3 / COST;
          unsigned asks = (unsigned) due + (handover_draw (all) < due - (unsigned) due);
          for (unsigned i = 0; i < asks; i++)
            {
              unsigned entry = (unsigned) (handover_draw (all) * ENTRIES);
              handover_ask (all, entry, handover_leader (entry, step * STEP_MS), org, step);
            }
        }
    }
  for (unsigned org = 0; org < ORGS; org++)
    g_test_message ("%s: refused %u, most in a window %.0f of %.0f", all->names[org],
                    all->refused[org], handover_most (all, org), 9 * LIMIT);
  g_assert_cmpuint (all->refused[0], ==, 0);
  g_assert_cmpuint (all->refused[2], ==, 0);
  g_assert_cmpfloat (handover_most (all, 1), <, 9 * LIMIT * 1.1);
  for (unsigned i = 0; i < ENTRIES; i++)
    spent_free (all->entries[i]);
  for (unsigned i = 0; i < 3; i++)
    quota_free (all->schedulers[i]);
  g_free (all);
}

/* Requests are refused before idle servers: a request granted by one scheduler ended while another
 * was asked, and the first one's ledger kept its place for ever. Both are told of the end. */
static void
all_are_told_of_the_end (void)
{
  SchedResult ok = { .outcome = SCHED_OK };

  begin ();
  Scheduler a = scheduler (11), b = scheduler (12);
  in_charge (&a, 1);
  ask (1, 0);
  grant (&a, 1);
  in_charge (&b, 2);
  place_end (place, 1, &ok);
  g_assert_cmpuint (count_kind (&a, MESH_DONE, 1), ==, 1);
  g_assert_cmpuint (count_kind (&b, MESH_DONE, 1), ==, 1);
  test_peer_end (&a);
  test_peer_end (&b);
  end ();
}

/* After a start of everything hundreds of entries have no list of servers yet, and their callers
 * wait for it. The grant itself says where the server is and how old the list is that names it. One
 * whose server the scheduler's list has lost says that it leaves. */
static void
grant_says_where (void)
{
  MeshMsg lost = { .kind = MESH_GRANT };
  char none[] = "", id[] = "gone";

  begin ();
  Scheduler a = scheduler (11);
  in_charge (&a, 1);
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
  test_peer_end (&a);
  end ();
}

static bool
is_granted (void)
{
  return grants == 1;
}

/* The scheduler falls silent while a request waits there: the request is placed without it. Its
 * late verdict is answered by a withdrawal, so that it does not hold the place. */
static void
silent_scheduler_is_passed_over (void)
{
  begin ();
  Scheduler a = scheduler (11);
  in_charge (&a, 1);
  g_assert_cmpstr (place_scheduler_name (place), ==, "voter");
  ask (1, 0);
  run_until (is_granted);
  g_assert_cmpstr (place_scheduler_name (place), ==, "own");
  count_kind (&a, MESH_DONE, 1);
  grant (&a, 1);
  g_assert_cmpuint (grants, ==, 1);
  g_assert_cmpuint (refusals, ==, 0);
  test_peer_end (&a);
  end ();
}

static bool
one_granted (void)
{
  return grants >= 1;
}

static bool
one_more_granted (void)
{
  return grants >= 2 || refusals > 0;
}

/* Reads what a scheduler was sent up to its first notice; false: none. asks: those before it. */
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

/* A scheduler that takes over hears what servers said before it hears of any request. */
static void
notices_before_requests (void)
{
  Notice said = { .rate = 2, .backoff_us = 9 * FT_SECOND };
  MeshNotice told;
  unsigned asks;

  begin ();
  Scheduler a = scheduler (11), b = scheduler (12);
  in_charge (&a, 1);
  ask (1, 0);
  grant (&a, 1);
  ask (2, 0);
  place_report_notice (place, 1, "i", &said);
  g_assert_true (next_notice (&a, &told, &asks));
  g_assert_cmpuint (told.request, ==, 1);
  g_assert_cmpuint (told.rate_milli, ==, 2000);
  in_charge (&b, 2);
  g_assert_true (next_notice (&b, &told, &asks));
  g_assert_cmpuint (asks, ==, 0);
  g_assert_cmpuint (told.request, ==, 0);
  g_assert_cmpuint (told.rate_milli, ==, 2000);
  g_assert_cmpuint (told.backoff_ms, >, 8000);
  test_peer_end (&a);
  test_peer_end (&b);
  end ();
}

/* An answer without a rate is told only to a scheduler that holds the server to one. */
static void
end_of_a_rate_is_told (void)
{
  Notice nothing = { 0 };
  MeshMsg paced = { .kind = MESH_GRANT };
  char none[] = "";
  MeshNotice told;
  unsigned asks;

  begin ();
  Scheduler a = scheduler (11);
  in_charge (&a, 1);
  ask (1, 0);
  grant (&a, 1);
  place_report_notice (place, 1, "i", &nothing);
  g_assert_false (next_notice (&a, &told, &asks));
  ask (2, 0);
  paced.MeshMsg_u.grant
      = (MeshGrant){ .request = 2, .server = (char *) "i", .name = none, .ip = 1, .paced = true };
  place_message (place, &a.peer, &paced);
  place_report_notice (place, 2, "i", &nothing);
  g_assert_true (next_notice (&a, &told, &asks));
  g_assert_cmpuint (told.rate_milli, ==, 0);
  test_peer_end (&a);
  end ();
}

/* A scheduler that grants a server which the entry may not use is told why, before it is asked
 * again. */
static void
withheld_grant_is_explained (void)
{
  Notice said = { .leaving = true };
  int64_t left;
  MeshNotice told;
  unsigned asks;

  begin ();
  Scheduler a = scheduler (11);
  in_charge (&a, 1);
  g_assert_null (place_block_reason (place, "i", &left));
  ask (1, 0);
  grant (&a, 1);
  place_report_notice (place, 1, "i", &said);
  while (next_notice (&a, &told, &asks))
    ;
  g_assert_cmpstr (place_block_reason (place, "i", &left), ==, "leaving");
  g_assert_true (next_notice (&a, &told, &asks));
  g_assert_true (told.leaving);
  test_peer_end (&a);
  end ();
}

/* The voters die, and all servers name rates: what waits is not refused while the entry's own
 * scheduler has no part of the rates yet, whether or not it knows how long requests take. */
static void
rate_of_an_entry_alone (gconstpointer asked_before)
{
  Notice said = { .rate = 2 };
  SchedResult result = { .outcome = SCHED_OK, .answer_us = 40 * FT_MS };

  begin ();
  if (asked_before)
    {
      ask (9, 0);
      run_until (one_granted);
      place_end (place, 9, &result);
      grants = 0;
    }
  Scheduler a = scheduler (11);
  in_charge (&a, 1);
  run_until_ticked ();
  ask (1, 0);
  grant (&a, 1);
  place_report_notice (place, 1, "i", &said);
  run_until_ticked ();
  ask (2, 0);
  place_link_down (place, &a.peer);
  g_assert_cmpstr (place_scheduler_name (place), ==, "own");
  run_until (one_more_granted);
  g_assert_cmpuint (refusals, ==, 0);
  test_peer_end (&a);
  end ();
}

/* An organisation's caller is refused at its limit and repeats the request at once. Both refusals
 * say the same promised time, in the advice as in the rule, or the caller cannot know which holds.
 */
static void
refusal_at_a_limit_promises (void)
{
  BrokerConf conf = { .return_part = 0.25 };
  char none[] = "", service[] = "s", org[] = "o";
  MeshMsg asks = { .kind = MESH_ASK }, refused[2];
  uint64_t promised = count_get (COUNT_RETURNS_PROMISED);

  begin ();
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
  char *told = g_strdup_printf ("; promised in %u ms", first->retry_after_ms);
  g_assert_true (g_str_has_suffix (first->rule, told));
  g_assert_cmpuint (first->retry_after_ms, >=, 4000); /* 1,000 of 250 tokens a second */
  g_assert_cmpuint (again->retry_after_ms, <=, first->retry_after_ms);
  g_assert_nonnull (strstr (again->rule, "; promised in "));
  broker_tick (broker);
  g_assert_cmpuint (count_get (COUNT_RETURNS_PROMISED), ==, promised + 1);
  g_free (told);
  for (unsigned i = 0; i < 2; i++)
    codec_clear (CODEC (MeshMsg), &refused[i]);
  broker_link_down (broker, &entry.peer);
  test_peer_end (&entry);
  end ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/place/use_elsewhere", use_elsewhere_is_told);
  g_test_add_func ("/place/left", left_scheduler_is_told);
  g_test_add_func ("/place/turned_away", turned_away_is_not_counted);
  g_test_add_func ("/place/back", first_to_come_back_is_served);
  g_test_add_func ("/place/reported", report_follows_what_runs);
  g_test_add_func ("/place/waits", ask_waits_for_reports);
  g_test_add_func ("/place/part", deputy_keeps_to_its_part);
  g_test_add_func ("/place/crossed", crossed_grant_is_not_used);
  g_test_add_func ("/place/handover", account_is_handed_over);
  g_test_add_func ("/place/report", report_of_account_is_passed_on);
  g_test_add_func ("/place/first_asker", first_asker_of_a_deputy_is_served);
  g_test_add_func ("/place/grant", grant_says_where);
  g_test_add_func ("/place/promised", refusal_at_a_limit_promises);
  g_test_add_func ("/place/end", all_are_told_of_the_end);
  g_test_add_func ("/place/silent", silent_scheduler_is_passed_over);
  g_test_add_func ("/place/notices_first", notices_before_requests);
  g_test_add_func ("/place/rate_ends", end_of_a_rate_is_told);
  g_test_add_func ("/place/withheld", withheld_grant_is_explained);
  g_test_add_data_func ("/place/rate_alone", NULL, rate_of_an_entry_alone);
  g_test_add_data_func ("/place/rate_alone_again", "", rate_of_an_entry_alone);
  return g_test_run ();
}
