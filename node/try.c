/* try.c - one try of a request at one server, from the first byte sent to the end of the answer.
 *
 * may_have_run is set before the first byte can be sent, and reset only when the server states that
 * it did not run the request, or when no connection was established.
 *
 * A plain answer is buffered until it is complete, so that a broken one can still be turned into an
 * error or a retry. A stream's head is sent with its first event, and only whole events are
 * relayed.
 */
#include "reqint.h"
#include "count.h"
#include "jlog.h"
#include "relay.h"

#include <string.h>

#define CONNECT_TIMEOUT (250 * FT_MS) /* connecting takes one round trip and 1 ms */
#define RELAYS_MAX      2             /* tried for one place */
#define REUSE_IDLE_MIN                                                                             \
  (8 * FT_SECOND) /* repeatable requests reuse connections idle this long even where idle ones     \
                     have broken lately */
#define STALE_RESET_MAX                                                                            \
  (25 * FT_MS) /* the reset of a connection that the server has dropped arrives within a round     \
                  trip, some 2 ms between failure domains; answers take longer */
#define REJECTION_TIME                                                                             \
  (50 * FT_MS)                    /* for the rest of an answer whose head states "not run" ...     \
                                   */
#define REJECTION_MAX (64u << 10) /* ... bytes of it; after that its connection is closed */
#define BUFFER_MAX    (1u << 20)  /* bytes; a longer plain answer is relayed as it arrives ... */
#define BUFFER_MAX_PRESSED                                                                         \
  (16u << 10)                     /* ... this limit applies while slow callers fill the memory */
#define PLAIN_TIMEOUT_FACTOR  2.0 /* times the route's aim, without any of a plain answer */
#define STREAM_TIMEOUT_FACTOR 2.0 /* times the route's aim, without a first event ... */
#define PREFILL_TIMEOUT_TOKEN_US                                                                   \
  60 /* ... and this for each token of the prompt: the slowest prefill seen */
#define STREAM_TIMEOUT_MIN (600 * FT_MS)
/* For a reset after the orderly end of a plain answer, for which its caller waits. */
#define RESET_WAIT_PLAIN (60 * FT_MS)

/* True unless the answer names another request. */
static bool
matches_request (const Req *req, const AdapterAnswer *answer)
{
  return answer->id == NULL || strcmp (answer->id, req->id) == 0;
}

static void
record_first_byte (Req *req)
{
  int64_t now = req_now (req);

  if (req->first_at)
    return;
  req->first_at = now;
  count_observe (TIMED_FIRST, now - req->sent_at);
  place_report_first (req->requests->conf.place, req->number, now - req->sent_at);
}

/* The server states that it did not run the request. If it is not the server that was addressed,
 * the addressed one no longer exists, and the try counts as one that reached no server. */
static void
handle_rejection (Req *req)
{
  if (!req->wrong_server)
    {
      if (req->begun)
        req->sends--; /* it did not run, and nobody else can get the rest of the answer */
      req_after_try (req, RETRY_REJECTED);
      return;
    }
  req->sends--;
  req->unreached++;
  req_after_try (req, RETRY_OTHER_SERVER);
}

/* Takes the server's notice about itself, if the answer comes from that server and belongs to this
 * request. A value that cannot be parsed leaves the earlier notice in force. */
static void
take_notice (const Req *req, const AdapterAnswer *answer)
{
  const Notice *notice = &answer->notice;
  Place *place = req->requests->conf.place;
  bool news = false;

  if (answer->elsewhere || (answer->id == NULL && *req->id))
    return;
  if (answer->unread == NULL || !notice_is_empty (notice))
    news = place_report_notice (place, req->number, req->server, notice) == NOTICES_CHANGED;
  if (answer->unread)
    news = place_report_unreadable (place, req->server) || news;
  if (!notice_is_empty (notice))
    count_inc (COUNT_NOTICES);
  if (news)
    jlog (JLOG_INFO, "server-notice", req->id, JL_TEXT ("server", req->server),
          JL_INT ("status", req->status), JL_INT ("rate_milli", notice->rate * 1e3),
          JL_INT ("leaving", notice->leaving), JL_MS ("backoff_ms", notice->backoff_us),
          JL_INT ("brittle_milli", notice->brittleness * 1e3), JL_TEXT ("unread", answer->unread),
          JL_TEXT ("by", place_scheduler_name (place)));
}

