/* reqask.c - how a request comes to a place: asked for, granted or refused; or stopped, since
 * servers ended under its content. */
#include "reqint.h"
#include "count.h"
#include "jlog.h"

/* Tuning; each row with its reason. */
#define GUESS_PART 2 /* of the caller's bound, when it gives no estimate */

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
  hcall_set_buffered (req->call, 0);
  out.request = req->number;
  out.service = req->service;
  out.org = req->org ? req->org->name : "";
  out.tier = rt_order (req->route, req->org);
  out.stream = req->route->kind == RT_STREAM;
  out.repeatable = rt_route_repeatable (req->route);
  out.prompt_tokens = req->facts.prompt_tokens;
  out.output_tokens = expected_tokens (&req->facts);
  out.shared_part = req->facts.shared_part;
  out.content = req->content;
  out.route = g_str_hash (req->route->name);
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
    req_break_off (req, why);
  else if (req->may_have_run)
    req_answer_own (req, 502, 0, why);
  else /* as late as a caller heeds: nothing lets the content go within its time */
    req_answer_own (req, 503, MAX (50 * FT_MS, (req->end_at - req_now (req)) / 3), why);
}

void
req_ask (Req *req)
{
  QuarVerdict verdict = witness_judge (req->all->conf.witness, req->content);

  if (verdict.state == QUAR_HELD)
    end_quarantined (req, &verdict);
  else if (verdict.state == QUAR_SETTLES)
    loop_timer_set (req->all->conf.loop, &req->settle, verdict.settles_at);
  else
    ask (req);
}

void
req_on_settled (LoopTimer *timer)
{
  req_ask ((Req *) ((char *) timer - offsetof (Req, settle)));
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
  req_forget_number (req);
  req_ask (req);
}

void
req_on_review (LoopTimer *timer)
{
  Requests *all = (Requests *) ((char *) timer - offsetof (Requests, review));
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

/* Failure: a connection breaks late, and the end of its server, which that tells of, is known.
 * Symptom: its request, looked at in the middle of its own break, is ended twice, and the entry
 * dies. In the loop's next turn each request without a transfer waits for a place. */
void
requests_review (Requests *all)
{
  loop_timer_set (all->conf.loop, &all->review, loop_now (all->conf.loop));
}

/* ---- Verdicts of the scheduler ---- */

/* Does the list held here say that the server leaves or has a version that gets nothing, or, if it
 * is newer than the one by which it was granted, no longer name it? */
static bool
is_known_gone (const Requests *all, const char *id, int64_t listed_at)
{
  const SeamServer *held = servers_find (all->conf.servers, id);

  if (held)
    return held->leaving || versions_bar (all->conf.versions, held->service, held->version);
  return servers_asked_at (all->conf.servers) > listed_at;
}

/* A grant may have been made before the scheduler learned of the server's notice. */
static bool
is_withheld (const Req *req)
{
  Place *place = req->all->conf.place;
  int64_t left;
  const char *why = place_withholds (place, req->server, &left);

  if (why == NULL)
    return false;
  count_up (COUNT_WITHHELD);
  jlog (JLOG_INFO, "grant-returned", req->id, JL_TEXT ("server", req->server), JL_TEXT ("why", why),
        JL_MS ("left_ms", left), JL_TEXT ("by", place_by (place)));
  return true;
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
  if (server->leaving || is_known_gone (all, server->id, grant->listed_at) || is_withheld (req))
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
  req_forget_number (req);
  jlog (JLOG_INFO, "decision", req->id, JL_TEXT ("reason", info->code),
        JL_TEXT ("rule", refusal->rule), JL_MS ("retry_ms", refusal->retry_after_us),
        JL_TEXT ("by", place_by (all->conf.place)));
  if (req->begun)
    req_break_off (req, info->code);
  else if (req->may_have_run)
    req_answer_own (req, 502, 0, "outcome-unknown");
  else
    req_answer_own (req, info->http_status == 429 ? 429 : 503, refusal->retry_after_us, info->code);
}
