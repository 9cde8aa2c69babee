/* try.c - one try of a request at one server, from the first byte sent to the end of the answer.
 *
 * may_have_run is set before the first byte can leave, and taken back only by the server's own word
 * that it did not run the request, or when no connection was established.
 *
 * A plain answer is held until it is whole, so that a broken one can still become a clear failure
 * or another try. A stream's head waits for its first event, and only whole events pass.
 */
#include "reqint.h"
#include "count.h"
#include "jlog.h"

#include <string.h>

/* Tuning; each row with its reason. */
#define CONNECT_MOST (250 * FT_MS)   /* a connection takes two one-way delays and 1 ms */
#define IDLE_MOST    (8 * FT_SECOND) /* rest of a connection, where rested ones have broken lately */
#define BREAKS_AT_ONCE                                                                             \
  (25 * FT_MS) /* the reset of a connection that the other end has forgotten is back within a      \
                  round trip, some 2 ms between failure domains; answers take longer */
#define HELD_MOST       (1u << 20)  /* a longer plain answer is passed on as it comes, bytes ... */
#define HELD_PRESSED    (16u << 10) /* ... and a shorter one while callers read too slowly */
#define SILENT_PLAIN    2.0         /* times the aim without a plain answer */
#define SILENT_STREAM   2.0         /* times the aim without a first event ... */
#define SILENT_TOKEN_US 60 /* ... and so long for each token of the prompt: the slowest seen */
#define SILENT_LEAST    (600 * FT_MS)

/* Does the answer speak of our request? */
static bool
is_ours (const Req *req, const SeamAnswer *answer)
{
  return answer->id == NULL || strcmp (answer->id, req->id) == 0;
}

static void
note_first (Req *req)
{
  int64_t now = req_now (req);

  if (req->first_at)
    return;
  req->first_at = now;
  count_time (TIMED_FIRST, now - req->sent_at);
  place_first (req->all->conf.place, req->number, now - req->sent_at);
}

/* The server said that it did not run the request. One that is not the server that was meant says
 * nothing of that one but that it is gone: no server of the request's was reached. */
static void
after_rejection (Req *req)
{
  if (!req->elsewhere)
    {
      req_after_try (req, RETRY_REJECTED);
      return;
    }
  req->sends--;
  req->unreached++;
  req_after_try (req, RETRY_GONE);
}

/* What the server says of itself counts if the answer is its own, to this request. A value that
 * cannot be read takes nothing back. */
static void
take_notice (const Req *req, const SeamAnswer *answer)
{
  const Notice *notice = &answer->notice;
  Place *place = req->all->conf.place;
  bool news = false;

  if (answer->elsewhere || (answer->id == NULL && *req->id))
    return;
  if (answer->unread == NULL || !notice_is_empty (notice))
    news = place_notice (place, req->number, req->server, notice) == NOTICES_NEW;
  if (answer->unread)
    news = place_unread (place, req->server) || news;
  if (!notice_is_empty (notice))
    count_up (COUNT_NOTICES);
  if (news)
    jlog (JLOG_INFO, "server-notice", req->id, JL_TEXT ("server", req->server),
          JL_INT ("status", req->status), JL_INT ("rate_milli", notice->rate * 1e3),
          JL_INT ("leaving", notice->leaving), JL_MS ("backoff_ms", notice->backoff_us),
          JL_TEXT ("unread", answer->unread), JL_TEXT ("by", place_by (place)));
}

