/* reason.c - reasons why a request is refused or ends without an answer, in one table. */
#include "foxtail.h"

static const FtReasonInfo table[FT_REASON_COUNT] = {
  [FT_REASON_NONE] = { "none", "No reason is recorded.", 500, FT_RAN_UNKNOWN, false },
  [FT_REASON_BAD_REQUEST]
  = { "bad-request", "The request breaks a rule of the interface.", 400, FT_RAN_NO, false },
  [FT_REASON_NO_KEY]
  = { "no-key", "The request carries no key that the catalogue knows.", 401, FT_RAN_NO, false },
  [FT_REASON_NO_SUCH_POOL]
  = { "no-such-pool", "The catalogue has no model or service of that name.", 404, FT_RAN_NO,
      false },
  [FT_REASON_NO_SUCH_CLASS]
  = { "no-such-class", "The catalogue has no class of that name.", 400, FT_RAN_NO, false },
  [FT_REASON_TOO_LARGE]
  = { "too-large", "The request is larger than the settings allow.", 413, FT_RAN_NO, false },
  [FT_REASON_DUPLICATE_ID]
  = { "duplicate-id", "A request with this id is already known.", 409, FT_RAN_NO, false },
  [FT_REASON_SHORTAGE]
  = { "shortage", "Capacity is short: the request could not be answered in time.", 503, FT_RAN_NO,
      true },
  [FT_REASON_SHED_FOR_HIGHER_TIER]
  = { "shed-for-higher-tier", "Capacity is short and a higher tier needs it.", 503, FT_RAN_NO,
      true },
  [FT_REASON_DEADLINE_TOO_SHORT]
  = { "deadline-too-short", "Even an idle backend server could not answer in time.", 422, FT_RAN_NO,
      false },
  [FT_REASON_LIMIT_CONCURRENT]
  = { "limit-concurrent", "The organisation's limit of concurrent requests is reached.", 429,
      FT_RAN_NO, false },
  [FT_REASON_LIMIT_REQUESTS]
  = { "limit-requests", "The organisation's limit of requests per minute is reached.", 429,
      FT_RAN_NO, false },
  [FT_REASON_LIMIT_TOKENS]
  = { "limit-tokens", "The organisation's limit of tokens per minute is reached.", 429, FT_RAN_NO,
      false },
  [FT_REASON_QUEUE_FULL]
  = { "queue-full", "The queue is full of requests of this or a higher tier.", 503, FT_RAN_NO,
      true },
  [FT_REASON_NO_SERVER]
  = { "no-server", "No backend server of the pool is live.", 503, FT_RAN_NO, true },
  [FT_REASON_NO_SCHEDULER]
  = { "no-scheduler", "No instance schedules the pool at present.", 503, FT_RAN_NO, false },
  [FT_REASON_STALE_CATALOGUE]
  = { "stale-catalogue", "The instance cannot prove that its catalogue is in force.", 503,
      FT_RAN_NO, false },
  [FT_REASON_SHUTTING_DOWN]
  = { "shutting-down", "The instance is shutting down.", 503, FT_RAN_NO, false },
  [FT_REASON_CLAIM_RUNNING]
  = { "still-running", "A request with this idempotency key is still running.", 409, FT_RAN_NO,
      false },
  [FT_REASON_CLAIM_MISMATCH]
  = { "key-mismatch", "The idempotency key was used before with another request.", 422, FT_RAN_NO,
      false },
  [FT_REASON_CLAIM_UNAVAILABLE]
  = { "claim-unavailable", "The claim could not be made durable, so the request was not sent.", 503,
      FT_RAN_NO, false },
  [FT_REASON_OUTCOME_UNKNOWN]
  = { "outcome-unknown", "The request was sent and its outcome is not known.", 502, FT_RAN_UNKNOWN,
      false },
  [FT_REASON_BACKEND_FAILED]
  = { "backend-failed", "The backend server rejected the request or failed.", 502, FT_RAN_UNKNOWN,
      false },
  [FT_REASON_CALLER_GONE]
  = { "caller-gone", "The caller left before the request was sent.", 499, FT_RAN_NO, false },
  [FT_REASON_NO_SUCH_REQUEST]
  = { "no-such-request",
      "No live instance has the request; if it was sent, its instance may have died.", 404,
      FT_RAN_UNKNOWN, false },
  [FT_REASON_QUARANTINED]
  = { "quarantined",
      "Backend servers crashed while running this request, so it is not sent to any.", 503,
      FT_RAN_NO, false },
  [FT_REASON_VERSION_GONE]
  = { "version-gone", "No backend server of the version that began the stream is live.", 503,
      FT_RAN_NO, false },
};

const FtReasonInfo *
ft_reason_info (FtReason reason)
{
  if ((unsigned) reason >= FT_REASON_COUNT)
    reason = FT_REASON_NONE;
  return &table[reason];
}

const char *
ft_ran_name (FtRan ran)
{
  switch (ran)
    {
    case FT_RAN_NO:
      return "no";
    case FT_RAN_YES:
      return "yes";
    default:
      return "unknown";
    }
}
