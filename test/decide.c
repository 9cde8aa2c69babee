/* decide.c - tests of decisions about one request: identity, retries, stream events, limits,
 * returning callers, retry budgets and routes, and of the model of prefill time. */
#include "budget.h"
#include "clock.h"
#include "content.h"
#include "curve.h"
#include "events.h"
#include "patience.h"
#include "quota.h"
#include "retry.h"

#include <math.h>
#include <string.h>

/* ---- Identity of a content ---- */

static uint64_t
id_of (const char *method, const char *target, const char *org, const char *body)
{
  Content content = { method, target, org, body, strlen (body) };

  return content_id (&content);
}

/* A caller sends a request again, with another request id and to another instance. Both
 * instances compute the same identity; a different request, or one for another organisation, has
 * a different identity. */
static void
identity_of_content (void)
{
  uint64_t id = id_of ("POST", "/a/b?x=1", "o", "body"), parsed;
  char text[CONTENT_ID_SIZE];

  g_assert_cmphex (id, ==, id_of ("POST", "/a/b?x=1", "o", "body"));
  g_assert_cmphex (id, !=, id_of ("PUT", "/a/b?x=1", "o", "body"));
  g_assert_cmphex (id, !=, id_of ("POST", "/a/b?x=2", "o", "body"));
  g_assert_cmphex (id, !=, id_of ("POST", "/a/b", "o", "body"));
  g_assert_cmphex (id, !=, id_of ("POST", "/a/b?x=1", "p", "body"));
  g_assert_cmphex (id, !=, id_of ("POST", "/a/b?x=1", "o", "bodz"));
  g_assert_cmphex (id, !=, id_of ("POST", "/a/b?x=1", "ob", "ody")); /* fields are delimited */
  g_assert_cmphex (id_of ("GET", "/a", NULL, ""), ==, id_of ("GET", "/a", "", ""));
  g_assert_true (content_parse (content_format (id, text), &parsed));
  g_assert_cmphex (parsed, ==, id);
  g_assert_false (content_parse ("0123", &parsed));
  g_assert_false (content_parse ("0000000000000000", &parsed));
  g_assert_false (content_parse ("00000000000000x1", &parsed));
}

/* ---- Retries ---- */

static RetryFacts
facts (RtKind kind)
{
  return (RetryFacts){ .kind = kind,
                       .is_stream = kind == RT_STREAM,
                       .sends = 1,
                       .most_sends = 2,
                       .left_us = FT_SECOND,
                       .budget = true,
                       .may_have_run = true };
}

/* A request that must not be sent twice, such as a booking, is sent to a server, and the
 * connection breaks before an answer. Sent to another server it would run twice. It is never
 * sent again once a byte of it was handed to a connection, nor reported as not run. */
static void
at_most_once_is_sent_once (void)
{
  RetryFacts f = facts (RT_AT_MOST_ONCE);

  g_assert_cmpint (retry_next (RETRY_BROKEN, &f), ==, RETRY_ANSWER_UNKNOWN);
  g_assert_cmpint (retry_next (RETRY_SILENT, &f), ==, RETRY_WAIT);
  g_assert_cmpint (retry_next (RETRY_FAILURE, &f), ==, RETRY_DELIVER);
  f.kind = RT_STREAM;
  g_assert_cmpint (retry_next (RETRY_BROKEN, &f), ==, RETRY_ANSWER_UNKNOWN);
  f.begun = true;
  g_assert_cmpint (retry_next (RETRY_STREAM_CUT, &f), ==, RETRY_ABORT);
}

/* If a server states that it did not run the request, or no connection is made, the request may
 * be sent to another server whatever its kind, and can be reported as not run. */
static void
not_run_is_sent_to_another_server (void)
{
  RetryFacts f = facts (RT_AT_MOST_ONCE);

  f.may_have_run = false;
  g_assert_cmpint (retry_next (RETRY_REJECTED, &f), ==, RETRY_AGAIN);
  g_assert_cmpint (retry_next (RETRY_NOT_CONNECTED, &f), ==, RETRY_AGAIN);
  f.sends = f.most_sends;
  g_assert_cmpint (retry_next (RETRY_REJECTED, &f), ==, RETRY_ANSWER_NOT_RUN);
  f.unreached = 10;
  g_assert_cmpint (retry_next (RETRY_NOT_CONNECTED, &f), ==, RETRY_ANSWER_NOT_RUN);
  /* An earlier try may have run; the rejection covers only its own try. */
  f.may_have_run = true;
  g_assert_cmpint (retry_next (RETRY_REJECTED, &f), ==, RETRY_ANSWER_UNKNOWN);
}

/* A server crashes, another starts at its address and rejects a request that was sent there by
 * an outdated list. A request that must not be sent twice, on a route that allows one server
 * only, must not be refused for that, since it has reached none. It goes to another server,
 * within the retry budget and a limit on such tries. */
