/* reader.c - one pass over the list at a time; a pass that takes too long is given up. */
#include "reader.h"
#include "jlog.h"

/* Tuning; each row with its reason. */
#define PASS_MOST                                                                                  \
  (2200 * FT_MS) /* 60 pages at 40 calls a second; what it yields is older than its start, so a    \
                    longer one would say too late who leaves */
#define PAGE_AGAIN   (80 * FT_MS) /* a page refused for the rate of calls: a few calls later */
#define CONNECT_MOST (300 * FT_MS)
#define IDLE_MOST    (5 * FT_SECOND)
#define PAGES_MOST   64 /* a list that never ends is not followed */

/* The same for instances that read when the one that should is silent. */
#define AGE_BORNE   (2500 * FT_MS)  /* two passes of the voter that reads for all are missing */
#define AGE_FOR_ALL (1 * FT_SECOND) /* as often as a voter alone */
#define AGE_CALL                                                                                   \
  (60 * FT_MS) /* more for each call: a pass takes that long, and the next is later */
#define EVERY_LEAST  (1500 * FT_MS)
#define RATE_PART    0.3 /* of the platform's rate that they use together */
#define PAGE_SERVERS 50  /* on a page, as far as seen */

/* The same for a voter that reads for all. */
#define LIST_EVERY (700 * FT_MS)  /* two passes and the push well within the shortest drain */
#define LIST_ALONE (1200 * FT_MS) /* of a voter that is not in charge */
#define LIST_CALL                                                                                  \
  (110 * FT_MS) /* more for each call of a long pass, since calls have a price ... */
#define LIST_PUSH                                                                                  \
  (1400 * FT_MS)      /* ... as long as a pass of a second and the push fit the drain              \
                       */
#define LIST_PART 0.5 /* of the platform's rate */

struct Reader
{
  Loop *loop;
  HCli *cli;
  const Seam *seam;
  SockAddr addr;
  ReaderDone done;
  void *host;
  HXfer *xfer;
  LoopTimer timer, again;
  char *page;      /* asked for last; NULL: the first */
  GArray *servers; /* SeamServer */
  GString *body;
  unsigned status, pages, pages_before; /* of this pass; of the last whole one */
  unsigned spoilt, spoilt_before; /* entries that named no server in this pass; in the last one */
  int64_t asked_at;
  bool busy;
};

static void
finish (Reader *reader, const char *why)
{
  loop_timer_stop (reader->loop, &reader->timer);
  loop_timer_stop (reader->loop, &reader->again);
  reader->xfer = NULL;
  reader->busy = false;
  if (why == NULL)
    reader->pages_before = reader->pages;
  reader->spoilt_before = reader->spoilt;
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
  g_string_append_len (((Reader *) user)->body, data, (gssize) size);
}

/* Said once for each time that their number grows: the list is read every second. */
static void
note_spoilt (const Reader *reader, const char *first)
{
  if (reader->spoilt > reader->spoilt_before)
    jlog (JLOG_WARN, "list-entry", NULL, JL_INT ("spoilt", reader->spoilt),
          JL_INT ("page", reader->pages), JL_TEXT ("first", first));
}

static void ask (Reader *reader);