void
try_arm_silence_timer (Req *req, int64_t in)
{
  req->silence_limit = in;
  loop_timer_set (req->requests->conf.loop, &req->silence, req_now (req) + in);
}

/* The server is not silent any more: its try goes on. */
static void
record_received (Req *req)
{
  req->received_at = req_now (req);
  req->silence_reported = false;
  if (req->next_number == 0 && !req->ask_pause.armed)
    return;
  loop_timer_stop (req->requests->conf.loop, &req->ask_pause);
  req_withdraw_replacement (req);
  try_arm_silence_timer (req, req->silence_limit);
}

static bool
on_head (void *user, const HMsg *msg)
{
  Req *req = user;
  AdapterAnswer answer;

  req->requests->conf.adapter_ops->read_answer (msg, &answer);
  req->close_delimited = hmsg_body_until_close (msg);
  if (!matches_request (req, &answer))
    {
      jlog (JLOG_WARN, "foreign-answer", req->id, JL_TEXT ("server", req->server),
            JL_TEXT ("other", answer.id));
      return false;
    }
  record_received (req);
  req->head_seen = true;
  req->status = hmsg_status (msg);
  req->slowness = answer.slowness;
  take_notice (req, &answer);
  if (answer.has_receipt && answer.id)
    lifetimes_note_answer (req->requests->conf.lifetimes, req->server, req->sent_at);
  if (answer.not_run && (answer.id || req->status == 400))
    {
      /* The server states that this try did not run; earlier tries may still have. */
      req->may_have_run = req->may_have_run_before;
      req->rejected = true;
      req->wrong_server = answer.elsewhere;
      req->rejection_bytes = 0;
      try_arm_silence_timer (req, REJECTION_TIME);
      return true;
    }
  bool claims_not_run
      = req->status == 503 || req->status == 429 || req->status == 408 || req->status == 421;
  bool lacks_receipt = req->status / 100 == 2 && !answer.has_receipt;
  if (claims_not_run || lacks_receipt || (answer.id == NULL && *req->id))
    {
      /* A status that implies that the request did not run, without the server's statement of
       * it, a success without its receipt, or an answer that does not name our request: none of
       * them proves anything. */
      req_after_try (req, RETRY_BROKEN);
      return true;
    }
  req->is_stream = answer.event_stream && req->status / 100 == 2;
  if (req->begun && !req->is_stream)
    {
      req_after_try (req,
                     RETRY_STREAM_CUT); /* not a continuation of the stream that the caller has */
      return true;
    }
  if (!req->begun)
    {
      g_string_truncate (req->fields, 0);
      req->requests->conf.adapter_ops->write_answer (req->fields, msg);
    }
  if (req->is_stream && req->stream == NULL)
    req->stream = events_new (req_is_return (req) ? req->facts.last_event : NULL);
  return true;
}

static void
begin_answer (Req *req)
{
  req->begun = true;
  req->begun_stream = req->is_stream;
  if (req->is_stream)
    req_record_origin (req);
  if (req->close_delimited)
    hcall_begin_unframed (req->call, req->status, req->fields);
  else
    hcall_begin (req->call, req->status, req->fields);
}

/* Stops reading from the server while the caller does not keep up: unread output of slow callers
 * would fill the memory until the process is killed. The silence timer stops too, since nothing
 * is received meanwhile. */
