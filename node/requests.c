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
#define GUESS_PART      2             /* of the caller's bound, when it gives no estimate */
#define ADVICE_STARTING (500 * FT_MS) /* until a catalogue is here */
#define PARK_MOST                                                                                  \
  (1200 * FT_MS)    /* a request waits so long for the first catalogue: an election                \
                     */
#define PARK_PART 3 /* and for a third of its caller's patience at most */

/* ---- Ends ---- */

static void
forget_number (Req *req)
{
  if (req->number)
    g_hash_table_remove (req->all->by_number, &req->number);
  req->number = 0;
}

static void
req_free (Req *req)
{
  Loop *loop = req->all->conf.loop;

  forget_number (req);
  g_ptr_array_remove_fast (req->all->parked, req);
  loop_timer_stop (loop, &req->limit);
  loop_timer_stop (loop, &req->silence);
  loop_timer_stop (loop, &req->settle);
  req->all->open--;
  events_free (req->stream);
  g_string_free (req->fields, TRUE);
  g_string_free (req->held, TRUE);
  g_free (req->avoid);
  g_free (req->server);
  rt_cat_unref (req->cat);
  loop_free_later (loop, req);
}

int64_t
req_now (const Req *req)
{
  return loop_now (req->all->conf.loop);
}

static void
log_end (const Req *req, const char *event, unsigned status, const char *why)
{
  char buffer[CONTENT_TEXT];
  const char *content = req->content ? content_text (req->content, buffer) : "";
  jlog (JLOG_INFO, event, req->id, JL_INT ("status", status), JL_TEXT ("why", why),
        JL_TEXT ("route", req->route ? req->route->name : ""),
        JL_TEXT ("org", req->org ? req->org->name : ""), JL_TEXT ("content", content),
        JL_INT ("catalogue", req->cat ? rt_cat_version (req->cat) : 0),
        JL_TEXT ("server", req->server), JL_INT ("sends", req->sends),
        JL_INT ("may_have_run", req->may_have_run), JL_INT ("events", req->events),
        JL_MS ("first_ms", req->first_at ? req->first_at - req->arrived : -1),
        JL_MS ("aim_ms", req->route ? req->route->aim_us : 0),
        JL_MS ("sent_ms", req->sent_at ? req->sent_at - req->arrived : -1),
        JL_MS ("back_ms", req->waited_before),
        JL_INT ("tier", req->route ? rt_order (req->route, req->org) : 0),
        JL_INT ("prompt", req->facts.prompt_tokens), JL_INT ("most", req->facts.output_most),
        JL_INT ("guess", req->facts.output_guess), JL_MS ("pause_ms", req->pause_most),
        JL_MS ("took_ms", req_now (req) - req->arrived),
        JL_MS ("left_ms", req->end_at - req_now (req)));
}

/* Ends the try that is open, if one is, and tells the scheduler what came of it. */
static void
end_try (Req *req, SchedOutcome outcome)
{
  SchedResult result = { .outcome = outcome };
  int64_t now = req_now (req);
  HXfer *xfer = req->xfer;

  loop_timer_stop (req->all->conf.loop, &req->silence);
  req->xfer = NULL;
  if (xfer)
    {
      witness_left (req->all->conf.witness, req->server, req->content, req->id);
      hxfer_cancel (xfer);
    }
  if (req->number == 0)
    return;
  if (req->events > 4)
    result.event_us = req->event_sum / (req->events - 1);
  if (req->sent_at)
    result.answer_us = now - req->sent_at;
  result.broke = req->broke;
  result.rested_us = req->rested;
  place_done (req->all->conf.place, req->number, &result);
  forget_number (req);
}

/* An answer of our own. body explains it; no server has signed it. */
static void
answer_own (Req *req, unsigned status, int64_t retry_us, const char *why)
{
  GString *fields = g_string_new (NULL);
  bool refused = status == 503 || status == 429;
  char *body = g_strdup_printf ("{\"reason\":\"%s\",\"ran\":\"%s\",\"retry_after_ms\":%d}\n", why,
                                req->may_have_run ? "unknown" : "no", (int) (retry_us / FT_MS));

  count_up (refused ? COUNT_REFUSED : COUNT_UNKNOWN);
  log_end (req, refused ? "refuse" : "fail", status, why);
  hwrite_field (fields, "Content-Type", "application/json");
  req->all->conf.seam->write_own (fields, *req->id ? req->id : NULL, retry_us);
  hcall_reply (req->call, status, fields, body, strlen (body));
  g_string_free (fields, TRUE);
  g_free (body);
  req_free (req);
}

static void
break_off (Req *req, const char *why)
{
  count_up (COUNT_BROKEN_OFF);
  log_end (req, "break-off", req->status, why);
  hcall_abort (req->call);
  req_free (req);
}