static void
replaced_server_counts_as_not_reached (void)
{
  RetryFacts f = facts (RT_AT_MOST_ONCE);

  f.may_have_run = false;
  f.sends = 0;
  f.unreached = 1;
  g_assert_cmpint (retry_next (RETRY_OTHER_SERVER, &f), ==, RETRY_AGAIN);
  g_assert_true (retry_uses_budget (RETRY_OTHER_SERVER, RETRY_AGAIN));
  f.budget = false;
  g_assert_cmpint (retry_next (RETRY_OTHER_SERVER, &f), ==, RETRY_ANSWER_NOT_RUN);
  f.budget = true;
  f.unreached = 10;
  g_assert_cmpint (retry_next (RETRY_OTHER_SERVER, &f), ==, RETRY_ANSWER_NOT_RUN);
  f.may_have_run = true;
  g_assert_cmpint (retry_next (RETRY_OTHER_SERVER, &f), ==, RETRY_ANSWER_UNKNOWN);
}

static void
idempotent_is_retried_within_bounds (void)
{
  RetryFacts f = facts (RT_IDEMPOTENT);

  g_assert_cmpint (retry_next (RETRY_BROKEN, &f), ==, RETRY_AGAIN);
  g_assert_cmpint (retry_next (RETRY_FAILURE, &f), ==, RETRY_AGAIN);
  g_assert_true (retry_uses_budget (RETRY_BROKEN, RETRY_AGAIN));
  g_assert_false (retry_uses_budget (RETRY_NOT_CONNECTED, RETRY_AGAIN));
  f.budget = false;
  g_assert_cmpint (retry_next (RETRY_BROKEN, &f), ==, RETRY_ANSWER_UNKNOWN);
  g_assert_cmpint (retry_next (RETRY_FAILURE, &f), ==, RETRY_DELIVER);
  f.budget = true;
  f.left_us = FT_MS;
  g_assert_cmpint (retry_next (RETRY_BROKEN, &f), ==, RETRY_ANSWER_UNKNOWN);
}

/* A long plain answer that broke after its first part must not be requested again; a retry at
 * that point once crashed the process. */
static void
begun_plain_answer_is_not_retried (void)
{
  static const RetryEvent events[] = { RETRY_NOT_CONNECTED, RETRY_REJECTED,   RETRY_BROKEN,
                                       RETRY_FAILURE,       RETRY_STREAM_CUT, RETRY_OTHER_SERVER };
  static const RtKind kinds[] = { RT_IDEMPOTENT, RT_AT_MOST_ONCE };

  for (unsigned i = 0; i < G_N_ELEMENTS (events); i++)
    for (unsigned j = 0; j < G_N_ELEMENTS (kinds); j++)
      {
        RetryFacts facts = { .kind = kinds[j],
                             .begun = true,
                             .may_have_run = true,
                             .sends = 1,
                             .most_sends = 3,
                             .budget = true,
                             .left_us = FT_SECOND };
        g_assert_cmpint (retry_next (events[i], &facts), ==, RETRY_ABORT);
        g_assert_cmpint (retry_next (RETRY_ANSWERED, &facts), ==, RETRY_DELIVER);
        g_assert_cmpint (retry_next (RETRY_SILENT, &facts), ==, RETRY_WAIT);
      }
}

/* Guards against ending a try for a silence before another server has a place for the next one. */
static void
silence_ends_no_try (void)
{
  for (unsigned begun = 0; begun < 2; begun++)
    {
      RetryFacts f = facts (RT_STREAM);

      f.resumable = true;
      f.begun = begun;
      g_assert_cmpint (retry_next (RETRY_SILENT, &f), ==, RETRY_REPLACE);
      g_assert_false (retry_uses_budget (RETRY_SILENT, RETRY_REPLACE));
      f.sends = 2;
      g_assert_cmpint (retry_next (RETRY_SILENT, &f), ==, RETRY_WAIT);
    }
}

/* Guards against breaking off a begun answer because several servers cannot be reached. */
static void
begun_answer_looks_further (void)
{
  RetryFacts f = facts (RT_STREAM);

  f.resumable = f.begun = true;
  f.unreached = 20;
  g_assert_cmpint (retry_next (RETRY_NOT_CONNECTED, &f), ==, RETRY_RESUME_LATER);
  g_assert_cmpint (retry_next (RETRY_OTHER_SERVER, &f), ==, RETRY_RESUME_LATER);
  f.unreached = 1;
  g_assert_cmpint (retry_next (RETRY_NOT_CONNECTED, &f), ==, RETRY_RESUME);
  f.unreached = 20;
  f.begun = false;
  f.may_have_run = false;
  g_assert_cmpint (retry_next (RETRY_NOT_CONNECTED, &f), ==, RETRY_ANSWER_NOT_RUN);
}

