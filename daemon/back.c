/* back.c - dispatches calls to backend servers and receives their answers.
 *
 * Dispatch. A connection is opened and closed first as a test: if it fails, the call has not been
 * dispatched and may be granted another server. Otherwise the call is marked dispatched, and it
 * can only end with an answer from that server or with an unknown outcome.
 *
 * Streams. One connection at a time carries the answer. When it ends early or goes silent, a new
 * one resumes the stream at the first missing piece. Data that still arrives on an old connection
 * is dropped because of its attempt number, repeated pieces because of their offset. The stream is
 * always resumed at the same engine, so the request runs only once.
 */
#include "back.h"
#include "body.h"
#include "client.h"
#include "dlog.h"
#include "membound.h"
#include "notices.h"
#include "span.h"
#include "sse.h"
#include "stat.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WATCH_INTERVAL    (100 * FT_MS)
#define PROGRESS_INTERVAL (250 * FT_MS) /* windows adapt within a second */
#define RECONNECT_DELAY   (100 * FT_MS)
#define UNREAD_DELAY      (1 * FT_SECOND) /* until a server is asked again for an unread request */
#define RECONNECTS_MAX    200             /* one after another without a piece */
/* A call past its deadline is given up after this many times silence_ms without data. */
#define LATE_SILENCE_FACTOR 3
#define LATE_MAX            (60 * FT_SECOND) /* past its deadline, for one connection */
#define ANSWER_MAX          (16u << 20)
#define ANSWERS_MAX         (64u << 20) /* of all calls that have not ended */
#define PAUSE_TIMEOUT       (2 * FT_SECOND)

struct Back
{
  Core *core;
  Plat *plat;
  CallTable *calls;
  MemBound *bound; /* of the memory of answers that have not ended */
  GThreadPool *workers;
  char *instance;
  pthread_mutex_t notices_lock;
  Notices *notices; /* servers that asked this instance to back off; under notices_lock */
};

typedef enum
{
  WORK_SEND,
  WORK_RESUME,
  WORK_PAUSE
} WorkKind;

typedef struct
{
  WorkKind kind;
  Call *call;
  unsigned attempt;
} Work;

/* State of reading one connection. */
typedef struct
{
  Back *back;
  Call *call;
  unsigned attempt;
  Sse sse;
  GString *plain;     /* services: the body received so far; NULL for streams */
  char *type;         /* Content-Type of the response; NULL: none */
  bool unframed;      /* the end of the connection ends the response */
  bool too_large;     /* streams: a piece does not fit into the answer any more */
  unsigned rejection; /* streams: status of a response that is an error; 0: none */
  int64_t backoff_us; /* Retry-After of the response; 0: none */
} Reader;

CallTable *
back_calls (Back *back)
{
  return back->calls;
}

static void
queue_work (Back *back, WorkKind kind, Call *call, unsigned attempt)
{
  Work *work = g_new (Work, 1);

  *work = (Work){ kind, call_ref (call), attempt };
  g_thread_pool_push (back->workers, work, NULL);
}

/* ---- Completion ---- */

static void
count_outcome (const Call *call, bool complete)
{
  if (!complete)
    stat_inc_tier (STAT_UNKNOWN, call->tier);
  else
    {
      stat_inc_tier (STAT_ANSWERED, call->tier);
      if (call->last_token_at > call->deadline)
        stat_inc_tier (STAT_LATE, call->tier);
    }
}

/* Until its caller has it, the answer of a finished call is not freed, whatever is kept. */
static void
release_memory (Back *back, Call *call)
{
  pthread_mutex_lock (&call->lock);
  if (call->finished && call->sent)
    membound_resize (back->bound, &call->held, 0);
  pthread_mutex_unlock (&call->lock);
}