static void
finish_answer (Req *req)
{
  count_up (COUNT_ANSWERED);
  count_time (TIMED_WHOLE, req_now (req) - req->arrived);
  log_end (req, "answer", req->status, "");
  if (req->begun)
    hcall_end (req->call);
  else
    hcall_reply (req->call, req->status, req->fields, req->held->str, req->held->len);
  req_free (req);
}

/* ---- Asking for a place ---- */

static double
cost_of (const Req *req)
{
  if (req->org == NULL || req->org->rate <= 0)
    return 0;
  if (!req->org->by_tokens)
    return 1;
  if (req->facts.has_tokens)
    return req->facts.prompt_tokens + req->facts.output_most;
  return req->org->plain_tokens;
}

static unsigned
expected_tokens (const SeamRequest *facts)
{
  unsigned guess = facts->output_guess ? facts->output_guess : facts->output_most / GUESS_PART;

  return facts->output_most ? MIN (guess, facts->output_most) : guess;
}

/* Failure: hundreds of entries send a few requests a second each to hundreds of servers, placed
 * without a word on whom they are connected to. Symptom: four in five requests to engines wait for
 * a new connection, although the entry has 23 idle ones to others. An ask names these. */
static unsigned
name_kept (HCli *cli, uint32_t *kept)
{
  const char *keys[SCHED_KEPT_MOST];
  unsigned count = hcli_idle_keys (cli, keys, SCHED_KEPT_MOST);

  for (unsigned i = 0; i < count; i++)
    kept[i] = sched_server_digest (keys[i]);
  return count;
}

static void
ask (Req *req)
{
  SchedAsk out = { 0 };
  uint32_t kept[SCHED_KEPT_MOST];

  req->number = ++req->all->next_number;
  g_hash_table_insert (req->all->by_number, &req->number, req);
  req->head_seen = req->is_stream = req->rejected = req->elsewhere = req->faulty = false;
  req->unframed = false;
  req->sent_at = req->first_at = req->event_at = req->event_sum = 0;
  req->events = 0;
  req->rested = 0;
  req->broke = false;
  g_string_truncate (req->held, 0);
  out.request = req->number;
  out.service = req->service;
  out.org = req->org ? req->org->name : "";
  out.tier = rt_order (req->route, req->org);
  out.stream = req->route->kind == RT_STREAM;
  out.repeatable = rt_route_repeatable (req->route);
  out.prompt_tokens = req->facts.prompt_tokens;
  out.output_tokens = expected_tokens (&req->facts);
  out.shared_part = req->facts.shared_part;
  out.gap_us = req->route->gap_us;
  out.aim_at = req->arrived + req->route->aim_us - req->waited_before;
  out.limit_at = req->begun ? req_now (req) + SILENT_EVENT : req->first_by;
  out.end_at = req->end_at;
  out.avoid = req->avoid;
  out.kept = kept;
  out.kept_count = name_kept (req->all->conf.cli, kept);
  place_ask (req->all->conf.place, &out, req->placed ? 0 : cost_of (req));
}

/* ---- Contents under which servers ended ---- */

static void
end_quarantined (Req *req, const QuarVerdict *verdict)
{
  char content[CONTENT_TEXT];
  const char *why = ft_reason_info (FT_REASON_QUARANTINED)->code;

  count_up (COUNT_QUARANTINED);
  jlog (JLOG_INFO, "decision", req->id, JL_TEXT ("reason", why),
        JL_TEXT ("content", content_text (req->content, content)), JL_INT ("ends", verdict->ends),
        JL_MS ("known_ms", verdict->known_us), JL_TEXT ("by", "entry"));
  if (req->begun)
    break_off (req, why);
  else if (req->may_have_run)
    answer_own (req, 502, 0, why);
  else /* as late as a caller heeds: nothing lets the content go within its time */
    answer_own (req, 503, MAX (50 * FT_MS, (req->end_at - req_now (req)) / 3), why);
}

/* Asks for a place, unless servers have ended under the content. */
static void
ask_if_allowed (Req *req)
{
  QuarVerdict verdict = witness_judge (req->all->conf.witness, req->content);

  if (verdict.state == QUAR_HELD)
    end_quarantined (req, &verdict);
  else if (verdict.state == QUAR_SETTLES)
    loop_timer_set (req->all->conf.loop, &req->settle, verdict.settles_at);
  else
    ask (req);
}

static void
on_settled (LoopTimer *timer)
{
  ask_if_allowed ((Req *) ((char *) timer - offsetof (Req, settle)));
}

static bool
is_stopped (const Req *req)
{
  return witness_judge (req->all->conf.witness, req->content).state >= QUAR_SETTLES;
}

/* Gives back the place that was granted or is waited for, and asks again. */
static void
ask_anew (Req *req)
{
  static const SchedResult withdrawn = { .outcome = SCHED_LEFT };

  place_done (req->all->conf.place, req->number, &withdrawn);
  forget_number (req);
  ask_if_allowed (req);
}

