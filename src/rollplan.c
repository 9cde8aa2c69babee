/* rollplan.c - how much a version that was ordered gets, when everything moves to it, and when the
 * roll-out ends.
 *
 * A bad version may get a small part of the requests only, and whether it is bad may show late. So
 * the version is tried with a small share for as long as the time limit allows, and the move is
 * made as late as it can be and still end in time: the longest answers of late must end on the
 * servers of the version before, which are stopped at once when the roll-out is completed.
 *
 *     |<-- tried with SHARE_SMALL -->|<- steps up ->|<-- moving: drain of the others -->| margin |
 *     order                                                                              limit
 *
 * Before the move the share goes up in steps, so that a version that fails under its full load
 * shows it while the others are still there for most callers. At no time do the target's servers
 * get more than SPENT_MOST of what a bad version may get, until the move is made.
 *
 * When the time cannot hold all this (a short limit, servers that start late), the trial is what is
 * cut: an order says that the move is wanted within its time, and a version that shows itself bad
 * is rolled back in the move as well. Answers under way that may run once only are never cut:
 * rather the limit is passed. A target that has hardly been tried, or cannot carry the load, is not
 * moved to at all; it is rolled back at the limit.
 */
#include "rollplan.h"

#include <math.h>

/* Tuning; each row with its reason. */
#define SHARE_SMALL   0.06 /* some 20 requests a second of 300: a bad version shows within 2 s */
#define SHARE_HALF    0.5
#define SHARE_QUARTER 0.25
#define STEP_UP       (600 * FT_MS)  /* each of two steps: answers of the last one are back */
#define SPENT_MOST    0.6            /* part of what a bad version may get that the trial may use */
#define MARGIN        (1200 * FT_MS) /* before the limit: the last step is committed and read */
#define MARGIN_PART   0.15           /* of the limit, if that is less */
#define DRAIN_LEAST   (500 * FT_MS)
#define DRAIN_PART    0.45 /* of the limit that the move may take: the trial comes first */
#define ANSWERS_LEAST 20   /* judged, before everything moves ... */
#define ANSWERS_WANTED                                                                             \
  40.0                 /* ... and meant to be by then: a service with few requests tries more */
#define SUSPECTED 0.5  /* evidence with which nothing moves on */
#define BAD_MOST  0.15 /* share of bad answers, of either version, with which nothing moves */
#define CARRIES   0.7  /* of the places before that the target must have */
#define SETTLE    (400 * FT_MS) /* entries hear of the move, and of what they sent before */

static int64_t
margin (const PlanInput *facts)
{
  return MIN (MARGIN, (int64_t) (MARGIN_PART * (double) facts->limit_us));
}

/* When everything is to move. */
static int64_t
move_at (const PlanInput *facts)
{
  int64_t most = (int64_t) (DRAIN_PART * (double) facts->limit_us);
  int64_t drain = CLAMP (facts->longest_us + SETTLE, DRAIN_LEAST, MAX (most, DRAIN_LEAST));

  return MAX (0, facts->limit_us - margin (facts) - drain);
}

static double
share_small (const PlanInput *facts, int64_t move)
{
  double by_move = facts->placed * (double) move / (double) MAX (facts->elapsed_us, FT_SECOND);

  return CLAMP (ANSWERS_WANTED / MAX (by_move, 1), SHARE_SMALL, SHARE_QUARTER);
}

static double
share_at (const PlanInput *facts, int64_t move)
{
  if (facts->suspicion >= SUSPECTED || facts->answers < ANSWERS_LEAST)
    return share_small (facts, move);
  if (facts->elapsed_us >= move - STEP_UP)
    return SHARE_HALF;
  if (facts->elapsed_us >= move - 2 * STEP_UP)
    return SHARE_QUARTER;
  return share_small (facts, move);
}

/* How many more of the requests the target may get before it has moved. */
static unsigned
left_by_now (const PlanLimits *limits, const PlanInput *facts)
{
  double allowed = SPENT_MOST * (limits->share * facts->placed + limits->slack);

  return allowed > facts->granted ? (unsigned) (allowed - facts->granted) : 0;
}

static bool
carries (const PlanInput *facts)
{
  return facts->servers > 0 && facts->places >= CARRIES * facts->places_before;
}

/* Failure: the servers of the version before fail a part themselves, for a fault of their own.
 * Symptom: the target's failures look usual beside them, and a bad version gets everything. As long
 * as many answers of either are bad, nothing can be told, and nothing moves. */
static bool
looks_sound (const PlanInput *facts)
{
  return facts->suspicion < SUSPECTED && facts->before <= BAD_MOST && facts->after <= BAD_MOST;
}

static const char *
why_not_moved (const PlanInput *facts)
{
  if (facts->servers == 0)
    return "no server of the version was there in time";
  if (!carries (facts))
    return "its servers cannot carry the load";
  return "it was not shown to be sound in time";
}

static void
plan_trial (const PlanLimits *limits, const PlanInput *facts, PlanStep *step)
{
  int64_t move = move_at (facts);
  bool sound = facts->answers >= ANSWERS_LEAST && looks_sound (facts);
  bool already = facts->in_use && facts->servers > 0;
  bool idle = facts->placed < ANSWERS_LEAST; /* nobody asks, so nobody can meet it */

  if (already || (facts->elapsed_us >= move && (sound || idle) && carries (facts)))
    {
      step->phase = MSG_ROLLOUT_MOVING;
      step->why = "tried";
    }
  else if (facts->elapsed_us >= facts->limit_us - margin (facts) / 2)
    {
      step->phase = MSG_ROLLOUT_ROLLED_BACK;
      step->why = why_not_moved (facts);
    }
  else
    {
      step->share = share_at (facts, move);
      step->left = left_by_now (limits, facts);
    }
}

/* May the servers of the version before stop? An entry that was lost lately may still run requests
 * there. It is waited for, but not beyond the limit: it may have been killed with what it ran. Nor
 * does one long stream hold the move up beyond its limit if it can go on at another server, behind
 * its last event; what may run once only is waited for to its end. */
static bool
may_stop_others (const PlanInput *facts, bool over)
{
  if (over)
    return facts->once_before == 0;
  return facts->running_before == 0 && facts->unheard == 0 && facts->suspicion < SUSPECTED;
}

static void
plan_move (const PlanInput *facts, PlanStep *step)
{
  bool over = facts->elapsed_us >= facts->limit_us - margin (facts) / 2;

  if (facts->servers == 0)
    {
      step->phase = MSG_ROLLOUT_ROLLED_BACK;
      step->why = "all servers of the version are gone";
    }
  else if (facts->phase_us >= SETTLE && may_stop_others (facts, over))
    {
      step->phase = MSG_ROLLOUT_COMPLETED;
      step->why = facts->running_before ? "its time is over, and what runs elsewhere can go on"
                                        : "nothing runs on other versions any more";
    }
}

void
plan_next (const PlanLimits *limits, const PlanInput *facts, PlanStep *step)
{
  *step = (PlanStep){ .phase = facts->phase };
  if (facts->phase > MSG_ROLLOUT_MOVING)
    return;
  if (facts->suspicion >= 1)
    {
      step->phase = MSG_ROLLOUT_ROLLED_BACK;
      step->why = "more of its answers are bad than of the version before";
      return;
    }
  if (facts->phase == MSG_ROLLOUT_TRYING)
    plan_trial (limits, facts, step);
  else
    plan_move (facts, step);
}
