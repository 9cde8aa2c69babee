/* reader.c - reads the list in passes, one at a time; a pass that takes too long is abandoned. */
#include "reader.h"
#include "jlog.h"

#define PASS_TIMEOUT                                                                               \
  (2200 * FT_MS) /* enough for 60 pages at 40 calls a second. The list is as old as the start of   \
                    the pass, so a longer pass would report leaving servers too late */
#define PAGE_RETRY_DELAY                                                                           \
  (80 * FT_MS) /* delay before a page that was refused with 429 is requested again: a few calls */
#define CONNECT_TIMEOUT (300 * FT_MS)
#define IDLE_MAX        (5 * FT_SECOND)
#define PAGES_MAX       64         /* guards against a list that never ends */
#define PAGE_BYTES_MAX  (8u << 20) /* ... and this against a page that does not */

/* For instances that read the list themselves, because no voter supplies it. */
#define FALLBACK_AGE                                                                               \
  (2500 * FT_MS) /* two passes of the voter that reads for all have been missed */
#define FALLBACK_AGE_FOR_OTHERS (1 * FT_SECOND) /* as often as a single voter reads */
#define FALLBACK_AGE_PER_CALL                                                                      \
  (60 * FT_MS) /* added for each call of a pass: long passes take longer and start less often */
#define FALLBACK_INTERVAL_MIN (1500 * FT_MS)
#define FALLBACK_RATE_SHARE   0.3 /* part of the platform's rate that they use together */
#define SERVERS_PER_PAGE      50  /* servers on a page, as observed */

/* For a voter that reads for all instances. */
#define VOTER_INTERVAL                                                                             \
  (700 * FT_MS) /* two passes and the distribution take well less than the shortest drain time */
#define VOTER_INTERVAL_ALONE (1200 * FT_MS) /* for a voter that is not in charge */
#define VOTER_INTERVAL_PER_CALL                                                                    \
  (110 * FT_MS) /* interval for each call of a long pass, since calls are expensive ... */
#define VOTER_DRAIN_RESERVE                                                                        \
  (1400 * FT_MS) /* ... up to the drain time less this: a pass of a second and the distribution */
#define VOTER_RATE_SHARE 0.5 /* part of the platform's rate */

struct Reader
{
  Loop *loop;
  HCli *cli;
  const AdapterOps *adapter_ops;
  SockAddr addr;
  ReaderDone done;
  void *host;
  HXfer *xfer;
  LoopTimer timeout, page_retry;
  char *page;      /* requested last; NULL: the first page */
  GArray *servers; /* AdapterServer */
  GString *body;
  unsigned status, pages, last_pages; /* of this pass; of the last complete pass */
  unsigned invalid,
      last_invalid; /* list items that name no server, in this pass; in the last one */
  int64_t asked_at;
  bool busy;
};

static void
finish (Reader *reader, const char *why)
{
  loop_timer_stop (reader->loop, &reader->timeout);
  loop_timer_stop (reader->loop, &reader->page_retry);
  reader->xfer = NULL;
  reader->busy = false;
  if (why == NULL)
    reader->last_pages = reader->pages;
  reader->last_invalid = reader->invalid;
  reader->done (reader->host, why ? NULL : reader->servers, reader->asked_at, why);
  g_array_set_size (reader->servers, 0);
}

static bool
on_head (void *user, const HMsg *msg)
{
  ((Reader *) user)->status = hmsg_status (msg);
  return true;
}

static void
on_body (void *user, const char *data, size_t size)
{
  Reader *reader = user;
  HXfer *xfer = reader->xfer;

  if (xfer == NULL)
    return; /* the page was too large */
  if (reader->body->len + size <= PAGE_BYTES_MAX)
    {
      g_string_append_len (reader->body, data, (gssize) size);
      return;
    }
  finish (reader, "page too large");
  hxfer_cancel (xfer);
}

/* Logged only when their number has grown, since the list is read every second. */
static void
log_invalid (const Reader *reader, const char *first)
{
  if (reader->invalid > reader->last_invalid)
    jlog (JLOG_WARN, "list-entry", NULL, JL_INT ("spoilt", reader->invalid),
          JL_INT ("page", reader->pages), JL_TEXT ("first", first));
}

static void request_page (Reader *reader);

static void
on_end (void *user)
{
  Reader *reader = user;
  FtError error = { 0 };
  char *next = NULL;

  reader->xfer = NULL;
  /* Other instances read the list, too, and one of the many calls of a pass may exceed the rate.
   * Only that page is requested again, until the pass takes too long; a new pass would repeat all
   * its calls. */
  if (reader->status == 429)
    {
      loop_timer_set (reader->loop, &reader->page_retry,
                      loop_now (reader->loop) + PAGE_RETRY_DELAY);
      return;
    }
  if (reader->status != 200)
    {
      finish (reader, "refused");
      return;
    }
  unsigned invalid = reader->invalid;
  FtStatus status = reader->adapter_ops->read_list (
      reader->body->str, reader->body->len, reader->servers, &next, &reader->invalid, &error);
  if (reader->invalid > invalid)
    log_invalid (reader, error.text);
  if (status != FT_OK)
    finish (reader, error.text);
  else if (next && reader->pages < PAGES_MAX)
    {
      g_free (reader->page);
      reader->page = g_steal_pointer (&next);
      reader->pages++;
      request_page (reader);
    }
  else
    finish (reader, NULL);
  g_free (next);
}