void
requests_review (Requests *all)
{
  GPtrArray *stopped = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, all->by_number);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Req *) value)->xfer == NULL && is_stopped (value))
      g_ptr_array_add (stopped, value);
  for (unsigned i = 0; i < stopped->len; i++)
    ask_anew (stopped->pdata[i]);
  g_ptr_array_unref (stopped);
}

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
  end_try (req, outcome_of (event));
  switch (step)
    {
    case RETRY_AGAIN:
    case RETRY_RESUME:
      g_free (req->avoid);
      req->avoid = g_strdup (req->server);
      if (req->stream)
        events_restart (req->stream);
      if (event != RETRY_UNREACHED)
        count_up (step == RETRY_RESUME ? COUNT_RESUMES : COUNT_REPEATS);
      ask_if_allowed (req);
      break;
    case RETRY_DELIVER:
      finish_answer (req);
      break;
    case RETRY_SAY_NOT_RUN:
      answer_own (req, 503, advice (req), "no-server-took-it");
      break;
    case RETRY_BREAK_OFF:
      break_off (req, retry_event_name (event));
      break;
    default:
      answer_own (req, 502, 0, "outcome-unknown");
      break;
    }
}

/* ---- Verdicts of the scheduler ---- */

/* Does the list held here say that the server leaves, or, if it is newer than the one by which it
 * was granted, no longer name it? */
static bool
is_known_gone (const Requests *all, const char *id, int64_t listed_at)
{
  const SeamServer *held = servers_find (all->conf.servers, id);

  if (held)
    return held->leaving;
  return servers_asked_at (all->conf.servers) > listed_at;
}

void
requests_grant (Requests *all, uint64_t number, const Grant *grant)
{
  const SeamServer *server = &grant->server;
  Req *req = g_hash_table_lookup (all->by_number, &number);

  if (req == NULL)
    return;
  req->placed = true;
  count_time (TIMED_WAIT, req_now (req) - req->arrived);
  g_free (req->server);
  req->server = g_strdup (server->id);
  jlog (JLOG_DEBUG, "send", req->id, JL_TEXT ("server", server->id),
        JL_MS ("waited_ms", req_now (req) - req->arrived),
        JL_TEXT ("by", place_by (all->conf.place)),
        JL_MS ("list_age_ms", req_now (req) - grant->listed_at));
  if (server->leaving || is_known_gone (all, server->id, grant->listed_at))
    {
      g_free (req->avoid);
      req->avoid = g_strdup (server->id);
      ask_anew (req);
    }
  else if (is_stopped (req))
    ask_anew (req);
  else
    try_send (req, grant);
}

void
requests_refuse (Requests *all, uint64_t number, const SchedRefusal *refusal)
{
  Req *req = g_hash_table_lookup (all->by_number, &number);
  const FtReasonInfo *info = ft_reason_info (refusal->reason);

  if (req == NULL)
    return;
  forget_number (req);
  jlog (JLOG_INFO, "decision", req->id, JL_TEXT ("reason", info->code),
        JL_TEXT ("rule", refusal->rule), JL_MS ("retry_ms", refusal->retry_after_us),
        JL_TEXT ("by", place_by (all->conf.place)));
  if (req->begun)
    break_off (req, info->code);
  else if (req->may_have_run)
    answer_own (req, 502, 0, "outcome-unknown");
  else
    answer_own (req, info->http_status == 429 ? 429 : 503, refusal->retry_after_us, info->code);
}

/* ---- Taking requests ---- */

static void
on_limit (LoopTimer *timer)
{
  Req *req = (Req *) ((char *) timer - offsetof (Req, limit));

  end_try (req, SCHED_LEFT);
  if (req->route == NULL)
    answer_own (req, 503, ADVICE_STARTING, "no-catalogue");
  else if (req->begun)
    break_off (req, "time-limit");
  else if (req->may_have_run)
    answer_own (req, 504, 0, "time-limit");
  else
    answer_own (req, 503, advice (req), "time-limit");
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
  req->settle.fire = on_settled;
  req->arrived = req->end_at = hcall_arrived (call);
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
      answer_own (req, 404, 0, "no-such-route");
      return false;
    }
  req->org = rt_cat_org_by_key (req->cat, req->facts.key);
  if (req->org == NULL && rt_cat_has_orgs (req->cat) && !req->route->open)
    {
      answer_own (req, 401, 0, "no-key");
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
  ask_if_allowed (req);
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
  log_end (req, "left", 0, "the caller closed its connection");
  end_try (req, SCHED_LEFT);
  req_free (req);
}

/* ---- All of them ---- */

Requests *
requests_new (const RequestsConf *conf)
{
  Requests *all = g_new0 (Requests, 1);

  all->conf = *conf;
  all->patience = patience_new (loop_clock (conf->loop));
  all->by_number = g_hash_table_new (g_int64_hash, g_int64_equal);
  all->parked = g_ptr_array_new ();
  return all;
}

void
requests_free (Requests *all)
{
  if (all == NULL)
    return;
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