/* Ends the call unless it has ended. failure: FT_REASON_NONE if its answer is complete. */
static void
finish (Back *back, Call *call, FtReason failure)
{
  bool complete = failure == FT_REASON_NONE;
  int64_t now = core_now (back->core);

  pthread_mutex_lock (&call->lock);
  if (call->finished)
    {
      pthread_mutex_unlock (&call->lock);
      return;
    }
  call->finished = true;
  call->failure = failure;
  call->attempt++;
  ft_req_set_state (call->req, complete ? FT_REQ_ANSWERED : FT_REQ_UNKNOWN);
  unsigned tokens = ft_req_next_piece (call->req);
  pthread_cond_broadcast (&call->cond);
  pthread_mutex_unlock (&call->lock);
  core_end_claim (back->core, call, complete ? FT_CLAIM_ANSWERED : FT_CLAIM_UNKNOWN);
  core_end_request (back->core, call, complete ? FT_OUTCOME_COMPLETE : FT_OUTCOME_FAILED, tokens);
  count_outcome (call, complete);
  span_end (call, "backend", call->decided_at, now, call->server);
  span_end (call, "request", call->started_at, now, ft_reason_info (failure)->code);
  dlog (complete ? DLOG_DEBUG : DLOG_WARN, call->id, complete ? "answered" : "unknown",
        "server %s, %u pieces, %u reconnects", call->server, tokens, call->reconnects);
  calls_finish (back->calls, call, now);
  release_memory (back, call);
}

void
back_sent (Call *call)
{
  pthread_mutex_lock (&call->lock);
  Back *back = call->back;
  call->sent = true;
  pthread_mutex_unlock (&call->lock);
  if (back)
    release_memory (back, call);
}

/* ---- Reading ---- */

static void
on_piece (Reader *reader, int64_t now)
{
  Call *call = reader->call;
  unsigned tokens = ft_req_next_piece (call->req);

  if (call->first_token_at == 0)
    {
      call->first_token_at = now;
      ft_req_set_state (call->req, FT_REQ_STREAMING);
      stat_observe (STAT_FIRST_TOKEN, call->tier, now - call->started_at);
    }
  else
    stat_observe (STAT_INTER_TOKEN, call->tier, now - call->last_token_at);
  call->last_token_at = now;
  call->failed_reconnects = 0;
  if (now - call->reported_at >= PROGRESS_INTERVAL || tokens == 1)
    {
      call->reported_at = now;
      core_progress (reader->back->core, call, tokens);
    }
}

/* Handles an event of a stream. False: the connection is not needed any more. */
static bool
on_event (void *user, gint64 id, const char *event, const char *data)
{
  Reader *reader = user;
  Call *call = reader->call;
  bool current, complete = false;

  if (event != NULL && strcmp (event, "error") == 0)
    return false;
  pthread_mutex_lock (&call->lock);
  current = reader->attempt == call->attempt && !call->finished;
  if (current && strcmp (data, "[DONE]") == 0)
    {
      if (id >= 0 && id <= G_MAXINT)
        ft_req_set_piece_count (call->req, (unsigned) id);
      complete = ft_req_is_complete (call->req);
      current = false;
    }
  else if (current && id >= 0 && id <= G_MAXINT)
    {
      char *line = sse_format (id, data);
      unsigned before = ft_req_next_piece (call->req);
      FtStatus added = ft_req_add_piece (call->req, (unsigned) id, line, strlen (line));
      reader->too_large = added == FT_FULL;
      current = added != FT_FULL && added != FT_STALE; /* a resume begins at the gap */
      if (added == FT_OK)
        {
          /* Engines send pieces in order on a connection; one more means that none is missing. */
          if (ft_req_next_piece (call->req) == before + 1)
            body_append_delta (data, call->content);
          on_piece (reader, core_now (reader->back->core));
          pthread_cond_broadcast (&call->cond);
        }
      g_free (line);
    }
  pthread_mutex_unlock (&call->lock);
  if (complete)
    finish (reader->back, call, FT_REASON_NONE);
  return current;
}

/* False: another connection carries the call, or it has ended. */
static bool
is_current (const Reader *reader)
{
  Call *call = reader->call;

  pthread_mutex_lock (&call->lock);
  bool current = reader->attempt == call->attempt && !call->finished;
  pthread_mutex_unlock (&call->lock);
  return current;
}

/* Counts the memory of the call's answer as it will be with size more bytes. False: it is too much,
 * and the call is to be ended. */