static void
on_failed (void *user, HXferFault fault)
{
  finish (user, hxfer_fault_name (fault));
}

static const HXferOps ops = { on_head, on_body, on_end, on_failed, NULL };

static void
request_page (Reader *reader)
{
  HCliTarget target = {
    .addr = reader->addr, .key = "list", .connect_us = CONNECT_TIMEOUT, .max_idle_us = IDLE_MAX
  };
  GString *request = g_string_new (NULL);

  g_string_truncate (reader->body, 0);
  reader->adapter_ops->write_list_request (request, reader->addr, reader->page);
  reader->xfer = hcli_send (reader->cli, &target, request, &ops, reader);
  g_string_free (request, TRUE);
  if (reader->xfer == NULL)
    finish (reader, "no connection");
}

static void
on_page_retry (LoopTimer *timer)
{
  request_page ((Reader *) ((char *) timer - offsetof (Reader, page_retry)));
}

static void
on_timeout (LoopTimer *timer)
{
  Reader *reader = (Reader *) ((char *) timer - offsetof (Reader, timeout));

  if (reader->xfer)
    hxfer_cancel (reader->xfer);
  finish (reader, reader->status == 429 ? "too many calls" : "no answer in time");
}

Reader *
reader_new (Loop *loop, HCli *cli, const AdapterOps *adapter_ops, SockAddr list, ReaderDone done,
            void *host)
{
  Reader *reader = g_new0 (Reader, 1);

  reader->loop = loop;
  reader->cli = cli;
  reader->adapter_ops = adapter_ops;
  reader->addr = list;
  reader->done = done;
  reader->host = host;
  reader->timeout.fire = on_timeout;
  reader->page_retry.fire = on_page_retry;
  reader->body = g_string_new (NULL);
  reader->servers = g_array_new (FALSE, TRUE, sizeof (AdapterServer));
  g_array_set_clear_func (reader->servers, adapter_server_clear);
  return reader;
}

void
reader_free (Reader *reader)
{
  if (reader == NULL)
    return;
  if (reader->xfer)
    hxfer_cancel (reader->xfer);
  loop_timer_stop (reader->loop, &reader->timeout);
  loop_timer_stop (reader->loop, &reader->page_retry);
  g_free (reader->page);
  g_array_unref (reader->servers);
  g_string_free (reader->body, TRUE);
  g_free (reader);
}

bool
reader_busy (const Reader *reader)
{
  return reader->busy;
}

unsigned
reader_last_pages (const Reader *reader)
{
  return MAX (reader->last_pages, 1);
}

unsigned
reader_estimate_calls (const Reader *reader, unsigned servers)
{
  return MAX (reader_last_pages (reader), servers / SERVERS_PER_PAGE);
}

/* The age limit and the interval grow with the number of calls. A voter needs a second for a list
 * of 60 pages, and with a fixed age limit 291 entries found the list too old when it came and
 * read it, too: 36,000 calls in 20 s exceeded the platform's rate, the voter's calls failed with
 * them, and no instance learned of changes. */
int64_t
reader_max_age (const ReaderFallback *fallback)
{
  return (fallback->for_others ? FALLBACK_AGE_FOR_OTHERS : FALLBACK_AGE)
         + fallback->calls * FALLBACK_AGE_PER_CALL;
}

int64_t
reader_fallback_interval (const ReaderFallback *fallback)
{
  double rate = MAX (fallback->rate * FALLBACK_RATE_SHARE, 0.01);
  double shared = 1e6 * fallback->calls * fallback->readers / rate;

  if (fallback->for_others)
    return MAX (FALLBACK_AGE_FOR_OTHERS, (int64_t) (1e6 * fallback->calls / rate));
  return MAX (FALLBACK_INTERVAL_MIN, (int64_t) shared);
}

/* First passes are spread over the time that all readers need together. When a thousand entries
 * are cut off, each would read the list of 15 calls in the same moment, far beyond the platform's
 * rate. */
int64_t
reader_first_delay (const ReaderFallback *fallback, uint64_t draw)
{
  int64_t spread = reader_fallback_interval (fallback) - FALLBACK_INTERVAL_MIN;

  return fallback->for_others || spread <= 0 ? 0 : (int64_t) (draw % (uint64_t) spread);
}

int64_t
reader_pass_interval (const ReaderSchedule *schedule)
{
  int64_t min = schedule->in_charge ? VOTER_INTERVAL : VOTER_INTERVAL_ALONE;
  int64_t max = MAX (min, schedule->drain_us - VOTER_DRAIN_RESERVE);
  double rate = MAX (schedule->rate * VOTER_RATE_SHARE, 1);

  return MAX (CLAMP (schedule->calls * VOTER_INTERVAL_PER_CALL, min, max),
              (int64_t) (schedule->calls / rate * 1e6));
}

void
reader_start (Reader *reader)
{
  if (reader_busy (reader))
    return;
  reader->busy = true;
  g_clear_pointer (&reader->page, g_free);
  reader->pages = 1;
  reader->status = 0;
  reader->invalid = 0;
  reader->asked_at = loop_now (reader->loop);
  loop_timer_set (reader->loop, &reader->timeout, reader->asked_at + PASS_TIMEOUT);
  request_page (reader);
}