/* Guards against breaking off a begun answer because a server is full or the retry budget is used
 * up at that moment. */
static void
begun_answer_waits (void)
{
  RetryFacts f = facts (RT_STREAM);

  f.resumable = f.begun = true;
  g_assert_cmpint (retry_next (RETRY_REJECTED, &f), ==, RETRY_RESUME_LATER);
  f.budget = false;
  g_assert_cmpint (retry_next (RETRY_REJECTED, &f), ==, RETRY_RESUME_LATER);
  g_assert_cmpint (retry_next (RETRY_STREAM_CUT, &f), ==, RETRY_RESUME_LATER);
  g_assert_true (retry_uses_budget (RETRY_STREAM_CUT, RETRY_RESUME_LATER));
  f.begun = false;
  g_assert_cmpint (retry_next (RETRY_BROKEN, &f), ==, RETRY_ANSWER_UNKNOWN);
  f.begun = true;
  f.sends = 2;
  g_assert_cmpint (retry_next (RETRY_STREAM_CUT, &f), ==, RETRY_ABORT);
}

/* Guards against resuming an answer that is no stream of events, though its route has streams. */
static void
begun_answer_without_events_is_not_resumed (void)
{
  RetryFacts f = facts (RT_STREAM);

  f.resumable = f.begun = true;
  f.is_stream = false;
  g_assert_cmpint (retry_next (RETRY_STREAM_CUT, &f), ==, RETRY_ABORT);
  g_assert_cmpint (retry_next (RETRY_SILENT, &f), ==, RETRY_WAIT);
}

/* Guards against resuming a stream whose last events have no id: the caller would get them again.
 */
static void
events_without_id_are_not_resumed (void)
{
  RetryFacts f = facts (RT_STREAM);

  f.resumable = f.begun = f.past_last_id = true;
  g_assert_cmpint (retry_next (RETRY_STREAM_CUT, &f), ==, RETRY_ABORT);
  g_assert_cmpint (retry_next (RETRY_FAILURE, &f), ==, RETRY_ABORT);
  g_assert_cmpint (retry_next (RETRY_SILENT, &f), ==, RETRY_WAIT);
  g_assert_cmpint (retry_next (RETRY_ANSWERED, &f), ==, RETRY_DELIVER);
}

/* Guards against joining two runs of a request that is no resumable stream, though its server
 * answers with events. */
static void
events_of_other_routes_are_not_resumed (void)
{
  static const RtKind kinds[] = { RT_IDEMPOTENT, RT_AT_MOST_ONCE, RT_STREAM };

  for (unsigned i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      RetryFacts f = facts (kinds[i]);
      f.begun = f.is_stream = true;
      g_assert_cmpint (retry_next (RETRY_STREAM_CUT, &f), ==, RETRY_ABORT);
      g_assert_cmpint (retry_next (RETRY_SILENT, &f), ==, RETRY_WAIT);
    }
}

static void
resumable_stream_is_resumed (void)
{
  RetryFacts f = facts (RT_STREAM);

  f.resumable = f.begun = true;
  g_assert_cmpint (retry_next (RETRY_STREAM_CUT, &f), ==, RETRY_RESUME);
  f.sends = 2;
  g_assert_cmpint (retry_next (RETRY_STREAM_CUT, &f), ==, RETRY_ABORT);
}

/* All engines fail nearly half of their requests for some seconds. A stream that may run again
 * must not get its first server's failure while nothing of the answer has been sent to the
 * caller and its route allows another try; that happened to 807 of 1,100 requests in one such
 * fault. It is retried as a plain request is, within the same budget; a stream that must not be
 * sent twice is not. */
static void
failed_stream_is_retried (void)
{
  RetryFacts f = facts (RT_STREAM);

  g_assert_cmpint (retry_next (RETRY_FAILURE, &f), ==, RETRY_DELIVER);
  f.resumable = true;
  g_assert_cmpint (retry_next (RETRY_FAILURE, &f), ==, RETRY_AGAIN);
  f.budget = false;
  g_assert_cmpint (retry_next (RETRY_FAILURE, &f), ==, RETRY_DELIVER);
  f.budget = true;
  f.sends = f.most_sends;
  g_assert_cmpint (retry_next (RETRY_FAILURE, &f), ==, RETRY_DELIVER);
}

/* A server crashes while it runs a stream, as another one did before with the same content. The
 * request is not resumed, because it may be the cause. A failure that a server answers itself is
 * no sign of that. */
static void
suspect_is_not_resumed (void)
{
  RetryFacts f = facts (RT_IDEMPOTENT);

  g_assert_cmpint (retry_next (RETRY_BROKEN, &f), ==, RETRY_AGAIN);
  f.suspect = true;
  g_assert_cmpint (retry_next (RETRY_BROKEN, &f), ==, RETRY_ANSWER_UNKNOWN);
  g_assert_cmpint (retry_next (RETRY_FAILURE, &f), ==, RETRY_AGAIN);
  f.kind = RT_STREAM;
  f.resumable = f.begun = true;
  g_assert_cmpint (retry_next (RETRY_STREAM_CUT, &f), ==, RETRY_ABORT);
}