static void
on_end (void *user)
{
  Reader *reader = user;
  FtError error = { 0 };
  char *next = NULL;

  reader->xfer = NULL;
  /* Failure: others read the list too, and one call in a pass of many is over the rate. Symptom:
   * the whole pass is thrown away and begun anew, with all its calls. Only that page is asked for
   * again, until the pass takes too long. */
  if (reader->status == 429)
    {
      loop_timer_set (reader->loop, &reader->again, loop_now (reader->loop) + PAGE_AGAIN);
      return;
    }
  if (reader->status != 200)
    {
      finish (reader, "refused");
      return;
    }
  unsigned spoilt = reader->spoilt;
  FtStatus status = reader->seam->read_list (reader->body->str, reader->body->len, reader->servers,
                                             &next, &reader->spoilt, &error);
  if (reader->spoilt > spoilt)
    note_spoilt (reader, error.text);
  if (status != FT_OK)
    finish (reader, error.text);
  else if (next && reader->pages < PAGES_MOST)
    {
      g_free (reader->page);
      reader->page = g_steal_pointer (&next);
      reader->pages++;
      ask (reader);
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

static const HXferOps ops = { on_head, on_body, on_end, on_failed };

static void
ask (Reader *reader)
{
  HCliTarget target = { reader->addr, "list", CONNECT_MOST, IDLE_MOST, false };
  GString *request = g_string_new (NULL);

  g_string_truncate (reader->body, 0);
  reader->seam->write_list_request (request, reader->addr, reader->page);
  reader->xfer = hcli_send (reader->cli, &target, request, &ops, reader);
  g_string_free (request, TRUE);
  if (reader->xfer == NULL)
    finish (reader, "no connection");
}

static void
on_again (LoopTimer *timer)
{
  ask ((Reader *) ((char *) timer - offsetof (Reader, again)));
}

static void
on_timer (LoopTimer *timer)
{
  Reader *reader = (Reader *) ((char *) timer - offsetof (Reader, timer));

  if (reader->xfer)
    hxfer_cancel (reader->xfer);
  finish (reader, reader->status == 429 ? "too many calls" : "no answer in time");
}

Reader *
reader_new (Loop *loop, HCli *cli, const Seam *seam, SockAddr list, ReaderDone done, void *host)
{
  Reader *reader = g_new0 (Reader, 1);

  reader->loop = loop;
  reader->cli = cli;
  reader->seam = seam;
  reader->addr = list;
  reader->done = done;
  reader->host = host;
  reader->timer.fire = on_timer;
  reader->again.fire = on_again;
  reader->body = g_string_new (NULL);
  reader->servers = g_array_new (FALSE, TRUE, sizeof (SeamServer));
  g_array_set_clear_func (reader->servers, seam_server_clear);
  return reader;
}

void
reader_free (Reader *reader)
{
  if (reader == NULL)
    return;
  if (reader->xfer)
    hxfer_cancel (reader->xfer);
  loop_timer_stop (reader->loop, &reader->timer);
  loop_timer_stop (reader->loop, &reader->again);
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
  return MAX (reader->pages_before, 1);
}

unsigned
reader_estimate_calls (const Reader *reader, unsigned servers)
{
  return MAX (reader_last_pages (reader), servers / PAGE_SERVERS);
}

/* Failure: a list of 60 pages is read by a voter for a second, and is older than the entries bear
 * when it comes. Symptom: 291 entries read it too, 36,000 calls in 20 s; each is over the rate, so
 * are the voter's, and nobody knows of a change any more. What is borne, and how often each reads,
 * follow the number of calls. */
int64_t
reader_max_age (const ReaderFallback *need)
{
  return (need->for_others ? AGE_FOR_ALL : AGE_BORNE) + need->calls * AGE_CALL;
}

int64_t
reader_fallback_interval (const ReaderFallback *need)
{
  double rate = MAX (need->rate * RATE_PART, 0.01);
  double shared = 1e6 * need->calls * need->readers / rate;

  if (need->for_others)
    return MAX (AGE_FOR_ALL, (int64_t) (1e6 * need->calls / rate));
  return MAX (EVERY_LEAST, (int64_t) shared);
}

/* Failure: a part of a thousand entries is cut off and each reads the list, 15 calls, in the same
 * moment. Symptom: thousands of calls in a second, far beyond the platform's rate. They begin at
 * different moments of the time that all of them together need. */
int64_t
reader_first_delay (const ReaderFallback *need, uint64_t draw)
{
  int64_t beyond = reader_fallback_interval (need) - EVERY_LEAST;

  return need->for_others || beyond <= 0 ? 0 : (int64_t) (draw % (uint64_t) beyond);
}

int64_t
reader_pass_interval (const ReaderSchedule *plan)
{
  int64_t least = plan->in_charge ? LIST_EVERY : LIST_ALONE;
  int64_t most = MAX (least, plan->drain_us - LIST_PUSH);
  double rate = MAX (plan->rate * LIST_PART, 1);

  return MAX (CLAMP (plan->calls * LIST_CALL, least, most), (int64_t) (plan->calls / rate * 1e6));
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
  reader->spoilt = 0;
  reader->asked_at = loop_now (reader->loop);
  loop_timer_set (reader->loop, &reader->timer, reader->asked_at + PASS_MOST);
  ask (reader);
}
