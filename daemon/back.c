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
#include "dlog.h"
#include "notices.h"
#include "span.h"
#include "sse.h"
#include "stat.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#define WATCH_INTERVAL    (100 * FT_MS)
#define PROGRESS_INTERVAL (250 * FT_MS) /* windows adapt within a second */
#define RECONNECT_DELAY   (100 * FT_MS)
#define UNREAD_DELAY      (1 * FT_SECOND) /* until a server is asked again for an unread request */
#define RECONNECTS_MAX    200             /* one after another without a piece */
/* A call past its deadline is given up after this many times silence_ms without data. */
#define LATE_SILENCE_FACTOR 3
#define ANSWER_MAX          (16u << 20)

struct Back
{
  Core *core;
  Plat *plat;
  CallTable *calls;
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
      if (ft_req_add_piece (call->req, (unsigned) id, line, strlen (line)) == FT_OK)
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

static size_t
on_stream_bytes (void *contents, size_t size, size_t count, void *user)
{
  Reader *reader = user;

  if (!is_current (reader)) /* on_event does not notice if no event comes */
    return 0;
  return sse_feed (&reader->sse, contents, size * count, on_event, reader) ? size * count : 0;
}

static size_t
on_plain_bytes (void *contents, size_t size, size_t count, void *user)
{
  Reader *reader = user;

  if (reader->plain->len + size * count > ANSWER_MAX)
    return 0;
  g_string_append_len (reader->plain, contents, (gssize) (size * count));
  return size * count;
}

/* ---- Sending ---- */

static void
set_headers (Back *back, const Call *call, struct _u_request *request)
{
  char traceparent[56];

  (void) back;
  span_traceparent (call, traceparent);
  u_map_put (request->map_header, "X-Request-Id", call->id);
  u_map_put (request->map_header, "traceparent", traceparent);
  if (call->content_type)
    u_map_put (request->map_header, "Content-Type", call->content_type);
}

static unsigned long
seconds_left (Back *back, const Call *call)
{
  int64_t left = call->deadline - core_now (back->core);

  return (unsigned long) (MAX (0, left) / FT_SECOND + 60);
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
record_backoff (Back *back, const Call *call, int status, const struct _u_map *fields)
{
  const char *text = u_map_get_case (fields, "Retry-After");
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

/* Whether the response of a service is complete, after libcurl has found no fault in it. libcurl
 * takes the end of the connection for the end of the response, also within the head, unless it has
 * read a length or that chunks follow. */
static bool
is_complete (const char *method, const struct _u_response *response)
{
  const char *coding = u_map_get_case (response->map_header, "Transfer-Encoding");

  if (response->status < 200)
    return false;
  if (response->status == 204 || response->status == 304 || strcmp (method, "HEAD") == 0)
    return true;
  return u_map_get_case (response->map_header, "Content-Length") != NULL
         || (coding != NULL && g_ascii_strcasecmp (coding, "chunked") == 0);
}

/* Sends one HTTP request and reads the response. Returns the HTTP status, 0 if the response is not
 * complete. Frees url. */
static int
exchange (Back *back, const Call *call, const char *method, char *url, const char *body,
          size_t size, Reader *reader, char **type)
{
  struct _u_request request;
  struct _u_response response;
  int status = 0;

  ulfius_init_request (&request);
  ulfius_init_response (&response);
  request.http_verb = o_strdup (method);
  request.http_url = o_strdup (url);
  request.timeout = seconds_left (back, call);
  set_headers (back, call, &request);
  if (size > 0)
    ulfius_set_binary_body_request (&request, body, size);
  int done = ulfius_send_http_streaming_request (
      &request, &response, reader->plain ? on_plain_bytes : on_stream_bytes, reader);
  if (done == U_OK && reader->plain && !is_complete (method, &response))
    dlog (DLOG_WARN, call->id, "incomplete", "server %s of %s: status %d, %d bytes without an end",
          call->server, call->pool, (int) response.status, (int) reader->plain->len);
  else if (done == U_OK)
    {
      status = (int) response.status;
      reader->backoff_us = record_backoff (back, call, status, response.map_header);
    }
  if (done == U_OK && type)
    *type = g_strdup (u_map_get_case (response.map_header, "Content-Type"));
  ulfius_clean_request (&request);
  ulfius_clean_response (&response);
  g_free (url);
  return status;
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
is_transient (int status)
{
  return status >= 500 || status == 408 || status == 429;
}

/* status: of the HTTP response, 0 if it was not complete. */
static StreamEnd
judge_end (Call *call, const Work *work, int status)
{
  bool failed = status >= 400 && status < 600;
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
end_connection (Back *back, Call *call, const Work *work, int status, int64_t backoff_us)
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
  Reader reader = { back, call, work->attempt, { 0 }, NULL, 0 };
  char *url = NULL, *body = NULL, *path;
  int status = 0;

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
                       body ? strlen (body) : 0, &reader, NULL);
  sse_clear (&reader.sse);
  g_free (path);
  g_free (body);
  end_connection (back, call, work, status, reader.backoff_us);
}

static void
run_service (Back *back, Call *call, const Work *work)
{
  Reader reader = { back, call, work->attempt, { 0 }, g_string_new (NULL), 0 };
  char *url = NULL, *type = NULL;
  int status = 0;

  if (server_url (back, call, call->path, &url))
    status = exchange (back, call, call->method, url, call->body, call->body_size, &reader, &type);
  if (status == 0)
    {
      report_crash (back, call, work->attempt, false);
      finish (back, call, FT_REASON_OUTCOME_UNKNOWN);
    }
  else
    {
      int64_t now = core_now (back->core);
      pthread_mutex_lock (&call->lock);
      call->answer_status = status;
      call->answer_content_type = g_steal_pointer (&type);
      ft_req_add_piece (call->req, 0, reader.plain->str, reader.plain->len);
      ft_req_set_piece_count (call->req, 1);
      on_piece (&reader, now);
      pthread_mutex_unlock (&call->lock);
      finish (back, call, FT_REASON_NONE);
    }
  g_free (type);
  g_string_free (reader.plain, TRUE);
}

static void
run_pause (Back *back, Call *call)
{
  struct _u_request request;
  struct _u_response response;
  char *url = NULL, *path = g_strdup_printf ("/v1/streams/%s/pause", call->id);

  if (server_url (back, call, path, &url))
    {
      ulfius_init_request (&request);
      ulfius_init_response (&response);
      request.http_verb = o_strdup ("POST");
      request.http_url = o_strdup (url);
      request.timeout = 2;
      /* If this is lost, the server goes on and its data is dropped. */
      ulfius_send_http_request (&request, &response);
      ulfius_clean_request (&request);
      ulfius_clean_response (&response);
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
  back->calls = calls_new (conf->answer_keep_s * FT_SECOND, conf->answer_keep_bytes);
  pthread_mutex_init (&back->notices_lock, NULL);
  back->notices = notices_new (core_clock (core));
  back->workers = g_thread_pool_new (run_work, back, -1, FALSE, NULL);
  g_thread_unref (g_thread_new ("watch", watch_thread, back));
  core_set_back (core, back);
  return back;
}
