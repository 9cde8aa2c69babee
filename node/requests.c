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
#include "requests.h"
#include "count.h"
#include "events.h"
#include "jlog.h"
#include "retry.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define CONNECT_MOST    (250 * FT_MS) /* a connection takes two one-way delays and 1 ms */
#define IDLE_MOST       (8 * FT_SECOND)
#define IDLE_MOST_ONCE  (2 * FT_SECOND) /* what runs once is not risked on an old connection */
#define HELD_MOST       (1u << 20)      /* a longer plain answer is passed on as it comes, bytes */
#define SILENT_PLAIN    2.0             /* times the aim without a plain answer */
#define SILENT_STREAM   2.0             /* times the aim without a first event ... */
#define SILENT_TOKEN_US 60 /* ... and so long for each token of the prompt: the slowest seen */
#define SILENT_LEAST    (600 * FT_MS)
#define SILENT_EVENT                                                                               \
  (1200 * FT_MS)                      /* between events: above a long prompt's stall of neighbours \
                                       */
#define GUESS_PART      2             /* of the caller's bound, when it gives no estimate */
#define ADVICE_STARTING (500 * FT_MS) /* until a catalogue is here */
#define PARK_MOST                                                                                  \
  (1200 * FT_MS)    /* a request waits so long for the first catalogue: an election                \
                     */
#define PARK_PART 3 /* and for a third of its caller's patience at most */

typedef struct
{
  Requests *all;
  uint64_t number; /* of the ask that is open; another one for each try */
  HCall *call;
  RtCat *cat;
  const RtRoute *route;
  const RtOrg *org;
  SeamRequest facts;
  char id[SEAM_ID_MOST];
  const char *service;
  int64_t arrived, end_at, first_by;
  LoopTimer limit, silence;
  /* The tries. */
  unsigned sends, unreached;
  bool may_have_run, may_have_run_before; /* before: by an earlier try */
  char *avoid, *server;
  HXfer *xfer;
  /* The answer of the try. */
  int64_t sent_at, first_at, event_at, event_sum;
  unsigned events, status;
  bool head_seen, is_stream, rejected;
  GString *fields, *held;
  /* The answer to the caller. */
  Events *stream;
  bool begun;
} Req;

struct Requests
{
  RequestsConf conf;
  RtCat *cat;
  GHashTable *by_number; /* number: Req */
  GPtrArray *parked;     /* Req that wait for the first catalogue */
  uint64_t next_number;
  unsigned open;
};

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
  req->all->open--;
  events_free (req->stream);
  g_string_free (req->fields, TRUE);
  g_string_free (req->held, TRUE);
  g_free (req->avoid);
  g_free (req->server);
  rt_cat_unref (req->cat);
  loop_free_later (loop, req);
}

static int64_t
now_of (const Req *req)
{
  return loop_now (req->all->conf.loop);
}

static void
log_end (const Req *req, const char *event, unsigned status, const char *why)
{
  jlog (JLOG_INFO, event, req->id, JL_INT ("status", status), JL_TEXT ("why", why),
        JL_TEXT ("route", req->route ? req->route->name : ""),
        JL_TEXT ("org", req->org ? req->org->name : ""),
        JL_INT ("catalogue", req->cat ? rt_cat_version (req->cat) : 0),
        JL_TEXT ("server", req->server), JL_INT ("sends", req->sends),
        JL_INT ("may_have_run", req->may_have_run), JL_INT ("events", req->events),
        JL_MS ("took_ms", now_of (req) - req->arrived),
        JL_MS ("left_ms", req->end_at - now_of (req)));
}

/* Ends the try that is open, if one is, and tells the scheduler what came of it. */
static void
end_try (Req *req, SchedOutcome outcome)
{
  SchedResult result = { .outcome = outcome };
  int64_t now = now_of (req);
  HXfer *xfer = req->xfer;

  loop_timer_stop (req->all->conf.loop, &req->silence);
  req->xfer = NULL;
  if (xfer)
    hxfer_cancel (xfer);
  if (req->number == 0)
    return;
  if (req->events > 4)
    result.event_us = req->event_sum / (req->events - 1);
  if (req->sent_at)
    result.answer_us = now - req->sent_at;
  place_done (req->all->conf.place, req->number, &result);
  forget_number (req);
}

/* An answer of our own. body explains it; it is told apart from a server's by having no receipt. */
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
  count_time (TIMED_WHOLE, now_of (req) - req->arrived);
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

static void
ask (Req *req, bool first)
{
  SchedAsk out = { 0 };

  req->number = ++req->all->next_number;
  g_hash_table_insert (req->all->by_number, &req->number, req);
  req->head_seen = req->is_stream = req->rejected = false;
  req->sent_at = req->first_at = req->event_at = req->event_sum = 0;
  req->events = 0;
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
  out.aim_at = req->arrived + req->route->aim_us;
  out.limit_at = req->begun ? now_of (req) + SILENT_EVENT : req->first_by;
  out.end_at = req->end_at;
  out.avoid = req->avoid;
  place_ask (req->all->conf.place, &out, first ? cost_of (req) : 0);
}

