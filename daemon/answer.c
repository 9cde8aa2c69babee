/* answer.c - answers callers: by a stream, a complete answer, or one that was kept. */
#include "edgeint.h"
#include "body.h"
#include "http.h"
#include "stat.h"

#include <string.h>

#define BLOCK 16384 /* most bytes handed to the HTTP server at once */

/* How much of a call's stream one connection has sent. */
typedef struct
{
  Edge *edge;
  Call *call;
  size_t sent;
  char *tail; /* sent after the last piece: [DONE] or an error event */
  size_t tail_sent;
} StreamCursor;

static char *
make_tail (Call *call)
{
  if (call->failure == FT_REASON_NONE)
    return g_strdup_printf ("id: %u\ndata: [DONE]\n\n", ft_req_next_piece (call->req));
  Problem problem
      = { call->failure, call->id, "the stream was interrupted", call->tier, call->revision, 0 };
  char *text = http_problem_format (&problem);
  char *tail = g_strdup_printf ("event: error\ndata: %s\n\n", text);
  g_free (text);
  return tail;
}

static ssize_t
send_tail (StreamCursor *cursor, char *out, size_t capacity)
{
  size_t left = strlen (cursor->tail) - cursor->tail_sent;
  size_t count = MIN (left, capacity);

  if (count == 0)
    return U_STREAM_END;
  memcpy (out, cursor->tail + cursor->tail_sent, count);
  cursor->tail_sent += count;
  return (ssize_t) count;
}

/* Waits for news of the call. False: none within a third of the idle timeout (idle_s). */
static bool
wait_for_news (Edge *edge, Call *call)
{
  int64_t until = g_get_monotonic_time () + core_conf (edge->core)->idle_s * FT_SECOND / 3;
  struct timespec at = { until / FT_SECOND, (until % FT_SECOND) * 1000 };

  return pthread_cond_clockwait (&call->cond, &call->lock, CLOCK_MONOTONIC, &at) == 0;
}

/* Sends an SSE comment, which clients ignore, to keep the connection from being idle. Without it, a
 * stream that is paused or whose engine is slow was closed in the middle of an answer by the idle
 * timeout of this server, a load balancer or the caller. */
static ssize_t
send_comment (char *out, size_t capacity)
{
  static const char comment[] = ": waiting\n\n";
  size_t size = MIN (sizeof comment - 1, capacity);

  memcpy (out, comment, size);
  return (ssize_t) size;
}

static ssize_t
on_stream (void *user, uint64_t offset, char *out, size_t capacity)
{
  StreamCursor *cursor = user;
  Call *call = cursor->call;
  size_t size, count = 0;

  (void) offset;
  if (cursor->tail)
    return send_tail (cursor, out, capacity);
  pthread_mutex_lock (&call->lock);
  for (;;)
    {
      const char *bytes = ft_req_bytes (call->req, &size);
      count = MIN (size - cursor->sent, capacity);
      memcpy (out, bytes + cursor->sent, count);
      cursor->sent += count;
      if (count > 0 || call->finished)
        break;
      if (!wait_for_news (cursor->edge, call))
        {
          pthread_mutex_unlock (&call->lock);
          return send_comment (out, capacity);
        }
    }
  if (count == 0)
    cursor->tail = make_tail (call);
  pthread_mutex_unlock (&call->lock);
  return count ? (ssize_t) count : send_tail (cursor, out, capacity);
}

static void
on_stream_free (void *user)
{
  StreamCursor *cursor = user;

  g_atomic_int_add (&cursor->edge->busy, -1);
  back_sent (cursor->call);
  call_unref (cursor->call);
  g_free (cursor->tail);
  g_free (cursor);
}

void
answer_stream (Edge *edge, Call *call, struct _u_response *response)
{
  StreamCursor *cursor = g_new0 (StreamCursor, 1);

  cursor->edge = edge;
  cursor->call = call_ref (call);
  g_atomic_int_inc (&edge->busy);
  u_map_put (response->map_header, "Content-Type", "text/event-stream");
  u_map_put (response->map_header, "Cache-Control", "no-store");
  u_map_put (response->map_header, "X-Request-Id", call->id);
  ulfius_set_stream_response (response, 200, on_stream, on_stream_free, U_STREAM_SIZE_UNKNOWN,
                              BLOCK, cursor);
}

static void
answer_failure (Call *call, struct _u_response *response)
{
  Problem problem = { call->failure, call->id,       "the backend server did not complete it",
                      call->tier,    call->revision, 0 };

  stat_inc_refused (call->failure, call->tier);
  http_set_problem (response, &problem);
}