static void
pause_if_full (Req *req)
{
  if (req->xfer == NULL || req->read_paused || !hcall_is_full (req->call))
    return;
  req->read_paused = true;
  hxfer_pause (req->xfer, true);
  loop_timer_stop (req->requests->conf.loop, &req->silence);
}

void
try_caller_drained (Req *req)
{
  req->read_paused = false;
  if (req->xfer == NULL)
    return;
  hxfer_pause (req->xfer, false);
  if (req->event_at)
    req->event_at = req_now (req);
  req->delivered_at = req_now (req);
  req->received_at = req_now (req);
  if (req->is_stream && req->next_number == 0 && !req->ask_pause.armed)
    try_arm_silence_timer (req, MAX (EVENT_TIMEOUT, 4 * req->route->gap_us));
}

/* Only a whole event is a sign of life, since bytes of one that never ends are of no use. */
static void
relay_events (Req *req, const char *data, size_t size)
{
  GString *out = g_string_sized_new (size);
  unsigned dropped = events_dropped (req->stream);
  unsigned count = events_feed (req->stream, data, size, out);
  int64_t now = req_now (req);

  if (count > 0 || events_has_partial (req->stream) || events_dropped (req->stream) > dropped)
    {
      req->unconfirmed = false; /* the server goes on with the stream */
      loop_timer_stop (req->requests->conf.loop, &req->confirmation);
    }
  if (count > 0)
    {
      record_received (req);
      record_first_byte (req);
      if (req->event_at)
        {
          req->event_gap_sum += now - req->event_at;
          req->longest_pause = MAX (req->longest_pause, now - req->event_at);
        }
      req->event_at = now;
      req->events += count;
      if (req->events == count)
        crashrep_began (req->requests->conf.crash_reporter, req->print);
      if (!req->begun)
        begin_answer (req);
      req->delivered_at = now;
      try_arm_silence_timer (req, MAX (EVENT_TIMEOUT, 4 * req->route->gap_us));
      hcall_write (req->call, out->str, out->len);
      pause_if_full (req);
    }
  else if (out->len > 0)
    hcall_write (req->call, out->str, out->len); /* the rest of a line end */
  g_string_free (out, TRUE);
  if (events_is_too_long (req->stream))
    req_after_try (req, req->begun ? RETRY_STREAM_CUT : RETRY_BROKEN);
}

/* Buffers a plain answer until it is complete, unless it is too long for that. */
static void
buffer_plain (Req *req, const char *data, size_t size)
{
  size_t limit = hcall_is_memory_short (req->call) ? BUFFER_MAX_PRESSED : BUFFER_MAX;

  if (!req->begun)
    g_string_append_len (req->buffered, data, (gssize) size);
  else
    hcall_write (req->call, data, size);
  if (!req->begun && req->buffered->len > limit)
    {
      begin_answer (req);
      hcall_write (req->call, req->buffered->str, req->buffered->len);
      g_string_free (req->buffered, TRUE); /* truncating would keep its memory */
      req->buffered = g_string_new (NULL);
    }
  hcall_set_buffered (req->call, req->buffered->len);
  if (req->begun)
    pause_if_full (req);
}

static void
on_body (void *user, const char *data, size_t size)
{
  Req *req = user;

  if (req->xfer == NULL)
    return; /* on_head has ended the try */
  if (req->rejected)
    {
      req->rejection_bytes += size;
      if (req->rejection_bytes > REJECTION_MAX)
        handle_rejection (req);
      return;
    }
  if (req->is_stream)
    {
      relay_events (req, data, size);
      return;
    }
  record_received (req);
  record_first_byte (req);
  buffer_plain (req, data, size);
}

/* True if the complete answer shows that the server survived the request. */
static bool
proves_survival (const Req *req)
{
  return req->status < 500 && (!req->is_stream || req->events > 0);
}

