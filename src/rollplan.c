/* rollplan.c - decides how many requests the target version of a roll-out gets, when all requests
 * move to it, and when the roll-out ends.
 *
 * A bad version may get only a small part of the requests, and it may show its faults late. So the
 * target is tried with a small share for as long as the time limit allows, and the move is made as
 * late as possible. It must leave enough time for the longest recent answers to end on the servers
 * of the previous version, because those are stopped as soon as the roll-out completes.
 *
 *     |<-- trial with SHARE_SMALL -->|<- steps up ->|<-- move: others finish requests -->| margin |
 *     order                                                                                 limit
 *
 * Before the move the share is raised in steps, so that a version that fails under high load shows
 * it while most callers still use the previous one. Until the move, the target's servers get at
 * most TRIAL_BUDGET_PART of what a bad version may get.
 *
 * If the time is too short for all this (a short limit, or servers that start late), the trial is
 * shortened: the order requires the move within its time, and a bad version can be rolled back
 * during the move as well. Running requests that must not be sent twice are never interrupted; the
 * limit is exceeded instead. If the target has hardly been tried or lacks capacity, nothing moves,
 * and it is rolled back at the limit.
 *
 * A voter that takes charge knows the order and its phase from the log, but not what runs and which
 * servers exist. Its counts start at zero, and zero requests on the previous version look like the
 * end of the move. So nothing moves, completes or is rolled back for want of servers before it has
 * had time, has read the list of servers, and, for the end, all entries have reported what they
 * run.
 */
#include "rollplan.h"

#include <math.h>

/* About 20 of 300 requests a second: a bad version is detected within 2 s. */
#define SHARE_SMALL   0.06
#define SHARE_HALF    0.5
#define SHARE_QUARTER 0.25
/* Length of each of the two steps, enough for answers of the last step to arrive. */
#define SHARE_STEP_TIME (600 * FT_MS)
/* Part of the limit for a bad version that the trial may use. */
#define TRIAL_BUDGET_PART 0.6
/* Time before the limit for the last step to be committed and read by operators. */
#define END_MARGIN (1200 * FT_MS)
/* The same as a part of the limit, if that is less. */
#define END_MARGIN_PART 0.15
#define DRAIN_MIN       (500 * FT_MS)
/* Largest part of the limit for the move, so that time for the trial remains. */
#define DRAIN_MAX_PART 0.45
/* Judged answers required before the move. */
#define ANSWERS_MIN 20
/* Judged answers aimed at before the move: a service with few requests gets a larger trial share.
 */
#define ANSWERS_WANTED 40.0
/* Suspicion from which on the share is not raised and nothing moves or completes. */
#define SUSPICION_MAX 0.5
/* Largest share of bad answers, of either version, with which the move may begin. */
#define BAD_SHARE_MAX 0.15
/* Part of the request slots of the previous version that the target must have. */
#define CAPACITY_MIN 0.7
/* Time for entries to link to a voter that took charge, two attempts included. */
#define TAKEOVER_TIME (1500 * FT_MS)
/* The same as a part of the limit, if that is less. */
#define TAKEOVER_PART 0.15
/* Longest wait, beyond the limit, for what a voter that took charge does not know yet. */
#define REPORT_WAIT (12 * FT_SECOND)

/* Whether a voter that took charge has had time to hear the entries, and knows the servers. */
static bool
knows_state (const PlanInput *input)
{
  int64_t time = MIN (TAKEOVER_TIME, (int64_t) (TAKEOVER_PART * (double) input->limit_us));

  return input->listed && input->charge_us >= time;
}

static int64_t
end_margin (const PlanInput *input)
{
  return MIN (END_MARGIN, (int64_t) (END_MARGIN_PART * (double) input->limit_us));
}

/* Planned time of the move, counted from the order. */
static int64_t
planned_move_time (const PlanInput *input)
{
  int64_t drain_max = (int64_t) (DRAIN_MAX_PART * (double) input->limit_us);
  int64_t drain
      = CLAMP (input->longest_us + PLAN_PROPAGATION_TIME, DRAIN_MIN, MAX (drain_max, DRAIN_MIN));

  return MAX (0, input->limit_us - end_margin (input) - drain);
}

static double
small_share (const PlanInput *input, int64_t move)
{
  double requests_by_move
      = input->placed * (double) move / (double) MAX (input->elapsed_us, FT_SECOND);

  return CLAMP (ANSWERS_WANTED / MAX (requests_by_move, 1), SHARE_SMALL, SHARE_QUARTER);
}

