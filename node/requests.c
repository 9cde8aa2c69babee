/* requests.c - accepts requests and decides what follows each try.
 *
 *     handle -> route, organisation -> ask for a place -> send -> relay -> end
 *                                        ^                 |
 *                                        +---- retry ------+   as retry.c decides
 *
 * A place is one of a backend server's slots, granted by a scheduler. A try is one sending of the
 * request to one server.
 *
 * Only the entry sends its callers' requests, so at-most-once execution is enforced here alone:
 * may_have_run is set before the first byte of a try can be sent, and is reset only when the server
 * states that it did not run the request or when no connection was established.
 *
 * A plain answer is buffered until it is complete, so that a broken one can still be turned into an
 * error or a retry. A stream's head is sent with its first event, and only whole events are
 * relayed.
 */
#include "reqint.h"
#include "count.h"
#include "jlog.h"

#include <string.h>

#define RETRY_AFTER_STARTING (500 * FT_MS) /* Retry-After without a catalogue */
#define CATALOGUE_WAIT_MAX                                                                         \
  (1200 * FT_MS) /* longest wait for the first catalogue: covers an election of the voters */
#define CATALOGUE_WAIT_DIVISOR 3 /* ... and a third of the caller's own time limit at most */

/* ---- After a try ---- */

static int64_t
retry_after (const Req *req)
{
  return MAX (50 * FT_MS, MIN (300 * FT_MS, (req->deadline - req_now (req)) / 3));
}

/* What the try says of its server. A connect that failed at an entry that has lost its path, and at
 * no other one, says nothing. */
static SchedOutcome
outcome_of (const Req *req, RetryEvent event)
{
  bool own_path = req->relay.port == 0 || req->fault == HXFER_RELAY_FAILED;

  switch (event)
    {
    case RETRY_NOT_CONNECTED:
      return own_path && egress_is_lost (req->requests->conf.egress) ? SCHED_LEFT : SCHED_UNREACHED;
    case RETRY_REJECTED:
      return SCHED_REJECTED;
    case RETRY_OTHER_SERVER:
      return SCHED_GONE;
    case RETRY_ANSWERED:
    case RETRY_UNCONFIRMED:
      return SCHED_OK;
    case RETRY_UNDECIDED:
      return SCHED_LEFT;
    default:
      return SCHED_FAILED;
    }
}

static void
avoid_last_server (Req *req)
{
  g_free (req->avoid_server);
  req->avoid_server = g_strdup (req->server);
  if (req->stream)
    events_drop_partial (req->stream);
}

/* True if servers crashed while they ran this content, or if a part of its prompt recurs in
 * crashes. A single crash of its content is mostly another one's if this try had brought a part of
 * the answer, or if the next server of a begun answer broke at once: the caller has no other way to
 * the rest. */
static bool
is_suspect (const Req *req)
{
  QuarVerdict verdict = crashrep_check (req->requests->conf.crash_reporter, req->print);
  bool has_part = req->spared_attempt || req->events > 0;

  return verdict.content_ends > (has_part ? 1 : 0) || verdict.part_ends > 0;
}

