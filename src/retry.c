/* retry.c - the one place that decides whether a request is sent once more.
 *
 * The promise: a request that is not idempotent runs once at most, and "not run" is said only when
 * it is true. From the first byte handed to a connection a request may have run, whatever the
 * connection does; only its server's word takes that back.
 */
#include "retry.h"

/* Tuning; each row with its reason. */
#define LEFT_LEAST     (30 * FT_MS) /* less is not enough for a connection and an answer */
#define UNREACHED_MOST 4 /* servers without a connection; then the caller may do better */

static bool
repeatable (const RetryFacts *facts)
{
  return facts->kind == RT_IDEMPOTENT || (facts->kind == RT_STREAM && facts->resumable);
}

static bool
may_send_again (const RetryFacts *facts)
{
  return facts->sends < facts->most_sends && facts->budget && facts->left_us > LEFT_LEAST;
}

static RetryStep
give_up (const RetryFacts *facts)
{
  if (facts->begun)
    return RETRY_ABORT;
  return facts->may_have_run ? RETRY_ANSWER_UNKNOWN : RETRY_ANSWER_NOT_RUN;
}

/* Failure: a request ends the servers that run it. Symptom: each coming ends as many as its route
 * allows tries. One under which a server ended before is not sent on once more. */
static RetryStep
after_break (const RetryFacts *facts)
{
  if (!repeatable (facts) || !may_send_again (facts) || facts->suspect)
    return give_up (facts);
  return facts->begun ? RETRY_RESUME : RETRY_AGAIN;
}

/* Failure: a long plain answer that its caller has the first part of breaks. Symptom: it is asked
 * for again as if it were a stream, which has no place to go on from, and the process ends. Only a
 * stream goes on behind what its caller has. */
static RetryStep
after_begun_plain (RetryEvent event)
{
  switch (event)
    {
    case RETRY_ANSWERED:
      return RETRY_DELIVER;
    case RETRY_SILENT:
      return RETRY_WAIT;
    default:
      return RETRY_ABORT;
    }
}

RetryStep
retry_next (RetryEvent event, const RetryFacts *facts)
{
  if (facts->begun && facts->kind != RT_STREAM)
    return after_begun_plain (event);
  switch (event)
    {
    case RETRY_ANSWERED:
      return RETRY_DELIVER;
    case RETRY_NOT_CONNECTED:
      if (facts->unreached < UNREACHED_MOST && facts->left_us > LEFT_LEAST)
        return facts->begun ? RETRY_RESUME : RETRY_AGAIN;
      return give_up (facts);
    case RETRY_OTHER_SERVER:
      if (facts->budget && facts->unreached < UNREACHED_MOST && facts->left_us > LEFT_LEAST)
        return facts->begun ? RETRY_RESUME : RETRY_AGAIN;
      return give_up (facts);
    case RETRY_REJECTED:
      if (may_send_again (facts))
        return facts->begun ? RETRY_RESUME : RETRY_AGAIN;
      return give_up (facts);
    case RETRY_FAILURE:
      if (facts->begun)
        return after_break (facts);
      return repeatable (facts) && may_send_again (facts) ? RETRY_AGAIN : RETRY_DELIVER;
    case RETRY_BROKEN:
    case RETRY_STREAM_CUT:
      return after_break (facts);
    case RETRY_SILENT:
      if (!repeatable (facts) || !may_send_again (facts))
        return RETRY_WAIT;
      return facts->begun ? RETRY_RESUME : RETRY_AGAIN;
    }
  return give_up (facts);
}

bool
retry_uses_budget (RetryEvent event, RetryStep step)
{
  return event != RETRY_NOT_CONNECTED && (step == RETRY_AGAIN || step == RETRY_RESUME);
}

const char *
retry_event_name (RetryEvent event)
{
  static const char *const names[]
      = { "unreached", "rejected", "broken", "failure", "answered", "cut", "silent", "gone" };

  return names[event];
}

const char *
retry_step_name (RetryStep step)
{
  static const char *const names[]
      = { "again", "resume", "deliver", "not-run", "unknown", "break-off", "wait" };

  return names[step];
}
