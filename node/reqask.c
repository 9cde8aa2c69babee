/* reqask.c - asks a scheduler for a place for a request and acts on its grant or refusal; stops
 * quarantined requests, whose content or parts have crashed several servers. */
#include "reqint.h"
#include "count.h"
#include "jlog.h"

#include <string.h>

#define OUTPUT_GUESS_DIVISOR                                                                       \
  2 /* expected output without an estimate: half of the caller's maximum */
#define RESUME_AIM (600 * FT_MS) /* for the next event; enough to read a usual prompt again */
#define VERSION_GONE_WAIT                                                                          \
  (1500 * FT_MS) /* for a server of the version that began a stream: two readings of the list */
#define ASK_PAUSE_MIN (50 * FT_MS) /* between a refusal and the next ask of a begun answer */
#define ASK_PAUSE_MAX (300 * FT_MS)

/* ---- Asking for a place ---- */

static double
limit_cost (const Req *req)
{
  if (req->org == NULL || req->org->rate <= 0)
    return 0;
  if (!req->org->by_tokens)
    return 1;
  if (req->facts.has_tokens)
    return req->facts.prompt_tokens + req->facts.output_max;
  return req->org->default_tokens;
}

static unsigned
expected_tokens (const AdapterRequest *facts)
{
  unsigned guess
      = facts->output_estimate ? facts->output_estimate : facts->output_max / OUTPUT_GUESS_DIVISOR;

  return facts->output_max ? MIN (guess, facts->output_max) : guess;
}

/* Names the servers to which this entry has idle connections, so that the scheduler can prefer
 * them. Without it, with hundreds of entries that each send a few requests a second to hundreds of
 * servers, four in five requests to engines waited for a new connection, although the entry had 23
 * idle ones to other servers. */
static unsigned
list_idle_connections (const Requests *requests, uint32_t *kept)
{
  const char *keys[SCHED_CONNECTED_MAX];

  if (egress_is_lost (requests->conf.egress))
    return 0; /* they are not used */
  unsigned count = hcli_idle_keys (requests->conf.cli, keys, SCHED_CONNECTED_MAX);

  for (unsigned i = 0; i < count; i++)
    kept[i] = sched_server_digest (keys[i]);
  return count;
}

/* When the caller gives up unless it gets another part of the answer. */
static int64_t
caller_patience_end (const Req *req)
{
  if (!req->begun)
    return req->first_deadline;
  int64_t waits_since = hcall_is_full (req->call) ? req_now (req) : req->delivered_at;
  return MIN (req->deadline, waits_since
                                 + req->requests->conf.adapter_ops->first_event_timeout (
                                     req->route->target_us, req->route->gap_us));
}

/* Opens an ask and stores its number, which must stay where it is until the ask is closed. */
static void
open_ask (Req *req, uint64_t *number, const char *avoid)
{
  SchedAsk out = { 0 };
  uint32_t kept[SCHED_CONNECTED_MAX];
  int64_t now = req_now (req);

  *number = ++req->requests->next_number;
  g_hash_table_insert (req->requests->by_number, number, req);
  out.request = *number;
  out.service = req->service;
  out.org = req->org ? req->org->name : "";
  out.tier = rt_priority (req->route, req->org);
  out.stream = req->route->kind == RT_STREAM;
  out.repeatable = rt_route_is_repeatable (req->route);
  out.prompt_tokens = req->facts.prompt_tokens;
  out.output_tokens = expected_tokens (&req->facts);
  out.shared_part = req->facts.shared_part;
  out.content = req->begun ? 0 : req->print->keys[0]; /* no caller has come back */
  out.route = g_str_hash (req->route->name);
  out.gap_us = req->route->gap_us;
  out.limit_at = caller_patience_end (req);
  /* With the aim of its first event, which has passed, an answer of which the caller has a part
   * would queue behind all requests that can still be on time. */
  out.aim_at = req->begun || req_is_return (req)
                   ? now + MAX (req->route->gap_us, RESUME_AIM)
                   : req->arrived + req->route->target_us - req->waited_before;
  out.end_at = req->deadline;
  out.avoid = avoid;
  out.version = req->version;
  out.kept = kept;
  out.kept_count = list_idle_connections (req->requests, kept);
  place_ask (req->requests->conf.place, &out, req->was_granted ? 0 : limit_cost (req));
}