/* The HTTP library sets no status with a body that is empty. */
static void
set_answer (struct _u_response *response, int status, const char *bytes, size_t size)
{
  if (size > 0)
    ulfius_set_binary_body_response (response, (unsigned) status, bytes, size);
  else
    ulfius_set_empty_body_response (response, (unsigned) status);
}

void
answer_complete (Call *call, struct _u_response *response)
{
  size_t size;

  pthread_mutex_lock (&call->lock);
  if (call->failure != FT_REASON_NONE)
    answer_failure (call, response);
  else if (call->service)
    {
      const char *bytes = ft_req_bytes (call->req, &size);
      set_answer (response, call->answer_status, bytes, size);
      if (call->answer_content_type)
        u_map_put (response->map_header, "Content-Type", call->answer_content_type);
      u_map_put (response->map_header, "X-Request-Id", call->id);
    }
  else
    {
      char *text = body_complete_answer (call->id, call->pool, call->content->str,
                                         ft_req_next_piece (call->req));
      http_set_json (response, 200, text);
      u_map_put (response->map_header, "X-Request-Id", call->id);
      g_free (text);
    }
  pthread_mutex_unlock (&call->lock);
}

/* The body of a response that is already complete. */
typedef struct
{
  Edge *edge;
  void *bytes;
  size_t size;
} Body;

static ssize_t
on_body (void *user, uint64_t offset, char *out, size_t capacity)
{
  const Body *body = user;
  size_t count = offset < body->size ? MIN (body->size - offset, capacity) : 0;

  if (count == 0)
    return U_STREAM_END;
  memcpy (out, (const char *) body->bytes + offset, count);
  return (ssize_t) count;
}

static void
on_body_free (void *user)
{
  Body *body = user;

  g_atomic_int_add (&body->edge->busy, -1);
  o_free (body->bytes);
  g_free (body);
}

void
answer_count_until_sent (Edge *edge, struct _u_response *response)
{
  if (response->stream_callback || response->binary_body_length == 0)
    return;
  Body *body = g_new (Body, 1);
  *body = (Body){ edge, response->binary_body, response->binary_body_length };
  response->binary_body = NULL;
  response->binary_body_length = 0;
  g_atomic_int_inc (&edge->busy);
  ulfius_set_stream_response (response, (unsigned) response->status, on_body, on_body_free,
                              body->size, BLOCK, body);
}

void
answer_wait_end (Call *call)
{
  pthread_mutex_lock (&call->lock);
  while (!call->finished)
    pthread_cond_wait (&call->cond, &call->lock);
  pthread_mutex_unlock (&call->lock);
}

bool
answer_wait_first_piece (Call *call)
{
  size_t size = 0;

  pthread_mutex_lock (&call->lock);
  while (!call->finished)
    {
      ft_req_bytes (call->req, &size);
      if (size > 0)
        break;
      pthread_cond_wait (&call->cond, &call->lock);
    }
  bool started = size > 0 || call->failure == FT_REASON_NONE;
  pthread_mutex_unlock (&call->lock);
  return started;
}

void
answer_by_id (Edge *edge, const char *id, const char *org, Call *asker,
              struct _u_response *response)
{
  GBytes *body = NULL;
  int http_status = 0;
  char *type = NULL, *owner = NULL, *text = NULL;
  gsize size = 0;
  FtStatus status = back_kept_answer (edge->back, id, &body);

  if (status == FT_NOT_FOUND)
    status = core_query (edge->core, FT_QUERY_ANSWER, id, &body);
  Problem problem = { FT_REASON_OUTCOME_UNKNOWN,   id, "", asker ? asker->tier : 0,
                      asker ? asker->revision : 0, 0 };
  if (status == FT_OK && body
      && body_unpack_answer (body, &http_status, &type, &owner, &text, &size)
      && strcmp (owner, org) == 0)
    {
      set_answer (response, http_status, text, size);
      u_map_put (response->map_header, "Content-Type", type);
      u_map_put (response->map_header, "X-Request-Id", id);
    }
  else if (status == FT_CONFLICT)
    {
      problem.reason = FT_REASON_CLAIM_RUNNING;
      problem.retry_after_ms = 1000;
      http_set_problem (response, &problem);
    }
  else if (status == FT_STALE)
    http_set_problem (response, &problem);
  else if (asker)
    {
      problem.rule = "it was answered, but the answer is no longer kept";
      http_set_problem (response, &problem);
    }
  else
    {
      problem.reason = FT_REASON_NO_SUCH_REQUEST;
      http_set_problem (response, &problem);
    }
  g_free (type);
  g_free (owner);
  g_free (text);
  if (body)
    g_bytes_unref (body);
}