static bool
count_memory (Reader *reader, size_t size)
{
  Call *call = reader->call;
  const Sse *sse = &reader->sse;
  size_t wanted = 0, event = size;

  if (reader->plain)
    wanted = 2 * ft_grown_size (reader->plain, size); /* it is copied at its end */
  else
    {
      event += sse->line->len + sse->data->len;
      wanted = ft_grown_size (sse->line, size) + ft_grown_size (sse->data, event);
    }
  bool granted = true;

  pthread_mutex_lock (&call->lock);
  if (!call->finished)
    {
      if (reader->plain == NULL)
        wanted += ft_req_memory (call->req, event) + ft_grown_size (call->content, event);
      granted = membound_resize (reader->back->bound, &call->held, wanted);
    }
  pthread_mutex_unlock (&call->lock);
  if (!granted)
    dlog (DLOG_WARN, call->id, "too-large", "server %s of %s: %u KiB, %u KiB held for all calls",
          call->server, call->pool, (unsigned) (wanted >> 10),
          (unsigned) (membound_used (reader->back->bound) >> 10));
  return granted;
}

static bool
on_stream_bytes (void *user, const char *data, size_t size)
{
  Reader *reader = user;

  if (!is_current (reader)) /* on_event does not notice if no event comes */
    return false;
  if (count_memory (reader, size))
    {
      bool wanted = sse_feed (&reader->sse, data, size, on_event, reader);
      if (!reader->too_large)
        return wanted;
    }
  finish (reader->back, reader->call, FT_REASON_OUTCOME_UNKNOWN);
  return false;
}

static bool
on_plain_bytes (void *user, const char *data, size_t size)
{
  Reader *reader = user;

  if (reader->plain->len + size > ANSWER_MAX || !count_memory (reader, size))
    return false;
  g_string_append_len (reader->plain, data, (gssize) size);
  return true;
}

/* ---- Sending ---- */

static GString *
format_fields (const Call *call)
{
  GString *fields = g_string_new (NULL);
  char traceparent[56];

  span_traceparent (call, traceparent);
  hwrite_field (fields, "X-Request-Id", call->id);
  hwrite_field (fields, "traceparent", traceparent);
  if (call->content_type)
    hwrite_field (fields, "Content-Type", call->content_type);
  return fields;
}

/* A call may take longer than its deadline, but not for ever. */
static int64_t
time_limit (Back *back, const Call *call)
{
  return MAX (0, call->deadline - core_now (back->core)) + LATE_MAX;
}

static bool
server_url (Back *back, const Call *call, const char *path, char **url)
{
  char address[64];

  if (!plat_address (back->plat, call->pool, call->server, address, sizeof address))
    return false;
  *url = g_strdup_printf ("http://%s%s", address, path);
  return true;
}

/* ---- Servers that ask to back off ---- */

/* Records the Retry-After of a 429 or 503 response and returns it in microseconds, 0 if there is
 * none. */
static int64_t
record_backoff (Back *back, const Call *call, const HMsg *msg)
{
  const char *text = hmsg_field (msg, "Retry-After");
  unsigned status = hmsg_status (msg);
  char lifetime[192];
  Notice notice = { 0 };

  if ((status != 503 && status != 429) || text == NULL)
    return 0;
  bool readable = notice_parse_backoff (text, &notice.backoff_us);
  if (!plat_incarnation (back->plat, call->pool, call->server, lifetime, sizeof lifetime))
    return notice.backoff_us;
  pthread_mutex_lock (&back->notices_lock);
  bool is_new = notices_record (back->notices, lifetime, &notice) == NOTICES_CHANGED;
  pthread_mutex_unlock (&back->notices_lock);
  if (is_new)
    dlog (DLOG_INFO, call->id, "server-notice", "server %s of %s asked to back off for %d ms%s",
          call->server, call->pool, (int) (notice.backoff_us / FT_MS),
          readable ? "" : " (default, its Retry-After is not valid)");
  return notice.backoff_us;
}

static bool
in_backoff (Back *back, const Call *call)
{
  char lifetime[192];
  Notice notice;

  if (!plat_incarnation (back->plat, call->pool, call->server, lifetime, sizeof lifetime))
    return false;
  pthread_mutex_lock (&back->notices_lock);
  bool blocked = notices_block_reason (back->notices, lifetime, &notice) != NULL;
  pthread_mutex_unlock (&back->notices_lock);
  if (blocked)
    dlog (DLOG_INFO, call->id, "grant-returned",
          "server %s of %s asked to back off, for another %d ms", call->server, call->pool,
          (int) (notice.backoff_us / FT_MS));
  return blocked;
}

static bool
on_head (void *user, const HMsg *msg)
{
  Reader *reader = user;

  reader->type = g_strdup (hmsg_field (msg, "Content-Type"));
  reader->unframed = hmsg_body_until_close (msg);
  reader->backoff_us = record_backoff (reader->back, reader->call, msg);
  return true;
}