static void
reset_try (Req *req)
{
  req->silence_reported = false;
  req->head_seen = req->is_stream = req->rejected = req->wrong_server = req->has_fault = false;
  req->close_delimited = req->end_decided = req->run_goes_on = false;
  req->ended_at = 0;
  req->sent_at = req->first_at = req->event_at = req->event_gap_sum = req->received_at = 0;
  req->events = 0;
  req->conn_idle = 0;
  req->broke_on_send = false;
  g_string_truncate (req->buffered, 0);
  hcall_set_buffered (req->call, 0);
}

static void
ask (Req *req)
{
  reset_try (req);
  open_ask (req, &req->number, req->avoid_server);
}

/* ---- Quarantined requests ---- */

static void
end_as_quarantined (Req *req, const QuarVerdict *verdict)
{
  char content[CONTENT_ID_SIZE], key[CONTENT_ID_SIZE];
  const char *why = ft_reason_info (FT_REASON_QUARANTINED)->code;

  count_inc (COUNT_QUARANTINED);
  jlog (JLOG_INFO, "decision", req->id, JL_TEXT ("reason", why),
        JL_TEXT ("content", content_format (req->print->keys[0], content)),
        JL_TEXT ("key", content_format (verdict->key, key)), JL_INT ("ends", verdict->ends),
        JL_MS ("known_ms", verdict->blocked_for_us), JL_TEXT ("by", "entry"));
  if (req->begun)
    req_break_off (req, why);
  else if (req->may_have_run)
    req_answer_error (req, 502, 0, why);
  else /* a long Retry-After: it stays quarantined beyond the caller's deadline */
    req_answer_error (req, 503, MAX (50 * FT_MS, (req->deadline - req_now (req)) / 3), why);
}

/* A begun stream whose first server's version was never known goes on nowhere. */
static bool
lacks_version (const Req *req)
{
  return req->begun_stream && req->version == NULL;
}

void
req_ask (Req *req)
{
  QuarVerdict verdict = crashrep_check (req->requests->conf.crash_reporter, req->print);

  loop_timer_stop (req->requests->conf.loop, &req->ask_pause);
  if (lacks_version (req))
    req_break_off (req, "origin-unknown");
  else if (verdict.state == QUAR_BLOCKED)
    end_as_quarantined (req, &verdict);
  else if (verdict.state == QUAR_RECHECK)
    loop_timer_set (req->requests->conf.loop, &req->verdict_wait, verdict.recheck_at);
  else
    ask (req);
}

/* ---- Replacing the current try ---- */

static const SchedResult withdrawn = { .outcome = SCHED_LEFT };

static void
clear_next_number (Req *req)
{
  g_hash_table_remove (req->requests->by_number, &req->next_number);
  req->next_number = 0;
}

/* Where the end of the process is the time limit, there may be no time for a run that starts over,
 * while the silent one may still end. The connection to a server that is gone fails by itself. */
static bool
must_keep_try (const Req *req)
{
  return req->requests->ends_at && req->deadline >= req->requests->ends_at && !req->begun;
}

void
req_ask_replacement (Req *req)
{
  QuarVerdict verdict = crashrep_check (req->requests->conf.crash_reporter, req->print);

  if (req->next_number || lacks_version (req) || must_keep_try (req))
    return;
  if (verdict.state == QUAR_RECHECK)
    loop_timer_set (req->requests->conf.loop, &req->ask_pause, verdict.recheck_at);
  else if (verdict.state < QUAR_RECHECK)
    open_ask (req, &req->next_number, req->server);
}

void
req_withdraw_replacement (Req *req)
{
  if (req->next_number == 0)
    return;
  place_end (req->requests->conf.place, req->next_number, &withdrawn);
  clear_next_number (req);
}

void
req_promote_replacement (Req *req)
{
  uint64_t number = req->next_number;

  clear_next_number (req);
  reset_try (req);
  req->number = number;
  g_hash_table_insert (req->requests->by_number, &req->number, req);
}

void
req_on_verdict_wait_over (LoopTimer *timer)
{
  req_ask ((Req *) ((char *) timer - offsetof (Req, verdict_wait)));
}

bool
req_is_quarantined (const Req *req)
{
  return crashrep_check (req->requests->conf.crash_reporter, req->print).state >= QUAR_RECHECK;
}

/* Withdraws the open ask, with the place if one was granted, and asks again. */
static void
ask_again (Req *req)
{
  place_end (req->requests->conf.place, req->number, &withdrawn);
  req_clear_number (req);
  req_ask (req);
}