/* ---- After a try ---- */

static int64_t
advice (const Req *req)
{
  return MAX (50 * FT_MS, MIN (300 * FT_MS, (req->end_at - now_of (req)) / 3));
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
    case RETRY_ANSWERED:
      return SCHED_OK;
    case RETRY_SILENT:
      return SCHED_SILENT;
    default:
      return SCHED_FAILED;
    }
}

static void
after_try (Req *req, RetryEvent event)
{
  Requests *all = req->all;
  RetryFacts facts = { .kind = req->route->kind,
                       .resumable = req->route->resumable,
                       .begun = req->begun,
                       .may_have_run = req->may_have_run,
                       .sends = req->sends,
                       .most_sends = req->route->attempts,
                       .unreached = req->unreached,
                       .left_us = req->end_at - now_of (req),
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
          JL_MS ("after_ms", req->sent_at ? now_of (req) - req->sent_at : 0));
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
      ask (req, false);
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

/* ---- A try ---- */

/* Does the answer speak of our request? */
static bool
is_ours (const Req *req, const SeamAnswer *answer)
{
  return answer->id == NULL || strcmp (answer->id, req->id) == 0;
}

static void
note_first (Req *req)
{
  int64_t now = now_of (req);

  if (req->first_at)
    return;
  req->first_at = now;
  count_time (TIMED_FIRST, now - req->sent_at);
  place_first (req->all->conf.place, req->number, now - req->sent_at);
}

static bool
on_head (void *user, const HMsg *msg)
{
  Req *req = user;
  SeamAnswer answer;

  req->all->conf.seam->read_answer (msg, &answer);
  if (!is_ours (req, &answer))
    {
      jlog (JLOG_WARN, "foreign-answer", req->id, JL_TEXT ("server", req->server),
            JL_TEXT ("other", answer.id));
      return false;
    }
  req->head_seen = true;
  req->status = hmsg_status (msg);
  if (answer.not_run && (answer.id || req->status == 400))
    {
      /* Its own word that this try did not run; earlier tries stand. */
      req->may_have_run = req->may_have_run_before;
      req->rejected = true;
      return true;
    }
  bool promises
      = req->status == 503 || req->status == 429 || req->status == 408 || req->status == 421;
  if (promises || (answer.id == NULL && *req->id))
    {
      /* Not the word of the server that holds our request: it proves nothing. */
      after_try (req, RETRY_BROKEN);
      return true;
    }
  req->is_stream = answer.event_stream && req->status / 100 == 2;
  if (req->begun && !req->is_stream)
    {
      after_try (req, RETRY_CUT); /* it cannot go on behind what the caller has */
      return true;
    }
  if (!req->begun)
    {
      g_string_truncate (req->fields, 0);
      req->all->conf.seam->write_answer (req->fields, msg);
    }
  if (req->is_stream && req->stream == NULL)
    req->stream = events_new ();
  return true;
}

static void
begin (Req *req)
{
  req->begun = true;
  hcall_begin (req->call, req->status, req->fields);
}

static void
arm_silence (Req *req, int64_t in)
{
  loop_timer_set (req->all->conf.loop, &req->silence, now_of (req) + in);
}

static void
relay_events (Req *req, const char *data, size_t size)
{
  GString *out = g_string_sized_new (size);
  unsigned count = events_take (req->stream, data, size, out);
  int64_t now = now_of (req);

  if (count > 0)
    {
      note_first (req);
      if (req->event_at)
        req->event_sum += now - req->event_at;
      req->event_at = now;
      req->events += count;
      if (!req->begun)
        begin (req);
      arm_silence (req, MAX (SILENT_EVENT, 4 * req->route->gap_us));
      hcall_data (req->call, out->str, out->len);
    }
  g_string_free (out, TRUE);
}

static void
on_body (void *user, const char *data, size_t size)
{
  Req *req = user;

  if (req->xfer == NULL || req->rejected)
    return; /* the try was ended by its head */
  if (req->is_stream)
    {
      relay_events (req, data, size);
      return;
    }
  note_first (req);
  if (req->begun)
    hcall_data (req->call, data, size);
  else
    g_string_append_len (req->held, data, (gssize) size);
  if (!req->begun && req->held->len > HELD_MOST)
    {
      begin (req);
      hcall_data (req->call, req->held->str, req->held->len);
      g_string_truncate (req->held, 0);
    }
}

static void
on_end (void *user)
{
  Req *req = user;

  req->xfer = NULL;
  if (req->rejected)
    {
      after_try (req, RETRY_REJECTED);
      return;
    }
  note_first (req);
  if (req->is_stream && events_within (req->stream))
    after_try (req, RETRY_CUT);
  else if (req->is_stream)
    {
      if (!req->begun)
        begin (req);
      after_try (req, RETRY_ANSWERED);
    }
  else
    after_try (req, req->status >= 500 ? RETRY_FAILURE : RETRY_ANSWERED);
}

static void
on_failed (void *user, HXferFault fault)
{
  Req *req = user;

  req->xfer = NULL;
  if (fault == HXFER_UNREACHED)
    {
      req->unreached++;
      req->sends--;
      req->may_have_run = req->may_have_run_before;
      count_up (COUNT_UNREACHED);
      after_try (req, RETRY_UNREACHED);
      return;
    }
  after_try (req, req->rejected ? RETRY_REJECTED : req->begun ? RETRY_CUT : RETRY_BROKEN);
}

static const HXferOps xfer_ops = { on_head, on_body, on_end, on_failed };

static int64_t
silence_bound (const Req *req)
{
  double aim = (double) req->route->aim_us;

  if (req->route->kind != RT_STREAM)
    return MAX (SILENT_LEAST / 2, (int64_t) (aim * SILENT_PLAIN));
  return MAX (SILENT_LEAST, (int64_t) (aim * SILENT_STREAM)
                                + (int64_t) req->facts.prompt_tokens * SILENT_TOKEN_US);
}

static void
send_to (Req *req, const SeamServer *server)
{
  Requests *all = req->all;
  const GByteArray *body = hcall_body (req->call);
  bool once = !rt_route_repeatable (req->route);
  HCliTarget target = { server->addr, server->id, CONNECT_MOST, once ? IDLE_MOST_ONCE : IDLE_MOST,
                        strcmp (hmsg_method (hcall_msg (req->call)), "HEAD") == 0 };
  SeamForward forward = { .server = server->id,
                          .org = req->org ? req->org->name : NULL,
                          .left_us = req->end_at - now_of (req),
                          .last_event = req->begun ? events_last_id (req->stream) : NULL,
                          .body = body->data,
                          .body_size = body->len };
  GString *message = g_string_sized_new (1024 + body->len);

  all->conf.seam->write_request (message, hcall_msg (req->call), &forward);
  req->sends++;
  req->may_have_run_before = req->may_have_run;
  req->may_have_run = true; /* from here on only a server's word, or no connection, denies it */
  req->sent_at = now_of (req);
  count_up (COUNT_SENDS);
  arm_silence (req, silence_bound (req));
  req->xfer = hcli_send (all->conf.cli, &target, message, &xfer_ops, req);
  g_string_free (message, TRUE);
  if (req->xfer == NULL)
    on_failed (req, HXFER_UNREACHED);
}

static void
on_silence (LoopTimer *timer)
{
  Req *req = (Req *) ((char *) timer - offsetof (Req, silence));

  if (req->xfer == NULL)
    return;
  count_up (COUNT_SILENT);
  after_try (req, RETRY_SILENT);
}

/* ---- Verdicts of the scheduler ---- */

void
requests_grant (Requests *all, uint64_t number, const char *id)
{
  Req *req = g_hash_table_lookup (all->by_number, &number);
  SchedResult rejected = { .outcome = SCHED_LEFT };

  if (req == NULL)
    return;
  const SeamServer *server = servers_find (all->conf.servers, id);
  count_time (TIMED_WAIT, now_of (req) - req->arrived);
  g_free (req->server);
  req->server = g_strdup (id);
  jlog (JLOG_DEBUG, "send", req->id, JL_TEXT ("server", id),
        JL_MS ("waited_ms", now_of (req) - req->arrived),
        JL_TEXT ("by", place_by (all->conf.place)),
        JL_MS ("list_age_ms", now_of (req) - servers_asked_at (all->conf.servers)));
  if (server == NULL || server->leaving)
    {
      /* The scheduler decided by an older list than the one held here. */
      place_done (all->conf.place, number, &rejected);
      forget_number (req);
      g_free (req->avoid);
      req->avoid = g_strdup (id);
      ask (req, false);
      return;
    }
  send_to (req, server);
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
  req->silence.fire = on_silence;
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

static void
proceed (Req *req)
{
  Requests *all = req->all;

  if (!admit (req))
    return;
  int64_t patience = req->facts.patience_us ? MIN (req->facts.patience_us, req->route->timeout_us)
                                            : req->route->timeout_us;
  req->end_at = req->arrived + patience;
  req->first_by = req->end_at;
  if (req->route->kind == RT_STREAM)
    req->first_by = MIN (
        req->end_at,
        req->arrived + all->conf.seam->first_patience (req->route->aim_us, req->route->gap_us));
  req->service = rt_route_target (req->route, g_random_int ());
  budget_note (all->conf.budget, req->service);
  loop_timer_set (all->conf.loop, &req->limit, req->end_at);
  ask (req, true);
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