static double
trial_share (const PlanInput *input, int64_t move)
{
  if (input->suspicion >= SUSPICION_MAX || input->answers < ANSWERS_MIN)
    return small_share (input, move);
  if (input->elapsed_us >= move - SHARE_STEP_TIME)
    return SHARE_HALF;
  if (input->elapsed_us >= move - 2 * SHARE_STEP_TIME)
    return SHARE_QUARTER;
  return small_share (input, move);
}

/* Number of further requests that the target may get before the move. */
static unsigned
remaining_budget (const PlanLimits *limits, const PlanInput *input)
{
  double allowed = TRIAL_BUDGET_PART * (limits->share * input->placed + limits->slack);

  return allowed > input->granted ? (unsigned) (allowed - input->granted) : 0;
}

static bool
has_capacity (const PlanInput *input)
{
  return input->servers > 0 && input->places >= CAPACITY_MIN * input->places_before;
}

/* If the servers of the previous version fail some requests because of a fault of their own, the
 * failures of a bad target look normal, and it would get all requests. While many answers
 * of either version are bad, no comparison is possible, and nothing moves. */
static bool
appears_sound (const PlanInput *input)
{
  return input->suspicion < SUSPICION_MAX && input->before <= BAD_SHARE_MAX
         && input->after <= BAD_SHARE_MAX;
}

static const char *
reason_not_moved (const PlanInput *input)
{
  if (input->servers == 0)
    return "no server of the version was available in time";
  if (!has_capacity (input))
    return "its servers have too little capacity for the load";
  return "it was not shown to be sound in time";
}

static void
plan_trial (const PlanLimits *limits, const PlanInput *input, PlanStep *step)
{
  int64_t move = planned_move_time (input);
  bool proven_sound = input->answers >= ANSWERS_MIN && appears_sound (input);
  bool already_moved = input->in_use && input->servers > 0;
  /* Without requests no caller can be affected. */
  bool idle = input->placed < ANSWERS_MIN && input->unreported == 0;
  /* A voter that took charge has seen no answer of either version at first. */
  bool may_compare = input->listed && input->charge_us >= PLAN_PROPAGATION_TIME;

  if (may_compare
      && (already_moved
          || (input->elapsed_us >= move && (proven_sound || idle) && has_capacity (input))))
    {
      step->phase = MSG_ROLLOUT_MOVING;
      step->why = "tried";
    }
  else if (input->elapsed_us >= input->limit_us - end_margin (input) / 2
           && (may_compare || input->charge_us >= REPORT_WAIT))
    {
      step->phase = MSG_ROLLOUT_ROLLED_BACK;
      step->why = reason_not_moved (input);
    }
  else
    {
      step->share = trial_share (input, move);
      step->left = remaining_budget (limits, input);
    }
}

/* Whether the servers of the previous version may be stopped. An entry that was lost may still
 * run requests there. It is waited for only until the limit, because it may have been killed
 * together with its requests. A long stream that can continue on another server after its last
 * event does not delay the roll-out beyond the limit either. Requests that must not be sent twice
 * are always waited for, so an entry that is linked but has not reported is waited for beyond the
 * limit. */
static bool
may_stop_previous (const PlanInput *input, bool past_limit)
{
  if (past_limit)
    return input->once_before == 0 && (input->unreported == 0 || input->charge_us >= REPORT_WAIT);
  return input->running_before == 0 && input->unheard == 0 && input->unreported == 0
         && input->suspicion < SUSPICION_MAX;
}

static void
plan_move (const PlanInput *input, PlanStep *step)
{
  bool past_limit = input->elapsed_us >= input->limit_us - end_margin (input) / 2;

  if (!knows_state (input))
    return;
  if (input->servers == 0)
    {
      step->phase = MSG_ROLLOUT_ROLLED_BACK;
      step->why = "all servers of the version are gone";
    }
  else if (input->phase_us >= PLAN_PROPAGATION_TIME && may_stop_previous (input, past_limit))
    {
      step->phase = MSG_ROLLOUT_COMPLETED;
      step->why
          = input->running_before
                ? "the time limit has passed, and the requests on other versions can be continued"
                : "no request is running on other versions";
    }
}

void
plan_next (const PlanLimits *limits, const PlanInput *input, PlanStep *step)
{
  *step = (PlanStep){ .phase = input->phase };
  if (input->phase > MSG_ROLLOUT_MOVING)
    return;
  if (input->suspicion >= 1)
    {
      step->phase = MSG_ROLLOUT_ROLLED_BACK;
      step->why = "more of its answers are bad than of the version before";
      return;
    }
  if (input->phase == MSG_ROLLOUT_TRYING)
    plan_trial (limits, input, step);
  else
    plan_move (input, step);
}
