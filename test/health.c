/* health.c - what the scheduler believes of servers and of the connections to them, under load:
 * each test replays a fault and fails without the mechanism that answers it. */
#include "engines.h"

/* A third of the servers goes dark at once while the list still shows them. Each request that meets
 * one is lost or late until they are taken out; connections that fail take them out at once. */
static void
dark_servers_are_found (void)
{
  begin (SERVERS, 6, false);
  load (4, 40, usual);
  for (unsigned i = 0; i < 4; i++)
    world->servers[i].dark = true;
  unsigned from = world->works;
  load (4, 40, usual);
  settle ();
  unsigned failed = 0;
  for (unsigned t = 0; t < 3; t++)
    failed += tally (t, from).failed;
  g_assert_cmpuint (failed, <=, 4 * 6); /* a few each: the first, and the trials */
  for (unsigned i = 0; i < 4; i++)
    world->servers[i].dark = false;
  from = world->works;
  load (6, 40, usual);
  settle ();
  unsigned back = 0;
  for (unsigned i = from; i < world->works; i++)
    back += world->work[i].server >= 0 && world->work[i].server < 4;
  g_assert_cmpuint (back, >, 0); /* they are tried and come back */
  end ();
}

/* One answer takes long at a server that answers others meanwhile. Taken for dark, the server is
 * lost for the worst of a burst. It stays; a server that answers nothing at all is taken out. */
static void
slow_answer_is_not_darkness (void)
{
  SchedStats stats;

  begin (3, 4, false);
  unsigned slow = ask (0, 1000, 100000);
  for (int i = 0; i < 400; i++)
    {
      if (i % 20 == 0)
        ask (0, 500, 10);
      step ();
    }
  sched_silent (world->sched, 1, slow);
  sched_stats (world->sched, &stats);
  g_assert_cmpuint (stats.out, ==, 0);
  unsigned dark = ask (0, 1000, 100000);
  sched_silent (world->sched, 1, dark);
  sched_stats (world->sched, &stats);
  g_assert_cmpuint (stats.out, ==, 1);
  sched_owner_gone (world->sched, 1);
  end ();
}

/* A third of the servers crash at worst load, and others start at their addresses at once. The list
 * shows the lost ones for seconds, their places seem free, and one request after the other is
 * turned away there. The first one says that the server is gone: nothing follows. */
static void
gone_servers_get_nothing (void)
{
  unsigned turned_away = 0;

  begin (SERVERS, 6, false);
  load (4, 40, usual);
  for (unsigned i = 0; i < 4; i++)
    world->servers[i].gone = true;
  unsigned from = world->works;
  load (4, 60, usual);
  settle ();
  for (unsigned i = from; i < world->works; i++)
    turned_away += world->work[i].failed;
  g_assert_cmpuint (turned_away, <=, 4 * 6); /* what was sent before the first came back */
  end ();
}

/* Every server fails a part of its requests. Taking out all that fail leaves nothing; those that
 * are no worse than the others stay. */
static void
common_failures_take_out_few (void)
{
  SchedStats stats;

  begin (SERVERS, 6, false);
  load (4, 40, usual);
  for (unsigned i = 0; i < SERVERS; i++)
    world->servers[i].failing = true;
  for (int i = 0; i < 2000; i++)
    {
      if (i % 10 == 0)
        ask (0, 1000, 50);
      step ();
      sched_stats (world->sched, &stats);
      g_assert_cmpuint (stats.out * 2, <=, stats.servers);
    }
  settle ();
  end ();
}

/* Half of the servers fail four in ten requests, at once, and their places are free again before
 * others'. Callers lose more answers than if servers took turns, while sound servers have room: too
 * many fail for taking them out. What a server has failed makes it dearer. */
static void
gray_servers_get_less (void)
{
  begin (SERVERS, 6, false);
  load (4, 40, usual);
  for (unsigned i = 0; i < SERVERS; i += 2)
    world->servers[i].gray = true;
  unsigned from = world->works, failed = 0, asked = 0;
  load (6, 60, usual);
  settle ();
  for (unsigned t = 0; t < 3; t++)
    {
      Tally got = tally (t, from);
      failed += got.failed;
      asked += got.asked;
    }
  g_test_message ("%u of %u failed", failed, asked);
  g_assert_cmpuint (failed * 100, <=, asked * 8); /* by turns: 20 */
  end ();
}