static bool
is_event_stream (const char *type)
{
  static const char name[] = "text/event-stream";

  return type == NULL
         || (g_ascii_strncasecmp (type, name, sizeof name - 1) == 0
             && strchr ("; \t", type[sizeof name - 1]) != NULL);
}

/* The head of an error says all that is needed of it. Any other response but a stream of events is
 * none to this request. */
static bool
on_stream_head (void *user, const HMsg *msg)
{
  Reader *reader = user;
  unsigned status = hmsg_status (msg);

  on_head (user, msg);
  if (status >= 400)
    reader->rejection = status;
  return status == 200 && is_event_stream (reader->type);
}

static const ClientOps stream_ops = { on_stream_head, on_stream_bytes };
static const ClientOps plain_ops = { on_head, on_plain_bytes };

/* Sends one HTTP request and reads the response. Returns the HTTP status, 0 if the response is not
 * complete. Frees url. */
static unsigned
exchange (Back *back, const Call *call, const char *method, char *url, const char *body,
          size_t size, Reader *reader)
{
  GString *fields = format_fields (call);
  ClientRequest request = { .method = method,
                            .url = url,
                            .fields = fields->str,
                            .body = body,
                            .size = size,
                            .timeout_us = time_limit (back, call) };
  unsigned status = client_exchange (&request, reader->plain ? &plain_ops : &stream_ops, reader);

  if (status && reader->plain && reader->unframed)
    {
      dlog (DLOG_WARN, call->id, "incomplete",
            "server %s of %s: status %u, %d bytes without an end", call->server, call->pool, status,
            (int) reader->plain->len);
      status = 0;
    }
  g_string_free (fields, TRUE);
  g_free (url);
  return reader->rejection ? reader->rejection : status;
}

typedef enum
{
  PROBE_CONNECTED, /* connected */
  PROBE_REFUSED,   /* the host answers, but no process listens on the port */
  PROBE_FAILED     /* timeout, other error or invalid address */
} ProbeResult;

/* Opens a connection to "IP:port" and closes it. */
static ProbeResult
probe_server (const char *text, int64_t wait_ms)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int failed = ETIMEDOUT;
  socklen_t size = sizeof failed;
  const char *colon = strrchr (text, ':');
  char *host = colon ? g_strndup (text, (gsize) (colon - text)) : NULL;
  int probe = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (host == NULL || probe < 0 || inet_pton (AF_INET, host, &address.sin_addr) != 1)
    goto out;
  address.sin_port = htons ((uint16_t) atoi (colon + 1));
  if (connect (probe, (struct sockaddr *) &address, sizeof address) == 0)
    failed = 0;
  else if (errno != EINPROGRESS)
    failed = errno;
  else
    {
      struct pollfd poller = { probe, POLLOUT, 0 };
      if (poll (&poller, 1, (int) wait_ms) == 1
          && getsockopt (probe, SOL_SOCKET, SO_ERROR, &failed, &size) != 0)
        failed = errno;
    }
out:
  if (probe >= 0)
    close (probe);
  g_free (host);
  if (failed == 0)
    return PROBE_CONNECTED;
  return failed == ECONNREFUSED ? PROBE_REFUSED : PROBE_FAILED;
}

/* Reports the crash of the call's server, once a call, if nothing listens on its port any more or
 * known (it answered that it does not know the stream, so it has restarted). The crash counts
 * against the call's content: a request that crashes its server, sent again and again by its
 * caller, would otherwise take down one server after another. */
static void
report_crash (Back *back, Call *call, unsigned attempt, bool known)
{
  char address[64];

  pthread_mutex_lock (&call->lock);
  bool current
      = !call->finished && !call->paused && !call->crash_reported && call->attempt == attempt;
  pthread_mutex_unlock (&call->lock);
  if (!current
      || (!known
          && (!plat_address (back->plat, call->pool, call->server, address, sizeof address)
              || probe_server (address, core_conf (back->core)->connect_ms) != PROBE_REFUSED)))
    return;
  pthread_mutex_lock (&call->lock);
  bool first = !call->crash_reported;
  call->crash_reported = true;
  pthread_mutex_unlock (&call->lock);
  if (!first)
    return;
  dlog (DLOG_WARN, call->id, "server-ended", "server %s of %s crashed: %s", call->server,
        call->pool, known ? "it has restarted" : "its address refuses connections");
  stat_add (STAT_SERVER_CRASHES, 1);
  core_report_crash (back->core, call);
}

