/* requests.c - one record a request.
 *
 *     take -> route, organisation -> ask for a place -> send -> relay -> end
 *                                      ^                 |
 *                                      +--- again -------+   as retry.c decides
 *
 * The entry alone sends its callers' requests, so "once at most" is decided here and nowhere else:
 * may_have_run is set before the first byte of a try can leave, and only a server's own word that
 * it did not run the request takes it back.
 *
 * A plain answer is held until it is whole, so that a broken one can still become a clear failure
 * or another try. A stream's head waits for its first event, and only whole events pass.
 */
#include "reqint.h"
#include "count.h"
#include "jlog.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define ADVICE_STARTING (500 * FT_MS) /* until a catalogue is here */
#define PARK_MOST                                                                                  \
  (1200 * FT_MS)    /* a request waits so long for the first catalogue: an election                \
                     */
#define PARK_PART 3 /* and for a third of its caller's patience at most */

/* ---- After a try ---- */

static int64_t
advice (const Req *req)
{
  return MAX (50 * FT_MS, MIN (300 * FT_MS, (req->end_at - req_now (req)) / 3));
}

static SchedOutcome
outcome_of (RetryEvent event)
{
  switch (event)
    {
    case RETRY_UNREACHED:
      return SCHED_UNREACHED;
    case RETRY_REJECTED:
      return SCHED_REJECTED;
    case RETRY_GONE:
      return SCHED_GONE;
    case RETRY_ANSWERED:
      return SCHED_OK;
    case RETRY_SILENT:
      return SCHED_SILENT;
    default:
      return SCHED_FAILED;
    }
}

void
req_after_try (Req *req, RetryEvent event)
{
  Requests *all = req->all;
  RetryFacts facts = { .kind = req->route->kind,
                       .resumable = req->route->resumable,
                       .begun = req->begun,
                       .may_have_run = req->may_have_run,
                       .sends = req->sends,
                       .most_sends = req->route->attempts,
                       .unreached = req->unreached,
                       .left_us = req->end_at - req_now (req),
                       .suspect = witness_judge (all->conf.witness, req->content).ends > 0,
                       .budget = true };
  RetryStep step = retry_next (event, &facts);

  if (retry_draws (event, step) && !budget_take (all->conf.budget, req->service))
    {
      facts.budget = false;
      step = retry_next (event, &facts);
    }
  if (event != RETRY_ANSWERED)
    jlog (JLOG_INFO, "try", req->id, JL_TEXT ("server", req->server),
          JL_TEXT ("came", retry_event_name (event)), JL_TEXT ("next", retry_step_name (step)),
          JL_INT ("status", req->head_seen ? req->status : 0), JL_INT ("sends", req->sends),
          JL_INT ("most", req->route->attempts), JL_INT ("budget", facts.budget),
          JL_MS ("after_ms", req->sent_at ? req_now (req) - req->sent_at : 0),
          JL_TEXT ("fault", req->faulty ? hxfer_fault_name (req->fault) : ""));
  if (step == RETRY_WAIT)
    {
      place_silent (all->conf.place, req->number);
      return;
    }
  req_end_try (req, outcome_of (event));
  switch (step)
    {
    case RETRY_AGAIN:
    case RETRY_RESUME:
      g_free (req->avoid);
      req->avoid = g_strdup (req->server);
      if (req->stream)
        events_drop_partial (req->stream);
      if (event != RETRY_UNREACHED)
        count_up (step == RETRY_RESUME ? COUNT_RESUMES : COUNT_REPEATS);
      req_ask (req);
      break;
    case RETRY_DELIVER:
      req_finish (req);
      break;
    case RETRY_SAY_NOT_RUN:
      req_answer_own (req, 503, advice (req), "no-server-took-it");
      break;
    case RETRY_BREAK_OFF:
      req_break_off (req, retry_event_name (event));
      break;
    default:
      req_answer_own (req, 502, 0, "outcome-unknown");
      break;
    }
}

/* ---- Taking requests ---- */

static void
on_limit (LoopTimer *timer)
{
  Req *req = (Req *) ((char *) timer - offsetof (Req, limit));

  req_end_try (req, SCHED_LEFT);
  if (req->route == NULL)
    req_answer_own (req, 503, ADVICE_STARTING, "no-catalogue");
  else if (req->begun)
    req_break_off (req, "time-limit");
  else if (req->may_have_run)
    req_answer_own (req, 504, 0, "time-limit");
  else
    req_answer_own (req, 503, advice (req), "time-limit");
}