void
req_on_recheck (LoopTimer *timer)
{
  Requests *requests = (Requests *) ((char *) timer - offsetof (Requests, recheck));
  GPtrArray *quarantined = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, requests->by_number);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Req *) value)->xfer == NULL && !tryend_is_awaited (value) && req_is_quarantined (value))
      g_ptr_array_add (quarantined, value);
  for (unsigned i = 0; i < quarantined->len; i++)
    ask_again (quarantined->pdata[i]);
  g_ptr_array_unref (quarantined);
}

/* Deferred to the next turn of the loop. This may be called while a broken connection is being
 * handled, and checking that connection's request then would end it twice and crash the entry. In
 * the next turn every request without a transfer waits for a place. */
void
requests_recheck (Requests *requests)
{
  loop_timer_set (requests->conf.loop, &requests->recheck, loop_now (requests->conf.loop));
}

/* ---- Decisions of the scheduler ---- */

static void
end_without_place (Req *req, int64_t retry_after_us, FtReason reason)
{
  const FtReasonInfo *info = ft_reason_info (reason);

  if (req->begun)
    req_break_off (req, info->code);
  else if (req->may_have_run)
    req_answer_error (req, 502, 0, "outcome-unknown");
  else
    req_answer_error (req, info->http_status == 429 ? 429 : 503, retry_after_us, info->code);
}

/* True if this entry's server list shows the server as leaving or with a version that gets no such
 * requests, or lacks it and is newer than the list by which the scheduler granted it. */
static bool
is_known_unusable (const Req *req, const char *id, int64_t listed_at)
{
  const Requests *requests = req->requests;
  const AdapterServer *held = servers_find (requests->conf.servers, id);
  bool kept = req->version && place_uses_voter (requests->conf.place);

  if (held)
    return held->leaving
           || versions_is_blocked (requests->conf.versions, held->service, held->version, kept);
  return servers_asked_at (requests->conf.servers) > listed_at;
}

/* True if the server itself asked not to be sent requests. The scheduler may have granted it before
 * it learned of that. */
static bool
is_withheld (const Req *req)
{
  Place *place = req->requests->conf.place;
  int64_t left;
  const char *why = place_block_reason (place, req->server, &left);

  if (why == NULL)
    return false;
  count_inc (COUNT_GRANTS_RETURNED);
  jlog (JLOG_INFO, "grant-returned", req->id, JL_TEXT ("server", req->server), JL_TEXT ("why", why),
        JL_MS ("left_ms", left), JL_TEXT ("by", place_scheduler_name (place)));
  return true;
}

/* A caller that has a part of its answer is owed the rest, so the request asks again until that
 * caller gives up; and so does one whose current try may still be answered. */
bool
req_ask_later (Req *req, int64_t advice_us)
{
  int64_t at = req_now (req) + CLAMP (advice_us, ASK_PAUSE_MIN, ASK_PAUSE_MAX);

  if (at >= caller_patience_end (req))
    return false;
  loop_timer_set (req->requests->conf.loop, &req->ask_pause, at);
  return true;
}

void
req_on_ask_pause_over (LoopTimer *timer)
{
  Req *req = (Req *) ((char *) timer - offsetof (Req, ask_pause));

  if (req->xfer)
    req_ask_replacement (req);
  else if (req->needs_budget && !budget_take (req->requests->conf.budget, req->service))
    {
      if (!req_ask_later (req, ASK_PAUSE_MAX))
        req_break_off (req, "retry-budget");
    }
  else
    {
      req->needs_budget = false;
      req_ask (req);
    }
}

/* NULL: unknown. */
static const char *
software_of (const Requests *requests, const AdapterServer *server)
{
  const AdapterServer *held = servers_find (requests->conf.servers, server->id);

  return server->version && *server->version ? server->version : held ? held->version : NULL;
}

/* True for a place at a server that did not begin the stream: the scheduler is an older program,
 * which does not know that a request may be bound to a version. */
static bool
is_other_version (const Req *req, const AdapterServer *server)
{
  const char *software = software_of (req->requests, server);

  return req->version && strcmp (software ? software : "", req->version) != 0;
}

/* Gives the place back and asks again after a pause, since the same scheduler may decide likewise.
 */
static void
return_grant (Req *req)
{
  count_inc (COUNT_GRANTS_RETURNED);
  jlog (JLOG_INFO, "grant-returned", req->id, JL_TEXT ("server", req->server),
        JL_TEXT ("why", "version"), JL_TEXT ("software", req->software),
        JL_TEXT ("wanted", req->version),
        JL_TEXT ("by", place_scheduler_name (req->requests->conf.place)));
  place_end (req->requests->conf.place, req->number, &withdrawn);
  req_clear_number (req);
  g_free (req->avoid_server);
  req->avoid_server = g_strdup (req->server);
  if (!req_ask_later (req, ASK_PAUSE_MAX))
    end_without_place (req, 0, FT_REASON_VERSION_GONE);
}

