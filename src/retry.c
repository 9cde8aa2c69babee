/* retry.c - the only place that decides whether a request is sent again.
 *
 * Guarantees: a request that is not idempotent runs at most once, and callers are told "not run"
 * only when that is true. Once the first byte is handed to a connection the request may have run,
 * whatever happens to the connection; only a statement of the server proves that it did not.
 *
 * A silence proves nothing: the server may go on, and its run may be the only copy of an answer of
 * which the caller has a part. It ends a try only when another server has a place for the next one.
 */
#include "retry.h"

#define LEFT_MIN (30 * FT_MS) /* less is not enough for a connection and an answer */
/* Tries that reach no server, or another one; after that a retry by the caller may do better. */
#define UNREACHED_MAX 4

static bool
is_repeatable (const RetryFacts *facts)
{
  return facts->kind == RT_IDEMPOTENT || (facts->kind == RT_STREAM && facts->resumable);
}

/* Only the streams of some routes can be resumed, and only after an event with an id. */
static bool
is_resumable (const RetryFacts *facts)
{
  return facts->is_stream && facts->kind == RT_STREAM && facts->resumable && !facts->past_last_id;
}

static bool
has_attempts (const RetryFacts *facts)
{
  return facts->sends < facts->most_sends && facts->left_us > LEFT_MIN;
}

static bool
may_send_again (const RetryFacts *facts)
{
  return has_attempts (facts) && facts->budget;
}

static RetryStep
give_up (const RetryFacts *facts)
{
  if (facts->begun)
    return RETRY_ABORT;
  return facts->may_have_run ? RETRY_ANSWER_UNKNOWN : RETRY_ANSWER_NOT_RUN;
}

/* After a try that reached no server. The rest of a begun answer cannot be had by the caller's own
 * retry, so it is looked for as long as there is time. */
static RetryStep
after_unreached (const RetryFacts *facts, bool budget)
{
  if (facts->left_us <= LEFT_MIN)
    return give_up (facts);
  if (facts->begun)
    return budget && facts->unreached < UNREACHED_MAX ? RETRY_RESUME : RETRY_RESUME_LATER;
  return budget && facts->unreached < UNREACHED_MAX ? RETRY_AGAIN : give_up (facts);
}

/* A request that crashes servers would crash as many as its route allows tries, each time a caller
 * sends it. A request whose content crashed a server before is therefore not sent again. */
static RetryStep
after_break (const RetryFacts *facts)
{
  if (!is_repeatable (facts) || !has_attempts (facts) || facts->suspect)
    return give_up (facts);
  if (!facts->budget)
    return facts->begun ? RETRY_RESUME_LATER : give_up (facts);
  return facts->begun ? RETRY_RESUME : RETRY_AGAIN;
}

/* A server that is asked to resume the stream knows whether there is more of it. Without one the
 * caller is shown as much as this instance was: the end of a connection. */
static RetryStep
after_unconfirmed_end (const RetryFacts *facts)
{
  if (is_repeatable (facts) && may_send_again (facts) && !facts->suspect)
    return RETRY_RESUME;
  return facts->unframed ? RETRY_DELIVER : RETRY_ABORT;
}

/* Another server's answer is as good if the request may run again. Nothing else is lost by waiting
 * until the caller's time is over. */
static RetryStep
after_undecided_end (const RetryFacts *facts)
{
  if (!is_repeatable (facts) || !may_send_again (facts) || facts->suspect)
    return RETRY_WAIT;
  return facts->begun ? RETRY_RESUME : RETRY_AGAIN;
}

/* When the connection breaks during a long answer that cannot be resumed, there is no position to
 * resume from; requesting it again as if it were a stream made the process end. */
static RetryStep
after_partial_answer (RetryEvent event, const RetryFacts *facts)
{
  switch (event)
    {
    case RETRY_ANSWERED:
      return RETRY_DELIVER;
    case RETRY_SILENT:
    case RETRY_UNDECIDED:
      return RETRY_WAIT;
    case RETRY_UNCONFIRMED:
      return facts->unframed ? RETRY_DELIVER : RETRY_ABORT;
    default:
      return RETRY_ABORT;
    }
}

RetryStep
retry_next (RetryEvent event, const RetryFacts *facts)
{
  if (facts->begun && !is_resumable (facts))
    return after_partial_answer (event, facts);
  switch (event)
    {
    case RETRY_ANSWERED:
      return RETRY_DELIVER;
    case RETRY_NOT_CONNECTED:
      return after_unreached (facts, true);
    case RETRY_OTHER_SERVER:
      return after_unreached (facts, facts->budget);
    case RETRY_REJECTED:
      if (facts->begun && has_attempts (facts))
        return RETRY_RESUME_LATER;
      return may_send_again (facts) ? RETRY_AGAIN : give_up (facts);
    case RETRY_FAILURE:
      if (facts->begun)
        return after_break (facts);
      return is_repeatable (facts) && may_send_again (facts) ? RETRY_AGAIN : RETRY_DELIVER;
    case RETRY_BROKEN:
    case RETRY_STREAM_CUT:
      return after_break (facts);
    case RETRY_UNCONFIRMED:
      return after_unconfirmed_end (facts);
    case RETRY_UNDECIDED:
      return after_undecided_end (facts);
    case RETRY_SILENT:
      return is_repeatable (facts) && may_send_again (facts) ? RETRY_REPLACE : RETRY_WAIT;
    }
  return give_up (facts);
}

bool
retry_uses_budget (RetryEvent event, RetryStep step)
{
  return event != RETRY_NOT_CONNECTED
         && (step == RETRY_AGAIN || step == RETRY_RESUME || step == RETRY_RESUME_LATER);
}

const char *
retry_event_name (RetryEvent event)
{
  static const char *const names[]
      = { "unreached", "rejected", "broken", "failure",     "answered",
          "cut",       "silent",   "gone",   "unconfirmed", "undecided" };

  return names[event];
}

const char *
retry_step_name (RetryStep step)
{
  static const char *const names[] = { "again",     "resume", "deliver",      "not-run", "unknown",
                                       "break-off", "wait",   "resume-later", "replace" };

  return names[step];
}