static void
reconnect_or_give_up (Back *back, Call *call, unsigned attempt, int64_t delay)
{
  bool again = false, give_up = false;

  g_usleep ((gulong) delay);
  pthread_mutex_lock (&call->lock);
  if (!call->finished && !call->paused && call->attempt == attempt)
    {
      call->reconnects++;
      give_up = ++call->failed_reconnects > RECONNECTS_MAX;
      again = !give_up;
      attempt = ++call->attempt;
    }
  pthread_mutex_unlock (&call->lock);
  if (again)
    {
      stat_add (STAT_STREAM_RECONNECTS, 1);
      queue_work (back, WORK_RESUME, call, attempt);
    }
  if (give_up)
    finish (back, call, FT_REASON_OUTCOME_UNKNOWN);
}

/* What the end of a connection means for the call that it carried. */
typedef enum
{
  ENDED_OUTDATED,  /* nothing: another connection or a pause carries the call on */
  ENDED_BROKEN,    /* the engine has the stream as far as is known */
  ENDED_UNREAD,    /* the engine has not read the request yet */
  ENDED_REJECTED,  /* the engine rejected the request */
  ENDED_RESTARTED, /* the engine does not know the stream: it has restarted */
  ENDED_LOST       /* the engine will not resume the stream */
} StreamEnd;

static bool
is_transient (unsigned status)
{
  return status >= 500 || status == 408 || status == 429;
}

/* status: of the HTTP response, 0 if it was not complete. */
static StreamEnd
judge_end (Call *call, const Work *work, unsigned status)
{
  bool failed = status >= 400;
  StreamEnd end = ENDED_BROKEN;

  pthread_mutex_lock (&call->lock);
  if (work->kind == WORK_SEND)
    {
      call->send_ended = true;
      call->send_rejected = failed;
    }
  if (call->attempt != work->attempt || call->finished)
    end = ENDED_OUTDATED;
  else if (failed && work->kind == WORK_SEND)
    end = ENDED_REJECTED;
  else if (status == 404 && !call->send_ended && ft_req_next_piece (call->req) == 0)
    end = ENDED_UNREAD;
  else if (status == 404)
    end = call->send_rejected ? ENDED_REJECTED : ENDED_RESTARTED;
  else if (failed && !is_transient (status))
    end = ENDED_LOST;
  pthread_mutex_unlock (&call->lock);
  return end;
}

static void
end_connection (Back *back, Call *call, const Work *work, unsigned status, int64_t backoff_us)
{
  int64_t silence = core_conf (back->core)->silence_ms * FT_MS;

  switch (judge_end (call, work, status))
    {
    case ENDED_OUTDATED:
      break;
    case ENDED_BROKEN:
      if (status == 0)
        report_crash (back, call, work->attempt, false);
      /* The watch thread opens a connection after silence_ms in any case. */
      reconnect_or_give_up (back, call, work->attempt,
                            MAX (RECONNECT_DELAY, MIN (backoff_us, silence)));
      break;
    case ENDED_UNREAD:
      reconnect_or_give_up (back, call, work->attempt, MIN (UNREAD_DELAY, silence));
      break;
    case ENDED_REJECTED:
      finish (back, call, FT_REASON_BACKEND_FAILED);
      break;
    case ENDED_RESTARTED:
      report_crash (back, call, work->attempt, true);
      finish (back, call, FT_REASON_OUTCOME_UNKNOWN);
      break;
    case ENDED_LOST:
      finish (back, call, FT_REASON_OUTCOME_UNKNOWN);
      break;
    }
}

static void
run_stream (Back *back, Call *call, const Work *work)
{
  Reader reader = { .back = back, .call = call, .attempt = work->attempt };
  char *url = NULL, *body = NULL, *path;
  unsigned status = 0;

  sse_init (&reader.sse);
  pthread_mutex_lock (&call->lock);
  unsigned next = ft_req_next_piece (call->req);
  pthread_mutex_unlock (&call->lock);
  if (work->kind == WORK_SEND)
    {
      path = g_strdup ("/v1/chat/completions");
      body = body_with_stream (call->body);
    }
  else
    path = g_strdup_printf ("/v1/streams/%s?offset=%u", call->id, next);
  if (server_url (back, call, path, &url))
    status = exchange (back, call, work->kind == WORK_SEND ? "POST" : "GET", url, body,
                       body ? strlen (body) : 0, &reader);
  sse_clear (&reader.sse);
  g_free (reader.type);
  g_free (path);
  g_free (body);
  end_connection (back, call, work, status, reader.backoff_us);
}