/* This instance's own scheduler answers within the iteration of the loop. If it grants one place
 * after another that cannot be used, asking again at once would never end. */
static void
ask_after_unusable (Req *req)
{
  bool first = req->unusable_at != req_now (req); /* of this iteration */

  req->unusable_at = req_now (req);
  if (first)
    {
      ask_again (req);
      return;
    }
  place_end (req->requests->conf.place, req->number, &withdrawn);
  req_clear_number (req);
  if (!req_ask_later (req, ASK_PAUSE_MIN))
    end_without_place (req, 0, FT_REASON_SHORTAGE);
}

/* Another server has a place for a request whose current try is silent. The try ends now, unless
 * the place cannot be used or the retry budget is used up. */
static bool
end_silent_try (Req *req, const Grant *grant)
{
  Requests *requests = req->requests;
  const AdapterServer *server = &grant->server;

  if (strcmp (server->id, req->server) == 0 || server->leaving
      || is_known_unusable (req, server->id, grant->listed_at) || is_other_version (req, server)
      || place_block_reason (requests->conf.place, server->id, &(int64_t){ 0 })
      || req_is_quarantined (req) || !budget_take (requests->conf.budget, req->service))
    {
      req_withdraw_replacement (req);
      req_ask_later (req, ASK_PAUSE_MAX);
      return false;
    }
  count_inc (req->begun ? COUNT_RESUMES : COUNT_REPEATS);
  g_free (req->avoid_server);
  req->avoid_server = g_strdup (req->server);
  req_end_try (req, SCHED_LEFT); /* the silence was reported before */
  if (req->stream)
    events_drop_partial (req->stream);
  req_promote_replacement (req);
  return true;
}

void
requests_grant (Requests *requests, uint64_t number, const Grant *grant)
{
  const AdapterServer *server = &grant->server;
  Req *req = g_hash_table_lookup (requests->by_number, &number);

  if (req == NULL || (number == req->next_number && !end_silent_try (req, grant)))
    return;
  req->was_granted = true;
  req->gone_since = 0;
  count_observe (TIMED_WAIT, req_now (req) - req->arrived);
  g_free (req->server);
  req->server = g_strdup (server->id);
  g_free (req->software);
  req->software = g_strdup (software_of (req->requests, server));
  jlog (JLOG_DEBUG, "send", req->id, JL_TEXT ("server", server->id),
        JL_TEXT ("software", req->software), JL_MS ("waited_ms", req_now (req) - req->arrived),
        JL_TEXT ("by", place_scheduler_name (requests->conf.place)),
        JL_MS ("list_age_ms", req_now (req) - grant->listed_at));
  if (is_other_version (req, server))
    return_grant (req);
  else if (server->leaving || is_known_unusable (req, server->id, grant->listed_at)
           || is_withheld (req))
    {
      g_free (req->avoid_server);
      req->avoid_server = g_strdup (server->id);
      ask_after_unusable (req);
    }
  else if (req_is_quarantined (req))
    ask_again (req);
  else
    try_send (req, grant);
}

/* No server of the version is listed. One that has crashed starts again at its version, and the
 * list shows it later. */
static bool
may_come_back (Req *req)
{
  int64_t now = req_now (req);

  if (req->gone_since == 0)
    req->gone_since = now;
  return now - req->gone_since < VERSION_GONE_WAIT;
}

void
requests_refuse (Requests *requests, uint64_t number, const SchedRefusal *refusal)
{
  Req *req = g_hash_table_lookup (requests->by_number, &number);
  const FtReasonInfo *info = ft_reason_info (refusal->reason);

  if (req == NULL)
    return;
  if (number == req->next_number)
    clear_next_number (req);
  else
    req_clear_number (req);
  jlog (JLOG_INFO, "decision", req->id, JL_TEXT ("reason", info->code),
        JL_TEXT ("rule", refusal->rule), JL_MS ("retry_ms", refusal->retry_after_us),
        JL_TEXT ("by", place_scheduler_name (requests->conf.place)));
  bool waits = refusal->reason == FT_REASON_VERSION_GONE ? may_come_back (req) : req->begun;
  if ((req->xfer || waits) && req_ask_later (req, refusal->retry_after_us))
    return;
  if (req->xfer)
    return; /* the current try is all that is left */
  end_without_place (req, refusal->retry_after_us, refusal->reason);
}