void
req_after_try (Req *req, RetryEvent event)
{
  Requests *requests = req->requests;
  RetryFacts facts = { .kind = req->route->kind,
                       .resumable = req->route->resumable,
                       .begun = req->begun,
                       .is_stream = req->begun_stream,
                       .unframed = req->begun && hcall_is_unframed (req->call),
                       .past_last_id = req->stream && !events_can_resume (req->stream),
                       .may_have_run = req->may_have_run,
                       .sends = req->sends,
                       .most_sends = req->route->attempts,
                       .unreached = req->unreached,
                       .left_us = req->deadline - req_now (req),
                       .suspect = is_suspect (req),
                       .budget = true };
  RetryStep step = retry_next (event, &facts);

  req->last_event = retry_event_name (event);
  if (retry_uses_budget (event, step) && !budget_take (requests->conf.budget, req->service))
    {
      facts.budget = false;
      step = retry_next (event, &facts);
    }
  if (event != RETRY_ANSWERED)
    jlog (JLOG_INFO, "try", req->id, JL_TEXT ("server", req->server),
          JL_TEXT ("software", req->software), JL_TEXT ("came", retry_event_name (event)),
          JL_TEXT ("next", retry_step_name (step)),
          JL_INT ("status", req->head_seen ? req->status : 0), JL_INT ("sends", req->sends),
          JL_INT ("most", req->route->attempts), JL_INT ("budget", facts.budget),
          JL_MS ("after_ms", req->sent_at ? req_now (req) - req->sent_at : 0),
          JL_MS ("silent_ms", req_now (req) - MAX (req->sent_at, req->received_at)),
          JL_MS ("limit_ms", req->silence_limit), JL_INT ("begun", req->begun),
          JL_INT ("past_last_id", facts.past_last_id),
          JL_TEXT ("fault", req->has_fault ? hxfer_fault_name (req->fault) : ""),
          JL_INT ("relay", req->relay.ip));
  if (event == RETRY_UNDECIDED && step == RETRY_WAIT)
    {
      tryend_await_decision (req);
      return;
    }
  if (step == RETRY_WAIT || step == RETRY_REPLACE)
    {
      if (!req->silence_reported)
        place_report_silence (requests->conf.place, req->number);
      if (step == RETRY_REPLACE && (!req->begun || req->silence_reported))
        req_ask_replacement (req);
      else if (step == RETRY_REPLACE) /* its run may be needed: wait as long again */
        loop_timer_set (requests->conf.loop, &req->silence, req_now (req) + req->silence_limit);
      req->silence_reported = true;
      return;
    }
  req_end_try (req, outcome_of (req, event));
  switch (step)
    {
    case RETRY_AGAIN:
    case RETRY_RESUME:
      avoid_last_server (req);
      if (event != RETRY_NOT_CONNECTED)
        count_inc (step == RETRY_RESUME ? COUNT_RESUMES : COUNT_REPEATS);
      if (req->next_number)
        req_promote_replacement (req);
      else
        req_ask (req);
      break;
    case RETRY_RESUME_LATER:
      avoid_last_server (req);
      req->needs_budget = !facts.budget;
      if (!req_ask_later (req, INT64_MAX))
        req_break_off (req, retry_event_name (event));
      break;
    case RETRY_DELIVER:
      req_finish (req);
      break;
    case RETRY_ANSWER_NOT_RUN:
      req_answer_error (req, 503, retry_after (req), "no-server-took-it");
      break;
    case RETRY_ABORT:
      req_break_off (req, retry_event_name (event));
      break;
    default:
      req_answer_error (req, 502, 0, "outcome-unknown");
      break;
    }
}

/* ---- New requests ---- */

static void
on_deadline (LoopTimer *timer)
{
  Req *req = (Req *) ((char *) timer - offsetof (Req, deadline_timer));

  req_end_try (req, SCHED_LEFT);
  if (req->route == NULL)
    req_answer_error (req, 503, RETRY_AFTER_STARTING, "no-catalogue");
  else if (req->begun)
    req_break_off (req, "time-limit");
  else if (req->may_have_run)
    req_answer_error (req, 504, 0, "time-limit");
  else
    req_answer_error (req, 503, retry_after (req), "time-limit");
}

static Req *
req_new (Requests *requests, HCall *call)
{
  Req *req = g_new0 (Req, 1);

  req->requests = requests;
  req->call = call;
  req->cat = requests->cat ? rt_cat_ref (requests->cat) : NULL;
  req->fields = g_string_new (NULL);
  req->buffered = g_string_new (NULL);
  req->deadline_timer.fire = on_deadline;
  req->silence.fire = try_on_silence;
  req->verdict_wait.fire = req_on_verdict_wait_over;
  req->ask_pause.fire = req_on_ask_pause_over;
  req->confirmation.fire = tryend_on_confirmation_over;
  req->end_wait.decided = tryend_on_decided;
  req->end_undecided.fire = tryend_on_undecided;
  CDS_INIT_LIST_HEAD (&req->end_wait.link);
  req->arrived = req->deadline = hcall_arrival_time (call);
  requests->conf.adapter_ops->read_request (hcall_msg (call), &req->facts);
  if (req->facts.id)
    g_strlcpy (req->id, req->facts.id, sizeof req->id);
  cds_list_add_tail (&req->link, &requests->all);
  requests->open_count++;
  count_inc (COUNT_REQUESTS);
  hcall_set_user (call, req);
  return req;
}

/* Finds route and organisation. False: there is none, and an error was answered. */
static bool
resolve_route (Req *req)
{
  const HMsg *msg = hcall_msg (req->call);
  const char *host = hmsg_field (msg, "Host");

  req->route = rt_cat_route (req->cat, host ? host : "", hmsg_target (msg));
  if (req->route == NULL)
    {
      req_answer_error (req, 404, 0, "no-such-route");
      return false;
    }
  req->org = rt_cat_org_by_key (req->cat, req->facts.key);
  if (req->org == NULL && rt_cat_has_orgs (req->cat) && !req->route->open)
    {
      req_answer_error (req, 401, 0, "no-key");
      return false;
    }
  return true;
}

static uint64_t
content_of (const Req *req)
{
  const HMsg *msg = hcall_msg (req->call);
  const GByteArray *body = hcall_body (req->call);
  Content content = { .method = hmsg_method (msg),
                      .target = hmsg_target (msg),
                      .org = req->org ? req->org->name : NULL,
                      .body = body->data,
                      .size = body->len };

  return content_id (&content);
}

