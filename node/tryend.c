/* tryend.c - the end of an answer that has no framing: only its connection's orderly end says that
 * it is whole.
 *
 *     end of the connection -> is held for a reset (hcli.c) -> tryend_finish
 *                          \-> does the server's run go on (lifetime.c)? -> tryend_on_decided
 *
 * Once both are known it is whole, broken, or a stream that another server is asked about.
 */
#include "reqint.h"
#include "count.h"
#include "jlog.h"

/* For another server to begin to say whether a stream has ended; callers wait for longer. */
#define CONFIRMATION_TIMEOUT (1500 * FT_MS)
/* After which a request that may run again is sent to another server, if attempts and budget are
 * left, although its server may still show that its run goes on. */
#define UNDECIDED_INTERVAL (1500 * FT_MS)

static LifetimeTarget
lifetime_target (const Req *req)
{
  const RtService *service = rt_cat_service (req->cat, req->service);

  return (LifetimeTarget){ req->server, req->server_name, req->addr,
                           service ? service->health_path : NULL };
}

/* The server may have crashed; the crash reporter finds out whether it did and what it ran. */
void
tryend_report_break (Req *req)
{
  CrashRun run = req_crash_run (req);
  LifetimeTarget target = lifetime_target (req);

  if (!req->rejected)
    crashrep_connection_lost (req->requests->conf.crash_reporter, &target, &run);
}

/* An orderly end is the server's own, and the answer whole, only if its run goes on. */
static void
check_lifetime (Req *req)
{
  LifetimeTarget target = lifetime_target (req);

  lifetimes_ask (req->requests->conf.lifetimes, &target, &req->end_wait);
}

/* The server is asked at once, since it may leave after its last answer. */
void
tryend_begin (Req *req)
{
  Loop *loop = req->requests->conf.loop;

  req->ended_at = req_now (req);
  /* The server is not silent any more, and the try gives its place to no replacement. */
  loop_timer_stop (loop, &req->silence);
  loop_timer_stop (loop, &req->ask_pause);
  loop_timer_stop (loop, &req->confirmation);
  req_withdraw_replacement (req);
  count_inc (COUNT_ENDS_UNFRAMED);
  jlog (JLOG_INFO, "end-unframed", req->id, JL_TEXT ("server", req->server),
        JL_INT ("status", req->status), JL_INT ("stream", req->is_stream),
        JL_INT ("repeatable", rt_route_is_repeatable (req->route)), JL_INT ("sends", req->sends),
        JL_INT ("most", req->route->attempts), JL_INT ("events", req->events),
        JL_INT ("bytes", req->buffered->len),
        JL_TEXT ("after_event", req->stream ? events_last_id (req->stream) : ""),
        JL_INT ("relay", req->relay.ip));
  if (req->is_stream && events_has_partial (req->stream))
    {
      tryend_report_break (req);
      req_after_try (req, RETRY_STREAM_CUT);
    }
  else
    check_lifetime (req);
}

/* Nothing but the end of its connection says that the answer is whole: a server that gives it up
 * may end it so, too. A stream may go on at another server, and one that was resumed after its last
 * event has ended if nothing follows. */
static void
finish_unframed (Req *req)
{
  bool has_body = req->begun || req->buffered->len > 0;

  if (req->status / 100 == 2 && !has_body)
    req_after_try (req, RETRY_BROKEN);
  else if (req->is_stream && req->events > 0 && rt_route_is_repeatable (req->route))
    {
      req->unconfirmed = true;
      req->asked_for_more = false;
      loop_timer_set (req->requests->conf.loop, &req->confirmation,
                      req_now (req) + CONFIRMATION_TIMEOUT);
      req_after_try (req, RETRY_UNCONFIRMED);
    }
  else if (req->begun && !hcall_is_unframed (req->call))
    req_after_try (req, RETRY_STREAM_CUT); /* the caller would be told that it is whole */
  else
    try_finish_answer (req);
}

void
tryend_on_confirmation_over (LoopTimer *timer)
{
  Req *req = (Req *) ((char *) timer - offsetof (Req, confirmation));

  req_end_try (req, SCHED_LEFT);
  req_break_off (req, "unconfirmed");
}

void
tryend_await_decision (Req *req)
{
  Loop *loop = req->requests->conf.loop;

  loop_timer_set (loop, &req->end_undecided, loop_now (loop) + UNDECIDED_INTERVAL);
}

void
tryend_on_undecided (LoopTimer *timer)
{
  req_after_try ((Req *) ((char *) timer - offsetof (Req, end_undecided)), RETRY_UNDECIDED);
}

bool
tryend_is_awaited (const Req *req)
{
  return req->end_wait.link.next != &req->end_wait.link;
}

/* Goes on once no reset has come and the server's run is known to go on or not. Until then nothing
 * is said of it: the caller's connection stays open, while the place is given back, as the server
 * serves another request at it. */
void
tryend_finish (Req *req)
{
  if (req->xfer)
    return;
  if (!req->end_decided)
    {
      count_inc (COUNT_ENDS_UNDECIDED);
      req_give_place_back (req, SCHED_LEFT);
      tryend_await_decision (req);
      return;
    }
  loop_timer_stop (req->requests->conf.loop, &req->end_undecided);
  if (req->run_goes_on)
    {
      finish_unframed (req);
      return;
    }
  tryend_report_break (req);
  req_after_try (req, req->begun ? RETRY_STREAM_CUT : RETRY_BROKEN);
}

void
tryend_on_decided (LifetimeWait *wait, LifetimeState state, const char *evidence)
{
  Req *req = (Req *) ((char *) wait - offsetof (Req, end_wait));

  jlog (JLOG_INFO, "end-decided", req->id, JL_TEXT ("server", req->server),
        JL_INT ("goes_on", state == LIFETIME_GOES_ON), JL_TEXT ("evidence", evidence),
        JL_MS ("after_ms", req_now (req) - req->ended_at));
  req->end_decided = true;
  req->run_goes_on = state == LIFETIME_GOES_ON;
  tryend_finish (req);
}
