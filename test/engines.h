/* engines.h - a scheduler on a clock of the test's own, before a small model of engines that run,
 * fail and vanish as the test says. */
#ifndef TEST_ENGINES_H
#define TEST_ENGINES_H

#include "clock.h"
#include "scheduler.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* ---- A model of engines: places, prompts one after another, tokens at one speed ---- */

#define SERVERS 12
#define JOBS    20000

typedef struct
{
  char id[16];
  double speed; /* times the normal duration */
  bool dark;    /* takes no connection */
  bool gone;    /* another answers at its address and runs nothing */
  bool failing; /* answers with failure */
  bool gray;    /* so to four in ten requests */
  double rate;  /* its answers name it, requests a second; 0: none */
  unsigned running;
  int64_t prompts_until;
} Server;

typedef struct
{
  int64_t arrived, sent_at, first_at, end_at; /* 0: not yet */
  unsigned tier, prompt, output;
  int server; /* -1: waits */
  bool first_told, refused, done, failed;
  unsigned owner; /* by ask_as_owners */
  bool counted;
  int64_t refused_after, advice;
  bool promised; /* the refusal's rule says that the advice is a promise */
  double rate;   /* its answer named it */
} Work;

typedef struct
{
  TestClock clock;
  Sched *sched;
  int64_t max_idle_us;  /* of the last grant */
  int64_t out_at;       /* when the first server was last taken out */
  unsigned outs;        /* how often */
  int64_t least_out_us; /* the shortest time from there until it was back */
  Server servers[SERVERS];
  unsigned count, slots;
  Work *work;
  unsigned works;
  int64_t aim, patience;
  const char *org; /* that asks from now on; NULL: "o" */
  double prompt_us, growth,
      latency_us; /* a prompt of n: latency + n x prompt_us x (1 + n x growth) */
  uint64_t seed;
} World;

static World *world;

static inline double
draw (void)
{
  world->seed = world->seed * 6364136223846793005u + 1442695040888963407u;
  return (double) (world->seed >> 11) / 9007199254740992.0;
}

static inline void
on_grant (void *host, uint64_t owner, uint64_t request, const char *org, const char *id,
          int64_t max_idle_us)
{
  Work *work = &world->work[request];

  (void) host;
  (void) owner;
  (void) org;
  world->max_idle_us = max_idle_us;
  work->server = atoi (id + 1);
  work->sent_at = world->clock.now;
  Server *server = &world->servers[work->server];
  server->running++;
  g_assert_cmpuint (server->running, <=, world->slots); /* never beyond the places */
  if (server->dark || server->gone)
    {
      work->end_at = world->clock.now + 1 * FT_MS;
      work->failed = true;
      return;
    }
  int64_t start = MAX (world->clock.now, server->prompts_until);
  double prompt = work->prompt * world->prompt_us * (1 + work->prompt * world->growth);
  server->prompts_until = start + (int64_t) (prompt * server->speed);
  work->first_at = server->prompts_until + (int64_t) (world->latency_us + 18000 * server->speed);
  work->end_at = work->first_at + (int64_t) (work->output * 6000 * server->speed);
  if (server->failing || (server->gray && draw () < 0.4))
    {
      work->end_at = world->clock.now + 20 * FT_MS;
      work->failed = true;
    }
}

static inline void
on_refuse (void *host, uint64_t owner, uint64_t request, const SchedRefusal *refusal)
{
  Work *work = &world->work[request];

  (void) host;
  (void) owner;
  work->refused = work->done = true;
  work->refused_after = world->clock.now - work->arrived;
  work->advice = refusal->retry_after_us;
  work->promised = strstr (refusal->rule, "; promised in ") != NULL;
  g_assert_true (*refusal->rule);
}

static inline void
on_unused (void *host, const char *org, double cost)
{
  (void) host;
  (void) org;
  (void) cost;
}

static inline void
on_believes (void *host, const char *server, bool out, const char *why, int64_t for_us)
{
  (void) host;
  (void) why;
  (void) for_us;
  if (strcmp (server, "s0") != 0)
    return;
  if (!out)
    {
      world->least_out_us = MIN (world->least_out_us, world->clock.now - world->out_at);
      return;
    }
  world->out_at = world->clock.now;
  world->outs++;
}

static const SchedOps ops = { on_grant, on_refuse, on_unused, on_believes, NULL, NULL };

static inline void
give_list (void)
{
  SchedServer list[SERVERS];

  for (unsigned i = 0; i < world->count; i++)
    list[i] = (SchedServer){ world->servers[i].id, "s", "d", world->slots, false, 0, NULL };
  sched_set_servers (world->sched, list, world->count);
}