static void
run_service (Back *back, Call *call, const Work *work)
{
  Reader reader
      = { .back = back, .call = call, .attempt = work->attempt, .plain = g_string_new (NULL) };
  char *url = NULL;
  unsigned status = 0;

  if (server_url (back, call, call->path, &url))
    status = exchange (back, call, call->method, url, call->body, call->body_size, &reader);
  if (status == 0)
    {
      report_crash (back, call, work->attempt, false);
      finish (back, call, FT_REASON_OUTCOME_UNKNOWN);
    }
  else
    {
      int64_t now = core_now (back->core);
      pthread_mutex_lock (&call->lock);
      call->answer_status = (int) status;
      call->answer_content_type = g_steal_pointer (&reader.type);
      ft_req_add_piece (call->req, 0, reader.plain->str, reader.plain->len);
      ft_req_set_piece_count (call->req, 1);
      on_piece (&reader, now);
      pthread_mutex_unlock (&call->lock);
      finish (back, call, FT_REASON_NONE);
    }
  g_free (reader.type);
  g_string_free (reader.plain, TRUE);
}

static bool
on_pause_head (void *user, const HMsg *msg)
{
  (void) user;
  (void) msg;
  return false;
}

static const ClientOps pause_ops = { on_pause_head, NULL };

static void
run_pause (Back *back, Call *call)
{
  char *url = NULL, *path = g_strdup_printf ("/v1/streams/%s/pause", call->id);

  if (server_url (back, call, path, &url))
    {
      ClientRequest request = { .method = "POST", .url = url, .timeout_us = PAUSE_TIMEOUT };
      /* If this is lost, the server goes on and its data is dropped. */
      client_exchange (&request, &pause_ops, NULL);
    }
  g_free (url);
  g_free (path);
}

static void
run_work (void *data, void *user)
{
  Work *work = data;
  Back *back = user;

  if (work->kind == WORK_PAUSE)
    run_pause (back, work->call);
  else if (work->call->service)
    run_service (back, work->call, work);
  else
    run_stream (back, work->call, work);
  call_unref (work->call);
  g_free (work);
}

/* ---- Dispatch ---- */

FtStatus
back_dispatch (Back *back, Call *call)
{
  char address[64];

  if (in_backoff (back, call))
    return FT_NOT_FOUND;
  if (!plat_address (back->plat, call->pool, call->server, address, sizeof address)
      || probe_server (address, core_conf (back->core)->connect_ms) != PROBE_CONNECTED)
    {
      stat_add (STAT_CONNECT_REFUSED, 1);
      return FT_NOT_FOUND;
    }
  pthread_mutex_lock (&call->lock);
  FtStatus status = ft_req_set_state (call->req, FT_REQ_DISPATCHED);
  call->back = back;
  call->last_token_at = core_now (back->core);
  unsigned attempt = ++call->attempt;
  pthread_mutex_unlock (&call->lock);
  if (status != FT_OK)
    return status;
  stat_add (STAT_DISPATCHES, 1);
  queue_work (back, WORK_SEND, call, attempt);
  return FT_OK;
}

/* ---- Pausing ---- */

void
back_pause (void *data, Call *call)
{
  Back *back = data;

  if (back == NULL)
    return;
  pthread_mutex_lock (&call->lock);
  bool do_pause = !call->finished && !call->paused;
  call->paused = true;
  if (do_pause)
    call->attempt++;
  pthread_mutex_unlock (&call->lock);
  if (!do_pause)
    return;
  stat_inc_tier (STAT_PAUSED, call->tier);
  queue_work (back, WORK_PAUSE, call, 0);
}