void
try_finish_answer (Req *req)
{
  CrashReporter *reporter = req->requests->conf.crash_reporter;

  if (proves_survival (req))
    {
      crashrep_answered (reporter, req->server, req->print, req->sent_at);
      if (!req->is_stream && req->status / 100 == 2)
        crashrep_began (reporter, req->print);
    }
  if (req->is_stream && !req->begun)
    begin_answer (req);
  req_after_try (req, req->status >= 500 && !req->is_stream ? RETRY_FAILURE : RETRY_ANSWERED);
}

/* The answer has ended in order with its connection, which is held for a reset. */
static void
on_ending (void *user)
{
  Req *req = user;

  if (req->rejected)
    {
      handle_rejection (req); /* ends the try, and so closes the connection */
      return;
    }
  record_first_byte (req);
  tryend_begin (req);
}

static void
on_end (void *user)
{
  Req *req = user;

  req->xfer = NULL;
  if (req->rejected)
    handle_rejection (req);
  else if (req->ended_at)
    tryend_finish (req);
  else
    {
      record_first_byte (req);
      if (req->is_stream && events_has_partial (req->stream))
        req_after_try (req, RETRY_STREAM_CUT);
      else
        try_finish_answer (req);
    }
}

/* ---- Tries that reached no server ---- */

static void send_try (Req *req);

/* Withdraws the current sending: no byte of it has reached the server. */
static void
undo_send (Req *req)
{
  req->sends--;
  req->may_have_run = req->may_have_run_before;
}

/* Sends the request to the same place through a relay that was not tried yet. Returns false if
 * there is none, or if the request was quarantined since it was granted. */
static bool
send_through_relay (Req *req)
{
  if (req->relays_tried >= RELAYS_MAX || req_is_quarantined (req)
      || !egress_pick_relay (req->requests->conf.egress, req->relay.ip, &req->relay))
    return false;
  req->relays_tried++;
  send_try (req);
  return true;
}

/* The relay was not available, so nothing is known of the server. */
static void
on_relay_failed (Req *req)
{
  egress_note_relay_failed (req->requests->conf.egress, req->relay);
  undo_send (req);
  if (send_through_relay (req))
    return;
  if (!req->direct_tried && !req_is_quarantined (req))
    {
      req->relay = (SockAddr){ 0 };
      send_try (req);
      return;
    }
  req->unreached++;
  req_after_try (req, RETRY_NOT_CONNECTED);
}

static void
on_not_connected (Req *req, HXferFault fault)
{
  Egress *egress = req->requests->conf.egress;
  bool direct = req->relay.port == 0;

  undo_send (req);
  /* The relay of an entry that is cut off may have been cut off with it a moment ago. */
  if ((direct || egress_is_lost (egress) || egress_is_suspect (egress)) && send_through_relay (req))
    return;
  req->unreached++;
  count_inc (COUNT_UNREACHED);
  if (fault == HXFER_REFUSED)
    crashrep_refused (req->requests->conf.crash_reporter, req->server);
  req_after_try (req, RETRY_NOT_CONNECTED);
}

/* Leaves one try of a begun answer out of the count if it broke before a byte of its head, as when
 * its server crashes: it has brought nothing, and nobody else can get the rest of the answer. */
static void
spare_attempt (Req *req)
{
  if (!req->begun || req->head_seen || req->spared_attempt)
    return;
  req->spared_attempt = true;
  req->sends--;
}

static void
on_failed (void *user, HXferFault fault)
{
  Req *req = user;

  req->xfer = NULL;
  req->fault = fault;
  req->has_fault = true;
  if (fault == HXFER_BROKEN)
    tryend_report_break (req);
  if (fault == HXFER_RELAY_FAILED)
    {
      on_relay_failed (req);
      return;
    }
  if (fault == HXFER_NOT_CONNECTED || fault == HXFER_REFUSED)
    {
      on_not_connected (req, fault);
      return;
    }
  req->broke_on_send = !req->head_seen && req_now (req) - req->sent_at < STALE_RESET_MAX;
  spare_attempt (req);
  if (req->rejected)
    handle_rejection (req);
  else
    req_after_try (req, req->begun ? RETRY_STREAM_CUT : RETRY_BROKEN);
}

