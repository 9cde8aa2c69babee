/* reqorigin.c - finds the version that began a stream which its caller takes up again, since the
 * stream may go on only at servers of that version. */
#include "reqint.h"
#include "count.h"
#include "jlog.h"

#include <string.h>

#define ANSWER_WAIT (300 * FT_MS) /* for voters and deputies that are linked */
/* A caller that comes back when all links were reset finds none; they are up again after a few
 * hundred milliseconds. */
#define LINK_WAIT_DIVISOR 2 /* at most this part of the time for which the caller waits */
#define VERSIONS_CHECK    (20 * FT_MS) /* between two looks at which versions were listed lately */
#define RETURN_TIME       (2 * FT_SECOND) /* for a caller to come back after its attempt has ended */

/* The route's own name of the service; NULL: the route does not lead there any more. */
static const char *
find_target (const RtRoute *route, const char *service)
{
  for (unsigned i = 0; i < route->targets->len; i++)
    {
      const RtTarget *target = &g_array_index (route->targets, RtTarget, i);
      if (target->weight > 0 && strcmp (target->service, service) == 0)
        return target->service;
    }
  return NULL;
}

static void
refuse (Req *req, const char *why)
{
  int64_t wait = MAX (50 * FT_MS, MIN (300 * FT_MS, (req->deadline - req_now (req)) / 3));

  count_inc (COUNT_ORIGINS_UNKNOWN);
  req_answer_error (req, 503, wait, why);
}

/* stream: see origins_stream_id. Each attempt of a caller states a time limit of its own, so a
 * record is renewed with each. */
static void
record (const Req *req, uint64_t stream)
{
  int64_t limit = MAX (req->facts.caller_wait_us, req->deadline - req->arrived);
  Origin origin = { .stream = stream,
                    .service = req->service,
                    .version = req->version,
                    .until = req->arrived + limit + RETURN_TIME };

  origdir_record (req->requests->conf.origins, &origin);
}

static uint64_t
stream_id (const Req *req, const char *attempt)
{
  return origins_stream_id (req->org ? req->org->name : NULL, attempt);
}

static const char *
only_version (const Req *req, const char *service)
{
  return origdir_only_version (req->requests->conf.origins, service);
}

static void settle (Req *req, const Origin *origin);

static void
on_versions_wait (LoopTimer *timer)
{
  settle ((Req *) ((char *) timer - offsetof (Req, versions_wait)), NULL);
}

static int64_t
link_wait (const Req *req)
{
  return (req->first_deadline - req->arrived) / LINK_WAIT_DIVISOR;
}

/* True if the versions that were listed lately are not known yet, and a voter in charge may still
 * tell them in time: after a loss of everything the callers are back before there is one. */
static bool
await_versions (Req *req)
{
  if (origdir_knows_versions (req->requests->conf.origins)
      || req_now (req) >= req->arrived + link_wait (req))
    return false;
  req->versions_wait.fire = on_versions_wait;
  loop_timer_set (req->requests->conf.loop, &req->versions_wait, req_now (req) + VERSIONS_CHECK);
  return true;
}

/* origin NULL: nobody knows the stream. */
static void
settle (Req *req, const Origin *origin)
{
  const char *service = origin ? find_target (req->route, origin->service) : req->service;
  const char *version = origin ? origin->version : only_version (req, service);

  if (origin == NULL && version == NULL && await_versions (req))
    return;
  jlog (JLOG_INFO, "origin", req->id, JL_TEXT ("resumes", req->facts.resumes),
        JL_INT ("known", origin != NULL), JL_TEXT ("service", service),
        JL_TEXT ("software", version), JL_MS ("waited_ms", req_now (req) - req->arrived),
        JL_INT ("asked", req->lookup.sent_count), JL_INT ("denied", req->lookup.denied_count),
        JL_MS ("list_age_ms", req_now (req) - servers_asked_at (req->requests->conf.servers)),
        JL_MS ("turn_ms", req_now (req) - loop_previous (req->requests->conf.loop)));
  if (service == NULL)
    refuse (req, "service-changed");
  else if (version == NULL)
    refuse (req, "origin-unknown");
  else
    {
      req->service = service;
      req->version = g_strdup (version);
      if (origin)
        record (req, origin->stream);
      budget_count_request (req->requests->conf.budget, req->service);
      req_ask (req);
    }
}

static void
on_found (OriginLookup *lookup, const Origin *origin)
{
  settle ((Req *) ((char *) lookup - offsetof (Req, lookup)), origin);
}

bool
req_is_return (const Req *req)
{
  return req->facts.last_event && req->route->kind == RT_STREAM && req->route->resumable;
}

void
req_find_origin (Req *req)
{
  OriginDir *dir = req->requests->conf.origins;
  const char *resumes = req->facts.resumes;

  count_inc (COUNT_STREAMS_RETURNED);
  if (resumes == NULL)
    {
      settle (req, NULL);
      return;
    }
  uint64_t stream = stream_id (req, resumes);
  const Origin *origin = origdir_find (dir, stream);
  if (origin)
    {
      settle (req, origin);
      return;
    }
  int64_t wait = (req->first_deadline - req_now (req)) / LINK_WAIT_DIVISOR;
  if (origdir_ask (dir, &req->lookup, stream, wait, on_found) > 0)
    loop_timer_set (req->requests->conf.loop, &req->lookup.timer,
                    req_now (req) + MIN (wait, ANSWER_WAIT));
  else if (only_version (req, req->service))
    {
      origdir_cancel (&req->lookup);
      settle (req, NULL);
    }
}

void
req_record_origin (Req *req)
{
  if (req->version == NULL)
    req->version = g_strdup (req->software);
  if (req->version && req->route->resumable && *req->id && !req_is_return (req))
    record (req, stream_id (req, req->id));
}