static bool
on_head (void *user, const HMsg *msg)
{
  Req *req = user;
  SeamAnswer answer;

  req->all->conf.seam->read_answer (msg, &answer);
  req->unframed = hmsg_body_until_close (msg);
  if (!is_ours (req, &answer))
    {
      jlog (JLOG_WARN, "foreign-answer", req->id, JL_TEXT ("server", req->server),
            JL_TEXT ("other", answer.id));
      return false;
    }
  req->head_seen = true;
  req->status = hmsg_status (msg);
  req->slowness = answer.slowness;
  take_notice (req, &answer);
  if (answer.not_run && (answer.id || req->status == 400))
    {
      /* Its own word that this try did not run; earlier tries stand. */
      req->may_have_run = req->may_have_run_before;
      req->rejected = true;
      req->elsewhere = answer.elsewhere;
      return true;
    }
  bool promises
      = req->status == 503 || req->status == 429 || req->status == 408 || req->status == 421;
  if (promises || (answer.id == NULL && *req->id))
    {
      /* Not the word of the server that holds our request: it proves nothing. */
      req_after_try (req, RETRY_BROKEN);
      return true;
    }
  req->is_stream = answer.event_stream && req->status / 100 == 2;
  if (req->begun && !req->is_stream)
    {
      req_after_try (req, RETRY_CUT); /* it cannot go on behind what the caller has */
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
  loop_timer_set (req->all->conf.loop, &req->silence, req_now (req) + in);
}

/* Failure: callers read more slowly than their streams come. Symptom: what they have not read fills
 * the memory, and the process ends with all that it holds. A server whose caller does not keep up
 * is no longer read from; its silence says nothing then. */
static void
hold_if_full (Req *req)
{
  if (req->xfer == NULL || req->slowed || !hcall_is_full (req->call))
    return;
  req->slowed = true;
  hxfer_pause (req->xfer, true);
  loop_timer_stop (req->all->conf.loop, &req->silence);
}

void
try_room (Req *req)
{
  req->slowed = false;
  if (req->xfer == NULL)
    return;
  hxfer_pause (req->xfer, false);
  if (req->event_at)
    req->event_at = req_now (req);
  if (req->is_stream)
    arm_silence (req, MAX (SILENT_EVENT, 4 * req->route->gap_us));
}

static void
relay_events (Req *req, const char *data, size_t size)
{
  GString *out = g_string_sized_new (size);
  unsigned count = events_feed (req->stream, data, size, out);
  int64_t now = req_now (req);

  if (count > 0)
    {
      note_first (req);
      if (req->event_at)
        {
          req->event_sum += now - req->event_at;
          req->pause_most = MAX (req->pause_most, now - req->event_at);
        }
      req->event_at = now;
      req->events += count;
      if (!req->begun)
        begin (req);
      arm_silence (req, MAX (SILENT_EVENT, 4 * req->route->gap_us));
      hcall_write (req->call, out->str, out->len);
      hold_if_full (req);
    }
  g_string_free (out, TRUE);
}

/* A plain answer is held until it is whole, unless it is too long for that. */
static void
take_plain (Req *req, const char *data, size_t size)
{
  size_t most = hcall_is_memory_short (req->call) ? HELD_PRESSED : HELD_MOST;

  if (!req->begun)
    g_string_append_len (req->held, data, (gssize) size);
  else
    hcall_write (req->call, data, size);
  if (!req->begun && req->held->len > most)
    {
      begin (req);
      hcall_write (req->call, req->held->str, req->held->len);
      g_string_free (req->held, TRUE); /* truncated it would keep its memory */
      req->held = g_string_new (NULL);
    }
  hcall_set_buffered (req->call, req->held->len);
  if (req->begun)
    hold_if_full (req);
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
  take_plain (req, data, size);
}

/* Does its end show that the server has outlived the request? */
static bool
is_proof (const Req *req)
{
  return !req->unframed && req->status < 500 && (!req->is_stream || req->events > 0);
}

/* The server may be gone; what it ran is found out by the witness. */
static void
note_break (const Req *req)
{
  if (!req->rejected)
    witness_broke (req->all->conf.witness, req->server, req->addr, req->content, req->id);
}

static void
on_end (void *user)
{
  Req *req = user;

  req->xfer = NULL;
  if (req->rejected)
    {
      after_rejection (req);
      return;
    }
  note_first (req);
  if (req->unframed)
    note_break (req);
  else if (is_proof (req))
    witness_answered (req->all->conf.witness, req->server, req->content, req->sent_at);
  if (req->is_stream && events_has_partial (req->stream))
    req_after_try (req, RETRY_CUT);
  else if (req->is_stream)
    {
      if (!req->begun)
        begin (req);
      req_after_try (req, RETRY_ANSWERED);
    }
  else
    req_after_try (req, req->status >= 500 ? RETRY_FAILURE : RETRY_ANSWERED);
}

static void
on_failed (void *user, HXferFault fault)
{
  Req *req = user;

  req->xfer = NULL;
  req->fault = fault;
  req->faulty = true;
  if (fault == HXFER_BROKEN)
    note_break (req);
  if (fault == HXFER_NOT_CONNECTED || fault == HXFER_REFUSED)
    {
      req->unreached++;
      req->sends--;
      req->may_have_run = req->may_have_run_before;
      count_up (COUNT_UNREACHED);
      if (fault == HXFER_REFUSED)
        witness_refused (req->all->conf.witness, req->server);
      req_after_try (req, RETRY_UNREACHED);
      return;
    }
  req->broke = !req->head_seen && req_now (req) - req->sent_at < BREAKS_AT_ONCE;
  if (req->rejected)
    after_rejection (req);
  else
    req_after_try (req, req->begun ? RETRY_CUT : RETRY_BROKEN);
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

void
try_send (Req *req, const Grant *grant)
{
  const SeamServer *server = &grant->server;
  Requests *all = req->all;
  const GByteArray *body = hcall_body (req->call);
  bool once = !rt_route_repeatable (req->route);
  HCliTarget target = { server->addr, server->id, CONNECT_MOST,
                        once ? grant->rest_most : MAX (IDLE_MOST, grant->rest_most),
                        strcmp (hmsg_method (hcall_msg (req->call)), "HEAD") == 0 };
  SeamForward forward = { .server = server->name,
                          .org = req->org ? req->org->name : NULL,
                          .left_us = req->end_at - req_now (req),
                          .last_event = req->begun ? events_last_id (req->stream) : NULL,
                          .body = body->data,
                          .body_size = body->len };
  GString *message = g_string_sized_new (1024 + body->len);

  all->conf.seam->write_request (message, hcall_msg (req->call), &forward);
  req->sends++;
  req->slowed = false;
  req->addr = server->addr;
  req->may_have_run_before = req->may_have_run;
  req->may_have_run = true; /* from here on only a server's word, or no connection, denies it */
  req->sent_at = req_now (req);
  count_up (COUNT_SENDS);
  arm_silence (req, silence_bound (req));
  req->xfer = hcli_send (all->conf.cli, &target, message, &xfer_ops, req);
  g_string_free (message, TRUE);
  if (req->xfer)
    req->rested = hxfer_conn_idle_us (req->xfer);
  else
    on_failed (req, HXFER_NOT_CONNECTED);
}

void
try_on_silence (LoopTimer *timer)
{
  Req *req = (Req *) ((char *) timer - offsetof (Req, silence));

  if (req->xfer == NULL)
    return;
  count_up (COUNT_SILENT);
  req_after_try (req, RETRY_SILENT);
}