static Fingerprint *
fingerprint_of (const Req *req)
{
  uint64_t parts[FINGERPRINT_PARTS_MAX];
  unsigned count = req->requests->conf.adapter_ops->read_parts (hcall_msg (req->call), parts,
                                                                FINGERPRINT_PARTS_MAX);

  return fingerprint_new (content_of (req), req->service, parts, count);
}

static void
process (Req *req)
{
  Requests *requests = req->requests;

  if (!resolve_route (req))
    return;
  int64_t patience = req->facts.caller_wait_us
                         ? MIN (req->facts.caller_wait_us, req->route->timeout_us)
                         : req->route->timeout_us;
  req->deadline = req->arrived + patience;
  if (requests->ends_at)
    req->deadline = MIN (req->deadline, requests->ends_at);
  if (req->facts.caller_wait_us)
    req->waited_before
        = patience_record (requests->patience, req->route->name, req->facts.caller_wait_us);
  req->first_deadline = req->deadline;
  if (req->route->kind == RT_STREAM)
    req->first_deadline
        = MIN (req->deadline, req->arrived
                                  + requests->conf.adapter_ops->first_event_timeout (
                                      req->route->target_us, req->route->gap_us));
  req->service = rt_route_target (req->route, g_random_int ());
  req->print = fingerprint_of (req);
  if (requests->ends_at && req_now (req) >= req->deadline)
    {
      req_answer_error (req, 503, retry_after (req), "leaving");
      return;
    }
  loop_timer_set (requests->conf.loop, &req->deadline_timer, req->deadline);
  if (req_is_return (req))
    {
      req_find_origin (req);
      return;
    }
  budget_count_request (requests->conf.budget, req->service);
  req_ask (req);
}

/* When all instances restart, callers arrive before the catalogue does. Refused at once, they would
 * use up their retries within the second that it takes to arrive, so the request waits for it. */
static void
await_catalogue (Req *req)
{
  int64_t wait = CATALOGUE_WAIT_MAX;

  if (req->facts.caller_wait_us)
    wait = MIN (wait, req->facts.caller_wait_us / CATALOGUE_WAIT_DIVISOR);
  g_ptr_array_add (req->requests->awaiting_catalogue, req);
  loop_timer_set (req->requests->conf.loop, &req->deadline_timer, req->arrived + wait);
}

void
requests_handle (Requests *requests, HCall *call)
{
  Req *req = req_new (requests, call);

  if (req->cat)
    process (req);
  else
    await_catalogue (req);
}

void
requests_caller_left (Requests *requests, HCall *call)
{
  Req *req = hcall_user (call);

  (void) requests;
  if (req == NULL)
    return;
  count_inc (COUNT_CALLERS_LEFT);
  req_log_end (req, "left", 0, "the caller closed its connection");
  req_end_try (req, SCHED_LEFT);
  req_free (req);
}

void
requests_caller_drained (Requests *requests, HCall *call)
{
  Req *req = hcall_user (call);

  (void) requests;
  if (req)
    try_caller_drained (req);
}

/* ---- Interface ---- */

Requests *
requests_new (const RequestsConf *conf)
{
  Requests *requests = g_new0 (Requests, 1);

  requests->conf = *conf;
  requests->patience = patience_new (loop_clock (conf->loop));
  requests->recheck.fire = req_on_recheck;
  requests->by_number = g_hash_table_new (g_int64_hash, g_int64_equal);
  requests->awaiting_catalogue = g_ptr_array_new ();
  CDS_INIT_LIST_HEAD (&requests->all);
  return requests;
}

void
requests_free (Requests *requests)
{
  if (requests == NULL)
    return;
  loop_timer_stop (requests->conf.loop, &requests->recheck);
  g_hash_table_unref (requests->by_number);
  g_ptr_array_unref (requests->awaiting_catalogue);
  rt_cat_unref (requests->cat);
  patience_free (requests->patience);
  g_free (requests);
}

void
requests_set_catalogue (Requests *requests, RtCat *cat)
{
  rt_cat_unref (requests->cat);
  requests->cat = rt_cat_ref (cat);
  while (requests->awaiting_catalogue->len > 0)
    {
      Req *req = g_ptr_array_remove_index (requests->awaiting_catalogue, 0);
      loop_timer_stop (requests->conf.loop, &req->deadline_timer);
      req->cat = rt_cat_ref (cat);
      process (req);
    }
}

void
requests_leave (Requests *requests, int64_t ends_at)
{
  Req *req;

  requests->ends_at = ends_at;
  cds_list_for_each_entry (req, &requests->all, link)
  {
    if (req->deadline <= ends_at || req->route == NULL)
      continue; /* without a route it waits for the catalogue, for a shorter time */
    if (!req->begun)
      req_withdraw_replacement (req);
    req->deadline = ends_at;
    req->first_deadline = MIN (req->first_deadline, ends_at);
    loop_timer_set (requests->conf.loop, &req->deadline_timer, ends_at);
  }
}

unsigned
requests_open_count (const Requests *requests)
{
  return requests->open_count;
}