/* ---- Events ---- */

static void
feed (Events *events, const char *text, unsigned count, const char *passed)
{
  GString *out = g_string_new (NULL);

  g_assert_cmpuint (events_feed (events, text, strlen (text), out), ==, count);
  g_assert_cmpstr (out->str, ==, passed);
  g_string_free (out, TRUE);
}

/* A server fails in the middle of event 3 of a stream; another one resumes after event 2 and
 * sends event 2 again. The partial event and the duplicate must be dropped, or the caller gets a
 * partial event joined to another. */
static void
partial_event_is_dropped (void)
{
  Events *events = events_new (NULL);

  feed (events, "id: 1\ndata: a\n\nid: 2\ndata", 1, "id: 1\ndata: a\n\n");
  feed (events, ": b\n\nid: 3\nda", 1, "id: 2\ndata: b\n\n");
  g_assert_true (events_has_partial (events));
  g_assert_cmpstr (events_last_id (events), ==, "2");
  events_drop_partial (events);
  g_assert_false (events_has_partial (events));
  feed (events, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", 1, "id: 3\ndata: c\n\n");
  feed (events, ": ping\r\n\r\n", 1, ": ping\r\n\r\n");
  g_assert_cmpstr (events_last_id (events), ==, "3");
  events_free (events);
}

/* Guards against taking the rest of an event that is too long for an event of its own. */
static void
event_without_end (void)
{
  Events *events = events_new (NULL);
  GString *out = g_string_new (NULL);
  char part[4096];

  memset (part, 'x', sizeof part);
  feed (events, "id: 1\ndata: a\n\nid: 2\ndata: ", 1, "id: 1\ndata: a\n\n");
  for (unsigned i = 0; i < 1024; i++)
    {
      g_assert_cmpuint (events_feed (events, part, sizeof part, out), ==, 0);
      g_assert_true (events_is_too_long (events) == (i >= 255));
    }
  events_drop_partial (events);
  g_assert_false (events_is_too_long (events));
  feed (events, "id: 2\ndata: b\n", 0, "");
  feed (events, "\n", 1, "id: 2\ndata: b\n\n");
  g_string_free (out, TRUE);
  events_free (events);
}

/* An event that comes byte by byte ends where it would in one part. */
static void
events_bytewise (void)
{
  static const char text[] = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n: c\n\nid: 3\ndata:";
  Events *events = events_new (NULL);
  GString *out = g_string_new (NULL);
  unsigned count = 0;

  for (unsigned i = 0; i < strlen (text); i++)
    count += events_feed (events, &text[i], 1, out);
  g_assert_cmpuint (count, ==, 3);
  g_assert_cmpstr (out->str, ==, "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n: c\n\n");
  g_assert_true (events_has_partial (events));
  g_string_free (out, TRUE);
  events_free (events);
}

/* ---- Limits ---- */

static double
use_quota (Quota *quota, TestClock *clock, double seconds, double cost, unsigned rank)
{
  double used = 0;
  int64_t wait;

  for (int i = 0; i < (int) (seconds * 100); i++)
    {
      clock->now += 10 * FT_MS;
      if (quota_take (quota, "org", cost, rank, &wait))
        used += cost;
    }
  return used;
}

/* One organisation sends many times its limit for the window of the limit. At most the rate
 * times the window plus the burst passes, within the small tolerance of the bucket. */
static void
limit_holds_in_window (void)
{
  TestClock clock = test_clock ();
  Quota *quota = quota_new (&clock.base);

  quota_set_limit (quota, "org", 1000, 4000);
  clock.now += 60 * FT_SECOND;
  double used = use_quota (quota, &clock, 8, 100, 0);
  g_assert_cmpfloat (used, <=, (1000 * 8 + 4000) * 1.03);
  g_assert_cmpfloat (used, >=, (1000 * 8 + 4000) * 0.97);
  quota_free (quota);
}

/* The scheduler that accounts for an organisation at its limit fails. A successor that started
 * with a full bucket would grant a second burst; it must start with little, without refusing an
 * organisation that keeps to the rate. */
static void
successor_grants_no_second_burst (void)
{
  TestClock clock = test_clock ();
  Quota *quota = quota_new (&clock.base);

  quota_set_limit (quota, "org", 1000, 4000);
  g_assert_cmpfloat (use_quota (quota, &clock, 1, 100, 0), <=, 1000 + 4000 * 0.4);
  quota_free (quota);
  quota = quota_new (&clock.base);
  quota_set_limit (quota, "org", 1000, 4000);
  g_assert_cmpfloat (use_quota (quota, &clock, 4, 9, 0), ==, 9 * 400);
  quota_free (quota);
}

/* After a restart of the whole system nobody knows what was used. A bucket that starts nearly
 * empty refuses lower ranks of organisations within their limits for a second. It starts with a
 * part of the limits' margin, and two such restarts in one window stay within limit and margin. */
static void
start_without_report (void)
{
  TestClock clock = test_clock ();
  double rate = 1000000, allowed = rate * 8 + rate, margin = 0.1 * allowed + 190000, used = 0;
  int64_t wait;

  for (unsigned start = 0; start < 3; start++)
    {
      Quota *quota = quota_new (&clock.base);
      quota_set_margin (quota, 0.1, 190000, 8, true);
      quota_set_limit (quota, "org", rate, rate);
      clock.now += start == 0 ? 60 * FT_SECOND : 10 * FT_MS;
      if (start > 0)
        g_assert_true (quota_take (quota, "org", 3000, 3, &wait));
      used += use_quota (quota, &clock, 8.0 / 3, 30000, 0);
      quota_free (quota);
    }
  g_assert_cmpfloat (used, <, allowed + margin);
}

/* An organisation at its limit sends requests of two ranks. Those of the lower rank are as many
 * and would use up the limit before those of the higher rank arrive. The higher rank goes first
 * under a limit, too. */
static void
higher_rank_goes_first_under_limit (void)
{
  TestClock clock = test_clock ();
  Quota *quota = quota_new (&clock.base);
  double high = 0, low = 0;
  int64_t wait;

  quota_set_limit (quota, "org", 1000, 4000);
  for (int i = 0; i < 2000; i++)
    {
      clock.now += 10 * FT_MS;
      if (quota_take (quota, "org", 20, 2, &wait))
        low += 20;
      if (i % 2 == 0 && quota_take (quota, "org", 20, 0, &wait))
        high += 20;
    }
  g_assert_cmpfloat (high, ==, 20 * 1000); /* all of them: 1,000 a second */
  g_assert_cmpfloat (low, <, 6000);        /* what is left at the start and of the burst */
  quota_free (quota);
}

/* Half of the entries fail. Their shares of a limit are held back, since they may only be
 * disconnected, and an organisation that keeps to its limit is refused. The margin of the limits
 * covers a part of this. What is granted here, plus what may be granted there, stays within
 * limit and margin. */
static void
margin_covers_failed_entries (void)
{
  TestClock clock = test_clock ();
  Quota *quota = quota_new (&clock.base);
  double allowed = 1000 * 8 + 4000, margin = 0.1 * allowed + 3000;

  quota_set_limit (quota, "org", 1000, 4000);
  quota_set_share (quota, 0.5);
  clock.now += 60 * FT_SECOND;
  double without_margin = use_quota (quota, &clock, 8, 100, 0);
  quota_set_margin (quota, 0.1, 3000, 8, true);
  clock.now += 60 * FT_SECOND;
  double used = use_quota (quota, &clock, 8, 100, 0);
  g_assert_cmpfloat (used, >, without_margin * 1.3);
  g_assert_cmpfloat (used + 0.5 * allowed, <, allowed + margin);
  quota_free (quota);
}

/* The voters fail, and a deputy that has granted nothing before takes over all limits. With
 * buckets that start nearly empty, organisations well within their limits are refused for a
 * second. A report of the previous scheduler's bucket, passed on by entries that send requests,
 * lets it continue at that level: neither a second burst nor a refusal. What the previous
 * scheduler granted is not charged again. */
static void
report_moves_account (void)
{
  TestClock clock = test_clock ();
  Quota *before = quota_new (&clock.base), *after = quota_new (&clock.base);
  int64_t wait;

  quota_set_limit (before, "org", 1000, 4000);
  quota_set_limit (after, "org", 1000, 4000);
  quota_set_share (after, 1.0 / 64);
  clock.now += 60 * FT_SECOND;
  g_assert_true (quota_take (before, "org", 1000, 0, &wait));
  double full = quota_fill_level (before, "org");
  g_assert_cmpfloat (full, >, 0.7);
  g_assert_cmpfloat (full, <, 0.8);
  int64_t reported_at = clock.now;
  clock.now += 150 * FT_MS;
  quota_apply_report (after, "org", full, reported_at);
  quota_set_share (after, 1);
  quota_charge_remote (after, "org", 3000, reported_at - 10 * FT_SECOND);
  g_assert_true (quota_take (after, "org", 2500, 0, &wait));
  g_assert_false (quota_take (after, "org", 2500, 0, &wait));
  quota_free (before);
  quota_free (after);
}

/* An organisation sends many times its limit through entries that switch between two schedulers.
 * Each scheduler reports what it granted to the other, whose bucket is empty already. The use
 * must be charged as debt, or it is lost and the limit exceeded; both together grant what one
 * would have. */
static void
empty_bucket_is_charged (void)
{
  TestClock clock = test_clock ();
  Quota *voter = quota_new (&clock.base), *deputy = quota_new (&clock.base);
  double used = 0, from_voter = 0, from_deputy = 0;
  int64_t wait;

  quota_set_limit (voter, "org", 10000, 10000);
  quota_set_limit (deputy, "org", 10000, 10000);
  quota_set_share (deputy, 2.0 / 7);
  clock.now += 60 * FT_SECOND;
  for (int i = 0; i < 800; i++)
    {
      clock.now += 10 * FT_MS;
      bool use_deputy = i / 40 % 2 == 1; /* two entries of seven, for every other 0.4 s */
      if (i % 40 == 0)
        {
          quota_charge_remote (use_deputy ? deputy : voter, "org",
                               use_deputy ? from_voter * 2 / 7 : from_deputy,
                               clock.now - 400 * FT_MS);
          from_voter = from_deputy = 0;
        }
      for (int j = 0; j < 10; j++)
        if (quota_take (voter, "org", 50, 0, &wait))
          from_voter += 50, used += 50;
      for (int j = 0; use_deputy && j < 10; j++)
        if (quota_take (deputy, "org", 50, 0, &wait))
          from_deputy += 50, used += 50;
    }
  g_test_message ("used %.0f of %.0f", used, 8 * 10000 + 10000.0);
  g_assert_cmpfloat (used, <, 1.07 * (8 * 10000 + 10000));
  quota_free (voter);
  quota_free (deputy);
}

/* A deputy that has had no request holds no share of a limit. It must grant next to nothing, and
 * the wait it advises to the first caller must not be days. */
static void
no_share_of_limit (void)
{
  TestClock clock = test_clock ();
  Quota *quota = quota_new (&clock.base);
  int64_t wait;

  quota_set_limit (quota, "org", 1000, 1000);
  clock.now += 60 * FT_SECOND;
  quota_set_share (quota, 0);
  unsigned granted = 0;
  for (int i = 0; i < 100; i++)
    {
      clock.now += 10 * FT_MS;
      granted += quota_take (quota, "org", 100, 0, &wait);
    }
  g_assert_cmpuint (granted, <=, 1);
  g_assert_cmpint (wait, <, 2000 * FT_SECOND);
  quota_free (quota);
}

static void
unused_cost_is_refunded (void)
{
  TestClock clock = test_clock ();
  Quota *quota = quota_new (&clock.base);
  int64_t wait;

  quota_set_limit (quota, "org", 10, 1000);
  clock.now += 200 * FT_SECOND;
  g_assert_true (quota_take (quota, "org", 1000, 0, &wait));
  g_assert_false (quota_take (quota, "org", 900, 0, &wait));
  g_assert_cmpint (wait, >, 80 * FT_SECOND);
  quota_refund (quota, "org", 1000);
  g_assert_true (quota_take (quota, "org", 900, 0, &wait));
  quota_charge_remote (quota, "org", 5000, clock.now);
  g_assert_false (quota_take (quota, "org", 100, 0, &wait));
  g_assert_true (quota_take (quota, "unlimited", 1e9, 0, &wait));
  quota_free (quota);
}

/* ---- Prefill time ---- */

static double
prefill_us (double unit_us, unsigned tokens)
{
  return 60000 + unit_us * tokens * (1 + 6e-6 * tokens);
}

/* Prompts of 500 to 50,000 tokens are sent to two servers, one five times as fast, with the same
 * latency. With times proportional to length a long prompt seems to take half as long as it
 * does, and callers are late. After some hundred samples the time for each length is known to 15
 * %. Invalid samples, and one from a server that was frozen for a while, have no lasting effect. */
static void
prefill_time_is_learned (void)
{
  static const double units[] = { 8, 40 }, tokens_us[] = { 2600, 13000 };
  double learned_us[2] = { 0 };
  Curve curve;

  curve_init (&curve);
  for (int i = 0; i < 600; i++)
    {
      unsigned length = 500 + (unsigned) ((uint64_t) i * i * 104729 % 49500);
      unsigned server = i % 2;
      double noise = 0.9 + 0.2 * (i * 31 % 17) / 17;
      curve_learn (&curve, &learned_us[server], length, tokens_us[server],
                   noise * prefill_us (units[server], length));
      if (i == 300)
        curve_learn (&curve, &learned_us[1], 900, tokens_us[1], 20e6);
    }
  Curve before = curve;
  curve_learn (&curve, &learned_us[0], 0, 2600, 1000);
  curve_learn (&curve, &learned_us[0], 1000, 0, 1000);
  curve_learn (&curve, &learned_us[0], 1000, 2600, 0);
  curve_learn (&curve, &learned_us[0], 1000, 2600, INFINITY);
  curve_learn (&curve, &learned_us[0], 1000, 2600, NAN);
  g_assert_cmpmem (&before, sizeof before, &curve, sizeof curve);
  for (unsigned server = 0; server < 2; server++)
    for (unsigned length = 1000; length <= 50000; length += 7000)
      {
        double expected = curve.latency_us + learned_us[server] * curve_units (&curve, length);
        double real = prefill_us (units[server], length);
        g_test_message ("%u tokens: %.0f of %.0f us", length, expected, real);
        g_assert_cmpfloat (fabs (expected / real - 1), <, 0.15);
      }
}

/* ---- Returning callers ---- */

/* Under full load every other request is one that was refused and returned. It has waited longer
 * than the target already, yet takes the place of a new one that could be on time. It is
 * recognised by its caller's remaining time, whatever the route allows. */
static void
returning_callers_are_recognised (void)
{
  TestClock clock = test_clock ();
  Patience *patience = patience_new (&clock.base);

  for (int i = 0; i < 100; i++)
    {
      clock.now += 50 * FT_MS;
      int64_t max_wait = (850 + i * 37 % 151) * 10 * FT_MS;
      g_assert_cmpint (patience_record (patience, "r", max_wait), ==, 0);
    }
  int64_t waited_us = patience_record (patience, "r", 6 * FT_SECOND);
  g_assert_cmpint (waited_us, >=, 3900 * FT_MS);
  g_assert_cmpint (waited_us, <=, 4 * FT_SECOND);
  g_assert_cmpint (patience_record (patience, "other", 6 * FT_SECOND), ==, 0);
  clock.now += 30 * FT_SECOND; /* by now all callers have less time, which is the usual time then */
  g_assert_cmpint (patience_record (patience, "r", 6 * FT_SECOND), ==, 0);
  patience_free (patience);
}

/* ---- Retry budgets ---- */

/* A service loses every answer and each request is retried. The retries of an instance stay
 * within the ratio to its own traffic plus its share of the slack, in any window. */
static void
budget_limits_retries (void)
{
  TestClock clock = test_clock ();
  BudgetConf conf = { 0.2, 50, 10 * FT_SECOND };
  RetryBudget *budget = budget_new (&clock.base, &conf);
  unsigned retries = 0;

  budget_set_share (budget, 0.1);
  for (int i = 0; i < 1000; i++)
    {
      clock.now += 10 * FT_MS;
      budget_count_request (budget, "s");
      retries += budget_take (budget, "s");
    }
  g_assert_cmpuint (retries, <=, 1000 * 0.2 + 50 * 0.1);
  g_assert_cmpuint (retries, >=, 150);
  clock.now += 20 * FT_SECOND;
  retries = 0;
  for (int i = 0; i < 100; i++)
    retries += budget_take (budget, "s");
  g_assert_cmpuint (retries, <=, 5);
  budget_free (budget);
}

/* ---- Routes ---- */

static RtCat *
new_catalogue (void)
{
  RtLimits limits = { 1, 1, 1, 1 };
  RtCat *cat = rt_cat_new (7, 7, &limits);
  RtService service = { .name = (char *) "s" };
  RtTarget target = { (char *) "s", 1 };
  RtRoute route = { .name = (char *) "r", .host = (char *) "A.example", .timeout_us = 1 };
  RtOrg org = { .name = (char *) "o", .has_tier = true, .tier = 1 };

  g_assert_cmpint (rt_cat_add_service (cat, &service, NULL), ==, FT_OK);
  route.targets = g_array_new (FALSE, FALSE, sizeof (RtTarget));
  g_array_append_val (route.targets, target);
  for (const char **prefix = (const char *[]){ "/a/", "/a/b/", "/c/", NULL }; *prefix; prefix++)
    {
      route.prefix = (char *) *prefix;
      g_assert_cmpint (rt_cat_add_route (cat, &route, NULL), ==, FT_OK);
    }
  org.keys = g_ptr_array_new ();
  g_ptr_array_add (org.keys, (char *) "key");
  g_ptr_array_add (org.keys, (char *) "");
  g_assert_cmpint (rt_cat_add_org (cat, &org, NULL), ==, FT_OK);
  g_assert_cmpint (rt_cat_seal (cat, NULL), ==, FT_OK);
  g_ptr_array_unref (org.keys);
  g_array_unref (route.targets);
  return cat;
}

/* Guards against losing the versions after one that an earlier program logged rounded up. */
static void
numbers_of_versions (void)
{
  const uint64_t first = 9007199254740995u, rounded = 9007199254740996u;
  uint64_t before = rounded;

  g_assert_cmpuint (rt_number_after (0, 0, 1), ==, 1);
  g_assert_cmpuint (rt_number_after (7, 7, 7), ==, 0);
  g_assert_cmpuint (rt_number_after (7, 7, 6), ==, 0);
  g_assert_cmpuint (rt_number_after (7, 7, 8), ==, 8);
  g_assert_cmpuint (rt_number_after (first, rounded, first), ==, 0);
  for (uint64_t version = first + 1; version < first + 10; version++)
    {
      uint64_t number = rt_number_after (first, rounded, version);
      g_assert_cmpuint (number, >, before);
      /* The same from any document between them. */
      g_assert_cmpuint (rt_number_after (version, number, version + 1), ==,
                        rt_number_after (first, rounded, version + 1));
      before = number;
    }
  /* Rounded down. */
  g_assert_cmpuint (rt_number_after (rounded, first, rounded), ==, 0);
  g_assert_cmpuint (rt_number_after (rounded, first, rounded + 1), ==, rounded + 1);
  g_assert_cmpuint (rt_number_after (first, rounded, G_MAXUINT64 - 1), ==, G_MAXUINT64);
}

static void
longest_prefix_wins (void)
{
  RtCat *cat = new_catalogue ();

  g_assert_cmpstr (rt_cat_route (cat, "a.EXAMPLE:80", "/a/b/c?x=/c/")->prefix, ==, "/a/b/");
  g_assert_cmpstr (rt_cat_route (cat, "a.example", "/a/bc")->prefix, ==, "/a/");
  g_assert_null (rt_cat_route (cat, "a.example", "/a"));
  g_assert_null (rt_cat_route (cat, "b.example", "/a/"));
  g_assert_null (rt_cat_route (cat, "a.example", "/x?/a/"));
  const RtOrg *org = rt_cat_org_by_key (cat, "key");
  g_assert_nonnull (org);
  g_assert_null (rt_cat_org_by_key (cat, "kex"));
  g_assert_null (rt_cat_org_by_key (cat, NULL));
  g_assert_null (rt_cat_org_by_key (cat, ""));
  RtRoute low = { .tier = 2 }, high = { .tier = 0 };
  RtOrg first = { .has_tier = true, .tier = 0 };
  g_assert_cmpuint (rt_priority (&low, &first), <, rt_priority (&high, org));
  g_assert_cmpuint (rt_priority (&high, org), <, rt_priority (&low, org));
  g_assert_cmpuint (rt_priority_route_tier (rt_priority (&low, org)), ==, 2);
  rt_cat_unref (cat);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/content/identity", identity_of_content);
  g_test_add_func ("/retry/once", at_most_once_is_sent_once);
  g_test_add_func ("/retry/not_run", not_run_is_sent_to_another_server);
  g_test_add_func ("/retry/gone", replaced_server_counts_as_not_reached);
  g_test_add_func ("/retry/idempotent", idempotent_is_retried_within_bounds);
  g_test_add_func ("/retry/begun_plain", begun_plain_answer_is_not_retried);
  g_test_add_func ("/retry/silence", silence_ends_no_try);
  g_test_add_func ("/retry/looks_further", begun_answer_looks_further);
  g_test_add_func ("/retry/begun_waits", begun_answer_waits);
  g_test_add_func ("/retry/begun_without_events", begun_answer_without_events_is_not_resumed);
  g_test_add_func ("/retry/events_without_id", events_without_id_are_not_resumed);
  g_test_add_func ("/retry/events_of_other_routes", events_of_other_routes_are_not_resumed);
  g_test_add_func ("/retry/resume", resumable_stream_is_resumed);
  g_test_add_func ("/retry/failed_stream", failed_stream_is_retried);
  g_test_add_func ("/retry/suspect", suspect_is_not_resumed);
  g_test_add_func ("/events/half", partial_event_is_dropped);
  g_test_add_func ("/events/without_end", event_without_end);
  g_test_add_func ("/events/bytewise", events_bytewise);
  g_test_add_func ("/quota/window", limit_holds_in_window);
  g_test_add_func ("/quota/new_accountant", successor_grants_no_second_burst);
  g_test_add_func ("/quota/start", start_without_report);
  g_test_add_func ("/quota/rank", higher_rank_goes_first_under_limit);
  g_test_add_func ("/quota/margin", margin_covers_failed_entries);
  g_test_add_func ("/patience/back", returning_callers_are_recognised);
  g_test_add_func ("/quota/goes_on", report_moves_account);
  g_test_add_func ("/quota/debt", empty_bucket_is_charged);
  g_test_add_func ("/quota/no_part", no_share_of_limit);
  g_test_add_func ("/quota/give_back", unused_cost_is_refunded);
  g_test_add_func ("/curve/learned", prefill_time_is_learned);
  g_test_add_func ("/budget/bounds", budget_limits_retries);
  g_test_add_func ("/route/prefix", longest_prefix_wins);
  g_test_add_func ("/decide/numbers_of_versions", numbers_of_versions);
  return g_test_run ();
}