/* One in three servers is more than four times slower, as in pools of several generations. */
static inline void
begin (unsigned servers, unsigned slots, bool unlike)
{
  SchedServiceConf conf = { true, 3, 0 };

  world = g_new0 (World, 1);
  world->clock = test_clock ();
  world->seed = 7;
  world->least_out_us = INT64_MAX;
  world->count = servers;
  world->slots = slots;
  world->aim = 800 * FT_MS;
  world->patience = 3200 * FT_MS;
  world->prompt_us = 20;
  world->work = g_new0 (Work, JOBS);
  world->sched = sched_new (&world->clock.base, &ops, NULL);
  for (unsigned i = 0; i < servers; i++)
    {
      snprintf (world->servers[i].id, sizeof world->servers[i].id, "s%u", i);
      world->servers[i].speed = unlike && i % 3 == 2 ? 3.0 : 0.68;
    }
  sched_set_service (world->sched, "s", &conf);
  give_list ();
}

static inline void
end (void)
{
  sched_free (world->sched);
  g_free (world->work);
  g_free (world);
}

static inline unsigned
ask_kept (unsigned tier, unsigned prompt, unsigned output, const uint32_t *kept, unsigned count)
{
  unsigned number = world->works++;
  Work *work = &world->work[number];
  int64_t now = world->clock.now;

  *work = (Work){ .arrived = now, .tier = tier, .prompt = prompt, .output = output, .server = -1 };
  SchedAsk ask = { .owner = 1,
                   .request = number,
                   .service = "s",
                   .org = world->org ? world->org : "o",
                   .tier = tier,
                   .stream = true,
                   .repeatable = true,
                   .prompt_tokens = prompt,
                   .output_tokens = output,
                   .gap_us = 300 * FT_MS,
                   .aim_at = now + world->aim,
                   .limit_at = now + world->patience,
                   .end_at = now + 12 * FT_SECOND,
                   .kept = kept,
                   .kept_count = count };
  sched_ask (world->sched, &ask);
  return number;
}

static inline unsigned
ask (unsigned tier, unsigned prompt, unsigned output)
{
  return ask_kept (tier, prompt, output, NULL, 0);
}

static inline void
finish (unsigned number, Work *work)
{
  SchedResult result = { .outcome = SCHED_OK };
  Server *server = &world->servers[work->server];

  work->done = true;
  server->running--;
  if (work->failed)
    result.outcome = server->dark ? SCHED_UNREACHED : server->gone ? SCHED_GONE : SCHED_FAILED;
  else
    result.event_us = (int64_t) (18000 * server->speed);
  sched_done (world->sched, 1, number, &result);
}

/* The head of the answer has come. */
static inline void
tell_notice (unsigned number)
{
  Work *work = &world->work[number];
  Notice notice = { .rate = world->servers[work->server].rate };

  work->rate = notice.rate;
  sched_notice (world->sched, 1, number, world->servers[work->server].id, &notice);
}

static inline void
step (void)
{
  world->clock.now += 2 * FT_MS;
  for (unsigned i = 0; i < world->works; i++)
    {
      Work *work = &world->work[i];
      if (work->server < 0 || work->done)
        continue;
      if (!work->first_told && work->first_at && work->first_at <= world->clock.now)
        {
          work->first_told = true;
          tell_notice (i);
          sched_first_event (world->sched, 1, i, work->first_at - work->sent_at);
        }
      if (work->end_at <= world->clock.now)
        finish (i, work);
    }
  if (world->clock.now % (20 * FT_MS) == 0)
    sched_tick (world->sched);
}

/* Sends per_s requests a second of three tiers for seconds. */
static inline void
load (double seconds, double per_s, const double *parts)
{
  double due = 0;

  for (int i = 0; i < seconds * 500; i++)
    {
      due += per_s / 500;
      while (due >= 1)
        {
          due -= 1;
          double which = draw (), size = 0.4 + 1.2 * draw ();
          if (which < parts[0])
            ask (0, (unsigned) (3700 * size), (unsigned) (120 * size));
          else if (which < parts[0] + parts[1])
            ask (1, (unsigned) (2900 * size), (unsigned) (50 * size));
          else
            ask (2, (unsigned) (1100 * size), (unsigned) (170 * size));
        }
      step ();
    }
}

static inline void
settle (void)
{
  for (int i = 0; i < 10000; i++)
    step ();
}

typedef struct
{
  unsigned asked, in_time, refused, failed;
  int64_t late_refusal; /* the longest that one was held */
} Tally;

static inline Tally
tally (unsigned tier, unsigned from)
{
  Tally out = { 0 };

  for (unsigned i = from; i < world->works; i++)
    {
      const Work *work = &world->work[i];
      if (work->tier != tier)
        continue;
      g_assert_true (work->done); /* each request gets a verdict and an end */
      out.asked++;
      out.refused += work->refused;
      out.failed += work->failed;
      out.in_time
          += !work->refused && !work->failed && work->first_at - work->arrived <= world->aim;
      out.late_refusal = MAX (out.late_refusal, work->refused ? work->refused_after : 0);
    }
  return out;
}

static const double usual[] = { 0.32, 0.24, 0.44 }, only_low[] = { 0, 0, 1 };

#endif