static const HXferOps xfer_ops = { on_head, on_body, on_end, on_failed, on_ending };

static int64_t
silence_timeout (const Req *req)
{
  double aim = (double) req->route->target_us;

  if (req->route->kind != RT_STREAM)
    return MAX (STREAM_TIMEOUT_MIN / 2, (int64_t) (aim * PLAIN_TIMEOUT_FACTOR));
  return MAX (STREAM_TIMEOUT_MIN,
              (int64_t) (aim * STREAM_TIMEOUT_FACTOR)
                  + (int64_t) req->facts.prompt_tokens * PREFILL_TIMEOUT_TOKEN_US);
}

static void
send_try (Req *req)
{
  Requests *requests = req->requests;
  const GByteArray *body = hcall_body (req->call);
  bool relayed = req->relay.port != 0;
  HCliTarget target
      = { .addr = req->addr,
          .key = req->server,
          .connect_us = CONNECT_TIMEOUT,
          .max_idle_us = req->max_idle_us,
          .no_body = strcmp (hmsg_method (hcall_msg (req->call)), "HEAD") == 0,
          .reset_wait_us = req->route->kind == RT_STREAM ? SOCK_RESET_WAIT : RESET_WAIT_PLAIN,
          .relay = req->relay };
  AdapterForward forward = { .server = req->server_name,
                             .org = req->org ? req->org->name : NULL,
                             .left_us = req->deadline - req_now (req),
                             .last_event = req->begun ? events_last_id (req->stream) : NULL,
                             .body = body->data,
                             .body_size = body->len };
  GString *message = g_string_sized_new (1024 + body->len);

  requests->conf.adapter_ops->write_request (message, hcall_msg (req->call), &forward);
  req->sends++;
  req->asked_for_more = true;
  req->direct_tried |= !relayed;
  req->read_paused = false;
  req->may_have_run_before = req->may_have_run;
  req->may_have_run = true; /* until the server denies it or no connection is established */
  req->sent_at = req_now (req);
  count_inc (COUNT_SENDS);
  try_arm_silence_timer (req, silence_timeout (req));
  req->xfer = hcli_send (requests->conf.cli, &target, message, &xfer_ops, req);
  g_string_free (message, TRUE);
  if (req->xfer)
    req->conn_idle = hxfer_conn_idle_us (req->xfer);
  else
    on_failed (req, relayed ? HXFER_RELAY_FAILED : HXFER_NOT_CONNECTED);
}

void
try_send (Req *req, const Grant *grant)
{
  const AdapterServer *server = &grant->server;
  Egress *egress = req->requests->conf.egress;
  bool once = !rt_route_is_repeatable (req->route);

  req->addr = server->addr;
  g_free (req->server_name);
  req->server_name = g_strdup (server->name);
  req->max_idle_us = once ? grant->max_idle_us : MAX (REUSE_IDLE_MIN, grant->max_idle_us);
  req->relay = (SockAddr){ 0 };
  req->relays_tried = 0;
  req->direct_tried = false;
  if (egress_is_doubtful (egress, server->id) && egress_pick_relay (egress, 0, &req->relay))
    req->relays_tried = 1;
  send_try (req);
}

void
try_on_silence (LoopTimer *timer)
{
  Req *req = (Req *) ((char *) timer - offsetof (Req, silence));

  if (req->xfer == NULL)
    return;
  if (req->rejected)
    {
      handle_rejection (req); /* ends the try, and so closes the connection */
      return;
    }
  int64_t left = MAX (req->sent_at, req->received_at) + req->silence_limit - req_now (req);
  if (left > 0)
    {
      loop_timer_set (req->requests->conf.loop, timer, req_now (req) + left);
      return;
    }
  count_inc (COUNT_SILENT_TRIES);
  req_after_try (req, RETRY_SILENT);
}