static Req *
req_new (Requests *all, HCall *call)
{
  Req *req = g_new0 (Req, 1);

  req->all = all;
  req->call = call;
  req->cat = all->cat ? rt_cat_ref (all->cat) : NULL;
  req->fields = g_string_new (NULL);
  req->held = g_string_new (NULL);
  req->limit.fire = on_limit;
  req->silence.fire = try_on_silence;
  req->settle.fire = req_on_settled;
  req->arrived = req->end_at = hcall_arrival_time (call);
  all->conf.seam->read_request (hcall_msg (call), &req->facts);
  if (req->facts.id)
    g_strlcpy (req->id, req->facts.id, sizeof req->id);
  all->open++;
  count_up (COUNT_REQUESTS);
  hcall_set_user (call, req);
  return req;
}

/* Finds route and organisation; false: it was answered. */
static bool
admit (Req *req)
{
  const HMsg *msg = hcall_msg (req->call);
  const char *host = hmsg_field (msg, "Host");

  req->route = rt_cat_route (req->cat, host ? host : "", hmsg_target (msg));
  if (req->route == NULL)
    {
      req_answer_own (req, 404, 0, "no-such-route");
      return false;
    }
  req->org = rt_cat_org_by_key (req->cat, req->facts.key);
  if (req->org == NULL && rt_cat_has_orgs (req->cat) && !req->route->open)
    {
      req_answer_own (req, 401, 0, "no-key");
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

static void
proceed (Req *req)
{
  Requests *all = req->all;

  if (!admit (req))
    return;
  req->content = content_of (req);
  int64_t patience = req->facts.patience_us ? MIN (req->facts.patience_us, req->route->timeout_us)
                                            : req->route->timeout_us;
  req->end_at = req->arrived + patience;
  if (req->facts.patience_us)
    req->waited_before = patience_note (all->patience, req->route->name, req->facts.patience_us);
  req->first_by = req->end_at;
  if (req->route->kind == RT_STREAM)
    req->first_by = MIN (
        req->end_at,
        req->arrived + all->conf.seam->first_patience (req->route->aim_us, req->route->gap_us));
  req->service = rt_route_target (req->route, g_random_int ());
  budget_note (all->conf.budget, req->service);
  loop_timer_set (all->conf.loop, &req->limit, req->end_at);
  req_ask (req);
}

/* Failure: all instances start anew, and callers come before the catalogue does. Symptom: each is
 * refused and uses up its retries within the second that it takes. It waits a moment instead. */
static void
park (Req *req)
{
  int64_t most = PARK_MOST;

  if (req->facts.patience_us)
    most = MIN (most, req->facts.patience_us / PARK_PART);
  g_ptr_array_add (req->all->parked, req);
  loop_timer_set (req->all->conf.loop, &req->limit, req->arrived + most);
}

void
requests_take (Requests *all, HCall *call)
{
  Req *req = req_new (all, call);

  if (req->cat)
    proceed (req);
  else
    park (req);
}

void
requests_gone (Requests *all, HCall *call)
{
  Req *req = hcall_user (call);

  (void) all;
  if (req == NULL)
    return;
  count_up (COUNT_LEFT);
  req_log_end (req, "left", 0, "the caller closed its connection");
  req_end_try (req, SCHED_LEFT);
  req_free (req);
}

void
requests_room (Requests *all, HCall *call)
{
  Req *req = hcall_user (call);

  (void) all;
  if (req)
    try_room (req);
}

/* ---- All of them ---- */

Requests *
requests_new (const RequestsConf *conf)
{
  Requests *all = g_new0 (Requests, 1);

  all->conf = *conf;
  all->patience = patience_new (loop_clock (conf->loop));
  all->review.fire = req_on_review;
  all->by_number = g_hash_table_new (g_int64_hash, g_int64_equal);
  all->parked = g_ptr_array_new ();
  return all;
}

void
requests_free (Requests *all)
{
  if (all == NULL)
    return;
  loop_timer_stop (all->conf.loop, &all->review);
  g_hash_table_unref (all->by_number);
  g_ptr_array_unref (all->parked);
  rt_cat_unref (all->cat);
  patience_free (all->patience);
  g_free (all);
}

void
requests_catalogue (Requests *all, RtCat *cat)
{
  rt_cat_unref (all->cat);
  all->cat = rt_cat_ref (cat);
  while (all->parked->len > 0)
    {
      Req *req = g_ptr_array_remove_index (all->parked, 0);
      loop_timer_stop (all->conf.loop, &req->limit);
      req->cat = rt_cat_ref (cat);
      proceed (req);
    }
}

unsigned
requests_open (const Requests *all)
{
  return all->open;
}