/* One server of a busy pool begins to fail all that it is newly given, at once, while the long
 * streams that it already runs end well. It is taken out for failing more than the others; the next
 * of those streams ends and brings it back within milliseconds, and so again and again: callers
 * lose an answer each time. What was sent before it was taken out says nothing of what it would do
 * now. */
static void
older_answers_bring_nothing_back (void)
{
  begin (SERVERS, 6, false);
  load (6, 130, usual);
  world->servers[0].failing = true;
  unsigned from = world->works, failed = 0;
  load (6, 130, usual);
  settle ();
  for (unsigned t = 0; t < 3; t++)
    failed += tally (t, from).failed;
  g_test_message ("%u failed, taken out %u times, back after %d ms", failed, world->outs,
                  (int) (MIN (world->least_out_us, FT_SECOND * 60) / FT_MS));
  g_assert_cmpuint (world->outs, >, 0);
  g_assert_cmpint (world->least_out_us, >=, 300 * FT_MS);
  end ();
}

/* One server of a busy pool fails four in ten requests, as do others now and then. Taken out for
 * three failures in a row its places are missing at worst load, and callers wait who would have had
 * an answer from it more often than not. It only gets what no other has a place for. */
static void
partly_failing_server_stays (void)
{
  unsigned failed = 0;

  begin (SERVERS, 6, false);
  load (4, 110, usual);
  world->servers[0].gray = true;
  unsigned from = world->works;
  load (20, 110, usual);
  settle ();
  for (unsigned t = 0; t < 3; t++)
    failed += tally (t, from).failed;
  g_test_message ("%u failed, taken out %u times", failed, world->outs);
  g_assert_cmpuint (world->outs, <=, 2); /* 7 at three in a row */
  g_assert_cmpuint (failed, <=, 20);
  end ();
}

/* ---- Connections ---- */

#define OWNERS   200
#define IDLE_FOR (9 * FT_SECOND) /* a server that keeps connections for ten seconds */

/* The servers to which an owner has connections, as it would name them in an ask. */
static unsigned
kept_of (int64_t last[SERVERS], uint32_t *kept)
{
  unsigned count = 0;

  for (unsigned i = 0; i < SERVERS; i++)
    if (last[i] && world->clock.now - last[i] < IDLE_FOR)
      kept[count++] = sched_server_digest (world->servers[i].id);
  return count;
}

typedef struct
{
  unsigned asked, opened;
} Connections;

/* Owners ask for short answers at so many a second, each naming the servers to which it is
 * connected. Counts what was sent and how much of it needed a new connection. */
static Connections
ask_as_owners (double seconds, double per_s)
{
  static int64_t last[OWNERS][SERVERS];
  Connections out = { 0 };
  unsigned from = world->works;

  memset (last, 0, sizeof last);
  for (int i = 0; i < seconds * 500; i++)
    {
      for (double due = per_s / 500; due > 0 && draw () < due; due -= 1)
        {
          uint32_t kept[SERVERS];
          unsigned owner = (unsigned) (draw () * OWNERS);
          unsigned count = kept_of (last[owner], kept);
          unsigned number = ask_kept (2, 1100, 60, kept, count);
          world->work[number].owner = owner;
        }
      step ();
      for (unsigned j = from; j < world->works; j++)
        {
          Work *work = &world->work[j];
          if (work->server < 0 || work->counted)
            continue;
          int64_t *at = &last[work->owner][work->server];
          work->counted = true;
          out.asked++;
          out.opened += *at == 0 || world->clock.now - *at > IDLE_FOR;
          *at = world->clock.now;
        }
    }
  return out;
}

/* Two hundred entries send a request every few seconds each to twelve servers, a third of which are
 * free. The scheduler sends each where it ends soonest by a hair, hardly ever where its entry is
 * connected, and nearly every caller waits for a new connection. An ask names the servers to which
 * its entry has connections, and one of them is chosen as long as it is about as good. */