void
back_resume (void *data, Call *call)
{
  Back *back = data;

  if (back == NULL)
    return;
  pthread_mutex_lock (&call->lock);
  bool do_resume = !call->finished && call->paused;
  call->paused = false;
  call->last_token_at = core_now (back->core);
  unsigned attempt = ++call->attempt;
  pthread_mutex_unlock (&call->lock);
  if (!do_resume)
    return;
  stat_inc_tier (STAT_RESUMED, call->tier);
  queue_work (back, WORK_RESUME, call, attempt);
}

/* ---- Silent streams ---- */

/* Opens a new connection for a stream without data for silence_ms, and gives up a call that is
 * silent after its deadline. */
static void
watch_call (Back *back, Call *call, int64_t now)
{
  int64_t silence = core_conf (back->core)->silence_ms * FT_MS;
  bool resume = false, give_up = false;
  unsigned attempt = 0;

  pthread_mutex_lock (&call->lock);
  bool is_active = ft_req_was_dispatched (call->req) && !call->finished && !call->paused;
  /* A reconnection counts as activity, so that each new connection gets the full time. */
  int64_t idle_us = now - MAX (call->last_token_at, call->reported_at);
  if (is_active && now > call->deadline
      && now - call->last_token_at > LATE_SILENCE_FACTOR * silence)
    give_up = true;
  else if (is_active && !call->service && idle_us > silence)
    {
      resume = true;
      call->reported_at = now;
      call->reconnects++;
      attempt = ++call->attempt;
    }
  pthread_mutex_unlock (&call->lock);
  if (resume)
    {
      stat_add (STAT_STREAM_RECONNECTS, 1);
      queue_work (back, WORK_RESUME, call, attempt);
    }
  if (give_up)
    finish (back, call, FT_REASON_OUTCOME_UNKNOWN);
}

void
back_give_up (Back *back)
{
  GPtrArray *calls = calls_unfinished (back->calls);

  for (unsigned i = 0; i < calls->len; i++)
    {
      Call *call = calls->pdata[i];
      pthread_mutex_lock (&call->lock);
      bool dispatched = ft_req_was_dispatched (call->req);
      pthread_mutex_unlock (&call->lock);
      if (dispatched)
        finish (back, call, FT_REASON_OUTCOME_UNKNOWN);
    }
  g_ptr_array_unref (calls);
}

static void *
watch_thread (void *data)
{
  Back *back = data;

  for (;;)
    {
      GPtrArray *calls = calls_unfinished (back->calls);
      for (unsigned i = 0; i < calls->len; i++)
        watch_call (back, calls->pdata[i], core_now (back->core));
      g_ptr_array_unref (calls);
      g_usleep (WATCH_INTERVAL);
    }
  return NULL;
}

FtStatus
back_kept_answer (Back *back, const char *id, GBytes **body)
{
  Call *call = back ? calls_find (back->calls, id) : NULL;
  FtStatus status = FT_NOT_FOUND;

  if (call == NULL)
    return FT_NOT_FOUND;
  pthread_mutex_lock (&call->lock);
  if (!call->finished)
    status = FT_CONFLICT; /* still running */
  else if (call->failure != FT_REASON_NONE)
    status = FT_STALE; /* its outcome is unknown */
  else if (call->service)
    {
      size_t size;
      const char *bytes = ft_req_bytes (call->req, &size);
      *body = body_pack_answer (call->answer_status,
                                call->answer_content_type ? call->answer_content_type : "",
                                call->org, bytes, size);
      status = FT_OK;
    }
  else
    {
      char *complete = body_complete_answer (call->id, call->pool, call->content->str,
                                             ft_req_next_piece (call->req));
      *body = body_pack_answer (200, "application/json", call->org, complete, strlen (complete));
      g_free (complete);
      status = FT_OK;
    }
  pthread_mutex_unlock (&call->lock);
  call_unref (call);
  return status;
}

Back *
back_new (Core *core, Plat *plat)
{
  Back *back = g_new0 (Back, 1);
  const Conf *conf = core_conf (core);

  back->core = core;
  back->plat = plat;
  back->bound = membound_new (ANSWERS_MAX);
  back->calls = calls_new (conf->answer_keep_s * FT_SECOND, conf->answer_keep_bytes);
  pthread_mutex_init (&back->notices_lock, NULL);
  back->notices = notices_new (core_clock (core));
  back->workers = g_thread_pool_new (run_work, back, -1, FALSE, NULL);
  g_thread_unref (g_thread_new ("watch", watch_thread, back));
  core_set_back (core, back);
  return back;
}