static void
kept_connections_are_preferred (void)
{
  begin (SERVERS, 6, true);
  load (4, 30, usual);
  unsigned from = world->works;
  Connections got = ask_as_owners (20, 60);
  settle ();
  Tally tallied = tally (2, from);
  g_test_message ("%u opened for %u, %u of %u in time", got.opened, got.asked, tallied.in_time,
                  tallied.asked);
  g_assert_cmpuint (got.opened * 100, <, got.asked * 40); /* 64 if it is not weighed */
  g_assert_cmpuint (tallied.in_time * 100, >=, tallied.asked * 99);
  end ();
}

/* The same with nearly all places taken: which server is free is no choice, so nearly every place
 * goes to a request whose entry is not connected there. Of those that wait one that is goes first,
 * and callers are on time as often. */
static void
connected_requests_go_first (void)
{
  begin (SERVERS, 6, true);
  load (4, 30, usual);
  unsigned from = world->works;
  Connections got = ask_as_owners (20, 200);
  settle ();
  Tally tallied = tally (2, from);
  g_test_message ("%u opened for %u, %u of %u in time", got.opened, got.asked, tallied.in_time,
                  tallied.asked);
  g_assert_cmpuint (got.opened * 100, <, got.asked * 30); /* 52 if the first one due goes first */
  g_assert_cmpuint (tallied.in_time * 100, >=, tallied.asked * 99);
  end ();
}

/* Servers forget connections that rest for a moment, without a word. Each request that is sent on
 * one is reset, and what may run once only is lost to its caller. After the first only connections
 * that have just been used are taken for such; a while after the last one all are again. */
static void
forgotten_connections_are_feared (void)
{
  SchedResult broke = { .outcome = SCHED_FAILED, .broke = true, .conn_idle_us = 3 * FT_SECOND };
  SchedResult new_broke = { .outcome = SCHED_FAILED, .broke = true };

  begin (4, 6, false);
  for (unsigned i = 0; i < 4; i++)
    {
      ask (0, 1000, 10);
      g_assert_cmpint (world->max_idle_us, >, 60 * FT_SECOND);
    }
  for (unsigned i = 0; i < 2; i++)
    {
      sched_done (world->sched, 1, i, &broke);
      world->servers[world->work[i].server].running--;
      world->work[i].done = true;
    }
  for (unsigned i = 0; i < 8; i++)
    {
      ask (0, 1000, 10); /* at servers where none has broken, too */
      g_assert_cmpint (world->max_idle_us, <, 300 * FT_MS);
    }
  settle ();
  ask (0, 1000, 10);
  g_assert_cmpint (world->max_idle_us, >, 10 * FT_SECOND);
  settle ();
  /* Where new ones break as well, resting is not the cause. */
  for (unsigned i = 0; i < 3; i++)
    {
      unsigned number = ask (0, 1000, 10);
      sched_done (world->sched, 1, number, i == 0 ? &new_broke : &broke);
      world->servers[world->work[number].server].running--;
      world->work[number].done = true;
    }
  ask (0, 1000, 10);
  g_assert_cmpint (world->max_idle_us, >, 60 * FT_SECOND);
  settle ();
  end ();
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/sched/dark", dark_servers_are_found);
  g_test_add_func ("/sched/slow_answer", slow_answer_is_not_darkness);
  g_test_add_func ("/sched/gone", gone_servers_get_nothing);
  g_test_add_func ("/sched/common_failures", common_failures_take_out_few);
  g_test_add_func ("/sched/gray", gray_servers_get_less);
  g_test_add_func ("/sched/stays_out", older_answers_bring_nothing_back);
  g_test_add_func ("/sched/partly_failing", partly_failing_server_stays);
  g_test_add_func ("/sched/kept", kept_connections_are_preferred);
  g_test_add_func ("/sched/connected_first", connected_requests_go_first);
  g_test_add_func ("/sched/forgotten", forgotten_connections_are_feared);
  return g_test_run ();
}
